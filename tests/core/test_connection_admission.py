"""Unread answers: the sum, who is ended for a stall, who where the budget is gone."""

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
def test_the_shares_and_what_is_kept_make_the_whole(sockets: int) -> None:
    clients, servers = descriptor_quotas(sockets)
    cap, over = connection_limits(clients)
    assert clients + servers + RESERVED_DESCRIPTORS == sockets and min(cap, servers) >= 1
    assert cap + over == clients and 0 <= over <= cap


def test_the_budget_is_an_eighth_of_the_memory_and_never_tiny() -> None:
    assert unread_budget_bytes(192) == 24 * 1024 * 1024
    assert unread_budget_bytes(1) == MIN_UNREAD_BUDGET_BYTES


def test_a_stalled_connection_goes_after_its_time_and_its_deadline() -> None:
    held = UnreadResponses[str](1000)
    held.update("a", 10, 0.0)
    held.update("late", 10, 0.0, keep_until_ms=READ_STALL_TIMEOUT_MS + 500)
    assert held.stalled(READ_STALL_TIMEOUT_MS) == []
    assert held.stalled(READ_STALL_TIMEOUT_MS + 1) == ["a"]
    assert held.stalled(READ_STALL_TIMEOUT_MS + 501) == ["a", "late"]


def test_progress_starts_the_time_anew_and_more_bytes_do_not() -> None:
    held = UnreadResponses[str](1000)
    held.update("reads", 10, 0.0)
    held.update("asks", 10, 0.0)
    held.update("reads", 9, READ_STALL_TIMEOUT_MS)
    held.update("asks", 11, READ_STALL_TIMEOUT_MS)
    assert held.stalled(READ_STALL_TIMEOUT_MS + 1) == ["asks"]


def test_over_the_budget_the_largest_without_progress_go_first() -> None:
    held = UnreadResponses[str](100)
    held.update("small", 10, 0.0)
    held.update("large", 60, 0.0)
    held.update("reads", 80, 0.0)
    held.update("reads", 70, READ_PROGRESS_GRACE_MS)
    assert held.is_over_budget
    assert held.excess(READ_PROGRESS_GRACE_MS + 1) == ["large"]  # 80 are left, which fits
    held.discard("large")
    assert not held.is_over_budget and held.excess(READ_PROGRESS_GRACE_MS + 1) == []


def test_those_that_read_go_only_over_twice_the_budget() -> None:
    held = UnreadResponses[str](100)
    held.update("one", 90, 0.0)
    held.update("two", 110, 0.0)
    assert held.excess(0.0) == []
    held.update("three", 1, 0.0)
    assert held.excess(0.0) == ["two"]


STEPS = st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300), st.floats(0, 500), st.floats(0, 9e3)))


@given(STEPS)
def test_whatever_comes_twice_the_budget_holds_and_the_sum_is_right(
    steps: list[tuple[int, int, float, float]],
) -> None:
    held, now, model = UnreadResponses[int](400), 0.0, dict[int, int]()
    for key, size, passed, until in steps:
        now += passed
        held.update(key, size, now, now + until)
        model[key] = size
        for other in [*held.excess(now), *held.stalled(now)]:
            held.discard(other)
            model[other] = 0
        assert held.total_bytes == sum(model.values()) <= 800
        assert set(held) == {k for k, v in model.items() if v}
    for key in list(model):
        held.discard(key)
    assert held.total_bytes == 0 and len(held) == 0


def test_long_bodies_get_what_is_there_and_give_it_back() -> None:
    long = LargeBodyBudget(100)
    assert long.reserve(0, UNBUDGETED_BODY_BYTES) == 0  # a usual one needs nothing
    first = long.reserve(0, UNBUDGETED_BODY_BYTES + 60)
    assert first == 60
    more = long.reserve(first, UNBUDGETED_BODY_BYTES + 90)
    assert more == 90
    assert long.reserve(0, UNBUDGETED_BODY_BYTES + 11) is None  # and takes nothing
    assert long.reserve(0, UNBUDGETED_BODY_BYTES) == 0  # a usual one is never kept out
    assert long.reserve(more, UNBUDGETED_BODY_BYTES + 101) is None and long.reserved_bytes == 90
    long.release(more)
    assert long.reserved_bytes == 0


def test_the_budget_of_long_bodies_is_a_sixteenth_of_the_memory_and_holds_two() -> None:
    assert large_body_budget_bytes(192) == 12 * 1024 * 1024
    assert large_body_budget_bytes(1) == MIN_LARGE_BODY_BUDGET_BYTES
