"""Cost per event with large fleets, and edge cases of fleets of thousands of backends.

Cost is counted in executed lines of the package, which is the same on every machine; it does not include work
inside C code (inserting into a list, sorting). Measured times are in benchmarks/decision_cost.py, as is the
run of a million arrivals, which is one of 100,000 here.
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
from tests.policy.test_backend_index import check_index

SINGLE_NODE = replace(BASE, classes=(SAFE,), max_attempts=1)
LIVE_WEIGHTS = replace(SINGLE_NODE, has_weights=True, has_live_weights=True)
LARGE_FLEET_SIZE = 10_000
ARRIVALS = 100_000
IDLE, BUSY = api.LoadReport(0.0, 0.0), api.LoadReport(3.0, 2.0)


def names(count: int, letter: str = "s") -> list[str]:
    """Return the names of a fleet."""
    return [f"{letter}{i:05d}" for i in range(count)]


def fleet(config: api.Settings, count: int, seed: int = 1, **overrides: Any) -> Balancer:
    """Return a node at the clock time 50,000, with a complete list of warm backends and no binding limit."""
    balancer = Balancer(config, seed)
    balancer.handle(
        50_000.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry(n, **overrides) for n in names(count)]),
    )
    balancer.state.concurrency_limit = balancer.state.min_concurrency_limit = 1e9
    return balancer


class RequestDriver:
    """Sends requests through a node and keeps track of the attempts in flight."""

    def __init__(self, balancer: Balancer, now: float = 50_000.0) -> None:
        self.balancer, self.now, self.request_count = balancer, now, 0
        self.in_flight: list[api.SendAttempt] = []
        self.actions: list[api.Action] = []

    def arrive(self, cls: str = "read") -> str | None:
        """Send one request; returns the backend it goes to."""
        self.request_count += 1
        self.actions = self.balancer.handle(
            self.now, api.RequestArrived(f"r{self.request_count}", cls, self.now + 1000.0)
        )
        self.in_flight += sends(self.actions)
        return sends(self.actions)[0].backend if sends(self.actions) else None

    def finish(
        self,
        at: int = 0,
        status: api.AttemptStatus = api.AttemptStatus.OK,
        report: api.LoadReport | None = BUSY,
    ) -> None:
        """Finish one attempt."""
        one = self.in_flight.pop(at)
        closed = status is api.AttemptStatus.OK
        outcome = api.AttemptFinished(one.request, 0, one.backend, status, 20.0, closed, report)
        self.actions = self.balancer.handle(self.now, outcome)
        self.in_flight += sends(self.actions)

    def arrive_and_finish(self) -> None:
        """Let one request arrive and the oldest attempt finish."""
        self.now += 1.0
        self.arrive()
        if self.in_flight:
            self.finish(report=IDLE)


def count_lines(call: Callable[[], object]) -> int:
    """Count the lines of the package that a call executes, with each iteration of a loop."""
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


def mean_line_count(driver: RequestDriver, count: int = 150) -> float:
    """Return the mean number of lines of one arrival and one outcome."""
    return sum(count_lines(driver.arrive_and_finish) for _ in range(count)) / count


# --- cost


@pytest.mark.parametrize("group_size", [1, 20])
@pytest.mark.parametrize("out", [1, 512])
def test_request_cost_does_not_grow_with_fleet(group_size: int, out: int) -> None:
    cost = []
    for size in (10, LARGE_FLEET_SIZE):
        driver = RequestDriver(fleet(replace(SINGLE_NODE, node_count=group_size), size))
        for _ in range(out):
            driver.arrive()
        cost.append(mean_line_count(driver))
    assert cost[1] < 1.5 * cost[0], cost


def test_cost_of_retry_bound_to_group_does_not_grow_with_fleet() -> None:
    """Guards against copying all backends of the group, and against drawing more than are examined."""
    cost = []
    for size in (300, LARGE_FLEET_SIZE):
        driver = RequestDriver(fleet(replace(SINGLE_NODE, classes=(KEYED,), max_attempts=2), size))
        total = 0
        for i in range(30):
            (
                driver.balancer.state.retry_tokens,
                driver.balancer.state.success_rate,
                driver.balancer.state.failure_rate,
            ) = 3.0, 1.0, 0.5
            driver.arrive("pay")
            bound = retries.bound_backends(
                driver.balancer.state,
                Request(
                    "r", driver.balancer.classes["pay"], None, 0.0, 0.0, False, [attempt(driver.balancer)]
                ),
            )
            assert (
                bound is driver.balancer.index.groups[api.DeduplicationScope.ZONE, "a"].items
                and len(bound) == size
            )
            one = driver.in_flight.pop()
            failure = api.AttemptFinished(one.request, 0, one.backend, api.AttemptStatus.RESET, 5.0, False)

            def finish_for_retry(
                driver: RequestDriver = driver, failure: api.AttemptFinished = failure
            ) -> None:
                driver.actions = driver.balancer.handle(driver.now, failure)

            total += count_lines(finish_for_retry)
            assert len(sends(driver.actions)) == 1, i
        cost.append(total)
    assert cost[1] < 1.2 * cost[0], cost


def attempt(balancer: Balancer) -> Attempt:
    """Return an attempt that may have been executed."""
    backend = next(iter(balancer.backends.values()))
    return Attempt(backend, backend.endpoint, balancer.state.now_ms, True, api.AttemptStatus.RESET)


def test_list_change_cost_does_not_grow_with_fleet() -> None:
    cost = []
    for size in (10, LARGE_FLEET_SIZE):
        balancer = fleet(LIVE_WEIGHTS, size)
        some = names(size)[:10]

        def update(entries: list[api.Endpoint], balancer: Balancer = balancer) -> Callable[[], object]:
            return lambda: balancer.handle(
                50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, entries)
            )

        cost.append(
            [
                count_lines(update([entry(n, weight=0.3) for n in some])),
                count_lines(update([entry(n, phase=api.Phase.DRAINING) for n in some[:5]])),
                count_lines(update([entry(n, phase=api.Phase.REMOVED) for n in some[:5]])),
                count_lines(update([entry(n) for n in some[:5]])),
                count_lines(update([entry(n, zone="b") for n in some[:5]])),
            ]
        )
    assert all(large < 1.5 * small for small, large in zip(*cost, strict=True)), cost


def test_batch_of_changes_costs_no_more_than_single_changes() -> None:
    one_by_one, batch = fleet(LIVE_WEIGHTS, LARGE_FLEET_SIZE), fleet(LIVE_WEIGHTS, LARGE_FLEET_SIZE)
    rng = random.Random(3)
    some = [entry(n, weight=rng.choice([0.5, 2.0]), phase=rng.choice(list(api.Phase))) for n in names(1000)]
    for balancer in (one_by_one, batch):
        RequestDriver(balancer).arrive()
    singles = [api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [e]) for e in some]
    single_cost = count_lines(lambda: [one_by_one.handle(50_001.0, update) for update in singles])
    batch_cost = count_lines(
        lambda: batch.handle(50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, some))
    )
    assert batch_cost <= single_cost
    check_index(batch)
    assert {n: (x.endpoint, x.in_flight) for n, x in one_by_one.backends.items()} == {
        n: (x.endpoint, x.in_flight) for n, x in batch.backends.items()
    }


def test_batch_of_weights_leaves_queued_requests_alone() -> None:
    balancer = fleet(LIVE_WEIGHTS, LARGE_FLEET_SIZE)
    balancer.state.concurrency_limit = balancer.state.min_concurrency_limit = 0.0
    driver = RequestDriver(balancer)
    for _ in range(500):
        driver.arrive()
    assert len(balancer.queued) == 500 and not driver.in_flight
    endpoints = [entry(n, weight=0.25 + i % 4) for i, n in enumerate(names(LARGE_FLEET_SIZE))]
    cost = count_lines(
        lambda: balancer.handle(50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, endpoints))
    )
    small = fleet(LIVE_WEIGHTS, 10)
    few = count_lines(
        lambda: small.handle(
            50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, endpoints[:10])
        )
    )
    assert cost / LARGE_FLEET_SIZE < 1.5 * few / 10
    assert (
        len(balancer.queued) == 500
        and sum(r.backend_count for r in balancer.state.capacity_by_kind.values()) == LARGE_FLEET_SIZE
    )
    check_index(balancer)


# --- few eligible backends


def eject(backend: Backend, now: float) -> None:
    """Eject a backend for a second."""
    backend.ejected_until_ms = now + 1000.0


def restart(backend: Backend, now: float) -> None:
    """Restart a backend now; it is warm in ten seconds."""
    backend.endpoint = replace(backend.endpoint, started_at_ms=now)


def overload(backend: Backend, now: float) -> None:
    """Give a backend nine attempts of this node in flight."""
    backend.in_flight = backend.queue_estimate = 9


def raise_to_cap(backend: Backend, now: float) -> None:
    """Raise the queue estimate of a backend to the cap."""
    backend.queue_estimate = 10**6


@pytest.mark.parametrize("exclude", [eject, restart, overload, raise_to_cap])
def test_few_eligible_backends_are_found_at_usual_cost(exclude: Callable[..., None]) -> None:
    balancer = fleet(replace(SINGLE_NODE, overload_multiple=0.0), LARGE_FLEET_SIZE)
    usual = mean_line_count(RequestDriver(fleet(SINGLE_NODE, LARGE_FLEET_SIZE)))
    left = set(random.Random(4).sample(names(LARGE_FLEET_SIZE), 10))
    for name, backend in balancer.backends.items():
        if name not in left:
            exclude(backend, 50_000.0)
            capacity.update_backend(balancer.state, backend)
    check_index(balancer)
    driver = RequestDriver(balancer)
    driver.arrive_and_finish()
    assert mean_line_count(driver) < 1.5 * usual
    for _ in range(4):
        assert {driver.arrive() for _ in range(10)} == left
        while driver.in_flight:
            driver.finish(report=IDLE)
    assert not balancer.queued and balancer.state.logged_at_ms < 0  # no panic


@pytest.mark.parametrize("exclude", [eject, restart])
def test_readmission_of_many_at_once_is_bounded_per_call(exclude: Callable[..., None]) -> None:
    balancer = fleet(replace(SINGLE_NODE, overload_multiple=0.0), LARGE_FLEET_SIZE)
    left = set(names(LARGE_FLEET_SIZE)[:10])
    for name, backend in balancer.backends.items():
        if name not in left:
            exclude(backend, 50_000.0)
            capacity.update_backend(balancer.state, backend)
    balancer.index.decisions.clear()  # as after the event that excluded them
    driver = RequestDriver(balancer, 70_000.0)
    usual = mean_line_count(RequestDriver(fleet(SINGLE_NODE, LARGE_FLEET_SIZE)))
    worst, turns = 0, 0
    while balancer.index.review_heap:
        worst, turns = max(worst, count_lines(driver.arrive_and_finish)), turns + 1
    assert turns == -(-(LARGE_FLEET_SIZE - 10) // MAX_READMITTED_PER_CALL)
    assert worst < usual + 60 * MAX_READMITTED_PER_CALL
    check_index(balancer)
    while driver.in_flight:
        driver.finish()
    assert len({driver.arrive() for _ in range(2000)}) == 2000


def test_readmission_of_warming_up_fleet_is_bounded_per_call() -> None:
    balancer = fleet(SINGLE_NODE, LARGE_FLEET_SIZE)
    for backend in balancer.backends.values():
        eject(backend, 50_000.0)
        restart(backend, 50_000.0)
        capacity.update_backend(balancer.state, backend)
    driver = RequestDriver(balancer, 51_000.5)
    assert count_lines(driver.arrive_and_finish) < 16 * MAX_READMITTED_PER_CALL * 60
    assert len(balancer.index.warming_up) == 16 * MAX_READMITTED_PER_CALL
    check_index(balancer)


def test_shrunk_fleet_sends_to_last_backend_and_rejects_without_one() -> None:
    balancer = fleet(SINGLE_NODE, LARGE_FLEET_SIZE)
    balancer.handle(
        50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry(names(LARGE_FLEET_SIZE)[77])])
    )
    balancer.state.concurrency_limit = balancer.state.min_concurrency_limit = 1e9
    driver = RequestDriver(balancer)
    assert {driver.arrive() for _ in range(50)} == {names(LARGE_FLEET_SIZE)[77]}
    assert len(balancer.backends) == 1
    balancer.handle(50_002.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, []))
    assert [driver.arrive() for _ in range(50)] == [None] * 50
    while driver.in_flight:
        driver.finish()
    assert not (
        balancer.backends
        or balancer.index.order
        or balancer.index.window_size
        or balancer.requests
        or balancer.index.local_count
    )
    balancer.handle(50_003.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("new")]))
    assert driver.arrive() == "new"


def test_spillover_with_few_eligible_backends_does_not_panic() -> None:
    """A draw of a few dozen may miss the few eligible backends; it must not fall back to ejected ones."""
    balancer = fleet(replace(SINGLE_NODE, prices=api.Prices(cross_zone=0.05)), LARGE_FLEET_SIZE)
    left = names(LARGE_FLEET_SIZE)[5000:5010]
    balancer.handle(
        50_000.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.INCREMENTAL, [entry(n, zone="b") for n in names(LARGE_FLEET_SIZE)[5000:]]
        ),
    )
    for name, backend in balancer.backends.items():
        if name not in left:
            eject(backend, 50_000.0)
            capacity.update_backend(balancer.state, backend)
    driver = RequestDriver(balancer)
    balancer.state.concurrency_limit = balancer.state.min_concurrency_limit = 1e9
    balancer.state.spillover = 1.0
    assert {driver.arrive() for _ in range(100)} <= set(left) and balancer.state.logged_at_ms < 0


# --- lists


def test_list_with_all_names_replaced_keeps_attempts_in_flight() -> None:
    balancer = fleet(LIVE_WEIGHTS, LARGE_FLEET_SIZE)
    driver = RequestDriver(balancer)
    for _ in range(300):
        driver.arrive()
    old = {s.backend for s in driver.in_flight}
    eject(next(iter(balancer.backends.values())), 50_000.0)
    balancer.handle(
        50_001.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.SNAPSHOT, [entry(n) for n in names(LARGE_FLEET_SIZE, "t")]
        ),
    )
    check_index(balancer)
    assert len(balancer.backends) == LARGE_FLEET_SIZE + len(old) and balancer.in_flight == 300
    assert all((name or "").startswith("t") for name in [driver.arrive() for _ in range(200)])
    while driver.in_flight:
        driver.finish()
    check_index(balancer)
    assert len(balancer.backends) == LARGE_FLEET_SIZE and balancer.in_flight == 0 and not balancer.requests


def test_backend_listed_again_keeps_its_attempts_in_flight() -> None:
    balancer = fleet(SINGLE_NODE, 3)
    driver = RequestDriver(balancer)
    for _ in range(6):
        driver.arrive()
    one = names(3)[0]
    for phase in (api.Phase.REMOVED, api.Phase.UP, api.Phase.REMOVED):
        balancer.handle(
            50_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(one, phase=phase)])
        )
    for _ in range(4):
        driver.arrive()
    assert balancer.backends[one].in_flight == 2 and not balancer.backends[one].is_in_window
    balancer.handle(50_002.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(one)]))
    # The other backends have four.
    assert balancer.backends[one].in_flight == balancer.backends[one].queue_estimate == 2
    assert [driver.arrive(), driver.arrive()] == [one, one]
    while driver.in_flight:
        driver.finish(report=IDLE)
    assert all(x.in_flight == x.queue_estimate == 0 for x in balancer.backends.values())
    check_index(balancer)


# --- estimates


def test_choice_with_equal_estimates_spreads_evenly() -> None:
    for estimate in (0, 10**6):
        balancer = fleet(SINGLE_NODE, LARGE_FLEET_SIZE)
        for backend in balancer.backends.values():
            backend.queue_estimate = estimate
            capacity.update_backend(balancer.state, backend)
        driver = RequestDriver(balancer)
        usual = mean_line_count(RequestDriver(fleet(SINGLE_NODE, 10)))
        assert mean_line_count(driver) < 1.5 * usual
        got = Counter(driver.arrive() for _ in range(2000))
        assert max(got.values()) <= 1 + (estimate > 0) * 4  # random at the cap; below it no backend gets two


def test_idle_report_to_many_nodes_causes_no_herd() -> None:
    """Not all nodes may send to the one backend that reported idle: few use it, each sends one request."""
    config = replace(SINGLE_NODE, node_count=1000)
    nodes = [RequestDriver(fleet(replace(config, node_index=me), 200, seed=me)) for me in range(1000)]
    for driver in nodes:
        for backend in driver.balancer.backends.values():
            backend.queue_estimate = 5
            capacity.update_backend(driver.balancer.state, backend)
    one = names(200)[42]
    for driver in nodes:
        selection.apply_load_report(driver.balancer.state, driver.balancer.backends[one], IDLE, False)
        capacity.update_backend(driver.balancer.state, driver.balancer.backends[one])
    users = [driver for driver in nodes if driver.balancer.backends[one].is_in_window]
    assert 5 <= len(users) <= 30
    first = [driver.arrive() for driver in nodes]
    for driver in nodes:
        driver.finish(report=BUSY)
    second = [driver.arrive() for driver in nodes]
    assert first.count(one) == len(users)
    assert second.count(one) < 0.7 * len(users)


# --- tables


def test_request_cost_does_not_grow_with_attempts_in_flight() -> None:
    balancer = fleet(SINGLE_NODE, 1000)
    driver = RequestDriver(balancer)
    early = mean_line_count(driver)
    while len(driver.in_flight) < 50_000:
        driver.arrive()
    assert mean_line_count(driver) < 1.5 * early
    counts = [x.in_flight for x in balancer.backends.values()]
    assert min(counts) >= 49 and max(counts) <= 52 and balancer.in_flight == sum(counts) == 50_000
    while driver.in_flight:
        driver.finish(-1)
    assert not balancer.requests and not balancer.in_flight
    check_index(balancer)


def test_dequeue_of_many_requests_is_bounded_per_event() -> None:
    balancer = fleet(SINGLE_NODE, 1000)
    driver = RequestDriver(balancer)
    for _ in range(3):
        driver.arrive()
    balancer.state.concurrency_limit = balancer.state.min_concurrency_limit = 3.0
    due = []
    for _ in range(50_000):
        driver.arrive()
        due += [a for a in driver.actions if isinstance(a, api.SetTimer)]
    assert len(balancer.queued) == len(due) == 50_000
    usual = count_lines(driver.arrive)
    balancer.handle(
        50_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [])
    )  # no backend is left: no request can be served
    assert count_lines(driver.finish) < MAX_DEQUEUED_PER_EVENT * 2 * usual + 1000
    refused = len(answers(driver.actions))
    assert refused == MAX_DEQUEUED_PER_EVENT
    for timer in due:
        refused += len(answers(balancer.handle(timer.at_ms, api.TimerFired(timer.token))))
    # The remaining timer is that of the last request.
    assert refused == 50_001 and not balancer.queued and len(balancer.state.timers) == 1
    while driver.in_flight:
        driver.finish()
    assert not balancer.requests


def test_tables_do_not_grow_with_arrivals() -> None:
    balancer = fleet(
        replace(SINGLE_NODE, classes=(SAFE, replace(SAFE, name="dear", priority_weight=80.0))), 50
    )
    balancer.state.concurrency_limit = balancer.state.min_concurrency_limit = 60.0
    driver, rng = RequestDriver(balancer), random.Random(5)
    most: Counter[str] = Counter()
    timers: list[api.SetTimer] = []
    for i in range(ARRIVALS):
        driver.now += 0.5
        driver.arrive("dear" if i % 9 == 0 else "read")
        timers += [a for a in driver.actions if isinstance(a, api.SetTimer)]
        while timers and timers[0].at_ms <= driver.now:
            driver.in_flight += sends(balancer.handle(driver.now, api.TimerFired(timers.pop(0).token)))
        while len(driver.in_flight) > 58 + i % 5:
            status = rng.choices(
                (api.AttemptStatus.OK, api.AttemptStatus.REJECTED, api.AttemptStatus.RESET), (90, 6, 4)
            )[0]
            driver.finish(rng.randrange(len(driver.in_flight)), status, rng.choice((IDLE, BUSY, None)))
        if i % 2000 == 0:
            heaps = [len(level.estimate_heap) for tier in balancer.index.tiers for level in tier.values()]
            now = {
                "requests": len(balancer.requests),
                "held": len(balancer.queued),
                "timers": len(balancer.state.timers),
                "heap": max(heaps, default=0),
                "away": len(balancer.index.review_heap),
                "backends": len(balancer.backends),
                "levels": sum(map(len, balancer.index.tiers)),
            }
            most |= Counter(now)
            check_index(balancer)
    assert (
        most["backends"] == 50
        and most["away"] <= 2 * 50 + MAX_READMITTED_PER_CALL
        and most["heap"] <= 2 * 50 + 17
    )
    assert most["requests"] < 1000 and most["held"] < 1000 and most["timers"] < 1000 and most["levels"] < 30
    assert balancer.index.review_heap or most["away"]


# --- zones and time


@pytest.mark.parametrize("zones", [1, 5, 200])
def test_local_backends_come_first_for_any_number_of_zones(zones: int) -> None:
    config = replace(SINGLE_NODE, node_count=100, zone="z0", prices=api.Prices(cross_zone=0.05))
    balancer = Balancer(config, 1)
    all_ = [entry(n, zone=f"z{i % zones}") for i, n in enumerate(names(LARGE_FLEET_SIZE))]
    balancer.handle(50_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, all_))
    assert balancer.index.local_count == LARGE_FLEET_SIZE // zones
    check_index(balancer)
    balancer.state.spillover, balancer.state.concurrency_limit, balancer.state.min_concurrency_limit = (
        0.0,
        1e9,
        1e9,
    )
    driver = RequestDriver(balancer)
    assert balancer.index.window_size == 500  # so it contains a whole zone of 50
    sent = Counter(balancer.backends[driver.arrive() or ""].endpoint.zone for _ in range(500))
    assert sent["z0"] == min(500, balancer.index.local_count)
    balancer.state.spillover = 1.0
    far = [balancer.backends[driver.arrive() or ""].endpoint.zone for _ in range(200)]
    assert far.count("z0") == (0 if zones > 1 else 200)
    assert len(set(far)) > zones / 3 - 1


def test_local_zone_of_one_backend_follows_list_changes() -> None:
    config = replace(SINGLE_NODE, node_count=100, zone="z0", prices=api.Prices(cross_zone=0.05))
    balancer = Balancer(config, 1)
    rest = [entry(n, zone=f"z{1 + i % 4}") for i, n in enumerate(names(999))]
    balancer.handle(
        50_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry("home", zone="z0"), *rest])
    )
    balancer.state.spillover, balancer.state.concurrency_limit, balancer.state.min_concurrency_limit = (
        0.0,
        1e9,
        1e9,
    )
    driver = RequestDriver(balancer)
    assert (
        balancer.index.local_count == 1
        and balancer.index.order[0][2] == "home"
        and balancer.index.window_size == 50
    )
    for phase, home in (
        (api.Phase.REMOVED, 0),
        (api.Phase.UP, 1),
        (api.Phase.DRAINING, 0),
        (api.Phase.UP, 1),
    ):
        balancer.handle(
            50_001.0,
            api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("home", zone="z0", phase=phase)]),
        )
        assert balancer.index.local_count == home
        check_index(balancer)
        got = {driver.arrive() for _ in range(50)}
        assert None not in got and ("home" in got) == bool(home) and len(got) == 50
        while driver.in_flight:
            driver.finish(report=IDLE)
    moved = [replace(e, zone="z0" if e.zone == "z1" else "z1") for e in rest if e.zone in ("z1", "z2")]
    balancer.handle(
        50_002.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, moved)
    )  # one zone grows, another disappears
    check_index(balancer)
    assert balancer.index.local_count == 1 + sum(e.zone == "z0" for e in moved) > 200


def test_timers_all_due_after_stalled_clock_close_every_request_once() -> None:
    balancer = fleet(replace(SINGLE_NODE, max_attempts=3), 300)
    balancer.state.concurrency_limit = balancer.state.min_concurrency_limit = 80.0
    driver, rng = RequestDriver(balancer), random.Random(6)
    timers: list[int] = []
    ended: Counter[str] = Counter()

    def record_actions() -> None:
        timers.extend(a.token for a in driver.actions if isinstance(a, api.SetTimer))
        ended.update(a.request for a in answers(driver.actions))

    for _ in range(2000):  # all at the same time
        driver.arrive()
        record_actions()
        if len(driver.in_flight) > 90:
            one = driver.in_flight.pop(rng.randrange(len(driver.in_flight)))
            tried = len(balancer.requests[one.request].attempts) - 1
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
            driver.actions = balancer.handle(
                driver.now, api.AttemptFinished(one.request, tried, one.backend, status, 0.0, closed, BUSY)
            )
            driver.in_flight += sends(driver.actions)
            record_actions()
    check_index(balancer)
    assert timers and balancer.queued
    driver.now += 60_000.0
    for token in timers:
        driver.actions = balancer.handle(driver.now, api.TimerFired(token))
        assert not sends(driver.actions)
        record_actions()
    check_index(balancer)
    assert not balancer.queued and not balancer.state.timers
    for one in driver.in_flight:
        tried = len(balancer.requests[one.request].attempts) - 1
        balancer.handle(
            driver.now,
            api.AttemptFinished(one.request, tried, one.backend, api.AttemptStatus.OK, 60_000.0, True, IDLE),
        )
        ended[one.request] += 1
    assert set(ended.values()) == {1} and len(ended) == 2000 and not balancer.requests
    check_index(balancer)


def test_expected_latency_after_zero_latencies_stays_positive() -> None:
    """Timeouts and weights are divided by the expected latency, which must not fall to zero."""
    balancer = fleet(SINGLE_NODE, 4)
    for i in range(8_000):
        sent = sends(balancer.handle(50_000.0, api.RequestArrived(f"r{i}", "read", 51_000.0)))[0]
        balancer.handle(
            50_000.0,
            api.AttemptFinished(sent.request, 0, sent.backend, api.AttemptStatus.OK, 0.0, True, IDLE),
        )
    assert balancer.classes["read"].expected_latency_ms > 1e-6
    driver = RequestDriver(balancer)
    while len(driver.in_flight) < 8:
        driver.arrive()
    while driver.in_flight:
        driver.finish()
    for backend in balancer.backends.values():
        raise_to_cap(backend, 50_000.0)
        capacity.update_backend(balancer.state, backend)
    assert {driver.arrive() for _ in range(50)} == set(balancer.backends)
