"""`state show|verify|clear`: what is kept in a directory. `recovery`: how far a running node is back."""

from __future__ import annotations

import importlib.util
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from balancer.cli.common import (
    PATH_TYPE,
    Command,
    CommandError,
    format_cell,
    format_count,
    json_option,
    print_columns,
    settings_option,
)
from balancer.net.startup import read_operators

if TYPE_CHECKING:
    from balancer.store.errors import StoreFileError

STATE_HELP = "Show, check or take away what a node keeps over a restart."
SHOW_HELP = "Show what is there and what a start would believe."
VERIFY_HELP = "Name every fault of every file; exit code 1 where there is one."
CLEAR_HELP = "Take away all that the node kept, its identity too."
RECOVERY_HELP = "Show how far a running node is back, and what it waits for."


def directory_options(command: Command) -> Command:
    """`--settings` and `--directory`."""
    text = "The directory; that of the settings by default."
    return settings_option(click.option("--directory", metavar="DIR", type=PATH_TYPE, help=text)(command))


@click.group(help=STATE_HELP, short_help=STATE_HELP)
def state() -> None:
    """The words on a directory."""


@state.command(help=SHOW_HELP, short_help=SHOW_HELP)
@directory_options
@json_option
def show(settings: Path | None, directory: Path | None, as_json: bool) -> int:
    """The word."""
    from balancer.store import inspect
    from balancer.store.errors import StoreFileError

    try:
        report = inspect.show(_resolve_directory(settings, directory))
    except StoreFileError as error:
        raise _command_error(error) from None
    if as_json:
        print(json.dumps(report))
    else:
        _print_summary(report)
    return 0


@state.command(help=VERIFY_HELP, short_help=VERIFY_HELP)
@directory_options
@json_option
def verify(settings: Path | None, directory: Path | None, as_json: bool) -> int:
    """The word."""
    from balancer.store import inspect
    from balancer.store.errors import StoreFileError

    target = _resolve_directory(settings, directory)
    try:
        faults = inspect.verify(target)
    except StoreFileError as error:
        raise _command_error(error) from None
    if as_json:
        print(json.dumps({"directory": target, "faults": faults}))
    else:
        for line in faults or [f"{target}: no fault"]:
            print(format_cell(line))
    return 1 if faults else 0


@state.command(help=CLEAR_HELP, short_help=CLEAR_HELP)
@directory_options
@click.option("--yes", is_flag=True, help="Do not ask first.")
@json_option
def clear(settings: Path | None, directory: Path | None, yes: bool, as_json: bool) -> int:
    """The word."""
    from balancer.store import inspect
    from balancer.store.errors import StoreFileError

    target = _resolve_directory(settings, directory)
    if not yes:
        try:
            is_confirmed = click.confirm(
                f"Take away all that is kept in {target}? It cannot be undone", err=True
            )
        except click.Abort:  # nobody to ask
            raise CommandError(2, "state clear: nothing was taken away: say yes, or --yes") from None
        if not is_confirmed:
            raise CommandError(1, "state clear: nothing was taken away")
    try:
        removed = inspect.clear(target)
    except StoreFileError as error:
        raise _command_error(error) from None
    report = {"directory": target, "removed": removed}
    print(json.dumps(report) if as_json else f"{format_count(len(removed), 'file')} gone")
    return 0


@click.command(help=RECOVERY_HELP, short_help=RECOVERY_HELP)
@settings_option
@click.option(
    "--control",
    metavar="PATH",
    type=PATH_TYPE,
    help="The node's control socket; that of the settings by default.",
)
@json_option
def recovery(settings: Path | None, control: Path | None, as_json: bool) -> int:
    """The word."""
    from balancer.net.admin_socket import AdminSocketError, ask

    if control is None:
        _, operators, faults = read_operators(settings)
        if faults:
            raise CommandError(2, *faults)
        if operators.control is None:
            raise CommandError(2, "recovery: no [control] in the settings and no --control: no node to ask")
        control = operators.control.socket
    try:
        report = ask(control, "recovery")
    except AdminSocketError as error:
        raise CommandError(1, str(error)) from None
    if as_json:
        print(json.dumps(report))
        return 0
    print(f"{report['state']}; memory {report['memory']}, life {report['incarnation']}")
    for line in report["waits_for"]:
        print(f"waits for {format_cell(line)}")
    if store := report.get("store"):
        print(f"kept in {format_cell(store['directory'])}: {format_cell(store['trouble'] or 'no fault')}")
    if report["phases"]:
        print_columns(
            [["PHASE", "MS"], *([format_cell(one["name"]), f"{one['ms']:.0f}"] for one in report["phases"])]
        )
    return 0


def _resolve_directory(settings: Path | None, directory: Path | None) -> str:
    """The one that is named, or that of the settings."""
    missing = [name for name in ("msgspec", "apsw", "xxhash") if importlib.util.find_spec(name) is None]
    if missing:
        raise CommandError(
            2, f"state: no package {', '.join(missing)}: the install `snowloom-balancer[state]` has it"
        )
    if directory is not None:
        return str(directory)
    _, operators, faults = read_operators(settings)
    if faults:
        raise CommandError(2, *faults)
    if operators.state is None:
        raise CommandError(2, "state: no [state] in the settings and no --directory")
    return str(operators.state.directory)


def _command_error(error: StoreFileError) -> CommandError:
    """A directory that a node holds is 1, as it may be asked later; one that is none is 2."""
    return CommandError(1 if error.kind.value == "owned" else 2, f"state: {error}")


def _print_summary(report: dict[str, Any]) -> None:
    node, owner = report["node"], report["owner"]
    print(f"{format_cell(report['directory'])}: memory {report['memory']}")
    if owner is not None:
        print(f"held by process {owner}: balancer recovery asks the node")
    if node:
        print(f"node {format_cell(node['name'])}, life {node['incarnation']}, id {format_cell(node['id'])}")
    rows = [
        [format_cell(one.get(key)) for key in ("number", "bytes", "rows")] + [_generation_verdict(one)]
        for one in report["generations"]
    ]
    if rows:
        print_columns([["GENERATION", "BYTES", "ROWS", ""], *rows])
    if report["tables"]:
        print_columns(
            [["TABLE", "ROWS"], *([format_cell(name), str(rows)] for name, rows in report["tables"].items())]
        )
    for journal in report["journals"]:
        print(f"journal {format_cell(journal['name'])}: {journal['bytes']} bytes")
    for line in report["faults"]:
        print(f"fault: {format_cell(line)}")


def _generation_verdict(generation: dict[str, Any]) -> str:
    return "" if "believed" not in generation else "believed" if generation["believed"] else "not believed"
