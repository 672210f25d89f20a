"""The index against tests/policy/reference_selection.py, over random fleets and events.

`ComparingBalancer` is a node that compares each choice with the reference; `World` feeds it events and
compares all its state after each of them. Random draws are tested against their stated probabilities by
chi-square with fixed seeds.
"""

from __future__ import annotations

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.policy import capacity, selection, slow_start
from balancer.policy.backend_index import MAX_READMITTED_PER_CALL, BackendIndex
from balancer.policy.balancer import Balancer
from balancer.policy.records import (
    HIGH_REJECTION_RATE,
    INVERSE_WEIGHT_UNIT,
    Backend,
    Level,
    Request,
)
from balancer.policy.slow_start import SLOW_START_LOAD_FRACTION
from balancer.policy.state import NodeState
from tests.helpers import (
    BASE,
    KEYED,
    SAFE,
    entry,
    node,
)
from tests.policy import reference_selection as reference
from tests.policy.reference_selection import Place

HIGH_PRIORITY, CELL = (
    replace(SAFE, name="dear", priority_weight=400.0),
    replace(KEYED, name="cell", deduplication_scope=api.DeduplicationScope.CELL),
)
CLASSES = (SAFE, HIGH_PRIORITY, KEYED, CELL)
LIVE_WEIGHTS = replace(BASE, classes=CLASSES, has_weights=True, has_live_weights=True, max_attempts=4)
FLEETS = [
    LIVE_WEIGHTS,
    replace(LIVE_WEIGHTS, node_count=8, prices=api.Prices(cross_zone=0.05)),
    replace(LIVE_WEIGHTS, node_count=300, prices=api.Prices(cross_zone=0.05), has_live_weights=False),
    replace(
        LIVE_WEIGHTS, slow_start_initial_fraction=0.0, slow_start_duration_ms=3_000.0, overload_multiple=200.0
    ),
    replace(LIVE_WEIGHTS, slow_start_duration_ms=0.0),
]
KINDS = ("", "m", "xl")
WEIGHTS = (1.0, 1.0, 0.5, 0.31, 3.0, 0.0, 1e-17, 5e-324, 1e300)
PHASES = (*[api.Phase.UP] * 6, api.Phase.DRAINING, api.Phase.REMOVED)
STATUSES = (*[api.AttemptStatus.OK] * 6, *api.AttemptStatus)
# The 99.9% points of chi-square, by degrees of freedom.
CRITICAL = {3: 16.27, 5: 20.52, 7: 24.32, 9: 27.88, 11: 31.26, 19: 43.82}

CHOOSE, ADMITTED = selection.choose, slow_start.admitted


class ComparingBalancer(Balancer):
    """A node that compares each choice with the reference, given the admitted warming-up backends."""

    def __init__(self, config: api.Settings, seed: int) -> None:
        super().__init__(config, seed)
        self.admitted: list[Backend] = []
        self.choice_count = self.rejection_avoidance_count = 0

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        with (
            mock.patch.object(selection, "choose", self._choose),
            mock.patch.object(slow_start, "admitted", self._admitted),
        ):
            return super().handle(now_ms, event)

    def _choose(self, state: NodeState, request: Request, max_in_flight: float, cap: int) -> Backend | None:
        members = reference.window(self.backends.values(), self.subset_size, self.in_flight)
        self.admitted = []
        while (
            self.index.review_heap and self.index.review_heap[0][0] <= self.state.now_ms
        ):  # a bounded number per call
            self.index.readmit_due(self.state.now_ms)
        got = CHOOSE(state, request, max_in_flight, cap)
        pool = reference.eligible(
            members,
            self.state.now_ms,
            self.state.settings,
            max_in_flight,
            request.is_high_priority,
            self.admitted,
        )
        probabilities = reference.chances(pool, cap) if pool else {}
        assert got.endpoint.id in probabilities if got else not pool
        self.choice_count += 1
        self.rejection_avoidance_count += request.is_high_priority and any(
            b.rejection_rate > HIGH_REJECTION_RATE for b in members
        )
        return got

    def _admitted(self, state: NodeState, request: Request, max_in_flight: float) -> list[Backend]:
        self.admitted = ADMITTED(state, request, max_in_flight)
        assert len(set(self.admitted)) == len(self.admitted)
        for b in self.admitted:
            assert reference.place(b, self.state.now_ms, self.state.settings) is Place.WARMING_UP, (
                b.ejected_until_ms,
                b.paused_until_ms,
                b.review_at_ms,
                self.state.now_ms,
            )
        return self.admitted


def ready_backends(index: BackendIndex) -> dict[Backend, tuple[bool, int, Level]]:
    """Return all ready backends with their place in the index, after checking each level for consistency."""
    found: dict[Backend, tuple[bool, int, Level]] = {}
    for tier_number, tier in enumerate(index.tiers):
        for in_flight, level in tier.items():
            rows = [(backend, estimate) for estimate, row in level.by_estimate.items() for backend in row]
            bucket_rows = [
                (backend, bucket)
                for bucket, bucket_row in level.by_weight_bucket.items()
                for backend in bucket_row
            ]
            assert level.size == len(rows) == len(bucket_rows) > 0
            assert {backend for backend, _ in rows} == {backend for backend, _ in bucket_rows}
            assert all(level.by_estimate.values()) and all(level.by_weight_bucket.values())
            assert all(
                backend.queue_estimate == estimate == backend.indexed_estimate for backend, estimate in rows
            )
            assert level.lowest_estimate() == min(level.by_estimate) and len(level.estimate_heap) >= len(
                level.by_estimate
            )
            for backend, bucket in bucket_rows:
                share = (reference.bounded_weight(backend.endpoint.weight) / backend.slowness) ** 2
                assert (
                    2.0**bucket / 2 <= share < 2.0**bucket
                    and level.by_weight_bucket[bucket][backend.weight_position] is backend
                )
                assert backend not in found
                found[backend] = (bool(tier_number), in_flight, level)
    return found


def check_index(balancer: Balancer) -> None:
    """Check the index against the reference: it must be complete, and stale entries must be bounded."""
    index, order = balancer.index, reference.order(balancer.backends.values())
    assert [item[3] for item in index.order] == order
    assert index.local_count == sum(backend.is_local for backend in order)
    members = order[: index.window_size]
    assert {backend for backend in balancer.backends.values() if backend.is_in_window} == set(members)
    ready, late = (
        ready_backends(index),
        {
            backend
            for due, _, backend in index.review_heap
            if backend.review_at_ms == due <= balancer.state.now_ms
        },
    )
    waiting = {backend for due, _, backend in index.review_heap if backend.review_at_ms == due}
    assert len(set(index.warming_up)) == len(index.warming_up) and set(index.warming_up) <= set(members)
    assert (
        index.scheduled_reviews == len(waiting)
        and len(index.review_heap) <= 2 * len(waiting) + MAX_READMITTED_PER_CALL
    )
    for backend in members:
        where = reference.place(backend, balancer.state.now_ms, balancer.state.settings)
        if backend in late:
            assert backend not in ready  # its review is due: it is placed at the next choice
            continue
        assert (backend in ready) == (where is Place.READY)
        assert (backend in index.warming_up) == (where is Place.WARMING_UP) and (backend in waiting) == (
            where is not Place.READY
        )
        if where is Place.READY:
            assert ready[backend][:2] == (
                backend.rejection_rate > index.high_rejection_rate,
                backend.in_flight,
            )
    assert set(ready) <= set(members)
    for kind in index.deduplication_scopes:
        groups: dict[object, set[Backend]] = defaultdict(set)
        for backend in order:
            groups[
                backend.endpoint.zone if kind is api.DeduplicationScope.ZONE else backend.endpoint.cell
            ].add(backend)
        assert {part: set(g.items) for (k, part), g in index.groups.items() if k is kind} == groups


class World:
    """Feeds a node valid random events and checks it after each of them."""

    def __init__(self, config: api.Settings, seed: int, size: int) -> None:
        self.rng = random.Random(seed)
        self.node, self.counts, self.now = ComparingBalancer(config, seed), reference.Counts(), 1000.0
        self.names = [f"b{i:02d}" for i in range(size)]
        self.in_flight: list[tuple[str, int, str]] = []
        self.timers: list[tuple[float, int]] = []
        self.closed_requests: set[str] = set()
        self.request_count = 0
        self.largest: dict[str, float] = {}
        self.update_list(
            self.rng.choice(
                (
                    api.EndpointUpdateKind.CACHED,
                    api.EndpointUpdateKind.SNAPSHOT,
                    api.EndpointUpdateKind.INCREMENTAL,
                )
            ),
            size,
        )

    def handle(self, event: api.Event) -> None:
        """Handle one event."""
        self.counts.event(event)
        actions = self.node.handle(self.now, event)
        self.counts.actions(actions)
        for action in actions:
            if isinstance(action, api.SendAttempt):
                self.in_flight.append(
                    (action.request, len(self.counts.sent[action.request]) - 1, action.backend)
                )
            elif isinstance(action, api.SetTimer):
                self.timers.append((action.at_ms, action.token))
            elif isinstance(action, (api.RejectRequest, api.FailRequest)):
                self.closed_requests.add(action.request)
        self.check()

    def check(self) -> None:
        """Check the index, the counts and the sums."""
        balancer = self.node
        check_index(balancer)
        assert {n: (x.in_flight, x.queue_estimate) for n, x in balancer.backends.items()} == {
            n: (x.in_flight, x.estimate) for n, x in self.counts.known.items()
        }
        assert (
            balancer.in_flight == sum(x.in_flight for x in self.counts.known.values()) == len(self.in_flight)
        )
        assert not balancer.state.settings.has_live_weights or self.same_sums()

    def same_sums(self) -> bool:
        """Return whether the running sums of live weights equal sums from scratch."""
        expected = reference.sums(self.node.backends.values(), self.largest)
        capacities = self.node.state.capacity_by_kind.values()
        held = sum(
            room.idle_weight * room.inverse_weight_sum / INVERSE_WEIGHT_UNIT - room.weighted_count
            for room in capacities
        )
        count = sum(room.backend_count for room in capacities)
        return count == expected.count and math.isclose(held, expected.held, rel_tol=1e-9, abs_tol=1e-6)

    def entry(self, name: str) -> api.Endpoint:
        """Return a random endpoint."""
        rng = self.rng
        started_at_ms = rng.choice(
            (0.0, 0.0, 0.0, self.now, self.now - rng.uniform(0, 12_000), self.now + 50)
        )
        return entry(
            name,
            zone=rng.choice("aabc"),
            cell=rng.randrange(3),
            weight=rng.choice(WEIGHTS),
            started_at_ms=max(0.0, started_at_ms),
            phase=rng.choice(PHASES),
            kind=rng.choice(KINDS),
        )

    def update_list(self, kind: api.EndpointUpdateKind, count: int) -> None:
        """Update the list; some names may be new, and some may occur twice."""
        names = [*self.names, f"n{self.request_count}"] if self.names else []
        some = [self.entry(self.rng.choice(names)) for _ in range(min(count, 2 * len(names)))]
        for e in some:
            if e.phase is api.Phase.UP:
                self.largest[e.kind] = max(self.largest.get(e.kind, 0.0), reference.bounded_weight(e.weight))
        self.handle(api.EndpointsUpdated(kind, some))

    def update_weights(self) -> None:
        """Update the live weights of all backends."""
        up = [e for e in self.counts.entries.values() if e.phase is api.Phase.UP]
        some = [replace(e, weight=self.rng.choice(WEIGHTS)) for e in up]
        for e in some:
            self.largest[e.kind] = max(self.largest.get(e.kind, 0.0), reference.bounded_weight(e.weight))
        self.handle(api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, some))

    def restart(self) -> None:
        """Restart one backend that is up, without other changes."""
        up = [e for e in self.counts.entries.values() if e.phase is api.Phase.UP]
        if up:
            restarted = replace(self.rng.choice(up), started_at_ms=self.now)
            self.handle(api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [restarted]))

    def arrive(self, count: int) -> None:
        """Send requests."""
        for _ in range(count):
            self.request_count += 1
            request_class = self.rng.choices(CLASSES, (4, 1, 2, 2))[0]
            left = request_class.deadline_ms * self.rng.choice((1.0, 1.0, 0.6))
            self.handle(api.RequestArrived(f"r{self.request_count}", request_class.name, self.now + left))

    def finish_attempts(self, count: int, statuses: Sequence[api.AttemptStatus] = STATUSES) -> None:
        """Finish attempts in random order."""
        for _ in range(min(count, len(self.in_flight))):
            request_id, number, backend = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
            status = self.rng.choice(statuses)
            closed = status is api.AttemptStatus.OK or request_id in self.closed_requests
            loads = (
                None,
                api.LoadReport(0.0, 0.0),
                api.LoadReport(None, 0.0),
                api.LoadReport(3.0, 1.0),
                api.LoadReport(),
            )
            duration_ms = self.rng.choice((0.0, 20.0, 60.0, 500.0))
            self.handle(
                api.AttemptFinished(
                    request_id, number, backend, status, duration_ms, closed, self.rng.choice(loads)
                )
            )

    def disconnect_client(self) -> None:
        """Let a client disconnect."""
        if self.request_count:
            request_id = f"r{self.rng.randint(1, self.request_count)}"
            self.closed_requests.add(request_id)
            self.handle(api.ClientLeft(request_id))

    def advance_clock(self, duration_ms: float) -> None:
        """Advance the clock; timers due by then fire afterwards, all at once."""
        self.now += duration_ms
        due = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, token in due:
            self.handle(api.TimerFired(token))


STEPS: dict[str, Callable[[World, int], None]] = {
    "arrive": lambda w, n: w.arrive(n),
    "more": lambda w, n: w.arrive(4 * n),
    "end": lambda w, n: w.finish_attempts(n),
    "all end": lambda w, n: w.finish_attempts(10_000),
    "no room": lambda w, n: w.finish_attempts(3 * n, [api.AttemptStatus.REJECTED]),
    "changes": lambda w, n: w.update_list(api.EndpointUpdateKind.INCREMENTAL, n),
    "whole": lambda w, n: w.update_list(api.EndpointUpdateKind.SNAPSHOT, 5 * n),
    "saved": lambda w, n: w.update_list(api.EndpointUpdateKind.CACHED, 5 * n),
    "failed": lambda w, n: w.handle(api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, [])),
    "weights": lambda w, n: w.update_weights(),
    "restart": lambda w, n: w.restart(),
    "leave": lambda w, n: w.disconnect_client(),
    "soon": lambda w, n: w.advance_clock(float(n)),
    "later": lambda w, n: w.advance_clock(100.0 * n),
    "minutes": lambda w, n: w.advance_clock(30_000.0 * n),
}


@settings(max_examples=250, deadline=None, derandomize=True, database=None)
@given(
    st.integers(0, len(FLEETS) - 1),
    st.integers(0, 10**6),
    st.integers(0, 40),
    st.lists(st.tuples(st.sampled_from(sorted(STEPS)), st.integers(1, 9)), max_size=25),
)
def test_backend_index_after_any_events_matches_reference(
    kind: int, seed: int, size: int, steps: list[tuple[str, int]]
) -> None:
    world = World(FLEETS[kind], seed, size)
    for step, count in steps:
        STEPS[step](world, count)
    while world.in_flight:
        world.finish_attempts(len(world.in_flight))
    assert not world.node.in_flight


def test_random_events_cover_every_kind_of_choice() -> None:
    """Random events must reach choices, draws of warming-up backends, and windows beyond the subset."""
    choices, cold, wide, rejection_avoidances = 0, 0, 0, 0
    for seed, config in enumerate(FLEETS):
        world = World(config, seed, 30)
        for _ in range(200):
            step = world.rng.choice(sorted(STEPS))
            STEPS[step](world, world.rng.randint(1, 9))
            cold += bool(world.node.admitted)
            wide += world.node.index.window_size > world.node.subset_size
        choices += world.node.choice_count
        rejection_avoidances += world.node.rejection_avoidance_count
    assert choices > 500 and cold > 20 and wide > 20 and rejection_avoidances > 20, (
        choices,
        cold,
        wide,
        rejection_avoidances,
    )


def check_chi_square(got: Counter[str], probabilities: Mapping[str, float], n: int) -> None:
    """Check that the counts of n draws agree with the probabilities, at 99.9%."""
    assert set(got) <= set(probabilities)
    value = sum((got.get(x, 0) - n * p) ** 2 / (n * p) for x, p in probabilities.items())
    assert value < CRITICAL[len(probabilities) - 1], (value, got)


def count_choices(
    balancer: Balancer, cap: int, n: int, class_name: str = "read", max_in_flight: float = math.inf
) -> Counter[str]:
    """Count which backends are chosen in n draws, without sending anything."""
    choices: Counter[str] = Counter()
    for _ in range(n):
        request = Request("r", balancer.classes[class_name], None, 1e9, 1e9, False)
        backend = selection.choose(balancer.state, request, max_in_flight, cap)
        choices[backend.endpoint.id if backend else "nobody"] += 1
    return choices


def make_balancer(size: int, **overrides: object) -> Balancer:
    """Return a node with warm backends at the clock time 1,000."""
    return node(replace(BASE, **overrides), [f"b{i}" for i in range(size)], seed=7)  # type: ignore[arg-type]


@pytest.mark.parametrize("levels", [1, 3])
def test_choose_below_cap_is_uniform_over_levels(levels: int) -> None:
    balancer = make_balancer(16)
    for i, backend in enumerate(balancer.backends.values()):
        backend.queue_estimate, backend.in_flight = (1, i % levels) if i < 12 else (2, levels // 2)
        capacity.update_backend(balancer.state, backend)
    probabilities = reference.chances(list(balancer.backends.values()), 4)
    assert len(probabilities) == (12 if levels == 1 else 8) and len(set(probabilities.values())) == 1
    check_chi_square(count_choices(balancer, 4, 8000), probabilities, 8000)


@pytest.mark.parametrize("out", [(0,) * 8, (0, 1, 2, 3, 0, 1, 2, 3)])
def test_choose_at_cap_follows_weights(out: tuple[int, ...]) -> None:
    balancer = make_balancer(8)
    for i, backend in enumerate(balancer.backends.values()):
        backend.endpoint = replace(backend.endpoint, weight=(1.0, 0.3, 2.0, 0.75)[i % 4])
        backend.slowness, backend.queue_estimate, backend.in_flight = 1.0 + 0.2 * i, 5 + i, out[i]
        capacity.update_backend(balancer.state, backend)
    probabilities = reference.chances(list(balancer.backends.values()), 3)
    check_chi_square(count_choices(balancer, 3, 20_000), probabilities, 20_000)


@pytest.mark.parametrize("multiple", [3.0, 12.0, 40.0])
def test_admitted_draws_with_stated_probability(multiple: float) -> None:
    balancer = Balancer(replace(BASE, overload_multiple=multiple), 3)
    now = 1000.0 + BASE.slow_start_duration_ms
    started_at_ms = [now - BASE.slow_start_duration_ms * part for part in (0.0, 0.1, 0.5, 0.9)]
    fleet = [entry(f"b{i}", started_at_ms=started_at_ms[i] if i < 4 else 0.0) for i in range(20)]
    balancer.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, fleet))
    assert len(balancer.index.warming_up) == 4
    n, got = 20_000, Counter[str]()
    for _ in range(n):
        request = Request("r", balancer.classes["read"], None, 1e9, 1e9, False)
        got.update(x.endpoint.id for x in slow_start.admitted(balancer.state, request, math.inf))
    for i in range(4):
        warm = reference.slow_start_fraction(
            balancer.backends[f"b{i}"], now, BASE.slow_start_initial_fraction, BASE.slow_start_duration_ms
        )
        chance = reference.admission_probability(20, 20, 20.0, warm, SLOW_START_LOAD_FRACTION * multiple)
        spread = 3.3 * math.sqrt(n * chance * (1 - chance))
        assert abs(got[f"b{i}"] - n * chance) <= spread, (i, chance, got)
