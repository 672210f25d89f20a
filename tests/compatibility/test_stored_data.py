"""A store directory of the version before the renaming is read as that version read it."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

from tests.compatibility import stored_data

EXPECTED = json.loads((stored_data.DIRECTORY.parent / "store.json").read_text())


def test_directory_of_the_version_before_reads_as_recorded(tmp_path: Path) -> None:
    copy = tmp_path / "store"
    shutil.copytree(stored_data.DIRECTORY, copy)
    assert json.loads(json.dumps(stored_data.read(copy))) == EXPECTED


def test_directory_written_now_reads_as_the_recorded_one(tmp_path: Path) -> None:
    stored_data.write(tmp_path / "store")
    found = json.loads(json.dumps(stored_data.read(tmp_path / "store")))
    assert found == EXPECTED


def test_file_names_written_now_equal_the_recorded_ones(tmp_path: Path) -> None:
    stored_data.write(tmp_path / "store")
    written = {path.name for path in (tmp_path / "store").iterdir()}
    assert written == {path.name for path in stored_data.DIRECTORY.iterdir()}
