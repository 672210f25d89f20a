"""The types shared by the decision module and its callers: settings, events, actions, outcomes.

Times are milliseconds on the caller's clock. Nothing here decides anything or knows a wire format.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or makes no sense; the text names the field and the value."""


class CallError(ValueError):
    """The library was called in a way its contract rules out."""


class Idempotency(Enum):
    """How often a request of a class may take effect."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which backends together drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Phase(Enum):
    """What the list says of a backend."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """What a list event brings."""

    INCREMENTAL = "changes"
    SNAPSHOT = "full"
    CACHED = "saved"
    FAILED = "failed"


class NumberedEnum(Enum):
    """Words with numbers from 0 on, in their order: what counts them need not hash them, which is slow."""

    number: int

    def __init__(self, value: str) -> None:
        self.number = len(type(self).__members__)


class AttemptStatus(NumberedEnum):
    """How an attempt or a probe ended."""

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
"""Outcomes that prove the attempt had no effect; every other one leaves it open."""


class LoadReportSource(Enum):
    """How load reports reach a node."""

    RESPONSES = "answers"
    PROBES = "probes"
    NONE = "none"


class DecisionReason(NumberedEnum):
    """Why an action was taken, in the field's words."""

    UNSPECIFIED = "unstated"
    # How the server of an attempt was found.
    LOWEST_ESTIMATE_BELOW_CAP = "lowest_below_m"  # the lowest estimate of those that were eligible, under m
    DRAWN_AT_CAP = "drawn_at_cap"  # all had reached m: drawn by weight
    SLOW_START_ADMITTED = "cold_admitted"  # a cold one, within what slow start lets through
    OTHER_ZONE = "spill"  # another zone's, as the own one does worse by more than the price
    PANIC = "panic"  # nobody was eligible: ejections were ignored
    # What brought the attempt about.
    FIRST_ATTEMPT = "first_try"
    DEQUEUED = "held_and_released"  # it had waited for room under the concurrency limit
    RETRY_AFTER_ERROR = "repeat_after_error"
    RETRY_AFTER_REJECTED = "repeat_after_full"
    RETRY_AFTER_TIMEOUT = "repeat_after_timeout"
    RETRY_AFTER_CONNECT_FAILED = "repeat_after_connect_failed"
    RETRY_AFTER_RESET = "repeat_after_reset"
    RETRY_AFTER_CANCELLED = "repeat_after_cancelled"
    RETRY_AFTER_NOT_STARTED = "repeat_after_moot"
    # Why a request was refused or failed.
    OBJECTIVE_UNREACHABLE = "aim_out_of_reach"  # no answer can come before it is worthless
    RETRY_BUDGET_EXHAUSTED = "budget_spent"  # the retry budget
    ATTEMPTS_EXHAUSTED = "attempts_spent"  # as many as the settings allow
    QUEUE_TIMEOUT = "no_room_in_time"  # it was held, and no room came
    NO_ELIGIBLE_BACKEND = "nobody_eligible"
    NOT_RETRYABLE = "not_repeatable"  # another attempt might double its effect
    SHED_BY_SUCCESS_RATE = "shed_by_success"  # in fractions, as too few of the node's sends succeed
    BACKEND_OVERLOADED = "server_crowded"  # in fractions, as the server found holds many requests a core


RETRY_REASONS: dict[AttemptStatus | None, DecisionReason] = {
    status: DecisionReason(f"repeat_after_{status.value}")
    for status in AttemptStatus
    if status is not AttemptStatus.OK
}
"""What a further attempt is called, by how the last one ended."""


class BackendDecision(NumberedEnum):
    """What the node decided about a server without a request."""

    EJECTED = "ejected"  # left alone for its failures
    READMITTED = "taken_back"  # its ejection is over
    PAUSED = "paused"  # left alone for a moment: it turned away, or its probe is overdue
    REPORTED_IDLE = "idle_sign"  # it showed idle: the estimate of its load was set anew
    JOINED_SUBSET = "joined_subset"  # of the servers that this node sends to
    LEFT_SUBSET = "left_subset"
    SLOW_START_BEGAN = "cold"  # it started: slow start thins out what it gets
    SLOW_START_ENDED = "warm"  # slow start is over
    UNCONFIRMED_DROPPED = "dropped"  # memory alone vouched for it, and it did not answer


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of request and what it asks for."""

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
    """A tenant and the rate, over all nodes, that stays inside its share."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Prices:
    """Prices, as fractions of the result for one unit per request."""

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
    """Weights of the parts of the result."""

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
    """What a node is told at start."""

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
    """A load report; a value the site does not report is None."""

    in_flight: float | None = None
    queued: float | None = None
    cpu_load: float | None = None
    mean_time_ms: float | None = None
    requests_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(slots=True)
class Endpoint:
    """One backend as the list gives it."""

    id: str
    zone: str
    cell: int
    weight: float
    phase: Phase
    started_at_ms: float
    kind: str = ""
    cached_age_ms: float | None = None
    """How long ago a source vouched for it, where memory alone does now; None: a source does."""


@dataclass(slots=True)
class LearnedState:
    """What a node has learned of its site, as plain data that can outlive its process.

    By class the usual time and its mean deviation, in milliseconds; the concurrency limit; by server how slow
    it is (mean time over the usual one), where that is far from 1, and the milliseconds left of an ejection.
    """

    expected_latency_ms: dict[str, tuple[float, float]] = field(default_factory=dict)
    concurrency_limit: float = 0.0
    slowness: dict[str, float] = field(default_factory=dict)
    ejection_left_ms: dict[str, float] = field(default_factory=dict)


# --- events -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class EndpointsUpdated:
    """News of the backends; `FAILED` carries none."""

    kind: EndpointUpdateKind
    endpoints: list[Endpoint]
    revision: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request: one final answer is now owed before `deadline`."""

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
    """The answer of a streamed class began; the attempt now belongs to the client."""

    request: str
    attempt: int
    backend: str = ""
    duration_ms: float = 0.0


@dataclass(slots=True)
class AttemptFinished:
    """The end of one attempt; `closed` says the request has its final answer."""

    request: str
    attempt: int
    backend: str
    status: AttemptStatus
    duration_ms: float
    is_request_closed: bool
    load_report: LoadReport | None = None


@dataclass(slots=True)
class ClientLeft:
    """The client left; no answer is owed any more."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier came due."""

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
    """A message of another node."""

    sender: int
    content: bytes


@dataclass(slots=True)
class LearnedStateRestored:
    """What an earlier process of this node had learned, `age_ms` ago; told after the list kept with it."""

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
    """Start an attempt; a time-out of 0 lasts until the client gives up. One not begun by `begin_by` is moot.

    `why` says how the server was found, `cause` what brought the attempt about; it was found among so many
    that were eligible, after so many were left out as crowded by the node's own count. None of these counts
    where two actions are compared.
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
    """Final answer: turned away, a retry is harmless."""

    request: str
    retry_after_ms: float = 0.0
    reason: DecisionReason = field(default=DecisionReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, nothing promised."""

    request: str
    reason: DecisionReason = field(default=DecisionReason.UNSPECIFIED, compare=False)


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `Timer` event."""

    at_ms: float
    token: int


@dataclass(slots=True)
class SendProbe:
    """Ask a backend how it is."""

    backend: str


@dataclass(slots=True)
class SubscribeToEndpoints:
    """Ask to be told of list changes from now on, or no longer."""

    is_enabled: bool = True


@dataclass(slots=True)
class FetchSnapshot:
    """Ask for the whole list once."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close this node's idle connections to a backend."""

    backend: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to one node, or to all where `node` is None."""

    node_index: int | None
    content: bytes


@dataclass(slots=True)
class WriteLog:
    """A line for the people on call."""

    text: str


@dataclass(slots=True)
class NoteBackendDecision:
    """Nothing to do: what was decided about a server, for those who watch.

    `count` is of what led to it (failures in a row); for an empty `backend`, of servers that this holds for.
    `span_ms` is how long it holds, 0 where that is open.
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
