"""Routes a request: it is shed, queued under the concurrency limit, sent to a backend, or retried."""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy import (
    attempts,
    final_answers,
    latency_objective,
    load_shedding,
    outcomes,
    retries,
    selection,
    subsetting,
)
from balancer.policy.latency_objective import REQUIRED_LATENCY_FRACTION
from balancer.policy.records import Backend, Request
from balancer.policy.state import NodeState

MAX_QUEUE_TIME_LATENCIES = 1.0
"""Longest time in the queue, in expected latencies of the request's class."""
MAX_DEQUEUED_PER_EVENT = 64
"""Queued requests handled per event; the others wait for the next event, or expire."""
MAX_DRAWN_BACKENDS = 32
"""Largest number of backends to draw without the index: more would not find a better one."""
CACHED_AGE_SCALE_MS = 60_000.0
"""Age at which a backend known from the cache alone is skipped half of the time, for one of less age."""
QUEUE_TIMEOUT, BACKEND_OVERLOADED, NO_ELIGIBLE_BACKEND = (
    api.DecisionReason.QUEUE_TIMEOUT,
    api.DecisionReason.BACKEND_OVERLOADED,
    api.DecisionReason.NO_ELIGIBLE_BACKEND,
)
DEQUEUED, FIRST_ATTEMPT = api.DecisionReason.DEQUEUED, api.DecisionReason.FIRST_ATTEMPT


def request_arrived(state: NodeState, event: api.RequestArrived) -> None:
    """Handle a new request; raises CallError for an unknown class.

    A request that cannot meet its objective is rejected at once, which costs less than a failure after the
    objective.
    """
    if (class_state := state.classes.get(event.class_name)) is None:
        raise api.CallError(f"unknown class: {event.class_name!r}")
    useful_until_ms = latency_objective.useful_until_ms(state, event, class_state)
    is_high_priority = load_shedding.update_priority_density(state, class_state)
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
    """Mark a request as streaming: its attempt belongs to the client from now on."""
    if event.request in state.requests:
        state.requests[event.request].is_streaming = True


def attempt_finished(state: NodeState, event: api.AttemptFinished) -> None:
    """Learn from an outcome, retry a failed request, and send queued requests into the freed capacity."""
    if (request := outcomes.record(state, event)) is None:
        return
    if event.is_request_closed or request.is_closed:
        final_answers.close(state, request)
    else:
        retry(state, request)
    _dequeue(state)


def retry(state: NodeState, request: Request) -> None:
    """Retry a failed request while the objective can still be met and the retry budget lasts."""
    if (refusal := retries.spend_budget(state, request)) is None:
        _route(state, request)
    else:
        final_answers.finish(state, request, refusal)


def _route(state: NodeState, request: Request) -> None:
    """Probe, shed, send or queue a request for its next attempt."""
    if state.probing_enabled:
        from balancer.policy import probing

        probing.begin(state, request)
    elif load_shedding.is_shed(state, request):
        final_answers.finish(state, request, api.DecisionReason.SHED_BY_SUCCESS_RATE)
    elif state.in_flight + 1 <= state.concurrency_limit or request.is_high_priority:
        _dispatch(state, request)
    else:
        _enqueue(state, request)


# --- queue under the concurrency limit


def _enqueue(state: NodeState, request: Request) -> None:
    """Queue a request, last in, first out, so that requests still have time left when they are sent.

    A request that is not sent soon is rejected: otherwise queued requests would occupy the connections on
    which clients could retry.
    """
    state.queued[request.id] = request
    expected_ms = request.class_state.expected_latency_ms
    too_late_ms = request.useful_until_ms - REQUIRED_LATENCY_FRACTION * expected_ms
    timeout_ms = state.now_ms + MAX_QUEUE_TIME_LATENCIES * expected_ms
    state.set_timer(min(too_late_ms, timeout_ms), _expire_queued, request)


def _expire_queued(state: NodeState, request: Request) -> None:
    if state.queued.get(request.id) is request:
        del state.queued[request.id]
        final_answers.finish(state, request, QUEUE_TIMEOUT)


def _dequeue(state: NodeState) -> None:
    """Send queued requests, a bounded number per event: a long queue without capacity must not take long."""
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


# --- choice without probes


def _dispatch(state: NodeState, request: Request) -> None:
    """Send a request by Join-Up-To(m) over the window: the subset, without its overloaded members."""
    index, listed_count = state.index, len(state.index.order)
    # A node with more than its share of the load uses a wider window so as not to overload its subset.
    size = state.subset_size if state.subset_size > state.in_flight else state.in_flight
    size = (size if size < listed_count else listed_count) or 1
    if index.window_size != size and listed_count:
        index.resize(size, state.now_ms)
    # Local backends are preferred; remote ones get the spillover fraction, which rises only while they do
    # better by more than the cross-zone price.
    is_remote = state.spillover > 0 and state.rng.random() < state.spillover
    if request.attempts:  # a retry stays local or remote: it may be restricted to the zone
        is_remote = not subsetting.is_local(state, request.attempts[0].endpoint)
    is_remote = is_remote and 0 < index.local_count < listed_count
    max_in_flight = math.inf if request.is_high_priority else state.concurrency_limit / size
    # All nodes together may fill a backend up to the queue cap after it reported idle: take one node's share.
    cap = max(1, selection.queue_cap(state, request) // state.settings.node_count)
    bound = retries.bound_backends(state, request) if request.attempts else []
    state.is_panicking, state.overloaded_count = False, 0
    if bound is None:
        final_answers.finish(state, request, api.DecisionReason.NOT_RETRYABLE)
    elif bound or is_remote:
        _dispatch_to_candidates(state, request, bound, size, is_remote, max_in_flight, cap)
    elif (backend := _choose(state, request, max_in_flight, cap)) is None:
        _dispatch_to_reserve(state, request, size, False, max_in_flight, cap)
    elif request.is_high_priority or not load_shedding.is_protected(state, backend):
        attempts.send(state, request, backend)
    else:
        final_answers.finish(state, request, BACKEND_OVERLOADED)


def _choose(state: NodeState, request: Request, max_in_flight: float, cap: int) -> Backend | None:
    """Choose from the window; a backend known from the cache alone is skipped more often with its age."""
    backend = selection.choose(state, request, max_in_flight, cap)
    if backend is None or backend.is_confirmed:
        return backend
    age_ms = backend.endpoint.cached_age_ms or 0.0
    if age_ms > state.rng.random() * (age_ms + CACHED_AGE_SCALE_MS):
        other = selection.choose(state, request, max_in_flight, cap) or backend
        if other.is_confirmed or (other.endpoint.cached_age_ms or 0.0) < age_ms:
            return other
    return backend


def _dispatch_to_candidates(
    state: NodeState,
    request: Request,
    bound: list[Backend],
    size: int,
    is_remote: bool,
    max_in_flight: float,
    cap: int,
) -> None:
    """Send a retry that is restricted to some backends, or a request that goes to other zones."""
    count = min(size, MAX_DRAWN_BACKENDS)
    scanned_count = selection.SCANNED_PER_DRAWN * count
    if not bound or size <= scanned_count:
        candidates, considered_count = selection.sample_candidates(state, count, 0, size, is_remote)
        pool = selection.draw(state, request, count, candidates, considered_count, max_in_flight)
    else:  # a draw from a window this wide would rarely find the permitted backends
        considered_count = min(len(bound), scanned_count)
        positions = selection.random_positions(state, len(bound), considered_count)
        sampled = (bound[at] for at in positions)
        sampled_in_window = (backend for backend in sampled if backend.is_in_window or is_remote)
        pool = selection.draw(state, request, count, sampled_in_window, considered_count, max_in_flight)
        if not pool:
            positions = selection.random_positions(state, len(bound), considered_count)
            pool = selection.draw(state, request, count, (bound[at] for at in positions), considered_count)
    if pool:
        _send_to_one_of(state, request, pool, is_remote, cap)
        return
    may_choose = is_remote and not bound
    _dispatch_to_reserve(state, request, size, is_remote, max_in_flight, cap, may_choose)


def _dispatch_to_reserve(
    state: NodeState,
    request: Request,
    size: int,
    is_remote: bool,
    max_in_flight: float,
    cap: int,
    may_choose: bool = False,
) -> None:
    """Send to the reserve as no backend in the window is eligible; if none is there either, panic.

    With `may_choose` the whole window is searched before panic: the draw sampled a few of possibly thousands
    and may have missed the eligible ones.
    """
    count = min(size, MAX_DRAWN_BACKENDS)
    candidates, considered_count = selection.sample_candidates(state, count, size, 2 * size, is_remote)
    pool = selection.draw(state, request, count, candidates, considered_count)
    if not pool and may_choose:
        backend = selection.choose(state, request, max_in_flight, cap)
        if backend is not None:
            attempts.send(state, request, backend)
            return
    if not pool:
        pool = selection.draw_in_panic(state, request, count, 2 * size, is_remote, max_in_flight)
    _send_to_one_of(state, request, pool, is_remote, cap)


def _send_to_one_of(
    state: NodeState, request: Request, eligible: list[Backend], is_remote: bool, cap: int
) -> None:
    """Send to one of a few eligible backends: confirmed, no busier than the mean, not overloaded."""
    if request.class_state.request_class.idempotency is not api.Idempotency.IDEMPOTENT:
        eligible = [backend for backend in eligible if backend.is_confirmed] or eligible
    total_in_flight = sum(backend.in_flight for backend in eligible)
    pool = [backend for backend in eligible if backend.in_flight * len(eligible) <= total_in_flight]
    if not eligible:
        final_answers.finish(state, request, NO_ELIGIBLE_BACKEND)
        return
    if not request.is_high_priority:
        pool = [backend for backend in pool if not load_shedding.is_protected(state, backend)]
        if not pool:
            final_answers.finish(state, request, BACKEND_OVERLOADED)
            return
    backend = selection.choose_from(state, pool, cap)
    state.overloaded_count = len(eligible) - len(pool)
    if state.is_panicking:
        state.selection_reason = api.DecisionReason.PANIC
    elif is_remote and not backend.is_local:
        state.selection_reason = api.DecisionReason.OTHER_ZONE
    attempts.send(state, request, backend)
