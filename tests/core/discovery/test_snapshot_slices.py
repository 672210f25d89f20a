"""Tests of lists applied in slices: when changes are announced, and the effect of events in between."""

from __future__ import annotations

import pytest

from balancer.core.discovery import endpoint_merger, snapshot_slices
from balancer.core.discovery.source_state import Source
from balancer.endpoints import InvalidEntry
from balancer.interface import EndpointUpdateKind
from tests.core.discovery.merger_harness import (
    DRAINING,
    UP,
    MergerHarness,
    make_incremental,
    make_record,
    make_snapshot,
)


def test_snapshot_longer_than_a_slice_is_applied_in_slices_after_removals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints(
        "platform", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(95)))
    )
    assert len(harness.view) == 95
    changed_records = [
        make_record(f"s{i}", DRAINING if i == 94 else UP, port=i + 1, weight=2.0) for i in range(5, 95)
    ]
    harness.handle(endpoint_merger.EndpointsListed("platform", "one", make_snapshot(2, *changed_records)))
    # Removals and draining come before any other change.
    assert len(harness.announced) == 90 and harness.announced["s94"].endpoint.phase is DRAINING
    assert harness.slice_scheduled and harness.announced["s50"].endpoint.weight == 1.0
    updated_count = [one.endpoint.weight for one in harness.announced.values()].count(2.0)
    assert updated_count == 11  # the first slice, and the draining endpoint
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform",
            "one",
            make_incremental(3, make_record("s60", port=61, weight=5.0), removed_ids=("s61",)),
        )
    )
    assert harness.announced["s60"].endpoint.weight == 5.0
    harness.slice_scheduled = False
    harness.handle(endpoint_merger.NextSliceDue())
    weights = [one.endpoint.weight for one in harness.announced.values()]
    assert weights.count(2.0) == updated_count + 10  # each slice is announced separately
    harness.run_slices()
    # The newer list takes effect.
    assert harness.announced["s60"].endpoint.weight == 5.0 and "s61" not in harness.announced
    assert harness.announced["s50"].endpoint.weight == 2.0 and len(harness.view) == 89


def test_incremental_list_longer_than_a_slice_is_applied_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against applying live weights of a whole fleet in one turn; draining is not delayed."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints(
        "platform", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(50)))
    )
    changed_records = [
        make_record(f"s{i}", DRAINING if i == 40 else UP, port=i + 1, weight=2.0) for i in range(2, 50)
    ]
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_incremental(2, *changed_records, removed_ids=("s0", "s1"))
        )
    )
    assert "s0" not in harness.announced and harness.announced["s40"].endpoint.phase is DRAINING
    assert [one.endpoint.weight for one in harness.announced.values()].count(2.0) == 11
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_incremental(3, make_record("s49", port=50, weight=3.0))
        )
    )
    harness.run_slices()
    weights = [one.endpoint.weight for one in harness.announced.values()]
    assert weights.count(2.0) == 47 and harness.announced["s49"].endpoint.weight == 3.0


def test_first_snapshot_is_announced_as_a_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a policy that computes its subset over the first slice only."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    harness = MergerHarness(Source("platform"))
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(95)))
        )
    )
    assert harness.slice_scheduled and not harness.announced
    harness.run_slices()
    assert len(harness.announced) == 95 and len(harness.kinds) == 1


def test_source_identity_change_during_a_sliced_snapshot_loses_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    harness = MergerHarness(Source("platform"))
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(50)))
        )
    )
    harness.handle(endpoint_merger.SourceIdentityChanged("platform", "two"))
    harness.run_slices()
    assert harness.merger.watch_revision("platform") is None
    assert harness.view == {f"s{i}": "up" for i in range(50)}


def test_pending_endpoint_that_a_newer_snapshot_omits_counts_as_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lost removal, when the list before it is still pending."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 1)
    harness = MergerHarness()
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_snapshot(1, make_record("a"), make_record("b"))
        )
    )
    harness.list_endpoints("platform", make_snapshot(2, make_record("a")))
    harness.list_endpoints("etcd", make_snapshot(1, make_record("b")))
    assert harness.view == {"a": "up"}


def test_shared_address_during_a_sliced_snapshot_has_one_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against announcing an older state of a shadowed endpoint after a newer one."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 1)
    harness = MergerHarness(Source("platform"))
    records = make_record("b", port=1), make_record("a", port=1)
    harness.handle(endpoint_merger.EndpointsListed("platform", "one", make_snapshot(1, *records)))
    harness.list_endpoints("platform", make_incremental(2, *reversed(records)))
    assert len(harness.view) == 1


@pytest.fixture
def small_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sets small limits: lists of more than four endpoints are large, and slices have two."""
    monkeypatch.setattr(snapshot_slices, "LARGE_SNAPSHOT_ENTRIES", 4)
    monkeypatch.setattr(snapshot_slices, "CHANGE_SLICE_ENTRIES", 2)


@pytest.mark.usefixtures("small_limits")
@pytest.mark.parametrize("is_cached", [False, True])
def test_large_first_snapshot_announces_no_endpoint_as_up_before_its_end(is_cached: bool) -> None:
    """Guards against a policy that computes its subset over endpoints that came up in between."""
    harness = MergerHarness(Source("platform"))
    records = [make_record(f"s{i}", DRAINING if i == 3 else UP, port=i + 1) for i in range(9)]
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_snapshot(1, *records), is_cached=is_cached, cached_age_ms=7.0
        )
    )
    assert harness.slice_scheduled and [*harness.announced] == ["s3"], (
        "draining endpoints are announced first"
    )
    assert (harness.kinds[0] is EndpointUpdateKind.CACHED) == is_cached
    harness.handle(endpoint_merger.NextSliceDue())
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform",
            "one",
            make_incremental(2, make_record("s0", port=1, weight=5.0), removed_ids=("s1", "s8")),
        )
    )
    assert [*harness.announced] == ["s3"]
    announcement_count = len(harness.kinds)
    harness.run_slices()
    assert len(harness.kinds) == announcement_count + 1, "announced as a whole"
    assert harness.announced.keys() == {f"s{i}" for i in range(9)} - {"s1", "s8"}
    assert harness.announced["s0"].endpoint.weight == 5.0 and {
        one.endpoint.cached_age_ms for one in harness.announced.values()
    } == {None}


@pytest.mark.usefixtures("small_limits")
@pytest.mark.parametrize("slice_count", range(6))
def test_newer_snapshot_during_a_large_one_replaces_it(slice_count: int) -> None:
    harness = MergerHarness(Source("platform"))
    for revision, size, weight in ((1, 9, 1.0), (2, 9, 2.0), (3, 6, 3.0)):
        records = [make_record(f"s{i}", port=i + 1, weight=weight) for i in range(size)]
        harness.handle(endpoint_merger.EndpointsListed("platform", "one", make_snapshot(revision, *records)))
        for _ in range(slice_count):
            harness.handle(endpoint_merger.NextSliceDue())
    assert harness.announced.keys() <= {f"s{i}" for i in range(6)}, (
        "unlisted endpoints are removed immediately"
    )
    harness.run_slices()
    assert {name: one.endpoint.weight for name, one in harness.announced.items()} == {
        f"s{i}": 3.0 for i in range(6)
    }


@pytest.mark.usefixtures("small_limits")
@pytest.mark.parametrize("slice_count", range(6))
def test_large_cached_snapshot_leads_to_the_same_view_as_a_small_one(
    slice_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    views = []
    for large_snapshot_entries in (4, 1000):
        monkeypatch.setattr(snapshot_slices, "LARGE_SNAPSHOT_ENTRIES", large_snapshot_entries)
        for event in (
            None,
            endpoint_merger.SourceConfirmedCurrent("platform"),
            endpoint_merger.SourceIdentityChanged("platform", "two"),
            endpoint_merger.SourceLost("platform", "away"),
        ):
            harness = MergerHarness(Source("platform"))
            records = [make_record(f"s{i}", DRAINING if i == 3 else UP, port=i + 1) for i in range(9)]
            harness.handle(
                endpoint_merger.EndpointsListed(
                    "platform", "one", make_snapshot(7, *records), is_cached=True, cached_age_ms=5.0
                )
            )
            for _ in range(slice_count):
                harness.handle(endpoint_merger.NextSliceDue())
            if event is not None:
                harness.handle(event)
            harness.run_slices()
            assert harness.view
            views.append(
                {
                    name: (one.endpoint.phase, one.endpoint.cached_age_ms)
                    for name, one in harness.announced.items()
                }
            )
    assert views[:4] == views[4:] and views[0]["s3"] == (DRAINING, 5.0) and views[1]["s0"] == (UP, None)


def test_pending_endpoint_that_is_invalid_in_the_next_snapshot_keeps_its_pending_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 1)
    harness = MergerHarness(Source("platform"))
    harness.handle(
        endpoint_merger.EndpointsListed(
            "platform", "one", make_snapshot(1, make_record("a"), make_record("b"))
        )
    )
    harness.list_endpoints(
        "platform", make_snapshot(2, make_record("a"), invalid_entries=(InvalidEntry("b", "odd"),))
    )
    assert harness.view == {"a": "up", "b": "up"}  # its last valid record stays
