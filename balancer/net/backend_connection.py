"""One connection to a backend, and an attempt on it with its outcome.

- `BackendConnection`: one HTTP/1.1 connection; it writes a request and parses the response.
- `Exchange`: one attempt as the dispatcher sees it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

import httptools

from balancer import interface as api
from balancer.core.connection_admission import (
    MAX_FORWARDED_BODY_BYTES,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
)
from balancer.core.parsing_budget import ParsingAllowance
from balancer.core.response_attribution import LOOP_DELAY_TOLERANCE_MS, is_implausible
from balancer.core.stall_detector import STALL_THRESHOLD_MS
from balancer.interface import AttemptStatus
from balancer.net.body_buffer import BodyBuffer
from balancer.net.input_queue import READ_BUFFER_BYTES
from balancer.protocol.http_request import RenderedRequest
from balancer.protocol.load_report import parse_load_report

if TYPE_CHECKING:
    from balancer.net.backend_pool import BackendConnections, BackendPool

log = logging.getLogger(__name__)

RESPONSE_START = b"HTTP/1."
MIN_LOGGED_DELAY_CHANGE_MS = 4.0  # of the reuse delay of a backend
# A request, or a callable that renders it at write time with the time then left.
RequestData = bytes | Callable[[], RenderedRequest]


@dataclass(slots=True)
class BackendResponse:
    """The outcome of an attempt; `body` and `content_type` are set for a 200 from the backend."""

    status: AttemptStatus
    report: api.LoadReport | None = None
    body: bytes | memoryview = b""
    content_type: bytes = b""


class Exchange:
    """One request on its way to one backend; `on_done` is called once with the outcome, unless it is dropped.

    It is not started if it cannot be written by `start_before_s`, on the monotonic clock.
    """

    __slots__ = ("connection", "data", "on_done", "start_before_s")

    def __init__(
        self, data: RequestData, on_done: Callable[[BackendResponse], None], start_before_s: float = math.inf
    ) -> None:
        self.data, self.on_done, self.start_before_s = data, on_done, start_before_s
        self.connection: BackendConnection | None = None

    @property
    def may_have_left(self) -> bool:
        """Whether the last byte of the request may have left this node."""
        return (
            self.connection is not None
            and self.connection.has_written
            and not self.connection.is_write_blocked
        )

    def report_outcome(self, response: BackendResponse) -> None:
        """Report the outcome."""
        self.connection = None
        self.on_done(response)

    def drop(self) -> None:
        """Cancel the attempt. The connection is closed on return, so that no two copies are in flight."""
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.close()
            self.connection = None


class BackendConnection(asyncio.BufferedProtocol):
    """One connection to a backend; it carries one attempt at a time."""

    def __init__(self, pool: BackendPool, backend: BackendConnections) -> None:
        self.pool, self.backend, self.address = pool, backend, backend.address
        self.process_started_at_ms = backend.started_at_ms
        self.allowance = ParsingAllowance()
        family = socket.AF_INET6 if ":" in backend.address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.attempt: Exchange | None = None
        self.is_owned_by_transport = False  # once set, only the transport closes the descriptor
        self.reuse_timer: asyncio.TimerHandle | None = None  # the pending attempt is written then
        self.is_closed = self.has_written = self.is_write_blocked = False
        self.idle_since_s = -math.inf  # when the previous response was complete
        self.reuse_due_s = 0.0  # when the attempt that waits for reuse is written
        self.written_s = self.gap_ms = self.response_ms = (
            0.0  # of the attempt, see `core/response_attribution`
        )
        self.min_plausible_ms = 0.0
        self.plausibility_timer: asyncio.TimerHandle | None = None
        self.is_implausible = False  # input may have arrived sooner than a response can
        self.previous_digest: int | None = None  # of the content of the previous response
        self.body, self.body_bytes = BodyBuffer(), 0
        self.pool.memory.add(self)
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self._release_body()
        self.body_bytes = self.head_bytes = self.response_bytes = 0
        self.is_in_body = self.has_length = False
        self.load_report_header = self.content_type = b""
        self.is_not_started = self.is_complete = self.has_second_response = self.is_too_large = False

    def _release_body(self) -> None:
        """Drop the buffered body, so that idle connections hold no memory for bodies."""
        if self.body.size or self.body_bytes:
            self.body = BodyBuffer()
            self.pool.memory.update(self, 0)

    # --- opening, closing

    async def open(self) -> None:
        """Connect, then write the pending attempt."""
        loop = self.pool.loop
        try:
            async with asyncio.timeout(self.pool.connect_timeout_s):
                await loop.sock_connect(self.sock, self.address)
            # Takes two turns of the loop without waiting. No timeout applies: if it ended half-way, socket
            # and transport would both close the descriptor.
            self.is_owned_by_transport = True
            self.transport, _ = await loop.create_connection(lambda: self, sock=self.sock)
        except (OSError, TimeoutError):
            self._fail(AttemptStatus.CONNECT_FAILED)
            return
        if self.is_closed:
            self.transport.abort()
        else:
            self._write_pending()

    def write_after(self, attempt: Exchange, delay_s: float) -> None:
        """Write the attempt in `delay_s`, unless late bytes of the previous response arrive by then."""
        self.attempt, attempt.connection = attempt, self
        self.reuse_due_s = time.monotonic() + delay_s
        self.reuse_timer = self.pool.loop.call_later(delay_s, self._write_pending)

    def _write_pending(self) -> None:
        """Write the pending attempt."""
        attempt = self.attempt
        process_stalled = (
            self.reuse_timer is not None and time.monotonic() > self.reuse_due_s + STALL_THRESHOLD_MS / 1000
        )
        if attempt is None:
            self.close()
        elif not self.backend.is_listed or self.backend.address != self.address or process_stalled:
            # The backend may have been removed while the attempt waited, and after a stall of the process
            # the removal may not have been read yet, as timers can run before it.
            self.reuse_timer = None
            self._fail(AttemptStatus.NOT_STARTED)
        elif self.reuse_timer is not None and not self.is_to_current_process:
            self._fail(AttemptStatus.NOT_STARTED)  # goes on with a new connection
        elif not self.is_clean:
            self._fail(AttemptStatus.CONNECT_FAILED)
        else:
            self.reuse_timer = None
            self.write(attempt)

    @property
    def is_to_current_process(self) -> bool:
        """Whether it was opened to the process that now runs under the backend's id, as far as is known."""
        backend = self.backend
        return (self.address, self.process_started_at_ms) == (backend.address, backend.started_at_ms)

    @property
    def is_clean(self) -> bool:
        """Whether the connection is up, as far as this side knows, and has no unread input.

        Input that follows one response may still wait in the kernel; it must not be taken for the next
        response.
        """
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and self not in self.pool.input_queue and not self._has_input()

    def _has_input(self) -> bool:
        """Whether bytes, or the end of the connection, wait to be read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as err:
            return not isinstance(err, BlockingIOError)
        return True

    def _peek(self) -> int:
        """Return how many bytes wait to be read, up to one read."""
        try:
            return len(self.sock.recv(READ_BUFFER_BYTES, socket.MSG_PEEK))
        except OSError:
            return 0

    def _fail(self, status: AttemptStatus) -> None:
        attempt, self.attempt, reuse_timer = self.attempt, None, self.reuse_timer
        self.close()
        if attempt is not None and reuse_timer is not None:
            self.pool.connect(self.backend, attempt)  # nothing of it was written on this connection
        elif attempt is not None:
            attempt.report_outcome(BackendResponse(status))

    def close(self) -> None:
        """Close at once: a transport would close one loop turn later, after the next attempt was written."""
        if self.is_closed:
            return
        self.is_closed = True
        self.pool.input_queue.discard(self)
        self.pool.connection_count -= 1
        self.body = BodyBuffer()
        self.pool.memory.discard(self)
        if self.reuse_timer is not None:
            self.reuse_timer.cancel()
        self._cancel_plausibility_timer()
        if self in self.backend.idle:
            self.backend.idle.remove(self)
        if not self.is_owned_by_transport:
            if self.task is not None and self.task is not asyncio.current_task():
                self.task.cancel()
            # The cancelled connect may do it a turn later, by descriptor number.
            self.pool.loop.remove_writer(self.sock)
            self.sock.close()
            del self.parser
            return
        with contextlib.suppress(OSError):  # the backend closed first
            self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:  # else `open` aborts it, in a turn or two of the loop
            self.transport.abort()

    # --- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pause writing at the first byte that the kernel has not taken: it has not left the node."""
        # uvloop's transport is no subclass of asyncio.Transport.
        cast(asyncio.Transport, transport).set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Part of the request is still buffered here."""
        self.is_write_blocked = True

    def resume_writing(self) -> None:
        """The last byte of the request has left."""
        self.is_write_blocked = False

    def write(self, attempt: Exchange) -> None:
        """Write the request of the attempt."""
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self._reset()
        # A retry whose connection comes up after its window must not be written: its effect could occur
        # twice.
        if time.monotonic() > attempt.start_before_s:
            self._fail(AttemptStatus.NOT_STARTED)
            return
        data, attempt.data = attempt.data, b""
        # Only the transport holds what has not left, since bodies may be long.
        if not (rendered := data if isinstance(data, bytes) else data()):
            self._fail(AttemptStatus.NOT_STARTED)  # its request has already ended
            return
        if isinstance(rendered, bytes):
            self.transport.write(rendered)
        else:
            self.transport.writelines(rendered)
        self.has_written = True
        self._expect_response()
        # A write that fails at once closes the transport: nothing left, so this is no reset.
        if self.transport.is_closing():
            self._fail(AttemptStatus.CONNECT_FAILED)
        elif self.is_write_blocked and attempt.start_before_s < math.inf:
            self.pool.loop.call_later(attempt.start_before_s - time.monotonic(), self._on_window_end, attempt)

    def _expect_response(self) -> None:
        """Note when the request was written, and from when on a response to it is plausible."""
        self.written_s = time.monotonic()
        self.gap_ms = (self.written_s - self.idle_since_s) * 1000
        self.min_plausible_ms = self.backend.history.min_plausible_ms(self.gap_ms)
        if self.min_plausible_ms:
            self.plausibility_timer = self.pool.loop.call_later(
                self.min_plausible_ms / 1000, self._on_response_plausible
            )

    def _on_response_plausible(self) -> None:
        """End the time in which no response is plausible.

        uvloop runs timers before it reads sockets: after the loop was held up, input may have arrived at any
        time.
        """
        self.plausibility_timer = None
        elapsed_ms = (time.monotonic() - self.written_s) * 1000
        if elapsed_ms > self.min_plausible_ms + LOOP_DELAY_TOLERANCE_MS and (byte_count := self._peek()):
            self.is_implausible = self._has_arrived_early(elapsed_ms, byte_count)

    def _cancel_plausibility_timer(self) -> None:
        if self.plausibility_timer is not None:
            self.plausibility_timer.cancel()
            self.plausibility_timer = None

    def _on_window_end(self, attempt: Exchange) -> None:
        """Fail an attempt that is partly written as its window ends.

        A request that becomes complete after its window could have its effect twice.
        """
        if self.attempt is attempt and self.is_write_blocked:
            self._fail(AttemptStatus.NOT_STARTED)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the attempt.

        If the connection breaks before the last byte of the request has left, the request never ran;
        afterwards it may have.
        """
        self.pool.input_queue.flush(self)  # what was read before the break counts
        # Nothing to abort: asyncio's transport would end a second time, with a traceback.
        self.transport = None
        self._fail(
            AttemptStatus.RESET
            if self.has_written and not self.is_write_blocked
            else AttemptStatus.CONNECT_FAILED
        )
        del self.parser  # it refers to this connection, which only the garbage collector would free

    def eof_received(self) -> None:
        """End a response without a length (RFC 9112, 6.3); for any other, the connection broke."""
        self.pool.input_queue.flush(self)  # the response is longer by what waits
        ends_with_connection = self.is_in_body and not (
            self.attempt is None or self.is_write_blocked or self.is_complete or self.has_length
        )
        # The response may be cut: a reset that has arrived by now may follow the end.
        if ends_with_connection and not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.on_message_complete()
            self._finish(False)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        return self.pool.input_queue.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle a read; input that belongs to no attempt makes the connection unusable."""
        data = bytes(self.pool.input_queue.read_buffer[:nbytes])
        if self.attempt is None or not self.has_written:
            if data.startswith(RESPONSE_START) and not self.is_closed:
                self._note_second_response((time.monotonic() - self.idle_since_s) * 1000)
            self._fail(AttemptStatus.CONNECT_FAILED)  # an attempt that waits for the connection never ran
            return
        if not self.response_bytes:
            self.response_ms = (time.monotonic() - self.written_s) * 1000
            if self._is_too_early(nbytes):
                self._fail_unattributed("sooner than any response can arrive")
                return
        self.pool.input_queue.receive(self, data)

    @property
    def may_parse(self) -> bool:
        """A response is parsed whatever its request waits for."""
        return True

    def pause_input(self) -> None:
        """Read no more until what was read is parsed."""
        if self.transport is not None and not (self.is_closed or self.transport.is_closing()):
            self.transport.pause_reading()

    def resume_input(self) -> None:
        """Read again."""
        if self.transport is not None and not (self.is_closed or self.transport.is_closing()):
            self.transport.resume_reading()

    def parse(self, data: bytes) -> None:
        """Parse a slice of the response."""
        if self.attempt is None:
            self.close()  # the response is complete, and this follows it
            return
        parse_error = ""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            parse_error = f"broken answer: {err}"
        # Bounds endless chunks, extensions, trailers and interim responses.
        self.response_bytes += len(data)
        if not self.is_in_body:
            # Bounds the memory of an endless header, which the parser would buffer.
            self.head_bytes += len(data)
        if self.is_complete and self.code == 200 and self.is_write_blocked:
            # No backend starts a request before its last byte, so this response belongs to none.
            log.warning("backend %s:%d: response before the request was written", *self.address)
            self._fail(AttemptStatus.CONNECT_FAILED)
        elif self.is_complete:
            has_more_input = self.has_second_response or self in self.pool.input_queue
            self._finish(not parse_error and not has_more_input)
        elif (
            parse_error
            or self.is_too_large
            or self.head_bytes > MAX_HEAD_BYTES
            or self.response_bytes - self.body_bytes > MAX_FRAMING_BYTES
        ):
            log.warning("backend %s:%d: %s", *self.address, parse_error or "answer too large")
            self._fail(AttemptStatus.RESET)

    def _is_too_early(self, byte_count: int) -> bool:
        """Whether the first bytes since the request may have arrived sooner than a response to it can."""
        if self.plausibility_timer is None:
            return self.is_implausible
        self._cancel_plausibility_timer()
        return self._has_arrived_early(self.response_ms, byte_count)

    def _has_arrived_early(self, elapsed_ms: float, byte_count: int) -> bool:
        """Whether the input, which is looked at `elapsed_ms` after the request, cannot be the response."""
        arrival_age_ms = math.inf
        if elapsed_ms > self.min_plausible_ms + LOOP_DELAY_TOLERANCE_MS:
            from balancer.net import arrival_time  # loaded only once the loop was held up

            arrival_age_ms = arrival_time.max_age_ms(self.sock, byte_count)
        return is_implausible(elapsed_ms, self.min_plausible_ms, arrival_age_ms)

    def _fail_unattributed(self, reason: str) -> None:
        """Fail the attempt whose response may belong to the previous request; its own is still to come.

        The request may have run, whatever the response says, and nothing on the connection is usable.
        """
        log.warning(
            "backend %s:%d: response not attributed: %s, %.1f ms after the request and %.1f ms after the "
            "previous response",
            *self.address,
            reason,
            self.response_ms,
            self.response_ms + self.gap_ms,
        )
        self._fail(AttemptStatus.RESET)

    def _note_second_response(self, lateness_ms: float) -> None:
        history = self.backend.history
        delay_ms = history.reuse_delay_ms()
        history.note_second_response(lateness_ms)
        if history.reuse_delay_ms() > delay_ms + MIN_LOGGED_DELAY_CHANGE_MS:
            log.warning(
                "backend %s:%d: second response %.1f ms after the first: connections reused after %.0f ms",
                *self.address,
                lateness_ms,
                history.reuse_delay_ms(),
            )

    # --- httptools

    def on_message_begin(self) -> None:
        """Detect a second response."""
        self.has_second_response = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the few headers that are used."""
        if self.is_complete or self.is_in_body:
            return  # of a second response, or a trailer
        key = name.lower()
        self.has_length = self.has_length or key in (b"content-length", b"transfer-encoding")
        if key == b"content-length":
            # A body known to be too large is not waited for. An interim response has no body, whatever its
            # headers say.
            self.is_too_large = int(value) > MAX_FORWARDED_BODY_BYTES and self.parser.get_status_code() >= 200
        elif key == b"server-load":
            self.load_report_header = value
        elif key == b"not-started":
            self.is_not_started = value.strip() == b"1"
        elif key == b"content-type":
            self.content_type = value

    def on_headers_complete(self) -> None:
        """Note that the head is complete."""
        self.is_in_body = True

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body within its limits."""
        if self.is_complete or self.is_closed:
            return
        self.body_bytes += len(body)
        self.is_too_large = self.is_too_large or self.body_bytes > MAX_FORWARDED_BODY_BYTES
        if not self.is_too_large:
            self.body.append(body)
            self.is_too_large = not self.pool.memory.update(self, self.body.held_bytes)

    def on_message_complete(self) -> None:
        """Note that the response is complete, unless it was an interim one."""
        if self.is_complete:
            return
        self.code = self.parser.get_status_code()
        if self.code < 200:
            self.load_report_header = b""
            self.is_not_started = self.is_in_body = self.has_length = False
            return
        self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _finish(self, is_clean: bool) -> None:
        assert self.attempt is not None
        body = self.body.take()
        digest = hash(body) if self.code == 200 else None
        history = self.backend.history
        if digest is not None and history.is_copy(
            self.previous_digest, digest, self.gap_ms + self.response_ms
        ):
            self._fail_unattributed("it equals the previous one on this connection")
            return
        if is_clean:
            history.note_response(id(self), self.gap_ms, self.response_ms, digest)
        self.previous_digest = digest
        attempt, self.attempt = self.attempt, None
        report = None
        if self.load_report_header:
            try:
                report = parse_load_report(self.load_report_header.decode("latin-1"))
            except ValueError as err:
                log.warning("backend %s:%d: %s", *self.address, err)
        response = BackendResponse(AttemptStatus.ERROR, report)
        if self.code == 200 and not self.is_too_large:
            response = BackendResponse(AttemptStatus.OK, report, body, self.content_type)
        elif self.code in (503, 504) and self.is_not_started and not self.is_too_large:
            response.status = AttemptStatus.REJECTED
        self._release_body()
        self.pool.release(self, is_clean and self.keep_alive and not self.is_write_blocked)
        attempt.report_outcome(response)
