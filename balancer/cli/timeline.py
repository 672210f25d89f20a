"""The words that read a running node's time line: `timeline`, `events`, `why`, `report`.

Each asks over the control socket and prints JSON, or tables for people. `events --follow` asks again and
again with the number of the last event that it has: a reader that stops reading holds up itself alone.
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

FOLLOW_S = 0.5  # between two questions of `events --follow`

TIMELINE = "Show what servers did and what was decided about them."
EVENTS = "Show which servers departed from the usual, since when, by how much."
WHY = "Show each decision about a request, with its reason."
REPORT = "Write what servers did as one HTML file that opens without a network."


# --- words --------------------------------------------------------------------------------------------


class TimeParameter(click.ParamType[float]):
    """A time on the command line, as ms since 1970."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """As `moment` reads it."""
        try:
            return parse_moment(value)
        except ValueError:
            self.fail(f"{value!r} is no time: 09:30, 2026-12-01T09:30 or 15m", param, ctx)


def node_options(command: Command) -> Command:
    """`--settings` and `--control`: which node is asked."""
    text = "The node's control socket; that of the settings by default."
    return settings_option(click.option("--control", metavar="PATH", type=PATH_TYPE, help=text)(command))


def time_range_options(command: Command) -> Command:
    """`--from` and `--to`."""
    text = "09:30, 09:30:15, 2026-12-01T09:30 or 15m (ago), which it is by default."
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
@click.option("--class", "class_name", metavar="CLASS", help="Answer times of this class alone.")
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
    """The word."""
    given = _given(("from", since), ("to", until), ("class", class_name))
    return _ask_node(settings, control, lambda path: print_timeline(path, servers, given, as_json))


@click.command(help=EVENTS, short_help=EVENTS)
@click.option("--follow", is_flag=True, help="Go on with what comes.")
@node_options
@json_option
def events(follow: bool, settings: Path | None, control: Path | None, as_json: bool) -> int:
    """The word."""
    return _ask_node(settings, control, lambda path: print_events(path, follow, as_json))


@click.command(help=WHY, short_help=WHY)
@click.argument("request", metavar="REQUEST-ID")
@node_options
@json_option
def why(request: str, settings: Path | None, control: Path | None, as_json: bool) -> int:
    """The word."""
    return _ask_node(settings, control, lambda path: print_why(path, request, as_json))


@click.command(help=REPORT, short_help=REPORT)
@click.option("--html", metavar="FILE", type=PATH_TYPE, required=True, help="The file to write.")
@time_range_options
@node_options
def report(
    html: Path, since: float | None, until: float | None, settings: Path | None, control: Path | None
) -> int:
    """The word."""
    if importlib.util.find_spec("matplotlib") is None:
        raise CommandError(2, "report: no package matplotlib: the install `snowloom-balancer[report]` has it")

    def write(path: Path) -> None:
        try:
            lanes = write_report(path, html, _given(("from", since), ("to", until)))
        except OSError as err:
            raise CommandError(2, f"report: {html}: {err.strerror}") from None
        print(f"{html}: {format_count(lanes, 'server')}")

    return _ask_node(settings, control, write)


def _given(*pairs: tuple[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in pairs if value is not None}


def _ask_node(settings: Path | None, control: Path | None, tell: Callable[[Path], None]) -> int:
    """Ask the node at the control socket that the words or the settings name."""
    if control is None:
        _, operators, wrong = read_operator_settings(settings)
        if wrong:
            raise CommandError(2, *wrong)
        if operators.control is None:
            raise CommandError(2, "no node to ask: name its socket by --control, or settings with [control]")
        control = operators.control.socket
    try:
        tell(control)
    except AdminSocketError as err:
        raise CommandError(1, str(err)) from None
    except KeyboardInterrupt:
        pass
    return 0


# --- what they print ----------------------------------------------------------------------------------


def parse_moment(text: str) -> float:
    """A time on the command line as ms since 1970: `09:30`, `09:30:15` (today), ISO 8601, or `15m` ago.

    Raises ValueError.
    """
    units = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}
    if text[-1:] in units:
        return (time.time() - abs(float(text[:-1])) * units[text[-1]]) * 1000
    try:
        return datetime.fromisoformat(text).timestamp() * 1000
    except ValueError:
        clock = datetime.strptime(text, "%H:%M:%S" if text.count(":") == 2 else "%H:%M")
    today = datetime.now().replace(hour=clock.hour, minute=clock.minute, second=clock.second, microsecond=0)
    return today.timestamp() * 1000


def format_time(at_ms: float) -> str:
    """A time for people, in their own zone."""
    return datetime.fromtimestamp(at_ms / 1000).strftime("%m-%d %H:%M:%S")


def print_timeline(path: Path, servers: Sequence[str], more: dict[str, Any], as_json: bool) -> None:
    """Print lines with their points, or an overview where no server is named."""
    for name in servers or [""]:
        told = ask(path, "timeline", **more, server=name)
        if not name:
            told["lines"].sort(key=failure_sort_key)
        if as_json:
            print(json.dumps(told))
        elif name:
            _points(told)
        else:
            _overview(told)


SCOPE_ORDER = {"node": 0, "class": 1, "zone": 2, "server": 3}
FAILURE_COUNTERS = ("error", "reset", "connect_failed", "full", "timeout")


def failure_sort_key(row: dict[str, Any]) -> tuple[int, int]:
    """The node, classes, zones, then servers, those with most failures first."""
    return SCOPE_ORDER[row["scope"]], -sum(row["counts"].get(name, 0) for name in FAILURE_COUNTERS)


def _line(row: dict[str, Any]) -> list[str]:
    counts, times = row["counts"], row.get("answer_ms", {})
    failed = sum(counts.get(name, 0) for name in ("error", "reset", "connect_failed"))
    shown = [
        counts.get("ok", 0),
        failed,
        counts.get("full", 0),
        counts.get("timeout", 0),
        counts.get("refused", 0),
        times.get("p50"),
        times.get("p99"),
        row.get("own"),
        row.get("in_flight"),
        row.get("phase"),
    ]
    return [format_cell(value) for value in shown]


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


def _points(told: dict[str, Any]) -> None:
    zone = f", zone {format_cell(told['zone'])}" if told.get("zone") else ""
    print(f"{told['scope']} {format_cell(told['server'])}{zone}, in steps of {told['resolution_s']} s")
    rows = [["TIME", *COLUMN_TITLES, "DECISIONS"]]
    for point in told["points"]:
        odd = [f"{name} {n}" for name, n in point["counts"].items() if name not in REGULAR_COUNTERS]
        rows.append([format_time(point["at"]), *_line(point), ", ".join(odd)])
    print_columns(rows)
    for note in told.get("notes", []):
        span = f" for {note['span_ms'] / 1000:.1f} s" if note["span_ms"] else ""
        count = f" after {note['count']}" if note["count"] else ""
        print(f"{format_time(note['at'])}  {format_cell(note['what'])}{count}{span}")


def _overview(told: dict[str, Any]) -> None:
    rows = [["SCOPE", "NAME", "ZONE", *COLUMN_TITLES]]
    rows += [
        [format_cell(r["scope"]), format_cell(r["name"]), format_cell(r["zone"]), *_line(r)]
        for r in told["lines"]
    ]
    print_columns(rows)


def print_events(path: Path, follow: bool, as_json: bool) -> None:
    """Print the events, and with `follow` go on until the reader leaves or the node ends."""
    after = 0
    while True:
        told = ask(path, "events", after=after)
        if told["missed"]:
            print(f"balancer: {told['missed']} events were no longer kept", file=sys.stderr)
        for event in told["events"]:
            print(json.dumps(event) if as_json else f"{format_time(event['at'])}  {describe_event(event)}")
        sys.stdout.flush()
        after = told["next"]
        if not follow:
            return
        time.sleep(FOLLOW_S)


def describe_event(event: dict[str, Any]) -> str:
    """An event for people."""
    evidence = ", ".join(
        f"{format_cell(key)} {format_cell(value)}" for key, value in event["evidence"].items()
    )
    step = event["event"].removeprefix("departure_")
    who = f"{event['scope']} {format_cell(event['subject'])}"
    return (
        f"#{event['id']} {step}: {event['signal']} of {who} since {format_time(event['since'])} ({evidence})"
    )


def print_why(path: Path, request: str, as_json: bool) -> None:
    """Print each decision about a request in order."""
    told = ask(path, "why", request=request)
    if as_json:
        print(json.dumps(told))
        return
    first = told["decisions"][0]["at"]
    print(
        f"request {format_cell(told['request'])} came {format_time(first)}"
        f"{'' if told['over'] else ', still open'}"
    )
    rows = [["MS", "ACTION", "WHY", "SERVER", "MORE"]]
    for step in told["decisions"]:
        more = {k: v for k, v in step.items() if k not in ("at", "action", "why", "backend")}
        shown = [(key, round(v, 2) if isinstance(v, float) else v) for key, v in more.items()]
        words = ", ".join(f"{key} {format_cell(value)}" for key, value in shown)
        after = f"{step['at'] - first:.1f}"
        rows.append([after, step["action"], format_cell(step["why"]), format_cell(step["backend"]), words])
    print_columns(rows)
    if told["left_out"]:
        print("further steps were not kept")


def write_report(path: Path, file: Path, more: dict[str, Any]) -> int:
    """Write the page; how many servers are on it. Raises OSError where the file cannot be written."""
    from balancer.observability.html_report import MAX_LANES, render_page

    told = sorted(ask(path, "timeline", **more)["lines"], key=failure_sort_key)
    rows = [row["name"] for row in told if row["scope"] == "server"]
    lanes = [ask(path, "timeline", **more, server=name) for name in rows[:MAX_LANES]]
    until = f"{datetime.now():%Y-%m-%d %H:%M:%S}"
    events = ask(path, "events", after=0)["events"]
    text = render_page(lanes, events, f"Servers until {until}", len(rows) - len(lanes))
    file.write_text(text, encoding="utf-8")
    return len(lanes)
