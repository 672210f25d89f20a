"""The end of a node on sockets: what is on its way, what its clients still read, and clients that leave."""

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

from balancer.core.shutdown_deadlines import ShutdownDeadlines
from balancer.net import http_server as front_module
from balancer.net.http_server import (
    CLOSE_POLL_INTERVAL_S,
    DISCARD_INTERVAL_S,
    SWEEP_INTERVAL_S,
    ClientConnection,
    HttpServer,
)
from tests.net.test_http_server import (
    LOOPS,
    Deaf,
    NewLoop,
    fronting,
    large,
    run,
    stuff,
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
__all__ = ["deaf"]


@pytest.fixture
def deaf() -> Iterator[Callable[[HttpServer], Deaf]]:
    """Makes clients that are gone after the test."""
    made: list[Deaf] = []

    def make(front: HttpServer) -> Deaf:
        made.append(Deaf(front))
        return made[-1]

    yield make
    for client in made:
        client.sock.close()


def read() -> bytes:
    """A request."""
    return b"GET /read HTTP/1.1\r\nRequest-Id: e%d\r\n\r\n" % next(IDS)


def told(front: HttpServer, last: float = HOUR) -> None:
    """The node was told to end, and all has to be answered in so many milliseconds."""
    front.node.stopping = True
    front.shutdown_deadlines = ShutdownDeadlines(front.node.now(), front.node.now() + last)


async def never(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Take the request and say nothing."""


def connected(front: HttpServer, data: bytes = b"") -> socket.socket:
    """A client's connection, up and with these bytes in the kernel before the loop turns."""
    sock = socket.create_connection(front.address)
    if data:
        sock.sendall(data)
    sock.setblocking(False)
    return sock


async def all_of(sock: socket.socket) -> bytes:
    """All that comes until the end; a reset raises."""
    out, loop = b"", asyncio.get_running_loop()
    with sock:
        while piece := await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT):
            out += piece
    return out


@LOOPS
@pytest.mark.parametrize("many", [3, 200])
def test_who_waits_in_the_backlog_when_the_listener_closes_is_answered(
    tmp_path: Path, new_loop: NewLoop, many: int
) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0"), limit=300) as front:
            socks = [connected(front, read()) for _ in range(many)]
            told(front)
            front.stop()
            done = asyncio.create_task(front.finish())
            for sock in socks:
                assert b" 200 OK" in await all_of(sock)
            await done
            assert not front.connections and not front.node.open

    run(test, new_loop)


@LOOPS
def test_who_finds_no_place_in_the_last_look_is_answered_too(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0"), limit=1, over=0) as front:
            first = Client(*await asyncio.open_connection(*front.address))
            await first.ask("/up")
            socks = [connected(front, read()) for _ in range(3)]
            told(front)
            front.stop()
            for sock in socks:
                assert (await all_of(sock)).startswith(b"HTTP/1.1 503 ")
            await front.finish()
            first.writer.transport.abort()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("cut", [0, 1, 20, -1])
def test_a_request_that_comes_whole_after_the_listener_closed_is_answered(
    tmp_path: Path, new_loop: NewLoop, cut: int
) -> None:
    """`cut` bytes of it have come: none are a fresh connection, others a request half read."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0")) as front:
            data = read()
            sock = connected(front, data[:cut])
            await until(
                lambda: front.unused if cut == 0 else any(c.is_receiving_request for c in front.connections)
            )
            told(front)
            front.stop()
            done = asyncio.create_task(front.finish())
            await asyncio.sleep(0)
            sock.sendall(data[cut:])
            assert b" 200 OK" in await all_of(sock)
            await done

    run(test, new_loop)


@LOOPS
def test_a_request_on_a_resting_connection_that_came_as_the_listener_closes_is_answered(
    tmp_path: Path, new_loop: NewLoop
) -> None:
    """It lies in the kernel, as a busy turn of the loop was long; a close over it resets."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0")) as front:
            loop, sock = asyncio.get_running_loop(), connected(front, read())
            assert b" 200 OK" in await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
            await until(lambda: front.idle)
            told(front)
            sock.sendall(read())
            front.stop()
            await front.finish()
            got = await all_of(sock)
            assert b" 200 OK" in got and b"Connection: close" in got

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("used", [False, True])
def test_a_look_that_comes_before_the_sockets_closes_over_no_request(
    tmp_path: Path, new_loop: NewLoop, used: bool
) -> None:
    """The request comes while a reader holds the loop past the next look, whose timer goes before sockets."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0")) as front:
            loop, sock, (here, there) = asyncio.get_running_loop(), connected(front), socket.socketpair()
            await until(lambda: front.unused)
            if used:
                sock.sendall(read())
                assert b" 200 OK" in await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
                await until(lambda: front.idle)
            for connection in front.unused:
                front.unused[connection] -= 1.0  # mute for long
            told(front)
            front.stop()
            done = asyncio.create_task(front.finish())
            await asyncio.sleep(0)

            def hold() -> None:
                loop.remove_reader(here)
                sock.sendall(read())
                time.sleep(2 * CLOSE_POLL_INTERVAL_S)

            loop.add_reader(here, hold)
            there.send(b"x")
            assert b" 200 OK" in await all_of(sock)
            await done
            here.close()
            there.close()

    run(test, new_loop)


@LOOPS
def test_a_connection_that_stays_mute_does_not_hold_up_the_end(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with fronting(tmp_path) as front:
            sock = connected(front)
            await until(lambda: front.unused)
            told(front)
            front.stop()
            await front.finish()
            assert not front.connections and await all_of(sock) == b""

    run(test, new_loop)


@LOOPS
def test_a_request_that_does_not_come_whole_is_turned_away_at_the_last(
    tmp_path: Path, new_loop: NewLoop
) -> None:
    async def test() -> None:
        async with fronting(tmp_path) as front:
            sock = connected(front, read()[:-1])
            await until(lambda: any(c.is_receiving_request for c in front.connections))
            told(front, 100.0)
            front.stop()
            await front.finish()
            assert (await all_of(sock)).startswith(b"HTTP/1.1 503 ")

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("up", [False, True])
def test_an_end_that_is_late_reads_what_has_come_once_more(
    tmp_path: Path, new_loop: NewLoop, up: bool
) -> None:
    """The time by which all is answered is over as the listener closes, on a core that others held."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0")) as front:
            sock = connected(front)
            if up:
                await until(lambda: front.unused)
            told(front, 0.0)
            sock.sendall(read())
            front.stop()
            await front.finish()
            assert not front.listener.connecting and all(c.is_closing for c in front.connections)
            assert (await all_of(sock)).startswith(b"HTTP/1.1 503 ")

    run(test, new_loop)


@LOOPS
def test_the_end_waits_for_answers_that_the_kernel_has_not_taken(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf], new_loop: NewLoop
) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", large)) as front:
            client = deaf(front)
            await stuff(client, front)
            (connection,) = front.connections
            told(front)
            front.stop()
            done = asyncio.create_task(front.finish())
            await asyncio.sleep(0.1)
            assert not done.done() and connection.is_write_blocked
            got = await client.all()
            assert len(got) > connection.request_count * 65536 and got.endswith(b"x" * 65536)
            await done

    run(test, new_loop)


def test_a_request_that_is_taken_while_it_stops_is_answered_by_the_last(tmp_path: Path) -> None:
    """Whatever its own deadline says: here an hour, at a server that never answers."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", never), settings=PATIENT) as front:
            before = Client(*await asyncio.open_connection(*front.address))
            before.send("/read")
            await until(lambda: front.node.open)
            told(front, 200.0)
            client = Client(*await asyncio.open_connection(*front.address))
            assert (await client.ask("/read")).code in (502, 503)
            assert front.node.open  # the end is for others to wait for
            front.stop()
            await front.finish()
            assert (await before.answer()).code == 502 and not front.node.open
            assert await client.ended() == b"" and await before.ended() == b""

    run(test)


def test_a_signal_that_came_while_the_process_stood_still_is_as_old_as_that(tmp_path: Path) -> None:
    async def test() -> None:
        async with fronting(tmp_path) as front:
            node = front.node
            node._pause.last_turn_ms -= 2_000.0
            found = node.stop()
            assert node.stopping and node._pause.input_age_ms >= 2_000.0
            assert found.respond_until_ms <= node.now() + 3_500.0 - node._pause.input_age_ms

    run(test)


@LOOPS
@pytest.mark.parametrize("cut", [0, 20, -1])
def test_what_came_while_the_process_stood_still_is_read_before_its_time_is_up(
    tmp_path: Path, new_loop: NewLoop, cut: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The look for connections whose time is up is overdue then, and comes before the sockets."""
    monkeypatch.setattr(front_module, "SLOW_REQUEST_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0")) as front:
            data = read()
            sock = connected(front, data[:cut])
            await until(
                lambda: front.unused if cut == 0 else any(c.is_receiving_request for c in front.connections)
            )
            sock.sendall(data[cut:])
            time.sleep(3 * SWEEP_INTERVAL_S)
            front.sweep_timer.cancel()
            front._sweep()
            loop = asyncio.get_running_loop()
            assert b" 200 OK" in await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
            sock.close()

    run(test, new_loop)


# --- clients that leave


def reset(sock: socket.socket) -> None:
    """Leave with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


WAYS = pytest.mark.parametrize(
    "leave",
    [reset, socket.socket.close, lambda sock: sock.shutdown(socket.SHUT_WR)],
    ids=["reset", "fin", "half"],
)


@LOOPS
@WAYS
def test_the_leaving_of_a_client_that_sent_much_is_seen_while_its_request_waits(
    tmp_path: Path, new_loop: NewLoop, leave: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against sending on for one that has gone: its reading stopped for good over 64 KiB.

    All that the kernels hold, some 4 MB, is read within what may pass until then.
    """
    gulps, read_on = list[float](), ClientConnection._resume_reading

    def counted(self: ClientConnection) -> None:
        gulps.append(DISCARD_INTERVAL_S)
        read_on(self)

    monkeypatch.setattr(ClientConnection, "_resume_reading", counted)

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", never), settings=PATIENT) as front:
            sock = connected(front, read())
            await until(lambda: front.node.open)
            await asyncio.get_running_loop().sock_sendall(sock, b"GET /up HTTP/1.1\r\n\r\n" * 50_000)
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock.send(b"x" * (1 << 16))
            gulps.clear()
            leave(sock)
            await until(lambda: not front.node.open and not front.connections)
            assert sum(gulps) < 0.25
            sock.close()

    run(test, new_loop)


@LOOPS
def test_a_client_that_sends_for_ever_is_read_slowly_and_gets_its_answer(
    tmp_path: Path, new_loop: NewLoop
) -> None:
    go = asyncio.Event()

    async def late(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await echo(backend, message, writer)

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", late), settings=PATIENT) as front:
            sock, loop = connected(front, read()), asyncio.get_running_loop()
            await until(lambda: front.node.open)
            (connection,) = front.connections

            async def flood() -> None:
                while True:
                    await loop.sock_sendall(sock, b"x" * (1 << 16))

            flooding, began = asyncio.create_task(flood()), loop.time()
            await until(lambda: connection.discarded_bytes > 4 << 20)
            most = (loop.time() - began) / DISCARD_INTERVAL_S + 2
            assert connection.discarded_bytes <= most * (1 << 18) + 65536
            go.set()
            got, end = b"", b"b0 e%d" % (next(IDS) - 1)
            while not got.endswith(end):
                got += await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), WAIT)
            assert got.count(b"HTTP/1.1 ") == 1
            flooding.cancel()
            sock.close()
            await until(lambda: not front.connections)

    run(test, new_loop)


@LOOPS
def test_the_leaving_of_a_client_that_does_not_read_is_seen_while_its_request_waits(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf], new_loop: NewLoop
) -> None:
    """Two requests in a packet, the first one's answer blocked: its connection is not read meanwhile."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", never), settings=PATIENT) as front:
            client = deaf(front)
            while not front.unread.total_bytes:
                client.send(b"GET /up HTTP/1.1\r\n\r\n" * 70)
                await asyncio.sleep(0.001)
                if front.unread.total_bytes:
                    await asyncio.sleep(0.3)  # the client's kernel may take it still
            (connection,) = front.connections
            assert connection.is_write_blocked
            connection.data_received(read())
            assert front.node.open and connection.is_write_blocked
            client.sock.close()
            await until(lambda: not front.node.open and not front.connections)

    run(test, new_loop)


@LOOPS
@WAYS
@pytest.mark.parametrize("answer_first", [True, False])
def test_clients_that_leave_in_a_burst_as_their_answers_come_leave_nothing(
    tmp_path: Path,
    new_loop: NewLoop,
    leave: Callable[[socket.socket], None],
    answer_first: bool,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Answers and leavings lie in the kernel before the node's loop turns."""
    waiting: list[tuple[Backend, Message, asyncio.StreamWriter]] = []

    async def keep(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        waiting.append((backend, message, writer))

    def give() -> None:
        for _, message, writer in waiting:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert message.start

    async def test() -> None:
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        async with fronting(tmp_path, *(Backend(f"b{n}", keep) for n in range(4)), settings=PATIENT) as front:
            socks = [connected(front, read()) for _ in range(12)]
            await until(lambda: waiting and len(front.node.open) == len(socks))
            if answer_first:
                give()
            for sock in socks:
                leave(sock)
            if not answer_first:
                give()
            await until(lambda: not front.node.open and not front.connections)
            tables = (
                front.idle,
                front.unused,
                front.incomplete,
                front.closing_connections,
                front.listener.connecting,
            )
            assert not any(tables) and not len(front.unread) and not front.unread.total_bytes
            for sock in socks:
                sock.close()
        assert not faults and not [r for r in caplog.records if r.exc_info]

    run(test, new_loop)
