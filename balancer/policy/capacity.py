"""Capacity by backend kind, derived from live weights and updated as backends change.

A live weight is inversely proportional to one plus the number of requests per core of the backend. The
largest weight ever seen for a kind is that of an idle backend.
"""

from __future__ import annotations

from balancer import interface as api
from balancer.policy.backend_index import bounded_weight
from balancer.policy.records import (
    HIGH_REJECTION_RATE,
    INVERSE_WEIGHT_UNIT,
    NO_INVERSE_WEIGHT,
    Backend,
    Capacity,
)
from balancer.policy.state import NodeState


def update_backend(state: NodeState, backend: Backend) -> None:
    """Update the index and the sums after a change of a property that a choice depends on."""
    if not state.probing_enabled:
        state.index.place(backend, state.now_ms)
    tally = backend.capacity_tally
    if tally is not None and (backend.rejection_rate > HIGH_REJECTION_RATE) is not (tally[1] < 0):
        recount(state, backend)


def recount(state: NodeState, backend: Backend) -> None:
    """Remove a backend from the sums of its kind and add its current values.

    Backends that reject often are left out: their idle cores are not usable capacity.
    """
    if not state.settings.has_live_weights:
        return
    if backend.capacity_tally is not None and backend.capacity_tally[1] >= 0:
        kind, inverse_weight = backend.capacity_tally
        capacity = state.capacity_by_kind[kind]
        capacity.backend_count -= 1
        capacity.inverse_weight_sum -= inverse_weight
        capacity.weighted_count -= inverse_weight > 0
    backend.capacity_tally = None
    endpoint = backend.endpoint
    if endpoint.phase is not api.Phase.UP:
        return
    inverse_weight = NO_INVERSE_WEIGHT
    capacity = state.capacity_by_kind.setdefault(endpoint.kind, Capacity())
    capacity.idle_weight = max(capacity.idle_weight, bounded_weight(endpoint.weight))
    if backend.rejection_rate <= HIGH_REJECTION_RATE:
        weight = endpoint.weight
        inverse_weight = round(INVERSE_WEIGHT_UNIT / bounded_weight(weight)) if weight else 0
        capacity.backend_count += 1
        capacity.inverse_weight_sum += inverse_weight
        capacity.weighted_count += inverse_weight > 0
    backend.capacity_tally = endpoint.kind, inverse_weight


def requests_per_core(state: NodeState, backend: Backend) -> float | None:
    """Return the requests per core of a backend by its live weight, or None if that is unknown."""
    capacity = state.capacity_by_kind.get(backend.endpoint.kind)
    if capacity is None or not backend.endpoint.weight:
        return None
    return capacity.idle_weight / bounded_weight(backend.endpoint.weight) - 1.0


def total_requests_per_core(state: NodeState) -> tuple[float, int]:
    """Return the sum of requests per core over all counted backends, and the number of these backends."""
    capacities = state.capacity_by_kind.values()
    requests_per_core_sum = sum(
        capacity.idle_weight * capacity.inverse_weight_sum / INVERSE_WEIGHT_UNIT - capacity.weighted_count
        for capacity in capacities
    )
    return requests_per_core_sum, sum(capacity.backend_count for capacity in capacities)
