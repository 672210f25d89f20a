"""Tests of cached lists: the age of their records in the view, and how they are confirmed."""

from __future__ import annotations

import pytest

from balancer.core.discovery import endpoint_merger, snapshot_slices
from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.source_state import Source, SourceState
from balancer.endpoints import InvalidEntry
from balancer.interface import EndpointUpdateKind
from tests.core.discovery.merger_harness import MergerHarness, make_incremental, make_record, make_snapshot


def test_cached_revision_counts_as_seen() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(41, make_record("a")), is_cached=True)
    assert harness.kinds == [EndpointUpdateKind.CACHED] and harness.view == {"a": "up"}
    assert harness.state("platform") is SourceState.NO_CONTACT_YET
    assert harness.merger.watch_revision("platform") == 41
    harness.list_endpoints("platform", make_snapshot(40, make_record("b")))
    assert harness.view == {"a": "up"} and harness.state("platform") is SourceState.REJECTED
    harness.list_endpoints("platform", make_snapshot(42, make_record("b")))
    assert harness.view == {"b": "up"} and harness.state("platform") is SourceState.IN_SYNC


def test_large_incremental_list_after_a_cached_one_is_confirmed_from_its_first_slice() -> None:
    """Guards against a first slice that is announced with the age of the preceding cached list."""
    harness = MergerHarness()
    cached_list = make_snapshot(1, *(make_record(f"s{n}", port=n + 1) for n in range(600)))
    harness.handle(endpoint_merger.EndpointsListed("platform", "p", cached_list, is_cached=True))
    assert all(one.endpoint.cached_age_ms is not None for one in harness.announced.values())
    changes = make_incremental(2, *(make_record(f"s{n}", port=n + 1, weight=2.0) for n in range(600)))
    harness.handle(endpoint_merger.EndpointsListed("platform", "p", changes))
    announced = [one for one in harness.announced.values() if one.endpoint.weight == 2.0]
    assert len(announced) == snapshot_slices.SNAPSHOT_SLICE_ENTRIES and all(
        one.endpoint.cached_age_ms is None for one in announced
    )


def test_cached_list_with_an_invalid_entry_needs_a_snapshot() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints(
        "platform",
        make_snapshot(41, make_record("a"), invalid_entries=(InvalidEntry("b", "no port"),)),
        is_cached=True,
    )
    assert harness.view == {"a": "up"} and harness.merger.watch_revision("platform") is None
    harness.list_endpoints("platform", make_snapshot(41, make_record("a"), make_record("b")))
    assert harness.view == {"a": "up", "b": "up"}


def merger_with_cached_list(*names: str) -> EndpointMerger:
    """A merger with a cached list from source a: x and y at revision 7, five seconds old."""
    merger = EndpointMerger([Source(name) for name in names or ("a",)])
    cached_list = endpoint_merger.EndpointsListed(
        "a",
        "one",
        make_snapshot(7, make_record("x"), make_record("y")),
        is_cached=True,
        cached_age_ms=5_000.0,
    )
    merger.handle(0.0, cached_list)
    return merger


def cached_ages(merger: EndpointMerger) -> dict[str, float | None]:
    return {name: record.endpoint.cached_age_ms for name, record in merger.view.items()}


CACHED_AGES, CONFIRMED_AGES = {"x": 5_000.0, "y": 5_000.0}, {"x": None, "y": None}


def test_cached_list_is_in_the_view_with_its_age() -> None:
    assert cached_ages(merger_with_cached_list()) == CACHED_AGES


def test_source_that_shows_no_change_confirms_all_cached_records() -> None:
    merger = merger_with_cached_list()
    (applied,) = (
        a
        for a in merger.handle(1.0, endpoint_merger.SourceConfirmedCurrent("a"))
        if isinstance(a, endpoint_merger.ApplyEndpoints)
    )
    assert {one.id for one in applied.records} == {"x", "y"} and cached_ages(merger) == CONFIRMED_AGES
    assert not [
        a
        for a in merger.handle(2.0, endpoint_merger.SourceConfirmedCurrent("a"))
        if isinstance(a, endpoint_merger.ApplyEndpoints)
    ]


def test_source_that_needs_a_snapshot_confirms_no_cached_record() -> None:
    merger = merger_with_cached_list()
    merger.handle(1.0, endpoint_merger.UpdateUnreadable("a", "a line was lost"))
    merger.handle(2.0, endpoint_merger.SourceConfirmedCurrent("a"))
    assert cached_ages(merger) == CACHED_AGES


def test_snapshot_of_the_cached_revision_confirms_all_cached_records() -> None:
    merger = merger_with_cached_list()
    merger.handle(
        1.0, endpoint_merger.EndpointsListed("a", "one", make_snapshot(7, make_record("x"), make_record("y")))
    )
    assert cached_ages(merger) == CONFIRMED_AGES


def test_incremental_list_confirms_cached_records_that_it_does_not_name() -> None:
    merger = merger_with_cached_list()
    merger.handle(1.0, endpoint_merger.EndpointsListed("a", "one", make_incremental(8, removed_ids=("y",))))
    assert cached_ages(merger) == {"x": None}


def test_snapshot_older_than_the_cached_one_is_rejected() -> None:
    merger = merger_with_cached_list()
    merger.handle(
        1.0,
        endpoint_merger.EndpointsListed("a", "one", make_snapshot(6, make_record("x")), is_from_watch=True),
    )
    # Contact proves nothing, because the source's revision went back.
    merger.handle(2.0, endpoint_merger.SourceConfirmedCurrent("a"))
    assert cached_ages(merger) == CACHED_AGES and merger.sources["a"].state is SourceState.REJECTED


def test_another_source_confirms_only_what_it_lists() -> None:
    merger = merger_with_cached_list("a", "b")
    merger.handle(1.0, endpoint_merger.EndpointsListed("b", "two", make_snapshot(1, make_record("x"))))
    assert cached_ages(merger) == {"x": None, "y": 5_000.0}


@pytest.mark.parametrize(
    ("age_ms", "expected_age_ms"),
    [(-86_400_000.0, 0.0), (float("nan"), 0.0), (float("inf"), endpoint_merger.MAX_CACHED_AGE_MS)],
)
def test_cached_age_out_of_range_is_clamped(age_ms: float, expected_age_ms: float) -> None:
    merger = EndpointMerger([Source("a")])
    merger.handle(
        0.0,
        endpoint_merger.EndpointsListed(
            "a", "one", make_snapshot(1, make_record("x")), is_cached=True, cached_age_ms=age_ms
        ),
    )
    assert cached_ages(merger) == {"x": expected_age_ms}


def test_cached_lists_of_several_sources_are_one_view() -> None:
    merger = merger_with_cached_list("a", "b")
    event = endpoint_merger.EndpointsListed(
        "b", "two", make_snapshot(3, make_record("z"), removed_ids=("x",)), is_cached=True, cached_age_ms=9.0
    )
    (applied,) = (a for a in merger.handle(1.0, event) if isinstance(a, endpoint_merger.ApplyEndpoints))
    assert applied.kind is EndpointUpdateKind.INCREMENTAL, (
        "a snapshot would remove the endpoints of the first list"
    )
    assert [one.id for one in applied.removed_records] == ["x"] and cached_ages(merger) == {
        "y": 5_000.0,
        "z": 9.0,
    }


def test_large_cached_list_is_confirmed_in_slices() -> None:
    """Guards against a single turn of the event loop in which the policy applies thousands of changes."""
    merger, names = EndpointMerger([Source("a")]), [f"s{n}" for n in range(1_000)]
    cached_list = make_snapshot(7, *(make_record(name, port=1 + n) for n, name in enumerate(names)))
    merger.handle(0.0, endpoint_merger.EndpointsListed("a", "one", cached_list, is_cached=True))
    batch_sizes, actions = [], merger.handle(1.0, endpoint_merger.SourceConfirmedCurrent("a"))
    while actions:
        batch_sizes += [
            len(one.records) for one in actions if isinstance(one, endpoint_merger.ApplyEndpoints)
        ]
        has_next_slice = any(isinstance(one, endpoint_merger.ScheduleNextSlice) for one in actions)
        actions = merger.handle(1.0, endpoint_merger.NextSliceDue()) if has_next_slice else []
    assert (
        sum(batch_sizes) == 1_000
        and max(batch_sizes) <= snapshot_slices.CHANGE_SLICE_ENTRIES
        and set(cached_ages(merger).values()) == {None}
    )
