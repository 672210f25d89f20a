"""Tests of descriptor quotas, the large body budget, and connections closed for unread responses."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balancer.core.connection_admission import (
    MIN_DESCRIPTORS,
    MIN_LARGE_BODY_BUDGET_BYTES,
    MIN_UNREAD_BUDGET_BYTES,
    READ_PROGRESS_GRACE_MS,
    READ_STALL_TIMEOUT_MS,
    RESERVED_DESCRIPTORS,
    UNBUDGETED_BODY_BYTES,
    LargeBodyBudget,
    UnreadResponses,
    connection_limits,
    descriptor_quotas,
    large_body_budget_bytes,
    unread_budget_bytes,
)


@given(st.integers(MIN_DESCRIPTORS, 100_000))
def test_descriptor_quotas_and_limits_add_up_to_all_descriptors(descriptors: int) -> None:
    clients, backends = descriptor_quotas(descriptors)
    served, overload = connection_limits(clients)
    assert clients + backends + RESERVED_DESCRIPTORS == descriptors and min(served, backends) >= 1
    assert served + overload == clients and 0 <= overload <= served


def test_unread_budget_is_an_eighth_of_the_memory_with_a_minimum() -> None:
    assert unread_budget_bytes(192) == 24 * 1024 * 1024
    assert unread_budget_bytes(1) == MIN_UNREAD_BUDGET_BYTES


def test_unread_responses_stalled_connection_is_closed_after_timeout_and_deadline() -> None:
    unread = UnreadResponses[str](1000)
    unread.update("a", 10, 0.0)
    unread.update("late", 10, 0.0, keep_until_ms=READ_STALL_TIMEOUT_MS + 500)
    assert unread.stalled(READ_STALL_TIMEOUT_MS) == []
    assert unread.stalled(READ_STALL_TIMEOUT_MS + 1) == ["a"]
    assert unread.stalled(READ_STALL_TIMEOUT_MS + 501) == ["a", "late"]


def test_unread_responses_progress_restarts_the_timeout_and_more_bytes_do_not() -> None:
    unread = UnreadResponses[str](1000)
    unread.update("reads", 10, 0.0)
    unread.update("writes", 10, 0.0)
    unread.update("reads", 9, READ_STALL_TIMEOUT_MS)
    unread.update("writes", 11, READ_STALL_TIMEOUT_MS)
    assert unread.stalled(READ_STALL_TIMEOUT_MS + 1) == ["writes"]


def test_unread_responses_over_budget_close_the_largest_without_progress() -> None:
    unread = UnreadResponses[str](100)
    unread.update("small", 10, 0.0)
    unread.update("large", 60, 0.0)
    unread.update("reads", 80, 0.0)
    unread.update("reads", 70, READ_PROGRESS_GRACE_MS)
    assert unread.is_over_budget
    assert unread.excess(READ_PROGRESS_GRACE_MS + 1) == ["large"]  # the remaining 80 bytes fit
    unread.discard("large")
    assert not unread.is_over_budget and unread.excess(READ_PROGRESS_GRACE_MS + 1) == []


def test_unread_responses_connections_with_progress_close_only_over_twice_the_budget() -> None:
    unread = UnreadResponses[str](100)
    unread.update("one", 90, 0.0)
    unread.update("two", 110, 0.0)
    assert unread.excess(0.0) == []
    unread.update("three", 1, 0.0)
    assert unread.excess(0.0) == ["two"]


UPDATES = st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300), st.floats(0, 500), st.floats(0, 9e3)))


@given(UPDATES)
def test_unread_responses_any_updates_stay_under_twice_the_budget(
    updates: list[tuple[int, int, float, float]],
) -> None:
    unread, now_ms, model = UnreadResponses[int](400), 0.0, dict[int, int]()
    for key, unread_bytes, passed_ms, until_ms in updates:
        now_ms += passed_ms
        unread.update(key, unread_bytes, now_ms, now_ms + until_ms)
        model[key] = unread_bytes
        for other in [*unread.excess(now_ms), *unread.stalled(now_ms)]:
            unread.discard(other)
            model[other] = 0
        assert unread.total_bytes == sum(model.values()) <= 800
        assert set(unread) == {key for key, unread_bytes in model.items() if unread_bytes}
    for key in list(model):
        unread.discard(key)
    assert unread.total_bytes == 0 and len(unread) == 0


def test_large_body_budget_reserves_up_to_its_limit_and_releases() -> None:
    budget = LargeBodyBudget(100)
    assert budget.reserve(0, UNBUDGETED_BODY_BYTES) == 0  # needs no reservation
    held_bytes = budget.reserve(0, UNBUDGETED_BODY_BYTES + 60)
    assert held_bytes == 60
    grown_bytes = budget.reserve(held_bytes, UNBUDGETED_BODY_BYTES + 90)
    assert grown_bytes == 90
    assert budget.reserve(0, UNBUDGETED_BODY_BYTES + 11) is None  # a failed reservation reserves nothing
    assert budget.reserve(0, UNBUDGETED_BODY_BYTES) == 0  # a small body is never rejected
    assert budget.reserve(grown_bytes, UNBUDGETED_BODY_BYTES + 101) is None and budget.reserved_bytes == 90
    budget.release(grown_bytes)
    assert budget.reserved_bytes == 0


def test_large_body_budget_is_a_sixteenth_of_the_memory_with_a_minimum_of_two_bodies() -> None:
    assert large_body_budget_bytes(192) == 12 * 1024 * 1024
    assert large_body_budget_bytes(1) == MIN_LARGE_BODY_BUDGET_BYTES
