"""A request whose client comes again under its id: its effect does not occur twice."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.net.test_client_gone import CANCELS, DISCONNECTS, disconnect, fronting, run, until
from tests.sockets import Backend, Client, Message, answer, echo

WRITES = pytest.mark.parametrize("target", ["/pay", "/once"])
REQUEST = b"%s %s HTTP/1.1\r\nRequest-Id: again\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}"


async def send(address: tuple[str, int], target: str) -> Client:
    """Connect a client that has sent the request, always under one id."""
    client = Client(*await asyncio.open_connection(*address))
    client.writer.write(REQUEST % (b"GET" if target == "/read" else b"POST", target.encode()))
    return client


async def respond_to_second(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Take the first request and do not respond."""
    if backend.got.qsize() > 1:
        await echo(backend, message, writer)


@DISCONNECTS
@CANCELS
@WRITES
def test_request_that_comes_again_after_its_client_left_is_not_executed_twice(
    tmp_path: Path, how: str, cancel: bool, target: str
) -> None:
    """Guards against unsafe requests that ran twice: their id was forgotten with the client's connection."""

    async def test() -> None:
        backend = Backend("b0", respond_to_second)
        await backend.start()
        async with fronting(tmp_path, backend.member(), limits={"cancel": cancel}) as http_server:
            first = await send(http_server.address, target)
            await until(backend.got.qsize)
            await disconnect(http_server, first, how)
            again = await send(http_server.address, target)
            assert (await again.answer()).code == 409
            assert backend.got.qsize() == 1
            again.writer.transport.abort()
        backend.stop()

    run(test)


@WRITES
def test_request_that_comes_again_after_its_response_is_not_executed_twice(
    tmp_path: Path, target: str
) -> None:
    """The response may have been lost with the client's connection."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member()) as http_server:
            for code in (200, 409):
                client = await send(http_server.address, target)
                assert (await client.answer()).code == code
                client.writer.transport.abort()
            assert backend.got.qsize() == 1
        backend.stop()

    run(test)


@WRITES
def test_rejected_request_may_come_again(tmp_path: Path, target: str) -> None:
    """Nothing ran: the node's rejection says that a retry is harmless."""
    arrived = list[str]()

    async def reject_first(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        arrived.append(backend.name)
        if len(arrived) == 1:
            writer.write(answer(b"", "503 Busy", "Not-Started: 1"))
        else:
            await echo(backend, message, writer)

    async def test() -> None:
        backends = [Backend(f"b{n}", reject_first) for n in range(2)]
        for backend in backends:
            await backend.start()
        members = [backend.member() for backend in backends]
        async with fronting(tmp_path, *members, limits={"most-tries": 1}) as http_server:
            for code in (503, 200):
                client = await send(http_server.address, target)
                assert (await client.answer()).code == code
                client.writer.transport.abort()
            assert len(arrived) == 2
        for backend in backends:
            backend.stop()

    run(test)


def test_idempotent_request_may_come_again(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        async with fronting(tmp_path, backend.member()) as http_server:
            for _ in range(2):
                client = await send(http_server.address, "/read")
                assert (await client.answer()).code == 200
                client.writer.transport.abort()
            assert len(http_server.node.executed_requests) == 0
        backend.stop()

    run(test)
