"""Errors of the store: one base class, what is wrong with a file as a kind and a path."""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Iterator
from enum import Enum


class FaultKind(Enum):
    """What is wrong with the store, or with a part of it. The values are exported."""

    LOCKED = "owned"
    """Another living process has the directory."""
    MISSING = "gone"
    """The directory or the file in use does not exist (any more)."""
    DISK_FULL = "full"
    READ_ONLY = "read-only"
    FOREIGN = "foreign"
    """A directory, a symbolic link or another program's file is where a file of the store should be."""
    UNSUPPORTED_FORMAT = "format"
    """The file has a format version that this program cannot read."""
    CORRUPT = "spoiled"
    """A checksum, a seal or SQLite's own structure is wrong."""
    IO_ERROR = "failed"
    """A read, write or sync returned an error."""


_FAULT_KIND_BY_ERRNO = {
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


class StoreError(Exception):
    """Base class of the store's errors."""


class StoreFileError(StoreError):
    """A file or the directory of the store cannot be used.

    `path` names it, `detail` is the message of the system or of SQLite.
    """

    def __init__(self, kind: FaultKind, path: str, detail: str) -> None:
        self.kind, self.path, self.detail = kind, path, detail
        super().__init__(f"{path}: {kind.value}: {detail}")


class WriteQueueFullError(StoreError):
    """A lane of the write queue is full, or the store is closing; nothing of the request was queued."""

    def __init__(self, queued_changes: int, is_closing: bool) -> None:
        self.queued_changes, self.is_closing = queued_changes, is_closing
        super().__init__("the store is closing" if is_closing else f"{queued_changes} changes wait")


def store_error_from_os(error: OSError, path: str) -> StoreFileError:
    """Converts an error of the system, by its errno."""
    kind = _FAULT_KIND_BY_ERRNO.get(error.errno or 0, FaultKind.IO_ERROR)
    return StoreFileError(kind, path, error.strerror or str(error))


@contextlib.contextmanager
def translate_os_errors(path: str) -> Iterator[None]:
    """Raises each OSError of the block as a StoreFileError about `path`."""
    try:
        yield
    except OSError as error:
        raise store_error_from_os(error, path) from error
