"""Journals: missing or damaged records, unreadable segments, trimming."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import apsw
import pytest

from balancer.store.engine import Engine
from balancer.store.errors import FaultKind
from balancer.store.files import LocalFileSystem
from balancer.store.journal import UNREADABLE_SEGMENT_POSITION_GAP
from tests.store.durable_node import (
    TwoGenerations,
    open_engine,
)


def test_journal_flipped_bit_in_record_reads_as_record_without_value(
    two_generation_disk: TwoGenerations,
) -> None:
    disk = two_generation_disk.disk.copy()
    content = disk.files["/d/journal-log-000000000001.db"]
    content.current[content.current.rindex(b"r2")] ^= 1
    engine, open_result = open_engine(disk)
    assert [(r.position, r.value) for r in engine.read_journal("log", 1, 9)] == [
        (1, b"r1"),
        (2, None),
        (3, b"r3"),
    ]
    assert engine.append("log", [b"r4"]) == 4 and not open_result.faults
    engine.close()


def test_journal_missing_record_reads_as_record_without_value(tmp_path: Path) -> None:
    engine = Engine(LocalFileSystem(), str(tmp_path), lambda: 1)
    engine.open()
    engine.append("log", [b"r1", b"r2", b"r3"])
    engine.close()
    connection = apsw.Connection(str(tmp_path / "journal-log-000000000001.db"))
    connection.execute("delete from records where position=2")
    connection.close()
    engine.open()
    assert [(r.position, r.value) for r in engine.read_journal("log", 1, 9)] == [
        (1, b"r1"),
        (2, None),
        (3, b"r3"),
    ]
    engine.close()


def test_journal_unreadable_segment_is_one_gap_and_no_position_repeats(
    two_generation_disk: TwoGenerations,
) -> None:
    disk = two_generation_disk.disk.copy()
    del disk.files["/d/journal-log-000000000001.db"].current[5000:]
    engine, open_result = open_engine(disk)
    assert [fault.kind for fault in open_result.faults] == [FaultKind.CORRUPT]
    assert engine.append("log", [b"on"]) == 1 + UNREADABLE_SEGMENT_POSITION_GAP
    assert [(r.position, r.value) for r in engine.read_journal("log", 1, 9)] == [
        (1, None),
        (1 + UNREADABLE_SEGMENT_POSITION_GAP, b"on"),
    ]
    engine.close()


@pytest.fixture
def long_journal_engine(tmp_path: Path) -> Iterator[Engine]:
    clock = iter(range(1_000, 100_000_000, 1_000))
    engine = Engine(LocalFileSystem(), str(tmp_path), lambda: next(clock), segment_size_bytes=20_000)
    engine.open()
    yield engine
    engine.close()


def test_journal_trim_removes_segments_by_age_and_by_size(long_journal_engine: Engine) -> None:
    engine = long_journal_engine
    for index in range(60):
        engine.append("log", [b"x" * 2000, b"%d" % index])
    names = os.listdir(engine.directory)
    segments = [name for name in names if name.startswith("journal-") and name.endswith(".db")]
    assert len(segments) > 5 and engine.journal_ranges()["log"] == (1, 121)

    written_at_ms = engine.read_journal("log", 61, 1)[0].written_at_ms
    assert engine.trim_journal("log", before_ms=written_at_ms) > 0
    first = engine.journal_ranges()["log"].first
    assert 1 < first <= 61 and engine.read_journal("log", 1, 1)[0].position == first

    assert engine.trim_journal("log", max_bytes=1) > 0 and engine.journal_ranges()["log"].next == 121
    assert len(engine.read_journal("log", 1, 1000)) < 30
    assert engine.trim_journal("log", before_ms=1 << 60, max_bytes=0) == 0
    assert engine.append("log", [b"on"]) == 121
