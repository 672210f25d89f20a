"""The state of one node, passed explicitly to each function that makes decisions.

Times are milliseconds on the caller's clock. This module makes no decisions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from balancer import interface as api
from balancer.policy.backend_index import BackendIndex
from balancer.policy.records import Backend, Capacity, ClassState, Request

LOG_INTERVAL_MS = 10_000.0  # a node logs at most one line per interval so as not to flood operators


@dataclass(slots=True, eq=False)
class NodeState:
    """The state of one node. The functions of this package change it in place; `Balancer` owns it."""

    settings: api.Settings
    rng: random.Random
    literal_cap: int  # a fixed m for measurements; 0: m follows from the settings
    classes: dict[str, ClassState]
    index: BackendIndex
    probing_enabled: bool
    longest_objective_ms: float
    fleet_size_decay_ms: float
    concurrency_limit: float
    min_concurrency_limit: float
    retry_tokens: float
    probe_round_trip_ms: float  # expected round trip of a probe
    mean_priority_density: float  # moving average of priority weight over expected latency

    # The current event.
    now_ms: float = 0.0
    actions: list[api.Action] = field(default_factory=list)

    # The current choice, as `SendAttempt` reports it.
    selection_reason: api.DecisionReason = api.DecisionReason.LOWEST_ESTIMATE_BELOW_CAP
    attempt_cause: api.DecisionReason = api.DecisionReason.FIRST_ATTEMPT
    eligible_count: int = 0
    overloaded_count: int = 0
    is_panicking: bool = False

    # Backends and requests.
    backends: dict[str, Backend] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    queued: dict[str, Request] = field(default_factory=dict)  # waiting for capacity under the limit
    in_flight: int = 0  # attempts of this node

    # Endpoint list and subset.
    subset_size: int = 0  # number of backends at the start of the index's order that form the subset
    fleet_size: float = (
        0.0  # maximum number of listed backends, decaying slowly; a backend's share is measured by it
    )
    listed_at_ms: float = 0.0  # when the list was last updated
    failed_polls: int = 0  # in a row
    poll_started_at_ms: float = 0.0  # when the last poll began
    is_poll_scheduled: bool = False
    capacity_by_kind: dict[str, Capacity] = field(default_factory=dict)
    miss_rates: list[float] = field(
        default_factory=lambda: [0.0, 0.0]
    )  # fractions of missed objectives: local, other zones
    spillover: float = 0.0  # fraction of requests sent to other zones

    # Concurrency limit.
    latency_floors_ms: dict[str, float] = field(default_factory=dict)  # lowest latency of an answer, by zone
    limit_adjusted_since_ms: float = math.inf  # when the first answer adjusted the limit
    limit_relaxation: float = 1.0  # factor applied to the minimum limit

    # Rates of recent attempts.
    lost_response_rate: float = 0.0  # attempts that timed out
    failure_rate: float = 0.0  # failed attempts, among those that were not rejected
    success_rate: float = (
        1.0  # answers within the objective; with probing, only attempts after an idle report
    )

    # Timers and the log.
    timers: dict[int, tuple[Callable[[NodeState, Any], None], Any]] = field(default_factory=dict)
    last_timer_token: int = 0
    logged_at_ms: float = -LOG_INTERVAL_MS
    arrived_since_log: int = 0
    rejected_since_log: int = 0

    def set_timer(self, at_ms: float, callback: Callable[[NodeState, Any], None], argument: Any) -> None:
        """Schedule a call of `callback(state, argument)` at a given time."""
        self.last_timer_token += 1
        self.timers[self.last_timer_token] = (callback, argument)
        self.actions.append(api.SetTimer(at_ms, self.last_timer_token))

    def log(self, text: str) -> None:
        """Write a log line unless one was written less than LOG_INTERVAL_MS ago."""
        if self.now_ms - self.logged_at_ms >= LOG_INTERVAL_MS:
            self.logged_at_ms, self.arrived_since_log, self.rejected_since_log = self.now_ms, 0, 0
            self.actions.append(api.WriteLog(text))
