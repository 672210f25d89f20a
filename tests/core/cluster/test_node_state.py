"""What nodes go by: merging, who disagrees, entries that differ, and cuts."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.cluster import (
    anti_entropy as halves,
)
from balancer.core.cluster import (
    gossiped_removals as hearsay,
)
from balancer.core.cluster import (
    node_state as views,
)
from balancer.core.cluster import (
    partition_detector as cuts,
)
from balancer.core.cluster.anti_entropy import Halves
from balancer.core.cluster.node_state import (
    Goes,
    Heard,
    Mine,
    Round,
    Views,
    newer,
)
from balancer.core.cluster.partition_detector import (
    Cuts,
    From,
    Roles,
    Saw,
    Verdict,
)
from balancer.core.discovery.endpoint_merger import (
    Continued,
    Listed,
    Membership,
    Source,
)
from balancer.core.hysteresis import Steady
from balancer.endpoints import EndpointList
from balancer.protocol import gossip
from benchmarks.node_state_gossip import (
    World,
    cost,
    goes,
    member,
    room,
    search,
)

WORDS = st.builds(
    lambda its, edition, revision, digest: goes("b", 1, revision, digest, incarnation=its, edition=edition),
    st.integers(1, 2),
    st.integers(1, 3),
    st.integers(1, 3),
    st.integers(0, 2),
)


def node(*others: Goes, mine: Goes | None = None) -> Views:
    its = Views("a", Random(1), cost, room("a"))
    its.handle(0, Mine(mine or goes("a")))
    its.handle(0, Heard(others))
    return its


def on_for(its: Views, ms: float, start: float = 0.0) -> list[views.Action]:
    here = {name: f"10.0.0.{at}:1" for at, name in enumerate(sorted(its.words)) if name != its.name}
    times = range(int(start), int(start + ms), 200)
    return [action for at in times for action in its.handle(at, Round(here))]


# --- merging


@given(WORDS, WORDS, WORDS)
def test_merging_is_associative_commutative_and_idempotent(one: Goes, two: Goes, three: Goes) -> None:
    assert newer(one, two) == newer(two, one) and newer(one, one) == one
    assert newer(newer(one, two), three) == newer(one, newer(two, three))


@given(st.lists(WORDS, min_size=1, max_size=6), st.randoms())
def test_order_and_doubling_of_words_do_not_matter(words: list[Goes], random: Random) -> None:
    again = words * 2
    random.shuffle(again)
    assert node(*words).words["b"] == node(*again).words["b"]


def test_a_word_is_put_above_what_others_hold_of_its_node_and_a_lie_has_a_bound() -> None:
    its = node(goes("a", 0, 9, edition=40), goes("b", edition=2**32 - 1), goes("c", incarnation=2**32 - 1))
    assert its.words == {"a": goes("a", edition=41)}


def test_words_are_bounded_and_every_datagram_fits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(views, "PEERS_MAX", 100)
    its = node(*(goes(f"x{number}", zone="z" * (number % 50)) for number in range(200)))
    assert len(its.words) == 101
    sent = [action for action in on_for(its, 2_000) if isinstance(action, views.Send)]
    assert len(sent) == 20 and all(0 < sum(map(cost, send.words)) <= room("a") for send in sent)
    its.handle(0, Round({"x1": "x"}))
    assert its.words.keys() == {"a", "x1"}


# --- who disagrees


@pytest.mark.parametrize(
    ("what", "of", "other"),
    [
        ("settings", "platform", {"files": (9, 2)}),
        ("settings", "operators", {"files": (1, 9)}),
        ("version", "", {"version": "0.35.0"}),
        ("list", "", {"digest": 9}),
        ("order", "platform", {"sources": (("platform", 9, 1, 2), ("etcd", 6, 1, 2))}),
    ],
)
def test_the_odd_one_is_named_by_itself_and_by_others(what: str, of: str, other: dict[str, object]) -> None:
    odd = goes("b", **other)  # type: ignore[arg-type]
    for its in (node(odd, goes("c")), node(goes("b"), goes("c"), mine=odd._replace(name="a"))):
        began = [action for action in on_for(its, 3_000) if isinstance(action, views.Began)]
        assert [(action.what, action.of, action.count) for action in began] == [(what, of, 1)]
        assert its.odd == ([(what, of)] if began[0].names == ("a",) else [])
        its.handle(3_000, Heard([goes("b", edition=5)]))
        its.handle(3_000, Mine(goes("a")))
        ended = [action for action in on_for(its, 4_000, 3_200) if isinstance(action, views.Ended)]
        assert [(action.what, action.of) for action in ended] == [(what, of)] and not its.odd


def test_lists_are_compared_at_the_same_revisions_only_and_a_tie_names_both() -> None:
    for others in ((goes("b", 1, 2, 9), goes("c", 2, 2, 9)), (goes("b", digest=0), goes("c"))):
        its = node(*others)
        on_for(its, 1_000)
        assert ("list", "") not in its.disagreements
    its = node(goes("b", digest=9))
    (began,) = (action for action in on_for(its, 3_000) if isinstance(action, views.Began))
    assert began.names == ("a", "b")


def test_a_word_says_what_the_own_sources_are_at_and_no_digest_of_what_is_not_theirs() -> None:
    merge = Membership([Source("platform"), hearsay.source()])
    assert views.told_of(merge.sources.values()) == (("platform", 0, 0, 0),)
    merge.handle(0, Listed("platform", "p", EndpointList(7, True, tuple(map(member, range(501))))))
    assert views.told_of(merge.sources.values()) == (("platform", views.order_of("p"), 7, 2),)
    assert not views.comparable(merge.sources.values())  # a slice waits
    merge.handle(0, Continued())
    assert views.comparable(merge.sources.values())
    for number, listing in enumerate((EndpointList(1, True, ()), EndpointList(2, False, (), ("server-1",)))):
        merge.handle(0, Listed(views.PEERS, "", listing))
        assert views.comparable(merge.sources.values()) is not bool(number)


def test_who_is_behind_is_named_late_enough_and_not_for_one_that_lies() -> None:
    its = node(goes("b", 1, 5), goes("c", 2, 5))  # a: revision 1
    assert not [a for a in on_for(its, views.LATE_MS) if isinstance(a, views.Began)]
    (began,) = (a for a in on_for(its, 3_000, views.LATE_MS) if isinstance(a, views.Began))
    assert began.names == ("a",) and "4 revisions" in began.why and its.words["a"].flags == views.BEHIND
    its.handle(5_000, Mine(goes("a", 0, 5)))
    assert on_for(its, 4_000, 5_000)[-1] != began and not its.words["a"].flags and not its.steady.on
    for flags in (0, views.BEHIND):  # others are late by their own word alone, as what is held may be old
        its = node(goes("b", 1, 1, flags=flags), goes("c", 2, 5), mine=goes("a", 0, 5))
        assert bool([a for a in on_for(its, 9_000) if isinstance(a, views.Began)]) is bool(flags)
    two = node(goes("b", 1, 2**60), goes("c", 2, 2**60))
    assert [a for a in on_for(two, 5_000) if isinstance(a, views.Began)]
    two.handle(5_000, Heard([goes("b", edition=2), goes("c", edition=2)]))
    on_for(two, 3_000, 5_000)
    assert not two.steady.on  # as soon as it is taken back
    liar = node(goes("b", 1, 2**60), goes("c"))
    assert not [a for a in on_for(liar, 9_000) if isinstance(a, views.Began)]


def test_old_words_of_many_are_no_disagreement_for_as_long_as_a_turn_takes() -> None:
    its = node(*(goes(f"x{number}", files=(1, number % 2)) for number in range(60)))
    on_for(its, 200)
    began = [a for a in on_for(its, its.turn_ms - 600, 200) if isinstance(a, views.Began)]
    assert not began and its.turn_ms > 10_000
    assert [a for a in on_for(its, 3_000, its.turn_ms) if isinstance(a, views.Began)]


def test_a_list_that_changes_all_the_time_makes_nobody_late() -> None:
    its = node(goes("b"), goes("c"))
    for turn in range(200):
        for at, name in enumerate("abc"):
            word = goes(name, at, 2 + turn - at, edition=turn + 2)  # up to two rounds late
            its.handle(turn * 200, Mine(word) if name == "a" else Heard([word]))
        assert not [a for a in on_for(its, 200, turn * 200) if isinstance(a, views.Began)], turn


@given(st.lists(st.booleans(), max_size=40))
def test_what_is_steady_begins_and_ends_in_turn_and_never_by_a_short_one(present: list[bool]) -> None:
    its: Steady[str] = Steady(500, 1_500)
    events, run, last = [], 0, None
    for at, now in enumerate(present):
        run = run + 1 if now == last else 1
        last = now
        began, ended = its.update(at * 250.0, ["x"] if now else [])
        assert not began or (now and run >= 3)
        assert not ended or (not now and run >= 7)
        events += ["began"] * len(began) + ["ended"] * len(ended)
    assert events == [("began", "ended")[at % 2] for at in range(len(events))]


# --- entries that differ


@settings(max_examples=60, deadline=None)
@given(
    st.dictionaries(st.integers(0, 60), st.integers(1, 3)),
    st.dictionaries(st.integers(0, 60), st.integers(1, 3)),
    st.integers(1, 4),
)
def test_what_differs_is_found_and_nothing_else(
    one: dict[int, int], other: dict[int, int], down: int
) -> None:
    """Names that only the searched side has are counted, as it has no name for them."""
    sides = []
    for entries in (one, other):
        its = Halves(down)
        its.apply((member(n, 9.0) for n in range(61)), ())  # what came and went leaves nothing behind
        its.apply((), [member(n) for n in range(61) if n not in entries])
        its.apply([member(n, float(weight)) for n, weight in entries.items()], ())
        sides.append(its)
        fresh = Halves()
        fresh.apply([member(n, float(weight)) for n, weight in sorted(entries.items())], ())
        assert fresh.digest == its.digest
    assert (sides[0].digest == sides[1].digest) == (one == other)
    names = search(*sides)[0] | search(*reversed(sides))[0]
    assert names == {f"server-{n}" for n in one.keys() | other.keys() if one.get(n) != other.get(n)}


def test_a_search_in_ten_thousand_has_a_bound_whatever_is_asked() -> None:
    one, other = Halves(), Halves()
    one.apply(map(member, range(10_000)), ())
    other.apply(map(member, range(10_000)), ())
    other.apply([member(7, 2.0)], ())
    names, datagrams, size, _ = search(one, other)
    assert names == {"server-7"} and datagrams <= 6 and size <= datagrams * gossip.SIZE
    for start in (1, 200, halves.LEAVES):
        asked = halves.Digests(tuple((place, 1) for place in range(start, 2 * halves.LEAVES)))
        assert 1 < len(one.heard(asked)[0]) <= halves.ANSWERS
    assert one.heard(halves.Digests(((0, 1), (70_000, 1)))) == ([], None)


# --- cuts

FAR, NEAR = goes("b"), goes("c", flags=views.NO_DISCOVERY, zone_cut=cuts.zone_id("z"))
ZONES = {"z": (4, 4), "y": (4, 0)}
CASES = [
    (Saw(4, (), True), {}, Roles.KEEP, True),
    (Saw(3, ("e",), True), {From.SOME_PEERS: Verdict.UNKNOWN}, Roles.MAJORITY, True),
    (Saw(1, ("c", "d", "e"), True), {From.SOME_PEERS: Verdict.UNKNOWN}, Roles.MAJORITY, False),
    (Saw(0, ("b",), True), {From.PEERS: Verdict.UNKNOWN}, Roles.END, False),
    (Saw(2, (), False, words=(FAR, NEAR)), {From.DISCOVERY: Verdict.CUT}, Roles.KEEP, True),
    (Saw(1, (), False, words=(NEAR,)), {From.DISCOVERY: Verdict.AWAY}, Roles.KEEP, True),
    (Saw(0, (), False), {From.DISCOVERY: Verdict.UNKNOWN}, Roles.KEEP, True),
    (Saw(2, (), True, ZONES, (FAR, NEAR)), {From.ZONE: Verdict.CUT}, Roles.KEEP, True),
    (Saw(1, (), True, ZONES, (NEAR,)), {From.ZONE: Verdict.AWAY}, Roles.KEEP, True),
    (Saw(2, (), True, {"z": (4, 4)}, (FAR, NEAR)), {From.SERVERS: Verdict.CUT}, Roles.END, False),
    (
        Saw(0, ("b",), False, {"z": (4, 4)}),
        dict.fromkeys((From.PEERS, From.DISCOVERY, From.SERVERS, From.ALL), Verdict.UNKNOWN),
        Roles.END,
        False,
    ),
]


@pytest.mark.parametrize(("saw", "of", "roles", "keeps"), CASES)
def test_each_cut_is_told_apart_and_means_what_the_table_says(
    saw: Saw, of: dict[From, Verdict], roles: Roles, keeps: bool
) -> None:
    its = Cuts()
    began = [event for at in range(0, 1_000, 200) for event in its.handle(at, saw)]
    assert {event.of: event.verdict for event in began if isinstance(event, cuts.Began)} == of
    assert its.means.roles is roles and its.may_keep_roles is keeps
    assert its.means.drains == (From.DISCOVERY in of and From.PEERS not in of)
    assert cuts.MEANS.keys() == set(From)
    ended = [event for at in range(1_000, 4_000, 200) for event in its.handle(at, Saw(4, (), True))]
    assert {event.of for event in ended} == set(of) and not its.cut


def test_one_in_doubt_calls_nothing_a_cut_and_a_flapping_one_is_one() -> None:
    its, saw = Cuts(), Saw(0, ("b",), True)
    assert not [e for at in range(0, 5_000, 200) for e in its.handle(at, Saw(0, ("b",), False, doubt=True))]
    events = []
    for at in range(5_000, 30_000, 200):
        events += its.handle(at, saw if at // 1_000 % 2 else Saw(1, (), True))
    assert [type(event) for event in events] == [cuts.Began]


def test_a_cut_in_a_world_is_named_by_both_sides_once_and_views_meet_again() -> None:
    """With a node that knows nothing of all this: an older one."""
    world = World(10, 3, 0.1)
    old = world.address("n9")
    quiet, world.views[old] = world.views[old], Views("n9", Random(1), cost, room("n9"))
    assert quiet.words
    world.rounds(4_000)
    part = set(list(world.nodes)[:4])
    world.events.clear()
    world.cut = lambda one, other: (one in part) != (other in part)
    world.rounds(8_000)
    began = [(name, e.of) for _, name, e in world.events if isinstance(e, cuts.Began)]
    assert sorted(began) == sorted((node.name, From.SOME_PEERS) for node in world.nodes.values())
    world.say(world.address("n1"), goes("n1", 1, zone="moved"))
    world.cut = lambda one, other: False
    world.rounds(20_000)
    assert not any(its.cut for its in world.cuts.values())
    assert {its.words["n1"].zone for its in world.views.values()} == {"moved"}
    assert all(node.state("n9") == 0 for node in world.nodes.values() if node.name != "n9")
