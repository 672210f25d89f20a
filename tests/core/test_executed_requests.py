"""Ids of requests that may have had an effect: remembered long enough, and never too many."""

from __future__ import annotations

import sys

import pytest

from balancer.core.executed_requests import (
    ENTRY_BYTES,
    MEMORY_DIVISOR,
    RETENTION_MS,
    ExecutedRequests,
    max_executed_requests,
)

START_MS = 1_700_000_000_000.0


@pytest.mark.parametrize("age_ms", [0.0, 1.0, RETENTION_MS - 1.0, RETENTION_MS])
def test_request_is_remembered_for_the_retention(age_ms: float) -> None:
    executed = ExecutedRequests(100)
    executed.add("old", START_MS)
    executed.add("r", START_MS + RETENTION_MS / 2)
    at_ms = START_MS + RETENTION_MS / 2 + age_ms
    assert executed.contains("r", at_ms) and not executed.contains("other", at_ms)


def test_request_is_forgotten_after_twice_the_retention() -> None:
    executed = ExecutedRequests(100)
    executed.add("r", START_MS)
    assert not executed.contains("r", START_MS + 2 * RETENTION_MS) and not len(executed)


def test_count_is_limited_and_the_latest_stay() -> None:
    executed = ExecutedRequests(100)
    for number in range(10_000):
        executed.add(f"r{number}", START_MS)
        assert len(executed) <= 100
    assert all(executed.contains(f"r{number}", START_MS) for number in range(9_950, 10_000))


def test_memory_stays_within_its_part_whatever_the_ids() -> None:
    """Guards against memory that grows with ever new and long ids."""
    count = max_executed_requests(64)
    executed = ExecutedRequests(count)
    for number in range(2 * count):
        executed.add("x" * 1000 + str(number), START_MS)
    generations = executed._current, executed._previous
    held_bytes = sum(sys.getsizeof(ids) + sum(map(sys.getsizeof, ids)) for ids in generations)
    assert held_bytes <= count * ENTRY_BYTES == 64 * 1024 * 1024 / MEMORY_DIVISOR
