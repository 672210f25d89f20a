"""A fleet of thousands: time to the first answer, memory, the longest stall of the loop, CPU of a change.

The lists come from the lab's discovery and its etcd; each server of a list is a listener of its own on
127.0.0.0/8, which answers anything with 200 at once. What is measured is a process of its own (`child`).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Self, cast

from balancer.net.admin_socket import ask
from balancer.testbed.discovery_emulator import Agent, Discovery
from balancer.testbed.etcd.standin import EtcdEmulator
from balancer.testbed.event_log import Answered, Journal, now_ms
from balancer.testbed.load_generator import (
    Clients,
    FrontEnd,
    Habits,
    draw,
)
from balancer.testbed.service_profile import CLASSES, Site
from benchmarks.measured_process import LOOK
from benchmarks.result_table import (
    Row,
    cpu_ms,
    memory_mb,
    on,
    spread,
    waited_ms,
)

PREFIX = "/dillport/members/"
SITE = Site(classes=CLASSES[:2])  # those that are safe to repeat: they have no body
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
KNOWN, PLATFORM, ETCD = "the configuration", "the platform's list", "etcd"
SETTLE_S = 3.0  # for a list to be taken, and for memory to be what it stays
START_S = 30.0  # for a process to be up and answer
NODES = 1000  # that share the fleet, as the settings say: each feeds a few dozen of 10,000 servers
LOAD = 200.0  # requests a second beside a list that is taken
MODES = {
    "pool": "merge, sources and sockets alone",
    "module": "with the module's handle",
    "node": f"a node under {LOAD:.0f} requests a second",
}


class Plain(asyncio.Protocol):
    """One connection to a server that answers all at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer; requests without a body come in one piece."""
        if data.endswith(b"\r\n\r\n"):
            self.transport.write(ANSWER)


class Servers:
    """Thousands of listeners, and their entries in a list."""

    def __init__(self, count: int) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard < count + 1000:
            raise RuntimeError(f"{count} servers need {count + 1000} descriptors; {hard} are allowed")
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, count + 1000), hard))
        self.count = count
        self.entries: list[dict[str, Any]] = []
        self._servers: list[asyncio.Server] = []

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        for number in range(self.count):
            host = f"127.{220 + os.getpid() % 20}.{number // 250}.{number % 250 + 1}"
            server = await loop.create_server(Plain, host, 0, backlog=16)
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self.entries.append(
                {
                    "id": f"s-{number:08x}",
                    "host_port": f"{host}:{port}",
                    "locality": SITE.zones[number % 2],
                    "flavor": "m",
                    "cell": number // 16,
                    "phase": "in_service",
                    "size": 2.0,
                    "up_since_ms": 0,
                }
            )
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for server in self._servers:
            server.close()


@dataclass
class Sources:
    """Where the process hears of servers, and the files that say so."""

    directory: Path
    discovery: Discovery
    agent: Agent
    etcd: EtcdEmulator
    env: dict[str, str]

    async def change(self, source: str, entry: dict[str, Any]) -> None:
        """One change of the list."""
        if source == PLATFORM:
            self.discovery.publish(entry)
        else:
            await self.etcd.put(PREFIX + entry["id"], json.dumps(entry).encode())

    def check(self, count: int, lighter: int = 0) -> None:
        """Raise RuntimeError unless the process that was told all this has it: it is asked by its operators'
        socket. So many servers weigh less than at first.
        """
        members = ask(self.directory / "control", "members")["members"]
        assert isinstance(members, list)
        up = [m for m in members if m["phase"] == "up"]
        less = sum(m["weight"] < 2.0 for m in up)
        if (len(up), less) != (count, lighter):
            found = f"it has {len(up)} servers of {count}, and {less} changed ones of {lighter}"
            raise RuntimeError(f"{found}, after {SETTLE_S:g} s: does something else use its cores?")


@contextlib.asynccontextmanager
async def sources(
    entries: list[dict[str, Any]], source: str, nodes: int = NODES, sockets: int = 1024
) -> AsyncIterator[Sources]:
    """The lab's discovery and etcd, of which one has the list; or it is in the configuration, as known."""
    with tempfile.TemporaryDirectory(prefix="balancer-fleet-") as name:
        directory = Path(name)
        discovery = Discovery(Journal(), entries if source in (KNOWN, PLATFORM) else (), revision=41)
        agent = await discovery.agent("n0")
        async with EtcdEmulator() as etcd:
            settings = directory / "balancer.toml"
            env = {"PROXY_CONFIG": str(directory / "node.json"), "BALANCER_SETTINGS": str(settings)}
            text = f'[control]\nsocket = "{directory / "control"}"\n'
            if source == ETCD:
                rows = {PREFIX + e["id"]: json.dumps(e).encode() for e in entries}
                keys = list(rows)
                for start in range(0, len(keys), 128):
                    await etcd.txn({key: rows[key] for key in keys[start : start + 128]}, [])
                text += f'[membership.etcd]\nendpoints = {json.dumps(etcd.endpoints)}\nprefix = "{PREFIX}"\n'
            settings.write_text(text)
            known = entries if source == KNOWN else []
            revision = 41 if source == KNOWN else 0
            config = {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": agent.identity,
                "seed": "1",
                "limits": {"sockets": sockets},
                "settings": SITE.settings(0, nodes),
                "known": {"revision": revision, "complete": True, "members": known},
            }
            (directory / "node.json").write_text(json.dumps(config))
            try:
                yield Sources(directory, discovery, agent, etcd, env)
            finally:
                discovery.close()


class Measured:
    """One process that is measured."""

    def __init__(self, words: list[str], env: dict[str, str], where: set[int]) -> None:
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BALANCER_", "DILLPORT_"))}
        self.words, self.env, self.where = words, kept | env, where
        self.port = 0
        self.began_ms = 0.0
        self.report: dict[str, list[list[float]]] = {}
        self._log: list[str] = []

    async def __aenter__(self) -> Self:
        with on(self.where):
            self.began_ms = now_ms()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                *self.words,
                env=self.env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
        assert self.process.stderr is not None
        async with asyncio.timeout(START_S):
            while line := (await self.process.stderr.readline()).decode().strip():
                self._log.append(line)
                if " serves on " in line:
                    self.port = int(line.rpartition(":")[2])
                if self.port or line.endswith("the parts are up"):
                    break
            else:
                raise RuntimeError(f"the process ended at its start: {self._log[-3:]}")
        self._reading = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self._log.append(line.decode().strip())

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        assert self.process.stdout is not None
        said = await self.process.stdout.read()
        self._reading.cancel()
        if await self.process.wait() and kind is None:
            raise RuntimeError(f"the process ended with {self.process.returncode}: {self._log[-10:]}")
        if said:
            self.report = json.loads(said)

    @property
    def pid(self) -> int:
        """Its id."""
        return self.process.pid

    async def answered(self) -> float:
        """Ask until it serves an answer; the time from the process's start, in ms."""
        async with asyncio.timeout(START_S):
            for number in range(1_000_000):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(
                    b"GET /lookup/x?obj=%x HTTP/1.1\r\nHost: x\r\nRequest-Id: %016x\r\nTenant: north\r\n"
                    b"Request-Timeout: 400m\r\nConnection: close\r\n\r\n" % (number, number)
                )
                status = (await reader.readline()).split(b" ")[1:2]
                at = now_ms()
                writer.close()
                if status == [b"200"]:
                    return at - self.began_ms
                await asyncio.sleep(0.002)
        raise AssertionError

    def stall(self, since_ms: float, until_ms: float) -> tuple[float, float]:
        """The longest stall that ended in this time, and the longest collection in it, in ms."""
        lags = [lag for at, lag in self.report["lags"] if since_ms <= at <= until_ms]
        pauses = [took for at, took, _ in self.report["collections"] if since_ms <= at <= until_ms]
        return max(lags, default=0.0), max(pauses, default=0.0)


async def start(servers: Servers, where: set[int], runs: int) -> Iterator[Row]:
    """Time to the first answer and memory, of a real node."""
    rows = []
    for source in (KNOWN, PLATFORM, ETCD):
        took, up, now, peak = [], [], [], []
        for _ in range(runs):
            async with (
                sources(servers.entries, source) as told,
                Measured(["balancer"], told.env, where) as node,
            ):
                up.append(now_ms() - node.began_ms)
                took.append(await node.answered())
                await asyncio.sleep(SETTLE_S)
                await load(node, LOAD, 1.0)
                rss, hwm = memory_mb(node.pid)
                now.append(rss)
                peak.append(hwm)
                told.check(servers.count)
        rows.append(Row(f"{source}: process start to listening", spread(up, "ms")))
        rows.append(Row(f"{source}: process start to the first answer", spread(took, "ms")))
        rows.append(Row(f"{source}: memory of the node afterwards", spread(now, "MB"), "96 MB"))
        rows.append(Row(f"{source}: memory of the node at its peak", spread(peak, "MB")))
    return iter(rows)


async def load(node: Measured, rate: float, seconds: float) -> float:
    """Clients ask a node for so long; the part that was served."""
    front, journal = FrontEnd(), Journal()
    front.nodes["n0"] = ("127.0.0.1", node.port)
    habits = Habits(retries=0)
    clients = Clients(SITE, journal, front, random.getrandbits(32), habits)
    arrivals = draw(SITE, rate, seconds, random.getrandbits(32), habits)
    await clients.play(arrivals)
    clients.close()
    served = sum(isinstance(r, Answered) and r.status == 200 for r in journal)
    return served / max(1, len(arrivals))


async def stalls(servers: Servers, where: set[int], runs: int) -> Iterator[Row]:
    """The longest stall while a whole list is taken, the first one and one that replaces it."""
    rows = []
    for source in (PLATFORM, ETCD):
        for mode, what in MODES.items():
            first, again, pauses, memory, waited = [], [], [], [], []
            for _ in range(runs):
                async with (
                    sources(servers.entries, source) as told,
                    Measured(["benchmarks.measured_process", mode], told.env, where) as child,
                ):
                    up = now_ms()
                    async with asyncio.TaskGroup() as tasks:
                        if mode == "node":
                            tasks.create_task(load(child, LOAD, 2 * SETTLE_S))
                        await asyncio.sleep(SETTLE_S)
                        middle = now_ms()
                        await replace_list(told, servers, source)
                        await asyncio.sleep(SETTLE_S)
                        end = now_ms()
                    memory.append(memory_mb(child.pid)[0])
                    waited.append(waited_ms(child.pid))
                    told.check(servers.count, -(-servers.count // 100))
                one, two = child.stall(up, middle), child.stall(middle, end)
                first.append(one[0])
                again.append(two[0])
                pauses.append(max(one[1], two[1]))
            aim = "20 ms" if mode == "pool" else ""
            rows.append(Row(f"{source}, {what}: longest stall, first list", spread(first, "ms"), aim))
            rows.append(Row(f"{source}, {what}: longest stall, another list", spread(again, "ms"), aim))
            rows.append(Row(f"{source}, {what}: longest collection in them", spread(pauses, "ms")))
            rows.append(Row(f"{source}, {what}: memory", spread(memory, "MB")))
            rows.append(Row(f"{source}, {what}: waited for its core, in all", spread(waited, "ms")))
    return iter(rows)


async def replace_list(told: Sources, servers: Servers, source: str) -> None:
    """Have the process take a whole list, in which one in a hundred is another than before."""
    other = [{**e, "size": 1.0} if n % 100 == 0 else e for n, e in enumerate(servers.entries)]
    if source == PLATFORM:
        told.agent.send(told.discovery.member_history.revision + 1, other, complete=True)
        return
    assert isinstance(told.etcd, EtcdEmulator)
    rows = {PREFIX + e["id"]: json.dumps(e).encode() for e in other[::100]}
    told.etcd.stall(0)  # none of these is told: the watch is lost, and its revision with it
    keys = list(rows)
    for begin in range(0, len(keys), 128):
        await told.etcd.txn({key: rows[key] for key in keys[begin : begin + 128]}, [])
    await told.etcd.compact(await told.etcd.revision())
    told.etcd.drop(0)
    told.etcd.stall(0, False)


async def changes(servers: Servers, where: set[int], sizes: list[int], count: int) -> Iterator[Row]:
    """CPU time of a change that comes through a real source, at several sizes of the fleet."""
    rows = []
    for source in (PLATFORM, ETCD):
        for mode in ("pool", "module"):
            costs = []
            for size in sizes:
                entries = servers.entries[:size]
                async with (
                    sources(entries, source) as told,
                    Measured(["benchmarks.measured_process", mode], {**told.env, LOOK: "0"}, where) as child,
                ):
                    await asyncio.sleep(SETTLE_S)
                    await one_by_one(told, entries, source, range(count // 4))
                    before = cpu_ms(child.pid)
                    await one_by_one(told, entries, source, range(count // 4, count // 4 + count))
                    costs.append((cpu_ms(child.pid) - before) / count)
            figures = ", ".join(f"{cost:.3f} ms at {size:,}" for size, cost in zip(sizes, costs, strict=True))
            aim = "0.3 ms at 10,000" if mode == "pool" else ""
            rows.append(Row(f"{source}, {MODES[mode]}: CPU of a change", figures, aim))
    return iter(rows)


async def one_by_one(told: Sources, entries: list[dict[str, Any]], source: str, numbers: range) -> None:
    """So many changes, 2 ms apart: one server after the other gets another weight."""
    for number in numbers:
        entry = {**entries[number * 7919 % len(entries)], "size": 1.0 + number % 7 / 10}
        await told.change(source, entry)
        await asyncio.sleep(0.002)
