"""Tests of the snapshots' time slots, which apply if the capacity of etcd is configured."""

from __future__ import annotations

import pytest

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import limits, messages
from balancer.core.discovery.etcd_watcher.messages import CallFault
from balancer.core.discovery.etcd_watcher.state import WatcherPhase
from tests.core.discovery.etcd_watcher.driver import (
    PERIOD_MS,
    A,
    B,
    C,
    StaggeredDriver,
)


@pytest.mark.parametrize("node_index", [0, 1, 2, 63])
def test_schedule_first_connection_waits_for_the_time_slot(node_index: int) -> None:
    driver = StaggeredDriver(node_index=node_index)
    driver.send(messages.WatcherStarted())
    if node_index:
        assert driver.is_in(WatcherPhase.WAITING)
        assert not driver.calls
        driver.fire_next_timer()
    assert driver.now_ms == driver.time_slots.first_delay_ms()
    assert driver.is_in(WatcherPhase.CHECKING)
    driver.answer_check(5)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)


def test_schedule_watcher_that_resumes_fetches_its_snapshot_at_once() -> None:
    driver, other = StaggeredDriver(resume_from=("1/0", 5)), StaggeredDriver(resume_from=("1/0", 5), epoch=1)
    other.send(messages.WatcherStarted())
    assert other.is_in(WatcherPhase.WAITING), "with another epoch there is nothing to resume"
    driver.send(messages.WatcherStarted())
    driver.answer_check(5)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)
    assert driver.now_ms == 0.0
    driver.now_ms = 60_000.0
    driver.fail(messages.FetchSnapshotPage, CallFault.OVERLOADED)
    # Later snapshots wait for their time slots.
    assert driver.state.snapshot.due_at_ms is not None
    assert driver.state.snapshot.due_at_ms > driver.now_ms


def test_schedule_compacted_watch_continues_until_the_time_slot() -> None:
    driver = StaggeredDriver().watch_after_first_slot()
    driver.compact(30)
    driver.answer_check(40)  # the removal of b at revision 20 is not known
    assert driver.watch_start_revision == 40
    assert driver.page_call_count == 1
    driver.confirm_watch(40)
    driver.send_watch_events((41, "a"))
    assert driver.view == {"b": B}, "a removal while waiting takes effect at once"
    update_count = len(driver.updates)
    assert driver.answer_checks_until_snapshot(41) == pytest.approx(driver.time_slots.first_delay_ms())
    assert len(driver.updates) == update_count, "nothing is confirmed during a gap"
    driver.answer_page(41, C)
    # The snapshot has a seen revision, so it is delivered as an incremental update.
    assert driver.view == {"c": C}
    assert not driver.last_list.is_complete
    assert driver.is_in(WatcherPhase.OPENING_WATCH)
    assert driver.watch_start_revision == 41
    driver.confirm_watch(41)
    driver.prove_endpoint()
    assert isinstance(driver.updates[-1], endpoint_merger.SourceConfirmedCurrent)
    assert driver.page_call_count == 2


def test_schedule_wrong_key_count_keeps_the_watch_open() -> None:
    driver = StaggeredDriver().watch_after_first_slot()
    watch_call_id = driver.last_call_id(messages.OpenWatch)
    driver.answer_key_count(5, 1)
    assert driver.is_in(WatcherPhase.WATCHING)
    assert driver.last_call_id(messages.OpenWatch) == watch_call_id
    assert driver.page_call_count == 1
    driver.send_watch_events((6, C))
    assert driver.view == {"a": A, "b": B, "c": C}
    assert driver.answer_checks_until_snapshot(6) == pytest.approx(driver.time_slots.first_delay_ms())
    driver.answer_page(6, A, C)
    assert driver.view == {"a": A, "c": C}
    # The watch does not reach a count until the next check: checks continue, but no longer count keys.
    driver = StaggeredDriver().watch_after_first_slot()
    driver.answer_key_count(9, 3)
    driver.fire_next_timer()
    driver.answer_check(9)
    assert driver.state.delivered.has_gap
    assert driver.is_in(WatcherPhase.WATCHING)
    assert driver.timers[driver.state.session.check_token] <= driver.now_ms + limits.CHECK_INTERVAL_MS
    driver.state.audit.next_at_ms = 0
    driver.answer_checks_until_snapshot(9)


def test_schedule_watch_broken_after_a_gap_is_resumed() -> None:
    driver = StaggeredDriver(2).watch_after_first_slot()
    driver.compact(30)
    driver.answer_check(40)
    driver.confirm_watch(40)
    driver.send_watch_events((41, C))
    driver.fail(messages.OpenWatch)
    while not driver.is_in(WatcherPhase.CHECKING):
        driver.fire_next_timer()
    driver.answer_check(50)
    assert (driver.watch_start_revision, driver.page_call_count, driver.state.selection.position) == (
        41,
        1,
        1,
    )
    driver.compact(45)  # revision 41 is compacted too, so the watch starts at the current revision
    driver.answer_check(52)
    assert (driver.watch_start_revision, driver.page_call_count) == (52, 1)


@pytest.mark.parametrize(
    ("retry_after_ms", "min_wait_ms"), [(0.0, PERIOD_MS), (7_000.0, 7_000.0), (9e9, 60_000.0)]
)
def test_schedule_rejected_snapshot_waits_for_a_later_time_slot(
    retry_after_ms: float, min_wait_ms: float
) -> None:
    driver = StaggeredDriver(3)
    driver.send(messages.WatcherStarted())
    driver.fire_next_timer()
    driver.answer_check(5)
    rejected_at_ms, rejected_index = driver.now_ms, driver.state.endpoint_index
    driver.send(
        messages.CallFailed(
            driver.last_call_id(messages.FetchSnapshotPage), CallFault.OVERLOADED, "too many", retry_after_ms
        )
    )
    assert driver.is_in(WatcherPhase.WAITING)
    driver.fire_next_timer()
    time_slot = driver.time_slots.time_slot
    assert driver.now_ms - rejected_at_ms == pytest.approx(
        (min_wait_ms if retry_after_ms else (1 - time_slot) * PERIOD_MS) + 2 * time_slot * PERIOD_MS
    )
    driver.answer_check(5)
    assert driver.page_call_count == 2
    assert driver.state.endpoint_index != rejected_index
    assert "rejected the snapshot request" in driver.log_texts[-1]
    driver.answer_page(5, A)
    assert driver.time_slots.period_ms == PERIOD_MS


def test_schedule_rejected_snapshot_after_a_gap_keeps_watching() -> None:
    driver = StaggeredDriver(3).watch_after_first_slot()
    driver.compact(30)
    driver.answer_check(40)
    driver.confirm_watch(40)
    driver.answer_checks_until_snapshot(40)
    driver.fail(messages.FetchSnapshotPage, CallFault.OVERLOADED)
    driver.answer_check(44)
    assert driver.is_in(WatcherPhase.OPENING_WATCH)
    assert (driver.watch_start_revision, driver.page_call_count) == (40, 2)


def test_schedule_unavailable_etcd_is_called_once_per_time_slot() -> None:
    driver, waits_ms = StaggeredDriver(2), list[float]()
    driver.send(messages.WatcherStarted())
    driver.fire_next_timer()
    for _ in range(8):
        started_at_ms = driver.now_ms
        driver.fail(messages.CheckEndpoint)
        driver.fail(messages.CheckEndpoint)
        driver.fire_next_timer()
        waits_ms.append(driver.now_ms - started_at_ms)
    assert min(waits_ms) >= 0.99 * PERIOD_MS
    assert PERIOD_MS < max(waits_ms) <= 1.5 * limits.MAX_BACKOFF_MS + PERIOD_MS
    # A failed snapshot is fetched from the next endpoint, but in the next time slot. A rejected check defers
    # it as much as a rejected snapshot.
    started_at_ms = driver.now_ms
    driver.answer_check(5)
    driver.fail(messages.FetchSnapshotPage)
    driver.answer_check(5)
    assert driver.is_in(WatcherPhase.WAITING)
    assert driver.page_call_count == 1
    driver.fire_next_timer()
    assert driver.now_ms - started_at_ms >= 0.99 * PERIOD_MS
    driver.fail(messages.CheckEndpoint, CallFault.OVERLOADED)
    assert driver.time_slots.rejections == 1
    driver.answer_check(5)
    assert driver.is_in(WatcherPhase.WAITING)
    assert driver.page_call_count == 1


@pytest.mark.parametrize("old_cluster_returns", [False, True])
def test_schedule_new_cluster_is_adopted_at_the_time_slot(old_cluster_returns: bool) -> None:
    driver = StaggeredDriver(2).watch_after_first_slot()
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    for _ in range(3):  # both endpoints belong to another cluster, which becomes the candidate
        driver.answer_check(1, cluster_id="2")
    assert driver.is_in(WatcherPhase.WAITING)
    assert driver.page_call_count == 1
    assert isinstance(driver.updates[-1], endpoint_merger.SourceLost)
    driver.fire_next_timer()
    driver.answer_check(1, cluster_id="2")
    driver.answer_check(6 if old_cluster_returns else 1, cluster_id="1" if old_cluster_returns else "2")
    if old_cluster_returns:
        assert driver.is_in(WatcherPhase.OPENING_WATCH)
        assert driver.watch_start_revision == 5
        return
    driver.answer_check(1, cluster_id="2")
    driver.answer_page(1, C, cluster_id="2")
    assert driver.view == {"c": C}
    assert driver.state.identity == "2/0"
