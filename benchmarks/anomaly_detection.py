"""How fast a departing server is named, against how often one is named without a cause. Virtual time.

    python -m benchmarks.anomaly_detection [--quick] [--part NAME] ... [--jobs N]

Streams: each server answers at some rate in two classes, log-normal times (sigma 0.6), 10% spread between
servers, a wander of 5% of each (an hour's daily wave of 50% over all), 0.1% errors. Parts:

- `delay`: one server of 15, 100, 1,000 steps, drifts or errs; the delay until it is named, 20 seeds, beside
  Lorden's bound for the false alarms that were measured, Envoy's success-rate rule (interval 10 s, 1.9
  standard deviations, 5 hosts, 100 requests), and Page-Hinkley and ADWIN of `river` on the same streams.
- `quiet`: nobody departs; events a day and 1,000 servers.
"""

from __future__ import annotations

import argparse
import math
import os
import random
import sys
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from statistics import median, pstdev
from typing import Any

from balancer.core.anomaly_detection.detector import AnomalyDetector
from balancer.core.anomaly_detection.events import (
    EventType,
    ServerObservation,
    Signal,
    TimelineEvent,
)
from benchmarks.result_table import Row as Line
from benchmarks.result_table import table

CLASSES = {"read": 40.0, "book": 120.0}  # ms
SIGMA, SPREAD, WANDER, WAVE = 0.6, 0.10, 0.05, 0.5
BASE_ERRORS = 0.001
WARM_S = 1_200  # before anything happens
ZONES = "abc"


@dataclass(frozen=True)
class Trouble:
    """What one server does from second `WARM_S` on: a factor by class, a drift a second, a share of
    errors.
    """

    name: str
    factor: float = 1.0
    class_name: str = ""
    drift: float = 0.0
    errors: float = 0.0
    seconds: int = 120
    rate: float = 10.0  # answers a second and server


TROUBLES = (
    Trouble("three times slower", factor=3.0),
    Trouble("half the speed in one class", factor=2.0, class_name="book"),
    Trouble("a half slower", factor=1.5, seconds=600),
    Trouble("10% errors over 0.1%", errors=0.10),
    Trouble("1% a minute", drift=math.log(1.01) / 60, seconds=3_600),
    Trouble("5% an hour", drift=math.log(1.05) / 3_600, seconds=6 * 3_600, rate=3.0),
)


@dataclass
class Fleet:
    """Servers of chance, a second at a time."""

    servers: int
    rate: float
    seed: int
    trouble: Trouble | None = None
    wave: bool = True
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.own = [self.rng.gauss(0.0, SPREAD) for _ in range(self.servers)]
        self.wander = [0.0] * self.servers
        self.bad = self.rng.randrange(self.servers)

    def second(self, now: int) -> Iterator[tuple[int, ServerObservation, list[float]]]:
        """The rows of one second, and the share of errors of each."""
        rng, out = self.rng, now - WARM_S
        wave = WAVE / 2 * (1 - math.cos(2 * math.pi * now / 86_400)) if self.wave else 0.0
        for number in range(self.servers):
            self.wander[number] += -self.wander[number] / 60 + rng.gauss(0.0, WANDER * math.sqrt(2 / 60))
            departs = self.trouble if self.trouble and number == self.bad and out >= 0 else None
            row = ServerObservation(f"s{number}", ZONES[number % 3], "m", number % 8)
            times = []
            for name, usual in CLASSES.items():
                n = poisson(rng, self.rate / 2)
                share = departs.errors if departs and departs.errors else BASE_ERRORS
                bad = sum(rng.random() < share for _ in range(n))
                row.errors += bad
                if not (n := n - bad):
                    continue
                mean = math.log(usual) + self.own[number] + self.wander[number] + math.log1p(wave)
                if departs and departs.class_name in ("", name):
                    mean += math.log(departs.factor) + departs.drift * out
                total = rng.gauss(n * mean, SIGMA * math.sqrt(n))
                spread = SIGMA * SIGMA * rng.gammavariate((n - 1) / 2, 2.0) if n > 1 else 0.0
                row.response_times[name] = (n, total, total * total / n + spread)
                row.successes += n
                times.append(total / n - math.log(usual))
            if row.successes or row.errors:
                yield number, row, times


def poisson(rng: random.Random, mean: float) -> int:
    """Knuth's; means here are small."""
    limit, n, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        n += 1
        product *= rng.random()
    return n


class Envoy:
    """Success-rate outlier detection as Envoy's documentation has it."""

    def __init__(self) -> None:
        self.counts: dict[int, list[int]] = {}

    def feed(self, number: int, row: ServerObservation) -> None:
        """A row."""
        count = self.counts.setdefault(number, [0, 0])
        count[0] += row.successes
        count[1] += row.successes + row.errors

    def end(self, now: int) -> set[int]:
        """Who is out, each 10 s."""
        if now % 10:
            return set()
        rates = {n: good / total for n, (good, total) in self.counts.items() if total >= 100}
        self.counts = {}
        if len(rates) < 5:
            return set()
        mean, spread = sum(rates.values()) / len(rates), pstdev(rates.values())
        return {n for n, rate in rates.items() if rate < mean - 1.9 * spread}


class River:
    """A detector of river's on each server's mean level, or share of errors, a second."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.all: dict[int, Any] = {}

    def feed(self, number: int, row: ServerObservation, times: list[float], errors: bool) -> bool:
        """A row; whether a drift is seen."""
        from river import drift

        if number not in self.all:
            made: Any = drift.ADWIN if self.name == "ADWIN" else partial(drift.PageHinkley, mode="up")
            self.all[number] = made()
        one: Any = self.all[number]
        total = row.successes + row.errors
        value = row.errors / total if errors else sum(times) / len(times) if times else None
        if value is None:
            return False
        one.update(value)
        return bool(one.drift_detected)


@dataclass
class Result:
    """One run: the delay in seconds until the right one was named by each (None: never), and wrong names."""

    delay: dict[str, float | None]
    wrong: dict[str, int]
    at: dict[str, float | None]  # how far it had gone by then, for drifts


def play(trouble: Trouble | None, servers: int, seed: int, seconds: int, others: bool) -> Result:
    """One run."""
    fleet = Fleet(servers, trouble.rate if trouble else 10.0, seed, trouble)
    ours, envoy = AnomalyDetector(), Envoy()
    river = [River("Page-Hinkley"), River("ADWIN")] if others else []
    names = ["ours", *(["Envoy"] if others else []), *(one.name for one in river)]
    delay: dict[str, float | None] = dict.fromkeys(names)
    wrong = dict.fromkeys(names, 0)
    errors = trouble is not None and trouble.errors > 0

    def named(name: str, number: int, now: int) -> None:
        if trouble and now >= WARM_S and number == fleet.bad:
            if delay[name] is None:
                delay[name] = now + 1.0 - WARM_S
        else:
            wrong[name] += 1

    for now in range(WARM_S + seconds):
        ours.begin_round((now + 1) * 1000.0)
        for number, row, times in fleet.second(now):
            ours.observe(row)
            if others:
                envoy.feed(number, row)
                for one in river:
                    if one.feed(number, row, times, errors):
                        named(one.name, number, now)
        for told in ours.end_round():
            if told.event_type is EventType.ANOMALY_BEGAN:
                ours_named(named, told, now, trouble)
        if others:
            for number in envoy.end(now + 1):
                named("Envoy", number, now)
        if trouble and delay["ours"] is not None and not others:
            break
    at = {
        n: (math.exp(trouble.drift * d) - 1 if trouble and d is not None else None) for n, d in delay.items()
    }
    return Result(delay, wrong, at)


def ours_named(named: Any, told: TimelineEvent, now: int, trouble: Trouble | None) -> None:
    """An event of ours."""
    wanted = Signal.ERRORS if trouble and trouble.errors else Signal.RESPONSE_TIME
    number = int(told.subject[1:]) if told.scope.value == "server" and told.signal is wanted else -1
    named("ours", number, now)


def lorden(trouble: Trouble, alarms_a_day: float, servers: int) -> float:
    """Least mean delay in seconds with so many false alarms: log(gamma) over the information a second.

    Lorden (1971): the mean time between false alarms of one server, in seconds, over the divergence between
    the streams after and before. The level of a server is known to itself there, which it is to nobody
    here.
    """
    gamma = 86_400.0 * servers / max(alarms_a_day, 1.0)
    if trouble.errors:
        p, q = trouble.errors, BASE_ERRORS
        each = p * math.log(p / q) + (1 - p) * math.log((1 - p) / (1 - q))
        return math.log(gamma) / (trouble.rate * each)
    rate = trouble.rate / (2 if trouble.class_name else 1)
    variance = SIGMA**2 / rate + WANDER**2
    if trouble.drift:  # the information of t seconds is drift^2 t^3 / (6 variance)
        return float((6 * variance * math.log(gamma) / trouble.drift**2) ** (1 / 3))
    return math.log(gamma) * 2 * variance / math.log(trouble.factor) ** 2


def work(task: tuple[Trouble | None, int, int, int, bool]) -> Result:
    """For a pool of processes."""
    return play(*task)


def delays(pool: ProcessPoolExecutor, sizes: Sequence[int], seeds: int, quick: bool) -> Iterable[Line]:
    """Part `delay`."""
    for size in sizes:
        for trouble in TROUBLES:
            long = trouble.seconds > 600
            others = size == 15 and trouble.seconds <= 3_600
            if (long and size > 15) or (quick and long):
                continue
            tasks = [(trouble, size, seed, trouble.seconds, others) for seed in range(seeds)]
            got = list(pool.map(work, tasks))
            bound = lorden(trouble, 1.0 * size / 1_000, size)
            told = []
            for name in got[0].delay:
                found = sorted(d for r in got if (d := r.delay[name]) is not None)
                wrong = sum(r.wrong[name] for r in got)
                part = f"{median(found):.0f} s (to {found[-1]:.0f})" if found else "never"
                if trouble.drift and found:
                    part += f" at +{median([a for r in got if (a := r.at[name]) is not None]):.0%}"
                told.append(f"{name} {part}, {len(found)} of {seeds}, {wrong} wrong")
            yield Line(f"{size} servers: {trouble.name}", "; ".join(told), f"Lorden {bound:.1f} s")


def quiet(pool: ProcessPoolExecutor, servers: int, hours: float, jobs: int) -> Iterable[Line]:
    """Part `quiet`."""
    got = list(pool.map(work, [(None, servers, 100 + n, int(hours * 3_600), False) for n in range(jobs)]))
    days = jobs * (hours * 3_600 + WARM_S) / 86_400
    wrong = sum(r.wrong["ours"] for r in got)
    scaled = wrong / days * 1_000 / servers
    yield Line(
        f"{servers} servers, {days * 24:.1f} hours", f"{wrong} events, {scaled:.2f} a day and 1,000", "1"
    )


def main(argv: Sequence[str] | None = None) -> int:
    """The command; its exit code."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.anomaly_detection", description=__doc__.partition("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="smaller and shorter: to see that it runs")
    parser.add_argument("--part", action="append", choices=("delay", "quiet"), help="only this")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="processes")
    parser.add_argument("--servers", type=int, action="append", metavar="N", help="delays only at this size")
    parser.add_argument("--hours", type=float, default=3.0, help="of each quiet stream (3)")
    args = parser.parse_args(argv)
    parts = args.part or ["delay", "quiet"]
    with ProcessPoolExecutor(args.jobs) as pool:
        if "delay" in parts:
            sizes, seeds = ([15], 4) if args.quick else (args.servers or [15, 100, 1_000], 20)
            print(
                "\n".join(
                    table("Delay until the right server is named", delays(pool, sizes, seeds, args.quick))
                )
            )
        if "quiet" in parts:
            servers, hours = (100, 0.5) if args.quick else (1_000, args.hours)
            print("\n".join(table("Events where nobody departs", quiet(pool, servers, hours, args.jobs))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
