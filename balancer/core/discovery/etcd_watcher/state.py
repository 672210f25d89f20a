"""The state of the etcd watcher, with one dataclass for each job, and the actions of the current event.

The functions of the other modules take a `WatcherState`, modify it, and append actions to it.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from balancer.core.backoff import Backoff
from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import limits, messages
from balancer.core.staggering import StaggeredSchedule


class WatcherPhase(Enum):
    """What the watcher is currently doing with the endpoint in use."""

    STOPPED = "idle"
    CHECKING = "asking"  # the first check of an endpoint
    FETCHING_SNAPSHOT = "listing"
    OPENING_WATCH = "opening"  # the watch is not confirmed yet
    WATCHING = "watching"
    WAITING = "resting"  # for the backoff or a time slot; no endpoint is in use


class EndpointVerdict(Enum):
    """Why an endpoint was abandoned in this round."""

    UNAVAILABLE = "no answer"
    PERMISSION_DENIED = "denied"
    LAGGING = "behind"
    FORMER_CLUSTER = "of a former cluster"
    UNKNOWN_CLUSTER = "of another cluster"


class ReportedStatus(Enum):
    """The status of the source that was last reported to the endpoint merger."""

    AVAILABLE = "well"
    UNAVAILABLE = "silenced"
    REJECTED = "refused"


class EndpointOutcome(NamedTuple):
    """The verdict on an endpoint, and its cluster id if it sent one."""

    verdict: EndpointVerdict
    reason: str
    cluster_id: str = ""


class KeyCount(NamedTuple):
    """The number of keys that a check counted at a revision."""

    revision: int
    key_count: int


class FragmentRemovals(NamedTuple):
    """The number of endpoints before a fragmented batch, and of those that its fragments removed so far."""

    count_before: int
    removed_count: int


@dataclass(slots=True)
class DeliveredState:
    """What was delivered to the endpoint merger; this must never move backwards."""

    cluster_id: str | None = None
    seen_revision: int = 0  # the newest revision of which any event was delivered
    complete_revision: int = 0  # everything up to here was delivered; a watch resumes from here
    raft_term: int = 0  # the highest one seen in a linearizable read
    needs_snapshot: bool = True
    has_snapshot: bool = False  # at least one snapshot was delivered
    has_gap: bool = False  # the watch resumed after events that may be lost; a snapshot is due
    is_rereading_snapshot: bool = False  # the due snapshot may have a revision that was delivered
    endpoint_ids: set[str] = field(default_factory=set)
    known_keys: set[str] = field(default_factory=set)  # with the prefix, even if the value is invalid
    unidentified_key_count: int = 0  # further keys of the snapshot, which have no distinct name
    former_cluster_ids: deque[str] = field(default_factory=lambda: deque(maxlen=limits.MAX_FORMER_CLUSTERS))
    reported_status: ReportedStatus = ReportedStatus.AVAILABLE


@dataclass(slots=True)
class SelectionState:
    """Which endpoint is in use, and the outcomes of the others in this round."""

    endpoint_names: tuple[str, ...]
    endpoint_order: list[int]  # shuffled, to distribute the nodes over the endpoints
    backoff: Backoff
    position: int = 0  # in endpoint_order
    candidate_cluster_id: str = ""  # a new cluster that may be adopted in the next round
    outcomes: dict[int, EndpointOutcome] = field(default_factory=dict)
    regression_round_count: int = 0  # rounds in a row in which all endpoints lagged
    regression_since_ms: float = 0.0


@dataclass(slots=True)
class SessionState:
    """The endpoint in use: its cluster and its health checks."""

    cluster_id: str = ""
    checked_revision: int = 0  # the newest revision returned by a check
    is_proven: bool = False  # a check was answered while the watch was open
    has_renewed_token: bool = False
    failed_check_count: int = 0  # in a row
    check_call_id: int = 0  # 0: no check is in flight
    check_token: int = 0
    check_sent_at_ms: float = 0.0
    check_min_revision: int = 0  # the revision that the answer in flight has to reach


@dataclass(slots=True)
class SnapshotState:
    """The snapshot being fetched, and this node's time slot for the next one."""

    time_slots: StaggeredSchedule | None
    due_at_ms: float | None = None
    slot_token: int = 0
    call_id: int = 0  # 0: no page is in flight
    entries: list[messages.EntryUpdate] = field(default_factory=list)
    revision: int = 0  # of the first page; 0: not received yet
    key_count: int = 0
    after_key: bytes = b""
    page_max_keys: int = limits.MAX_PAGE_KEYS
    restart_count: int = 0


@dataclass(slots=True)
class WatchState:
    """The watch in use."""

    call_id: int = 0  # 0: no watch is open or being opened
    last_message_at_ms: float = 0.0
    silence_timeout_ms: float = limits.SILENT_WATCH_TIMEOUT_MS
    fragment_removals: FragmentRemovals | None = None  # None: no batch is in progress


@dataclass(slots=True)
class AuditState:
    """When the keys are counted next, and a count whose revision the watch has not reached yet."""

    next_at_ms: float = 0.0
    interval_ms: float = limits.AUDIT_INTERVAL_MS
    pending_count: KeyCount | None = None

    def schedule_next(self, now_ms: float, rng: random.Random) -> None:
        """Schedule the next key count, with jitter."""
        self.next_at_ms = now_ms + self.interval_ms * rng.uniform(0.5, 1.5)


@dataclass(slots=True)
class WatcherState:
    """The state of one watcher. `actions` collects the actions of the event being handled."""

    source_name: str
    epoch: int
    rng: random.Random
    selection: SelectionState
    snapshot: SnapshotState
    delivered: DeliveredState = field(default_factory=DeliveredState)
    session: SessionState = field(default_factory=SessionState)
    watch: WatchState = field(default_factory=WatchState)
    audit: AuditState = field(default_factory=AuditState)
    phase: WatcherPhase = WatcherPhase.STOPPED
    phase_token: int = 0  # the timer of the phase: a call timeout or the end of a wait
    now_ms: float = 0.0
    actions: list[messages.Action] = field(default_factory=list)
    _last_id: int = 0

    @property
    def endpoint_index(self) -> int:
        """The index of the endpoint in use, or of the next one."""
        return self.selection.endpoint_order[self.selection.position]

    @property
    def endpoint_name(self) -> str:
        """The name of the endpoint in use, for log lines."""
        return self.selection.endpoint_names[self.endpoint_index]

    @property
    def identity(self) -> str:
        """The revision order: the cluster id and the operators' epoch."""
        return f"{self.delivered.cluster_id}/{self.epoch}"

    @property
    def min_revision(self) -> int:
        """The newest delivered revision; an endpoint of the cluster with a lower one lags and is not used."""
        return max(self.delivered.seen_revision, self.delivered.complete_revision)

    def next_id(self) -> int:
        """A new id for a call or a timer, never 0."""
        self._last_id += 1
        return self._last_id

    def set_timer(self, delay_ms: float) -> int:
        """Set a timer; returns its token."""
        token = self.next_id()
        self.actions.append(messages.SetTimer(self.now_ms + delay_ms, token))
        return token

    def write_log(self, level: str, text: str) -> None:
        """Log a line that names the source."""
        self.actions.append(messages.WriteLog(level, f"{self.source_name}: {text}"))

    def deliver(
        self, update: endpoint_merger.EndpointsListed | endpoint_merger.SourceConfirmedCurrent
    ) -> None:
        """Deliver an update that shows that the source is available."""
        self.delivered.reported_status = ReportedStatus.AVAILABLE
        self.actions.append(messages.DeliverUpdate(update))

    def confirm_current(self) -> None:
        """Report to the merger that the last update is current, unless events may be lost."""
        if not self.delivered.has_gap:
            self.deliver(endpoint_merger.SourceConfirmedCurrent(self.source_name))

    def report_lost(self, reason: str) -> None:
        """Report to the merger, once, that the source is unavailable."""
        if self.delivered.reported_status is ReportedStatus.AVAILABLE:
            self.delivered.reported_status = ReportedStatus.UNAVAILABLE
            self.actions.append(messages.DeliverUpdate(endpoint_merger.SourceLost(self.source_name, reason)))

    def report_rejected(self, reason: str) -> None:
        """Log and report to the merger, once, that the source's data must not be used."""
        if self.delivered.reported_status is not ReportedStatus.REJECTED:
            self.delivered.reported_status = ReportedStatus.REJECTED
            self.write_log("warning", reason)
            self.actions.append(
                messages.DeliverUpdate(endpoint_merger.SourceRejected(self.source_name, reason))
            )
