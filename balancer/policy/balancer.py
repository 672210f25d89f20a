"""Every decision of one load-balancer node. Its types (settings, events, actions): balancer/interface.py.

`_choose` is Join-Up-To(m) over the index of the window, `_pick` over a few that `_draw` found where the index
does not serve: probes, the reserve, other zones, repeats bound to a group, panic. Both have the same pick and
the same idea of who is eligible. `_send` and `_finish` check the rules.
"""

import math
import random
from bisect import bisect
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from balancer import interface as api
from balancer.policy.backend_index import (
    Index,
    bounded,
    part,
    warmth,
    weight,
)
from balancer.policy.records import (
    WHOLE,
    Attempt,
    Backend,
    Class,
    Level,
    Request,
    Room,
)

TRIFLE = 0.012  # a price of no more than this part of the result does not restrict the choice of backends
SAMPLE = 3  # backends looked at in one round: the paper's lowest-estimate search, sampled
WIDE = 32  # backends that a draw without the index looks for at the most
ROUNDS = 3  # rounds before the lowest of all that was seen is taken
PATIENCE = 3.0  # a probe is overdue after this many usual round trips: the backend stands still
SPREAD = 1.5  # second moment of job sizes over the squared mean (the paper's E[G^2]), allowed for in m
FEEDERS = 5  # nodes that feed one backend (subsetting)
SUBSET_MIN = 3  # fewest backends in a node's subset
NEAR = 0.07  # the concurrency limit steers for answers that usually take this part of the tightest aim
LIMIT_GAIN = 0.015  # relative step of the limit per answer and unit of error: small, as all nodes act alike
FLOOR_RISE = 0.001  # part of an answer's time by which the least time rises again, lest one outlive its cause
RECALL = 4.0  # longest aims without an answer after which a class no longer steers the limit
EASY = 0.1  # less than this part of the time that the limit steers for counts as this part
LIMIT_LEAST = 4.0  # lowest and first limit, for each backend that falls to this node...
LIMIT_PART = 0.6  # ...or for so much of one: less would be met by the chance of a few arrivals
ROOMY = 1.6  # requests held a core, in the mean, up to which the least limit may rise while it binds
SPARE = (1.5, 3.0)  # requests held a core from which a backend is spared, and at which it gets none
HELD_MOST = 16.0  # more than any backend holds: not a crowd, but another size
EASE = (1.5, 0.1, 0.2)  # how far it may, and the parts by which it rises and falls in the longest aim
BYPASS = 3.0  # worth for its time, over the mean, from which a request does not wait for the limit
FADE = 10.0  # ramps in which the fleet's size is forgotten once it is smaller
COLD_PART = 0.5  # part of what a cold backend can take before it falls that all nodes together may send it
CHOOSY = 0.1  # share turned away from which a backend gets no more requests of high worth
EJECT_MAX = 5  # doublings of the ejection time
CHANCE = 0.001  # failures in a row that the whole fleet's share explains less often than this eject
LATE_CHANCE = 0.03  # the same of connections that did not come up: most that are out of reach show it so
FAIL_LEAST = 0.02  # and this much of it is always allowed for
REFUSED = 0.75  # of the time for a connection to come up: one that failed sooner did not only come up late
RETRY_SHARE = 0.15  # further attempts earned by each arrival (retry budget)
RETRY_BANK = 3.0  # and how many can be saved up
FIT = 0.9  # part of the expected time that must still fit before the aim, else sending is waste
RELEASE = 64  # held requests looked at in one go; what is left is by the next event, or expires
HOLD = 1.0  # usual times of its class that a request is held for room
THROTTLE = 1.4  # without looking, shedding begins once the cubed share of good sends is under one in this
SPILL = 0.1  # step of the share sent to other zones, per answer and unit of what they are better by
LOSSY = 0.05  # share of attempts without an answer from which answers are taken to get lost
GOLDEN = (math.sqrt(5) - 1) / 2  # its multiples lie evenly on a ring, whichever numbers a zone's nodes have
USUAL_LEAST = 0.001  # shortest time that a class is taken to need
EWMA = 0.1  # weight of one sample in a running mean
AWAY = (1.0, 2.0)  # usual times of its class that a refused client is told to stay away, at least and most
STALE = 60_000.0  # age at which one of memory alone is looked beyond half of the time, for one of less age
HALVES = (10_000.0, 60_000.0, 3_600_000.0)  # ms in which half fades of: the limit, slowness, usual times
LOG_EVERY = 10_000.0  # a node logs at most one line in this time
OK, FULL, TIMEOUT = (
    api.AttemptStatus.OK,
    api.AttemptStatus.REJECTED,
    api.AttemptStatus.TIMEOUT,
)  # a plain name is looked up faster
CANCELLED, MOOT, CONNECT_FAILED = (
    api.AttemptStatus.CANCELLED,
    api.AttemptStatus.NOT_STARTED,
    api.AttemptStatus.CONNECT_FAILED,
)
LOWEST, DRAWN, PANIC = (
    api.DecisionReason.LOWEST_ESTIMATE_BELOW_CAP,
    api.DecisionReason.DRAWN_AT_CAP,
    api.DecisionReason.PANIC,
)
COLD, SPILT, FIRST, HELD = (
    api.DecisionReason.SLOW_START_ADMITTED,
    api.DecisionReason.OTHER_ZONE,
    api.DecisionReason.FIRST_ATTEMPT,
    api.DecisionReason.DEQUEUED,
)
LATE, BROKE, SPENT = (
    api.DecisionReason.OBJECTIVE_UNREACHABLE,
    api.DecisionReason.RETRY_BUDGET_EXHAUSTED,
    api.DecisionReason.ATTEMPTS_EXHAUSTED,
)
ROOMLESS, NOBODY, SHED, ONCE = (
    api.DecisionReason.QUEUE_TIMEOUT,
    api.DecisionReason.NO_ELIGIBLE_BACKEND,
    api.DecisionReason.SHED_BY_SUCCESS_RATE,
    api.DecisionReason.NOT_RETRYABLE,
)
CROWDED = api.DecisionReason.BACKEND_OVERLOADED
EJECTED, PAUSED, IDLE = (
    api.BackendDecision.EJECTED,
    api.BackendDecision.PAUSED,
    api.BackendDecision.REPORTED_IDLE,
)
JOINED, LEFT, DROPPED = (
    api.BackendDecision.JOINED_SUBSET,
    api.BackendDecision.LEFT_SUBSET,
    api.BackendDecision.UNCONFIRMED_DROPPED,
)
SPOILT = frozenset({api.AttemptStatus.ERROR, api.AttemptStatus.RESET})  # failures that say nothing of load


class Balancer:
    """One node. `handle` takes an event and the clock and returns the actions.

    `literal` is for measuring, and no setting of a platform: the paper's rule to the letter with this m, and
    nothing held or shed. 0 leaves it to the node.
    """

    def __init__(self, settings: api.Settings, seed: int, literal: int = 0) -> None:
        self.cfg, self.rng, self.now, self.literal = settings, random.Random(seed), 0.0, literal
        self.acts: list[api.Action] = []
        self.why, self.cause, self.among, self.crowded = LOWEST, FIRST, 0, 0  # of the choice in the making
        self.panicked = False
        self.classes = {
            c.name: Class(c, max(USUAL_LEAST, c.latency_objective_ms / 4)) for c in settings.classes
        }
        self.longest_aim = max(c.latency_objective_ms for c in settings.classes)
        self.index = Index(settings.slow_start_duration_ms, CHOOSY)
        keyed = {
            c.deduplication_scope: None for c in settings.classes if c.idempotency is api.Idempotency.KEYED
        }
        self.index.kinds = tuple(group for group in keyed if group is not api.DeduplicationScope.ALL)
        self.width = 0  # so many of the first in the order are in the subset
        self.bad, self.spill = [0.0, 0.0], 0.0  # share gone bad near and far; share of requests sent far
        self.fleet = 0.0  # most backends listed, for long: what a warm one's share is measured by
        self.fade = max(FADE * settings.slow_start_duration_ms, 1.0)
        self.backends: dict[str, Backend] = {}
        self.requests: dict[str, Request] = {}
        self.held: dict[str, Request] = {}
        self.timers: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.token = self.out = self.asks_failed = self.arrived = self.shed = 0
        self.limit, self.least, self.bank, self.logged = LIMIT_LEAST, LIMIT_LEAST, RETRY_BANK, -LOG_EVERY
        self.rooms: dict[str, Room] = {}  # by kind
        self.began = math.inf  # when the first answer steered the limit
        self.ease, self.listed = 1.0, 0.0  # factor of the least limit; when it was last told
        self.lost = 0.0  # share of attempts that got no answer of late
        self.failing = 0.0  # share of attempts that failed of late, for want of room left out
        self.trust = 1.0  # share of sends answered within the aim; where the node looks, on an idle sign
        self.rtt = 2.0 * settings.tick_ms  # usual round trip of a probe, until probes tell
        self.floors: dict[str, float] = {}  # least time an answer takes, for each zone: no load explains it
        self.looks = (
            settings.probing_enabled
            and settings.load_report_source is not api.LoadReportSource.NONE
            and settings.prices.probe * SAMPLE <= TRIFLE
        )
        self.density = (
            sum(c.priority_weight / c.latency_objective_ms for c in settings.classes)
            * 4
            / len(settings.classes)
        )
        self.on: dict[type, Callable[[Any], None]] = {
            api.RequestArrived: self._arrival,
            api.AttemptFinished: self._outcome,
            api.ProbeFinished: self._probed,
            api.TimerFired: self._timer,
            api.EndpointsUpdated: self._list,
            api.ClientLeft: self._gone,
            api.StreamStarted: self._stream,
            api.PeerMessageReceived: lambda event: None,
            api.LearnedStateRestored: self._remembered,
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at the clock time `now` (it never goes back)."""
        if (handler := self.on.get(type(event))) is None:
            raise api.CallError(f"not an event: {event!r}")
        self.now, self.acts = now, []
        handler(event)
        if news := self.index.news:
            self.acts += [api.NoteBackendDecision(b.entry.id, what) for b, what in news]
            news.clear()
        return self.acts

    def _pick(self, pool: list[Backend], m: int) -> Backend:
        """JUT(m): the lowest estimate below m, ties at random; a random backend once all have reached m."""
        low, self.among = min(b.estimate for b in pool), len(pool)
        self.why = LOWEST if low < m else DRAWN
        if low < m:
            return self.rng.choice([b for b in pool if b.estimate == low])
        return self.rng.choices(pool, [weight(b) / (1 + b.out) for b in pool])[0]

    def _report(self, b: Backend, report: api.LoadReport | None, fresh: bool) -> None:
        """An idle sign zeroes the estimate, but for own attempts still out: a late sign knows none."""
        load = None if report is None else report.queued if report.in_flight is None else report.in_flight
        if load is not None and load < 0.5:
            if b.estimate != b.out:
                self.acts.append(api.NoteBackendDecision(b.entry.id, IDLE, b.estimate - b.out))
            b.estimate = 0 if self.literal else b.out
        elif load is not None and fresh:  # the bound is known anew: a probe is one round trip old
            b.estimate = max(b.out, round(load))

    def _cap(self, req: Request) -> int:
        """m: how many requests can stand in line and the last still meet its aim."""
        return self.literal or max(
            1, int(req.cls.cfg.latency_objective_ms / (SPREAD * max(req.cls.usual, 1e-9)))
        )

    def _choose(self, req: Request, crowd: float, m: int) -> Backend | None:
        """JUT(m) over all that are eligible in the window, off the index.

        Members crowded by this node's own count, the one figure that is not late, are left out: those with
        more out than the mean. Guards against backends that stall or crowd before a report tells.
        """
        index = self.index
        index.settle(self.now)
        cold = self._admitted(req, crowd) if index.cold and req.cold_ok else []
        req.cold_ok = False
        levels: list[tuple[int, Level]] = []
        count, total, over = len(cold), sum(b.out for b in cold) if cold else 0, 0
        # Guards requests of high worth against backends that turn away for want of what no report shows.
        for shelf in index.shelves[: 1 if req.dense else 2]:
            for out, level in shelf.items():
                if out <= crowd:
                    levels.append((out, level))
                    count += level.size
                    total += out * level.size
                else:
                    over += level.size
        # Memory alone vouches for some: one safe request at a time shows whether they are there and warm, and
        # bookings go to them where nobody else is left.
        if (kept := index.shelves[2]) and (
            (alone := not count) or req.cls.cfg.idempotency is api.Idempotency.IDEMPOTENT
        ):
            for out, level in kept.items():
                if out <= crowd and (alone or not out):
                    levels.append((out, level))
                    count += level.size
                    total += out * level.size
        if not count:
            return None
        self.why, self.among, self.crowded = LOWEST, count, over
        if (len(levels) > 1 or cold) and not self.literal:
            levels = [item for item in levels if item[0] * count <= total]
            cold = [b for b in cold if b.out * count <= total]
            left = len(cold)
            for _, level in levels:
                left += level.size
            self.among, self.crowded = left, over + count - left
        if len(levels) == 1 and not cold:
            level = levels[0][1]
            low = level.lowest()
            return self.rng.choice(level.rows[low]) if low < m else self._weighted(levels, cold)
        low = min([level.lowest() for _, level in levels] + [b.estimate for b in cold])
        if low < m:
            rows = [level.rows[low] for _, level in levels if low in level.rows]
            rows.append([b for b in cold if b.estimate == low])
        elif not self.literal:
            return self._weighted(levels, cold)
        else:
            rows = [rack for _, level in levels for rack in level.racks.values()] + [cold]
        at = self.rng.randrange(sum(map(len, rows)))
        for row in rows:
            if at < len(row):
                return row[at]
            at -= len(row)
        return None

    def _weighted(self, levels: list[tuple[int, Level]], cold: list[Backend]) -> Backend:
        """A draw by weight over one more than the own count: all have reached m.

        Racks hold weights within a factor of two, so that a draw is kept with a chance of a half at least.
        """
        self.why = DRAWN
        racks: list[tuple[list[Backend], float]] = []
        edges: list[float] = []
        edge = 0.0
        for out, level in levels:
            for mark, rack in level.racks.items():
                most = 2.0**mark
                edge += len(rack) * most / (1 + out)
                racks.append((rack, most))
                edges.append(edge)
        for b in cold:
            most = weight(b)
            edge += most / (1 + b.out)
            racks.append(([b], most))
            edges.append(edge)
        rng, last = self.rng, len(racks) - 1
        while True:
            rack, most = racks[bisect(edges, rng.random() * edge, 0, last)]
            b = rng.choice(rack)
            if rng.random() * most <= weight(b):
                return b

    def _admitted(self, req: Request, crowd: float) -> list[Backend]:
        """Slow start: cold ones are thinned out, in fractions.

        Each request considers a cold one with a chance of COLD_PART of the fall multiple times its warmth, of
        the fleet as large as it was before restarts: all nodes together keep its budget, however many.
        """
        cold, out = self.index.cold, list[Backend]()
        if (most := self._cold_chance() / self.index.size) <= 0:
            return out
        skip = math.log1p(-most) if most < 1 else -math.inf
        at = -1
        while (at := at + 1 + int(math.log(1.0 - self.rng.random()) / skip)) < len(cold):
            b = cold[at]
            if self.rng.random() * min(1.0, most) > most * self._warmth(b):
                continue
            if b.out <= crowd and not (req.dense and b.full > CHOOSY):
                out.append(b)
        return out

    def _cold_chance(self) -> float:
        """The chance of a warm one, over the number of backends that a request considers."""
        return COLD_PART * self.cfg.overload_multiple * len(self.index.order) / self.fleet

    def _draw(
        self,
        req: Request,
        count: int,
        found: Iterable[Backend],
        among: int,
        crowd: float = math.inf,
        panic: bool = False,
    ) -> list[Backend]:
        """Up to `count` eligible ones of some backends in random order; cold ones are thinned by `among`."""
        out: list[Backend] = []
        for b in found:
            if b in req.found or max(b.busy, 0.0 if panic else b.until) > self.now or b.out > crowd:
                continue
            if req.dense and b.full > CHOOSY and not panic:
                continue
            if (warm := self._warmth(b)) < 1.0:
                chance = self._cold_chance() * warm
                if not req.cold_ok or self.rng.random() * among > chance:
                    continue
            if self._legal(req, b):
                out.append(b)
            if len(out) >= count:
                break
        req.cold_ok = False
        return out

    def _some(self, count: int, start: int, stop: int, far: bool = False) -> tuple[Iterable[Backend], int]:
        """Backends of a stretch of the order, up to three times as many as are looked for, and how many."""
        order = self.index.order
        start, n = start + (self.index.home if far else 0), min(stop, len(order)) - min(start, len(order))
        most = min(n, 3 * count)
        among = min(most, count) if self.looks else most
        return (order[(at + start) % len(order)][3] for at in self._picks(n, most)), among

    def _picks(self, n: int, most: int) -> Iterable[int]:
        """Some of the first n numbers in random order, drawn only as they are asked for where n is large."""
        if n <= 2 * most:
            yield from self.rng.sample(range(n), most)
            return
        seen = set[int]()
        while len(seen) < most:
            if (at := self.rng.randrange(n)) not in seen:
                seen.add(at)
                yield at

    def _warmth(self, b: Backend) -> float:
        return warmth(
            b.entry, self.now, self.cfg.slow_start_initial_fraction, self.cfg.slow_start_duration_ms
        )

    def _legal(self, req: Request, b: Backend) -> bool:
        """May this request go to this backend without taking effect twice? One attempt is out at a time."""
        c, here = req.cls.cfg, b.entry
        for a in req.attempts:
            if a.status is None:
                return False
            if a.status in api.NO_EFFECT_STATUSES or c.idempotency is api.Idempotency.IDEMPOTENT:
                continue
            apart = (
                here.zone != a.there.zone
                if c.deduplication_scope is api.DeduplicationScope.ZONE
                else here.cell != a.there.cell
            )
            late = self.now - a.sent > c.deduplication_window_ms - 2 * self.cfg.tick_ms
            if (
                c.idempotency is api.Idempotency.NON_IDEMPOTENT
                or late
                or (apart and c.deduplication_scope is not api.DeduplicationScope.ALL)
            ):
                return False
        return True

    def _panic(
        self,
        req: Request,
        count: int,
        stop: int,
        far: bool = False,
        crowd: float = math.inf,
    ) -> list[Backend]:
        """Nothing this node feeds is eligible: its own view may be the culprit, so ejections are ignored."""
        names = min(stop, len(self.index.order))
        self._log(f"panic: {names} backends in view, none eligible, ignoring ejections")
        self.panicked = True
        return self._draw(req, count, *self._some(count, 0, stop, far), crowd, panic=True)

    def _failed(self, b: Backend, chance: float = CHANCE) -> None:
        """Outlier ejection: failures in a row that are no chance at the share that fails everywhere.

        Guards against noise that any backend alike may bring (spoilt answers, cut links, costly requests):
        with most of a sound fleet ejected, all goes to the few that are left. Could hurt where a good part
        of the fleet goes bad at once: each then takes some failures more until it is left alone.
        """
        if b.until > self.now:  # it was sent before: one cause, however many were out
            return
        b.fails += 1
        more = b.fails - math.log(chance) / math.log(min(0.5, max(FAIL_LEAST, self.failing)))
        if more > 0:
            self._eject(b, int(more))

    def _dropped(self, b: Backend, status: api.AttemptStatus) -> bool:
        """One of memory alone did not answer: gone until a source lists it anew, but for half of the list.

        That half guards a node whose own network is at fault.
        """
        if b.vouched or status is api.AttemptStatus.ERROR or 2 * len(self.index.order) <= self.fleet:
            return False
        self.acts.append(api.NoteBackendDecision(b.entry.id, DROPPED))
        self._entry(b, replace(b.entry, phase=api.Phase.REMOVED), False)
        return True

    def _eject(self, b: Backend, doublings: int) -> None:
        """Leave it alone for a time: exponential backoff with jitter.

        Guards against an ejection that outlives its cause: of many that were out when a zone was cut, each
        would double it.
        """
        if b.until > self.now:
            return
        time = self.longest_aim * 2 ** min(doublings, EJECT_MAX - 1)
        b.until = self.now + time * self.rng.uniform(0.5, 1.5)
        self.acts.append(api.NoteBackendDecision(b.entry.id, EJECTED, b.fails, b.until - self.now))

    def _arrival(self, ev: api.RequestArrived) -> None:
        if (cls := self.classes.get(ev.class_name)) is None:
            raise api.CallError(f"unknown class: {ev.class_name!r}")
        left, c, work = ev.deadline_ms - self.now, cls.cfg, ev.work_hint or 0.0
        aim = (
            c.deadline_ms
            if c.late_priority_weight > 0
            else c.latency_objective_ms + c.latency_objective_stretch * work - self._age(ev, cls, left)
        )
        useful = min(ev.deadline_ms, self.now + aim)
        density = c.priority_weight / cls.usual
        self.density += EWMA / 2 * (density - self.density)
        self.bank, self.arrived = min(RETRY_BANK, self.bank + RETRY_SHARE), self.arrived + 1
        dense = density > BYPASS * self.density or self.literal > 0
        req = Request(ev.request, cls, ev.work_hint, ev.deadline_ms, useful, dense)
        self.requests[ev.request] = req
        # What cannot meet its aim is shed at once: cheaper for all than a failure after the aim.
        if self._fits(req):
            self._route(req)
        else:
            self._finish(req, LATE)

    def _age(self, ev: api.RequestArrived, cls: Class, left: float) -> float:
        """First tries all get the same time; a retry gets what is left of the deadline, which tells its age.

        Guards against refusing every first try once one retry came with more time than first tries have, and
        where retries are marked against taking those for old whose clients only give up early.
        """
        same, marked = abs(left - cls.allowance) <= 2 * self.cfg.tick_ms, self.cfg.are_retries_marked
        if not (marked and ev.is_retry):
            cls.votes += 1 if same else -1
            if cls.votes < 0:
                cls.allowance, cls.votes, same = left, 1, True
        return 0.0 if same or (marked and not ev.is_retry) else max(0.0, cls.cfg.deadline_ms - left)

    def _fits(self, req: Request, ahead: float = 0.0) -> bool:
        """Can it still be served before its aim, after `ahead` of waiting?"""
        return self.now + FIT * ((req.hint or req.cls.usual) + ahead) < req.useful

    def _route(self, req: Request) -> None:
        passing = max(RETRY_SHARE, THROTTLE * self.trust**3)  # quiet nodes shed in fractions, by own success
        if self.looks:
            req.rounds, req.found = 0, []
            self._look(req)
        elif not (req.attempts or req.dense) and self.rng.random() > passing:
            self._finish(req, SHED)
        elif self.out + 1 <= self.limit or req.dense:
            self._dispatch(req)
        else:
            # Hold: last come first served, so that what is sent has time left. What is not sent soon never
            # is: guards against a pile of it that takes up the connections on which clients could ask anew.
            self.held[req.id] = req
            until = min(req.useful - FIT * req.cls.usual, self.now + HOLD * req.cls.usual)
            self._at(until, self._expire, req)

    def _expire(self, req: Request) -> None:
        if self.held.get(req.id) is req:
            del self.held[req.id]
            self._finish(req, ROOMLESS)

    def _release(self) -> None:
        """Some at a time: guards against one event that looks for room for thousands, and there is none."""
        for _ in range(RELEASE):
            if not self.held or self.out + 1 > self.limit:
                return
            _, req = self.held.popitem()
            if self._fits(req):
                self.cause = HELD
                self._dispatch(req)
                self.cause = FIRST
            else:
                self._finish(req, ROOMLESS)

    def _dispatch(self, req: Request) -> None:
        """Without looking: JUT over the subset, but for members crowded by this node's own count."""
        index, n = self.index, len(self.index.order)
        # Wider for a node that carries far more than its part, lest it crowd the few that fall to it.
        k = self.width if self.width > self.out else self.out
        k = (k if k < n else n) or 1
        if index.size != k and n:
            index.resize(k, self.now)
        # Own zone first, others as far as they are better by more than the price: hot or failing zones spill.
        far = self.spill > 0 and self.rng.random() < self.spill
        if req.attempts:  # a repeat stays on its side: it may be bound to the zone
            far = not self._near(req.attempts[0].there)
        far = far and 0 < index.home < n
        crowd = math.inf if req.dense else self.limit / k
        # Every node takes its part of what a backend may be given after it showed idle.
        m, count = max(1, self._cap(req) // self.cfg.node_count), min(k, WIDE)
        bound = self._bound(req) if req.attempts else []
        if bound is None:
            self._finish(req, ONCE)
            return
        pool: list[Backend] = []
        self.panicked, self.crowded = False, 0
        if bound and k > 3 * count:  # of a window this wide a draw would hardly meet them
            among = min(len(bound), 3 * count)
            some = (bound[at] for at in self._picks(len(bound), among))
            pool = self._draw(req, count, (b for b in some if b.inside or far), among, crowd) or self._draw(
                req, count, (bound[at] for at in self._picks(len(bound), among)), among
            )
        elif bound or far:
            pool = self._draw(req, count, *self._some(count, 0, k, far), crowd)
        elif (b := self._choose(req, crowd, m)) is not None:
            if not b.vouched and (age := b.entry.cached_age_ms or 0.0) > self.rng.random() * (age + STALE):
                other = self._choose(req, crowd, m) or b
                b = other if other.vouched or (other.entry.cached_age_ms or 0.0) < age else b
            if req.dense or not self._spared(b):
                self._send(req, b)
            else:
                self._finish(req, CROWDED)
            return
        pool = pool or self._draw(req, count, *self._some(count, k, 2 * k, far))
        # Guards against panic where a draw among thousands met none of the few that are eligible.
        if not pool and far and not bound and (b := self._choose(req, crowd, m)) is not None:
            self._send(req, b)
            return
        found = pool or self._panic(req, count, 2 * k, far, crowd)
        found = [
            b for b in found if b.vouched or req.cls.cfg.idempotency is api.Idempotency.IDEMPOTENT
        ] or found
        pool = [b for b in found if b.out * len(found) <= sum(x.out for x in found)]
        if not req.dense and found and not (pool := [b for b in pool if not self._spared(b)]):
            self._finish(req, CROWDED)
            return
        if pool:
            b, self.crowded = self._pick(pool, m), len(found) - len(pool)
            self.why = PANIC if self.panicked else SPILT if far and not b.near else self.why
            self._send(req, b)
        else:
            self._finish(req, NOBODY)

    def _spared(self, b: Backend) -> bool:
        """Random early detection (Floyd and Jacobson 1993) on the requests a core holds, by the live weight.

        Guards against a crowd that no node sees: a few requests out at each of 200 are a jam at a backend
        that turns slow for long once it held too many. One refusal ends it: whoever were sent on to the next
        would fill that up, too. News of it fades: guards against a list that falls silent meanwhile.
        """
        room = self.rooms.get(b.entry.kind)
        if room is None or not b.entry.weight or self.now - self.listed > self.longest_aim:
            return False
        held = room.size / bounded(b.entry.weight) - 1.0
        return SPARE[0] < held < HELD_MOST and self.rng.random() * (SPARE[1] - SPARE[0]) < held - SPARE[0]

    def _bound(self, req: Request) -> list[Backend] | None:
        """The backends that a repeat is bound to; empty: to none in particular; None: it may go nowhere."""
        c, out = req.cls.cfg, list[Backend]()
        for a in req.attempts:
            if a.status in api.NO_EFFECT_STATUSES or (
                c.idempotency is api.Idempotency.IDEMPOTENT and a.status is not None
            ):
                continue
            late = self.now - a.sent > c.deduplication_window_ms - 2 * self.cfg.tick_ms
            if a.status is None or c.idempotency is api.Idempotency.NON_IDEMPOTENT or late:
                return None
            if c.deduplication_scope is not api.DeduplicationScope.ALL:
                group = self.index.groups.get((c.deduplication_scope, part(a.there, c.deduplication_scope)))
                if group is None:
                    return None
                out = group.items
        return out

    def _look(self, req: Request) -> None:
        """Ask a few backends how they are; the request waits one round trip."""
        req.rounds, req.looks, k = req.rounds + 1, req.looks + 1, self.width
        pool = self._draw(req, SAMPLE, *self._some(SAMPLE, 0, k)) or self._draw(
            req, SAMPLE, *self._some(SAMPLE, k, 2 * k)
        )
        for b in pool or self._panic(req, SAMPLE, 2 * k):
            req.pending.add(b.entry.id)
            if b.waiting is None:
                b.waiting = []
                self.acts.append(api.SendProbe(b.entry.id))
            b.waiting.append(req)
        end = req.useful - FIT * (req.hint or req.cls.usual)  # from then on it could not be served in time
        self._at(min(end, self.now + PATIENCE * self.rtt + self.cfg.tick_ms), self._overdue, (req, req.looks))
        if not req.pending:
            self._settle(req)

    def _overdue(self, what: tuple[Request, int]) -> None:
        """Probes not back in the usual time, if the request has as much: the backend stands still."""
        (req, look), known = what, self.backends
        if req.looks == look and req.pending:
            for b in [known[name] for name in sorted(req.pending & known.keys()) if self._fits(req)]:
                b.until = max(b.until, self.now + req.cls.usual * self.rng.uniform(0.5, 1.5))
                self.acts.append(api.NoteBackendDecision(b.entry.id, PAUSED, 0, b.until - self.now))
            self._settle(req)

    def _probed(self, ev: api.ProbeFinished) -> None:
        if (b := self.backends.get(ev.backend)) is None:
            return  # gone meanwhile; what waits for it is overdue before long
        waiting, b.waiting = b.waiting or [], None
        if ev.status is OK:
            self.rtt += EWMA * (ev.duration_ms - self.rtt)
            self._report(b, ev.load_report, True)
            b.until, b.vouched = min(b.until, self.now), True
            self._place(b)
        elif not self._dropped(b, ev.status):
            b.fails += 1
            self._eject(b, b.fails - 1)
        for req in waiting:
            if ev.backend in req.pending:
                req.pending.discard(ev.backend)
                if ev.status is OK:
                    req.found.append(b)
                # Guards against reports that freeze: an idle sign is believed as often as such sends succeed.
                if b.estimate == 0 and self.rng.random() > self.trust:
                    b.estimate = self._cap(req)
                if not req.pending or (req.found and b.estimate == 0):
                    self._settle(req)

    def _settle(self, req: Request) -> None:
        """All that was asked has answered, or an idle backend has: decide."""
        req.pending = set()
        pool = [b for b in req.found if b.entry.phase is api.Phase.UP and self._legal(req, b)]
        low, m = min((b.estimate for b in pool), default=math.inf), self._cap(req)
        if low > 0 and req.rounds < ROUNDS and self._fits(req):
            self._look(req)
        elif low < m and self._fits(req, max(0.0, low - 0.5) * req.cls.usual):
            self.crowded = 0
            self._send(req, self._pick(pool, m))
        else:
            self._finish(req, NOBODY if not pool else ROOMLESS if low >= m else LATE)

    def _send(self, req: Request, b: Backend) -> None:
        """The one place where an attempt is made: drains, repeats, closed requests and limits end here."""
        if (
            req.over
            or req.stream
            or b.entry.phase is not api.Phase.UP
            or not self._legal(req, b)
            or len(req.attempts) >= self.cfg.max_attempts
            or self.now >= req.deadline
        ):
            self._finish(
                req,
                NOBODY
                if b.entry.phase is not api.Phase.UP
                else SPENT
                if len(req.attempts) >= self.cfg.max_attempts
                else LATE
                if self.now >= req.deadline
                else ONCE,
            )
            return
        why, cause = self.why, self.cause
        if b.level is None and why is not PANIC and self._warmth(b) < 1.0:
            why = COLD
        if req.attempts:
            cause = api.RETRY_REASONS.get(req.attempts[-1].status, cause)
        req.attempts.append(Attempt(b, b.entry, self.now, b.estimate == 0 or not self.looks))
        req.out, b.out, self.out, b.estimate = req.out + 1, b.out + 1, self.out + 1, b.estimate + 1
        self.index.count(b)
        # An answer after the aim is worth nothing: give up just before, so that the failure is not late.
        c, left, tick = req.cls.cfg, req.useful - self.now, self.cfg.tick_ms
        stop = max(tick, left - 2 * tick) if req.useful < req.deadline else 0.0
        # Guards against answers that get lost: one that may come late is asked for again while it has worth.
        if (
            self.lost > LOSSY
            and c.late_priority_weight > 0
            and c.idempotency is not api.Idempotency.NON_IDEMPOTENT
        ):
            cut = max(c.latency_objective_ms / 2, req.cls.usual + 4 * req.cls.dev)
            if cut + req.cls.usual < left:
                stop, req.attempts[-1].cut = cut, True
        end = self._window(req)
        self.acts.append(api.SendAttempt(req.id, b.entry.id, stop, why, cause, self.among, self.crowded, end))

    def _window(self, req: Request) -> float:
        """Until when a keyed request may be written once more, as its connection may come up late."""
        c, ran = (
            req.cls.cfg,
            [a.sent for a in req.attempts if a.status not in (None, *api.NO_EFFECT_STATUSES)],
        )
        keyed = ran and c.idempotency is api.Idempotency.KEYED
        return min(ran) + c.deduplication_window_ms - 2 * self.cfg.tick_ms if keyed else math.inf

    def _outcome(self, ev: api.AttemptFinished) -> None:
        req = self.requests.get(ev.request)
        if req is None or ev.attempt >= len(req.attempts) or req.attempts[ev.attempt].status is not None:
            return
        attempt = req.attempts[ev.attempt]
        attempt.status, b = ev.status, attempt.backend
        req.out, b.out, self.out = req.out - 1, b.out - 1, self.out - 1
        if ev.status is OK:  # who turns away or fails and calls itself idle is not believed
            self._report(b, ev.load_report, False)
        if ev.status not in (CANCELLED, MOOT):  # these tell nothing of the backend
            self._learn(req, attempt, ev)
            if ev.status not in SPOILT:
                self._steer(req.cls, ev, b.entry.zone)
        self._place(b)
        if not b.out and b.entry.phase is api.Phase.REMOVED and self.backends.get(b.entry.id) is b:
            del self.backends[b.entry.id]
        if ev.is_request_closed or req.over:
            self._close(req)
        else:
            self._again(req)
        self._release()

    def _learn(self, req: Request, attempt: Attempt, ev: api.AttemptFinished) -> None:
        b, cls = attempt.backend, req.cls
        b.full += EWMA * ((ev.status is FULL) - b.full)
        if ev.status is not FULL:
            self.failing += EWMA / 4 * ((ev.status is not OK) - self.failing)
        if attempt.fair and ev.status in (OK, FULL, TIMEOUT):
            good = ev.status is OK and ev.duration_ms <= cls.cfg.latency_objective_ms
            self.lost += EWMA * ((ev.status is TIMEOUT) - self.lost)
            # A backend without room says nothing of the next one, an answer lost nothing of the load.
            if good or self.looks or not (attempt.cut or ev.status is FULL):
                self.trust += EWMA * (1 + self.looks) * (good - self.trust)
            b.slow += EWMA * ((ev.duration_ms if good else cls.cfg.latency_objective_ms) / cls.usual - b.slow)
            far = not b.near
            self.bad[far] += EWMA * (1 - good - self.bad[far])
            gain = SPILL * (self.bad[0] - self.bad[1] - self.cfg.prices.cross_zone)
            self.spill = max(0.0, min(1.0, self.spill + gain))
        if ev.status is OK:
            b.fails, b.vouched = 0, True
            if attempt.fair:
                cls.dev += EWMA * (abs(ev.duration_ms - cls.usual) - cls.dev)
                # Guards against a division by nothing after thousands of answers that took no time.
                cls.usual = max(USUAL_LEAST, cls.usual + EWMA * (ev.duration_ms - cls.usual))
        elif ev.status is FULL:
            b.busy = self.now + cls.usual * self.rng.uniform(0.5, 1.5)
            self.acts.append(api.NoteBackendDecision(b.entry.id, PAUSED, 0, b.busy - self.now))
        elif attempt.cut or not self._dropped(b, ev.status):
            self._failed(b, LATE_CHANCE if ev.status is CONNECT_FAILED else CHANCE)
            if ev.status is CONNECT_FAILED:
                # Those that only come up late eject where that is no chance: guards against leaving most of a
                # fleet alone where connections are slow. One that was refused, or broke, tells it by itself.
                if ev.duration_ms < REFUSED * self.cfg.connect_timeout_ms:
                    self._eject(b, b.fails - 1)
                b.busy = max(b.busy, b.until)

    def _steer(self, cls: Class, ev: api.AttemptFinished, zone: str) -> None:
        """The concurrency limit: in proportion to how near answers are to the tightest aim.

        Guards against crowding a fleet until it turns slow, which takes far longer to undo. It rises only
        while it binds: quiet nodes whose limit floats up would flood the fleet when a burst comes.
        The way there and back is left out: guards against a limit that aims near the round trip keep down.
        """
        aim, took = cls.cfg.latency_objective_ms, cls.cfg.latency_objective_ms
        floor = self.floors.get(zone, aim / 2)
        if ev.status is OK:
            took = ev.duration_ms
            floor = self.floors[zone] = min(took, floor + FLOOR_RISE * took)
        floor = min(floor, aim / 2)
        late = (took - floor) / (NEAR * (aim - floor))
        # Only classes in use have a say, and one that comes back starts anew: guards against a class that
        # nobody asks for, or that was slow and fell silent, and holds the limit down for good. At first all
        # have one: a limit that rises before each class has shown slack crowds a fleet that is in trouble.
        since, self.began = self.now - RECALL * self.longest_aim, min(self.began, self.now)
        if cls.heard < since:
            cls.strain = 0.0
        cls.heard = self.now
        cls.strain += EWMA / 2 * (math.log(max(late, EASY)) - cls.strain)
        excess, all_heard = cls.strain, self.began >= since
        for c in self.classes.values():
            if c.strain > excess and (all_heard or c.heard >= since):
                excess = c.strain
        if excess > 0 or self.out + 2 > self.limit:  # it bound until this answer
            self.limit *= 1 - LIMIT_GAIN * max(-1.0, min(1.0, excess))
        self.limit = max(self.limit, self.least)

    def _again(self, req: Request) -> None:
        """The attempt failed: try elsewhere while that can meet the aim and the retry budget lasts."""
        cost = 0.0 if req.attempts[-1].cut else 1.0  # a lost answer is no sign of load
        may = self.bank >= cost and len(req.attempts) < self.cfg.max_attempts and self._fits(req)
        self.bank -= cost * may
        if may:
            self._route(req)
        else:
            spent = len(req.attempts) >= self.cfg.max_attempts
            self._finish(req, SPENT if spent else BROKE if self.bank < cost else LATE)

    def _finish(self, req: Request, why: api.DecisionReason) -> None:
        """The one place where a final answer is given: a refusal only while a repeat does no harm."""
        if req.over or req.stream:
            return
        c = req.cls.cfg
        harmless = (
            c.idempotency is api.Idempotency.IDEMPOTENT
            or all(a.status in api.NO_EFFECT_STATUSES for a in req.attempts)
            or (
                c.idempotency is api.Idempotency.KEYED and c.deduplication_scope is api.DeduplicationScope.ALL
            )
        )
        away = self.cfg.max_retry_after_ms
        if harmless and away > 0:  # until there is room; guards against clients that come back in step
            away = min(away, req.cls.usual * self.rng.uniform(*AWAY))
        self.acts.append(api.RejectRequest(req.id, away, why) if harmless else api.FailRequest(req.id, why))
        self.shed += 1
        if self.arrived >= 50 and self.shed > self.arrived / 4:  # worth a line to the people on call
            self._log(f"shedding: {self.shed} of {self.arrived} requests refused or failed")
        self._close(req)

    def _close(self, req: Request) -> None:
        """Nothing more is sent for it; an attempt still out is called off."""
        req.over, req.pending = True, set()
        self.held.pop(req.id, None)  # no room is looked for, and none missed, for a client that has left
        if req.out and self.cfg.may_cancel and not req.stream:
            self.acts.append(api.CancelAttempt(req.id, len(req.attempts) - 1))
        if not req.out:
            self.requests.pop(req.id, None)

    def _gone(self, ev: api.ClientLeft) -> None:
        if (req := self.requests.get(ev.request)) is not None and not req.over:
            self._close(req)

    def _stream(self, ev: api.StreamStarted) -> None:
        if ev.request in self.requests:
            self.requests[ev.request].stream = True

    def _at(self, when: float, call: Callable[[Any], None], what: Any) -> None:
        self.token += 1
        self.timers[self.token] = (call, what)
        self.acts.append(api.SetTimer(when, self.token))

    def _timer(self, ev: api.TimerFired) -> None:
        call, what = self.timers.pop(ev.token, (lambda _: None, None))
        call(what)

    @property
    def order(self) -> list[str]:
        """This node's own order of the list."""
        return [name for _, _, name, _ in self.index.order]

    def _log(self, text: str) -> None:
        if self.now - self.logged >= LOG_EVERY:
            self.logged, self.arrived, self.shed = self.now, 0, 0
            self.acts.append(api.WriteLog(text))

    def _place(self, b: Backend) -> None:
        """Something that a choice goes by has changed: keep the index true, and the sums of live weights."""
        if not self.looks:
            self.index.place(b, self.now)
        if b.tally is not None and (b.full > CHOOSY) is not (b.tally[1] < 0):
            self._tally(b)

    def _list(self, ev: api.EndpointsUpdated) -> None:
        if ev.kind is api.EndpointUpdateKind.FAILED:  # back off with jitter; the last list stays in force
            self.asks_failed = min(self.asks_failed + 1, EJECT_MAX)
            wait = self.cfg.poll_within_ms / 32 * 2**self.asks_failed * self.rng.uniform(0.5, 1.5)
            self._at(self.now + wait, self._ask, None)
            self._log(f"list: call failed {self.asks_failed} times, asking again in {wait / 1000:.1f} s")
            return
        self.asks_failed = 0
        if ev.kind is api.EndpointUpdateKind.CACHED and self.cfg.must_poll:
            self._at(self.now + self.rng.uniform(0.0, self.cfg.poll_within_ms / 2), self._ask, None)
        first = not self.index.order
        if ev.kind is not api.EndpointUpdateKind.INCREMENTAL:
            gone = self.backends.keys() - {e.id for e in ev.endpoints}
            for b in [self.backends[name] for name in sorted(gone)]:
                self._entry(b, replace(b.entry, phase=api.Phase.REMOVED), first)
        for entry in ev.endpoints:
            if (known := self.backends.get(entry.id)) is None and entry.phase is not api.Phase.REMOVED:
                known = self.backends[entry.id] = Backend(entry, vouched=entry.cached_age_ms is None)
            if known is not None:
                self._entry(known, entry, first)
        if first:
            self._lay()
        n, was = len(self.index.order), 0 if first else self.width
        # The size that shares are measured by shrinks too, slowly: guards new backends against getting less
        # than they can do for good after a fleet was made smaller.
        if self.fleet > n:
            self.fleet -= (self.fleet - n) * min(1.0, (self.now - self.listed) / self.fade)
        self.fleet = max(self.fleet, n)
        if self.cfg.has_live_weights and n:
            self._relax()
        self.listed = self.now
        # Small subsets keep connections few and own counts telling.
        # Where the node looks: more than a request looks at would only fill the backends' connection tables.
        subset = max(SUBSET_MIN, math.ceil(FEEDERS * n / self.cfg.node_count))
        self.width = min(n, SAMPLE * ROUNDS if self.looks else subset)
        if first and n:
            self.acts.append(api.NoteBackendDecision("", JOINED, self.width))
        else:
            self._subset(was, self.width)
        self.least = LIMIT_LEAST * max(LIMIT_PART, n / self.cfg.node_count) * self.ease
        self.index.resize(0 if self.looks else max(self.width, self.out), self.now)

    def _entry(self, b: Backend, entry: api.Endpoint, first: bool) -> None:
        """What the list says of one backend. The first ones wait until all are there to be laid out."""
        was, up = b.entry.phase is api.Phase.UP and b.listed, entry.phase is api.Phase.UP
        if entry.started_at_ms > b.entry.started_at_ms:  # restarted: what was known is void
            b.estimate, b.fails, b.until, b.slow = b.out, 0, 0.0, 1.0
        moved = entry.zone != b.entry.zone or entry.cell != b.entry.cell
        if was and (not up or moved):
            if (at := self.index.remove(b, self.now)) < self.width:
                self.acts.append(api.NoteBackendDecision(entry.id, LEFT))
                self._subset(self.width - 1, self.width)
            b.listed = False
        b.entry, b.near, b.vouched = entry, self._near(entry), b.vouched or entry.cached_age_ms is None
        if up and not b.listed:
            if not moved or not was:
                b.rank = self.rng.random()
            if not first:
                b.listed = True
                if (at := self.index.insert(b, self.now)) < self.width:
                    self._subset(self.width + 1, self.width, at)
        elif up:
            self._place(b)
        self._tally(b)
        if entry.phase is api.Phase.REMOVED and not b.out:
            # Guards against a table that grows for as long as backends are replaced under new names.
            self.backends.pop(entry.id, None)

    def _subset(self, was: int, now: int, at: int = -1) -> None:
        """Tell who joined or left, as the subset went from so many of the first in the order to so many.

        `at` is the place of one that came in between.
        """
        order = self.index.order
        if at >= 0:
            self.acts.append(api.NoteBackendDecision(order[at][2], JOINED))
        for name, what in [(e[2], JOINED) for e in order[was:now]] + [(e[2], LEFT) for e in order[now:was]]:
            self.acts.append(api.NoteBackendDecision(name, what))

    def _lay(self) -> None:
        """The first list: this node's own order of it, the first `width` the subset, the next its reserve.

        Subsets start evenly laid over the nodes; changes move few.
        """
        found = sorted(
            (b for b in self.backends.values() if b.entry.phase is api.Phase.UP),
            key=lambda b: b.entry.id,
        )
        if not found:
            return
        n, near = len(found), [b for b in found if b.near] or found
        k = min(n, max(SUBSET_MIN, math.ceil(FEEDERS * n / self.cfg.node_count)))
        turn = self.cfg.node_index * GOLDEN % 1.0
        # One out of each stretch, not the same in all: by steps of two, all nodes might feed one half alone.
        parts = min(k, len(near))
        places = [(j + (turn + j * GOLDEN) % 1.0) / parts for j in range(parts)]
        even = [near[int(at * len(near)) % len(near)] for at in places]
        chosen = {b.entry.id for b in even}
        rest = [b for b in found if b.entry.id not in chosen]
        order = list({b.entry.id: b for b in even}.values()) + self.rng.sample(rest, len(rest))
        for at, b in enumerate(order):
            b.rank, b.listed = (at + 0.5) / n, True
            self.index.insert(b, self.now)
        self.spill = 1.0 - len(near) / n

    def _tally(self, b: Backend) -> None:
        """Keep the sums by kind that live weights tell of room by.

        One that turns away is left out: what it turns away is no room.
        """
        if not self.cfg.has_live_weights:
            return
        if b.tally is not None and b.tally[1] >= 0:
            room = self.rooms[b.tally[0]]
            room.count -= 1
            room.inverses -= b.tally[1]
            room.weighted -= b.tally[1] > 0
        b.tally = None
        if b.entry.phase is not api.Phase.UP:
            return
        entry, told = b.entry, -1
        room = self.rooms.setdefault(entry.kind, Room())
        room.size = max(room.size, bounded(entry.weight))
        if b.full <= CHOOSY:
            told = round(WHOLE / bounded(entry.weight)) if entry.weight else 0
            room.count += 1
            room.inverses += told
            room.weighted += told > 0
        b.tally = entry.kind, told

    def _relax(self) -> None:
        """Live weights tell how many requests each core holds: let the least limit rise while that is few.

        Guards against shedding where the aims are too tight for answers' times to tell load from a backend's
        own time to serve. Could hurt where weights are late by more than a burst takes to crowd a fleet, or
        where discovery falls silent after a rise: it stays until the next list.
        """
        count = sum(room.count for room in self.rooms.values())
        held = sum(room.size * room.inverses / WHOLE - room.weighted for room in self.rooms.values())
        most, rise, fall = EASE
        part = min(1.0, (self.now - self.listed) / self.longest_aim)
        if held > ROOMY * count:
            self.ease = max(1.0, self.ease * (1 - fall * part))
        elif self.held or self.out + 2 > self.limit:
            self.ease = min(most, self.ease * (1 + rise * part))

    def learned(self, now: float) -> api.LearnedState:
        """What is worth keeping over a restart; `Remembered` brings it back."""
        times = {name: (cls.usual, cls.dev) for name, cls in self.classes.items()}
        slow = {name: b.slow for name, b in self.backends.items() if not 1 - EWMA < b.slow < 1 + EWMA}
        away = {name: b.until - now for name, b in self.backends.items() if now < b.until}
        return api.LearnedState(times, self.limit, slow, away)

    def _remembered(self, ev: api.LearnedStateRestored) -> None:
        """It fades towards what a first start has; ejections end when they would have. Before any answer."""
        kept, age, most = ev.state, max(0.0, ev.age_ms), self.longest_aim * 2**EJECT_MAX
        fast, slowly, late = (0.5 ** min(64.0, age / half) for half in HALVES)
        self.limit += fast * (
            min(self.cfg.max_open_requests, max(self.least, kept.concurrency_limit)) - self.limit
        )
        for cls in [self.classes[name] for name in kept.expected_latency_ms if name in self.classes]:
            usual, dev = (
                min(cls.cfg.latency_objective_ms / 2, max(USUAL_LEAST, ms))
                for ms in kept.expected_latency_ms[cls.cfg.name]
            )
            cls.usual, cls.dev = cls.usual + late * (usual - cls.usual), late * dev
        for name, b in [
            (n, b) for n, b in self.backends.items() if n in kept.slowness or n in kept.ejection_left_ms
        ]:
            b.slow = 1.0 + slowly * (min(100.0, max(0.01, kept.slowness.get(name, 1.0))) - 1.0)
            b.until = self.now + min(most, max(0.0, kept.ejection_left_ms.get(name, 0.0) - age))
            self._place(b)

    def _ask(self, _: None) -> None:
        self.acts.append(api.SubscribeToEndpoints())

    def _near(self, entry: api.Endpoint) -> bool:
        return self.cfg.prices.cross_zone <= TRIFLE or entry.zone == self.cfg.zone
