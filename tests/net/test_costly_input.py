"""Input that costs much work for few bytes: clients and backends that send it hold up nobody else."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from balancer.core.connection_admission import MAX_FORWARDED_BODY_BYTES, MAX_FRAMING_BYTES
from balancer.core.parsing_budget import ALLOWANCE_MS, SLICE_BYTES, TURN_BUDGET_MS, ParsingAllowance
from balancer.net import input_queue
from balancer.net.backend_connection import BackendConnection
from balancer.net.http_server import ClientConnection
from tests.net.test_http_server import run, running_http_server, until
from tests.net.test_input_queue import Clock
from tests.net.test_long_bodies import chunked
from tests.sockets import DOCUMENTED_BODY_BYTES, PATIENT, Backend, Client, Message, answer

CLIENTS = 20
CALLBACK_MS = 0.001  # that each call of the parser takes on the clock of these tests
HEAD = b"POST /once HTTP/1.1\r\nRequest-Id: costly-%d\r\nTransfer-Encoding: chunked\r\n\r\n"
CALLBACKS = "on_body", "on_header", "on_message_begin"


class CallbackCounter:
    """Counts the calls of the parser in each turn of the loop, and has each take some time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, owner: type, names: tuple[str, ...]) -> None:
        self.clock, self.count, self.most_in_turn = Clock(), 0, 0
        monkeypatch.setattr(input_queue, "time", self.clock)
        for name in names:
            monkeypatch.setattr(owner, name, self.counted(getattr(owner, name)))

    def counted(self, callback: Callable[..., None]) -> Callable[..., None]:
        """Wrap a callback of the parser."""

        def call(*arguments: object) -> None:
            self.count += 1
            self.clock.now_s += CALLBACK_MS / 1000
            callback(*arguments)

        return call

    async def watch(self) -> None:
        """Note the largest number of calls in a turn of the loop, which takes a moment by itself."""
        while True:
            before = self.count
            await asyncio.sleep(0)
            self.most_in_turn = max(self.most_in_turn, self.count - before)
            self.clock.now_s += 0.0001


def fill(address: tuple[str, int], data: bytes) -> socket.socket:
    """Connect and send as much as the kernel takes, before the loop turns."""
    sock = socket.create_connection(address)
    sock.setblocking(False)
    sock.send(data)
    return sock


@pytest.mark.parametrize(
    ("start", "repeated"),
    [(b"", b"10\r\n" + b"q" * 16 + b"\r\n"), (b"", b"1\r\nq\r\n"), (b"0\r\n", b"a:\r\n")],
    ids=["chunks", "one-byte chunks", "trailers"],
)
def test_costly_requests_of_many_clients_leave_turns_to_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, start: bytes, repeated: bytes
) -> None:
    """Guards against 40 clients with bodies in small chunks for whom nobody else was answered for seconds."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            counter = CallbackCounter(monkeypatch, ClientConnection, CALLBACKS)
            data = start + repeated * (200_000 // len(repeated))
            socks = [fill(http_server.address, HEAD % number + data) for number in range(CLIENTS)]
            watching = asyncio.create_task(counter.watch())
            usual = Client(*await asyncio.open_connection(*http_server.address))
            for _ in range(5):
                assert (await usual.ask("/read")).code == 200
            watching.cancel()
            # One slice of each connection that is read for the first time, and the queue's budget.
            slices = (CLIENTS + 1) * SLICE_BYTES / 4
            assert counter.most_in_turn <= slices + (TURN_BUDGET_MS + ALLOWANCE_MS) / CALLBACK_MS
            for sock in socks:
                sock.close()
            usual.writer.transport.abort()

    run(test)


def test_costly_response_leaves_turns_to_others(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    body = b"q" * DOCUMENTED_BODY_BYTES

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 1))

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond), settings=PATIENT) as http_server:
            counter = CallbackCounter(monkeypatch, BackendConnection, ("on_body",))
            watching = asyncio.create_task(counter.watch())
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/read")).body == body  # all that the protocol allows, if in turns
            watching.cancel()
            assert counter.count >= len(body)
            assert counter.most_in_turn <= (TURN_BUDGET_MS + ALLOWANCE_MS) / CALLBACK_MS + SLICE_BYTES / 4
            client.writer.transport.abort()

    run(test)


def test_pipelined_health_checks_leave_turns_to_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each is answered by the node itself, so that nothing else bounds them."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0")) as http_server:
            counter = CallbackCounter(monkeypatch, ClientConnection, ("on_message_begin",))
            request = b"GET /up HTTP/1.1\r\n\r\n"
            sock = fill(http_server.address, request * 10_000)
            watching = asyncio.create_task(counter.watch())
            await until(lambda: counter.count >= 1000)
            watching.cancel()
            assert counter.most_in_turn <= input_queue.READ_BUFFER_BYTES / len(request) + 1
            sock.close()

    run(test)


@pytest.mark.parametrize(
    "start,repeated",
    [(b"1;", b"x" * 1024), (b"", b"1;" + b"x" * 1024 + b"\r\ny\r\n"), (b"0\r\n", b"More: x\r\n")],
    ids=["extension", "extensions", "trailers"],
)
def test_request_with_endless_framing_is_rejected(tmp_path: Path, start: bytes, repeated: bytes) -> None:
    """The size of the body bounds neither chunk extensions nor trailers."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            client.writer.write(HEAD % 1 + start + repeated * (2 * MAX_FRAMING_BYTES // len(repeated)))
            assert (await client.answer()).code == 413
            client.writer.transport.abort()

    run(test)


@pytest.mark.parametrize("chunk_bytes", [1, 2])
def test_longest_body_of_protocol_in_smallest_chunks_is_forwarded(tmp_path: Path, chunk_bytes: int) -> None:
    body = bytes(n % 251 for n in range(DOCUMENTED_BODY_BYTES))

    async def test() -> None:
        backend = Backend("b0")
        async with running_http_server(tmp_path, backend, settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            client.writer.write(HEAD % 1 + chunked(body, chunk_bytes))
            assert (await client.answer()).code == 200 and (await backend.got.get()).body == body
            client.writer.transport.abort()

    run(test)


def test_body_in_small_chunks_takes_the_memory_of_its_bytes(tmp_path: Path) -> None:
    """As a list of pieces of two bytes it took thirty times as much."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            size = DOCUMENTED_BODY_BYTES
            client.writer.write(HEAD % 1 + chunked(b"q" * size, 2).removesuffix(b"0\r\n\r\n"))
            await until(lambda: http_server.connections)
            (connection,) = http_server.connections
            await until(lambda: connection.size_bytes == size)
            assert sys.getsizeof(connection.body) < 1.25 * size
            client.writer.transport.abort()

    run(test)


def test_request_that_waits_for_its_turn_is_answered_though_its_connection_is_closed(tmp_path: Path) -> None:
    """It was read, so that the client does not send it again."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/read")).code == 200
            (connection,) = http_server.connections
            connection.allowance.charge(time.monotonic() * 1000, ALLOWANCE_MS, SLICE_BYTES)
            connection.data_received(b"GET /read HTTP/1.1\r\nRequest-Id: waits\r\n\r\n")
            assert connection in http_server.node.input_queue
            connection.close()
            assert (await client.answer()).code == 200
            client.writer.transport.abort()

    run(test)


def test_long_body_with_length_is_not_slowed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """It costs a callback for each slice, so that it has its turns at once."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            counter = CallbackCounter(monkeypatch, ClientConnection, CALLBACKS)
            client = Client(*await asyncio.open_connection(*http_server.address))
            response = await client.ask("/once", method="POST", body=b"q" * MAX_FORWARDED_BODY_BYTES)
            assert response.code == 200
            assert counter.count < 2 * MAX_FORWARDED_BODY_BYTES / SLICE_BYTES
            client.writer.transport.abort()

    run(test)


def test_response_that_waits_for_its_turn_counts_when_time_is_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        is_exhausted, may_respond = False, asyncio.Event()

        async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await may_respond.wait()
            writer.write(answer(b"in time"))

        async with running_http_server(tmp_path, Backend("b0", respond), settings=PATIENT) as http_server:
            node = http_server.node
            client = Client(*await asyncio.open_connection(*http_server.address))
            monkeypatch.setattr(node.input_queue, "_schedule", lambda: None)  # no turn comes
            monkeypatch.setattr(ParsingAllowance, "is_exhausted", lambda allowance, now_ms: is_exhausted)
            client.send("/read")
            await until(lambda: node.open_requests)
            is_exhausted = True
            may_respond.set()
            await until(lambda: len(node.input_queue))
            (request,) = node.open_requests.values()
            node._on_timeout(request.attempts[0])
            assert (await client.answer()).body == b"in time"
            client.writer.transport.abort()

    run(test)


@pytest.mark.parametrize("is_reset", [False, True])
def test_response_that_waits_as_its_connection_ends_is_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_reset: bool
) -> None:
    """The end of the connection is read while the response waits for its turn."""
    parts = (b"HTTP/1.1 200 OK\r\n\r\nfirst ", b"last") if not is_reset else (answer(b"first last"), b"")

    async def test() -> None:
        is_exhausted, may_end = False, asyncio.Event()

        async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await may_end.wait()
            writer.write(b"".join(parts))
            await asyncio.sleep(0.05)
            writer.close()

        async with running_http_server(tmp_path, Backend("b0", respond), settings=PATIENT) as http_server:
            node = http_server.node
            client = Client(*await asyncio.open_connection(*http_server.address))
            monkeypatch.setattr(node.input_queue, "_schedule", lambda: None)  # no turn comes
            monkeypatch.setattr(ParsingAllowance, "is_exhausted", lambda allowance, now_ms: is_exhausted)
            client.send("/read")
            await until(lambda: node.open_requests)
            is_exhausted = True
            may_end.set()
            assert (await client.answer()).body == b"first last"
            client.writer.transport.abort()

    run(test)


def test_input_that_waits_as_its_connection_is_aborted_is_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A closed transport cannot pause, and others would lose their turns by that error."""

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            errors = list[object]()
            http_server.loop.set_exception_handler(lambda _, context: errors.append(context))
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/read")).code == 200
            (connection,) = http_server.connections
            connection.data_received(b"GET /read HTTP/1.1\r\nX: " + b"x" * 20_000)
            connection.closes_after_response = True
            connection.discarded_bytes = DOCUMENTED_BODY_BYTES
            assert connection.transport is not None
            connection.transport.abort()
            await until(lambda: not http_server.connections)
            assert not errors and not len(http_server.node.input_queue)

    run(test)
