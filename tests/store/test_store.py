"""The writer thread: group commits, lanes, bounds; slow, full and recovering disks; a killed process."""

from __future__ import annotations

import asyncio
import errno
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest

from balancer.core.persistence.persisted_state import URGENT_TABLES
from balancer.store import store as store_module
from balancer.store.engine import Delete, Put
from balancer.store.errors import FaultKind, WriteQueueFullError
from balancer.store.inspect import show
from balancer.store.sqlite_file import JournalRecord
from balancer.store.store import Store
from balancer.testbed.simulated_disk import InjectedError, SimulatedDisk, SimulatedFileSystem
from tests.sockets import ROOT, WAIT


class SyncGate:
    """A disk whose syncs block until they are allowed."""

    def __init__(self, disk: SimulatedDisk | None = None) -> None:
        self.disk = disk or SimulatedDisk()
        self.file_system = SimulatedFileSystem(self.disk)
        self.sync_reached, self.syncs_allowed = threading.Event(), threading.Event()
        self.syncs_allowed.set()
        self.disk.fault_plan = self._plan

    def _plan(self, number: int, name: str) -> None:
        if name.startswith("sync ") and not self.syncs_allowed.is_set():
            self.sync_reached.set()
            assert self.syncs_allowed.wait(WAIT)

    def block_syncs(self) -> None:
        self.sync_reached.clear()
        self.syncs_allowed.clear()


@pytest.fixture
def gate() -> Iterator[SyncGate]:
    """A disk whose syncs are initially allowed."""
    gate = SyncGate()
    yield gate
    gate.file_system.close()


def open_store(
    gate: SyncGate, call_soon_threadsafe: Callable[[Callable[[], None]], object] = lambda run: run()
) -> Store:
    store = Store("/d", call_soon_threadsafe, gate.file_system, URGENT_TABLES)
    store.open()
    return store


def flush(store: Store) -> None:
    """Waits until all changes queued so far are durable."""
    done = threading.Event()
    store.append("flush", 0, lambda position: done.set())
    assert done.wait(WAIT)


def test_store_slow_sync_does_not_block_the_loop(gate: SyncGate) -> None:

    async def test() -> None:
        loop = asyncio.get_running_loop()
        store = open_store(gate, loop.call_soon_threadsafe)
        done: asyncio.Future[int] = loop.create_future()
        gate.block_syncs()
        store.append("log", {"a": 1}, done.set_result)
        await asyncio.to_thread(gate.sync_reached.wait, WAIT)
        for _ in range(1_000):  # during the sync the loop runs and more work is queued
            store.put("view", "k", 1)
            await asyncio.sleep(0)
        assert not done.done() and store.status().queued_changes == 1_001
        gate.syncs_allowed.set()
        async with asyncio.timeout(WAIT):
            assert await done == 1
        assert await asyncio.to_thread(store.close, WAIT) == 0
        assert store.status().commit_count == 2, "the queued work was one group"

    asyncio.run(test())
    gate.file_system.close()


@pytest.mark.parametrize("error_number", [None, errno.EIO, errno.ENOSPC])
def test_store_restored_values_are_available_before_first_sync(
    gate: SyncGate, error_number: int | None
) -> None:
    """A slow or failing sync is reported and acknowledges nothing; restored values stay available."""
    store = open_store(gate)
    store.put("view", "a", 1)
    assert store.close(WAIT) == 0
    disk, failed = gate.disk.copy(), threading.Event()
    second_gate = SyncGate(disk)
    second_gate.block_syncs()
    acknowledged = list[int]()
    store = open_store(second_gate)
    assert store.get("view", "a") == b"\x01" and not second_gate.sync_reached.is_set()
    if error_number is not None:
        second_gate.syncs_allowed.set()

        def plan(call: int, name: str) -> None:
            if not failed.is_set() and name.startswith("sync "):
                failed.set()
                raise InjectedError(error_number)

        disk.fault_plan = plan
    store.put("self", "node", 2, acknowledged.append)
    assert (second_gate.sync_reached if error_number is None else failed).wait(WAIT)
    assert store.items("view") == {"a": b"\x01"} and (error_number is not None or not acknowledged)
    second_gate.syncs_allowed.set()
    flush(store)
    assert len(acknowledged) == 1 and store.status().failure_count == (error_number is not None)
    assert store.close(WAIT) == 0
    second_gate.file_system.close()


def test_store_urgent_tables_are_written_first_and_lanes_keep_their_order(gate: SyncGate) -> None:
    order: list[str] = []
    store = open_store(gate)
    gate.block_syncs()
    store.put("view", "first", 0, lambda sequence_number: order.append("first"))
    assert gate.sync_reached.wait(WAIT)
    for n in range(3):
        store.put("view", "k", n, lambda sequence_number, n=n: order.append(f"view {n}"))  # type: ignore[misc]
    store.append("log", 0, lambda position: order.append("log"))
    store.put("ends", "k", 9, lambda sequence_number: order.append("ends"))
    gate.syncs_allowed.set()
    flush(store)
    assert order == ["first", "ends", "view 0", "view 1", "view 2", "log"]
    assert store.get("view", "k") == msgspec.msgpack.encode(2)
    with pytest.raises(ValueError, match="in one commit"):
        store.write([Put("ends", "a", b""), Delete("view", "a")])
    store.close()
    gate.file_system.close()


def test_store_full_lane_rejects_by_count_and_by_bytes(gate: SyncGate) -> None:
    store = open_store(gate)
    gate.block_syncs()
    store.append("log", 0)
    assert gate.sync_reached.wait(WAIT)
    queued_count = 0
    with pytest.raises(WriteQueueFullError):
        for _ in range(store_module.MAX_LANE_CHANGES + 1):
            store.append("log", 0)
            queued_count += 1
    assert queued_count == store_module.MAX_LANE_CHANGES - 1
    written = threading.Event()
    store.put("ends", "k", 1, lambda sequence_number: written.set())  # the urgent lane has its own capacity
    gate.syncs_allowed.set()
    assert written.wait(WAIT)
    while store.status().queued_changes:
        threading.Event().wait(0.01)
    gate.block_syncs()
    store.put("view", "k", 0)
    assert gate.sync_reached.wait(WAIT)
    with pytest.raises(WriteQueueFullError):
        for _ in range(1_000):
            store.append("log", b"x" * 60_000)
    status = store.status()
    assert status.queued_bytes <= store_module.MAX_LANE_BYTES and status.rejected_changes == 2
    for key, value in (("", 1), ("a\0b", 1), ("x" * 600, 1), ("k", b"x" * 70_000)):
        with pytest.raises(ValueError):
            store.put("view", key, value)
    with pytest.raises(ValueError):
        store.append("No", 1)
    with pytest.raises(ValueError):
        store.write([])
    gate.syncs_allowed.set()
    assert store.close(WAIT) == 0
    gate.file_system.close()


FAULT_KIND_BY_ERRNO = {
    errno.ENOSPC: FaultKind.DISK_FULL,
    errno.EIO: FaultKind.IO_ERROR,
    errno.EROFS: FaultKind.READ_ONLY,
}


@pytest.mark.parametrize("error_number", FAULT_KIND_BY_ERRNO)
def test_store_failing_disk_is_reported_and_all_is_written_after_it_recovers(
    gate: SyncGate, error_number: int
) -> None:
    failed = threading.Event()
    store = open_store(gate)
    is_failing = True

    def plan(call: int, name: str) -> None:
        if is_failing:
            failed.set()
            raise InjectedError(error_number)

    gate.disk.fault_plan = plan
    done, acknowledged = threading.Event(), list[int]()
    store.put("view", "a", 1, acknowledged.append)
    store.put("ends", "b", 2, acknowledged.append)
    store.append("log", "r", lambda position: done.set())
    assert failed.wait(WAIT)
    for _ in range(1_000):
        if store.status().failure_count:
            break
        threading.Event().wait(0.01)
    assert store.status().fault is FAULT_KIND_BY_ERRNO[error_number]
    assert not acknowledged and not done.is_set() and store.get("view", "a") is None
    is_failing = False
    assert done.wait(WAIT) and len(acknowledged) == 2
    assert store.status().fault is None and store.get("ends", "b") == b"\x02"
    store.close()
    gate.file_system.close()


def test_store_close_on_failing_disk_returns_changes_not_written(gate: SyncGate) -> None:
    store = open_store(gate)

    def plan(call: int, name: str) -> None:
        raise InjectedError

    gate.disk.fault_plan = plan
    store.put("view", "a", 1)
    store.put("view", "b", 1)
    assert store.close(WAIT) == 2
    with pytest.raises(WriteQueueFullError, match="closing"):
        store.put("view", "c", 1)
    gate.file_system.close()


def test_store_invalid_change_alone_is_rejected(gate: SyncGate, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("balancer.store.engine.MAX_ROWS", 3)
    store = open_store(gate)
    gate.block_syncs()
    store.put("view", "a", 1)
    assert gate.sync_reached.wait(WAIT)
    for name in "bcde":
        store.put("view", name, 1)
    store.delete("view", "a")
    gate.syncs_allowed.set()
    flush(store)
    assert set(store.items("view")) == {"b", "c", "e"} and store.status().rejected_changes == 1
    store.close()
    gate.file_system.close()


def test_store_read_journal_returns_durable_records_and_trim_removes_them(tmp_path: Path) -> None:
    store = Store(str(tmp_path), lambda run: run())
    store.open()
    for index in range(5):
        store.append("log", index)
    read_records: list[JournalRecord] = []
    done = threading.Event()

    def on_read(records: list[JournalRecord]) -> None:
        read_records.extend(records)
        done.set()

    store.read_journal("log", 2, 3, on_read)
    store.trim_journal("log", max_bytes=0)
    store.begin_generation()
    assert done.wait(WAIT) and [r.position for r in read_records] == [2, 3, 4]
    flush(store)
    assert store.engine.generation == 2
    store.close()


WRITER = """
import sys, time
from balancer.store.store import Store
store = Store(sys.argv[1], lambda run: run())
open_result = store.open()
print("open", open_result.next_generation, len(open_result.faults), flush=True)
n = int(sys.argv[2])
while True:
    n += 1
    store.put("view", "n", n, lambda sequence_number, n=n: print("done", n, flush=True))
    store.append("log", n)
    store.put("ends", "n", n)
    while store.status().queued_changes > 50:
        time.sleep(0.001)
"""


def test_store_killed_process_leaves_what_it_acknowledged(tmp_path: Path) -> None:
    """Five runs in a row, each ended by SIGKILL and followed immediately by the next."""
    last_acknowledged = 0
    for run in range(5):
        command = [sys.executable, "-c", WRITER, str(tmp_path), str(last_acknowledged)]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        opening_line = process.stdout.readline().split()
        assert opening_line[:3] == ["open", str(run + 1), "0"], opening_line
        while (acknowledged := int(process.stdout.readline().split()[1])) < last_acknowledged + 30 + 40 * run:
            pass
        process.kill()
        complete_lines = process.stdout.read().split("\n")[:-1]  # the last line may be incomplete
        process.wait()
        last_acknowledged = max([acknowledged, *(int(line.split()[1]) for line in complete_lines)])
        report = show(str(tmp_path))
        assert not report["faults"] and report["owner"] is None and report["believed"] == run + 1
    store = Store(str(tmp_path), lambda run: run())
    store.open()
    value = store.get("view", "n")
    assert value is not None and msgspec.msgpack.decode(value) >= last_acknowledged
    store.close()
