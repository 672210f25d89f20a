"""A node under stuck clients and usual ones, with the peak of its resident memory.

    result = await measure(NodeLimits(memory_mb=64), ClientMix({Behavior.SMALL_BODY: 600}), directory)

By hand: `python -m benchmarks.memory_mixes --help`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from balancer.testbed.memory_load.clients import Behavior, ClientPlan
from balancer.testbed.memory_load.slow_backends import BackendPlan

PROGRAM = Path(__file__).parents[3]
BYTES_PER_MB = 1_000_000
READY_TIMEOUT_S = 20.0
USUAL_RATE_PER_S = 60.0
USUAL_TIMEOUT_MS = 4_000.0
USUAL_CONNECTIONS = 8
LATE_RESPONSE_S = 0.5  # after its deadline, from when on a request counts as lost
SETTLE_S = 0.5
CLASSES: list[dict[str, Any]] = [
    {"name": "search", "effect": "retryable", "give-up": 4000, "objective": 1500},
    {
        "name": "booking",
        "effect": "dedup",
        "group": "zone",
        "memory-span": 2500,
        "give-up": 4000,
        "objective": 3000,
    },
]


@dataclass(frozen=True)
class NodeLimits:
    """The limits of the measured node."""

    memory_mb: float = 64
    sockets: int = 1024


@dataclass
class Measurement:
    """What was seen of a node. Memory is in MB of 10^6 bytes."""

    idle_mb: float = 0.0
    peak_mb: float = 0.0
    final_mb: float = 0.0
    cpu_s: float = 0.0  # processor time of the node under load
    exit_code: int | None = None  # of a node that ended by itself
    usual: Counter[str] = field(default_factory=Counter)  # usual requests by status
    latencies_ms: list[float] = field(default_factory=list)  # of those that were served
    stuck: dict[str, int] = field(default_factory=dict)  # responses to the other clients
    log: list[str] = field(default_factory=list)

    @property
    def lost_count(self) -> int:
        """The number of usual requests without a response in time."""
        return sum(count for status, count in self.usual.items() if status.startswith("lost"))

    @property
    def served_ratio(self) -> float:
        """The share of usual requests that were served."""
        return self.usual["200"] / max(1, self.usual.total())

    def __str__(self) -> str:
        latencies = sorted(self.latencies_ms) or [0.0]
        return (
            f"idle {self.idle_mb:.1f} peak {self.peak_mb:.1f} final {self.final_mb:.1f} MB, "
            f"{self.cpu_s:.2f} s of processor time, "
            f"usual served {self.served_ratio:.3f} of {self.usual.total()} {dict(self.usual)}, "
            f"p99 {latencies[int(0.99 * (len(latencies) - 1))]:.0f} ms, exit {self.exit_code}, {self.stuck}"
        )


def memory_mb(pid: int, key: str) -> float:
    """Return `VmRSS` or `VmHWM` of a process, in MB of 10^6 bytes; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    lines = [line for line in status.splitlines() if line.startswith(key)]
    return int(lines[0].split()[1]) * 1024 / BYTES_PER_MB if lines else 0.0


def cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextlib.asynccontextmanager
async def program(*arguments: str, **options: Any) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a program of this repository; it is killed at the end."""
    env = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        *arguments,
        cwd=options.pop("cwd", PROGRAM),
        env=env | options.pop("env", {}),
        limit=1 << 24,
        **options,
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


class UsualClients:
    """Clients with small requests on kept connections."""

    def __init__(self, port: int, result: Measurement) -> None:
        self.port, self.result = port, result
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.count = 0

    async def run(self, seconds: float) -> None:
        """Send requests at a steady rate; returns once each has ended."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(int(seconds * USUAL_RATE_PER_S)):
                tasks.create_task(self._request())
                await asyncio.sleep(1 / USUAL_RATE_PER_S)
        for _, writer in self.idle:
            writer.transport.abort()

    async def _request(self) -> None:
        self.count += 1
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(USUAL_TIMEOUT_MS / 1000 + LATE_RESPONSE_S):
                status = await self._attempt(f"usual{self.count:011x}")
        except (OSError, asyncio.IncompleteReadError) as err:  # TimeoutError is an OSError
            status = f"lost: {type(err).__name__}"
        self.result.usual[status] += 1
        if status == "200":
            self.result.latencies_ms.append((time.monotonic() - started_s) * 1000)

    async def _attempt(self, request_id: str) -> str:
        if self.idle:
            # The node may close a kept connection; a request that crosses the close is sent once more.
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                return await self._send(*self.idle.pop(), request_id)
        return await self._send(*await asyncio.open_connection("127.0.0.1", self.port), request_id)

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_id: str) -> str:
        writer.write(
            f"GET /search HTTP/1.1\r\nHost: a\r\nRequest-Id: {request_id}\r\n"
            f"Request-Timeout: {USUAL_TIMEOUT_MS:.0f}m\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        lengths = [
            int(line[15:]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
        ]
        await reader.readexactly(lengths[0])
        if b"connection: close" in head.lower() or len(self.idle) >= USUAL_CONNECTIONS:
            writer.close()
        else:
            self.idle.append((reader, writer))
        return head[9:12].decode("latin-1")


async def _log_until_ready(process: asyncio.subprocess.Process, log: list[str]) -> int:
    assert process.stderr is not None
    async with asyncio.timeout(READY_TIMEOUT_S):
        while line := (await process.stderr.readline()).decode():
            log.append(line.rstrip())
            if "serves on" in line:
                return int(line.rpartition(":")[2])
    raise RuntimeError(f"the node has ended at its start: {log}")


async def _read_log(process: asyncio.subprocess.Process, log: list[str]) -> None:
    assert process.stderr is not None
    while line := (await process.stderr.readline()).decode():
        log.append(line.rstrip())


async def measure(
    limits: NodeLimits,
    counts: Mapping[Behavior, int],
    directory: Path,
    *,
    backend_plan: BackendPlan | None = None,
    seconds: float = 8.0,
    seed: int = 1,
    checkout: Path = PROGRAM,
) -> Measurement:
    """Run a node with its limits under stuck clients and usual ones for some seconds."""
    result = Measurement()
    pipe = asyncio.subprocess.PIPE
    backend_plan = backend_plan or BackendPlan()
    name = "balancer.testbed.memory_load"
    async with program(f"{name}.slow_backends", backend_plan.to_json(), stdin=pipe, stdout=pipe) as backends:
        assert backends.stdout is not None
        addresses = json.loads(await backends.stdout.readline())
        path = directory / "config.json"
        path.write_text(json.dumps(_configuration(limits, addresses)))
        config = {"PROXY_CONFIG": str(path)}
        async with program("balancer", env=config, stderr=pipe, cwd=checkout) as node:
            port = await _log_until_ready(node, result.log)
            reading = asyncio.create_task(_read_log(node, result.log))
            await asyncio.sleep(SETTLE_S)
            result.idle_mb, started_cpu_s = memory_mb(node.pid, "VmRSS"), cpu_s(node.pid)
            plan = ClientPlan("127.0.0.1", port, "/booking", "/search", seconds, seed, counts)
            async with program(f"{name}.clients", plan.to_json(), stdout=pipe) as clients:
                assert clients.stdout is not None
                await UsualClients(port, result).run(seconds)
                result.stuck = json.loads(await clients.stdout.readline() or "{}")
            result.peak_mb, result.final_mb = memory_mb(node.pid, "VmHWM"), memory_mb(node.pid, "VmRSS")
            result.cpu_s = cpu_s(node.pid) - started_cpu_s
            result.exit_code = node.returncode
        await reading
    return result


def _configuration(limits: NodeLimits, addresses: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        **addresses,
        "settings": {
            "request-classes": CLASSES,
            "limits": {
                "cancel": True,
                "conn-idle": 10_000,
                "connect-timeout": 250,
                "most-tries": 4,
                "streams-per-conn": 1,
            },
            "zone": "a",
            "load-info": {"how": "inline", "names": ["waiting", "active"]},
            "discovery": "automatic",
            "rules": {"drain-grace": 2000, "answer-slack": 50},
        },
    }
