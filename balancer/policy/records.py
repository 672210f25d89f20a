"""The records a node keeps of backends, attempts, classes and requests. Nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from balancer import interface as api

WHOLE = 1 << 64  # in which inverses of weights are counted


@dataclass(slots=True, eq=False)
class Backend:
    """What this node knows of one backend; made when it is first listed."""

    entry: api.Endpoint
    estimate: int = 0  # the paper's upper bound: own sends since it last showed idle
    out: int = 0  # own attempts still out
    slow: float = 1.0  # mean time of its answers over the usual time of their class
    fails: int = 0
    until: float = 0.0  # ejected until then
    full: float = 0.0  # share of attempts that it turned away of late
    busy: float = 0.0  # turned a request or a connection away: left alone until then, even in panic
    waiting: list[Request] | None = None  # requests waiting for a probe of it; None: no probe is out
    listed: bool = False  # in the order
    near: bool = True  # within reach without a price
    vouched: bool = True  # a source lists it, or it has answered here; else memory alone does
    rank: float = 0.0  # its place in this node's own order
    tally: tuple[str, int] | None = None  # its part in the sums of live weights: kind and inverse, -1: none
    # Where the index has it.
    inside: bool = False  # in the window
    level: Level | None = None  # ready
    apart: int = 0  # on the shelf of that number
    shelved: int = 0  # own attempts out, estimate and grade when it was put there
    row: int = 0
    grade: int = 0
    in_row: int = 0
    in_rack: int = 0
    in_cold: int = -1
    due: float = math.inf  # when it is to be looked at again


class Bag:
    """Backends in no order, of which some can be drawn without looking at the others."""

    __slots__ = ("_at", "items")

    def __init__(self) -> None:
        self.items: list[Backend] = []
        self._at: dict[Backend, int] = {}

    def add(self, b: Backend) -> None:
        """One that is not in it."""
        self._at[b] = len(self.items)
        self.items.append(b)

    def remove(self, b: Backend) -> None:
        """One that is."""
        at, last = self._at.pop(b), self.items.pop()
        if last is not b:
            self.items[at] = last
            self._at[last] = at


class Level:
    """Ready backends of one own count: rows of one estimate, racks of weights within a factor of two."""

    __slots__ = ("heap", "racks", "rows", "size")

    def __init__(self) -> None:
        self.rows: dict[int, list[Backend]] = {}
        self.racks: dict[int, list[Backend]] = {}
        self.heap: list[int] = []  # estimates of the rows, and of some that have gone
        self.size = 0

    def lowest(self) -> int:
        """The lowest estimate; there is one, as a level without a backend is taken away."""
        heap, rows = self.heap, self.rows
        while heap[0] not in rows:
            heappop(heap)
        return heap[0]

    def put(self, b: Backend) -> None:
        """Add a backend by its row (the estimate) and its grade."""
        row = self.rows.get(b.row)
        if row is None:
            row = self.rows[b.row] = []
            if len(self.heap) > 2 * len(self.rows) + 16:
                self.heap = list(self.rows)
                heapify(self.heap)
            else:
                heappush(self.heap, b.row)
        rack = self.racks.get(b.grade)
        if rack is None:
            rack = self.racks[b.grade] = []
        b.in_row, b.in_rack = len(row), len(rack)
        row.append(b)
        rack.append(b)
        self.size += 1

    def drop(self, b: Backend) -> None:
        """Take a backend off; its row and grade are those that it was put here with."""
        row = self.rows[b.row]
        last = row.pop()
        if last is not b:
            row[b.in_row] = last
            last.in_row = b.in_row
        elif not row:
            del self.rows[b.row]
        rack = self.racks[b.grade]
        last = rack.pop()
        if last is not b:
            rack[b.in_rack] = last
            last.in_rack = b.in_rack
        elif not rack:
            del self.racks[b.grade]
        self.size -= 1


@dataclass(slots=True, eq=False)
class Room:
    """What the live weights of one kind tell, over those that are up and have room.

    The sum is one of whole numbers: a float would drift, and lose all others to one very small weight.
    """

    count: int = 0
    inverses: int = 0  # of the weights, summed, in parts of one in WHOLE
    weighted: int = 0  # how many have a weight
    size: float = 0.0  # the largest weight ever seen: that of an idle backend


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    there: api.Endpoint  # as it was listed at the send: under its id it may come up elsewhere
    sent: float
    fair: bool  # its time and fate tell of the backend: it showed idle, or nobody looked
    status: api.AttemptStatus | None = None
    cut: bool = False  # given less time than would still be useful, as answers get lost


@dataclass(slots=True, eq=False)
class Class:
    """A class with what this node has learned of it."""

    cfg: api.RequestClass
    usual: float  # expected time to serve
    dev: float = 0.0  # and its mean deviation
    strain: float = 0.0  # mean log of late times over what the limit steers for: tames heavy tails
    heard: float = -math.inf  # when an answer of it last steered the limit
    allowance: float = 0.0  # the time clients give a first try, by majority vote
    votes: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its landing to its last outcome."""

    id: str
    cls: Class
    hint: float | None
    deadline: float
    useful: float  # an answer after this is worth nothing
    dense: bool  # worth far more for its time than the mean
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    over: bool = False
    stream: bool = False
    pending: set[str] = field(default_factory=set)  # probes it waits for
    found: list[Backend] = field(default_factory=list)  # backends that answered one
    rounds: int = 0
    looks: int = 0
    cold_ok: bool = True  # only a first draw may bring cold backends
