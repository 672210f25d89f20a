"""Gives all connections their turns at the parser, so that the input of some does not hold up the others.

Connections of clients and of backends share one `InputQueue`, which follows the limits of
`core/parsing_budget`. A connection whose input waits for longer than a turn of the loop is not read
meanwhile, so the queue holds at most two reads of each connection.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Protocol

from balancer.core.parsing_budget import (
    SLICE_BYTES,
    TURN_BUDGET_MS,
    ParsingAllowance,
    pause_after_ms,
)

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 16 * 1024  # of one read; bounds the input that waits in the queue
LOG_INTERVAL_S = 10.0


class InputParser(Protocol):
    """A connection whose input is parsed in turns."""

    allowance: ParsingAllowance

    @property
    def may_parse(self) -> bool:
        """Whether its input may be parsed now. Once it may again, it calls `InputQueue.resume`."""

    def parse(self, data: bytes) -> None:
        """Parse a slice of the input. It may close the connection."""

    def pause_input(self) -> None:
        """Read no more until `resume_input`."""

    def resume_input(self) -> None:
        """Read again: the queue holds no input of this connection."""


class InputQueue:
    """Input that was read and waits to be parsed, by connection."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # of the read that is being handled
        self._waiting: dict[InputParser, bytes] = {}
        self._paused: set[InputParser] = set()  # of these, the ones that are not read
        self._timer: asyncio.Handle | None = None
        self._next_run_ms = 0.0
        self._logged_at_ms = -LOG_INTERVAL_S * 1000

    def __len__(self) -> int:
        return len(self._waiting)

    def __repr__(self) -> str:
        return f"<InputQueue of {len(self)} connections>"

    def __contains__(self, connection: object) -> bool:
        return connection in self._waiting

    def queued_bytes(self, connection: InputParser) -> int:
        """Return how much input of a connection waits."""
        return len(self._waiting.get(connection, b""))

    def receive(self, connection: InputParser, data: bytes) -> None:
        """Parse input, or as much of it as its connection may have parsed now; the rest waits."""
        if connection in self._waiting:
            self._waiting[connection] += data
            self._pause(connection)
        elif connection.allowance.is_exhausted(time.monotonic() * 1000):
            self._wait(connection, data)
        else:
            if rest := data[SLICE_BYTES:]:
                self._wait(connection, rest)  # before the parse, which may discard it
            self._parse(connection, data[:SLICE_BYTES])

    def resume(self) -> None:
        """Go on with the input of a connection that may parse again."""
        if self._waiting:
            self._schedule()

    def flush(self, connection: InputParser) -> None:
        """Parse all input of a connection that waits, before it is closed."""
        while data := self._waiting.pop(connection, b""):
            if rest := data[SLICE_BYTES:]:
                self._waiting[connection] = rest
            self._parse(connection, data[:SLICE_BYTES])
        self._resume(connection)

    def discard(self, connection: InputParser) -> None:
        """Drop the input of a connection that is closed."""
        self._waiting.pop(connection, None)
        self._paused.discard(connection)

    def _wait(self, connection: InputParser, data: bytes) -> None:
        self._waiting[connection] = data
        if len(data) + SLICE_BYTES >= READ_BUFFER_BYTES:
            self._pause(connection)  # there is more to read
        self._schedule()

    def _pause(self, connection: InputParser) -> None:
        if connection not in self._paused:
            self._paused.add(connection)
            connection.pause_input()

    def _resume(self, connection: InputParser) -> None:
        if connection in self._paused:
            self._paused.remove(connection)
            connection.resume_input()

    def _parse(self, connection: InputParser, data: bytes) -> float:
        started_ms = time.monotonic() * 1000
        connection.parse(data)
        ended_ms = time.monotonic() * 1000
        connection.allowance.charge(ended_ms, ended_ms - started_ms, len(data))
        return ended_ms - started_ms

    def _schedule(self) -> None:
        if self._timer is None:
            wait_ms = self._next_run_ms - time.monotonic() * 1000
            if wait_ms > 0:
                self._timer = self.loop.call_later(wait_ms / 1000, self._run)
            else:
                self._timer = self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Parse slices of the connection that took least time so far first, then pause."""
        self._timer = None
        work_ms = TURN_BUDGET_MS  # as if it was used up, in case that parsing raises an error
        try:
            work_ms = self._parse_ready()
        finally:
            for connection in self._waiting:
                self._pause(connection)
            if work_ms >= TURN_BUDGET_MS and self._waiting:
                self._next_run_ms = time.monotonic() * 1000 + pause_after_ms(work_ms)
                self._log_wait()
                self._schedule()

    def _parse_ready(self) -> float:
        """Parse up to the budget of a turn; returns the time that it took."""
        work_ms = 0.0
        while work_ms < TURN_BUDGET_MS:
            ready = [connection for connection in self._waiting if connection.may_parse]
            if not ready:
                break
            connection = min(ready, key=lambda waiting: waiting.allowance.spent_ms)
            data = self._waiting.pop(connection)
            if rest := data[SLICE_BYTES:]:
                self._waiting[connection] = rest  # before the parse, which may discard it
            work_ms += self._parse(connection, data[:SLICE_BYTES])
            if connection not in self._waiting:
                self._resume(connection)
        return work_ms

    def _log_wait(self) -> None:
        now_ms = time.monotonic() * 1000
        if len(self) > 1 and now_ms - self._logged_at_ms >= LOG_INTERVAL_S * 1000:
            self._logged_at_ms = now_ms
            log.warning("input queue: input of %d connections waits: it takes much work", len(self))
