"""Staggers the calls of nodes that start, or lose a server, at the same moment, without any messages.

Nodes that start together also call together, and random delays would leave peaks and gaps. A node's
*time slot* is therefore its index times the golden ratio, modulo 1: the slots of nodes 0 to n are evenly
distributed for any n (Weyl's equidistribution; Knuth, TAOCP 3, 6.4, on Fibonacci hashing). A *period* is
long enough for the server to handle one call of every node.
"""

from __future__ import annotations

import math

GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2
MIN_PERIOD_MS, MAX_PERIOD_MS = 100.0, 60_000.0
MAX_PERIOD_DOUBLINGS = 5
CAPACITY_UTILIZATION = 0.8  # of the server's capacity, as it has other callers


def time_slot(node_index: int) -> float:
    """Return a node's position in a period, from 0 up to but not including 1."""
    return node_index * GOLDEN_RATIO_CONJUGATE % 1.0


class StaggeredSchedule:
    """Schedules one node's calls of one kind to a server that handles `capacity_per_s` calls of all nodes.

    Each consecutive rejection doubles the period, up to `MAX_PERIOD_DOUBLINGS` times and `MAX_PERIOD_MS`, as
    the server handles fewer calls than configured. A call that cannot reach the server does not.
    """

    def __init__(self, node_index: int, node_count: int, capacity_per_s: float) -> None:
        """Raises ValueError unless there is at least one node and the capacity is positive and finite."""
        if not (node_count >= 1 and 0 < capacity_per_s < math.inf):
            raise ValueError(
                f"{node_count} nodes, {capacity_per_s} calls per second: both must be over 0 and finite"
            )
        self.time_slot, self.rejections = time_slot(node_index), 0
        required_period_ms = 1000.0 * node_count / (CAPACITY_UTILIZATION * capacity_per_s)
        self.base_period_ms = min(MAX_PERIOD_MS, max(MIN_PERIOD_MS, required_period_ms))

    def __repr__(self) -> str:
        return f"<StaggeredSchedule slot {self.time_slot:.3f} of {self.period_ms:.0f} ms>"

    @property
    def period_ms(self) -> float:
        """The time over which the calls of all nodes are currently spread."""
        doublings = min(self.rejections, MAX_PERIOD_DOUBLINGS)
        return min(MAX_PERIOD_MS, self.base_period_ms * 2.0**doublings)

    def first_delay_ms(self) -> float:
        """Return the delay of the first call after the start."""
        return self.period_ms * self.time_slot

    def retry_delay_ms(self, was_rejected: bool, retry_after_ms: float = 0.0) -> float:
        """Return the delay after a failed call, which ends at this node's slot in the next period.

        `retry_after_ms` is the `Retry-After` of a rejection, 0 if there was none: it is a lower bound.
        """
        remaining_period_ms = self.period_ms * (1.0 - self.time_slot)
        self.rejections += was_rejected
        delay_ms = remaining_period_ms + self.first_delay_ms()
        return delay_ms if retry_after_ms <= delay_ms else retry_after_ms + self.first_delay_ms()

    def reset(self) -> None:
        """Return to the base period; called after a call that was answered."""
        self.rejections = 0
