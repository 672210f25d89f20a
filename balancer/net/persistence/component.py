"""The component that the table `[state]` switches on, off and over while the node runs."""

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
"""Between two attempts to open a directory that cannot be had."""
MAX_REQUEST_HOLD_S = 1.5
"""How long requests wait at the start for what was persisted: less than the grace period of draining."""


class StoreReport(TypedDict):
    """The field `store` of `balancer recovery`; the figures are there while the store is open."""

    directory: str | None
    open: bool
    trouble: str | None
    waiting: NotRequired[int]
    turned_away: NotRequired[int]
    commits: NotRequired[int]
    failures: NotRequired[int]


class PersistenceComponent:
    """Keeps a session open for the directory that the settings name, and retries where it cannot be opened.

    At the start requests wait until the directory is read, `MAX_REQUEST_HOLD_S` at most: the configured list
    may name endpoints that this node had seen removed. Health checks never wait for a disk.
    """

    def __init__(
        self, running: RunningNode, file_system_factory: Callable[[], FileSystem] | None = None
    ) -> None:
        """`file_system_factory` makes the store's file system; None for the machine's own."""
        self.running, self.file_system_factory = running, file_system_factory
        self.session: PersistenceSession | None = None
        self.fault = ""  # why there is no session
        self._settings: StateSettings | None = None
        self._switch_task: asyncio.Task[None] | None = None
        self._is_first_directory = True  # until one was opened: what it holds is this node's own past
        self.loop = asyncio.get_running_loop()
        if running.recovery is not None:
            running.recovery.store_status = lambda: {**self.status()}
            running.recovery.persist_incarnation = self._persist_incarnation
            if not running.recovery.has_begun:
                running.node.defer_events(True)
                running.endpoint_view.listeners.append(self._on_merge)
                self.loop.call_later(MAX_REQUEST_HOLD_S, self._release_requests)

    def apply(self, settings: OperatorSettings) -> None:
        """Switch to the directory of these settings, or to none, in the event loop's next turns."""
        previous, wanted = self._settings, settings.state
        self._settings = wanted
        if previous is not None and wanted is not None and previous.directory == wanted.directory:
            if self.session is not None:
                self.session.apply_settings(wanted)
        elif previous is not wanted:
            self.fault = "" if wanted is None else "being opened"
            previous_task = self._switch_task
            self._switch_task = self.loop.create_task(self._switch_directory(previous_task))
            if previous_task is not None:
                previous_task.cancel()  # it may wait for a disk that does not answer

    def _on_merge(self, event: endpoint_merger.Event, actions: list[endpoint_merger.Action]) -> None:
        """Release the requests once all sources have listed: nothing persisted is needed then."""
        if isinstance(event, endpoint_merger.EndpointsListed) and event.is_cached:
            return
        in_sync = source_state.SourceState.IN_SYNC
        sources = self.running.endpoint_view.merger.sources.values()
        if all(source.state is in_sync and not source.has_cached_records for source in sources):
            self._release_requests()

    def _release_requests(self) -> None:
        self.running.node.defer_events(False)
        if self._on_merge in self.running.endpoint_view.listeners:
            # Not now: the listeners may be in the middle of a notification.
            self.loop.call_soon(self._stop_listening)

    def _stop_listening(self) -> None:
        if self._on_merge in self.running.endpoint_view.listeners:
            self.running.endpoint_view.listeners.remove(self._on_merge)

    def _persist_incarnation(self, incarnation: int) -> None:
        if self.session is not None:
            self.session.raise_incarnation(incarnation)

    async def close(self) -> None:
        """Write what is dirty, for a bounded time, and close the store."""
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
        """Close the session and open one for the wanted directory; retry until it is open."""
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
                if error.kind is FaultKind.FOREIGN:  # another node's: it is not touched again
                    return
                await asyncio.sleep(OPEN_RETRY_INTERVAL_S)
                continue
            except Exception as error:  # guards the node against a fault of this program
                self._release_requests()
                log.exception("state: failed; the node serves without memory")
                self.fault = repr(error)
                self._report_no_persistence(self.fault)
                return
            if reported_fault:
                log.warning("state: %s is had now", settings.directory)
            self._on_opened(session)
            return

    def _on_open_failed(self, error: StoreFileError, reported_fault: str) -> None:
        self._release_requests()
        self.fault = str(error)
        if reported_fault != self.fault:
            is_retried = error.kind is not FaultKind.FOREIGN
            retry_note = f", it is tried again every {OPEN_RETRY_INTERVAL_S:g} s" if is_retried else ""
            log.error("state: %s; the node serves without memory%s", error, retry_note)
        self._report_no_persistence(self.fault)

    def _on_opened(self, session: PersistenceSession) -> None:
        self.session, self.fault, self._is_first_directory = session, "", False
        if self.running.recovery is not None:  # it may have been raised before the directory was open
            self._persist_incarnation(self.running.recovery.recovery.incarnation)
        self._release_requests()
        if self._settings is not None:
            session.apply_settings(self._settings)  # intervals may have changed meanwhile

    def _report_no_persistence(self, fault: str) -> None:
        if self.running.recovery is not None:
            self.running.recovery.begin(None, fault)
