"""Which connection is closed in favor of a new one once every place for a client is taken."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from balancer.net import connection_eviction
from balancer.net import http_server as http_server_module
from balancer.net.http_server import HttpServer
from tests.net.test_connection_memory import connect
from tests.net.test_graceful_shutdown import never_respond
from tests.net.test_http_server import run, running_http_server, until
from tests.sockets import HOUR, PATIENT, Backend, Client, Respond, echo

LIMIT = 4
HALF = b"POST /once HTTP/1.1\r\nRequest-Id: h%d\r\nTransfer-Encoding: chunked\r\n\r\n1;"


@pytest.fixture(autouse=True)
def slow_requests_are_not_timed_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server_module, "SLOW_REQUEST_TIMEOUT_S", HOUR)
    monkeypatch.setattr(connection_eviction, "SILENT_TIMEOUT_S", HOUR)


@contextlib.asynccontextmanager
async def limited_server(
    tmp_path: Path, max_connections: int, max_overload_connections: int, respond: Respond = echo
) -> AsyncIterator[HttpServer]:
    """Run a server with few places."""
    async with running_http_server(
        tmp_path,
        Backend("b0", respond),
        max_connections=max_connections,
        max_overload_connections=max_overload_connections,
        settings=PATIENT,
    ) as http_server:
        yield http_server


async def stuck_clients(http_server: HttpServer, count: int) -> list[Client]:
    """Connect clients that never end their requests, one after another."""
    clients = list[Client]()
    for number in range(count):
        clients.append(await connect(http_server, HALF % number))
        await until(lambda: sum(c.is_receiving_request for c in http_server.connections) == len(clients))
    return clients


def test_request_that_is_incomplete_for_long_gives_its_place_to_a_new_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients stuck in trailers on every connection: others were reset or rejected."""
    monkeypatch.setattr(connection_eviction, "MIN_INCOMPLETE_S", 0.0)

    async def test() -> None:
        async with limited_server(tmp_path, LIMIT, 0) as http_server:
            stuck = await stuck_clients(http_server, LIMIT)
            new = Client(*await asyncio.open_connection(*http_server.address))
            assert (await new.ask("/read")).code == 200
            assert (await stuck[0].answer()).code == 503  # the oldest, and only that one
            assert len(http_server.incomplete) == LIMIT - 1

    run(test)


def test_request_that_just_began_keeps_its_place(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_eviction, "MIN_INCOMPLETE_S", HOUR)

    async def test() -> None:
        async with limited_server(tmp_path, LIMIT, 1) as http_server:
            stuck = await stuck_clients(http_server, LIMIT)
            new = Client(*await asyncio.open_connection(*http_server.address))
            assert (await new.ask("/read")).code == 503
            assert len(http_server.incomplete) == LIMIT == len(stuck)

    run(test)


def test_kept_connections_stay_while_requests_are_stuck(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_eviction, "MIN_INCOMPLETE_S", 0.0)
    monkeypatch.setattr(http_server_module, "IDLE_PRESSURE_RATIO", 0.5)

    async def test() -> None:
        async with limited_server(tmp_path, LIMIT, 0) as http_server:
            kept = Client(*await asyncio.open_connection(*http_server.address))
            assert (await kept.ask("/read")).code == 200
            stuck = await stuck_clients(http_server, LIMIT - 1)
            for number in range(LIMIT, 3 * LIMIT):
                stuck.append(await connect(http_server, HALF % number))
                assert (await kept.ask("/read")).code == 200

    run(test)


def test_new_connection_without_a_request_is_not_taken_for_a_stuck_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A close could cross its first request."""
    monkeypatch.setattr(connection_eviction, "MIN_INCOMPLETE_S", 0.0)

    async def test() -> None:
        async with limited_server(tmp_path, LIMIT, 0) as http_server:
            silent = Client(*await asyncio.open_connection(*http_server.address))
            await until(lambda: http_server.unused)
            stuck = await stuck_clients(http_server, LIMIT - 1)
            new = Client(*await asyncio.open_connection(*http_server.address))
            assert (await new.ask("/read")).code == 200
            assert (await silent.ask("/read")).code == 200
            assert (await stuck[0].answer()).code == 503

    run(test)


def test_new_connection_keeps_its_place_where_all_others_are_busy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a first request that is reset, as its connection was closed for another new one."""
    monkeypatch.setattr(connection_eviction, "MIN_SILENT_S", HOUR)

    async def test() -> None:
        async with limited_server(tmp_path, 2, 1, never_respond) as http_server:
            busy = Client(*await asyncio.open_connection(*http_server.address))
            busy.send("/read")
            await until(lambda: http_server.node.open_requests)
            new = Client(*await asyncio.open_connection(*http_server.address))
            await until(lambda: http_server.unused)
            rejected = [await connect(http_server, b"") for _ in range(2)]
            assert {(await client.ask("/read")).code for client in rejected} == {503}
            new.send("/read")
            await until(lambda: len(http_server.node.open_requests) == 2)

    run(test)


def test_silent_connection_whose_request_has_arrived_is_not_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_eviction, "MIN_SILENT_S", 0.0)

    async def test() -> None:
        async with running_http_server(tmp_path, Backend("b0"), settings=PATIENT) as http_server:
            client = Client(*await asyncio.open_connection(*http_server.address))
            await until(lambda: http_server.unused)
            client.send("/read")  # the kernel has it, and the node's loop does not turn
            assert not connection_eviction.evict(http_server)
            assert (await client.answer()).code == 200
            silent = Client(*await asyncio.open_connection(*http_server.address))
            await until(lambda: http_server.unused)
            http_server.idle.clear()
            assert connection_eviction.evict(http_server)
            assert await silent.ended() == b""
            client.writer.transport.abort()

    run(test)


def test_connection_that_has_had_its_last_response_gives_its_place(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_eviction, "MIN_LINGERING_S", 0.0)
    monkeypatch.setattr(http_server_module, "LINGERING_CLOSE_S", HOUR)

    async def test() -> None:
        async with limited_server(tmp_path, 1, 0) as http_server:
            rejected = await connect(http_server, b"bad\r\n\r\n")
            assert (await rejected.answer()).code == 400
            await until(lambda: http_server.lingering)
            new = Client(*await asyncio.open_connection(*http_server.address))
            assert (await new.ask("/read")).code == 200
            assert not http_server.lingering and len(http_server.connections) == 1

    run(test)
