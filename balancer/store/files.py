"""The file layer as a port: what the store asks of a directory, and the SQLite VFS that its files go through.

`Real` is the machine's own. A test hands in another whose VFS fails at the n-th call, tears or loses what was
not synced, or waits (`balancer/testbed/simulated_disk.py`).
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import stat
from enum import Enum
from typing import Protocol


class FaultKind(Enum):
    """What is wrong with the store, or with a part of it."""

    LOCKED = "owned"  # another living process holds the directory
    MISSING = "gone"  # the directory or the file in use is not there (any more)
    DISK_FULL = "full"
    READ_ONLY = "read-only"
    FOREIGN = "foreign"  # a folder, a link or another program's file where one of the store's should be
    UNSUPPORTED_FORMAT = "format"  # a version that this program cannot read
    CORRUPT = "spoiled"  # a checksum, a seal or SQLite's own structure does not hold
    IO_ERROR = "failed"  # a read, write or sync came back with an error


class StoreFileError(Exception):
    """Something of the store cannot be used: what, where, and why."""

    def __init__(self, kind: FaultKind, path: str, detail: str) -> None:
        self.kind, self.path, self.detail = kind, path, detail
        super().__init__(f"{path}: {kind.value}: {detail}")


def store_error_from_os(error: OSError, path: str) -> StoreFileError:
    """The fault that an error of the system stands for."""
    kinds = {
        errno.ENOSPC: FaultKind.DISK_FULL,
        errno.EDQUOT: FaultKind.DISK_FULL,
        errno.EROFS: FaultKind.READ_ONLY,
        errno.EACCES: FaultKind.READ_ONLY,
        errno.EPERM: FaultKind.READ_ONLY,
        errno.ENOENT: FaultKind.MISSING,
        errno.ELOOP: FaultKind.FOREIGN,
        errno.EISDIR: FaultKind.FOREIGN,
        errno.ENOTDIR: FaultKind.FOREIGN,
    }
    return StoreFileError(kinds.get(error.errno or 0, FaultKind.IO_ERROR), path, error.strerror or str(error))


class DirectoryLock(Protocol):
    """The directory while it is one's own."""

    def release(self) -> None:
        """Let others have it."""


class FileSystem(Protocol):
    """What the store asks of the disk beside SQLite's own calls, which go to the VFS named `vfs`.

    All raise OSError.
    """

    vfs_name: str

    def lock(self, directory: str) -> DirectoryLock:
        """Be the one owner; BlockingIOError while another lives. A dead owner holds nothing."""

    def list_names(self, directory: str) -> list[str]:
        """Names in it, in no order."""

    def is_regular_file(self, path: str) -> bool:
        """Whether this is a file of its own, no folder and no link."""

    def inode(self, path: str) -> int:
        """What tells a file from another one of the same name."""

    def size_bytes(self, path: str) -> int:
        """Bytes."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name; durable after `settle`."""

    def remove(self, path: str) -> None:
        """Take a file away; one that is not there is no error."""

    def sync_directory(self, directory: str) -> None:
        """Make names, as they are now, durable."""


class _FlockLock:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def release(self) -> None:
        """Closing the file lets go of it."""
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = -1


class LocalFileSystem:
    """The machine's own files."""

    vfs_name = "unix"

    def lock(self, directory: str) -> DirectoryLock:
        """By flock(2) on the file `owner`: the kernel lets go of it when its process dies."""
        path, flags = os.path.join(directory, "owner"), os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
        fd = os.open(path, flags, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            # Guards against an `owner` that was taken away: another process would lock a file of its own.
            if os.stat(path).st_ino != os.fstat(fd).st_ino:
                raise BlockingIOError(errno.EAGAIN, "the lock's file was replaced")
            os.ftruncate(fd, 0)
            os.pwrite(fd, f"{os.getpid()}\n".encode(), 0)
        except BaseException:
            os.close(fd)
            raise
        return _FlockLock(fd)

    def list_names(self, directory: str) -> list[str]:
        """By listdir(3)."""
        return os.listdir(directory)

    def is_regular_file(self, path: str) -> bool:
        """By lstat(2)."""
        return stat.S_ISREG(os.lstat(path).st_mode)

    def inode(self, path: str) -> int:
        """By lstat(2)."""
        return os.lstat(path).st_ino

    def size_bytes(self, path: str) -> int:
        """By lstat(2)."""
        return os.lstat(path).st_size

    def rename(self, old: str, new: str) -> None:
        """By rename(2)."""
        os.rename(old, new)

    def remove(self, path: str) -> None:
        """By unlink(2)."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)

    def sync_directory(self, directory: str) -> None:
        """By fsync(2) of the directory."""
        fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
