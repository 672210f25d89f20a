"""Names that other programs, stored files and operators see are those of the version before the renaming."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path

import pytest

from tests.compatibility import exported_names

RECORDED = json.loads((Path(__file__).parent / "fixtures" / "exported_names.json").read_text())
STATIC = exported_names.static_names()


def test_recorded_groups_of_names_are_those_collected() -> None:
    assert STATIC.keys() == RECORDED["static"].keys()


@pytest.mark.parametrize("group", RECORDED["static"])
def test_exported_names_equal_the_recorded_ones(group: str) -> None:
    assert json.loads(json.dumps(STATIC[group])) == RECORDED["static"][group]


def test_json_keys_of_running_node_and_its_directory_equal_the_recorded_ones() -> None:
    with tempfile.TemporaryDirectory(prefix="n") as folder:  # short: a socket's path has 100 bytes at most
        assert asyncio.run(exported_names.json_keys(Path(folder))) == RECORDED["json_keys"]
