"""A node's memory over restarts: what `[state]` switches on, off and over while the node runs.

- `StatePart` follows the settings: one `Memory` for the directory that is wanted, tried again where it cannot
  be had. The directory is opened and read off the loop: `/up` never waits for a disk. Requests do, HELD s at
  most at the start: the configuration's list may name servers that this node had seen the end of.
- `Memory` hands what was kept to the merge and to the decision module, then writes what changes: names whose
  row may differ wait in a queue and are looked at SLICE in one turn, removals and drains first.

Where nothing can be kept the node serves on without memory: one line in the log for each fault and one when
it is over, and `balancer recovery` says it as `store`. Bounds: a queue of names, a row a server.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import threading
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from balancer import interface as api
from balancer.core import recovery
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.persistence import persisted_state as kept
from balancer.core.persistence import write_behind as k
from balancer.core.persistence.persisted_state import PersistedEndpoint
from balancer.core.persistence.restoration import (
    ListedIds,
    RestoredState,
    RestoreOutcome,
    next_identity,
    restore,
    without_withdrawn,
)
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net.clock import wall_ms
from balancer.net.component import PEERS_SOURCE, RunningNode
from balancer.operator_settings import OperatorSettings, StateSettings
from balancer.store.engine import (
    Change,
    Delete,
    OpenResult,
    Put,
)
from balancer.store.files import FaultKind, FileSystem, StoreFileError
from balancer.store.store import Store, WriteQueueFull

log = logging.getLogger(__name__)
T = TypeVar("T")
A = TypeVar("A")

ENDPOINTS_PER_TURN = 250  # servers in one turn of the loop
OPEN_RETRY_INTERVAL_S = 5.0  # s until a directory that could not be had is tried again
LEARNED_STATE_RESTORE_WINDOW_MS = (
    1_000.0  # from the start on, within which what was learned still goes before what is
)
MAX_REQUEST_HOLD_S = (
    1.5  # s at most that requests wait at the start for what was kept: under the grace of drains
)
CLOSE_TIMEOUT_S = 2.0  # s that the end of a node waits for its disk
STORE_STATE_POLL_INTERVAL_S = 1.0  # s between two looks at how the store does
UNKNOWN_SOURCE = "?"  # the source of an end that no source told
MAX_NAME_LENGTH = 256  # characters of a name
MAX_ENDPOINTS_CHECKED_EACH_CHANGE = (
    1_000  # servers of a source that may be looked at with each change: 0.1 ms
)
MAX_CELL = 1 << 61  # of a cell's number


def _wall_clock_ms() -> int:
    return int(wall_ms())


class BlockingCall(Generic[T]):
    """Work on a thread of its own, which holds up neither the loop nor the end of the process."""

    def __init__(self, work: Callable[[], T]) -> None:
        self._work, self._loop = work, asyncio.get_running_loop()
        self.result: asyncio.Future[T] = self._loop.create_future()
        threading.Thread(target=self._run, name="state", daemon=True).start()

    def _run(self) -> None:
        try:
            value = self._work()
        except BaseException as error:
            self._complete(self._set_exception, error)
        else:
            self._complete(self._set_result, value)

    def _complete(self, callback: Callable[[A], None], argument: A) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits any more
            self._loop.call_soon_threadsafe(callback, argument)

    def _set_result(self, value: T) -> None:
        if not self.result.cancelled():
            self.result.set_result(value)

    def _set_exception(self, error: BaseException) -> None:
        if not self.result.cancelled():
            self.result.set_exception(error)


class PersistenceComponent:
    """Keeps the memory where the settings want it."""

    def __init__(
        self, running: RunningNode, file_system_factory: Callable[[], FileSystem] | None = None
    ) -> None:
        """`files` makes the store's file layer, the machine's own unless a test has another."""
        self.running, self.file_system_factory = running, file_system_factory
        self.session: PersistenceSession | None = None
        self.fault = ""  # why there is none
        self._settings: StateSettings | None = None
        self._switch_task: asyncio.Task[None] | None = None
        self._is_first_directory = True  # no directory was had yet: what it holds is this node's past
        self.loop = asyncio.get_running_loop()
        if running.recovery is not None:
            running.recovery.store_status, running.recovery.persist_incarnation = (
                self.status,
                self._persist_incarnation,
            )
            if (
                not running.recovery.has_begun
            ):  # the configuration's list may name whom this node saw the end of
                running.node.wait(True)
                running.fleet.listeners.append(self._on_merge)
                self.loop.call_later(MAX_REQUEST_HOLD_S, self._release_requests)

    def apply(self, settings: OperatorSettings) -> None:
        """Move to another directory, or to none, in the loop's next turns."""
        previous, self._settings = self._settings, settings.state
        if (
            previous is not None
            and settings.state is not None
            and previous.directory == settings.state.directory
        ):
            if self.session is not None:
                self.session.apply_settings(settings.state)
            return
        if previous is not settings.state:
            self.fault = "being opened" if self._settings is not None else ""
            previous_task, self._switch_task = (
                self._switch_task,
                self.loop.create_task(self._switch_directory(self._switch_task)),
            )
            if previous_task is not None:
                previous_task.cancel()  # it may wait for a disk that says nothing

    def _on_merge(self, event: membership.Event, actions: list[membership.Action]) -> None:
        """Where all sources have spoken, memory has nothing to say on whom to leave alone."""
        sources = self.running.fleet.merger.sources.values()
        is_cached = isinstance(event, membership.EndpointsListed) and event.is_cached
        if not is_cached and all(
            s.state is membership.SourceState.IN_SYNC and not s.has_cached_records for s in sources
        ):
            self._release_requests()

    def _release_requests(self) -> None:
        self.running.node.wait(False)
        if self._on_merge in self.running.fleet.listeners:
            # Not while they are told.
            self.loop.call_soon(self._stop_listening)

    def _stop_listening(self) -> None:
        if self._on_merge in self.running.fleet.listeners:
            self.running.fleet.listeners.remove(self._on_merge)

    def _persist_incarnation(self, incarnation: int) -> None:
        if self.session is not None:
            self.session.raise_incarnation(incarnation)

    async def close(self) -> None:
        """Write what waits, for a bounded time, and let go."""
        self._settings = None
        self._stop_listening()
        if self._switch_task is not None:
            self._switch_task.cancel()
            await asyncio.gather(self._switch_task, return_exceptions=True)
        await self._close_session()

    def status(self) -> dict[str, Any]:
        """What `balancer recovery` says of the store."""
        directory = None if self._settings is None else str(self._settings.directory)
        if self.session is None:
            return {"directory": directory, "open": False, "trouble": self.fault or None}
        state = self.session.store.status()
        slow_write = (
            f"a write has taken {state.slow_commit_ms / 1000:.0f} s so far" if state.slow_commit_ms else ""
        )
        return {
            "directory": directory,
            "open": True,
            "trouble": state.reason or slow_write or None,
            "waiting": state.queued_changes,
            "turned_away": state.rejected_changes,
            "commits": state.commit_count,
            "failures": state.failure_count,
        }

    async def _close_session(self) -> None:
        session, self.session = self.session, None
        if session is not None:
            await session.close()

    async def _switch_directory(self, previous_task: asyncio.Task[None] | None) -> None:
        """Let the old directory go and take the new one, as often as it needs."""
        if previous_task is not None:
            await asyncio.gather(previous_task, return_exceptions=True)
        await self._close_session()
        settings, reported_fault = self._settings, ""
        while settings is not None:
            session = PersistenceSession(self.running, settings, self.file_system_factory)
            try:
                await session.open(self._is_first_directory)
            except StoreFileError as fault:
                self._release_requests()
                self.fault = str(fault)
                is_foreign = fault.kind is FaultKind.FOREIGN  # another node's: it is not touched again
                if reported_fault != self.fault:
                    retry_note = (
                        "" if is_foreign else f", it is tried again every {OPEN_RETRY_INTERVAL_S:g} s"
                    )
                    log.error("state: %s; the node serves without memory%s", fault, retry_note)
                reported_fault = self.fault
                self._report_no_persistence(self.fault)
                if is_foreign:
                    return
                await asyncio.sleep(OPEN_RETRY_INTERVAL_S)
                continue
            except Exception as error:  # guards the node against a fault of this program's
                self._release_requests()
                log.exception("state: failed; the node serves without memory")
                self.fault = repr(error)
                self._report_no_persistence(self.fault)
                return
            if reported_fault:
                log.warning("state: %s is had now", settings.directory)
            self.session, self.fault, self._is_first_directory = session, "", False
            if self.running.recovery is not None:  # it may have risen before the directory was had
                self._persist_incarnation(self.running.recovery.recovery.incarnation)
            self._release_requests()
            if self._settings is not None:
                session.apply_settings(self._settings)  # other figures may be wanted by now
            return

    def _report_no_persistence(self, fault: str) -> None:
        if self.running.recovery is not None:
            self.running.recovery.begin(None, fault)


class PersistenceSession:
    """One directory, from `open` to `close`."""

    def __init__(
        self,
        running: RunningNode,
        settings: StateSettings,
        file_system_factory: Callable[[], FileSystem] | None = None,
    ) -> None:
        self.running, self.node, self.fleet = running, running.node, running.fleet
        self.max_age_ms = 1000.0 * settings.max_age
        self.write_behind = k.WriteBehind(1000.0 * settings.every, self.max_age_ms)
        self.loop = asyncio.get_running_loop()
        self.store = Store(
            str(settings.directory),
            self.loop.call_soon_threadsafe,
            None if file_system_factory is None else file_system_factory(),
            kept.URGENT_TABLES,
            _wall_clock_ms,
        )
        self.started_at_ms = self.node.now()
        self._persisted: dict[str, PersistedEndpoint] = {}  # as they are kept, without order and times
        self._restored_records: dict[
            str, list[EndpointRecord]
        ] = {}  # whom each source had listed, until it is handed over
        self._restored_age_ms: dict[str, float] = {}  # the most of them
        self._changed_ids: dict[str, str] = {}  # names to look at, and the source whose word it was
        self._withdrawn_ids: dict[str, str] = {}  # those of them that leave
        self._last_source = UNKNOWN_SOURCE
        self._complete_positions: dict[
            str, tuple[str, int]
        ] = {}  # how far each source is told, changes and all
        self._next_position_check_ms: dict[str, float] = {}  # when that is looked at next
        self._has_warned_of_names = self._is_closed = False
        self._is_scan_scheduled = False
        self._write_behind_timer: asyncio.TimerHandle | None = None
        self._store_poll_timer: asyncio.TimerHandle | None = None
        self._reported_fault = ""

    def apply_settings(self, settings: StateSettings) -> None:
        """Other figures hold from now on."""
        self.max_age_ms = self.write_behind.max_age_ms = 1000.0 * settings.max_age
        self.write_behind.collection_interval_ms = 1000.0 * settings.every

    def raise_incarnation(self, incarnation: int) -> None:
        """Keep that the node goes by this number, if that is a greater one."""
        self._handle(k.IncarnationRaised(incarnation))

    # --- the start

    async def open(self, is_first_directory: bool) -> None:
        """Take the directory and read it; raises StoreFault. `first`: it holds this node's own past."""
        opening = BlockingCall(self._read_store)
        try:
            opened, restored = await opening.result
        except asyncio.CancelledError:
            BlockingCall(self.store.close)  # once it is open, if ever; the lock goes with the process
            raise
        for message in restored.messages:
            log.warning("state: %s", message)
        if restored.is_foreign:
            await BlockingCall(self.store.close).result
            raise StoreFileError(FaultKind.FOREIGN, self.store.engine.directory, restored.messages[-1])
        for fault in opened.faults:
            log.warning("state: not believed: %s", fault)
        identity = next_identity(
            restored, self.running.name, os.urandom(16).hex(), opened.next_generation, _wall_clock_ms()
        )
        self._handle(k.StoreOpened(identity, restored.rows, restored.last_sequence_number, _wall_clock_ms()))
        try:
            await asyncio.sleep(0)  # thousands of rows have had their turn
            if is_first_directory:
                self._restore_view(opened, restored, identity.incarnation)
            self._restored_records.clear()
            # Guards against taking whom the merge has not looked at yet for gone.
            while any(source.pending_records for source in self.fleet.merger.sources.values()):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self._is_closed = True
            BlockingCall(self.store.close)
            raise
        if is_first_directory and self.node.now() - self.started_at_ms <= LEARNED_STATE_RESTORE_WINDOW_MS:
            self._restore_learned_state(restored)
        self.fleet.listeners.append(self._on_merge)
        self._queue_differences(restored if is_first_directory else None)
        self._poll_store_state()

    def _read_store(self) -> tuple[OpenResult, RestoredState]:
        """Blocks. What takes long for a large list is done here, too, and not on the loop."""
        opened = self.store.open()
        try:
            tables: dict[str, dict[str, bytes]] = {
                table: self.store.items(table) for table in kept.TABLE_NAMES
            }
            node_name = self.running.name
            restored = restore(
                tables,
                opened.restored_generation,
                opened.is_outdated,
                opened.committed_at_ms,
                node_name,
                _wall_clock_ms(),
                self.max_age_ms,
            )
            rows = {
                key: row
                for key, row in restored.rows.get("view", {}).items()
                if isinstance(row, PersistedEndpoint)
            }
            rows |= {key: restored_endpoint.endpoint for key, restored_endpoint in restored.endpoints.items()}
            self._persisted = {key: _without_write_times(row) for key, row in rows.items()}
            self._restored_records = {node_name: [] for node_name in restored.sources}
            for key, restored_endpoint in restored.endpoints.items():
                for node_name in self._restored_records.keys() & restored_endpoint.endpoint.sources:
                    self._restored_records[node_name].append(
                        _restored_record(
                            key, restored_endpoint.endpoint, node_name, restored.withdrawals.get(key)
                        )
                    )
                    self._restored_age_ms[node_name] = max(
                        self._restored_age_ms.get(node_name, 0.0), restored_endpoint.age_ms
                    )
        except BaseException:
            self.store.close()
            raise
        return opened, restored

    def _restore_view(self, opened: OpenResult, restored: RestoredState, incarnation: int) -> None:
        """Hand over what may be believed."""
        if (recovery_component := self.running.recovery) is not None:
            previous_run, fault = None, ""
            if restored.identity is not None:
                older = restored.outcome is RestoreOutcome.OUTDATED
                previous_run = recovery.PersistedIncarnation(
                    restored.identity.incarnation, float(opened.committed_at_ms), older
                )
            elif restored.outcome is RestoreOutcome.LOST:
                fault = "; ".join(str(one) for one in opened.faults) or restored.messages[-1]
            recovery_component.begin(previous_run, fault, incarnation, float(_wall_clock_ms()))
        for source_name, position in restored.sources.items():
            if (snapshot := self._restored_snapshot(source_name, position, restored)) is not None:
                endpoint_count, age_s = len(snapshot.endpoint_list.records), snapshot.cached_age_ms / 1000
                log.info("state: %s listed %d servers %.0f s ago", source_name, endpoint_count, age_s)
                self.fleet.handle(snapshot)

    def _restored_snapshot(
        self, source_name: str, position: kept.SourcePosition, restored: RestoredState
    ) -> membership.EndpointsListed | None:
        """A source's list as it is remembered, where the source itself has not said as much by now."""
        source = self.fleet.merger.sources.get(source_name)
        if source is None:
            return None
        identity, revision = position.identity, position.revision
        if source.revision is None:
            if source.identity is not None and source.identity != identity:  # it has moved since
                identity, revision = source.identity, -1
        elif source.identity != identity or revision <= source.revision:
            return self._snapshot_without_withdrawn(source, identity, revision, restored)
        withdrawals = restored.withdrawals
        has_other_sources = len(self.fleet.merger.sources) > 1
        removed_ids = (
            tuple(key for key, end in withdrawals.items() if end.is_removed and end.source == source_name)
            if has_other_sources
            else ()
        )
        records = tuple(self._restored_records.pop(source_name))
        if not records and (not removed_ids or self._has_expired_endpoints(source_name, restored)):
            return self._snapshot_without_withdrawn(source, identity, revision, restored)
        age_ms = self._restored_age_ms.get(source_name, 0.0)
        self._complete_positions[source_name] = identity, revision
        return membership.EndpointsListed(
            source_name, identity, EndpointList(revision, True, records, removed_ids), True, age_ms
        )

    @staticmethod
    def _has_expired_endpoints(source_name: str, restored: RestoredState) -> bool:
        """Whether it listed servers that are not believed any more."""
        rows = restored.rows.get("view", {}).items()
        return any(
            isinstance(row, PersistedEndpoint)
            and source_name in row.sources
            and key not in restored.endpoints
            for key, row in rows
        )

    @staticmethod
    def _snapshot_without_withdrawn(
        source: membership.Source, identity: str, revision: int, restored: RestoredState
    ) -> membership.EndpointsListed | None:
        """Where the list that was kept is not to be had: the one that is there, but for later ends."""
        known_identity = source.identity or identity
        if not known_identity or identity not in ("", known_identity):
            return None
        rows = restored.rows.get("view", {}).items()
        restored_ids = {
            key for key, row in rows if isinstance(row, PersistedEndpoint) and source.name in row.sources
        }
        is_newer = source.revision is not None and revision > source.revision
        seen = ListedIds(revision, restored_ids) if is_newer else None
        remaining = without_withdrawn(
            source.records, source.revision, restored.withdrawals, source.name, seen
        )
        return (
            None
            if remaining is None
            else membership.EndpointsListed(source.name, known_identity, remaining, True)
        )

    def _restore_learned_state(self, restored: RestoredState) -> None:
        if not (
            restored.expected_latencies
            or restored.concurrency_limit
            or restored.slowness
            or restored.ejection_left_ms
        ):
            return
        recorded_at_ms = [row.at_ms for row in restored.expected_latencies.values()] + [
            row.at_ms for row in restored.slowness.values()
        ]
        recorded_at_ms += [] if restored.concurrency_limit is None else [restored.concurrency_limit.at_ms]
        age_ms = (
            max([0.0, *(float(_wall_clock_ms() - one) for one in recorded_at_ms)]) + restored.clock_behind_ms
        )
        learned = api.LearnedState(
            {
                name: (row.expected_latency_ms, row.mean_deviation_ms)
                for name, row in restored.expected_latencies.items()
            },
            restored.concurrency_limit.limit
            if restored.concurrency_limit is not None
            else self.node.balancer.concurrency_limit,
            {name: row.slowness for name, row in restored.slowness.items()},
            {name: left + age_ms for name, left in restored.ejection_left_ms.items()},
        )
        self.node.event(api.LearnedStateRestored(learned, age_ms))

    def _queue_differences(self, restored: RestoredState | None) -> None:
        """What changed while the directory was not had."""
        view, sources = self.fleet.merger.view, self.fleet.merger.sources
        for endpoint_id in sorted(self._persisted.keys() - view.keys()):
            listing_sources = (
                self._persisted[endpoint_id].sources[:1]
                if restored is None or endpoint_id in restored.endpoints
                else ()
            )
            is_heard = (
                listing_sources
                and listing_sources[0] in sources
                and sources[listing_sources[0]].state is not membership.SourceState.NO_CONTACT_YET
            )
            self._withdrawn_ids[endpoint_id] = listing_sources[0] if is_heard else UNKNOWN_SOURCE
        self._changed_ids |= dict.fromkeys(view, UNKNOWN_SOURCE)
        for source in reversed(sources.values()):  # the first that lists it
            self._changed_ids |= dict.fromkeys(source.records.keys() & view.keys(), source.name)
        self._schedule_scan()

    # --- what changes

    def _on_merge(self, event: membership.Event, actions: list[membership.Action]) -> None:
        if isinstance(event, membership.EndpointsListed):
            self._last_source = UNKNOWN_SOURCE if event.source == PEERS_SOURCE else event.source
        for action in actions:
            if isinstance(action, membership.ApplyEndpoints):
                up, records = api.Phase.UP, action.records
                for record in action.removed_records:
                    self._withdrawn_ids[record.id] = self._last_source
                draining_ids = [m.endpoint.id for m in records if m.endpoint.phase is not up]
                self._withdrawn_ids |= dict.fromkeys(draining_ids, self._last_source)
                up_ids = [m.endpoint.id for m in records if m.endpoint.phase is up]
                self._changed_ids |= dict.fromkeys(up_ids, self._last_source)
        if self._withdrawn_ids or self._changed_ids:
            if not self._is_scan_scheduled:
                self._schedule_scan()
        elif isinstance(
            event, (membership.EndpointsListed, membership.SourceConfirmedCurrent, membership.NextSliceDue)
        ):
            for source_name, source in self.fleet.merger.sources.items():
                if isinstance(event, membership.NextSliceDue) or source_name == event.source:
                    self._confirm_source(source_name, source)

    def _confirm_source(self, source_name: str, source: membership.Source) -> None:
        """It is current, and all that it said is handed over."""
        if (
            source.state is membership.SourceState.IN_SYNC
            and not source.has_regressed
            and self._is_settled(source)
        ):
            self._handle(
                k.SourceConfirmed(source_name, *self._complete_position(source_name), _wall_clock_ms())
            )

    def _schedule_scan(self) -> None:
        """At once, but where there are many: whoever brought them has had most of this turn."""
        if self._withdrawn_ids or len(self._changed_ids) <= ENDPOINTS_PER_TURN:
            self._scan_changed()
        else:
            self._is_scan_scheduled = True
            self.loop.call_soon(self._scan_changed)

    def _scan_changed(self) -> None:
        """Look at some names, those that leave first; the rest in the loop's next turns."""
        self._is_scan_scheduled = False
        if self._is_closed:
            return
        sources_by_id: dict[str, str] = {}
        for queue in (self._withdrawn_ids, self._changed_ids):
            while queue and len(sources_by_id) < ENDPOINTS_PER_TURN:
                name = next(iter(queue))
                sources_by_id[name] = queue.pop(name)
        has_more = bool(self._withdrawn_ids or self._changed_ids)
        changes_by_source: dict[str, tuple[list[tuple[str, PersistedEndpoint]], list[str]]] = {}
        view, wall_ms = self.fleet.merger.view, _wall_clock_ms()
        for name, source in sources_by_id.items():
            member = view.get(name)
            if member is None:
                if self._persisted.pop(name, None) is not None:
                    changes_by_source.setdefault(source, ([], []))[1].append(name)
                continue
            row = self._persisted_endpoint(member, wall_ms)
            remembered = member.endpoint.cached_age_ms is not None and not row.is_draining
            if (
                remembered
                or self._persisted.get(name) == _without_write_times(row)
                or not self._is_valid_name(name)
            ):
                continue
            self._persisted[name] = _without_write_times(row)
            changes_by_source.setdefault(source, ([], []))[0].append((name, row))
        for source, (endpoints, removed_ids) in changes_by_source.items():
            position = self._complete_position(source, bool(removed_ids))
            self._handle(k.EndpointsChanged(source, *position, wall_ms, tuple(endpoints), tuple(removed_ids)))
        if has_more:
            self._is_scan_scheduled = True
            self.loop.call_soon(self._scan_changed)
        elif not changes_by_source:
            for name, found in self.fleet.merger.sources.items():
                self._confirm_source(name, found)

    def _is_valid_name(self, name: str) -> bool:
        is_valid = 0 < len(name) <= MAX_NAME_LENGTH and "\0" not in name
        if not is_valid and not self._has_warned_of_names:
            log.warning("state: %r is not kept: a name of 1 to %d characters is", name[:80], MAX_NAME_LENGTH)
        self._has_warned_of_names = self._has_warned_of_names or not is_valid
        return is_valid

    def _persisted_endpoint(self, record: EndpointRecord, wall_ms: int) -> PersistedEndpoint:
        endpoint, merge = record.endpoint, self.fleet.merger.sources
        sources = [name for name, s in merge.items() if record.id in s.records and name != PEERS_SOURCE]
        age_ms = 0 if endpoint.cached_age_ms is None else int(endpoint.cached_age_ms)
        return PersistedEndpoint(
            record.address[0],
            record.address[1],
            endpoint.zone[:MAX_NAME_LENGTH],
            max(-MAX_CELL, min(MAX_CELL, endpoint.cell)),
            min(1e9, endpoint.weight),
            endpoint.phase is not api.Phase.UP,
            min(1e15, endpoint.started_at_ms),
            endpoint.kind[:MAX_NAME_LENGTH],
            tuple(sources[:16]),
            max(0, wall_ms - age_ms),
        )

    def _is_settled(self, source: membership.Source) -> bool:
        """Whether its word is in the view as a whole, and all of it was looked at."""
        waiting = source.pending_records or self._withdrawn_ids or self._changed_ids
        return source.revision is not None and not waiting and not source.needs_snapshot

    def _complete_position(self, source_name: str, has_removals: bool = False) -> tuple[str, int]:
        """How far a source is told: never further than what is handed over with it.

        A source some of whose servers are not kept (odd names, or another source has taken them away) has no
        order to go on from: the next start needs its whole list. Of over OFTEN servers that is looked at once
        in 0.1 ms a server: guards the loop against a look at 10,000 at each change; what is told meanwhile is
        an older revision. Where somebody leaves it is looked at always: a start that took an older one as
        seen would believe an older list that has them.
        """
        source, now_ms = self.fleet.merger.sources.get(source_name), self.node.now()
        if (
            source is not None
            and self._is_settled(source)
            and (has_removals or now_ms >= self._next_position_check_ms.get(source_name, 0.0))
        ):
            self._next_position_check_ms[source_name] = now_ms + (
                len(source.records) / 10 if len(source.records) > MAX_ENDPOINTS_CHECKED_EACH_CHANGE else 0
            )
            all_persisted = self._persisted.keys() >= source.records.keys()
            revision = source.revision if source.revision is not None else -1
            self._complete_positions[source_name] = (
                (source.identity or "", revision) if all_persisted else ("", -1)
            )
        return self._complete_positions.get(source_name, ("", -1))

    # --- the decider

    def _handle(self, event: k.Event) -> None:
        if self._is_closed:
            return
        for action in self.write_behind.handle(self.node.now(), event):
            match action:
                case k.WriteRows():
                    self._write_rows(action)
                case k.CollectLearnedState():
                    self._collect_learned_state()
                case k.BeginGeneration():
                    with contextlib.suppress(WriteQueueFull):
                        self.store.begin_generation()
                case k.WriteLog():
                    log.warning("state: %s", action.text)
        if self._write_behind_timer is not None:
            self._write_behind_timer.cancel()
        delay_s = max(0.001, (self.write_behind.next_ms() - self.node.now()) / 1000)
        self._write_behind_timer = self.loop.call_later(delay_s, self._advance_time)

    def _advance_time(self) -> None:
        self._write_behind_timer = None
        self._handle(k.TimeAdvanced(_wall_clock_ms()))

    def _write_rows(self, action: k.WriteRows) -> None:
        write_number = action.write_number
        changes = [_store_change(at, row) for at, row in action.changes]

        def done(stamp: int) -> None:
            self._handle(k.WriteCommitted(write_number))

        try:
            self.store.write(changes, done)
        except WriteQueueFull:
            self.loop.call_soon(self._handle, k.WriteRejected(write_number))
        except ValueError as error:  # guards against one odd change that would hold up all others
            log.error("state: %d changes are not kept: %s", len(changes), error)
            self.loop.call_soon(self._handle, k.WriteCommitted(write_number))

    def _collect_learned_state(self) -> None:
        """What the module learned, as rows; what it says no longer goes."""
        learned, wall_ms = self.node.balancer.learned(self.node.now()), _wall_clock_ms()
        rows: dict[kept.RowKey, kept.PersistedRow | None] = {
            key: None
            for key in self.write_behind.state.written_learned_rows
            if key[0] in ("weights", "ejections")
        }
        rows["limit", "node"] = kept.ConcurrencyLimit(min(1e9, learned.concurrency_limit), wall_ms)
        for name, (expected_ms, deviation_ms) in learned.expected_latency_ms.items():
            rows["usual", name] = kept.ExpectedLatency(
                min(1e12, expected_ms), min(1e12, deviation_ms), wall_ms
            )
        for name, slowness in learned.slowness.items():
            rows["weights", name] = kept.BackendSlowness(min(1e9, slowness), wall_ms)
        for name, left_ms in learned.ejection_left_ms.items():
            backend = self.node.balancer.backends.get(name)
            consecutive_failures = 0 if backend is None else backend.consecutive_failures
            rows["ejections", name] = kept.BackendEjection(
                wall_ms + int(left_ms), consecutive_failures, wall_ms
            )
        invalid_keys = [key for key in rows if not self._is_valid_name(key[1])]
        for key in invalid_keys:
            del rows[key]
        self._handle(k.LearnedStateCollected(rows))

    def _poll_store_state(self) -> None:
        """Say it once when the store does badly, and once when it is well again."""
        self._store_poll_timer = self.loop.call_later(STORE_STATE_POLL_INTERVAL_S, self._poll_store_state)
        state = self.store.status()
        fault = state.reason or ("slow" if state.slow_commit_ms else "")
        if fault and not self._reported_fault:
            detail = state.reason or f"a write has taken {state.slow_commit_ms / 1000:.0f} s so far"
            log.error("state: %s; nothing new is kept meanwhile, the node serves on", detail)
        elif self._reported_fault and not fault:
            log.warning("state: it is written again")
        self._reported_fault = fault

    async def close(self) -> None:
        """Hand over what waits, write it for a bounded time, let go."""
        self._collect_learned_state()
        self._is_closed = True
        if self._on_merge in self.fleet.listeners:
            self.fleet.listeners.remove(self._on_merge)
        for timer in (self._write_behind_timer, self._store_poll_timer):
            if timer is not None:
                timer.cancel()
        for changes in (self.write_behind.state.urgent_dirty, self.write_behind.state.dirty):
            store_changes = [_store_change(key, row) for key, row in changes.items()]
            with contextlib.suppress(WriteQueueFull, ValueError):
                if store_changes:
                    self.store.write(store_changes)
        closing = BlockingCall(lambda: self.store.close(CLOSE_TIMEOUT_S))
        unwritten_count = 0
        with contextlib.suppress(TimeoutError):
            unwritten_count = await asyncio.wait_for(closing.result, CLOSE_TIMEOUT_S + 0.5)
        if unwritten_count:
            log.error("state: %d changes were not written by the end", unwritten_count)


def _store_change(key: kept.RowKey, row: kept.PersistedRow | None) -> Change:
    return Delete(*key) if row is None else Put(*key, msgspec.msgpack.encode(row))


def _without_write_times(row: PersistedEndpoint) -> PersistedEndpoint:
    """A row without what differs from one writing to the next."""
    return msgspec.structs.replace(row, sequence_number=0, confirmed_at_ms=0)


def _restored_record(
    endpoint_id: str, row: PersistedEndpoint, source_name: str, withdrawal: kept.Withdrawal | None
) -> EndpointRecord:
    """What a source had said of a server; a drain is that source's who told it."""
    is_draining = row.is_draining and (
        withdrawal is None or withdrawal.is_removed or withdrawal.source in (source_name, UNKNOWN_SOURCE)
    )
    phase = api.Phase.DRAINING if is_draining else api.Phase.UP
    endpoint = api.Endpoint(endpoint_id, row.zone, row.cell, row.weight, phase, row.started_at_ms, row.kind)
    return EndpointRecord(endpoint, (row.host, row.port))
