"""Tests of the discovery emulator: whole lists, watches, scripted faults, and what is recorded as told."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from balancer.testbed import discovery_emulator as module
from balancer.testbed.discovery_emulator import Agent, Discovery, MemberHistory
from balancer.testbed.event_log import (
    Journal,
    NodeStarted,
    Told,
    now_ms,
)
from tests.testbed.cluster_fixtures import (
    Wire,
    of,
    run,
    until,
)

Line = dict[str, Any]


def entry(name: str, phase: str = "in_service", **over: Any) -> dict[str, Any]:
    """Return an entry of the list, with fields replaced by `over`."""
    return {"id": name, "host_port": "127.0.0.1:1", "phase": phase, "up_since_ms": 0} | over


class Watch:
    """The node's side of a watch."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire

    async def raw(self) -> bytes:
        """Read the next chunk."""
        size = int(await asyncio.wait_for(self.wire.reader.readline(), 20), 16)
        return (await self.wire.reader.readexactly(size + 2))[:-2]

    async def line(self) -> Line:
        """Read the next line that is not empty."""
        while not (data := await self.raw()).strip():
            pass
        return dict(json.loads(data))


class DiscoveryHarness:
    """A discovery emulator with one agent."""

    def __init__(self, discovery: Discovery, agent: Agent, journal: Journal) -> None:
        self.discovery, self.agent, self.journal = discovery, agent, journal
        self.publish = discovery.publish

    async def watch(self, after: int) -> Watch:
        """Begin a watch."""
        wire = await Wire.to(self.agent.host, self.agent.port)
        wire.send("", f"/discovery/hosts?watch=1&from={after}")
        head = await wire.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ") and b"chunked" in head
        return Watch(wire)

    async def whole(self) -> Line:
        """Request the whole list."""
        wire = await Wire.to(self.agent.host, self.agent.port)
        response = await wire.ask("", "/discovery/hosts")
        wire.close()
        return dict(json.loads(response.body))

    def told(self) -> list[tuple[int, str, str]]:
        """Return (revision, server, phase) of everything told since the last call."""
        told = [(t.revision, t.server, t.phase) for t in of(self.journal, Told)]
        self.journal.records.clear()
        return told


@contextlib.asynccontextmanager
async def running_discovery(*members: dict[str, Any]) -> AsyncIterator[DiscoveryHarness]:
    """Run a discovery emulator at revision 41 with an agent for node n0."""
    journal = Journal()
    discovery = Discovery(journal, members)
    agent = await discovery.agent("n0")
    try:
        yield DiscoveryHarness(discovery, agent, journal)
    finally:
        discovery.close()


def ids(line: Line) -> list[str]:
    """Return the ids of the members in a line."""
    return [row["id"] for row in line["members"]]


def test_agent_whole_list_and_watch_are_recorded_as_told() -> None:
    async def test() -> None:
        async with running_discovery(entry("a"), entry("b")) as harness:
            line = await harness.whole()
            assert (line["revision"], line["complete"], ids(line)) == (41, True, ["a", "b"])
            assert harness.told() == [(41, "a", "up"), (41, "b", "up")]
            watch = await harness.watch(41)
            await until(lambda: harness.agent.watches)
            assert harness.told() == []
            harness.publish(entry("a", "terminating"))
            assert harness.told() == [(42, "a", "draining")]
            line = await watch.line()
            assert (line["revision"], line["complete"], ids(line)) == (42, False, ["a"])
            harness.publish(entry("a", "terminated"), entry("c"))
            assert harness.told() == [(43, "a", "gone"), (43, "c", "up")]
            assert ids(await harness.whole()) == ["b", "c"]
            assert harness.told() == [(43, "b", "up"), (43, "c", "up"), (43, "a", "gone")]

    run(test)


def test_agent_watch_starts_with_changes_or_whole_list() -> None:
    async def test() -> None:
        async with running_discovery(entry("a"), entry("b")) as harness:
            harness.publish(entry("a", "terminating"))
            harness.publish(entry("a", "terminated"))
            assert harness.told() == []  # no request yet
            line = await (await harness.watch(41)).line()
            assert line == {"revision": 43, "complete": False, "members": [entry("a", "terminated")]}
            assert harness.told() == [(43, "a", "gone")]
            for after in (40, 99):
                line = await (await harness.watch(after)).line()
                assert (line["revision"], line["complete"], ids(line)) == (43, True, ["b"])
                assert harness.told() == [(43, "b", "up"), (43, "a", "gone")]

    run(test)


def test_member_history_many_changes_is_bounded() -> None:
    book = MemberHistory(1, {"a": entry("a")})
    for n in range(2, 600):
        book.apply(n, [entry(f"s{n % 7}")])
    assert len(book.changes) == module.HISTORY_CHANGES and book.changes_since(1) is None
    assert len(book.changes_since(590) or []) == 7


def test_agent_stalled_holds_back_changes_and_empty_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "HEARTBEAT_INTERVAL_MS", 20.0)

    async def test() -> None:
        async with running_discovery(entry("a")) as harness:
            watch = await harness.watch(41)
            assert await watch.raw() == b"\n"
            harness.agent.stall(True)
            harness.publish(entry("a", "terminating"))
            harness.publish(entry("b"))
            await asyncio.sleep(0.06)
            assert harness.told() == []
            harness.agent.stall(False)
            assert harness.told() == [(42, "a", "draining"), (43, "b", "up")]
            assert json.loads(await watch.raw())["revision"] == 42  # no empty line arrived before it
            assert (await watch.line())["revision"] == 43

    run(test)


def test_agent_silent_leaves_requests_unanswered() -> None:
    async def test() -> None:
        async with running_discovery(entry("a")) as harness:
            harness.agent.silence(True)
            wire = await Wire.to(harness.agent.host, harness.agent.port)
            wire.send("", "/discovery/hosts")
            await until(lambda: len(harness.agent.request_targets) == 1)
            harness.publish(entry("a", "terminated"))
            assert harness.told() == []
            harness.agent.silence(False)
            assert await wire.end() == b""
            assert ids(await harness.whole()) == []
            assert harness.told() == [(42, "a", "gone")]

    run(test)


def test_agent_drop_refuse_and_move_break_connections() -> None:
    async def test() -> None:
        async with running_discovery(entry("a")) as harness:
            watch = await harness.watch(41)
            harness.agent.drop()
            assert await watch.wire.end() == b""
            harness.publish(entry("a", "terminating"))
            assert harness.told() == []  # the watch is gone
            await harness.agent.refuse(True)
            with pytest.raises(ConnectionRefusedError):
                await harness.whole()
            await harness.agent.refuse(False)
            assert ids(await harness.whole()) == ["a"]
            before = harness.agent.identity
            assert {t.identity for t in of(harness.journal, Told)} == {before}
            await harness.agent.move()
            assert harness.agent.identity != before
            await harness.whole()
            assert {t.identity for t in of(harness.journal, Told)} == {before, harness.agent.identity}

    run(test)


def test_agent_replayed_changes_keep_their_revisions() -> None:
    async def test() -> None:
        async with running_discovery(entry("a"), entry("b")) as harness:
            watch = await harness.watch(41)
            await until(lambda: harness.agent.watches)
            harness.publish(entry("a", "terminating"))
            harness.publish(entry("c"))
            for _ in range(2):
                await watch.line()
            harness.told()
            harness.agent.replay(2)
            assert [(await watch.line())["revision"] for _ in range(2)] == [42, 43]
            assert harness.told() == [(42, "a", "draining"), (43, "c", "up")]
            harness.agent.send_older_list(2)
            line = await watch.line()
            assert (line["revision"], line["complete"], ids(line)) == (41, True, ["a", "b"])
            assert line["members"][0]["phase"] == "in_service"
            assert harness.told() == [(41, "a", "up"), (41, "b", "up"), (41, "c", "gone")]
            with pytest.raises(ValueError, match="too far back"):
                harness.agent.send_older_list(3)

    run(test)


def test_agent_restored_serves_older_list_until_catch_up() -> None:
    async def test() -> None:
        async with running_discovery(entry("a"), entry("b")) as harness:
            harness.publish(entry("a", "terminated"))
            harness.agent.restore(0)
            harness.publish(entry("c"))
            watch = await harness.watch(42)  # a node that has seen a later revision gets the whole older list
            line = await watch.line()
            assert (line["revision"], line["complete"], ids(line)) == (41, True, ["a", "b"])
            assert harness.told() == [(41, "a", "up"), (41, "b", "up")]
            harness.agent.catch_up()
            line = await watch.line()
            assert (line["revision"], line["complete"], ids(line)) == (43, True, ["b", "c"])
            assert harness.told() == [(43, "b", "up"), (43, "c", "up"), (43, "a", "gone")]
            harness.agent.catch_up()  # has no further effect
            harness.publish(entry("d"))
            assert (await watch.line())["revision"] == 44

    run(test)


def test_agent_writes_garbage_invalid_entries_and_long_lines() -> None:
    async def test() -> None:
        async with running_discovery(entry("a"), entry("b")) as harness:
            watch = await harness.watch(41)
            await until(lambda: harness.agent.watches)
            harness.agent.garble(b"}{\n")
            assert await watch.raw() == b"}{\n"
            harness.publish(entry("a", "terminating", host_port="app.example"), entry("b", "resting"))
            assert harness.told() == [(42, "a", "draining")]  # an unknown phase is not recorded
            assert len((await watch.line())["members"]) == 2
            harness.agent.send_long_line(2_000_000)
            data = await watch.raw()
            assert len(data) >= 2_000_000 and json.loads(data)["revision"] == 42

    run(test)


def test_agent_late_delays_changes() -> None:
    async def test() -> None:
        async with running_discovery(entry("a")) as harness:
            watch = await harness.watch(41)
            await until(lambda: harness.agent.watches)
            harness.agent.late_ms = 50
            harness.publish(entry("a", "terminated"))
            assert ids(await harness.whole()) == ["a"]
            assert (await watch.line())["members"] == [entry("a", "terminated")]
            assert harness.told() == [(41, "a", "up"), (42, "a", "gone")]

    run(test)


def test_agent_overdue_change_is_recorded_as_told(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "OVERDUE_MS", 30.0)

    async def test() -> None:
        async with running_discovery(entry("a"), entry("b")) as harness:
            harness.agent.last_fault_at_ms = 0
            watch = await harness.watch(41)
            await until(lambda: harness.agent.watches)
            harness.publish(entry("c"))
            await asyncio.sleep(0.06)
            assert harness.told() == [(42, "c", "up")]  # written, and not recorded again when overdue
            watch.wire.close()
            await until(lambda: not harness.agent.watches)
            harness.publish(entry("a", "terminated"))
            await until(lambda: of(harness.journal, Told))
            assert [(t.server, t.phase, t.written) for t in of(harness.journal, Told)] == [
                ("a", "gone", False)
            ]
            harness.journal.records.clear()
            harness.agent.stall(True)  # a scripted fault keeps the change from the node: not recorded
            harness.publish(entry("b", "terminated"))
            await asyncio.sleep(0.06)
            assert harness.told() == []

    run(test)


def test_agent_initial_list_is_recorded_as_told() -> None:
    async def test() -> None:
        async with running_discovery(entry("a")) as harness:
            assert harness.agent.initial_list() == {"revision": 41, "complete": True, "members": [entry("a")]}
            assert harness.told() == []
            harness.agent.record_initial_list(harness.agent.initial_list())
            assert harness.told() == [(41, "a", "up")]

    run(test)


def test_agent_path_fault_defers_records_until_path_works(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "OVERDUE_MS", 30.0)

    async def test() -> None:
        async with running_discovery() as harness:
            harness.agent.last_fault_at_ms = 0
            harness.agent.set_path_fault(True)
            # No watch: the change is overdue, but the path fault keeps it from the node.
            harness.publish(entry("c"))
            await asyncio.sleep(0.1)
            harness.agent.set_path_fault(False)
            assert harness.told() == []
            before = len(harness.journal)
            harness.agent.set_path_fault(True)
            watch = await harness.watch(42)
            harness.publish(entry("a", "terminating"))
            await watch.line()
            await harness.whole()
            assert len(harness.journal) == before
            harness.agent.set_path_fault(False)
            told = of(harness.journal, Told)[before:]
            assert told[0].server == "a" and told[0].phase == "draining" and told[0].at_ms > 0
            harness.agent.set_path_fault(True)
            harness.publish(entry("b", "terminating"))
            await watch.line()
            # The change that was held back was sent to the previous process of the node.
            harness.journal.add(NodeStarted("n0", now_ms()))
            # The node reads the initial list from a file, which a path fault does not affect.
            harness.agent.record_initial_list(harness.agent.initial_list())
            now = of(harness.journal, Told)[before + len(told) :]
            assert [(t.server, t.phase) for t in now] == [("c", "up"), ("a", "draining"), ("b", "draining")]
            harness.publish(entry("a"))  # the path still fails
            await watch.line()
            assert len(of(harness.journal, Told)) == before + len(told) + len(now)
            harness.journal.lose("n0", "platform")
            harness.agent.set_path_fault(False)
            assert len(of(harness.journal, Told)) == before + len(told) + len(now)

    run(test)
