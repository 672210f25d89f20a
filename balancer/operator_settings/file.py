"""The operators' file: its tables, and its reading out of TOML.

A new table is a module of its own and a field of `Operators`. Bounds: 256 KiB a file.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from balancer.operator_settings.checks import read_bounded
from balancer.operator_settings.control import ControlSettings
from balancer.operator_settings.faults import (
    FaultCollector,
    Location,
    OperatorSettingsError,
    SettingFault,
)
from balancer.operator_settings.membership import Membership
from balancer.operator_settings.metrics import MetricsSettings
from balancer.operator_settings.peers import PeersSettings
from balancer.operator_settings.state import StateSettings
from balancer.operator_settings.table import Table, read_table, tables_of
from balancer.operator_settings.timeline import TimelineSettings

MAX_FILE_BYTES = 256 * 1024  # bytes of the operators' file


@dataclass(slots=True, frozen=True, kw_only=True)
class OperatorSettings(Table):
    """The operators' file. Everything is off where it is empty or there is none."""

    membership: Membership = field(default_factory=Membership)
    control: ControlSettings | None = None
    timeline: TimelineSettings | None = None
    metrics: MetricsSettings | None = None
    state: StateSettings | None = None
    peers: PeersSettings | None = None

    def enabled_tables(self) -> list[str]:
        """What is on, a line a table in plain words."""
        return [f"{path}: {words}" for path, found in tables_of(self, "") if (words := found.summary())]


def parse(raw: Mapping[str, object], folder: Path) -> OperatorSettings:
    """The settings out of the tables of a file that lies in `folder`; raises OperatorsError."""
    faults = FaultCollector()
    found = read_table(OperatorSettings, raw, Location("", folder, faults))
    if faults.found or found is None:
        raise OperatorSettingsError(tuple(faults.found), faults.left_out)
    return found


def load(path: Path) -> OperatorSettings:
    """The settings in a file; raises OperatorsError."""
    return parse(_toml(path), path.absolute().parent)


def _toml(path: Path) -> dict[str, object]:
    faults = FaultCollector()
    told = read_bounded(path, Location("", path, faults), "", MAX_FILE_BYTES + 1)
    if told is None:
        raise OperatorSettingsError(tuple(faults.found))
    if len(told) > MAX_FILE_BYTES:
        raise _spoiled(f"longer than {MAX_FILE_BYTES // 1024} KiB")
    try:
        content = told.decode("utf-8")
    except UnicodeDecodeError as err:
        raise _spoiled(f"line {_line(told, err.start)}: not UTF-8") from None
    try:
        return tomllib.loads(content)
    except tomllib.TOMLDecodeError as err:
        place = re.search(r" \(at line (\d+), column (\d+)\)$", str(err))
        line = int(place[1]) if place else _line(told, len(told.rstrip()))
        raise _spoiled(f"line {line}: not TOML: {err}") from None
    except ValueError:  # a number too long to read
        digits = re.search(rb"[0-9][0-9_]{4000}", told)
        raise _spoiled(f"line {_line(told, digits.start() if digits else 0)}: a number too long") from None
    except RecursionError:
        raise _spoiled(f"line {_deepest(content)}: arrays or tables nested too deep") from None


def _spoiled(what: str) -> OperatorSettingsError:
    return OperatorSettingsError((SettingFault("", what, ""),))


def _line(told: bytes, offset: int) -> int:
    return told.count(b"\n", 0, offset) + 1


def _deepest(content: str) -> int:
    """The line by which the most brackets are open."""
    depth, deepest, out = 0, 0, 1
    for number, line in enumerate(content.split("\n"), 1):
        depth += sum(line.count(c) for c in "[{") - sum(line.count(c) for c in "]}")
        if depth > deepest:
            deepest, out = depth, number
    return out
