"""HTTP/1.1 of etcd's gateway: server connections, request parsing and response framing.

A response of up to 2048 bytes has a Content-Length, a longer one is chunked. An error from etcd itself is
chunked with a trailer, an error from the gateway has a Content-Length. This is the behavior of etcd 3.4.23.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from email.utils import formatdate

from balancer.testbed.etcd import wire
from balancer.testbed.etcd.wire import Json

WRITE_BUFFER_BYTES = 2048  # Go's write buffer; larger responses are chunked
MAX_HEAD_BYTES = 64 * 1024  # of a request
MAX_BODY_BYTES = 16 * 1024 * 1024  # of a request; a larger one closes the connection


@dataclass(slots=True)
class Request:
    """A parsed HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def token(self) -> str:
        """The auth token, or an empty string."""
        return self.headers.get("authorization") or self.headers.get("grpc-metadata-token", "")

    @property
    def wants_leader(self) -> bool:
        """Whether the call must fail on a member without a leader."""
        return self.headers.get("grpc-metadata-hasleader") == "true"

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is closed after the response."""
        return self.headers.get("connection", "").lower() == "close"


class ConnectionClosedError(Exception):
    """The connection ended because the client left or the member stopped; not an error."""


def chunk(data: bytes) -> bytes:
    """Encode a chunk of a chunked body; empty data encodes the last chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Connection:
    """A client connection that serves calls in sequence; a stream may be the final call."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        # With these limits drain() returns once the data is in the kernel, except up to 64 KiB that TLS may
        # buffer. TLS treats a high limit of 0 as always full.
        writer.transport.set_write_buffer_limits(high=1, low=0)
        peer = writer.get_extra_info("peername")
        self.peer: tuple[str, int] = (peer[0], peer[1]) if peer else ("", 0)

    async def run(self, respond: Callable[[Connection, Request], Awaitable[None]]) -> None:
        """Serve requests until either side closes the connection."""
        errors = (OSError, EOFError, asyncio.LimitOverrunError, ValueError, IndexError, ConnectionClosedError)
        try:
            with contextlib.suppress(*errors):
                while True:
                    request = await self._read_request()
                    await respond(self, request)
                    if request.closes_connection:
                        break
                    await self.writer.drain()
        finally:
            self.writer.close()

    async def _read_request(self) -> Request:
        raw = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = raw.removesuffix("\r\n\r\n").split("\r\n")
        method, path, _ = first.split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await self._read_chunked_body()
        else:
            size = int(headers.get("content-length", "0"))
            if size > MAX_BODY_BYTES:
                raise ConnectionClosedError
            body = await self.reader.readexactly(size)
        return Request(method, path, headers, body)

    async def _read_chunked_body(self) -> bytes:
        out = bytearray()
        while size := int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16):
            if len(out) + size > MAX_BODY_BYTES:
                raise ConnectionClosedError
            out += (await self.reader.readexactly(size + 2))[:-2]
        while (await self.reader.readuntil(b"\r\n")).strip():
            pass
        return bytes(out)

    # --- responses

    def head(self, status: str, closes_connection: bool, *lines: str, length: int | None = None) -> bytes:
        """Encode the status line and headers in etcd's order; chunked unless a length is given."""
        header_lines = ["Access-Control-Allow-Headers: accept, content-type, authorization"]
        header_lines += ["Access-Control-Allow-Methods: POST, GET, OPTIONS, PUT, DELETE"]
        header_lines += ["Access-Control-Allow-Origin: *", *lines, f"Date: {formatdate(usegmt=True)}"]
        header_lines += [] if length is None else [f"Content-Length: {length}"]
        header_lines += ["Connection: close"] if closes_connection else []
        header_lines += ["Transfer-Encoding: chunked"] if length is None else []
        return "\r\n".join([f"HTTP/1.1 {status}", *header_lines, "", ""]).encode("latin-1")

    @property
    def is_closed(self) -> bool:
        """Whether either side is known to have closed the connection."""
        return self.writer.is_closing() or self.reader.at_eof()

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def respond(self, value: Json, closes_connection: bool) -> None:
        """Write a successful response."""
        self.respond_encoded(wire.dumps(value), closes_connection)

    def respond_encoded(self, body: bytes, closes_connection: bool) -> None:
        """Write a successful response with an encoded body."""
        content_headers = ("Content-Type: application/json", "Grpc-Metadata-Content-Type: application/grpc")
        if len(body) <= WRITE_BUFFER_BYTES:
            self.write(self.head("200 OK", closes_connection, *content_headers, length=len(body)) + body)
        else:
            self.write(self.head("200 OK", closes_connection, *content_headers) + chunk(body) + chunk(b""))

    def respond_error(self, message: str, code: int, closes_connection: bool, is_parsed: bool = True) -> None:
        """Write an error response from etcd, or from the gateway if the request was not `is_parsed`."""
        body = wire.dumps(wire.error(message, code))
        content_headers = "Content-Type: application/json"
        if not is_parsed:
            self.write(
                self.head(wire.HTTP_CODES[code], closes_connection, content_headers, length=len(body)) + body
            )
            return
        head = self.head(
            wire.HTTP_CODES[code], closes_connection, content_headers, "Trailer: Grpc-Trailer-Content-Type"
        )
        self.write(head + chunk(body) + b"0\r\nGrpc-Trailer-Content-Type: application/grpc\r\n\r\n")

    def respond_plain(self, status: str, text: bytes, closes_connection: bool) -> None:
        """Write a plain-text response of the HTTP server."""
        content_headers = ("Content-Type: text/plain; charset=utf-8", "X-Content-Type-Options: nosniff")
        self.write(self.head(status, closes_connection, *content_headers, length=len(text)) + text)
