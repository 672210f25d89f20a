"""The decision at large sizes: what one event costs, and the hard cases of a fleet of thousands.

Cost is counted in executed lines of the module, the same on every machine; what runs inside C (a list's
insert, a sort) is not in it. Measured times are in benchmarks/decision_cost.py, and the run of a million
arrivals,
which is one of 100,000 here.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from balancer import interface as api
from balancer.policy import capacity, retries, selection
from balancer.policy.backend_index import MAX_READMITTED_PER_CALL
from balancer.policy.balancer import Balancer
from balancer.policy.records import Attempt, Backend, Request
from balancer.policy.routing import MAX_DEQUEUED_PER_EVENT
from tests.helpers import (
    BASE,
    KEYED,
    SAFE,
    answers,
    entry,
    sends,
)
from tests.policy.test_backend_index import check

ALONE = replace(BASE, classes=(SAFE,), max_attempts=1)
LIVE = replace(ALONE, has_weights=True, has_live_weights=True)
MANY = 10_000
ARRIVALS = 100_000
IDLE, BUSY = api.LoadReport(0.0, 0.0), api.LoadReport(3.0, 2.0)


def names(count: int, letter: str = "s") -> list[str]:
    """Names of a fleet."""
    return [f"{letter}{i:05d}" for i in range(count)]


def fleet(cfg: api.Settings, count: int, seed: int = 1, **over: Any) -> Balancer:
    """A node whose clock stands at 50,000, with a whole list of warm servers and no limit that binds."""
    b = Balancer(cfg, seed)
    b.handle(
        50_000.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry(n, **over) for n in names(count)]),
    )
    b.state.concurrency_limit = b.state.min_concurrency_limit = 1e9
    return b


class Asker:
    """Sends requests through a node and keeps what is out."""

    def __init__(self, b: Balancer, now: float = 50_000.0) -> None:
        self.b, self.now, self.asked = b, now, 0
        self.out: list[api.SendAttempt] = []
        self.acts: list[api.Action] = []

    def arrive(self, cls: str = "read") -> str | None:
        """One request; where it was sent."""
        self.asked += 1
        self.acts = self.b.handle(self.now, api.RequestArrived(f"r{self.asked}", cls, self.now + 1000.0))
        self.out += sends(self.acts)
        return sends(self.acts)[0].backend if sends(self.acts) else None

    def end(
        self,
        at: int = 0,
        status: api.AttemptStatus = api.AttemptStatus.OK,
        report: api.LoadReport | None = BUSY,
    ) -> None:
        """One attempt ends."""
        one = self.out.pop(at)
        closed = status is api.AttemptStatus.OK
        outcome = api.AttemptFinished(one.request, 0, one.backend, status, 20.0, closed, report)
        self.acts = self.b.handle(self.now, outcome)
        self.out += sends(self.acts)

    def turn(self) -> None:
        """One arrives and the oldest ends."""
        self.now += 1.0
        self.arrive()
        if self.out:
            self.end(report=IDLE)


def lines(call: Callable[[], object]) -> int:
    """Lines of the module that a call executes; each round of a loop or a comprehension counts."""
    count = 0

    def local(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        count += event == "line"
        return local

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        return local if "balancer" in frame.f_globals.get("__name__", "") else None

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def mean(ask: Asker, count: int = 150) -> float:
    """Lines of one arrival and one outcome."""
    return sum(lines(ask.turn) for _ in range(count)) / count


# --- cost


@pytest.mark.parametrize("group_size", [1, 20])
@pytest.mark.parametrize("out", [1, 512])
def test_a_request_costs_the_same_at_ten_and_at_ten_thousand(group_size: int, out: int) -> None:
    cost = []
    for size in (10, MANY):
        ask = Asker(fleet(replace(ALONE, node_count=group_size), size))
        for _ in range(out):
            ask.arrive()
        cost.append(mean(ask))
    assert cost[1] < 1.5 * cost[0], cost


def test_a_repeat_that_is_bound_to_a_group_costs_the_same_at_three_hundred_and_at_ten_thousand() -> None:
    """Guards against a copy of all that may serve it, and against a draw of more than it looks at."""
    cost = []
    for size in (300, MANY):
        ask = Asker(fleet(replace(ALONE, classes=(KEYED,), max_attempts=2), size))
        total = 0
        for i in range(30):
            ask.b.state.retry_tokens, ask.b.state.success_rate, ask.b.state.failure_rate = 3.0, 1.0, 0.5
            ask.arrive("pay")
            bound = retries.bound_backends(
                ask.b.state, Request("r", ask.b.classes["pay"], None, 0.0, 0.0, False, [attempt(ask.b)])
            )
            assert bound is ask.b.index.groups[api.DeduplicationScope.ZONE, "a"].items and len(bound) == size
            one = ask.out.pop()
            repeat = api.AttemptFinished(one.request, 0, one.backend, api.AttemptStatus.RESET, 5.0, False)

            def tell(ask: Asker = ask, repeat: api.AttemptFinished = repeat) -> None:
                ask.acts = ask.b.handle(ask.now, repeat)

            total += lines(tell)
            assert len(sends(ask.acts)) == 1, i
        cost.append(total)
    assert cost[1] < 1.2 * cost[0], cost


def attempt(b: Balancer) -> Attempt:
    """One that may have run."""
    backend = next(iter(b.backends.values()))
    return Attempt(backend, backend.endpoint, b.state.now_ms, True, api.AttemptStatus.RESET)


def test_a_change_and_a_weight_cost_the_same_at_ten_and_at_ten_thousand() -> None:
    cost = []
    for size in (10, MANY):
        b = fleet(LIVE, size)
        some = names(size)[:10]

        def told(entries: list[api.Endpoint], b: Balancer = b) -> Callable[[], object]:
            return lambda: b.handle(
                50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, entries)
            )

        cost.append(
            [
                lines(told([entry(n, weight=0.3) for n in some])),
                lines(told([entry(n, phase=api.Phase.DRAINING) for n in some[:5]])),
                lines(told([entry(n, phase=api.Phase.REMOVED) for n in some[:5]])),
                lines(told([entry(n) for n in some[:5]])),
                lines(told([entry(n, zone="b") for n in some[:5]])),
            ]
        )
    assert all(large < 1.5 * small for small, large in zip(*cost, strict=True)), cost


def test_a_thousand_changes_in_one_batch_cost_as_much_as_one_by_one() -> None:
    one, batch = fleet(LIVE, MANY), fleet(LIVE, MANY)
    rng = random.Random(3)
    some = [entry(n, weight=rng.choice([0.5, 2.0]), phase=rng.choice(list(api.Phase))) for n in names(1000)]
    for b in (one, batch):
        Asker(b).arrive()
    singles = [api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [e]) for e in some]
    single = lines(lambda: [one.handle(50_001.0, update) for update in singles])
    whole = lines(
        lambda: batch.handle(50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, some))
    )
    assert whole <= single
    check(batch)
    assert {n: (x.endpoint, x.in_flight) for n, x in one.backends.items()} == {
        n: (x.endpoint, x.in_flight) for n, x in batch.backends.items()
    }


def test_weights_of_all_in_one_batch_leave_what_is_held_alone() -> None:
    b = fleet(LIVE, MANY)
    b.state.concurrency_limit = b.state.min_concurrency_limit = 0.0
    ask = Asker(b)
    for _ in range(500):
        ask.arrive()
    assert len(b.queued) == 500 and not ask.out
    told = [entry(n, weight=0.25 + i % 4) for i, n in enumerate(names(MANY))]
    cost = lines(lambda: b.handle(50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, told)))
    small = fleet(LIVE, 10)
    few = lines(
        lambda: small.handle(50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, told[:10]))
    )
    assert cost / MANY < 1.5 * few / 10
    assert len(b.queued) == 500 and sum(r.backend_count for r in b.state.capacity_by_kind.values()) == MANY
    check(b)


# --- most of a fleet is not eligible


def ejected(x: Backend, now: float) -> None:
    """Left alone for a second."""
    x.ejected_until_ms = now + 1000.0


def cold(x: Backend, now: float) -> None:
    """Started this moment: it is warm in ten seconds."""
    x.endpoint = replace(x.endpoint, started_at_ms=now)


def crowded(x: Backend, now: float) -> None:
    """Nine of this node's requests are out there."""
    x.in_flight = x.queue_estimate = 9


def capped(x: Backend, now: float) -> None:
    """Sent as many as m since it last showed idle."""
    x.queue_estimate = 10**6


@pytest.mark.parametrize("spoil", [ejected, cold, crowded, capped])
def test_ten_of_ten_thousand_that_are_left_are_found_at_the_usual_cost(spoil: Callable[..., None]) -> None:
    b = fleet(replace(ALONE, overload_multiple=0.0), MANY)
    usual = mean(Asker(fleet(ALONE, MANY)))
    left = set(random.Random(4).sample(names(MANY), 10))
    for name, x in b.backends.items():
        if name not in left:
            spoil(x, 50_000.0)
            capacity.update_backend(b.state, x)
    check(b)
    ask = Asker(b)
    ask.turn()
    assert mean(ask) < 1.5 * usual
    for _ in range(4):
        assert {ask.arrive() for _ in range(10)} == left
        while ask.out:
            ask.end(report=IDLE)
    assert not b.queued and b.state.logged_at_ms < 0  # no panic


@pytest.mark.parametrize("spoil", [ejected, cold])
def test_all_that_come_back_in_one_tick_are_taken_back_in_pieces(spoil: Callable[..., None]) -> None:
    b = fleet(replace(ALONE, overload_multiple=0.0), MANY)
    left = set(names(MANY)[:10])
    for name, x in b.backends.items():
        if name not in left:
            spoil(x, 50_000.0)
            capacity.update_backend(b.state, x)
    b.index.decisions.clear()  # as after the event that spoilt them
    ask = Asker(b, 70_000.0)
    usual = mean(Asker(fleet(ALONE, MANY)))
    worst, turns = 0, 0
    while b.index.review_heap:
        worst, turns = max(worst, lines(ask.turn)), turns + 1
    assert turns == -(-(MANY - 10) // MAX_READMITTED_PER_CALL)
    assert worst < usual + 60 * MAX_READMITTED_PER_CALL
    check(b)
    while ask.out:
        ask.end()
    assert len({ask.arrive() for _ in range(2000)}) == 2000


def test_a_whole_fleet_that_comes_back_cold_is_taken_back_in_pieces_too() -> None:
    b = fleet(ALONE, MANY)
    for x in b.backends.values():
        ejected(x, 50_000.0)
        cold(x, 50_000.0)
        capacity.update_backend(b.state, x)
    ask = Asker(b, 51_000.5)
    assert lines(ask.turn) < 16 * MAX_READMITTED_PER_CALL * 60
    assert len(b.index.warming_up) == 16 * MAX_READMITTED_PER_CALL
    check(b)


def test_one_left_gets_all_and_none_left_refuses_all() -> None:
    b = fleet(ALONE, MANY)
    b.handle(50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry(names(MANY)[77])]))
    b.state.concurrency_limit = b.state.min_concurrency_limit = 1e9
    ask = Asker(b)
    assert {ask.arrive() for _ in range(50)} == {names(MANY)[77]}
    assert len(b.backends) == 1
    b.handle(50_002.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, []))
    assert [ask.arrive() for _ in range(50)] == [None] * 50
    while ask.out:
        ask.end()
    assert not (b.backends or b.index.order or b.index.window_size or b.requests or b.index.local_count)
    b.handle(50_003.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("new")]))
    assert ask.arrive() == "new"


def test_a_spill_to_other_zones_does_not_panic_while_anyone_is_eligible() -> None:
    """Guards against a draw of a few dozen that misses the few that are eligible and takes ejected ones."""
    b = fleet(replace(ALONE, prices=api.Prices(cross_zone=0.05)), MANY)
    left = names(MANY)[5000:5010]
    b.handle(
        50_000.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.INCREMENTAL, [entry(n, zone="b") for n in names(MANY)[5000:]]
        ),
    )
    for name, x in b.backends.items():
        if name not in left:
            ejected(x, 50_000.0)
            capacity.update_backend(b.state, x)
    ask = Asker(b)
    b.state.concurrency_limit = b.state.min_concurrency_limit = 1e9
    b.state.spillover = 1.0
    assert {ask.arrive() for _ in range(100)} <= set(left) and b.state.logged_at_ms < 0


# --- lists


def test_a_list_that_replaces_every_id_keeps_what_is_out() -> None:
    b = fleet(LIVE, MANY)
    ask = Asker(b)
    for _ in range(300):
        ask.arrive()
    old = {s.backend for s in ask.out}
    ejected(next(iter(b.backends.values())), 50_000.0)
    b.handle(
        50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry(n) for n in names(MANY, "t")])
    )
    check(b)
    assert len(b.backends) == MANY + len(old) and b.in_flight == 300
    assert all((name or "").startswith("t") for name in [ask.arrive() for _ in range(200)])
    while ask.out:
        ask.end()
    check(b)
    assert len(b.backends) == MANY and b.in_flight == 0 and not b.requests


def test_an_id_that_comes_back_has_the_request_that_was_out_all_along() -> None:
    b = fleet(ALONE, 3)
    ask = Asker(b)
    for _ in range(6):
        ask.arrive()
    one = names(3)[0]
    for phase in (api.Phase.REMOVED, api.Phase.UP, api.Phase.REMOVED):
        b.handle(
            50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(one, phase=phase)])
        )
    for _ in range(4):
        ask.arrive()
    assert b.backends[one].in_flight == 2 and not b.backends[one].is_in_window
    b.handle(50_002.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(one)]))
    assert b.backends[one].in_flight == b.backends[one].queue_estimate == 2  # the others have four
    assert [ask.arrive(), ask.arrive()] == [one, one]
    while ask.out:
        ask.end(report=IDLE)
    assert all(x.in_flight == x.queue_estimate == 0 for x in b.backends.values())
    check(b)


# --- estimates


def test_all_at_m_and_all_at_zero_spread_alike() -> None:
    for estimate in (0, 10**6):
        b = fleet(ALONE, MANY)
        for x in b.backends.values():
            x.queue_estimate = estimate
            capacity.update_backend(b.state, x)
        ask = Asker(b)
        usual = mean(Asker(fleet(ALONE, 10)))
        assert mean(ask) < 1.5 * usual
        got = Counter(ask.arrive() for _ in range(2000))
        assert max(got.values()) <= 1 + (estimate > 0) * 4  # at the cap at random, and none twice below it


def test_one_idle_sign_that_reaches_a_thousand_nodes_brings_no_herd() -> None:
    """Guards against all nodes that send to the one server that showed idle: few feed it, each sends one."""
    cfg = replace(ALONE, node_count=1000)
    nodes = [Asker(fleet(replace(cfg, node_index=me), 200, seed=me)) for me in range(1000)]
    for ask in nodes:
        for x in ask.b.backends.values():
            x.queue_estimate = 5
            capacity.update_backend(ask.b.state, x)
    one = names(200)[42]
    for ask in nodes:
        selection.apply_load_report(ask.b.state, ask.b.backends[one], IDLE, False)
        capacity.update_backend(ask.b.state, ask.b.backends[one])
    feeders = [ask for ask in nodes if ask.b.backends[one].is_in_window]
    assert 5 <= len(feeders) <= 30
    first = [ask.arrive() for ask in nodes]
    for ask in nodes:
        ask.end(report=BUSY)
    second = [ask.arrive() for ask in nodes]
    assert first.count(one) == len(feeders)
    assert second.count(one) < 0.7 * len(feeders)


# --- tables


def test_fifty_thousand_out_cost_no_more_than_a_few() -> None:
    b = fleet(ALONE, 1000)
    ask = Asker(b)
    early = mean(ask)
    while len(ask.out) < 50_000:
        ask.arrive()
    assert mean(ask) < 1.5 * early
    counts = [x.in_flight for x in b.backends.values()]
    assert min(counts) >= 49 and max(counts) <= 52 and b.in_flight == sum(counts) == 50_000
    while ask.out:
        ask.end(-1)
    assert not b.requests and not b.in_flight
    check(b)


def test_fifty_thousand_held_are_looked_at_in_pieces() -> None:
    b = fleet(ALONE, 1000)
    ask = Asker(b)
    for _ in range(3):
        ask.arrive()
    b.state.concurrency_limit = b.state.min_concurrency_limit = 3.0
    due = []
    for _ in range(50_000):
        ask.arrive()
        due += [a for a in ask.acts if isinstance(a, api.SetTimer)]
    assert len(b.queued) == len(due) == 50_000
    usual = lines(ask.arrive)
    b.handle(
        50_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [])
    )  # nobody left: none of them can be served
    assert lines(ask.end) < MAX_DEQUEUED_PER_EVENT * 2 * usual + 1000
    refused = len(answers(ask.acts))
    assert refused == MAX_DEQUEUED_PER_EVENT
    for timer in due:
        refused += len(answers(b.handle(timer.at_ms, api.TimerFired(timer.token))))
    assert refused == 50_001 and not b.queued and len(b.state.timers) == 1  # of the one that came last
    while ask.out:
        ask.end()
    assert not b.requests


def test_no_table_grows_with_arrivals() -> None:
    b = fleet(replace(ALONE, classes=(SAFE, replace(SAFE, name="dear", priority_weight=80.0))), 50)
    b.state.concurrency_limit = b.state.min_concurrency_limit = 60.0
    ask, rng = Asker(b), random.Random(5)
    most: Counter[str] = Counter()
    timers: list[api.SetTimer] = []
    for i in range(ARRIVALS):
        ask.now += 0.5
        ask.arrive("dear" if i % 9 == 0 else "read")
        timers += [a for a in ask.acts if isinstance(a, api.SetTimer)]
        while timers and timers[0].at_ms <= ask.now:
            ask.out += sends(b.handle(ask.now, api.TimerFired(timers.pop(0).token)))
        while len(ask.out) > 58 + i % 5:
            status = rng.choices(
                (api.AttemptStatus.OK, api.AttemptStatus.REJECTED, api.AttemptStatus.RESET), (90, 6, 4)
            )[0]
            ask.end(rng.randrange(len(ask.out)), status, rng.choice((IDLE, BUSY, None)))
        if i % 2000 == 0:
            heaps = [len(level.estimate_heap) for tier in b.index.tiers for level in tier.values()]
            now = {
                "requests": len(b.requests),
                "held": len(b.queued),
                "timers": len(b.state.timers),
                "heap": max(heaps, default=0),
                "away": len(b.index.review_heap),
                "backends": len(b.backends),
                "levels": sum(map(len, b.index.tiers)),
            }
            most |= Counter(now)
            check(b)
    assert (
        most["backends"] == 50
        and most["away"] <= 2 * 50 + MAX_READMITTED_PER_CALL
        and most["heap"] <= 2 * 50 + 17
    )
    assert most["requests"] < 1000 and most["held"] < 1000 and most["timers"] < 1000 and most["levels"] < 30
    assert b.index.review_heap or most["away"]


# --- zones and time


@pytest.mark.parametrize("zones", [1, 5, 200])
def test_near_ones_come_first_whatever_the_number_of_zones(zones: int) -> None:
    cfg = replace(ALONE, node_count=100, zone="z0", prices=api.Prices(cross_zone=0.05))
    b = Balancer(cfg, 1)
    all_ = [entry(n, zone=f"z{i % zones}") for i, n in enumerate(names(MANY))]
    b.handle(50_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, all_))
    assert b.index.local_count == MANY // zones
    check(b)
    b.state.spillover, b.state.concurrency_limit, b.state.min_concurrency_limit = 0.0, 1e9, 1e9
    ask = Asker(b)
    assert b.index.window_size == 500  # so a zone of 50 is in it as a whole
    sent = Counter(b.backends[ask.arrive() or ""].endpoint.zone for _ in range(500))
    assert sent["z0"] == min(500, b.index.local_count)
    b.state.spillover = 1.0
    far = [b.backends[ask.arrive() or ""].endpoint.zone for _ in range(200)]
    assert far.count("z0") == (0 if zones > 1 else 200)
    assert len(set(far)) > zones / 3 - 1


def test_a_near_zone_of_one_server_and_zones_that_empty_and_fill() -> None:
    cfg = replace(ALONE, node_count=100, zone="z0", prices=api.Prices(cross_zone=0.05))
    b = Balancer(cfg, 1)
    rest = [entry(n, zone=f"z{1 + i % 4}") for i, n in enumerate(names(999))]
    b.handle(
        50_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry("home", zone="z0"), *rest])
    )
    b.state.spillover, b.state.concurrency_limit, b.state.min_concurrency_limit = 0.0, 1e9, 1e9
    ask = Asker(b)
    assert b.index.local_count == 1 and b.index.order[0][2] == "home" and b.index.window_size == 50
    for phase, home in (
        (api.Phase.REMOVED, 0),
        (api.Phase.UP, 1),
        (api.Phase.DRAINING, 0),
        (api.Phase.UP, 1),
    ):
        b.handle(
            50_001.0,
            api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("home", zone="z0", phase=phase)]),
        )
        assert b.index.local_count == home
        check(b)
        got = {ask.arrive() for _ in range(50)}
        assert None not in got and ("home" in got) == bool(home) and len(got) == 50
        while ask.out:
            ask.end(report=IDLE)
    moved = [replace(e, zone="z0" if e.zone == "z1" else "z1") for e in rest if e.zone in ("z1", "z2")]
    b.handle(
        50_002.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, moved)
    )  # one fills another, one is no more
    check(b)
    assert b.index.local_count == 1 + sum(e.zone == "z0" for e in moved) > 200


def test_a_clock_that_stood_still_and_every_timer_at_once() -> None:
    b = fleet(replace(ALONE, max_attempts=3), 300)
    b.state.concurrency_limit = b.state.min_concurrency_limit = 80.0
    ask, rng = Asker(b), random.Random(6)
    timers: list[int] = []
    ended: Counter[str] = Counter()

    def told() -> None:
        timers.extend(a.token for a in ask.acts if isinstance(a, api.SetTimer))
        ended.update(a.request for a in answers(ask.acts))

    for _ in range(2000):  # all in the same moment
        ask.arrive()
        told()
        if len(ask.out) > 90:
            one = ask.out.pop(rng.randrange(len(ask.out)))
            tried = len(b.requests[one.request].attempts) - 1
            status = rng.choice(
                (
                    api.AttemptStatus.OK,
                    api.AttemptStatus.OK,
                    api.AttemptStatus.REJECTED,
                    api.AttemptStatus.RESET,
                )
            )
            ended[one.request] += status is api.AttemptStatus.OK
            closed = status is api.AttemptStatus.OK
            ask.acts = b.handle(
                ask.now, api.AttemptFinished(one.request, tried, one.backend, status, 0.0, closed, BUSY)
            )
            ask.out += sends(ask.acts)
            told()
    check(b)
    assert timers and b.queued
    ask.now += 60_000.0
    for token in timers:
        ask.acts = b.handle(ask.now, api.TimerFired(token))
        assert not sends(ask.acts)
        told()
    check(b)
    assert not b.queued and not b.state.timers
    for one in ask.out:
        tried = len(b.requests[one.request].attempts) - 1
        b.handle(
            ask.now,
            api.AttemptFinished(one.request, tried, one.backend, api.AttemptStatus.OK, 60_000.0, True, IDLE),
        )
        ended[one.request] += 1
    assert set(ended.values()) == {1} and len(ended) == 2000 and not b.requests
    check(b)


def test_answers_that_take_no_time_are_learned_from() -> None:
    """Guards against times and weights reckoned by a usual time that has come to nothing."""
    b = fleet(ALONE, 4)
    for i in range(8_000):
        sent = sends(b.handle(50_000.0, api.RequestArrived(f"r{i}", "read", 51_000.0)))[0]
        b.handle(
            50_000.0,
            api.AttemptFinished(sent.request, 0, sent.backend, api.AttemptStatus.OK, 0.0, True, IDLE),
        )
    assert b.classes["read"].expected_latency_ms > 1e-6
    ask = Asker(b)
    while len(ask.out) < 8:
        ask.arrive()
    while ask.out:
        ask.end()
    for x in b.backends.values():
        capped(x, 50_000.0)
        capacity.update_backend(b.state, x)
    assert {ask.arrive() for _ in range(50)} == set(b.backends)
