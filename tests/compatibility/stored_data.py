"""A store directory as a node writes it, and canonical forms of what a later version reads from it."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import msgspec

from balancer.core.persistence.persisted_state import (
    BackendEjection,
    BackendSlowness,
    ConcurrencyLimit,
    ExpectedLatency,
    NodeIdentity,
    PersistedEndpoint,
    SourcePosition,
    Withdrawal,
)
from balancer.core.persistence.restoration import RestoredState, restore
from balancer.store import inspect
from balancer.store.engine import Delete, Engine, Put
from balancer.store.files import LocalFileSystem

WROTE_MS = 1_790_000_000_000
"""Wall clock of the first commit."""
READ_MS = WROTE_MS + 60_000
"""Wall clock at which the directory is read again."""
MAX_AGE_MS = 3_600_000.0
DIRECTORY = Path(__file__).parent / "fixtures" / "store"


def _put(table: str, key: str, value: object) -> Put:
    return Put(table, key, msgspec.msgpack.encode(value))


def _first_commit() -> list[Put]:
    rows = [_put("self", "node", NodeIdentity("id-1", "n0", 7, WROTE_MS - 9_000))]
    for number in range(6):
        server = PersistedEndpoint(
            f"10.0.0.{number}",
            8_000 + number,
            "ab"[number % 2],
            number,
            0.5 + number,
            number == 4,
            1.7e12 + number,
            "m1",
            ("platform", "etcd")[: 1 + number % 2],
            WROTE_MS - 1_000 * number,
            number + 1,
        )
        rows.append(_put("view", f"s{number}", server))
    rows.append(_put("view", "old", PersistedEndpoint("10.0.1.1", 80, confirmed_at_ms=WROTE_MS - 10_000_000)))
    rows.append(_put("sources", "platform", SourcePosition("cluster-1", 41, WROTE_MS - 500)))
    rows.append(_put("sources", "etcd", SourcePosition("etcd-9", 77, WROTE_MS - 700)))
    return rows


def _learned_commit() -> list[Put]:
    return [
        _put("usual", "read", ExpectedLatency(41.5, 7.25, WROTE_MS)),
        _put("usual", "pay", ExpectedLatency(120.0, 30.0, WROTE_MS - 2 * 3_600_000)),
        _put("limit", "node", ConcurrencyLimit(13.5, WROTE_MS)),
        _put("weights", "s1", BackendSlowness(2.5, WROTE_MS)),
        _put("ejections", "s2", BackendEjection(WROTE_MS + 90_000, 4, WROTE_MS)),
        _put("ejections", "s3", BackendEjection(WROTE_MS + 5_000, 4, WROTE_MS)),
        Put("weights", "s9", b"\x93\x01\x02"),
    ]


def write(directory: Path) -> None:
    """Two whole generations, a newer one cut in half, a left-over file and a journal of two segments."""
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    clock = [WROTE_MS]
    engine = Engine(LocalFileSystem(), str(directory), lambda: clock[0], segment_size_bytes=16_000)
    engine.open()
    engine.commit(_first_commit())
    engine.commit(
        [
            _put("ends", "s1", Withdrawal(True, "platform", 43, WROTE_MS, 11)),
            _put("ends", "s2", Withdrawal(False, "etcd", 78, WROTE_MS, 12)),
            _put("ends", "s5", Withdrawal(True, "etcd", 70, WROTE_MS, 2)),
        ]
    )
    engine.commit(_learned_commit())
    engine.append("log", [b"record %d" % number + b"x" * 3_000 for number in range(6)])
    engine.append("log", [b"last"])
    engine.begin_generation()
    clock[0] += 1_000
    engine.commit(
        [_put("view", "s6", PersistedEndpoint("10.0.0.6", 8_006, sequence_number=20)), Delete("view", "s0")]
    )
    engine.close()
    newest = sorted(directory.glob("tables-*.db"))[-1]
    number = int(newest.stem.removeprefix("tables-")) + 1
    half = newest.read_bytes()
    (directory / f"tables-{number:08d}.db").write_bytes(half[: len(half) // 2])
    (directory / "new.db").write_bytes(b"left over")


def _plain(value: Any) -> Any:
    return msgspec.to_builtins(value)


def canonical_recalled(found: RestoredState) -> dict[str, Any]:
    """What a start would believe, with names of its own."""
    return {
        "memory": found.outcome,
        "self": _plain(found.identity),
        "foreign": found.is_foreign,
        "clock_behind_ms": found.clock_behind_ms,
        "order": found.last_sequence_number,
        "view": {name: [_plain(row.endpoint), row.age_ms] for name, row in sorted(found.endpoints.items())},
        "ends": {name: _plain(row) for name, row in sorted(found.withdrawals.items())},
        "sources": {name: _plain(row) for name, row in sorted(found.sources.items())},
        "usual": {name: _plain(row) for name, row in sorted(found.expected_latencies.items())},
        "limit": _plain(found.concurrency_limit),
        "weights": {name: _plain(row) for name, row in sorted(found.slowness.items())},
        "ejections": dict(sorted(found.ejection_left_ms.items())),
        "tables": {name: sorted(rows) for name, rows in sorted(found.rows.items())},
        "messages": found.messages,
    }


def read(directory: Path) -> dict[str, Any]:
    """All that a version reads from a directory: a copy of it, as opening sweeps what is half made."""
    shown = inspect.show(str(directory))
    shown.pop("directory")
    faults = [line.replace(str(directory), "DIRECTORY") for line in shown.pop("faults")]
    verified = [line.replace(str(directory), "DIRECTORY") for line in inspect.verify(str(directory))]
    engine = Engine(LocalFileSystem(), str(directory), lambda: READ_MS, segment_size_bytes=16_000)
    opened = engine.open()
    tables = {table: {key: row.value for key, row in rows.items()} for table, rows in engine.tables.items()}
    recalls = {}
    for node, now_ms in (("n0", READ_MS), ("n0", WROTE_MS - 5_000), ("other", READ_MS)):
        found = restore(
            tables,
            opened.restored_generation,
            opened.is_outdated,
            opened.committed_at_ms,
            node,
            now_ms,
            MAX_AGE_MS,
        )
        recalls[f"{node} {now_ms - WROTE_MS}"] = canonical_recalled(found)
    journal = [
        [one.position, one.written_at_ms, len(one.value or b"")] for one in engine.read_journal("log", 1, 100)
    ]
    out = {
        "shown": shown,
        "shown_faults": faults,
        "verified": verified,
        "generation": opened.next_generation,
        "found": opened.restored_generation,
        "older": opened.is_outdated,
        "wrote_ms": opened.committed_at_ms,
        "journal": journal,
        "recalled": recalls,
    }
    engine.close()
    return out
