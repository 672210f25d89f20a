"""The `[metrics]` component: a small HTTP/1.1 server that answers `GET /metrics` and nothing else.

Bounds: 8 scrapes at a time, 8 KiB for a request's head, 5 s for a scrape. The text is rendered and written
one metric family at a time, and requests are served in between.
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
RETRY_INTERVAL_S = 2.0  # until another attempt to listen on the address
Target = tuple[Address, TimelineMonitor]


class MetricsComponent:
    """Serves the metrics of the active timeline where the operator settings have `[metrics]`."""

    def __init__(self, running: RunningNode) -> None:
        self.running = running
        self.loop = asyncio.get_running_loop()
        self._target: Target | None = None
        self._server: MetricsServer | None = None
        self._switch_task: asyncio.Task[None] | None = None

    def apply(self, settings: OperatorSettings) -> None:
        """Move to another address, or stop serving."""
        wanted, monitor = settings.metrics, self.running.timeline_monitor
        self._set_target(None if wanted is None or monitor is None else (wanted.listen, monitor))

    async def close(self) -> None:
        """Stop serving."""
        self._set_target(None)
        if self._switch_task is not None:
            await asyncio.gather(self._switch_task, return_exceptions=True)

    def _peer_metrics(self) -> Figures | None:
        return None if self.running.peers is None else self.running.peers.metrics()

    def _set_target(self, target: Target | None) -> None:
        if target != self._target:
            self._target = target
            self._switch_task = self.loop.create_task(self._switch(target, self._switch_task))

    async def _switch(self, target: Target | None, previous: asyncio.Task[None] | None) -> None:
        """Switch to `target` after the previous switch is complete."""
        if previous is not None:
            await asyncio.gather(previous, return_exceptions=True)
        if self._server is not None:
            await self._server.close()
            self._server = None
        is_failure_logged = False
        while target is not None and target is self._target:
            address, monitor = target
            recovery_component = self.running.recovery
            server = MetricsServer(
                monitor,
                None if recovery_component is None else recovery_component.recovery,
                self._peer_metrics,
            )
            try:
                await server.listen(address)
            except OSError as err:
                if not is_failure_logged:
                    reason = err.strerror or type(err).__name__
                    log.error(
                        "metrics: %s:%d: %s; it is tried again every %g s",
                        *address,
                        reason,
                        RETRY_INTERVAL_S,
                    )
                is_failure_logged = True
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._server = server
            log.info("metrics at http://%s:%d/metrics", address[0], server.port)
            return


class MetricsServer:
    """Serves the metrics of one timeline at one address."""

    def __init__(
        self,
        monitor: TimelineMonitor,
        recovery: Recovery | None = None,
        peers: Callable[[], Figures | None] = lambda: None,
    ) -> None:
        self.metrics = Metrics(monitor, recovery, peers)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Start serving; raises OSError."""
        self._server = await asyncio.start_server(self._client, *address, limit=MAX_HEAD_BYTES)

    @property
    def port(self) -> int:
        """The listening port: chosen by the system if the address has port 0."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop serving."""
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
            pass  # the node shuts down, or the metrics are switched off
        except Exception:  # a failing scrape must not stop the node
            log.exception("metrics: scrape failed")
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if writer.transport.get_write_buffer_size() else writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.LimitOverrunError:
            writer.write(_empty_response(431, "Request Header Fields Too Large"))
            return
        method, _, rest = head.partition(b" ")
        target = rest.partition(b" ")[0].partition(b"?")[0]
        if len(self._tasks) > MAX_CLIENTS:
            writer.write(_empty_response(503, "Service Unavailable"))
        elif target != b"/metrics":
            writer.write(_empty_response(404, "Not Found"))
        elif method not in (b"GET", b"HEAD"):
            writer.write(_empty_response(405, "Method Not Allowed"))
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


def _empty_response(code: int, phrase: str) -> bytes:
    return f"HTTP/1.1 {code} {phrase}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode()
