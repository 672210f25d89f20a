"""Faults of a node's state directory that can be injected from outside the process, without privileges.

While the process is down, `truncate_newest_file`, `flip_bits_in_newest_file` and
`replace_newest_file_by_directory` damage the file that was written last; `empty_directory`,
`swap_directories`, `save_copy` and `restore_copy` change the whole directory.

While it runs:
- `limit_file_size` sets RLIMIT_FSIZE of the process (prlimit(2)): no file may grow beyond this size, and a
  write fails with EFBIG where a full disk fails with ENOSPC. A limit of 0 allows reads but no writes, as on a
  read-only disk. chmod does not stop root, and mounts and immutable files need privileges that no test should
  need.
- `set_directory_hidden` replaces the directory by a file: opening a path in it fails, while open files
  continue to work.

`simulated_disk` simulates slow syncs and the loss of unsynced writes inside the process.
"""

from __future__ import annotations

import random
import resource
import shutil
from collections.abc import Sequence
from pathlib import Path


def newest_file(directory: Path) -> Path | None:
    """Returns the non-empty file that was written last, at any depth; None if there is none."""
    files = [path for path in directory.rglob("*") if path.is_file() and not path.is_symlink()]
    non_empty_files = [(path.stat().st_mtime_ns, str(path), path) for path in files if path.stat().st_size]
    return max(non_empty_files)[2] if non_empty_files else None


def truncate_newest_file(directory: Path, rng: random.Random) -> None:
    """Truncates the newest file at a random offset."""
    if (path := newest_file(directory)) is not None:
        with path.open("r+b") as file:
            file.truncate(rng.randrange(path.stat().st_size))


def flip_bits_in_newest_file(directory: Path, rng: random.Random, bit_count: int = 8) -> None:
    """Inverts `bit_count` different random bits of the newest file, or all of its bits if it has fewer."""
    if (path := newest_file(directory)) is not None:
        data = bytearray(path.read_bytes())
        for bit in rng.sample(range(8 * len(data)), min(bit_count, 8 * len(data))):
            data[bit // 8] ^= 1 << bit % 8
        path.write_bytes(data)


def replace_newest_file_by_directory(directory: Path) -> None:
    """Replaces the newest file by an empty directory."""
    if (path := newest_file(directory)) is not None:
        path.unlink()
        path.mkdir()


def empty_directory(directory: Path) -> None:
    """Removes everything in a directory."""
    shutil.rmtree(directory)
    directory.mkdir()


def swap_directories(directories: Sequence[Path]) -> None:
    """Rotates the contents: each directory gets those of the previous one, the first those of the last."""
    moved_paths = [path.rename(path.with_suffix(".swap")) for path in directories]
    for path, moved_path in zip(directories, [moved_paths[-1], *moved_paths[:-1]], strict=True):
        moved_path.rename(path)


def save_copy(directory: Path) -> None:
    """Saves a copy of a directory next to it, replacing an earlier copy."""
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
    """Replaces a directory by a file, or restores the directory; repeated calls have no effect."""
    hidden_path = directory.with_suffix(".away")
    if is_hidden and not hidden_path.exists():
        directory.rename(hidden_path)
        directory.touch()
    elif not is_hidden and hidden_path.exists():
        directory.unlink()
        hidden_path.rename(directory)
