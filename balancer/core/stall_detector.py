"""Whether this process stood still, and what it must not do right after.

A process that was stopped, or starved of a core, goes on as if nothing had been. What came meanwhile waits in
its sockets and is read in no order: a client's request before the drain that discovery wrote seconds ago, a
request whose client has long gone, and timers that are overdue come before either. So a gap of over STOOD_MS
between two turns of the loop begins a *doubt* (a member that is slow doubts itself first: Dadgar et al.,
"Lifeguard", 2018): for SETTLE_MS, in which all that waits is read, nothing but the list is acted on, and a
request that is read in it is taken to be as old as the gap, as nobody can tell how long it lay there.

`Pause` has no events or actions of its own types: it is asked at each turn, and loaded by every start.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 400.0  # how often a turn is told where nothing else happens
STALL_THRESHOLD_MS = (
    1_000.0  # without a turn, or the grace of drains, if shorter: over any work of the loop's own
)
SETTLE_DURATION_MS = 40.0  # for all that waits to be read


class StallDetector:
    """`hold` is the number of the doubt that is on, 0: none; `age_ms` how old what is read in it may be."""

    def __init__(self, now_ms: float, grace_ms: float = STALL_THRESHOLD_MS) -> None:
        self.threshold_ms = min(
            STALL_THRESHOLD_MS, max(1.25 * HEARTBEAT_INTERVAL_MS, grace_ms or STALL_THRESHOLD_MS)
        )
        self.last_turn_ms, self.input_age_ms, self.doubt_number, self._doubt_count = now_ms, 0.0, 0, 0

    def __repr__(self) -> str:
        return f"<Pause {f'holds, as old as {self.input_age_ms:.0f} ms' if self.doubt_number else 'acts'}>"

    def record_turn(self, now_ms: float) -> float:
        """The loop turned: for how long it stood still, where that begins a doubt, else 0.

        Whoever is told so hands in `settled` with `hold` after SETTLE_MS. Another gap within a doubt begins
        it anew: what was read before it may be as old as both.
        """
        stall_ms, self.last_turn_ms = now_ms - self.last_turn_ms, max(now_ms, self.last_turn_ms)
        if stall_ms <= self.threshold_ms:
            return 0.0
        self._doubt_count += 1
        self.doubt_number, self.input_age_ms = self._doubt_count, self.input_age_ms + stall_ms
        return stall_ms

    def settle(self, doubt_number: int) -> bool:
        """Whether all that was held back is to be acted on now; after `turned`, whose timer may come late."""
        if doubt_number != self.doubt_number or not doubt_number:
            return False
        self.doubt_number, self.input_age_ms = 0, 0.0
        return True
