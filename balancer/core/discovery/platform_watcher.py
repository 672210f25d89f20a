"""What to ask of the platform's discovery next: its whole list, a watch from a revision, nothing for a while.

Where the settings say that nodes ask by themselves, the decision module says when to ask again after a
failure, and patience is long: discovery is one service for all, and calls wait their turn.

Where lists are pushed, discovery is an agent on the node's own machine that answers at once, and what it has
counts as told at once. A call that says nothing was opened while discovery was down: it and the wait after it
have to be over well within the time in which a drain has to be obeyed, counted from discovery's return.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from balancer.core.backoff import Backoff

FIRST_MS, MOST_MS = 100.0, 2000.0  # waits before a new try, doubled with each failure, jittered
# Of the time to obey a drain, where lists are pushed: a call's patience, from its beginning to its answer's,
# and the longest wait. That one is drawn up to 1.5 of it, so at most 0.45 + 1.5 * 0.4 / 3 = 0.65 of that time
# pass from discovery's return to the next call.
PATIENCE_PART, WAIT_PART = 0.45, 0.4 / 3
LEAST_PATIENCE_MS, LEAST_WAIT_MS = 100.0, 40.0  # however short that time is: tries cost processor time
MOST_PATIENCE_MS = 2000.0  # of a node that is starved, or whose discovery stutters
MORE = 1.5  # as much patience, where it has to grow: still within the time to obey a drain, up to
MANY = 256  # failures in a row; then it goes on growing: no list at all is worse than a late one
MOST_CONNECT_MS = 2000.0  # for a connection to come up
BEAT_MS = 2000.0  # an empty line comes so often on a watch where nothing changes


@dataclass(slots=True, frozen=True)
class Pace:
    """How long calls are waited for, in milliseconds."""

    patience_ms: float  # for an answer to begin, and for the next piece of what has begun
    answer_ms: float  # for an answer to begin, from when the call is connected, if that is later
    silence_ms: float  # between two whole lines of a watch
    under_way_ms: float  # for a line or a whole list, from its first piece to its last
    wait_ms: float  # the longest between two tries, before it is drawn


def pace(must_ask: bool, drain_grace_ms: float) -> Pace:
    """What the settings allow.

    A watch that fell silent is given up 3.5 s after its last line. What it missed counts as told 6 s after
    it fell silent: that leaves 2.5 s, and the time to obey a drain, for more calls.
    """
    silence = 1.75 * BEAT_MS
    if must_ask:
        return Pace(5000.0, 5000.0, silence, 5000.0, MOST_MS)
    patience = max(LEAST_PATIENCE_MS, min(PATIENCE_PART * drain_grace_ms, MOST_PATIENCE_MS))
    wait = max(LEAST_WAIT_MS, min(WAIT_PART * drain_grace_ms, MOST_MS))
    return Pace(patience, 0.0, silence, BEAT_MS, wait)


class Life:
    """Until when one call may go on: it lives by whole lines, not by bytes.

    Guards against a watch that falls silent in the middle of a line, and one that dribbles and never ends it.
    """

    def __init__(self, now_ms: float, pace: Pace, patience_ms: float) -> None:
        self.pace, self.patience_ms = pace, patience_ms
        self.until_ms = now_ms + min(patience_ms, MOST_CONNECT_MS)
        self.line_ms = now_ms  # when the last whole line came, or the answer began
        self.bare = False  # a head has come, and nothing since: another call may be due beside this one
        self.since_ms: float | None = None  # when what is under way began

    def connected(self, now_ms: float) -> None:
        """The call is made."""
        self.until_ms = max(self.until_ms, now_ms + self.pace.answer_ms)

    def came(self, now_ms: float, whole: bool, under_way: bool, bare: bool = False) -> None:
        """A piece of an answer came: with its head or a line in it (`whole`), with the rest `under_way`."""
        if whole:
            self.line_ms, self.since_ms = now_ms, None
        self.bare = bare and not under_way and self.patience_ms < self.pace.silence_ms
        if under_way:
            self.since_ms = now_ms if self.since_ms is None else self.since_ms
            self.until_ms = min(now_ms + self.patience_ms, self.since_ms + self.pace.under_way_ms)
        else:
            self.since_ms = None
            self.until_ms = self.line_ms + (self.patience_ms if self.bare else self.pace.silence_ms)

    def slow(self, now_ms: float) -> bool:
        """Whether more patience may help a call that is over its time: it had begun, or this is late."""
        return self.since_ms is not None or now_ms - self.until_ms > self.patience_ms / 2


@dataclass(slots=True, frozen=True)
class Wanted:
    """The list is wanted from now on, or no longer."""

    on: bool


@dataclass(slots=True, frozen=True)
class Relocated:
    """Discovery is at another address."""


@dataclass(slots=True, frozen=True)
class Answered:
    """Discovery said something that could be read, or that nothing has changed."""


@dataclass(slots=True, frozen=True)
class Ended:
    """A call is over; `whole` says that it brought the whole list, `extra` that nothing goes on from it.

    `slow` says that it was given up, and that more patience might have helped.
    """

    whole: bool
    extra: bool = False
    slow: bool = False


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

    def __init__(self, rng: random.Random, must_ask: bool, drain_grace_ms: float) -> None:
        self.must_ask = must_ask
        self.wanted = self.following = self.waiting = False
        self.pace = pace(must_ask, drain_grace_ms)
        self.patience_ms = self.pace.patience_ms
        self.failed = 0  # calls in a row
        self.slow = False  # more patience might have helped the last one
        self.backoff = Backoff(min(FIRST_MS, self.pace.wait_ms), self.pace.wait_ms, rng)

    def life(self, now_ms: float) -> Life:
        """Of a call that begins."""
        return Life(now_ms, self.pace, self.patience_ms)

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
                self._works()
                return [Drop(), *(self._next(None) if self.wanted else [])]
            case Answered():
                self._works()
                return []
            case Ended():
                return self._ended(now_ms, event, revision)
            case Due():
                due, self.waiting = self.waiting and self.wanted, False
                return self._next(revision) if due else []

    def _works(self) -> None:
        self.patience_ms, self.failed, self.slow = self.pace.patience_ms, 0, False
        self.backoff.reset()

    def _patience(self, slow: bool) -> None:
        """Guards a node that is starved against giving up each call too soon; a mute one gets no more."""
        self.failed += 1
        least = self.pace.patience_ms
        if (slow and self.slow) or self.failed % MANY == 0:
            most = MOST_PATIENCE_MS if self.failed >= MANY else MORE * least  # an outage may stall them, too
            self.patience_ms = max(least, min(MORE * self.patience_ms, most, MOST_PATIENCE_MS))
        elif not slow and self.failed < MANY:
            self.patience_ms = max(least, self.patience_ms / MORE)
        self.slow = slow

    def _next(self, revision: int | None) -> list[Action]:
        self.following = True
        return [AskWhole() if revision is None else WatchFrom(revision)]

    def _ended(self, now_ms: float, event: Ended, revision: int | None) -> list[Action]:
        if not event.extra:
            self.following = False
        if not event.whole:
            self._patience(event.slow)
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
