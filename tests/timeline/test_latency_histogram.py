"""Answer times within 2%, merged or not, beside a library's sketch of the same promise."""

from __future__ import annotations

import math
import random

import pytest
from ddsketch import DDSketch
from hypothesis import given
from hypothesis import strategies as st

from balancer.timeline import latency_histogram as sketch

TIMES = st.lists(st.floats(sketch.LEAST_MS, 1e6), min_size=1, max_size=60)


def counted(times: list[float]) -> dict[int, int]:
    out: dict[int, int] = {}
    for ms in times:
        at = sketch.bin_of(ms)
        out[at] = out.get(at, 0) + 1
    return out


@given(TIMES, st.floats(0, 1))
def test_a_quantile_is_within_two_percent_of_a_true_one(times: list[float], part: float) -> None:
    rank = math.floor(part * (len(times) - 1))
    true = sorted(times)[rank]
    assert sketch.quantile(counted(times), part) == pytest.approx(true, rel=sketch.ERROR * 1.001)


@given(TIMES, TIMES)
def test_merged_is_as_if_it_had_been_one(one: list[float], two: list[float]) -> None:
    both = counted(one)
    for at, count in counted(two).items():
        both[at] = both.get(at, 0) + count
    assert both == counted(one + two)


def test_as_near_as_a_librarys() -> None:
    rng, theirs = random.Random(3), DDSketch(sketch.ERROR)
    times = [rng.lognormvariate(4, 1) for _ in range(5_000)]
    for ms in times:
        theirs.add(ms)
    mine = counted(times)
    for part in (0.1, 0.5, 0.9, 0.99, 0.999):
        want = theirs.get_quantile_value(part)
        assert sketch.quantile(mine, part) == pytest.approx(want, rel=2.1 * sketch.ERROR)


@pytest.mark.parametrize("ms", [-1.0, 0.0, 1e-300, 1e300])
def test_what_lies_outside_counts_as_the_bound(ms: float) -> None:
    assert 0 <= sketch.bin_of(ms) < sketch.BINS


def test_an_empty_one_has_no_quantile_and_moments_are_those_of_logarithms() -> None:
    assert math.isnan(sketch.quantile({}, 0.5))
    n, total, squares = sketch.moments(counted([10.0, 10.0, 1000.0]).items())
    assert n == 3 and total / 3 == pytest.approx((2 * math.log(10) + math.log(1000)) / 3, abs=0.03)
    assert squares / 3 - (total / 3) ** 2 == pytest.approx(2 / 9 * math.log(100) ** 2, rel=0.02)
