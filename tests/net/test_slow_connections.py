"""Attempts whose connection is not up when their time ends: the outcome that is reported."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import pytest

from balancer import interface as api
from tests.net.test_client_gone import ConnectGate, fronting, run
from tests.sockets import CLASSES, Backend, Client


class OutcomeRecorder:
    """An observer that records the outcomes of attempts."""

    def __init__(self) -> None:
        self.outcomes: list[api.AttemptFinished] = []

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Record the event if it is an outcome."""
        if isinstance(event, api.AttemptFinished):
            self.outcomes.append(event)


@pytest.mark.parametrize(
    ("connect_timeout_ms", "status"),
    [(3_600_000, api.AttemptStatus.NOT_STARTED), (60, api.AttemptStatus.CONNECT_FAILED)],
)
def test_attempt_that_ends_while_connecting_is_no_backend_failure(
    tmp_path: Path, connect_timeout_ms: int, status: api.AttemptStatus
) -> None:
    """The short time left of a request must not count as a failure of the backend."""

    async def test() -> None:
        backend = Backend("b0")
        await backend.start()
        gate, recorder = ConnectGate(backend.port), OutcomeRecorder()
        limits, classes = (
            {"connect-timeout": connect_timeout_ms, "most-tries": 1},
            {"request-classes": CLASSES},
        )
        async with fronting(tmp_path, backend.member(), limits=limits, **classes) as http_server:
            http_server.node.observer = recorder
            balancer_backend = http_server.node.balancer.backends["b0"]
            balancer_backend.is_confirmed = True  # by discovery, not by the stored list alone
            http_server.node.balancer.state.failure_rate = (
                0.3  # as if many connections were slow: a single one is no evidence
            )
            client = Client(*await asyncio.open_connection(*http_server.address))
            response = await client.ask("/read", "Request-Timeout: 1200m")
            assert response.code == 503  # nothing ran
            (outcome,) = recorder.outcomes
            assert outcome.status is status and gate.connect_count == 1
            assert (
                balancer_backend.consecutive_failures == (status is api.AttemptStatus.CONNECT_FAILED)
                and balancer_backend.ejected_until_ms == 0.0
            )
            assert backend.got.empty()
            client.writer.transport.abort()
        backend.stop()

    run(test)
