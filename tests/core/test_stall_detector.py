"""Tests of the stall detector: when a settling period begins and ends."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.stall_detector import SETTLE_DURATION_MS, STALL_THRESHOLD_MS, StallDetector


def test_stall_detector_regular_turns_detect_no_stall() -> None:
    detector = StallDetector(0.0)
    assert not any(detector.record_turn(n * STALL_THRESHOLD_MS) for n in range(1, 50))
    assert repr(detector) == "<StallDetector settled>"
    assert detector.input_age_ms == 0.0 and not detector.settle(0)


def test_stall_detector_gap_begins_a_settling_period_until_it_is_settled() -> None:
    detector = StallDetector(0.0)
    assert detector.record_turn(4_000.0) == 4_000.0
    assert detector.unsettled_stall_number == 1 and detector.input_age_ms == 4_000.0
    assert repr(detector) == "<StallDetector settling, input 4000 ms old>"
    assert detector.record_turn(4_010.0) == 0.0 and detector.unsettled_stall_number == 1
    assert detector.settle(1) and not detector.unsettled_stall_number and detector.input_age_ms == 0.0
    assert not detector.settle(1)  # a second call for the same stall


def test_stall_detector_second_gap_while_settling_restarts_the_period() -> None:
    detector = StallDetector(0.0)
    detector.record_turn(2_000.0)
    assert detector.record_turn(5_000.0) == 3_000.0  # recorded by the settling timer, which fired late
    assert detector.input_age_ms == 5_000.0
    assert not detector.settle(1) and detector.settle(2)


@given(st.lists(st.integers(0, 5_000), max_size=40))
def test_stall_detector_any_gaps_begin_settling_periods_that_can_end(gaps: list[int]) -> None:
    detector, now_ms, pending_timers = StallDetector(0.0), 0, list[tuple[float, int]]()
    for gap in gaps:
        now_ms += gap
        if detector.record_turn(now_ms):
            assert (
                gap > STALL_THRESHOLD_MS and detector.unsettled_stall_number and detector.input_age_ms >= gap
            )
            pending_timers.append((now_ms + SETTLE_DURATION_MS, detector.unsettled_stall_number))
        else:
            assert gap <= STALL_THRESHOLD_MS
        ready = [number for at, number in pending_timers if at <= now_ms]
        pending_timers = [(at, number) for at, number in pending_timers if at > now_ms]
        for number in ready:  # overdue timers fire after the turn is recorded
            detector.settle(number)
        assert bool(detector.unsettled_stall_number) == (detector.input_age_ms > 0)
        pending = [number for _, number in pending_timers]
        assert (
            not detector.unsettled_stall_number or detector.unsettled_stall_number in pending
        )  # a timer will end it
        assert (
            detector.unsettled_stall_number or gap <= STALL_THRESHOLD_MS
        )  # not settled in the turn that detects the stall


@pytest.mark.parametrize(
    ("grace_ms", "threshold_ms"),
    [(0, STALL_THRESHOLD_MS), (300, 500), (700, 700), (2000, STALL_THRESHOLD_MS)],
)
def test_stall_detector_threshold_is_the_drain_grace_where_that_is_short(
    grace_ms: float, threshold_ms: float
) -> None:
    """The threshold stays above the heartbeat interval, as heartbeats are the only turns of an idle loop."""
    detector = StallDetector(0.0, grace_ms)
    assert not detector.record_turn(threshold_ms)
    assert detector.record_turn(2 * threshold_ms + 1.0) > threshold_ms
