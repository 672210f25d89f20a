"""`[control]`: the control socket."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from balancer.operator_settings.checks import socket_path
from balancer.operator_settings.table import Table


@dataclass(slots=True, frozen=True, kw_only=True)
class ControlSettings(Table):
    """`[control]`: the Unix socket on which a running node serves commands such as `balancer members`."""

    socket: Annotated[Path, socket_path] = Path("/run/dillport/control.sock")

    def summary(self) -> str:
        """Describe where the node listens."""
        return f"a control socket at {self.socket}"
