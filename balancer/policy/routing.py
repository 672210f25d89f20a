"""The way of a request: shed, queued under the concurrency limit, sent to a backend, tried again."""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy import (
    attempts,
    final_answers,
    latency_objective,
    load_shedding,
    outcomes,
    probing,
    retries,
    selection,
    subsetting,
)
from balancer.policy.latency_objective import REQUIRED_LATENCY_FRACTION
from balancer.policy.records import Backend, Request
from balancer.policy.state import NodeState

MAX_QUEUE_TIME_LATENCIES = 1.0
"""Expected latencies of its class that a request is queued for capacity."""
MAX_DEQUEUED_PER_EVENT = 64
"""Queued requests looked at in one go; what is left is by the next event, or expires."""
MAX_DRAWN_BACKENDS = 32
"""Backends that a draw without the index asks for: more would not find a better one."""
CACHED_AGE_SCALE_MS = 60_000.0
"""Age at which one known from the cache alone is passed over half of the time, for one of less age."""
QUEUE_TIMEOUT, BACKEND_OVERLOADED, NO_ELIGIBLE_BACKEND = (
    api.DecisionReason.QUEUE_TIMEOUT,
    api.DecisionReason.BACKEND_OVERLOADED,
    api.DecisionReason.NO_ELIGIBLE_BACKEND,
)
DEQUEUED, FIRST_ATTEMPT = api.DecisionReason.DEQUEUED, api.DecisionReason.FIRST_ATTEMPT


def request_arrived(state: NodeState, event: api.RequestArrived) -> None:
    """Take a request; raises CallError for an unknown class.

    One that can't meet its objective is shed at once: cheaper for all than a failure after the objective.
    """
    if (class_state := state.classes.get(event.class_name)) is None:
        raise api.CallError(f"unknown class: {event.class_name!r}")
    useful_until_ms = latency_objective.useful_until_ms(state, event, class_state)
    is_high_priority = load_shedding.update_density(state, class_state)
    retries.earn_budget(state)
    state.arrived_since_log += 1
    request = Request(
        event.request, class_state, event.work_hint, event.deadline_ms, useful_until_ms, is_high_priority
    )
    state.requests[event.request] = request
    if latency_objective.can_be_met(state, request):
        _route(state, request)
    else:
        final_answers.finish(state, request, api.DecisionReason.OBJECTIVE_UNREACHABLE)


def stream_started(state: NodeState, event: api.StreamStarted) -> None:
    """The attempt belongs to the client from now on."""
    if event.request in state.requests:
        state.requests[event.request].is_streaming = True


def attempt_finished(state: NodeState, event: api.AttemptFinished) -> None:
    """Learn from an outcome, retry what failed, and send what was queued for the capacity."""
    if (request := outcomes.record(state, event)) is None:
        return
    if event.is_request_closed or request.is_closed:
        final_answers.close(state, request)
    else:
        retry(state, request)
    _dequeue(state)


def retry(state: NodeState, request: Request) -> None:
    """The attempt failed: try elsewhere while that can meet the objective and the retry budget lasts."""
    if (refusal := retries.spend_budget(state, request)) is None:
        _route(state, request)
    else:
        final_answers.finish(state, request, refusal)


def _route(state: NodeState, request: Request) -> None:
    """Probe, shed, send or queue a request for its next attempt."""
    if state.probing_enabled:
        probing.begin(state, request)
    elif load_shedding.is_shed(state, request):
        final_answers.finish(state, request, api.DecisionReason.SHED_BY_SUCCESS_RATE)
    elif state.in_flight + 1 <= state.concurrency_limit or request.is_high_priority:
        _dispatch(state, request)
    else:
        _enqueue(state, request)


# --- the queue under the concurrency limit


def _enqueue(state: NodeState, request: Request) -> None:
    """Last come, first served, so that what is sent has time left.

    What isn't sent soon never is: guards against a pile of requests that takes up the connections on which
    clients could ask anew.
    """
    state.queued[request.id] = request
    expected_ms = request.class_state.expected_latency_ms
    too_late_ms = request.useful_until_ms - REQUIRED_LATENCY_FRACTION * expected_ms
    timeout_ms = state.now_ms + MAX_QUEUE_TIME_LATENCIES * expected_ms
    state.set_timer(min(too_late_ms, timeout_ms), _expire, request)


def _expire(state: NodeState, request: Request) -> None:
    if state.queued.get(request.id) is request:
        del state.queued[request.id]
        final_answers.finish(state, request, QUEUE_TIMEOUT)


def _dequeue(state: NodeState) -> None:
    """Some at a time: guards against one event that looks for capacity for thousands, and there is none."""
    for _ in range(MAX_DEQUEUED_PER_EVENT):
        if not state.queued or state.in_flight + 1 > state.concurrency_limit:
            return
        _, request = state.queued.popitem()
        if latency_objective.can_be_met(state, request):
            state.attempt_cause = DEQUEUED
            _dispatch(state, request)
            state.attempt_cause = FIRST_ATTEMPT
        else:
            final_answers.finish(state, request, QUEUE_TIMEOUT)


# --- the choice without probes


def _dispatch(state: NodeState, request: Request) -> None:
    """Send a request by Join-Up-To(m) over the window: the subset, but for overloaded members."""
    index, listed = state.index, len(state.index.order)
    # Wider for a node that carries far more than its part, lest it overload the few that fall to it.
    size = state.subset_size if state.subset_size > state.in_flight else state.in_flight
    size = (size if size < listed else listed) or 1
    if index.window_size != size and listed:
        index.resize(size, state.now_ms)
    # Local backends first, others as far as they are better by more than the price.
    is_far = state.spillover > 0 and state.rng.random() < state.spillover
    if request.attempts:  # a retry stays on its side: it may be bound to the zone
        is_far = not subsetting.is_local(state, request.attempts[0].endpoint)
    is_far = is_far and 0 < index.local_count < listed
    max_in_flight = math.inf if request.is_high_priority else state.concurrency_limit / size
    # Every node takes its part of what a backend may be given after it reported idle.
    cap = max(1, selection.queue_cap(state, request) // state.settings.node_count)
    bound = retries.bound_backends(state, request) if request.attempts else []
    state.is_panicking, state.overloaded_count = False, 0
    if bound is None:
        final_answers.finish(state, request, api.DecisionReason.NOT_RETRYABLE)
    elif bound or is_far:
        _dispatch_to_few(state, request, bound, size, is_far, max_in_flight, cap)
    elif (backend := _choose(state, request, max_in_flight, cap)) is None:
        _dispatch_to_reserve(state, request, size, False, max_in_flight, cap)
    elif request.is_high_priority or not load_shedding.is_protected(state, backend):
        attempts.send(state, request, backend)
    else:
        final_answers.finish(state, request, BACKEND_OVERLOADED)


def _choose(state: NodeState, request: Request, max_in_flight: float, cap: int) -> Backend | None:
    """A choice over the window; one known from the cache alone is passed over more often with its age."""
    backend = selection.choose(state, request, max_in_flight, cap)
    if backend is None or backend.is_confirmed:
        return backend
    age_ms = backend.endpoint.cached_age_ms or 0.0
    if age_ms > state.rng.random() * (age_ms + CACHED_AGE_SCALE_MS):
        other = selection.choose(state, request, max_in_flight, cap) or backend
        if other.is_confirmed or (other.endpoint.cached_age_ms or 0.0) < age_ms:
            return other
    return backend


def _dispatch_to_few(
    state: NodeState,
    request: Request,
    bound: list[Backend],
    size: int,
    is_far: bool,
    max_in_flight: float,
    cap: int,
) -> None:
    """Send a retry that is bound to some backends, or a request that goes to other zones."""
    count = min(size, MAX_DRAWN_BACKENDS)
    scanned = selection.SCANNED_PER_DRAWN * count
    if not bound or size <= scanned:
        candidates, considered = selection.stretch(state, count, 0, size, is_far)
        pool = selection.draw(state, request, count, candidates, considered, max_in_flight)
    else:  # of a window this wide a draw would hardly meet them
        considered = min(len(bound), scanned)
        positions = selection.random_positions(state, len(bound), considered)
        some = (bound[at] for at in positions)
        inside = (backend for backend in some if backend.is_in_window or is_far)
        pool = selection.draw(state, request, count, inside, considered, max_in_flight)
        if not pool:
            positions = selection.random_positions(state, len(bound), considered)
            pool = selection.draw(state, request, count, (bound[at] for at in positions), considered)
    if pool:
        _send_to_one_of(state, request, pool, is_far, cap)
        return
    may_choose = is_far and not bound
    _dispatch_to_reserve(state, request, size, is_far, max_in_flight, cap, may_choose)


def _dispatch_to_reserve(
    state: NodeState,
    request: Request,
    size: int,
    is_far: bool,
    max_in_flight: float,
    cap: int,
    may_choose: bool = False,
) -> None:
    """Nobody in the window is eligible: send to the reserve, else panic.

    `may_choose`: the window was not looked at as a whole. Guards against panic where a draw among thousands
    met none of the few that are eligible.
    """
    count = min(size, MAX_DRAWN_BACKENDS)
    candidates, considered = selection.stretch(state, count, size, 2 * size, is_far)
    pool = selection.draw(state, request, count, candidates, considered)
    if not pool and may_choose:
        backend = selection.choose(state, request, max_in_flight, cap)
        if backend is not None:
            attempts.send(state, request, backend)
            return
    if not pool:
        pool = selection.draw_in_panic(state, request, count, 2 * size, is_far, max_in_flight)
    _send_to_one_of(state, request, pool, is_far, cap)


def _send_to_one_of(state: NodeState, request: Request, found: list[Backend], is_far: bool, cap: int) -> None:
    """Send to one of a few eligible backends: confirmed, no busier than the mean, not overloaded."""
    if request.class_state.request_class.idempotency is not api.Idempotency.IDEMPOTENT:
        found = [backend for backend in found if backend.is_confirmed] or found
    total = sum(backend.in_flight for backend in found)
    pool = [backend for backend in found if backend.in_flight * len(found) <= total]
    if not found:
        final_answers.finish(state, request, NO_ELIGIBLE_BACKEND)
        return
    if not request.is_high_priority:
        pool = [backend for backend in pool if not load_shedding.is_protected(state, backend)]
        if not pool:
            final_answers.finish(state, request, BACKEND_OVERLOADED)
            return
    backend = selection.choose_from(state, pool, cap)
    state.overloaded_count = len(found) - len(pool)
    if state.is_panicking:
        state.selection_reason = api.DecisionReason.PANIC
    elif is_far and not backend.is_local:
        state.selection_reason = api.DecisionReason.OTHER_ZONE
    attempts.send(state, request, backend)
