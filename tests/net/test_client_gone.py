"""A client that leaves while its request waits: nothing of it is sent on, wherever it waits."""

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

LEAVES = pytest.mark.parametrize("how", ["fin", "rst", "half"])
CANCELS = pytest.mark.parametrize("cancel", [True, False])
EFFECTS = pytest.mark.parametrize("target", ["/read", "/pay", "/once"])


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(bounded())


async def until(met: Callable[[], object]) -> None:
    """Wait for it."""
    while not met():
        await asyncio.sleep(0.002)


class Gate:
    """Holds connections to a backend back until it is opened; `sized` makes their buffers small."""

    def __init__(self, port: int, sized: bool = False) -> None:
        self.open, self.tried = asyncio.Event(), 0
        loop: Any = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def held(sock: socket.socket, address: Any) -> None:
            if address[1] == port:
                self.tried += 1
                if sized:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                await self.open.wait()
            await connect(sock, address)

        loop.sock_connect = held


@contextlib.asynccontextmanager
async def fronting(tmp: Path, *members: dict[str, Any], **over: Any) -> AsyncIterator[HttpServer]:
    """A front with its node in this process."""
    path = tmp / "config.json"
    path.write_text(json.dumps(configuration(list(members), 1, **(PATIENT | over))))
    config = load({"PROXY_CONFIG": str(path)})
    node = RequestDispatcher(config)
    EndpointView(node, [Source("platform")]).handle(
        EndpointsListed("platform", "here", config.configured_endpoints, is_cached=True)
    )
    front = HttpServer(node, 50)
    await front.listen(("127.0.0.1", 0))
    try:
        yield front
    finally:
        front.stop()
        for connection in list(front.connections):
            connection.abort()
        await until(lambda: not front.connections)


async def ask(front: HttpServer, target: str, body: bytes = b"") -> Client:
    """A client that has sent one request."""
    client = Client(*await asyncio.open_connection(*front.address))
    if target == "/read":
        client.send(target)
    else:
        client.send(target, *(["Idempotency-Key: k"] if target == "/pay" else []), method="POST", body=body)
    return client


async def go(front: HttpServer, client: Client, how: str) -> None:
    """It leaves, and the front has seen it."""
    before = len(front.connections)
    sock = client.writer.get_extra_info("socket")
    if how == "rst":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
    elif how == "fin":
        client.writer.close()
    else:
        client.writer.write_eof()
    await until(lambda: len(front.connections) < before)
    client.writer.transport.abort()


async def settled() -> None:
    """Enough turns for whatever is on its way over loopback."""
    for _ in range(50):
        await asyncio.sleep(0.001)


def clean(node: RequestDispatcher) -> bool:
    """Nothing is left behind by a request that is over."""
    balancer = node.balancer
    return not (
        node.open_requests or balancer.in_flight or balancer.requests or balancer.queued or node.pool.count
    )


@LEAVES
@CANCELS
@EFFECTS
def test_while_its_connection_comes_up(tmp_path: Path, how: str, cancel: bool, target: str) -> None:
    """Also where attempts may not be called off: nothing of this one has left."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        gate = Gate(backend.port)
        async with fronting(tmp_path, backend.member(), limits={"cancel": cancel}) as front:
            client = await ask(front, target)
            await until(lambda: gate.tried)
            await go(front, client, how)
            gate.open.set()
            await settled()
            assert backend.got.empty() and not backend.connections
            assert clean(front.node)
        backend.stop()

    run(test)


@LEAVES
@CANCELS
def test_while_part_of_it_has_no_room(tmp_path: Path, how: str, cancel: bool) -> None:
    """The server never gets the rest."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            server.bind(("127.0.0.1", 0))
            server.listen()
            server.setblocking(False)
            Gate(server.getsockname()[1], sized=True).open.set()
            member = Backend("b0", port=server.getsockname()[1]).member()
            async with fronting(tmp_path, member, limits={"cancel": cancel}) as front:
                body = b"x" * 65536
                client = await ask(front, "/once", body)
                sock, _ = await loop.sock_accept(server)
                sock.setblocking(False)
                out = front.node.open_requests
                await until(
                    lambda: [
                        r
                        for r in out.values()
                        if (a := r.attempts[0].exchange) and a.connection and a.connection.blocked
                    ]
                )
                await go(front, client, how)
                came = 0
                with contextlib.suppress(ConnectionError):
                    while piece := await loop.sock_recv(sock, 65536):
                        came += len(piece)
                sock.close()
                assert came < len(body) and clean(front.node)

    run(test)


@LEAVES
@CANCELS
def test_while_it_is_held_for_room(tmp_path: Path, how: str, cancel: bool) -> None:
    """Room that comes is for those who are still there, and whoever left is not counted as waiting."""

    async def test() -> None:
        told = asyncio.Event()

        async def late(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await told.wait()
            writer.write(answer(b"late"))

        backend = Backend("b0", late)
        await backend.start()
        async with fronting(tmp_path, backend.member(), limits={"cancel": cancel}) as front:
            clients = [await ask(front, "/read") for _ in range(6)]
            balancer = front.node.balancer
            await until(lambda: len(balancer.requests) == 6 and balancer.in_flight == 4)
            assert len(balancer.queued) == 2
            first, last = clients[-2:]
            await go(front, last, how)
            assert len(balancer.queued) == 1
            told.set()
            assert (await first.answer()).code == 200
            for client in clients[:4]:
                assert (await client.answer()).code == 200
            await settled()
            assert backend.got.qsize() == 5 and not balancer.queued and not front.node.open_requests
        backend.stop()

    run(test)


@LEAVES
@CANCELS
def test_while_the_node_reads_what_it_kept(tmp_path: Path, how: str, cancel: bool) -> None:
    """What came while requests had to wait is not acted on for whoever has gone meanwhile."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member(), limits={"cancel": cancel}) as front:
            front.node.defer_events(True)
            gone, here = await ask(front, "/read"), await ask(front, "/read")
            await until(lambda: len(front.node.open_requests) == 2)
            await go(front, gone, how)
            front.node.defer_events(False)
            assert (await here.answer()).code == 200
            await settled()
            assert (
                backend.got.qsize() == 1
                and not front.node.open_requests
                and not front.node.balancer.in_flight
            )
        backend.stop()

    run(test)


@LEAVES
@CANCELS
def test_while_a_refusal_by_a_backend_is_held_back(tmp_path: Path, how: str, cancel: bool) -> None:
    """As after a stand-still: what the module sends then, for one that is over, ends and counts no more."""

    async def test() -> None:
        go_on = asyncio.Event()

        async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await go_on.wait()
            writer.write(answer(b"", "503 Busy", "Not-Started: 1"))

        backends = [Backend(f"b{n}", respond) for n in range(2)]
        for backend in backends:
            await backend.start()
        members = [backend.member() for backend in backends]
        async with fronting(tmp_path, *members, limits={"cancel": cancel}) as front:
            node = front.node
            client = await ask(front, "/read")
            await until(lambda: sum(backend.got.qsize() for backend in backends))
            node.defer_events(True)
            go_on.set()
            await until(lambda: node._deferred_events)
            await go(front, client, how)
            node.defer_events(False)
            await settled()
            assert sum(backend.got.qsize() for backend in backends) == 1
            node.pool.close_idle("b0")
            node.pool.close_idle("b1")
            assert clean(node)
        for backend in backends:
            backend.stop()

    run(test)


def test_the_id_of_a_request_whose_events_are_held_back_is_in_use(tmp_path: Path) -> None:
    """Guards against two sends of the second one: the repeat of the first was written with its bytes."""

    async def test() -> None:
        go_on, got = asyncio.Event(), list[bytes]()

        async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            got.append(message.body)
            await go_on.wait()
            writer.write(answer(b"", "503 Busy", "Not-Started: 1") if message.body == b"1" else answer(b"ok"))

        backends = [Backend(f"b{n}", respond) for n in range(2)]
        for backend in backends:
            await backend.start()
        async with fronting(tmp_path, *(backend.member() for backend in backends)) as front:
            node, request = front.node, b"POST /once HTTP/1.1\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\n"
            first, second, third = [Client(*await asyncio.open_connection(*front.address)) for _ in range(3)]
            first.writer.write(request + b"1")
            await until(lambda: got)
            node.defer_events(True)
            go_on.set()
            await until(lambda: node._deferred_events)
            await go(front, first, "rst")
            second.writer.write(request + b"2")
            answered = asyncio.create_task(second.answer())
            await until(lambda: answered.done() or "x" in node.open_requests)
            node.defer_events(False)
            assert ((await answered).code, got) == (409, [b"1"])
            third.writer.write(request + b"3")  # they are through: it may be used again
            assert ((await third.answer()).code, got) == (200, [b"1", b"3"])
            for client in (second, third):
                client.writer.transport.abort()
        for backend in backends:
            backend.stop()

    run(test)


@LOOPS
@pytest.mark.parametrize(("text", "code"), [(answer(b"mine"), 200), (answer(b"mine")[:-1], 502)])
def test_time_that_is_up_as_an_answer_lies_in_the_kernel(
    tmp_path: Path, new_loop: NewLoop, text: bytes, code: int
) -> None:
    """As after a stand-still, where the loop's timers may come before its sockets; a cut one is none."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            member = Backend("b0", port=server.getsockname()[1]).member()
            async with fronting(tmp_path, member) as front:
                client = await ask(front, "/once")
                peer, _ = await loop.sock_accept(server)
                with peer:
                    assert await loop.sock_recv(peer, 4096)
                    (request,) = front.node.open_requests.values()
                    peer.send(text)
                    front.node._on_timeout(request.attempts[0])
                    assert (await client.answer()).code == code
                client.writer.transport.abort()

    run_on(test, new_loop)


@pytest.mark.parametrize("target", ["/read", "/once"])
def test_time_that_is_up_while_a_connection_rests_is_not_held_against_the_backend(
    tmp_path: Path, target: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """This node held the request back: it never ran, and the backend had no part in it."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        classes = [c | {"give-up": 1000, "objective": 800} for c in CLASSES]
        async with fronting(tmp_path, backend.member(), **{"request-classes": classes}) as front:
            client = await ask(front, "/read")
            assert (await client.answer()).code == 200
            monkeypatch.setattr(upstream, "REUSE_DELAY_S", 30.0)
            method = "GET" if target == "/read" else "POST"
            known = front.node.balancer.backends["b0"]
            client.send(target, method=method)
            await until(lambda: known.in_flight)
            assert (await client.answer()).code == 503
            assert (
                known.ejected_until_ms == known.paused_until_ms == known.consecutive_failures == 0
                and backend.got.qsize() == 1
            )
            monkeypatch.setattr(upstream, "REUSE_DELAY_S", 0.01)
            assert (await client.ask(target, method=method)).code == 200
            assert backend.connections == 2  # the one that rested went with its attempt
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_a_request_whose_connection_comes_up_late_tells_the_time_that_is_left_then(tmp_path: Path) -> None:
    """Guards a backend against work for a node that has given up by then."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        gate = Gate(backend.port)
        classes = [c | {"give-up": 2000, "objective": 2000} for c in CLASSES]
        async with fronting(tmp_path, backend.member(), **{"request-classes": classes}) as front:
            client = await ask(front, "/read")
            await until(lambda: gate.tried)
            await asyncio.sleep(0.3)  # longer does no harm
            gate.open.set()
            assert (await client.answer()).code == 200
            told = int((await backend.got.get()).headers["request-timeout"].removesuffix("u"))
            assert 0 < told <= 1_700_000
            client.writer.transport.abort()
        backend.stop()

    run(test)
