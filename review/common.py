"""Stand-ins, process control and the record that the cases of this review share.

Only the standard library is used. Every address is a loopback address. The stand-ins follow the protocol
page: HTTP/1.1, one request at a time on a connection, connections kept alive.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
HELD, NOT_RUN, BROKEN = (
    0,
    2,
    3,
)  # exit codes of `case.py`; `run.sh` makes 1 of 3, as Python itself ends with 1
HEARTBEAT_S = 2.0  # between two empty lines of a watch
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HOST = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"  # the first octets of all addresses

Entry = dict[str, Any]


class CaseError(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """The record of a run: one line for each thing that was sent, answered or run, with its time in ms."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now_ms(self) -> float:
        """Return the time since the start of the case."""
        return (time.monotonic() - self.start_s) * 1000

    def add(self, text: str) -> float:
        """Write a line; return its time."""
        now_ms = self.now_ms()
        self.file.write(f"{now_ms:10.1f} {text}\n")
        return now_ms

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def free_port(host: str) -> int:
    """Return a port that nobody listens on at this address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


# --- HTTP messages


@dataclass(slots=True)
class Message:
    """A request or a response: its first line, its headers by lower-case name, its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split()[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a Content-Length or without a body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(first_line, headers, body)


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Build a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


# --- backends


@dataclass(slots=True)
class Call:
    """A request that has arrived at a backend, and the connection that it came on."""

    message: Message
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    at_ms: float
    connection: int

    @property
    def id(self) -> str:
        """Return its Request-Id."""
        return self.message.headers.get("request-id", "")


class Backend:
    """A backend: `handle` answers each call on its connection; a call counts from its last byte."""

    def __init__(
        self,
        record: Record,
        name: str,
        zone: str,
        number: int,
        handle: Callable[[Backend, Call], Awaitable[None]],
    ) -> None:
        self.record, self.name, self.zone, self.handle = record, name, zone, handle
        self.host, self.port = f"{HOST}.{100 + number}", 0
        self.calls: list[Call] = []
        self.connection_count = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, phase: str = "in_service", **fields: Any) -> Entry:
        """Return its entry of a list."""
        return {
            "id": self.name,
            "host_port": f"{self.host}:{self.port}",
            "locality": self.zone,
            "flavor": "std",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
            **fields,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        connection = self.connection_count
        while (message := await read_message(reader)) is not None:
            call = Call(message, reader, writer, self.record.now_ms(), connection)
            self.calls.append(call)
            self.record.add(f"{self.name} got {call.id} {message.first_line} on connection {connection}")
            try:
                await self.handle(self, call)
            except OSError:
                break
            if writer.is_closing():
                break
        writer.close()


# --- discovery


class Discovery:
    """Discovery: the whole list, and watches of its changes. While it is down it refuses connections.

    It is one service. It listens on a port of its own for each node, which tells the nodes apart.
    """

    def __init__(self, record: Record, members: list[Entry], nodes: list[Node], revision: int = 41) -> None:
        self.record, self.revision = record, revision
        self.members = {str(entry["id"]): entry for entry in members}
        self.changes: list[tuple[int, list[Entry]]] = []
        self.host = f"{HOST}.2"
        self.ports = {node.name: free_port(self.host) for node in nodes}
        self.servers: list[asyncio.Server] = []
        self.watches: dict[asyncio.StreamWriter, str] = {}  # with the name of the node
        self.writers: set[asyncio.StreamWriter] = set()
        self.told_ms: dict[tuple[str, int], float] = {}  # when a revision was first written to a node

    async def start(self) -> None:
        """Listen, on the same ports as before."""
        for node, port in self.ports.items():
            serve = partial(self._serve, node)
            self.servers.append(await asyncio.start_server(serve, self.host, port, reuse_address=True))

    def stop(self) -> None:
        """Go down: watches end, and new connections are refused."""
        while self.servers:
            self.servers.pop().close()
        self.watches.clear()
        for writer in list(self.writers):
            reset(writer)

    def address(self, node: Node) -> str:
        """Return where a node finds it."""
        return f"{self.host}:{self.ports[node.name]}"

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in the protocol's form."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def publish(self, *entries: Entry) -> int:
        """Change the list, and tell all watches; return the revision."""
        self.revision += 1
        self.changes.append((self.revision, list(entries)))
        for entry in entries:
            self.members[entry["id"]] = entry
        for writer in list(self.watches):
            self._write_change(writer, list(entries))
        return self.revision

    def _write_change(self, writer: asyncio.StreamWriter, entries: list[Entry]) -> None:
        line = json.dumps({"revision": self.revision, "complete": False, "members": entries}).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        self._note_told(self.watches[writer])

    def _note_told(self, node: str) -> None:
        for revision, _ in self.changes:
            if (node, revision) not in self.told_ms:
                at_ms = self.record.add(f"discovery writes revision {revision} to {node}")
                self.told_ms[node, revision] = at_ms

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                self.record.add(f"discovery: {node} asks {message.target}")
                _, _, query = message.target.partition("?")
                if "watch=1" in query:
                    await self._watch(writer, node, int(query.rpartition("=")[2]))
                    return
                writer.write(response(200, json.dumps(self.whole_list()).encode() + b"\n"))
                self._note_told(node)
        finally:
            self.writers.discard(writer)
            self.watches.pop(writer, None)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, node: str, after: int) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head)
        self.watches[writer] = node
        missed = {entry["id"]: entry for number, rows in self.changes if number > after for entry in rows}
        if missed:
            self._write_change(writer, list(missed.values()))
        while not writer.is_closing():
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(b"1\r\n\n\r\n")


# --- nodes


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[name])


class Node:
    """One real node: a process started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, number: int) -> None:
        self.record, self.folder, self.name = record, folder, name
        self.host = f"{HOST}.{10 + number}"
        self.port = free_port(self.host)
        self.process: asyncio.subprocess.Process | None = None
        self.log = (folder / f"{name}.log").open("w", encoding="utf-8")

    @property
    def address(self) -> str:
        """Return where clients connect."""
        return f"{self.host}:{self.port}"

    async def start(self, discovery: str, known: dict[str, Any], settings: dict[str, Any]) -> None:
        """Write its configuration and start it; waits until `GET /up` answers 200."""
        config = {
            "name": self.name,
            "listen": self.address,
            "discovery": discovery,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        env = {
            name: value for name, value in os.environ.items() if not name.startswith(("PROXY_", "BALANCER_"))
        }
        env |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.address,
            "PROXY_DISCOVERY": discovery,
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy_command("run"),
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.record.add(f"{self.name} started at {self.address}")
        await self._wait_until_up()

    async def _wait_until_up(self) -> None:
        end_s = time.monotonic() + 30
        while time.monotonic() < end_s:
            if self.process is None or self.process.returncode is not None:
                raise CaseError(f"{self.name} ended at its start")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and message.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} was not ready within 30 s")

    def kill(self) -> None:
        """Kill it."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Kill it and wait for its end."""
        self.kill()
        if self.process is not None:
            await self.process.wait()
        self.log.close()


# --- clients


@dataclass(slots=True)
class Answer:
    """What a client got for a request: its status (0: none) and body, and when."""

    request: str
    sent_ms: float
    written_ms: float = 0.0  # when its last byte was written
    sends: int = 0  # how often it was written: again if a resting connection closed under it
    timed_out: bool = False  # the connection stayed open without an answer
    status: int = 0
    body: bytes = b""
    ended_ms: float = 0.0


@dataclass(slots=True)
class Client:
    """Clients of one node: one request at a time on a connection, connections kept and reused."""

    record: Record
    node: Node
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)

    async def ask(self, request_id: str, head: str, body: bytes = b"", wait_s: float = 5.0) -> Answer:
        """Send a request; `head` is its first line and headers but for id and length."""
        answer = Answer(request_id, self.record.add(f"client asks {self.node.name} {request_id}"))
        self.answers.append(answer)
        lines = head + f"\r\nRequest-Id: {request_id}\r\n"
        lines += f"Content-Length: {len(body)}\r\n" if body else ""
        message = None
        for _ in range(2):  # once more on a new connection if the node closed a resting one
            is_new = not self.idle
            try:
                if self.idle:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(self.node.host, self.node.port)
                writer.write(lines.encode() + b"\r\n" + body)
                answer.written_ms, answer.sends = self.record.now_ms(), answer.sends + 1
                message = await asyncio.wait_for(read_message(reader), wait_s)
            except TimeoutError:
                answer.timed_out = bool(answer.written_ms)
                writer.close()
                break
            except OSError:
                message = None
            if message is not None or is_new:
                break
        answer.ended_ms = self.record.now_ms()
        if message is not None:
            answer.status, answer.body = message.status, message.body
            if message.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
        self.record.add(f"client got {answer.status or 'nothing'} for {request_id}: {answer.body[:80]!r}")
        return answer

    def close(self) -> None:
        """Close all resting connections."""
        for _, writer in self.idle:
            writer.close()


# --- settings and the run of a case


def settings(
    classes: list[dict[str, Any]], node_index: int, node_count: int, **changes: Any
) -> dict[str, Any]:
    """Return the settings of a small deployment, as on the wire page; `changes` replace top-level keys."""
    base: dict[str, Any] = {
        "blend": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
        "charges": {
            "connection": 0.08,
            "cross-zone": 0.01,
            "handshake": 0.08,
            "late-fail": 0.05,
            "waste": 0.05,
        },
        "client-habits": {"marks-retry": True},
        "discovery": "automatic",
        "failure-domains": ["zrh"],
        "family": "proxy",
        "family-info": {"warm-keys": False},
        "granularity": 5.0,
        "group-size": node_count,
        "kinds": ["std"],
        "limits": {
            "cancel": True,
            "conn-idle": 10000.0,
            "connect-timeout": 120.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400000,
            "max-open": 20000,
            "max-retry-after": 2000.0,
            "most-tries": 4,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": False,
            "streams-per-conn": 1,
        },
        "load-info": {"how": "off", "names": []},
        "me": node_index,
        "over-share-worth": 0.1,
        "projects": [],
        "request-classes": classes,
        "rules": {
            "answer-slack": 20.0,
            "ask-within": 10000.0,
            "cold-share": 0.3,
            "drain-grace": 2000.0,
            "fall": 1000.0,
            "fall-multiple": 3.0,
            "ramp-time": 8800.0,
        },
        "stages": ["app"],
        "tier": 0,
        "weight-source": "off",
        "worth-by": "request",
        "zone": "zrh",
    }
    return base | changes


def request_class(
    name: str, effect: str, objective_ms: float, give_up_ms: float, **fields: Any
) -> dict[str, Any]:
    """Return a class of requests in the settings."""
    base = {"group": "all", "late-worth": 0.0, "memory-span": 5000.0, "streamed": False, "value": 1.0}
    return base | {"name": name, "effect": effect, "objective": objective_ms, "give-up": give_up_ms} | fields


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, play: Callable[[Record, Path, list[Node]], Awaitable[int]], limit_s: float = 110.0
) -> int:
    """Run a case and return its exit code; ends all nodes that it started."""

    async def run() -> int:
        record, nodes, code = Record(folder / "record.txt"), list[Node](), NOT_RUN
        record.add(f"trouble: {'yes' if has_trouble() else 'no'}")
        playing = asyncio.current_task()
        assert playing is not None
        signals = list[int]()

        def on_signal(number: int) -> None:
            signals.append(number)
            if len(signals) == 1:  # a further one must not cut the end short
                playing.cancel()

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, on_signal, number)
        with tempfile.TemporaryDirectory(prefix="case-") as temporary:
            try:
                code = await asyncio.wait_for(play(record, Path(temporary), nodes), limit_s)
            except (Exception, asyncio.CancelledError) as err:
                record.add(f"the case could not run: {err!r}")
            finally:
                for node in nodes:
                    node.kill()
                for node in nodes:
                    await node.stop()
                    log = (Path(temporary) / f"{node.name}.log").read_text(encoding="utf-8", errors="replace")
                    for line in log.splitlines()[:40]:
                        record.add(f"log of {node.name}: {line}")
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code]
        record.add(verdict)
        record.close()
        print(verdict)
        return code

    loop = asyncio.new_event_loop()
    # Connections that the end of the case cuts are no news.
    loop.set_exception_handler(lambda _, context: None)
    try:
        return loop.run_until_complete(run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.05))
        loop.close()
