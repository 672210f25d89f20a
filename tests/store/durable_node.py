"""Test harness: an engine on a simulated disk that records requested and acknowledged changes."""

from __future__ import annotations

import random
from typing import NamedTuple

from balancer.store.engine import Change, Delete, Engine, OpenResult, Put
from balancer.testbed.simulated_disk import (
    SimulatedDisk,
    SimulatedFileSystem,
)

StoredValues = dict[tuple[str, str], bytes]


class TwoGenerations(NamedTuple):
    """A disk with two generations and a journal, and the content of each generation, newest first."""

    disk: SimulatedDisk
    states: list[StoredValues]


class Reopened(NamedTuple):
    """An engine reopened on a disk, and the values and records it restored."""

    values: StoredValues
    records: list[bytes]
    engine: Engine
    file_system: SimulatedFileSystem

    def close(self) -> None:
        self.engine.close()
        self.file_system.close()


class EngineHarness:
    """An engine on one disk, with the requested state after each commit and the acknowledged state."""

    def __init__(self, disk: SimulatedDisk | None = None) -> None:
        self.disk = disk or SimulatedDisk()
        self.file_system = SimulatedFileSystem(self.disk)
        self.engine = Engine(self.file_system, "/d", lambda: 1_000, segment_size_bytes=30_000)
        self.states: list[StoredValues] = [{}]  # the requested state after each commit
        self.durable_state_index = 0  # index of the last acknowledged state
        self.records: list[bytes] = []
        self.acknowledged_record_count = 0

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


def run_workload(harness: EngineHarness, rounds: int = 3) -> None:
    """Opens, overwrites values, fills two journal segments, begins a generation and closes."""
    harness.engine.open()
    for round_number in range(rounds):
        harness.commit(
            *(Put("view", f"s{index}", b"%d-%d" % (round_number, index) * 20) for index in range(5))
        )
        harness.append(b"a%d" % round_number, b"b" * 3000)
        harness.commit(Put("ends", f"s{round_number}", b"gone"), Delete("view", f"s{round_number}"))
        if round_number == 1:
            harness.engine.begin_generation()
    harness.engine.close()


def workload_call_count() -> int:
    harness = EngineHarness()
    run_workload(harness)
    harness.close()
    return harness.disk.call_count


def reopen_checked(disk: SimulatedDisk) -> Reopened:
    """Opens an engine on the disk, which must be complete and without left-over files."""
    file_system = SimulatedFileSystem(disk)
    engine = Engine(file_system, "/d", lambda: 2_000, segment_size_bytes=30_000)
    result = engine.open()
    assert not result.is_outdated and not result.faults, result
    records = engine.read_journal("log", 1, 1000)
    assert [record.position for record in records] == list(range(1, len(records) + 1))
    names = disk.files.keys()
    orphaned_logs = [name for name in names if name.endswith("-wal") and name[:-4] not in names]
    assert not orphaned_logs and not [name for name in names if "/new.db" in name], (
        "unfinished files are swept"
    )
    values = [record.value for record in records]
    assert None not in values
    return Reopened(
        stored_values(engine), [value for value in values if value is not None], engine, file_system
    )


def check_after_power_cut(harness: EngineHarness, seed: int) -> None:
    """Cuts the power and checks that the restored state is complete and contains all acknowledged changes."""
    harness.engine.close()
    harness.file_system.close()
    harness.disk.crash(random.Random(seed))
    reopened = reopen_checked(harness.disk)
    values, records = reopened.values, reopened.records
    assert values in harness.states[harness.durable_state_index :], (
        seed,
        harness.durable_state_index,
        values,
    )
    acknowledged = harness.acknowledged_record_count
    assert harness.records[:acknowledged] == records[:acknowledged]
    assert records == harness.records[: len(records)]
    reopened.engine.commit([Put("view", "more", b"x")])
    reopened.close()


def open_engine(disk: SimulatedDisk) -> tuple[Engine, OpenResult]:
    engine = Engine(SimulatedFileSystem(disk), "/d", lambda: 3_000)
    return engine, engine.open()
