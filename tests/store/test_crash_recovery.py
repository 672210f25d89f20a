"""The engine under power cuts and failing disk calls.

The restored state is complete and contains all acknowledged changes.
"""

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
    EngineHarness,
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
"""Number of random seeds; 1,000 in the long run."""


def run_until_power_cut(number: int) -> EngineHarness:
    harness = EngineHarness()

    def plan(call: int, name: str) -> None:
        if call == number:
            raise PowerCut

    harness.disk.fault_plan = plan
    with pytest.raises(PowerCut):
        run_workload(harness)
    return harness


def test_engine_power_cut_at_each_call_leaves_complete_state() -> None:
    total = workload_call_count()
    names = set()
    for number in range(1, total + 1):
        harness = run_until_power_cut(number)
        names.add(harness.disk.call_names[-1])
        check_after_power_cut(harness, number)
    assert len(names) == total >= 100, total
    kinds = {name.split()[0] for name in names}
    assert kinds == {"create", "write", "sync", "cut", "remove", "rename", "settle"}


def test_engine_successive_power_cuts_keep_acknowledged_commits() -> None:
    """Up to five runs on one disk, each ended by a power cut, each starting from what the last one left."""
    for seed in range(SEED_COUNT):
        rng, disk = random.Random(seed), SimulatedDisk()
        states, durable = [StoredValues()], 0
        for _ in range(rng.randint(1, 5)):
            harness = EngineHarness(disk)
            harness.states = []
            last_call = disk.call_count + rng.randint(1, 150)

            def plan(call: int, name: str, last_call: int = last_call) -> None:
                if call >= last_call:
                    raise PowerCut

            disk.fault_plan = plan
            try:
                harness.engine.open()
                harness.states = [stored_values(harness.engine)]
                assert harness.states[0] in states[durable:], seed
                for index in range(4):
                    harness.commit(
                        *(Put("view", f"s{rng.randrange(6)}", rng.randbytes(50)) for _ in range(3))
                    )
                    if index == 2:
                        harness.engine.begin_generation()
            except PowerCut:
                pass
            if harness.states and harness.states[0] in states[durable:]:
                states, durable = (
                    (harness.states, harness.durable_state_index)
                    if len(harness.states) > 1
                    else (states, durable)
                )
            harness.engine.close()
            harness.file_system.close()
            disk.crash(rng)
        reopened = reopen_checked(disk)
        assert reopened.values in states[durable:], seed
        reopened.close()


@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
def test_engine_single_failing_call_loses_nothing_acknowledged(number: int) -> None:
    """Fails each disk call in turn, as SQLite's own tests do, and then cuts the power."""
    for failing in range(1, workload_call_count() + 1):
        harness = EngineHarness()

        def plan(call: int, name: str, failing: int = failing) -> None:
            if call == failing:
                raise InjectedError(number)

        harness.disk.fault_plan = plan
        for _ in range(3):  # the call raises an error, and the next attempt continues from the durable state
            try:
                if harness.engine._lock is None:
                    harness.engine.open()
                harness.commit(Put("view", "a", b"1"), Put("view", "b", b"2"))
                harness.append(b"r" * 100)
                harness.commit(Delete("view", "a"), Put("ends", "a", b"3"))
                harness.append(b"s")
                harness.engine.begin_generation()
            except StoreFileError as error:
                assert error.kind in (FaultKind.IO_ERROR, FaultKind.DISK_FULL), error
                harness.records = harness.records[: harness.acknowledged_record_count]
                harness.states = (
                    harness.states[: harness.durable_state_index + 1]
                    + harness.states[harness.durable_state_index + 1 :]
                )
        assert stored_values(harness.engine) == harness.states[harness.durable_state_index]
        check_after_power_cut(harness, failing)


def retry_once(operation: Callable[[], object]) -> None:
    """Repeats a failed operation completely, as the writer thread does."""
    try:
        operation()
    except StoreFileError:
        operation()


def test_engine_failing_call_then_power_cut_keeps_acknowledged_commits() -> None:
    """Random pairs of a failing call and a power cut that follows it."""
    total = workload_call_count()
    for seed in range(4 * SEED_COUNT):
        rng, harness = random.Random(seed), EngineHarness()
        failing = rng.randrange(1, total)
        power_cut_call = failing + rng.randrange(1, 120)

        def plan(call: int, name: str, failing: int = failing, power_cut_call: int = power_cut_call) -> None:
            if call == failing:
                raise InjectedError
            if call >= power_cut_call:
                raise PowerCut

        harness.disk.fault_plan = plan
        try:
            retry_once(harness.engine.open)
            for index in range(6):
                retry_once(partial(harness.append, b"r%d" % index))
                retry_once(partial(harness.commit, Put("view", f"s{index}", b"x" * 100)))
        except PowerCut:
            pass
        check_after_power_cut(harness, seed)


def test_engine_failed_sync_ends_use_of_that_file() -> None:
    """The kernel may report the next sync as successful although the data of the failed one is lost."""
    harness = EngineHarness()
    harness.engine.open()
    harness.commit(Put("view", "a", b"1"))
    harness.append(b"one")
    failing_calls = {"sync tables-00000001.db-wal", "sync journal-log-000000000001.db-wal"}

    def plan(call: int, name: str) -> None:
        if (call_name := name.rpartition(" ")[0]) in failing_calls:
            failing_calls.remove(call_name)
            content = harness.disk.files["/d/" + call_name.partition(" ")[2]]
            content.unsynced_writes.clear()  # the kernel marks the pages as clean without writing them
            raise InjectedError

    harness.disk.fault_plan = plan
    with pytest.raises(StoreFileError, match="failed"):
        harness.commit(Put("view", "a", b"2"))
    assert stored_values(harness.engine) == {("view", "a"): b"1"}
    with pytest.raises(StoreFileError, match="failed"):
        harness.append(b"never")
    harness.commit(Put("view", "b", b"3"))
    harness.records = [b"one"]
    harness.append(b"two")
    assert harness.engine.generation == 2 and not failing_calls
    assert [r.value for r in harness.engine.read_journal("log", 1, 9)] == [b"one", b"two"]
    harness.engine.close()
    harness.disk.crash(random.Random(1))
    reopened = reopen_checked(harness.disk)
    assert reopened.values == {("view", "a"): b"1", ("view", "b"): b"3"}
    assert reopened.records == [b"one", b"two"]
    reopened.close()
    harness.file_system.close()


@pytest.mark.parametrize("fault", [PowerCut, InjectedError, partial(InjectedError, errno.ENOSPC)])
def test_engine_open_needs_no_sync_and_first_commit_may_fail_at_each_call(
    two_generation_disk: TwoGenerations, fault: Callable[[], BaseException]
) -> None:
    """Each disk call after `open` fails or loses power in turn; `open` itself waits for no sync.

    Afterwards the new generation is durable or does not exist.
    """
    restored = two_generation_disk.states[0]
    after_commit = restored | {("self", "node"): b"2"}
    for failing in count(1):
        harness = EngineHarness(two_generation_disk.disk.copy())
        assert harness.engine.open().next_generation == 3 and stored_values(harness.engine) == restored
        opening = {name.split()[0] for name in harness.disk.call_names}
        assert opening == {"create"}, "SQLite creates empty logs when it reads"
        failing += harness.disk.call_count

        def plan(call: int, name: str, failing: int = failing) -> None:
            if call >= failing if fault is PowerCut else call == failing:
                raise fault()

        harness.disk.fault_plan = plan
        try:
            harness.engine.commit([Put("self", "node", b"2")])
            acknowledged = True
        except (PowerCut, StoreFileError) as error:
            acknowledged = False
            assert stored_values(harness.engine) == restored, harness.disk.call_names
            assert "/d/tables-00000002.db" in harness.disk.files, harness.disk.call_names
            if isinstance(error, StoreFileError):
                assert error.kind in (FaultKind.IO_ERROR, FaultKind.DISK_FULL)
                harness.engine.commit([Put("self", "node", b"2")])
                acknowledged = True
        operations = [name.split()[0] for name in harness.disk.call_names]
        is_past_last_call = harness.disk.call_count < failing
        harness.close()
        harness.disk.crash(random.Random(failing))
        engine, open_result = open_engine(harness.disk)
        values = stored_values(engine)
        assert values in ([after_commit] if acknowledged else [restored, after_commit]), (
            harness.disk.call_names
        )
        assert not open_result.faults and not open_result.is_outdated
        assert open_result.restored_generation == (2 if values == restored else 3)
        engine.close()
        if is_past_last_call:
            break
    assert operations.count("sync") == 2 and operations.count("settle") == 1 and failing > 20


def test_engine_commit_failing_after_creating_a_generation_abandons_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writing to a generation whose rows are not in the engine's tables.

    A later seal would not match that file.
    """
    harness = EngineHarness()
    harness.engine.open()
    with monkeypatch.context() as broken, pytest.raises(StoreFileError):
        broken.setattr(harness.file_system, "inode", lambda path: os.stat("/none/there").st_ino)
        harness.commit(Put("view", "a", b"1"))
    harness.states, harness.durable_state_index = [{}, {}], 1
    harness.commit(Put("ends", "b", b"2"))
    check_after_power_cut(harness, 1)
