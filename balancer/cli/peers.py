"""`peers`: the other nodes as a running node sees them."""

from __future__ import annotations

import json
import sys
import time
from datetime import datetime
from pathlib import Path
from typing import Any

import click

from balancer.cli.common import (
    PATH_TYPE,
    CommandError,
    format_cell,
    json_option,
    print_columns,
    settings_option,
)
from balancer.net.startup import read_operator_settings

REFRESH_INTERVAL_S = 1.0  # between two refreshes of `--watch`
PEERS = "Show the other nodes as a running node sees them."


@click.command(help=PEERS, short_help=PEERS)
@settings_option
@click.option(
    "--control",
    metavar="PATH",
    type=PATH_TYPE,
    help="The node's control socket; that of the settings by default.",
)
@click.option("--watch", is_flag=True, help="Refresh each second until interrupted.")
@json_option
def peers(settings: Path | None, control: Path | None, watch: bool, as_json: bool) -> int:
    """Prints the peers as tables or JSON."""
    from balancer.net.admin_socket import AdminSocketError, ask

    if control is None:
        _, operators, faults = read_operator_settings(settings)
        if faults:
            raise CommandError(2, *faults)
        if operators.control is None:
            raise CommandError(2, "peers: no [control] in the settings and no --control: no node to ask")
        control = operators.control.socket
    try:
        while True:
            status = ask(control, "peers")
            if watch and not as_json and sys.stdout.isatty():
                click.clear()
            print(json.dumps(status)) if as_json else _print_status(status)
            sys.stdout.flush()
            if not watch:
                return 0
            time.sleep(REFRESH_INTERVAL_S)
    except AdminSocketError as err:
        raise CommandError(1, str(err)) from None
    except KeyboardInterrupt:
        return 0


def _print_status(status: dict[str, Any]) -> None:
    activity = (
        "speaks" if status["speaks"] else "does not speak yet" if status["address"] else "has no address"
    )
    print(
        f"{format_cell(status['self'])} at {format_cell(status['address'])},"
        f" life {status['incarnation']}; it {activity}"
    )
    for condition, text in (
        (status["trouble"], f"unavailable: {status['trouble']}"),
        (status["doubts"], "it was stalled and declares no node failed before it has heard from others"),
        (status["doubled"], f"another node at {status['doubled']} has this name"),
        (
            status["health"],
            f"its own health is degraded: its timeouts are {status['health'] + 1} times as long",
        ),
    ):
        if condition:
            print(format_cell(text))
    for entry in status["cut"]:
        print(
            format_cell(
                f"cut off from {entry['of']} {entry['zone']}".rstrip()
                + f": {entry['verdict']}; {entry['why']}"
            )
        )
    for entry in status["disagreements"]:
        topic = f"{entry['what']} {entry['of']}".rstrip()
        print(
            format_cell(f"disagreement on {topic}: {', '.join(entry['names']) or 'nobody'}: {entry['why']}")
        )
    for entry in status["taken"]:
        action = "is gone" if entry["gone"] else "drains"
        print(
            format_cell(
                f"reported by other nodes: {entry['server']} {action}, {entry['source']} {entry['revision']}"
            )
        )
    rows = [["NAME", "ADDRESS", "STATE", "SINCE", "LIFE", "BACK", "VERSION", "GOES BY"]]
    for entry in status["peers"]:
        since = f"{datetime.fromtimestamp(entry['since'] / 1000):%m-%d %H:%M:%S}"
        shown = [format_cell(entry[key]) for key in ("name", "address", "state")]
        goes_by = entry["goes_by"]
        lists = goes_by.get("sources", {}).items()
        sources = ", ".join(f"{source} {listing['revision']} {listing['state']}" for source, listing in lists)
        back = [format_cell(goes_by.get(key, "-")) for key in ("state", "version")]
        rows.append([*shown, since, str(entry["incarnation"]), *back, format_cell(sources or "-")])
    print_columns(rows)
    states = [entry["state"] for entry in status["peers"]]
    print(", ".join(f"{states.count(state)} {state}" for state in ("alive", "suspect", "failed", "left")))
