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


class Effect(Enum):
    """How often a request of a class may take effect."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which backends together drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Phase(Enum):
    """What the list says of a backend."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event brings."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


class Numbered(Enum):
    """Words with numbers from 0 on, in their order: what counts them need not hash them, which is slow."""

    number: int

    def __init__(self, value: str) -> None:
        self.number = len(type(self).__members__)


class Status(Numbered):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT})
"""Outcomes that prove the attempt had no effect; every other one leaves it open."""


class Reports(Enum):
    """How load reports reach a node."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class Why(Numbered):
    """Why an action was taken, in the field's words."""

    UNSTATED = "unstated"
    # How the server of an attempt was found.
    LOWEST_BELOW_M = "lowest_below_m"  # the lowest estimate of those that were eligible, under m
    DRAWN_AT_CAP = "drawn_at_cap"  # all had reached m: drawn by weight
    COLD_ADMITTED = "cold_admitted"  # a cold one, within what slow start lets through
    SPILL = "spill"  # another zone's, as the own one does worse by more than the price
    PANIC = "panic"  # nobody was eligible: ejections were ignored
    # What brought the attempt about.
    FIRST_TRY = "first_try"
    HELD_AND_RELEASED = "held_and_released"  # it had waited for room under the concurrency limit
    REPEAT_AFTER_ERROR = "repeat_after_error"
    REPEAT_AFTER_FULL = "repeat_after_full"
    REPEAT_AFTER_TIMEOUT = "repeat_after_timeout"
    REPEAT_AFTER_CONNECT_FAILED = "repeat_after_connect_failed"
    REPEAT_AFTER_RESET = "repeat_after_reset"
    REPEAT_AFTER_CANCELLED = "repeat_after_cancelled"
    REPEAT_AFTER_MOOT = "repeat_after_moot"
    # Why a request was refused or failed.
    AIM_OUT_OF_REACH = "aim_out_of_reach"  # no answer can come before it is worthless
    BUDGET_SPENT = "budget_spent"  # the retry budget
    ATTEMPTS_SPENT = "attempts_spent"  # as many as the settings allow
    NO_ROOM_IN_TIME = "no_room_in_time"  # it was held, and no room came
    NOBODY_ELIGIBLE = "nobody_eligible"
    NOT_REPEATABLE = "not_repeatable"  # another attempt might double its effect
    SHED_BY_SUCCESS = "shed_by_success"  # in fractions, as too few of the node's sends succeed
    SERVER_CROWDED = "server_crowded"  # in fractions, as the server found holds many requests a core


REPEATS: dict[Status | None, Why] = {
    status: Why(f"repeat_after_{status.value}") for status in Status if status is not Status.OK
}
"""What a further attempt is called, by how the last one ended."""


class What(Numbered):
    """What the node decided about a server without a request."""

    EJECTED = "ejected"  # left alone for its failures
    TAKEN_BACK = "taken_back"  # its ejection is over
    PAUSED = "paused"  # left alone for a moment: it turned away, or its probe is overdue
    IDLE_SIGN = "idle_sign"  # it showed idle: the estimate of its load was set anew
    JOINED_SUBSET = "joined_subset"  # of the servers that this node sends to
    LEFT_SUBSET = "left_subset"
    COLD = "cold"  # it started: slow start thins out what it gets
    WARM = "warm"  # slow start is over
    DROPPED = "dropped"  # memory alone vouched for it, and it did not answer


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of request and what it asks for."""

    name: str
    effect: Effect
    aim: float
    deadline: float
    value: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    memory_span: float = 0.0
    streamed: bool = False
    aim_stretch: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the rate, over all nodes, that stays inside its share."""

    name: str
    quota_per_s: float
    share: float


@dataclass(slots=True, frozen=True)
class Charges:
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
class Blend:
    """Weights of the parts of the result."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    nines: float = 0.0
    top_nines: float = 3.0
    slow_end: float = 0.0
    miss_allowed: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a node is told at start."""

    classes: tuple[RequestClass, ...]
    me: int = 0
    group_size: int = 1
    zone: str = ""
    tick: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    charges: Charges = field(default_factory=Charges)
    blend: Blend = field(default_factory=Blend)
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    must_ask: bool = False
    reports: Reports = Reports.NONE
    report_fields: tuple[str, ...] = ()
    probing: bool = False
    may_cancel: bool = True
    second_copies: bool = False
    max_attempts: int = 3
    max_retry_after: float = 0.0
    answer_slack: float = 5.0
    ask_within: float = 10_000.0
    drain_grace: float = 1_000.0
    cold_share: float = 0.0
    ramp_time: float = 60_000.0
    fall_window: float = 1_000.0
    fall_multiple: float = 1.0
    weighted: bool = False
    live_weights: bool = False
    connect_timeout: float = 250.0
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    retries_marked: bool = False
    warm_keys: bool = False
    passes_deadline: bool = True
    peers: bool = False
    conn_idle: float = 60_000.0
    streams_per_conn: int = 1
    max_open: int = 20_000
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True)
class Report:
    """A load report; a value the site does not report is None."""

    in_flight: float | None = None
    queue: float | None = None
    cpu: float | None = None
    mean_time: float | None = None
    rate: float | None = None
    error_rate: float | None = None


@dataclass(slots=True)
class Entry:
    """One backend as the list gives it."""

    backend: str
    zone: str
    cell: int
    weight: float
    phase: Phase
    started_at: float
    kind: str = ""
    age_ms: float | None = None
    """How long ago a source vouched for it, where memory alone does now; None: a source does."""


@dataclass(slots=True)
class Learned:
    """What a node has learned of its site, as plain data that can outlive its process.

    By class the usual time and its mean deviation, in milliseconds; the concurrency limit; by server how slow
    it is (mean time over the usual one), where that is far from 1, and the milliseconds left of an ejection.
    """

    usual: dict[str, tuple[float, float]] = field(default_factory=dict)
    limit: float = 0.0
    slow: dict[str, float] = field(default_factory=dict)
    ejected: dict[str, float] = field(default_factory=dict)


# --- events -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class ListUpdate:
    """News of the backends; `FAILED` carries none."""

    kind: ListKind
    entries: list[Entry]
    revision: int = 0


@dataclass(slots=True)
class Arrival:
    """A client's request: one final answer is now owed before `deadline`."""

    request: str
    class_name: str
    deadline: float
    is_retry: bool = False
    key: str | None = None
    tenant: str | None = None
    work_hint: float | None = None
    writes: bool = False


@dataclass(slots=True)
class StreamStarted:
    """The answer of a streamed class began; the attempt now belongs to the client."""

    request: str
    attempt: int
    backend: str = ""
    duration: float = 0.0


@dataclass(slots=True)
class Outcome:
    """The end of one attempt; `closed` says the request has its final answer."""

    request: str
    attempt: int
    backend: str
    status: Status
    duration: float
    closed: bool
    report: Report | None = None


@dataclass(slots=True)
class ClientGone:
    """The client left; no answer is owed any more."""

    request: str


@dataclass(slots=True)
class Timer:
    """A timer set earlier came due."""

    token: int


@dataclass(slots=True)
class Probed:
    """The result of one probe."""

    backend: str
    status: Status
    duration: float
    report: Report | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message of another node."""

    sender: int
    content: bytes


@dataclass(slots=True)
class Remembered:
    """What an earlier process of this node had learned, `age_ms` ago; told after the list kept with it."""

    learned: Learned
    age_ms: float


Event = (
    ListUpdate | Arrival | StreamStarted | Outcome | ClientGone | Timer | Probed | PeerMessage | Remembered
)

# --- actions ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start an attempt; a time-out of 0 lasts until the client gives up. One not begun by `begin_by` is moot.

    `why` says how the server was found, `cause` what brought the attempt about; it was found among so many
    that were eligible, after so many were left out as crowded by the node's own count. None of these counts
    where two actions are compared.
    """

    request: str
    backend: str
    timeout: float
    why: Why = field(default=Why.UNSTATED, compare=False)
    cause: Why = field(default=Why.UNSTATED, compare=False)
    among: int = field(default=0, compare=False)
    crowded: int = field(default=0, compare=False)
    begin_by: float = math.inf


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, a retry is harmless."""

    request: str
    retry_after: float = 0.0
    why: Why = field(default=Why.UNSTATED, compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: str
    why: Why = field(default=Why.UNSTATED, compare=False)


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `Timer` event."""

    when: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a backend how it is."""

    backend: str


@dataclass(slots=True)
class Subscribe:
    """Ask to be told of list changes from now on, or no longer."""

    on: bool = True


@dataclass(slots=True)
class ListAll:
    """Ask for the whole list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close this node's idle connections to a backend."""

    backend: str


@dataclass(slots=True)
class Tell:
    """Send bytes to one node, or to all where `node` is None."""

    node: int | None
    content: bytes


@dataclass(slots=True)
class Log:
    """A line for the people on call."""

    text: str


@dataclass(slots=True)
class Noted:
    """Nothing to do: what was decided about a server, for those who watch.

    `count` is of what led to it (failures in a row); for an empty `backend`, of servers that this holds for.
    `span_ms` is how long it holds, 0 where that is open.
    """

    backend: str
    what: What
    count: int = 0
    span_ms: float = 0.0


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | ListAll | CloseIdle | Tell | Log | Noted
)
