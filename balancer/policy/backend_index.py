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
from balancer.policy.records import Backend, BackendSet, Level

MAX_READMITTED_PER_CALL = (
    64  # backends taken back in one go, and 16 times as many while none is ready: all may come at once
)

Shelf = dict[int, Level]  # by own count


class BackendIndex:
    """A node's order of the list and its window.

    `choosy` is the share turned away from which a backend is set apart.
    """

    def __init__(self, slow_start_duration_ms: float, high_rejection_rate: float) -> None:
        self.slow_start_duration_ms, self.high_rejection_rate = slow_start_duration_ms, high_rejection_rate
        self.order: list[tuple[bool, float, str, Backend]] = []  # near ones first, then by rank
        self.local_count = 0  # how many are near
        self.window_size = 0  # of the window
        # Ready ones: those that are vouched for, those of them that turn away, those of memory alone.
        self.shelves: tuple[Shelf, Shelf, Shelf] = ({}, {}, {})
        self.warming_up: list[Backend] = []
        self.review_heap: list[tuple[float, int, Backend]] = []  # a heap; some no longer hold
        # All of it by zone or by cell, for the classes whose repeats are dropped by such a group.
        self.deduplication_scopes: tuple[api.DeduplicationScope, ...] = ()
        self.groups: dict[tuple[api.DeduplicationScope, object], BackendSet] = {}
        self.scheduled_reviews = 0  # entries in it that hold; there are no more than twice as many and TURN
        self._last_review_number = 0
        self.decisions: list[
            tuple[Backend, api.BackendDecision]
        ] = []  # what has become of some, until somebody reads it

    # --- the order and its window

    def insert(self, b: Backend, now: float) -> int:
        """A backend comes up; its rank says where in the order. Returns its place."""
        key = (not b.is_local, b.rank, b.endpoint.id, b)
        at = bisect_left(self.order, key[:3])
        self.order.insert(at, key)
        self.local_count += b.is_local
        for kind in self.deduplication_scopes:
            self.groups.setdefault((kind, deduplication_group(b.endpoint, kind)), BackendSet()).add(b)
        if at < self.window_size:
            self._enter_window(b, now)
            self._leave_window(self.order[self.window_size][3], now)
        return at

    def remove(self, b: Backend, now: float) -> int:
        """A backend is up no longer; returns its place. Has to be called before its entry changes."""
        at = bisect_left(self.order, (not b.is_local, b.rank, b.endpoint.id))
        del self.order[at]
        self.local_count -= b.is_local
        for kind in self.deduplication_scopes:
            group = self.groups[kind, deduplication_group(b.endpoint, kind)]
            group.remove(b)
            if not group.items:
                del self.groups[kind, deduplication_group(b.endpoint, kind)]
        if at < self.window_size:
            self._leave_window(b, now)
            if self.window_size <= len(self.order):
                self._enter_window(self.order[self.window_size - 1][3], now)
            else:
                self.window_size -= 1
        return at

    def resize(self, size: int, now: float) -> None:
        """Widen or narrow the window, as far as there are backends."""
        size = min(size, len(self.order))
        for at in range(self.window_size, size):
            self._enter_window(self.order[at][3], now)
        for at in range(size, self.window_size):
            self._leave_window(self.order[at][3], now)
        self.window_size = size

    def _enter_window(self, b: Backend, now: float) -> None:
        b.is_in_window = True
        self.place(b, now)

    def _leave_window(self, b: Backend, now: float) -> None:
        b.is_in_window = False
        self.place(b, now)

    # --- where in the window

    def place(self, b: Backend, now: float) -> None:
        """Put a backend where it belongs."""
        back = b.ejected_until_ms if b.ejected_until_ms > b.paused_until_ms else b.paused_until_ms
        warm = (
            b.endpoint.started_at_ms + self.slow_start_duration_ms
            if b.endpoint.started_at_ms > 0 < self.slow_start_duration_ms
            else 0.0
        )
        if b.is_in_window and b.review_at_ms == (back if back > now else warm) and b.review_at_ms > now:
            return  # away or cold, as it was
        mark, was_cold, was_away = weight_grade(b), False, False
        side = int(b.rejection_rate > self.high_rejection_rate) if b.is_confirmed else 2
        if b.level is not None:
            if (
                b.is_in_window
                and b.in_flight == b.indexed_in_flight
                and b.queue_estimate == b.indexed_estimate
                and back <= now
                and warm <= now
                and side == b.shelf_number
                and mark == b.indexed_weight_grade
            ):
                return
            self._unshelve(b, b.level)
        elif b.warming_up_position >= 0:
            was_cold = True
            last = self.warming_up.pop()
            if last is not b:
                self.warming_up[b.warming_up_position] = last
                last.warming_up_position = b.warming_up_position
            b.warming_up_position = -1
        if b.review_at_ms < math.inf:
            was_away = not was_cold
            b.review_at_ms = math.inf
            self.scheduled_reviews -= 1
            self._compact_review_heap()
        if not b.is_in_window:
            return
        if back > now:
            self._schedule_review(b, back)
            return
        if warm > now:
            b.warming_up_position = len(self.warming_up)
            self.warming_up.append(b)
            self._schedule_review(b, warm)
            if not was_cold:
                self.decisions.append((b, api.BackendDecision.SLOW_START_BEGAN))
            return
        if was_cold:
            self.decisions.append((b, api.BackendDecision.SLOW_START_ENDED))
        elif was_away and b.ejected_until_ms >= b.paused_until_ms:
            self.decisions.append((b, api.BackendDecision.READMITTED))
        b.shelf_number, b.indexed_weight_grade = side, mark
        self._shelve(b)

    def update_counts(self, b: Backend) -> None:
        """Nothing but its counts has changed: those that are ready go to another shelf."""
        if b.level is not None:
            self._unshelve(b, b.level)
            self._shelve(b)

    def _shelve(self, b: Backend) -> None:
        shelf = self.shelves[b.shelf_number]
        if (level := shelf.get(b.in_flight)) is None:
            level = shelf[b.in_flight] = Level()
        b.level, b.indexed_in_flight, b.indexed_estimate = level, b.in_flight, b.queue_estimate
        level.add(b)

    def _unshelve(self, b: Backend, level: Level) -> None:
        level.remove(b)
        if not level.size:
            del self.shelves[b.shelf_number][b.indexed_in_flight]
        b.level = None

    def _schedule_review(self, b: Backend, until: float) -> None:
        b.review_at_ms = until
        self.scheduled_reviews += 1
        self._last_review_number += 1
        heappush(self.review_heap, (until, self._last_review_number, b))

    def _compact_review_heap(self) -> None:
        """Guards against a heap that grows with each wait that was cut short, or stays as large as it was."""
        if len(self.review_heap) > 2 * self.scheduled_reviews + MAX_READMITTED_PER_CALL:
            self.review_heap = [item for item in self.review_heap if item[2].review_at_ms == item[0]]
            heapify(self.review_heap)

    def readmit_due(self, now: float) -> None:
        """Take back those whose time has come, a bounded number of them: few as long as others are ready."""
        turn = 0
        while (away := self.review_heap) and away[0][0] <= now:
            if turn >= MAX_READMITTED_PER_CALL and (
                turn >= 16 * MAX_READMITTED_PER_CALL or any(self.shelves)
            ):
                return
            due, _, b = heappop(away)
            if b.review_at_ms == due:
                self.place(b, now)
            turn += 1


def deduplication_group(entry: api.Endpoint, kind: api.DeduplicationScope) -> object:
    """Which group of a kind a backend belongs to."""
    return entry.zone if kind is api.DeduplicationScope.ZONE else entry.cell


def slow_start_fraction(
    entry: api.Endpoint, now: float, initial_fraction: float, duration_ms: float
) -> float:
    """The part of its capacity that a backend surely has by now."""
    age = now - entry.started_at_ms
    if entry.started_at_ms <= 0 or duration_ms <= 0 or age >= duration_ms:
        return 1.0
    return initial_fraction + (1.0 - initial_fraction) * max(0.0, age) / duration_ms


def draw_weight(b: Backend) -> float:
    """The weight of a draw at the cap, but for the backend's own count."""
    share = bounded_weight(b.endpoint.weight) / b.slowness
    return share * share


def bounded_weight(listed: float) -> float:
    """A listed weight as it is reckoned with; it may be 0, or any number that the list could hold.

    Guards against a draw from nothing where all have that, and against one that overflows.
    """
    return 1e-6 if listed < 1e-6 else listed if listed < 1e12 else 1e12


def weight_grade(b: Backend) -> int:
    """Its weight's power of two: weight < 2 ** grade, and at least half of that."""
    return math.frexp(draw_weight(b))[1]
