"""What a node keeps of backends, attempts, classes and requests. Nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from balancer import interface as api

EWMA_WEIGHT = 0.1
"""Weight of one sample in a running mean: it follows the last ten or so."""
MIN_EXPECTED_LATENCY_MS = 0.001
"""Shortest time that a class is taken to need: it is divided by."""
HIGH_REJECTION_RATE = 0.1
"""Fraction of attempts that a backend rejects from which it gets no more requests of high priority."""
INVERSE_WEIGHT_UNIT = 1 << 64
"""Inverses of weights are summed as whole numbers of parts of one in this."""
NO_INVERSE_WEIGHT = -1
"""Stands for the inverse of a backend that is left out of the sums."""


@dataclass(slots=True, eq=False)
class Backend:
    """What this node knows of one backend; made when it is first listed."""

    endpoint: api.Endpoint
    queue_estimate: int = 0
    """The paper's upper bound of the queue: own attempts since it last reported idle."""
    in_flight: int = 0
    """Own attempts."""
    slowness: float = 1.0
    """Running mean of its answers' times over the expected latency of their class."""
    consecutive_failures: int = 0
    ejected_until_ms: float = 0.0
    rejection_rate: float = 0.0
    """Fraction of recent attempts that it rejected."""
    paused_until_ms: float = 0.0
    """It rejected a request or refused a connection: left alone until then, even in panic."""
    probe_waiters: list[Request] | None = None
    """Requests waiting for a probe of it; None: no probe is in flight."""
    is_listed: bool = False
    """In the index's order."""
    is_local: bool = True
    """Within reach without a price."""
    is_confirmed: bool = True
    """A source lists it, or it has answered here; else it is known from the cache alone."""
    rank: float = 0.0
    """Its place in this node's own order, among local ones or among others."""
    capacity_tally: tuple[str, int] | None = None
    """Its part in the sums of live weights: kind and inverse weight, or NO_INVERSE_WEIGHT."""

    # Where the index has it; `indexed_*` are the figures from when it was put there.
    is_in_window: bool = False
    level: Level | None = None
    """Set where it is ready."""
    shelf_number: int = 0
    indexed_in_flight: int = 0
    indexed_estimate: int = 0
    indexed_weight_grade: int = 0
    estimate_position: int = 0
    weight_position: int = 0
    warming_up_position: int = -1
    review_at_ms: float = math.inf
    """When the index is to place it anew."""


class BackendSet:
    """Backends in no order, of which some can be drawn without looking at the others."""

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
        at, last = self._positions.pop(backend), self.items.pop()
        if last is not backend:
            self.items[at] = last
            self._positions[last] = at


class Level:
    """Ready backends with the same number of own attempts in flight.

    They stand in rows of one queue estimate, and in rows of one weight grade: weights within a factor of two.
    """

    __slots__ = ("by_estimate", "by_weight_grade", "estimate_heap", "size")

    def __init__(self) -> None:
        self.by_estimate: dict[int, list[Backend]] = {}
        self.by_weight_grade: dict[int, list[Backend]] = {}
        self.estimate_heap: list[int] = []  # of the rows, and of some that are gone
        self.size = 0

    def lowest_estimate(self) -> int:
        """The lowest queue estimate; there is one, as an empty level is removed."""
        heap, rows = self.estimate_heap, self.by_estimate
        while heap[0] not in rows:
            heappop(heap)
        return heap[0]

    def add(self, backend: Backend) -> None:
        """Add a backend by its indexed estimate and weight grade."""
        estimate_row = self.by_estimate.get(backend.indexed_estimate)
        if estimate_row is None:
            estimate_row = self.by_estimate[backend.indexed_estimate] = []
            if len(self.estimate_heap) > 2 * len(self.by_estimate) + 16:
                self.estimate_heap = list(self.by_estimate)
                heapify(self.estimate_heap)
            else:
                heappush(self.estimate_heap, backend.indexed_estimate)
        grade_row = self.by_weight_grade.get(backend.indexed_weight_grade)
        if grade_row is None:
            grade_row = self.by_weight_grade[backend.indexed_weight_grade] = []
        backend.estimate_position, backend.weight_position = len(estimate_row), len(grade_row)
        estimate_row.append(backend)
        grade_row.append(backend)
        self.size += 1

    def remove(self, backend: Backend) -> None:
        """Remove a backend; its indexed figures are those that it was added with."""
        estimate_row = self.by_estimate[backend.indexed_estimate]
        last = estimate_row.pop()
        if last is not backend:
            estimate_row[backend.estimate_position] = last
            last.estimate_position = backend.estimate_position
        elif not estimate_row:
            del self.by_estimate[backend.indexed_estimate]
        grade_row = self.by_weight_grade[backend.indexed_weight_grade]
        last = grade_row.pop()
        if last is not backend:
            grade_row[backend.weight_position] = last
            last.weight_position = backend.weight_position
        elif not grade_row:
            del self.by_weight_grade[backend.indexed_weight_grade]
        self.size -= 1


@dataclass(slots=True, eq=False)
class Capacity:
    """What the live weights of one kind tell, over the backends that are up and don't reject often.

    The sum is one of whole numbers: a float would drift, and lose all others to one very small weight.
    """

    backend_count: int = 0
    inverse_weight_sum: int = 0
    """In parts of one in INVERSE_WEIGHT_UNIT."""
    weighted_count: int = 0
    """Those that have a weight."""
    idle_weight: float = 0.0
    """The largest weight ever seen: that of an idle backend."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    endpoint: api.Endpoint
    """As it was listed when the attempt was sent: under the same name it may come up elsewhere."""
    sent_at_ms: float
    is_representative: bool
    """Its time and outcome tell of the backend: that reported idle, or nobody probed."""
    status: api.AttemptStatus | None = None
    is_shortened: bool = False
    """It was given less time than would still be useful, as answers get lost."""


@dataclass(slots=True, eq=False)
class ClassState:
    """A request class with what this node has learned of it."""

    request_class: api.RequestClass
    expected_latency_ms: float
    """Running mean of the time from an attempt to its answer."""
    mean_deviation_ms: float = 0.0
    """Running mean of the distance from that."""
    mean_log_latency_ratio: float = 0.0
    """Running mean of the log of times over what the limit steers for: the log tames heavy tails."""
    steered_at_ms: float = -math.inf
    """When an answer of this class last steered the limit."""
    first_attempt_allowance_ms: float = 0.0
    """The time that clients give a first attempt, by majority vote."""
    allowance_votes: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival to its last outcome."""

    id: str
    class_state: ClassState
    work_hint_ms: float | None
    deadline_ms: float
    useful_until_ms: float
    """An answer after this is worth nothing."""
    is_high_priority: bool
    """Its priority weight is far above the mean for its time."""
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_closed: bool = False
    is_streaming: bool = False
    pending_probes: set[str] = field(default_factory=set)
    """Backends whose probes it waits for."""
    probed: list[Backend] = field(default_factory=list)
    """Backends that have answered one."""
    probe_rounds: int = 0
    """Rounds for the current attempt."""
    probe_wait_number: int = 0
    """Counts all rounds: a timer of an earlier one is void."""
    may_admit_warming_up: bool = True
    """Only the first draw may bring backends that are warming up: each one more would add to their share."""
