"""A node in a process of its own, with small fake backends, discovery and clients on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import re
import resource
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
WAIT = 20.0  # s until a test that waits for something that does not come fails
HOUR = 3_600_000  # ms: no time-out or idle limit comes to the help of a test that does not set its own
DOCUMENTED_BODY_BYTES = 64 * 1024  # the longest body of the protocol's page; longer ones occur
IDS = itertools.count(1)
CLASSES: list[dict[str, Any]] = [
    {"name": "read", "effect": "retryable", "give-up": 4000, "objective": 3000},
    {
        "name": "pay",
        "effect": "dedup",
        "group": "zone",
        "memory-span": 3000,
        "give-up": 4000,
        "objective": 3000,
    },
    {"name": "once", "effect": "fragile", "give-up": 4000, "objective": 3000},
]
PATIENT = {"request-classes": [c | {"give-up": HOUR, "objective": HOUR} for c in CLASSES]}
LIMITS: dict[str, Any] = {
    "cancel": True,
    "conn-idle": HOUR,
    "connect-timeout": 1000,
    "most-tries": 4,
    "streams-per-conn": 1,
}


@dataclass
class Message:
    """A request or an answer as it came over a socket."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def code(self) -> int:
        """An answer's status."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """One HTTP message with a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", 0))))


def answer(body: bytes, status: str = "200 OK", *headers: str) -> bytes:
    """An HTTP answer."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Respond = Callable[["Backend", Message, asyncio.StreamWriter], Awaitable[None]]


async def echo(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Serve with a body that names backend and request."""
    writer.write(answer(f"{backend.name} {message.headers['request-id']}".encode()))


@dataclass
class Backend:
    """A fake backend; `respond` answers each request, `got` holds the requests in order."""

    name: str
    respond: Respond = echo
    got: asyncio.Queue[Message] = field(default_factory=asyncio.Queue)
    lost: asyncio.Queue[int] = field(default_factory=asyncio.Queue)
    connections: int = 0
    port: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Listen no more and break all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        try:
            while True:
                message = await read_message(reader)
                self.got.put_nowait(message)
                await self.respond(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        self.lost.put_nowait(number)

    def member(self, **over: Any) -> dict[str, Any]:
        """Its entry in the list."""
        table = {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "m",
            "cell": 0,
            "phase": "in_service",
            "size": 1.0,
            "up_since_ms": 0,
        }
        return table | over


@dataclass
class FakeDiscovery:
    """Answers each call with the chunks it is told to send; `asked` holds their targets."""

    asked: asyncio.Queue[str] = field(default_factory=asyncio.Queue)
    writer: asyncio.StreamWriter | None = None
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            message = await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.writer = writer
            self.asked.put_nowait(message.start.split(" ")[1])
            await reader.read()

    def send(self, text: bytes) -> None:
        """One chunk of the watch."""
        assert self.writer is not None
        self.writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    def news(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        """One line of the watch."""
        line = {"revision": revision, "complete": complete, "members": members}
        self.send(json.dumps(line).encode() + b"\n")

    def whole(self, revision: int, *members: dict[str, Any]) -> None:
        """The whole list, as the one answer of a call."""
        self.news(revision, *members, complete=True)
        self.send(b"")


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, target: str, *headers: str, method: str = "GET", body: bytes = b"") -> str:
        """Write a request; returns its id."""
        name = f"{next(IDS):016x}"
        lines = [f"{method} {target} HTTP/1.1", "Host: api.internal", f"Request-Id: {name}", *headers]
        if method == "POST":
            lines += [f"Content-Length: {len(body)}"]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return name

    async def answer(self) -> Message:
        """The next answer."""
        async with asyncio.timeout(WAIT):  # wait_for of Python 3.11 may swallow the end of a task
            return await read_message(self.reader)

    async def ask(self, target: str, *headers: str, method: str = "GET", body: bytes = b"") -> Message:
        """Send a request and wait for its answer."""
        self.send(target, *headers, method=method, body=body)
        return await self.answer()

    async def pay(self) -> Message:
        """A keyed request."""
        return await self.ask("/pay", "Idempotency-Key: k1", method="POST", body=b"{}")

    async def ended(self) -> bytes:
        """Whatever else comes until the node closes."""
        async with asyncio.timeout(WAIT):
            return await self.reader.read()


@dataclass
class Rig:
    """A running node and what stands round it."""

    process: asyncio.subprocess.Process
    port: int
    discovery: FakeDiscovery
    log: list[str]
    clients: list[Client] = field(default_factory=list)
    path: Path = Path()

    async def client(self) -> Client:
        """A new connection to the node."""
        out = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(out)
        return out

    async def logged(self, text: str) -> None:
        """Wait for a log line."""
        async with asyncio.timeout(WAIT):
            while not any(text in line for line in self.log):
                line = await self._line()
                assert line, f"no {text!r} in {self.log}"

    async def _line(self) -> str:
        assert self.process.stderr is not None
        line = (await self.process.stderr.readline()).decode()
        if line:
            self.log.append(line)
        return line

    def terminate(self) -> None:
        """SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def reload(self, text: str) -> None:
        """Another configuration file and SIGHUP."""
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    async def end(self) -> int:
        """Wait for the node's end; its exit code."""
        async with asyncio.timeout(WAIT):
            while await self._line():
                pass
            return await self.process.wait()


def configuration(members: list[dict[str, Any]], discovery: int, **over: Any) -> dict[str, Any]:
    """A node's configuration; `limits` and others replace the settings of that name."""
    settings = {
        "request-classes": CLASSES,
        "limits": LIMITS | over.pop("limits", {}),
        "zone": "a",
        "load-info": {"how": "inline", "names": ["waiting", "active"]},
        "discovery": "automatic",
        "rules": {"drain-grace": 2000, "answer-slack": 20},
    }
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": over.pop("sockets", 1024)},
        "known": {"revision": 41, "complete": True, "members": members},
        "settings": settings | over,
    }


async def spawn(
    path: Path, descriptors: tuple[int, int] | None = None, **told: str
) -> asyncio.subprocess.Process:
    """Start the program on a configuration file; `told` are further `PROXY_` variables.

    `descriptors` are the soft and the hard limit on the process's descriptors.
    """
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    env |= {f"PROXY_{k.upper()}": v for k, v in told.items()}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "balancer",
        cwd=ROOT,
        env=env | {"PROXY_CONFIG": str(path)},
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=descriptors and (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, descriptors)),
    )


@contextlib.asynccontextmanager
async def running(tmp: Path, *backends: Backend, **over: Any) -> AsyncIterator[Rig]:
    """A node that knows these backends and has its watch."""
    discovery = FakeDiscovery()
    await discovery.start()
    for backend in backends:
        await backend.start()
    path = tmp / "config.json"
    known = over.pop("known", None) or [b.member() for b in backends]
    descriptors = over.pop("descriptors", None)
    path.write_text(json.dumps(configuration(known, discovery.port, **over)))
    process = await spawn(path, descriptors, discovery=f"127.0.0.1:{discovery.port}")
    rig = Rig(process, 0, discovery, [], path=path)
    try:
        await rig.logged("serves on")
        found = re.search(r"serves on \S+:(\d+)", rig.log[-1])
        assert found
        rig.port = int(found[1])
        yield rig
        assert not any("Traceback" in line for line in rig.log)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        for client in rig.clients:
            client.writer.transport.abort()
        assert discovery.server is not None
        discovery.server.close()
        for backend in backends:
            backend.stop()
