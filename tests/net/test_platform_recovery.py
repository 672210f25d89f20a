"""When a node notices that discovery returned, fell silent or moved, and combinations of these.

The agent here stands where the settings say that lists are pushed: it answers at once, and is mute or refuses
while discovery is down.
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

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def listed(revision: int, complete: bool = False, indent: int | None = None, **phases: str) -> bytes:
    """The bytes of a list of endpoints, with their phases by name."""
    rows = [
        {"id": name, "host_port": f"127.0.0.1:{at}", "phase": phase}
        for at, (name, phase) in enumerate(phases.items(), 1)
    ]
    return json.dumps({"revision": revision, "complete": complete, "members": rows}, indent=indent).encode()


class DiscoveryAgent:
    """Answers calls with its list; `asked` has the target and the writer of each call."""

    def __init__(self) -> None:
        self.asked: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.mute = False
        self.bare = False  # calls get a head and nothing behind it
        self.list = listed(1, True, b0="in_service", b1="in_service")
        self.body: bytes | None = None  # of a watch, in place of the list
        self.address = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, again at the same address."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()

    def refuse(self) -> None:
        """Reset what is open, and listen no longer."""
        assert self.server is not None
        self.server.close()
        self.reset()

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
        self.writers.append(writer)
        if self.bare:
            writer.write(HEAD)
        elif not self.mute:
            writer.write(HEAD + chunk(self.list + b"\n" if self.body is None else self.body))
            if "watch" not in target:
                writer.write(b"0\r\n\r\n")
        self.asked.put_nowait((target, writer))

    async def watched(self) -> asyncio.StreamWriter:
        """The next watch."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                target, writer = await self.asked.get()
                if "watch" in target:
                    return writer


class FollowingNode:
    """A platform source and its merge, as in a node."""

    def __init__(self, agent: DiscoveryAgent, grace_ms: float) -> None:
        self.fleet = EndpointView(self, [Source(platform.SOURCE_NAME)])
        self.told: list[endpoint_merger.Event] = []
        self.fleet.listeners.append(lambda event, _: self.told.append(event))
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
        """The view has it."""

    def drains(self, name: str = "b0") -> bool:
        member = self.fleet.merger.view.get(name)
        return member is not None and member.endpoint.phase is not Phase.UP

    def silenced(self) -> int:
        return sum(isinstance(event, SourceLost) for event in self.told)


async def start_followed(grace_ms: float) -> tuple[DiscoveryAgent, FollowingNode, asyncio.StreamWriter]:
    """A node whose watch is open and has listed its endpoints."""
    agent = DiscoveryAgent()
    await agent.start()
    node = FollowingNode(agent, grace_ms)
    node.source.watch(True)
    watch = await agent.watched()
    await until(lambda: "b0" in node.fleet.merger.view)
    return agent, node, watch


DRAINING_LIST = listed(2, True, b0="terminating", b1="in_service")


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("grace_ms", [500.0, 2000.0])
@pytest.mark.parametrize("shape", ["refused", "mute", "head", "mid-line", "indented"])
def test_list_at_discovery_return_is_applied_within_the_drain_grace(
    shape: str, grace_ms: float, loop: Loop
) -> None:
    async def test() -> None:
        agent, node, watch = await start_followed(grace_ms)
        if shape == "refused":
            agent.refuse()
            await until(lambda: node.silenced() >= 6)  # waits have grown
        else:
            agent.mute, agent.bare = True, shape == "head"
            if shape in ("mute", "head"):
                agent.reset()
            else:
                half = listed(2, indent=2 if shape == "indented" else None, b0="terminating")[:30]
                watch.write(chunk(half))
            await agent.watched()  # a new call is out, that is never answered
        agent.mute, agent.bare, agent.list = False, False, DRAINING_LIST
        if shape == "refused":
            await agent.start()
        back = node.now()
        await until(node.drains)
        assert node.now() - back <= grace_ms
        node.source.watch(False)

    run(test, loop)


@pytest.mark.parametrize("loop", LOOPS)
def test_answer_in_the_kernel_buffer_is_read_after_its_deadline(loop: Loop) -> None:
    """Guards a busy node against giving up the one call that was answered: uvloop runs timers first."""

    async def test() -> None:
        agent, node, watch = await start_followed(500.0)
        agent.mute = True
        watch.transport.abort()
        mute = await agent.watched()
        # While another's bytes are read the answer comes, and the call's time is over when the loop goes on.
        reading_end, writing_end = socket.socketpair()

        def busy() -> None:
            running.remove_reader(reading_end)
            with socket.socket(fileno=socket.dup(mute.get_extra_info("socket").fileno())) as raw:
                raw.send(HEAD + chunk(DRAINING_LIST + b"\n"))
            time.sleep(0.5)

        running = asyncio.get_running_loop()
        running.add_reader(reading_end, busy)
        writing_end.send(b"x")
        await until(node.drains)
        assert agent.asked.empty() and len(agent.writers) == 3  # whole list, first watch, this one
        node.source.watch(False)
        reading_end.close()
        writing_end.close()

    run(test, loop)


def test_watch_that_never_completes_a_line_is_replaced() -> None:
    """Guards against bytes that count as heartbeats though no line is ever complete."""

    async def test() -> None:
        agent, node, watch = await start_followed(500.0)

        async def dribble() -> None:
            while True:
                watch.write(chunk(b" "))
                await asyncio.sleep(0.02)

        task = asyncio.create_task(dribble())
        agent.list = DRAINING_LIST
        await agent.watched()
        await until(node.drains)
        task.cancel()
        node.source.watch(False)

    run(test)


def test_snapshot_that_never_completes_is_fetched_again() -> None:
    async def test() -> None:
        agent = DiscoveryAgent()
        await agent.start()
        agent.mute = True
        node = FollowingNode(agent, 500.0)
        node.source.watch(True)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            _, writer = await agent.asked.get()
        writer.write(HEAD)

        async def dribble() -> None:
            while True:
                writer.write(chunk(b" "))
                await asyncio.sleep(0.02)

        task = asyncio.create_task(dribble())
        agent.mute = False
        await until(lambda: "b0" in node.fleet.merger.view)
        task.cancel()
        node.source.watch(False)

    run(test)


def test_heartbeat_resets_retry_waits() -> None:
    """Guards against an idle day with connection resets on which each wait is longer than the one before."""

    async def test() -> None:
        agent, node, _watch = await start_followed(2000.0)
        backoff = node.source.watcher.backoff
        agent.body = b"\n"
        for _ in range(6):
            agent.reset()
            await agent.watched()
            await until(lambda: backoff.next_ms == backoff.initial_ms)
        node.source.watch(False)

    run(test)


@pytest.mark.parametrize("which", [0, 1, 2])
@pytest.mark.parametrize("says", ["a beat", "a change", "half a change", "garbage", "its end"])
def test_unconfirmed_watch_that_brings_more_than_its_head_becomes_the_active_call(
    which: int, says: str
) -> None:
    """Guards against several watches that stay for good, and against none whose end is noticed."""

    async def test() -> None:
        agent, node, _watch = await start_followed(500.0)
        agent.bare = True
        agent.reset()
        watches = [await agent.watched() for _ in range(3)]
        await until(lambda: len(node.source.additional_calls) == 2)
        doubts = sorted(node.source.additional_calls, key=lambda call: call.deadline.last_message_ms)
        calls = [*doubts, node.source.active_call]
        speaks, one = watches[which], calls[which]
        assert one is not None
        if says == "its end":
            speaks.transport.abort()
            await until(lambda: one not in (*node.source.additional_calls, node.source.active_call))
            agent.bare, agent.list = False, DRAINING_LIST
            await until(node.drains)
        elif says == "garbage":
            agent.bare, agent.list = False, DRAINING_LIST
            speaks.write(chunk(b"{]}\n"))
            await until(node.drains)  # the whole list was asked for
        else:
            line = listed(2, b0="terminating") + b"\n"
            if says == "half a change":
                speaks.write(chunk(line[:20]))
                await until(lambda: one.response_parser.under_way)
                line = line[20:]
            speaks.write(chunk(b"\n" if says == "a beat" else line))
            await until(lambda: not node.source.additional_calls)
            assert node.source.active_call is one
            assert node.source.retry_timer is None or node.source.retry_timer.cancelled() or which == 2
            speaks.write(chunk(listed(3, b0="terminating") + b"\n"))
            await until(lambda: node.fleet.watch_revision(platform.SOURCE_NAME) == 3)
            assert node.drains() and node.source.active_call is one
        await until(lambda: not node.source.additional_calls)
        assert len(node.source.connect_tasks) <= 2
        node.source.watch(False)

    run(test)


def test_bytes_without_a_line_do_not_reset_retry_waits() -> None:
    async def test() -> None:
        agent, node, _watch = await start_followed(2000.0)
        agent.body = b" "
        for _ in range(4):
            agent.reset()
            await agent.watched()
        backoff = node.source.watcher.backoff
        assert backoff.next_ms == node.source.watcher.timeouts.max_retry_wait_ms
        node.source.watch(False)

    run(test)


def test_indented_object_on_a_watch_is_applied_without_a_snapshot() -> None:
    async def test() -> None:
        _agent, node, watch = await start_followed(500.0)
        text = listed(2, indent=2, b0="terminating") + b"\n"
        watch.write(chunk(text[:40]) + chunk(text[40:]))
        await until(node.drains)
        assert not any(isinstance(event, endpoint_merger.UpdateUnreadable) for event in node.told)
        node.source.watch(False)

    run(test)


# --- a new address: what it has counts as told 4 s later

MOVE_LIMIT_S = 2.0  # s: well within that


async def follow_moves(node: FollowingNode, *to: DiscoveryAgent) -> None:
    """Change the address several times in one turn of the loop; the last one's list is applied in time."""
    for agent in to:
        node.source.set_address(agent.address)
    at = node.now()
    await until(node.drains)
    assert node.now() - at <= 1000 * MOVE_LIMIT_S
    assert identity_of(node) == platform.source_identity(to[-1].address)
    await to[-1].watched()


def identity_of(node: FollowingNode) -> str | None:
    return node.fleet.merger.sources[platform.SOURCE_NAME].identity


async def draining_agent(revision: int = 2) -> DiscoveryAgent:
    """Another agent, in whose list b0 is draining."""
    agent = DiscoveryAgent()
    agent.list = listed(revision, True, b0="terminating", b1="in_service")
    await agent.start()
    return agent


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("state", ["at rest", "in mid-line", "waiting", "calling", "mute", "refused"])
@pytest.mark.parametrize("ways", ["one", "two at once", "there and back"])
def test_new_address_is_followed_whatever_was_in_progress_at_the_old_one(
    state: str, ways: str, loop: Loop
) -> None:
    """Its revisions are lower than those of the old one."""

    async def test() -> None:
        agent, node, watch = await start_followed(500.0)
        watch.write(chunk(listed(50, b1="in_service") + b"\n"))
        await until(lambda: node.fleet.watch_revision(platform.SOURCE_NAME) == 50)
        new, between = await draining_agent(), await draining_agent(70)
        between.mute = True
        if state == "in mid-line":
            watch.write(chunk(b'{"revision": 51, "complete": true, "mem'))
            call = node.source.active_call
            await until(lambda: call is not None and call.response_parser.under_way)
        elif state == "waiting":
            agent.reset()
            await until(lambda: node.source.watcher.is_waiting)
        elif state == "calling":
            agent.reset()
            await until(lambda: node.source.watcher.is_waiting)
            await until(lambda: node.source.watcher.has_active_call)  # not connected yet
        elif state == "mute":
            agent.mute = True
            agent.reset()
            await agent.watched()
        elif state == "refused":
            agent.refuse()
            await until(lambda: node.silenced() >= 3)
        if ways == "there and back":
            node.source.set_address(between.address)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await between.asked.get()  # it has been asked, and never answers
            if state == "refused":
                await agent.start()
            agent.mute, agent.list = False, DRAINING_LIST  # its revision is lower than it was, too
            while not agent.asked.empty():
                agent.asked.get_nowait()
            await follow_moves(node, agent)
        else:
            await follow_moves(node, *([between, new] if ways == "two at once" else [new]))
        assert len(node.source.connect_tasks) <= 2
        node.source.watch(False)

    run(test, loop)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("shape", ["dead", "mute", "head"])
def test_new_address_that_is_unreachable_at_first_is_followed_once_it_answers(shape: str, loop: Loop) -> None:
    async def test() -> None:
        _agent, node, _watch = await start_followed(500.0)
        new = await draining_agent()
        if shape == "dead":
            new.refuse()
        new.mute, new.bare = True, shape == "head"
        node.source.set_address(new.address)
        if shape == "head":  # some calls have begun their answers, and ended none
            await until(lambda: new.asked.qsize() == 6)
        elif shape == "dead":
            await until(lambda: node.silenced() >= 7)
            await new.start()
        else:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await new.asked.get()
        new.mute, new.bare, back = False, False, node.now()
        await until(node.drains)
        assert node.now() - back <= 500.0
        node.source.watch(False)

    run(test, loop)


def test_outage_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against ten lines a second, which crowd the others out of the log."""

    async def test() -> None:
        agent, node, _watch = await start_followed(500.0)
        agent.refuse()
        await until(lambda: node.silenced() >= 6)
        node.source.watch(False)

    with caplog.at_level(logging.INFO, platform_call.log.name):
        run(test)
    assert sum("no connection" in line for line in caplog.messages) <= 1


def test_connections_that_never_come_up_are_closed_and_do_not_accumulate() -> None:
    """Guards against a socket for each attempt: the kernel keeps trying to connect for minutes."""

    async def test() -> None:
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fill = [socket.socket() for _ in range(4)]
        for one in fill:  # nobody accepts: further ones never come up
            one.setblocking(False)
            one.connect_ex(full.getsockname())
        _agent, node, _watch = await start_followed(500.0)
        node.source.set_address(full.getsockname())
        await until(lambda: node.silenced() >= 6)
        assert len(node.source.connect_tasks) <= 2
        node.source.watch(False)
        for one in [full, *fill]:
            one.close()

    run(test)


# --- a drain and a request in one turn of the loop


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("first", ["drain", "request"])
@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("stood", [0.0, 0.7])  # s without a turn, with 0.5 s to obey a drain
def test_draining_and_request_read_in_one_turn_send_later_requests_elsewhere(
    stood: float, first: str, indent: int | None, loop: Loop, tmp_path: Path
) -> None:
    """The request is served by either backend; later ones go to the one that is not draining."""

    async def test() -> None:
        backends = [Backend("b0"), Backend("b1")]
        for backend in backends:
            await backend.start()
        agent = DiscoveryAgent()
        agent.list = listed(41, False)
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
        watch = await agent.watched()
        front = HttpServer(node, 9)
        await front.listen(("127.0.0.1", 0))
        client = Client(*await asyncio.open_connection(*front.address))
        assert (await client.ask("/up")).code == 200
        assert (await client.ask("/once", method="POST")).code == 200
        await asyncio.sleep(0.05)  # a connection to it is there, and has rested
        assert backends[0].got.get_nowait()
        rows = [backends[0].member() | {"phase": "terminating"}, backends[1].member()]
        line = {"revision": 42, "complete": False, "members": rows}
        news = (watch, chunk(json.dumps(line, indent=indent).encode() + b"\n"))
        asks = (client.writer, b"POST /once HTTP/1.1\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n")
        for writer, data in [news, asks] if first == "drain" else [asks, news]:  # past the loop: both wait
            with socket.socket(fileno=socket.dup(writer.get_extra_info("socket").fileno())) as raw:
                raw.send(data)
        time.sleep(stood)
        assert (await client.answer()).code == 200
        await until(lambda: fleet.watch_revision(platform.SOURCE_NAME) == 42)
        assert backends[0].got.qsize() + backends[1].got.qsize() == 1
        before = backends[0].got.qsize()
        assert not (stood and before)  # it drains for longer than a request may still be sent there
        for _ in range(20):
            assert (await client.ask("/once", method="POST")).code == 200
        assert backends[0].got.qsize() == before
        source.watch(False)
        front.stop()
        client.writer.transport.abort()
        for backend in backends:
            backend.stop()

    run(test, loop)


# --- where nodes ask by themselves, the module says when


@pytest.mark.parametrize("says", ["a beat", "an old change", "the same list"])
def test_answer_without_changes_resets_poll_waits(says: str, tmp_path: Path) -> None:
    """Guards against a wait of up to 15 s after a watch that falls silent long after an outage."""

    async def test() -> None:
        agent = DiscoveryAgent()
        await agent.start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration([], agent.address[1])))
        config = load({"PROXY_CONFIG": str(path)})
        settings = replace(config.settings, must_poll=True, poll_within_ms=320.0)
        node = request_dispatcher.RequestDispatcher(replace(config, settings=settings))
        fleet = EndpointView(node, [Source(platform.SOURCE_NAME)])
        identity = platform.source_identity(agent.address)
        known = parse_endpoint_list(json.loads(agent.list))
        node.discovery = source = PlatformSource(
            agent.address,
            True,
            settings.drain_grace_ms,
            node.now,
            fleet.handle,
            lambda: fleet.watch_revision(platform.SOURCE_NAME),
            node.on_list_failed,
        )
        fleet.handle(endpoint_merger.EndpointsListed(platform.SOURCE_NAME, identity, known, is_cached=True))
        await agent.watched()
        await until(lambda: not fleet.merger.sources[platform.SOURCE_NAME].has_cached_records)
        agent.refuse()
        await until(lambda: node.balancer.state.failed_polls >= 3)
        agent.body = {
            "a beat": b"\n",
            "an old change": listed(1, b0="in_service") + b"\n",
            "the same list": agent.list + b"\n",
        }[says]
        await agent.start()
        await agent.watched()
        await until(lambda: source.watcher.consecutive_failures == 0)
        assert node.balancer.state.failed_polls == 0
        source.watch(False)

    run(test)
