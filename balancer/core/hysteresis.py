"""Begins a condition once it has held for a while, ends it once it has been absent for a while."""

from __future__ import annotations

from collections.abc import Collection, Hashable
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key", bound=Hashable)


class ConditionChanges(NamedTuple, Generic[Key]):
    """The conditions that began and that ended in one update."""

    began: list[Key]
    ended: list[Key]


class Hysteresis(Generic[Key]):
    """Conditions that do not flap: one that comes and goes faster than `end_delay_ms` stays one.

    `active_since_ms` holds those that have begun and not ended, by the time at which they were first present.
    """

    def __init__(self, begin_delay_ms: float, end_delay_ms: float) -> None:
        self.begin_delay_ms, self.end_delay_ms = begin_delay_ms, end_delay_ms
        self.active_since_ms: dict[Key, float] = {}
        self._pending_since_ms: dict[Key, float] = {}  # present and not active, or active and absent

    def update(self, now_ms: float, present: Collection[Key]) -> ConditionChanges[Key]:
        """Take what is present now; to be called regularly, also when nothing has changed."""
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
