"""Discards what clients send behind their last request, so that the end of their connections is noticed.

The end of a connection lies behind all its input, in the buffers of both kernels: some megabytes for each
connection. All connections together are given a share of the loop's time, not of a number of bytes.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import mmap
import socket
import time
from typing import Protocol

from balancer.core.discard_budget import DISCARD_TURN_BUDGET_MS, discard_pause_ms

DISCARD_BYTES = 1024 * 1024  # of one connection at a time
SOCKET_DISCARD_FLAG = socket.MSG_TRUNC  # tcp(7): received bytes are dropped in the kernel, without a copy


class DiscardingConnection(Protocol):
    """A connection whose further input is not used. Its transport does not read meanwhile."""

    sock: socket.socket
    discarded_bytes: int

    def on_input_discarded(self) -> None:
        """Read again: all input that had arrived is discarded, or has ended."""


class InputDiscarder:
    """Discards the input of connections in turns, those of which least was discarded first."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self._buffer = memoryview(mmap.mmap(-1, DISCARD_BYTES))  # never written to, so it takes no memory
        self._since_s: dict[DiscardingConnection, float] = {}  # when each connection was added
        self._order: list[tuple[int, int, DiscardingConnection]] = []  # a heap by discarded bytes
        self._entry_numbers = itertools.count()
        self._timer: asyncio.Handle | None = None

    def __len__(self) -> int:
        return len(self._since_s)

    def __contains__(self, connection: object) -> bool:
        return connection in self._since_s

    def __repr__(self) -> str:
        return f"<InputDiscarder of {len(self)} connections>"

    def add(self, connection: DiscardingConnection) -> None:
        """Discard the input of a connection until all that has arrived is gone."""
        if connection in self._since_s:
            return
        self._since_s[connection] = time.monotonic()
        self._push(connection)
        if self._timer is None:
            self._timer = self.loop.call_soon(self._run)

    def remove(self, connection: DiscardingConnection) -> None:
        """Forget a connection that is closed."""
        self._since_s.pop(connection, None)

    def pending_ms(self, connection: DiscardingConnection) -> float:
        """Return for how long the connection has had input, behind which its end would not be noticed."""
        since_s = self._since_s.get(connection)
        return 0.0 if since_s is None else (time.monotonic() - since_s) * 1000

    def _push(self, connection: DiscardingConnection) -> None:
        heapq.heappush(self._order, (connection.discarded_bytes, next(self._entry_numbers), connection))

    def _run(self) -> None:
        """Discard for up to the budget of a turn, then pause."""
        self._timer = None
        started_s, work_ms = time.monotonic(), 0.0
        while self._order and work_ms < DISCARD_TURN_BUDGET_MS:
            connection = heapq.heappop(self._order)[2]
            if connection in self._since_s:
                self._discard(connection)
            work_ms = (time.monotonic() - started_s) * 1000
        if self._order:
            pause_ms = discard_pause_ms(work_ms, self._order[0][0])
            self._timer = self.loop.call_later(pause_ms / 1000, self._run)

    def _discard(self, connection: DiscardingConnection) -> None:
        try:
            byte_count = connection.sock.recv_into(self._buffer, DISCARD_BYTES, SOCKET_DISCARD_FLAG)
        except OSError:  # nothing more has arrived, or the connection is broken, which the transport will see
            byte_count = 0
        if byte_count:
            connection.discarded_bytes += byte_count
            self._push(connection)
        else:
            self.remove(connection)
            connection.on_input_discarded()
