"""Backends known from the cache alone, and statistics restored from an earlier process."""

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
CONFIG = replace(BASE, classes=(SAFE, KEYED, UNSAFE), max_attempts=1)


def node_with_cached_list(
    *confirmed: str, age: float = 0.0, seed: int = 1, names: list[str] = NAMES
) -> Balancer:
    """Return a node with a cached list, where a source confirms only the `confirmed` backends."""
    node = Balancer(CONFIG, seed)
    endpoints = [entry(n, cached_age_ms=None if n in confirmed else age) for n in names]
    node.handle(1_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, endpoints))
    return node


def send_request(node: Balancer, name: str, class_name: str = "read", now: float = 1_000.0) -> str:
    """Send a request and return the backend it goes to."""
    (attempt,) = sends(node.handle(now, api.RequestArrived(name, class_name, now + 1_000.0)))
    return attempt.backend


def finish_attempt(
    node: Balancer, name: str, backend: str, status: api.AttemptStatus, now: float = 1_010.0
) -> list[api.Action]:
    """Finish the first attempt of a request."""
    return node.handle(now, api.AttemptFinished(name, 0, backend, status, 10.0, True))


def finish_attempt_at(
    node: Balancer, backend: str, status: api.AttemptStatus, now: float = 1_010.0
) -> list[api.Action]:
    """Send requests until one goes to the given backend, and finish it there; the others stay in flight."""
    node.state.concurrency_limit = 1e9
    for number in range(200):
        if send_request(node, f"f{number}", now=now) == backend:
            return finish_attempt(node, f"f{number}", backend, status, now)
    raise AssertionError(f"{backend} is not used")


@pytest.mark.parametrize("class_name", ["pay", "once"])
def test_non_idempotent_request_goes_to_confirmed_backends(class_name: str) -> None:
    node = node_with_cached_list("b2")
    node.state.concurrency_limit = 1e9
    assert {send_request(node, f"r{n}", class_name) for n in range(20)} == {"b2"}
    node = node_with_cached_list()
    node.state.concurrency_limit = 1e9
    backend_name = send_request(node, "s", now=1_001.0)
    assert finish_attempt(node, "s", backend_name, api.AttemptStatus.OK) is not None
    assert {send_request(node, f"r{n}", class_name) for n in range(20)} == {backend_name}


def test_non_idempotent_request_without_confirmed_backends_is_sent() -> None:
    node = node_with_cached_list()
    node.state.concurrency_limit = 1e9
    actions = [
        a for n in range(6) for a in node.handle(1_000.0, api.RequestArrived(f"r{n}", "once", 2_000.0))
    ]
    assert {a.backend for a in sends(actions)} == set(NAMES)
    assert api.DecisionReason.PANIC not in {a.reason for a in sends(actions)}


def test_unconfirmed_backend_gets_one_idempotent_request_at_a_time() -> None:
    """With others available it gets no second one before it answers; `literal_cap` would fill all up to m."""
    node = node_with_cached_list("b0", "b1")
    node.state.concurrency_limit = 1e9
    count = Counter(send_request(node, f"r{n}") for n in range(30))
    assert all(count[name] == 1 for name in NAMES[2:]) and count["b0"] > 5


@pytest.mark.parametrize(
    "status", [api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.TIMEOUT, api.AttemptStatus.RESET]
)
def test_unconfirmed_backend_without_answer_is_dropped_until_listed(
    status: api.AttemptStatus,
) -> None:
    node = node_with_cached_list()
    actions = finish_attempt_at(node, "b3", status)
    assert (
        api.NoteBackendDecision("b3", api.BackendDecision.UNCONFIRMED_DROPPED) in actions
        and "b3" not in node.order
    )
    assert "b3" not in {send_request(node, f"late{n}", now=900_000.0) for n in range(60)}
    node.handle(900_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("b3")]))
    assert "b3" in node.order and send_request(node, "again", "once", 900_002.0) == "b3"


@pytest.mark.parametrize("status", [api.AttemptStatus.ERROR, api.AttemptStatus.REJECTED])
def test_unconfirmed_backend_with_error_answer_stays_unconfirmed(status: api.AttemptStatus) -> None:
    node = node_with_cached_list()
    finish_attempt_at(node, "b3", status)
    assert "b3" in node.order and not node.backends["b3"].is_confirmed


def test_backend_that_answered_is_not_dropped() -> None:
    node = node_with_cached_list()
    finish_attempt_at(node, "b3", api.AttemptStatus.OK)
    finish_attempt_at(node, "b3", api.AttemptStatus.RESET, 1_020.0)
    assert "b3" in node.order


def test_drop_unconfirmed_keeps_half_of_the_list() -> None:
    node = node_with_cached_list()
    for number in range(40):
        now = 2_000.0 + 60_000.0 * number
        backend_name = send_request(node, f"r{number}", now=now)
        finish_attempt(node, f"r{number}", backend_name, api.AttemptStatus.CONNECT_FAILED, now + 1.0)
    assert len(node.order) == 3


def test_list_from_source_confirms_all_backends() -> None:
    node = node_with_cached_list()
    node.state.concurrency_limit = 1e9
    node.handle(1_001.0, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(n) for n in NAMES]))
    assert not node.index.tiers[2] and len({send_request(node, f"r{n}", "once") for n in range(30)}) == 6
    finish_attempt_at(node, "b3", api.AttemptStatus.RESET)
    assert "b3" in node.order


def test_cached_backend_share_falls_with_age() -> None:
    def share(age: float) -> float:
        names = [f"b{n}" for n in range(60)]
        hits = 0
        for seed in range(300):
            node = Balancer(replace(CONFIG, node_count=1), seed)
            rows = [entry(n, cached_age_ms=age if at % 2 else 1.0) for at, n in enumerate(names)]
            node.handle(1_000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, rows))
            hits += int(send_request(node, "r")[1:]) % 2
        return hits / 300

    fresh, stale, ancient = share(1.0), share(CACHED_AGE_SCALE_MS), share(100 * CACHED_AGE_SCALE_MS)
    assert fresh > 0.43 and 0.30 < stale < 0.46 and 0.17 < ancient < 0.33 and ancient < stale < fresh + 0.02


def sample_state() -> api.LearnedState:
    expected_latency_ms = {"read": (50.0, 7.0), "new": (1.0, 1.0)}
    return api.LearnedState(expected_latency_ms, 64.0, {"b1": 3.0}, {"b2": 30_000.0, "b9": 1e9})


def restored_node(age_ms: float, state: api.LearnedState | None = None) -> Balancer:
    node = node_with_cached_list()
    node.handle(1_000.0, api.LearnedStateRestored(state or sample_state(), age_ms))
    return node


def test_restored_values_decay_with_their_half_lives() -> None:
    getters: list[Callable[[Balancer], float]] = [
        lambda n: n.concurrency_limit,
        lambda n: n.backends["b1"].slowness,
        lambda n: n.classes["read"].expected_latency_ms,
    ]
    values = (MIN_LIMIT_PER_BACKEND, 64.0), (1.0, 3.0), (SAFE.latency_objective_ms / 4, 50.0)
    half_lives_ms = (
        learned_state.LIMIT_HALF_LIFE_MS,
        learned_state.SLOWNESS_HALF_LIFE_MS,
        learned_state.LATENCY_HALF_LIFE_MS,
    )
    for half_life_ms, get, (initial, restored) in zip(half_lives_ms, getters, values, strict=True):
        assert get(restored_node(0.0)) == pytest.approx(restored)
        assert get(restored_node(half_life_ms)) == pytest.approx((initial + restored) / 2)
        assert get(restored_node(50 * half_life_ms)) == pytest.approx(initial, rel=1e-6)


def test_restored_ejection_ends_at_its_original_time() -> None:
    assert restored_node(10_000.0).backends["b2"].ejected_until_ms == 1_000.0 + min(20_000.0, 400.0 * 32)
    assert restored_node(29_000.0).backends["b2"].ejected_until_ms == 2_000.0
    assert restored_node(31_000.0).backends["b2"].ejected_until_ms <= 1_000.0
    assert "b2" not in {send_request(restored_node(29_000.0), f"r{n}") for n in range(30)}


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, -1.0, 1e300])
def test_restored_values_out_of_range_are_clamped(value: float) -> None:
    state = api.LearnedState({"read": (value, value)}, value, {"b1": value}, {"b2": value})
    for age in (0.0, value):
        node = restored_node(age, state)
        backends, class_state = node.backends, node.classes["read"]
        assert (
            MIN_LIMIT_PER_BACKEND <= node.concurrency_limit <= CONFIG.max_open_requests
            and 0.01 <= backends["b1"].slowness <= 100.0
        )
        assert backends["b2"].ejected_until_ms <= 1_000.0 + 400.0 * 32
        assert (
            0.0 < class_state.expected_latency_ms <= 200.0 and 0.0 <= class_state.mean_deviation_ms <= 200.0
        )
        assert send_request(node, "r"), (
            "a class that takes too long by memory alone would never be asked for again"
        )


def test_learned_state_after_restore_is_unchanged() -> None:
    node = restored_node(0.0)
    exported = node.learned(1_000.0)
    assert (
        exported.concurrency_limit == 64.0
        and exported.expected_latency_ms["read"] == (50.0, 7.0)
        and exported.slowness == {"b1": 3.0}
    )
    assert exported.ejection_left_ms == {"b2": 400.0 * 32}
