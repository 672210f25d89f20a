"""Input takes its turns at the parser: in order, bounded, and none is lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import pytest

from balancer.core.parsing_budget import ALLOWANCE_MS, SLICE_BYTES, ParsingAllowance
from balancer.net import input_queue
from balancer.net.input_queue import READ_BUFFER_BYTES, InputQueue
from tests.net.test_backend_pool import run, turn_loop

TINY = b"x" * 10
COSTLY = b"x" * (2 * SLICE_BYTES)


class Clock:
    """A clock in place of the module `time`; only the test and parsing move it."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(input_queue, "time", clock)
    return clock


@dataclass(eq=False)
class Connection:
    """A connection whose parser takes `cost_ms` for each slice."""

    clock: Clock
    name: str
    cost_ms: float
    log: list[str]
    may_parse: bool = True
    parsed: bytes = b""
    paused: list[bool] = field(default_factory=list)
    allowance: ParsingAllowance = field(default_factory=ParsingAllowance)
    on_parse: Any = None

    def parse(self, data: bytes) -> None:
        """Take some time."""
        assert len(data) <= SLICE_BYTES
        self.clock.now_s += self.cost_ms / 1000
        self.parsed += data
        self.log.append(self.name)
        if self.on_parse is not None:
            self.on_parse()

    def pause_input(self) -> None:
        """Note it."""
        self.paused.append(True)

    def resume_input(self) -> None:
        """Note it."""
        self.paused.append(False)


def test_usual_input_is_parsed_at_once_beside_costly_input(clock: Clock) -> None:
    """Guards against the input of some clients that holds up all others for seconds."""

    async def test() -> None:
        queue, log = InputQueue(), list[str]()
        costly = [Connection(clock, f"costly {n}", 1.01 * ALLOWANCE_MS, log) for n in range(40)]
        usual = Connection(clock, "usual", 0.1, log)
        for connection in costly:
            queue.receive(connection, COSTLY)
        queue.receive(usual, TINY)
        assert log == [*(connection.name for connection in costly), "usual"] and len(queue) == 40
        log.clear()
        await turn_loop(1)
        assert len(log) == 1 and len(queue) == 39  # one slice used up the turn
        queue.receive(usual, TINY)
        assert log[-1] == "usual"
        await turn_loop(20)
        assert len(queue) == 39  # the pause that keeps the queue to its share of the time

    run(test)


def test_waiting_input_is_parsed_in_order_and_least_costly_connection_first(clock: Clock) -> None:
    async def test() -> None:
        queue, log = InputQueue(), list[str]()
        costly = Connection(clock, "costly", 3 * ALLOWANCE_MS, log)
        cheap = Connection(clock, "cheap", 0.1, log)
        text = bytes(n % 251 for n in range(3 * SLICE_BYTES))
        queue.receive(costly, text)
        queue.receive(cheap, text)
        queue.receive(costly, TINY)
        while costly in queue:
            clock.now_s += 1.0
            await turn_loop(1)
        assert log == ["costly", "cheap", "cheap", "cheap", "costly", "costly", "costly"]
        assert costly.parsed == text + TINY and cheap.parsed == text

    run(test)


def test_input_of_exhausted_connection_waits_one_turn_without_a_pause(clock: Clock) -> None:
    async def test() -> None:
        queue = InputQueue()
        connection = Connection(clock, "busy", 0.1, [])
        connection.allowance.charge(clock.now_s * 1000, 2 * ALLOWANCE_MS, SLICE_BYTES)
        queue.receive(connection, TINY)
        assert not connection.parsed and connection in queue
        await turn_loop(1)
        assert connection.parsed == TINY and not connection.paused and not len(queue)

    run(test)


def test_full_read_pauses_connection_until_it_is_parsed(clock: Clock) -> None:
    async def test() -> None:
        queue = InputQueue()
        connection = Connection(clock, "long", 0.01, [])
        queue.receive(connection, b"x" * READ_BUFFER_BYTES)
        assert connection.paused == [True]
        await turn_loop(1)
        assert connection.paused == [True, False] and len(connection.parsed) == READ_BUFFER_BYTES

    run(test)


def test_connection_that_may_not_parse_waits_until_it_may(clock: Clock) -> None:
    async def test() -> None:
        queue, log = InputQueue(), list[str]()
        blocked = Connection(clock, "blocked", 0.1, log, may_parse=False)
        other = Connection(clock, "other", 0.1, log)
        queue.receive(blocked, COSTLY)
        queue.receive(other, COSTLY)
        await turn_loop(5)
        assert log == ["blocked", "other", "other"] and blocked in queue and blocked.paused == [True]
        blocked.may_parse = True
        queue.resume()
        await turn_loop(1)
        assert len(blocked.parsed) == len(COSTLY) and blocked.paused == [True, False]

    run(test)


def test_discarded_input_is_not_parsed_also_if_parsing_discards_it(clock: Clock) -> None:
    async def test() -> None:
        queue = InputQueue()
        first, second = (Connection(clock, "", 0.1, []) for _ in range(2))
        first.on_parse = lambda: queue.discard(first)
        queue.receive(first, COSTLY)
        queue.receive(second, COSTLY)
        queue.discard(second)
        await turn_loop(3)
        assert len(first.parsed) == len(second.parsed) == SLICE_BYTES and not len(queue)

    run(test)


def test_flush_parses_all_at_once(clock: Clock) -> None:
    async def test() -> None:
        queue = InputQueue()
        connection = Connection(clock, "", 0.1, [])
        queue.receive(connection, COSTLY + TINY)
        queue.flush(connection)
        assert connection.parsed == COSTLY + TINY and connection not in queue
        queue.flush(connection)
        await asyncio.sleep(0)
        assert connection.parsed == COSTLY + TINY

    run(test)


def test_connection_whose_parsing_was_held_up_does_not_starve(clock: Clock) -> None:
    """Guards against a client that waited for seconds, as the process had no core while it parsed for it."""

    async def test() -> None:
        queue, log = InputQueue(), list[str]()
        costly = [Connection(clock, "costly", 1.01 * ALLOWANCE_MS, log) for _ in range(40)]
        usual = Connection(clock, "usual", 150.0, log)
        queue.receive(usual, TINY)
        usual.cost_ms = 0.1
        for connection in costly:
            queue.receive(connection, COSTLY)
        queue.receive(usual, TINY)
        assert log[-1] == "usual"

    run(test)


def test_costly_connections_take_turns(clock: Clock) -> None:
    async def test() -> None:
        queue, log = InputQueue(), list[str]()
        connections = [Connection(clock, str(n), 2.5 * ALLOWANCE_MS, log) for n in range(3)]
        for connection in connections:
            queue.receive(connection, b"x" * (3 * SLICE_BYTES))
        while len(queue):
            clock.now_s += 0.1
            await turn_loop(1)
        assert log == ["0", "1", "2"] * 3

    run(test)


def test_error_while_parsing_leaves_others_their_turns(clock: Clock) -> None:
    async def test() -> None:
        errors = list[BaseException]()
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context["exception"])
        )
        queue = InputQueue()
        broken, other = (Connection(clock, "", 0.1, []) for _ in range(2))
        queue.receive(broken, COSTLY)
        queue.receive(other, COSTLY)
        broken.on_parse = lambda: 1 / 0
        while other in queue:
            clock.now_s += 0.1
            await turn_loop(1)
        assert len(other.parsed) == len(COSTLY) and isinstance(errors[0], ZeroDivisionError)

    run(test)
