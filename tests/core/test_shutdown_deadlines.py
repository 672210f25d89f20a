"""The end of a node, in numbers: nothing is open when SIGKILL may come."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer.core.shutdown_deadlines import ShutdownDeadlines, deadlines_after_signal
from tests.helpers import BASE, SAFE

COME_MS = 400.0  # after SIGTERM, the terms' last new connection


@pytest.mark.parametrize("longest", [60.0, 100.0, 300.0, 1_000.0, 3_000.0, 4_000.0])
def test_all_is_answered_well_before_sigkill(longest: float) -> None:
    short = replace(SAFE, deadline_ms=longest / 2, latency_objective_ms=longest / 4)
    settings = replace(BASE, classes=(short, replace(SAFE, name="long", deadline_ms=longest)))
    kill = 1_000.0 + min(longest, 3_000.0) + 700.0
    told = deadlines_after_signal(settings, 1_000.0)
    assert 1_000.0 + COME_MS < told.accept_until_ms < 1_000.0 + 700.0
    assert told.accept_until_ms < told.respond_until_ms <= kill - 150.0
    # One that is taken while connections are accepted has its whole time, unless that is over 3 s.
    assert told.accept_until_ms + min(longest, 3_000.0) <= told.respond_until_ms


@pytest.mark.parametrize("age", [0.0, 200.0, 1_500.0, 20_000.0])
def test_a_signal_that_met_a_process_that_stood_still_is_as_old_as_that(age: float) -> None:
    settings = replace(BASE, classes=(replace(SAFE, deadline_ms=3_000.0),))
    told = deadlines_after_signal(settings, 50_000.0, age)
    assert told.respond_until_ms == max(53_500.0 - age, 50_120.0)  # what lies in the sockets is read first
    assert 50_000.0 < told.accept_until_ms <= 50_500.0 and told.accept_until_ms < told.respond_until_ms


def test_without_a_class_there_is_an_end() -> None:
    assert deadlines_after_signal(replace(BASE, classes=()), 0.0) == ShutdownDeadlines(500.0, 3_500.0)
