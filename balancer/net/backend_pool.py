"""Connections to backends: the pool, one attempt on a connection, its outcome and load report."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import cast

import httptools

from balancer import interface as api
from balancer.core.connection_admission import (
    MAX_FORWARDED_BODY_BYTES,
    UNBUDGETED_BODY_BYTES,
    LargeBodyBudget,
)
from balancer.core.stall_detector import STALL_THRESHOLD_MS
from balancer.endpoints import Address, EndpointRecord
from balancer.interface import AttemptStatus

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 16 * 1024
MAX_FRAMING_BYTES = (
    8 * UNBUDGETED_BODY_BYTES
)  # bytes of an answer beside its body: chunks of one byte are six times its size
IDLE_LIMIT_RATIO = 0.7  # part of the backend's idle limit after which this side closes
REUSE_DELAY_S = 0.01  # s from an answer to the next request: a second answer may come some milliseconds late
SWEEP_INTERVAL_RATIO = 0.1  # part of the idle limit between two looks for idle connections
RequestData = (
    bytes | Callable[[], bytes]
)  # a request, or what gives it as it is written, with the time left then
LOAD_REPORT_FIELDS = {
    "inflight": "in_flight",
    "active": "in_flight",
    "queue": "queued",
    "waiting": "queued",
    "util": "cpu_load",
    "cpu": "cpu_load",
    "latency_ms": "mean_time_ms",
    "avg_ms": "mean_time_ms",
    "qps": "requests_per_s",
    "rps": "requests_per_s",
    "eps": "errors_per_s",
    "err_rps": "errors_per_s",
}


def parse_load_report(value: str) -> api.LoadReport:
    """A load report header; fields of other names are skipped. Raises ValueError."""
    form, _, rest = value.partition(" ")
    out = api.LoadReport()
    try:
        if form != "TEXT":
            raise ValueError(form)
        for part in rest.split(","):
            name, text = part.strip().split("=")
            number = float(text)
            if not 0 <= number < math.inf:
                raise ValueError(text)
            if name in LOAD_REPORT_FIELDS:
                setattr(out, LOAD_REPORT_FIELDS[name], number)
    except ValueError:
        raise ValueError(f"not a load report: {value!r:.120}") from None
    return out


@dataclass(slots=True)
class BackendResponse:
    """How an attempt ended; `body` and `content_type` are those of a backend's 200."""

    status: AttemptStatus
    report: api.LoadReport | None = None
    body: bytes = b""
    content_type: bytes = b""


class Exchange:
    """One request on its way to one backend; `done` is called once with its end, unless it is dropped.

    It is moot where it can't be written by `begin_by`, on the monotonic clock.
    """

    __slots__ = ("connection", "data", "done", "start_before_ms")

    def __init__(
        self, data: RequestData, done: Callable[[BackendResponse], None], begin_by: float = math.inf
    ) -> None:
        self.data, self.done, self.start_before_ms = data, done, begin_by
        self.connection: BackendConnection | None = None

    @property
    def left(self) -> bool:
        """Whether the request's last byte may have left this node."""
        return self.connection is not None and self.connection.wrote and not self.connection.blocked

    def end(self, answer: BackendResponse) -> None:
        """Report the end."""
        self.connection = None
        self.done(answer)

    def drop(self) -> None:
        """Stop waiting. The connection is closed on return, so that no two copies are out at once."""
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.close()
            self.connection = None


class BackendConnections:
    """One backend: where it listens, whether it takes work, its idle connections, latest used last."""

    __slots__ = ("address", "idle", "is_listed")

    def __init__(self, address: Address) -> None:
        self.address, self.is_listed = address, True
        self.idle: list[BackendConnection] = []


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it carries one attempt at a time."""

    def __init__(self, pool: BackendPool, host: BackendConnections) -> None:
        self.pool, self.host, self.address = pool, host, host.address
        family = socket.AF_INET6 if ":" in host.address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.attempt: Exchange | None = None
        self.handed = False  # the descriptor is the transport's, which is its only owner from then on
        self.resting: asyncio.TimerHandle | None = None  # its attempt waits until it has rested
        self.closed = self.wrote = self.blocked = False
        self.idle_since = 0.0
        self.long = 0  # bytes of its answer's body beyond the usual
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self._forget()
        self.size = self.head = self.bytes = 0
        self.in_body = self.sized = False
        self.load = self.content_type = b""
        self.not_started = self.complete = self.excess = self.large = False

    def _forget(self) -> None:
        """Hold no body: guards memory against those of all connections that rest."""
        self.body: list[bytes] = []
        self.pool.long.release(self.long)
        self.long = 0

    # --- opening, closing

    async def open(self) -> None:
        """Connect, then write the attempt that waits for it."""
        loop = self.pool.loop
        try:
            async with asyncio.timeout(self.pool.connect_timeout):
                await loop.sock_connect(self.sock, self.address)
            # Two turns of the loop, and no wait: nothing ends it half-way, as both sides would close then.
            self.handed = True
            self.transport, _ = await loop.create_connection(lambda: self, sock=self.sock)
        except (OSError, TimeoutError):
            self._fail(AttemptStatus.CONNECT_FAILED)
            return
        if self.closed:
            self.transport.abort()
        else:
            self._begin()

    def rest(self, attempt: Exchange, wait: float) -> None:
        """Write the attempt in `wait` seconds, if nothing comes by then that belongs to the last one."""
        self.attempt, attempt.connection = attempt, self
        self.resting = self.pool.loop.call_later(wait, self._begin)

    def _begin(self) -> None:
        """Write the attempt that waits."""
        attempt = self.attempt
        stood = (
            self.resting is not None
            and time.monotonic() > self.idle_since + REUSE_DELAY_S + STALL_THRESHOLD_MS / 1000
        )
        if attempt is None:
            self.close()
        elif not self.host.is_listed or self.host.address != self.address or stood:
            # Guards against sending to a backend that was taken off the list while the attempt waited, and,
            # where the process stood still, may have been: the timer can come before that is read.
            self.resting = None
            self._fail(AttemptStatus.NOT_STARTED)
        elif not self.clean:
            self._fail(AttemptStatus.CONNECT_FAILED)
        else:
            self.resting = None
            self.write(attempt)

    @property
    def clean(self) -> bool:
        """Whether it is up, as far as this side knows, and nothing has come that no request asked for.

        Guards against taking what came behind one answer for the next: it may wait in the kernel still.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as err:
            return isinstance(err, BlockingIOError)
        return False

    def _fail(self, status: AttemptStatus) -> None:
        attempt, self.attempt, resting = self.attempt, None, self.resting
        self.close()
        if attempt is not None and resting is not None:
            self.pool.connect(self.host, attempt)  # nothing of it was written here
        elif attempt is not None:
            attempt.end(BackendResponse(status))

    def close(self) -> None:
        """Close now: transports would do it a turn of the loop later, after the next attempt went out."""
        if self.closed:
            return
        self.closed = True
        self.pool.count -= 1
        self._forget()
        if self.resting is not None:
            self.resting.cancel()
        if self in self.host.idle:
            self.host.idle.remove(self)
        if not self.handed:
            if self.task is not None and self.task is not asyncio.current_task():
                self.task.cancel()
            self.pool.loop.remove_writer(self.sock)  # the cancelled connect may do it a turn later, by number
            self.sock.close()
            return
        with contextlib.suppress(OSError):  # the other side was first
            self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:  # else `open` ends it, a turn or two from now
            self.transport.abort()

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep no bytes back: what a write leaves in the buffer has not left, and that must be known."""
        cast(asyncio.Transport, transport).set_write_buffer_limits(high=0)  # no subclass of it under uvloop

    def pause_writing(self) -> None:
        """Bytes of the request are still here."""
        self.blocked = True

    def resume_writing(self) -> None:
        """The request's last byte has left."""
        self.blocked = False

    def write(self, attempt: Exchange) -> None:
        """Send the attempt's request."""
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self._reset()
        # Guards against an effect doubled by a repeat whose connection came up after its window had ended.
        if time.monotonic() > attempt.start_before_ms:
            self._fail(AttemptStatus.NOT_STARTED)
            return
        data, attempt.data = attempt.data, b""
        # The transport alone holds what has not left: guards memory, as bodies may be long.
        if not (data := data if isinstance(data, bytes) else data()):
            self._fail(AttemptStatus.NOT_STARTED)  # its request is over
            return
        self.transport.write(data)
        self.wrote = True
        # Guards against calling a reset what never left: a write that fails at once closes the transport.
        if self.transport.is_closing():
            self._fail(AttemptStatus.CONNECT_FAILED)
        elif self.blocked and attempt.start_before_ms < math.inf:
            self.pool.loop.call_later(attempt.start_before_ms - time.monotonic(), self._late, attempt)

    def _late(self, attempt: Exchange) -> None:
        """Its window has ended: guards against an effect doubled by one whose last byte is still here."""
        if self.attempt is attempt and self.blocked:
            self._fail(AttemptStatus.NOT_STARTED)

    def connection_lost(self, exc: Exception | None) -> None:
        """A break before the request's last byte has left proves that it never ran; after, it may have."""
        self.transport = None  # nothing to abort: asyncio's own would end a second time, with a traceback
        self._fail(AttemptStatus.RESET if self.wrote and not self.blocked else AttemptStatus.CONNECT_FAILED)

    def eof_received(self) -> None:
        """The end of an answer whose head names none (RFC 9112, 6.3); of all else it is a break."""
        endless = self.in_body and not (self.attempt is None or self.blocked or self.complete or self.sized)
        # Guards against serving what was cut: a reset that has come by now may stand behind the end.
        if endless and not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.on_message_complete()
            self._finish(False)

    def data_received(self, data: bytes) -> None:
        """Read the answer; bytes that belong to none spoil the connection."""
        if self.attempt is None or not self.wrote:
            self._fail(AttemptStatus.CONNECT_FAILED)  # an attempt that waits for the connection never ran
            return
        fault = ""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            fault = f"broken answer: {err}"
        self.bytes += len(data)  # guards against chunks, extensions, trailers or interim answers without end
        if not self.in_body:
            self.head += len(data)  # guards memory against a header without end, which the parser would keep
        if self.complete and self.code == 200 and self.blocked:
            # Guards against serving what no backend made for it: none begins before the request's last byte.
            log.warning("backend %s:%d: an answer before the request was written", *self.address)
            self._fail(AttemptStatus.CONNECT_FAILED)
        elif self.complete:
            self._finish(not fault and not self.excess)
        elif fault or self.large or self.head > MAX_HEAD_BYTES or self.bytes - self.size > MAX_FRAMING_BYTES:
            log.warning("backend %s:%d: %s", *self.address, fault or "answer too large")
            self._fail(AttemptStatus.RESET)

    # --- httptools

    def on_message_begin(self) -> None:
        """A second answer is one too many."""
        self.excess = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the few headers that matter."""
        if self.complete or self.in_body:
            return  # a second answer's, or a trailer
        key = name.lower()
        self.sized = self.sized or key in (b"content-length", b"transfer-encoding")
        if key == b"content-length":
            # Known from the head: its body is not waited for. An interim answer has none, whatever it says.
            self.large = int(value) > MAX_FORWARDED_BODY_BYTES and self.parser.get_status_code() >= 200
        elif key == b"server-load":
            self.load = value
        elif key == b"not-started":
            self.not_started = value.strip() == b"1"
        elif key == b"content-type":
            self.content_type = value

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self.in_body = True

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        if self.complete or self.closed:
            return
        self.size += len(body)
        long = self.pool.long.reserve(self.long, self.size)
        self.large = self.large or self.size > MAX_FORWARDED_BODY_BYTES or long is None
        if long is not None:
            self.long = long
        if not self.large:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """The answer is whole, unless it was an interim one."""
        if self.complete:
            return
        self.code = self.parser.get_status_code()
        if self.code < 200:
            self.load = b""
            self.not_started = self.in_body = self.sized = False
            return
        self.complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _finish(self, clean: bool) -> None:
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        report = None
        if self.load:
            try:
                report = parse_load_report(self.load.decode("latin-1"))
            except ValueError as err:
                log.warning("backend %s:%d: %s", *self.address, err)
        answer = BackendResponse(AttemptStatus.ERROR, report)
        if self.code == 200 and not self.large:
            answer = BackendResponse(AttemptStatus.OK, report, b"".join(self.body), self.content_type)
        elif self.code in (503, 504) and self.not_started and not self.large:
            answer.status = AttemptStatus.REJECTED
        self._forget()
        self.pool.release(self, clean and self.keep_alive and not self.blocked)
        attempt.end(answer)


class BackendPool:
    """All connections to backends."""

    def __init__(self, settings: api.Settings, limit: int, long: LargeBodyBudget | None = None) -> None:
        """At most `limit` connections; their long bodies count into `long`."""
        self.long = long or LargeBodyBudget()
        self.connect_timeout = settings.connect_timeout_ms / 1000
        self.idle_limit = settings.connection_idle_ms / 1000
        self.limit, self.count = limit, 0
        self.hosts: dict[str, BackendConnections] = {}
        self.sweeper: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()

    def update(self, members: Iterable[EndpointRecord], removed: Iterable[str] = ()) -> None:
        """Take the changes of the view: idle connections to what leaves or moves go."""
        for name in removed:
            self._remove(name)
        for member in members:
            name = member.endpoint.id
            if (host := self.hosts.get(name)) is None:
                host = self.hosts[name] = BackendConnections(member.address)
            host.is_listed = member.endpoint.phase is api.Phase.UP
            if not host.is_listed or host.address != member.address:
                self.close_idle(name)
            host.address = member.address

    def _remove(self, name: str) -> None:
        """Forget a backend; an attempt that is out there ends on its own."""
        if name in self.hosts:
            self.hosts[name].is_listed = False
            self.close_idle(name)
            del self.hosts[name]

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a backend."""
        for connection in self.hosts[name].idle[:] if name in self.hosts else ():
            connection.close()

    def start(
        self,
        name: str,
        data: RequestData,
        done: Callable[[BackendResponse], None],
        begin_by: float = math.inf,
    ) -> Exchange:
        """Begin an attempt: on the connection used last, or on a new one. `done` may be called at once.

        One that has not rested is passed over, or waited for where there is no other: a new one takes longer.
        Guards against taking what comes late behind an answer for that of this request.
        """
        host = self.hosts[name]
        attempt = Exchange(data, done, begin_by)
        now = time.monotonic()  # the loop's own clock stands still while it works
        resting: BackendConnection | None = None  # the one that has rested longest
        for connection in reversed(host.idle[:]):
            if now - connection.idle_since < REUSE_DELAY_S:
                resting = connection
            elif now - connection.idle_since > IDLE_LIMIT_RATIO * self.idle_limit or not connection.clean:
                connection.close()
            else:
                host.idle.remove(connection)
                connection.write(attempt)
                return attempt
        if resting is not None and resting.clean:
            host.idle.remove(resting)
            resting.rest(attempt, REUSE_DELAY_S - (now - resting.idle_since))
        else:
            self.connect(host, attempt)
        return attempt

    def connect(self, host: BackendConnections, attempt: Exchange) -> None:
        """Begin an attempt on a new connection."""
        if not host.is_listed or (self.count >= self.limit and not self._evict()):
            attempt.end(BackendResponse(AttemptStatus.NOT_STARTED))
            return
        try:
            connection = BackendConnection(self, host)
        except OSError as err:  # guards the count of connections when no descriptor is left
            log.warning("no socket for a backend: %s", err)
            attempt.end(BackendResponse(AttemptStatus.NOT_STARTED))
            return
        self.count += 1
        connection.attempt, attempt.connection = attempt, connection
        connection.task = self.loop.create_task(connection.open())

    def _evict(self) -> bool:
        """Close the connection that has been idle longest."""
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def release(self, connection: BackendConnection, reusable: bool) -> None:
        """Take back a connection after its answer."""
        host = connection.host
        reusable = reusable and IDLE_LIMIT_RATIO * self.idle_limit > REUSE_DELAY_S
        if not reusable or not host.is_listed or host.address != connection.address or connection.closed:
            connection.close()
            return
        connection.wrote, connection.idle_since = False, time.monotonic()
        host.idle.append(connection)
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(
                max(SWEEP_INTERVAL_RATIO * self.idle_limit, 0.05), self._sweep
            )

    def _sweep(self) -> None:
        """Close what has been idle for long, well before the backend does so under a request."""
        self.sweeper, stale = None, time.monotonic() - IDLE_LIMIT_RATIO * self.idle_limit
        for host in self.hosts.values():
            for connection in [c for c in host.idle if c.idle_since < stale]:
                connection.close()
        if any(host.idle for host in self.hosts.values()):
            self.sweeper = self.loop.call_later(
                max(SWEEP_INTERVAL_RATIO * self.idle_limit, 0.05), self._sweep
            )

    def close(self) -> None:
        """Close all idle connections, at the end."""
        for name in self.hosts:
            self.close_idle(name)
        if self.sweeper is not None:
            self.sweeper.cancel()
