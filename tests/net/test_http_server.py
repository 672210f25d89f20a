"""Clients that do not read, connections that are closed, descriptors that run out: the front against them."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import itertools
import json
import os
import resource
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any

import pytest
import uvloop

from balancer.core import connection_admission as admission
from balancer.core.connection_admission import MAX_OVERLOAD_CONNECTIONS
from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.http_server import (
    LINGERING_CLOSE_S,
    WRITE_HIGH_WATER_BYTES,
    ClientConnection,
    HttpServer,
)
from balancer.net.request_dispatcher import RequestDispatcher
from tests.sockets import (
    WAIT,
    Backend,
    Client,
    Message,
    answer,
    configuration,
    running,
    spawn,
)

UP = b"GET /up HTTP/1.1\r\n\r\n"
IDS = itertools.count(1)
LOOPS = pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
NewLoop = Callable[[], asyncio.AbstractEventLoop]


def run(test: Callable[[], Awaitable[None]], new_loop: NewLoop = uvloop.new_event_loop) -> None:
    """Run a test's coroutine on a loop of that kind, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT):
            await test()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(bounded())


async def until(met: Callable[[], object]) -> None:
    """Wait for it."""
    while not met():
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def fronting(
    tmp: Path,
    *backends: Backend,
    limit: int = 50,
    budget: int = 1 << 20,
    over: int = MAX_OVERLOAD_CONNECTIONS,
    settings: Mapping[str, Any] = MappingProxyType({}),
) -> AsyncIterator[HttpServer]:
    """A front with its node in this process; `settings` replace others of that name."""
    for backend in backends:
        await backend.start()
    path = tmp / "config.json"
    path.write_text(json.dumps(configuration([b.member() for b in backends], 1, **settings)))
    config = load({"PROXY_CONFIG": str(path)})
    node = RequestDispatcher(config)
    EndpointView(node, [Source("platform")]).handle(
        EndpointsListed("platform", "here", config.configured_endpoints, is_cached=True)
    )
    front = HttpServer(node, limit, budget, over)
    await front.listen(("127.0.0.1", 0))
    try:
        yield front
    finally:
        front.stop()
        for connection in list(front.connections):
            connection.abort()
        await until(lambda: not front.connections)
        for backend in backends:
            backend.stop()


class Deaf:
    """A client with small buffers that reads nothing until it is told to."""

    def __init__(self, front: HttpServer) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(front.address)
        self.sock.setblocking(False)
        self.sent, self.rest = 0, b""

    def send(self, data: bytes) -> int:
        """What of it the kernels take; first what they left of the last, lest that stay cut."""
        data = self.rest or data
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            return 0
        self.rest = data[sent:]
        self.sent += sent
        return sent

    async def all(self) -> bytes:
        """All that comes until the end, or what came before a reset."""
        out = bytearray()
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while piece := await asyncio.wait_for(loop.sock_recv(self.sock, 1 << 16), WAIT):
                out += piece
        return bytes(out)


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


async def large(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """The largest answers there are."""
    writer.write(answer(b"x" * 65536))


def read() -> bytes:
    """A request that `large` answers."""
    return b"GET /read HTTP/1.1\r\nRequest-Id: f%d\r\n\r\n" % next(IDS)


async def stuff(client: Deaf, front: HttpServer) -> None:
    """Ask for more than the kernels hold, so that some of it is left over at the node."""
    before = len(front.unread) + front.aborted_count
    for asked in itertools.count(1):
        client.send(read())
        await until(partial(_answered, front, asked))
        if len(front.unread) + front.aborted_count > before:
            break


def _answered(front: HttpServer, asked: int) -> bool:
    return any(c.request_count == asked and not c.request_id for c in front.connections)


# --- answers that clients do not read


@LOOPS
def test_a_client_that_asks_on_and_never_reads_is_read_no_more(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf], new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    resumed, resume = list[int](), ClientConnection.resume_writing

    def seen(self: ClientConnection) -> None:
        resumed.append(self.request_count)
        resume(self)

    monkeypatch.setattr(ClientConnection, "resume_writing", seen)

    async def test() -> None:
        async with fronting(tmp_path) as front:
            client, packet = deaf(front), 70
            while True:
                while not front.unread.total_bytes:
                    client.send(UP * packet)
                    await asyncio.sleep(0.001)
                (connection,) = front.connections
                asked, before = connection.request_count, len(resumed)
                for _ in range(10):
                    client.send(UP * packet)
                await asyncio.sleep(0.3)
                if len(resumed) == before:
                    break  # else the client's kernel took what was left over: then it is read, as it should
            assert connection.request_count == asked and not connection.is_closing and not front.idle

    run(test, new_loop)


def test_requests_by_thousands_in_one_packet_are_left_at_the_mark(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf]
) -> None:
    """Guards memory: a read of the loop brings 256 KiB at most, and their answers are several times that."""

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", large), budget=1 << 30) as front:
            client = deaf(front)
            await stuff(client, front)
            (connection,) = front.connections
            connection.data_received(UP * 10_000)
            assert connection.is_closing
            assert WRITE_HIGH_WATER_BYTES < front.unread.total_bytes < WRITE_HIGH_WATER_BYTES + 65536 + 1024

    run(test)


@LOOPS
def test_a_client_that_reads_again_gets_all_and_is_kept(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf], new_loop: NewLoop
) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", large)) as front:
            client = deaf(front)
            await stuff(client, front)
            (connection,) = front.connections
            assert not front.idle
            loop, got = asyncio.get_running_loop(), 0
            while got < connection.request_count * 65536 or connection.is_write_blocked:
                got += len(await loop.sock_recv(client.sock, 1 << 16))
            assert front.unread.total_bytes == 0 and not connection.is_closing
            await until(lambda: connection in front.idle)
            client.send(UP)
            seen = b""
            while not seen.endswith(b"up\n"):
                seen += await loop.sock_recv(client.sock, 1 << 16)

    run(test, new_loop)


def test_a_stalled_answer_is_aborted_when_its_deadline_is_over(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(admission, "READ_STALL_TIMEOUT_MS", 300.0)

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", large)) as front:
            client = deaf(front)
            await stuff(client, front)
            (connection,) = front.connections
            due = connection.latest_deadline_ms
            await until(lambda: not front.connections)
            assert front.node.now() >= due  # 4 s after its request came
            assert front.unread.total_bytes == 0

    run(test)


def test_the_budget_ends_the_largest_and_refuses_meanwhile(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", large), budget=20_000) as front:
            usual = Client(*await asyncio.open_connection(*front.address))
            monkeypatch.setattr(admission, "READ_PROGRESS_GRACE_MS", 1e9)
            await stuff(deaf(front), front)
            assert front.unread.is_over_budget
            assert (await usual.ask("/read")).code == 503
            assert (await usual.ask("/up")).code == 200
            monkeypatch.setattr(admission, "READ_PROGRESS_GRACE_MS", 200.0)
            (greedy,) = front.unread
            await until(lambda: not front.unread.total_bytes)
            assert front.node.now() < greedy.latest_deadline_ms
            await until(lambda: len(front.connections) == 1)
            assert (await usual.ask("/read")).code == 200
            usual.writer.transport.abort()

    run(test)


# --- closing


def descriptors() -> int:
    """How many this process holds."""
    return len(os.listdir("/proc/self/fd"))


def settled_descriptors() -> int:
    """The same, once what earlier tests left is closed: it would be at any time."""
    gc.collect()
    return descriptors()


@LOOPS
def test_a_closed_connection_counts_until_its_descriptor_is_free(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with fronting(tmp_path) as front:
            with socket.create_connection(front.address):
                await until(lambda: front.unused)
                held = settled_descriptors()
                (connection,) = front.connections
                connection.close()
                assert front.connections and descriptors() == held and not front.unused
                await until(lambda: not front.connections)
                await until(lambda: descriptors() == held - 1)

    run(test, new_loop)


@pytest.mark.parametrize("client_closes", [False, True])
def test_a_close_over_unread_bytes_frees_the_descriptor_in_the_end(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf], monkeypatch: pytest.MonkeyPatch, client_closes: bool
) -> None:
    """Guards against descriptors that nobody counts: a flush that never comes held them for good."""
    monkeypatch.setattr(admission, "READ_STALL_TIMEOUT_MS", 300.0)

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", large)) as front:
            client = deaf(front)
            await stuff(client, front)
            (connection,) = front.connections
            held, connection.latest_deadline_ms = settled_descriptors(), 0.0
            front.unread.discard(connection)
            front.on_write_blocked(connection)  # its deadline is over
            if client_closes:
                client.sock.shutdown(socket.SHUT_WR)
            else:
                connection.close()
                assert connection.is_closing
            assert front.connections == {connection}
            await until(lambda: not front.connections)
            await until(lambda: descriptors() == held - 1)

    run(test)


def test_a_close_over_bytes_that_are_read_late_loses_none(
    tmp_path: Path, deaf: Callable[[HttpServer], Deaf]
) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", large)) as front:
            client = deaf(front)
            await stuff(client, front)
            (connection,) = front.connections
            connection.close()
            await asyncio.sleep(2 * LINGERING_CLOSE_S)
            got = await client.all()
            assert len(got) > connection.request_count * 65536 and got.endswith(b"x" * 65536)

    run(test)


# --- descriptors


@contextlib.contextmanager
def no_descriptor_left() -> Iterator[None]:
    """Take all that this process may have."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = max(int(name) for name in os.listdir("/proc/self/fd")) + 2
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    taken = []
    try:
        with contextlib.suppress(OSError):
            while True:
                taken.append(os.dup(0))
        yield
    finally:
        for number in taken:
            os.close(number)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@LOOPS
def test_without_a_descriptor_clients_get_503_and_then_all_is_well(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0")) as front:
            here = Client(*await asyncio.open_connection(*front.address))
            assert (await here.ask("/up")).code == 200
            loop, late = asyncio.get_running_loop(), [socket.socket() for _ in range(5)]
            with no_descriptor_left():
                for sock in late:
                    sock.setblocking(False)
                    await loop.sock_connect(sock, front.address)
                for sock in late:
                    got = b""
                    while piece := await asyncio.wait_for(loop.sock_recv(sock, 4096), WAIT):
                        got += piece
                    assert got.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in got
                assert (await here.ask("/up")).code == 200
            for sock in late:
                sock.close()
            after = Client(*await asyncio.open_connection(*front.address))
            assert (await after.ask("/read")).code == 200
            for client in (here, after):
                client.writer.transport.abort()

    run(test, new_loop)


@LOOPS
def test_without_the_spare_one_either_the_listener_rests_and_comes_back(
    tmp_path: Path, new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a loop that spins over a connection that cannot be accepted."""

    async def test() -> None:
        async with fronting(tmp_path) as front:
            tries = 0
            relieve = front.listener._reject_with_reserve

            def counted() -> bool:
                nonlocal tries
                tries += 1
                return relieve()

            monkeypatch.setattr(front.listener, "_reject_with_reserve", counted)
            late = socket.socket()
            late.setblocking(False)
            front.listener._close_reserve()
            with no_descriptor_left():
                await asyncio.get_running_loop().sock_connect(late, front.address)
                await until(lambda: tries)
                await asyncio.sleep(0.3)
                assert tries <= 4
            await until(lambda: front.connections)  # accepted at the next try
            late.close()

    run(test, new_loop)


@LOOPS
def test_a_crowd_never_holds_more_descriptors_than_the_cap(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with fronting(tmp_path, Backend("b0"), limit=4, over=2) as front:
            before = descriptors()
            most = 0
            for _ in range(5):
                crowd = [socket.create_connection(front.address) for _ in range(40)]
                for _ in range(200):
                    await asyncio.sleep(0)
                    held = len(front.connections) + len(front.listener.connecting)
                    most = max(most, held, descriptors() - before - len(crowd))
                for sock in crowd:
                    sock.close()
            assert 4 <= most <= 6 + 2  # two turns of the loop pass until a descriptor is free
            client = Client(*await asyncio.open_connection(*front.address))
            assert (await client.ask("/read")).code == 200
            client.writer.transport.abort()

    run(test, new_loop)


def test_a_connection_that_finds_no_place_is_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with fronting(tmp_path, limit=1, over=0) as front:
            half = socket.create_connection(front.address)
            half.send(b"GET /up HTTP/1.1\r\nHost")
            await until(lambda: front.connections and not front.unused)
            client = Client(*await asyncio.open_connection(*front.address))
            got = await client.answer()
            assert (got.code, got.headers["connection"]) == (503, "close")
            assert await client.ended() == b""
            half.close()

    run(test)


def test_the_soft_limit_is_raised_to_what_is_configured(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, Backend("b0"), sockets=512, descriptors=(64, 4096)) as rig:
            assert resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE) == (512, 4096)
            assert not any("limits.sockets" in line for line in rig.log)

    run(test)


def test_under_a_hard_limit_of_64_a_flood_costs_neither_clients_nor_discovery(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, Backend("b0"), sockets=1024, descriptors=(64, 64)) as rig:
            assert any("limits.sockets is 1024, the process may hold 64" in line for line in rig.log)
            await asyncio.wait_for(rig.discovery.asked.get(), WAIT)
            kept = await rig.client()
            assert (await kept.ask("/read")).code == 200
            crowd = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(200)]
            assert rig.discovery.writer is not None
            rig.discovery.writer.transport.abort()
            await asyncio.wait_for(rig.discovery.asked.get(), WAIT)
            held = len(os.listdir(f"/proc/{rig.process.pid}/fd"))
            assert held < 60
            new = await rig.client()
            assert (await new.ask("/read")).code == 200
            for sock in crowd:
                sock.close()
            assert not any("Errno 24" in line or "no descriptor" in line for line in rig.log)

    run(test)


def test_too_few_descriptors_to_serve_with_are_named(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([], 1)))
        process = await spawn(path, (30, 30))
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err == b"balancer: limits: 30 descriptors (ulimit -n), 36 at least\n"

    run(test)
