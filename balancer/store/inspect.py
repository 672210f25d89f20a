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

from balancer.core.persistence.persisted_state import Self, recall
from balancer.store.engine import JOURNAL, OURS, TABLES
from balancer.store.files import (
    Real,
    StoreFault,
    Trouble,
    of_os,
)
from balancer.store.sqlite_file import FORMAT, Piece, Row

COUNT = 1_000  # records of a journal read in one go


def show(directory: str) -> dict[str, Any]:
    """What is there, as plain data that JSON can hold; raises StoreFault where it is no folder.

    `owner` is the process that holds it or None; where there is one, `generations` and `journals` have names
    and bytes alone. `believed` is the generation that a start would take, None for none; `memory` what it
    would say.
    """
    owner, names = _owner(directory), _names(directory)
    out: dict[str, Any] = {
        "directory": directory,
        "owner": owner,
        "format": FORMAT,
        "believed": None,
        "memory": "none",
        "older": False,
        "node": None,
        "tables": {},
        "generations": [],
        "journals": [],
        "faults": [],
    }
    if owner is not None:
        out["memory"] = "in use"
        out["generations"] = [{"number": n, "bytes": _bytes(directory, name)} for n, name in _numbered(names)]
        out["journals"] = [{"name": name, "bytes": b} for name, b in _journal_bytes(directory, names).items()]
        return out
    with _copied(directory, names) as (copy, faults):
        out["faults"] = [str(fault) for fault in faults]
        for number, name in _numbered(names):
            told, rows, why = _generation(copy, name)
            out["generations"].append({"number": number, "bytes": _bytes(directory, name)} | told)
            out["faults"] += why
            if told["believed"] and out["believed"] is None:
                out["believed"], out["tables"] = number, {t: len(found) for t, found in sorted(rows.items())}
                found = _remembered(rows, number, told["wrote_ms"], out["older"])
                out["faults"] += found.pop("faults", [])
                out.update(found)
            out["older"] = out["older"] or out["believed"] is None
        if out["believed"] is None and out["older"]:
            out["memory"] = "lost"
        for journal, size in _journal_bytes(directory, names).items():
            segments, why = _journal(copy, names, journal)
            out["journals"].append({"name": journal, "bytes": size} | segments)
            out["faults"] += why
    out["faults"] = [line.replace(copy, directory) for line in out["faults"]]
    return out


def verify(directory: str) -> list[str]:
    """Every fault of every file, a line each; empty where all that is there can be believed.

    Raises StoreFault where a node holds the directory, or it is no folder.
    """
    owner = _owner(directory)
    if owner is not None:
        raise StoreFault(Trouble.OWNED, directory, f"process {owner} holds it; ask the node")
    out: list[str] = show(directory)["faults"]
    names = _names(directory)
    with _copied(directory, names) as (copy, _):
        for name in names:
            if not name.endswith(".db") or name == "new.db":
                continue
            with contextlib.suppress(StoreFault):  # told above
                piece = Piece(Real(), os.path.join(copy, name))
                out += [f"{os.path.join(directory, name)}: {line}" for line in piece.damage()]
                piece.abandon()
    return out


def clear(directory: str) -> list[str]:
    """Take away all that the store made; names of what went. Others' files stay, and links and folders.

    The node's identity goes with it: its next start is a first one. Raises StoreFault.
    """
    files = Real()
    try:
        held = files.lock(directory)
    except BlockingIOError as err:
        raise StoreFault(Trouble.OWNED, directory, "a node holds it: stop it first") from err
    except OSError as err:
        raise of_os(err, directory) from err
    try:
        out = [n for n in _names(directory) if files.plain(os.path.join(directory, n))]
        # The newest generation last: a clearing that is cut off leaves one that is still whole, or none.
        out.sort(key=lambda name: (name.startswith("tables-"), name.removesuffix("-wal")))
        for name in out:
            files.remove(os.path.join(directory, name))
        files.settle(directory)
    except OSError as err:
        raise of_os(err, directory) from err
    finally:
        held.release()
    return out


def _names(directory: str) -> list[str]:
    try:
        return sorted(name for name in os.listdir(directory) if OURS.fullmatch(name))
    except OSError as err:
        raise of_os(err, directory) from err


def _numbered(names: list[str]) -> list[tuple[int, str]]:
    """Generations, newest first."""
    return sorted(((int(m[1]), n) for n in names if (m := TABLES.fullmatch(n))), reverse=True)


def _owner(directory: str) -> int | None:
    """The process that holds it; 0 where it does not say."""
    path = os.path.join(directory, "owner")
    if not os.path.lexists(path):
        return None
    try:
        Real().lock(directory).release()
        return None
    except BlockingIOError:
        with open(path, "rb") as file:
            found = re.fullmatch(rb"(\d{1,10})\n", file.read(20))
        return int(found[1]) if found else 0
    except OSError as err:
        raise of_os(err, path) from err


def _bytes(directory: str, name: str) -> int:
    out = 0
    for part in (name, name + "-wal"):
        with contextlib.suppress(OSError):
            out += os.lstat(os.path.join(directory, part)).st_size
    return out


def _journal_bytes(directory: str, names: list[str]) -> dict[str, int]:
    out: dict[str, int] = {}
    for name in names:
        if match := JOURNAL.fullmatch(name):
            out[match[1]] = out.get(match[1], 0) + _bytes(directory, name)
    return out


@contextlib.contextmanager
def _copied(directory: str, names: list[str]) -> Iterator[tuple[str, list[StoreFault]]]:
    """A copy of the store's files, taken while nobody may write, and what could not be copied."""
    faults: list[StoreFault] = []
    files = Real()
    with tempfile.TemporaryDirectory(prefix="balancer-state-") as copy:
        copy = os.path.realpath(copy)
        held = files.lock(directory) if os.path.lexists(os.path.join(directory, "owner")) else None
        try:
            for name in names:
                path = os.path.join(directory, name)
                try:
                    if not files.plain(path):
                        what = "a folder or a link where a file should be"
                        faults.append(StoreFault(Trouble.FOREIGN, path, what))
                    else:
                        shutil.copyfile(path, os.path.join(copy, name), follow_symlinks=False)
                except OSError as err:
                    faults.append(of_os(err, path))
        finally:
            if held is not None:
                held.release()
        yield copy, faults


def _generation(copy: str, name: str) -> tuple[dict[str, Any], dict[str, dict[str, Row]], list[str]]:
    path = os.path.join(copy, name)
    told: dict[str, Any] = {"believed": False, "rows": 0, "wrote_ms": 0}
    if not os.path.exists(path):  # told as a fault where it was copied
        return told, {}, []
    piece = None
    try:
        piece = Piece(Real(), path)
        rows = piece.read_rows()
        told |= {"believed": True, "rows": piece.seal.rows, "wrote_ms": piece.seal.wrote_ms}
        return told, rows, []
    except StoreFault as fault:
        return told, {}, [str(fault)]
    finally:
        if piece is not None:
            piece.abandon()


def _remembered(rows: dict[str, dict[str, Row]], number: int, wrote_ms: int, older: bool) -> dict[str, Any]:
    """Whose memory it is, and what a start would make of it."""
    plain = {table: {key: row.value for key, row in found.items()} for table, found in rows.items()}
    try:
        me = msgspec.msgpack.decode(plain["self"]["node"], type=Self)
    except (KeyError, msgspec.MsgspecError):
        return {"memory": "lost"}
    found = recall(plain, number, older, wrote_ms, me.name, wrote_ms, float("inf"))
    node = {"id": me.id, "name": me.name, "incarnation": me.incarnation, "first_ms": me.first_ms}
    return {"memory": found.memory, "node": node, "faults": found.said}


def _journal(copy: str, names: list[str], journal: str) -> tuple[dict[str, Any], list[str]]:
    """First position, the one to come, segments, records that are not believed."""
    firsts = sorted(int(m[2]) for n in names if (m := JOURNAL.fullmatch(n)) and m[1] == journal)
    out: dict[str, Any] = {"first": firsts[0], "next": firsts[-1], "segments": len(firsts), "spoiled": 0}
    why: list[str] = []
    for first, end in zip(firsts, [*firsts[1:], None], strict=True):
        path = os.path.join(copy, f"journal-{journal}-{first:012}.db")
        piece = None
        try:
            piece = Piece(Real(), path)
            seal = piece.read_seal()
            stop = seal.next if end is None else min(end, seal.next)
            out["next"] = max(out["next"], stop)
            at = first
            while at < stop and (found := piece.read_records(at, COUNT)):
                for position, _, value in found:
                    if position >= stop:
                        break
                    missing = position - at + (value is None)
                    if missing:
                        out["spoiled"] += missing
                        why.append(f"{path}: spoiled: position {at if position > at else position}")
                    at = position + 1
                if found[-1][0] >= stop:
                    break
            if at < stop:
                out["spoiled"] += stop - at
                why.append(f"{path}: spoiled: positions {at} to {stop - 1} are not there")
        except StoreFault as fault:
            why.append(str(fault))
        finally:
            if piece is not None:
                piece.abandon()
    return out, why[:20] + ([f"and {len(why) - 20} more"] if len(why) > 20 else [])
