"""The list of backends: the watch, its lines, reconnecting."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from typing import cast

import httptools

from dillport import interface as api
from dillport.members import Address, ListError, Listing, listing
from dillport.net.node import Node

log = logging.getLogger(__name__)

SILENCE = 5.0  # s without a byte after which a watch is dead: an empty line comes every 2 s
CONNECT = 2.0  # s for a connection to come up
WAIT_FIRST, WAIT_MOST = 0.1, 2.0  # s before a new try, doubled with each failure, jittered
MAX_LINE = 1024 * 1024  # thousands of backends; a longer line would cost a small node its memory


class Call(asyncio.Protocol):
    """One call: a watch that goes on until its connection ends, or the whole list once."""

    def __init__(self, owner: Discovery, address: Address, target: str, watch: bool) -> None:
        self.owner, self.address, self.target, self.watch = owner, address, target, watch
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.rest = bytearray()
        self.timer: asyncio.TimerHandle | None = None
        self.done = self.ended = False

    async def dial(self) -> None:
        """Connect; `connection_lost` or this ends the call."""
        try:
            async with asyncio.timeout(CONNECT):
                await asyncio.get_running_loop().create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError) as err:
            if not self.ended:
                log.warning("discovery: no connection: %s", err or "timed out")
            self._end()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        if self.ended:
            self.transport.abort()
            return
        host, port = self.address
        keep = "keep-alive" if self.watch else "close"
        self.transport.write(
            f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: {keep}\r\n\r\n".encode("ascii")
        )
        self._awake()

    def _awake(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(SILENCE, self._silent)

    def _silent(self) -> None:
        """Guards against a discovery that is cut off: nothing closes its connection, it just says no more."""
        log.warning("discovery is silent")
        self.close()

    def data_received(self, data: bytes) -> None:
        """Read; what is not HTTP ends the call."""
        if self.ended:
            return
        self._awake()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            log.warning("discovery: broken answer: %s", err)
            self.close()

    def on_body(self, body: bytes) -> None:
        """Lines may be cut anywhere."""
        if self.ended or self.parser.get_status_code() != 200:
            return
        self.rest += body
        if self.watch:
            *lines, rest = self.rest.split(b"\n")
            self.rest = bytearray(rest)
            for line in lines:
                self._line(bytes(line))
        if len(self.rest) > MAX_LINE:
            log.warning("discovery: line too long")
            self.close()

    def _line(self, line: bytes) -> None:
        if self.ended or not line.strip():
            return
        try:
            update = listing(json.loads(line))
        except (ListError, ValueError, RecursionError) as err:
            log.warning("discovery: bad line: %.200s", err)
            # What it said is lost, and later changes do not repeat it: only the whole list will do.
            self.owner.revision = None
            self.close()
            return
        self.owner.listed(update)

    def on_message_complete(self) -> None:
        """The end of a whole list, or of a watch."""
        if not self.watch and not self.ended and self.parser.get_status_code() == 200:
            self.done = True
            self._line(bytes(self.rest))
        self.close()

    def eof_received(self) -> None:
        """A list without a length ends with its connection."""
        if not self.watch and not self.done and self.rest:
            self.on_message_complete()

    def close(self) -> None:
        """End the call."""
        if self.transport is not None:
            self.transport.abort()

    def drop(self) -> None:
        """End the call and say nothing of it: its owner no longer wants to know."""
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        if self.timer is not None:
            self.timer.cancel()
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            self.owner.lost(self)


class Discovery:
    """Keeps the node's list up to date; the last list stays in force while discovery is away."""

    def __init__(self, node: Node, address: Address, revision: int | None) -> None:
        self.node, self.address = node, address
        self.revision = revision  # of the list held; None: only the whole list will do
        self.following: Call | None = None  # the watch, or the whole list that a watch goes on from
        self.fetching: set[Call] = set()
        self.wanted = False
        self.wait = WAIT_FIRST
        self.retry: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self.wanted = on
        if not on:
            self._drop()
        elif self.following is None and self.retry is None:
            self._follow()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        call = Call(self, self.address, "/discovery/hosts", False)
        self.fetching.add(call)
        self._start(call)

    def move(self, address: Address) -> None:
        """Ask at another address from now on. Its revisions are its own: the whole list comes first."""
        if address == self.address:
            return
        self._drop()
        self.address, self.revision, self.wait = address, None, WAIT_FIRST
        if self.wanted:
            self._follow()

    def _drop(self) -> None:
        """Forget the calls that are out."""
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        for call in {self.following, *self.fetching} - {None}:
            assert call is not None
            call.drop()
        self.following = None
        self.fetching.clear()

    def _follow(self) -> None:
        self.retry = None
        known = self.revision is not None
        target = f"/discovery/hosts?watch=1&from={self.revision}" if known else "/discovery/hosts"
        self.following = Call(self, self.address, target, known)
        self._start(self.following)

    def _start(self, call: Call) -> None:
        task = self.loop.create_task(call.dial())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def listed(self, update: Listing) -> None:
        """Apply a line by its revision: a change that is not newer than the list held is an old one."""
        self.wait = WAIT_FIRST
        if update.complete:
            self.revision = update.revision
            self.node.list(update, api.ListKind.FULL)
        elif self.revision is not None and update.revision > self.revision:
            self.revision = update.revision
            self.node.list(update, api.ListKind.CHANGES)

    def lost(self, call: Call) -> None:
        """A call has ended: the module hears of it where it asks by itself, else the watch is tried again."""
        self.fetching.discard(call)
        follows = call is self.following
        if follows:
            self.following = None
        if follows and call.done and self.wanted and self.revision is not None:
            self._follow()
        elif self.node.settings.must_ask:
            if not call.done and self.wanted:
                self.node.list_failed()
        elif follows and self.wanted:
            self.retry = self.loop.call_later(self.wait * random.uniform(0.5, 1.5), self._follow)
            self.wait = min(2 * self.wait, WAIT_MOST)
