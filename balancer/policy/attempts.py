"""Sends attempts: the one place that checks draining, retries, closed requests and attempt limits."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy import final_answers, retries, slow_start
from balancer.policy.records import Attempt, Backend, Request
from balancer.policy.state import NodeState

HIGH_LOST_RESPONSE_RATE = 0.05
"""Fraction of timed-out attempts above which responses are assumed to get lost on the way."""
PANIC, SLOW_START_ADMITTED = api.DecisionReason.PANIC, api.DecisionReason.SLOW_START_ADMITTED


def send(state: NodeState, request: Request, backend: Backend) -> None:
    """Send a request to a backend, or finish it if that is not allowed."""
    if (
        request.is_closed
        or request.is_streaming
        or backend.endpoint.phase is not api.Phase.UP
        or not retries.may_attempt(state, request, backend)
        or len(request.attempts) >= state.settings.max_attempts
        or state.now_ms >= request.deadline_ms
    ):
        final_answers.finish(state, request, _refusal_reason(state, request, backend))
        return
    reason, cause = state.selection_reason, state.attempt_cause
    if backend.level is None and reason is not PANIC and slow_start.fraction(state, backend) < 1.0:
        reason = SLOW_START_ADMITTED
    if request.attempts:
        cause = api.RETRY_REASONS.get(request.attempts[-1].status, cause)
    is_representative = backend.queue_estimate == 0 or not state.probing_enabled
    attempt = Attempt(backend, backend.endpoint, state.now_ms, is_representative)
    request.attempts.append(attempt)
    request.in_flight += 1
    backend.in_flight += 1
    state.in_flight += 1
    backend.queue_estimate += 1
    state.index.update_counts(backend)
    timeout_ms = _timeout_ms(state, request, attempt)
    start_before_ms = retries.start_before_ms(state, request)
    state.actions.append(
        api.SendAttempt(
            request.id,
            backend.endpoint.id,
            timeout_ms,
            reason,
            cause,
            state.eligible_count,
            state.overloaded_count,
            start_before_ms,
        )
    )


def _refusal_reason(state: NodeState, request: Request, backend: Backend) -> api.DecisionReason:
    """Return why an attempt is not allowed."""
    if backend.endpoint.phase is not api.Phase.UP:
        return api.DecisionReason.NO_ELIGIBLE_BACKEND
    if len(request.attempts) >= state.settings.max_attempts:
        return api.DecisionReason.ATTEMPTS_EXHAUSTED
    if state.now_ms >= request.deadline_ms:
        return api.DecisionReason.OBJECTIVE_UNREACHABLE
    return api.DecisionReason.NOT_RETRYABLE


def _timeout_ms(state: NodeState, request: Request, attempt: Attempt) -> float:
    """Return how long to wait for the answer of an attempt; 0 means until the client gives up.

    An answer after the objective is worth nothing, so the attempt ends shortly before it and its failure is
    not late. Where responses get lost and a late answer still has value, the timeout is shortened to leave
    time for a retry.
    """
    class_state = request.class_state
    request_class = class_state.request_class
    remaining_ms, tick_ms = request.useful_until_ms - state.now_ms, state.settings.tick_ms
    if (
        state.lost_response_rate > HIGH_LOST_RESPONSE_RATE
        and request_class.late_priority_weight > 0
        and request_class.idempotency is not api.Idempotency.NON_IDEMPOTENT
    ):
        high_latency_ms = class_state.expected_latency_ms + 4 * class_state.mean_deviation_ms
        shortened_timeout_ms = max(request_class.latency_objective_ms / 2, high_latency_ms)
        if shortened_timeout_ms + class_state.expected_latency_ms < remaining_ms:
            attempt.is_shortened = True
            return shortened_timeout_ms
    return max(tick_ms, remaining_ms - 2 * tick_ms) if request.useful_until_ms < request.deadline_ms else 0.0
