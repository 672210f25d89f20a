"""Tests of a node over loopback sockets: outcomes, responses, drains, lists, shutdown and invalid input."""

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
from types import SimpleNamespace
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
from balancer.net.backend_connection import BackendResponse
from balancer.net.backend_pool import REUSE_DELAY_S, BackendPool
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.http_server import HttpServer
from balancer.net.request_dispatcher import PendingRequest, RequestDispatcher
from balancer.protocol.load_report import parse_load_report
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
    """Run the coroutine of a test with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT):
            await test()

    asyncio.run(bounded())


async def never(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
    """Read the request and never respond."""


def respond_in_turn(*answers: bytes) -> Callable[[Backend, Message, asyncio.StreamWriter], Awaitable[None]]:
    """Give these responses in turn, across all backends that share them, then echo. Empty ones reset."""
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


def test_node_that_serves_requests_reuses_connections(tmp_path: Path) -> None:
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
            assert backend.connections == 1  # connections are reused

    run(test)


NOT_STARTED_RESPONSE = answer(b"", "503 Service Unavailable", "Not-Started: 1")


@pytest.mark.parametrize(
    ("first", "path", "is_retried"),
    [
        (NOT_STARTED_RESPONSE, "/once", True),
        (answer(b"", "504 Gateway Timeout", "Not-Started: 1"), "/once", True),
        (answer(b"", "503 Service Unavailable"), "/once", False),  # without `Not-Started` it may have run
        (answer(b"", "500 Internal Server Error"), "/once", False),
        (answer(b"", "500 Internal Server Error", "Not-Started: 1"), "/once", False),
        (b"", "/once", False),  # a reset
        (b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "/once", False),
        (b"", "/read", True),
    ],
)
def test_attempt_outcome_decides_whether_it_is_retried(
    tmp_path: Path, first: bytes, path: str, is_retried: bool
) -> None:
    async def test() -> None:
        respond = respond_in_turn(first)
        one, two = Backend("b0", respond), Backend("b1", respond)
        async with running(tmp_path, one, two) as rig:
            client = await rig.client()
            got = await client.ask(path, method="GET" if path == "/read" else "POST")
            assert got.code == (200 if is_retried else 502)
            assert one.got.qsize() + two.got.qsize() == 1 + is_retried

    run(test)


def test_attempt_on_a_refused_connection_counts_as_not_run(tmp_path: Path) -> None:
    """A fragile request may be sent to another backend, and may be rejected if there is none."""

    async def test() -> None:
        dead = [Backend(f"b{i}") for i in range(3)]
        async with running(tmp_path, *dead) as rig:
            for backend in dead:
                backend.stop()
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).code == 503

    run(test)


def test_attempt_on_a_connect_timeout_counts_as_not_run(tmp_path: Path) -> None:
    async def test() -> None:
        unresponsive_listener = socket.socket()  # a full accept queue: further connections are not accepted
        unresponsive_listener.bind(("127.0.0.1", 0))
        unresponsive_listener.listen(0)
        filler_sockets = [socket.socket() for _ in range(4)]
        for sock in filler_sockets:
            sock.setblocking(False)
            sock.connect_ex(unresponsive_listener.getsockname())
        pool = BackendPool(Settings(classes=(READ,), connect_timeout_ms=100.0), 10)
        pool.update(_records("b0", unresponsive_listener.getsockname()[1]))
        assert (await _attempt(pool, b"GET / HTTP/1.1\r\n\r\n")).status is AttemptStatus.CONNECT_FAILED
        assert pool.connection_count == 0
        for sock in [unresponsive_listener, *filler_sockets]:
            sock.close()

    run(test)


def apply_list(node: RequestDispatcher, known: EndpointList) -> None:
    """Apply a list of backends to the node."""
    EndpointView(node, [Source("platform")]).handle(
        EndpointsListed("platform", "here", known, is_cached=True)
    )


READ = Class("read", Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0)


def _records(name: str, port: int, **over: Any) -> Any:
    row = {"id": name, "host_port": f"127.0.0.1:{port}", "phase": "in_service"} | over
    return parse_endpoint_list({"revision": 1, "complete": True, "members": [row]}).records


async def _attempt(
    pool: BackendPool, data: bytes, meanwhile: Callable[[], Any] = lambda: None
) -> BackendResponse:
    ends: asyncio.Queue[BackendResponse] = asyncio.Queue()
    pool.start("b0", data, ends.put_nowait)
    meanwhile()
    return await ends.get()


def test_attempt_reset_before_its_last_byte_counts_as_not_run() -> None:
    async def test() -> None:
        met = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1)  # most of the request is still unsent
            writer.transport.abort()
            met.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=1000.0, connect_timeout_ms=HOUR), 10)
        pool.update(_records("b0", server.sockets[0].getsockname()[1]))
        assert (await _attempt(pool, b"x" * 64_000_000)).status is AttemptStatus.CONNECT_FAILED
        await met.wait()
        assert (await _attempt(pool, b"x")).status is AttemptStatus.RESET
        server.close()

    run(test)


def test_backend_that_leaves_during_connect_is_sent_nothing() -> None:
    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=1000.0, connect_timeout_ms=HOUR), 10)
        for change in ({"phase": "terminating"}, None, {"host_port": "127.0.0.1:9"}):
            pool.update(_records("b0", backend.port))
            late = _records("b0", backend.port, **change) if change else ()
            gone = () if change else ("b0",)
            got = await _attempt(pool, b"x", partial(pool.update, late, gone))
            assert got.status is AttemptStatus.NOT_STARTED
            assert pool.connection_count == 0
        assert backend.got.empty()
        backend.stop()

    run(test)


def test_dropped_attempt_closes_its_connection_immediately() -> None:
    """Guards against sending a second attempt while the connection of the first is still open."""

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=1000.0, connect_timeout_ms=HOUR), 10)
        pool.update(_records("b0", listener.getsockname()[1]))
        attempt = pool.start("b0", b"hello", lambda answer: None)
        loop = asyncio.get_running_loop()
        listener.setblocking(False)
        peer, _ = await loop.sock_accept(listener)
        assert await loop.sock_recv(peer, 10) == b"hello"
        attempt.drop()
        peer.setblocking(True)
        peer.settimeout(WAIT)
        assert peer.recv(1) == b""  # without a turn of the event loop in between
        peer.close()
        listener.close()

    run(test)


def test_pool_at_its_connection_cap_opens_no_more(tmp_path: Path) -> None:
    """The longest idle connection is closed; if none is idle the attempt is not sent."""

    async def test() -> None:
        backends = [Backend("b0"), Backend("b1", never)]
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=60_000.0, connect_timeout_ms=HOUR), 1)
        members = ()
        for backend in backends:
            await backend.start()
            members += _records(backend.name, backend.port)
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


def test_pool_without_descriptors_does_not_count_the_connection() -> None:
    """Guards against a pool that shrinks permanently after a moment without descriptors."""

    async def test() -> None:
        backend = Backend("b0", respond_in_turn(answer(b"x")))
        await backend.start()
        pool = BackendPool(Settings(classes=(READ,), connection_idle_ms=60_000.0, connect_timeout_ms=HOUR), 1)
        pool.update(_records("b0", backend.port))
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


def test_idle_backend_connection_is_closed_after_its_timeout(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend, limits={"conn-idle": 300}) as rig:
            client = await rig.client()
            await client.ask("/read")
            assert await backend.lost.get() == 1
            assert (await client.ask("/read")).code == 200
            assert backend.connections == 2

    run(test)


def test_data_after_a_response_closes_only_the_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async def respond_twice(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(b"mine") + answer(b"not mine"))

        backend = Backend("b0", respond_twice)
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            for number in (1, 2, 3):
                assert (await client.ask("/read")).body == b"mine"
                assert await backend.lost.get() == number

    run(test)


def test_backend_with_one_invalid_response_stays_in_use(tmp_path: Path) -> None:
    """Guards against ejecting healthy backends one by one, as line noise can hit any of them."""

    async def test() -> None:
        faulty = Backend("b0", respond_in_turn(b"\x00 no answer\r\n\r\n"))
        async with running(tmp_path, faulty, Backend("b1"), **PATIENT) as rig:
            client = await rig.client()
            while faulty.got.empty():
                assert (await client.ask("/read")).code == 200
            await rig.logged("broken answer")
            seen = {(await client.ask("/read")).body.split()[0] for _ in range(20)}
            assert seen == {b"b0", b"b1"}

    run(test)


def test_backend_with_only_invalid_responses_is_avoided(tmp_path: Path) -> None:
    async def test() -> None:
        async def send_garbage(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"\x00 no answer\r\n\r\n")

        faulty, good = Backend("b0", send_garbage), [Backend(f"b{i}") for i in range(1, 4)]
        async with running(tmp_path, faulty, *good, **PATIENT) as rig:
            client = await rig.client()
            for _ in range(100):
                assert (await client.ask("/read")).code == 200
            assert faulty.got.qsize() < 10

    run(test)


def test_stalled_backend_with_open_requests_gets_no_more(tmp_path: Path) -> None:
    """Guards against loading a stalled backend while others are free, before any load report shows it."""

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


def test_live_weights_with_spare_capacity_raise_the_limit(tmp_path: Path) -> None:
    """Guards against shedding with idle cores when latency objectives are close to the service time."""

    async def test() -> None:
        busy, peak, count = 0, asyncio.Event(), 0

        async def work(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal busy, count
            busy, count = busy + 1, count + 1
            if busy > 8:  # the lowest limit is four for each backend
                peak.set()
            await asyncio.sleep(0.1 if count % 10 else 0.0)
            busy -= 1
            await echo(backend, message, writer)

        read = {"name": "read", "effect": "retryable", "give-up": 2000, "objective": 400}
        backends = [Backend("b0", work), Backend("b1", work)]
        settings = {"request-classes": [read], "weight-source": "live"}
        async with running(tmp_path, *backends, **settings) as rig:
            await rig.discovery.asked.get()

            async def send_requests() -> None:
                client = await rig.client()
                while True:
                    await client.ask("/read")
                    await asyncio.sleep(0.01)

            async def publish_lists() -> None:
                for revision in itertools.count(42):
                    rig.discovery.news(revision, *[b.member() for b in backends])
                    await asyncio.sleep(0.05)

            tasks = [asyncio.ensure_future(send_requests()) for _ in range(24)]
            tasks.append(asyncio.ensure_future(publish_lists()))
            await asyncio.wait_for(peak.wait(), WAIT)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run(test)


def test_response_with_an_endless_head_fails(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", respond_in_turn(b"HTTP/1.1 200 OK\r\nLong: " + b"x" * 20_000))
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).code == 502
            await rig.logged("answer too large")
            await backend.lost.get()

    run(test)


def test_interim_responses_are_skipped(tmp_path: Path) -> None:
    async def test() -> None:
        first = b"HTTP/1.1 103 Early Hints\r\nNot-Started: 1\r\n\r\n" + answer(b"late")
        async with running(tmp_path, Backend("b0", respond_in_turn(first))) as rig:
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).body == b"late"

    run(test)


# --- load reports


def test_load_report_with_invalid_text_raises() -> None:
    report = parse_load_report("TEXT inflight=7, queue=2, util=0.61, other=3")
    assert (report.in_flight, report.queued, report.cpu_load) == (7.0, 2.0, 0.61)
    for text in ("", "JSON {}", "TEXT inflight", "TEXT inflight=x", "TEXT inflight=nan", "TEXT queue=-1"):
        with pytest.raises(ValueError):
            parse_load_report(text)


def test_invalid_load_report_is_logged_and_the_response_served(tmp_path: Path) -> None:
    async def test() -> None:
        first = answer(b"fine", "200 OK", "Server-Load: TEXT inflight=many")
        async with running(tmp_path, Backend("b0", respond_in_turn(first))) as rig:
            client = await rig.client()
            assert (await client.ask("/read")).body == b"fine"
            await rig.logged("not a load report")
            assert (await client.ask("/read")).code == 200

    run(test)


# --- the one answer


def test_request_without_a_response_fails_before_its_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", never)
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            loop = asyncio.get_running_loop()
            start = loop.time()
            assert (await client.ask("/once", "Request-Timeout: 700m", method="POST")).code == 502
            assert loop.time() - start >= 0.6
            await backend.lost.get()  # the connection of the attempt is closed
            backend.respond = echo
            assert (await client.ask("/up")).code == 200

    run(test)


def test_client_disconnect_cancels_its_attempt(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", never)
        async with running(tmp_path, backend, **PATIENT) as rig:
            client = await rig.client()
            client.send("/read")
            await backend.got.get()
            client.writer.close()
            await backend.lost.get()

    run(test)


def test_rejection_is_immediate_and_carries_retry_after(tmp_path: Path) -> None:
    """Guards against clients that all retry at once after a rejection."""

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


def test_draining_backend_gets_no_request_and_its_idle_connections_close(tmp_path: Path) -> None:
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


def test_snapshot_split_over_packets_removes_missing_backends(tmp_path: Path) -> None:
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


def test_backend_with_a_new_address_is_used_there(tmp_path: Path) -> None:
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


def test_watch_that_ends_or_is_silent_is_restarted(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            await rig.discovery.asked.get()
            rig.discovery.news(47, backend.member())
            assert rig.discovery.writer is not None
            rig.discovery.writer.close()
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=47"
            # The watch is now silent but stays open, so only a timeout makes the node ask again.
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=47"
            client = await rig.client()
            assert (await client.ask("/read")).code == 200  # the last list stays in use

    run(test)


def test_invalid_watch_line_is_logged_and_a_snapshot_fetched(tmp_path: Path) -> None:
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


def test_invalid_entry_does_not_affect_other_entries(tmp_path: Path) -> None:
    """Guards against losing all backends because one entry has a host name or an unknown phase."""

    async def test() -> None:
        good, odd = Backend("b0"), Backend("b1")
        known = [good.member(), odd.member(host_port="there.example:80")]
        async with running(tmp_path, good, odd, known=known) as rig:
            # A snapshot may hold a valid entry for the one left out at the start.
            assert await rig.discovery.asked.get() == "/discovery/hosts"
            rig.discovery.whole(42, good.member(), odd.member(phase="resting"))
            await rig.logged("entry 'b1' left out: phase is 'resting'")
            assert await rig.discovery.asked.get() == "/discovery/hosts?watch=1&from=42"
            client = await rig.client()
            assert (await client.ask("/read")).body.startswith(b"b0 ")
            rig.discovery.news(43, odd.member(), good.member(phase="terminating", host_port="nowhere"))
            await good.lost.get()  # the drain is applied although the address is invalid
            assert (await client.ask("/read")).body.startswith(b"b1 ")

    run(test)


def test_older_snapshot_does_not_replace_a_newer_list(tmp_path: Path) -> None:
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


def test_sighup_with_a_new_discovery_address_keeps_open_requests(tmp_path: Path) -> None:
    """Guards against ending on SIGHUP, and against keeping the list of the previous address.

    Revisions at the new address are lower than the known ones, so only its snapshot shows removals.
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


def test_sighup_with_an_invalid_file_is_logged_and_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            await rig.discovery.asked.get()
            rig.reload("{")
            await rig.logged("reload: the old configuration stays")
            rig.discovery.news(42, backend.member(phase="terminating"))  # the watch is still in use
            client = await rig.client()
            while (await client.ask("/read")).code != 503:
                pass

    run(test)


@pytest.mark.parametrize(
    "row",
    [{}, {"id": 3}, {"phase": "odd"}, {"size": -1}, {"size": "1"}, {"host_port": "here:1"}, {"cell": "x"}],
)
def test_invalid_entries_are_reported(row: dict[str, Any]) -> None:
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
def test_invalid_request_gets_an_error_response_and_a_close(tmp_path: Path, text: bytes, code: int) -> None:
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


def test_connection_without_a_complete_request_is_closed(tmp_path: Path) -> None:
    """Guards against hundreds of connections that send nothing, or half a request, and hold descriptors."""

    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            used, unresponsive_listener, half = await rig.client(), await rig.client(), await rig.client()
            assert (await used.ask("/read")).code == 200
            half.writer.write(b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nhalf")
            assert (await half.answer()).code == 408
            assert await half.ended() == await unresponsive_listener.ended() == b""
            assert (await used.ask("/read")).code == 200  # a connection with a complete request is kept

    run(test)


def test_idle_client_connections_over_the_limit_are_closed(tmp_path: Path) -> None:
    """Guards against clients that keep connections after one request until others cannot connect."""

    async def test() -> None:
        async with running(tmp_path, Backend("b0"), sockets=64) as rig:  # 19 for clients
            kept = [await rig.client() for _ in range(3)]
            for client in kept:
                assert (await client.ask("/up")).code == 200
            assert await kept[0].ended() == b""
            for client in kept[1:]:  # the remaining ones are within the limit
                assert (await client.ask("/read")).code == 200

    run(test)


def test_first_response_with_many_idle_connections_closes_its_connection(tmp_path: Path) -> None:
    """Guards against clients that send one request each and stay, faster than idle connections are closed.

    Connections with more than one request are kept: one used only once may never be used again.
    """

    async def test() -> None:
        async with running(tmp_path, Backend("b0"), sockets=64) as rig:  # three may be idle
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


def test_trailer_does_not_change_the_request_headers(tmp_path: Path) -> None:
    """Guards against a trailer that changes the request id after the body."""

    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            client = await rig.client()
            head = b"POST /once HTTP/1.1\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            client.writer.write(head + b"1\r\nx\r\n0\r\nRequest-Id: 2\r\n\r\n")
            assert (await client.answer()).body == b"b0 1"

    run(test)


def test_surplus_response_is_not_delivered_to_the_next_request(tmp_path: Path) -> None:
    """Guards against delivering a response to the wrong client.

    A surplus response waits in the kernel when the connection is reused.
    """

    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        pool = BackendPool(
            Settings(classes=(READ,), connection_idle_ms=60_000.0, connect_timeout_ms=HOUR), 10
        )
        pool.update(_records("b0", listener.getsockname()[1]))
        ends: list[BackendResponse] = []
        pool.start("b0", b"one", ends.append)
        peer, _ = await loop.sock_accept(listener)
        await loop.sock_recv(peer, 10)
        peer.setblocking(True)
        peer.sendall(answer(b"mine"))
        while not ends:
            await asyncio.sleep(0)
        peer.sendall(answer(b"mine again"))  # without a turn of the event loop before the next request
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


def test_response_with_a_too_large_content_length_fails_at_its_head(tmp_path: Path) -> None:
    async def test() -> None:
        first = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"  # and no body
        async with running(tmp_path, Backend("b0", respond_in_turn(first)), **PATIENT) as rig:
            client = await rig.client()
            assert (await client.ask("/once", method="POST")).code == 502
            await rig.logged("answer too large")

    run(test)


def test_start_before_time_is_passed_to_the_pool_in_monotonic_seconds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The policy gives milliseconds of the node's clock; the pool takes seconds of the monotonic clock."""

    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([], 9)))
        node = RequestDispatcher(load({"PROXY_CONFIG": str(path)}))
        node.pool.update(_records("b0", 9))
        start_before_times_s: list[float] = []
        monkeypatch.setattr(
            node.pool,
            "start",
            lambda name, data, done, start_before_s: start_before_times_s.append(start_before_s),
        )
        client: Any = SimpleNamespace(may_be_gone=lambda: False)
        node.open_requests["r"] = PendingRequest(client, node.now() + 4000.0, lambda wait: b"")
        before = time.monotonic()
        for start_before_ms in (math.inf, node.now() + 500.0):
            node._perform(SendAttempt("r", "b0", 0.0, start_before_ms=start_before_ms))
        assert (
            start_before_times_s[0] == math.inf
            and before <= start_before_times_s[1] - 0.5 + 1e-5 <= time.monotonic() + 1e-4
        )

    run(test)


def test_failed_decision_leaves_no_request_open(tmp_path: Path) -> None:
    """Guards against requests that the policy keeps or counts as in flight forever after an exception."""

    async def test() -> None:
        backend = Backend("b0", never)
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        apply_list(node, config.configured_endpoints)
        server = HttpServer(node, 9)
        await server.listen(("127.0.0.1", 0))
        handler = node.balancer.handlers[RequestArrived]

        def failing_handler(state: Any, event: Any) -> None:
            handler(state, event)
            raise RuntimeError("half-way")

        node.balancer.handlers[RequestArrived] = failing_handler
        client = Client(*await asyncio.open_connection(*server.address))
        assert (await client.ask("/once", method="POST")).code == 502
        assert node.balancer.in_flight == 0 and not node.balancer.requests and not node.open_requests
        client.writer.transport.abort()
        server.stop()
        backend.stop()

    run(test)


def test_upgrade_request_is_answered_once(tmp_path: Path) -> None:
    """The parser stops at an upgrade after the complete request, which may be answered by then."""

    async def test() -> None:
        async with running(tmp_path) as rig:  # no backends: every request is rejected at once
            client = await rig.client()
            client.send("/read", "Upgrade: websocket", "Connection: upgrade")
            assert (await client.answer()).code == 503
            assert await client.ended() == b""

    run(test)


def test_request_after_a_closing_response_is_not_accepted(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0")
        async with running(tmp_path, backend) as rig:
            await (await rig.client()).ask("/read")  # leaves an idle backend connection for the next request
            await backend.got.get()
            rig.terminate()
            while (await (await rig.client()).ask("/up")).code != 503:
                pass
            client = await rig.client()
            two = b"GET /up HTTP/1.1\r\n\r\nGET /read HTTP/1.1\r\nRequest-Id: 1\r\n\r\n"
            client.writer.write(two)  # in one packet, so that both are read together
            assert (await client.answer()).headers["connection"] == "close"
            assert await client.ended() == b""
            assert await rig.end() == 0
            assert backend.got.empty()

    run(test)


def test_pipelined_request_is_left_to_another_connection(tmp_path: Path) -> None:
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


def test_server_at_its_connection_cap_closes_an_idle_one(tmp_path: Path) -> None:
    """The longest idle connection is closed for a new one."""

    async def test() -> None:
        backend = Backend("b0", never)
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        apply_list(node, config.configured_endpoints)
        server = HttpServer(node, 2)
        await server.listen(("127.0.0.1", 0))
        busy, idle = [Client(*await asyncio.open_connection(*server.address)) for _ in range(2)]
        busy.send("/read")
        await backend.got.get()
        assert (await idle.ask("/up")).code == 200
        more = Client(*await asyncio.open_connection(*server.address))
        assert await idle.ended() == b""
        assert (await more.ask("/up")).code == 200
        server.stop()
        for client in (busy, more):
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_connection_over_the_cap_gets_a_503_and_a_close(tmp_path: Path) -> None:
    """If no connection is idle the newest gets a 503 response and is closed."""

    async def test() -> None:
        backend = Backend("b0", never)
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        apply_list(node, config.configured_endpoints)
        server = HttpServer(node, 2)
        await server.listen(("127.0.0.1", 0))
        clients = [Client(*await asyncio.open_connection(*server.address)) for _ in range(2)]
        for client in clients:
            client.send("/read")
            await backend.got.get()
        last = Client(*await asyncio.open_connection(*server.address))
        got = await last.ask("/read")
        assert got.code == 503 and got.headers["connection"] == "close"
        assert await last.ended() == b"" and backend.got.empty()
        server.stop()
        for client in clients:
            client.writer.transport.abort()
        while server.connections or node.open_requests:
            await asyncio.sleep(0)
        backend.stop()

    run(test)


def test_connections_over_the_cap_do_not_affect_accepted_ones(tmp_path: Path) -> None:
    """Guards against rejecting requests on accepted connections while new ones keep exceeding the cap."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backend.member()], 1)))
        config = load({"PROXY_CONFIG": str(path)})
        node = RequestDispatcher(config)
        apply_list(node, config.configured_endpoints)
        server = HttpServer(node, 1)
        await server.listen(("127.0.0.1", 0))
        first = Client(*await asyncio.open_connection(*server.address))
        assert (await first.ask("/up")).code == 200
        first.writer.write(b"GET /read HTTP/1.1\r\nRequest-Id: 1\r\n")
        while server.idle:
            await asyncio.sleep(0)
        second = Client(*await asyncio.open_connection(*server.address))
        assert (await second.ask("/read")).code == 503
        first.writer.write(b"\r\n")
        assert (await first.answer()).code == 200
        server.stop()
        for client in (first, second):
            client.writer.transport.abort()
        backend.stop()

    run(test)


def test_request_over_max_open_requests_is_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend("b0", never)
        async with running(tmp_path, backend, limits={"max-open": 1}, **PATIENT) as rig:
            first, second = await rig.client(), await rig.client()
            first.send("/read")
            await backend.got.get()
            assert (await second.ask("/read")).code == 503

    run(test)


def test_sigterm_answers_accepted_requests_and_exits_0(tmp_path: Path) -> None:
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
            late = await rig.client()  # new connections are still accepted
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
def test_invalid_configuration_names_its_field(
    tmp_path: Path, over: dict[str, Any] | None, field: str
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text("{" if over is None else json.dumps(configuration([], 1) | over))
        process = await spawn(path)
        _, err = await process.communicate()
        assert process.returncode == 2
        assert len(err.decode().splitlines()) == 1 and field in err.decode()

    run(test)
