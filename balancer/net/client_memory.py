"""What all client connections hold in memory: themselves, requests, unread responses.

All of it is charged to the node's `MemoryBudget`. Where that is exceeded, requests that are incomplete are
rejected and connections whose clients do not read are aborted here.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from balancer.core.memory_budget import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    SMALL_REQUEST_BYTES,
    Charges,
    MemoryBudget,
    Use,
)
from balancer.core.unread_responses import UnreadResponses

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 10.0  # between log lines
MIN_STALLED_S = 0.2  # without input, after which an incomplete request is rejected before others


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
    """Charges what client connections hold to the budget, and keeps it within."""

    def __init__(
        self, now_ms: Callable[[], float], incomplete: Iterable[MemoryHolder], budget: MemoryBudget
    ) -> None:
        """`incomplete` are the connections with an incomplete request, oldest first."""
        self.now_ms, self.incomplete, self.budget = now_ms, incomplete, budget
        self.loop = asyncio.get_running_loop()
        self.connections: Charges[MemoryHolder] = Charges(budget)
        self.requests: Charges[MemoryHolder] = Charges(budget)
        self.unread: UnreadResponses[MemoryHolder] = UnreadResponses(budget)
        self._progress_s: dict[MemoryHolder, float] = {}  # of incomplete requests, least recent first
        budget.reclaim = self.reclaim
        # Since the last log line: connections that were aborted as their clients do not read, incomplete
        # requests that were rejected for memory, and those that were rejected for a new connection.
        self.aborted_count = self.rejected_count = self.evicted_count = 0
        self.logged_at_s = -LOG_INTERVAL_S

    @property
    def may_hold_connections(self) -> bool:
        """Whether the connections that there are may stay."""
        return self.budget.has_room(Use.CONNECTION)

    def add(self, connection: MemoryHolder) -> None:
        """Charge a new connection."""
        self.connections.update(connection, CONNECTION_BYTES)

    def discard(self, connection: MemoryHolder) -> None:
        """Release all that a connection held, which has ended."""
        self.connections.discard(connection)
        self.release_request(connection)
        self.unread.discard(connection)

    def release_request(self, connection: MemoryHolder) -> None:
        """Release what a connection held of a request, which is answered."""
        self._progress_s.pop(connection, None)
        self.requests.discard(connection)

    def update_incomplete(self, connection: MemoryHolder, held_bytes: int) -> None:
        """Charge what a connection holds of a request after further input; it may be rejected for that."""
        self._progress_s.pop(connection, None)
        self._progress_s[connection] = self.loop.time()
        self.requests.update(connection, held_bytes)
        if not self.budget.has_room(_use(held_bytes)):
            self._reject_incomplete()

    def admit_complete(self, connection: MemoryHolder, held_bytes: int) -> bool:
        """Charge the complete request of a connection; False if it may not be held for its response."""
        self._progress_s.pop(connection, None)
        self.requests.update(connection, held_bytes)
        use = _use(held_bytes)
        if not self.budget.has_room(use):
            self.reclaim()
        return self.budget.has_room(use)

    def reclaim(self) -> None:
        """Make room: abort connections that do not read, and reject incomplete requests."""
        if self.unread.is_over_budget:
            self._abort(self.unread.excess(self.now_ms()))
        self._reject_incomplete()

    def _reject_incomplete(self) -> None:
        """Reject incomplete requests until there is room, the large ones first."""
        for use in (Use.LARGE_REQUEST, Use.SMALL_REQUEST):
            for connection in () if self.budget.has_room(use) else self._rejection_order():
                if self.budget.has_room(use):
                    break
                if connection in self.requests and _use(self.requests[connection]) is use:
                    self.rejected_count += 1
                    connection.reject_incomplete()

    def _rejection_order(self) -> Iterator[MemoryHolder]:
        """Return the connections with incomplete requests: those that are stalled, then the youngest first.

        So requests that arrive get complete, however many begin.
        """
        stalled_before_s = self.loop.time() - MIN_STALLED_S
        for connection, progress_s in list(self._progress_s.items()):
            if progress_s > stalled_before_s:
                break
            yield connection
        yield from reversed(list(self.incomplete))

    def update_unread(self, connection: MemoryHolder) -> None:
        """Charge the unread bytes of a connection, and abort connections over the budget."""
        transport = connection.transport
        if transport is None or connection.is_aborted:
            return
        unread_bytes, now_ms = transport.get_write_buffer_size(), self.now_ms()
        self.unread.update(connection, unread_bytes, now_ms, connection.latest_deadline_ms)
        if self.unread.is_over_budget:
            self._abort(self.unread.excess(now_ms))

    def sweep(self) -> None:
        """Follow the memory of the process and what clients have read; close what stalls or exceeds it."""
        self.budget.refresh()
        for connection in list(self.unread):
            self.update_unread(connection)
        self._abort(self.unread.stalled(self.now_ms()))
        self.reclaim()
        if self.loop.time() - self.logged_at_s >= LOG_INTERVAL_S:
            self._log()

    def _abort(self, connections: Iterable[MemoryHolder]) -> None:
        for connection in connections:
            self.aborted_count += 1
            connection.abort()

    def _log(self) -> None:
        if not (self.aborted_count or self.rejected_count or self.evicted_count):
            return
        budget, self.logged_at_s = self.budget, self.loop.time()
        log.warning(
            "http server: %d incomplete requests rejected for memory, %d for new connections; %d connections "
            "aborted: their clients do not read; memory: %.1f MB resident, %.1f MB held of %.1f",
            self.rejected_count,
            self.evicted_count,
            self.aborted_count,
            budget.resident_bytes / BYTES_PER_MB,
            budget.charged_bytes / BYTES_PER_MB,
            budget.capacity_bytes / BYTES_PER_MB,
        )
        self.rejected_count = self.evicted_count = self.aborted_count = 0


def _use(held_bytes: int) -> Use:
    return Use.SMALL_REQUEST if held_bytes <= SMALL_REQUEST_BYTES else Use.LARGE_REQUEST
