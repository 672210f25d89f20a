"""Events that the etcd watcher handles, and actions that it returns.

A `call_id` links the action that makes a call to the events that answer it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from balancer.core.discovery import endpoint_merger
from balancer.endpoints import EndpointRecord, InvalidEntry

EntryUpdate = EndpointRecord | InvalidEntry | str
"""The new state of one key: an endpoint, an entry that cannot be parsed, or the id of a removed endpoint."""


class CallFault(Enum):
    """Why a call to etcd failed."""

    FAILED = "failed"  # no connection, no answer, or any other error
    COMPACTED = "compacted"
    TOKEN_EXPIRED = "stale token"  # repeating the call logs in again
    PERMISSION_DENIED = "denied"
    UNREADABLE = "spoiled"  # the answer cannot be decoded
    TOO_LARGE = "too long"
    OVERLOADED = "busy"


# --- events


@dataclass(slots=True, frozen=True)
class Position:
    """The header of an answer: cluster id, revision and raft term."""

    cluster_id: str
    revision: int
    raft_term: int = 0


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A change of one key at a revision.

    `is_key_present`: the key exists, even if its value marks the endpoint as removed.
    """

    revision: int
    entry: EntryUpdate
    is_key_present: bool = False


@dataclass(slots=True, frozen=True)
class WatcherStarted:
    """Requests that the watcher starts."""


@dataclass(slots=True, frozen=True)
class WatcherStopped:
    """Requests that the watcher closes all connections and stops."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` expired."""

    token: int


@dataclass(slots=True, frozen=True)
class CheckAnswered:
    """A linearizable read was answered, with the prefix's `key_count` if the check requested it."""

    call_id: int
    position: Position
    key_count: int | None = None


@dataclass(slots=True, frozen=True)
class SnapshotPageReceived:
    """A page of a snapshot arrived; if it `has_more`, the next page begins after `last_key`.

    `key_count` is the number of keys on this page and all later pages, at the snapshot's revision.
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

    A fragment may end in the middle of a revision; the rest follows immediately.
    """

    call_id: int
    position: Position
    watch_events: tuple[WatchEvent, ...]
    is_fragment: bool = False


@dataclass(slots=True, frozen=True)
class WatchProgressed:
    """A progress notification: all events up to the position were delivered."""

    call_id: int
    position: Position


@dataclass(slots=True, frozen=True)
class WatchCanceled:
    """etcd canceled the watch, but its stream is still open.

    `compact_revision` is nonzero if the start revision of the watch was compacted.
    """

    call_id: int
    compact_revision: int
    fault: CallFault
    reason: str


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A check, a snapshot page or a watch ended without an answer, or without a further one.

    `retry_after_ms` is the delay that an overloaded etcd requests before a retry, 0 if it gave none.
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
    """Send a linearizable read of one key, or count all keys with the prefix."""

    call_id: int
    endpoint_index: int
    counts_keys: bool = False


@dataclass(slots=True, frozen=True)
class FetchSnapshotPage:
    """Read up to `max_keys` keys after `after_key` at `revision` (0: the current one), linearizably."""

    call_id: int
    endpoint_index: int
    after_key: bytes
    revision: int
    max_keys: int


@dataclass(slots=True, frozen=True)
class OpenWatch:
    """Watch the prefix, starting at a revision."""

    call_id: int
    endpoint_index: int
    start_revision: int


@dataclass(slots=True, frozen=True)
class CloseWatch:
    """Close the stream of the watch and discard any further messages."""

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
