"""The engine under power cuts and failing calls: complete, and never older than what was acknowledged."""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from functools import partial
from itertools import count

import pytest

from balancer.store.engine import Delete, Put
from balancer.store.errors import FaultKind, StoreFileError
from balancer.testbed.simulated_disk import (
    InjectedError,
    PowerCut,
    SimulatedDisk,
)
from tests.store.durable_node import (
    Node,
    StoredValues,
    TwoGenerations,
    check_after_power_cut,
    open_engine,
    reopen_checked,
    run_workload,
    stored_values,
    workload_call_count,
)

SEED_COUNT = int(os.environ.get("BALANCER_CRASHES", "50"))
"""1,000 for the long run."""


def run_until_power_cut(number: int) -> Node:
    node = Node()

    def plan(call: int, name: str) -> None:
        if call == number:
            raise PowerCut

    node.disk.fault_plan = plan
    with pytest.raises(PowerCut):
        run_workload(node)
    return node


def test_engine_power_cut_at_each_call_leaves_complete_state() -> None:
    total = workload_call_count()
    names = set()
    for number in range(1, total + 1):
        node = run_until_power_cut(number)
        names.add(node.disk.call_names[-1])
        check_after_power_cut(node, number)
    assert len(names) == total >= 100, total
    kinds = {name.split()[0] for name in names}
    assert kinds == {"create", "write", "sync", "cut", "remove", "rename", "settle"}


def test_engine_successive_power_cuts_keep_acknowledged_commits() -> None:
    """Up to five processes on one disk, each cut off, each starting with what the one before left."""
    for seed in range(SEED_COUNT):
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
        reopened = reopen_checked(disk)
        assert reopened.values in states[durable:], seed
        reopened.close()


@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
def test_engine_single_failing_call_loses_nothing_acknowledged(number: int) -> None:
    """SQLite's own method: each call in turn. Then the power is cut, too."""
    for failing in range(1, workload_call_count() + 1):
        node = Node()

        def plan(call: int, name: str, failing: int = failing) -> None:
            if call == failing:
                raise InjectedError(number)

        node.disk.fault_plan = plan
        for _ in range(3):  # an error is raised, and the next attempt continues from what is durable
            try:
                if node.engine._lock is None:
                    node.engine.open()
                node.commit(Put("view", "a", b"1"), Put("view", "b", b"2"))
                node.append(b"r" * 100)
                node.commit(Delete("view", "a"), Put("ends", "a", b"3"))
                node.append(b"s")
                node.engine.begin_generation()
            except StoreFileError as error:
                assert error.kind in (FaultKind.IO_ERROR, FaultKind.DISK_FULL), error
                node.records = node.records[: node.acknowledged_record_count]
                node.states = (
                    node.states[: node.durable_state_index + 1] + node.states[node.durable_state_index + 1 :]
                )
        assert stored_values(node.engine) == node.states[node.durable_state_index]
        check_after_power_cut(node, failing)


def retry_once(operation: Callable[[], object]) -> None:
    """As the writer thread does: repeats a failed operation completely."""
    try:
        operation()
    except StoreFileError:
        operation()


def test_engine_failing_call_then_power_cut_keeps_acknowledged_commits() -> None:
    """Random pairs of calls: the power cut meets what the failed call left behind."""
    total = workload_call_count()
    for seed in range(4 * SEED_COUNT):
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


def test_engine_failed_sync_ends_use_of_that_file() -> None:
    """The kernel may report the next sync as successful although the data of the failed one is lost."""
    node = Node()
    node.engine.open()
    node.commit(Put("view", "a", b"1"))
    node.append(b"one")
    fails = {"sync tables-00000001.db-wal", "sync journal-log-000000000001.db-wal"}

    def plan(call: int, name: str) -> None:
        if (found := name.rpartition(" ")[0]) in fails:
            fails.remove(found)
            content = node.disk.files["/d/" + found.partition(" ")[2]]
            content.unsynced_writes.clear()  # marked as clean, never written
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
    reopened = reopen_checked(node.disk)
    assert reopened.values == {("view", "a"): b"1", ("view", "b"): b"3"}
    assert reopened.records == [b"one", b"two"]
    reopened.close()
    node.file_system.close()


@pytest.mark.parametrize("fault", [PowerCut, InjectedError, partial(InjectedError, errno.ENOSPC)])
def test_engine_open_needs_no_sync_and_first_commit_may_fail_at_each_call(
    two_generation_disk: TwoGenerations, fault: Callable[[], BaseException]
) -> None:
    """Each call from the end of `open` to the new generation, which is durable or does not exist."""
    restored = two_generation_disk.states[0]
    after_commit = restored | {("self", "node"): b"2"}
    for failing in count(1):
        node = Node(two_generation_disk.disk.copy())
        assert node.engine.open().next_generation == 3 and stored_values(node.engine) == restored
        opening = {name.split()[0] for name in node.disk.call_names}
        assert opening == {"create"}, "SQLite creates empty logs when it reads"
        failing += node.disk.call_count

        def plan(call: int, name: str, failing: int = failing) -> None:
            if call >= failing if fault is PowerCut else call == failing:
                raise fault()

        node.disk.fault_plan = plan
        try:
            node.engine.commit([Put("self", "node", b"2")])
            acknowledged = True
        except (PowerCut, StoreFileError) as error:
            acknowledged = False
            assert stored_values(node.engine) == restored, node.disk.call_names
            assert "/d/tables-00000002.db" in node.disk.files, node.disk.call_names
            if isinstance(error, StoreFileError):
                assert error.kind in (FaultKind.IO_ERROR, FaultKind.DISK_FULL)
                node.engine.commit([Put("self", "node", b"2")])
                acknowledged = True
        operations = [name.split()[0] for name in node.disk.call_names]
        is_past_last_call = node.disk.call_count < failing
        node.close()
        node.disk.crash(random.Random(failing))
        engine, found = open_engine(node.disk)
        values = stored_values(engine)
        assert values in ([after_commit] if acknowledged else [restored, after_commit]), node.disk.call_names
        assert not found.faults and not found.is_outdated
        assert found.restored_generation == (2 if values == restored else 3)
        engine.close()
        if is_past_last_call:
            break
    assert operations.count("sync") == 2 and operations.count("settle") == 1 and failing > 20


def test_engine_commit_failing_after_commits_generation_was_made_abandons_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its rows are not in the engine's tables, so a later seal would not match that file."""
    node = Node()
    node.engine.open()
    with monkeypatch.context() as broken, pytest.raises(StoreFileError):
        broken.setattr(node.file_system, "inode", lambda path: os.stat("/none/there").st_ino)
        node.commit(Put("view", "a", b"1"))
    node.states, node.durable_state_index = [{}, {}], 1
    node.commit(Put("ends", "b", b"2"))
    check_after_power_cut(node, 1)
