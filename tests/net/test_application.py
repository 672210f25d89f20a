"""Tests of assembling a node: signal handlers and the offset of the test clock."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from balancer.net import application, clock
from balancer.net.config import load
from balancer.net.endpoint_view import EndpointView
from balancer.net.request_dispatcher import RequestDispatcher
from balancer.operator_settings import OperatorSettings
from tests.sockets import configuration


class ReachedError(Exception):
    """Raised to end the start of a node at the point under test."""


def test_sighup_while_the_first_list_is_read_does_not_end_the_node(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against SIGHUP ending the process while it reads a first list of thousands of entries."""
    (tmp_path / "c.json").write_text(json.dumps(configuration([], 1)))
    config = load({"PROXY_CONFIG": str(tmp_path / "c.json")})
    handlers: list[Any] = []

    def record_handler(self: EndpointView, event: object) -> None:
        handlers.append(signal.getsignal(signal.SIGHUP))
        raise ReachedError

    monkeypatch.setattr(EndpointView, "handle", record_handler)
    handler_before = signal.getsignal(signal.SIGHUP)
    with pytest.raises(ReachedError):
        asyncio.run(application.serve(config))
    assert handlers[0] not in (handler_before, signal.SIG_DFL)


def test_clock_offset_variable_without_an_operators_file_is_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards a platform start against the variable: cold backends would count as warm on a shifted clock."""
    (tmp_path / "c.json").write_text(json.dumps(configuration([], 1)))
    config = load({"PROXY_CONFIG": str(tmp_path / "c.json")})
    offsets_s: list[float] = []

    async def now() -> float:
        return RequestDispatcher(config).now()

    def run_clock_only(coroutine: Coroutine[Any, Any, None]) -> None:
        coroutine.close()
        offsets_s.append(round((asyncio.run(now()) / 1000 - time.time()) / 10) * 10)

    monkeypatch.setattr("uvloop.run", run_clock_only)
    monkeypatch.setattr(clock, "_offset_ms", 0.0)
    monkeypatch.setenv(clock.TEST_CLOCK, "-90000")
    assert application.run(config) == 0 and application.run(config, tmp_path, OperatorSettings()) == 0
    assert offsets_s == [0, -90]
    monkeypatch.setenv(clock.TEST_CLOCK, "soon")
    assert application.run(config, tmp_path, OperatorSettings()) == 2
    assert "BALANCER_TEST_CLOCK_MS: found 'soon'; allowed: whole milliseconds" in capsys.readouterr().err
