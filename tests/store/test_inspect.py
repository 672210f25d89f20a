"""`state show|verify|clear` as data: their reports, and that only `clear` changes the directory."""

from __future__ import annotations

import json
import os
from pathlib import Path

import msgspec
import pytest

from balancer.core.persistence.persisted_state import NodeIdentity, PersistedEndpoint
from balancer.store.engine import Engine, Put
from balancer.store.errors import FaultKind, StoreFileError
from balancer.store.files import LocalFileSystem
from balancer.store.inspect import clear, show, verify
from balancer.store.sqlite_file import SealedFile
from balancer.store.store import Store
from tests.store.test_store import flush

NODE_IDENTITY = msgspec.msgpack.encode(NodeIdentity("id-1", "n0", 3, 0))


def write_generations(path: Path) -> None:
    for index in range(3):
        engine = Engine(LocalFileSystem(), str(path), lambda: 1_000)
        engine.open()
        endpoint_row = msgspec.msgpack.encode(PersistedEndpoint("127.0.0.1", 80))
        engine.commit([Put("self", "node", NODE_IDENTITY), Put("view", f"s{index}", endpoint_row)])
        engine.append("log", [b"%d" % index])
        engine.close()


def file_contents(path: Path) -> dict[str, bytes]:
    return {p.name: p.read_bytes() for p in path.iterdir()}


def test_inspect_show_and_verify_change_nothing_and_clear_removes_store_files_only(tmp_path: Path) -> None:
    write_generations(tmp_path)
    (tmp_path / "notes.txt").write_text("mine")
    before = file_contents(tmp_path)
    report = show(str(tmp_path))
    assert json.loads(json.dumps(report)) == report and not report["faults"] and not verify(str(tmp_path))
    assert (report["memory"], report["believed"], report["tables"]) == ("kept", 3, {"self": 1, "view": 3})
    assert [g["number"] for g in report["generations"]] == [3, 2] and report["owner"] is None
    assert report["node"] == {"id": "id-1", "name": "n0", "incarnation": 3, "first_ms": 0}
    journal_report = report["journals"][0]
    assert (
        journal_report["name"],
        journal_report["first"],
        journal_report["next"],
        journal_report["segments"],
        journal_report["spoiled"],
    ) == ("log", 1, 4, 1, 0)
    after = file_contents(tmp_path)
    assert {**after, "owner": b""} == {**before, "owner": b""}
    clear(str(tmp_path))
    assert {p.name for p in tmp_path.iterdir()} == {"notes.txt", "owner"}
    assert show(str(tmp_path))["memory"] == "none"


def test_verify_damaged_and_foreign_files_are_all_reported(tmp_path: Path) -> None:
    write_generations(tmp_path)
    (tmp_path / "tables-00000003.db-wal").unlink()
    (tmp_path / "tables-00000003.db").write_bytes(b"x" * 5_000)
    (tmp_path / "tables-00000009.db").mkdir()
    faults = verify(str(tmp_path))
    assert any("tables-00000003.db: spoiled" in line for line in faults), faults
    assert any("tables-00000009.db: foreign" in line for line in faults), faults
    report = show(str(tmp_path))
    assert report["memory"] == "older" and report["believed"] == 2
    assert all(line.startswith(str(tmp_path)) for line in faults), faults


def test_inspect_directory_in_use_is_only_listed(tmp_path: Path) -> None:
    store = Store(str(tmp_path), lambda run: run())
    store.open()
    flush(store)
    report = show(str(tmp_path))
    assert report["owner"] == os.getpid() and report["memory"] == "in use" and report["generations"]
    for operation in (verify, clear):
        with pytest.raises(StoreFileError) as caught:
            operation(str(tmp_path))
        assert caught.value.kind is FaultKind.LOCKED
    flush(store)
    store.close()
    with pytest.raises(StoreFileError):
        show(str(tmp_path / "none"))


def test_verify_corrupt_journal_record_is_reported_by_position(tmp_path: Path) -> None:
    write_generations(tmp_path)
    path = tmp_path / "journal-log-000000000001.db"
    segment = SealedFile(LocalFileSystem(), str(path))
    segment._connection.execute("update records set value=x'39' where position=2")
    segment.checkpoint_and_close()
    assert verify(str(tmp_path)) == [f"{path}: spoiled: position 2"]
    assert show(str(tmp_path))["journals"][0]["spoiled"] == 1
