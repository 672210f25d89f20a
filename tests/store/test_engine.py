"""The engine on a disk that is cut off, torn, spoiled and full: whole, and never older than synced."""

from __future__ import annotations

import errno
import fcntl
import os
import random
from collections.abc import Callable, Iterator
from functools import partial
from itertools import count
from pathlib import Path

import apsw
import msgspec
import pytest

from balancer.store import engine as engine_module
from balancer.store import sqlite_file as piece_module
from balancer.store.engine import (
    UNREADABLE_SEGMENT_POSITION_GAP,
    Change,
    Delete,
    Engine,
    Put,
)
from balancer.store.errors import FaultKind, StoreFileError
from balancer.store.files import LocalFileSystem
from balancer.store.sqlite_file import Seal, SealedFile
from balancer.testbed.simulated_disk import (
    InjectedError,
    PowerCut,
    SimulatedDisk,
    SimulatedFileSystem,
)

SEEDS = int(os.environ.get("BALANCER_CRASHES", "50"))  # 1,000 for the long run
StoredValues = dict[tuple[str, str], bytes]


class Node:
    """One directory on one disk, what it was told, and what it said was durable."""

    def __init__(self, disk: SimulatedDisk | None = None) -> None:
        self.disk = disk or SimulatedDisk()
        self.file_system = SimulatedFileSystem(self.disk)
        self.engine = Engine(self.file_system, "/d", lambda: 1_000, segment_size_bytes=30_000)
        self.states: list[StoredValues] = [{}]  # after each commit asked for
        self.durable_state_index = 0  # the last of them that was acknowledged
        self.records: list[bytes] = []
        self.acknowledged_record_count = 0  # records acknowledged

    def commit(self, *changes: Change) -> None:
        state = dict(self.states[-1])
        for change in changes:
            state.pop((change.table, change.key), None)
            if isinstance(change, Put):
                state[change.table, change.key] = change.value
        self.states.append(state)
        self.engine.commit(changes)
        self.durable_state_index = len(self.states) - 1

    def append(self, *values: bytes) -> None:
        self.records = [*self.records[: self.acknowledged_record_count], *values]
        self.engine.append("log", values)
        self.acknowledged_record_count = len(self.records)

    def close(self) -> None:
        self.engine.close()
        self.file_system.close()


def stored_values(engine: Engine) -> StoredValues:
    return {(table, key): row.value for table, rows in engine.tables.items() for key, row in rows.items()}


def run_workload(node: Node, rounds: int = 3) -> None:
    """A small life: the start, changes over changes, journals over two segments, a generation, the end."""
    node.engine.open()
    for round_number in range(rounds):
        node.commit(*(Put("view", f"s{index}", b"%d-%d" % (round_number, index) * 20) for index in range(5)))
        node.append(b"a%d" % round_number, b"b" * 3000)
        node.commit(Put("ends", f"s{round_number}", b"gone"), Delete("view", f"s{round_number}"))
        if round_number == 1:
            node.engine.begin_generation()
    node.engine.close()


def reopen_checked(disk: SimulatedDisk) -> tuple[StoredValues, list[bytes], Engine, SimulatedFileSystem]:
    files = SimulatedFileSystem(disk)
    engine = Engine(files, "/d", lambda: 2_000, segment_size_bytes=30_000)
    found = engine.open()
    assert not found.is_outdated and not found.faults, found
    records = engine.read_journal("log", 1, 1000)
    assert [r.position for r in records] == list(range(1, len(records) + 1))
    names = disk.files.keys()
    left = [n for n in names if "/new.db" in n or (n[-4:] == "-wal" and n[:-4] not in names)]
    assert not left, "what was half made is swept"
    values = [r.value for r in records]
    assert None not in values
    return stored_values(engine), [v for v in values if v is not None], engine, files


def check_after_power_cut(node: Node, seed: int) -> None:
    """The power is cut: what comes up is whole, and no older than what was acknowledged."""
    node.engine.close()
    node.file_system.close()
    node.disk.crash(random.Random(seed))
    values, records, engine, files = reopen_checked(node.disk)
    assert values in node.states[node.durable_state_index :], (seed, node.durable_state_index, values)
    assert (
        node.records[: node.acknowledged_record_count] == records[: node.acknowledged_record_count]
        and records == node.records[: len(records)]
    )
    engine.commit([Put("view", "more", b"x")])
    engine.close()
    files.close()


def workload_call_count() -> int:
    node = Node()
    run_workload(node)
    node.close()
    return node.disk.call_count


def run_until_power_cut(number: int, seed: int) -> Node:
    node = Node()

    def plan(call: int, name: str) -> None:
        if call == number:
            raise PowerCut

    node.disk.fault_plan = plan
    with pytest.raises(PowerCut):
        run_workload(node)
    return node


def test_a_power_cut_at_each_named_point_leaves_a_whole_state() -> None:
    total = workload_call_count()
    names = set()
    for number in range(1, total + 1):
        node = run_until_power_cut(number, number)
        names.add(node.disk.call_names[-1])
        check_after_power_cut(node, number)
    assert len(names) == total >= 100, total
    kinds = {name.split()[0] for name in names}
    assert kinds == {"create", "write", "sync", "cut", "remove", "rename", "settle"}


def test_power_cuts_at_random_points_one_after_another() -> None:
    """Up to five lives on one disk, each cut off, each starting with what the one before left."""
    for seed in range(SEEDS):
        rng, disk = random.Random(seed), SimulatedDisk()
        states, durable = [StoredValues()], 0
        for _ in range(rng.randint(1, 5)):
            node = Node(disk)
            node.states = []
            limit = disk.call_count + rng.randint(1, 150)

            def plan(call: int, name: str, limit: int = limit) -> None:
                if call >= limit:
                    raise PowerCut

            disk.fault_plan = plan
            try:
                node.engine.open()
                node.states = [stored_values(node.engine)]
                assert node.states[0] in states[durable:], seed
                for n in range(4):
                    node.commit(*(Put("view", f"s{rng.randrange(6)}", rng.randbytes(50)) for _ in range(3)))
                    if n == 2:
                        node.engine.begin_generation()
            except PowerCut:
                pass
            if node.states and node.states[0] in states[durable:]:
                states, durable = (
                    (node.states, node.durable_state_index) if len(node.states) > 1 else (states, durable)
                )
            node.engine.close()
            node.file_system.close()
            disk.crash(rng)
        values, _, engine, files = reopen_checked(disk)
        assert values in states[durable:], seed
        engine.close()
        files.close()


@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
def test_any_call_that_fails_once_loses_nothing_that_was_acknowledged(number: int) -> None:
    """SQLite's own method: every n is tried. Then the power is cut, too."""
    for failing in range(1, workload_call_count() + 1):
        node = Node()

        def plan(call: int, name: str, failing: int = failing) -> None:
            if call == failing:
                raise InjectedError(number)

        node.disk.fault_plan = plan
        for _ in range(3):  # a fault is told, and the next try goes on from what is durable
            try:
                if node.engine._lock is None:
                    node.engine.open()
                node.commit(Put("view", "a", b"1"), Put("view", "b", b"2"))
                node.append(b"r" * 100)
                node.commit(Delete("view", "a"), Put("ends", "a", b"3"))
                node.append(b"s")
                node.engine.begin_generation()
            except StoreFileError as fault:
                assert fault.kind in (FaultKind.IO_ERROR, FaultKind.DISK_FULL), fault
                node.records = node.records[: node.acknowledged_record_count]
                node.states = (
                    node.states[: node.durable_state_index + 1] + node.states[node.durable_state_index + 1 :]
                )
        assert stored_values(node.engine) == node.states[node.durable_state_index]
        check_after_power_cut(node, failing)


def retry_once(operation: Callable[[], object]) -> None:
    """As the store's thread does: what failed is tried once more, whole."""
    try:
        operation()
    except StoreFileError:
        operation()


def test_a_call_that_fails_and_then_a_power_cut() -> None:
    """Random pairs of calls: what the failed one left behind meets the cut."""
    total = workload_call_count()
    for seed in range(4 * SEEDS):
        rng, node = random.Random(seed), Node()
        failing = rng.randrange(1, total)
        cut = failing + rng.randrange(1, 120)

        def plan(call: int, name: str, failing: int = failing, cut: int = cut) -> None:
            if call == failing:
                raise InjectedError
            if call >= cut:
                raise PowerCut

        node.disk.fault_plan = plan
        try:
            retry_once(node.engine.open)
            for n in range(6):
                retry_once(partial(node.append, b"r%d" % n))
                retry_once(partial(node.commit, Put("view", f"s{n}", b"x" * 100)))
        except PowerCut:
            pass
        check_after_power_cut(node, seed)


def test_after_a_sync_that_failed_nothing_goes_to_that_file_any_more() -> None:
    """The kernel may say that the next sync is good although what the first one failed on is gone."""
    node = Node()
    node.engine.open()
    node.commit(Put("view", "a", b"1"))
    node.append(b"one")
    fails = {"sync tables-00000001.db-wal", "sync journal-log-000000000001.db-wal"}

    def plan(call: int, name: str) -> None:
        if (found := name.rpartition(" ")[0]) in fails:
            fails.remove(found)
            content = node.disk.files["/d/" + found.partition(" ")[2]]
            content.unsynced_writes.clear()  # marked as clean, and never written
            raise InjectedError

    node.disk.fault_plan = plan
    with pytest.raises(StoreFileError, match="failed"):
        node.commit(Put("view", "a", b"2"))
    assert stored_values(node.engine) == {("view", "a"): b"1"}
    with pytest.raises(StoreFileError, match="failed"):
        node.append(b"never")
    node.commit(Put("view", "b", b"3"))
    node.records = [b"one"]
    node.append(b"two")
    assert node.engine.generation == 2 and not fails
    assert [r.value for r in node.engine.read_journal("log", 1, 9)] == [b"one", b"two"]
    node.engine.close()
    node.disk.crash(random.Random(1))
    values, records, engine, files = reopen_checked(node.disk)
    assert values == {("view", "a"): b"1", ("view", "b"): b"3"} and records == [b"one", b"two"]
    engine.close()
    files.close()
    node.file_system.close()


def two_generations() -> tuple[SimulatedDisk, list[StoredValues]]:
    """A disk with two generations of two contents and a journal, and the contents, newest first."""
    node = Node()
    node.engine.open()
    node.commit(Put("view", "a", b"old" * 40))
    node.append(b"r1", b"r2", b"r3")
    node.engine.begin_generation()
    first = stored_values(node.engine)
    node.commit(Put("view", "a", b"new" * 40), Put("view", "b", b"more" * 40))
    second = stored_values(node.engine)
    node.close()
    disk = node.disk.copy()
    for name in [n for n in disk.files if n.endswith("-wal")]:  # all that is durable in the main file
        db = SealedFile(SimulatedFileSystem(disk), name.removesuffix("-wal"))
        db.checkpoint_and_close()
    return disk.copy(), [second, first]


@pytest.fixture(scope="module")
def small() -> tuple[SimulatedDisk, list[StoredValues]]:
    return two_generations()


def open_engine(disk: SimulatedDisk) -> tuple[Engine, engine_module.OpenResult]:
    engine = Engine(SimulatedFileSystem(disk), "/d", lambda: 3_000)
    return engine, engine.open()


@pytest.mark.parametrize("fault", [PowerCut, InjectedError, partial(InjectedError, errno.ENOSPC)])
def test_a_start_hands_over_without_a_sync_and_its_first_write_may_fail_anywhere(
    small: tuple[SimulatedDisk, list[StoredValues]], fault: Callable[[], BaseException]
) -> None:
    """Each call between the hand-over and the new generation, which is durable or not there at all."""
    restored = small[1][0]
    after_it = restored | {("self", "node"): b"2"}
    for failing in count(1):
        node = Node(small[0].copy())
        assert node.engine.open().next_generation == 3 and stored_values(node.engine) == restored
        assert {name.split()[0] for name in node.disk.call_names} == {"create"}, (
            "empty logs, by SQLite's reading"
        )
        failing += node.disk.call_count

        def plan(call: int, name: str, m: Node = node, failing: int = failing) -> None:
            if call >= failing if fault is PowerCut else call == failing:
                raise fault()

        node.disk.fault_plan = plan
        try:
            node.engine.commit([Put("self", "node", b"2")])
            acknowledged = True
        except (PowerCut, StoreFileError) as err:
            acknowledged = False
            assert stored_values(node.engine) == restored and "/d/tables-00000002.db" in node.disk.files, (
                node.disk.call_names
            )
            if isinstance(err, StoreFileError):
                assert err.kind in (FaultKind.IO_ERROR, FaultKind.DISK_FULL)
                node.engine.commit([Put("self", "node", b"2")])
                acknowledged = True
        begun, done = [name.split()[0] for name in node.disk.call_names], node.disk.call_count < failing
        node.close()
        node.disk.crash(random.Random(failing))
        engine, found = open_engine(node.disk)
        values = stored_values(engine)
        assert values in ([after_it] if acknowledged else [restored, after_it]), node.disk.call_names
        assert (
            not found.faults
            and not found.is_outdated
            and found.restored_generation == (2 if values == restored else 3)
        )
        engine.close()
        if done:
            break
    assert begun.count("sync") == 2 and begun.count("settle") == 1 and failing > 20


def test_a_new_generation_that_was_not_told_is_written_no_further(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its rows are not among those that are known, so no seal over what comes next would be its own."""
    node = Node()
    node.engine.open()
    with monkeypatch.context() as broken, pytest.raises(StoreFileError):
        broken.setattr(node.file_system, "inode", lambda path: os.stat("/none/there").st_ino)
        node.commit(Put("view", "a", b"1"))
    node.states, node.durable_state_index = [{}, {}], 1
    node.commit(Put("ends", "b", b"2"))
    check_after_power_cut(node, 1)


def check_damaged_generation(
    small: tuple[SimulatedDisk, list[StoredValues]], change: str, offset: int
) -> None:
    """Whatever is believed is one of the generations, whole; the older one only with a word about it."""
    disk, states = small[0].copy(), small[1]
    content = disk.files["/d/tables-00000002.db"]
    if change == "cut":
        del content.current[offset:]
    else:
        content.current[offset // 8] ^= 1 << offset % 8
    engine, found = open_engine(disk)
    try:
        assert stored_values(engine) in states and found.committed_at_ms == 1_000, (change, offset)
        if stored_values(engine) != states[0]:
            assert found.is_outdated and [f.path for f in found.faults] == ["/d/tables-00000002.db"], (
                change,
                offset,
            )
            assert found.restored_generation == 1 and found.next_generation == 3
        engine.commit([Put("view", "c", b"on")])
    finally:
        engine.close()


def test_the_file_cut_at_every_byte(small: tuple[SimulatedDisk, list[StoredValues]]) -> None:
    size = len(small[0].files["/d/tables-00000002.db"].current)
    is_exhaustive = os.environ.get("BALANCER_CRASHES")
    # Each byte of the pages' heads and ends; each 256th of the blank space between, unless asked for.
    for offset in range(size):
        if is_exhaustive or offset % 4096 < 64 or offset % 4096 > 3800 or offset % 256 == 0:
            check_damaged_generation(small, "cut", offset)


def test_a_bit_flipped_in_every_region(small: tuple[SimulatedDisk, list[StoredValues]]) -> None:
    size = len(small[0].files["/d/tables-00000002.db"].current)
    rng = random.Random(5)
    for offset in range(0, size, 1 if os.environ.get("BALANCER_CRASHES") else 16):
        check_damaged_generation(small, "flip", 8 * offset + rng.randrange(8))
    files = SimulatedFileSystem(small[0].copy())
    seal = SealedFile(files, "/d/tables-00000002.db").read_seal()
    packed = msgspec.msgpack.encode(seal)
    first = small[0].files["/d/tables-00000002.db"].current.rindex(packed)
    for bit in range(8 * first, 8 * (first + len(packed))):
        check_damaged_generation(small, "flip", bit)


def test_a_bit_flipped_in_a_journal_costs_one_record_and_is_said(
    small: tuple[SimulatedDisk, list[StoredValues]],
) -> None:
    disk = small[0].copy()
    content = disk.files["/d/journal-log-000000000001.db"]
    content.current[content.current.rindex(b"r2")] ^= 1
    engine, found = open_engine(disk)
    assert [(r.position, r.value) for r in engine.read_journal("log", 1, 9)] == [
        (1, b"r1"),
        (2, None),
        (3, b"r3"),
    ]
    assert engine.append("log", [b"r4"]) == 4 and not found.faults
    engine.close()


def test_a_record_that_is_not_there_is_a_gap(tmp_path: Path) -> None:
    engine = Engine(LocalFileSystem(), str(tmp_path), lambda: 1)
    engine.open()
    engine.append("log", [b"r1", b"r2", b"r3"])
    engine.close()
    db = apsw.Connection(str(tmp_path / "journal-log-000000000001.db"))
    db.execute("delete from records where position=2")
    db.close()
    engine.open()
    assert [(r.position, r.value) for r in engine.read_journal("log", 1, 9)] == [
        (1, b"r1"),
        (2, None),
        (3, b"r3"),
    ]
    engine.close()


def test_a_journal_that_cannot_be_read_is_one_gap_and_no_position_comes_twice(
    small: tuple[SimulatedDisk, list[StoredValues]],
) -> None:
    disk = small[0].copy()
    del disk.files["/d/journal-log-000000000001.db"].current[5000:]
    engine, found = open_engine(disk)
    assert [f.kind for f in found.faults] == [FaultKind.CORRUPT]
    assert engine.append("log", [b"on"]) == 1 + UNREADABLE_SEGMENT_POSITION_GAP
    assert [(r.position, r.value) for r in engine.read_journal("log", 1, 9)] == [
        (1, None),
        (1 + UNREADABLE_SEGMENT_POSITION_GAP, b"on"),
    ]
    engine.close()


def test_two_spoiled_generations_are_no_memory_and_the_number_still_rises(
    small: tuple[SimulatedDisk, list[StoredValues]],
) -> None:
    disk = small[0].copy()
    for number in (1, 2):
        disk.files[f"/d/tables-0000000{number}.db"].current[:100] = bytes(100)
    engine, found = open_engine(disk)
    assert (
        stored_values(engine) == {}
        and found.is_outdated
        and found.next_generation == 3
        and len(found.faults) == 2
    )
    assert "/d/tables-00000002.db" in disk.files, "what cannot be believed stays to be looked at"
    engine.close()


@pytest.mark.parametrize("version", [0, 99])
def test_a_version_that_is_not_known_is_named_and_left(version: int, tmp_path: Path) -> None:
    path = str(tmp_path)
    engine = Engine(LocalFileSystem(), path, lambda: 1)
    engine.open()
    engine.commit([Put("view", "a", b"1")])
    engine.close()
    db = apsw.Connection(str(tmp_path / "tables-00000001.db"))
    db.execute(f"pragma user_version={version}")
    db.close()
    engine = Engine(LocalFileSystem(), path, lambda: 1)
    found = engine.open()
    assert [(f.kind, f"version {version}," in f.detail) for f in found.faults] == [
        (FaultKind.UNSUPPORTED_FORMAT, True)
    ]
    assert found.is_outdated and stored_values(engine) == {} and (tmp_path / "tables-00000001.db").exists()
    engine.close()


def test_an_older_version_goes_up_step_by_step(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    engine = Engine(LocalFileSystem(), str(tmp_path), lambda: 1)
    engine.open()
    engine.commit([Put("view", "a", b"1")])
    engine.close()
    for module in (piece_module, engine_module):
        monkeypatch.setattr(module, "FORMAT_VERSION", 3)
    ups = [
        lambda t: {"seen": {k: v + b"2" for k, v in t["view"].items()}},
        lambda t: {"seen": {k: v + b"3" for k, v in t["seen"].items()}},
    ]
    for _ in range(2):  # the second start finds the new format
        engine = Engine(LocalFileSystem(), str(tmp_path), lambda: 1, ups)
        found = engine.open()
        assert stored_values(engine) == {("seen", "a"): b"123"} and not found.faults
        engine.begin_generation()
        engine.close()


def test_one_owner_and_a_dead_one_holds_nothing(tmp_path: Path) -> None:
    one, other = (Engine(LocalFileSystem(), str(tmp_path), lambda: 1) for _ in range(2))
    one.open()
    with pytest.raises(StoreFileError) as caught:
        other.open()
    assert caught.value.kind is FaultKind.LOCKED
    one.commit([Put("view", "a", b"1")])
    child = os.fork()
    if child == 0:  # owns another directory, and dies by a signal
        (tmp_path / "two").mkdir()
        dies = Engine(LocalFileSystem(), str(tmp_path / "two"), lambda: 1)
        dies.open()
        dies.commit([Put("view", "a", b"1")])
        os.kill(os.getpid(), 9)
    assert os.waitpid(child, 0)[1] == 9
    dead = Engine(LocalFileSystem(), str(tmp_path / "two"), lambda: 1)
    assert dead.open().restored_generation == 1
    for engine in (one, dead):
        engine.close()


def test_a_lock_on_a_file_that_was_replaced_is_none(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    lock = fcntl.flock

    def replaced(fd: int, how: int) -> None:
        (tmp_path / "owner").unlink()
        (tmp_path / "owner").write_text("")
        lock(fd, how)

    monkeypatch.setattr(fcntl, "flock", replaced)
    with pytest.raises(StoreFileError) as caught:
        Engine(LocalFileSystem(), str(tmp_path), lambda: 1).open()
    assert caught.value.kind is FaultKind.LOCKED


def test_folders_links_and_others_files_are_named(tmp_path: Path) -> None:
    outside = tmp_path / "outside.db"
    home = tmp_path / "home"
    home.mkdir()
    (home / "tables-00000001.db").mkdir()
    (home / "tables-00000002.db").symlink_to(outside)
    (home / "tables-00000003.db").write_bytes(b"no database" * 100)
    other = apsw.Connection(str(home / "tables-00000004.db"))
    other.execute("create table x(y)")
    other.close()
    (home / "notes.txt").write_text("another's")
    engine = Engine(LocalFileSystem(), str(home), lambda: 1)
    found = engine.open()
    troubles = [FaultKind.FOREIGN, FaultKind.CORRUPT, FaultKind.FOREIGN, FaultKind.FOREIGN]
    assert [f.kind for f in found.faults] == troubles and (home / "tables-00000001.db").is_dir()
    assert [f.path[-4:] for f in found.faults if "a folder or a link" in f.detail] == ["2.db", "1.db"]
    assert (
        found.next_generation == 5
        and (home / "notes.txt").read_text() == "another's"
        and not outside.exists()
    )
    engine.close()
    (home / "owner").unlink()
    (home / "owner").symlink_to(outside)
    with pytest.raises(StoreFileError) as caught:
        engine.open()
    assert caught.value.kind is FaultKind.FOREIGN and not outside.exists()
    for path in (tmp_path / "none", outside.parent / "home" / "notes.txt"):
        with pytest.raises(StoreFileError):
            Engine(LocalFileSystem(), str(path), lambda: 1).open()


def test_a_directory_that_was_taken_away_is_found(tmp_path: Path) -> None:
    home = tmp_path / "home"
    home.mkdir()
    engine = Engine(LocalFileSystem(), str(home), lambda: 1)
    engine.open()
    engine.commit([Put("view", "a", b"1")])
    home.rename(tmp_path / "away")
    with pytest.raises(StoreFileError) as caught:
        engine.commit([Put("view", "b", b"1")])
    assert caught.value.kind is FaultKind.MISSING
    (tmp_path / "away").rename(home)
    engine.commit([Put("view", "b", b"1")])
    assert stored_values(engine) == {("view", "a"): b"1", ("view", "b"): b"1"}
    engine.close()


@pytest.fixture
def long(tmp_path: Path) -> Iterator[Engine]:
    clock = iter(range(1_000, 100_000_000, 1_000))
    engine = Engine(LocalFileSystem(), str(tmp_path), lambda: next(clock), segment_size_bytes=20_000)
    engine.open()
    yield engine
    engine.close()


def test_a_journal_is_cut_by_age_and_by_size(long: Engine) -> None:
    for n in range(60):
        long.append("log", [b"x" * 2000, b"%d" % n])
    segments = len([n for n in os.listdir(long.directory) if n.startswith("journal-") and n.endswith(".db")])
    assert segments > 5 and long.journal_ranges()["log"] == (1, 121)
    at = long.read_journal("log", 61, 1)[0].written_at_ms
    assert long.trim_journal("log", before_ms=at) > 0
    first = long.journal_ranges()["log"][0]
    assert 1 < first <= 61 and long.read_journal("log", 1, 1)[0].position == first
    assert long.trim_journal("log", max_bytes=1) > 0 and long.journal_ranges()["log"][1] == 121
    assert (
        len(long.read_journal("log", 1, 1000)) < 30
        and long.trim_journal("log", before_ms=1 << 60, max_bytes=0) == 0
    )
    assert long.append("log", [b"on"]) == 121


def test_the_seal_tells_a_row_that_is_missing(tmp_path: Path) -> None:
    """Each row left is good by its checksum: only the sum over all says that one is gone."""
    files, path, good = (
        LocalFileSystem(),
        str(tmp_path / "new.db"),
        piece_module.record_checksum("view", "a", 1, b"1"),
    )
    made = SealedFile(files, path, create=True)
    made.commit(Seal(), [])
    made._connection.execute("insert into rows values ('view', 'a', 1, x'31', ?)", (good,))
    with pytest.raises(StoreFileError, match="1 rows"):
        made.read_rows()
    made.abandon()
