"""What operators are told of the time line, as JSON's own types, and in a bounded number of points."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from balancer.timeline import latency_histogram as sketch
from balancer.timeline import request_traces as trails
from balancer.timeline import schema as keys
from balancer.timeline.monitor import TimelineMonitor
from balancer.timeline.recorder import (
    CLASS,
    NODE,
    ZONE,
    Line,
    Recorder,
)
from balancer.timeline.time_series import RESOLUTIONS_S, Bucket, finest

MOST_POINTS = 600
OVERVIEW_S = 6 * 3_600  # that an overview reaches over at the most
MOST_LINES = 200  # in an overview; the ones with most to tell
QUANTILES = (0.5, 0.9, 0.99)


def times(counts: dict[int, int], number: int | None = None) -> dict[int, int]:
    """The bins of the answer times in a bucket, of one class or of all."""
    out: dict[int, int] = {}
    for key, count in counts.items():
        if key >= keys.TIMES and number in (None, keys.class_of(key)):
            at = (key - keys.TIMES) % keys.WIDTH
            out[at] = out.get(at, 0) + count
    return out


def point(bucket: Bucket, number: int | None = None) -> dict[str, Any]:
    """One bucket: counts by name, answer times as quantiles in ms, gauges that were told."""
    counts, gauges = bucket.counts, bucket.gauges
    bins = times(counts, number)
    out: dict[str, Any] = {"at": bucket.at * 1000}
    out["counts"] = {keys.NAMES[key]: count for key, count in sorted(counts.items()) if key in keys.NAMES}
    if bins:
        out["answers"] = sum(bins.values())
        out["answer_ms"] = {f"p{part * 100:g}": round(sketch.quantile(bins, part), 3) for part in QUANTILES}
    out["own"] = gauges.own
    for name in ("in_flight", "queue", "estimate", "weight", "phase"):
        if (value := getattr(gauges, name)) is not None:
            out[name] = value
    return out


def line_of(recorder: Recorder, name: str) -> Line | None:
    """The line of a server, else `zone:NAME`, `class:NAME` or `node`; earlier lives by their whole name."""
    if (found := recorder.servers.get(name)) is not None:
        return found
    scope, _, rest = name.partition(":")
    table = {ZONE: recorder.zones, CLASS: recorder.classes}.get(scope, {})
    past = (line for line in recorder.past if line.name == name)
    return recorder.node if name == NODE else table.get(rest) or next(past, None)


def timeline(watch: TimelineMonitor, asked: dict[str, Any]) -> dict[str, Any]:
    """Answer `timeline`: one line with its points, or an overview. Times asked for are ms since 1970."""
    recorder = watch.recorder
    now = recorder.second
    try:
        since = int(float(asked.get("from") or (now - 900) * 1000) / 1000)
        until = int(float(asked.get("to") or (now + 1) * 1000) / 1000) + 1
    except (TypeError, ValueError, OverflowError):
        return {"error": "from and to are times in ms since 1970"}
    name, class_name = str(asked.get("server") or ""), asked.get("class")
    first = recorder.numbers.get(str(class_name)) if class_name else None
    number = None if first is None else keys.class_of(first)
    if class_name and number is None:
        return {"error": f"there is no class {class_name!s:.60}; there are {', '.join(recorder.numbers)}"}
    resolution = finest(since, now, MOST_POINTS, recorder.spans)
    if name:
        line = line_of(recorder, name)
        if line is None:
            return {"error": f"nothing is known of {name:.60}"}
        first = max(since, until - MOST_POINTS * RESOLUTIONS_S[resolution])
        buckets = line.series.each(resolution, first, until)
        notes = [
            {"at": round(at), "what": what, "count": count, "span_ms": round(span)}
            for at, what, count, span in line.notes or ()
        ]
        return {
            "server": line.name,
            "scope": line.scope,
            "zone": line.zone,
            "kind": line.kind,
            "resolution_s": RESOLUTIONS_S[resolution],
            "notes": notes,
            "points": (point(bucket, number) for bucket in buckets),
        }
    return {"lines": overview(recorder, since, until, number)}


def overview(recorder: Recorder, since: int, until: int, number: int | None) -> Iterator[dict[str, Any]]:
    """A row a line, of `OVERVIEW_S` at the most. One at a time: requests go on between two."""
    since = max(since, until - OVERVIEW_S)
    lines = [recorder.node, *recorder.classes.values(), *recorder.zones.values()]
    servers = sorted(recorder.servers.values(), key=lambda line: -line.series.size)[:MOST_LINES]
    for line in (*lines, *servers, *recorder.past):
        whole = Bucket(0)
        for bucket in line.series.each(2 if until - since > 1_800 else 1, since, until):
            whole.add(bucket.counts, bucket.gauges)
        if not whole.counts:
            continue
        row = point(whole, number)
        del row["at"]
        yield {"name": line.name, "scope": line.scope, "zone": line.zone, **row}


def events(watch: TimelineMonitor, asked: dict[str, Any]) -> dict[str, Any]:
    """Answer `events`: those told since `after` (a running number), the oldest first."""
    after = asked.get("after") or 0
    if not isinstance(after, int):
        return {"error": "after is the number of an event"}
    first = watch.event_count - len(watch.events)
    skip = max(0, after - first)
    told = (one.to_json() for one in list(watch.events)[skip:])
    return {
        "next": watch.event_count,
        "missed": max(0, first - after),
        "left_out": watch.detector.suppressed_count,
        "events": told,
    }


def why(watch: TimelineMonitor, asked: dict[str, Any]) -> dict[str, Any]:
    """Answer `why`: the decisions about one request."""
    name = str(asked.get("request") or "")
    found = watch.recorder.trails.find(name)
    if found is None:
        words = "docs/operate/timeline.md says how long it is"
        return {"error": f"nothing is kept of request {name:.60}; {words}"}
    return trails.told(*found)
