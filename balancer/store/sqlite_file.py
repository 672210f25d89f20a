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

from balancer.store.errors import FaultKind, StoreFileError, store_error_from_os
from balancer.store.files import FileSystem

APPLICATION_ID = 0x444C5053  # SQLite's application_id of these files
FORMAT_VERSION = 1  # of what is written; see engine.MIGRATIONS for the way up
_FAULT_KIND_BY_EXCEPTION: dict[type, FaultKind] = {
    apsw.FullError: FaultKind.DISK_FULL,
    apsw.ReadOnlyError: FaultKind.READ_ONLY,
    apsw.PermissionsError: FaultKind.READ_ONLY,
    apsw.BusyError: FaultKind.LOCKED,
    apsw.LockedError: FaultKind.LOCKED,
    apsw.CantOpenError: FaultKind.FOREIGN,
    apsw.CorruptError: FaultKind.CORRUPT,
    apsw.NotADBError: FaultKind.CORRUPT,
    apsw.SQLError: FaultKind.CORRUPT,
    apsw.ConstraintError: FaultKind.CORRUPT,
    apsw.MismatchError: FaultKind.CORRUPT,
    ValueError: FaultKind.CORRUPT,
    TypeError: FaultKind.CORRUPT,
    msgspec.ValidationError: FaultKind.CORRUPT,
    msgspec.DecodeError: FaultKind.CORRUPT,
}


class Row(NamedTuple):
    """A value as it is kept: `stamp` rises with each write, `sum` covers all of it and where it stands."""

    sequence_number: int
    value: bytes
    checksum: int


class Seal(msgspec.Struct, frozen=True, array_like=True):
    """What a piece says of itself. `first` is a journal's first position, `next` the one to come."""

    row_count: int = 0
    checksum_xor: int = 0
    last_sequence_number: int = 0
    committed_at_ms: int = 0
    first_position: int = 0
    next_position: int = 0


def record_checksum(table: str, key: str, sequence_number: int, value: bytes) -> int:
    """XXH3 (64 bits, signed as SQLite has them) over a record and its place."""
    digest = xxhash.xxh3_64_intdigest(f"{table}\0{key}\0{sequence_number}\0".encode() + value)
    return digest - (1 << 64) if digest >> 63 else digest


def store_error_from_sqlite(error: BaseException, path: str) -> StoreFileError:
    """The fault that an error of SQLite stands for."""
    if isinstance(error, OSError):
        return store_error_from_os(error, path)
    return StoreFileError(
        _FAULT_KIND_BY_EXCEPTION.get(type(error), FaultKind.IO_ERROR),
        path,
        str(error) or type(error).__name__,
    )


@contextlib.contextmanager
def translate_sqlite_errors(path: str) -> Iterator[None]:
    """Whatever SQLite or the file layer raises within comes out as a StoreFault."""
    try:
        yield
    except StoreFileError:
        raise
    except (apsw.Error, OSError, ValueError, TypeError, msgspec.MsgspecError) as error:
        raise store_error_from_sqlite(error, path) from error


class SealedFile:
    """An open file. One thread at a time; after any StoreFault of a write it is to be abandoned."""

    def __init__(self, file_system: FileSystem, path: str, create: bool = False) -> None:
        """Open it, or `make` it; raises StoreFault."""
        self.path = path
        self.seal = Seal()
        flags = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_NOFOLLOW
        with translate_sqlite_errors(path):
            if not create and not file_system.is_regular_file(path):
                raise StoreFileError(FaultKind.FOREIGN, path, "a folder or a link where a file should be")
            flags |= apsw.SQLITE_OPEN_CREATE if create else 0
            self._connection = apsw.Connection(path, flags=flags, vfs=file_system.vfs_name)
        try:
            with translate_sqlite_errors(path):
                self._configure(create)
        except BaseException:
            self.abandon()
            raise

    def _configure(self, create: bool) -> None:
        execute = self._connection.execute
        execute("pragma locking_mode=exclusive")
        execute("pragma trusted_schema=off")
        execute("pragma cell_size_check=on")
        # One that is made counts from `finish` on: eight syncs are spared if this comes before what follows.
        execute(f"pragma synchronous={'off' if create else 'full'}")
        if create:
            execute(f"pragma application_id={APPLICATION_ID}")
            execute(f"pragma user_version={FORMAT_VERSION}")
        else:
            owner, version = (
                _first_integer(execute("pragma application_id")),
                _first_integer(execute("pragma user_version")),
            )
            if owner != APPLICATION_ID:
                raise StoreFileError(FaultKind.FOREIGN, self.path, "a file that another program made")
            if version != FORMAT_VERSION and not 0 < int(version) < FORMAT_VERSION:
                what = f"version {version}, where this program knows 1 to {FORMAT_VERSION}"
                raise StoreFileError(FaultKind.UNSUPPORTED_FORMAT, self.path, what)
            self.format_version = int(version)
        execute("pragma journal_mode=wal").fetchall()
        execute("pragma wal_autocheckpoint=1000")
        if create:
            self.format_version = FORMAT_VERSION
            execute(
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
        execute = self._connection.execute
        with translate_sqlite_errors(self.path):
            execute("begin immediate")
            for table, key, row in rows:
                if row is None:
                    execute("delete from rows where tab=? and key=?", (table, key))
                else:
                    execute("insert or replace into rows values (?,?,?,?,?)", (table, key, *row))
            for position, at_ms, value in records:
                checksum = record_checksum("", str(position), at_ms, value)
                execute("insert into records values (?,?,?,?)", (position, at_ms, value, checksum))
            packed = msgspec.msgpack.encode(seal)
            execute(
                "insert or replace into seal values (0,?,?)", (packed, record_checksum("seal", "", 0, packed))
            )
            execute("commit")
            self.seal = seal

    def checkpoint_and_close(self) -> None:
        """Bring all into the main file, synced, and close; raises StoreFault."""
        with translate_sqlite_errors(self.path):
            self._connection.execute("pragma synchronous=full")
            busy = _first_integer(self._connection.execute("pragma wal_checkpoint(truncate)"))
            if busy:
                raise StoreFileError(
                    FaultKind.IO_ERROR, self.path, "the log could not be brought into the file"
                )
            self._connection.close()

    def abandon(self) -> None:
        """Close without a write: nothing that was not synced is brought any further."""
        with contextlib.suppress(apsw.Error, OSError):
            self._connection.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1)
        with contextlib.suppress(apsw.Error, OSError):
            self._connection.close(True)

    # --- reading ---

    def read_seal(self) -> Seal:
        """The seal, checked; raises StoreFault."""
        with translate_sqlite_errors(self.path):
            found = self._connection.execute("select value, sum from seal where id=0").fetchall()
            if len(found) != 1 or not isinstance(value := found[0][0], bytes):
                raise StoreFileError(FaultKind.CORRUPT, self.path, "it has no seal")
            summed = found[0][1]
            if record_checksum("seal", "", 0, value) != summed:
                raise StoreFileError(FaultKind.CORRUPT, self.path, "its seal is broken")
            self.seal = msgspec.msgpack.decode(value, type=Seal)
            return self.seal

    def read_rows(self) -> dict[str, dict[str, Row]]:
        """All rows by table and key, each checked and the whole against the seal; raises StoreFault."""
        tables: dict[str, dict[str, Row]] = {}
        count = digest = 0
        with translate_sqlite_errors(self.path):
            seal = self.read_seal()
            for table, key, *rest in self._connection.execute("select tab, key, stamp, value, sum from rows"):
                row = Row(*rest)
                has_valid_types = (
                    isinstance(table, str) and isinstance(key, str) and isinstance(row.value, bytes)
                )
                if (
                    not has_valid_types
                    or record_checksum(table, key, row.sequence_number, row.value) != row.checksum
                ):
                    raise StoreFileError(
                        FaultKind.CORRUPT, self.path, f"the checksum of {table!r:.40} {key!r:.80}"
                    )
                tables.setdefault(table, {})[key] = row
                count, digest = count + 1, digest ^ row.checksum
        if (count, digest) != (seal.row_count, seal.checksum_xor):
            what = f"{count} rows that are not the {seal.row_count} of its seal"
            raise StoreFileError(FaultKind.CORRUPT, self.path, what)
        return tables

    def read_records(self, position: int, count: int) -> list[tuple[int, int, bytes | None]]:
        """Records from `position` on: position, wall ms, value, None for one that is not believed."""
        records: list[tuple[int, int, bytes | None]] = []
        found = self._connection.execute(
            "select position, at_ms, value, sum from records where position>=? order by position limit ?",
            (position, count),
        )
        with translate_sqlite_errors(self.path):
            for record_position, at_ms, value, checksum in found:
                is_valid = (
                    isinstance(value, bytes)
                    and record_checksum("", str(record_position), at_ms, value) == checksum
                )
                records.append((record_position, at_ms, value if is_valid else None))
        return records

    def structure_faults(self) -> list[str]:
        """What SQLite says of its own structure, a line a fault; empty where it is sound."""
        try:
            with translate_sqlite_errors(self.path):
                found = [str(row[0]) for row in self._connection.execute("pragma integrity_check(20)")]
        except StoreFileError as fault:
            return [fault.detail]
        return [] if found == ["ok"] else found


def _first_integer(found: Iterable[tuple[object, ...]]) -> int:
    for row in found:
        return int(str(row[0]))
    return 0
