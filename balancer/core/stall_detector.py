"""Detects that this process was stalled, and says what must not be done right after.

A process that was stopped, or got no core, goes on as if nothing had happened. What arrived meanwhile waits
in its sockets and is read in no order: a request before the drain that discovery sent seconds earlier, a
request whose client has long gone; and timers that are overdue fire before either. So a gap of more than
`STALL_THRESHOLD_MS` between two turns of the event loop begins a *doubt* (a member that is slow doubts
itself first: Dadgar et al., "Lifeguard", 2018). For `SETTLE_DURATION_MS`, in which all that waits is read,
only the endpoint list is acted on, and a request that is read is taken to be as old as the gap, as nobody
can tell how long it has waited.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 400.0  # between two turns where nothing else happens
STALL_THRESHOLD_MS = 1_000.0  # longer than any work of the event loop's own
SETTLE_DURATION_MS = 40.0  # to read all that waits


class StallDetector:
    """Told of each turn of the event loop.

    `doubt_number` is that of the present doubt, 0: none; `input_age_ms` is how old input that is read in it
    may be. `grace_ms` is the time to obey a drain: the threshold is not over it, nor under 1.25 heartbeats.
    """

    def __init__(self, now_ms: float, grace_ms: float = STALL_THRESHOLD_MS) -> None:
        longest_ms = max(1.25 * HEARTBEAT_INTERVAL_MS, grace_ms or STALL_THRESHOLD_MS)
        self.threshold_ms = min(STALL_THRESHOLD_MS, longest_ms)
        self.last_turn_ms, self.input_age_ms, self.doubt_number, self._doubt_count = now_ms, 0.0, 0, 0

    def __repr__(self) -> str:
        doubt = f"in doubt, input {self.input_age_ms:.0f} ms old" if self.doubt_number else "no doubt"
        return f"<StallDetector {doubt}>"

    def record_turn(self, now_ms: float) -> float:
        """Record a turn of the loop; return the length of the stall that begins a doubt, else 0.

        The caller then calls `settle` with `doubt_number` after `SETTLE_DURATION_MS`. A second stall within a
        doubt begins it anew: what was read before may be as old as both.
        """
        stall_ms, self.last_turn_ms = now_ms - self.last_turn_ms, max(now_ms, self.last_turn_ms)
        if stall_ms <= self.threshold_ms:
            return 0.0
        self._doubt_count += 1
        self.doubt_number, self.input_age_ms = self._doubt_count, self.input_age_ms + stall_ms
        return stall_ms

    def settle(self, doubt_number: int) -> bool:
        """End a doubt. False if it is not the present one: what was held back stays so.

        To be called after `record_turn`, as the caller's timer may fire late itself.
        """
        if doubt_number != self.doubt_number or not doubt_number:
            return False
        self.doubt_number, self.input_age_ms = 0, 0.0
        return True
