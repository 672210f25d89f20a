"""The limit on this node's attempts in flight, steered by how near answers are to the tightest objective.

The limit moves by a small relative step with each answer. It is held above a minimum that grows with the part
of the fleet that falls to this node; live weights that show spare capacity relax that minimum upwards.
"""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy import capacity
from balancer.policy.records import EWMA_WEIGHT, ClassState
from balancer.policy.state import NodeState

TARGET_LATENCY_FRACTION = 0.07
"""The limit steers for answers that usually take this part of the tightest objective, over the floor."""
LIMIT_GAIN = 0.015
"""Relative step of the limit per answer and unit of error: small, as all nodes react alike."""
LATENCY_FLOOR_RISE = 0.001
"""Part of an answer's time by which the latency floor rises again, lest one outlive its cause."""
CLASS_MEMORY_OBJECTIVES = 4.0
"""Longest objectives without an answer after which a class no longer steers the limit."""
MIN_LATENCY_RATIO = 0.1
"""Answers faster than this part of the target count as this part: a few trivial ones don't lift the limit."""
MIN_LIMIT_PER_BACKEND = 4.0
"""Lowest and first limit, in attempts for each backend that falls to this node..."""
MIN_BACKENDS_PER_NODE = 0.6
"""...or for this part of one where nodes outnumber backends: less would be met by a few arrivals at once."""
RELAXATION_REQUESTS_PER_CORE = 1.6
"""Mean requests held a core up to which the minimum limit may rise while the limit binds."""
MAX_LIMIT_RELAXATION = 1.5
"""The most by which the minimum limit is multiplied."""
RELAXATION_RISE, RELAXATION_FALL = 0.1, 0.2
"""Parts by which that factor rises and falls in the time of the longest objective: falling is more urgent."""
OK = api.AttemptStatus.OK


def steer(state: NodeState, class_state: ClassState, event: api.AttemptFinished, zone: str) -> None:
    """Move the limit by one answer.

    Guards against overloading a fleet until it turns slow, which takes far longer to undo. The limit rises
    only while it binds: quiet nodes whose limit floats up would flood the fleet when a burst comes.
    """
    ratio = _latency_ratio(state, class_state, event, zone)
    # Only classes in use have a say, and one that comes back starts anew: guards against a class that
    # nobody asks for, or that was slow and fell silent, and holds the limit down for good. At first all
    # have one: a limit that rises before each class has shown slack overloads a fleet that is at fault.
    since_ms = state.now_ms - CLASS_MEMORY_OBJECTIVES * state.longest_objective_ms
    state.steered_since_ms = min(state.steered_since_ms, state.now_ms)
    if class_state.steered_at_ms < since_ms:
        class_state.mean_log_latency_ratio = 0.0
    class_state.steered_at_ms = state.now_ms
    log_ratio = math.log(max(ratio, MIN_LATENCY_RATIO))
    class_state.mean_log_latency_ratio += EWMA_WEIGHT / 2 * (log_ratio - class_state.mean_log_latency_ratio)
    excess, are_all_heard = class_state.mean_log_latency_ratio, state.steered_since_ms >= since_ms
    for other in state.classes.values():
        if other.mean_log_latency_ratio > excess and (are_all_heard or other.steered_at_ms >= since_ms):
            excess = other.mean_log_latency_ratio
    if excess > 0 or is_binding(state):
        state.concurrency_limit *= 1 - LIMIT_GAIN * max(-1.0, min(1.0, excess))
    state.concurrency_limit = max(state.concurrency_limit, state.min_concurrency_limit)


def _latency_ratio(state: NodeState, class_state: ClassState, event: api.AttemptFinished, zone: str) -> float:
    """An answer's time over the target; one that failed counts as the whole objective.

    The latency floor, the way there and back, is left out of both: guards against a limit whose target is
    near the round trip, which would be held down for good.
    """
    objective_ms = took_ms = class_state.request_class.latency_objective_ms
    floor_ms = state.latency_floors_ms.get(zone, objective_ms / 2)
    if event.status is OK:
        took_ms = event.duration_ms
        floor_ms = min(took_ms, floor_ms + LATENCY_FLOOR_RISE * took_ms)
        state.latency_floors_ms[zone] = floor_ms
    floor_ms = min(floor_ms, objective_ms / 2)
    return (took_ms - floor_ms) / (TARGET_LATENCY_FRACTION * (objective_ms - floor_ms))


def is_binding(state: NodeState) -> bool:
    """Whether the limit bound until the attempt that has just ended."""
    return state.in_flight + 2 > state.concurrency_limit


def update_minimum(state: NodeState, backend_count: int) -> None:
    """Set the minimum limit by the backends that fall to this node."""
    backends_per_node = max(MIN_BACKENDS_PER_NODE, backend_count / state.settings.node_count)
    state.min_concurrency_limit = MIN_LIMIT_PER_BACKEND * backends_per_node * state.limit_relaxation


def relax(state: NodeState) -> None:
    """Let the minimum limit rise while live weights tell that each core holds few requests.

    Guards against shedding where the objectives are too tight for answers' times to tell load from a
    backend's own time to serve. Could hurt where weights are late by more than a burst takes to overload a
    fleet, or where discovery falls silent after a rise: it stays until the next list.
    """
    held, count = capacity.total_requests_per_core(state)
    elapsed = min(1.0, (state.now_ms - state.listed_at_ms) / state.longest_objective_ms)
    if held > RELAXATION_REQUESTS_PER_CORE * count:
        state.limit_relaxation = max(1.0, state.limit_relaxation * (1 - RELAXATION_FALL * elapsed))
    elif state.queued or is_binding(state):
        relaxed = state.limit_relaxation * (1 + RELAXATION_RISE * elapsed)
        state.limit_relaxation = min(MAX_LIMIT_RELAXATION, relaxed)
