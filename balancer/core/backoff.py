"""Exponential backoff with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Delays that double from `initial_ms` to `max_ms`, each multiplied by a uniform factor from 0.5 to 1.5.

    The jitter keeps nodes that lose the same server at the same moment from reconnecting together.
    """

    def __init__(self, initial_ms: float, max_ms: float, rng: random.Random) -> None:
        self.initial_ms, self.max_ms, self.rng = initial_ms, max_ms, rng
        self.next_ms = initial_ms

    def __repr__(self) -> str:
        return f"<Backoff about {self.next_ms:.0f} ms next>"

    def next_delay_ms(self) -> float:
        """Return the delay before the next attempt, and double the base of the one after it."""
        delay_ms = self.next_ms * self.rng.uniform(0.5, 1.5)
        self.next_ms = min(2 * self.next_ms, self.max_ms)
        return delay_ms

    def reset(self) -> None:
        """Start again at `initial_ms`; called after an attempt that succeeded."""
        self.next_ms = self.initial_ms
