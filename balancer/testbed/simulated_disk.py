"""A disk in memory for the store's tests: it fails, tears, loses, reorders and delays what was not synced.

`Disk` is the medium: names and contents as they are now, and as they are durable. `SimFiles` is the store's
file port on it, with a VFS of SQLite's own. `Disk.calls` counts every call that changes something; a `Plan`
says what the n-th does. `Disk.crash(rng)` leaves what a power cut would: of each file, any of the writes
since its last sync, whole, in part or not at all; of the names, any of the changes since the directory was
synced.

What a call is named by (`Disk.points`), as "write tables-00000002.db-wal 3", makes crash points repeatable.
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

import apsw

SECTOR_SIZE_BYTES = 512  # bytes that a disk writes whole
_numbers = count()
_APSW_ERROR_BY_ERRNO: dict[int, type[apsw.Error]] = {
    errno.ENOSPC: apsw.FullError,
    errno.EROFS: apsw.ReadOnlyError,
}


class InjectedError(Exception):
    """A call comes back with an error of this number (errno)."""

    def __init__(self, error_number: int = errno.EIO) -> None:
        self.error_number = error_number
        super().__init__(errno.errorcode[error_number])


class PowerCut(BaseException):
    """The process is gone, in the middle of a call."""


@dataclass(eq=False)
class FileContent:
    """A file: its bytes now, its bytes that are durable, what was written since."""

    inode: int = field(default_factory=lambda: next(_numbers))
    current: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    unsynced_writes: list[tuple[int, bytes]] = field(
        default_factory=list
    )  # offset and bytes; -1: cut to a length

    def apply(self, target: bytearray, offset: int, data: bytes) -> None:
        """Carry out one write, or a cut."""
        if offset < 0:
            del target[int.from_bytes(data, "big") :]
            return
        target.extend(bytes(max(0, offset + len(data) - len(target))))
        target[offset : offset + len(data)] = data


FaultPlan = Callable[[int, str], None]  # told a call's number and name; raises what is to happen to it


class SimulatedDisk:
    """The medium and its directory (there is one)."""

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
        """A call that changes something is about to be made, by SQLite or by the store itself."""
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
            self.is_powered_off = True  # whatever the dying process still does reaches nothing
            raise

    def crash(self, rng: random.Random) -> None:
        """The power was cut; from here on the disk is as it came out of it."""
        files = dict(self.durable_files)
        for path in {*self.files, *self.durable_files}:
            if self.files.get(path) is not self.durable_files.get(path) and rng.random() < 0.5:
                files.pop(path, None)
                if path in self.files:
                    files[path] = self.files[path]
        for content in set(files.values()):
            restored = bytearray(content.durable)
            writes = content.unsynced_writes[:]
            if rng.random() < 0.5:
                rng.shuffle(writes)  # guards against a reliance on their order
            for offset, data in writes:
                fate = rng.random()
                if fate < 0.4:
                    continue
                if fate < 0.6 and offset >= 0:  # torn, at the border of a sector
                    data = data[: rng.randrange(0, len(data) + SECTOR_SIZE_BYTES, SECTOR_SIZE_BYTES)]
                content.apply(restored, offset, data)
            content.current, content.durable, content.unsynced_writes = restored, bytes(restored), []
        self.files, self.durable_files = files, dict(files)
        self.is_locked = self.is_powered_off = False
        self.fault_plan = lambda number, name: None

    def sync(self, content: FileContent) -> None:
        """All that was written to a file is durable."""
        if self.sync_duration_s:
            time.sleep(self.sync_duration_s)
        content.durable, content.unsynced_writes = bytes(content.current), []

    def copy(self) -> SimulatedDisk:
        """The same content, durable, on another disk."""
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
    """The store's file port on a `Disk`. Close it when done: SQLite holds its VFS by name."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.vfs_name = f"sim-{next(_numbers)}"
        self._vfs = _SimulatedVfs(self.vfs_name, disk)

    def close(self) -> None:
        """Take the VFS back."""
        self._vfs.unregister()

    def lock(self, directory: str) -> _SimulatedLock:
        """One owner of the disk."""
        if self.disk.is_locked:
            raise BlockingIOError(errno.EAGAIN, "another process")
        self.disk.is_locked = True
        return _SimulatedLock(self.disk)

    def list_names(self, directory: str) -> list[str]:
        """Of the directory's files."""
        return [path.rpartition("/")[2] for path in self.disk.files]

    def is_regular_file(self, path: str) -> bool:
        """A file that is there."""
        return bool(self._content(path))

    def inode(self, path: str) -> int:
        """The number of the content."""
        return self._content(path).inode

    def size_bytes(self, path: str) -> int:
        """Bytes now."""
        return len(self._content(path).current)

    def rename(self, old: str, new: str) -> None:
        """Names alone; not durable."""
        self.disk.record_call("rename", new, False)
        self.disk.files[new] = self.disk.files.pop(old)

    def remove(self, path: str) -> None:
        """Names alone; not durable."""
        if path in self.disk.files:
            self.disk.record_call("remove", path, False)
            self.disk.files.pop(path, None)

    def sync_directory(self, directory: str) -> None:
        """Names are durable."""
        self.disk.record_call("settle", directory, False)
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
    """SQLite's methods of an open file."""

    def __init__(self, disk: SimulatedDisk, path: str, content: FileContent) -> None:
        self.disk, self.path, self.content = disk, path, content

    def xRead(self, amount: int, offset: int) -> bytes:
        return bytes(self.content.current[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.record_call("write", self.path)
        self.content.unsynced_writes.append((offset, bytes(data)))
        self.content.apply(self.content.current, offset, bytes(data))

    def xTruncate(self, newsize: int) -> None:
        self.disk.record_call("cut", self.path)
        length = newsize.to_bytes(8, "big")
        self.content.unsynced_writes.append((-1, length))
        self.content.apply(self.content.current, -1, length)

    def xSync(self, flags: int) -> None:
        self.disk.record_call("sync", self.path)
        self.disk.sync(self.content)
        if self.path not in self.disk.durable_files and self.path.endswith(("-wal", "-journal")):
            self.disk.durable_files[self.path] = self.content  # as SQLite's own VFS syncs the directory then

    def xFileSize(self) -> int:
        return len(self.content.current)

    def xLock(self, level: int) -> None:
        """There is one owner."""

    def xUnlock(self, level: int) -> None:
        """There is one owner."""

    def xCheckReservedLock(self) -> bool:
        return False

    def xFileControl(self, op: int, ptr: int) -> bool:
        return False

    def xSectorSize(self) -> int:
        return SECTOR_SIZE_BYTES

    def xDeviceCharacteristics(self) -> int:
        return 0

    def xClose(self) -> None:
        """Nothing is held."""
