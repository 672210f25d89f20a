"""Events that the etcd watcher handles and actions that it returns.

A `call_id` names a call in the action that makes it and in the events that answer it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from balancer.core.discovery import endpoint_merger
from balancer.endpoints import EndpointRecord, InvalidEntry

EntryUpdate = EndpointRecord | InvalidEntry | str
"""One key's new state: an endpoint, an entry that cannot be parsed, or the id of a removed endpoint."""


class CallFault(Enum):
    """Why a call to etcd failed."""

    FAILED = "failed"  # no connection, no answer, or an error of any other kind
    COMPACTED = "compacted"
    TOKEN_EXPIRED = "stale token"  # the call may be repeated, which logs in again
    PERMISSION_DENIED = "denied"
    UNREADABLE = "spoiled"  # the answer cannot be decoded
    TOO_LARGE = "too long"
    OVERLOADED = "busy"


# --- events


@dataclass(slots=True, frozen=True)
class Position:
    """The header of an answer: the cluster, its revision and its raft term."""

    cluster_id: str
    revision: int
    raft_term: int = 0


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A change of one key at a revision.

    `is_key_present`: the key exists, even if its value says that the endpoint is removed.
    """

    revision: int
    entry: EntryUpdate
    is_key_present: bool = False


@dataclass(slots=True, frozen=True)
class WatcherStarted:
    """The watcher is to begin."""


@dataclass(slots=True, frozen=True)
class WatcherStopped:
    """The watcher is to close everything and end."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a `SetTimer` has come."""

    token: int


@dataclass(slots=True, frozen=True)
class CheckAnswered:
    """A linearizable read was answered; `key_count` is that of the prefix, if the check asked for it."""

    call_id: int
    position: Position
    key_count: int | None = None


@dataclass(slots=True, frozen=True)
class SnapshotPageReceived:
    """A page of a snapshot arrived; if it `has_more`, the next one begins behind `last_key`.

    `key_count` is the number of keys on this page and all later ones, at the snapshot's revision.
    """

    call_id: int
    position: Position
    entries: tuple[EntryUpdate, ...]
    last_key: bytes
    has_more: bool
    key_count: int = 0


@dataclass(slots=True, frozen=True)
class WatchCreated:
    """etcd confirmed the watch."""

    call_id: int
    position: Position


@dataclass(slots=True, frozen=True)
class WatchEventsReceived:
    """The watch delivered events, oldest first.

    A fragment may end in the middle of a revision; the rest follows at once.
    """

    call_id: int
    position: Position
    watch_events: tuple[WatchEvent, ...]
    is_fragment: bool = False


@dataclass(slots=True, frozen=True)
class WatchProgressed:
    """Progress notification: all events up to the position were delivered."""

    call_id: int
    position: Position


@dataclass(slots=True, frozen=True)
class WatchCanceled:
    """etcd canceled the watch, its stream is still open.

    `compact_revision` is not 0 if the revision to watch from was compacted.
    """

    call_id: int
    compact_revision: int
    fault: CallFault
    reason: str


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A check, a page or a watch ended without a (further) answer.

    `retry_after_ms` is how long an overloaded etcd asks to be left alone, 0 if it did not say.
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

# --- actions


@dataclass(slots=True, frozen=True)
class CheckEndpoint:
    """Read one key, linearizable; or count all keys below the prefix."""

    call_id: int
    endpoint_index: int
    counts_keys: bool = False


@dataclass(slots=True, frozen=True)
class FetchSnapshotPage:
    """Read up to `max_keys` keys behind `after_key` as of `revision` (0: the current one), linearizable."""

    call_id: int
    endpoint_index: int
    after_key: bytes
    revision: int
    max_keys: int


@dataclass(slots=True, frozen=True)
class OpenWatch:
    """Watch the prefix from a revision on."""

    call_id: int
    endpoint_index: int
    start_revision: int


@dataclass(slots=True, frozen=True)
class CloseWatch:
    """Close the watch's stream and discard what it may still deliver."""

    endpoint_index: int


@dataclass(slots=True, frozen=True)
class CloseConnections:
    """Close all connections to an endpoint."""

    endpoint_index: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send `TimerFired` at a clock time."""

    at_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class DeliverUpdate:
    """Pass an event to the endpoint merger."""

    update: (
        endpoint_merger.EndpointsListed
        | endpoint_merger.SourceConfirmedCurrent
        | endpoint_merger.SourceLost
        | endpoint_merger.SourceRejected
    )


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a log line; `level` is `info` or `warning`."""

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
