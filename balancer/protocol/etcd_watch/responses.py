"""Messages that responses of etcd's JSON gateway are decoded into."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

GRPC_PERMISSION_DENIED = 7
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_FAILED_PRECONDITION = 9
GRPC_OUT_OF_RANGE = 11
GRPC_UNAVAILABLE = 14
GRPC_UNAUTHENTICATED = 16


class ResponseFault(Enum):
    """Why a response could not be decoded."""

    NOT_HTTP = "not HTTP"
    HEAD_TOO_LARGE = "head too long"
    TOO_LARGE = "too long"
    NOT_JSON = "not JSON"
    UNEXPECTED_SHAPE = "not what etcd answers"
    TRUNCATED = "cut short"


@dataclass(slots=True, frozen=True)
class ResponseHeader:
    """Which cluster and member answered, and its revision. Omitted integers are 0."""

    cluster_id: str
    member_id: str
    revision: int
    raft_term: int


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key at a revision. `value` is None if the key is deleted, or the value was not base64."""

    key: bytes
    value: bytes | None
    mod_revision: int
    is_deleted: bool = False


@dataclass(slots=True, frozen=True)
class RangePage:
    """A page of a range. `unreadable_entries` has the reason for each entry that lacked even a key.

    The `header` of a later page has the revision at which it was answered, not that of the range.
    """

    header: ResponseHeader
    key_values: tuple[KeyValue, ...]
    has_more: bool
    key_count: int
    unreadable_entries: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class WatchCreated:
    """The watch is confirmed."""

    header: ResponseHeader


@dataclass(slots=True, frozen=True)
class WatchEvents:
    """Events, oldest first. A fragment is followed by more of the same batch, maybe of the same revision."""

    header: ResponseHeader
    events: tuple[KeyValue, ...]
    is_fragment: bool


@dataclass(slots=True, frozen=True)
class WatchProgress:
    """Progress notification: all events up to the header's revision were sent."""

    header: ResponseHeader


@dataclass(slots=True, frozen=True)
class WatchCanceled:
    """etcd canceled the watch, though its stream stays open. The header may lack a revision.

    `compact_revision` is not 0 if the cause is a compaction up to there.
    """

    header: ResponseHeader
    compact_revision: int
    reason: str


@dataclass(slots=True, frozen=True)
class GatewayError:
    """etcd rejected a call, or ended a watch. `code` is the gRPC status code, or 0 if there was none.

    `retry_after_s` is the `Retry-After` header in seconds, 0 if there was none.
    """

    code: int
    message: str
    http_status: int = 200
    retry_after_s: int = 0

    @property
    def is_compacted(self) -> bool:
        """The requested revision is compacted, or in the future; the gRPC code is the same."""
        return self.code == GRPC_OUT_OF_RANGE

    @property
    def is_auth_disabled(self) -> bool:
        """Authentication is not enabled, so a token is neither available nor needed."""
        return self.code == GRPC_FAILED_PRECONDITION and "authentication is not enabled" in self.message

    @property
    def is_token_expired(self) -> bool:
        """A new token may help: the old one expired, etcd restarted, or authentication was enabled."""
        return (
            self.code == GRPC_UNAUTHENTICATED
            or self.http_status == 401
            or _contains_any(self.message, "auth token", "auth store is old")
        )

    @property
    def is_overloaded(self) -> bool:
        """etcd, or a proxy in front of it, is overloaded.

        A 503 of etcd itself is gRPC's UNAVAILABLE: it has no leader or no quorum.
        """
        return (
            self.code == GRPC_RESOURCE_EXHAUSTED
            or self.http_status == 429
            or (self.http_status == 503 and self.code != GRPC_UNAVAILABLE)
        )

    @property
    def is_permission_denied(self) -> bool:
        """The user has no permission, or authentication failed."""
        return self.code == GRPC_PERMISSION_DENIED or _contains_any(
            self.message, "user name is empty", "authentication failed", "denied"
        )


@dataclass(slots=True, frozen=True)
class Authenticated:
    """Authentication succeeded. The token is never printed."""

    token: str = field(repr=False)


@dataclass(slots=True, frozen=True)
class InvalidResponse:
    """The response cannot be decoded; decoding stops here."""

    fault: ResponseFault
    detail: str

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.detail}"


Message = (
    RangePage
    | WatchCreated
    | WatchEvents
    | WatchProgress
    | WatchCanceled
    | GatewayError
    | Authenticated
    | InvalidResponse
)


def _contains_any(text: str, *parts: str) -> bool:
    return any(part in text for part in parts)
