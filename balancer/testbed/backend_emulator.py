"""Stand-in app servers: HTTP/1.1 with cores, a queue, a cold start, crowding, load reports, scripted faults.

Their work is virtual: a request holds a core for as long as its work takes there, and nothing is computed.
What a request costs is drawn from its class by its key or name, so that it is the same on every server.
`Server` is one process behind one address that may die and come back; a `Fleet` holds many of them on
addresses of their own in 127.0.0.0/8, on ports that the system chooses.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import socket
import struct
import zlib
from collections import deque
from dataclasses import dataclass
from typing import Any, cast

import httptools

from balancer.interface import DeduplicationScope, Idempotency
from balancer.testbed.event_log import (
    Journal,
    LetGo,
    Ran,
    Received,
    Replied,
    ServerEnded,
    ServerStarted,
    TurnedAway,
    now_ms,
    unix_ms,
)
from balancer.testbed.service_profile import RequestClass, Site
from balancer.testbed.slow_start_model import Pressure, warmth

MAX_BODY = 64 * 1024
MAX_KEYS = 100_000  # that a group remembers: the oldest go first
FLEETS = itertools.count()  # of this process
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets
REASONS = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}


def form_of(method: str, target: str, body: bytes) -> str:
    """What has to reach a server unchanged, in short."""
    return f"{method} {target} {zlib.crc32(body):08x}"


@dataclass(slots=True, frozen=True)
class Machine:
    """What a server can do. Work takes its time over `speed`, and longer where it is cold or crowded.

    Each request held beyond `crowd_at` a core makes it slower by the part `crowd`. `drops` says whether work
    that still waits is dropped once the node has gone or its time is over; work that runs always goes on.
    """

    cores: int = 2
    speed: float = 1.0
    queue: int = 8  # requests that wait for a core; more are turned away
    crowd: float = 0.08
    crowd_at: float = 3.0
    connections: int = 250  # that may be open; on one more, requests are turned away
    handshake_ms: float = 1.0  # work that a new connection adds to its first request
    report_ms: float = 700.0  # between two looks at the load that answers report
    report_late_ms: float = 300.0  # and how old such a look is when the first answer reports it
    report_noise: float = 0.03
    drops: bool = False

    @property
    def capacity(self) -> float:
        """Milliseconds of work done in one millisecond."""
        return self.cores * self.speed


class Memory:
    """The keys that a group of servers has taken, so that a repeat of one has no second effect.

    A key counts from the moment at which it is taken into a queue, as two servers of a group share it.
    """

    def __init__(self) -> None:
        self.taken: dict[str, float] = {}

    def take(self, key: str, at_ms: float, span_ms: float) -> bool:
        """Whether this is the first of its key within the span."""
        before = self.taken.get(key)
        if before is not None and at_ms - before <= span_ms:
            return False
        self.taken.pop(key, None)
        self.taken[key] = at_ms
        if len(self.taken) > MAX_KEYS:
            del self.taken[next(iter(self.taken))]
        return True

    def forget(self, key: str) -> None:
        """It did not come to run."""
        self.taken.pop(key, None)


class Job:
    """One attempt that a server holds."""

    __slots__ = (
        "began_at_ms",
        "connection",
        "cost_ms",
        "key",
        "name",
        "over_at_ms",
        "repeat",
        "request",
        "taken",
        "timer",
        "work_ms",
    )

    def __init__(self, connection: Connection, name: str, request: str, key: str, work_ms: float) -> None:
        self.connection: Connection | None = connection
        self.name, self.request, self.key, self.work_ms = name, request, key, work_ms
        self.over_at_ms = self.began_at_ms = self.cost_ms = 0.0
        self.repeat = False
        self.taken = ""  # what its group remembers of it, should it be the first of its key
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """One connection from a node; it carries one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server, self.number = server, server.next_connection()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.job: Job | None = None
        self.first_at_ms: float | None = None
        self.fresh = True
        self.over = False  # one more than may be open
        self.idle: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self.target, self.body, self.headers = b"", b"", cast(dict[str, str], {})

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take it in."""
        self.transport = cast(asyncio.Transport, transport)
        self.over = len(self.server.connections) >= self.server.machine.connections
        self.server.connections.add(self)
        self.rest()

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side has gone, or this one closed."""
        self._end("node")

    def eof_received(self) -> None:
        """A node that ends its sending gives up as well; returning nothing closes."""

    def _end(self, by: str) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.server.connections.discard(self)
        if self.first_at_ms is not None:
            self.server.broke(self)
            self.first_at_ms = None
        if self.job is not None:
            job, self.job = self.job, None
            job.connection = None
            self.server.let_go(job, by)

    def abort(self) -> None:
        """Reset the connection: the process is gone."""
        self._end("server")
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()

    def rest(self) -> None:
        """Nothing is asked on it: it is closed once that has lasted."""
        limit = self.server.site.idle_ms / 1000
        self.idle = asyncio.get_running_loop().call_later(limit, self.close)

    def close(self) -> None:
        """Close in order; a process that stands still does not."""
        if self.transport is not None and not self.server.hung:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Read a request."""
        if self.first_at_ms is None:
            self.first_at_ms = now_ms()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    # --- httptools

    def on_url(self, url: bytes) -> None:
        """The target, in pieces."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self.body += body
        if len(self.body) > MAX_BODY:
            raise ValueError("body too large")

    def on_message_complete(self) -> None:
        """The last byte is here."""
        if self.job is not None:
            raise ValueError("a second request before the first was answered")
        if self.idle is not None:
            self.idle.cancel()
        method = self.parser.get_method().decode()
        form = form_of(method, self.target.decode("latin-1"), self.body)
        headers, self.first_at_ms, first = self.headers, None, self.first_at_ms
        target = self.target.decode("latin-1")
        self._reset()
        self.server.receive(self, form, target, headers, first or now_ms())
        self.fresh = False

    def answer(self, status: int, body: bytes, *headers: str) -> None:
        """Write an answer."""
        assert self.transport is not None
        self.job = None
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {len(body)}", *headers]
        if report := self.server.report:
            lines.append(f"Server-Load: {report}")
        closes = self.over or self.server.leaving
        if closes:
            lines.append("Connection: close")
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        if closes:
            self.transport.close()
        else:
            self.rest()
        self.server.leave()


class Server:
    """One app server. `start` brings up its process, cold or warm; the verbs below it are scripted faults."""

    def __init__(
        self,
        name: str,
        site: Site,
        journal: Journal,
        memory: Memory,
        *,
        machine: Machine | None = None,
        zone: str = "a",
        cell: int = 0,
        host: str = "127.0.0.1",
        seed: int = 0,
    ) -> None:
        self.name, self.site, self.journal, self.memory = name, site, journal, memory
        self.machine = machine or Machine()
        self.zone, self.cell, self.host, self.port, self.seed = zone, cell, host, 0, seed
        self.rng = random.Random(f"{seed}:{name}")
        self.incarnation = self.taken = self._attempts = 0  # `taken`: connections, ever
        self.connections: set[Connection] = set()
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.listener: asyncio.Server | None = None
        self.up = self.draining = self.leaving = self.hung = self.usurped = False
        self.busiest = 0  # the most connections that it took within a second
        self._lately: deque[float] = deque()
        self.slowness, self.errors = 1.0, 0.0
        self.started_at_ms = self.up_since_ms = 0.0
        self.cold_share, self.warm_ms = 1.0, 0.0
        self.pressure: Pressure | None = None
        self.held: list[Job] = []  # done while it hangs
        self.report = ""
        self._looks: asyncio.TimerHandle | None = None
        self._plug: list[socket.socket] = []  # keeps connections from coming up

    # --- the process

    async def start(self, *, cold: bool = False, new_port: bool = False) -> None:
        """Start the process, behind the same address as before unless it is to be a new port."""
        assert not self.up, f"{self.name} is up already"
        if new_port:
            self.port = 0
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Connection(self), self.host, self.port, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.incarnation += 1
        self.up, self.draining, self.leaving, self.hung, self.usurped = True, False, False, False, False
        self.slowness, self.errors, self.report = 1.0, 0.0, ""
        self.started_at_ms, rules = now_ms(), self.site.rules
        self.up_since_ms = unix_ms(self.started_at_ms) if cold else 0.0
        self.cold_share, self.warm_ms = (rules.cold_share, rules.warm_ms) if cold else (1.0, 0.0)
        self.pressure = Pressure(rules, self.machine.capacity, self.cold_share, self.warm_ms)
        self.journal.add(
            ServerStarted(
                self.name,
                self.incarnation,
                self.started_at_ms,
                self.zone,
                self.cell,
                self.machine.capacity,
                self.cold_share,
                self.warm_ms,
                self.up_since_ms,
            )
        )
        self._look()

    def end(self, how: str = "stopped") -> None:
        """The process is no more, whatever it had."""
        if not self.up:
            return
        self.up = False
        at = now_ms()
        if self.listener is not None:
            self.listener.close()
        for sock in self._plug:
            sock.close()
        self._plug.clear()
        if self._looks is not None:
            self._looks.cancel()
        for connection in list(self.connections):
            if how == "stopped" and connection.job is None:
                connection.close()
            else:
                connection.abort()
        for job in self.running:
            if job.timer is not None:
                job.timer.cancel()
            self._ran(job, None)
        for job in self.waiting:
            self.memory.forget(job.taken)
        self.running.clear()
        self.waiting.clear()
        self.held.clear()
        self.journal.add(ServerEnded(self.name, self.incarnation, at, how))

    def die(self) -> None:
        """The process is killed: connections are reset, new ones refused."""
        self.end("died")

    def stop(self) -> None:
        """The process ends in order: it accepts nothing more and is gone once all it has is answered."""
        self.leaving = self.draining = True
        if self.listener is not None:
            self.listener.close()
        for connection in [c for c in self.connections if c.job is None]:
            connection.close()
        self.leave()

    def leave(self) -> None:
        """End now if it is to end and nothing is left to answer."""
        if self.leaving and not any(c.job for c in self.connections):
            self.end()

    # --- scripted faults

    def drain(self) -> None:
        """Finish what it has and turn away what is new."""
        self.draining = True

    def hang(self) -> None:
        """The process stands still: it reads and says nothing."""
        self.hung = True

    def vanish(self) -> None:
        """The machine is gone: the process hangs, and new connections get no answer at all.

        Linux leaves a SYN alone while the queue of a listener is full: one whose queue holds one takes this
        one's place, with a connection in the queue that nobody takes out.
        """
        self.hang()
        if self.listener is None or self._plug:
            return
        self.listener.close()
        last = socket.socket(socket.AF_INET6 if ":" in self.host else socket.AF_INET)
        last.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        last.bind((self.host, self.port))
        last.listen(0)
        self._plug = [last, socket.create_connection((self.host, self.port), 1.0)]

    def resume(self) -> None:
        """It goes on, and answers what was done meanwhile."""
        self.hung = False
        held, self.held = self.held, []
        for job in held:
            self._done(job)
        self._next()

    def usurp(self) -> None:
        """Its process is gone, and something else at its address answers 404 to all."""
        for connection in list(self.connections):
            connection.abort()
        self.usurped = True

    def slow(self, factor: float) -> None:
        """Work that begins from now on takes so many times as long."""
        self.slowness = factor

    def fail(self, share: float) -> None:
        """Answer this share with 500, having run it."""
        self.errors = share

    # --- what it says of itself

    def member(self, phase: str = "in_service") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{self.host}:{self.port}",
            "locality": self.zone,
            "flavor": "m",
            "cell": self.cell,
            "phase": phase,
            "size": self.machine.capacity,
            "up_since_ms": self.up_since_ms,
        }

    def _look(self) -> None:
        """Look at the load now and then; answers report it some time later."""
        loop, m, noise = asyncio.get_running_loop(), self.machine, self.rng
        queue = len(self.waiting)
        held = len(self.running) + len(self.held) + queue
        seen = [max(0, round(n * noise.gauss(1.0, m.report_noise))) for n in (held, queue)]
        loop.call_later(m.report_late_ms / 1000, self._publish, f"TEXT inflight={seen[0]}, queue={seen[1]}")
        self._looks = loop.call_later(m.report_ms / 1000 * noise.uniform(0.9, 1.1), self._look)

    def _publish(self, report: str) -> None:
        self.report = report

    # --- requests

    def next_connection(self) -> int:
        """Number a connection."""
        self.taken, at = self.taken + 1, now_ms()
        self._lately.append(at)
        while self._lately[0] <= at - 1_000:
            self._lately.popleft()
        self.busiest = max(self.busiest, len(self._lately))
        return self.taken

    def _attempt(self) -> str:
        self._attempts += 1
        return f"{self.name}.{self._attempts}"

    def broke(self, connection: Connection) -> None:
        """A connection ended in the middle of a request."""
        request, key = (connection.headers.get(n, "") for n in ("request-id", "idempotency-key"))
        first = connection.first_at_ms or now_ms()
        self._received(connection, self._attempt(), request, key, "", 0.0, first, None)

    def _received(
        self,
        connection: Connection,
        attempt: str,
        request: str,
        key: str,
        form: str,
        work_ms: float,
        first: float,
        last: float | None,
    ) -> None:
        self.journal.add(
            Received(
                self.name,
                self.incarnation,
                connection.number,
                attempt,
                request,
                key,
                form,
                work_ms,
                first,
                last,
            )
        )

    def receive(
        self, connection: Connection, form: str, target: str, headers: dict[str, str], first: float
    ) -> None:
        """A whole request: run it, have it wait, or turn it away."""
        at, request, key = now_ms(), headers.get("request-id", ""), headers.get("idempotency-key", "")
        cls = self.site.find(target.partition("?")[0].removeprefix("/").partition("/")[0])
        if not request or cls is None or self.usurped:
            attempt = self._attempt()
            self._received(connection, attempt, request, key, form, 0.0, first, at)
            if request:
                self.journal.add(Replied(self.name, attempt, request, at, 404, ""))
            connection.answer(404, b"not found\n")
            return
        # The same on every server, so that no run's luck hangs on which of them it came to.
        work = cls.work(random.Random(f"{self.seed}:{key or request}"))
        work += self.machine.handshake_ms if connection.fresh else 0.0
        job = Job(connection, self._attempt(), request, key, work)
        connection.job = job
        self._received(connection, job.name, request, key, form, work, first, at)
        if self.pressure is not None and self.pressure.add(at - self.started_at_ms, work) > 1.0:
            self.end("fell")
            return
        job.over_at_ms = at + _timeout_ms(headers.get("request-timeout", ""), cls)
        if not self.hung and (reason := self._refuses(connection)):
            self._turn_away(job, reason)
            return
        if cls.effect is Idempotency.KEYED:
            scope = self._scope(cls, key)
            job.repeat = not self.memory.take(scope, at, cls.memory_ms)
            job.taken, job.work_ms = ("", 0.0) if job.repeat else (scope, work)
        self.waiting.append(job)
        self._next()

    def _scope(self, cls: RequestClass, key: str) -> str:
        """The key as the group that drops its repeats knows it."""
        where = {
            DeduplicationScope.ALL: "",
            DeduplicationScope.ZONE: self.zone,
            DeduplicationScope.CELL: str(self.cell),
        }[cls.group]
        return f"{cls.name} {where} {key}"

    def _refuses(self, connection: Connection) -> str:
        if connection.over:
            return "too many connections"
        if self.draining:
            return "draining"
        if len(self.waiting) >= self.machine.queue and len(self.running) >= self.machine.cores:
            return "queue full"
        return ""

    def _turn_away(self, job: Job, reason: str) -> None:
        self.memory.forget(job.taken)
        if job.connection is not None:
            self.journal.add(TurnedAway(self.name, job.name, job.request, now_ms(), reason))
            job.connection.answer(503, reason.encode() + b"\n", "Not-Started: 1")

    def let_go(self, job: Job, by: str) -> None:
        """The connection ended under an attempt; what runs goes on, what waits may be dropped."""
        self.journal.add(LetGo(self.name, job.name, job.request, now_ms(), by))
        if self.machine.drops and job in self.waiting:
            self.waiting.remove(job)
            self.memory.forget(job.taken)

    def _next(self) -> None:
        """Begin what waits as long as a core is free."""
        while self.up and not self.hung and self.waiting and len(self.running) < self.machine.cores:
            job, at = self.waiting.popleft(), now_ms()
            if self.machine.drops and at > job.over_at_ms:
                self._turn_away(job, "the request is over")
                continue
            job.began_at_ms = at
            job.cost_ms = job.work_ms * self._stretch(at)
            self.running.add(job)
            job.timer = asyncio.get_running_loop().call_later(job.cost_ms / 1000, self._done, job)

    def _stretch(self, at: float) -> float:
        """How long a millisecond of work takes that begins now."""
        m, held = self.machine, len(self.running) + len(self.waiting) + 1
        crowding = 1.0 + m.crowd * max(0.0, held / m.cores - m.crowd_at)
        able = m.speed * warmth(self.cold_share, self.warm_ms, at - self.started_at_ms)
        return self.slowness * crowding / able

    def _ran(self, job: Job, ended: float | None) -> None:
        self.journal.add(
            Ran(
                self.name,
                self.incarnation,
                job.name,
                job.request,
                job.key,
                job.began_at_ms,
                ended,
                job.cost_ms,
                job.repeat,
            )
        )

    def _done(self, job: Job) -> None:
        if self.hung:
            self.held.append(job)
            return
        at = now_ms()
        self.running.discard(job)
        self._ran(job, at)
        if job.connection is not None:
            status = 500 if self.rng.random() < self.errors else 200
            body = f"{self.name}/{self.incarnation} {job.name} {job.request}" if status == 200 else "error"
            self.journal.add(Replied(self.name, job.name, job.request, at, status, body))
            job.connection.answer(status, body.encode())
        self._next()


def _timeout_ms(value: str, cls: RequestClass) -> float:
    """How long the node waits, as it says; else as long as its class has."""
    number, unit = value[:-1], value[-1:]
    try:
        return float(number) / {"m": 1.0, "u": 1000.0}[unit]
    except (KeyError, ValueError):
        return cls.give_up_ms


class Fleet:
    """Servers by name, on addresses of their own, spread evenly over the site's zones in cells of eight.

    They share the keys that a group drops. At most 60,000: that many addresses are laid out.
    """

    def __init__(self, site: Site, journal: Journal, seed: int = 0) -> None:
        self.site, self.journal, self.seed = site, journal, seed
        self.memory = Memory()
        self.servers: dict[str, Server] = {}
        # Worlds side by side come back on ports that nobody took meanwhile.
        self.net = 16 + (os.getpid() + 7 * next(FLEETS)) % 200

    def __getitem__(self, name: str) -> Server:
        return self.servers[name]

    def add(self, name: str, machine: Machine | None = None, zone: str | None = None) -> Server:
        """One more server, not yet started."""
        index = len(self.servers)
        if name in self.servers or index >= 60_000:
            raise ValueError(f"no place for a server {name!r}: {index} are there")
        zones = self.site.zones
        place = index % len(zones) if zone is None else zones.index(zone)
        cell = index // len(zones) // 8 * len(zones) + place
        host = f"127.{self.net}.{index // 250}.{index % 250 + 1}"
        server = Server(
            name,
            self.site,
            self.journal,
            self.memory,
            machine=machine,
            zone=zones[place],
            cell=cell,
            host=host,
            seed=self.seed,
        )
        self.servers[name] = server
        return server

    def members(self) -> list[dict[str, Any]]:
        """The entries of all that are up."""
        up = [s for s in self.servers.values() if s.up]
        return [s.member("terminating" if s.draining else "in_service") for s in up]

    def stop(self) -> None:
        """End them all."""
        for server in self.servers.values():
            server.end()
