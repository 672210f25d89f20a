"""Staggers the calls of nodes that start, or lose a server, at the same moment, without any messages.

A fleet that starts at once calls at once; random delays spread it, with peaks and gaps. A node's *time slot*
is instead its index times the golden ratio, modulo 1: the slots of nodes 0 to n lie evenly for any n (Weyl's
equidistribution; Knuth, TAOCP 3, 6.4, on Fibonacci hashing). A *period* is long enough for the other side to
bear the calls of all nodes in it.
"""

from __future__ import annotations

import math

GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2
MIN_PERIOD_MS, MAX_PERIOD_MS = 100.0, 60_000.0
MAX_PERIOD_DOUBLINGS = 5
CAPACITY_UTILIZATION = 0.8  # of what the other side bears: it has other callers


def time_slot(node_index: int) -> float:
    """A node's place in a period, from 0 up to 1."""
    return node_index * GOLDEN_RATIO_CONJUGATE % 1.0


class StaggeredSchedule:
    """When one of `node_count` nodes makes its calls of one kind to a server of `capacity_per_s` calls.

    Each rejection in a row doubles the period, up to `MAX_PERIOD_DOUBLINGS` times and `MAX_PERIOD_MS`: the
    server bears less than was configured. A server that cannot be reached does not.
    """

    def __init__(self, node_index: int, node_count: int, capacity_per_s: float) -> None:
        """Raises ValueError unless there is a node and a finite capacity over 0."""
        if not (node_count >= 1 and 0 < capacity_per_s < math.inf):
            raise ValueError(f"{node_count} nodes, {capacity_per_s} calls a second: both have to be over 0")
        self.time_slot, self.rejections = time_slot(node_index), 0
        needed_ms = 1000.0 * node_count / (CAPACITY_UTILIZATION * capacity_per_s)
        self.base_period_ms = min(MAX_PERIOD_MS, max(MIN_PERIOD_MS, needed_ms))

    def __repr__(self) -> str:
        return f"<StaggeredSchedule slot {self.time_slot:.3f} of {self.period_ms:.0f} ms>"

    @property
    def period_ms(self) -> float:
        """The time over which the calls of all nodes are spread now."""
        doublings = min(self.rejections, MAX_PERIOD_DOUBLINGS)
        return min(MAX_PERIOD_MS, self.base_period_ms * 2.0**doublings)

    def first_delay_ms(self) -> float:
        """The delay of the first call, from the start on."""
        return self.period_ms * self.time_slot

    def retry_delay_ms(self, was_rejected: bool, retry_after_ms: float = 0.0) -> float:
        """The delay after a call that failed: until this node's slot in the next period.

        `retry_after_ms` is the `Retry-After` of a rejection, 0 for none: the call never comes before it.
        """
        remaining_ms = self.period_ms * (1.0 - self.time_slot)
        self.rejections += was_rejected
        delay_ms = remaining_ms + self.first_delay_ms()
        return delay_ms if retry_after_ms <= delay_ms else retry_after_ms + self.first_delay_ms()

    def reset(self) -> None:
        """A call was answered: the next failure begins with the base period."""
        self.rejections = 0
