"""A process that stood still: when it is in doubt, and for how long it holds back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.stall_detector import SETTLE_DURATION_MS, STALL_THRESHOLD_MS, StallDetector


def test_a_loop_that_turns_is_never_in_doubt() -> None:
    one = StallDetector(0.0)
    assert not any(one.record_turn(n * STALL_THRESHOLD_MS) for n in range(1, 50))
    assert repr(one) == "<Pause acts>" and one.input_age_ms == 0.0 and not one.settle(0)


def test_a_gap_is_a_doubt_until_it_has_settled() -> None:
    one = StallDetector(0.0)
    assert one.record_turn(4_000.0) == 4_000.0
    assert (
        one.doubt_number == 1
        and one.input_age_ms == 4_000.0
        and repr(one) == "<Pause holds, as old as 4000 ms>"
    )
    assert one.record_turn(4_010.0) == 0.0 and one.doubt_number == 1
    assert one.settle(1) and not one.doubt_number and one.input_age_ms == 0.0
    assert not one.settle(1)  # told twice


def test_a_second_gap_within_a_doubt_begins_it_anew() -> None:
    one = StallDetector(0.0)
    one.record_turn(2_000.0)
    assert (
        one.record_turn(5_000.0) == 3_000.0 and one.input_age_ms == 5_000.0
    )  # by its own timer, which came late
    assert not one.settle(1) and one.settle(2)


@given(st.lists(st.integers(0, 5_000), max_size=40))
def test_whoever_stood_still_waits_and_nobody_waits_for_good(gaps: list[int]) -> None:
    one, now, due = StallDetector(0.0), 0, list[tuple[float, int]]()
    for gap in gaps:
        now += gap
        if one.record_turn(now):
            assert gap > STALL_THRESHOLD_MS and one.doubt_number and one.input_age_ms >= gap
            due.append((now + SETTLE_DURATION_MS, one.doubt_number))
        else:
            assert gap <= STALL_THRESHOLD_MS
        ready, due = [h for at, h in due if at <= now], [(at, h) for at, h in due if at > now]
        for hold in ready:  # its timers, after the turn in which they are seen
            one.settle(hold)
        assert bool(one.doubt_number) == (one.input_age_ms > 0)
        assert not one.doubt_number or one.doubt_number in [h for _, h in due]  # there is a way out
        assert one.doubt_number or gap <= STALL_THRESHOLD_MS  # never in the very turn


@pytest.mark.parametrize(
    ("grace", "most"), [(0, STALL_THRESHOLD_MS), (300, 500), (700, 700), (2000, STALL_THRESHOLD_MS)]
)
def test_it_is_in_doubt_after_the_time_to_obey_a_drain_if_that_is_short(grace: float, most: float) -> None:
    """Not sooner than its beats come, which tell it of turns where nothing else happens."""
    one = StallDetector(0.0, grace)
    assert not one.record_turn(most)
    assert one.record_turn(2 * most + 1.0) > most
