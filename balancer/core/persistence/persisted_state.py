"""What a node keeps over a restart, as data, and what of it a start may believe.

| table | key | value | written |
| --- | --- | --- | --- |
| `self` | `node` | `Self` | at each start, synced first |
| `ends` | server | `End`: removed or draining | at once, synced before anything else |
| `view` | server | `Server` | in groups |
| `sources` | source | `Source`: how far the view is told by it | with the last change that it brought |
| `usual` | class | `Usual` | each `every` |
| `limit` | `node` | `Limit` | each `every` |
| `weights` | server | `Weight` | each `every` |
| `ejections` | server | `Ejection` | each `every` |

Times are wall clock in ms, as they outlive the process. Values are MessagePack arrays: a field is only ever
added at the end, with a default. Each field is bounded, so whatever comes off the disk is checked by reading.

`order` rises with every change of the view for the life of the directory: a server's row and its end are in
different lanes of the store, and the higher order is the later word.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import Annotated, TypeVar

import msgspec

from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry

TABLE_NAMES = ("self", "ends", "view", "sources", "usual", "limit", "weights", "ejections")
URGENT_TABLES = frozenset({"self", "ends"})
MAX_REPORTED_ROWS = 20  # lines on rows that are not believed; the rest are counted
MAX_RESTORED_EJECTION_MS = 600_000  # no kept ejection goes on for longer, whatever the clock did
DAY_MS = 86_400_000

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
ShortText = Annotated[str, msgspec.Meta(max_length=256)]
Counter = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
WallClockMs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
SourceClockMs = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
BoundedNumber = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class NodeIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Who this is. `name` is the node's in its configuration: another one there means a copied directory."""

    id: NonEmptyText
    name: ShortText
    incarnation: Counter
    first_started_at_ms: WallClockMs


class PersistedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One server of the view: what `members.Member` says, and who listed it."""

    host: NonEmptyText
    port: Annotated[int, msgspec.Meta(ge=1, lt=65_536)]
    zone: ShortText = ""
    cell: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)] = -1
    weight: BoundedNumber = 1.0
    draining: bool = False
    started_at_ms: SourceClockMs = 0.0  # in the source's clock
    kind: ShortText = ""
    sources: Annotated[tuple[NonEmptyText, ...], msgspec.Meta(max_length=16)] = ()
    confirmed_at_ms: WallClockMs = 0
    order: Counter = 0


class Withdrawal(msgspec.Struct, frozen=True, array_like=True):
    """A server's removal (`gone`) or drain, by whom, and at which of their revisions."""

    is_removed: bool
    source: ShortText
    revision: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)]
    at_ms: WallClockMs
    sequence_number: Counter = 0


class SourcePosition(msgspec.Struct, frozen=True, array_like=True):
    """A source's order: who it is, the last revision that the view holds, when it last spoke."""

    identity: ShortText
    revision: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)]
    confirmed_at_ms: WallClockMs


class ExpectedLatency(msgspec.Struct, frozen=True, array_like=True):
    """A class's usual time to serve, and its mean deviation."""

    usual_ms: DurationMs
    mean_deviation_ms: DurationMs
    at_ms: WallClockMs


class ConcurrencyLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit on requests out at once."""

    limit: BoundedNumber
    at_ms: WallClockMs


class BackendSlowness(msgspec.Struct, frozen=True, array_like=True):
    """A server's mean time over the usual one of its classes."""

    slow: BoundedNumber
    at_ms: WallClockMs


class BackendEjection(msgspec.Struct, frozen=True, array_like=True):
    """A server that is left alone until then, after so many failures in a row."""

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
S = TypeVar(
    "S",
    PersistedEndpoint,
    Withdrawal,
    SourcePosition,
    ExpectedLatency,
    ConcurrencyLimit,
    BackendSlowness,
    BackendEjection,
)


class RestoredEndpoint(msgspec.Struct, frozen=True):
    """A server out of memory, and how long ago a source last vouched for it, in ms, at the least."""

    endpoint: PersistedEndpoint
    age_ms: float


class RestoredState(msgspec.Struct):
    """What a start may believe.

    `memory` is `none` (nothing was there), `kept`, `older` (a newer generation was there and is not believed)
    or `lost` (nothing that was there is believed). `foreign`: the directory is another node's; nothing of it
    is recalled, and nothing should be written to it.
    """

    memory: str
    identity: NodeIdentity | None = None
    foreign: bool = False
    clock_behind_ms: float = 0.0  # the wall clock is this much behind what was written
    order: int = 0  # the highest
    endpoints: dict[str, RestoredEndpoint] = {}
    withdrawals: dict[str, Withdrawal] = {}
    sources: dict[str, SourcePosition] = {}
    expected_latencies: dict[str, ExpectedLatency] = {}
    concurrency_limit: ConcurrencyLimit | None = None
    slowness: dict[str, BackendSlowness] = {}
    ejection_left_ms: dict[str, float] = {}  # ms that are left of each
    rows: dict[str, dict[str, PersistedRow]] = {}  # the tables as they are kept
    said: list[str] = []


def restore(
    tables: Mapping[str, Mapping[str, bytes]],
    found: int,
    older: bool,
    wrote_ms: int,
    name: str,
    now_ms: int,
    max_age_ms: float,
) -> RestoredState:
    """Read the tables of a store: `found` is the generation believed (0: none), `wrote_ms` its last commit.

    `older` says that a newer one is not believed; `name` is this node's, `now_ms` the wall clock. An age is
    never under 0 nor under what it was at the last commit: with a clock that went back it is that, and said.
    A server is as old as the last word of the sources that list it. An entry older than `max_age_ms` is not
    believed, nor is a row that does not read as its kind; each is said.
    """
    restored = RestoredState("lost" if older else "none")
    if not found:
        if older:
            restored.said.append("nothing of what was kept can be believed: this start has lost its memory")
        return restored
    restored.memory = "older" if older else "kept"
    identity = _read_identity(tables.get("self", {}), restored)
    if identity is None:
        restored.memory = "lost"
        return restored
    if identity.name != name:
        message = (
            f"the directory is that of node {identity.name!r:.80}, not of {name!r:.80}: nothing is recalled"
        )
        return RestoredState("lost", foreign=True, said=[message])
    restored.identity = identity
    if now_ms < wrote_ms:
        restored.clock_behind_ms = wrote_ms - now_ms
        clock_message = f"the clock is {restored.clock_behind_ms / 1000:.0f} s behind what was written"
        restored.said.append(f"{clock_message}: ages are taken as of then, and may be more")
        now_ms = wrote_ms
    invalid_count = 0
    for table, row_type in _ROW_TYPES.items():
        rows = restored.rows.setdefault(table, {})
        for key, encoded in tables.get(table, {}).items():
            try:
                rows[key] = msgspec.msgpack.decode(encoded, type=row_type)
            except msgspec.MsgspecError as error:
                invalid_count += 1
                if invalid_count <= MAX_REPORTED_ROWS:
                    restored.said.append(f"{table} {key!r:.80} is not believed: {error!s:.120}")
    if invalid_count > MAX_REPORTED_ROWS:
        restored.said.append(f"{invalid_count - MAX_REPORTED_ROWS} further rows are not believed")
    restored.withdrawals = _rows_of_type(restored.rows["ends"], Withdrawal)
    restored.order = max((row.sequence_number for row in restored.withdrawals.values()), default=0)
    restored.sources = _rows_of_type(restored.rows["sources"], SourcePosition)
    _restore_endpoints(restored, wrote_ms, now_ms, max_age_ms)
    restored.expected_latencies = _recorded_within(
        _rows_of_type(restored.rows["usual"], ExpectedLatency), now_ms, max_age_ms
    )
    restored.slowness = _recorded_within(
        _rows_of_type(restored.rows["weights"], BackendSlowness), now_ms, max_age_ms
    )
    restored.concurrency_limit = _recorded_within(
        _rows_of_type(restored.rows["limit"], ConcurrencyLimit), now_ms, max_age_ms
    ).get("node")
    for key, row in _rows_of_type(restored.rows["ejections"], BackendEjection).items():
        left_ms = min(
            row.until_ms - now_ms, row.until_ms - min(row.at_ms, row.until_ms), MAX_RESTORED_EJECTION_MS
        )
        if left_ms > 0:
            restored.ejection_left_ms[key] = left_ms
    return restored


_ROW_TYPES: dict[str, type] = {
    "ends": Withdrawal,
    "view": PersistedEndpoint,
    "sources": SourcePosition,
    "usual": ExpectedLatency,
    "limit": ConcurrencyLimit,
    "weights": BackendSlowness,
    "ejections": BackendEjection,
}


def _read_identity(rows: Mapping[str, bytes], restored: RestoredState) -> NodeIdentity | None:
    try:
        return msgspec.msgpack.decode(rows["node"], type=NodeIdentity)
    except (KeyError, msgspec.MsgspecError):
        restored.said.append("the directory does not say whose it is: nothing is recalled")
        return None


def _rows_of_type(rows: Mapping[str, PersistedRow], row_type: type[S]) -> dict[str, S]:
    return {key: row for key, row in rows.items() if isinstance(row, row_type)}


def _recorded_within(rows: dict[str, S], now_ms: int, max_age_ms: float) -> dict[str, S]:
    """Those learned within `max_age_ms`. One from ahead of the clock counts as of now."""
    return {key: row for key, row in rows.items() if now_ms - getattr(row, "at_ms", 0) <= max_age_ms}


def _restore_endpoints(restored: RestoredState, last_commit_ms: int, now_ms: int, max_age_ms: float) -> None:
    """Servers that are believed: the later word of row and end, ages within `max_age_ms`."""
    ahead_count = expired_count = 0
    for key, row in _rows_of_type(restored.rows["view"], PersistedEndpoint).items():
        restored.order = max(restored.order, row.order)
        withdrawal = restored.withdrawals.get(key)
        if withdrawal is not None and withdrawal.sequence_number > row.order:
            if withdrawal.is_removed:
                continue
            row = msgspec.structs.replace(row, draining=True)
        confirmed_times_ms = [
            restored.sources[source_name].confirmed_at_ms
            for source_name in row.sources
            if source_name in restored.sources
        ]
        confirmed_at_ms = max([row.confirmed_at_ms, *confirmed_times_ms])
        ahead_count += confirmed_at_ms > last_commit_ms
        age_ms = float(now_ms - min(confirmed_at_ms, last_commit_ms))
        if age_ms > max_age_ms:
            expired_count += 1
        else:
            restored.endpoints[key] = RestoredEndpoint(row, age_ms)
    if ahead_count:
        restored.said.append(f"{ahead_count} servers are confirmed after the last write: taken as of it")
    if expired_count:
        restored.said.append(
            f"{expired_count} servers were last confirmed over {max_age_ms / 1000:.0f} s ago: not believed"
        )


def without_withdrawn(
    listed: Mapping[str, EndpointRecord],
    revision: int | None,
    withdrawals: Mapping[str, Withdrawal],
    source: str,
    seen: tuple[int, Set[str]] | None = None,
) -> EndpointList | None:
    """What a source listed at that revision, less the servers whose end it told later; None: there is none.

    Of a source that has listed nothing (no revision) all ends count. An end does not age as a view does: a
    list from before it is wrong however long ago that was, and a clock that is a day ahead makes all of a
    view too old to be believed. The list that comes of it is as new as the last of these ends, so that none
    from before brings the servers back; and it asks for the source's whole one, as whoever came since is not
    in it. `seen`: a later revision, and whom it had, however old: who is not in it had ended by then,
    also where no end was kept, as the store was read after the news.
    """
    source_withdrawals = {
        endpoint_id: withdrawal
        for endpoint_id, withdrawal in withdrawals.items()
        if withdrawal.source == source
    }
    later = {
        endpoint_id: withdrawal
        for endpoint_id, withdrawal in source_withdrawals.items()
        if revision is None or withdrawal.revision > revision
    }
    seen_revision, seen_ids = seen or (-1, listed.keys())
    later = source_withdrawals if seen is not None else later
    if seen is None and not later:
        return None
    remaining = tuple(
        record
        for endpoint_id, record in listed.items()
        if endpoint_id not in later and endpoint_id in seen_ids
    )
    removed_ids = tuple(endpoint_id for endpoint_id, withdrawal in later.items() if withdrawal.is_removed)
    reason = f"{len(listed) - len(remaining)} servers ended after it: the whole list is needed"
    newest_revision = max([seen_revision, *(withdrawal.revision for withdrawal in later.values())])
    return EndpointList(newest_revision, True, remaining, removed_ids, (InvalidEntry("(kept)", reason),))


def next_identity(
    restored: RestoredState, node_name: str, fresh_id: str, generation: int, now_ms: int
) -> NodeIdentity:
    """Who this start is: the same node one life on, or a new one. The incarnation only rises.

    `generation` is the store's number, which rises even where no file of it can be read.
    """
    identity = restored.identity
    if identity is None:
        return NodeIdentity(fresh_id, node_name, generation, max(0, now_ms))
    return msgspec.structs.replace(identity, incarnation=max(identity.incarnation + 1, generation))
