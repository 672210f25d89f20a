"""A simple, slow choice of a backend, which balancer/policy/backend_index.py must match after any events.

Each function examines all backends and keeps no state. Random draws are left to the caller: the admitted
warming-up backends are an argument, and where a draw remains, the result is the probability of each backend.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from balancer import interface as api
from balancer.policy.records import HIGH_REJECTION_RATE, Backend


class Place(Enum):
    """The state of a backend in the window."""

    READY = "ready"
    WARMING_UP = "cold"
    UNAVAILABLE = "away"


def order(known: Iterable[Backend]) -> list[Backend]:
    """Return a node's own order: backends that are up, local ones first, then by rank."""
    up = [b for b in known if b.endpoint.phase is api.Phase.UP]
    return sorted(up, key=lambda backend: (not backend.is_local, backend.rank, backend.endpoint.id))


def window(known: Iterable[Backend], width: int, out: int) -> list[Backend]:
    """Return the first backends of the order: the subset, or more with more attempts in flight than that."""
    listed = order(known)
    return listed[: max(1, min(len(listed), max(width, out)))]


def slow_start_fraction(backend: Backend, now: float, initial_fraction: float, duration_ms: float) -> float:
    """Return the fraction of its capacity that a backend is guaranteed to have."""
    age = now - backend.endpoint.started_at_ms
    if backend.endpoint.started_at_ms == 0 or duration_ms == 0 or age >= duration_ms:
        return 1.0
    return initial_fraction + (1 - initial_fraction) * max(age, 0.0) / duration_ms


def place(backend: Backend, now: float, config: api.Settings) -> Place:
    """Return the state of a backend: unavailable if ejected or paused, else warming up, else ready."""
    if backend.ejected_until_ms > now or backend.paused_until_ms > now:
        return Place.UNAVAILABLE
    return (
        Place.WARMING_UP
        if slow_start_fraction(
            backend, now, config.slow_start_initial_fraction, config.slow_start_duration_ms
        )
        < 1
        else Place.READY
    )


def eligible(
    members: Iterable[Backend],
    now: float,
    config: api.Settings,
    max_in_flight: float,
    is_high_priority: bool,
    admitted: Collection[Backend],
) -> list[Backend]:
    """Return the backends that a request may go to; warming-up ones only if the draw has admitted them."""
    out = []
    for backend in members:
        where = place(backend, now, config)
        if where is Place.UNAVAILABLE or (where is Place.WARMING_UP and backend not in admitted):
            continue
        if backend.in_flight <= max_in_flight and not (
            is_high_priority and backend.rejection_rate > HIGH_REJECTION_RATE
        ):
            out.append(backend)
    return out


def bounded_weight(weight: float) -> float:
    """Clamp a weight to the range from a millionth to a trillion."""
    return min(max(weight, 1e-6), 1e12)


def chances(pool: Sequence[Backend], cap: int) -> dict[str, float]:
    """Join-Up-To(m) among the eligible backends: the probability of each."""
    pool = [b for b in pool if b.in_flight <= sum(x.in_flight for x in pool) / len(pool) + 1e-9]
    lowest = min((b.queue_estimate for b in pool), default=0)
    if lowest < cap:
        parts = {b.endpoint.id: float(b.queue_estimate == lowest) for b in pool}
    else:
        parts = {
            b.endpoint.id: (bounded_weight(b.endpoint.weight) / b.slowness) ** 2 / (1 + b.in_flight)
            for b in pool
        }
    return {name: part / sum(parts.values()) for name, part in parts.items() if part > 0}


def admission_probability(size: int, up: int, fleet: float, warm: float, part: float) -> float:
    """Return the probability that a request considers one warming-up backend of a window of this size."""
    return min(1.0, part * warm * up / fleet / size)


@dataclass
class Sums:
    """Sums of live weights over all backends that are up and do not reject often."""

    count: int
    held: float


def sums(known: Iterable[Backend], largest: dict[str, float]) -> Sums:
    """Return the requests held by the weights; `largest` is the largest weight seen of each kind."""
    having_room = [
        b for b in known if b.endpoint.phase is api.Phase.UP and b.rejection_rate <= HIGH_REJECTION_RATE
    ]
    held = [
        largest[b.endpoint.kind] / bounded_weight(b.endpoint.weight) - 1
        for b in having_room
        if b.endpoint.weight
    ]
    return Sums(len(having_room), math.fsum(held))


@dataclass
class Count:
    """The counts of one backend."""

    in_flight: int = 0
    estimate: int = 0
    started: float = math.inf  # as listed; a new backend has nothing to reset


class Counts:
    """The counts of each backend, derived only from the events and the attempts sent."""

    def __init__(self) -> None:
        self.known: dict[str, Count] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.sent: dict[str, list[str | None]] = {}  # backends of the attempts by request; None: finished

    def event(self, event: api.Event) -> None:
        """Record an event."""
        if isinstance(event, api.RequestArrived):
            self.sent[event.request] = []
        elif isinstance(event, api.EndpointsUpdated) and event.kind is not api.EndpointUpdateKind.FAILED:
            named = {e.id for e in event.endpoints}
            for old in [
                n
                for n in self.entries
                if n not in named and event.kind is not api.EndpointUpdateKind.INCREMENTAL
            ]:
                self._gone(old)
            for entry in event.endpoints:
                self._entry(entry)
        elif isinstance(event, api.AttemptFinished):
            name = self.sent[event.request][event.attempt]
            assert name is not None
            self.sent[event.request][event.attempt] = None
            count = self.known[name]
            count.in_flight -= 1
            report = event.load_report or api.LoadReport()
            load = report.queued if report.in_flight is None else report.in_flight
            if event.status is api.AttemptStatus.OK and load is not None and load < 0.5:
                count.estimate = count.in_flight
            if name not in self.entries and not count.in_flight:
                del self.known[name]

    def actions(self, actions: Iterable[api.Action]) -> None:
        """Record the attempts sent."""
        for action in actions:
            if isinstance(action, api.SendAttempt):
                self.sent[action.request].append(action.backend)
                self.known[action.backend].in_flight += 1
                self.known[action.backend].estimate += 1

    def _entry(self, entry: api.Endpoint) -> None:
        if entry.phase is not api.Phase.REMOVED:
            self.known.setdefault(entry.id, Count())
            self.entries[entry.id] = entry
        if (count := self.known.get(entry.id)) is not None:
            if entry.started_at_ms > count.started:
                count.estimate = count.in_flight  # restarted: earlier attempts do not count
            count.started = entry.started_at_ms
        if entry.phase is api.Phase.REMOVED:
            self._gone(entry.id)

    def _gone(self, name: str) -> None:
        self.entries.pop(name, None)
        if name in self.known and not self.known[name].in_flight:
            del self.known[name]
