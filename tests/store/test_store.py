"""The store's thread: groups, lanes, bounds, disks that are slow, full and back; looks at a directory."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from balancer.core.persistence.persisted_state import URGENT_TABLES, NodeIdentity, PersistedEndpoint
from balancer.operator_settings import OperatorSettingsError, StateSettings, parse
from balancer.store import store as store_module
from balancer.store.engine import (
    Delete,
    Engine,
    JournalRecord,
    Put,
)
from balancer.store.errors import FaultKind, StoreFileError, WriteQueueFull
from balancer.store.files import LocalFileSystem
from balancer.store.inspect import clear, show, verify
from balancer.store.sqlite_file import SealedFile
from balancer.store.store import Store
from balancer.testbed.simulated_disk import InjectedError, SimulatedDisk, SimulatedFileSystem
from tests.sockets import ROOT, WAIT


class SyncGate:
    """A disk whose syncs wait until they are let go."""

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


def open_store(
    gate: SyncGate, call_soon_threadsafe: Callable[[Callable[[], None]], object] = lambda run: run()
) -> Store:
    store = Store("/d", call_soon_threadsafe, gate.file_system, URGENT_TABLES)
    store.open()
    return store


def flush(store: Store) -> None:
    """All that was handed over before is durable."""
    done = threading.Event()
    store.append("flush", 0, lambda position: done.set())
    assert done.wait(WAIT)


def test_the_loop_goes_on_while_the_disk_takes_its_time() -> None:
    gate = SyncGate()

    async def test() -> None:
        loop = asyncio.get_running_loop()
        store = open_store(gate, loop.call_soon_threadsafe)
        done: asyncio.Future[int] = loop.create_future()
        gate.block_syncs()
        store.append("log", {"a": 1}, done.set_result)
        await asyncio.to_thread(gate.sync_reached.wait, WAIT)
        for _ in range(1_000):  # the sync is under way: turns of the loop, and more work handed over
            store.put("view", "k", 1)
            await asyncio.sleep(0)
        assert not done.done() and store.status().queued_changes == 1_001
        gate.syncs_allowed.set()
        async with asyncio.timeout(WAIT):
            assert await done == 1
        assert await asyncio.to_thread(store.close, WAIT) == 0
        assert store.status().commit_count == 2, "what waited was one group"

    asyncio.run(test())
    gate.file_system.close()


@pytest.mark.parametrize("number", [None, errno.EIO, errno.ENOSPC])
def test_what_was_kept_is_there_before_the_new_generation_is_synced(number: int | None) -> None:
    """A sync that takes long, or fails: said, nothing acknowledged, and what was kept is there all along."""
    gate = SyncGate()
    store = open_store(gate)
    store.put("view", "a", 1)
    assert store.close(WAIT) == 0
    disk, failed = gate.disk.copy(), threading.Event()
    again = SyncGate(disk)
    again.block_syncs()
    acknowledged = list[int]()
    store = open_store(again)
    assert store.get("view", "a") == b"\x01" and not again.sync_reached.is_set()
    if number is not None:
        again.syncs_allowed.set()

        def plan(call: int, name: str) -> None:
            if not failed.is_set() and name.startswith("sync "):
                failed.set()
                raise InjectedError(number)

        disk.fault_plan = plan
    store.put("self", "node", 2, acknowledged.append)
    assert (again.sync_reached if number is None else failed).wait(WAIT)
    assert store.items("view") == {"a": b"\x01"} and (number is not None or not acknowledged)
    again.syncs_allowed.set()
    flush(store)
    assert len(acknowledged) == 1 and store.status().failure_count == (number is not None)
    assert store.close(WAIT) == 0
    gate.file_system.close()
    again.file_system.close()


def test_what_is_urgent_is_written_first_and_each_lane_keeps_its_order() -> None:
    gate, order = SyncGate(), list[str]()
    store = open_store(gate)
    gate.block_syncs()
    store.put("view", "first", 0, lambda stamp: order.append("first"))
    assert gate.sync_reached.wait(WAIT)
    for n in range(3):
        store.put("view", "k", n, lambda stamp, n=n: order.append(f"view {n}"))  # type: ignore[misc]
    store.append("log", 0, lambda position: order.append("log"))
    store.put("ends", "k", 9, lambda stamp: order.append("ends"))
    gate.syncs_allowed.set()
    flush(store)
    assert order == ["first", "ends", "view 0", "view 1", "view 2", "log"]
    assert store.get("view", "k") == msgspec.msgpack.encode(2)
    with pytest.raises(ValueError, match="in one commit"):
        store.write([Put("ends", "a", b""), Delete("view", "a")])
    store.close()
    gate.file_system.close()


def test_what_waits_is_bounded_by_count_and_by_bytes() -> None:
    gate = SyncGate()
    store = open_store(gate)
    gate.block_syncs()
    store.append("log", 0)
    assert gate.sync_reached.wait(WAIT)
    taken = 0
    with pytest.raises(WriteQueueFull):
        for _ in range(store_module.MAX_LANE_CHANGES + 1):
            store.append("log", 0)
            taken += 1
    assert taken == store_module.MAX_LANE_CHANGES - 1
    written = threading.Event()
    store.put("ends", "k", 1, lambda stamp: written.set())  # the urgent lane has room of its own
    gate.syncs_allowed.set()
    assert written.wait(WAIT)
    while store.status().queued_changes:
        threading.Event().wait(0.01)
    gate.block_syncs()
    store.put("view", "k", 0)
    assert gate.sync_reached.wait(WAIT)
    with pytest.raises(WriteQueueFull):
        for _ in range(1_000):
            store.append("log", b"x" * 60_000)
    state = store.status()
    assert state.queued_bytes <= store_module.MAX_LANE_BYTES and state.rejected_changes == 2
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


@pytest.mark.parametrize("number", FAULT_KIND_BY_ERRNO)
def test_a_disk_that_fails_is_said_and_all_is_written_once_it_is_back(number: int) -> None:
    gate, failed = SyncGate(), threading.Event()
    store = open_store(gate)
    broken = True

    def plan(call: int, name: str) -> None:
        if broken:
            failed.set()
            raise InjectedError(number)

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
    assert store.status().fault is FAULT_KIND_BY_ERRNO[number]
    assert not acknowledged and not done.is_set() and store.get("view", "a") is None
    broken = False
    assert done.wait(WAIT) and len(acknowledged) == 2
    assert store.status().fault is None and store.get("ends", "b") == b"\x02"
    store.close()
    gate.file_system.close()


def test_a_close_under_a_disk_that_fails_says_what_was_not_written() -> None:
    gate = SyncGate()
    store = open_store(gate)

    def plan(call: int, name: str) -> None:
        raise InjectedError

    gate.disk.fault_plan = plan
    store.put("view", "a", 1)
    store.put("view", "b", 1)
    assert store.close(WAIT) == 2
    with pytest.raises(WriteQueueFull, match="closing"):
        store.put("view", "c", 1)
    gate.file_system.close()


def test_a_change_that_can_never_be_made_costs_itself_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("balancer.store.engine.MAX_ROWS", 3)
    gate = SyncGate()
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


def test_a_journal_is_read_as_it_is_durable_and_cut(tmp_path: Path) -> None:
    store = Store(str(tmp_path), lambda run: run())
    store.open()
    for n in range(5):
        store.append("log", n)
    found: list[JournalRecord] = []
    done = threading.Event()

    def then(records: list[JournalRecord]) -> None:
        found.extend(records)
        done.set()

    store.read_journal("log", 2, 3, then)
    store.trim_journal("log", max_bytes=0)
    store.begin_generation()
    assert done.wait(WAIT) and [r.position for r in found] == [2, 3, 4]
    flush(store)
    assert store.engine.generation == 2
    store.close()


WRITER = """
import sys, time
from balancer.store.store import Store
store = Store(sys.argv[1], lambda run: run())
found = store.open()
print("open", found.next_generation, len(found.faults), flush=True)
n = int(sys.argv[2])
while True:
    n += 1
    store.put("view", "n", n, lambda stamp, n=n: print("done", n, flush=True))
    store.append("log", n)
    store.put("ends", "n", n)
    while store.status().queued_changes > 50:
        time.sleep(0.001)
"""


def test_a_process_that_is_killed_leaves_what_it_acknowledged(tmp_path: Path) -> None:
    """SIGKILL, five times in a row, each start at once after the one before."""
    last = 0
    for life in range(5):
        command = [sys.executable, "-c", WRITER, str(tmp_path), str(last)]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        opened = process.stdout.readline().split()
        assert opened[:3] == ["open", str(life + 1), "0"], opened
        while (acknowledged := int(process.stdout.readline().split()[1])) < last + 30 + 40 * life:
            pass
        process.kill()
        whole = process.stdout.read().split("\n")[:-1]  # the last line may be cut off
        process.wait()
        last = max([acknowledged, *(int(line.split()[1]) for line in whole)])
        found = show(str(tmp_path))
        assert not found["faults"] and found["owner"] is None and found["believed"] == life + 1
    store = Store(str(tmp_path), lambda run: run())
    store.open()
    value = store.get("view", "n")
    assert value is not None and msgspec.msgpack.decode(value) >= last
    store.close()


# --- looking at a directory


NODE_IDENTITY = msgspec.msgpack.encode(NodeIdentity("id-1", "n0", 3, 0))


def write_generations(path: Path) -> None:
    for n in range(3):
        engine = Engine(LocalFileSystem(), str(path), lambda: 1_000)
        engine.open()
        one = msgspec.msgpack.encode(PersistedEndpoint("127.0.0.1", 80))
        engine.commit([Put("self", "node", NODE_IDENTITY), Put("view", f"s{n}", one)])
        engine.append("log", [b"%d" % n])
        engine.close()


def file_contents(path: Path) -> dict[str, bytes]:
    return {p.name: p.read_bytes() for p in path.iterdir()}


def test_show_and_verify_change_nothing_and_clear_takes_its_own_alone(tmp_path: Path) -> None:
    write_generations(tmp_path)
    (tmp_path / "notes.txt").write_text("mine")
    before = file_contents(tmp_path)
    found = show(str(tmp_path))
    assert json.loads(json.dumps(found)) == found and not found["faults"] and not verify(str(tmp_path))
    assert (found["memory"], found["believed"], found["tables"]) == ("kept", 3, {"self": 1, "view": 3})
    assert [g["number"] for g in found["generations"]] == [3, 2] and found["owner"] is None
    assert found["node"] == {"id": "id-1", "name": "n0", "incarnation": 3, "first_ms": 0}
    log = found["journals"][0]
    assert (log["name"], log["first"], log["next"], log["segments"], log["spoiled"]) == ("log", 1, 4, 1, 0)
    after = file_contents(tmp_path)
    assert {**after, "owner": b""} == {**before, "owner": b""}
    clear(str(tmp_path))
    assert {p.name for p in tmp_path.iterdir()} == {"notes.txt", "owner"}
    assert show(str(tmp_path))["memory"] == "none"


def test_verify_names_every_fault(tmp_path: Path) -> None:
    write_generations(tmp_path)
    (tmp_path / "tables-00000003.db-wal").unlink()
    (tmp_path / "tables-00000003.db").write_bytes(b"x" * 5_000)
    (tmp_path / "tables-00000009.db").mkdir()
    found = verify(str(tmp_path))
    assert any("tables-00000003.db: spoiled" in line for line in found), found
    assert any("tables-00000009.db: foreign" in line for line in found), found
    shown = show(str(tmp_path))
    assert shown["memory"] == "older" and shown["believed"] == 2
    assert all(line.startswith(str(tmp_path)) for line in found), found


def test_a_directory_in_use_is_left_alone(tmp_path: Path) -> None:
    store = Store(str(tmp_path), lambda run: run())
    store.open()
    flush(store)
    found = show(str(tmp_path))
    assert found["owner"] == os.getpid() and found["memory"] == "in use" and found["generations"]
    for act in (verify, clear):
        with pytest.raises(StoreFileError) as caught:
            act(str(tmp_path))
        assert caught.value.kind is FaultKind.LOCKED
    flush(store)
    store.close()
    with pytest.raises(StoreFileError):
        show(str(tmp_path / "none"))


# --- settings


def test_the_settings_name_all_faults_at_once(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    (tmp_path / "file").write_text("")
    found = parse({"state": {"directory": "state"}}, tmp_path).state
    assert found == StateSettings(directory=tmp_path / "state") and "believed for 86400 s" in found.summary()
    for bad in ("none", "file", "", 7, "x" * 5_000, "a\0b"):
        with pytest.raises(OperatorSettingsError) as caught:
            parse({"state": {"directory": bad, "max_age": 59, "every": True}}, tmp_path)
        paths = {fault.path for fault in caught.value.faults}
        assert paths == {"state.directory", "state.max_age", "state.every"}, bad
    with pytest.raises(OperatorSettingsError, match=r"state\.every: found 3600 s, over max_age"):
        parse({"state": {"directory": "state", "max_age": 60, "every": 3_600}}, tmp_path)
    with pytest.raises(OperatorSettingsError, match=r"state\.directory: found nothing"):
        parse({"state": {}}, tmp_path)


def test_a_spoiled_record_of_a_journal_is_named_by_its_position(tmp_path: Path) -> None:
    write_generations(tmp_path)
    db = tmp_path / "journal-log-000000000001.db"
    copy = SealedFile(LocalFileSystem(), str(db))
    copy._connection.execute("update records set value=x'39' where position=2")
    copy.checkpoint_and_close()
    assert verify(str(tmp_path)) == [f"{db}: spoiled: position 2"]
    assert show(str(tmp_path))["journals"][0]["spoiled"] == 1
