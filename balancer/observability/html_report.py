"""One HTML file that opens without a network: a lane for each server, and the events over them.

Made by the command that asked the node, from what it was told: the node does nothing for it but answer. Plots
are SVG by `matplotlib`, in the page itself. Names come from the list and are escaped: there is no script in
the page. Bounds: `LANES` lanes, those with most failures first, and what the node tells in one answer.
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

LANES = 40
FAILURES = ("error", "reset", "connect_failed", "full", "timeout")
MARKS = {
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


def page(lanes: list[dict[str, Any]], events: list[dict[str, Any]], title: str, left_out: int = 0) -> str:
    """The page. `lanes` are answers to `timeline` for one line each, `events` those of `events`."""
    lanes, title = lanes[:LANES], shown(title)
    rows = "".join(map(_row, spans(events)))
    table = f"<table><tr><th>since<th>until<th>what<th>who<th>evidence</tr>{rows}</table>"
    note = f"<p>{left_out} further servers are not shown.</p>" if left_out else ""
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style><h1>{escape(title)}</h1><h2>Who departed from the usual</h2>"
        f"{table if rows else '<p>Nobody.</p>'}<h2>What each did</h2>"
        "<p>Grey: attempts. Blue: the 90% answer time, in ms on a logarithmic scale. Red bars: attempts that "
        "failed, were turned away or ran out of time. Marks: decisions and starts. Shaded: an event that "
        f"speaks of it.</p>{_plot(lanes, spans(events))}{note}</html>"
    )


def spans(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Each event once, from when it seems to have begun until its end, if that has come."""
    out: dict[int, dict[str, Any]] = {}
    for event in events:
        one = out.setdefault(event["id"], {**event, "until": None})
        one["evidence"] = event["evidence"]
        if event["event"] in ("departure_ended", "recovery"):  # the latter is of one moment
            one["until"] = event["at"]
    return sorted(out.values(), key=lambda event: event["since"])


def shown(value: object) -> str:
    """A name without what is not to be printed."""
    return "".join(c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in str(value))


def _row(event: dict[str, Any]) -> str:
    until = _clock(event["until"]) if event["until"] else "still on"
    evidence = ", ".join(f"{key} {value}" for key, value in event["evidence"].items())
    cells = (_clock(event["since"]), until, event["signal"], f"{event['scope']} {event['subject']}", evidence)
    return "<tr>" + "".join(f"<td>{escape(shown(cell))}" for cell in cells) + "</tr>"


def _clock(at_ms: float) -> str:
    return datetime.fromtimestamp(at_ms / 1000).strftime("%H:%M:%S")


def _at(at_ms: float) -> float:
    return float(dates.date2num(datetime.fromtimestamp(at_ms / 1000)))  # type: ignore[no-untyped-call]


def _plot(lanes: list[dict[str, Any]], events: list[dict[str, Any]]) -> str:
    lanes = [lane for lane in lanes if lane["points"]]
    if not lanes:
        return "<p>Nothing was recorded in that time.</p>"
    plain: Any = {"svg.fonttype": "none", "svg.hashsalt": "dillport", "text.parse_math": False}
    with matplotlib.rc_context(plain):
        figure = Figure(figsize=(13, 1.1 * len(lanes) + 0.6))
        axes = figure.subplots(len(lanes), 1, sharex=True, squeeze=False)[:, 0]
        first = min(lane["points"][0]["at"] for lane in lanes)
        last = max(lane["points"][-1]["at"] for lane in lanes) + 1_000
        timed = [p["answer_ms"]["p90"] for lane in lanes for p in lane["points"] if "answer_ms" in p]
        reach = (0.8 * max(min(timed), 0.01), 1.25 * max(timed)) if timed else (1.0, 10.0)
        for lane, ax in zip(lanes, axes, strict=True):
            _lane(ax, lane, reach)
            for event in events:
                if _speaks_of(event, lane):
                    end = min(event["until"] or last, last)
                    begin = max(event["since"], first)
                    if end > begin:
                        ax.axvspan(_at(begin), _at(end), color="tab:red", alpha=0.15, lw=0)
            ax.set_xlim(_at(first), _at(last))
        clock = dates.DateFormatter("%H:%M:%S")  # type: ignore[no-untyped-call]
        axes[-1].xaxis.set_major_formatter(clock)
        figure.tight_layout(h_pad=0.1)
        text = io.StringIO()
        figure.savefig(text, format="svg", metadata={"Date": None, "Creator": None})
    svg = text.getvalue()
    return svg[svg.index("<svg") :]


def _speaks_of(event: dict[str, Any], lane: dict[str, Any]) -> bool:
    scope, subject = event["scope"], event["subject"]
    if scope in ("zone", "kind"):
        return bool(subject == lane[scope])
    return scope in ("all", "node") or (scope == "server" and subject == lane["server"])


def _lane(ax: Any, lane: dict[str, Any], reach: tuple[float, float]) -> None:
    points = lane["points"]
    width = lane["resolution_s"] / 86_400
    at = [_at(point["at"]) for point in points]
    ax.bar(at, [p["counts"].get("attempts", 0) for p in points], width, align="edge", color="0.88")
    bad = [sum(p["counts"].get(name, 0) for name in FAILURES) for p in points]
    ax.bar(at, bad, width, align="edge", color="tab:red")
    ax.set_yticks([])
    timed = [(x, p["answer_ms"]["p90"]) for x, p in zip(at, points, strict=True) if "answer_ms" in p]
    if timed:
        times = ax.twinx()
        times.plot(*zip(*timed, strict=True), color="tab:blue", lw=1)
        times.set_yscale("log")
        times.set_ylim(*reach)  # one for all lanes: they are to be compared
        times.yaxis.set_major_formatter(FuncFormatter(lambda ms, _: f"{ms:g}"))
        times.yaxis.set_minor_formatter(NullFormatter())
        times.tick_params(labelsize=6, colors="tab:blue", which="both")
    for note in lane.get("notes", ()):
        if note["what"] in MARKS and points[0]["at"] <= note["at"] <= points[-1]["at"] + 60_000:
            mark, colour = MARKS[note["what"]]
            ax.plot([_at(note["at"])], [0.85], mark, color=colour, ms=5, transform=ax.get_xaxis_transform())
    ax.set_ylabel(shown(lane["server"])[:24], rotation=0, ha="right", va="center", fontsize=8)
