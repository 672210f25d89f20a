"""Records that a node keeps of backends, attempts, classes and requests. Makes no decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from balancer import interface as api

EWMA_WEIGHT = 0.1
"""Weight of one sample in an exponentially weighted moving average: about the last ten samples count."""
MIN_EXPECTED_LATENCY_MS = 0.001
"""Lower bound of the expected latency of a class, which is used as a divisor."""
HIGH_REJECTION_RATE = 0.1
"""Fraction of rejected attempts above which a backend gets no high-priority requests."""
INVERSE_WEIGHT_UNIT = 1 << 64
"""Fixed-point scale: inverse weights are summed as integers in units of 1 / INVERSE_WEIGHT_UNIT."""
NO_INVERSE_WEIGHT = -1
"""Marks a backend that is left out of the sums."""


@dataclass(slots=True, eq=False)
class Backend:
    """What this node knows about one backend; created when the backend is first listed."""

    endpoint: api.Endpoint
    queue_estimate: int = 0
    """The paper's upper bound of the queue length: own attempts since the backend last reported idle."""
    in_flight: int = 0
    """This node's attempts in flight."""
    slowness: float = 1.0
    """Moving average of its latency over the expected latency of the class."""
    consecutive_failures: int = 0
    ejected_until_ms: float = 0.0
    rejection_rate: float = 0.0
    """Moving average of the fraction of attempts that it rejected."""
    paused_until_ms: float = 0.0
    """It gets no requests until then, even in panic: it rejected one or refused a connection."""
    probe_waiters: list[Request] | None = None
    """Requests that wait for a probe of it; None if no probe is in flight."""
    is_listed: bool = False
    """Whether it is in the index's order."""
    is_local: bool = True
    """Whether it can be reached without a cross-zone price."""
    is_confirmed: bool = True
    """Whether a source lists it or it has answered; otherwise it is known from the cache alone."""
    rank: float = 0.0
    """Sort key in this node's own order, among local backends or among remote ones."""
    capacity_tally: tuple[str, int] | None = None
    """Its contribution to the sums of live weights: kind and inverse weight, or NO_INVERSE_WEIGHT."""

    # Its place in the index; `indexed_*` are the values from when it was put there.
    is_in_window: bool = False
    level: Level | None = None
    """Set only while it is ready."""
    tier_number: int = 0
    indexed_in_flight: int = 0
    indexed_estimate: int = 0
    indexed_weight_bucket: int = 0
    estimate_position: int = 0
    weight_position: int = 0
    warming_up_position: int = -1
    review_at_ms: float = math.inf
    """When the index places it again."""


class BackendSet:
    """An unordered set of backends that supports random access by position."""

    __slots__ = ("_positions", "items")

    def __init__(self) -> None:
        self.items: list[Backend] = []
        self._positions: dict[Backend, int] = {}

    def add(self, backend: Backend) -> None:
        """Add a backend that is not in the set."""
        self._positions[backend] = len(self.items)
        self.items.append(backend)

    def remove(self, backend: Backend) -> None:
        """Remove a backend that is in the set."""
        position, last = self._positions.pop(backend), self.items.pop()
        if last is not backend:
            self.items[position] = last
            self._positions[last] = position


class Level:
    """Ready backends with the same number of own attempts in flight.

    They are grouped into rows by queue estimate, and into rows by weight bucket: weights within a factor of
    two.
    """

    __slots__ = ("by_estimate", "by_weight_bucket", "estimate_heap", "size")

    def __init__(self) -> None:
        self.by_estimate: dict[int, list[Backend]] = {}
        self.by_weight_bucket: dict[int, list[Backend]] = {}
        self.estimate_heap: list[int] = []  # keys of the rows, and of some removed rows
        self.size = 0

    def lowest_estimate(self) -> int:
        """Return the lowest queue estimate. A level is never empty: empty ones are removed."""
        heap, rows = self.estimate_heap, self.by_estimate
        while heap[0] not in rows:
            heappop(heap)
        return heap[0]

    def add(self, backend: Backend) -> None:
        """Add a backend by its indexed estimate and weight bucket."""
        estimate_row = self.by_estimate.get(backend.indexed_estimate)
        if estimate_row is None:
            estimate_row = self.by_estimate[backend.indexed_estimate] = []
            if len(self.estimate_heap) > 2 * len(self.by_estimate) + 16:
                self.estimate_heap = list(self.by_estimate)
                heapify(self.estimate_heap)
            else:
                heappush(self.estimate_heap, backend.indexed_estimate)
        bucket_row = self.by_weight_bucket.get(backend.indexed_weight_bucket)
        if bucket_row is None:
            bucket_row = self.by_weight_bucket[backend.indexed_weight_bucket] = []
        backend.estimate_position, backend.weight_position = len(estimate_row), len(bucket_row)
        estimate_row.append(backend)
        bucket_row.append(backend)
        self.size += 1

    def remove(self, backend: Backend) -> None:
        """Remove a backend, whose indexed values must be those it was added with."""
        estimate_row = self.by_estimate[backend.indexed_estimate]
        last = estimate_row.pop()
        if last is not backend:
            estimate_row[backend.estimate_position] = last
            last.estimate_position = backend.estimate_position
        elif not estimate_row:
            del self.by_estimate[backend.indexed_estimate]
        bucket_row = self.by_weight_bucket[backend.indexed_weight_bucket]
        last = bucket_row.pop()
        if last is not backend:
            bucket_row[backend.weight_position] = last
            last.weight_position = backend.weight_position
        elif not bucket_row:
            del self.by_weight_bucket[backend.indexed_weight_bucket]
        self.size -= 1


@dataclass(slots=True, eq=False)
class Capacity:
    """Aggregated live weights of one backend kind, over backends that are up and do not reject often.

    The sum uses integers: a float would drift, and one very small weight would swamp all the others.
    """

    backend_count: int = 0
    inverse_weight_sum: int = 0
    """In units of 1 / INVERSE_WEIGHT_UNIT."""
    weighted_count: int = 0
    """Number of counted backends that have a weight."""
    idle_weight: float = 0.0
    """The largest weight ever seen, which is that of an idle backend."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    endpoint: api.Endpoint
    """The endpoint as listed when the attempt was sent: a backend may move and keep its name."""
    sent_at_ms: float
    is_representative: bool
    """Whether its latency and outcome describe the backend: it reported idle, or nodes do not probe."""
    status: api.AttemptStatus | None = None
    is_shortened: bool = False
    """Whether its timeout was cut below the useful time, as responses get lost."""


@dataclass(slots=True, eq=False)
class ClassState:
    """A request class with what this node has learned about it."""

    request_class: api.RequestClass
    expected_latency_ms: float
    """Moving average of the time from an attempt to its answer."""
    mean_deviation_ms: float = 0.0
    """Moving average of the absolute deviation from the expected latency."""
    mean_log_latency_ratio: float = 0.0
    """Moving average of the log of latency over the limit's target; the log dampens heavy tails."""
    limit_adjusted_at_ms: float = -math.inf
    """When an answer of this class last adjusted the concurrency limit."""
    first_attempt_allowance_ms: float = 0.0
    """The time that clients allow for a first attempt, determined by majority vote."""
    allowance_votes: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival to its last outcome."""

    id: str
    class_state: ClassState
    work_hint_ms: float | None
    deadline_ms: float
    useful_until_ms: float
    """An answer after this time is worth nothing."""
    is_high_priority: bool
    """Whether its priority weight per expected latency is far above the mean."""
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_closed: bool = False
    is_streaming: bool = False
    pending_probes: set[str] = field(default_factory=set)
    """Names of the backends whose probes it waits for."""
    probed: list[Backend] = field(default_factory=list)
    """Backends that have answered a probe for it."""
    probe_rounds: int = 0
    """Probe rounds for the current attempt."""
    probe_wait_number: int = 0
    """Counts all probe rounds, so that timers of earlier rounds are ignored."""
    may_admit_warming_up: bool = True
    """Whether warming-up backends may be drawn: only once, as each further draw would add to their share."""
