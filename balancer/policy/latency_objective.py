"""Until when an answer is useful, and whether one can still come by then."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy.records import ClassState, Request
from balancer.policy.state import NodeState

REQUIRED_LATENCY_FRACTION = 0.9
"""Part of the expected latency that must still fit before the objective, else an attempt is waste.

Below 1, as half of all answers are faster than expected.
"""


def useful_until_ms(state: NodeState, event: api.RequestArrived, class_state: ClassState) -> float:
    """The time after which an answer to this request is worth nothing."""
    left_ms, request_class = event.deadline_ms - state.now_ms, class_state.request_class
    if request_class.late_priority_weight > 0:
        useful_ms = request_class.deadline_ms
    else:
        stretch_ms = request_class.latency_objective_stretch * (event.work_hint or 0.0)
        age_ms = _age_ms(state, event, class_state, left_ms)
        useful_ms = request_class.latency_objective_ms + stretch_ms - age_ms
    return min(event.deadline_ms, state.now_ms + useful_ms)


def _age_ms(state: NodeState, event: api.RequestArrived, class_state: ClassState, left_ms: float) -> float:
    """How long ago the client first asked, estimated by what is left of its deadline.

    First attempts of a class all get the same time, learned by majority vote; a retry gets what is left of
    it. Guards against rejecting every first attempt once one retry came with more time than first attempts
    have, and where retries are marked against taking those for old whose clients only give up early.
    """
    is_first = abs(left_ms - class_state.first_attempt_allowance_ms) <= 2 * state.settings.tick_ms
    are_marked = state.settings.are_retries_marked
    if not (are_marked and event.is_retry):
        class_state.allowance_votes += 1 if is_first else -1
        if class_state.allowance_votes < 0:
            class_state.first_attempt_allowance_ms, class_state.allowance_votes = left_ms, 1
            is_first = True
    if is_first or (are_marked and not event.is_retry):
        return 0.0
    return max(0.0, class_state.request_class.deadline_ms - left_ms)


def can_be_met(state: NodeState, request: Request, wait_ms: float = 0.0) -> bool:
    """Whether the request can still be served while that is useful, after waiting `wait_ms`."""
    expected_ms = (request.work_hint_ms or request.class_state.expected_latency_ms) + wait_ms
    return state.now_ms + REQUIRED_LATENCY_FRACTION * expected_ms < request.useful_until_ms
