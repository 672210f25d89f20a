"""Tests of the platform source on sockets: exceptions and responses without a usable list."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any

import pytest

from balancer.core.discovery import platform_watcher
from balancer.core.discovery.endpoint_merger import (
    EndpointsListed,
    Event,
    SourceConfirmedCurrent,
    UpdateUnreadable,
)
from balancer.endpoints import EndpointListParser
from balancer.net.discovery.platform import PlatformSource
from tests.net.test_etcd_discovery import WAIT_TIMEOUT_S, run, until
from tests.sockets import FakeDiscovery

LONG_DRAIN_GRACE_MS = (
    platform_watcher.MAX_RETRY_WAIT_MS / platform_watcher.RETRY_WAIT_PER_DRAIN_GRACE
)  # allows the longest retry wait


def test_exception_while_a_line_is_parsed_ends_only_that_watch(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a source that hangs forever because parsing a line raised."""
    entry = EndpointListParser._read_row

    def fails(self: EndpointListParser, index: int, row: Any) -> None:
        if row["id"] == "odd":
            raise ZeroDivisionError
        entry(self, index, row)

    monkeypatch.setattr(EndpointListParser, "_read_row", fails)
    good: dict[str, Any] = {"id": "good", "host_port": "127.0.0.1:1", "phase": "in_service"}

    async def test() -> None:
        events: list[Event] = []
        discovery = FakeDiscovery()
        await discovery.start()
        address = ("127.0.0.1", discovery.port)
        source = PlatformSource(
            address,
            False,
            LONG_DRAIN_GRACE_MS,
            lambda: time.monotonic() * 1000,
            events.append,
            lambda: 1,
            lambda: None,
        )
        source.watch(True)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await discovery.asked.get()
            # Two lines in one packet: the second is pending while the first is parsed.
            line = b'{"revision":%d,"complete":true,"members":[{"id":"odd"}]}\n'
            discovery.send(line % 2 + line % 3)
            await discovery.asked.get()
        discovery.news(4, good)
        await until(lambda: any(isinstance(event, EndpointsListed) for event in events))
        assert any(isinstance(event, UpdateUnreadable) for event in events)
        source.watch(False)

    with caplog.at_level(logging.ERROR):
        run(test)
    assert "ZeroDivisionError" in caplog.text


class FixedAnswerDiscovery:
    """A discovery that gives every call the same answer and closes the connection."""

    def __init__(self, status: bytes, body: bytes) -> None:
        self.text = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)
        self.call_count = 0
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.call_count += 1
        writer.write(self.text)
        writer.close()


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (b"503 Service Unavailable", b"try later"),
        (b"200 OK", b'{"revision":1,"complete":true,"members":[]}'),  # older than the known revision
    ],
)
def test_answer_without_a_usable_list_does_not_reset_retry_waits(status: bytes, body: bytes) -> None:
    """Guards against a thousand nodes that each fetch an unusable list ten times a second."""

    async def test() -> None:
        events: list[Event] = []
        discovery = FixedAnswerDiscovery(status, body)
        await discovery.start()
        address = ("127.0.0.1", discovery.port)
        source = PlatformSource(
            address,
            False,
            LONG_DRAIN_GRACE_MS,
            lambda: time.monotonic() * 1000,
            events.append,
            lambda: None,
            lambda: None,
        )
        source.watch(True)
        await until(lambda: discovery.call_count == 3)
        assert source.watcher.backoff.next_ms >= 4 * platform_watcher.INITIAL_RETRY_WAIT_MS
        source.watch(False)
        assert status.startswith(b"200") or not any(
            isinstance(event, SourceConfirmedCurrent) for event in events
        )

    run(test)
