"""Open-loop load generator: arrivals that are drawn in advance, and a pool of keep-alive connections.

A client sends a request once and retries it at most once: after a rejection, if the node could not be
reached, and after any failure of a request that is safe to repeat. Each try has its own name and times out
after a share of the time that the class allows. `FrontEnd` distributes new connections among the nodes, as
the platform does.
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
from balancer.testbed.backend_emulator import RESET_ON_CLOSE, request_fingerprint
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

LATE_RESPONSE_WAIT_MS = 1_500.0  # wait for a late response: more than the checker may excuse
CONNECT_TIMEOUT_MS = 1_000.0
SETTLE_MS = 100.0  # time after the last response in which a second one is still detected
TCP_CLOSE_STATE = 7  # state in TCP_INFO after a reset: TCP_CLOSE
MAX_RECORDED_CHARACTERS = 500  # of the body of a response
Disconnect = Literal["close", "reset", "half"]


@dataclass(slots=True, frozen=True)
class Habits:
    """Behavior of clients. Shares are of all requests; `bursts` are (from, until, factor), in seconds."""

    retries: int = 1  # 0 or 1
    try_timeout_share: tuple[float, float] = (0.7, 1.0)  # range, as a share of the class's time
    wait_ms: tuple[float, float] = (12.0, 100.0)  # range of the delay before a retry without `Retry-After`
    follows_retry_after: float = 0.9  # share of retries that follow `Retry-After`
    leaves: float = 0.0  # share of requests whose client disconnects early
    leaves_by: tuple[Disconnect, ...] = ("close",)  # ways to disconnect, in turn over all requests
    uses: int = 0  # requests per connection before the client closes it; 0: unlimited
    tenants: tuple[str, ...] = ("north", "south")
    bursts: tuple[tuple[float, float, float], ...] = ()


@dataclass(slots=True, frozen=True)
class Arrival:
    """A planned request: its time from the start of the run, and its content.

    A client with `leaves_ms` disconnects after that time, by a close, a reset or a half-close.
    """

    at_ms: float
    name: str
    cls: RequestClass
    key: str
    tenant: str
    leaves_ms: float | None
    leaves_by: Disconnect = "close"


def draw(site: Site, rate: float, seconds: float, seed: int, habits: Habits | None = None) -> list[Arrival]:
    """Draw Poisson arrivals at `rate` per second, multiplied by a burst's factor while it lasts."""
    rng, habits = random.Random(f"arrivals:{seed}"), habits or Habits()
    peak_factor = max([1.0, *(factor for _, _, factor in habits.bursts)])
    shares, at_s = [request_class.share for request_class in site.classes], 0.0
    arrivals: list[Arrival] = []
    while (at_s := at_s + rng.expovariate(rate * peak_factor)) < seconds:
        factor = max(
            [burst_factor for begin, end, burst_factor in habits.bursts if begin <= at_s < end], default=1.0
        )
        if rng.random() * peak_factor > factor:
            continue
        cls = rng.choices(site.classes, shares)[0]
        patience_ms = rng.uniform(0.1, 0.9) * cls.aim_ms if rng.random() < habits.leaves else None
        name, tenant = f"{seed:04x}{len(arrivals):012x}", rng.choice(habits.tenants)
        key = f"key-{name}" if cls.effect is Idempotency.KEYED else ""
        leaves_by = habits.leaves_by[len(arrivals) % len(habits.leaves_by)]
        arrivals.append(Arrival(at_s * 1000, name, cls, key, tenant, patience_ms, leaves_by))
    return arrivals


class FrontEnd:
    """Distributes connections among nodes round robin; the cluster adds and removes the nodes."""

    def __init__(self) -> None:
        self.nodes: dict[str, Address] = {}
        self.turns = itertools.count()

    def next_node(self) -> tuple[str, Address] | None:
        """Return the name and address of the next node, or None if there are no nodes."""
        names = sorted(self.nodes)
        if not names:
            return None
        name = names[next(self.turns) % len(names)]
        return name, self.nodes[name]


class Outcome:
    """The result of a try: -1 if the node was not reached, 0 without a usable response, else the status."""

    __slots__ = ("retry_after_ms", "status", "whole")

    def __init__(self, status: int, whole: bool, retry_after_ms: float = 0.0) -> None:
        self.status, self.whole, self.retry_after_ms = status, whole, retry_after_ms

    @property
    def refused(self) -> bool:
        """Whether the node rejected the request without starting it."""
        return self.whole and self.status in (429, 503)

    @property
    def served(self) -> bool:
        """Whether a complete response with status 200 arrived."""
        return self.whole and self.status == 200


UNREACHED = Outcome(-1, False)


class Connection(asyncio.Protocol):
    """A connection to a node; it carries one request at a time."""

    def __init__(self, owner: Clients, node: str, sock: socket.socket) -> None:
        self.owner, self.node, self.sock = owner, node, sock
        self.transport: asyncio.Transport | None = None
        self.request_count = 0  # requests that have ended on this connection
        self.request = ""
        self.done: asyncio.Future[Outcome | None] | None = None  # result None: crossed a close
        self.last_request = ""  # the name of the previous request
        self.was_reset = False
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.has_response, self.retry_after_ms, self.is_complete = b"", False, 0.0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry a request, as far as this side knows."""
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, request: str, data: bytes) -> asyncio.Future[Outcome | None]:
        """Write a request; return a future of its outcome."""
        assert self.transport is not None
        self._reset()
        self.request = request
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.done

    def data_received(self, data: bytes) -> None:
        """Parse a response; bytes without an open request count as a second response to the previous one."""
        if self.done is None:
            if self.last_request:
                self.owner.journal.add(
                    Answered(self.last_request, now_ms(), 0, False, "bytes after the answer")
                )
            self.close()
            return
        self.has_response = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish(False)
            return
        if self.is_complete:
            self._finish(True)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the delay from `Retry-After`."""
        if name.lower() == b"retry-after":
            self.retry_after_ms = float(value) * 1000

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete; interim responses (1xx) are ignored."""
        if self.parser.get_status_code() >= 200:
            if self.is_complete:
                self.owner.journal.add(Answered(self.request, now_ms(), 0, False, "a second answer"))
            self.is_complete, self.may_reuse = True, self.parser.should_keep_alive()

    def _finish(self, whole: bool) -> None:
        done, self.done = self.done, None
        if done is None or done.done():
            return
        status = self.parser.get_status_code() if self.has_response and (whole or self.body) else 0
        body = self.body.decode("latin-1")[:MAX_RECORDED_CHARACTERS] if status == 200 else ""
        self.owner.journal.add(Answered(self.request, now_ms(), status, whole, body))
        self.request_count, self.last_request = self.request_count + 1, self.request
        done.set_result(Outcome(status, whole, self.retry_after_ms))
        if whole and self.may_reuse:
            self.owner.release(self)
        else:
            self.close()

    def eof_received(self) -> None:
        """Check for a reset: whether the node had read the request can be seen only now."""
        try:
            state = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return
        self.was_reset = state == TCP_CLOSE_STATE

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the open request: it is either lost or crossed the close of a keep-alive connection.

        A node that has read a request closes without a reset. A node that has not read it, or was gone before
        it arrived, causes a reset: such a request did not start and must not be counted as lost.
        """
        self.owner.discard(self)
        if self.done is None or self.done.done():
            return
        is_crossed = (
            self.request_count > 0
            and not self.has_response
            and (self.was_reset or isinstance(exc, ConnectionError))
        )
        if is_crossed:
            done, self.done = self.done, None
            self.owner.journal.add(Crossed(self.request, now_ms()))
            done.set_result(None)
        else:
            self._finish(False)

    def leave(self, how: Disconnect = "close") -> None:
        """Give up the open request; a later response is ignored."""
        self.done, self.last_request = None, ""
        if how == "half" and self.transport is not None and self.is_open:
            self.transport.write_eof()  # closes once the node closes its side or sends data
            return
        if how == "reset" and self.is_open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Abort the connection and remove it from the pool."""
        self.owner.discard(self)
        if self.transport is not None:
            self.transport.abort()


class Clients:
    """All clients of a cluster; `play` sends the drawn requests, each at its time."""

    def __init__(
        self, site: Site, journal: Journal, front: FrontEnd, seed: int, habits: Habits | None = None
    ) -> None:
        self.site, self.journal, self.front = site, journal, front
        self.habits = habits or Habits()
        self.rng = random.Random(f"clients:{seed}")
        self.idle: list[Connection] = []
        self.connections: set[Connection] = set()
        self.retry_numbers = itertools.count(1)

    async def play(self, arrivals: Iterable[Arrival]) -> None:
        """Send all requests at their times; return once the last has ended."""
        start_ms = now_ms()
        async with asyncio.TaskGroup() as tasks:
            for arrival in arrivals:
                wait_ms = start_ms + arrival.at_ms - now_ms()
                if wait_ms > 0:
                    await asyncio.sleep(wait_ms / 1000)
                tasks.create_task(self.ask(arrival))
        await asyncio.sleep(SETTLE_MS / 1000)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()

    # --- one request

    async def ask(self, arrival: Arrival) -> Outcome:
        """Send a request, with retries where they are safe, and return the outcome of the last try."""
        cls, start_ms = arrival.cls, now_ms()
        end_ms = start_ms + cls.give_up_ms
        self.journal.add(Wanted(arrival.name, cls.name, start_ms, start_ms + cls.aim_ms, cls.worth))
        retries, name = self.habits.retries, arrival.name
        while True:
            give_up_at_ms = min(
                now_ms() + self.rng.uniform(*self.habits.try_timeout_share) * cls.give_up_ms, end_ms
            )
            outcome = await self._try(arrival, name, give_up_at_ms)
            if outcome is None:
                return Outcome(0, False)  # the client has disconnected
            if outcome.served or not retries or not _may_retry(cls, outcome):
                return outcome
            wait_ms = self.rng.uniform(*self.habits.wait_ms)
            if outcome.retry_after_ms and self.rng.random() < self.habits.follows_retry_after:
                wait_ms = min(outcome.retry_after_ms, self.site.max_retry_after_ms)
            if now_ms() + wait_ms >= end_ms - 1:
                return outcome
            await asyncio.sleep(wait_ms / 1000)
            retries -= 1
            name = f"{next(self.retry_numbers):08x}{arrival.name[-8:]}"

    async def _try(self, arrival: Arrival, name: str, give_up_at_ms: float) -> Outcome | None:
        """Send a request once; return its outcome, or None if the client disconnected early."""
        cls, target = arrival.cls, f"/{arrival.cls.name}/x?obj={arrival.name[-6:]}"
        body = json.dumps({"for": arrival.name}).encode() if cls.method == "POST" else b""
        for _ in range(2):
            connection = await self._get_connection()
            if isinstance(connection, str):
                self.journal.add(Unreached(name, connection, now_ms()))
                return UNREACHED
            asked_at_ms = now_ms()
            if asked_at_ms >= give_up_at_ms:  # the timeout passed while connecting: sending is pointless
                self.release(connection)
                self.journal.add(Unreached(name, connection.node, asked_at_ms))
                return UNREACHED
            lines = [
                f"{cls.method} {target} HTTP/1.1",
                "Host: api.internal",
                f"Request-Id: {name}",
                f"Tenant: {arrival.tenant}",
                f"Request-Timeout: {max(1, int((give_up_at_ms - asked_at_ms) * 1000))}u",
            ]
            if arrival.key:
                lines.append(f"Idempotency-Key: {arrival.key}")
            if cls.method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            if name != arrival.name:
                lines.append("Client-Retry: 1")
            fingerprint = request_fingerprint(cls.method, target, body)
            self.journal.add(
                Asked(
                    name,
                    arrival.name,
                    connection.node,
                    cls.name,
                    arrival.key,
                    arrival.tenant,
                    fingerprint,
                    asked_at_ms,
                    give_up_at_ms,
                )
            )
            done = connection.ask(name, "\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            patience_ms = arrival.leaves_ms
            wait_ms = (
                give_up_at_ms + LATE_RESPONSE_WAIT_MS - asked_at_ms if patience_ms is None else patience_ms
            )
            await asyncio.wait([done], timeout=max(0.0, wait_ms) / 1000)
            if not done.done():
                connection.leave(arrival.leaves_by)
                if patience_ms is None:
                    return Outcome(0, False)
                self.journal.add(ClientLeft(name, now_ms()))
                return None
            if (outcome := done.result()) is not None:
                return outcome
        return Outcome(0, False)

    # --- connections

    async def _get_connection(self) -> Connection | str:
        """Return an idle or a new connection, or the name of the node that could not be reached."""
        while self.idle:
            connection = self.idle.pop(self.rng.randrange(len(self.idle)))
            if connection.is_open:
                return connection
        chosen = self.front.next_node()
        if chosen is None:
            return ""
        node, address = chosen
        loop, sock = asyncio.get_running_loop(), socket.socket()
        sock.setblocking(False)
        connection = Connection(self, node, sock)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await loop.sock_connect(sock, address)
                await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            return node
        self.connections.add(connection)
        return connection

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it after its maximum of requests."""
        if (
            self.habits.uses
            and connection.request_count >= self.habits.uses
            and connection.transport is not None
        ):
            connection.transport.close()
            return
        self.idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Remove a connection that has ended from the pool."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)


def _may_retry(cls: RequestClass, outcome: Outcome) -> bool:
    """Whether a client may retry after an outcome without risk of a second effect."""
    if outcome.refused or outcome is UNREACHED or cls.effect is Idempotency.IDEMPOTENT:
        return True
    return cls.effect is Idempotency.KEYED and cls.group is DeduplicationScope.ALL
