"""Unread answers: the sum, who is ended for a stall, who where the budget is gone."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balancer.core.connection_admission import (
    GRACE_MS,
    LEAST_BUDGET,
    LEAST_LONG,
    LEAST_SOCKETS,
    SPARE,
    STALL_MS,
    USUAL_BODY,
    LongBodies,
    UnreadAnswers,
    long_budget,
    places,
    shares,
    unread_budget,
)


@given(st.integers(LEAST_SOCKETS, 100_000))
def test_the_shares_and_what_is_kept_make_the_whole(sockets: int) -> None:
    clients, servers = shares(sockets)
    cap, over = places(clients)
    assert clients + servers + SPARE == sockets and min(cap, servers) >= 1
    assert cap + over == clients and 0 <= over <= cap


def test_the_budget_is_an_eighth_of_the_memory_and_never_tiny() -> None:
    assert unread_budget(192) == 24 * 1024 * 1024
    assert unread_budget(1) == LEAST_BUDGET


def test_a_stalled_connection_goes_after_its_time_and_its_deadline() -> None:
    held = UnreadAnswers[str](1000)
    held.note("a", 10, 0.0)
    held.note("late", 10, 0.0, until_ms=STALL_MS + 500)
    assert held.stalled(STALL_MS) == []
    assert held.stalled(STALL_MS + 1) == ["a"]
    assert held.stalled(STALL_MS + 501) == ["a", "late"]


def test_progress_starts_the_time_anew_and_more_bytes_do_not() -> None:
    held = UnreadAnswers[str](1000)
    held.note("reads", 10, 0.0)
    held.note("asks", 10, 0.0)
    held.note("reads", 9, STALL_MS)
    held.note("asks", 11, STALL_MS)
    assert held.stalled(STALL_MS + 1) == ["asks"]


def test_over_the_budget_the_largest_without_progress_go_first() -> None:
    held = UnreadAnswers[str](100)
    held.note("small", 10, 0.0)
    held.note("large", 60, 0.0)
    held.note("reads", 80, 0.0)
    held.note("reads", 70, GRACE_MS)
    assert held.full
    assert held.excess(GRACE_MS + 1) == ["large"]  # 80 are left, which fits
    held.forget("large")
    assert not held.full and held.excess(GRACE_MS + 1) == []


def test_those_that_read_go_only_over_twice_the_budget() -> None:
    held = UnreadAnswers[str](100)
    held.note("one", 90, 0.0)
    held.note("two", 110, 0.0)
    assert held.excess(0.0) == []
    held.note("three", 1, 0.0)
    assert held.excess(0.0) == ["two"]


STEPS = st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300), st.floats(0, 500), st.floats(0, 9e3)))


@given(STEPS)
def test_whatever_comes_twice_the_budget_holds_and_the_sum_is_right(
    steps: list[tuple[int, int, float, float]],
) -> None:
    held, now, model = UnreadAnswers[int](400), 0.0, dict[int, int]()
    for key, size, passed, until in steps:
        now += passed
        held.note(key, size, now, now + until)
        model[key] = size
        for other in [*held.excess(now), *held.stalled(now)]:
            held.forget(other)
            model[other] = 0
        assert held.total == sum(model.values()) <= 800
        assert set(held) == {k for k, v in model.items() if v}
    for key in list(model):
        held.forget(key)
    assert held.total == 0 and len(held) == 0


def test_long_bodies_get_what_is_there_and_give_it_back() -> None:
    long = LongBodies(100)
    assert long.take(0, USUAL_BODY) == 0  # a usual one needs nothing
    first = long.take(0, USUAL_BODY + 60)
    assert first == 60
    more = long.take(first, USUAL_BODY + 90)
    assert more == 90
    assert long.take(0, USUAL_BODY + 11) is None  # and takes nothing
    assert long.take(0, USUAL_BODY) == 0  # a usual one is never kept out
    assert long.take(more, USUAL_BODY + 101) is None and long.total == 90
    long.give(more)
    assert long.total == 0


def test_the_budget_of_long_bodies_is_a_sixteenth_of_the_memory_and_holds_two() -> None:
    assert long_budget(192) == 12 * 1024 * 1024
    assert long_budget(1) == LEAST_LONG
