"""A server of the fleet: `cores` requests at once, first come first served, a waiting room with an end.

One that has started is cold: it works slower at first. `World` calls `offer` and `done`, and asks `report`.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from balancer.interface import Endpoint, LoadReport, Phase
from balancer.testbed.service_profile import RequestClass, Rules
from balancer.testbed.simulation.scenario import Choke
from balancer.testbed.slow_start_model import ColdStartBudget, warm_up_share


@dataclass(slots=True, eq=False)
class Want:
    """What a client wants, over its first try and its retry; `effects` are the zone and time of each run."""

    cls: RequestClass
    at_ms: float
    work_ms: float
    effects: list[tuple[str, float]] = field(default_factory=list)
    doubled: bool = False
    ended: bool = False


@dataclass(slots=True, eq=False)
class Ask:
    """One request as a node took it: a client's first try or its retry."""

    id: str
    node: int
    want: Want
    deadline_ms: float
    retry: bool
    tries: list[Try] = field(default_factory=list)
    answers: int = 0


@dataclass(slots=True, eq=False)
class Try:
    """One attempt. `left`: the node has no proof that it did not run. `over`: the node waits no more."""

    ask: Ask
    number: int
    server: Server
    sent_ms: float
    informed: bool  # the node had been told of this start of the server
    left: bool = True
    over: bool = False
    life: int = 0  # the server's process that has it
    took_ms: float = 0.0


class Server:
    """One server, through all of its processes."""

    def __init__(
        self,
        name: str,
        number: int,
        zone: str,
        cores: int,
        speed: float,
        room: int,
        rules: Rules,
        report_ms: float,
        offset: float,
        choke: Choke | None = None,
    ) -> None:
        self.name, self.number, self.zone = name, number, zone
        self.cores, self.speed, self.room, self.rules = cores, speed, room * cores, rules
        self.phase, self.up, self.started_ms, self.life = Phase.UP, True, 0.0, 0
        self.running: dict[Try, None] = {}
        self.line: deque[Try] = deque()
        self.pressure: ColdStartBudget | None = None  # while it is cold
        self.informed: deque[tuple[float, float]] = deque()  # of its window: what came from nodes that knew
        self.received = 0
        self.failing = 0.0  # part of its requests that it answers at once with an error
        self.choke, self.choked, self.chokes = choke, False, 0
        self._held, self._load, self._seen = 0.0, 0.0, 0.0  # means of late, and when they were taken
        self._shown, self._turn, self._offset, self._every = 0, -1, offset, report_ms

    @property
    def entry(self) -> Endpoint:
        """As the list has it now."""
        weight = float(self.cores)
        return Endpoint(self.name, self.zone, self.number // 6, weight, self.phase, self.started_ms)

    def start(self, now: float) -> None:
        """A new process, cold."""
        self.life, self.up, self.started_ms, self.phase = self.life + 1, True, now, Phase.UP
        able, rules = self.cores * self.speed, self.rules
        self.pressure = ColdStartBudget(rules, able, rules.cold_share, rules.warm_ms)
        self.informed.clear()

    def stop(self) -> list[Try]:
        """The process ends; what it had is lost and returned."""
        lost = [*self.running, *self.line]
        self.running.clear()
        self.line.clear()
        self.up, self.life = False, self.life + 1
        return lost

    def offer(self, now: float, one: Try) -> bool:
        """Whether there is room for it; `begin` has to be called next."""
        self.received += 1
        self._look(now)
        if len(self.running) >= self.cores and len(self.line) >= self.room:
            return False
        one.life = self.life
        self.line.append(one)
        return True

    def begin(self, now: float) -> list[Try]:
        """Those that begin now, with the time that they take. What nobody waits for is dropped."""
        out: list[Try] = []
        self._look(now)
        while self.line and len(self.running) < self.cores:
            one = self.line.popleft()
            if one.over:
                continue
            slower = self.choke.slower if self.choke is not None and self.choked else 1.0
            one.took_ms = slower * one.ask.want.work_ms / (self.speed * self._warmth(now))
            self.running[one] = None
            out.append(one)
        return out

    def _warmth(self, now: float) -> float:
        """The first processes are warm when the run begins."""
        rules = self.rules
        return warm_up_share(rules.cold_share, rules.warm_ms, now - self.started_ms) if self.life else 1.0

    def done(self, now: float, one: Try) -> None:
        """It has run."""
        self._look(now)
        del self.running[one]

    def report(self, now: float, noise: float, rng: random.Random) -> LoadReport:
        """What it says of itself: as it was when it was last refreshed, and not always right."""
        self._look(now)
        shown = self._shown
        if noise and (chance := rng.random()) < noise:
            shown = max(0, shown + (1 if chance < noise / 2 else -1))
        return LoadReport(in_flight=float(shown))

    def pushed(self, now: float, one: Try) -> bool:
        """Work reached it while cold: whether that breaks its budget, by nodes that knew of its start."""
        if self.pressure is None:
            return False
        age, work = now - self.started_ms, one.ask.want.work_ms
        used = self.pressure.add(age, work)
        if age >= self.rules.warm_ms:
            self.pressure = None
            return False
        if one.informed:
            self.informed.append((age, work))
        while self.informed and self.informed[0][0] <= age - self.rules.fall_ms:
            self.informed.popleft()
        return used > 1.0 and sum(w for _, w in self.informed) >= 2 / 3 * self.pressure.work_sum_ms

    @property
    def live(self) -> float:
        """Its weight by what it holds now."""
        return self.cores / (1 + (len(self.running) + len(self.line)) / self.cores)

    def _strain(self, now: float, choke: Choke) -> None:
        """Slower once it held too many for long, until it has rested: both by means that fade."""
        since, self._seen = now - self._seen, now
        held, load = (len(self.running) + len(self.line)) / self.cores, len(self.running) / self.cores
        self._held += (held - self._held) * (1 - math.exp(-since / choke.over_ms))
        self._load += (load - self._load) * (1 - math.exp(-since / choke.rest_ms))
        if not self.choked and self._held > choke.held:
            self.choked, self.chokes = True, self.chokes + 1
        elif self.choked and self._load < choke.below:
            self.choked = False

    def _look(self, now: float) -> None:
        """Keep what held at the last refresh: called before anything changes."""
        if self.choke is not None:
            self._strain(now, self.choke)
        turn = int((now + self._offset) // self._every)
        if turn != self._turn:
            self._shown, self._turn = len(self.running) + len(self.line), turn
