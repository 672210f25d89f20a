"""The sum of what connections hold for their requests follows each of them."""

from __future__ import annotations

import pytest

from balancer.core.connection_admission import MIN_REQUEST_MEMORY_BYTES, RequestMemory, request_memory_bytes


def test_total_follows_updates_and_removals() -> None:
    memory: RequestMemory[str] = RequestMemory(100)
    memory.update("a", 60)
    memory.update("b", 40)
    assert memory.total_bytes == 100 and not memory.is_over_budget
    memory.update("a", 61)
    assert memory.is_over_budget and "a" in memory
    memory.update("a", 5)
    memory.discard("b")
    memory.discard("b")  # a connection may be released more than once
    assert memory.total_bytes == 5 and "b" not in memory
    memory.discard("a")
    assert memory.total_bytes == 0 and "a" not in memory


@pytest.mark.parametrize(("memory_mb", "expected_mb"), [(1.0, 4), (64.0, 8), (192.0, 24)])
def test_budget_is_a_part_of_the_memory(memory_mb: float, expected_mb: int) -> None:
    assert request_memory_bytes(memory_mb) == expected_mb * 1024 * 1024 >= MIN_REQUEST_MEMORY_BYTES
