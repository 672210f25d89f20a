"""Chooses the backend of a request: Join-Up-To(m).

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

Differences from the paper: own attempts that are still in flight stay in the estimate when an idle report
arrives; backends with more attempts in flight than the mean are excluded; at the cap the draw is weighted.
With `literal_cap` set, the rule is exactly the paper's.

`choose` uses the backend index, whose cost does not grow with the fleet. `draw` and `choose_from` examine a
few backends one by one where the index cannot be used: probes, other zones, retries restricted to a group,
and panic.
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
"""Assumed second moment of job sizes over their squared mean, for m; exponential sizes have 2."""
MAX_IDLE_LOAD = 0.5
"""A reported load below this counts as idle: reports may be means of integers."""
SCANNED_PER_DRAWN = 3
"""Backends examined per backend to draw: bounds the cost of a draw where few are eligible."""
# A module-level name is faster to look up than an enum member.
LOWEST_ESTIMATE_BELOW_CAP = api.DecisionReason.LOWEST_ESTIMATE_BELOW_CAP
DRAWN_AT_CAP = api.DecisionReason.DRAWN_AT_CAP
REPORTED_IDLE = api.BackendDecision.REPORTED_IDLE
IDEMPOTENT = api.Idempotency.IDEMPOTENT

LevelInFlight = tuple[int, Level]  # attempts in flight of each backend in the level, and the level


def queue_cap(state: NodeState, request: Request) -> int:
    """Return m: how many requests can queue at a backend so that the last one still meets its objective."""
    class_state = request.class_state
    job_ms = JOB_SIZE_SECOND_MOMENT * max(class_state.expected_latency_ms, 1e-9)
    return state.literal_cap or max(1, int(class_state.request_class.latency_objective_ms / job_ms))


def apply_load_report(
    state: NodeState, backend: Backend, report: api.LoadReport | None, is_fresh: bool
) -> None:
    """Update the queue estimate from a load report.

    An idle report resets the estimate to this node's attempts in flight, which a late report may not include.
    A fresh report (from a probe, one round trip old) that is not idle replaces the estimate as well.
    """
    if report is None:
        return
    load = report.queued if report.in_flight is None else report.in_flight
    if load is None:
        return
    if load < MAX_IDLE_LOAD:
        if backend.queue_estimate != backend.in_flight:
            excess_estimate = backend.queue_estimate - backend.in_flight
            state.actions.append(api.NoteBackendDecision(backend.endpoint.id, REPORTED_IDLE, excess_estimate))
        backend.queue_estimate = 0 if state.literal_cap else backend.in_flight
    elif is_fresh:
        backend.queue_estimate = max(backend.in_flight, round(load))


# --- the whole window, through the index


def choose(state: NodeState, request: Request, max_in_flight: float, cap: int) -> Backend | None:
    """Join-Up-To(cap) over all backends in the window with at most `max_in_flight` attempts of this node.

    Backends with more of this node's attempts in flight than the mean are excluded as overloaded. Own counts
    are the only load figures that are never late: they show a backend that stalls or overloads before any
    report does.
    """
    index = state.index
    index.readmit_due(state.now_ms)
    warming_up: list[Backend] = []
    if index.warming_up and request.may_admit_warming_up:
        warming_up = slow_start.admitted(state, request, max_in_flight)
    request.may_admit_warming_up = False
    levels, count, total_in_flight, overloaded_count = _eligible_levels(
        state, request, max_in_flight, warming_up
    )
    if not count:
        return None
    state.selection_reason, state.eligible_count = LOWEST_ESTIMATE_BELOW_CAP, count
    state.overloaded_count = overloaded_count
    if (len(levels) > 1 or warming_up) and not state.literal_cap:
        # `in_flight * count <= total`: no more in flight than the mean.
        levels = [item for item in levels if item[0] * count <= total_in_flight]
        warming_up = [backend for backend in warming_up if backend.in_flight * count <= total_in_flight]
        remaining = len(warming_up)
        for _, level in levels:
            remaining += level.size
        state.eligible_count, state.overloaded_count = remaining, overloaded_count + count - remaining
    if len(levels) == 1 and not warming_up:
        level = levels[0][1]
        lowest = level.lowest_estimate()
        if lowest < cap:
            return state.rng.choice(level.by_estimate[lowest])
        return _draw_by_weight(state, levels, warming_up)
    return _choose_among(state, levels, warming_up, cap)


def _eligible_levels(
    state: NodeState, request: Request, max_in_flight: float, warming_up: list[Backend]
) -> tuple[list[LevelInFlight], int, int, int]:
    """Return the eligible levels, the backends and attempts in flight there, and the excluded backends."""
    levels: list[LevelInFlight] = []
    count, overloaded_count = len(warming_up), 0
    total_in_flight = sum(backend.in_flight for backend in warming_up) if warming_up else 0
    tiers = state.index.tiers
    # High-priority requests avoid backends that often reject for a shortage that no report shows.
    for tier in tiers[: 1 if request.is_high_priority else 2]:
        for in_flight, level in tier.items():
            if in_flight <= max_in_flight:
                levels.append((in_flight, level))
                count += level.size
                total_in_flight += in_flight * level.size
            else:
                overloaded_count += level.size
    # Backends known from the cache alone: one idempotent request at a time tests whether each is there and
    # warm; other requests use them only if no other backend is left.
    if (unconfirmed := tiers[2]) and (
        (is_only_choice := not count) or request.class_state.request_class.idempotency is IDEMPOTENT
    ):
        for in_flight, level in unconfirmed.items():
            if in_flight <= max_in_flight and (is_only_choice or not in_flight):
                levels.append((in_flight, level))
                count += level.size
                total_in_flight += in_flight * level.size
    return levels, count, total_in_flight, overloaded_count


def _choose_among(
    state: NodeState, levels: list[LevelInFlight], warming_up: list[Backend], cap: int
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
        rows = [row for _, level in levels for row in level.by_weight_bucket.values()] + [warming_up]
    offset = state.rng.randrange(sum(map(len, rows)))
    for row in rows:
        if offset < len(row):
            return row[offset]
        offset -= len(row)
    return None


def _draw_by_weight(state: NodeState, levels: list[LevelInFlight], warming_up: list[Backend]) -> Backend:
    """Draw by weight divided by one plus the own attempts in flight, as all backends have reached the cap.

    A row holds weights within a factor of two, so each drawn backend is accepted with a probability of at
    least one half.
    """
    state.selection_reason = DRAWN_AT_CAP
    rows: list[tuple[list[Backend], float]] = []
    cumulative_weights: list[float] = []
    weight_sum = 0.0
    for in_flight, level in levels:
        for bucket, row in level.by_weight_bucket.items():
            max_weight = 2.0**bucket
            weight_sum += len(row) * max_weight / (1 + in_flight)
            rows.append((row, max_weight))
            cumulative_weights.append(weight_sum)
    for backend in warming_up:
        max_weight = draw_weight(backend)
        weight_sum += max_weight / (1 + backend.in_flight)
        rows.append(([backend], max_weight))
        cumulative_weights.append(weight_sum)
    rng, last = state.rng, len(rows) - 1
    while True:
        row, max_weight = rows[bisect(cumulative_weights, rng.random() * weight_sum, 0, last)]
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
    considered_count: int,
    max_in_flight: float = math.inf,
    ignore_ejections: bool = False,
) -> list[Backend]:
    """Return up to `count` eligible candidates, in their order.

    Warming-up backends are thinned out by `considered_count`, the number of candidates that a request
    considers.
    """
    eligible: list[Backend] = []
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
            if not request.may_admit_warming_up or state.rng.random() * considered_count > chance:
                continue
        if retries.may_attempt(state, request, backend):
            eligible.append(backend)
        if len(eligible) >= count:
            break
    request.may_admit_warming_up = False
    return eligible


def draw_in_panic(
    state: NodeState,
    request: Request,
    count: int,
    stop: int,
    is_remote: bool = False,
    max_in_flight: float = math.inf,
) -> list[Backend]:
    """Draw while ignoring ejections: no backend in view is eligible, so this node's own view may be wrong."""
    backends_in_view = min(stop, len(state.index.order))
    state.log(f"panic: {backends_in_view} backends in view, none eligible, ignoring ejections")
    state.is_panicking = True
    candidates, considered_count = sample_candidates(state, count, 0, stop, is_remote)
    return draw(state, request, count, candidates, considered_count, max_in_flight, ignore_ejections=True)


def sample_candidates(
    state: NodeState, count: int, start: int, stop: int, is_remote: bool = False
) -> tuple[Iterable[Backend], int]:
    """Return candidates from a range of the order in random order, enough to draw `count`, and their number.

    With `is_remote` the range starts at the first remote backend.
    """
    order = state.index.order
    size = min(stop, len(order)) - min(start, len(order))
    start += state.index.local_count if is_remote else 0
    scanned_count = min(size, SCANNED_PER_DRAWN * count)
    considered_count = min(scanned_count, count) if state.probing_enabled else scanned_count
    positions = random_positions(state, size, scanned_count)
    return (order[(position + start) % len(order)][3] for position in positions), considered_count


def random_positions(state: NodeState, size: int, count: int) -> Iterable[int]:
    """Yield `count` of the first `size` integers in random order; large ranges are sampled lazily."""
    if size <= 2 * count:
        yield from state.rng.sample(range(size), count)
        return
    drawn = set[int]()
    while len(drawn) < count:
        if (position := state.rng.randrange(size)) not in drawn:
            drawn.add(position)
            yield position
