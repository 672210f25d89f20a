"""Tests of etcd snapshots: paging, restarts and delivery."""

from __future__ import annotations

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import limits, messages
from balancer.core.discovery.etcd_watcher.messages import CallFault
from balancer.core.discovery.etcd_watcher.state import WatcherPhase
from tests.core.discovery.etcd_watcher.driver import (
    A,
    B,
    C,
    WatcherDriver,
)


def test_snapshot_of_two_pages_has_the_revision_of_the_first_page() -> None:
    driver = WatcherDriver()
    driver.send(messages.WatcherStarted())
    driver.answer_check(40)
    driver.answer_page(41, A, last_key=b"a", has_more=True)
    assert driver.last_call(messages.FetchSnapshotPage) == messages.FetchSnapshotPage(
        driver.last_call_id(messages.FetchSnapshotPage), 0, b"a", 41, limits.MAX_PAGE_KEYS
    )
    assert driver.updates == []
    driver.answer_page(44, B, last_key=b"b")  # a later page may have a newer header revision
    (listed,) = driver.delivered_lists
    assert listed.identity == "1/0"
    assert listed.endpoint_list.is_complete
    assert listed.endpoint_list.revision == 41
    assert listed.endpoint_list.records == (A, B)
    assert driver.watch_start_revision == 41


def test_snapshot_compacted_between_pages_restarts_a_limited_number_of_times() -> None:
    driver = WatcherDriver()
    driver.send(messages.WatcherStarted())
    driver.answer_check(40)
    for _ in range(limits.MAX_SNAPSHOT_RESTARTS):
        driver.answer_page(41, A, last_key=b"a", has_more=True)
        driver.fail(messages.FetchSnapshotPage, CallFault.COMPACTED)
        assert driver.last_call(messages.FetchSnapshotPage) == messages.FetchSnapshotPage(
            driver.last_call_id(messages.FetchSnapshotPage), 0, b"", 0, limits.MAX_PAGE_KEYS
        )
    assert driver.updates == []
    driver.fail(messages.FetchSnapshotPage, CallFault.COMPACTED)  # the number of restarts is limited
    assert driver.is_in(WatcherPhase.WAITING)
    assert [type(update) for update in driver.updates] == [endpoint_merger.SourceLost]


def test_snapshot_after_compacted_watch_replaces_the_view_when_complete() -> None:
    driver = WatcherDriver().start_watching(5, A, B, C)
    driver.cancel_watch(9)
    assert isinstance(driver.calls[-2], messages.CloseWatch)
    assert isinstance(driver.calls[-1], messages.FetchSnapshotPage)
    assert len(driver.updates) == 1
    driver.answer_page(12, A, last_key=b"a", has_more=True)
    assert len(driver.updates) == 1
    driver.answer_page(12)
    assert driver.view == {"a": A}
    assert driver.watch_start_revision == 12


def test_snapshot_begun_with_check_in_flight_ignores_the_answer() -> None:
    driver = WatcherDriver().start_watching(5, A)
    driver.fire_next_timer()
    driver.cancel_watch(9)
    driver.answer_check(5)
    assert driver.is_in(WatcherPhase.FETCHING_SNAPSHOT)
    assert len(driver.updates) == 1


def test_snapshot_page_too_large_is_fetched_in_smaller_pages() -> None:
    driver = WatcherDriver()
    driver.send(messages.WatcherStarted())
    driver.answer_check(5)
    driver.answer_page(5, A, last_key=b"a", has_more=True)
    page_sizes = []
    while driver.is_in(WatcherPhase.FETCHING_SNAPSHOT):
        driver.fail(messages.FetchSnapshotPage, CallFault.TOO_LARGE)
        call = driver.last_call(messages.FetchSnapshotPage)
        assert call.after_key == b"a"
        assert call.revision == 5
        page_sizes.append(call.max_keys)
        assert len(page_sizes) < 9
    assert page_sizes == [125, 31, 7, 1, 1]
    assert driver.is_in(WatcherPhase.WAITING)


def test_snapshot_without_progress_or_end_abandons_the_endpoint() -> None:
    driver = WatcherDriver()
    driver.send(messages.WatcherStarted())
    driver.answer_check(5)
    driver.answer_page(5, A, last_key=b"a", has_more=True)
    driver.answer_page(5, A, last_key=b"a", has_more=True)
    assert driver.is_in(WatcherPhase.WAITING)
    assert "do not advance" in str(driver.updates[-1])
    driver.fire_next_timer()
    driver.answer_check(5)
    driver.answer_page(5, *[A] * (limits.MAX_SNAPSHOT_ENTRIES + 1), last_key=b"a", has_more=True)
    assert driver.is_in(WatcherPhase.WAITING)
    assert driver.state.snapshot.entries == []
