"""An index of the backends, so that a choice among thousands need not examine them all.

`BackendIndex` keeps this node's own order of the list; the first `window_size` backends are the window that
requests are sent to. In the window a backend is

- *ready*: in a tier, there in a level by own attempts in flight, and there by queue estimate and by weight
  bucket;
- *warming up*: in a list;
- *unavailable*: ejected or paused.

Warming-up and unavailable backends are also in a heap by the time of their review.

`BackendIndex.place` moves a backend to where it belongs and must be called after each change of a property
that this depends on; the cost of a call is about the same whatever the fleet's size. This module makes no
decisions: `selection` determines which backends are eligible.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from heapq import heapify, heappop, heappush

from balancer import interface as api
from balancer.policy.records import Backend, BackendSet, Level

MAX_READMITTED_PER_CALL = 64
"""Backends readmitted in one call, to bound its time: thousands may be due at once."""
MAX_READMITTED_WHEN_EMPTY = 16 * MAX_READMITTED_PER_CALL
"""The same while no backend is ready."""
MIN_WEIGHT, MAX_WEIGHT = 1e-6, 1e12
"""Listed weights are clamped to this range, whose squares neither underflow nor overflow."""

Tier = dict[int, Level]  # levels by own attempts in flight
Position = tuple[bool, float, str, Backend]  # is remote, rank, name: the sort key of the order


class BackendIndex:
    """A node's order of the list and its window.

    Backends with a rejection rate above `high_rejection_rate` are in a tier of their own.
    """

    def __init__(self, slow_start_duration_ms: float, high_rejection_rate: float) -> None:
        self.slow_start_duration_ms = slow_start_duration_ms
        self.high_rejection_rate = high_rejection_rate
        self.order: list[Position] = []  # local backends first, then by rank
        self.local_count = 0
        self.window_size = 0
        # Ready backends: confirmed; confirmed but rejecting often; known from the cache alone.
        self.tiers: tuple[Tier, Tier, Tier] = ({}, {}, {})
        self.warming_up: list[Backend] = []
        self.review_heap: list[tuple[float, int, Backend]] = []  # time, number; some entries are stale
        # The whole list by zone or by cell, for classes whose retries are restricted to such a group.
        self.deduplication_scopes: tuple[api.DeduplicationScope, ...] = ()
        self.groups: dict[tuple[api.DeduplicationScope, object], BackendSet] = {}
        self.scheduled_reviews = 0  # entries of the heap that are not stale
        self._last_review_number = 0
        # Decisions about backends that `Balancer.handle` has yet to report.
        self.decisions: list[tuple[Backend, api.BackendDecision]] = []

    # --- order and window

    def insert(self, backend: Backend, now_ms: float) -> int:
        """Add a backend that has come up, by its rank; returns its position in the order."""
        key = (not backend.is_local, backend.rank, backend.endpoint.id, backend)
        position = bisect_left(self.order, key[:3])
        self.order.insert(position, key)
        self.local_count += backend.is_local
        for scope in self.deduplication_scopes:
            group = scope, deduplication_group(backend.endpoint, scope)
            self.groups.setdefault(group, BackendSet()).add(backend)
        if position < self.window_size:
            self._enter_window(backend, now_ms)
            self._leave_window(self.order[self.window_size][3], now_ms)
        return position

    def remove(self, backend: Backend, now_ms: float) -> int:
        """Remove a backend, before its endpoint changes; returns its position in the order."""
        position = bisect_left(self.order, (not backend.is_local, backend.rank, backend.endpoint.id))
        del self.order[position]
        self.local_count -= backend.is_local
        for scope in self.deduplication_scopes:
            group = scope, deduplication_group(backend.endpoint, scope)
            members = self.groups[group]
            members.remove(backend)
            if not members.items:
                del self.groups[group]
        if position < self.window_size:
            self._leave_window(backend, now_ms)
            if self.window_size <= len(self.order):
                self._enter_window(self.order[self.window_size - 1][3], now_ms)
            else:
                self.window_size -= 1
        return position

    def resize(self, size: int, now_ms: float) -> None:
        """Set the window size, as far as there are backends."""
        size = min(size, len(self.order))
        for position in range(self.window_size, size):
            self._enter_window(self.order[position][3], now_ms)
        for position in range(size, self.window_size):
            self._leave_window(self.order[position][3], now_ms)
        self.window_size = size

    def _enter_window(self, backend: Backend, now_ms: float) -> None:
        backend.is_in_window = True
        self.place(backend, now_ms)

    def _leave_window(self, backend: Backend, now_ms: float) -> None:
        backend.is_in_window = False
        self.place(backend, now_ms)

    # --- placement in the window

    def place(self, backend: Backend, now_ms: float) -> None:
        """Move a backend to where it belongs at this time."""
        ejected_until_ms, paused_until_ms = backend.ejected_until_ms, backend.paused_until_ms
        back_ms = ejected_until_ms if ejected_until_ms > paused_until_ms else paused_until_ms
        started_at_ms, duration_ms = backend.endpoint.started_at_ms, self.slow_start_duration_ms
        warm_ms = started_at_ms + duration_ms if started_at_ms > 0 < duration_ms else 0.0
        due_ms = backend.review_at_ms
        if backend.is_in_window and due_ms > now_ms and due_ms == (back_ms if back_ms > now_ms else warm_ms):
            return  # unavailable or warming up, unchanged
        bucket = weight_bucket(backend)
        tier = int(backend.rejection_rate > self.high_rejection_rate) if backend.is_confirmed else 2
        if backend.level is not None:
            if (
                backend.is_in_window
                and backend.in_flight == backend.indexed_in_flight
                and backend.queue_estimate == backend.indexed_estimate
                and back_ms <= now_ms
                and warm_ms <= now_ms
                and tier == backend.tier_number
                and bucket == backend.indexed_weight_bucket
            ):
                return
            self._remove_from_tier(backend, backend.level)
        if was_warming_up := backend.warming_up_position >= 0:
            self._stop_warming_up(backend)
        if was_in_review := due_ms < math.inf:
            self._cancel_review(backend)
        if not backend.is_in_window:
            return
        if back_ms > now_ms:
            self._schedule_review(backend, back_ms)
        elif warm_ms > now_ms:
            self._start_warming_up(backend, warm_ms)
            if not was_warming_up:
                self.decisions.append((backend, api.BackendDecision.SLOW_START_BEGAN))
        else:
            if was_warming_up:
                self.decisions.append((backend, api.BackendDecision.SLOW_START_ENDED))
            elif was_in_review and ejected_until_ms >= paused_until_ms:
                self.decisions.append((backend, api.BackendDecision.READMITTED))
            backend.tier_number, backend.indexed_weight_bucket = tier, bucket
            self._add_to_tier(backend)

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
        """Move a ready backend to another level; nothing but its counts has changed."""
        if backend.level is not None:
            self._remove_from_tier(backend, backend.level)
            self._add_to_tier(backend)

    def _add_to_tier(self, backend: Backend) -> None:
        tier = self.tiers[backend.tier_number]
        if (level := tier.get(backend.in_flight)) is None:
            level = tier[backend.in_flight] = Level()
        backend.level, backend.indexed_in_flight = level, backend.in_flight
        backend.indexed_estimate = backend.queue_estimate
        level.add(backend)

    def _remove_from_tier(self, backend: Backend, level: Level) -> None:
        level.remove(backend)
        if not level.size:
            del self.tiers[backend.tier_number][backend.indexed_in_flight]
        backend.level = None

    def _schedule_review(self, backend: Backend, at_ms: float) -> None:
        backend.review_at_ms = at_ms
        self.scheduled_reviews += 1
        self._last_review_number += 1
        heappush(self.review_heap, (at_ms, self._last_review_number, backend))

    def _cancel_review(self, backend: Backend) -> None:
        """Invalidate a backend's entry in the heap."""
        backend.review_at_ms = math.inf
        self.scheduled_reviews -= 1
        self._compact_review_heap()

    def _compact_review_heap(self) -> None:
        """Drop stale entries of the heap once they are more than half.

        Otherwise the heap would grow with each wait that was cut short, or never shrink.
        """
        if len(self.review_heap) > 2 * self.scheduled_reviews + MAX_READMITTED_PER_CALL:
            self.review_heap = [item for item in self.review_heap if item[2].review_at_ms == item[0]]
            heapify(self.review_heap)

    def readmit_due(self, now_ms: float) -> None:
        """Place backends whose review is due: a bounded number, and fewer while others are ready."""
        count = 0
        while (heap := self.review_heap) and heap[0][0] <= now_ms:
            if count >= MAX_READMITTED_PER_CALL and (count >= MAX_READMITTED_WHEN_EMPTY or any(self.tiers)):
                return
            due_ms, _, backend = heappop(heap)
            if backend.review_at_ms == due_ms:
                self.place(backend, now_ms)
            count += 1


def deduplication_group(endpoint: api.Endpoint, scope: api.DeduplicationScope) -> object:
    """Return the zone or cell whose backends deduplicate requests together with this one."""
    return endpoint.zone if scope is api.DeduplicationScope.ZONE else endpoint.cell


def draw_weight(backend: Backend) -> float:
    """Return the weight of a draw at the cap, before division by the attempts in flight."""
    speed = bounded_weight(backend.endpoint.weight) / backend.slowness
    return speed * speed


def bounded_weight(listed: float) -> float:
    """Return a listed weight clamped to the supported range; the list may contain 0 or any other number.

    This guards against a draw whose weights are all 0, and against overflow.
    """
    return MIN_WEIGHT if listed < MIN_WEIGHT else listed if listed < MAX_WEIGHT else MAX_WEIGHT


def weight_bucket(backend: Backend) -> int:
    """Return the power-of-two bucket of the draw weight: weight < 2 ** bucket, and at least half of that."""
    return math.frexp(draw_weight(backend))[1]
