"""Backends that answer each request after a delay, with a body of a given length, and discovery.

A program: `python -m balancer.testbed.memory_load.slow_backends PLAN`, with a `BackendPlan` as JSON. It
prints one line of JSON with its addresses once it listens, and ends with its standard input.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import resource
import sys
from dataclasses import asdict, dataclass
from functools import partial
from typing import Any

import uvloop

HEARTBEAT_S = 2.0  # between two empty lines of a watch
FAST_DELAY_S = 0.02  # of requests without a body


@dataclass(frozen=True)
class BackendPlan:
    """How many backends there are, and how they answer."""

    backends: int = 24
    delay_s: float = 2.5  # of requests with a body
    response_bytes: int = 200  # to requests without a body
    list_interval_s: float = 0.0  # between two snapshots of the list on a watch; 0: none
    seed: int = 1

    def to_json(self) -> str:
        """Return the form that the program takes as its argument."""
        return json.dumps(asdict(self))


class SlowBackends:
    """The backends and discovery of one node."""

    def __init__(self, plan: BackendPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.ports: list[int] = []
        self.revision = 41
        self.servers: list[asyncio.Server] = []

    async def start(self) -> dict[str, Any]:
        """Listen; returns the addresses and the list."""
        for _ in range(self.plan.backends):
            server = await asyncio.start_server(self._serve_backend, "127.0.0.1", 0, limit=1 << 16)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])
        discovery = await asyncio.start_server(self._serve_discovery, "127.0.0.1", 0)
        self.servers.append(discovery)
        port = discovery.sockets[0].getsockname()[1]
        return {"discovery": f"127.0.0.1:{port}", "known": self._list()}

    def _list(self) -> dict[str, Any]:
        members = [
            {
                "id": f"s-{number:08x}",
                "host_port": f"127.0.0.1:{port}",
                "locality": "abc"[number % 3],
                "flavor": "m2",
                "cell": 0,
                "phase": "in_service",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for number, port in enumerate(self.ports)
        ]
        return {"revision": self.revision, "complete": True, "members": members}

    async def _serve_backend(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line[15:])
                await reader.readexactly(length)
                await asyncio.sleep(self.plan.delay_s if length else FAST_DELAY_S * self.rng.uniform(1, 2))
                body = b"x" * (0 if length else self.plan.response_bytes) + head[-50:-4]
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()

    async def _serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            request = await reader.readuntil(b"\r\n\r\n")
            data = json.dumps(self._list()).encode() + b"\n"
            if b"watch=1" not in request.split(b"\r\n", 1)[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"1\r\n\n\r\n")
                await asyncio.sleep(self.plan.list_interval_s or HEARTBEAT_S)
                if self.plan.list_interval_s:
                    self.revision += 1
                    data = json.dumps(self._list()).encode() + b"\n"
                    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


async def run(plan: BackendPlan) -> None:
    """Serve until standard input ends."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    backends = SlowBackends(plan)
    print(json.dumps(await backends.start()), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, partial(sys.stdin.read))


def main() -> None:
    """Run the plan of the command line."""
    uvloop.run(run(BackendPlan(**json.loads(sys.argv[1]))))


if __name__ == "__main__":
    main()
