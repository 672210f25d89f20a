"""Faults of the operators' file and their locations in it.

At most `MAX_FAULTS` faults are kept; further ones are only counted.
"""

from __future__ import annotations

import re
import reprlib
from dataclasses import dataclass
from pathlib import Path

MAX_FAULTS = 100  # that are kept

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]{1,60}")
_SHORT_REPR = reprlib.Repr()
_SHORT_REPR.maxstring = _SHORT_REPR.maxother = 80
_SHORT_REPR.maxlevel, _SHORT_REPR.maxdict, _SHORT_REPR.maxlist, _SHORT_REPR.maxlong = 2, 3, 3, 40


@dataclass(slots=True, frozen=True)
class SettingFault:
    """An invalid setting: the path of its key, the value found there, and what is allowed there."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.path}: " if self.path else ""
        return f"{where}found {self.found}; allowed: {self.allowed}" if self.allowed else where + self.found


class OperatorSettingsError(ValueError):
    """The operators' file is invalid. The message has one line for each fault."""

    def __init__(self, faults: tuple[SettingFault, ...], left_out: int = 0) -> None:
        self.faults, self.left_out = faults, left_out
        lines = [str(fault) for fault in faults]
        super().__init__("\n".join([*lines, f"and {left_out} more"] if left_out else lines))


class FaultCollector:
    """Collects the faults of a file, `MAX_FAULTS` at most."""

    def __init__(self) -> None:
        self.found: list[SettingFault] = []
        self.left_out = 0

    def is_full(self) -> bool:
        """Whether further faults are only counted."""
        return len(self.found) >= MAX_FAULTS

    def add(self, path: str, found: str, allowed: str) -> None:
        """Record a fault of the key at `path`."""
        if self.is_full():
            self.left_out += 1
        else:
            self.found.append(SettingFault(path, found, allowed))


class Location:
    """A location in the file, to which a check adds the faults of the value there."""

    __slots__ = ("faults", "folder", "path")

    def __init__(self, path: str, folder: Path, faults: FaultCollector) -> None:
        self.path, self.folder, self.faults = path, folder, faults

    def key(self, name: str) -> Location:
        """The location of a key in this table."""
        key_text = name if _BARE_KEY.fullmatch(name) else _SHORT_REPR.repr(name)
        return Location(f"{self.path}.{key_text}" if self.path else key_text, self.folder, self.faults)

    def item(self, index: int) -> Location:
        """The location of an item in this array."""
        return Location(f"{self.path}[{index}]", self.folder, self.faults)

    def add_fault(self, found: str, allowed: str) -> None:
        """Record that the value at this location is invalid."""
        self.faults.add(self.path, found, allowed)


def short_repr(value: object) -> str:
    """A value as text for messages, bounded in length and depth."""
    if isinstance(value, int) and value.bit_length() > 128:  # Python refuses to print very long numbers
        return f"a number of {value.bit_length()} bits"
    return _SHORT_REPR.repr(value)
