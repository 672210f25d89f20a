"""One call to the platform's discovery service, a watch or a snapshot, on its own connection."""

from __future__ import annotations

import asyncio
import json
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from balancer.core.discovery.platform_watcher import PlatformWatcher
from balancer.endpoints import Address, EndpointList, EndpointListError, EndpointListParser
from balancer.protocol import platform_list

if TYPE_CHECKING:
    from balancer.protocol.large_list import LargeListParser

log = logging.getLogger(__name__)

# A call past its deadline is ended only after this many further turns of the event loop.
TIMEOUT_RECHECKS = 3
TIMEOUT_RECHECK_INTERVAL_S = 0.001
PARSE_SLICE_ENTRIES = 500  # entries of a list parsed in one turn of the event loop
MAX_UNSLICED_LINE_BYTES = 256 * 1024  # about 1,600 endpoints; longer lines are parsed over several turns
MAX_REASON_CHARACTERS = 200


class CallOwner(Protocol):
    """What a call requires of the source that started it."""

    @property
    def watcher(self) -> PlatformWatcher:
        """The state machine that selects requests and their deadlines."""

    @property
    def now_ms(self) -> Callable[[], float]:
        """The node's clock, in milliseconds."""

    def on_accepted(self) -> None:
        """Discovery has accepted the call with status 200."""

    def on_heartbeat(self) -> None:
        """A watch received an empty line, so the list is unchanged."""

    def on_list(self, endpoint_list: EndpointList, is_from_watch: bool) -> None:
        """A snapshot or a line of a watch was parsed."""

    def on_unreadable_line(self, reason: str) -> None:
        """A line could not be parsed; the call ends."""

    def on_silent_after_head(self, call: DiscoveryCall) -> None:
        """A watch reached its deadline after receiving only its response head."""

    def on_call_ended(self, call: DiscoveryCall) -> None:
        """The call has ended and all received lines were parsed. Not called for an abandoned call."""


def _list_parser(line: bytes) -> EndpointListParser | LargeListParser:
    if len(line) <= MAX_UNSLICED_LINE_BYTES:
        return EndpointListParser(json.loads(line))
    from balancer.protocol.large_list import (
        LargeListParser,
    )  # loaded on demand to save startup time: few lists are this large

    return LargeListParser(line)


class DiscoveryCall(asyncio.Protocol):
    """One call: a watch, which lasts until its connection ends, or a snapshot."""

    def __init__(self, owner: CallOwner, address: Address, target: str, is_watch: bool) -> None:
        self.owner, self.address, self.target, self.is_watch = owner, address, target, is_watch
        self.response_parser = platform_list.ResponseParser(is_watch)
        self.transport: asyncio.Transport | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.unparsed_lines: deque[bytes] = deque()
        self.list_parser: EndpointListParser | LargeListParser | None = (
            None  # of a list parsed over several turns
        )
        self.is_complete = False  # a complete snapshot was received
        self.is_over = False  # nothing more is received; lines may still have to be parsed
        self.is_abandoned = False  # the owner was notified of the end, or must not be
        self.was_slow = False  # it timed out, and a longer timeout might have helped
        self.loop = asyncio.get_running_loop()
        self.deadline = owner.watcher.start_deadline(owner.now_ms())
        self.connect_task = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Connect. If this fails the call ends here, otherwise in `connection_lost`."""
        self.reset_deadline_timer()
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
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        if self.is_abandoned:
            self.transport.abort()
            return
        host, port = self.address
        host_header = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.transport.write(platform_list.build_request(host_header, self.target, self.is_watch))
        self.deadline.note_connected(self.owner.now_ms())
        self.reset_deadline_timer()

    def reset_deadline_timer(self) -> None:
        """Set the timer to the current deadline."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        wait_s = max(0.0, self.deadline.deadline_ms - self.owner.now_ms()) / 1000
        self.deadline_timer = self.loop.call_later(wait_s, self._on_deadline)

    def _on_deadline(self, rechecks_left: int = TIMEOUT_RECHECKS) -> None:
        """End the call: if discovery is partitioned from this node, nothing else closes the connection.

        A busy event loop may run timers before it reads sockets, so data that is already in the kernel gets a
        few more turns to be read.
        """
        if rechecks_left == TIMEOUT_RECHECKS:
            self.was_slow = self.deadline.may_need_longer_timeout(self.owner.now_ms())
        if rechecks_left:
            self.deadline_timer = self.loop.call_later(
                TIMEOUT_RECHECK_INTERVAL_S, self._on_deadline, rechecks_left - 1
            )
        elif self.deadline.has_only_head:
            self.owner.on_silent_after_head(self)
        else:
            self._log_failure("discovery is silent")
            self.close()

    def _log_failure(self, text: str) -> None:
        """Log only the first of consecutive failures as a warning, so that retries do not flood the log."""
        log.log(logging.DEBUG if self.owner.watcher.consecutive_failures else logging.WARNING, text)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        messages = self.response_parser.receive(data)
        if self.response_parser.has_started and not self.is_over:
            is_retry = self.owner.watcher.consecutive_failures > 0
            is_head_alone = is_retry and [*map(type, messages)] == [platform_list.ResponseStarted]
            self.deadline.note_received(
                self.owner.now_ms(), bool(messages), self.response_parser.is_incomplete, is_head_alone
            )
            self.reset_deadline_timer()
        self._handle_messages(messages)

    def eof_received(self) -> None:
        """End the response: a snapshot without a content length ends with its connection."""
        self._handle_messages(self.response_parser.eof())

    def _handle_messages(self, messages: list[platform_list.Message]) -> None:
        for message in messages:
            if self.is_abandoned:
                return
            match message:
                case platform_list.ResponseStarted():
                    if message.is_ok:
                        self.owner.on_accepted()
                case platform_list.Heartbeat():
                    self.owner.on_heartbeat()
                case platform_list.Line():
                    self.unparsed_lines.append(message.text)
                case platform_list.ResponseEnded():
                    self.is_complete = message.is_complete_list
                    self.close()
                case platform_list.InvalidResponse():
                    log.warning("discovery: %s", message.reason)
                    self.close()
        self._parse_lines()

    def _parse_lines(self) -> None:
        """Parse the lines in order, a long line over several turns of the event loop."""
        while not self.is_abandoned and (self.list_parser is not None or self.unparsed_lines):
            try:
                if self.list_parser is None:
                    self.list_parser = _list_parser(self.unparsed_lines.popleft())
                if not self.list_parser.read(PARSE_SLICE_ENTRIES):
                    self.loop.call_soon(self._parse_lines)
                    return
            except Exception as err:
                self._drop_unreadable_lines(err)
                break
            endpoint_list, self.list_parser = self.list_parser.result(), None
            self.owner.on_list(endpoint_list, self.is_watch)
        if not self.is_abandoned:
            self._notify_ended()

    def _drop_unreadable_lines(self, err: Exception) -> None:
        """End the call: the changes in the line are lost, and later lines do not repeat them."""
        if not isinstance(err, (EndpointListError, ValueError, RecursionError)):
            log.error(
                "discovery: a line was not read", exc_info=err
            )  # an unexpected error, not invalid input
        self.is_complete = False
        self.unparsed_lines.clear()
        self.list_parser = None
        self.owner.on_unreadable_line(f"{err}"[:MAX_REASON_CHARACTERS])
        self.close()

    def close(self) -> None:
        """End the call; lines that were received are still parsed."""
        self.is_over = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif not self.connect_task.done():
            self.connect_task.cancel()  # keeps the number of sockets within the number of calls

    def abandon(self) -> None:
        """End the call without notifying its owner."""
        self.is_abandoned = True
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whether or not the response is complete."""
        self.close()
        self._notify_ended()

    def _notify_ended(self) -> None:
        """Notify the owner once all received lines were parsed."""
        if self.is_over and not self.is_abandoned and self.list_parser is None and not self.unparsed_lines:
            self.is_abandoned = True
            self.owner.on_call_ended(self)
