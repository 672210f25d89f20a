"""Twenty seeded schedules of source faults, each on a world of its own with real nodes, judged."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from balancer.testbed import fault_schedules as schedules
from balancer.testbed.fault_schedules import INCIDENTS, Result

SEEDS = range(1, 21)
AT_ONCE = 8
LIMIT_S = 60.0  # of one


def test_no_rule_is_broken(tmp_path: Path) -> None:
    async def one(seed: int, turn: asyncio.Semaphore) -> Result:
        async with turn, asyncio.timeout(LIMIT_S):
            return await schedules.play(schedules.draw(seed), tmp_path / str(seed))

    async def test() -> list[Result]:
        turn = asyncio.Semaphore(AT_ONCE)
        return await asyncio.gather(*(one(seed, turn) for seed in SEEDS))

    results = asyncio.run(test())
    for result in results:
        assert not result.faults(), "\n".join([*result.schedule.lines(), *result.faults()])
        assert result.verdict.sent_to_removed == 0
        # Each proves something: servers were taken off, and requests were served all the same.
        total = result.verdict.classes["all"]
        assert result.removals >= 2 and total.asked > 100 and total.in_time > 0.4 * total.asked


def test_the_schedules_hold_every_kind_of_incident() -> None:
    kinds = Counter[str]()
    for seed in SEEDS:
        kinds += schedules.draw(seed).kinds
    assert kinds.keys() == INCIDENTS.keys() and min(kinds.values()) >= 2


def test_a_seed_stands_for_one_schedule() -> None:
    assert schedules.draw(3).lines() == schedules.draw(3).lines() != schedules.draw(4).lines()
    longer = schedules.draw(3, 9.0)
    assert max(step.at_s for step in longer.steps) <= 9.0 and len(longer.steps) > len(schedules.draw(3).steps)
    with pytest.raises(ValueError, match=r"2\.0 s is too short: 3\.9 s"):
        schedules.draw(3, 2.0)
