"""Pending broadcasts: which names have news to be gossiped, and how often each was sent."""

from __future__ import annotations

from collections.abc import Callable


class PendingBroadcasts:
    """Names by how often they were sent: least sent first, newest first within; each name is in it once."""

    def __init__(self) -> None:
        self.transmit_counts: dict[str, int] = {}
        self.names_by_count: list[dict[str, None]] = [{}]

    def add(self, name: str) -> None:
        """Broadcast what is held of a name, anew if it is pending already."""
        self.discard(name)
        self.transmit_counts[name] = 0
        self.names_by_count[0][name] = None

    def discard(self, name: str) -> None:
        """Stop broadcasting a name; it need not be pending."""
        if (count := self.transmit_counts.pop(name, None)) is not None:
            del self.names_by_count[count][name]

    def clear(self) -> None:
        """Stop broadcasting all names."""
        self.transmit_counts.clear()
        self.names_by_count = [{}]

    def take(self, try_add: Callable[[str], bool], transmit_limit: int, max_names: int) -> None:
        """Hand names to `try_add` until it returns False or `max_names` were taken.

        Each one taken counts as sent once more, and is dropped when it was sent `transmit_limit` times.
        """
        for name in self._taken(try_add, max_names):
            count = self.transmit_counts[name] + 1
            self.discard(name)
            if count < transmit_limit:
                while len(self.names_by_count) <= count:
                    self.names_by_count.append({})
                self.transmit_counts[name] = count
                self.names_by_count[count][name] = None

    def _taken(self, try_add: Callable[[str], bool], max_names: int) -> list[str]:
        taken: list[str] = []
        for names in self.names_by_count:
            for name in reversed(names):
                if len(taken) >= max_names or not try_add(name):
                    return taken
                taken.append(name)
        return taken
