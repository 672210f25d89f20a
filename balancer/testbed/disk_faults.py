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


def newest(directory: Path) -> Path | None:
    """The file with something in it that was written last, however deep; None where there is none."""
    found = [path for path in directory.rglob("*") if path.is_file() and not path.is_symlink()]
    filled = [(path.stat().st_mtime_ns, str(path), path) for path in found if path.stat().st_size]
    return max(filled)[2] if filled else None


def torn(directory: Path, rng: random.Random) -> None:
    """The newest file ends at any byte."""
    if (path := newest(directory)) is not None:
        with path.open("r+b") as out:
            out.truncate(rng.randrange(path.stat().st_size))


def flipped(directory: Path, rng: random.Random, bits: int = 8) -> None:
    """So many different bits of the newest file are the other way round."""
    if (path := newest(directory)) is not None:
        data = bytearray(path.read_bytes())
        for bit in rng.sample(range(8 * len(data)), min(bits, 8 * len(data))):
            data[bit // 8] ^= 1 << bit % 8
        path.write_bytes(data)


def blocked(directory: Path) -> None:
    """A folder is where the newest file was."""
    if (path := newest(directory)) is not None:
        path.unlink()
        path.mkdir()


def wiped(directory: Path) -> None:
    """Nothing is in it."""
    shutil.rmtree(directory)
    directory.mkdir()


def swapped(directories: Sequence[Path]) -> None:
    """Each gets what the one before it had, the first what the last had."""
    kept = [path.rename(path.with_suffix(".swap")) for path in directories]
    for path, other in zip(directories, [kept[-1], *kept[:-1]], strict=True):
        other.rename(path)


def copied(directory: Path) -> None:
    """Keep a copy of what is in it now, in place of one that was kept before."""
    shutil.rmtree(_copy(directory), ignore_errors=True)
    shutil.copytree(directory, _copy(directory))


def restored(directory: Path) -> None:
    """It is as it was when it was copied; raises FileNotFoundError where it never was."""
    kept = _copy(directory)
    if not kept.is_dir():
        raise FileNotFoundError(f"no copy of {directory.name} was taken")
    shutil.rmtree(directory)
    shutil.copytree(kept, directory)


def _copy(directory: Path) -> Path:
    return directory.with_suffix(".copy")


def full(pid: int, size: int | None) -> None:
    """No file of a process of ours may go on past so many bytes; None: as before."""
    _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (most if size is None else size, most))


def away(directory: Path, on: bool) -> None:
    """A file is in its place, or it is there again."""
    kept = directory.with_suffix(".away")
    if on and not kept.exists():
        directory.rename(kept)
        directory.touch()
    elif not on and kept.exists():
        directory.unlink()
        kept.rename(directory)
