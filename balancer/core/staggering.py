"""When a node's turn is, among all that start or lose something together. No messages: each follows it alone.

A fleet that starts at one moment acts alike; chance spreads it, with a crowd here and a gap there. A node's
*turn* is instead its number's place on a ring by the golden ratio: the nodes from 0 on lie evenly, however
many of them there are (Weyl; Knuth, TAOCP 3, 6.4, on Fibonacci hashing). A stretch is as long as the other
side needs to bear all of them.
"""

from __future__ import annotations

import math

GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2
MIN_PERIOD_MS, MAX_PERIOD_MS = 100.0, 60_000.0  # of a stretch
MAX_PERIOD_DOUBLINGS = 5
CAPACITY_UTILIZATION = 0.8  # part of what the other side bears that the nodes together take up


def time_slot(node_index: int) -> float:
    """A node's place in a stretch, from 0 up to 1."""
    return node_index * GOLDEN_RATIO_CONJUGATE % 1.0


class StaggeredSchedule:
    """Calls of one kind by `nodes` nodes to something that bears `bears_per_s` of them.

    `first_ms` is the wait before the first call, `again_ms` the one after a call that failed: it falls into
    the next stretch, where all that still wait lie as evenly as before, and never before the other side's own
    advice. Each refusal in a row doubles the stretch, DOUBLINGS times and to MOST_MS at the most, as the
    other side bears less than was said; one that is away does not. `done` begins anew.
    """

    def __init__(self, node_index: int, node_count: int, capacity_per_s: float) -> None:
        if not (node_count >= 1 and 0 < capacity_per_s < math.inf):
            raise ValueError(f"{node_count} nodes, {capacity_per_s} calls a second: both have to be over 0")
        self.time_slot, self.rejections = time_slot(node_index), 0
        self.base_period_ms = min(
            MAX_PERIOD_MS, max(MIN_PERIOD_MS, 1000.0 * node_count / (CAPACITY_UTILIZATION * capacity_per_s))
        )

    @property
    def period_ms(self) -> float:
        """Over which all nodes' calls are laid now."""
        return min(MAX_PERIOD_MS, self.base_period_ms * 2.0 ** min(self.rejections, MAX_PERIOD_DOUBLINGS))

    def first_delay_ms(self) -> float:
        """The wait from the start on."""
        return self.period_ms * self.time_slot

    def retry_delay_ms(self, was_rejected: bool, retry_after_ms: float = 0.0) -> float:
        """The wait after a failure; `advice_ms` is the `Retry-After` of one that refused, 0 for none."""
        remaining_ms = self.period_ms * (1.0 - self.time_slot)  # of this stretch
        self.rejections += was_rejected
        delay_ms = remaining_ms + self.first_delay_ms()
        return delay_ms if retry_after_ms <= delay_ms else retry_after_ms + self.first_delay_ms()

    def reset(self) -> None:
        """It was answered."""
        self.rejections = 0
