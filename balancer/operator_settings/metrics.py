"""`[metrics]`: the time line for other programs."""

from __future__ import annotations

import ipaddress
from collections.abc import Set
from dataclasses import dataclass
from typing import Annotated, Any

from balancer.operator_settings.checks import address, package
from balancer.operator_settings.faults import Location
from balancer.operator_settings.table import Table


@dataclass(slots=True, frozen=True, kw_only=True)
class MetricsSettings(Table):
    """`[metrics]`: OpenMetrics of the time line over HTTP, for whoever may connect."""

    needs = ("timeline",)  # out of which they are read
    listen: Annotated[tuple[str, int], address] = ("127.0.0.1", 9464)

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], at: Location) -> None:
        """It needs `prometheus_client`, which a bare install leaves out."""
        package("prometheus_client", "metrics", at)

    def summary(self) -> str:
        """Where it listens."""
        host, port = self.listen
        at = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        local = ipaddress.ip_address(host).is_loopback
        known = "" if local else "; ANYBODY who reaches that address may read them"
        return f"metrics at http://{at}/metrics{known}"
