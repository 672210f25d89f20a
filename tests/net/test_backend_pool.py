"""The pool of connections to backends, with each crossing forced: closes, late bytes, endless answers."""

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
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop

from balancer.core.connection_admission import UNBUDGETED_BODY_BYTES
from balancer.core.stall_detector import STALL_THRESHOLD_MS
from balancer.endpoints import parse_endpoint_list
from balancer.interface import AttemptStatus, Idempotency, Settings
from balancer.interface import RequestClass as Class
from balancer.net import backend_pool as upstream
from balancer.net.backend_pool import (
    IDLE_LIMIT_RATIO,
    REUSE_DELAY_S,
    BackendPool,
    BackendResponse,
)
from tests.sockets import HOUR, WAIT, answer

NewLoop = Callable[[], asyncio.AbstractEventLoop]
LOOPS = pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
LONG = 30.0  # s: a rest that no slow machine lives through, under the idle limit
READ = Class("read", Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0)


def run(test: Callable[[], Awaitable[None]], new_loop: NewLoop = uvloop.new_event_loop) -> None:
    """Run a test's coroutine, with an end to it."""
    faults: list[Any] = []

    async def bounded() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        async with asyncio.timeout(3 * WAIT):
            await test()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(bounded())
    assert not faults


def members(port: int, **over: Any) -> Any:
    """The list with one backend."""
    row = {"id": "b0", "host_port": f"127.0.0.1:{port}", "phase": "in_service"} | over
    return parse_endpoint_list({"revision": 1, "complete": True, "members": [row]}).records


class Stand:
    """A pool and the one backend it knows: a listener whose connections the test holds in its hands."""

    def __init__(self, limit: int = 10, **over: Any) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT)
        # No connection fails for a slow machine: its test would wait for one that never comes.
        usual = {"connection_idle_ms": 60_000.0, "connect_timeout_ms": HOUR}
        self.pool = BackendPool(Settings(classes=(READ,), **usual | over), limit)
        self.port = self.listener.getsockname()[1]
        self.pool.update(members(self.port))
        self.ends: list[BackendResponse] = []
        self.peers: list[socket.socket] = []

    def start(self, data: bytes, begin_by: float = math.inf) -> Any:
        """Begin an attempt."""
        return self.pool.start("b0", data, self.ends.append, begin_by)

    async def accept(self) -> socket.socket:
        """The next connection; its reads and writes hold the loop."""
        self.listener.setblocking(False)
        peer, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        peer.setblocking(True)
        peer.settimeout(WAIT)
        self.peers.append(peer)
        return peer

    async def request(self, peer: socket.socket, size: int) -> bytes:
        """So many bytes of a request."""
        peer.setblocking(False)
        out = b""
        while len(out) < size:
            got = await asyncio.get_running_loop().sock_recv(peer, size - len(out))
            assert got
            out += got
        peer.settimeout(WAIT)
        return out

    async def ended(self, count: int) -> BackendResponse:
        """The so manieth end."""
        while len(self.ends) < count:
            await asyncio.sleep(0)
        return self.ends[count - 1]

    def close(self) -> None:
        """Close all of it."""
        self.pool.close()
        for sock in (*self.peers, self.listener):
            sock.close()


async def turns(count: int) -> None:
    """Let the loop turn."""
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(true: Callable[[], bool]) -> None:
    """Wait for it."""
    while not true():
        await asyncio.sleep(0)


def descriptors() -> set[int]:
    """The process's open descriptors."""
    return {int(name) for name in os.listdir("/proc/self/fd") if os.path.exists(f"/proc/self/fd/{name}")}


def connect_in_one_turn(wait: float = 0.0) -> None:
    """The loop connects without a wait: which turn brings what is known, whatever its resolver does."""

    async def connect(sock: socket.socket, address: Any) -> None:
        sock.setblocking(True)
        sock.connect(address)
        sock.setblocking(False)
        time.sleep(wait)

    asyncio.get_running_loop().sock_connect = connect  # type: ignore[method-assign]


# --- one owner of a descriptor


@LOOPS
@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("turn", range(11))
def test_an_attempt_dropped_as_its_connection_comes_up_closes_its_own_descriptor_alone(
    new_loop: NewLoop, turn: int, at_once: bool
) -> None:
    """Guards against a number closed twice: by the second time it may be a client's connection."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        stand = Stand()
        if at_once:
            connect_in_one_turn()
        else:
            await loop.getaddrinfo("127.0.0.1", stand.port)
        stand.start(b"GET / HTTP/1.1\r\n\r\n")  # what the loop opens once for itself is there after it
        (await stand.accept()).close()
        await stand.ended(1)
        await turns(10)
        gc.collect()  # what tests before this one left is not closed while this one counts
        before = descriptors()
        attempt = stand.start(b"GET / HTTP/1.1\r\n\r\n")
        await turns(turn)
        attempt.drop()
        pair = socket.socketpair()
        copies = [os.dup(stand.listener.fileno()) for _ in range(3)]
        taken = {fd: os.fstat(fd).st_ino for fd in (*copies, *(sock.fileno() for sock in pair))}
        woken = asyncio.Event()
        loop.add_reader(pair[0], woken.set)
        await turns(10)
        assert {fd: os.fstat(fd).st_ino for fd in taken} == taken
        pair[1].send(b"x")
        await woken.wait()  # its watcher is still its own, too
        loop.remove_reader(pair[0])
        for fd in copies:
            os.close(fd)
        for sock in pair:
            sock.close()
        await turns(10)
        assert descriptors() == before and stand.pool.count == 0 and len(stand.ends) == 1
        stand.close()

    run(test, new_loop)


@LOOPS
def test_time_that_is_over_once_it_is_connected_does_not_end_it_half_way(new_loop: NewLoop) -> None:
    async def test() -> None:
        stand = Stand(connect_timeout_ms=1.0)
        connect_in_one_turn(0.01)
        await turns(3)
        stand.start(b"one")
        peer = await stand.accept()
        assert await stand.request(peer, 3) == b"one"
        peer.sendall(answer(b"mine"))
        assert (await stand.ended(1)).body == b"mine"
        stand.close()

    run(test, new_loop)


# --- an answer belongs to one request


@LOOPS
def test_a_second_answer_some_milliseconds_late_is_nobody_elses(
    new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against serving a client with another's answer: the next request was written in between."""
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", LONG)

    async def test() -> None:
        stand = Stand()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        peer.sendall(answer(b"mine"))
        await stand.ended(1)
        stand.start(b"two")
        peer.sendall(answer(b"mine again"))  # behind the second request, wherever that was written
        other = await stand.accept()
        await stand.request(other, 3)
        other.sendall(answer(b"yours"))
        assert (await stand.ended(2)).body == b"yours"
        assert peer.recv(10) == b""  # spoilt, and that alone
        await wait_until(lambda: stand.pool.count == 1)
        stand.close()

    run(test, new_loop)


def test_a_connection_that_has_rested_is_used_again_the_latest_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", LONG)

    async def test() -> None:
        stand = Stand()
        peers = []
        for _ in range(3):
            stand.start(b"one")
            peers.append(await stand.accept())
            await stand.request(peers[-1], 3)
        for number, peer in enumerate(peers):
            peer.sendall(answer(b"x"))
            await stand.ended(number + 1)
        idle = stand.pool.hosts["b0"].idle
        assert [c.sock.getpeername() for c in idle] == [p.getsockname() for p in peers] and len(idle) == 3
        used = list(idle)
        for connection in used[:2]:
            connection.idle_since -= LONG
        stand.start(b"two")
        assert idle == [used[0], used[2]]  # not the latest of all, which has not rested
        assert await stand.request(peers[1], 3) == b"two"
        stand.start(b"six")
        assert await stand.request(peers[0], 3) == b"six"
        monkeypatch.setattr(upstream, "REUSE_DELAY_S", 0.5)
        used[2].idle_since = time.monotonic()
        stand.start(b"ten")  # the only one is waited for
        assert not used[2].wrote and stand.pool.count == 3
        assert await stand.request(peers[2], 3) == b"ten"
        stand.close()

    run(test)


@pytest.mark.parametrize("comes", [answer(b"mine again"), b""])
def test_an_attempt_whose_resting_connection_is_spoilt_goes_on_a_new_one(
    monkeypatch: pytest.MonkeyPatch, comes: bytes
) -> None:
    """By bytes that come late or by its end, at the cap, too; it counts as one attempt that went out once."""
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", LONG)

    async def test() -> None:
        stand = Stand(limit=1)
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        peer.sendall(answer(b"x"))
        await stand.ended(1)
        stand.start(b"two")
        assert stand.pool.count == 1
        if comes:
            peer.sendall(comes)
        else:
            peer.shutdown(socket.SHUT_WR)
        assert await stand.request(await stand.accept(), 3) == b"two"
        assert peer.recv(10) == b"" and stand.pool.count == 1 and len(stand.ends) == 1
        stand.close()

    run(test)


@pytest.mark.parametrize("how", ["drop", "drain", "gone", "moved"])
def test_an_attempt_that_waits_for_a_resting_connection_may_still_be_called_off(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Nothing is written for a client that has left, or to a server that drains, is gone or another one."""
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", 0.05)

    async def test() -> None:
        stand = Stand()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        peer.sendall(answer(b"x"))
        await stand.ended(1)
        attempt = stand.start(b"two")
        assert not attempt.left
        if how == "drop":
            attempt.drop()
        elif how == "gone":
            stand.pool.update((), ["b0"])
        else:
            phase = "terminating" if how == "drain" else "in_service"
            stand.pool.update(members(stand.port + (how == "moved"), phase=phase))
        assert how == "drop" or (await stand.ended(2)).status is AttemptStatus.NOT_STARTED
        assert await asyncio.to_thread(peer.recv, 10) == b""
        await wait_until(lambda: not stand.pool.count)
        stand.close()

    run(test)


@pytest.mark.parametrize("limit", [0.0, 10.0, 300.0])
def test_short_idle_limits(limit: float) -> None:
    """A connection is kept only where it can be used again before the backend closes it."""

    async def test() -> None:
        stand = Stand(connection_idle_ms=limit)
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        began = time.monotonic()
        peer.sendall(answer(b"x"))
        await stand.ended(1)
        assert stand.pool.count == len(stand.pool.hosts["b0"].idle) == (limit == 300.0)
        assert await asyncio.to_thread(peer.recv, 10) == b""
        assert limit < 300 or time.monotonic() - began > IDLE_LIMIT_RATIO * 0.3
        await wait_until(lambda: not stand.pool.count)
        stand.close()

    run(test)


@LOOPS
def test_an_answer_that_is_there_before_the_request_serves_nobody(new_loop: NewLoop) -> None:
    """The request is not sent at all, so that it may go elsewhere, whatever its class."""

    async def test() -> None:
        stand = Stand()
        connect_in_one_turn()
        stand.start(b"one")
        await turns(1)  # it is connected, and about to be written
        stand.listener.setblocking(True)
        peer, _ = stand.listener.accept()
        peer.sendall(answer(b"nobody's"))
        assert (await stand.ended(1)).status is AttemptStatus.CONNECT_FAILED
        assert peer.recv(10) == b"" and stand.pool.count == 0
        peer.close()
        stand.close()

    run(test, new_loop)


BIG = b"POST / HTTP/1.1\r\nContent-Length: 64000000\r\n\r\n" + b"x" * 64_000_000  # more than kernels hold


@LOOPS
@pytest.mark.parametrize(
    ("text", "status"),
    [
        (answer(b"not mine"), AttemptStatus.CONNECT_FAILED),
        (answer(b"", "503 Service Unavailable", "Not-Started: 1"), AttemptStatus.REJECTED),
        (answer(b"", "500 Internal Server Error"), AttemptStatus.ERROR),
    ],
)
def test_an_answer_before_the_last_byte_of_the_request(
    new_loop: NewLoop, text: bytes, status: AttemptStatus
) -> None:
    async def test() -> None:
        stand = Stand()
        attempt = stand.start(BIG)
        peer = await stand.accept()
        await stand.request(peer, 1)
        assert not attempt.left
        peer.sendall(text)
        assert (await stand.ended(1)).status is status
        assert stand.pool.count == 0
        stand.close()

    run(test, new_loop)


@pytest.mark.parametrize(
    ("text", "status", "kept"),
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
def test_what_stands_round_an_answer(text: bytes, status: AttemptStatus, kept: bool) -> None:
    """In one packet, and byte by byte up to the answer's end."""

    async def test() -> None:
        stand = Stand()
        for count, step in ((1, len(text)), (2, 1)):
            stand.start(b"one")
            peer = await stand.accept()
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await stand.request(peer, 3)
            for at in range(0, len(text), step):
                if len(stand.ends) < count:
                    peer.sendall(text[at : at + step])
                    await turns(2)
            assert (await stand.ended(count)).status is status
            if step > 1:
                assert stand.pool.count == kept
            stand.pool.close_idle("b0")
        stand.close()

    run(test)


# --- an answer that ends with its connection

ENDLESS = b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n"


@LOOPS
@pytest.mark.parametrize("one_turn", [True, False])
@pytest.mark.parametrize("reset", ["", "reset", "closed and reset"])
@pytest.mark.parametrize(
    ("text", "status"),
    [
        (ENDLESS + b"mine", AttemptStatus.OK),
        (ENDLESS, AttemptStatus.OK),
        (b"HTTP/1.1 102 P\r\nContent-Length: 0\r\n\r\n" + ENDLESS + b"mine", AttemptStatus.OK),
        (b"HTTP/1.0 503 Busy\r\nNot-Started: 1\r\n\r\nbusy", AttemptStatus.REJECTED),
        (b"HTTP/1.0 500 Broken\r\n\r\nbroken", AttemptStatus.ERROR),
        (ENDLESS[:-2], AttemptStatus.RESET),
        (b"HTTP/1.1 102 P\r\n\r\n", AttemptStatus.RESET),
        (b"", AttemptStatus.RESET),
        (answer(b"mine")[:-1], AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nmine", AttemptStatus.RESET),
    ],
)
def test_an_answer_with_no_length_ends_with_its_connection_and_a_reset_is_no_end(
    new_loop: NewLoop, text: bytes, status: AttemptStatus, reset: str, one_turn: bool
) -> None:
    """Also where the last bytes and the reset are there before the loop turns."""

    async def test() -> None:
        stand = Stand()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        if text:
            peer.sendall(text)
        if not one_turn:
            await turns(5)
        if reset == "closed and reset":
            peer.shutdown(socket.SHUT_WR)
        if reset:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        end = await stand.ended(1)
        assert end.status is (AttemptStatus.RESET if reset else status) and stand.pool.count == 0
        assert end.body == (b"" if reset or status is not AttemptStatus.OK or text == ENDLESS else b"mine")
        await turns(10)
        assert len(stand.ends) == 1
        stand.close()

    run(test, new_loop)


@LOOPS
def test_an_answer_with_no_length_that_ends_before_the_request_has_left_serves_nobody(
    new_loop: NewLoop,
) -> None:
    async def test() -> None:
        stand = Stand()
        stand.start(BIG)
        peer = await stand.accept()
        await stand.request(peer, 1)
        peer.sendall(ENDLESS + b"not mine")
        peer.shutdown(socket.SHUT_WR)
        await turns(5)
        peer.close()
        assert (await stand.ended(1)).status is AttemptStatus.CONNECT_FAILED and stand.pool.count == 0
        stand.close()

    run(test, new_loop)


@LOOPS
def test_a_request_that_rests_while_the_process_stands_still_waits_for_what_it_missed(
    new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server drains meanwhile; under uvloop its time is up before that is read."""
    monkeypatch.setattr(upstream, "REUSE_DELAY_S", rest := 0.5)  # s, in which the second request is begun

    async def test() -> None:
        stand, loop = Stand(), asyncio.get_running_loop()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        peer.sendall(answer(b"x"))
        await stand.ended(1)
        near, far = socket.socketpair()
        news, told = socket.socketpair()

        def stands_still() -> None:
            loop.remove_reader(far)
            news.send(b"x")
            time.sleep(rest + STALL_THRESHOLD_MS / 1000)

        def learns() -> None:
            loop.remove_reader(told)
            stand.pool.update(members(stand.port, phase="terminating"))

        loop.add_reader(far, stands_still)
        loop.add_reader(told, learns)
        await turns(3)
        stand.start(b"two")
        near.send(b"x")
        assert (await stand.ended(2)).status is AttemptStatus.NOT_STARTED
        assert await asyncio.to_thread(peer.recv, 10) == b""
        for sock in (near, far, news, told):
            sock.close()
        stand.close()

    run(test, new_loop)


# --- a repeat that comes too late


@LOOPS
@pytest.mark.parametrize("kept", [True, False])
def test_what_cannot_be_written_in_its_window_is_not_written(new_loop: NewLoop, kept: bool) -> None:
    """Guards against an effect doubled: the connection for a keyed repeat is held back until after it."""

    async def test() -> None:
        loop, stand, go = asyncio.get_running_loop(), Stand(), asyncio.Event()
        connect, begin_by = loop.sock_connect, time.monotonic() + 0.01

        async def held_back(sock: socket.socket, address: Any) -> None:
            await connect(sock, address)
            await go.wait()

        if kept:
            stand.start(b"one")
            peer = await stand.accept()
            await stand.request(peer, 3)
            peer.sendall(answer(b"x"))
            await stand.ended(1)
            stand.pool.hosts["b0"].idle[0].idle_since -= LONG
            await asyncio.to_thread(time.sleep, 0.02)
            stand.start(b"two", begin_by)
        else:
            loop.sock_connect = held_back  # type: ignore[method-assign]
            stand.start(b"two", begin_by)
            peer = await stand.accept()
            await asyncio.to_thread(time.sleep, 0.02)
            assert not stand.ends
            go.set()
        assert await asyncio.to_thread(peer.recv, 10) == b""
        assert (await stand.ended(1 + kept)).status is AttemptStatus.NOT_STARTED and stand.pool.count == 0
        stand.start(b"ten", time.monotonic() + 3600)
        assert await stand.request(await stand.accept(), 3) == b"ten"
        stand.close()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("whole", [True, False])
def test_a_request_that_is_partly_written_as_its_window_ends_never_becomes_whole(
    new_loop: NewLoop, whole: bool
) -> None:
    """One whose last byte has left by then goes on."""

    async def test() -> None:
        stand = Stand()
        begin_by = time.monotonic() + (3600.0 if whole else 1.0)
        attempt = stand.start(BIG, begin_by)
        peer = await stand.accept()
        left = len(BIG) - len(await stand.request(peer, len(BIG) if whole else 1))
        assert attempt.left is whole
        if whole:
            attempt.connection._late(attempt)
        else:
            await asyncio.to_thread(time.sleep, max(0.0, begin_by - time.monotonic()))

        def rest() -> int:
            nonlocal left
            while left and (got := len(peer.recv(1_000_000))):
                left -= got
            return left

        assert (await asyncio.to_thread(rest) == 0) is whole
        if whole:
            peer.sendall(answer(b"mine"))
        assert (await stand.ended(1)).status is (AttemptStatus.OK if whole else AttemptStatus.NOT_STARTED)
        stand.close()

    run(test, new_loop)


# --- answers without end

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY = b"".join(b"1\r\n%c\r\n" % (97 + n % 26) for n in range(UNBUDGETED_BODY_BYTES))


def test_a_body_in_the_smallest_chunks_is_served() -> None:
    async def test() -> None:
        stand = Stand()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        await asyncio.to_thread(peer.sendall, CHUNKED + TINY + b"0\r\n\r\n")
        end = await stand.ended(1)
        assert end.status is AttemptStatus.OK and len(end.body) == UNBUDGETED_BODY_BYTES
        stand.close()

    run(test)


@pytest.mark.parametrize(
    ("start", "again"),
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
def test_an_answer_without_end_is_given_up(
    start: bytes, again: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Whatever is without end in it; one plain line says so, and the next request is served."""

    async def test() -> None:
        stand = Stand()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        text = start + again * (1_000_000 // len(again))  # this much, and no end
        with contextlib.suppress(ConnectionError):
            await asyncio.to_thread(peer.sendall, text)
        assert (await stand.ended(1)).status is AttemptStatus.RESET
        assert stand.pool.count == 0 and len(caplog.records) == 1
        assert len(caplog.records[0].getMessage()) < 200 and caplog.records[0].exc_info is None
        stand.start(b"two")
        other = await stand.accept()
        await stand.request(other, 3)
        other.sendall(answer(b"yours"))
        assert (await stand.ended(2)).body == b"yours"
        stand.close()

    run(test)


# --- what surely never ran


def cross(monkeypatch: pytest.MonkeyPatch, before: Callable[[], Any], behind: Callable[[], Any]) -> None:
    """What happens before and behind each write to a backend, in its turn."""
    write = upstream.BackendConnection.write

    def crossed(connection: upstream.BackendConnection, attempt: upstream.Exchange) -> None:
        before()
        write(connection, attempt)
        behind()

    monkeypatch.setattr(upstream.BackendConnection, "write", crossed)


def nothing() -> None:
    """Happens."""


@LOOPS
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("order", ["seen", "before", "behind"])
def test_an_idle_connection_closed_as_a_request_is_written(
    new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch, order: str, reset: bool
) -> None:
    """Behind the look at it: a request that has left may have run, and one that could not has not."""

    async def test() -> None:
        stand = Stand()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        peer.sendall(answer(b"x"))
        await stand.ended(1)
        stand.pool.hosts["b0"].idle[0].idle_since -= REUSE_DELAY_S

        def end() -> None:
            if reset:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()

        if order == "seen":
            end()
            stand.start(b"two")  # the loop has not turned
            assert await stand.request(await stand.accept(), 3) == b"two"
        else:
            cross(monkeypatch, *((end, nothing) if order == "before" else (nothing, end)))
            stand.start(b"two")
            never = reset and order == "before"  # its write fails at once
            assert (await stand.ended(2)).status is (
                AttemptStatus.CONNECT_FAILED if never else AttemptStatus.RESET
            )
            assert stand.pool.count == 0
        await turns(10)
        stand.close()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("reset", [True, False])
def test_a_new_connection_closed_in_the_turn_of_its_first_request(new_loop: NewLoop, reset: bool) -> None:
    async def test() -> None:
        stand = Stand()
        connect_in_one_turn()
        stand.start(b"one")
        await turns(1)
        stand.listener.setblocking(True)
        peer, _ = stand.listener.accept()
        if reset:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        assert (await stand.ended(1)).status is AttemptStatus.CONNECT_FAILED and stand.pool.count == 0
        await turns(10)
        stand.close()

    run(test, new_loop)


@LOOPS
def test_a_break_in_the_middle_of_a_refusal_may_have_run(new_loop: NewLoop) -> None:
    """Its head says that the request was not started, but it is not whole."""

    async def test() -> None:
        stand = Stand()
        stand.start(b"one")
        peer = await stand.accept()
        await stand.request(peer, 3)
        peer.sendall(answer(b"xx", "503 Busy", "Not-Started: 1")[:-1])
        peer.close()
        assert (await stand.ended(1)).status is AttemptStatus.RESET and stand.pool.count == 0
        stand.close()

    run(test, new_loop)


@LOOPS
@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("ending", ["reset", "closed", "half closed"])
def test_a_break_under_a_request_that_is_partly_written(new_loop: NewLoop, ending: str, whole: bool) -> None:
    """It never ran as long as a byte of it is here; once the last has left it may have."""

    async def test() -> None:
        stand = Stand()
        attempt = stand.start(BIG)
        peer = await stand.accept()
        await stand.request(peer, 1)
        assert not attempt.left
        if ending == "half closed":
            peer.shutdown(socket.SHUT_WR)
            await turns(5)
        if whole:
            await stand.request(peer, len(BIG) - 1)
        if ending == "reset":
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        assert (await stand.ended(1)).status is (
            AttemptStatus.RESET if whole else AttemptStatus.CONNECT_FAILED
        )
        assert stand.pool.count == 0
        await turns(10)
        stand.close()

    run(test, new_loop)


@LOOPS
def test_a_time_out_in_the_turn_in_which_the_last_byte_leaves(new_loop: NewLoop) -> None:
    """Dropped while a byte is here, the rest never leaves; once none is, it may have run."""

    async def test() -> None:
        stand = Stand()
        attempt = stand.start(BIG)
        peer = await stand.accept()
        await stand.request(peer, 1)
        assert not attempt.left
        attempt.drop()
        peer.settimeout(WAIT)
        got = 1

        def rest() -> int:
            return got + sum(iter(lambda: len(peer.recv(1_000_000)), 0))

        assert await asyncio.to_thread(rest) < len(BIG) and stand.pool.count == 0
        attempt = stand.start(BIG)
        peer = await stand.accept()
        left = len(BIG)
        while not attempt.left:
            assert left > 0
            peer.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                left -= len(peer.recv(65536))
            await turns(1)
        peer.settimeout(WAIT)
        attempt.drop()  # it said that it left: all of it is there
        assert await asyncio.to_thread(lambda: sum(iter(lambda: len(peer.recv(1_000_000)), 0))) == left
        stand.close()

    run(test, new_loop)


# --- one attempt out


@LOOPS
@pytest.mark.parametrize("big", [False, True])
def test_the_first_connection_is_shut_before_the_second_requests_first_byte(
    new_loop: NewLoop, big: bool
) -> None:
    async def test() -> None:
        stand = Stand()
        attempt = stand.start(BIG if big else b"one")
        peer = await stand.accept()
        await stand.request(peer, 1 if big else 3)
        attempt.drop()
        stand.start(b"two")
        other = await stand.accept()
        while not select.select([other], [], [], 0)[0]:
            await turns(1)
        peer.setblocking(False)
        if big:  # the end stands behind what the kernels hold of it: it never becomes whole
            peer.settimeout(WAIT)
            assert await asyncio.to_thread(lambda: len(peer.makefile("rb").read())) < len(BIG) - 1
        else:
            assert peer.recv(1) == b""
        stand.close()

    run(test, new_loop)


# --- while a connection comes up


@LOOPS
@pytest.mark.parametrize("turn", range(4))
@pytest.mark.parametrize("change", ["removed", "removed and back", "draining", "moved"])
def test_a_change_of_the_list_as_a_connection_comes_up(new_loop: NewLoop, turn: int, change: str) -> None:
    """The attempt is not written: moot, and the connection is no longer counted."""

    async def test() -> None:
        stand, other = Stand(limit=1), socket.create_server(("127.0.0.1", 0))
        connect_in_one_turn()
        attempt = stand.start(b"one")
        await turns(turn)
        written = attempt.connection.wrote
        if change.startswith("removed"):
            stand.pool.update((), ["b0"])
        if change == "removed and back":
            stand.pool.update(members(stand.port))
        if change == "draining":
            stand.pool.update(members(stand.port, phase="terminating"))
        if change == "moved":
            stand.pool.update(members(other.getsockname()[1]))
        if not written:
            end = await stand.ended(1)
            assert end.status is AttemptStatus.NOT_STARTED and stand.pool.count == 0
            assert (await stand.accept()).recv(10) == b""
        other.close()
        stand.close()

    run(test, new_loop)


def test_a_pool_whose_every_connection_comes_up_sends_no_more() -> None:
    async def test() -> None:
        stand = Stand(limit=2)
        for text in (b"one", b"two", b"six"):
            stand.start(text)
        assert [end.status for end in stand.ends] == [AttemptStatus.NOT_STARTED] and stand.pool.count == 2
        got = {await stand.request(await stand.accept(), 3) for _ in range(2)}
        assert got == {b"one", b"two"}
        stand.close()

    run(test)
