"""Applies a first list of thousands of backends in steps, so that no single call takes long.

`handle` with a first list lays out this node's subset over the whole list, which takes 6 us per backend:
60 ms for 10,000. `apply_first_list` handles BACKENDS_PER_STEP backends per step, in the same order, and ends
in exactly the state that `handle` would have left, including the random generator; a test compares the two.
Until it has finished, the node knows only some backends and sends to none, so it must get no other events:
`net/bulk_update` queues those that arrive meanwhile.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence

from balancer import interface as api
from balancer.policy import subsetting
from balancer.policy.balancer import Balancer
from balancer.policy.records import Backend
from balancer.policy.state import NodeState

BACKENDS_PER_STEP = 250  # 1 to 2 ms


def apply_first_list(
    balancer: Balancer, endpoints: Sequence[api.Endpoint]
) -> Generator[None, None, list[api.Action]]:
    """Apply the endpoints of a first list; returns the decisions to report.

    `handle` without changes must follow. A cached list is announced to `handle` beforehand, without its
    endpoints.
    """
    state = balancer.state
    for count, endpoint in enumerate(endpoints, 1):
        subsetting.add_or_update_endpoint(state, endpoint, True)
        if not count % BACKENDS_PER_STEP:
            yield
    backends = state.backends
    names = sorted(name for name, backend in backends.items() if backend.endpoint.phase is api.Phase.UP)
    if not names:
        return []
    yield
    up_backends = [backends[name] for name in names]
    local = subsetting.local_backends(up_backends)
    chosen = subsetting.evenly_spaced_subset(state, local, len(up_backends))
    rest = [backend for backend in up_backends if backend.endpoint.id not in chosen]
    yield
    order = list(chosen.values())
    yield from _append_shuffled(state, order, rest)
    for position, backend in enumerate(order):
        subsetting.insert_at_rank(state, backend, position, len(up_backends))
        if not position % BACKENDS_PER_STEP:
            yield
    state.spillover = 1.0 - len(local) / len(up_backends)
    subsetting.update_subset_size(state, len(up_backends))
    yield from _widen_window(state)
    # `handle` of no changes reports no joins, so they are reported here.
    return [api.NoteBackendDecision("", api.BackendDecision.JOINED_SUBSET, state.subset_size)]


def _append_shuffled(
    state: NodeState, order: list[Backend], rest: list[Backend]
) -> Generator[None, None, None]:
    """Append `rest` in random order, with exactly the draws that `rng.sample` of all of it makes."""
    for remaining_count in range(len(rest), 0, -1):
        position = state.rng.randrange(remaining_count)
        order.append(rest[position])
        rest[position] = rest[remaining_count - 1]
        if not remaining_count % (4 * BACKENDS_PER_STEP):
            yield


def _widen_window(state: NodeState) -> Generator[None, None, None]:
    """Widen the window to the subset, or to one backend per attempt in flight."""
    index = state.index
    size = 0 if state.probing_enabled else max(state.subset_size, state.in_flight)
    while index.window_size < min(len(index.order), size):
        index.resize(min(size, index.window_size + BACKENDS_PER_STEP), state.now_ms)
        yield
