"""The integer keys of all counters, so that a bucket is one small map from key to count.

Below `FIRST_LATENCY_KEY` each key stands for an attempt's outcome, a reason, a decision about a backend or
another event. From `FIRST_LATENCY_KEY` on, keys are response times: `KEYS_PER_CLASS` keys for each request
class, one for each bin of `balancer.timeline.latency_histogram`. Keys exist only in memory and may change
between versions; `NAMES` holds the names that are shown.
"""

from __future__ import annotations

from balancer.interface import AttemptStatus, BackendDecision, DecisionReason

FIRST_LATENCY_KEY = 1024
KEYS_PER_CLASS = 512

ATTEMPTS = 0
FIRST_STATUS_KEY, FIRST_REASON_KEY, FIRST_DECISION_KEY = 1, 32, 96  # plus the member's own number
KEY_BY_STATUS: dict[AttemptStatus, int] = {
    status: FIRST_STATUS_KEY + status.number for status in AttemptStatus
}
KEY_BY_REASON: dict[DecisionReason, int] = {
    reason: FIRST_REASON_KEY + reason.number for reason in DecisionReason
}
KEY_BY_DECISION: dict[BackendDecision, int] = {
    decision: FIRST_DECISION_KEY + decision.number for decision in BackendDecision
}
REFUSED, FAILED, ARRIVED, OVERLOADED, LATE, CLIENT_GONE, STARTED, PHASE_CHANGED = range(128, 136)

NAMES: dict[int, str] = (
    {
        ATTEMPTS: "attempts",
        REFUSED: "refused",
        FAILED: "failed",
        ARRIVED: "arrived",
        OVERLOADED: "crowded",
        LATE: "late",
        CLIENT_GONE: "client_gone",
        STARTED: "started",
        PHASE_CHANGED: "phase_changed",
    }
    | {key: status.value for status, key in KEY_BY_STATUS.items()}
    | {key: reason.value for reason, key in KEY_BY_REASON.items()}
    | {key: decision.value for decision, key in KEY_BY_DECISION.items()}
)
"""The name that is shown for a key below `FIRST_LATENCY_KEY`."""

OK = KEY_BY_STATUS[AttemptStatus.OK]
OUTCOME_KEYS = tuple(KEY_BY_STATUS.values())
ERROR_KEYS = tuple(
    KEY_BY_STATUS[status]
    for status in (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED)
)
REJECTED, TIMED_OUT = KEY_BY_STATUS[AttemptStatus.REJECTED], KEY_BY_STATUS[AttemptStatus.TIMEOUT]
REASON_KEYS = tuple(KEY_BY_REASON.values())


def class_index(key: int) -> int:
    """Returns the index of the request class of a response time key (`FIRST_LATENCY_KEY` or above)."""
    return (key - FIRST_LATENCY_KEY) // KEYS_PER_CLASS
