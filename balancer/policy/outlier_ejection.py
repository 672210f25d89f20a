"""Outlier ejection: backends whose failures in a row are no chance are left alone for a time."""

from __future__ import annotations

import math
from dataclasses import replace

from balancer import interface as api
from balancer.policy import subsetting
from balancer.policy.records import Backend
from balancer.policy.state import NodeState

MAX_EJECTION_DOUBLINGS = 4
"""Doublings of the ejection time, which starts from the longest objective: at most 16 times as long."""
EJECTION_SIGNIFICANCE = 0.001
"""Failures in a row that the whole fleet's failure rate explains less often than this eject a backend."""
CONNECT_EJECTION_SIGNIFICANCE = 0.03
"""The same of connections that did not come up: most backends that are out of reach show it so."""
MIN_FAILURE_RATE = 0.02
"""This much of a failure rate is always allowed for: no fleet is free of faults."""
MAX_FAILURE_RATE = 0.5
"""And no more than this, else nobody is ejected where most fail."""
REFUSED_CONNECT_FRACTION = 0.75
"""Of the connect timeout: a connection that failed sooner was refused, and did not only come up late."""
EJECTED, UNCONFIRMED_DROPPED = api.BackendDecision.EJECTED, api.BackendDecision.UNCONFIRMED_DROPPED


def record_failure(state: NodeState, backend: Backend, significance: float) -> None:
    """Count a failure; eject where failures in a row are no chance at the rate that fails everywhere.

    Guards against noise that any backend alike may bring (invalid answers, cut connections, costly
    requests): with most of a healthy fleet ejected, all goes to the few that are left. Could hurt where a
    good part of the fleet fails at once: each then takes some failures more until it is ejected.
    """
    if backend.ejected_until_ms > state.now_ms:  # sent before: one cause, however many were in flight
        return
    backend.consecutive_failures += 1
    failure_rate = min(MAX_FAILURE_RATE, max(MIN_FAILURE_RATE, state.failure_rate))
    explained = math.log(significance) / math.log(failure_rate)
    if (excess := backend.consecutive_failures - explained) > 0:
        eject(state, backend, int(excess))


def record_failed_attempt(state: NodeState, backend: Backend, event: api.AttemptFinished) -> None:
    """Count a failed attempt; one whose connection was refused ejects at once."""
    if event.status is not api.AttemptStatus.CONNECT_FAILED:
        record_failure(state, backend, EJECTION_SIGNIFICANCE)
        return
    # Connections that only come up late eject where that is no chance: guards against leaving most of a fleet
    # alone where connections are slow. One that was refused, or broke, tells it by itself.
    record_failure(state, backend, CONNECT_EJECTION_SIGNIFICANCE)
    if event.duration_ms < REFUSED_CONNECT_FRACTION * state.settings.connect_timeout_ms:
        eject(state, backend, backend.consecutive_failures - 1)
    backend.paused_until_ms = max(backend.paused_until_ms, backend.ejected_until_ms)


def eject(state: NodeState, backend: Backend, doublings: int) -> None:
    """Leave a backend alone for a time: exponential backoff with jitter.

    One that is ejected stays as it is. Guards against an ejection that outlives its cause: of many attempts
    that were in flight when a zone was cut off, each would double it.
    """
    if backend.ejected_until_ms > state.now_ms:
        return
    time_ms = state.longest_objective_ms * 2 ** min(doublings, MAX_EJECTION_DOUBLINGS)
    backend.ejected_until_ms = state.now_ms + time_ms * state.rng.uniform(0.5, 1.5)
    state.actions.append(
        api.NoteBackendDecision(
            backend.endpoint.id,
            EJECTED,
            backend.consecutive_failures,
            backend.ejected_until_ms - state.now_ms,
        )
    )


def drop_unconfirmed(state: NodeState, backend: Backend, status: api.AttemptStatus) -> bool:
    """Drop a backend known from the cache alone that did not answer, until a source lists it anew.

    At least half of the list stays: guards a node whose own network is at fault.
    """
    if (
        backend.is_confirmed
        or status is api.AttemptStatus.ERROR
        or 2 * len(state.index.order) <= state.fleet_size
    ):
        return False
    state.actions.append(api.NoteBackendDecision(backend.endpoint.id, UNCONFIRMED_DROPPED))
    removed = replace(backend.endpoint, phase=api.Phase.REMOVED)
    subsetting.apply_endpoint(state, backend, removed, False)
    return True
