"""`state show|verify|clear`: what is kept in a directory. `recovery`: how far a running node is back."""

from __future__ import annotations

import importlib.util
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from balancer.cli.common import (
    PATH,
    Trouble,
    Wrapped,
    cell,
    columns,
    count,
    json_option,
    settings_option,
)
from balancer.net.startup import read_operators

if TYPE_CHECKING:
    from balancer.store.files import StoreFault

STATE = "Show, check or take away what a node keeps over a restart."
SHOW = "Show what is there and what a start would believe."
VERIFY = "Name every fault of every file; exit code 1 where there is one."
CLEAR = "Take away all that the node kept, its identity too."
RECOVERY = "Show how far a running node is back, and what it waits for."


def of_directory(command: Wrapped) -> Wrapped:
    """`--settings` and `--directory`."""
    text = "The directory; that of the settings by default."
    return settings_option(click.option("--directory", metavar="DIR", type=PATH, help=text)(command))


@click.group(help=STATE, short_help=STATE)
def state() -> None:
    """The words on a directory."""


@state.command(help=SHOW, short_help=SHOW)
@of_directory
@json_option
def show(settings: Path | None, directory: Path | None, as_json: bool) -> int:
    """The word."""
    from balancer.store import inspect
    from balancer.store.files import StoreFault

    try:
        told = inspect.show(_directory(settings, directory))
    except StoreFault as fault:
        raise _trouble(fault) from None
    if as_json:
        print(json.dumps(told))
    else:
        _print(told)
    return 0


@state.command(help=VERIFY, short_help=VERIFY)
@of_directory
@json_option
def verify(settings: Path | None, directory: Path | None, as_json: bool) -> int:
    """The word."""
    from balancer.store import inspect
    from balancer.store.files import StoreFault

    where = _directory(settings, directory)
    try:
        faults = inspect.verify(where)
    except StoreFault as fault:
        raise _trouble(fault) from None
    if as_json:
        print(json.dumps({"directory": where, "faults": faults}))
    else:
        for line in faults or [f"{where}: no fault"]:
            print(cell(line))
    return 1 if faults else 0


@state.command(help=CLEAR, short_help=CLEAR)
@of_directory
@click.option("--yes", is_flag=True, help="Do not ask first.")
@json_option
def clear(settings: Path | None, directory: Path | None, yes: bool, as_json: bool) -> int:
    """The word."""
    from balancer.store import inspect
    from balancer.store.files import StoreFault

    where = _directory(settings, directory)
    if not yes:
        try:
            sure = click.confirm(f"Take away all that is kept in {where}? It cannot be undone", err=True)
        except click.Abort:  # nobody to ask
            raise Trouble(2, "state clear: nothing was taken away: say yes, or --yes") from None
        if not sure:
            raise Trouble(1, "state clear: nothing was taken away")
    try:
        gone = inspect.clear(where)
    except StoreFault as fault:
        raise _trouble(fault) from None
    told = {"directory": where, "removed": gone}
    print(json.dumps(told) if as_json else f"{count(len(gone), 'file')} gone")
    return 0


@click.command(help=RECOVERY, short_help=RECOVERY)
@settings_option
@click.option(
    "--control", metavar="PATH", type=PATH, help="The node's control socket; that of the settings by default."
)
@json_option
def recovery(settings: Path | None, control: Path | None, as_json: bool) -> int:
    """The word."""
    from balancer.net.admin_socket import ControlError, ask

    if control is None:
        _, operators, wrong = read_operators(settings)
        if wrong:
            raise Trouble(2, *wrong)
        if operators.control is None:
            raise Trouble(2, "recovery: no [control] in the settings and no --control: no node to ask")
        control = operators.control.socket
    try:
        told = ask(control, "recovery")
    except ControlError as err:
        raise Trouble(1, str(err)) from None
    if as_json:
        print(json.dumps(told))
        return 0
    print(f"{told['state']}; memory {told['memory']}, life {told['incarnation']}")
    for line in told["waits_for"]:
        print(f"waits for {cell(line)}")
    if store := told.get("store"):
        print(f"kept in {cell(store['directory'])}: {cell(store['trouble'] or 'no fault')}")
    if told["phases"]:
        columns([["PHASE", "MS"], *([cell(one["name"]), f"{one['ms']:.0f}"] for one in told["phases"])])
    return 0


def _directory(settings: Path | None, directory: Path | None) -> str:
    """The one that is named, or that of the settings."""
    missing = [name for name in ("msgspec", "apsw", "xxhash") if importlib.util.find_spec(name) is None]
    if missing:
        raise Trouble(
            2, f"state: no package {', '.join(missing)}: the install `snowloom-balancer[state]` has it"
        )
    if directory is not None:
        return str(directory)
    _, operators, wrong = read_operators(settings)
    if wrong:
        raise Trouble(2, *wrong)
    if operators.state is None:
        raise Trouble(2, "state: no [state] in the settings and no --directory")
    return str(operators.state.directory)


def _trouble(fault: StoreFault) -> Trouble:
    """A directory that a node holds is 1, as it may be asked later; one that is none is 2."""
    return Trouble(1 if fault.trouble.value == "owned" else 2, f"state: {fault}")


def _print(told: dict[str, Any]) -> None:
    node, owner = told["node"], told["owner"]
    print(f"{cell(told['directory'])}: memory {told['memory']}")
    if owner is not None:
        print(f"held by process {owner}: balancer recovery asks the node")
    if node:
        print(f"node {cell(node['name'])}, life {node['incarnation']}, id {cell(node['id'])}")
    rows = [
        [cell(one.get(key)) for key in ("number", "bytes", "rows")] + [_said(one)]
        for one in told["generations"]
    ]
    if rows:
        columns([["GENERATION", "BYTES", "ROWS", ""], *rows])
    if told["tables"]:
        columns([["TABLE", "ROWS"], *([cell(name), str(rows)] for name, rows in told["tables"].items())])
    for journal in told["journals"]:
        print(f"journal {cell(journal['name'])}: {journal['bytes']} bytes")
    for line in told["faults"]:
        print(f"fault: {cell(line)}")


def _said(generation: dict[str, Any]) -> str:
    return "" if "believed" not in generation else "believed" if generation["believed"] else "not believed"
