"""Watches that have brought nothing but their heads since discovery was out of reach.

Such a one may be quiet, and beat yet; or it was answered while discovery was down, and misses what comes at
the return. So another is begun beside it, and it is kept as long as any watch may be silent: the first that
speaks goes on. Loaded when there is one, as few starts fall into an outage.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from balancer.core.discovery.platform_watcher import RetryTimerFired
from balancer.endpoints import EndpointList
from balancer.net.discovery.platform import DiscoveryCall, PlatformSource

MAX_UNCONFIRMED_WATCHES = 2  # the oldest ones are kept: their beats come first


class UnconfirmedWatch:
    """Stands between such a watch and its source: all that a call asks of its owner, and no more."""

    def __init__(self, source: PlatformSource, call: DiscoveryCall) -> None:
        self.source, self.call = source, call
        self.watcher, self.now_ms = source.watcher, source.now_ms

    def on_heartbeat(self) -> None:
        """It was a quiet one."""
        if self._promote():
            self.source.on_heartbeat()

    def on_list(self, endpoint_list: EndpointList, is_from_watch: bool) -> None:
        """It was a quiet one, and is told a change."""
        if self._promote():
            self.source.on_list(endpoint_list, is_from_watch)

    def on_unreadable_line(self, reason: str) -> None:
        """Nothing is lost: whoever follows was begun at the same revision, or will be."""
        self.call.abandon()
        self.on_call_ended(self.call)

    def on_call_ended(self, call: DiscoveryCall) -> None:
        """Another one follows."""
        self.source.additional_calls.discard(call)

    def _promote(self) -> bool:
        """It follows from now on, in place of what was begun since, unless that has spoken before."""
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
        self.watcher.handle(
            self.now_ms(), RetryTimerFired(), revision
        )  # the wait is over, if it waits: here is the call
        return True


def keep_unconfirmed(call: DiscoveryCall, reset_timer: Callable[[], None]) -> None:
    """A watch has brought its head alone. `awake` sets its clock anew."""
    source = call.owner
    call.deadline.note_received(source.now_ms(), False, False)
    reset_timer()
    if call is not source.active_call or not source.watcher.consecutive_failures:
        return  # it is kept already, or another has spoken: this one is given its time
    source.on_call_ended(call)
    if (
        sum(isinstance(other.owner, UnconfirmedWatch) for other in source.additional_calls)
        < MAX_UNCONFIRMED_WATCHES
    ):
        source.additional_calls.add(call)
        call.owner = cast(PlatformSource, UnconfirmedWatch(source, call))
    else:
        call.abandon()
