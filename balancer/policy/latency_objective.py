"""Computes until when an answer is useful, and whether one can still arrive by then."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy.records import ClassState, Request
from balancer.policy.state import NodeState

REQUIRED_LATENCY_FRACTION = 0.9
"""Fraction of the expected latency that must fit before the objective, else an attempt is not worthwhile.

Below 1, as half of all answers are faster than expected.
"""


def useful_until_ms(state: NodeState, event: api.RequestArrived, class_state: ClassState) -> float:
    """Return the time after which an answer to this request is worth nothing."""
    remaining_ms, request_class = event.deadline_ms - state.now_ms, class_state.request_class
    if request_class.late_priority_weight > 0:
        useful_ms = request_class.deadline_ms
    else:
        stretch_ms = request_class.latency_objective_stretch * (event.work_hint or 0.0)
        age_ms = _age_ms(state, event, class_state, remaining_ms)
        useful_ms = request_class.latency_objective_ms + stretch_ms - age_ms
    return min(event.deadline_ms, state.now_ms + useful_ms)


def _age_ms(
    state: NodeState, event: api.RequestArrived, class_state: ClassState, remaining_ms: float
) -> float:
    """Estimate how long ago the client first sent the request, from the time left until its deadline.

    First attempts of a class all get the same time, which is learned by majority vote; a retry gets what is
    left of it. The vote guards against rejecting every first attempt after one retry arrived with more time.
    Where retries are marked, the mark guards against taking the requests of impatient clients for old ones.
    """
    is_first = abs(remaining_ms - class_state.first_attempt_allowance_ms) <= 2 * state.settings.tick_ms
    are_retries_marked = state.settings.are_retries_marked
    if not (are_retries_marked and event.is_retry):
        class_state.allowance_votes += 1 if is_first else -1
        if class_state.allowance_votes < 0:
            class_state.first_attempt_allowance_ms, class_state.allowance_votes = remaining_ms, 1
            is_first = True
    if is_first or (are_retries_marked and not event.is_retry):
        return 0.0
    return max(0.0, class_state.request_class.deadline_ms - remaining_ms)


def can_be_met(state: NodeState, request: Request, wait_ms: float = 0.0) -> bool:
    """Return whether the request can still be served while that is useful, after waiting `wait_ms`."""
    expected_ms = (request.work_hint_ms or request.class_state.expected_latency_ms) + wait_ms
    return state.now_ms + REQUIRED_LATENCY_FRACTION * expected_ms < request.useful_until_ms
