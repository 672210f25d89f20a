"""A first list in steps against `handle` with all of it: the same state, random numbers and sends."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.policy import bulk_update as laying
from balancer.policy.balancer import Balancer
from tests.helpers import entry
from tests.policy.test_backend_index import (
    FLEETS,
    KINDS,
    PHASES,
    WEIGHTS,
)

FIELDS = (
    "endpoint",
    "queue_estimate",
    "in_flight",
    "slowness",
    "consecutive_failures",
    "ejected_until_ms",
    "rejection_rate",
    "paused_until_ms",
    "is_listed",
    "is_local",
    "is_confirmed",
    "rank",
    "capacity_tally",
    "is_in_window",
    "tier_number",
    "indexed_in_flight",
    "indexed_estimate",
    "indexed_weight_bucket",
    "estimate_position",
    "weight_position",
    "warming_up_position",
    "review_at_ms",
)


def state(balancer: Balancer) -> dict[str, Any]:
    """All that a decision goes by."""
    index = balancer.index
    names = {name: tuple(getattr(b, field) for field in FIELDS) for name, b in balancer.backends.items()}
    tiers = [
        (number, out, estimate, [b.endpoint.id for b in row])
        for number, tier in enumerate(index.tiers)
        for out, level in tier.items()
        for estimate, row in level.by_estimate.items()
    ]
    groups = {key: [b.endpoint.id for b in bag.items] for key, bag in index.groups.items()}
    own = (
        "subset_size",
        "spillover",
        "fleet_size",
        "listed_at_ms",
        "min_concurrency_limit",
        "limit_relaxation",
        "concurrency_limit",
        "last_timer_token",
        "now_ms",
        "miss_rates",
    )
    return {
        "backends": names,
        "order": balancer.order,
        "tiers": tiers,
        "groups": groups,
        "cold": [b.endpoint.id for b in index.warming_up],
        "window": (index.window_size, index.local_count, index.scheduled_reviews),
        "rooms": repr(balancer.state.capacity_by_kind),
        "random": balancer.state.rng.getstate(),
        "own": {name: getattr(balancer.state, name) for name in own},
    }


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.integers(0, 2**32),
    st.integers(0, 60),
    st.sampled_from([1, 3, 250]),
    st.integers(0, len(FLEETS) - 1),
    st.sampled_from([api.EndpointUpdateKind.INCREMENTAL, api.EndpointUpdateKind.CACHED]),
    st.sampled_from([None, 0.0, 9_000.0]),
)
def test_in_steps_it_ends_as_in_one_go(
    seed: int, count: int, step: int, fleet: int, kind: api.EndpointUpdateKind, age: float | None
) -> None:
    rng, cfg = random.Random(seed), replace(FLEETS[fleet], must_poll=seed % 2 > 0)
    entries = [
        replace(
            entry(f"s{n}", zone=rng.choice("ab")),
            phase=rng.choice(PHASES),
            weight=rng.choice(WEIGHTS),
            kind=rng.choice(KINDS),
            started_at_ms=rng.choice((0.0, 9_500.0, 99_000.0)),
            cached_age_ms=age if rng.random() < 0.5 else None,
            cell=n % 4,
        )
        for n in rng.sample(range(1_000), count)
    ]
    one, two = Balancer(cfg, seed), Balancer(cfg, seed)
    drains = [replace(one, phase=api.Phase.DRAINING) for one in entries[::7]]  # told of ahead of the list
    for balancer in (one, two) if kind is api.EndpointUpdateKind.INCREMENTAL else ():
        balancer.handle(9_000.0, api.EndpointsUpdated(kind, drains, 1))
    now, seen = 10_000.0, [list[api.Action](), list[api.Action]()]
    seen[0] += one.handle(now, api.EndpointsUpdated(kind, entries, 2))
    if kind is not api.EndpointUpdateKind.INCREMENTAL:
        seen[1] += two.handle(now, api.EndpointsUpdated(kind, [], 2))
    before, laying.BACKENDS_PER_STEP = laying.BACKENDS_PER_STEP, step
    try:
        two.state.now_ms, steps = now, laying.apply_first_list(two, entries)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                seen[1] += end.value
                break
            assert not two.index.window_size or len(two.order) == len(one.order), (
                "nobody is fed before all are in"
            )
    finally:
        laying.BACKENDS_PER_STEP = before
    seen[1] += two.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [], 2))
    assert seen[0] == seen[1]
    assert state(one) == state(two)
    for n in range(30):
        ask = api.RequestArrived(f"r{n}", cfg.classes[n % len(cfg.classes)].name, now + n + 5_000.0)
        assert one.handle(now + n, ask) == two.handle(now + n, replace(ask))
