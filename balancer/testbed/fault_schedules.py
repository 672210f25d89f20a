"""Seeded schedules of what goes wrong with the sources of the list, run on a small world and judged.

    schedule = draw(seed=7)
    result = await play(schedule, directory)
    assert not result.faults()

A schedule is a dozen servers under load, in discovery, in etcd or in both, and a row of incidents: faults of
etcd's endpoints and of discovery, and deletes, drains, re-adds and cold restarts of servers in the midst of
them. A server that is taken off a list goes on serving, so that what is still sent to it is seen. The same
seed gives the same schedule; what happens then hangs on the machine's timing too.

All faults have ended `CALM_S` before the end. After it each source at each node has to hold what is really
in it: a view that never goes back must still go forward.
"""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import cast

from balancer.testbed.backend_emulator import Machine
from balancer.testbed.cluster import Step, World
from balancer.testbed.discovery_emulator import HISTORY_CHANGES
from balancer.testbed.dual_source_cluster import FleetWorld
from balancer.testbed.etcd.client import EtcdError
from balancer.testbed.etcd.shared import Garbage
from balancer.testbed.event_log import HeldUp, Told
from balancer.testbed.invariant_checker import Verdict
from balancer.testbed.load_generator import Habits

SECONDS = 5.0
CALM_S = 2.4  # at the end, without new faults; more than the grace
LEAST_UP = 4  # servers that nobody has taken off
SERVERS, RATE = 12, 50.0
MACHINE = Machine(cores=2, speed=0.3)
CONVERGE_S = 15.0  # for the sources to be up to date after the end; back-off is 5 s at most
LONGEST_MS = 2_400.0  # of a fault that lasts

Act = Callable[[FleetWorld], object]


@dataclass(slots=True, frozen=True)
class Schedule:
    """One run: who is listed where, what clients do, what happens when; `kinds` counts the incidents."""

    seed: int
    seconds: float
    nodes: int
    platform: frozenset[str]
    etcd: frozenset[str]
    habits: Habits
    steps: tuple[Step, ...]
    kinds: Counter[str]

    def lines(self) -> list[str]:
        """For people."""
        both = len(self.platform & self.etcd)
        head = f"seed {self.seed}: {self.nodes} nodes, {len(self.platform)} servers in discovery, "
        head += f"{len(self.etcd)} in etcd, {both} in both; bursts {list(self.habits.bursts)}"
        return [head, *(f"  {step.at_s:5.2f} s  {step.text}" for step in self.steps)]


@dataclass(slots=True)
class Result:
    """What came of a schedule. `stale` says which source of which node did not get up to date."""

    schedule: Schedule
    verdict: Verdict
    removals: int  # servers that a node was told are gone or drain
    late_ms: float  # the most that the world itself was late by
    stale: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)

    def faults(self) -> list[str]:
        """Everything that must not be."""
        out = [line for breach in self.verdict.breaches for line in breach.lines()]
        return out + self.stale + self.crashes


class _Draft:
    """Draws incidents, and knows who is still listed."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.rng = rng = random.Random(f"schedule:{seed}")
        self.last = seconds - CALM_S
        self.nodes = rng.choice((1, 1, 2))
        self.names = [f"s{n}" for n in range(1, SERVERS + 1)]
        everyone = frozenset(self.names)
        some = frozenset(rng.sample(self.names, 9))
        others = frozenset(rng.sample(self.names, 9)) | (everyone - some)
        self.platform, self.etcd = rng.choice(
            ((everyone, everyone), (some, everyone), (everyone, some), (some, others))
        )
        self.off: dict[str, set[str]] = {}  # by server: the sources that took it off
        self.dead: set[str] = set()
        self.bursts: list[tuple[float, float, float]] = []
        self.steps: list[Step] = []
        self.kinds: Counter[str] = Counter()

    # --- helpers

    def at(self, at_s: float, text: str, act: Act) -> None:
        """Something happens; its world is always one of ours."""
        self.steps.append(Step(at_s, text, cast(Callable[[World], Awaitable[object] | object], act)))

    def during(self, begin: float, text: str, on: Act, off: Act, longest_ms: float = LONGEST_MS) -> float:
        """A fault that lasts; when it ends."""
        end = min(begin + self.rng.uniform(150.0, longest_ms) / 1000, self.last)
        self.at(begin, f"{text}, for {end - begin:.2f} s", on)
        self.at(end, f"({text} ends)", off)
        return end

    def some_members(self) -> tuple[str, Callable[[FleetWorld], list[int]]]:
        """Endpoints: one of a node's, all of a node's, or all."""
        node, place = self.rng.randrange(self.nodes), self.rng.randrange(2)
        return self.rng.choice(
            (
                (f"endpoint {place} of n{node}", lambda w: [w.member(node, place)]),
                (f"all endpoints of n{node}", lambda w: w.members(node)),
                ("all endpoints", lambda w: w.members()),
            )
        )

    def each(self, act: Callable[[FleetWorld, int], object], pick: Callable[[FleetWorld], list[int]]) -> Act:
        """Do it to each of some endpoints."""

        async def done(world: FleetWorld) -> None:
            for index in pick(world):
                if isinstance(one := act(world, index), Awaitable):
                    await one

        return done

    def free(self) -> list[str]:
        """Servers that nobody has taken off and that live, without those that have to be left."""
        found = [n for n in self.names if n not in self.off and n not in self.dead]
        self.rng.shuffle(found)
        return found[LEAST_UP:]

    def sources_of(self, name: str) -> list[str]:
        """Where a server is listed."""
        return [s for s, names in (("etcd", self.etcd), ("platform", self.platform)) if name in names]

    def take_off(self, at_s: float, names: Iterable[str], phase: str, only: str = "") -> None:
        """One source or both take servers off, the second one some time later."""
        first: dict[str, list[str]] = {}
        second: dict[str, list[str]] = {}
        for name in names:
            listed = [s for s in self.sources_of(name) if s == only or not only]
            self.rng.shuffle(listed)
            if not listed:
                continue
            first.setdefault(listed[0], []).append(name)
            self.off[name] = {listed[0]}
            if len(listed) > 1 and self.rng.random() < 0.5:
                second.setdefault(listed[1], []).append(name)
                self.off[name].add(listed[1])
        later = at_s + self.rng.uniform(0.0, 0.6)
        for when, table in ((at_s, first), (later, second)):
            for source, found in table.items():
                text = f"{source} says {phase}: {' '.join(found)}"
                self.at(when, text, partial(_enter, source=source, names=found, phase=phase))

    # --- incidents

    def delete(self, at_s: float) -> None:
        """One to three servers are deleted."""
        self.take_off(at_s, self.free()[: self.rng.randint(1, 3)], "terminated")

    def drain(self, at_s: float) -> None:
        """One or two drain."""
        self.take_off(at_s, self.free()[: self.rng.randint(1, 2)], "terminating")

    def half(self, at_s: float) -> None:
        """Half of those that are up are deleted in one change, under a burst."""
        free = self.free()
        self.bursts.append((at_s, at_s + 1.5, 3.0))
        self.take_off(at_s, free[: (len(free) + LEAST_UP) // 2], "terminated", self.rng.choice(("", "etcd")))

    def again(self, at_s: float) -> None:
        """Some that were taken off are listed anew by whoever took them off."""
        names = self.rng.sample(sorted(self.off), min(2, len(self.off)))
        for name in names:
            for source in sorted(self.off.pop(name)):
                self.at(
                    at_s,
                    f"{source} lists {name} anew",
                    partial(_enter, source=source, names=[name], phase="in_service"),
                )

    def restart(self, at_s: float) -> None:
        """A server dies and is there again, cold."""
        if free := self.free():
            name, end = free[0], at_s + self.rng.uniform(0.2, 1.0)
            self.dead.add(name)
            self.at(at_s, f"{name} dies", lambda w: w.die(name, notice_s=0.5))
            self.at(end, f"{name} comes, cold", lambda w: w.come(name))

    def hidden(self, at_s: float) -> None:
        """The watches break, servers are deleted, the history is compacted away, old events are replayed."""
        text, pick = self.some_members()
        end = at_s + self.rng.uniform(0.2, 1.2)
        self.at(at_s, f"{text} cut", lambda w: w.cut_watches(pick(w)))
        self.take_off(at_s + 0.05, self.free()[:3], "terminated", "etcd")
        self.at(at_s + 0.1, "compacted", _compact)
        self.at(end, f"{text} there again", lambda w: w.mend(pick(w)))
        for wait, short in ((0.1, 0), (0.4, 2)):
            act = self.each(partial(_replay, short=short), pick)
            self.at(end + wait, f"{text} replays all but {short}", act)

    def stale(self, at_s: float) -> None:
        """Discovery takes servers off, and then tells its oldest list and old changes once more."""
        node = f"n{self.rng.randrange(self.nodes)}"
        self.take_off(at_s, self.free()[:3], self.rng.choice(("terminated", "terminating")), "platform")
        self.at(at_s + 0.2, f"discovery of {node} tells its oldest list", partial(_older, node=node))
        self.at(
            at_s + 0.4,
            f"discovery of {node} replays all but 1",
            lambda w: w.discovery.agents[node].replay(HISTORY_CHANGES, 1),
        )

    def drop(self, at_s: float) -> None:
        """Connections end."""
        text, pick = self.some_members()
        self.at(at_s, f"{text} drops", self.each(lambda w, i: w.etcd.drop(i), pick))

    def out(self, at_s: float) -> None:
        """Connections end and none come up."""
        text, pick = self.some_members()
        self.during(at_s, f"{text} refuses", lambda w: w.cut_watches(pick(w)), lambda w: w.mend(pick(w)))

    def freeze(self, at_s: float) -> None:
        """Endpoints stand still."""
        text, pick = self.some_members()
        self.during(
            at_s,
            f"{text} frozen",
            self.each(lambda w, i: w.etcd.freeze(i), pick),
            self.each(lambda w, i: w.etcd.thaw(i), pick),
        )

    def stall(self, at_s: float) -> None:
        """Endpoints say nothing."""
        text, pick = self.some_members()
        self.during(
            at_s,
            f"{text} stalled",
            self.each(lambda w, i: w.etcd.stall(i), pick),
            self.each(lambda w, i: w.etcd.stall(i, on=False), pick),
        )

    def lag(self, at_s: float) -> None:
        """Endpoints are behind."""
        text, pick = self.some_members()
        by = self.rng.choice((1, 5, 50))
        self.during(
            at_s,
            f"{text} lags by {by}",
            self.each(lambda w, i: w.etcd.lag(i, by), pick),
            self.each(lambda w, i: w.etcd.lag(i, 0), pick),
        )

    def cut(self, at_s: float) -> None:
        """Endpoints are cut off from the others: of more than half, nobody has a quorum."""
        text, pick = self.some_members()
        self.during(
            at_s,
            f"{text} without quorum",
            self.each(lambda w, i: w.etcd.cut_off(i), pick),
            self.each(lambda w, i: w.etcd.cut_off(i, on=False), pick),
        )

    def twice(self, at_s: float) -> None:
        """Events are told twice."""
        text, pick = self.some_members()
        self.during(
            at_s,
            f"{text} tells twice",
            self.each(lambda w, i: w.etcd.duplicate_events(i), pick),
            self.each(lambda w, i: w.etcd.duplicate_events(i, on=False), pick),
        )

    def replay(self, at_s: float) -> None:
        """Old events are told once more: all of them, or but for the last few."""
        text, pick = self.some_members()
        short = self.rng.choice((0, 1, 2, 5))
        for wait in (0.0, 0.3):
            act = self.each(partial(_replay, short=short), pick)
            self.at(at_s + wait, f"{text} replays all but {short}", act)

    def compact(self, at_s: float) -> None:
        """The history is gone."""
        self.at(at_s, "compacted", _compact)

    def cancel(self, at_s: float) -> None:
        """Watches are canceled."""
        text, pick = self.some_members()
        reason, compacted = self.rng.choice((("why not", 0), ("", 3)))
        self.at(at_s, f"{text} cancels", self.each(lambda w, i: w.etcd.cancel(i, reason, compacted), pick))

    def fragment(self, at_s: float) -> None:
        """Batches come in pieces from now on."""
        text, pick = self.some_members()
        size = self.rng.choice((200, 1000))
        self.at(at_s, f"{text} cuts at {size}", self.each(lambda w, i: w.etcd.fragment(i, size), pick))

    def garbage(self, at_s: float) -> None:
        """A line that makes no sense, on the watch or as a list."""
        text, pick = self.some_members()
        kind = self.rng.choice(list(Garbage))
        what = f"{text} says {kind.name}"
        if self.rng.random() < 0.5:
            self.at(at_s, what, self.each(lambda w, i: w.etcd.send_garbage(i, kind), pick))
            return
        self.during(
            at_s,
            f"{what} for a list",
            self.each(lambda w, i: w.etcd.corrupt_ranges(i, kind), pick),
            self.each(lambda w, i: w.etcd.corrupt_ranges(i, None), pick),
            600.0,
        )
        self.at(at_s + 0.05, "and drops", self.each(lambda w, i: w.etcd.drop(i), pick))

    def bounce(self, at_s: float) -> None:
        """An endpoint ends and starts again."""
        text, pick = self.some_members()
        if self.rng.random() < 0.5:
            end = self.each(lambda w, i: w.etcd.kill(i), pick)
        else:
            end = self.each(lambda w, i: w.etcd.terminate(i), pick)
        self.during(at_s, f"{text} down", end, self.each(lambda w, i: w.etcd.restart(i), pick), 1_500.0)

    def discovery(self, at_s: float) -> None:
        """A fault of discovery at one node."""
        node = f"n{self.rng.randrange(self.nodes)}"
        pick = self.rng.randrange(8)
        if pick == 0:
            self.at(at_s, f"discovery of {node} drops", lambda w: w.discovery.agents[node].drop())
        elif pick == 1:
            self.during(
                at_s,
                f"discovery of {node} stalls",
                lambda w: w.discovery.agents[node].stall(True),
                lambda w: w.discovery.agents[node].stall(False),
            )
        elif pick == 2:
            self.during(
                at_s,
                f"discovery of {node} is silent",
                lambda w: w.discovery.agents[node].silence(True),
                lambda w: w.discovery.agents[node].silence(False),
            )
        elif pick == 3:
            self.during(
                at_s,
                f"discovery of {node} refuses",
                lambda w: w.discovery.agents[node].refuse(True),
                lambda w: w.discovery.agents[node].refuse(False),
            )
        elif pick == 4:
            self.at(at_s, f"discovery of {node} replays", lambda w: w.discovery.agents[node].replay(5))
        elif pick == 5:
            self.at(at_s, f"discovery of {node} tells its oldest list", partial(_older, node=node))
        elif pick == 6:
            self.at(at_s, f"discovery of {node} says garbage", lambda w: w.discovery.agents[node].garble())
        else:
            late = self.rng.uniform(50.0, 900.0)
            self.at(at_s, f"discovery of {node} is {late:.0f} ms late", partial(_late, node=node, ms=late))


# How often each is drawn, in parts.
INCIDENTS: dict[str, int] = {
    "delete": 4,
    "drain": 3,
    "half": 1,
    "again": 3,
    "restart": 2,
    "hidden": 2,
    "stale": 2,
    "drop": 2,
    "out": 2,
    "freeze": 2,
    "stall": 1,
    "lag": 2,
    "cut": 2,
    "twice": 1,
    "replay": 2,
    "compact": 2,
    "cancel": 1,
    "fragment": 1,
    "garbage": 2,
    "bounce": 2,
    "discovery": 5,
}


def _enter(world: FleetWorld, source: str, names: list[str], phase: str) -> None:
    rows = [world.fleet[name].member(phase) for name in names]
    if source == "etcd":
        world.writer.publish(*rows)
    else:
        world.discovery.publish(*rows)


def _replay(world: FleetWorld, index: int, short: int) -> None:
    world.etcd.replay(index, 1, world.etcd.store.revision - short)


async def _compact(world: FleetWorld) -> None:
    """Nothing is compacted while nobody has a quorum: another incident may have seen to that."""
    with contextlib.suppress(EtcdError):
        revision = await world.etcd.revision()
        if revision > world.etcd.store.compacted:
            await world.etcd.compact(revision)


def _older(world: FleetWorld, node: str) -> None:
    agent = world.discovery.agents[node]
    agent.send_older_list(len(agent.member_history.changes) - 1)


def _late(world: FleetWorld, node: str, ms: float) -> None:
    world.discovery.agents[node].late_ms = ms


def draw(seed: int, seconds: float = SECONDS) -> Schedule:
    """The schedule of a seed, some 8 incidents in 5 s. Raises ValueError where that is too short."""
    if seconds < CALM_S + 1.5:
        raise ValueError(f"a schedule of {seconds} s is too short: {CALM_S + 1.5} s are the least")
    draft = _Draft(seed, seconds)
    rng, span = draft.rng, draft.last - 0.2
    count = round(span / 2.4 * rng.randint(6, 11))
    moments = sorted(rng.uniform(0.2, draft.last - 0.3) for _ in range(count))
    # Servers are taken off early, so that there is time to see what is still sent to them.
    first = [rng.choice(("delete", "drain")), rng.choice(("hidden", "stale", "half"))]
    kinds = first + rng.choices(list(INCIDENTS), list(INCIDENTS.values()), k=count - 2)
    for at_s, kind in zip(moments, kinds, strict=True):
        draft.kinds[kind] += 1
        getattr(draft, kind)(at_s)
    steps = tuple(sorted(draft.steps, key=lambda step: step.at_s))
    habits = Habits(bursts=tuple(draft.bursts))
    return Schedule(seed, seconds, draft.nodes, draft.platform, draft.etcd, habits, steps, draft.kinds)


async def play(schedule: Schedule, directory: Path, rate: float = RATE) -> Result:
    """Run a schedule in a world of its own; `directory` is to be empty, and takes its files."""
    directory.mkdir(parents=True, exist_ok=True)
    world = FleetWorld(
        directory,
        seed=schedule.seed,
        nodes=schedule.nodes,
        servers=SERVERS,
        machine=MACHINE,
        habits=schedule.habits,
        platform=lambda name: name in schedule.platform,
        in_etcd=lambda name: name in schedule.etcd,
    )
    async with world:
        await world.play(rate, schedule.seconds, schedule.steps)
        stale = await world.current(CONVERGE_S)
        journal = world.journal
        gone = {(t.node, t.server) for t in journal if isinstance(t, Told) and t.phase != "up"}
        late = max((h.late_ms for h in journal if isinstance(h, HeldUp)), default=0.0)
        crashes = [
            f"{node.name}: {line}"
            for node in world.nodes
            for line in node.log
            if "Traceback" in line or "decision on" in line
        ]
        return Result(schedule, world.verdict(), len(gone), late, stale, crashes)
