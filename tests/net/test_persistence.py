"""Persistence of a running node: restored, written, and with disks that fail (the node serves on)."""

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
from balancer.core.cluster import gossiped_removals
from balancer.core.discovery import endpoint_merger, snapshot_slices
from balancer.core.discovery.endpoint_merger import EndpointsListed, SourceConfirmedCurrent, SourcesConfigured
from balancer.core.discovery.source_state import Source, SourceState
from balancer.core.persistence import persisted_state, write_behind
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net import clock, request_dispatcher
from balancer.net.admin_socket import AdminSocket
from balancer.net.component import RunningNode
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.persistence import component, session, view_scanner
from balancer.net.persistence.component import PersistenceComponent
from balancer.net.recovery import RecoveryComponent
from balancer.net.request_dispatcher import RequestClient, RequestDispatcher
from balancer.operator_settings import OperatorSettings, StateSettings
from balancer.store.engine import Engine
from balancer.testbed.simulated_disk import InjectedError, SimulatedDisk, SimulatedFileSystem
from tests.sockets import configuration

ON = OperatorSettings(state=StateSettings(directory=Path("/d"), every=1))
TEST_TIMEOUT_S = 40.0  # for what hangs, not for what is slow


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))


async def until(met: Callable[[], object]) -> None:
    while not met():
        await asyncio.sleep(0.005)


def endpoint_record(name: str, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
    """An endpoint at an address of its own, with a recent start time."""
    host = f"127.0.{sum(name.encode()) % 250}.{len(name)}"
    return EndpointRecord(api.Endpoint(name, "a", 0, 1.0, phase, 1.8e12), (host, 1000 + int(name[1:] or 0)))


def listed(revision: int, *names: str, complete: bool = True, **more: Any) -> EndpointsListed:
    found = tuple(endpoint_record(name) for name in names)
    return EndpointsListed("platform", "here", EndpointList(revision, complete, found, **more))


class Rig:
    """A node with recovery and persistence, on simulated disks in the order in which it opens them."""

    def __init__(self, path: Path, disks: list[SimulatedDisk], name: str = "n0", known: str = "") -> None:
        file = path / "config.json"
        table = configuration([], 1)
        file.write_text(json.dumps(table))
        self.node = RequestDispatcher(load({"PROXY_CONFIG": str(file)}))
        self.fleet = EndpointView(self.node, [Source("platform")])
        names = known.split()
        empty = EndpointList(41 if names else 0, True, tuple(map(endpoint_record, names)))
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
    def session(self) -> session.PersistenceSession:
        assert self.part.session is not None
        return self.part.session

    async def opened(self, on: OperatorSettings = ON) -> None:
        self.part.apply(on)
        await until(lambda: self.part.session)

    async def until_durable(self) -> None:
        """Wait until all changes are durable."""
        keeping = self.session.write_behind.state
        await until(
            lambda: (
                not (
                    self.session.scanner.changed_ids
                    or keeping.dirty
                    or keeping.urgent_dirty
                    or keeping.in_flight
                )
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


def changes(memory: session.PersistenceSession) -> list[write_behind.EndpointsChanged]:
    """The changes of the view that its scanner sends from now on."""
    out: list[write_behind.EndpointsChanged] = []
    handle = memory.scanner.handle

    def record(event: write_behind.Event) -> None:
        if isinstance(event, write_behind.EndpointsChanged):
            out.append(event)
        handle(event)

    memory.scanner.handle = record
    return out


def rows(disk: SimulatedDisk, table: str, directory: str = "/d") -> dict[str, bytes]:
    """The durable rows of a table in a directory that is not open."""
    files = SimulatedFileSystem(disk.copy())
    engine = Engine(files, directory, lambda: 0)
    engine.open()
    found = {key: row.value for key, row in engine.tables.get(table, {}).items()}
    engine.close()
    files.close()
    return found


async def run_node(
    path: Path, disk: SimulatedDisk, *events: EndpointsListed, on: OperatorSettings = ON
) -> None:
    """One run of the node with a graceful shutdown."""
    async with rig(path, disk) as one:
        await one.opened(on)
        for event in events:
            one.fleet.handle(event)
        await one.until_durable()


def test_persistence_after_restart_restores_state_and_rejects_older_lists(tmp_path: Path) -> None:
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
            await one.until_durable()
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
                and one.view["s1"].address == endpoint_record("s1").address
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
def test_persistence_with_list_restored_in_slices_removes_no_endpoint(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, news: EndpointsListed | SourceConfirmedCurrent | None
) -> None:
    """Whichever event comes before the last slice; learned state applies to the complete list."""
    disk, names = SimulatedDisk(), [f"s{n}" for n in range(1, 10)]
    left = names[:2] if isinstance(news, EndpointsListed) else names

    async def test() -> None:
        await run_node(tmp_path, disk, listed(5, *names))
        monkeypatch.setattr(snapshot_slices, "LARGE_SNAPSHOT_ENTRIES", 4)
        monkeypatch.setattr(snapshot_slices, "CHANGE_SLICE_ENTRIES", 1)
        monkeypatch.setattr(request_dispatcher, "LARGE_LIST_ENDPOINTS", 4)
        async with rig(tmp_path, disk) as one:
            source, seen = one.fleet.merger.sources["platform"], list[int]()

            def on_merge(event: endpoint_merger.Event, actions: list[endpoint_merger.Action]) -> None:
                seen.append(len(source.pending_records))
                if len(seen) == 4 and news is not None:
                    asyncio.get_running_loop().call_soon(one.fleet.handle, news)

            one.fleet.listeners.append(on_merge)
            await one.opened()
            assert seen[:4] == [9, 8, 7, 6] and not source.pending_records
            await until(lambda: set(one.node.balancer.order) == set(left))
            assert {held.endpoint.cached_age_ms is None for held in one.view.values()} == {news is not None}
            await one.until_durable()
        assert set(rows(disk, "view")) == set(left) and set(rows(disk, "ends")) == set(names) - set(left)

    run(test)


def test_persistence_on_raised_incarnation_writes_it_also_when_opened_later(tmp_path: Path) -> None:
    """By a refutation, or by what peers had seen: the next run has a greater incarnation."""
    disk = SimulatedDisk()

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.recovery.handle(recovery.IncarnationRaised(5))
            await one.until_durable()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.recovery.report()["incarnation"] == 6
            one.recovery.handle(recovery.PeersReportedIncarnation(8))
            await one.until_durable()
        async with rig(tmp_path, disk) as one:
            one.recovery.begin(None, "it cannot be had")
            one.recovery.handle(recovery.IncarnationRaised(30))
            await one.opened()
            await one.until_durable()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.recovery.report()["incarnation"] == 31

    run(test)


def test_persistence_after_drain_restores_it_until_its_source_lists_the_endpoint(tmp_path: Path) -> None:
    disk = SimulatedDisk()
    drains = EndpointList(6, False, (endpoint_record("s2", api.Phase.DRAINING),))

    async def test() -> None:
        await run_node(tmp_path, disk, listed(5, "s1", "s2"), EndpointsListed("platform", "here", drains))
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.view["s2"].endpoint.phase is api.Phase.DRAINING
            assert one.view["s1"].endpoint.phase is api.Phase.UP
            one.fleet.handle(listed(8, "s1", "s2"))
            await until(lambda: one.view["s2"].endpoint.phase is api.Phase.UP)
            await one.until_durable()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.view["s2"].endpoint.phase is api.Phase.UP

    run(test)


@pytest.mark.parametrize("own", [True, False], ids=["and by its source", "by peers alone"])
def test_persistence_after_gossiped_drain_restores_it_until_the_source_lists_the_endpoint(
    own: bool, tmp_path: Path
) -> None:
    """The source's own drain changes nothing in the view then, so the withdrawal stays that of the peers."""
    disk = SimulatedDisk()
    drains = endpoint_record("s2", api.Phase.DRAINING)

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s1", "s2"))
            one.fleet.handle(
                SourcesConfigured((*one.fleet.merger.sources.values(), gossiped_removals.gossip_source()))
            )
            for listing in (EndpointList(1, True, ()), EndpointList(2, False, (drains,))):
                one.fleet.handle(EndpointsListed("peers", "peers", listing))
            if own:
                one.fleet.handle(EndpointsListed("platform", "here", EndpointList(6, False, (drains,))))
            await one.until_durable()
        async with rig(tmp_path, disk) as one:
            await one.opened()
            assert one.view["s2"].endpoint.phase is api.Phase.DRAINING
            one.fleet.handle(listed(8, "s1", "s2"))
            await until(lambda: one.view["s2"].endpoint.phase is api.Phase.UP)

    run(test)


@pytest.mark.parametrize("sources", [("platform",), ("platform", "etcd")], ids=["alone", "beside etcd"])
@pytest.mark.parametrize("said", [False, True], ids=["discovery silent", "discovery spoke"])
def test_persistence_with_clock_a_day_ahead_still_applies_withdrawals(
    said: bool, sources: tuple[str, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A withdrawal has no age, and a machine may start with any clock after a power cut; the others go on."""
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
            one.fleet.handle(by_etcd(EndpointList(3, True, (endpoint_record("s2"), endpoint_record("s4")))))
            one.fleet.handle(listed(43, complete=False, removed_ids=("s1",)))
            one.fleet.handle(by_etcd(EndpointList(4, False, (), ("s4",))))
            await until(lambda: "s1" not in one.view and len(one.view) == 4 - len(sources))
            await one.until_durable()
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
            await one.until_durable()
        monkeypatch.setattr(clock, "_offset_ms", 0.0)
        async with rig(tmp_path, disk, known="s1 s2 s4") as one:
            one.fleet.handle(SourcesConfigured(tuple(map(Source, sources))))
            await one.opened()
            assert left <= set(one.view) <= left | {"s3"}

    run(test)


def test_persistence_with_expired_view_omits_endpoints_removed_before_the_store_was_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with rig(tmp_path, disk, known="s1 s2") as one:
            one.fleet.handle(listed(42, complete=False, removed_ids=("s1",)))
            one.fleet.handle(listed(43, "s2"))
            await one.opened()
            await one.until_durable()
        monkeypatch.setattr(clock, "_offset_ms", 86_400_000.0)
        async with rig(tmp_path, disk, known="s1 s2") as one:
            await one.opened()
            assert set(one.view) == {"s2"}

    run(test)


def test_persistence_after_removal_by_another_source_keeps_the_endpoint_removed(tmp_path: Path) -> None:
    """The platform lists it still: only the memory of the other source's removal keeps it off."""
    disk = SimulatedDisk()
    sources = (Source("platform"), Source("etcd"))

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(SourcesConfigured(sources))
            one.fleet.handle(listed(5, "s1", "s2"))
            for listing in (
                EndpointList(3, True, (endpoint_record("s2"),)),
                EndpointList(4, False, (), ("s2",)),
            ):
                one.fleet.handle(EndpointsListed("etcd", "cluster", listing))
            await until(lambda: set(one.view) == {"s1"})
            await one.until_durable()
        async with rig(tmp_path, disk) as one:
            one.fleet.handle(SourcesConfigured((Source("platform"), Source("etcd"))))
            await one.opened()
            one.fleet.handle(listed(6, "s1", "s2"))
            await until(lambda: one.view["s1"].endpoint.cached_age_ms is None)
            assert set(one.view) == {"s1"}, "etcd has not listed it anew"
            one.fleet.handle(
                EndpointsListed("etcd", "cluster", EndpointList(9, True, (endpoint_record("s2"),)))
            )
            await until(lambda: set(one.view) == {"s1", "s2"})

    run(test)


def test_persistence_with_hanging_disk_lets_the_node_serve(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Changes during a slow opening are persisted, and take precedence over the restored state."""
    disk, go, read_store = SimulatedDisk(), threading.Event(), session.PersistenceSession._read_store

    def slow(memory: session.PersistenceSession) -> Any:
        go.wait(TEST_TIMEOUT_S)
        return read_store(memory)

    async def test() -> None:
        await run_node(tmp_path, disk, listed(5, "s1", "s2"))
        monkeypatch.setattr(session.PersistenceSession, "_read_store", slow)
        async with rig(tmp_path, disk) as one:
            one.part.apply(ON)
            moved = EndpointList(3, True, (endpoint_record("s1"), endpoint_record("s3")))
            one.fleet.handle(EndpointsListed("platform", "there", moved))
            await until(lambda: set(one.view) == {"s1", "s3"})
            assert one.node.is_ready and one.part.session is None, "it serves before the disk is there"
            told = one.recovery.report()
            assert told["store"]["trouble"] == "being opened", told
            assert "what was kept to be read" in told["waits_for"]
            go.set()
            await until(lambda: one.part.session)
            assert set(one.view) == {"s1", "s3"}, "the source's word is the later one"
            assert one.fleet.merger.sources["platform"].state is SourceState.IN_SYNC
            await one.until_durable()
        assert set(rows(disk, "view")) == {"s1", "s3"} and "s2" in rows(disk, "ends")

    try:
        run(test)
    finally:
        go.set()


@pytest.mark.parametrize("fails", [False, True])
def test_persistence_before_first_sync_uses_the_restored_state(tmp_path: Path, fails: bool) -> None:
    """Its rows are used and requests are served; the new incarnation is durable later, or never."""
    disk, reached, go, well = SimulatedDisk(), threading.Event(), threading.Event(), threading.Event()

    def plan(call: int, name: str) -> None:
        if name.startswith("sync "):
            reached.set()
            go.wait(TEST_TIMEOUT_S)
            if fails and not well.is_set():
                raise InjectedError(errno.ENOSPC)

    def last() -> tuple[int, set[str]]:
        """What a start would find if the process were killed now: the incarnation, the endpoints."""
        me = msgspec.msgpack.decode(rows(disk, "self")["node"], type=persisted_state.NodeIdentity)
        return me.incarnation, set(rows(disk, "view"))

    async def test() -> None:
        await run_node(tmp_path, disk, listed(50, "s1", "s2"), listed(51, "s1"))
        disk.fault_plan = plan
        async with rig(tmp_path, disk, known="s1 s2") as one:  # of revision 41
            await one.opened()
            told = one.recovery.report()
            assert (told["memory"], told["incarnation"]) == ("kept", 2) and set(one.view) == {"s1"}
            assert (
                not one.node._is_deferring_events
                and not told["store"]["commits"]
                and told["store"]["waiting"]
            )
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


def test_persistence_with_full_disk_logs_once_and_writes_again_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()
    monkeypatch.setattr(session, "STORE_STATE_POLL_INTERVAL_S", 0.02)
    caplog.set_level(logging.WARNING)

    def full(number: int, name: str) -> None:
        raise InjectedError(errno.ENOSPC)

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            await one.until_durable()
            disk.fault_plan = full
            one.fleet.handle(listed(5, "s1", "s2"))
            await until(lambda: "nothing new is kept" in caplog.text)
            assert one.node.is_ready and set(one.view) == {"s1", "s2"}
            store = one.recovery.report()["store"]
            assert "full" in store["trouble"] and store["waiting"] and store["failures"]
            await asyncio.sleep(0.1)
            disk.fault_plan = lambda number, name: None
            await until(lambda: "it is written again" in caplog.text)
            await one.until_durable()
            assert caplog.text.count("nothing new is kept") == 1
            assert one.recovery.report()["store"]["trouble"] is None
        assert set(rows(disk, "view")) == {"s1", "s2"}

    run(test)


def test_persistence_with_directory_of_another_node_leaves_it_unchanged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        await run_node(tmp_path, disk, listed(5, "s1", "s2"))
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


def test_persistence_with_locked_directory_retries_until_it_is_free(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()
    monkeypatch.setattr(component, "OPEN_RETRY_INTERVAL_S", 0.05)
    monkeypatch.setattr("balancer.store.store.LOCK_WAIT_TIMEOUT_S", 0.01)

    async def test() -> None:
        await run_node(tmp_path, disk, listed(5, "s1", "s2"))
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


def test_persistence_on_reload_switches_directory_without_restoring_it(tmp_path: Path) -> None:
    first, second = SimulatedDisk(), SimulatedDisk()
    there = OperatorSettings(state=StateSettings(directory=Path("/e"), every=3))

    async def test() -> None:
        await run_node(tmp_path, second, listed(99, "s7"), on=there)
        async with rig(tmp_path, first, second) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s1", "s2"))
            memory = one.session
            await one.until_durable()
            one.part.apply(there)
            await until(lambda: one.part.session not in (memory, None))
            assert not first.is_locked and set(one.view) == {"s1", "s2"}, "s7 is nobody's word of today"
            assert one.session.write_behind.collection_interval_ms == 3_000
            await one.until_durable()
            other = StateSettings(directory=Path("/e"), every=2)
            one.part.apply(OperatorSettings(state=other))
            assert one.session.write_behind.collection_interval_ms == 2_000
            one.part.apply(OperatorSettings())
            await until(lambda: one.part.session is None and not second.is_locked)
            one.fleet.handle(listed(6, "s1"))
            await until(lambda: set(one.view) == {"s1"})
        assert set(rows(second, "view", "/e")) == {"s1", "s2"}

    run(test)


def test_persistence_with_large_list_writes_its_revision_last(tmp_path: Path) -> None:
    """A start that took it as seen without some of its endpoints would never receive them again."""
    disk = SimulatedDisk()
    names = [f"s{n}" for n in range(1, 1_400)]

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s0", "s1"))
            await one.until_durable()
            told = changes(one.session)
            one.fleet.handle(listed(6, *names))
            assert told and "s0" in told[0].removed_ids, "whoever leaves is written first, and at once"
            await until(lambda: len(one.view) == len(names))
            await one.until_durable()
            assert sum(len(event.endpoints) for event in told) == len(names) - 1
            assert all(event.revision < 6 for event in told[:-1]), "a crash here would lose the rest"
            assert all(len(event.endpoints) <= view_scanner.ENDPOINTS_PER_TURN for event in told)
            await asyncio.sleep(0.2)
            one.fleet.handle(SourceConfirmedCurrent("platform"))
            assert one.session.scanner.positions["platform"] == ("here", 6), "and from then on it is seen"

    async def both() -> None:
        await test()
        await run_node(tmp_path, disk, listed(8, "s1", "s0"))
        async with rig(tmp_path, disk) as one:  # remembered: the source's word comes in smaller slices
            await one.opened()
            told = changes(one.session)
            one.fleet.handle(listed(9, *names))
            await until(lambda: len(one.view) == len(names))
            await one.until_durable()
            assert len(told) > 8 and all(event.revision < 9 for event in told[:-1])

    run(both)


def test_persistence_on_removal_from_large_list_writes_its_revision(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards a node that is killed right after it against an older list in which that endpoint is up."""
    monkeypatch.setattr(view_scanner, "MAX_ENDPOINTS_CHECKED_EACH_CHANGE", 0)
    disk, names = SimulatedDisk(), [f"s{n}" for n in range(200)]

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, *names))
            await until(lambda: len(one.view) == len(names))
            await one.until_durable()
            told = changes(one.session)
            for revision, gone in ((6, "s1"), (7, "s2"), (8, "s3")):
                one.fleet.handle(listed(revision, complete=False, removed_ids=(gone,)))
            await until(lambda: sum(len(event.removed_ids) for event in told) == 3)
            assert [event.revision for event in told if "s3" in event.removed_ids] == [8]

    run(test)


def test_persistence_with_invalid_endpoint_name_writes_no_position(tmp_path: Path) -> None:
    disk = SimulatedDisk()
    odd = EndpointRecord(endpoint_record("s2").endpoint, ("127.0.0.9", 9))
    odd.endpoint.id = "s\0"

    async def test() -> None:
        listing = EndpointList(5, True, (endpoint_record("s1"), odd))
        await run_node(tmp_path, disk, EndpointsListed("platform", "here", listing))
        found = msgspec.msgpack.decode(rows(disk, "sources")["platform"], type=persisted_state.SourcePosition)
        assert (found.identity, found.revision) == ("", -1) and set(rows(disk, "view")) == {"s1"}

    run(test)


def test_recovery_after_stall_is_provisional_until_a_source_confirms(tmp_path: Path) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with rig(tmp_path, disk) as one:
            await one.opened()
            one.fleet.handle(listed(5, "s1"))
            await until(lambda: one.recovery.recovery.state.value == "confirmed")
            assert one.running.timeline_monitor is None and one.running._queued_events, (
                "told to a time line that comes later"
            )
            one.recovery._last_check_ms -= 60_000
            await until(lambda: one.recovery.recovery.state.value == "provisional")
            told = one.recovery.report()
            assert told["memory"] == "older" and "a source" in told["waits_for"], told
            one.fleet.handle(
                SourcesConfigured((*one.fleet.merger.sources.values(), gossiped_removals.gossip_source()))
            )
            one.fleet.handle(EndpointsListed("peers", "peers", EndpointList(1, True, ())))
            assert one.recovery.recovery.state.value == "provisional", "other nodes are no source"
            one.fleet.handle(SourceConfirmedCurrent("platform"))
            assert one.recovery.recovery.state.value == "confirmed"

    run(test)


def test_recovery_observes_requests_until_full_and_then_no_more(tmp_path: Path) -> None:
    """Requests that a backend rejected for capacity, or whose client left, are no failures of the node."""

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
def test_persistence_at_start_holds_requests_until_state_is_read_or_the_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answers: str
) -> None:
    """The configured list may name endpoints that were removed. A disk that hangs delays requests briefly."""
    disk, go, read_store = SimulatedDisk(), threading.Event(), session.PersistenceSession._read_store
    decided: list[set[str]] = []  # whom the node knew

    def slow(memory: session.PersistenceSession) -> Any:
        go.wait(TEST_TIMEOUT_S)
        return read_store(memory)

    async def test() -> None:
        await run_node(
            tmp_path, disk, listed(50, "s1", "s2"), listed(51, complete=False, removed_ids=("s2",))
        )
        monkeypatch.setattr(session.PersistenceSession, "_read_store", slow)
        monkeypatch.setattr(component, "MAX_REQUEST_HOLD_S", 0.2 if answers == "nobody" else TEST_TIMEOUT_S)
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


def test_persistence_with_held_request_past_its_deadline_answers_it_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    go, ends, read_store = threading.Event(), list[str](), session.PersistenceSession._read_store

    def slow(memory: session.PersistenceSession) -> Any:
        go.wait(TEST_TIMEOUT_S)
        return read_store(memory)

    class Caller:
        def failed(self) -> None:
            ends.append("failed")

        def refused(self, retry_after: float) -> None:
            ends.append("refused")

    async def test() -> None:
        monkeypatch.setattr(session.PersistenceSession, "_read_store", slow)
        monkeypatch.setattr(component, "MAX_REQUEST_HOLD_S", TEST_TIMEOUT_S)
        async with rig(tmp_path, SimulatedDisk(), known="s1 s2") as one:
            one.part.apply(ON)
            arrival = api.RequestArrived("r", "read", one.node.now() + 150)
            one.node.request_arrived(arrival, cast(RequestClient, Caller()), lambda wait: b"")
            await until(lambda: ends)
            assert one.node.now() < arrival.deadline_ms + 100 and not one.part.session
            go.set()
            await until(lambda: one.part.session)
            await asyncio.sleep(0.02)
            assert ends == ["failed"] and not one.node.open_requests

    try:
        run(test)
    finally:
        go.set()
