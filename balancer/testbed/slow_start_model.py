"""A server that has just started: what it can do by now, and when it has been sent too much.

The rule's budget: within any window of `fall_ms`, no more work may reach a cold server than `fall_multiple`
times what it can do at that moment. Chance gets some slack: twice the deviation of a sum of such works.
"""

from __future__ import annotations

import math
from collections import deque

from balancer.testbed.service_profile import Rules


def warmth(cold_share: float, warm_ms: float, age_ms: float) -> float:
    """The part of its capacity that a server has by now."""
    if age_ms >= warm_ms:
        return 1.0
    return cold_share + (1.0 - cold_share) * max(0.0, age_ms) / warm_ms


class Pressure:
    """The work that reached one cold server in the window up to now, against its budget."""

    def __init__(self, rules: Rules, capacity: float, cold_share: float, warm_ms: float) -> None:
        self.rules, self.capacity = rules, capacity
        self.cold_share, self.warm_ms = cold_share, warm_ms
        self.window: deque[tuple[float, float]] = deque()
        self.sum = self.squares = 0.0

    def add(self, age_ms: float, work_ms: float) -> float:
        """Work reached the server at this age; returns the part of the budget used, over 1 it is broken.

        A server that is warm has no budget to keep.
        """
        if age_ms >= self.warm_ms or self.cold_share >= 1.0:
            return 0.0
        self.window.append((age_ms, work_ms))
        self.sum += work_ms
        self.squares += work_ms**2
        while self.window[0][0] <= age_ms - self.rules.fall_ms:
            old = self.window.popleft()[1]
            self.sum -= old
            self.squares -= old**2
        able = self.capacity * warmth(self.cold_share, self.warm_ms, age_ms)
        room = self.rules.fall_multiple * able * self.rules.fall_ms
        return self.sum / (room + 2.0 * math.sqrt(max(0.0, self.squares)))
