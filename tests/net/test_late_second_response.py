"""A backend sends a response twice, the second copy late: it must answer no other request."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
import time

import pytest

from balancer.core import response_attribution
from balancer.core.response_attribution import (
    MIN_DISTINCT_RESPONSES,
    MIN_RESPONSE_TIMES,
    REUSE_DELAY_MS,
)
from balancer.interface import AttemptStatus
from balancer.net import arrival_time
from balancer.net.input_queue import READ_BUFFER_BYTES
from tests.net.test_backend_pool import LOOPS, NewLoop, PoolHarness, run
from tests.sockets import answer

SHORTEST_RESPONSE_MS = 200.0  # so that no slow machine makes a copy plausible
REJECTION = answer(b"full", "503 X", "Not-Started: 1")


@pytest.fixture(autouse=True)
def long_horizon(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give copies time to come late, so that no slow machine takes one for a response."""
    monkeypatch.setattr(response_attribution, "COPY_HORIZON_MS", 60_000.0)
    monkeypatch.setattr(response_attribution, "MAX_LATENESS_MS", 60_000.0)


async def reuse_connection(
    harness: PoolHarness, first_response: bytes, response_ms: float = 0.0
) -> socket.socket:
    """Have the first request answered and the second one written on the same connection."""
    harness.start(b"one")
    peer = await harness.accept()
    await harness.read_request(peer, 3)
    await asyncio.sleep(response_ms / 1000)
    peer.sendall(first_response)
    await harness.wait_ended(1)
    harness.start(b"two")
    assert await harness.read_request(peer, 3) == b"two"
    return peer


@LOOPS
@pytest.mark.parametrize("response", [answer(b"mine"), REJECTION], ids=["served", "not-started"])
@pytest.mark.parametrize("stall_ms", [0.0, 1.5 * SHORTEST_RESPONSE_MS])
def test_copy_after_next_request_was_written_is_not_its_response(
    new_loop: NewLoop, response: bytes, stall_ms: float, caplog: pytest.LogCaptureFixture
) -> None:
    """Served it was to another client; as `Not-Started` it had a request that ran sent once more."""

    async def test() -> None:
        harness = PoolHarness()
        harness.measure([SHORTEST_RESPONSE_MS] * MIN_RESPONSE_TIMES)
        peer = await reuse_connection(harness, response, SHORTEST_RESPONSE_MS)
        peer.sendall(response)
        time.sleep(stall_ms / 1000)  # the loop reads the copy at a time at which a response is plausible
        assert (await harness.wait_ended(2)).status is AttemptStatus.RESET  # it may have run
        assert "response not attributed: sooner than any response can arrive" in caplog.text
        assert await asyncio.to_thread(peer.recv, 10) == b"" and harness.pool.connection_count == 0
        harness.close()

    run(test, new_loop)


@LOOPS
def test_own_response_that_arrives_in_plausible_time_of_a_stall_is_served(new_loop: NewLoop) -> None:
    """Guards against responses that are failed because the loop was held up as they arrived."""

    async def test() -> None:
        harness = PoolHarness()
        harness.measure([50.0] * MIN_RESPONSE_TIMES)
        peer = await reuse_connection(harness, answer(b"mine"), 50.0)
        time.sleep(0.3)  # the loop is held up from the request on, until long after the response
        peer.sendall(answer(b"yours"))
        time.sleep(0.05)
        assert (await harness.wait_ended(2)).body == b"yours"
        harness.close()

    run(test, new_loop)


def test_arrival_time_of_input_that_fills_a_read_is_unknown() -> None:
    left, right = socket.socketpair()  # no TCP either
    with left, right:
        assert arrival_time.max_age_ms(left, READ_BUFFER_BYTES) == math.inf
        assert arrival_time.max_age_ms(left, 1) == math.inf


@LOOPS
def test_own_response_in_plausible_time_is_served_and_keeps_connection(new_loop: NewLoop) -> None:
    async def test() -> None:
        harness = PoolHarness()
        harness.measure([100.0] * MIN_RESPONSE_TIMES)
        peer = await reuse_connection(harness, answer(b"mine"), 100.0)
        await asyncio.sleep(0.1)
        peer.sendall(answer(b"yours"))
        assert (await harness.wait_ended(2)).body == b"yours"
        assert len(harness.pool.backends["b0"].idle) == 1
        harness.close()

    run(test, new_loop)


@pytest.mark.parametrize("are_responses_distinct", [True, False])
def test_equal_response_is_refused_only_where_responses_differ(
    are_responses_distinct: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """A copy that is late beyond all that time can tell."""

    async def test() -> None:
        harness = PoolHarness()
        history = harness.pool.backends["b0"].history
        for number in range(MIN_DISTINCT_RESPONSES):
            history.note_response(number, 0.0, 0.0, number if are_responses_distinct else 0)
        peer = await reuse_connection(harness, answer(b"mine"))
        peer.sendall(answer(b"mine"))
        response = await harness.wait_ended(2)
        assert response.status is (AttemptStatus.RESET if are_responses_distinct else AttemptStatus.OK)
        assert ("it equals the previous one" in caplog.text) is are_responses_distinct
        harness.close()

    run(test)


def test_second_response_on_idle_connection_lengthens_reuse_delay(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.WARNING)

    async def test() -> None:
        harness = PoolHarness()
        harness.start(b"one")
        peer = await harness.accept()
        await harness.read_request(peer, 3)
        peer.sendall(answer(b"mine"))
        await harness.wait_ended(1)
        await asyncio.sleep(REUSE_DELAY_MS / 1000)
        peer.sendall(answer(b"mine"))
        assert await asyncio.to_thread(peer.recv, 10) == b""  # closed: what else may come is nobody's
        history = harness.pool.backends["b0"].history
        assert history.reuse_delay_ms() > REUSE_DELAY_MS and "second response" in caplog.text
        harness.pool.update([])
        assert harness.pool.backends["b0"].history is history
        harness.close()

    run(test)
