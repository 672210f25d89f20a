"""Keeps watches that have received only a response head since discovery was unreachable.

Such a watch is either idle, with its first heartbeat still to come, or it was accepted during the outage and
will miss the changes after discovery returns. Another watch is therefore started in addition, and this one is
kept for as long as a watch may be idle. The first of them to receive more becomes the active call. The module
is loaded on demand, since few processes start during an outage.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from balancer.core.discovery.platform_watcher import RetryTimerFired
from balancer.endpoints import EndpointList
from balancer.net.discovery.platform_call import CallOwner, DiscoveryCall

MAX_UNCONFIRMED_WATCHES = 2  # the oldest are kept, since their heartbeats are due first


class FollowingSource(CallOwner, Protocol):
    """The source that started these watches."""

    active_call: DiscoveryCall | None
    additional_calls: set[DiscoveryCall]
    retry_timer: asyncio.TimerHandle | None

    @property
    def watch_revision(self) -> Callable[[], int | None]:
        """A function that returns the revision to watch from."""


class UnconfirmedWatch:
    """Owns such a watch in place of its source until the watch receives more than its head."""

    def __init__(self, source: FollowingSource, call: DiscoveryCall) -> None:
        self.source, self.call = source, call
        self.watcher, self.now_ms = source.watcher, source.now_ms

    def on_accepted(self) -> None:
        """Nothing to do: the head was received earlier."""

    def on_silent_after_head(self, call: DiscoveryCall) -> None:
        """Nothing to do: the deadline was already extended to that of an idle watch."""

    def on_heartbeat(self) -> None:
        """Make the watch the active call: it was merely idle."""
        if self._promote():
            self.source.on_heartbeat()

    def on_list(self, endpoint_list: EndpointList, is_from_watch: bool) -> None:
        """Make the watch the active call and apply its change."""
        if self._promote():
            self.source.on_list(endpoint_list, is_from_watch)

    def on_unreadable_line(self, reason: str) -> None:
        """Drop the watch; no change is lost, as the active or next call starts at the same revision."""
        self.call.abandon()
        self.on_call_ended(self.call)

    def on_call_ended(self, call: DiscoveryCall) -> None:
        """Drop the watch; another call follows the list."""
        self.source.additional_calls.discard(call)

    def _promote(self) -> bool:
        """Make the watch the active call, unless a later call has already received data."""
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
        # Ends a pending retry delay; this watch takes the place of the call that the retry would start.
        self.watcher.handle(self.now_ms(), RetryTimerFired(), revision)
        return True


def keep_unconfirmed(source: FollowingSource, call: DiscoveryCall) -> None:
    """Extend the deadline of a watch that has received only its head to that of an idle watch."""
    call.deadline.note_received(source.now_ms(), False, False)
    call.reset_deadline_timer()
    if call is not source.active_call or not source.watcher.consecutive_failures:
        return  # another call is active, or a call has received data: only the deadline is extended
    source.on_call_ended(call)
    if _unconfirmed_count(source) < MAX_UNCONFIRMED_WATCHES:
        source.additional_calls.add(call)
        call.owner = UnconfirmedWatch(source, call)
    else:
        call.abandon()


def _unconfirmed_count(source: FollowingSource) -> int:
    return sum(isinstance(call.owner, UnconfirmedWatch) for call in source.additional_calls)
