"""An engine on a simulated disk that records what it was asked to store and what it acknowledged."""

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
    """A disk with two generations and a journal, and what each generation holds, the newest first."""

    disk: SimulatedDisk
    states: list[StoredValues]


class Reopened(NamedTuple):
    """What an engine found on a disk."""

    values: StoredValues
    records: list[bytes]
    engine: Engine
    file_system: SimulatedFileSystem

    def close(self) -> None:
        self.engine.close()
        self.file_system.close()


class Node:
    """An engine on one disk, what it was asked to store, and what it acknowledged as durable."""

    def __init__(self, disk: SimulatedDisk | None = None) -> None:
        self.disk = disk or SimulatedDisk()
        self.file_system = SimulatedFileSystem(self.disk)
        self.engine = Engine(self.file_system, "/d", lambda: 1_000, segment_size_bytes=30_000)
        self.states: list[StoredValues] = [{}]  # after each requested commit
        self.durable_state_index = 0  # the last of them that was acknowledged
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


def run_workload(node: Node, rounds: int = 3) -> None:
    """Open, overwritten changes, a journal over two segments, a generation, close."""
    node.engine.open()
    for round_number in range(rounds):
        node.commit(*(Put("view", f"s{index}", b"%d-%d" % (round_number, index) * 20) for index in range(5)))
        node.append(b"a%d" % round_number, b"b" * 3000)
        node.commit(Put("ends", f"s{round_number}", b"gone"), Delete("view", f"s{round_number}"))
        if round_number == 1:
            node.engine.begin_generation()
    node.engine.close()


def workload_call_count() -> int:
    node = Node()
    run_workload(node)
    node.close()
    return node.disk.call_count


def reopen_checked(disk: SimulatedDisk) -> Reopened:
    """Opens an engine on the disk, which must be complete and free of left-over files."""
    file_system = SimulatedFileSystem(disk)
    engine = Engine(file_system, "/d", lambda: 2_000, segment_size_bytes=30_000)
    result = engine.open()
    assert not result.is_outdated and not result.faults, result
    records = engine.read_journal("log", 1, 1000)
    assert [record.position for record in records] == list(range(1, len(records) + 1))
    names = disk.files.keys()
    logs_without_file = [name for name in names if name.endswith("-wal") and name[:-4] not in names]
    assert not logs_without_file and not [name for name in names if "/new.db" in name], (
        "unfinished files are swept"
    )
    values = [record.value for record in records]
    assert None not in values
    return Reopened(
        stored_values(engine), [value for value in values if value is not None], engine, file_system
    )


def check_after_power_cut(node: Node, seed: int) -> None:
    """Cuts the power: what is restored is complete, and no older than what was acknowledged."""
    node.engine.close()
    node.file_system.close()
    node.disk.crash(random.Random(seed))
    reopened = reopen_checked(node.disk)
    values, records = reopened.values, reopened.records
    assert values in node.states[node.durable_state_index :], (seed, node.durable_state_index, values)
    acknowledged = node.acknowledged_record_count
    assert node.records[:acknowledged] == records[:acknowledged]
    assert records == node.records[: len(records)]
    reopened.engine.commit([Put("view", "more", b"x")])
    reopened.close()


def open_engine(disk: SimulatedDisk) -> tuple[Engine, OpenResult]:
    engine = Engine(SimulatedFileSystem(disk), "/d", lambda: 3_000)
    return engine, engine.open()
