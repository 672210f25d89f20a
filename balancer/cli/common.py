"""What several words need: how they end early, the settings' option and file, tables for people."""

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
    """What ends a command early: an exit code, and lines for standard error."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__(*lines)
        self.exit_code, self.lines = code, lines


# --- options and files --------------------------------------------------------------------------------


def _settings_or_inherited(ctx: click.Context, param: click.Parameter, value: Path | None) -> Path | None:
    found: Path | None = ctx.obj if value is None else value
    return found


def settings_option(command: Command) -> Command:
    """`--settings FILE`, which is understood before a word and after it; after it goes first."""
    return click.option(
        "--settings",
        metavar="FILE",
        type=PATH_TYPE,
        callback=_settings_or_inherited,
        help=f"The operators' settings, a TOML file (or {SETTINGS_VAR}).",
    )(command)


def json_option(command: Command) -> Command:
    """`--json`."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON, one object a line.")(command)


# --- tables -------------------------------------------------------------------------------------------


def format_address(address: Address) -> str:
    """An address as it is written."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def format_count(number: int, what: str, plural: str = "s") -> str:
    """So many of them."""
    return f"{number} {what}{'' if number == 1 else plural}"


def format_cell(value: object) -> str:
    """A value on one line; guards the terminal against what a list may hold."""
    text = "-" if value is None or value == "" else str(value)
    return text if text.isprintable() else ascii(text)


def print_columns(rows: Iterable[list[str]]) -> None:
    """Print them below each other."""
    rows = list(rows)
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        print("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())
