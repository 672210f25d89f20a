"""Learns from the outcomes of attempts about the backend, the class, the zones and the fleet."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy import capacity, concurrency_limit, outlier_ejection, selection
from balancer.policy.records import EWMA_WEIGHT, MIN_EXPECTED_LATENCY_MS, Attempt, Backend, Request
from balancer.policy.state import NodeState

SPILLOVER_GAIN = 0.1
"""Change of the spillover fraction per answer and unit of the advantage of remote backends."""
OK, REJECTED, TIMEOUT = api.AttemptStatus.OK, api.AttemptStatus.REJECTED, api.AttemptStatus.TIMEOUT
LOAD_DEPENDENT_OUTCOMES = (OK, REJECTED, TIMEOUT)
UNINFORMATIVE_OUTCOMES = (api.AttemptStatus.CANCELLED, api.AttemptStatus.NOT_STARTED)
"""Outcomes that say nothing about the backend."""
LOAD_INDEPENDENT_FAILURES = frozenset({api.AttemptStatus.ERROR, api.AttemptStatus.RESET})
"""Failures that say nothing about load."""


def record(state: NodeState, event: api.AttemptFinished) -> Request | None:
    """Learn from the outcome of an attempt; returns its request, or None if the attempt is unknown."""
    request = state.requests.get(event.request)
    if (
        request is None
        or event.attempt >= len(request.attempts)
        or request.attempts[event.attempt].status is not None
    ):
        return None
    attempt = request.attempts[event.attempt]
    attempt.status, backend = event.status, attempt.backend
    request.in_flight -= 1
    backend.in_flight -= 1
    state.in_flight -= 1
    if event.status is OK:  # an idle report with a rejection or failure is not credible
        selection.apply_load_report(state, backend, event.load_report, False)
    if event.status not in UNINFORMATIVE_OUTCOMES:
        _update_statistics(state, request, attempt, event)
        if event.status not in LOAD_INDEPENDENT_FAILURES:
            concurrency_limit.adjust(state, request.class_state, event, backend.endpoint.zone)
    capacity.update_backend(state, backend)
    if (
        not backend.in_flight
        and backend.endpoint.phase is api.Phase.REMOVED
        and state.backends.get(backend.endpoint.id) is backend
    ):
        del state.backends[backend.endpoint.id]
    return request


def _update_statistics(
    state: NodeState, request: Request, attempt: Attempt, event: api.AttemptFinished
) -> None:
    """Update the moving averages, then the state of the backend according to the status."""
    backend, class_state, status = attempt.backend, request.class_state, event.status
    backend.rejection_rate += EWMA_WEIGHT * ((status is REJECTED) - backend.rejection_rate)
    if status is not REJECTED:
        state.failure_rate += EWMA_WEIGHT / 4 * ((status is not OK) - state.failure_rate)
    if attempt.is_representative and status in LOAD_DEPENDENT_OUTCOMES:
        _update_success_statistics(state, request, attempt, event)
    if status is OK:
        backend.consecutive_failures, backend.is_confirmed = 0, True
        if attempt.is_representative:
            error_ms = event.duration_ms - class_state.expected_latency_ms
            class_state.mean_deviation_ms += EWMA_WEIGHT * (abs(error_ms) - class_state.mean_deviation_ms)
            # Thousands of answers in zero time must not lead to a division by zero.
            class_state.expected_latency_ms = max(
                MIN_EXPECTED_LATENCY_MS, class_state.expected_latency_ms + EWMA_WEIGHT * error_ms
            )
    elif status is REJECTED:
        _pause(state, backend, class_state.expected_latency_ms)
    elif attempt.is_shortened or not outlier_ejection.drop_unconfirmed(state, backend, status):
        outlier_ejection.record_failed_attempt(state, backend, event)


def _update_success_statistics(
    state: NodeState, request: Request, attempt: Attempt, event: api.AttemptFinished
) -> None:
    """Update the success rate, the backend's slowness and the spillover."""
    backend, class_state, status = attempt.backend, request.class_state, event.status
    objective_ms = class_state.request_class.latency_objective_ms
    has_met_objective = status is OK and event.duration_ms <= objective_ms
    state.lost_response_rate += EWMA_WEIGHT * ((status is TIMEOUT) - state.lost_response_rate)
    # A rejection says nothing about the next backend, and a lost response nothing about load.
    if has_met_objective or state.probing_enabled or not (attempt.is_shortened or status is REJECTED):
        weight = EWMA_WEIGHT * (1 + state.probing_enabled)
        state.success_rate += weight * (has_met_objective - state.success_rate)
    latency_ms = event.duration_ms if has_met_objective else objective_ms
    backend.slowness += EWMA_WEIGHT * (latency_ms / class_state.expected_latency_ms - backend.slowness)
    is_remote, miss_rates = not backend.is_local, state.miss_rates
    miss_rates[is_remote] += EWMA_WEIGHT * (1 - has_met_objective - miss_rates[is_remote])
    advantage = miss_rates[0] - miss_rates[1] - state.settings.prices.cross_zone
    state.spillover = max(0.0, min(1.0, state.spillover + SPILLOVER_GAIN * advantage))


def _pause(state: NodeState, backend: Backend, expected_ms: float) -> None:
    """Exclude a backend that rejected a request for about one expected latency, even in panic."""
    backend.paused_until_ms = state.now_ms + expected_ms * state.rng.uniform(0.5, 1.5)
    pause_ms = backend.paused_until_ms - state.now_ms
    state.actions.append(
        api.NoteBackendDecision(backend.endpoint.id, api.BackendDecision.PAUSED, 0, pause_ms)
    )
