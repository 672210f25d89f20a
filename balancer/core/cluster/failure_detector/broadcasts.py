"""Queues the names whose records are to be gossiped, with the number of transmissions of each."""

from __future__ import annotations

from collections.abc import Callable


class PendingBroadcasts:
    """A queue of distinct names, ordered by transmission count and, within a count, newest first."""

    def __init__(self) -> None:
        self.transmit_counts: dict[str, int] = {}
        self.names_by_transmit_count: list[dict[str, None]] = [{}]

    def add(self, name: str) -> None:
        """Queues a name; if it is already pending, its transmission count restarts at 0."""
        self.discard(name)
        self.transmit_counts[name] = 0
        self.names_by_transmit_count[0][name] = None

    def discard(self, name: str) -> None:
        """Removes a name from the queue if it is pending."""
        if (count := self.transmit_counts.pop(name, None)) is not None:
            del self.names_by_transmit_count[count][name]

    def clear(self) -> None:
        """Removes all names."""
        self.transmit_counts.clear()
        self.names_by_transmit_count = [{}]

    def take(self, try_add: Callable[[str], bool], transmit_limit: int, max_names: int) -> None:
        """Passes names to `try_add` until it returns False or has taken `max_names` of them.

        Increments the transmission count of each name taken and drops the name at `transmit_limit`.
        """
        for name in self._take_names(try_add, max_names):
            count = self.transmit_counts[name] + 1
            self.discard(name)
            if count < transmit_limit:
                while len(self.names_by_transmit_count) <= count:
                    self.names_by_transmit_count.append({})
                self.transmit_counts[name] = count
                self.names_by_transmit_count[count][name] = None

    def _take_names(self, try_add: Callable[[str], bool], max_names: int) -> list[str]:
        taken: list[str] = []
        for names in self.names_by_transmit_count:
            for name in reversed(names):
                if len(taken) >= max_names or not try_add(name):
                    return taken
                taken.append(name)
        return taken
