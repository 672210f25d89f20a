"""Outlier ejection: excludes backends for a time whose consecutive failures are unlikely to be chance."""

from __future__ import annotations

import math
from dataclasses import replace

from balancer import interface as api
from balancer.policy import subsetting
from balancer.policy.records import Backend
from balancer.policy.state import NodeState

MAX_EJECTION_DOUBLINGS = 4
"""Doublings of the ejection time, which starts at the longest objective: at most 16 times as long."""
EJECTION_SIGNIFICANCE = 0.001
"""A run of failures less probable than this at the fleet's failure rate ejects a backend."""
CONNECT_EJECTION_SIGNIFICANCE = 0.03
"""The same for failed connections, which are the most common sign of an unreachable backend."""
MIN_FAILURE_RATE = 0.02
"""Lower bound of the assumed failure rate: no fleet is free of faults."""
MAX_FAILURE_RATE = 0.5
"""Upper bound of the assumed failure rate: otherwise nothing is ejected where most attempts fail."""
REFUSED_CONNECT_FRACTION = 0.75
"""Fraction of the connect timeout; a connection that failed sooner was refused, not just slow."""
EJECTED, UNCONFIRMED_DROPPED = api.BackendDecision.EJECTED, api.BackendDecision.UNCONFIRMED_DROPPED


def record_failure(state: NodeState, backend: Backend, significance: float) -> None:
    """Count a failure; eject the backend if its run of failures is unlikely at the fleet's failure rate.

    This guards against noise that affects all backends alike, such as invalid answers, cut connections or
    costly requests: with most of a healthy fleet ejected, all load would go to the few backends left. The
    cost: if a large part of the fleet fails at once, each backend takes a few more failures until it is
    ejected.
    """
    if backend.ejected_until_ms > state.now_ms:  # sent before the ejection: the same cause, counted once
        return
    backend.consecutive_failures += 1
    failure_rate = min(MAX_FAILURE_RATE, max(MIN_FAILURE_RATE, state.failure_rate))
    explainable_failures = math.log(significance) / math.log(failure_rate)
    if (excess_failures := backend.consecutive_failures - explainable_failures) > 0:
        eject(state, backend, int(excess_failures))


def record_failed_attempt(state: NodeState, backend: Backend, event: api.AttemptFinished) -> None:
    """Count a failed attempt; a refused connection ejects the backend at once."""
    if event.status is not api.AttemptStatus.CONNECT_FAILED:
        record_failure(state, backend, EJECTION_SIGNIFICANCE)
        return
    # Slow connections eject only if they are unlikely to be chance: otherwise most of a fleet would be
    # excluded where connections are slow. A refused or broken connection is sufficient evidence by itself.
    record_failure(state, backend, CONNECT_EJECTION_SIGNIFICANCE)
    if event.duration_ms < REFUSED_CONNECT_FRACTION * state.settings.connect_timeout_ms:
        eject(state, backend, backend.consecutive_failures - 1)
    backend.paused_until_ms = max(backend.paused_until_ms, backend.ejected_until_ms)


def eject(state: NodeState, backend: Backend, doublings: int) -> None:
    """Exclude a backend for a time: exponential backoff with jitter.

    A backend that is already ejected keeps its time. Otherwise the ejection would outlive its cause: of many
    attempts in flight when a zone is cut off, each would double it.
    """
    if backend.ejected_until_ms > state.now_ms:
        return
    ejection_ms = state.longest_objective_ms * 2 ** min(doublings, MAX_EJECTION_DOUBLINGS)
    backend.ejected_until_ms = state.now_ms + ejection_ms * state.rng.uniform(0.5, 1.5)
    state.actions.append(
        api.NoteBackendDecision(
            backend.endpoint.id,
            EJECTED,
            backend.consecutive_failures,
            backend.ejected_until_ms - state.now_ms,
        )
    )


def drop_unconfirmed(state: NodeState, backend: Backend, status: api.AttemptStatus) -> bool:
    """Drop a backend that is known from the cache alone and did not answer, until a source lists it again.

    At least half of the list stays, in case this node's own network is at fault.
    """
    if (
        backend.is_confirmed
        or status is api.AttemptStatus.ERROR
        or 2 * len(state.index.order) <= state.fleet_size
    ):
        return False
    state.actions.append(api.NoteBackendDecision(backend.endpoint.id, UNCONFIRMED_DROPPED))
    removed_endpoint = replace(backend.endpoint, phase=api.Phase.REMOVED)
    subsetting.apply_endpoint(state, backend, removed_endpoint, False)
    return True
