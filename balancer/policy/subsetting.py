"""The endpoint list, and the subset of it that this node sends to.

Each node keeps its own order of the list: local backends first, then by a rank. The first `subset_size` are
its subset, the next as many its reserve. Small subsets keep connections few and the own counts telling; the
first list lays subsets evenly over the nodes, and later changes move few backends.
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
"""Nodes that send to one backend, in the mean: a few may fail, and each one's own counts still tell."""
MIN_SUBSET_SIZE = 3
"""Fewest backends in a node's subset: one may be ejected and one paused."""
PROBES_PER_ROUND = 3
"""Backends probed in one round: the paper's search for the lowest estimate, sampled."""
MAX_PROBE_ROUNDS = 3
"""Rounds of probes before the lowest estimate of all that was seen is taken."""
NEGLIGIBLE_PRICE = 0.012
"""A price of at most this fraction of the result doesn't restrict the choice of backends."""
FLEET_SIZE_DECAY_SLOW_STARTS = 10.0
"""Slow-start durations in which the fleet's size decays once it is smaller."""
GOLDEN_RATIO_FRACTION = (math.sqrt(5) - 1) / 2
"""Its multiples lie evenly on a ring, whichever numbers a zone's nodes have."""
POLL_BACKOFF_DIVISOR = 32
"""A failed poll is repeated after the polling interval over this, doubled by each failure in a row."""
MAX_POLL_BACKOFF_DOUBLINGS = 5
"""Doublings of that time: the polling interval itself at most, but for the jitter."""
JOINED_SUBSET, LEFT_SUBSET = api.BackendDecision.JOINED_SUBSET, api.BackendDecision.LEFT_SUBSET


def update_endpoints(state: NodeState, event: api.EndpointsUpdated) -> None:
    """Take an update of the endpoint list."""
    if event.kind is api.EndpointUpdateKind.FAILED:
        _back_off(state)
        return
    state.failed_polls = 0
    if event.kind is api.EndpointUpdateKind.CACHED and state.settings.must_poll:
        at_ms = state.now_ms + state.rng.uniform(0.0, state.settings.poll_within_ms / 2)
        state.set_timer(at_ms, _subscribe, None)
    is_first = not state.index.order
    if event.kind is not api.EndpointUpdateKind.INCREMENTAL:
        _remove_missing(state, event.endpoints, is_first)
    for endpoint in event.endpoints:
        take_endpoint(state, endpoint, is_first)
    if is_first:
        _lay_out(state)
    size_before = 0 if is_first else state.subset_size
    _update_sizes(state)
    if is_first and state.index.order:
        state.actions.append(api.NoteBackendDecision("", JOINED_SUBSET, state.subset_size))
    else:
        _note_subset_change(state, size_before, state.subset_size)
    concurrency_limit.update_minimum(state, len(state.index.order))
    window_size = 0 if state.probing_enabled else max(state.subset_size, state.in_flight)
    state.index.resize(window_size, state.now_ms)


def _back_off(state: NodeState) -> None:
    """A poll failed: poll again after a backoff with jitter; the last list stays in force."""
    state.failed_polls = min(state.failed_polls + 1, MAX_POLL_BACKOFF_DOUBLINGS)
    interval_ms = state.settings.poll_within_ms / POLL_BACKOFF_DIVISOR
    wait_ms = interval_ms * 2**state.failed_polls * state.rng.uniform(0.5, 1.5)
    state.set_timer(state.now_ms + wait_ms, _subscribe, None)
    state.log(f"list: call failed {state.failed_polls} times, asking again in {wait_ms / 1000:.1f} s")


def _subscribe(state: NodeState, _: None) -> None:
    state.actions.append(api.SubscribeToEndpoints())


def _remove_missing(state: NodeState, listed: Iterable[api.Endpoint], is_first: bool) -> None:
    """Remove the backends that a complete list doesn't name."""
    missing = state.backends.keys() - {endpoint.id for endpoint in listed}
    for backend in [state.backends[name] for name in sorted(missing)]:
        apply_endpoint(state, backend, replace(backend.endpoint, phase=api.Phase.REMOVED), is_first)


def take_endpoint(state: NodeState, endpoint: api.Endpoint, is_first: bool) -> None:
    """Apply one endpoint of a list; a backend is made when it is first listed."""
    backend = state.backends.get(endpoint.id)
    if backend is None and endpoint.phase is not api.Phase.REMOVED:
        is_confirmed = endpoint.cached_age_ms is None
        backend = state.backends[endpoint.id] = Backend(endpoint, is_confirmed=is_confirmed)
    if backend is not None:
        apply_endpoint(state, backend, endpoint, is_first)


def apply_endpoint(state: NodeState, backend: Backend, endpoint: api.Endpoint, is_first: bool) -> None:
    """What the list says of one backend. Those of the first list wait until all are there to be laid out."""
    was_up = backend.endpoint.phase is api.Phase.UP and backend.is_listed
    is_up = endpoint.phase is api.Phase.UP
    if endpoint.started_at_ms > backend.endpoint.started_at_ms:  # restarted: what was known is void
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
            if (at := state.index.insert(backend, state.now_ms)) < state.subset_size:
                _note_subset_change(state, state.subset_size + 1, state.subset_size, at)
    elif is_up:
        capacity.update_backend(state, backend)
    capacity.recount(state, backend)
    if endpoint.phase is api.Phase.REMOVED and not backend.in_flight:
        # Guards against a table that grows for as long as backends are replaced under new names.
        state.backends.pop(endpoint.id, None)


def is_local(state: NodeState, endpoint: api.Endpoint) -> bool:
    """Whether a backend is in this node's zone, or other zones cost nothing worth speaking of."""
    return state.settings.prices.cross_zone <= NEGLIGIBLE_PRICE or endpoint.zone == state.settings.zone


def _note_subset_change(state: NodeState, size_before: int, size: int, inserted_at: int = -1) -> None:
    """Note who joined or left, as the subset went from so many of the first in the order to so many.

    `inserted_at` is the place of one that came in between.
    """
    order = state.index.order
    if inserted_at >= 0:
        state.actions.append(api.NoteBackendDecision(order[inserted_at][2], JOINED_SUBSET))
    for item in order[size_before:size]:
        state.actions.append(api.NoteBackendDecision(item[2], JOINED_SUBSET))
    for item in order[size:size_before]:
        state.actions.append(api.NoteBackendDecision(item[2], LEFT_SUBSET))


def _update_sizes(state: NodeState) -> None:
    """The sizes of the fleet and the subset, by the number of listed backends."""
    listed = len(state.index.order)
    # The size that shares are measured by shrinks too, slowly: guards new backends against getting less
    # than they can do for good after a fleet was made smaller.
    if state.fleet_size > listed:
        elapsed = min(1.0, (state.now_ms - state.listed_at_ms) / state.fleet_size_decay_ms)
        state.fleet_size -= (state.fleet_size - listed) * elapsed
    state.fleet_size = max(state.fleet_size, listed)
    if state.settings.has_live_weights and listed:
        concurrency_limit.relax(state)
    state.listed_at_ms = state.now_ms
    update_subset_size(state, listed)


def share_of_fleet(state: NodeState, listed: int) -> int:
    """So many backends fall to each node, if NODES_PER_BACKEND send to each one."""
    return max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_BACKEND * listed / state.settings.node_count))


def update_subset_size(state: NodeState, listed: int) -> None:
    """With probing, more than a request probes would only fill the backends' connection tables."""
    probed = PROBES_PER_ROUND * MAX_PROBE_ROUNDS
    state.subset_size = min(listed, probed if state.probing_enabled else share_of_fleet(state, listed))


# --- the first list


def _lay_out(state: NodeState) -> None:
    """Lay out the first list: the subset comes first in this node's own order, then the reserve."""
    found = sorted(
        (backend for backend in state.backends.values() if backend.endpoint.phase is api.Phase.UP),
        key=lambda backend: backend.endpoint.id,
    )
    if not found:
        return
    local = local_ones(found)
    chosen = evenly_spaced(state, local, len(found))
    rest = [backend for backend in found if backend.endpoint.id not in chosen]
    order = list(chosen.values()) + state.rng.sample(rest, len(rest))
    for at, backend in enumerate(order):
        list_at(state, backend, at, len(found))
    state.spillover = 1.0 - len(local) / len(found)


def local_ones(found: list[Backend]) -> list[Backend]:
    """The local backends, or all where there are none."""
    return [backend for backend in found if backend.is_local] or found


def evenly_spaced(state: NodeState, local: Sequence[Backend], listed: int) -> dict[str, Backend]:
    """This node's subset of a first list, by name: one local backend out of each stretch.

    Each node turns by its own multiple of the golden ratio, and so does each stretch: by the same step in
    all, every node might feed one half of the fleet alone.
    """
    turn = state.settings.node_index * GOLDEN_RATIO_FRACTION % 1.0
    stretches = min(listed, share_of_fleet(state, listed), len(local))
    places = [(at + (turn + at * GOLDEN_RATIO_FRACTION) % 1.0) / stretches for at in range(stretches)]
    chosen = [local[int(place * len(local)) % len(local)] for place in places]
    return {backend.endpoint.id: backend for backend in chosen}


def list_at(state: NodeState, backend: Backend, at: int, listed: int) -> None:
    """Give a backend of a first list its place in the order."""
    backend.rank, backend.is_listed = (at + 0.5) / listed, True
    state.index.insert(backend, state.now_ms)
