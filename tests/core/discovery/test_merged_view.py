"""Tests of the merged view: precedence between two sources, and endpoints that share an address."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import replace

import pytest

from balancer.core.discovery import merged_view
from balancer.core.discovery.source_state import Source, SourceRole
from balancer.endpoints import EndpointRecord
from tests.core.discovery.merger_harness import (
    DRAINING,
    MergerHarness,
    make_incremental,
    make_record,
    make_snapshot,
)

LISTED_PHASES = ("nothing", "up", "draining", "removed")


# The expected phase in the view by the phases that the first and the second source list, for each role of
# the second source. The first source has the full role.
EXPECTED_PHASE = {
    SourceRole.FULL: {
        ("nothing", "nothing"): None,
        ("nothing", "up"): "up",
        ("nothing", "draining"): "draining",
        ("nothing", "removed"): None,
        ("up", "nothing"): "up",
        ("up", "up"): "up",
        ("up", "draining"): "draining",
        ("up", "removed"): None,
        ("draining", "nothing"): "draining",
        ("draining", "up"): "draining",
        ("draining", "draining"): "draining",
        ("draining", "removed"): None,
        ("removed", "nothing"): None,
        ("removed", "up"): None,
        ("removed", "draining"): None,
        ("removed", "removed"): None,
    },
    SourceRole.ADD: {
        ("nothing", "nothing"): None,
        ("nothing", "up"): "up",
        ("nothing", "draining"): "draining",
        ("nothing", "removed"): None,
        ("up", "nothing"): "up",
        ("up", "up"): "up",
        ("up", "draining"): "up",
        ("up", "removed"): "up",
        ("draining", "nothing"): "draining",
        ("draining", "up"): "draining",
        ("draining", "draining"): "draining",
        ("draining", "removed"): "draining",
        ("removed", "nothing"): None,
        ("removed", "up"): None,
        ("removed", "draining"): None,
        ("removed", "removed"): None,
    },
    SourceRole.REMOVE: {
        ("nothing", "nothing"): None,
        ("nothing", "up"): None,
        ("nothing", "draining"): None,
        ("nothing", "removed"): None,
        ("up", "nothing"): "up",
        ("up", "up"): "up",
        ("up", "draining"): "draining",
        ("up", "removed"): None,
        ("draining", "nothing"): "draining",
        ("draining", "up"): "draining",
        ("draining", "draining"): "draining",
        ("draining", "removed"): None,
        ("removed", "nothing"): None,
        ("removed", "up"): None,
        ("removed", "draining"): None,
        ("removed", "removed"): None,
    },
}


@pytest.mark.parametrize("role", SourceRole)
@pytest.mark.parametrize(("first", "second"), list(itertools.product(LISTED_PHASES, LISTED_PHASES)))
@pytest.mark.parametrize("order", [("platform", "etcd"), ("etcd", "platform")])
def test_precedence_of_two_sources_follows_the_table(
    role: SourceRole, first: str, second: str, order: tuple[str, str]
) -> None:
    """The result does not depend on which source lists last."""
    harness = MergerHarness(Source("platform"), Source("etcd", role))
    listed_phases = {"platform": first, "etcd": second}
    for name in order:
        harness.list_endpoints(
            name, make_snapshot(1, *([] if listed_phases[name] == "nothing" else [make_record("x")]))
        )
    for name in order:
        if listed_phases[name] == "removed":
            harness.list_endpoints(name, make_incremental(2, removed_ids=("x",)))
        elif listed_phases[name] == "draining":
            harness.list_endpoints(name, make_incremental(2, make_record("x", DRAINING)))
    assert harness.view.get("x") == EXPECTED_PHASE[role][first, second]


def test_removed_endpoint_stays_removed_until_the_same_source_lists_it_again() -> None:
    harness = MergerHarness()
    harness.list_endpoints("platform", make_snapshot(1, make_record("x"), make_record("y")))
    harness.list_endpoints("etcd", make_snapshot(1, make_record("x")))
    harness.list_endpoints("etcd", make_snapshot(2))
    assert harness.view == {"y": "up"}
    # Another source does not override the removal.
    harness.list_endpoints("platform", make_incremental(2, make_record("x")))
    harness.list_endpoints("platform", make_snapshot(3, make_record("x"), make_record("y")))
    assert harness.view == {"y": "up"}
    harness.list_endpoints("etcd", make_incremental(3, make_record("x")))
    assert harness.view == {"x": "up", "y": "up"}


def test_removal_of_an_endpoint_that_only_another_source_listed_is_applied() -> None:
    harness = MergerHarness()
    harness.list_endpoints("platform", make_snapshot(1, make_record("x")))
    harness.list_endpoints("etcd", make_snapshot(1))
    harness.list_endpoints("etcd", make_incremental(2, removed_ids=("x",)))
    assert harness.view == {}


def test_endpoint_of_two_sources_has_the_fields_of_the_first_and_the_latest_start() -> None:
    harness = MergerHarness()
    platform_record = make_record("x", port=1, weight=0.4, zone="a", kind="m2", started_at_ms=50.0)
    etcd_record = make_record("x", port=2, weight=3.0, zone="b", kind="m9", started_at_ms=90.0)
    harness.list_endpoints("etcd", make_snapshot(1, etcd_record))
    assert harness.announced["x"] == etcd_record
    harness.list_endpoints("platform", make_snapshot(1, platform_record))
    assert harness.announced["x"] == EndpointRecord(
        replace(platform_record.endpoint, started_at_ms=90.0), platform_record.address
    )
    harness.list_endpoints("platform", make_snapshot(2))
    assert harness.view == {}
    harness.list_endpoints("platform", make_incremental(3, platform_record))
    harness.list_endpoints("etcd", make_snapshot(2, make_record("x", port=2, started_at_ms=10.0)))
    assert harness.announced["x"] == platform_record


def test_shared_address_is_used_by_the_endpoint_that_started_last() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints(
        "platform",
        make_snapshot(1, make_record("new", port=7, started_at_ms=9.0), make_record("old", port=7)),
    )
    assert harness.view == {"new": "up"} and "left out" in harness.log_lines[-1].text
    harness.list_endpoints("platform", make_incremental(2, make_record("last", port=7, started_at_ms=9.0)))
    assert harness.view == {"last": "up"}
    harness.list_endpoints("platform", make_incremental(3, make_record("last", port=8, started_at_ms=9.0)))
    assert harness.view == {"last": "up", "new": "up"}
    assert harness.merger.merged_view.shadowed_ids == {"old"}


REPLACED = make_record("old", port=7)
REPLACEMENT = make_record("new", port=7, started_at_ms=9.0)
DRAINING_REPLACEMENT = make_record("new", DRAINING, port=7, started_at_ms=9.0)


@pytest.mark.parametrize("is_listed_first", [False, True])
def test_replaced_endpoint_is_not_used_while_its_replacement_drains(is_listed_first: bool) -> None:
    """Guards against new requests to a draining process, under the id of the one that it replaced."""
    harness = MergerHarness(Source("platform"))
    first, second = (REPLACED, REPLACEMENT) if is_listed_first else (DRAINING_REPLACEMENT, REPLACED)
    harness.list_endpoints("platform", make_snapshot(1, first))
    harness.list_endpoints("platform", make_incremental(2, second))
    harness.list_endpoints("platform", make_incremental(3, DRAINING_REPLACEMENT))
    assert harness.view == {"new": "draining"}
    assert "left out" in harness.log_lines[-1].text
    harness.list_endpoints("platform", make_incremental(4, removed_ids=("new",)))
    assert harness.view == {}
    harness.list_endpoints("platform", make_incremental(5, REPLACED))
    assert harness.view == {}
    harness.list_endpoints("platform", make_incremental(6, removed_ids=("old",)))
    assert not harness.merger.merged_view._ended_processes


def test_replaced_endpoint_is_used_once_it_started_again() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(1, REPLACED, DRAINING_REPLACEMENT))
    harness.list_endpoints("platform", make_incremental(2, make_record("old", port=7, started_at_ms=20.0)))
    assert harness.view == {"new": "draining", "old": "up"}
    harness.list_endpoints("platform", make_incremental(3, removed_ids=("new",)))
    assert harness.view == {"old": "up"} and not harness.merger.merged_view.shadowed_ids


def test_replacement_that_is_up_again_is_used() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(1, REPLACED, DRAINING_REPLACEMENT))
    harness.list_endpoints("platform", make_incremental(2, REPLACEMENT))
    assert harness.view == {"new": "up"}


def test_endpoint_of_unknown_start_is_used_once_the_one_before_it_has_gone() -> None:
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(1, REPLACED, REPLACEMENT))
    harness.list_endpoints("platform", make_incremental(2, DRAINING_REPLACEMENT, make_record("last", port=7)))
    assert harness.view == {"new": "draining"}  # it still listens there
    harness.list_endpoints("platform", make_incremental(3, removed_ids=("new", "last")))
    assert harness.view == {}
    harness.list_endpoints("platform", make_incremental(4, make_record("last", port=7)))
    assert harness.view == {"last": "up"} and harness.merger.merged_view.shadowed_ids == {"old"}


def test_ended_processes_are_forgotten_with_their_addresses() -> None:
    """Guards against memory that grows with every replaced backend."""
    harness = MergerHarness(Source("platform"))
    harness.list_endpoints("platform", make_snapshot(1, make_record("stays")))
    revisions = itertools.count(2)
    for number in range(20):
        name, start_ms = f"s{number}", 1.0 + number
        changes = (
            make_record(name, port=100 + number, started_at_ms=start_ms),
            make_record(name, DRAINING, port=100 + number, started_at_ms=start_ms),
            make_record(name, DRAINING, port=300 + number, started_at_ms=start_ms),
        )
        for change in changes:
            harness.list_endpoints("platform", make_incremental(next(revisions), change))
        harness.list_endpoints("platform", make_incremental(next(revisions), removed_ids=(name,)))
    assert harness.view == {"stays": "up"} and not harness.merger.merged_view._ended_processes


def test_many_endpoints_at_one_address_cost_as_little_as_many_addresses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against quadratic time for a list with a single address, from comparing endpoints pairwise."""
    merged_ids: list[str] = []
    merge_records = merged_view.merge_records

    def record_call(sources: Mapping[str, Source], endpoint_id: str) -> EndpointRecord | None:
        merged_ids.append(endpoint_id)
        return merge_records(sources, endpoint_id)

    monkeypatch.setattr(merged_view, "merge_records", record_call)
    harness, count = MergerHarness(Source("platform")), 2000
    names = [f"s{i:04}" for i in range(count)]
    harness.list_endpoints("platform", make_snapshot(1, *(make_record(name, port=7) for name in names)))
    assert harness.view == {names[-1]: "up"}
    harness.list_endpoints("platform", make_incremental(2, removed_ids=tuple(names[1:])))
    assert harness.view == {names[0]: "up"} and not harness.merger.merged_view.shadowed_ids
    assert count < len(merged_ids) < 10 * count
