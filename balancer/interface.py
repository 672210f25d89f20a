"""Types shared by the decision module and its callers: settings, events, actions and outcomes.

Times are milliseconds on the caller's clock. This module makes no decisions and knows no wire format.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names the field and the value."""


class CallError(ValueError):
    """The library was called in a way that violates its contract."""


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The set of backends that share deduplication of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Phase(Enum):
    """The lifecycle state of a backend according to the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list contains."""

    INCREMENTAL = "changes"
    SNAPSHOT = "full"
    CACHED = "saved"
    FAILED = "failed"


class NumberedEnum(Enum):
    """Enum whose members are numbered from 0 in definition order.

    Counters index by this number, as hashing an enum member is slow.
    """

    number: int

    def __init__(self, value: str) -> None:
        self.number = len(type(self).__members__)


class AttemptStatus(NumberedEnum):
    """The outcome of an attempt or a probe."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


NO_EFFECT_STATUSES = frozenset(
    {AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED}
)
"""Outcomes that prove that the attempt had no effect; after any other outcome it may have had one."""


class LoadReportSource(Enum):
    """How load reports reach a node."""

    RESPONSES = "answers"
    PROBES = "probes"
    NONE = "none"


class DecisionReason(NumberedEnum):
    """Why an action was taken."""

    UNSPECIFIED = "unstated"
    # How the backend of an attempt was chosen.
    LOWEST_ESTIMATE_BELOW_CAP = "lowest_below_m"  # lowest estimate of the eligible, below the cap
    DRAWN_AT_CAP = "drawn_at_cap"  # all had reached the cap: drawn by weight
    SLOW_START_ADMITTED = "cold_admitted"  # a warming-up backend, within its slow-start budget
    OTHER_ZONE = "spill"  # in another zone: the local zone misses more objectives, by more than the price
    PANIC = "panic"  # no backend was eligible: ejections were ignored
    # Why the attempt was made.
    FIRST_ATTEMPT = "first_try"
    DEQUEUED = "held_and_released"  # it had been queued under the concurrency limit
    RETRY_AFTER_ERROR = "repeat_after_error"
    RETRY_AFTER_REJECTED = "repeat_after_full"
    RETRY_AFTER_TIMEOUT = "repeat_after_timeout"
    RETRY_AFTER_CONNECT_FAILED = "repeat_after_connect_failed"
    RETRY_AFTER_RESET = "repeat_after_reset"
    RETRY_AFTER_CANCELLED = "repeat_after_cancelled"
    RETRY_AFTER_NOT_STARTED = "repeat_after_moot"
    # Why a request was rejected or failed.
    OBJECTIVE_UNREACHABLE = "aim_out_of_reach"  # no answer can arrive while it is still useful
    RETRY_BUDGET_EXHAUSTED = "budget_spent"  # the retry budget is empty
    ATTEMPTS_EXHAUSTED = "attempts_spent"  # the maximum number of attempts was made
    QUEUE_TIMEOUT = "no_room_in_time"  # it was queued, and no capacity became available
    NO_ELIGIBLE_BACKEND = "nobody_eligible"
    NOT_RETRYABLE = "not_repeatable"  # another attempt might execute it twice
    SHED_BY_SUCCESS_RATE = "shed_by_success"  # probabilistic, as too few of the node's attempts succeed
    BACKEND_OVERLOADED = "server_crowded"  # probabilistic, as the chosen backend holds many requests per core


RETRY_REASONS: dict[AttemptStatus | None, DecisionReason] = {
    status: DecisionReason(f"repeat_after_{status.value}")
    for status in AttemptStatus
    if status is not AttemptStatus.OK
}
"""The cause of a retry by the outcome of the previous attempt."""


class BackendDecision(NumberedEnum):
    """A decision about a backend that is not tied to a request."""

    EJECTED = "ejected"  # excluded because of its failures
    READMITTED = "taken_back"  # its ejection ended
    PAUSED = "paused"  # excluded briefly: it rejected a request, or its probe is overdue
    REPORTED_IDLE = "idle_sign"  # it reported idle: its queue estimate was reset
    JOINED_SUBSET = "joined_subset"  # of backends that this node sends to
    LEFT_SUBSET = "left_subset"
    SLOW_START_BEGAN = "cold"  # it started recently: it gets only part of the load
    SLOW_START_ENDED = "warm"  # slow start is over
    UNCONFIRMED_DROPPED = "dropped"  # it was known from the cache alone and did not answer


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class and its requirements."""

    name: str
    idempotency: Idempotency
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    is_streamed: bool = False
    latency_objective_stretch: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the request rate, over all nodes, that stays within its share."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Prices:
    """Costs, as fractions of the value of one unit per request."""

    probe: float = 0.0
    waste: float = 0.0
    cross_zone: float = 0.0
    late_fail: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    discovery: float = 0.0
    fleet: float = 0.0
    moves: float = 0.0
    origin: float = 0.0
    peer: float = 0.0


@dataclass(slots=True, frozen=True)
class ScoreWeights:
    """Weights of the components of the score."""

    total: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    nines: float = 0.0
    top_nines: float = 3.0
    slow_tail: float = 0.0
    allowed_miss_rate: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration that a node gets at startup."""

    classes: tuple[RequestClass, ...]
    node_index: int = 0
    node_count: int = 1
    zone: str = ""
    tick_ms: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)
    score_weights: ScoreWeights = field(default_factory=ScoreWeights)
    over_quota_weight: float = 1.0
    is_weighted_by_work: bool = False
    must_poll: bool = False
    load_report_source: LoadReportSource = LoadReportSource.NONE
    load_report_fields: tuple[str, ...] = ()
    probing_enabled: bool = False
    may_cancel: bool = True
    may_hedge: bool = False
    max_attempts: int = 3
    max_retry_after_ms: float = 0.0
    response_slack_ms: float = 5.0
    poll_within_ms: float = 10_000.0
    drain_grace_ms: float = 1_000.0
    slow_start_initial_fraction: float = 0.0
    slow_start_duration_ms: float = 60_000.0
    overload_window_ms: float = 1_000.0
    overload_multiple: float = 1.0
    has_weights: bool = False
    has_live_weights: bool = False
    connect_timeout_ms: float = 250.0
    zones: tuple[str, ...] = ()
    backend_kinds: tuple[str, ...] = ()
    are_retries_marked: bool = False
    has_warm_keys: bool = False
    forwards_deadline: bool = True
    may_message_peers: bool = False
    connection_idle_ms: float = 60_000.0
    streams_per_connection: int = 1
    max_open_requests: int = 20_000
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True)
class LoadReport:
    """A load report; a value that the site does not report is None."""

    in_flight: float | None = None
    queued: float | None = None
    cpu_load: float | None = None
    mean_time_ms: float | None = None
    requests_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(slots=True)
class Endpoint:
    """One backend as it appears in the endpoint list."""

    id: str
    zone: str
    cell: int
    weight: float
    phase: Phase
    started_at_ms: float
    kind: str = ""
    cached_age_ms: float | None = None
    """Age of the last confirmation by a source; None unless it is known from the cache alone."""


@dataclass(slots=True)
class LearnedState:
    """Statistics that a node has learned about its site, as plain data that can outlive its process.

    Contains the expected latency and its mean deviation by class, in milliseconds; the concurrency limit; for
    each backend its slowness (mean latency over the expected one) where that is far from 1, and the
    milliseconds left of its ejection.
    """

    expected_latency_ms: dict[str, tuple[float, float]] = field(default_factory=dict)
    concurrency_limit: float = 0.0
    slowness: dict[str, float] = field(default_factory=dict)
    ejection_left_ms: dict[str, float] = field(default_factory=dict)


# --- events -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class EndpointsUpdated:
    """An update of the endpoint list; `FAILED` carries no endpoints."""

    kind: EndpointUpdateKind
    endpoints: list[Endpoint]
    revision: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request, which must get exactly one final answer before `deadline_ms`."""

    request: str
    class_name: str
    deadline_ms: float
    is_retry: bool = False
    idempotency_key: str | None = None
    tenant: str | None = None
    work_hint: float | None = None
    is_write: bool = False


@dataclass(slots=True)
class StreamStarted:
    """The response of a streamed class began; from now on the attempt belongs to the client."""

    request: str
    attempt: int
    backend: str = ""
    duration_ms: float = 0.0


@dataclass(slots=True)
class AttemptFinished:
    """The end of one attempt; `is_request_closed` tells whether the request has its final answer."""

    request: str
    attempt: int
    backend: str
    status: AttemptStatus
    duration_ms: float
    is_request_closed: bool
    load_report: LoadReport | None = None


@dataclass(slots=True)
class ClientLeft:
    """The client disconnected; it needs no answer any more."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` expired."""

    token: int


@dataclass(slots=True)
class ProbeFinished:
    """The result of one probe."""

    backend: str
    status: AttemptStatus
    duration_ms: float
    load_report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another node."""

    sender: int
    content: bytes


@dataclass(slots=True)
class LearnedStateRestored:
    """What an earlier process of this node had learned, `age_ms` ago.

    Delivered after the cached endpoint list.
    """

    state: LearnedState
    age_ms: float


Event = (
    EndpointsUpdated
    | RequestArrived
    | StreamStarted
    | AttemptFinished
    | ClientLeft
    | TimerFired
    | ProbeFinished
    | PeerMessageReceived
    | LearnedStateRestored
)

# --- actions ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt.

    With a timeout of 0 it lasts until the client gives up. An attempt that has not started by
    `start_before_ms` must not start any more.

    `reason` tells how the backend was chosen, `cause` why the attempt was made. The backend was chosen among
    `eligible_count` eligible ones, after `overloaded_count` were excluded as overloaded by this node's own
    count of attempts. None of these four fields takes part in comparisons.
    """

    request: str
    backend: str
    timeout_ms: float
    reason: DecisionReason = field(default=DecisionReason.UNSPECIFIED, compare=False)
    cause: DecisionReason = field(default=DecisionReason.UNSPECIFIED, compare=False)
    eligible_count: int = field(default=0, compare=False)
    overloaded_count: int = field(default=0, compare=False)
    start_before_ms: float = math.inf


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected; the client may safely retry."""

    request: str
    retry_after_ms: float = 0.0
    reason: DecisionReason = field(default=DecisionReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed; the request may have been executed."""

    request: str
    reason: DecisionReason = field(default=DecisionReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` event at a given time."""

    at_ms: float
    token: int


@dataclass(slots=True)
class SendProbe:
    """Ask a backend for its load."""

    backend: str


@dataclass(slots=True)
class SubscribeToEndpoints:
    """Start or stop receiving updates of the endpoint list."""

    is_enabled: bool = True


@dataclass(slots=True)
class FetchSnapshot:
    """Request the complete endpoint list once."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close this node's idle connections to a backend."""

    backend: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to one node, or to all nodes if `node_index` is None."""

    node_index: int | None
    content: bytes


@dataclass(slots=True)
class WriteLog:
    """Write a log line for the operators."""

    text: str


@dataclass(slots=True)
class NoteBackendDecision:
    """Report a decision about a backend for monitoring; requires no other action.

    `count` is the number of observations that led to the decision, such as consecutive failures; with an
    empty `backend` it is the number of backends that the decision applies to. `duration_ms` is how long the
    decision lasts, or 0 if that is not known.
    """

    backend: str
    decision: BackendDecision
    count: int = 0
    duration_ms: float = 0.0


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | SendProbe
    | SubscribeToEndpoints
    | FetchSnapshot
    | CloseIdleConnections
    | SendPeerMessage
    | WriteLog
    | NoteBackendDecision
)
