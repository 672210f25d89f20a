"""What clients make a node hold before their requests are complete: heads and bodies, within a budget."""

from __future__ import annotations

import asyncio
import gc
import sys
import time
import weakref
from pathlib import Path
from typing import Any

import pytest

from balancer.core.connection_admission import MAX_FORWARDED_BODY_BYTES, MAX_HEAD_BYTES
from balancer.core.memory_budget import SMALL_REQUEST_BYTES, Use
from balancer.core.parsing_budget import ALLOWANCE_MS, SLICE_BYTES
from balancer.net import client_memory
from balancer.net import http_server as http_server_module
from balancer.net.backend_connection import BackendConnection
from balancer.net.http_server import ClientConnection, HttpServer
from balancer.net.input_queue import READ_BUFFER_BYTES
from tests.net.test_graceful_shutdown import never_respond
from tests.net.test_http_server import run, running_http_server, until
from tests.sockets import HOUR, PATIENT, Backend, Client, Message, answer

CAPACITY_BYTES = 1_000_000
WHOLE_CAPACITY_BYTES = 400_000  # for three requests of 60 kB with their connections
HEAD = b"POST /once HTTP/1.1\r\nRequest-Id: m%d\r\n"
BODY = HEAD + b"Content-Length: 60000\r\n\r\n"
STUCK = {
    "head": HEAD + b"X: " + b"x" * 14_000,
    "target": b"GET /read?%d" + b"q" * 14_000,
    "body": BODY + b"x" * 50_000,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"40\r\n" + b"x" * 64 + b"\r\n",
}


def test_head_of_many_fields_takes_no_more_memory_than_its_bytes(tmp_path: Path) -> None:
    """Guards against a process that is killed: 300 such heads took 197 MB where 64 were allowed."""
    fields = b"".join(b"%x:\r\n" % number for number in range(2_500))
    assert len(fields) < MAX_HEAD_BYTES

    async def test() -> None:
        async with running_http_server(tmp_path, settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            client.writer.write(b"GET /read HTTP/1.1\r\nRequest-Id: r\r\nTenant: t\r\n" + fields)
            await until(lambda: http_server.connections)
            (connection,) = http_server.connections
            await until(lambda: connection.head_bytes > len(fields))
            assert connection.headers == {b"request-id": b"r", b"tenant": b"t"}
            assert sys.getsizeof(connection.headers) < 1_000
            client.writer.transport.abort()

    run(test)


async def connect(http_server: HttpServer, data: bytes) -> Client:
    """Connect a client that has sent some bytes."""
    client = Client(*await asyncio.open_connection(*http_server.address))
    client.writer.write(data)
    return client


@pytest.mark.parametrize("kind", [*STUCK])
def test_requests_that_never_become_complete_stay_within_the_budget(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """Guards against a process that is killed: 800 clients with half a small body took 91 MB of 64."""
    monkeypatch.setattr(
        http_server_module, "SLOW_REQUEST_TIMEOUT_S", HOUR
    )  # on a busy machine it comes first
    monkeypatch.setattr(client_memory, "MIN_STALLED_S", 0.0)
    repeats = 700 if kind == "chunks" else 1

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0"), memory_bytes=CAPACITY_BYTES, settings=PATIENT
        ) as http_server:
            budget, most_bytes = http_server.node.memory_budget, 0
            usual = Client(*await asyncio.open_connection(*http_server.address))
            stuck = list[Client]()
            for number in range(40):
                data = STUCK[kind] % number
                body = data.partition(b"\r\n\r\n")[2] * (repeats - 1)
                stuck.append(await connect(http_server, data + body))
                assert (await usual.ask("/read")).code == 200
                most_bytes = max(most_bytes, budget.charged_bytes)
                assert budget.has_room(Use.LARGE_REQUEST, -SMALL_REQUEST_BYTES)
            assert most_bytes > CAPACITY_BYTES / 2
            assert (await stuck[0].answer()).code == 503  # the oldest; the latest is still there
            closing = [one for one in http_server.connections if one.is_closing]
            assert closing and not any(one.request_line or one.target or one.body for one in closing)
            assert len(http_server.incomplete) >= 2
            for client in (usual, *stuck):
                client.writer.transport.abort()
            await until(lambda: not http_server.connections)
            assert http_server.memory.requests.total_bytes == 0

    run(test)


def test_requests_that_still_arrive_get_complete_however_many_begin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_memory, "MIN_STALLED_S", HOUR)
    data = BODY + b"x" * 50_000
    capacity_bytes = 420_000  # for four of them with their connections

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0"), memory_bytes=capacity_bytes, settings=PATIENT
        ) as http_server:
            clients = [await connect(http_server, data % number) for number in range(4)]
            await until(lambda: http_server.memory.requests.total_bytes > 200_000)
            for number in range(4, 7):
                late = await connect(http_server, data % number)
                assert (await late.answer()).code == 503
                late.writer.transport.abort()
                await until(lambda: len(http_server.connections) == 4)
            for client in clients:
                client.writer.write(b"x" * 10_000)
                assert (await client.answer()).code == 200
                client.writer.transport.abort()

    run(test)


def test_requests_that_await_a_response_count_and_further_ones_are_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0", never_respond), memory_bytes=WHOLE_CAPACITY_BYTES, settings=PATIENT
        ) as http_server:
            node = http_server.node
            clients = [await connect(http_server, BODY % n + b"x" * 60_000) for n in range(3)]
            await until(lambda: len(node.open_requests) == 3)
            assert 180_000 < http_server.memory.requests.total_bytes < 200_000
            late = await connect(http_server, BODY % 3 + b"x" * 60_000)
            assert (await late.answer()).code == 503
            assert http_server.memory.requests.total_bytes < 200_000 and len(node.open_requests) == 3
            for client in (late, *clients):
                client.writer.transport.abort()
            await until(lambda: not http_server.connections)
            assert http_server.memory.requests.total_bytes == 0

    run(test)


def test_input_that_waits_for_its_turn_counts(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            client = await connect(http_server, b"")
            await until(lambda: http_server.connections)
            (connection,) = http_server.connections
            connection.allowance.charge(time.monotonic() * 1000, ALLOWANCE_MS, SLICE_BYTES)
            connection.data_received(HEAD % 1 + b"X: " + b"x" * (READ_BUFFER_BYTES // 2))
            assert http_server.memory.requests.total_bytes > READ_BUFFER_BYTES // 2
            http_server.node.memory_budget.capacity_bytes = READ_BUFFER_BYTES
            connection.data_received(b"x")
            assert connection not in http_server.node.input_queue
            assert (await client.answer()).code == 503
            client.writer.transport.abort()

    run(test)


def test_answered_request_holds_nothing_on_a_kept_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            client = await connect(http_server, b"")
            body = b"x" * MAX_FORWARDED_BODY_BYTES
            for _ in range(3):
                assert (
                    await client.ask("/once", "Tenant: " + "t" * 4_000, method="POST", body=body)
                ).code == 200
            (connection,) = http_server.connections
            assert not (connection.headers or connection.body or connection.target)
            assert http_server.memory.requests.total_bytes == 0
            client.writer.transport.abort()

    run(test)


def test_closed_connections_are_freed_without_the_garbage_collector(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against thousands of closed connections in memory: a node with 500 open ones held 4,097."""
    connections: weakref.WeakSet[ClientConnection | BackendConnection] = weakref.WeakSet()

    def track(kind: type[ClientConnection] | type[BackendConnection]) -> None:
        initialize = kind.__init__

        def initialize_tracked(self: ClientConnection | BackendConnection, *args: Any) -> None:
            connections.add(self)
            initialize(self, *args)  # type: ignore[arg-type]

        monkeypatch.setattr(kind, "__init__", initialize_tracked)

    async def respond_and_close(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(b"x", "200 OK", "Connection: close"))

    async def test() -> None:
        backends = Backend("b0", respond_and_close)
        async with running_http_server(tmp_path, backends, settings=PATIENT) as http_server:
            for data in (b"", b"GET /read HTTP/1.1\r\n", b"bad\r\n\r\n"):
                client = await connect(http_server, data)
                await asyncio.sleep(0.05)
                client.writer.transport.abort()
            client = await connect(http_server, b"")
            assert (await client.ask("/read")).code == 200
            client.writer.transport.abort()
            await until(lambda: not http_server.connections)
            await until(lambda: not connections)

    track(ClientConnection)
    track(BackendConnection)
    gc.disable()
    try:
        run(test)
    finally:
        gc.enable()
