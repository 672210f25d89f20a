"""How often a node that polls discovery has to call it, and how long a call may take.

Whatever calls failed before, a node counts as notified of a change NOTIFICATION_DEADLINE_MS after discovery
had the change and could be reached. A call that began before that moment may fail as late as its timeout; the
next one is answered. So that deadline has to hold the time from the start of one call to the start of the
next, at most MAX_CALL_INTERVAL_MS, and the time until the answer. What is left is for a discovery that is
crowded after its return: it is one service that works through the calls of all nodes in turn.

Only nodes that poll load this module.
"""

from __future__ import annotations

NOTIFICATION_DEADLINE_MS = 6000.0
"""From when discovery has a change and can be reached to when a node counts as notified of it."""
MAX_CALL_INTERVAL_MS = 4500.0
"""The longest time from the start of a call to the start of the next."""
RETRY_INTERVAL_MS = 3000.0
"""The longest such time if the call failed well before its timeout. Nodes spread their calls over it."""
MAX_LATE_RETRY_WAIT_MS = 1500.0
"""The longest wait after a call that failed later than that."""
MIN_RETRY_WAIT_LIMIT_MS = 300.0
"""The lowest limit of a wait: nodes whose calls failed at the same moment should not call together again."""

MAX_WATCH_SILENCE_MS = 3500.0
"""A watch that receives nothing for this long has failed; discovery sends an empty line every 2 s."""
CALL_TIMEOUT_MS = 3000.0
"""A call that receives nothing for this long has failed."""
PATIENT_TIMEOUT_MS = 4000.0
"""The timeout of each PATIENT_CALL_INTERVAL-th call of those that fail in a row: discovery may be slow."""
PATIENT_CALL_INTERVAL = 4
MIN_CALL_TIMEOUT_MS = 500.0
"""The lower bound for a very short polling interval."""
CALL_TIMEOUT_POLLING_INTERVALS = 2.0
"""The upper bound of a timeout: after a failed call a node has to call within four polling intervals."""


def call_timeout_ms(poll_within_ms: float, consecutive_failures: int) -> float:
    """Return the timeout of the call that follows so many failed ones, in milliseconds."""
    is_patient = consecutive_failures % PATIENT_CALL_INTERVAL == PATIENT_CALL_INTERVAL - 1
    timeout_ms = PATIENT_TIMEOUT_MS if is_patient else CALL_TIMEOUT_MS
    return min(timeout_ms, max(MIN_CALL_TIMEOUT_MS, CALL_TIMEOUT_POLLING_INTERVALS * poll_within_ms))


def late_retry_wait_limit_ms(elapsed_ms: float) -> float:
    """Return the longest wait, in milliseconds, after a call that began `elapsed_ms` ago and failed late."""
    wait_ms = min(MAX_LATE_RETRY_WAIT_MS, MAX_CALL_INTERVAL_MS - elapsed_ms)
    return max(wait_ms, MIN_RETRY_WAIT_LIMIT_MS)
