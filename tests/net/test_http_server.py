"""The HTTP server: clients that do not read, closed connections, and a shortage of descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import itertools
import json
import math
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

from balancer.core import unread_responses
from balancer.core.connection_admission import MAX_OVERLOAD_CONNECTIONS
from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.core.memory_budget import MemoryBudget
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
    """Run a test's coroutine on a loop of that kind, with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT):
            await test()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(bounded())


async def until(condition: Callable[[], object]) -> None:
    """Wait until the condition is met."""
    while not condition():
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running_http_server(
    tmp: Path,
    *backends: Backend,
    max_connections: int = 50,
    memory_bytes: float = math.inf,
    max_overload_connections: int = MAX_OVERLOAD_CONNECTIONS,
    settings: Mapping[str, Any] = MappingProxyType({}),
) -> AsyncIterator[HttpServer]:
    """Run an HTTP server with its node in this process; `settings` replace others of that name."""
    for backend in backends:
        await backend.start()
    path = tmp / "config.json"
    path.write_text(json.dumps(configuration([b.member() for b in backends], 1, **settings)))
    config = load({"PROXY_CONFIG": str(path)})
    node = RequestDispatcher(config)
    EndpointView(node, [Source("platform")]).handle(
        EndpointsListed("platform", "here", config.configured_endpoints, is_cached=True)
    )
    node.memory_budget = MemoryBudget(memory_bytes)
    http_server = HttpServer(node, max_connections, max_overload_connections)
    await http_server.listen(("127.0.0.1", 0))
    try:
        yield http_server
    finally:
        http_server.stop()
        for connection in list(http_server.connections):
            connection.abort()
        await until(lambda: not http_server.connections)
        for backend in backends:
            backend.stop()


class NonReadingClient:
    """A client with small buffers that reads nothing until the test tells it to."""

    def __init__(self, http_server: HttpServer) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(http_server.address)
        self.sock.setblocking(False)
        self.sent_bytes, self.unsent = 0, b""

    def send(self, data: bytes) -> int:
        """Send what the kernels take; the rest of the previous call goes first, so that it stays whole."""
        data = self.unsent or data
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            return 0
        self.unsent = data[sent:]
        self.sent_bytes += sent
        return sent

    async def read_all(self) -> bytes:
        """Return everything that arrives until the end, or until a reset."""
        out = bytearray()
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while piece := await asyncio.wait_for(loop.sock_recv(self.sock, 1 << 16), WAIT):
                out += piece
        return bytes(out)


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


async def respond_large(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answer with a long response body."""
    writer.write(answer(b"x" * 65536))


def read_request() -> bytes:
    """Return a request that `respond_large` answers."""
    return b"GET /read HTTP/1.1\r\nRequest-Id: f%d\r\n\r\n" % next(IDS)


async def fill_write_buffer(client: NonReadingClient, http_server: HttpServer) -> None:
    """Send requests until a response exceeds the kernels' buffers, so that some of it stays at the node."""
    before = len(http_server.memory.unread) + http_server.memory.aborted_count
    for request_count in itertools.count(1):
        client.send(read_request())
        await until(partial(_has_answered, http_server, request_count))
        if len(http_server.memory.unread) + http_server.memory.aborted_count > before:
            break


def _has_answered(http_server: HttpServer, request_count: int) -> bool:
    return any(c.request_count == request_count and not c.request_id for c in http_server.connections)


# --- responses that clients do not read


@LOOPS
def test_connection_with_client_that_never_reads_stops_reading(
    tmp_path: Path,
    non_reading_client: Callable[[HttpServer], NonReadingClient],
    new_loop: NewLoop,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    resumed, resume = list[int](), ClientConnection.resume_writing

    def seen(self: ClientConnection) -> None:
        resumed.append(self.request_count)
        resume(self)

    monkeypatch.setattr(ClientConnection, "resume_writing", seen)

    async def test() -> None:
        async with running_http_server(tmp_path) as http_server:
            client, packet = non_reading_client(http_server), 70
            while True:
                while not http_server.memory.unread.total_bytes:
                    client.send(UP * packet)
                    await asyncio.sleep(0.001)
                (connection,) = http_server.connections
                asked, before = connection.request_count, len(resumed)
                for _ in range(10):
                    client.send(UP * packet)
                await asyncio.sleep(0.3)
                if len(resumed) == before:
                    break  # else the client's kernel took the rest, and further requests are rightly read
            assert connection.request_count == asked and not connection.is_closing and not http_server.idle

    run(test, new_loop)


def test_connection_with_thousands_of_requests_in_packet_stops_at_high_water(
    tmp_path: Path, non_reading_client: Callable[[HttpServer], NonReadingClient]
) -> None:
    """One read of the loop brings up to 256 KiB of requests, and their responses are several times that.

    Parsing must stop at the high water mark, or the memory is unbounded.
    """

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond_large)) as http_server:
            client = non_reading_client(http_server)
            await fill_write_buffer(client, http_server)
            (connection,) = http_server.connections
            connection.parse(UP * 10_000)
            assert connection.is_closing
            assert (
                WRITE_HIGH_WATER_BYTES
                < http_server.memory.unread.total_bytes
                < WRITE_HIGH_WATER_BYTES + 65536 + 1024
            )

    run(test)


@LOOPS
def test_connection_whose_client_reads_again_delivers_all_and_stays_open(
    tmp_path: Path, non_reading_client: Callable[[HttpServer], NonReadingClient], new_loop: NewLoop
) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond_large)) as http_server:
            client = non_reading_client(http_server)
            await fill_write_buffer(client, http_server)
            (connection,) = http_server.connections
            assert not http_server.idle
            loop, got = asyncio.get_running_loop(), 0
            while got < connection.request_count * 65536 or connection.is_write_blocked:
                got += len(await loop.sock_recv(client.sock, 1 << 16))
            assert http_server.memory.unread.total_bytes == 0 and not connection.is_closing
            await until(lambda: connection in http_server.idle)
            client.send(UP)
            seen = b""
            while not seen.endswith(b"up\n"):
                seen += await loop.sock_recv(client.sock, 1 << 16)

    run(test, new_loop)


def test_connection_with_stalled_response_is_aborted_after_deadline(
    tmp_path: Path,
    non_reading_client: Callable[[HttpServer], NonReadingClient],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(unread_responses, "READ_STALL_TIMEOUT_MS", 300.0)

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond_large)) as http_server:
            client = non_reading_client(http_server)
            await fill_write_buffer(client, http_server)
            (connection,) = http_server.connections
            due = connection.latest_deadline_ms
            await until(lambda: not http_server.connections)
            assert http_server.node.now() >= due  # 4 s after its request arrived
            assert http_server.memory.unread.total_bytes == 0

    run(test)


def test_unread_budget_when_exceeded_rejects_requests_and_aborts_largest(
    tmp_path: Path,
    non_reading_client: Callable[[HttpServer], NonReadingClient],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond_large)) as http_server:
            other = Client(*await asyncio.open_connection(*http_server.address))
            monkeypatch.setattr(unread_responses, "READ_PROGRESS_GRACE_MS", 1e9)
            await fill_write_buffer(non_reading_client(http_server), http_server)
            budget = http_server.node.memory_budget
            assert budget.charged_bytes > http_server.memory.unread.total_bytes > 0
            budget.charge(100_000)  # of others, so that a response still fits
            budget.capacity_bytes = budget.charged_bytes + 10_000
            assert http_server.memory.unread.is_over_budget
            assert (await other.ask("/read")).code == 503
            assert (await other.ask("/up")).code == 200
            monkeypatch.setattr(unread_responses, "READ_PROGRESS_GRACE_MS", 200.0)
            (greedy,) = http_server.memory.unread
            await until(lambda: not http_server.memory.unread.total_bytes)
            assert http_server.node.now() < greedy.latest_deadline_ms
            await until(lambda: len(http_server.connections) == 1)
            budget.charge(-100_000)
            assert (await other.ask("/read")).code == 200
            other.writer.transport.abort()

    run(test)


# --- closing


def descriptors() -> int:
    """Count the descriptors of this process."""
    return len(os.listdir("/proc/self/fd"))


def settled_descriptors() -> int:
    """Count the descriptors after those that earlier tests left open are collected."""
    gc.collect()
    return descriptors()


@LOOPS
def test_connection_when_closed_counts_until_descriptor_is_free(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path) as http_server:
            with socket.create_connection(http_server.address):
                await until(lambda: http_server.unused)
                held = settled_descriptors()
                (connection,) = http_server.connections
                connection.close()
                assert http_server.connections and descriptors() == held and not http_server.unused
                await until(lambda: not http_server.connections)
                await until(lambda: descriptors() == held - 1)

    run(test, new_loop)


@pytest.mark.parametrize("client_closes", [False, True])
def test_connection_closed_with_unread_bytes_frees_descriptor(
    tmp_path: Path,
    non_reading_client: Callable[[HttpServer], NonReadingClient],
    monkeypatch: pytest.MonkeyPatch,
    client_closes: bool,
) -> None:
    """A flush that never completes must not hold a descriptor that nothing counts."""
    monkeypatch.setattr(unread_responses, "READ_STALL_TIMEOUT_MS", 300.0)

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond_large)) as http_server:
            client = non_reading_client(http_server)
            await fill_write_buffer(client, http_server)
            (connection,) = http_server.connections
            held, connection.latest_deadline_ms = settled_descriptors(), 0.0
            http_server.memory.unread.discard(connection)
            http_server.memory.update_unread(connection)  # with a deadline in the past
            if client_closes:
                client.sock.shutdown(socket.SHUT_WR)
            else:
                connection.close()
                assert connection.is_closing
            assert http_server.connections == {connection}
            await until(lambda: not http_server.connections)
            await until(lambda: descriptors() == held - 1)

    run(test)


def test_connection_closed_with_bytes_read_late_loses_none(
    tmp_path: Path, non_reading_client: Callable[[HttpServer], NonReadingClient]
) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond_large)) as http_server:
            client = non_reading_client(http_server)
            await fill_write_buffer(client, http_server)
            (connection,) = http_server.connections
            connection.close()
            await asyncio.sleep(2 * LINGERING_CLOSE_S)
            got = await client.read_all()
            assert len(got) > connection.request_count * 65536 and got.endswith(b"x" * 65536)

    run(test)


# --- descriptors


@contextlib.contextmanager
def no_descriptor_left() -> Iterator[None]:
    """Take all descriptors that this process may have."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptor = max(int(name) for name in os.listdir("/proc/self/fd")) + 2
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptor, hard))
    duplicates = []
    try:
        with contextlib.suppress(OSError):
            while True:
                duplicates.append(os.dup(0))
        yield
    finally:
        for descriptor in duplicates:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@LOOPS
def test_listener_without_descriptors_answers_503_and_recovers(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0")) as http_server:
            first = Client(*await asyncio.open_connection(*http_server.address))
            assert (await first.ask("/up")).code == 200
            loop, sockets = asyncio.get_running_loop(), [socket.socket() for _ in range(5)]
            with no_descriptor_left():
                for sock in sockets:
                    sock.setblocking(False)
                    await loop.sock_connect(sock, http_server.address)
                for sock in sockets:
                    response = b""
                    while piece := await asyncio.wait_for(loop.sock_recv(sock, 4096), WAIT):
                        response += piece
                    assert response.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in response
                assert (await first.ask("/up")).code == 200
            for sock in sockets:
                sock.close()
            last = Client(*await asyncio.open_connection(*http_server.address))
            assert (await last.ask("/read")).code == 200
            for client in (first, last):
                client.writer.transport.abort()

    run(test, new_loop)


@LOOPS
def test_listener_without_reserve_descriptor_pauses_and_resumes(
    tmp_path: Path, new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop must not spin over a connection that cannot be accepted."""

    async def test() -> None:
        async with running_http_server(tmp_path) as http_server:
            attempt_count = 0
            reject_with_reserve = http_server.listener._reject_with_reserve

            def counted() -> bool:
                nonlocal attempt_count
                attempt_count += 1
                return reject_with_reserve()

            monkeypatch.setattr(http_server.listener, "_reject_with_reserve", counted)
            sock = socket.socket()
            sock.setblocking(False)
            http_server.listener._close_reserve()
            with no_descriptor_left():
                await asyncio.get_running_loop().sock_connect(sock, http_server.address)
                await until(lambda: attempt_count)
                await asyncio.sleep(0.3)
                assert attempt_count <= 4
            await until(lambda: http_server.connections)  # accepted at the next attempt
            sock.close()

    run(test, new_loop)


@LOOPS
def test_listener_with_many_clients_stays_within_descriptor_cap(tmp_path: Path, new_loop: NewLoop) -> None:
    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0"), max_connections=4, max_overload_connections=2
        ) as http_server:
            before = descriptors()
            max_held = 0
            for _ in range(5):
                crowd = [socket.create_connection(http_server.address) for _ in range(40)]
                for _ in range(200):
                    await asyncio.sleep(0)
                    held = len(http_server.connections) + len(http_server.listener.connecting)
                    max_held = max(max_held, held, descriptors() - before - len(crowd))
                for sock in crowd:
                    sock.close()
            assert 4 <= max_held <= 6 + 2  # a descriptor is free two turns of the loop later
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/read")).code == 200
            client.writer.transport.abort()

    run(test, new_loop)


def test_listener_without_free_slot_answers_503(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_http_server(
            tmp_path, max_connections=1, max_overload_connections=0
        ) as http_server:
            incomplete = socket.create_connection(http_server.address)
            incomplete.send(b"GET /up HTTP/1.1\r\nHost")
            await until(lambda: http_server.connections and not http_server.unused)
            client = Client(*await asyncio.open_connection(*http_server.address))
            got = await client.answer()
            assert (got.code, got.headers["connection"]) == (503, "close")
            assert await client.ended() == b""
            incomplete.close()

    run(test)


def test_node_with_low_soft_limit_raises_it_to_configured_sockets(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, Backend("b0"), sockets=512, descriptors=(64, 4096)) as rig:
            assert resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE) == (512, 4096)
            assert not any("limits.sockets" in line for line in rig.log)

    run(test)


def test_node_with_hard_limit_of_64_keeps_clients_and_discovery_in_flood(tmp_path: Path) -> None:
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


def test_node_with_too_few_descriptors_exits_with_reason(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([], 1)))
        process = await spawn(path, (30, 30))
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err == b"balancer: limits: 30 descriptors (ulimit -n), 36 at least\n"

    run(test)
