"""A minimal client of etcd's JSON gateway that exposes the raw responses to tests.

Every call opens its own connection; there is no pool and no retry within a call. `Writer` tries the
endpoints in turn.
"""

from __future__ import annotations

import asyncio
import base64
import json
import ssl
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self
from urllib.parse import urlsplit

CALL_TIMEOUT_S = 2.0  # for one call of a writer to one endpoint
WRITE_TIMEOUT_S = 15.0  # for a write, over all endpoints
RETRY_DELAY_S = 0.05  # between two rounds over all endpoints


class EtcdError(Exception):
    """A write that no member carried out."""


def prefix_end(prefix: bytes) -> bytes:
    """Return the exclusive end of the range of all keys with this prefix."""
    stripped = prefix.rstrip(b"\xff")
    return stripped[:-1] + bytes([stripped[-1] + 1]) if stripped else b"\0"


def prefix_range(prefix: str) -> dict[str, str]:
    """Return the request fields `key` and `range_end` for all keys with this prefix."""
    raw = prefix.encode() or b"\0"
    return {"key": b64(raw), "range_end": b64(prefix_end(prefix.encode()))}


def b64(data: bytes | str) -> str:
    """Encode bytes, or text as UTF-8, in base64."""
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode("ascii")


@dataclass(slots=True, frozen=True)
class Response:
    """A complete HTTP response; header names are in lower case."""

    code: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict[str, Any]:
        """Parse the body. Raises ValueError if it is not a JSON object."""
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError(f"no object: {self.body!r:.120}")
        return value


class Call:
    """A call on its own connection whose response is read incrementally; an async context manager.

    `chunks` holds the received chunks of the response; `is_complete` is set once the last chunk was read.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.code = 0
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.is_complete = False
        self._unread = b""

    @classmethod
    async def open(
        cls,
        endpoint: str,
        path: str,
        body: object = None,
        token: str = "",
        context: ssl.SSLContext | None = None,
        method: str = "POST",
        headers: Mapping[str, str] | None = None,
    ) -> Self:
        """Connect and send a request; `body` is an object to encode as JSON, or raw bytes."""
        url = urlsplit(endpoint)
        secure = context if url.scheme == "https" else None
        reader, writer = await asyncio.open_connection(url.hostname, url.port, ssl=secure, limit=2**24)
        out = cls(reader, writer)
        out.send_request(path, body, token, method, headers)
        return out

    def send_request(
        self,
        path: str,
        body: object = None,
        token: str = "",
        method: str = "POST",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a request on this connection; the previous response must have been read completely."""
        data = body if isinstance(body, bytes) else json.dumps({} if body is None else body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: localhost", f"Content-Length: {len(data)}"]
        lines += [f"Authorization: {token}"] if token else []
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode("ascii") + data)
        self.code, self.headers, self.is_complete = 0, {}, False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.writer.transport.abort()

    async def head(self) -> int:
        """Read the status and headers unless already read, and return the status code."""
        if not self.code:
            raw = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = raw.removesuffix("\r\n\r\n").split("\r\n")
            self.code = int(first.split()[1])
            pairs = [line.partition(":") for line in lines]
            self.headers = {name.lower(): value.strip() for name, _, value in pairs}
        return self.code

    async def chunk(self) -> bytes:
        """Return the next chunk of a chunked response, or b"" at its end or when the connection ends."""
        await self.head()
        if self.is_complete:
            return b""
        try:
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            data = (await self.reader.readexactly(size + 2))[:-2] if size else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""
        if not size:
            self.is_complete = True
            trailer = b"-"
            while trailer.strip():
                trailer = await self.reader.readuntil(b"\r\n")
        self.chunks.append(data)
        return data

    async def line(self) -> bytes | None:
        """Return the next line of a stream without its newline, or None at the end of the stream."""
        while b"\n" not in self._unread:
            data = await self.chunk()
            if not data:
                last, self._unread = self._unread, b""
                return last or None
            self._unread += data
        line, _, self._unread = self._unread.partition(b"\n")
        return line

    async def message(self) -> dict[str, Any]:
        """Return the next line parsed as JSON, or an empty object at the end of the stream."""
        line = await self.line()
        value = json.loads(line) if line is not None else {}
        assert isinstance(value, dict)
        return value

    async def eof(self) -> bool:
        """Wait for the connection to end; return False if data arrives instead."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True

    async def answer(self) -> Response:
        """Read the complete response."""
        await self.head()
        if "content-length" in self.headers:
            body = await self.reader.readexactly(int(self.headers["content-length"]))
        else:
            parts = []
            while data := await self.chunk():
                parts.append(data)
            body = b"".join(parts)
        return Response(self.code, self.headers, body)


async def send_request(
    endpoint: str,
    path: str,
    body: object = None,
    token: str = "",
    context: ssl.SSLContext | None = None,
    method: str = "POST",
    headers: Mapping[str, str] | None = None,
    wait_s: float = 10.0,
) -> Response:
    """Make one call and return the complete response. Raises OSError, EOFError, TimeoutError."""
    async with asyncio.timeout(wait_s):
        async with await Call.open(endpoint, path, body, token, context, method, headers) as call:
            return await call.answer()


class Writer:
    """Tries the endpoints in turn until one succeeds, starting with the last one that did.

    A write whose response was lost may be applied twice.
    """

    def __init__(self, endpoints: Sequence[str], context: ssl.SSLContext | None = None) -> None:
        self.endpoints, self.context = endpoints, context
        self.skipped_indexes: set[int] = set()  # endpoints that are skipped while others remain
        self._last_index = 0

    async def call(self, path: str, body: object) -> dict[str, Any]:
        """Make a call. Raises EtcdError if it is rejected or fails for `WRITE_TIMEOUT_S`."""
        end = time.monotonic() + WRITE_TIMEOUT_S
        last_error = ""
        while time.monotonic() < end:
            order = [(self._last_index + step) % len(self.endpoints) for step in range(len(self.endpoints))]
            for index in [index for index in order if index not in self.skipped_indexes] or order:
                try:
                    answer = await send_request(
                        self.endpoints[index], path, body, context=self.context, wait_s=CALL_TIMEOUT_S
                    )
                except (OSError, EOFError, TimeoutError) as err:
                    last_error = repr(err)
                    continue
                if answer.code == 200:
                    self._last_index = index
                    return answer.json
                last_error = f"{answer.code} {answer.body!r:.200}"
                if answer.code < 500:
                    raise EtcdError(f"{path}: {last_error}")
            await asyncio.sleep(RETRY_DELAY_S)
        raise EtcdError(f"{path}: no endpoint succeeded within {WRITE_TIMEOUT_S:g} s; last: {last_error}")

    async def write(self, path: str, body: object) -> int:
        """Make a call and return the revision after it."""
        return int((await self.call(path, body))["header"].get("revision", "0"))

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Set a key and return the revision after it."""
        return await self.write("/v3/kv/put", {"key": b64(key), "value": b64(value), "lease": str(lease)})

    async def delete(self, key: str, prefix: bool = False) -> int:
        """Delete a key, or all keys with that prefix, and return the revision after it."""
        return await self.write("/v3/kv/deleterange", prefix_range(key) if prefix else {"key": b64(key)})

    async def txn(self, puts: Mapping[str, bytes], deletes: Sequence[str]) -> int:
        """Apply puts and deletes in one revision and return that revision."""
        ops: list[object] = [
            {"request_put": {"key": b64(key), "value": b64(value)}} for key, value in puts.items()
        ]
        ops += [{"request_delete_range": {"key": b64(key)}} for key in deletes]
        return await self.write("/v3/kv/txn", {"success": ops})

    async def compact(self, revision: int) -> None:
        """Compact the history before a revision; the compaction is physically complete on return."""
        await self.call("/v3/kv/compaction", {"revision": str(revision), "physical": True})

    async def revision(self) -> int:
        """Return the latest revision."""
        return await self.write("/v3/kv/range", {"key": b64(b"\0"), "count_only": True})

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease and return its id."""
        return int((await self.call("/v3/lease/grant", {"TTL": str(ttl_s)}))["ID"])

    async def revoke(self, lease: int) -> int:
        """Revoke a lease, which deletes its keys, and return the revision after it."""
        return await self.write("/v3/lease/revoke", {"ID": str(lease)})
