"""The records a node keeps of backends, attempts, classes and requests. Nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from balancer import interface as api

INVERSE_WEIGHT_UNIT = 1 << 64  # in which inverses of weights are counted


@dataclass(slots=True, eq=False)
class Backend:
    """What this node knows of one backend; made when it is first listed."""

    endpoint: api.Endpoint
    queue_estimate: int = 0  # the paper's upper bound: own sends since it last showed idle
    in_flight: int = 0  # own attempts still out
    slowness: float = 1.0  # mean time of its answers over the usual time of their class
    consecutive_failures: int = 0
    ejected_until_ms: float = 0.0  # ejected until then
    rejection_rate: float = 0.0  # share of attempts that it turned away of late
    paused_until_ms: float = (
        0.0  # turned a request or a connection away: left alone until then, even in panic
    )
    probe_waiters: list[Request] | None = None  # requests waiting for a probe of it; None: no probe is out
    is_listed: bool = False  # in the order
    is_local: bool = True  # within reach without a price
    is_confirmed: bool = True  # a source lists it, or it has answered here; else memory alone does
    rank: float = 0.0  # its place in this node's own order
    capacity_tally: tuple[str, int] | None = (
        None  # its part in the sums of live weights: kind and inverse, -1: none
    )
    # Where the index has it.
    is_in_window: bool = False  # in the window
    level: Level | None = None  # ready
    shelf_number: int = 0  # on the shelf of that number
    indexed_in_flight: int = 0  # own attempts out, estimate and grade when it was put there
    indexed_estimate: int = 0
    indexed_weight_grade: int = 0
    estimate_position: int = 0
    weight_position: int = 0
    warming_up_position: int = -1
    review_at_ms: float = math.inf  # when it is to be looked at again


class BackendSet:
    """Backends in no order, of which some can be drawn without looking at the others."""

    __slots__ = ("_positions", "items")

    def __init__(self) -> None:
        self.items: list[Backend] = []
        self._positions: dict[Backend, int] = {}

    def add(self, b: Backend) -> None:
        """One that is not in it."""
        self._positions[b] = len(self.items)
        self.items.append(b)

    def remove(self, b: Backend) -> None:
        """One that is."""
        at, last = self._positions.pop(b), self.items.pop()
        if last is not b:
            self.items[at] = last
            self._positions[last] = at


class Level:
    """Ready backends of one own count: rows of one estimate, racks of weights within a factor of two."""

    __slots__ = ("by_estimate", "by_weight_grade", "estimate_heap", "size")

    def __init__(self) -> None:
        self.by_estimate: dict[int, list[Backend]] = {}
        self.by_weight_grade: dict[int, list[Backend]] = {}
        self.estimate_heap: list[int] = []  # estimates of the rows, and of some that have gone
        self.size = 0

    def lowest_estimate(self) -> int:
        """The lowest estimate; there is one, as a level without a backend is taken away."""
        heap, rows = self.estimate_heap, self.by_estimate
        while heap[0] not in rows:
            heappop(heap)
        return heap[0]

    def add(self, b: Backend) -> None:
        """Add a backend by its row (the estimate) and its grade."""
        row = self.by_estimate.get(b.indexed_estimate)
        if row is None:
            row = self.by_estimate[b.indexed_estimate] = []
            if len(self.estimate_heap) > 2 * len(self.by_estimate) + 16:
                self.estimate_heap = list(self.by_estimate)
                heapify(self.estimate_heap)
            else:
                heappush(self.estimate_heap, b.indexed_estimate)
        rack = self.by_weight_grade.get(b.indexed_weight_grade)
        if rack is None:
            rack = self.by_weight_grade[b.indexed_weight_grade] = []
        b.estimate_position, b.weight_position = len(row), len(rack)
        row.append(b)
        rack.append(b)
        self.size += 1

    def remove(self, b: Backend) -> None:
        """Take a backend off; its row and grade are those that it was put here with."""
        row = self.by_estimate[b.indexed_estimate]
        last = row.pop()
        if last is not b:
            row[b.estimate_position] = last
            last.estimate_position = b.estimate_position
        elif not row:
            del self.by_estimate[b.indexed_estimate]
        rack = self.by_weight_grade[b.indexed_weight_grade]
        last = rack.pop()
        if last is not b:
            rack[b.weight_position] = last
            last.weight_position = b.weight_position
        elif not rack:
            del self.by_weight_grade[b.indexed_weight_grade]
        self.size -= 1


@dataclass(slots=True, eq=False)
class Capacity:
    """What the live weights of one kind tell, over those that are up and have room.

    The sum is one of whole numbers: a float would drift, and lose all others to one very small weight.
    """

    backend_count: int = 0
    inverse_weight_sum: int = 0  # of the weights, summed, in parts of one in WHOLE
    weighted_count: int = 0  # how many have a weight
    idle_weight: float = 0.0  # the largest weight ever seen: that of an idle backend


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    endpoint: api.Endpoint  # as it was listed at the send: under its id it may come up elsewhere
    sent_at_ms: float
    is_representative: bool  # its time and fate tell of the backend: it showed idle, or nobody looked
    status: api.AttemptStatus | None = None
    is_shortened: bool = False  # given less time than would still be useful, as answers get lost


@dataclass(slots=True, eq=False)
class ClassState:
    """A class with what this node has learned of it."""

    request_class: api.RequestClass
    expected_latency_ms: float  # expected time to serve
    mean_deviation_ms: float = 0.0  # and its mean deviation
    mean_log_latency_ratio: float = (
        0.0  # mean log of late times over what the limit steers for: tames heavy tails
    )
    steered_at_ms: float = -math.inf  # when an answer of it last steered the limit
    first_attempt_allowance_ms: float = 0.0  # the time clients give a first try, by majority vote
    allowance_votes: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its landing to its last outcome."""

    id: str
    class_state: ClassState
    work_hint_ms: float | None
    deadline_ms: float
    useful_until_ms: float  # an answer after this is worth nothing
    is_high_priority: bool  # worth far more for its time than the mean
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_closed: bool = False
    is_streaming: bool = False
    pending_probes: set[str] = field(default_factory=set)  # probes it waits for
    probed: list[Backend] = field(default_factory=list)  # backends that answered one
    probe_rounds: int = 0
    probe_wait_number: int = 0
    may_admit_warming_up: bool = True  # only a first draw may bring cold backends
