"""Helpers for tests of the stand-ins: coroutines with an end, bare connections, records by kind."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from balancer.testbed.event_log import Journal
from tests.sockets import WAIT, Message, read_message

T = TypeVar("T")


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT):
            await test()

    asyncio.run(bounded())


def of(journal: Journal, kind: type[T]) -> list[T]:
    """The records of one kind."""
    return [r for r in journal if isinstance(r, kind)]


async def until(true: Callable[[], Any]) -> None:
    """Wait for something to become so."""
    async with asyncio.timeout(WAIT):
        while not true():
            await asyncio.sleep(0.005)


class Wire:
    """A connection of a node's kind to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def to(cls, host: str, port: int) -> Wire:
        """Connect."""
        return cls(*await asyncio.open_connection(host, port))

    def send(
        self, name: str, path: str = "/read/x", *headers: str, method: str = "GET", body: str = ""
    ) -> None:
        """Write a request."""
        lines = [f"{method} {path} HTTP/1.1", f"Request-Id: {name}", *headers]
        lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())

    async def answer(self) -> Message:
        """The next answer."""
        return await asyncio.wait_for(read_message(self.reader), WAIT)

    async def ask(self, name: str, path: str = "/read/x", *headers: str, **more: str) -> Message:
        """Send a request and wait for its answer."""
        self.send(name, path, *headers, **more)
        return await self.answer()

    async def end(self) -> bytes:
        """What comes until the other side closes; a reset raises ConnectionError."""
        return await asyncio.wait_for(self.reader.read(), WAIT)

    def close(self) -> None:
        """Close."""
        self.writer.close()
