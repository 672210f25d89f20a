"""Tests of key counts, which detect deletions that the etcd watch lost."""

from __future__ import annotations

import pytest

from balancer.core.discovery.etcd_watcher import limits, messages
from balancer.core.discovery.etcd_watcher.messages import Position
from balancer.core.discovery.etcd_watcher.state import KeyCount, WatcherPhase
from balancer.endpoints import InvalidEntry
from tests.core.discovery.etcd_watcher.driver import (
    A,
    B,
    C,
    WatcherDriver,
)


def test_audit_deletion_dropped_by_a_compaction_is_detected() -> None:
    driver = WatcherDriver().start_watching(5, A, B, C)
    driver.send_watch_events((9, C))  # "a" was deleted at 7, which was compacted before the watch reached it
    driver.answer_key_count(9, key_count=2)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)
    assert "a" in driver.view
    assert "2 keys in etcd, 3 known" in driver.log_texts[-1]
    driver.answer_page(9, B, C)
    # The merger would ignore a snapshot of a revision that it has seen.
    assert not driver.last_list.is_complete
    assert driver.last_list.removed_ids == ("a",)
    assert set(driver.view) == {"b", "c"}
    assert driver.watch_start_revision == 9


def test_audit_count_ahead_of_the_watch_waits_for_it() -> None:
    driver = WatcherDriver().start_watching(5, A, B)
    driver.answer_key_count(8, key_count=3)
    assert driver.is_in(WatcherPhase.WATCHING)
    driver.send_watch_events((7, C), (9, "a"), header_revision=9)  # three keys at 8: the count agrees
    assert driver.is_in(WatcherPhase.WATCHING)
    assert driver.state.audit.pending_count is None
    driver.answer_key_count(12, key_count=1)
    driver.send_watch_events((13, A), header_revision=13)  # no event up to 12: a deletion was lost
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)


def test_audit_count_is_compared_with_complete_revisions_only() -> None:
    driver = WatcherDriver().start_watching(5, A, B, C)
    driver.answer_key_count(8, key_count=1)
    driver.send_watch_events((8, "a"), header_revision=8, is_fragment=True)
    assert driver.is_in(WatcherPhase.WATCHING)
    driver.send_watch_events((8, "b"), header_revision=8)
    assert driver.is_in(WatcherPhase.WATCHING)
    assert driver.state.audit.pending_count is None


@pytest.mark.parametrize(
    ("key_count", "phase"), [(2, WatcherPhase.WATCHING), (1, WatcherPhase.FETCHING_SNAPSHOT)]
)
def test_audit_pending_count_is_evaluated_on_progress(key_count: int, phase: WatcherPhase) -> None:
    driver = WatcherDriver().start_watching(5, A, B)
    driver.answer_key_count(8, key_count=3)
    driver.send_watch_events((7, C), header_revision=7)
    driver.state.audit.pending_count = KeyCount(8, key_count + 1)
    driver.notify_progress(8)
    assert driver.is_in(phase)


def test_audit_count_not_reached_until_the_next_check_fetches_a_snapshot() -> None:
    driver = WatcherDriver().start_watching(5, A, B)
    driver.answer_key_count(8, key_count=1)
    assert driver.is_in(WatcherPhase.WATCHING)
    driver.fire_next_timer()
    driver.answer_check(8)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)


def test_audit_pending_count_is_dropped_with_its_endpoint() -> None:
    driver = WatcherDriver(2).start_watching(5, A, B)
    driver.prove_endpoint()
    driver.answer_key_count(8, key_count=1)
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    driver.answer_check(8)
    driver.confirm_watch(8)
    driver.send_watch_events((8, "a"))
    assert driver.is_in(WatcherPhase.WATCHING)
    assert set(driver.view) == {"b"}


def test_audit_snapshot_that_failed_is_fetched_from_the_next_endpoint() -> None:
    driver = WatcherDriver(2).start_watching(5, A, B)
    driver.send_watch_events((6, B))
    driver.answer_key_count(6, key_count=1)
    driver.fail(messages.FetchSnapshotPage)
    driver.answer_check(6)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)
    driver.answer_page(6, B)
    assert set(driver.view) == {"b"}


def test_audit_counts_that_always_differ_become_less_frequent() -> None:
    """Guards against a gateway that cannot count, which must not make all nodes fetch snapshots forever."""
    driver, snapshot_count = WatcherDriver().start_watching(5, A, B), 0
    while driver.now_ms < 3_600_000:
        driver.fire_next_timer()
        call = driver.last_call(messages.CheckEndpoint)
        driver.send(
            messages.CheckAnswered(call.call_id, Position("1", 5, 2), 0 if call.counts_keys else None)
        )
        if driver.is_in(WatcherPhase.FETCHING_SNAPSHOT):
            driver.answer_page(5, A, B)
            driver.confirm_watch(5)
            snapshot_count += 1
    assert 5 < snapshot_count < 30
    driver.answer_key_count(5, key_count=1)
    driver.answer_page(5, B)  # a snapshot with a difference restores the interval
    assert driver.state.audit.interval_ms == limits.AUDIT_INTERVAL_MS


def test_audit_keys_without_a_valid_id_are_counted() -> None:
    driver = WatcherDriver()
    driver.send(messages.WatcherStarted())
    driver.answer_check(5)
    invalid = InvalidEntry("/entry 0", "no key")
    driver.answer_page(5, A, invalid, invalid, "withdrawn", key_count=4)
    driver.confirm_watch(5)
    driver.send(
        messages.WatchEventsReceived(
            driver.last_call_id(messages.OpenWatch),
            Position("1", 6),
            (messages.WatchEvent(6, "a", is_key_present=True),),
        )
    )
    driver.answer_key_count(6, key_count=4)  # the endpoint withdrew itself, but its key exists
    assert driver.is_in(WatcherPhase.WATCHING)
    assert driver.view == {}
    driver.send_watch_events((7, "a"))
    driver.answer_key_count(7, key_count=3)
    assert driver.is_in(WatcherPhase.WATCHING)
