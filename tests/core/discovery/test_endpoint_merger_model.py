"""Property tests that compare the merge with a naive model of the same rules."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.discovery import endpoint_merger, snapshot_slices
from balancer.core.discovery.source_state import Source
from balancer.endpoints import EndpointRecord
from balancer.interface import Phase
from tests.core.discovery.merger_harness import (
    DRAINING,
    UP,
    MergerHarness,
    make_incremental,
    make_record,
    make_snapshot,
)

IDS = ["a", "b", "c", "d"]


PHASES = st.sampled_from([UP, UP, DRAINING])


RECORDS = st.dictionaries(
    st.sampled_from(IDS), st.tuples(PHASES, st.integers(1, 3), st.integers(0, 2)), max_size=4
).map(lambda table: [make_record(n, p, port, started_at_ms=float(at)) for n, (p, port, at) in table.items()])


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["platform", "etcd"]),
        st.sampled_from(["whole", "changes", "needs_snapshot", "new order", "silent", "turn"]),
        st.integers(-1, 2),
        RECORDS,
        st.lists(st.sampled_from(IDS), max_size=2),
    ),
    max_size=25,
)


class NaiveSource:
    """A naive model of the lists of one source."""

    def __init__(self) -> None:
        self.identity = self.revision = 0
        self.known = self.needs_snapshot = False
        self.listed: dict[str, EndpointRecord | None] = {}  # None: removed

    def whole(self, revision: int, records: list[EndpointRecord]) -> None:
        """Apply a snapshot."""
        if not self.known or revision > self.revision or (revision == self.revision and self.needs_snapshot):
            record_by_id = {one.endpoint.id: one for one in records}
            self.listed |= dict.fromkeys(name for name, last in self.listed.items() if last is not None)
            self.listed |= record_by_id
            self.known, self.revision, self.needs_snapshot = True, revision, False

    def changes(self, revision: int, records: list[EndpointRecord], removed: list[str]) -> None:
        """Apply incremental changes, removals first."""
        if self.known and not self.needs_snapshot and revision > self.revision:
            self.listed |= dict.fromkeys(removed)
            self.listed |= {one.endpoint.id: one for one in records}
            self.revision = revision


def expected_view(first: NaiveSource, second: NaiveSource) -> dict[str, tuple[Phase, int, float]]:
    """The view by the rules of docs/design/membership.md, without the rule for shared addresses."""
    view = {}
    for name in IDS:
        listed_records = [source.listed[name] for source in (first, second) if name in source.listed]
        if not listed_records or None in listed_records:
            continue
        entries = [record for record in listed_records if record is not None]
        is_draining = any(one.endpoint.phase is DRAINING for one in entries)
        started_at_ms = max(one.endpoint.started_at_ms for one in entries)
        view[name] = (DRAINING if is_draining else UP, entries[0].address[1], started_at_ms)
    return view


class PastRecords:
    """What was ever listed: one that has ended may have replaced an endpoint that is still listed."""

    def __init__(self) -> None:
        self.ids_by_port: dict[int, set[str]] = {}
        self.started_at_ms: dict[str, float] = {}

    def add(self, records: list[EndpointRecord]) -> None:
        """Note a list."""
        for record in records:
            endpoint = record.endpoint
            self.ids_by_port.setdefault(record.address[1], set()).add(endpoint.id)
            latest_ms = max(endpoint.started_at_ms, self.started_at_ms.get(endpoint.id, 0.0))
            self.started_at_ms[endpoint.id] = latest_ms

    def latest_start_ms(self, port: int) -> float:
        """The latest start of an endpoint that may have been at a port."""
        return max(self.started_at_ms[endpoint_id] for endpoint_id in self.ids_by_port[port])


View = dict[str, tuple[Phase, int, float]]


def check_shared_port(port: int, expected: View, actual: View, past: PastRecords) -> None:
    """One endpoint that is up is used at a port, and removed from `actual`; none that was replaced there."""
    used = [actual.pop(name) for name in list(actual) if actual[name][1] == port]
    draining = [start for phase, at, start in expected.values() if phase is DRAINING and at == port]
    up = [start for phase, at, start in expected.values() if phase is UP and at == port]
    not_replaced = [start for start in up if start >= max(draining, default=0.0)]
    assert used in ([], [(UP, port, max(not_replaced, default=0.0))])
    if max(up) >= past.latest_start_ms(port):
        assert len(used) == 1  # nothing that ended can have replaced it
    elif not not_replaced:
        assert not used


CASES = (STEPS, st.sampled_from([1, 2, 1000]), st.sampled_from([0, 2, 1000]))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(*CASES)
def test_view_equals_that_of_a_naive_model(steps: list[Any], size: int, large: int) -> None:
    before = (
        snapshot_slices.SNAPSHOT_SLICE_ENTRIES,
        snapshot_slices.CHANGE_SLICE_ENTRIES,
        snapshot_slices.LARGE_SNAPSHOT_ENTRIES,
    )
    (
        snapshot_slices.SNAPSHOT_SLICE_ENTRIES,
        snapshot_slices.CHANGE_SLICE_ENTRIES,
        snapshot_slices.LARGE_SNAPSHOT_ENTRIES,
    ) = (
        size,
        min(size, snapshot_slices.CHANGE_SLICE_ENTRIES),
        large,
    )
    try:
        harness, naive = (
            MergerHarness(Source("platform"), Source("etcd")),
            {"platform": NaiveSource(), "etcd": NaiveSource()},
        )
        past = PastRecords()
        for source, what, ahead, members, removed in steps:
            model = naive[source]
            past.add(members)
            revision = model.revision + ahead
            removed = [name for name in removed if name not in {one.endpoint.id for one in members}]
            match what:
                case "whole":
                    model.whole(revision, members)
                    harness.handle(
                        endpoint_merger.EndpointsListed(
                            source, str(model.identity), make_snapshot(revision, *members)
                        )
                    )
                case "changes":
                    model.changes(revision, members, removed)
                    listing = make_incremental(revision, *members, removed_ids=tuple(removed))
                    harness.handle(endpoint_merger.EndpointsListed(source, str(model.identity), listing))
                case "needs_snapshot":
                    model.needs_snapshot = True
                    harness.handle(endpoint_merger.UpdateUnreadable(source, "odd"))
                case "new order":
                    model.identity += 1
                    model.known = model.needs_snapshot = False
                    harness.handle(endpoint_merger.SourceIdentityChanged(source, str(model.identity)))
                    model.whole(revision, members)
                    harness.handle(
                        endpoint_merger.EndpointsListed(
                            source, str(model.identity), make_snapshot(revision, *members)
                        )
                    )
                case "silent":
                    harness.handle(endpoint_merger.SourceLost(source, "away"))
                case _:
                    harness.run_slices()
            for model in naive.values():  # immediately, even while a list is pending
                for name, record in model.listed.items():
                    held = harness.announced.get(name)
                    if held is not None:
                        assert record is not None, "it was removed"
                        assert held.endpoint.phase is not UP or record.endpoint.phase is UP, "it drains"
        harness.run_slices()
        expected = expected_view(naive["platform"], naive["etcd"])
        actual = {
            n: (o.endpoint.phase, o.address[1], o.endpoint.started_at_ms)
            for n, o in harness.announced.items()
        }
        assert harness.announced == harness.merger.view
        for name, fields in expected.items():
            if fields[0] is DRAINING:
                assert actual.pop(name) == fields
        for port in {port for phase, port, _ in expected.values() if phase is UP}:
            check_shared_port(port, expected, actual, past)
        assert not actual
        assert not harness.merger._slices.unannounced
    finally:
        (
            snapshot_slices.SNAPSHOT_SLICE_ENTRIES,
            snapshot_slices.CHANGE_SLICE_ENTRIES,
            snapshot_slices.LARGE_SNAPSHOT_ENTRIES,
        ) = before
