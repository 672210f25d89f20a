"""Tests of a node that applies a list of 3,000 endpoints in slices, one per turn of the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from balancer.core.discovery import endpoint_merger, snapshot_slices, source_state
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import (
    Action,
    ClientLeft,
    Endpoint,
    EndpointUpdateKind,
    Event,
    LearnedStateRestored,
    Phase,
)
from balancer.net import request_dispatcher
from balancer.net.config import load
from balancer.net.discovery import platform, platform_call
from balancer.net.discovery.platform import PlatformSource
from balancer.net.endpoint_view import EndpointView
from balancer.net.http_server import HttpServer
from balancer.net.request_dispatcher import RequestDispatcher
from benchmarks.proxy_fleet import Servers
from tests.net.test_etcd_discovery import WAIT_TIMEOUT_S, run, until
from tests.net.test_platform_discovery import FixedAnswerDiscovery
from tests.sockets import Client, configuration

ENDPOINT_COUNT = 3_000


class NodeWithList:
    """A node with its HTTP server and discovery in this process, and backends that answer."""

    def __init__(self, path: Path, servers: Servers) -> None:
        (path / "c.json").write_text(json.dumps(configuration([], 1)))
        config = load({"PROXY_CONFIG": str(path / "c.json")})
        self.servers, self.node, self.listed = (
            servers,
            RequestDispatcher(config),
            source_state.Source(platform.SOURCE_NAME),
        )
        self.fleet, self.front = EndpointView(self.node, [self.listed]), HttpServer(self.node, 9)
        self.sent: list[str] = []
        start = self.node.pool.start

        def record_start(name: str, *args: object) -> object:
            self.sent.append(name)
            return start(name, *args)  # type: ignore[arg-type]

        self.node.pool.start = record_start  # type: ignore[method-assign, assignment]
        self.change_sizes: list[int] = []  # records in each change of the view
        self.fleet.listeners.append(
            lambda _, actions: self.change_sizes.extend(
                len(action.records)
                for action in actions
                if isinstance(action, endpoint_merger.ApplyEndpoints)
            )
        )

    async def fetch(self, revision: int, weight: float) -> None:
        """Fetch a snapshot of all backends at this weight from a discovery of its own."""
        rows = [{**one, "size": weight} for one in self.servers.entries]
        body = json.dumps({"revision": revision, "complete": True, "members": rows}).encode()
        assert len(body) > platform_call.MAX_UNSLICED_LINE_BYTES
        discovery = FixedAnswerDiscovery(b"200 OK", body)
        await discovery.start()
        PlatformSource(
            ("127.0.0.1", discovery.port),
            False,
            1000.0,
            self.node.now,
            lambda event: self.fleet.handle(self.with_one_identity(event)),
            lambda: None,
            lambda: None,
        ).fetch()

    def with_one_identity(self, event: endpoint_merger.Event) -> endpoint_merger.Event:
        """The event, with one identity for all discoveries."""
        return (
            endpoint_merger.EndpointsListed(event.source, "here", event.endpoint_list)
            if isinstance(event, endpoint_merger.EndpointsListed)
            else event
        )

    async def turns(self, condition: Callable[[], object]) -> None:
        """Run the event loop turn by turn until the condition holds."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def running_node(path: Path) -> AsyncIterator[tuple[NodeWithList, Client]]:
    async with Servers(ENDPOINT_COUNT) as servers:
        running = NodeWithList(path, servers)
        await running.front.listen(("127.0.0.1", 0))
        host, port = running.front.address
        client = Client(*await asyncio.open_connection(host, port))
        try:
            yield running, client
        finally:
            client.writer.transport.abort()
            running.front.stop()
            running.node.pool.close()
            await until(lambda: not running.front.connections)


def test_large_first_list_is_applied_between_answers_and_removed_backends_get_no_request(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_node(tmp_path) as (running, client):
            assert (await client.ask("/up")).code == 503
            await running.fetch(1, 1.0)
            await running.turns(lambda: running.node.bulk_update)
            names = [one["id"] for one in running.servers.entries]
            assert (await client.ask("/up")).code == 503 and running.node.bulk_update, (
                "answered between its slices"
            )
            response = asyncio.create_task(client.ask("/read", "Request-Timeout: 3000m"))
            await running.turns(lambda: running.node.open_requests)
            assert running.node.bulk_update and not running.sent
            removal = endpoint_merger.EndpointsListed(
                "platform", "here", EndpointList(2, False, (), tuple(names[:7] + names[8:]))
            )
            running.fleet.handle(removal)
            assert (await response).code == 200 and running.sent == [names[7]]
            assert running.node.bulk_update is None and running.node.balancer.order == [names[7]]
            assert (await client.ask("/up")).code == 200 and [*running.node.pool.backends] == [names[7]]

    run(test)


def test_requests_are_answered_between_the_slices_of_a_later_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(snapshot_slices, "CHANGE_SLICE_ENTRIES", 25)  # 120 turns

    async def test() -> None:
        async with running_node(tmp_path) as (running, client):
            await running.fetch(1, 1.0)
            await until(lambda: running.node.is_ready)
            assert running.change_sizes[-1] == ENDPOINT_COUNT, "a first list in one piece"
            assert (await client.ask("/read", "Request-Timeout: 3000m")).code == 200
            await running.fetch(2, 2.0)
            await running.turns(lambda: running.listed.pending_records)
            assert (await client.ask("/read", "Request-Timeout: 3000m")).code == 200
            assert running.listed.pending_records, "answered between its slices"
            await until(lambda: not running.listed.pending_records)
            weights = {b.endpoint.weight for b in running.node.balancer.backends.values()}
            assert weights == {2.0} and len(running.node.balancer.order) == ENDPOINT_COUNT
            assert (
                max(running.change_sizes[running.change_sizes.index(ENDPOINT_COUNT) + 1 :])
                <= snapshot_slices.CHANGE_SLICE_ENTRIES
            )

    run(test)


@pytest.mark.parametrize(
    "count", [request_dispatcher.LARGE_LIST_ENDPOINTS, request_dispatcher.LARGE_LIST_ENDPOINTS + 1]
)
def test_first_list_up_to_the_limit_is_applied_in_the_same_turn(tmp_path: Path, count: int) -> None:
    async def test() -> None:
        (tmp_path / "c.json").write_text(json.dumps(configuration([], 1)))
        node = RequestDispatcher(load({"PROXY_CONFIG": str(tmp_path / "c.json")}))
        up = Phase.UP
        records = [
            EndpointRecord(Endpoint(f"s{n}", "a", 0, 1.0, up, 0.0), ("127.0.0.1", n + 1))
            for n in range(count)
        ]
        node.apply(endpoint_merger.ApplyEndpoints(EndpointUpdateKind.INCREMENTAL, tuple(records), (), 1))
        handled, handle = list[str](), node.balancer.handle

        def record_event(now_ms: float, event: Event) -> list[Action]:
            handled.append(type(event).__name__)
            return handle(now_ms, event)

        node.balancer.handle = record_event  # type: ignore[method-assign]
        node.event(ClientLeft("r1"))
        node.event(LearnedStateRestored(node.balancer.learned(node.now()), 0.0))
        assert (
            node.is_ready is (count <= request_dispatcher.LARGE_LIST_ENDPOINTS)
            and (node.bulk_update is None) is node.is_ready
        )
        await until(lambda: node.is_ready)
        assert len(node.balancer.order) == count
        expected_events = (
            []
            if count <= request_dispatcher.LARGE_LIST_ENDPOINTS
            else ["EndpointsUpdated", "LearnedStateRestored", "ClientLeft"]
        )
        assert handled == (expected_events or ["ClientLeft", "LearnedStateRestored"]), (
            "restored state is handled before deferred events"
        )

    run(test)
