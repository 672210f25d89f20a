"""Truncated files and flipped bits: the engine loads one complete generation or none."""

from __future__ import annotations

import os
import random
from pathlib import Path

import msgspec
import pytest

from balancer.store import sqlite_file
from balancer.store.engine import Put
from balancer.store.errors import StoreFileError
from balancer.store.files import LocalFileSystem
from balancer.store.sqlite_file import Seal, SealedFile
from balancer.testbed.simulated_disk import (
    SimulatedFileSystem,
)
from tests.store.durable_node import (
    TwoGenerations,
    open_engine,
    stored_values,
)


def check_damaged_generation(two_generation_disk: TwoGenerations, damage: str, offset: int) -> None:
    """Damages the newest generation and checks that a complete one is loaded.

    The older generation may be loaded only if the fault of the newest is reported.
    """
    disk, states = two_generation_disk.disk.copy(), two_generation_disk.states
    content = disk.files["/d/tables-00000002.db"]
    if damage == "cut":
        del content.current[offset:]
    else:
        content.current[offset // 8] ^= 1 << offset % 8
    engine, open_result = open_engine(disk)
    try:
        assert stored_values(engine) in states and open_result.committed_at_ms == 1_000, (damage, offset)
        if stored_values(engine) != states[0]:
            faulty_paths = [error.path for error in open_result.faults]
            assert open_result.is_outdated and faulty_paths == ["/d/tables-00000002.db"], (damage, offset)
            assert open_result.restored_generation == 1 and open_result.next_generation == 3
        engine.commit([Put("view", "c", b"on")])
    finally:
        engine.close()


def test_generation_truncated_at_each_byte_is_complete_or_not_loaded(
    two_generation_disk: TwoGenerations,
) -> None:
    size = len(two_generation_disk.disk.files["/d/tables-00000002.db"].current)
    is_exhaustive = os.environ.get("BALANCER_CRASHES")
    # Each byte at the start and end of a page; each 256th of the unused space between, unless exhaustive.
    for offset in range(size):
        if is_exhaustive or offset % 4096 < 64 or offset % 4096 > 3800 or offset % 256 == 0:
            check_damaged_generation(two_generation_disk, "cut", offset)


def test_generation_with_flipped_bit_is_complete_or_not_loaded(
    two_generation_disk: TwoGenerations,
) -> None:
    size = len(two_generation_disk.disk.files["/d/tables-00000002.db"].current)
    rng = random.Random(5)
    for offset in range(0, size, 1 if os.environ.get("BALANCER_CRASHES") else 16):
        check_damaged_generation(two_generation_disk, "flip", 8 * offset + rng.randrange(8))
    file_system = SimulatedFileSystem(two_generation_disk.disk.copy())
    seal = SealedFile(file_system, "/d/tables-00000002.db").read_seal()
    packed = msgspec.msgpack.encode(seal)
    seal_offset = two_generation_disk.disk.files["/d/tables-00000002.db"].current.rindex(packed)
    for bit in range(8 * seal_offset, 8 * (seal_offset + len(packed))):
        check_damaged_generation(two_generation_disk, "flip", bit)


def test_engine_two_corrupt_generations_restore_nothing_and_number_rises(
    two_generation_disk: TwoGenerations,
) -> None:
    disk = two_generation_disk.disk.copy()
    for number in (1, 2):
        disk.files[f"/d/tables-0000000{number}.db"].current[:100] = bytes(100)
    engine, open_result = open_engine(disk)
    assert stored_values(engine) == {} and open_result.is_outdated
    assert open_result.next_generation == 3 and len(open_result.faults) == 2
    assert "/d/tables-00000002.db" in disk.files, "a corrupt file stays for inspection"
    engine.close()


def test_sealed_file_missing_row_does_not_match_the_seal(tmp_path: Path) -> None:
    """The remaining rows have valid checksums: only the seal's checksum shows that one is missing."""
    checksum = sqlite_file.record_checksum("view", "a", 1, b"1")
    sealed_file = SealedFile(LocalFileSystem(), str(tmp_path / "new.db"), create=True)
    sealed_file.commit(Seal(), [])
    sealed_file._connection.execute("insert into rows values ('view', 'a', 1, x'31', ?)", (checksum,))
    with pytest.raises(StoreFileError, match="1 rows"):
        sealed_file.read_rows()
    sealed_file.abandon()
