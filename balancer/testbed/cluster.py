"""A world: real node processes among stand-in servers, discovery and clients, all on loopback, on one seed.

    async with World(directory, seed=1, nodes=2, servers=6) as world:
        await world.play(rate=100, seconds=10, script=[Step(3, "s2 drains", lambda w: w.drain("s2"))])
        verdict = world.verdict()

Whoever adds a further source of the list appends it to `registries`, writes its `Told` to `journal`, and
gives each node the words and variables to find it by in `prepare`.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import itertools
import json
import os
import random
import re
import signal
import sys
import tempfile
from collections import deque
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Protocol, Self

import balancer
from balancer.endpoints import Address
from balancer.testbed.backend_emulator import Fleet, Machine, Server
from balancer.testbed.discovery_emulator import Agent, Discovery
from balancer.testbed.event_log import (
    HeldUp,
    Journal,
    NodeEnded,
    NodeHeldUp,
    NodeSignalled,
    NodeStarted,
    now_ms,
)
from balancer.testbed.invariant_checker import Verdict, judge
from balancer.testbed.load_generator import (
    Clients,
    FrontEnd,
    Habits,
    draw,
)
from balancer.testbed.service_profile import Site
from balancer.testbed.tcp_fault_proxy import TcpFaultProxy
from balancer.testbed.udp_fault_proxy import UdpFaultMesh, UdpFaultProxy
from balancer.testbed.udp_fault_proxy import UdpPath as Paths

ROOT = Path(balancer.__file__).parents[1]
PACKAGE_NAMES = ("balancer", "dillport")  # of this version and of older ones
READY_S = 20.0  # that a node gets to say that it is up
LOG_LINES = 2_000  # of a node's log that are kept
PEER_PORT = 7420  # for datagrams of other nodes; each node has a host of its own
KEY = "00112233445566778899aabbccddeeff"  # that nodes share at first, where they know each other
DISCOVERY = "discovery"  # the end of a path, beside servers' names
TICK_MS, LATE_MS = 10.0, 5.0  # how often the loop is looked at, and the lateness worth a record
NO_HANGUP = 'trap "" HUP; exec "$@"'  # as in deploy/balancer.toml; a preexec_fn would copy this process
DURABLE_MS = 1_000.0  # after which what a node was told is taken to be on its disk


def package_name(program: Path) -> str:
    """The name of the package in a checkout, which may be of an older version."""
    return next(name for name in PACKAGE_NAMES if (program / name).is_dir())


class Registry(Protocol):
    """A source of the list that servers are entered in."""

    def publish(self, *entries: dict[str, Any]) -> object:
        """Enter changes, in discovery's form."""


@dataclass(slots=True, frozen=True)
class Step:
    """Something that happens at a time of a run, and the words for it."""

    at_s: float
    text: str
    act: Callable[[World], Awaitable[object] | object]


class Node:
    """One real node: its process, its configuration, its log."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        self.path = world.directory / f"{self.name}.json"
        self.args: list[str] = []  # further words of its command line
        self.env: dict[str, str] = {}  # further variables of its environment
        self.host, self.port = f"127.{world.fleet.second_octet}.250.{number + 1}", 0
        self.state = world.directory / f"{self.name}.state"  # a directory of its own, which outlives restarts
        self.state.mkdir(exist_ok=True)
        self.process: asyncio.subprocess.Process | None = None
        self._terminated_process: asyncio.subprocess.Process | None = None
        self.log: deque[str] = deque(maxlen=LOG_LINES)
        self.known: dict[str, Any] = {}  # the list in its configuration
        self.kept_ms: float | None = None  # what it was told until then is on its disk
        self.copied_ms: float | None = None  # and in the copy of that
        self.full_ms: float | None = None  # since when nothing new gets there, in this life
        self._waited = (0, 0.0)
        self._tasks: set[asyncio.Task[None]] = set()
        self._serves = asyncio.Event()

    @property
    def agent(self) -> Agent:
        """Its discovery."""
        return self.world.discovery.agents[self.name]

    def configure(self) -> None:
        """Write its configuration file, with the list as its agent has it."""
        world = self.world
        if not (self.known and world.known_stays):
            self.known = self.agent.initial_list()
        table = {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "discovery": self.agent.identity,
            "seed": f"{world.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": world.memory_limit_mb, "sockets": world.descriptor_limit},
            "known": self.known,
            "settings": world.site.settings(self.number, world.node_count),
        }
        self.path.write_text(json.dumps(table), encoding="utf-8")

    async def start(self, slow_s: float = 0.0) -> None:
        """Start the process, behind the same address as before, and wait until clients may come.

        A slow start is stopped (SIGSTOP) as soon as the process is there, and goes on after that time. It may
        be killed or terminated meanwhile: then whoever did that starts it again.
        """
        world = self.world
        self._serves.clear()
        if world.memory or world.gossip:
            self._settings()
        world.journal.add(NodeStarted(self.name, now_ms(), self.kept_ms))
        self.configure()
        self.agent.record_initial_list(self.known)
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BALANCER_", "DILLPORT_"))}
        env |= {"PROXY_CONFIG": str(self.path), **self.env}
        self.process = process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            NO_HANGUP,
            "sh",
            sys.executable,
            "-B",
            "-m",
            package_name(world.program),
            *self.args,
            cwd=world.program,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        self._keep(self._read(process))
        self._keep(self._watch(process))
        if slow_s:
            self.stand()
            await asyncio.sleep(slow_s)
            self.go_on()
        async with asyncio.timeout(READY_S):
            await self._serves.wait()
            while self.process is process and not (self.port and await self._up()):
                if process.returncode == -signal.SIGKILL:
                    return
                # Before it has its handlers, the signal ends it as any other process.
                if process is self._terminated_process and process.returncode in (0, -signal.SIGTERM):
                    return
                if process.returncode is not None:
                    raise RuntimeError(f"{self.name} ended at its start: {list(self.log)[-3:]}")
                await asyncio.sleep(0.02)
        world.front.nodes[self.name] = (self.host, self.port)

    # --- its memory

    def _settings(self) -> None:
        """Have it keep one, and know the others, as the world wants it, from its first start on."""
        if "--settings" not in self.args:
            file = self.path.with_suffix(".toml")
            lines = ["[control]", f"socket = {json.dumps(self.socket)}"]
            if self.world.memory:
                lines += ["[state]", f"directory = {json.dumps(str(self.state))}", "every = 1"]
            if (hub := self.world.hub) is not None:
                self.key(KEY)
                at = {name: f"{host}:{port}" for name, (host, port) in hub.addresses.items()}
                lines += ["[timeline]", "[peers]", f'listen = "{self.host}:{PEER_PORT}"']
                lines += [f'address = "{at[self.name]}"', f"seeds = {json.dumps([*at.values()][:3])}"]
                lines += [f'key_file = "{self.name}.key"']
            file.write_text("\n".join(lines) + "\n", encoding="utf-8")
            self.args += ["--settings", str(file)]

    def key(self, *keys: str) -> None:
        """Write the keys that it shares with the others."""
        file = self.path.with_suffix(".key")
        file.touch(0o600)
        file.write_text("\n".join(keys) + "\n", encoding="utf-8")

    @property
    def socket(self) -> str:
        """Where it answers questions, if it has a memory or knows the others."""
        return f"{self.world.short.name}/{self.name}"

    def durable_ms(self) -> float | None:
        """What it was told until then is on its disk by now: not what came last, nor since that was full."""
        if not self.world.memory:
            return None
        return min(now_ms(), self.full_ms or now_ms()) - DURABLE_MS

    # --- its process

    def _keep(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode(errors="replace").rstrip():
            self.log.append(line)
            if found := re.search(r"serves on \S+:(\d+)$", line):
                self.port = int(found[1])
                self._serves.set()
        self._serves.set()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.world.journal.add(NodeEnded(self.name, now_ms(), code))
        await asyncio.sleep(self.world.notice_s)
        if self.process is process:
            self.world.front.nodes.pop(self.name, None)

    async def _up(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except ConnectionError:
            return False
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).split(b" ")[1:2] == [b"200"]
        except ConnectionError:
            return False
        finally:
            writer.close()

    def kept_waiting(self, least: float) -> float:
        """For how long in all its process was ready and had no core since this last gave a time, in ms.

        The kernel's word (/proc, `schedstat`), not the node's; 0 where there is none, for a new process, and
        up to `least`.
        """
        process = self.process
        if process is None or process.returncode is not None:
            return 0.0
        try:
            waited = int(Path(f"/proc/{process.pid}/schedstat").read_bytes().split()[1]) / 1e6
        except (OSError, IndexError, ValueError):
            return 0.0
        pid, before = self._waited
        if pid == process.pid and waited - before <= least:
            return 0.0
        self._waited = (process.pid, waited)
        return waited - before if pid == process.pid else 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        if self.process is not None and self.process.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.kept_ms, self.full_ms = self.durable_ms(), None
            self.world.journal.add(NodeSignalled(self.name, now_ms(), number.name))
            if number == signal.SIGTERM:
                self._terminated_process = self.process
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it outright; the front goes on dealing connections to it until it notices."""
        self.signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Begin a planned end."""
        self.signal(signal.SIGTERM)

    def stand(self) -> None:
        """Stop it where it is; its sockets stay open and take what comes."""
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let it go on."""
        self.signal(signal.SIGCONT)

    def reload(self) -> None:
        """Write its configuration anew and have it read again."""
        self.configure()
        self.signal(signal.SIGHUP)

    async def ended(self) -> int:
        """Wait for its end; the exit code."""
        assert self.process is not None
        return await self.process.wait()

    async def close(self) -> None:
        """See that nothing of it is left."""
        if self.process is not None:
            self.go_on()
            self.kill()
            await self.process.wait()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class World:
    """All of it. `directory` takes the nodes' configurations; `notice_s` is how long the front does not see
    that a node has died; `prepare` sees each node once, before its first start, and may add to its `args`
    and `env`. `program` is the checkout whose nodes run, another version of them for a comparison. `wired`
    names the pairs between which there is a path that can be made faulty: of a node and a server,
    "discovery" or (`FleetWorld`) "etcd" by TCP, of two nodes by UDP. Where `memory` is
    set before the start each node keeps one over its restarts, where `known_stays` is its configuration's
    list is that of its first start, however old. Where `gossip` is, nodes know each other, through a hub
    whose paths are `peers`. On leaving, every process that the world started is gone.
    """

    def __init__(
        self,
        directory: Path,
        *,
        site: Site | None = None,
        seed: int = 1,
        nodes: int = 1,
        servers: int = 6,
        machine: Machine | None = None,
        habits: Habits | None = None,
        notice_s: float = 1.0,
        prepare: Callable[[Node], Awaitable[object] | object] | None = None,
        wired: Collection[tuple[str, str]] = (),
        program: Path = ROOT,
    ) -> None:
        self.program = program
        self.memory = self.known_stays = self.gossip = False
        self.memory_limit_mb, self.descriptor_limit = 192, 1024  # the limits in the nodes' configurations
        self.hub: UdpFaultMesh | None = None
        self.short = tempfile.TemporaryDirectory(prefix="dp-")  # a Unix socket's name may not be long
        self.wired, self.paths = wired, dict[tuple[str, str], list[TcpFaultProxy]]()
        self.peers: dict[tuple[str, str], Paths] = {}
        self.relays: dict[tuple[str, str], UdpFaultProxy] = {}  # those of them that are no hub's
        self.directory, self.site, self.seed = directory, site or Site(), seed
        self.node_count, self.server_count, self.machine = nodes, servers, machine
        self.habits, self.notice_s = habits or Habits(), notice_s
        self.prepare = prepare
        self.rng = random.Random(f"world:{seed}")
        self.journal = Journal()
        self.fleet = Fleet(self.site, self.journal, seed)
        self.front = FrontEnd()
        self.clients = Clients(self.site, self.journal, self.front, seed, self.habits)
        self.nodes: list[Node] = []
        self.registries: list[Registry] = []
        self.started_at_ms = 0.0
        self._ticker: asyncio.TimerHandle | None = None
        self._later: set[asyncio.TimerHandle] = set()

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def start(self) -> None:
        """Bring up servers, discovery and nodes."""
        for number in range(1, self.server_count + 1):
            await self.fleet.add(f"s{number}", self.machine).start()
        listed = [row for row in self.fleet.members() if self.on_platform(row["id"])]
        self.discovery = Discovery(self.journal, listed)
        self.registries.append(self.discovery)
        self._tick(now_ms())
        self.nodes = [Node(self, number) for number in range(self.node_count)]
        if self.gossip:
            targets = {name: (host, PEER_PORT) for name, host in self._hosts().items()}
            self.hub = UdpFaultMesh(targets, f"127.{self.fleet.second_octet}.251.1", self.seed)
            self.peers |= self.hub.paths
        for node in self.nodes:
            await self.discovery.agent(node.name)
            for number, (name, other) in enumerate(self.wired):
                if name == node.name and (name, other) in self.peers:
                    continue
                if name == node.name and other in self._hosts():
                    peer = UdpFaultProxy((self._hosts()[other], PEER_PORT), self.seed + number, node.host)
                    self.peers[name, other] = self.relays[name, other] = await peer.__aenter__()
                elif name == node.name:
                    await self.wire(name, other)
            if self.prepare is not None and inspect.isawaitable(done := self.prepare(node)):
                await done
        async with asyncio.TaskGroup() as tasks:
            for node in self.nodes:
                tasks.create_task(node.start())

    async def close(self) -> None:
        """End it all."""
        for handle in self._later:
            handle.cancel()
        self.clients.close()
        for node in self.nodes:
            with contextlib.suppress(ProcessLookupError):
                await node.close()
        if self._ticker is not None:
            self._ticker.cancel()
        if self.registries:
            self.discovery.close()
        for link in itertools.chain(*self.paths.values()):
            await link.__aexit__()
        for peer in self.relays.values():
            await peer.__aexit__()
        if self.hub is not None:
            self.hub.close()
        self.fleet.stop()
        self.short.cleanup()

    def _tick(self, due_ms: float) -> None:
        """Look whether the loop is late: what is recorded meanwhile has a time that is too late as well."""
        at = now_ms()
        if at - due_ms > LATE_MS:
            self.journal.add(HeldUp(at, at - due_ms))
        for node in self.nodes:
            if late := node.kept_waiting(LATE_MS):
                self.journal.add(NodeHeldUp(node.name, at, late))
        loop = asyncio.get_running_loop()
        self._ticker = loop.call_later(TICK_MS / 1000, self._tick, at + TICK_MS)

    # --- a run

    async def play(
        self,
        rate: float,
        seconds: float,
        script: Iterable[Step] = (),
        tell: Callable[[float, str], None] | None = None,
    ) -> None:
        """Clients ask for so long, the script takes place; returns once the last client has its end."""
        arrivals = draw(self.site, rate, seconds, self.seed, self.habits)
        self.started_at_ms = now_ms()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.clients.play(arrivals))
            tasks.create_task(self._script(sorted(script, key=lambda s: s.at_s), tell))

    async def _script(self, steps: list[Step], tell: Callable[[float, str], None] | None) -> None:
        for step in steps:
            await asyncio.sleep(max(0.0, self.started_at_ms / 1000 + step.at_s - now_ms() / 1000))
            if tell is not None:
                tell(step.at_s, step.text)
            done = step.act(self)
            if inspect.isawaitable(done):
                await done

    def verdict(self) -> Verdict:
        """What the judge says of all that was recorded so far."""
        return judge(self.journal, self.site)

    # --- paths

    def _hosts(self) -> dict[str, str]:
        return {node.name: node.host for node in self.nodes}

    def targets(self, node: str, name: str) -> list[Address]:
        """Where a path from a node leads to."""
        if name == DISCOVERY:
            agent = self.discovery.agents[node]
            return [(agent.host, agent.port)]
        return [(self.fleet[name].host, self.fleet[name].port)]

    async def wire(self, node: str, name: str) -> None:
        """Lay the path between a node and whom it calls by TCP, or lay it anew where they have moved."""
        before, agent = self.paths.get((node, name), []), self.discovery.agents[node]
        links = self.paths[node, name] = [TcpFaultProxy(at, self.seed) for at in self.targets(node, name)]
        for link in links:
            await link.__aenter__()
        if name == DISCOVERY:
            agent.via = links[0].address
        elif name in self.fleet.servers:
            agent.addresses[name] = "{}:{}".format(*links[0].address)
        for old in before:
            await old.__aexit__()

    def strays(self, node: str, name: str, on: bool) -> None:
        """A path begins or ends to keep from a node what is told to it: the judge has to know."""
        if name == DISCOVERY:
            self.discovery.agents[node].set_path_fault(on)

    def lost(self, node: str, name: str) -> None:
        """What a path holds will not arrive."""
        if name not in self.fleet.servers:
            self.journal.lose(node, self.discovery.source if name == DISCOVERY else name)

    def peer(self, node: str, other: str) -> Address:
        """Where a node reaches another by UDP, which listens at its host's `PEER_PORT`."""
        if self.hub is not None:
            return self.hub.addresses[other]
        link = self.relays.get((node, other))
        return (self._hosts()[other], PEER_PORT) if link is None else link.address

    # --- what scripts do

    def on_platform(self, name: str) -> bool:
        """Whether discovery is told of a server."""
        return True

    def publish(self, *entries: dict[str, Any]) -> None:
        """Enter changes in every registry."""
        for registry in self.registries:
            registry.publish(*entries)

    def enter(self, *names: str, phase: str = "in_service") -> None:
        """Enter servers as they are, in one change."""
        self.publish(*(self.fleet[name].member(phase) for name in names))

    def drain(self, *names: str) -> None:
        """Servers are to finish what they have; they turn away what is new once the grace is over."""
        self.enter(*names, phase="terminating")
        for name in names:
            self.later(self.site.rules.grace_ms / 1000, self.fleet[name].drain)

    def remove(self, *names: str) -> None:
        """Servers are taken off the list and end in order."""
        self.enter(*names, phase="terminated")
        for name in names:
            self.fleet[name].drain()
            self.later(self.site.rules.grace_ms / 1000, self.fleet[name].stop)

    def die(self, *names: str, notice_s: float = 1.5) -> None:
        """Servers' processes are killed; the list says so some time later."""
        for name in names:
            self.fleet[name].die()
        self.later(notice_s, self._gone, names)

    def _gone(self, names: tuple[str, ...]) -> None:
        self.enter(*(name for name in names if not self.fleet[name].up), phase="terminated")

    async def come(self, name: str) -> Server:
        """A server starts cold, a new one or one that was there, and is entered in the list."""
        server = self.fleet.servers.get(name) or self.fleet.add(name, self.machine)
        await server.start(cold=True)
        self.enter(name)
        return server

    async def replace(self, old: str, new: str) -> Server:
        """A new machine at the address of one that ends: another id, cold."""
        before = self.fleet[old]
        self.enter(old, phase="terminated")
        before.die()
        server = self.fleet.add(new, self.machine, before.zone)
        server.host, server.port = before.host, before.port
        await server.start(cold=True)
        self.enter(new)
        return server

    def later(self, seconds: float, act: Callable[..., object], *args: object) -> None:
        """Have something happen in a while, unless the world ends before."""

        def due() -> None:
            self._later.discard(handle)
            act(*args)

        handle = asyncio.get_running_loop().call_later(seconds, due)
        self._later.add(handle)
