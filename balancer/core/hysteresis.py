"""What is so for a while begins, what is not so for a while ends: no flapping, whatever the evidence does."""

from __future__ import annotations

from collections.abc import Collection, Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class Steady(Generic[K]):
    """`on`: what has begun and not ended, and since when. What comes and goes faster than `end_ms` is one."""

    def __init__(self, begin_ms: float, end_ms: float) -> None:
        self.begin_ms, self.end_ms = begin_ms, end_ms
        self.on: dict[K, float] = {}
        self._turns: dict[K, float] = {}  # differs from `on` since

    def update(self, now_ms: float, present: Collection[K]) -> tuple[list[K], list[K]]:
        """What began and what ended by this; to be asked again and again while things stand."""
        began, ended = [], []
        for key in {**dict.fromkeys(present), **self.on, **self._turns}:
            if (key in present) == (key in self.on):
                self._turns.pop(key, None)
                continue
            since = self._turns.setdefault(key, now_ms)
            if key in self.on and now_ms - since >= self.end_ms:
                ended.append(key)
                del self.on[key], self._turns[key]
            elif key not in self.on and now_ms - since >= self.begin_ms:
                began.append(key)
                self.on[key] = self._turns.pop(key)
        return began, ended
