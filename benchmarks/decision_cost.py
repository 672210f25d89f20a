"""What a decision costs, by the size of the fleet: a request, a change of the list, live weights of all.

    python -m benchmarks.decision_cost [--quick] [--part NAME] ... [--cores CORES]

The module alone (`Balancer.handle`), in this process, on a made-up fleet. All sizes take turns within one
run, so that whatever else the machine does falls on all of them: go by the ratios. Parts: `request`,
`change`, `weights`.
"""

from __future__ import annotations

import argparse
import gc
import itertools
import os
import platform
import random
import sys
import time
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import replace
from statistics import median

from balancer import interface as api
from balancer.policy.balancer import Balancer
from benchmarks.result_table import (
    Row,
    cores,
    on,
    part_of,
    table,
)

SIZES = (4, 20, 100, 1_000, 10_000)
GROUPS = (1, 20)
OUT = (1, 8, 64, 512)
TURN = 50  # requests, or changes, of one size before the next one's turn
PIECES = (100, 250, 500, 1_000, 2_000, 10_000)
AIM_US, AIM_RATIO, AIM_CHANGE_US, AIM_PIECE_MS = 40.0, 2.0, 100.0, 5.0
CLASSES = tuple(
    api.RequestClass(
        name, api.Idempotency.IDEMPOTENT, latency_objective_ms=aim, deadline_ms=2 * aim, priority_weight=value
    )
    for name, aim, value in (("lookup", 250.0, 12.0), ("list", 1500.0, 1.0), ("order", 1200.0, 1.0))
)
SETTINGS = api.Settings(
    classes=CLASSES,
    load_report_source=api.LoadReportSource.RESPONSES,
    slow_start_initial_fraction=0.3,
    slow_start_duration_ms=9_000.0,
    overload_multiple=3.0,
    has_weights=True,
    has_live_weights=True,
)


def server(number: int, weight: float = 1.0, phase: api.Phase = api.Phase.UP) -> api.Endpoint:
    """One of a fleet."""
    return api.Endpoint(f"s{number:06d}", "a", 0, weight, phase, 0.0, "m")


class Subject:
    """A node with a fleet of this size, and what is out of it."""

    def __init__(self, size: int, group: int, out: int) -> None:
        self.size, self.count, self.now = size, out, 1000.0
        self.rng = random.Random(size + out)
        self.node = Balancer(replace(SETTINGS, node_count=group), 1)
        self.node.handle(
            self.now, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [server(n) for n in range(size)])
        )
        self.ids = itertools.count()
        self.live: deque[tuple[str, str]] = deque()
        self.spent: list[float] = []
        for _ in range(out):
            self._arrive()

    def _arrive(self) -> None:
        self.node.state.concurrency_limit = self.node.state.min_concurrency_limit = (
            1e9  # what is out is set by the measurement
        )
        rid = f"r{next(self.ids)}"
        event = api.RequestArrived(rid, self.rng.choice(CLASSES).name, self.now + 1000.0)
        for act in self.node.handle(self.now, event):
            if isinstance(act, api.SendAttempt):
                self.live.append((rid, act.backend))

    def requests(self) -> None:
        """Some arrivals with an outcome each; the mean time of a pair, in microseconds."""
        spent = 0
        for _ in range(TURN):
            self.now += 1.0
            began = time.perf_counter_ns()
            self._arrive()
            spent += time.perf_counter_ns() - began
            rid, backend = self.live.popleft()
            load = api.LoadReport(in_flight=float(self.rng.randrange(3)), queued=0.0)
            event = api.AttemptFinished(rid, 0, backend, api.AttemptStatus.OK, 40.0, True, load)
            began = time.perf_counter_ns()
            self.node.handle(self.now, event)
            spent += time.perf_counter_ns() - began
        if len(self.live) != self.count:
            raise RuntimeError(f"{self.count} should be out, {len(self.live)} are: some were refused")
        self.spent.append(spent / TURN / 1000)

    def tell(self, entries: list[api.Endpoint]) -> float:
        """Some changes in one event; the time, in microseconds."""
        self.now += 1.0
        event = api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, entries)
        began = time.perf_counter_ns()
        self.node.handle(self.now, event)
        return (time.perf_counter_ns() - began) / 1000


def request(turns: int) -> Iterator[Row]:
    """An arrival and its outcome."""
    for group in GROUPS:
        for out in OUT:
            subjects = [Subject(size, group, out) for size in SIZES]
            with_turns(subjects, turns)
            figures = [median(subject.spent) for subject in subjects]
            told = ", ".join(f"{figure:.0f}" for figure in figures)
            aim = f"{AIM_US:.0f} us at {SIZES[0]}, at most {AIM_RATIO:.0f} times as much"
            ratio = f"{SIZES[-1]:,} is {figures[-1] / figures[0]:.2f} times {SIZES[0]}"
            yield Row(f"`group_size` {group}, {out} out", f"{told} us; {ratio}", aim)


def with_turns(subjects: list[Subject], turns: int) -> None:
    """All sizes in turn, the first round for nothing."""
    gc.collect()
    gc.freeze()
    for subject in subjects:
        subject.requests()
        subject.spent.clear()
    for _ in range(turns):
        for subject in subjects:
            subject.requests()
    gc.unfreeze()


def change(turns: int) -> Iterator[Row]:
    """One change of the list, under 64 requests out."""
    subjects = [Subject(size, 1, 64) for size in SIZES]
    kinds = ("another weight", "drains", "is removed", "comes")
    spent: list[list[list[float]]] = [[[] for _ in subjects] for _ in kinds]
    gc.collect()
    gc.freeze()
    for _ in range(turns):
        for at, subject in enumerate(subjects):
            for _ in range(TURN // 10):
                number = subject.rng.randrange(subject.size)
                for kind, entry in enumerate(
                    (
                        server(number, subject.rng.uniform(0.3, 1.0)),
                        server(number, phase=api.Phase.DRAINING),
                        server(number, phase=api.Phase.REMOVED),
                        server(number),
                    )
                ):
                    spent[kind][at].append(subject.tell([entry]))
    gc.unfreeze()
    for name, figures in zip(kinds, spent, strict=True):
        told = ", ".join(f"{median(one):.1f}" for one in figures)
        tail = ", ".join(f"{part_of(one, 0.99):.0f}" for one in figures)
        yield Row(name, f"{told} us (99% below {tail})", f"{AIM_CHANGE_US:.0f} us at {SIZES[-1]:,}")


def weights(turns: int) -> Iterator[Row]:
    """Live weights of a whole fleet, cut into pieces; the collector of Python runs as it does in a node."""
    subject = Subject(SIZES[-1], 1, 64)
    fitting = 0
    for piece in PIECES:
        whole, worst, middle = [], [], []
        for _ in range(turns):
            told = [server(n, subject.rng.uniform(0.3, 1.0)) for n in range(subject.size)]
            spent = [subject.tell(told[at : at + piece]) / 1000 for at in range(0, subject.size, piece)]
            whole.append(sum(spent))
            worst.append(max(spent))
            middle.append(median(spent))
        figure = f"{median(middle):.2f} ms a piece, the longest {max(worst):.2f}; all {median(whole):.1f} ms"
        yield Row(f"{subject.size:,} weights by {piece:,}", figure, f"never {AIM_PIECE_MS:.0f} ms")
        fitting = piece if max(worst) < AIM_PIECE_MS else fitting
    yield Row("largest piece that keeps to it", f"{fitting:,} weights")


def main(argv: Sequence[str] | None = None) -> int:
    """The command; its exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.decision_cost", description=__doc__.partition("\n")[0])
    parts = {"request": request, "change": change, "weights": weights}
    parser.add_argument("--quick", action="store_true", help="fewer turns: to see that it runs")
    parser.add_argument("--part", action="append", choices=parts, help="only this; may be given often")
    text = "cores such as 1-3,5 to run on (as the system likes)"
    parser.add_argument("--cores", type=cores, default=set(), metavar="CORES", help=text)
    args = parser.parse_args(argv)
    print(f"Python {platform.python_version()}, {os.cpu_count()} cores; sizes {', '.join(map(str, SIZES))}\n")
    with on(args.cores):
        for name in args.part or parts:
            turns = {"request": 60, "change": 60, "weights": 10}[name]
            rows = list(parts[name](max(2, turns // 10) if args.quick else turns))
            print("\n".join(table(f"{name}: {(parts[name].__doc__ or '').strip()}", rows)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
