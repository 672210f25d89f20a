"""Servers that memory alone vouches for, and figures that an earlier process had learned."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from balancer import interface as api
from balancer.policy import learned_state
from balancer.policy.balancer import Balancer
from balancer.policy.concurrency_limit import MIN_LIMIT_PER_BACKEND
from balancer.policy.routing import CACHED_AGE_SCALE_MS
from tests.helpers import (
    BASE,
    KEYED,
    SAFE,
    UNSAFE,
    entry,
    sends,
)

NAMES = [f"b{n}" for n in range(6)]
CFG = replace(BASE, classes=(SAFE, KEYED, UNSAFE), max_attempts=1)


def remembers(*vouched: str, age: float = 0.0, seed: int = 1, names: list[str] = NAMES) -> Balancer:
    """A node of which a source vouches for these servers alone."""
    out = Balancer(CFG, seed)
    rows = [entry(n, cached_age_ms=None if n in vouched else age) for n in names]
    out.handle(1_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, rows))
    return out


def ask(node: Balancer, name: str, cls: str = "read", now: float = 1_000.0) -> str:
    """Where a request is sent."""
    (send,) = sends(node.handle(now, api.RequestArrived(name, cls, now + 1_000.0)))
    return send.backend


def end(
    node: Balancer, name: str, backend: str, status: api.AttemptStatus, now: float = 1_010.0
) -> list[api.Action]:
    """Its outcome."""
    return node.handle(now, api.AttemptFinished(name, 0, backend, status, 10.0, True))


def fails(node: Balancer, backend: str, status: api.AttemptStatus, now: float = 1_010.0) -> list[api.Action]:
    """Requests go out until one meets this server, and fails there; the others never end."""
    node.state.concurrency_limit = 1e9
    for number in range(200):
        if ask(node, f"f{number}", now=now) == backend:
            return end(node, f"f{number}", backend, status, now)
    raise AssertionError(f"{backend} is not used")


@pytest.mark.parametrize("cls", ["pay", "once"])
def test_bookings_go_to_those_that_a_source_vouches_for_or_that_have_answered(cls: str) -> None:
    node = remembers("b2")
    node.state.concurrency_limit = 1e9
    assert {ask(node, f"r{n}", cls) for n in range(20)} == {"b2"}
    node = remembers()
    node.state.concurrency_limit = 1e9
    where = ask(node, "s", now=1_001.0)
    assert end(node, "s", where, api.AttemptStatus.OK) is not None
    assert {ask(node, f"r{n}", cls) for n in range(20)} == {where}


def test_a_booking_is_not_refused_where_nobody_has_answered() -> None:
    node = remembers()
    node.state.concurrency_limit = 1e9
    acts = [a for n in range(6) for a in node.handle(1_000.0, api.RequestArrived(f"r{n}", "once", 2_000.0))]
    assert {a.backend for a in sends(acts)} == set(NAMES)
    assert api.DecisionReason.PANIC not in {a.reason for a in sends(acts)}


def test_one_safe_request_at_a_time_tries_one_of_memory_alone() -> None:
    """With others to go to none gets a second before it has answered; `literal` would fill all up to m."""
    node = remembers("b0", "b1")
    node.state.concurrency_limit = 1e9
    count = Counter(ask(node, f"r{n}") for n in range(30))
    assert all(count[name] == 1 for name in NAMES[2:]) and count["b0"] > 5


@pytest.mark.parametrize(
    "status", [api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.TIMEOUT, api.AttemptStatus.RESET]
)
def test_the_first_failure_to_answer_drops_one_of_memory_alone_until_a_source_lists_it(
    status: api.AttemptStatus,
) -> None:
    node = remembers()
    acts = fails(node, "b3", status)
    assert (
        api.NoteBackendDecision("b3", api.BackendDecision.UNCONFIRMED_DROPPED) in acts
        and "b3" not in node.order
    )
    assert "b3" not in {ask(node, f"late{n}", now=900_000.0) for n in range(60)}
    node.handle(900_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b3")]))
    assert "b3" in node.order and ask(node, "again", "once", 900_002.0) == "b3"


@pytest.mark.parametrize("status", [api.AttemptStatus.ERROR, api.AttemptStatus.REJECTED])
def test_an_answer_of_any_kind_drops_nobody_and_vouches_for_nobody(status: api.AttemptStatus) -> None:
    node = remembers()
    fails(node, "b3", status)
    assert "b3" in node.order and not node.backends["b3"].is_confirmed


def test_one_that_has_answered_is_not_dropped() -> None:
    node = remembers()
    fails(node, "b3", api.AttemptStatus.OK)
    fails(node, "b3", api.AttemptStatus.RESET, 1_020.0)
    assert "b3" in node.order


def test_half_of_the_list_stays_whatever_fails() -> None:
    node = remembers()
    for number in range(40):
        now = 2_000.0 + 60_000.0 * number
        where = ask(node, f"r{number}", now=now)
        end(node, f"r{number}", where, api.AttemptStatus.CONNECT_FAILED, now + 1.0)
    assert len(node.order) == 3


def test_a_list_that_vouches_brings_back_the_usual_service_at_once() -> None:
    node = remembers()
    node.state.concurrency_limit = 1e9
    node.handle(1_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(n) for n in NAMES]))
    assert not node.index.tiers[2] and len({ask(node, f"r{n}", "once") for n in range(30)}) == 6
    fails(node, "b3", api.AttemptStatus.RESET)
    assert "b3" in node.order


def test_the_older_the_memory_the_less_it_counts() -> None:
    def share(age: float) -> float:
        names = [f"b{n}" for n in range(60)]
        hits = 0
        for seed in range(300):
            node = Balancer(replace(CFG, node_count=1), seed)
            rows = [entry(n, cached_age_ms=age if at % 2 else 1.0) for at, n in enumerate(names)]
            node.handle(1_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, rows))
            hits += int(ask(node, "r")[1:]) % 2
        return hits / 300

    fresh, stale, ancient = share(1.0), share(CACHED_AGE_SCALE_MS), share(100 * CACHED_AGE_SCALE_MS)
    assert fresh > 0.43 and 0.30 < stale < 0.46 and 0.17 < ancient < 0.33 and ancient < stale < fresh + 0.02


def learned() -> api.LearnedState:
    usual = {"read": (50.0, 7.0), "new": (1.0, 1.0)}
    return api.LearnedState(usual, 64.0, {"b1": 3.0}, {"b2": 30_000.0, "b9": 1e9})


def recalls(age: float, told: api.LearnedState | None = None) -> Balancer:
    node = remembers()
    node.handle(1_000.0, api.LearnedStateRestored(told or learned(), age))
    return node


def test_each_kept_figure_halves_in_its_time() -> None:
    reads: list[Callable[[Balancer], float]] = [
        lambda n: n.concurrency_limit,
        lambda n: n.backends["b1"].slowness,
        lambda n: n.classes["read"].expected_latency_ms,
    ]
    figures = (MIN_LIMIT_PER_BACKEND, 64.0), (1.0, 3.0), (SAFE.latency_objective_ms / 4, 50.0)
    half_lives_ms = (
        learned_state.LIMIT_HALF_LIFE_MS,
        learned_state.SLOWNESS_HALF_LIFE_MS,
        learned_state.LATENCY_HALF_LIFE_MS,
    )
    for half, read, (fresh, kept) in zip(half_lives_ms, reads, figures, strict=True):
        assert read(recalls(0.0)) == pytest.approx(kept)
        assert read(recalls(half)) == pytest.approx((fresh + kept) / 2)
        assert read(recalls(50 * half)) == pytest.approx(fresh, rel=1e-6)


def test_an_ejection_ends_when_it_would_have() -> None:
    assert recalls(10_000.0).backends["b2"].ejected_until_ms == 1_000.0 + min(20_000.0, 400.0 * 32)
    assert recalls(29_000.0).backends["b2"].ejected_until_ms == 2_000.0
    assert recalls(31_000.0).backends["b2"].ejected_until_ms <= 1_000.0
    assert "b2" not in {ask(recalls(29_000.0), f"r{n}") for n in range(30)}


@pytest.mark.parametrize("odd", [math.nan, math.inf, -math.inf, -1.0, 1e300])
def test_odd_figures_are_clamped(odd: float) -> None:
    told = api.LearnedState({"read": (odd, odd)}, odd, {"b1": odd}, {"b2": odd})
    for age in (0.0, odd):
        node = recalls(age, told)
        b, cls = node.backends, node.classes["read"]
        assert (
            MIN_LIMIT_PER_BACKEND <= node.concurrency_limit <= CFG.max_open_requests
            and 0.01 <= b["b1"].slowness <= 100.0
        )
        assert b["b2"].ejected_until_ms <= 1_000.0 + 400.0 * 32
        assert 0.0 < cls.expected_latency_ms <= 200.0 and 0.0 <= cls.mean_deviation_ms <= 200.0
        assert ask(node, "r"), "a class that takes too long by memory alone would never be asked for again"


def test_what_is_learned_comes_back_as_it_was() -> None:
    node = recalls(0.0)
    again = node.learned(1_000.0)
    assert (
        again.concurrency_limit == 64.0
        and again.expected_latency_ms["read"] == (50.0, 7.0)
        and again.slowness == {"b1": 3.0}
    )
    assert again.ejection_left_ms == {"b2": 400.0 * 32}
