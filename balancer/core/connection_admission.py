"""Limits on what clients can make a node hold: descriptors, requests, large bodies, unread responses.

The module computes with numbers only: it uses no sockets and no clock.

- `descriptor_quotas`, `connection_limits`: how many descriptors clients and backends may hold.
- `LargeBodyBudget`: a memory budget shared by all large bodies.
- `RequestMemory`: the memory of requests that are incomplete or await a response.
- `UnreadResponses`: the memory of responses that clients do not read, and the connections to close for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

RESERVED_DESCRIPTORS = 32  # for the listener, discovery, the event loop and the log
MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + 4
CLIENT_DESCRIPTOR_RATIO = 0.6  # of the unreserved descriptors; backends get the rest
MAX_OVERLOAD_CONNECTIONS = 16  # connections over the limit that still get one response
OVERLOAD_CONNECTIONS_DIVISOR = 8  # they take at most an eighth of the clients' descriptors

UNBUDGETED_BODY_BYTES = 64 * 1024  # of each body; few bodies are larger
MAX_FORWARDED_BODY_BYTES = 1024 * 1024
LARGE_BODY_BUDGET_DIVISOR = 16  # of the node's memory; up to 3 copies of a body exist at a time
MIN_LARGE_BODY_BUDGET_BYTES = 2 * MAX_FORWARDED_BODY_BYTES

REQUEST_MEMORY_DIVISOR = 8  # of the node's memory; up to 3 copies of a body exist at a time
MIN_REQUEST_MEMORY_BYTES = 4 * 1024 * 1024

UNREAD_BUDGET_DIVISOR = 8  # of the node's memory
MIN_UNREAD_BUDGET_BYTES = 4 * 1024 * 1024
READ_STALL_TIMEOUT_MS = 5_000.0  # without progress; kernel buffers hide shorter pauses of a reading client
READ_PROGRESS_GRACE_MS = 200.0  # over budget; a client that reads makes progress within it

Key = TypeVar("Key")


class DescriptorQuotas(NamedTuple):
    """How many descriptors clients and backends may hold."""

    clients: int
    backends: int


class ConnectionLimits(NamedTuple):
    """How many connections are served, and how many more get one response before they are closed."""

    served: int
    overload: int


def unread_budget_bytes(memory_mb: float) -> int:
    """Return the bytes of unread responses that a node with `memory_mb` of memory may hold."""
    return max(MIN_UNREAD_BUDGET_BYTES, int(memory_mb * 1024 * 1024 / UNREAD_BUDGET_DIVISOR))


def request_memory_bytes(memory_mb: float) -> int:
    """Return the bytes of requests that a node with `memory_mb` of memory may hold."""
    return max(MIN_REQUEST_MEMORY_BYTES, int(memory_mb * 1024 * 1024 / REQUEST_MEMORY_DIVISOR))


def large_body_budget_bytes(memory_mb: float) -> int:
    """Return the budget of all bodies, for their bytes beyond `UNBUDGETED_BODY_BYTES` each."""
    return max(MIN_LARGE_BODY_BUDGET_BYTES, int(memory_mb * 1024 * 1024 / LARGE_BODY_BUDGET_DIVISOR))


def descriptor_quotas(descriptors: int) -> DescriptorQuotas:
    """Divide the descriptors of the process, which are at least `MIN_DESCRIPTORS`."""
    clients = int((descriptors - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_RATIO)
    return DescriptorQuotas(clients, descriptors - RESERVED_DESCRIPTORS - clients)


def connection_limits(client_descriptors: int) -> ConnectionLimits:
    """Divide the clients' descriptors, so that an overload never uses the reserved ones."""
    overload = min(MAX_OVERLOAD_CONNECTIONS, client_descriptors // OVERLOAD_CONNECTIONS_DIVISOR)
    return ConnectionLimits(client_descriptors - overload, overload)


class LargeBodyBudget:
    """Budget for the bytes beyond `UNBUDGETED_BODY_BYTES` of bodies that are being read or await a response.

    Without it, hundreds of large bodies, each within its own limit, could exhaust the memory.
    """

    def __init__(self, budget_bytes: int = MIN_LARGE_BODY_BUDGET_BYTES) -> None:
        self.budget_bytes, self.reserved_bytes = budget_bytes, 0

    def reserve(self, held_bytes: int, body_bytes: int) -> int | None:
        """Reserve bytes for a body that has grown to `body_bytes` and already holds `held_bytes`.

        Returns the bytes that it holds then, to be passed to `release`. Returns None and changes nothing if
        the budget does not suffice.
        """
        needed_bytes = max(held_bytes, body_bytes - UNBUDGETED_BODY_BYTES)
        if needed_bytes > held_bytes and self.reserved_bytes + needed_bytes - held_bytes > self.budget_bytes:
            return None
        self.reserved_bytes += needed_bytes - held_bytes
        return needed_bytes

    def release(self, held_bytes: int) -> None:
        """Return the bytes that a body held to the budget."""
        self.reserved_bytes -= held_bytes


class RequestMemory(Generic[Key]):
    """The bytes that each connection holds for a request that is incomplete or unanswered, and their sum.

    Without it, hundreds of requests that never become complete could exhaust the memory.

    Large bodies have a budget of their own for what exceeds `UNBUDGETED_BODY_BYTES`.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes, self.total_bytes = budget_bytes, 0
        self._held_bytes: dict[Key, int] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._held_bytes

    @property
    def is_over_budget(self) -> bool:
        """Whether requests have to be rejected."""
        return self.total_bytes > self.budget_bytes

    def update(self, key: Key, held_bytes: int) -> None:
        """Record how many bytes a connection holds now."""
        self.total_bytes += held_bytes - self._held_bytes.get(key, 0)
        self._held_bytes[key] = held_bytes

    def discard(self, key: Key) -> None:
        """Remove a connection whose request is answered, or that was closed."""
        self.total_bytes -= self._held_bytes.pop(key, 0)


@dataclass(slots=True)
class _UnreadConnection:
    unread_bytes: int
    progress_ms: float  # when the client last read some bytes
    keep_until_ms: float  # not closed for a stall before this time


class UnreadResponses(Generic[Key]):
    """Bytes of responses that the kernel has not taken yet, by connection.

    Bounds: one record for each connection with unread bytes. All connections together hold `budget_bytes`,
    plus what is added between two calls of `excess`.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes, self.total_bytes = budget_bytes, 0
        self._connections: dict[Key, _UnreadConnection] = {}

    def __repr__(self) -> str:
        return f"<UnreadResponses {self.total_bytes} of {self.budget_bytes} bytes on {len(self)} connections>"

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, key: object) -> bool:
        return key in self._connections

    def __iter__(self) -> Iterator[Key]:
        return iter(self._connections)

    @property
    def is_over_budget(self) -> bool:
        """Whether the budget is exceeded, so that no further requests may be read."""
        return self.total_bytes > self.budget_bytes

    def update(self, key: Key, unread_bytes: int, now_ms: float, keep_until_ms: float = 0.0) -> None:
        """Record how many bytes are unread on a connection; a decrease counts as progress.

        `keep_until_ms` is the latest deadline of the requests that were answered on it.
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
        connection.unread_bytes = unread_bytes
        connection.keep_until_ms = max(connection.keep_until_ms, keep_until_ms)

    def discard(self, key: Key) -> None:
        """Remove a connection whose responses were read to the end, or that was closed."""
        if (connection := self._connections.pop(key, None)) is not None:
            self.total_bytes -= connection.unread_bytes

    def stalled(self, now_ms: float) -> list[Key]:
        """Return the connections whose client stopped reading and whose last deadline has passed."""
        return [
            key
            for key, connection in self._connections.items()
            if now_ms - connection.progress_ms > READ_STALL_TIMEOUT_MS and now_ms > connection.keep_until_ms
        ]

    def excess(self, now_ms: float) -> list[Key]:
        """Return the connections to close for the budget: those without progress, the largest first.

        A connection that makes progress is closed only above twice the budget, which bounds the memory.
        """
        excess: list[Key] = []
        remaining_bytes = self.total_bytes
        if remaining_bytes <= self.budget_bytes:
            return excess
        largest = sorted(self._connections.items(), key=lambda item: -item[1].unread_bytes)
        for has_progress, limit_bytes in ((False, self.budget_bytes), (True, 2 * self.budget_bytes)):
            for key, connection in largest:
                if remaining_bytes <= limit_bytes:
                    break
                if (now_ms - connection.progress_ms < READ_PROGRESS_GRACE_MS) is has_progress:
                    excess.append(key)
                    remaining_bytes -= connection.unread_bytes
        return excess
