"""Tests of staggered schedules: calls and retries are spread evenly, and never before `Retry-After`."""

from __future__ import annotations

import math
from bisect import bisect_left

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.staggering import MAX_PERIOD_MS, StaggeredSchedule


def max_calls_within(calls_ms: list[float], interval_ms: float) -> int:
    """Return the maximum number of calls in any interval of this length."""
    ordered = sorted(calls_ms)
    return max(bisect_left(ordered, at_ms + interval_ms) - index for index, at_ms in enumerate(ordered))


@pytest.mark.parametrize("node_count", [2, 7, 20, 50, 333, 1_000, 5_000])
def test_schedule_first_calls_are_spread_evenly(node_count: int) -> None:
    fleet = [StaggeredSchedule(node_index, node_count, 50.0) for node_index in range(node_count)]
    interval_ms = fleet[0].period_ms / 20
    calls_ms = [schedule.first_delay_ms() for schedule in fleet]
    assert (
        max_calls_within(calls_ms, interval_ms) <= 1.6 * node_count / 20 + 2
    )  # random delays give 3 times the mean at 20 nodes


def test_schedule_retries_are_spread_evenly_and_never_before_retry_after() -> None:
    fleet = [StaggeredSchedule(node_index, 1_000, 50.0) for node_index in range(1_000)]
    calls_ms = [schedule.first_delay_ms() for schedule in fleet]
    for retry_after_ms in (0.0, 40_000.0):
        delays_ms = [schedule.retry_delay_ms(False, retry_after_ms) for schedule in fleet]
        assert min(delays_ms) >= max(
            retry_after_ms, 0.999 * fleet[0].period_ms
        )  # one call per node and period
        calls_ms = [at_ms + delay_ms for at_ms, delay_ms in zip(calls_ms, delays_ms, strict=True)]
        assert max_calls_within(calls_ms, 1_000.0) <= 1.6 * 40 + 2


def test_schedule_rejections_double_the_period_and_other_failures_do_not() -> None:
    schedule = StaggeredSchedule(3, 1_000, 50.0)
    base_ms = schedule.period_ms
    schedule.retry_delay_ms(False)
    assert schedule.period_ms == base_ms
    schedule.retry_delay_ms(True)
    assert schedule.period_ms == 2 * base_ms
    schedule.reset()
    assert schedule.period_ms == base_ms
    for _ in range(100):
        schedule.retry_delay_ms(True)
    assert schedule.period_ms == MAX_PERIOD_MS


REJECTIONS = st.lists(st.booleans(), max_size=9)


@given(st.integers(0, 10**9), st.integers(1, 10**6), st.floats(0.001, 1e6), REJECTIONS)
def test_schedule_any_delay_is_finite_and_bounded(
    node_index: int, node_count: int, capacity_per_s: float, rejections: list[bool]
) -> None:
    schedule = StaggeredSchedule(node_index, node_count, capacity_per_s)
    assert 0.0 <= schedule.first_delay_ms() < MAX_PERIOD_MS
    assert all(
        0.0 < schedule.retry_delay_ms(was_rejected) <= 2 * MAX_PERIOD_MS for was_rejected in rejections
    )


@pytest.mark.parametrize(
    ("node_count", "capacity_per_s"), [(0, 50.0), (5, 0.0), (5, -1.0), (5, math.inf), (5, math.nan)]
)
def test_schedule_without_nodes_or_capacity_raises_value_error(
    node_count: int, capacity_per_s: float
) -> None:
    with pytest.raises(ValueError, match="both must be over 0 and finite"):
        StaggeredSchedule(0, node_count, capacity_per_s)
