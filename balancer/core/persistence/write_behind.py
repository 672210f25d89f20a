"""Decides when changes of a node's persisted state are written: a state machine in front of the store.

- A removal or drain is written at once, in the store's urgent lane.
- Other changes of the view are collected for `GROUP_COMMIT_WINDOW_MS`; only the last state of an endpoint is
  written. One write of at most `MAX_CHANGES_PER_WRITE` is in the store at a time, so that a slow disk results
  in fewer writes instead of a longer queue.
- The position of a source (its revision) is written with the last change of that revision, never before: a
  restart that considered the revision seen without the change would never receive that change again.
- Learned state is collected every `collection_interval_ms`; a value is written if it changed by more than
  `SIGNIFICANT_CHANGE_RATIO` since it was last written.
- The withdrawal of an endpoint that was listed again is kept until its new row is durable.
- A new generation begins after `GENERATION_INTERVAL_MS` if there were changes, or when the changes are many
  compared with the rows. Withdrawals older than `max_age_ms` are deleted then.

The state is bounded: one row per endpoint, and at most `MAX_PERSISTED_ENDPOINTS`. Endpoints above that limit
are not persisted, with a log line.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from balancer.core.persistence.persisted_state import (
    NODE_KEY,
    URGENT_TABLES,
    BackendEjection,
    BackendSlowness,
    ConcurrencyLimit,
    ExpectedLatency,
    NodeIdentity,
    PersistedEndpoint,
    PersistedRow,
    RowKey,
    SourcePosition,
    Withdrawal,
)

GROUP_COMMIT_WINDOW_MS = 50.0
"""How long a change of the view waits for further changes."""
MAX_CHANGES_PER_WRITE = 250
"""Takes about 1 ms of the event loop."""
MAX_URGENT_WRITES_IN_FLIGHT = 4
"""Urgent writes in the store that are not yet durable."""
MAX_PERSISTED_ENDPOINTS = 100_000
"""Limit on endpoints, and separately on withdrawals."""
REJECTED_WRITE_RETRY_MS = 1_000.0
SIGNIFICANT_CHANGE_RATIO = 0.1
"""A learned value is written again when it changed by more than this ratio."""
GENERATION_INTERVAL_MS = 3_600_000.0
MIN_GENERATION_CHANGES = 20_000
"""Changes that begin a generation early, unless the rows exceed a quarter of their number."""

RowChange = tuple[RowKey, PersistedRow | None]
"""A row and its new value; None deletes it."""


# --- events


class StoreOpened(msgspec.Struct, frozen=True):
    """The store is open: its rows, and the identity of this start."""

    identity: NodeIdentity
    rows: Mapping[str, Mapping[str, PersistedRow]]
    last_sequence_number: int
    wall_ms: int


class EndpointsChanged(msgspec.Struct, frozen=True):
    """Endpoints of the view changed (a drain is one such change) or were removed from it.

    The change is from `source` with `identity`, at `revision`. One event holds at most some hundreds of
    endpoints, as it is processed in a single event loop turn.
    """

    source: str
    identity: str
    revision: int
    wall_ms: int
    endpoints: tuple[tuple[str, PersistedEndpoint], ...] = ()
    removed_ids: tuple[str, ...] = ()


class SourceConfirmed(msgspec.Struct, frozen=True):
    """A source confirmed that its last list is current."""

    source: str
    identity: str
    revision: int
    wall_ms: int


class LearnedStateCollected(msgspec.Struct, frozen=True):
    """Response to `CollectLearnedState`: rows of the learned tables; None deletes a row."""

    rows: Mapping[RowKey, PersistedRow | None]


class IncarnationRaised(msgspec.Struct, frozen=True):
    """The running node has raised its incarnation."""

    incarnation: int


class TimeAdvanced(msgspec.Struct, frozen=True):
    """The time returned by `WriteBehind.next_ms` was reached."""

    wall_ms: int


class WriteCommitted(msgspec.Struct, frozen=True):
    """A write is durable."""

    write_number: int


class WriteRejected(msgspec.Struct, frozen=True):
    """The store had no capacity for a write: none of its changes are written."""

    write_number: int


Event = (
    StoreOpened
    | EndpointsChanged
    | SourceConfirmed
    | LearnedStateCollected
    | IncarnationRaised
    | TimeAdvanced
    | WriteCommitted
    | WriteRejected
)


# --- actions


class WriteRows(msgspec.Struct, frozen=True):
    """Make these changes durable in one commit; the response is `WriteCommitted` or `WriteRejected`."""

    write_number: int
    changes: tuple[RowChange, ...]


class CollectLearnedState(msgspec.Struct, frozen=True):
    """Read the state that the policy has learned; the response is `LearnedStateCollected`."""


class BeginGeneration(msgspec.Struct, frozen=True):
    """Make the store write all tables into a new generation."""


class WriteLog(msgspec.Struct, frozen=True):
    """Write a warning to the log."""

    text: str


Action = WriteRows | CollectLearnedState | BeginGeneration | WriteLog


class WriteBehindState(msgspec.Struct):
    """The state of `WriteBehind`.

    `dirty` and `urgent_dirty` hold changes that are not part of a write yet, in the order in which they will
    be written. `in_flight` holds the writes in the store that are not durable yet, by number.
    """

    identity: NodeIdentity | None = None
    endpoint_sequence_numbers: dict[str, int] = {}
    """Sequence number of the latest row of each endpoint, whether written or not."""
    withdrawals: dict[str, Withdrawal] = {}
    sources: dict[str, SourcePosition] = {}
    unwritten_sources: set[str] = set()
    """Sources confirmed since their position was last written."""
    dirty: dict[RowKey, PersistedRow | None] = {}
    urgent_dirty: dict[RowKey, PersistedRow | None] = {}
    in_flight: dict[int, tuple[RowChange, ...]] = {}
    normal_write_number: int = 0
    """Number of the only non-urgent write in flight; 0 for none."""
    urgent_in_flight_count: int = 0
    last_write_number: int = 0
    last_sequence_number: int = 0
    generation_change_count: int = 0
    """Changes since the generation began."""
    next_group_commit_ms: float = 0.0
    next_collection_ms: float = 0.0
    next_generation_ms: float = 0.0
    retry_at_ms: float = 0.0
    written_learned_rows: dict[RowKey, PersistedRow] = {}
    """Learned rows as they were last handed to the store."""
    is_lagging: bool = False
    omitted_count: int = 0


class WriteBehind:
    """Decides when changes are written; its owner sends events, and `TimeAdvanced` at `next_ms`."""

    def __init__(self, collection_interval_ms: float, max_age_ms: float, first_write_number: int = 0) -> None:
        """Collect learned state at this interval; delete withdrawals older than `max_age_ms`."""
        self.collection_interval_ms, self.max_age_ms = collection_interval_ms, max_age_ms
        self.state = WriteBehindState(last_write_number=first_write_number)

    def __repr__(self) -> str:
        state = self.state
        dirty = f"{len(state.dirty)} + {len(state.urgent_dirty)} dirty"
        endpoint_count = len(state.endpoint_sequence_numbers)
        return f"<WriteBehind {endpoint_count} endpoints, {dirty}, {len(state.in_flight)} in flight>"

    def next_ms(self) -> float:
        """Return the node's clock time at which `TimeAdvanced` is due next."""
        state = self.state
        times_ms = [state.next_collection_ms, state.next_generation_ms]
        if state.dirty and not state.normal_write_number:
            times_ms.append(max(state.next_group_commit_ms, state.retry_at_ms))
        if state.urgent_dirty and state.urgent_in_flight_count < MAX_URGENT_WRITES_IN_FLIGHT:
            times_ms.append(state.retry_at_ms)
        return min(times_ms)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process an event and return the resulting actions in order. `now_ms` is monotonic."""
        actions: list[Action] = []
        match event:
            case EndpointsChanged():
                self._on_endpoints_changed(now_ms, event, actions)
            case WriteCommitted():
                self._on_write_committed(event.write_number)
            case SourceConfirmed():
                self._update_source(event)
            case LearnedStateCollected():
                self._on_learned_state_collected(event)
            case WriteRejected():
                self._on_write_rejected(now_ms, event.write_number, actions)
            case StoreOpened():
                self._on_store_opened(now_ms, event)
            case IncarnationRaised():
                self._on_incarnation_raised(event.incarnation)
            case TimeAdvanced():
                self._on_time_advanced(now_ms, event.wall_ms, actions)
        self._start_writes(now_ms, actions)
        return actions

    # --- events

    def _on_store_opened(self, now_ms: float, event: StoreOpened) -> None:
        state = self.state
        state.last_sequence_number = event.last_sequence_number
        state.withdrawals = {
            key: row for key, row in event.rows.get("ends", {}).items() if isinstance(row, Withdrawal)
        }
        rows = event.rows.get("view", {}).items()
        state.endpoint_sequence_numbers = {
            key: row.sequence_number for key, row in rows if isinstance(row, PersistedEndpoint)
        }
        rows = event.rows.get("sources", {}).items()
        state.sources = {key: row for key, row in rows if isinstance(row, SourcePosition)}
        state.identity = state.urgent_dirty["self", NODE_KEY] = event.identity
        state.next_collection_ms = now_ms + self.collection_interval_ms
        state.next_generation_ms = now_ms + GENERATION_INTERVAL_MS

    def _on_incarnation_raised(self, incarnation: int) -> None:
        identity = self.state.identity
        if identity is not None and incarnation > identity.incarnation:
            self.state.identity = identity = msgspec.structs.replace(identity, incarnation=incarnation)
            self.state.urgent_dirty["self", NODE_KEY] = identity

    def _on_endpoints_changed(self, now_ms: float, event: EndpointsChanged, actions: list[Action]) -> None:
        if not self.state.dirty:
            self.state.next_group_commit_ms = now_ms + GROUP_COMMIT_WINDOW_MS
        for endpoint_id, endpoint in event.endpoints:
            self._put_endpoint(endpoint_id, endpoint, event, actions)
        for endpoint_id in event.removed_ids:
            self._remove_endpoint(endpoint_id, event, actions)
        if self._update_source(event):
            self._write_source(event.source)

    def _put_endpoint(
        self, endpoint_id: str, endpoint: PersistedEndpoint, event: EndpointsChanged, actions: list[Action]
    ) -> None:
        state = self.state
        state.last_sequence_number += 1
        numbers = state.endpoint_sequence_numbers
        if endpoint_id not in numbers and len(numbers) >= MAX_PERSISTED_ENDPOINTS:
            self._count_omitted(actions)
            return
        number = numbers[endpoint_id] = state.last_sequence_number
        state.dirty["view", endpoint_id] = msgspec.structs.replace(endpoint, sequence_number=number)
        if endpoint.is_draining:
            # The withdrawal must be the later of the two rows.
            number = state.last_sequence_number = number + 1
            drain = Withdrawal(False, event.source, event.revision, event.wall_ms, number)
            self._record_withdrawal(endpoint_id, drain, actions)

    def _remove_endpoint(self, endpoint_id: str, event: EndpointsChanged, actions: list[Action]) -> None:
        state = self.state
        state.last_sequence_number += 1
        if state.endpoint_sequence_numbers.pop(endpoint_id, None) is not None:
            state.dirty["view", endpoint_id] = None
        number = state.last_sequence_number
        removal = Withdrawal(True, event.source, event.revision, event.wall_ms, number)
        self._record_withdrawal(endpoint_id, removal, actions)

    def _record_withdrawal(self, endpoint_id: str, withdrawal: Withdrawal, actions: list[Action]) -> None:
        withdrawals = self.state.withdrawals
        if endpoint_id not in withdrawals and len(withdrawals) >= MAX_PERSISTED_ENDPOINTS:
            oldest = next(iter(withdrawals))
            del withdrawals[oldest]
            self.state.urgent_dirty["ends", oldest] = None
            self._count_omitted(actions)
        withdrawals.pop(endpoint_id, None)  # moves the latest withdrawal to the end of the dict
        withdrawals[endpoint_id] = withdrawal
        self.state.urgent_dirty["ends", endpoint_id] = withdrawal

    def _count_omitted(self, actions: list[Action]) -> None:
        self.state.omitted_count += 1
        if self.state.omitted_count == 1:
            limit = f"more than {MAX_PERSISTED_ENDPOINTS} endpoints or withdrawals"
            actions.append(WriteLog(f"{limit}: the excess is not persisted"))

    def _update_source(self, event: EndpointsChanged | SourceConfirmed) -> bool:
        """Record the source's position; return False if it is older than the known one."""
        state, previous = self.state, self.state.sources.get(event.source)
        if previous is None or previous.identity != event.identity or event.revision >= previous.revision:
            confirmed_at_ms = max(0, event.wall_ms)
            state.sources[event.source] = SourcePosition(event.identity, event.revision, confirmed_at_ms)
            state.unwritten_sources.add(event.source)
            return True
        return False

    def _write_source(self, source_name: str) -> None:
        """Queue the source's position behind all dirty changes, which are written in order."""
        state = self.state
        state.dirty.pop(("sources", source_name), None)
        state.dirty["sources", source_name] = state.sources[source_name]
        state.unwritten_sources.discard(source_name)

    def _on_learned_state_collected(self, event: LearnedStateCollected) -> None:
        state = self.state
        for key, row in event.rows.items():
            previous = state.written_learned_rows.get(key)
            if row is None:
                state.written_learned_rows.pop(key, None)
                state.dirty[key] = None
            elif previous is None or _is_significant_change(previous, row, self.max_age_ms / 4):
                if previous is None and len(state.written_learned_rows) >= 4 * MAX_PERSISTED_ENDPOINTS:
                    continue
                state.written_learned_rows[key] = state.dirty[key] = row

    def _on_time_advanced(self, now_ms: float, wall_ms: int, actions: list[Action]) -> None:
        state = self.state
        if now_ms >= state.next_collection_ms:
            state.next_collection_ms = now_ms + self.collection_interval_ms
            actions.append(CollectLearnedState())
            for source_name in sorted(state.unwritten_sources):
                self._write_source(source_name)
        row_count = len(state.endpoint_sequence_numbers) + len(state.withdrawals)
        is_due = now_ms >= state.next_generation_ms
        has_many_changes = state.generation_change_count > max(MIN_GENERATION_CHANGES, 4 * row_count)
        if (is_due and state.generation_change_count) or has_many_changes:
            self._begin_generation(wall_ms, actions)
            is_due = True
        if is_due:
            state.next_generation_ms = now_ms + GENERATION_INTERVAL_MS

    def _begin_generation(self, wall_ms: int, actions: list[Action]) -> None:
        state = self.state
        expired_ids = [
            endpoint_id
            for endpoint_id, withdrawal in state.withdrawals.items()
            if wall_ms - withdrawal.at_ms > self.max_age_ms
        ]
        for endpoint_id in expired_ids:
            del state.withdrawals[endpoint_id]
            state.urgent_dirty["ends", endpoint_id] = None
        state.generation_change_count = 0
        actions.append(BeginGeneration())

    def _on_write_committed(self, write_number: int) -> None:
        """Delete the withdrawals of endpoints that were listed again and whose row is durable now."""
        state = self.state
        state.is_lagging = False
        for (table, key), row in self._finish_write(write_number):
            withdrawal = state.withdrawals.get(key)
            if (
                table == "view"
                and isinstance(row, PersistedEndpoint)
                and withdrawal is not None
                and withdrawal.sequence_number < row.sequence_number
            ):
                del state.withdrawals[key]
                state.urgent_dirty["ends", key] = None

    def _on_write_rejected(self, now_ms: float, write_number: int, actions: list[Action]) -> None:
        """Mark the rows dirty again unless they have changed since, ahead of later changes."""
        state = self.state
        rejected = dict(self._finish_write(write_number))
        if any(table in URGENT_TABLES for table, _ in rejected):
            # Use the current values, so that no older withdrawal or identity is written after a newer one.
            for table, key in rejected:
                rejected[table, key] = state.withdrawals.get(key) if table == "ends" else state.identity
            state.urgent_dirty = {**rejected, **state.urgent_dirty}
        else:
            state.dirty = {**rejected, **state.dirty}
        state.retry_at_ms = now_ms + REJECTED_WRITE_RETRY_MS
        if not state.is_lagging:
            state.is_lagging = True
            actions.append(WriteLog("the store rejects writes: persisted state lags behind"))

    def _finish_write(self, write_number: int) -> tuple[RowChange, ...]:
        state = self.state
        changes = state.in_flight.pop(write_number, ())
        if write_number == state.normal_write_number:
            state.normal_write_number = 0
        elif changes:
            state.urgent_in_flight_count -= 1
        return changes

    # --- writes

    def _start_writes(self, now_ms: float, actions: list[Action]) -> None:
        state = self.state
        if now_ms < state.retry_at_ms:
            return
        while state.urgent_dirty and state.urgent_in_flight_count < MAX_URGENT_WRITES_IN_FLIGHT:
            state.urgent_in_flight_count += 1
            self._start_write(_take_batch(state.urgent_dirty), actions)
        if state.normal_write_number or not state.dirty or now_ms < state.next_group_commit_ms:
            return
        self._start_write(_take_batch(state.dirty), actions)
        state.normal_write_number = state.last_write_number
        has_full_batch = len(state.dirty) >= MAX_CHANGES_PER_WRITE
        state.next_group_commit_ms = now_ms + (0.0 if has_full_batch else GROUP_COMMIT_WINDOW_MS)

    def _start_write(self, changes: tuple[RowChange, ...], actions: list[Action]) -> None:
        state = self.state
        state.last_write_number += 1
        state.in_flight[state.last_write_number] = changes
        state.generation_change_count += len(changes)
        actions.append(WriteRows(state.last_write_number, changes))


def _is_significant_change(old: PersistedRow, new: PersistedRow, max_age_ms: float) -> bool:
    """Whether a learned value has changed, or was written more than `max_age_ms` before the new one."""
    match old, new:
        case ExpectedLatency(), ExpectedLatency():
            old_value, new_value = old.expected_latency_ms, new.expected_latency_ms
        case ConcurrencyLimit(), ConcurrencyLimit():
            old_value, new_value = old.limit, new.limit
        case BackendSlowness(), BackendSlowness():
            old_value, new_value = old.slowness, new.slowness
        case BackendEjection(), BackendEjection():
            return old.until_ms != new.until_ms
        case _:
            return False
    has_moved = abs(new_value - old_value) > SIGNIFICANT_CHANGE_RATIO * old_value
    return has_moved or new.at_ms - old.at_ms > max_age_ms


def _take_batch(changes: dict[RowKey, PersistedRow | None]) -> tuple[RowChange, ...]:
    """Remove and return the first `MAX_CHANGES_PER_WRITE` changes."""
    keys = [key for key, _ in zip(changes, range(MAX_CHANGES_PER_WRITE), strict=False)]
    return tuple((key, changes.pop(key)) for key in keys)
