"""Stand-in clients: arrivals that are drawn ahead and wait for no answer, and a pool of kept connections.

A client tries once, and once more by itself at most: after a refusal, where the node could not be reached,
and after any failure of what is safe to repeat. Each try has a name of its own and is given up after a part
of what the class allows. `Front` deals out new connections among the nodes, as the platform's does.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal, cast

import httptools

from balancer.endpoints import Address
from balancer.interface import DeduplicationScope, Idempotency
from balancer.testbed.backend_emulator import RESET, form_of
from balancer.testbed.event_log import (
    Answered,
    Asked,
    ClientLeft,
    Crossed,
    Journal,
    Unreached,
    Wanted,
    now_ms,
)
from balancer.testbed.service_profile import RequestClass, Site

AFTER_MS = 1_500.0  # that an answer is still waited for past its time: over what the judge may allow for
CONNECT_MS = 1_000.0
SETTLE_MS = 100.0  # that a connection is watched on after its answer: a second one must not come
CLOSED = 7  # TCP_INFO's state once a reset came
BODY = 500  # characters kept of an answer's body
Leave = Literal["close", "reset", "half"]


@dataclass(slots=True, frozen=True)
class Habits:
    """What clients do. Parts are of all requests; `bursts` are (from, until, factor), in seconds."""

    retries: int = 1  # 0 or 1
    try_part: tuple[float, float] = (0.7, 1.0)  # of the class's time, after which a try is given up
    wait_ms: tuple[float, float] = (12.0, 100.0)  # before a retry, where no advice is honoured
    honours: float = 0.9  # part that waits as long as `Retry-After` says
    leaves: float = 0.0  # part that leaves early
    leaves_by: tuple[Leave, ...] = ("close",)  # how these do, in turn over all requests
    uses: int = 0  # requests on one connection, after which its client closes it; 0: any number
    tenants: tuple[str, ...] = ("north", "south")
    bursts: tuple[tuple[float, float, float], ...] = ()


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request to come: when, from the start on, and what; `leaves_ms` is its client's patience.

    It leaves by a close, a reset, or by ending its own side alone, `half` of the connection.
    """

    at_ms: float
    name: str
    cls: RequestClass
    key: str
    tenant: str
    leaves_ms: float | None
    leaves_by: Leave = "close"


def draw(site: Site, rate: float, seconds: float, seed: int, habits: Habits | None = None) -> list[Arrival]:
    """Poisson arrivals at `rate` a second, times a burst's factor while it lasts."""
    rng, habits = random.Random(f"arrivals:{seed}"), habits or Habits()
    most = max([1.0, *(factor for _, _, factor in habits.bursts)])
    shares, at = [c.share for c in site.classes], 0.0
    out: list[Arrival] = []
    while (at := at + rng.expovariate(rate * most)) < seconds:
        factor = max([f for begin, end, f in habits.bursts if begin <= at < end], default=1.0)
        if rng.random() * most > factor:
            continue
        cls = rng.choices(site.classes, shares)[0]
        patience = rng.uniform(0.1, 0.9) * cls.aim_ms if rng.random() < habits.leaves else None
        name, tenant = f"{seed:04x}{len(out):012x}", rng.choice(habits.tenants)
        key = f"key-{name}" if cls.effect is Idempotency.KEYED else ""
        how = habits.leaves_by[len(out) % len(habits.leaves_by)]
        out.append(Arrival(at * 1000, name, cls, key, tenant, patience, how))
    return out


class Front:
    """The nodes that connections are dealt out among; who takes them in and out is the world's business."""

    def __init__(self) -> None:
        self.nodes: dict[str, Address] = {}
        self.turn = itertools.count()

    def deal(self) -> tuple[str, Address] | None:
        """The next node in turn, if there is any."""
        names = sorted(self.nodes)
        if not names:
            return None
        name = names[next(self.turn) % len(names)]
        return name, self.nodes[name]


class Outcome:
    """How a try ended."""

    __slots__ = ("retry_after_ms", "status", "whole")

    def __init__(self, status: int, whole: bool, retry_after_ms: float = 0.0) -> None:
        self.status, self.whole, self.retry_after_ms = status, whole, retry_after_ms

    @property
    def refused(self) -> bool:
        """Trying again is harmless."""
        return self.whole and self.status in (429, 503)

    @property
    def served(self) -> bool:
        """It was answered with 200."""
        return self.whole and self.status == 200


UNREACHED = Outcome(-1, False)


class Connection(asyncio.Protocol):
    """One connection to a node; it carries one request at a time."""

    def __init__(self, owner: Clients, node: str, sock: socket.socket) -> None:
        self.owner, self.node, self.sock = owner, node, sock
        self.transport: asyncio.Transport | None = None
        self.used = 0  # requests that were answered on it
        self.request = ""
        self.done: asyncio.Future[Outcome | None] | None = None  # None: it crossed the connection's end
        self.last = ""  # the request answered last
        self.was_reset = False
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.began, self.after, self.complete = b"", False, 0.0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport = cast(asyncio.Transport, transport)

    @property
    def open(self) -> bool:
        """Whether it may carry a request, as far as this side knows."""
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, request: str, data: bytes) -> asyncio.Future[Outcome | None]:
        """Write a request; the future has its end."""
        assert self.transport is not None
        self._reset()
        self.request = request
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.done

    def data_received(self, data: bytes) -> None:
        """Read an answer. What comes without a request is a second one to the last."""
        if self.done is None:
            if self.last:
                self.owner.journal.add(Answered(self.last, now_ms(), 0, False, "bytes after the answer"))
            self.close()
            return
        self.began = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish(False)
            return
        if self.complete:
            self._finish(True)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the advice to wait."""
        if name.lower() == b"retry-after":
            self.after = float(value) * 1000

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """An interim answer is none."""
        if self.parser.get_status_code() >= 200:
            if self.complete:
                self.owner.journal.add(Answered(self.request, now_ms(), 0, False, "a second answer"))
            self.complete, self.keep = True, self.parser.should_keep_alive()

    def _finish(self, whole: bool) -> None:
        done, self.done = self.done, None
        if done is None or done.done():
            return
        status = self.parser.get_status_code() if self.began and (whole or self.body) else 0
        body = self.body.decode("latin-1")[:BODY] if status == 200 else ""
        self.owner.journal.add(Answered(self.request, now_ms(), status, whole, body))
        self.used, self.last = self.used + 1, self.request
        done.set_result(Outcome(status, whole, self.after))
        if whole and self.keep:
            self.owner.release(self)
        else:
            self.close()

    def eof_received(self) -> None:
        """The node ended it; whether it had read what was written shows only now."""
        try:
            state = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return
        self.was_reset = state == CLOSED

    def connection_lost(self, exc: Exception | None) -> None:
        """Guards against calling lost what crossed a close between two requests: a node that read a request
        ends with a plain end, one that had it unread (or was gone before it came) with a reset.
        """
        self.owner.forget(self)
        if self.done is None or self.done.done():
            return
        crossed = self.used > 0 and not self.began and (self.was_reset or isinstance(exc, ConnectionError))
        if crossed:
            done, self.done = self.done, None
            self.owner.journal.add(Crossed(self.request, now_ms()))
            done.set_result(None)
        else:
            self._finish(False)

    def leave(self, how: Leave = "close") -> None:
        """Wait no longer; what may still come is for nobody."""
        self.done, self.last = None, ""
        if how == "half" and self.transport is not None and self.open:
            self.transport.write_eof()  # it goes once the node ends its side, or says something
            return
        if how == "reset" and self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self) -> None:
        """Nothing more is asked on it."""
        self.owner.forget(self)
        if self.transport is not None:
            self.transport.abort()


class Clients:
    """All clients of a world. `play` asks what was drawn, each request at its time."""

    def __init__(
        self, site: Site, journal: Journal, front: Front, seed: int, habits: Habits | None = None
    ) -> None:
        self.site, self.journal, self.front = site, journal, front
        self.habits = habits or Habits()
        self.rng = random.Random(f"clients:{seed}")
        self.idle: list[Connection] = []
        self.connections: set[Connection] = set()
        self.names = itertools.count(1)

    async def play(self, arrivals: Iterable[Arrival]) -> None:
        """Ask them all; returns once the last has its end."""
        start = now_ms()
        async with asyncio.TaskGroup() as tasks:
            for arrival in arrivals:
                wait = start + arrival.at_ms - now_ms()
                if wait > 0:
                    await asyncio.sleep(wait / 1000)
                tasks.create_task(self.ask(arrival))
        await asyncio.sleep(SETTLE_MS / 1000)

    def close(self) -> None:
        """End all connections."""
        for connection in list(self.connections):
            connection.close()

    # --- one request

    async def ask(self, arrival: Arrival) -> Outcome:
        """Ask, and once more where that is harmless."""
        cls, start = arrival.cls, now_ms()
        end = start + cls.give_up_ms
        self.journal.add(Wanted(arrival.name, cls.name, start, start + cls.aim_ms, cls.worth))
        retries, name = self.habits.retries, arrival.name
        while True:
            give_up = min(now_ms() + self.rng.uniform(*self.habits.try_part) * cls.give_up_ms, end)
            outcome = await self._try(arrival, name, give_up)
            if outcome is None:
                return Outcome(0, False)  # the client has left
            if outcome.served or not retries or not _harmless(cls, outcome):
                return outcome
            wait = self.rng.uniform(*self.habits.wait_ms)
            if outcome.retry_after_ms and self.rng.random() < self.habits.honours:
                wait = min(outcome.retry_after_ms, self.site.max_retry_after_ms)
            if now_ms() + wait >= end - 1:
                return outcome
            await asyncio.sleep(wait / 1000)
            retries -= 1
            name = f"{next(self.names):08x}{arrival.name[-8:]}"

    async def _try(self, arrival: Arrival, name: str, give_up: float) -> Outcome | None:
        """One try: its end, or None where the client left early."""
        cls, target = arrival.cls, f"/{arrival.cls.name}/x?obj={arrival.name[-6:]}"
        body = json.dumps({"for": arrival.name}).encode() if cls.method == "POST" else b""
        for _ in range(2):
            connection = await self._connection()
            if isinstance(connection, str):
                self.journal.add(Unreached(name, connection, now_ms()))
                return UNREACHED
            at = now_ms()
            if at >= give_up:  # the connection came too late: nobody asks for what nobody waits for
                self.release(connection)
                self.journal.add(Unreached(name, connection.node, at))
                return UNREACHED
            lines = [
                f"{cls.method} {target} HTTP/1.1",
                "Host: api.internal",
                f"Request-Id: {name}",
                f"Tenant: {arrival.tenant}",
                f"Request-Timeout: {max(1, int((give_up - at) * 1000))}u",
            ]
            if arrival.key:
                lines.append(f"Idempotency-Key: {arrival.key}")
            if cls.method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            if name != arrival.name:
                lines.append("Client-Retry: 1")
            form = form_of(cls.method, target, body)
            self.journal.add(
                Asked(
                    name,
                    arrival.name,
                    connection.node,
                    cls.name,
                    arrival.key,
                    arrival.tenant,
                    form,
                    at,
                    give_up,
                )
            )
            done = connection.ask(name, "\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            patience = arrival.leaves_ms
            wait = give_up + AFTER_MS - at if patience is None else patience
            await asyncio.wait([done], timeout=max(0.0, wait) / 1000)
            if not done.done():
                connection.leave(arrival.leaves_by)
                if patience is None:
                    return Outcome(0, False)
                self.journal.add(ClientLeft(name, now_ms()))
                return None
            if (outcome := done.result()) is not None:
                return outcome
        return Outcome(0, False)

    # --- connections

    async def _connection(self) -> Connection | str:
        """An idle connection, else a new one to the next node; its name where that does not come up."""
        while self.idle:
            connection = self.idle.pop(self.rng.randrange(len(self.idle)))
            if connection.open:
                return connection
        dealt = self.front.deal()
        if dealt is None:
            return ""
        node, address = dealt
        loop, sock = asyncio.get_running_loop(), socket.socket()
        sock.setblocking(False)
        connection = Connection(self, node, sock)
        try:
            async with asyncio.timeout(CONNECT_MS / 1000):
                await loop.sock_connect(sock, address)
                await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            return node
        self.connections.add(connection)
        return connection

    def release(self, connection: Connection) -> None:
        """It can be asked on again."""
        if self.habits.uses and connection.used >= self.habits.uses and connection.transport is not None:
            connection.transport.close()
            return
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """It has ended."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)


def _harmless(cls: RequestClass, outcome: Outcome) -> bool:
    """Whether a client may try again by itself."""
    if outcome.refused or outcome is UNREACHED or cls.effect is Idempotency.IDEMPOTENT:
        return True
    return cls.effect is Idempotency.KEYED and cls.group is DeduplicationScope.ALL
