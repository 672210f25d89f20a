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
from balancer.core.discovery.platform_watcher import PlatformWatcher
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

SOURCE_NAME = "platform"
TIMEOUT_RECHECKS, TIMEOUT_RECHECK_INTERVAL_S = (
    3,
    0.001,
)  # turns of the loop, and s between them, before a call is given up
PARSE_SLICE_ENTRIES = 500  # entries of a list that are checked in one turn of the loop
MAX_UNSLICED_LINE_BYTES = (
    256 * 1024
)  # bytes of a line, some 1,600 backends, up to which it is parsed in one go


def source_identity(address: Address) -> str:
    """The order that revisions at this address belong to."""
    return f"{address[0]}:{address[1]}"


def _list_parser(line: bytes) -> EndpointListParser | LongList:
    if len(line) <= MAX_UNSLICED_LINE_BYTES:
        return EndpointListParser(json.loads(line))
    from balancer.protocol.large_list import LongList

    return LongList(line)


class DiscoveryCall(asyncio.Protocol):
    """One call: a watch that goes on until its connection ends, or the whole list once."""

    def __init__(self, owner: PlatformSource, target: str, is_watch: bool) -> None:
        self.owner, self.address, self.target, self.is_watch = owner, owner.address, target, is_watch
        self.response_parser = ListCall(is_watch)
        self.transport: asyncio.Transport | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.unparsed_lines: deque[bytes] = deque()
        self.list_parser: EndpointListParser | LongList | None = None  # of a list read over several turns
        self.is_complete = self.is_over = self.is_abandoned = self.was_slow = False
        self.loop = asyncio.get_running_loop()
        self.deadline = owner.watcher.start_deadline(owner.now_ms())
        self.connect_task = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Connect; `connection_lost` or this ends the call."""
        self._reset_deadline_timer()
        try:
            await self.loop.create_connection(lambda: self, *self.address)
        except (OSError, asyncio.CancelledError) as err:
            if isinstance(err, asyncio.CancelledError) and not self.is_over:
                raise
            if not self.is_abandoned:
                self._log_failure(f"discovery: no connection: {str(err) or 'timed out'}")
            self.is_over = True
            if self.deadline_timer is not None:
                self.deadline_timer.cancel()
            self._notify_ended()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        if self.is_abandoned:
            self.transport.abort()
            return
        host, port = self.address
        host_header = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.transport.write(platform_list.request(host_header, self.target, self.is_watch))
        self.deadline.note_connected(self.owner.now_ms())
        self._reset_deadline_timer()

    def _reset_deadline_timer(self) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        wait_s = max(0.0, self.deadline.deadline_ms - self.owner.now_ms()) / 1000
        self.deadline_timer = self.loop.call_later(wait_s, self._on_deadline)

    def _on_deadline(self, rechecks_left: int = TIMEOUT_RECHECKS) -> None:
        """Guards against a discovery that is cut off: nothing closes its connection, it says no more.

        A loop that was busy may run its timers before it reads: what waits in the kernel gets some turns.
        """
        self.was_slow = (
            self.deadline.may_need_longer_timeout(self.owner.now_ms())
            if rechecks_left == TIMEOUT_RECHECKS
            else self.was_slow
        )
        if rechecks_left:
            self.deadline_timer = self.loop.call_later(
                TIMEOUT_RECHECK_INTERVAL_S, self._on_deadline, rechecks_left - 1
            )
            return
        if self.deadline.has_only_head:
            from balancer.net.discovery.watch_liveness import keep_unconfirmed

            return keep_unconfirmed(self, self._reset_deadline_timer)
        self._log_failure("discovery is silent")
        self.close()

    def _log_failure(self, text: str) -> None:
        """Once for all failures in a row: guards the log's other lines, as tries are many."""
        log.log(logging.DEBUG if self.owner.watcher.consecutive_failures else logging.WARNING, text)

    def data_received(self, data: bytes) -> None:
        """Read."""
        messages = self.response_parser.receive(data)
        if self.response_parser.began and not self.is_over:
            is_head_alone = self.owner.watcher.consecutive_failures > 0 and [*map(type, messages)] == [
                platform_list.Began
            ]
            self.deadline.note_received(
                self.owner.now_ms(), bool(messages), self.response_parser.under_way, is_head_alone
            )
            self._reset_deadline_timer()
        self._handle_messages(messages)

    def eof_received(self) -> None:
        """A list without a length ends with its connection."""
        self._handle_messages(self.response_parser.eof())

    def _handle_messages(self, messages: list[platform_list.Message]) -> None:
        for message in messages:
            if self.is_abandoned:
                return
            match message:
                case platform_list.Began():
                    if message.accepted:
                        self.owner.on_accepted()
                case platform_list.Beat():
                    self.owner.on_heartbeat()
                case platform_list.Line():
                    self.unparsed_lines.append(message.text)
                case platform_list.Finished():
                    self.is_complete = message.whole
                    self.close()
                case platform_list.Broken():
                    log.warning("discovery: %s", message.reason)
                    self.close()
        self._parse_lines()

    def _parse_lines(self) -> None:
        """Read the lines in order, a long one over several turns of the loop."""
        while not self.is_abandoned and (self.list_parser is not None or self.unparsed_lines):
            try:
                if self.list_parser is None:
                    self.list_parser = _list_parser(self.unparsed_lines.popleft())
                if not self.list_parser.read(PARSE_SLICE_ENTRIES):
                    self.loop.call_soon(self._parse_lines)
                    return
            except Exception as err:
                if not isinstance(err, (EndpointListError, ValueError, RecursionError)):
                    log.exception("discovery: a line was not read")  # guards the lines behind it
                # What it said is lost, and later changes do not repeat it: only the whole list will do.
                self.is_complete = False
                self.unparsed_lines.clear()
                self.list_parser = None
                self.owner.on_unreadable_line(f"{err}"[:200])
                self.close()
                break
            endpoint_list, self.list_parser = self.list_parser.result(), None
            self.owner.on_list(endpoint_list, self.is_watch)
        if not self.is_abandoned:
            self._notify_ended()

    def close(self) -> None:
        """End the call; what it has brought is still read."""
        self.is_over = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif not self.connect_task.done():
            self.connect_task.cancel()  # no more sockets than calls, however fast they are given up

    def abandon(self) -> None:
        """End the call and say nothing of it: its owner no longer wants to know."""
        self.is_abandoned = True
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The answer is over, whole or not."""
        self.close()
        self._notify_ended()

    def _notify_ended(self) -> None:
        """Tell the owner, once all that came was read."""
        if self.is_over and not self.is_abandoned and self.list_parser is None and not self.unparsed_lines:
            self.is_abandoned = True
            self.owner.on_call_ended(self)


class PlatformSource:
    """Follows the list. `hand` takes what the merge has to know, `resume` is where to watch from."""

    def __init__(
        self,
        address: Address,
        must_poll: bool,
        drain_grace_ms: float,
        now_ms: Callable[[], float],
        emit: Callable[[membership.Event], None],
        watch_revision: Callable[[], int | None],
        notify_failed: Callable[[], None],
    ) -> None:
        self.address, self.now_ms, self.emit, self.watch_revision, self.notify_failed = (
            address,
            now_ms,
            emit,
            watch_revision,
            notify_failed,
        )
        self.watcher = PlatformWatcher(random.Random(), must_poll, drain_grace_ms)
        self.active_call: DiscoveryCall | None = (
            None  # the watch, or the whole list that a watch goes on from
        )
        self.additional_calls: set[DiscoveryCall] = set()
        self.retry_timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.connect_tasks: set[asyncio.Task[None]] = set()  # which dial: the loop holds none by itself

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self._dispatch(platform_follow.SubscriptionChanged(on))

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self.additional_calls.add(self._start_call("/discovery/hosts", False))

    def set_address(self, address: Address) -> None:
        """Ask at another address from now on. Its revisions are its own: the whole list comes first."""
        if address != self.address:
            self.address = address
            self.emit(membership.SourceIdentityChanged(SOURCE_NAME, source_identity(address)))
            self._dispatch(platform_follow.AddressChanged())

    # --- what calls say

    def on_accepted(self) -> None:
        """A call is answered as asked."""
        self.emit(membership.SourceConfirmedCurrent(SOURCE_NAME))

    def on_heartbeat(self) -> None:
        """A watch says that nothing has changed."""
        self.emit(membership.SourceConfirmedCurrent(SOURCE_NAME))
        if self.watch_revision() is not None:
            self._dispatch(platform_follow.DiscoveryAnswered())

    def on_list(self, endpoint_list: EndpointList, is_from_watch: bool) -> None:
        """A list, or a line of the watch. It is no answer if nothing can be watched after it."""
        self.emit(
            membership.EndpointsListed(
                SOURCE_NAME, source_identity(self.address), endpoint_list, is_from_watch=is_from_watch
            )
        )
        if self.watch_revision() is not None:
            self._dispatch(platform_follow.DiscoveryAnswered())

    def on_unreadable_line(self, reason: str) -> None:
        """A line that could not be read at all."""
        log.warning("discovery: bad line: %s", reason)
        self.emit(membership.UpdateUnreadable(SOURCE_NAME, reason))

    def on_call_ended(self, call: DiscoveryCall) -> None:
        """A call is over."""
        self.additional_calls.discard(call)
        is_additional = call is not self.active_call
        if not is_additional:
            self.active_call = None
        if not call.is_complete:
            self.emit(
                membership.SourceLost(
                    SOURCE_NAME, f"no answer from discovery at {source_identity(call.address)}"
                )
            )
        self._dispatch(platform_follow.CallEnded(call.is_complete, is_additional, call.was_slow))

    # --- what was decided

    def _dispatch(self, event: platform_follow.Event) -> None:
        for action in self.watcher.handle(self.now_ms(), event, self.watch_revision()):
            match action:
                case platform_follow.FetchSnapshot():
                    self.active_call = self._start_call("/discovery/hosts", False)
                case platform_follow.StartWatch():
                    self.active_call = self._start_call(
                        f"/discovery/hosts?watch=1&from={action.revision}", True
                    )
                case platform_follow.CancelCalls():
                    self._cancel_calls()
                case platform_follow.SetRetryTimer():
                    wait_s = max(0.0, action.at_ms - self.now_ms()) / 1000
                    self.retry_timer = self.loop.call_later(
                        wait_s, self._dispatch, platform_follow.RetryTimerFired()
                    )
                case platform_follow.NotifyCallFailed():
                    self.notify_failed()

    def _start_call(self, target: str, is_watch: bool) -> DiscoveryCall:
        call = DiscoveryCall(self, target, is_watch)
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
