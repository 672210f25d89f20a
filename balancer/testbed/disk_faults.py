"""Faults of a node's own directory that can be brought about from outside, without special rights.

While the process is down, on the file that was written last: `torn` (its end is missing), `flipped` (bits),
`blocked` (a folder in its place); on the whole directory: `wiped`, `swapped`, `copied` and `restored`.

While it runs:
- `full`: RLIMIT_FSIZE of the process (prlimit(2)): no file may go on past so many bytes, and a write says
  EFBIG where a full disk says ENOSPC. At 0 nothing can be written, but all can be read, as on a read-only
  disk: chmod does not stop root, and mounts and immutable files need rights that nobody should need.
- `away`: the directory is gone and a file is in its place: whatever is opened by its path fails, and what is
  open goes on.

A disk that is slow, or that loses what was not synced, is for the store's own file port, in its process.
"""

from __future__ import annotations

import random
import resource
import shutil
from collections.abc import Sequence
from pathlib import Path


def newest_file(directory: Path) -> Path | None:
    """The file with something in it that was written last, however deep; None where there is none."""
    found = [path for path in directory.rglob("*") if path.is_file() and not path.is_symlink()]
    filled = [(path.stat().st_mtime_ns, str(path), path) for path in found if path.stat().st_size]
    return max(filled)[2] if filled else None


def truncate_newest_file(directory: Path, rng: random.Random) -> None:
    """The newest file ends at any byte."""
    if (path := newest_file(directory)) is not None:
        with path.open("r+b") as file:
            file.truncate(rng.randrange(path.stat().st_size))


def flip_bits_in_newest_file(directory: Path, rng: random.Random, bit_count: int = 8) -> None:
    """So many different bits of the newest file are the other way round."""
    if (path := newest_file(directory)) is not None:
        data = bytearray(path.read_bytes())
        for bit in rng.sample(range(8 * len(data)), min(bit_count, 8 * len(data))):
            data[bit // 8] ^= 1 << bit % 8
        path.write_bytes(data)


def replace_newest_file_by_directory(directory: Path) -> None:
    """A folder is where the newest file was."""
    if (path := newest_file(directory)) is not None:
        path.unlink()
        path.mkdir()


def empty_directory(directory: Path) -> None:
    """Nothing is in it."""
    shutil.rmtree(directory)
    directory.mkdir()


def swap_directories(directories: Sequence[Path]) -> None:
    """Each gets what the one before it had, the first what the last had."""
    moved = [path.rename(path.with_suffix(".swap")) for path in directories]
    for path, other in zip(directories, [moved[-1], *moved[:-1]], strict=True):
        other.rename(path)


def save_copy(directory: Path) -> None:
    """Keep a copy of what is in it now, in place of one that was kept before."""
    shutil.rmtree(_copy_path(directory), ignore_errors=True)
    shutil.copytree(directory, _copy_path(directory))


def restore_copy(directory: Path) -> None:
    """It is as it was when it was copied; raises FileNotFoundError where it never was."""
    copy_path = _copy_path(directory)
    if not copy_path.is_dir():
        raise FileNotFoundError(f"no copy of {directory.name} was taken")
    shutil.rmtree(directory)
    shutil.copytree(copy_path, directory)


def _copy_path(directory: Path) -> Path:
    return directory.with_suffix(".copy")


def limit_file_size(pid: int, max_size_bytes: int | None) -> None:
    """No file of a process of ours may go on past so many bytes; None: as before."""
    _, hard_limit_bytes = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(
        pid,
        resource.RLIMIT_FSIZE,
        (hard_limit_bytes if max_size_bytes is None else max_size_bytes, hard_limit_bytes),
    )


def set_directory_hidden(directory: Path, is_hidden: bool) -> None:
    """A file is in its place, or it is there again."""
    hidden_path = directory.with_suffix(".away")
    if is_hidden and not hidden_path.exists():
        directory.rename(hidden_path)
        directory.touch()
    elif not is_hidden and hidden_path.exists():
        directory.unlink()
        hidden_path.rename(directory)
