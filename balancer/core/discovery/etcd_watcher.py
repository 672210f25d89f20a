"""Following the members in etcd: which endpoint is asked for what, and when it is left for another.

`EtcdFollow.handle` takes an event and a clock time and returns actions; whoever drives it has the sockets. An
endpoint is first asked for a small linearizable read (a *check*), which shows its cluster, its revision and
that it reaches its quorum; then for the whole list, in pages of one revision; then for a watch from that
revision on. A watch that breaks is taken up again where it was, at any endpoint of the same cluster.

What is delivered never goes back:

- Nothing is used of an endpoint that is behind what was seen (a member that lags): it is left. Events that
  were delivered before are dropped.
- Where all endpoints answer and all stay behind, for BACK_ROUNDS rounds and BACK_MS, etcd was restored from a
  backup: the source is refused, and the operators' `epoch` begins a new order. Should etcd get past the
  revision seen by itself, its whole list is taken, as events may be missing between. So it is if the raft
  term of a linearizable read went back, which shows a backup that got past that revision already.
- A cluster id that is new begins a new order, by a whole list. Its endpoint is taken only in a round in which
  no endpoint of the present cluster answers. A cluster that was left so is never gone back to (the last
  FORMER ids are remembered) until the program or the `epoch` starts anew: endpoints of two clusters in one
  list cannot make the view flip.

The silence of a watch says nothing (etcd notifies of progress every ten minutes), so the endpoint in use is
checked every CHECK_MS on another connection. It is left when a check has no answer in CHECK_WAIT_MS, or two
fail: a frozen endpoint, and one cut off from its quorum, within 2.5 s. A watch that says nothing for
some REOPEN_MS while etcd's revision moves on is asked for anew, in case its connection alone is dead.

A watch is not believed to have told of every deletion. In etcd 3.4 a compaction at the very revision of a
deletion drops it, and a watch that has fallen behind to just there goes on without a word. So every AUDIT_MS
the check counts the keys below the prefix: where that is not what the list and the watch made of that
revision, or the watch is a whole check behind, the list is read anew. Where that shows nothing new the next
count is twice as far off: a gateway that cannot count must not have all nodes read all of it for good.

Where the operators say how many whole lists their cluster bears, each is asked for at the node's *turn*
(`core/staggering`). Before its first list a node does not even connect until then. Later, after a
compaction or
a count that does not fit, it goes on by a watch: from the present on where the old one is of no use, so that
only what fell into the *gap* waits for the list. What was asked for in vain is asked for at a later turn, and
what was refused at no other endpoint before.

Bounds: MAX_ENTRIES of a whole list; RESTARTS of one listing at one endpoint; FORMER cluster ids.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from urllib.parse import urlsplit

from balancer import interface as api
from balancer.core.backoff import Backoff
from balancer.core.discovery.endpoint_merger import (
    EndpointsListed,
    SourceConfirmedCurrent,
    SourceLost,
    SourceRejected,
)
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry

CHECK_INTERVAL_MS = 1000.0  # between two checks of the endpoint in use
CHECK_TIMEOUT_MS = 1500.0  # for a check's answer
MAX_FAILED_CHECKS = 2  # in a row: the endpoint is left
CALL_TIMEOUT_MS = 3000.0  # for a page, and for a watch to be on
RESUME_JITTER_MS = (
    200.0  # a watch that broke is taken up within this: many nodes may have lost the same endpoint
)
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 200.0, 5000.0  # back-off where no endpoint will do
SILENT_WATCH_TIMEOUT_MS = 60_000.0
MAX_AUDIT_INTERVAL_MS = 600_000.0  # where counts are wrong by themselves
AUDIT_INTERVAL_MS = (
    10_000.0  # between two counts of the keys: etcd walks over its index for each, some ms for 10,000
)
MIN_REGRESSION_ROUNDS, MIN_REGRESSION_MS = 3, 10_000.0
MAX_PAGE_KEYS = 500  # keys
MAX_SNAPSHOT_ENTRIES = 100_000
MAX_SNAPSHOT_RESTARTS = 5
MAX_FORMER_CLUSTERS = 8
MAX_RETRY_AFTER_MS = 60_000.0  # of a refusal, that is believed
TIMER_RESOLUTION_MS = 1.0  # before its turn a list is asked for all the same: a clock's timers are no finer
MIN_MASS_REMOVAL_ENDPOINTS = 4  # members ended at once, over half of all, that are worth a line


@dataclass(slots=True, frozen=True)
class EtcdConfig:
    """What the operators say of their etcd. Paths are of files; `epoch` begins a new order, see above.

    `bears`: whole lists a second of all nodes together, None where nobody says.
    """

    endpoints: tuple[str, ...]
    prefix: str
    format: str = "member"
    ca: str | None = None
    cert: str | None = None
    key: str | None = None
    user: str | None = None
    password: str | None = field(default=None, repr=False)
    epoch: int = 0
    bears: int | None = None


def parse_endpoint_url(url: str) -> tuple[str, int, bool]:
    """Host, port and whether it is TLS, of `http://HOST:PORT` or `https://HOST:PORT`; raises ValueError.

    The host is an address or a name. A password in an URL would end up in logs, so none is taken.
    """
    expected_form = "not http://HOST:PORT or https://HOST:PORT"
    try:
        parts = urlsplit(url)
        host, port = parts.hostname, parts.port
    except ValueError:
        raise ValueError(f"{url!r:.120} is {expected_form}") from None
    if "@" in parts.netloc:
        raise ValueError("an endpoint has a user or password in it; they have settings of their own")
    excess = parts.path.rstrip("/") + parts.query + parts.fragment
    if parts.scheme not in ("http", "https") or not host or not port or excess:
        raise ValueError(f"{url!r:.120} is {expected_form}")
    return host, port, parts.scheme == "https"


EntryUpdate = (
    EndpointRecord | InvalidEntry | str
)  # a member, an entry that cannot be read, or the id of one that is gone


class CallFault(Enum):
    """Why a call gave nothing."""

    FAILED = "failed"  # no connection, no answer, an error of any other kind
    COMPACTED = "compacted"
    TOKEN_EXPIRED = "stale token"  # to be asked again: a log-in goes before it
    PERMISSION_DENIED = "denied"
    UNREADABLE = "spoiled"  # an answer that cannot be read
    TOO_LARGE = "too long"
    OVERLOADED = "busy"  # it refused, as it has more to do than it can


# --- events


@dataclass(slots=True, frozen=True)
class Position:
    """The header of an answer: which cluster, how far, in which raft term."""

    cluster_id: str
    revision: int
    raft_term: int = 0


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """An event of a watch, at the revision at which it came to be.

    `kept`: the member is gone and its key is there still, as what it holds withdraws the member.
    """

    revision: int
    entry: EntryUpdate
    is_key_present: bool = False


@dataclass(slots=True, frozen=True)
class WatcherStarted:
    """Begin."""


@dataclass(slots=True, frozen=True)
class WatcherStopped:
    """End: all calls are dropped."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a `SetTimer` has come."""

    token: int


@dataclass(slots=True, frozen=True)
class CheckAnswered:
    """A linearizable read was answered; `keys` are below the prefix, if they were to be counted."""

    call_id: int
    position: Position
    key_count: int | None = None


@dataclass(slots=True, frozen=True)
class SnapshotPageReceived:
    """A page of a range came; `last_key` is where the next one goes on, if there is `more`.

    `keys` are in the range in all, on this page and behind it, at the list's revision.
    """

    call_id: int
    position: Position
    entries: tuple[EntryUpdate, ...]
    last_key: bytes
    has_more: bool
    key_count: int = 0


@dataclass(slots=True, frozen=True)
class WatchCreated:
    """The watch is on."""

    call_id: int
    position: Position


@dataclass(slots=True, frozen=True)
class WatchEventsReceived:
    """Changes, oldest first. A `fragment` may end within a revision, and others follow at once."""

    call_id: int
    position: Position
    watch_events: tuple[WatchEvent, ...]
    is_fragment: bool = False


@dataclass(slots=True, frozen=True)
class WatchProgressed:
    """All changes up to the position were said."""

    call_id: int
    position: Position


@dataclass(slots=True, frozen=True)
class WatchCanceled:
    """The watch is off and its stream still open; compacted up to a revision, if that is not 0."""

    call_id: int
    compact_revision: int
    fault: CallFault
    reason: str


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A check, a page or a watch has ended with nothing more to come.

    `advice_ms` is how long one that is busy wants to be left alone, 0 if it did not say.
    """

    call_id: int
    fault: CallFault
    reason: str
    retry_after_ms: float = 0.0


Event = (
    WatcherStarted
    | WatcherStopped
    | TimerFired
    | CheckAnswered
    | SnapshotPageReceived
    | WatchCreated
    | WatchEventsReceived
    | WatchProgressed
    | WatchCanceled
    | CallFailed
)

# --- actions; `call` names what is asked in the events that answer it


@dataclass(slots=True, frozen=True)
class CheckEndpoint:
    """Read one key, linearizable; or count all that are below the prefix."""

    call_id: int
    endpoint_index: int
    counts_keys: bool = False


@dataclass(slots=True, frozen=True)
class FetchSnapshotPage:
    """Read up to `limit` keys behind `after_key`, as of `revision` (0: the present one), linearizable."""

    call_id: int
    endpoint_index: int
    after_key: bytes
    revision: int
    max_keys: int


@dataclass(slots=True, frozen=True)
class OpenWatch:
    """Watch from a revision on."""

    call_id: int
    endpoint_index: int
    start_revision: int


@dataclass(slots=True, frozen=True)
class CloseWatch:
    """Close the watch's stream; nothing of it is wanted any more."""

    endpoint_index: int


@dataclass(slots=True, frozen=True)
class CloseConnections:
    """Close whatever there is to an endpoint."""

    endpoint_index: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Hand in `TimerFired` at a clock time."""

    at_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class DeliverUpdate:
    """Hand this to the membership."""

    update: EndpointsListed | SourceConfirmedCurrent | SourceLost | SourceRejected


@dataclass(slots=True, frozen=True)
class WriteLog:
    """A line for the people on call; `level` is info or warning."""

    level: str
    text: str


Action = (
    CheckEndpoint
    | FetchSnapshotPage
    | OpenWatch
    | CloseWatch
    | CloseConnections
    | SetTimer
    | DeliverUpdate
    | WriteLog
)

# --- state


class WatcherPhase(Enum):
    """What the endpoint in use is being asked."""

    STOPPED = "idle"
    CHECKING = "asking"  # the first check
    FETCHING_SNAPSHOT = "listing"
    OPENING_WATCH = "opening"  # a watch that is not on yet
    WATCHING = "watching"
    WAITING = "resting"  # no endpoint is in use


class EndpointVerdict(Enum):
    """What came of an endpoint in this round."""

    UNAVAILABLE = "no answer"
    PERMISSION_DENIED = "denied"
    LAGGING = "behind"
    FORMER_CLUSTER = "of a former cluster"
    UNKNOWN_CLUSTER = "of another cluster"


REGRESSION_VERDICTS = {
    EndpointVerdict.LAGGING,
    EndpointVerdict.FORMER_CLUSTER,
    EndpointVerdict.UNKNOWN_CLUSTER,
}


@dataclass(slots=True, frozen=True)
class EndpointOutcome:
    """An endpoint's verdict, and the cluster it is of as far as it said."""

    verdict: EndpointVerdict
    reason: str
    cluster_id: str = ""


class ReportedStatus(Enum):
    """What the membership was told last of the source."""

    AVAILABLE = "well"
    UNAVAILABLE = "silenced"
    REJECTED = "refused"


class EtcdWatcher:
    """Follows one etcd cluster for `source`; `seen` is an identity and a revision not to go behind.

    `turns` says when this node may ask for whole lists; without it that is whenever one is needed.
    """

    def __init__(
        self,
        source_name: str,
        endpoint_count: int,
        rng: random.Random,
        *,
        epoch: int = 0,
        resume_from: tuple[str, int] | None = None,
        endpoint_names: Sequence[str] = (),
        time_slots: StaggeredSchedule | None = None,
    ) -> None:
        if endpoint_count < 1:
            raise ValueError("no endpoint to ask")
        self.source_name, self.rng, self.epoch = source_name, rng, epoch
        self.endpoint_names = tuple(endpoint_names) or tuple(
            f"endpoint {i + 1}" for i in range(endpoint_count)
        )
        self.endpoint_order = rng.sample(
            range(endpoint_count), endpoint_count
        )  # so that nodes spread over the endpoints
        self.backoff = Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, rng)
        self.time_slots = time_slots
        self.snapshot_due_at_ms: float | None = None  # this node's turn for the list that is needed
        self.has_gap = False  # the watch is on behind something that may be lost
        self.phase = WatcherPhase.STOPPED
        # what was delivered
        self.cluster_id: str | None = None  # whose order is in force
        self.seen = 0  # the newest revision delivered, in part at least
        self.complete_revision = 0  # up to here all of it was: a watch goes on behind it
        self.raft_term = 0  # the raft term of a linearizable read
        self.needs_snapshot = True
        self.has_snapshot = False  # a whole list was delivered
        self.endpoint_ids: set[str] = set()
        self.known_keys: set[str] = set()  # what is there below the prefix, readable or not
        self.unnamed_key_count = 0  # keys of the list beyond those, whose names could not be told apart
        self.former_cluster_ids: deque[str] = deque(maxlen=MAX_FORMER_CLUSTERS)
        self.reported_status = ReportedStatus.AVAILABLE
        if resume_from is not None:
            cluster_id, _, resumed_epoch = resume_from[0].rpartition("/")
            if resumed_epoch == str(epoch) and cluster_id:
                self.cluster_id, self.seen, self.complete_revision = (
                    cluster_id,
                    resume_from[1],
                    resume_from[1],
                )
                # In place of a source that was followed: until the list is here no news of it counts.
                self.snapshot_due_at_ms = 0.0
        # the endpoint in use
        self.endpoint_position = 0  # its place in the order
        self.connected_cluster_id = ""  # its cluster
        self.candidate_cluster_id = ""  # a new cluster that may be taken
        self.check_call_id = self.page_call_id = self.watch_call_id = 0  # what is out
        self.check_min_revision = 0  # what the answer to the check must reach
        self.checked_revision = 0  # the newest revision that a check showed
        self.failed_check_count = 0
        self.check_sent_at_ms = 0.0
        self.is_endpoint_proven = False  # it has been of use: a check was answered while the watch was on
        self.has_renewed_token = False
        self.snapshot_restart_count = 0
        self.last_watch_message_at_ms = 0.0  # when the watch last said something
        self.silence_timeout_ms = SILENT_WATCH_TIMEOUT_MS
        self.fragment_removals: tuple[int, int] | None = (
            None  # members before, and ended by, fragments that go on
        )
        self.next_audit_at_ms = 0.0  # when the keys are counted next
        self.audit_interval_ms = AUDIT_INTERVAL_MS
        self.pending_key_count: tuple[int, int] | None = (
            None  # a revision and its keys, to be held against the watch
        )
        self.is_rereading_snapshot = False  # the list is read anew at a revision that may have been told of
        # the list that is being read
        self.snapshot_entries: list[EntryUpdate] = []
        self.snapshot_revision = 0
        self.snapshot_key_count = 0
        self.after_key = b""
        self.page_max_keys = MAX_PAGE_KEYS
        # the round over all endpoints
        self.outcomes: dict[int, EndpointOutcome] = {}
        self.regression_round_count = 0
        self.regression_since_ms = 0.0
        self.now_ms = 0.0
        self._check_token = self._phase_token = self._slot_token = self._last_id = 0
        self._actions: list[Action] = []

    def __repr__(self) -> str:
        where = (
            ""
            if self.phase in (WatcherPhase.STOPPED, WatcherPhase.WAITING)
            else f" {self.endpoint_names[self.endpoint_index]}"
        )
        return f"<EtcdFollow {self.source_name} {self.phase.value}{where} {self.identity} at {self.seen}>"

    @property
    def endpoint_index(self) -> int:
        """The endpoint in use, or the one that is next."""
        return self.endpoint_order[self.endpoint_position]

    @property
    def identity(self) -> str:
        """The order in force."""
        return f"{self.cluster_id}/{self.epoch}"

    @property
    def min_revision(self) -> int:
        """No endpoint of this cluster is used that is behind this."""
        return max(self.seen, self.complete_revision)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event at the clock time `now_ms`."""
        self.now_ms, self._actions = now_ms, []
        match event:
            case WatcherStarted() if self.phase is WatcherPhase.STOPPED:
                if self.has_snapshot or not (wait_ms := self._snapshot_wait_ms()):
                    self._begin_checking()
                else:
                    self._write_log("info", f"the whole list has its turn in {wait_ms / 1000:.1f} s")
                    self._wait(wait_ms)
            case WatcherStopped() if self.phase is not WatcherPhase.STOPPED:
                self._reset_calls()
                self.phase = WatcherPhase.STOPPED
            case TimerFired() if event.token:
                self._on_timer_fired(event.token)
            case CheckAnswered() if event.call_id == self.check_call_id:
                self._on_check_answered(event.position, event.key_count)
            case SnapshotPageReceived() if event.call_id == self.page_call_id:
                self._on_page_received(event)
            case WatchCreated() if (
                event.call_id == self.watch_call_id and self.phase is WatcherPhase.OPENING_WATCH
            ):
                self._on_watch_created(event.position)
            case WatchEventsReceived() if (
                event.call_id == self.watch_call_id and self.phase is WatcherPhase.WATCHING
            ):
                self._on_watch_events(event)
            case WatchProgressed() if (
                event.call_id == self.watch_call_id and self.phase is WatcherPhase.WATCHING
            ):
                self._on_watch_progressed(event.position)
            case WatchEventsReceived() | WatchProgressed() if event.call_id == self.watch_call_id:
                self._leave_endpoint(
                    EndpointVerdict.UNAVAILABLE, "a watch that was not created says something"
                )
            case WatchCanceled() if event.call_id == self.watch_call_id:
                compacted = event.compact_revision > 0 or event.fault is CallFault.COMPACTED
                self._on_watch_ended(CallFault.COMPACTED if compacted else event.fault, event.reason)
            case CallFailed():
                self._on_call_failed(event)
        return self._actions

    # --- one endpoint

    def _begin_checking(self) -> None:
        self.phase = WatcherPhase.CHECKING
        self._send_check()

    def _send_check(self) -> None:
        self.check_call_id, self.check_sent_at_ms = self._next_id(), self.now_ms
        # What is seen while the answer is on its way may be newer than the answer.
        self.check_min_revision = self.min_revision
        count = (
            self.phase is WatcherPhase.WATCHING and self.now_ms >= self.next_audit_at_ms and not self.has_gap
        )
        self._actions.append(CheckEndpoint(self.check_call_id, self.endpoint_index, count))
        self._check_token = self._set_timer(CHECK_TIMEOUT_MS)

    def _on_check_answered(self, position: Position, key_count: int | None) -> None:
        self.check_call_id = 0
        if self.phase is WatcherPhase.CHECKING:
            self._on_first_check(position)
        elif self._accept_position(position, self.check_min_revision):
            self.raft_term, self.checked_revision = (
                max(self.raft_term, position.raft_term),
                max(self.checked_revision, position.revision),
            )
            self.failed_check_count, self.snapshot_restart_count, self.has_renewed_token = 0, 0, False
            self.is_endpoint_proven, self.regression_round_count = True, 0
            self.outcomes.clear()
            self.backoff.reset()
            self._confirm_liveness()
            idle_ms = self.now_ms - self.last_watch_message_at_ms
            if position.revision > self.complete_revision and idle_ms >= self.silence_timeout_ms:
                self._actions.append(CloseWatch(self.endpoint_index))
                self._open_watch()
            elif self.pending_key_count is not None and self._reread_if_deletion_lost(
                self.pending_key_count[1], len(self.known_keys)
            ):
                # A whole check later the watch has still not said what makes the difference.
                if self.phase is WatcherPhase.WATCHING:
                    self._schedule_check()
            else:
                self.pending_key_count = None
                self._schedule_check()
                if key_count is not None:
                    self._compare_key_count(position.revision, key_count - self.unnamed_key_count)

    def _schedule_check(self) -> None:
        """The next check."""
        self._check_token = self._set_timer(max(0.0, self.check_sent_at_ms + CHECK_INTERVAL_MS - self.now_ms))

    def _on_first_check(self, position: Position) -> None:
        """The first word of an endpoint: whose it is, and whether it is as far as what was seen."""
        cluster = position.cluster_id
        self.connected_cluster_id, self.checked_revision = cluster, position.revision
        self._check_token = 0
        if self.cluster_id is None or cluster == self.candidate_cluster_id:
            self._begin_snapshot()
        elif cluster != self.cluster_id:
            known = cluster in self.former_cluster_ids
            text = f"it is of cluster {cluster}, {'left behind for' if known else 'not'} {self.cluster_id}"
            self._leave_endpoint(
                EndpointVerdict.FORMER_CLUSTER if known else EndpointVerdict.UNKNOWN_CLUSTER, text, cluster
            )
        elif self._accept_position(position, self.check_min_revision):
            if position.raft_term < self.raft_term:
                text = f"raft term {position.raft_term} after {self.raft_term}: restored from a backup?"
                self._write_log(
                    "warning", f"{self.endpoint_names[self.endpoint_index]}: {text} Taking the whole list"
                )
                self.needs_snapshot = True
            self.raft_term = position.raft_term
            if self.needs_snapshot:
                self._begin_snapshot()
            else:
                self._open_watch()

    # --- whether the watch lost a deletion

    def _compare_key_count(self, revision: int, key_count: int) -> None:
        """Hold a count of the keys against what was made of the same revision, once the watch is there."""
        if self.complete_revision > revision:
            return  # what there was at that revision is not known any more: the next check counts
        self._schedule_audit()
        if self.seen == self.complete_revision == revision:
            self._reread_if_deletion_lost(key_count, len(self.known_keys))
        elif key_count != len(self.known_keys):
            self.pending_key_count = revision, key_count

    def _schedule_audit(self) -> None:
        self.next_audit_at_ms = self.now_ms + self.audit_interval_ms * self.rng.uniform(0.5, 1.5)

    def _reread_if_deletion_lost(self, key_count: int, known_count: int) -> bool:
        """Whether the count does not fit: then the list is read anew."""
        self.pending_key_count = None
        if key_count == known_count:
            return False
        self._write_log(
            "warning", f"{key_count} keys are there and {known_count} were told of: the list is read anew"
        )
        self.is_rereading_snapshot = self.needs_snapshot = True
        self._begin_snapshot()
        return True

    def _accept_position(self, position: Position, min_revision: int) -> bool:
        """Whether this is the cluster talked to, and no further back than `floor`; else it is left."""
        if position.cluster_id != self.connected_cluster_id:
            text = f"cluster {position.cluster_id} answers in place of {self.connected_cluster_id}"
            self._leave_endpoint(EndpointVerdict.UNAVAILABLE, text)
            return False
        if self.connected_cluster_id == self.cluster_id and position.revision < min_revision:
            self._leave_endpoint(
                EndpointVerdict.LAGGING, f"its revision {position.revision} is behind {min_revision}"
            )
            return False
        return True

    # --- the whole list

    def _snapshot_wait_ms(self) -> float:
        """The time until the list that is needed may be asked for."""
        if self.time_slots is None:
            return 0.0
        if self.snapshot_due_at_ms is None:
            self.snapshot_due_at_ms = self.now_ms + self.time_slots.first_delay_ms()
        return (
            0.0
            if self.snapshot_due_at_ms <= self.now_ms + TIMER_RESOLUTION_MS
            else self.snapshot_due_at_ms - self.now_ms
        )

    def _defer_snapshot(self, is_rejected: bool, retry_after_ms: float = 0.0) -> None:
        """The list was asked for in vain. Counted from the turn that it had, so that all stay evenly laid."""
        if self.time_slots is not None:
            slot_at_ms = (
                self.now_ms if self.snapshot_due_at_ms is None else min(self.snapshot_due_at_ms, self.now_ms)
            )
            retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS) + self.now_ms - slot_at_ms
            self.snapshot_due_at_ms = slot_at_ms + self.time_slots.retry_delay_ms(is_rejected, retry_after_ms)

    def _wait_for_slot(self, wait_ms: float) -> None:
        """It is not this node's turn yet: news is followed until then, as far as a watch makes sense."""
        if not self.has_snapshot or self.connected_cluster_id != self.cluster_id:
            # A cluster that is new is looked for once more then: the present one may be back.
            self._reset_calls()
            self.candidate_cluster_id = ""
            if self.has_snapshot and self.reported_status is ReportedStatus.AVAILABLE:
                self.reported_status = ReportedStatus.UNAVAILABLE
                cluster_id = self.connected_cluster_id
                reason = f"the whole list of cluster {cluster_id} has its turn in {wait_ms / 1000:.1f} s"
                self._actions.append(DeliverUpdate(SourceLost(self.source_name, reason)))
            self._wait(wait_ms)
            return
        self.needs_snapshot = True
        if not self.watch_call_id and self.phase is not WatcherPhase.CHECKING:
            self._begin_checking()  # from which revision on the watch is to be
            return
        if not self.has_gap:
            self._write_log("info", f"the whole list has its turn in {wait_ms / 1000:.1f} s, news goes on")
        if not self.watch_call_id:
            self.complete_revision = (
                self.complete_revision if self.has_gap else max(self.complete_revision, self.checked_revision)
            )
            self._open_watch()
        self.has_gap = True
        self._slot_token = self._set_timer(wait_ms)

    def _on_snapshot_rejected(self, event: CallFailed) -> None:
        """The list was refused. Another endpoint of the same cluster may do better, at a later turn."""
        self._defer_snapshot(True, event.retry_after_ms)
        wait_ms, name = self._snapshot_wait_ms(), self.endpoint_names[self.endpoint_index]
        text = f"{name} refused the whole list ({event.reason}), its next turn is in {wait_ms / 1000:.1f} s"
        self._write_log("warning", text)
        self._reset_calls()
        self.endpoint_position = (self.endpoint_position + 1) % len(self.endpoint_order)
        if self.has_snapshot:
            self._begin_checking()
        else:
            self._wait(wait_ms)

    def _begin_snapshot(self) -> None:
        if wait_ms := self._snapshot_wait_ms():
            self._wait_for_slot(wait_ms)
            return
        self.phase = WatcherPhase.FETCHING_SNAPSHOT
        self._close_watch()
        self.check_call_id = self._check_token = 0
        self.snapshot_entries, self.snapshot_revision, self.after_key = [], 0, b""
        self.pending_key_count = None
        self._fetch_page()

    def _fetch_page(self) -> None:
        self.page_call_id = self._next_id()
        page = FetchSnapshotPage(
            self.page_call_id, self.endpoint_index, self.after_key, self.snapshot_revision, self.page_max_keys
        )
        self._actions.append(page)
        self._phase_token = self._set_timer(CALL_TIMEOUT_MS)

    def _on_page_received(self, event: SnapshotPageReceived) -> None:
        self.page_call_id = 0
        if not self._accept_position(event.position, self.min_revision):
            return
        if not self.snapshot_revision:
            self.snapshot_revision, self.snapshot_key_count = event.position.revision, event.key_count
        self.snapshot_entries += event.entries
        self.page_max_keys = min(2 * self.page_max_keys, MAX_PAGE_KEYS)
        if len(self.snapshot_entries) > MAX_SNAPSHOT_ENTRIES:
            self._leave_endpoint(
                EndpointVerdict.UNAVAILABLE, f"its list has more than {MAX_SNAPSHOT_ENTRIES} entries"
            )
        elif not event.has_more:
            self._on_snapshot_complete()
        elif event.last_key <= self.after_key:
            self._leave_endpoint(EndpointVerdict.UNAVAILABLE, "its pages do not go on")
        else:
            self.after_key = event.last_key
            self._fetch_page()

    def _on_snapshot_complete(self) -> None:
        entries, self.snapshot_entries = self.snapshot_entries, []
        revision = self.snapshot_revision
        listing = _build_endpoint_list(revision, True, entries)
        is_seen_revision = self.connected_cluster_id == self.cluster_id and revision == self.seen
        if is_seen_revision and (
            self.seen > self.complete_revision or self.is_rereading_snapshot or self.has_gap
        ):
            # The rest of a revision that was cut between fragments, or what a watch lost on the way to it: a
            # whole list of a revision that was seen says nothing new to the membership, changes of it do.
            gone = (
                self.endpoint_ids - {m.id for m in listing.records} - {f.key for f in listing.invalid_entries}
            )
            listing = EndpointList(revision, False, listing.records, tuple(gone), listing.invalid_entries)
        if self.connected_cluster_id != self.cluster_id:
            if self.cluster_id is not None:
                self.former_cluster_ids.append(self.cluster_id)
            self.cluster_id, self.raft_term, self.endpoint_ids = self.connected_cluster_id, 0, set()
        ids_before = self.endpoint_ids
        self.endpoint_ids = {m.id for m in listing.records} | {
            f.key for f in listing.invalid_entries if f.key in ids_before
        }
        self._log_mass_removal(len(ids_before), 0, len(ids_before - self.endpoint_ids), revision)
        keys = {_key_name(row) for row in entries}
        is_unchanged = self.is_rereading_snapshot and keys == self.known_keys
        self.audit_interval_ms = (
            min(2 * self.audit_interval_ms, MAX_AUDIT_INTERVAL_MS) if is_unchanged else AUDIT_INTERVAL_MS
        )
        self.known_keys, self.unnamed_key_count = keys, max(0, self.snapshot_key_count - len(keys))
        self._schedule_audit()
        self.seen = self.complete_revision = revision
        self.needs_snapshot, self.is_rereading_snapshot, self.candidate_cluster_id = False, False, ""
        self.has_snapshot, self.has_gap, self.snapshot_due_at_ms, self._slot_token = True, False, None, 0
        if self.time_slots is not None:
            self.time_slots.reset()
        self._deliver_update(EndpointsListed(self.source_name, self.identity, listing))
        self._open_watch()

    # --- the watch

    def _open_watch(self) -> None:
        self.phase = WatcherPhase.OPENING_WATCH
        self.check_call_id = self._check_token = 0
        self.fragment_removals = self.pending_key_count = None
        self.watch_call_id = self._next_id()
        # Guards against a delete that is lost: a compaction at its very revision drops it, and etcd 3.4 lets
        # a watch from there in all the same. From one revision before it, which was seen and is passed over,
        # such a watch is canceled. 0 would mean from now on; etcd begins with 1.
        self._actions.append(
            OpenWatch(self.watch_call_id, self.endpoint_index, max(self.complete_revision, 1))
        )
        self._phase_token = self._set_timer(CALL_TIMEOUT_MS)

    def _on_watch_created(self, position: Position) -> None:
        """Guards against a start in the endpoint's future, which it would accept: it lags."""
        if not self._accept_position(position, self.complete_revision):
            return
        self.phase, self._phase_token = WatcherPhase.WATCHING, 0
        self.last_watch_message_at_ms, self.failed_check_count = self.now_ms, 0
        self.silence_timeout_ms = SILENT_WATCH_TIMEOUT_MS * self.rng.uniform(0.5, 1.5)
        self._schedule_check()

    def _on_watch_events(self, event: WatchEventsReceived) -> None:
        if not self._accept_position(event.position, self.complete_revision):
            return
        self.last_watch_message_at_ms = self.now_ms
        newest_revision = max((c.revision for c in event.watch_events), default=0)
        if newest_revision > event.position.revision:
            self.needs_snapshot = True
            text = f"an event of revision {newest_revision} where etcd is at {event.position.revision}"
            self._leave_endpoint(EndpointVerdict.UNAVAILABLE, text)
            return
        # Guards against events that are replayed, out of order too: what is old is dropped. The newest
        # revision of a fragment may be incomplete, so it counts as seen and not as whole: the rest of it is
        # taken, and after a break the watch begins with it once more.
        new_events = sorted(
            (c for c in event.watch_events if c.revision > self.complete_revision), key=lambda c: c.revision
        )
        pending_count = self.pending_key_count
        self._record_keys([c for c in new_events if pending_count is None or c.revision <= pending_count[0]])
        known_count = len(self.known_keys)
        self._record_keys(
            [c for c in new_events if pending_count is not None and c.revision > pending_count[0]]
        )
        if new_events:
            rows = [c.entry for c in new_events]
            self.seen = max(self.seen, newest_revision)
            listing = _build_endpoint_list(self.seen, False, rows)
            count_before, removed_count = self.fragment_removals or (len(self.endpoint_ids), 0)
            removed_ids = self.endpoint_ids.intersection(listing.removed_ids)
            self.endpoint_ids -= removed_ids
            self.endpoint_ids.update(m.id for m in listing.records)
            self._log_mass_removal(count_before, removed_count, len(removed_ids), newest_revision)
            self.fragment_removals = count_before, removed_count + len(removed_ids)
            self._deliver_update(EndpointsListed(self.source_name, self.identity, listing))
        if event.is_fragment:
            self.complete_revision = max(self.complete_revision, newest_revision - 1)
        else:
            self.complete_revision, self.fragment_removals = (
                max(self.complete_revision, newest_revision),
                None,
            )
        if pending_count is not None and (
            newest_revision > pending_count[0]
            or (newest_revision == pending_count[0] and not event.is_fragment)
        ):
            self._reread_if_deletion_lost(pending_count[1], known_count)

    def _record_keys(self, changes: Sequence[WatchEvent]) -> None:
        for change in changes:
            if change.is_key_present or not isinstance(change.entry, str):
                self.known_keys.add(_key_name(change.entry))
            else:
                self.known_keys.discard(change.entry)

    def _on_watch_progressed(self, position: Position) -> None:
        """All up to here was said (etcd's docs), which spares the next watch that way.

        No further than a check showed, and not between fragments: guards the order against one wrong number.
        """
        if not self._accept_position(position, self.complete_revision):
            return
        self.last_watch_message_at_ms = self.now_ms
        if self.fragment_removals is None:
            self.complete_revision = max(
                self.complete_revision, min(position.revision, self.checked_revision)
            )
        self._confirm_liveness()
        if (
            self.pending_key_count is not None
            and self.fragment_removals is None
            and position.revision >= self.pending_key_count[0]
        ):
            self._reread_if_deletion_lost(self.pending_key_count[1], len(self.known_keys))

    def _on_watch_ended(self, fault: CallFault, reason: str) -> None:
        """The watch has ended. Only a new whole list will do where something may be lost."""
        self._close_watch()
        if fault is CallFault.COMPACTED:
            self.needs_snapshot, self.has_gap = True, False
            self._restart_snapshot(reason or "the watch's revision was compacted")
        elif fault is CallFault.TOKEN_EXPIRED and not self.has_renewed_token:
            self.has_renewed_token = True
            self._open_watch()
        else:
            self.needs_snapshot = self.needs_snapshot or fault in (CallFault.UNREADABLE, CallFault.TOO_LARGE)
            self._leave_endpoint(_verdict_for_fault(fault), f"the watch ended: {reason}")

    def _restart_snapshot(self, reason: str) -> None:
        """A whole list from its beginning, at the same endpoint, as long as that is worth it."""
        self.snapshot_restart_count += 1
        if self.snapshot_restart_count > MAX_SNAPSHOT_RESTARTS:
            self._leave_endpoint(
                EndpointVerdict.UNAVAILABLE, f"{MAX_SNAPSHOT_RESTARTS} lists begun in vain: {reason}"
            )
        else:
            self._begin_snapshot()

    def _close_watch(self) -> None:
        if self.watch_call_id:
            self.watch_call_id = 0
            self._actions.append(CloseWatch(self.endpoint_index))

    # --- what goes wrong

    def _on_call_failed(self, event: CallFailed) -> None:
        if event.call_id == self.watch_call_id:
            self._on_watch_ended(event.fault, event.reason)
        elif event.call_id == self.page_call_id:
            self._on_page_failed(event)
        elif event.call_id == self.check_call_id:
            self._on_check_failed(event)

    def _on_page_failed(self, event: CallFailed) -> None:
        self.page_call_id = 0
        if event.fault is CallFault.COMPACTED:
            self._restart_snapshot(event.reason)
        elif event.fault is CallFault.TOO_LARGE and self.page_max_keys > 1:
            self.page_max_keys = max(1, self.page_max_keys // 4)
            self._fetch_page()
        elif event.fault is CallFault.OVERLOADED and self.time_slots is not None:
            self._on_snapshot_rejected(event)
        elif event.fault is CallFault.TOKEN_EXPIRED and not self.has_renewed_token:
            self.has_renewed_token = True
            self._fetch_page()
        else:
            self._leave_endpoint(_verdict_for_fault(event.fault), f"no list: {event.reason}")

    def _on_check_failed(self, event: CallFailed) -> None:
        self.check_call_id = 0
        if event.fault is CallFault.TOKEN_EXPIRED and not self.has_renewed_token:
            self.has_renewed_token = True
            self._send_check()
            return
        if event.fault is CallFault.OVERLOADED and not self.has_snapshot:
            self._defer_snapshot(True, event.retry_after_ms)
        self.failed_check_count += 1
        if self.phase is WatcherPhase.CHECKING or self.failed_check_count >= MAX_FAILED_CHECKS:
            self._leave_endpoint(_verdict_for_fault(event.fault), event.reason)
        else:
            self._schedule_check()

    def _on_timer_fired(self, token: int) -> None:
        if token == self._check_token:
            if self.check_call_id:
                self._leave_endpoint(
                    EndpointVerdict.UNAVAILABLE, f"no answer to a read in {CHECK_TIMEOUT_MS:.0f} ms"
                )
            else:
                self._send_check()
        elif token == self._slot_token:
            self._slot_token = 0
            if self.phase in (WatcherPhase.OPENING_WATCH, WatcherPhase.WATCHING):
                self._begin_snapshot()
        elif token == self._phase_token:
            if self.phase is WatcherPhase.WAITING:
                self._begin_checking()
            else:
                self._leave_endpoint(
                    EndpointVerdict.UNAVAILABLE,
                    f"no answer in {CALL_TIMEOUT_MS:.0f} ms while {self.phase.value}",
                )

    def _reset_calls(self) -> None:
        """Nothing is out any more."""
        if self.phase not in (WatcherPhase.STOPPED, WatcherPhase.WAITING):
            self._actions.append(CloseConnections(self.endpoint_index))
        self.check_call_id = self.page_call_id = self.watch_call_id = 0
        self._check_token = self._phase_token = self._slot_token = 0
        self.snapshot_entries, self.fragment_removals, self.pending_key_count = [], None, None
        self.failed_check_count, self.snapshot_restart_count, self.has_renewed_token = 0, 0, False
        self.page_max_keys = MAX_PAGE_KEYS

    def _leave_endpoint(self, verdict: EndpointVerdict, reason: str, cluster_id: str = "") -> None:
        """For the next endpoint; where all were asked, the round is over."""
        left_index, was_watching = self.endpoint_index, self.phase is WatcherPhase.WATCHING
        checked_cluster_id = "" if self.phase is WatcherPhase.CHECKING else self.connected_cluster_id
        if self.reported_status is ReportedStatus.AVAILABLE and self.phase is not WatcherPhase.CHECKING:
            self._write_log("warning", f"{self.endpoint_names[left_index]} is left: {reason}")
        if self.phase is WatcherPhase.FETCHING_SNAPSHOT:
            self._defer_snapshot(False)
        self._reset_calls()
        self.candidate_cluster_id = ""
        self.endpoint_position = (self.endpoint_position + 1) % len(self.endpoint_order)
        if self.is_endpoint_proven and was_watching:
            # A round begins; this endpoint is its last one.
            self.is_endpoint_proven = False
            self.outcomes.clear()
            self._wait(self.rng.uniform(0, RESUME_JITTER_MS))
            return
        self.is_endpoint_proven = False
        self.outcomes[left_index] = EndpointOutcome(verdict, reason, cluster_id or checked_cluster_id)
        if len(self.outcomes) == len(self.endpoint_order):
            self._on_round_complete()
        else:
            self._begin_checking()

    def _wait(self, wait_ms: float) -> None:
        self.phase = WatcherPhase.WAITING
        self._phase_token = self._set_timer(wait_ms)

    # --- no endpoint will do

    def _on_round_complete(self) -> None:
        outcomes, self.outcomes = self.outcomes, {}
        verdicts = {o.verdict for o in outcomes.values()}
        unknown_cluster_indexes = [
            i for i in self.endpoint_order if outcomes[i].verdict is EndpointVerdict.UNKNOWN_CLUSTER
        ]
        # One that answered a check and failed later is there: its cluster has not gone.
        is_cluster_present = any(o.cluster_id == self.cluster_id for o in outcomes.values())
        if unknown_cluster_indexes and not is_cluster_present and EndpointVerdict.LAGGING not in verdicts:
            self.candidate_cluster_id = outcomes[unknown_cluster_indexes[0]].cluster_id
            text = f"no endpoint of cluster {self.cluster_id} answers"
            text += f"; going over to cluster {self.candidate_cluster_id}"
            self._write_log("warning", text)
            self.endpoint_position = self.endpoint_order.index(unknown_cluster_indexes[0])
            self._begin_checking()
            return
        reason = "; ".join(f"{self.endpoint_names[i]}: {outcomes[i].reason}" for i in self.endpoint_order)[
            :600
        ]
        if verdicts <= REGRESSION_VERDICTS:
            self.regression_since_ms = (
                self.regression_since_ms if self.regression_round_count else self.now_ms
            )
            self.regression_round_count += 1
            self.needs_snapshot = True
            if (
                self.regression_round_count >= MIN_REGRESSION_ROUNDS
                and self.now_ms - self.regression_since_ms >= MIN_REGRESSION_MS
            ):
                what = "etcd has gone back for good, as one restored from a backup does"
                way = "To take what etcd holds now, raise `epoch` in [membership.etcd]"
                self._reject_source(f"{what}: {reason}. {way}")
        else:
            self.regression_round_count = 0
        if verdicts == {EndpointVerdict.PERMISSION_DENIED}:
            self._reject_source(f"no endpoint lets this node in: {reason}")
        elif self.reported_status is ReportedStatus.AVAILABLE:
            self.reported_status = ReportedStatus.UNAVAILABLE
            self._actions.append(DeliverUpdate(SourceLost(self.source_name, reason)))
        wait_ms = self.backoff.next_delay_ms()
        if self.needs_snapshot and not self._snapshot_wait_ms():
            self._defer_snapshot(False, wait_ms)
        self._wait(wait_ms if self.has_snapshot else max(wait_ms, self._snapshot_wait_ms()))

    def _reject_source(self, reason: str) -> None:
        if self.reported_status is not ReportedStatus.REJECTED:
            self.reported_status = ReportedStatus.REJECTED
            self._write_log("warning", reason)
            self._actions.append(DeliverUpdate(SourceRejected(self.source_name, reason)))

    # --- helpers

    def _confirm_liveness(self) -> None:
        if not self.has_gap:  # else what was said last need not be current
            self._deliver_update(SourceConfirmedCurrent(self.source_name))

    def _deliver_update(self, event: EndpointsListed | SourceConfirmedCurrent) -> None:
        self.reported_status = ReportedStatus.AVAILABLE
        self._actions.append(DeliverUpdate(event))

    def _log_mass_removal(
        self, count_before: int, already_removed_count: int, newly_removed_count: int, revision: int
    ) -> None:
        """An empty fleet may be what an outage of etcd made of its leases; the rule on drains says obey."""
        removed_count, min_removed_count = (
            already_removed_count + newly_removed_count,
            max(MIN_MASS_REMOVAL_ENDPOINTS, count_before // 2 + 1),
        )
        if already_removed_count < min_removed_count <= removed_count:
            text = f"{removed_count} of {count_before} members ended at once, by revision {revision}; obeyed"
            self._write_log("warning", text)

    def _write_log(self, level: str, text: str) -> None:
        self._actions.append(WriteLog(level, f"{self.source_name}: {text}"))

    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def _set_timer(self, wait_ms: float) -> int:
        token = self._next_id()
        self._actions.append(SetTimer(self.now_ms + wait_ms, token))
        return token


def _key_name(entry: EntryUpdate) -> str:
    """What stands for the row's key."""
    return entry if isinstance(entry, str) else entry.key if isinstance(entry, InvalidEntry) else entry.id


def _verdict_for_fault(fault: CallFault) -> EndpointVerdict:
    denied = fault in (CallFault.PERMISSION_DENIED, CallFault.TOKEN_EXPIRED)
    return EndpointVerdict.PERMISSION_DENIED if denied else EndpointVerdict.UNAVAILABLE


def _build_endpoint_list(revision: int, is_complete: bool, entries: Sequence[EntryUpdate]) -> EndpointList:
    """The rows as a list; of several on one id the last one holds, with a fault beside what it spoils."""
    records: dict[str, EndpointRecord] = {}
    removed: dict[str, None] = {}
    invalid_entries: dict[str, InvalidEntry] = {}
    for entry in entries:
        match entry:
            case EndpointRecord():
                removed.pop(entry.id, None)
                invalid_entries.pop(entry.id, None)
                records[entry.id] = entry
            case InvalidEntry():
                invalid_entries[entry.key] = entry
                if entry.is_draining and (last_record := records.get(entry.key)) is not None:
                    records[entry.key] = replace(
                        last_record, endpoint=replace(last_record.endpoint, phase=api.Phase.DRAINING)
                    )
            case _:
                records.pop(entry, None)
                invalid_entries.pop(entry, None)
                removed[entry] = None
    removed_ids = () if is_complete else tuple(removed)
    return EndpointList(
        revision, is_complete, tuple(records.values()), removed_ids, tuple(invalid_entries.values())
    )
