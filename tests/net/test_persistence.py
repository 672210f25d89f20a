"""The memory of a running node: handed on, written, and what a bad disk costs it (nothing but the memory)."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import logging
import threading
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest

from balancer import interface as api
from balancer.core import recovery
from balancer.core.cluster import gossiped_removals as hearsay
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.discovery.endpoint_merger import (
    EndpointsListed,
    Source,
    SourceConfirmedCurrent,
    SourcesConfigured,
    SourceState,
)
from balancer.core.persistence import persisted_state as kept
from balancer.core.persistence import write_behind as k
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net import clock
from balancer.net import persistence as state
from balancer.net import request_dispatcher as node_module
from balancer.net.admin_socket import AdminSocket
from balancer.net.component import RunningNode
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.persistence import PersistenceComponent
from balancer.net.recovery import RecoveryComponent
from balancer.net.request_dispatcher import RequestClient, RequestDispatcher
from balancer.operator_settings import OperatorSettings, StateSettings
from balancer.store.engine import Engine
from balancer.testbed.simulated_disk import InjectedError, SimulatedDisk, SimulatedFileSystem
from tests.sockets import configuration

ON = OperatorSettings(state=StateSettings(directory=Path("/d"), every=1))
LIMIT_S = 40.0  # for what hangs, not for what is slow


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), LIMIT_S))


async def until(met: Callable[[], object]) -> None:
    while not met():
        await asyncio.sleep(0.005)


def member(name: str, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
    """One at an address of its own, with a start time of today's."""
    host = f"127.0.{sum(name.encode()) % 250}.{len(name)}"
    return EndpointRecord(api.Endpoint(name, "a", 0, 1.0, phase, 1.8e12), (host, 1000 + int(name[1:] or 0)))


def listed(revision: int, *names: str, complete: bool = True, **more: Any) -> EndpointsListed:
    found = tuple(member(name) for name in names)
    return EndpointsListed("platform", "here", EndpointList(revision, complete, found, **more))


class Rig:
    """A node with the two parts, on simulated disks in the order in which it opens them."""

    def __init__(self, path: Path, disks: list[SimulatedDisk], name: str = "n0", known: str = "") -> None:
        file = path / "config.json"
        table = configuration([], 1)
        file.write_text(json.dumps(table))
        self.node = RequestDispatcher(load({"PROXY_CONFIG": str(file)}))
        self.fleet = EndpointView(self.node, [Source("platform")])
        names = known.split()
        empty = EndpointList(41 if names else 0, True, tuple(map(member, names)))
        self.fleet.handle(EndpointsListed("platform", "here", empty, is_cached=True))
        self.files = [SimulatedFileSystem(disk) for disk in disks]
        left = iter(self.files)
        self.running = RunningNode(
            self.node, self.fleet, (), AdminSocket(), name=name, start_phases_ms={"imports": 20.0}
        )
        self.recovery = RecoveryComponent(self.running)
        self.part = PersistenceComponent(self.running, lambda: next(left))
        self.recovery.apply(ON)

    @property
    def view(self) -> dict[str, EndpointRecord]:
        return self.fleet.merger.view

    @property
    def memory(self) -> state.PersistenceSession:
        assert self.part.session is not None
        return self.part.session

    async def opened(self, on: OperatorSettings = ON) -> None:
        self.part.apply(on)
        await until(lambda: self.part.session)

    async def kept(self) -> None:
        """All that was told is durable."""
        keeping = self.memory.write_behind.state
        await until(
            lambda: (
                not (self.memory._changed_ids or keeping.dirty or keeping.urgent_dirty or keeping.in_flight)
            )
        )

    async def end(self) -> None:
        await self.part.close()
        await self.recovery.close()


@contextlib.asynccontextmanager
async def rig(path: Path, *disks: SimulatedDisk, name: str = "n0", known: str = "") -> AsyncIterator[Rig]:
    out = Rig(path, list(disks), name, known)
    try:
        yield out
    finally:
        await out.end()
        await asyncio.sleep(0.02)  # its threads are done with the files
        for files in out.files:
            files.close()


def changes(memory: state.PersistenceSession) -> list[k.EndpointsChanged]:
    """All that its decider is told of the view from now on."""
    out: list[k.EndpointsChanged] = []
    tell = memory._handle

    def noted(event: k.Event) -> None:
        if isinstance(event, k.EndpointsChanged):
            out.append(event)
        tell(event)

    memory._handle = noted  # type: ignore[method-assign]
    return out


def rows(disk: SimulatedDisk, table: str, directory: str = "/d") -> dict[str, bytes]:
    """What is durable in a directory that nobody holds."""
    files = SimulatedFileSystem(disk.copy())
    engine = Engine(files, directory, lambda: 0)
    engine.open()
    found = {key: row.value for key, row in engine.tables.get(table, {}).items()}
    engine.close()
    files.close()
    return found


async def life(path: Path, disk: SimulatedDisk, *events: EndpointsListed, on: OperatorSettings = ON) -> None:
    """One life of the node that ends in order."""
    async with rig(path, disk) as one:
        await one.opened(on)
        for event in events:
            one.fleet.handle(event)
        await one.kept()


def test_what_was_kept_is_handed_on_and_no_older_view_comes_back(tmp_path: Path) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.node.balancer.state.concurrency_limit = 77.0
            for cls in one.node.balancer.classes.values():
                cls.expected_latency_ms, cls.mean_deviation_ms = (
                    cls.request_class.latency_objective_ms / 3,
                    9.0,
                )
            one.fleet.handle(listed(5, "s1", "s2", "s3"))
            one.fleet.handle(listed(6, complete=False, removed_ids=("s2",)))
            await one.kept()
            assert one.recovery.report()["memory"] == "none"
        async with rig(tmp_path, disk) as one:
            await one.opened()
            told = one.recovery.report()
            assert (told["memory"], told["incarnation"], told["state"]) == ("kept", 2, "provisional"), told
            assert "first list" not in {phase["name"] for phase in told["phases"]}, "no source has spoken"
            assert told["store"]["open"] and told["phases"][0] == {"name": "imports", "ms": 20.0}
            assert set(one.view) == {"s1", "s3"}
            assert (
                one.view["s1"].endpoint.cached_age_ms is not None
                and one.view["s1"].address == member("s1").address
            )
            assert 60 < one.node.balancer.concurrency_limit <= 77.0, (
                "what was learned fades, from what it was"
            )
            for cls in one.node.balancer.classes.values():
                assert (
                    cls.request_class.latency_objective_ms / 3.5
                    < cls.expected_latency_ms
                    <= cls.request_class.latency_objective_ms / 3
                )
            one.fleet.handle(listed(5, "s1", "s2", "s3"))
            assert set(one.view) == {"s1", "s3"}, "the revision that was kept counts as seen"
            one.fleet.handle(listed(7, "s1", "s4"))
            await until(
                lambda: set(one.view) == {"s1", "s4"} and one.view["s1"].endpoint.cached_age_ms is None
            )

    run(test)


@pytest.mark.parametrize("news", [None, listed(6, "s1", "s2"), SourceConfirmedCurrent("platform")])
def test_a_kept_list_in_slices_is_not_taken_for_one_whose_servers_are_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, news: EndpointsListed | SourceConfirmedCurrent | None
) -> None:
    """Whatever comes before the last slice; what was learned is for all of it."""
    disk, names = SimulatedDisk(), [f"s{n}" for n in range(1, 10)]
    left = names[:2] if isinstance(news, EndpointsListed) else names

    async def test() -> None:
        await life(tmp_path, disk, listed(5, *names))
        monkeypatch.setattr(membership, "LARGE_SNAPSHOT_ENTRIES", 4)
        monkeypatch.setattr(membership, "CHANGE_SLICE_ENTRIES", 1)
        monkeypatch.setattr(node_module, "LARGE_LIST_ENDPOINTS", 4)
        async with rig(tmp_path, disk) as one:
            source, seen = one.fleet.merger.sources["platform"], list[int]()

            def heard(event: membership.Event, actions: list[membership.Action]) -> None:
                seen.append(len(source.pending_records))
                if len(seen) == 4 and news is not None:
                    asyncio.get_running_loop().call_soon(one.fleet.handle, news)

            one.fleet.listeners.append(heard)
            await one.opened()
            assert seen[:4] == [9, 8, 7, 6] and not source.pending_records
            await until(lambda: set(one.node.balancer.order) == set(left))
            assert {held.endpoint.cached_age_ms is None for held in one.view.values()} == {news is not None}
            await one.kept()
        assert set(rows(disk, "view")) == set(left) and set(rows(disk, "ends")) == set(names) - set(left)

    run(test)


def test_what_it_has_to_go_by_is_kept_also_from_before_the_directory_was_had(tmp_path: Path) -> None:
    """By a refutation, or by what others held of it: the next life goes on above that."""
    disk = SimulatedDisk()

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.recovery.handle(recovery.IncarnationRaised(5))
            await one.kept()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.recovery.report()["incarnation"] == 6
            one.recovery.handle(recovery.PeersReportedIncarnation(8))
            await one.kept()
        async with rig(tmp_path, disk) as one:
            one.recovery.begin(None, "it cannot be had")
            one.recovery.handle(recovery.IncarnationRaised(30))
            await one.opened()
            await one.kept()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.recovery.report()["incarnation"] == 31

    run(test)


def test_a_drain_is_kept_with_the_source_that_told_it(tmp_path: Path) -> None:
    disk = SimulatedDisk()
    drains = EndpointList(6, False, (member("s2", api.Phase.DRAINING),))

    async def test() -> None:
        await life(tmp_path, disk, listed(5, "s1", "s2"), EndpointsListed("platform", "here", drains))
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.view["s2"].endpoint.phase is api.Phase.DRAINING
            assert one.view["s1"].endpoint.phase is api.Phase.UP
            one.fleet.handle(listed(8, "s1", "s2"))
            await until(lambda: one.view["s2"].endpoint.phase is api.Phase.UP)
            await one.kept()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.view["s2"].endpoint.phase is api.Phase.UP

    run(test)


@pytest.mark.parametrize("own", [True, False], ids=["and by its source", "by peers alone"])
def test_a_drain_that_peers_told_first_is_believed_until_the_source_lists_the_server(
    own: bool, tmp_path: Path
) -> None:
    """The source's word changes nothing in the view then, so the end stays theirs."""
    disk = SimulatedDisk()
    drains = member("s2", api.Phase.DRAINING)

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s1", "s2"))
            one.fleet.handle(SourcesConfigured((*one.fleet.merger.sources.values(), hearsay.gossip_source())))
            for listing in (EndpointList(1, True, ()), EndpointList(2, False, (drains,))):
                one.fleet.handle(EndpointsListed("peers", "peers", listing))
            if own:
                one.fleet.handle(EndpointsListed("platform", "here", EndpointList(6, False, (drains,))))
            await one.kept()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.view["s2"].endpoint.phase is api.Phase.DRAINING
            one.fleet.handle(listed(8, "s1", "s2"))
            await until(lambda: one.view["s2"].endpoint.phase is api.Phase.UP)

    run(test)


@pytest.mark.parametrize("sources", [("platform",), ("platform", "etcd")], ids=["alone", "beside etcd"])
@pytest.mark.parametrize("said", [False, True], ids=["discovery silent", "discovery spoke"])
def test_an_end_outlives_a_view_that_a_wrong_clock_makes_too_old(
    said: bool, sources: tuple[str, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has no age, and a machine may start with any clock after a power cut. What is not ended goes on."""
    disk = SimulatedDisk()

    def by_etcd(listing: EndpointList) -> EndpointsListed | SourcesConfigured:
        return (
            EndpointsListed("etcd", "cluster", listing)
            if len(sources) > 1
            else SourcesConfigured((Source("platform"),))
        )

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(SourcesConfigured(tuple(map(Source, sources))))
            one.fleet.handle(listed(42, "s1", "s2", "s3", "s4"))
            one.fleet.handle(by_etcd(EndpointList(3, True, (member("s2"), member("s4")))))
            one.fleet.handle(listed(43, complete=False, removed_ids=("s1",)))
            one.fleet.handle(by_etcd(EndpointList(4, False, (), ("s4",))))
            await until(lambda: "s1" not in one.view and len(one.view) == 4 - len(sources))
            await one.kept()
        left = {"s2", "s4"} if len(sources) == 1 else {"s2"}
        monkeypatch.setattr(clock, "_offset_ms", 86_400_000.0)
        async with rig(tmp_path, disk, known="s1 s2 s4") as one:  # as of revision 41
            one.fleet.handle(SourcesConfigured(tuple(map(Source, sources))))
            await one.opened()
            assert one.recovery.report()["memory"] == "older" and set(one.view) == left
            one.fleet.handle(listed(42, "s1", "s2", "s3", "s4"))
            assert set(one.view) == left, "the end counts as seen"
            assert one.fleet.watch_revision("platform") is None, "the whole list is needed: s3 is not known"
            if said:
                one.fleet.handle(listed(43, "s2", "s3", "s4"))
                await until(lambda: set(one.view) == left | {"s3"})
            await one.kept()
        monkeypatch.setattr(clock, "_offset_ms", 0.0)
        async with rig(tmp_path, disk, known="s1 s2 s4") as one:
            one.fleet.handle(SourcesConfigured(tuple(map(Source, sources))))
            await one.opened()
            assert left <= set(one.view) <= left | {"s3"}

    run(test)


def test_who_ended_before_the_store_was_read_is_not_in_an_aged_view_either(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with rig(tmp_path, disk, known="s1 s2") as one:
            one.fleet.handle(listed(42, complete=False, removed_ids=("s1",)))
            one.fleet.handle(listed(43, "s2"))
            await one.opened()
            await one.kept()
        monkeypatch.setattr(clock, "_offset_ms", 86_400_000.0)
        async with rig(tmp_path, disk, known="s1 s2") as one:
            await one.opened()
            assert set(one.view) == {"s2"}

    run(test)


def test_what_another_source_took_away_stays_away(tmp_path: Path) -> None:
    """The platform lists it still: only the memory of the other source's removal keeps it off."""
    disk = SimulatedDisk()
    sources = (Source("platform"), Source("etcd"))

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(SourcesConfigured(sources))
            one.fleet.handle(listed(5, "s1", "s2"))
            for listing in (EndpointList(3, True, (member("s2"),)), EndpointList(4, False, (), ("s2",))):
                one.fleet.handle(EndpointsListed("etcd", "cluster", listing))
            await until(lambda: set(one.view) == {"s1"})
            await one.kept()
        async with rig(tmp_path, disk) as one:
            one.fleet.handle(SourcesConfigured((Source("platform"), Source("etcd"))))
            await one.opened()
            one.fleet.handle(listed(6, "s1", "s2"))
            await until(lambda: one.view["s1"].endpoint.cached_age_ms is None)
            assert set(one.view) == {"s1"}, "etcd has not listed it anew"
            one.fleet.handle(EndpointsListed("etcd", "cluster", EndpointList(9, True, (member("s2"),))))
            await until(lambda: set(one.view) == {"s1", "s2"})

    run(test)


def test_a_disk_that_says_nothing_holds_up_nobody(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Opening takes its time; what changes meanwhile is kept, and goes before what was kept."""
    disk, go, load_it = SimulatedDisk(), threading.Event(), state.PersistenceSession._read_store

    def slow(memory: state.PersistenceSession) -> Any:
        go.wait(LIMIT_S)
        return load_it(memory)

    async def test() -> None:
        await life(tmp_path, disk, listed(5, "s1", "s2"))
        monkeypatch.setattr(state.PersistenceSession, "_read_store", slow)
        async with rig(tmp_path, disk) as one:
            one.part.apply(ON)
            moved = EndpointList(3, True, (member("s1"), member("s3")))
            one.fleet.handle(EndpointsListed("platform", "there", moved))
            await until(lambda: set(one.view) == {"s1", "s3"})
            assert one.node.ready and one.part.session is None, "it serves before the disk is there"
            told = one.recovery.report()
            assert told["store"]["trouble"] == "being opened", told
            assert "what was kept to be read" in told["waits_for"]
            go.set()
            await until(lambda: one.part.session)
            assert set(one.view) == {"s1", "s3"}, "the source's word is the later one"
            assert one.fleet.merger.sources["platform"].state is SourceState.IN_SYNC
            await one.kept()
        assert set(rows(disk, "view")) == {"s1", "s3"} and "s2" in rows(disk, "ends")

    try:
        run(test)
    finally:
        go.set()


@pytest.mark.parametrize("fails", [False, True])
def test_what_was_kept_counts_before_the_new_generation_is_synced(tmp_path: Path, fails: bool) -> None:
    """Its rows are there and requests go on; this life's number is durable later, or never."""
    disk, reached, go, well = SimulatedDisk(), threading.Event(), threading.Event(), threading.Event()

    def plan(call: int, name: str) -> None:
        if name.startswith("sync "):
            reached.set()
            go.wait(LIMIT_S)
            if fails and not well.is_set():
                raise InjectedError(errno.ENOSPC)

    def last() -> tuple[int, set[str]]:
        """What a start would find if the process were killed now: the number of a life, the servers."""
        me = msgspec.msgpack.decode(rows(disk, "self")["node"], type=kept.NodeIdentity)
        return me.incarnation, set(rows(disk, "view"))

    async def test() -> None:
        await life(tmp_path, disk, listed(50, "s1", "s2"), listed(51, "s1"))
        disk.fault_plan = plan
        async with rig(tmp_path, disk, known="s1 s2") as one:  # of revision 41
            await one.opened()
            told = one.recovery.report()
            assert (told["memory"], told["incarnation"]) == ("kept", 2) and set(one.view) == {"s1"}
            assert not one.node._waits and not told["store"]["commits"] and told["store"]["waiting"]
            await until(reached.is_set)
            assert last() == (1, {"s1"}), "the generation before, whole"
            go.set()
            if fails:
                await until(lambda: "full" in str(one.recovery.report()["store"]["trouble"]))
                assert not one.recovery.report()["store"]["commits"]
                well.set()
            await until(lambda: one.recovery.report()["store"]["commits"])
        assert last() == (2, {"s1"})

    try:
        run(test)
    finally:
        go.set()


def test_a_disk_that_is_full_is_said_once_and_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()
    monkeypatch.setattr(state, "STORE_STATE_POLL_INTERVAL_S", 0.02)
    caplog.set_level(logging.WARNING)

    def full(number: int, name: str) -> None:
        raise InjectedError(errno.ENOSPC)

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            await one.kept()
            disk.fault_plan = full
            one.fleet.handle(listed(5, "s1", "s2"))
            await until(lambda: "nothing new is kept" in caplog.text)
            assert one.node.ready and set(one.view) == {"s1", "s2"}
            store = one.recovery.report()["store"]
            assert "full" in store["trouble"] and store["waiting"] and store["failures"]
            await asyncio.sleep(0.1)
            disk.fault_plan = lambda number, name: None
            await until(lambda: "it is written again" in caplog.text)
            await one.kept()
            assert caplog.text.count("nothing new is kept") == 1
            assert one.recovery.report()["store"]["trouble"] is None
        assert set(rows(disk, "view")) == {"s1", "s2"}

    run(test)


def test_a_directory_of_another_node_is_left_alone(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        await life(tmp_path, disk, listed(5, "s1", "s2"))
        before = rows(disk, "self")
        async with rig(tmp_path, disk, name="n1") as one:
            one.part.apply(ON)
            await until(lambda: "of node 'n0', not of 'n1'" in one.part.fault)
            one.fleet.handle(listed(9, "s9"))
            await until(lambda: set(one.view) == {"s9"})
            told = one.recovery.report()
            assert told["memory"] == "lost" and not told["store"]["open"] and not disk.is_locked
            assert any("before roles" in line for line in told["waits_for"])
            await asyncio.sleep(0.2)
        assert rows(disk, "self") == before and set(rows(disk, "view")) == {"s1", "s2"}
        assert caplog.text.count("serves without memory") == 1

    run(test)


def test_a_directory_that_another_holds_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()
    monkeypatch.setattr(state, "OPEN_RETRY_INTERVAL_S", 0.05)
    monkeypatch.setattr("balancer.store.store.LOCK_WAIT_TIMEOUT_S", 0.01)

    async def test() -> None:
        await life(tmp_path, disk, listed(5, "s1", "s2"))
        disk.is_locked = True
        async with rig(tmp_path, *[disk] * 40) as one:
            one.part.apply(ON)
            await until(lambda: "owned" in one.part.fault)
            assert one.recovery.report()["memory"] == "lost"
            await asyncio.sleep(0.2)
            disk.is_locked = False
            await until(lambda: one.part.session)
            assert set(one.view) == {"s1", "s2"}, "no source had spoken"
            assert caplog.text.count("it is tried again") == 1

    run(test)


def test_a_hangup_moves_to_another_directory_whose_past_is_not_this_ones(tmp_path: Path) -> None:
    first, second = SimulatedDisk(), SimulatedDisk()
    there = OperatorSettings(state=StateSettings(directory=Path("/e"), every=3))

    async def test() -> None:
        await life(tmp_path, second, listed(99, "s7"), on=there)
        async with rig(tmp_path, first, second) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s1", "s2"))
            memory = one.memory
            await one.kept()
            one.part.apply(there)
            await until(lambda: one.part.session not in (memory, None))
            assert not first.is_locked and set(one.view) == {"s1", "s2"}, "s7 is nobody's word of today"
            assert one.memory.write_behind.collection_interval_ms == 3_000
            await one.kept()
            other = StateSettings(directory=Path("/e"), every=2)
            one.part.apply(OperatorSettings(state=other))
            assert one.memory.write_behind.collection_interval_ms == 2_000
            one.part.apply(OperatorSettings())
            await until(lambda: one.part.session is None and not second.is_locked)
            one.fleet.handle(listed(6, "s1"))
            await until(lambda: set(one.view) == {"s1"})
        assert set(rows(second, "view", "/e")) == {"s1", "s2"}

    run(test)


def test_a_revision_is_kept_behind_all_that_it_brought(tmp_path: Path) -> None:
    """A start that took it as seen without some of its servers would never be told of them again."""
    disk = SimulatedDisk()
    names = [f"s{n}" for n in range(1, 1_400)]

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s0", "s1"))
            await one.kept()
            told = changes(one.memory)
            one.fleet.handle(listed(6, *names))
            assert told and "s0" in told[0].removed_ids, "whoever leaves is written first, and at once"
            await until(lambda: len(one.view) == len(names))
            await one.kept()
            assert sum(len(event.endpoints) for event in told) == len(names) - 1
            assert all(event.revision < 6 for event in told[:-1]), "a crash here would lose the rest"
            assert all(len(event.endpoints) <= state.ENDPOINTS_PER_TURN for event in told)
            await asyncio.sleep(0.2)
            one.fleet.handle(SourceConfirmedCurrent("platform"))
            assert one.memory._complete_positions["platform"] == ("here", 6), "and from then on it is seen"

    async def both() -> None:
        await test()
        await life(tmp_path, disk, listed(8, "s1", "s0"))
        async with rig(tmp_path, disk) as one:  # remembered: the source's word comes in smaller slices
            await one.opened()
            told = changes(one.memory)
            one.fleet.handle(listed(9, *names))
            await until(lambda: len(one.view) == len(names))
            await one.kept()
            assert len(told) > 8 and all(event.revision < 9 for event in told[:-1])

    run(both)


def test_a_removal_is_kept_with_its_own_revision_among_many(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards a node that is killed right after it against an older list in which that server is up."""
    monkeypatch.setattr(state, "MAX_ENDPOINTS_CHECKED_EACH_CHANGE", 0)
    disk, names = SimulatedDisk(), [f"s{n}" for n in range(200)]

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, *names))
            await until(lambda: len(one.view) == len(names))
            await one.kept()
            told = changes(one.memory)
            for revision, gone in ((6, "s1"), (7, "s2"), (8, "s3")):
                one.fleet.handle(listed(revision, complete=False, removed_ids=(gone,)))
            await until(lambda: sum(len(event.removed_ids) for event in told) == 3)
            assert [event.revision for event in told if "s3" in event.removed_ids] == [8]

    run(test)


def test_a_source_some_of_whose_servers_cannot_be_kept_has_no_order_to_go_on_from(tmp_path: Path) -> None:
    disk = SimulatedDisk()
    odd = EndpointRecord(member("s2").endpoint, ("127.0.0.9", 9))
    odd.endpoint.id = "s\0"

    async def test() -> None:
        listing = EndpointList(5, True, (member("s1"), odd))
        await life(tmp_path, disk, EndpointsListed("platform", "here", listing))
        found = msgspec.msgpack.decode(rows(disk, "sources")["platform"], type=kept.SourcePosition)
        assert (found.identity, found.revision) == ("", -1) and set(rows(disk, "view")) == {"s1"}

    run(test)


def test_a_process_that_stood_still_says_so_until_a_source_speaks(tmp_path: Path) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s1"))
            await until(lambda: one.recovery.recovery.state.value == "confirmed")
            assert one.running.watch is None and one.running._queued_events, (
                "told to a time line that comes later"
            )
            one.recovery._last_check_ms -= 60_000
            await until(lambda: one.recovery.recovery.state.value == "provisional")
            told = one.recovery.report()
            assert told["memory"] == "older" and "a source" in told["waits_for"], told
            one.fleet.handle(SourcesConfigured((*one.fleet.merger.sources.values(), hearsay.gossip_source())))
            one.fleet.handle(EndpointsListed("peers", "peers", EndpointList(1, True, ())))
            assert one.recovery.recovery.state.value == "provisional", "other nodes are no source"
            one.fleet.handle(SourceConfirmedCurrent("platform"))
            assert one.recovery.recovery.state.value == "confirmed"

    run(test)


def test_requests_are_seen_until_it_is_full_and_then_no_more(tmp_path: Path) -> None:
    """Who was turned away by a server without room, or left early, was not failed by the node."""

    async def test() -> None:
        async with rig(tmp_path) as one:
            part, meter = one.recovery, one.recovery.recovery.meter
            one.recovery.apply(OperatorSettings())
            assert one.node.observer is part and part.has_begun
            one.fleet.handle(listed(5, "s1"))
            now = one.node.now()
            for n in range(4):
                part.on_decision(now, api.RequestArrived(f"r{n}", "read", now + 1_000), [])
            done = api.AttemptFinished("r0", 0, "s1", api.AttemptStatus.OK, 5.0, True)
            part.on_decision(now, done, [])
            part.on_decision(
                now,
                api.AttemptFinished("r1", 0, "s1", api.AttemptStatus.REJECTED, 5.0, False),
                [api.RejectRequest("r1")],
            )
            part.on_decision(now, api.ClientLeft("r2"), [])
            assert sum(asked for _, (asked, _) in meter._buckets) == 1, "one answer, no failure"
            part.on_decision(now + 990, api.ClientLeft("r3"), [])
            assert [sum(one) for one in zip(*(b for _, b in meter._buckets), strict=True)] == [2, 1]
            assert not part._open_requests and not part._rejected_requests
            names = {"imports", "first list", "first connects", "first answer", "first answer: read"}
            assert {phase["name"] for phase in part.report()["phases"]} == names
            meter.record_phase("full", now + 1)
            await until(lambda: one.node.observer is None)
            part._last_check_ms -= 60_000
            await until(lambda: one.node.observer is part)

    run(test)


@pytest.mark.parametrize("answers", ["the disk", "discovery", "nobody"])
def test_no_request_is_decided_before_what_was_kept_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answers: str
) -> None:
    """The configuration may name whom the node saw the end of. A disk that hangs holds it up shortly."""
    disk, go, load_it = SimulatedDisk(), threading.Event(), state.PersistenceSession._read_store
    decided: list[set[str]] = []  # whom the node knew

    def slow(memory: state.PersistenceSession) -> Any:
        go.wait(LIMIT_S)
        return load_it(memory)

    async def test() -> None:
        await life(tmp_path, disk, listed(50, "s1", "s2"), listed(51, complete=False, removed_ids=("s2",)))
        monkeypatch.setattr(state.PersistenceSession, "_read_store", slow)
        monkeypatch.setattr(state, "MAX_REQUEST_HOLD_S", 0.2 if answers == "nobody" else LIMIT_S)
        async with rig(tmp_path, disk, known="s1 s2") as one:  # of revision 41
            saw = one.recovery.on_decision

            def sees(now: float, event: api.Event, actions: Sequence[api.Action]) -> None:
                if isinstance(event, api.RequestArrived):
                    decided.append(set(one.view))
                saw(now, event, actions)

            monkeypatch.setattr(one.recovery, "on_decision", sees)
            one.part.apply(ON)
            one.node.event(api.RequestArrived("r", "read", one.node.now() + 10_000))
            await asyncio.sleep(0.05)
            assert not decided
            if answers == "the disk":
                go.set()
            elif answers == "discovery":
                one.fleet.handle(listed(51, "s1"))
            await until(lambda: decided)
            assert decided == [{"s1", "s2"} if answers == "nobody" else {"s1"}]
            go.set()
            await until(lambda: one.part.session)

    try:
        run(test)
    finally:
        go.set()


def test_a_request_whose_time_is_up_while_it_waits_is_answered_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    go, ends, load_it = threading.Event(), list[str](), state.PersistenceSession._read_store

    def slow(memory: state.PersistenceSession) -> Any:
        go.wait(LIMIT_S)
        return load_it(memory)

    class Caller:
        def failed(self) -> None:
            ends.append("failed")

        def refused(self, retry_after: float) -> None:
            ends.append("refused")

    async def test() -> None:
        monkeypatch.setattr(state.PersistenceSession, "_read_store", slow)
        monkeypatch.setattr(state, "MAX_REQUEST_HOLD_S", LIMIT_S)
        async with rig(tmp_path, SimulatedDisk(), known="s1 s2") as one:
            one.part.apply(ON)
            arrival = api.RequestArrived("r", "read", one.node.now() + 150)
            one.node.request_arrived(arrival, cast(RequestClient, Caller()), lambda wait: b"")
            await until(lambda: ends)
            assert one.node.now() < arrival.deadline_ms + 100 and not one.part.session
            go.set()
            await until(lambda: one.part.session)
            await asyncio.sleep(0.02)
            assert ends == ["failed"] and not one.node.open

    try:
        run(test)
    finally:
        go.set()
