"""Faults of a state directory: on plain files, and on a process that writes."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

import pytest

from balancer.testbed import disk_faults as disk

DATA = bytes(range(200))


@pytest.fixture
def place(tmp_path: Path) -> Path:
    """A directory with an old file, the newest one, and an empty one that is newer still."""
    out = tmp_path / "n0.state"
    (out / "deep").mkdir(parents=True)
    for number, (name, data) in enumerate((("old", DATA), ("deep/new", DATA), ("empty", b""))):
        (out / name).write_bytes(data)
        os.utime(out / name, (1_000 + number, 1_000 + number))
    return out


def contents(place: Path) -> dict[str, bytes]:
    return {str(path.relative_to(place)): path.read_bytes() for path in place.rglob("*") if path.is_file()}


def test_newest_file_faults_damage_it_as_the_seed_decides(place: Path) -> None:
    new = place / "deep/new"
    for seed in (1, 2):
        disk.flip_bits_in_newest_file(place, random.Random(seed))
        wrong = sum((a ^ b).bit_count() for a, b in zip(new.read_bytes(), DATA, strict=True))
        assert wrong == 8
        new.write_bytes(DATA)
    lengths = set()
    for seed in range(20):
        new.write_bytes(DATA)
        disk.truncate_newest_file(place, random.Random(seed))
        assert DATA.startswith(new.read_bytes())
        lengths.add(len(new.read_bytes()))
    assert len(lengths) > 10 and max(lengths) < len(DATA)
    new.write_bytes(DATA)
    disk.replace_newest_file_by_directory(place)
    assert new.is_dir() and contents(place) == {"old": DATA, "empty": b""}
    disk.empty_directory(place)
    for act in (
        disk.truncate_newest_file,
        disk.flip_bits_in_newest_file,
    ):  # nothing is there: nothing happens
        act(place, random.Random(1))
    assert place.is_dir() and not list(place.iterdir())


def test_directory_faults_swap_copy_restore_and_hide(place: Path, tmp_path: Path) -> None:
    others = [tmp_path / f"n{n}.state" for n in (1, 2)]
    for other in others:
        other.mkdir()
        (other / "mine").write_text(other.name)
    before = contents(place)
    with pytest.raises(FileNotFoundError, match=r"no copy of n0\.state was taken"):
        disk.restore_copy(place)
    disk.save_copy(place)
    disk.swap_directories([place, *others])
    assert [sorted(contents(one)) for one in (place, *others)] == [["mine"], sorted(before), ["mine"]]
    assert contents(place)["mine"] == b"n2.state" and contents(others[1])["mine"] == b"n1.state"
    disk.restore_copy(place)
    assert contents(place) == before
    disk.set_directory_hidden(place, True)
    disk.set_directory_hidden(place, True)
    with pytest.raises(NotADirectoryError):
        (place / "old").read_bytes()
    disk.set_directory_hidden(place, False)
    disk.set_directory_hidden(place, False)
    assert contents(place) == before


def test_limit_file_size_makes_writes_fail_until_it_is_removed(tmp_path: Path) -> None:
    """The process continues to read and is not killed: Python ignores SIGXFSZ."""
    text = (
        "import sys\n"
        "for line in sys.stdin:\n"
        "    try:\n"
        "        with open(line.strip(), 'ab', buffering=0) as out: out.write(b'x' * 10)\n"
        "        print('written', flush=True)\n"
        "    except OSError as err: print(err.strerror, open(line.strip()).read(), flush=True)\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", text], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert process.stdin is not None and process.stdout is not None
    said = []
    try:
        for size in (None, 10, 0, None):
            disk.limit_file_size(process.pid, size)
            print(tmp_path / "f", file=process.stdin, flush=True)
            said.append(process.stdout.readline().strip())
    finally:
        process.kill()
        process.communicate()
    assert said == ["written", "File too large xxxxxxxxxx", "File too large xxxxxxxxxx", "written"]
