"""The events of a fleet in the order of their time: clients, nodes, the network, servers, the list.

A message that would cross a cut is lost: an attempt then does not connect, or its time runs out. A server
that drains ends when every node was told and the grace is over, and comes back under a new name; one that
crashes comes back under its old one; both are cold. A client asks again once, if it was refused and has time.
"""

from __future__ import annotations

import heapq
import json
import random
import time
import zlib
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from balancer import interface as api
from balancer.platform_settings import parse_json
from balancer.testbed.simulation.policies import Policy, make
from balancer.testbed.simulation.report import Report
from balancer.testbed.simulation.rules import Rules
from balancer.testbed.simulation.scenario import Scenario, Trouble
from balancer.testbed.simulation.servers import (
    Ask,
    Server,
    Try,
    Want,
)

JITTER = 0.2  # part of a trip's time that is chance
OPEN_CONN = 0.5  # part of the attempts over a cut link that an open connection takes
AGAIN_MS = (5.0, 50.0)  # a client that was refused waits so much longer than it was told
NOTICED = 1.5  # a crash longer than this many of the list's latest news is in the list
Maker = Callable[[str, api.Settings, int], Policy]


class FleetError(RuntimeError):
    """A policy asked for what nobody can do; the text says what."""


class Node:
    """A node: its policy, and what it was told of servers that are up no longer."""

    def __init__(self, number: int, zone: str, policy: Policy) -> None:
        self.number, self.zone, self.policy = number, zone, policy
        self.barred: dict[str, float] = {}
        self.starts: dict[str, float] = {}  # of servers that it was told of while they were cold
        self.heard_ms = 0.0


class World:
    """One run. `play` it once; `timed` measures the policy's CPU time as well."""

    def __init__(self, scenario: Scenario, maker: Maker = make, timed: bool = False) -> None:
        self.scenario, self.site, self.timed = scenario, scenario.site, timed
        self.now = self.cpu_s = 0.0
        self.heap: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.count = 0
        self.rules = Rules(self.site)
        seed = scenario.seed
        self.traffic = random.Random(f"{seed}/traffic")  # the same whatever the policy
        self.chance = random.Random(f"{seed}/chance")
        fleet = random.Random(f"{seed}/fleet")
        self.servers: dict[str, Server] = {}
        self.places: list[str] = []  # by number: who is there now
        for number in range(scenario.servers):
            self._place(f"s{number}", number, max(0.2, fleet.gauss(1.0, scenario.speed_spread)), fleet)
        zones = self.site.zones
        self.nodes = []
        for number in range(scenario.nodes):
            policy = maker(scenario.policy, self._settings(number), fleet.getrandbits(31))
            self.nodes.append(Node(number, zones[number % len(zones)], policy))
        self.cuts: list[tuple[float, float, str]] = []
        self.silences: list[tuple[float, float]] = []
        self.bursts: list[tuple[float, float, float]] = []
        self.open: dict[str, Ask] = {}
        self.end_ms = scenario.seconds * 1_000
        self.since_ms = scenario.warm_up * self.end_ms
        self.asked = self.served = self.refused = self.failed = self.retried = self.attempts = self.digest = 0
        self.errors = 0
        self.worth = self.worth_asked = 0.0
        self.waits: list[float] = []

    def _place(self, name: str, number: int, speed: float, rng: random.Random) -> Server:
        sc, zones = self.scenario, self.site.zones
        offset = rng.uniform(0.0, sc.report_ms)
        server = Server(
            name,
            number,
            zones[number % len(zones)],
            sc.cores,
            speed,
            sc.room,
            self.site.rules,
            sc.report_ms,
            offset,
            sc.choke,
        )
        self.servers[name] = server
        self.places[number : number + 1] = [name]
        return server

    def _settings(self, me: int) -> api.Settings:
        """As the platform tells them."""
        told = self.site.settings(me, self.scenario.nodes)
        if self.scenario.live_ms:
            told["weight-source"] = "live"
        settings = parse_json(json.dumps(told))
        return replace(settings, prices=replace(settings.prices, cross_zone=self.scenario.cross_price))

    # --- time

    def at(self, when: float, call: Callable[[Any], None], what: Any) -> None:
        """Something happens later."""
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call, what))

    def play(self) -> Report:
        """All of it, until the last request has its answer or has run out of time."""
        entries = [server.entry for server in self.servers.values()]
        for node in self.nodes:
            self._handle(node, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, entries))
        self.cpu_s = 0.0
        for trouble in self.scenario.troubles:
            self._plan(trouble)
        self.at(self._next_ms(0.0), self._arrives, None)
        if self.scenario.live_ms:
            self.at(self.scenario.live_ms, self._weigh, None)
        heap, pop = self.heap, heapq.heappop
        while heap:
            self.now, _, call, what = pop(heap)
            call(what)
        return self._report()

    # --- clients

    def _next_ms(self, now: float) -> float:
        """When the next request comes: Poisson, thinned out of the highest rate there is."""
        rate, most = self.scenario.rate, max([1.0, *(size for _, _, size in self.bursts)])
        while True:
            now += self.traffic.expovariate(rate * most)
            size = max((s for a, b, s in self.bursts if a <= now < b), default=1.0)
            if most == size or self.traffic.random() * most < size:
                return now

    def _arrives(self, _: None) -> None:
        if self.now >= self.end_ms:
            return
        rng = self.traffic
        cls = rng.choices(self.site.classes, [c.share for c in self.site.classes])[0]
        want = Want(cls, self.now, cls.work(rng))
        node = rng.randrange(len(self.nodes))
        self.at(self._next_ms(self.now), self._arrives, None)
        self.asked += 1
        if self.now >= self.since_ms:
            self.worth_asked += cls.worth
        self._ask(Ask(f"r{self.asked}", node, want, self.now + cls.give_up_ms, False))

    def _ask(self, ask: Ask) -> None:
        self.open[ask.id] = ask
        self.at(ask.deadline_ms + self.site.rules.slack_ms + 1.0, self._overdue, ask)
        cls = ask.want.cls
        self._handle(self.nodes[ask.node], api.RequestArrived(ask.id, cls.name, ask.deadline_ms, ask.retry))

    def _overdue(self, ask: Ask) -> None:
        if not ask.answers:
            self.rules.unanswered(ask)
            self._settle(ask)

    def _settle(self, ask: Ask) -> None:
        """It has its answer, or never will; what comes of its attempts finds it by them."""
        self.open.pop(ask.id, None)

    def _answer(self, ask: Ask, kind: str, wait_ms: float = 0.0) -> None:
        first, want = not ask.answers, ask.want
        self.rules.answered(self.now, ask, kind == "refused")
        if not first:
            return
        self._settle(ask)
        left = want.at_ms + want.cls.give_up_ms - self.now
        again = wait_ms + self.chance.uniform(*AGAIN_MS)
        if kind == "refused" and self.scenario.retries and not ask.retry and again < left:
            self.retried += 1
            self.at(self.now + again, self._ask, Ask(f"{ask.id}a", ask.node, want, self.now + left, True))
            return
        self.refused += kind == "refused"
        self.failed += kind == "failed"
        self.served += kind == "served"
        if kind == "served" and want.at_ms >= self.since_ms:
            took = self.now - want.at_ms
            self.worth += want.cls.worth * (took <= want.cls.aim_ms)
            self.waits.append(max(0.0, took - ask.tries[-1].took_ms))

    # --- nodes

    def _handle(self, node: Node, event: api.Event) -> None:
        if self.timed:
            began = time.process_time()
            actions = node.policy.handle(self.now, event)
            self.cpu_s += time.process_time() - began
        else:
            actions = node.policy.handle(self.now, event)
        for action in actions:
            match action:
                case api.SendAttempt():
                    self._send(node, action)
                case api.SetTimer():
                    self.at(max(self.now, action.at_ms), self._timer, (node, action.token))
                case api.RejectRequest() | api.FailRequest():
                    self._final(action)
                case api.CancelAttempt():
                    ask = self.open.get(action.request)
                    if ask is not None and not ask.tries[action.attempt].over:
                        self.at(
                            self.now, self._outcome, (ask.tries[action.attempt], api.AttemptStatus.CANCELLED)
                        )
                case api.WriteLog() | api.SubscribeToEndpoints() | api.NoteBackendDecision():
                    pass
                case _:
                    raise FleetError(f"node {node.number} asked for {action!r}, which no setting allows")

    def _final(self, action: api.RejectRequest | api.FailRequest) -> None:
        ask = self.open.get(action.request)
        if ask is None:
            self.rules.breach(1, action.request, f"{action.request} got an answer after its end")
        elif isinstance(action, api.RejectRequest):
            self._answer(ask, "refused", action.retry_after_ms)
        else:
            self._answer(ask, "failed")

    def _timer(self, what: tuple[Node, int]) -> None:
        self._handle(what[0], api.TimerFired(what[1]))

    def _send(self, node: Node, action: api.SendAttempt) -> None:
        server = self.servers.get(action.backend)
        ask = self.open.get(action.request)
        if server is None:
            raise FleetError(f"node {node.number} sent to {action.backend}, which no list has named")
        if ask is None:
            self.rules.breach(1, action.request, f"{action.request} was sent on after its end")
            return
        self.rules.sent(self.now, ask, server, node.barred.get(server.name))
        informed = node.starts.get(server.name) == server.started_ms
        one = Try(ask, len(ask.tries), server, self.now, informed)
        ask.tries.append(one)
        self.attempts += 1
        self.digest = zlib.crc32(f"{self.now!r} {ask.id} {server.name}".encode(), self.digest)
        until = (
            min(ask.deadline_ms, self.now + action.timeout_ms) if action.timeout_ms > 0 else ask.deadline_ms
        )
        trip = self._trip(node, server)
        if trip is None:
            if self.chance.random() < OPEN_CONN:
                self.at(until, self._outcome, (one, api.AttemptStatus.TIMEOUT))
            else:
                connect = self.now + self.site.connect_ms
                self.at(min(until, connect), self._outcome, (one, api.AttemptStatus.CONNECT_FAILED))
            return
        self.at(until, self._outcome, (one, api.AttemptStatus.TIMEOUT))
        self.at(self.now + trip, self._reaches, one)

    def _outcome(self, what: tuple[Try, api.AttemptStatus]) -> None:
        """An attempt ends for its node, by the first word that reaches it."""
        one, status = what
        if one.over:
            return
        ask, node = one.ask, self.nodes[one.ask.node]
        self.rules.ended(one, status)
        report = None
        if status is api.AttemptStatus.OK:
            report = one.server.report(self.now, self.scenario.noise, self.chance)
            if not ask.answers:
                self._answer(ask, "served")
        self._handle(
            node,
            api.AttemptFinished(
                ask.id, one.number, one.server.name, status, self.now - one.sent_ms, ask.answers > 0, report
            ),
        )

    # --- network and servers

    def _trip(self, node: Node, server: Server) -> float | None:
        """The time of one way; None: it is cut."""
        if node.zone == server.zone:
            return self.scenario.same_ms * (1 + JITTER * self.chance.random())
        for start, end, zone in self.cuts:
            if start <= self.now < end and zone in (node.zone, server.zone):
                return None
        return self.scenario.cross_ms * (1 + JITTER * self.chance.random())

    def _back(self, one: Try, status: api.AttemptStatus) -> None:
        trip = self._trip(self.nodes[one.ask.node], one.server)
        if trip is not None:  # else the node hears nothing until its time is over
            self.at(self.now + trip, self._outcome, (one, status))

    def _reaches(self, one: Try) -> None:
        server = one.server
        if not server.up:
            self._back(one, api.AttemptStatus.CONNECT_FAILED)
            return
        if server.pushed(self.now, one):
            self.rules.pushed(server)
        if server.failing and self.chance.random() < server.failing:
            self.errors += 1
            self._back(one, api.AttemptStatus.ERROR)
        elif server.offer(self.now, one):
            self._begin(server)
        else:
            self._back(one, api.AttemptStatus.REJECTED)

    def _begin(self, server: Server) -> None:
        for one in server.begin(self.now):
            self.rules.ran(self.now, one.ask.want, server.zone)
            self.at(self.now + one.took_ms, self._ran, one)

    def _ran(self, one: Try) -> None:
        server = one.server
        if one.life != server.life:
            return  # it ended with the process
        server.done(self.now, one)
        self._back(one, api.AttemptStatus.OK)
        self._begin(server)

    def _stop(self, server: Server) -> None:
        for one in server.stop():
            self._back(one, api.AttemptStatus.RESET)

    def _start(self, server: Server) -> None:
        server.start(self.now)
        self._tell(server)

    # --- troubles and the list

    def _plan(self, trouble: Trouble) -> None:
        start, end = trouble.at_ms, trouble.at_ms + trouble.length_ms
        if trouble.kind == "cut":
            self.cuts.append((start, end, self.site.zones[trouble.which % len(self.site.zones)]))
        elif trouble.kind == "silence":
            self.silences.append((start, end))
        elif trouble.kind == "burst":
            self.bursts.append((start, end, trouble.size))
        elif trouble.kind == "fail":
            self.at(start, self._fail, (trouble.which, trouble.size))
            self.at(end, self._fail, (trouble.which, 0.0))
        else:
            self.at(start, self._drain if trouble.kind == "drain" else self._crash, trouble)

    def _fail(self, what: tuple[int, float]) -> None:
        self.servers[self.places[what[0] % len(self.places)]].failing = what[1]

    def _drain(self, trouble: Trouble) -> None:
        """It drains, ends, and another takes its place under a new name."""
        server = self.servers[self.places[trouble.which % len(self.places)]]
        if not server.up or server.phase is not api.Phase.UP:
            return
        server.phase = api.Phase.DRAINING
        last = self._tell(server)
        rules = self.site.rules
        self.at(last + rules.grace_ms, self._gone, server)
        self.at(last + rules.grace_ms + trouble.length_ms, self._replaced, server)

    def _gone(self, server: Server) -> None:
        server.phase = api.Phase.REMOVED
        self._tell(server)
        self._stop(server)

    def _replaced(self, old: Server) -> None:
        self._start(self._place(f"{old.name}n", old.number, old.speed, self.chance))

    def _crash(self, trouble: Trouble) -> None:
        """It is gone without a word; the list has it after a while, if it stays away that long."""
        server = self.servers[self.places[trouble.which % len(self.places)]]
        if not server.up or server.phase is not api.Phase.UP:
            return
        self._stop(server)
        noticed = NOTICED * self.scenario.list_ms[1]
        if trouble.length_ms > noticed:
            self.at(self.now + noticed, self._missed, server)
        self.at(self.now + trouble.length_ms, self._start, server)

    def _missed(self, server: Server) -> None:
        server.phase = api.Phase.REMOVED
        self._tell(server)

    def _tell(self, server: Server) -> float:
        """Each node hears of a change in its own time, of changes in order; returns the last time."""
        entry, low, high = server.entry, *self.scenario.list_ms
        last = self.now
        for node in self.nodes:
            when = max(node.heard_ms, self.now + self.chance.uniform(low, high))
            for start, end in self.silences:
                when = end if start <= when < end else when
            node.heard_ms = when
            last = max(last, when)
            self.at(when, self._told, (node, entry))
        return last

    def _weigh(self, _: None) -> None:
        """The list tells all weights anew."""
        entries = [
            replace(server.entry, weight=server.live)
            for server in self.servers.values()
            if server.up and server.phase is api.Phase.UP
        ]
        for node in self.nodes:
            when = max(node.heard_ms, self.now + self.chance.uniform(*self.scenario.list_ms))
            if not any(start <= when < end for start, end in self.silences):
                node.heard_ms = when
                self.at(when, self._weighed, (node, entries))
        if self.now < self.end_ms:
            self.at(self.now + self.scenario.live_ms, self._weigh, None)

    def _weighed(self, what: tuple[Node, list[api.Endpoint]]) -> None:
        node, entries = what
        known = [e for e in entries if e.id not in node.barred]
        self._handle(node, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, known))

    def _told(self, what: tuple[Node, api.Endpoint]) -> None:
        node, entry = what
        if entry.phase is api.Phase.UP:
            node.barred.pop(entry.id, None)
            node.starts[entry.id] = entry.started_at_ms
        else:
            node.barred.setdefault(entry.id, self.now)
            node.starts.pop(entry.id, None)
        self._handle(node, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry]))

    # --- the end

    def _report(self) -> Report:
        waits, received = sorted(self.waits), [s.received for s in self.servers.values()]

        def part(share: float) -> float:
            return waits[min(len(waits) - 1, int(share * len(waits)))] if waits else 0.0

        return Report(
            self.scenario,
            self.asked,
            self.served,
            self.refused,
            self.failed,
            self.retried,
            self.attempts,
            self.worth / self.worth_asked if self.worth_asked else 0.0,
            sum(waits) / len(waits) if waits else 0.0,
            part(0.5),
            part(0.99),
            max(received) * len(self.places) / max(1, sum(received)),
            (self.rules.counts[0], self.rules.counts[1], self.rules.counts[2], self.rules.counts[3]),
            tuple(self.rules.told),
            sum(s.chokes for s in self.servers.values()),
            self.errors,
            self.digest,
            self.cpu_s * 1e6 / max(1, self.asked),
        )


def play(scenario: Scenario, maker: Maker = make, timed: bool = False) -> Report:
    """One run; `maker` may bring a policy of its own."""
    return World(scenario, maker, timed).play()
