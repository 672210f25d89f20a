"""Slow start: backends that are warming up get a reduced part of the requests.

A backend's slow-start fraction rises linearly from `slow_start_initial_fraction` at its start to 1 after
`slow_start_duration_ms`. The site counts a backend as overloaded above `overload_multiple` times its fair
share times this fraction; all nodes together must stay below that without coordination.
"""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy.records import HIGH_REJECTION_RATE, Backend, Request
from balancer.policy.state import NodeState

SLOW_START_LOAD_FRACTION = 0.5
"""Fraction of the overload threshold of a warming-up backend that all nodes together may use.

The other half is the margin for bursts and for nodes whose lists differ.
"""


def slow_start_fraction(
    endpoint: api.Endpoint, now_ms: float, initial_fraction: float, duration_ms: float
) -> float:
    """Return the fraction of its capacity, from 0 to 1, that a backend is guaranteed to have by now."""
    age_ms = now_ms - endpoint.started_at_ms
    if endpoint.started_at_ms <= 0 or duration_ms <= 0 or age_ms >= duration_ms:
        return 1.0
    return initial_fraction + (1.0 - initial_fraction) * max(0.0, age_ms) / duration_ms


def fraction(state: NodeState, backend: Backend) -> float:
    """Return the slow-start fraction of a backend at the current time."""
    settings = state.settings
    return slow_start_fraction(
        backend.endpoint,
        state.now_ms,
        settings.slow_start_initial_fraction,
        settings.slow_start_duration_ms,
    )


def admission_chance(state: NodeState) -> float:
    """Return the probability that a request considers a fully warm backend, times the number considered.

    It is based on the fleet size before restarts: the budget of a warming-up backend must not grow while
    others are down.
    """
    multiple = SLOW_START_LOAD_FRACTION * state.settings.overload_multiple
    return multiple * len(state.index.order) / state.fleet_size


def admitted(state: NodeState, request: Request, max_in_flight: float) -> list[Backend]:
    """Return the warming-up backends of the window that this request may consider.

    Each backend is drawn independently with its probability times its slow-start fraction, so that all nodes
    together keep its budget, whatever their number. Draws skip ahead geometrically, so the cost depends on
    the number admitted.
    """
    rng, warming_up, admitted_backends = state.rng, state.index.warming_up, list[Backend]()
    if (probability := admission_chance(state) / state.index.window_size) <= 0:
        return admitted_backends
    log_miss = math.log1p(-probability) if probability < 1 else -math.inf
    position = -1
    while (position := position + 1 + int(math.log(1.0 - rng.random()) / log_miss)) < len(warming_up):
        backend = warming_up[position]
        if rng.random() * min(1.0, probability) > probability * fraction(state, backend):
            continue
        if backend.in_flight <= max_in_flight and not (
            request.is_high_priority and backend.rejection_rate > HIGH_REJECTION_RATE
        ):
            admitted_backends.append(backend)
    return admitted_backends
