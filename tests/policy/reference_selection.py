"""The choice of a backend, plain and slow: what balancer/policy/backend_index.py has to come to after any
events.

Every function looks at all there is and keeps nothing. Random draws are the caller's: the cold backends that
were admitted are an argument, and where a draw is left the answer is every backend's chance.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from balancer import interface as api
from balancer.policy.records import HIGH_REJECTION_RATE, Backend


class Place(Enum):
    """Where a backend in the window stands."""

    READY = "ready"
    COLD = "cold"
    AWAY = "away"


def order(known: Iterable[Backend]) -> list[Backend]:
    """A node's own order: those that are up, near ones first, then by rank."""
    up = [b for b in known if b.endpoint.phase is api.Phase.UP]
    return sorted(up, key=lambda b: (not b.is_local, b.rank, b.endpoint.id))


def window(known: Iterable[Backend], width: int, out: int) -> list[Backend]:
    """The first of the order: the subset, or more where more requests are out than that."""
    listed = order(known)
    return listed[: max(1, min(len(listed), max(width, out)))]


def warmth(b: Backend, now: float, cold_share: float, ramp_time: float) -> float:
    """The part of its capacity that a backend surely has."""
    age = now - b.endpoint.started_at_ms
    if b.endpoint.started_at_ms == 0 or ramp_time == 0 or age >= ramp_time:
        return 1.0
    return cold_share + (1 - cold_share) * max(age, 0.0) / ramp_time


def place(b: Backend, now: float, cfg: api.Settings) -> Place:
    """Ejected or busy; else cold; else ready."""
    if b.ejected_until_ms > now or b.paused_until_ms > now:
        return Place.AWAY
    return (
        Place.COLD
        if warmth(b, now, cfg.slow_start_initial_fraction, cfg.slow_start_duration_ms) < 1
        else Place.READY
    )


def eligible(
    members: Iterable[Backend],
    now: float,
    cfg: api.Settings,
    crowd: float,
    dense: bool,
    admitted: Collection[Backend],
) -> list[Backend]:
    """Those of a window that a request may go to; cold ones only where the draw has admitted them."""
    out = []
    for b in members:
        where = place(b, now, cfg)
        if where is Place.AWAY or (where is Place.COLD and b not in admitted):
            continue
        if b.in_flight <= crowd and not (dense and b.rejection_rate > HIGH_REJECTION_RATE):
            out.append(b)
    return out


def bounded(weight: float) -> float:
    """Weights are reckoned with from a millionth to a trillion."""
    return min(max(weight, 1e-6), 1e12)


def chances(pool: Sequence[Backend], m: int) -> dict[str, float]:
    """JUT(m) among those eligible: who may be taken, and how likely."""
    pool = [b for b in pool if b.in_flight <= sum(x.in_flight for x in pool) / len(pool) + 1e-9]
    low = min((b.queue_estimate for b in pool), default=0)
    if low < m:
        parts = {b.endpoint.id: float(b.queue_estimate == low) for b in pool}
    else:
        parts = {
            b.endpoint.id: (bounded(b.endpoint.weight) / b.slowness) ** 2 / (1 + b.in_flight) for b in pool
        }
    return {name: part / sum(parts.values()) for name, part in parts.items() if part > 0}


def admission(size: int, up: int, fleet: float, warm: float, part: float) -> float:
    """The chance that a request considers one cold backend of a window of this size."""
    return min(1.0, part * warm * up / fleet / size)


@dataclass
class Sums:
    """What live weights tell, over all that are up and have room."""

    count: int
    held: float


def sums(known: Iterable[Backend], largest: dict[str, float]) -> Sums:
    """Requests held, as the weights tell them; `largest` is the largest weight seen of each kind."""
    having_room = [
        b for b in known if b.endpoint.phase is api.Phase.UP and b.rejection_rate <= HIGH_REJECTION_RATE
    ]
    held = [
        largest[b.endpoint.kind] / bounded(b.endpoint.weight) - 1 for b in having_room if b.endpoint.weight
    ]
    return Sums(len(having_room), math.fsum(held))


@dataclass
class Count:
    """The counts of one backend."""

    out: int = 0
    estimate: int = 0
    started: float = math.inf  # as listed; a backend that is new has nothing to reset


class Counts:
    """The counts of each backend, out of nothing but the events and what was sent."""

    def __init__(self) -> None:
        self.known: dict[str, Count] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.sent: dict[str, list[str | None]] = {}  # for each request its attempts; None: over

    def event(self, ev: api.Event) -> None:
        """Take note of what the node was told."""
        if isinstance(ev, api.RequestArrived):
            self.sent[ev.request] = []
        elif isinstance(ev, api.EndpointsUpdated) and ev.kind is not api.EndpointUpdateKind.FAILED:
            named = {e.id for e in ev.endpoints}
            for old in [
                n
                for n in self.entries
                if n not in named and ev.kind is not api.EndpointUpdateKind.INCREMENTAL
            ]:
                self._gone(old)
            for entry in ev.endpoints:
                self._entry(entry)
        elif isinstance(ev, api.AttemptFinished):
            name = self.sent[ev.request][ev.attempt]
            assert name is not None
            self.sent[ev.request][ev.attempt] = None
            count = self.known[name]
            count.out -= 1
            told = ev.load_report or api.LoadReport()
            load = told.queued if told.in_flight is None else told.in_flight
            if ev.status is api.AttemptStatus.OK and load is not None and load < 0.5:
                count.estimate = count.out
            if name not in self.entries and not count.out:
                del self.known[name]

    def actions(self, acts: Iterable[api.Action]) -> None:
        """Take note of what was sent."""
        for act in acts:
            if isinstance(act, api.SendAttempt):
                self.sent[act.request].append(act.backend)
                self.known[act.backend].out += 1
                self.known[act.backend].estimate += 1

    def _entry(self, entry: api.Endpoint) -> None:
        if entry.phase is not api.Phase.REMOVED:
            self.known.setdefault(entry.id, Count())
            self.entries[entry.id] = entry
        if (count := self.known.get(entry.id)) is not None:
            if entry.started_at_ms > count.started:
                count.estimate = count.out  # restarted: what was sent before is no part of it
            count.started = entry.started_at_ms
        if entry.phase is api.Phase.REMOVED:
            self._gone(entry.id)

    def _gone(self, name: str) -> None:
        self.entries.pop(name, None)
        if name in self.known and not self.known[name].out:
            del self.known[name]
