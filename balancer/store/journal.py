"""A journal: records are appended to segment files, read by position and trimmed by whole segments.

After a failed write the segment in use is abandoned and the journal continues in a new one, whose first
position determines how many records of the previous segment are valid.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from balancer.store.directory import StoreDirectory, segment_file_name
from balancer.store.errors import FaultKind, StoreFileError, translate_os_errors
from balancer.store.sqlite_file import JournalRecord, Seal, SealedFile

SEGMENT_SIZE_BYTES = 8 * 1024 * 1024
"""Size of a segment with its write-ahead log from which the next append begins a new segment."""
UNREADABLE_SEGMENT_POSITION_GAP = 1_000_000_000
"""Positions skipped after an unreadable segment, so that no position is assigned twice."""


class JournalRange(NamedTuple):
    """Positions that a journal covers: from `first` up to but excluding `next`."""

    first: int
    next: int


class Journal:
    """One journal of a directory. Calls block; one thread at a time may use it."""

    def __init__(
        self,
        directory: StoreDirectory,
        name: str,
        wall_clock_ms: Callable[[], int],
        segment_size_bytes: int,
        first_positions: Sequence[int] = (),
    ) -> None:
        """`first_positions` are those of the existing segments, ascending."""
        self.directory, self.name, self.wall_clock_ms = directory, name, wall_clock_ms
        self.segment_size_bytes = segment_size_bytes
        self.first_positions = list(first_positions)
        self.next_position = 1
        self._open_segment: SealedFile | None = None

    @property
    def position_range(self) -> JournalRange:
        """First and next position."""
        first = self.first_positions[0] if self.first_positions else self.next_position
        return JournalRange(first, self.next_position)

    def resume(self) -> None:
        """Opens the newest segment to append to it.

        Raises StoreFileError if the segment cannot be read; the journal then continues after a gap.
        """
        first = self.first_positions[-1]
        segment = None
        try:
            segment = self._open(first)
            seal = segment.read_seal()
            tail = segment.read_records(max(first, seal.next_position - 1), 2)
            last_positions = [record.position for record in tail]
            is_tail_valid = seal.next_position <= first or last_positions == [seal.next_position - 1]
            if seal.first_position != first or not is_tail_valid:
                detail = "the last record does not match the seal"
                raise StoreFileError(FaultKind.CORRUPT, segment.path, detail)
            self._open_segment, self.next_position = segment, seal.next_position
        except StoreFileError:
            if segment is not None:
                segment.abandon()
            self.next_position = first + UNREADABLE_SEGMENT_POSITION_GAP
            raise

    def append(self, values: Sequence[bytes], check_directory: Callable[[], None]) -> int:
        """Appends records, durable on return; returns the position of the first.

        `check_directory` raises StoreFileError if the directory was replaced; it is called before writing to
        a segment that is already open. Raises StoreFileError.
        """
        first, now_ms = self.next_position, self.wall_clock_ms()
        try:
            if self._open_segment is not None:
                check_directory()
                self._finish_full_segment(self._open_segment)
            segment = self._open_segment
            if segment is None:
                segment = self._begin_segment()
            seal = Seal(
                first_position=segment.seal.first_position,
                next_position=first + len(values),
                committed_at_ms=now_ms,
            )
            records = [JournalRecord(first + index, now_ms, value) for index, value in enumerate(values)]
            segment.commit(seal, records=records)
        except BaseException:
            self.abandon()
            raise
        self.next_position = first + len(values)
        return first

    def _finish_full_segment(self, segment: SealedFile) -> None:
        size_bytes = self.directory.size_with_log_bytes(self._file_name(segment.seal.first_position))
        if size_bytes >= self.segment_size_bytes:
            segment.checkpoint_and_close()
            self._open_segment = None

    def _begin_segment(self) -> SealedFile:
        first = self.next_position
        seal = Seal(first_position=first, next_position=first, committed_at_ms=self.wall_clock_ms())
        segment = self.directory.create_file(self._file_name(first), seal)
        if first not in self.first_positions:
            self.first_positions.append(first)
        self._open_segment = segment
        return segment

    def read(self, position: int, count: int) -> list[JournalRecord]:
        """Reads up to `count` durable records from `position` on.

        A gap of missing records and an unreadable segment each yield one record without a value at their
        first position. Records that a later segment contains again are skipped.
        """
        records: list[JournalRecord] = []
        ends = [*self.first_positions[1:], self.next_position]
        for first, end in zip(self.first_positions, ends, strict=False):
            if end <= position or len(records) >= count:
                continue
            expected_position = max(first, position)
            for record in self._read_segment(first, expected_position, count - len(records)):
                if record.position >= end or len(records) >= count:
                    break
                if record.position > expected_position:
                    records.append(JournalRecord(expected_position, 0, None))
                records.append(record)
                expected_position = record.position + 1
            if len(records) < count and expected_position < end:
                records.append(JournalRecord(expected_position, 0, None))
        return records[:count]

    def _read_segment(self, first: int, position: int, count: int) -> list[JournalRecord]:
        """Records of one segment; none if it cannot be read."""
        is_newest = first == self.first_positions[-1]
        open_segment = self._open_segment if is_newest else None
        segment = None
        try:
            segment = open_segment or self._open(first)
            return segment.read_records(position, count)
        except StoreFileError:
            return []
        finally:
            if segment is not None and segment is not open_segment:
                segment.abandon()

    def trim(self, before_ms: int = 0, max_bytes: int | None = None) -> int:
        """Removes the oldest segments and returns their number.

        A segment is removed if its last record was written before `before_ms` (wall clock), or while the
        journal exceeds `max_bytes`. The newest segment always stays, and an unreadable segment is removed for
        its size only. Raises StoreFileError.
        """
        removed_count = 0
        with translate_os_errors(self.directory.path):
            sizes_bytes = [
                self.directory.size_with_log_bytes(self._file_name(first)) for first in self.first_positions
            ]
            while len(self.first_positions) > 1:
                is_oversized = max_bytes is not None and sum(sizes_bytes) > max_bytes
                if not is_oversized and self._committed_at_ms(self.first_positions[0]) >= before_ms:
                    break
                self.directory.remove_file(self._file_name(self.first_positions.pop(0)))
                sizes_bytes.pop(0)
                removed_count += 1
        return removed_count

    def _committed_at_ms(self, first: int) -> float:
        """Wall clock of the last commit to a segment; infinite if the segment cannot be read."""
        segment = None
        try:
            segment = self._open(first)
            return segment.read_seal().committed_at_ms
        except StoreFileError:
            return math.inf
        finally:
            if segment is not None:
                segment.abandon()

    def abandon(self) -> None:
        """Closes the segment in use without writing to it."""
        if self._open_segment is not None:
            self._open_segment.abandon()
        self._open_segment = None

    def _open(self, first: int) -> SealedFile:
        return self.directory.open_file(self._file_name(first))

    def _file_name(self, first: int) -> str:
        return segment_file_name(self.name, first)
