"""What live weights tell of capacity: sums by backend kind, kept true as backends change.

A live weight is inversely proportional to one more than the requests that a core of the backend holds; the
largest weight ever seen of a kind is that of an idle backend.
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
    """Something that a choice goes by has changed: keep the index and the sums true."""
    if not state.probing_enabled:
        state.index.place(backend, state.now_ms)
    tally = backend.capacity_tally
    if tally is not None and (backend.rejection_rate > HIGH_REJECTION_RATE) is not (tally[1] < 0):
        recount(state, backend)


def recount(state: NodeState, backend: Backend) -> None:
    """Take a backend out of the sums of its kind and add it anew.

    One that rejects often is left out: what it rejects is no capacity.
    """
    if not state.settings.has_live_weights:
        return
    if backend.capacity_tally is not None and backend.capacity_tally[1] >= 0:
        kind, inverse = backend.capacity_tally
        capacity = state.capacity_by_kind[kind]
        capacity.backend_count -= 1
        capacity.inverse_weight_sum -= inverse
        capacity.weighted_count -= inverse > 0
    backend.capacity_tally = None
    endpoint = backend.endpoint
    if endpoint.phase is not api.Phase.UP:
        return
    inverse = NO_INVERSE_WEIGHT
    capacity = state.capacity_by_kind.setdefault(endpoint.kind, Capacity())
    capacity.idle_weight = max(capacity.idle_weight, bounded_weight(endpoint.weight))
    if backend.rejection_rate <= HIGH_REJECTION_RATE:
        weight = endpoint.weight
        inverse = round(INVERSE_WEIGHT_UNIT / bounded_weight(weight)) if weight else 0
        capacity.backend_count += 1
        capacity.inverse_weight_sum += inverse
        capacity.weighted_count += inverse > 0
    backend.capacity_tally = endpoint.kind, inverse


def requests_per_core(state: NodeState, backend: Backend) -> float | None:
    """Requests that each core of a backend holds, by its live weight; None where nothing tells."""
    capacity = state.capacity_by_kind.get(backend.endpoint.kind)
    if capacity is None or not backend.endpoint.weight:
        return None
    return capacity.idle_weight / bounded_weight(backend.endpoint.weight) - 1.0


def total_requests_per_core(state: NodeState) -> tuple[float, int]:
    """Requests held by each core, summed over all counted backends, and how many backends are counted."""
    capacities = state.capacity_by_kind.values()
    held = sum(
        capacity.idle_weight * capacity.inverse_weight_sum / INVERSE_WEIGHT_UNIT - capacity.weighted_count
        for capacity in capacities
    )
    return held, sum(capacity.backend_count for capacity in capacities)
