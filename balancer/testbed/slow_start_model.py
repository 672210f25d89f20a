"""Capacity of a server during its warm-up, and the budget of work that it can take meanwhile.

Within any window of `fall_ms`, no more work may reach a cold server than `fall_multiple` times what it can do
at that moment. The budget includes an allowance for random variation: twice the standard deviation of the
sum of the works.
"""

from __future__ import annotations

import math
from collections import deque

from balancer.testbed.service_profile import Rules


def warm_up_share(cold_share: float, warm_ms: float, age_ms: float) -> float:
    """Return the share of its full capacity that a server has at an age."""
    if age_ms >= warm_ms:
        return 1.0
    return cold_share + (1.0 - cold_share) * max(0.0, age_ms) / warm_ms


class ColdStartBudget:
    """Compares the work that reached one cold server in the current window with its budget."""

    def __init__(self, rules: Rules, capacity: float, cold_share: float, warm_ms: float) -> None:
        self.rules, self.capacity = rules, capacity
        self.cold_share, self.warm_ms = cold_share, warm_ms
        self.window: deque[tuple[float, float]] = deque()
        self.work_sum_ms = self.squared_work_sum = 0.0

    def add(self, age_ms: float, work_ms: float) -> float:
        """Add work that reached the server at an age; return the used share of the budget.

        A share above 1 means that the budget is exceeded. A warm server has no limit: the result is 0.
        """
        if age_ms >= self.warm_ms or self.cold_share >= 1.0:
            return 0.0
        self.window.append((age_ms, work_ms))
        self.work_sum_ms += work_ms
        self.squared_work_sum += work_ms**2
        while self.window[0][0] <= age_ms - self.rules.fall_ms:
            expired_ms = self.window.popleft()[1]
            self.work_sum_ms -= expired_ms
            self.squared_work_sum -= expired_ms**2
        current_capacity = self.capacity * warm_up_share(self.cold_share, self.warm_ms, age_ms)
        budget_ms = self.rules.fall_multiple * current_capacity * self.rules.fall_ms
        return self.work_sum_ms / (budget_ms + 2.0 * math.sqrt(max(0.0, self.squared_work_sum)))
