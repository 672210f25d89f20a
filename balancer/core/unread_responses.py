"""Responses that clients do not read, and the connections to close for them.

The module computes with numbers only: it uses no sockets and no clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from balancer.core.memory_budget import MemoryBudget, Use

READ_STALL_TIMEOUT_MS = 5_000.0  # without progress; kernel buffers hide shorter pauses of a reading client
READ_PROGRESS_GRACE_MS = 200.0  # over budget; a client that reads makes progress within it

Key = TypeVar("Key")


@dataclass(slots=True)
class _UnreadConnection:
    unread_bytes: int
    progress_ms: float  # when the client last read some bytes
    keep_until_ms: float  # not closed for a stall before this time


class UnreadResponses(Generic[Key]):
    """Bytes of responses that the kernel has not taken yet, by connection; they are charged to the budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.total_bytes = budget, 0
        self._connections: dict[Key, _UnreadConnection] = {}

    def __repr__(self) -> str:
        return f"<UnreadResponses {self.total_bytes} bytes on {len(self)} connections>"

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, key: object) -> bool:
        return key in self._connections

    def __iter__(self) -> Iterator[Key]:
        return iter(self._connections)

    @property
    def is_over_budget(self) -> bool:
        """Whether connections whose clients do not read are to be closed."""
        return self.total_bytes > 0 and not self.budget.has_room(Use.UNREAD_RESPONSE)

    def update(self, key: Key, unread_bytes: int, now_ms: float, keep_until_ms: float = 0.0) -> None:
        """Record how many bytes are unread on a connection; a decrease counts as progress.

        `keep_until_ms` is the latest deadline of the requests that were answered on it.
        """
        connection = self._connections.get(key)
        if connection is None:
            if unread_bytes > 0:
                self._connections[key] = _UnreadConnection(unread_bytes, now_ms, keep_until_ms)
                self._charge(unread_bytes)
            return
        if unread_bytes <= 0:
            self.discard(key)
            return
        if unread_bytes < connection.unread_bytes:
            connection.progress_ms = now_ms
        self._charge(unread_bytes - connection.unread_bytes)
        connection.unread_bytes = unread_bytes
        connection.keep_until_ms = max(connection.keep_until_ms, keep_until_ms)

    def discard(self, key: Key) -> None:
        """Remove a connection whose responses were read to the end, or that was closed."""
        if (connection := self._connections.pop(key, None)) is not None:
            self._charge(-connection.unread_bytes)

    def _charge(self, change_bytes: int) -> None:
        self.total_bytes += change_bytes
        self.budget.charge(change_bytes)

    def stalled(self, now_ms: float) -> list[Key]:
        """Return the connections whose client stopped reading and whose last deadline has passed."""
        return [
            key
            for key, connection in self._connections.items()
            if now_ms - connection.progress_ms > READ_STALL_TIMEOUT_MS and now_ms > connection.keep_until_ms
        ]

    def excess(self, now_ms: float) -> list[Key]:
        """Return the connections to close for the budget: those without progress, the largest first.

        A connection that makes progress is closed only if the whole budget is exceeded.
        """
        excess: list[Key] = []
        if not self.is_over_budget:
            return excess
        largest = sorted(self._connections.items(), key=lambda item: -item[1].unread_bytes)
        released_bytes = 0
        for has_progress, use in ((False, Use.UNREAD_RESPONSE), (True, Use.RESPONSE)):
            for key, connection in largest:
                if self.budget.excess_bytes(use) <= released_bytes:
                    break
                if (now_ms - connection.progress_ms < READ_PROGRESS_GRACE_MS) is has_progress:
                    excess.append(key)
                    released_bytes += connection.unread_bytes
        return excess
