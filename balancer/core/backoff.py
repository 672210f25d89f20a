"""When to try again: exponential back-off with full jitter."""

from __future__ import annotations

import random


class Backoff:
    """Waits that double from `first_ms` to `most_ms`, each drawn evenly from half to one and a half of it.

    Guards against a thousand nodes that lost the same peer at the same moment and come back together.
    """

    def __init__(self, initial_ms: float, max_ms: float, rng: random.Random) -> None:
        self.initial_ms, self.max_ms, self.rng = initial_ms, max_ms, rng
        self.next_ms = initial_ms

    def next_delay_ms(self) -> float:
        """How long to wait before the next try; the one after it waits longer."""
        delay_ms = self.next_ms * self.rng.uniform(0.5, 1.5)
        self.next_ms = min(2 * self.next_ms, self.max_ms)
        return delay_ms

    def reset(self) -> None:
        """It worked."""
        self.next_ms = self.initial_ms
