"""How soon a node notices that the platform's discovery returned, fell silent or changed its address.

`DiscoveryAgent` pushes lists as the settings declare: it answers at once, and sends nothing or refuses
connections while discovery is down.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.endpoint_merger import SourceLost
from balancer.core.discovery.source_state import Source
from balancer.endpoints import parse_endpoint_list
from balancer.interface import Phase
from balancer.net import request_dispatcher
from balancer.net.config import load
from balancer.net.discovery import platform, platform_call
from balancer.net.discovery.platform import PlatformSource
from balancer.net.endpoint_view import EndpointView
from balancer.net.http_server import HttpServer
from tests.net.test_etcd_discovery import (
    LOOPS,
    WAIT_TIMEOUT_S,
    Loop,
    run,
    until,
)
from tests.sockets import Backend, Client, configuration

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def encoded_list(revision: int, complete: bool = False, indent: int | None = None, **phases: str) -> bytes:
    """An encoded list of endpoints, given as phases by name."""
    rows = [
        {"id": name, "host_port": f"127.0.0.1:{port}", "phase": phase}
        for port, (name, phase) in enumerate(phases.items(), 1)
    ]
    return json.dumps({"revision": revision, "complete": complete, "members": rows}, indent=indent).encode()


class DiscoveryAgent:
    """Answers calls with its list; `calls` holds the target and the writer of each call."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.is_mute = False
        self.sends_head_only = False  # calls get a response head without a body
        self.list = encoded_list(1, True, b0="in_service", b1="in_service")
        self.body: bytes | None = None  # of a response, in place of the list
        self.address = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; after a stop again at the same address."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()

    def stop_listening(self) -> None:
        """Stop listening, and reset open connections."""
        assert self.server is not None
        self.server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
        self.writers.append(writer)
        if self.sends_head_only:
            writer.write(RESPONSE_HEAD)
        elif not self.is_mute:
            writer.write(RESPONSE_HEAD + chunk(self.list + b"\n" if self.body is None else self.body))
            if "watch" not in target:
                writer.write(b"0\r\n\r\n")
        self.calls.put_nowait((target, writer))

    async def next_watch(self) -> asyncio.StreamWriter:
        """Wait for the next watch call; returns its writer."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                target, writer = await self.calls.get()
                if "watch" in target:
                    return writer


class PlatformSourceHarness:
    """A platform source and the endpoint view that it feeds, as in a node."""

    def __init__(self, agent: DiscoveryAgent, grace_ms: float) -> None:
        self.fleet = EndpointView(self, [Source(platform.SOURCE_NAME)])
        self.events: list[endpoint_merger.Event] = []
        self.fleet.listeners.append(lambda event, _: self.events.append(event))
        self.source = PlatformSource(
            agent.address,
            False,
            grace_ms,
            self.now,
            self.fleet.handle,
            lambda: self.fleet.watch_revision(platform.SOURCE_NAME),
            lambda: None,
        )

    def now(self) -> float:
        return time.monotonic() * 1000

    def apply(self, change: endpoint_merger.ApplyEndpoints) -> None:
        """Called by the view, which already holds the change."""

    def is_draining(self, name: str = "b0") -> bool:
        record = self.fleet.merger.view.get(name)
        return record is not None and record.endpoint.phase is not Phase.UP

    def source_lost_count(self) -> int:
        return sum(isinstance(event, SourceLost) for event in self.events)


async def start_harness(
    grace_ms: float,
) -> tuple[DiscoveryAgent, PlatformSourceHarness, asyncio.StreamWriter]:
    """Start an agent, and a node whose watch is open and has listed its endpoints."""
    agent = DiscoveryAgent()
    await agent.start()
    node = PlatformSourceHarness(agent, grace_ms)
    node.source.watch(True)
    watch = await agent.next_watch()
    await until(lambda: "b0" in node.fleet.merger.view)
    return agent, node, watch


DRAINING_LIST = encoded_list(2, True, b0="terminating", b1="in_service")


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("grace_ms", [500.0, 2000.0])
@pytest.mark.parametrize("outage", ["refused", "mute", "head", "mid-line", "indented"])
def test_list_at_discovery_return_is_applied_within_the_drain_grace(
    outage: str, grace_ms: float, loop: Loop
) -> None:
    async def test() -> None:
        agent, node, watch = await start_harness(grace_ms)
        if outage == "refused":
            agent.stop_listening()
            await until(lambda: node.source_lost_count() >= 6)  # the retry waits have grown
        else:
            agent.is_mute, agent.sends_head_only = True, outage == "head"
            if outage in ("mute", "head"):
                agent.reset_connections()
            else:
                partial_list = encoded_list(2, indent=2 if outage == "indented" else None, b0="terminating")[
                    :30
                ]
                watch.write(chunk(partial_list))
            await agent.next_watch()  # a new call has been made that is never answered
        agent.is_mute, agent.sends_head_only, agent.list = False, False, DRAINING_LIST
        if outage == "refused":
            await agent.start()
        returned_ms = node.now()
        await until(node.is_draining)
        assert node.now() - returned_ms <= grace_ms
        node.source.watch(False)

    run(test, loop)


@pytest.mark.parametrize("loop", LOOPS)
def test_answer_in_the_kernel_buffer_is_read_after_its_deadline(loop: Loop) -> None:
    """Guards against a busy node that gives up the answered call, because uvloop runs timers first."""

    async def test() -> None:
        agent, node, watch = await start_harness(500.0)
        agent.is_mute = True
        watch.transport.abort()
        unanswered_watch = await agent.next_watch()
        # The answer arrives while the loop is blocked in another reader, and the deadline passes meanwhile.
        reading_end, writing_end = socket.socketpair()

        def block_loop() -> None:
            running.remove_reader(reading_end)
            with socket.socket(
                fileno=socket.dup(unanswered_watch.get_extra_info("socket").fileno())
            ) as raw_socket:
                raw_socket.send(RESPONSE_HEAD + chunk(DRAINING_LIST + b"\n"))
            time.sleep(0.5)

        running = asyncio.get_running_loop()
        running.add_reader(reading_end, block_loop)
        writing_end.send(b"x")
        await until(node.is_draining)
        assert agent.calls.empty() and len(agent.writers) == 3  # the snapshot, the first watch and this one
        node.source.watch(False)
        reading_end.close()
        writing_end.close()

    run(test, loop)


def test_watch_that_never_completes_a_line_is_replaced() -> None:
    """Guards against counting bytes as heartbeats although no line is ever complete."""

    async def test() -> None:
        agent, node, watch = await start_harness(500.0)

        async def send_blanks() -> None:
            while True:
                watch.write(chunk(b" "))
                await asyncio.sleep(0.02)

        task = asyncio.create_task(send_blanks())
        agent.list = DRAINING_LIST
        await agent.next_watch()
        await until(node.is_draining)
        task.cancel()
        node.source.watch(False)

    run(test)


def test_snapshot_that_never_completes_is_fetched_again() -> None:
    async def test() -> None:
        agent = DiscoveryAgent()
        await agent.start()
        agent.is_mute = True
        node = PlatformSourceHarness(agent, 500.0)
        node.source.watch(True)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            _, writer = await agent.calls.get()
        writer.write(RESPONSE_HEAD)

        async def send_blanks() -> None:
            while True:
                writer.write(chunk(b" "))
                await asyncio.sleep(0.02)

        task = asyncio.create_task(send_blanks())
        agent.is_mute = False
        await until(lambda: "b0" in node.fleet.merger.view)
        task.cancel()
        node.source.watch(False)

    run(test)


def test_heartbeat_resets_retry_waits() -> None:
    """Guards against retry waits that keep growing over occasional connection resets on an idle day."""

    async def test() -> None:
        agent, node, _watch = await start_harness(2000.0)
        backoff = node.source.watcher.backoff
        agent.body = b"\n"
        for _ in range(6):
            agent.reset_connections()
            await agent.next_watch()
            await until(lambda: backoff.next_ms == backoff.initial_ms)
        node.source.watch(False)

    run(test)


@pytest.mark.parametrize("watch_index", [0, 1, 2])
@pytest.mark.parametrize("message", ["heartbeat", "change", "partial change", "garbage", "end"])
def test_unconfirmed_watch_that_brings_more_than_its_head_becomes_the_active_call(
    watch_index: int, message: str
) -> None:
    """Guards against several watches that stay open, and against a watch whose end goes unnoticed."""

    async def test() -> None:
        agent, node, _watch = await start_harness(500.0)
        agent.sends_head_only = True
        agent.reset_connections()
        watches = [await agent.next_watch() for _ in range(3)]
        await until(lambda: len(node.source.additional_calls) == 2)
        unconfirmed_calls = sorted(
            node.source.additional_calls, key=lambda call: call.deadline.last_message_ms
        )
        calls = [*unconfirmed_calls, node.source.active_call]
        writer, call_of_writer = watches[watch_index], calls[watch_index]
        assert call_of_writer is not None
        if message == "end":
            writer.transport.abort()
            await until(
                lambda: call_of_writer not in (*node.source.additional_calls, node.source.active_call)
            )
            agent.sends_head_only, agent.list = False, DRAINING_LIST
            await until(node.is_draining)
        elif message == "garbage":
            agent.sends_head_only, agent.list = False, DRAINING_LIST
            writer.write(chunk(b"{]}\n"))
            await until(node.is_draining)  # the snapshot was requested
        else:
            line = encoded_list(2, b0="terminating") + b"\n"
            if message == "partial change":
                writer.write(chunk(line[:20]))
                await until(lambda: call_of_writer.response_parser.is_incomplete)
                line = line[20:]
            writer.write(chunk(b"\n" if message == "heartbeat" else line))
            await until(lambda: not node.source.additional_calls)
            assert node.source.active_call is call_of_writer
            assert node.source.retry_timer is None or node.source.retry_timer.cancelled() or watch_index == 2
            writer.write(chunk(encoded_list(3, b0="terminating") + b"\n"))
            await until(lambda: node.fleet.watch_revision(platform.SOURCE_NAME) == 3)
            assert node.is_draining() and node.source.active_call is call_of_writer
        await until(lambda: not node.source.additional_calls)
        assert len(node.source.connect_tasks) <= 2
        node.source.watch(False)

    run(test)


def test_bytes_without_a_line_do_not_reset_retry_waits() -> None:
    async def test() -> None:
        agent, node, _watch = await start_harness(2000.0)
        agent.body = b" "
        for _ in range(4):
            agent.reset_connections()
            await agent.next_watch()
        backoff = node.source.watcher.backoff
        assert backoff.next_ms == node.source.watcher.timeouts.max_retry_wait_ms
        node.source.watch(False)

    run(test)


def test_indented_object_on_a_watch_is_applied_without_a_snapshot() -> None:
    async def test() -> None:
        _agent, node, watch = await start_harness(500.0)
        text = encoded_list(2, indent=2, b0="terminating") + b"\n"
        watch.write(chunk(text[:40]) + chunk(text[40:]))
        await until(node.is_draining)
        assert not any(isinstance(event, endpoint_merger.UpdateUnreadable) for event in node.events)
        node.source.watch(False)

    run(test)


# --- a new address: its list must be applied within 4 s

MOVE_LIMIT_S = 2.0  # well within these 4 s


async def follow_moves(node: PlatformSourceHarness, *agents: DiscoveryAgent) -> None:
    """Change the address several times in one turn of the loop; the last list is applied in time."""
    for agent in agents:
        node.source.set_address(agent.address)
    started_ms = node.now()
    await until(node.is_draining)
    assert node.now() - started_ms <= 1000 * MOVE_LIMIT_S
    assert identity_of(node) == platform.source_identity(agents[-1].address)
    await agents[-1].next_watch()


def identity_of(node: PlatformSourceHarness) -> str | None:
    return node.fleet.merger.sources[platform.SOURCE_NAME].identity


async def draining_agent(revision: int = 2) -> DiscoveryAgent:
    """Another agent whose list has b0 draining."""
    agent = DiscoveryAgent()
    agent.list = encoded_list(revision, True, b0="terminating", b1="in_service")
    await agent.start()
    return agent


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("state", ["at rest", "in mid-line", "waiting", "calling", "mute", "refused"])
@pytest.mark.parametrize("moves", ["one", "two at once", "there and back"])
def test_new_address_is_followed_whatever_was_in_progress_at_the_old_one(
    state: str, moves: str, loop: Loop
) -> None:
    """The revisions at the new address are lower than those at the old one."""

    async def test() -> None:
        agent, node, watch = await start_harness(500.0)
        watch.write(chunk(encoded_list(50, b1="in_service") + b"\n"))
        await until(lambda: node.fleet.watch_revision(platform.SOURCE_NAME) == 50)
        new_agent, intermediate_agent = await draining_agent(), await draining_agent(70)
        intermediate_agent.is_mute = True
        if state == "in mid-line":
            watch.write(chunk(b'{"revision": 51, "complete": true, "mem'))
            call = node.source.active_call
            await until(lambda: call is not None and call.response_parser.is_incomplete)
        elif state == "waiting":
            agent.reset_connections()
            await until(lambda: node.source.watcher.is_waiting)
        elif state == "calling":
            agent.reset_connections()
            await until(lambda: node.source.watcher.is_waiting)
            await until(lambda: node.source.watcher.has_active_call)  # not connected yet
        elif state == "mute":
            agent.is_mute = True
            agent.reset_connections()
            await agent.next_watch()
        elif state == "refused":
            agent.stop_listening()
            await until(lambda: node.source_lost_count() >= 3)
        if moves == "there and back":
            node.source.set_address(intermediate_agent.address)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await intermediate_agent.calls.get()  # it has been called, and never answers
            if state == "refused":
                await agent.start()
            agent.is_mute, agent.list = False, DRAINING_LIST  # its revision is lower than before as well
            while not agent.calls.empty():
                agent.calls.get_nowait()
            await follow_moves(node, agent)
        else:
            await follow_moves(
                node, *([intermediate_agent, new_agent] if moves == "two at once" else [new_agent])
            )
        assert len(node.source.connect_tasks) <= 2
        node.source.watch(False)

    run(test, loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("outage", ["refused", "mute", "head"])
def test_new_address_that_is_unreachable_at_first_is_followed_once_it_answers(
    outage: str, loop: Loop
) -> None:
    async def test() -> None:
        _agent, node, _watch = await start_harness(500.0)
        new_agent = await draining_agent()
        if outage == "refused":
            new_agent.stop_listening()
        new_agent.is_mute, new_agent.sends_head_only = True, outage == "head"
        node.source.set_address(new_agent.address)
        if outage == "head":  # several answers have begun and none has ended
            await until(lambda: new_agent.calls.qsize() == 6)
        elif outage == "refused":
            await until(lambda: node.source_lost_count() >= 7)
            await new_agent.start()
        else:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await new_agent.calls.get()
        new_agent.is_mute, new_agent.sends_head_only, returned_ms = False, False, node.now()
        await until(node.is_draining)
        assert node.now() - returned_ms <= 500.0
        node.source.watch(False)

    run(test, loop)


def test_outage_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against ten log lines a second, which would crowd out other lines."""

    async def test() -> None:
        agent, node, _watch = await start_harness(500.0)
        agent.stop_listening()
        await until(lambda: node.source_lost_count() >= 6)
        node.source.watch(False)

    with caplog.at_level(logging.INFO, platform_call.log.name):
        run(test)
    assert sum("no connection" in line for line in caplog.messages) <= 1


def test_connections_that_never_come_up_are_closed_and_do_not_accumulate() -> None:
    """Guards against one more socket per attempt, as the kernel tries to connect for minutes."""

    async def test() -> None:
        full_listener = socket.socket()
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        backlog_sockets = [socket.socket() for _ in range(4)]
        for sock in backlog_sockets:  # the backlog is full: further connections are never established
            sock.setblocking(False)
            sock.connect_ex(full_listener.getsockname())
        _agent, node, _watch = await start_harness(500.0)
        node.source.set_address(full_listener.getsockname())
        await until(lambda: node.source_lost_count() >= 6)
        assert len(node.source.connect_tasks) <= 2
        node.source.watch(False)
        for sock in [full_listener, *backlog_sockets]:
            sock.close()

    run(test)


# --- a drain and a request in one turn of the loop


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("first", ["drain", "request"])
@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("stall_s", [0.0, 0.7])  # shorter and longer than the drain grace of 0.5 s
def test_draining_and_request_read_in_one_turn_send_later_requests_elsewhere(
    stall_s: float, first: str, indent: int | None, loop: Loop, tmp_path: Path
) -> None:
    """The request may be served by either backend; later ones go to the one that is not draining."""

    async def test() -> None:
        backends = [Backend("b0"), Backend("b1")]
        for backend in backends:
            await backend.start()
        agent = DiscoveryAgent()
        agent.list = encoded_list(41, False)
        await agent.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([backends[0].member()], agent.address[1])))
        config = load({"PROXY_CONFIG": str(path)})
        config = replace(config, settings=replace(config.settings, drain_grace_ms=500.0))
        node = request_dispatcher.RequestDispatcher(config)
        fleet = EndpointView(node, [Source(platform.SOURCE_NAME)])
        identity = platform.source_identity(agent.address)
        fleet.handle(
            endpoint_merger.EndpointsListed(
                platform.SOURCE_NAME, identity, config.configured_endpoints, is_cached=True
            )
        )
        source = PlatformSource(
            agent.address,
            False,
            config.settings.drain_grace_ms,
            node.now,
            fleet.handle,
            lambda: fleet.watch_revision(platform.SOURCE_NAME),
            node.on_list_failed,
        )
        source.watch(True)
        watch = await agent.next_watch()
        server = HttpServer(node, 9)
        await server.listen(("127.0.0.1", 0))
        client = Client(*await asyncio.open_connection(*server.address))
        assert (await client.ask("/up")).code == 200
        assert (await client.ask("/once", method="POST")).code == 200
        await asyncio.sleep(0.05)  # an idle connection to the backend exists
        assert backends[0].got.get_nowait()
        rows = [backends[0].member() | {"phase": "terminating"}, backends[1].member()]
        update = {"revision": 42, "complete": False, "members": rows}
        list_update = (watch, chunk(json.dumps(update, indent=indent).encode() + b"\n"))
        client_request = (client.writer, b"POST /once HTTP/1.1\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n")
        for writer, data in (
            [list_update, client_request] if first == "drain" else [client_request, list_update]
        ):  # not through the loop, so that both wait to be read
            with socket.socket(fileno=socket.dup(writer.get_extra_info("socket").fileno())) as raw_socket:
                raw_socket.send(data)
        time.sleep(stall_s)
        assert (await client.answer()).code == 200
        await until(lambda: fleet.watch_revision(platform.SOURCE_NAME) == 42)
        assert backends[0].got.qsize() + backends[1].got.qsize() == 1
        served_by_draining = backends[0].got.qsize()
        assert not (stall_s and served_by_draining)  # it has been draining for longer than the drain grace
        for _ in range(20):
            assert (await client.ask("/once", method="POST")).code == 200
        assert backends[0].got.qsize() == served_by_draining
        source.watch(False)
        server.stop()
        client.writer.transport.abort()
        for backend in backends:
            backend.stop()

    run(test, loop)


# --- with polling, the decision module schedules the calls


async def start_polling_node(
    agent: DiscoveryAgent, tmp_path: Path, poll_within_ms: float
) -> tuple[request_dispatcher.RequestDispatcher, EndpointView, PlatformSource]:
    """Start the agent, and a node that polls it; returns once the node watches."""
    await agent.start()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration([], agent.address[1])))
    config = load({"PROXY_CONFIG": str(path)})
    settings = replace(config.settings, must_poll=True, poll_within_ms=poll_within_ms)
    node = request_dispatcher.RequestDispatcher(replace(config, settings=settings))
    fleet = EndpointView(node, [Source(platform.SOURCE_NAME)])
    node.discovery = source = PlatformSource(
        agent.address,
        True,
        settings.drain_grace_ms,
        node.now,
        fleet.handle,
        lambda: fleet.watch_revision(platform.SOURCE_NAME),
        node.on_list_failed,
        poll_within_ms=poll_within_ms,
    )
    identity = platform.source_identity(agent.address)
    initial_list = parse_endpoint_list(json.loads(agent.list))
    fleet.handle(
        endpoint_merger.EndpointsListed(platform.SOURCE_NAME, identity, initial_list, is_cached=True)
    )
    await agent.next_watch()
    await until(lambda: not fleet.merger.sources[platform.SOURCE_NAME].has_cached_records)
    return node, fleet, source


@pytest.mark.parametrize("message", ["heartbeat", "old change", "same list"])
def test_answer_without_changes_resets_poll_waits(message: str, tmp_path: Path) -> None:
    """Guards against a long wait if a watch falls silent long after an outage."""

    async def test() -> None:
        agent = DiscoveryAgent()
        node, _, source = await start_polling_node(agent, tmp_path, 320.0)
        agent.stop_listening()
        await until(lambda: node.balancer.state.failed_polls >= 3)
        agent.body = {
            "heartbeat": b"\n",
            "old change": encoded_list(1, b0="in_service") + b"\n",
            "same list": agent.list + b"\n",
        }[message]
        await agent.start()
        await agent.next_watch()
        await until(lambda: source.watcher.consecutive_failures == 0)
        assert node.balancer.state.failed_polls == 0
        source.watch(False)

    run(test)


def test_node_that_polls_calls_soon_after_an_outage(tmp_path: Path) -> None:
    """Guards against a wait of up to 15 s after failed calls, in which a drain is not known."""

    async def test() -> None:
        agent = DiscoveryAgent()
        node, fleet, source = await start_polling_node(agent, tmp_path, 10_000.0)
        agent.stop_listening()
        await until(lambda: node.balancer.state.failed_polls >= 5)
        agent.list = encoded_list(2, b0="terminating")
        await agent.start()
        returned_at_ms = node.now()
        async with asyncio.timeout(6.0):
            await agent.next_watch()
        await until(lambda: fleet.watch_revision(platform.SOURCE_NAME) == 2)
        assert node.now() - returned_at_ms < 6000.0
        source.watch(False)

    run(test)
