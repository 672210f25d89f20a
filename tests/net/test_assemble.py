"""Putting a node together: in which order."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from dillport.net import assemble
from dillport.net.config import load
from dillport.net.fleet import Fleet
from tests.sockets import configuration


class Reached(Exception):
    """The start has come as far as the test wants it."""


def test_sighup_does_not_end_a_node_that_reads_its_first_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the signal's default, which ends the process: a list of thousands takes a while."""
    (tmp_path / "c.json").write_text(json.dumps(configuration([], 1)))
    config = load({"PROXY_CONFIG": str(tmp_path / "c.json")})
    found: list[Any] = []

    def hand(self: Fleet, event: object) -> None:
        found.append(signal.getsignal(signal.SIGHUP))
        raise Reached

    monkeypatch.setattr(Fleet, "hand", hand)
    before = signal.getsignal(signal.SIGHUP)
    with pytest.raises(Reached):
        asyncio.run(assemble.serve(config))
    assert found[0] not in (before, signal.SIG_DFL)
