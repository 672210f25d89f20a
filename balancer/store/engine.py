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
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from functools import reduce
from itertools import chain
from typing import NamedTuple

import msgspec

from balancer.store.files import (
    Files,
    Held,
    StoreFault,
    Trouble,
    of_os,
)
from balancer.store.sqlite_file import (
    FORMAT,
    Piece,
    Row,
    Seal,
    checksum,
)

MAX_ROWS = 200_000
MAX_VALUE = 64 * 1024  # bytes
MAX_KEY = 512  # characters
KEPT = 2  # generations
SEGMENT = 8 * 1024 * 1024  # bytes of a journal's segment, about
JUMP = 1_000_000_000  # positions left out after a segment that cannot be read: none is given twice
TABLES = re.compile(r"tables-(\d{8})\.db")
JOURNAL = re.compile(r"journal-([a-z][a-z0-9_]{0,39})-(\d{12})\.db")
OURS = re.compile(r"(tables-\d{8}|journal-[a-z][a-z0-9_]{0,39}-\d{12}|new)\.db(-wal|-journal|-shm)?")
NAME = re.compile(r"[a-z][a-z0-9_]{0,39}")

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


class Record(NamedTuple):
    """One record of a journal; `value` is None where it was written and cannot be believed, or is missing."""

    position: int
    at_ms: int  # wall clock, when it was written
    value: bytes | None


class Opened(msgspec.Struct):
    """What was found at the start.

    `older`: a newer generation was there than the one that could be believed, so what was durable may be
    missing. `faults` name each file that is not believed.
    """

    generation: int = 0  # that which the first write begins
    found: int = 0  # that believed; 0: none
    older: bool = False
    wrote_ms: int = 0  # wall clock of the last commit that is believed
    faults: list[StoreFault] = []


class _Journal(msgspec.Struct):
    firsts: list[int] = []  # of its segments, rising
    piece: Piece | None = None
    next: int = 1


class Engine:
    """One directory, owned from `open` to `close`."""

    def __init__(
        self,
        files: Files,
        directory: str,
        wall_ms: Callable[[], int],
        migrations: Sequence[Migration] = MIGRATIONS,
        segment: int = SEGMENT,
    ) -> None:
        self.files, self.directory, self.wall_ms = files, os.path.realpath(directory), wall_ms
        self.migrations, self.segment = migrations, segment
        self.tables: Tables = {}  # what is durable
        self.generation = 0
        self._held: Held | None = None
        self._piece: Piece | None = None
        self._inode = 0
        self._seal = Seal()
        self._journals: dict[str, _Journal] = {}
        self._over: list[int] | None = None  # generations to go once this start has begun its own

    # --- the start ---

    def open(self) -> Opened:
        """Take the directory, believe what can be believed; raises StoreFault. Nothing is synced."""
        out = Opened()
        with _system(self.directory):
            try:
                self._held = self.files.lock(self.directory)
            except BlockingIOError as err:
                raise StoreFault(Trouble.OWNED, self.directory, str(err.strerror or err)) from err
        try:
            names = self._swept()
            numbers = sorted((int(m[1]) for n in names if (m := TABLES.fullmatch(n))), reverse=True)
            self.generation = numbers[0] if numbers else 0
            good = self._believe(numbers, out)
            for name in names:
                if match := JOURNAL.fullmatch(name):
                    self._journals.setdefault(match[1], _Journal()).firsts.append(int(match[2]))
            for journal in self._journals.values():
                journal.firsts.sort()
            for name in self._journals:
                self._resume(name, out)
            # Over the bound: KEPT that are believed, the one to come among them, and KEPT others.
            self._over = good[KEPT - 1 :] + [n for n in numbers if n not in good][KEPT:]
        except BaseException:
            self.close()
            raise
        out.generation = self.generation + 1
        return out

    def _swept(self) -> list[str]:
        """Names of the directory once what was left half made is gone."""
        with _system(self.directory):
            names = self.files.names(self.directory)
            for name in names:
                base = name.rpartition("-")[0] if name.endswith(("-wal", "-journal", "-shm")) else name
                if OURS.fullmatch(name) and (base == "new.db" or base not in names):
                    self.files.remove(self._path(name))
        return [n for n in names if OURS.fullmatch(n)]

    def _believe(self, numbers: list[int], out: Opened) -> list[int]:
        """Load the newest generation that holds; which of them do."""
        good: list[int] = []
        for number in numbers:
            piece = None
            try:
                piece = Piece(self.files, self._path(_tables_name(number)))
                rows = piece.read_rows()
                if not good:
                    self.tables = self._migrated(rows, piece.version)
                    sums = [row.sum for found in self.tables.values() for row in found.values()]
                    digest = reduce(operator.xor, sums, 0)
                    self._seal = msgspec.structs.replace(piece.seal, rows=len(sums), digest=digest)
                    out.found, out.wrote_ms = number, piece.seal.wrote_ms
                good.append(number)
            except StoreFault as fault:
                out.faults.append(fault)
                out.older = out.older or not good
            finally:
                if piece is not None:
                    piece.abandon()
        return good

    def _migrated(self, rows: Tables, version: int) -> Tables:
        """Rows of this program's format out of those of an older one; the older file is left as it is."""
        if version >= FORMAT:
            return rows
        plain = {table: {key: row.value for key, row in found.items()} for table, found in rows.items()}
        for step in self.migrations[version - 1 : FORMAT - 1]:
            plain = step(plain)
        return {
            table: {key: Row(1, value, checksum(table, key, 1, value)) for key, value in found.items()}
            for table, found in plain.items()
        }

    # --- tables ---

    def commit(self, changes: Sequence[Change]) -> int:
        """Make the changes durable, all or none; the stamp of the last. Raises StoreFault, ValueError.

        After a StoreFault the file in use counts no more: the next `commit` begins a generation.
        """
        seal, rows, after = self._planned(changes)
        try:
            if self._piece is None:
                self.begin_generation(rows, seal)
            else:
                self._present()
                self._piece.commit(seal, rows)
        except BaseException:
            self._drop()
            raise
        for table, key, row in rows:
            if row is not None:
                self.tables.setdefault(table, {})[key] = row
            elif table in self.tables:
                self.tables[table].pop(key, None)
        self._seal = after
        return seal.stamp

    def _planned(self, changes: Sequence[Change]) -> tuple[Seal, list[tuple[str, str, Row | None]], Seal]:
        """The last word on each key, and the seal that holds after it."""
        count, digest, stamp = self._seal.rows, self._seal.digest, self._seal.stamp
        planned: dict[tuple[str, str], Row | None] = {}
        for change in changes:
            stamp += 1
            at = change[0], change[1]
            old = planned[at] if at in planned else self.tables.get(at[0], {}).get(at[1])
            if old is not None:
                count, digest = count - 1, digest ^ old.sum
            planned[at] = None
            if isinstance(change, Put):
                row = Row(stamp, change.value, checksum(*at, stamp, change.value))
                count, digest, planned[at] = count + 1, digest ^ row.sum, row
        if count > MAX_ROWS:
            raise ValueError(f"over {MAX_ROWS} rows")
        seal = Seal(count, digest, stamp, self.wall_ms())
        return seal, [(*at, found) for at, found in planned.items()], seal

    def begin_generation(
        self, more: Sequence[tuple[str, str, Row | None]] = (), seal: Seal | None = None
    ) -> None:
        """Write all tables, with `more` on top, into a new file that takes the place of that in use."""
        over = {(table, key): row for table, key, row in more}
        # One row after another, with the interpreter let go of at each: a long list would hold up the loop.
        kept = (
            (table, key, row)
            for table, found in self.tables.items()
            for key, row in found.items()
            if (table, key) not in over
        )
        added = ((*at, row) for at, row in over.items() if row is not None)
        seal = seal or Seal(self._seal.rows, self._seal.digest, self._seal.stamp, self.wall_ms())
        number = self.generation + 1
        before = self.generation if self._piece is not None else 0
        fresh = self._made(_tables_name(number), seal, chain(kept, added))
        self._drop()
        self._piece, self.generation = fresh, number
        with _system(fresh.path):
            self._inode = self.files.inode(fresh.path)
            if before:
                names = sorted(m[0] for n in self.files.names(self.directory) if (m := TABLES.fullmatch(n)))
                for name in names[:-KEPT]:
                    self._remove(name)
        rest, self._over = self._over or [], None
        for old in rest:
            with contextlib.suppress(OSError):  # a folder of that name is in nobody's way
                self._remove(_tables_name(old))

    def _made(self, name: str, seal: Seal, rows: Iterable[tuple[str, str, Row | None]] = ()) -> Piece:
        """A new file, whole and durable under its name before this returns, opened; raises StoreFault."""
        new = self._path("new.db")
        with _system(self.directory):
            self._remove("new.db")
        piece = None
        try:
            piece = Piece(self.files, new, make=True)
            piece.commit(seal, rows)
            piece.finish()
            with _system(self.directory):
                self._remove(name)  # guards against the log of a file of this name that counts no more
                self.files.rename(new, self._path(name))
                self.files.settle(self.directory)
            piece = Piece(self.files, self._path(name))
            piece.seal = seal
            return piece
        except BaseException:
            if piece is not None:
                piece.abandon()
            with contextlib.suppress(OSError):  # it may be what fills the disk
                self._remove("new.db")
            raise

    def _present(self) -> None:
        """Guards against a directory that was taken away: the kernel goes on with files of no name."""
        with _system(self._path(_tables_name(self.generation))):
            if self.files.inode(self._path(_tables_name(self.generation))) != self._inode:
                raise StoreFault(Trouble.GONE, self.directory, "the file in use is another one by now")

    def _drop(self) -> None:
        if self._piece is not None:
            self._piece.abandon()
        self._piece = None

    # --- journals ---

    def append(self, name: str, values: Sequence[bytes]) -> int:
        """Add records, durable once this returns; the position of the first. Raises StoreFault."""
        if not values:
            return self._journals[name].next if name in self._journals else 1
        if self._over is not None:  # by it a directory that was taken away is found
            self.begin_generation()
        journal = self._journals.setdefault(name, _Journal())
        first, now = journal.next, self.wall_ms()
        try:
            piece = journal.piece
            if piece is not None:
                self._present()
                if self._size(name, piece.seal.first) >= self.segment:
                    piece.finish()
                    piece = journal.piece = None
            if piece is None:
                piece = self._segment(name, journal)
            seal = Seal(first=piece.seal.first, next=first + len(values), wrote_ms=now)
            piece.commit(seal, records=[(first + n, now, value) for n, value in enumerate(values)])
        except BaseException:
            if journal.piece is not None:
                journal.piece.abandon()
            journal.piece = None
            raise
        journal.next = first + len(values)
        return first

    def _segment(self, name: str, journal: _Journal) -> Piece:
        first = journal.next
        piece = self._made(_segment_name(name, first), Seal(first=first, next=first, wrote_ms=self.wall_ms()))
        if first not in journal.firsts:
            journal.firsts.append(first)
        journal.piece = piece
        return piece

    def _resume(self, name: str, out: Opened) -> None:
        """Go on with a journal's newest segment, or behind it where it cannot be believed."""
        journal = self._journals[name]
        first = journal.firsts[-1]
        piece = None
        try:
            piece = Piece(self.files, self._path(_segment_name(name, first)))
            seal = piece.read_seal()
            tail = piece.read_records(max(first, seal.next - 1), 2)
            if seal.first != first or (seal.next > first and [r[0] for r in tail] != [seal.next - 1]):
                raise StoreFault(Trouble.SPOILED, piece.path, "its last record is not that of its seal")
            journal.piece, journal.next = piece, seal.next
        except StoreFault as fault:
            if piece is not None:
                piece.abandon()
            out.faults.append(fault)
            journal.next = first + JUMP

    def read(self, name: str, position: int, count: int) -> list[Record]:
        """Up to `count` records from `position` on, as far as they are durable; raises StoreFault.

        A stretch that is missing, and a segment that can't be read, is one record without a value at its
        first position. Records that a later segment writes anew don't count.
        """
        out: list[Record] = []
        journal = self._journals.get(name, _Journal())
        ends = [*journal.firsts[1:], journal.next]
        for first, end in zip(journal.firsts, ends, strict=False):
            if end <= position or len(out) >= count:
                continue
            want = max(first, position)
            for at, at_ms, value in self._records(name, journal, first, want, count - len(out)):
                if at >= end or len(out) >= count:
                    break
                if at > want:
                    out.append(Record(want, 0, None))
                out.append(Record(at, at_ms, value))
                want = at + 1
            if len(out) < count and want < end:
                out.append(Record(want, 0, None))
        return out[:count]

    def _records(
        self, name: str, journal: _Journal, first: int, position: int, count: int
    ) -> list[tuple[int, int, bytes | None]]:
        in_use = journal.piece is not None and first == journal.firsts[-1]
        try:
            piece = journal.piece if in_use else Piece(self.files, self._path(_segment_name(name, first)))
        except StoreFault:
            return []
        assert piece is not None
        try:
            return piece.read_records(position, count)
        except StoreFault:
            return []
        finally:
            if not in_use:
                piece.abandon()

    def cut(self, name: str, before_ms: int = 0, most_bytes: int | None = None) -> int:
        """Take away old segments; how many.

        Those whose last record is from before `before_ms` (wall clock), and as many as are over `most_bytes`
        in all. The one in use stays, and one that can't be read goes by size alone.
        """
        journal, out = self._journals.get(name, _Journal()), 0
        with _system(self.directory):
            sizes = [self._size(name, first) for first in journal.firsts]
            while len(journal.firsts) > 1:
                over = most_bytes is not None and sum(sizes) > most_bytes
                if not over and self._wrote_ms(name, journal.firsts[0]) >= before_ms:
                    break
                self._remove(_segment_name(name, journal.firsts.pop(0)))
                sizes.pop(0)
                out += 1
        return out

    def _size(self, name: str, first: int) -> int:
        """Bytes of a segment and its log."""
        path, out = self._path(_segment_name(name, first)), 0
        for part in (path, path + "-wal"):
            with _system(path), contextlib.suppress(FileNotFoundError):
                out += self.files.size(part)
        return out

    def _wrote_ms(self, name: str, first: int) -> float:
        try:
            piece = Piece(self.files, self._path(_segment_name(name, first)))
        except StoreFault:
            return float("inf")
        try:
            return piece.read_seal().wrote_ms
        except StoreFault:
            return float("inf")
        finally:
            piece.abandon()

    def journals(self) -> Mapping[str, tuple[int, int]]:
        """Of each journal its first position and the one to come."""
        return {name: (j.firsts[0] if j.firsts else j.next, j.next) for name, j in self._journals.items()}

    # --- the end ---

    def close(self) -> None:
        """Let go of all; what is durable stays so."""
        for journal in self._journals.values():
            if journal.piece is not None:
                journal.piece.abandon()
                journal.piece = None
        self._drop()
        if self._held is not None:
            self._held.release()
        self._held = None

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    def _remove(self, name: str) -> None:
        """A file and its logs, the file first: a log alone is swept, a file without one would look whole."""
        for end in ("", "-wal", "-journal"):
            self.files.remove(self._path(name + end))


def _tables_name(number: int) -> str:
    return f"tables-{number:08}.db"


def _segment_name(name: str, first: int) -> str:
    return f"journal-{name}-{first:012}.db"


@contextlib.contextmanager
def _system(where: str) -> Iterator[None]:
    try:
        yield
    except OSError as err:
        raise of_os(err, where) from err
