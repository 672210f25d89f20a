"""Probing: a request waits one round trip while a few backends report their load.

Used only where the site answers probes and their price is negligible (`NodeState.probing_enabled`).
"""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy import (
    attempts,
    capacity,
    final_answers,
    latency_objective,
    outlier_ejection,
    retries,
    selection,
)
from balancer.policy.latency_objective import REQUIRED_LATENCY_FRACTION
from balancer.policy.records import EWMA_WEIGHT, Backend, Request
from balancer.policy.state import NodeState
from balancer.policy.subsetting import MAX_PROBE_ROUNDS, PROBES_PER_ROUND

PROBE_TIMEOUT_ROUND_TRIPS = 3.0
"""A probe is overdue after this many expected round trips: the backend has stalled."""


def begin(state: NodeState, request: Request) -> None:
    """Start probing for an attempt with the first round."""
    request.probe_rounds, request.probed = 0, []
    _start_round(state, request)


def _start_round(state: NodeState, request: Request) -> None:
    """Probe a few backends of the subset, or of the reserve; the request waits one round trip."""
    request.probe_rounds += 1
    request.probe_wait_number += 1
    size = state.subset_size
    for backend in (
        _draw(state, request, 0, size)
        or _draw(state, request, size, 2 * size)
        or selection.draw_in_panic(state, request, PROBES_PER_ROUND, 2 * size)
    ):
        request.pending_probes.add(backend.endpoint.id)
        if backend.probe_waiters is None:
            backend.probe_waiters = []
            state.actions.append(api.SendProbe(backend.endpoint.id))
        backend.probe_waiters.append(request)
    expected_ms = request.work_hint_ms or request.class_state.expected_latency_ms
    too_late_ms = request.useful_until_ms - REQUIRED_LATENCY_FRACTION * expected_ms
    timeout_ms = PROBE_TIMEOUT_ROUND_TRIPS * state.probe_round_trip_ms
    overdue_ms = state.now_ms + timeout_ms + state.settings.tick_ms
    state.set_timer(
        min(too_late_ms, overdue_ms), _handle_overdue_probes, (request, request.probe_wait_number)
    )
    if not request.pending_probes:
        _decide(state, request)


def _draw(state: NodeState, request: Request, start: int, stop: int) -> list[Backend]:
    candidates, considered_count = selection.sample_candidates(state, PROBES_PER_ROUND, start, stop)
    return selection.draw(state, request, PROBES_PER_ROUND, candidates, considered_count)


def _handle_overdue_probes(state: NodeState, wait: tuple[Request, int]) -> None:
    """Pause the backends whose probes are overdue, if the request still has time, and decide without them."""
    request, wait_number = wait
    if request.probe_wait_number != wait_number or not request.pending_probes:
        return
    late_names = sorted(request.pending_probes & state.backends.keys())
    for backend in [
        state.backends[name] for name in late_names if latency_objective.can_be_met(state, request)
    ]:
        pause_ms = request.class_state.expected_latency_ms * state.rng.uniform(0.5, 1.5)
        backend.ejected_until_ms = max(backend.ejected_until_ms, state.now_ms + pause_ms)
        state.actions.append(
            api.NoteBackendDecision(
                backend.endpoint.id,
                api.BackendDecision.PAUSED,
                0,
                backend.ejected_until_ms - state.now_ms,
            )
        )
    _decide(state, request)


def probe_finished(state: NodeState, event: api.ProbeFinished) -> None:
    """Learn from the result of a probe and continue the requests that wait for it."""
    if (backend := state.backends.get(event.backend)) is None:
        return  # removed meanwhile; the timers of the requests that wait for it will expire
    waiters, backend.probe_waiters = backend.probe_waiters or [], None
    has_answered = event.status is api.AttemptStatus.OK
    if has_answered:
        state.probe_round_trip_ms += EWMA_WEIGHT * (event.duration_ms - state.probe_round_trip_ms)
        selection.apply_load_report(state, backend, event.load_report, True)
        backend.ejected_until_ms = min(backend.ejected_until_ms, state.now_ms)
        backend.is_confirmed = True
        capacity.update_backend(state, backend)
    elif not outlier_ejection.drop_unconfirmed(state, backend, event.status):
        backend.consecutive_failures += 1
        outlier_ejection.eject(state, backend, backend.consecutive_failures - 1)
    for request in waiters:
        if event.backend in request.pending_probes:
            request.pending_probes.discard(event.backend)
            _continue_request(state, request, backend, has_answered)


def _continue_request(state: NodeState, request: Request, backend: Backend, has_answered: bool) -> None:
    """Handle the end of one of the probes that a request waits for."""
    if has_answered:
        request.probed.append(backend)
    # Reports may be frozen at idle: an idle report is trusted as often as attempts after one succeed.
    if backend.queue_estimate == 0 and state.rng.random() > state.success_rate:
        backend.queue_estimate = selection.queue_cap(state, request)
    if not request.pending_probes or (request.probed and backend.queue_estimate == 0):
        _decide(state, request)


def _decide(state: NodeState, request: Request) -> None:
    """Send, probe other backends or give up, once all probes have ended or an idle backend has answered."""
    request.pending_probes = set()
    pool = [
        backend
        for backend in request.probed
        if backend.endpoint.phase is api.Phase.UP and retries.may_attempt(state, request, backend)
    ]
    lowest = min((backend.queue_estimate for backend in pool), default=math.inf)
    cap = selection.queue_cap(state, request)
    queue_wait_ms = max(0.0, lowest - 0.5) * request.class_state.expected_latency_ms
    if (
        lowest > 0
        and request.probe_rounds < MAX_PROBE_ROUNDS
        and latency_objective.can_be_met(state, request)
    ):
        _start_round(state, request)
    elif lowest < cap and latency_objective.can_be_met(state, request, queue_wait_ms):
        state.overloaded_count = 0
        attempts.send(state, request, selection.choose_from(state, pool, cap))
    elif not pool:
        final_answers.finish(state, request, api.DecisionReason.NO_ELIGIBLE_BACKEND)
    elif lowest >= cap:
        final_answers.finish(state, request, api.DecisionReason.QUEUE_TIMEOUT)
    else:
        final_answers.finish(state, request, api.DecisionReason.OBJECTIVE_UNREACHABLE)
