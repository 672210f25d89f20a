"""A report as one self-contained HTML file: a lane for each server, with the events drawn over the lanes.

The page is built by the command from the node's answers; the node only answers queries. Plots are inline SVG
made by `matplotlib`. Names come from endpoint lists and are escaped; the page contains no script. It shows at
most `MAX_LANES` lanes, those with most failures first, and what the node returns in one answer.
"""

from __future__ import annotations

import io
from datetime import datetime
from html import escape
from typing import Any

import matplotlib
from matplotlib import dates
from matplotlib.figure import Figure
from matplotlib.ticker import FuncFormatter, NullFormatter

MAX_LANES = 40
FAILURE_COUNTERS = ("error", "reset", "connect_failed", "full", "timeout")
NOTE_MARKERS = {
    "ejected": ("v", "tab:red"),
    "taken_back": ("^", "tab:green"),
    "started": ("D", "tab:purple"),
    "up": (">", "tab:green"),
    "draining": ("s", "tab:orange"),
    "gone": ("x", "black"),
}
STYLE = """body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:75em;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}
svg{max-width:100%;height:auto}code{background:#f2f2f2;padding:0 .3em}"""


def render_page(
    lanes: list[dict[str, Any]], events: list[dict[str, Any]], title: str, omitted_count: int = 0
) -> str:
    """Returns the page from the answers to `timeline`, one for each lane, and the answer to `events`."""
    lanes, title = lanes[:MAX_LANES], printable(title)
    rows = "".join(map(_event_row, event_spans(events)))
    table = f"<table><tr><th>since<th>until<th>what<th>who<th>evidence</tr>{rows}</table>"
    omitted_note = f"<p>{omitted_count} further servers are not shown.</p>" if omitted_count else ""
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style><h1>{escape(title)}</h1><h2>Unusual behavior</h2>"
        f"{table if rows else '<p>None.</p>'}<h2>Activity of each server</h2>"
        "<p>Grey: attempts. Blue: the 90% answer time, in ms on a logarithmic scale. Red bars: attempts that "
        "failed, were rejected or timed out. Marks: decisions and starts. Shaded: an event that "
        f"concerns it.</p>{_render_plot(lanes, event_spans(events))}{omitted_note}</html>"
    )


def event_spans(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merges the steps of each event into one span; `until` is None while the event is open."""
    span_by_id: dict[int, dict[str, Any]] = {}
    for event in events:
        span = span_by_id.setdefault(event["id"], {**event, "until": None})
        span["evidence"] = event["evidence"]
        if event["event"] in ("departure_ended", "recovery"):  # a recovery is a single point in time
            span["until"] = event["at"]
    return sorted(span_by_id.values(), key=lambda event: event["since"])


def printable(value: object) -> str:
    """Replaces the characters that are not printable."""
    return "".join(
        character if character.isprintable() else "\N{REPLACEMENT CHARACTER}" for character in str(value)
    )


def _event_row(event: dict[str, Any]) -> str:
    until = _format_clock(event["until"]) if event["until"] else "still on"
    evidence = ", ".join(f"{key} {value}" for key, value in event["evidence"].items())
    cells = (
        _format_clock(event["since"]),
        until,
        event["signal"],
        f"{event['scope']} {event['subject']}",
        evidence,
    )
    return "<tr>" + "".join(f"<td>{escape(printable(cell))}" for cell in cells) + "</tr>"


def _format_clock(at_ms: float) -> str:
    return datetime.fromtimestamp(at_ms / 1000).strftime("%H:%M:%S")


def _date_number(at_ms: float) -> float:
    return float(dates.date2num(datetime.fromtimestamp(at_ms / 1000)))  # type: ignore[no-untyped-call]


def _render_plot(lanes: list[dict[str, Any]], events: list[dict[str, Any]]) -> str:
    lanes = [lane for lane in lanes if lane["points"]]
    if not lanes:
        return "<p>Nothing was recorded in that time.</p>"
    rc_settings: Any = {"svg.fonttype": "none", "svg.hashsalt": "dillport", "text.parse_math": False}
    with matplotlib.rc_context(rc_settings):
        figure = Figure(figsize=(13, 1.1 * len(lanes) + 0.6))
        axes = figure.subplots(len(lanes), 1, sharex=True, squeeze=False)[:, 0]
        first_ms = min(lane["points"][0]["at"] for lane in lanes)
        last_ms = max(lane["points"][-1]["at"] for lane in lanes) + 1_000
        p90_ms = [
            point["answer_ms"]["p90"] for lane in lanes for point in lane["points"] if "answer_ms" in point
        ]
        y_limits = (0.8 * max(min(p90_ms), 0.01), 1.25 * max(p90_ms)) if p90_ms else (1.0, 10.0)
        for lane, lane_axes in zip(lanes, axes, strict=True):
            _draw_lane(lane_axes, lane, y_limits)
            for event in events:
                if _concerns_lane(event, lane):
                    end_ms = min(event["until"] or last_ms, last_ms)
                    begin_ms = max(event["since"], first_ms)
                    if end_ms > begin_ms:
                        lane_axes.axvspan(
                            _date_number(begin_ms), _date_number(end_ms), color="tab:red", alpha=0.15, lw=0
                        )
            lane_axes.set_xlim(_date_number(first_ms), _date_number(last_ms))
        time_format = dates.DateFormatter("%H:%M:%S")  # type: ignore[no-untyped-call]
        axes[-1].xaxis.set_major_formatter(time_format)
        figure.tight_layout(h_pad=0.1)
        svg_buffer = io.StringIO()
        figure.savefig(svg_buffer, format="svg", metadata={"Date": None, "Creator": None})
    svg = svg_buffer.getvalue()
    return svg[svg.index("<svg") :]


def _concerns_lane(event: dict[str, Any], lane: dict[str, Any]) -> bool:
    scope, subject = event["scope"], event["subject"]
    if scope in ("zone", "kind"):
        return bool(subject == lane[scope])
    return scope in ("all", "node") or (scope == "server" and subject == lane["server"])


def _draw_lane(lane_axes: Any, lane: dict[str, Any], y_limits: tuple[float, float]) -> None:
    points = lane["points"]
    width_days = lane["resolution_s"] / 86_400
    positions = [_date_number(point["at"]) for point in points]
    lane_axes.bar(
        positions,
        [point["counts"].get("attempts", 0) for point in points],
        width_days,
        align="edge",
        color="0.88",
    )
    failure_counts = [sum(point["counts"].get(name, 0) for name in FAILURE_COUNTERS) for point in points]
    lane_axes.bar(positions, failure_counts, width_days, align="edge", color="tab:red")
    lane_axes.set_yticks([])
    p90_points = [
        (position, point["answer_ms"]["p90"])
        for position, point in zip(positions, points, strict=True)
        if "answer_ms" in point
    ]
    if p90_points:
        latency_axes = lane_axes.twinx()
        latency_axes.plot(*zip(*p90_points, strict=True), color="tab:blue", lw=1)
        latency_axes.set_yscale("log")
        latency_axes.set_ylim(*y_limits)  # the same for all lanes, so that they can be compared
        latency_axes.yaxis.set_major_formatter(FuncFormatter(lambda ms, _: f"{ms:g}"))
        latency_axes.yaxis.set_minor_formatter(NullFormatter())
        latency_axes.tick_params(labelsize=6, colors="tab:blue", which="both")
    for note in lane.get("notes", ()):
        if note["what"] in NOTE_MARKERS and points[0]["at"] <= note["at"] <= points[-1]["at"] + 60_000:
            marker, color = NOTE_MARKERS[note["what"]]
            lane_axes.plot(
                [_date_number(note["at"])],
                [0.85],
                marker,
                color=color,
                ms=5,
                transform=lane_axes.get_xaxis_transform(),
            )
    lane_axes.set_ylabel(printable(lane["server"])[:24], rotation=0, ha="right", va="center", fontsize=8)
