"""Join-Up-To(m): estimates, the pick, and looking before sending."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from balancer import interface as api
from balancer.policy import capacity, selection
from balancer.policy.balancer import Balancer
from balancer.policy.records import INVERSE_WEIGHT_UNIT
from tests.helpers import (
    BASE,
    KEYED,
    LOOKING,
    SAFE,
    answers,
    entry,
    node,
    sends,
)

NAMES = [f"b{i}" for i in range(8)]


def _arrive(b: Balancer, rid: str, now: float = 1000.0, kind: str = "read") -> list[api.Action]:
    return b.handle(now, api.RequestArrived(rid, kind, now + 1000.0))


def _done(
    rid: str, backend: str, status: api.AttemptStatus = api.AttemptStatus.OK, **over: object
) -> api.AttemptFinished:
    closed = status is api.AttemptStatus.OK
    return api.AttemptFinished(rid, 0, backend, status, 50.0, closed, over.get("report"))  # type: ignore[arg-type]


def test_a_send_adds_one_and_only_an_idle_sign_resets_it() -> None:
    b = node(replace(BASE, max_attempts=1), ["x"])
    kept = (
        api.AttemptStatus.OK,
        api.AttemptStatus.ERROR,
        api.AttemptStatus.TIMEOUT,
        api.AttemptStatus.CONNECT_FAILED,
    )
    for i, status in enumerate(kept):
        b.state.success_rate = 1.0
        _arrive(b, f"r{i}")
        before = b.backends["x"].queue_estimate
        b.handle(1001.0, _done(f"r{i}", "x", status))
        assert b.backends["x"].queue_estimate >= before > 0
    b.state.success_rate = 1.0
    _arrive(b, "last", 9000.0)
    b.handle(9002.0, _done("last", "x", report=api.LoadReport(3.0, 1.0)))
    assert b.backends["x"].queue_estimate > 0
    _arrive(b, "idle", 9002.0)
    b.handle(9003.0, _done("idle", "x", report=api.LoadReport(0.0, 0.0)))
    assert b.backends["x"].queue_estimate == b.backends["x"].in_flight


def test_an_empty_queue_counts_only_where_in_flight_is_not_reported() -> None:
    b = node(BASE, ["x"])
    _arrive(b, "a")
    b.handle(1001.0, _done("a", "x", report=api.LoadReport(4.0, 0.0)))
    assert b.backends["x"].queue_estimate == 1
    _arrive(b, "b")
    b.handle(1002.0, _done("b", "x", report=api.LoadReport(None, 0.0)))
    assert b.backends["x"].queue_estimate == b.backends["x"].in_flight


def test_pick_takes_the_lowest_below_m_and_spreads_ties() -> None:
    b = node(BASE, NAMES)
    pool = [b.backends[n] for n in NAMES]
    for x in pool[2:]:
        x.queue_estimate = 1
    got = Counter(selection.choose_from(b.state, pool, 2).endpoint.id for _ in range(400))
    assert set(got) == {"b0", "b1"} and min(got.values()) > 100


def test_pick_is_random_once_all_have_reached_m() -> None:
    b = node(BASE, NAMES)
    pool = [b.backends[n] for n in NAMES]
    for i, x in enumerate(pool):
        x.queue_estimate = 2 + i
    got = Counter(selection.choose_from(b.state, pool, 2).endpoint.id for _ in range(800))
    assert set(got) == set(NAMES) and min(got.values()) > 50


def test_backends_without_weight_are_picked_where_there_are_no_others() -> None:
    """Guards against a request that fails because a random draw has nothing to draw from."""
    b = node(BASE, NAMES, weight=0.0)
    for x in b.backends.values():
        x.queue_estimate = 99
    assert sends(_arrive(b, "r"))


def test_looking_sends_to_the_first_idle_backend_seen() -> None:
    b = node(LOOKING, NAMES)
    probes = [a.backend for a in _arrive(b, "r") if isinstance(a, api.SendProbe)]
    assert len(probes) >= 2 and not sends(_arrive(node(LOOKING, NAMES), "r"))
    assert not sends(
        b.handle(1001.0, api.ProbeFinished(probes[0], api.AttemptStatus.OK, 1.0, api.LoadReport(2.0, 1.0)))
    )
    out = sends(
        b.handle(1001.0, api.ProbeFinished(probes[1], api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0)))
    )
    assert [s.backend for s in out] == [probes[1]]


def test_a_backend_that_does_not_answer_a_probe_in_time_is_passed_over() -> None:
    """Guards against waiting for a stalled backend: silence counts, whatever its cause."""
    b = node(LOOKING, NAMES)
    acts = _arrive(b, "r")
    probes = [a.backend for a in acts if isinstance(a, api.SendProbe)]
    timer = next(a for a in acts if isinstance(a, api.SetTimer))
    b.handle(1001.0, api.ProbeFinished(probes[0], api.AttemptStatus.OK, 1.0, api.LoadReport(1.0, 0.0)))
    b.handle(timer.at_ms, api.TimerFired(timer.token))
    assert all(b.backends[p].ejected_until_ms > timer.at_ms for p in probes[1:])


def test_first_try_time_is_learned_by_majority() -> None:
    """Guards against refusing every first try once one retry came with more time than first tries have."""
    b = node(BASE, NAMES)
    for i in range(5):
        b.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    b.handle(1000.0, api.RequestArrived("long", "read", 1950.0))
    for i in range(5):
        assert not answers(b.handle(1001.0, api.RequestArrived(f"b{i}", "read", 1701.0)))


def test_a_retry_whose_aim_has_passed_is_refused_at_once() -> None:
    b = node(BASE, NAMES)
    for i in range(5):
        b.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    assert isinstance(
        answers(b.handle(1001.0, api.RequestArrived("old", "read", 1501.0)))[0], api.RejectRequest
    )


def test_who_gives_up_early_is_not_old_where_retries_are_marked() -> None:
    """Guards against refusing clients that wait less than others; marked ones are as old as that tells."""
    b = node(replace(BASE, are_retries_marked=True), NAMES)
    for i in range(5):
        b.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    assert not answers(b.handle(1001.0, api.RequestArrived("hasty", "read", 1501.0)))
    marked = answers(b.handle(1001.0, api.RequestArrived("again", "read", 1501.0, is_retry=True)))
    assert isinstance(marked[0], api.RejectRequest)


def test_marked_retries_do_not_say_what_first_tries_are_allowed() -> None:
    """Guards against many retries that outvote the first tries, and then pass as such."""
    b = node(replace(BASE, are_retries_marked=True), NAMES)
    for i in range(5):
        b.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    for i in range(20):
        marked = answers(b.handle(1001.0, api.RequestArrived(f"b{i}", "read", 1501.0, is_retry=True)))
        assert isinstance(marked[0], api.RejectRequest)


def test_what_cannot_meet_its_aim_is_shed_early() -> None:
    b = node(replace(BASE, is_weighted_by_work=True), NAMES)
    act = b.handle(1000.0, api.RequestArrived("huge", "read", 2000.0, work_hint=5000.0))
    assert isinstance(answers(act)[0], api.RejectRequest) and not sends(act)


def test_each_backend_is_fed_by_few_nodes_where_nodes_cannot_look() -> None:
    """Guards against routing as good as random: with all nodes on all backends own counts say nothing."""
    names = [f"b{i:02d}" for i in range(60)]
    fed: Counter[str] = Counter()
    for me in range(40):
        b = node(replace(BASE, node_index=me, node_count=40), names)
        fed.update(b.order[: b.subset_size])
    assert set(fed) == set(names) and max(fed.values()) <= 2 * min(fed.values())
    assert max(fed.values()) < 40 / 3


def test_looking_nodes_connect_to_few_backends() -> None:
    """Guards against filling the backends' connection tables, whose size no setting tells."""
    names = [f"b{i:02d}" for i in range(60)]
    b = node(replace(LOOKING, node_count=400), names)
    looked = set()
    for i in range(300):
        now = 1000.0 + 10.0 * i
        for p in [a.backend for a in _arrive(b, f"r{i}", now) if isinstance(a, api.SendProbe)]:
            looked.add(p)
            for s in sends(
                b.handle(now, api.ProbeFinished(p, api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0)))
            ):
                b.handle(now, api.AttemptFinished(s.request, 0, s.backend, api.AttemptStatus.OK, 5.0, True))
    assert 3 <= len(looked) <= 12


def test_a_node_that_carries_far_more_than_its_part_feeds_more_backends() -> None:
    """Guards against a hot node that crowds the few backends an even share would give it."""
    names = [f"b{i:02d}" for i in range(60)]
    b = node(replace(BASE, node_count=300), names)
    b.state.concurrency_limit = 30.0
    got = [s.backend for i in range(24) for s in sends(_arrive(b, f"r{i}"))]
    assert len(got) == 24 and max(Counter(got).values()) <= 3
    quiet = node(replace(BASE, node_count=300), names)
    for i in range(24):
        for s in sends(_arrive(quiet, f"r{i}")):
            quiet.handle(1000.0, _done(f"r{i}", s.backend))
    assert len([x for x in quiet.backends.values() if x.queue_estimate]) <= 3


def _fed(b: Balancer, count: int, now: float, bad: str = "") -> Counter[str]:
    """Where requests go that are served at once, or turned away in the zone `bad`."""
    got: Counter[str] = Counter()
    for i in range(count):
        for s in sends(_arrive(b, f"{now}-{i}", now + 100.0 * i)):
            zone = b.backends[s.backend].endpoint.zone
            got[zone] += 1
            status = api.AttemptStatus.TIMEOUT if zone == bad else api.AttemptStatus.OK
            b.handle(now + 100.0 * i, api.AttemptFinished(s.request, 0, s.backend, status, 50.0, zone != bad))
    return got


def test_own_zone_is_preferred_by_the_price_and_left_when_it_is_worse() -> None:
    """Guards against paying for crossings, and against a hot or failing zone that is kept to."""

    def made(price: float) -> Balancer:
        cfg = replace(BASE, node_count=50, max_attempts=1, prices=api.Prices(cross_zone=price))
        b = Balancer(cfg, 3)
        fleet = [entry(f"b{i:02d}", zone="abcd"[i % 4]) for i in range(40)]
        b.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, fleet))
        return b

    dear, cheap = made(0.12), made(0.001)
    _fed(dear, 200, 1000.0)
    assert _fed(dear, 100, 50_000.0)["a"] > 90
    assert _fed(cheap, 200, 1000.0)["a"] < 120
    _fed(dear, 200, 100_000.0, bad="a")
    late = _fed(dear, 100, 200_000.0, bad="a")
    assert late["a"] < sum(late.values()) / 2


def test_a_node_that_lost_all_trust_goes_on_trying() -> None:
    """Guards against a node that throttles itself to nothing in an outage and never learns that it ended."""
    served = []
    for seed in range(10):
        b = node(replace(BASE, node_count=50, max_attempts=1), ["x", "y", "z"], seed)
        for i in range(300):
            for s in sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i)):
                late = api.AttemptFinished(s.request, 0, s.backend, api.AttemptStatus.TIMEOUT, 99.0, False)
                b.handle(1100.0 + 1000.0 * i, late)
        served.append(sum(_fed(b, 40, 400_000.0).values()))
    assert min(served) > 0 and sum(served) > 60


def test_late_answers_count_against_sending_more() -> None:
    """Guards against a jam in which all is served late, by hundreds of nodes too quiet for their limits."""
    cfg = replace(BASE, node_count=50, classes=(replace(BASE.classes[0], late_priority_weight=0.5),))
    b, sent = node(cfg, ["x", "y", "z"]), 0
    for i in range(100):
        for s in sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i)):
            sent += 1
            b.handle(
                1500.0 + 1000.0 * i,
                api.AttemptFinished(s.request, 0, s.backend, api.AttemptStatus.OK, 500.0, True),
            )
    assert 0 < sent < 60


def _lossy(late_worth: float, every: int, seed: int = 5) -> tuple[Balancer, int, int]:
    """A node of a keyed class whose every so-manieth first answer is lost; how many it sent, and repeated."""
    charges = api.Prices(cross_zone=0.02)
    cls = replace(KEYED, late_priority_weight=late_worth)
    cfg = replace(BASE, node_count=50, classes=(cls,), max_attempts=4, prices=charges)
    b, sent, repeats = Balancer(cfg, seed), 0, 0
    fleet = [entry(f"b{i}", zone="ab"[i % 2]) for i in range(12)]
    b.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, fleet))
    for i in range(300):
        b.state.spillover, start, n = 0.5, 1000.0 + 2000.0 * i, 0
        acts = b.handle(start, api.RequestArrived(f"r{i}", "pay", start + 1000.0))
        sent, now = sent + bool(sends(acts)), start
        while out := sends(acts):
            repeats += n > 0
            lost = n == 0 and i % every == 0
            took = (out[0].timeout_ms or start + 1000.0 - now) if lost else 40.0
            now += took
            status = api.AttemptStatus.TIMEOUT if lost else api.AttemptStatus.OK
            acts = b.handle(now, api.AttemptFinished(f"r{i}", n, out[0].backend, status, took, not lost))
            n += 1
    return b, sent, repeats


def test_lost_answers_are_asked_for_again_while_that_has_worth() -> None:
    """Guards against waiting to the deadline for answers that get lost, and against cutting jobs short."""
    b, sent, repeats = _lossy(0.5, 3)
    assert sent == 300 and repeats >= 95  # all but the first few losses, none for want of budget or zone
    assert 0 < sends(b.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms < 400
    calm, _, _ = _lossy(0.5, 1000)
    assert sends(calm.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms == 0.0
    worthless, _, _ = _lossy(0.0, 3)
    worthless.state.success_rate = 1.0
    assert sends(worthless.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms > 390


def test_a_jam_is_shed_sharply_but_not_what_is_worth_most() -> None:
    """Guards against hundreds of quiet nodes that keep a fleet overdriven; worth goes first."""
    classes = (replace(SAFE, name="cheap"), replace(SAFE, name="dear", priority_weight=50.0))
    sent: Counter[str] = Counter()
    for seed in range(10):
        b = node(replace(BASE, node_count=500, classes=classes, max_attempts=1), NAMES, seed)
        for i in range(150):
            kind = "dear" if i % 10 == 9 else "cheap"
            for s in sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i, kind)):
                sent[kind] += i >= 50
                bad = i % 2 == 0
                status = api.AttemptStatus.TIMEOUT if bad else api.AttemptStatus.OK
                now = 1400.0 + 1000.0 * i
                b.handle(now, api.AttemptFinished(s.request, 0, s.backend, status, 100.0, not bad))
    assert sent["dear"] == 100 and 0.15 * 900 < sent["cheap"] < 0.65 * 900


def test_one_bad_answer_sheds_nothing() -> None:
    """Guards against losing good requests on a quiet day to the noise of single answers."""
    for seed in range(40):
        b = node(replace(BASE, node_count=50, max_attempts=1), NAMES, seed)
        for i in range(3):
            got = sends(_arrive(b, f"r{i}", 1000.0 + 1000.0 * i))
            status = api.AttemptStatus.TIMEOUT if i == 0 else api.AttemptStatus.OK
            b.handle(
                1100.0 + 1000.0 * i, api.AttemptFinished(f"r{i}", 0, got[0].backend, status, 90.0, i > 0)
            )


def test_slow_backends_get_less_once_all_are_at_the_cap() -> None:
    """Guards against fleets whose speeds differ though nobody tells: the random pick follows answers."""
    b = node(replace(BASE, node_count=50), ["x", "y", "z"])
    got: Counter[str] = Counter()
    for i in range(300):
        for s in sends(_arrive(b, f"r{i}", 1000.0 + 100.0 * i)):
            got[s.backend] += i >= 100
            took = 150.0 if s.backend == "x" else 50.0
            b.handle(
                1000.0 + 100.0 * i,
                api.AttemptFinished(s.request, 0, s.backend, api.AttemptStatus.OK, took, True),
            )
    assert 0 < got["x"] < min(got["y"], got["z"]) / 2


def test_turned_away_attempts_that_are_served_elsewhere_do_not_shed() -> None:
    """Guards against shedding by the throttle where short waiting rooms turn many first attempts away."""
    b, sent, rng = node(replace(BASE, node_count=50), NAMES), 0, random.Random(1)
    for i in range(300):
        now = 1000.0 + 2000.0 * i
        acts, n = _arrive(b, f"r{i}", now), 0
        sent += bool(sends(acts))
        while (out := sends(acts)) and n < 3:
            full = n == 0 and rng.random() < 0.6
            status = api.AttemptStatus.REJECTED if full else api.AttemptStatus.OK
            acts = b.handle(now, api.AttemptFinished(f"r{i}", n, out[0].backend, status, 20.0, not full))
            n += 1
    assert sent == 300


def test_panic_ignores_ejections_but_not_backends_without_room() -> None:
    """Guards against a node whose own trouble ejects all it feeds, and against storms of new connections."""

    def after(status: api.AttemptStatus) -> int:
        b, sent = node(replace(BASE, node_count=50, max_attempts=1), ["x", "y", "z"]), 0
        for x in b.backends.values():
            x.consecutive_failures = 20  # so often in a row that the next failure ejects
        for i in range(12):
            got = sends(_arrive(b, f"r{i}", 1000.0 + i))
            sent += len(got)
            for s in got:
                b.handle(1000.0 + i, api.AttemptFinished(s.request, 0, s.backend, status, 1.0, False))
        return sent

    assert after(api.AttemptStatus.RESET) == 12
    assert after(api.AttemptStatus.CONNECT_FAILED) == 3


@pytest.mark.parametrize(
    ("part", "failing", "most"), [(1.0, 0.3, 4), (0.99, 0.1, 2), (0.1, 0.3, 1), (0.0, 0.3, 1)]
)
def test_a_connection_that_is_late_ejects_where_it_is_no_chance_and_one_refused_at_once(
    part: float, failing: float, most: int
) -> None:
    """Guards against leaving a fleet alone where a third of the connections come up late, and no more fails.

    What is late all the time is ejected in the end, and then no panic brings it back.
    """
    b, rounds = node(replace(BASE, node_count=50, max_attempts=1, connect_timeout_ms=100.0), ["x"]), 0
    x, b.state.failure_rate = b.backends["x"], failing
    while x.ejected_until_ms <= 1000.0:
        (sent,) = sends(_arrive(b, f"r{rounds}"))
        status, rounds = api.AttemptStatus.CONNECT_FAILED, rounds + 1
        b.handle(1000.0, api.AttemptFinished(sent.request, 0, "x", status, part * 100.0, False))
        assert rounds <= most
    assert rounds == most and x.paused_until_ms >= x.ejected_until_ms
    assert not sends(_arrive(b, "last"))


def test_late_connections_among_good_answers_eject_few() -> None:
    def ejected(part: float) -> int:
        b = node(replace(BASE, node_count=50, max_attempts=1, connect_timeout_ms=100.0), NAMES)
        rng, count = random.Random(5), 0
        for i in range(600):
            now = 1000.0 + 100.0 * i
            for s in sends(_arrive(b, f"r{i}", now)):
                late = rng.random() < 0.3
                end = (
                    (api.AttemptStatus.CONNECT_FAILED, part * 100.0) if late else (api.AttemptStatus.OK, 20.0)
                )
                b.handle(now, api.AttemptFinished(s.request, 0, s.backend, *end, not late))
                count += b.backends[s.backend].ejected_until_ms > now
        return count

    assert 5 * ejected(1.0) < ejected(0.1)


def test_limit_does_not_float_up_while_it_does_not_bind() -> None:
    """Guards against quiet nodes that let their limit grow and flood the fleet when a burst comes."""
    b = node(replace(BASE, node_count=4), NAMES)
    first = max(b.concurrency_limit, b.state.min_concurrency_limit)
    for i in range(300):
        got = sends(_arrive(b, f"r{i}"))
        b.handle(1001.0, _done(f"r{i}", got[0].backend))
    assert b.concurrency_limit <= first * 1.01


def test_the_way_to_a_backend_does_not_hold_the_limit_down() -> None:
    """Guards against a limit at its least all day: load is not to blame for a round trip.

    And against dividing it by more backends than there are, which refused what it allowed.
    """
    cls = replace(SAFE, latency_objective_ms=100.0)
    b, live = node(replace(BASE, classes=(cls,)), NAMES), list[str]()
    first = max(b.concurrency_limit, b.state.min_concurrency_limit)
    for i in range(600):
        now = 1000.0 + i
        live += [s.request + " " + s.backend for s in sends(_arrive(b, f"r{i}", now))]
        while b.in_flight + 1 > b.concurrency_limit:  # it binds all the time
            name, backend = live.pop(0).split()
            took = 20.0 if i % 4 else 24.0  # the way takes 20 of 100
            acts = b.handle(now, api.AttemptFinished(name, 0, backend, api.AttemptStatus.OK, took, True))
            live += [s.request + " " + s.backend for s in sends(acts)]
            if b.concurrency_limit > 2 * first:
                return
    raise AssertionError(f"limit {b.concurrency_limit} after 600 answers that no load delayed")


def _closed_loop(
    b: Balancer, start: float, length: float, kind: str, took: float, clients: int = 60
) -> tuple[int, int]:
    """Clients that ask, wait and ask again, a moment later after a refusal: answers and refusals."""
    queue: list[tuple[float, int, str, api.Event]] = []
    tie, served, refused = itertools.count(), 0, 0

    def ask(when: float) -> None:
        if when >= start + length:
            return
        number = next(tie)
        event = api.RequestArrived(f"{start}-{number}", kind, when + 1000.0)
        heapq.heappush(queue, (when, number, event.request, event))

    for i in range(clients):
        ask(start + took * i / clients)
    while queue:
        now, _, name, event = heapq.heappop(queue)
        if isinstance(event, api.AttemptFinished):
            served += 1
            ask(now)
        for act in b.handle(now, event):
            if isinstance(act, api.SendAttempt):
                end = api.AttemptFinished(act.request, 0, act.backend, api.AttemptStatus.OK, took, True)
                heapq.heappush(queue, (now + took, next(tie), act.request, end))
            elif isinstance(act, api.SetTimer):
                heapq.heappush(queue, (act.at_ms, next(tie), name, api.TimerFired(act.token)))
            elif isinstance(act, (api.RejectRequest, api.FailRequest)):
                refused += 1
                ask(now + 100.0)
    return served, refused


def test_a_class_that_nobody_uses_does_not_pin_the_limit() -> None:
    """Guards against a limit at its least for good, as a class without answers never showed any slack."""
    alone, among = node(replace(BASE, classes=(SAFE,)), NAMES[:4]), node(BASE, NAMES[:4])
    first = _closed_loop(among, 1000.0, 1000.0, "read", 50.0)
    assert first[0] < 400  # at first it waits for every class to show slack
    for b in (alone, among):
        _closed_loop(b, 3000.0, 5000.0, "read", 50.0)
    got = [_closed_loop(b, 9000.0, 5000.0, "read", 50.0) for b in (alone, among)]
    assert got[0] == got[1]
    assert among.concurrency_limit > 50


def test_a_class_that_was_slow_and_fell_silent_lets_the_limit_recover() -> None:
    """Guards against a bad hour of one class that holds down all others while nobody asks for it."""
    b = node(replace(BASE, classes=(SAFE, KEYED)), NAMES[:4])
    _closed_loop(b, 1000.0, 10_000.0, "pay", 390.0)
    low = b.concurrency_limit
    assert b.classes["pay"].mean_log_latency_ratio > 0
    _closed_loop(b, 12_000.0, 20_000.0, "read", 50.0)
    assert b.concurrency_limit > 2 * low
    # Back after its silence it starts where the others stand, not with what was true an hour ago.
    high, late = b.concurrency_limit, b.classes["pay"].mean_log_latency_ratio
    _arrive(b, "back", 3_600_000.0, "pay")
    b.handle(3_600_050.0, _done("back", b.requests["back"].attempts[0].backend.endpoint.id))
    assert b.classes["pay"].mean_log_latency_ratio < late and b.concurrency_limit >= high


def test_names_and_zones_do_not_matter() -> None:
    """A node acts on numbers, not on what things are called."""

    def run(cls: str, zone: str, tenant: str) -> list[str]:
        settings = replace(
            BASE,
            classes=(replace(BASE.classes[0], name=cls),),
            zone=zone,
            tenants=(api.Tenant(tenant, 5.0, 1.0),),
        )
        b = Balancer(settings, 7)
        b.handle(
            1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry(n, zone=zone) for n in NAMES])
        )
        acts = []
        for i in range(50):
            acts += b.handle(1000.0 + i, api.RequestArrived(f"r{i}", cls, 2000.0 + i, tenant=tenant))
        return [repr(a) for a in acts]

    assert run("read", "a", "t") == run("zzz", "north", "q")


def test_idle_signs_are_doubted_once_sends_on_them_fail() -> None:
    """Guards against reports that freeze at nothing in flight and draw every node to the same backends."""

    def sent_of(status: api.AttemptStatus) -> int:
        b, sent = node(LOOKING, NAMES), 0
        for i in range(80):
            now = 1000.0 + 2000.0 * i
            for act in _arrive(b, f"r{i}", now):
                if isinstance(act, api.SendProbe):
                    seen = api.ProbeFinished(act.backend, api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0))
                    for s in sends(b.handle(now, seen)):
                        sent += 1
                        closed = status is api.AttemptStatus.OK
                        b.handle(now, api.AttemptFinished(s.request, 0, s.backend, status, 5.0, closed))
        return sent

    assert sent_of(api.AttemptStatus.OK) == 80
    assert sent_of(api.AttemptStatus.REJECTED) < 60


def test_quiet_nodes_shed_in_fractions_when_their_sends_fail() -> None:
    """Guards against hundreds of nodes that each keep one request on a fleet that answers none."""
    b, sent = node(BASE, NAMES), 0
    for i in range(200):
        now = 1000.0 + 3000.0 * i
        for s in sends(_arrive(b, f"r{i}", now)):
            sent += 1
            b.handle(
                now + 390.0,
                api.AttemptFinished(f"r{i}", 0, s.backend, api.AttemptStatus.TIMEOUT, 390.0, False),
            )
    assert 0 < sent < 100


def test_held_requests_end_in_time_also_after_a_first_attempt() -> None:
    """Guards against losing a request that is held again after a refused attempt."""
    b = node(replace(BASE, max_attempts=3), ["x"])
    b.state.concurrency_limit = 1.0
    first = sends(_arrive(b, "a"))[0]
    acts = _arrive(b, "b")
    assert first and not sends(acts)
    b.state.in_flight = 5  # other requests keep the node at its limit
    again = b.handle(1001.0, api.AttemptFinished("a", 0, "x", api.AttemptStatus.REJECTED, 1.0, False))
    timers = [a for a in [*acts, *again] if isinstance(a, api.SetTimer)]
    ended = [x.request for t in timers for x in answers(b.handle(t.at_ms, api.TimerFired(t.token)))]
    assert sorted(ended + [x.request for x in answers(again)]) == ["a", "b"]


def test_noise_in_the_whole_fleet_ejects_none_and_a_bad_backend_is_still_told_from_it() -> None:
    """Guards against ejecting most of a sound fleet; what is far worse than the rest goes all the same."""
    for noise in (0.02, 0.1):
        b, rng = node(replace(BASE, max_attempts=1), NAMES), random.Random(5)
        left_out, to_bad = 0, 0
        for i in range(3000):
            now, bad = 1000.0 + 5.0 * i, "b3" if i >= 2000 else ""
            for s in sends(_arrive(b, f"r{i}", now)):
                spoilt = s.backend == bad or rng.random() < noise
                status = api.AttemptStatus.RESET if spoilt else api.AttemptStatus.OK
                b.handle(now, api.AttemptFinished(s.request, 0, s.backend, status, 50.0, not spoilt))
                to_bad += s.backend == bad
            left_out += not bad and sum(x.ejected_until_ms > now for x in b.backends.values())
        assert left_out < 2000 * len(NAMES) / 50
        assert to_bad < 1000 / len(NAMES) / 3


def test_requests_of_high_worth_avoid_backends_that_turn_away() -> None:
    """Guards against a backend that turns away for want of something else and calls itself idle."""
    urgent = replace(SAFE, name="urgent", priority_weight=50.0)
    b, late = node(replace(BASE, classes=(SAFE, urgent)), NAMES), Counter[str]()
    for i in range(600):
        for s in sends(_arrive(b, f"r{i}", 1000.0 + 20 * i, "urgent" if i % 10 == 0 else "read")):
            late[s.backend] += i % 10 == 0 and i >= 300
            status = api.AttemptStatus.REJECTED if s.backend == "b3" else api.AttemptStatus.OK
            report = api.LoadReport(0.0, 0.0) if s.backend == "b3" else api.LoadReport(3.0, 0.0)
            end = api.AttemptFinished(
                s.request, 0, s.backend, status, 20.0, status is api.AttemptStatus.OK, report
            )
            b.handle(1010.0 + 20 * i, end)
    assert late["b3"] == 0 and late.total() == 30


def test_spoilt_answers_do_not_press_the_limit() -> None:
    """Guards against shedding for what says nothing of load."""
    b, quiet = node(replace(BASE, max_attempts=1), NAMES), node(replace(BASE, max_attempts=1), NAMES)
    for i in range(2000):
        now = 1000.0 + 5.0 * i
        for x in (b, quiet):
            for s in sends(_arrive(x, f"r{i}", now)):
                spoilt = x is b and i % 8 == 0
                status = api.AttemptStatus.RESET if spoilt else api.AttemptStatus.OK
                x.handle(now, api.AttemptFinished(s.request, 0, s.backend, status, 50.0, not spoilt))
    assert b.classes["read"].mean_log_latency_ratio <= quiet.classes["read"].mean_log_latency_ratio + 0.1


def test_log_lines_named_on_the_on_call_page_are_emitted_rarely() -> None:
    lines = []
    b = node(BASE, NAMES)
    for i in range(300):
        for s in sends(acts := _arrive(b, f"r{i}", 1000.0 + i)):
            end = api.AttemptFinished(f"r{i}", 0, s.backend, api.AttemptStatus.CONNECT_FAILED, 1.0, False)
            acts += b.handle(1000.0 + i, end)
        lines += [a.text for a in acts if isinstance(a, api.WriteLog)]
    now = 50_000.0
    failed = b.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
    lines += [a.text for a in failed if isinstance(a, api.WriteLog)]
    b.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
    for i in range(300):
        lines += [a.text for a in _arrive(b, f"h{i}", 70_000.0) if isinstance(a, api.WriteLog)]
    page = (Path(__file__).parents[2] / "docs" / "on-call.md").read_text(encoding="utf-8")
    starts = {line.split(":")[0] for line in lines}
    assert len(lines) <= 4 and starts <= {"panic", "list", "shedding"} and len(starts) >= 2
    assert all(f"`{word}:" in page for word in ("panic", "list", "shedding"))


def test_a_refused_client_is_told_when_to_return_within_the_limit() -> None:
    """Guards against refused clients that come back in step: what they are told differs."""
    told: list[float] = []
    for longest in (0.0, 150.0, 1000.0):
        b = node(replace(BASE, max_retry_after_ms=longest), ["b0"])
        b.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, []))
        got = [answers(_arrive(b, f"r{i}", 1000.0))[0] for i in range(20)]
        told = [a.retry_after_ms for a in got if isinstance(a, api.RejectRequest)]
        assert len(told) == 20 and all(0.0 <= t <= longest for t in told)
        assert longest == 0.0 or min(told) > 0.0
    assert len(set(told)) == 20


def test_the_lowest_limit_grows_with_the_backends_that_fall_to_a_node() -> None:
    """Guards against few busy nodes that starve a fleet where serving alone takes much of the aim."""
    many = [f"b{i}" for i in range(60)]
    b = node(replace(BASE, node_count=3), many)
    for i in range(2000):
        now = 1000.0 + i
        for s in sends(_arrive(b, f"r{i}", now)):
            b.handle(now, api.AttemptFinished(f"r{i}", 0, s.backend, api.AttemptStatus.OK, 200.0, True))
    assert b.concurrency_limit >= 20.0


def test_many_nodes_before_few_backends_have_lower_limits() -> None:
    """Guards against a crowd of which each node holds no more than its least: 200 times 4 for 80 servers."""
    few, even, many = (
        node(replace(BASE, node_count=size), NAMES).state.min_concurrency_limit
        for size in (2, len(NAMES), 200)
    )
    assert few > even > many
    assert many == 0.6 * even


def test_live_weights_let_the_least_limit_rise_and_take_it_back() -> None:
    """Guards against shedding while cores stand idle, and against keeping a limit that crowds them."""

    def least(held: float, live: bool = True) -> list[float]:
        b, out = node(replace(BASE, has_weights=True, has_live_weights=live), NAMES), list[float]()
        b.state.in_flight = 99  # all comes to be held: the limit binds
        for i in range(60):
            _arrive(b, f"r{i}", 2000.0 + 100.0 * i)
            weight = 1.0 if i < 30 else 1 / (1 + held)
            entries = [entry(name, weight=weight) for name in NAMES]
            b.handle(2000.0 + 100.0 * i, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, entries))
            out.append(b.state.min_concurrency_limit)
        return out

    def with_idle(full: float) -> float:
        b = node(replace(BASE, has_weights=True, has_live_weights=True), NAMES)
        b.state.in_flight = 99
        for i in range(30):
            _arrive(b, f"r{i}", 2000.0 + 100.0 * i)
            for x in NAMES[:6]:
                b.backends[x].rejection_rate = full
            entries = [entry(x, weight=1.0 if x in NAMES[:6] else 0.3) for x in NAMES]
            b.handle(2000.0 + 100.0 * i, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, entries))
        return b.state.limit_relaxation

    # Those that turn away and stand idle are no room for what crowds the rest.
    assert with_idle(0.0) > 1.2 and with_idle(0.5) == 1.0
    eased, crowded = least(0.5), least(3.0)
    assert eased[-1] >= eased[29] > 1.2 * eased[0]
    assert crowded[29] == eased[29] and crowded[-1] < crowded[29]
    assert len(set(least(0.5, live=False))) == 1


def test_what_is_held_and_expired_is_forgotten() -> None:
    """Guards against a list of held requests that grows for as long as an overload lasts."""
    b = node(BASE, NAMES)
    b.state.in_flight = 99
    for i in range(50):
        acts = _arrive(b, f"r{i}", 1000.0 + 1000.0 * i)
        for t in [a for a in acts if isinstance(a, api.SetTimer)]:
            assert answers(b.handle(t.at_ms, api.TimerFired(t.token)))
    assert not b.queued and not b.requests


def test_backends_that_left_are_forgotten() -> None:
    """Guards against a table that grows for as long as backends are replaced; one with work out stays."""
    b = node(BASE, ["old"])
    _arrive(b, "r")
    for i in range(100):
        gone = entry(f"b{i - 1}" if i else "old", phase=api.Phase.REMOVED)
        b.handle(1001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(f"b{i}"), gone]))
    assert sorted(b.backends) == ["b99", "old"]
    b.handle(1002.0, api.AttemptFinished("r", 0, "old", api.AttemptStatus.OK, 2.0, True))
    b.handle(1003.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, []))
    assert sorted(b.backends) == ["b99"]


def test_what_is_held_is_refused_while_its_client_can_still_ask_elsewhere() -> None:
    """Guards against a pile of held requests that nothing serves any more and that clients wait for."""
    b = node(BASE, NAMES)
    b.state.in_flight = 99
    acts = _arrive(b, "r")
    timer = next(a for a in acts if isinstance(a, api.SetTimer))
    assert timer.at_ms <= 1000.0 + SAFE.latency_objective_ms / 2
    assert isinstance(answers(b.handle(timer.at_ms, api.TimerFired(timer.token)))[0], api.RejectRequest)


def test_a_site_without_a_ramp_may_shrink_and_have_clocks_that_differ() -> None:
    """Guards against a division by a ramp of nothing, which a site may state."""
    b = Balancer(replace(BASE, slow_start_duration_ms=0.0), 1)
    b.handle(
        1000.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.SNAPSHOT, [entry(f"b{i}", started_at_ms=1500.0) for i in range(4)]
        ),
    )
    assert sends(_arrive(b, "r"))
    b.handle(
        1001.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b1", phase=api.Phase.REMOVED)]),
    )
    assert sends(_arrive(b, "s", 1002.0))


def test_any_weight_a_list_may_hold_is_lived_with() -> None:
    """Guards against a sum of live weights that one tiny weight spoils for good, and against overflows."""
    b = node(replace(BASE, has_weights=True, has_live_weights=True), NAMES, weight=0.5)
    for odd in (1e-17, 5e-324, 1e300, 0.0):
        b.handle(1001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b3", weight=odd)]))
        for x in b.backends.values():
            x.queue_estimate = 99
            capacity.update_backend(b.state, x)
        assert sends(_arrive(b, f"r{odd}", 1001.0))
    b.handle(
        1002.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.INCREMENTAL, [entry(n, weight=0.5, kind="new") for n in NAMES]
        ),
    )
    assert (
        b.state.capacity_by_kind[""].backend_count
        == b.state.capacity_by_kind[""].inverse_weight_sum
        == b.state.capacity_by_kind[""].weighted_count
        == 0
    )
    assert b.state.capacity_by_kind["new"].inverse_weight_sum == 2 * INVERSE_WEIGHT_UNIT * len(NAMES)


def test_an_idle_backend_that_restarts_is_cold_at_once() -> None:
    """Guards against its whole share sent to a backend whose counts did not tell of the restart."""
    b = node(replace(BASE, overload_multiple=0.0), NAMES)
    b.state.concurrency_limit = 99.0
    b.handle(
        20_000.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b3", started_at_ms=20_000.0)]),
    )
    got = {s.backend for i in range(30) for s in sends(_arrive(b, f"r{i}", 20_000.0))}
    assert got == set(NAMES) - {"b3"}
