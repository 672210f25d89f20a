"""Tests of time series in three resolutions: equal counts in each, retention, a clock that stands still."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from balancer.timeline.time_series import (
    BUCKET_OVERHEAD_BYTES,
    FULL_RETENTION,
    RESOLUTIONS_S,
    RETENTION_LEVELS,
    Bucket,
    Gauges,
    Series,
    finest_resolution,
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
def test_unpack_of_a_packed_bucket_returns_the_bucket(counts: dict[int, int], gauges: Gauges) -> None:
    assert unpack(7, pack(Bucket(7, counts, gauges))) == Bucket(7, counts, gauges)


@given(st.lists(st.tuples(st.integers(0, 40), COUNTS), min_size=1, max_size=60))
def test_series_after_any_steps_has_the_same_counts_in_each_resolution(
    steps: list[tuple[int, dict[int, int]]],
) -> None:
    series, at, whole = Series(), 1_000, Bucket(0)
    for step, counts in steps:  # a step of 0 is a clock that stands still
        at += step
        series.add(at, dict(counts), Gauges())
        whole.add(counts, Gauges())
    for resolution, width in enumerate(RESOLUTIONS_S):
        buckets = series.read(resolution, 0, at + 1)
        assert merged(buckets).counts == whole.counts
        starts = [bucket.start_s for bucket in buckets]
        assert starts == sorted(set(starts)) and all(start % width == 0 for start in starts)
    assert series.last_second == at


def test_series_after_trim_holds_only_buckets_within_the_retention() -> None:
    series = Series()
    for second in range(0, 20_000):
        series.add(second, {1: 1}, Gauges())
        series.trim(second, FULL_RETENTION)
    starts = [[bucket.start_s for bucket in series.read(resolution, 0, 20_000)] for resolution in range(3)]
    assert [19_999 - resolution_starts[0] for resolution_starts in starts] < [665, 11_500, 20_001] and starts[
        2
    ][0] == 0
    size_bytes = sum(
        len(packed) + BUCKET_OVERHEAD_BYTES for layer in series.layers for packed in layer.packed_buckets
    )
    assert series.size_bytes == size_bytes
    series.trim(20_000, RETENTION_LEVELS[-1], 0)
    assert [len(series.read(resolution, 0, 20_000)) for resolution in range(3)] == [10, 6, 10]
    assert series.size_bytes < size_bytes / 20


def test_retention_levels_shorten_step_by_step() -> None:
    for before, after in pairwise(RETENTION_LEVELS):
        assert all(old_s >= new_s for old_s, new_s in zip(before, after, strict=True)) and before != after


def test_finest_resolution_reaches_back_within_the_bucket_limit() -> None:
    assert finest_resolution(9_900, 10_000, 600) == 0
    assert finest_resolution(9_000, 10_000, 600) == 1 and finest_resolution(9_900, 10_000, 50) == 1
    assert finest_resolution(0, 10_800, 600) == 2 and finest_resolution(0, 9_999_999, 600) == 2


def test_gauges_add_keeps_the_maximum_of_own_attempts_and_the_latest_other_values() -> None:
    gauges = Gauges(5, 1.0, None, 3, None, "up")
    gauges.add(Gauges(2, None, 4.0, None, 1.0, "draining"))
    assert gauges == Gauges(5, 1.0, 4.0, 3, 1.0, "draining")
