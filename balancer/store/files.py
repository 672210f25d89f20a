"""The file-system interface of the store: directory operations, and the SQLite VFS of its files.

`LocalFileSystem` is the local file system. Tests pass a simulated one, which fails at the n-th call, tears or
loses unsynced writes, or blocks (`balancer/testbed/simulated_disk.py`).
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import stat
from typing import Protocol

LOCK_FILE_NAME = "owner"
"""Locked by the process that owns the directory; contains its process id, for operators."""


class DirectoryLock(Protocol):
    """Exclusive ownership of a directory, until it is released or the process ends."""

    def release(self) -> None:
        """Lets another process lock the directory."""


class FileSystem(Protocol):
    """Disk operations of the store besides SQLite's own calls, which go to the VFS `vfs_name`.

    All methods raise OSError.
    """

    vfs_name: str

    def lock(self, directory: str) -> DirectoryLock:
        """Locks a directory; raises BlockingIOError while another running process holds the lock."""

    def list_names(self, directory: str) -> list[str]:
        """Names in a directory, in no particular order."""

    def is_regular_file(self, path: str) -> bool:
        """Whether the path is a regular file, not a directory or a symbolic link."""

    def inode(self, path: str) -> int:
        """A number that distinguishes a file from a later one with the same name."""

    def size_bytes(self, path: str) -> int:
        """Size of a file."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; durable after `sync_directory`."""

    def remove(self, path: str) -> None:
        """Removes a file; a missing file is not an error. Durable after `sync_directory`."""

    def sync_directory(self, directory: str) -> None:
        """Makes the directory's current entries durable."""


class _FlockLock:
    def __init__(self, file_descriptor: int) -> None:
        self._file_descriptor = file_descriptor

    def release(self) -> None:
        """Closes the file, which releases its flock(2)."""
        if self._file_descriptor >= 0:
            os.close(self._file_descriptor)
        self._file_descriptor = -1


class LocalFileSystem:
    """The local file system."""

    vfs_name = "unix"

    def lock(self, directory: str) -> DirectoryLock:
        """Locks the lock file by flock(2), which the kernel releases when the process ends."""
        path = os.path.join(directory, LOCK_FILE_NAME)
        flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
        file_descriptor = os.open(path, flags, 0o600)
        try:
            fcntl.flock(file_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            # If the lock file was removed, another process could lock a new file of the same name.
            if os.stat(path).st_ino != os.fstat(file_descriptor).st_ino:
                raise BlockingIOError(errno.EAGAIN, "the lock file was replaced")
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
        """Renames a file atomically, as POSIX guarantees."""
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
