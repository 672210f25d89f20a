"""The limit on this node's attempts in flight, adjusted by the latency relative to the tightest objective.

Each answer changes the limit by a small relative step. The limit stays above a minimum that grows with this
node's share of the fleet; live weights that show spare capacity raise that minimum.
"""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy import capacity
from balancer.policy.records import EWMA_WEIGHT, ClassState
from balancer.policy.state import NodeState

TARGET_LATENCY_FRACTION = 0.07
"""Target latency above the floor, as a fraction of the tightest objective above the floor."""
LIMIT_GAIN = 0.015
"""Relative step of the limit per answer and unit of error: small, as all nodes react alike."""
LATENCY_FLOOR_RISE = 0.001
"""Fraction of an answer's latency by which the latency floor rises, so that an outdated floor recovers."""
CLASS_MEMORY_OBJECTIVES = 4.0
"""A class without answers for this many longest objectives no longer affects the limit."""
MIN_LATENCY_RATIO = 0.1
"""Lower bound of latency over target, so that a few trivially fast answers do not raise the limit."""
MIN_LIMIT_PER_BACKEND = 4.0
"""Minimum and initial limit, in attempts per backend in this node's share."""
MIN_BACKENDS_PER_NODE = 0.6
"""Smallest share assumed where nodes outnumber backends: a few arrivals would exhaust a lower limit."""
RELAXATION_REQUESTS_PER_CORE = 1.6
"""Mean requests per core up to which the minimum limit may rise while the limit binds."""
MAX_LIMIT_RELAXATION = 1.5
"""Largest factor by which the minimum limit is multiplied."""
RELAXATION_RISE, RELAXATION_FALL = 0.1, 0.2
"""Fractions by which that factor rises and falls per longest objective: falling is more urgent."""
OK = api.AttemptStatus.OK


def adjust(state: NodeState, class_state: ClassState, event: api.AttemptFinished, zone: str) -> None:
    """Adjust the limit by one answer.

    This guards against overloading a fleet until it turns slow, which takes far longer to undo. The limit
    rises only while it binds: quiet nodes whose limit drifted up would flood the fleet in a burst.
    """
    ratio = _latency_ratio(state, class_state, event, zone)
    # Only classes in use count, and a class that returns starts afresh: an unused class, or one that was
    # slow and then fell silent, would hold the limit down for good. Initially all classes count: a limit
    # that rises before each class has shown slack overloads a faulty fleet.
    since_ms = state.now_ms - CLASS_MEMORY_OBJECTIVES * state.longest_objective_ms
    state.limit_adjusted_since_ms = min(state.limit_adjusted_since_ms, state.now_ms)
    if class_state.limit_adjusted_at_ms < since_ms:
        class_state.mean_log_latency_ratio = 0.0
    class_state.limit_adjusted_at_ms = state.now_ms
    log_ratio = math.log(max(ratio, MIN_LATENCY_RATIO))
    class_state.mean_log_latency_ratio += EWMA_WEIGHT / 2 * (log_ratio - class_state.mean_log_latency_ratio)
    excess, is_initial_phase = class_state.mean_log_latency_ratio, state.limit_adjusted_since_ms >= since_ms
    for other in state.classes.values():
        if other.mean_log_latency_ratio > excess and (
            is_initial_phase or other.limit_adjusted_at_ms >= since_ms
        ):
            excess = other.mean_log_latency_ratio
    if excess > 0 or is_binding(state):
        state.concurrency_limit *= 1 - LIMIT_GAIN * max(-1.0, min(1.0, excess))
    state.concurrency_limit = max(state.concurrency_limit, state.min_concurrency_limit)


def _latency_ratio(state: NodeState, class_state: ClassState, event: api.AttemptFinished, zone: str) -> float:
    """Return an answer's latency over the target; a failed attempt counts as the whole objective.

    The latency floor (the round trip) is subtracted from both: otherwise a limit whose target is near the
    round trip would stay at its minimum for good.
    """
    objective_ms = latency_ms = class_state.request_class.latency_objective_ms
    floor_ms = state.latency_floors_ms.get(zone, objective_ms / 2)
    if event.status is OK:
        latency_ms = event.duration_ms
        floor_ms = min(latency_ms, floor_ms + LATENCY_FLOOR_RISE * latency_ms)
        state.latency_floors_ms[zone] = floor_ms
    floor_ms = min(floor_ms, objective_ms / 2)
    return (latency_ms - floor_ms) / (TARGET_LATENCY_FRACTION * (objective_ms - floor_ms))


def is_binding(state: NodeState) -> bool:
    """Return whether the limit was binding until the attempt that has just ended."""
    return state.in_flight + 2 > state.concurrency_limit


def update_minimum(state: NodeState, backend_count: int) -> None:
    """Set the minimum limit by the number of backends in this node's share."""
    backends_per_node = max(MIN_BACKENDS_PER_NODE, backend_count / state.settings.node_count)
    state.min_concurrency_limit = MIN_LIMIT_PER_BACKEND * backends_per_node * state.limit_relaxation


def relax(state: NodeState) -> None:
    """Let the minimum limit rise while live weights show few requests per core.

    This guards against shedding where objectives are so tight that latency cannot tell load from the service
    time. The risks: weights may arrive later than a burst takes to overload a fleet, and if discovery falls
    silent after a rise, the raised minimum stays until the next list.
    """
    requests_per_core_sum, count = capacity.total_requests_per_core(state)
    elapsed_fraction = min(1.0, (state.now_ms - state.listed_at_ms) / state.longest_objective_ms)
    if requests_per_core_sum > RELAXATION_REQUESTS_PER_CORE * count:
        state.limit_relaxation = max(1.0, state.limit_relaxation * (1 - RELAXATION_FALL * elapsed_fraction))
    elif state.queued or is_binding(state):
        raised_relaxation = state.limit_relaxation * (1 + RELAXATION_RISE * elapsed_fraction)
        state.limit_relaxation = min(MAX_LIMIT_RELAXATION, raised_relaxation)
