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

SECTOR = 512  # bytes that a disk writes whole
_numbers = count()
_KINDS: dict[int, type[apsw.Error]] = {errno.ENOSPC: apsw.FullError, errno.EROFS: apsw.ReadOnlyError}


class Broken(Exception):
    """A call comes back with an error of this number (errno)."""

    def __init__(self, number: int = errno.EIO) -> None:
        self.number = number
        super().__init__(errno.errorcode[number])


class PowerCut(BaseException):
    """The process is gone, in the middle of a call."""


@dataclass(eq=False)
class Content:
    """A file: its bytes now, its bytes that are durable, what was written since."""

    number: int = field(default_factory=lambda: next(_numbers))
    now: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    unsynced: list[tuple[int, bytes]] = field(default_factory=list)  # offset and bytes; -1: cut to a length

    def apply(self, onto: bytearray, offset: int, data: bytes) -> None:
        """Carry out one write, or a cut."""
        if offset < 0:
            del onto[int.from_bytes(data, "big") :]
            return
        onto.extend(bytes(max(0, offset + len(data) - len(onto))))
        onto[offset : offset + len(data)] = data


Plan = Callable[[int, str], None]  # told a call's number and name; raises what is to happen to it


class Disk:
    """The medium and its directory (there is one)."""

    def __init__(self) -> None:
        self.names: dict[str, Content] = {}
        self.durable: dict[str, Content] = {}
        self.calls = 0
        self.points: list[str] = []
        self.plan: Plan = lambda number, name: None
        self.sync_s = 0.0
        self.locked = False
        self.dead = False
        self._seen: Counter[str] = Counter()

    def call(self, what: str, path: str, sqlite: bool = True) -> None:
        """A call that changes something is about to be made, by SQLite or by the store itself."""
        if self.dead:
            raise PowerCut
        name = f"{what} {path.rpartition('/')[2]}"
        self._seen[name] += 1
        self.calls += 1
        self.points.append(f"{name} {self._seen[name]}")
        try:
            self.plan(self.calls, self.points[-1])
        except Broken as err:
            if not sqlite:
                raise OSError(err.number, os.strerror(err.number)) from None
            raise _KINDS.get(err.number, apsw.IOError)(str(err)) from None
        except PowerCut:
            self.dead = True  # whatever the dying process still does reaches nothing
            raise

    def crash(self, rng: random.Random) -> None:
        """The power was cut; from here on the disk is as it came out of it."""
        names = dict(self.durable)
        for path in {*self.names, *self.durable}:
            if self.names.get(path) is not self.durable.get(path) and rng.random() < 0.5:
                names.pop(path, None)
                if path in self.names:
                    names[path] = self.names[path]
        for content in set(names.values()):
            out = bytearray(content.durable)
            writes = content.unsynced[:]
            if rng.random() < 0.5:
                rng.shuffle(writes)  # guards against a reliance on their order
            for offset, data in writes:
                fate = rng.random()
                if fate < 0.4:
                    continue
                if fate < 0.6 and offset >= 0:  # torn, at the border of a sector
                    data = data[: rng.randrange(0, len(data) + SECTOR, SECTOR)]
                content.apply(out, offset, data)
            content.now, content.durable, content.unsynced = out, bytes(out), []
        self.names, self.durable = names, dict(names)
        self.locked = self.dead = False
        self.plan = lambda number, name: None

    def sync(self, content: Content) -> None:
        """All that was written to a file is durable."""
        if self.sync_s:
            time.sleep(self.sync_s)
        content.durable, content.unsynced = bytes(content.now), []

    def copy(self) -> Disk:
        """The same content, durable, on another disk."""
        out = Disk()
        for path, content in self.names.items():
            out.names[path] = Content(now=bytearray(content.now), durable=bytes(content.now))
        out.durable = dict(out.names)
        return out


class _Lock:
    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def release(self) -> None:
        self.disk.locked = False


class SimFiles:
    """The store's file port on a `Disk`. Close it when done: SQLite holds its VFS by name."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.vfs = f"sim-{next(_numbers)}"
        self._vfs = _Vfs(self.vfs, disk)

    def close(self) -> None:
        """Take the VFS back."""
        self._vfs.unregister()

    def lock(self, directory: str) -> _Lock:
        """One owner of the disk."""
        if self.disk.locked:
            raise BlockingIOError(errno.EAGAIN, "another process")
        self.disk.locked = True
        return _Lock(self.disk)

    def names(self, directory: str) -> list[str]:
        """Of the directory's files."""
        return [path.rpartition("/")[2] for path in self.disk.names]

    def plain(self, path: str) -> bool:
        """A file that is there."""
        return bool(self._at(path))

    def inode(self, path: str) -> int:
        """The number of the content."""
        return self._at(path).number

    def size(self, path: str) -> int:
        """Bytes now."""
        return len(self._at(path).now)

    def rename(self, old: str, new: str) -> None:
        """Names alone; not durable."""
        self.disk.call("rename", new, False)
        self.disk.names[new] = self.disk.names.pop(old)

    def remove(self, path: str) -> None:
        """Names alone; not durable."""
        if path in self.disk.names:
            self.disk.call("remove", path, False)
            self.disk.names.pop(path, None)

    def settle(self, directory: str) -> None:
        """Names are durable."""
        self.disk.call("settle", directory, False)
        self.disk.durable = dict(self.disk.names)

    def _at(self, path: str) -> Content:
        if path not in self.disk.names:
            raise FileNotFoundError(errno.ENOENT, "No such file")
        return self.disk.names[path]


class _Vfs(apsw.VFS):
    def __init__(self, name: str, disk: Disk) -> None:
        self.disk = disk
        super().__init__(name, "unix")

    def xFullPathname(self, name: str) -> str:
        return name

    def xAccess(self, pathname: str, flags: int) -> bool:
        return pathname in self.disk.names

    def xDelete(self, filename: str, syncdir: bool) -> None:
        if filename not in self.disk.names:
            raise apsw.IOError
        self.disk.call("remove", filename)
        del self.disk.names[filename]
        if syncdir:
            self.disk.durable = dict(self.disk.names)

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> _File:  # type: ignore[override]
        path = name.filename() if isinstance(name, apsw.URIFilename) else str(name)
        content = self.disk.names.get(path)
        if content is None:
            if not flags[0] & apsw.SQLITE_OPEN_CREATE:
                raise apsw.CantOpenError
            self.disk.call("create", path)
            content = self.disk.names[path] = Content()
        flags[1] = flags[0]
        return _File(self.disk, path, content)


class _File:
    """SQLite's methods of an open file."""

    def __init__(self, disk: Disk, path: str, content: Content) -> None:
        self.disk, self.path, self.content = disk, path, content

    def xRead(self, amount: int, offset: int) -> bytes:
        return bytes(self.content.now[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.call("write", self.path)
        self.content.unsynced.append((offset, bytes(data)))
        self.content.apply(self.content.now, offset, bytes(data))

    def xTruncate(self, newsize: int) -> None:
        self.disk.call("cut", self.path)
        length = newsize.to_bytes(8, "big")
        self.content.unsynced.append((-1, length))
        self.content.apply(self.content.now, -1, length)

    def xSync(self, flags: int) -> None:
        self.disk.call("sync", self.path)
        self.disk.sync(self.content)
        if self.path not in self.disk.durable and self.path.endswith(("-wal", "-journal")):
            self.disk.durable[self.path] = self.content  # as SQLite's own VFS syncs the directory then

    def xFileSize(self) -> int:
        return len(self.content.now)

    def xLock(self, level: int) -> None:
        """There is one owner."""

    def xUnlock(self, level: int) -> None:
        """There is one owner."""

    def xCheckReservedLock(self) -> bool:
        return False

    def xFileControl(self, op: int, ptr: int) -> bool:
        return False

    def xSectorSize(self) -> int:
        return SECTOR

    def xDeviceCharacteristics(self) -> int:
        return 0

    def xClose(self) -> None:
        """Nothing is held."""
