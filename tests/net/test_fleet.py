"""The fleet: what a fault of one part costs the others, and what operators' changes bring about."""

from __future__ import annotations

import asyncio
import logging

import pytest

from dillport.decide.etcd_follow import EtcdConfig
from dillport.decide.membership import Apply, Source
from dillport.members import Member
from dillport.net.fleet import ETCD, Fleet
from dillport.net.sources.etcd import EtcdSource
from tests.net.test_etcd_source import WAIT, Gateway, run, until, value


class Sink:
    """Who is told of the view; it fails on request."""

    def __init__(self) -> None:
        self.view: dict[str, Member] = {}
        self.failing = False

    def now(self) -> float:
        """The loop's clock."""
        return asyncio.get_running_loop().time() * 1000

    def apply(self, change: Apply) -> None:
        """Take a change, or fail."""
        if self.failing:
            self.failing = False
            raise ZeroDivisionError
        for gone in change.removed:
            self.view.pop(gone.id)
        for one in change.members:
            self.view[one.id] = one


def test_a_fault_of_the_program_does_not_end_a_source(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a source that waits for good for what it was about to do when its news failed."""

    async def test() -> None:
        gateway, sink = await Gateway().start(), Sink()
        gateway.keys = {b"/m/a": value()}
        fleet = Fleet(sink, [Source(ETCD, pieces=True)])
        source = EtcdSource(EtcdConfig((gateway.url,), "/m/"), fleet.hand)
        sink.failing = True
        source.start()
        async with asyncio.timeout(WAIT):
            stream = await gateway.streams.get()
        stream.events((b"/m/b", value(2)))
        await until(lambda: "b" in sink.view)
        source.stop()
        gateway.stop()

    with caplog.at_level(logging.ERROR):
        run(test)
    assert "ZeroDivisionError" in caplog.text
