"""Begins a condition after it was present for a while, and ends it after it was absent for a while."""

from __future__ import annotations

from collections.abc import Collection, Hashable
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key", bound=Hashable)


class ConditionChanges(NamedTuple, Generic[Key]):
    """The conditions that began and that ended in one update."""

    began: list[Key]
    ended: list[Key]


class Hysteresis(Generic[Key]):
    """Tracks conditions without flapping: an absence shorter than `end_delay_ms` does not end a condition.

    `active_since_ms` holds the conditions that have begun and not ended, with the time when each was first
    present.
    """

    def __init__(self, begin_delay_ms: float, end_delay_ms: float) -> None:
        self.begin_delay_ms, self.end_delay_ms = begin_delay_ms, end_delay_ms
        self.active_since_ms: dict[Key, float] = {}
        self._pending_since_ms: dict[Key, float] = {}  # present but not active, or active but absent

    def update(self, now_ms: float, present: Collection[Key]) -> ConditionChanges[Key]:
        """Process the conditions that are present now; must be called regularly, even without a change."""
        changes = ConditionChanges[Key]([], [])
        for key in {**dict.fromkeys(present), **self.active_since_ms, **self._pending_since_ms}:
            is_active = key in self.active_since_ms
            if (key in present) == is_active:
                self._pending_since_ms.pop(key, None)
                continue
            pending_since_ms = self._pending_since_ms.setdefault(key, now_ms)
            if is_active and now_ms - pending_since_ms >= self.end_delay_ms:
                changes.ended.append(key)
                del self.active_since_ms[key], self._pending_since_ms[key]
            elif not is_active and now_ms - pending_since_ms >= self.begin_delay_ms:
                changes.began.append(key)
                self.active_since_ms[key] = self._pending_since_ms.pop(key)
        return changes
