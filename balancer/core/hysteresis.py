"""What is so for a while begins, what is not so for a while ends: no flapping, whatever the evidence does."""

from __future__ import annotations

from collections.abc import Collection, Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class Hysteresis(Generic[K]):
    """`on`: what has begun and not ended, and since when. What comes and goes faster than `end_ms` is one."""

    def __init__(self, begin_delay_ms: float, end_delay_ms: float) -> None:
        self.begin_delay_ms, self.end_delay_ms = begin_delay_ms, end_delay_ms
        self.active_since_ms: dict[K, float] = {}
        self._pending_since_ms: dict[K, float] = {}  # differs from `on` since

    def update(self, now_ms: float, present: Collection[K]) -> tuple[list[K], list[K]]:
        """What began and what ended by this; to be asked again and again while things stand."""
        began, ended = [], []
        for key in {**dict.fromkeys(present), **self.active_since_ms, **self._pending_since_ms}:
            if (key in present) == (key in self.active_since_ms):
                self._pending_since_ms.pop(key, None)
                continue
            pending_since_ms = self._pending_since_ms.setdefault(key, now_ms)
            if key in self.active_since_ms and now_ms - pending_since_ms >= self.end_delay_ms:
                ended.append(key)
                del self.active_since_ms[key], self._pending_since_ms[key]
            elif key not in self.active_since_ms and now_ms - pending_since_ms >= self.begin_delay_ms:
                began.append(key)
                self.active_since_ms[key] = self._pending_since_ms.pop(key)
        return began, ended
