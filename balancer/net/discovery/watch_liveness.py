"""Watches that have brought nothing but their heads since discovery was out of reach.

Such a one may be quiet, and beat yet; or it was answered while discovery was down, and misses what comes at
the return. So another is begun beside it, and it is kept as long as any watch may be silent: the first that
speaks goes on. Loaded when there is one, as few starts fall into an outage.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from balancer.core.discovery.platform_watcher import Due
from balancer.endpoints import EndpointList
from balancer.net.discovery.platform import Call, PlatformSource

MOST = 2  # the oldest ones are kept: their beats come first


class Doubt:
    """Stands between such a watch and its source: all that a call asks of its owner, and no more."""

    def __init__(self, source: PlatformSource, call: Call) -> None:
        self.source, self.call = source, call
        self.follow, self.now_ms = source.follow, source.now_ms

    def beat(self) -> None:
        """It was a quiet one."""
        if self._goes_on():
            self.source.beat()

    def listed(self, listing: EndpointList, watched: bool) -> None:
        """It was a quiet one, and is told a change."""
        if self._goes_on():
            self.source.listed(listing, watched)

    def spoiled(self, reason: str) -> None:
        """Nothing is lost: whoever follows was begun at the same revision, or will be."""
        self.call.drop()
        self.ended(self.call)

    def ended(self, call: Call) -> None:
        """Another one follows."""
        self.source.fetching.discard(call)

    def _goes_on(self) -> bool:
        """It follows from now on, in place of what was begun since, unless that has spoken before."""
        source, call, revision = self.source, self.call, self.source.resume()
        self.ended(call)
        if not self.follow.failed or revision is None:
            call.drop()
            return False
        if source.following is not None:
            source.following.drop()
        if source.retry is not None:
            source.retry.cancel()
        source.following, call.owner = call, source
        self.follow.handle(self.now_ms(), Due(), revision)  # the wait is over, if it waits: here is the call
        return True


def doubted(call: Call, awake: Callable[[], None]) -> None:
    """A watch has brought its head alone. `awake` sets its clock anew."""
    source = call.owner
    call.life.came(source.now_ms(), False, False)
    awake()
    if call is not source.following or not source.follow.failed:
        return  # it is kept already, or another has spoken: this one is given its time
    source.ended(call)
    if sum(isinstance(other.owner, Doubt) for other in source.fetching) < MOST:
        source.fetching.add(call)
        call.owner = cast(PlatformSource, Doubt(source, call))
    else:
        call.drop()
