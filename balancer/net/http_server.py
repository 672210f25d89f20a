"""The client side: `/up`, requests, answers, closing."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
from functools import partial
from typing import cast
from urllib.parse import parse_qs

import httptools

from balancer import interface as api
from balancer.core.connection_admission import (
    MAX_FORWARDED_BODY_BYTES,
    MAX_OVERLOAD_CONNECTIONS,
    MIN_UNREAD_BUDGET_BYTES,
    UNBUDGETED_BODY_BYTES,
    UnreadResponses,
)
from balancer.core.shutdown_deadlines import FIRST_BYTE_TIMEOUT_MS, ShutdownDeadlines
from balancer.endpoints import Address
from balancer.interface import Idempotency
from balancer.net.listener import Listener, SlotState
from balancer.net.request_dispatcher import RequestDispatcher

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 16 * 1024
MAX_READ_TURN_S = (
    0.01  # s between two reads of what nobody asked for: 26 MB a second, so 4 MB hide no leaving for 0.3 s
)
LINGERING_CLOSE_S = 0.5  # s for a client to read its last answer before the connection is torn down
WRITE_HIGH_WATER_BYTES = (
    64 * 1024
)  # unread bytes behind which requests in a packet that was already read are left
LOG_INTERVAL_S = 10.0  # s between two lines on clients that do not read
SLOW_REQUEST_TIMEOUT_S = (
    2.3  # s for a request to come in whole once its connection is up, or once it has begun on a used one
)
SILENT_CONNECTION_TIMEOUT_S = (
    1.0  # s without a word after which a new connection goes before used ones where they are too many
)
IDLE_TIMEOUT_S = 60.0  # s that a connection is kept between two requests
IDLE_TIMEOUT_UNDER_PRESSURE_S = (
    2.1  # the same where more than FEW of all that may be there are idle; first answers close then
)
IDLE_PRESSURE_RATIO = 1 / 8
CLOSE_STEP_RATIO = 0.02  # s between two looks at what is still owed, once the node ends
SWEEP_INTERVAL_S = 0.2  # s between two looks for connections whose time is up
RELEVANT_HEADERS = frozenset(
    {  # headers that a client's request has, and the front's question has not
        b"request-id",
        b"request-timeout",
        b"tenant",
        b"idempotency-key",
        b"client-retry",
        b"work-hint",
        b"request-info",
    }
)
SINGLE_VALUE_HEADERS = frozenset({b"request-id", b"idempotency-key", b"request-timeout", b"host"})
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}
TIMEOUT_PATTERN = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")


class BadRequestError(ValueError):
    """What a client sent cannot be served."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


def parse_timeout(value: bytes) -> float:
    """A `Request-Timeout` in milliseconds."""
    found = TIMEOUT_PATTERN.fullmatch(value.strip())
    if found is None or not (number := float(found[1])):
        raise BadRequestError(400, "bad Request-Timeout")
    return number if found[2] == b"m" else number / 1000


def render(method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, wait: float) -> bytes:
    """A request as it goes on to a backend that the node will wait `wait` milliseconds for."""
    lines = [
        b"%b %b HTTP/1.1" % (method, target),
        b"Host: " + headers.get(b"host", b"backend"),
        b"Request-Id: " + headers[b"request-id"],
        b"Request-Timeout: %du" % max(1, int(wait * 1000)),
    ]
    if b"idempotency-key" in headers:
        lines.append(b"Idempotency-Key: " + headers[b"idempotency-key"])
    if b"content-type" in headers:
        lines.append(b"Content-Type: " + headers[b"content-type"])
    if body or method != b"GET":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class ClientConnection(asyncio.Protocol):
    """One client connection; it carries one request at a time."""

    def __init__(self, front: HttpServer) -> None:
        self.server, self.node = front, front.node
        self.transport: asyncio.Transport | None = None
        self.request: str | None = None  # the open one
        self.closing = self.mid = self.close_after = False
        self.over = False  # it came when there were too many, and gets one answer
        self.keep_alive = True
        self.asked = 0  # whole requests that came on it
        self.left = 0  # bytes that came once it was closing
        self.aborted = False
        self.blocked = False  # the kernel has not taken all that was written
        self.until = 0.0  # ms, the latest deadline of its requests
        self.parser = httptools.HttpRequestParser(self)
        self.in_line, self.line = True, b""  # what comes next is of a request line; what came of it before
        self.raw = b""  # its target as it came, where that is not what the parser was given
        self.long = 0  # bytes of the request's body beyond the usual, until it is answered
        self._reset()

    def _reset(self) -> None:
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self._forget()
        self.head = self.size = 0
        self.in_body = False

    def _forget(self) -> None:
        """Hold no body: guards memory against those of all connections that rest."""
        self.body: list[bytes] = []
        self.node.large_body_budget.release(self.long)
        self.long = 0

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection in, over the cap too: it gets a plain answer and is closed."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        self.transport.set_write_buffer_limits(high=0)  # blocked from the first byte that is left over
        self.server.connection_accepted(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has left; a request that it waited for is owed no more."""
        self.closing = True
        self._forget()
        self.server.lost(self)
        if self.request is not None:
            name, self.request = self.request, None
            self.node.client_left(name)

    def pause_writing(self) -> None:
        """The client does not read its answer: no more is read from it.

        Guards memory against clients that ask and never read. What it asks waits in the kernel.
        """
        assert self.transport is not None
        self.blocked = True
        self.transport.pause_reading()
        if not self.closing:
            self.server.forget(self)
        self.server.held(self)

    def resume_writing(self) -> None:
        """The kernel has taken all; go on as if it had at once."""
        assert self.transport is not None
        self.blocked = False
        self.server.unread.discard(self)
        if self.closing:
            self.server.loop.call_later(LINGERING_CLOSE_S, self.transport.abort)
            return
        self.transport.resume_reading()
        if self.mid:
            self.server.waiting[self] = self.server.loop.time()
        elif self.request is None:
            self.server.idle[self] = self.server.loop.time()

    def abort(self) -> None:
        """End it with what it has not read."""
        if self.transport is not None:
            self.closing = self.aborted = True
            self.server.forget(self)
            self.server.unread.discard(self)
            self.server.going.add(self)
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read a request; what cannot be read gets a plain answer and a close."""
        if self.closing or self.close_after:
            # The answer under way says `Connection: close`: what follows is for another connection. A little
            # of it is taken from the kernel, as a close over unread bytes resets; a flood is taken slowly,
            # one read (256 KiB at most) in each `GULP`: its end is the only sign that the client has left.
            self.left += len(data)
            if self.left > UNBUDGETED_BODY_BYTES and self.transport is not None:
                self.transport.pause_reading()
                self.server.loop.call_later(MAX_READ_TURN_S, self._read_on)
            return
        if self.in_line:
            data = self._escape(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._end_here()
        except httptools.HttpParserError as err:
            cause = err.__context__
            if isinstance(cause, BadRequestError):
                self._reject(cause.code, str(cause))
            elif isinstance(err, httptools.HttpParserCallbackError):
                log.exception("request failed")
                self._reject(500, "internal error")
            else:
                self._reject(400, "malformed request")
        if self.mid and not self.in_body:
            # Guards memory against a header without end: the parser keeps it all and calls only at its end.
            self.head += len(data)
            if self.head > MAX_HEAD_BYTES:
                self._reject(431, "headers too long")
        if self.close_after and self.request is None:
            self._lingering_close()  # a request was left unread behind answers that are
        if self.mid and not (self.closing or self.blocked):
            self.server.waiting.setdefault(self, self.server.loop.time())

    def _escape(self, data: bytes) -> bytes:
        """Percent-encode letters outside ASCII in the request line: the parser refuses what clients send.

        The target goes on to a backend as it came.
        """
        line, ends, rest = (data if self.line else data.lstrip(b"\r\n")).partition(b"\n")
        whole = self.line = self.line + line  # its length is bounded by the head's
        if ends:
            self.in_line, self.line = False, b""
        if line.isascii() and (not ends or whole.isascii()):
            return data
        if ends:
            self.raw = b"".join(whole.split()[1:2])  # some clients send two spaces, or no version
        return b"".join(b"%%%02X" % c if c > 127 else bytes((c,)) for c in line) + ends + rest

    def _read_on(self) -> None:
        if self.transport is not None and not (self.blocked or self.transport.is_closing()):
            self.transport.resume_reading()

    def _end_here(self) -> None:
        """Read no more: the parser stops at an upgrade, which is not to be had here.

        Guards against a second answer where the request was answered at once.
        """
        self.close_after = True
        if self.request is None:
            self._lingering_close()

    def too_slow(self) -> None:
        """Its request did not come in whole in time."""
        if self.mid:
            self._reject(408, "request took too long")
        elif self.request is None:
            self.close()

    def end(self) -> None:
        """The node ends: turn away a request that is not whole, and take no other."""
        if self.mid:
            self._write(503, b"this node ends\n")
        self.close()

    # --- httptools; a BadRequest that is raised here ends `feed_data`

    def on_message_begin(self) -> None:
        """A request begins; one that comes before the last is answered is left unread."""
        if self.request is not None or self.closing or self._high():
            # Guards against taking what comes in one packet behind an answer that closes: it would be lost.
            self.close_after = True
            return
        self._reset()
        self.mid = True
        # One that begins behind another in its packet is read as it is: what comes next is no request line.
        self.in_line = bool(self.line)
        self.server.idle.pop(self, None)
        self.server.fresh.pop(self, None)

    def _high(self) -> bool:
        """Guards memory against hundreds of requests in one packet: reading stops with the next only."""
        return (
            self.blocked
            and self.transport is not None
            and self.transport.get_write_buffer_size() > WRITE_HIGH_WATER_BYTES
        )

    def on_url(self, url: bytes) -> None:
        """The request's target, in pieces."""
        if not self.close_after:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; a trailer is none."""
        if self.close_after or self.in_body:
            return
        self.size += len(name) + len(value)
        key = name.lower()
        if key in SINGLE_VALUE_HEADERS and key in self.headers:
            # Guards against a request that is one thing to this node and another to a backend.
            raise BadRequestError(400, "header given twice")
        if key == b"content-length" and (
            len(value) > 9 or int(value) > MAX_FORWARDED_BODY_BYTES
        ):  # zeros may be thousands
            raise BadRequestError(413, "body too large")
        self.headers[key] = value

    def on_headers_complete(self) -> None:
        """The head is whole; from here on the size is the body's."""
        if not self.close_after:
            if self.size + len(self.target) > MAX_HEAD_BYTES:
                raise BadRequestError(431, "headers too long")
            self.in_body, self.size = True, 0

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        if self.close_after:
            return
        self.size += len(body)
        if self.size > MAX_FORWARDED_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if (long := self.node.large_body_budget.reserve(self.long, self.size)) is None:
            raise BadRequestError(503, "too many long requests")  # nothing ran: turning it away is harmless
        self.long = long
        self.body.append(body)

    def on_message_complete(self) -> None:
        """The request is whole: it is taken from here on."""
        if self.close_after:
            return
        self.mid, self.in_line = False, True
        self.asked += 1
        self.server.waiting.pop(self, None)
        self.keep_alive = self.parser.should_keep_alive()
        try:
            self._take()
        except BadRequestError as err:
            self._reject(err.code, str(err))
        self.raw = b""

    # --- requests

    def _take(self) -> None:
        now, headers, node = self.node.now(), self.headers, self.node
        self.close_after = self.over
        method = self.parser.get_method()
        try:
            url = httptools.parse_url(self.target)
        except httptools.HttpParserInvalidURLError:
            raise BadRequestError(400, "bad target") from None
        path, query = url.path or b"/", url.query or b""
        cls = node.class_paths.find(path)
        # Where a class is called `up` the headers tell its requests from the question. Guards against serving
        # one that lacks its id with what no backend made.
        if path == b"/up" and (cls is None or not (query or headers.keys() & RELEVANT_HEADERS)):
            up = node.is_ready and not node.is_stopping
            self._write(200 if up else 503, b"up\n" if up else b"not up\n")
            return
        if cls is None:
            raise BadRequestError(404, "unknown class")
        if method != (b"GET" if cls.idempotency is Idempotency.IDEMPOTENT else b"POST"):
            raise BadRequestError(405, "the method does not go with the class")
        if cls.idempotency is Idempotency.KEYED and not headers.get(b"idempotency-key"):
            raise BadRequestError(400, "no Idempotency-Key")
        name = headers.get(b"request-id", b"").decode("latin-1")
        if not name:
            raise BadRequestError(400, "no Request-Id")
        if name in node.open_requests or name in node.deferred_request_ids:
            raise BadRequestError(409, "Request-Id is in use")
        wait = cls.deadline_ms
        if b"request-timeout" in headers:
            wait = min(wait, parse_timeout(headers[b"request-timeout"]))
        if self.server.ends is not None:
            # Guards against a request that is still open when SIGKILL comes.
            wait = min(wait, max(0.0, self.server.ends.respond_until_ms - now))
        key = parse_qs(query.decode("latin-1")).get("obj")
        if node.is_full() or self.over or self.server.unread.is_over_budget:
            # Guards the descriptors, open requests and memory: nothing ran, so turning it away is harmless.
            self._write(503, b"too many requests\n")
            return
        event = api.RequestArrived(
            request=name,
            class_name=cls.name,
            deadline_ms=now + wait,
            is_retry=headers.get(b"client-retry") == b"1",
            idempotency_key=key[0] if key else None,
            tenant=headers[b"tenant"].decode("latin-1") if b"tenant" in headers else None,
            work_hint=self._hint(),
            is_write=cls.idempotency is not Idempotency.IDEMPOTENT,
        )
        self.request, self.until = name, max(self.until, event.deadline_ms)
        target, body, self.body = self.raw or self.target, b"".join(self.body), []
        node.request_arrived(event, self, partial(render, method, target, headers, body))

    def _hint(self) -> float | None:
        value = self.headers.get(b"work-hint", b"")
        return int(value) / 1000 if value.isdigit() and len(value) < 13 else None

    # --- answers

    def served(self, body: bytes, content_type: bytes) -> None:
        """Pass on a backend's answer."""
        self.request = None
        self._write(200, body, b"Content-Type: %b\r\n" % content_type if content_type else b"")

    def refused(self, retry_after: float) -> None:
        """Turn the request away."""
        self.request = None
        extra = b"Retry-After: %.3f\r\n" % (retry_after / 1000) if retry_after > 0 else b""
        self._write(503, b"refused\n", extra)

    def failed(self) -> None:
        """Say that the request failed."""
        self.request = None
        self._write(502, b"failed\n")

    def _reject(self, code: int, why: str) -> None:
        if self.closing:
            return
        if self.request is not None:
            self.close_after = True  # the request before it gets its own answer first
            return
        self.mid = self.close_after = True
        self._write(code, why.encode() + b"\n")

    def _write(self, code: int, body: bytes, extra: bytes = b"") -> None:
        self._forget()
        if self.closing or self.transport is None:
            return
        close = self.close_after or self.node.is_stopping or not self.keep_alive
        # Guards against clients that ask once and keep their connection: what they hold keeps others out, and
        # only a new request could tell them from those who will ask again. One that was asked on again stays.
        close = close or (self.asked < 2 and self.server.pressed)
        if close:
            extra += b"Connection: close\r\n"
        head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n"
        self.transport.write(head % (code, REASON_PHRASES[code].encode(), extra, len(body)) + body)
        if self.blocked:
            self.server.held(self)  # what was left over before has become more
        if close:
            self._lingering_close()
        elif not self.blocked:
            self.server.idle[self] = self.server.loop.time()

    def close(self) -> None:
        """Close a connection that nothing is owed on; it counts until its descriptor is free.

        Guards against a close that never comes about: a transport puts it off until all is read.
        """
        if self.blocked:
            self._lingering_close()
        elif not self.closing and self.transport is not None:
            self.closing = True
            self.server.forget(self)
            self.server.going.add(self)
            self.transport.close()

    def _lingering_close(self) -> None:
        """Close once the client has read its answer.

        Guards against a reset that takes the answer with it: it is what closing does while bytes come in.
        """
        if not self.closing and self.transport is not None:
            self.closing = True
            self.server.forget(self)
            with contextlib.suppress(OSError):  # the client was first: its end is on its way here
                self.transport.write_eof()
            if not self.blocked:  # else once it is not, or when it has stalled
                self.server.loop.call_later(LINGERING_CLOSE_S, self.transport.abort)


class HttpServer:
    """The listener and its connections."""

    def __init__(
        self,
        node: RequestDispatcher,
        limit: int,
        budget: int = MIN_UNREAD_BUDGET_BYTES,
        over: int = MAX_OVERLOAD_CONNECTIONS,
    ) -> None:
        """At most `limit` connections, `over` more that get one answer, `budget` bytes of unread answers."""
        self.node, self.limit, self.over = node, limit, over
        self.unread: UnreadResponses[ClientConnection] = UnreadResponses(budget)
        self.ended, self.said = 0, -LOG_INTERVAL_S  # over unread answers, since the last line about it
        self.loop = asyncio.get_running_loop()
        self.connections: set[ClientConnection] = set()
        # Since when, longest first: no request on it, none yet; a request of its that has to come in whole.
        self.idle: dict[ClientConnection, float] = {}
        self.fresh: dict[ClientConnection, float] = {}
        self.waiting: dict[ClientConnection, float] = {}
        self.going: set[ClientConnection] = set()  # closed, their descriptors free in a turn or two
        self.ends: ShutdownDeadlines | None = None  # once the node is told to end
        self.listener = Listener(lambda: ClientConnection(self), self._free_slots)
        self.sweeper, self.swept = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep), self.loop.time()

    @property
    def is_under_idle_pressure(self) -> bool:
        """Whether there are more client connections than the cap."""
        return len(self.connections) > self.limit

    @property
    def pressed(self) -> bool:
        """Whether more than `FEW` of the connections that may be there stand idle."""
        return len(self.idle) > IDLE_PRESSURE_RATIO * self.limit

    @property
    def address(self) -> Address:
        """Where it listens; the port is the system's choice where the configuration says 0."""
        assert self.listener.sock is not None
        host, port = self.listener.sock.getsockname()[:2]
        return host, port

    async def listen(self, address: Address) -> None:
        """Accept connections on this address only."""
        await self.listener.listen(address)

    def _free_slots(self) -> SlotState:
        """Whether one more may come: a descriptor counts from accept until it is free.

        Where something idle can go the new one waits for its place, instead of taking another descriptor.
        """
        if len(self.connections) + len(self.listener.coming) < self.limit + self.over:
            return SlotState.FREE
        if not self.going:
            if (other := self._spare()) is None:
                return SlotState.NONE
            other.close()
        return SlotState.SOON_FREE

    def connection_accepted(self, connection: ClientConnection) -> None:
        """A connection came in; over the cap one that nothing is asked on goes."""
        self.connections.add(connection)
        self.listener.arrived(connection)
        if self.is_under_idle_pressure:
            # Only who comes too many is turned away: guards those who were here against a crowd.
            if (other := self._spare()) is not None:
                other.close()
            else:
                connection.over = True
        self.fresh[connection] = self.waiting[connection] = self.loop.time()

    def _spare(self) -> ClientConnection | None:
        """One mute for long, else the longest idle one: closing others may meet their first request."""
        mute, since = next(iter(self.fresh.items()), (None, 0.0))
        if mute is not None and self.loop.time() - since > SILENT_CONNECTION_TIMEOUT_S:
            return mute
        return next(iter(self.idle), mute)

    def _sweep(self) -> None:
        """Close what asks for nothing.

        Guards against clients that keep a connection: others may find none left to ask on.
        """
        last, self.swept = self.swept, self.loop.time()
        self.sweeper, now = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep), self.swept
        if now - last > 2 * SWEEP_INTERVAL_S:
            return  # guards what came while this process stood still: it is read before the next look
        while self.waiting and now - next(iter(self.waiting.values())) > SLOW_REQUEST_TIMEOUT_S:
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            connection.too_slow()
        while self.idle:
            connection, since = next(iter(self.idle.items()))
            if now - since <= (IDLE_TIMEOUT_UNDER_PRESSURE_S if self.pressed else IDLE_TIMEOUT_S):
                break
            connection.close()
        self._end_unread()

    def held(self, connection: ClientConnection) -> None:
        """Bytes of its answers are left over."""
        transport = connection.transport
        if transport is None or connection.aborted:
            return
        self.unread.update(connection, transport.get_write_buffer_size(), self.node.now(), connection.until)
        if self.unread.is_over_budget:
            self._end(self.unread.excess(self.node.now()))

    def _end_unread(self) -> None:
        """Look at who reads, and end who does not."""
        for connection in list(self.unread):
            self.held(connection)
        self._end(self.unread.stalled(self.node.now()))
        if self.ended and self.loop.time() - self.said >= LOG_INTERVAL_S:
            log.warning("%d connections ended whose clients do not read their answers", self.ended)
            self.ended, self.said = 0, self.loop.time()

    def _end(self, connections: list[ClientConnection]) -> None:
        for connection in connections:
            self.ended += 1
            connection.abort()

    def forget(self, connection: ClientConnection) -> None:
        """Nothing more is expected from it."""
        for table in (self.idle, self.fresh, self.waiting):
            table.pop(connection, None)

    def lost(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        self.going.discard(connection)
        self.forget(connection)
        self.unread.discard(connection)

    def stop(self) -> None:
        """Accept all that wait and no more. A request on its way is still taken."""
        self.listener.close()

    async def finish(self) -> None:
        """After `stop`: close what is idle, wait until clients have all answers, then end what is left.

        Bound: the time by which all is to be answered, and one look more. Looks are taken every `STEP`: what
        is owed is in many places, and comes back to some of them.
        """
        assert self.ends is not None
        mute, last = list[ClientConnection](), False
        while True:
            # Between two looks all that had come was read: guards a request that lies in the kernel.
            for connection in [c for c in mute if c in self.idle or c in self.fresh]:
                connection.close()
            left = (self.ends.respond_until_ms - self.node.now()) / 1000
            if last or not (self.connections or self.listener.coming or self.node.open_requests):
                break
            now, last = self.loop.time(), left <= CLOSE_STEP_RATIO
            mute = [
                c for c, since in self.fresh.items() if last or now - since >= FIRST_BYTE_TIMEOUT_MS / 1000
            ]
            mute += self.idle
            await asyncio.sleep(
                CLOSE_STEP_RATIO
            )  # where the end is late itself, too: what has come is turned away
            await asyncio.sleep(0)  # uvloop's timers go before the sockets; these are read in between
        await self.node.finish(0)
        for connection in list(self.connections):
            connection.end()
        self.sweeper.cancel()
