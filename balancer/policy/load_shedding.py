"""Rejects requests before they cost anything: too few succeed, or the backend is overloaded.

High-priority requests are exempt from both.
"""

from __future__ import annotations

from balancer.policy import capacity, retries
from balancer.policy.records import EWMA_WEIGHT, Backend, ClassState, Request
from balancer.policy.state import NodeState

HIGH_PRIORITY_DENSITY_RATIO = 3.0
"""A request has high priority above this multiple of the mean priority weight over expected latency."""
ADAPTIVE_THROTTLING_FACTOR = 1.4
"""Shedding begins when the cubed success rate is below the inverse of this: at a rate of about 0.89."""
OVERLOAD_REQUESTS_PER_CORE = (1.5, 3.0)
"""Requests per core from which a backend gets fewer requests, and from which it gets none."""
MAX_PLAUSIBLE_REQUESTS_PER_CORE = 16.0
"""More than any backend holds: such a weight indicates another backend size, not overload."""


def update_priority_density(state: NodeState, class_state: ClassState) -> bool:
    """Update the mean priority density with an arrival; returns whether the class has high priority."""
    density = class_state.request_class.priority_weight / class_state.expected_latency_ms
    state.mean_priority_density += EWMA_WEIGHT / 2 * (density - state.mean_priority_density)
    return density > HIGH_PRIORITY_DENSITY_RATIO * state.mean_priority_density or state.literal_cap > 0


def is_shed(state: NodeState, request: Request) -> bool:
    """Return whether to shed a first attempt, with a probability that grows as this node's attempts fail.

    The pass rate never falls below the retry ratio, so that a node whose attempts all fail keeps trying.
    """
    if request.attempts or request.is_high_priority:
        return False
    pass_probability = ADAPTIVE_THROTTLING_FACTOR * state.success_rate**3
    return state.rng.random() > max(retries.RETRY_BUDGET_RATIO, pass_probability)


def is_protected(state: NodeState, backend: Backend) -> bool:
    """Random early detection (Floyd and Jacobson 1993) on the requests per core, by the live weight.

    This guards against an overload that no single node sees: a few requests in flight from each of 200 nodes
    overload a backend, which stays slow for long afterwards. The request is rejected rather than forwarded,
    as it would overload the next backend, too. A weight is trusted for the longest objective only, as the
    list may have fallen silent.
    """
    if state.now_ms - state.listed_at_ms > state.longest_objective_ms:
        return False
    requests_per_core = capacity.requests_per_core(state, backend)
    if requests_per_core is None:
        return False
    low, high = OVERLOAD_REQUESTS_PER_CORE
    return (
        low < requests_per_core < MAX_PLAUSIBLE_REQUESTS_PER_CORE
        and state.rng.random() * (high - low) < requests_per_core - low
    )
