"""Tests of the response time sketch: quantiles within 2%, merging, agreement with `ddsketch`."""

from __future__ import annotations

import math
import random

import pytest
from ddsketch import DDSketch
from hypothesis import given
from hypothesis import strategies as st

from balancer.timeline import latency_histogram as sketch

TIMES = st.lists(st.floats(sketch.MIN_MS, 1e6), min_size=1, max_size=60)


def counted(times: list[float]) -> dict[int, int]:
    counts: dict[int, int] = {}
    for ms in times:
        index = sketch.bin_index(ms)
        counts[index] = counts.get(index, 0) + 1
    return counts


@given(TIMES, st.floats(0, 1))
def test_quantile_of_any_times_is_within_two_percent(times: list[float], part: float) -> None:
    rank = math.floor(part * (len(times) - 1))
    true = sorted(times)[rank]
    assert sketch.quantile(counted(times), part) == pytest.approx(true, rel=sketch.RELATIVE_ERROR * 1.001)


@given(TIMES, TIMES)
def test_merge_of_two_sketches_equals_sketch_of_all_times(one: list[float], two: list[float]) -> None:
    both = counted(one)
    for at, count in counted(two).items():
        both[at] = both.get(at, 0) + count
    assert both == counted(one + two)


def test_quantile_of_lognormal_times_agrees_with_ddsketch() -> None:
    rng, reference = random.Random(3), DDSketch(sketch.RELATIVE_ERROR)
    times = [rng.lognormvariate(4, 1) for _ in range(5_000)]
    for ms in times:
        reference.add(ms)
    counts = counted(times)
    for fraction in (0.1, 0.5, 0.9, 0.99, 0.999):
        expected = reference.get_quantile_value(fraction)
        assert sketch.quantile(counts, fraction) == pytest.approx(expected, rel=2.1 * sketch.RELATIVE_ERROR)


@pytest.mark.parametrize("ms", [-1.0, 0.0, 1e-300, 1e300])
def test_bin_index_outside_the_bounds_is_a_valid_bin(ms: float) -> None:
    assert 0 <= sketch.bin_index(ms) < sketch.BIN_COUNT


def test_quantile_of_nothing_is_nan_and_log_moments_match_the_logarithms() -> None:
    assert math.isnan(sketch.quantile({}, 0.5))
    count, log_sum, log_square_sum = sketch.log_moments(counted([10.0, 10.0, 1000.0]).items())
    assert count == 3 and log_sum / 3 == pytest.approx((2 * math.log(10) + math.log(1000)) / 3, abs=0.03)
    assert log_square_sum / 3 - (log_sum / 3) ** 2 == pytest.approx(2 / 9 * math.log(100) ** 2, rel=0.02)
