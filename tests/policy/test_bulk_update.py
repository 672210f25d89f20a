"""Applying a first list in steps must end in the same state, random draws and actions as `handle` at once."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.policy import bulk_update as bulk_update
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
    """Return everything that decisions depend on."""
    index = balancer.index
    backends = {name: tuple(getattr(b, field) for field in FIELDS) for name, b in balancer.backends.items()}
    tiers = [
        (number, out, estimate, [b.endpoint.id for b in row])
        for number, tier in enumerate(index.tiers)
        for out, level in tier.items()
        for estimate, row in level.by_estimate.items()
    ]
    groups = {key: [b.endpoint.id for b in bag.items] for key, bag in index.groups.items()}
    node_fields = (
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
        "backends": backends,
        "order": balancer.order,
        "tiers": tiers,
        "groups": groups,
        "cold": [b.endpoint.id for b in index.warming_up],
        "window": (index.window_size, index.local_count, index.scheduled_reviews),
        "rooms": repr(balancer.state.capacity_by_kind),
        "random": balancer.state.rng.getstate(),
        "own": {name: getattr(balancer.state, name) for name in node_fields},
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
def test_apply_first_list_in_steps_ends_in_same_state_as_handle(
    seed: int, count: int, step: int, fleet: int, kind: api.EndpointUpdateKind, age: float | None
) -> None:
    rng, config = random.Random(seed), replace(FLEETS[fleet], must_poll=seed % 2 > 0)
    endpoints = [
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
    at_once, in_steps = Balancer(config, seed), Balancer(config, seed)
    # Received before the list.
    draining = [replace(endpoint, phase=api.Phase.DRAINING) for endpoint in endpoints[::7]]
    for balancer in (at_once, in_steps) if kind is api.EndpointUpdateKind.INCREMENTAL else ():
        balancer.handle(9_000.0, api.EndpointsUpdated(kind, draining, 1))
    now, actions = 10_000.0, [list[api.Action](), list[api.Action]()]
    actions[0] += at_once.handle(now, api.EndpointsUpdated(kind, endpoints, 2))
    if kind is not api.EndpointUpdateKind.INCREMENTAL:
        actions[1] += in_steps.handle(now, api.EndpointsUpdated(kind, [], 2))
    original_step, bulk_update.BACKENDS_PER_STEP = bulk_update.BACKENDS_PER_STEP, step
    try:
        in_steps.state.now_ms, steps = now, bulk_update.apply_first_list(in_steps, endpoints)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                actions[1] += stop.value
                break
            assert not in_steps.index.window_size or len(in_steps.order) == len(at_once.order), (
                "no backend is used before all are listed"
            )
    finally:
        bulk_update.BACKENDS_PER_STEP = original_step
    actions[1] += in_steps.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [], 2))
    assert actions[0] == actions[1]
    assert state(at_once) == state(in_steps)
    for n in range(30):
        request = api.RequestArrived(f"r{n}", config.classes[n % len(config.classes)].name, now + n + 5_000.0)
        assert at_once.handle(now + n, request) == in_steps.handle(now + n, replace(request))
