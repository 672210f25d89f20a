"""Which change of what a node keeps is written when: a pure decider in front of the store.

- A removal or drain is handed over at once, in the store's urgent lane.
- Changes of the view wait GROUP_MS for others, the last word on each server alone, at most BATCH of them in
  one turn of the loop and one batch in the store at a time: a slow disk makes fewer writes, no longer queue.
- How far a source has told (its revision) goes with the last change that it brought, never before: a restart
  that took the revision as seen without the change would never be told it again.
- What was learned is asked for each `every_ms`, and written where it moved by over MOVED since.
- A server that comes back after its end keeps the end until its new row is durable.
- A generation is begun after an hour with changes, or once changes are over GENERATION_CHANGES and four times
  the rows; ends older than `max_age_ms` go then.

The state is bounded by what is kept: one entry a server, MAX_KEPT in all; what is over is left out, and said.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from balancer.core.persistence.persisted_state import (
    URGENT_TABLES,
    NodeIdentity,
    PersistedEndpoint,
    PersistedRow,
    SourcePosition,
    Withdrawal,
)

GROUP_COMMIT_WINDOW_MS = 50.0
MAX_CHANGES_PER_WRITE = 250  # changes of one write, about 1 ms of the loop
MAX_URGENT_WRITES_IN_FLIGHT = 4  # urgent writes handed over and not yet durable
MAX_PERSISTED_ENDPOINTS = 100_000  # servers, and ends
REJECTED_WRITE_RETRY_MS = 1_000.0
SIGNIFICANT_CHANGE_RATIO = 0.1  # of a learned figure
GENERATION_INTERVAL_MS = 3_600_000.0
MIN_GENERATION_CHANGES = 20_000

RowKey = tuple[str, str]  # table, key


# --- events


class StoreOpened(msgspec.Struct, frozen=True):
    """The store is open: what it holds, and who this start is. `order` is the highest in it."""

    identity: NodeIdentity
    rows: Mapping[str, Mapping[str, PersistedRow]]
    last_sequence_number: int
    wall_ms: int


class EndpointsChanged(msgspec.Struct, frozen=True):
    """The view changed: servers as they are now (a drain is one of them), servers that are gone.

    `source` at `revision` of `identity` brought it. At most some hundred in one event: the loop waits.
    """

    source: str
    identity: str
    revision: int
    wall_ms: int
    endpoints: tuple[tuple[str, PersistedEndpoint], ...] = ()
    removed_ids: tuple[str, ...] = ()


class SourceConfirmed(msgspec.Struct, frozen=True):
    """A source showed that what it said last is current."""

    source: str
    identity: str
    revision: int
    wall_ms: int


class LearnedStateCollected(msgspec.Struct, frozen=True):
    """What the module learned, after `AskLearned`: rows of its tables; None takes one away."""

    rows: Mapping[RowKey, PersistedRow | None]


class IncarnationRaised(msgspec.Struct, frozen=True):
    """This life goes by a greater number from now on."""

    incarnation: int


class TimeAdvanced(msgspec.Struct, frozen=True):
    """Time went by."""

    wall_ms: int


class WriteCommitted(msgspec.Struct, frozen=True):
    """A write is durable."""

    write_number: int


class WriteRejected(msgspec.Struct, frozen=True):
    """The store could not take a write: nothing of it is written."""

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
    """Make all of these durable in one commit, and tell `Written` or `TurnedAway` by this number."""

    write_number: int
    changes: tuple[tuple[RowKey, PersistedRow | None], ...]


class CollectLearnedState(msgspec.Struct, frozen=True):
    """Ask the module what it learned."""


class BeginGeneration(msgspec.Struct, frozen=True):
    """Have the store write all tables anew."""


class WriteLog(msgspec.Struct, frozen=True):
    """Tell the log."""

    text: str


Action = WriteRows | CollectLearnedState | BeginGeneration | WriteLog


class WriteBehindState(msgspec.Struct):
    """All that the decider holds."""

    identity: NodeIdentity | None = None
    endpoint_sequence_numbers: dict[str, int] = {}  # order of each one's row, as it was last decided
    withdrawals: dict[str, Withdrawal] = {}
    sources: dict[str, SourcePosition] = {}
    unwritten_sources: set[str] = set()  # sources that spoke since they were last written
    dirty: dict[RowKey, PersistedRow | None] = {}
    urgent_dirty: dict[RowKey, PersistedRow | None] = {}
    in_flight: dict[int, tuple[tuple[RowKey, PersistedRow | None], ...]] = {}
    normal_write_number: int = 0  # the number of the one write that is not urgent, 0: none
    urgent_in_flight_count: int = 0
    last_write_number: int = 0
    last_sequence_number: int = 0
    generation_change_count: int = 0  # since the generation began
    next_group_commit_ms: float = 0.0
    next_collection_ms: float = 0.0
    next_generation_ms: float = 0.0
    retry_at_ms: float = 0.0
    written_learned_rows: dict[RowKey, PersistedRow] = {}  # as they were last handed over
    is_lagging: bool = False
    omitted_count: int = 0


class WriteBehind:
    """`handle` is told events at the node's clock; `next_ms` says when to tell `Ticked` next."""

    def __init__(self, collection_interval_ms: float, max_age_ms: float, first_write_number: int = 0) -> None:
        """`every_ms` between two writings of what was learned, `max_age_ms` until an end is forgotten."""
        self.collection_interval_ms, self.max_age_ms = collection_interval_ms, max_age_ms
        self.state = WriteBehindState(last_write_number=first_write_number)

    def __repr__(self) -> str:
        state = self.state
        return f"<Keeping {len(state.endpoint_sequence_numbers)} servers, {len(state.dirty)} + {len(state.urgent_dirty)} dirty, {len(state.in_flight)} out>"

    def next_ms(self) -> float:
        """When time alone brings something next."""
        state = self.state
        group_commit_ms = (
            [max(state.next_group_commit_ms, state.retry_at_ms)]
            if state.dirty and not state.normal_write_number
            else []
        )
        urgent_retry_ms = (
            [state.retry_at_ms]
            if state.urgent_dirty and state.urgent_in_flight_count < MAX_URGENT_WRITES_IN_FLIGHT
            else []
        )
        return min([state.next_collection_ms, state.next_generation_ms, *group_commit_ms, *urgent_retry_ms])

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event, in order. `now_ms` never goes back."""
        actions: list[Action] = []
        if isinstance(event, EndpointsChanged):
            self._on_endpoints_changed(now_ms, event, actions)
        elif isinstance(event, WriteCommitted):
            self._on_write_committed(event.write_number)
        elif isinstance(event, SourceConfirmed):
            self._update_source(event)
        elif isinstance(event, LearnedStateCollected):
            self._on_learned_state_collected(event)
        elif isinstance(event, WriteRejected):
            self._on_write_rejected(now_ms, event.write_number, actions)
        elif isinstance(event, StoreOpened):
            self._on_store_opened(now_ms, event)
        elif isinstance(event, IncarnationRaised):
            self._on_incarnation_raised(event.incarnation)
        else:
            self._on_time_advanced(now_ms, event.wall_ms, actions)
        self._start_writes(now_ms, actions)
        return actions

    # --- what was told

    def _on_store_opened(self, now_ms: float, event: StoreOpened) -> None:
        state = self.state
        state.last_sequence_number = event.last_sequence_number
        state.withdrawals = {
            key: row for key, row in event.rows.get("ends", {}).items() if isinstance(row, Withdrawal)
        }
        rows = event.rows.get("view", {}).items()
        state.endpoint_sequence_numbers = {
            key: row.order for key, row in rows if isinstance(row, PersistedEndpoint)
        }
        rows = event.rows.get("sources", {}).items()
        state.sources = {key: row for key, row in rows if isinstance(row, SourcePosition)}
        state.identity = state.urgent_dirty["self", "node"] = event.identity
        state.next_collection_ms, state.next_generation_ms = (
            now_ms + self.collection_interval_ms,
            now_ms + GENERATION_INTERVAL_MS,
        )

    def _on_incarnation_raised(self, incarnation: int) -> None:
        identity = self.state.identity
        if identity is not None and incarnation > identity.incarnation:
            self.state.identity = identity = msgspec.structs.replace(identity, incarnation=incarnation)
            self.state.urgent_dirty["self", "node"] = identity

    def _on_endpoints_changed(self, now_ms: float, event: EndpointsChanged, actions: list[Action]) -> None:
        state = self.state
        if not state.dirty:
            state.next_group_commit_ms = now_ms + GROUP_COMMIT_WINDOW_MS
        for endpoint_id, endpoint in event.endpoints:
            state.last_sequence_number += 1
            if (
                endpoint_id not in state.endpoint_sequence_numbers
                and len(state.endpoint_sequence_numbers) >= MAX_PERSISTED_ENDPOINTS
            ):
                self._count_omitted(actions)
                continue
            state.endpoint_sequence_numbers[endpoint_id] = state.last_sequence_number
            state.dirty["view", endpoint_id] = msgspec.structs.replace(
                endpoint, order=state.last_sequence_number
            )
            if endpoint.draining:
                state.last_sequence_number += 1  # the end is the later word
                self._record_withdrawal(
                    endpoint_id,
                    Withdrawal(
                        False, event.source, event.revision, event.wall_ms, state.last_sequence_number
                    ),
                    actions,
                )
        for endpoint_id in event.removed_ids:
            state.last_sequence_number += 1
            if state.endpoint_sequence_numbers.pop(endpoint_id, None) is not None:
                state.dirty["view", endpoint_id] = None
            self._record_withdrawal(
                endpoint_id,
                Withdrawal(True, event.source, event.revision, event.wall_ms, state.last_sequence_number),
                actions,
            )
        if self._update_source(event):
            self._write_source(event.source)

    def _record_withdrawal(self, endpoint_id: str, withdrawal: Withdrawal, actions: list[Action]) -> None:
        if (
            endpoint_id not in self.state.withdrawals
            and len(self.state.withdrawals) >= MAX_PERSISTED_ENDPOINTS
        ):
            oldest = next(iter(self.state.withdrawals))
            del self.state.withdrawals[oldest]
            self.state.urgent_dirty["ends", oldest] = None
            self._count_omitted(actions)
        self.state.withdrawals.pop(endpoint_id, None)
        self.state.withdrawals[endpoint_id] = withdrawal
        self.state.urgent_dirty["ends", endpoint_id] = withdrawal

    def _count_omitted(self, actions: list[Action]) -> None:
        self.state.omitted_count += 1
        if self.state.omitted_count == 1:
            actions.append(
                WriteLog(f"over {MAX_PERSISTED_ENDPOINTS} servers or ends: those over it are not kept")
            )

    def _update_source(self, event: EndpointsChanged | SourceConfirmed) -> bool:
        """Whether its word is no older than what was known of it."""
        state, previous = self.state, self.state.sources.get(event.source)
        if previous is None or previous.identity != event.identity or event.revision >= previous.revision:
            state.sources[event.source] = SourcePosition(
                event.identity, event.revision, max(0, event.wall_ms)
            )
            state.unwritten_sources.add(event.source)
            return True
        return False

    def _write_source(self, source_name: str) -> None:
        """Behind all changes that wait: they are written in their order."""
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
            for name in sorted(state.unwritten_sources):
                self._write_source(name)
        row_count = len(state.endpoint_sequence_numbers) + len(state.withdrawals)
        is_generation_due = now_ms >= state.next_generation_ms
        if (is_generation_due and state.generation_change_count) or state.generation_change_count > max(
            MIN_GENERATION_CHANGES, 4 * row_count
        ):
            for name in [n for n, end in state.withdrawals.items() if wall_ms - end.at_ms > self.max_age_ms]:
                del state.withdrawals[name]
                state.urgent_dirty["ends", name] = None
            state.generation_change_count, is_generation_due = 0, True
            actions.append(BeginGeneration())
        if is_generation_due:
            state.next_generation_ms = now_ms + GENERATION_INTERVAL_MS

    def _on_write_committed(self, write_number: int) -> None:
        """What came back after its end, and is durable now, needs the end no more."""
        state = self.state
        state.is_lagging = False
        for (table, key), row in self._finish_write(write_number):
            withdrawal = state.withdrawals.get(key)
            if (
                table == "view"
                and isinstance(row, PersistedEndpoint)
                and withdrawal is not None
                and withdrawal.sequence_number < row.order
            ):
                del state.withdrawals[key]
                state.urgent_dirty["ends", key] = None

    def _on_write_rejected(self, now_ms: float, write_number: int, actions: list[Action]) -> None:
        """It is dirty still, but for what has changed since; it stays ahead of what came later."""
        state = self.state
        rejected = dict(self._finish_write(write_number))
        if any(table in URGENT_TABLES for table, _ in rejected):
            # Guards against an older word that is handed over again behind a newer one.
            for table, key in rejected:
                rejected[table, key] = state.withdrawals.get(key) if table == "ends" else state.identity
            state.urgent_dirty = {**rejected, **state.urgent_dirty}
        else:
            state.dirty = {**rejected, **state.dirty}
        state.retry_at_ms = now_ms + REJECTED_WRITE_RETRY_MS
        if not state.is_lagging:
            state.is_lagging = True
            actions.append(WriteLog("the store takes no more: what is kept lags behind"))

    def _finish_write(self, write_number: int) -> tuple[tuple[RowKey, PersistedRow | None], ...]:
        state = self.state
        changes = state.in_flight.pop(write_number, ())
        if write_number == state.normal_write_number:
            state.normal_write_number = 0
        elif changes:
            state.urgent_in_flight_count -= 1
        return changes

    # --- what is handed over

    def _start_writes(self, now_ms: float, actions: list[Action]) -> None:
        state = self.state
        while (
            state.urgent_dirty
            and state.urgent_in_flight_count < MAX_URGENT_WRITES_IN_FLIGHT
            and now_ms >= state.retry_at_ms
        ):
            state.urgent_in_flight_count += 1
            self._start_write(_take_batch(state.urgent_dirty), actions)
        if (
            state.normal_write_number
            or not state.dirty
            or now_ms < max(state.next_group_commit_ms, state.retry_at_ms)
        ):
            return
        self._start_write(_take_batch(state.dirty), actions)
        state.normal_write_number = state.last_write_number
        state.next_group_commit_ms = now_ms + (
            0.0 if len(state.dirty) >= MAX_CHANGES_PER_WRITE else GROUP_COMMIT_WINDOW_MS
        )

    def _start_write(
        self, changes: tuple[tuple[RowKey, PersistedRow | None], ...], actions: list[Action]
    ) -> None:
        state = self.state
        state.last_write_number += 1
        state.in_flight[state.last_write_number] = changes
        state.generation_change_count += len(changes)
        actions.append(WriteRows(state.last_write_number, changes))


def _is_significant_change(old: PersistedRow, new: PersistedRow, max_age_ms: float) -> bool:
    """Whether a learned figure is another one by now, or was written long ago."""
    for name in ("usual_ms", "limit", "slow"):
        if hasattr(old, name):
            old_value, new_value = getattr(old, name), getattr(new, name)
            elapsed_ms = getattr(new, "at_ms", 0) - getattr(old, "at_ms", 0)
            return (
                abs(new_value - old_value) > SIGNIFICANT_CHANGE_RATIO * old_value or elapsed_ms > max_age_ms
            )
    return getattr(old, "until_ms", None) != getattr(new, "until_ms", None)


def _take_batch(changes: dict[RowKey, PersistedRow | None]) -> tuple[tuple[RowKey, PersistedRow | None], ...]:
    """The first BATCH, taken out."""
    keys = [key for key, _ in zip(changes, range(MAX_CHANGES_PER_WRITE), strict=False)]
    return tuple((key, changes.pop(key)) for key in keys)
