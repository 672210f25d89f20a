"""Soak runs by hand: seeds side by side, a line each; the plan and the faults of a run that broke a rule.

python -m benchmarks.soak 1 50 --at-once 3
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path

from balancer.testbed import soak
from balancer.testbed.cluster import ROOT
from balancer.testbed.soak import Result

MAX_PRINTED_FAULTS = 60  # lines of one run
LIMIT_S = 120.0  # of one run


async def run(seeds: Iterable[int], at_once: int, seconds: float, checkout: Path, directory: Path) -> int:
    """Run the seeds; returns how many of them broke a rule."""
    turns = asyncio.Semaphore(at_once)

    async def play(seed: int) -> bool:
        async with turns, asyncio.timeout(LIMIT_S):
            result = await soak.play(soak.draw(seed, seconds), directory / str(seed), checkout)
        _print(result)
        return bool(result.faults())

    broken = await asyncio.gather(*(play(seed) for seed in seeds))
    print(f"{len(broken) - sum(broken)} of {len(broken)} seeds kept every rule")
    return sum(broken)


def _print(result: Result) -> None:
    print(result, flush=True)
    if faults := result.faults():
        print("\n".join([*result.plan.lines(), *faults[:MAX_PRINTED_FAULTS]]), flush=True)


def main() -> None:
    """Run the seeds of the command line."""
    parser = argparse.ArgumentParser(description="Soak runs of nodes under difficult clients and faults.")
    parser.add_argument("first", type=int, help="the first seed")
    parser.add_argument("last", type=int, help="the last seed")
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=soak.SECONDS)
    parser.add_argument("--checkout", type=Path, default=ROOT, help="whose nodes are run")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        broken = asyncio.run(
            run(
                range(options.first, options.last + 1),
                options.at_once,
                options.seconds,
                options.checkout.resolve(),
                Path(directory),
            )
        )
    sys.exit(min(1, broken))


if __name__ == "__main__":
    main()
