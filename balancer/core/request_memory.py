"""The memory of requests that clients have sent in part, or that await a response, over all connections.

A request is within limits of its own, but hundreds of them that never become complete could exhaust the
memory of the node. The module computes with numbers only: it uses no sockets and no clock.
"""

from __future__ import annotations

from typing import Generic, TypeVar

REQUEST_MEMORY_DIVISOR = 8  # of the node's memory; up to 3 copies of a body exist at a time
MIN_REQUEST_MEMORY_BYTES = 4 * 1024 * 1024

Key = TypeVar("Key")


def request_memory_bytes(memory_mb: float) -> int:
    """Return the bytes of requests that a node with `memory_mb` of memory may hold."""
    return max(MIN_REQUEST_MEMORY_BYTES, int(memory_mb * 1024 * 1024 / REQUEST_MEMORY_DIVISOR))


class RequestMemory(Generic[Key]):
    """The bytes that each connection holds for its request, and their sum.

    Large bodies have a budget of their own for what exceeds `UNBUDGETED_BODY_BYTES`.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes, self.total_bytes = budget_bytes, 0
        self._held_bytes: dict[Key, int] = {}

    def __repr__(self) -> str:
        return f"<RequestMemory {self.total_bytes} of {self.budget_bytes} bytes on {len(self)} connections>"

    def __len__(self) -> int:
        return len(self._held_bytes)

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
