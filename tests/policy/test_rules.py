"""The four rules: corner cases, hostile event orders, and mutants that the checker must catch."""

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

ENDS = [s for s in api.AttemptStatus if s is not api.AttemptStatus.OK]


def drive(cfg: api.Settings, seed: int, steps: int = 120) -> RuleChecker:
    """Feed one node a legal but hostile run of events; the checker judges every action."""
    rng = random.Random(seed)
    names = [f"b{i}" for i in range(rng.randint(1, 9))]
    phases = [api.Phase.UP, api.Phase.UP, api.Phase.UP, api.Phase.DRAINING, api.Phase.REMOVED]
    b, check, now = Balancer(cfg, seed), RuleChecker(cfg), 5000.0
    timers: list[tuple[float, int]] = []
    live: list[tuple[str, int, str, float]] = []
    probes: list[str] = []

    def listed(name: str) -> api.Endpoint:
        return entry(
            name,
            zone=rng.choice("ab"),
            cell=rng.randint(0, 2),
            phase=rng.choice(phases),
            started_at_ms=rng.choice([0.0, now - rng.uniform(0, 8000)]),
        )

    def tell(ev: api.Event) -> None:
        check.event(now, ev)
        acts = b.handle(now, ev)
        for act in acts:
            if isinstance(act, api.SetTimer):
                timers.append((act.at_ms, act.token))
            elif isinstance(act, api.SendProbe):
                probes.append(act.backend)
            elif isinstance(act, api.SendAttempt):
                count = len(check.seen[act.request].attempts)
                until = check.seen[act.request].deadline
                if act.timeout_ms > 0:
                    until = min(until, now + act.timeout_ms)
                live.append((act.request, count, act.backend, until))
        check.actions(now, acts)

    def resolve(index: int, status: api.AttemptStatus) -> None:
        rid, number, backend, _ = live.pop(index)
        closed = check.seen[rid].ended or status is api.AttemptStatus.OK
        load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(float(rng.randint(0, 30)), 0.0)])
        tell(api.AttemptFinished(rid, number, backend, status, rng.uniform(0, 500), closed, load))

    tell(api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [listed(n) for n in names]))
    for step in range(steps):
        roll = rng.random()
        if roll < 0.35:
            kind = rng.choice(cfg.classes)
            hint = rng.choice([None, rng.uniform(1, 900)])
            left = kind.deadline_ms * rng.uniform(0.1, 1.0)
            tell(api.RequestArrived(f"r{step}", kind.name, now + left, rng.random() < 0.3, work_hint=hint))
        elif roll < 0.6 and live:
            resolve(rng.randrange(len(live)), rng.choice([*ENDS, api.AttemptStatus.OK]))
        elif roll < 0.75 and probes:
            load = rng.choice([None, api.LoadReport(0.0, 0.0), api.LoadReport(7.0, 2.0)])
            tell(
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
            mode = rng.choice(kinds)
            tell(
                api.EndpointsUpdated(
                    mode, [] if mode is api.EndpointUpdateKind.FAILED else [listed(n) for n in some]
                )
            )
        elif roll < 0.9 and check.seen:
            tell(api.ClientLeft(rng.choice(sorted(check.seen))))
        then = now + rng.choice([0.0, 1.0, 20.0, 300.0])
        while True:  # what falls due on the way comes in order, attempts out at their end at the latest
            due = min(timers, default=(then + 1, -1))
            late = min(((u, i) for i, (_, _, _, u) in enumerate(live)), default=(then + 1, -1))
            if min(due[0], late[0]) > then:
                break
            if due[0] <= late[0]:
                timers.remove(due)
                now = max(now, due[0])
                tell(api.TimerFired(due[1]))
            else:
                now = max(now, late[0])
                resolve(late[1], api.AttemptStatus.TIMEOUT)
        now = then
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


def _breaks(cfg: api.Settings, match: str) -> None:
    with pytest.raises(AssertionError, match=match):
        for seed in range(300):
            drive(cfg, seed)


def test_the_checker_catches_a_lost_repeat_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(retries, "may_attempt", lambda state, request, backend: True)
    _breaks(BASE, "rule 2")


def test_the_checker_catches_a_lost_drain_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    keep = subsetting.update_endpoints

    def deaf(state: NodeState, ev: api.EndpointsUpdated) -> None:
        keep(state, api.EndpointsUpdated(ev.kind, [replace(e, phase=api.Phase.UP) for e in ev.endpoints]))

    monkeypatch.setitem(balancer_module.HANDLERS, api.EndpointsUpdated, deaf)
    _breaks(replace(BASE, drain_grace_ms=0.0), "rule 3")


def test_the_checker_catches_a_lost_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(routing, "retry", lambda state, request: None)
    _breaks(BASE, "rule 1")


def test_the_checker_catches_a_repeat_that_may_be_written_whenever(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(retries, "start_before_ms", lambda state, request: math.inf)
    _breaks(BASE, "rule 2")


def test_a_keyed_repeat_says_until_when_it_may_be_written() -> None:
    """Counted from the first attempt that may have run; what surely never ran binds nothing."""
    for effect, first, bound in (
        (api.Idempotency.KEYED, api.AttemptStatus.RESET, True),
        (api.Idempotency.KEYED, api.AttemptStatus.REJECTED, False),
        (api.Idempotency.IDEMPOTENT, api.AttemptStatus.RESET, False),
        (api.Idempotency.NON_IDEMPOTENT, api.AttemptStatus.REJECTED, False),
    ):
        b = node(replace(BASE, classes=(replace(KEYED, idempotency=effect),)), ["x", "y", "z"])
        sent = sends(b.handle(1000.0, api.RequestArrived("r", "pay", 2000.0)))
        assert sent[0].start_before_ms == math.inf
        for number, status in enumerate((first, api.AttemptStatus.NOT_STARTED)):
            now = 1010.0 + 10 * number
            sent = sends(b.handle(now, api.AttemptFinished("r", number, sent[0].backend, status, 1.0, False)))
            end = 1000.0 + KEYED.deduplication_window_ms - 2 * BASE.tick_ms
            assert sent[0].start_before_ms == (end if bound else math.inf)


def test_unsafe_is_sent_again_only_after_proof_it_never_ran() -> None:
    b = node(BASE, ["x", "y", "z"])
    first = sends(b.handle(1000.0, api.RequestArrived("r", "once", 2000.0)))[0]
    again = sends(
        b.handle(1001.0, api.AttemptFinished("r", 0, first.backend, api.AttemptStatus.REJECTED, 1.0, False))
    )
    assert again
    end = b.handle(1002.0, api.AttemptFinished("r", 1, again[0].backend, api.AttemptStatus.RESET, 1.0, False))
    assert not sends(end) and isinstance(answers(end)[0], api.FailRequest)


def test_keyed_stays_in_its_zone_once_it_may_have_run() -> None:
    for seed in range(30):
        b = Balancer(BASE, seed)
        entries = [entry(f"b{i}", zone="ab"[i % 2]) for i in range(8)]
        b.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, entries))
        zones = {e.id: e.zone for e in entries}
        first = sends(b.handle(1000.0, api.RequestArrived("r", "pay", 2000.0)))[0]
        again = sends(
            b.handle(1001.0, api.AttemptFinished("r", 0, first.backend, api.AttemptStatus.RESET, 1.0, False))
        )
        assert again and zones[again[0].backend] == zones[first.backend]


@pytest.mark.parametrize("group", [api.DeduplicationScope.ZONE, api.DeduplicationScope.CELL])
def test_keyed_stays_where_it_may_have_run_though_its_backend_comes_up_elsewhere(
    group: api.DeduplicationScope,
) -> None:
    """Those of its new zone have not seen the key."""
    cfg = replace(BASE, classes=(replace(KEYED, deduplication_scope=group),))
    for seed in range(10):
        b = Balancer(cfg, seed)
        b.handle(
            1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry("old", zone="a", cell=1)])
        )
        assert sends(b.handle(1000.0, api.RequestArrived("r", "pay", 2000.0)))[0].backend == "old"
        rows = [entry("old", zone="b", cell=2), entry("near", cell=1), entry("far", zone="b", cell=2)]
        b.handle(1005.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, rows))
        again = sends(
            b.handle(1010.0, api.AttemptFinished("r", 0, "old", api.AttemptStatus.RESET, 10.0, False))
        )
        assert [one.backend for one in again] == ["near"]


def test_nothing_goes_to_draining_or_vanished_backends() -> None:
    b = node(BASE, ["x", "y", "z"])
    b.handle(
        1001.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("x", phase=api.Phase.DRAINING)]),
    )
    b.handle(
        1002.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.SNAPSHOT, [entry("y"), entry("x", phase=api.Phase.DRAINING)]
        ),
    )
    for i in range(40):
        acts = b.handle(1003.0 + i, api.RequestArrived(f"r{i}", "read", 2003.0 + i))
        assert {s.backend for s in sends(acts)} <= {"y"}


def test_an_empty_list_refuses_and_loses_nothing() -> None:
    for cfg in (BASE, LOOKING):
        b = Balancer(cfg, 1)
        b.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, []))
        assert isinstance(
            answers(b.handle(1001.0, api.RequestArrived("r", "read", 2001.0)))[0], api.RejectRequest
        )


def over_cold_budget(nodes: int, rate: int, share: float) -> bool:
    """Do all nodes together send one cold backend more than its budget in a fall window?"""
    cfg = replace(
        BASE,
        node_count=nodes,
        slow_start_initial_fraction=share,
        slow_start_duration_ms=20_000.0,
        overload_window_ms=1000.0,
    )
    backends, sent = 40, 0
    for me in range(nodes):
        b = Balancer(replace(cfg, node_index=me), me)
        fleet = [entry(f"b{i:02d}", started_at_ms=9_999.0 if i == 7 else 0.0) for i in range(backends)]
        b.handle(10_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, fleet))
        for i in range(rate):
            now = 10_000.0 + 1000.0 * i / rate
            for s in sends(b.handle(now, api.RequestArrived(f"r{i}", "read", now + 1000.0))):
                sent += s.backend == "b07"
                b.handle(now, api.AttemptFinished(f"r{i}", 0, s.backend, api.AttemptStatus.OK, 30.0, True))
    warm_takes = nodes * rate / backends  # requests a second a warm one takes here: at most its capacity
    return sent > cfg.overload_multiple * share * warm_takes


@pytest.mark.parametrize(("nodes", "rate"), [(300, 4), (12, 100), (3, 400)])
@pytest.mark.parametrize("share", [0.14, 0.35])
def test_all_nodes_together_stay_under_a_cold_backends_budget(nodes: int, rate: int, share: float) -> None:
    """Rule 4 in fractions, whatever the number of nodes."""
    assert not over_cold_budget(nodes, rate, share)


def test_the_cold_budget_check_catches_a_lost_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "SLOW_START_LOAD_FRACTION", 50.0)
    assert over_cold_budget(12, 100, 0.14)


def deploy_day(cfg: api.Settings, nodes: int, at_once: int) -> float:
    """All nodes through a deploy of the fleet, with a burst, retries, late news; the worst budget used."""
    rng, size, per_s, now = random.Random(nodes), 20, 20.0, 50_000.0
    fleet = {i: entry(f"b{i:02d}", zone="ab"[i % 2]) for i in range(size)}
    bank = [
        Balancer(replace(cfg, node_index=me, node_count=nodes, zone="ab"[me % 2]), me) for me in range(nodes)
    ]
    for b in bank:
        b.handle(
            now, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [replace(e) for e in fleet.values()])
        )
    budget, serial = ColdBudget(cfg, per_s), 0
    news: list[tuple[float, Balancer, list[api.Endpoint]]] = []
    live: list[tuple[float, Balancer, api.AttemptFinished]] = []
    end, next_batch, turn = now + 30_000.0, now + 2000.0, 0
    while now < end:
        now += 1000.0 / (0.6 * size * per_s * (1.6 if 8000.0 < end - now < 10_000.0 else 1.0))
        if now >= next_batch and turn < size:
            for i in range(turn, min(size, turn + at_once)):
                old, fleet[i] = fleet[i], entry(f"n{i:02d}", zone="ab"[i % 2], started_at_ms=now)
                gone = replace(old, phase=api.Phase.REMOVED)
                news += [(now + rng.uniform(0, 1500), b, [gone, fleet[i]]) for b in bank]
            turn, next_batch = turn + at_once, now + 2500.0
        for item in [x for x in news if x[0] <= now]:
            news.remove(item)
            item[1].handle(
                now, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [replace(e) for e in item[2]])
            )
        serial += 1
        who = rng.choice(bank)
        acts = [(who, a) for a in who.handle(now, api.RequestArrived(f"r{serial}", "read", now + 1000.0))]
        for ended in [x for x in live if x[0] <= now]:
            live.remove(ended)
            acts += [(ended[1], a) for a in ended[1].handle(now, ended[2])]
        for b, s in [(b, a) for b, a in acts if isinstance(a, api.SendAttempt)]:
            there = b.backends[s.backend].endpoint
            budget.send(now, there)
            number = len(b.requests[s.request].attempts) - 1
            full = rng.random() < 0.15
            status = api.AttemptStatus.REJECTED if full else api.AttemptStatus.OK
            took = 1.0 if full else rng.expovariate(1 / 40.0)
            live.append(
                (now + took, b, api.AttemptFinished(s.request, number, s.backend, status, took, not full))
            )
    return budget.worst()


DEPLOYS = [(60, 3), (200, 20), (8, 6)]


@pytest.mark.parametrize(("nodes", "at_once"), DEPLOYS)
def test_a_deploy_of_the_whole_fleet_stays_within_every_cold_budget(nodes: int, at_once: int) -> None:
    cfg = replace(
        BASE,
        slow_start_initial_fraction=0.12,
        slow_start_duration_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert 0.0 < deploy_day(cfg, nodes, at_once) <= 1.0


def test_the_deploy_check_catches_a_lost_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "fraction", lambda state, backend: 1.0)
    cfg = replace(
        BASE,
        slow_start_initial_fraction=0.12,
        slow_start_duration_ms=19_000.0,
        overload_window_ms=1500.0,
        overload_multiple=1.5,
    )
    assert deploy_day(cfg, 60, 3) > 1.0


def test_a_fleet_that_is_all_cold_still_serves() -> None:
    b = node(BASE, [f"b{i}" for i in range(10)], started_at_ms=999.0)
    served = 0
    for i in range(400):
        got = sends(b.handle(1000.0 + i, api.RequestArrived(f"r{i}", "read", 2000.0 + i)))
        served += len(got)
        for s in got:
            b.handle(
                1000.0 + i, api.AttemptFinished(s.request, 0, s.backend, api.AttemptStatus.OK, 5.0, True)
            )
    assert served > 0


def test_failed_list_calls_back_off_with_jitter() -> None:
    waits: list[list[float]] = []
    for seed in range(20):
        b = Balancer(replace(BASE, must_poll=True), seed)
        acts = b.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry("x")]))
        first = next(a for a in acts if isinstance(a, api.SetTimer))
        assert first.at_ms - 1000.0 < BASE.poll_within_ms
        row = []
        for _ in range(4):
            acts = b.handle(2000.0, api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
            t = next(a for a in acts if isinstance(a, api.SetTimer))
            row.append(t.at_ms - 2000.0)
        waits.append(row)
    assert len({round(w[0], 3) for w in waits}) > 10
    assert sum(w[3] for w in waits) > 3 * sum(w[0] for w in waits)


def test_wrong_calls_are_named() -> None:
    b = node(BASE, ["x"])
    with pytest.raises(api.CallError, match="unknown class: 'nope'"):
        b.handle(1000.0, api.RequestArrived("r", "nope", 2000.0))
    with pytest.raises(api.CallError, match="not an event"):
        b.handle(1000.0, "hello")  # type: ignore[arg-type]


def test_each_module_is_short_and_the_first_names_the_interface() -> None:
    sources = sorted(Path(balancer_module.__file__).parent.glob("*.py"))
    assert len(sources) > 12
    for path in sources:
        lines = path.read_text(encoding="utf-8").splitlines()
        assert sum(1 for line in lines if line.strip()) <= 400, path
        assert max(map(len, lines), default=0) <= 110, path
    assert "interface.py" in Path(balancer_module.__file__).read_text(encoding="utf-8").splitlines()[0]
