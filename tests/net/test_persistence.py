"""Persistence of a running node: restoring, writing, and failing disks, on which the node still serves."""

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

STATE_ENABLED = OperatorSettings(state=StateSettings(directory=Path("/d"), every=1))
TEST_TIMEOUT_S = 40.0  # ends a test that hangs; slow tests stay well below it


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))


async def until(met: Callable[[], object]) -> None:
    while not met():
        await asyncio.sleep(0.005)


def endpoint_record(name: str, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
    """An endpoint at an address derived from its name, with a recent start time."""
    host = f"127.0.{sum(name.encode()) % 250}.{len(name)}"
    return EndpointRecord(api.Endpoint(name, "a", 0, 1.0, phase, 1.8e12), (host, 1000 + int(name[1:] or 0)))


def endpoints_listed(
    revision: int, *names: str, complete: bool = True, **list_fields: Any
) -> EndpointsListed:
    records = tuple(endpoint_record(name) for name in names)
    return EndpointsListed("platform", "here", EndpointList(revision, complete, records, **list_fields))


class NodeHarness:
    """A node with recovery and persistence on simulated disks, given in the order of opening."""

    def __init__(
        self, path: Path, disks: list[SimulatedDisk], name: str = "n0", configured: str = ""
    ) -> None:
        config_file = path / "config.json"
        config_table = configuration([], 1)
        config_file.write_text(json.dumps(config_table))
        self.node = RequestDispatcher(load({"PROXY_CONFIG": str(config_file)}))
        self.fleet = EndpointView(self.node, [Source("platform")])
        endpoint_names = configured.split()
        initial_list = EndpointList(
            41 if endpoint_names else 0, True, tuple(map(endpoint_record, endpoint_names))
        )
        self.fleet.handle(EndpointsListed("platform", "here", initial_list, is_cached=True))
        self.file_systems = [SimulatedFileSystem(disk) for disk in disks]
        unused_file_systems = iter(self.file_systems)
        self.running = RunningNode(
            self.node, self.fleet, (), AdminSocket(), name=name, start_phases_ms={"imports": 20.0}
        )
        self.recovery = RecoveryComponent(self.running)
        self.persistence = PersistenceComponent(self.running, lambda: next(unused_file_systems))
        self.recovery.apply(STATE_ENABLED)

    @property
    def view(self) -> dict[str, EndpointRecord]:
        return self.fleet.merger.view

    @property
    def session(self) -> session.PersistenceSession:
        assert self.persistence.session is not None
        return self.persistence.session

    async def open_session(self, settings: OperatorSettings = STATE_ENABLED) -> None:
        self.persistence.apply(settings)
        await until(lambda: self.persistence.session)

    async def until_durable(self) -> None:
        """Wait until all changes are durable."""
        write_behind_state = self.session.write_behind.state
        await until(
            lambda: (
                not (
                    self.session.scanner.changed_ids
                    or write_behind_state.dirty
                    or write_behind_state.urgent_dirty
                    or write_behind_state.in_flight
                )
            )
        )

    async def close(self) -> None:
        await self.persistence.close()
        await self.recovery.close()


@contextlib.asynccontextmanager
async def node_harness(
    path: Path, *disks: SimulatedDisk, name: str = "n0", configured: str = ""
) -> AsyncIterator[NodeHarness]:
    harness = NodeHarness(path, list(disks), name, configured)
    try:
        yield harness
    finally:
        await harness.close()
        await asyncio.sleep(0.02)  # lets its threads finish with the files
        for file_system in harness.file_systems:
            file_system.close()


def record_changes(persistence_session: session.PersistenceSession) -> list[write_behind.EndpointsChanged]:
    """A list of the view changes that the session's scanner sends from now on."""
    events: list[write_behind.EndpointsChanged] = []
    handle = persistence_session.scanner.handle

    def record(event: write_behind.Event) -> None:
        if isinstance(event, write_behind.EndpointsChanged):
            events.append(event)
        handle(event)

    persistence_session.scanner.handle = record
    return events


def durable_rows(disk: SimulatedDisk, table: str, directory: str = "/d") -> dict[str, bytes]:
    """The durable rows of a table in a closed directory."""
    file_system = SimulatedFileSystem(disk.copy())
    engine = Engine(file_system, directory, lambda: 0)
    engine.open()
    values = {key: row.value for key, row in engine.tables.get(table, {}).items()}
    engine.close()
    file_system.close()
    return values


async def run_node(
    path: Path, disk: SimulatedDisk, *events: EndpointsListed, settings: OperatorSettings = STATE_ENABLED
) -> None:
    """One run of the node that ends by a graceful shutdown."""
    async with node_harness(path, disk) as harness:
        await harness.open_session(settings)
        for event in events:
            harness.fleet.handle(event)
        await harness.until_durable()


def test_persistence_after_restart_restores_state_and_rejects_older_lists(tmp_path: Path) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.node.balancer.state.concurrency_limit = 77.0
            for cls in harness.node.balancer.classes.values():
                cls.expected_latency_ms, cls.mean_deviation_ms = (
                    cls.request_class.latency_objective_ms / 3,
                    9.0,
                )
            harness.fleet.handle(endpoints_listed(5, "s1", "s2", "s3"))
            harness.fleet.handle(endpoints_listed(6, complete=False, removed_ids=("s2",)))
            await harness.until_durable()
            assert harness.recovery.report()["memory"] == "none"
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            report = harness.recovery.report()
            assert (report["memory"], report["incarnation"], report["state"]) == ("kept", 2, "provisional"), (
                report
            )
            assert "first list" not in {phase["name"] for phase in report["phases"]}, "no source has listed"
            assert report["store"]["open"] and report["phases"][0] == {"name": "imports", "ms": 20.0}
            assert set(harness.view) == {"s1", "s3"}
            assert (
                harness.view["s1"].endpoint.cached_age_ms is not None
                and harness.view["s1"].address == endpoint_record("s1").address
            )
            assert 60 < harness.node.balancer.concurrency_limit <= 77.0, (
                "the restored limit decays from its persisted value"
            )
            for cls in harness.node.balancer.classes.values():
                assert (
                    cls.request_class.latency_objective_ms / 3.5
                    < cls.expected_latency_ms
                    <= cls.request_class.latency_objective_ms / 3
                )
            harness.fleet.handle(endpoints_listed(5, "s1", "s2", "s3"))
            assert set(harness.view) == {"s1", "s3"}, "the persisted revision counts as seen"
            harness.fleet.handle(endpoints_listed(7, "s1", "s4"))
            await until(
                lambda: (
                    set(harness.view) == {"s1", "s4"} and harness.view["s1"].endpoint.cached_age_ms is None
                )
            )

    run(test)


@pytest.mark.parametrize(
    "next_event", [None, endpoints_listed(6, "s1", "s2"), SourceConfirmedCurrent("platform")]
)
def test_persistence_with_list_restored_in_slices_removes_no_endpoint(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    next_event: EndpointsListed | SourceConfirmedCurrent | None,
) -> None:
    """Guards against a list that is restored in slices and cut short by an event between two slices.

    Learned state must apply to the complete list.
    """
    disk, names = SimulatedDisk(), [f"s{n}" for n in range(1, 10)]
    remaining = names[:2] if isinstance(next_event, EndpointsListed) else names

    async def test() -> None:
        await run_node(tmp_path, disk, endpoints_listed(5, *names))
        monkeypatch.setattr(snapshot_slices, "LARGE_SNAPSHOT_ENTRIES", 4)
        monkeypatch.setattr(snapshot_slices, "CHANGE_SLICE_ENTRIES", 1)
        monkeypatch.setattr(request_dispatcher, "LARGE_LIST_ENDPOINTS", 4)
        async with node_harness(tmp_path, disk) as harness:
            source, pending_counts = harness.fleet.merger.sources["platform"], list[int]()

            def on_merge(event: endpoint_merger.Event, actions: list[endpoint_merger.Action]) -> None:
                pending_counts.append(len(source.pending_records))
                if len(pending_counts) == 4 and next_event is not None:
                    asyncio.get_running_loop().call_soon(harness.fleet.handle, next_event)

            harness.fleet.listeners.append(on_merge)
            await harness.open_session()
            assert pending_counts[:4] == [9, 8, 7, 6] and not source.pending_records
            await until(lambda: set(harness.node.balancer.order) == set(remaining))
            assert {record.endpoint.cached_age_ms is None for record in harness.view.values()} == {
                next_event is not None
            }
            await harness.until_durable()
        assert set(durable_rows(disk, "view")) == set(remaining) and set(durable_rows(disk, "ends")) == set(
            names
        ) - set(remaining)

    run(test)


def test_persistence_on_raised_incarnation_writes_it_also_when_opened_later(tmp_path: Path) -> None:
    """Raised by a refutation or by peers, the incarnation is greater in the next run."""
    disk = SimulatedDisk()

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.recovery.handle(recovery.IncarnationRaised(5))
            await harness.until_durable()
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            assert harness.recovery.report()["incarnation"] == 6
            harness.recovery.handle(recovery.PeersReportedIncarnation(8))
            await harness.until_durable()
        async with node_harness(tmp_path, disk) as harness:
            harness.recovery.begin(None, "it cannot be opened")
            harness.recovery.handle(recovery.IncarnationRaised(30))
            await harness.open_session()
            await harness.until_durable()
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            assert harness.recovery.report()["incarnation"] == 31

    run(test)


def test_persistence_after_drain_restores_it_until_its_source_lists_the_endpoint(tmp_path: Path) -> None:
    disk = SimulatedDisk()
    drain_list = EndpointList(6, False, (endpoint_record("s2", api.Phase.DRAINING),))

    async def test() -> None:
        await run_node(
            tmp_path, disk, endpoints_listed(5, "s1", "s2"), EndpointsListed("platform", "here", drain_list)
        )
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            assert harness.view["s2"].endpoint.phase is api.Phase.DRAINING
            assert harness.view["s1"].endpoint.phase is api.Phase.UP
            harness.fleet.handle(endpoints_listed(8, "s1", "s2"))
            await until(lambda: harness.view["s2"].endpoint.phase is api.Phase.UP)
            await harness.until_durable()
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            assert harness.view["s2"].endpoint.phase is api.Phase.UP

    run(test)


@pytest.mark.parametrize(
    "is_drained_by_source", [True, False], ids=["drained by its source as well", "drained by peers only"]
)
def test_persistence_after_gossiped_drain_restores_it_until_the_source_lists_the_endpoint(
    is_drained_by_source: bool, tmp_path: Path
) -> None:
    """The source's later drain does not change the view, so the withdrawal remains that of the peers."""
    disk = SimulatedDisk()
    draining_record = endpoint_record("s2", api.Phase.DRAINING)

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.fleet.handle(endpoints_listed(5, "s1", "s2"))
            harness.fleet.handle(
                SourcesConfigured((*harness.fleet.merger.sources.values(), gossiped_removals.gossip_source()))
            )
            for endpoint_list in (EndpointList(1, True, ()), EndpointList(2, False, (draining_record,))):
                harness.fleet.handle(EndpointsListed("peers", "peers", endpoint_list))
            if is_drained_by_source:
                harness.fleet.handle(
                    EndpointsListed("platform", "here", EndpointList(6, False, (draining_record,)))
                )
            await harness.until_durable()
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            assert harness.view["s2"].endpoint.phase is api.Phase.DRAINING
            harness.fleet.handle(endpoints_listed(8, "s1", "s2"))
            await until(lambda: harness.view["s2"].endpoint.phase is api.Phase.UP)

    run(test)


@pytest.mark.parametrize("sources", [("platform",), ("platform", "etcd")], ids=["alone", "beside etcd"])
@pytest.mark.parametrize("has_listed", [False, True], ids=["discovery silent", "discovery listed"])
def test_persistence_with_clock_a_day_ahead_still_applies_withdrawals(
    has_listed: bool, sources: tuple[str, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Withdrawals do not expire: after a power cut a machine may start with any clock.

    The other endpoints stay in the view.
    """
    disk = SimulatedDisk()

    def etcd_event(endpoint_list: EndpointList) -> EndpointsListed | SourcesConfigured:
        return (
            EndpointsListed("etcd", "cluster", endpoint_list)
            if len(sources) > 1
            else SourcesConfigured((Source("platform"),))
        )

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.fleet.handle(SourcesConfigured(tuple(map(Source, sources))))
            harness.fleet.handle(endpoints_listed(42, "s1", "s2", "s3", "s4"))
            harness.fleet.handle(
                etcd_event(EndpointList(3, True, (endpoint_record("s2"), endpoint_record("s4"))))
            )
            harness.fleet.handle(endpoints_listed(43, complete=False, removed_ids=("s1",)))
            harness.fleet.handle(etcd_event(EndpointList(4, False, (), ("s4",))))
            await until(lambda: "s1" not in harness.view and len(harness.view) == 4 - len(sources))
            await harness.until_durable()
        remaining = {"s2", "s4"} if len(sources) == 1 else {"s2"}
        monkeypatch.setattr(clock, "_offset_ms", 86_400_000.0)
        async with node_harness(tmp_path, disk, configured="s1 s2 s4") as harness:  # from revision 41
            harness.fleet.handle(SourcesConfigured(tuple(map(Source, sources))))
            await harness.open_session()
            assert harness.recovery.report()["memory"] == "older" and set(harness.view) == remaining
            harness.fleet.handle(endpoints_listed(42, "s1", "s2", "s3", "s4"))
            assert set(harness.view) == remaining, "the withdrawal counts as seen"
            assert harness.fleet.watch_revision("platform") is None, (
                "the complete list is needed: s3 is unknown"
            )
            if has_listed:
                harness.fleet.handle(endpoints_listed(43, "s2", "s3", "s4"))
                await until(lambda: set(harness.view) == remaining | {"s3"})
            await harness.until_durable()
        monkeypatch.setattr(clock, "_offset_ms", 0.0)
        async with node_harness(tmp_path, disk, configured="s1 s2 s4") as harness:
            harness.fleet.handle(SourcesConfigured(tuple(map(Source, sources))))
            await harness.open_session()
            assert remaining <= set(harness.view) <= remaining | {"s3"}

    run(test)


def test_persistence_with_expired_view_omits_endpoints_removed_before_the_store_was_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with node_harness(tmp_path, disk, configured="s1 s2") as harness:
            harness.fleet.handle(endpoints_listed(42, complete=False, removed_ids=("s1",)))
            harness.fleet.handle(endpoints_listed(43, "s2"))
            await harness.open_session()
            await harness.until_durable()
        monkeypatch.setattr(clock, "_offset_ms", 86_400_000.0)
        async with node_harness(tmp_path, disk, configured="s1 s2") as harness:
            await harness.open_session()
            assert set(harness.view) == {"s2"}

    run(test)


def test_persistence_after_removal_by_another_source_keeps_the_endpoint_removed(tmp_path: Path) -> None:
    """The platform still lists the endpoint: only the persisted removal by etcd keeps it out."""
    disk = SimulatedDisk()
    sources = (Source("platform"), Source("etcd"))

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.fleet.handle(SourcesConfigured(sources))
            harness.fleet.handle(endpoints_listed(5, "s1", "s2"))
            for endpoint_list in (
                EndpointList(3, True, (endpoint_record("s2"),)),
                EndpointList(4, False, (), ("s2",)),
            ):
                harness.fleet.handle(EndpointsListed("etcd", "cluster", endpoint_list))
            await until(lambda: set(harness.view) == {"s1"})
            await harness.until_durable()
        async with node_harness(tmp_path, disk) as harness:
            harness.fleet.handle(SourcesConfigured((Source("platform"), Source("etcd"))))
            await harness.open_session()
            harness.fleet.handle(endpoints_listed(6, "s1", "s2"))
            await until(lambda: harness.view["s1"].endpoint.cached_age_ms is None)
            assert set(harness.view) == {"s1"}, "etcd has not listed it again"
            harness.fleet.handle(
                EndpointsListed("etcd", "cluster", EndpointList(9, True, (endpoint_record("s2"),)))
            )
            await until(lambda: set(harness.view) == {"s1", "s2"})

    run(test)


def test_persistence_with_hanging_disk_lets_the_node_serve(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Changes during a slow opening are persisted, and take precedence over the restored state."""
    disk, may_read, read_store = SimulatedDisk(), threading.Event(), session.PersistenceSession._read_store

    def delayed_read_store(opening_session: session.PersistenceSession) -> Any:
        may_read.wait(TEST_TIMEOUT_S)
        return read_store(opening_session)

    async def test() -> None:
        await run_node(tmp_path, disk, endpoints_listed(5, "s1", "s2"))
        monkeypatch.setattr(session.PersistenceSession, "_read_store", delayed_read_store)
        async with node_harness(tmp_path, disk) as harness:
            harness.persistence.apply(STATE_ENABLED)
            new_list = EndpointList(3, True, (endpoint_record("s1"), endpoint_record("s3")))
            harness.fleet.handle(EndpointsListed("platform", "there", new_list))
            await until(lambda: set(harness.view) == {"s1", "s3"})
            assert harness.node.is_ready and harness.persistence.session is None, (
                "it serves before the store is read"
            )
            report = harness.recovery.report()
            assert report["store"]["trouble"] == "being opened", report
            assert "the persisted state to be read" in report["waits_for"]
            may_read.set()
            await until(lambda: harness.persistence.session)
            assert set(harness.view) == {"s1", "s3"}, "the source's list is newer than the restored one"
            assert harness.fleet.merger.sources["platform"].state is SourceState.IN_SYNC
            await harness.until_durable()
        assert set(durable_rows(disk, "view")) == {"s1", "s3"} and "s2" in durable_rows(disk, "ends")

    try:
        run(test)
    finally:
        may_read.set()


@pytest.mark.parametrize("is_failing", [False, True])
def test_persistence_before_first_sync_uses_the_restored_state(tmp_path: Path, is_failing: bool) -> None:
    """Restored rows are used and requests served although the first sync hangs or fails.

    The new incarnation becomes durable once a sync succeeds.
    """
    disk, sync_reached, may_sync, disk_recovered = (
        SimulatedDisk(),
        threading.Event(),
        threading.Event(),
        threading.Event(),
    )

    def plan(call: int, name: str) -> None:
        if name.startswith("sync "):
            sync_reached.set()
            may_sync.wait(TEST_TIMEOUT_S)
            if is_failing and not disk_recovered.is_set():
                raise InjectedError(errno.ENOSPC)

    def durable_state() -> tuple[int, set[str]]:
        """The durable incarnation and endpoints, which a start after a kill would find."""
        identity = msgspec.msgpack.decode(
            durable_rows(disk, "self")["node"], type=persisted_state.NodeIdentity
        )
        return identity.incarnation, set(durable_rows(disk, "view"))

    async def test() -> None:
        await run_node(tmp_path, disk, endpoints_listed(50, "s1", "s2"), endpoints_listed(51, "s1"))
        disk.fault_plan = plan
        async with node_harness(tmp_path, disk, configured="s1 s2") as harness:  # from revision 41
            await harness.open_session()
            report = harness.recovery.report()
            assert (report["memory"], report["incarnation"]) == ("kept", 2) and set(harness.view) == {"s1"}
            assert (
                not harness.node._is_deferring_events
                and not report["store"]["commits"]
                and report["store"]["waiting"]
            )
            await until(sync_reached.is_set)
            assert durable_state() == (1, {"s1"}), "the previous generation, complete"
            may_sync.set()
            if is_failing:
                await until(lambda: "full" in str(harness.recovery.report()["store"]["trouble"]))
                assert not harness.recovery.report()["store"]["commits"]
                disk_recovered.set()
            await until(lambda: harness.recovery.report()["store"]["commits"])
        assert durable_state() == (2, {"s1"})

    try:
        run(test)
    finally:
        may_sync.set()


def test_persistence_with_full_disk_logs_once_and_writes_again_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()
    monkeypatch.setattr(session, "STORE_STATE_POLL_INTERVAL_S", 0.02)
    caplog.set_level(logging.WARNING)

    def fail_with_full_disk(number: int, name: str) -> None:
        raise InjectedError(errno.ENOSPC)

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            await harness.until_durable()
            disk.fault_plan = fail_with_full_disk
            harness.fleet.handle(endpoints_listed(5, "s1", "s2"))
            await until(lambda: "new changes are not persisted" in caplog.text)
            assert harness.node.is_ready and set(harness.view) == {"s1", "s2"}
            store = harness.recovery.report()["store"]
            assert "full" in store["trouble"] and store["waiting"] and store["failures"]
            await asyncio.sleep(0.1)
            disk.fault_plan = lambda number, name: None
            await until(lambda: "state: writing again" in caplog.text)
            await harness.until_durable()
            assert caplog.text.count("new changes are not persisted") == 1
            assert harness.recovery.report()["store"]["trouble"] is None
        assert set(durable_rows(disk, "view")) == {"s1", "s2"}

    run(test)


def test_persistence_with_directory_of_another_node_leaves_it_unchanged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        await run_node(tmp_path, disk, endpoints_listed(5, "s1", "s2"))
        before = durable_rows(disk, "self")
        async with node_harness(tmp_path, disk, name="n1") as harness:
            harness.persistence.apply(STATE_ENABLED)
            await until(lambda: "of node 'n0', not of 'n1'" in harness.persistence.fault)
            harness.fleet.handle(endpoints_listed(9, "s9"))
            await until(lambda: set(harness.view) == {"s9"})
            report = harness.recovery.report()
            assert report["memory"] == "lost" and not report["store"]["open"] and not disk.is_locked
            assert any("before roles" in line for line in report["waits_for"])
            await asyncio.sleep(0.2)
        assert durable_rows(disk, "self") == before and set(durable_rows(disk, "view")) == {"s1", "s2"}
        assert caplog.text.count("serves without persistence") == 1

    run(test)


def test_persistence_with_locked_directory_retries_until_it_is_free(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimulatedDisk()
    monkeypatch.setattr(component, "OPEN_RETRY_INTERVAL_S", 0.05)
    monkeypatch.setattr("balancer.store.store.LOCK_WAIT_TIMEOUT_S", 0.01)

    async def test() -> None:
        await run_node(tmp_path, disk, endpoints_listed(5, "s1", "s2"))
        disk.is_locked = True
        async with node_harness(tmp_path, *[disk] * 40) as harness:
            harness.persistence.apply(STATE_ENABLED)
            await until(lambda: "owned" in harness.persistence.fault)
            assert harness.recovery.report()["memory"] == "lost"
            await asyncio.sleep(0.2)
            disk.is_locked = False
            await until(lambda: harness.persistence.session)
            assert set(harness.view) == {"s1", "s2"}, "no source had listed"
            assert caplog.text.count("retried every") == 1

    run(test)


def test_persistence_on_reload_switches_directory_without_restoring_it(tmp_path: Path) -> None:
    first, second = SimulatedDisk(), SimulatedDisk()
    other_settings = OperatorSettings(state=StateSettings(directory=Path("/e"), every=3))

    async def test() -> None:
        await run_node(tmp_path, second, endpoints_listed(99, "s7"), settings=other_settings)
        async with node_harness(tmp_path, first, second) as harness:
            await harness.open_session()
            harness.fleet.handle(endpoints_listed(5, "s1", "s2"))
            first_session = harness.session
            await harness.until_durable()
            harness.persistence.apply(other_settings)
            await until(lambda: harness.persistence.session not in (first_session, None))
            assert not first.is_locked and set(harness.view) == {"s1", "s2"}, (
                "no source has listed s7 in this run"
            )
            assert harness.session.write_behind.collection_interval_ms == 3_000
            await harness.until_durable()
            changed_settings = StateSettings(directory=Path("/e"), every=2)
            harness.persistence.apply(OperatorSettings(state=changed_settings))
            assert harness.session.write_behind.collection_interval_ms == 2_000
            harness.persistence.apply(OperatorSettings())
            await until(lambda: harness.persistence.session is None and not second.is_locked)
            harness.fleet.handle(endpoints_listed(6, "s1"))
            await until(lambda: set(harness.view) == {"s1"})
        assert set(durable_rows(second, "view", "/e")) == {"s1", "s2"}

    run(test)


def test_persistence_with_large_list_writes_its_revision_last(tmp_path: Path) -> None:
    """A restarted node with the revision but not all its endpoints would never receive the others."""
    disk = SimulatedDisk()
    names = [f"s{n}" for n in range(1, 1_400)]

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.fleet.handle(endpoints_listed(5, "s0", "s1"))
            await harness.until_durable()
            sent_events = record_changes(harness.session)
            harness.fleet.handle(endpoints_listed(6, *names))
            assert sent_events and "s0" in sent_events[0].removed_ids, (
                "removals are written first and at once"
            )
            await until(lambda: len(harness.view) == len(names))
            await harness.until_durable()
            assert sum(len(event.endpoints) for event in sent_events) == len(names) - 1
            assert all(event.revision < 6 for event in sent_events[:-1]), (
                "a crash here would lose the remaining endpoints"
            )
            assert all(len(event.endpoints) <= view_scanner.ENDPOINTS_PER_TURN for event in sent_events)
            await asyncio.sleep(0.2)
            harness.fleet.handle(SourceConfirmedCurrent("platform"))
            assert harness.session.scanner.positions["platform"] == ("here", 6), (
                "the revision now counts as seen"
            )

    async def test_with_restart() -> None:
        await test()
        await run_node(tmp_path, disk, endpoints_listed(8, "s1", "s0"))
        # After a restart the source's list is applied in smaller slices.
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            sent_events = record_changes(harness.session)
            harness.fleet.handle(endpoints_listed(9, *names))
            await until(lambda: len(harness.view) == len(names))
            await harness.until_durable()
            assert len(sent_events) > 8 and all(event.revision < 9 for event in sent_events[:-1])

    run(test_with_restart)


def test_persistence_on_removal_from_large_list_writes_its_revision(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node killed right after a removal must reject an older list in which that endpoint is up."""
    monkeypatch.setattr(view_scanner, "MAX_ENDPOINTS_CHECKED_EACH_CHANGE", 0)
    disk, names = SimulatedDisk(), [f"s{n}" for n in range(200)]

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.fleet.handle(endpoints_listed(5, *names))
            await until(lambda: len(harness.view) == len(names))
            await harness.until_durable()
            sent_events = record_changes(harness.session)
            for revision, removed_id in ((6, "s1"), (7, "s2"), (8, "s3")):
                harness.fleet.handle(endpoints_listed(revision, complete=False, removed_ids=(removed_id,)))
            await until(lambda: sum(len(event.removed_ids) for event in sent_events) == 3)
            assert [event.revision for event in sent_events if "s3" in event.removed_ids] == [8]

    run(test)


def test_persistence_with_invalid_endpoint_name_writes_no_position(tmp_path: Path) -> None:
    disk = SimulatedDisk()
    invalid_record = EndpointRecord(endpoint_record("s2").endpoint, ("127.0.0.9", 9))
    invalid_record.endpoint.id = "s\0"

    async def test() -> None:
        endpoint_list = EndpointList(5, True, (endpoint_record("s1"), invalid_record))
        await run_node(tmp_path, disk, EndpointsListed("platform", "here", endpoint_list))
        position = msgspec.msgpack.decode(
            durable_rows(disk, "sources")["platform"], type=persisted_state.SourcePosition
        )
        assert (position.identity, position.revision) == ("", -1) and set(durable_rows(disk, "view")) == {
            "s1"
        }

    run(test)


def test_recovery_after_stall_is_provisional_until_a_source_confirms(tmp_path: Path) -> None:
    disk = SimulatedDisk()

    async def test() -> None:
        async with node_harness(tmp_path, disk) as harness:
            await harness.open_session()
            harness.fleet.handle(endpoints_listed(5, "s1"))
            await until(lambda: harness.recovery.recovery.state.value == "confirmed")
            assert harness.running.timeline_monitor is None and harness.running._queued_events, (
                "queued for a timeline that is attached later"
            )
            harness.recovery._last_check_ms -= 60_000
            await until(lambda: harness.recovery.recovery.state.value == "provisional")
            report = harness.recovery.report()
            assert report["memory"] == "older" and "a source" in report["waits_for"], report
            harness.fleet.handle(
                SourcesConfigured((*harness.fleet.merger.sources.values(), gossiped_removals.gossip_source()))
            )
            harness.fleet.handle(EndpointsListed("peers", "peers", EndpointList(1, True, ())))
            assert harness.recovery.recovery.state.value == "provisional", "peers do not count as a source"
            harness.fleet.handle(SourceConfirmedCurrent("platform"))
            assert harness.recovery.recovery.state.value == "confirmed"

    run(test)


def test_recovery_observes_requests_until_full_and_then_no_more(tmp_path: Path) -> None:
    """Requests rejected by a backend for capacity or abandoned by the client are not failures."""

    async def test() -> None:
        async with node_harness(tmp_path) as harness:
            recovery_component, meter = harness.recovery, harness.recovery.recovery.meter
            harness.recovery.apply(OperatorSettings())
            assert harness.node.observer is recovery_component and recovery_component.has_begun
            harness.fleet.handle(endpoints_listed(5, "s1"))
            now = harness.node.now()
            for index in range(4):
                recovery_component.on_decision(now, api.RequestArrived(f"r{index}", "read", now + 1_000), [])
            finished = api.AttemptFinished("r0", 0, "s1", api.AttemptStatus.OK, 5.0, True)
            recovery_component.on_decision(now, finished, [])
            recovery_component.on_decision(
                now,
                api.AttemptFinished("r1", 0, "s1", api.AttemptStatus.REJECTED, 5.0, False),
                [api.RejectRequest("r1")],
            )
            recovery_component.on_decision(now, api.ClientLeft("r2"), [])
            assert sum(total for _, (total, _) in meter._buckets) == 1, "one answer, no failure"
            recovery_component.on_decision(now + 990, api.ClientLeft("r3"), [])
            assert [sum(counts) for counts in zip(*(b for _, b in meter._buckets), strict=True)] == [2, 1]
            assert not recovery_component._open_requests and not recovery_component._rejected_requests
            names = {"imports", "first list", "first connects", "first answer", "first answer: read"}
            assert {phase["name"] for phase in recovery_component.report()["phases"]} == names
            meter.record_phase("full", now + 1)
            await until(lambda: harness.node.observer is None)
            recovery_component._last_check_ms -= 60_000
            await until(lambda: harness.node.observer is recovery_component)

    run(test)


@pytest.mark.parametrize("released_by", ["store", "discovery", "timeout"])
def test_persistence_at_start_holds_requests_until_state_is_read_or_the_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, released_by: str
) -> None:
    """The configured list may contain removed endpoints; a disk that hangs delays requests only briefly."""
    disk, may_read, read_store = SimulatedDisk(), threading.Event(), session.PersistenceSession._read_store
    decided: list[set[str]] = []  # endpoints in the view at each decision

    def delayed_read_store(opening_session: session.PersistenceSession) -> Any:
        may_read.wait(TEST_TIMEOUT_S)
        return read_store(opening_session)

    async def test() -> None:
        await run_node(
            tmp_path,
            disk,
            endpoints_listed(50, "s1", "s2"),
            endpoints_listed(51, complete=False, removed_ids=("s2",)),
        )
        monkeypatch.setattr(session.PersistenceSession, "_read_store", delayed_read_store)
        monkeypatch.setattr(
            component, "MAX_REQUEST_HOLD_S", 0.2 if released_by == "timeout" else TEST_TIMEOUT_S
        )
        async with node_harness(tmp_path, disk, configured="s1 s2") as harness:  # from revision 41
            on_decision = harness.recovery.on_decision

            def record_decision(now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
                if isinstance(event, api.RequestArrived):
                    decided.append(set(harness.view))
                on_decision(now_ms, event, actions)

            monkeypatch.setattr(harness.recovery, "on_decision", record_decision)
            harness.persistence.apply(STATE_ENABLED)
            harness.node.event(api.RequestArrived("r", "read", harness.node.now() + 10_000))
            await asyncio.sleep(0.05)
            assert not decided
            if released_by == "store":
                may_read.set()
            elif released_by == "discovery":
                harness.fleet.handle(endpoints_listed(51, "s1"))
            await until(lambda: decided)
            assert decided == [{"s1", "s2"} if released_by == "timeout" else {"s1"}]
            may_read.set()
            await until(lambda: harness.persistence.session)

    try:
        run(test)
    finally:
        may_read.set()


def test_persistence_with_held_request_past_its_deadline_answers_it_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    may_read, outcomes, read_store = threading.Event(), list[str](), session.PersistenceSession._read_store

    def delayed_read_store(opening_session: session.PersistenceSession) -> Any:
        may_read.wait(TEST_TIMEOUT_S)
        return read_store(opening_session)

    class Caller:
        def failed(self) -> None:
            outcomes.append("failed")

        def refused(self, retry_after: float) -> None:
            outcomes.append("refused")

    async def test() -> None:
        monkeypatch.setattr(session.PersistenceSession, "_read_store", delayed_read_store)
        monkeypatch.setattr(component, "MAX_REQUEST_HOLD_S", TEST_TIMEOUT_S)
        async with node_harness(tmp_path, SimulatedDisk(), configured="s1 s2") as harness:
            harness.persistence.apply(STATE_ENABLED)
            arrival = api.RequestArrived("r", "read", harness.node.now() + 150)
            harness.node.request_arrived(arrival, cast(RequestClient, Caller()), lambda wait: b"")
            await until(lambda: outcomes)
            assert harness.node.now() < arrival.deadline_ms + 100 and not harness.persistence.session
            may_read.set()
            await until(lambda: harness.persistence.session)
            await asyncio.sleep(0.02)
            assert outcomes == ["failed"] and not harness.node.open_requests

    try:
        run(test)
    finally:
        may_read.set()
