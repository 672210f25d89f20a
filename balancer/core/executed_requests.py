"""Remembers the requests that may have had an effect, so that none is executed again under its id.

A client that loses its connection may send its request once more, under the same id, while or after the node
carries it out. The module computes with numbers only: it uses no sockets and no clock.
"""

from __future__ import annotations

RETENTION_MS = 60_000.0  # at least, unless there are too many: longer than any client waits for a response
ENTRY_BYTES = 128  # of memory for one id: an integer and its places in a set that grows
MEMORY_DIVISOR = 64  # of the node's memory


def max_executed_requests(memory_mb: float) -> int:
    """Return how many requests a node with `memory_mb` of memory remembers."""
    return max(1, int(memory_mb * 1024 * 1024 / MEMORY_DIVISOR / ENTRY_BYTES))


class ExecutedRequests:
    """The ids of requests that may have had an effect, in two generations of at most half the limit each.

    An id is remembered for `RETENTION_MS` to twice that time; the older half goes if there are too many.
    Only hashes are kept: the length of an id is the client's choice.
    """

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self._current, self._previous = set[int](), set[int]()
        self._current_since_ms = 0.0

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def __repr__(self) -> str:
        return f"<ExecutedRequests {len(self)} of {self.max_count}>"

    def add(self, request_id: str, now_ms: float) -> None:
        """Remember a request."""
        self._expire(now_ms)
        if len(self._current) >= max(1, self.max_count // 2):
            self._begin_generation(now_ms)
        self._current.add(hash(request_id))

    def contains(self, request_id: str, now_ms: float) -> bool:
        """Whether the request may have had an effect already."""
        self._expire(now_ms)
        key = hash(request_id)
        return key in self._current or key in self._previous

    def _expire(self, now_ms: float) -> None:
        age_ms = now_ms - self._current_since_ms
        if age_ms >= 2 * RETENTION_MS:
            self._current = set()
        if age_ms >= RETENTION_MS:
            self._begin_generation(now_ms)

    def _begin_generation(self, now_ms: float) -> None:
        self._previous, self._current = self._current, set()
        self._current_since_ms = now_ms
