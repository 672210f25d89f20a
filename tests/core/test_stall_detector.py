"""The stall detector: when a doubt begins, and when it ends."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.stall_detector import SETTLE_DURATION_MS, STALL_THRESHOLD_MS, StallDetector


def test_stall_detector_regular_turns_begin_no_doubt() -> None:
    detector = StallDetector(0.0)
    assert not any(detector.record_turn(n * STALL_THRESHOLD_MS) for n in range(1, 50))
    assert repr(detector) == "<StallDetector no doubt>"
    assert detector.input_age_ms == 0.0 and not detector.settle(0)


def test_stall_detector_gap_begins_a_doubt_until_it_is_settled() -> None:
    detector = StallDetector(0.0)
    assert detector.record_turn(4_000.0) == 4_000.0
    assert detector.doubt_number == 1 and detector.input_age_ms == 4_000.0
    assert repr(detector) == "<StallDetector in doubt, input 4000 ms old>"
    assert detector.record_turn(4_010.0) == 0.0 and detector.doubt_number == 1
    assert detector.settle(1) and not detector.doubt_number and detector.input_age_ms == 0.0
    assert not detector.settle(1)  # twice


def test_stall_detector_second_gap_within_a_doubt_begins_it_anew() -> None:
    detector = StallDetector(0.0)
    detector.record_turn(2_000.0)
    assert detector.record_turn(5_000.0) == 3_000.0  # by its own timer, which came late
    assert detector.input_age_ms == 5_000.0
    assert not detector.settle(1) and detector.settle(2)


@given(st.lists(st.integers(0, 5_000), max_size=40))
def test_stall_detector_any_gaps_begin_a_doubt_that_can_always_end(gaps: list[int]) -> None:
    detector, now, due = StallDetector(0.0), 0, list[tuple[float, int]]()
    for gap in gaps:
        now += gap
        if detector.record_turn(now):
            assert gap > STALL_THRESHOLD_MS and detector.doubt_number and detector.input_age_ms >= gap
            due.append((now + SETTLE_DURATION_MS, detector.doubt_number))
        else:
            assert gap <= STALL_THRESHOLD_MS
        ready = [number for at, number in due if at <= now]
        due = [(at, number) for at, number in due if at > now]
        for number in ready:  # its timers, after the turn in which they are seen
            detector.settle(number)
        assert bool(detector.doubt_number) == (detector.input_age_ms > 0)
        pending = [number for _, number in due]
        assert not detector.doubt_number or detector.doubt_number in pending  # it will end
        assert detector.doubt_number or gap <= STALL_THRESHOLD_MS  # never in the turn that begins it


@pytest.mark.parametrize(
    ("grace_ms", "threshold_ms"),
    [(0, STALL_THRESHOLD_MS), (300, 500), (700, 700), (2000, STALL_THRESHOLD_MS)],
)
def test_stall_detector_threshold_is_the_drain_grace_where_that_is_short(
    grace_ms: float, threshold_ms: float
) -> None:
    """But not under the interval of heartbeats, which are the only turns of an idle loop."""
    detector = StallDetector(0.0, grace_ms)
    assert not detector.record_turn(threshold_ms)
    assert detector.record_turn(2 * threshold_ms + 1.0) > threshold_ms
