"""Maintains the endpoint list and the subset of it that this node sends to.

Each node keeps its own order of the list: local backends first, then by rank. The first `subset_size`
backends are its subset, and the next `subset_size` its reserve. Small subsets need few connections and make
each node's own counts meaningful. The first list distributes subsets evenly over the nodes; later changes
move few backends.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import replace

from balancer import interface as api
from balancer.policy import capacity, concurrency_limit
from balancer.policy.records import Backend
from balancer.policy.state import NodeState

NODES_PER_BACKEND = 5
"""Mean number of nodes that send to a backend: a few may fail, and own counts stay meaningful."""
MIN_SUBSET_SIZE = 3
"""Fewest backends in a node's subset: one may be ejected and one paused."""
PROBES_PER_ROUND = 3
"""Backends probed per round: a sample of the paper's search for the lowest estimate."""
MAX_PROBE_ROUNDS = 3
"""Rounds of probes before the lowest estimate seen so far is used."""
NEGLIGIBLE_PRICE = 0.012
"""A price of at most this fraction of the result does not restrict the choice of backends."""
FLEET_SIZE_DECAY_SLOW_STARTS = 10.0
"""Time constant, in slow-start durations, by which the remembered fleet size decays after a shrink."""
GOLDEN_RATIO_FRACTION = (math.sqrt(5) - 1) / 2
"""Multiples of it are evenly distributed modulo 1, whichever node indexes a zone has."""
JOINED_SUBSET, LEFT_SUBSET = api.BackendDecision.JOINED_SUBSET, api.BackendDecision.LEFT_SUBSET


def is_probing_worthwhile(settings: api.Settings) -> bool:
    """Return whether the site answers probes, and a round of them has a negligible price."""
    return (
        settings.probing_enabled
        and settings.load_report_source is not api.LoadReportSource.NONE
        and settings.prices.probe * PROBES_PER_ROUND <= NEGLIGIBLE_PRICE
    )


def update_endpoints(state: NodeState, event: api.EndpointsUpdated) -> None:
    """Apply an update of the endpoint list."""
    if event.kind is api.EndpointUpdateKind.FAILED:
        from balancer.policy import poll_schedule  # loaded on demand: most nodes never poll

        poll_schedule.schedule_retry(state)
        return
    state.failed_polls = 0
    if event.kind is api.EndpointUpdateKind.CACHED and state.settings.must_poll:
        from balancer.policy import poll_schedule

        poll_schedule.schedule_first(state)
    is_first = not state.index.order
    if event.kind is not api.EndpointUpdateKind.INCREMENTAL:
        _remove_missing(state, event.endpoints, is_first)
    for endpoint in event.endpoints:
        add_or_update_endpoint(state, endpoint, is_first)
    if is_first:
        _lay_out_first_list(state)
    size_before = 0 if is_first else state.subset_size
    _update_sizes(state)
    if is_first and state.index.order:
        state.actions.append(api.NoteBackendDecision("", JOINED_SUBSET, state.subset_size))
    else:
        _note_subset_change(state, size_before, state.subset_size)
    concurrency_limit.update_minimum(state, len(state.index.order))
    window_size = 0 if state.probing_enabled else max(state.subset_size, state.in_flight)
    state.index.resize(window_size, state.now_ms)


def _remove_missing(state: NodeState, listed: Iterable[api.Endpoint], is_first: bool) -> None:
    """Remove the backends that a complete list does not contain."""
    missing = state.backends.keys() - {endpoint.id for endpoint in listed}
    for backend in [state.backends[name] for name in sorted(missing)]:
        apply_endpoint(state, backend, replace(backend.endpoint, phase=api.Phase.REMOVED), is_first)


def add_or_update_endpoint(state: NodeState, endpoint: api.Endpoint, is_first: bool) -> None:
    """Apply one endpoint of a list; creates the backend when it is first listed."""
    backend = state.backends.get(endpoint.id)
    if backend is None and endpoint.phase is not api.Phase.REMOVED:
        is_confirmed = endpoint.cached_age_ms is None
        backend = state.backends[endpoint.id] = Backend(endpoint, is_confirmed=is_confirmed)
    if backend is not None:
        apply_endpoint(state, backend, endpoint, is_first)


def apply_endpoint(state: NodeState, backend: Backend, endpoint: api.Endpoint, is_first: bool) -> None:
    """Update a backend to its listed endpoint. The order of a first list follows once all are known."""
    was_up = backend.endpoint.phase is api.Phase.UP and backend.is_listed
    is_up = endpoint.phase is api.Phase.UP
    if endpoint.started_at_ms > backend.endpoint.started_at_ms:  # restarted: earlier statistics do not apply
        backend.queue_estimate, backend.consecutive_failures = backend.in_flight, 0
        backend.ejected_until_ms, backend.slowness = 0.0, 1.0
    has_moved = endpoint.zone != backend.endpoint.zone or endpoint.cell != backend.endpoint.cell
    if was_up and (not is_up or has_moved):
        if state.index.remove(backend, state.now_ms) < state.subset_size:
            state.actions.append(api.NoteBackendDecision(endpoint.id, LEFT_SUBSET))
            _note_subset_change(state, state.subset_size - 1, state.subset_size)
        backend.is_listed = False
    backend.endpoint, backend.is_local = endpoint, is_local(state, endpoint)
    backend.is_confirmed = backend.is_confirmed or endpoint.cached_age_ms is None
    if is_up and not backend.is_listed:
        if not has_moved or not was_up:
            backend.rank = state.rng.random()
        if not is_first:
            backend.is_listed = True
            if (position := state.index.insert(backend, state.now_ms)) < state.subset_size:
                _note_subset_change(state, state.subset_size + 1, state.subset_size, position)
    elif is_up:
        capacity.update_backend(state, backend)
    capacity.recount(state, backend)
    if endpoint.phase is api.Phase.REMOVED and not backend.in_flight:
        # Otherwise the table would grow for as long as backends are replaced under new names.
        state.backends.pop(endpoint.id, None)


def is_local(state: NodeState, endpoint: api.Endpoint) -> bool:
    """Return whether a backend is in this node's zone, or cross-zone traffic costs next to nothing."""
    return state.settings.prices.cross_zone <= NEGLIGIBLE_PRICE or endpoint.zone == state.settings.zone


def _note_subset_change(state: NodeState, size_before: int, size_after: int, inserted_at: int = -1) -> None:
    """Report which backends joined or left the subset when its size changed.

    `inserted_at` is the position of a backend that was inserted into the subset, or -1.
    """
    order = state.index.order
    if inserted_at >= 0:
        state.actions.append(api.NoteBackendDecision(order[inserted_at][2], JOINED_SUBSET))
    for item in order[size_before:size_after]:
        state.actions.append(api.NoteBackendDecision(item[2], JOINED_SUBSET))
    for item in order[size_after:size_before]:
        state.actions.append(api.NoteBackendDecision(item[2], LEFT_SUBSET))


def _update_sizes(state: NodeState) -> None:
    """Update the sizes of the fleet and of the subset by the number of listed backends."""
    listed_count = len(state.index.order)
    # The fleet size that shares are measured by decays slowly: without decay, new backends would get less
    # than they can handle for good after the fleet was made smaller.
    if state.fleet_size > listed_count:
        elapsed_fraction = min(1.0, (state.now_ms - state.listed_at_ms) / state.fleet_size_decay_ms)
        state.fleet_size -= (state.fleet_size - listed_count) * elapsed_fraction
    state.fleet_size = max(state.fleet_size, listed_count)
    if state.settings.has_live_weights and listed_count:
        concurrency_limit.relax(state)
    state.listed_at_ms = state.now_ms
    update_subset_size(state, listed_count)


def share_of_fleet(state: NodeState, listed_count: int) -> int:
    """Return how many backends each node uses if NODES_PER_BACKEND nodes send to each backend."""
    return max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_BACKEND * listed_count / state.settings.node_count))


def update_subset_size(state: NodeState, listed_count: int) -> None:
    """Set the subset size; with probing, more than a request probes would only fill connection tables."""
    max_probed_count = PROBES_PER_ROUND * MAX_PROBE_ROUNDS
    state.subset_size = min(
        listed_count, max_probed_count if state.probing_enabled else share_of_fleet(state, listed_count)
    )


# --- first list


def _lay_out_first_list(state: NodeState) -> None:
    """Order the backends of the first list: this node's subset first, then the reserve."""
    up_backends = sorted(
        (backend for backend in state.backends.values() if backend.endpoint.phase is api.Phase.UP),
        key=lambda backend: backend.endpoint.id,
    )
    if not up_backends:
        return
    local = local_backends(up_backends)
    chosen = evenly_spaced_subset(state, local, len(up_backends))
    rest = [backend for backend in up_backends if backend.endpoint.id not in chosen]
    order = list(chosen.values()) + state.rng.sample(rest, len(rest))
    for position, backend in enumerate(order):
        insert_at_rank(state, backend, position, len(up_backends))
    state.spillover = 1.0 - len(local) / len(up_backends)


def local_backends(candidates: list[Backend]) -> list[Backend]:
    """Return the local backends, or all backends if there are none."""
    return [backend for backend in candidates if backend.is_local] or candidates


def evenly_spaced_subset(state: NodeState, local: Sequence[Backend], listed_count: int) -> dict[str, Backend]:
    """Return this node's subset of a first list, by name: one local backend out of each segment.

    Each node shifts its positions by its own multiple of the golden ratio, and each segment by a further one:
    with the same shift in all segments, one half of the fleet could get all the load.
    """
    node_offset = state.settings.node_index * GOLDEN_RATIO_FRACTION % 1.0
    segment_count = min(listed_count, share_of_fleet(state, listed_count), len(local))
    positions = [
        (segment + (node_offset + segment * GOLDEN_RATIO_FRACTION) % 1.0) / segment_count
        for segment in range(segment_count)
    ]
    chosen = [local[int(position * len(local)) % len(local)] for position in positions]
    return {backend.endpoint.id: backend for backend in chosen}


def insert_at_rank(state: NodeState, backend: Backend, position: int, listed_count: int) -> None:
    """Give a backend of a first list its position in the order."""
    backend.rank, backend.is_listed = (position + 0.5) / listed_count, True
    state.index.insert(backend, state.now_ms)
