"""Input, state and output types of the anomaly detection, and the JSON form of its events.

Enum values are exported as event names, scopes and signals in `events --json`, in the log and in metric
labels (`docs/operate/timeline.md`). Renaming a member must not change its value.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Signal(Enum):
    """The measured quantity that is anomalous, or the component that an event comes from."""

    RESPONSE_TIME = "answer_time"
    ERRORS = "errors"
    REJECTIONS = "turned_away"
    LOAD = "load"
    TIMEOUTS = "silence"
    STALE_REPORT = "stale_report"
    FLAPPING = "flapping"
    RECOVERY = "recovery"  # recovery of this node; used with `EventType.RECOVERY_STATE_CHANGED`
    PEERS = "peers"  # state of another node; used with the event types of peers


class Scope(Enum):
    """What an event is about."""

    SERVER = "server"
    ZONE = "zone"
    KIND = "kind"
    CELL = "cell"
    CLASS = "class"
    FLEET = "all"
    NODE = "node"
    PEER = "peer"


class EventType(Enum):
    """What happened; types other than those of anomalies come from other components."""

    ANOMALY_BEGAN = "departure_began"
    ANOMALY_CHANGED = "departure_changed"
    ANOMALY_ENDED = "departure_ended"
    # `balancer.core.recovery`
    RECOVERY_STATE_CHANGED = "recovery"
    # `balancer.core.cluster.failure_detector`
    PEER_JOINED = "peer_joined"
    PEER_SUSPECTED = "peer_suspected"
    PEER_FAILED = "peer_failed"
    PEER_LEFT = "peer_left"
    PEER_RETURNED = "peer_returned"
    PEER_ADDRESS_CHANGED = "peer_moved"
    PEER_NAME_CONFLICT = "peer_doubled"
    PEER_NAME_YIELDED = "peer_yielded"
    PEER_NAME_RESUMED = "peer_resumed"
    PEER_TABLE_FULL = "peer_full"
    # `balancer.core.cluster.gossip_coordinator`
    PARTITION_BEGAN = "cut_began"
    PARTITION_HEALED = "cut_ended"
    DIVERGENCE_BEGAN = "disagreement_began"
    DIVERGENCE_ENDED = "disagreement_ended"


LogMoments = tuple[int, float, float]
"""Number of response times, sum of their logarithms (of ms), sum of the squared logarithms."""


@dataclass(slots=True)
class ServerObservation:
    """What this node saw of one server since the previous observation.

    `response_times` is keyed by request class, `timeouts` counts attempts that timed out, `lifecycle_changes`
    counts starts and phase changes in the endpoint list. `identical_reports` consecutive load reports had the
    same value for `identical_reports_ms`, while the node's own count of requests in flight varied by
    `own_count_spread`. Response times of a server that `is_warming_up` are not tested.
    """

    server: str
    zone: str = ""
    kind: str = ""
    cell: int = -1  # -1: unknown
    response_times: dict[str, LogMoments] = field(default_factory=dict)
    successes: int = 0
    errors: int = 0
    rejections: int = 0
    timeouts: int = 0
    reported_load: float | None = None  # requests
    lifecycle_changes: int = 0
    identical_reports: int = 0
    identical_reports_ms: float = 0.0
    own_count_spread: int = 0
    is_warming_up: bool = False


class Suspicion(NamedTuple):
    """Evidence that one server is anomalous in one signal: a score and the mean deviation that caused it.

    Two signals have no score. A stale report has the number of identical reports as the value and the spread
    of the node's own count as the score; flapping has the number of changes as the value.
    """

    class_name: str  # "" unless the signal is the response time
    since_ms: float
    value: float
    score: float


Suspicions = dict[str, Suspicion]
"""Suspicions by server name."""


class Group(NamedTuple):
    """A group of servers that share a zone, kind or cell, or the whole fleet."""

    scope: Scope
    subject: str


@dataclass(slots=True)
class Anomaly:
    """An anomaly. `at_ms` is the time of its latest event, `since_ms` the estimated time of the change.

    `normal_rows` counts the normal rows towards its end. Value changes are measured against
    `reported_value`.
    """

    id: int
    scope: Scope
    subject: str
    signal: Signal
    at_ms: float
    since_ms: float
    evidence: dict[str, object]
    servers: set[str] = field(default_factory=set)
    class_name: str = ""
    event_type: EventType = EventType.ANOMALY_BEGAN
    reported_ms: float = 0.0
    reported_value: float = 0.0
    normal_rows: int = 0
    last_observed_ms: float = 0.0

    @property
    def is_fleet_shift(self) -> bool:
        """Whether the reference of a class or of the fleet shifted, so that it names no single server."""
        return not self.servers and self.scope in (Scope.FLEET, Scope.CLASS)


@dataclass(slots=True)
class TimelineEvent:
    """An event for the timeline, the log and the metrics. `id` is negative for other components' events."""

    event_type: EventType
    id: int
    at_ms: float
    since_ms: float
    scope: Scope
    subject: str
    signal: Signal
    evidence: dict[str, object]

    def to_json(self) -> dict[str, object]:
        """Return one object of `balancer events --json`, with times in whole ms."""
        return {
            "event": self.event_type.value,
            "id": self.id,
            "at": round(self.at_ms),
            "since": round(self.since_ms),
            "scope": self.scope.value,
            "subject": self.subject,
            "signal": self.signal.value,
            "evidence": self.evidence,
        }
