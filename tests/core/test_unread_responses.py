"""Connections closed for responses that their clients do not read."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balancer.core.memory_budget import MemoryBudget, Use
from balancer.core.unread_responses import (
    READ_PROGRESS_GRACE_MS,
    READ_STALL_TIMEOUT_MS,
    UnreadResponses,
)

UNREAD_RATIO = Use.UNREAD_RESPONSE.value


def test_unread_responses_stalled_connection_is_closed_after_timeout_and_deadline() -> None:
    unread = UnreadResponses[str](MemoryBudget(2000))
    unread.update("a", 10, 0.0)
    unread.update("late", 10, 0.0, keep_until_ms=READ_STALL_TIMEOUT_MS + 500)
    assert unread.stalled(READ_STALL_TIMEOUT_MS) == []
    assert unread.stalled(READ_STALL_TIMEOUT_MS + 1) == ["a"]
    assert unread.stalled(READ_STALL_TIMEOUT_MS + 501) == ["a", "late"]


def test_unread_responses_progress_restarts_the_timeout_and_more_bytes_do_not() -> None:
    unread = UnreadResponses[str](MemoryBudget(2000))
    unread.update("reads", 10, 0.0)
    unread.update("writes", 10, 0.0)
    unread.update("reads", 9, READ_STALL_TIMEOUT_MS)
    unread.update("writes", 11, READ_STALL_TIMEOUT_MS)
    assert unread.stalled(READ_STALL_TIMEOUT_MS + 1) == ["writes"]


def test_unread_responses_over_budget_close_the_largest_without_progress() -> None:
    unread = UnreadResponses[str](MemoryBudget(100 / UNREAD_RATIO))
    unread.update("small", 10, 0.0)
    unread.update("large", 60, 0.0)
    unread.update("reads", 80, 0.0)
    unread.update("reads", 70, READ_PROGRESS_GRACE_MS)
    assert unread.is_over_budget
    assert unread.excess(READ_PROGRESS_GRACE_MS + 1) == ["large"]  # the remaining 80 bytes fit
    unread.discard("large")
    assert not unread.is_over_budget and unread.excess(READ_PROGRESS_GRACE_MS + 1) == []


def test_unread_responses_connections_with_progress_close_only_over_the_whole_budget() -> None:
    budget = MemoryBudget(200)
    unread = UnreadResponses[str](budget)
    unread.update("one", 90, 0.0)
    unread.update("two", 110, 0.0)
    assert unread.is_over_budget and unread.excess(0.0) == []
    budget.charge(1)
    assert unread.excess(0.0) == ["two"]


def test_unread_responses_are_closed_for_what_others_hold() -> None:
    budget = MemoryBudget(100 / UNREAD_RATIO)
    unread = UnreadResponses[str](budget)
    unread.update("a", 40, 0.0)
    assert unread.excess(READ_PROGRESS_GRACE_MS + 1) == []
    budget.charge(61)
    assert unread.excess(READ_PROGRESS_GRACE_MS + 1) == ["a"]


UPDATES = st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300), st.floats(0, 500), st.floats(0, 9e3)))


@given(UPDATES)
def test_unread_responses_any_updates_stay_within_the_budget(
    updates: list[tuple[int, int, float, float]],
) -> None:
    budget = MemoryBudget(800)
    unread, now_ms, model = UnreadResponses[int](budget), 0.0, dict[int, int]()
    for key, unread_bytes, passed_ms, until_ms in updates:
        now_ms += passed_ms
        unread.update(key, unread_bytes, now_ms, now_ms + until_ms)
        model[key] = unread_bytes
        for other in [*unread.excess(now_ms), *unread.stalled(now_ms)]:
            unread.discard(other)
            model[other] = 0
        assert unread.total_bytes == budget.charged_bytes == sum(model.values()) <= 800
        assert set(unread) == {key for key, unread_bytes in model.items() if unread_bytes}
    for key in list(model):
        unread.discard(key)
    assert unread.total_bytes == budget.charged_bytes == 0 and len(unread) == 0
