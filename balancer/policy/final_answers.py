"""Ends requests: the one place where the node itself gives a final answer and releases the request."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy import retries
from balancer.policy.records import Request
from balancer.policy.state import NodeState

RETRY_AFTER_LATENCIES = (1.0, 2.0)
"""Range of the retry-after time of a rejected client, in expected latencies of its class."""
MIN_ARRIVALS_FOR_LOG = 50
"""Arrivals since the last log line before shedding is logged."""
LOGGED_REJECTION_DIVISOR = 4
"""Shedding is logged when more than one in this many requests was rejected or failed."""


def finish(state: NodeState, request: Request, reason: api.DecisionReason) -> None:
    """Answer a request: reject it if the client may safely retry, otherwise fail it."""
    if request.is_closed or request.is_streaming:
        return
    is_retry_safe = retries.is_client_retry_safe(request)
    retry_after_ms = state.settings.max_retry_after_ms
    if is_retry_safe and retry_after_ms > 0:  # jittered so that clients do not retry in step
        jittered_ms = request.class_state.expected_latency_ms * state.rng.uniform(*RETRY_AFTER_LATENCIES)
        retry_after_ms = min(retry_after_ms, jittered_ms)
    if is_retry_safe:
        state.actions.append(api.RejectRequest(request.id, retry_after_ms, reason))
    else:
        state.actions.append(api.FailRequest(request.id, reason))
    state.rejected_since_log += 1
    arrived_count, rejected_count = state.arrived_since_log, state.rejected_since_log
    if arrived_count >= MIN_ARRIVALS_FOR_LOG and rejected_count > arrived_count / LOGGED_REJECTION_DIVISOR:
        state.log(f"shedding: {rejected_count} of {arrived_count} requests refused or failed")
    close(state, request)


def close(state: NodeState, request: Request) -> None:
    """Close a request: nothing more is sent for it, and an attempt still in flight is cancelled."""
    request.is_closed, request.pending_probes = True, set()
    # A client that has left needs no capacity, and finding none for it is no failure.
    state.queued.pop(request.id, None)
    if request.in_flight and state.settings.may_cancel and not request.is_streaming:
        state.actions.append(api.CancelAttempt(request.id, len(request.attempts) - 1))
    if not request.in_flight:
        state.requests.pop(request.id, None)


def client_left(state: NodeState, event: api.ClientLeft) -> None:
    """Close a request whose client has disconnected."""
    if (request := state.requests.get(event.request)) is not None and not request.is_closed:
        close(state, request)
