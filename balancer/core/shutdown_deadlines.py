"""The deadlines of a graceful shutdown, computed once when the signal is seen.

SIGKILL comes no sooner than the longest deadline of the settings, at most `MAX_REQUEST_DEADLINE_MS`, and
0.7 s after SIGTERM; until then clients send on every connection that stays open. So there are two deadlines,
both counted from the signal: until the first new connections are accepted (they arrive for 0.4 s); by the
second every accepted request is answered, whatever its own deadline. What is left is for the end of the
process.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.core.stall_detector import SETTLE_DURATION_MS
from balancer.interface import Settings

MAX_REQUEST_DEADLINE_MS = 3_000.0  # what may wait for longer fails at the second deadline
ACCEPT_DURATION_MS = 500.0  # over the 0.4 s in which connections arrive
RESPONSE_MARGIN_MS = 500.0  # over the longest deadline: at least 0.2 s before SIGKILL
FIRST_BYTE_TIMEOUT_MS = 200.0  # of a new connection: whoever connects at the end has a request to send
MIN_DRAIN_DURATION_MS = (
    3 * SETTLE_DURATION_MS
)  # to read the sockets of a stalled process, however old the signal


@dataclass(frozen=True, slots=True)
class ShutdownDeadlines:
    """Until when connections are accepted, and until when requests are answered; clock times in ms."""

    accept_until_ms: float
    respond_until_ms: float


def deadlines_after_signal(
    settings: Settings, now_ms: float, signal_age_ms: float = 0.0
) -> ShutdownDeadlines:
    """The deadlines for a signal that is seen now and may have come `signal_age_ms` ago."""
    longest_deadline_ms = min(
        MAX_REQUEST_DEADLINE_MS,
        max((cls.deadline_ms for cls in settings.classes), default=MAX_REQUEST_DEADLINE_MS),
    )
    respond_until_ms = max(
        now_ms - signal_age_ms + longest_deadline_ms + RESPONSE_MARGIN_MS, now_ms + MIN_DRAIN_DURATION_MS
    )
    # The signal may also have come just now: connections are accepted while they can still be answered.
    accept_until_ms = min(now_ms + ACCEPT_DURATION_MS, respond_until_ms - SETTLE_DURATION_MS)
    return ShutdownDeadlines(accept_until_ms, respond_until_ms)
