"""The merge of sources: who wins on what, what is never applied, what a table and a naive model say."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.discovery import endpoint_merger as m
from balancer.core.discovery import merge_log, merged_view, snapshot_slices, source_state
from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.merge_report import build_report as report_of
from balancer.core.discovery.source_state import Source, SourceRole, SourceState
from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry
from balancer.interface import Endpoint, EndpointUpdateKind, Phase

UP, DRAINING, GONE = Phase.UP, Phase.DRAINING, Phase.REMOVED


def make_record(name: str, phase: Phase = UP, port: int = 0, **overrides: Any) -> EndpointRecord:
    """An entry; its port follows from its name."""
    fields: dict[str, Any] = {
        "id": name,
        "zone": "a",
        "cell": 0,
        "weight": 1.0,
        "phase": phase,
        "started_at_ms": 0.0,
    }
    return EndpointRecord(Endpoint(**(fields | overrides)), ("127.0.0.1", port or 1000 + sum(map(ord, name))))


def make_snapshot(revision: int, *records: EndpointRecord, **overrides: Any) -> EndpointList:
    """A whole list."""
    return EndpointList(revision, True, records, **overrides)


def make_incremental(
    revision: int, *records: EndpointRecord, removed_ids: tuple[str, ...] = (), **overrides: Any
) -> EndpointList:
    """Changes."""
    return EndpointList(revision, False, records, removed_ids, **overrides)


class MergerHarness:
    """A membership, and the view as whoever is told of it has it."""

    def __init__(self, *sources: Source) -> None:
        self.merger = EndpointMerger(
            sources or (Source("platform"), Source("etcd", has_partial_revisions=True))
        )
        self.now_ms = 0.0
        self.announced: dict[str, EndpointRecord] = {}
        self.kinds: list[EndpointUpdateKind] = []
        self.log_lines: list[merge_log.WriteLog] = []
        self.slice_scheduled = False
        self.revision = 0

    def handle(self, event: m.Event) -> None:
        """One event, and what it brings."""
        self.now_ms += 1.0
        for action in self.merger.handle(self.now_ms, event):
            match action:
                case m.ApplyEndpoints():
                    self.kinds.append(action.kind)
                    assert action.revision >= self.revision
                    self.revision = action.revision
                    for gone in action.removed_records:
                        assert gone.endpoint.phase is GONE
                        self.announced.pop(gone.endpoint.id, None)
                    for one in action.records:
                        self.announced[one.endpoint.id] = one
                case m.ScheduleNextSlice():
                    self.slice_scheduled = True
                case merge_log.WriteLog():
                    self.log_lines.append(action)

    def run_slices(self) -> None:
        """The loop's next turns, until nothing waits."""
        while self.slice_scheduled:
            self.slice_scheduled = False
            self.handle(m.NextSliceDue())

    def list_endpoints(self, source: str, listing: EndpointList, identity: str = "one", **over: Any) -> None:
        """A source lists, and the loop turns."""
        self.handle(m.EndpointsListed(source, identity, listing, **over))
        self.run_slices()

    def state(self, name: str) -> SourceState:
        """How far a source is believed."""
        return self.merger.sources[name].state

    @property
    def view(self) -> dict[str, str]:
        """Who is told to be what."""
        assert self.announced == self.merger.view
        return {name: one.endpoint.phase.value for name, one in self.announced.items()}


# --- order


def test_an_older_whole_list_does_not_replace_a_newer_one() -> None:
    """The fault that was measured: after revision 60 {B} a whole revision 50 {A} took all traffic to A."""
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(60, make_record("b")))
    rig.list_endpoints("platform", make_snapshot(50, make_record("a")))
    assert rig.view == {"b": "up"} and rig.merger.sources["platform"].stale_list_count == 1
    rig.list_endpoints("platform", make_incremental(55, make_record("a")))
    assert rig.view == {"b": "up"}
    rig.list_endpoints("platform", make_incremental(61, make_record("c")))
    assert rig.view == {"b": "up", "c": "up"}


@pytest.mark.parametrize("revision", [59, 60])
def test_changes_that_are_not_newer_are_not_applied(revision: int) -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(60, make_record("b")))
    rig.list_endpoints("platform", make_incremental(revision, removed_ids=("b",)))
    assert rig.view == {"b": "up"}
    assert rig.merger.sources["platform"].stale_list_count == 1


def test_pieces_of_one_revision_are_applied_where_a_source_sends_them() -> None:
    rig = MergerHarness(Source("etcd", has_partial_revisions=True))
    rig.list_endpoints("etcd", make_snapshot(5, make_record("a"), make_record("b")))
    rig.list_endpoints("etcd", make_incremental(6, removed_ids=("a",)))
    rig.list_endpoints("etcd", make_incremental(6, removed_ids=("b",)))
    assert rig.view == {}


def test_changes_without_a_whole_list_are_not_applied() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_incremental(3, make_record("a")))
    assert rig.view == {} and rig.merger.sources["platform"].stale_list_count == 1
    assert rig.merger.watch_revision("platform") is None


def test_an_equal_whole_list_is_taken_only_after_something_could_not_be_read() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(5, make_record("a")))
    rig.list_endpoints("platform", make_snapshot(5, make_record("b")))
    assert rig.view == {"a": "up"} and rig.merger.watch_revision("platform") == 5
    rig.handle(m.UpdateUnreadable("platform", "no JSON"))
    assert rig.merger.watch_revision("platform") is None
    rig.list_endpoints("platform", make_incremental(6, make_record("c")))
    assert rig.view == {"a": "up"}
    rig.list_endpoints("platform", make_snapshot(5, make_record("b")))
    assert rig.view == {"b": "up"} and rig.merger.watch_revision("platform") == 5


def test_an_equal_whole_list_is_taken_where_revisions_come_in_pieces() -> None:
    """It is asked for where something may have been lost, or a backup has just this revision."""
    rig = MergerHarness(Source("etcd", has_partial_revisions=True))
    rig.list_endpoints("etcd", make_snapshot(5, make_record("a"), make_record("b")))
    rig.list_endpoints("etcd", make_snapshot(5, make_record("b", DRAINING), make_record("c")))
    assert rig.view == {"b": "draining", "c": "up"} and rig.merger.watch_revision("etcd") == 5
    rig.list_endpoints("etcd", make_snapshot(4, make_record("a")))
    assert rig.view == {"b": "draining", "c": "up"} and rig.merger.sources["etcd"].stale_list_count == 1


def test_a_move_begins_a_new_order_by_a_whole_list_only() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(60, make_record("a")), "10.0.0.1:1")
    rig.handle(m.SourceIdentityChanged("platform", "10.0.0.2:1"))
    assert rig.view == {"a": "up"} and rig.merger.watch_revision("platform") is None
    rig.list_endpoints("platform", make_incremental(61, make_record("c")), "10.0.0.2:1")
    assert rig.view == {"a": "up"}
    rig.list_endpoints("platform", make_snapshot(3, make_record("b")), "10.0.0.2:1")
    assert rig.view == {"b": "up"} and rig.merger.watch_revision("platform") == 3
    rig.handle(m.SourceIdentityChanged("platform", "10.0.0.2:1"))  # no move at all
    assert rig.merger.watch_revision("platform") == 3


def test_a_new_cluster_begins_a_new_order_and_is_said_loudly() -> None:
    rig = MergerHarness(Source("etcd"))
    rig.list_endpoints("etcd", make_snapshot(900, make_record("a"), make_record("b")), "7/0")
    rig.list_endpoints("etcd", make_incremental(901, removed_ids=("a",)), "8/0")
    assert rig.view == {"a": "up", "b": "up"}
    rig.list_endpoints("etcd", make_snapshot(2, make_record("b")), "8/0")
    assert rig.view == {"b": "up"}
    assert any(line.is_warning and "8/0" in line.text for line in rig.log_lines)


def test_what_was_saved_counts_as_seen() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(41, make_record("a")), is_cached=True)
    assert rig.kinds == [EndpointUpdateKind.CACHED] and rig.view == {"a": "up"}
    assert rig.state("platform") is SourceState.NO_CONTACT_YET
    assert rig.merger.watch_revision("platform") == 41
    rig.list_endpoints("platform", make_snapshot(40, make_record("b")))
    assert rig.view == {"a": "up"} and rig.state("platform") is SourceState.REJECTED
    rig.list_endpoints("platform", make_snapshot(42, make_record("b")))
    assert rig.view == {"b": "up"} and rig.state("platform") is SourceState.IN_SYNC


def test_what_a_source_says_of_hundreds_is_not_taken_for_memory() -> None:
    """Changes that go in slices, the first of them too, behind a list that was remembered."""
    rig = MergerHarness()
    kept = make_snapshot(1, *(make_record(f"s{n}", port=n + 1) for n in range(600)))
    rig.handle(m.EndpointsListed("platform", "p", kept, is_cached=True))
    assert all(one.endpoint.cached_age_ms is not None for one in rig.announced.values())
    news = make_incremental(2, *(make_record(f"s{n}", port=n + 1, weight=2.0) for n in range(600)))
    rig.handle(m.EndpointsListed("platform", "p", news))
    told = [one for one in rig.announced.values() if one.endpoint.weight == 2.0]
    assert len(told) == snapshot_slices.SNAPSHOT_SLICE_ENTRIES and all(
        one.endpoint.cached_age_ms is None for one in told
    )


def test_a_saved_list_with_an_entry_that_cannot_be_read_asks_for_the_whole_one() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints(
        "platform",
        make_snapshot(41, make_record("a"), invalid_entries=(InvalidEntry("b", "no port"),)),
        is_cached=True,
    )
    assert rig.view == {"a": "up"} and rig.merger.watch_revision("platform") is None
    rig.list_endpoints("platform", make_snapshot(41, make_record("a"), make_record("b")))
    assert rig.view == {"a": "up", "b": "up"}


def test_a_source_that_is_silent_or_refused_takes_nothing_back() -> None:
    rig = MergerHarness()
    rig.list_endpoints("etcd", make_snapshot(5, make_record("a")))
    for event in (
        m.SourceLost("etcd", "frozen"),
        m.SourceRejected("etcd", "went back"),
        m.SourceLost("etcd", "frozen"),
    ):
        rig.handle(event)
        rig.handle(event)  # said once
        assert rig.view == {"a": "up"}
    assert len(rig.log_lines) == 3
    rig.handle(m.SourceConfirmedCurrent("etcd"))
    assert rig.state("etcd") is SourceState.IN_SYNC


# --- several sources

SAYS = ("nothing", "up", "draining", "removed")
# What holds where the first source and the second say so, by the role of the second (the first may do all).
TABLE = {
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
@pytest.mark.parametrize(("first", "second"), list(itertools.product(SAYS, SAYS)))
@pytest.mark.parametrize("order", [("platform", "etcd"), ("etcd", "platform")])
def test_every_pair_of_words(role: SourceRole, first: str, second: str, order: tuple[str, str]) -> None:
    """Whichever of the two speaks last."""
    rig = MergerHarness(Source("platform"), Source("etcd", role))
    said = {"platform": first, "etcd": second}
    for name in order:
        rig.list_endpoints(name, make_snapshot(1, *([] if said[name] == "nothing" else [make_record("x")])))
    for name in order:
        if said[name] == "removed":
            rig.list_endpoints(name, make_incremental(2, removed_ids=("x",)))
        elif said[name] == "draining":
            rig.list_endpoints(name, make_incremental(2, make_record("x", DRAINING)))
    assert rig.view.get("x") == TABLE[role][first, second]


def test_what_one_source_removed_stays_so_until_it_lists_it_anew() -> None:
    rig = MergerHarness()
    rig.list_endpoints("platform", make_snapshot(1, make_record("x"), make_record("y")))
    rig.list_endpoints("etcd", make_snapshot(1, make_record("x")))
    rig.list_endpoints("etcd", make_snapshot(2))
    assert rig.view == {"y": "up"}
    rig.list_endpoints(
        "platform", make_incremental(2, make_record("x"))
    )  # whatever another source still says
    rig.list_endpoints("platform", make_snapshot(3, make_record("x"), make_record("y")))
    assert rig.view == {"y": "up"}
    rig.list_endpoints("etcd", make_incremental(3, make_record("x")))
    assert rig.view == {"x": "up", "y": "up"}


def test_a_removal_is_obeyed_of_a_backend_that_only_others_listed() -> None:
    rig = MergerHarness()
    rig.list_endpoints("platform", make_snapshot(1, make_record("x")))
    rig.list_endpoints("etcd", make_snapshot(1))
    rig.list_endpoints("etcd", make_incremental(2, removed_ids=("x",)))
    assert rig.view == {}


def test_address_weight_and_place_are_the_first_ones_and_the_latest_start_counts() -> None:
    rig = MergerHarness()
    one = make_record("x", port=1, weight=0.4, zone="a", kind="m2", started_at_ms=50.0)
    two = make_record("x", port=2, weight=3.0, zone="b", kind="m9", started_at_ms=90.0)
    rig.list_endpoints("etcd", make_snapshot(1, two))
    assert rig.announced["x"] == two
    rig.list_endpoints("platform", make_snapshot(1, one))
    assert rig.announced["x"] == EndpointRecord(replace(one.endpoint, started_at_ms=90.0), one.address)
    rig.list_endpoints("platform", make_snapshot(2))
    assert rig.view == {}
    rig.list_endpoints("platform", make_incremental(3, one))
    rig.list_endpoints("etcd", make_snapshot(2, make_record("x", port=2, started_at_ms=10.0)))
    assert rig.announced["x"] == one


def test_of_two_ids_at_one_address_the_later_start_is_used() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints(
        "platform",
        make_snapshot(1, make_record("new", port=7, started_at_ms=9.0), make_record("old", port=7)),
    )
    assert rig.view == {"new": "up"} and "left out" in rig.log_lines[-1].text
    rig.list_endpoints(
        "platform", make_incremental(2, make_record("new", DRAINING, port=7, started_at_ms=9.0))
    )
    assert rig.view == {"new": "draining", "old": "up"}
    rig.list_endpoints("platform", make_incremental(3, make_record("new", port=7, started_at_ms=9.0)))
    rig.list_endpoints("platform", make_incremental(4, removed_ids=("new",)))
    assert rig.view == {"old": "up"}
    rig.list_endpoints("platform", make_incremental(5, make_record("last", port=7)))
    assert rig.view == {"last": "up"}
    rig.list_endpoints("platform", make_incremental(6, make_record("last", port=8)))
    assert rig.view == {"last": "up", "old": "up"}
    assert not rig.merger.merged_view.shadowed_ids


def test_a_source_that_operators_take_out_has_never_said_a_word() -> None:
    rig = MergerHarness()
    rig.list_endpoints("platform", make_snapshot(4, make_record("a"), make_record("b"), make_record("c")))
    rig.list_endpoints(
        "etcd", make_snapshot(9, make_record("a", DRAINING), make_record("b"), make_record("d"))
    )
    rig.list_endpoints("etcd", make_incremental(10, removed_ids=("b",)))
    assert rig.view == {"a": "draining", "c": "up", "d": "up"}
    rig.handle(m.SourcesConfigured((Source("platform"), Source("etcd", SourceRole.ADD))))
    assert rig.view == {"a": "up", "b": "up", "c": "up", "d": "up"}
    assert rig.merger.watch_revision("etcd") == 10
    rig.handle(m.SourcesConfigured((Source("platform"),)))
    assert rig.view == {"a": "up", "b": "up", "c": "up"}
    rig.handle(m.SourcesConfigured((Source("platform"), Source("etcd"))))
    assert rig.merger.watch_revision("etcd") is None and rig.merger.watch_revision("platform") == 4


def test_events_of_a_source_that_is_gone_say_nothing() -> None:
    """Guards against a call that was on its way as the operators took its source out."""
    rig = MergerHarness(Source("platform"))
    listed = m.EndpointsListed("etcd", "7/0", make_snapshot(1, make_record("a")))
    for event in (m.SourceConfirmedCurrent("etcd"), m.SourceLost("etcd", "away"), listed):
        rig.handle(event)
    assert rig.view == {} and not rig.log_lines


# --- what cannot be read


def test_an_entry_that_cannot_be_read_costs_nothing_but_itself() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints(
        "platform",
        make_snapshot(
            1, make_record("a"), make_record("b"), invalid_entries=(InvalidEntry("c", "phase is 'odd'"),)
        ),
    )
    assert rig.view == {"a": "up", "b": "up"}
    rig.list_endpoints(
        "platform", make_snapshot(2, make_record("b"), invalid_entries=(InvalidEntry("a", "no port"),))
    )
    assert rig.view == {"a": "up", "b": "up"}  # the last good entry stays
    report = report_of(rig.merger)
    assert report["sources"][0]["unreadable"] == 2
    assert report["faults"] == [{"source": "platform", "key": "a", "reason": "no port"}]
    assert [line.text for line in rig.log_lines] == [
        "platform: entry 'c' left out: phase is 'odd'",
        "platform: entry 'a' left out: no port",
    ]
    rig.list_endpoints("platform", make_incremental(3, make_record("a", weight=2.0)))
    assert rig.announced["a"].endpoint.weight == 2.0 and not report_of(rig.merger)["faults"]
    rig.list_endpoints("platform", make_snapshot(4, make_record("b")))
    assert rig.view == {"b": "up"}


@pytest.mark.parametrize(("phases", "found"), [((DRAINING, UP), "up"), ((UP, DRAINING), "draining")])
def test_of_one_named_twice_the_later_entry_holds(phases: tuple[Phase, Phase], found: str) -> None:
    rig = MergerHarness(Source("platform"))
    rig.handle(
        m.EndpointsListed("platform", "one", make_snapshot(1, *(make_record("a", phase) for phase in phases)))
    )
    assert rig.view == {"a": found} and len(rig.kinds) == 1 + (found == "draining")


def test_an_unreadable_entry_that_drains_is_obeyed() -> None:
    rig = MergerHarness()
    rig.list_endpoints("platform", make_snapshot(1, make_record("a"), make_record("b")))
    rig.list_endpoints("etcd", make_snapshot(1, make_record("a")))
    rig.list_endpoints(
        "platform", make_incremental(2, invalid_entries=(InvalidEntry("a", "no port", is_draining=True),))
    )
    assert rig.view == {"a": "draining", "b": "up"}
    rig.list_endpoints(
        "etcd", make_incremental(2, invalid_entries=(InvalidEntry("b", "no port", is_draining=True),))
    )  # it never listed b
    assert rig.view == {"a": "draining"}


def test_a_removal_of_most_is_said_loudly_and_obeyed() -> None:
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(1, *(make_record(f"s{i}") for i in range(6))))
    rig.list_endpoints("platform", make_incremental(2, removed_ids=tuple(f"s{i}" for i in range(6))))
    assert rig.view == {}
    assert any(line.is_warning and "6 of 6" in line.text for line in rig.log_lines)


# --- bounds and size


def test_what_is_remembered_of_the_removed_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source_state, "MAX_REMOVED_IDS_PER_SOURCE", 3)
    rig = MergerHarness()
    rig.list_endpoints("platform", make_snapshot(1, *(make_record(f"s{i}") for i in range(5))))
    rig.list_endpoints("etcd", make_snapshot(1, *(make_record(f"s{i}") for i in range(5))))
    rig.list_endpoints("etcd", make_snapshot(2))
    assert rig.view == {}  # none of those that another source still lists is forgotten
    rig.list_endpoints("platform", make_snapshot(2))
    rig.list_endpoints("etcd", make_incremental(3, removed_ids=("s5", "s6")))
    assert list(rig.merger.sources["etcd"].removed_ids) == ["s4", "s5", "s6"]
    alone = MergerHarness(Source("platform"))
    alone.list_endpoints("platform", make_snapshot(1, make_record("a")))
    alone.list_endpoints("platform", make_snapshot(2))
    assert not alone.merger.sources["platform"].removed_ids  # nobody else could list it


def test_faults_shown_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source_state, "MAX_INVALID_ENTRIES_PER_SOURCE", 2)
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints(
        "platform", make_snapshot(1, invalid_entries=tuple(InvalidEntry(f"f{i}", "odd") for i in range(9)))
    )
    assert len(rig.merger.sources["platform"].invalid_entries) == 2
    assert rig.merger.sources["platform"].invalid_entry_count == 9


def test_a_large_list_comes_in_slices_removals_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(95))))
    assert len(rig.view) == 95
    rest = [make_record(f"s{i}", DRAINING if i == 94 else UP, port=i + 1, weight=2.0) for i in range(5, 95)]
    rig.handle(m.EndpointsListed("platform", "one", make_snapshot(2, *rest)))
    assert (
        len(rig.announced) == 90 and rig.announced["s94"].endpoint.phase is DRAINING
    )  # before anything else
    assert rig.slice_scheduled and rig.announced["s50"].endpoint.weight == 1.0
    seen = [one.endpoint.weight for one in rig.announced.values()].count(2.0)
    assert seen == 11  # the first slice, and who drains
    rig.handle(
        m.EndpointsListed(
            "platform",
            "one",
            make_incremental(3, make_record("s60", port=61, weight=5.0), removed_ids=("s61",)),
        )
    )
    assert rig.announced["s60"].endpoint.weight == 5.0
    rig.slice_scheduled = False
    rig.handle(m.NextSliceDue())
    weights = [one.endpoint.weight for one in rig.announced.values()]
    assert weights.count(2.0) == seen + 10  # each slice at once
    rig.run_slices()
    assert rig.announced["s60"].endpoint.weight == 5.0 and "s61" not in rig.announced  # the newer word holds
    assert rig.announced["s50"].endpoint.weight == 2.0 and len(rig.view) == 89


def test_many_changes_at_once_come_in_slices_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a fleet's live weights that hold the loop in one piece; drains do not wait for them."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(50))))
    rest = [make_record(f"s{i}", DRAINING if i == 40 else UP, port=i + 1, weight=2.0) for i in range(2, 50)]
    rig.handle(m.EndpointsListed("platform", "one", make_incremental(2, *rest, removed_ids=("s0", "s1"))))
    assert "s0" not in rig.announced and rig.announced["s40"].endpoint.phase is DRAINING
    assert [one.endpoint.weight for one in rig.announced.values()].count(2.0) == 11
    rig.handle(
        m.EndpointsListed("platform", "one", make_incremental(3, make_record("s49", port=50, weight=3.0)))
    )
    rig.run_slices()
    weights = [one.endpoint.weight for one in rig.announced.values()]
    assert weights.count(2.0) == 47 and rig.announced["s49"].endpoint.weight == 3.0


def test_a_first_list_comes_in_one_piece(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against subsets that are laid out over its first slice alone."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    rig = MergerHarness(Source("platform"))
    rig.handle(
        m.EndpointsListed(
            "platform", "one", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(95)))
        )
    )
    assert rig.slice_scheduled and not rig.announced
    rig.run_slices()
    assert len(rig.announced) == 95 and len(rig.kinds) == 1


def test_a_move_in_the_middle_of_a_large_list_loses_nothing_that_was_said(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 10)
    rig = MergerHarness(Source("platform"))
    rig.handle(
        m.EndpointsListed(
            "platform", "one", make_snapshot(1, *(make_record(f"s{i}", port=i + 1) for i in range(50)))
        )
    )
    rig.handle(m.SourceIdentityChanged("platform", "two"))
    rig.run_slices()
    assert rig.merger.watch_revision("platform") is None
    assert rig.view == {f"s{i}": "up" for i in range(50)}


def test_the_report_shows_who_says_what() -> None:
    rig = MergerHarness()
    rig.list_endpoints(
        "platform", make_snapshot(4, make_record("a", port=7), make_record("b", port=7, started_at_ms=3.0))
    )
    rig.list_endpoints("etcd", make_snapshot(9, make_record("a", DRAINING, port=7), make_record("c")), "77/0")
    rig.list_endpoints("etcd", make_incremental(10, removed_ids=("c",)), "77/0")
    report = report_of(rig.merger)
    rows = {row["id"]: (row["phase"], row["sources"]) for row in report["members"]}
    assert rows["a"] == ("draining", {"platform": "up", "etcd": "draining"})
    assert rows["b"] == ("up", {"platform": "up"})
    assert [s["revision"] for s in report["sources"]] == [4, 10]
    assert "c" not in rows  # nobody lists it


def test_a_backend_of_a_large_list_that_a_newer_one_leaves_out_counts_as_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a removal that is forgotten as the list it follows had not been looked through."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 1)
    rig = MergerHarness()
    rig.handle(m.EndpointsListed("platform", "one", make_snapshot(1, make_record("a"), make_record("b"))))
    rig.list_endpoints("platform", make_snapshot(2, make_record("a")))
    rig.list_endpoints("etcd", make_snapshot(1, make_record("b")))
    assert rig.view == {"a": "up"}


def test_one_address_in_a_large_list_that_is_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against telling an older state after a newer one, of a backend that another pushed out."""
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 1)
    rig = MergerHarness(Source("platform"))
    both = make_record("b", port=1), make_record("a", port=1)
    rig.handle(m.EndpointsListed("platform", "one", make_snapshot(1, *both)))
    rig.list_endpoints("platform", make_incremental(2, *reversed(both)))
    assert len(rig.view) == 1


@pytest.fixture
def tiny(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lists of over four servers are large, and two are looked at in one turn."""
    monkeypatch.setattr(snapshot_slices, "LARGE_SNAPSHOT_ENTRIES", 4)
    monkeypatch.setattr(snapshot_slices, "CHANGE_SLICE_ENTRIES", 2)


@pytest.mark.usefixtures("tiny")
@pytest.mark.parametrize("saved", [False, True])
def test_of_a_large_first_list_nobody_is_up_before_all_of_it_was_seen(saved: bool) -> None:
    """Guards against a module that lays its part of the fleet out over what came in between."""
    rig = MergerHarness(Source("platform"))
    names = [make_record(f"s{i}", DRAINING if i == 3 else UP, port=i + 1) for i in range(9)]
    rig.handle(
        m.EndpointsListed("platform", "one", make_snapshot(1, *names), is_cached=saved, cached_age_ms=7.0)
    )
    assert rig.slice_scheduled and [*rig.announced] == ["s3"], "who drains goes first"
    assert (rig.kinds[0] is EndpointUpdateKind.CACHED) == saved
    rig.handle(m.NextSliceDue())
    rig.handle(
        m.EndpointsListed(
            "platform",
            "one",
            make_incremental(2, make_record("s0", port=1, weight=5.0), removed_ids=("s1", "s8")),
        )
    )
    assert [*rig.announced] == ["s3"]
    before = len(rig.kinds)
    rig.run_slices()
    assert len(rig.kinds) == before + 1, "in one piece"
    assert rig.announced.keys() == {f"s{i}" for i in range(9)} - {"s1", "s8"}
    assert rig.announced["s0"].endpoint.weight == 5.0 and {
        one.endpoint.cached_age_ms for one in rig.announced.values()
    } == {None}


@pytest.mark.usefixtures("tiny")
@pytest.mark.parametrize("seen", range(6))
def test_a_newer_list_in_the_middle_of_a_large_one_wins(seen: int) -> None:
    rig = MergerHarness(Source("platform"))
    for revision, size, weight in ((1, 9, 1.0), (2, 9, 2.0), (3, 6, 3.0)):
        rows = [make_record(f"s{i}", port=i + 1, weight=weight) for i in range(size)]
        rig.handle(m.EndpointsListed("platform", "one", make_snapshot(revision, *rows)))
        for _ in range(seen):
            rig.handle(m.NextSliceDue())
    assert rig.announced.keys() <= {f"s{i}" for i in range(6)}, "who is not in it is gone at once"
    rig.run_slices()
    assert {name: one.endpoint.weight for name, one in rig.announced.items()} == {
        f"s{i}": 3.0 for i in range(6)
    }


@pytest.mark.usefixtures("tiny")
@pytest.mark.parametrize("seen", range(6))
def test_a_large_list_that_was_kept_ends_as_a_small_one_does(
    seen: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    views = []
    for large in (4, 1000):
        monkeypatch.setattr(snapshot_slices, "LARGE_SNAPSHOT_ENTRIES", large)
        for news in (
            None,
            m.SourceConfirmedCurrent("platform"),
            m.SourceIdentityChanged("platform", "two"),
            m.SourceLost("platform", "away"),
        ):
            rig = MergerHarness(Source("platform"))
            rows = [make_record(f"s{i}", DRAINING if i == 3 else UP, port=i + 1) for i in range(9)]
            rig.handle(
                m.EndpointsListed(
                    "platform", "one", make_snapshot(7, *rows), is_cached=True, cached_age_ms=5.0
                )
            )
            for _ in range(seen):
                rig.handle(m.NextSliceDue())
            if news is not None:
                rig.handle(news)
            rig.run_slices()
            assert rig.view
            views.append(
                {
                    name: (one.endpoint.phase, one.endpoint.cached_age_ms)
                    for name, one in rig.announced.items()
                }
            )
    assert views[:4] == views[4:] and views[0]["s3"] == (DRAINING, 5.0) and views[1]["s0"] == (UP, None)


# --- a naive model

NAMES = ["a", "b", "c", "d"]
PHASES = st.sampled_from([UP, UP, DRAINING])
MEMBERS = st.dictionaries(
    st.sampled_from(NAMES), st.tuples(PHASES, st.integers(1, 3), st.integers(0, 2)), max_size=4
).map(lambda table: [make_record(n, p, port, started_at_ms=float(at)) for n, (p, port, at) in table.items()])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["platform", "etcd"]),
        st.sampled_from(["whole", "changes", "spoiled", "new order", "silent", "turn"]),
        st.integers(-1, 2),
        MEMBERS,
        st.lists(st.sampled_from(NAMES), max_size=2),
    ),
    max_size=25,
)


class Naive:
    """What one source has said, kept in the most obvious way."""

    def __init__(self) -> None:
        self.identity = self.revision = 0
        self.known = self.spoiled = False
        self.says: dict[str, EndpointRecord | None] = {}  # None: removed

    def whole(self, revision: int, members: list[EndpointRecord]) -> None:
        """A whole list."""
        if not self.known or revision > self.revision or (revision == self.revision and self.spoiled):
            named = {one.endpoint.id: one for one in members}
            self.says |= dict.fromkeys(name for name, last in self.says.items() if last is not None)
            self.says |= named
            self.known, self.revision, self.spoiled = True, revision, False

    def changes(self, revision: int, members: list[EndpointRecord], removed: list[str]) -> None:
        """Changes; removals come first."""
        if self.known and not self.spoiled and revision > self.revision:
            self.says |= dict.fromkeys(removed)
            self.says |= {one.endpoint.id: one for one in members}
            self.revision = revision


def expected(first: Naive, second: Naive) -> dict[str, tuple[Phase, int, float]]:
    """The view, from the words of the page alone; two at one address are left out of the comparison."""
    out = {}
    for name in NAMES:
        words = [source.says[name] for source in (first, second) if name in source.says]
        if not words or None in words:
            continue
        entries = [word for word in words if word is not None]
        drains = any(one.endpoint.phase is DRAINING for one in entries)
        start = max(one.endpoint.started_at_ms for one in entries)
        out[name] = (DRAINING if drains else UP, entries[0].address[1], start)
    return out


CASES = (STEPS, st.sampled_from([1, 2, 1000]), st.sampled_from([0, 2, 1000]))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(*CASES)
def test_the_view_is_what_a_naive_model_says(steps: list[Any], size: int, large: int) -> None:
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
        rig, naive = MergerHarness(Source("platform"), Source("etcd")), {"platform": Naive(), "etcd": Naive()}
        for source, what, ahead, members, removed in steps:
            model = naive[source]
            revision = model.revision + ahead
            removed = [name for name in removed if name not in {one.endpoint.id for one in members}]
            match what:
                case "whole":
                    model.whole(revision, members)
                    rig.handle(
                        m.EndpointsListed(source, str(model.identity), make_snapshot(revision, *members))
                    )
                case "changes":
                    model.changes(revision, members, removed)
                    listing = make_incremental(revision, *members, removed_ids=tuple(removed))
                    rig.handle(m.EndpointsListed(source, str(model.identity), listing))
                case "spoiled":
                    model.spoiled = True
                    rig.handle(m.UpdateUnreadable(source, "odd"))
                case "new order":
                    model.identity += 1
                    model.known = model.spoiled = False
                    rig.handle(m.SourceIdentityChanged(source, str(model.identity)))
                    model.whole(revision, members)
                    rig.handle(
                        m.EndpointsListed(source, str(model.identity), make_snapshot(revision, *members))
                    )
                case "silent":
                    rig.handle(m.SourceLost(source, "away"))
                case _:
                    rig.run_slices()
            for model in naive.values():  # at once, however long a list is that waits
                for name, word in model.says.items():
                    held = rig.announced.get(name)
                    if held is not None:
                        assert word is not None, "it was removed"
                        assert held.endpoint.phase is not UP or word.endpoint.phase is UP, "it drains"
        rig.run_slices()
        want = expected(naive["platform"], naive["etcd"])
        got = {
            n: (o.endpoint.phase, o.address[1], o.endpoint.started_at_ms) for n, o in rig.announced.items()
        }
        assert rig.announced == rig.merger.view
        ports = [port for phase, port, _ in want.values() if phase is UP]
        for name, (phase, port, _) in want.items():
            if phase is DRAINING or ports.count(port) == 1:
                assert got.pop(name) == want[name]
        used = [port for phase, port, _ in got.values()]
        assert len(used) == len(set(used)) == len({p for p in ports if ports.count(p) > 1})
        assert not rig.merger._slices.unannounced
    finally:
        (
            snapshot_slices.SNAPSHOT_SLICE_ENTRIES,
            snapshot_slices.CHANGE_SLICE_ENTRIES,
            snapshot_slices.LARGE_SNAPSHOT_ENTRIES,
        ) = before


def test_a_second_source_of_one_name_is_refused() -> None:
    with pytest.raises(ValueError, match="two sources"):
        EndpointMerger([Source("etcd"), Source("etcd")])


def test_many_ids_at_one_address_cost_no_more_than_many_addresses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the loop against a list whose endpoints all have one address: each was weighed against each."""
    merged_ids: list[str] = []
    merge_records = merged_view.merge_records

    def counted(sources: Mapping[str, Source], endpoint_id: str) -> EndpointRecord | None:
        merged_ids.append(endpoint_id)
        return merge_records(sources, endpoint_id)

    monkeypatch.setattr(merged_view, "merge_records", counted)
    rig, count = MergerHarness(Source("platform")), 2000
    names = [f"s{i:04}" for i in range(count)]
    rig.list_endpoints("platform", make_snapshot(1, *(make_record(name, port=7) for name in names)))
    assert rig.view == {names[-1]: "up"}
    rig.list_endpoints("platform", make_incremental(2, removed_ids=tuple(names[1:])))
    assert rig.view == {names[0]: "up"} and not rig.merger.merged_view.shadowed_ids
    assert count < len(merged_ids) < 10 * count


def test_a_backend_whose_list_was_under_way_and_that_cannot_be_read_in_the_next_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot_slices, "SNAPSHOT_SLICE_ENTRIES", 1)
    rig = MergerHarness(Source("platform"))
    rig.handle(m.EndpointsListed("platform", "one", make_snapshot(1, make_record("a"), make_record("b"))))
    rig.list_endpoints(
        "platform", make_snapshot(2, make_record("a"), invalid_entries=(InvalidEntry("b", "odd"),))
    )
    assert rig.view == {"a": "up", "b": "up"}  # its last good entry stays


def test_a_discovery_that_went_back_is_refused_loudly_until_it_says_something_newer() -> None:
    """Guards against a source that is ignored for good and yet called in sync, without a line in the log."""
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints("platform", make_snapshot(60, make_record("a")))
    rig.handle(m.SourceConfirmedCurrent("platform"))
    rig.list_endpoints("platform", make_snapshot(5, make_record("b")), is_from_watch=True)
    assert rig.state("platform") is SourceState.REJECTED
    assert rig.log_lines[-1].is_warning and "older than 60" in rig.log_lines[-1].text
    rig.handle(m.SourceConfirmedCurrent("platform"))
    rig.list_endpoints("platform", make_incremental(6, make_record("b")))
    assert rig.state("platform") is SourceState.REJECTED and len(rig.log_lines) == 1
    assert rig.view == {"a": "up"}
    rig.list_endpoints("platform", make_incremental(61, make_record("c")))
    assert rig.state("platform") is SourceState.IN_SYNC and rig.view == {"a": "up", "c": "up"}
    rig.list_endpoints("platform", make_snapshot(60))  # a call that the watch has overtaken
    assert rig.state("platform") is SourceState.IN_SYNC


def test_thousands_of_bad_entries_leave_room_in_the_log() -> None:
    """Guards the lines that matter: the log has a bound, and each entry that is left out had a line in it."""
    rig = MergerHarness(Source("platform"))
    rig.list_endpoints(
        "platform", make_snapshot(1, invalid_entries=tuple(InvalidEntry(f"f{i}", "odd") for i in range(500)))
    )
    rig.list_endpoints("platform", make_snapshot(2, *(make_record(f"s{i}", port=7) for i in range(300))))
    assert len(rig.log_lines) < 50
    assert sum("left out" in line.text for line in rig.log_lines) > 5
    assert any("480 more" in line.text for line in rig.log_lines)
    assert any("279 more" in line.text for line in rig.log_lines)
    assert len(rig.merger.merged_view.shadowed_ids) == 299


# --- what memory alone vouches for


def aged(*names: str) -> EndpointMerger:
    """Sources of which the first is remembered to list x and y at revision 7, five seconds ago."""
    merge = EndpointMerger([Source(name) for name in names or ("a",)])
    said = m.EndpointsListed(
        "a",
        "one",
        make_snapshot(7, make_record("x"), make_record("y")),
        is_cached=True,
        cached_age_ms=5_000.0,
    )
    merge.handle(0.0, said)
    return merge


def ages(merge: EndpointMerger) -> dict[str, float | None]:
    return {name: held.endpoint.cached_age_ms for name, held in merge.view.items()}


BOTH, NONE = {"x": 5_000.0, "y": 5_000.0}, {"x": None, "y": None}


def test_what_was_kept_is_in_the_view_with_its_age() -> None:
    assert ages(aged()) == BOTH


def test_a_source_that_shows_that_nothing_changed_vouches_for_all() -> None:
    merge = aged()
    (applied,) = (
        a for a in merge.handle(1.0, m.SourceConfirmedCurrent("a")) if isinstance(a, m.ApplyEndpoints)
    )
    assert {one.id for one in applied.records} == {"x", "y"} and ages(merge) == NONE
    assert not [
        a for a in merge.handle(2.0, m.SourceConfirmedCurrent("a")) if isinstance(a, m.ApplyEndpoints)
    ]


def test_a_source_that_was_never_whole_vouches_for_nobody() -> None:
    merge = aged()
    merge.handle(1.0, m.UpdateUnreadable("a", "a line was lost"))
    merge.handle(2.0, m.SourceConfirmedCurrent("a"))
    assert ages(merge) == BOTH


def test_the_list_that_was_kept_again_vouches_for_all() -> None:
    merge = aged()
    merge.handle(1.0, m.EndpointsListed("a", "one", make_snapshot(7, make_record("x"), make_record("y"))))
    assert ages(merge) == NONE


def test_changes_since_vouch_for_those_that_they_do_not_name() -> None:
    merge = aged()
    merge.handle(1.0, m.EndpointsListed("a", "one", make_incremental(8, removed_ids=("y",))))
    assert ages(merge) == {"x": None}


def test_no_source_brings_back_what_is_older_than_what_was_kept() -> None:
    merge = aged()
    merge.handle(1.0, m.EndpointsListed("a", "one", make_snapshot(6, make_record("x")), is_from_watch=True))
    merge.handle(2.0, m.SourceConfirmedCurrent("a"))  # that it lives shows nothing: it went back
    assert ages(merge) == BOTH and merge.sources["a"].state is SourceState.REJECTED


def test_another_source_vouches_for_what_it_lists_alone() -> None:
    merge = aged("a", "b")
    merge.handle(1.0, m.EndpointsListed("b", "two", make_snapshot(1, make_record("x"))))
    assert ages(merge) == {"x": None, "y": 5_000.0}


@pytest.mark.parametrize(
    ("age", "taken"), [(-86_400_000.0, 0.0), (float("nan"), 0.0), (float("inf"), m.MAX_CACHED_AGE_MS)]
)
def test_an_age_out_of_a_clock_that_was_off_is_clamped(age: float, taken: float) -> None:
    merge = EndpointMerger([Source("a")])
    merge.handle(
        0.0,
        m.EndpointsListed("a", "one", make_snapshot(1, make_record("x")), is_cached=True, cached_age_ms=age),
    )
    assert ages(merge) == {"x": taken}


def test_what_was_kept_of_several_sources_is_one_view() -> None:
    merge = aged("a", "b")
    said = m.EndpointsListed(
        "b", "two", make_snapshot(3, make_record("z"), removed_ids=("x",)), is_cached=True, cached_age_ms=9.0
    )
    (applied,) = (a for a in merge.handle(1.0, said) if isinstance(a, m.ApplyEndpoints))
    assert applied.kind is EndpointUpdateKind.INCREMENTAL, (
        "a whole list would take away what the first one listed"
    )
    assert [one.id for one in applied.removed_records] == ["x"] and ages(merge) == {"y": 5_000.0, "z": 9.0}


def test_a_long_list_that_was_kept_is_vouched_for_in_slices() -> None:
    """Guards against a turn of the loop in which the module takes thousands of changes."""
    merge, names = EndpointMerger([Source("a")]), [f"s{n}" for n in range(1_000)]
    said = make_snapshot(7, *(make_record(name, port=1 + n) for n, name in enumerate(names)))
    merge.handle(0.0, m.EndpointsListed("a", "one", said, is_cached=True))
    sizes, acts = [], merge.handle(1.0, m.SourceConfirmedCurrent("a"))
    while acts:
        sizes += [len(one.records) for one in acts if isinstance(one, m.ApplyEndpoints)]
        more = any(isinstance(one, m.ScheduleNextSlice) for one in acts)
        acts = merge.handle(1.0, m.NextSliceDue()) if more else []
    assert (
        sum(sizes) == 1_000
        and max(sizes) <= snapshot_slices.CHANGE_SLICE_ENTRIES
        and set(ages(merge).values()) == {None}
    )
