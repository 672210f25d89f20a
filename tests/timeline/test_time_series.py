"""Buckets in three resolutions: nothing is lost between them, what is too old goes, a clock may stop."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from balancer.timeline.time_series import (
    FULL,
    OVERHEAD,
    RESOLUTIONS_S,
    STEPS,
    Bucket,
    Gauges,
    Series,
    finest,
    merged,
    pack,
    unpack,
)

COUNTS = st.dictionaries(st.integers(0, 4_000), st.integers(1, 10**9), max_size=12)
GAUGES = st.builds(
    Gauges,
    st.integers(0, 1_000),
    st.none() | st.floats(0, 1e6),
    st.none() | st.floats(0, 1e6),
    st.none() | st.integers(0, 99),
    st.none() | st.floats(0, 9),
    st.none() | st.text(max_size=9),
)


@given(COUNTS, GAUGES)
def test_what_was_packed_comes_out_again(counts: dict[int, int], gauges: Gauges) -> None:
    assert unpack(7, pack(Bucket(7, counts, gauges))) == Bucket(7, counts, gauges)


@given(st.lists(st.tuples(st.integers(0, 40), COUNTS), min_size=1, max_size=60))
def test_every_resolution_holds_the_same_counts(steps: list[tuple[int, dict[int, int]]]) -> None:
    series, at, whole = Series(), 1_000, Bucket(0)
    for step, counts in steps:  # a step of 0 is a clock that stands still
        at += step
        series.add(at, dict(counts), Gauges())
        whole.add(counts, Gauges())
    for resolution, width in enumerate(RESOLUTIONS_S):
        buckets = series.read(resolution, 0, at + 1)
        assert merged(buckets).counts == whole.counts
        starts = [bucket.at for bucket in buckets]
        assert starts == sorted(set(starts)) and all(start % width == 0 for start in starts)
    assert series.last == at


def test_what_is_older_than_its_resolution_goes() -> None:
    series = Series()
    for at in range(0, 20_000):
        series.add(at, {1: 1}, Gauges())
        series.trim(at, FULL)
    starts = [[bucket.at for bucket in series.read(n, 0, 20_000)] for n in range(3)]
    assert [19_999 - some[0] for some in starts] < [665, 11_500, 20_001] and starts[2][0] == 0
    held = sum(len(text) + OVERHEAD for layer in series.layers for text in layer.texts)
    assert series.size == held
    series.trim(20_000, STEPS[-1], 0)
    assert [len(series.read(n, 0, 20_000)) for n in range(3)] == [10, 6, 10]
    assert series.size < held / 20


def test_steps_only_ever_shorten() -> None:
    for before, after in pairwise(STEPS):
        assert all(a >= b for a, b in zip(before, after, strict=True)) and before != after


def test_the_finest_that_reaches_back() -> None:
    assert finest(9_900, 10_000, 600) == 0
    assert finest(9_000, 10_000, 600) == 1 and finest(9_900, 10_000, 50) == 1
    assert finest(0, 10_800, 600) == 2 and finest(0, 9_999_999, 600) == 2


def test_gauges_keep_the_most_of_the_own_and_the_last_word_of_the_rest() -> None:
    one = Gauges(5, 1.0, None, 3, None, "up")
    one.add(Gauges(2, None, 4.0, None, 1.0, "draining"))
    assert one == Gauges(5, 1.0, 4.0, 3, 1.0, "draining")
