"""Numbers for all that is counted, so that a bucket is one small map from number to count.

Below `TIMES` each number stands for a word: an attempt's outcome, a reason, a note. From `TIMES` on they are
answer times: `WIDTH` numbers a class, one for each bin of `balancer.timeline.latency_histogram`. Numbers
are for memory
alone and may change with the version; names are what is shown.
"""

from __future__ import annotations

from balancer.interface import AttemptStatus, BackendDecision, DecisionReason

TIMES = 1024
WIDTH = 512

ATTEMPTS = 0
STATUSES, WHYS, WHATS = 1, 32, 96  # plus the word's own number
STATUS: dict[AttemptStatus, int] = {status: STATUSES + status.number for status in AttemptStatus}
WHY: dict[DecisionReason, int] = {why: WHYS + why.number for why in DecisionReason}
WHAT: dict[BackendDecision, int] = {what: WHATS + what.number for what in BackendDecision}
REFUSED, FAILED, ARRIVED, CROWDED, LATE, GONE, STARTED, PHASED = range(128, 136)

NAMES: dict[int, str] = (
    {
        ATTEMPTS: "attempts",
        REFUSED: "refused",
        FAILED: "failed",
        ARRIVED: "arrived",
        CROWDED: "crowded",
        LATE: "late",
        GONE: "client_gone",
        STARTED: "started",
        PHASED: "phase_changed",
    }
    | {n: s.value for s, n in STATUS.items()}
    | {n: w.value for w, n in WHY.items()}
    | {n: w.value for w, n in WHAT.items()}
)
"""What is shown for a number below `TIMES`."""

OK = STATUS[AttemptStatus.OK]
OUTCOMES = tuple(STATUS.values())
ERRORS = tuple(STATUS[s] for s in (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED))
TURNED_AWAY, TIMED_OUT = STATUS[AttemptStatus.REJECTED], STATUS[AttemptStatus.TIMEOUT]
REASONS = tuple(WHY.values())


def class_of(key: int) -> int:
    """The number of the class whose answer time a key from `TIMES` on is."""
    return (key - TIMES) // WIDTH
