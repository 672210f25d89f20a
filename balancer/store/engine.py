"""A directory of the store: one owner, generations of the tables, segments of the journals. No thread.

    owner                        locked by whoever holds the directory; a dead process holds nothing
    tables-00000007.db           a *generation*: all tables; the last two that could be believed stay
    journal-NAME-000000000001.db a *segment* of a journal, by the position of its first record
    new.db                       one that was being made: of no use to anybody

*A generation* is written whole under another name, synced, renamed, and the directory synced, before an older
one goes; from then on only changes are added to it. Each start begins one with the first thing that it
writes, so a file whose structure was damaged is never written to again, and the number, which only rises, is
known even where a file can't be read. `open` itself writes no record and waits for no sync: what was kept is
there at once, as it was, and the file that holds it stays until the new one is durable.

*A write or sync that fails* ends the file it went to: what the kernel still shows of it may never reach the
disk, and a second fsync would say that all is well (Rebello et al., "Can Applications Recover from fsync
Failures?", ATC 2020). Nothing written to it since the last good sync is believed: the tables go on in a new
generation, made of what is known to be durable and of what was to be written; a journal in a new segment,
whose first position says how much of the one before counts.

`Engine` is called by one thread at a time and blocks. Bounds: MAX_ROWS rows, MAX_VALUE bytes a value,
MAX_KEY characters a key, KEPT generations and as many that cannot be believed.
"""

from __future__ import annotations

import contextlib
import operator
import os
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import reduce
from itertools import chain
from typing import NamedTuple

import msgspec

from balancer.store.errors import FaultKind, StoreFileError, translate_os_errors
from balancer.store.files import DirectoryLock, FileSystem
from balancer.store.sqlite_file import (
    FORMAT_VERSION,
    Row,
    Seal,
    SealedFile,
    record_checksum,
)

MAX_ROWS = 200_000
MAX_VALUE_BYTES = 64 * 1024  # bytes
MAX_KEY_LENGTH = 512  # characters
RETAINED_GENERATION_COUNT = 2  # generations
SEGMENT_SIZE_BYTES = 8 * 1024 * 1024  # bytes of a journal's segment, about
UNREADABLE_SEGMENT_POSITION_GAP = (
    1_000_000_000  # positions left out after a segment that cannot be read: none is given twice
)
GENERATION_NAME_PATTERN = re.compile(r"tables-(\d{8})\.db")
SEGMENT_NAME_PATTERN = re.compile(r"journal-([a-z][a-z0-9_]{0,39})-(\d{12})\.db")
STORE_FILE_NAME_PATTERN = re.compile(
    r"(tables-\d{8}|journal-[a-z][a-z0-9_]{0,39}-\d{12}|new)\.db(-wal|-journal|-shm)?"
)
TABLE_NAME_PATTERN = re.compile(r"[a-z][a-z0-9_]{0,39}")

Tables = dict[str, dict[str, Row]]
Migration = Callable[[dict[str, dict[str, bytes]]], dict[str, dict[str, bytes]]]
MIGRATIONS: tuple[Migration, ...] = ()  # the n-th makes the tables of version n + 1 those of n + 2


class Put(NamedTuple):
    """Set a key of a table."""

    table: str
    key: str
    value: bytes


class Delete(NamedTuple):
    """Take a key out of a table; one that is not there is no fault."""

    table: str
    key: str


Change = Put | Delete


class JournalRecord(NamedTuple):
    """One record of a journal; `value` is None where it was written and cannot be believed, or is missing."""

    position: int
    written_at_ms: int  # wall clock, when it was written
    value: bytes | None


class OpenResult(msgspec.Struct):
    """What was found at the start.

    `older`: a newer generation was there than the one that could be believed, so what was durable may be
    missing. `faults` name each file that is not believed.
    """

    next_generation: int = 0  # that which the first write begins
    restored_generation: int = 0  # that believed; 0: none
    is_outdated: bool = False
    committed_at_ms: int = 0  # wall clock of the last commit that is believed
    faults: list[StoreFileError] = []


class _JournalState(msgspec.Struct):
    first_positions: list[int] = []  # of its segments, rising
    open_segment: SealedFile | None = None
    next_position: int = 1


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
        self.file_system, self.directory, self.wall_clock_ms = (
            file_system,
            os.path.realpath(directory),
            wall_clock_ms,
        )
        self.migrations, self.segment_size_bytes = migrations, segment_size_bytes
        self.tables: Tables = {}  # what is durable
        self.generation = 0
        self._lock: DirectoryLock | None = None
        self._generation_file: SealedFile | None = None
        self._generation_inode = 0
        self._seal = Seal()
        self._journals: dict[str, _JournalState] = {}
        self._surplus_generations: list[int] | None = (
            None  # generations to go once this start has begun its own
        )

    # --- the start ---

    def open(self) -> OpenResult:
        """Take the directory, believe what can be believed; raises StoreFault. Nothing is synced."""
        result = OpenResult()
        with translate_os_errors(self.directory):
            try:
                self._lock = self.file_system.lock(self.directory)
            except BlockingIOError as error:
                raise StoreFileError(
                    FaultKind.LOCKED, self.directory, str(error.strerror or error)
                ) from error
        try:
            names = self._sweep_unfinished_files()
            numbers = sorted(
                (int(m[1]) for n in names if (m := GENERATION_NAME_PATTERN.fullmatch(n))), reverse=True
            )
            self.generation = numbers[0] if numbers else 0
            valid_numbers = self._load_newest_valid(numbers, result)
            for name in names:
                if match := SEGMENT_NAME_PATTERN.fullmatch(name):
                    self._journals.setdefault(match[1], _JournalState()).first_positions.append(int(match[2]))
            for journal in self._journals.values():
                journal.first_positions.sort()
            for name in self._journals:
                self._resume_journal(name, result)
            # Over the bound: KEPT that are believed, the one to come among them, and KEPT others.
            self._surplus_generations = (
                valid_numbers[RETAINED_GENERATION_COUNT - 1 :]
                + [n for n in numbers if n not in valid_numbers][RETAINED_GENERATION_COUNT:]
            )
        except BaseException:
            self.close()
            raise
        result.next_generation = self.generation + 1
        return result

    def _sweep_unfinished_files(self) -> list[str]:
        """Names of the directory once what was left half made is gone."""
        with translate_os_errors(self.directory):
            names = self.file_system.list_names(self.directory)
            for name in names:
                main_name = name.rpartition("-")[0] if name.endswith(("-wal", "-journal", "-shm")) else name
                if STORE_FILE_NAME_PATTERN.fullmatch(name) and (
                    main_name == "new.db" or main_name not in names
                ):
                    self.file_system.remove(self._path(name))
        return [n for n in names if STORE_FILE_NAME_PATTERN.fullmatch(n)]

    def _load_newest_valid(self, numbers: list[int], result: OpenResult) -> list[int]:
        """Load the newest generation that holds; which of them do."""
        valid_numbers: list[int] = []
        for number in numbers:
            generation_file = None
            try:
                generation_file = SealedFile(self.file_system, self._path(generation_file_name(number)))
                rows = generation_file.read_rows()
                if not valid_numbers:
                    self.tables = self._migrate(rows, generation_file.format_version)
                    checksums = [row.checksum for found in self.tables.values() for row in found.values()]
                    digest = reduce(operator.xor, checksums, 0)
                    self._seal = msgspec.structs.replace(
                        generation_file.seal, row_count=len(checksums), checksum_xor=digest
                    )
                    result.restored_generation, result.committed_at_ms = (
                        number,
                        generation_file.seal.committed_at_ms,
                    )
                valid_numbers.append(number)
            except StoreFileError as fault:
                result.faults.append(fault)
                result.is_outdated = result.is_outdated or not valid_numbers
            finally:
                if generation_file is not None:
                    generation_file.abandon()
        return valid_numbers

    def _migrate(self, rows: Tables, version: int) -> Tables:
        """Rows of this program's format out of those of an older one; the older file is left as it is."""
        if version >= FORMAT_VERSION:
            return rows
        values = {table: {key: row.value for key, row in found.items()} for table, found in rows.items()}
        for migration in self.migrations[version - 1 : FORMAT_VERSION - 1]:
            values = migration(values)
        return {
            table: {key: Row(1, value, record_checksum(table, key, 1, value)) for key, value in found.items()}
            for table, found in values.items()
        }

    # --- tables ---

    def commit(self, changes: Sequence[Change]) -> int:
        """Make the changes durable, all or none; the stamp of the last. Raises StoreFault, ValueError.

        After a StoreFault the file in use counts no more: the next `commit` begins a generation.
        """
        seal, rows, after = self._plan_commit(changes)
        try:
            if self._generation_file is None:
                self.begin_generation(rows, seal)
            else:
                self._check_generation_file()
                self._generation_file.commit(seal, rows)
        except BaseException:
            self._abandon_generation_file()
            raise
        for table, key, row in rows:
            if row is not None:
                self.tables.setdefault(table, {})[key] = row
            elif table in self.tables:
                self.tables[table].pop(key, None)
        self._seal = after
        return seal.last_sequence_number

    def _plan_commit(self, changes: Sequence[Change]) -> tuple[Seal, list[tuple[str, str, Row | None]], Seal]:
        """The last word on each key, and the seal that holds after it."""
        count, checksum_xor, sequence_number = (
            self._seal.row_count,
            self._seal.checksum_xor,
            self._seal.last_sequence_number,
        )
        planned: dict[tuple[str, str], Row | None] = {}
        for change in changes:
            sequence_number += 1
            place = change[0], change[1]
            replaced = planned[place] if place in planned else self.tables.get(place[0], {}).get(place[1])
            if replaced is not None:
                count, checksum_xor = count - 1, checksum_xor ^ replaced.checksum
            planned[place] = None
            if isinstance(change, Put):
                row = Row(
                    sequence_number, change.value, record_checksum(*place, sequence_number, change.value)
                )
                count, checksum_xor, planned[place] = count + 1, checksum_xor ^ row.checksum, row
        if count > MAX_ROWS:
            raise ValueError(f"over {MAX_ROWS} rows")
        seal = Seal(count, checksum_xor, sequence_number, self.wall_clock_ms())
        return seal, [(*place, found) for place, found in planned.items()], seal

    def begin_generation(
        self, changed_rows: Sequence[tuple[str, str, Row | None]] = (), seal: Seal | None = None
    ) -> None:
        """Write all tables, with `more` on top, into a new file that takes the place of that in use."""
        changed = {(table, key): row for table, key, row in changed_rows}
        # One row after another, with the interpreter let go of at each: a long list would hold up the loop.
        unchanged_rows = (
            (table, key, row)
            for table, found in self.tables.items()
            for key, row in found.items()
            if (table, key) not in changed
        )
        added_rows = ((*at, row) for at, row in changed.items() if row is not None)
        seal = seal or Seal(
            self._seal.row_count,
            self._seal.checksum_xor,
            self._seal.last_sequence_number,
            self.wall_clock_ms(),
        )
        number = self.generation + 1
        previous = self.generation if self._generation_file is not None else 0
        generation_file = self._create_file(
            generation_file_name(number), seal, chain(unchanged_rows, added_rows)
        )
        self._abandon_generation_file()
        self._generation_file, self.generation = generation_file, number
        with translate_os_errors(generation_file.path):
            self._generation_inode = self.file_system.inode(generation_file.path)
            if previous:
                names = sorted(
                    m[0]
                    for n in self.file_system.list_names(self.directory)
                    if (m := GENERATION_NAME_PATTERN.fullmatch(n))
                )
                for name in names[:-RETAINED_GENERATION_COUNT]:
                    self._remove(name)
        surplus, self._surplus_generations = self._surplus_generations or [], None
        for surplus_number in surplus:
            with contextlib.suppress(OSError):  # a folder of that name is in nobody's way
                self._remove(generation_file_name(surplus_number))

    def _create_file(
        self, name: str, seal: Seal, rows: Iterable[tuple[str, str, Row | None]] = ()
    ) -> SealedFile:
        """A new file, whole and durable under its name before this returns, opened; raises StoreFault."""
        temporary_path = self._path("new.db")
        with translate_os_errors(self.directory):
            self._remove("new.db")
        sealed_file = None
        try:
            sealed_file = SealedFile(self.file_system, temporary_path, create=True)
            sealed_file.commit(seal, rows)
            sealed_file.checkpoint_and_close()
            with translate_os_errors(self.directory):
                self._remove(name)  # guards against the log of a file of this name that counts no more
                self.file_system.rename(temporary_path, self._path(name))
                self.file_system.sync_directory(self.directory)
            sealed_file = SealedFile(self.file_system, self._path(name))
            sealed_file.seal = seal
            return sealed_file
        except BaseException:
            if sealed_file is not None:
                sealed_file.abandon()
            with contextlib.suppress(OSError):  # it may be what fills the disk
                self._remove("new.db")
            raise

    def _check_generation_file(self) -> None:
        """Guards against a directory that was taken away: the kernel goes on with files of no name."""
        with translate_os_errors(self._path(generation_file_name(self.generation))):
            if (
                self.file_system.inode(self._path(generation_file_name(self.generation)))
                != self._generation_inode
            ):
                raise StoreFileError(
                    FaultKind.MISSING, self.directory, "the file in use is another one by now"
                )

    def _abandon_generation_file(self) -> None:
        if self._generation_file is not None:
            self._generation_file.abandon()
        self._generation_file = None

    # --- journals ---

    def append(self, name: str, values: Sequence[bytes]) -> int:
        """Add records, durable once this returns; the position of the first. Raises StoreFault."""
        if not values:
            return self._journals[name].next_position if name in self._journals else 1
        if self._surplus_generations is not None:  # by it a directory that was taken away is found
            self.begin_generation()
        journal = self._journals.setdefault(name, _JournalState())
        first, now_ms = journal.next_position, self.wall_clock_ms()
        try:
            segment = journal.open_segment
            if segment is not None:
                self._check_generation_file()
                if (
                    self._segment_file_size_bytes(name, segment.seal.first_position)
                    >= self.segment_size_bytes
                ):
                    segment.checkpoint_and_close()
                    segment = journal.open_segment = None
            if segment is None:
                segment = self._begin_segment(name, journal)
            seal = Seal(
                first_position=segment.seal.first_position,
                next_position=first + len(values),
                committed_at_ms=now_ms,
            )
            segment.commit(seal, records=[(first + n, now_ms, value) for n, value in enumerate(values)])
        except BaseException:
            if journal.open_segment is not None:
                journal.open_segment.abandon()
            journal.open_segment = None
            raise
        journal.next_position = first + len(values)
        return first

    def _begin_segment(self, name: str, journal: _JournalState) -> SealedFile:
        first = journal.next_position
        segment = self._create_file(
            segment_file_name(name, first),
            Seal(first_position=first, next_position=first, committed_at_ms=self.wall_clock_ms()),
        )
        if first not in journal.first_positions:
            journal.first_positions.append(first)
        journal.open_segment = segment
        return segment

    def _resume_journal(self, name: str, result: OpenResult) -> None:
        """Go on with a journal's newest segment, or behind it where it cannot be believed."""
        journal = self._journals[name]
        first = journal.first_positions[-1]
        segment = None
        try:
            segment = SealedFile(self.file_system, self._path(segment_file_name(name, first)))
            seal = segment.read_seal()
            tail = segment.read_records(max(first, seal.next_position - 1), 2)
            if seal.first_position != first or (
                seal.next_position > first and [r[0] for r in tail] != [seal.next_position - 1]
            ):
                raise StoreFileError(
                    FaultKind.CORRUPT, segment.path, "its last record is not that of its seal"
                )
            journal.open_segment, journal.next_position = segment, seal.next_position
        except StoreFileError as fault:
            if segment is not None:
                segment.abandon()
            result.faults.append(fault)
            journal.next_position = first + UNREADABLE_SEGMENT_POSITION_GAP

    def read_journal(self, name: str, position: int, count: int) -> list[JournalRecord]:
        """Up to `count` records from `position` on, as far as they are durable; raises StoreFault.

        A stretch that is missing, and a segment that can't be read, is one record without a value at its
        first position. Records that a later segment writes anew don't count.
        """
        records: list[JournalRecord] = []
        journal = self._journals.get(name, _JournalState())
        ends = [*journal.first_positions[1:], journal.next_position]
        for first, end in zip(journal.first_positions, ends, strict=False):
            if end <= position or len(records) >= count:
                continue
            expected_position = max(first, position)
            for record_position, at_ms, value in self._read_segment(
                name, journal, first, expected_position, count - len(records)
            ):
                if record_position >= end or len(records) >= count:
                    break
                if record_position > expected_position:
                    records.append(JournalRecord(expected_position, 0, None))
                records.append(JournalRecord(record_position, at_ms, value))
                expected_position = record_position + 1
            if len(records) < count and expected_position < end:
                records.append(JournalRecord(expected_position, 0, None))
        return records[:count]

    def _read_segment(
        self, name: str, journal: _JournalState, first: int, position: int, count: int
    ) -> list[tuple[int, int, bytes | None]]:
        is_open = journal.open_segment is not None and first == journal.first_positions[-1]
        try:
            segment = (
                journal.open_segment
                if is_open
                else SealedFile(self.file_system, self._path(segment_file_name(name, first)))
            )
        except StoreFileError:
            return []
        assert segment is not None
        try:
            return segment.read_records(position, count)
        except StoreFileError:
            return []
        finally:
            if not is_open:
                segment.abandon()

    def trim_journal(self, name: str, before_ms: int = 0, max_bytes: int | None = None) -> int:
        """Take away old segments; how many.

        Those whose last record is from before `before_ms` (wall clock), and as many as are over `most_bytes`
        in all. The one in use stays, and one that can't be read goes by size alone.
        """
        journal, removed_count = self._journals.get(name, _JournalState()), 0
        with translate_os_errors(self.directory):
            sizes = [self._segment_file_size_bytes(name, first) for first in journal.first_positions]
            while len(journal.first_positions) > 1:
                is_oversized = max_bytes is not None and sum(sizes) > max_bytes
                if (
                    not is_oversized
                    and self._segment_committed_at_ms(name, journal.first_positions[0]) >= before_ms
                ):
                    break
                self._remove(segment_file_name(name, journal.first_positions.pop(0)))
                sizes.pop(0)
                removed_count += 1
        return removed_count

    def _segment_file_size_bytes(self, name: str, first: int) -> int:
        """Bytes of a segment and its log."""
        path, size_bytes = self._path(segment_file_name(name, first)), 0
        for part in (path, path + "-wal"):
            with translate_os_errors(path), contextlib.suppress(FileNotFoundError):
                size_bytes += self.file_system.size_bytes(part)
        return size_bytes

    def _segment_committed_at_ms(self, name: str, first: int) -> float:
        try:
            segment = SealedFile(self.file_system, self._path(segment_file_name(name, first)))
        except StoreFileError:
            return float("inf")
        try:
            return segment.read_seal().committed_at_ms
        except StoreFileError:
            return float("inf")
        finally:
            segment.abandon()

    def journal_ranges(self) -> Mapping[str, tuple[int, int]]:
        """Of each journal its first position and the one to come."""
        return {
            name: (j.first_positions[0] if j.first_positions else j.next_position, j.next_position)
            for name, j in self._journals.items()
        }

    # --- the end ---

    def close(self) -> None:
        """Let go of all; what is durable stays so."""
        for journal in self._journals.values():
            if journal.open_segment is not None:
                journal.open_segment.abandon()
                journal.open_segment = None
        self._abandon_generation_file()
        if self._lock is not None:
            self._lock.release()
        self._lock = None

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    def _remove(self, name: str) -> None:
        """A file and its logs, the file first: a log alone is swept, a file without one would look whole."""
        for end in ("", "-wal", "-journal"):
            self.file_system.remove(self._path(name + end))


def generation_file_name(number: int) -> str:
    return f"tables-{number:08}.db"


def segment_file_name(name: str, first: int) -> str:
    return f"journal-{name}-{first:012}.db"
