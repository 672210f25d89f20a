"""Watches that have brought nothing but their heads since discovery was unreachable.

Such a watch may be idle, and its heartbeats are to come; or it was answered while discovery was down, and
misses what comes at the return. So another one is started beside it, and it is kept as long as any watch
may be idle: the first that brings anything more goes on. Loaded only when there is one, as few starts fall
into an outage.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from balancer.core.discovery.platform_watcher import RetryTimerFired
from balancer.endpoints import EndpointList
from balancer.net.discovery.platform_call import CallOwner, DiscoveryCall

MAX_UNCONFIRMED_WATCHES = 2  # the oldest are kept: their heartbeats come first


class FollowingSource(CallOwner, Protocol):
    """The source whose watches these are."""

    active_call: DiscoveryCall | None
    additional_calls: set[DiscoveryCall]
    retry_timer: asyncio.TimerHandle | None

    @property
    def watch_revision(self) -> Callable[[], int | None]:
        """Returns the revision to watch from."""


class UnconfirmedWatch:
    """Owns such a watch in place of its source until the watch brings more than its head."""

    def __init__(self, source: FollowingSource, call: DiscoveryCall) -> None:
        self.source, self.call = source, call
        self.watcher, self.now_ms = source.watcher, source.now_ms

    def on_accepted(self) -> None:
        """Its head came before."""

    def on_silent_after_head(self, call: DiscoveryCall) -> None:
        """It has been given the time that an idle watch has."""

    def on_heartbeat(self) -> None:
        """It was idle."""
        if self._promote():
            self.source.on_heartbeat()

    def on_list(self, endpoint_list: EndpointList, is_from_watch: bool) -> None:
        """It was idle, and brings a change."""
        if self._promote():
            self.source.on_list(endpoint_list, is_from_watch)

    def on_unreadable_line(self, reason: str) -> None:
        """Nothing is lost: the active call began at the same revision, or the next one will."""
        self.call.abandon()
        self.on_call_ended(self.call)

    def on_call_ended(self, call: DiscoveryCall) -> None:
        """Another call follows the list."""
        self.source.additional_calls.discard(call)

    def _promote(self) -> bool:
        """Make it the active call in place of any later one, unless that has brought something before."""
        source, call, revision = self.source, self.call, self.source.watch_revision()
        self.on_call_ended(call)
        if not self.watcher.consecutive_failures or revision is None:
            call.abandon()
            return False
        if source.active_call is not None:
            source.active_call.abandon()
        if source.retry_timer is not None:
            source.retry_timer.cancel()
        source.active_call, call.owner = call, source
        # Ends the wait for a retry, if there is one; the call that it starts is this one.
        self.watcher.handle(self.now_ms(), RetryTimerFired(), revision)
        return True


def keep_unconfirmed(source: FollowingSource, call: DiscoveryCall) -> None:
    """Give a watch that has brought its head alone the time that an idle watch has."""
    call.deadline.note_received(source.now_ms(), False, False)
    call.reset_deadline_timer()
    if call is not source.active_call or not source.watcher.consecutive_failures:
        return  # another call is active, or has brought something: this one only gets its time
    source.on_call_ended(call)
    if _unconfirmed_count(source) < MAX_UNCONFIRMED_WATCHES:
        source.additional_calls.add(call)
        call.owner = UnconfirmedWatch(source, call)
    else:
        call.abandon()


def _unconfirmed_count(source: FollowingSource) -> int:
    return sum(isinstance(call.owner, UnconfirmedWatch) for call in source.additional_calls)
