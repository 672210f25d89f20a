"""Detects that this process was stalled, and tracks the settling period that follows.

A process that was stopped, or got no CPU time, resumes as if nothing had happened. Its sockets hold the input
that arrived meanwhile, which is read in no particular order: a request may be read before the drain that
discovery sent seconds earlier, or long after its client has left, and overdue timers fire before either.
Therefore a gap of more than `STALL_THRESHOLD_MS` between two turns of the event loop begins a
*settling period* of `SETTLE_DURATION_MS`, in which all waiting input is read (a slow member suspects itself
first: Dadgar et al., "Lifeguard", 2018). Until its end only the endpoint list is acted on, and a request
that is read is assumed to be as old as the gap, since its actual waiting time is unknown.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 400.0  # between two turns of an idle event loop
STALL_THRESHOLD_MS = 1_000.0  # longer than any callback of the event loop takes
SETTLE_DURATION_MS = 40.0  # to read all waiting input


class StallDetector:
    """Finds stalls from the times of the event loop's turns.

    `unsettled_stall_number` is the number of the stall whose settling period has not ended, 0 for none;
    `input_age_ms` is the maximum age of input that is read in that period. `drain_grace_ms` is the time in
    which a drain must be obeyed: the threshold is at most that, but at least 1.25 heartbeat intervals.
    """

    def __init__(self, now_ms: float, drain_grace_ms: float = STALL_THRESHOLD_MS) -> None:
        max_threshold_ms = max(1.25 * HEARTBEAT_INTERVAL_MS, drain_grace_ms or STALL_THRESHOLD_MS)
        self.threshold_ms = min(STALL_THRESHOLD_MS, max_threshold_ms)
        self.last_turn_ms, self.input_age_ms, self.unsettled_stall_number, self._stall_count = (
            now_ms,
            0.0,
            0,
            0,
        )

    def __repr__(self) -> str:
        state = (
            f"settling, input {self.input_age_ms:.0f} ms old" if self.unsettled_stall_number else "settled"
        )
        return f"<StallDetector {state}>"

    def record_turn(self, now_ms: float) -> float:
        """Record a turn of the loop; return the length of the stall before it, 0 if there was none.

        After a stall the caller calls `settle` with `unsettled_stall_number` after `SETTLE_DURATION_MS`. A
        second stall restarts the settling period, and the ages add up: input may be as old as both stalls.
        """
        stall_ms, self.last_turn_ms = now_ms - self.last_turn_ms, max(now_ms, self.last_turn_ms)
        if stall_ms <= self.threshold_ms:
            return 0.0
        self._stall_count += 1
        self.unsettled_stall_number, self.input_age_ms = self._stall_count, self.input_age_ms + stall_ms
        return stall_ms

    def settle(self, stall_number: int) -> bool:
        """End the settling period of a stall. False if it is not the latest one: held events stay held.

        Must be called after `record_turn`, as the caller's timer may itself fire late.
        """
        if stall_number != self.unsettled_stall_number or not stall_number:
            return False
        self.unsettled_stall_number, self.input_age_ms = 0, 0.0
        return True
