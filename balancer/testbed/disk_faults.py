"""Faults of a node's state directory that can be injected from outside, without special rights.

While the process is down, on the file that was written last: `truncate_newest_file`,
`flip_bits_in_newest_file` and `replace_newest_file_by_directory`; on the whole directory: `empty_directory`,
`swap_directories`, `save_copy` and `restore_copy`.

While it runs:
- `limit_file_size`: RLIMIT_FSIZE of the process (prlimit(2)): no file may grow past so many bytes, and a
  write returns EFBIG where a full disk returns ENOSPC. At 0 nothing can be written but all can be read, as on
  a read-only disk: chmod does not stop root, and mounts and immutable files need rights that no test should
  need.
- `set_directory_hidden`: a file takes the place of the directory: opening a path in it fails, and files that
  are open continue to work.

A disk that is slow, or that loses what was not synced, is simulated in the process (`simulated_disk`).
"""

from __future__ import annotations

import random
import resource
import shutil
from collections.abc import Sequence
from pathlib import Path


def newest_file(directory: Path) -> Path | None:
    """The non-empty file that was written last, at any depth; None if there is none."""
    found = [path for path in directory.rglob("*") if path.is_file() and not path.is_symlink()]
    filled = [(path.stat().st_mtime_ns, str(path), path) for path in found if path.stat().st_size]
    return max(filled)[2] if filled else None


def truncate_newest_file(directory: Path, rng: random.Random) -> None:
    """Truncates the newest file at a random byte."""
    if (path := newest_file(directory)) is not None:
        with path.open("r+b") as file:
            file.truncate(rng.randrange(path.stat().st_size))


def flip_bits_in_newest_file(directory: Path, rng: random.Random, bit_count: int = 8) -> None:
    """Inverts so many different bits of the newest file."""
    if (path := newest_file(directory)) is not None:
        data = bytearray(path.read_bytes())
        for bit in rng.sample(range(8 * len(data)), min(bit_count, 8 * len(data))):
            data[bit // 8] ^= 1 << bit % 8
        path.write_bytes(data)


def replace_newest_file_by_directory(directory: Path) -> None:
    """Puts a directory in the place of the newest file."""
    if (path := newest_file(directory)) is not None:
        path.unlink()
        path.mkdir()


def empty_directory(directory: Path) -> None:
    """Removes everything in a directory."""
    shutil.rmtree(directory)
    directory.mkdir()


def swap_directories(directories: Sequence[Path]) -> None:
    """Rotates contents: each gets what the one before it had, the first what the last had."""
    moved = [path.rename(path.with_suffix(".swap")) for path in directories]
    for path, other in zip(directories, [moved[-1], *moved[:-1]], strict=True):
        other.rename(path)


def save_copy(directory: Path) -> None:
    """Saves a copy of a directory beside it, in place of an earlier one."""
    shutil.rmtree(_copy_path(directory), ignore_errors=True)
    shutil.copytree(directory, _copy_path(directory))


def restore_copy(directory: Path) -> None:
    """Restores a directory from its copy; raises FileNotFoundError if there is none."""
    copy_path = _copy_path(directory)
    if not copy_path.is_dir():
        raise FileNotFoundError(f"no copy of {directory.name} was taken")
    shutil.rmtree(directory)
    shutil.copytree(copy_path, directory)


def _copy_path(directory: Path) -> Path:
    return directory.with_suffix(".copy")


def limit_file_size(pid: int, max_size_bytes: int | None) -> None:
    """Limits the size of each file that a process of this user writes; None removes the limit."""
    _, hard_limit_bytes = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    soft_limit_bytes = hard_limit_bytes if max_size_bytes is None else max_size_bytes
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft_limit_bytes, hard_limit_bytes))


def set_directory_hidden(directory: Path, is_hidden: bool) -> None:
    """Puts a file in the place of a directory, or the directory back; repeating either has no effect."""
    hidden_path = directory.with_suffix(".away")
    if is_hidden and not hidden_path.exists():
        directory.rename(hidden_path)
        directory.touch()
    elif not is_hidden and hidden_path.exists():
        directory.unlink()
        hidden_path.rename(directory)
