"""Join-Up-To(m): estimates, choice, probing, limits, shedding and ejection."""

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


def _arrive(
    balancer: Balancer, request_id: str, now: float = 1000.0, class_name: str = "read"
) -> list[api.Action]:
    return balancer.handle(now, api.RequestArrived(request_id, class_name, now + 1000.0))


def _finished(
    request_id: str, backend: str, status: api.AttemptStatus = api.AttemptStatus.OK, **overrides: object
) -> api.AttemptFinished:
    closed = status is api.AttemptStatus.OK
    return api.AttemptFinished(request_id, 0, backend, status, 50.0, closed, overrides.get("report"))  # type: ignore[arg-type]


def test_queue_estimate_is_reset_by_idle_report_only() -> None:
    balancer = node(replace(BASE, max_attempts=1), ["x"])
    statuses = (
        api.AttemptStatus.OK,
        api.AttemptStatus.ERROR,
        api.AttemptStatus.TIMEOUT,
        api.AttemptStatus.CONNECT_FAILED,
    )
    for i, status in enumerate(statuses):
        balancer.state.success_rate = 1.0
        _arrive(balancer, f"r{i}")
        before = balancer.backends["x"].queue_estimate
        balancer.handle(1001.0, _finished(f"r{i}", "x", status))
        assert balancer.backends["x"].queue_estimate >= before > 0
    balancer.state.success_rate = 1.0
    _arrive(balancer, "last", 9000.0)
    balancer.handle(9002.0, _finished("last", "x", report=api.LoadReport(3.0, 1.0)))
    assert balancer.backends["x"].queue_estimate > 0
    _arrive(balancer, "idle", 9002.0)
    balancer.handle(9003.0, _finished("idle", "x", report=api.LoadReport(0.0, 0.0)))
    assert balancer.backends["x"].queue_estimate == balancer.backends["x"].in_flight


def test_queued_load_counts_only_without_in_flight() -> None:
    balancer = node(BASE, ["x"])
    _arrive(balancer, "a")
    balancer.handle(1001.0, _finished("a", "x", report=api.LoadReport(4.0, 0.0)))
    assert balancer.backends["x"].queue_estimate == 1
    _arrive(balancer, "b")
    balancer.handle(1002.0, _finished("b", "x", report=api.LoadReport(None, 0.0)))
    assert balancer.backends["x"].queue_estimate == balancer.backends["x"].in_flight


def test_choose_from_below_cap_spreads_over_lowest_estimates() -> None:
    balancer = node(BASE, NAMES)
    pool = [balancer.backends[n] for n in NAMES]
    for backend in pool[2:]:
        backend.queue_estimate = 1
    got = Counter(selection.choose_from(balancer.state, pool, 2).endpoint.id for _ in range(400))
    assert set(got) == {"b0", "b1"} and min(got.values()) > 100


def test_choose_from_with_all_at_cap_is_random() -> None:
    balancer = node(BASE, NAMES)
    pool = [balancer.backends[n] for n in NAMES]
    for i, backend in enumerate(pool):
        backend.queue_estimate = 2 + i
    got = Counter(selection.choose_from(balancer.state, pool, 2).endpoint.id for _ in range(800))
    assert set(got) == set(NAMES) and min(got.values()) > 50


def test_request_with_only_zero_weights_is_sent() -> None:
    """A random draw whose weights are all zero must not fail the request."""
    balancer = node(BASE, NAMES, weight=0.0)
    for backend in balancer.backends.values():
        backend.queue_estimate = 99
    assert sends(_arrive(balancer, "r"))


def test_probing_sends_to_first_idle_backend() -> None:
    balancer = node(LOOKING, NAMES)
    probes = [a.backend for a in _arrive(balancer, "r") if isinstance(a, api.SendProbe)]
    assert len(probes) >= 2 and not sends(_arrive(node(LOOKING, NAMES), "r"))
    assert not sends(
        balancer.handle(
            1001.0, api.ProbeFinished(probes[0], api.AttemptStatus.OK, 1.0, api.LoadReport(2.0, 1.0))
        )
    )
    out = sends(
        balancer.handle(
            1001.0, api.ProbeFinished(probes[1], api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0))
        )
    )
    assert [s.backend for s in out] == [probes[1]]


def test_overdue_probe_pauses_backend() -> None:
    """A node must not wait for a stalled backend: a missing answer counts, whatever its cause."""
    balancer = node(LOOKING, NAMES)
    actions = _arrive(balancer, "r")
    probes = [a.backend for a in actions if isinstance(a, api.SendProbe)]
    timer = next(a for a in actions if isinstance(a, api.SetTimer))
    balancer.handle(1001.0, api.ProbeFinished(probes[0], api.AttemptStatus.OK, 1.0, api.LoadReport(1.0, 0.0)))
    balancer.handle(timer.at_ms, api.TimerFired(timer.token))
    assert all(balancer.backends[p].ejected_until_ms > timer.at_ms for p in probes[1:])


def test_first_attempt_allowance_is_learned_by_majority() -> None:
    """One retry with more time than first attempts have must not cause all first attempts to be rejected."""
    balancer = node(BASE, NAMES)
    for i in range(5):
        balancer.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    balancer.handle(1000.0, api.RequestArrived("long", "read", 1950.0))
    for i in range(5):
        assert not answers(balancer.handle(1001.0, api.RequestArrived(f"b{i}", "read", 1701.0)))


def test_client_retry_past_objective_is_rejected_at_once() -> None:
    balancer = node(BASE, NAMES)
    for i in range(5):
        balancer.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    assert isinstance(
        answers(balancer.handle(1001.0, api.RequestArrived("old", "read", 1501.0)))[0], api.RejectRequest
    )


def test_unmarked_short_deadline_with_marked_retries_is_not_rejected() -> None:
    """Impatient clients must not be rejected; only marked retries are as old as their deadline indicates."""
    balancer = node(replace(BASE, are_retries_marked=True), NAMES)
    for i in range(5):
        balancer.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    assert not answers(balancer.handle(1001.0, api.RequestArrived("hasty", "read", 1501.0)))
    marked = answers(balancer.handle(1001.0, api.RequestArrived("again", "read", 1501.0, is_retry=True)))
    assert isinstance(marked[0], api.RejectRequest)


def test_marked_retries_do_not_affect_first_attempt_allowance() -> None:
    """Many retries must not outvote the first attempts and then pass as such."""
    balancer = node(replace(BASE, are_retries_marked=True), NAMES)
    for i in range(5):
        balancer.handle(1000.0, api.RequestArrived(f"a{i}", "read", 1700.0))
    for i in range(20):
        marked = answers(balancer.handle(1001.0, api.RequestArrived(f"b{i}", "read", 1501.0, is_retry=True)))
        assert isinstance(marked[0], api.RejectRequest)


def test_request_that_cannot_meet_objective_is_rejected_early() -> None:
    balancer = node(replace(BASE, is_weighted_by_work=True), NAMES)
    actions = balancer.handle(1000.0, api.RequestArrived("huge", "read", 2000.0, work_hint=5000.0))
    assert isinstance(answers(actions)[0], api.RejectRequest) and not sends(actions)


def test_subsets_without_probing_are_small_and_even() -> None:
    """With all nodes on all backends, own counts would be meaningless and the routing as good as random."""
    names = [f"b{i:02d}" for i in range(60)]
    counts: Counter[str] = Counter()
    for node_index in range(40):
        balancer = node(replace(BASE, node_index=node_index, node_count=40), names)
        counts.update(balancer.order[: balancer.subset_size])
    assert set(counts) == set(names) and max(counts.values()) <= 2 * min(counts.values())
    assert max(counts.values()) < 40 / 3


def test_probing_node_connects_to_few_backends() -> None:
    """Guards against filling the backends' connection tables, whose size no setting gives."""
    names = [f"b{i:02d}" for i in range(60)]
    balancer = node(replace(LOOKING, node_count=400), names)
    probed = set()
    for i in range(300):
        now = 1000.0 + 10.0 * i
        for p in [a.backend for a in _arrive(balancer, f"r{i}", now) if isinstance(a, api.SendProbe)]:
            probed.add(p)
            for attempt in sends(
                balancer.handle(
                    now, api.ProbeFinished(p, api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0))
                )
            ):
                balancer.handle(
                    now,
                    api.AttemptFinished(attempt.request, 0, attempt.backend, api.AttemptStatus.OK, 5.0, True),
                )
    assert 3 <= len(probed) <= 12


def test_window_of_busy_node_exceeds_its_subset() -> None:
    """A busy node must not overload the few backends that an even share would give it."""
    names = [f"b{i:02d}" for i in range(60)]
    balancer = node(replace(BASE, node_count=300), names)
    balancer.state.concurrency_limit = 30.0
    got = [attempt.backend for i in range(24) for attempt in sends(_arrive(balancer, f"r{i}"))]
    assert len(got) == 24 and max(Counter(got).values()) <= 3
    quiet = node(replace(BASE, node_count=300), names)
    for i in range(24):
        for attempt in sends(_arrive(quiet, f"r{i}")):
            quiet.handle(1000.0, _finished(f"r{i}", attempt.backend))
    assert len([x for x in quiet.backends.values() if x.queue_estimate]) <= 3


def _count_by_zone(balancer: Balancer, count: int, now: float, failing_zone: str = "") -> Counter[str]:
    """Serve requests at once, or time them out in `failing_zone`, and count them by zone."""
    counts: Counter[str] = Counter()
    for i in range(count):
        for attempt in sends(_arrive(balancer, f"{now}-{i}", now + 100.0 * i)):
            zone = balancer.backends[attempt.backend].endpoint.zone
            counts[zone] += 1
            status = api.AttemptStatus.TIMEOUT if zone == failing_zone else api.AttemptStatus.OK
            balancer.handle(
                now + 100.0 * i,
                api.AttemptFinished(attempt.request, 0, attempt.backend, status, 50.0, zone != failing_zone),
            )
    return counts


def test_local_zone_is_preferred_until_it_does_worse() -> None:
    """Guards against needless cross-zone cost, and against staying with an overloaded or failing zone."""

    def make_balancer(price: float) -> Balancer:
        config = replace(BASE, node_count=50, max_attempts=1, prices=api.Prices(cross_zone=price))
        balancer = Balancer(config, 3)
        fleet = [entry(f"b{i:02d}", zone="abcd"[i % 4]) for i in range(40)]
        balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, fleet))
        return balancer

    with_price, without_price = make_balancer(0.12), make_balancer(0.001)
    _count_by_zone(with_price, 200, 1000.0)
    assert _count_by_zone(with_price, 100, 50_000.0)["a"] > 90
    assert _count_by_zone(without_price, 200, 1000.0)["a"] < 120
    _count_by_zone(with_price, 200, 100_000.0, failing_zone="a")
    late = _count_by_zone(with_price, 100, 200_000.0, failing_zone="a")
    assert late["a"] < sum(late.values()) / 2


def test_shedding_after_long_outage_lets_requests_through() -> None:
    """A node that throttles itself to nothing in an outage would never learn that it has ended."""
    served = []
    for seed in range(10):
        balancer = node(replace(BASE, node_count=50, max_attempts=1), ["x", "y", "z"], seed)
        for i in range(300):
            for attempt in sends(_arrive(balancer, f"r{i}", 1000.0 + 1000.0 * i)):
                late = api.AttemptFinished(
                    attempt.request, 0, attempt.backend, api.AttemptStatus.TIMEOUT, 99.0, False
                )
                balancer.handle(1100.0 + 1000.0 * i, late)
        served.append(sum(_count_by_zone(balancer, 40, 400_000.0).values()))
    assert min(served) > 0 and sum(served) > 60


def test_late_answers_reduce_sending() -> None:
    """Hundreds of nodes, each too quiet for its limit, must not keep a fleet serving everything late."""
    config = replace(BASE, node_count=50, classes=(replace(BASE.classes[0], late_priority_weight=0.5),))
    balancer, sent = node(config, ["x", "y", "z"]), 0
    for i in range(100):
        for attempt in sends(_arrive(balancer, f"r{i}", 1000.0 + 1000.0 * i)):
            sent += 1
            balancer.handle(
                1500.0 + 1000.0 * i,
                api.AttemptFinished(attempt.request, 0, attempt.backend, api.AttemptStatus.OK, 500.0, True),
            )
    assert 0 < sent < 60


def _run_with_lost_responses(
    late_priority_weight: float, loss_interval: int, seed: int = 5
) -> tuple[Balancer, int, int]:
    """Return a node of a keyed class with every n-th first response lost; how many it sent, and retried."""
    prices = api.Prices(cross_zone=0.02)
    request_class = replace(KEYED, late_priority_weight=late_priority_weight)
    config = replace(BASE, node_count=50, classes=(request_class,), max_attempts=4, prices=prices)
    balancer, sent_count, retry_count = Balancer(config, seed), 0, 0
    fleet = [entry(f"b{i}", zone="ab"[i % 2]) for i in range(12)]
    balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, fleet))
    for i in range(300):
        balancer.state.spillover, start, n = 0.5, 1000.0 + 2000.0 * i, 0
        actions = balancer.handle(start, api.RequestArrived(f"r{i}", "pay", start + 1000.0))
        sent_count, now = sent_count + bool(sends(actions)), start
        while attempts := sends(actions):
            retry_count += n > 0
            is_lost = n == 0 and i % loss_interval == 0
            duration_ms = (attempts[0].timeout_ms or start + 1000.0 - now) if is_lost else 40.0
            now += duration_ms
            status = api.AttemptStatus.TIMEOUT if is_lost else api.AttemptStatus.OK
            actions = balancer.handle(
                now, api.AttemptFinished(f"r{i}", n, attempts[0].backend, status, duration_ms, not is_lost)
            )
            n += 1
    return balancer, sent_count, retry_count


def test_lost_responses_are_retried_while_useful() -> None:
    """Guards against waiting to the deadline for lost responses, and against cutting jobs short."""
    balancer, sent_count, retry_count = _run_with_lost_responses(0.5, 3)
    assert (
        sent_count == 300 and retry_count >= 95
    )  # all but the first few losses; none fails for lack of budget or zone
    assert (
        0 < sends(balancer.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms < 400
    )
    calm, _, _ = _run_with_lost_responses(0.5, 1000)
    assert sends(calm.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms == 0.0
    worthless, _, _ = _run_with_lost_responses(0.0, 3)
    worthless.state.success_rate = 1.0
    assert sends(worthless.handle(900_000.0, api.RequestArrived("x", "pay", 901_000.0)))[0].timeout_ms > 390


def test_shedding_under_overload_spares_high_priority() -> None:
    """Hundreds of quiet nodes must not keep a fleet overloaded; high-priority requests come first."""
    classes = (replace(SAFE, name="cheap"), replace(SAFE, name="dear", priority_weight=50.0))
    sent: Counter[str] = Counter()
    for seed in range(10):
        balancer = node(replace(BASE, node_count=500, classes=classes, max_attempts=1), NAMES, seed)
        for i in range(150):
            class_name = "dear" if i % 10 == 9 else "cheap"
            for attempt in sends(_arrive(balancer, f"r{i}", 1000.0 + 1000.0 * i, class_name)):
                sent[class_name] += i >= 50
                is_failed = i % 2 == 0
                status = api.AttemptStatus.TIMEOUT if is_failed else api.AttemptStatus.OK
                now = 1400.0 + 1000.0 * i
                balancer.handle(
                    now,
                    api.AttemptFinished(attempt.request, 0, attempt.backend, status, 100.0, not is_failed),
                )
    assert sent["dear"] == 100 and 0.15 * 900 < sent["cheap"] < 0.65 * 900


def test_single_failure_sheds_nothing() -> None:
    """The noise of single answers on a quiet day must not shed good requests."""
    for seed in range(40):
        balancer = node(replace(BASE, node_count=50, max_attempts=1), NAMES, seed)
        for i in range(3):
            got = sends(_arrive(balancer, f"r{i}", 1000.0 + 1000.0 * i))
            status = api.AttemptStatus.TIMEOUT if i == 0 else api.AttemptStatus.OK
            balancer.handle(
                1100.0 + 1000.0 * i, api.AttemptFinished(f"r{i}", 0, got[0].backend, status, 90.0, i > 0)
            )


def test_slow_backend_at_cap_gets_less() -> None:
    """Backends may differ in speed without any report: the random draw follows their latencies."""
    balancer = node(replace(BASE, node_count=50), ["x", "y", "z"])
    got: Counter[str] = Counter()
    for i in range(300):
        for attempt in sends(_arrive(balancer, f"r{i}", 1000.0 + 100.0 * i)):
            got[attempt.backend] += i >= 100
            duration_ms = 150.0 if attempt.backend == "x" else 50.0
            balancer.handle(
                1000.0 + 100.0 * i,
                api.AttemptFinished(
                    attempt.request, 0, attempt.backend, api.AttemptStatus.OK, duration_ms, True
                ),
            )
    assert 0 < got["x"] < min(got["y"], got["z"]) / 2


def test_rejections_served_by_retry_cause_no_shedding() -> None:
    """Short backend queues that reject many first attempts must not cause throttling."""
    balancer, sent, rng = node(replace(BASE, node_count=50), NAMES), 0, random.Random(1)
    for i in range(300):
        now = 1000.0 + 2000.0 * i
        actions, n = _arrive(balancer, f"r{i}", now), 0
        sent += bool(sends(actions))
        while (out := sends(actions)) and n < 3:
            is_rejected = n == 0 and rng.random() < 0.6
            status = api.AttemptStatus.REJECTED if is_rejected else api.AttemptStatus.OK
            actions = balancer.handle(
                now, api.AttemptFinished(f"r{i}", n, out[0].backend, status, 20.0, not is_rejected)
            )
            n += 1
    assert sent == 300


def test_panic_ignores_ejections_but_not_pauses() -> None:
    """A node's own fault may eject all its backends; panic must not flood them with new connections."""

    def count_sends_after(status: api.AttemptStatus) -> int:
        balancer, sent = node(replace(BASE, node_count=50, max_attempts=1), ["x", "y", "z"]), 0
        for backend in balancer.backends.values():
            backend.consecutive_failures = 20  # so many in a row that the next failure ejects
        for i in range(12):
            got = sends(_arrive(balancer, f"r{i}", 1000.0 + i))
            sent += len(got)
            for attempt in got:
                balancer.handle(
                    1000.0 + i, api.AttemptFinished(attempt.request, 0, attempt.backend, status, 1.0, False)
                )
        return sent

    assert count_sends_after(api.AttemptStatus.RESET) == 12
    assert count_sends_after(api.AttemptStatus.CONNECT_FAILED) == 3


@pytest.mark.parametrize(
    ("timeout_fraction", "failure_rate", "max_failures"),
    [(1.0, 0.3, 4), (0.99, 0.1, 2), (0.1, 0.3, 1), (0.0, 0.3, 1)],
)
def test_slow_connections_eject_after_improbable_run_refused_ones_at_once(
    timeout_fraction: float, failure_rate: float, max_failures: int
) -> None:
    """A fleet must not be excluded where a third of the connections are slow and nothing else fails.

    A backend that is always slow to connect is ejected eventually, and panic does not bring it back.
    """
    balancer, failure_count = (
        node(replace(BASE, node_count=50, max_attempts=1, connect_timeout_ms=100.0), ["x"]),
        0,
    )
    backend, balancer.state.failure_rate = balancer.backends["x"], failure_rate
    while backend.ejected_until_ms <= 1000.0:
        (sent,) = sends(_arrive(balancer, f"r{failure_count}"))
        status, failure_count = api.AttemptStatus.CONNECT_FAILED, failure_count + 1
        balancer.handle(
            1000.0, api.AttemptFinished(sent.request, 0, "x", status, timeout_fraction * 100.0, False)
        )
        assert failure_count <= max_failures
    assert failure_count == max_failures and backend.paused_until_ms >= backend.ejected_until_ms
    assert not sends(_arrive(balancer, "last"))


def test_slow_connections_among_good_answers_eject_few() -> None:
    def count_ejections(timeout_fraction: float) -> int:
        balancer = node(replace(BASE, node_count=50, max_attempts=1, connect_timeout_ms=100.0), NAMES)
        rng, count = random.Random(5), 0
        for i in range(600):
            now = 1000.0 + 100.0 * i
            for attempt in sends(_arrive(balancer, f"r{i}", now)):
                is_slow = rng.random() < 0.3
                end = (
                    (api.AttemptStatus.CONNECT_FAILED, timeout_fraction * 100.0)
                    if is_slow
                    else (api.AttemptStatus.OK, 20.0)
                )
                balancer.handle(
                    now, api.AttemptFinished(attempt.request, 0, attempt.backend, *end, not is_slow)
                )
                count += balancer.backends[attempt.backend].ejected_until_ms > now
        return count

    assert 5 * count_ejections(1.0) < count_ejections(0.1)


def test_limit_that_does_not_bind_does_not_rise() -> None:
    """Quiet nodes with a grown limit would flood the fleet in a burst."""
    balancer = node(replace(BASE, node_count=4), NAMES)
    initial_limit = max(balancer.concurrency_limit, balancer.state.min_concurrency_limit)
    for i in range(300):
        got = sends(_arrive(balancer, f"r{i}"))
        balancer.handle(1001.0, _finished(f"r{i}", got[0].backend))
    assert balancer.concurrency_limit <= initial_limit * 1.01


def test_limit_rises_despite_long_round_trip() -> None:
    """A limit must not stay at its minimum all day because of a round trip that load did not cause.

    Also guards against dividing the limit by more backends than exist, which rejected requests it allowed.
    """
    request_class = replace(SAFE, latency_objective_ms=100.0)
    balancer, in_flight = node(replace(BASE, classes=(request_class,)), NAMES), list[str]()
    initial_limit = max(balancer.concurrency_limit, balancer.state.min_concurrency_limit)
    for i in range(600):
        now = 1000.0 + i
        in_flight += [s.request + " " + s.backend for s in sends(_arrive(balancer, f"r{i}", now))]
        while balancer.in_flight + 1 > balancer.concurrency_limit:  # the limit always binds
            name, backend = in_flight.pop(0).split()
            duration_ms = 20.0 if i % 4 else 24.0  # the round trip takes 20 of 100
            actions = balancer.handle(
                now, api.AttemptFinished(name, 0, backend, api.AttemptStatus.OK, duration_ms, True)
            )
            in_flight += [s.request + " " + s.backend for s in sends(actions)]
            if balancer.concurrency_limit > 2 * initial_limit:
                return
    raise AssertionError(f"limit {balancer.concurrency_limit} after 600 answers that no load delayed")


def _closed_loop(
    balancer: Balancer, start: float, length_ms: float, class_name: str, duration_ms: float, clients: int = 60
) -> tuple[int, int]:
    """Run clients that send again after each answer, or shortly after a rejection; count both."""
    queue: list[tuple[float, int, str, api.Event]] = []
    sequence, served, rejected = itertools.count(), 0, 0

    def send_request(when: float) -> None:
        if when >= start + length_ms:
            return
        number = next(sequence)
        event = api.RequestArrived(f"{start}-{number}", class_name, when + 1000.0)
        heapq.heappush(queue, (when, number, event.request, event))

    for i in range(clients):
        send_request(start + duration_ms * i / clients)
    while queue:
        now, _, name, event = heapq.heappop(queue)
        if isinstance(event, api.AttemptFinished):
            served += 1
            send_request(now)
        for action in balancer.handle(now, event):
            if isinstance(action, api.SendAttempt):
                end = api.AttemptFinished(
                    action.request, 0, action.backend, api.AttemptStatus.OK, duration_ms, True
                )
                heapq.heappush(queue, (now + duration_ms, next(sequence), action.request, end))
            elif isinstance(action, api.SetTimer):
                heapq.heappush(queue, (action.at_ms, next(sequence), name, api.TimerFired(action.token)))
            elif isinstance(action, (api.RejectRequest, api.FailRequest)):
                rejected += 1
                send_request(now + 100.0)
    return served, rejected


def test_limit_with_unused_class_rises() -> None:
    """A class without answers never shows slack and must not hold the limit at its minimum for good."""
    alone, among = node(replace(BASE, classes=(SAFE,)), NAMES[:4]), node(BASE, NAMES[:4])
    first = _closed_loop(among, 1000.0, 1000.0, "read", 50.0)
    assert first[0] < 400  # initially the limit waits until every class shows slack
    for balancer in (alone, among):
        _closed_loop(balancer, 3000.0, 5000.0, "read", 50.0)
    got = [_closed_loop(balancer, 9000.0, 5000.0, "read", 50.0) for balancer in (alone, among)]
    assert got[0] == got[1]
    assert among.concurrency_limit > 50


def test_limit_recovers_after_slow_class_falls_silent() -> None:
    """A class that was slow and is no longer used must not hold down all the others."""
    balancer = node(replace(BASE, classes=(SAFE, KEYED)), NAMES[:4])
    _closed_loop(balancer, 1000.0, 10_000.0, "pay", 390.0)
    low = balancer.concurrency_limit
    assert balancer.classes["pay"].mean_log_latency_ratio > 0
    _closed_loop(balancer, 12_000.0, 20_000.0, "read", 50.0)
    assert balancer.concurrency_limit > 2 * low
    # When the class returns, it starts afresh instead of with its state of an hour ago.
    high, late = balancer.concurrency_limit, balancer.classes["pay"].mean_log_latency_ratio
    _arrive(balancer, "back", 3_600_000.0, "pay")
    balancer.handle(3_600_050.0, _finished("back", balancer.requests["back"].attempts[0].backend.endpoint.id))
    assert balancer.classes["pay"].mean_log_latency_ratio < late and balancer.concurrency_limit >= high


def test_decisions_do_not_depend_on_names() -> None:
    """A node acts on numbers, not on names."""

    def run(class_name: str, zone: str, tenant: str) -> list[str]:
        settings = replace(
            BASE,
            classes=(replace(BASE.classes[0], name=class_name),),
            zone=zone,
            tenants=(api.Tenant(tenant, 5.0, 1.0),),
        )
        balancer = Balancer(settings, 7)
        balancer.handle(
            1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry(n, zone=zone) for n in NAMES])
        )
        actions = []
        for i in range(50):
            actions += balancer.handle(
                1000.0 + i, api.RequestArrived(f"r{i}", class_name, 2000.0 + i, tenant=tenant)
            )
        return [repr(a) for a in actions]

    assert run("read", "a", "t") == run("zzz", "north", "q")


def test_idle_reports_are_distrusted_after_failed_sends() -> None:
    """Reports frozen at nothing in flight must not draw every node to the same backends."""

    def sent_of(status: api.AttemptStatus) -> int:
        balancer, sent = node(LOOKING, NAMES), 0
        for i in range(80):
            now = 1000.0 + 2000.0 * i
            for action in _arrive(balancer, f"r{i}", now):
                if isinstance(action, api.SendProbe):
                    seen = api.ProbeFinished(
                        action.backend, api.AttemptStatus.OK, 1.0, api.LoadReport(0.0, 0.0)
                    )
                    for attempt in sends(balancer.handle(now, seen)):
                        sent += 1
                        closed = status is api.AttemptStatus.OK
                        balancer.handle(
                            now, api.AttemptFinished(attempt.request, 0, attempt.backend, status, 5.0, closed)
                        )
        return sent

    assert sent_of(api.AttemptStatus.OK) == 80
    assert sent_of(api.AttemptStatus.REJECTED) < 60


def test_quiet_node_with_failing_attempts_sheds_a_fraction() -> None:
    """Hundreds of nodes must not each keep one request on a fleet that answers none."""
    balancer, sent = node(BASE, NAMES), 0
    for i in range(200):
        now = 1000.0 + 3000.0 * i
        for attempt in sends(_arrive(balancer, f"r{i}", now)):
            sent += 1
            balancer.handle(
                now + 390.0,
                api.AttemptFinished(f"r{i}", 0, attempt.backend, api.AttemptStatus.TIMEOUT, 390.0, False),
            )
    assert 0 < sent < 100


def test_request_queued_again_after_first_attempt_ends_in_time() -> None:
    """A request that is queued again after a rejected attempt must not get lost."""
    balancer = node(replace(BASE, max_attempts=3), ["x"])
    balancer.state.concurrency_limit = 1.0
    first = sends(_arrive(balancer, "a"))[0]
    actions = _arrive(balancer, "b")
    assert first and not sends(actions)
    balancer.state.in_flight = 5  # other requests keep the node at its limit
    again = balancer.handle(1001.0, api.AttemptFinished("a", 0, "x", api.AttemptStatus.REJECTED, 1.0, False))
    timers = [a for a in [*actions, *again] if isinstance(a, api.SetTimer)]
    ended = [x.request for t in timers for x in answers(balancer.handle(t.at_ms, api.TimerFired(t.token)))]
    assert sorted(ended + [x.request for x in answers(again)]) == ["a", "b"]


def test_fleet_wide_noise_ejects_few_and_a_bad_backend() -> None:
    """Noise must not eject most of a healthy fleet; a backend far worse than the rest is ejected."""
    for noise in (0.02, 0.1):
        balancer, rng = node(replace(BASE, max_attempts=1), NAMES), random.Random(5)
        left_out, to_bad = 0, 0
        for i in range(3000):
            now, bad = 1000.0 + 5.0 * i, "b3" if i >= 2000 else ""
            for attempt in sends(_arrive(balancer, f"r{i}", now)):
                is_failed = attempt.backend == bad or rng.random() < noise
                status = api.AttemptStatus.RESET if is_failed else api.AttemptStatus.OK
                balancer.handle(
                    now, api.AttemptFinished(attempt.request, 0, attempt.backend, status, 50.0, not is_failed)
                )
                to_bad += attempt.backend == bad
            left_out += not bad and sum(x.ejected_until_ms > now for x in balancer.backends.values())
        assert left_out < 2000 * len(NAMES) / 50
        assert to_bad < 1000 / len(NAMES) / 3


def test_high_priority_requests_avoid_rejecting_backends() -> None:
    """A backend may reject for a shortage that it does not report, and report itself idle."""
    urgent = replace(SAFE, name="urgent", priority_weight=50.0)
    balancer, urgent_counts = node(replace(BASE, classes=(SAFE, urgent)), NAMES), Counter[str]()
    for i in range(600):
        for attempt in sends(
            _arrive(balancer, f"r{i}", 1000.0 + 20 * i, "urgent" if i % 10 == 0 else "read")
        ):
            urgent_counts[attempt.backend] += i % 10 == 0 and i >= 300
            status = api.AttemptStatus.REJECTED if attempt.backend == "b3" else api.AttemptStatus.OK
            report = api.LoadReport(0.0, 0.0) if attempt.backend == "b3" else api.LoadReport(3.0, 0.0)
            end = api.AttemptFinished(
                attempt.request, 0, attempt.backend, status, 20.0, status is api.AttemptStatus.OK, report
            )
            balancer.handle(1010.0 + 20 * i, end)
    assert urgent_counts["b3"] == 0 and urgent_counts.total() == 30


def test_load_independent_failures_do_not_lower_the_limit() -> None:
    """Failures that say nothing about load must not cause shedding."""
    balancer, without_failures = (
        node(replace(BASE, max_attempts=1), NAMES),
        node(replace(BASE, max_attempts=1), NAMES),
    )
    for i in range(2000):
        now = 1000.0 + 5.0 * i
        for current in (balancer, without_failures):
            for attempt in sends(_arrive(current, f"r{i}", now)):
                is_failed = current is balancer and i % 8 == 0
                status = api.AttemptStatus.RESET if is_failed else api.AttemptStatus.OK
                current.handle(
                    now, api.AttemptFinished(attempt.request, 0, attempt.backend, status, 50.0, not is_failed)
                )
    assert (
        balancer.classes["read"].mean_log_latency_ratio
        <= without_failures.classes["read"].mean_log_latency_ratio + 0.1
    )


def test_log_lines_on_the_on_call_page_are_rate_limited() -> None:
    lines = []
    balancer = node(BASE, NAMES)
    for i in range(300):
        for attempt in sends(actions := _arrive(balancer, f"r{i}", 1000.0 + i)):
            end = api.AttemptFinished(
                f"r{i}", 0, attempt.backend, api.AttemptStatus.CONNECT_FAILED, 1.0, False
            )
            actions += balancer.handle(1000.0 + i, end)
        lines += [a.text for a in actions if isinstance(a, api.WriteLog)]
    now = 50_000.0
    failed = balancer.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
    lines += [a.text for a in failed if isinstance(a, api.WriteLog)]
    balancer.handle(now, api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
    for i in range(300):
        lines += [a.text for a in _arrive(balancer, f"h{i}", 70_000.0) if isinstance(a, api.WriteLog)]
    page = (Path(__file__).parents[2] / "docs" / "on-call.md").read_text(encoding="utf-8")
    starts = {line.split(":")[0] for line in lines}
    assert len(lines) <= 4 and starts <= {"panic", "list", "shedding"} and len(starts) >= 2
    assert all(f"`{word}:" in page for word in ("panic", "list", "shedding"))


def test_retry_after_is_jittered_within_its_maximum() -> None:
    """Rejected clients must not return in step: their retry-after times differ."""
    retry_after_ms: list[float] = []
    for max_retry_after_ms in (0.0, 150.0, 1000.0):
        balancer = node(replace(BASE, max_retry_after_ms=max_retry_after_ms), ["b0"])
        balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, []))
        final_answers = [answers(_arrive(balancer, f"r{i}", 1000.0))[0] for i in range(20)]
        retry_after_ms = [a.retry_after_ms for a in final_answers if isinstance(a, api.RejectRequest)]
        assert len(retry_after_ms) == 20 and all(0.0 <= t <= max_retry_after_ms for t in retry_after_ms)
        assert max_retry_after_ms == 0.0 or min(retry_after_ms) > 0.0
    assert len(set(retry_after_ms)) == 20


def test_minimum_limit_grows_with_backends_per_node() -> None:
    """A few busy nodes must not starve a fleet whose service time is a large part of the objective."""
    many = [f"b{i}" for i in range(60)]
    balancer = node(replace(BASE, node_count=3), many)
    for i in range(2000):
        now = 1000.0 + i
        for attempt in sends(_arrive(balancer, f"r{i}", now)):
            balancer.handle(
                now, api.AttemptFinished(f"r{i}", 0, attempt.backend, api.AttemptStatus.OK, 200.0, True)
            )
    assert balancer.concurrency_limit >= 20.0


def test_minimum_limit_with_many_nodes_is_lower() -> None:
    """Minimum limits add up to an overload: 200 nodes times 4 for 80 servers."""
    few, even, many = (
        node(replace(BASE, node_count=size), NAMES).state.min_concurrency_limit
        for size in (2, len(NAMES), 200)
    )
    assert few > even > many
    assert many == 0.6 * even


def test_live_weights_raise_and_lower_the_minimum_limit() -> None:
    """Guards against shedding while cores are idle, and against keeping a limit that overloads them."""

    def minimum_limits(requests_per_core: float, live: bool = True) -> list[float]:
        balancer, limits = node(replace(BASE, has_weights=True, has_live_weights=live), NAMES), list[float]()
        balancer.state.in_flight = 99  # all requests are queued: the limit binds
        for i in range(60):
            _arrive(balancer, f"r{i}", 2000.0 + 100.0 * i)
            weight = 1.0 if i < 30 else 1 / (1 + requests_per_core)
            entries = [entry(name, weight=weight) for name in NAMES]
            balancer.handle(
                2000.0 + 100.0 * i, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, entries)
            )
            limits.append(balancer.state.min_concurrency_limit)
        return limits

    def relaxation_with_idle_backends(rejection_rate: float) -> float:
        balancer = node(replace(BASE, has_weights=True, has_live_weights=True), NAMES)
        balancer.state.in_flight = 99
        for i in range(30):
            _arrive(balancer, f"r{i}", 2000.0 + 100.0 * i)
            for name in NAMES[:6]:
                balancer.backends[name].rejection_rate = rejection_rate
            entries = [entry(name, weight=1.0 if name in NAMES[:6] else 0.3) for name in NAMES]
            balancer.handle(
                2000.0 + 100.0 * i, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, entries)
            )
        return balancer.state.limit_relaxation

    # Idle backends that reject are no capacity for the load of the others.
    assert relaxation_with_idle_backends(0.0) > 1.2 and relaxation_with_idle_backends(0.5) == 1.0
    relaxed, overloaded = minimum_limits(0.5), minimum_limits(3.0)
    assert relaxed[-1] >= relaxed[29] > 1.2 * relaxed[0]
    assert overloaded[29] == relaxed[29] and overloaded[-1] < overloaded[29]
    assert len(set(minimum_limits(0.5, live=False))) == 1


def test_expired_queued_requests_are_removed() -> None:
    """The queue must not grow for as long as an overload lasts."""
    balancer = node(BASE, NAMES)
    balancer.state.in_flight = 99
    for i in range(50):
        actions = _arrive(balancer, f"r{i}", 1000.0 + 1000.0 * i)
        for t in [a for a in actions if isinstance(a, api.SetTimer)]:
            assert answers(balancer.handle(t.at_ms, api.TimerFired(t.token)))
    assert not balancer.queued and not balancer.requests


def test_removed_backends_without_attempts_are_forgotten() -> None:
    """The table must not grow as backends are replaced; one with attempts in flight stays."""
    balancer = node(BASE, ["old"])
    _arrive(balancer, "r")
    for i in range(100):
        gone = entry(f"b{i - 1}" if i else "old", phase=api.Phase.REMOVED)
        balancer.handle(
            1001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(f"b{i}"), gone])
        )
    assert sorted(balancer.backends) == ["b99", "old"]
    balancer.handle(1002.0, api.AttemptFinished("r", 0, "old", api.AttemptStatus.OK, 2.0, True))
    balancer.handle(1003.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, []))
    assert sorted(balancer.backends) == ["b99"]


def test_queued_request_is_rejected_in_time_for_a_client_retry() -> None:
    """Requests that nothing serves any more must not pile up while their clients wait."""
    balancer = node(BASE, NAMES)
    balancer.state.in_flight = 99
    actions = _arrive(balancer, "r")
    timer = next(a for a in actions if isinstance(a, api.SetTimer))
    assert timer.at_ms <= 1000.0 + SAFE.latency_objective_ms / 2
    assert isinstance(
        answers(balancer.handle(timer.at_ms, api.TimerFired(timer.token)))[0], api.RejectRequest
    )


def test_zero_slow_start_duration_is_supported() -> None:
    """A settings file may set this duration to 0, which must not be divided by."""
    balancer = Balancer(replace(BASE, slow_start_duration_ms=0.0), 1)
    balancer.handle(
        1000.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.SNAPSHOT, [entry(f"b{i}", started_at_ms=1500.0) for i in range(4)]
        ),
    )
    assert sends(_arrive(balancer, "r"))
    balancer.handle(
        1001.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b1", phase=api.Phase.REMOVED)]),
    )
    assert sends(_arrive(balancer, "s", 1002.0))


def test_extreme_listed_weights_are_handled() -> None:
    """One tiny weight must not spoil the sum of live weights for good; weights must not overflow."""
    balancer = node(replace(BASE, has_weights=True, has_live_weights=True), NAMES, weight=0.5)
    for odd in (1e-17, 5e-324, 1e300, 0.0):
        balancer.handle(
            1001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b3", weight=odd)])
        )
        for backend in balancer.backends.values():
            backend.queue_estimate = 99
            capacity.update_backend(balancer.state, backend)
        assert sends(_arrive(balancer, f"r{odd}", 1001.0))
    balancer.handle(
        1002.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.INCREMENTAL, [entry(n, weight=0.5, kind="new") for n in NAMES]
        ),
    )
    assert (
        balancer.state.capacity_by_kind[""].backend_count
        == balancer.state.capacity_by_kind[""].inverse_weight_sum
        == balancer.state.capacity_by_kind[""].weighted_count
        == 0
    )
    assert balancer.state.capacity_by_kind["new"].inverse_weight_sum == 2 * INVERSE_WEIGHT_UNIT * len(NAMES)


def test_idle_backend_after_restart_is_warming_up() -> None:
    """A backend whose counts do not show a restart must not get its full share."""
    balancer = node(replace(BASE, overload_multiple=0.0), NAMES)
    balancer.state.concurrency_limit = 99.0
    balancer.handle(
        20_000.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b3", started_at_ms=20_000.0)]),
    )
    got = {s.backend for i in range(30) for s in sends(_arrive(balancer, f"r{i}", 20_000.0))}
    assert got == set(NAMES) - {"b3"}
