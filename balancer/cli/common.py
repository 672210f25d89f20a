"""Helpers shared by the commands: errors with an exit code, common options, and tables."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import click

from balancer.endpoints import Address
from balancer.net.startup import SETTINGS_VAR

PATH_TYPE: click.Path = click.Path(path_type=Path)

Command = Callable[..., Any]


class CommandError(Exception):
    """Ends a command with an exit code and lines for standard error."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__(*lines)
        self.exit_code, self.lines = code, lines


# --- options ------------------------------------------------------------------------------------------


def _settings_or_inherited(ctx: click.Context, param: click.Parameter, value: Path | None) -> Path | None:
    settings: Path | None = ctx.obj if value is None else value
    return settings


def settings_option(command: Command) -> Command:
    """Adds `--settings FILE`, accepted before and after a command; the one after it takes precedence."""
    return click.option(
        "--settings",
        metavar="FILE",
        type=PATH_TYPE,
        callback=_settings_or_inherited,
        help=f"The operators' settings, a TOML file (or {SETTINGS_VAR}).",
    )(command)


def json_option(command: Command) -> Command:
    """Adds `--json`."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON, one object per line.")(command)


# --- tables -------------------------------------------------------------------------------------------


def format_address(address: Address) -> str:
    """Formats an address as HOST:PORT, with brackets around an IPv6 host."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def format_count(number: int, noun: str, plural: str = "s") -> str:
    """Formats a count with its noun, which gets the suffix `plural` unless the count is 1."""
    return f"{number} {noun}{'' if number == 1 else plural}"


def format_cell(value: object) -> str:
    """Formats a value on one line; escapes control characters, as names come from endpoint lists."""
    text = "-" if value is None or value == "" else str(value)
    return text if text.isprintable() else ascii(text)


def print_columns(rows: Iterable[list[str]]) -> None:
    """Prints rows as a table with aligned columns."""
    rows = list(rows)
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        print("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())
