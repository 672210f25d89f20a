"""By when a node that is told to end has done what: numbers in, times out.

SIGKILL comes no sooner than the longest deadline of the settings, MOST_MS at most, and 0.7 s more after
SIGTERM, and until then clients send on every connection that stays open. So there are two times, both counted
from the signal: until the first, new connections are taken (they go on coming for 0.4 s); by the second, all
that was taken is answered, whatever its own deadline says. What is left is for the process's own end.

No events of its own types, as in `pause`: it is asked once, and loaded by every start.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.core.stall_detector import SETTLE_DURATION_MS
from balancer.interface import Settings

MAX_REQUEST_DEADLINE_MS = 3_000.0  # of the longest deadline; what may wait for longer is failed at the end
ACCEPT_DURATION_MS = 500.0  # after the signal: over the 0.4 s in which connections come
RESPONSE_MARGIN_MS = (
    500.0  # after the signal, beside the longest deadline: 0.2 s before SIGKILL at the earliest
)
FIRST_BYTE_TIMEOUT_MS = (
    200.0  # for a new connection's first byte at the end: who connects has a request to send
)
MIN_DRAIN_DURATION_MS = (
    3 * SETTLE_DURATION_MS
)  # for what lies in the sockets of a process that stood still, however old the signal


@dataclass(frozen=True, slots=True)
class ShutdownDeadlines:
    """Until when connections are accepted, and by when all is answered, on the clock of `ends`."""

    accept_until_ms: float
    respond_until_ms: float


def deadlines_after_signal(
    settings: Settings, now_ms: float, signal_age_ms: float = 0.0
) -> ShutdownDeadlines:
    """The times for a signal that is seen now and may have come `age_ms` before."""
    longest_deadline_ms = min(
        MAX_REQUEST_DEADLINE_MS,
        max((cls.deadline_ms for cls in settings.classes), default=MAX_REQUEST_DEADLINE_MS),
    )
    respond_until_ms = max(
        now_ms - signal_age_ms + longest_deadline_ms + RESPONSE_MARGIN_MS, now_ms + MIN_DRAIN_DURATION_MS
    )
    # The signal may as well have come just now: connections are accepted as long as they can be answered.
    return ShutdownDeadlines(
        min(now_ms + ACCEPT_DURATION_MS, respond_until_ms - SETTLE_DURATION_MS), respond_until_ms
    )
