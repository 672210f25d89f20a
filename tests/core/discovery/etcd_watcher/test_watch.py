"""Tests of the etcd watch: events, fragments, progress and resumption."""

from __future__ import annotations

import pytest

from balancer import interface as api
from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import messages
from balancer.core.discovery.etcd_watcher.messages import CallFault
from balancer.core.discovery.etcd_watcher.state import WatcherPhase
from balancer.endpoints import InvalidEntry
from tests.core.discovery.etcd_watcher.driver import (
    A,
    B,
    C,
    WatcherDriver,
    endpoint,
)


def test_watch_replayed_events_are_dropped() -> None:
    driver = WatcherDriver().start_watching(5, A)
    driver.send_watch_events((6, B), (7, "a"))
    driver.send_watch_events((6, B), (7, "a"), (4, A))
    assert driver.view == {"b": B}
    assert len(driver.delivered_lists) == 2
    # Old events among new ones, out of order.
    driver.send_watch_events((7, "a"), (8, A), (6, "b"), header_revision=9)
    assert driver.view == {"a": A, "b": B}
    assert driver.last_list.revision == 8


def test_watch_revision_in_two_fragments_is_delivered_completely() -> None:
    driver = WatcherDriver().start_watching(5, A, B, C)
    driver.send_watch_events((6, C), (7, "a"), is_fragment=True)
    # A removal takes effect before the rest of its revision arrives.
    assert "a" not in driver.view
    assert driver.last_list.revision == 7
    driver.send_watch_events((7, "b"), header_revision=7)
    assert set(driver.view) == {"c"}
    assert driver.last_list.revision == 7
    driver.send_watch_events((7, "c"), header_revision=7)  # replayed, but the revision is complete now
    assert set(driver.view) == {"c"}
    assert driver.state.delivered.complete_revision == 7


def test_watch_broken_within_a_revision_resumes_with_that_revision() -> None:
    driver = WatcherDriver().start_watching(5, A, B, C)
    driver.send_watch_events((7, "a"), is_fragment=True)
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    driver.answer_check(7)
    assert driver.watch_start_revision == 6
    driver.confirm_watch(7)
    driver.send_watch_events((7, "a"), (7, "b"))
    assert set(driver.view) == {"c"}
    assert [update.endpoint_list.revision for update in driver.delivered_lists] == [
        5,
        7,
        7,
    ]


def test_watch_broken_within_a_compacted_revision_gets_the_rest_as_incremental_update() -> None:
    driver = WatcherDriver().start_watching(5, A, B, C)
    driver.send_watch_events((7, "a"), is_fragment=True)
    driver.cancel_watch(7)
    driver.answer_page(7, C)
    # The merger would ignore a snapshot of a revision that it has seen.
    assert not driver.last_list.is_complete
    assert driver.last_list.removed_ids == ("b",)
    assert set(driver.view) == {"c"}
    assert driver.watch_start_revision == 7


def test_watch_several_events_of_one_key_deliver_the_last() -> None:
    driver = WatcherDriver().start_watching(5, A)
    draining, invalid = InvalidEntry("b", "bad", True), InvalidEntry("a", "bad")
    driver.send_watch_events((6, "b"), (7, B), (8, "a"), (9, A), (10, "a"), (11, draining), (12, invalid))
    endpoint_list = driver.last_list
    assert endpoint_list.removed_ids == ("a",)
    assert [entry.key for entry in endpoint_list.invalid_entries] == ["b", "a"]
    # The entry is invalid, but its draining state takes effect.
    assert endpoint_list.records == (endpoint("b", phase=api.Phase.DRAINING),)


def test_watch_progress_advances_the_resume_revision_up_to_the_checked_one() -> None:
    driver = WatcherDriver().start_watching(5, A)
    driver.notify_progress(99)
    assert driver.state.delivered.complete_revision == 5
    assert driver.updates[-1] == endpoint_merger.SourceConfirmedCurrent("etcd")
    driver.fire_next_timer()
    driver.answer_check(30)
    driver.notify_progress(29)
    driver.fail(messages.OpenWatch)
    driver.fire_next_timer()
    driver.answer_check(30)
    assert driver.watch_start_revision == 29


def test_watch_progress_between_fragments_is_ignored() -> None:
    driver = WatcherDriver().start_watching(5, A, B)
    driver.fire_next_timer()
    driver.answer_check(30)
    driver.send_watch_events((7, "a"), header_revision=30, is_fragment=True)
    driver.notify_progress(30)
    assert driver.state.delivered.complete_revision == 6


def test_watch_event_beyond_the_header_revision_is_rejected() -> None:
    driver = WatcherDriver().start_watching(5, A)
    driver.send_watch_events((900, "a"), header_revision=6)
    assert driver.view == {"a": A}
    assert driver.state.delivered.seen_revision == 5
    assert driver.state.delivered.needs_snapshot


@pytest.mark.parametrize("fault", [CallFault.UNREADABLE, CallFault.TOO_LARGE])
def test_watch_unreadable_is_followed_by_a_snapshot(fault: CallFault) -> None:
    driver = WatcherDriver().start_watching(5, A)
    driver.fail(messages.OpenWatch, fault)
    driver.fire_next_timer()
    driver.answer_check(7)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)


def test_watch_mass_removal_is_applied_and_logged_once() -> None:
    records = [endpoint(f"s-{i}") for i in range(10)]
    driver = WatcherDriver().start_watching(5, *records)
    driver.send_watch_events(*[(6, record.id) for record in records[:5]])
    assert driver.log_texts == []
    driver.send_watch_events(*[(7, record.id) for record in records[5:8]], is_fragment=True)
    driver.send_watch_events((7, records[8].id), is_fragment=True)
    driver.send_watch_events((7, records[9].id))
    assert driver.view == {}
    assert ["4 of 5 endpoints removed at once" in text for text in driver.log_texts] == [True]
