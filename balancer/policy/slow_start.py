"""Slow start: backends that are warming up get a thinned-out part of the requests.

A backend's slow-start fraction rises linearly from `slow_start_initial_fraction` at its start to 1 after
`slow_start_duration_ms`. The site counts a backend as overloaded above `overload_multiple` times its fair
share times this fraction; all nodes together have to stay below that without knowing of each other.
"""

from __future__ import annotations

import math

from balancer import interface as api
from balancer.policy.records import HIGH_REJECTION_RATE, Backend, Request
from balancer.policy.state import NodeState

SLOW_START_LOAD_FRACTION = 0.5
"""Part of the load that overloads a warming-up backend which all nodes together may send it.

The other half is the margin for bursts and for nodes whose lists differ.
"""


def slow_start_fraction(
    endpoint: api.Endpoint, now_ms: float, initial_fraction: float, duration_ms: float
) -> float:
    """The part of its capacity that a backend surely has by now, from 0 to 1."""
    age_ms = now_ms - endpoint.started_at_ms
    if endpoint.started_at_ms <= 0 or duration_ms <= 0 or age_ms >= duration_ms:
        return 1.0
    return initial_fraction + (1.0 - initial_fraction) * max(0.0, age_ms) / duration_ms


def fraction(state: NodeState, backend: Backend) -> float:
    """The slow-start fraction of a backend at the current time."""
    settings = state.settings
    return slow_start_fraction(
        backend.endpoint,
        state.now_ms,
        settings.slow_start_initial_fraction,
        settings.slow_start_duration_ms,
    )


def admission_chance(state: NodeState) -> float:
    """The chance that a request considers a fully warm backend, times the number of backends considered.

    It is measured by the fleet as large as it was before restarts: the budget of a warming-up backend doesn't
    grow while others are down.
    """
    multiple = SLOW_START_LOAD_FRACTION * state.settings.overload_multiple
    return multiple * len(state.index.order) / state.fleet_size


def admitted(state: NodeState, request: Request, max_in_flight: float) -> list[Backend]:
    """The warming-up backends of the window that this request may consider.

    Each one is drawn independently with its chance times its slow-start fraction, so that all nodes
    together keep its budget, however many they are. The draws skip geometrically: the cost follows the
    number admitted.
    """
    rng, warming_up, found = state.rng, state.index.warming_up, list[Backend]()
    if (chance := admission_chance(state) / state.index.window_size) <= 0:
        return found
    log_rest = math.log1p(-chance) if chance < 1 else -math.inf
    at = -1
    while (at := at + 1 + int(math.log(1.0 - rng.random()) / log_rest)) < len(warming_up):
        backend = warming_up[at]
        if rng.random() * min(1.0, chance) > chance * fraction(state, backend):
            continue
        if backend.in_flight <= max_in_flight and not (
            request.is_high_priority and backend.rejection_rate > HIGH_REJECTION_RATE
        ):
            found.append(backend)
    return found
