"""Many seeded schedules of source faults, each on a world of its own with real nodes, and the judge's word.

    python -m benchmarks.fault_schedules --count 200 --jobs 4

Prints a line for each schedule that is not in order, with what went wrong, and a table of all. Exit 0 where
no rule broke, no request went to a removed server after the grace, every source got up to date after its
faults and no node crashed; else 1. Each of the `--jobs` processes runs one world at a time, which takes some
`--seconds` and a core at times. `--show SEED` prints what a schedule holds, and runs nothing.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path

from balancer.testbed import fault_schedules as schedules
from balancer.testbed.invariant_checker import TITLES

SECONDS = 8.0


@dataclass
class Outcome:
    """One schedule's figures, plain, as they cross from the process that ran it."""

    seed: int
    lines: list[str] = field(default_factory=list)  # the schedule and its faults, where there are any
    broken: Counter[int] = field(default_factory=Counter)  # breaches by rule
    asked: int = 0
    in_time: int = 0
    worth: tuple[float, float] = (0.0, 0.0)
    received: int = 0
    removals: int = 0
    sent_to_removed: int = 0
    stale: int = 0
    crashes: int = 0
    late_ms: float = 0.0
    kinds: Counter[str] = field(default_factory=Counter)

    @property
    def ok(self) -> bool:
        """Whether nothing is wrong."""
        return not self.lines


def one(seed: int, seconds: float) -> Outcome:
    """Run the schedule of a seed; what could not be run at all is a fault too."""
    schedule = schedules.draw(seed, seconds)
    with tempfile.TemporaryDirectory(prefix="balancer-schedule-") as directory:
        try:
            result = asyncio.run(schedules.play(schedule, Path(directory)))
        except Exception as err:
            return Outcome(seed, [*schedule.lines(), f"not run: {err!r}"], crashes=1)
    verdict, faults = result.verdict, result.faults()
    total = verdict.classes["all"]
    return Outcome(
        seed,
        [*schedule.lines(), *faults] if faults else [],
        Counter(b.rule for b in verdict.breaches),
        total.asked,
        total.in_time,
        (total.worth_in_time, total.worth_asked),
        sum(s.received for s in verdict.servers.values()),
        result.removals,
        verdict.sent_to_removed,
        len(result.stale),
        len(result.crashes),
        result.late_ms,
        schedule.kinds,
    )


def table(outcomes: Sequence[Outcome]) -> list[str]:
    """The figures of all."""
    broken, kinds = Counter[int](), Counter[str]()
    for outcome in outcomes:
        broken += outcome.broken
        kinds += outcome.kinds
    late = sorted(outcome.late_ms for outcome in outcomes)
    worth, asked = (sum(o.worth[n] for o in outcomes) for n in (0, 1))
    incidents = ", ".join(f"{count} {kind}" for kind, count in kinds.most_common())
    return [
        f"schedules                                    {len(outcomes)}",
        f"  in order                                   {sum(o.ok for o in outcomes)}",
        *(f"rule {rule}, {title + ':':36} {broken[rule]} broken" for rule, title in TITLES.items()),
        f"sent to removed servers after the grace      {sum(o.sent_to_removed for o in outcomes)}",
        f"sources that did not get up to date          {sum(o.stale for o in outcomes)}",
        f"crashes                                      {sum(o.crashes for o in outcomes)}",
        f"servers that nodes were told drain or went   {sum(o.removals for o in outcomes)}",
        f"requests of clients                          {sum(o.asked for o in outcomes)}",
        f"  answered in time                           {sum(o.in_time for o in outcomes)}",
        f"  worth in time                              {worth / asked if asked else 0.0:.1%}",
        f"requests that servers received               {sum(o.received for o in outcomes)}",
        f"the world's own lateness, median and most    {late[len(late) // 2]:.0f} and {late[-1]:.0f} ms",
        f"incidents: {incidents}",
    ]


def main(argv: Sequence[str] | None = None) -> int:
    """Run them all; the exit code."""
    parser = argparse.ArgumentParser(
        "python -m benchmarks.fault_schedules", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--count", type=int, default=200, help="how many schedules (200)")
    parser.add_argument("--first", type=int, default=1, help="the first seed (1)")
    parser.add_argument("--jobs", type=int, default=4, help="processes, a world each (4)")
    parser.add_argument("--seconds", type=float, default=SECONDS, help=f"of each schedule ({SECONDS:g})")
    parser.add_argument("--show", type=int, metavar="SEED", help="print one schedule and run nothing")
    args = parser.parse_args(argv)
    try:
        shown = schedules.draw(args.first if args.show is None else args.show, args.seconds)
    except ValueError as err:
        parser.error(str(err))
    if args.show is not None:
        print(*shown.lines(), sep="\n")
        return 0
    if args.count < 1 or args.jobs < 1:
        parser.error(f"--count is {args.count}, --jobs is {args.jobs}: both have to be 1 or more")
    begun, outcomes = time.monotonic(), list[Outcome]()
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn")) as pool:
        seeds = range(args.first, args.first + args.count)
        for done in as_completed([pool.submit(one, seed, args.seconds) for seed in seeds]):
            outcome = done.result()
            outcomes.append(outcome)
            if not outcome.ok:
                print(*outcome.lines, sep="\n", flush=True)
    print(*table(outcomes), f"took {time.monotonic() - begun:.0f} s with {args.jobs} processes", sep="\n")
    return 0 if all(outcome.ok for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
