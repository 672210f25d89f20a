"""Parses the load report that a backend sends in a header of its responses."""

from __future__ import annotations

import math

from balancer import interface as api

LOAD_REPORT_FIELDS = {
    "inflight": "in_flight",
    "active": "in_flight",
    "queue": "queued",
    "waiting": "queued",
    "util": "cpu_load",
    "cpu": "cpu_load",
    "latency_ms": "mean_time_ms",
    "avg_ms": "mean_time_ms",
    "qps": "requests_per_s",
    "rps": "requests_per_s",
    "eps": "errors_per_s",
    "err_rps": "errors_per_s",
}


def parse_load_report(value: str) -> api.LoadReport:
    """Parse a load report header; unknown fields are skipped. Raises ValueError."""
    format_name, _, fields = value.partition(" ")
    report = api.LoadReport()
    try:
        if format_name != "TEXT":
            raise ValueError(format_name)
        for field in fields.split(","):
            name, text = field.strip().split("=")
            number = float(text)
            if not 0 <= number < math.inf:
                raise ValueError(text)
            if name in LOAD_REPORT_FIELDS:
                setattr(report, LOAD_REPORT_FIELDS[name], number)
    except ValueError:
        raise ValueError(f"not a load report: {value!r:.120}") from None
    return report
