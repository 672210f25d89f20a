"""Tests of the graceful shutdown deadlines: all requests are answered before SIGKILL may arrive."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer.core.shutdown_deadlines import ShutdownDeadlines, deadlines_after_signal
from tests.helpers import BASE, SAFE

LAST_CONNECTION_MS = 400.0  # after SIGTERM, according to the platform's protocol


@pytest.mark.parametrize("longest_ms", [60.0, 100.0, 300.0, 1_000.0, 3_000.0, 4_000.0])
def test_deadlines_with_any_request_deadline_end_before_sigkill(longest_ms: float) -> None:
    short_class = replace(SAFE, deadline_ms=longest_ms / 2, latency_objective_ms=longest_ms / 4)
    settings = replace(BASE, classes=(short_class, replace(SAFE, name="long", deadline_ms=longest_ms)))
    sigkill_ms = 1_000.0 + min(longest_ms, 3_000.0) + 700.0
    deadlines = deadlines_after_signal(settings, 1_000.0)
    assert 1_000.0 + LAST_CONNECTION_MS < deadlines.accept_until_ms < 1_000.0 + 700.0
    assert deadlines.accept_until_ms < deadlines.respond_until_ms <= sigkill_ms - 150.0
    # A request on the last accepted connection has its whole deadline, up to 3 s.
    assert deadlines.accept_until_ms + min(longest_ms, 3_000.0) <= deadlines.respond_until_ms


@pytest.mark.parametrize("age_ms", [0.0, 200.0, 1_500.0, 20_000.0])
def test_deadlines_after_a_stall_count_from_the_arrival_of_the_signal(age_ms: float) -> None:
    settings = replace(BASE, classes=(replace(SAFE, deadline_ms=3_000.0),))
    deadlines = deadlines_after_signal(settings, 50_000.0, age_ms)
    assert deadlines.respond_until_ms == max(
        53_500.0 - age_ms, 50_120.0
    )  # at least the time to read the sockets
    assert 50_000.0 < deadlines.accept_until_ms <= 50_500.0
    assert deadlines.accept_until_ms < deadlines.respond_until_ms


def test_deadlines_without_request_classes_are_the_longest() -> None:
    assert deadlines_after_signal(replace(BASE, classes=()), 0.0) == ShutdownDeadlines(500.0, 3_500.0)
