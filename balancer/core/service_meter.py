"""Measures, from the outcomes of its requests, when a node has reached full service after a start."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum

FULL_SERVICE_RATIO = 0.95  # of the requests that the fleet had capacity for
HALF_SERVICE_RATIO = 0.5
FULL_SERVICE_WINDOW_MS = 2_000.0
MIN_WINDOW_REQUESTS = 20  # so that one failure is at most 5%
MAX_WINDOW_MS = 30_000.0  # the window of a node with fewer requests
BUCKET_MS = 100.0


class RequestOutcome(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    FAILED = "failed"  # also: rejected by this node, or answered late
    REJECTED_BY_BACKENDS = "turned away"  # overload: the request exceeded the capacity of the fleet


class ServiceMeter:
    """Determines when a node reached full service after a start.

    *Full service* is `FULL_SERVICE_RATIO` of the requests (without those that backends rejected for lack of
    capacity) served in a window of at least `FULL_SERVICE_WINDOW_MS` that holds at least
    `MIN_WINDOW_REQUESTS`. For a node with fewer requests the window is `MAX_WINDOW_MS`; a node without any
    requests never reaches full service. A phase is dated to the beginning of its window.

    `phases_ms` holds the times since `began_ms` by phase name; `full_service_requests` is the number of
    requests in the window that reached full service. Bound: `MAX_WINDOW_MS / BUCKET_MS` buckets.
    """

    def __init__(self, began_ms: float) -> None:
        self.began_ms = began_ms
        self.phases_ms: dict[str, float] = {}
        self.full_service_requests = 0
        self._buckets: deque[tuple[float, list[int]]] = deque()  # start, [requests, served requests]
        self._evaluated_ms = -math.inf

    def __repr__(self) -> str:
        return f"<ServiceMeter {'full' if self.is_full else 'measures'}, {len(self._buckets)} buckets>"

    @property
    def is_full(self) -> bool:
        """Whether full service was reached."""
        return "full" in self.phases_ms

    def record_phase(self, name: str, at_ms: float) -> None:
        """Record that a phase is reached; only the first time counts."""
        self.phases_ms.setdefault(name, max(0.0, at_ms - self.began_ms))

    def record_outcome(self, now_ms: float, class_name: str, outcome: RequestOutcome) -> None:
        """Count a finished request."""
        if outcome is RequestOutcome.SERVED:
            self.record_phase("first answer", now_ms)
            self.record_phase(f"first answer: {class_name}", now_ms)
        if outcome is not RequestOutcome.REJECTED_BY_BACKENDS:
            start_ms = now_ms // BUCKET_MS * BUCKET_MS
            if not self._buckets or self._buckets[-1][0] < start_ms:
                self._buckets.append((start_ms, [0, 0]))
            counts = self._buckets[-1][1]
            counts[0] += 1
            counts[1] += outcome is RequestOutcome.SERVED
        self.evaluate(now_ms)

    def evaluate(self, now_ms: float) -> None:
        """Check the window up to now for full service, at most once per bucket."""
        if self.is_full or now_ms < self._evaluated_ms + BUCKET_MS:
            return
        self._evaluated_ms = now_ms
        while self._buckets and self._buckets[0][0] < now_ms - MAX_WINDOW_MS:
            self._buckets.popleft()
        requests, served, start_ms = 0, 0, now_ms
        for start_ms, (bucket_requests, bucket_served) in reversed(self._buckets):
            requests, served = requests + bucket_requests, served + bucket_served
            if now_ms - start_ms >= FULL_SERVICE_WINDOW_MS and requests >= MIN_WINDOW_REQUESTS:
                break
        else:  # too few requests: only the longest window is evaluated
            if not requests or now_ms - self.began_ms < MAX_WINDOW_MS:
                return
        if served >= HALF_SERVICE_RATIO * requests:
            self.record_phase("half", start_ms)
        if served >= FULL_SERVICE_RATIO * requests:
            self.full_service_requests = requests
            # A bucket begins up to 0.1 s before the first response in it.
            first_answer_ms = self.began_ms + self.phases_ms.get("first answer", 0.0)
            self.record_phase("full", max(start_ms, first_answer_ms))
