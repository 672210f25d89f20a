"""Answers operators' queries on the timeline with JSON types and a bounded number of points."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from balancer.timeline import latency_histogram, request_traces, schema
from balancer.timeline.monitor import TimelineMonitor
from balancer.timeline.recorder import (
    CLASS,
    NODE,
    ZONE,
    Line,
    Recorder,
)
from balancer.timeline.time_series import RESOLUTIONS_S, Bucket, finest_resolution

MAX_POINTS = 600
MAX_OVERVIEW_S = 6 * 3_600
MAX_OVERVIEW_SERVERS = 200  # those with most recorded data
QUANTILES = (0.5, 0.9, 0.99)


def latency_bins(counts: dict[int, int], class_index: int | None = None) -> dict[int, int]:
    """Returns the response time bins of a bucket, of one class or of all."""
    bins: dict[int, int] = {}
    for key, count in counts.items():
        if key >= schema.FIRST_LATENCY_KEY and class_index in (None, schema.class_index(key)):
            bin_index = (key - schema.FIRST_LATENCY_KEY) % schema.KEYS_PER_CLASS
            bins[bin_index] = bins.get(bin_index, 0) + count
    return bins


def bucket_to_json(bucket: Bucket, class_index: int | None = None) -> dict[str, Any]:
    """Converts a bucket: counts by name, response times as quantiles in ms, and the known gauges."""
    counts, gauges = bucket.counts, bucket.gauges
    bins = latency_bins(counts, class_index)
    row: dict[str, Any] = {"at": bucket.start_s * 1000}
    row["counts"] = {schema.NAMES[key]: count for key, count in sorted(counts.items()) if key in schema.NAMES}
    if bins:
        row["answers"] = sum(bins.values())
        row["answer_ms"] = {
            f"p{fraction * 100:g}": round(latency_histogram.quantile(bins, fraction), 3)
            for fraction in QUANTILES
        }
    row["own"] = gauges.max_own_attempts
    for name in ("in_flight", "queue", "estimate", "weight", "phase"):
        if (value := getattr(gauges, name)) is not None:
            row[name] = value
    return row


def find_line(recorder: Recorder, name: str) -> Line | None:
    """Finds the line of a server, `zone:NAME`, `class:NAME` or `node`; past lines by their full name."""
    if (found := recorder.servers.get(name)) is not None:
        return found
    scope, _, rest_of_name = name.partition(":")
    lines_by_name = {ZONE: recorder.zones, CLASS: recorder.classes}.get(scope, {})
    past_lines = (line for line in recorder.past_lines if line.name == name)
    return recorder.node if name == NODE else lines_by_name.get(rest_of_name) or next(past_lines, None)


def timeline(monitor: TimelineMonitor, parameters: dict[str, Any]) -> dict[str, Any]:
    """Answers `timeline`: one line with its points, or an overview. Times are in ms since 1970."""
    recorder = monitor.recorder
    now_s = recorder.current_second
    try:
        since_s = int(float(parameters.get("from") or (now_s - 900) * 1000) / 1000)
        until_s = int(float(parameters.get("to") or (now_s + 1) * 1000) / 1000) + 1
    except (TypeError, ValueError, OverflowError):
        return {"error": "from and to are times in ms since 1970"}
    name, class_name = str(parameters.get("server") or ""), parameters.get("class")
    first = recorder.class_first_keys.get(str(class_name)) if class_name else None
    class_index = None if first is None else schema.class_index(first)
    if class_name and class_index is None:
        return {
            "error": f"there is no class {class_name!s:.60}; there are {', '.join(recorder.class_first_keys)}"
        }
    resolution = finest_resolution(since_s, now_s, MAX_POINTS, recorder.retention)
    if name:
        line = find_line(recorder, name)
        if line is None:
            return {"error": f"nothing is known of {name:.60}"}
        first = max(since_s, until_s - MAX_POINTS * RESOLUTIONS_S[resolution])
        buckets = line.series.iterate(resolution, first, until_s)
        notes = [
            {"at": round(at_ms), "what": what, "count": count, "span_ms": round(span_ms)}
            for at_ms, what, count, span_ms in line.notes or ()
        ]
        return {
            "server": line.name,
            "scope": line.scope,
            "zone": line.zone,
            "kind": line.kind,
            "resolution_s": RESOLUTIONS_S[resolution],
            "notes": notes,
            "points": (bucket_to_json(bucket, class_index) for bucket in buckets),
        }
    return {"lines": overview(recorder, since_s, until_s, class_index)}


def overview(
    recorder: Recorder, since_s: int, until_s: int, class_index: int | None
) -> Iterator[dict[str, Any]]:
    """Yields a row for each line over at most `MAX_OVERVIEW_S`.

    It is a generator, so that requests are served between two rows.
    """
    since_s = max(since_s, until_s - MAX_OVERVIEW_S)
    lines = [recorder.node, *recorder.classes.values(), *recorder.zones.values()]
    servers = sorted(recorder.servers.values(), key=lambda line: -line.series.size_bytes)[
        :MAX_OVERVIEW_SERVERS
    ]
    for line in (*lines, *servers, *recorder.past_lines):
        total = Bucket(0)
        for bucket in line.series.iterate(2 if until_s - since_s > 1_800 else 1, since_s, until_s):
            total.add(bucket.counts, bucket.gauges)
        if not total.counts:
            continue
        row = bucket_to_json(total, class_index)
        del row["at"]
        yield {"name": line.name, "scope": line.scope, "zone": line.zone, **row}


def events(monitor: TimelineMonitor, parameters: dict[str, Any]) -> dict[str, Any]:
    """Answers `events`: those after the event number `after`, oldest first."""
    after = parameters.get("after") or 0
    if not isinstance(after, int):
        return {"error": "after is the number of an event"}
    first_kept = monitor.event_count - len(monitor.events)
    skip_count = max(0, after - first_kept)
    event_rows = (event.to_json() for event in list(monitor.events)[skip_count:])
    return {
        "next": monitor.event_count,
        "missed": max(0, first_kept - after),
        "left_out": monitor.detector.suppressed_count,
        "events": event_rows,
    }


def why(monitor: TimelineMonitor, parameters: dict[str, Any]) -> dict[str, Any]:
    """Answers `why`: the decisions about one request."""
    request_id = str(parameters.get("request") or "")
    found = monitor.recorder.traces.find(request_id)
    if found is None:
        hint = "docs/operate/timeline.md says how long it is"
        return {"error": f"nothing is kept of request {request_id:.60}; {hint}"}
    return request_traces.trace_to_json(*found)
