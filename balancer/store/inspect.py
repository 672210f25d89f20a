"""What is in a store's directory, without a node: `balancer state show|verify|clear`, as data.

All looks are at a copy, so that nothing of the directory changes, not even by SQLite's own recovery. While a
node holds the directory there is nothing to be seen but its files: ask the node.
"""

from __future__ import annotations

import contextlib
import os
import re
import shutil
import tempfile
from collections.abc import Iterator
from typing import Any

import msgspec

from balancer.core.persistence.persisted_state import NodeIdentity
from balancer.core.persistence.restoration import restore
from balancer.store.engine import GENERATION_NAME_PATTERN, SEGMENT_NAME_PATTERN, STORE_FILE_NAME_PATTERN
from balancer.store.errors import FaultKind, StoreFileError, store_error_from_os
from balancer.store.files import LocalFileSystem
from balancer.store.sqlite_file import FORMAT_VERSION, Row, SealedFile

RECORDS_PER_READ = 1_000  # records of a journal read in one go


def show(directory: str) -> dict[str, Any]:
    """What is there, as plain data that JSON can hold; raises StoreFault where it is no folder.

    `owner` is the process that holds it or None; where there is one, `generations` and `journals` have names
    and bytes alone. `believed` is the generation that a start would take, None for none; `memory` what it
    would say.
    """
    owner_pid, names = _owner_pid(directory), _store_file_names(directory)
    report: dict[str, Any] = {
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
    if owner_pid is not None:
        report["memory"] = "in use"
        report["generations"] = [
            {"number": n, "bytes": _size_with_log_bytes(directory, name)}
            for n, name in _generations_newest_first(names)
        ]
        report["journals"] = [
            {"name": name, "bytes": b} for name, b in _journal_sizes_bytes(directory, names).items()
        ]
        return report
    with _copied_files(directory, names) as (copy_directory, faults):
        report["faults"] = [str(fault) for fault in faults]
        for number, name in _generations_newest_first(names):
            generation, rows, file_faults = _inspect_generation(copy_directory, name)
            report["generations"].append(
                {"number": number, "bytes": _size_with_log_bytes(directory, name)} | generation
            )
            report["faults"] += file_faults
            if generation["believed"] and report["believed"] is None:
                report["believed"], report["tables"] = (
                    number,
                    {t: len(persisted) for t, persisted in sorted(rows.items())},
                )
                persisted = _inspect_persisted_state(rows, number, generation["wrote_ms"], report["older"])
                report["faults"] += persisted.pop("faults", [])
                report.update(persisted)
            report["older"] = report["older"] or report["believed"] is None
        if report["believed"] is None and report["older"]:
            report["memory"] = "lost"
        for journal, size in _journal_sizes_bytes(directory, names).items():
            segments, file_faults = _inspect_journal(copy_directory, names, journal)
            report["journals"].append({"name": journal, "bytes": size} | segments)
            report["faults"] += file_faults
    report["faults"] = [line.replace(copy_directory, directory) for line in report["faults"]]
    return report


def verify(directory: str) -> list[str]:
    """Every fault of every file, a line each; empty where all that is there can be believed.

    Raises StoreFault where a node holds the directory, or it is no folder.
    """
    owner_pid = _owner_pid(directory)
    if owner_pid is not None:
        raise StoreFileError(FaultKind.LOCKED, directory, f"process {owner_pid} holds it; ask the node")
    lines: list[str] = show(directory)["faults"]
    names = _store_file_names(directory)
    with _copied_files(directory, names) as (copy_directory, _):
        for name in names:
            if not name.endswith(".db") or name == "new.db":
                continue
            with contextlib.suppress(StoreFileError):  # told above
                sealed_file = SealedFile(LocalFileSystem(), os.path.join(copy_directory, name))
                lines += [
                    f"{os.path.join(directory, name)}: {line}" for line in sealed_file.structure_faults()
                ]
                sealed_file.abandon()
    return lines


def clear(directory: str) -> list[str]:
    """Take away all that the store made; names of what went. Others' files stay, and links and folders.

    The node's identity goes with it: its next start is a first one. Raises StoreFault.
    """
    files = LocalFileSystem()
    try:
        lock = files.lock(directory)
    except BlockingIOError as err:
        raise StoreFileError(FaultKind.LOCKED, directory, "a node holds it: stop it first") from err
    except OSError as err:
        raise store_error_from_os(err, directory) from err
    try:
        removed = [
            n for n in _store_file_names(directory) if files.is_regular_file(os.path.join(directory, n))
        ]
        # The newest generation last: a clearing that is cut off leaves one that is still whole, or none.
        removed.sort(key=lambda name: (name.startswith("tables-"), name.removesuffix("-wal")))
        for name in removed:
            files.remove(os.path.join(directory, name))
        files.sync_directory(directory)
    except OSError as err:
        raise store_error_from_os(err, directory) from err
    finally:
        lock.release()
    return removed


def _store_file_names(directory: str) -> list[str]:
    try:
        return sorted(name for name in os.listdir(directory) if STORE_FILE_NAME_PATTERN.fullmatch(name))
    except OSError as err:
        raise store_error_from_os(err, directory) from err


def _generations_newest_first(names: list[str]) -> list[tuple[int, str]]:
    """Generations, newest first."""
    return sorted(
        ((int(m[1]), n) for n in names if (m := GENERATION_NAME_PATTERN.fullmatch(n))), reverse=True
    )


def _owner_pid(directory: str) -> int | None:
    """The process that holds it; 0 where it does not say."""
    path = os.path.join(directory, "owner")
    if not os.path.lexists(path):
        return None
    try:
        LocalFileSystem().lock(directory).release()
        return None
    except BlockingIOError:
        with open(path, "rb") as file:
            match = re.fullmatch(rb"(\d{1,10})\n", file.read(20))
        return int(match[1]) if match else 0
    except OSError as err:
        raise store_error_from_os(err, path) from err


def _size_with_log_bytes(directory: str, name: str) -> int:
    size_bytes = 0
    for part in (name, name + "-wal"):
        with contextlib.suppress(OSError):
            size_bytes += os.lstat(os.path.join(directory, part)).st_size
    return size_bytes


def _journal_sizes_bytes(directory: str, names: list[str]) -> dict[str, int]:
    sizes_bytes: dict[str, int] = {}
    for name in names:
        if match := SEGMENT_NAME_PATTERN.fullmatch(name):
            sizes_bytes[match[1]] = sizes_bytes.get(match[1], 0) + _size_with_log_bytes(directory, name)
    return sizes_bytes


@contextlib.contextmanager
def _copied_files(directory: str, names: list[str]) -> Iterator[tuple[str, list[StoreFileError]]]:
    """A copy of the store's files, taken while nobody may write, and what could not be copied."""
    faults: list[StoreFileError] = []
    files = LocalFileSystem()
    with tempfile.TemporaryDirectory(prefix="balancer-state-") as copy_directory:
        copy_directory = os.path.realpath(copy_directory)
        lock = files.lock(directory) if os.path.lexists(os.path.join(directory, "owner")) else None
        try:
            for name in names:
                path = os.path.join(directory, name)
                try:
                    if not files.is_regular_file(path):
                        detail = "a folder or a link where a file should be"
                        faults.append(StoreFileError(FaultKind.FOREIGN, path, detail))
                    else:
                        shutil.copyfile(path, os.path.join(copy_directory, name), follow_symlinks=False)
                except OSError as err:
                    faults.append(store_error_from_os(err, path))
        finally:
            if lock is not None:
                lock.release()
        yield copy_directory, faults


def _inspect_generation(
    copy_directory: str, name: str
) -> tuple[dict[str, Any], dict[str, dict[str, Row]], list[str]]:
    path = os.path.join(copy_directory, name)
    summary: dict[str, Any] = {"believed": False, "rows": 0, "wrote_ms": 0}
    if not os.path.exists(path):  # told as a fault where it was copied
        return summary, {}, []
    sealed_file = None
    try:
        sealed_file = SealedFile(LocalFileSystem(), path)
        rows = sealed_file.read_rows()
        summary |= {
            "believed": True,
            "rows": sealed_file.seal.row_count,
            "wrote_ms": sealed_file.seal.committed_at_ms,
        }
        return summary, rows, []
    except StoreFileError as fault:
        return summary, {}, [str(fault)]
    finally:
        if sealed_file is not None:
            sealed_file.abandon()


def _inspect_persisted_state(
    rows: dict[str, dict[str, Row]], number: int, wrote_ms: int, is_outdated: bool
) -> dict[str, Any]:
    """Whose memory it is, and what a start would make of it."""
    values = {table: {key: row.value for key, row in persisted.items()} for table, persisted in rows.items()}
    try:
        identity = msgspec.msgpack.decode(values["self"]["node"], type=NodeIdentity)
    except (KeyError, msgspec.MsgspecError):
        return {"memory": "lost"}
    persisted = restore(values, number, is_outdated, wrote_ms, identity.name, wrote_ms, float("inf"))
    node = {
        "id": identity.id,
        "name": identity.name,
        "incarnation": identity.incarnation,
        "first_ms": identity.first_started_at_ms,
    }
    return {"memory": persisted.outcome, "node": node, "faults": persisted.messages}


def _inspect_journal(copy_directory: str, names: list[str], journal: str) -> tuple[dict[str, Any], list[str]]:
    """First position, the one to come, segments, records that are not believed."""
    firsts = sorted(int(m[2]) for n in names if (m := SEGMENT_NAME_PATTERN.fullmatch(n)) and m[1] == journal)
    summary: dict[str, Any] = {"first": firsts[0], "next": firsts[-1], "segments": len(firsts), "spoiled": 0}
    faults: list[str] = []
    for first, end in zip(firsts, [*firsts[1:], None], strict=True):
        path = os.path.join(copy_directory, f"journal-{journal}-{first:012}.db")
        segment = None
        try:
            segment = SealedFile(LocalFileSystem(), path)
            seal = segment.read_seal()
            end_position = seal.next_position if end is None else min(end, seal.next_position)
            summary["next"] = max(summary["next"], end_position)
            expected = first
            while expected < end_position and (records := segment.read_records(expected, RECORDS_PER_READ)):
                for position, _, value in records:
                    if position >= end_position:
                        break
                    missing = position - expected + (value is None)
                    if missing:
                        summary["spoiled"] += missing
                        faults.append(
                            f"{path}: spoiled: position {expected if position > expected else position}"
                        )
                    expected = position + 1
                if records[-1][0] >= end_position:
                    break
            if expected < end_position:
                summary["spoiled"] += end_position - expected
                faults.append(f"{path}: spoiled: positions {expected} to {end_position - 1} are not there")
        except StoreFileError as fault:
            faults.append(str(fault))
        finally:
            if segment is not None:
                segment.abandon()
    return summary, faults[:20] + ([f"and {len(faults) - 20} more"] if len(faults) > 20 else [])
