"""New orders of what may cross in a node, with more requests at once than the tests have.

    python -m benchmarks.shutdown_races --count 100000 --jobs 6

Orders drawn anew, in blocks of BLOCK with a seed each, half of them on uvloop as the program runs and half on
asyncio's own loop. An order in which something is wrong is printed with its block's seed, and `--first SEED
--count 1` plays that block again; one with fewer steps is looked for first. Exit 0 where nothing was wrong.
An order takes some 8 ms of a process.
"""

from __future__ import annotations

import argparse
import random
import re
import sys
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import replace
from multiprocessing import get_context

from tests.system.shutdown_races import Order, draw, found

BLOCK = 250  # orders of one seed
SHOWN = 3  # orders printed of each kind of fault
STEPS = 40  # of which one may be left out while an order is made shorter
Wrong = tuple[int, str, str, list[str]]
"""A block's seed, the loop, the order and what was wrong."""


def kind(line: str) -> str:
    """A fault without its names and figures."""
    return re.sub(r"\d+", "#", line)


def shorter(order: Order, faults: list[str], loop: str) -> tuple[Order, list[str]]:
    """The same fault with as few steps as can be found by leaving out one after the other."""
    wanted, at = kind(faults[0]), 0
    while at < min(len(order.steps), STEPS):
        fewer = replace(order, steps=order.steps[:at] + order.steps[at + 1 :])
        again = [now for _, now in found([fewer], loop) if wanted in map(kind, now)]
        if again:
            order, faults = fewer, again[0]
        else:
            at += 1
    return order, faults


def block(seed: int, requests: int) -> list[Wrong]:
    """Play one block; what was wrong in it."""
    rng = random.Random(seed)
    orders = [draw(rng, rng.randint(1, requests)) for _ in range(BLOCK)]
    loop, out = ("uvloop", "asyncio")[seed % 2], list[Wrong]()
    for order, faults in found(orders, loop):
        least, faults = shorter(order, faults, loop)
        out.append((seed, loop, str(least), faults))
    return out


def main(argv: Sequence[str] | None = None) -> int:
    """Play all blocks; the exit code."""
    parser = argparse.ArgumentParser(
        "python -m benchmarks.shutdown_races", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--count", type=int, default=20_000, help="how many orders (20000)")
    parser.add_argument("--first", type=int, default=1, help="the first block's seed (1)")
    parser.add_argument("--jobs", type=int, default=4, help="processes (4)")
    parser.add_argument("--requests", type=int, default=4, help="at once, at the most (4)")
    args = parser.parse_args(argv)
    if min(args.count, args.jobs, args.requests) < 1:
        parser.error("--count, --jobs and --requests have to be 1 or more")
    begun, kinds, blocks = time.monotonic(), Counter[str](), -(-args.count // BLOCK)
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn")) as pool:
        seeds = range(args.first, args.first + blocks)
        for done in as_completed([pool.submit(block, seed, args.requests) for seed in seeds]):
            for seed, loop, order, faults in done.result():
                what = kind(faults[0])
                kinds[what] += 1
                if kinds[what] <= SHOWN:
                    print(f"block {seed}, {loop}, {order}", *faults, sep="\n    ", flush=True)
    print(f"{blocks * BLOCK} orders, something wrong in {kinds.total()}; {time.monotonic() - begun:.0f} s")
    print(*(f"{count:6} {what}" for what, count in kinds.most_common()), sep="\n")
    return 1 if kinds else 0


if __name__ == "__main__":
    sys.exit(main())
