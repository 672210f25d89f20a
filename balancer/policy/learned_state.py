"""Exports what a node has learned about its site, and restores it in the next process.

Each restored value decays towards its initial value with its own half-life, by the age of the export.
Ejections end when they would have ended without the restart.
"""

from __future__ import annotations

from balancer import interface as api
from balancer.policy import capacity
from balancer.policy.outlier_ejection import MAX_EJECTION_DOUBLINGS
from balancer.policy.records import EWMA_WEIGHT, MIN_EXPECTED_LATENCY_MS, Backend
from balancer.policy.state import NodeState

LIMIT_HALF_LIFE_MS = 10_000.0
"""The concurrency limit follows the load, which changes within seconds."""
SLOWNESS_HALF_LIFE_MS = 60_000.0
"""The slowness of a backend outlasts a restart of the node, but not a restart of the backend."""
LATENCY_HALF_LIFE_MS = 3_600_000.0
"""Expected latencies are a property of the service and hardly change."""
MAX_HALF_LIVES = 64.0
"""Half-lives after which nothing is left; prevents an underflow of the power."""
MIN_SLOWNESS, MAX_SLOWNESS = 0.01, 100.0
"""Restored slowness values are clamped to this range."""


def export(state: NodeState, now_ms: float) -> api.LearnedState:
    """Return the state to keep over a restart; `LearnedStateRestored` brings it back."""
    latencies_ms = {
        name: (class_state.expected_latency_ms, class_state.mean_deviation_ms)
        for name, class_state in state.classes.items()
    }
    slowness = {
        name: backend.slowness
        for name, backend in state.backends.items()
        if not 1 - EWMA_WEIGHT < backend.slowness < 1 + EWMA_WEIGHT
    }
    ejection_left_ms = {
        name: backend.ejected_until_ms - now_ms
        for name, backend in state.backends.items()
        if now_ms < backend.ejected_until_ms
    }
    return api.LearnedState(latencies_ms, state.concurrency_limit, slowness, ejection_left_ms)


def restore(state: NodeState, event: api.LearnedStateRestored) -> None:
    """Restore what an earlier process had learned. Must be called before any answer arrives."""
    learned, age_ms = event.state, max(0.0, event.age_ms)
    restored_limit = min(
        state.settings.max_open_requests, max(state.min_concurrency_limit, learned.concurrency_limit)
    )
    limit_retention = _retention(age_ms, LIMIT_HALF_LIFE_MS)
    state.concurrency_limit += limit_retention * (restored_limit - state.concurrency_limit)
    _restore_latencies(state, learned, _retention(age_ms, LATENCY_HALF_LIFE_MS))
    slowness_retention = _retention(age_ms, SLOWNESS_HALF_LIFE_MS)
    for name, backend in state.backends.items():
        if name in learned.slowness or name in learned.ejection_left_ms:
            _restore_backend(state, backend, learned, age_ms, slowness_retention)


def _retention(age_ms: float, half_life_ms: float) -> float:
    fraction: float = 0.5 ** min(MAX_HALF_LIVES, age_ms / half_life_ms)
    return fraction


def _restore_latencies(state: NodeState, learned: api.LearnedState, retention: float) -> None:
    for name, latencies_ms in learned.expected_latency_ms.items():
        if (class_state := state.classes.get(name)) is None:
            continue
        max_ms = class_state.request_class.latency_objective_ms / 2
        expected_ms, deviation_ms = (
            min(max_ms, max(MIN_EXPECTED_LATENCY_MS, latency_ms)) for latency_ms in latencies_ms
        )
        class_state.expected_latency_ms += retention * (expected_ms - class_state.expected_latency_ms)
        class_state.mean_deviation_ms = retention * deviation_ms


def _restore_backend(
    state: NodeState, backend: Backend, learned: api.LearnedState, age_ms: float, slowness_retention: float
) -> None:
    name, max_ejection_ms = (
        backend.endpoint.id,
        state.longest_objective_ms * 2 ** (MAX_EJECTION_DOUBLINGS + 1),
    )
    slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, learned.slowness.get(name, 1.0)))
    backend.slowness = 1.0 + slowness_retention * (slowness - 1.0)
    remaining_ms = max(0.0, learned.ejection_left_ms.get(name, 0.0) - age_ms)
    backend.ejected_until_ms = state.now_ms + min(max_ejection_ms, remaining_ms)
    capacity.update_backend(state, backend)
