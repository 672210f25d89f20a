"""Commands `state show|verify|clear` on a state directory, and `recovery` on a running node."""

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
from balancer.net.startup import read_operator_settings

if TYPE_CHECKING:
    from balancer.store.errors import StoreFileError
    from balancer.store.inspect import GenerationReport

STATE_HELP = "Show, verify or delete the state that a node keeps across restarts."
SHOW_HELP = "Show what is stored and what a start would restore."
VERIFY_HELP = "Print every fault of every file; exit code 1 if there is one."
CLEAR_HELP = "Delete all stored state of the node, including its identity."
RECOVERY_HELP = "Show the recovery of a running node and what it waits for."

REQUIRED_PACKAGES = ("msgspec", "apsw", "xxhash")
"""What the extra `state` installs; `balancer.store` is imported only once they are known to exist."""


def directory_options(command: Command) -> Command:
    """Adds the options `--settings` and `--directory`."""
    text = "The directory; that of the settings by default."
    return settings_option(click.option("--directory", metavar="DIR", type=PATH_TYPE, help=text)(command))


@click.group(help=STATE_HELP, short_help=STATE_HELP)
def state() -> None:
    """Commands on a state directory."""


@state.command(help=SHOW_HELP, short_help=SHOW_HELP)
@directory_options
@json_option
def show(settings: Path | None, directory: Path | None, as_json: bool) -> int:
    """Prints what the directory contains and what a start would restore."""
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
    """Prints every fault; exit code 1 if there is one."""
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
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@json_option
def clear(settings: Path | None, directory: Path | None, yes: bool, as_json: bool) -> int:
    """Removes the files of the store, after a confirmation."""
    from balancer.store import inspect
    from balancer.store.errors import StoreFileError

    target = _resolve_directory(settings, directory)
    if not yes:
        try:
            is_confirmed = click.confirm(f"Delete all state in {target}? This cannot be undone", err=True)
        except click.Abort:  # standard input is closed
            raise CommandError(2, "state clear: nothing was deleted: answer yes or pass --yes") from None
        if not is_confirmed:
            raise CommandError(1, "state clear: nothing was deleted")
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
    """Prints how far the recovery of a running node is."""
    from balancer.net.admin_socket import AdminSocketError, ask

    if control is None:
        _, operators, faults = read_operator_settings(settings)
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
    _print_recovery(report)
    return 0


def _resolve_directory(settings: Path | None, directory: Path | None) -> str:
    """The directory that is given, or that of the settings; raises CommandError."""
    missing = [name for name in REQUIRED_PACKAGES if importlib.util.find_spec(name) is None]
    if missing:
        raise CommandError(
            2, f"state: no package {', '.join(missing)}: the install `snowloom-balancer[state]` has it"
        )
    if directory is not None:
        return str(directory)
    _, operators, faults = read_operator_settings(settings)
    if faults:
        raise CommandError(2, *faults)
    if operators.state is None:
        raise CommandError(2, "state: no [state] in the settings and no --directory")
    return str(operators.state.directory)


def _command_error(error: StoreFileError) -> CommandError:
    """Exit code 1 if a node has the directory, as it may be free later; else 2."""
    from balancer.store.errors import FaultKind

    return CommandError(1 if error.kind is FaultKind.LOCKED else 2, f"state: {error}")


def _print_summary(report: dict[str, Any]) -> None:
    node, owner = report["node"], report["owner"]
    print(f"{format_cell(report['directory'])}: memory {report['memory']}")
    if owner is not None:
        print(f"held by process {owner}: balancer recovery asks the node")
    if node:
        print(f"node {format_cell(node['name'])}, life {node['incarnation']}, id {format_cell(node['id'])}")
    generations = [
        [format_cell(generation.get(key)) for key in ("number", "bytes", "rows")]
        + [_generation_verdict(generation)]
        for generation in report["generations"]
    ]
    if generations:
        print_columns([["GENERATION", "BYTES", "ROWS", ""], *generations])
    if report["tables"]:
        tables = [[format_cell(name), str(row_count)] for name, row_count in report["tables"].items()]
        print_columns([["TABLE", "ROWS"], *tables])
    for journal in report["journals"]:
        print(f"journal {format_cell(journal['name'])}: {journal['bytes']} bytes")
    for fault in report["faults"]:
        print(f"fault: {format_cell(fault)}")


def _print_recovery(report: dict[str, Any]) -> None:
    print(f"{report['state']}; memory {report['memory']}, life {report['incarnation']}")
    for awaited in report["waits_for"]:
        print(f"waits for {format_cell(awaited)}")
    if store := report.get("store"):
        print(f"kept in {format_cell(store['directory'])}: {format_cell(store['trouble'] or 'no fault')}")
    if report["phases"]:
        rows = [[format_cell(phase["name"]), f"{phase['ms']:.0f}"] for phase in report["phases"]]
        print_columns([["PHASE", "MS"], *rows])


def _generation_verdict(generation: GenerationReport) -> str:
    if "believed" not in generation:  # a node has the directory: only its files were listed
        return ""
    return "believed" if generation["believed"] else "not believed"
