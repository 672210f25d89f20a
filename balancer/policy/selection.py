"""Which backend a request goes to: Join-Up-To(m).

The rule is from G. Kielanski, T. Hellemans and B. Van Houdt, "Join-Up-To(m): Improved Hyper-scalable Load
Balancing". The dispatcher keeps for each server an upper bound of its queue length: 0 when the server
reports that it is idle, one more with each job sent there. A job joins a server with the lowest bound as
long as that is below m, and a random server once all have reached m.

    paper                                        here
    upper bound of a server's queue length       `Backend.queue_estimate`
    m                                            `cap`, from `queue_cap`
    idle message                                 `apply_load_report` with a load below MAX_IDLE_LOAD
    lowest bound below m, ties at random         `choose`, `choose_from`: LOWEST_ESTIMATE_BELOW_CAP
    random server once all have reached m        `_draw_by_weight`: DRAWN_AT_CAP
    E[G^2], the second moment of job sizes       JOB_SIZE_SECOND_MOMENT

What differs from the paper: own attempts that are still in flight stay in the estimate when an idle report
comes late; backends with more in flight than the mean are left out; at the cap the draw is weighted. With
`literal_cap` set the rule is the paper's to the letter.

`choose` works off the backend index, whose cost doesn't grow with the fleet. `draw` and `choose_from` look
at a few backends one by one where the index doesn't serve: probes, other zones, retries bound to a group,
panic.
"""

from __future__ import annotations

import math
from bisect import bisect
from collections.abc import Iterable

from balancer import interface as api
from balancer.policy import retries, slow_start
from balancer.policy.backend_index import draw_weight
from balancer.policy.records import HIGH_REJECTION_RATE, Backend, Level, Request
from balancer.policy.state import NodeState

JOB_SIZE_SECOND_MOMENT = 1.5
"""Second moment of job sizes over the squared mean, allowed for in m; exponential sizes have 2."""
MAX_IDLE_LOAD = 0.5
"""A reported load below this is idle: figures may be means of whole numbers."""
SCANNED_PER_DRAWN = (
    3  # backends looked at for each that a draw asks for: bounds its cost where few are eligible
)
# A plain name is looked up faster than a member of an enum.
LOWEST_ESTIMATE_BELOW_CAP = api.DecisionReason.LOWEST_ESTIMATE_BELOW_CAP
DRAWN_AT_CAP = api.DecisionReason.DRAWN_AT_CAP
REPORTED_IDLE = api.BackendDecision.REPORTED_IDLE
IDEMPOTENT = api.Idempotency.IDEMPOTENT

CountedLevel = tuple[int, Level]  # attempts in flight of each backend in the level, and the level


def queue_cap(state: NodeState, request: Request) -> int:
    """m: how many requests can stand in line at a backend and the last still meet its latency objective."""
    class_state = request.class_state
    job_ms = JOB_SIZE_SECOND_MOMENT * max(class_state.expected_latency_ms, 1e-9)
    return state.literal_cap or max(1, int(class_state.request_class.latency_objective_ms / job_ms))


def apply_load_report(
    state: NodeState, backend: Backend, report: api.LoadReport | None, is_fresh: bool
) -> None:
    """An idle report sets the estimate to the own attempts in flight, which a late report doesn't know of.

    A fresh report (of a probe, one round trip old) that isn't idle replaces the bound as well.
    """
    if report is None:
        return
    load = report.queued if report.in_flight is None else report.in_flight
    if load is None:
        return
    if load < MAX_IDLE_LOAD:
        if backend.queue_estimate != backend.in_flight:
            span = backend.queue_estimate - backend.in_flight
            state.actions.append(api.NoteBackendDecision(backend.endpoint.id, REPORTED_IDLE, span))
        backend.queue_estimate = 0 if state.literal_cap else backend.in_flight
    elif is_fresh:
        backend.queue_estimate = max(backend.in_flight, round(load))


# --- the whole window, off the index


def choose(state: NodeState, request: Request, max_in_flight: float, cap: int) -> Backend | None:
    """Join-Up-To(cap) over all backends in the window with at most `max_in_flight` attempts of this node.

    Backends overloaded by this node's own count, the one figure that isn't late, are left out: those with
    more in flight than the mean. Guards against backends that stall or overload before a report tells.
    """
    index = state.index
    index.readmit_due(state.now_ms)
    warming_up: list[Backend] = []
    if index.warming_up and request.may_admit_warming_up:
        warming_up = slow_start.admitted(state, request, max_in_flight)
    request.may_admit_warming_up = False
    levels, count, total, overloaded = _eligible_levels(state, request, max_in_flight, warming_up)
    if not count:
        return None
    state.selection_reason, state.eligible_count = LOWEST_ESTIMATE_BELOW_CAP, count
    state.overloaded_count = overloaded
    if (len(levels) > 1 or warming_up) and not state.literal_cap:
        # `in_flight * count <= total`: no more in flight than the mean.
        levels = [item for item in levels if item[0] * count <= total]
        warming_up = [backend for backend in warming_up if backend.in_flight * count <= total]
        left = len(warming_up)
        for _, level in levels:
            left += level.size
        state.eligible_count, state.overloaded_count = left, overloaded + count - left
    if len(levels) == 1 and not warming_up:
        level = levels[0][1]
        lowest = level.lowest_estimate()
        if lowest < cap:
            return state.rng.choice(level.by_estimate[lowest])
        return _draw_by_weight(state, levels, warming_up)
    return _choose_among(state, levels, warming_up, cap)


def _eligible_levels(
    state: NodeState, request: Request, max_in_flight: float, warming_up: list[Backend]
) -> tuple[list[CountedLevel], int, int, int]:
    """The levels a request may go to; backends and attempts in flight there, and backends left out."""
    levels: list[CountedLevel] = []
    count, overloaded = len(warming_up), 0
    total = sum(backend.in_flight for backend in warming_up) if warming_up else 0
    shelves = state.index.shelves
    # Guards requests of high priority against backends that reject for want of what no report shows.
    for shelf in shelves[: 1 if request.is_high_priority else 2]:
        for in_flight, level in shelf.items():
            if in_flight <= max_in_flight:
                levels.append((in_flight, level))
                count += level.size
                total += in_flight * level.size
            else:
                overloaded += level.size
    # Some are known from the cache alone: one idempotent request at a time shows whether they are there and
    # warm, and the others go to them where nobody else is left.
    if (unconfirmed := shelves[2]) and (
        (is_alone := not count) or request.class_state.request_class.idempotency is IDEMPOTENT
    ):
        for in_flight, level in unconfirmed.items():
            if in_flight <= max_in_flight and (is_alone or not in_flight):
                levels.append((in_flight, level))
                count += level.size
                total += in_flight * level.size
    return levels, count, total, overloaded


def _choose_among(
    state: NodeState, levels: list[CountedLevel], warming_up: list[Backend], cap: int
) -> Backend | None:
    """Join-Up-To(cap) over several levels and the warming-up backends."""
    lowest = min(
        [level.lowest_estimate() for _, level in levels] + [backend.queue_estimate for backend in warming_up]
    )
    if lowest < cap:
        rows = [level.by_estimate[lowest] for _, level in levels if lowest in level.by_estimate]
        rows.append([backend for backend in warming_up if backend.queue_estimate == lowest])
    elif not state.literal_cap:
        return _draw_by_weight(state, levels, warming_up)
    else:
        rows = [row for _, level in levels for row in level.by_weight_grade.values()] + [warming_up]
    at = state.rng.randrange(sum(map(len, rows)))
    for row in rows:
        if at < len(row):
            return row[at]
        at -= len(row)
    return None


def _draw_by_weight(state: NodeState, levels: list[CountedLevel], warming_up: list[Backend]) -> Backend:
    """A draw by weight over one more than the own attempts in flight: all have reached the cap.

    A row holds weights within a factor of two, so that a drawn backend is kept with a chance of at least a
    half.
    """
    state.selection_reason = DRAWN_AT_CAP
    rows: list[tuple[list[Backend], float]] = []
    edges: list[float] = []
    edge = 0.0
    for in_flight, level in levels:
        for grade, row in level.by_weight_grade.items():
            max_weight = 2.0**grade
            edge += len(row) * max_weight / (1 + in_flight)
            rows.append((row, max_weight))
            edges.append(edge)
    for backend in warming_up:
        max_weight = draw_weight(backend)
        edge += max_weight / (1 + backend.in_flight)
        rows.append(([backend], max_weight))
        edges.append(edge)
    rng, last = state.rng, len(rows) - 1
    while True:
        row, max_weight = rows[bisect(edges, rng.random() * edge, 0, last)]
        backend = rng.choice(row)
        if rng.random() * max_weight <= draw_weight(backend):
            return backend


# --- a few backends, one by one


def choose_from(state: NodeState, pool: list[Backend], cap: int) -> Backend:
    """Join-Up-To(cap) over a few backends."""
    lowest = min(backend.queue_estimate for backend in pool)
    state.eligible_count = len(pool)
    if lowest < cap:
        state.selection_reason = LOWEST_ESTIMATE_BELOW_CAP
        return state.rng.choice([backend for backend in pool if backend.queue_estimate == lowest])
    state.selection_reason = DRAWN_AT_CAP
    weights = [draw_weight(backend) / (1 + backend.in_flight) for backend in pool]
    return state.rng.choices(pool, weights)[0]


def draw(
    state: NodeState,
    request: Request,
    count: int,
    candidates: Iterable[Backend],
    considered: int,
    max_in_flight: float = math.inf,
    ignore_ejections: bool = False,
) -> list[Backend]:
    """Up to `count` eligible ones of the candidates, in their order.

    Warming-up ones are thinned out by `considered`, the number of candidates that a request considers.
    """
    found: list[Backend] = []
    for backend in candidates:
        ejected_until_ms = 0.0 if ignore_ejections else backend.ejected_until_ms
        if (
            backend in request.probed
            or max(backend.paused_until_ms, ejected_until_ms) > state.now_ms
            or backend.in_flight > max_in_flight
        ):
            continue
        if request.is_high_priority and backend.rejection_rate > HIGH_REJECTION_RATE and not ignore_ejections:
            continue
        if (fraction := slow_start.fraction(state, backend)) < 1.0:
            chance = slow_start.admission_chance(state) * fraction
            if not request.may_admit_warming_up or state.rng.random() * considered > chance:
                continue
        if retries.may_attempt(state, request, backend):
            found.append(backend)
        if len(found) >= count:
            break
    request.may_admit_warming_up = False
    return found


def draw_in_panic(
    state: NodeState,
    request: Request,
    count: int,
    stop: int,
    is_far: bool = False,
    max_in_flight: float = math.inf,
) -> list[Backend]:
    """Nothing this node feeds is eligible: its own view may be the culprit, so ejections are ignored."""
    in_view = min(stop, len(state.index.order))
    state.log(f"panic: {in_view} backends in view, none eligible, ignoring ejections")
    state.is_panicking = True
    candidates, considered = stretch(state, count, 0, stop, is_far)
    return draw(state, request, count, candidates, considered, max_in_flight, ignore_ejections=True)


def stretch(
    state: NodeState, count: int, start: int, stop: int, is_far: bool = False
) -> tuple[Iterable[Backend], int]:
    """Candidates from a stretch of the order in random order, for `count` to be drawn, and how many.

    With `is_far` the stretch is counted from the first backend of another zone.
    """
    order = state.index.order
    size = min(stop, len(order)) - min(start, len(order))
    start += state.index.local_count if is_far else 0
    scanned = min(size, SCANNED_PER_DRAWN * count)
    considered = min(scanned, count) if state.probing_enabled else scanned
    positions = random_positions(state, size, scanned)
    return (order[(at + start) % len(order)][3] for at in positions), considered


def random_positions(state: NodeState, size: int, count: int) -> Iterable[int]:
    """`count` of the first `size` numbers in random order; of many, drawn only as they are asked for."""
    if size <= 2 * count:
        yield from state.rng.sample(range(size), count)
        return
    seen = set[int]()
    while len(seen) < count:
        if (at := state.rng.randrange(size)) not in seen:
            seen.add(at)
            yield at
