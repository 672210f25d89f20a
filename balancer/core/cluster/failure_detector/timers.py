"""Keeps the failure detector's timers in a heap, so that the caller only tracks the earliest time."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush


@dataclass(slots=True, frozen=True)
class PeriodEnded:
    """The protocol period has ended and the next one begins."""


@dataclass(slots=True, frozen=True)
class ProbeTimedOut:
    """The time for an answer to a direct probe has elapsed; `sequence` is that of its PING."""

    sequence: int


@dataclass(slots=True, frozen=True)
class RelayTimedOut:
    """The time for an answer to a relayed probe has elapsed; `sequence` is that of its PING."""

    sequence: int


@dataclass(slots=True, frozen=True)
class SuspicionTimedOut:
    """The suspicion of the peer `name` may have lasted long enough."""

    name: str


Timer = PeriodEnded | ProbeTimedOut | RelayTimedOut | SuspicionTimedOut


class TimerHeap:
    """Timers ordered by time; timers with equal times fire in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._set_count = 0  # timers set so far, which keeps the order of equal times

    @property
    def next_at_ms(self) -> float | None:
        """The time of the earliest timer, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def set(self, at_ms: float, timer: Timer) -> None:
        """Sets a timer that fires at the given time."""
        self._set_count += 1
        heappush(self._heap, (at_ms, self._set_count, timer))

    def pop_due(self, now_ms: float) -> Timer | None:
        """Removes and returns the earliest timer that is due, or None if there is none."""
        if self._heap and self._heap[0][0] <= now_ms:
            return heappop(self._heap)[2]
        return None

    def clear(self) -> None:
        """Removes all timers."""
        self._heap.clear()
