"""Stand-ins for the second review: backends, discovery, clients and the platform that starts nodes.

They follow the pages PROTOCOL, DEPLOY and WIRE of the users, use the standard library alone, and listen on
127.0.0.1 at ports that the system chooses. `run_case` runs one case, writes `record.txt` beside it, ends all
processes that it started and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case
could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_CASE_S = 110.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.start_s

    def add(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.add(text)
        print(text, flush=True)


# --- settings


def request_class(name: str, effect: str, **changes: Any) -> dict[str, Any]:
    """One class of requests in the settings."""
    return {
        "name": name,
        "effect": effect,
        "give-up": 4000.0,
        "objective": 1500.0,
        "value": 1.0,
        "late-worth": 0.0,
        "group": "all",
        "memory-span": 2500.0,
        "streamed": False,
    } | changes


def settings(classes: list[dict[str, Any]], node_count: int, **changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the names and figures of the users' pages."""
    return {
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
        "kinds": ["fast-2c"],
        "limits": {
            "cancel": True,
            "conn-idle": 10000.0,
            "connect-timeout": 120.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 70447,
            "max-open": 176117,
            "max-retry-after": 2000.0,
            "most-tries": 4,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": False,
            "streams-per-conn": 1,
        },
        "load-info": {"how": "inline", "names": ["waiting", "active"]},
        "me": 0,
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
        "stages": ["mitglied-app"],
        "tier": 0,
        "weight-source": "nominal",
        "worth-by": "request",
        "zone": "zrh",
    } | changes


# --- HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head; returns its first line and its headers, with names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length."""
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


# --- backends


class Arrival:
    """A request at a backend, complete to its last byte."""

    def __init__(
        self, backend: Backend, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.backend, self.method, self.target, self.headers, self.body = (
            backend,
            method,
            target,
            headers,
            body,
        )
        self.id = headers.get("request-id", "")
        self.key = headers.get("idempotency-key", "")
        self.at_s = backend.record.now()
        self.first_byte_s = self.at_s


class Reply:
    """What a backend sends back; `then` is called after it was written, with the writer."""

    def __init__(
        self,
        status: int,
        body: bytes,
        *headers: str,
        then: Callable[[asyncio.StreamWriter, bytes], Awaitable[None]] | None = None,
    ) -> None:
        self.status, self.body, self.headers, self.then = status, body, headers, then


PHRASES = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}
Handler = Callable[[Arrival], Awaitable["Reply | None"]]


class Backend:
    """A server: it reads one request at a time on a connection and answers as `handler` says."""

    def __init__(self, name: str, record: Record, handler: Handler, zone: str = "zrh", cell: int = 0) -> None:
        self.name, self.record, self.handler, self.zone, self.cell = name, record, handler, zone, cell
        self.port, self.held, self.arrivals = 0, 0, list[Arrival]()
        self.phase, self.up_since_ms = "in_service", 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.is_silent, self.fillers = False, list[socket.socket]()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def vanish(self) -> None:
        """Say nothing more: open connections stay open and silent, and new ones never come up."""
        assert self.server is not None
        self.record.add(f"{self.name} vanishes")
        self.is_silent = True
        self.server.close()
        full = socket.socket()  # its queue is full, and nobody accepts
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind((HOST, self.port))
        full.listen(0)
        self.fillers = [full]
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    def make_way(self) -> None:
        """Leave the address to another process: what is open is reset."""
        for filler in self.fillers:
            filler.close()
        for writer in set(self.writers):
            reset(writer)

    def entry(self) -> dict[str, Any]:
        """The backend's entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": "fast-2c",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            try:
                self.writers.add(writer)
                while True:
                    start = await reader.readexactly(1)
                    first_byte_s = self.record.now()
                    first, headers = await read_head(reader)
                    first = start.decode("latin-1") + first
                    body = await read_body(reader, headers)
                    method, target, _ = first.split(" ", 2)
                    arrival = Arrival(self, method, target, headers, body)
                    arrival.first_byte_s = first_byte_s
                    self.arrivals.append(arrival)
                    self.record.add(f"{self.name} got {method} {target} id={arrival.id} key={arrival.key}")
                    self.held += 1
                    try:
                        reply = await self.handler(arrival)
                    finally:
                        self.held -= 1
                    if self.is_silent:
                        await reader.read()
                        return
                    if reply is None:
                        reset(writer)
                        return
                    await self._reply(writer, arrival, reply)
            finally:
                self.writers.discard(writer)
                writer.close()

    async def _reply(self, writer: asyncio.StreamWriter, arrival: Arrival, reply: Reply) -> None:
        lines = [f"HTTP/1.1 {reply.status} {PHRASES[reply.status]}", f"Content-Length: {len(reply.body)}"]
        lines += [*reply.headers, f"Server-Load: TEXT inflight={self.held}, queue=0"]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + reply.body
        writer.write(data)
        self.record.add(f"{self.name} answered {reply.status} id={arrival.id}")
        await writer.drain()
        if reply.then is not None:
            await reply.then(writer, data)


# --- discovery


class Discovery:
    """Discovery: one service for all nodes. While `is_down`, watches have ended and calls end with 503."""

    def __init__(self, record: Record, backends: list[Backend]) -> None:
        self.record, self.backends = record, backends
        self.revision, self.changes = 41, list[tuple[int, dict[str, Any]]]()
        self.is_down, self.port = False, 0
        self.asked = 0  # calls so far
        self.held: dict[str, Any] | None = None  # the list as it was, while changes are still on their way
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.create_task(self._heartbeat())

    def whole_list(self) -> dict[str, Any]:
        """The whole list."""
        if self.held is not None:
            return self.held
        entries = [backend.entry() for backend in self.backends]
        return {"revision": self.revision, "complete": True, "members": entries}

    def hold(self) -> None:
        """Keep to the list as it is now until the next `change`."""
        self.held = self.whole_list()

    def change(self, *backends: Backend) -> None:
        """Tell that these backends changed."""
        self.held = None
        self.revision += 1
        for backend in backends:
            self.changes.append((self.revision, backend.entry()))
        entries = [backend.entry() for backend in backends]
        if not self.is_down:
            for writer in set(self.watches):
                self._write(writer, {"revision": self.revision, "complete": False, "members": entries})

    def set_down(self, is_down: bool) -> None:
        """Go down, so that watches end, or come back."""
        self.is_down = is_down
        if is_down:
            for writer in set(self.watches):
                reset(writer)
            self.watches.clear()

    async def close(self, after_s: float) -> None:
        """Take no new connection, and close the open ones after a while."""
        assert self.server is not None
        self.server.close()
        await asyncio.sleep(after_s)
        self.heartbeat.cancel()
        for writer in set(self.watches):
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, message: dict[str, Any] | None) -> None:
        line = b"\n" if message is None else json.dumps(message).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in set(self.watches):
                self._write(writer, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            try:
                while True:
                    first, _ = await read_head(reader)
                    target = first.split(" ")[1]
                    self.asked += 1
                    node = writer.get_extra_info("peername")[1]
                    self.record.add(
                        f"discovery {'down, ' if self.is_down else ''}asked {target} from port {node}"
                    )
                    if self.is_down:
                        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    elif "watch=1" in target:
                        await self._watch(reader, writer, int(target.rpartition("from=")[2]))
                        return
                    else:
                        body = json.dumps(self.whole_list()).encode()
                        head = (
                            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                        )
                        writer.write(head % len(body) + body)
            finally:
                self.watches.discard(writer)
                writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        latest = {entry["id"]: entry for revision, entry in self.changes if revision > after}
        if latest:
            message = {"revision": self.revision, "complete": False, "members": list(latest.values())}
            self._write(writer, message)
        self.watches.add(writer)
        await reader.read()


# --- clients


IDS = itertools.count(1)


class Answer:
    """What a client got for one try; a status of 0 is no answer."""

    def __init__(
        self, request_id: str, status: int, body: bytes, headers: dict[str, str], took_s: float
    ) -> None:
        self.request_id, self.status, self.body, self.headers, self.took_s = (
            request_id,
            status,
            body,
            headers,
            took_s,
        )

    @property
    def is_refused(self) -> bool:
        """Whether the answer says that trying again is harmless."""
        return self.status in (429, 503)


class Clients:
    """Clients of one node: they keep connections and send one request at a time on each."""

    def __init__(self, record: Record, port: int, headers: tuple[str, ...] = ()) -> None:
        self.record, self.port, self.headers = record, port, headers
        self.answers: list[int] = []  # the status of each request, 0 for no answer
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(
        self,
        method: str,
        target: str,
        timeout_ms: float,
        key: str = "",
        body: bytes = b"",
        retries: bool = False,
    ) -> Answer:
        """Send a request; returns its answer, or one of status 0 if none comes within `timeout_ms`."""
        request_id = f"{next(IDS):08x}{random.getrandbits(32):08x}"
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: api.internal",
            f"Request-Id: {request_id}",
            f"Request-Timeout: {timeout_ms:.0f}m",
            *self.headers,
        ]
        lines += [f"Idempotency-Key: {key}"] * bool(key) + ["Client-Retry: 1"] * retries
        lines += [f"Content-Length: {len(body)}"] * (method != "GET")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.answers.append(0)
        number = len(self.answers) - 1
        self.record.add(f"client of {self.port} sends {method} {target} id={request_id} key={key}")
        begin_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_ms / 1000 + 0.5):
                status, headers, answer = await self._exchange(data)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as err:
            self.record.add(f"client got no answer id={request_id}: {err!r}")
            return Answer(request_id, 0, b"", {}, time.monotonic() - begin_s)
        took_s = time.monotonic() - begin_s
        self.answers[number] = status
        self.record.add(
            f"client got {status} id={request_id} after {took_s:.3f} s retry-after="
            f"{headers.get('retry-after', '-')} body={answer[:60]!r}"
        )
        return Answer(request_id, status, answer, headers, took_s)

    async def _exchange(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        while True:
            is_used = bool(self.idle)
            reader, writer = self.idle.pop() if is_used else await asyncio.open_connection(HOST, self.port)
            is_whole = False
            try:
                writer.write(data)
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                is_whole = headers.get("connection", "").lower() != "close"
                return int(first.split(" ")[1]), headers, body
            except (ConnectionError, asyncio.IncompleteReadError) as err:
                nothing_came = not getattr(err, "partial", b"")
                if not (is_used and nothing_came):  # a node may close a connection between requests
                    raise
            finally:
                if is_whole:
                    self.idle.append((reader, writer))
                else:
                    writer.close()


# --- the platform


class Node:
    """One node, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, index: int, config: dict[str, Any]) -> None:
        self.record, self.folder, self.name = record, folder, f"n{index}"
        # Bound and not listening: the node may listen there, and no other process is given the port.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((HOST, 0))
        self.port = self.reservation.getsockname()[1]
        self.config = config | {"name": self.name, "listen": f"{HOST}:{self.port}"}
        self.config["settings"] = config["settings"] | {"me": index}
        self.path = folder / f"{self.name}.json"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it is up."""
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        names = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        environment = names | {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self.path),
            "TMPDIR": str(temporary),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
        )
        log.close()
        self.record.add(f"{self.name} started, process {self.process.pid}, port {self.port}")
        for _ in range(300):
            if await self._is_up():
                return
            if self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}: {self.log()[-300:]}")
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not up after 30 s")

    async def _is_up(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            try:
                writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                return first.split(" ")[1] == "200"
            finally:
                writer.close()
        return False

    def configure(self, **changes: Any) -> None:
        """Replace the file of the configuration, and have the program read it."""
        self.config |= changes
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self.record.add(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """What the node wrote."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        self.reservation.close()


class Case:
    """What a case has at hand."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder, self.nodes = record, folder, list[Node]()
        self.delays: list[tuple[float, float]] = []

    async def start_nodes(self, count: int, discovery: Discovery, configured: dict[str, Any]) -> None:
        """Start nodes with these settings, and wait until all of them are up."""
        config = {
            "discovery": f"{HOST}:{discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": configured,
        }
        for index in range(count):
            seed = f"{random.getrandbits(64):016x}"
            self.nodes.append(Node(self.record, self.folder, index, config | {"seed": seed}))
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.pace = asyncio.create_task(self.measure_pace())

    async def measure_pace(self) -> None:
        """Note by how much the stand-ins run late, as a slow or busy machine makes them."""
        while True:
            due_s = self.record.now() + 0.01
            await asyncio.sleep(0.01)
            self.delays.append((self.record.now(), self.record.now() - due_s))

    def delay_near(self, at_s: float) -> float:
        """By how much the stand-ins were late around a time, at most."""
        return max((delay for when, delay in self.delays if abs(when - at_s) < 0.15 + delay), default=0.0)

    def check_run(self, answers: list[int], max_delay_s: float) -> None:
        """The case says nothing if a node ended, the stand-ins were late, or few requests were served."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is not None:
                raise CannotRunError(f"{node.name} ended with {node.process.returncode}")
        delay_s = max(delay for _, delay in self.delays)
        self.record.say(f"the stand-ins were {delay_s:.3f} s late at most")
        if delay_s > max_delay_s:
            raise CannotRunError(f"the stand-ins were over {max_delay_s} s late")
        if 2 * answers.count(200) < len(answers):
            raise CannotRunError(f"{answers.count(200)} of {len(answers)} usual requests were served")

    def require(self, has_happened: bool, what: str) -> None:
        """The case says nothing if the disruption did not take place as it should."""
        if not has_happened:
            raise CannotRunError(f"not so in this run: {what}")


async def _run(body: Callable[[Case], Awaitable[bool]], record: Record, folder: Path) -> int:
    case = Case(record, folder)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            is_broken = await body(case)
    except (Exception, asyncio.CancelledError) as err:  # this says nothing about the rule
        record.say(f"the case could not run: {err!r}")
        return 2
    finally:
        for node in case.nodes:
            await node.end()
            record.add(f"log of {node.name}:\n{node.log()[-4000:]}")
    record.say("the rule was BROKEN" if is_broken else "the rule held")
    return 1 if is_broken else 0


def run_case(body: Callable[[Case], Awaitable[bool]], script: str) -> None:
    """Run a case, which returns whether the rule was broken, and exit."""
    record = Record(Path(script).resolve().parent / "record.txt")
    record.add(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(asyncio.run(_run(body, record, Path(folder))))
