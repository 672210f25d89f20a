"""What the module hears of an attempt whose connection has not come up when its time is over."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import pytest

from balancer import interface as api
from tests.net.test_client_gone import Gate, fronting, run
from tests.sockets import CLASSES, Backend, Client


class Seen:
    """Keeps the outcomes."""

    def __init__(self) -> None:
        self.outcomes: list[api.AttemptFinished] = []

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Look at one event."""
        if isinstance(event, api.AttemptFinished):
            self.outcomes.append(event)


@pytest.mark.parametrize(
    ("connect", "status"),
    [(3_600_000, api.AttemptStatus.NOT_STARTED), (60, api.AttemptStatus.CONNECT_FAILED)],
)
def test_an_attempt_cut_short_while_its_connection_comes_up_tells_nothing_of_the_backend(
    tmp_path: Path, connect: int, status: api.AttemptStatus
) -> None:
    """Guards a backend against being left alone for the little time that a request had."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        gate, seen = Gate(backend.port), Seen()
        limits, classes = {"connect-timeout": connect, "most-tries": 1}, {"request-classes": CLASSES}
        async with fronting(tmp_path, backend.member(), limits=limits, **classes) as front:
            front.node.observer = seen
            known = front.node.balancer.backends["b0"]
            known.is_confirmed = True  # by discovery, not by memory alone
            front.node.balancer.state.failure_rate = 0.3  # as where many connections are late: one is no sign
            client = Client(*await asyncio.open_connection(*front.address))
            got = await client.ask("/read", "Request-Timeout: 1200m")
            assert got.code == 503  # nothing ran
            (end,) = seen.outcomes
            assert end.status is status and gate.tried == 1
            assert (
                known.consecutive_failures == (status is api.AttemptStatus.CONNECT_FAILED)
                and known.ejected_until_ms == 0.0
            )
            assert backend.got.empty()
            client.writer.transport.abort()
        backend.stop()

    run(test)
