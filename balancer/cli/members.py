"""`members`: which servers the sources list, from a running node or else from the files."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from balancer.cli.common import (
    PATH_TYPE,
    CommandError,
    format_address,
    format_cell,
    format_count,
    print_columns,
    settings_option,
)
from balancer.net.config import read
from balancer.net.startup import read_operator_settings

MEMBERS = "Show which servers the sources list, as a running node sees it."


@click.command(help=MEMBERS, short_help=MEMBERS)
@settings_option
@click.option(
    "--control",
    metavar="PATH",
    type=PATH_TYPE,
    help="The node's control socket; without it that of the settings is asked, and if no node answers there, "
    "the servers that the configuration knows at the start are shown.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def members(settings: Path | None, control: Path | None, as_json: bool) -> int:
    """The word."""
    told = _fetch_status(settings, control)
    if told is None:
        told = _status_from_files()
    if as_json:
        print(json.dumps(told, indent=1))
    else:
        _print_status(told)
    return 0


def _fetch_status(settings: Path | None, control: Path | None) -> dict[str, Any] | None:
    """What a running node says; None where there is none to ask, or none that answers by the settings."""
    from balancer.net.admin_socket import AdminSocketError, ask

    if control is not None:
        try:
            return ask(control, "members")
        except AdminSocketError as err:
            raise CommandError(1, str(err)) from None
    _, operators, wrong = read_operator_settings(settings)
    if wrong:
        raise CommandError(2, *wrong)
    if operators.control is not None:
        try:
            return ask(operators.control.socket, "members")
        except AdminSocketError as err:
            print(f"balancer: {err}; what the files say instead:", file=sys.stderr)
    return None


def _status_from_files() -> dict[str, Any]:
    """The servers that the configuration knows at the start, in the form in which a node tells its own."""
    config, faults = read(os.environ)
    if config is None:
        raise CommandError(2, *faults)
    known = config.configured_endpoints
    return {
        "members": [
            {
                "id": member.id,
                "address": format_address(member.address),
                "phase": member.endpoint.phase.value,
                "zone": member.endpoint.zone,
                "weight": member.endpoint.weight,
                "sources": {"configuration": member.endpoint.phase.value},
            }
            for member in known.records
        ],
        "faults": [
            {"source": "configuration", "key": f.key, "reason": f.reason} for f in known.invalid_entries
        ],
    }


def _print_status(told: dict[str, Any]) -> None:
    """The sources and the members as tables, a column for what each source says; then what is unreadable."""
    if about := told.get("sources", []):
        keys = ["name", "role", "state", "revision", "members", "unreadable", "not_applied", "reason"]
        head = ["SOURCE", *(key.upper().replace("_", " ") for key in keys[1:])]
        print_columns([head, *([format_cell(source.get(key)) for key in keys] for source in about)])
        print()
    listed = told.get("members", [])
    sources = sorted({source for member in listed for source in member.get("sources", {})})
    names = ["id", "address", "phase", "zone", "weight"]
    rows = [[name.upper() for name in names] + [f"BY {source.upper()}" for source in sources]]
    for member in listed:
        says = member.get("sources", {})
        rows.append(
            [format_cell(member.get(name)) for name in names] + [format_cell(says.get(s)) for s in sources]
        )
    print_columns(rows)
    print(format_count(len(listed), "server"))
    for fault in told.get("faults", []):
        print(
            f"cannot be read, from {fault['source']}: "
            f"{format_cell(fault['key'])}: {format_cell(fault['reason'])}"
        )
