"""A disk in memory for the store's tests that injects errors and power cuts.

`SimulatedDisk` is the medium, with the current and the durable state of its names and contents.
`SimulatedFileSystem` is the store's file-system interface to it, with its own VFS for SQLite. The disk counts
every call that changes something; a `FaultPlan` decides by that number and the call's name whether it fails.
`crash(rng)` leaves the state after a power cut: each write since the last sync of its file may be complete,
torn or lost, and the writes may be applied out of order; each change of a name since the last sync of the
directory may be lost. `sync_duration_s` delays each sync.

The names of calls (`SimulatedDisk.call_names`), such as "write tables-00000002.db-wal 3", make crash points
repeatable.
"""

from __future__ import annotations

import errno
import os
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

import apsw

SECTOR_SIZE_BYTES = 512
"""Unit of an atomic write."""
UNSYNCED_ENTRY_SURVIVAL_PROBABILITY = 0.5
REORDERED_WRITES_PROBABILITY = 0.5
LOST_WRITE_PROBABILITY = 0.4
LOST_OR_TORN_WRITE_PROBABILITY = 0.6
_unique_numbers = count()
_APSW_ERROR_BY_ERRNO: dict[int, type[apsw.Error]] = {
    errno.ENOSPC: apsw.FullError,
    errno.EROFS: apsw.ReadOnlyError,
}


class InjectedError(Exception):
    """Raised by a fault plan: the call fails with this error number (errno)."""

    def __init__(self, error_number: int = errno.EIO) -> None:
        self.error_number = error_number
        super().__init__(errno.errorcode[error_number])


class PowerCut(BaseException):
    """Raised by a fault plan: the process ends in the middle of a call."""


class UnsyncedWrite(NamedTuple):
    """A write or a truncation that is not synced yet; a crash may lose it."""

    offset: int
    """Position of a write; TRUNCATION for a truncation."""
    data: bytes
    """Written bytes; for a truncation the new length, big-endian."""


TRUNCATION = -1


@dataclass(eq=False)
class FileContent:
    """A file: its current bytes, its durable bytes, and the writes since the last sync."""

    inode: int = field(default_factory=lambda: next(_unique_numbers))
    current: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    unsynced_writes: list[UnsyncedWrite] = field(default_factory=list)

    def write(self, change: UnsyncedWrite) -> None:
        """Carries out a write or truncation; it is durable only after `SimulatedDisk.sync`."""
        self.unsynced_writes.append(change)
        self.apply(self.current, change.offset, change.data)

    def apply(self, target: bytearray, offset: int, data: bytes) -> None:
        """Carries out one write or truncation on `target`."""
        if offset == TRUNCATION:
            del target[int.from_bytes(data, "big") :]
            return
        target.extend(bytes(max(0, offset + len(data) - len(target))))
        target[offset : offset + len(data)] = data


FaultPlan = Callable[[int, str], None]
"""Takes the number and the name of a call; raises InjectedError or PowerCut to inject that fault."""


class SimulatedDisk:
    """The medium, with a single directory."""

    def __init__(self) -> None:
        self.files: dict[str, FileContent] = {}
        self.durable_files: dict[str, FileContent] = {}
        self.call_count = 0
        self.call_names: list[str] = []
        self.fault_plan: FaultPlan = lambda number, name: None
        self.sync_duration_s = 0.0
        self.is_locked = False
        self.is_powered_off = False
        self._call_counts: Counter[str] = Counter()

    def record_call(self, operation: str, path: str, by_sqlite: bool = True) -> None:
        """Counts a call that is about to change something, and applies the fault plan.

        Raises PowerCut, or for an injected error an apsw.Error if the call is `by_sqlite`, else an OSError.
        """
        if self.is_powered_off:
            raise PowerCut
        name = f"{operation} {path.rpartition('/')[2]}"
        self._call_counts[name] += 1
        self.call_count += 1
        self.call_names.append(f"{name} {self._call_counts[name]}")
        try:
            self.fault_plan(self.call_count, self.call_names[-1])
        except InjectedError as error:
            if not by_sqlite:
                raise OSError(error.error_number, os.strerror(error.error_number)) from None
            raise _APSW_ERROR_BY_ERRNO.get(error.error_number, apsw.IOError)(str(error)) from None
        except PowerCut:
            self.is_powered_off = True  # later calls of the dying process must not reach the disk
            raise

    def crash(self, rng: random.Random) -> None:
        """Cuts the power and restores it: leaves the state after the power cut, and no planned faults."""
        files = dict(self.durable_files)
        for path in {*self.files, *self.durable_files}:
            is_changed = self.files.get(path) is not self.durable_files.get(path)
            if is_changed and rng.random() < UNSYNCED_ENTRY_SURVIVAL_PROBABILITY:
                files.pop(path, None)
                if path in self.files:
                    files[path] = self.files[path]
        for content in set(files.values()):
            self._lose_unsynced_writes(content, rng)
        self.files, self.durable_files = files, dict(files)
        self.is_locked = self.is_powered_off = False
        self.fault_plan = lambda number, name: None

    def _lose_unsynced_writes(self, content: FileContent, rng: random.Random) -> None:
        restored = bytearray(content.durable)
        writes = content.unsynced_writes[:]
        if (
            rng.random() < REORDERED_WRITES_PROBABILITY
        ):  # the store must not rely on the order of unsynced writes
            rng.shuffle(writes)
        for offset, data in writes:
            random_value = rng.random()
            if random_value < LOST_WRITE_PROBABILITY:
                continue
            if random_value < LOST_OR_TORN_WRITE_PROBABILITY and offset != TRUNCATION:
                data = data[: rng.randrange(0, len(data) + SECTOR_SIZE_BYTES, SECTOR_SIZE_BYTES)]
            content.apply(restored, offset, data)
        content.current, content.durable, content.unsynced_writes = restored, bytes(restored), []

    def sync(self, content: FileContent) -> None:
        """Makes all writes to a file durable."""
        if self.sync_duration_s:
            time.sleep(self.sync_duration_s)
        content.durable, content.unsynced_writes = bytes(content.current), []

    def copy(self) -> SimulatedDisk:
        """Returns another disk with the current content, all of it durable."""
        copied = SimulatedDisk()
        for path, content in self.files.items():
            copied.files[path] = FileContent(
                current=bytearray(content.current), durable=bytes(content.current)
            )
        copied.durable_files = dict(copied.files)
        return copied


class _SimulatedLock:
    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk

    def release(self) -> None:
        self.disk.is_locked = False


class SimulatedFileSystem:
    """The store's file-system interface to a `SimulatedDisk`.

    Must be closed, because its VFS is registered with SQLite by name.
    """

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.vfs_name = f"sim-{next(_unique_numbers)}"
        self._vfs = _SimulatedVfs(self.vfs_name, disk)

    def close(self) -> None:
        """Unregisters the VFS."""
        self._vfs.unregister()

    def lock(self, directory: str) -> _SimulatedLock:
        """Locks the disk; raises BlockingIOError while it is locked."""
        if self.disk.is_locked:
            raise BlockingIOError(errno.EAGAIN, "another process")
        self.disk.is_locked = True
        return _SimulatedLock(self.disk)

    def list_names(self, directory: str) -> list[str]:
        """Returns the names of the files in the directory."""
        return [path.rpartition("/")[2] for path in self.disk.files]

    def is_regular_file(self, path: str) -> bool:
        """Returns True for every file; raises FileNotFoundError if there is none at `path`."""
        return bool(self._content(path))

    def inode(self, path: str) -> int:
        """Returns the inode number of the file's content."""
        return self._content(path).inode

    def size_bytes(self, path: str) -> int:
        """Returns the current size of the file."""
        return len(self._content(path).current)

    def rename(self, old: str, new: str) -> None:
        """Changes the names only; durable after `sync_directory`."""
        self.disk.record_call("rename", new, by_sqlite=False)
        self.disk.files[new] = self.disk.files.pop(old)

    def remove(self, path: str) -> None:
        """Changes the names only; durable after `sync_directory`."""
        if path in self.disk.files:
            self.disk.record_call("remove", path, by_sqlite=False)
            self.disk.files.pop(path, None)

    def sync_directory(self, directory: str) -> None:
        """Makes all changes of names durable."""
        self.disk.record_call("settle", directory, by_sqlite=False)
        self.disk.durable_files = dict(self.disk.files)

    def _content(self, path: str) -> FileContent:
        if path not in self.disk.files:
            raise FileNotFoundError(errno.ENOENT, "No such file")
        return self.disk.files[path]


class _SimulatedVfs(apsw.VFS):
    def __init__(self, name: str, disk: SimulatedDisk) -> None:
        self.disk = disk
        super().__init__(name, "unix")

    def xFullPathname(self, name: str) -> str:
        return name

    def xAccess(self, pathname: str, flags: int) -> bool:
        return pathname in self.disk.files

    def xDelete(self, filename: str, syncdir: bool) -> None:
        if filename not in self.disk.files:
            raise apsw.IOError
        self.disk.record_call("remove", filename)
        del self.disk.files[filename]
        if syncdir:
            self.disk.durable_files = dict(self.disk.files)

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> _SimulatedFile:  # type: ignore[override]
        path = name.filename() if isinstance(name, apsw.URIFilename) else str(name)
        content = self.disk.files.get(path)
        if content is None:
            if not flags[0] & apsw.SQLITE_OPEN_CREATE:
                raise apsw.CantOpenError
            self.disk.record_call("create", path)
            content = self.disk.files[path] = FileContent()
        flags[1] = flags[0]
        return _SimulatedFile(self.disk, path, content)


class _SimulatedFile:
    """An open file with the methods that SQLite's VFS calls."""

    def __init__(self, disk: SimulatedDisk, path: str, content: FileContent) -> None:
        self.disk, self.path, self.content = disk, path, content

    def xRead(self, amount: int, offset: int) -> bytes:
        return bytes(self.content.current[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.record_call("write", self.path)
        self.content.write(UnsyncedWrite(offset, bytes(data)))

    def xTruncate(self, newsize: int) -> None:
        self.disk.record_call("cut", self.path)
        self.content.write(UnsyncedWrite(TRUNCATION, newsize.to_bytes(8, "big")))

    def xSync(self, flags: int) -> None:
        self.disk.record_call("sync", self.path)
        self.disk.sync(self.content)
        if self.path not in self.disk.durable_files and self.path.endswith(("-wal", "-journal")):
            self.disk.durable_files[self.path] = (
                self.content
            )  # SQLite's own VFS syncs the directory in this case

    def xFileSize(self) -> int:
        return len(self.content.current)

    def xLock(self, level: int) -> None:
        """Nothing to do: the disk has one owner."""

    def xUnlock(self, level: int) -> None:
        """Nothing to do: the disk has one owner."""

    def xCheckReservedLock(self) -> bool:
        return False

    def xFileControl(self, op: int, ptr: int) -> bool:
        return False

    def xSectorSize(self) -> int:
        return SECTOR_SIZE_BYTES

    def xDeviceCharacteristics(self) -> int:
        return 0

    def xClose(self) -> None:
        """Nothing to release."""
