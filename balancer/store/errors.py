"""Errors of the store: a common base class; an error about a file carries a fault kind and the path."""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Iterator
from enum import Enum


class FaultKind(Enum):
    """What is wrong with the store or one of its files. The values are exported."""

    LOCKED = "owned"
    """Another running process owns the directory."""
    MISSING = "gone"
    """The directory or the file in use does not exist, or no longer exists."""
    DISK_FULL = "full"
    READ_ONLY = "read-only"
    FOREIGN = "foreign"
    """A directory, a symbolic link or another program's file is in the place of a store file."""
    UNSUPPORTED_FORMAT = "format"
    """The file has a format version that this program cannot read."""
    CORRUPT = "spoiled"
    """A checksum, a seal or SQLite's own structure is invalid."""
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

    `path` is the file or directory, `detail` the message of the operating system or of SQLite.
    """

    def __init__(self, kind: FaultKind, path: str, detail: str) -> None:
        self.kind, self.path, self.detail = kind, path, detail
        super().__init__(f"{path}: {kind.value}: {detail}")


class WriteQueueFullError(StoreError):
    """A lane of the write queue is full, or the store is closing; no part of the request was queued."""

    def __init__(self, queued_changes: int, is_closing: bool) -> None:
        self.queued_changes, self.is_closing = queued_changes, is_closing
        super().__init__("the store is closing" if is_closing else f"{queued_changes} changes are queued")


def store_error_from_os(error: OSError, path: str) -> StoreFileError:
    """Converts an error of the operating system; its errno determines the fault kind."""
    kind = _FAULT_KIND_BY_ERRNO.get(error.errno or 0, FaultKind.IO_ERROR)
    return StoreFileError(kind, path, error.strerror or str(error))


@contextlib.contextmanager
def translate_os_errors(path: str) -> Iterator[None]:
    """Raises an OSError of the `with` block as a StoreFileError about `path`."""
    try:
        yield
    except OSError as error:
        raise store_error_from_os(error, path) from error
