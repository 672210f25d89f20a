"""The file-system port: what the store needs of a directory, and the SQLite VFS of its files.

`LocalFileSystem` is the machine's own. Tests pass another one, whose calls fail at the n-th, tear or lose
what was not synced, or block (`balancer/testbed/simulated_disk.py`).
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import stat
from typing import Protocol

LOCK_FILE_NAME = "owner"
"""Locked by the process that has the directory; it holds the process id, for operators."""


class DirectoryLock(Protocol):
    """Exclusive ownership of a directory, until it is released or the process ends."""

    def release(self) -> None:
        """Lets another process lock the directory."""


class FileSystem(Protocol):
    """What the store needs of the disk besides SQLite's own calls, which go to the VFS `vfs_name`.

    All methods raise OSError.
    """

    vfs_name: str

    def lock(self, directory: str) -> DirectoryLock:
        """Locks a directory; raises BlockingIOError while another living process has it."""

    def list_names(self, directory: str) -> list[str]:
        """Names in a directory, in no particular order."""

    def is_regular_file(self, path: str) -> bool:
        """Whether the path is a regular file: no directory and no symbolic link."""

    def inode(self, path: str) -> int:
        """A number that tells a file from another one of the same name."""

    def size_bytes(self, path: str) -> int:
        """Size of a file."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; durable after `sync_directory`."""

    def remove(self, path: str) -> None:
        """Removes a file; one that does not exist is no error. Durable after `sync_directory`."""

    def sync_directory(self, directory: str) -> None:
        """Makes the directory's entries, as they are now, durable."""


class _FlockLock:
    def __init__(self, file_descriptor: int) -> None:
        self._file_descriptor = file_descriptor

    def release(self) -> None:
        """Closes the file, which releases its flock(2)."""
        if self._file_descriptor >= 0:
            os.close(self._file_descriptor)
        self._file_descriptor = -1


class LocalFileSystem:
    """The machine's own file system."""

    vfs_name = "unix"

    def lock(self, directory: str) -> DirectoryLock:
        """Locks the lock file by flock(2), which the kernel releases when the process ends."""
        path = os.path.join(directory, LOCK_FILE_NAME)
        flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
        file_descriptor = os.open(path, flags, 0o600)
        try:
            fcntl.flock(file_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            # Guards against a lock file that was removed: another process would lock a new file of that name.
            if os.stat(path).st_ino != os.fstat(file_descriptor).st_ino:
                raise BlockingIOError(errno.EAGAIN, "the lock's file was replaced")
            os.ftruncate(file_descriptor, 0)
            os.pwrite(file_descriptor, f"{os.getpid()}\n".encode(), 0)
        except BaseException:
            os.close(file_descriptor)
            raise
        return _FlockLock(file_descriptor)

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
        """Give a file another name, in one step as POSIX has it."""
        os.rename(old, new)

    def remove(self, path: str) -> None:
        """By unlink(2)."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)

    def sync_directory(self, directory: str) -> None:
        """By fsync(2) of the directory."""
        file_descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file_descriptor)
        finally:
            os.close(file_descriptor)
