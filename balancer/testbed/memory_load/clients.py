"""Clients that make a node hold much: they get stuck in requests, do not read, or leave, and come again.

A program: `python -m balancer.testbed.memory_load.clients PLAN`, with a `ClientPlan` as JSON.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict, dataclass
from enum import StrEnum
from functools import partial
from typing import cast

import uvloop

CONNECT_INTERVAL_S = 0.002  # between the first connections of two clients
RECONNECT_DELAY_S = 0.05
PATIENCE_S = 6.0  # with a request that gets neither a response nor a close
WRITE_INTERVAL_S = 0.05  # between two pieces of a request that is written slowly
MAX_HEAD_FIELDS_BYTES = 15_000
SMALL_BODY_BYTES = 64_000
LARGE_BODY_BYTES = 900_000
UNREAD_RECEIVE_BUFFER_BYTES = 4_096
UNREAD_REQUESTS = 16  # that a client sends without reading a response


class Behavior(StrEnum):
    """What a client does on each of its connections."""

    MANY_FIELDS = "many-fields"  # a head of many short fields that never ends
    LONG_FIELD = "long-field"
    LONG_TARGET = "long-target"
    SLOW_HEAD = "slow-head"  # a few bytes at a time
    SMALL_BODY = "small-body"  # all but the end of it
    LARGE_BODY = "large-body"
    SLOW_BODY = "slow-body"
    SMALL_CHUNKS = "small-chunks"  # a body in chunks of one byte, without an end
    TRAILERS = "trailers"  # without an end
    CHUNK_EXTENSIONS = "chunk-extensions"
    WHOLE_SMALL = "whole-small"  # complete requests that await their response
    WHOLE_LARGE = "whole-large"
    UNREAD = "unread"  # requests whose responses are not read
    LEAVING = "leaving"  # complete requests whose client leaves before the response
    IDLE = "idle"  # a connection without a request


@dataclass(frozen=True)
class ClientPlan:
    """Who connects where, and for how long. `counts` is the number of clients of each behavior."""

    host: str
    port: int
    path: str  # of requests with a body
    read_path: str  # of requests without
    seconds: float
    seed: int
    counts: Mapping[Behavior, int]
    id_prefix: str = "stuck"  # of the ids of requests

    def to_json(self) -> str:
        """Return the form that the program takes as its argument."""
        return json.dumps(asdict(self))

    @classmethod
    def from_json(cls, text: str) -> ClientPlan:
        """Read the form that `to_json` returns."""
        values = json.loads(text)
        counts = {Behavior(name): count for name, count in values.pop("counts").items()}
        return cls(counts=counts, **values)


class StuckClient:
    """One client; it connects again as soon as its connection ends."""

    def __init__(self, plan: ClientPlan, behavior: Behavior, number: int) -> None:
        self.plan, self.behavior, self.number = plan, behavior, number
        self.rng = random.Random(f"{plan.seed}:{number}")
        self.request_count = 0
        self.statuses: dict[str, int] = {}

    async def run(self, until_s: float) -> None:
        """Connect again and again."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.number * CONNECT_INTERVAL_S)
        while loop.time() < until_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await self._connect_once()
            await asyncio.sleep(RECONNECT_DELAY_S * self.rng.uniform(0.5, 1.5))

    async def _connect_once(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if self.behavior is Behavior.UNREAD:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_RECEIVE_BUFFER_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (self.plan.host, self.plan.port))
        except BaseException:
            sock.close()
            raise
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            async with asyncio.timeout(PATIENCE_S):
                await _ACTIONS[self.behavior](self, reader, writer)
        finally:
            writer.transport.abort()

    def _head(self, *fields: str, has_body: bool = True) -> bytes:
        self.request_count += 1
        request_id = f"{self.plan.id_prefix}-{self.number}-{self.request_count}"
        line = f"POST {self.plan.path}" if has_body else f"GET {self.plan.read_path}"
        lines = [
            f"{line} HTTP/1.1",
            "Host: api.internal",
            f"Request-Id: {request_id}",
            f"Idempotency-Key: key-{request_id}",
            *fields,
        ]
        return "\r\n".join(lines).encode() + b"\r\n"

    async def _await_end(self, reader: asyncio.StreamReader) -> None:
        """Wait for a response or for the end of the connection."""
        line = await reader.readline()
        status = line[9:12].decode("latin-1") or "closed"
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def send_incomplete(
        self, data: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Write part of a request, and wait."""
        writer.write(data)
        await self._await_end(reader)

    async def send_forever(
        self,
        start: bytes,
        piece: bytes,
        interval_s: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write pieces of a request until the node answers or closes."""
        end = asyncio.ensure_future(self._await_end(reader))
        try:
            writer.write(start)
            while not end.done():
                writer.write(piece)
                await writer.drain()
                await asyncio.wait((end,), timeout=interval_s)
        finally:
            end.cancel()

    async def send_whole(
        self, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Write complete requests, one after another, each with its response."""
        while True:
            writer.write(self._head(f"Content-Length: {len(body)}") + b"\r\n" + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = head[9:12].decode("latin-1")
            self.statuses[status] = self.statuses.get(status, 0) + 1
            length = next(
                int(line[15:]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")
            )
            await reader.readexactly(length)
            if b"connection: close" in head.lower():
                return

    async def send_unread(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write requests, and read nothing."""
        cast(asyncio.Transport, writer.transport).pause_reading()
        for _ in range(UNREAD_REQUESTS):
            writer.write(self._head(has_body=False) + b"\r\n")
            await asyncio.sleep(0.2)
        await asyncio.sleep(PATIENCE_S)

    async def send_and_leave(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write a complete request, and leave before the response."""
        body = b"x" * self.rng.choice((10, 2_000, 30_000, SMALL_BODY_BYTES))
        writer.write(self._head(f"Content-Length: {len(body)}") + b"\r\n" + body)
        await asyncio.sleep(self.rng.uniform(0.0, 0.6))

    async def rest(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send nothing."""
        await self._await_end(reader)

    async def get_stuck(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write an incomplete request of the client's kind."""
        chunked = self._head("Transfer-Encoding: chunked") + b"\r\n"
        match self.behavior:
            case Behavior.MANY_FIELDS:
                fields = b"".join(b"%x:\r\n" % number for number in range(MAX_HEAD_FIELDS_BYTES // 6))
                await self.send_incomplete(self._head() + fields, reader, writer)
            case Behavior.LONG_FIELD:
                data = self._head() + b"X: " + b"x" * MAX_HEAD_FIELDS_BYTES
                await self.send_incomplete(data, reader, writer)
            case Behavior.LONG_TARGET:
                data = b"GET /" + b"q" * MAX_HEAD_FIELDS_BYTES
                await self.send_incomplete(data, reader, writer)
            case Behavior.SMALL_BODY | Behavior.LARGE_BODY:
                is_small = self.behavior is Behavior.SMALL_BODY
                length = SMALL_BODY_BYTES if is_small else LARGE_BODY_BYTES
                head = self._head(f"Content-Length: {length + 1_000}") + b"\r\n"
                await self.send_incomplete(head + b"x" * length, reader, writer)
            case Behavior.SLOW_HEAD:
                await self.send_forever(self._head(), b"a: b\r\n" * 30, WRITE_INTERVAL_S, reader, writer)
            case Behavior.SLOW_BODY:
                head = self._head(f"Content-Length: {LARGE_BODY_BYTES}") + b"\r\n"
                await self.send_forever(head, b"x" * 1_500, WRITE_INTERVAL_S, reader, writer)
            case Behavior.SMALL_CHUNKS:
                await self.send_forever(chunked, b"1\r\nx\r\n" * 500, 0.005, reader, writer)
            case Behavior.TRAILERS:
                start = chunked + b"1\r\nx\r\n0\r\n"
                await self.send_forever(start, b"a: b\r\n" * 500, 0.005, reader, writer)
            case Behavior.CHUNK_EXTENSIONS:
                await self.send_forever(chunked + b"1;", b"a=b;" * 750, 0.005, reader, writer)


Action = Callable[[StuckClient, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def _send_whole(
    body_bytes: int, client: StuckClient, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await client.send_whole(b"x" * body_bytes, reader, writer)


_ACTIONS: dict[Behavior, Action] = {
    **dict.fromkeys(Behavior, StuckClient.get_stuck),
    Behavior.WHOLE_SMALL: partial(_send_whole, SMALL_BODY_BYTES),
    Behavior.WHOLE_LARGE: partial(_send_whole, LARGE_BODY_BYTES),
    Behavior.UNREAD: StuckClient.send_unread,
    Behavior.LEAVING: StuckClient.send_and_leave,
    Behavior.IDLE: StuckClient.rest,
}


async def run(plan: ClientPlan) -> dict[str, int]:
    """Run all clients of a plan; returns how often each status was received."""
    behaviors = [behavior for behavior, count in plan.counts.items() for _ in range(count)]
    random.Random(plan.seed).shuffle(behaviors)
    clients = [StuckClient(plan, behavior, number) for number, behavior in enumerate(behaviors)]
    until_s = asyncio.get_running_loop().time() + plan.seconds
    tasks = [asyncio.create_task(client.run(until_s)) for client in clients]
    await asyncio.sleep(plan.seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    statuses: dict[str, int] = {}
    for client in clients:
        for status, count in client.statuses.items():
            key = f"{client.behavior} {status}"
            statuses[key] = statuses.get(key, 0) + count
    return statuses


def main() -> None:
    """Run the plan of the command line and print the statuses as JSON."""
    print(json.dumps(uvloop.run(run(ClientPlan.from_json(sys.argv[1])))))


if __name__ == "__main__":
    main()
