"""Inspects a store's directory without a node: `balancer state show|verify|clear`, as data.

Files are read from a copy, so that the directory does not change, not even by SQLite's own recovery. While a
node owns the directory, only its files can be listed; the node itself reports their content.
"""

from __future__ import annotations

import contextlib
import math
import os
import re
import shutil
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from balancer.core.persistence.persisted_state import NodeIdentity
from balancer.core.persistence.restoration import restore
from balancer.store.directory import (
    STORE_FILE_NAME_PATTERN,
    UNFINISHED_FILE_NAME,
    WAL_SUFFIX,
    StoreDirectory,
    generation_file_name,
    generation_numbers,
    segment_file_name,
    segment_positions,
)
from balancer.store.errors import FaultKind, StoreFileError, store_error_from_os
from balancer.store.files import LOCK_FILE_NAME, LocalFileSystem
from balancer.store.sqlite_file import FORMAT_VERSION, SealedFile, Tables

RECORDS_PER_READ = 1_000
MAX_JOURNAL_FAULTS = 20
"""Faults of one journal that are listed; further ones are counted."""


class GenerationReport(TypedDict):
    """One generation of the tables; the last three fields are missing while a node owns the directory."""

    number: int
    bytes: int
    believed: NotRequired[bool]
    rows: NotRequired[int]
    wrote_ms: NotRequired[int]


class JournalReport(TypedDict):
    """One journal; all fields but the first two are missing while a node owns the directory."""

    name: str
    bytes: int
    first: NotRequired[int]
    next: NotRequired[int]
    segments: NotRequired[int]
    spoiled: NotRequired[int]


@dataclass(frozen=True)
class _InspectedGeneration:
    is_valid: bool = False
    row_count: int = 0
    committed_at_ms: int = 0
    tables: Tables = field(default_factory=dict)
    faults: Sequence[str] = ()


class _CopiedFiles(NamedTuple):
    directory: StoreDirectory
    errors: list[StoreFileError]
    """One for each file that could not be copied."""


def show(directory: str) -> dict[str, Any]:
    """Reports the content of the directory as JSON values; raises StoreFileError if it is not a directory.

    `owner` is the id of the process that owns it, or None; if there is one, the generations and journals are
    listed by name and size only. `believed` is the generation that a starting node would load, None if there
    is none, and `memory` the state of persistence that the node would report.
    """
    owner_pid, names = _owner_pid(directory), _store_file_names(directory)
    report = _empty_report(directory, owner_pid)
    if owner_pid is not None:
        report["memory"] = "in use"
        _add_file_sizes(report, directory, names)
        return report
    with _copied_files(directory, names) as copied:
        report["faults"] = [str(error) for error in copied.errors]
        _add_generations(report, directory, copied.directory, names)
        _add_journals(report, directory, copied.directory, names)
    report["faults"] = [line.replace(copied.directory.path, directory) for line in report["faults"]]
    return report


def _empty_report(directory: str, owner_pid: int | None) -> dict[str, Any]:
    return {
        "directory": directory,
        "owner": owner_pid,
        "format": FORMAT_VERSION,
        "believed": None,
        "memory": "none",
        "older": False,
        "node": None,
        "tables": {},
        "generations": [],
        "journals": [],
        "faults": [],
    }


def _add_file_sizes(report: dict[str, Any], directory: str, names: Sequence[str]) -> None:
    """Adds the sizes, which is all that can be read while a node owns the directory."""
    report["generations"] = [
        GenerationReport(number=number, bytes=_generation_size_bytes(directory, number))
        for number in generation_numbers(names)
    ]
    report["journals"] = [
        JournalReport(name=name, bytes=_journal_size_bytes(directory, name, first_positions))
        for name, first_positions in segment_positions(names).items()
    ]


def verify(directory: str) -> list[str]:
    """Lists each fault of each file on one line; empty if all files are valid.

    Raises StoreFileError if a node owns the directory, or if it is not a directory.
    """
    owner_pid = _owner_pid(directory)
    if owner_pid is not None:
        raise StoreFileError(FaultKind.LOCKED, directory, f"process {owner_pid} holds it; ask the node")
    lines: list[str] = show(directory)["faults"]
    names = _store_file_names(directory)
    with _copied_files(directory, names) as copied:
        for name in names:
            if not name.endswith(".db") or name == UNFINISHED_FILE_NAME:
                continue
            with contextlib.suppress(StoreFileError):  # `show` has reported it
                sealed_file = copied.directory.open_file(name)
                path = os.path.join(directory, name)
                lines += [f"{path}: {line}" for line in sealed_file.structure_faults()]
                sealed_file.abandon()
    return lines


def clear(directory: str) -> list[str]:
    """Removes all files of the store and returns their names. Other files, links and directories stay.

    The node's identity is removed as well: the node next starts as a new one. Raises StoreFileError.
    """
    file_system = LocalFileSystem()
    try:
        lock = file_system.lock(directory)
    except BlockingIOError as error:
        raise StoreFileError(FaultKind.LOCKED, directory, "a node holds it: stop it first") from error
    except OSError as error:
        raise store_error_from_os(error, directory) from error
    try:
        names = _store_file_names(directory)
        removed = [name for name in names if file_system.is_regular_file(os.path.join(directory, name))]
        # The newest generation goes last: an interruption leaves a complete generation or none.
        removed.sort(key=lambda name: (name.startswith("tables-"), name.removesuffix(WAL_SUFFIX)))
        for name in removed:
            file_system.remove(os.path.join(directory, name))
        file_system.sync_directory(directory)
    except OSError as error:
        raise store_error_from_os(error, directory) from error
    finally:
        lock.release()
    return removed


# --- files ---


def _store_file_names(directory: str) -> list[str]:
    try:
        return sorted(name for name in os.listdir(directory) if STORE_FILE_NAME_PATTERN.fullmatch(name))
    except OSError as error:
        raise store_error_from_os(error, directory) from error


def _owner_pid(directory: str) -> int | None:
    """The id of the process that owns the directory; 0 if the lock file contains no process id."""
    path = os.path.join(directory, LOCK_FILE_NAME)
    if not os.path.lexists(path):
        return None
    try:
        LocalFileSystem().lock(directory).release()
        return None
    except BlockingIOError:
        with open(path, "rb") as file:
            match = re.fullmatch(rb"(\d{1,10})\n", file.read(20))
        return int(match[1]) if match else 0
    except OSError as error:
        raise store_error_from_os(error, path) from error


def _size_with_log_bytes(directory: str, name: str) -> int:
    """Size of a file and its write-ahead log; a missing file counts as 0."""
    size_bytes = 0
    for part in (name, name + WAL_SUFFIX):
        with contextlib.suppress(OSError):
            size_bytes += os.lstat(os.path.join(directory, part)).st_size
    return size_bytes


def _generation_size_bytes(directory: str, number: int) -> int:
    return _size_with_log_bytes(directory, generation_file_name(number))


def _journal_size_bytes(directory: str, name: str, first_positions: Sequence[int]) -> int:
    segments = (segment_file_name(name, first) for first in first_positions)
    return sum(_size_with_log_bytes(directory, segment) for segment in segments)


@contextlib.contextmanager
def _copied_files(directory: str, names: Sequence[str]) -> Iterator[_CopiedFiles]:
    """Copies the store's files to a temporary directory, under the directory's lock if it has a lock file."""
    errors: list[StoreFileError] = []
    file_system = LocalFileSystem()
    with tempfile.TemporaryDirectory(prefix="balancer-state-") as temporary_path:
        copy = StoreDirectory(file_system, temporary_path)
        has_lock_file = os.path.lexists(os.path.join(directory, LOCK_FILE_NAME))
        lock = file_system.lock(directory) if has_lock_file else None
        try:
            for name in names:
                path = os.path.join(directory, name)
                try:
                    if not file_system.is_regular_file(path):
                        detail = "a directory or a link where a file is expected"
                        errors.append(StoreFileError(FaultKind.FOREIGN, path, detail))
                    else:
                        shutil.copyfile(path, copy.file_path(name), follow_symlinks=False)
                except OSError as error:
                    errors.append(store_error_from_os(error, path))
        finally:
            if lock is not None:
                lock.release()
        yield _CopiedFiles(copy, errors)


# --- generations ---


def _add_generations(
    report: dict[str, Any], directory: str, copy: StoreDirectory, names: Sequence[str]
) -> None:
    """Adds the generations, and what a starting node would restore from the newest valid one."""
    for number in generation_numbers(names):
        generation = _inspect_generation(copy, generation_file_name(number))
        report["generations"].append(
            GenerationReport(
                number=number,
                bytes=_generation_size_bytes(directory, number),
                believed=generation.is_valid,
                rows=generation.row_count,
                wrote_ms=generation.committed_at_ms,
            )
        )
        report["faults"] += generation.faults
        if generation.is_valid and report["believed"] is None:
            report["believed"] = number
            report["tables"] = {name: len(rows) for name, rows in sorted(generation.tables.items())}
            _add_restored_state(report, number, generation)
        report["older"] = report["older"] or report["believed"] is None
    if report["believed"] is None and report["older"]:
        report["memory"] = "lost"


def _inspect_generation(copy: StoreDirectory, name: str) -> _InspectedGeneration:
    if not os.path.exists(copy.file_path(name)):  # `_copied_files` has reported the failed copy
        return _InspectedGeneration()
    generation_file = None
    try:
        generation_file = copy.open_file(name)
        tables = generation_file.read_rows()
        seal = generation_file.seal
        return _InspectedGeneration(True, seal.row_count, seal.committed_at_ms, tables)
    except StoreFileError as error:
        return _InspectedGeneration(faults=[str(error)])
    finally:
        if generation_file is not None:
            generation_file.abandon()


def _add_restored_state(report: dict[str, Any], number: int, generation: _InspectedGeneration) -> None:
    """Adds the node's identity, and the outcome and messages of restoring the tables."""
    values = {name: {key: row.value for key, row in rows.items()} for name, rows in generation.tables.items()}
    try:
        identity = msgspec.msgpack.decode(values["self"]["node"], type=NodeIdentity)
    except (KeyError, msgspec.MsgspecError):
        report["memory"] = "lost"
        return
    wrote_ms = generation.committed_at_ms
    restored = restore(values, number, report["older"], wrote_ms, identity.name, wrote_ms, math.inf)
    report["faults"] += restored.messages
    report["memory"] = restored.outcome
    report["node"] = {
        "id": identity.id,
        "name": identity.name,
        "incarnation": identity.incarnation,
        "first_ms": identity.first_started_at_ms,
    }


# --- journals ---


def _add_journals(report: dict[str, Any], directory: str, copy: StoreDirectory, names: Sequence[str]) -> None:
    for name, first_positions in segment_positions(names).items():
        inspection = _JournalInspection(copy, name, first_positions[-1])
        for first, end in zip(first_positions, [*first_positions[1:], None], strict=True):
            inspection.inspect_segment(first, end)
        report["journals"].append(
            JournalReport(
                name=name,
                bytes=_journal_size_bytes(directory, name, first_positions),
                first=first_positions[0],
                next=inspection.next_position,
                segments=len(first_positions),
                spoiled=inspection.invalid_count,
            )
        )
        faults = inspection.faults
        report["faults"] += faults[:MAX_JOURNAL_FAULTS]
        if len(faults) > MAX_JOURNAL_FAULTS:
            report["faults"].append(f"and {len(faults) - MAX_JOURNAL_FAULTS} more")


@dataclass
class _JournalInspection:
    """Checks the records of a journal, segment by segment."""

    copy: StoreDirectory
    name: str
    next_position: int
    invalid_count: int = 0
    """Records that are missing or whose checksum is wrong."""
    faults: list[str] = field(default_factory=list)

    def inspect_segment(self, first: int, end: int | None) -> None:
        """Checks the records from `first` up to but excluding `end`; None: up to the segment's own end."""
        segment = None
        try:
            segment = self.copy.open_file(segment_file_name(self.name, first))
            next_position = segment.read_seal().next_position
            end = next_position if end is None else min(end, next_position)
            self.next_position = max(self.next_position, end)
            self._check_records(segment, first, end)
        except StoreFileError as error:
            self.faults.append(str(error))
        finally:
            if segment is not None:
                segment.abandon()

    def _check_records(self, segment: SealedFile, first: int, end: int) -> None:
        expected = first
        while expected < end and (records := segment.read_records(expected, RECORDS_PER_READ)):
            for position, _, value in records:
                if position >= end:
                    break
                missing_count = position - expected + (value is None)
                if missing_count:
                    self.invalid_count += missing_count
                    fault_position = expected if position > expected else position
                    self.faults.append(f"{segment.path}: spoiled: position {fault_position}")
                expected = position + 1
            if records[-1].position >= end:
                break
        if expected < end:
            self.invalid_count += end - expected
            self.faults.append(f"{segment.path}: spoiled: positions {expected} to {end - 1} are missing")
