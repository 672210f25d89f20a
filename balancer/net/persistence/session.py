"""A session on one store directory: restores its content, then writes changes until it is closed."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable
from typing import NamedTuple

from balancer import interface as api
from balancer.core import recovery
from balancer.core.persistence import persisted_state, restoration, write_behind
from balancer.net.component import RunningNode
from balancer.net.persistence import rows
from balancer.net.persistence.blocking_call import BlockingCall
from balancer.net.persistence.restored_lists import RestoredLists
from balancer.net.persistence.view_scanner import Position, ViewScanner
from balancer.operator_settings import StateSettings
from balancer.store.engine import OpenResult
from balancer.store.errors import FaultKind, StoreFileError, WriteQueueFullError
from balancer.store.files import FileSystem
from balancer.store.store import Store, StoreStatus

log = logging.getLogger(__name__)

LEARNED_STATE_RESTORE_WINDOW_MS = 1_000.0
"""Time since the start after which the node's own learned state takes precedence over persisted state."""
CLOSE_TIMEOUT_S = 2.0
"""How long a node's shutdown waits for its disk."""
STORE_STATE_POLL_INTERVAL_S = 1.0
MIN_TIMER_DELAY_S = 0.001
"""Prevents a timer that is due repeatedly from occupying the event loop."""


class _StoreContents(NamedTuple):
    """Result of reading the store, passed from its thread to the event loop."""

    opened: OpenResult
    restored: restoration.RestoredState
    lists: RestoredLists


class PersistenceSession:
    """Owns the store of one directory, its write-behind and their timers, from `open` to `close`."""

    def __init__(
        self,
        running: RunningNode,
        settings: StateSettings,
        file_system_factory: Callable[[], FileSystem] | None = None,
    ) -> None:
        """`file_system_factory` creates the store's file system; None stands for the local one."""
        self.running, self.node, self.fleet = running, running.node, running.endpoint_view
        self.max_age_ms = 1000.0 * settings.max_age
        self.write_behind = write_behind.WriteBehind(1000.0 * settings.every, self.max_age_ms)
        self.loop = asyncio.get_running_loop()
        self.store = Store(
            str(settings.directory),
            self.loop.call_soon_threadsafe,
            None if file_system_factory is None else file_system_factory(),
            persisted_state.URGENT_TABLES,
            rows.wall_clock_ms,
        )
        self.scanner = ViewScanner(running, self._handle)
        self.started_at_ms = self.node.now()
        self._is_closed = False
        self._write_behind_timer: asyncio.TimerHandle | None = None
        self._store_poll_timer: asyncio.TimerHandle | None = None
        self._reported_fault = ""

    def apply_settings(self, settings: StateSettings) -> None:
        """Use the intervals of these settings from now on."""
        self.max_age_ms = self.write_behind.max_age_ms = 1000.0 * settings.max_age
        self.write_behind.collection_interval_ms = 1000.0 * settings.every

    def raise_incarnation(self, incarnation: int) -> None:
        """Persist the node's incarnation if it exceeds the persisted one."""
        self._handle(write_behind.IncarnationRaised(incarnation))

    # --- opening

    async def open(self, is_first_directory: bool) -> None:
        """Open the directory, read it and restore its content; raises StoreFileError.

        `is_first_directory`: this is the first directory since the start. The content of a later one is not
        restored, only overwritten.
        """
        opening = BlockingCall(self._read_store)
        try:
            opened, restored, lists = await opening.result
        except asyncio.CancelledError:
            # Runs once the store is open; if it never opens, the lock is released when the process ends.
            BlockingCall(self.store.close)
            raise
        await self._check_restored(opened, restored)
        wall_ms = rows.wall_clock_ms()
        identity = restoration.next_identity(
            restored, self.running.name, os.urandom(16).hex(), opened.next_generation, wall_ms
        )
        last_number = restored.last_sequence_number
        self._handle(write_behind.StoreOpened(identity, restored.rows, last_number, rows.wall_clock_ms()))
        try:
            await asyncio.sleep(0)  # thousands of rows may have used up this turn
            if is_first_directory:
                self._report_to_recovery(opened, restored, identity.incarnation)
                self._restore_lists(restored, lists)
            lists.clear()
            # Endpoints that the merger has not applied yet would be taken for removed ones.
            while any(source.pending_records for source in self.fleet.merger.sources.values()):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self._set_closed()
            BlockingCall(self.store.close)
            raise
        if is_first_directory and self.node.now() - self.started_at_ms <= LEARNED_STATE_RESTORE_WINDOW_MS:
            self._restore_learned_state(restored)
        self.fleet.listeners.append(self.scanner.on_merge)
        self.scanner.queue_differences(restored if is_first_directory else None)
        self._poll_store_state()

    def _read_store(self) -> _StoreContents:
        """Blocks: work that takes long for a large list is done here and not on the event loop."""
        opened = self.store.open()
        try:
            tables: dict[str, dict[str, bytes]] = {
                table: self.store.items(table) for table in persisted_state.TABLE_NAMES
            }
            restored = restoration.restore(
                tables,
                opened.restored_generation,
                opened.is_outdated,
                opened.committed_at_ms,
                self.running.name,
                rows.wall_clock_ms(),
                self.max_age_ms,
            )
            self.scanner.load(restored)
            lists = RestoredLists(restored)
        except BaseException:
            self.store.close()
            raise
        return _StoreContents(opened, restored, lists)

    async def _check_restored(self, opened: OpenResult, restored: restoration.RestoredState) -> None:
        """Log what was not restored; raises StoreFileError if the directory belongs to another node."""
        for message in restored.messages:
            log.warning("state: %s", message)
        if restored.is_foreign:
            await BlockingCall(self.store.close).result
            raise StoreFileError(FaultKind.FOREIGN, self.store.engine.directory, restored.messages[-1])
        for fault in opened.faults:
            log.warning("state: file ignored: %s", fault)

    def _report_to_recovery(
        self, opened: OpenResult, restored: restoration.RestoredState, incarnation: int
    ) -> None:
        recovery_component = self.running.recovery
        if recovery_component is None:
            return
        previous_run, fault = None, ""
        if restored.identity is not None:
            is_outdated = restored.outcome is restoration.RestoreOutcome.OUTDATED
            previous_run = recovery.PersistedIncarnation(
                restored.identity.incarnation, float(opened.committed_at_ms), is_outdated
            )
        elif restored.outcome is restoration.RestoreOutcome.LOST:
            fault = "; ".join(str(error) for error in opened.faults) or restored.messages[-1]
        recovery_component.begin(previous_run, fault, incarnation, float(rows.wall_clock_ms()))

    def _restore_lists(self, restored: restoration.RestoredState, lists: RestoredLists) -> None:
        """Pass the persisted list of each source to the merger."""
        sources = self.fleet.merger.sources
        for source_name, position in restored.sources.items():
            source = sources.get(source_name)
            if source is None:
                continue
            snapshot = lists.snapshot(position, source, len(sources) > 1)
            if snapshot is None:
                continue
            event = snapshot.event
            endpoint_list = event.endpoint_list
            if snapshot.is_persisted_list:
                self.scanner.positions[source_name] = Position(event.identity, endpoint_list.revision)
            age_s = event.cached_age_ms / 1000
            log.info(
                "state: %s listed %d endpoints %.0f s ago", source_name, len(endpoint_list.records), age_s
            )
            self.fleet.handle(event)

    def _restore_learned_state(self, restored: restoration.RestoredState) -> None:
        latencies, limit = restored.expected_latencies, restored.concurrency_limit
        if not (latencies or limit or restored.slowness or restored.ejection_left_ms):
            return
        recorded_at_ms = [row.at_ms for row in latencies.values()]
        recorded_at_ms += [row.at_ms for row in restored.slowness.values()]
        recorded_at_ms += [] if limit is None else [limit.at_ms]
        ages_ms = [float(rows.wall_clock_ms() - at_ms) for at_ms in recorded_at_ms]
        age_ms = max([0.0, *ages_ms]) + restored.clock_behind_ms
        learned = api.LearnedState(
            {name: (row.expected_latency_ms, row.mean_deviation_ms) for name, row in latencies.items()},
            self.node.balancer.concurrency_limit if limit is None else limit.limit,
            {name: row.slowness for name, row in restored.slowness.items()},
            {name: remaining_ms + age_ms for name, remaining_ms in restored.ejection_left_ms.items()},
        )
        self.node.event(api.LearnedStateRestored(learned, age_ms))

    # --- write-behind

    def _handle(self, event: write_behind.Event) -> None:
        """Send an event to write-behind, and perform its actions."""
        if self._is_closed:
            return
        for action in self.write_behind.handle(self.node.now(), event):
            match action:
                case write_behind.WriteRows():
                    self._write_rows(action)
                case write_behind.CollectLearnedState():
                    self._collect_learned_state()
                case write_behind.BeginGeneration():
                    with contextlib.suppress(WriteQueueFullError):
                        self.store.begin_generation()
                case write_behind.WriteLog():
                    log.warning("state: %s", action.text)
        if self._write_behind_timer is not None:
            self._write_behind_timer.cancel()
        delay_s = max(MIN_TIMER_DELAY_S, (self.write_behind.next_ms() - self.node.now()) / 1000)
        self._write_behind_timer = self.loop.call_later(delay_s, self._advance_time)

    def _advance_time(self) -> None:
        self._write_behind_timer = None
        self._handle(write_behind.TimeAdvanced(rows.wall_clock_ms()))

    def _write_rows(self, action: write_behind.WriteRows) -> None:
        write_number = action.write_number
        changes = [rows.store_change(key, row) for key, row in action.changes]

        def on_durable(sequence_number: int) -> None:
            self._handle(write_behind.WriteCommitted(write_number))

        try:
            self.store.write(changes, on_durable)
        except WriteQueueFullError:
            self.loop.call_soon(self._handle, write_behind.WriteRejected(write_number))
        except ValueError as error:  # one invalid change must not block all others
            log.error("state: %d changes are not persisted: %s", len(changes), error)
            self.loop.call_soon(self._handle, write_behind.WriteCommitted(write_number))

    def _collect_learned_state(self) -> None:
        """Send the learned state as rows; rows that the decision module no longer has are deleted."""
        balancer = self.node.balancer
        learned, wall_ms = balancer.learned(self.node.now()), rows.wall_clock_ms()
        collected: dict[persisted_state.RowKey, persisted_state.PersistedRow | None] = {
            key: None
            for key in self.write_behind.state.written_learned_rows
            if key[0] in ("weights", "ejections")
        }
        limit = min(1e9, learned.concurrency_limit)
        collected["limit", persisted_state.NODE_KEY] = persisted_state.ConcurrencyLimit(limit, wall_ms)
        for name, (expected_ms, deviation_ms) in learned.expected_latency_ms.items():
            collected["usual", name] = persisted_state.ExpectedLatency(
                min(1e12, expected_ms), min(1e12, deviation_ms), wall_ms
            )
        for name, slowness in learned.slowness.items():
            collected["weights", name] = persisted_state.BackendSlowness(min(1e9, slowness), wall_ms)
        for name, remaining_ms in learned.ejection_left_ms.items():
            backend = balancer.backends.get(name)
            consecutive_failures = 0 if backend is None else backend.consecutive_failures
            collected["ejections", name] = persisted_state.BackendEjection(
                wall_ms + int(remaining_ms), consecutive_failures, wall_ms
            )
        for key in [key for key in collected if not self.scanner.check_name(key[1])]:
            del collected[key]
        self._handle(write_behind.LearnedStateCollected(collected))

    def _poll_store_state(self) -> None:
        """Log once when the store cannot write or is slow, and once when it writes again."""
        self._store_poll_timer = self.loop.call_later(STORE_STATE_POLL_INTERVAL_S, self._poll_store_state)
        status = self.store.status()
        fault = status.reason or slow_commit_text(status)
        if fault and not self._reported_fault:
            log.error(
                "state: not writing: %s; new changes are not persisted, the node continues to serve", fault
            )
        elif self._reported_fault and not fault:
            log.warning("state: writing again")
        self._reported_fault = fault

    # --- closing

    def _set_closed(self) -> None:
        self._is_closed = self.scanner.is_closed = True

    async def close(self) -> None:
        """Queue dirty rows, write them for a bounded time, and close the store."""
        self._collect_learned_state()
        self._set_closed()
        if self.scanner.on_merge in self.fleet.listeners:
            self.fleet.listeners.remove(self.scanner.on_merge)
        for timer in (self._write_behind_timer, self._store_poll_timer):
            if timer is not None:
                timer.cancel()
        for dirty in (self.write_behind.state.urgent_dirty, self.write_behind.state.dirty):
            changes = [rows.store_change(key, row) for key, row in dirty.items()]
            with contextlib.suppress(WriteQueueFullError, ValueError):
                if changes:
                    self.store.write(changes)
        closing = BlockingCall(lambda: self.store.close(CLOSE_TIMEOUT_S))
        unwritten_count = 0
        with contextlib.suppress(TimeoutError):
            unwritten_count = await asyncio.wait_for(closing.result, CLOSE_TIMEOUT_S + 0.5)
        if unwritten_count:
            log.error("state: %d changes were not written before shutdown", unwritten_count)


def slow_commit_text(status: StoreStatus) -> str:
    """Describes a commit that takes too long; empty if there is none."""
    if not status.slow_commit_ms:
        return ""
    return f"a write has taken {status.slow_commit_ms / 1000:.0f} s so far"
