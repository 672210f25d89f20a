"""When to try again: exponential back-off with full jitter."""

from __future__ import annotations

import random


class Backoff:
    """Waits that double from `first_ms` to `most_ms`, each drawn evenly from half to one and a half of it.

    Guards against a thousand nodes that lost the same peer at the same moment and come back together.
    """

    def __init__(self, first_ms: float, most_ms: float, rng: random.Random) -> None:
        self.first_ms, self.most_ms, self.rng = first_ms, most_ms, rng
        self.next_ms = first_ms

    def wait_ms(self) -> float:
        """How long to wait before the next try; the one after it waits longer."""
        out = self.next_ms * self.rng.uniform(0.5, 1.5)
        self.next_ms = min(2 * self.next_ms, self.most_ms)
        return out

    def reset(self) -> None:
        """It worked."""
        self.next_ms = self.first_ms
