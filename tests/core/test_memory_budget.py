"""The memory budget keeps the process within its limit, whatever it holds besides what is charged."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.memory_budget import (
    BYTES_PER_MB,
    MAX_CAPACITY_RATIO,
    MIN_CAPACITY_BYTES,
    OBSERVATION_INTERVAL_BYTES,
    Charges,
    MemoryBudget,
    Use,
)

MB = BYTES_PER_MB


class Process:
    """A process whose freed memory stays resident: it grows only beyond the most that it held."""

    def __init__(self, program_bytes: int) -> None:
        self.program_bytes = program_bytes
        self.held_bytes = self.most_bytes = 0

    def resident_bytes(self) -> int:
        self.most_bytes = max(self.most_bytes, self.held_bytes)
        return self.program_bytes + self.most_bytes


@pytest.mark.parametrize(("memory_mb", "program_mb"), [(48, 27), (48, 33), (64, 27), (192, 27), (192, 150)])
def test_capacity_is_what_remains_of_the_limit(memory_mb: int, program_mb: int) -> None:
    budget = MemoryBudget.of_process(memory_mb, lambda: program_mb * MB)
    assert budget.overhead_bytes == program_mb * MB
    assert program_mb * MB + budget.capacity_bytes + budget.reserve_bytes <= memory_mb * MB
    assert MIN_CAPACITY_BYTES <= budget.capacity_bytes <= MAX_CAPACITY_RATIO * memory_mb * MB


def test_process_that_exceeds_its_limit_already_gets_the_least_capacity() -> None:
    assert MemoryBudget.of_process(1, lambda: 27 * MB).capacity_bytes == MIN_CAPACITY_BYTES


def test_uses_fill_the_budget_up_to_their_ratio() -> None:
    budget = MemoryBudget(1_000)
    budget.charge(700)
    assert budget.has_room(Use.LARGE_REQUEST) and not budget.has_room(Use.LARGE_REQUEST, 1)
    assert budget.has_room(Use.SMALL_REQUEST, 150) and not budget.has_room(Use.SMALL_REQUEST, 151)
    assert budget.excess_bytes(Use.UNREAD_RESPONSE) == 100 and budget.has_room(Use.RESPONSE, 300)


def test_growth_that_nobody_charges_shrinks_the_capacity() -> None:
    process = Process(27 * MB)
    budget = MemoryBudget.of_process(64, process.resident_bytes)
    before_bytes = budget.capacity_bytes
    process.program_bytes += 5 * MB  # a longer list of endpoints
    budget.refresh()
    assert budget.capacity_bytes == before_bytes - 5 * MB


def test_released_memory_that_stays_resident_is_no_overhead() -> None:
    process = Process(27 * MB)
    budget = MemoryBudget.of_process(64, process.resident_bytes)
    before_bytes = budget.capacity_bytes
    for held_bytes in (20 * MB, -20 * MB):
        process.held_bytes += held_bytes
        budget.charge(held_bytes)
        budget.refresh()
    assert budget.capacity_bytes == before_bytes


def test_growth_of_the_charges_is_observed() -> None:
    observed = list[int]()

    def read() -> int:
        observed.append(budget.charged_bytes)
        return 30 * MB

    budget = MemoryBudget(MB, 64 * MB, read)
    for _ in range(4):
        budget.charge(OBSERVATION_INTERVAL_BYTES // 2)
    budget.charge(-OBSERVATION_INTERVAL_BYTES)
    assert observed == [OBSERVATION_INTERVAL_BYTES, 2 * OBSERVATION_INTERVAL_BYTES]


def test_reserve_that_is_touched_costs_capacity_once_for_each_level() -> None:
    budget = MemoryBudget(MB, 64 * MB)
    budget.charge(30 * MB)
    usable_bytes = 64 * MB - int(budget.reserve_bytes)
    budget.observe(usable_bytes - MB)
    budget.charge(-10 * MB)
    budget.observe(usable_bytes + MB)  # grown, though less is held: gaps that nothing fits
    capacity_bytes = budget.capacity_bytes
    assert capacity_bytes <= 19 * MB
    budget.observe(usable_bytes + MB)
    assert budget.capacity_bytes == capacity_bytes
    budget.observe(usable_bytes - 2 * MB)
    assert budget.capacity_bytes > capacity_bytes


CHANGES = st.lists(st.tuples(st.booleans(), st.integers(1, 2 * MB)), max_size=60)


@given(st.sampled_from((48, 64, 192)), st.integers(20, 35), st.floats(0.0, 2.0), CHANGES)
def test_process_stays_within_its_limit_whatever_a_charge_costs(
    memory_mb: int, program_mb: int, cost_ratio: float, changes: list[tuple[bool, int]]
) -> None:
    """What is held may take twice what is charged for it, and all of it stays resident."""
    process = Process(program_mb * MB)
    budget = MemoryBudget.of_process(memory_mb, process.resident_bytes)
    held = list[int]()
    for grows, change_bytes in changes:
        if grows and budget.has_room(Use.RESPONSE, change_bytes):
            held.append(change_bytes)
            budget.charge(change_bytes)
            process.held_bytes += int(cost_ratio * change_bytes)
        elif not grows and held:
            released_bytes = held.pop()
            budget.charge(-released_bytes)
            process.held_bytes -= int(cost_ratio * released_bytes)
        budget.refresh()
        assert process.resident_bytes() <= memory_mb * MB


def test_charges_follow_updates_and_removals() -> None:
    budget = MemoryBudget(100)
    charges: Charges[str] = Charges(budget)
    charges.update("a", 60)
    charges.update("b", 40)
    assert charges.total_bytes == budget.charged_bytes == 100 and budget.has_room(Use.RESPONSE)
    charges.update("a", 61)
    assert not budget.has_room(Use.RESPONSE) and "a" in charges and charges["a"] == 61
    charges.update("a", 5)
    charges.discard("b")
    charges.discard("b")  # a connection may be released more than once
    assert charges.total_bytes == budget.charged_bytes == 5 and "b" not in charges
    charges.discard("a")
    assert charges.total_bytes == budget.charged_bytes == 0 and "a" not in charges
