"""What the node lets others make it hold: numbers in, whom to end out. No sockets, no clock of its own.

- `shares`, `places`: who may hold how many descriptors.
- `LongBodies`: the bytes of bodies that are longer than usual.
- `UnreadAnswers`: the bytes of answers that clients do not read, and whose connection goes for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

STALL_MS = 5_000.0  # without progress a client has stopped reading, though its kernel may hold a little more
GRACE_MS = 200.0  # the same where the budget is gone: who reads at all makes progress within it
LEAST_BUDGET = 4 * 1024 * 1024
SPARE = 32  # descriptors kept for the listener, discovery, the loop and the log
CLIENT_PART = 0.6  # part of the other descriptors that clients may hold; backends get the rest
LEAST_SOCKETS = SPARE + 4
OVER = 16  # connections over the cap that still get an answer of their own, at most
OVER_PART = 8  # and at most one part of so many
PART = 8  # of the node's memory, one part is for unread answers
USUAL_BODY = 64 * 1024  # bytes of a request's or an answer's body that need no leave
MOST_BODY = 1024 * 1024  # bytes of the longest that is passed on
LONG_PART = 16  # of the node's memory, one part is for what is beyond the usual; there are up to 3 copies
LEAST_LONG = 2 * MOST_BODY

Key = TypeVar("Key")


def unread_budget(memory_mb: float) -> int:
    """Bytes of unread answers that a node with so many megabytes may hold."""
    return max(LEAST_BUDGET, int(memory_mb * 1024 * 1024 / PART))


def long_budget(memory_mb: float) -> int:
    """Bytes beyond the usual that the bodies in a node with so many megabytes may have."""
    return max(LEAST_LONG, int(memory_mb * 1024 * 1024 / LONG_PART))


def shares(sockets: int) -> tuple[int, int]:
    """How many of the descriptors clients may hold, and backends; `sockets` is `LEAST_SOCKETS` at least."""
    clients = int((sockets - SPARE) * CLIENT_PART)
    return clients, sockets - SPARE - clients


def places(share: int) -> tuple[int, int]:
    """Of the clients' descriptors: the cap on connections, and those over it that get one answer each.

    Both are within the share, so that what is kept for discovery is never taken for a crowd.
    """
    over = min(OVER, share // OVER_PART)
    return share - over, over


class LongBodies:
    """Bytes beyond the usual, of all bodies that are read or wait for their answer.

    Guards memory against long bodies by hundreds, each within its own bound.
    """

    def __init__(self, budget: int = LEAST_LONG) -> None:
        self.budget, self.total = budget, 0

    def take(self, held: int, size: int) -> int | None:
        """What a body of `size` bytes needs in all, of which it has `held`; None: there is not so much."""
        need = max(held, size - USUAL_BODY)
        if need > held and self.total + need - held > self.budget:
            return None
        self.total += need - held
        return need

    def give(self, held: int) -> None:
        """A body is done with."""
        self.total -= held


@dataclass(slots=True)
class _Held:
    size: int
    progress_ms: float  # when some of it was last taken
    until_ms: float  # until then its connection stays, if the budget allows it


class UnreadAnswers(Generic[Key]):
    """Answers that were written and that the kernel has not taken, by connection.

    Bound: a row for each connection with such bytes. Their bytes are the budget's, and between two calls of
    `excess` what the answers of that time add.
    """

    def __init__(self, budget: int) -> None:
        """`budget` in bytes, over all connections."""
        self.budget, self.total = budget, 0
        self._rows: dict[Key, _Held] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: object) -> bool:
        return key in self._rows

    @property
    def full(self) -> bool:
        """Whether the budget is gone: nothing more may be taken that will need an answer."""
        return self.total > self.budget

    def note(self, key: Key, size: int, now_ms: float, until_ms: float = 0.0) -> None:
        """So many bytes are held on it now; none: it is forgotten. Fewer than before are progress.

        `until_ms` is the latest deadline of the requests that were answered on it.
        """
        row = self._rows.get(key)
        if row is None:
            if size > 0:
                self._rows[key] = _Held(size, now_ms, until_ms)
                self.total += size
            return
        if size <= 0:
            self.forget(key)
            return
        if size < row.size:
            row.progress_ms = now_ms
        self.total += size - row.size
        row.size, row.until_ms = size, max(row.until_ms, until_ms)

    def forget(self, key: Key) -> None:
        """It has drained or ended."""
        if (row := self._rows.pop(key, None)) is not None:
            self.total -= row.size

    def __iter__(self) -> Iterator[Key]:
        """All on which bytes are held."""
        return iter(self._rows)

    def stalled(self, now_ms: float) -> list[Key]:
        """Those that have taken nothing for long, and whose last request's deadline is over."""
        return [
            key
            for key, row in self._rows.items()
            if now_ms - row.progress_ms > STALL_MS and now_ms > row.until_ms
        ]

    def excess(self, now_ms: float) -> list[Key]:
        """Those to end so that the rest fits the budget: the largest first of those that make no progress.

        One that reads is not among them until twice the budget is held; what is held by then is bounded so.
        """
        out: list[Key] = []
        left = self.total
        if left <= self.budget:
            return out
        largest = sorted(self._rows.items(), key=lambda item: -item[1].size)
        for reading, bound in ((False, self.budget), (True, 2 * self.budget)):
            for key, row in largest:
                if left <= bound:
                    break
                if (now_ms - row.progress_ms < GRACE_MS) is reading:
                    out.append(key)
                    left -= row.size
        return out
