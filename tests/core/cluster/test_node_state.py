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
from balancer.core.cluster.anti_entropy import DigestTree
from balancer.core.cluster.node_state import (
    AdvertisedState,
    GossipIntervalElapsed,
    NodeStateTable,
    OwnStateChanged,
    StatesReceived,
    latest,
)
from balancer.core.cluster.partition_detector import (
    Evidence,
    LeasePolicy,
    PartitionDetector,
    PartitionScope,
    Verdict,
)
from balancer.core.discovery.endpoint_merger import EndpointMerger, EndpointsListed, NextSliceDue
from balancer.core.discovery.source_state import Source
from balancer.core.hysteresis import Hysteresis
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
    lambda its, edition, revision, digest: goes(
        "b", 1, revision, digest, incarnation=its, sequence_number=edition
    ),
    st.integers(1, 2),
    st.integers(1, 3),
    st.integers(1, 3),
    st.integers(0, 2),
)


def node(*others: AdvertisedState, mine: AdvertisedState | None = None) -> NodeStateTable:
    its = NodeStateTable("a", Random(1), cost, room("a"))
    its.handle(0, OwnStateChanged(mine or goes("a")))
    its.handle(0, StatesReceived(others))
    return its


def on_for(its: NodeStateTable, ms: float, start: float = 0.0) -> list[views.Action]:
    here = {name: f"10.0.0.{at}:1" for at, name in enumerate(sorted(its.states)) if name != its.name}
    times = range(int(start), int(start + ms), 200)
    return [action for at in times for action in its.handle(at, GossipIntervalElapsed(here))]


# --- merging


@given(WORDS, WORDS, WORDS)
def test_merging_is_associative_commutative_and_idempotent(
    one: AdvertisedState, two: AdvertisedState, three: AdvertisedState
) -> None:
    assert latest(one, two) == latest(two, one) and latest(one, one) == one
    assert latest(latest(one, two), three) == latest(one, latest(two, three))


@given(st.lists(WORDS, min_size=1, max_size=6), st.randoms())
def test_order_and_doubling_of_words_do_not_matter(words: list[AdvertisedState], random: Random) -> None:
    again = words * 2
    random.shuffle(again)
    assert node(*words).states["b"] == node(*again).states["b"]


def test_a_word_is_put_above_what_others_hold_of_its_node_and_a_lie_has_a_bound() -> None:
    its = node(
        goes("a", 0, 9, sequence_number=40),
        goes("b", sequence_number=2**32 - 1),
        goes("c", incarnation=2**32 - 1),
    )
    assert its.states == {"a": goes("a", sequence_number=41)}


def test_words_are_bounded_and_every_datagram_fits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(views, "MAX_PEERS", 100)
    its = node(*(goes(f"x{number}", zone="z" * (number % 50)) for number in range(200)))
    assert len(its.states) == 101
    sent = [action for action in on_for(its, 2_000) if isinstance(action, views.SendStates)]
    assert len(sent) == 20 and all(0 < sum(map(cost, send.states)) <= room("a") for send in sent)
    its.handle(0, GossipIntervalElapsed({"x1": "x"}))
    assert its.states.keys() == {"a", "x1"}


# --- who disagrees


@pytest.mark.parametrize(
    ("what", "of", "other"),
    [
        ("settings", "platform", {"settings_digests": (9, 2)}),
        ("settings", "operators", {"settings_digests": (1, 9)}),
        ("version", "", {"program_version": "0.35.0"}),
        ("list", "", {"digest": 9}),
        ("order", "platform", {"sources": (("platform", 9, 1, 2), ("etcd", 6, 1, 2))}),
    ],
)
def test_the_odd_one_is_named_by_itself_and_by_others(what: str, of: str, other: dict[str, object]) -> None:
    odd = goes("b", **other)  # type: ignore[arg-type]
    for its in (node(odd, goes("c")), node(goes("b"), goes("c"), mine=odd._replace(name="a"))):
        began = [action for action in on_for(its, 3_000) if isinstance(action, views.DivergenceBegan)]
        assert [(action.kind, action.subject, action.node_count) for action in began] == [(what, of, 1)]
        assert its.own_divergences == ([(what, of)] if began[0].node_names == ("a",) else [])
        its.handle(3_000, StatesReceived([goes("b", sequence_number=5)]))
        its.handle(3_000, OwnStateChanged(goes("a")))
        ended = [action for action in on_for(its, 4_000, 3_200) if isinstance(action, views.DivergenceEnded)]
        assert [(action.kind, action.subject) for action in ended] == [(what, of)] and not its.own_divergences


def test_lists_are_compared_at_the_same_revisions_only_and_a_tie_names_both() -> None:
    for others in ((goes("b", 1, 2, 9), goes("c", 2, 2, 9)), (goes("b", digest=0), goes("c"))):
        its = node(*others)
        on_for(its, 1_000)
        assert ("list", "") not in its.divergences
    its = node(goes("b", digest=9))
    (began,) = (action for action in on_for(its, 3_000) if isinstance(action, views.DivergenceBegan))
    assert began.node_names == ("a", "b")


def test_a_word_says_what_the_own_sources_are_at_and_no_digest_of_what_is_not_theirs() -> None:
    merge = EndpointMerger([Source("platform"), hearsay.gossip_source()])
    assert views.advertised_sources(merge.sources.values()) == (("platform", 0, 0, 0),)
    merge.handle(0, EndpointsListed("platform", "p", EndpointList(7, True, tuple(map(member, range(501))))))
    assert views.advertised_sources(merge.sources.values()) == (("platform", views.identity_hash("p"), 7, 2),)
    assert not views.is_comparable(merge.sources.values())  # a slice waits
    merge.handle(0, NextSliceDue())
    assert views.is_comparable(merge.sources.values())
    for number, listing in enumerate((EndpointList(1, True, ()), EndpointList(2, False, (), ("server-1",)))):
        merge.handle(0, EndpointsListed(views.GOSSIP_SOURCE_NAME, "", listing))
        assert views.is_comparable(merge.sources.values()) is not bool(number)


def test_who_is_behind_is_named_late_enough_and_not_for_one_that_lies() -> None:
    its = node(goes("b", 1, 5), goes("c", 2, 5))  # a: revision 1
    assert not [a for a in on_for(its, views.MAX_REVISION_LAG_MS) if isinstance(a, views.DivergenceBegan)]
    (began,) = (
        a for a in on_for(its, 3_000, views.MAX_REVISION_LAG_MS) if isinstance(a, views.DivergenceBegan)
    )
    assert (
        began.node_names == ("a",)
        and "4 revisions" in began.reason
        and its.states["a"].flags == views.FLAG_BEHIND
    )
    its.handle(5_000, OwnStateChanged(goes("a", 0, 5)))
    assert (
        on_for(its, 4_000, 5_000)[-1] != began
        and not its.states["a"].flags
        and not its.divergence_hysteresis.active_since_ms
    )
    for flags in (
        0,
        views.FLAG_BEHIND,
    ):  # others are late by their own word alone, as what is held may be old
        its = node(goes("b", 1, 1, flags=flags), goes("c", 2, 5), mine=goes("a", 0, 5))
        assert bool([a for a in on_for(its, 9_000) if isinstance(a, views.DivergenceBegan)]) is bool(flags)
    two = node(goes("b", 1, 2**60), goes("c", 2, 2**60))
    assert [a for a in on_for(two, 5_000) if isinstance(a, views.DivergenceBegan)]
    two.handle(5_000, StatesReceived([goes("b", sequence_number=2), goes("c", sequence_number=2)]))
    on_for(two, 3_000, 5_000)
    assert not two.divergence_hysteresis.active_since_ms  # as soon as it is taken back
    liar = node(goes("b", 1, 2**60), goes("c"))
    assert not [a for a in on_for(liar, 9_000) if isinstance(a, views.DivergenceBegan)]


def test_old_words_of_many_are_no_disagreement_for_as_long_as_a_turn_takes() -> None:
    its = node(*(goes(f"x{number}", settings_digests=(1, number % 2)) for number in range(60)))
    on_for(its, 200)
    began = [a for a in on_for(its, its.propagation_ms - 600, 200) if isinstance(a, views.DivergenceBegan)]
    assert not began and its.propagation_ms > 10_000
    assert [a for a in on_for(its, 3_000, its.propagation_ms) if isinstance(a, views.DivergenceBegan)]


def test_a_list_that_changes_all_the_time_makes_nobody_late() -> None:
    its = node(goes("b"), goes("c"))
    for turn in range(200):
        for at, name in enumerate("abc"):
            word = goes(name, at, 2 + turn - at, sequence_number=turn + 2)  # up to two rounds late
            its.handle(turn * 200, OwnStateChanged(word) if name == "a" else StatesReceived([word]))
        assert not [a for a in on_for(its, 200, turn * 200) if isinstance(a, views.DivergenceBegan)], turn


@given(st.lists(st.booleans(), max_size=40))
def test_what_is_steady_begins_and_ends_in_turn_and_never_by_a_short_one(present: list[bool]) -> None:
    its: Hysteresis[str] = Hysteresis(500, 1_500)
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
        its = DigestTree(down)
        its.apply((member(n, 9.0) for n in range(61)), ())  # what came and went leaves nothing behind
        its.apply((), [member(n) for n in range(61) if n not in entries])
        its.apply([member(n, float(weight)) for n, weight in entries.items()], ())
        sides.append(its)
        fresh = DigestTree()
        fresh.apply([member(n, float(weight)) for n, weight in sorted(entries.items())], ())
        assert fresh.digest == its.digest
    assert (sides[0].digest == sides[1].digest) == (one == other)
    names = search(*sides)[0] | search(*reversed(sides))[0]
    assert names == {f"server-{n}" for n in one.keys() | other.keys() if one.get(n) != other.get(n)}


def test_a_search_in_ten_thousand_has_a_bound_whatever_is_asked() -> None:
    one, other = DigestTree(), DigestTree()
    one.apply(map(member, range(10_000)), ())
    other.apply(map(member, range(10_000)), ())
    other.apply([member(7, 2.0)], ())
    names, datagrams, size, _ = search(one, other)
    assert names == {"server-7"} and datagrams <= 6 and size <= datagrams * gossip.MAX_DATAGRAM_BYTES
    for start in (1, 200, halves.LEAF_COUNT):
        asked = halves.TreeDigests(tuple((place, 1) for place in range(start, 2 * halves.LEAF_COUNT)))
        assert 1 < len(one.receive(asked)[0]) <= halves.MAX_ANSWER_DATAGRAMS
    assert one.receive(halves.TreeDigests(((0, 1), (70_000, 1)))) == ([], None)


# --- cuts

FAR, NEAR = goes("b"), goes("c", flags=views.FLAG_NO_DISCOVERY, partitioned_zone_id=cuts.zone_id("z"))
ZONES = {"z": (4, 4), "y": (4, 0)}
CASES = [
    (Evidence(4, (), True), {}, LeasePolicy.KEEP, True),
    (
        Evidence(3, ("e",), True),
        {PartitionScope.SOME_PEERS: Verdict.UNKNOWN},
        LeasePolicy.REQUIRE_MAJORITY,
        True,
    ),
    (
        Evidence(1, ("c", "d", "e"), True),
        {PartitionScope.SOME_PEERS: Verdict.UNKNOWN},
        LeasePolicy.REQUIRE_MAJORITY,
        False,
    ),
    (Evidence(0, ("b",), True), {PartitionScope.ALL_PEERS: Verdict.UNKNOWN}, LeasePolicy.RELEASE, False),
    (
        Evidence(2, (), False, peer_states=(FAR, NEAR)),
        {PartitionScope.DISCOVERY: Verdict.PARTITIONED},
        LeasePolicy.KEEP,
        True,
    ),
    (
        Evidence(1, (), False, peer_states=(NEAR,)),
        {PartitionScope.DISCOVERY: Verdict.TARGET_DOWN},
        LeasePolicy.KEEP,
        True,
    ),
    (Evidence(0, (), False), {PartitionScope.DISCOVERY: Verdict.UNKNOWN}, LeasePolicy.KEEP, True),
    (
        Evidence(2, (), True, ZONES, (FAR, NEAR)),
        {PartitionScope.BACKEND_ZONE: Verdict.PARTITIONED},
        LeasePolicy.KEEP,
        True,
    ),
    (
        Evidence(1, (), True, ZONES, (NEAR,)),
        {PartitionScope.BACKEND_ZONE: Verdict.TARGET_DOWN},
        LeasePolicy.KEEP,
        True,
    ),
    (
        Evidence(2, (), True, {"z": (4, 4)}, (FAR, NEAR)),
        {PartitionScope.ALL_BACKENDS: Verdict.PARTITIONED},
        LeasePolicy.RELEASE,
        False,
    ),
    (
        Evidence(0, ("b",), False, {"z": (4, 4)}),
        dict.fromkeys(
            (
                PartitionScope.ALL_PEERS,
                PartitionScope.DISCOVERY,
                PartitionScope.ALL_BACKENDS,
                PartitionScope.EVERYTHING,
            ),
            Verdict.UNKNOWN,
        ),
        LeasePolicy.RELEASE,
        False,
    ),
]


@pytest.mark.parametrize(("saw", "of", "roles", "keeps"), CASES)
def test_each_cut_is_told_apart_and_means_what_the_table_says(
    saw: Evidence, of: dict[PartitionScope, Verdict], roles: LeasePolicy, keeps: bool
) -> None:
    its = PartitionDetector()
    began = [event for at in range(0, 1_000, 200) for event in its.handle(at, saw)]
    assert {event.scope: event.verdict for event in began if isinstance(event, cuts.PartitionBegan)} == of
    assert its.consequences.lease_policy is roles and its.may_hold_leases is keeps
    assert its.consequences.accepts_gossiped_removals == (
        PartitionScope.DISCOVERY in of and PartitionScope.ALL_PEERS not in of
    )
    assert cuts.CONSEQUENCES.keys() == set(PartitionScope)
    ended = [event for at in range(1_000, 4_000, 200) for event in its.handle(at, Evidence(4, (), True))]
    assert {event.scope for event in ended} == set(of) and not its.partitions


def test_one_in_doubt_calls_nothing_a_cut_and_a_flapping_one_is_one() -> None:
    its, saw = PartitionDetector(), Evidence(0, ("b",), True)
    assert not [
        e for at in range(0, 5_000, 200) for e in its.handle(at, Evidence(0, ("b",), False, is_in_doubt=True))
    ]
    events = []
    for at in range(5_000, 30_000, 200):
        events += its.handle(at, saw if at // 1_000 % 2 else Evidence(1, (), True))
    assert [type(event) for event in events] == [cuts.PartitionBegan]


def test_a_cut_in_a_world_is_named_by_both_sides_once_and_views_meet_again() -> None:
    """With a node that knows nothing of all this: an older one."""
    world = World(10, 3, 0.1)
    old = world.address("n9")
    quiet, world.views[old] = world.views[old], NodeStateTable("n9", Random(1), cost, room("n9"))
    assert quiet.states
    world.rounds(4_000)
    part = set(list(world.nodes)[:4])
    world.events.clear()
    world.cut = lambda one, other: (one in part) != (other in part)
    world.rounds(8_000)
    began = [(name, e.scope) for _, name, e in world.events if isinstance(e, cuts.PartitionBegan)]
    assert sorted(began) == sorted((node.name, PartitionScope.SOME_PEERS) for node in world.nodes.values())
    world.say(world.address("n1"), goes("n1", 1, zone="moved"))
    world.cut = lambda one, other: False
    world.rounds(20_000)
    assert not any(its.partitions for its in world.cuts.values())
    assert {its.states["n1"].zone for its in world.views.values()} == {"moved"}
    assert all(node.state_of("n9") == 0 for node in world.nodes.values() if node.name != "n9")
