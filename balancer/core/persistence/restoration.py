"""Restores a node's state at the start from the tables of a store: validated rows, with their ages.

The wall clock may have jumped, and files may be lost or belong to another node. What cannot be restored
is reported by a message; the rest is restored.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from enum import StrEnum
from typing import NamedTuple

import msgspec

from balancer.core.persistence.persisted_state import (
    NODE_KEY,
    BackendEjection,
    BackendSlowness,
    ConcurrencyLimit,
    ExpectedLatency,
    NodeIdentity,
    PersistedEndpoint,
    PersistedRow,
    RowT,
    SourcePosition,
    TableName,
    Withdrawal,
)
from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry

MAX_REPORTED_ROWS = 20
"""Invalid rows that get a message each; the others are only counted."""
MAX_RESTORED_EJECTION_MS = 600_000
"""Upper bound for the remaining time of a restored ejection, whatever the wall clock did."""

_ROW_TYPES: dict[TableName, type[PersistedRow]] = {
    "ends": Withdrawal,
    "view": PersistedEndpoint,
    "sources": SourcePosition,
    "usual": ExpectedLatency,
    "limit": ConcurrencyLimit,
    "weights": BackendSlowness,
    "ejections": BackendEjection,
}


class RestoreOutcome(StrEnum):
    """How much of the persisted state could be restored. `balancer state` exports the values."""

    NOTHING_STORED = "none"
    RESTORED = "kept"
    OUTDATED = "older"
    """A newer generation exists but cannot be read."""
    LOST = "lost"
    """State was stored, but none of it can be used."""


class RestoredEndpoint(msgspec.Struct, frozen=True):
    """A persisted endpoint, and its minimum age since a source confirmed it."""

    endpoint: PersistedEndpoint
    age_ms: float


class RestoredState(msgspec.Struct):
    """The part of the persisted state that a start may use.

    `is_foreign`: the directory belongs to another node; nothing is restored from it, and nothing may be
    written to it. `clock_behind_ms`: how far the wall clock is behind the last commit. `rows`: all valid rows
    of the tables, including those that are too old to be used.
    """

    outcome: RestoreOutcome
    identity: NodeIdentity | None = None
    is_foreign: bool = False
    clock_behind_ms: float = 0.0
    last_sequence_number: int = 0
    endpoints: dict[str, RestoredEndpoint] = {}
    withdrawals: dict[str, Withdrawal] = {}
    sources: dict[str, SourcePosition] = {}
    expected_latencies: dict[str, ExpectedLatency] = {}
    concurrency_limit: ConcurrencyLimit | None = None
    slowness: dict[str, BackendSlowness] = {}
    ejection_left_ms: dict[str, float] = {}
    rows: dict[str, dict[str, PersistedRow]] = {}
    messages: list[str] = []

    def persisted_endpoints(self) -> dict[str, PersistedEndpoint]:
        """Return all valid rows of the view, including endpoints that are withdrawn or too old."""
        return _rows_of_type(self.rows.get("view", {}), PersistedEndpoint)


class ListedIds(NamedTuple):
    """The endpoints that a source listed at a revision."""

    revision: int
    ids: Set[str]


def restore(
    tables: Mapping[str, Mapping[str, bytes]],
    generation: int,
    is_outdated: bool,
    committed_at_ms: int,
    node_name: str,
    now_ms: int,
    max_age_ms: float,
) -> RestoredState:
    """Restore the state from the tables of a store; `generation` is the one that was read, 0 for none.

    `is_outdated`: a newer generation cannot be read. `committed_at_ms` is the wall clock time of the last
    commit, `now_ms` the current one. An age is never negative and never below its value at the last commit;
    if the clock is behind that commit, the age at the commit is used, with a message. An endpoint's age
    counts from the latest confirmation by a source that lists it. Entries older than `max_age_ms` and invalid
    rows are not restored.
    """
    restored = RestoredState(RestoreOutcome.LOST if is_outdated else RestoreOutcome.NOTHING_STORED)
    if not generation:
        if is_outdated:
            restored.messages.append("no generation of the persisted state is readable: starting without it")
        return restored
    restored.outcome = RestoreOutcome.OUTDATED if is_outdated else RestoreOutcome.RESTORED
    identity = _read_identity(tables.get("self", {}), restored)
    if identity is None:
        restored.outcome = RestoreOutcome.LOST
        return restored
    if identity.name != node_name:
        owner = f"that of node {identity.name!r:.80}, not of {node_name!r:.80}"
        message = f"the directory is {owner}: nothing is recalled"
        return RestoredState(RestoreOutcome.LOST, is_foreign=True, messages=[message])
    restored.identity = identity
    now_ms = _clamped_clock_ms(now_ms, committed_at_ms, restored)
    _read_rows(tables, restored)
    _restore_view(restored, committed_at_ms, now_ms, max_age_ms)
    _restore_learned_state(restored, now_ms, max_age_ms)
    return restored


def _clamped_clock_ms(now_ms: int, committed_at_ms: int, restored: RestoredState) -> int:
    """Return the wall clock time, or the time of the last commit if the clock is behind it."""
    if now_ms >= committed_at_ms:
        return now_ms
    restored.clock_behind_ms = committed_at_ms - now_ms
    clock_text = f"the clock is {restored.clock_behind_ms / 1000:.0f} s behind what was written"
    restored.messages.append(f"{clock_text}: ages are taken as of then, and may be more")
    return committed_at_ms


def _read_identity(rows: Mapping[str, bytes], restored: RestoredState) -> NodeIdentity | None:
    try:
        return msgspec.msgpack.decode(rows[NODE_KEY], type=NodeIdentity)
    except (KeyError, msgspec.MsgspecError):
        restored.messages.append("the directory has no valid node identity: nothing is restored")
        return None


def _read_rows(tables: Mapping[str, Mapping[str, bytes]], restored: RestoredState) -> None:
    """Decode all tables but the node's identity, skipping invalid rows."""
    invalid_count = 0
    for table, row_type in _ROW_TYPES.items():
        rows = restored.rows.setdefault(table, {})
        for key, encoded in tables.get(table, {}).items():
            try:
                rows[key] = msgspec.msgpack.decode(encoded, type=row_type)
            except msgspec.MsgspecError as error:
                invalid_count += 1
                if invalid_count <= MAX_REPORTED_ROWS:
                    restored.messages.append(f"{table} {key!r:.80} is not believed: {error!s:.120}")
    if invalid_count > MAX_REPORTED_ROWS:
        restored.messages.append(f"{invalid_count - MAX_REPORTED_ROWS} further rows are invalid")


def _rows_of_type(rows: Mapping[str, PersistedRow], row_type: type[RowT]) -> dict[str, RowT]:
    return {key: row for key, row in rows.items() if isinstance(row, row_type)}


def _restore_view(restored: RestoredState, committed_at_ms: int, now_ms: int, max_age_ms: float) -> None:
    """Restore withdrawals, source positions, and the endpoints that are neither removed nor too old."""
    restored.withdrawals = _rows_of_type(restored.rows["ends"], Withdrawal)
    restored.sources = _rows_of_type(restored.rows["sources"], SourcePosition)
    endpoints = restored.persisted_endpoints()
    numbered: list[Withdrawal | PersistedEndpoint] = [*restored.withdrawals.values(), *endpoints.values()]
    restored.last_sequence_number = max((row.sequence_number for row in numbered), default=0)
    future_count = expired_count = 0
    for key, row in endpoints.items():
        withdrawal = restored.withdrawals.get(key)
        if withdrawal is not None and withdrawal.sequence_number > row.sequence_number:
            if withdrawal.is_removed:
                continue
            row = msgspec.structs.replace(row, is_draining=True)
        confirmed_at_ms = _confirmed_at_ms(row, restored.sources)
        future_count += confirmed_at_ms > committed_at_ms
        age_ms = float(now_ms - min(confirmed_at_ms, committed_at_ms))
        if age_ms > max_age_ms:
            expired_count += 1
        else:
            restored.endpoints[key] = RestoredEndpoint(row, age_ms)
    if future_count:
        message = (
            f"{future_count} servers have a confirmation time after the last write: its time is used instead"
        )
        restored.messages.append(message)
    if expired_count:
        last_confirmed = f"last confirmed over {max_age_ms / 1000:.0f} s ago"
        restored.messages.append(f"{expired_count} servers were {last_confirmed}: not believed")


def _confirmed_at_ms(row: PersistedEndpoint, sources: Mapping[str, SourcePosition]) -> int:
    """Return when the endpoint, or a source that lists it, was last confirmed."""
    listing = [sources[name].confirmed_at_ms for name in row.sources if name in sources]
    return max([row.confirmed_at_ms, *listing])


def _restore_learned_state(restored: RestoredState, now_ms: int, max_age_ms: float) -> None:
    """Restore values that the policy learned within `max_age_ms`, and the remaining time of each ejection.

    A value whose time is ahead of the wall clock counts as current.
    """
    for key, row in restored.rows["usual"].items():
        if isinstance(row, ExpectedLatency) and now_ms - row.at_ms <= max_age_ms:
            restored.expected_latencies[key] = row
    for key, row in restored.rows["weights"].items():
        if isinstance(row, BackendSlowness) and now_ms - row.at_ms <= max_age_ms:
            restored.slowness[key] = row
    limit = restored.rows["limit"].get(NODE_KEY)
    if isinstance(limit, ConcurrencyLimit) and now_ms - limit.at_ms <= max_age_ms:
        restored.concurrency_limit = limit
    for key, row in _rows_of_type(restored.rows["ejections"], BackendEjection).items():
        duration_ms = row.until_ms - min(row.at_ms, row.until_ms)
        left_ms = min(row.until_ms - now_ms, duration_ms, MAX_RESTORED_EJECTION_MS)
        if left_ms > 0:
            restored.ejection_left_ms[key] = left_ms


def exclude_withdrawn(
    listed: Mapping[str, EndpointRecord],
    revision: int | None,
    withdrawals: Mapping[str, Withdrawal],
    source: str,
    newer_list: ListedIds | None = None,
) -> EndpointList | None:
    """Return a source's list at `revision` without the endpoints withdrawn later; None if there are none.

    All withdrawals apply to a source that has listed nothing (`revision` is None). Unlike the view,
    withdrawals do not expire: a list from before a withdrawal is wrong however old both are, and if the clock
    is a day ahead the entire view is too old to be restored. The resulting list has the revision of the last
    withdrawal, so that no older list brings the endpoints back. As it lacks the endpoints that were added
    since, it contains an invalid entry, which makes the merger fetch a snapshot from the source.

    `newer_list` is a later list of the source, of any age. Endpoints that it does not contain are removed
    too, even if no withdrawal was persisted because the store was read after the source had responded.
    """
    by_source = {key: row for key, row in withdrawals.items() if row.source == source}
    if newer_list is None:
        later = {key: row for key, row in by_source.items() if revision is None or row.revision > revision}
        if not later:
            return None
        newer_list = ListedIds(-1, listed.keys())
    else:
        later = by_source
    remaining = tuple(record for key, record in listed.items() if key not in later and key in newer_list.ids)
    removed_ids = tuple(key for key, row in later.items() if row.is_removed)
    reason = f"{len(listed) - len(remaining)} servers were withdrawn after it: a snapshot is needed"
    newest_revision = max([newer_list.revision, *(row.revision for row in later.values())])
    return EndpointList(newest_revision, True, remaining, removed_ids, (InvalidEntry("(kept)", reason),))


def next_identity(
    restored: RestoredState, node_name: str, fresh_id: str, generation: int, now_ms: int
) -> NodeIdentity:
    """Return the identity of this start: the persisted one with a higher incarnation, or a new one.

    `generation` is that of the store. It rises even if none of its files can be read, and the incarnation
    is never below it.
    """
    identity = restored.identity
    if identity is None:
        return NodeIdentity(fresh_id, node_name, generation, max(0, now_ms))
    return msgspec.structs.replace(identity, incarnation=max(identity.incarnation + 1, generation))
