"""Putting a node together: in which order."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from balancer.net import application as assemble
from balancer.net import clock
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.request_dispatcher import RequestDispatcher
from balancer.operator_settings import OperatorSettings
from tests.sockets import configuration


class ReachedError(Exception):
    """The start has come as far as the test wants it."""


def test_sighup_does_not_end_a_node_that_reads_its_first_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the signal's default, which ends the process: a list of thousands takes a while."""
    (tmp_path / "c.json").write_text(json.dumps(configuration([], 1)))
    config = load({"PROXY_CONFIG": str(tmp_path / "c.json")})
    found: list[Any] = []

    def hand(self: EndpointView, event: object) -> None:
        found.append(signal.getsignal(signal.SIGHUP))
        raise ReachedError

    monkeypatch.setattr(EndpointView, "handle", hand)
    before = signal.getsignal(signal.SIGHUP)
    with pytest.raises(ReachedError):
        asyncio.run(assemble.serve(config))
    assert found[0] not in (before, signal.SIG_DFL)


def test_a_clock_set_off_for_a_test_is_read_beside_an_operators_file_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards a platform start against a variable that moves its clock: cold servers would count as warm."""
    (tmp_path / "c.json").write_text(json.dumps(configuration([], 1)))
    config = load({"PROXY_CONFIG": str(tmp_path / "c.json")})
    off: list[float] = []

    async def now() -> float:
        return RequestDispatcher(config).now()

    def stopped(work: Coroutine[Any, Any, None]) -> None:
        work.close()
        off.append(round((asyncio.run(now()) / 1000 - time.time()) / 10) * 10)

    monkeypatch.setattr("uvloop.run", stopped)
    monkeypatch.setattr(clock, "_offset_ms", 0.0)
    monkeypatch.setenv(clock.TEST_CLOCK, "-90000")
    assert assemble.run(config) == 0 and assemble.run(config, tmp_path, OperatorSettings()) == 0
    assert off == [0, -90]
    monkeypatch.setenv(clock.TEST_CLOCK, "soon")
    assert assemble.run(config, tmp_path, OperatorSettings()) == 2
    assert "BALANCER_TEST_CLOCK_MS: found 'soon'; allowed: whole milliseconds" in capsys.readouterr().err
