"""A node in this process among stand-ins, led through an order of steps: what crosses what is said.

Real are `Node`, `Front`, `Pool`, the loop (asyncio's or uvloop) and all sockets, on loopback. Not real are
time, which moves only by a step, and the moment at which a connection to a server comes up. Servers and
clients are plain sockets that are looked at between two turns of the loop. `play` leads one world through one
order, and returns what was wrong.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import heapq
import itertools
import logging
import os
import random
import re
import socket
import struct
import termios
import time
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any
from unittest.mock import patch

import uvloop

from balancer import interface as api
from balancer.core.discovery.endpoint_merger import ApplyEndpoints
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net.backend_connection import BackendConnection, Exchange
from balancer.net.config import Config
from balancer.net.http_server import ClientConnection, HttpServer
from balancer.net.request_dispatcher import DiscoveryControl, RequestDispatcher
from balancer.protocol.http_request import RenderedRequest

AIM, DEADLINE, GRACE = 500.0, 900.0, 200.0
WAIT = 310.0  # over the grace, and what a request whose client left may still be sent on in
SLACK = 50.0  # ms after a client left, within which what was on its way may still come
QUIET = 7  # turns without anything new after which the loop is taken to be idle
SEEN = 4  # turns after which a node must have seen that a client left
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets
OPEN = 1  # TCP_INFO's state of a connection that no side has ended
LEAVES = ("fin", "rst", "half")
ANSWERS = ("ok", "full", "error", "cut", "reset")
CLASSES = (
    api.RequestClass("read", api.Idempotency.IDEMPOTENT, AIM, DEADLINE),
    api.RequestClass(
        "pay",
        api.Idempotency.KEYED,
        AIM,
        DEADLINE,
        deduplication_scope=api.DeduplicationScope.ZONE,
        deduplication_window_ms=800.0,
    ),
    api.RequestClass(
        "brief",
        api.Idempotency.KEYED,
        AIM,
        DEADLINE,
        deduplication_scope=api.DeduplicationScope.ZONE,
        deduplication_window_ms=200.0,
    ),
    api.RequestClass("once", api.Idempotency.NON_IDEMPOTENT, AIM, DEADLINE),
)
SETTINGS = api.Settings(
    CLASSES,
    zone="a",
    max_attempts=3,
    max_retry_after_ms=100.0,
    drain_grace_ms=GRACE,
    connect_timeout_ms=60_000.0,
)
Step = tuple[str, int, int]
"""What, of which request, and how many turns the loop gets after it: -1 is until it is idle."""


@dataclass(frozen=True)
class Order:
    """Steps in their order, and what holds for all of them.

    `early`: timers that are due go before what waits in sockets. `lazy`: servers read a request only as they
    answer it. `answered`: servers answer in the end what is still out there.
    """

    steps: tuple[Step, ...]
    classes: tuple[str, ...]  # of each request
    may_cancel: bool = True
    early: bool = True
    lazy: bool = False
    answered: bool = True
    seed: int = 0

    def __str__(self) -> str:
        steps = " ".join(f"{what}{at}/{'idle' if turns < 0 else turns}" for what, at, turns in self.steps)
        names = ("may_cancel", "early", "lazy", "answered")
        more = " ".join(name if getattr(self, name) else f"not-{name}" for name in names)
        return f"{','.join(self.classes)}: {steps} ({more} seed={self.seed})"


# --- time, and connections that come up when they are told to


class Timer:
    """One call that is due at a moment."""

    def __init__(self, when: float, call: Callable[[], object]) -> None:
        self.when, self.call, self.off = when, call, False

    def cancel(self) -> None:
        """Never call."""
        self.off = True

    def fire(self) -> None:
        """Call, unless it was called off since it was due."""
        if not self.off:
            self.call()


class Clock:
    """A loop whose time moves only when it is told to; all else is the real loop's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, early: bool) -> None:
        self.real, self.early, self.ms = loop, early, 1e6
        self.timers: list[tuple[float, int, Timer]] = []
        self.count = itertools.count()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def time(self) -> float:
        """In seconds, as loops tell it."""
        return self.ms / 1000

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> Timer:
        """Call once time has moved on so far."""
        timer = Timer(self.ms + delay * 1000, lambda: call(*args))
        heapq.heappush(self.timers, (timer.when, next(self.count), timer))
        return timer

    def due(self) -> None:
        """Have the loop call what is due: before what waits in its sockets, or after it."""
        while self.timers and self.timers[0][0] <= self.ms + 1e-6:
            timer = heapq.heappop(self.timers)[2]
            if self.early:
                self.real.call_soon(timer.fire)
            else:
                self.real.call_soon(self.real.call_soon, timer.fire)


Gate = Callable[[], "asyncio.Future[None]"]


class AsyncioLoop(asyncio.SelectorEventLoop):
    """A connection comes up once the gate lets it; `coming` are on their way then."""

    gate: Gate | None = None
    coming = 0

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Wait for the gate, then connect."""
        if self.gate is not None:
            await self.gate()
        self.coming += 1
        try:
            await super().sock_connect(sock, address)
        finally:
            self.coming -= 1


class UvLoop(uvloop.Loop):
    """The same, as the real program runs it."""

    gate: Gate | None = None
    coming = 0

    async def sock_connect(self, sock: Any, address: Any) -> Any:
        """Wait for the gate, then connect."""
        if self.gate is not None:
            await self.gate()
        self.coming += 1
        try:
            return await super().sock_connect(sock, address)
        finally:
            self.coming -= 1


LOOPS: dict[str, Callable[[], asyncio.AbstractEventLoop]] = {"asyncio": AsyncioLoop, "uvloop": UvLoop}


class ClockedNode(RequestDispatcher):
    """A node on such a clock; `came` are the requests that it took."""

    def __init__(self, config: Config, clock: Clock) -> None:
        self.clock, self.came = clock, set[str]()
        super().__init__(config)
        self.pool.loop = self.loop

    @property
    def loop(self) -> Any:
        """Never the real one."""
        return self.clock

    @loop.setter
    def loop(self, loop: Any) -> None:
        """Set by `Node` to the real one."""

    def now(self) -> float:
        """Milliseconds."""
        return self.clock.ms

    def request_arrived(
        self, event: api.RequestArrived, client: Any, render: Callable[[float], RenderedRequest]
    ) -> None:
        """A request was taken."""
        self.came.add(event.request)
        super().request_arrived(event, client, render)


class Nobody(DiscoveryControl):
    """A source that is never asked."""

    def watch(self, on: bool) -> None:
        """Nothing to do."""

    def fetch(self) -> None:
        """Nothing to do."""


# --- stand-ins


@dataclass
class Sent:
    """One attempt that came whole to a server."""

    request: str
    server: Server
    link: Link
    at_ms: float
    end: str = ""  # how the server ended it

    @property
    def may_have_run(self) -> bool:
        """Whether no `Not-Started` went out for it on an open connection."""
        return self.end != "full"


class Link:
    """One connection from the node."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.read = sock, b""
        self.sent: Sent | None = None

    @property
    def open(self) -> bool:
        """Whether neither side has ended it."""
        return self.sock.fileno() >= 0 and _state(self.sock) == OPEN


class Server:
    """One server: a socket that listens, and its connections."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.sock.setblocking(False)
        self.links: list[Link] = []
        self.drained_ms: float | None = None

    def member(self, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
        """Its entry."""
        return EndpointRecord(api.Endpoint(self.name, self.zone, 0, 1.0, phase, 0.0), self.sock.getsockname())


@dataclass
class Asker:
    """A client with one request."""

    name: str
    cls: api.RequestClass
    sock: socket.socket
    node_end: ClientConnection
    asked: bool = False
    left: str = ""
    turns: int = 0  # of the loop since it left
    left_ms: float | None = None  # when the node must have seen it
    read: bytes = b""
    ended: bool = False  # the node ended its side
    answers: list[tuple[int, bytes]] = field(default_factory=list)

    def arrive(self, there: Callable[[socket.socket], bool]) -> None:
        """Wait until what was done is there at the node's end; the kernel mostly does it at once."""
        until, end = time.monotonic() + 5, self.node_end
        while end in end.server.connections and not end.is_closing and end.transport is not None:
            if there(end.transport.get_extra_info("socket")):
                return
            assert time.monotonic() < until, "the kernel holds it back"

    def ask(self) -> None:
        """Write the request, whole."""
        method = "GET" if self.cls.idempotency is api.Idempotency.IDEMPOTENT else "POST"
        lines = [f"{method} /{self.cls.name}/x HTTP/1.1", f"Request-Id: {self.name}"]
        lines.append(f"Request-Timeout: {DEADLINE:.0f}m")
        if self.cls.idempotency is api.Idempotency.KEYED:
            lines.append(f"Idempotency-Key: k-{self.name}")
        if method == "POST":
            lines.append("Content-Length: 2")
        body = "" if method == "GET" else "{}"
        with contextlib.suppress(ConnectionError):  # the node has closed it
            data = ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
            self.sock.sendall(data)
            self.arrive(lambda sock: _state(sock) != OPEN or _unread(sock) >= len(data))
        self.asked = True

    def leave(self, how: str) -> None:
        """Leave by a close, a reset, or by ending this side alone."""
        if self.left:
            return
        self.left = how
        if how == "half":
            with contextlib.suppress(OSError):  # the node was first
                self.sock.shutdown(socket.SHUT_WR)
        else:
            if how == "rst":
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.sock.close()
        self.arrive(lambda sock: _state(sock) != OPEN)

    def look(self) -> bool:
        """Read what has come; whether anything has."""
        if self.ended or self.sock.fileno() < 0:
            return False
        try:
            data = self.sock.recv(64 * 1024)
        except BlockingIOError:
            return False
        except ConnectionError:
            data = b""
        self.ended = not data
        self.read += data
        while found := re.match(rb"HTTP/1.1 (\d+) .*?Content-Length: (\d+)\r\n.*?\r\n|$", self.read, re.S):
            _, gap, rest = self.read.partition(b"\r\n\r\n")
            length = int(found[2] or 0)
            if not gap or len(rest) < length:
                break
            self.answers.append((int(found[1]), rest[:length]))
            self.read = rest[length:]
        return True


def _state(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def _unread(sock: socket.socket) -> int:
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"    "))[0]  # type: ignore[no-any-return]


class Errors(logging.Handler):
    """Keeps what is logged as an error."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep it."""
        what = f" {record.exc_info[1]!r}" if record.exc_info else ""
        self.lines.append(f"logged: {record.getMessage()}{what}")

    @contextlib.contextmanager
    def kept(self) -> Iterator[Errors]:
        """While it lasts, for all loggers."""
        logging.getLogger().addHandler(self)
        try:
            yield self
        finally:
            logging.getLogger().removeHandler(self)


class Sentries:
    """Takes the descriptors that were just freed, and tells whether somebody closes one of them once more."""

    def __init__(self, bound: int = 8) -> None:
        self.bound, self.posts = bound, deque[int]()
        self.null = os.stat(os.devnull).st_rdev

    def look(self) -> bool:
        """Whether all that were taken are still there; take one more, and give up the oldest."""
        there = all(self._there(post) for post in self.posts)
        if not there:
            self.close()
        self.posts.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
        if len(self.posts) > self.bound:
            os.close(self.posts.popleft())
        return there

    def _there(self, post: int) -> bool:
        try:
            return os.fstat(post).st_rdev == self.null
        except OSError:
            return False

    def close(self) -> None:
        """Give up all."""
        for post in self.posts:
            if self._there(post):
                os.close(post)
        self.posts.clear()


# --- a world


class World:
    """One node, three servers, a client for each request. `faults` is what was wrong so far."""

    def __init__(self, order: Order, loop: Any) -> None:
        self.order, self.loop, self.faults = order, loop, list[str]()
        self.clock = Clock(loop, order.early)
        self.waiting: list[asyncio.Future[None]] = []  # connections that are coming up
        self.credit, self.free, self.news = 0, False, 0
        settings = replace(SETTINGS, may_cancel=order.may_cancel)
        known = EndpointList(0, True, ())
        place = ("127.0.0.1", 0)
        config = Config("n", place, place, order.seed, settings, known, 100, 100, 64.0)
        self.node = ClockedNode(config, self.clock)
        self.node.discovery, self.node.observer = Nobody(), self
        self.front = HttpServer(self.node, 50)
        self.front.sweep_timer.cancel()
        self.front.loop = self.clock  # type: ignore[assignment]
        self.front.sweep_timer = self.clock.call_later(0.2, self.front._sweep)  # type: ignore[assignment]
        self.servers = [Server("s0", "a"), Server("s1", "a"), Server("s2", "b")]
        self.sent: list[Sent] = []
        self.wrote: dict[str, list[float]] = {}  # when the node wrote each attempt
        self.made: dict[str, list[bytes]] = {}
        self.last = "s0"  # that the node chose
        self.revision = 1
        self.told_to_end = False
        self.askers: list[Asker] = []
        self.sentries = Sentries()
        loop.gate = self.gate

    # --- hooks

    def on_decision(self, now: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """What the node decided."""
        self.news += 1
        for action in actions:
            if isinstance(action, api.SendAttempt):
                self.last = action.backend

    def gate(self) -> asyncio.Future[None]:
        """A connection wants to come up."""
        self.news += 1
        coming: asyncio.Future[None] = self.loop.create_future()
        if self.free or self.credit:
            self.credit -= not self.free
            coming.set_result(None)
        else:
            self.waiting.append(coming)
        return coming

    @contextlib.contextmanager
    def noting(self) -> Iterator[None]:
        """Note when the node writes what: a busy kernel may bring it to a server some turns later."""
        write = BackendConnection.write

        def noted(connection: BackendConnection, attempt: Exchange) -> None:
            rendered = attempt.data if isinstance(attempt.data, bytes) else attempt.data()
            data = rendered if isinstance(rendered, bytes) else rendered[0]
            found = re.search(rb"Request-Id: (\S+)", data)
            assert found is not None or not data
            if found is not None:  # else the client has left, and what came to a server would be a fault
                self.wrote.setdefault(found[1].decode(), []).append(self.clock.ms)
            write(connection, attempt)

        with patch.object(BackendConnection, "write", noted):
            yield

    def _next(self) -> asyncio.Future[None] | None:
        self.waiting = [one for one in self.waiting if not one.done()]
        return self.waiting.pop(0) if self.waiting else None

    # --- steps

    def apply(self, server: Server, phase: api.Phase) -> None:
        """Tell the node of one server."""
        self.revision += 1
        member = (server.member(phase),)
        gone = phase is api.Phase.REMOVED
        self.node.apply(
            ApplyEndpoints(
                api.EndpointUpdateKind.INCREMENTAL,
                () if gone else member,
                member if gone else (),
                self.revision,
            )
        )
        if phase is api.Phase.UP:
            server.drained_ms = None
        elif server.drained_ms is None:
            server.drained_ms = self.clock.ms

    def step(self, what: str, number: int) -> None:
        """One step; one for which there is nothing to do does nothing."""
        asker = self.askers[number]
        match what:
            case "ask":
                asker.ask()
            case "fin" | "rst" | "half":
                asker.leave(what)
            case "up":
                if (coming := self._next()) is not None:
                    coming.set_result(None)
                else:
                    self.credit += 1
            case "fail":
                if (coming := self._next()) is not None:
                    coming.set_exception(ConnectionRefusedError(111, "refused"))
            case "wait":
                self.clock.ms += WAIT
            case "time":  # past the aim: the attempt's own limit
                self.clock.ms += AIM + 10
            case "over":  # past the deadline
                self.clock.ms += DEADLINE + 10
            case "drain" | "gone" | "back":
                server = next(s for s in self.servers if s.name == self.last)
                phases = {"drain": api.Phase.DRAINING, "gone": api.Phase.REMOVED, "back": api.Phase.UP}
                self.apply(server, phases[what])
            case "term":
                self.node.is_stopping = self.told_to_end = True
            case "stop":
                self.node.is_stopping = self.told_to_end = True
                self.front.stop()
            case _:
                out = [s for s in self.sent if not s.end and s.request == asker.name]
                if out:
                    self.answer(out[-1], what)

    def answer(self, sent: Sent, how: str) -> None:
        """A server ends an attempt."""
        link = sent.link
        sent.end = how if how != "full" or link.open else "let go"
        link.sent, link.read = None, b""
        body = f"{sent.server.name} {sent.request} {len(self.sent)}".encode()
        line = {"ok": "200 OK", "cut": "200 OK", "full": "503 Full\r\nNot-Started: 1", "error": "500 No"}
        with contextlib.suppress(OSError):  # the node was first
            if self.order.lazy:
                link.sock.recv(64 * 1024)
            if how in line:
                text = f"HTTP/1.1 {line[how]}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                link.sock.send(text[: -len(body) // 2] if how == "cut" else text)
        if how == "ok":
            self.made.setdefault(sent.request, []).append(body)
        if how in ("cut", "reset"):
            link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            link.sock.close()

    # --- turns

    async def turn(self) -> None:
        """One turn of the loop, and a look at what came of it."""
        self.clock.due()
        await asyncio.sleep(0)
        if not self.sentries.look():
            self.faults.append("a descriptor was closed that somebody else had")
        self.look()

    async def idle(self) -> None:
        """Turns until nothing new has come of some."""
        quiet = 0
        for _ in range(5_000):
            before = self.news
            await self.turn()
            quiet = quiet + 1 if self.news == before and not self.loop.coming else 0
            if quiet >= QUIET:
                return
        self.faults.append("the loop does not come to rest")

    def look(self) -> None:
        """What came to servers and clients."""
        for server in self.servers:
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock, _ = server.sock.accept()
                    sock.setblocking(False)
                    server.links.append(Link(sock))
                    self.news += 1
            for link in server.links:
                if link.sock.fileno() >= 0 and link.sent is None:
                    self._read(server, link)
        for asker in self.askers:
            self.news += asker.look()
            if asker.left and asker.left_ms is None:
                asker.turns += 1
                if asker.turns >= SEEN:
                    asker.left_ms = self.clock.ms
        for name in {s.request for s in self.sent if not s.end}:
            out = [s for s in self.sent if s.request == name and not s.end and s.link.open]
            if len(out) > 1:
                self._fault(name, f"two copies are out: {[s.server.name for s in out]}")

    def _read(self, server: Server, link: Link) -> None:
        try:
            data = link.sock.recv(64 * 1024, socket.MSG_PEEK if self.order.lazy else 0)
        except (BlockingIOError, ConnectionError):
            return
        if not data:
            return
        link.read = data if self.order.lazy else link.read + data
        head, gap, body = link.read.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if gap and len(body) >= int(length[1] if length else 0):
            found = re.search(rb"Request-Id: (\S+)", head)
            if found is None or not self.wrote.get(found[1].decode()):
                self._fault(server.name, f"got what this node did not write: {link.read!r:.200}")
                link.sock.close()
                return
            self.news, name = self.news + 1, found[1].decode()
            self._came(Sent(name, server, link, self.wrote[name].pop(0)))

    def _fault(self, name: str, text: str) -> None:
        if (line := f"{name}: {text}") not in self.faults:
            self.faults.append(line)

    def _came(self, sent: Sent) -> None:
        """Judge an attempt by what was before it."""
        name, server = sent.request, sent.server
        asker = next(a for a in self.askers if a.name == name)
        before = [s for s in self.sent if s.request == name]
        if asker.left_ms is not None and sent.at_ms - asker.left_ms > SLACK:
            late = sent.at_ms - asker.left_ms
            waited = not any(s.at_ms <= asker.left_ms for s in before)
            self._fault(
                name,
                f"sent to {server.name} {late:.0f} ms after its client left"
                f"{', when nothing of it had been written' if waited else ''}",
            )
        if asker.answers:
            self._fault(name, f"sent to {server.name} after its answer")
        if server.drained_ms is not None and sent.at_ms - server.drained_ms > GRACE:
            late = sent.at_ms - server.drained_ms
            self._fault(name, f"sent to {server.name} {late:.0f} ms after its drain")
        if len(before) >= SETTINGS.max_attempts:
            self._fault(name, "too many attempts")
        risky = [s for s in before if s.may_have_run]
        if asker.cls.idempotency is api.Idempotency.NON_IDEMPOTENT and risky:
            there = risky[0].server.name
            self._fault(name, f"unsafe, sent to {server.name} though it may have run on {there}")
        if asker.cls.idempotency is api.Idempotency.KEYED and any(
            s.server.zone != server.zone for s in risky
        ):
            self._fault(name, f"keyed, sent to {server.name} outside the group")
        since = min((s.at_ms for s in risky), default=sent.at_ms)
        if (
            asker.cls.idempotency is api.Idempotency.KEYED
            and sent.at_ms - since > asker.cls.deduplication_window_ms + SLACK
        ):
            self._fault(name, "keyed, sent again past the memory span")
        sent.link.sent = sent
        self.sent.append(sent)

    # --- a whole order

    async def play(self) -> None:
        """All steps, then the end of all."""
        await self.front.listen(("127.0.0.1", 0))
        members = tuple(server.member() for server in self.servers)
        self.node.apply(ApplyEndpoints(api.EndpointUpdateKind.SNAPSHOT, members, (), 1))
        for number, name in enumerate(self.order.classes):
            cls = next(c for c in CLASSES if c.name == name)
            sock = socket.create_connection(self.front.address)
            sock.setblocking(False)
            while len(self.front.connections) <= number:
                await self.turn()
            name = sock.getsockname()
            ends = [end for end in self.front.connections if end.transport is not None]
            peer = next(e for e in ends if e.transport and e.transport.get_extra_info("peername") == name)
            self.askers.append(Asker(f"r{number}", cls, sock, peer))
        await self.idle()
        for what, number, turns in self.order.steps:
            self.step(what, number)
            if turns < 0:
                await self.idle()
            for _ in range(turns):
                await self.turn()
        await self._end()

    async def _end(self) -> None:
        """Let all that is open come to its end, and look at what is left."""
        self.free = True
        while (coming := self._next()) is not None:
            coming.set_result(None)
        await self.idle()
        while self.order.answered and (out := [s for s in self.sent if not s.end]):
            for sent in out:
                self.answer(sent, "ok")
            await self.idle()
        for _ in range(16):
            self.clock.ms += 100
            for _ in range(2):
                await self.turn()
        await self.idle()
        for asker in self.askers:
            self._answers(asker)
        self._left("open requests", self.node.open_requests)
        self._left("requests in the module", list(self.node.balancer.requests))
        self._left("out", self.node.balancer.in_flight)
        backends = self.node.balancer.backends.items()
        self._left("out by server", {name: b.in_flight for name, b in backends if b.in_flight})
        pool = self.node.pool
        self._left(
            "connections in use",
            pool.connection_count - sum(len(host.idle) for host in pool.backends.values()),
        )
        self._left("events held", [*self.node._deferred_events, *self.node._events])
        for asker in self.askers:
            asker.sock.close()
        self.front.stop()
        pool.close()
        await self.idle()
        self._left("connections to servers", pool.connection_count)
        self._left("connections of clients", self.front.connections)

    def _left(self, what: str, there: Any) -> None:
        if there:
            self.faults.append(f"left over: {what}: {there!r}")

    def _answers(self, asker: Asker) -> None:
        name, answers = asker.name, asker.answers
        if asker.read or len(answers) > 1:
            self._fault(name, f"{len(answers)} answers and {asker.read!r:.80}")
        if not answers:
            # A request that crossed the close of a connection was never taken.
            crossed = self.told_to_end and asker.ended and name not in self.node.came
            if asker.asked and not (asker.left or crossed):
                self._fault(name, f"no answer{', its connection ended' if asker.ended else ''}")
            return
        code, body = answers[0]
        if code == 200 and body not in self.made.get(name, ()):
            self._fault(name, f"served with what no server made: {body!r:.80}")
        risky = [s for s in self.sent if s.request == name and s.may_have_run]
        if code in (429, 503) and risky and asker.cls.idempotency is not api.Idempotency.IDEMPOTENT:
            self._fault(name, f"refused, though it may have run on {risky[0].server.name}")

    def close(self) -> None:
        """Close what this side has."""
        self.loop.gate = None
        self.sentries.close()
        links = [link.sock for server in self.servers for link in server.links]
        for sock in (*links, *(s.sock for s in self.servers), *(a.sock for a in self.askers)):
            with contextlib.suppress(OSError):  # closed by somebody else
                sock.close()


def _descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


async def play(order: Order) -> list[str]:
    """What was wrong with one order."""
    errors, before = Errors(), _descriptors()
    with errors.kept():
        world = World(order, asyncio.get_running_loop())
        try:
            with world.noting():
                await world.play()
        except OSError as err:
            world.faults.append(f"a stand-in's descriptor is not its own any more: {err}")
        finally:
            world.close()
        for _ in range(50):
            if _descriptors() > before:
                await asyncio.sleep(0)
    faults = [*world.faults, *errors.lines]
    if (more := _descriptors() - before) > 0:
        faults.append(f"left over: {more} descriptors")
    return faults


def found(orders: Sequence[Order], loop: str) -> list[tuple[Order, list[str]]]:
    """The orders in which something was wrong, and what."""

    async def all_of_them() -> list[tuple[Order, list[str]]]:
        out = []
        await play(Order((("ask", 0, -1),), ("read",)))  # a loop takes some descriptors as it needs them
        for order in orders:
            if faults := await play(order):
                out.append((order, faults))
        return out

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        return runner.run(all_of_them())


# --- orders


def sensible(steps: Sequence[str]) -> bool:
    """Whether each step has something to do: what is answered was asked, and so on."""
    place = {what: at for at, what in enumerate(steps)}
    ask = place["ask"]
    for what, at in place.items():
        if what in (*LEAVES, *ANSWERS) and at < ask:
            return False
        if what in ANSWERS and "up" in place and at < place["up"]:
            return False
    return True


def every(steps: Sequence[str], gaps: Sequence[Sequence[int]]) -> Iterator[tuple[Step, ...]]:
    """All sensible orders of these steps of one request, with each pattern of gaps."""
    for order in itertools.permutations(steps):
        if sensible(order):
            for gap in gaps:
                yield tuple((what, 0, gap[at % len(gap)]) for at, what in enumerate(order))


def draw(rng: random.Random, requests: int) -> Order:
    """Any order of the steps of so many requests; each request's own begin with its being asked."""
    queues: list[list[tuple[str, int]]] = []
    for number in range(requests):
        mine = [rng.choice(("up", "up", "up", "fail")) for _ in range(rng.choice((1, 1, 2, 3)))]
        mine += [rng.choice(ANSWERS) for _ in range(rng.choice((0, 1, 1, 2, 3)))]
        mine += [rng.choice(LEAVES)] * (rng.random() < 0.6)
        rng.shuffle(mine)
        queues.append([("ask", number), *((what, number) for what in mine)])
    shared = ["wait", "wait", "time", "over", "drain", "gone", "back", "term", "stop"]
    shared = [what for what in shared if rng.random() < 0.3]
    rng.shuffle(shared)
    queues.append([(what, 0) for what in shared])
    steps: list[Step] = []
    while queues := [q for q in queues if q]:
        what, number = rng.choice(queues).pop(0)
        steps.append((what, number, rng.choice((0, 0, 0, 1, 2, 3, 4, -1, -1))))
    cancel, early, lazy, answered = (rng.random() < part for part in (0.5, 0.5, 0.2, 0.6))
    classes = tuple(rng.choice(CLASSES).name for _ in range(requests))
    return Order(tuple(steps), classes, cancel, early, lazy, answered, rng.getrandbits(16))
