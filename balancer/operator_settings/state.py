"""`[state]`: what the node keeps over a restart."""

from __future__ import annotations

import os
from collections.abc import Set
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from balancer.operator_settings.checks import package, seconds
from balancer.operator_settings.faults import Location, short_repr
from balancer.operator_settings.table import Table

FOLDER = "the path of a folder that is there and may be written to"


def own_folder(value: object, at: Location) -> Path | None:
    """A folder that may be written to; a relative path is one from the folder of the operators' file."""
    if not isinstance(value, str) or not value or not value.isprintable():
        at.fault(short_repr(value), FOLDER)
        return None
    path = at.folder / value
    try:
        there = path.is_dir()
    except (OSError, ValueError):  # a name too long
        there = False
    if not there or not os.access(path, os.R_OK | os.W_OK | os.X_OK):
        why = "may not be written to" if there else "is no folder"
        at.fault(f"{short_repr(str(path))}, which {why}", FOLDER)
        return None
    return path


@dataclass(slots=True, frozen=True, kw_only=True)
class StateSettings(Table):
    """`[state]`: what the node keeps over a restart. `max_age` and `every` are in seconds."""

    directory: Annotated[Path | None, own_folder] = None
    max_age: Annotated[int, seconds(60, 31_536_000)] = 86_400
    every: Annotated[int, seconds(1, 3_600)] = 10

    @classmethod
    def validate(cls, values: dict[str, Any], given: Set[str], at: Location) -> None:
        """It needs a directory, and three packages that a bare install leaves out."""
        if "directory" not in given:
            at.key("directory").fault("nothing", FOLDER)
        if values.get("every", 0) > values.get("max_age", values.get("every", 0)):
            at.key("every").fault(f"{values['every']} s, over max_age", "max_age at most")
        for name in ("msgspec", "apsw", "xxhash"):
            package(name, "state", at)

    def summary(self) -> str:
        """Where, how old, how often."""
        return f"memory in {self.directory}, believed for {self.max_age} s, figures each {self.every} s"
