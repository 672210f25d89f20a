"""Retries: the retry budget, and where a request may be retried without being executed twice.

Idempotent requests may be retried anywhere. Requests with an idempotency key may be retried within the
deduplication window at backends that share the deduplication scope of the first attempt that may have been
executed. All others are retried only after proof that no attempt had an effect (`api.NO_EFFECT_STATUSES`).
"""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy import latency_objective
from balancer.policy.backend_index import deduplication_group
from balancer.policy.records import Attempt, Backend, Request
from balancer.policy.state import NodeState

RETRY_BUDGET_RATIO = 0.15
"""Retries earned per arrival: in a failing fleet retries add at most 15% to the load."""
MAX_RETRY_TOKENS = 3.0
"""Retries that can be saved up: enough for a few failures in a row on a quiet node, but not for a burst."""
RETRY_BUDGET_EXHAUSTED, ATTEMPTS_EXHAUSTED, OBJECTIVE_UNREACHABLE = (
    api.DecisionReason.RETRY_BUDGET_EXHAUSTED,
    api.DecisionReason.ATTEMPTS_EXHAUSTED,
    api.DecisionReason.OBJECTIVE_UNREACHABLE,
)


def earn_budget(state: NodeState) -> None:
    """Add the fraction of a retry that one arrival earns."""
    state.retry_tokens = min(MAX_RETRY_TOKENS, state.retry_tokens + RETRY_BUDGET_RATIO)


def spend_budget(state: NodeState, request: Request) -> api.DecisionReason | None:
    """Pay for a retry of a failed request; returns the reason if it is refused, or None if it may proceed."""
    cost = 0.0 if request.attempts[-1].is_shortened else 1.0  # a lost response is no sign of load
    if len(request.attempts) >= state.settings.max_attempts:
        return ATTEMPTS_EXHAUSTED
    if state.retry_tokens < cost:
        return RETRY_BUDGET_EXHAUSTED
    if not latency_objective.can_be_met(state, request):
        return OBJECTIVE_UNREACHABLE
    state.retry_tokens -= cost
    return None


def _is_deduplication_window_over(
    state: NodeState, request_class: api.RequestClass, attempt: Attempt
) -> bool:
    """Return whether backends may have forgotten an attempt's key; two ticks allow for clock granularity."""
    age_ms = state.now_ms - attempt.sent_at_ms
    return age_ms > request_class.deduplication_window_ms - 2 * state.settings.tick_ms


def may_attempt(state: NodeState, request: Request, backend: Backend) -> bool:
    """Return whether a request may go to a backend without being executed twice.

    At most one attempt of a request is in flight at a time.
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
        is_outside_scope = (
            endpoint.zone != attempt.endpoint.zone
            if scope is api.DeduplicationScope.ZONE
            else endpoint.cell != attempt.endpoint.cell
        )
        if (
            request_class.idempotency is api.Idempotency.NON_IDEMPOTENT
            or _is_deduplication_window_over(state, request_class, attempt)
            or (is_outside_scope and scope is not api.DeduplicationScope.ALL)
        ):
            return False
    return True


def bound_backends(state: NodeState, request: Request) -> list[Backend] | None:
    """Return the backends that a retry is restricted to; empty: no restriction; None: no retry is allowed."""
    request_class, restricted_to = request.class_state.request_class, list[Backend]()
    scope = request_class.deduplication_scope
    for attempt in request.attempts:
        if attempt.status in api.NO_EFFECT_STATUSES or (
            request_class.idempotency is api.Idempotency.IDEMPOTENT and attempt.status is not None
        ):
            continue
        if (
            attempt.status is None
            or request_class.idempotency is api.Idempotency.NON_IDEMPOTENT
            or _is_deduplication_window_over(state, request_class, attempt)
        ):
            return None
        if scope is not api.DeduplicationScope.ALL:
            group = state.index.groups.get((scope, deduplication_group(attempt.endpoint, scope)))
            if group is None:
                return None
            restricted_to = group.items
    return restricted_to


def start_before_ms(state: NodeState, request: Request) -> float:
    """Return the time after which an attempt must not start, as connecting may take long.

    For a request with an idempotency key that may have been executed, this is the end of its deduplication
    window; otherwise there is no limit.
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


def is_client_retry_safe(request: Request) -> bool:
    """Return whether a client may safely retry: no attempt had an effect, or another one would add none."""
    request_class = request.class_state.request_class
    return (
        request_class.idempotency is api.Idempotency.IDEMPOTENT
        or all(attempt.status in api.NO_EFFECT_STATUSES for attempt in request.attempts)
        or (
            request_class.idempotency is api.Idempotency.KEYED
            and request_class.deduplication_scope is api.DeduplicationScope.ALL
        )
    )
