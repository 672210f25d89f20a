"""What a node has learned of its site, exported for the next process and restored with its age.

Each figure fades towards what a first start has, with its own half-life; ejections end when they would have.
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
"""A backend's slowness outlasts a restart of the node, not a restart of the backend."""
LATENCY_HALF_LIFE_MS = 3_600_000.0
"""Expected latencies belong to the service, and hardly change."""
MAX_HALF_LIVES = 64.0
"""Half-lives after which nothing is left: guards against an underflow of the power."""
MIN_SLOWNESS, MAX_SLOWNESS = 0.01, 100.0
"""A restored slowness is clamped to this range."""


def export(state: NodeState, now_ms: float) -> api.LearnedState:
    """What is worth keeping over a restart; `LearnedStateRestored` brings it back."""
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
    """Take what an earlier process had learned. Has to come before any answer."""
    learned, age_ms = event.state, max(0.0, event.age_ms)
    restored_limit = min(
        state.settings.max_open_requests, max(state.min_concurrency_limit, learned.concurrency_limit)
    )
    kept = _kept_part(age_ms, LIMIT_HALF_LIFE_MS)
    state.concurrency_limit += kept * (restored_limit - state.concurrency_limit)
    _restore_latencies(state, learned, _kept_part(age_ms, LATENCY_HALF_LIFE_MS))
    slowness_kept = _kept_part(age_ms, SLOWNESS_HALF_LIFE_MS)
    for name, backend in state.backends.items():
        if name in learned.slowness or name in learned.ejection_left_ms:
            _restore_backend(state, backend, learned, age_ms, slowness_kept)


def _kept_part(age_ms: float, half_life_ms: float) -> float:
    kept: float = 0.5 ** min(MAX_HALF_LIVES, age_ms / half_life_ms)
    return kept


def _restore_latencies(state: NodeState, learned: api.LearnedState, kept: float) -> None:
    for name, figures in learned.expected_latency_ms.items():
        if (class_state := state.classes.get(name)) is None:
            continue
        most_ms = class_state.request_class.latency_objective_ms / 2
        expected_ms, deviation_ms = (min(most_ms, max(MIN_EXPECTED_LATENCY_MS, figure)) for figure in figures)
        class_state.expected_latency_ms += kept * (expected_ms - class_state.expected_latency_ms)
        class_state.mean_deviation_ms = kept * deviation_ms


def _restore_backend(
    state: NodeState, backend: Backend, learned: api.LearnedState, age_ms: float, slowness_kept: float
) -> None:
    name, max_ejection_ms = (
        backend.endpoint.id,
        state.longest_objective_ms * 2 ** (MAX_EJECTION_DOUBLINGS + 1),
    )
    slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, learned.slowness.get(name, 1.0)))
    backend.slowness = 1.0 + slowness_kept * (slowness - 1.0)
    left_ms = max(0.0, learned.ejection_left_ms.get(name, 0.0) - age_ms)
    backend.ejected_until_ms = state.now_ms + min(max_ejection_ms, left_ms)
    capacity.update_backend(state, backend)
