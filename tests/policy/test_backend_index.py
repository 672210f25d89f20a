"""The index against the plain choice of tests/policy/reference_selection.py, over random fleets and events.

`Watched` is a node that compares before each choice; `World` feeds it events and compares all it keeps after
each. Draws that are left to chance are held against their stated chances by chi-square with fixed seeds.
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

DEAR, CELL = (
    replace(SAFE, name="dear", priority_weight=400.0),
    replace(KEYED, name="cell", deduplication_scope=api.DeduplicationScope.CELL),
)
CLASSES = (SAFE, DEAR, KEYED, CELL)
LIVE = replace(BASE, classes=CLASSES, has_weights=True, has_live_weights=True, max_attempts=4)
FLEETS = [
    LIVE,
    replace(LIVE, node_count=8, prices=api.Prices(cross_zone=0.05)),
    replace(LIVE, node_count=300, prices=api.Prices(cross_zone=0.05), has_live_weights=False),
    replace(LIVE, slow_start_initial_fraction=0.0, slow_start_duration_ms=3_000.0, overload_multiple=200.0),
    replace(LIVE, slow_start_duration_ms=0.0),
]
KINDS = ("", "m", "xl")
WEIGHTS = (1.0, 1.0, 0.5, 0.31, 3.0, 0.0, 1e-17, 5e-324, 1e300)
PHASES = (*[api.Phase.UP] * 6, api.Phase.DRAINING, api.Phase.REMOVED)
STATUSES = (*[api.AttemptStatus.OK] * 6, *api.AttemptStatus)
# The 99.9% points of chi-square, by degrees of freedom.
CRITICAL = {3: 16.27, 5: 20.52, 7: 24.32, 9: 27.88, 11: 31.26, 19: 43.82}

CHOOSE, ADMITTED = selection.choose, slow_start.admitted


class Watched(Balancer):
    """A node that compares each choice with the plain one, given the cold backends that were admitted."""

    def __init__(self, cfg: api.Settings, seed: int) -> None:
        super().__init__(cfg, seed)
        self.admitted: list[Backend] = []
        self.choices = self.wary = 0

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        with (
            mock.patch.object(selection, "choose", self._choose),
            mock.patch.object(slow_start, "admitted", self._admitted),
        ):
            return super().handle(now_ms, event)

    def _choose(self, state: NodeState, req: Request, crowd: float, m: int) -> Backend | None:
        members = reference.window(self.backends.values(), self.subset_size, self.in_flight)
        self.admitted = []
        while (
            self.index.review_heap and self.index.review_heap[0][0] <= self.state.now_ms
        ):  # some at a time, where many are back
            self.index.readmit_due(self.state.now_ms)
        got = CHOOSE(state, req, crowd, m)
        pool = reference.eligible(
            members, self.state.now_ms, self.state.settings, crowd, req.is_high_priority, self.admitted
        )
        fair = reference.chances(pool, m) if pool else {}
        assert got.endpoint.id in fair if got else not pool
        self.choices += 1
        self.wary += req.is_high_priority and any(b.rejection_rate > HIGH_REJECTION_RATE for b in members)
        return got

    def _admitted(self, state: NodeState, req: Request, crowd: float) -> list[Backend]:
        self.admitted = ADMITTED(state, req, crowd)
        assert len(set(self.admitted)) == len(self.admitted)
        for b in self.admitted:
            assert reference.place(b, self.state.now_ms, self.state.settings) is Place.COLD, (
                b.ejected_until_ms,
                b.paused_until_ms,
                b.review_at_ms,
                self.state.now_ms,
            )
        return self.admitted


def shelved(index: BackendIndex) -> dict[Backend, tuple[bool, int, Level]]:
    """All on the tiers, with where they are; each level is checked to hold together."""
    out: dict[Backend, tuple[bool, int, Level]] = {}
    for apart, tier in enumerate(index.tiers):
        for own, level in tier.items():
            rows = [(b, estimate) for estimate, row in level.by_estimate.items() for b in row]
            racks = [(b, grade) for grade, rack in level.by_weight_bucket.items() for b in rack]
            assert level.size == len(rows) == len(racks) > 0
            assert {b for b, _ in rows} == {b for b, _ in racks}
            assert all(level.by_estimate.values()) and all(level.by_weight_bucket.values())
            assert all(b.queue_estimate == estimate == b.indexed_estimate for b, estimate in rows)
            assert level.lowest_estimate() == min(level.by_estimate) and len(level.estimate_heap) >= len(
                level.by_estimate
            )
            for b, grade in racks:
                share = (reference.bounded(b.endpoint.weight) / b.slowness) ** 2
                assert (
                    2.0**grade / 2 <= share < 2.0**grade
                    and level.by_weight_bucket[grade][b.weight_position] is b
                )
                assert b not in out
                out[b] = (bool(apart), own, level)
    return out


def check(b: Balancer) -> None:
    """All that the index keeps is what the plain look says; nobody is lost, and what is stale is bounded."""
    index, order = b.index, reference.order(b.backends.values())
    assert [item[3] for item in index.order] == order
    assert index.local_count == sum(x.is_local for x in order)
    members = order[: index.window_size]
    assert {x for x in b.backends.values() if x.is_in_window} == set(members)
    ready, late = (
        shelved(index),
        {x for due, _, x in index.review_heap if x.review_at_ms == due <= b.state.now_ms},
    )
    waiting = {x for due, _, x in index.review_heap if x.review_at_ms == due}
    assert len(set(index.warming_up)) == len(index.warming_up) and set(index.warming_up) <= set(members)
    assert (
        index.scheduled_reviews == len(waiting)
        and len(index.review_heap) <= 2 * len(waiting) + MAX_READMITTED_PER_CALL
    )
    for x in members:
        where = reference.place(x, b.state.now_ms, b.state.settings)
        if x in late:
            assert x not in ready  # its time has come, it is taken back with the next choice
            continue
        assert (x in ready) == (where is Place.READY)
        assert (x in index.warming_up) == (where is Place.COLD) and (x in waiting) == (
            where is not Place.READY
        )
        if where is Place.READY:
            assert ready[x][:2] == (x.rejection_rate > index.high_rejection_rate, x.in_flight)
    assert set(ready) <= set(members)
    for kind in index.deduplication_scopes:
        groups: dict[object, set[Backend]] = defaultdict(set)
        for x in order:
            groups[x.endpoint.zone if kind is api.DeduplicationScope.ZONE else x.endpoint.cell].add(x)
        assert {part: set(g.items) for (k, part), g in index.groups.items() if k is kind} == groups


class World:
    """Feeds a node a legal run of events, each out of a few numbers, and checks it after every one."""

    def __init__(self, cfg: api.Settings, seed: int, size: int) -> None:
        self.rng = random.Random(seed)
        self.node, self.counts, self.now = Watched(cfg, seed), reference.Counts(), 1000.0
        self.names = [f"b{i:02d}" for i in range(size)]
        self.out: list[tuple[str, int, str]] = []
        self.timers: list[tuple[float, int]] = []
        self.over: set[str] = set()
        self.asked = 0
        self.largest: dict[str, float] = {}
        self.list(
            self.rng.choice(
                (
                    api.EndpointUpdateKind.CACHED,
                    api.EndpointUpdateKind.SNAPSHOT,
                    api.EndpointUpdateKind.INCREMENTAL,
                )
            ),
            size,
        )

    def tell(self, ev: api.Event) -> None:
        """One event."""
        self.counts.event(ev)
        acts = self.node.handle(self.now, ev)
        self.counts.actions(acts)
        for act in acts:
            if isinstance(act, api.SendAttempt):
                self.out.append((act.request, len(self.counts.sent[act.request]) - 1, act.backend))
            elif isinstance(act, api.SetTimer):
                self.timers.append((act.at_ms, act.token))
            elif isinstance(act, (api.RejectRequest, api.FailRequest)):
                self.over.add(act.request)
        self.check()

    def check(self) -> None:
        """The index, the counts, the sums."""
        b = self.node
        check(b)
        assert {n: (x.in_flight, x.queue_estimate) for n, x in b.backends.items()} == {
            n: (x.out, x.estimate) for n, x in self.counts.known.items()
        }
        assert b.in_flight == sum(x.out for x in self.counts.known.values()) == len(self.out)
        assert not b.state.settings.has_live_weights or self.same_sums()

    def same_sums(self) -> bool:
        """The running sums of live weights are what summing all up comes to."""
        want = reference.sums(self.node.backends.values(), self.largest)
        rooms = self.node.state.capacity_by_kind.values()
        held = sum(
            room.idle_weight * room.inverse_weight_sum / INVERSE_WEIGHT_UNIT - room.weighted_count
            for room in rooms
        )
        count = sum(room.backend_count for room in rooms)
        return count == want.count and math.isclose(held, want.held, rel_tol=1e-9, abs_tol=1e-6)

    def entry(self, name: str) -> api.Endpoint:
        """One of a list."""
        rng = self.rng
        born = rng.choice((0.0, 0.0, 0.0, self.now, self.now - rng.uniform(0, 12_000), self.now + 50))
        return entry(
            name,
            zone=rng.choice("aabc"),
            cell=rng.randrange(3),
            weight=rng.choice(WEIGHTS),
            started_at_ms=max(0.0, born),
            phase=rng.choice(PHASES),
            kind=rng.choice(KINDS),
        )

    def list(self, kind: api.EndpointUpdateKind, count: int) -> None:
        """A list or some changes; some ids may be new, some come twice."""
        names = [*self.names, f"n{self.asked}"] if self.names else []
        some = [self.entry(self.rng.choice(names)) for _ in range(min(count, 2 * len(names)))]
        for e in some:
            if e.phase is api.Phase.UP:
                self.largest[e.kind] = max(self.largest.get(e.kind, 0.0), reference.bounded(e.weight))
        self.tell(api.EndpointsUpdated(kind, some))

    def weights(self) -> None:
        """Live weights of all."""
        up = [e for e in self.counts.entries.values() if e.phase is api.Phase.UP]
        some = [replace(e, weight=self.rng.choice(WEIGHTS)) for e in up]
        for e in some:
            self.largest[e.kind] = max(self.largest.get(e.kind, 0.0), reference.bounded(e.weight))
        self.tell(api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, some))

    def restart(self) -> None:
        """One that is up has been started anew just now, and is otherwise the same."""
        up = [e for e in self.counts.entries.values() if e.phase is api.Phase.UP]
        if up:
            again = replace(self.rng.choice(up), started_at_ms=self.now)
            self.tell(api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [again]))

    def arrive(self, count: int) -> None:
        """Requests."""
        for _ in range(count):
            self.asked += 1
            cls = self.rng.choices(CLASSES, (4, 1, 2, 2))[0]
            left = cls.deadline_ms * self.rng.choice((1.0, 1.0, 0.6))
            self.tell(api.RequestArrived(f"r{self.asked}", cls.name, self.now + left))

    def end(self, count: int, statuses: Sequence[api.AttemptStatus] = STATUSES) -> None:
        """Attempts end, in any order."""
        for _ in range(min(count, len(self.out))):
            rid, number, backend = self.out.pop(self.rng.randrange(len(self.out)))
            status = self.rng.choice(statuses)
            closed = status is api.AttemptStatus.OK or rid in self.over
            loads = (
                None,
                api.LoadReport(0.0, 0.0),
                api.LoadReport(None, 0.0),
                api.LoadReport(3.0, 1.0),
                api.LoadReport(),
            )
            took = self.rng.choice((0.0, 20.0, 60.0, 500.0))
            self.tell(api.AttemptFinished(rid, number, backend, status, took, closed, self.rng.choice(loads)))

    def leave(self) -> None:
        """A client gives up."""
        if self.asked:
            rid = f"r{self.rng.randint(1, self.asked)}"
            self.over.add(rid)
            self.tell(api.ClientLeft(rid))

    def wait(self, time: float) -> None:
        """The clock jumps; what is due by then comes after that, all at once."""
        self.now += time
        due = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, token in due:
            self.tell(api.TimerFired(token))


DEEDS: dict[str, Callable[[World, int], None]] = {
    "arrive": lambda w, n: w.arrive(n),
    "more": lambda w, n: w.arrive(4 * n),
    "end": lambda w, n: w.end(n),
    "all end": lambda w, n: w.end(10_000),
    "no room": lambda w, n: w.end(3 * n, [api.AttemptStatus.REJECTED]),
    "changes": lambda w, n: w.list(api.EndpointUpdateKind.INCREMENTAL, n),
    "whole": lambda w, n: w.list(api.EndpointUpdateKind.SNAPSHOT, 5 * n),
    "saved": lambda w, n: w.list(api.EndpointUpdateKind.CACHED, 5 * n),
    "failed": lambda w, n: w.tell(api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, [])),
    "weights": lambda w, n: w.weights(),
    "restart": lambda w, n: w.restart(),
    "leave": lambda w, n: w.leave(),
    "soon": lambda w, n: w.wait(float(n)),
    "later": lambda w, n: w.wait(100.0 * n),
    "minutes": lambda w, n: w.wait(30_000.0 * n),
}


@settings(max_examples=250, deadline=None, derandomize=True, database=None)
@given(
    st.integers(0, len(FLEETS) - 1),
    st.integers(0, 10**6),
    st.integers(0, 40),
    st.lists(st.tuples(st.sampled_from(sorted(DEEDS)), st.integers(1, 9)), max_size=25),
)
def test_the_index_is_what_a_plain_look_says(
    kind: int, seed: int, size: int, deeds: list[tuple[str, int]]
) -> None:
    world = World(FLEETS[kind], seed, size)
    for deed, count in deeds:
        DEEDS[deed](world, count)
    while world.out:
        world.end(len(world.out))
    assert not world.node.in_flight


def test_long_runs_meet_every_kind_of_choice() -> None:
    """Guards against events that never come to a choice, a cold draw, or a window over the subset."""
    choices, cold, wide, wary = 0, 0, 0, 0
    for seed, cfg in enumerate(FLEETS):
        world = World(cfg, seed, 30)
        for _ in range(200):
            deed = world.rng.choice(sorted(DEEDS))
            DEEDS[deed](world, world.rng.randint(1, 9))
            cold += bool(world.node.admitted)
            wide += world.node.index.window_size > world.node.subset_size
        choices += world.node.choices
        wary += world.node.wary
    assert choices > 500 and cold > 20 and wide > 20 and wary > 20, (choices, cold, wide, wary)


def chi_square(got: Counter[str], fair: Mapping[str, float], n: int) -> None:
    """The counts of n draws agree with the chances, at 99.9%."""
    assert set(got) <= set(fair)
    value = sum((got.get(x, 0) - n * p) ** 2 / (n * p) for x, p in fair.items())
    assert value < CRITICAL[len(fair) - 1], (value, got)


def drawn(b: Balancer, m: int, n: int, cls: str = "read", crowd: float = math.inf) -> Counter[str]:
    """Who is chosen in so many draws, without sending anything."""
    got: Counter[str] = Counter()
    for _ in range(n):
        req = Request("r", b.classes[cls], None, 1e9, 1e9, False)
        found = selection.choose(b.state, req, crowd, m)
        got[found.endpoint.id if found else "nobody"] += 1
    return got


def prepared(size: int, **over: object) -> Balancer:
    """A node of a warm fleet whose clock stands at 1,000."""
    return node(replace(BASE, **over), [f"b{i}" for i in range(size)], seed=7)  # type: ignore[arg-type]


@pytest.mark.parametrize("levels", [1, 3])
def test_ties_below_m_are_uniform_over_levels_of_own_count(levels: int) -> None:
    b = prepared(16)
    for i, x in enumerate(b.backends.values()):
        x.queue_estimate, x.in_flight = (1, i % levels) if i < 12 else (2, levels // 2)
        capacity.update_backend(b.state, x)
    fair = reference.chances(list(b.backends.values()), 4)
    assert len(fair) == (12 if levels == 1 else 8) and len(set(fair.values())) == 1
    chi_square(drawn(b, 4, 8000), fair, 8000)


@pytest.mark.parametrize("out", [(0,) * 8, (0, 1, 2, 3, 0, 1, 2, 3)])
def test_at_the_cap_the_draw_follows_the_stated_weights(out: tuple[int, ...]) -> None:
    b = prepared(8)
    for i, x in enumerate(b.backends.values()):
        x.endpoint = replace(x.endpoint, weight=(1.0, 0.3, 2.0, 0.75)[i % 4])
        x.slowness, x.queue_estimate, x.in_flight = 1.0 + 0.2 * i, 5 + i, out[i]
        capacity.update_backend(b.state, x)
    fair = reference.chances(list(b.backends.values()), 3)
    chi_square(drawn(b, 3, 20_000), fair, 20_000)


@pytest.mark.parametrize("multiple", [3.0, 12.0, 40.0])
def test_cold_backends_are_admitted_with_the_stated_chance(multiple: float) -> None:
    b = Balancer(replace(BASE, overload_multiple=multiple), 3)
    now = 1000.0 + BASE.slow_start_duration_ms
    born = [now - BASE.slow_start_duration_ms * part for part in (0.0, 0.1, 0.5, 0.9)]
    fleet = [entry(f"b{i}", started_at_ms=born[i] if i < 4 else 0.0) for i in range(20)]
    b.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, fleet))
    assert len(b.index.warming_up) == 4
    n, got = 20_000, Counter[str]()
    for _ in range(n):
        req = Request("r", b.classes["read"], None, 1e9, 1e9, False)
        got.update(x.endpoint.id for x in slow_start.admitted(b.state, req, math.inf))
    for i in range(4):
        warm = reference.warmth(
            b.backends[f"b{i}"], now, BASE.slow_start_initial_fraction, BASE.slow_start_duration_ms
        )
        chance = reference.admission(20, 20, 20.0, warm, SLOW_START_LOAD_FRACTION * multiple)
        spread = 3.3 * math.sqrt(n * chance * (1 - chance))
        assert abs(got[f"b{i}"] - n * chance) <= spread, (i, chance, got)
