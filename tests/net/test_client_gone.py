"""Clients that disconnect while their request waits: it is not sent on, wherever it waits."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.net import backend_pool as upstream
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.http_server import HttpServer
from balancer.net.request_dispatcher import RequestDispatcher
from tests.net.test_http_server import LOOPS, NewLoop
from tests.net.test_http_server import run as run_on
from tests.sockets import (
    CLASSES,
    PATIENT,
    WAIT,
    Backend,
    Client,
    Message,
    answer,
    configuration,
)

DISCONNECTS = pytest.mark.parametrize("how", ["fin", "rst", "half"])
CANCELS = pytest.mark.parametrize("cancel", [True, False])
EFFECTS = pytest.mark.parametrize("target", ["/read", "/pay", "/once"])


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(bounded())


async def until(condition: Callable[[], object]) -> None:
    """Wait until the condition is met."""
    while not condition():
        await asyncio.sleep(0.002)


class ConnectGate:
    """Holds connects to a backend until it is opened; `has_small_buffers` limits their send buffers."""

    def __init__(self, port: int, has_small_buffers: bool = False) -> None:
        self.open, self.connect_count = asyncio.Event(), 0
        loop: Any = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def connect_when_open(sock: socket.socket, address: Any) -> None:
            if address[1] == port:
                self.connect_count += 1
                if has_small_buffers:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                await self.open.wait()
            await connect(sock, address)

        loop.sock_connect = connect_when_open


@contextlib.asynccontextmanager
async def fronting(tmp: Path, *members: dict[str, Any], **over: Any) -> AsyncIterator[HttpServer]:
    """Run an HTTP server with its node in this process."""
    path = tmp / "config.json"
    path.write_text(json.dumps(configuration(list(members), 1, **(PATIENT | over))))
    config = load({"PROXY_CONFIG": str(path)})
    node = RequestDispatcher(config)
    EndpointView(node, [Source("platform")]).handle(
        EndpointsListed("platform", "here", config.configured_endpoints, is_cached=True)
    )
    http_server = HttpServer(node, 50)
    await http_server.listen(("127.0.0.1", 0))
    try:
        yield http_server
    finally:
        http_server.stop()
        for connection in list(http_server.connections):
            connection.abort()
        await until(lambda: not http_server.connections)


async def ask(http_server: HttpServer, target: str, body: bytes = b"") -> Client:
    """Connect a client that has sent one request."""
    client = Client(*await asyncio.open_connection(*http_server.address))
    if target == "/read":
        client.send(target)
    else:
        client.send(target, *(["Idempotency-Key: k"] if target == "/pay" else []), method="POST", body=body)
    return client


async def disconnect(http_server: HttpServer, client: Client, how: str) -> None:
    """Disconnect the client, and wait until the server has noticed."""
    before = len(http_server.connections)
    sock = client.writer.get_extra_info("socket")
    if how == "rst":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
    elif how == "fin":
        client.writer.close()
    else:
        client.writer.write_eof()
    await until(lambda: len(http_server.connections) < before)
    client.writer.transport.abort()


async def let_loop_settle() -> None:
    """Let the loop turn often enough for everything in transit over loopback."""
    for _ in range(50):
        await asyncio.sleep(0.001)


def has_no_leftovers(node: RequestDispatcher) -> bool:
    """Whether a request that is over has left nothing behind."""
    balancer = node.balancer
    return not (
        node.open_requests
        or balancer.in_flight
        or balancer.requests
        or balancer.queued
        or node.pool.connection_count
    )


@DISCONNECTS
@CANCELS
@EFFECTS
def test_disconnect_while_connecting_sends_nothing(
    tmp_path: Path, how: str, cancel: bool, target: str
) -> None:
    """The attempt ends even if attempts may not be cancelled: nothing of it has left."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        gate = ConnectGate(backend.port)
        async with fronting(tmp_path, backend.member(), limits={"cancel": cancel}) as http_server:
            client = await ask(http_server, target)
            await until(lambda: gate.connect_count)
            await disconnect(http_server, client, how)
            gate.open.set()
            await let_loop_settle()
            assert backend.got.empty() and not backend.connections
            assert has_no_leftovers(http_server.node)
        backend.stop()

    run(test)


@DISCONNECTS
@CANCELS
def test_disconnect_while_partly_written_sends_no_rest(tmp_path: Path, how: str, cancel: bool) -> None:
    """The server must not get the rest of the request."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            server.bind(("127.0.0.1", 0))
            server.listen()
            server.setblocking(False)
            ConnectGate(server.getsockname()[1], has_small_buffers=True).open.set()
            member = Backend("b0", port=server.getsockname()[1]).member()
            async with fronting(tmp_path, member, limits={"cancel": cancel}) as http_server:
                body = b"x" * 65536
                client = await ask(http_server, "/once", body)
                sock, _ = await loop.sock_accept(server)
                sock.setblocking(False)
                open_requests = http_server.node.open_requests
                await until(
                    lambda: [
                        r
                        for r in open_requests.values()
                        if (a := r.attempts[0].exchange) and a.connection and a.connection.is_write_blocked
                    ]
                )
                await disconnect(http_server, client, how)
                received_bytes = 0
                with contextlib.suppress(ConnectionError):
                    while piece := await loop.sock_recv(sock, 65536):
                        received_bytes += len(piece)
                sock.close()
                assert received_bytes < len(body) and has_no_leftovers(http_server.node)

    run(test)


@DISCONNECTS
@CANCELS
def test_disconnect_while_queued_leaves_queue(tmp_path: Path, how: str, cancel: bool) -> None:
    """Free capacity goes to clients that are still connected, and the others leave the queue."""

    async def test() -> None:
        may_respond = asyncio.Event()

        async def late(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await may_respond.wait()
            writer.write(answer(b"late"))

        backend = Backend("b0", late)
        await backend.start()
        async with fronting(tmp_path, backend.member(), limits={"cancel": cancel}) as http_server:
            clients = [await ask(http_server, "/read") for _ in range(6)]
            balancer = http_server.node.balancer
            await until(lambda: len(balancer.requests) == 6 and balancer.in_flight == 4)
            assert len(balancer.queued) == 2
            first, last = clients[-2:]
            await disconnect(http_server, last, how)
            assert len(balancer.queued) == 1
            may_respond.set()
            assert (await first.answer()).code == 200
            for client in clients[:4]:
                assert (await client.answer()).code == 200
            await let_loop_settle()
            assert backend.got.qsize() == 5 and not balancer.queued and not http_server.node.open_requests
        backend.stop()

    run(test)


@DISCONNECTS
@CANCELS
def test_disconnect_while_events_are_held_back_sends_nothing(tmp_path: Path, how: str, cancel: bool) -> None:
    """Events that were held back are not acted on for clients that have disconnected meanwhile."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member(), limits={"cancel": cancel}) as http_server:
            http_server.node.defer_events(True)
            disconnected, connected = await ask(http_server, "/read"), await ask(http_server, "/read")
            await until(lambda: len(http_server.node.open_requests) == 2)
            await disconnect(http_server, disconnected, how)
            http_server.node.defer_events(False)
            assert (await connected.answer()).code == 200
            await let_loop_settle()
            assert (
                backend.got.qsize() == 1
                and not http_server.node.open_requests
                and not http_server.node.balancer.in_flight
            )
        backend.stop()

    run(test)


@DISCONNECTS
@CANCELS
def test_disconnect_while_rejection_is_held_back_sends_no_retry(
    tmp_path: Path, how: str, cancel: bool
) -> None:
    """As after a stall: a retry for a request that is over is not sent and leaves no counts behind."""

    async def test() -> None:
        may_respond = asyncio.Event()

        async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await may_respond.wait()
            writer.write(answer(b"", "503 Busy", "Not-Started: 1"))

        backends = [Backend(f"b{n}", respond) for n in range(2)]
        for backend in backends:
            await backend.start()
        members = [backend.member() for backend in backends]
        async with fronting(tmp_path, *members, limits={"cancel": cancel}) as http_server:
            node = http_server.node
            client = await ask(http_server, "/read")
            await until(lambda: sum(backend.got.qsize() for backend in backends))
            node.defer_events(True)
            may_respond.set()
            await until(lambda: node._deferred_events)
            await disconnect(http_server, client, how)
            node.defer_events(False)
            await let_loop_settle()
            assert sum(backend.got.qsize() for backend in backends) == 1
            node.pool.close_idle("b0")
            node.pool.close_idle("b1")
            assert has_no_leftovers(node)
        for backend in backends:
            backend.stop()

    run(test)


def test_request_id_while_events_are_held_back_is_in_use(tmp_path: Path) -> None:
    """A second request of that ID would be sent twice: the retry of the first was written with its bytes."""

    async def test() -> None:
        may_respond, bodies = asyncio.Event(), list[bytes]()

        async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            bodies.append(message.body)
            await may_respond.wait()
            writer.write(answer(b"", "503 Busy", "Not-Started: 1") if message.body == b"1" else answer(b"ok"))

        backends = [Backend(f"b{n}", respond) for n in range(2)]
        for backend in backends:
            await backend.start()
        async with fronting(tmp_path, *(backend.member() for backend in backends)) as http_server:
            node, request = (
                http_server.node,
                b"POST /once HTTP/1.1\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\n",
            )
            first, second, third = [
                Client(*await asyncio.open_connection(*http_server.address)) for _ in range(3)
            ]
            first.writer.write(request + b"1")
            await until(lambda: bodies)
            node.defer_events(True)
            may_respond.set()
            await until(lambda: node._deferred_events)
            await disconnect(http_server, first, "rst")
            second.writer.write(request + b"2")
            answered = asyncio.create_task(second.answer())
            await until(lambda: answered.done() or "x" in node.open_requests)
            node.defer_events(False)
            assert ((await answered).code, bodies) == (409, [b"1"])
            third.writer.write(request + b"3")  # both are finished, so the ID may be used again
            assert ((await third.answer()).code, bodies) == (200, [b"1", b"3"])
            for client in (second, third):
                client.writer.transport.abort()
        for backend in backends:
            backend.stop()

    run(test)


@LOOPS
@pytest.mark.parametrize(("text", "code"), [(answer(b"mine"), 200), (answer(b"mine")[:-1], 502)])
def test_attempt_timeout_with_response_in_kernel_serves_it(
    tmp_path: Path, new_loop: NewLoop, text: bytes, code: int
) -> None:
    """As after a stall, when the loop may run timers before sockets; an incomplete response fails."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            member = Backend("b0", port=server.getsockname()[1]).member()
            async with fronting(tmp_path, member) as http_server:
                client = await ask(http_server, "/once")
                peer, _ = await loop.sock_accept(server)
                with peer:
                    assert await loop.sock_recv(peer, 4096)
                    (request,) = http_server.node.open_requests.values()
                    peer.send(text)
                    http_server.node._on_timeout(request.attempts[0])
                    assert (await client.answer()).code == code
                client.writer.transport.abort()

    run_on(test, new_loop)


@pytest.mark.parametrize("target", ["/read", "/once"])
def test_timeout_while_reuse_is_delayed_is_no_backend_failure(
    tmp_path: Path, target: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """This node delayed the request: it never ran, and the backend had no part in it."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        classes = [c | {"give-up": 1000, "objective": 800} for c in CLASSES]
        async with fronting(tmp_path, backend.member(), **{"request-classes": classes}) as http_server:
            client = await ask(http_server, "/read")
            assert (await client.answer()).code == 200
            monkeypatch.setattr(upstream, "REUSE_DELAY_S", 30.0)
            method = "GET" if target == "/read" else "POST"
            balancer_backend = http_server.node.balancer.backends["b0"]
            client.send(target, method=method)
            await until(lambda: balancer_backend.in_flight)
            assert (await client.answer()).code == 503
            assert (
                balancer_backend.ejected_until_ms
                == balancer_backend.paused_until_ms
                == balancer_backend.consecutive_failures
                == 0
                and backend.got.qsize() == 1
            )
            monkeypatch.setattr(upstream, "REUSE_DELAY_S", 0.01)
            assert (await client.ask(target, method=method)).code == 200
            assert backend.connections == 2  # the delayed connection was closed with its attempt
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_request_after_slow_connect_sends_remaining_timeout(tmp_path: Path) -> None:
    """A backend must not work for a node that has given up by then."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        gate = ConnectGate(backend.port)
        classes = [c | {"give-up": 2000, "objective": 2000} for c in CLASSES]
        async with fronting(tmp_path, backend.member(), **{"request-classes": classes}) as http_server:
            client = await ask(http_server, "/read")
            await until(lambda: gate.connect_count)
            await asyncio.sleep(0.3)  # a longer delay does no harm
            gate.open.set()
            assert (await client.answer()).code == 200
            timeout_us = int((await backend.got.get()).headers["request-timeout"].removesuffix("u"))
            assert 0 < timeout_us <= 1_700_000
            client.writer.transport.abort()
        backend.stop()

    run(test)
