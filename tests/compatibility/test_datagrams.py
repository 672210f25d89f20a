"""Datagrams of the version before the renaming are read as it read them, and written as it wrote them."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from balancer.protocol import gossip
from tests.compatibility import datagrams

RECORDED = json.loads((Path(__file__).parent / "fixtures" / "datagrams.json").read_text())


@pytest.mark.parametrize("number", range(len(RECORDED)))
def test_recorded_datagram_reads_as_recorded(number: int) -> None:
    recorded = RECORDED[number]
    assert datagrams.read(bytes.fromhex(recorded["bytes"])) == recorded["says"]


def test_datagrams_written_now_equal_the_recorded_bytes() -> None:
    assert datagrams.write() == RECORDED


def test_recorded_datagrams_written_again_give_the_same_bytes() -> None:
    key = gossip.Key(datagrams.SECRET)
    writer = gossip.Writer("node-ä", [key])
    for recorded in RECORDED:
        data = bytes.fromhex(recorded["bytes"])
        found = gossip.Reader([key]).read(0, "10.0.0.1:1", data)
        assert isinstance(found, gossip.AcceptedDatagram)
        sections: list[tuple[int, Any]] = []
        for kind, raw in found.sections:
            again = datagrams.write_section(kind, datagrams.read_section(kind, raw))
            assert again == raw
            sections.append((kind, again))
        assert writer.write(found.incarnation, found.message, sections) == data
