"""`[state]`: the state that the node keeps across restarts."""

from __future__ import annotations

import os
from collections.abc import Set
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from balancer.operator_settings.checks import require_package, seconds
from balancer.operator_settings.faults import Location, short_repr
from balancer.operator_settings.table import Table

DIRECTORY_REQUIREMENT = "the path of a folder that is there and may be written to"


def writable_directory(value: object, location: Location) -> Path | None:
    """Check for a writable folder; a relative path is relative to the folder of the operators' file."""
    if not isinstance(value, str) or not value or not value.isprintable():
        location.add_fault(short_repr(value), DIRECTORY_REQUIREMENT)
        return None
    path = location.folder / value
    try:
        is_directory = path.is_dir()
    except (OSError, ValueError):  # the path is too long
        is_directory = False
    if not is_directory or not os.access(path, os.R_OK | os.W_OK | os.X_OK):
        reason = "may not be written to" if is_directory else "is no folder"
        location.add_fault(f"{short_repr(str(path))}, which {reason}", DIRECTORY_REQUIREMENT)
        return None
    return path


@dataclass(slots=True, frozen=True, kw_only=True)
class StateSettings(Table):
    """`[state]`: the state that the node keeps across restarts. `max_age` and `every` are in seconds."""

    directory: Annotated[Path | None, writable_directory] = None
    max_age: Annotated[int, seconds(60, 31_536_000)] = 86_400
    every: Annotated[int, seconds(1, 3_600)] = 10

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], location: Location) -> None:
        """Check that there is a directory, and that three optional packages are installed."""
        if "directory" not in given:
            location.key("directory").add_fault("nothing", DIRECTORY_REQUIREMENT)
        if values.get("every", 0) > values.get("max_age", values.get("every", 0)):
            location.key("every").add_fault(f"{values['every']} s, over max_age", "max_age at most")
        for name in ("msgspec", "apsw", "xxhash"):
            require_package(name, "state", location)

    def summary(self) -> str:
        """Describe the directory, the maximum age and the interval."""
        return f"memory in {self.directory}, believed for {self.max_age} s, figures each {self.every} s"
