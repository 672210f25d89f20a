"""The merge of sources: who wins on what, what is never applied, what a table and a naive model say."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.discovery import endpoint_merger as m
from balancer.core.discovery.endpoint_merger import (
    Membership,
    Role,
    Source,
    State,
)
from balancer.core.discovery.merge_report import report as report_of
from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry
from balancer.interface import Endpoint, EndpointUpdateKind, Phase

UP, DRAINING, GONE = Phase.UP, Phase.DRAINING, Phase.REMOVED


def member(name: str, phase: Phase = UP, port: int = 0, **over: Any) -> EndpointRecord:
    """An entry; its port follows from its name."""
    table: dict[str, Any] = {
        "id": name,
        "zone": "a",
        "cell": 0,
        "weight": 1.0,
        "phase": phase,
        "started_at_ms": 0.0,
    }
    return EndpointRecord(Endpoint(**(table | over)), ("127.0.0.1", port or 1000 + sum(map(ord, name))))


def whole(revision: int, *members: EndpointRecord, **over: Any) -> EndpointList:
    """A whole list."""
    return EndpointList(revision, True, members, **over)


def changes(
    revision: int, *members: EndpointRecord, removed_ids: tuple[str, ...] = (), **over: Any
) -> EndpointList:
    """Changes."""
    return EndpointList(revision, False, members, removed_ids, **over)


class Rig:
    """A membership, and the view as whoever is told of it has it."""

    def __init__(self, *sources: Source) -> None:
        self.membership = Membership(sources or (Source("platform"), Source("etcd", pieces=True)))
        self.now_ms = 0.0
        self.told: dict[str, EndpointRecord] = {}
        self.kinds: list[EndpointUpdateKind] = []
        self.lines: list[m.Say] = []
        self.waiting = False
        self.revision = 0

    def hand(self, event: m.Event) -> None:
        """One event, and what it brings."""
        self.now_ms += 1.0
        for action in self.membership.handle(self.now_ms, event):
            match action:
                case m.Apply():
                    self.kinds.append(action.kind)
                    assert action.revision >= self.revision
                    self.revision = action.revision
                    for gone in action.removed:
                        assert gone.endpoint.phase is GONE
                        self.told.pop(gone.endpoint.id, None)
                    for one in action.members:
                        self.told[one.endpoint.id] = one
                case m.Continue():
                    self.waiting = True
                case m.Say():
                    self.lines.append(action)

    def turn(self) -> None:
        """The loop's next turns, until nothing waits."""
        while self.waiting:
            self.waiting = False
            self.hand(m.Continued())

    def list(self, source: str, listing: EndpointList, identity: str = "one", **over: Any) -> None:
        """A source lists, and the loop turns."""
        self.hand(m.Listed(source, identity, listing, **over))
        self.turn()

    def state(self, name: str) -> State:
        """How far a source is believed."""
        return self.membership.sources[name].state

    @property
    def view(self) -> dict[str, str]:
        """Who is told to be what."""
        assert self.told == self.membership.view
        return {name: one.endpoint.phase.value for name, one in self.told.items()}


# --- order


def test_an_older_whole_list_does_not_replace_a_newer_one() -> None:
    """The fault that was measured: after revision 60 {B} a whole revision 50 {A} took all traffic to A."""
    rig = Rig(Source("platform"))
    rig.list("platform", whole(60, member("b")))
    rig.list("platform", whole(50, member("a")))
    assert rig.view == {"b": "up"} and rig.membership.sources["platform"].old == 1
    rig.list("platform", changes(55, member("a")))
    assert rig.view == {"b": "up"}
    rig.list("platform", changes(61, member("c")))
    assert rig.view == {"b": "up", "c": "up"}


@pytest.mark.parametrize("revision", [59, 60])
def test_changes_that_are_not_newer_are_not_applied(revision: int) -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", whole(60, member("b")))
    rig.list("platform", changes(revision, removed_ids=("b",)))
    assert rig.view == {"b": "up"}
    assert rig.membership.sources["platform"].old == 1


def test_pieces_of_one_revision_are_applied_where_a_source_sends_them() -> None:
    rig = Rig(Source("etcd", pieces=True))
    rig.list("etcd", whole(5, member("a"), member("b")))
    rig.list("etcd", changes(6, removed_ids=("a",)))
    rig.list("etcd", changes(6, removed_ids=("b",)))
    assert rig.view == {}


def test_changes_without_a_whole_list_are_not_applied() -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", changes(3, member("a")))
    assert rig.view == {} and rig.membership.sources["platform"].old == 1
    assert rig.membership.resume("platform") is None


def test_an_equal_whole_list_is_taken_only_after_something_could_not_be_read() -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", whole(5, member("a")))
    rig.list("platform", whole(5, member("b")))
    assert rig.view == {"a": "up"} and rig.membership.resume("platform") == 5
    rig.hand(m.Spoiled("platform", "no JSON"))
    assert rig.membership.resume("platform") is None
    rig.list("platform", changes(6, member("c")))
    assert rig.view == {"a": "up"}
    rig.list("platform", whole(5, member("b")))
    assert rig.view == {"b": "up"} and rig.membership.resume("platform") == 5


def test_an_equal_whole_list_is_taken_where_revisions_come_in_pieces() -> None:
    """It is asked for where something may have been lost, or a backup has just this revision."""
    rig = Rig(Source("etcd", pieces=True))
    rig.list("etcd", whole(5, member("a"), member("b")))
    rig.list("etcd", whole(5, member("b", DRAINING), member("c")))
    assert rig.view == {"b": "draining", "c": "up"} and rig.membership.resume("etcd") == 5
    rig.list("etcd", whole(4, member("a")))
    assert rig.view == {"b": "draining", "c": "up"} and rig.membership.sources["etcd"].old == 1


def test_a_move_begins_a_new_order_by_a_whole_list_only() -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", whole(60, member("a")), "10.0.0.1:1")
    rig.hand(m.Moved("platform", "10.0.0.2:1"))
    assert rig.view == {"a": "up"} and rig.membership.resume("platform") is None
    rig.list("platform", changes(61, member("c")), "10.0.0.2:1")
    assert rig.view == {"a": "up"}
    rig.list("platform", whole(3, member("b")), "10.0.0.2:1")
    assert rig.view == {"b": "up"} and rig.membership.resume("platform") == 3
    rig.hand(m.Moved("platform", "10.0.0.2:1"))  # no move at all
    assert rig.membership.resume("platform") == 3


def test_a_new_cluster_begins_a_new_order_and_is_said_loudly() -> None:
    rig = Rig(Source("etcd"))
    rig.list("etcd", whole(900, member("a"), member("b")), "7/0")
    rig.list("etcd", changes(901, removed_ids=("a",)), "8/0")
    assert rig.view == {"a": "up", "b": "up"}
    rig.list("etcd", whole(2, member("b")), "8/0")
    assert rig.view == {"b": "up"}
    assert any(line.loud and "8/0" in line.text for line in rig.lines)


def test_what_was_saved_counts_as_seen() -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", whole(41, member("a")), saved=True)
    assert rig.kinds == [EndpointUpdateKind.CACHED] and rig.view == {"a": "up"}
    assert rig.state("platform") is State.UNHEARD
    assert rig.membership.resume("platform") == 41
    rig.list("platform", whole(40, member("b")))
    assert rig.view == {"a": "up"} and rig.state("platform") is State.REFUSED
    rig.list("platform", whole(42, member("b")))
    assert rig.view == {"b": "up"} and rig.state("platform") is State.IN_SYNC


def test_what_a_source_says_of_hundreds_is_not_taken_for_memory() -> None:
    """Changes that go in slices, the first of them too, behind a list that was remembered."""
    rig = Rig()
    kept = whole(1, *(member(f"s{n}", port=n + 1) for n in range(600)))
    rig.hand(m.Listed("platform", "p", kept, saved=True))
    assert all(one.endpoint.cached_age_ms is not None for one in rig.told.values())
    news = changes(2, *(member(f"s{n}", port=n + 1, weight=2.0) for n in range(600)))
    rig.hand(m.Listed("platform", "p", news))
    told = [one for one in rig.told.values() if one.endpoint.weight == 2.0]
    assert len(told) == m.SLICE and all(one.endpoint.cached_age_ms is None for one in told)


def test_a_saved_list_with_an_entry_that_cannot_be_read_asks_for_the_whole_one() -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", whole(41, member("a"), invalid_entries=(InvalidEntry("b", "no port"),)), saved=True)
    assert rig.view == {"a": "up"} and rig.membership.resume("platform") is None
    rig.list("platform", whole(41, member("a"), member("b")))
    assert rig.view == {"a": "up", "b": "up"}


def test_a_source_that_is_silent_or_refused_takes_nothing_back() -> None:
    rig = Rig()
    rig.list("etcd", whole(5, member("a")))
    for event in (m.Silenced("etcd", "frozen"), m.Refused("etcd", "went back"), m.Silenced("etcd", "frozen")):
        rig.hand(event)
        rig.hand(event)  # said once
        assert rig.view == {"a": "up"}
    assert len(rig.lines) == 3
    rig.hand(m.Heard("etcd"))
    assert rig.state("etcd") is State.IN_SYNC


# --- several sources

SAYS = ("nothing", "up", "draining", "removed")
# What holds where the first source and the second say so, by the role of the second (the first may do all).
TABLE = {
    Role.FULL: {
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
    Role.ADD: {
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
    Role.REMOVE: {
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


@pytest.mark.parametrize("role", Role)
@pytest.mark.parametrize(("first", "second"), list(itertools.product(SAYS, SAYS)))
@pytest.mark.parametrize("order", [("platform", "etcd"), ("etcd", "platform")])
def test_every_pair_of_words(role: Role, first: str, second: str, order: tuple[str, str]) -> None:
    """Whichever of the two speaks last."""
    rig = Rig(Source("platform"), Source("etcd", role))
    said = {"platform": first, "etcd": second}
    for name in order:
        rig.list(name, whole(1, *([] if said[name] == "nothing" else [member("x")])))
    for name in order:
        if said[name] == "removed":
            rig.list(name, changes(2, removed_ids=("x",)))
        elif said[name] == "draining":
            rig.list(name, changes(2, member("x", DRAINING)))
    assert rig.view.get("x") == TABLE[role][first, second]


def test_what_one_source_removed_stays_so_until_it_lists_it_anew() -> None:
    rig = Rig()
    rig.list("platform", whole(1, member("x"), member("y")))
    rig.list("etcd", whole(1, member("x")))
    rig.list("etcd", whole(2))
    assert rig.view == {"y": "up"}
    rig.list("platform", changes(2, member("x")))  # whatever another source still says
    rig.list("platform", whole(3, member("x"), member("y")))
    assert rig.view == {"y": "up"}
    rig.list("etcd", changes(3, member("x")))
    assert rig.view == {"x": "up", "y": "up"}


def test_a_removal_is_obeyed_of_a_backend_that_only_others_listed() -> None:
    rig = Rig()
    rig.list("platform", whole(1, member("x")))
    rig.list("etcd", whole(1))
    rig.list("etcd", changes(2, removed_ids=("x",)))
    assert rig.view == {}


def test_address_weight_and_place_are_the_first_ones_and_the_latest_start_counts() -> None:
    rig = Rig()
    one = member("x", port=1, weight=0.4, zone="a", kind="m2", started_at_ms=50.0)
    two = member("x", port=2, weight=3.0, zone="b", kind="m9", started_at_ms=90.0)
    rig.list("etcd", whole(1, two))
    assert rig.told["x"] == two
    rig.list("platform", whole(1, one))
    assert rig.told["x"] == EndpointRecord(replace(one.endpoint, started_at_ms=90.0), one.address)
    rig.list("platform", whole(2))
    assert rig.view == {}
    rig.list("platform", changes(3, one))
    rig.list("etcd", whole(2, member("x", port=2, started_at_ms=10.0)))
    assert rig.told["x"] == one


def test_of_two_ids_at_one_address_the_later_start_is_used() -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", whole(1, member("new", port=7, started_at_ms=9.0), member("old", port=7)))
    assert rig.view == {"new": "up"} and "left out" in rig.lines[-1].text
    rig.list("platform", changes(2, member("new", DRAINING, port=7, started_at_ms=9.0)))
    assert rig.view == {"new": "draining", "old": "up"}
    rig.list("platform", changes(3, member("new", port=7, started_at_ms=9.0)))
    rig.list("platform", changes(4, removed_ids=("new",)))
    assert rig.view == {"old": "up"}
    rig.list("platform", changes(5, member("last", port=7)))
    assert rig.view == {"last": "up"}
    rig.list("platform", changes(6, member("last", port=8)))
    assert rig.view == {"last": "up", "old": "up"}
    assert not rig.membership.shadowed


def test_a_source_that_operators_take_out_has_never_said_a_word() -> None:
    rig = Rig()
    rig.list("platform", whole(4, member("a"), member("b"), member("c")))
    rig.list("etcd", whole(9, member("a", DRAINING), member("b"), member("d")))
    rig.list("etcd", changes(10, removed_ids=("b",)))
    assert rig.view == {"a": "draining", "c": "up", "d": "up"}
    rig.hand(m.Configured((Source("platform"), Source("etcd", Role.ADD))))
    assert rig.view == {"a": "up", "b": "up", "c": "up", "d": "up"}
    assert rig.membership.resume("etcd") == 10
    rig.hand(m.Configured((Source("platform"),)))
    assert rig.view == {"a": "up", "b": "up", "c": "up"}
    rig.hand(m.Configured((Source("platform"), Source("etcd"))))
    assert rig.membership.resume("etcd") is None and rig.membership.resume("platform") == 4


def test_events_of_a_source_that_is_gone_say_nothing() -> None:
    """Guards against a call that was on its way as the operators took its source out."""
    rig = Rig(Source("platform"))
    listed = m.Listed("etcd", "7/0", whole(1, member("a")))
    for event in (m.Heard("etcd"), m.Silenced("etcd", "away"), listed):
        rig.hand(event)
    assert rig.view == {} and not rig.lines


# --- what cannot be read


def test_an_entry_that_cannot_be_read_costs_nothing_but_itself() -> None:
    rig = Rig(Source("platform"))
    rig.list(
        "platform", whole(1, member("a"), member("b"), invalid_entries=(InvalidEntry("c", "phase is 'odd'"),))
    )
    assert rig.view == {"a": "up", "b": "up"}
    rig.list("platform", whole(2, member("b"), invalid_entries=(InvalidEntry("a", "no port"),)))
    assert rig.view == {"a": "up", "b": "up"}  # the last good entry stays
    report = report_of(rig.membership)
    assert report["sources"][0]["unreadable"] == 2
    assert report["faults"] == [{"source": "platform", "key": "a", "reason": "no port"}]
    assert [line.text for line in rig.lines] == [
        "platform: entry 'c' left out: phase is 'odd'",
        "platform: entry 'a' left out: no port",
    ]
    rig.list("platform", changes(3, member("a", weight=2.0)))
    assert rig.told["a"].endpoint.weight == 2.0 and not report_of(rig.membership)["faults"]
    rig.list("platform", whole(4, member("b")))
    assert rig.view == {"b": "up"}


@pytest.mark.parametrize(("phases", "found"), [((DRAINING, UP), "up"), ((UP, DRAINING), "draining")])
def test_of_one_named_twice_the_later_entry_holds(phases: tuple[Phase, Phase], found: str) -> None:
    rig = Rig(Source("platform"))
    rig.hand(m.Listed("platform", "one", whole(1, *(member("a", phase) for phase in phases))))
    assert rig.view == {"a": found} and len(rig.kinds) == 1 + (found == "draining")


def test_an_unreadable_entry_that_drains_is_obeyed() -> None:
    rig = Rig()
    rig.list("platform", whole(1, member("a"), member("b")))
    rig.list("etcd", whole(1, member("a")))
    rig.list("platform", changes(2, invalid_entries=(InvalidEntry("a", "no port", is_draining=True),)))
    assert rig.view == {"a": "draining", "b": "up"}
    rig.list(
        "etcd", changes(2, invalid_entries=(InvalidEntry("b", "no port", is_draining=True),))
    )  # it never listed b
    assert rig.view == {"a": "draining"}


def test_a_removal_of_most_is_said_loudly_and_obeyed() -> None:
    rig = Rig(Source("platform"))
    rig.list("platform", whole(1, *(member(f"s{i}") for i in range(6))))
    rig.list("platform", changes(2, removed_ids=tuple(f"s{i}" for i in range(6))))
    assert rig.view == {}
    assert any(line.loud and "6 of 6" in line.text for line in rig.lines)


# --- bounds and size


def test_what_is_remembered_of_the_removed_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(m, "MAX_REMOVED", 3)
    rig = Rig()
    rig.list("platform", whole(1, *(member(f"s{i}") for i in range(5))))
    rig.list("etcd", whole(1, *(member(f"s{i}") for i in range(5))))
    rig.list("etcd", whole(2))
    assert rig.view == {}  # none of those that another source still lists is forgotten
    rig.list("platform", whole(2))
    rig.list("etcd", changes(3, removed_ids=("s5", "s6")))
    assert list(rig.membership.sources["etcd"].removed) == ["s4", "s5", "s6"]
    alone = Rig(Source("platform"))
    alone.list("platform", whole(1, member("a")))
    alone.list("platform", whole(2))
    assert not alone.membership.sources["platform"].removed  # nobody else could list it


def test_faults_shown_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(m, "MAX_FAULTS", 2)
    rig = Rig(Source("platform"))
    rig.list("platform", whole(1, invalid_entries=tuple(InvalidEntry(f"f{i}", "odd") for i in range(9))))
    assert len(rig.membership.sources["platform"].faults) == 2
    assert rig.membership.sources["platform"].unreadable == 9


def test_a_large_list_comes_in_slices_removals_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(m, "SLICE", 10)
    rig = Rig(Source("platform"))
    rig.list("platform", whole(1, *(member(f"s{i}", port=i + 1) for i in range(95))))
    assert len(rig.view) == 95
    rest = [member(f"s{i}", DRAINING if i == 94 else UP, port=i + 1, weight=2.0) for i in range(5, 95)]
    rig.hand(m.Listed("platform", "one", whole(2, *rest)))
    assert len(rig.told) == 90 and rig.told["s94"].endpoint.phase is DRAINING  # before anything else
    assert rig.waiting and rig.told["s50"].endpoint.weight == 1.0
    seen = [one.endpoint.weight for one in rig.told.values()].count(2.0)
    assert seen == 11  # the first slice, and who drains
    rig.hand(
        m.Listed("platform", "one", changes(3, member("s60", port=61, weight=5.0), removed_ids=("s61",)))
    )
    assert rig.told["s60"].endpoint.weight == 5.0
    rig.waiting = False
    rig.hand(m.Continued())
    weights = [one.endpoint.weight for one in rig.told.values()]
    assert weights.count(2.0) == seen + 10  # each slice at once
    rig.turn()
    assert rig.told["s60"].endpoint.weight == 5.0 and "s61" not in rig.told  # the newer word holds
    assert rig.told["s50"].endpoint.weight == 2.0 and len(rig.view) == 89


def test_many_changes_at_once_come_in_slices_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a fleet's live weights that hold the loop in one piece; drains do not wait for them."""
    monkeypatch.setattr(m, "SLICE", 10)
    rig = Rig(Source("platform"))
    rig.list("platform", whole(1, *(member(f"s{i}", port=i + 1) for i in range(50))))
    rest = [member(f"s{i}", DRAINING if i == 40 else UP, port=i + 1, weight=2.0) for i in range(2, 50)]
    rig.hand(m.Listed("platform", "one", changes(2, *rest, removed_ids=("s0", "s1"))))
    assert "s0" not in rig.told and rig.told["s40"].endpoint.phase is DRAINING
    assert [one.endpoint.weight for one in rig.told.values()].count(2.0) == 11
    rig.hand(m.Listed("platform", "one", changes(3, member("s49", port=50, weight=3.0))))
    rig.turn()
    weights = [one.endpoint.weight for one in rig.told.values()]
    assert weights.count(2.0) == 47 and rig.told["s49"].endpoint.weight == 3.0


def test_a_first_list_comes_in_one_piece(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against subsets that are laid out over its first slice alone."""
    monkeypatch.setattr(m, "SLICE", 10)
    rig = Rig(Source("platform"))
    rig.hand(m.Listed("platform", "one", whole(1, *(member(f"s{i}", port=i + 1) for i in range(95)))))
    assert rig.waiting and not rig.told
    rig.turn()
    assert len(rig.told) == 95 and len(rig.kinds) == 1


def test_a_move_in_the_middle_of_a_large_list_loses_nothing_that_was_said(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(m, "SLICE", 10)
    rig = Rig(Source("platform"))
    rig.hand(m.Listed("platform", "one", whole(1, *(member(f"s{i}", port=i + 1) for i in range(50)))))
    rig.hand(m.Moved("platform", "two"))
    rig.turn()
    assert rig.membership.resume("platform") is None
    assert rig.view == {f"s{i}": "up" for i in range(50)}


def test_the_report_shows_who_says_what() -> None:
    rig = Rig()
    rig.list("platform", whole(4, member("a", port=7), member("b", port=7, started_at_ms=3.0)))
    rig.list("etcd", whole(9, member("a", DRAINING, port=7), member("c")), "77/0")
    rig.list("etcd", changes(10, removed_ids=("c",)), "77/0")
    report = report_of(rig.membership)
    rows = {row["id"]: (row["phase"], row["sources"]) for row in report["members"]}
    assert rows["a"] == ("draining", {"platform": "up", "etcd": "draining"})
    assert rows["b"] == ("up", {"platform": "up"})
    assert [s["revision"] for s in report["sources"]] == [4, 10]
    assert "c" not in rows  # nobody lists it


def test_a_backend_of_a_large_list_that_a_newer_one_leaves_out_counts_as_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a removal that is forgotten as the list it follows had not been looked through."""
    monkeypatch.setattr(m, "SLICE", 1)
    rig = Rig()
    rig.hand(m.Listed("platform", "one", whole(1, member("a"), member("b"))))
    rig.list("platform", whole(2, member("a")))
    rig.list("etcd", whole(1, member("b")))
    assert rig.view == {"a": "up"}


def test_one_address_in_a_large_list_that_is_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against telling an older state after a newer one, of a backend that another pushed out."""
    monkeypatch.setattr(m, "SLICE", 1)
    rig = Rig(Source("platform"))
    both = member("b", port=1), member("a", port=1)
    rig.hand(m.Listed("platform", "one", whole(1, *both)))
    rig.list("platform", changes(2, *reversed(both)))
    assert len(rig.view) == 1


@pytest.fixture
def tiny(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lists of over four servers are large, and two are looked at in one turn."""
    monkeypatch.setattr(m, "LARGE", 4)
    monkeypatch.setattr(m, "NEWS", 2)


@pytest.mark.usefixtures("tiny")
@pytest.mark.parametrize("saved", [False, True])
def test_of_a_large_first_list_nobody_is_up_before_all_of_it_was_seen(saved: bool) -> None:
    """Guards against a module that lays its part of the fleet out over what came in between."""
    rig = Rig(Source("platform"))
    names = [member(f"s{i}", DRAINING if i == 3 else UP, port=i + 1) for i in range(9)]
    rig.hand(m.Listed("platform", "one", whole(1, *names), saved=saved, age_ms=7.0))
    assert rig.waiting and [*rig.told] == ["s3"], "who drains goes first"
    assert (rig.kinds[0] is EndpointUpdateKind.CACHED) == saved
    rig.hand(m.Continued())
    rig.hand(
        m.Listed("platform", "one", changes(2, member("s0", port=1, weight=5.0), removed_ids=("s1", "s8")))
    )
    assert [*rig.told] == ["s3"]
    before = len(rig.kinds)
    rig.turn()
    assert len(rig.kinds) == before + 1, "in one piece"
    assert rig.told.keys() == {f"s{i}" for i in range(9)} - {"s1", "s8"}
    assert rig.told["s0"].endpoint.weight == 5.0 and {
        one.endpoint.cached_age_ms for one in rig.told.values()
    } == {None}


@pytest.mark.usefixtures("tiny")
@pytest.mark.parametrize("seen", range(6))
def test_a_newer_list_in_the_middle_of_a_large_one_wins(seen: int) -> None:
    rig = Rig(Source("platform"))
    for revision, size, weight in ((1, 9, 1.0), (2, 9, 2.0), (3, 6, 3.0)):
        rows = [member(f"s{i}", port=i + 1, weight=weight) for i in range(size)]
        rig.hand(m.Listed("platform", "one", whole(revision, *rows)))
        for _ in range(seen):
            rig.hand(m.Continued())
    assert rig.told.keys() <= {f"s{i}" for i in range(6)}, "who is not in it is gone at once"
    rig.turn()
    assert {name: one.endpoint.weight for name, one in rig.told.items()} == {f"s{i}": 3.0 for i in range(6)}


@pytest.mark.usefixtures("tiny")
@pytest.mark.parametrize("seen", range(6))
def test_a_large_list_that_was_kept_ends_as_a_small_one_does(
    seen: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    views = []
    for large in (4, 1000):
        monkeypatch.setattr(m, "LARGE", large)
        for news in (None, m.Heard("platform"), m.Moved("platform", "two"), m.Silenced("platform", "away")):
            rig = Rig(Source("platform"))
            rows = [member(f"s{i}", DRAINING if i == 3 else UP, port=i + 1) for i in range(9)]
            rig.hand(m.Listed("platform", "one", whole(7, *rows), saved=True, age_ms=5.0))
            for _ in range(seen):
                rig.hand(m.Continued())
            if news is not None:
                rig.hand(news)
            rig.turn()
            assert rig.view
            views.append(
                {name: (one.endpoint.phase, one.endpoint.cached_age_ms) for name, one in rig.told.items()}
            )
    assert views[:4] == views[4:] and views[0]["s3"] == (DRAINING, 5.0) and views[1]["s0"] == (UP, None)


# --- a naive model

NAMES = ["a", "b", "c", "d"]
PHASES = st.sampled_from([UP, UP, DRAINING])
MEMBERS = st.dictionaries(
    st.sampled_from(NAMES), st.tuples(PHASES, st.integers(1, 3), st.integers(0, 2)), max_size=4
).map(lambda table: [member(n, p, port, started_at_ms=float(at)) for n, (p, port, at) in table.items()])
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
    before = m.SLICE, m.NEWS, m.LARGE
    m.SLICE, m.NEWS, m.LARGE = size, min(size, m.NEWS), large
    try:
        rig, naive = Rig(Source("platform"), Source("etcd")), {"platform": Naive(), "etcd": Naive()}
        for source, what, ahead, members, removed in steps:
            model = naive[source]
            revision = model.revision + ahead
            removed = [name for name in removed if name not in {one.endpoint.id for one in members}]
            match what:
                case "whole":
                    model.whole(revision, members)
                    rig.hand(m.Listed(source, str(model.identity), whole(revision, *members)))
                case "changes":
                    model.changes(revision, members, removed)
                    listing = changes(revision, *members, removed_ids=tuple(removed))
                    rig.hand(m.Listed(source, str(model.identity), listing))
                case "spoiled":
                    model.spoiled = True
                    rig.hand(m.Spoiled(source, "odd"))
                case "new order":
                    model.identity += 1
                    model.known = model.spoiled = False
                    rig.hand(m.Moved(source, str(model.identity)))
                    model.whole(revision, members)
                    rig.hand(m.Listed(source, str(model.identity), whole(revision, *members)))
                case "silent":
                    rig.hand(m.Silenced(source, "away"))
                case _:
                    rig.turn()
            for model in naive.values():  # at once, however long a list is that waits
                for name, word in model.says.items():
                    held = rig.told.get(name)
                    if held is not None:
                        assert word is not None, "it was removed"
                        assert held.endpoint.phase is not UP or word.endpoint.phase is UP, "it drains"
        rig.turn()
        want = expected(naive["platform"], naive["etcd"])
        got = {n: (o.endpoint.phase, o.address[1], o.endpoint.started_at_ms) for n, o in rig.told.items()}
        assert rig.told == rig.membership.view
        ports = [port for phase, port, _ in want.values() if phase is UP]
        for name, (phase, port, _) in want.items():
            if phase is DRAINING or ports.count(port) == 1:
                assert got.pop(name) == want[name]
        used = [port for phase, port, _ in got.values()]
        assert len(used) == len(set(used)) == len({p for p in ports if ports.count(p) > 1})
        assert not rig.membership._fresh
    finally:
        m.SLICE, m.NEWS, m.LARGE = before


def test_a_second_source_of_one_name_is_refused() -> None:
    with pytest.raises(ValueError, match="two sources"):
        Membership([Source("etcd"), Source("etcd")])


def test_many_ids_at_one_address_cost_no_more_than_many_addresses() -> None:
    """Guards the loop against a list whose servers all bear one address: each was weighed against each."""
    resolved = 0

    class Counted(Membership):
        def _resolve(self, name: str) -> EndpointRecord | None:
            nonlocal resolved
            resolved += 1
            return super()._resolve(name)

    rig, count = Rig(Source("platform")), 2000
    rig.membership = Counted([Source("platform")])
    names = [f"s{i:04}" for i in range(count)]
    rig.list("platform", whole(1, *(member(name, port=7) for name in names)))
    assert rig.view == {names[-1]: "up"}
    rig.list("platform", changes(2, removed_ids=tuple(names[1:])))
    assert rig.view == {names[0]: "up"} and not rig.membership.shadowed
    assert resolved < 10 * count


def test_a_backend_whose_list_was_under_way_and_that_cannot_be_read_in_the_next_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(m, "SLICE", 1)
    rig = Rig(Source("platform"))
    rig.hand(m.Listed("platform", "one", whole(1, member("a"), member("b"))))
    rig.list("platform", whole(2, member("a"), invalid_entries=(InvalidEntry("b", "odd"),)))
    assert rig.view == {"a": "up", "b": "up"}  # its last good entry stays


def test_a_discovery_that_went_back_is_refused_loudly_until_it_says_something_newer() -> None:
    """Guards against a source that is ignored for good and yet called in sync, without a line in the log."""
    rig = Rig(Source("platform"))
    rig.list("platform", whole(60, member("a")))
    rig.hand(m.Heard("platform"))
    rig.list("platform", whole(5, member("b")), watched=True)
    assert rig.state("platform") is State.REFUSED
    assert rig.lines[-1].loud and "older than 60" in rig.lines[-1].text
    rig.hand(m.Heard("platform"))
    rig.list("platform", changes(6, member("b")))
    assert rig.state("platform") is State.REFUSED and len(rig.lines) == 1
    assert rig.view == {"a": "up"}
    rig.list("platform", changes(61, member("c")))
    assert rig.state("platform") is State.IN_SYNC and rig.view == {"a": "up", "c": "up"}
    rig.list("platform", whole(60))  # a call that the watch has overtaken
    assert rig.state("platform") is State.IN_SYNC


def test_thousands_of_bad_entries_leave_room_in_the_log() -> None:
    """Guards the lines that matter: the log has a bound, and each entry that is left out had a line in it."""
    rig = Rig(Source("platform"))
    rig.list("platform", whole(1, invalid_entries=tuple(InvalidEntry(f"f{i}", "odd") for i in range(500))))
    rig.list("platform", whole(2, *(member(f"s{i}", port=7) for i in range(300))))
    assert len(rig.lines) < 50
    assert sum("left out" in line.text for line in rig.lines) > 5
    assert any("480 more" in line.text for line in rig.lines)
    assert any("279 more" in line.text for line in rig.lines)
    assert len(rig.membership.shadowed) == 299


# --- what memory alone vouches for


def aged(*names: str) -> Membership:
    """Sources of which the first is remembered to list x and y at revision 7, five seconds ago."""
    merge = Membership([Source(name) for name in names or ("a",)])
    said = m.Listed("a", "one", whole(7, member("x"), member("y")), saved=True, age_ms=5_000.0)
    merge.handle(0.0, said)
    return merge


def ages(merge: Membership) -> dict[str, float | None]:
    return {name: held.endpoint.cached_age_ms for name, held in merge.view.items()}


BOTH, NONE = {"x": 5_000.0, "y": 5_000.0}, {"x": None, "y": None}


def test_what_was_kept_is_in_the_view_with_its_age() -> None:
    assert ages(aged()) == BOTH


def test_a_source_that_shows_that_nothing_changed_vouches_for_all() -> None:
    merge = aged()
    (applied,) = (a for a in merge.handle(1.0, m.Heard("a")) if isinstance(a, m.Apply))
    assert {one.id for one in applied.members} == {"x", "y"} and ages(merge) == NONE
    assert not [a for a in merge.handle(2.0, m.Heard("a")) if isinstance(a, m.Apply)]


def test_a_source_that_was_never_whole_vouches_for_nobody() -> None:
    merge = aged()
    merge.handle(1.0, m.Spoiled("a", "a line was lost"))
    merge.handle(2.0, m.Heard("a"))
    assert ages(merge) == BOTH


def test_the_list_that_was_kept_again_vouches_for_all() -> None:
    merge = aged()
    merge.handle(1.0, m.Listed("a", "one", whole(7, member("x"), member("y"))))
    assert ages(merge) == NONE


def test_changes_since_vouch_for_those_that_they_do_not_name() -> None:
    merge = aged()
    merge.handle(1.0, m.Listed("a", "one", changes(8, removed_ids=("y",))))
    assert ages(merge) == {"x": None}


def test_no_source_brings_back_what_is_older_than_what_was_kept() -> None:
    merge = aged()
    merge.handle(1.0, m.Listed("a", "one", whole(6, member("x")), watched=True))
    merge.handle(2.0, m.Heard("a"))  # that it lives shows nothing: it went back
    assert ages(merge) == BOTH and merge.sources["a"].state is State.REFUSED


def test_another_source_vouches_for_what_it_lists_alone() -> None:
    merge = aged("a", "b")
    merge.handle(1.0, m.Listed("b", "two", whole(1, member("x"))))
    assert ages(merge) == {"x": None, "y": 5_000.0}


@pytest.mark.parametrize(
    ("age", "taken"), [(-86_400_000.0, 0.0), (float("nan"), 0.0), (float("inf"), m.MOST_AGE_MS)]
)
def test_an_age_out_of_a_clock_that_was_off_is_clamped(age: float, taken: float) -> None:
    merge = Membership([Source("a")])
    merge.handle(0.0, m.Listed("a", "one", whole(1, member("x")), saved=True, age_ms=age))
    assert ages(merge) == {"x": taken}


def test_what_was_kept_of_several_sources_is_one_view() -> None:
    merge = aged("a", "b")
    said = m.Listed("b", "two", whole(3, member("z"), removed_ids=("x",)), saved=True, age_ms=9.0)
    (applied,) = (a for a in merge.handle(1.0, said) if isinstance(a, m.Apply))
    assert applied.kind is EndpointUpdateKind.INCREMENTAL, (
        "a whole list would take away what the first one listed"
    )
    assert [one.id for one in applied.removed] == ["x"] and ages(merge) == {"y": 5_000.0, "z": 9.0}


def test_a_long_list_that_was_kept_is_vouched_for_in_slices() -> None:
    """Guards against a turn of the loop in which the module takes thousands of changes."""
    merge, names = Membership([Source("a")]), [f"s{n}" for n in range(1_000)]
    said = whole(7, *(member(name, port=1 + n) for n, name in enumerate(names)))
    merge.handle(0.0, m.Listed("a", "one", said, saved=True))
    sizes, acts = [], merge.handle(1.0, m.Heard("a"))
    while acts:
        sizes += [len(one.members) for one in acts if isinstance(one, m.Apply)]
        more = any(isinstance(one, m.Continue) for one in acts)
        acts = merge.handle(1.0, m.Continued()) if more else []
    assert sum(sizes) == 1_000 and max(sizes) <= m.NEWS and set(ages(merge).values()) == {None}
