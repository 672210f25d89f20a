"""The commands that read the timeline of a running node: `timeline`, `events`, `why`, `report`.

Each queries the control socket and prints JSON or tables. `events --follow` polls with the number of the last
event it has printed, so that a reader that stops reading blocks only itself.
"""

from __future__ import annotations

import importlib.util
import json
import sys
import time
from collections.abc import Callable, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

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
from balancer.net.admin_socket import AdminSocketError, ask
from balancer.net.startup import read_operator_settings

POLL_INTERVAL_S = 0.5  # between two polls of `events --follow`

TIMELINE = "Show what servers did and what was decided about them."
EVENTS = "Show which servers behave unusually, since when and by how much."
WHY = "Show each decision about a request, with its reason."
REPORT = "Write what servers did as one HTML file that opens without a network."


# --- commands -----------------------------------------------------------------------------------------


class TimeParameter(click.ParamType[float]):
    """A time on the command line, converted to ms since 1970."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Converts with `parse_moment`."""
        try:
            return parse_moment(value)
        except ValueError:
            self.fail(f"{value!r} is no time: 09:30, 2026-12-01T09:30 or 15m", param, ctx)


def node_options(command: Command) -> Command:
    """Adds `--settings` and `--control`, which select the node to query."""
    text = "The node's control socket; that of the settings by default."
    return settings_option(click.option("--control", metavar="PATH", type=PATH_TYPE, help=text)(command))


def time_range_options(command: Command) -> Command:
    """Adds `--from` and `--to`."""
    text = "09:30, 09:30:15, 2026-12-01T09:30 or 15m (ago); 15m by default."
    since = click.option("--from", "since", metavar="TIME", type=TimeParameter(), help=text)
    until = click.option("--to", "until", metavar="TIME", type=TimeParameter(), help="Now by default.")
    return since(until(command))


@click.command(help=TIMELINE, short_help=TIMELINE)
@click.argument(
    "servers",
    metavar="[SERVER]...",
    nargs=-1,
    help="A server's id, zone:NAME, class:NAME or node; without one, an overview.",
)
@time_range_options
@click.option("--class", "class_name", metavar="CLASS", help="Response times of this class only.")
@node_options
@json_option
def timeline(
    servers: tuple[str, ...],
    since: float | None,
    until: float | None,
    class_name: str | None,
    settings: Path | None,
    control: Path | None,
    as_json: bool,
) -> int:
    """Prints lines of the timeline."""
    parameters = _drop_missing(("from", since), ("to", until), ("class", class_name))
    return _ask_node(settings, control, lambda path: print_timeline(path, servers, parameters, as_json))


@click.command(help=EVENTS, short_help=EVENTS)
@click.option("--follow", is_flag=True, help="Keep printing new events.")
@node_options
@json_option
def events(follow: bool, settings: Path | None, control: Path | None, as_json: bool) -> int:
    """Prints the events."""
    return _ask_node(settings, control, lambda path: print_events(path, follow, as_json))


@click.command(help=WHY, short_help=WHY)
@click.argument("request", metavar="REQUEST-ID")
@node_options
@json_option
def why(request: str, settings: Path | None, control: Path | None, as_json: bool) -> int:
    """Prints the decisions about one request."""
    return _ask_node(settings, control, lambda path: print_why(path, request, as_json))


@click.command(help=REPORT, short_help=REPORT)
@click.option("--html", metavar="FILE", type=PATH_TYPE, required=True, help="The file to write.")
@time_range_options
@node_options
def report(
    html: Path, since: float | None, until: float | None, settings: Path | None, control: Path | None
) -> int:
    """Writes the HTML report."""
    if importlib.util.find_spec("matplotlib") is None:
        raise CommandError(2, "report: no package matplotlib: the install `snowloom-balancer[report]` has it")

    def write(path: Path) -> None:
        try:
            lane_count = write_report(path, html, _drop_missing(("from", since), ("to", until)))
        except OSError as err:
            raise CommandError(2, f"report: {html}: {err.strerror}") from None
        print(f"{html}: {format_count(lane_count, 'server')}")

    return _ask_node(settings, control, write)


def _drop_missing(*pairs: tuple[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in pairs if value is not None}


def _ask_node(settings: Path | None, control: Path | None, query: Callable[[Path], None]) -> int:
    """Runs `query` with the control socket that the options or the settings name; returns the exit code."""
    if control is None:
        _, operators, faults = read_operator_settings(settings)
        if faults:
            raise CommandError(2, *faults)
        if operators.control is None:
            raise CommandError(2, "no node to ask: name its socket by --control, or settings with [control]")
        control = operators.control.socket
    try:
        query(control)
    except AdminSocketError as err:
        raise CommandError(1, str(err)) from None
    except KeyboardInterrupt:
        pass
    return 0


# --- output -------------------------------------------------------------------------------------------


def parse_moment(text: str) -> float:
    """Parses `09:30`, `09:30:15` (today), ISO 8601 or `15m` (ago) to ms since 1970.

    Raises ValueError.
    """
    unit_s = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}
    if text[-1:] in unit_s:
        return (time.time() - abs(float(text[:-1])) * unit_s[text[-1]]) * 1000
    try:
        return datetime.fromisoformat(text).timestamp() * 1000
    except ValueError:
        clock = datetime.strptime(text, "%H:%M:%S" if text.count(":") == 2 else "%H:%M")
    today = datetime.now().replace(hour=clock.hour, minute=clock.minute, second=clock.second, microsecond=0)
    return today.timestamp() * 1000


def format_time(at_ms: float) -> str:
    """Formats a time in the local time zone."""
    return datetime.fromtimestamp(at_ms / 1000).strftime("%m-%d %H:%M:%S")


def print_timeline(path: Path, servers: Sequence[str], parameters: dict[str, Any], as_json: bool) -> None:
    """Prints lines with their points, or an overview if no server is named."""
    for name in servers or [""]:
        answer = ask(path, "timeline", **parameters, server=name)
        if not name:
            answer["lines"].sort(key=failure_sort_key)
        if as_json:
            print(json.dumps(answer))
        elif name:
            _print_points(answer)
        else:
            _print_overview(answer)


SCOPE_ORDER = {"node": 0, "class": 1, "zone": 2, "server": 3}
FAILURE_COUNTERS = ("error", "reset", "connect_failed", "full", "timeout")


def failure_sort_key(row: dict[str, Any]) -> tuple[int, int]:
    """Sorts the node, classes, zones, then servers; within each, those with most failures first."""
    return SCOPE_ORDER[row["scope"]], -sum(row["counts"].get(name, 0) for name in FAILURE_COUNTERS)


def _format_row(row: dict[str, Any]) -> list[str]:
    counts, response_times = row["counts"], row.get("answer_ms", {})
    failed = sum(counts.get(name, 0) for name in ("error", "reset", "connect_failed"))
    values = [
        counts.get("ok", 0),
        failed,
        counts.get("full", 0),
        counts.get("timeout", 0),
        counts.get("refused", 0),
        response_times.get("p50"),
        response_times.get("p99"),
        row.get("own"),
        row.get("in_flight"),
        row.get("phase"),
    ]
    return [format_cell(value) for value in values]


COLUMN_TITLES = [
    "OK",
    "FAILED",
    "FULL",
    "TIMEOUT",
    "REFUSED",
    "P50 MS",
    "P99 MS",
    "OWN",
    "IN FLIGHT",
    "PHASE",
]
REGULAR_COUNTERS = {
    "attempts",
    "ok",
    "error",
    "reset",
    "connect_failed",
    "full",
    "timeout",
    "refused",
    "lowest_below_m",
    "arrived",
    "idle_sign",
    "crowded",
    "first_try",
}


def _print_points(answer: dict[str, Any]) -> None:
    zone = f", zone {format_cell(answer['zone'])}" if answer.get("zone") else ""
    print(f"{answer['scope']} {format_cell(answer['server'])}{zone}, in steps of {answer['resolution_s']} s")
    rows = [["TIME", *COLUMN_TITLES, "DECISIONS"]]
    for point in answer["points"]:
        decisions = [
            f"{name} {number}" for name, number in point["counts"].items() if name not in REGULAR_COUNTERS
        ]
        rows.append([format_time(point["at"]), *_format_row(point), ", ".join(decisions)])
    print_columns(rows)
    for note in answer.get("notes", []):
        duration = f" for {note['span_ms'] / 1000:.1f} s" if note["span_ms"] else ""
        count = f" after {note['count']}" if note["count"] else ""
        print(f"{format_time(note['at'])}  {format_cell(note['what'])}{count}{duration}")


def _print_overview(answer: dict[str, Any]) -> None:
    rows = [["SCOPE", "NAME", "ZONE", *COLUMN_TITLES]]
    rows += [
        [format_cell(row["scope"]), format_cell(row["name"]), format_cell(row["zone"]), *_format_row(row)]
        for row in answer["lines"]
    ]
    print_columns(rows)


def print_events(path: Path, follow: bool, as_json: bool) -> None:
    """Prints the events; with `follow` it polls until the reader leaves or the node ends."""
    after = 0
    while True:
        answer = ask(path, "events", after=after)
        if answer["missed"]:
            print(f"balancer: {answer['missed']} events were no longer kept", file=sys.stderr)
        for event in answer["events"]:
            print(json.dumps(event) if as_json else f"{format_time(event['at'])}  {describe_event(event)}")
        sys.stdout.flush()
        after = answer["next"]
        if not follow:
            return
        time.sleep(POLL_INTERVAL_S)


def describe_event(event: dict[str, Any]) -> str:
    """Formats an event as one line of text."""
    evidence = ", ".join(
        f"{format_cell(key)} {format_cell(value)}" for key, value in event["evidence"].items()
    )
    step = event["event"].removeprefix("departure_")
    who = f"{event['scope']} {format_cell(event['subject'])}"
    return (
        f"#{event['id']} {step}: {event['signal']} of {who} since {format_time(event['since'])} ({evidence})"
    )


def print_why(path: Path, request: str, as_json: bool) -> None:
    """Prints each decision about a request in order."""
    answer = ask(path, "why", request=request)
    if as_json:
        print(json.dumps(answer))
        return
    first = answer["decisions"][0]["at"]
    print(
        f"request {format_cell(answer['request'])} came {format_time(first)}"
        f"{'' if answer['over'] else ', still open'}"
    )
    rows = [["MS", "ACTION", "WHY", "SERVER", "MORE"]]
    for step in answer["decisions"]:
        details = {key: value for key, value in step.items() if key not in ("at", "action", "why", "backend")}
        rounded = [
            (key, round(value, 2) if isinstance(value, float) else value) for key, value in details.items()
        ]
        details_text = ", ".join(f"{key} {format_cell(value)}" for key, value in rounded)
        after_ms = f"{step['at'] - first:.1f}"
        rows.append(
            [after_ms, step["action"], format_cell(step["why"]), format_cell(step["backend"]), details_text]
        )
    print_columns(rows)
    if answer["left_out"]:
        print("further steps were not kept")


def write_report(path: Path, file: Path, parameters: dict[str, Any]) -> int:
    """Writes the report and returns its number of servers. Raises OSError if the file cannot be written."""
    from balancer.observability.html_report import MAX_LANES, render_page

    lines = sorted(ask(path, "timeline", **parameters)["lines"], key=failure_sort_key)
    names = [row["name"] for row in lines if row["scope"] == "server"]
    lanes = [ask(path, "timeline", **parameters, server=name) for name in names[:MAX_LANES]]
    now_text = f"{datetime.now():%Y-%m-%d %H:%M:%S}"
    events = ask(path, "events", after=0)["events"]
    text = render_page(lanes, events, f"Servers until {now_text}", len(names) - len(lanes))
    file.write_text(text, encoding="utf-8")
    return len(lanes)
