"""Where `[metrics]` listens: a small HTTP/1.1 server that answers `GET /metrics` and nothing else.

Bounds: 8 scrapes at a time, 8 KiB a request's head, 5 s a scrape. The text is made and written a family at a
time; requests go on between two.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

from dillport.members import Address
from dillport.observe.metrics import CONTENT_TYPE, Metrics
from dillport.timeline.watch import Watch

log = logging.getLogger(__name__)

MOST, HEAD, LIMIT = 8, 8 * 1024, 5.0


class MetricsServer:
    """Serves the metrics of one time line at one address."""

    def __init__(self, watch: Watch) -> None:
        self.metrics = Metrics(watch)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Begin; raises OSError where that cannot be."""
        self._server = await asyncio.start_server(self._client, *address, limit=HEAD)

    @property
    def port(self) -> int:
        """Where it listens: the system's choice where 0 was asked for."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Serve no more."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
                async with asyncio.timeout(LIMIT):
                    await self._answer(reader, writer)
        except asyncio.CancelledError:
            pass  # the node ends, or serves metrics no longer
        except Exception:  # guards the node against a scrape that it cannot answer
            log.exception("metrics: a scrape failed")
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if writer.transport.get_write_buffer_size() else writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.LimitOverrunError:
            writer.write(_head(431, "Request Header Fields Too Large"))
            return
        method, _, rest = head.partition(b" ")
        target = rest.partition(b" ")[0].partition(b"?")[0]
        if len(self._tasks) > MOST:
            writer.write(_head(503, "Service Unavailable"))
        elif target != b"/metrics":
            writer.write(_head(404, "Not Found"))
        elif method not in (b"GET", b"HEAD"):
            writer.write(_head(405, "Method Not Allowed"))
        else:
            writer.write(
                b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: %b\r\n\r\n" % CONTENT_TYPE.encode()
            )
            if method == b"GET":
                for piece in self.metrics.pieces():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
        await writer.drain()


def _head(code: int, words: str) -> bytes:
    return f"HTTP/1.1 {code} {words}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode()
