"""Which requests are rejected before they cost anything: too few succeed, or the backend is overloaded.

Requests of high priority are exempt from both.
"""

from __future__ import annotations

from balancer.policy import capacity, retries
from balancer.policy.records import EWMA_WEIGHT, Backend, ClassState, Request
from balancer.policy.state import NodeState

HIGH_PRIORITY_DENSITY_RATIO = 3.0
"""Multiple of the mean priority weight over expected latency from which a request has high priority."""
ADAPTIVE_THROTTLING_FACTOR = 1.4
"""Shedding begins once the cubed fraction of successful attempts is under one in this: at about 0.89."""
OVERLOAD_REQUESTS_PER_CORE = (1.5, 3.0)
"""Requests held a core from which a backend is protected from overload, and from which it gets none."""
MAX_PLAUSIBLE_REQUESTS_PER_CORE = 16.0
"""More than any backend holds: such a weight tells of another size, not of an overload."""


def update_density(state: NodeState, class_state: ClassState) -> bool:
    """Learn from an arrival what priority weight is usual for its time; returns if this one's is high."""
    density = class_state.request_class.priority_weight / class_state.expected_latency_ms
    state.mean_priority_density += EWMA_WEIGHT / 2 * (density - state.mean_priority_density)
    return density > HIGH_PRIORITY_DENSITY_RATIO * state.mean_priority_density or state.literal_cap > 0


def is_shed(state: NodeState, request: Request) -> bool:
    """Whether a first attempt is shed, in fractions, as too few of this node's attempts succeed.

    As many pass as there are retries: a node that has lost all trust goes on trying.
    """
    if request.attempts or request.is_high_priority:
        return False
    passing = ADAPTIVE_THROTTLING_FACTOR * state.success_rate**3
    return state.rng.random() > max(retries.RETRY_BUDGET_RATIO, passing)


def is_protected(state: NodeState, backend: Backend) -> bool:
    """Random early detection (Floyd and Jacobson 1993) on the requests a core holds, by the live weight.

    Guards against an overload that no node sees: a few requests in flight at each of 200 nodes are a jam at
    a backend that turns slow for long once it held too many. One rejection ends it: whatever were forwarded
    to the next backend would overload that, too. A weight is believed for the longest objective: guards
    against a list that falls silent meanwhile.
    """
    if state.now_ms - state.listed_at_ms > state.longest_objective_ms:
        return False
    held = capacity.requests_per_core(state, backend)
    if held is None:
        return False
    low, high = OVERLOAD_REQUESTS_PER_CORE
    return low < held < MAX_PLAUSIBLE_REQUESTS_PER_CORE and state.rng.random() * (high - low) < held - low
