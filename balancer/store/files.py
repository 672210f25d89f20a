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


class Trouble(Enum):
    """What is wrong with the store, or with a part of it."""

    OWNED = "owned"  # another living process holds the directory
    GONE = "gone"  # the directory or the file in use is not there (any more)
    FULL = "full"
    READ_ONLY = "read-only"
    FOREIGN = "foreign"  # a folder, a link or another program's file where one of the store's should be
    FORMAT = "format"  # a version that this program cannot read
    SPOILED = "spoiled"  # a checksum, a seal or SQLite's own structure does not hold
    FAILED = "failed"  # a read, write or sync came back with an error


class StoreFault(Exception):
    """Something of the store cannot be used: what, where, and why."""

    def __init__(self, trouble: Trouble, where: str, what: str) -> None:
        self.trouble, self.where, self.what = trouble, where, what
        super().__init__(f"{where}: {trouble.value}: {what}")


def of_os(err: OSError, where: str) -> StoreFault:
    """The fault that an error of the system stands for."""
    kinds = {
        errno.ENOSPC: Trouble.FULL,
        errno.EDQUOT: Trouble.FULL,
        errno.EROFS: Trouble.READ_ONLY,
        errno.EACCES: Trouble.READ_ONLY,
        errno.EPERM: Trouble.READ_ONLY,
        errno.ENOENT: Trouble.GONE,
        errno.ELOOP: Trouble.FOREIGN,
        errno.EISDIR: Trouble.FOREIGN,
        errno.ENOTDIR: Trouble.FOREIGN,
    }
    return StoreFault(kinds.get(err.errno or 0, Trouble.FAILED), where, err.strerror or str(err))


class Held(Protocol):
    """The directory while it is one's own."""

    def release(self) -> None:
        """Let others have it."""


class Files(Protocol):
    """What the store asks of the disk beside SQLite's own calls, which go to the VFS named `vfs`.

    All raise OSError.
    """

    vfs: str

    def lock(self, directory: str) -> Held:
        """Be the one owner; BlockingIOError while another lives. A dead owner holds nothing."""

    def names(self, directory: str) -> list[str]:
        """Names in it, in no order."""

    def plain(self, path: str) -> bool:
        """Whether this is a file of its own, no folder and no link."""

    def inode(self, path: str) -> int:
        """What tells a file from another one of the same name."""

    def size(self, path: str) -> int:
        """Bytes."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name; durable after `settle`."""

    def remove(self, path: str) -> None:
        """Take a file away; one that is not there is no error."""

    def settle(self, directory: str) -> None:
        """Make names, as they are now, durable."""


class _Lock:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def release(self) -> None:
        """Closing the file lets go of it."""
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = -1


class Real:
    """The machine's own files."""

    vfs = "unix"

    def lock(self, directory: str) -> Held:
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
        return _Lock(fd)

    def names(self, directory: str) -> list[str]:
        """By listdir(3)."""
        return os.listdir(directory)

    def plain(self, path: str) -> bool:
        """By lstat(2)."""
        return stat.S_ISREG(os.lstat(path).st_mode)

    def inode(self, path: str) -> int:
        """By lstat(2)."""
        return os.lstat(path).st_ino

    def size(self, path: str) -> int:
        """By lstat(2)."""
        return os.lstat(path).st_size

    def rename(self, old: str, new: str) -> None:
        """By rename(2)."""
        os.rename(old, new)

    def remove(self, path: str) -> None:
        """By unlink(2)."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)

    def settle(self, directory: str) -> None:
        """By fsync(2) of the directory."""
        fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
