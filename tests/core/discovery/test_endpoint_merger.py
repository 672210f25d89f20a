"""Tests of the merge: revision orders, lists that are not applied, invalid entries, limits, log lines."""

from __future__ import annotations

import pytest

from balancer.core.discovery import endpoint_merger, merge_report, source_state
from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.source_state import Source, SourceRole, SourceState
from balancer.endpoints import InvalidEntry
from balancer.interface import Phase
from tests.core.discovery.merger_harness import (
    DRAINING,
    UP,
    MergerHarness,
    make_incremental,
    make_record,
    make_snapshot,
)


def test_snapshot_of_older_revision_is_not_applied() -> None:
    """Guards against a fault in which revision 50 {A} after revision 60 {B} moved all traffic to A."""
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(60, make_record("b")))
    harness.list_endpoints("platform", make_snapshot(50, make_record("a")))
    assert harness.view == {"b": "up"} and harness.merger.sources["platform"].stale_list_count == 1
    harness.list_endpoints("platform", make_incremental(55, make_record("a")))
    assert harness.view == {"b": "up"}
    harness.list_endpoints("platform", make_incremental(61, make_record("c")))
    assert harness.view == {"b": "up", "c": "up"}


@pytest.mark.parametrize("revision", [59, 60])
def test_incremental_list_that_is_not_newer_is_not_applied(revision: int) -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(60, make_record("b")))
    harness.list_endpoints("platform", make_incremental(revision, removed_ids=("b",)))
    assert harness.view == {"b": "up"}
    assert harness.merger.sources["platform"].stale_list_count == 1


def test_incremental_lists_of_one_revision_are_applied_where_revisions_are_partial() -> None:
    harness = MergerHarness(Source("etcd", has_partial_revisions=True))
    harness.list_endpoints("etcd", make_snapshot(5, make_record("a"), make_record("b")))
    harness.list_endpoints("etcd", make_incremental(6, removed_ids=("a",)))
    harness.list_endpoints("etcd", make_incremental(6, removed_ids=("b",)))
    assert harness.view == {}


def test_incremental_list_before_any_snapshot_is_not_applied() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_incremental(3, make_record("a")))
    assert harness.view == {} and harness.merger.sources["platform"].stale_list_count == 1
    assert harness.merger.watch_revision("platform") is None


def test_snapshot_of_equal_revision_is_applied_only_after_an_unreadable_update() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(5, make_record("a")))
    harness.list_endpoints("platform", make_snapshot(5, make_record("b")))
    assert harness.view == {"a": "up"} and harness.merger.watch_revision("platform") == 5
    harness.handle(endpoint_merger.UpdateUnreadable("platform", "no JSON"))
    assert harness.merger.watch_revision("platform") is None
    harness.list_endpoints("platform", make_incremental(6, make_record("c")))
    assert harness.view == {"a": "up"}
    harness.list_endpoints("platform", make_snapshot(5, make_record("b")))
    assert harness.view == {"b": "up"} and harness.merger.watch_revision("platform") == 5


def test_snapshot_of_equal_revision_is_applied_where_revisions_are_partial() -> None:
    """Such a snapshot is fetched if events may be lost, or if a restored backup has the same revision."""
    harness = MergerHarness(Source("etcd", has_partial_revisions=True))
    harness.list_endpoints("etcd", make_snapshot(5, make_record("a"), make_record("b")))
    harness.list_endpoints("etcd", make_snapshot(5, make_record("b", DRAINING), make_record("c")))
    assert harness.view == {"b": "draining", "c": "up"} and harness.merger.watch_revision("etcd") == 5
    harness.list_endpoints("etcd", make_snapshot(4, make_record("a")))
    assert (
        harness.view == {"b": "draining", "c": "up"} and harness.merger.sources["etcd"].stale_list_count == 1
    )


def test_source_identity_change_needs_a_snapshot_for_a_new_order() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(60, make_record("a")), "10.0.0.1:1")
    harness.handle(endpoint_merger.SourceIdentityChanged("platform", "10.0.0.2:1"))
    assert harness.view == {"a": "up"} and harness.merger.watch_revision("platform") is None
    harness.list_endpoints("platform", make_incremental(61, make_record("c")), "10.0.0.2:1")
    assert harness.view == {"a": "up"}
    harness.list_endpoints("platform", make_snapshot(3, make_record("b")), "10.0.0.2:1")
    assert harness.view == {"b": "up"} and harness.merger.watch_revision("platform") == 3
    # The same identity again changes nothing.
    harness.handle(endpoint_merger.SourceIdentityChanged("platform", "10.0.0.2:1"))
    assert harness.merger.watch_revision("platform") == 3


def test_snapshot_of_another_identity_starts_a_new_order_with_a_warning() -> None:
    harness = MergerHarness(Source("etcd"))
    harness.list_endpoints("etcd", make_snapshot(900, make_record("a"), make_record("b")), "7/0")
    harness.list_endpoints("etcd", make_incremental(901, removed_ids=("a",)), "8/0")
    assert harness.view == {"a": "up", "b": "up"}
    harness.list_endpoints("etcd", make_snapshot(2, make_record("b")), "8/0")
    assert harness.view == {"b": "up"}
    assert any(line.is_warning and "8/0" in line.text for line in harness.log_lines)


def test_source_unavailable_keeps_its_endpoints_and_is_logged_once() -> None:
    harness = MergerHarness()
    harness.list_endpoints("etcd", make_snapshot(5, make_record("a")))
    for event in (
        endpoint_merger.SourceLost("etcd", "frozen"),
        endpoint_merger.SourceRejected("etcd", "went back"),
        endpoint_merger.SourceLost("etcd", "frozen"),
    ):
        harness.handle(event)
        harness.handle(event)  # logged once
        assert harness.view == {"a": "up"}
    assert len(harness.log_lines) == 3
    harness.handle(endpoint_merger.SourceConfirmedCurrent("etcd"))
    assert harness.state("etcd") is SourceState.IN_SYNC


def test_source_removed_from_the_settings_no_longer_affects_the_view() -> None:
    harness = MergerHarness()
    harness.list_endpoints("platform", make_snapshot(4, make_record("a"), make_record("b"), make_record("c")))
    harness.list_endpoints(
        "etcd", make_snapshot(9, make_record("a", DRAINING), make_record("b"), make_record("d"))
    )
    harness.list_endpoints("etcd", make_incremental(10, removed_ids=("b",)))
    assert harness.view == {"a": "draining", "c": "up", "d": "up"}
    harness.handle(endpoint_merger.SourcesConfigured((Source("platform"), Source("etcd", SourceRole.ADD))))
    assert harness.view == {"a": "up", "b": "up", "c": "up", "d": "up"}
    assert harness.merger.watch_revision("etcd") == 10
    harness.handle(endpoint_merger.SourcesConfigured((Source("platform"),)))
    assert harness.view == {"a": "up", "b": "up", "c": "up"}
    harness.handle(endpoint_merger.SourcesConfigured((Source("platform"), Source("etcd"))))
    assert harness.merger.watch_revision("etcd") is None and harness.merger.watch_revision("platform") == 4


def test_events_of_an_unknown_source_are_ignored() -> None:
    """Guards against the answer to a call that was in flight when the operators removed its source."""
    harness = MergerHarness(Source("platform"))
    listed = endpoint_merger.EndpointsListed("etcd", "7/0", make_snapshot(1, make_record("a")))
    for event in (
        endpoint_merger.SourceConfirmedCurrent("etcd"),
        endpoint_merger.SourceLost("etcd", "away"),
        listed,
    ):
        harness.handle(event)
    assert harness.view == {} and not harness.log_lines


def test_invalid_entry_affects_no_other_entry_and_keeps_its_last_valid_record() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints(
        "platform",
        make_snapshot(
            1, make_record("a"), make_record("b"), invalid_entries=(InvalidEntry("c", "phase is 'odd'"),)
        ),
    )
    assert harness.view == {"a": "up", "b": "up"}
    harness.list_endpoints(
        "platform", make_snapshot(2, make_record("b"), invalid_entries=(InvalidEntry("a", "no port"),))
    )
    assert harness.view == {"a": "up", "b": "up"}  # the last valid record stays
    report = merge_report.build_report(harness.merger)
    assert report["sources"][0]["unreadable"] == 2
    assert report["faults"] == [{"source": "platform", "key": "a", "reason": "no port"}]
    assert [line.text for line in harness.log_lines] == [
        "platform: entry 'c' left out: phase is 'odd'",
        "platform: entry 'a' left out: no port",
    ]
    harness.list_endpoints("platform", make_incremental(3, make_record("a", weight=2.0)))
    assert (
        harness.announced["a"].endpoint.weight == 2.0
        and not merge_report.build_report(harness.merger)["faults"]
    )
    harness.list_endpoints("platform", make_snapshot(4, make_record("b")))
    assert harness.view == {"b": "up"}


@pytest.mark.parametrize(("phases", "expected_phase"), [((DRAINING, UP), "up"), ((UP, DRAINING), "draining")])
def test_endpoint_listed_twice_has_its_later_record(phases: tuple[Phase, Phase], expected_phase: str) -> None:
    harness = MergerHarness(Source("platform"))
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_snapshot(1, *(make_record("a", phase) for phase in phases))
        )
    )
    assert harness.view == {"a": expected_phase} and len(harness.kinds) == 1 + (expected_phase == "draining")


def test_invalid_entry_that_drains_takes_effect() -> None:
    harness = MergerHarness()
    harness.list_endpoints("platform", make_snapshot(1, make_record("a"), make_record("b")))
    harness.list_endpoints("etcd", make_snapshot(1, make_record("a")))
    harness.list_endpoints(
        "platform", make_incremental(2, invalid_entries=(InvalidEntry("a", "no port", is_draining=True),))
    )
    assert harness.view == {"a": "draining", "b": "up"}
    # The draining state takes effect although etcd never listed b.
    harness.list_endpoints(
        "etcd", make_incremental(2, invalid_entries=(InvalidEntry("b", "no port", is_draining=True),))
    )
    assert harness.view == {"a": "draining"}


def test_removal_of_most_endpoints_is_applied_with_a_warning() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(1, *(make_record(f"s{i}") for i in range(6))))
    harness.list_endpoints("platform", make_incremental(2, removed_ids=tuple(f"s{i}" for i in range(6))))
    assert harness.view == {}
    assert any(line.is_warning and "6 of 6" in line.text for line in harness.log_lines)


def test_removed_ids_are_bounded_except_for_those_that_another_source_lists(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(source_state, "MAX_REMOVED_IDS_PER_SOURCE", 3)
    harness = MergerHarness()
    harness.list_endpoints("platform", make_snapshot(1, *(make_record(f"s{i}") for i in range(5))))
    harness.list_endpoints("etcd", make_snapshot(1, *(make_record(f"s{i}") for i in range(5))))
    harness.list_endpoints("etcd", make_snapshot(2))
    assert harness.view == {}  # the removals of endpoints that another source lists are kept
    harness.list_endpoints("platform", make_snapshot(2))
    harness.list_endpoints("etcd", make_incremental(3, removed_ids=("s5", "s6")))
    assert list(harness.merger.sources["etcd"].removed_ids) == ["s4", "s5", "s6"]
    single_source_harness = MergerHarness(Source("platform"))
    single_source_harness.list_endpoints("platform", make_snapshot(1, make_record("a")))
    single_source_harness.list_endpoints("platform", make_snapshot(2))
    assert not single_source_harness.merger.sources["platform"].removed_ids  # no other source could list it


def test_invalid_entries_kept_are_bounded_and_all_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source_state, "MAX_INVALID_ENTRIES_PER_SOURCE", 2)
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints(
        "platform", make_snapshot(1, invalid_entries=tuple(InvalidEntry(f"f{i}", "odd") for i in range(9)))
    )
    assert len(harness.merger.sources["platform"].invalid_entries) == 2
    assert harness.merger.sources["platform"].invalid_entry_count == 9


def test_merger_with_two_sources_of_the_same_name_raises_value_error() -> None:
    with pytest.raises(ValueError, match="two sources have the same name"):
        EndpointMerger([Source("etcd"), Source("etcd")])


def test_source_whose_revision_went_back_is_rejected_until_it_lists_a_newer_one() -> None:
    """Guards against a source that is ignored permanently, but reported as in sync and not logged."""
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(60, make_record("a")))
    harness.handle(endpoint_merger.SourceConfirmedCurrent("platform"))
    harness.list_endpoints("platform", make_snapshot(5, make_record("b")), is_from_watch=True)
    assert harness.state("platform") is SourceState.REJECTED
    assert harness.log_lines[-1].is_warning and "older than 60" in harness.log_lines[-1].text
    harness.handle(endpoint_merger.SourceConfirmedCurrent("platform"))
    harness.list_endpoints("platform", make_incremental(6, make_record("b")))
    assert harness.state("platform") is SourceState.REJECTED and len(harness.log_lines) == 1
    assert harness.view == {"a": "up"}
    harness.list_endpoints("platform", make_incremental(61, make_record("c")))
    assert harness.state("platform") is SourceState.IN_SYNC and harness.view == {"a": "up", "c": "up"}
    # A poll's answer that arrives after newer events of the watch.
    harness.list_endpoints("platform", make_snapshot(60))
    assert harness.state("platform") is SourceState.IN_SYNC


def test_log_lines_on_omitted_entries_are_bounded() -> None:
    """Guards against losing important lines: the log is bounded, and each omitted entry used to be logged."""
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints(
        "platform", make_snapshot(1, invalid_entries=tuple(InvalidEntry(f"f{i}", "odd") for i in range(500)))
    )
    harness.list_endpoints("platform", make_snapshot(2, *(make_record(f"s{i}", port=7) for i in range(300))))
    assert len(harness.log_lines) < 50
    assert sum("left out" in line.text for line in harness.log_lines) > 5
    assert any("480 more" in line.text for line in harness.log_lines)
    assert any("279 more" in line.text for line in harness.log_lines)
    assert len(harness.merger.merged_view.shadowed_ids) == 299
