"""How much of the loop's time the input of one connection may take."""

from __future__ import annotations

import pytest

from balancer.core.parsing_budget import (
    ALLOWANCE_MS,
    ALLOWANCE_REFILL_RATIO,
    MAX_QUEUE_SHARE,
    ParsingAllowance,
    pause_after_ms,
)


def test_allowance_is_exhausted_by_work_and_refilled_by_time() -> None:
    allowance = ParsingAllowance()
    assert not allowance.is_exhausted(1000.0)
    allowance.charge(1000.0, ALLOWANCE_MS)
    assert allowance.is_exhausted(1000.0)
    assert not allowance.is_exhausted(1001.0)
    allowance.charge(1001.0, 2 * ALLOWANCE_MS)
    assert allowance.is_exhausted(1001.0 + ALLOWANCE_MS / ALLOWANCE_REFILL_RATIO)
    assert not allowance.is_exhausted(1001.0 + 3 * ALLOWANCE_MS / ALLOWANCE_REFILL_RATIO)


def test_allowance_does_not_grow_beyond_its_size_or_with_a_clock_that_goes_back() -> None:
    allowance = ParsingAllowance()
    allowance.charge(1e9, 0.0)
    allowance.charge(1e9, ALLOWANCE_MS)
    assert allowance.is_exhausted(0.0)
    allowance.charge(0.0, -1.0)
    assert allowance.spent_ms == ALLOWANCE_MS


@pytest.mark.parametrize("work_ms", [0.0, 2.0, 10.0])
def test_pause_keeps_waiting_input_to_its_share(work_ms: float) -> None:
    assert work_ms == pytest.approx(MAX_QUEUE_SHARE * (work_ms + pause_after_ms(work_ms)))
