"""Tests of the checks of the etcd endpoint in use."""

from __future__ import annotations

import pytest

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import limits, messages
from balancer.core.discovery.etcd_watcher.state import WatcherPhase
from tests.core.discovery.etcd_watcher.driver import (
    A,
    B,
    WatcherDriver,
    driver_in_phase,
)


def seconds_until_abandoned(driver: WatcherDriver) -> float:
    """How long the watcher uses an endpoint that neither answers nor closes connections."""
    started_at_ms, used_index = driver.now_ms, driver.state.endpoint_index
    while not driver.is_in(WatcherPhase.WAITING) and driver.state.endpoint_index == used_index:
        driver.fire_next_timer()
    return (driver.now_ms - started_at_ms) / 1000


@pytest.mark.parametrize(
    "phase",
    [
        WatcherPhase.CHECKING,
        WatcherPhase.FETCHING_SNAPSHOT,
        WatcherPhase.OPENING_WATCH,
        WatcherPhase.WATCHING,
    ],
)
def test_endpoint_unresponsive_is_abandoned_within_five_seconds(phase: WatcherPhase) -> None:
    assert seconds_until_abandoned(driver_in_phase(phase)) < 5


def test_watch_silent_while_checks_are_answered_stays_open() -> None:
    driver = WatcherDriver(2).start_watching(5, A)
    for _ in range(3600):
        driver.fire_next_timer()
        driver.answer_check(5)
    assert driver.is_in(WatcherPhase.WATCHING)
    assert driver.log_texts == []
    assert [type(call) for call in driver.calls].count(messages.OpenWatch) == 1
    assert driver.updates[-1] == endpoint_merger.SourceConfirmedCurrent("etcd")


def test_watch_silent_while_the_revision_advances_is_reopened() -> None:
    driver = WatcherDriver(2).start_watching(5, A)
    while driver.now_ms < 2 * limits.SILENT_WATCH_TIMEOUT_MS and driver.is_in(WatcherPhase.WATCHING):
        driver.fire_next_timer()
        driver.answer_check(6)
    assert driver.is_in(WatcherPhase.OPENING_WATCH)
    assert driver.watch_start_revision == 5
    assert driver.now_ms >= limits.SILENT_WATCH_TIMEOUT_MS / 2


def test_endpoint_with_two_failed_checks_is_abandoned_and_the_watch_resumed_elsewhere() -> None:
    driver = WatcherDriver(2).start_watching(5, A)
    used_index = driver.state.endpoint_index
    driver.fire_next_timer()
    driver.fail(messages.CheckEndpoint)
    driver.fire_next_timer()
    driver.answer_check(5)
    driver.fire_next_timer()
    driver.fail(messages.CheckEndpoint)
    assert driver.is_in(WatcherPhase.WATCHING)  # a single failure is tolerated
    driver.fire_next_timer()
    driver.fail(messages.CheckEndpoint)
    assert messages.CloseConnections(used_index) in driver.calls
    driver.fire_next_timer()
    driver.answer_check(8)
    # The watch is resumed without a snapshot.
    assert driver.last_call(messages.OpenWatch) == messages.OpenWatch(
        driver.last_call_id(messages.OpenWatch), 1 - used_index, 5
    )


def test_check_older_than_the_watch_does_not_count_as_lagging() -> None:
    driver = WatcherDriver(2).start_watching(60, A)
    driver.fire_next_timer()
    driver.send_watch_events((61, B))
    driver.answer_check(60)  # etcd executed the read before revision 61 existed
    assert driver.is_in(WatcherPhase.WATCHING)
