"""Limits how much of the event loop's time is spent on input that is discarded unparsed.

Such input hides the end of its connection, so it has a larger share while it may be all that the buffers of
both kernels held when the client went. Times are in milliseconds. The module uses no clock and no sockets.
"""

from __future__ import annotations

from balancer.core.parsing_budget import pause_after_ms

DISCARD_TURN_BUDGET_MS = 2.0  # for input that is discarded unparsed, in one turn of the event loop
MAX_DISCARD_SHARE = 0.5  # of the time, for input that is discarded
# Discarded of a connection: more than the buffers of both kernels hold.
ENDLESS_INPUT_BYTES = 16 * 1024 * 1024
MAX_ENDLESS_DISCARD_SHARE = 0.125  # of the time, where only such connections have input
MAX_CHARGED_DISCARD_MS = 2 * DISCARD_TURN_BUDGET_MS  # of a turn; beyond it the process was held up


def discard_pause_ms(work_ms: float, least_discarded_bytes: int) -> float:
    """Return the pause after a turn of discarding, so that it keeps to its share of the time.

    `least_discarded_bytes` is that of the connection that comes next.
    """
    is_endless = least_discarded_bytes > ENDLESS_INPUT_BYTES
    max_share = MAX_ENDLESS_DISCARD_SHARE if is_endless else MAX_DISCARD_SHARE
    return pause_after_ms(min(work_ms, MAX_CHARGED_DISCARD_MS), max_share)
