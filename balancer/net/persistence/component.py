"""The component that applies the settings table `[state]` while the node runs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NotRequired, TypedDict

from balancer.core.discovery import endpoint_merger, source_state
from balancer.net.component import RunningNode
from balancer.net.persistence.session import PersistenceSession, slow_commit_text
from balancer.operator_settings import OperatorSettings, StateSettings
from balancer.store.errors import FaultKind, StoreFileError
from balancer.store.files import FileSystem

log = logging.getLogger(__name__)

OPEN_RETRY_INTERVAL_S = 5.0
"""Interval between attempts to open a directory that cannot be opened."""
MAX_REQUEST_HOLD_S = 1.5
"""How long requests wait at startup for the persisted state: less than the drain grace period."""


class StoreReport(TypedDict):
    """The field `store` of `balancer recovery`; the counters are present while the store is open."""

    directory: str | None
    open: bool
    trouble: str | None
    waiting: NotRequired[int]
    turned_away: NotRequired[int]
    commits: NotRequired[int]
    failures: NotRequired[int]


class PersistenceComponent:
    """Keeps a session open for the configured directory, and retries if it cannot be opened.

    At startup requests wait until the directory is read, for at most `MAX_REQUEST_HOLD_S`: the configured
    list may contain endpoints whose removal this node had already seen. Health checks never wait for a disk.
    """

    def __init__(
        self, running: RunningNode, file_system_factory: Callable[[], FileSystem] | None = None
    ) -> None:
        """`file_system_factory` creates the store's file system; None stands for the local one."""
        self.running, self.file_system_factory = running, file_system_factory
        self.session: PersistenceSession | None = None
        self.fault = ""  # why no session is open
        self._settings: StateSettings | None = None
        self._switch_task: asyncio.Task[None] | None = None
        self._is_first_directory = True  # until one was opened: only the first is restored
        self.loop = asyncio.get_running_loop()
        if running.recovery is not None:
            running.recovery.store_status = lambda: {**self.status()}
            running.recovery.persist_incarnation = self._persist_incarnation
            if not running.recovery.has_begun:
                running.node.defer_events(True)
                running.endpoint_view.listeners.append(self._on_merge)
                self.loop.call_later(MAX_REQUEST_HOLD_S, self._release_requests)

    def apply(self, settings: OperatorSettings) -> None:
        """Switch to the directory of these settings, or to none, in later turns of the event loop."""
        previous, current = self._settings, settings.state
        self._settings = current
        if previous is not None and current is not None and previous.directory == current.directory:
            if self.session is not None:
                self.session.apply_settings(current)
        elif previous is not current:
            self.fault = "" if current is None else "being opened"
            previous_task = self._switch_task
            self._switch_task = self.loop.create_task(self._switch_directory(previous_task))
            if previous_task is not None:
                previous_task.cancel()  # it may be waiting for a disk that hangs

    def _on_merge(self, event: endpoint_merger.Event, actions: list[endpoint_merger.Action]) -> None:
        """Release the requests once all sources have listed; persisted lists are not needed then."""
        if isinstance(event, endpoint_merger.EndpointsListed) and event.is_cached:
            return
        in_sync = source_state.SourceState.IN_SYNC
        sources = self.running.endpoint_view.merger.sources.values()
        if all(source.state is in_sync and not source.has_cached_records for source in sources):
            self._release_requests()

    def _release_requests(self) -> None:
        self.running.node.defer_events(False)
        if self._on_merge in self.running.endpoint_view.listeners:
            # Deferred, because the merger may be iterating over its listeners.
            self.loop.call_soon(self._stop_listening)

    def _stop_listening(self) -> None:
        if self._on_merge in self.running.endpoint_view.listeners:
            self.running.endpoint_view.listeners.remove(self._on_merge)

    def _persist_incarnation(self, incarnation: int) -> None:
        if self.session is not None:
            self.session.raise_incarnation(incarnation)

    async def close(self) -> None:
        """Write dirty rows for a bounded time, and close the store."""
        self._settings = None
        self._stop_listening()
        if self._switch_task is not None:
            self._switch_task.cancel()
            await asyncio.gather(self._switch_task, return_exceptions=True)
        await self._close_session()

    def status(self) -> StoreReport:
        """The field `store` of `balancer recovery`."""
        directory = None if self._settings is None else str(self._settings.directory)
        if self.session is None:
            return {"directory": directory, "open": False, "trouble": self.fault or None}
        state = self.session.store.status()
        return {
            "directory": directory,
            "open": True,
            "trouble": state.reason or slow_commit_text(state) or None,
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
        """Close the session and open one for the configured directory; retry until it is open."""
        if previous_task is not None:
            await asyncio.gather(previous_task, return_exceptions=True)
        await self._close_session()
        settings, reported_fault = self._settings, ""
        while settings is not None:
            session = PersistenceSession(self.running, settings, self.file_system_factory)
            try:
                await session.open(self._is_first_directory)
            except StoreFileError as error:
                self._on_open_failed(error, reported_fault)
                reported_fault = self.fault
                if error.kind is FaultKind.FOREIGN:  # the directory of another node: it is not opened again
                    return
                await asyncio.sleep(OPEN_RETRY_INTERVAL_S)
                continue
            except Exception as error:  # a defect here must not end the node
                self._release_requests()
                log.exception("state: unexpected error; the node serves without persistence")
                self.fault = repr(error)
                self._report_no_persistence(self.fault)
                return
            if reported_fault:
                log.warning("state: opened after a failure: %s", settings.directory)
            self._on_opened(session)
            return

    def _on_open_failed(self, error: StoreFileError, reported_fault: str) -> None:
        self._release_requests()
        self.fault = str(error)
        if reported_fault != self.fault:
            is_retried = error.kind is not FaultKind.FOREIGN
            retry_note = f", retried every {OPEN_RETRY_INTERVAL_S:g} s" if is_retried else ""
            log.error("state: not opened: %s; the node serves without persistence%s", error, retry_note)
        self._report_no_persistence(self.fault)

    def _on_opened(self, session: PersistenceSession) -> None:
        self.session, self.fault, self._is_first_directory = session, "", False
        # The incarnation may have been raised before the directory was open.
        if self.running.recovery is not None:
            self._persist_incarnation(self.running.recovery.recovery.incarnation)
        self._release_requests()
        if self._settings is not None:
            session.apply_settings(self._settings)  # the intervals may have changed meanwhile

    def _report_no_persistence(self, fault: str) -> None:
        if self.running.recovery is not None:
            self.running.recovery.begin(None, fault)
