"""File names of a store's directory; creating and removing files, and sweeping unfinished ones.

owner                        the lock file, see `files`
tables-00000007.db           a generation of the tables, by its number
journal-NAME-000000000001.db a segment of a journal, by the position of its first record
new.db                       a file that is being created; one left behind by a crash is removed
"""

from __future__ import annotations

import contextlib
import os
import re
from collections.abc import Iterable

from balancer.store.errors import translate_os_errors
from balancer.store.files import FileSystem
from balancer.store.sqlite_file import RowChange, Seal, SealedFile

TABLE_NAME_PATTERN = re.compile(r"[a-z][a-z0-9_]{0,39}")
"""Names of tables and of journals."""
GENERATION_NAME_PATTERN = re.compile(r"tables-(\d{8})\.db")
SEGMENT_NAME_PATTERN = re.compile(r"journal-([a-z][a-z0-9_]{0,39})-(\d{12})\.db")
STORE_FILE_NAME_PATTERN = re.compile(
    r"(tables-\d{8}|journal-[a-z][a-z0-9_]{0,39}-\d{12}|new)\.db(-wal|-journal|-shm)?"
)
UNFINISHED_FILE_NAME = "new.db"
WAL_SUFFIX = "-wal"
ROLLBACK_JOURNAL_SUFFIX = "-journal"
SQLITE_SUFFIXES = (WAL_SUFFIX, ROLLBACK_JOURNAL_SUFFIX, "-shm")


def generation_file_name(number: int) -> str:
    """Name of a generation of the tables."""
    return f"tables-{number:08}.db"


def segment_file_name(journal: str, first_position: int) -> str:
    """Name of a segment of a journal."""
    return f"journal-{journal}-{first_position:012}.db"


def generation_numbers(names: Iterable[str]) -> list[int]:
    """Numbers of the generations among file names, the newest first."""
    matches = (GENERATION_NAME_PATTERN.fullmatch(name) for name in names)
    return sorted((int(match[1]) for match in matches if match), reverse=True)


def segment_positions(names: Iterable[str]) -> dict[str, list[int]]:
    """First positions of the segments among file names, ascending, by journal in the order of the names."""
    positions: dict[str, list[int]] = {}
    for name in names:
        if match := SEGMENT_NAME_PATTERN.fullmatch(name):
            positions.setdefault(match[1], []).append(int(match[2]))
    for first_positions in positions.values():
        first_positions.sort()
    return positions


class StoreDirectory:
    """The files of a store in one directory; the caller holds its lock."""

    def __init__(self, file_system: FileSystem, path: str) -> None:
        self.file_system, self.path = file_system, os.path.realpath(path)

    def file_path(self, name: str) -> str:
        """Path of a file in the directory."""
        return os.path.join(self.path, name)

    def open_file(self, name: str) -> SealedFile:
        """Opens an existing file; raises StoreFileError."""
        return SealedFile(self.file_system, self.file_path(name))

    def create_file(self, name: str, seal: Seal, rows: Iterable[RowChange] = ()) -> SealedFile:
        """Creates a file and opens it; on return it is complete and durable under its name.

        It is written under another name, synced and renamed, and the directory is synced. Raises
        StoreFileError, after which no part of the file is left.
        """
        temporary_path = self.file_path(UNFINISHED_FILE_NAME)
        with translate_os_errors(self.path):
            self.remove_file(UNFINISHED_FILE_NAME)
        sealed_file = None
        try:
            sealed_file = SealedFile(self.file_system, temporary_path, create=True)
            sealed_file.commit(seal, rows)
            sealed_file.checkpoint_and_close()
            with translate_os_errors(self.path):
                # The log of an invalid file of this name would be applied to the new file.
                self.remove_file(name)
                self.file_system.rename(temporary_path, self.file_path(name))
                self.file_system.sync_directory(self.path)
            sealed_file = self.open_file(name)
            sealed_file.seal = seal
            return sealed_file
        except BaseException:
            if sealed_file is not None:
                sealed_file.abandon()
            with contextlib.suppress(OSError):  # the unfinished file may be what fills the disk
                self.remove_file(UNFINISHED_FILE_NAME)
            raise

    def remove_file(self, name: str) -> None:
        """Removes a file and its logs; raises OSError.

        The main file goes first: a log alone is swept at the next start, while a file without its log would
        look complete.
        """
        for suffix in ("", WAL_SUFFIX, ROLLBACK_JOURNAL_SUFFIX):
            self.file_system.remove(self.file_path(name + suffix))

    def sweep_unfinished_files(self) -> list[str]:
        """Removes unfinished files and logs without a main file; returns the names of the store's files.

        The names are those from before the sweep. Raises StoreFileError.
        """
        with translate_os_errors(self.path):
            names = self.file_system.list_names(self.path)
            for name in names:
                main_name = name.rpartition("-")[0] if name.endswith(SQLITE_SUFFIXES) else name
                is_unfinished = main_name == UNFINISHED_FILE_NAME or main_name not in names
                if STORE_FILE_NAME_PATTERN.fullmatch(name) and is_unfinished:
                    self.file_system.remove(self.file_path(name))
        return [name for name in names if STORE_FILE_NAME_PATTERN.fullmatch(name)]

    def size_with_log_bytes(self, name: str) -> int:
        """Size of a file and its write-ahead log; raises StoreFileError."""
        path, size_bytes = self.file_path(name), 0
        for part in (path, path + WAL_SUFFIX):
            with translate_os_errors(path), contextlib.suppress(FileNotFoundError):
                size_bytes += self.file_system.size_bytes(part)
        return size_bytes
