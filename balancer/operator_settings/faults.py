"""What is wrong with a file, and where: `Fault`, `OperatorsError`, and `At`, one place in the file.

Bounds: 100 faults are kept, the rest are counted.
"""

from __future__ import annotations

import re
import reprlib
from dataclasses import dataclass
from pathlib import Path

MAX_FAULTS = 100  # named; the rest are counted

_BARE = re.compile(r"[A-Za-z0-9_-]{1,60}")
_SHORT = reprlib.Repr()
_SHORT.maxstring = _SHORT.maxother = 80
_SHORT.maxlevel, _SHORT.maxdict, _SHORT.maxlist, _SHORT.maxlong = 2, 3, 3, 40


@dataclass(slots=True, frozen=True)
class SettingFault:
    """One thing that is wrong: the key's path, what was found there, what is allowed there."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.path}: " if self.path else ""
        return f"{where}found {self.found}; allowed: {self.allowed}" if self.allowed else where + self.found


class OperatorSettingsError(ValueError):
    """The operators' file cannot be used. Its text names every fault, one a line."""

    def __init__(self, faults: tuple[SettingFault, ...], left_out: int = 0) -> None:
        self.faults, self.left_out = faults, left_out
        lines = [str(fault) for fault in faults]
        super().__init__("\n".join([*lines, f"and {left_out} more"] if left_out else lines))


class FaultCollector:
    """Collects faults, and remembers no more of them than are told."""

    def __init__(self) -> None:
        self.found: list[SettingFault] = []
        self.left_out = 0

    def full(self) -> bool:
        """Whether no more faults are recorded; further ones are counted."""
        return len(self.found) >= MAX_FAULTS

    def add(self, path: str, found: str, allowed: str) -> None:
        """Record a fault of the key at `path`."""
        if self.full():
            self.left_out += 1
        else:
            self.found.append(SettingFault(path, found, allowed))


class Location:
    """One place in the file: where a check says what is wrong with the value there."""

    __slots__ = ("faults", "folder", "path")

    def __init__(self, path: str, folder: Path, faults: FaultCollector) -> None:
        self.path, self.folder, self.faults = path, folder, faults

    def key(self, name: str) -> Location:
        """The place of a key in this table."""
        bare = name if _BARE.fullmatch(name) else _SHORT.repr(name)
        return Location(f"{self.path}.{bare}" if self.path else bare, self.folder, self.faults)

    def item(self, index: int) -> Location:
        """The place of an item in this array."""
        return Location(f"{self.path}[{index}]", self.folder, self.faults)

    def fault(self, found: str, allowed: str) -> None:
        """Note that what is here makes no sense."""
        self.faults.add(self.path, found, allowed)


def short_repr(value: object) -> str:
    """A value for the eyes, bounded in length and depth."""
    if isinstance(value, int) and value.bit_length() > 128:  # guards against numbers too long to print
        return f"a number of {value.bit_length()} bits"
    return _SHORT.repr(value)
