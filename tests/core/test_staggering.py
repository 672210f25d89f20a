"""Turns: evenly laid whatever the number of nodes, a refusal honoured, retries out of step."""

from __future__ import annotations

import math
from bisect import bisect_left

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.staggering import MAX_PERIOD_MS, StaggeredSchedule


def most(moments: list[float], within_ms: float) -> int:
    ordered = sorted(moments)
    return max(bisect_left(ordered, at + within_ms) - n for n, at in enumerate(ordered))


@pytest.mark.parametrize("nodes", [2, 7, 20, 50, 333, 1_000, 5_000])
def test_first_calls_are_laid_evenly(nodes: int) -> None:
    fleet = [StaggeredSchedule(me, nodes, 50.0) for me in range(nodes)]
    part = fleet[0].period_ms / 20
    assert (
        most([one.first_delay_ms() for one in fleet], part) <= 1.6 * nodes / 20 + 2
    )  # chance: 3x at 20 a part


def test_retries_are_laid_as_evenly_and_never_before_the_advice() -> None:
    fleet = [StaggeredSchedule(me, 1_000, 50.0) for me in range(1_000)]
    calls = [one.first_delay_ms() for one in fleet]
    for advice in (0.0, 40_000.0):
        waits = [one.retry_delay_ms(False, advice) for one in fleet]
        assert min(waits) >= max(advice, 0.999 * fleet[0].period_ms)  # one call a node in a stretch
        calls = [at + wait for at, wait in zip(calls, waits, strict=True)]
        assert most(calls, 1_000.0) <= 1.6 * 40 + 2


def test_a_refusal_doubles_the_stretch_and_one_that_is_away_does_not() -> None:
    one = StaggeredSchedule(3, 1_000, 50.0)
    first = one.period_ms
    one.retry_delay_ms(False)
    assert one.period_ms == first
    one.retry_delay_ms(True)
    assert one.period_ms == 2 * first
    one.reset()
    assert one.period_ms == first
    for _ in range(100):
        one.retry_delay_ms(True)
    assert one.period_ms == MAX_PERIOD_MS


REFUSED = st.lists(st.booleans(), max_size=9)


@given(st.integers(0, 10**9), st.integers(1, 10**6), st.floats(0.001, 1e6), REFUSED)
def test_a_wait_is_finite_and_bounded(me: int, nodes: int, bears: float, refused: list[bool]) -> None:
    one = StaggeredSchedule(me, nodes, bears)
    assert 0.0 <= one.first_delay_ms() < MAX_PERIOD_MS
    assert all(0.0 < one.retry_delay_ms(no) <= 2 * MAX_PERIOD_MS for no in refused)


@pytest.mark.parametrize(("nodes", "bears"), [(0, 50.0), (5, 0.0), (5, -1.0), (5, math.inf), (5, math.nan)])
def test_what_makes_no_sense_is_named(nodes: int, bears: float) -> None:
    with pytest.raises(ValueError, match="both have to be over 0"):
        StaggeredSchedule(0, nodes, bears)
