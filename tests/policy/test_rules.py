"""The four protocol rules: corner cases, adverse event orders, and mutants that the checker must catch."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.policy import balancer as balancer_module
from balancer.policy import retries, routing, slow_start, subsetting
from balancer.policy.balancer import Balancer
from balancer.policy.state import NodeState
from tests.helpers import (
    BASE,
    KEYED,
    LOOKING,
    SAFE,
    ColdBudget,
    RuleChecker,
    answers,
    entry,
    node,
    sends,
)

FAILURES = [s for s in api.AttemptStatus if s is not api.AttemptStatus.OK]


def drive(config: api.Settings, seed: int, steps: int = 120) -> RuleChecker:
    """Feed one node a valid but adverse sequence of events; the checker verifies every action."""
    rng = random.Random(seed)
    names = [f"b{i}" for i in range(rng.randint(1, 9))]
    phases = [api.Phase.UP, api.Phase.UP, api.Phase.UP, api.Phase.DRAINING, api.Phase.REMOVED]
    balancer, check, now = Balancer(config, seed), RuleChecker(config), 5000.0
    timers: list[tuple[float, int]] = []
    in_flight: list[tuple[str, int, str, float]] = []
    probes: list[str] = []

    def random_endpoint(name: str) -> api.Endpoint:
        return entry(
            name,
            zone=rng.choice("ab"),
            cell=rng.randint(0, 2),
            phase=rng.choice(phases),
            started_at_ms=rng.choice([0.0, now - rng.uniform(0, 8000)]),
        )

    def handle(event: api.Event) -> None:
        check.event(now, event)
        actions = balancer.handle(now, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                timers.append((action.at_ms, action.token))
            elif isinstance(action, api.SendProbe):
                probes.append(action.backend)
            elif isinstance(action, api.SendAttempt):
                count = len(check.seen[action.request].attempts)
                until = check.seen[action.request].deadline
                if action.timeout_ms > 0:
                    until = min(until, now + action.timeout_ms)
                in_flight.append((action.request, count, action.backend, until))
        check.actions(now, actions)

    def finish_attempt(index: int, status: api.AttemptStatus) -> None:
        request_id, number, backend, _ = in_flight.pop(index)
        closed = check.seen[request_id].ended or status is api.AttemptStatus.OK
        load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(float(rng.randint(0, 30)), 0.0)])
        handle(api.AttemptFinished(request_id, number, backend, status, rng.uniform(0, 500), closed, load))

    handle(api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [random_endpoint(n) for n in names]))
    for step in range(steps):
        roll = rng.random()
        if roll < 0.35:
            request_class = rng.choice(config.classes)
            hint = rng.choice([None, rng.uniform(1, 900)])
            remaining_ms = request_class.deadline_ms * rng.uniform(0.1, 1.0)
            handle(
                api.RequestArrived(
                    f"r{step}", request_class.name, now + remaining_ms, rng.random() < 0.3, work_hint=hint
                )
            )
        elif roll < 0.6 and in_flight:
            finish_attempt(rng.randrange(len(in_flight)), rng.choice([*FAILURES, api.AttemptStatus.OK]))
        elif roll < 0.75 and probes:
            load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(7.0, 2.0)])
            handle(
                api.ProbeFinished(
                    probes.pop(rng.randrange(len(probes))), rng.choice(list(api.AttemptStatus)), 1.0, load
                )
            )
        elif roll < 0.85:
            kinds = [
                api.EndpointUpdateKind.INCREMENTAL,
                api.EndpointUpdateKind.SNAPSHOT,
                api.EndpointUpdateKind.FAILED,
            ]
            pool = [*names, f"n{step}"]
            some = rng.sample(pool, rng.randint(0, len(pool)))
            update_kind = rng.choice(kinds)
            handle(
                api.EndpointsUpdated(
                    update_kind,
                    []
                    if update_kind is api.EndpointUpdateKind.FAILED
                    else [random_endpoint(n) for n in some],
                )
            )
        elif roll < 0.9 and check.seen:
            handle(api.ClientLeft(rng.choice(sorted(check.seen))))
        next_step_ms = now + rng.choice([0.0, 1.0, 20.0, 300.0])
        while True:  # due timers and attempts are handled in order
            next_timer = min(timers, default=(next_step_ms + 1, -1))
            next_attempt_end = min(
                ((u, i) for i, (_, _, _, u) in enumerate(in_flight)), default=(next_step_ms + 1, -1)
            )
            if min(next_timer[0], next_attempt_end[0]) > next_step_ms:
                break
            if next_timer[0] <= next_attempt_end[0]:
                timers.remove(next_timer)
                now = max(now, next_timer[0])
                handle(api.TimerFired(next_timer[1]))
            else:
                now = max(now, next_attempt_end[0])
                finish_attempt(next_attempt_end[1], api.AttemptStatus.TIMEOUT)
        now = next_step_ms
        assert not check.overdue(now), f"rule 1: no answer for {check.overdue(now)}"
    return check


VARIANTS = [
    BASE,
    LOOKING,
    replace(BASE, may_hedge=False, max_attempts=4),
    replace(LOOKING, may_hedge=False, must_poll=True),
    replace(
        LOOKING, classes=(replace(KEYED, deduplication_scope=api.DeduplicationScope.CELL), BASE.classes[2])
    ),
    replace(
        BASE,
        classes=(
            replace(KEYED, deduplication_scope=api.DeduplicationScope.ALL),
            replace(SAFE, late_priority_weight=0.5),
        ),
    ),
    replace(BASE, node_count=300, has_weights=True, load_report_source=api.LoadReportSource.NONE),
]


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 10**9), st.sampled_from(VARIANTS))
def test_rules_hold_on_hostile_event_orders(seed: int, cfg: api.Settings) -> None:
    assert drive(cfg, seed).seen is not None


def _assert_checker_fails(config: api.Settings, match: str) -> None:
    with pytest.raises(AssertionError, match=match):
        for seed in range(300):
            drive(config, seed)


def test_checker_without_retry_guard_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(retries, "may_attempt", lambda state, request, backend: True)
    _assert_checker_fails(BASE, "rule 2")


def test_checker_without_drain_guard_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    original = subsetting.update_endpoints

    def ignore_phases(state: NodeState, event: api.EndpointsUpdated) -> None:
        original(
            state, api.EndpointsUpdated(event.kind, [replace(e, phase=api.Phase.UP) for e in event.endpoints])
        )

    monkeypatch.setitem(balancer_module.HANDLERS, api.EndpointsUpdated, ignore_phases)
    _assert_checker_fails(replace(BASE, drain_grace_ms=0.0), "rule 3")


def test_checker_without_answer_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(routing, "retry", lambda state, request: None)
    _assert_checker_fails(BASE, "rule 1")


def test_checker_without_start_limit_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(retries, "start_before_ms", lambda state, request: math.inf)
    _assert_checker_fails(BASE, "rule 2")


def test_keyed_retry_has_start_limit() -> None:
    """It counts from the first attempt that may have been executed; proven non-executions do not limit it."""
    for effect, first, bound in (
        (api.Idempotency.KEYED, api.AttemptStatus.RESET, True),
        (api.Idempotency.KEYED, api.AttemptStatus.REJECTED, False),
        (api.Idempotency.IDEMPOTENT, api.AttemptStatus.RESET, False),
        (api.Idempotency.NON_IDEMPOTENT, api.AttemptStatus.REJECTED, False),
    ):
        balancer = node(replace(BASE, classes=(replace(KEYED, idempotency=effect),)), ["x", "y", "z"])
        sent = sends(balancer.handle(1000.0, api.RequestArrived("r", "pay", 2000.0)))
        assert sent[0].start_before_ms == math.inf
        for number, status in enumerate((first, api.AttemptStatus.NOT_STARTED)):
            now = 1010.0 + 10 * number
            sent = sends(
                balancer.handle(now, api.AttemptFinished("r", number, sent[0].backend, status, 1.0, False))
            )
            end = 1000.0 + KEYED.deduplication_window_ms - 2 * BASE.tick_ms
            assert sent[0].start_before_ms == (end if bound else math.inf)


def test_non_idempotent_retry_needs_proof_of_no_effect() -> None:
    balancer = node(BASE, ["x", "y", "z"])
    first = sends(balancer.handle(1000.0, api.RequestArrived("r", "once", 2000.0)))[0]
    again = sends(
        balancer.handle(
            1001.0, api.AttemptFinished("r", 0, first.backend, api.AttemptStatus.REJECTED, 1.0, False)
        )
    )
    assert again
    end = balancer.handle(
        1002.0, api.AttemptFinished("r", 1, again[0].backend, api.AttemptStatus.RESET, 1.0, False)
    )
    assert not sends(end) and isinstance(answers(end)[0], api.FailRequest)


def test_keyed_retry_after_possible_effect_stays_in_zone() -> None:
    for seed in range(30):
        balancer = Balancer(BASE, seed)
        entries = [entry(f"b{i}", zone="ab"[i % 2]) for i in range(8)]
        balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, entries))
        zones = {e.id: e.zone for e in entries}
        first = sends(balancer.handle(1000.0, api.RequestArrived("r", "pay", 2000.0)))[0]
        again = sends(
            balancer.handle(
                1001.0, api.AttemptFinished("r", 0, first.backend, api.AttemptStatus.RESET, 1.0, False)
            )
        )
        assert again and zones[again[0].backend] == zones[first.backend]


@pytest.mark.parametrize("group", [api.DeduplicationScope.ZONE, api.DeduplicationScope.CELL])
def test_keyed_retry_after_backend_moved_stays_in_original_group(
    group: api.DeduplicationScope,
) -> None:
    """The backends of its new zone have not seen the key."""
    config = replace(BASE, classes=(replace(KEYED, deduplication_scope=group),))
    for seed in range(10):
        balancer = Balancer(config, seed)
        balancer.handle(
            1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry("old", zone="a", cell=1)])
        )
        assert sends(balancer.handle(1000.0, api.RequestArrived("r", "pay", 2000.0)))[0].backend == "old"
        rows = [entry("old", zone="b", cell=2), entry("near", cell=1), entry("far", zone="b", cell=2)]
        balancer.handle(1005.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, rows))
        again = sends(
            balancer.handle(1010.0, api.AttemptFinished("r", 0, "old", api.AttemptStatus.RESET, 10.0, False))
        )
        assert [one.backend for one in again] == ["near"]


def test_draining_or_removed_backends_get_no_requests() -> None:
    balancer = node(BASE, ["x", "y", "z"])
    balancer.handle(
        1001.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("x", phase=api.Phase.DRAINING)]),
    )
    balancer.handle(
        1002.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.SNAPSHOT, [entry("y"), entry("x", phase=api.Phase.DRAINING)]
        ),
    )
    for i in range(40):
        actions = balancer.handle(1003.0 + i, api.RequestArrived(f"r{i}", "read", 2003.0 + i))
        assert {s.backend for s in sends(actions)} <= {"y"}


def test_request_with_empty_list_is_rejected() -> None:
    for config in (BASE, LOOKING):
        balancer = Balancer(config, 1)
        balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, []))
        assert isinstance(
            answers(balancer.handle(1001.0, api.RequestArrived("r", "read", 2001.0)))[0], api.RejectRequest
        )


def exceeds_slow_start_budget(nodes: int, rate: int, initial_fraction: float) -> bool:
    """Return whether all nodes together send one warming-up backend more than its budget in a window."""
    config = replace(
        BASE,
        node_count=nodes,
        slow_start_initial_fraction=initial_fraction,
        slow_start_duration_ms=20_000.0,
        overload_window_ms=1000.0,
    )
    backends, sent = 40, 0
    for node_index in range(nodes):
        balancer = Balancer(replace(config, node_index=node_index), node_index)
        fleet = [entry(f"b{i:02d}", started_at_ms=9_999.0 if i == 7 else 0.0) for i in range(backends)]
        balancer.handle(10_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, fleet))
        for i in range(rate):
            now = 10_000.0 + 1000.0 * i / rate
            for attempt in sends(balancer.handle(now, api.RequestArrived(f"r{i}", "read", now + 1000.0))):
                sent += attempt.backend == "b07"
                balancer.handle(
                    now, api.AttemptFinished(f"r{i}", 0, attempt.backend, api.AttemptStatus.OK, 30.0, True)
                )
    warm_rate = nodes * rate / backends  # requests per second of a warm backend here: at most its capacity
    return sent > config.overload_multiple * initial_fraction * warm_rate


@pytest.mark.parametrize(("nodes", "rate"), [(300, 4), (12, 100), (3, 400)])
@pytest.mark.parametrize("share", [0.14, 0.35])
def test_slow_start_by_all_nodes_stays_within_budget(nodes: int, rate: int, share: float) -> None:
    """Rule 4 in fractions, for any number of nodes."""
    assert not exceeds_slow_start_budget(nodes, rate, share)


def test_slow_start_budget_check_without_slow_start_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "SLOW_START_LOAD_FRACTION", 50.0)
    assert exceeds_slow_start_budget(12, 100, 0.14)


def simulate_deploy(config: api.Settings, nodes: int, at_once: int) -> float:
    """Simulate all nodes during a deploy of the fleet with a burst, retries and late updates.

    Returns the largest fraction of a budget that was used.
    """
    rng, size, per_s, now = random.Random(nodes), 20, 20.0, 50_000.0
    fleet = {i: entry(f"b{i:02d}", zone="ab"[i % 2]) for i in range(size)}
    balancers = [
        Balancer(replace(config, node_index=me, node_count=nodes, zone="ab"[me % 2]), me)
        for me in range(nodes)
    ]
    for balancer in balancers:
        balancer.handle(
            now, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [replace(e) for e in fleet.values()])
        )
    budget, request_count = ColdBudget(config, per_s), 0
    updates: list[tuple[float, Balancer, list[api.Endpoint]]] = []
    in_flight: list[tuple[float, Balancer, api.AttemptFinished]] = []
    end, next_batch, deployed_count = now + 30_000.0, now + 2000.0, 0
    while now < end:
        now += 1000.0 / (0.6 * size * per_s * (1.6 if 8000.0 < end - now < 10_000.0 else 1.0))
        if now >= next_batch and deployed_count < size:
            for i in range(deployed_count, min(size, deployed_count + at_once)):
                old, fleet[i] = fleet[i], entry(f"n{i:02d}", zone="ab"[i % 2], started_at_ms=now)
                removed = replace(old, phase=api.Phase.REMOVED)
                updates += [
                    (now + rng.uniform(0, 1500), balancer, [removed, fleet[i]]) for balancer in balancers
                ]
            deployed_count, next_batch = deployed_count + at_once, now + 2500.0
        for item in [x for x in updates if x[0] <= now]:
            updates.remove(item)
            item[1].handle(
                now, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [replace(e) for e in item[2]])
            )
        request_count += 1
        receiver = rng.choice(balancers)
        actions = [
            (receiver, a)
            for a in receiver.handle(now, api.RequestArrived(f"r{request_count}", "read", now + 1000.0))
        ]
        for ended in [x for x in in_flight if x[0] <= now]:
            in_flight.remove(ended)
            actions += [(ended[1], a) for a in ended[1].handle(now, ended[2])]
        for balancer, attempt in [(balancer, a) for balancer, a in actions if isinstance(a, api.SendAttempt)]:
            endpoint = balancer.backends[attempt.backend].endpoint
            budget.send(now, endpoint)
            number = len(balancer.requests[attempt.request].attempts) - 1
            is_rejected = rng.random() < 0.15
            status = api.AttemptStatus.REJECTED if is_rejected else api.AttemptStatus.OK
            duration_ms = 1.0 if is_rejected else rng.expovariate(1 / 40.0)
            in_flight.append(
                (
                    now + duration_ms,
                    balancer,
                    api.AttemptFinished(
                        attempt.request, number, attempt.backend, status, duration_ms, not is_rejected
                    ),
                )
            )
    return budget.worst()


DEPLOYMENTS = [(60, 3), (200, 20), (8, 6)]


@pytest.mark.parametrize(("nodes", "at_once"), DEPLOYMENTS)
def test_slow_start_during_fleet_deploy_stays_within_budgets(nodes: int, at_once: int) -> None:
    config = replace(
        BASE,
        slow_start_initial_fraction=0.12,
        slow_start_duration_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert 0.0 < simulate_deploy(config, nodes, at_once) <= 1.0


def test_deploy_check_without_slow_start_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "fraction", lambda state, backend: 1.0)
    config = replace(
        BASE,
        slow_start_initial_fraction=0.12,
        slow_start_duration_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert simulate_deploy(config, 60, 3) > 1.0


def test_fleet_that_is_all_warming_up_still_serves() -> None:
    balancer = node(BASE, [f"b{i}" for i in range(10)], started_at_ms=999.0)
    served = 0
    for i in range(400):
        got = sends(balancer.handle(1000.0 + i, api.RequestArrived(f"r{i}", "read", 2000.0 + i)))
        served += len(got)
        for attempt in got:
            balancer.handle(
                1000.0 + i,
                api.AttemptFinished(attempt.request, 0, attempt.backend, api.AttemptStatus.OK, 5.0, True),
            )
    assert served > 0


def test_failed_polls_back_off_with_jitter() -> None:
    waits: list[list[float]] = []
    for seed in range(20):
        balancer = Balancer(replace(BASE, must_poll=True), seed)
        actions = balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry("x")]))
        first = next(a for a in actions if isinstance(a, api.SetTimer))
        assert first.at_ms - 1000.0 < BASE.poll_within_ms
        row, timer = [], first
        for _ in range(4):
            balancer.handle(timer.at_ms, api.TimerFired(timer.token))
            actions = balancer.handle(timer.at_ms, api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
            failed_at_ms, timer = timer.at_ms, next(a for a in actions if isinstance(a, api.SetTimer))
            row.append(timer.at_ms - failed_at_ms)
        waits.append(row)
    assert len({round(w[0], 3) for w in waits}) > 10
    assert sum(w[3] for w in waits) > 3 * sum(w[0] for w in waits)


def test_handle_with_invalid_event_raises_call_error() -> None:
    balancer = node(BASE, ["x"])
    with pytest.raises(api.CallError, match="unknown class: 'nope'"):
        balancer.handle(1000.0, api.RequestArrived("r", "nope", 2000.0))
    with pytest.raises(api.CallError, match="not an event"):
        balancer.handle(1000.0, "hello")  # type: ignore[arg-type]


def test_modules_are_short_and_balancer_names_the_interface() -> None:
    sources = sorted(Path(balancer_module.__file__).parent.glob("*.py"))
    assert len(sources) > 12
    for path in sources:
        lines = path.read_text(encoding="utf-8").splitlines()
        assert sum(1 for line in lines if line.strip()) <= 400, path
        assert max(map(len, lines), default=0) <= 110, path
    assert "interface.py" in Path(balancer_module.__file__).read_text(encoding="utf-8").splitlines()[0]
