"""The pool of backend connections with races forced: closes, late bytes, endless responses."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import math
import os
import select
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import pytest
import uvloop

from balancer.core.response_attribution import MIN_RESPONSE_TIMES, ResponseHistory
from balancer.core.stall_detector import STALL_THRESHOLD_MS
from balancer.endpoints import parse_endpoint_list
from balancer.interface import AttemptStatus, Idempotency, Settings
from balancer.interface import RequestClass as Class
from balancer.net import backend_pool
from balancer.net.backend_connection import BackendConnection, BackendResponse, Exchange
from balancer.net.backend_pool import IDLE_LIMIT_RATIO, REUSE_DELAY_S, BackendPool
from tests.sockets import DOCUMENTED_BODY_BYTES, HOUR, WAIT, answer

NewLoop = Callable[[], asyncio.AbstractEventLoop]
LOOPS = pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
LONG_REUSE_DELAY_S = 30.0  # no slow machine outlasts it, and it is under the idle limit
READ = Class("read", Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0)


def run(test: Callable[[], Awaitable[None]], new_loop: NewLoop = uvloop.new_event_loop) -> None:
    """Run a test's coroutine with a timeout; errors in the loop's callbacks fail it."""
    loop_errors: list[Any] = []

    async def bounded() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: loop_errors.append(context))
        async with asyncio.timeout(3 * WAIT):
            await test()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(bounded())
    assert not loop_errors


def endpoint_records(port: int, **overrides: Any) -> Any:
    """Return the endpoint records of a list with one backend."""
    row = {"id": "b0", "host_port": f"127.0.0.1:{port}", "phase": "in_service"} | overrides
    return parse_endpoint_list({"revision": 1, "complete": True, "members": [row]}).records


class PoolHarness:
    """A pool and the one backend it knows: a listener whose connections the test controls."""

    def __init__(self, max_connections: int = 10, **overrides: Any) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT)
        # A connect must not time out on a slow machine: the test would wait for a connection that never
        # comes.
        default_settings = {"connection_idle_ms": 60_000.0, "connect_timeout_ms": HOUR}
        self.pool = BackendPool(Settings(classes=(READ,), **default_settings | overrides), max_connections)
        self.port = self.listener.getsockname()[1]
        self.pool.update(endpoint_records(self.port))
        self.measure([0.0] * MIN_RESPONSE_TIMES)
        self.responses: list[BackendResponse] = []
        self.accepted_sockets: list[socket.socket] = []

    def measure(self, response_times_ms: Iterable[float]) -> None:
        """Take these as the backend's response times so far; without any, the reuse delay is longer."""
        history = self.pool.backends["b0"].history = ResponseHistory()
        for response_ms in response_times_ms:
            history.note_response(0, math.inf, response_ms, None)

    def start(self, data: bytes, start_before_s: float = math.inf) -> Any:
        """Start an attempt."""
        return self.pool.start("b0", data, self.responses.append, start_before_s)

    async def accept(self) -> socket.socket:
        """Accept the next connection; its reads and writes block the loop."""
        self.listener.setblocking(False)
        peer, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        peer.setblocking(True)
        peer.settimeout(WAIT)
        self.accepted_sockets.append(peer)
        return peer

    async def read_request(self, peer: socket.socket, byte_count: int) -> bytes:
        """Read that many bytes of a request."""
        peer.setblocking(False)
        out = b""
        while len(out) < byte_count:
            got = await asyncio.get_running_loop().sock_recv(peer, byte_count - len(out))
            assert got
            out += got
        peer.settimeout(WAIT)
        return out

    async def wait_ended(self, count: int) -> BackendResponse:
        """Wait until that many attempts have ended, and return the last of these outcomes."""
        while len(self.responses) < count:
            await asyncio.sleep(0)
        return self.responses[count - 1]

    def close(self) -> None:
        """Close the pool and all sockets."""
        self.pool.close()
        for sock in (*self.accepted_sockets, self.listener):
            sock.close()


async def turn_loop(count: int) -> None:
    """Let the loop turn."""
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition is met."""
    while not condition():
        await asyncio.sleep(0)


def descriptors() -> set[int]:
    """Return the open descriptors of this process."""
    return {int(name) for name in os.listdir("/proc/self/fd") if os.path.exists(f"/proc/self/fd/{name}")}


def connect_in_one_turn(delay_s: float = 0.0) -> None:
    """Make the loop connect without waiting, so that each step falls into a known turn."""

    async def connect(sock: socket.socket, address: Any) -> None:
        sock.setblocking(True)
        sock.connect(address)
        sock.setblocking(False)
        time.sleep(delay_s)

    asyncio.get_running_loop().sock_connect = connect  # type: ignore[method-assign]


# --- one owner of a descriptor


@LOOPS
@pytest.mark.parametrize("connects_in_one_turn", [True, False])
@pytest.mark.parametrize("turn", range(11))
def test_drop_while_connecting_closes_own_descriptor_only(
    new_loop: NewLoop, turn: int, connects_in_one_turn: bool
) -> None:
    """A descriptor number that is closed twice may belong to a client's connection the second time."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        harness = PoolHarness()
        if connects_in_one_turn:
            connect_in_one_turn()
        else:
            await loop.getaddrinfo("127.0.0.1", harness.port)
        # Descriptors that the loop opens once for itself are open after this.
        harness.start(b"GET / HTTP/1.1\r\n\r\n")
        (await harness.accept()).close()
        await harness.wait_ended(1)
        await turn_loop(10)
        gc.collect()  # descriptors that earlier tests left must not be closed during the count
        before = descriptors()
        attempt = harness.start(b"GET / HTTP/1.1\r\n\r\n")
        await turn_loop(turn)
        attempt.drop()
        pair = socket.socketpair()
        copies = [os.dup(harness.listener.fileno()) for _ in range(3)]
        taken = {fd: os.fstat(fd).st_ino for fd in (*copies, *(sock.fileno() for sock in pair))}
        woken = asyncio.Event()
        loop.add_reader(pair[0], woken.set)
        await turn_loop(10)
        assert {fd: os.fstat(fd).st_ino for fd in taken} == taken
        pair[1].send(b"x")
        await woken.wait()  # the reader is still registered as well
        loop.remove_reader(pair[0])
        for fd in copies:
            os.close(fd)
        for sock in pair:
            sock.close()
        await turn_loop(10)
        assert descriptors() == before and harness.pool.connection_count == 0 and len(harness.responses) == 1
        harness.close()

    run(test, new_loop)


@LOOPS
def test_connect_timeout_after_connect_does_not_end_attempt(new_loop: NewLoop) -> None:
    async def test() -> None:
        harness = PoolHarness(connect_timeout_ms=1.0)
        connect_in_one_turn(0.01)
        await turn_loop(3)
        harness.start(b"one")
        peer = await harness.accept()
        assert await harness.read_request(peer, 3) == b"one"
        peer.sendall(answer(b"mine"))
        assert (await harness.wait_ended(1)).body == b"mine"
        harness.close()

    run(test, new_loop)


# --- a response belongs to one request


@LOOPS
def test_reuse_with_late_second_response_serves_no_other_request(
    new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next request was written in between, and its client would get another request's response."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", LONG_REUSE_DELAY_S)

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"mine"))
        await harness.wait_ended(1)
        harness.start(b"two")
        peer.sendall(answer(b"mine again"))  # after the second request, wherever that was written
        other = await harness.accept()
        await harness.read_request(other, 3)
        other.sendall(answer(b"yours"))
        assert (await harness.wait_ended(2)).body == b"yours"
        assert peer.recv(10) == b""  # closed, and only this one
        await wait_until(lambda: harness.pool.connection_count == 1)
        harness.close()

    run(test, new_loop)


def test_reuse_after_delay_takes_last_used_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", LONG_REUSE_DELAY_S)

    async def test() -> None:
        harness = PoolHarness()
        peers = []
        for _ in range(3):
            harness.start(b"one")
            peers.append(await harness.accept())
            await harness.read_request(peers[-1], 3)
        for number, peer in enumerate(peers):
            peer.sendall(answer(b"x"))
            await harness.wait_ended(number + 1)
        idle = harness.pool.backends["b0"].idle
        assert [c.sock.getpeername() for c in idle] == [p.getsockname() for p in peers] and len(idle) == 3
        used = list(idle)
        for connection in used[:2]:
            connection.idle_since_s -= LONG_REUSE_DELAY_S
        harness.start(b"two")
        assert idle == [used[0], used[2]]  # not the last used, which was used too recently
        assert await harness.read_request(peers[1], 3) == b"two"
        harness.start(b"six")
        assert await harness.read_request(peers[0], 3) == b"six"
        monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", 0.5)
        used[2].idle_since_s = time.monotonic()
        harness.start(b"ten")  # the attempt waits for the only one
        assert not used[2].has_written and harness.pool.connection_count == 3
        assert await harness.read_request(peers[2], 3) == b"ten"
        harness.close()

    run(test)


@pytest.mark.parametrize("late_input", [answer(b"mine again"), b""])
def test_reuse_of_connection_closed_during_delay_connects_anew(
    monkeypatch: pytest.MonkeyPatch, late_input: bytes
) -> None:
    """By late bytes or by its end, also at the limit; it counts as one attempt that was sent once."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", LONG_REUSE_DELAY_S)

    async def test() -> None:
        harness = PoolHarness(max_connections=1)
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"x"))
        await harness.wait_ended(1)
        harness.start(b"two")
        assert harness.pool.connection_count == 1
        if late_input:
            peer.sendall(late_input)
        else:
            peer.shutdown(socket.SHUT_WR)
        assert await harness.read_request(await harness.accept(), 3) == b"two"
        assert peer.recv(10) == b"" and harness.pool.connection_count == 1 and len(harness.responses) == 1
        harness.close()

    run(test)


@pytest.mark.parametrize("change", ["drop", "drain", "gone", "moved"])
def test_attempt_waiting_for_reuse_when_cancelled_writes_nothing(
    monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    """Nothing is written for a client that has disconnected, or to a backend that drains, left or moved."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", 0.05)

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"x"))
        await harness.wait_ended(1)
        attempt = harness.start(b"two")
        assert not attempt.may_have_left
        if change == "drop":
            attempt.drop()
        elif change == "gone":
            harness.pool.update((), ["b0"])
        else:
            phase = "terminating" if change == "drain" else "in_service"
            harness.pool.update(endpoint_records(harness.port + (change == "moved"), phase=phase))
        assert change == "drop" or (await harness.wait_ended(2)).status is AttemptStatus.NOT_STARTED
        assert await asyncio.to_thread(peer.recv, 10) == b""
        await wait_until(lambda: not harness.pool.connection_count)
        harness.close()

    run(test)


@pytest.mark.parametrize("idle_limit_ms", [0.0, 10.0, 300.0])
def test_release_with_short_idle_limit_keeps_only_reusable(idle_limit_ms: float) -> None:
    """A connection is kept only if it can be reused before the backend closes it."""

    async def test() -> None:
        harness = PoolHarness(connection_idle_ms=idle_limit_ms)
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        began = time.monotonic()
        peer.sendall(answer(b"x"))
        await harness.wait_ended(1)
        assert (
            harness.pool.connection_count == len(harness.pool.backends["b0"].idle) == (idle_limit_ms == 300.0)
        )
        assert await asyncio.to_thread(peer.recv, 10) == b""
        assert idle_limit_ms < 300 or time.monotonic() - began > IDLE_LIMIT_RATIO * 0.3
        await wait_until(lambda: not harness.pool.connection_count)
        harness.close()

    run(test)


@LOOPS
def test_response_before_request_is_not_served(new_loop: NewLoop) -> None:
    """The request is not sent at all, so that it may go to another backend, whatever its class."""

    async def test() -> None:
        harness = PoolHarness()
        connect_in_one_turn()
        harness.start(b"one")
        await turn_loop(1)  # it is connected, and about to be written
        harness.listener.setblocking(True)
        peer, _ = harness.listener.accept()
        peer.sendall(answer(b"nobody's"))
        assert (await harness.wait_ended(1)).status is AttemptStatus.CONNECT_FAILED
        assert peer.recv(10) == b"" and harness.pool.connection_count == 0
        peer.close()
        harness.close()

    run(test, new_loop)


# More than the kernels buffer.
LARGE_REQUEST = b"POST / HTTP/1.1\r\nContent-Length: 64000000\r\n\r\n" + b"x" * 64_000_000


@LOOPS
@pytest.mark.parametrize(
    ("text", "status"),
    [
        (answer(b"not mine"), AttemptStatus.CONNECT_FAILED),
        (answer(b"", "503 Service Unavailable", "Not-Started: 1"), AttemptStatus.REJECTED),
        (answer(b"", "500 Internal Server Error"), AttemptStatus.ERROR),
    ],
)
def test_response_before_last_request_byte_closes_connection(
    new_loop: NewLoop, text: bytes, status: AttemptStatus
) -> None:
    async def test() -> None:
        harness = PoolHarness()
        attempt = harness.start(LARGE_REQUEST)
        peer = await harness.accept()
        await harness.read_request(peer, 1)
        assert not attempt.may_have_left
        peer.sendall(text)
        assert (await harness.wait_ended(1)).status is status
        assert harness.pool.connection_count == 0
        harness.close()

    run(test, new_loop)


@pytest.mark.parametrize(
    ("text", "status", "is_kept"),
    [
        (answer(b"mine") + b"x", AttemptStatus.OK, False),
        (answer(b"mine") + answer(b"mine again"), AttemptStatus.OK, False),
        (b"HTTP/1.1 102 P\r\nNot-Started: 1\r\n\r\n" * 3 + answer(b"mine"), AttemptStatus.OK, True),
        (b"HTTP/1.1 102 P\r\n\r\n" + answer(b"", "503 Busy", "Not-Started: 1"), AttemptStatus.REJECTED, True),
        (b"HTTP/1.1 103 E\r\nContent-Length: 9000000\r\n\r\n" + answer(b"mine"), AttemptStatus.OK, True),
        (b"HTTP/1.1 102 P\r\nNot-Started: 1\r\n\r\n" + answer(b"", "503 Busy"), AttemptStatus.ERROR, True),
        (
            b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot-Started: 1\r\n\r\n",
            AttemptStatus.ERROR,
            True,
        ),
    ],
)
def test_response_with_surrounding_input_is_parsed(text: bytes, status: AttemptStatus, is_kept: bool) -> None:
    """In one packet, and byte by byte up to the end of the response."""

    async def test() -> None:
        harness = PoolHarness()
        for count, step in ((1, len(text)), (2, 1)):
            harness.start(b"one")
            peer = await harness.accept()
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await harness.read_request(peer, 3)
            for at in range(0, len(text), step):
                if len(harness.responses) < count:
                    peer.sendall(text[at : at + step])
                    await turn_loop(2)
            assert (await harness.wait_ended(count)).status is status
            if step > 1:
                assert harness.pool.connection_count == is_kept
            harness.pool.close_idle("b0")
        harness.close()

    run(test)


# --- a response that ends with its connection

RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n"


@LOOPS
@pytest.mark.parametrize("one_turn", [True, False])
@pytest.mark.parametrize("reset", ["", "reset", "closed and reset"])
@pytest.mark.parametrize(
    ("text", "status"),
    [
        (RESPONSE_WITHOUT_LENGTH + b"mine", AttemptStatus.OK),
        (RESPONSE_WITHOUT_LENGTH, AttemptStatus.OK),
        (
            b"HTTP/1.1 102 P\r\nContent-Length: 0\r\n\r\n" + RESPONSE_WITHOUT_LENGTH + b"mine",
            AttemptStatus.OK,
        ),
        (b"HTTP/1.0 503 Busy\r\nNot-Started: 1\r\n\r\nbusy", AttemptStatus.REJECTED),
        (b"HTTP/1.0 500 Broken\r\n\r\nbroken", AttemptStatus.ERROR),
        (RESPONSE_WITHOUT_LENGTH[:-2], AttemptStatus.RESET),
        (b"HTTP/1.1 102 P\r\n\r\n", AttemptStatus.RESET),
        (b"", AttemptStatus.RESET),
        (answer(b"mine")[:-1], AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nmine", AttemptStatus.RESET),
    ],
)
def test_response_without_length_ends_at_close_and_fails_at_reset(
    new_loop: NewLoop, text: bytes, status: AttemptStatus, reset: str, one_turn: bool
) -> None:
    """Also if the last bytes and the reset arrive before the loop turns."""

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        if text:
            peer.sendall(text)
        if not one_turn:
            await turn_loop(5)
        if reset == "closed and reset":
            peer.shutdown(socket.SHUT_WR)
        if reset:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        response = await harness.wait_ended(1)
        assert (
            response.status is (AttemptStatus.RESET if reset else status)
            and harness.pool.connection_count == 0
        )
        assert response.body == (
            b"" if reset or status is not AttemptStatus.OK or text == RESPONSE_WITHOUT_LENGTH else b"mine"
        )
        await turn_loop(10)
        assert len(harness.responses) == 1
        harness.close()

    run(test, new_loop)


@LOOPS
def test_response_without_length_before_request_left_is_not_served(
    new_loop: NewLoop,
) -> None:
    async def test() -> None:
        harness = PoolHarness()
        harness.start(LARGE_REQUEST)
        peer = await harness.accept()
        await harness.read_request(peer, 1)
        peer.sendall(RESPONSE_WITHOUT_LENGTH + b"not mine")
        peer.shutdown(socket.SHUT_WR)
        await turn_loop(5)
        peer.close()
        assert (
            await harness.wait_ended(1)
        ).status is AttemptStatus.CONNECT_FAILED and harness.pool.connection_count == 0
        harness.close()

    run(test, new_loop)


@LOOPS
def test_attempt_waiting_for_reuse_after_stall_is_not_started(
    new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The backend drains during the stall; under uvloop the reuse timer runs before that is read."""
    # The second request is started within this time.
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", reuse_delay_s := 0.5)

    async def test() -> None:
        harness, loop = PoolHarness(), asyncio.get_running_loop()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"x"))
        await harness.wait_ended(1)
        stall_writer, stall_reader = socket.socketpair()
        change_writer, change_reader = socket.socketpair()

        def stall() -> None:
            loop.remove_reader(stall_reader)
            change_writer.send(b"x")
            time.sleep(reuse_delay_s + STALL_THRESHOLD_MS / 1000)

        def read_change() -> None:
            loop.remove_reader(change_reader)
            harness.pool.update(endpoint_records(harness.port, phase="terminating"))

        loop.add_reader(stall_reader, stall)
        loop.add_reader(change_reader, read_change)
        await turn_loop(3)
        harness.start(b"two")
        stall_writer.send(b"x")
        assert (await harness.wait_ended(2)).status is AttemptStatus.NOT_STARTED
        assert await asyncio.to_thread(peer.recv, 10) == b""
        for sock in (stall_writer, stall_reader, change_writer, change_reader):
            sock.close()
        harness.close()

    run(test, new_loop)


# --- a retry that comes too late


@LOOPS
@pytest.mark.parametrize("is_kept", [True, False])
def test_attempt_after_window_is_not_written(new_loop: NewLoop, is_kept: bool) -> None:
    """The connection for a keyed retry comes up after its window: the effect could occur twice."""

    async def test() -> None:
        loop, harness, may_connect = asyncio.get_running_loop(), PoolHarness(), asyncio.Event()
        connect, start_before_s = loop.sock_connect, time.monotonic() + 0.01

        async def connect_when_open(sock: socket.socket, address: Any) -> None:
            await connect(sock, address)
            await may_connect.wait()

        if is_kept:
            harness.start(b"one")
            peer = await harness.accept()
            await harness.read_request(peer, 3)
            peer.sendall(answer(b"x"))
            await harness.wait_ended(1)
            harness.pool.backends["b0"].idle[0].idle_since_s -= LONG_REUSE_DELAY_S
            await asyncio.to_thread(time.sleep, 0.02)
            harness.start(b"two", start_before_s)
        else:
            loop.sock_connect = connect_when_open  # type: ignore[method-assign]
            harness.start(b"two", start_before_s)
            peer = await harness.accept()
            await asyncio.to_thread(time.sleep, 0.02)
            assert not harness.responses
            may_connect.set()
        assert await asyncio.to_thread(peer.recv, 10) == b""
        assert (
            await harness.wait_ended(1 + is_kept)
        ).status is AttemptStatus.NOT_STARTED and harness.pool.connection_count == 0
        harness.start(b"ten", time.monotonic() + 3600)
        assert await harness.read_request(await harness.accept(), 3) == b"ten"
        harness.close()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("is_complete", [True, False])
def test_attempt_partly_written_at_window_end_never_completes(new_loop: NewLoop, is_complete: bool) -> None:
    """One whose last byte has left by then continues."""

    async def test() -> None:
        harness = PoolHarness()
        start_before_s = time.monotonic() + (3600.0 if is_complete else 1.0)
        attempt = harness.start(LARGE_REQUEST, start_before_s)
        peer = await harness.accept()
        left = len(LARGE_REQUEST) - len(
            await harness.read_request(peer, len(LARGE_REQUEST) if is_complete else 1)
        )
        assert attempt.may_have_left is is_complete
        if is_complete:
            attempt.connection._on_window_end(attempt)
        else:
            await asyncio.to_thread(time.sleep, max(0.0, start_before_s - time.monotonic()))

        def rest() -> int:
            nonlocal left
            while left and (got := len(peer.recv(1_000_000))):
                left -= got
            return left

        assert (await asyncio.to_thread(rest) == 0) is is_complete
        if is_complete:
            peer.sendall(answer(b"mine"))
        assert (await harness.wait_ended(1)).status is (
            AttemptStatus.OK if is_complete else AttemptStatus.NOT_STARTED
        )
        harness.close()

    run(test, new_loop)


# --- endless responses

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALLEST_CHUNKS = b"".join(b"1\r\n%c\r\n" % (97 + n % 26) for n in range(DOCUMENTED_BODY_BYTES))


def test_response_in_smallest_chunks_is_served() -> None:
    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        await asyncio.to_thread(peer.sendall, CHUNKED + SMALLEST_CHUNKS + b"0\r\n\r\n")
        response = await harness.wait_ended(1)
        assert response.status is AttemptStatus.OK and len(response.body) == DOCUMENTED_BODY_BYTES
        harness.close()

    run(test)


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (CHUNKED + b"1;", b"x" * 1024),
        (CHUNKED, b"1;" + b"x" * 1024 + b"\r\ny\r\n"),
        (CHUNKED, b"1\r\ny\r\n"),
        (CHUNKED + b"0\r\n", b"More: " + b"x" * 1024 + b"\r\n"),
        (CHUNKED + b"0\r\nMore: ", b"x" * 1024),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"More: x\r\n"),
        (CHUNKED, b"000000000000"),
        (b"", b"\r\n"),
    ],
)
def test_endless_response_is_aborted(start: bytes, repeated: bytes, caplog: pytest.LogCaptureFixture) -> None:
    """Whichever part is endless; one plain line is logged, and the next request is served."""

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        text = start + repeated * (1_000_000 // len(repeated))  # this much, and no end
        with contextlib.suppress(ConnectionError):
            await asyncio.to_thread(peer.sendall, text)
        assert (await harness.wait_ended(1)).status is AttemptStatus.RESET
        assert harness.pool.connection_count == 0 and len(caplog.records) == 1
        assert len(caplog.records[0].getMessage()) < 200 and caplog.records[0].exc_info is None
        harness.start(b"two")
        other = await harness.accept()
        await harness.read_request(other, 3)
        other.sendall(answer(b"yours"))
        assert (await harness.wait_ended(2)).body == b"yours"
        harness.close()

    run(test)


# --- requests that certainly never ran


def hook_write(monkeypatch: pytest.MonkeyPatch, before: Callable[[], Any], after: Callable[[], Any]) -> None:
    """Run callables before and after each write to a backend, in the same turn."""
    write = BackendConnection.write

    def hooked_write(connection: BackendConnection, attempt: Exchange) -> None:
        before()
        write(connection, attempt)
        after()

    monkeypatch.setattr(BackendConnection, "write", hooked_write)


def do_nothing() -> None:
    """Do nothing."""


@LOOPS
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("order", ["seen", "before", "after"])
def test_idle_connection_closed_during_write_reports_outcome(
    new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch, order: str, reset: bool
) -> None:
    """After the check for a close, a request that has left may have run; one that could not leave has not."""

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"x"))
        await harness.wait_ended(1)
        harness.pool.backends["b0"].idle[0].idle_since_s -= REUSE_DELAY_S

        def end() -> None:
            if reset:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()

        if order == "seen":
            end()
            harness.start(b"two")  # the loop has not turned
            assert await harness.read_request(await harness.accept(), 3) == b"two"
        else:
            hook_write(monkeypatch, *((end, do_nothing) if order == "before" else (do_nothing, end)))
            harness.start(b"two")
            has_not_left = reset and order == "before"  # its write fails at once
            assert (await harness.wait_ended(2)).status is (
                AttemptStatus.CONNECT_FAILED if has_not_left else AttemptStatus.RESET
            )
            assert harness.pool.connection_count == 0
        await turn_loop(10)
        harness.close()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("reset", [True, False])
def test_new_connection_closed_in_turn_of_write_is_connect_failure(new_loop: NewLoop, reset: bool) -> None:
    async def test() -> None:
        harness = PoolHarness()
        connect_in_one_turn()
        harness.start(b"one")
        await turn_loop(1)
        harness.listener.setblocking(True)
        peer, _ = harness.listener.accept()
        if reset:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        assert (
            await harness.wait_ended(1)
        ).status is AttemptStatus.CONNECT_FAILED and harness.pool.connection_count == 0
        await turn_loop(10)
        harness.close()

    run(test, new_loop)


@LOOPS
def test_reset_within_rejection_is_not_a_rejection(new_loop: NewLoop) -> None:
    """Its head says that the request was not started, but the response is incomplete."""

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"xx", "503 Busy", "Not-Started: 1")[:-1])
        peer.close()
        assert (
            await harness.wait_ended(1)
        ).status is AttemptStatus.RESET and harness.pool.connection_count == 0
        harness.close()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("is_complete", [False, True])
@pytest.mark.parametrize("ending", ["reset", "closed", "half closed"])
def test_break_of_partly_written_request_reports_whether_it_may_have_run(
    new_loop: NewLoop, ending: str, is_complete: bool
) -> None:
    """It never ran while a byte of it is still here; once the last has left, it may have."""

    async def test() -> None:
        harness = PoolHarness()
        attempt = harness.start(LARGE_REQUEST)
        peer = await harness.accept()
        await harness.read_request(peer, 1)
        assert not attempt.may_have_left
        if ending == "half closed":
            peer.shutdown(socket.SHUT_WR)
            await turn_loop(5)
        if is_complete:
            await harness.read_request(peer, len(LARGE_REQUEST) - 1)
        if ending == "reset":
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        assert (await harness.wait_ended(1)).status is (
            AttemptStatus.RESET if is_complete else AttemptStatus.CONNECT_FAILED
        )
        assert harness.pool.connection_count == 0
        await turn_loop(10)
        harness.close()

    run(test, new_loop)


@LOOPS
def test_drop_in_turn_of_last_byte_sends_rest_only_if_it_left(new_loop: NewLoop) -> None:
    """If dropped while a byte is still here, the rest never leaves; afterwards it may have run."""

    async def test() -> None:
        harness = PoolHarness()
        attempt = harness.start(LARGE_REQUEST)
        peer = await harness.accept()
        await harness.read_request(peer, 1)
        assert not attempt.may_have_left
        attempt.drop()
        peer.settimeout(WAIT)
        got = 1

        def rest() -> int:
            return got + sum(iter(lambda: len(peer.recv(1_000_000)), 0))

        assert await asyncio.to_thread(rest) < len(LARGE_REQUEST) and harness.pool.connection_count == 0
        attempt = harness.start(LARGE_REQUEST)
        peer = await harness.accept()
        left = len(LARGE_REQUEST)
        while not attempt.may_have_left:
            assert left > 0
            peer.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                left -= len(peer.recv(65536))
            await turn_loop(1)
        peer.settimeout(WAIT)
        attempt.drop()  # `may_have_left` was true: all of it is there
        assert await asyncio.to_thread(lambda: sum(iter(lambda: len(peer.recv(1_000_000)), 0))) == left
        harness.close()

    run(test, new_loop)


# --- one attempt in flight


@LOOPS
@pytest.mark.parametrize("is_large", [False, True])
def test_drop_closes_connection_before_next_request_is_written(new_loop: NewLoop, is_large: bool) -> None:
    async def test() -> None:
        harness = PoolHarness()
        attempt = harness.start(LARGE_REQUEST if is_large else b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 1 if is_large else 3)
        attempt.drop()
        harness.start(b"two")
        other = await harness.accept()
        while not select.select([other], [], [], 0)[0]:
            await turn_loop(1)
        peer.setblocking(False)
        if is_large:  # the end follows what the kernels hold of it: the request never becomes complete
            peer.settimeout(WAIT)
            assert await asyncio.to_thread(lambda: len(peer.makefile("rb").read())) < len(LARGE_REQUEST) - 1
        else:
            assert peer.recv(1) == b""
        harness.close()

    run(test, new_loop)


# --- while connecting


@LOOPS
@pytest.mark.parametrize("turn", range(4))
@pytest.mark.parametrize("change", ["removed", "removed and back", "draining", "moved"])
def test_list_change_while_connecting_does_not_start_attempt(
    new_loop: NewLoop, turn: int, change: str
) -> None:
    """The attempt is not written or started, and the connection is no longer counted."""

    async def test() -> None:
        harness, other = PoolHarness(max_connections=1), socket.create_server(("127.0.0.1", 0))
        connect_in_one_turn()
        attempt = harness.start(b"one")
        await turn_loop(turn)
        written = attempt.connection.has_written
        if change.startswith("removed"):
            harness.pool.update((), ["b0"])
        if change == "removed and back":
            harness.pool.update(endpoint_records(harness.port))
        if change == "draining":
            harness.pool.update(endpoint_records(harness.port, phase="terminating"))
        if change == "moved":
            harness.pool.update(endpoint_records(other.getsockname()[1]))
        if not written:
            end = await harness.wait_ended(1)
            assert end.status is AttemptStatus.NOT_STARTED and harness.pool.connection_count == 0
            assert (await harness.accept()).recv(10) == b""
        other.close()
        harness.close()

    run(test, new_loop)


def test_pool_at_limit_while_connecting_starts_no_more() -> None:
    async def test() -> None:
        harness = PoolHarness(max_connections=2)
        for text in (b"one", b"two", b"six"):
            harness.start(text)
        assert [end.status for end in harness.responses] == [
            AttemptStatus.NOT_STARTED
        ] and harness.pool.connection_count == 2
        got = {await harness.read_request(await harness.accept(), 3) for _ in range(2)}
        assert got == {b"one", b"two"}
        harness.close()

    run(test)
