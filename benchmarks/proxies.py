"""A whole node beside a bare relay: CPU time of a request, requests a second, by the size of the fleet.

    python -m benchmarks.proxies [--quick] [--servers N] ... [--node-cores CORES] [--lab-cores CORES]

The relay (`benchmarks.relay_cost`) is the floor for this runtime: uvloop and httptools, each request to
the next
server in turn, no deadlines and no decisions. The node's ratio to it in the same run is the figure. Both have
one process, keep their connections and have the same stand-in servers, which answer all at once. 16 clients
ask on connections they keep, each again as soon as it has its answer. Each proxy in turn, on loopback.

CPU time is what the system charges the process. Requests a second are as many as proxy, clients and servers
did together: where the proxy's core has time left, it was not the proxy that held them up.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import multiprocessing
import multiprocessing.connection
import os
import platform
import re
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any, cast

import uvloop

from benchmarks.proxy_fleet import (
    KNOWN,
    SITE,
    Measured,
    sources,
)
from benchmarks.result_table import cores, cpu_ms, on

SIZES = (4, 100, 1_000)
FLOOR = "bare relay"
GROUPS = (1, 20)  # nodes that share the fleet, as ours is told
CLIENTS = 16
WARM_S, ASK_S = 1.0, 3.0
SOCKETS = 4_000  # that a proxy may have open
PER_PROCESS = 250  # stand-in servers
START_S = 20.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nServer-Load: TEXT inflight=0, queue=0\r\n\r\nok\n"
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)\r\n", re.IGNORECASE)


class StandIn(asyncio.Protocol):
    """One connection to a server that answers all at once. Requests have no body and come in one piece."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer."""
        if data.endswith(b"\r\n\r\n"):
            self.transport.write(ANSWER)


def stand_in(first: int, count: int, block: int, pipe: multiprocessing.connection.Connection) -> None:
    """A process with some of the servers; it tells their addresses, and ends when the pipe does."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        told = []
        for number in range(first, first + count):
            host = f"127.{block}.{number // 250}.{number % 250 + 1}"
            server = await loop.create_server(StandIn, host, 0, backlog=64)
            told.append((host, server.sockets[0].getsockname()[1]))
        pipe.send(told)
        over = asyncio.Event()
        loop.add_reader(pipe.fileno(), over.set)
        await over.wait()

    uvloop.run(serve())


@contextlib.contextmanager
def servers(count: int) -> Iterator[list[tuple[str, int]]]:
    """So many servers in a few processes; their addresses."""
    context = multiprocessing.get_context("spawn")
    with contextlib.ExitStack() as stack:
        addresses: list[tuple[str, int]] = []
        pipes = []
        for first in range(0, count, PER_PROCESS):
            ours, theirs = context.Pipe()
            words = (first, min(PER_PROCESS, count - first), 200 + os.getpid() % 20, theirs)
            process = context.Process(target=stand_in, args=words, daemon=True)
            process.start()
            theirs.close()
            stack.callback(process.join, 5)
            stack.callback(ours.close)
            pipes.append(ours)
        for pipe in pipes:
            if not pipe.poll(START_S):
                raise RuntimeError("the stand-in servers did not come up")
            addresses += pipe.recv()
        yield addresses


class Client(asyncio.Protocol):
    """A client that asks again as soon as it has its answer."""

    def __init__(self, number: int, counts: dict[str, int]) -> None:
        self.number, self.asked, self.counts = number, 0, counts
        self.open, self.rest = True, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport = cast(asyncio.Transport, transport)
        self.ask()

    def ask(self) -> None:
        """One request, as a client of a node sends it."""
        self.asked += 1
        self.transport.write(
            b"GET /lookup/x?obj=%x HTTP/1.1\r\nHost: x\r\nRequest-Id: %08x%08x\r\nTenant: north\r\n"
            b"Request-Timeout: 400m\r\n\r\n" % (self.asked, self.number, self.asked)
        )

    def data_received(self, data: bytes) -> None:
        """Part of an answer."""
        data = self.rest + data if self.rest else data
        end = data.find(b"\r\n\r\n")
        length = LENGTH.search(data, 0, end + 2) if end >= 0 else None
        if length is None or len(data) < end + 4 + int(length[1]):
            self.rest = data
            return
        self.rest = b""
        self.counts["served" if data.startswith(b"HTTP/1.1 200 ") else "refused"] += 1
        if self.open:
            self.ask()

    def connection_lost(self, exc: Exception | None) -> None:
        """Guards against figures of clients that are no longer there."""
        if self.open:
            self.counts["lost"] += 1


@dataclass
class Figure:
    """What one run of one proxy came to."""

    cpu_us: float  # of the proxy, for each answer
    kernel: float  # the part of that in the kernel
    a_second: float
    busy: float  # part of the time that the proxy's core was busy with it
    refused: int


@dataclass
class Line:
    """One line of the table: a proxy at one size."""

    name: str
    size: int
    figures: list[Figure] = field(default_factory=list)


def system_part(pid: int) -> tuple[float, float]:
    """Time in user mode and in the kernel, in ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return float(fields[11]), float(fields[12])


async def ask(port: int, pid: int, seconds: float) -> Figure:
    """Load a proxy for so long; it is warm before its time is taken."""
    loop = asyncio.get_running_loop()
    counts = {"served": 0, "refused": 0, "lost": 0}
    clients = []
    for number in range(CLIENTS):
        _, client = await loop.create_connection(lambda n=number: Client(n, counts), "127.0.0.1", port)  # type: ignore[misc]
        clients.append(client)
    await asyncio.sleep(WARM_S)
    before, cpu, ticks, began = dict(counts), cpu_ms(pid), system_part(pid), time.perf_counter()
    await asyncio.sleep(seconds)
    took, cpu_after, ticks_after = time.perf_counter() - began, cpu_ms(pid), system_part(pid)
    served, refused = (counts[name] - before[name] for name in ("served", "refused"))
    for client in clients:
        client.open = False
        client.transport.close()
    if counts["lost"] or not served:
        raise RuntimeError(f"clients came to grief: {counts}")
    user, kernel = (after - was for after, was in zip(ticks_after, ticks, strict=True))
    spent = cpu_after - cpu
    return Figure(
        spent * 1000 / (served + refused),
        kernel / max(1.0, user + kernel),
        served / took,
        spent / 1000 / took,
        refused,
    )


def free_port() -> int:
    """A port that nobody listens on at the moment."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return cast(int, one.getsockname()[1])


async def until_open(port: int) -> None:
    """Wait for a listener."""
    async with asyncio.timeout(START_S):
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            await asyncio.sleep(0.05)


class Relay:
    """The bare relay."""

    def __init__(self, where: set[int]) -> None:
        self.where = where

    @contextlib.asynccontextmanager
    async def run(self, addresses: list[tuple[str, int]]) -> AsyncIterator[tuple[int, int]]:
        """Its port and its process's id."""
        port = free_port()
        words = [
            sys.executable,
            "-m",
            "benchmarks.relay_cost",
            str(port),
            *(f"{h}:{p}" for h, p in addresses),
        ]
        with on(self.where):
            process = subprocess.Popen(words)
        try:
            await until_open(port)
            yield port, process.pid
        finally:
            process.terminate()
            process.wait(10)


class Node:
    """A node of ours, which shares the fleet with so many, itself counted in."""

    def __init__(self, group: int, where: set[int]) -> None:
        self.group, self.where = group, where

    @contextlib.asynccontextmanager
    async def run(self, addresses: list[tuple[str, int]]) -> AsyncIterator[tuple[int, int]]:
        """Its port and its process's id."""
        entries: list[dict[str, Any]] = [
            {
                "id": f"s-{n:08x}",
                "host_port": f"{host}:{port}",
                "locality": SITE.zones[n % 2],
                "flavor": "m",
                "cell": n // 16,
                "phase": "in_service",
                "size": 2.0,
                "up_since_ms": 0,
            }
            for n, (host, port) in enumerate(addresses)
        ]
        async with (
            sources(entries, KNOWN, self.group, SOCKETS) as told,
            Measured(["balancer"], told.env, self.where) as node,
        ):
            yield node.port, node.pid


class Proxies:
    """What is measured, and what it came to."""

    def __init__(self, where: set[int]) -> None:
        self.all: dict[str, Node | Relay] = {FLOOR: Relay(where)}
        self.all |= {f"this node, `group_size` {group}": Node(group, where) for group in GROUPS}

    async def play(self, sizes: list[int], runs: int, seconds: float) -> list[Line]:
        """Each in turn, at each size."""
        lines = []
        for size in sizes:
            # A node with less than a server of its own would refuse most: that is no cost of a request.
            fitting = [name for name, one in self.all.items() if isinstance(one, Relay) or one.group < size]
            some = [Line(name, size) for name in fitting]
            with servers(size) as addresses:
                for _ in range(runs):
                    for line in some:
                        async with self.all[line.name].run(addresses) as (port, pid):
                            line.figures.append(await ask(port, pid, seconds))
            lines += some
        return lines


def table(lines: list[Line]) -> list[str]:
    """What was measured, in Markdown."""
    out = [
        "| servers | proxy | CPU us a request | to the relay | in the kernel | requests a second | core busy "
        "| refused |",
        "| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    floors = {line.size: median(f.cpu_us for f in line.figures) for line in lines if line.name == FLOOR}
    for line in lines:
        cpu = [f.cpu_us for f in line.figures]
        spread = f" ({min(cpu):.1f} to {max(cpu):.1f})" if len(cpu) > 1 else ""
        kernel, busy = (median(getattr(f, name) for f in line.figures) for name in ("kernel", "busy"))
        a_second, refused = median(f.a_second for f in line.figures), sum(f.refused for f in line.figures)
        ratio = f"{median(cpu) / floors[line.size]:.2f}" if line.size in floors else "-"
        out.append(
            f"| {line.size:,} | {line.name} | {median(cpu):.1f}{spread} | {ratio} | {kernel:.0%} "
            f"| {a_second:,.0f} | {busy:.0%} | {refused} |"
        )
    return [*out, ""]


def main(argv: Sequence[str] | None = None) -> int:
    """The command; its exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.proxies", description=__doc__.partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="shorter and once: to see that it runs")
    parser.add_argument("--servers", type=int, action="append", metavar="N", help="only at this size")
    text = "cores such as 1-3,5 for the proxy that is measured (as the system likes)"
    parser.add_argument("--node-cores", type=cores, default=set(), metavar="CORES", help=text)
    text = "cores for all else: clients and servers"
    parser.add_argument("--lab-cores", type=cores, default=set(), metavar="CORES", help=text)
    args = parser.parse_args(argv)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 20_000)), hard))
    proxies = Proxies(args.node_cores)
    print(f"Python {platform.python_version()}, {os.cpu_count()} cores; {CLIENTS} clients")
    print()
    with on(args.lab_cores):
        lines = uvloop.run(
            proxies.play(args.servers or list(SIZES), 1 if args.quick else 3, 1.0 if args.quick else ASK_S)
        )
    print("\n".join(table(lines)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
