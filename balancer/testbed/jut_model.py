"""The setting of the paper on Join-Up-To(m), with the module as its dispatcher.

One dispatcher, N equal servers, first come first served, work of mean 1, Poisson arrivals at rate N * load.
An idle server tells so at rate delta / (1 - load): delta / load messages an arrival. What the dispatcher
knows and does goes through `Balancer.handle` alone: an idle message is a probe's answer.

The paper: G. Kielanski, T. Hellemans, B. Van Houdt, "Join-Up-To(m): Improved Hyper-scalable Load Balancing".
`best_m` is its Theorem 6, `limit` its Corollary 4 (the mean response time as N grows without bound).
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from statistics import mean, stdev

from balancer import interface as api
from balancer.policy.balancer import Balancer

UNIT_MS = 100.0  # the mean work on the module's clock
FOREVER_MS = 1e9  # aim and deadline where only the pick is looked at
WARM_UP = 0.1  # part of the arrivals that is not counted
# Student's t, 97.5%, by degrees of freedom from 1 to 19; the normal's beyond.
_T = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
)
ARRIVES, LEAVES, TELLS = 0, 1, 2


def exponential(rng: random.Random) -> float:
    """Work of mean 1 whose square has the mean 2."""
    return rng.expovariate(1.0)


def hyperexponential(square: float) -> Callable[[random.Random], float]:
    """Work of mean 1 out of two exponentials that each bring half of it; the mean of its square is given."""
    low = 0.5 * (1 - math.sqrt(max(0.0, (square - 2) / square)))  # chance of the long ones

    def draw(rng: random.Random) -> float:
        return rng.expovariate(2 * low if rng.random() < low else 2 * (1 - low))

    return draw


def best_m(load: float, delta: float, square: float = 2.0) -> int:
    """The m of the least mean response time; `square` is the mean of the squared work."""
    half = 0.5 + (1 - load) / delta
    best = math.ceil(math.sqrt(half**2 + load / delta * square) - half)
    return min(best, math.floor(load / delta + 1e-9))


def limit(load: float, delta: float, m: int, square: float = 2.0) -> float:
    """Mean response time for N to infinity."""
    rest = load - delta * m
    return 1 + rest * square / (2 * (1 - rest)) + delta / load * m * (m - 1) / (2 * (1 - rest))


@dataclass(slots=True, frozen=True)
class Run:
    """One run. `literal`: the paper's rule to the letter with this `m`; else the module as it stands with the
    aim, in mean works, from which it takes its own m. `arrivals` counts all, the warm-up too.
    """

    servers: int
    load: float
    delta: float
    m: int
    arrivals: int
    seed: int
    literal: bool = True
    aim: float = 0.0
    work: Callable[[random.Random], float] = exponential

    def settings(self) -> api.Settings:
        """One class without an end, or with the aim."""
        aim = FOREVER_MS if self.literal else self.aim * UNIT_MS
        cls = api.RequestClass("job", api.Idempotency.IDEMPOTENT, aim, FOREVER_MS)
        return api.Settings(
            (cls,), load_report_source=api.LoadReportSource.RESPONSES, load_report_fields=("in_flight",)
        )


@dataclass(slots=True, frozen=True)
class Result:
    """Mean response time in mean works, of the arrivals after the warm-up, and how many had an answer."""

    response: float
    served: int
    asked: int


def simulate(run: Run) -> Result:
    """Play one run to its last answer; raises ValueError where the module does what the paper has not."""
    rng = random.Random(run.seed)
    node = Balancer(run.settings(), run.seed + 1, run.m if run.literal else 0)
    names = [f"s{number}" for number in range(run.servers)]
    number_of = {name: number for number, name in enumerate(names)}
    entries = [api.Endpoint(name, "", 0, 1.0, api.Phase.UP, 0.0) for name in names]
    node.handle(0.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, entries))
    queues: list[deque[tuple[int, float]]] = [deque() for _ in names]
    idle = [0] * run.servers  # counts the stretches of idleness: a message belongs to one
    heap: list[tuple[float, int, int, int]] = []
    serial, served, total = 0, 0, 0.0
    began: dict[int, tuple[float, float]] = {}
    rate, tell = run.servers * run.load, run.delta / (1 - run.load)
    first = int(WARM_UP * run.arrivals)
    idle_report = api.LoadReport(in_flight=0.0)
    timers: list[tuple[float, int]] = []

    def act(now: float, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SendAttempt):
                job, at = int(action.request), number_of[action.backend]
                queue = queues[at]
                queue.append((job, now))
                if len(queue) == 1:
                    idle[at] += 1
                    heappush(heap, (now + began[job][1], LEAVES, at, 0))
            elif isinstance(action, api.SetTimer):
                heappush(timers, (action.at_ms / UNIT_MS, action.token))
            elif isinstance(action, api.RejectRequest | api.FailRequest) and not run.literal:
                del began[int(action.request)]
            elif not isinstance(action, api.WriteLog | api.NoteBackendDecision):
                raise ValueError(f"the paper knows no {action!r}")

    if tell:
        for at in range(run.servers):
            heappush(heap, (rng.expovariate(tell), TELLS, at, 0))
    heappush(heap, (rng.expovariate(rate), ARRIVES, 0, 0))
    while began or serial < run.arrivals:
        if timers and (not heap or timers[0][0] <= heap[0][0]):
            now, token = heappop(timers)
            act(now, node.handle(now * UNIT_MS, api.TimerFired(token)))
            continue
        now, kind, at, stretch = heappop(heap)
        clock = now * UNIT_MS
        if kind == ARRIVES:
            serial += 1
            began[serial] = now, run.work(rng)
            act(now, node.handle(clock, api.RequestArrived(str(serial), "job", clock + FOREVER_MS)))
            if serial < run.arrivals:
                heappush(heap, (now + rng.expovariate(rate), ARRIVES, 0, 0))
        elif kind == LEAVES:
            queue = queues[at]
            job, sent = queue.popleft()
            came, _ = began.pop(job)
            if job > first:
                served += 1
                total += now - came
            if queue:
                heappush(heap, (now + began[queue[0][0]][1], LEAVES, at, 0))
            elif tell:
                heappush(heap, (now + rng.expovariate(tell), TELLS, at, idle[at]))
            took = (now - sent) * UNIT_MS
            act(
                now,
                node.handle(
                    clock, api.AttemptFinished(str(job), 0, names[at], api.AttemptStatus.OK, took, True)
                ),
            )
        elif stretch == idle[at] and not queues[at]:
            act(now, node.handle(clock, api.ProbeFinished(names[at], api.AttemptStatus.OK, 0.0, idle_report)))
            heappush(heap, (now + rng.expovariate(tell), TELLS, at, stretch))
    return Result(total / max(1, served), served, run.arrivals - first)


def confidence(values: Sequence[float]) -> tuple[float, float]:
    """The mean, and half the width of its 95% interval (infinite where there is one value)."""
    if len(values) < 2:
        return mean(values), math.inf
    t = _T[len(values) - 2] if len(values) - 2 < len(_T) else 1.96
    return mean(values), t * stdev(values) / math.sqrt(len(values))
