"""Request and response bodies over the protocol's 64 KiB: forwarded unchanged, in bounded memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from balancer.core.connection_admission import MAX_FORWARDED_BODY_BYTES
from balancer.core.memory_budget import CONNECTION_BYTES
from balancer.net.http_server import HttpServer
from tests.net.test_client_gone import run, until
from tests.net.test_http_server import running_http_server
from tests.sockets import (
    DOCUMENTED_BODY_BYTES,
    PATIENT,
    Backend,
    Client,
    Message,
    answer,
)

LONG_BODY_BYTES = 97_290
BODY = bytes(n * 7 % 251 for n in range(LONG_BODY_BYTES))
LONGEST_BODY = bytes(n * 11 % 253 for n in range(MAX_FORWARDED_BODY_BYTES))


def request_bytes(http_server: HttpServer) -> int:
    """Return what the clients' connections hold of requests."""
    return http_server.memory.requests.total_bytes


def response_bytes(http_server: HttpServer) -> int:
    """Return what connections to backends hold of responses."""
    pool = http_server.node.pool
    return pool.memory.connections.total_bytes - pool.connection_count * CONNECTION_BYTES


def chunked(body: bytes, size: int) -> bytes:
    """Encode the body in chunks of that size."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def echo_backend(frame: Callable[[bytes], bytes]) -> Backend:
    """Create a backend that answers each request with its own body, framed by `frame`."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(frame(message.body))

    return Backend("b0", respond)


@pytest.mark.parametrize(
    "body", [BODY[: DOCUMENTED_BODY_BYTES + 1], BODY, LONGEST_BODY], ids=["65537", "97290", "most"]
)
@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("request_framing", ["length", "chunks"])
@pytest.mark.parametrize("response_framing", ["length", "chunks"])
def test_long_body_in_any_framing_is_forwarded_unchanged(
    tmp_path: Path, body: bytes, is_split: bool, request_framing: str, response_framing: str
) -> None:
    """Bodies over the documented 64 KiB occur (97,290 and 222,800 bytes were seen) and must not fail."""

    def frame(body: bytes) -> bytes:
        if response_framing == "length":
            return answer(body)
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 4096)

    async def test() -> None:
        async with running_http_server(tmp_path, echo_backend(frame), settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            for number in (b"1", b"2"):
                head = b"POST /once HTTP/1.1\r\nRequest-Id: long-" + number
                if request_framing == "length":
                    data = head + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                else:
                    data = head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 5000)
                first_part_bytes = len(data) - 1000 if is_split else 0
                client.writer.write(data[:first_part_bytes])
                if is_split:
                    await until(lambda: request_bytes(http_server) > DOCUMENTED_BODY_BYTES // 2)
                client.writer.write(data[first_part_bytes:])
                got = await client.answer()
                assert got.code == 200 and got.body == body
            await until(lambda: not http_server.node.open_requests)
            assert request_bytes(http_server) == response_bytes(http_server) == 0
            assert not any(connection.body for connection in http_server.connections)
            assert not any(idle.body for idle in http_server.node.pool.backends["b0"].idle)
            client.writer.transport.abort()

    run(test)


async def send_incomplete_request(http_server: HttpServer, number: int) -> Client:
    """Connect a client whose request has the longest body allowed and lacks its last byte."""
    client = Client(*await asyncio.open_connection(*http_server.address))
    head = b"POST /once HTTP/1.1\r\nRequest-Id: long-%d\r\nContent-Length: %d\r\n\r\n"
    client.writer.write(head % (number, MAX_FORWARDED_BODY_BYTES) + LONGEST_BODY[:-1])
    return client


@pytest.mark.parametrize("disconnects", [True, False])
def test_long_requests_over_budget_are_rejected(tmp_path: Path, disconnects: bool) -> None:
    """Over the budget a further long request is rejected, others are served, and all memory is released."""

    async def test() -> None:
        backend = Backend("b0")
        async with running_http_server(tmp_path, backend, settings=PATIENT) as http_server:
            http_server.node.memory_budget.capacity_bytes = 2.2 * MAX_FORWARDED_BODY_BYTES / 0.7
            first, second = (
                await send_incomplete_request(http_server, 1),
                await send_incomplete_request(http_server, 2),
            )
            await until(lambda: request_bytes(http_server) >= 2 * MAX_FORWARDED_BODY_BYTES)
            third = await send_incomplete_request(http_server, 3)
            answers = [asyncio.create_task(client.answer()) for client in (first, second, third)]
            done, _ = await asyncio.wait(answers, return_when=asyncio.FIRST_COMPLETED)
            assert [answer.result().code for answer in done] == [503]  # nothing of it ran
            usual = Client(*await asyncio.open_connection(*http_server.address))
            assert (await usual.ask("/once", method="POST")).code == 200
            assert request_bytes(http_server) <= 2.2 * MAX_FORWARDED_BODY_BYTES
            for client, answer in zip((first, second, third), answers, strict=True):
                if disconnects:
                    client.writer.transport.abort()
                elif not answer.done():
                    client.writer.write(LONGEST_BODY[-1:])
                    assert (await answer).code == 200
            await asyncio.wait(answers)
            await until(lambda: not http_server.node.open_requests and request_bytes(http_server) == 0)
            for client in (first, second, third, usual):
                client.writer.transport.abort()

    run(test)


def test_long_responses_over_budget_fail(tmp_path: Path) -> None:
    """Endless responses from many backends, each within its own limit, must not exhaust the memory."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.start.startswith("GET /read/usual "):
            writer.write(answer(b"usual"))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunked(LONGEST_BODY, 8192).removesuffix(b"0\r\n\r\n"))

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0", respond), settings=PATIENT) as http_server:
            # Enough for one body and the next request.
            http_server.node.memory_budget.capacity_bytes = 1.5 * MAX_FORWARDED_BODY_BYTES
            first = Client(*await asyncio.open_connection(*http_server.address))
            request = asyncio.ensure_future(first.ask("/once", method="POST"))
            await until(lambda: response_bytes(http_server) == MAX_FORWARDED_BODY_BYTES)
            other = Client(*await asyncio.open_connection(*http_server.address))
            assert (await other.ask("/read/usual")).body == b"usual"
            assert (await other.ask("/once", method="POST")).code == 502  # it may have run
            assert not request.done() and response_bytes(http_server) == MAX_FORWARDED_BODY_BYTES
            first.writer.transport.abort()
            await until(lambda: not http_server.node.open_requests and response_bytes(http_server) == 0)
            await asyncio.gather(request, return_exceptions=True)
            other.writer.transport.abort()

    run(test)


def test_response_over_maximum_body_size_fails(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_http_server(
            tmp_path, echo_backend(lambda _: answer(LONGEST_BODY + b"x")), settings=PATIENT
        ) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/once", method="POST")).code == 502
            await until(lambda: not http_server.node.open_requests)
            assert response_bytes(http_server) == 0
            client.writer.transport.abort()

    run(test)
