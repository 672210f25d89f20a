"""`members`: the servers that the sources list, from a running node or else from the files."""

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
    help="The node's control socket; by default that of the settings is used, and if no node answers there, "
    "the servers that the configuration knows at the start are shown.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def members(settings: Path | None, control: Path | None, as_json: bool) -> int:
    """Prints the members as tables or JSON."""
    status = _fetch_status(settings, control)
    if status is None:
        status = _status_from_files()
    if as_json:
        print(json.dumps(status, indent=1))
    else:
        _print_status(status)
    return 0


def _fetch_status(settings: Path | None, control: Path | None) -> dict[str, Any] | None:
    """Queries a running node; returns None if none is configured or the configured one does not answer."""
    from balancer.net.admin_socket import AdminSocketError, ask

    if control is not None:
        try:
            return ask(control, "members")
        except AdminSocketError as err:
            raise CommandError(1, str(err)) from None
    _, operators, faults = read_operator_settings(settings)
    if faults:
        raise CommandError(2, *faults)
    if operators.control is not None:
        try:
            return ask(operators.control.socket, "members")
        except AdminSocketError as err:
            print(f"balancer: {err}; showing the files instead:", file=sys.stderr)
    return None


def _status_from_files() -> dict[str, Any]:
    """Returns the servers known from the configuration, in the form of a node's answer."""
    config, faults = read(os.environ)
    if config is None:
        raise CommandError(2, *faults)
    configured = config.configured_endpoints
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
            for member in configured.records
        ],
        "faults": [
            {"source": "configuration", "key": fault.key, "reason": fault.reason}
            for fault in configured.invalid_entries
        ],
    }


def _print_status(status: dict[str, Any]) -> None:
    """Prints the sources, the members with a column for each source, and the unreadable entries."""
    if source_rows := status.get("sources", []):
        keys = ["name", "role", "state", "revision", "members", "unreadable", "not_applied", "reason"]
        header = ["SOURCE", *(key.upper().replace("_", " ") for key in keys[1:])]
        print_columns([header, *([format_cell(source.get(key)) for key in keys] for source in source_rows)])
        print()
    member_rows = status.get("members", [])
    sources = sorted({source for member in member_rows for source in member.get("sources", {})})
    columns = ["id", "address", "phase", "zone", "weight"]
    rows = [[name.upper() for name in columns] + [f"BY {source.upper()}" for source in sources]]
    for member in member_rows:
        phase_by_source = member.get("sources", {})
        rows.append(
            [format_cell(member.get(name)) for name in columns]
            + [format_cell(phase_by_source.get(source)) for source in sources]
        )
    print_columns(rows)
    print(format_count(len(member_rows), "server"))
    for fault in status.get("faults", []):
        print(
            f"cannot be read, from {fault['source']}: "
            f"{format_cell(fault['key'])}: {format_cell(fault['reason'])}"
        )
