"""The real node over loopback sockets: outcomes, the one answer, drains, the list, the end, bad input."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import resource
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.endpoints import (
    EndpointList,
    EndpointListError,
    parse_endpoint_list,
    parse_record,
)
from balancer.interface import (
    AttemptStatus,
    Idempotency,
    RequestArrived,
    SendAttempt,
    Settings,
)
from balancer.interface import RequestClass as Class
from balancer.net.backend_pool import (
    REUSE_DELAY_S,
    BackendPool,
    BackendResponse,
    parse_load_report,
)
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.http_server import HttpServer
from balancer.net.request_dispatcher import PendingRequest, RequestDispatcher
from tests.sockets import (
    HOUR,
    PATIENT,
    WAIT,
    Backend,
    Client,
    FakeDiscovery,
    Message,
    answer,
    configuration,
    echo,
    running,
    spawn,
)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine, with an end to it."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT):
            await test()

    asyncio.run(bounded())


async def never(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Take the request and say nothing."""


def says(*answers: bytes) -> Callable[[Backend, Message, asyncio.StreamWriter], Awaitable[None]]:
    """Give these answers in turn, over all backends that share them, then serve."""
    left = list(answers)

    async def respond(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if not left:
            await echo(backend, message, writer)
        elif text := left.pop(0):
            writer.write(text)
        else:
            writer.transport.abort()

    return respond


# --- serving


def test_serves_and_keeps_connections(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            assert (await client.ask("/up")).code == 200
            for _ in range(5):
                got = await client.ask("/read/x?obj=7f", "Request-Timeout: 2000m", "Tenant: t")
                sent = await backend.got.get()
                assert (got.code, got.body) == (200, f"b0 {sent.headers['request-id']}".encode())
                assert sent.start == "GET /read/x?obj=7f HTTP/1.1"
                assert 0 < int(sent.headers["request-timeout"].removesuffix("u")) <= 2_000_000
                await asyncio.sleep(2 * REUSE_DELAY_S)
            body = b"x" * 65536
            assert (await client.ask("/once", method="POST", body=body)).code == 200
            assert (await backend.got.get()).body == body
            await asyncio.sleep(2 * REUSE_DELAY_S)
            assert (await client.pay()).code == 200
            assert (await backend.got.get()).headers["idempotency-key"] == "k1"
            assert backend.connections == 1  # each new one costs

    run(test)


FULL = answer(b"", "503 Service Unavailable", "Not-Started: 1")


@pytest.mark.parametrize(
    ("first", "path", "again"),
    [
        (FULL, "/once", True),
        (answer(b"", "504 Gateway Timeout", "Not-Started: 1"), "/once", True),
        (answer(b"", "503 Service Unavailable"), "/once", False),  # without the mark it may have run
        (answer(b"", "500 Internal Server Error"), "/once", False),
        (answer(b"", "500 Internal Server Error", "Not-Started: 1"), "/once", False),
        (b"", "/once", False),  # a reset
        (b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "/once", False),
        (b"", "/read", True),
    ],
)
def test_outcomes_decide_what_goes_out_again(tmp_path: Path, first: bytes, path: str, again: bool) -> None:
    async def test() -> None:
        respond = says(first)
        one, two = Backend("b0", respond), Backend("b1", respond)
        async with running(tmp_path, one, two) as rig:
            client = await rig.client()
            got = await client.ask(path, method="GET" if path == "/read" else "POST")
            assert got.code == (200 if again else 502)
            assert one.got.qsize() + two.got.qsize() == 1 + again

    run(test)


def test_refused_connections_never_ran(tmp_path: Path) -> None:
    """An unsafe request may go on to another backend, and a refusal is allowed if there is none."""

    async def test() -> None:
        dead = [Backend(f"b{i}") for i in range(3)]
        async with running(tmp_path, *dead) as rig:
            for backend in dead:
                backend.stop()
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).code == 503

    run(test)


def test_a_connection_that_never_comes_up_never_ran(tmp_path: Path) -> None:
    async def test() -> None:
        mute = socket.socket()  # full accept queue: further connections get no answer
        mute.bind(("127.0.0.1", 0))
        mute.listen(0)
        fill = [socket.socket() for _ in range(4)]
        for sock in fill:
            sock.setblocking(False)
            sock.connect_ex(mute.getsockname())
        pool = BackendPool(Settings(classes=(READ,), connect_timeout_ms=100.0), 10)
        pool.update(_list("b0", mute.getsockname()[1]))
        assert (await _attempt(pool, b"GET / HTTP/1.1\r\n\r\n")).status is AttemptStatus.CONNECT_FAILED
        assert pool.connection_count == 0
        for sock in [mute, *fill]:
            sock.close()

    run(test)


def know(node: RequestDispatcher, known: EndpointList) -> None:
    """Have the node know these backends."""
    EndpointView(node, [Source("platform")]).handle(
        EndpointsListed("platform", "here", known, is_cached=True)
    )


READ = Class("read", Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0)


def _list(name: str, port: int, **over: Any) -> Any:
    row = {"id": name, "host_port": f"127.0.0.1:{port}", "phase": "in_service"} | over
    return parse_endpoint_list({"revision": 1, "complete": True, "members": [row]}).records


async def _attempt(
    pool: BackendPool, data: bytes, meanwhile: Callable[[], Any] = lambda: None
) -> BackendResponse:
    ends: asyncio.Queue[BackendResponse] = asyncio.Queue()
    pool.start("b0", data, ends.put_nowait)
    meanwhile()
    return await ends.get()


def test_a_break_before_the_last_byte_left_never_ran() -> None:
    async def test() -> None:
        met = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1)  # it has begun, and most of it is still with the sender
            writer.transport.abort()
            met.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=1000.0, connect_timeout_ms=HOUR), 10)
        pool.update(_list("b0", server.sockets[0].getsockname()[1]))
        assert (await _attempt(pool, b"x" * 64_000_000)).status is AttemptStatus.CONNECT_FAILED
        await met.wait()
        assert (await _attempt(pool, b"x")).status is AttemptStatus.RESET
        server.close()

    run(test)


def test_a_backend_that_left_while_its_connection_came_up_is_sent_nothing() -> None:
    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=1000.0, connect_timeout_ms=HOUR), 10)
        for change in ({"phase": "terminating"}, None, {"host_port": "127.0.0.1:9"}):
            pool.update(_list("b0", backend.port))
            late = _list("b0", backend.port, **change) if change else ()
            gone = () if change else ("b0",)
            got = await _attempt(pool, b"x", partial(pool.update, late, gone))
            assert got.status is AttemptStatus.NOT_STARTED
            assert pool.connection_count == 0
        assert backend.got.empty()
        backend.stop()

    run(test)


def test_a_dropped_attempt_is_closed_before_anything_else_happens() -> None:
    """Guards against a second copy that goes out while the first is still out on an open connection."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=1000.0, connect_timeout_ms=HOUR), 10)
        pool.update(_list("b0", listener.getsockname()[1]))
        attempt = pool.start("b0", b"hello", lambda answer: None)
        loop = asyncio.get_running_loop()
        listener.setblocking(False)
        peer, _ = await loop.sock_accept(listener)
        assert await loop.sock_recv(peer, 10) == b"hello"
        attempt.drop()
        peer.setblocking(True)
        peer.settimeout(WAIT)
        assert peer.recv(1) == b""  # without a turn of the loop in between
        peer.close()
        listener.close()

    run(test)


def test_the_cap_on_upstream_connections_holds(tmp_path: Path) -> None:
    """The longest idle connection makes room; where none is idle the attempt was never sent."""

    async def test() -> None:
        backends = [Backend("b0"), Backend("b1", never)]
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=60_000.0, connect_timeout_ms=HOUR), 1)
        members = ()
        for backend in backends:
            await backend.start()
            members += _list(backend.name, backend.port)
        pool.update(members)
        request = b"GET / HTTP/1.1\r\nrequest-id: 1\r\n\r\n".replace(b"request-id:", b"Request-Id:")
        assert (await _attempt(pool, request)).status is AttemptStatus.OK
        attempt = pool.start("b1", request, lambda answer: None)
        await backends[1].got.get()
        await backends[0].lost.get()
        assert pool.connection_count == 1
        assert (await _attempt(pool, request)).status is AttemptStatus.NOT_STARTED
        attempt.drop()
        for backend in backends:
            backend.stop()

    run(test)


def test_a_socket_that_cannot_be_made_is_not_counted() -> None:
    """Guards the pool against shrinking for good in a moment without descriptors."""

    async def test() -> None:
        backend = Backend("b0", says(answer(b"x")))
        await backend.start()
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=60_000.0, connect_timeout_ms=HOUR), 1)
        pool.update(_list("b0", backend.port))
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (0, hard))
        try:
            got = await _attempt(pool, b"GET / HTTP/1.1\r\n\r\n")
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert got.status is AttemptStatus.NOT_STARTED and pool.connection_count == 0
        assert (await _attempt(pool, b"GET / HTTP/1.1\r\n\r\n")).status is AttemptStatus.OK
        backend.stop()

    run(test)


def test_an_idle_connection_is_closed_before_the_backend_would(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend, limits={"conn-idle": 300}) as rig:
            client = await rig.client()
            await client.ask("/read")
            assert await backend.lost.get() == 1
            assert (await client.ask("/read")).code == 200
            assert backend.connections == 2

    run(test)


def test_what_follows_an_answer_spoils_the_connection_only(tmp_path: Path) -> None:
    async def test() -> None:
        async def twice(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(b"mine") + answer(b"not mine"))

        backend = Backend("b0", twice)
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            for number in (1, 2, 3):
                assert (await client.ask("/read")).body == b"mine"
                assert await backend.lost.get() == number

    run(test)


def test_a_spoilt_answer_does_not_cost_a_backend_its_work(tmp_path: Path) -> None:
    """Guards against a sound fleet left out bit by bit, as noise comes from any backend alike."""

    async def test() -> None:
        noisy = Backend("b0", says(b"\x00 no answer\r\n\r\n"))
        async with running(tmp_path, noisy, Backend("b1"), **PATIENT) as rig:
            client = await rig.client()
            while noisy.got.empty():
                assert (await client.ask("/read")).code == 200
            await rig.logged("broken answer")
            seen = {(await client.ask("/read")).body.split()[0] for _ in range(20)}
            assert seen == {b"b0", b"b1"}

    run(test)


def test_a_backend_that_spoils_every_answer_is_left_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async def spoil(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"\x00 no answer\r\n\r\n")

        bad, good = Backend("b0", spoil), [Backend(f"b{i}") for i in range(1, 4)]
        async with running(tmp_path, bad, *good, **PATIENT) as rig:
            client = await rig.client()
            for _ in range(100):
                assert (await client.ask("/read")).code == 200
            assert bad.got.qsize() < 10

    run(test)


def test_a_backend_that_holds_more_than_the_others_gets_no_more(tmp_path: Path) -> None:
    """Guards against feeding a backend that stands still while others are free; no report tells in time."""

    async def test() -> None:
        still, free = Backend("b0", never), Backend("b1")
        async with running(tmp_path, still, free, **PATIENT) as rig:
            for _ in range(8):
                client = await rig.client()
                client.send("/read")
                ends = {asyncio.ensure_future(client.answer()), asyncio.ensure_future(still.got.get())}
                _, waiting = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
                for end in waiting:
                    end.cancel()
            assert free.got.qsize() >= 7

    run(test)


def test_more_is_sent_while_live_weights_tell_of_room(tmp_path: Path) -> None:
    """Guards against shedding while cores stand idle, where aims are close to the time that serving takes."""

    async def test() -> None:
        busy, peak, count = 0, asyncio.Event(), 0

        async def work(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal busy, count
            busy, count = busy + 1, count + 1
            if busy > 8:  # four for each backend is the least limit
                peak.set()
            await asyncio.sleep(0.1 if count % 10 else 0.0)
            busy -= 1
            await echo(backend, message, writer)

        read = {"name": "read", "effect": "retryable", "give-up": 2000, "objective": 400}
        backends = [Backend("b0", work), Backend("b1", work)]
        settings = {"request-classes": [read], "weight-source": "live"}
        async with running(tmp_path, *backends, **settings) as rig:
            await rig.discovery.asked.get()

            async def keep_asking() -> None:
                client = await rig.client()
                while True:
                    await client.ask("/read")
                    await asyncio.sleep(0.01)

            async def tell() -> None:
                for revision in itertools.count(42):
                    rig.discovery.news(revision, *[b.member() for b in backends])
                    await asyncio.sleep(0.05)

            tasks = [asyncio.ensure_future(keep_asking()) for _ in range(24)]
            tasks.append(asyncio.ensure_future(tell()))
            await asyncio.wait_for(peak.wait(), WAIT)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run(test)


def test_an_answer_whose_head_does_not_end_is_given_up(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", says(b"HTTP/1.1 200 OK\r\nLong: " + b"x" * 20_000))
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).code == 502
            await rig.logged("answer too large")
            await backend.lost.get()

    run(test)


def test_interim_answers_are_passed_over(tmp_path: Path) -> None:
    async def test() -> None:
        first = b"HTTP/1.1 103 Early Hints\r\nNot-Started: 1\r\n\r\n" + answer(b"late")
        async with running(tmp_path, Backend("b0", says(first))) as rig:
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).body == b"late"

    run(test)


# --- load reports


def test_load_reports() -> None:
    report = parse_load_report("TEXT inflight=7, queue=2, util=0.61, other=3")
    assert (report.in_flight, report.queued, report.cpu_load) == (7.0, 2.0, 0.61)
    for bad in ("", "JSON {}", "TEXT inflight", "TEXT inflight=x", "TEXT inflight=nan", "TEXT queue=-1"):
        with pytest.raises(ValueError):
            parse_load_report(bad)


def test_a_broken_report_costs_one_log_line(tmp_path: Path) -> None:
    async def test() -> None:
        first = answer(b"fine", "200 OK", "Server-Load: TEXT inflight=many")
        async with running(tmp_path, Backend("b0", says(first))) as rig:
            client = await rig.client()
            assert (await client.ask("/read")).body == b"fine"
            await rig.logged("not a load report")
            assert (await client.ask("/read")).code == 200

    run(test)


# --- the one answer


def test_no_answer_in_time_fails_before_the_limit(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", never)
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            loop = asyncio.get_running_loop()
            start = loop.time()
            assert (await client.ask("/once", "Request-Timeout: 700m", method="POST")).code == 502
            assert loop.time() - start >= 0.6
            await backend.lost.get()  # it is waited for no longer
            backend.respond = echo
            assert (await client.ask("/up")).code == 200

    run(test)


def test_a_client_that_leaves_calls_its_attempt_off(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", never)
        async with running(tmp_path, backend, **PATIENT) as rig:
            client = await rig.client()
            client.send("/read")
            await backend.got.get()
            client.writer.close()
            await backend.lost.get()

    run(test)


def test_a_refusal_comes_at_once_and_says_when_to_return(tmp_path: Path) -> None:
    """Guards against clients that all come back at once after a refusal."""

    async def test() -> None:
        backend = Backend("b0", never)
        limits = {"retry-after": True, "max-retry-after": 100}
        async with running(tmp_path, backend, limits=limits) as rig:
            client = await rig.client()
            await rig.discovery.asked.get()
            rig.discovery.news(42, backend.member(phase="terminating"))
            rig.discovery.news(43, complete=True)
            while (got := await client.ask("/read", "Request-Timeout: 50m")).code != 503:
                pass
            assert 0 < float(got.headers["retry-after"]) <= 0.1

    run(test)


# --- the list


def test_a_drain_is_kept_and_idle_connections_go(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            await client.ask("/read")
            await backend.got.get()
            await rig.discovery.asked.get()
            rig.discovery.news(42, backend.member(phase="terminating"))
            await backend.lost.get()
            assert (await client.ask("/read")).code == 503
            assert backend.got.empty()

    run(test)


def test_changes_come_across_packet_borders_and_a_full_list_drops_what_it_lacks(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Backend("b0"), Backend("b1")
        await new.start()
        async with running(tmp_path, old) as rig:
            client = await rig.client()
            await client.ask("/read")
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=41"
            line = json.dumps({"revision": 50, "complete": True, "members": [new.member()]}).encode()
            for i in range(0, len(line), 7):
                rig.discovery.send(line[i : i + 7])
                await asyncio.sleep(0)
            rig.discovery.send(b"\n\n")
            await old.lost.get()
            assert (await client.ask("/read")).body.startswith(b"b1 ")
        new.stop()

    run(test)


def test_a_backend_may_return_elsewhere(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Backend("b0"), Backend("b0")
        await new.start()
        async with running(tmp_path, old) as rig:
            client = await rig.client()
            await client.ask("/read")
            await rig.discovery.asked.get()
            rig.discovery.news(42, new.member())
            await old.lost.get()
            assert (await client.ask("/read")).code == 200
            assert new.got.qsize() == 1
        new.stop()

    run(test)


def test_a_watch_that_ends_or_goes_silent_is_asked_for_again(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            await rig.discovery.asked.get()
            rig.discovery.news(47, backend.member())
            assert rig.discovery.writer is not None
            rig.discovery.writer.close()
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=47"
            # Nothing more comes now, and nothing closes: a node that waits for either waits for ever.
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=47"
            client = await rig.client()
            assert (await client.ask("/read")).code == 200  # on the last list, all the while

    run(test)


def test_a_bad_line_costs_a_log_line_and_the_whole_list(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            await rig.discovery.asked.get()
            rig.discovery.send(b'{"revision": 42, "members": 7}\n')
            await rig.logged("WARNING discovery: bad line")
            assert await rig.discovery.asked.get() == "/discovery/hosts"
            rig.discovery.whole(43, backend.member())
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=43"
            client = await rig.client()
            assert (await client.ask("/read")).code == 200

    run(test)


def test_an_entry_that_cannot_be_read_costs_nothing_but_itself(tmp_path: Path) -> None:
    """Guards against a node without a backend, as one of two is known by a name or is in an odd phase."""

    async def test() -> None:
        good, odd = Backend("b0"), Backend("b1")
        known = [good.member(), odd.member(host_port="there.example:80")]
        async with running(tmp_path, good, odd, known=known) as rig:
            # What the start's list left out may be readable there.
            assert await rig.discovery.asked.get() == "/discovery/hosts"
            rig.discovery.whole(42, good.member(), odd.member(phase="resting"))
            await rig.logged("entry 'b1' left out: phase is 'resting'")
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=42"
            client = await rig.client()
            assert (await client.ask("/read")).body.startswith(b"b0 ")
            rig.discovery.news(43, odd.member(), good.member(phase="terminating", host_port="nowhere"))
            await good.lost.get()  # that it drains is obeyed all the same
            assert (await client.ask("/read")).body.startswith(b"b1 ")

    run(test)


def test_an_older_whole_list_does_not_replace_a_newer_one(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Backend("b0"), Backend("b1")
        await old.start()
        async with running(tmp_path, new) as rig:
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=41"
            rig.discovery.news(60, new.member(), complete=True)
            rig.discovery.news(50, old.member(), complete=True)
            await rig.logged("WARNING platform is refused: its snapshot has revision 50, older than 60")
            rig.discovery.news(55, new.member(phase="terminating"))
            rig.discovery.news(61, new.member(size=2.0))
            client = await rig.client()
            for _ in range(20):
                assert (await client.ask("/read")).body.startswith(b"b1 ")
        old.stop()

    run(test)


def test_sighup_moves_to_the_discovery_of_the_new_file_and_keeps_what_is_open(tmp_path: Path) -> None:
    """Guards against ending on SIGHUP, and against a list that stays that of the address left behind.

    Revisions at the new address are lower than those held: only its whole list says what is gone.
    """

    async def test() -> None:
        go = asyncio.Event()

        async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            await echo(backend, message, writer)

        old, new, discovery = Backend("b0", slow), Backend("b1"), FakeDiscovery()
        await new.start()
        await discovery.start()
        async with running(tmp_path, old, **PATIENT) as rig:
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=41"
            client = await rig.client()
            client.send("/read")
            await old.got.get()
            rig.reload(json.dumps(configuration([], discovery.port)))
            assert await discovery.asked.get() == "/discovery/hosts"
            discovery.whole(3, new.member())
            assert await discovery.asked.get() == "/discovery/hosts?watch=1&from=3"
            other = await rig.client()
            assert (await other.ask("/read")).body.startswith(b"b1 ")
            discovery.news(4, new.member(phase="terminating"))
            await new.lost.get()
            assert (await other.ask("/read")).code == 503
            go.set()
            assert (await client.answer()).body.startswith(b"b0 ")
            rig.terminate()
            assert await rig.end() == 0
        new.stop()

    run(test)


def test_a_bad_file_at_sighup_costs_a_log_line(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            await rig.discovery.asked.get()
            rig.reload("{")
            await rig.logged("reload: the old configuration stays")
            rig.discovery.news(42, backend.member(phase="terminating"))  # still listened to
            client = await rig.client()
            while (await client.ask("/read")).code != 503:
                pass

    run(test)


@pytest.mark.parametrize(
    "row",
    [{}, {"id": 3}, {"phase": "odd"}, {"size": -1}, {"size": "1"}, {"host_port": "here:1"}, {"cell": "x"}],
)
def test_bad_entries_are_named(row: dict[str, Any]) -> None:
    good = {"id": "b0", "host_port": "127.0.0.1:1", "phase": "in_service"}
    with pytest.raises(EndpointListError):
        parse_record(good | row if row else "b0")
    rows = [good | {"id": "b1"}, good | row if row else "b0"]
    got = parse_endpoint_list({"revision": 1, "complete": True, "members": rows})
    assert [one.id for one in got.records] == ["b1"] and len(got.invalid_entries) == 1


# --- bad input


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: soon\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 0m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: -5m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"OPTIONS * HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 404),
        (b"GET /other HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 404),
        (b"POST /read HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"POST /pay HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /once HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 1048577\r\n\r\n" + b"x" * 65537, 413),
        (
            b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 16
            + b"1\r\nx\r\n",
            413,
        ),
        (b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 60000000\r\n\r\n", 413),  # at its head
        (b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: %b3\r\n\r\nabc" % (b"0" * 5000), 413),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Id: 2\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\nX: a\x01b\r\n\r\n", 400),
        (b"GET /re\x01ad HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nLong: " + b"x" * 20_000, 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"GET /read HTTP/1.1\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n", 400),
    ],
)
def test_bad_input_gets_a_plain_answer_and_a_close(tmp_path: Path, text: bytes, code: int) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            client.writer.write(text)
            assert (await client.answer()).code == code
            assert await client.ended() == b""
            assert backend.got.empty()
            assert (await (await rig.client()).ask("/read")).code == 200

    run(test)


def test_a_connection_that_never_asks_is_closed(tmp_path: Path) -> None:
    """Guards against connections by hundreds that say nothing, or half a request, and keep a descriptor."""

    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            used, mute, half = await rig.client(), await rig.client(), await rig.client()
            assert (await used.ask("/read")).code == 200
            half.writer.write(b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nhalf")
            assert (await half.answer()).code == 408
            assert await half.ended() == await mute.ended() == b""
            assert (await used.ask("/read")).code == 200  # one that has asked is kept

    run(test)


def test_clients_that_keep_connections_leave_some_to_others(tmp_path: Path) -> None:
    """Guards against clients that ask once and stay, until others find no connection to ask on."""

    async def test() -> None:
        async with running(tmp_path, Backend("b0"), sockets=64) as rig:  # 19 for clients
            kept = [await rig.client() for _ in range(3)]
            for client in kept:
                assert (await client.ask("/up")).code == 200
            assert await kept[0].ended() == b""
            for client in kept[1:]:  # few enough
                assert (await client.ask("/read")).code == 200

    run(test)


def test_a_first_answer_closes_while_many_connections_stand_idle(tmp_path: Path) -> None:
    """Guards against clients that ask once each and stay, faster than idle connections are closed.

    What is asked on again is kept: only who has asked once may never ask again.
    """

    async def test() -> None:
        async with running(tmp_path, Backend("b0"), sockets=64) as rig:  # three may stand idle
            kept = [await rig.client() for _ in range(3)]
            for client in kept:
                assert "connection" not in (await client.ask("/read")).headers
            for _ in range(3):
                late = await rig.client()
                got = await late.ask("/read")
                assert got.code == 200 and got.headers["connection"] == "close"
                assert await late.ended() == b""
            for client in kept:
                assert "connection" not in (await client.ask("/read")).headers

    run(test)


def test_a_trailer_is_no_header(tmp_path: Path) -> None:
    """Guards against a request whose id changes behind its body."""

    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            head = b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            client.writer.write(head + b"1\r\nx\r\n0\r\nRequest-Id: 2\r\n\r\n")
            assert (await client.answer()).body == b"b0 1"

    run(test)


def test_what_comes_behind_an_answer_is_not_the_next_ones(tmp_path: Path) -> None:
    """Guards against serving a client with another's answer: the second copy waits in the kernel at reuse."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        pool = BackendPool(
            Settings(classes=(READ,), connection_idle_ms=60_000.0, connect_timeout_ms=HOUR), 10
        )
        pool.update(_list("b0", listener.getsockname()[1]))
        ends: list[BackendResponse] = []
        pool.start("b0", b"one", ends.append)
        peer, _ = await loop.sock_accept(listener)
        await loop.sock_recv(peer, 10)
        peer.setblocking(True)
        peer.sendall(answer(b"mine"))
        while not ends:
            await asyncio.sleep(0)
        peer.sendall(answer(b"mine again"))  # without a turn of the loop before the next request
        pool.start("b0", b"two", ends.append)
        other, _ = await loop.sock_accept(listener)
        assert await loop.sock_recv(other, 10) == b"two"
        other.setblocking(True)
        other.sendall(answer(b"yours"))
        while len(ends) < 2:
            await asyncio.sleep(0)
        assert [end.body for end in ends] == [b"mine", b"yours"]
        for sock in (peer, other, listener):
            sock.close()

    run(test)


def test_an_answer_too_large_is_known_from_its_head(tmp_path: Path) -> None:
    async def test() -> None:
        first = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"  # and nothing more
        async with running(tmp_path, Backend("b0", says(first)), **PATIENT) as rig:
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).code == 502
            await rig.logged("answer too large")

    run(test)


def test_the_end_of_a_window_reaches_the_connection(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """In seconds of the monotonic clock, from the module's milliseconds."""

    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([], 9)))
        node = RequestDispatcher(load({"PROXY_CONFIG": str(path)}))
        node.pool.update(_list("b0", 9))
        told: list[float] = []
        monkeypatch.setattr(node.pool, "start", lambda name, data, done, begin_by: told.append(begin_by))
        nobody: Any = None
        node.open["r"] = PendingRequest(nobody, node.now() + 4000.0, lambda wait: b"")
        before = time.monotonic()
        for begin_by in (math.inf, node.now() + 500.0):
            node._act(SendAttempt("r", "b0", 0.0, start_before_ms=begin_by))
        assert told[0] == math.inf and before <= told[1] - 0.5 + 1e-5 <= time.monotonic() + 1e-4

    run(test)


def test_a_failed_decision_leaves_nothing_behind(tmp_path: Path) -> None:
    """Guards against requests that the module keeps, or counts as out, for good after an exception."""

    async def test() -> None:
        backend = Backend("b0", never)
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        know(node, config.configured_endpoints)
        front = HttpServer(node, 9)
        await front.listen(("127.0.0.1", 0))
        decide = node.balancer.handlers[RequestArrived]

        def broken(state: Any, event: Any) -> None:
            decide(state, event)
            raise RuntimeError("half-way")

        node.balancer.handlers[RequestArrived] = broken
        client = Client(*await asyncio.open_connection(*front.address))
        assert (await client.ask("/once", method="POST")).code == 502
        assert node.balancer.in_flight == 0 and not node.balancer.requests and not node.open
        client.writer.transport.abort()
        front.stop()
        backend.stop()

    run(test)


def test_an_upgrade_is_not_answered_twice(tmp_path: Path) -> None:
    """The parser stops at an upgrade once the request is whole, and so may be answered already."""

    async def test() -> None:
        async with running(tmp_path) as rig:  # no backends: all is refused at once
            client = await rig.client()
            client.send("/read", "Upgrade: websocket", "Connection: upgrade")
            assert (await client.answer()).code == 503
            assert await client.ended() == b""

    run(test)


def test_a_request_behind_an_answer_that_closes_is_not_taken(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            await (await rig.client()).ask("/read")  # leaves a connection on which the next is sent at once
            await backend.got.get()
            rig.terminate()
            while (await (await rig.client()).ask("/up")).code != 503:
                pass
            client = await rig.client()
            two = b"GET /up HTTP/1.1\r\n\r\nGET /read HTTP/1.1\r\nRequest-Id: 1\r\n\r\n"
            client.writer.write(two)  # in one packet, so that both are read at once
            assert (await client.answer()).headers["connection"] == "close"
            assert await client.ended() == b""
            assert await rig.end() == 0
            assert backend.got.empty()

    run(test)


def test_a_request_behind_an_open_one_is_left_to_another_connection(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            first = client.send("/read")
            client.send("/read")
            got = await client.answer()
            assert got.body.decode().endswith(first) and got.headers["connection"] == "close"
            assert await client.ended() == b"" and backend.got.qsize() == 1

    run(test)


# --- limits, start and end


def test_the_cap_on_client_connections_holds(tmp_path: Path) -> None:
    """The longest idle connection makes room."""

    async def test() -> None:
        backend = Backend("b0", never)
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        know(node, config.configured_endpoints)
        front = HttpServer(node, 2)
        await front.listen(("127.0.0.1", 0))
        busy, idle = [Client(*await asyncio.open_connection(*front.address)) for _ in range(2)]
        busy.send("/read")
        await backend.got.get()
        assert (await idle.ask("/up")).code == 200
        more = Client(*await asyncio.open_connection(*front.address))
        assert await idle.ended() == b""
        assert (await more.ask("/up")).code == 200
        front.stop()
        for client in (busy, more):
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_a_connection_over_the_cap_gets_a_legal_answer(tmp_path: Path) -> None:
    """Where none is idle the newest is answered, and closed."""

    async def test() -> None:
        backend = Backend("b0", never)
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        know(node, config.configured_endpoints)
        front = HttpServer(node, 2)
        await front.listen(("127.0.0.1", 0))
        clients = [Client(*await asyncio.open_connection(*front.address)) for _ in range(2)]
        for client in clients:
            client.send("/read")
            await backend.got.get()
        last = Client(*await asyncio.open_connection(*front.address))
        got = await last.ask("/read")
        assert got.code == 503 and got.headers["connection"] == "close"
        assert await last.ended() == b"" and backend.got.empty()
        front.stop()
        for client in clients:
            client.writer.transport.abort()
        while front.connections or node.open:
            await asyncio.sleep(0)
        backend.stop()

    run(test)


def test_a_crowd_does_not_cost_those_who_were_here_their_answer(tmp_path: Path) -> None:
    """Guards against refusing all requests, on any connection, while new ones keep coming over the cap."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        know(node, config.configured_endpoints)
        front = HttpServer(node, 1)
        await front.listen(("127.0.0.1", 0))
        first = Client(*await asyncio.open_connection(*front.address))
        assert (await first.ask("/up")).code == 200
        first.writer.write(b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\n")
        while front.idle:
            await asyncio.sleep(0)
        second = Client(*await asyncio.open_connection(*front.address))
        assert (await second.ask("/read")).code == 503
        first.writer.write(b"\r\n")
        assert (await first.answer()).code == 200
        front.stop()
        for client in (first, second):
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_no_more_than_max_open_requests_are_taken(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", never)
        async with running(tmp_path, backend, limits={"max-open": 1}, **PATIENT) as rig:
            first, second = await rig.client(), await rig.client()
            first.send("/read")
            await backend.got.get()
            assert (await second.ask("/read")).code == 503

    run(test)


def test_sigterm_answers_what_was_taken_and_exits_0(tmp_path: Path) -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            await echo(backend, message, writer)

        backend = Backend("b0", slow)
        async with running(tmp_path, backend) as rig:
            busy, idle = await rig.client(), await rig.client()
            await idle.ask("/up")
            busy.send("/read")
            await backend.got.get()
            rig.terminate()
            while (await (await rig.client()).ask("/up")).code != 503:
                pass
            late = await rig.client()  # connections that come now are still taken
            late.send("/read")
            await backend.got.get()
            assert await idle.ended() == b""
            go.set()
            for client in (busy, late):
                got = await client.answer()
                assert got.code == 200 and got.headers["connection"] == "close"
            assert await rig.end() == 0

    run(test)


@pytest.mark.parametrize(
    ("over", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "request-classes"),
        ({"seed": "xyz"}, "seed"),
        ({"known": {"revision": 1, "members": {}}}, "known"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        (None, "PROXY_CONFIG"),
    ],
)
def test_a_bad_configuration_is_named(tmp_path: Path, over: dict[str, Any] | None, field: str) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text("{" if over is None else json.dumps(configuration([], 1) | over))
        process = await spawn(path)
        _, err = await process.communicate()
        assert process.returncode == 2
        assert len(err.decode().splitlines()) == 1 and field in err.decode()

    run(test)
