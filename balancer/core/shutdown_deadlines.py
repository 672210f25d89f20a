"""The deadlines of a graceful shutdown, computed once when the signal is seen.

The platform sends SIGKILL no sooner than 0.7 s plus the longest request deadline of the settings (at most
`MAX_REQUEST_DEADLINE_MS`) after SIGTERM. Until then clients send requests on every connection that stays
open. Two deadlines are counted from the signal. New connections, which arrive for 0.4 s, are accepted until
the first. Every accepted request is answered by the second, whatever its own deadline is. The remaining time
is left for the process to exit.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.core.stall_detector import SETTLE_DURATION_MS
from balancer.interface import Settings

MAX_REQUEST_DEADLINE_MS = 3_000.0  # a request with a longer one fails at `respond_until_ms`
ACCEPT_DURATION_MS = 500.0  # longer than the 0.4 s in which connections arrive
RESPONSE_MARGIN_MS = 500.0  # after the longest deadline; ends at least 0.2 s before SIGKILL
FIRST_BYTE_TIMEOUT_MS = 200.0  # of a new connection: its client has a request to send
MIN_DRAIN_DURATION_MS = 3 * SETTLE_DURATION_MS  # reads the sockets of a stalled process despite an old signal


@dataclass(frozen=True, slots=True)
class ShutdownDeadlines:
    """Clock times in ms until which connections are accepted and requests are answered."""

    accept_until_ms: float
    respond_until_ms: float


def deadlines_after_signal(
    settings: Settings, now_ms: float, signal_age_ms: float = 0.0
) -> ShutdownDeadlines:
    """Return the deadlines for a signal that is seen now and may have arrived `signal_age_ms` ago."""
    longest_deadline_ms = min(
        MAX_REQUEST_DEADLINE_MS,
        max(
            (request_class.deadline_ms for request_class in settings.classes), default=MAX_REQUEST_DEADLINE_MS
        ),
    )
    respond_until_ms = max(
        now_ms - signal_age_ms + longest_deadline_ms + RESPONSE_MARGIN_MS, now_ms + MIN_DRAIN_DURATION_MS
    )
    # The signal may also have arrived just now: accept connections while requests can still be answered.
    accept_until_ms = min(now_ms + ACCEPT_DURATION_MS, respond_until_ms - SETTLE_DURATION_MS)
    return ShutdownDeadlines(accept_until_ms, respond_until_ms)
