"""Graceful shutdown over sockets, and clients that disconnect: open requests and unread responses."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from balancer.core.discard_budget import (
    DISCARD_TURN_BUDGET_MS,
    ENDLESS_INPUT_BYTES,
    MAX_ENDLESS_DISCARD_SHARE,
    discard_pause_ms,
)
from balancer.core.shutdown_deadlines import ShutdownDeadlines
from balancer.net import http_server as http_server_module
from balancer.net import input_discard
from balancer.net.http_server import CLOSE_POLL_INTERVAL_S, SWEEP_INTERVAL_S, HttpServer
from balancer.net.input_discard import InputDiscarder
from tests.net.test_http_server import (
    LOOPS,
    NewLoop,
    NonReadingClient,
    fill_write_buffer,
    respond_large,
    run,
    running_http_server,
    until,
)
from tests.sockets import (
    HOUR,
    PATIENT,
    WAIT,
    Backend,
    Client,
    Message,
    echo,
)

IDS = itertools.count(1)
DISCONNECT_LIMIT_MS = 100.0  # after a disconnect, until nothing is sent for the client
__all__ = ["non_reading_client"]


@pytest.fixture
def non_reading_client() -> Iterator[Callable[[HttpServer], NonReadingClient]]:
    """Create clients that are closed after the test."""
    clients: list[NonReadingClient] = []

    def make(http_server: HttpServer) -> NonReadingClient:
        clients.append(NonReadingClient(http_server))
        return clients[-1]

    yield make
    for client in clients:
        client.sock.close()


def read_request() -> bytes:
    """Return a request."""
    return b"GET /read HTTP/1.1\r\nRequest-Id: e%d\r\n\r\n" % next(IDS)


def begin_shutdown(http_server: HttpServer, respond_within_ms: float = HOUR) -> None:
    """Tell the node to shut down and to answer everything within `respond_within_ms`."""
    http_server.node.is_stopping = True
    http_server.shutdown_deadlines = ShutdownDeadlines(
        http_server.node.now(), http_server.node.now() + respond_within_ms
    )


async def never_respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Take the request and do not respond."""


def connect_client(http_server: HttpServer, data: bytes = b"") -> socket.socket:
    """Connect a client; the bytes are in the kernel before the loop turns."""
    sock = socket.create_connection(http_server.address)
    if data:
        sock.sendall(data)
    sock.setblocking(False)
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """Return everything that arrives until the end; a reset raises."""
    out, loop = b"", asyncio.get_running_loop()
    with sock:
        while piece := await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT):
            out += piece
    return out


@LOOPS
@pytest.mark.parametrize("client_count", [3, 200])
def test_shutdown_with_clients_in_backlog_answers_them(
    tmp_path: Path, new_loop: NewLoop, client_count: int
) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), max_connections=300) as http_server:
            socks = [connect_client(http_server, read_request()) for _ in range(client_count)]
            begin_shutdown(http_server)
            http_server.stop()
            finishing = asyncio.create_task(http_server.finish())
            for sock in socks:
                assert b" 200 OK" in await read_to_end(sock)
            await finishing
            assert not http_server.connections and not http_server.node.open_requests

    run(test, new_loop)


@LOOPS
def test_shutdown_without_free_slot_answers_503(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0"), max_connections=1, max_overload_connections=0
        ) as http_server:
            first = Client(*await asyncio.open_connection(*http_server.address))
            await first.ask("/up")
            socks = [connect_client(http_server, read_request()) for _ in range(3)]
            begin_shutdown(http_server)
            http_server.stop()
            for sock in socks:
                assert (await read_to_end(sock)).startswith(b"HTTP/1.1 503 ")
            await http_server.finish()
            first.writer.transport.abort()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("cut", [0, 1, 20, -1])
def test_shutdown_with_incomplete_request_answers_it(tmp_path: Path, new_loop: NewLoop, cut: int) -> None:
    """`cut` bytes have arrived: with none the connection is unused, otherwise the request is incomplete."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0")) as http_server:
            data = read_request()
            sock = connect_client(http_server, data[:cut])
            await until(
                lambda: (
                    http_server.unused
                    if cut == 0
                    else any(c.is_receiving_request for c in http_server.connections)
                )
            )
            begin_shutdown(http_server)
            http_server.stop()
            finishing = asyncio.create_task(http_server.finish())
            await asyncio.sleep(0)
            sock.sendall(data[cut:])
            assert b" 200 OK" in await read_to_end(sock)
            await finishing

    run(test, new_loop)


@LOOPS
def test_shutdown_with_request_on_idle_connection_answers_it(tmp_path: Path, new_loop: NewLoop) -> None:
    """The request waits in the kernel after a long loop turn; a close over it would reset the connection."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0")) as http_server:
            loop, sock = asyncio.get_running_loop(), connect_client(http_server, read_request())
            assert b" 200 OK" in await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
            await until(lambda: http_server.idle)
            begin_shutdown(http_server)
            sock.sendall(read_request())
            http_server.stop()
            await http_server.finish()
            got = await read_to_end(sock)
            assert b" 200 OK" in got and b"Connection: close" in got

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("is_used", [False, True])
def test_shutdown_check_before_sockets_are_read_loses_no_request(
    tmp_path: Path, new_loop: NewLoop, is_used: bool
) -> None:
    """A reader holds the loop past the next check, whose timer runs before the sockets are read."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0")) as http_server:
            loop, sock, (hold_reader, hold_writer) = (
                asyncio.get_running_loop(),
                connect_client(http_server),
                socket.socketpair(),
            )
            await until(lambda: http_server.unused)
            if is_used:
                sock.sendall(read_request())
                assert b" 200 OK" in await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
                await until(lambda: http_server.idle)
            for connection in http_server.unused:
                http_server.unused[connection] -= 1.0  # silent for long
            begin_shutdown(http_server)
            http_server.stop()
            finishing = asyncio.create_task(http_server.finish())
            await asyncio.sleep(0)

            def hold() -> None:
                loop.remove_reader(hold_reader)
                sock.sendall(read_request())
                time.sleep(2 * CLOSE_POLL_INTERVAL_S)

            loop.add_reader(hold_reader, hold)
            hold_writer.send(b"x")
            assert b" 200 OK" in await read_to_end(sock)
            await finishing
            hold_reader.close()
            hold_writer.close()

    run(test, new_loop)


@LOOPS
def test_shutdown_with_silent_connection_does_not_wait(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path) as http_server:
            sock = connect_client(http_server)
            await until(lambda: http_server.unused)
            begin_shutdown(http_server)
            http_server.stop()
            await http_server.finish()
            assert not http_server.connections and await read_to_end(sock) == b""

    run(test, new_loop)


@LOOPS
def test_shutdown_with_request_incomplete_at_deadline_answers_503(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path) as http_server:
            sock = connect_client(http_server, read_request()[:-1])
            await until(lambda: any(c.is_receiving_request for c in http_server.connections))
            begin_shutdown(http_server, 100.0)
            http_server.stop()
            await http_server.finish()
            assert (await read_to_end(sock)).startswith(b"HTTP/1.1 503 ")

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("is_registered", [False, True])
def test_shutdown_after_deadline_reads_pending_input(
    tmp_path: Path, new_loop: NewLoop, is_registered: bool
) -> None:
    """On a busy core the response deadline may be over before the listener closes."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0")) as http_server:
            sock = connect_client(http_server)
            if is_registered:
                await until(lambda: http_server.unused)
            begin_shutdown(http_server, 0.0)
            sock.sendall(read_request())
            http_server.stop()
            await http_server.finish()
            assert not http_server.listener.connecting and all(c.is_closing for c in http_server.connections)
            assert (await read_to_end(sock)).startswith(b"HTTP/1.1 503 ")

    run(test, new_loop)


@LOOPS
def test_shutdown_with_unread_responses_waits(
    tmp_path: Path, non_reading_client: Callable[[HttpServer], NonReadingClient], new_loop: NewLoop
) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond_large)) as http_server:
            client = non_reading_client(http_server)
            await fill_write_buffer(client, http_server)
            (connection,) = http_server.connections
            begin_shutdown(http_server)
            http_server.stop()
            finishing = asyncio.create_task(http_server.finish())
            await asyncio.sleep(0.1)
            assert not finishing.done() and connection.is_write_blocked
            got = await client.read_all()
            assert len(got) > connection.request_count * 65536 and got.endswith(b"x" * 65536)
            await finishing

    run(test, new_loop)


def test_request_accepted_during_shutdown_is_answered_by_deadline(tmp_path: Path) -> None:
    """Whatever its own deadline: here an hour, with a backend that never responds."""

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0", never_respond), settings=PATIENT
        ) as http_server:
            before = Client(*await asyncio.open_connection(*http_server.address))
            before.send("/read")
            await until(lambda: http_server.node.open_requests)
            begin_shutdown(http_server, 200.0)
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/read")).code in (502, 503)
            assert http_server.node.open_requests  # the shutdown waits for it
            http_server.stop()
            await http_server.finish()
            assert (await before.answer()).code == 502 and not http_server.node.open_requests
            assert await client.ended() == b"" and await before.ended() == b""

    run(test)


def test_signal_during_stall_counts_from_its_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path) as http_server:
            node = http_server.node
            node._stall_detector.last_turn_ms -= 2_000.0
            deadlines = node.stop()
            assert node.is_stopping and node._stall_detector.input_age_ms >= 2_000.0
            assert deadlines.respond_until_ms <= node.now() + 3_500.0 - node._stall_detector.input_age_ms

    run(test)


@LOOPS
@pytest.mark.parametrize("cut", [0, 20, -1])
def test_input_during_stall_is_read_before_timeout(
    tmp_path: Path, new_loop: NewLoop, cut: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a stall the sweep of timed-out connections is overdue, and runs before the sockets are read."""
    monkeypatch.setattr(http_server_module, "SLOW_REQUEST_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0")) as http_server:
            data = read_request()
            sock = connect_client(http_server, data[:cut])
            await until(
                lambda: (
                    http_server.unused
                    if cut == 0
                    else any(c.is_receiving_request for c in http_server.connections)
                )
            )
            sock.sendall(data[cut:])
            time.sleep(3 * SWEEP_INTERVAL_S)
            http_server.sweep_timer.cancel()
            http_server._sweep()
            loop = asyncio.get_running_loop()
            assert b" 200 OK" in await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
            sock.close()

    run(test, new_loop)


# --- clients that leave


def reset(sock: socket.socket) -> None:
    """Disconnect with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


DISCONNECTS = pytest.mark.parametrize(
    "disconnect",
    [reset, socket.socket.close, lambda sock: sock.shutdown(socket.SHUT_WR)],
    ids=["reset", "fin", "half"],
)


@LOOPS
@DISCONNECTS
def test_disconnect_after_large_input_is_noticed(
    tmp_path: Path,
    new_loop: NewLoop,
    disconnect: Callable[[socket.socket], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Reading once stopped for good after 64 KiB, and requests were sent on for disconnected clients.

    Everything the kernels hold, some 4 MB, must be read within the time allowed for noticing a disconnect.
    """
    discard_pauses_ms = list[float]()

    def noted(work_ms: float, least_discarded_bytes: int) -> float:
        discard_pauses_ms.append(discard_pause_ms(work_ms, least_discarded_bytes))
        return discard_pauses_ms[-1]

    monkeypatch.setattr(input_discard, "discard_pause_ms", noted)

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0", never_respond), settings=PATIENT
        ) as http_server:
            sock = connect_client(http_server, read_request())
            await until(lambda: http_server.node.open_requests)
            await asyncio.get_running_loop().sock_sendall(sock, b"GET /up HTTP/1.1\r\n\r\n" * 50_000)
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock.send(b"x" * (1 << 16))
            discard_pauses_ms.clear()
            disconnect(sock)
            await until(lambda: not http_server.node.open_requests and not http_server.connections)
            assert sum(discard_pauses_ms) < DISCONNECT_LIMIT_MS
            sock.close()

    run(test, new_loop)


@LOOPS
def test_client_that_sends_endlessly_is_read_slowly_and_answered(
    tmp_path: Path, new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It takes its share of the loop's time and no more."""
    may_respond, discard_times_s = asyncio.Event(), list[float]()
    run_discarder = InputDiscarder._run

    def timed(self: InputDiscarder) -> None:
        began_s = time.thread_time()
        run_discarder(self)
        discard_times_s.append(time.thread_time() - began_s)

    monkeypatch.setattr(InputDiscarder, "_run", timed)

    async def respond_late(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await may_respond.wait()
        await echo(backend, message, writer)

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0", respond_late), settings=PATIENT
        ) as http_server:
            sock, loop = connect_client(http_server, read_request()), asyncio.get_running_loop()
            await until(lambda: http_server.node.open_requests)
            (connection,) = http_server.connections

            async def flood() -> None:
                while True:
                    await loop.sock_sendall(sock, b"x" * (1 << 16))

            flooding = asyncio.create_task(flood())
            await until(lambda: connection.discarded_bytes > ENDLESS_INPUT_BYTES)
            began = loop.time()
            discard_times_s.clear()
            await until(lambda: connection.discarded_bytes > 8 * ENDLESS_INPUT_BYTES)
            most_s = MAX_ENDLESS_DISCARD_SHARE * (loop.time() - began) + 2 * DISCARD_TURN_BUDGET_MS / 1000
            assert discard_times_s and sum(discard_times_s) <= most_s
            may_respond.set()
            got, end = b"", b"b0 e%d" % (next(IDS) - 1)
            while not got.endswith(end):
                got += await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
            assert got.count(b"HTTP/1.1 ") == 1
            flooding.cancel()
            sock.close()
            await until(lambda: not http_server.connections)

    run(test, new_loop)


@LOOPS
def test_disconnect_of_client_that_does_not_read_is_noticed(
    tmp_path: Path, non_reading_client: Callable[[HttpServer], NonReadingClient], new_loop: NewLoop
) -> None:
    """Two requests in a packet; the first response is blocked, so the connection is not read meanwhile."""

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0", never_respond), settings=PATIENT
        ) as http_server:
            client = non_reading_client(http_server)
            # Its length divides a read and a slice, so that the input never ends within a request.
            request = b"GET /up HTTP/1.1\r\nX-Fill: " + b"x" * 34 + b"\r\n\r\n"
            assert len(request) == 64
            while not http_server.memory.unread.total_bytes:
                client.send(request * 20)
                await asyncio.sleep(0.001)
                if http_server.memory.unread.total_bytes:
                    await asyncio.sleep(0.3)  # the client's kernel may take the rest
            (connection,) = http_server.connections
            assert connection.is_write_blocked
            http_server.node.input_queue.discard(connection)  # requests that wait for the client to read
            connection.parse(read_request())
            assert http_server.node.open_requests and connection.is_write_blocked
            client.sock.close()
            await until(lambda: not http_server.node.open_requests and not http_server.connections)

    run(test, new_loop)


@LOOPS
@DISCONNECTS
@pytest.mark.parametrize("answer_first", [True, False])
def test_disconnects_in_burst_with_responses_leave_nothing(
    tmp_path: Path,
    new_loop: NewLoop,
    disconnect: Callable[[socket.socket], None],
    answer_first: bool,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Responses and disconnects are in the kernel before the node's loop turns."""
    waiting: list[tuple[Backend, Message, asyncio.StreamWriter]] = []

    async def hold_request(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        waiting.append((backend, message, writer))

    def respond_all() -> None:
        for _, message, writer in waiting:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert message.start

    async def test() -> None:
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        async with running_http_server(
            tmp_path, *(Backend(f"b{n}", hold_request) for n in range(4)), settings=PATIENT
        ) as http_server:
            socks = [connect_client(http_server, read_request()) for _ in range(12)]
            await until(lambda: waiting and len(http_server.node.open_requests) == len(socks))
            if answer_first:
                respond_all()
            for sock in socks:
                disconnect(sock)
            if not answer_first:
                respond_all()
            await until(lambda: not http_server.node.open_requests and not http_server.connections)
            tables = (
                http_server.idle,
                http_server.unused,
                http_server.incomplete,
                http_server.closing_connections,
                http_server.listener.connecting,
            )
            assert (
                not any(tables)
                and not len(http_server.memory.unread)
                and not http_server.memory.unread.total_bytes
            )
            for sock in socks:
                sock.close()
        assert not faults and not [r for r in caplog.records if r.exc_info]

    run(test, new_loop)
