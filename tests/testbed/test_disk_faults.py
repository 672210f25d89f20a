"""Faults of a state directory: damage to plain files, and limits on a process that writes."""

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
def state_directory(tmp_path: Path) -> Path:
    """A directory with an old file, a newer one, and an empty file that is the newest of all."""
    directory = tmp_path / "n0.state"
    (directory / "deep").mkdir(parents=True)
    for number, (name, data) in enumerate((("old", DATA), ("deep/new", DATA), ("empty", b""))):
        (directory / name).write_bytes(data)
        os.utime(directory / name, (1_000 + number, 1_000 + number))
    return directory


def read_contents(state_directory: Path) -> dict[str, bytes]:
    return {
        str(path.relative_to(state_directory)): path.read_bytes()
        for path in state_directory.rglob("*")
        if path.is_file()
    }


def test_faults_of_newest_file_with_fixed_seeds_damage_only_that_file(state_directory: Path) -> None:
    newest = state_directory / "deep/new"
    for seed in (1, 2):
        disk.flip_bits_in_newest_file(state_directory, random.Random(seed))
        flipped_bit_count = sum((a ^ b).bit_count() for a, b in zip(newest.read_bytes(), DATA, strict=True))
        assert flipped_bit_count == 8
        newest.write_bytes(DATA)
    lengths = set()
    for seed in range(20):
        newest.write_bytes(DATA)
        disk.truncate_newest_file(state_directory, random.Random(seed))
        assert DATA.startswith(newest.read_bytes())
        lengths.add(len(newest.read_bytes()))
    assert len(lengths) > 10 and max(lengths) < len(DATA)
    newest.write_bytes(DATA)
    disk.replace_newest_file_by_directory(state_directory)
    assert newest.is_dir() and read_contents(state_directory) == {"old": DATA, "empty": b""}
    disk.empty_directory(state_directory)
    for inject_fault in (
        disk.truncate_newest_file,
        disk.flip_bits_in_newest_file,
    ):  # no effect on an empty directory
        inject_fault(state_directory, random.Random(1))
    assert state_directory.is_dir() and not list(state_directory.iterdir())


def test_faults_of_directory_swap_copy_restore_and_hide_its_contents(
    state_directory: Path, tmp_path: Path
) -> None:
    others = [tmp_path / f"n{n}.state" for n in (1, 2)]
    for other in others:
        other.mkdir()
        (other / "mine").write_text(other.name)
    before = read_contents(state_directory)
    with pytest.raises(FileNotFoundError, match=r"no copy of n0\.state was taken"):
        disk.restore_copy(state_directory)
    disk.save_copy(state_directory)
    disk.swap_directories([state_directory, *others])
    assert [sorted(read_contents(directory)) for directory in (state_directory, *others)] == [
        ["mine"],
        sorted(before),
        ["mine"],
    ]
    assert (
        read_contents(state_directory)["mine"] == b"n2.state"
        and read_contents(others[1])["mine"] == b"n1.state"
    )
    disk.restore_copy(state_directory)
    assert read_contents(state_directory) == before
    disk.set_directory_hidden(state_directory, True)
    disk.set_directory_hidden(state_directory, True)
    with pytest.raises(NotADirectoryError):
        (state_directory / "old").read_bytes()
    disk.set_directory_hidden(state_directory, False)
    disk.set_directory_hidden(state_directory, False)
    assert read_contents(state_directory) == before


def test_limit_file_size_below_file_size_fails_writes_until_removed(tmp_path: Path) -> None:
    """The process is not killed and can still read, because Python ignores SIGXFSZ."""
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
    answers = []
    try:
        for size in (None, 10, 0, None):
            disk.limit_file_size(process.pid, size)
            print(tmp_path / "f", file=process.stdin, flush=True)
            answers.append(process.stdout.readline().strip())
    finally:
        process.kill()
        process.communicate()
    assert answers == ["written", "File too large xxxxxxxxxx", "File too large xxxxxxxxxx", "written"]
