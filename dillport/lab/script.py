"""A script of faults as data: what a world of processes is made of, and what happens to it when.

A script is TOML: `name`, `seconds`, `rate` (requests a second), `nodes`, `servers`, more with defaults (see
`Script`), then a table `[[fault]]` each: `at_s`, `kind` (of `KINDS`), whom it strikes, `for_s`, `value`.
Whom: `names = [...]`, `count = 3`, `part = 0.7` or `zone = "a"`, of a path `nodes = [...]` too; all without.
What is left to chance is drawn on a seed: the same seed strikes the same, and `draw` gives names, so that
a script that fails can be cut down fault by fault (`shrink`).

- `parse`: bytes to a `Script`; raises ScriptError, which names the faults of all tables at once.
- `draw`: a script on a seed, as `Strike`s.
- `play`: one of them on a world of its own, judged; `Played` says what came of it.
- `full_service`: how long until as much was in time as before; `beliefs`: what each process had been told.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import tomllib
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from dillport.lab import link
from dillport.lab.clients import Habits
from dillport.lab.judge import Verdict
from dillport.lab.records import Answered, Asked, NodeEnded, NodeStarted, Received, Record, Told, Wanted
from dillport.lab.servers import Machine
from dillport.lab.site import Site
from dillport.lab.world import ROOT, Step, World
from dillport.net import control

WINDOW_MS = 1_000.0  # over which service is compared with what it was
SHORT = 0.05  # of the requests in time, by which it may fall short of that
SETTLE_S = 2.0  # after a planned end's SIGTERM until the process starts again at the earliest

Positive = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1000)]


class Row(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One `[[fault]]` as the file has it."""

    at_s: Annotated[float, msgspec.Meta(ge=0, le=3600)]
    kind: str
    names: list[str] | None = None
    count: Count | None = None
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] | None = None
    zone: str | None = None
    nodes: list[str] | None = None
    for_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0
    value: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0
    spread_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0


class Script(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file. `least` is the worth in time, of all asked for, below which the script fails.

    `notice_s` is how long clients go on coming to a node that is dead. With `state` each node keeps a memory
    over its restarts. `known` is the list that a node's configuration has at a restart: that of now, or of
    its first start.
    """

    name: str
    seconds: Positive
    rate: Positive
    nodes: Count
    servers: Count
    zones: tuple[str, ...] = ("a", "b")
    cores: Count = 2
    speed: Positive = 0.5
    notice_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0
    least: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    state: bool = False
    known: Literal["now", "first"] = "now"
    fault: tuple[Row, ...] = ()


class ScriptError(ValueError):
    """A script that makes no sense; its text names every fault, one a line."""


@dataclass(slots=True, frozen=True)
class Strike:
    """One thing that happens to one process, or to all paths between some nodes and servers."""

    at_s: float
    kind: str
    names: tuple[str, ...]
    nodes: tuple[str, ...] = ()
    for_s: float = 0.0
    value: float = 0.0

    def __str__(self) -> str:
        """For people."""
        shown = " ".join(self.names[:6]) + (f" and {len(self.names) - 6} more" if len(self.names) > 6 else "")
        via = f" at {' '.join(self.nodes[:6])}" if self.nodes else ""
        span = f" for {self.for_s:g} s" if self.for_s else ""
        value = f" ({self.value:g})" if self.value else ""
        return f"{self.at_s:6.2f} s  {self.kind} {shown}{via}{span}{value}"


# --- what each kind does


def _node(act: Callable[[Any], object]) -> Callable[[World, Strike], object]:
    def done(world: World, strike: Strike) -> None:
        for node in world.nodes:
            if node.name in strike.names:
                act(node)

    return done


async def _ended(world: World, strike: Strike, how: str, then: str | None = None) -> None:
    """Nodes end, and start again after `for_s`, something done to their memory between the two."""

    async def one(node: Any) -> None:
        if node.process.returncode is not None:
            return  # it is down already, and whoever did that starts it again
        getattr(node, how)()
        await node.ended()
        if then is not None:
            getattr(node, then)()
        await asyncio.sleep(strike.for_s)
        await node.start()

    async with asyncio.TaskGroup() as tasks:
        for node in world.nodes:
            if node.name in strike.names:
                tasks.create_task(one(node))


async def _stand(world: World, strike: Strike) -> None:
    _node(lambda node: node.stand())(world, strike)
    await asyncio.sleep(strike.for_s)
    _node(lambda node: node.go_on())(world, strike)


async def _full(world: World, strike: Strike) -> None:
    _node(lambda node: node.disk_full(True))(world, strike)
    await asyncio.sleep(strike.for_s)
    _node(lambda node: node.disk_full(False))(world, strike)


async def _move(world: World, strike: Strike) -> None:
    for node in world.nodes:
        if node.name in strike.names:
            await node.agent.move()
            node.reload()


def _servers(on: Callable[[Any], object], off: Callable[[Any], object] | None = None) -> Any:
    """Something about servers, taken back after `for_s` where that is given."""

    async def done(world: World, strike: Strike) -> None:
        found = [world.fleet[name] for name in strike.names]
        for server in found:
            on(server)
        if off is not None and strike.for_s:
            await asyncio.sleep(strike.for_s)
            for server in found:
                if server.up:
                    off(server)

    return done


async def _fails(world: World, strike: Strike) -> None:
    await _servers(lambda s: s.fail(strike.value), lambda s: s.fail(0.0))(world, strike)


async def _slow(world: World, strike: Strike) -> None:
    await _servers(lambda s: s.slow(strike.value), lambda s: s.slow(1.0))(world, strike)


async def _dies(world: World, strike: Strike) -> None:
    world.die(*strike.names, notice_s=strike.value or 1.5)
    if strike.for_s:
        await asyncio.sleep(strike.for_s)
        for name in strike.names:
            await world.come(name)


async def _silent(world: World, strike: Strike) -> None:
    """A machine vanishes: connections stay open and say nothing. It is back cold, its old ones reset."""
    for name in strike.names:
        world.fleet[name].hang()
    await asyncio.sleep(strike.for_s)
    for name in strike.names:
        world.fleet[name].die()
        await world.come(name)


async def _replaced(world: World, strike: Strike) -> None:
    for number, name in enumerate(strike.names):
        await world.replace(name, f"{name}-{number}new")


def _path(on: Sequence[link.Fault], off: bool = True) -> Callable[[World, Strike], Awaitable[None]]:
    async def done(world: World, strike: Strike) -> None:
        found = [world.paths[n, s] for n in strike.nodes for s in strike.names]
        for one in found:
            for fault in on:
                made = link.Delay(strike.value) if isinstance(fault, link.Delay) else fault
                one.apply(made)
        if off:
            await asyncio.sleep(strike.for_s)
            for one in found:
                one.heal()

    return done


async def _late_lists(world: World, strike: Strike) -> None:
    agents = [node.agent for node in world.nodes if node.name in strike.names]
    for agent in agents:
        agent.late_ms = strike.value
    await asyncio.sleep(strike.for_s)
    for agent in agents:
        agent.late_ms = 0.0


async def _silent_lists(world: World, strike: Strike) -> None:
    agents = [node.agent for node in world.nodes if node.name in strike.names]
    for agent in agents:
        agent.silence(True)
    await asyncio.sleep(strike.for_s)
    for agent in agents:
        agent.silence(False)


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of fault: whom it strikes (`node`, `server` or `path`), what it does, which keys it needs.

    `state`: only nodes that keep a memory can be struck so.
    """

    whom: str
    act: Callable[[World, Strike], object]
    needs: tuple[str, ...] = ()
    state: bool = False


KINDS: dict[str, Kind] = {
    "kill": Kind("node", partial(_ended, how="kill")),
    "terminate": Kind("node", partial(_ended, how="terminate")),
    "wipe": Kind("node", partial(_ended, how="kill", then="wipe"), state=True),
    "back up": Kind("node", _node(lambda node: node.back_up()), state=True),
    "restore": Kind("node", partial(_ended, how="kill", then="restore"), state=True),
    "disk full": Kind("node", _full, ("for_s",), state=True),
    "stand": Kind("node", _stand, ("for_s",)),
    "discovery moves": Kind("node", _move),
    "lists late": Kind("node", _late_lists, ("for_s", "value")),
    "lists silent": Kind("node", _silent_lists, ("for_s",)),
    "die": Kind("server", _dies),
    "drain": Kind("server", lambda w, s: w.drain(*s.names)),
    "remove": Kind("server", lambda w, s: w.remove(*s.names)),
    "replace": Kind("server", _replaced),
    "vanish": Kind("server", _silent, ("for_s",)),
    "fail": Kind("server", _fails, ("value",)),
    "slow": Kind("server", _slow, ("value",)),
    "reset": Kind("path", _path([link.Reset()], off=False)),
    "cut": Kind("path", _path([link.Reset(), link.Refuse()]), ("for_s",)),
    "silent": Kind("path", _path([link.Stall(), link.Blackhole()]), ("for_s",)),
    "answers lost": Kind("path", _path([link.Stall((link.Way.DOWN,))]), ("for_s",)),
    "requests lost": Kind("path", _path([link.Stall((link.Way.UP,))]), ("for_s",)),
    "late": Kind("path", _path([link.Delay(0.0)]), ("for_s", "value")),
    "trickle": Kind("path", _path([link.Trickle()]), ("for_s",)),
}


# --- reading and drawing


def parse(data: bytes) -> Script:
    """A script out of TOML; raises ScriptError."""
    try:
        raw = tomllib.loads(data.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise ScriptError(f"not TOML: {err}") from None
    rows, wrong, found = raw.pop("fault", []), list[str](), list[Row]()
    if not isinstance(rows, list):
        rows, wrong = [], ["fault: found one table; allowed: [[fault]], as many as there are faults"]
    script: Script | None = None
    try:
        script = msgspec.convert(raw, Script)
    except msgspec.ValidationError as err:
        wrong.append(str(err))
    for number, row in enumerate(rows):
        try:
            made = msgspec.convert(row, Row)
        except msgspec.ValidationError as err:
            wrong.append(f"fault[{number}]: {err}")
            continue
        wrong += [f"fault[{number}]: {text}" for text in _senseless(made, script)]
        found.append(made)
    if wrong or script is None:
        raise ScriptError("\n".join(wrong))
    return msgspec.structs.replace(script, fault=tuple(found))


def _senseless(row: Row, script: Script | None) -> Iterable[str]:
    if (kind := KINDS.get(row.kind)) is None:
        yield f"kind: found {row.kind!r:.60}; allowed: {', '.join(KINDS)}"
        return
    for key in kind.needs:
        if not getattr(row, key):
            yield f"{key}: found nothing; a {row.kind!r} needs it"
    if row.nodes is not None and kind.whom != "path":
        yield f"nodes: found them beside {row.kind!r}, which strikes no path; allowed: names"
    if (given := sum(v is not None for v in (row.names, row.count, row.part, row.zone))) > 1:
        yield f"found {given} of names, count, part, zone; allowed: one of them, or none for all"
    if script is None:
        return
    if kind.state and not script.state:
        yield f"kind: found {row.kind!r}, which strikes a memory; the script needs: state = true"
    there = _there(script, kind.whom)
    for name in row.names or ():
        if name not in there:
            yield f"names: found {name!r:.60}; allowed: {there[0]} to {there[-1]}"
    for name in row.nodes or ():
        if name not in _there(script, "node"):
            yield f"nodes: found {name!r:.60}; allowed: n0 to n{script.nodes - 1}"
    if row.zone is not None and row.zone not in script.zones:
        yield f"zone: found {row.zone!r:.60}; allowed: {', '.join(script.zones)}"


def _there(script: Script, whom: str) -> list[str]:
    if whom == "node":
        return [f"n{n}" for n in range(script.nodes)]
    return [f"s{n}" for n in range(1, script.servers + 1)]


def draw(script: Script, seed: int) -> list[Strike]:
    """What happens on a seed. `spread_s` strikes one after the other over that time."""
    out: list[Strike] = []
    for number, row in enumerate(script.fault):
        kind, rng = KINDS[row.kind], random.Random(f"{seed}:{script.name}:{number}")
        there = _there(script, kind.whom)
        if row.zone is not None:  # as the world lays them out: in turn
            place = script.zones.index(row.zone)
            there = [name for at, name in enumerate(there) if at % len(script.zones) == place]
        most = row.count or (max(1, round(row.part * len(there))) if row.part else len(there))
        names = tuple(row.names or sorted(rng.sample(there, min(most, len(there))), key=lambda n: int(n[1:])))
        nodes = tuple(row.nodes or _there(script, "node")) if kind.whom == "path" else ()
        if row.spread_s and len(names) > 1:
            step = row.spread_s / (len(names) - 1)
            out += [
                Strike(row.at_s + at * step, row.kind, (name,), nodes, row.for_s, row.value)
                for at, name in enumerate(names)
            ]
        else:
            out.append(Strike(row.at_s, row.kind, names, nodes, row.for_s, row.value))
    return sorted(out, key=lambda strike: strike.at_s)


# --- playing


Quarter = tuple[float, int, int, int, int]


@dataclass(slots=True, frozen=True)
class Played:
    """What came of a script.

    `full_ms` is the time to full service after each moment of faults, None: never. `rows` are quarters of a
    second: when, how many were asked for, in time, refused or failed, and how many nodes lived throughout.
    `returns` is what `dillport recovery` says of each node at the end, where nodes keep a memory.
    """

    seed: int
    strikes: tuple[Strike, ...]
    verdict: Verdict
    crashes: tuple[str, ...]
    worth: float
    full_ms: tuple[tuple[float, float | None], ...]
    rows: tuple[Quarter, ...]
    beliefs: tuple[str, ...]
    returns: dict[str, dict[str, Any]]

    def wrong(self, least: float) -> list[str]:
        """Everything that must not be."""
        out = [line for breach in self.verdict.breaches for line in breach.lines()[:12]]
        out += [*self.beliefs, *self.crashes]
        if self.worth < least:
            out.append(f"worth in time {self.worth:.1%}, {least:.1%} is the least")
        return out


async def play(
    script: Script, seed: int, directory: Path, strikes: Sequence[Strike] | None = None,
    tell: Callable[[float, str], None] | None = None, program: Path = ROOT,
    watch: Callable[[World], object] | None = None, habits: Habits | None = None,
) -> Played:  # fmt: skip
    """Play a script on a world of its own, or some of its strikes alone.

    `program` is the checkout whose nodes run; `watch` gets the world before it is played, and once more
    after.
    """
    struck = draw(script, seed) if strikes is None else list(strikes)
    wired = {(n, s) for one in struck for n in one.nodes for s in one.names}
    running: set[asyncio.Task[Any]] = set()

    def begin(one: Strike, world: World) -> None:
        """Those that last go on beside what comes next."""
        done = KINDS[one.kind].act(world, one)
        if asyncio.iscoroutine(done):
            running.add(asyncio.ensure_future(done))

    site = Site(zones=script.zones)
    world = World(
        directory, site=site, seed=seed, nodes=script.nodes, servers=script.servers, notice_s=script.notice_s,
        machine=Machine(cores=script.cores, speed=script.speed), habits=habits or Habits(),
        wired=sorted(wired), program=program, memory=script.state, known_stays=script.known == "first",
    )  # fmt: skip
    returns: dict[str, dict[str, Any]] = {}
    async with world:
        if watch is not None:
            watch(world)
        steps = [Step(one.at_s, str(one), partial(begin, one)) for one in struck]
        await world.play(script.rate, script.seconds, steps, tell)
        await asyncio.gather(*running)
        for node in world.nodes if script.state else ():
            with contextlib.suppress(control.ControlError):
                returns[node.name] = await asyncio.to_thread(control.ask, Path(node.socket), "recovery")
        if watch is not None:
            watch(world)
        records, verdict = list(world.journal), world.verdict()
        crashes = [f"{node.name}: {line}" for node in world.nodes for line in node.log
                   if "Traceback" in line or "decision on" in line]  # fmt: skip
    at0, moments = world.started_at_ms, sorted({one.at_s for one in struck})
    full = tuple((at, full_service(records, at0 + moments[0] * 1000, at0 + at * 1000)) for at in moments)
    held = [line for breach in verdict.breaches[:1] for line in beliefs(records, breach.evidence)]
    total = verdict.classes["all"]
    rows = tuple(_rows(records, at0))
    return Played(seed, tuple(struck), verdict, tuple(crashes), total.worth, full, rows, tuple(held),
                  returns)  # fmt: skip


def _ends(records: Iterable[Record]) -> list[tuple[float, bool, bool]]:
    """Each first try: when it was wanted, whether it was served in time, whether by anybody at all."""
    records = list(records)
    first = {r.request: r.first for r in records if isinstance(r, Asked)}
    served: dict[str, float] = {}
    for r in records:
        if isinstance(r, Answered) and r.whole and r.status == 200 and r.request in first:
            served.setdefault(first[r.request], r.at_ms)
    wanted = (r for r in records if isinstance(r, Wanted))
    return [(r.at_ms, served.get(r.request, float("inf")) <= r.aim_ms, r.request in served) for r in wanted]


def full_service(records: Iterable[Record], before_ms: float, since_ms: float) -> float | None:
    """Milliseconds from a moment until, for a second, as many requests as before the faults are in time."""
    ends = sorted(_ends(records))
    usual = [good for at, good, _ in ends if at < before_ms]
    if not usual or not ends:
        return None
    least, last = sum(usual) / len(usual) - SHORT, ends[-1][0]
    at = since_ms
    while at + WINDOW_MS <= last:
        window = [good for when, good, _ in ends if at <= when < at + WINDOW_MS]
        if window and sum(window) / len(window) >= least:
            return at - since_ms
        at += WINDOW_MS / 10
    return None


def _rows(records: list[Record], at0: float, step_ms: float = 250.0) -> Iterable[Quarter]:
    """What a picture shows."""
    ends, changes = _ends(records), list[tuple[float, int]]()
    for r in records:
        if isinstance(r, NodeStarted | NodeEnded):
            changes.append((r.at_ms, 1 if isinstance(r, NodeStarted) else -1))
    alive, at, last = 0, at0, max((when for when, _, _ in ends), default=at0)
    while at <= last:
        mine = [(good, some) for when, good, some in ends if at <= when < at + step_ms]
        least = alive
        while changes and changes[0][0] < at + step_ms:
            alive += changes.pop(0)[1]
            least = min(least, alive) if at > at0 else alive
        good = sum(g for g, _ in mine)
        yield (at - at0) / 1000, len(mine), good, sum(not some for _, some in mine), least
        at += step_ms


def beliefs(records: Iterable[Record], evidence: Sequence[Record]) -> list[str]:
    """What each process had been told of the servers of a breach by the time of its last record."""
    if not evidence:
        return []
    at = max(_at(r) for r in evidence)
    servers = {r.server for r in evidence if isinstance(r, Received | Told)}
    last: dict[tuple[str, str], Told] = {}
    alive: dict[str, bool] = {}
    for r in records:
        if _at(r) > at:
            continue
        if isinstance(r, Told) and r.server in servers:
            last[r.node, r.server] = r
        elif isinstance(r, NodeStarted | NodeEnded):
            alive[r.node] = isinstance(r, NodeStarted)
    out = []
    for (node, server), told in sorted(last.items()):
        state, ago = "up" if alive.get(node) else "down", at - told.at_ms
        told_of = f"{server} {told.phase} since {ago:.0f} ms, revision {told.revision} of {told.source}"
        out.append(f"{node}, {state}, had been told: {told_of}")
    return out


def _at(record: Record) -> float:
    return record.first_byte_at_ms if isinstance(record, Received) else getattr(record, "at_ms", 0.0)


async def shrink(
    strikes: Sequence[Strike], fails: Callable[[Sequence[Strike]], Awaitable[bool]]
) -> list[Strike]:
    """The fewest strikes that still fail, by halves, then one by one (after Zeller's ddmin)."""
    kept, size = list(strikes), max(1, len(strikes) // 2)
    while True:
        at, less = 0, False
        while at < len(kept):
            rest = kept[:at] + kept[at + size :]
            if await fails(rest):
                kept, less = rest, True
            else:
                at += size
        if size == 1 and not less:
            return kept
        size = max(1, size // 2)
