"""The end of a request: the one place where the node itself gives a final answer, and what is freed then."""

from __future__ import annotations

from balancer import interface as api
from balancer.policy import retries
from balancer.policy.records import Request
from balancer.policy.state import NodeState

RETRY_AFTER_LATENCIES = (1.0, 2.0)
"""Expected latencies of its class that a rejected client is told to stay away, at least and at most."""
MIN_ARRIVALS_FOR_LOG = 50
"""Arrivals since the last log line before shedding is worth one."""
LOGGED_REJECTION_SHARE = 4
"""Shedding is logged when more than one in this many was rejected or failed."""


def finish(state: NodeState, request: Request, reason: api.DecisionReason) -> None:
    """Answer a request: rejected where the client may ask again without harm, else failed."""
    if request.is_closed or request.is_streaming:
        return
    is_harmless = retries.is_harmless(request)
    retry_after_ms = state.settings.max_retry_after_ms
    if is_harmless and retry_after_ms > 0:  # until there is capacity; drawn lest clients come back in step
        stay_away_ms = request.class_state.expected_latency_ms * state.rng.uniform(*RETRY_AFTER_LATENCIES)
        retry_after_ms = min(retry_after_ms, stay_away_ms)
    if is_harmless:
        state.actions.append(api.RejectRequest(request.id, retry_after_ms, reason))
    else:
        state.actions.append(api.FailRequest(request.id, reason))
    state.rejected_since_log += 1
    arrived, rejected = state.arrived_since_log, state.rejected_since_log
    if arrived >= MIN_ARRIVALS_FOR_LOG and rejected > arrived / LOGGED_REJECTION_SHARE:
        state.log(f"shedding: {rejected} of {arrived} requests refused or failed")
    close(state, request)


def close(state: NodeState, request: Request) -> None:
    """Nothing more is sent for this request; an attempt still in flight is cancelled."""
    request.is_closed, request.pending_probes = True, set()
    state.queued.pop(
        request.id, None
    )  # no capacity is looked for, and none missed, for a client that has left
    if request.in_flight and state.settings.may_cancel and not request.is_streaming:
        state.actions.append(api.CancelAttempt(request.id, len(request.attempts) - 1))
    if not request.in_flight:
        state.requests.pop(request.id, None)


def client_left(state: NodeState, event: api.ClientLeft) -> None:
    """Forget a request whose client has left."""
    if (request := state.requests.get(event.request)) is not None and not request.is_closed:
        close(state, request)
