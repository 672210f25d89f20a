"""One file of the store: SQLite in WAL mode on one connection, with a checksum of each record and a seal.

The *seal* is one record that is written with every commit: the number of rows, the XOR of their checksums,
the last sequence number and the wall time. A flipped bit, a lost row or a row in another row's place
invalidates the row's checksum or the seal. All checksums are 64-bit XXH3 over the complete record. SQLite's
own structure is checked by reading the complete file once, at the start.

With `synchronous=FULL` each commit is one fsync of the WAL. With `locking_mode=EXCLUSIVE` no shared memory is
needed, so any VFS can be used.
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

APPLICATION_ID = 0x444C5053
"""SQLite's application_id in the store's files."""
FORMAT_VERSION = 1
"""SQLite's user_version in files that are written; engine.MIGRATIONS converts older versions."""
SEAL_TABLE = "seal"
"""Table name in the checksum of the seal."""
WAL_CHECKPOINT_PAGES = 1_000
MAX_STRUCTURE_FAULTS = 20
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
_CREATE_TABLES = (
    "create table seal (id integer primary key, value blob, sum integer);"
    "create table rows (tab text, key text, stamp integer, value blob, sum integer,"
    " primary key (tab, key)) without rowid;"
    "create table records (position integer primary key, at_ms integer, value blob, sum integer)"
)


class Row(NamedTuple):
    """A stored value; the fields are the columns of the table, in this order.

    `sequence_number` increases with each change; `checksum` covers the row, its table and its key.
    """

    sequence_number: int
    value: bytes
    checksum: int


Tables = dict[str, dict[str, Row]]
"""Rows by table and key."""


class RowChange(NamedTuple):
    """The new row of a key of a table; None removes the row."""

    table: str
    key: str
    row: Row | None


class JournalRecord(NamedTuple):
    """One record of a journal; `value` is None if the record is missing or its checksum is wrong."""

    position: int
    written_at_ms: int
    """Wall clock."""
    value: bytes | None


class Seal(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a file's content, stored in the file. The field order is that of the stored array."""

    row_count: int = 0
    checksum_xor: int = 0
    last_sequence_number: int = 0
    committed_at_ms: int = 0
    """Wall clock of the last commit."""
    first_position: int = 0
    """In a journal segment: the position of its first record."""
    next_position: int = 0
    """In a journal segment: the position of the next record to be appended."""


def record_checksum(table: str, key: str, sequence_number: int, value: bytes) -> int:
    """XXH3 (64 bits, signed like SQLite's integers) over a record, its table and its key."""
    digest = xxhash.xxh3_64_intdigest(f"{table}\0{key}\0{sequence_number}\0".encode() + value)
    return digest - (1 << 64) if digest >> 63 else digest


def store_error_from_sqlite(error: BaseException, path: str) -> StoreFileError:
    """Converts an error of SQLite, of the file system or of decoding."""
    if isinstance(error, OSError):
        return store_error_from_os(error, path)
    kind = _FAULT_KIND_BY_EXCEPTION.get(type(error), FaultKind.IO_ERROR)
    return StoreFileError(kind, path, str(error) or type(error).__name__)


@contextlib.contextmanager
def translate_sqlite_errors(path: str) -> Iterator[None]:
    """Raises an error of SQLite, of the file system or of decoding as a StoreFileError about `path`."""
    try:
        yield
    except StoreFileError:
        raise
    except (apsw.Error, OSError, ValueError, TypeError, msgspec.MsgspecError) as error:
        raise store_error_from_sqlite(error, path) from error


class SealedFile:
    """An open file, used by one thread at a time. Once a write has failed it must be abandoned."""

    def __init__(self, file_system: FileSystem, path: str, create: bool = False) -> None:
        """Opens or creates the file; raises StoreFileError.

        A new file is not synced before `checkpoint_and_close`.
        """
        self.path = path
        self.seal = Seal()
        self.format_version = FORMAT_VERSION
        flags = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_NOFOLLOW
        with translate_sqlite_errors(path):
            if not create and not file_system.is_regular_file(path):
                raise StoreFileError(
                    FaultKind.FOREIGN, path, "a directory or a link where a file is expected"
                )
            flags |= apsw.SQLITE_OPEN_CREATE if create else 0
            self._connection = apsw.Connection(path, flags=flags, vfs=file_system.vfs_name)
        try:
            with translate_sqlite_errors(path):
                if create:
                    self._configure_new()
                else:
                    self._configure_existing()
        except BaseException:
            self.abandon()
            raise

    def _configure_new(self) -> None:
        execute = self._connection.execute
        self._restrict_connection()
        # The file is not used before `checkpoint_and_close`: set first, this saves eight syncs below.
        execute("pragma synchronous=off")
        execute(f"pragma application_id={APPLICATION_ID}")
        execute(f"pragma user_version={FORMAT_VERSION}")
        self._enable_wal()
        execute(_CREATE_TABLES)

    def _configure_existing(self) -> None:
        execute = self._connection.execute
        self._restrict_connection()
        execute("pragma synchronous=full")
        application_id = _first_integer(execute("pragma application_id"))
        version = _first_integer(execute("pragma user_version"))
        if application_id != APPLICATION_ID:
            raise StoreFileError(FaultKind.FOREIGN, self.path, "the file was created by another program")
        if not 0 < version <= FORMAT_VERSION:
            detail = f"version {version}, but this program reads only versions 1 to {FORMAT_VERSION}"
            raise StoreFileError(FaultKind.UNSUPPORTED_FORMAT, self.path, detail)
        self.format_version = version
        self._enable_wal()

    def _restrict_connection(self) -> None:
        self._connection.execute("pragma locking_mode=exclusive")
        self._connection.execute("pragma trusted_schema=off")
        self._connection.execute("pragma cell_size_check=on")

    def _enable_wal(self) -> None:
        self._connection.execute("pragma journal_mode=wal").fetchall()
        self._connection.execute(f"pragma wal_autocheckpoint={WAL_CHECKPOINT_PAGES}")

    # --- writing ---

    def commit(
        self, seal: Seal, rows: Iterable[RowChange] = (), records: Iterable[JournalRecord] = ()
    ) -> None:
        """Writes one transaction, durable on return; raises StoreFileError. Each record must have a value."""
        execute = self._connection.execute
        with translate_sqlite_errors(self.path):
            execute("begin immediate")
            for table, key, row in rows:
                if row is None:
                    execute("delete from rows where tab=? and key=?", (table, key))
                else:
                    execute("insert or replace into rows values (?,?,?,?,?)", (table, key, *row))
            for position, written_at_ms, value in records:
                assert value is not None
                checksum = record_checksum("", str(position), written_at_ms, value)
                execute("insert into records values (?,?,?,?)", (position, written_at_ms, value, checksum))
            packed = msgspec.msgpack.encode(seal)
            checksum = record_checksum(SEAL_TABLE, "", 0, packed)
            execute("insert or replace into seal values (0,?,?)", (packed, checksum))
            execute("commit")
            self.seal = seal

    def checkpoint_and_close(self) -> None:
        """Copies the write-ahead log into the main file, synced, and closes it; raises StoreFileError."""
        with translate_sqlite_errors(self.path):
            self._connection.execute("pragma synchronous=full")
            is_busy = _first_integer(self._connection.execute("pragma wal_checkpoint(truncate)"))
            if is_busy:
                detail = "the write-ahead log could not be checkpointed"
                raise StoreFileError(FaultKind.IO_ERROR, self.path, detail)
            self._connection.close()

    def abandon(self) -> None:
        """Closes without a checkpoint: data that was not synced is not copied into the main file."""
        with contextlib.suppress(apsw.Error, OSError):
            self._connection.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1)
        with contextlib.suppress(apsw.Error, OSError):
            self._connection.close(True)

    # --- reading ---

    def read_seal(self) -> Seal:
        """Reads the seal and verifies its checksum; raises StoreFileError."""
        with translate_sqlite_errors(self.path):
            seal_rows = self._connection.execute("select value, sum from seal where id=0").fetchall()
            if len(seal_rows) != 1 or not isinstance(value := seal_rows[0][0], bytes):
                raise StoreFileError(FaultKind.CORRUPT, self.path, "the seal is missing")
            if record_checksum(SEAL_TABLE, "", 0, value) != seal_rows[0][1]:
                raise StoreFileError(FaultKind.CORRUPT, self.path, "the checksum of the seal is wrong")
            self.seal = msgspec.msgpack.decode(value, type=Seal)
            return self.seal

    def read_rows(self) -> Tables:
        """Reads all rows and verifies each checksum, and all rows against the seal; raises StoreFileError."""
        tables: Tables = {}
        row_count = checksum_xor = 0
        with translate_sqlite_errors(self.path):
            seal = self.read_seal()
            for table, key, *columns in self._connection.execute(
                "select tab, key, stamp, value, sum from rows"
            ):
                row = Row(*columns)
                has_valid_types = (
                    isinstance(table, str) and isinstance(key, str) and isinstance(row.value, bytes)
                )
                if (
                    not has_valid_types
                    or record_checksum(table, key, row.sequence_number, row.value) != row.checksum
                ):
                    detail = f"the checksum of {table!r:.40} {key!r:.80} is wrong"
                    raise StoreFileError(FaultKind.CORRUPT, self.path, detail)
                tables.setdefault(table, {})[key] = row
                row_count, checksum_xor = row_count + 1, checksum_xor ^ row.checksum
        if (row_count, checksum_xor) != (seal.row_count, seal.checksum_xor):
            detail = f"{row_count} rows that do not match the seal of {seal.row_count} rows"
            raise StoreFileError(FaultKind.CORRUPT, self.path, detail)
        return tables

    def read_records(self, position: int, count: int) -> list[JournalRecord]:
        """Reads up to `count` existing records from `position` on; raises StoreFileError.

        A record with a wrong checksum has no value.
        """
        records: list[JournalRecord] = []
        rows = self._connection.execute(
            "select position, at_ms, value, sum from records where position>=? order by position limit ?",
            (position, count),
        )
        with translate_sqlite_errors(self.path):
            for record_position, written_at_ms, value, checksum in rows:
                is_valid = (
                    isinstance(value, bytes)
                    and record_checksum("", str(record_position), written_at_ms, value) == checksum
                )
                records.append(JournalRecord(record_position, written_at_ms, value if is_valid else None))
        return records

    def structure_faults(self) -> list[str]:
        """Faults that SQLite reports in its own structure, one a line; empty if there are none."""
        try:
            with translate_sqlite_errors(self.path):
                rows = self._connection.execute(f"pragma integrity_check({MAX_STRUCTURE_FAULTS})")
                lines = [str(row[0]) for row in rows]
        except StoreFileError as error:
            return [error.detail]
        return [] if lines == ["ok"] else lines


def _first_integer(rows: Iterable[tuple[object, ...]]) -> int:
    """The first column of the first row; 0 if there is none."""
    for row in rows:
        return int(str(row[0]))
    return 0
