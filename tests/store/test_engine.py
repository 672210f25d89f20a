"""The engine on local files: format versions, ownership, foreign files, a directory that is moved."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import apsw
import pytest

from balancer.store import engine as engine_module
from balancer.store import sqlite_file
from balancer.store.engine import Engine, Put
from balancer.store.errors import FaultKind, StoreFileError
from balancer.store.files import LocalFileSystem
from tests.store.durable_node import (
    stored_values,
)


@pytest.mark.parametrize("version", [0, 99])
def test_engine_unknown_format_version_is_reported_and_file_stays(version: int, tmp_path: Path) -> None:
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


def test_engine_older_format_version_is_migrated_step_by_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    engine = Engine(LocalFileSystem(), str(tmp_path), lambda: 1)
    engine.open()
    engine.commit([Put("view", "a", b"1")])
    engine.close()
    for module in (sqlite_file, engine_module):
        monkeypatch.setattr(module, "FORMAT_VERSION", 3)
    ups = [
        lambda t: {"seen": {k: v + b"2" for k, v in t["view"].items()}},
        lambda t: {"seen": {k: v + b"3" for k, v in t["seen"].items()}},
    ]
    for _ in range(2):  # the second open finds the new format
        engine = Engine(LocalFileSystem(), str(tmp_path), lambda: 1, ups)
        found = engine.open()
        assert stored_values(engine) == {("seen", "a"): b"123"} and not found.faults
        engine.begin_generation()
        engine.close()


def test_engine_second_owner_is_refused_and_dead_owner_holds_no_lock(tmp_path: Path) -> None:
    one, other = (Engine(LocalFileSystem(), str(tmp_path), lambda: 1) for _ in range(2))
    one.open()
    with pytest.raises(StoreFileError) as caught:
        other.open()
    assert caught.value.kind is FaultKind.LOCKED
    one.commit([Put("view", "a", b"1")])
    child = os.fork()
    if child == 0:  # owns another directory, and is killed by a signal
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


def test_lock_on_replaced_lock_file_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    lock = fcntl.flock

    def replaced(fd: int, how: int) -> None:
        (tmp_path / "owner").unlink()
        (tmp_path / "owner").write_text("")
        lock(fd, how)

    monkeypatch.setattr(fcntl, "flock", replaced)
    with pytest.raises(StoreFileError) as caught:
        Engine(LocalFileSystem(), str(tmp_path), lambda: 1).open()
    assert caught.value.kind is FaultKind.LOCKED


def test_engine_directories_links_and_foreign_files_are_reported_and_stay(tmp_path: Path) -> None:
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


def test_engine_moved_directory_fails_the_commit(tmp_path: Path) -> None:
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
