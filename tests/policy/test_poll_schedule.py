"""Tests of when a node that polls discovery calls it: for single waits, and for nodes through whole outages.

They guard against a drain that is obeyed late after an outage: the wait after failed calls used to follow
from the polling interval alone, and reached 15 s with the usual one of 10 s.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer import interface as api
from balancer.notification_deadlines import call_timeout_ms
from balancer.policy.balancer import Balancer
from balancer.testbed.polled_discovery import Outage, OutageKind, Recovery, simulate
from tests.helpers import BASE, entry

DURATIONS_S = (1, 5, 8, 11, 18, 25, 60, 300)


def check_recovery(recovery: Recovery, node_count: int) -> None:
    """Every node knows the change in time, by one call unless discovery was crowded."""
    assert recovery.late_count == 0, f"the last node knew after {recovery.last_known_ms:.0f} ms"
    assert recovery.calls_after_return == node_count + recovery.expired_calls


@pytest.mark.parametrize("kind", OutageKind)
@pytest.mark.parametrize("duration_s", DURATIONS_S)
def test_nodes_know_a_change_within_6_s_of_the_return_of_discovery(kind: OutageKind, duration_s: int) -> None:
    check_recovery(simulate(Outage(kind, duration_s * 1000.0), 40), 40)


@pytest.mark.parametrize("poll_within_s", [0.5, 2.0, 30.0, 120.0])
@pytest.mark.parametrize("kind", [OutageKind.REFUSED, OutageKind.SILENT])
def test_polling_interval_does_not_delay_what_nodes_know_after_an_outage(
    kind: OutageKind, poll_within_s: float
) -> None:
    outage = Outage(kind, poll_within_ms=poll_within_s * 1000.0)
    check_recovery(simulate(outage, 40), 40)


@pytest.mark.parametrize("kind", OutageKind)
@pytest.mark.parametrize("duration_s", [1, 11, 25])
def test_nodes_that_start_within_an_outage_know_a_change_in_time(kind: OutageKind, duration_s: int) -> None:
    check_recovery(simulate(Outage(kind, duration_s * 1000.0, is_restart=True), 40), 40)


@pytest.mark.parametrize("duration_s", [5, 11, 25])
def test_nodes_know_a_change_in_time_if_discovery_is_crowded_after_its_return(duration_s: int) -> None:
    """It works through the calls of all nodes in 4 s."""
    outage = Outage(duration_ms=duration_s * 1000.0, calls_per_s=10.0)
    recovery = simulate(outage, 40)
    check_recovery(recovery, 40)
    assert recovery.expired_calls <= 10


def test_large_fleet_spreads_its_calls_over_the_time_that_it_has() -> None:
    recovery = simulate(Outage(), 1000)
    check_recovery(recovery, 1000)
    assert recovery.max_return_calls_per_s <= 1000 / 2
    assert recovery.max_outage_calls_per_s <= 1000 / 2


def test_new_configurations_within_an_outage_do_not_multiply_the_calls() -> None:
    """Guards against a retry for each failed call of a new address, beside the one that was scheduled."""
    outage = Outage(duration_ms=25_000.0)
    usual, recovery = simulate(outage, 40), simulate(outage, 40, address_changes=8)
    check_recovery(recovery, 40)
    assert recovery.max_outage_calls_per_s <= 1.3 * usual.max_outage_calls_per_s


@pytest.mark.parametrize("answer_delay_ms", [2000.0, 3500.0])
def test_discovery_that_answers_slowly_is_still_heard(answer_delay_ms: float) -> None:
    outage = Outage(duration_ms=5000.0, answer_delay_ms=answer_delay_ms, calls_per_s=1000.0)
    recovery = simulate(outage, 10)
    assert recovery.last_known_ms < 25_000.0


@given(
    poll_within_ms=st.floats(500.0, 600_000.0),
    seed=st.integers(0, 2**32),
    durations=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=12),
)
def test_any_two_calls_in_a_row_begin_soon_enough_after_each_other(
    poll_within_ms: float, seed: int, durations: list[float]
) -> None:
    """Each failed call lasts a part of its timeout. Four polling intervals are the platform's limit."""
    settings = replace(BASE, must_poll=True, poll_within_ms=poll_within_ms)
    balancer = Balancer(settings, seed)
    actions = balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry("x")]))
    assert next_timer(actions).at_ms <= 1000.0 + min(poll_within_ms / 2, 3000.0)
    for failures, duration in enumerate(durations):
        timer = next_timer(actions)
        actions = balancer.handle(timer.at_ms, api.TimerFired(timer.token))
        assert any(isinstance(action, api.SubscribeToEndpoints) for action in actions)
        failed_at_ms = timer.at_ms + duration * call_timeout_ms(poll_within_ms, failures)
        actions = balancer.handle(failed_at_ms, api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))
        interval_ms = next_timer(actions).at_ms - timer.at_ms
        assert interval_ms <= min(4500.0, 4 * poll_within_ms)
        assert next_timer(actions).at_ms > failed_at_ms


def next_timer(actions: list[api.Action]) -> api.SetTimer:
    """Return the timer of the next call."""
    return next(action for action in actions if isinstance(action, api.SetTimer))
