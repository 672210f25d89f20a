"""A first list of thousands, laid out in steps: what `Balancer` does with it in one go, in the same order.

`handle` with a first list lays the node's part of the fleet out over all of it: 6 us a server, 60 ms for
10,000. `lay` takes SLICE servers a step and ends in the very state that `handle` would have left, the random
numbers drawn included; a test holds the two against one another. Until it has ended nothing else may go
to the module, which knows some of the servers and feeds none: `net/bulk_update` holds back what comes
meanwhile.
"""

from __future__ import annotations

import math
from collections.abc import Generator, Sequence

from balancer import interface as api
from balancer.policy.balancer import (
    GOLDEN_RATIO_FRACTION,
    MAX_PROBE_ROUNDS,
    MIN_SUBSET_SIZE,
    NODES_PER_BACKEND,
    PROBES_PER_ROUND,
    Balancer,
)
from balancer.policy.records import Backend

BACKENDS_PER_STEP = 250  # servers in one step, 1 to 2 ms


def apply_first_list(
    balancer: Balancer, entries: Sequence[api.Endpoint]
) -> Generator[None, None, list[api.Action]]:
    """Take the entries of a first list; returns what is noted of it. `handle` of no changes has to follow.

    Of a saved list `handle` is told before, without the entries.
    """
    backends, index = balancer.backends, balancer.index
    for at, entry in enumerate(entries, 1):
        b = backends.get(entry.id)
        if b is None and entry.phase is not api.Phase.REMOVED:
            b = backends[entry.id] = Backend(entry, is_confirmed=entry.cached_age_ms is None)
        if b is not None:
            balancer._entry(b, entry, True)
        if not at % BACKENDS_PER_STEP:
            yield
    names = sorted(name for name, b in backends.items() if b.endpoint.phase is api.Phase.UP)
    if not names:
        return []
    yield
    found = [backends[name] for name in names]
    near = [b for b in found if b.is_local] or found
    n = len(found)
    wanted = max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_BACKEND * n / balancer.settings.node_count))
    k = min(n, wanted)
    turn = balancer.settings.node_index * GOLDEN_RATIO_FRACTION % 1.0
    parts = min(k, len(near))
    places = ((j + (turn + j * GOLDEN_RATIO_FRACTION) % 1.0) / parts for j in range(parts))
    chosen = {b.endpoint.id: b for b in (near[int(at * len(near)) % len(near)] for at in places)}
    rest = [b for b in found if b.endpoint.id not in chosen]
    yield
    order = list(chosen.values())
    # `rng.sample` of all of them, to the letter.
    for left in range(len(rest), 0, -1):
        at = balancer.rng.randrange(left)
        order.append(rest[at])
        rest[at] = rest[left - 1]
        if not left % (4 * BACKENDS_PER_STEP):
            yield
    for at, b in enumerate(order):
        b.rank, b.is_listed = (at + 0.5) / n, True
        index.insert(b, balancer.now_ms)
        if not at % BACKENDS_PER_STEP:
            yield
    balancer.spillover = 1.0 - len(near) / n
    balancer.subset_size = min(n, PROBES_PER_ROUND * MAX_PROBE_ROUNDS if balancer.probing_enabled else wanted)
    size = 0 if balancer.probing_enabled else max(balancer.subset_size, balancer.in_flight)
    while index.window_size < min(n, size):
        index.resize(min(size, index.window_size + BACKENDS_PER_STEP), balancer.now_ms)
        yield
    return [
        api.NoteBackendDecision("", api.BackendDecision.JOINED_SUBSET, balancer.subset_size)
    ]  # `handle` finds that nobody has joined
