"""The platform's discovery as a source of endpoint lists: executes what `PlatformWatcher` decides."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from balancer.core.discovery import endpoint_merger, platform_watcher
from balancer.endpoints import Address, EndpointList
from balancer.net.discovery.platform_call import DiscoveryCall

log = logging.getLogger(__name__)

SOURCE_NAME = "platform"
SNAPSHOT_TARGET = "/discovery/hosts"
WATCH_TARGET = "/discovery/hosts?watch=1&from="  # and the revision


def source_identity(address: Address) -> str:
    """The identity of discovery at this address: its revisions are its own."""
    return f"{address[0]}:{address[1]}"


class PlatformSource:
    """Follows the platform's list.

    `emit` takes events for the merge, `watch_revision` returns the revision to watch from (None where only
    a snapshot will do), `notify_failed` tells the request policy that a call failed.
    """

    def __init__(
        self,
        address: Address,
        must_poll: bool,
        drain_grace_ms: float,
        now_ms: Callable[[], float],
        emit: Callable[[endpoint_merger.Event], None],
        watch_revision: Callable[[], int | None],
        notify_failed: Callable[[], None],
    ) -> None:
        self.address, self.now_ms, self.emit = address, now_ms, emit
        self.watch_revision, self.notify_failed = watch_revision, notify_failed
        self.watcher = platform_watcher.PlatformWatcher(random.Random(), must_poll, drain_grace_ms)
        self.active_call: DiscoveryCall | None = None  # the watch, or the snapshot that a watch follows
        self.additional_calls: set[DiscoveryCall] = set()
        self.retry_timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.connect_tasks: set[asyncio.Task[None]] = set()  # the loop itself holds no reference to them

    def watch(self, on: bool) -> None:
        """Start or stop to follow the list."""
        self._dispatch(platform_watcher.SubscriptionChanged(on))

    def fetch(self) -> None:
        """Fetch one snapshot beside whatever follows the list."""
        self.additional_calls.add(self._start_call(SNAPSHOT_TARGET, False))

    def set_address(self, address: Address) -> None:
        """Use discovery at another address. Its revisions are its own: a snapshot comes first."""
        if address != self.address:
            self.address = address
            self.emit(endpoint_merger.SourceIdentityChanged(SOURCE_NAME, source_identity(address)))
            self._dispatch(platform_watcher.AddressChanged())

    # --- events of calls

    def on_accepted(self) -> None:
        """A call was answered by status 200."""
        self.emit(endpoint_merger.SourceConfirmedCurrent(SOURCE_NAME))

    def on_heartbeat(self) -> None:
        """A watch shows that nothing has changed."""
        self.emit(endpoint_merger.SourceConfirmedCurrent(SOURCE_NAME))
        self._note_answer()

    def on_list(self, endpoint_list: EndpointList, is_from_watch: bool) -> None:
        """A snapshot, or a line of a watch."""
        identity = source_identity(self.address)
        self.emit(
            endpoint_merger.EndpointsListed(SOURCE_NAME, identity, endpoint_list, is_from_watch=is_from_watch)
        )
        self._note_answer()

    def _note_answer(self) -> None:
        """An answer counts only if it leaves a revision to watch from."""
        if self.watch_revision() is not None:
            self._dispatch(platform_watcher.DiscoveryAnswered())

    def on_unreadable_line(self, reason: str) -> None:
        """A line could not be read at all."""
        log.warning("discovery: bad line: %s", reason)
        self.emit(endpoint_merger.UpdateUnreadable(SOURCE_NAME, reason))

    def on_silent_after_head(self, call: DiscoveryCall) -> None:
        """A watch brought its head and nothing since: it is kept beside another one for a while."""
        from balancer.net.discovery import watch_liveness  # loaded by need: few starts fall into an outage

        watch_liveness.keep_unconfirmed(self, call)

    def on_call_ended(self, call: DiscoveryCall) -> None:
        """A call has ended and was read."""
        self.additional_calls.discard(call)
        is_additional = call is not self.active_call
        if not is_additional:
            self.active_call = None
        if not call.is_complete:
            reason = f"no answer from discovery at {source_identity(call.address)}"
            self.emit(endpoint_merger.SourceLost(SOURCE_NAME, reason))
        self._dispatch(platform_watcher.CallEnded(call.is_complete, is_additional, call.was_slow))

    # --- actions

    def _dispatch(self, event: platform_watcher.Event) -> None:
        for action in self.watcher.handle(self.now_ms(), event, self.watch_revision()):
            match action:
                case platform_watcher.FetchSnapshot():
                    self.active_call = self._start_call(SNAPSHOT_TARGET, False)
                case platform_watcher.StartWatch():
                    self.active_call = self._start_call(f"{WATCH_TARGET}{action.revision}", True)
                case platform_watcher.CancelCalls():
                    self._cancel_calls()
                case platform_watcher.SetRetryTimer():
                    wait_s = max(0.0, action.at_ms - self.now_ms()) / 1000
                    fired = platform_watcher.RetryTimerFired()
                    self.retry_timer = self.loop.call_later(wait_s, self._dispatch, fired)
                case platform_watcher.NotifyCallFailed():
                    self.notify_failed()

    def _start_call(self, target: str, is_watch: bool) -> DiscoveryCall:
        call = DiscoveryCall(self, self.address, target, is_watch)
        self.connect_tasks.add(call.connect_task)
        call.connect_task.add_done_callback(self.connect_tasks.discard)
        return call

    def _cancel_calls(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        for call in filter(None, [self.active_call, *self.additional_calls]):
            call.abandon()
        self.active_call = None
        self.additional_calls.clear()
