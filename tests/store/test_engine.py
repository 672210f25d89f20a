"""The engine on local files: format versions, ownership, foreign files, a directory that is moved."""

from __future__ import annotations

import fcntl
import os
import signal
from collections.abc import Sequence
from pathlib import Path

import apsw
import pytest

from balancer.store import engine as engine_module
from balancer.store import sqlite_file
from balancer.store.engine import Engine, Migration, Put
from balancer.store.errors import FaultKind, StoreFileError
from balancer.store.files import LocalFileSystem
from tests.store.durable_node import (
    stored_values,
)


def local_engine(path: Path, migrations: Sequence[Migration] = ()) -> Engine:
    """An engine on a local directory, not yet open."""
    return Engine(LocalFileSystem(), str(path), lambda: 1, migrations)


def write_generation(path: Path) -> None:
    """Leaves one generation with one row in a directory."""
    engine = local_engine(path)
    engine.open()
    engine.commit([Put("view", "a", b"1")])
    engine.close()


@pytest.mark.parametrize("version", [0, 99])
def test_engine_unknown_format_version_is_reported_and_file_stays(version: int, tmp_path: Path) -> None:
    write_generation(tmp_path)
    connection = apsw.Connection(str(tmp_path / "tables-00000001.db"))
    connection.execute(f"pragma user_version={version}")
    connection.close()
    engine = local_engine(tmp_path)
    open_result = engine.open()
    [error] = open_result.faults
    assert error.kind is FaultKind.UNSUPPORTED_FORMAT and f"version {version}," in error.detail
    assert (
        open_result.is_outdated and stored_values(engine) == {} and (tmp_path / "tables-00000001.db").exists()
    )
    engine.close()


def test_engine_older_format_version_is_migrated_step_by_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_generation(tmp_path)
    for module in (sqlite_file, engine_module):
        monkeypatch.setattr(module, "FORMAT_VERSION", 3)
    migrations: list[Migration] = [
        lambda tables: {"seen": {key: value + b"2" for key, value in tables["view"].items()}},
        lambda tables: {"seen": {key: value + b"3" for key, value in tables["seen"].items()}},
    ]
    for _ in range(2):  # the second open finds the new format
        engine = local_engine(tmp_path, migrations)
        open_result = engine.open()
        assert stored_values(engine) == {("seen", "a"): b"123"} and not open_result.faults
        engine.begin_generation()
        engine.close()


def test_engine_second_owner_is_refused_and_dead_owner_holds_no_lock(tmp_path: Path) -> None:
    owner, other = local_engine(tmp_path), local_engine(tmp_path)
    owner.open()
    with pytest.raises(StoreFileError) as caught:
        other.open()
    assert caught.value.kind is FaultKind.LOCKED
    owner.commit([Put("view", "a", b"1")])
    child = os.fork()
    if child == 0:  # owns another directory, and is killed by a signal
        (tmp_path / "two").mkdir()
        killed = local_engine(tmp_path / "two")
        killed.open()
        killed.commit([Put("view", "a", b"1")])
        os.kill(os.getpid(), signal.SIGKILL)
    assert os.waitpid(child, 0)[1] == signal.SIGKILL
    successor = local_engine(tmp_path / "two")
    assert successor.open().restored_generation == 1
    for engine in (owner, successor):
        engine.close()


def test_lock_on_replaced_lock_file_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    flock = fcntl.flock

    def replace_lock_file(file_descriptor: int, operation: int) -> None:
        (tmp_path / "owner").unlink()
        (tmp_path / "owner").write_text("")
        flock(file_descriptor, operation)

    monkeypatch.setattr(fcntl, "flock", replace_lock_file)
    with pytest.raises(StoreFileError) as caught:
        local_engine(tmp_path).open()
    assert caught.value.kind is FaultKind.LOCKED


def test_engine_directories_links_and_foreign_files_are_reported_and_stay(tmp_path: Path) -> None:
    outside = tmp_path / "outside.db"
    directory = tmp_path / "home"
    directory.mkdir()
    (directory / "tables-00000001.db").mkdir()
    (directory / "tables-00000002.db").symlink_to(outside)
    (directory / "tables-00000003.db").write_bytes(b"no database" * 100)
    foreign_database = apsw.Connection(str(directory / "tables-00000004.db"))
    foreign_database.execute("create table x(y)")
    foreign_database.close()
    (directory / "notes.txt").write_text("another's")
    engine = local_engine(directory)
    open_result = engine.open()
    kinds = [FaultKind.FOREIGN, FaultKind.CORRUPT, FaultKind.FOREIGN, FaultKind.FOREIGN]
    assert [error.kind for error in open_result.faults] == kinds and (
        directory / "tables-00000001.db"
    ).is_dir()
    not_regular = [error.path[-4:] for error in open_result.faults if "a directory or a link" in error.detail]
    assert not_regular == ["2.db", "1.db"] and open_result.next_generation == 5
    assert (directory / "notes.txt").read_text() == "another's" and not outside.exists()
    engine.close()
    (directory / "owner").unlink()
    (directory / "owner").symlink_to(outside)
    with pytest.raises(StoreFileError) as caught:
        engine.open()
    assert caught.value.kind is FaultKind.FOREIGN and not outside.exists()
    for path in (tmp_path / "none", outside.parent / "home" / "notes.txt"):
        with pytest.raises(StoreFileError):
            local_engine(path).open()


def test_engine_moved_directory_fails_the_commit(tmp_path: Path) -> None:
    directory = tmp_path / "home"
    directory.mkdir()
    engine = local_engine(directory)
    engine.open()
    engine.commit([Put("view", "a", b"1")])
    directory.rename(tmp_path / "away")
    with pytest.raises(StoreFileError) as caught:
        engine.commit([Put("view", "b", b"1")])
    assert caught.value.kind is FaultKind.MISSING
    (tmp_path / "away").rename(directory)
    engine.commit([Put("view", "b", b"1")])
    assert stored_values(engine) == {("view", "a"): b"1", ("view", "b"): b"1"}
    engine.close()
