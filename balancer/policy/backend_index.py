"""The backends in order, so that a choice among thousands need not look at them all.

`Index` keeps a node's own order of the list; its first `size` are the window that requests are sent to. In
the window a backend is *ready* (on a shelf by its own count, then by estimate and by weight), *cold* (in a
list), or *away* (ejected or busy, in a heap by the time of its return). `Index.place` puts a backend where it
belongs and has to be called whenever something that says so has changed; a call costs about the same whatever
the fleet's size. Nothing here decides anything: what is eligible is asked by `policy`.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from heapq import heapify, heappop, heappush

from balancer import interface as api
from balancer.policy.records import Backend, Bag, Level

TURN = 64  # backends taken back in one go, and 16 times as many while none is ready: all may come at once

Shelf = dict[int, Level]  # by own count


class Index:
    """A node's order of the list and its window.

    `choosy` is the share turned away from which a backend is set apart.
    """

    def __init__(self, ramp_time: float, choosy: float) -> None:
        self.ramp_time, self.choosy = ramp_time, choosy
        self.order: list[tuple[bool, float, str, Backend]] = []  # near ones first, then by rank
        self.home = 0  # how many are near
        self.size = 0  # of the window
        # Ready ones: those that are vouched for, those of them that turn away, those of memory alone.
        self.shelves: tuple[Shelf, Shelf, Shelf] = ({}, {}, {})
        self.cold: list[Backend] = []
        self.away: list[tuple[float, int, Backend]] = []  # a heap; some no longer hold
        # All of it by zone or by cell, for the classes whose repeats are dropped by such a group.
        self.kinds: tuple[api.DeduplicationScope, ...] = ()
        self.groups: dict[tuple[api.DeduplicationScope, object], Bag] = {}
        self.waiting = 0  # entries in it that hold; there are no more than twice as many and TURN
        self._entries = 0
        self.news: list[
            tuple[Backend, api.BackendDecision]
        ] = []  # what has become of some, until somebody reads it

    # --- the order and its window

    def insert(self, b: Backend, now: float) -> int:
        """A backend comes up; its rank says where in the order. Returns its place."""
        key = (not b.near, b.rank, b.entry.id, b)
        at = bisect_left(self.order, key[:3])
        self.order.insert(at, key)
        self.home += b.near
        for kind in self.kinds:
            self.groups.setdefault((kind, part(b.entry, kind)), Bag()).add(b)
        if at < self.size:
            self._enter(b, now)
            self._leave(self.order[self.size][3], now)
        return at

    def remove(self, b: Backend, now: float) -> int:
        """A backend is up no longer; returns its place. Has to be called before its entry changes."""
        at = bisect_left(self.order, (not b.near, b.rank, b.entry.id))
        del self.order[at]
        self.home -= b.near
        for kind in self.kinds:
            group = self.groups[kind, part(b.entry, kind)]
            group.remove(b)
            if not group.items:
                del self.groups[kind, part(b.entry, kind)]
        if at < self.size:
            self._leave(b, now)
            if self.size <= len(self.order):
                self._enter(self.order[self.size - 1][3], now)
            else:
                self.size -= 1
        return at

    def resize(self, size: int, now: float) -> None:
        """Widen or narrow the window, as far as there are backends."""
        size = min(size, len(self.order))
        for at in range(self.size, size):
            self._enter(self.order[at][3], now)
        for at in range(size, self.size):
            self._leave(self.order[at][3], now)
        self.size = size

    def _enter(self, b: Backend, now: float) -> None:
        b.inside = True
        self.place(b, now)

    def _leave(self, b: Backend, now: float) -> None:
        b.inside = False
        self.place(b, now)

    # --- where in the window

    def place(self, b: Backend, now: float) -> None:
        """Put a backend where it belongs."""
        back = b.until if b.until > b.busy else b.busy
        warm = b.entry.started_at_ms + self.ramp_time if b.entry.started_at_ms > 0 < self.ramp_time else 0.0
        if b.inside and b.due == (back if back > now else warm) and b.due > now:
            return  # away or cold, as it was
        mark, was_cold, was_away = grade(b), False, False
        side = int(b.full > self.choosy) if b.vouched else 2
        if b.level is not None:
            if (
                b.inside
                and b.out == b.shelved
                and b.estimate == b.row
                and back <= now
                and warm <= now
                and side == b.apart
                and mark == b.grade
            ):
                return
            self._unshelve(b, b.level)
        elif b.in_cold >= 0:
            was_cold = True
            last = self.cold.pop()
            if last is not b:
                self.cold[b.in_cold] = last
                last.in_cold = b.in_cold
            b.in_cold = -1
        if b.due < math.inf:
            was_away = not was_cold
            b.due = math.inf
            self.waiting -= 1
            self._trim()
        if not b.inside:
            return
        if back > now:
            self._wait(b, back)
            return
        if warm > now:
            b.in_cold = len(self.cold)
            self.cold.append(b)
            self._wait(b, warm)
            if not was_cold:
                self.news.append((b, api.BackendDecision.SLOW_START_BEGAN))
            return
        if was_cold:
            self.news.append((b, api.BackendDecision.SLOW_START_ENDED))
        elif was_away and b.until >= b.busy:
            self.news.append((b, api.BackendDecision.READMITTED))
        b.apart, b.grade = side, mark
        self._shelve(b)

    def count(self, b: Backend) -> None:
        """Nothing but its counts has changed: those that are ready go to another shelf."""
        if b.level is not None:
            self._unshelve(b, b.level)
            self._shelve(b)

    def _shelve(self, b: Backend) -> None:
        shelf = self.shelves[b.apart]
        if (level := shelf.get(b.out)) is None:
            level = shelf[b.out] = Level()
        b.level, b.shelved, b.row = level, b.out, b.estimate
        level.put(b)

    def _unshelve(self, b: Backend, level: Level) -> None:
        level.drop(b)
        if not level.size:
            del self.shelves[b.apart][b.shelved]
        b.level = None

    def _wait(self, b: Backend, until: float) -> None:
        b.due = until
        self.waiting += 1
        self._entries += 1
        heappush(self.away, (until, self._entries, b))

    def _trim(self) -> None:
        """Guards against a heap that grows with each wait that was cut short, or stays as large as it was."""
        if len(self.away) > 2 * self.waiting + TURN:
            self.away = [item for item in self.away if item[2].due == item[0]]
            heapify(self.away)

    def settle(self, now: float) -> None:
        """Take back those whose time has come, a bounded number of them: few as long as others are ready."""
        turn = 0
        while (away := self.away) and away[0][0] <= now:
            if turn >= TURN and (turn >= 16 * TURN or any(self.shelves)):
                return
            due, _, b = heappop(away)
            if b.due == due:
                self.place(b, now)
            turn += 1


def part(entry: api.Endpoint, kind: api.DeduplicationScope) -> object:
    """Which group of a kind a backend belongs to."""
    return entry.zone if kind is api.DeduplicationScope.ZONE else entry.cell


def warmth(entry: api.Endpoint, now: float, cold_share: float, ramp_time: float) -> float:
    """The part of its capacity that a backend surely has by now."""
    age = now - entry.started_at_ms
    if entry.started_at_ms <= 0 or ramp_time <= 0 or age >= ramp_time:
        return 1.0
    return cold_share + (1.0 - cold_share) * max(0.0, age) / ramp_time


def weight(b: Backend) -> float:
    """The weight of a draw at the cap, but for the backend's own count."""
    share = bounded(b.entry.weight) / b.slow
    return share * share


def bounded(listed: float) -> float:
    """A listed weight as it is reckoned with; it may be 0, or any number that the list could hold.

    Guards against a draw from nothing where all have that, and against one that overflows.
    """
    return 1e-6 if listed < 1e-6 else listed if listed < 1e12 else 1e12


def grade(b: Backend) -> int:
    """Its weight's power of two: weight < 2 ** grade, and at least half of that."""
    return math.frexp(weight(b))[1]
