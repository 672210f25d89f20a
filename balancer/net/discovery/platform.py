"""The platform's discovery as a source of the list: its calls, on connections of their own."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from balancer.core.discovery import endpoint_merger as membership
from balancer.core.discovery import platform_watcher as platform_follow
from balancer.core.discovery.platform_watcher import PlatformFollow
from balancer.endpoints import (
    Address,
    EndpointList,
    EndpointListError,
    EndpointListParser,
)
from balancer.protocol import platform_list
from balancer.protocol.platform_list import ListCall

if TYPE_CHECKING:
    from balancer.protocol.large_list import LongList

log = logging.getLogger(__name__)

NAME = "platform"
LOOKS, LOOK = 3, 0.001  # turns of the loop, and s between them, before a call is given up
SLICE = 500  # entries of a list that are checked in one turn of the loop
LONG = 256 * 1024  # bytes of a line, some 1,600 backends, up to which it is parsed in one go


def identity(address: Address) -> str:
    """The order that revisions at this address belong to."""
    return f"{address[0]}:{address[1]}"


def _builder(line: bytes) -> EndpointListParser | LongList:
    if len(line) <= LONG:
        return EndpointListParser(json.loads(line))
    from balancer.protocol.large_list import LongList

    return LongList(line)


class Call(asyncio.Protocol):
    """One call: a watch that goes on until its connection ends, or the whole list once."""

    def __init__(self, owner: PlatformSource, target: str, watch: bool) -> None:
        self.owner, self.address, self.target, self.watch = owner, owner.address, target, watch
        self.parser = ListCall(watch)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.lines: deque[bytes] = deque()
        self.builder: EndpointListParser | LongList | None = None  # of a list read over several turns
        self.whole = self.over = self.dropped = self.slow = False
        self.loop = asyncio.get_running_loop()
        self.life = owner.follow.life(owner.now_ms())
        self.dialling = self.loop.create_task(self.dial())

    async def dial(self) -> None:
        """Connect; `connection_lost` or this ends the call."""
        self._awake()
        try:
            await self.loop.create_connection(lambda: self, *self.address)
        except (OSError, asyncio.CancelledError) as err:
            if isinstance(err, asyncio.CancelledError) and not self.over:
                raise
            if not self.dropped:
                self._warn(f"discovery: no connection: {str(err) or 'timed out'}")
            self.over = True
            if self.timer is not None:
                self.timer.cancel()
            self._end()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        if self.dropped:
            self.transport.abort()
            return
        host, port = self.address
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.transport.write(platform_list.request(name, self.target, self.watch))
        self.life.connected(self.owner.now_ms())
        self._awake()

    def _awake(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, self.life.until_ms - self.owner.now_ms()) / 1000
        self.timer = self.loop.call_later(wait, self._silent)

    def _silent(self, looks: int = LOOKS) -> None:
        """Guards against a discovery that is cut off: nothing closes its connection, it says no more.

        A loop that was busy may run its timers before it reads: what waits in the kernel gets some turns.
        """
        self.slow = self.life.slow(self.owner.now_ms()) if looks == LOOKS else self.slow
        if looks:
            self.timer = self.loop.call_later(LOOK, self._silent, looks - 1)
            return
        if self.life.bare:
            from balancer.net.discovery.watch_liveness import doubted

            return doubted(self, self._awake)
        self._warn("discovery is silent")
        self.close()

    def _warn(self, text: str) -> None:
        """Once for all failures in a row: guards the log's other lines, as tries are many."""
        log.log(logging.DEBUG if self.owner.follow.failed else logging.WARNING, text)

    def data_received(self, data: bytes) -> None:
        """Read."""
        messages = self.parser.receive(data)
        if self.parser.began and not self.over:
            bare = self.owner.follow.failed > 0 and [*map(type, messages)] == [platform_list.Began]
            self.life.came(self.owner.now_ms(), bool(messages), self.parser.under_way, bare)
            self._awake()
        self._take(messages)

    def eof_received(self) -> None:
        """A list without a length ends with its connection."""
        self._take(self.parser.eof())

    def _take(self, messages: list[platform_list.Message]) -> None:
        for message in messages:
            if self.dropped:
                return
            match message:
                case platform_list.Began():
                    if message.accepted:
                        self.owner.heard()
                case platform_list.Beat():
                    self.owner.beat()
                case platform_list.Line():
                    self.lines.append(message.text)
                case platform_list.Finished():
                    self.whole = message.whole
                    self.close()
                case platform_list.Broken():
                    log.warning("discovery: %s", message.reason)
                    self.close()
        self._read()

    def _read(self) -> None:
        """Read the lines in order, a long one over several turns of the loop."""
        while not self.dropped and (self.builder is not None or self.lines):
            try:
                if self.builder is None:
                    self.builder = _builder(self.lines.popleft())
                if not self.builder.read(SLICE):
                    self.loop.call_soon(self._read)
                    return
            except Exception as err:
                if not isinstance(err, (EndpointListError, ValueError, RecursionError)):
                    log.exception("discovery: a line was not read")  # guards the lines behind it
                # What it said is lost, and later changes do not repeat it: only the whole list will do.
                self.whole = False
                self.lines.clear()
                self.builder = None
                self.owner.spoiled(f"{err}"[:200])
                self.close()
                break
            listing, self.builder = self.builder.result(), None
            self.owner.listed(listing, self.watch)
        if not self.dropped:
            self._end()

    def close(self) -> None:
        """End the call; what it has brought is still read."""
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif not self.dialling.done():
            self.dialling.cancel()  # no more sockets than calls, however fast they are given up

    def drop(self) -> None:
        """End the call and say nothing of it: its owner no longer wants to know."""
        self.dropped = True
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The answer is over, whole or not."""
        self.close()
        self._end()

    def _end(self) -> None:
        """Tell the owner, once all that came was read."""
        if self.over and not self.dropped and self.builder is None and not self.lines:
            self.dropped = True
            self.owner.ended(self)


class PlatformSource:
    """Follows the list. `hand` takes what the merge has to know, `resume` is where to watch from."""

    def __init__(
        self,
        address: Address,
        must_ask: bool,
        drain_grace_ms: float,
        now_ms: Callable[[], float],
        hand: Callable[[membership.Event], None],
        resume: Callable[[], int | None],
        failed: Callable[[], None],
    ) -> None:
        self.address, self.now_ms, self.hand, self.resume, self.failed = address, now_ms, hand, resume, failed
        self.follow = PlatformFollow(random.Random(), must_ask, drain_grace_ms)
        self.following: Call | None = None  # the watch, or the whole list that a watch goes on from
        self.fetching: set[Call] = set()
        self.retry: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()  # which dial: the loop holds none by itself

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self._follow(platform_follow.Wanted(on))

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self.fetching.add(self._call("/discovery/hosts", False))

    def move(self, address: Address) -> None:
        """Ask at another address from now on. Its revisions are its own: the whole list comes first."""
        if address != self.address:
            self.address = address
            self.hand(membership.Moved(NAME, identity(address)))
            self._follow(platform_follow.Relocated())

    # --- what calls say

    def heard(self) -> None:
        """A call is answered as asked."""
        self.hand(membership.Heard(NAME))

    def beat(self) -> None:
        """A watch says that nothing has changed."""
        self.hand(membership.Heard(NAME))
        if self.resume() is not None:
            self._follow(platform_follow.Answered())

    def listed(self, listing: EndpointList, watched: bool) -> None:
        """A list, or a line of the watch. It is no answer if nothing can be watched after it."""
        self.hand(membership.Listed(NAME, identity(self.address), listing, watched=watched))
        if self.resume() is not None:
            self._follow(platform_follow.Answered())

    def spoiled(self, reason: str) -> None:
        """A line that could not be read at all."""
        log.warning("discovery: bad line: %s", reason)
        self.hand(membership.Spoiled(NAME, reason))

    def ended(self, call: Call) -> None:
        """A call is over."""
        self.fetching.discard(call)
        extra = call is not self.following
        if not extra:
            self.following = None
        if not call.whole:
            self.hand(membership.Silenced(NAME, f"no answer from discovery at {identity(call.address)}"))
        self._follow(platform_follow.Ended(call.whole, extra, call.slow))

    # --- what was decided

    def _follow(self, event: platform_follow.Event) -> None:
        for action in self.follow.handle(self.now_ms(), event, self.resume()):
            match action:
                case platform_follow.AskWhole():
                    self.following = self._call("/discovery/hosts", False)
                case platform_follow.WatchFrom():
                    self.following = self._call(f"/discovery/hosts?watch=1&from={action.revision}", True)
                case platform_follow.Drop():
                    self._drop()
                case platform_follow.Wait():
                    wait = max(0.0, action.until_ms - self.now_ms()) / 1000
                    self.retry = self.loop.call_later(wait, self._follow, platform_follow.Due())
                case platform_follow.TellFailed():
                    self.failed()

    def _call(self, target: str, watch: bool) -> Call:
        call = Call(self, target, watch)
        self.tasks.add(call.dialling)
        call.dialling.add_done_callback(self.tasks.discard)
        return call

    def _drop(self) -> None:
        if self.retry is not None:
            self.retry.cancel()
        for call in filter(None, [self.following, *self.fetching]):
            call.drop()
        self.following = None
        self.fetching.clear()
