"""A bare relay: the floor for a proxy on this runtime, beside which the node is measured.

    python -m benchmarks.relay_cost PORT HOST:PORT ...

uvloop and httptools as the node has them, each request to the next server in turn on a connection that is
kept. There are no deadlines, limits, repeats, reports or lists: what the node costs beyond it is the node's.
Requests and answers have a length; a connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Iterator
from typing import Any, cast

import httptools
import uvloop

Address = tuple[str, int]
BAD = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"


class Side(asyncio.Protocol):
    """One end of a connection: it parses messages and hands each on as bytes, whole."""

    parser: Any  # one of httptools'

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse it; what cannot be read ends the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A line of the head."""
        self.lines.append(b"%b: %b" % (name, value))

    def on_body(self, body: bytes) -> None:
        """Part of a body."""
        self.body += body

    def whole(self, first: bytes) -> bytes:
        """The message that has come, from its first line on."""
        out = b"\r\n".join([first, *self.lines]) + b"\r\n\r\n" + self.body
        self.lines, self.body = [], b""
        return out


class Server(Side):
    """A connection to a server."""

    def __init__(self) -> None:
        super().__init__()
        self.parser = httptools.HttpResponseParser(self)
        self.client: Client | None = None

    def on_message_complete(self) -> None:
        """An answer has come."""
        client, self.client = self.client, None
        if client is not None:
            client.answer(self.whole(b"HTTP/1.1 %d OK" % self.parser.get_status_code()), self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Who waits gets an error."""
        if self.client is not None:
            self.client.transport.write(BAD)


class Client(Side):
    """A client's connection."""

    def __init__(self, servers: Iterator[Address], idle: dict[Address, list[Server]]) -> None:
        super().__init__()
        self.parser = httptools.HttpRequestParser(self)
        self.servers, self.idle, self.url = servers, idle, b""

    def on_url(self, url: bytes) -> None:
        """What is asked for."""
        self.url = url

    def on_message_complete(self) -> None:
        """A request has come: send it to the next server in turn."""
        self.at = next(self.servers)
        request = self.whole(b"%b %b HTTP/1.1" % (self.parser.get_method(), self.url))
        if there := self.idle.setdefault(self.at, []):
            self.send(there.pop(), request)
        else:
            asyncio.get_running_loop().create_task(self.connect(request))

    async def connect(self, request: bytes) -> None:
        """Send it on a new connection."""
        try:
            _, server = await asyncio.get_running_loop().create_connection(Server, *self.at)
        except OSError:
            self.transport.write(BAD)
            return
        self.send(server, request)

    def send(self, server: Server, request: bytes) -> None:
        """Pass a request on."""
        server.client = self
        server.transport.write(request)

    def answer(self, answer: bytes, server: Server) -> None:
        """Pass an answer back; its connection may be used again."""
        self.idle[self.at].append(server)
        self.transport.write(answer)


async def serve(port: int, servers: list[Address]) -> None:
    """Listen on loopback until the process is ended."""
    turn, idle = itertools.cycle(servers), dict[Address, list[Server]]()
    listener = await asyncio.get_running_loop().create_server(lambda: Client(turn, idle), "127.0.0.1", port)
    await listener.serve_forever()


if __name__ == "__main__":
    told = [word.rpartition(":") for word in sys.argv[2:]]
    uvloop.run(serve(int(sys.argv[1]), [(host, int(number)) for host, _, number in told]))
