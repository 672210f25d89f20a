"""The storage engine of one directory: exclusive ownership, generations of the tables, journals.

*A generation* is a file with all tables. It is written completely under another name, synced and renamed, and
the directory is synced, before an older generation is removed; later changes are added to it. The first write
after each start begins a new generation, so a file with a damaged structure is never written to again. The
generation number only increases and is part of the file name, so it is known even if the file cannot be read.
`open` itself writes no record and waits for no sync: the restored tables are available at once, and their
file stays until the new one is durable.

*A failed write or sync* ends the use of its file: data in the page cache may never reach the disk, and a
second fsync would report success (Rebello et al., "Can Applications Recover from fsync Failures?", ATC 2020).
All writes to the file since the last successful sync are disregarded: the tables continue in a new
generation, which consists of the rows known to be durable and of the changes to be written; a journal
continues in a new segment (see `journal`).

`Engine` starts no thread, is called by one thread at a time and blocks. Bounds: MAX_ROWS rows,
RETAINED_GENERATION_COUNT valid generations and as many invalid ones; `store` bounds keys and values.
"""

from __future__ import annotations

import contextlib
import operator
from collections.abc import Callable, Iterator, Mapping, Sequence
from functools import reduce
from typing import NamedTuple

import msgspec

from balancer.store.directory import (
    StoreDirectory,
    generation_file_name,
    generation_numbers,
    segment_positions,
)
from balancer.store.errors import FaultKind, StoreFileError, translate_os_errors
from balancer.store.files import DirectoryLock, FileSystem
from balancer.store.journal import SEGMENT_SIZE_BYTES, Journal, JournalRange
from balancer.store.sqlite_file import (
    FORMAT_VERSION,
    JournalRecord,
    Row,
    RowChange,
    Seal,
    SealedFile,
    Tables,
    record_checksum,
)

MAX_ROWS = 200_000
RETAINED_GENERATION_COUNT = 2
"""Valid generations that are kept; as many invalid ones are kept for inspection."""

PlainTables = dict[str, dict[str, bytes]]
"""Values by table and key."""
Migration = Callable[[PlainTables], PlainTables]
MIGRATIONS: tuple[Migration, ...] = ()
"""The migration at index n converts tables of format version n + 1 to version n + 2."""


class Put(NamedTuple):
    """Sets a key of a table."""

    table: str
    key: str
    value: bytes


class Delete(NamedTuple):
    """Removes a key from a table; a missing key is not an error."""

    table: str
    key: str


Change = Put | Delete


class TableKey(NamedTuple):
    """A key and the table it belongs to."""

    table: str
    key: str


class _PlannedCommit(NamedTuple):
    """The final row of each changed key, and the seal of the tables after the commit."""

    rows: list[RowChange]
    seal: Seal


class OpenResult(msgspec.Struct):
    """The outcome of `Engine.open`."""

    next_generation: int = 0
    """The generation that the first write begins."""
    restored_generation: int = 0
    """The generation that was loaded; 0 if none was."""
    is_outdated: bool = False
    """A newer generation exists but is invalid: durable changes may be missing."""
    committed_at_ms: int = 0
    """Wall clock of the last commit of the loaded generation."""
    faults: list[StoreFileError] = []
    """One error for each invalid file."""


class Engine:
    """One directory, owned from `open` to `close`."""

    def __init__(
        self,
        file_system: FileSystem,
        directory: str,
        wall_clock_ms: Callable[[], int],
        migrations: Sequence[Migration] = MIGRATIONS,
        segment_size_bytes: int = SEGMENT_SIZE_BYTES,
    ) -> None:
        self._directory = StoreDirectory(file_system, directory)
        self.file_system, self.wall_clock_ms = file_system, wall_clock_ms
        self.migrations, self.segment_size_bytes = migrations, segment_size_bytes
        self.tables: Tables = {}  # durable rows only
        self.generation = 0  # number of the newest generation
        self._lock: DirectoryLock | None = None
        self._generation_file: SealedFile | None = None
        self._generation_inode = 0
        self._seal = Seal()
        self._journals: dict[str, Journal] = {}
        # Generations to remove once this start has begun its own; None after that.
        self._surplus_generations: list[int] | None = None

    @property
    def directory(self) -> str:
        """Absolute path of the directory."""
        return self._directory.path

    # --- opening ---

    def open(self) -> OpenResult:
        """Locks the directory and loads the newest valid generation; syncs nothing.

        Raises StoreFileError, of kind LOCKED while another living process has the directory.
        """
        result = OpenResult()
        self._lock = self._lock_directory()
        try:
            names = self._directory.sweep_unfinished_files()
            numbers = generation_numbers(names)
            self.generation = numbers[0] if numbers else 0
            valid_numbers = self._load_newest_valid(numbers, result)
            self._journals = {
                name: self._new_journal(name, first_positions)
                for name, first_positions in segment_positions(names).items()
            }
            for journal in self._journals.values():
                try:
                    journal.resume()
                except StoreFileError as error:
                    result.faults.append(error)
            invalid_numbers = [number for number in numbers if number not in valid_numbers]
            # The generation that this start will begin counts towards the valid ones that are kept.
            surplus = valid_numbers[RETAINED_GENERATION_COUNT - 1 :]
            self._surplus_generations = surplus + invalid_numbers[RETAINED_GENERATION_COUNT:]
        except BaseException:
            self.close()
            raise
        result.next_generation = self.generation + 1
        return result

    def _lock_directory(self) -> DirectoryLock:
        with translate_os_errors(self.directory):
            try:
                return self.file_system.lock(self.directory)
            except BlockingIOError as error:
                detail = str(error.strerror or error)
                raise StoreFileError(FaultKind.LOCKED, self.directory, detail) from error

    def _new_journal(self, name: str, first_positions: Sequence[int] = ()) -> Journal:
        return Journal(self._directory, name, self.wall_clock_ms, self.segment_size_bytes, first_positions)

    def _load_newest_valid(self, numbers: Sequence[int], result: OpenResult) -> list[int]:
        """Loads the first valid generation of `numbers`; returns the numbers of all valid ones."""
        valid_numbers: list[int] = []
        for number in numbers:
            generation_file = None
            try:
                generation_file = self._directory.open_file(generation_file_name(number))
                rows = generation_file.read_rows()
                if not valid_numbers:
                    self._load(rows, generation_file)
                    result.restored_generation = number
                    result.committed_at_ms = generation_file.seal.committed_at_ms
                valid_numbers.append(number)
            except StoreFileError as error:
                result.faults.append(error)
                result.is_outdated = result.is_outdated or not valid_numbers
            finally:
                if generation_file is not None:
                    generation_file.abandon()
        return valid_numbers

    def _load(self, rows: Tables, generation_file: SealedFile) -> None:
        self.tables = self._migrate(rows, generation_file.format_version)
        checksums = [row.checksum for table in self.tables.values() for row in table.values()]
        checksum_xor = reduce(operator.xor, checksums, 0)
        self._seal = msgspec.structs.replace(
            generation_file.seal, row_count=len(checksums), checksum_xor=checksum_xor
        )

    def _migrate(self, rows: Tables, version: int) -> Tables:
        """Converts rows of an older format version; the file itself is left unchanged."""
        if version >= FORMAT_VERSION:
            return rows
        values = {name: {key: row.value for key, row in table.items()} for name, table in rows.items()}
        for migration in self.migrations[version - 1 : FORMAT_VERSION - 1]:
            values = migration(values)
        return {
            name: {key: Row(1, value, record_checksum(name, key, 1, value)) for key, value in table.items()}
            for name, table in values.items()
        }

    # --- tables ---

    def commit(self, changes: Sequence[Change]) -> int:
        """Makes all changes durable or none of them; returns the sequence number of the last one.

        Raises ValueError if there would be more than MAX_ROWS rows, and StoreFileError; after a
        StoreFileError the file in use is abandoned, and the next `commit` begins a generation.
        """
        planned = self._plan_commit(changes)
        try:
            if self._generation_file is None:
                self.begin_generation(planned.rows, planned.seal)
            else:
                self._check_generation_file()
                self._generation_file.commit(planned.seal, planned.rows)
        except BaseException:
            self._abandon_generation_file()
            raise
        for table, key, row in planned.rows:
            if row is not None:
                self.tables.setdefault(table, {})[key] = row
            elif table in self.tables:
                self.tables[table].pop(key, None)
        self._seal = planned.seal
        return planned.seal.last_sequence_number

    def _plan_commit(self, changes: Sequence[Change]) -> _PlannedCommit:
        row_count, checksum_xor = self._seal.row_count, self._seal.checksum_xor
        sequence_number = self._seal.last_sequence_number
        planned: dict[TableKey, Row | None] = {}
        for change in changes:
            sequence_number += 1
            table, key = change.table, change.key
            table_key = TableKey(table, key)
            replaced = planned[table_key] if table_key in planned else self.tables.get(table, {}).get(key)
            if replaced is not None:
                row_count, checksum_xor = row_count - 1, checksum_xor ^ replaced.checksum
            planned[table_key] = None
            if isinstance(change, Put):
                checksum = record_checksum(table, key, sequence_number, change.value)
                planned[table_key] = Row(sequence_number, change.value, checksum)
                row_count, checksum_xor = row_count + 1, checksum_xor ^ checksum
        if row_count > MAX_ROWS:
            raise ValueError(f"more than {MAX_ROWS} rows")
        seal = Seal(row_count, checksum_xor, sequence_number, self.wall_clock_ms())
        return _PlannedCommit([RowChange(*table_key, row) for table_key, row in planned.items()], seal)

    def begin_generation(self, changed_rows: Sequence[RowChange] = (), seal: Seal | None = None) -> None:
        """Writes all tables, with `changed_rows` applied, to a new file that replaces the one in use.

        `seal` describes the tables with the changes; it defaults to the current seal. Raises StoreFileError.
        """
        seal = seal or msgspec.structs.replace(self._seal, committed_at_ms=self.wall_clock_ms())
        number = self.generation + 1
        replaces_file = self._generation_file is not None
        rows = self._rows_with(changed_rows)
        generation_file = self._directory.create_file(generation_file_name(number), seal, rows)
        self._abandon_generation_file()
        self._generation_file, self.generation = generation_file, number
        with translate_os_errors(generation_file.path):
            self._generation_inode = self.file_system.inode(generation_file.path)
            if replaces_file:
                self._remove_older_generations()
        surplus, self._surplus_generations = self._surplus_generations or [], None
        for surplus_number in surplus:
            with contextlib.suppress(OSError):  # a directory with this name does no harm
                self._directory.remove_file(generation_file_name(surplus_number))

    def _rows_with(self, changed_rows: Sequence[RowChange]) -> Iterator[RowChange]:
        """Yields all rows as they are after these changes.

        This is a generator because the interpreter's lock can be released at each row, while building a long
        list would stall the event loop.
        """
        changed = {TableKey(change.table, change.key) for change in changed_rows}
        for name, table in self.tables.items():
            for key, row in table.items():
                if (name, key) not in changed:
                    yield RowChange(name, key, row)
        for change in changed_rows:
            if change.row is not None:
                yield change

    def _remove_older_generations(self) -> None:
        numbers = generation_numbers(self.file_system.list_names(self.directory))
        for number in reversed(numbers[RETAINED_GENERATION_COUNT:]):
            self._directory.remove_file(generation_file_name(number))

    def _check_generation_file(self) -> None:
        """Detects that the directory was moved away: writes to an open file would still succeed."""
        path = self._directory.file_path(generation_file_name(self.generation))
        with translate_os_errors(path):
            if self.file_system.inode(path) != self._generation_inode:
                detail = "the file in use was replaced"
                raise StoreFileError(FaultKind.MISSING, self.directory, detail)

    def _abandon_generation_file(self) -> None:
        if self._generation_file is not None:
            self._generation_file.abandon()
        self._generation_file = None

    # --- journals ---

    def append(self, name: str, values: Sequence[bytes]) -> int:
        """Appends records to a journal, durable on return; returns the position of the first.

        Raises StoreFileError.
        """
        if not values:
            return self._journals[name].next_position if name in self._journals else 1
        # `_check_generation_file` needs a file created by this start.
        if self._surplus_generations is not None:
            self.begin_generation()
        journal = self._journals.get(name)
        if journal is None:
            journal = self._journals[name] = self._new_journal(name)
        return journal.append(values, self._check_generation_file)

    def read_journal(self, name: str, position: int, count: int) -> list[JournalRecord]:
        """Reads up to `count` durable records of a journal from `position` on, see `Journal.read`."""
        journal = self._journals.get(name)
        return [] if journal is None else journal.read(position, count)

    def trim_journal(self, name: str, before_ms: int = 0, max_bytes: int | None = None) -> int:
        """Removes old segments of a journal and returns their number, see `Journal.trim`."""
        journal = self._journals.get(name)
        return 0 if journal is None else journal.trim(before_ms, max_bytes)

    def journal_ranges(self) -> Mapping[str, JournalRange]:
        """The range of positions that each journal covers."""
        return {name: journal.position_range for name, journal in self._journals.items()}

    # --- closing ---

    def close(self) -> None:
        """Closes all files without writing, and releases the directory's lock."""
        for journal in self._journals.values():
            journal.abandon()
        self._abandon_generation_file()
        if self._lock is not None:
            self._lock.release()
        self._lock = None
