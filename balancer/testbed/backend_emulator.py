"""Emulators of backends: HTTP/1.1 servers with cores, a queue, slow start, load reports and scripted faults.

Work is simulated: a request occupies a core for the time that its work takes, and nothing is computed. The
work of a request is drawn from its class with its key or name as the seed, so it is the same on every server.
`Server` is one process at one address that can die and restart; a `Fleet` holds many servers, each on its own
address in 127.0.0.0/8 and on a port that the system assigns.
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
from balancer.testbed.slow_start_model import ColdStartBudget, warm_up_share

MAX_BODY_BYTES = 64 * 1024  # of the protocol's page
MAX_REMEMBERED_KEYS = 100_000  # that a group remembers; the oldest are evicted
FLEET_NUMBERS = itertools.count()  # numbers the fleets of this process
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: a close resets the connection
REASONS = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}


def request_fingerprint(method: str, target: str, body: bytes) -> str:
    """Return a short fingerprint of the parts of a request that must reach a server unchanged."""
    return f"{method} {target} {zlib.crc32(body):08x}"


@dataclass(slots=True, frozen=True)
class Machine:
    """The resources of a server.

    A request takes its work over `speed`, and longer on a cold or crowded server. Beyond
    `crowding_threshold` held requests per core, each further one per core slows the server by the share
    `crowding_slowdown`. With `drops`, a queued request is dropped once its node has disconnected or its
    timeout is over; a running one always completes.
    """

    cores: int = 2
    speed: float = 1.0
    queue: int = 8  # requests that may wait for a core; further ones are rejected
    crowding_slowdown: float = 0.08
    crowding_threshold: float = 3.0
    connections: int = 250  # that may be open; requests on further ones are rejected
    handshake_ms: float = 1.0  # work that a new connection adds to its first request
    report_interval_ms: float = 700.0  # between two samples of the load that responses report
    report_delay_ms: float = 300.0  # age of a sample when responses begin to report it
    report_noise: float = 0.03
    drops: bool = False
    max_body_bytes: int = MAX_BODY_BYTES

    @property
    def capacity(self) -> float:
        """Milliseconds of work that the server does per millisecond."""
        return self.cores * self.speed


class SeenKeys:
    """The idempotency keys that a group of servers has accepted, so that a repeat has no second effect.

    A key is recorded when its request enters a queue, since the servers of a group share the keys.
    """

    def __init__(self) -> None:
        self.added_at_ms: dict[str, float] = {}

    def add(self, key: str, at_ms: float, window_ms: float) -> bool:
        """Record a key; return whether it is its first use within the window."""
        previous_at_ms = self.added_at_ms.get(key)
        if previous_at_ms is not None and at_ms - previous_at_ms <= window_ms:
            return False
        self.added_at_ms.pop(key, None)
        self.added_at_ms[key] = at_ms
        if len(self.added_at_ms) > MAX_REMEMBERED_KEYS:
            del self.added_at_ms[next(iter(self.added_at_ms))]
        return True

    def discard(self, key: str) -> None:
        """Remove a key whose request did not run."""
        self.added_at_ms.pop(key, None)


class Job:
    """An attempt that a server holds, queued or running."""

    __slots__ = (
        "began_at_ms",
        "connection",
        "cost_ms",
        "key",
        "name",
        "overdue_at_ms",
        "repeat",
        "request",
        "scoped_key",
        "timer",
        "work_ms",
    )

    def __init__(self, connection: Connection, name: str, request: str, key: str, work_ms: float) -> None:
        self.connection: Connection | None = connection
        self.name, self.request, self.key, self.work_ms = name, request, key, work_ms
        self.overdue_at_ms = self.began_at_ms = self.cost_ms = 0.0
        self.repeat = False
        self.scoped_key = ""  # the key that its group recorded; empty for a repeat
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """A connection from a node; it carries one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server, self.number = server, server.next_connection()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.job: Job | None = None
        self.first_at_ms: float | None = None
        self.is_fresh = True
        self.is_over_limit = False  # exceeds the limit of open connections
        self.idle_timer: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self.target, self.body, self.headers = b"", b"", cast(dict[str, str], {})

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self.transport = cast(asyncio.Transport, transport)
        self.is_over_limit = len(self.server.connections) >= self.server.machine.connections
        self.server.connections.add(self)
        self.start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, from either side."""
        self._detach("node")

    def eof_received(self) -> None:
        """Treat a half-close as the end of the connection: returning None closes it."""

    def _detach(self, by: str) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.server.connections.discard(self)
        if self.first_at_ms is not None:
            self.server.record_broken_request(self)
            self.first_at_ms = None
        if self.job is not None:
            job, self.job = self.job, None
            job.connection = None
            self.server.abandon(job, by)

    def abort(self) -> None:
        """Reset the connection, as a killed process does."""
        self._detach("server")
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def start_idle_timer(self) -> None:
        """Close the connection once it has been idle for the limit of the site."""
        limit = self.server.site.idle_ms / 1000
        self.idle_timer = asyncio.get_running_loop().call_later(limit, self.close)

    def close(self) -> None:
        """Close the connection gracefully unless the process hangs."""
        if self.transport is not None and not self.server.is_hung:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse a request; reset the connection on invalid HTTP."""
        if self.first_at_ms is None:
            self.first_at_ms = now_ms()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    # --- httptools

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body
        if len(self.body) > self.server.machine.max_body_bytes:
            raise ValueError("body too large")

    def on_message_complete(self) -> None:
        """Pass the complete request to the server."""
        if self.job is not None:
            raise ValueError("a second request arrived before the first was answered")
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        method = self.parser.get_method().decode()
        fingerprint = request_fingerprint(method, self.target.decode("latin-1"), self.body)
        headers, self.first_at_ms, first_at_ms = self.headers, None, self.first_at_ms
        target = self.target.decode("latin-1")
        self._reset()
        self.server.receive(self, fingerprint, target, headers, first_at_ms or now_ms())
        self.is_fresh = False

    def answer(self, status: int, body: bytes, *headers: str) -> None:
        """Write a response and close the connection if it must not be reused."""
        assert self.transport is not None
        self.job = None
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {len(body)}", *headers]
        if report := self.server.report:
            lines.append(f"Server-Load: {report}")
        closes_connection = self.is_over_limit or self.server.is_stopping
        if closes_connection:
            lines.append("Connection: close")
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        if closes_connection:
            self.transport.close()
        else:
            self.start_idle_timer()
        self.server.end_if_drained()


class Server:
    """A backend process. `start` brings it up, cold or warm; other public methods inject faults."""

    def __init__(
        self,
        name: str,
        site: Site,
        journal: Journal,
        seen_keys: SeenKeys,
        *,
        machine: Machine | None = None,
        zone: str = "a",
        cell: int = 0,
        host: str = "127.0.0.1",
        seed: int = 0,
    ) -> None:
        self.name, self.site, self.journal, self.seen_keys = name, site, journal, seen_keys
        self.machine = machine or Machine()
        self.zone, self.cell, self.host, self.port, self.seed = zone, cell, host, 0, seed
        self.rng = random.Random(f"{seed}:{name}")
        self.incarnation = self.connections_taken = self._attempts = 0
        self.connections: set[Connection] = set()
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.listener: asyncio.Server | None = None
        self.up = self.draining = self.is_stopping = self.is_hung = self.is_usurped = False
        self.busiest = 0  # the most connections that it accepted within a second
        self._recent_connections_ms: deque[float] = deque()
        self.slow_factor, self.error_share = 1.0, 0.0
        self.started_at_ms = self.up_since_ms = 0.0
        self.cold_share, self.warm_ms = 1.0, 0.0
        self.cold_start_budget: ColdStartBudget | None = None
        self.finished_while_hung: list[Job] = []
        self.report = ""
        self._sample_timer: asyncio.TimerHandle | None = None
        self._queue_fillers: list[socket.socket] = []  # keep the accept queue full after `vanish`

    # --- the process

    async def start(self, *, cold: bool = False, new_port: bool = False) -> None:
        """Start the process at its previous address, or on a new port."""
        assert not self.up, f"{self.name} is already up"
        if new_port:
            self.port = 0
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Connection(self), self.host, self.port, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.incarnation += 1
        self.up, self.draining, self.is_stopping, self.is_hung, self.is_usurped = (
            True,
            False,
            False,
            False,
            False,
        )
        self.slow_factor, self.error_share, self.report = 1.0, 0.0, ""
        self.started_at_ms, rules = now_ms(), self.site.rules
        self.up_since_ms = unix_ms(self.started_at_ms) if cold else 0.0
        self.cold_share, self.warm_ms = (rules.cold_share, rules.warm_ms) if cold else (1.0, 0.0)
        self.cold_start_budget = ColdStartBudget(rules, self.machine.capacity, self.cold_share, self.warm_ms)
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
        self._sample_load()

    def end(self, how: str = "stopped") -> None:
        """End the process with all its connections and requests, and record how it ended."""
        if not self.up:
            return
        self.up = False
        at_ms = now_ms()
        if self.listener is not None:
            self.listener.close()
        for sock in self._queue_fillers:
            sock.close()
        self._queue_fillers.clear()
        if self._sample_timer is not None:
            self._sample_timer.cancel()
        for connection in list(self.connections):
            if how == "stopped" and connection.job is None:
                connection.close()
            else:
                connection.abort()
        for job in self.running:
            if job.timer is not None:
                job.timer.cancel()
            self._record_run(job, None)
        for job in self.waiting:
            self.seen_keys.discard(job.scoped_key)
        self.running.clear()
        self.waiting.clear()
        self.finished_while_hung.clear()
        self.journal.add(ServerEnded(self.name, self.incarnation, at_ms, how))

    def die(self) -> None:
        """Kill the process: connections are reset and new ones refused."""
        self.end("died")

    def stop(self) -> None:
        """Shut down gracefully: accept nothing more and end once every held request is answered."""
        self.is_stopping = self.draining = True
        if self.listener is not None:
            self.listener.close()
        for connection in [c for c in self.connections if c.job is None]:
            connection.close()
        self.end_if_drained()

    def end_if_drained(self) -> None:
        """End the process if it is shutting down and has answered every request."""
        if self.is_stopping and not any(c.job for c in self.connections):
            self.end()

    # --- scripted faults

    def drain(self) -> None:
        """Finish held requests and reject new ones."""
        self.draining = True

    def hang(self) -> None:
        """Hang the process: it answers nothing and starts no work until `resume`."""
        self.is_hung = True

    def vanish(self) -> None:
        """Emulate the loss of the machine: the process hangs and new connections get no answer at all.

        Linux ignores a SYN while the accept queue of a listener is full. The listener is therefore replaced
        by one whose queue holds a single connection, which is filled and never accepted.
        """
        self.hang()
        if self.listener is None or self._queue_fillers:
            return
        self.listener.close()
        listener = socket.socket(socket.AF_INET6 if ":" in self.host else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(0)
        self._queue_fillers = [listener, socket.create_connection((self.host, self.port), 1.0)]

    def resume(self) -> None:
        """End `hang`: answer what was finished meanwhile and go on."""
        self.is_hung = False
        finished, self.finished_while_hung = self.finished_while_hung, []
        for job in finished:
            self._finish(job)
        self._start_queued()

    def usurp(self) -> None:
        """Replace the process by another service at its address that answers 404 to every request."""
        for connection in list(self.connections):
            connection.abort()
        self.is_usurped = True

    def slow(self, factor: float) -> None:
        """Multiply the duration of all work that begins from now on."""
        self.slow_factor = factor

    def fail(self, share: float) -> None:
        """Answer this share of requests with status 500 after running them."""
        self.error_share = share

    # --- discovery entry and load reports

    def member(self, phase: str = "in_service") -> dict[str, Any]:
        """Return the entry of the server in the list of discovery."""
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

    def _sample_load(self) -> None:
        """Sample the load periodically; responses report each sample with a delay."""
        loop, machine, rng = asyncio.get_running_loop(), self.machine, self.rng
        queue = len(self.waiting)
        held = len(self.running) + len(self.finished_while_hung) + queue
        seen = [max(0, round(n * rng.gauss(1.0, machine.report_noise))) for n in (held, queue)]
        loop.call_later(
            machine.report_delay_ms / 1000, self._set_report, f"TEXT inflight={seen[0]}, queue={seen[1]}"
        )
        self._sample_timer = loop.call_later(
            machine.report_interval_ms / 1000 * rng.uniform(0.9, 1.1), self._sample_load
        )

    def _set_report(self, report: str) -> None:
        self.report = report

    # --- requests

    def next_connection(self) -> int:
        """Return the number of a new connection and update the peak connection rate."""
        self.connections_taken, at_ms = self.connections_taken + 1, now_ms()
        self._recent_connections_ms.append(at_ms)
        while self._recent_connections_ms[0] <= at_ms - 1_000:
            self._recent_connections_ms.popleft()
        self.busiest = max(self.busiest, len(self._recent_connections_ms))
        return self.connections_taken

    def _next_attempt_name(self) -> str:
        self._attempts += 1
        return f"{self.name}.{self._attempts}"

    def record_broken_request(self, connection: Connection) -> None:
        """Record a request whose connection ended before its last byte."""
        request, key = (connection.headers.get(n, "") for n in ("request-id", "idempotency-key"))
        first_at_ms = connection.first_at_ms or now_ms()
        self._record_received(connection, self._next_attempt_name(), request, key, "", 0.0, first_at_ms, None)

    def _record_received(
        self,
        connection: Connection,
        attempt: str,
        request: str,
        key: str,
        fingerprint: str,
        work_ms: float,
        first_at_ms: float,
        last_at_ms: float | None,
    ) -> None:
        self.journal.add(
            Received(
                self.name,
                self.incarnation,
                connection.number,
                attempt,
                request,
                key,
                fingerprint,
                work_ms,
                first_at_ms,
                last_at_ms,
            )
        )

    def receive(
        self,
        connection: Connection,
        fingerprint: str,
        target: str,
        headers: dict[str, str],
        first_at_ms: float,
    ) -> None:
        """Handle a complete request: queue it, which runs it if a core is free, or reject it."""
        at_ms, request, key = now_ms(), headers.get("request-id", ""), headers.get("idempotency-key", "")
        cls = self.site.find(target.partition("?")[0].removeprefix("/").partition("/")[0])
        if not request or cls is None or self.is_usurped:
            attempt = self._next_attempt_name()
            self._record_received(connection, attempt, request, key, fingerprint, 0.0, first_at_ms, at_ms)
            if request:
                self.journal.add(Replied(self.name, attempt, request, at_ms, 404, ""))
            connection.answer(404, b"not found\n")
            return
        # The same on every server: results must not depend on which server got the request.
        work_ms = cls.work(random.Random(f"{self.seed}:{key or request}"))
        work_ms += self.machine.handshake_ms if connection.is_fresh else 0.0
        job = Job(connection, self._next_attempt_name(), request, key, work_ms)
        connection.job = job
        self._record_received(connection, job.name, request, key, fingerprint, work_ms, first_at_ms, at_ms)
        if (
            self.cold_start_budget is not None
            and self.cold_start_budget.add(at_ms - self.started_at_ms, work_ms) > 1.0
        ):
            self.end("fell")
            return
        job.overdue_at_ms = at_ms + _timeout_ms(headers.get("request-timeout", ""), cls)
        if not self.is_hung and (reason := self._rejection_reason(connection)):
            self._reject(job, reason)
            return
        if cls.effect is Idempotency.KEYED:
            scoped_key = self._scoped_key(cls, key)
            job.repeat = not self.seen_keys.add(scoped_key, at_ms, cls.memory_ms)
            job.scoped_key, job.work_ms = ("", 0.0) if job.repeat else (scoped_key, work_ms)
        self.waiting.append(job)
        self._start_queued()

    def _scoped_key(self, cls: RequestClass, key: str) -> str:
        """Return the key qualified by the class and by the group of servers that drops its repeats."""
        where = {
            DeduplicationScope.ALL: "",
            DeduplicationScope.ZONE: self.zone,
            DeduplicationScope.CELL: str(self.cell),
        }[cls.group]
        return f"{cls.name} {where} {key}"

    def _rejection_reason(self, connection: Connection) -> str:
        if connection.is_over_limit:
            return "too many connections"
        if self.draining:
            return "draining"
        if len(self.waiting) >= self.machine.queue and len(self.running) >= self.machine.cores:
            return "queue full"
        return ""

    def _reject(self, job: Job, reason: str) -> None:
        self.seen_keys.discard(job.scoped_key)
        if job.connection is not None:
            self.journal.add(TurnedAway(self.name, job.name, job.request, now_ms(), reason))
            job.connection.answer(503, reason.encode() + b"\n", "Not-Started: 1")

    def abandon(self, job: Job, by: str) -> None:
        """Handle the end of an attempt's connection: running work goes on, queued work may be dropped."""
        self.journal.add(LetGo(self.name, job.name, job.request, now_ms(), by))
        if self.machine.drops and job in self.waiting:
            self.waiting.remove(job)
            self.seen_keys.discard(job.scoped_key)

    def _start_queued(self) -> None:
        """Start queued work while a core is free."""
        while self.up and not self.is_hung and self.waiting and len(self.running) < self.machine.cores:
            job, at_ms = self.waiting.popleft(), now_ms()
            if self.machine.drops and at_ms > job.overdue_at_ms:
                self._reject(job, "the request is over")
                continue
            job.began_at_ms = at_ms
            job.cost_ms = job.work_ms * self._slowdown(at_ms)
            self.running.add(job)
            job.timer = asyncio.get_running_loop().call_later(job.cost_ms / 1000, self._finish, job)

    def _slowdown(self, at_ms: float) -> float:
        """Return the duration of a millisecond of work that begins now."""
        machine, held = self.machine, len(self.running) + len(self.waiting) + 1
        crowding = 1.0 + machine.crowding_slowdown * max(
            0.0, held / machine.cores - machine.crowding_threshold
        )
        current_speed = machine.speed * warm_up_share(
            self.cold_share, self.warm_ms, at_ms - self.started_at_ms
        )
        return self.slow_factor * crowding / current_speed

    def _record_run(self, job: Job, ended_at_ms: float | None) -> None:
        self.journal.add(
            Ran(
                self.name,
                self.incarnation,
                job.name,
                job.request,
                job.key,
                job.began_at_ms,
                ended_at_ms,
                job.cost_ms,
                job.repeat,
            )
        )

    def _finish(self, job: Job) -> None:
        if self.is_hung:
            self.finished_while_hung.append(job)
            return
        at_ms = now_ms()
        self.running.discard(job)
        self._record_run(job, at_ms)
        if job.connection is not None:
            status = 500 if self.rng.random() < self.error_share else 200
            body = f"{self.name}/{self.incarnation} {job.name} {job.request}" if status == 200 else "error"
            self.journal.add(Replied(self.name, job.name, job.request, at_ms, status, body))
            job.connection.answer(status, body.encode())
        self._start_queued()


def _timeout_ms(value: str, cls: RequestClass) -> float:
    """Return the timeout that the node sent, else that of the request class."""
    number, unit = value[:-1], value[-1:]
    try:
        return float(number) / {"m": 1.0, "u": 1000.0}[unit]
    except (KeyError, ValueError):
        return cls.give_up_ms


class Fleet:
    """Servers by name, each on its own address, spread evenly over the site's zones in cells of eight.

    They share one set of idempotency keys. The address plan has room for 60,000 servers.
    """

    def __init__(self, site: Site, journal: Journal, seed: int = 0) -> None:
        self.site, self.journal, self.seed = site, journal, seed
        self.seen_keys = SeenKeys()
        self.servers: dict[str, Server] = {}
        # Fleets that run at the same time use different networks: a restarted server finds its port free.
        self.second_octet = 16 + (os.getpid() + 7 * next(FLEET_NUMBERS)) % 200

    def __getitem__(self, name: str) -> Server:
        return self.servers[name]

    def add(self, name: str, machine: Machine | None = None, zone: str | None = None) -> Server:
        """Add a server without starting it."""
        index = len(self.servers)
        if name in self.servers or index >= 60_000:
            raise ValueError(f"cannot add server {name!r} to {index}: duplicate name or no free address")
        zones = self.site.zones
        zone_index = index % len(zones) if zone is None else zones.index(zone)
        cell = index // len(zones) // 8 * len(zones) + zone_index
        host = f"127.{self.second_octet}.{index // 250}.{index % 250 + 1}"
        server = Server(
            name,
            self.site,
            self.journal,
            self.seen_keys,
            machine=machine,
            zone=zones[zone_index],
            cell=cell,
            host=host,
            seed=self.seed,
        )
        self.servers[name] = server
        return server

    def members(self) -> list[dict[str, Any]]:
        """Return the discovery entries of all servers that are up."""
        up = [s for s in self.servers.values() if s.up]
        return [s.member("terminating" if s.draining else "in_service") for s in up]

    def stop(self) -> None:
        """End all servers."""
        for server in self.servers.values():
            server.end()
