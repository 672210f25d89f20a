"""Timers of the failure detector: one heap, of which the node keeps the earliest time."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush


@dataclass(slots=True, frozen=True)
class PeriodEnded:
    """The next protocol period begins."""


@dataclass(slots=True, frozen=True)
class ProbeTimedOut:
    """The target has not answered the direct probe in time; `sequence` is of that probe's PING."""

    sequence: int


@dataclass(slots=True, frozen=True)
class RelayTimedOut:
    """The target of a probe for another node has not answered in time; `sequence`: of the PING to it."""

    sequence: int


@dataclass(slots=True, frozen=True)
class SuspicionTimedOut:
    """A suspicion of the peer may have lasted long enough."""

    name: str


Timer = PeriodEnded | ProbeTimedOut | RelayTimedOut | SuspicionTimedOut


class TimerHeap:
    """Timers by time; those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0  # set so far: keeps the order of equal times

    @property
    def next_at_ms(self) -> float | None:
        """The time of the earliest timer; None: there is none."""
        return self._heap[0][0] if self._heap else None

    def set(self, at_ms: float, timer: Timer) -> None:
        """Have a timer fire at that time."""
        self._count += 1
        heappush(self._heap, (at_ms, self._count, timer))

    def pop_due(self, now_ms: float) -> Timer | None:
        """Take out the earliest timer whose time has come; None: there is none."""
        if self._heap and self._heap[0][0] <= now_ms:
            return heappop(self._heap)[2]
        return None

    def clear(self) -> None:
        """Drop all timers."""
        self._heap.clear()
