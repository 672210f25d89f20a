"""The operators' file: its tables, and parsing from TOML.

Each table has a module of its own and a field of `OperatorSettings`. A file has at most `MAX_FILE_BYTES`.
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
from balancer.operator_settings.table import Table, iterate_tables, read_table
from balancer.operator_settings.timeline import TimelineSettings

MAX_FILE_BYTES = 256 * 1024


@dataclass(slots=True, frozen=True, kw_only=True)
class OperatorSettings(Table):
    """The operators' file. Everything is off if it is empty or there is none."""

    membership: Membership = field(default_factory=Membership)
    control: ControlSettings | None = None
    timeline: TimelineSettings | None = None
    metrics: MetricsSettings | None = None
    state: StateSettings | None = None
    peers: PeersSettings | None = None

    def enabled_tables(self) -> list[str]:
        """One line for each enabled table that describes it."""
        return [
            f"{path}: {summary}" for path, table in iterate_tables(self, "") if (summary := table.summary())
        ]


def parse(raw: Mapping[str, object], folder: Path) -> OperatorSettings:
    """Parse the tables of a file in `folder`; raises OperatorSettingsError."""
    faults = FaultCollector()
    settings = read_table(OperatorSettings, raw, Location("", folder, faults))
    if faults.found or settings is None:
        raise OperatorSettingsError(tuple(faults.found), faults.left_out)
    return settings


def load(path: Path) -> OperatorSettings:
    """Parse a file; raises OperatorSettingsError."""
    return parse(_read_toml(path), path.absolute().parent)


def _read_toml(path: Path) -> dict[str, object]:
    faults = FaultCollector()
    data = read_bounded(path, Location("", path, faults), "", MAX_FILE_BYTES + 1)
    if data is None:
        raise OperatorSettingsError(tuple(faults.found))
    if len(data) > MAX_FILE_BYTES:
        raise _file_error(f"longer than {MAX_FILE_BYTES // 1024} KiB")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as err:
        raise _file_error(f"line {_line_number(data, err.start)}: not UTF-8") from None
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as err:
        place = re.search(r" \(at line (\d+), column (\d+)\)$", str(err))
        line = int(place[1]) if place else _line_number(data, len(data.rstrip()))
        raise _file_error(f"line {line}: not TOML: {err}") from None
    except ValueError:  # an integer that is too long to parse
        digits = re.search(rb"[0-9][0-9_]{4000}", data)
        raise _file_error(
            f"line {_line_number(data, digits.start() if digits else 0)}: a number too long"
        ) from None
    except RecursionError:
        raise _file_error(f"line {_deepest_line_number(text)}: arrays or tables nested too deep") from None


def _file_error(reason: str) -> OperatorSettingsError:
    return OperatorSettingsError((SettingFault("", reason, ""),))


def _line_number(data: bytes, offset: int) -> int:
    return data.count(b"\n", 0, offset) + 1


def _deepest_line_number(text: str) -> int:
    """The number of the line after which the most brackets are open."""
    depth, max_depth, deepest_line_number = 0, 0, 1
    for number, line in enumerate(text.split("\n"), 1):
        depth += sum(line.count(bracket) for bracket in "[{") - sum(line.count(bracket) for bracket in "]}")
        if depth > max_depth:
            max_depth, deepest_line_number = depth, number
    return deepest_line_number
