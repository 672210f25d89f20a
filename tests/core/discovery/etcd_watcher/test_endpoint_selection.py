"""Tests of the endpoint selection: rounds, lagging endpoints, restored backups and other clusters."""

from __future__ import annotations

import pytest

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import limits, messages
from balancer.core.discovery.etcd_watcher.state import WatcherPhase
from balancer.notification_deadlines import NOTIFICATION_DEADLINE_MS
from tests.core.discovery.etcd_watcher.driver import (
    A,
    B,
    WatcherDriver,
)


def test_selection_without_any_answer_keeps_the_view_and_backs_off() -> None:
    driver = WatcherDriver(3).start_watching(5, A)
    driver.fail(messages.OpenWatch)
    waits_ms = []
    while driver.now_ms < 60_000:
        before_ms = driver.now_ms
        driver.fire_next_timer()
        waits_ms.append(driver.now_ms - before_ms)
        driver.fail(messages.CheckEndpoint)
    assert [type(update) for update in driver.updates] == [
        endpoint_merger.EndpointsListed,
        endpoint_merger.SourceLost,
    ]
    assert driver.view == {"a": A}
    assert max(waits_ms) > limits.MAX_BACKOFF_MS / 2
    assert len(waits_ms) < 100
    assert driver.state.selection.backoff.next_ms == limits.MAX_BACKOFF_MS
    while driver.is_in(WatcherPhase.WAITING):
        driver.fire_next_timer()
    driver.answer_check(5)
    driver.confirm_watch(5)
    driver.fire_next_timer()
    driver.answer_check(5)
    assert driver.updates[-1] == endpoint_merger.SourceConfirmedCurrent("etcd")
    assert driver.state.selection.backoff.next_ms == limits.MIN_BACKOFF_MS


def test_selection_after_a_long_outage_leaves_time_to_know_changes_within_6_s() -> None:
    """Guards against waits of up to 7.5 s between two rounds, in which a removal is not known."""
    waits_ms = []
    for seed in range(20):
        driver = WatcherDriver(3, seed=seed).start_watching(5, A)
        driver.fail(messages.OpenWatch)
        while driver.now_ms < 60_000:
            before_ms = driver.now_ms
            driver.fire_next_timer()
            waits_ms.append(driver.now_ms - before_ms)
            driver.fail(messages.CheckEndpoint)
    # An endpoint that never answers may be checked before one that does.
    assert max(waits_ms) + limits.CHECK_TIMEOUT_MS + limits.RESUME_JITTER_MS < NOTIFICATION_DEADLINE_MS


def test_selection_endpoint_that_ends_each_watch_is_called_at_a_bounded_rate() -> None:
    driver = WatcherDriver()
    driver.start_watching(5, A)
    call_count = 0
    while driver.now_ms < 60_000:
        call_count += 1
        driver.fail(messages.OpenWatch)
        driver.fire_next_timer()
        driver.answer_check(5)
        driver.confirm_watch(5)
    assert call_count < 40


def test_selection_of_a_thousand_nodes_after_an_outage_is_spread_over_time() -> None:
    return_times_ms = []
    for seed in range(1000):
        driver = WatcherDriver(3, seed).start_watching(5, A)
        driver.now_ms = 10_000.0
        driver.fail(messages.OpenWatch)
        while driver.now_ms < 70_000:  # every endpoint refuses calls for a minute
            driver.fire_next_timer()
            if driver.now_ms < 70_000 and driver.is_in(WatcherPhase.CHECKING):
                for _ in range(3):
                    driver.fail(messages.CheckEndpoint)
        return_times_ms.append(driver.now_ms)
    return_times_ms.sort()
    assert (
        max(
            sum(1 for time_ms in return_times_ms if start_ms <= time_ms < start_ms + 1000)
            for start_ms in return_times_ms[::20]
        )
        < 500
    )
    assert return_times_ms[-1] - return_times_ms[0] > 3000


def test_endpoint_lagging_at_its_first_check_is_abandoned() -> None:
    driver = WatcherDriver(2).start_watching(60, A)
    driver.prove_endpoint()
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    driver.answer_check(10)
    assert driver.is_in(WatcherPhase.CHECKING)  # the other endpoint
    driver.answer_check(60)
    assert driver.watch_start_revision == 60
    assert driver.view == {"a": A}
    assert len(driver.delivered_lists) == 1


@pytest.mark.parametrize("answer", ["page", "watch created", "watch events", "progress", "check"])
def test_endpoint_lagging_in_a_later_answer_is_abandoned(answer: str) -> None:
    driver = WatcherDriver(2).start_watching(60, A)
    if answer == "page":
        driver.cancel_watch(60)
        driver.answer_page(59)
    elif answer == "watch created":
        driver.fail(messages.OpenWatch)
        driver.fire_next_timer()
        driver.answer_check(60)
        driver.confirm_watch(59)
    elif answer == "watch events":
        driver.send_watch_events((59, "a"))
    elif answer == "progress":
        driver.notify_progress(59)
    else:
        driver.fire_next_timer()
        driver.answer_check(59)
    assert driver.is_in(WatcherPhase.CHECKING, WatcherPhase.WAITING)
    assert driver.view == {"a": A}
    assert driver.state.delivered.seen_revision == 60


def test_source_restored_from_a_backup_is_rejected_until_the_epoch_is_raised() -> None:
    driver = WatcherDriver(2).start_watching(60, A)
    driver.fail(messages.OpenWatch)
    while not any(isinstance(update, endpoint_merger.SourceRejected) for update in driver.updates):
        driver.fire_next_timer()
        while driver.is_in(WatcherPhase.CHECKING):
            driver.answer_check(20)
        assert driver.now_ms < 60_000
    assert driver.now_ms >= limits.MIN_REGRESSION_MS
    assert [type(update) for update in driver.updates] == [
        endpoint_merger.EndpointsListed,
        endpoint_merger.SourceLost,
        endpoint_merger.SourceRejected,
    ]
    assert any("`epoch` in [membership.etcd]" in text for text in driver.log_texts)
    for _ in range(10):
        driver.fire_next_timer()
        while driver.is_in(WatcherPhase.CHECKING):
            driver.answer_check(20)
    # The rejection is reported once.
    assert len(driver.updates) == 3
    assert driver.view == {"a": A}
    restarted = WatcherDriver(2, epoch=1, resume_from=("1/0", 60)).start_watching(20, B)
    assert restarted.delivered_lists[0].identity == "1/1"
    assert restarted.view == {"b": B}


def test_source_lagging_for_too_few_rounds_is_not_rejected() -> None:
    driver = WatcherDriver().start_watching(60, A)
    driver.fail(messages.OpenWatch)
    for _ in range(limits.MIN_REGRESSION_ROUNDS - 1):
        driver.now_ms += 2 * limits.MIN_REGRESSION_MS
        driver.fire_next_timer()
        driver.answer_check(20)
    assert not any(isinstance(update, endpoint_merger.SourceRejected) for update in driver.updates)
    driver.fire_next_timer()
    driver.answer_check(20)
    assert isinstance(driver.updates[-1], endpoint_merger.SourceRejected)


def test_source_restored_and_past_the_view_delivers_a_snapshot() -> None:
    driver = WatcherDriver().start_watching(60, A)
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    driver.answer_check(20)
    driver.fire_next_timer()
    driver.answer_check(61)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)
    driver.answer_page(61, B)
    assert driver.view == {"b": B}


def test_source_with_a_lower_raft_term_delivers_a_snapshot() -> None:
    driver = WatcherDriver().start_watching(60, A)
    driver.fire_next_timer()
    driver.answer_check(60, raft_term=7)
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    driver.answer_check(70, raft_term=2)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)
    assert "restored" in driver.log_texts[-1]


def test_endpoint_behind_the_resumed_revision_is_abandoned() -> None:
    driver = WatcherDriver(1, resume_from=("1/0", 60))
    driver.send(messages.WatcherStarted())
    driver.answer_check(59)
    assert driver.is_in(WatcherPhase.WAITING)
    assert isinstance(driver.updates[0], endpoint_merger.SourceLost)
    driver.fire_next_timer()
    driver.answer_check(60)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)


def test_cluster_new_is_adopted_by_a_snapshot() -> None:
    driver = WatcherDriver(1).start_watching(60, A)
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    driver.answer_check(3, cluster_id="2")
    driver.answer_check(3, cluster_id="2")
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)
    assert driver.view == {"a": A}
    driver.answer_page(3, B, cluster_id="2")
    assert driver.delivered_lists[-1].identity == "2/0"
    assert driver.view == {"b": B}
    assert driver.watch_start_revision == 3


def test_cluster_replaced_is_never_adopted_again() -> None:
    driver = WatcherDriver(2).start_watching(60, A)
    old_index, new_index = driver.state.endpoint_index, 1 - driver.state.endpoint_index
    cluster_ids = {old_index: "1", new_index: "2"}

    def answer() -> None:
        driver.answer_check(60, cluster_id=cluster_ids[driver.state.endpoint_index])

    driver.prove_endpoint()
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    answer()  # from another cluster, while the current one still answers
    answer()
    assert driver.is_in(WatcherPhase.OPENING_WATCH)
    assert driver.state.endpoint_index == old_index
    driver.fail(messages.OpenWatch)  # the watch fails, but the current cluster still answered
    assert driver.is_in(WatcherPhase.WAITING)
    assert not driver.state.selection.candidate_cluster_id
    driver.fire_next_timer()
    answer()
    driver.fail(messages.CheckEndpoint)  # the current cluster is unavailable
    answer()
    driver.answer_page(60, B, cluster_id="2")
    driver.confirm_watch(60, cluster_id="2")
    assert driver.view == {"b": B}
    driver.fail(messages.OpenWatch)  # from here on the old cluster must not be adopted
    for _ in range(20):
        if driver.is_in(WatcherPhase.WAITING):
            driver.fire_next_timer()
        if driver.state.endpoint_index == old_index:
            answer()
        else:
            driver.fail(messages.CheckEndpoint)
    assert driver.view == {"b": B}
    assert len(driver.delivered_lists) == 2
    assert isinstance(driver.updates[-1], endpoint_merger.SourceLost)


@pytest.mark.parametrize("answer", ["page", "watch created", "check"])
def test_endpoint_that_changes_its_cluster_is_abandoned(answer: str) -> None:
    driver = WatcherDriver(2).start_watching(60, A)
    driver.cancel_watch(60)
    if answer == "page":
        driver.answer_page(70, B, cluster_id="2")
    else:
        driver.answer_page(70, A)
        driver.confirm_watch(70, cluster_id="2" if answer == "watch created" else "1")
        if answer == "check":
            driver.fire_next_timer()
            driver.answer_check(70, cluster_id="2")
    assert driver.is_in(WatcherPhase.CHECKING, WatcherPhase.WAITING)
    assert "b" not in driver.view
