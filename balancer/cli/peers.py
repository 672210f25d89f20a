"""`peers`: the other nodes as a running one sees them."""

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

WATCH_S = 1.0  # between two looks of `--watch`
PEERS = "Show which other nodes are there, as a running node sees it."


@click.command(help=PEERS, short_help=PEERS)
@settings_option
@click.option(
    "--control",
    metavar="PATH",
    type=PATH_TYPE,
    help="The node's control socket; that of the settings by default.",
)
@click.option("--watch", is_flag=True, help="Look again each second, until it is ended.")
@json_option
def peers(settings: Path | None, control: Path | None, watch: bool, as_json: bool) -> int:
    """The word."""
    from balancer.net.admin_socket import AdminSocketError, ask

    if control is None:
        _, operators, wrong = read_operator_settings(settings)
        if wrong:
            raise CommandError(2, *wrong)
        if operators.control is None:
            raise CommandError(2, "peers: no [control] in the settings and no --control: no node to ask")
        control = operators.control.socket
    try:
        while True:
            told = ask(control, "peers")
            if watch and not as_json and sys.stdout.isatty():
                click.clear()
            print(json.dumps(told)) if as_json else _show(told)
            sys.stdout.flush()
            if not watch:
                return 0
            time.sleep(WATCH_S)
    except AdminSocketError as err:
        raise CommandError(1, str(err)) from None
    except KeyboardInterrupt:
        return 0


def _show(told: dict[str, Any]) -> None:
    doing = "speaks" if told["speaks"] else "does not speak yet" if told["address"] else "has no address"
    print(
        f"{format_cell(told['self'])} at {format_cell(told['address'])},"
        f" life {told['incarnation']}; it {doing}"
    )
    for said, text in (
        (told["trouble"], f"not had: {told['trouble']}"),
        (told["doubts"], "it stood still and calls nobody failed before it has heard from others"),
        (told["doubled"], f"another node at {told['doubled']} has this name"),
        (told["health"], f"it trusts itself less: its waits are {told['health'] + 1} times as long"),
    ):
        if said:
            print(format_cell(text))
    for one in told["cut"]:
        print(
            format_cell(
                f"cut off from {one['of']} {one['zone']}".rstrip() + f": {one['verdict']}; {one['why']}"
            )
        )
    for one in told["disagreements"]:
        what = f"{one['what']} {one['of']}".rstrip()
        print(format_cell(f"disagreement on {what}: {', '.join(one['names']) or 'nobody'}: {one['why']}"))
    for one in told["taken"]:
        does = "is gone" if one["gone"] else "drains"
        print(format_cell(f"by other nodes' word {one['server']} {does}, {one['source']} {one['revision']}"))
    rows = [["NAME", "ADDRESS", "STATE", "SINCE", "LIFE", "BACK", "VERSION", "GOES BY"]]
    for one in told["peers"]:
        since = f"{datetime.fromtimestamp(one['since'] / 1000):%m-%d %H:%M:%S}"
        shown = [format_cell(one[key]) for key in ("name", "address", "state")]
        by = one["goes_by"]
        lists = by.get("sources", {}).items()
        sources = ", ".join(f"{of} {its['revision']} {its['state']}" for of, its in lists)
        back = [format_cell(by.get(key, "-")) for key in ("state", "version")]
        rows.append([*shown, since, str(one["incarnation"]), *back, format_cell(sources or "-")])
    print_columns(rows)
    states = [one["state"] for one in told["peers"]]
    print(", ".join(f"{states.count(s)} {s}" for s in ("alive", "suspect", "failed", "left")))
