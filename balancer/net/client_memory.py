"""What all client connections hold in memory: requests that are incomplete or unanswered, unread responses.

The budgets are those of `core/connection_admission`; over them, connections are rejected or aborted here.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from balancer.core.connection_admission import RequestMemory, UnreadResponses

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 10.0  # between log lines of one kind


class MemoryHolder(Protocol):
    """A client connection."""

    transport: asyncio.Transport | None
    is_aborted: bool
    latest_deadline_ms: float

    def reject_incomplete(self) -> None:
        """Reject the request that is being received."""

    def abort(self) -> None:
        """Close the connection without the responses that the client has not read."""


class ClientMemory:
    """Keeps what client connections hold within the budgets."""

    def __init__(
        self,
        now_ms: Callable[[], float],
        incomplete: Iterable[MemoryHolder],
        unread_budget_bytes: int,
        request_memory_bytes: int,
    ) -> None:
        """`incomplete` are the connections with an incomplete request, oldest first."""
        self.now_ms, self.incomplete = now_ms, incomplete
        self.loop = asyncio.get_running_loop()
        self.unread: UnreadResponses[MemoryHolder] = UnreadResponses(unread_budget_bytes)
        self.requests: RequestMemory[MemoryHolder] = RequestMemory(request_memory_bytes)
        # Since the last log line, and when that was written.
        self.aborted_count, self.aborts_logged_at_s = 0, -LOG_INTERVAL_S
        self.rejected_count, self.rejections_logged_at_s = 0, -LOG_INTERVAL_S

    @property
    def is_over_budget(self) -> bool:
        """Whether further requests have to be rejected."""
        return self.unread.is_over_budget or self.requests.is_over_budget

    def discard(self, connection: MemoryHolder) -> None:
        """Forget a connection that has ended."""
        self.unread.discard(connection)
        self.requests.discard(connection)

    def update_request(self, connection: MemoryHolder, held_bytes: int) -> None:
        """Record what a connection holds of its request; over budget the oldest incomplete ones are rejected.

        Usual requests arrive in one piece: a request is young while it still makes progress.
        """
        self.requests.update(connection, held_bytes)
        if self.requests.is_over_budget:
            self._reject_oldest_incomplete()

    def _reject_oldest_incomplete(self) -> None:
        for connection in list(self.incomplete):
            if not self.requests.is_over_budget:
                break
            if connection in self.requests:
                self.rejected_count += 1
                connection.reject_incomplete()
        if self.rejected_count and self.loop.time() - self.rejections_logged_at_s >= LOG_INTERVAL_S:
            log.warning(
                "http server: %d incomplete requests rejected: requests hold too much memory",
                self.rejected_count,
            )
            self.rejected_count, self.rejections_logged_at_s = 0, self.loop.time()

    def update_unread(self, connection: MemoryHolder) -> None:
        """Record the unread bytes of a connection, and abort connections over the budget."""
        transport = connection.transport
        if transport is None or connection.is_aborted:
            return
        unread_bytes, now_ms = transport.get_write_buffer_size(), self.now_ms()
        self.unread.update(connection, unread_bytes, now_ms, connection.latest_deadline_ms)
        if self.unread.is_over_budget:
            self._abort(self.unread.excess(now_ms))

    def abort_stalled(self) -> None:
        """Update the unread bytes of all connections, and abort those whose clients stopped reading."""
        for connection in list(self.unread):
            self.update_unread(connection)
        self._abort(self.unread.stalled(self.now_ms()))
        if self.aborted_count and self.loop.time() - self.aborts_logged_at_s >= LOG_INTERVAL_S:
            log.warning(
                "http server: %d connections aborted: their clients do not read responses", self.aborted_count
            )
            self.aborted_count, self.aborts_logged_at_s = 0, self.loop.time()

    def _abort(self, connections: Iterable[MemoryHolder]) -> None:
        for connection in connections:
            self.aborted_count += 1
            connection.abort()
