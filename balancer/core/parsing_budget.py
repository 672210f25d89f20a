"""Limits how much of the event loop's time the input of one connection, and of all, may take.

A peer chooses how its bytes are divided into chunks, headers and requests, so a few bytes may cause as much
work as a whole request, and the number of bytes bounds nothing. The limits are therefore of time:

- A connection whose input took little time so far is parsed as it is read, one slice in a turn of the loop.
- All other input waits. In each turn it gets `TURN_BUDGET_MS`, the connection that took least so far first,
  and it gets at most `MAX_QUEUE_SHARE` of the time.
- Input that nobody will parse is discarded in turns of its own: `core/discard_budget`.

Times are in milliseconds. The module uses no clock and no sockets.
"""

from __future__ import annotations

SLICE_BYTES = 4 * 1024  # parsed at a time; a usual request or response fits
ALLOWANCE_MS = 2.0  # of work on a connection's input before it has to wait for its turn
ALLOWANCE_REFILL_RATIO = 0.01  # of the time that passes
# More is not charged: a process that was held up while it parsed a usual request must not starve its client.
MAX_COST_MS_PER_BYTE = 0.001
MAX_SPENT_MS = 2 * ALLOWANCE_MS  # so that costly connections take turns, and each gets its own in the end
TURN_BUDGET_MS = 2.0  # for the input that waits, in one turn of the event loop
MAX_QUEUE_SHARE = 0.5  # of the time, for the input that waits


class ParsingAllowance:
    """The time that the input of one connection has taken, less what it has been given since."""

    __slots__ = ("spent_ms", "updated_ms")

    def __init__(self) -> None:
        self.spent_ms = self.updated_ms = 0.0

    def __repr__(self) -> str:
        return f"<ParsingAllowance {self.spent_ms:.1f} of {ALLOWANCE_MS:g} ms spent>"

    def charge(self, now_ms: float, work_ms: float, byte_count: int) -> None:
        """Count work on that many bytes, which ended at `now_ms`."""
        self._refill(now_ms)
        cost_ms = min(max(0.0, work_ms), MAX_COST_MS_PER_BYTE * byte_count)
        self.spent_ms = min(MAX_SPENT_MS, self.spent_ms + cost_ms)

    def is_exhausted(self, now_ms: float) -> bool:
        """Whether further input has to wait for its turn."""
        self._refill(now_ms)
        return self.spent_ms >= ALLOWANCE_MS

    def _refill(self, now_ms: float) -> None:
        elapsed_ms, self.updated_ms = max(0.0, now_ms - self.updated_ms), now_ms
        self.spent_ms = max(0.0, self.spent_ms - ALLOWANCE_REFILL_RATIO * elapsed_ms)


def pause_after_ms(work_ms: float, max_share: float = MAX_QUEUE_SHARE) -> float:
    """Return the pause after work on input, so that such work keeps to its share of the time."""
    return work_ms * (1 / max_share - 1)
