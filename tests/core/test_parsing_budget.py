"""How much of the loop's time the input of one connection may take."""

from __future__ import annotations

import pytest

from balancer.core.parsing_budget import (
    ALLOWANCE_MS,
    ALLOWANCE_REFILL_RATIO,
    MAX_COST_MS_PER_BYTE,
    MAX_QUEUE_SHARE,
    MAX_SPENT_MS,
    SLICE_BYTES,
    ParsingAllowance,
    pause_after_ms,
)


def test_allowance_is_exhausted_by_work_and_refilled_by_time() -> None:
    allowance = ParsingAllowance()
    assert not allowance.is_exhausted(1000.0)
    allowance.charge(1000.0, ALLOWANCE_MS, SLICE_BYTES)
    assert allowance.is_exhausted(1000.0)
    assert not allowance.is_exhausted(1001.0)
    allowance.charge(1001.0, ALLOWANCE_MS, SLICE_BYTES)
    assert allowance.is_exhausted(1001.0 + 0.9 * ALLOWANCE_MS / ALLOWANCE_REFILL_RATIO)
    assert not allowance.is_exhausted(1001.0 + 1.1 * ALLOWANCE_MS / ALLOWANCE_REFILL_RATIO)


def test_stall_of_the_process_is_not_charged_to_a_usual_request() -> None:
    allowance = ParsingAllowance()
    allowance.charge(1000.0, 150.0, 300)
    assert allowance.spent_ms == pytest.approx(300 * MAX_COST_MS_PER_BYTE)
    assert not allowance.is_exhausted(1000.0)


def test_spent_time_is_bounded_so_that_no_connection_starves() -> None:
    allowance = ParsingAllowance()
    for _ in range(100):
        allowance.charge(1000.0, ALLOWANCE_MS, SLICE_BYTES)
    assert allowance.spent_ms == MAX_SPENT_MS


def test_allowance_does_not_grow_beyond_its_size_or_with_a_clock_that_goes_back() -> None:
    allowance = ParsingAllowance()
    allowance.charge(1e9, 0.0, SLICE_BYTES)
    allowance.charge(1e9, ALLOWANCE_MS, SLICE_BYTES)
    assert allowance.is_exhausted(0.0)
    allowance.charge(0.0, -1.0, SLICE_BYTES)
    assert allowance.spent_ms == ALLOWANCE_MS


@pytest.mark.parametrize("work_ms", [0.0, 2.0, 10.0])
def test_pause_keeps_waiting_input_to_its_share(work_ms: float) -> None:
    assert work_ms == pytest.approx(MAX_QUEUE_SHARE * (work_ms + pause_after_ms(work_ms)))
