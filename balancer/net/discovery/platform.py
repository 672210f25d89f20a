"""Reads endpoint lists from the platform's discovery service, as `PlatformWatcher` decides."""

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
WATCH_TARGET = "/discovery/hosts?watch=1&from="  # the revision follows


def source_identity(address: Address) -> str:
    """The identity of the discovery instance at this address, which numbers revisions on its own."""
    return f"{address[0]}:{address[1]}"


class PlatformSource:
    """Watches or polls the platform's endpoint list.

    `emit` receives events for the endpoint merger, `watch_revision` returns the revision to watch from (None
    if a snapshot is required), and `notify_failed` reports a failed call to the request policy.
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
        *,
        poll_within_ms: float = platform_watcher.DEFAULT_POLL_WITHIN_MS,
    ) -> None:
        self.address, self.now_ms, self.emit = address, now_ms, emit
        self.watch_revision, self.notify_failed = watch_revision, notify_failed
        self.watcher = platform_watcher.PlatformWatcher(
            random.Random(), must_poll, drain_grace_ms, poll_within_ms
        )
        self.active_call: DiscoveryCall | None = None  # the watch, or the snapshot that precedes it
        self.additional_calls: set[DiscoveryCall] = set()
        self.retry_timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.connect_tasks: set[asyncio.Task[None]] = (
            set()
        )  # the event loop keeps only weak references to tasks

    def watch(self, enabled: bool) -> None:
        """Start or stop following the list."""
        self._dispatch(platform_watcher.SubscriptionChanged(enabled))

    def fetch(self) -> None:
        """Fetch one snapshot in addition to the active call."""
        self.additional_calls.add(self._start_call(SNAPSHOT_TARGET, False))

    def set_address(self, address: Address) -> None:
        """Use the discovery instance at another address, starting with a snapshot.

        Revisions of the previous instance mean nothing to the new one.
        """
        if address != self.address:
            self.address = address
            self.emit(endpoint_merger.SourceIdentityChanged(SOURCE_NAME, source_identity(address)))
            self._dispatch(platform_watcher.AddressChanged())

    # --- events of calls

    def on_accepted(self) -> None:
        """Handle a response with status 200."""
        self.emit(endpoint_merger.SourceConfirmedCurrent(SOURCE_NAME))

    def on_heartbeat(self) -> None:
        """Handle a heartbeat of a watch: the list is unchanged."""
        self.emit(endpoint_merger.SourceConfirmedCurrent(SOURCE_NAME))
        self._note_answer()

    def on_list(self, endpoint_list: EndpointList, is_from_watch: bool) -> None:
        """Handle a snapshot or a line of a watch."""
        identity = source_identity(self.address)
        self.emit(
            endpoint_merger.EndpointsListed(SOURCE_NAME, identity, endpoint_list, is_from_watch=is_from_watch)
        )
        self._note_answer()

    def _note_answer(self) -> None:
        """Reset the retry backoff, provided that the answer left a revision to watch from."""
        if self.watch_revision() is not None:
            self._dispatch(platform_watcher.DiscoveryAnswered())

    def on_unreadable_line(self, reason: str) -> None:
        """Handle a line that could not be parsed."""
        log.warning("discovery: bad line: %s", reason)
        self.emit(endpoint_merger.UpdateUnreadable(SOURCE_NAME, reason))

    def on_silent_after_head(self, call: DiscoveryCall) -> None:
        """Keep a watch that has received only its response head, while another one is started."""
        from balancer.net.discovery import watch_liveness  # loaded on demand: rarely needed at startup

        watch_liveness.keep_unconfirmed(self, call)

    def on_call_ended(self, call: DiscoveryCall) -> None:
        """Handle the end of a call whose response was parsed completely."""
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
