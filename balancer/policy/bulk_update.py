"""A first list of thousands, applied in steps: what `Balancer` does with it at once, in the same order.

`handle` with a first list lays this node's subset out over all of it: 6 us a backend, 60 ms for 10,000.
`apply_first_list` takes BACKENDS_PER_STEP backends a step and ends in the very state that `handle` would
have left, the random numbers drawn included; a test compares the two. Until it has ended nothing else may
go to the module, which knows some of the backends and sends to none: `net/bulk_update` queues what comes
meanwhile.
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
    """Take the endpoints of a first list; returns what is noted of it. `handle` of no changes has to follow.

    `handle` is notified of a cached list before, without the endpoints.
    """
    state = balancer.state
    for number, endpoint in enumerate(endpoints, 1):
        subsetting.take_endpoint(state, endpoint, True)
        if not number % BACKENDS_PER_STEP:
            yield
    backends = state.backends
    names = sorted(name for name, backend in backends.items() if backend.endpoint.phase is api.Phase.UP)
    if not names:
        return []
    yield
    found = [backends[name] for name in names]
    local = subsetting.local_ones(found)
    chosen = subsetting.evenly_spaced(state, local, len(found))
    rest = [backend for backend in found if backend.endpoint.id not in chosen]
    yield
    order = list(chosen.values())
    yield from _shuffle_onto(state, order, rest)
    for at, backend in enumerate(order):
        subsetting.list_at(state, backend, at, len(found))
        if not at % BACKENDS_PER_STEP:
            yield
    state.spillover = 1.0 - len(local) / len(found)
    subsetting.update_subset_size(state, len(found))
    yield from _widen_window(state)
    # `handle` finds that nobody has joined.
    return [api.NoteBackendDecision("", api.BackendDecision.JOINED_SUBSET, state.subset_size)]


def _shuffle_onto(state: NodeState, order: list[Backend], rest: list[Backend]) -> Generator[None, None, None]:
    """Add the rest in random order: `rng.sample` of all of them, to the letter."""
    for left in range(len(rest), 0, -1):
        at = state.rng.randrange(left)
        order.append(rest[at])
        rest[at] = rest[left - 1]
        if not left % (4 * BACKENDS_PER_STEP):
            yield


def _widen_window(state: NodeState) -> Generator[None, None, None]:
    """Widen the window to the subset, or to one backend for each attempt in flight."""
    index = state.index
    size = 0 if state.probing_enabled else max(state.subset_size, state.in_flight)
    while index.window_size < min(len(index.order), size):
        index.resize(min(size, index.window_size + BACKENDS_PER_STEP), state.now_ms)
        yield
