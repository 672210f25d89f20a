"""Input behind a last request is discarded fast enough to notice disconnects, and leaves time to others."""

from __future__ import annotations

import asyncio
import errno
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from balancer.core.discard_budget import (
    DISCARD_TURN_BUDGET_MS,
    ENDLESS_INPUT_BYTES,
    MAX_CHARGED_DISCARD_MS,
    MAX_DISCARD_SHARE,
    MAX_ENDLESS_DISCARD_SHARE,
    discard_pause_ms,
)
from balancer.net import input_discard
from balancer.net.http_server import MAX_HIDDEN_DISCONNECT_MS
from balancer.net.input_discard import InputDiscarder
from tests.net.test_graceful_shutdown import (
    DISCONNECT_LIMIT_MS,
    connect_client,
    never_respond,
    read_request,
)
from tests.net.test_http_server import run, running_http_server, until
from tests.net.test_input_queue import Clock
from tests.sockets import PATIENT, WAIT, Backend, Message

READ_MS = 0.5  # that each read takes on the clock of these tests
CLIENTS, REQUESTS = 40, 75  # and requests that each sends behind its first one: 3 MB
FLOOD = b"POST /once HTTP/1.1\r\nContent-Length: 40000\r\n\r\n" + bytes(40_000)


@dataclass(eq=False)
class FakeSocket:
    """A socket from which `reads` reads bring a byte each."""

    clock: Clock
    reads: float

    def recv_into(self, buffer: memoryview, byte_count: int, flags: int) -> int:
        """Take some time."""
        if not self.reads:
            raise BlockingIOError
        self.clock.now_s += READ_MS / 1000
        self.reads -= 1
        return 1


@dataclass(eq=False)
class Connection:
    """A connection whose input is discarded."""

    sock: Any
    discarded_bytes: int = 0
    resumed: list[int] = field(default_factory=list)

    def on_input_discarded(self) -> None:
        """Note after how many bytes."""
        self.resumed.append(self.discarded_bytes)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(input_discard, "time", clock)
    return clock


def test_discarding_takes_its_share_of_the_time(clock: Clock) -> None:
    async def test() -> None:
        discarder = InputDiscarder()
        connections = [Connection(FakeSocket(clock, float("inf"))) for _ in range(100)]
        for connection in connections:
            discarder.add(connection)
        discarder._run()
        reads = sum(connection.discarded_bytes for connection in connections)
        assert 0 < reads <= DISCARD_TURN_BUDGET_MS / READ_MS + 1

    run(test)


@pytest.mark.parametrize(
    ("discarded_bytes", "share"),
    [(ENDLESS_INPUT_BYTES, MAX_DISCARD_SHARE), (ENDLESS_INPUT_BYTES + 1, MAX_ENDLESS_DISCARD_SHARE)],
)
def test_pause_after_discarding_leaves_the_rest_of_the_time(discarded_bytes: int, share: float) -> None:
    work_ms = DISCARD_TURN_BUDGET_MS
    assert work_ms / (work_ms + discard_pause_ms(work_ms, discarded_bytes)) == share
    most_ms = discard_pause_ms(MAX_CHARGED_DISCARD_MS, discarded_bytes)
    assert discard_pause_ms(1000.0, discarded_bytes) == most_ms  # the process was held up


def test_connection_that_sends_endlessly_does_not_delay_others(clock: Clock) -> None:
    """Guards against disconnects that stay hidden because other clients flood."""

    async def test() -> None:
        discarder = InputDiscarder()
        endless = [Connection(FakeSocket(clock, float("inf")), 1000) for _ in range(20)]
        short = [Connection(FakeSocket(clock, 3)) for _ in range(20)]
        for connection in (*endless, *short):
            discarder.add(connection)
        for _ in range(int(20 * 3 * READ_MS / DISCARD_TURN_BUDGET_MS) + 1):
            discarder._run()
        assert all(connection.resumed == [3] for connection in short)
        assert not any(connection.resumed for connection in endless)
        assert discarder.pending_ms(endless[0]) > 0.0 == discarder.pending_ms(short[0])
        discarder.remove(endless[0])
        assert endless[0] not in discarder and len(discarder) == 19

    run(test)


class ProcessorClock:
    """A clock in place of the module `time`: the processor time of this thread, whatever else is running."""

    monotonic = staticmethod(time.thread_time)


def test_disconnects_of_many_clients_that_sent_much_are_noticed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against attempts for clients that sent 3 MB at once and had gone 0.17 to 0.32 s before."""
    pauses_ms = list[float]()

    def noted(work_ms: float, least_discarded_bytes: int) -> float:
        pauses_ms.append(discard_pause_ms(work_ms, least_discarded_bytes))
        return pauses_ms[-1]

    monkeypatch.setattr(input_discard, "discard_pause_ms", noted)
    monkeypatch.setattr(input_discard, "time", ProcessorClock)

    async def test() -> None:
        backend = Backend("b0", never_respond)
        async with running_http_server(tmp_path, backend, settings=PATIENT) as http_server:
            socks = [connect_client(http_server, read_request()) for _ in range(CLIENTS)]
            await until(lambda: len(http_server.node.open_requests) == CLIENTS)
            for sock in socks:
                sock.send(FLOOD * REQUESTS)  # what the kernels hold of it
                sock.close()
            began_s = time.thread_time()
            while http_server.node.open_requests:
                await asyncio.sleep(0)  # so that the processor time has the pauses in it
            elapsed_ms = (time.thread_time() - began_s) * 1000
            assert pauses_ms and sum(pauses_ms) < DISCONNECT_LIMIT_MS
            assert elapsed_ms < DISCONNECT_LIMIT_MS, (elapsed_ms, sum(pauses_ms))

    run(test)


async def reset_first_request(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Break the connection once the test says so, so that the node may try again."""
    await asyncio.sleep(10 * MAX_HIDDEN_DISCONNECT_MS / 1000)
    writer.transport.abort()


@pytest.mark.parametrize("is_closed", [True, False])
def test_no_retry_while_unread_input_may_hide_a_disconnect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_closed: bool
) -> None:
    """Guards against retries for clients that have gone, where their input is not discarded in time."""
    monkeypatch.setattr(InputDiscarder, "_run", lambda self: None)

    async def test() -> None:
        backend = Backend("b0", reset_first_request)
        async with running_http_server(tmp_path, backend, settings=PATIENT) as http_server:
            sock, loop = connect_client(http_server, read_request()), asyncio.get_running_loop()
            await until(backend.got.qsize)
            await loop.sock_sendall(sock, FLOOD * 3)
            if is_closed:
                sock.close()
            else:  # it may try again elsewhere
                assert b" 503 " in await asyncio.wait_for(loop.sock_recv(sock, 100), WAIT)
            await until(lambda: not http_server.node.open_requests)
            balancer = http_server.node.balancer
            assert backend.got.qsize() == 1 and not (balancer.requests or balancer.in_flight)
            sock.close()

    run(test)


@pytest.mark.parametrize("has_input", [False, True])
def test_disconnect_that_is_not_read_yet_is_seen_before_an_attempt(tmp_path: Path, has_input: bool) -> None:
    async def test() -> None:
        async with running_http_server(tmp_path, settings=PATIENT) as http_server:
            sock = connect_client(http_server)
            await until(lambda: http_server.connections)
            (connection,) = http_server.connections
            assert not connection.may_be_gone()
            if has_input:
                sock.sendall(b"GET")
            sock.close()
            assert connection.may_be_gone()  # the loop has not turned since
            await until(lambda: not http_server.connections)
            assert connection.may_be_gone()

    run(test)


@pytest.mark.parametrize(("descriptor", "may_be_gone"), [(5, False), (-1, True)])
def test_client_is_served_where_the_system_does_not_tell_its_state(
    tmp_path: Path, descriptor: int, may_be_gone: bool
) -> None:
    """Guards against a node that rejects everything where TCP_INFO is not supported."""

    class UnsupportedSocket:
        def getsockopt(self, level: int, option: int, byte_count: int) -> bytes:
            raise OSError(errno.ENOPROTOOPT, "not supported")

        def fileno(self) -> int:
            return descriptor

    async def test() -> None:
        async with running_http_server(tmp_path, settings=PATIENT) as http_server:
            sock = connect_client(http_server)
            await until(lambda: http_server.connections)
            (connection,) = http_server.connections
            unsupported: Any = UnsupportedSocket()
            connection.sock = unsupported
            assert connection.may_be_gone() is may_be_gone
            sock.close()

    run(test)
