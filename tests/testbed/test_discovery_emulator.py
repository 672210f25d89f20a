"""The stand-in discovery: whole lists, watches, the scripted faults, and what counts as told."""

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
    """An entry of the list."""
    return {"id": name, "host_port": "127.0.0.1:1", "phase": phase, "up_since_ms": 0} | over


class Watch:
    """A watch as a node holds it."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire

    async def raw(self) -> bytes:
        """The next chunk."""
        size = int(await asyncio.wait_for(self.wire.reader.readline(), 20), 16)
        return (await self.wire.reader.readexactly(size + 2))[:-2]

    async def line(self) -> Line:
        """The next line that is not empty."""
        while not (data := await self.raw()).strip():
            pass
        return dict(json.loads(data))


class Rig:
    """A discovery with one agent."""

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
        """The whole list."""
        wire = await Wire.to(self.agent.host, self.agent.port)
        got = await wire.ask("", "/discovery/hosts")
        wire.close()
        return dict(json.loads(got.body))

    def told(self) -> list[tuple[int, str, str]]:
        """What was told, by revision, since the last call."""
        out = [(t.revision, t.server, t.phase) for t in of(self.journal, Told)]
        self.journal.records.clear()
        return out


@contextlib.asynccontextmanager
async def rig(*members: dict[str, Any]) -> AsyncIterator[Rig]:
    """A discovery at revision 41 with an agent for n0."""
    journal = Journal()
    discovery = Discovery(journal, members)
    agent = await discovery.agent("n0")
    try:
        yield Rig(discovery, agent, journal)
    finally:
        discovery.close()


def ids(line: Line) -> list[str]:
    """The ids in a line."""
    return [row["id"] for row in line["members"]]


def test_whole_list_and_watch() -> None:
    async def test() -> None:
        async with rig(entry("a"), entry("b")) as world:
            got = await world.whole()
            assert (got["revision"], got["complete"], ids(got)) == (41, True, ["a", "b"])
            assert world.told() == [(41, "a", "up"), (41, "b", "up")]
            watch = await world.watch(41)
            await until(lambda: world.agent.watches)
            assert world.told() == []
            world.publish(entry("a", "terminating"))
            assert world.told() == [(42, "a", "draining")]
            got = await watch.line()
            assert (got["revision"], got["complete"], ids(got)) == (42, False, ["a"])
            world.publish(entry("a", "terminated"), entry("c"))
            assert world.told() == [(43, "a", "gone"), (43, "c", "up")]
            assert ids(await world.whole()) == ["b", "c"]
            assert world.told() == [(43, "b", "up"), (43, "c", "up"), (43, "a", "gone")]

    run(test)


def test_a_watch_goes_on_from_a_revision_or_with_the_whole_list() -> None:
    async def test() -> None:
        async with rig(entry("a"), entry("b")) as world:
            world.publish(entry("a", "terminating"))
            world.publish(entry("a", "terminated"))
            assert world.told() == []  # nobody has asked
            got = await (await world.watch(41)).line()
            assert got == {"revision": 43, "complete": False, "members": [entry("a", "terminated")]}
            assert world.told() == [(43, "a", "gone")]
            for after in (40, 99):
                got = await (await world.watch(after)).line()
                assert (got["revision"], got["complete"], ids(got)) == (43, True, ["b"])
                assert world.told() == [(43, "b", "up"), (43, "a", "gone")]

    run(test)


def test_history_is_bounded() -> None:
    book = MemberHistory(1, {"a": entry("a")})
    for n in range(2, 600):
        book.apply(n, [entry(f"s{n % 7}")])
    assert len(book.changes) == module.HISTORY_CHANGES and book.changes_since(1) is None
    assert len(book.changes_since(590) or []) == 7


def test_empty_lines_and_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "HEARTBEAT_INTERVAL_MS", 20.0)

    async def test() -> None:
        async with rig(entry("a")) as world:
            watch = await world.watch(41)
            assert await watch.raw() == b"\n"
            world.agent.stall(True)
            world.publish(entry("a", "terminating"))
            world.publish(entry("b"))
            await asyncio.sleep(0.06)
            assert world.told() == []
            world.agent.stall(False)
            assert world.told() == [(42, "a", "draining"), (43, "b", "up")]
            assert json.loads(await watch.raw())["revision"] == 42  # no empty line came before
            assert (await watch.line())["revision"] == 43

    run(test)


def test_silence_leaves_calls_unanswered() -> None:
    async def test() -> None:
        async with rig(entry("a")) as world:
            world.agent.silence(True)
            wire = await Wire.to(world.agent.host, world.agent.port)
            wire.send("", "/discovery/hosts")
            await until(lambda: len(world.agent.request_targets) == 1)
            world.publish(entry("a", "terminated"))
            assert world.told() == []
            world.agent.silence(False)
            assert await wire.end() == b""
            assert ids(await world.whole()) == []
            assert world.told() == [(42, "a", "gone")]

    run(test)


def test_drop_refuse_and_move() -> None:
    async def test() -> None:
        async with rig(entry("a")) as world:
            watch = await world.watch(41)
            world.agent.drop()
            assert await watch.wire.end() == b""
            world.publish(entry("a", "terminating"))
            assert world.told() == []  # the watch is gone
            await world.agent.refuse(True)
            with pytest.raises(ConnectionRefusedError):
                await world.whole()
            await world.agent.refuse(False)
            assert ids(await world.whole()) == ["a"]
            before = world.agent.identity
            assert {t.identity for t in of(world.journal, Told)} == {before}
            await world.agent.move()
            assert world.agent.identity != before
            await world.whole()
            assert {t.identity for t in of(world.journal, Told)} == {before, world.agent.identity}

    run(test)


def test_old_news() -> None:
    async def test() -> None:
        async with rig(entry("a"), entry("b")) as world:
            watch = await world.watch(41)
            await until(lambda: world.agent.watches)
            world.publish(entry("a", "terminating"))
            world.publish(entry("c"))
            for _ in range(2):
                await watch.line()
            world.told()
            world.agent.replay(2)
            assert [(await watch.line())["revision"] for _ in range(2)] == [42, 43]
            assert world.told() == [(42, "a", "draining"), (43, "c", "up")]
            world.agent.send_older_list(2)
            got = await watch.line()
            assert (got["revision"], got["complete"], ids(got)) == (41, True, ["a", "b"])
            assert got["members"][0]["phase"] == "in_service"
            assert world.told() == [(41, "a", "up"), (41, "b", "up"), (41, "c", "gone")]
            with pytest.raises(ValueError, match="too far back"):
                world.agent.send_older_list(3)

    run(test)


def test_it_comes_back_from_a_backup_and_catches_up() -> None:
    async def test() -> None:
        async with rig(entry("a"), entry("b")) as world:
            world.publish(entry("a", "terminated"))
            world.agent.restore(0)
            world.publish(entry("c"))
            watch = await world.watch(42)  # whoever has seen more is told the older list, as a whole
            got = await watch.line()
            assert (got["revision"], got["complete"], ids(got)) == (41, True, ["a", "b"])
            assert world.told() == [(41, "a", "up"), (41, "b", "up")]
            world.agent.catch_up()
            got = await watch.line()
            assert (got["revision"], got["complete"], ids(got)) == (43, True, ["b", "c"])
            assert world.told() == [(43, "b", "up"), (43, "c", "up"), (43, "a", "gone")]
            world.agent.catch_up()  # nothing more
            world.publish(entry("d"))
            assert (await watch.line())["revision"] == 44

    run(test)


def test_garbage_bad_entries_and_long_lines() -> None:
    async def test() -> None:
        async with rig(entry("a"), entry("b")) as world:
            watch = await world.watch(41)
            await until(lambda: world.agent.watches)
            world.agent.garble(b"}{\n")
            assert await watch.raw() == b"}{\n"
            world.publish(entry("a", "terminating", host_port="app.example"), entry("b", "resting"))
            assert world.told() == [(42, "a", "draining")]  # a phase that nobody knows tells nothing
            assert len((await watch.line())["members"]) == 2
            world.agent.send_long_line(2_000_000)
            data = await watch.raw()
            assert len(data) >= 2_000_000 and json.loads(data)["revision"] == 42

    run(test)


def test_late_news() -> None:
    async def test() -> None:
        async with rig(entry("a")) as world:
            watch = await world.watch(41)
            await until(lambda: world.agent.watches)
            world.agent.late_ms = 50
            world.publish(entry("a", "terminated"))
            assert ids(await world.whole()) == ["a"]
            assert (await watch.line())["members"] == [entry("a", "terminated")]
            assert world.told() == [(41, "a", "up"), (42, "a", "gone")]

    run(test)


def test_who_never_asks_counts_as_told_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "OVERDUE_MS", 30.0)

    async def test() -> None:
        async with rig(entry("a"), entry("b")) as world:
            world.agent.last_fault_at_ms = 0
            watch = await world.watch(41)
            await until(lambda: world.agent.watches)
            world.publish(entry("c"))
            await asyncio.sleep(0.06)
            assert world.told() == [(42, "c", "up")]  # written, and not told once more
            watch.wire.close()
            await until(lambda: not world.agent.watches)
            world.publish(entry("a", "terminated"))
            await until(lambda: of(world.journal, Told))
            assert [(t.server, t.phase, t.written) for t in of(world.journal, Told)] == [("a", "gone", False)]
            world.journal.records.clear()
            world.agent.stall(True)  # kept from it by script: not held against the node
            world.publish(entry("b", "terminated"))
            await asyncio.sleep(0.06)
            assert world.told() == []

    run(test)


def test_what_a_node_knows_at_its_start_counts_as_told() -> None:
    async def test() -> None:
        async with rig(entry("a")) as world:
            assert world.agent.initial_list() == {"revision": 41, "complete": True, "members": [entry("a")]}
            assert world.told() == []
            world.agent.record_initial_list(world.agent.initial_list())
            assert world.told() == [(41, "a", "up")]

    run(test)


def test_what_a_path_keeps_from_a_node_counts_once_it_is_well(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "OVERDUE_MS", 30.0)

    async def test() -> None:
        async with rig() as r:
            r.agent.last_fault_at_ms = 0
            r.agent.set_path_fault(True)
            r.publish(entry("c"))  # nobody watches: it is there for long, and yet cannot have been heard
            await asyncio.sleep(0.1)
            r.agent.set_path_fault(False)
            assert r.told() == []
            before = len(r.journal)
            r.agent.set_path_fault(True)
            watch = await r.watch(42)
            r.publish(entry("a", "terminating"))
            await watch.line()
            await r.whole()
            assert len(r.journal) == before
            r.agent.set_path_fault(False)
            told = of(r.journal, Told)[before:]
            assert told[0].server == "a" and told[0].phase == "draining" and told[0].at_ms > 0
            r.agent.set_path_fault(True)
            r.publish(entry("b", "terminating"))
            await watch.line()
            r.journal.add(NodeStarted("n0", now_ms()))  # it was on its way to the process before
            r.agent.record_initial_list(r.agent.initial_list())  # which a file tells, past the path
            now = of(r.journal, Told)[before + len(told) :]
            assert [(t.server, t.phase) for t in now] == [("c", "up"), ("a", "draining"), ("b", "draining")]
            r.publish(entry("a"))  # the path is still at fault
            await watch.line()
            assert len(of(r.journal, Told)) == before + len(told) + len(now)
            r.journal.lose("n0", "platform")
            r.agent.set_path_fault(False)
            assert len(of(r.journal, Told)) == before + len(told) + len(now)

    run(test)
