"""Requests and answers longer than the protocol's 64 KiB: passed on unchanged, in bounded memory."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from balancer.core.connection_admission import MAX_FORWARDED_BODY_BYTES, UNBUDGETED_BODY_BYTES
from balancer.net.http_server import HttpServer
from tests.net.test_client_gone import run, until
from tests.net.test_http_server import fronting
from tests.sockets import (
    PATIENT,
    Backend,
    Client,
    Message,
    answer,
)

LONG = 97_290
BODY = bytes(n * 7 % 251 for n in range(LONG))
MOST = bytes(n * 11 % 253 for n in range(MAX_FORWARDED_BODY_BYTES))


def chunked(body: bytes, size: int) -> bytes:
    """It in chunks of that size."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def long_answers(text: Callable[[bytes], bytes]) -> Backend:
    """A backend that answers each request with its own body, as it is framed by `text`."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(text(message.body))

    return Backend("b0", respond)


@pytest.mark.parametrize(
    "body", [BODY[: UNBUDGETED_BODY_BYTES + 1], BODY, MOST], ids=["65537", "97290", "most"]
)
@pytest.mark.parametrize("pieces", [False, True])
@pytest.mark.parametrize("asked", ["length", "chunks"])
@pytest.mark.parametrize("told", ["length", "chunks"])
def test_long_ones_are_passed_on_unchanged(
    tmp_path: Path, body: bytes, pieces: bool, asked: str, told: str
) -> None:
    """Guards against failing what is sound, only longer than the page says: 97,290 and 222,800 bytes came."""

    def text(body: bytes) -> bytes:
        if told == "length":
            return answer(body)
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 4096)

    async def test() -> None:
        async with fronting(tmp_path, long_answers(text), settings=PATIENT) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            for number in (b"1", b"2"):
                head = b"POST /once HTTP/1.1\r\nRequest-Id: long-" + number
                if asked == "length":
                    data = head + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                else:
                    data = head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 5000)
                cut = len(data) - 1000 if pieces else 0
                client.writer.write(data[:cut])
                if pieces:
                    await until(
                        lambda: (
                            front.node.large_body_budget.reserved_bytes
                            or len(body) <= UNBUDGETED_BODY_BYTES + 1000
                        )
                    )
                client.writer.write(data[cut:])
                got = await client.answer()
                assert got.code == 200 and got.body == body
            await until(lambda: not front.node.open_requests)
            assert front.node.large_body_budget.reserved_bytes == 0
            assert not any(connection.body for connection in front.connections)
            assert not any(idle.body for idle in front.node.pool.hosts["b0"].idle)
            client.writer.transport.abort()

    run(test)


async def half(front: HttpServer, number: int) -> Client:
    """A client whose request is the longest there may be, and lacks its last byte."""
    client = Client(*await asyncio.open_connection(*front.address))
    head = b"POST /once HTTP/1.1\r\nRequest-Id: long-%d\r\nContent-Length: %d\r\n\r\n"
    client.writer.write(head % (number, MAX_FORWARDED_BODY_BYTES) + MOST[:-1])
    return client


@pytest.mark.parametrize("leaves", [True, False])
def test_what_long_requests_hold_is_bounded(tmp_path: Path, leaves: bool) -> None:
    """Guards memory: over the budget a further one is refused, usual ones go on, and all is given back."""

    async def test() -> None:
        backend = Backend("b0")
        async with fronting(tmp_path, backend, settings=PATIENT) as front:
            each = MAX_FORWARDED_BODY_BYTES - 1 - UNBUDGETED_BODY_BYTES
            front.node.large_body_budget.budget_bytes = 2 * each
            first, second = await half(front, 1), await half(front, 2)
            await until(lambda: front.node.large_body_budget.reserved_bytes == 2 * each)
            third = await half(front, 3)
            assert (await third.answer()).code == 503  # nothing of it ran
            usual = Client(*await asyncio.open_connection(*front.address))
            assert (await usual.ask("/once", method="POST")).code == 200
            assert front.node.large_body_budget.reserved_bytes == 2 * each
            for client in (first, second):
                if leaves:
                    client.writer.transport.abort()
                else:
                    client.writer.write(MOST[-1:])
                    assert (await client.answer()).code in (200, 503)
            await until(
                lambda: not front.node.open_requests and front.node.large_body_budget.reserved_bytes == 0
            )
            for client in (first, second, third, usual):
                client.writer.transport.abort()

    run(test)


def test_what_long_answers_hold_is_bounded(tmp_path: Path) -> None:
    """Guards memory against answers without end, each within its own bound, from many backends."""

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.start.startswith("GET /read/usual "):
            writer.write(answer(b"usual"))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunked(MOST, 8192).removesuffix(b"0\r\n\r\n"))

    async def test() -> None:
        async with fronting(tmp_path, Backend("b0", respond), settings=PATIENT) as front:
            front.node.large_body_budget.budget_bytes = (
                MAX_FORWARDED_BODY_BYTES - UNBUDGETED_BODY_BYTES
            )  # room for one
            first = Client(*await asyncio.open_connection(*front.address))
            asked = asyncio.ensure_future(first.ask("/once", method="POST"))
            await until(
                lambda: (
                    front.node.large_body_budget.reserved_bytes
                    == MAX_FORWARDED_BODY_BYTES - UNBUDGETED_BODY_BYTES
                )
            )
            other = Client(*await asyncio.open_connection(*front.address))
            assert (await other.ask("/read/usual")).body == b"usual"
            assert (await other.ask("/once", method="POST")).code == 502  # it may have run
            assert (
                not asked.done()
                and front.node.large_body_budget.reserved_bytes
                == MAX_FORWARDED_BODY_BYTES - UNBUDGETED_BODY_BYTES
            )
            first.writer.transport.abort()
            await until(
                lambda: not front.node.open_requests and front.node.large_body_budget.reserved_bytes == 0
            )
            await asyncio.gather(asked, return_exceptions=True)
            other.writer.transport.abort()

    run(test)


def test_an_answer_that_is_longer_than_the_longest_is_given_up(tmp_path: Path) -> None:
    async def test() -> None:
        async with fronting(tmp_path, long_answers(lambda _: answer(MOST + b"x")), settings=PATIENT) as front:
            client = Client(*await asyncio.open_connection(*front.address))
            assert (await client.ask("/once", method="POST")).code == 502
            await until(lambda: not front.node.open_requests)
            assert front.node.large_body_budget.reserved_bytes == 0
            client.writer.transport.abort()

    run(test)
