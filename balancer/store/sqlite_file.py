"""One file of the store: SQLite in WAL mode, held by one connection, its content sealed.

The *seal* is one record that is written with every commit: how many rows there are, the XOR of their
checksums, the last stamp and the wall time. A flipped bit, a lost row or one in another's place breaks a
row's checksum or the seal; both are XXH3 of 64 bits over all that makes up the record. SQLite's own structure
is looked at by reading all of the file once, at the start.

`synchronous=FULL`: each commit is one fsync of the WAL. `locking_mode=EXCLUSIVE`: no shared memory is needed,
so any VFS does.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import apsw
import msgspec
import xxhash

from balancer.store.files import (
    Files,
    StoreFault,
    Trouble,
    of_os,
)

APPLICATION = 0x444C5053  # SQLite's application_id of these files
FORMAT = 1  # of what is written; see engine.MIGRATIONS for the way up
_TROUBLES: dict[type, Trouble] = {
    apsw.FullError: Trouble.FULL,
    apsw.ReadOnlyError: Trouble.READ_ONLY,
    apsw.PermissionsError: Trouble.READ_ONLY,
    apsw.BusyError: Trouble.OWNED,
    apsw.LockedError: Trouble.OWNED,
    apsw.CantOpenError: Trouble.FOREIGN,
    apsw.CorruptError: Trouble.SPOILED,
    apsw.NotADBError: Trouble.SPOILED,
    apsw.SQLError: Trouble.SPOILED,
    apsw.ConstraintError: Trouble.SPOILED,
    apsw.MismatchError: Trouble.SPOILED,
    ValueError: Trouble.SPOILED,
    TypeError: Trouble.SPOILED,
    msgspec.ValidationError: Trouble.SPOILED,
    msgspec.DecodeError: Trouble.SPOILED,
}


class Row(NamedTuple):
    """A value as it is kept: `stamp` rises with each write, `sum` covers all of it and where it stands."""

    stamp: int
    value: bytes
    sum: int


class Seal(msgspec.Struct, frozen=True, array_like=True):
    """What a piece says of itself. `first` is a journal's first position, `next` the one to come."""

    rows: int = 0
    digest: int = 0
    stamp: int = 0
    wrote_ms: int = 0
    first: int = 0
    next: int = 0


def checksum(table: str, key: str, stamp: int, value: bytes) -> int:
    """XXH3 (64 bits, signed as SQLite has them) over a record and its place."""
    found = xxhash.xxh3_64_intdigest(f"{table}\0{key}\0{stamp}\0".encode() + value)
    return found - (1 << 64) if found >> 63 else found


def of_sqlite(err: BaseException, where: str) -> StoreFault:
    """The fault that an error of SQLite stands for."""
    if isinstance(err, OSError):
        return of_os(err, where)
    return StoreFault(_TROUBLES.get(type(err), Trouble.FAILED), where, str(err) or type(err).__name__)


@contextlib.contextmanager
def told(where: str) -> Iterator[None]:
    """Whatever SQLite or the file layer raises within comes out as a StoreFault."""
    try:
        yield
    except StoreFault:
        raise
    except (apsw.Error, OSError, ValueError, TypeError, msgspec.MsgspecError) as err:
        raise of_sqlite(err, where) from err


class Piece:
    """An open file. One thread at a time; after any StoreFault of a write it is to be abandoned."""

    def __init__(self, files: Files, path: str, make: bool = False) -> None:
        """Open it, or `make` it; raises StoreFault."""
        self.path = path
        self.seal = Seal()
        flags = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_NOFOLLOW
        with told(path):
            if not make and not files.plain(path):
                raise StoreFault(Trouble.FOREIGN, path, "a folder or a link where a file should be")
            flags |= apsw.SQLITE_OPEN_CREATE if make else 0
            self._db = apsw.Connection(path, flags=flags, vfs=files.vfs)
        try:
            with told(path):
                self._begin(make)
        except BaseException:
            self.abandon()
            raise

    def _begin(self, make: bool) -> None:
        run = self._db.execute
        run("pragma locking_mode=exclusive")
        run("pragma trusted_schema=off")
        run("pragma cell_size_check=on")
        # One that is made counts from `finish` on: eight syncs are spared if this comes before what follows.
        run(f"pragma synchronous={'off' if make else 'full'}")
        if make:
            run(f"pragma application_id={APPLICATION}")
            run(f"pragma user_version={FORMAT}")
        else:
            owner, version = _one(run("pragma application_id")), _one(run("pragma user_version"))
            if owner != APPLICATION:
                raise StoreFault(Trouble.FOREIGN, self.path, "a file that another program made")
            if version != FORMAT and not 0 < int(version) < FORMAT:
                what = f"version {version}, where this program knows 1 to {FORMAT}"
                raise StoreFault(Trouble.FORMAT, self.path, what)
            self.version = int(version)
        run("pragma journal_mode=wal").fetchall()
        run("pragma wal_autocheckpoint=1000")
        if make:
            self.version = FORMAT
            run(
                "create table seal (id integer primary key, value blob, sum integer);"
                "create table rows (tab text, key text, stamp integer, value blob, sum integer,"
                " primary key (tab, key)) without rowid;"
                "create table records (position integer primary key, at_ms integer, value blob, sum integer)"
            )

    # --- writing ---

    def commit(
        self,
        seal: Seal,
        rows: Iterable[tuple[str, str, Row | None]] = (),
        records: Iterable[tuple[int, int, bytes]] = (),
    ) -> None:
        """One transaction, durable once this returns. None takes a row away. Raises StoreFault."""
        run = self._db.execute
        with told(self.path):
            run("begin immediate")
            for table, key, row in rows:
                if row is None:
                    run("delete from rows where tab=? and key=?", (table, key))
                else:
                    run("insert or replace into rows values (?,?,?,?,?)", (table, key, *row))
            for position, at_ms, value in records:
                summed = checksum("", str(position), at_ms, value)
                run("insert into records values (?,?,?,?)", (position, at_ms, value, summed))
            packed = msgspec.msgpack.encode(seal)
            run("insert or replace into seal values (0,?,?)", (packed, checksum("seal", "", 0, packed)))
            run("commit")
            self.seal = seal

    def finish(self) -> None:
        """Bring all into the main file, synced, and close; raises StoreFault."""
        with told(self.path):
            self._db.execute("pragma synchronous=full")
            busy = _one(self._db.execute("pragma wal_checkpoint(truncate)"))
            if busy:
                raise StoreFault(Trouble.FAILED, self.path, "the log could not be brought into the file")
            self._db.close()

    def abandon(self) -> None:
        """Close without a write: nothing that was not synced is brought any further."""
        with contextlib.suppress(apsw.Error, OSError):
            self._db.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1)
        with contextlib.suppress(apsw.Error, OSError):
            self._db.close(True)

    # --- reading ---

    def read_seal(self) -> Seal:
        """The seal, checked; raises StoreFault."""
        with told(self.path):
            found = self._db.execute("select value, sum from seal where id=0").fetchall()
            if len(found) != 1 or not isinstance(value := found[0][0], bytes):
                raise StoreFault(Trouble.SPOILED, self.path, "it has no seal")
            summed = found[0][1]
            if checksum("seal", "", 0, value) != summed:
                raise StoreFault(Trouble.SPOILED, self.path, "its seal is broken")
            self.seal = msgspec.msgpack.decode(value, type=Seal)
            return self.seal

    def read_rows(self) -> dict[str, dict[str, Row]]:
        """All rows by table and key, each checked and the whole against the seal; raises StoreFault."""
        out: dict[str, dict[str, Row]] = {}
        count = digest = 0
        with told(self.path):
            seal = self.read_seal()
            for table, key, *rest in self._db.execute("select tab, key, stamp, value, sum from rows"):
                row = Row(*rest)
                good = isinstance(table, str) and isinstance(key, str) and isinstance(row.value, bytes)
                if not good or checksum(table, key, row.stamp, row.value) != row.sum:
                    raise StoreFault(Trouble.SPOILED, self.path, f"the checksum of {table!r:.40} {key!r:.80}")
                out.setdefault(table, {})[key] = row
                count, digest = count + 1, digest ^ row.sum
        if (count, digest) != (seal.rows, seal.digest):
            what = f"{count} rows that are not the {seal.rows} of its seal"
            raise StoreFault(Trouble.SPOILED, self.path, what)
        return out

    def read_records(self, position: int, count: int) -> list[tuple[int, int, bytes | None]]:
        """Records from `position` on: position, wall ms, value, None for one that is not believed."""
        out: list[tuple[int, int, bytes | None]] = []
        found = self._db.execute(
            "select position, at_ms, value, sum from records where position>=? order by position limit ?",
            (position, count),
        )
        with told(self.path):
            for at, at_ms, value, summed in found:
                good = isinstance(value, bytes) and checksum("", str(at), at_ms, value) == summed
                out.append((at, at_ms, value if good else None))
        return out

    def damage(self) -> list[str]:
        """What SQLite says of its own structure, a line a fault; empty where it is sound."""
        try:
            with told(self.path):
                found = [str(row[0]) for row in self._db.execute("pragma integrity_check(20)")]
        except StoreFault as fault:
            return [fault.what]
        return [] if found == ["ok"] else found


def _one(found: Iterable[tuple[object, ...]]) -> int:
    for row in found:
        return int(str(row[0]))
    return 0
