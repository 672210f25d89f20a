"""Retries: the budget that bounds them, and where another attempt may go without taking effect twice.

Idempotent requests may be tried anywhere. Those with an idempotency key may be tried within the
deduplication window at backends that share the deduplication scope of the first attempt that may have run.
All others only after proof that no attempt had an effect (`api.NO_EFFECT_STATUSES`).
"""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy import latency_objective
from balancer.policy.backend_index import deduplication_group
from balancer.policy.records import Attempt, Backend, Request
from balancer.policy.state import NodeState

RETRY_BUDGET_RATIO = 0.15
"""Retries earned by each arrival: in a failing fleet retries add at most 15% to the load."""
MAX_RETRY_TOKENS = 3.0
"""Retries that can be saved up: a quiet node retries a few failures in a row, but no burst of them."""
RETRY_BUDGET_EXHAUSTED, ATTEMPTS_EXHAUSTED, OBJECTIVE_UNREACHABLE = (
    api.DecisionReason.RETRY_BUDGET_EXHAUSTED,
    api.DecisionReason.ATTEMPTS_EXHAUSTED,
    api.DecisionReason.OBJECTIVE_UNREACHABLE,
)


def earn_budget(state: NodeState) -> None:
    """Add the part of a retry that one arrival earns."""
    state.retry_tokens = min(MAX_RETRY_TOKENS, state.retry_tokens + RETRY_BUDGET_RATIO)


def spend_budget(state: NodeState, request: Request) -> api.DecisionReason | None:
    """Pay for a retry of a failed request; returns why there is none, or None where it may go ahead."""
    cost = 0.0 if request.attempts[-1].is_shortened else 1.0  # a lost answer is no sign of load
    if len(request.attempts) >= state.settings.max_attempts:
        return ATTEMPTS_EXHAUSTED
    if state.retry_tokens < cost:
        return RETRY_BUDGET_EXHAUSTED
    if not latency_objective.can_be_met(state, request):
        return OBJECTIVE_UNREACHABLE
    state.retry_tokens -= cost
    return None


def _is_window_over(state: NodeState, request_class: api.RequestClass, attempt: Attempt) -> bool:
    """Whether backends may have forgotten the key of an attempt; two ticks allow for the clocks' steps."""
    age_ms = state.now_ms - attempt.sent_at_ms
    return age_ms > request_class.deduplication_window_ms - 2 * state.settings.tick_ms


def may_attempt(state: NodeState, request: Request, backend: Backend) -> bool:
    """Whether this request may go to this backend without taking effect twice.

    One attempt of a request is in flight at a time.
    """
    request_class, endpoint = request.class_state.request_class, backend.endpoint
    scope = request_class.deduplication_scope
    for attempt in request.attempts:
        if attempt.status is None:
            return False
        if (
            attempt.status in api.NO_EFFECT_STATUSES
            or request_class.idempotency is api.Idempotency.IDEMPOTENT
        ):
            continue
        is_elsewhere = (
            endpoint.zone != attempt.endpoint.zone
            if scope is api.DeduplicationScope.ZONE
            else endpoint.cell != attempt.endpoint.cell
        )
        if (
            request_class.idempotency is api.Idempotency.NON_IDEMPOTENT
            or _is_window_over(state, request_class, attempt)
            or (is_elsewhere and scope is not api.DeduplicationScope.ALL)
        ):
            return False
    return True


def bound_backends(state: NodeState, request: Request) -> list[Backend] | None:
    """The backends that a retry is bound to; empty: to none in particular; None: it may go nowhere."""
    request_class, found = request.class_state.request_class, list[Backend]()
    scope = request_class.deduplication_scope
    for attempt in request.attempts:
        if attempt.status in api.NO_EFFECT_STATUSES or (
            request_class.idempotency is api.Idempotency.IDEMPOTENT and attempt.status is not None
        ):
            continue
        if (
            attempt.status is None
            or request_class.idempotency is api.Idempotency.NON_IDEMPOTENT
            or _is_window_over(state, request_class, attempt)
        ):
            return None
        if scope is not api.DeduplicationScope.ALL:
            group = state.index.groups.get((scope, deduplication_group(attempt.endpoint, scope)))
            if group is None:
                return None
            found = group.items
    return found


def start_before_ms(state: NodeState, request: Request) -> float:
    """Until when an attempt may be written, as its connection may come up late.

    For a request with an idempotency key that may have run, the end of its deduplication window; else never.
    """
    request_class = request.class_state.request_class
    if request_class.idempotency is not api.Idempotency.KEYED:
        return math.inf
    sent_at_ms = [
        attempt.sent_at_ms
        for attempt in request.attempts
        if attempt.status is not None and attempt.status not in api.NO_EFFECT_STATUSES
    ]
    if not sent_at_ms:
        return math.inf
    return min(sent_at_ms) + request_class.deduplication_window_ms - 2 * state.settings.tick_ms


def is_harmless(request: Request) -> bool:
    """Whether a client that is rejected may ask again: no attempt had an effect, or another one adds none."""
    request_class = request.class_state.request_class
    return (
        request_class.idempotency is api.Idempotency.IDEMPOTENT
        or all(attempt.status in api.NO_EFFECT_STATUSES for attempt in request.attempts)
        or (
            request_class.idempotency is api.Idempotency.KEYED
            and request_class.deduplication_scope is api.DeduplicationScope.ALL
        )
    )
