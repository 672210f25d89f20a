"""A clock for state machines that run without I/O: time passes as far as the next event that is due."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Virtual time in milliseconds, and the events that are due, in order."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def at(self, when_ms: float, act: Callable[[], None]) -> None:
        """Call `act` at a time, or next if that has passed."""
        heapq.heappush(self._due, (max(when_ms, self.now_ms), next(self._count), act))

    def run(self, until_ms: float) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._due)
            act()
