"""A backend restarts at its address, under its id: its connections are those of a process that has gone."""

from __future__ import annotations

import pytest

from balancer.core.response_attribution import MIN_RESPONSE_TIMES
from balancer.interface import AttemptStatus
from balancer.net import backend_pool
from tests.net.test_backend_pool import PoolHarness, endpoint_records, run
from tests.sockets import answer

RESTARTED_AT_MS = 1_700_000_000_000


@pytest.mark.parametrize("state", ["idle", "waiting for reuse", "in use"])
def test_request_after_restart_takes_a_new_connection(monkeypatch: pytest.MonkeyPatch, state: str) -> None:
    """Guards against unsafe requests that fail: a machine that came back resets what is written to it."""
    reuse_delay_s = {"idle": 0.0, "waiting for reuse": 0.05, "in use": 0.0}[state]
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", reuse_delay_s)

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        if state != "in use":
            peer.sendall(answer(b"x"))
            await harness.wait_ended(1)
        if state == "waiting for reuse":
            harness.start(b"two")
        harness.pool.update(endpoint_records(harness.port, up_since_ms=RESTARTED_AT_MS))
        if state == "in use":  # the response still counts
            peer.sendall(answer(b"x"))
            assert (await harness.wait_ended(1)).status is AttemptStatus.OK
        if state != "waiting for reuse":
            harness.start(b"two")
        assert await harness.read_request(await harness.accept(), 3) == b"two"
        assert peer.recv(10) == b"" and harness.pool.connection_count == 1
        harness.close()

    run(test)


@pytest.mark.parametrize("up_since_ms", [RESTARTED_AT_MS, RESTARTED_AT_MS - 1])
def test_list_without_a_later_start_keeps_connections_and_history(up_since_ms: int) -> None:
    async def test() -> None:
        harness = PoolHarness()
        harness.pool.update(endpoint_records(harness.port, up_since_ms=RESTARTED_AT_MS))
        harness.measure([1.0] * MIN_RESPONSE_TIMES)
        history = harness.pool.backends["b0"].history
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"x"))
        await harness.wait_ended(1)
        harness.pool.update(endpoint_records(harness.port, up_since_ms=up_since_ms))
        assert len(harness.pool.backends["b0"].idle) == 1 and harness.pool.backends["b0"].history is history
        harness.pool.update(endpoint_records(harness.port, up_since_ms=RESTARTED_AT_MS + 1))
        assert not harness.pool.backends["b0"].idle
        assert harness.pool.backends["b0"].history is not history  # another process answers in other times
        harness.close()

    run(test)
