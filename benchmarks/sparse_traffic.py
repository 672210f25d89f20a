"""Decisions of nodes that see little of a large fleet, weighed in virtual time.

    python -m benchmarks.sparse_traffic [--quick] [--part NAME] [--seeds N]

A hundred nodes before forty servers of three cores, whose live weights come 0.1 to 0.9 s late and which turn
slow for long once they held too many. Each constant of the decision module that answers one of the questions
is set to other values, one at a time, on the same seeds: worth served in time, what is refused, servers that
turned slow, attempts at failing servers, and the most that one server got. Nothing is set for good.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from statistics import mean
from types import ModuleType

from balancer.interface import Idempotency
from balancer.policy import (
    concurrency_limit,
    load_shedding,
    outlier_ejection,
    routing,
    slow_start,
    subsetting,
)
from balancer.testbed.service_profile import RequestClass
from balancer.testbed.simulation.report import Report
from balancer.testbed.simulation.scenario import (
    SITE,
    Choke,
    Scenario,
    Trouble,
)
from balancer.testbed.simulation.world import play

NODES, SERVERS, SECONDS = 100, 40, 18.0
CLASSES = (
    RequestClass("check", Idempotency.IDEMPOTENT, 400, 800, worth=12, share=0.16, work_ms=45),
    RequestClass("search", Idempotency.IDEMPOTENT, 2_000, 5_000, share=0.52, work_ms=130),
    RequestClass("book", Idempotency.KEYED, 1_800, 5_000, share=0.32, work_ms=190),
)
BASE = Scenario(
    servers=SERVERS,
    nodes=NODES,
    seconds=SECONDS,
    load=0.65,
    cores=3,
    room=6,
    list_ms=(100.0, 900.0),
    site=replace(SITE, classes=CLASSES),
    live_ms=700.0,
    choke=Choke(),
)


def _some(kind: str, part: float, at_ms: float, length_ms: float, size: float = 1.0) -> tuple[Trouble, ...]:
    """The same trouble at every so many of the servers."""
    step = round(1 / part)
    return tuple(Trouble(kind, at_ms, length_ms, which, size) for which in range(0, SERVERS, step))


DAYS = {
    "calm": BASE,
    "burst": replace(BASE, troubles=(Trouble("burst", 6_000, 4_000, size=2.0),)),
    "failing": replace(BASE, load=0.55, troubles=_some("fail", 1 / 8, 4_000, 10_000, 0.9)),
    "noise": replace(BASE, load=0.55, troubles=_some("fail", 1, 2_000, 14_000, 0.04)),
    "restarts": replace(BASE, load=0.55, troubles=_some("crash", 1 / 2, 4_000, 1_500)),
    "silence": replace(
        BASE, troubles=(Trouble("silence", 5_000, 8_000), Trouble("burst", 5_500, 2_500, size=1.8))
    ),
}


@dataclass(slots=True, frozen=True)
class Question:
    """What is weighed: a constant and its module, its values beside today's, and the days that it is for."""

    asks: str
    module: ModuleType
    name: str
    values: tuple[object, ...]
    days: tuple[str, ...]


QUESTIONS = {
    "subset": Question(
        "how many nodes feed a server", subsetting, "NODES_PER_BACKEND", (8, 16), ("calm", "burst", "failing")
    ),
    "limit": Question(
        "least requests out at a node",
        concurrency_limit,
        "MIN_LIMIT_PER_BACKEND",
        (2.0, 3.0, 6.0),
        ("calm", "burst"),
    ),
    "hold": Question(
        "usual times held for room", routing, "MAX_QUEUE_TIME_LATENCIES", (0.5, 2.0, 3.0), ("calm", "burst")
    ),
    "spare": Question(
        "requests a core from which a server is spared",
        load_shedding,
        "OVERLOAD_REQUESTS_PER_CORE",
        ((1.0, 2.5), (2.0, 3.0), (1e8, 1e9)),
        ("calm", "burst", "restarts", "silence"),
    ),
    "eject": Question(
        "failures in a row that chance explains less often eject",
        outlier_ejection,
        "EJECTION_SIGNIFICANCE",
        (0.1, 0.01, 0.0001),
        ("noise", "failing"),
    ),
    "cold": Question(
        "part of a cold server's room that is used",
        slow_start,
        "SLOW_START_LOAD_FRACTION",
        (0.25, 0.75),
        ("restarts",),
    ),
    "first": Question(
        "first share of sends that are trusted",
        load_shedding,
        "ADAPTIVE_THROTTLING_FACTOR",
        (1.1, 1.8),
        ("burst", "restarts"),
    ),
}


@contextmanager
def other(module: ModuleType, name: str, value: object) -> Iterator[None]:
    """A constant of the module with another value for a while."""
    was = getattr(module, name)
    setattr(module, name, value)
    try:
        yield
    finally:
        setattr(module, name, was)


def played(day: str, seeds: int, quick: bool) -> list[Report]:
    """A day on each seed."""
    made = DAYS[day]
    if quick:
        made = replace(made, seconds=8.0, nodes=NODES // 2, servers=SERVERS // 2)
    return [play(replace(made, seed=seed)) for seed in range(1, seeds + 1)]


def row(day: str, value: str, runs: Sequence[Report]) -> str:
    """One line of a table."""
    broken = sum(sum(run.rules) for run in runs)
    cells = (
        day,
        value,
        f"{mean(run.service for run in runs):.3f}",
        f"{100 * mean(run.refused / run.asked for run in runs):.1f}%",
        f"{100 * mean(run.failed / run.asked for run in runs):.1f}%",
        f"{mean(run.chokes for run in runs):.1f}",
        f"{100 * mean(run.errors / run.attempts for run in runs):.1f}%",
        f"{mean(run.largest_share for run in runs):.2f}",
        str(broken),
    )
    return f"| {' | '.join(cells)} |"


def main(argv: Sequence[str] | None = None) -> None:
    """Print the tables."""
    form = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=form)
    parser.add_argument("--quick", action="store_true", help="half the size, one seed")
    parser.add_argument("--part", action="append", choices=QUESTIONS, help="only this; may be given again")
    parser.add_argument("--seeds", type=int, default=2)
    args = parser.parse_args(argv)
    seeds = 1 if args.quick else args.seeds
    today = {day: played(day, seeds, args.quick) for day in DAYS}
    for part in args.part or QUESTIONS:
        question = QUESTIONS[part]
        print(f"### {part}: {question.asks} (`{question.name}`)\n", flush=True)
        print("| day | value | worth in time | refused | failed | turned slow | errors | largest | rules |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for day in question.days:
            print(row(day, f"{getattr(question.module, question.name)} (today)", today[day]))
            for value in question.values:
                with other(question.module, question.name, value):
                    print(row(day, str(value), played(day, seeds, args.quick)), flush=True)
        print()


if __name__ == "__main__":
    main()
