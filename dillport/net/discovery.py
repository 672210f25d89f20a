"""The list of backends: the watch, its lines, reconnecting."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from typing import cast

import httptools

from dillport import interface as api
from dillport.net.config import Address, ListError, News, news
from dillport.net.node import Node

log = logging.getLogger(__name__)

SILENCE = 5.0  # s without a byte after which a watch is dead: an empty line comes every 2 s
CONNECT = 2.0  # s for a connection to come up
WAIT_FIRST, WAIT_MOST = 0.1, 2.0  # s before a new try, doubled with each failure, jittered
MAX_LINE = 8 * 1024 * 1024


class Call(asyncio.Protocol):
    """One call: a watch that goes on until its connection ends, or the whole list once."""

    def __init__(self, owner: Discovery, target: str, watch: bool) -> None:
        self.owner, self.target, self.watch = owner, target, watch
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.rest = bytearray()
        self.timer: asyncio.TimerHandle | None = None
        self.done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        host, port = self.owner.address
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
        self._awake()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            log.warning("discovery: broken answer: %s", err)
            self.close()

    def on_body(self, body: bytes) -> None:
        """Lines may be cut anywhere."""
        if self.parser.get_status_code() != 200:
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
        if not line.strip():
            return
        try:
            update = news(json.loads(line))
        except (ListError, ValueError, RecursionError) as err:
            log.warning("discovery: bad line: %.200s", err)
            # What it said is lost, and later changes do not repeat it: only the whole list will do.
            self.owner.revision = 0
            self.close()
            return
        self.owner.news(update)

    def on_message_complete(self) -> None:
        """The end of a whole list, or of a watch."""
        if not self.watch and self.parser.get_status_code() == 200:
            self.done = True
            self._line(bytes(self.rest))
        self.close()

    def close(self) -> None:
        """End the call."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        if self.timer is not None:
            self.timer.cancel()
        self.owner.lost(self)


class Discovery:
    """Keeps the node's list up to date; the last list stays in force while discovery is away."""

    def __init__(self, node: Node, address: Address, revision: int) -> None:
        self.node, self.address, self.revision = node, address, revision
        self.call: Call | None = None
        self.wanted = self.connecting = False
        self.wait = WAIT_FIRST
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self.wanted = on
        if not on and self.call is not None:
            self.call.close()
        elif on and self.call is None and not self.connecting:
            self._connect()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self._start(Call(self, "/discovery/hosts", False))

    def _connect(self) -> None:
        if not self.wanted:
            return
        self.connecting = True
        self._start(Call(self, f"/discovery/hosts?watch=1&from={self.revision}", True))

    def _start(self, call: Call) -> None:
        task = self.loop.create_task(self._dial(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, call: Call) -> None:
        try:
            async with asyncio.timeout(CONNECT):
                await self.loop.create_connection(lambda: call, *self.address)
        except (OSError, TimeoutError) as err:
            log.warning("discovery: no connection: %s", err or "timed out")
            self.lost(call)
            return
        if call.watch:
            self.call, self.connecting = call, False

    def news(self, update: News) -> None:
        """Apply a line by its revision: a change that is not newer than the list held is an old one."""
        self.wait = WAIT_FIRST
        if update.complete:
            self.revision = update.revision
            self.node.list(update, api.ListKind.FULL)
        elif update.revision > self.revision:
            self.revision = update.revision
            self.node.list(update, api.ListKind.CHANGES)

    def lost(self, call: Call) -> None:
        """A call has ended: the module hears of it where it asks by itself, else the watch is tried again."""
        if call.watch:
            self.call, self.connecting = None, False
        if self.node.settings.must_ask:
            if not call.done and self.wanted:
                self.node.list_failed()
        elif call.watch and self.wanted:
            self.connecting = True
            self.loop.call_later(self.wait * random.uniform(0.5, 1.5), self._connect)
            self.wait = min(2 * self.wait, WAIT_MOST)
