"""What to ask of the platform's discovery next: its whole list, a watch from a revision, nothing for a while.

Where the settings say that nodes ask by themselves, the decision module says when to ask again after a
failure.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from dillport.decide.backoff import Backoff

FIRST_MS, MOST_MS = 100.0, 2000.0  # waits before a new try, doubled with each failure, jittered


@dataclass(slots=True, frozen=True)
class Wanted:
    """The list is wanted from now on, or no longer."""

    on: bool


@dataclass(slots=True, frozen=True)
class Relocated:
    """Discovery is at another address."""


@dataclass(slots=True, frozen=True)
class Answered:
    """Discovery said something that could be read."""


@dataclass(slots=True, frozen=True)
class Ended:
    """A call is over; `whole` says that it brought the whole list, `extra` that nothing goes on from it."""

    whole: bool
    extra: bool = False


@dataclass(slots=True, frozen=True)
class Due:
    """The time that `Wait` named has come."""


Event = Wanted | Relocated | Answered | Ended | Due


@dataclass(slots=True, frozen=True)
class AskWhole:
    """Ask for the whole list; a watch goes on from it."""


@dataclass(slots=True, frozen=True)
class WatchFrom:
    """Watch what comes after this revision."""

    revision: int


@dataclass(slots=True, frozen=True)
class Drop:
    """End all calls, and any wait."""


@dataclass(slots=True, frozen=True)
class Wait:
    """Hand in `Due` at this clock time."""

    until_ms: float


@dataclass(slots=True, frozen=True)
class TellFailed:
    """Tell the decision module that a call failed: it says when to ask again."""


Action = AskWhole | WatchFrom | Drop | Wait | TellFailed


class PlatformFollow:
    """At most one call that follows the list is out, or one wait."""

    def __init__(self, rng: random.Random, must_ask: bool) -> None:
        self.must_ask = must_ask
        self.wanted = self.following = self.waiting = False
        self.backoff = Backoff(FIRST_MS, MOST_MS, rng)

    def handle(self, now_ms: float, event: Event, revision: int | None) -> list[Action]:
        """Decide; `revision` is that of the list held, None where only the whole list will do."""
        match event:
            case Wanted(on=False):
                self.wanted = self.following = self.waiting = False
                return [Drop()]
            case Wanted():
                self.wanted = True
                return [] if self.following or self.waiting else self._next(revision)
            case Relocated():
                self.following = self.waiting = False
                self.backoff.reset()
                return [Drop(), *(self._next(None) if self.wanted else [])]
            case Answered():
                self.backoff.reset()
                return []
            case Ended():
                return self._ended(now_ms, event, revision)
            case Due():
                due, self.waiting = self.waiting and self.wanted, False
                return self._next(revision) if due else []

    def _next(self, revision: int | None) -> list[Action]:
        self.following = True
        return [AskWhole() if revision is None else WatchFrom(revision)]

    def _ended(self, now_ms: float, event: Ended, revision: int | None) -> list[Action]:
        if not event.extra:
            self.following = False
        if not self.wanted:
            return []
        if event.whole and revision is not None and not event.extra:
            return self._next(revision)
        if self.must_ask:
            # A whole list that was not applied leaves nothing to watch from: it has to be asked for again.
            return [] if event.whole and event.extra else [TellFailed()]
        if event.extra:
            return []
        self.waiting = True
        return [Wait(now_ms + self.backoff.wait_ms())]
