"""Connections that wait in the backlog of the listening socket: who waits, who is rejected, since when."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from balancer import interface as api
from balancer.net import accept_backlog, connection_eviction
from balancer.net import http_server as http_server_module
from balancer.net.accept_backlog import MAX_WAIT_S, AcceptBacklog, has_ended
from tests.net.test_graceful_shutdown import never_respond
from tests.net.test_http_server import run, running_http_server, until
from tests.sockets import HOUR, PATIENT, Backend, Client

UP = b"GET /up HTTP/1.1\r\n\r\n"


@pytest.fixture
def listening() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(8)
    return sock


def test_waiting_connections_are_counted_by_the_system(listening: socket.socket) -> None:
    backlog = AcceptBacklog(listening)
    assert backlog.waiting_count() == 0
    clients = [socket.create_connection(listening.getsockname()) for _ in range(3)]
    assert backlog.waiting_count() == 3
    listening.accept()[0].close()
    assert backlog.waiting_count() == 2
    for sock in (*clients, listening):
        sock.close()


def test_group_waits_for_its_time_and_later_connections_for_their_own(listening: socket.socket) -> None:
    backlog = AcceptBacklog(listening)
    assert not backlog.has_waited(1.0, 2)
    assert backlog.has_waited(1.0 + MAX_WAIT_S, 3)
    backlog.group_count -= 2
    assert not backlog.has_waited(2.0, 1)  # it came after the group, at 1.0 s at the earliest
    assert backlog.max_wait_s(2.5) == 1.5
    backlog.clear()
    assert backlog.max_wait_s(3.0) == 0.0 and not backlog.has_waited(3.0, 1)
    listening.close()


def test_connection_that_has_sent_something_has_not_ended() -> None:
    left, right = socket.socketpair()
    with left, right:
        assert not has_ended(left)
        right.send(b"x")
        right.close()
        assert not has_ended(left)
        left.recv(1)
        assert has_ended(left)


def test_crowd_that_gave_up_in_the_backlog_takes_no_slot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a first request that is rejected behind connections of clients that have left."""
    monkeypatch.setattr(connection_eviction, "MIN_SILENT_S", HOUR)

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0"), max_connections=2, max_overload_connections=0, settings=PATIENT
        ) as http_server:
            crowd = [socket.create_connection(http_server.address) for _ in range(30)]
            await until(lambda: len(http_server.connections) == 2)
            for sock in crowd:
                sock.close()
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/read")).code == 200
            client.writer.transport.abort()

    run(test)


def test_connection_gets_its_slot_where_the_system_does_not_count_who_waits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a listener that never accepts at the limit, as it believes that nobody waits."""
    monkeypatch.setattr(AcceptBacklog, "waiting_count", lambda backlog: 0)
    monkeypatch.setattr(http_server_module, "IDLE_TIMEOUT_UNDER_PRESSURE_S", HOUR)

    async def test() -> None:
        async with running_http_server(
            tmp_path, Backend("b0"), max_connections=1, max_overload_connections=0, settings=PATIENT
        ) as http_server:
            idle = Client(*await asyncio.open_connection(*http_server.address))
            assert (await idle.ask("/read")).code == 200
            client = Client(*await asyncio.open_connection(*http_server.address))
            assert (await client.ask("/read")).code == 200
            assert await idle.ended() == b""
            client.writer.transport.abort()

    run(test)


def test_deadline_of_a_request_counts_from_its_arrival_in_the_backlog(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against answers over a second late, and against backends that are told too much time."""
    wait_s, deadlines_ms = 0.3, list[float]()
    monkeypatch.setattr(accept_backlog, "MAX_WAIT_S", HOUR)

    async def test() -> None:
        async with running_http_server(
            tmp_path,
            Backend("b0", never_respond),
            max_connections=1,
            max_overload_connections=0,
            settings=PATIENT,
        ) as http_server:
            node = http_server.node
            request_arrived = node.request_arrived

            def note(event: api.RequestArrived, *args: object) -> None:
                deadlines_ms.append(event.deadline_ms)
                request_arrived(event, *args)  # type: ignore[arg-type]

            monkeypatch.setattr(node, "request_arrived", note)
            busy = Client(*await asyncio.open_connection(*http_server.address))
            busy.send("/read")
            await until(lambda: node.open_requests)
            waiting = Client(*await asyncio.open_connection(*http_server.address))
            sent_ms = node.now()
            waiting.send("/read", "Request-Timeout: 60000m")
            await asyncio.sleep(wait_s)
            busy.writer.transport.abort()
            await until(lambda: len(deadlines_ms) == 2)
            assert sent_ms + 59_900 <= deadlines_ms[1] <= sent_ms + 60_020
            waiting.writer.transport.abort()

    run(test)
