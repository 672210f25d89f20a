"""`[metrics]`: a small HTTP/1.1 server that answers `GET /metrics` and nothing else, on while it is wanted.

Bounds: 8 scrapes at a time, 8 KiB a request's head, 5 s a scrape. The text is made and written a family at a
time; requests go on between two.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from balancer.core.recovery import Recovery
from balancer.endpoints import Address
from balancer.net.component import RunningNode
from balancer.observability.metrics import CONTENT_TYPE, Figures, Metrics
from balancer.operator_settings import OperatorSettings
from balancer.timeline.monitor import TimelineMonitor

log = logging.getLogger(__name__)

MAX_CLIENTS, MAX_HEAD_BYTES, CLIENT_TIMEOUT_S = 8, 8 * 1024, 5.0
RETRY_INTERVAL_S = 2.0  # s until an address that could not be had is tried again
Target = tuple[Address, TimelineMonitor]


class MetricsComponent:
    """Serves the metrics where the operators' file has `[metrics]`, of the time line that is on by then."""

    def __init__(self, running: RunningNode) -> None:
        self.running = running
        self.loop = asyncio.get_running_loop()
        self._target: Target | None = None
        self._server: MetricsServer | None = None
        self._moving: asyncio.Task[None] | None = None

    def apply(self, settings: OperatorSettings) -> None:
        """Move to another address, or to none."""
        wanted, watch = settings.metrics, self.running.timeline_monitor
        self._set_target(None if wanted is None or watch is None else (wanted.listen, watch))

    async def close(self) -> None:
        """Serve no more."""
        self._set_target(None)
        if self._moving is not None:
            await asyncio.gather(self._moving, return_exceptions=True)

    def _peers(self) -> Figures | None:
        return None if self.running.peers is None else self.running.peers.metrics()

    def _set_target(self, target: Target | None) -> None:
        if target != self._target:
            self._target = target
            self._moving = self.loop.create_task(self._move(target, self._moving))

    async def _move(self, target: Target | None, before: asyncio.Task[None] | None) -> None:
        """One change after the other."""
        if before is not None:
            await asyncio.gather(before, return_exceptions=True)
        if self._server is not None:
            await self._server.close()
            self._server = None
        said = False
        while target is not None and target is self._target:
            address, watch = target
            meter = self.running.recovery
            server = MetricsServer(watch, None if meter is None else meter.recovery, self._peers)
            try:
                await server.listen(address)
            except OSError as err:
                if not said:
                    why = err.strerror or type(err).__name__
                    log.error(
                        "metrics: %s:%d: %s; it is tried again every %g s", *address, why, RETRY_INTERVAL_S
                    )
                said = True
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._server = server
            log.info("metrics at http://%s:%d/metrics", address[0], server.port)
            return


class MetricsServer:
    """Serves the metrics of one time line at one address."""

    def __init__(
        self,
        watch: TimelineMonitor,
        recovery: Recovery | None = None,
        peers: Callable[[], Figures | None] = lambda: None,
    ) -> None:
        self.metrics = Metrics(watch, recovery, peers)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Begin; raises OSError where that cannot be."""
        self._server = await asyncio.start_server(self._client, *address, limit=MAX_HEAD_BYTES)

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
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
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
        if len(self._tasks) > MAX_CLIENTS:
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
