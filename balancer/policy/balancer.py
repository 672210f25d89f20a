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
    BackendIndex,
    bounded_weight,
    deduplication_group,
    draw_weight,
    slow_start_fraction,
)
from balancer.policy.records import (
    INVERSE_WEIGHT_UNIT,
    Attempt,
    Backend,
    Capacity,
    ClassState,
    Level,
    Request,
)

NEGLIGIBLE_PRICE = (
    0.012  # a price of no more than this part of the result does not restrict the choice of backends
)
PROBES_PER_ROUND = 3  # backends looked at in one round: the paper's lowest-estimate search, sampled
MAX_DRAWN_BACKENDS = 32  # backends that a draw without the index looks for at the most
MAX_PROBE_ROUNDS = 3  # rounds before the lowest of all that was seen is taken
PROBE_TIMEOUT_ROUND_TRIPS = (
    3.0  # a probe is overdue after this many usual round trips: the backend stands still
)
JOB_SIZE_SECOND_MOMENT = (
    1.5  # second moment of job sizes over the squared mean (the paper's E[G^2]), allowed for in m
)
NODES_PER_BACKEND = 5  # nodes that feed one backend (subsetting)
MIN_SUBSET_SIZE = 3  # fewest backends in a node's subset
TARGET_LATENCY_FRACTION = (
    0.07  # the concurrency limit steers for answers that usually take this part of the tightest aim
)
LIMIT_GAIN = 0.015  # relative step of the limit per answer and unit of error: small, as all nodes act alike
LATENCY_FLOOR_RISE = (
    0.001  # part of an answer's time by which the least time rises again, lest one outlive its cause
)
CLASS_MEMORY_OBJECTIVES = 4.0  # longest aims without an answer after which a class no longer steers the limit
MIN_LATENCY_RATIO = 0.1  # less than this part of the time that the limit steers for counts as this part
MIN_LIMIT_PER_BACKEND = 4.0  # lowest and first limit, for each backend that falls to this node...
MIN_BACKENDS_PER_NODE = 0.6  # ...or for so much of one: less would be met by the chance of a few arrivals
RELAXATION_REQUESTS_PER_CORE = (
    1.6  # requests held a core, in the mean, up to which the least limit may rise while it binds
)
OVERLOAD_REQUESTS_PER_CORE = (
    1.5,
    3.0,
)  # requests held a core from which a backend is spared, and at which it gets none
MAX_PLAUSIBLE_REQUESTS_PER_CORE = 16.0  # more than any backend holds: not a crowd, but another size
LIMIT_RELAXATION = (
    1.5,
    0.1,
    0.2,
)  # how far it may, and the parts by which it rises and falls in the longest aim
HIGH_PRIORITY_DENSITY_RATIO = (
    3.0  # worth for its time, over the mean, from which a request does not wait for the limit
)
FLEET_SIZE_DECAY_SLOW_STARTS = 10.0  # ramps in which the fleet's size is forgotten once it is smaller
SLOW_START_LOAD_FRACTION = (
    0.5  # part of what a cold backend can take before it falls that all nodes together may send it
)
HIGH_REJECTION_RATE = 0.1  # share turned away from which a backend gets no more requests of high worth
MAX_EJECTION_DOUBLINGS = 5  # doublings of the ejection time
EJECTION_SIGNIFICANCE = (
    0.001  # failures in a row that the whole fleet's share explains less often than this eject
)
CONNECT_EJECTION_SIGNIFICANCE = (
    0.03  # the same of connections that did not come up: most that are out of reach show it so
)
MIN_FAILURE_RATE = 0.02  # and this much of it is always allowed for
REFUSED_CONNECT_FRACTION = (
    0.75  # of the time for a connection to come up: one that failed sooner did not only come up late
)
RETRY_BUDGET_RATIO = 0.15  # further attempts earned by each arrival (retry budget)
MAX_RETRY_TOKENS = 3.0  # and how many can be saved up
REQUIRED_LATENCY_FRACTION = (
    0.9  # part of the expected time that must still fit before the aim, else sending is waste
)
MAX_DEQUEUED_PER_EVENT = (
    64  # held requests looked at in one go; what is left is by the next event, or expires
)
MAX_QUEUE_TIME_LATENCIES = 1.0  # usual times of its class that a request is held for room
ADAPTIVE_THROTTLING_FACTOR = (
    1.4  # without looking, shedding begins once the cubed share of good sends is under one in this
)
SPILLOVER_GAIN = 0.1  # step of the share sent to other zones, per answer and unit of what they are better by
HIGH_LOST_RESPONSE_RATE = 0.05  # share of attempts without an answer from which answers are taken to get lost
GOLDEN_RATIO_FRACTION = (
    math.sqrt(5) - 1
) / 2  # its multiples lie evenly on a ring, whichever numbers a zone's nodes have
MIN_EXPECTED_LATENCY_MS = 0.001  # shortest time that a class is taken to need
EWMA_WEIGHT = 0.1  # weight of one sample in a running mean
RETRY_AFTER_LATENCIES = (
    1.0,
    2.0,
)  # usual times of its class that a refused client is told to stay away, at least and most
CACHED_AGE_SCALE_MS = (
    60_000.0  # age at which one of memory alone is looked beyond half of the time, for one of less age
)
LEARNED_STATE_HALF_LIVES_MS = (
    10_000.0,
    60_000.0,
    3_600_000.0,
)  # ms in which half fades of: the limit, slowness, usual times
LOG_INTERVAL_MS = 10_000.0  # a node logs at most one line in this time
OK, REJECTED, TIMEOUT = (
    api.AttemptStatus.OK,
    api.AttemptStatus.REJECTED,
    api.AttemptStatus.TIMEOUT,
)  # a plain name is looked up faster
CANCELLED, NOT_STARTED, CONNECT_FAILED = (
    api.AttemptStatus.CANCELLED,
    api.AttemptStatus.NOT_STARTED,
    api.AttemptStatus.CONNECT_FAILED,
)
LOWEST_ESTIMATE_BELOW_CAP, DRAWN_AT_CAP, PANIC = (
    api.DecisionReason.LOWEST_ESTIMATE_BELOW_CAP,
    api.DecisionReason.DRAWN_AT_CAP,
    api.DecisionReason.PANIC,
)
SLOW_START_ADMITTED, OTHER_ZONE, FIRST_ATTEMPT, DEQUEUED = (
    api.DecisionReason.SLOW_START_ADMITTED,
    api.DecisionReason.OTHER_ZONE,
    api.DecisionReason.FIRST_ATTEMPT,
    api.DecisionReason.DEQUEUED,
)
OBJECTIVE_UNREACHABLE, RETRY_BUDGET_EXHAUSTED, ATTEMPTS_EXHAUSTED = (
    api.DecisionReason.OBJECTIVE_UNREACHABLE,
    api.DecisionReason.RETRY_BUDGET_EXHAUSTED,
    api.DecisionReason.ATTEMPTS_EXHAUSTED,
)
QUEUE_TIMEOUT, NO_ELIGIBLE_BACKEND, SHED_BY_SUCCESS_RATE, NOT_RETRYABLE = (
    api.DecisionReason.QUEUE_TIMEOUT,
    api.DecisionReason.NO_ELIGIBLE_BACKEND,
    api.DecisionReason.SHED_BY_SUCCESS_RATE,
    api.DecisionReason.NOT_RETRYABLE,
)
BACKEND_OVERLOADED = api.DecisionReason.BACKEND_OVERLOADED
EJECTED, PAUSED, REPORTED_IDLE = (
    api.BackendDecision.EJECTED,
    api.BackendDecision.PAUSED,
    api.BackendDecision.REPORTED_IDLE,
)
JOINED_SUBSET, LEFT_SUBSET, UNCONFIRMED_DROPPED = (
    api.BackendDecision.JOINED_SUBSET,
    api.BackendDecision.LEFT_SUBSET,
    api.BackendDecision.UNCONFIRMED_DROPPED,
)
LOAD_INDEPENDENT_FAILURES = frozenset(
    {api.AttemptStatus.ERROR, api.AttemptStatus.RESET}
)  # failures that say nothing of load


class Balancer:
    """One node. `handle` takes an event and the clock and returns the actions.

    `literal` is for measuring, and no setting of a platform: the paper's rule to the letter with this m, and
    nothing held or shed. 0 leaves it to the node.
    """

    def __init__(self, settings: api.Settings, seed: int, literal_cap: int = 0) -> None:
        self.settings, self.rng, self.now_ms, self.literal_cap = (
            settings,
            random.Random(seed),
            0.0,
            literal_cap,
        )
        self.actions: list[api.Action] = []
        self.selection_reason, self.attempt_cause, self.eligible_count, self.overloaded_count = (
            LOWEST_ESTIMATE_BELOW_CAP,
            FIRST_ATTEMPT,
            0,
            0,
        )  # of the choice in the making
        self.is_panicking = False
        self.classes = {
            c.name: ClassState(c, max(MIN_EXPECTED_LATENCY_MS, c.latency_objective_ms / 4))
            for c in settings.classes
        }
        self.longest_objective_ms = max(c.latency_objective_ms for c in settings.classes)
        self.index = BackendIndex(settings.slow_start_duration_ms, HIGH_REJECTION_RATE)
        keyed = {
            c.deduplication_scope: None for c in settings.classes if c.idempotency is api.Idempotency.KEYED
        }
        self.index.deduplication_scopes = tuple(
            group for group in keyed if group is not api.DeduplicationScope.ALL
        )
        self.subset_size = 0  # so many of the first in the order are in the subset
        self.miss_rates, self.spillover = (
            [0.0, 0.0],
            0.0,
        )  # share gone bad near and far; share of requests sent far
        self.fleet_size = 0.0  # most backends listed, for long: what a warm one's share is measured by
        self.fleet_size_decay_ms = max(FLEET_SIZE_DECAY_SLOW_STARTS * settings.slow_start_duration_ms, 1.0)
        self.backends: dict[str, Backend] = {}
        self.requests: dict[str, Request] = {}
        self.queued: dict[str, Request] = {}
        self.timers: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.last_timer_token = self.in_flight = self.failed_polls = self.arrived_since_log = (
            self.rejected_since_log
        ) = 0
        self.concurrency_limit, self.min_concurrency_limit, self.retry_tokens, self.logged_at_ms = (
            MIN_LIMIT_PER_BACKEND,
            MIN_LIMIT_PER_BACKEND,
            MAX_RETRY_TOKENS,
            -LOG_INTERVAL_MS,
        )
        self.capacity_by_kind: dict[str, Capacity] = {}  # by kind
        self.steered_since_ms = math.inf  # when the first answer steered the limit
        self.limit_relaxation, self.listed_at_ms = (
            1.0,
            0.0,
        )  # factor of the least limit; when it was last told
        self.lost_response_rate = 0.0  # share of attempts that got no answer of late
        self.failure_rate = 0.0  # share of attempts that failed of late, for want of room left out
        self.success_rate = (
            1.0  # share of sends answered within the aim; where the node looks, on an idle sign
        )
        self.probe_round_trip_ms = 2.0 * settings.tick_ms  # usual round trip of a probe, until probes tell
        self.latency_floors_ms: dict[
            str, float
        ] = {}  # least time an answer takes, for each zone: no load explains it
        self.probing_enabled = (
            settings.probing_enabled
            and settings.load_report_source is not api.LoadReportSource.NONE
            and settings.prices.probe * PROBES_PER_ROUND <= NEGLIGIBLE_PRICE
        )
        self.mean_priority_density = (
            sum(c.priority_weight / c.latency_objective_ms for c in settings.classes)
            * 4
            / len(settings.classes)
        )
        self.handlers: dict[type, Callable[[Any], None]] = {
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

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at the clock time `now` (it never goes back)."""
        if (handler := self.handlers.get(type(event))) is None:
            raise api.CallError(f"not an event: {event!r}")
        self.now_ms, self.actions = now_ms, []
        handler(event)
        if news := self.index.decisions:
            self.actions += [api.NoteBackendDecision(b.endpoint.id, what) for b, what in news]
            news.clear()
        return self.actions

    def _pick(self, pool: list[Backend], m: int) -> Backend:
        """JUT(m): the lowest estimate below m, ties at random; a random backend once all have reached m."""
        low, self.eligible_count = min(b.queue_estimate for b in pool), len(pool)
        self.selection_reason = LOWEST_ESTIMATE_BELOW_CAP if low < m else DRAWN_AT_CAP
        if low < m:
            return self.rng.choice([b for b in pool if b.queue_estimate == low])
        return self.rng.choices(pool, [draw_weight(b) / (1 + b.in_flight) for b in pool])[0]

    def _report(self, b: Backend, report: api.LoadReport | None, fresh: bool) -> None:
        """An idle sign zeroes the estimate, but for own attempts still out: a late sign knows none."""
        load = None if report is None else report.queued if report.in_flight is None else report.in_flight
        if load is not None and load < 0.5:
            if b.queue_estimate != b.in_flight:
                self.actions.append(
                    api.NoteBackendDecision(b.endpoint.id, REPORTED_IDLE, b.queue_estimate - b.in_flight)
                )
            b.queue_estimate = 0 if self.literal_cap else b.in_flight
        elif load is not None and fresh:  # the bound is known anew: a probe is one round trip old
            b.queue_estimate = max(b.in_flight, round(load))

    def _cap(self, req: Request) -> int:
        """m: how many requests can stand in line and the last still meet its aim."""
        return self.literal_cap or max(
            1,
            int(
                req.class_state.request_class.latency_objective_ms
                / (JOB_SIZE_SECOND_MOMENT * max(req.class_state.expected_latency_ms, 1e-9))
            ),
        )

    def _choose(self, req: Request, crowd: float, m: int) -> Backend | None:
        """JUT(m) over all that are eligible in the window, off the index.

        Members crowded by this node's own count, the one figure that is not late, are left out: those with
        more out than the mean. Guards against backends that stall or crowd before a report tells.
        """
        index = self.index
        index.readmit_due(self.now_ms)
        cold = self._admitted(req, crowd) if index.warming_up and req.may_admit_warming_up else []
        req.may_admit_warming_up = False
        levels: list[tuple[int, Level]] = []
        count, total, over = len(cold), sum(b.in_flight for b in cold) if cold else 0, 0
        # Guards requests of high worth against backends that turn away for want of what no report shows.
        for shelf in index.shelves[: 1 if req.is_high_priority else 2]:
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
            (alone := not count) or req.class_state.request_class.idempotency is api.Idempotency.IDEMPOTENT
        ):
            for out, level in kept.items():
                if out <= crowd and (alone or not out):
                    levels.append((out, level))
                    count += level.size
                    total += out * level.size
        if not count:
            return None
        self.selection_reason, self.eligible_count, self.overloaded_count = (
            LOWEST_ESTIMATE_BELOW_CAP,
            count,
            over,
        )
        if (len(levels) > 1 or cold) and not self.literal_cap:
            levels = [item for item in levels if item[0] * count <= total]
            cold = [b for b in cold if b.in_flight * count <= total]
            left = len(cold)
            for _, level in levels:
                left += level.size
            self.eligible_count, self.overloaded_count = left, over + count - left
        if len(levels) == 1 and not cold:
            level = levels[0][1]
            low = level.lowest_estimate()
            return self.rng.choice(level.by_estimate[low]) if low < m else self._weighted(levels, cold)
        low = min([level.lowest_estimate() for _, level in levels] + [b.queue_estimate for b in cold])
        if low < m:
            rows = [level.by_estimate[low] for _, level in levels if low in level.by_estimate]
            rows.append([b for b in cold if b.queue_estimate == low])
        elif not self.literal_cap:
            return self._weighted(levels, cold)
        else:
            rows = [rack for _, level in levels for rack in level.by_weight_grade.values()] + [cold]
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
        self.selection_reason = DRAWN_AT_CAP
        racks: list[tuple[list[Backend], float]] = []
        edges: list[float] = []
        edge = 0.0
        for out, level in levels:
            for mark, rack in level.by_weight_grade.items():
                most = 2.0**mark
                edge += len(rack) * most / (1 + out)
                racks.append((rack, most))
                edges.append(edge)
        for b in cold:
            most = draw_weight(b)
            edge += most / (1 + b.in_flight)
            racks.append(([b], most))
            edges.append(edge)
        rng, last = self.rng, len(racks) - 1
        while True:
            rack, most = racks[bisect(edges, rng.random() * edge, 0, last)]
            b = rng.choice(rack)
            if rng.random() * most <= draw_weight(b):
                return b

    def _admitted(self, req: Request, crowd: float) -> list[Backend]:
        """Slow start: cold ones are thinned out, in fractions.

        Each request considers a cold one with a chance of COLD_PART of the fall multiple times its warmth, of
        the fleet as large as it was before restarts: all nodes together keep its budget, however many.
        """
        cold, out = self.index.warming_up, list[Backend]()
        if (most := self._cold_chance() / self.index.window_size) <= 0:
            return out
        skip = math.log1p(-most) if most < 1 else -math.inf
        at = -1
        while (at := at + 1 + int(math.log(1.0 - self.rng.random()) / skip)) < len(cold):
            b = cold[at]
            if self.rng.random() * min(1.0, most) > most * self._warmth(b):
                continue
            if b.in_flight <= crowd and not (req.is_high_priority and b.rejection_rate > HIGH_REJECTION_RATE):
                out.append(b)
        return out

    def _cold_chance(self) -> float:
        """The chance of a warm one, over the number of backends that a request considers."""
        return (
            SLOW_START_LOAD_FRACTION
            * self.settings.overload_multiple
            * len(self.index.order)
            / self.fleet_size
        )

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
            if (
                b in req.probed
                or max(b.paused_until_ms, 0.0 if panic else b.ejected_until_ms) > self.now_ms
                or b.in_flight > crowd
            ):
                continue
            if req.is_high_priority and b.rejection_rate > HIGH_REJECTION_RATE and not panic:
                continue
            if (warm := self._warmth(b)) < 1.0:
                chance = self._cold_chance() * warm
                if not req.may_admit_warming_up or self.rng.random() * among > chance:
                    continue
            if self._legal(req, b):
                out.append(b)
            if len(out) >= count:
                break
        req.may_admit_warming_up = False
        return out

    def _some(self, count: int, start: int, stop: int, far: bool = False) -> tuple[Iterable[Backend], int]:
        """Backends of a stretch of the order, up to three times as many as are looked for, and how many."""
        order = self.index.order
        start, n = (
            start + (self.index.local_count if far else 0),
            min(stop, len(order)) - min(start, len(order)),
        )
        most = min(n, 3 * count)
        among = min(most, count) if self.probing_enabled else most
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
        return slow_start_fraction(
            b.endpoint,
            self.now_ms,
            self.settings.slow_start_initial_fraction,
            self.settings.slow_start_duration_ms,
        )

    def _legal(self, req: Request, b: Backend) -> bool:
        """May this request go to this backend without taking effect twice? One attempt is out at a time."""
        c, here = req.class_state.request_class, b.endpoint
        for a in req.attempts:
            if a.status is None:
                return False
            if a.status in api.NO_EFFECT_STATUSES or c.idempotency is api.Idempotency.IDEMPOTENT:
                continue
            apart = (
                here.zone != a.endpoint.zone
                if c.deduplication_scope is api.DeduplicationScope.ZONE
                else here.cell != a.endpoint.cell
            )
            late = self.now_ms - a.sent_at_ms > c.deduplication_window_ms - 2 * self.settings.tick_ms
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
        self.is_panicking = True
        return self._draw(req, count, *self._some(count, 0, stop, far), crowd, panic=True)

    def _failed(self, b: Backend, chance: float = EJECTION_SIGNIFICANCE) -> None:
        """Outlier ejection: failures in a row that are no chance at the share that fails everywhere.

        Guards against noise that any backend alike may bring (spoilt answers, cut links, costly requests):
        with most of a sound fleet ejected, all goes to the few that are left. Could hurt where a good part
        of the fleet goes bad at once: each then takes some failures more until it is left alone.
        """
        if b.ejected_until_ms > self.now_ms:  # it was sent before: one cause, however many were out
            return
        b.consecutive_failures += 1
        more = b.consecutive_failures - math.log(chance) / math.log(
            min(0.5, max(MIN_FAILURE_RATE, self.failure_rate))
        )
        if more > 0:
            self._eject(b, int(more))

    def _dropped(self, b: Backend, status: api.AttemptStatus) -> bool:
        """One of memory alone did not answer: gone until a source lists it anew, but for half of the list.

        That half guards a node whose own network is at fault.
        """
        if (
            b.is_confirmed
            or status is api.AttemptStatus.ERROR
            or 2 * len(self.index.order) <= self.fleet_size
        ):
            return False
        self.actions.append(api.NoteBackendDecision(b.endpoint.id, UNCONFIRMED_DROPPED))
        self._entry(b, replace(b.endpoint, phase=api.Phase.REMOVED), False)
        return True

    def _eject(self, b: Backend, doublings: int) -> None:
        """Leave it alone for a time: exponential backoff with jitter.

        Guards against an ejection that outlives its cause: of many that were out when a zone was cut, each
        would double it.
        """
        if b.ejected_until_ms > self.now_ms:
            return
        time = self.longest_objective_ms * 2 ** min(doublings, MAX_EJECTION_DOUBLINGS - 1)
        b.ejected_until_ms = self.now_ms + time * self.rng.uniform(0.5, 1.5)
        self.actions.append(
            api.NoteBackendDecision(
                b.endpoint.id, EJECTED, b.consecutive_failures, b.ejected_until_ms - self.now_ms
            )
        )

    def _arrival(self, ev: api.RequestArrived) -> None:
        if (cls := self.classes.get(ev.class_name)) is None:
            raise api.CallError(f"unknown class: {ev.class_name!r}")
        left, c, work = ev.deadline_ms - self.now_ms, cls.request_class, ev.work_hint or 0.0
        aim = (
            c.deadline_ms
            if c.late_priority_weight > 0
            else c.latency_objective_ms + c.latency_objective_stretch * work - self._age(ev, cls, left)
        )
        useful = min(ev.deadline_ms, self.now_ms + aim)
        density = c.priority_weight / cls.expected_latency_ms
        self.mean_priority_density += EWMA_WEIGHT / 2 * (density - self.mean_priority_density)
        self.retry_tokens, self.arrived_since_log = (
            min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_BUDGET_RATIO),
            self.arrived_since_log + 1,
        )
        dense = density > HIGH_PRIORITY_DENSITY_RATIO * self.mean_priority_density or self.literal_cap > 0
        req = Request(ev.request, cls, ev.work_hint, ev.deadline_ms, useful, dense)
        self.requests[ev.request] = req
        # What cannot meet its aim is shed at once: cheaper for all than a failure after the aim.
        if self._fits(req):
            self._route(req)
        else:
            self._finish(req, OBJECTIVE_UNREACHABLE)

    def _age(self, ev: api.RequestArrived, cls: ClassState, left: float) -> float:
        """First tries all get the same time; a retry gets what is left of the deadline, which tells its age.

        Guards against refusing every first try once one retry came with more time than first tries have, and
        where retries are marked against taking those for old whose clients only give up early.
        """
        same, marked = (
            abs(left - cls.first_attempt_allowance_ms) <= 2 * self.settings.tick_ms,
            self.settings.are_retries_marked,
        )
        if not (marked and ev.is_retry):
            cls.allowance_votes += 1 if same else -1
            if cls.allowance_votes < 0:
                cls.first_attempt_allowance_ms, cls.allowance_votes, same = left, 1, True
        return 0.0 if same or (marked and not ev.is_retry) else max(0.0, cls.request_class.deadline_ms - left)

    def _fits(self, req: Request, ahead: float = 0.0) -> bool:
        """Can it still be served before its aim, after `ahead` of waiting?"""
        return (
            self.now_ms
            + REQUIRED_LATENCY_FRACTION * ((req.work_hint_ms or req.class_state.expected_latency_ms) + ahead)
            < req.useful_until_ms
        )

    def _route(self, req: Request) -> None:
        passing = max(
            RETRY_BUDGET_RATIO, ADAPTIVE_THROTTLING_FACTOR * self.success_rate**3
        )  # quiet nodes shed in fractions, by own success
        if self.probing_enabled:
            req.probe_rounds, req.probed = 0, []
            self._look(req)
        elif not (req.attempts or req.is_high_priority) and self.rng.random() > passing:
            self._finish(req, SHED_BY_SUCCESS_RATE)
        elif self.in_flight + 1 <= self.concurrency_limit or req.is_high_priority:
            self._dispatch(req)
        else:
            # Hold: last come first served, so that what is sent has time left. What is not sent soon never
            # is: guards against a pile of it that takes up the connections on which clients could ask anew.
            self.queued[req.id] = req
            until = min(
                req.useful_until_ms - REQUIRED_LATENCY_FRACTION * req.class_state.expected_latency_ms,
                self.now_ms + MAX_QUEUE_TIME_LATENCIES * req.class_state.expected_latency_ms,
            )
            self._at(until, self._expire, req)

    def _expire(self, req: Request) -> None:
        if self.queued.get(req.id) is req:
            del self.queued[req.id]
            self._finish(req, QUEUE_TIMEOUT)

    def _release(self) -> None:
        """Some at a time: guards against one event that looks for room for thousands, and there is none."""
        for _ in range(MAX_DEQUEUED_PER_EVENT):
            if not self.queued or self.in_flight + 1 > self.concurrency_limit:
                return
            _, req = self.queued.popitem()
            if self._fits(req):
                self.attempt_cause = DEQUEUED
                self._dispatch(req)
                self.attempt_cause = FIRST_ATTEMPT
            else:
                self._finish(req, QUEUE_TIMEOUT)

    def _dispatch(self, req: Request) -> None:
        """Without looking: JUT over the subset, but for members crowded by this node's own count."""
        index, n = self.index, len(self.index.order)
        # Wider for a node that carries far more than its part, lest it crowd the few that fall to it.
        k = self.subset_size if self.subset_size > self.in_flight else self.in_flight
        k = (k if k < n else n) or 1
        if index.window_size != k and n:
            index.resize(k, self.now_ms)
        # Own zone first, others as far as they are better by more than the price: hot or failing zones spill.
        far = self.spillover > 0 and self.rng.random() < self.spillover
        if req.attempts:  # a repeat stays on its side: it may be bound to the zone
            far = not self._near(req.attempts[0].endpoint)
        far = far and 0 < index.local_count < n
        crowd = math.inf if req.is_high_priority else self.concurrency_limit / k
        # Every node takes its part of what a backend may be given after it showed idle.
        m, count = max(1, self._cap(req) // self.settings.node_count), min(k, MAX_DRAWN_BACKENDS)
        bound = self._bound(req) if req.attempts else []
        if bound is None:
            self._finish(req, NOT_RETRYABLE)
            return
        pool: list[Backend] = []
        self.is_panicking, self.overloaded_count = False, 0
        if bound and k > 3 * count:  # of a window this wide a draw would hardly meet them
            among = min(len(bound), 3 * count)
            some = (bound[at] for at in self._picks(len(bound), among))
            pool = self._draw(
                req, count, (b for b in some if b.is_in_window or far), among, crowd
            ) or self._draw(req, count, (bound[at] for at in self._picks(len(bound), among)), among)
        elif bound or far:
            pool = self._draw(req, count, *self._some(count, 0, k, far), crowd)
        elif (b := self._choose(req, crowd, m)) is not None:
            if not b.is_confirmed and (age := b.endpoint.cached_age_ms or 0.0) > self.rng.random() * (
                age + CACHED_AGE_SCALE_MS
            ):
                other = self._choose(req, crowd, m) or b
                b = other if other.is_confirmed or (other.endpoint.cached_age_ms or 0.0) < age else b
            if req.is_high_priority or not self._spared(b):
                self._send(req, b)
            else:
                self._finish(req, BACKEND_OVERLOADED)
            return
        pool = pool or self._draw(req, count, *self._some(count, k, 2 * k, far))
        # Guards against panic where a draw among thousands met none of the few that are eligible.
        if not pool and far and not bound and (b := self._choose(req, crowd, m)) is not None:
            self._send(req, b)
            return
        found = pool or self._panic(req, count, 2 * k, far, crowd)
        found = [
            b
            for b in found
            if b.is_confirmed or req.class_state.request_class.idempotency is api.Idempotency.IDEMPOTENT
        ] or found
        pool = [b for b in found if b.in_flight * len(found) <= sum(x.in_flight for x in found)]
        if not req.is_high_priority and found and not (pool := [b for b in pool if not self._spared(b)]):
            self._finish(req, BACKEND_OVERLOADED)
            return
        if pool:
            b, self.overloaded_count = self._pick(pool, m), len(found) - len(pool)
            self.selection_reason = (
                PANIC
                if self.is_panicking
                else OTHER_ZONE
                if far and not b.is_local
                else self.selection_reason
            )
            self._send(req, b)
        else:
            self._finish(req, NO_ELIGIBLE_BACKEND)

    def _spared(self, b: Backend) -> bool:
        """Random early detection (Floyd and Jacobson 1993) on the requests a core holds, by the live weight.

        Guards against a crowd that no node sees: a few requests out at each of 200 are a jam at a backend
        that turns slow for long once it held too many. One refusal ends it: whoever were sent on to the next
        would fill that up, too. News of it fades: guards against a list that falls silent meanwhile.
        """
        room = self.capacity_by_kind.get(b.endpoint.kind)
        if (
            room is None
            or not b.endpoint.weight
            or self.now_ms - self.listed_at_ms > self.longest_objective_ms
        ):
            return False
        held = room.idle_weight / bounded_weight(b.endpoint.weight) - 1.0
        return (
            OVERLOAD_REQUESTS_PER_CORE[0] < held < MAX_PLAUSIBLE_REQUESTS_PER_CORE
            and self.rng.random() * (OVERLOAD_REQUESTS_PER_CORE[1] - OVERLOAD_REQUESTS_PER_CORE[0])
            < held - OVERLOAD_REQUESTS_PER_CORE[0]
        )

    def _bound(self, req: Request) -> list[Backend] | None:
        """The backends that a repeat is bound to; empty: to none in particular; None: it may go nowhere."""
        c, out = req.class_state.request_class, list[Backend]()
        for a in req.attempts:
            if a.status in api.NO_EFFECT_STATUSES or (
                c.idempotency is api.Idempotency.IDEMPOTENT and a.status is not None
            ):
                continue
            late = self.now_ms - a.sent_at_ms > c.deduplication_window_ms - 2 * self.settings.tick_ms
            if a.status is None or c.idempotency is api.Idempotency.NON_IDEMPOTENT or late:
                return None
            if c.deduplication_scope is not api.DeduplicationScope.ALL:
                group = self.index.groups.get(
                    (c.deduplication_scope, deduplication_group(a.endpoint, c.deduplication_scope))
                )
                if group is None:
                    return None
                out = group.items
        return out

    def _look(self, req: Request) -> None:
        """Ask a few backends how they are; the request waits one round trip."""
        req.probe_rounds, req.probe_wait_number, k = (
            req.probe_rounds + 1,
            req.probe_wait_number + 1,
            self.subset_size,
        )
        pool = self._draw(req, PROBES_PER_ROUND, *self._some(PROBES_PER_ROUND, 0, k)) or self._draw(
            req, PROBES_PER_ROUND, *self._some(PROBES_PER_ROUND, k, 2 * k)
        )
        for b in pool or self._panic(req, PROBES_PER_ROUND, 2 * k):
            req.pending_probes.add(b.endpoint.id)
            if b.probe_waiters is None:
                b.probe_waiters = []
                self.actions.append(api.SendProbe(b.endpoint.id))
            b.probe_waiters.append(req)
        end = req.useful_until_ms - REQUIRED_LATENCY_FRACTION * (
            req.work_hint_ms or req.class_state.expected_latency_ms
        )  # from then on it could not be served in time
        self._at(
            min(
                end,
                self.now_ms + PROBE_TIMEOUT_ROUND_TRIPS * self.probe_round_trip_ms + self.settings.tick_ms,
            ),
            self._overdue,
            (req, req.probe_wait_number),
        )
        if not req.pending_probes:
            self._settle(req)

    def _overdue(self, what: tuple[Request, int]) -> None:
        """Probes not back in the usual time, if the request has as much: the backend stands still."""
        (req, look), known = what, self.backends
        if req.probe_wait_number == look and req.pending_probes:
            for b in [known[name] for name in sorted(req.pending_probes & known.keys()) if self._fits(req)]:
                b.ejected_until_ms = max(
                    b.ejected_until_ms,
                    self.now_ms + req.class_state.expected_latency_ms * self.rng.uniform(0.5, 1.5),
                )
                self.actions.append(
                    api.NoteBackendDecision(b.endpoint.id, PAUSED, 0, b.ejected_until_ms - self.now_ms)
                )
            self._settle(req)

    def _probed(self, ev: api.ProbeFinished) -> None:
        if (b := self.backends.get(ev.backend)) is None:
            return  # gone meanwhile; what waits for it is overdue before long
        waiting, b.probe_waiters = b.probe_waiters or [], None
        if ev.status is OK:
            self.probe_round_trip_ms += EWMA_WEIGHT * (ev.duration_ms - self.probe_round_trip_ms)
            self._report(b, ev.load_report, True)
            b.ejected_until_ms, b.is_confirmed = min(b.ejected_until_ms, self.now_ms), True
            self._place(b)
        elif not self._dropped(b, ev.status):
            b.consecutive_failures += 1
            self._eject(b, b.consecutive_failures - 1)
        for req in waiting:
            if ev.backend in req.pending_probes:
                req.pending_probes.discard(ev.backend)
                if ev.status is OK:
                    req.probed.append(b)
                # Guards against reports that freeze: an idle sign is believed as often as such sends succeed.
                if b.queue_estimate == 0 and self.rng.random() > self.success_rate:
                    b.queue_estimate = self._cap(req)
                if not req.pending_probes or (req.probed and b.queue_estimate == 0):
                    self._settle(req)

    def _settle(self, req: Request) -> None:
        """All that was asked has answered, or an idle backend has: decide."""
        req.pending_probes = set()
        pool = [b for b in req.probed if b.endpoint.phase is api.Phase.UP and self._legal(req, b)]
        low, m = min((b.queue_estimate for b in pool), default=math.inf), self._cap(req)
        if low > 0 and req.probe_rounds < MAX_PROBE_ROUNDS and self._fits(req):
            self._look(req)
        elif low < m and self._fits(req, max(0.0, low - 0.5) * req.class_state.expected_latency_ms):
            self.overloaded_count = 0
            self._send(req, self._pick(pool, m))
        else:
            self._finish(
                req, NO_ELIGIBLE_BACKEND if not pool else QUEUE_TIMEOUT if low >= m else OBJECTIVE_UNREACHABLE
            )

    def _send(self, req: Request, b: Backend) -> None:
        """The one place where an attempt is made: drains, repeats, closed requests and limits end here."""
        if (
            req.is_closed
            or req.is_streaming
            or b.endpoint.phase is not api.Phase.UP
            or not self._legal(req, b)
            or len(req.attempts) >= self.settings.max_attempts
            or self.now_ms >= req.deadline_ms
        ):
            self._finish(
                req,
                NO_ELIGIBLE_BACKEND
                if b.endpoint.phase is not api.Phase.UP
                else ATTEMPTS_EXHAUSTED
                if len(req.attempts) >= self.settings.max_attempts
                else OBJECTIVE_UNREACHABLE
                if self.now_ms >= req.deadline_ms
                else NOT_RETRYABLE,
            )
            return
        why, cause = self.selection_reason, self.attempt_cause
        if b.level is None and why is not PANIC and self._warmth(b) < 1.0:
            why = SLOW_START_ADMITTED
        if req.attempts:
            cause = api.RETRY_REASONS.get(req.attempts[-1].status, cause)
        req.attempts.append(
            Attempt(b, b.endpoint, self.now_ms, b.queue_estimate == 0 or not self.probing_enabled)
        )
        req.in_flight, b.in_flight, self.in_flight, b.queue_estimate = (
            req.in_flight + 1,
            b.in_flight + 1,
            self.in_flight + 1,
            b.queue_estimate + 1,
        )
        self.index.update_counts(b)
        # An answer after the aim is worth nothing: give up just before, so that the failure is not late.
        c, left, tick = (
            req.class_state.request_class,
            req.useful_until_ms - self.now_ms,
            self.settings.tick_ms,
        )
        stop = max(tick, left - 2 * tick) if req.useful_until_ms < req.deadline_ms else 0.0
        # Guards against answers that get lost: one that may come late is asked for again while it has worth.
        if (
            self.lost_response_rate > HIGH_LOST_RESPONSE_RATE
            and c.late_priority_weight > 0
            and c.idempotency is not api.Idempotency.NON_IDEMPOTENT
        ):
            cut = max(
                c.latency_objective_ms / 2,
                req.class_state.expected_latency_ms + 4 * req.class_state.mean_deviation_ms,
            )
            if cut + req.class_state.expected_latency_ms < left:
                stop, req.attempts[-1].is_shortened = cut, True
        end = self._window(req)
        self.actions.append(
            api.SendAttempt(
                req.id, b.endpoint.id, stop, why, cause, self.eligible_count, self.overloaded_count, end
            )
        )

    def _window(self, req: Request) -> float:
        """Until when a keyed request may be written once more, as its connection may come up late."""
        c, ran = (
            req.class_state.request_class,
            [a.sent_at_ms for a in req.attempts if a.status not in (None, *api.NO_EFFECT_STATUSES)],
        )
        keyed = ran and c.idempotency is api.Idempotency.KEYED
        return min(ran) + c.deduplication_window_ms - 2 * self.settings.tick_ms if keyed else math.inf

    def _outcome(self, ev: api.AttemptFinished) -> None:
        req = self.requests.get(ev.request)
        if req is None or ev.attempt >= len(req.attempts) or req.attempts[ev.attempt].status is not None:
            return
        attempt = req.attempts[ev.attempt]
        attempt.status, b = ev.status, attempt.backend
        req.in_flight, b.in_flight, self.in_flight = req.in_flight - 1, b.in_flight - 1, self.in_flight - 1
        if ev.status is OK:  # who turns away or fails and calls itself idle is not believed
            self._report(b, ev.load_report, False)
        if ev.status not in (CANCELLED, NOT_STARTED):  # these tell nothing of the backend
            self._learn(req, attempt, ev)
            if ev.status not in LOAD_INDEPENDENT_FAILURES:
                self._steer(req.class_state, ev, b.endpoint.zone)
        self._place(b)
        if (
            not b.in_flight
            and b.endpoint.phase is api.Phase.REMOVED
            and self.backends.get(b.endpoint.id) is b
        ):
            del self.backends[b.endpoint.id]
        if ev.is_request_closed or req.is_closed:
            self._close(req)
        else:
            self._again(req)
        self._release()

    def _learn(self, req: Request, attempt: Attempt, ev: api.AttemptFinished) -> None:
        b, cls = attempt.backend, req.class_state
        b.rejection_rate += EWMA_WEIGHT * ((ev.status is REJECTED) - b.rejection_rate)
        if ev.status is not REJECTED:
            self.failure_rate += EWMA_WEIGHT / 4 * ((ev.status is not OK) - self.failure_rate)
        if attempt.is_representative and ev.status in (OK, REJECTED, TIMEOUT):
            good = ev.status is OK and ev.duration_ms <= cls.request_class.latency_objective_ms
            self.lost_response_rate += EWMA_WEIGHT * ((ev.status is TIMEOUT) - self.lost_response_rate)
            # A backend without room says nothing of the next one, an answer lost nothing of the load.
            if good or self.probing_enabled or not (attempt.is_shortened or ev.status is REJECTED):
                self.success_rate += EWMA_WEIGHT * (1 + self.probing_enabled) * (good - self.success_rate)
            b.slowness += EWMA_WEIGHT * (
                (ev.duration_ms if good else cls.request_class.latency_objective_ms) / cls.expected_latency_ms
                - b.slowness
            )
            far = not b.is_local
            self.miss_rates[far] += EWMA_WEIGHT * (1 - good - self.miss_rates[far])
            gain = SPILLOVER_GAIN * (
                self.miss_rates[0] - self.miss_rates[1] - self.settings.prices.cross_zone
            )
            self.spillover = max(0.0, min(1.0, self.spillover + gain))
        if ev.status is OK:
            b.consecutive_failures, b.is_confirmed = 0, True
            if attempt.is_representative:
                cls.mean_deviation_ms += EWMA_WEIGHT * (
                    abs(ev.duration_ms - cls.expected_latency_ms) - cls.mean_deviation_ms
                )
                # Guards against a division by nothing after thousands of answers that took no time.
                cls.expected_latency_ms = max(
                    MIN_EXPECTED_LATENCY_MS,
                    cls.expected_latency_ms + EWMA_WEIGHT * (ev.duration_ms - cls.expected_latency_ms),
                )
        elif ev.status is REJECTED:
            b.paused_until_ms = self.now_ms + cls.expected_latency_ms * self.rng.uniform(0.5, 1.5)
            self.actions.append(
                api.NoteBackendDecision(b.endpoint.id, PAUSED, 0, b.paused_until_ms - self.now_ms)
            )
        elif attempt.is_shortened or not self._dropped(b, ev.status):
            self._failed(
                b, CONNECT_EJECTION_SIGNIFICANCE if ev.status is CONNECT_FAILED else EJECTION_SIGNIFICANCE
            )
            if ev.status is CONNECT_FAILED:
                # Those that only come up late eject where that is no chance: guards against leaving most of a
                # fleet alone where connections are slow. One that was refused, or broke, tells it by itself.
                if ev.duration_ms < REFUSED_CONNECT_FRACTION * self.settings.connect_timeout_ms:
                    self._eject(b, b.consecutive_failures - 1)
                b.paused_until_ms = max(b.paused_until_ms, b.ejected_until_ms)

    def _steer(self, cls: ClassState, ev: api.AttemptFinished, zone: str) -> None:
        """The concurrency limit: in proportion to how near answers are to the tightest aim.

        Guards against crowding a fleet until it turns slow, which takes far longer to undo. It rises only
        while it binds: quiet nodes whose limit floats up would flood the fleet when a burst comes.
        The way there and back is left out: guards against a limit that aims near the round trip keep down.
        """
        aim, took = cls.request_class.latency_objective_ms, cls.request_class.latency_objective_ms
        floor = self.latency_floors_ms.get(zone, aim / 2)
        if ev.status is OK:
            took = ev.duration_ms
            floor = self.latency_floors_ms[zone] = min(took, floor + LATENCY_FLOOR_RISE * took)
        floor = min(floor, aim / 2)
        late = (took - floor) / (TARGET_LATENCY_FRACTION * (aim - floor))
        # Only classes in use have a say, and one that comes back starts anew: guards against a class that
        # nobody asks for, or that was slow and fell silent, and holds the limit down for good. At first all
        # have one: a limit that rises before each class has shown slack crowds a fleet that is in trouble.
        since, self.steered_since_ms = (
            self.now_ms - CLASS_MEMORY_OBJECTIVES * self.longest_objective_ms,
            min(self.steered_since_ms, self.now_ms),
        )
        if cls.steered_at_ms < since:
            cls.mean_log_latency_ratio = 0.0
        cls.steered_at_ms = self.now_ms
        cls.mean_log_latency_ratio += (
            EWMA_WEIGHT / 2 * (math.log(max(late, MIN_LATENCY_RATIO)) - cls.mean_log_latency_ratio)
        )
        excess, all_heard = cls.mean_log_latency_ratio, self.steered_since_ms >= since
        for c in self.classes.values():
            if c.mean_log_latency_ratio > excess and (all_heard or c.steered_at_ms >= since):
                excess = c.mean_log_latency_ratio
        if excess > 0 or self.in_flight + 2 > self.concurrency_limit:  # it bound until this answer
            self.concurrency_limit *= 1 - LIMIT_GAIN * max(-1.0, min(1.0, excess))
        self.concurrency_limit = max(self.concurrency_limit, self.min_concurrency_limit)

    def _again(self, req: Request) -> None:
        """The attempt failed: try elsewhere while that can meet the aim and the retry budget lasts."""
        cost = 0.0 if req.attempts[-1].is_shortened else 1.0  # a lost answer is no sign of load
        may = self.retry_tokens >= cost and len(req.attempts) < self.settings.max_attempts and self._fits(req)
        self.retry_tokens -= cost * may
        if may:
            self._route(req)
        else:
            spent = len(req.attempts) >= self.settings.max_attempts
            self._finish(
                req,
                ATTEMPTS_EXHAUSTED
                if spent
                else RETRY_BUDGET_EXHAUSTED
                if self.retry_tokens < cost
                else OBJECTIVE_UNREACHABLE,
            )

    def _finish(self, req: Request, why: api.DecisionReason) -> None:
        """The one place where a final answer is given: a refusal only while a repeat does no harm."""
        if req.is_closed or req.is_streaming:
            return
        c = req.class_state.request_class
        harmless = (
            c.idempotency is api.Idempotency.IDEMPOTENT
            or all(a.status in api.NO_EFFECT_STATUSES for a in req.attempts)
            or (
                c.idempotency is api.Idempotency.KEYED and c.deduplication_scope is api.DeduplicationScope.ALL
            )
        )
        away = self.settings.max_retry_after_ms
        if harmless and away > 0:  # until there is room; guards against clients that come back in step
            away = min(away, req.class_state.expected_latency_ms * self.rng.uniform(*RETRY_AFTER_LATENCIES))
        self.actions.append(
            api.RejectRequest(req.id, away, why) if harmless else api.FailRequest(req.id, why)
        )
        self.rejected_since_log += 1
        if (
            self.arrived_since_log >= 50 and self.rejected_since_log > self.arrived_since_log / 4
        ):  # worth a line to the people on call
            self._log(
                f"shedding: {self.rejected_since_log} of {self.arrived_since_log} requests refused or failed"
            )
        self._close(req)

    def _close(self, req: Request) -> None:
        """Nothing more is sent for it; an attempt still out is called off."""
        req.is_closed, req.pending_probes = True, set()
        self.queued.pop(req.id, None)  # no room is looked for, and none missed, for a client that has left
        if req.in_flight and self.settings.may_cancel and not req.is_streaming:
            self.actions.append(api.CancelAttempt(req.id, len(req.attempts) - 1))
        if not req.in_flight:
            self.requests.pop(req.id, None)

    def _gone(self, ev: api.ClientLeft) -> None:
        if (req := self.requests.get(ev.request)) is not None and not req.is_closed:
            self._close(req)

    def _stream(self, ev: api.StreamStarted) -> None:
        if ev.request in self.requests:
            self.requests[ev.request].is_streaming = True

    def _at(self, when: float, call: Callable[[Any], None], what: Any) -> None:
        self.last_timer_token += 1
        self.timers[self.last_timer_token] = (call, what)
        self.actions.append(api.SetTimer(when, self.last_timer_token))

    def _timer(self, ev: api.TimerFired) -> None:
        call, what = self.timers.pop(ev.token, (lambda _: None, None))
        call(what)

    @property
    def order(self) -> list[str]:
        """This node's own order of the list."""
        return [name for _, _, name, _ in self.index.order]

    def _log(self, text: str) -> None:
        if self.now_ms - self.logged_at_ms >= LOG_INTERVAL_MS:
            self.logged_at_ms, self.arrived_since_log, self.rejected_since_log = self.now_ms, 0, 0
            self.actions.append(api.WriteLog(text))

    def _place(self, b: Backend) -> None:
        """Something that a choice goes by has changed: keep the index true, and the sums of live weights."""
        if not self.probing_enabled:
            self.index.place(b, self.now_ms)
        if b.capacity_tally is not None and (b.rejection_rate > HIGH_REJECTION_RATE) is not (
            b.capacity_tally[1] < 0
        ):
            self._tally(b)

    def _list(self, ev: api.EndpointsUpdated) -> None:
        if ev.kind is api.EndpointUpdateKind.FAILED:  # back off with jitter; the last list stays in force
            self.failed_polls = min(self.failed_polls + 1, MAX_EJECTION_DOUBLINGS)
            wait = self.settings.poll_within_ms / 32 * 2**self.failed_polls * self.rng.uniform(0.5, 1.5)
            self._at(self.now_ms + wait, self._ask, None)
            self._log(f"list: call failed {self.failed_polls} times, asking again in {wait / 1000:.1f} s")
            return
        self.failed_polls = 0
        if ev.kind is api.EndpointUpdateKind.CACHED and self.settings.must_poll:
            self._at(self.now_ms + self.rng.uniform(0.0, self.settings.poll_within_ms / 2), self._ask, None)
        first = not self.index.order
        if ev.kind is not api.EndpointUpdateKind.INCREMENTAL:
            gone = self.backends.keys() - {e.id for e in ev.endpoints}
            for b in [self.backends[name] for name in sorted(gone)]:
                self._entry(b, replace(b.endpoint, phase=api.Phase.REMOVED), first)
        for entry in ev.endpoints:
            if (known := self.backends.get(entry.id)) is None and entry.phase is not api.Phase.REMOVED:
                known = self.backends[entry.id] = Backend(entry, is_confirmed=entry.cached_age_ms is None)
            if known is not None:
                self._entry(known, entry, first)
        if first:
            self._lay()
        n, was = len(self.index.order), 0 if first else self.subset_size
        # The size that shares are measured by shrinks too, slowly: guards new backends against getting less
        # than they can do for good after a fleet was made smaller.
        if self.fleet_size > n:
            self.fleet_size -= (self.fleet_size - n) * min(
                1.0, (self.now_ms - self.listed_at_ms) / self.fleet_size_decay_ms
            )
        self.fleet_size = max(self.fleet_size, n)
        if self.settings.has_live_weights and n:
            self._relax()
        self.listed_at_ms = self.now_ms
        # Small subsets keep connections few and own counts telling.
        # Where the node looks: more than a request looks at would only fill the backends' connection tables.
        subset = max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_BACKEND * n / self.settings.node_count))
        self.subset_size = min(n, PROBES_PER_ROUND * MAX_PROBE_ROUNDS if self.probing_enabled else subset)
        if first and n:
            self.actions.append(api.NoteBackendDecision("", JOINED_SUBSET, self.subset_size))
        else:
            self._subset(was, self.subset_size)
        self.min_concurrency_limit = (
            MIN_LIMIT_PER_BACKEND
            * max(MIN_BACKENDS_PER_NODE, n / self.settings.node_count)
            * self.limit_relaxation
        )
        self.index.resize(0 if self.probing_enabled else max(self.subset_size, self.in_flight), self.now_ms)

    def _entry(self, b: Backend, entry: api.Endpoint, first: bool) -> None:
        """What the list says of one backend. The first ones wait until all are there to be laid out."""
        was, up = b.endpoint.phase is api.Phase.UP and b.is_listed, entry.phase is api.Phase.UP
        if entry.started_at_ms > b.endpoint.started_at_ms:  # restarted: what was known is void
            b.queue_estimate, b.consecutive_failures, b.ejected_until_ms, b.slowness = (
                b.in_flight,
                0,
                0.0,
                1.0,
            )
        moved = entry.zone != b.endpoint.zone or entry.cell != b.endpoint.cell
        if was and (not up or moved):
            if (at := self.index.remove(b, self.now_ms)) < self.subset_size:
                self.actions.append(api.NoteBackendDecision(entry.id, LEFT_SUBSET))
                self._subset(self.subset_size - 1, self.subset_size)
            b.is_listed = False
        b.endpoint, b.is_local, b.is_confirmed = (
            entry,
            self._near(entry),
            b.is_confirmed or entry.cached_age_ms is None,
        )
        if up and not b.is_listed:
            if not moved or not was:
                b.rank = self.rng.random()
            if not first:
                b.is_listed = True
                if (at := self.index.insert(b, self.now_ms)) < self.subset_size:
                    self._subset(self.subset_size + 1, self.subset_size, at)
        elif up:
            self._place(b)
        self._tally(b)
        if entry.phase is api.Phase.REMOVED and not b.in_flight:
            # Guards against a table that grows for as long as backends are replaced under new names.
            self.backends.pop(entry.id, None)

    def _subset(self, was: int, now: int, at: int = -1) -> None:
        """Tell who joined or left, as the subset went from so many of the first in the order to so many.

        `at` is the place of one that came in between.
        """
        order = self.index.order
        if at >= 0:
            self.actions.append(api.NoteBackendDecision(order[at][2], JOINED_SUBSET))
        for name, what in [(e[2], JOINED_SUBSET) for e in order[was:now]] + [
            (e[2], LEFT_SUBSET) for e in order[now:was]
        ]:
            self.actions.append(api.NoteBackendDecision(name, what))

    def _lay(self) -> None:
        """The first list: this node's own order of it, the first `width` the subset, the next its reserve.

        Subsets start evenly laid over the nodes; changes move few.
        """
        found = sorted(
            (b for b in self.backends.values() if b.endpoint.phase is api.Phase.UP),
            key=lambda b: b.endpoint.id,
        )
        if not found:
            return
        n, near = len(found), [b for b in found if b.is_local] or found
        k = min(n, max(MIN_SUBSET_SIZE, math.ceil(NODES_PER_BACKEND * n / self.settings.node_count)))
        turn = self.settings.node_index * GOLDEN_RATIO_FRACTION % 1.0
        # One out of each stretch, not the same in all: by steps of two, all nodes might feed one half alone.
        parts = min(k, len(near))
        places = [(j + (turn + j * GOLDEN_RATIO_FRACTION) % 1.0) / parts for j in range(parts)]
        even = [near[int(at * len(near)) % len(near)] for at in places]
        chosen = {b.endpoint.id for b in even}
        rest = [b for b in found if b.endpoint.id not in chosen]
        order = list({b.endpoint.id: b for b in even}.values()) + self.rng.sample(rest, len(rest))
        for at, b in enumerate(order):
            b.rank, b.is_listed = (at + 0.5) / n, True
            self.index.insert(b, self.now_ms)
        self.spillover = 1.0 - len(near) / n

    def _tally(self, b: Backend) -> None:
        """Keep the sums by kind that live weights tell of room by.

        One that turns away is left out: what it turns away is no room.
        """
        if not self.settings.has_live_weights:
            return
        if b.capacity_tally is not None and b.capacity_tally[1] >= 0:
            room = self.capacity_by_kind[b.capacity_tally[0]]
            room.backend_count -= 1
            room.inverse_weight_sum -= b.capacity_tally[1]
            room.weighted_count -= b.capacity_tally[1] > 0
        b.capacity_tally = None
        if b.endpoint.phase is not api.Phase.UP:
            return
        entry, told = b.endpoint, -1
        room = self.capacity_by_kind.setdefault(entry.kind, Capacity())
        room.idle_weight = max(room.idle_weight, bounded_weight(entry.weight))
        if b.rejection_rate <= HIGH_REJECTION_RATE:
            told = round(INVERSE_WEIGHT_UNIT / bounded_weight(entry.weight)) if entry.weight else 0
            room.backend_count += 1
            room.inverse_weight_sum += told
            room.weighted_count += told > 0
        b.capacity_tally = entry.kind, told

    def _relax(self) -> None:
        """Live weights tell how many requests each core holds: let the least limit rise while that is few.

        Guards against shedding where the aims are too tight for answers' times to tell load from a backend's
        own time to serve. Could hurt where weights are late by more than a burst takes to crowd a fleet, or
        where discovery falls silent after a rise: it stays until the next list.
        """
        count = sum(room.backend_count for room in self.capacity_by_kind.values())
        held = sum(
            room.idle_weight * room.inverse_weight_sum / INVERSE_WEIGHT_UNIT - room.weighted_count
            for room in self.capacity_by_kind.values()
        )
        most, rise, fall = LIMIT_RELAXATION
        part = min(1.0, (self.now_ms - self.listed_at_ms) / self.longest_objective_ms)
        if held > RELAXATION_REQUESTS_PER_CORE * count:
            self.limit_relaxation = max(1.0, self.limit_relaxation * (1 - fall * part))
        elif self.queued or self.in_flight + 2 > self.concurrency_limit:
            self.limit_relaxation = min(most, self.limit_relaxation * (1 + rise * part))

    def learned(self, now_ms: float) -> api.LearnedState:
        """What is worth keeping over a restart; `Remembered` brings it back."""
        times = {name: (cls.expected_latency_ms, cls.mean_deviation_ms) for name, cls in self.classes.items()}
        slow = {
            name: b.slowness
            for name, b in self.backends.items()
            if not 1 - EWMA_WEIGHT < b.slowness < 1 + EWMA_WEIGHT
        }
        away = {
            name: b.ejected_until_ms - now_ms
            for name, b in self.backends.items()
            if now_ms < b.ejected_until_ms
        }
        return api.LearnedState(times, self.concurrency_limit, slow, away)

    def _remembered(self, ev: api.LearnedStateRestored) -> None:
        """It fades towards what a first start has; ejections end when they would have. Before any answer."""
        kept, age, most = ev.state, max(0.0, ev.age_ms), self.longest_objective_ms * 2**MAX_EJECTION_DOUBLINGS
        fast, slowly, late = (0.5 ** min(64.0, age / half) for half in LEARNED_STATE_HALF_LIVES_MS)
        self.concurrency_limit += fast * (
            min(self.settings.max_open_requests, max(self.min_concurrency_limit, kept.concurrency_limit))
            - self.concurrency_limit
        )
        for cls in [self.classes[name] for name in kept.expected_latency_ms if name in self.classes]:
            usual, dev = (
                min(cls.request_class.latency_objective_ms / 2, max(MIN_EXPECTED_LATENCY_MS, ms))
                for ms in kept.expected_latency_ms[cls.request_class.name]
            )
            cls.expected_latency_ms, cls.mean_deviation_ms = (
                cls.expected_latency_ms + late * (usual - cls.expected_latency_ms),
                late * dev,
            )
        for name, b in [
            (n, b) for n, b in self.backends.items() if n in kept.slowness or n in kept.ejection_left_ms
        ]:
            b.slowness = 1.0 + slowly * (min(100.0, max(0.01, kept.slowness.get(name, 1.0))) - 1.0)
            b.ejected_until_ms = self.now_ms + min(most, max(0.0, kept.ejection_left_ms.get(name, 0.0) - age))
            self._place(b)

    def _ask(self, _: None) -> None:
        self.actions.append(api.SubscribeToEndpoints())

    def _near(self, entry: api.Endpoint) -> bool:
        return self.settings.prices.cross_zone <= NEGLIGIBLE_PRICE or entry.zone == self.settings.zone
