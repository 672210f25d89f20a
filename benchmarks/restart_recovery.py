"""Most of a fleet restarted at once, in virtual time: today's rules beside those on what is remembered.

    python -m benchmarks.restart_recovery [--seeds N] [--nodes N] [--servers N] [--part NAME] [--case NAME]

- `fleet`: `PART` of the nodes are killed in one instant at half load and start again 0.2 to 0.3 s later, with
  the list that they had. Each row: a case, and whether what is remembered counts as such (`new`) or for the
  truth (`before`, to the letter what the module did). The meter is that of `core/recovery`, over all
  restarted nodes.
- `lists`: what a central discovery that bears 50 whole lists a second is asked for, blank start of all nodes.
- `etcd`: the same of etcd, by the follower that a node runs, with `bears` left out and set; and once more
  where all have a list, and their watches are compacted at one moment.
- `processes`, only when asked for: real ones (`benchmarks/restart_comparison.py`), an older text beside
that of now.
- `judge`, only when asked for: the judge over all hard days' scripts on many seeds
(`benchmarks/fault_scenarios.py`).
- `first`: one request a node right after a common blank start: the paper's rule on one common order, as it is
  written, and the module's own order.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from statistics import median

from balancer import interface as api
from balancer.core.discovery import platform_watcher as pf
from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.etcd_watcher import messages as ef
from balancer.core.discovery.etcd_watcher.watcher import EtcdWatcher
from balancer.core.service_meter import RequestOutcome, ServiceMeter
from balancer.core.staggering import StaggeredSchedule
from balancer.policy.balancer import Balancer
from balancer.testbed.polled_discovery import max_calls_within
from balancer.testbed.simulation import Scenario, World
from balancer.testbed.simulation.policies import make
from balancer.testbed.simulation.scenario import SITE
from balancer.testbed.simulation.servers import Ask, Server, Try
from balancer.testbed.simulation.world import Node
from balancer.testbed.virtual_clock import VirtualClock
from benchmarks import fault_scenarios as judged
from benchmarks.restart_comparison import CASES as PROCESSES
from benchmarks.restart_comparison import processes

PART = 0.8  # of the nodes that are killed
KILL_MS, AFTER_MS = 6_000.0, 10_000.0
START_MS = (200.0, 300.0)
IDLE_MS = 7_000.0  # after which a node closes an idle connection
BEARS = 50.0  # whole lists a second
PATIENCE_MS = 2_000.0  # that a call waits in discovery's line before it is refused


@dataclass(frozen=True)
class Case:
    """`silent_ms`: from a node's start to the list that vouches. Parts of what is remembered are `gone` (they
    refuse), `mute` (they say nothing) or `wrong` (something else answers 404 there); `cold`: this part of the
    servers restarted in the instant of the kill. `kept`: what was learned comes back, too.
    """

    name: str
    silent_ms: float = 0.0
    gone: float = 0.0
    mute: float = 0.0
    wrong: float = 0.0
    cold: float = 0.0
    kept: bool = False
    age_ms: float = 0.0
    load: float = 0.5


CASES = (
    Case("discovery there"),
    Case("silent 8 s, known right", 8_000.0),
    Case("silent 8 s, kept on disk", 8_000.0, kept=True, age_ms=300.0),
    Case("silent 8 s, known right, load 0.8", 8_000.0, load=0.8),
    Case("silent 8 s, known right, load 1.2", 8_000.0, load=1.2),
    Case("silent 8 s, known 45% wrong", 8_000.0, gone=0.3, mute=0.1, wrong=0.05),
    Case("half of the servers cold, silent 8 s", 8_000.0, cold=0.5),
)


@dataclass
class Told:
    """What came of a run. Peaks are of one server: connects in one second, first requests in 100 ms."""

    first_ms: list[float] = field(default_factory=list)  # by restarted node
    full_ms: float = float("inf")
    lost: float = 0.0  # of the worth that was asked for in the 10 s after the kill
    connects: tuple[int, float, int] = (0, 0.0, 0)  # most, mean, most in the steady fleet before
    firsts: int = 0
    back: float = 0.0  # clients that were turned away and ask again, the most in 100 ms, over arrivals
    pushed: int = 0  # cold servers that got more than their budget


class Returning(World):
    """A fleet of which most nodes restart."""

    def __init__(self, scenario: Scenario, case: Case, new: bool) -> None:
        super().__init__(scenario)
        self.case, self.new, self.out = case, new, Told()
        self.dead: set[int] = set()  # by id() of a node's earlier life
        self.again: set[int] = set()  # numbers of those that restarted
        self.idle: dict[tuple[int, str], list[float]] = defaultdict(list)
        self.met: set[tuple[int, str]] = set()
        self.opened: dict[str, list[float]] = defaultdict(list)
        self.first: dict[str, list[float]] = defaultdict(list)
        self.answered: dict[int, float] = {}
        self.worths = [0.0, 0.0]
        self.retries: list[float] = []
        self.meter: ServiceMeter | None = None
        self.ghosts: dict[str, str] = {}
        count = len(self.places)
        for kind, part in (("gone", case.gone), ("mute", case.mute), ("wrong", case.wrong)):
            for number in range(round(part * count)):
                self._ghost(f"{kind}{number}", kind)
        self.at(KILL_MS, self._kill, None)

    def _ghost(self, name: str, kind: str) -> None:
        zones = self.site.zones
        ghost = Server(name, 0, zones[len(self.ghosts) % len(zones)], 1, 1.0, 0, self.site.rules, 250.0, 0.0)
        ghost.up, self.servers[name], self.ghosts[name] = False, ghost, kind

    def run(self) -> Told:
        """Play it."""
        self.play()
        out = self.out
        out.first_ms = [at - KILL_MS for number, at in self.answered.items() if number in self.again]
        if self.meter is not None:
            out.full_ms = self.meter.phases_ms.get("full", float("inf"))
        out.lost = 1 - self.worths[1] / max(1.0, self.worths[0])
        after = [[at for at in times if at >= KILL_MS] for times in self.opened.values()]
        before = [[at for at in times if KILL_MS / 2 <= at < KILL_MS] for times in self.opened.values()]
        mean = sum(map(len, after)) / len(self.places) / (AFTER_MS / 1000)
        out.connects = max(map(max_calls_within, after)), mean, max(map(max_calls_within, before))
        out.firsts = max((max_calls_within(times, 100.0) for times in self.first.values()), default=0)
        out.back = max_calls_within(self.retries, 100.0) / (100.0 * self.scenario.rate)
        out.pushed = self.rules.counts[3]
        return out

    # --- the kill

    def _kill(self, _: None) -> None:
        rng = random.Random(f"{self.scenario.seed}/kill")
        listed = [server.entry for server in self.servers.values()]
        self.again = set(rng.sample(range(len(self.nodes)), round(PART * len(self.nodes))))
        learned = {}
        for number in sorted(self.again):
            node = self.nodes[number]
            self.dead.add(id(node))
            assert isinstance(node.policy, Balancer)
            learned[number] = node.policy.learned(self.now)
        for ask in [ask for ask in self.open.values() if ask.node in self.again]:
            for one in ask.tries:
                one.over = True
            self._answer(ask, "failed")
        for key in [key for key in self.idle if key[0] in self.again]:
            del self.idle[key]
        self.met = {key for key in self.met if key[0] not in self.again}
        for name in rng.sample(self.places, round(self.case.cold * len(self.places))):
            server = self.servers[name]
            self._stop(server)
            server.start(self.now)
            for node in self.nodes:
                if id(node) not in self.dead:
                    node.starts[name] = server.started_ms
                    self._handle(
                        node, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [server.entry])
                    )
        for number in sorted(self.again):
            self.at(self.now + rng.uniform(*START_MS), self._start_node, (number, listed, learned[number]))
        self.at(self.now + START_MS[1], self._measure, None)

    def _measure(self, _: None) -> None:
        self.meter = ServiceMeter(self.now)

    def _start_node(self, what: tuple[int, list[api.Endpoint], api.LearnedState]) -> None:
        number, listed, learned = what
        old, seed = self.nodes[number], random.Random(f"{self.scenario.seed}/{number}").getrandbits(31)
        node = self.nodes[number] = Node(number, old.zone, make("module", self._settings(number), seed))
        age = self.case.age_ms if self.new else None
        entries = [replace(e, cached_age_ms=age) for e in listed]
        self._handle(node, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, entries))
        if self.case.kept and self.new:
            self._handle(node, api.LearnedStateRestored(learned, self.case.age_ms))
        self.at(self.now + self.case.silent_ms + 1.0, self._vouch, node)

    def _vouch(self, node: Node) -> None:
        """The list is there, and vouches for whoever is."""
        there = [self.servers[name].entry for name in self.places]
        node.starts = {e.id: e.started_at_ms for e in there if e.started_at_ms}
        gone = [replace(self.servers[name].entry, phase=api.Phase.REMOVED) for name in self.ghosts]
        self._handle(node, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [*gone, *there]))

    # --- what goes on

    def _handle(self, node: Node, event: api.Event) -> None:
        if id(node) not in self.dead:
            super()._handle(node, event)

    def _ask(self, ask: Ask) -> None:
        while id(self.nodes[ask.node]) in self.dead:  # the front has noticed
            ask.node = self.chance.randrange(len(self.nodes))
        if self.now >= KILL_MS and not ask.retry:
            self.worths[0] += ask.want.cls.worth
        if self.now >= KILL_MS and ask.retry:
            self.retries.append(self.now)
        super()._ask(ask)

    def _answer(self, ask: Ask, kind: str, wait_ms: float = 0.0) -> None:
        first, took = not ask.answers, self.now - ask.want.at_ms
        super()._answer(ask, kind, wait_ms)
        if not first or self.now < KILL_MS:
            return
        good = kind == "served" and took <= ask.want.cls.aim_ms
        self.worths[1] += ask.want.cls.worth * (good and ask.want.at_ms >= KILL_MS)
        if ask.node in self.again and self.meter is not None:
            self.meter.record_outcome(
                self.now, ask.want.cls.name, RequestOutcome.SERVED if good else RequestOutcome.FAILED
            )
            if kind == "served":
                self.answered.setdefault(ask.node, self.now)

    def _send(self, node: Node, action: api.SendAttempt) -> None:
        key, kept = (node.number, action.backend), self.idle[node.number, action.backend]
        while kept and kept[-1] < self.now - IDLE_MS:
            kept.clear()
        if kept:
            kept.pop()
        else:
            self.opened[action.backend].append(self.now)
        if key not in self.met:
            self.met.add(key)
            if self.now >= KILL_MS:
                self.first[action.backend].append(self.now)
        super()._send(node, action)

    def _trip(self, node: Node, server: Server) -> float | None:
        return None if self.ghosts.get(server.name) == "mute" else super()._trip(node, server)

    def _reaches(self, one: Try) -> None:
        if self.ghosts.get(one.server.name) == "wrong":
            self._back(one, api.AttemptStatus.ERROR)
        else:
            super()._reaches(one)

    def _outcome(self, what: tuple[Try, api.AttemptStatus]) -> None:
        one, status = what
        if not one.over and status in (
            api.AttemptStatus.OK,
            api.AttemptStatus.REJECTED,
            api.AttemptStatus.ERROR,
        ):
            self.idle[one.ask.node, one.server.name].append(self.now)
        super()._outcome(what)


def fleet(nodes: int, servers: int, seeds: int, cases: Iterable[Case]) -> Iterator[tuple[str, ...]]:
    """The rows of the first part."""
    yield (
        "case",
        "rules",
        "first answer of a node, ms: median (worst)",
        "full service, s: median (worst)",
        "worth lost",
        "connects a second at one server: most, mean, most before",
        "first requests in 100 ms",
        "clients back in 100 ms, over arrivals",
        "cold pushed",
    )
    for case in cases:
        for new in (False, True):
            runs = []
            for seed in range(1, seeds + 1):
                seconds = (KILL_MS + AFTER_MS) / 1000
                scenario = Scenario(servers, nodes, seconds, case.load, seed=seed)
                runs.append(Returning(scenario, case, new).run())
            first = [ms for run in runs for ms in run.first_ms]
            full = [run.full_ms / 1000 for run in runs]
            most, mean, steady = (
                max(r.connects[0] for r in runs),
                median(r.connects[1] for r in runs),
                max(r.connects[2] for r in runs),
            )
            yield (
                case.name,
                "new" if new else "before",
                f"{median(first):.0f} ({max(first):.0f})",
                f"{median(full):.1f} ({max(full):.1f})",
                f"{median(r.lost for r in runs):.1%}",
                f"{most}, {mean:.1f}, {steady}",
                str(max(r.firsts for r in runs)),
                f"{max(r.back for r in runs):.2f}x",
                str(sum(r.pushed for r in runs)),
            )


# --- discovery


class Lister:
    """A central discovery that works through calls in turn; one that would wait too long is refused."""

    def __init__(self, clock: VirtualClock, away_ms: float) -> None:
        self.clock, self.away_ms, self.free_ms = clock, away_ms, 0.0
        self.asked: list[float] = []
        self.refused = 0

    def call(self, done: Callable[[str], None]) -> None:
        """`done` is told how it ended."""
        now = self.clock.now_ms
        self.asked.append(now)
        begin = max(now, self.free_ms)
        if now < self.away_ms:
            self.clock.at(now + 1.0, lambda: done("away"))
        elif begin - now > PATIENCE_MS:
            self.refused += 1
            self.clock.at(now + 1.0, lambda: done("refused"))
        else:
            self.free_ms = begin + 1000.0 / BEARS
            self.clock.at(self.free_ms, lambda: done("listed"))


class Asker:
    """A node that starts blank, by one of RULES."""

    def __init__(self, clock: VirtualClock, lister: Lister, me: int, nodes: int, rule: str) -> None:
        self.clock, self.lister, self.listed_ms = clock, lister, float("inf")
        self.turns = StaggeredSchedule(me, nodes, BEARS) if rule == "turns" else None
        self.asks = (
            Balancer(api.Settings(tuple(SITE_CLASSES), must_poll=True), me) if rule == "asks" else None
        )
        self.follow = pf.PlatformWatcher(
            random.Random(me), False, pf.MAX_RETRY_WAIT_MS / pf.RETRY_WAIT_PER_DRAIN_GRACE
        )

    def start(self) -> None:
        """The process is up."""
        if self.asks is not None:
            self.tell(api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, []))
        elif self.turns is None:
            self.hand(pf.SubscriptionChanged(True))
        else:
            self.clock.at(self.clock.now_ms + self.turns.first_delay_ms(), self.ask)

    def ask(self) -> None:
        """One call."""
        self.lister.call(self.done)

    def done(self, how: str) -> None:
        """It ended."""
        now = self.clock.now_ms
        if how == "listed":
            self.listed_ms = now
        elif self.asks is not None:
            self.tell(api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
        elif self.turns is None:
            self.hand(pf.CallEnded(False))
        else:
            self.clock.at(now + self.turns.retry_delay_ms(how == "refused"), self.ask)

    def tell(self, event: api.Event) -> None:
        """To the module, which says when to ask where it has to."""
        assert self.asks is not None
        for action in self.asks.handle(self.clock.now_ms, event):
            if isinstance(action, api.SubscribeToEndpoints):
                self.ask()
            elif isinstance(action, api.SetTimer):
                self.clock.at(action.at_ms, partial(self.tell, api.TimerFired(action.token)))

    def hand(self, event: pf.Event) -> None:
        """To the decider of a watch."""
        for action in self.follow.handle(self.clock.now_ms, event, None):
            if isinstance(action, pf.FetchSnapshot):
                self.ask()
            elif isinstance(action, pf.SetRetryTimer):
                self.clock.at(action.at_ms, lambda: self.hand(pf.RetryTimerFired()))


RULES = {"watches": "before: a watch", "asks": "before: asked for (must_ask)", "turns": "new: turns"}


def lists(nodes: int, seeds: int) -> Iterator[tuple[str, ...]]:
    """The rows of the second part."""
    yield (
        "discovery away for",
        "rules",
        "calls a node",
        "refused a node",
        "most calls in 100 ms once it is there, over what it bears",
        "last node listed, s: median (worst)",
    )
    for away_ms in (0.0, 5_000.0, 60_000.0):
        for rule, words in RULES.items():
            calls, refused, most, last = [], [], [], []
            for seed in range(1, seeds + 1):
                clock, rng = VirtualClock(), random.Random(seed)
                lister = Lister(clock, away_ms)
                fleet = [Asker(clock, lister, n, nodes, rule) for n in range(nodes)]
                for node in fleet:
                    clock.at(rng.uniform(*START_MS), node.start)
                clock.run(600_000.0)
                back = [at for at in lister.asked if at >= away_ms]
                calls.append(len(lister.asked) / nodes)
                refused.append(lister.refused / nodes)
                most.append(max_calls_within(back, 100.0) / (BEARS / 10))
                last.append((max(node.listed_ms for node in fleet) - away_ms) / 1000)
            yield (
                f"{away_ms / 1000:.0f} s",
                words,
                f"{median(calls):.1f}",
                f"{median(refused):.1f}",
                f"{max(most):.0f}x",
                f"{median(last):.0f} ({max(last):.0f})",
            )


# --- etcd

WHERE = ef.Position("77", 100, 1)
CALL_MS = 1.0  # that a call takes but for a whole list


class AtOnce(StaggeredSchedule):
    """Weighed for a blank node: its first call at once, which says nothing of what etcd bears; then turns."""

    begun = False

    def first_delay_ms(self) -> float:
        """No wait before the first call."""
        return super().first_delay_ms() if self.begun else 0.0

    def retry_delay_ms(self, refused: bool, advice_ms: float = 0.0) -> float:
        """After the first call its turn in this stretch; from then on as any other."""
        if not self.begun:
            self.begun = True
            return max(self.first_delay_ms(), advice_ms)
        return super().retry_delay_ms(refused, advice_ms)


class EtcdNode:
    """A node's `EtcdFollow` before an etcd whose whole lists `Lister` works through."""

    def __init__(self, clock: VirtualClock, lister: Lister, me: int, turns: StaggeredSchedule | None) -> None:
        self.clock, self.lister, self.listed_ms, self.news_ms = clock, lister, float("inf"), float("inf")
        self.follow = EtcdWatcher("etcd", 3, random.Random(me), time_slots=turns)
        self.watch = 0

    def start(self) -> None:
        """The process is up."""
        self.hand(ef.WatcherStarted())

    def compacted(self) -> None:
        """Its watch ends, and where it was is nothing left."""
        self.listed_ms = self.news_ms = float("inf")
        self.hand(ef.WatchCanceled(self.watch, 90, ef.CallFault.FAILED, "compacted"))

    def hand(self, event: ef.Event) -> None:
        """An event; what was decided on it."""
        now = self.clock.now_ms
        if isinstance(event, ef.WatchCreated):
            self.news_ms = min(self.news_ms, now)
        for action in self.follow.handle(now, event):
            match action:
                case ef.SetTimer():
                    self.clock.at(action.at_ms, partial(self.hand, ef.TimerFired(action.token)))
                case ef.CheckEndpoint():
                    self._soon(ef.CheckAnswered(action.call_id, WHERE))
                case ef.FetchSnapshotPage():
                    self.lister.call(partial(self._ranged, action.call_id))
                case ef.OpenWatch():
                    self.watch = action.call_id
                    self._soon(ef.WatchCreated(action.call_id, WHERE))
                case ef.DeliverUpdate(update=EndpointsListed()):
                    self.listed_ms = now

    def _soon(self, event: ef.Event) -> None:
        away = self.clock.now_ms < self.lister.away_ms
        call = getattr(event, "call_id", 0)
        told = ef.CallFailed(call, ef.CallFault.FAILED, "no connection") if away else event
        self.clock.at(self.clock.now_ms + CALL_MS, partial(self.hand, told))

    def _ranged(self, call: int, how: str) -> None:
        trouble = ef.CallFault.OVERLOADED if how == "refused" else ef.CallFault.FAILED
        page = ef.SnapshotPageReceived(call, WHERE, (), b"", False)
        self.hand(page if how == "listed" else ef.CallFailed(call, trouble, how))


Make = Callable[[int, int], StaggeredSchedule | None]
ETCD_RULES: dict[str, Make] = {
    "`bears` left out": lambda me, nodes: None,
    "`bears = 50`": lambda me, nodes: StaggeredSchedule(me, nodes, BEARS),
    "weighed: the first at once": lambda me, nodes: AtOnce(me, nodes, BEARS),
}


def etcd(nodes: int, seeds: int) -> Iterator[tuple[str, ...]]:
    """The rows of etcd."""
    yield (
        "what happens to all nodes",
        "rules",
        "whole lists asked for a node",
        "refused a node",
        "most in 100 ms once it is there, over what it bears",
        "a node is listed, s: median (worst)",
        "hears news, s: median (worst)",
    )
    for away_ms, words in ((0.0, "start"), (60_000.0, "start, etcd away 60 s"), (-1.0, "watches compacted")):
        for rule, turns in ETCD_RULES.items():
            if away_ms < 0 and isinstance(turns(0, nodes), AtOnce):
                continue  # it is of a blank node
            calls, refused, most, listed, news = [], [], [], [], list[float]()
            for seed in range(1, seeds + 1):
                clock, rng = VirtualClock(), random.Random(seed)
                lister, since = Lister(clock, away_ms), max(0.0, away_ms)
                fleet = [EtcdNode(clock, lister, n, turns(n, nodes)) for n in range(nodes)]
                for node in fleet:
                    clock.at(rng.uniform(*START_MS), node.start)
                if away_ms < 0:  # from a steady fleet on
                    since = 150_000.0
                    clock.run(since)
                    lister.asked, lister.refused = [], 0
                    for node in fleet:
                        clock.at(since + rng.uniform(*START_MS), node.compacted)
                clock.run(since + 150_000.0)
                calls.append(len(lister.asked) / nodes)
                refused.append(lister.refused / nodes)
                most.append(
                    max_calls_within([at for at in lister.asked if at >= away_ms], 100.0) / (BEARS / 10)
                )
                listed += [(node.listed_ms - since) / 1000 for node in fleet]
                news += [(node.news_ms - since) / 1000 for node in fleet]
            yield (
                words,
                rule,
                f"{median(calls):.1f}",
                f"{median(refused):.1f}",
                f"{max(most):.0f}x",
                f"{median(listed):.1f} ({max(listed):.1f})",
                f"{median(news):.1f} ({max(news):.1f})",
            )


# --- first requests


def first(nodes: int, servers: int, seeds: int) -> Iterator[tuple[str, ...]]:
    """The rows of the third part: the most first requests at one server, one a node, over the mean."""
    yield ("rule", "most at one server", "over the mean", "servers that got none")
    names = [f"s{n}" for n in range(servers)]

    def lowest(_: int, __: int) -> str:
        return names[0]  # all counts are zero, ties by place

    def chance(seed: int, me: int) -> str:
        return random.Random(f"{seed}/{me}").choice(names)

    def module(seed: int, me: int) -> str:
        settings = api.Settings(tuple(SITE_CLASSES), node_index=me, node_count=nodes)
        node = Balancer(settings, seed * nodes + me)
        rows = [api.Endpoint(name, "", 0, 1.0, api.Phase.UP, 0.0) for name in names]
        node.handle(0.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, rows))
        acts = node.handle(0.0, api.RequestArrived("r", SITE_CLASSES[0].name, 1_000.0))
        return next(a.backend for a in acts if isinstance(a, api.SendAttempt))

    rules: dict[str, Callable[[int, int], str]] = {
        "lowest count, ties by place": lowest,
        "the paper's: ties at random": chance,
        "the module: own order by number, ties at random": module,
    }
    for name, rule in rules.items():
        most, none = [], []
        for seed in range(1, seeds + 1):
            counts = Counter(rule(seed, me) for me in range(nodes))
            most.append(max(counts.values()))
            none.append(servers - len(counts))
        yield name, f"{max(most)}", f"{max(most) * servers / nodes:.1f}x", f"{median(none):.0f} of {servers}"


SITE_CLASSES = [api.RequestClass(c.name, c.effect, c.aim_ms, c.give_up_ms, c.worth) for c in SITE.classes]


PARTS = ("fleet", "lists", "etcd", "first", "processes", "judge")


def show(title: str, rows: Iterable[tuple[str, ...]]) -> None:
    """Print a table in Markdown, row by row."""
    print(f"### {title}\n", flush=True)
    for number, row in enumerate(rows):
        print(f"| {' | '.join(row)} |", flush=True)
        if not number:
            print("| " + " | ".join("---" for _ in row) + " |")
    print(flush=True)


def main() -> None:
    """Print the tables."""
    words = argparse.ArgumentParser(description="Most of a fleet restarted at once, in virtual time.")
    words.add_argument("--part", choices=PARTS, action="append")
    words.add_argument("--case", choices=[case.name for case in CASES] + list(PROCESSES), action="append")
    words.add_argument("--seeds", type=int, default=30)
    words.add_argument("--first", type=int, default=1, help="the first seed of the judge's (1)")
    words.add_argument("--script", choices=judged.ALL, action="append", help="of the judge's: all")
    words.add_argument("--at-once", type=int, default=1, help="plays of the judge's side by side (1)")
    words.add_argument("--long", type=float, default=0.0, help="seconds that its outages and pauses last")
    words.add_argument("--nodes", type=int, help="1,000, of processes 50")
    words.add_argument("--servers", type=int, help="200, beside processes 40")
    words.add_argument("--rate", type=float, default=250.0, help="requests a second of all processes (250)")
    words.add_argument("--before", metavar="REV", help="a git revision whose processes are played, too")
    args = words.parse_args()
    nodes, servers = args.nodes or 1_000, args.servers or 200
    for part in args.part or ("first", "lists", "etcd", "fleet"):
        match part:
            case "first":
                show("First requests", first(nodes, servers, min(3, args.seeds)))
            case "lists":
                show("Whole lists asked for", lists(nodes, args.seeds))
            case "etcd":
                show("Whole lists asked of etcd", etcd(nodes, args.seeds))
            case "processes":
                cases = [name for name in PROCESSES if not args.case or name in args.case]
                nodes, servers = args.nodes or 50, args.servers or 40
                title = f"{nodes} processes, {servers} servers, {args.rate:.0f} requests a second"
                show(title, processes(cases, nodes, servers, args.rate, 1, args.before))
            case "judge":
                seeds = range(args.first, args.first + args.seeds)
                found = judged.table(args.script or judged.ALL, seeds, args.at_once, args.long)
                show("Hard days on real processes, judged", found)
            case _:
                chosen = [case for case in CASES if not args.case or case.name in args.case]
                show("A fleet that comes back", fleet(nodes, servers, args.seeds, chosen))


if __name__ == "__main__":
    main()
