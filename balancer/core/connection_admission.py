"""What the node lets others make it hold: numbers in, whom to end out. No sockets, no clock of its own.

- `shares`, `places`: who may hold how many descriptors.
- `LongBodies`: the bytes of bodies that are longer than usual.
- `UnreadAnswers`: the bytes of answers that clients do not read, and whose connection goes for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

READ_STALL_TIMEOUT_MS = (
    5_000.0  # without progress a client has stopped reading, though its kernel may hold a little more
)
READ_PROGRESS_GRACE_MS = 200.0  # the same where the budget is gone: who reads at all makes progress within it
MIN_UNREAD_BUDGET_BYTES = 4 * 1024 * 1024
RESERVED_DESCRIPTORS = 32  # descriptors kept for the listener, discovery, the loop and the log
CLIENT_DESCRIPTOR_RATIO = 0.6  # part of the other descriptors that clients may hold; backends get the rest
MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + 4
MAX_OVERLOAD_CONNECTIONS = 16  # connections over the cap that still get an answer of their own, at most
OVERLOAD_CONNECTIONS_DIVISOR = 8  # and at most one part of so many
UNREAD_BUDGET_DIVISOR = 8  # of the node's memory, one part is for unread answers
UNBUDGETED_BODY_BYTES = 64 * 1024  # bytes of a request's or an answer's body that need no leave
MAX_FORWARDED_BODY_BYTES = 1024 * 1024  # bytes of the longest that is passed on
LARGE_BODY_BUDGET_DIVISOR = (
    16  # of the node's memory, one part is for what is beyond the usual; there are up to 3 copies
)
MIN_LARGE_BODY_BUDGET_BYTES = 2 * MAX_FORWARDED_BODY_BYTES

Key = TypeVar("Key")


def unread_budget_bytes(memory_mb: float) -> int:
    """Bytes of unread answers that a node with so many megabytes may hold."""
    return max(MIN_UNREAD_BUDGET_BYTES, int(memory_mb * 1024 * 1024 / UNREAD_BUDGET_DIVISOR))


def large_body_budget_bytes(memory_mb: float) -> int:
    """Bytes beyond the usual that the bodies in a node with so many megabytes may have."""
    return max(MIN_LARGE_BODY_BUDGET_BYTES, int(memory_mb * 1024 * 1024 / LARGE_BODY_BUDGET_DIVISOR))


def descriptor_quotas(descriptors: int) -> tuple[int, int]:
    """How many of the descriptors clients may hold, and backends; `sockets` is `LEAST_SOCKETS` at least."""
    clients = int((descriptors - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_RATIO)
    return clients, descriptors - RESERVED_DESCRIPTORS - clients


def connection_limits(client_descriptors: int) -> tuple[int, int]:
    """Of the clients' descriptors: the cap on connections, and those over it that get one answer each.

    Both are within the share, so that what is kept for discovery is never taken for a crowd.
    """
    over = min(MAX_OVERLOAD_CONNECTIONS, client_descriptors // OVERLOAD_CONNECTIONS_DIVISOR)
    return client_descriptors - over, over


class LargeBodyBudget:
    """Bytes beyond the usual, of all bodies that are read or wait for their answer.

    Guards memory against long bodies by hundreds, each within its own bound.
    """

    def __init__(self, budget_bytes: int = MIN_LARGE_BODY_BUDGET_BYTES) -> None:
        self.budget_bytes, self.reserved_bytes = budget_bytes, 0

    def reserve(self, held_bytes: int, body_bytes: int) -> int | None:
        """What a body of `size` bytes needs in all, of which it has `held`; None: there is not so much."""
        needed_bytes = max(held_bytes, body_bytes - UNBUDGETED_BODY_BYTES)
        if needed_bytes > held_bytes and self.reserved_bytes + needed_bytes - held_bytes > self.budget_bytes:
            return None
        self.reserved_bytes += needed_bytes - held_bytes
        return needed_bytes

    def release(self, held_bytes: int) -> None:
        """A body is done with."""
        self.reserved_bytes -= held_bytes


@dataclass(slots=True)
class _UnreadConnection:
    unread_bytes: int
    progress_ms: float  # when some of it was last taken
    keep_until_ms: float  # until then its connection stays, if the budget allows it


class UnreadResponses(Generic[Key]):
    """Answers that were written and that the kernel has not taken, by connection.

    Bound: a row for each connection with such bytes. Their bytes are the budget's, and between two calls of
    `excess` what the answers of that time add.
    """

    def __init__(self, budget_bytes: int) -> None:
        """`budget` in bytes, over all connections."""
        self.budget_bytes, self.total_bytes = budget_bytes, 0
        self._connections: dict[Key, _UnreadConnection] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, key: object) -> bool:
        return key in self._connections

    @property
    def is_over_budget(self) -> bool:
        """Whether the budget is gone: nothing more may be taken that will need an answer."""
        return self.total_bytes > self.budget_bytes

    def update(self, key: Key, unread_bytes: int, now_ms: float, keep_until_ms: float = 0.0) -> None:
        """So many bytes are held on it now; none: it is forgotten. Fewer than before are progress.

        `until_ms` is the latest deadline of the requests that were answered on it.
        """
        connection = self._connections.get(key)
        if connection is None:
            if unread_bytes > 0:
                self._connections[key] = _UnreadConnection(unread_bytes, now_ms, keep_until_ms)
                self.total_bytes += unread_bytes
            return
        if unread_bytes <= 0:
            self.discard(key)
            return
        if unread_bytes < connection.unread_bytes:
            connection.progress_ms = now_ms
        self.total_bytes += unread_bytes - connection.unread_bytes
        connection.unread_bytes, connection.keep_until_ms = (
            unread_bytes,
            max(connection.keep_until_ms, keep_until_ms),
        )

    def discard(self, key: Key) -> None:
        """It has drained or ended."""
        if (connection := self._connections.pop(key, None)) is not None:
            self.total_bytes -= connection.unread_bytes

    def __iter__(self) -> Iterator[Key]:
        """All on which bytes are held."""
        return iter(self._connections)

    def stalled(self, now_ms: float) -> list[Key]:
        """Those that have taken nothing for long, and whose last request's deadline is over."""
        return [
            key
            for key, row in self._connections.items()
            if now_ms - row.progress_ms > READ_STALL_TIMEOUT_MS and now_ms > row.keep_until_ms
        ]

    def excess(self, now_ms: float) -> list[Key]:
        """Those to end so that the rest fits the budget: the largest first of those that make no progress.

        One that reads is not among them until twice the budget is held; what is held by then is bounded so.
        """
        out: list[Key] = []
        left = self.total_bytes
        if left <= self.budget_bytes:
            return out
        largest = sorted(self._connections.items(), key=lambda item: -item[1].unread_bytes)
        for reading, bound in ((False, self.budget_bytes), (True, 2 * self.budget_bytes)):
            for key, row in largest:
                if left <= bound:
                    break
                if (now_ms - row.progress_ms < READ_PROGRESS_GRACE_MS) is reading:
                    out.append(key)
                    left -= row.unread_bytes
        return out
