"""A script of faults as data: what a world of processes is made of, and what happens to it when.

A script is TOML: `name`, `seconds`, `rate` (requests a second), `nodes`, `servers`, more with defaults (see
`Script`), then a table `[[fault]]` each: `at_s`, `kind` (of `KINDS`), whom it strikes, `for_s`, `value`.
Whom: `names = [...]`, `count = 3`, `part = 0.7` or `zone = "a"`; all without. Of a path `nodes = [...]` too,
and the `way`: "there" is what these nodes send, "back" what they are sent, "both" without it.
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
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from balancer.net import admin_socket as control
from balancer.net.clock import TEST_CLOCK
from balancer.testbed import disk_faults as disk
from balancer.testbed import tcp_fault_proxy as link
from balancer.testbed.backend_emulator import Machine, Server
from balancer.testbed.cluster import (
    DISCOVERY,
    ROOT,
    Node,
    Step,
    World,
)
from balancer.testbed.dual_source_cluster import SOURCE, FleetWorld
from balancer.testbed.event_log import (
    Answered,
    Asked,
    NodeEnded,
    NodeStarted,
    Received,
    Record,
    Told,
    Wanted,
    now_ms,
)
from balancer.testbed.invariant_checker import Verdict
from balancer.testbed.load_generator import Habits
from balancer.testbed.service_profile import Rules, Site

WINDOW_MS = 1_000.0  # over which service is compared with what it was
SHORT = 0.05  # of the requests in time, by which it may fall short of that

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
    way: Literal["there", "back", "both"] | None = None
    wipe: bool = False
    for_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0
    value: Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)] = 0.0
    spread_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0


class Says(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One `[[says]]`: what these nodes, or all, say of their return at the end (`balancer recovery`).

    Their memory, and the least number of their life. Each must be confirmed or full by then.
    """

    memory: Literal["none", "kept", "lost", "older"]
    names: list[str] | None = None
    life: Count = 1


class Script(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file. `least` is the worth in time, of all asked for, below which the script fails.

    It fails too above `spent`, the share of all attempts that came to servers while these were to `fail`,
    `vanish` or `slow`, above `failed`, the share of requests answered by a failure (no refusal), and above
    `pushed`, the most that a cold server was sent of what it may be sent, and above `connects`, the most new
    connections that any server was to take within a second. `notice_s` is how long clients go
    on coming to a node that is dead. With `etcd` servers are in its stand-in too, of which each node has two
    endpoints. A server that has just started does the part `cold` of what it does once warm. With `state`
    each node keeps a memory over its restarts, with `peers` nodes know each other. `known` is the list that a
    node's configuration has at a restart: that of now, or of its first start.
    """

    name: str
    seconds: Positive
    rate: Positive
    nodes: Count
    servers: Count
    zones: tuple[str, ...] = ("a", "b")
    cores: Count = 2
    speed: Positive = 0.5
    cold: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3
    notice_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0
    least: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    spent: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    failed: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    pushed: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    connects: Count = 1000
    etcd: bool = False
    state: bool = False
    peers: bool = False
    known: Literal["now", "first"] = "now"
    says: tuple[Says, ...] = ()
    fault: tuple[Row, ...] = ()


class ScriptError(ValueError):
    """A script that makes no sense; its text names every fault, one a line."""


@dataclass(slots=True, frozen=True)
class Strike:
    """One thing that happens to one process, or to all paths between some nodes and others."""

    at_s: float
    kind: str
    names: tuple[str, ...]
    nodes: tuple[str, ...] = ()
    for_s: float = 0.0
    value: float = 0.0
    way: str = "both"
    wipe: bool = False

    def __str__(self) -> str:
        """For people."""
        shown = " ".join(self.names[:6]) + (f" and {len(self.names) - 6} more" if len(self.names) > 6 else "")
        via = f" at {' '.join(self.nodes[:6])}" if self.nodes else ""
        span = f" for {self.for_s:g} s" if self.for_s else ""
        value = f" ({self.value:g})" if self.value else ""
        way = "" if self.way == "both" else f", {self.way}"
        wiped = ", wiped" if self.wipe else ""
        return f"{self.at_s:6.2f} s  {self.kind} {shown}{via}{span}{value}{way}{wiped}"


# --- what each kind does


Act = Callable[[Node], object]
Between = Callable[[World, Strike, list[Node]], object]  # something done while all of them are down


def _nodes(world: World, strike: Strike) -> list[Node]:
    return [node for node in world.nodes if node.name in strike.names]


def _node(on: Act, off: Act | None = None) -> Callable[[World, Strike], Awaitable[None]]:
    """Something about nodes, taken back after `for_s` where that is given."""

    async def done(world: World, strike: Strike) -> None:
        for node in _nodes(world, strike):
            on(node)
        if off is not None:
            await asyncio.sleep(strike.for_s)
            for node in _nodes(world, strike):
                off(node)

    return done


async def _ended(
    world: World, strike: Strike, how: Act = Node.kill, between: Between | None = None, slow: bool = False
) -> None:
    """Nodes end, and start again after `for_s`, or at once where it is the start that is slow.

    Each starts when it may, or once all are down where something is done `between`.
    """

    async def end(node: Node) -> None:
        how(node)
        await node.ended()
        if strike.wipe:
            disk.empty_directory(node.state)
            node.kept_ms = None

    async def start(node: Node) -> None:
        await asyncio.sleep(0.0 if slow else strike.for_s)
        await node.start(strike.for_s if slow else 0.0)

    async def both(node: Node) -> None:
        await end(node)
        await start(node)

    # One that is down already is started by whoever did that.
    nodes = [node for node in _nodes(world, strike) if node.process and node.process.returncode is None]
    if between is None:
        await asyncio.gather(*map(both, nodes))
        return
    await asyncio.gather(*map(end, nodes))
    between(world, strike, nodes)
    await asyncio.gather(*map(start, nodes))


def _clock(world: World, strike: Strike, nodes: list[Node]) -> None:
    """From this start on; the program only looks beside an operators' file."""
    for node in nodes:
        node.env[TEST_CLOCK] = str(round(strike.value * 1000))
        if "--settings" not in node.args:
            empty = node.path.with_suffix(".toml")
            empty.touch()
            node.args += ["--settings", str(empty)]


def _broken(act: Callable[[Path, random.Random], None]) -> Between:
    """Something about each one's directory, drawn on the seed."""

    def done(world: World, strike: Strike, nodes: list[Node]) -> None:
        for node in nodes:
            act(node.state, random.Random(f"{world.seed}:{strike.at_s}:{node.name}"))
            node.kept_ms = node.copied_ms if strike.kind == "disk restored" else None

    return done


def _limited(size: Callable[[Strike], int | None]) -> Callable[[World, Strike], None]:
    def done(world: World, strike: Strike) -> None:
        for node in _nodes(world, strike):
            if node.process is not None and node.process.returncode is None:
                disk.limit_file_size(node.process.pid, size(strike))
                node.full_ms = node.full_ms or now_ms()  # and on: nobody says when it has caught up

    return done


async def _full(world: World, strike: Strike) -> None:
    _limited(lambda s: int(s.value))(world, strike)
    await asyncio.sleep(strike.for_s)
    _limited(lambda s: None)(world, strike)


def _swapped(world: World, strike: Strike, nodes: list[Node]) -> None:
    disk.swap_directories([node.state for node in nodes])
    for node in nodes:
        node.kept_ms = None


def _away(node: Node) -> None:
    disk.set_directory_hidden(node.state, True)
    node.full_ms = node.full_ms or now_ms()


def _copied(node: Node) -> None:
    """All of it at one instant, as after a power cut."""
    node.stand()
    disk.save_copy(node.state)
    node.copied_ms = node.durable_ms()
    node.go_on()


async def _move(world: World, strike: Strike) -> None:
    for node in _nodes(world, strike):
        await node.agent.move()
        if (node.name, DISCOVERY) in world.paths:
            await world.wire(node.name, DISCOVERY)
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
    """Machines vanish: connections stay open, say nothing and do not come up; back cold, old ones reset."""
    for name in strike.names:
        world.fleet[name].vanish()
    await asyncio.sleep(strike.for_s)
    for name in strike.names:
        world.fleet[name].die()
        await world.come(name)


async def _replaced(world: World, strike: Strike) -> None:
    for number, name in enumerate(strike.names):
        await world.replace(name, f"{name}-{number}new")


def _usurped(world: World, strike: Strike) -> None:
    for name in strike.names:
        world.fleet[name].usurp()
    world.enter(*strike.names, phase="terminated")


WAYS = {"there": (link.Way.UP,), "back": (link.Way.DOWN,), "both": link.BOTH}


def _path(
    on: Callable[[Strike], Sequence[link.Fault]], off: bool = True
) -> Callable[[World, Strike], Awaitable[None]]:
    """Faults of TCP. What is told to a node while its answers are kept from it counts once they are not."""

    async def done(world: World, strike: Strike) -> None:
        faults = on(strike)
        pairs = [(n, s) for n in strike.nodes for s in strike.names]
        kept = any(link.Way.DOWN in getattr(fault, "ways", link.BOTH) for fault in faults)
        for pair in pairs:
            if kept and off:
                world.strays(*pair, on=True)
            for one in world.paths[pair]:
                for fault in faults:
                    one.apply(fault)
            if any(isinstance(fault, link.Reset) for fault in faults):
                world.lost(*pair)
        if off:
            await asyncio.sleep(strike.for_s)
            for pair in pairs:
                for one in world.paths[pair]:
                    one.heal()
                world.strays(*pair, on=False)

    return done


async def _older_lists(world: World, strike: Strike) -> None:
    """Discovery is back from a backup, with the list as it was after `value` changes."""
    for node in _nodes(world, strike):
        node.agent.restore(min(int(strike.value), len(node.agent.member_history.changes) - 1))
    await asyncio.sleep(strike.for_s)
    for node in _nodes(world, strike):
        node.agent.catch_up()


async def _late_lists(world: World, strike: Strike) -> None:
    for node in _nodes(world, strike):
        node.agent.late_ms = strike.value
    await asyncio.sleep(strike.for_s)
    for node in _nodes(world, strike):
        node.agent.late_ms = 0.0


def _silenced(strike: Strike) -> Sequence[link.Fault]:
    return [link.Stall(WAYS[strike.way])] + ([link.Blackhole()] if strike.way == "both" else [])


def _peers(key: str = "", value: float | None = None) -> Callable[[World, Strike], Awaitable[None]]:
    """A fault of datagrams between nodes, by its name in `DatagramFaults`; a cut without."""

    async def done(world: World, strike: Strike) -> None:
        struck = list[tuple[Any, tuple[link.Way, ...]]]()
        for node, other in [(n, o) for n in strike.nodes for o in strike.names if n != o]:
            # What a node sends goes by its own path, or comes back on the other's as an answer.
            mine, theirs = world.peers[node, other], world.peers[other, node]
            if strike.way != "back":
                struck += [(mine, (link.Way.UP,)), (theirs, (link.Way.DOWN,))]
            if strike.way != "there":
                struck += [(theirs, (link.Way.UP,)), (mine, (link.Way.DOWN,))]
        for path, ways in struck:
            if key:
                path.add_faults(ways, **{key: strike.value if value is None else value})
            elif link.Way.UP in ways:
                path.cut()
        await asyncio.sleep(strike.for_s)
        for path, ways in struck:
            path.heal(ways)

    return done


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of fault: whom it strikes (`node`, `server`, `path` by TCP, `peer` by UDP), what it does, which
    keys it needs, and which it may have beside those of all.
    """

    whom: str
    act: Callable[[World, Strike], object]
    needs: tuple[str, ...] = ()
    may: tuple[str, ...] = ()


KINDS: dict[str, Kind] = {
    "kill": Kind("node", _ended, may=("wipe",)),
    "terminate": Kind("node", partial(_ended, how=Node.terminate), may=("wipe",)),
    "stand": Kind("node", _node(Node.stand, Node.go_on), ("for_s",)),
    "slow start": Kind("node", partial(_ended, slow=True), ("for_s",)),
    "clock off": Kind("node", partial(_ended, between=_clock), ("value",)),
    "discovery moves": Kind("node", _move),
    "lists late": Kind("node", _late_lists, ("for_s", "value")),
    "lists older": Kind("node", _older_lists, ("for_s",)),
    "lists silent": Kind(
        "node", _node(lambda n: n.agent.silence(True), lambda n: n.agent.silence(False)), ("for_s",)
    ),
    "disk torn": Kind("node", partial(_ended, between=_broken(disk.truncate_newest_file))),
    "disk flipped": Kind("node", partial(_ended, between=_broken(disk.flip_bits_in_newest_file))),
    "disk blocked": Kind(
        "node", partial(_ended, between=_broken(lambda d, rng: disk.replace_newest_file_by_directory(d)))
    ),
    "disk wiped": Kind("node", partial(_ended, between=_broken(lambda d, rng: disk.empty_directory(d)))),
    "disk swapped": Kind("node", partial(_ended, between=_swapped)),
    "disk copied": Kind("node", _node(_copied)),
    "disk restored": Kind("node", partial(_ended, between=_broken(lambda d, rng: disk.restore_copy(d)))),
    "disk full": Kind("node", _full, ("for_s",)),
    "disk away": Kind("node", _node(_away, lambda n: disk.set_directory_hidden(n.state, False)), ("for_s",)),
    "die": Kind("server", _dies),
    "drain": Kind("server", lambda w, s: w.drain(*s.names)),
    "remove": Kind("server", lambda w, s: w.remove(*s.names)),
    "delist": Kind("server", lambda w, s: w.enter(*s.names, phase="terminated")),
    "replace": Kind("server", _replaced),
    "usurp": Kind("server", _usurped),
    "vanish": Kind("server", _silent, ("for_s",)),
    "fail": Kind("server", _fails, ("value",)),
    "slow": Kind("server", _slow, ("value",)),
    "reset": Kind("path", _path(lambda s: [link.Reset()], off=False)),
    "cut": Kind("path", _path(lambda s: [link.Reset(), link.Refuse()]), ("for_s",)),
    "silent": Kind("path", _path(_silenced), ("for_s",), ("way",)),
    "answers lost": Kind("path", _path(lambda s: [link.Stall(WAYS["back"])]), ("for_s",)),
    "requests lost": Kind("path", _path(lambda s: [link.Stall(WAYS["there"])]), ("for_s",)),
    "late": Kind(
        "path", _path(lambda s: [link.Delay(s.value, ways=WAYS[s.way])]), ("for_s", "value"), ("way",)
    ),
    "trickle": Kind("path", _path(lambda s: [link.Trickle(ways=WAYS[s.way])]), ("for_s",), ("way",)),
    "peers cut": Kind("peer", _peers(), ("for_s",), ("way",)),
    "peers silent": Kind("peer", _peers("lost", 1.0), ("for_s",), ("way",)),
    "peers lossy": Kind("peer", _peers("lost"), ("for_s", "value"), ("way",)),
    "peers doubled": Kind("peer", _peers("doubled"), ("for_s", "value"), ("way",)),
    "peers overtaken": Kind("peer", _peers("swapped"), ("for_s", "value"), ("way",)),
    "peers late": Kind("peer", _peers("delay_ms"), ("for_s", "value"), ("way",)),
    "peers mixed": Kind("peer", _peers("jitter_ms"), ("for_s", "value"), ("way",)),
    "peers slow": Kind("peer", _peers("bytes_s"), ("for_s", "value"), ("way",)),
}
PATHS = ("path", "peer")


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
    if script is not None and script.says and not script.state:
        wrong.append("says: found it without a memory; allowed: beside state = true")
    if script is not None:
        named = [name for says in script.says for name in says.names or ()]
        wrong += [
            f"says: names: found {name!r:.60}; allowed: n0 to n{script.nodes - 1}"
            for name in named
            if name not in _there(script, "node")
        ]
    if script is not None and script.state and script.etcd:
        wrong.append("state: found it beside etcd; allowed: one of them")
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
    if row.nodes is not None and kind.whom not in PATHS:
        yield f"nodes: found them beside {row.kind!r}, which strikes no path; allowed: names"
    for key in ("way", "wipe"):
        if getattr(row, key) and key not in kind.may:
            others = ", ".join(name for name, one in KINDS.items() if key in one.may)
            yield f"{key}: found it beside {row.kind!r}; allowed: {others}"
    if row.value < 0 and row.kind != "clock off":
        yield f"value: found {row.value:g} beside {row.kind!r}; allowed: 0 and more"
    if (given := sum(v is not None for v in (row.names, row.count, row.part, row.zone))) > 1:
        yield f"found {given} of names, count, part, zone; allowed: one of them, or none for all"
    if script is None:
        return
    there, more = _there(script, kind.whom), _services(script) if kind.whom == "path" else []
    for name in row.names or ():
        if name not in there and name not in more:
            yield f"names: found {name!r:.60}; allowed: {', '.join([f'{there[0]} to {there[-1]}', *more])}"
    struck = len(row.names or ()) or row.count or round((row.part or 1.0) * len(there))
    if row.kind == "disk swapped" and struck < 2:
        yield "found one node; allowed: two or more, which swap"
    for name in row.nodes or ():
        if name not in _there(script, "node"):
            yield f"nodes: found {name!r:.60}; allowed: n0 to n{script.nodes - 1}"
    if row.zone is not None and row.zone not in script.zones:
        yield f"zone: found {row.zone!r:.60}; allowed: {', '.join(script.zones)}"


def _services(script: Script) -> list[str]:
    """What a path may lead to beside servers."""
    return [DISCOVERY, SOURCE] if script.etcd else [DISCOVERY]


def _there(script: Script, whom: str) -> list[str]:
    if whom in ("node", "peer"):
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
        nodes = tuple(row.nodes or _there(script, "node")) if kind.whom in PATHS else ()
        groups, step = [names], 0.0
        if row.spread_s and len(names) > 1:
            groups, step = [(name,) for name in names], row.spread_s / (len(names) - 1)
        out += [
            Strike(
                row.at_s + at * step,
                row.kind,
                group,
                nodes,
                row.for_s,
                row.value,
                row.way or "both",
                row.wipe,
            )
            for at, group in enumerate(groups)
        ]
    return sorted(out, key=lambda strike: strike.at_s)


# --- playing


Quarter = tuple[float, int, int, int, int]


@dataclass(slots=True, frozen=True)
class Played:
    """What came of a script.

    `full_ms` is the time to full service after each moment of faults, None: never. `rows` are quarters of a
    second: when, how many were asked for, in time, refused or failed, and how many nodes lived throughout.
    """

    seed: int
    strikes: tuple[Strike, ...]
    verdict: Verdict
    crashes: tuple[str, ...]
    worth: float
    full_ms: tuple[tuple[float, float | None], ...]
    rows: tuple[Quarter, ...]
    beliefs: tuple[str, ...]
    spent: tuple[int, int] = (0, 0)  # attempts that came to servers made to fail, and all
    over: tuple[str, ...] = ()  # what is over the script's own bounds
    returns: dict[str, dict[str, Any]] = field(default_factory=dict)  # what nodes with a memory say of theirs

    def wrong(self, least: float) -> list[str]:
        """Everything that must not be."""
        out = [line for breach in self.verdict.breaches for line in breach.lines()[:12]]
        out += [*self.beliefs, *self.crashes]
        if self.worth < least:
            out.append(f"worth in time {self.worth:.1%}, {least:.1%} is the least")
        return [*out, *self.over]


async def play(
    script: Script,
    seed: int,
    directory: Path,
    strikes: Sequence[Strike] | None = None,
    tell: Callable[[float, str], None] | None = None,
    program: Path = ROOT,
    watch: Callable[[World], object] | None = None,
    habits: Habits | None = None,
) -> Played:
    """Play a script on a world of its own, or some of its strikes alone.

    `program` is the checkout whose nodes run; `watch` gets the world before it is played, and once more
    after.
    """
    struck = draw(script, seed) if strikes is None else list(strikes)
    wired = {(n, s) for one in struck for n in one.nodes for s in one.names if n != s}
    wired |= {(s, n) for one in struck if KINDS[one.kind].whom == "peer" for n, s in wired}
    running: set[asyncio.Task[Any]] = set()

    def begin(one: Strike, world: World) -> None:
        """Those that last go on beside what comes next."""
        done = KINDS[one.kind].act(world, one)
        if asyncio.iscoroutine(done):
            running.add(asyncio.ensure_future(done))

    site = Site(zones=script.zones, rules=Rules(cold_share=script.cold))
    make: Callable[..., World] = FleetWorld if script.etcd else World
    world = make(
        directory,
        site=site,
        seed=seed,
        nodes=script.nodes,
        servers=script.servers,
        notice_s=script.notice_s,
        machine=Machine(cores=script.cores, speed=script.speed),
        habits=habits or Habits(),
        wired=sorted(wired),
        program=program,
    )
    world.memory, world.known_stays, world.gossip = script.state, script.known == "first", script.peers
    returns: dict[str, dict[str, Any]] = {}
    async with world:
        if watch is not None:
            watch(world)
        steps = [Step(one.at_s, str(one), partial(begin, one)) for one in struck]
        await world.play(script.rate, script.seconds, steps, tell)
        await asyncio.gather(*running)
        for node in world.nodes if script.state else ():
            with contextlib.suppress(control.AdminSocketError):
                returns[node.name] = await asyncio.to_thread(control.ask, Path(node.socket), "recovery")
        if watch is not None:
            watch(world)
        more = (*_crowded(script, world.fleet.servers.values()), *_said(script, returns))
        records, verdict = list(world.journal), world.verdict()
        crashes = [
            f"{node.name}: {line}"
            for node in world.nodes
            for line in node.log
            if "Traceback" in line or "decision on" in line
        ]
    at0, moments = world.started_at_ms, sorted({one.at_s for one in struck})
    full = tuple((at, full_service(records, at0 + moments[0] * 1000, at0 + at * 1000)) for at in moments)
    held = [line for breach in verdict.breaches[:1] for line in beliefs(records, breach.evidence)]
    total = verdict.classes["all"]
    rows = tuple(_rows(records, at0))
    lost = spent(records, struck, at0)
    return Played(
        seed,
        tuple(struck),
        verdict,
        tuple(crashes),
        total.worth,
        full,
        rows,
        tuple(held),
        lost,
        (*_over(script, records, lost, verdict.pushed), *more),
        returns,
    )


def _crowded(script: Script, servers: Iterable[Server]) -> Iterable[str]:
    for one in servers:
        if one.busiest > script.connects:
            yield f"{one.name} took {one.busiest} connections within a second, {script.connects} is the most"


def _said(script: Script, returns: dict[str, dict[str, Any]]) -> Iterable[str]:
    """What nodes say of their return, where the script wants something else."""
    for says in script.says:
        for name in says.names or _there(script, "node"):
            if (told := returns.get(name)) is None:
                yield f"{name} does not say how far it is back"
                continue
            memory, life, state = told["memory"], told["incarnation"], told["state"]
            if memory != says.memory or life < says.life or state not in ("confirmed", "full"):
                wanted = f"memory {says.memory}, life {says.life} or later, confirmed or full"
                yield f"{name} says memory {memory}, life {life}, {state}; wanted: {wanted}"


def _over(script: Script, records: Iterable[Record], lost: tuple[int, int], pushed: float) -> Iterable[str]:
    ends = [r.status for r in records if isinstance(r, Answered)]
    failed = sum(status not in (200, 429, 503) for status in ends)
    if lost[0] > script.spent * lost[1]:
        at = f"{lost[0]} of {lost[1]} attempts"
        yield f"{at} came to servers that were made to fail, {script.spent:.1%} is the most"
    if failed > script.failed * len(ends):
        yield f"{failed} of {len(ends)} answers were failures, {script.failed:.1%} is the most"
    if pushed > script.pushed:
        yield f"a cold server was sent {pushed:.2f} of what it may be sent, {script.pushed:.2f} is the most"


def spent(records: Iterable[Record], strikes: Iterable[Strike], at0: float) -> tuple[int, int]:
    """Attempts that came to servers while a strike made these fail, vanish or slow, and all attempts."""
    bad = [
        (set(one.names), at0 + one.at_s * 1000, at0 + (one.at_s + (one.for_s or 1e6)) * 1000)
        for one in strikes
        if one.kind in ("fail", "vanish", "slow")
    ]
    got = [r for r in records if isinstance(r, Received)]
    lost = sum(any(r.server in names and a <= r.first_byte_at_ms < b for names, a, b in bad) for r in got)
    return lost, len(got)


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
