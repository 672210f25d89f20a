"""A store directory as a node writes it, and canonical forms of what a later version reads from it."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import msgspec

from balancer.core.persistence.persisted_state import (
    Ejection,
    End,
    Limit,
    Recalled,
    Self,
    Server,
    Source,
    Usual,
    Weight,
    recall,
)
from balancer.store import inspect
from balancer.store.engine import Delete, Engine, Put
from balancer.store.files import Real

WROTE_MS = 1_790_000_000_000
"""Wall clock of the first commit."""
READ_MS = WROTE_MS + 60_000
"""Wall clock at which the directory is read again."""
MAX_AGE_MS = 3_600_000.0
DIRECTORY = Path(__file__).parent / "fixtures" / "store"


def _put(table: str, key: str, value: object) -> Put:
    return Put(table, key, msgspec.msgpack.encode(value))


def _first_commit() -> list[Put]:
    rows = [_put("self", "node", Self("id-1", "n0", 7, WROTE_MS - 9_000))]
    for number in range(6):
        server = Server(
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
    rows.append(_put("view", "old", Server("10.0.1.1", 80, confirmed_ms=WROTE_MS - 10_000_000)))
    rows.append(_put("sources", "platform", Source("cluster-1", 41, WROTE_MS - 500)))
    rows.append(_put("sources", "etcd", Source("etcd-9", 77, WROTE_MS - 700)))
    return rows


def _learned_commit() -> list[Put]:
    return [
        _put("usual", "read", Usual(41.5, 7.25, WROTE_MS)),
        _put("usual", "pay", Usual(120.0, 30.0, WROTE_MS - 2 * 3_600_000)),
        _put("limit", "node", Limit(13.5, WROTE_MS)),
        _put("weights", "s1", Weight(2.5, WROTE_MS)),
        _put("ejections", "s2", Ejection(WROTE_MS + 90_000, 4, WROTE_MS)),
        _put("ejections", "s3", Ejection(WROTE_MS + 5_000, 4, WROTE_MS)),
        Put("weights", "s9", b"\x93\x01\x02"),
    ]


def write(directory: Path) -> None:
    """Two whole generations, a newer one cut in half, a left-over file and a journal of two segments."""
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    clock = [WROTE_MS]
    engine = Engine(Real(), str(directory), lambda: clock[0], segment=16_000)
    engine.open()
    engine.commit(_first_commit())
    engine.commit(
        [
            _put("ends", "s1", End(True, "platform", 43, WROTE_MS, 11)),
            _put("ends", "s2", End(False, "etcd", 78, WROTE_MS, 12)),
            _put("ends", "s5", End(True, "etcd", 70, WROTE_MS, 2)),
        ]
    )
    engine.commit(_learned_commit())
    engine.append("log", [b"record %d" % number + b"x" * 3_000 for number in range(6)])
    engine.append("log", [b"last"])
    engine.begin_generation()
    clock[0] += 1_000
    engine.commit([_put("view", "s6", Server("10.0.0.6", 8_006, order=20)), Delete("view", "s0")])
    engine.close()
    newest = sorted(directory.glob("tables-*.db"))[-1]
    number = int(newest.stem.removeprefix("tables-")) + 1
    half = newest.read_bytes()
    (directory / f"tables-{number:08d}.db").write_bytes(half[: len(half) // 2])
    (directory / "new.db").write_bytes(b"left over")


def _plain(value: Any) -> Any:
    return msgspec.to_builtins(value)


def canonical_recalled(found: Recalled) -> dict[str, Any]:
    """What a start would believe, with names of its own."""
    return {
        "memory": found.memory,
        "self": _plain(found.me),
        "foreign": found.foreign,
        "clock_behind_ms": found.clock_behind_ms,
        "order": found.order,
        "view": {name: [_plain(row.server), row.age_ms] for name, row in sorted(found.view.items())},
        "ends": {name: _plain(row) for name, row in sorted(found.ends.items())},
        "sources": {name: _plain(row) for name, row in sorted(found.sources.items())},
        "usual": {name: _plain(row) for name, row in sorted(found.usual.items())},
        "limit": _plain(found.limit),
        "weights": {name: _plain(row) for name, row in sorted(found.weights.items())},
        "ejections": dict(sorted(found.ejections.items())),
        "tables": {name: sorted(rows) for name, rows in sorted(found.rows.items())},
        "messages": found.said,
    }


def read(directory: Path) -> dict[str, Any]:
    """All that a version reads from a directory: a copy of it, as opening sweeps what is half made."""
    shown = inspect.show(str(directory))
    shown.pop("directory")
    faults = [line.replace(str(directory), "DIRECTORY") for line in shown.pop("faults")]
    verified = [line.replace(str(directory), "DIRECTORY") for line in inspect.verify(str(directory))]
    engine = Engine(Real(), str(directory), lambda: READ_MS, segment=16_000)
    opened = engine.open()
    tables = {table: {key: row.value for key, row in rows.items()} for table, rows in engine.tables.items()}
    recalls = {}
    for node, now_ms in (("n0", READ_MS), ("n0", WROTE_MS - 5_000), ("other", READ_MS)):
        found = recall(tables, opened.found, opened.older, opened.wrote_ms, node, now_ms, MAX_AGE_MS)
        recalls[f"{node} {now_ms - WROTE_MS}"] = canonical_recalled(found)
    journal = [[one.position, one.at_ms, len(one.value or b"")] for one in engine.read("log", 1, 100)]
    out = {
        "shown": shown,
        "shown_faults": faults,
        "verified": verified,
        "generation": opened.generation,
        "found": opened.found,
        "older": opened.older,
        "wrote_ms": opened.wrote_ms,
        "journal": journal,
        "recalled": recalls,
    }
    engine.close()
    return out
