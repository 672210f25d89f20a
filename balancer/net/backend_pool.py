"""The pool of connections to backends, with reuse of idle ones and a limit on their number."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable, Iterable
from functools import cached_property
from typing import TYPE_CHECKING

from balancer import interface as api
from balancer.core.response_attribution import (
    MAX_REUSE_WAIT_MS,
    REUSE_DELAY_MS,
    UNMEASURED_DELAY_RATIO,
    ResponseHistory,
)
from balancer.endpoints import Address, EndpointRecord
from balancer.interface import AttemptStatus
from balancer.net.backend_connection import (
    BackendConnection,
    BackendResponse,
    Exchange,
    RequestData,
)
from balancer.net.input_queue import InputQueue

if TYPE_CHECKING:
    from balancer.core.memory_budget import MemoryBudget
    from balancer.net.backend_memory import BackendMemory

log = logging.getLogger(__name__)

IDLE_LIMIT_RATIO = 0.7  # of the backend's idle limit, after which this side closes
REUSE_DELAY_S = REUSE_DELAY_MS / 1000
SWEEP_INTERVAL_RATIO = 0.1  # of the idle limit, between two checks for idle connections


class BackendConnections:
    """One backend: its address, whether it takes requests, its idle connections, last used last.

    `started_at_ms` is when its process started, in Unix time; 0 if that is unknown or long ago.
    """

    __slots__ = ("address", "history", "idle", "is_listed", "started_at_ms")

    def __init__(self, address: Address, started_at_ms: float) -> None:
        self.address, self.started_at_ms, self.is_listed = address, started_at_ms, True
        self.idle: list[BackendConnection] = []
        self.history = ResponseHistory()


class BackendPool:
    """All connections to backends."""

    def __init__(
        self,
        settings: api.Settings,
        max_connections: int,
        memory_budget: Callable[[], MemoryBudget] | None = None,
        input_queue: InputQueue | None = None,
    ) -> None:
        """Open at most `max_connections`.

        They and their responses are charged to the budget that `memory_budget` returns, which is called with
        the first connection. Their input takes its turns in `input_queue`.
        """
        self.input_queue = InputQueue() if input_queue is None else input_queue
        self._memory_budget = memory_budget
        self.connect_timeout_s = settings.connect_timeout_ms / 1000
        self.idle_limit_s = settings.connection_idle_ms / 1000
        self.max_connections, self.connection_count = max_connections, 0
        self.backends: dict[str, BackendConnections] = {}
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()

    @cached_property
    def memory(self) -> BackendMemory:
        """What the connections hold; loaded with the first one, not at the start."""
        from balancer.core.memory_budget import MemoryBudget
        from balancer.net.backend_memory import BackendMemory

        return BackendMemory(self._memory_budget() if self._memory_budget else MemoryBudget(math.inf))

    def update(self, records: Iterable[EndpointRecord], removed: Iterable[str] = ()) -> None:
        """Apply changes of the list; closes idle connections to backends that leave, move or restart."""
        for name in removed:
            self._remove(name)
        for record in records:
            name, started_at_ms = record.endpoint.id, record.endpoint.started_at_ms
            if (backend := self.backends.get(name)) is None:
                backend = self.backends[name] = BackendConnections(record.address, started_at_ms)
            backend.is_listed = record.endpoint.phase is api.Phase.UP
            is_other_process = backend.address != record.address or started_at_ms > backend.started_at_ms
            if is_other_process or not backend.is_listed:
                self.close_idle(name)
            if is_other_process:
                backend.address, backend.started_at_ms = record.address, started_at_ms
                backend.history = ResponseHistory()

    def _remove(self, name: str) -> None:
        """Remove a backend; its running attempts end on their own."""
        if name in self.backends:
            self.backends[name].is_listed = False
            self.close_idle(name)
            del self.backends[name]

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a backend."""
        for connection in self.backends[name].idle[:] if name in self.backends else ():
            connection.close()

    def start(
        self,
        name: str,
        data: RequestData,
        on_done: Callable[[BackendResponse], None],
        start_before_s: float = math.inf,
    ) -> Exchange:
        """Start an attempt on the last used connection or on a new one; `on_done` may be called at once.

        A connection that was used within the reuse delay is passed over, as a late second response on it
        could be taken for that of this request. If there is no other, the attempt waits for it, unless a new
        connection is expected to take less time.
        """
        backend = self.backends[name]
        reuse_delay_s = backend.history.reuse_delay_ms(REUSE_DELAY_S * 1000) / 1000
        attempt = Exchange(data, on_done, start_before_s)
        now_s = time.monotonic()  # the loop's own clock does not advance within a turn
        recently_used: BackendConnection | None = None  # of these, the one that was used least recently
        for connection in reversed(backend.idle[:]):
            if now_s - connection.idle_since_s < reuse_delay_s:
                recently_used = connection
            elif (
                now_s - connection.idle_since_s > IDLE_LIMIT_RATIO * self.idle_limit_s
                or not connection.is_clean
            ):
                connection.close()
            else:
                backend.idle.remove(connection)
                connection.write(attempt)
                return attempt
        wait_s = math.inf if recently_used is None else reuse_delay_s - (now_s - recently_used.idle_since_s)
        if (
            recently_used is not None
            and wait_s <= max(UNMEASURED_DELAY_RATIO * REUSE_DELAY_S, MAX_REUSE_WAIT_MS / 1000)
            and recently_used.is_clean
        ):
            backend.idle.remove(recently_used)
            recently_used.write_after(attempt, wait_s)
        else:
            self.connect(backend, attempt)
        return attempt

    def connect(self, backend: BackendConnections, attempt: Exchange) -> None:
        """Start an attempt on a new connection."""
        if not backend.is_listed or (self._is_full() and not self._evict()):
            attempt.report_outcome(BackendResponse(AttemptStatus.NOT_STARTED))
            return
        try:
            connection = BackendConnection(self, backend)
        except OSError as err:  # without a free descriptor the connection is not counted
            log.warning("backend: no socket for a connection: %s", err)
            attempt.report_outcome(BackendResponse(AttemptStatus.NOT_STARTED))
            return
        self.connection_count += 1
        connection.attempt, attempt.connection = attempt, connection
        connection.task = self.loop.create_task(connection.open())

    def _is_full(self) -> bool:
        """Whether there may be no more connections than there are."""
        return self.connection_count >= self.max_connections or not self.memory.may_connect()

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; False if none is idle."""
        idle = [backend.idle[0] for backend in self.backends.values() if backend.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since_s).close()
        return bool(idle)

    def release(self, connection: BackendConnection, is_reusable: bool) -> None:
        """Take back a connection after its response."""
        backend = connection.backend
        reuse_delay_s = backend.history.reuse_delay_ms(REUSE_DELAY_S * 1000) / 1000
        is_reusable = is_reusable and IDLE_LIMIT_RATIO * self.idle_limit_s > reuse_delay_s
        if (
            not is_reusable
            or not backend.is_listed
            or not connection.is_to_current_process
            or connection.is_closed
        ):
            connection.close()
            return
        connection.has_written, connection.idle_since_s = False, time.monotonic()
        backend.idle.append(connection)
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(
                max(SWEEP_INTERVAL_RATIO * self.idle_limit_s, 0.05), self._sweep
            )

    def _sweep(self) -> None:
        """Close connections that have been idle for long, before the backend does so during a request."""
        self.sweep_timer, idle_before_s = None, time.monotonic() - IDLE_LIMIT_RATIO * self.idle_limit_s
        for backend in self.backends.values():
            for connection in [c for c in backend.idle if c.idle_since_s < idle_before_s]:
                connection.close()
        if any(backend.idle for backend in self.backends.values()):
            self.sweep_timer = self.loop.call_later(
                max(SWEEP_INTERVAL_RATIO * self.idle_limit_s, 0.05), self._sweep
            )

    def close(self) -> None:
        """Close all idle connections at shutdown."""
        for name in self.backends:
            self.close_idle(name)
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
