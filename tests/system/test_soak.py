"""Short seeded soak runs: difficult clients, faulty backends and lists, signals in series."""

from __future__ import annotations

import asyncio
from pathlib import Path

from balancer.testbed import soak
from balancer.testbed.soak import Result

SEEDS = range(1, 9)
AT_ONCE = 2
LIMIT_S = 90.0  # of one


def test_soak_breaks_no_rule_and_keeps_the_memory_limit(tmp_path: Path) -> None:
    async def play(seed: int, turns: asyncio.Semaphore) -> Result:
        async with turns, asyncio.timeout(LIMIT_S):
            return await soak.play(soak.draw(seed), tmp_path / str(seed))

    async def test() -> list[Result]:
        turns = asyncio.Semaphore(AT_ONCE)
        return await asyncio.gather(*(play(seed, turns) for seed in SEEDS))

    for result in asyncio.run(test()):
        assert not result.faults(), "\n".join([str(result), *result.plan.lines(), *result.faults()])
        total = result.verdict.classes["all"]
        assert total.asked > 100 and total.in_time > 0, str(result)


def test_seed_stands_for_one_plan() -> None:
    assert soak.draw(3).lines() == soak.draw(3).lines() != soak.draw(4).lines()


def test_plans_hold_every_behavior_limit_and_kind_of_signal() -> None:
    plans = [soak.draw(seed) for seed in range(1, 51)]
    assert {behavior for plan in plans for behavior in plan.difficult_clients} == set(soak.USUAL_BEHAVIORS)
    assert {plan.memory_mb for plan in plans} == {48, 64, 192}
    assert any(sum(plan.difficult_clients.values()) >= 600 for plan in plans)
    texts = " ".join(line for plan in plans for line in plan.lines())
    assert all(word in texts for word in ("SIGTERM SIGHUP", "is killed", "is held up", "reloads", "vanishes"))
