"""The rows that a node persists: one struct per table, with bounds on each field.

| table | key | value | written |
| --- | --- | --- | --- |
| `self` | `node` | `NodeIdentity` | at each start, before all others, and when the incarnation is raised |
| `ends` | endpoint | `Withdrawal`: removed or draining | at once, synced before other tables |
| `view` | endpoint | `PersistedEndpoint` | in group commits |
| `sources` | source | `SourcePosition`: its revision in the view | with the last change of that revision |
| `usual` | request class | `ExpectedLatency` | at each collection of learned state |
| `limit` | `node` | `ConcurrencyLimit` | at each collection of learned state |
| `weights` | backend | `BackendSlowness` | at each collection of learned state |
| `ejections` | backend | `BackendEjection` | at each collection of learned state |

Times of type WallClockMs are Unix time in milliseconds, as they outlive the process. Values are MessagePack
arrays, so **the order of the fields is the stored format**: a field is only ever added at the end, with a
default. Decoding validates the bounds of each field.

The sequence number rises with every change of the view, for as long as the directory exists. An endpoint's
row and its withdrawal are written in different lanes of the store; the one with the higher sequence number is
the later.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec

TableName = Literal["self", "ends", "view", "sources", "usual", "limit", "weights", "ejections"]
RowKey = tuple[TableName, str]
"""A table and the key of a row in it; a plain tuple, as thousands are created in one event loop turn."""

TABLE_NAMES: tuple[TableName, ...] = (
    "self",
    "ends",
    "view",
    "sources",
    "usual",
    "limit",
    "weights",
    "ejections",
)
URGENT_TABLES: frozenset[TableName] = frozenset({"self", "ends"})
"""Tables of the store's urgent lane, which is written before all others."""
NODE_KEY = "node"
"""The only key of the tables `self` and `limit`."""

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
ShortText = Annotated[str, msgspec.Meta(max_length=256)]
Counter = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
WallClockMs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
SourceClockMs = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
BoundedNumber = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class NodeIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The node that owns the directory; a `name` other than the configured one means a copied directory."""

    id: NonEmptyText
    name: ShortText
    incarnation: Counter
    first_started_at_ms: WallClockMs


class PersistedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint of the merged view: its `EndpointRecord`, and the sources that list it."""

    host: NonEmptyText
    port: Annotated[int, msgspec.Meta(ge=1, lt=65_536)]
    zone: ShortText = ""
    cell: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)] = -1
    weight: BoundedNumber = 1.0
    is_draining: bool = False
    started_at_ms: SourceClockMs = 0.0  # by the clock of the source that listed it
    kind: ShortText = ""
    sources: Annotated[tuple[NonEmptyText, ...], msgspec.Meta(max_length=16)] = ()
    confirmed_at_ms: WallClockMs = 0
    sequence_number: Counter = 0


class Withdrawal(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's removal (`is_removed`) or drain, with the source that withdrew it and its revision."""

    is_removed: bool
    source: ShortText
    revision: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)]
    at_ms: WallClockMs
    sequence_number: Counter = 0


class SourcePosition(msgspec.Struct, frozen=True, array_like=True):
    """The position of a source: its identity, its last revision in the view and its last confirmation."""

    identity: ShortText
    revision: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)]
    confirmed_at_ms: WallClockMs


class ExpectedLatency(msgspec.Struct, frozen=True, array_like=True):
    """The expected latency of a request class, and its mean deviation."""

    expected_latency_ms: DurationMs
    mean_deviation_ms: DurationMs
    at_ms: WallClockMs


class ConcurrencyLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit on requests in flight."""

    limit: BoundedNumber
    at_ms: WallClockMs


class BackendSlowness(msgspec.Struct, frozen=True, array_like=True):
    """A backend's mean latency as a multiple of the expected one of its request classes."""

    slowness: BoundedNumber
    at_ms: WallClockMs


class BackendEjection(msgspec.Struct, frozen=True, array_like=True):
    """A backend that receives no requests until `until_ms`, after `consecutive_failures`."""

    until_ms: WallClockMs
    consecutive_failures: Counter
    at_ms: WallClockMs


PersistedRow = (
    NodeIdentity
    | PersistedEndpoint
    | Withdrawal
    | SourcePosition
    | ExpectedLatency
    | ConcurrencyLimit
    | BackendSlowness
    | BackendEjection
)
RowT = TypeVar(
    "RowT",
    PersistedEndpoint,
    Withdrawal,
    SourcePosition,
    ExpectedLatency,
    ConcurrencyLimit,
    BackendSlowness,
    BackendEjection,
)
