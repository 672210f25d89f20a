"""The backends in order, so that a choice among thousands need not look at them all.

`BackendIndex` keeps this node's own order of the list; the first `window_size` are the window that requests
are sent to. In the window a backend is

- *ready*: on a shelf, in a level by own attempts in flight, there by queue estimate and by weight grade;
- *warming up*: in a list;
- *away*: ejected or paused. Both of the last two are in a heap by the time of their review.

`BackendIndex.place` puts a backend where it belongs and has to be called whenever something that this
follows from has changed; a call costs about the same whatever the fleet's size. Nothing here decides
anything: what is eligible is for `selection` to say.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from heapq import heapify, heappop, heappush

from balancer import interface as api
from balancer.policy.records import Backend, BackendSet, Level

MAX_READMITTED_PER_CALL = 64
"""Backends taken back in one call, which bounds its time: thousands may be due at once."""
MAX_READMITTED_WHEN_EMPTY = 16 * MAX_READMITTED_PER_CALL
"""The same while none is ready."""
MIN_WEIGHT, MAX_WEIGHT = 1e-6, 1e12
"""Listed weights are clamped to this range, whose squares neither vanish nor overflow."""

Shelf = dict[int, Level]  # levels by own attempts in flight
Position = tuple[bool, float, str, Backend]  # not local, rank, name; the order is by these


class BackendIndex:
    """A node's order of the list and its window.

    Backends with a rejection rate above `high_rejection_rate` stand on a shelf of their own.
    """

    def __init__(self, slow_start_duration_ms: float, high_rejection_rate: float) -> None:
        self.slow_start_duration_ms = slow_start_duration_ms
        self.high_rejection_rate = high_rejection_rate
        self.order: list[Position] = []  # local ones first, then by rank
        self.local_count = 0
        self.window_size = 0
        # Ready ones: confirmed, confirmed but rejecting often, known from the cache alone.
        self.shelves: tuple[Shelf, Shelf, Shelf] = ({}, {}, {})
        self.warming_up: list[Backend] = []
        self.review_heap: list[tuple[float, int, Backend]] = []  # time, number; some are void
        # The whole list by zone or by cell, for classes whose retries are bound to such a group.
        self.deduplication_scopes: tuple[api.DeduplicationScope, ...] = ()
        self.groups: dict[tuple[api.DeduplicationScope, object], BackendSet] = {}
        self.scheduled_reviews = 0  # entries of the heap that aren't void
        self._last_review_number = 0
        # What has become of some backends, until `Balancer.handle` takes it.
        self.decisions: list[tuple[Backend, api.BackendDecision]] = []

    # --- the order and its window

    def insert(self, backend: Backend, now: float) -> int:
        """Add a backend that has come up, by its rank; returns its place in the order."""
        key = (not backend.is_local, backend.rank, backend.endpoint.id, backend)
        at = bisect_left(self.order, key[:3])
        self.order.insert(at, key)
        self.local_count += backend.is_local
        for scope in self.deduplication_scopes:
            group = scope, deduplication_group(backend.endpoint, scope)
            self.groups.setdefault(group, BackendSet()).add(backend)
        if at < self.window_size:
            self._enter_window(backend, now)
            self._leave_window(self.order[self.window_size][3], now)
        return at

    def remove(self, backend: Backend, now: float) -> int:
        """Remove a backend, before its endpoint changes; returns its place in the order."""
        at = bisect_left(self.order, (not backend.is_local, backend.rank, backend.endpoint.id))
        del self.order[at]
        self.local_count -= backend.is_local
        for scope in self.deduplication_scopes:
            group = scope, deduplication_group(backend.endpoint, scope)
            members = self.groups[group]
            members.remove(backend)
            if not members.items:
                del self.groups[group]
        if at < self.window_size:
            self._leave_window(backend, now)
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

    def _enter_window(self, backend: Backend, now: float) -> None:
        backend.is_in_window = True
        self.place(backend, now)

    def _leave_window(self, backend: Backend, now: float) -> None:
        backend.is_in_window = False
        self.place(backend, now)

    # --- where in the window

    def place(self, backend: Backend, now: float) -> None:
        """Put a backend where it belongs at this time."""
        ejected_ms, paused_ms = backend.ejected_until_ms, backend.paused_until_ms
        back_ms = ejected_ms if ejected_ms > paused_ms else paused_ms
        started_ms, duration_ms = backend.endpoint.started_at_ms, self.slow_start_duration_ms
        warm_ms = started_ms + duration_ms if started_ms > 0 < duration_ms else 0.0
        review_ms = backend.review_at_ms
        if backend.is_in_window and review_ms > now and review_ms == (back_ms if back_ms > now else warm_ms):
            return  # away or warming up, as it was
        grade = weight_grade(backend)
        shelf = int(backend.rejection_rate > self.high_rejection_rate) if backend.is_confirmed else 2
        if backend.level is not None:
            if (
                backend.is_in_window
                and backend.in_flight == backend.indexed_in_flight
                and backend.queue_estimate == backend.indexed_estimate
                and back_ms <= now
                and warm_ms <= now
                and shelf == backend.shelf_number
                and grade == backend.indexed_weight_grade
            ):
                return
            self._unshelve(backend, backend.level)
        if was_warming_up := backend.warming_up_position >= 0:
            self._stop_warming_up(backend)
        if was_waiting := review_ms < math.inf:
            self._cancel_review(backend)
        if not backend.is_in_window:
            return
        if back_ms > now:
            self._schedule_review(backend, back_ms)
        elif warm_ms > now:
            self._start_warming_up(backend, warm_ms)
            if not was_warming_up:
                self.decisions.append((backend, api.BackendDecision.SLOW_START_BEGAN))
        else:
            if was_warming_up:
                self.decisions.append((backend, api.BackendDecision.SLOW_START_ENDED))
            elif was_waiting and ejected_ms >= paused_ms:
                self.decisions.append((backend, api.BackendDecision.READMITTED))
            backend.shelf_number, backend.indexed_weight_grade = shelf, grade
            self._shelve(backend)

    def _start_warming_up(self, backend: Backend, warm_ms: float) -> None:
        backend.warming_up_position = len(self.warming_up)
        self.warming_up.append(backend)
        self._schedule_review(backend, warm_ms)

    def _stop_warming_up(self, backend: Backend) -> None:
        last = self.warming_up.pop()
        if last is not backend:
            self.warming_up[backend.warming_up_position] = last
            last.warming_up_position = backend.warming_up_position
        backend.warming_up_position = -1

    def update_counts(self, backend: Backend) -> None:
        """Nothing but the counts of a backend has changed: a ready one goes to another level."""
        if backend.level is not None:
            self._unshelve(backend, backend.level)
            self._shelve(backend)

    def _shelve(self, backend: Backend) -> None:
        shelf = self.shelves[backend.shelf_number]
        if (level := shelf.get(backend.in_flight)) is None:
            level = shelf[backend.in_flight] = Level()
        backend.level, backend.indexed_in_flight = level, backend.in_flight
        backend.indexed_estimate = backend.queue_estimate
        level.add(backend)

    def _unshelve(self, backend: Backend, level: Level) -> None:
        level.remove(backend)
        if not level.size:
            del self.shelves[backend.shelf_number][backend.indexed_in_flight]
        backend.level = None

    def _schedule_review(self, backend: Backend, at_ms: float) -> None:
        backend.review_at_ms = at_ms
        self.scheduled_reviews += 1
        self._last_review_number += 1
        heappush(self.review_heap, (at_ms, self._last_review_number, backend))

    def _cancel_review(self, backend: Backend) -> None:
        """Void a backend's entry in the heap."""
        backend.review_at_ms = math.inf
        self.scheduled_reviews -= 1
        self._compact_review_heap()

    def _compact_review_heap(self) -> None:
        """Drop void entries of the heap once they are more than half.

        Guards against a heap that grows with each wait that was cut short, or stays as large as it was.
        """
        if len(self.review_heap) > 2 * self.scheduled_reviews + MAX_READMITTED_PER_CALL:
            self.review_heap = [item for item in self.review_heap if item[2].review_at_ms == item[0]]
            heapify(self.review_heap)

    def readmit_due(self, now: float) -> None:
        """Place those whose review is due, a bounded number of them: few as long as others are ready."""
        count = 0
        while (heap := self.review_heap) and heap[0][0] <= now:
            if count >= MAX_READMITTED_PER_CALL and (count >= MAX_READMITTED_WHEN_EMPTY or any(self.shelves)):
                return
            due_ms, _, backend = heappop(heap)
            if backend.review_at_ms == due_ms:
                self.place(backend, now)
            count += 1


def deduplication_group(endpoint: api.Endpoint, scope: api.DeduplicationScope) -> object:
    """The zone or cell whose backends drop repeated requests together with this one."""
    return endpoint.zone if scope is api.DeduplicationScope.ZONE else endpoint.cell


def draw_weight(backend: Backend) -> float:
    """The weight of a draw at the cap, before it is divided by the attempts in flight."""
    speed = bounded_weight(backend.endpoint.weight) / backend.slowness
    return speed * speed


def bounded_weight(listed: float) -> float:
    """A listed weight as it is reckoned with; the list may hold 0 or any other number.

    Guards against a draw from nothing where all have 0, and against one that overflows.
    """
    return MIN_WEIGHT if listed < MIN_WEIGHT else listed if listed < MAX_WEIGHT else MAX_WEIGHT


def weight_grade(backend: Backend) -> int:
    """The power of two above its draw weight: weight < 2 ** grade, and at least half of that."""
    return math.frexp(draw_weight(backend))[1]
