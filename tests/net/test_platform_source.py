"""The platform's list as a source on sockets: what a fault costs it."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any

import pytest

from dillport.decide.membership import Event, Listed, Spoiled
from dillport.members import ListingBuilder
from dillport.net.sources.platform import PlatformSource
from tests.net.test_etcd_source import WAIT, run, until
from tests.sockets import FakeDiscovery


def test_a_fault_of_the_program_while_a_line_is_read_costs_that_watch(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a source that waits for good behind a line that ended its callback."""
    entry = ListingBuilder._entry

    def fails(self: ListingBuilder, index: int, row: Any) -> None:
        if row["id"] == "odd":
            raise ZeroDivisionError
        entry(self, index, row)

    monkeypatch.setattr(ListingBuilder, "_entry", fails)
    good: dict[str, Any] = {"id": "good", "host_port": "127.0.0.1:1", "phase": "in_service"}

    async def test() -> None:
        told: list[Event] = []
        discovery = FakeDiscovery()
        await discovery.start()
        address = ("127.0.0.1", discovery.port)
        source = PlatformSource(
            address, False, lambda: time.monotonic() * 1000, told.append, lambda: 1, lambda: None
        )
        source.watch(True)
        async with asyncio.timeout(WAIT):
            await discovery.asked.get()
            # Two lines in one piece: the second one waits behind the first.
            line = b'{"revision":%d,"complete":true,"members":[{"id":"odd"}]}\n'
            discovery.send(line % 2 + line % 3)
            await discovery.asked.get()
        discovery.news(4, good)
        await until(lambda: any(isinstance(event, Listed) for event in told))
        assert any(isinstance(event, Spoiled) for event in told)
        source.watch(False)

    with caplog.at_level(logging.ERROR):
        run(test)
    assert "ZeroDivisionError" in caplog.text
