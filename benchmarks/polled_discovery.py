"""Nodes that poll discovery lose it together: when the last one knows a change, and what discovery sees.

The time from the return of discovery to the last node that knows, and the calls a second that discovery gets,
in virtual time. The aim is the platform's deadline, by which a node counts as notified.

    python -m benchmarks.polled_discovery
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import replace

from balancer.testbed.polled_discovery import Outage, OutageKind, simulate
from benchmarks.result_table import Row, table

NODE_COUNTS = (10, 200, 3200)


def outages() -> Iterator[tuple[str, Outage]]:
    """The outages that are played, with their titles."""
    usual = Outage()
    for duration_s in (1, 5, 11, 25, 300):
        yield f"{duration_s} s, refused", replace(usual, duration_ms=duration_s * 1000.0)
    for duration_s, kind in itertools.product((11, 60), list(OutageKind)[1:]):
        yield f"{duration_s} s, {kind}", replace(usual, kind=kind, duration_ms=duration_s * 1000.0)
    for poll_within_s in (1, 60):
        title = f"11 s, refused, ask-within {poll_within_s} s"
        yield title, replace(usual, poll_within_ms=poll_within_s * 1000.0)
    for duration_s in (1, 11):
        title = f"{duration_s} s, refused, nodes restart within"
        yield title, replace(usual, is_restart=True, duration_ms=duration_s * 1000.0)
    for calls_per_s in (800, 50):
        title = f"11 s, refused, then {calls_per_s} calls a second"
        yield title, replace(usual, calls_per_s=calls_per_s)


def rows() -> Iterator[Row]:
    """The figures."""
    for (title, outage), node_count in itertools.product(outages(), NODE_COUNTS):
        found = simulate(outage, node_count)
        figures = (
            f"last knows after {found.last_known_ms / 1000:.2f} s, {found.late_count} over 6 s; calls a "
            f"second: {found.max_outage_calls_per_s} down, {found.max_return_calls_per_s} at the return; "
            f"{found.calls_after_return} calls, {found.expired_calls} expired"
        )
        yield Row(f"{title}, {node_count} nodes", figures, "6 s")


if __name__ == "__main__":
    print("\n".join(table("polled discovery", rows())))
