"""Drains and removals by peers' word: what is taken, what never is, and what one that lies can do."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.cluster import gossiped_removals as hearsay
from balancer.core.cluster.gossiped_removals import (
    AcceptanceRule,
    FetchSnapshot,
    GossipedRemovals,
    GossipIntervalElapsed,
    QueryRemovals,
    RemovalsQueried,
    RemovalsReceived,
    ReportedRemoval,
    SendRemovals,
    SourceAdvanced,
)
from balancer.core.discovery.endpoint_merger import EndpointMerger, EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList
from balancer.interface import Phase
from balancer.protocol import gossip_sections as goes_by
from benchmarks.gossiped_removals import (
    ORDER,
    SERVERS,
    Town,
    fits,
    packed,
)
from benchmarks.node_state_gossip import goes, member, room

VIEW = {f"server-{number}": member(number) for number in range(20)}
WORDS = [goes(name, at, 9) for at, name in enumerate("bcdefghijk")]
HERE = {name: f"10.0.0.{at}:1" for at, name in enumerate("bcdefghijk")}


def node(revision: int = 1, in_sync: bool = True) -> GossipedRemovals:
    its = GossipedRemovals(StaggeredSchedule(3, 5, 50), Random(1), fits)
    its.handle(0, SourceAdvanced("platform", ORDER, revision, in_sync))
    its.handle(0, GossipIntervalElapsed(WORDS, HERE, VIEW))
    return its


def told(
    its: GossipedRemovals, at: float, senders: str, *servers: str, revision: int = 9, words: int = 10
) -> set[str]:
    """Who is out after a round."""
    out = [ReportedRemoval(server, revision, True) for server in servers]
    for sender in senders:
        its.handle(at, RemovalsReceived(sender, "platform", ORDER, out))
    its.handle(at, GossipIntervalElapsed(WORDS[:words], HERE, VIEW))
    return {server for _, server in its.accepted}


@pytest.mark.parametrize(
    ("in_sync", "senders", "hearing", "taken"),
    [
        (True, "b", 10, 0),
        (True, "bb", 10, 0),
        (False, "b", 10, 0),
        (True, "b", 1, 0),
        (False, "b", 1, 2),
        (True, "bc", 10, 5),
        (False, "bc", 10, 5),
        (False, "bcdefg", 10, 20),
        (False, "bc", 3, 20),
        (True, "bc", 3, 5),
    ],
)
def test_how_many_are_taken_by_whose_word(in_sync: bool, senders: str, hearing: int, taken: int) -> None:
    assert len(told(node(1, in_sync), 0, senders, *VIEW, words=hearing)) == taken


def test_an_older_word_another_order_and_a_server_not_listed_change_nothing() -> None:
    its = node(9)
    assert not told(its, 0, "bcd", "server-1")
    assert not told(its, 0, "bcd", "server-x", revision=10) and not its.claims
    its.handle(0, RemovalsReceived("b", "platform", ORDER + 1, [ReportedRemoval("server-1", 10, True)]))
    its.handle(0, RemovalsReceived("b", "etcd", ORDER, [ReportedRemoval("server-1", 10, True)]))
    its.handle(0, RemovalsReceived("b", "platform", ORDER, [ReportedRemoval("server-1", 9, True)]))
    assert not its.claims
    assert told(its, 0, "bc", "server-1", revision=10) == {"server-1"}


def test_the_own_source_ends_it_and_a_new_order_too() -> None:
    for own in (SourceAdvanced("platform", ORDER, 9, True), SourceAdvanced("platform", ORDER + 1, 1, True)):
        its = node(1, False)
        assert told(its, 0, "bc", "server-1")
        its.handle(1, own)
        (listed,) = (
            a
            for a in its.handle(1, GossipIntervalElapsed(WORDS, HERE, VIEW))
            if isinstance(a, EndpointsListed)
        )
        assert not its.accepted and not its.claims
        assert [m.endpoint.phase for m in listed.endpoint_list.records] == [
            Phase.UP
        ] and not listed.endpoint_list.removed_ids


def test_a_wrong_word_ends_while_the_source_is_in_sync_and_is_not_taken_again() -> None:
    """A list that changes all the time below it does not keep it; most of those that hear discovery do."""
    its = node()
    assert told(its, 0, "bc", "server-1", revision=2**60)
    for at in range(0, 6_000, 200):
        its.handle(at, SourceAdvanced("platform", ORDER, 2 + at, True))
        its.handle(at, GossipIntervalElapsed(WORDS, HERE, VIEW))
    assert not its.accepted and not told(its, 6_000, "bc", "server-1", revision=2**60)
    most = node()
    assert told(most, 0, "bcdefg", "server-1")
    for at in range(0, 60_000, 1_000):
        most.handle(at, GossipIntervalElapsed(WORDS, HERE, VIEW))
    assert most.accepted


def test_all_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, bound in (("CLAIMS", 6), ("WITNESSES", 4), ("LIES", 4), ("RECENT", 4)):
        monkeypatch.setattr(hearsay, name, bound)
    its = node()
    told(its, 0, "bcdefghijk", "server-1")
    assert len(its.claims["platform", "server-1"]) == 4
    for at in range(0, 30_000, 1_000):
        told(its, at, "bc", *list(VIEW)[: 20 if at < 9_000 else 6], revision=10 + at // 10_000)
        assert (
            len(its.claims) <= 6
            and len(its._refuted) <= 4
            and its._claimed_since_ms.keys() == its.claims.keys()
        )
        out = tuple(ReportedRemoval(f"x{number}", 1, True) for number in range(9))
        its.handle(at, SourceAdvanced("platform", ORDER, 1, True, out))
    assert len(its._refuted) == 4 == len(its.sources["platform"].recent_removals)


def test_the_own_source_is_asked_in_its_turn_and_ever_more_rarely() -> None:
    its, asks, questions = node(), [], 0
    for at in range(0, 120_000, 100):
        actions = its.handle(at, GossipIntervalElapsed(WORDS, HERE, VIEW))
        asks += [at for action in actions if isinstance(action, FetchSnapshot)]
        questions += sum(isinstance(action, QueryRemovals) for action in actions)
    assert (
        asks
        and hearsay.NEWER_REVISION_GRACE_MS
        <= asks[0]
        <= hearsay.NEWER_REVISION_GRACE_MS + its._time_slots.period_ms + 100
    )
    assert (
        len(asks) <= 3 * hearsay.MAX_FETCHES_BEFORE_PAUSE
        and questions <= 120_000 / hearsay.QUERY_INTERVAL_MS * hearsay.MAX_PEERS_QUERIED
    )
    its.handle(120_000, SourceAdvanced("platform", ORDER, 9, True))
    assert not its.handle(120_100, GossipIntervalElapsed(WORDS, HERE, VIEW))


def test_answers_are_the_own_sources_word_and_fit_their_datagrams() -> None:
    its = node(1, False)
    assert told(its, 0, "bc", "server-1")
    assert not its.handle(0, RemovalsQueried("x", "platform", ORDER, 0))  # hearsay is not told on
    out = tuple(ReportedRemoval(f"server-{number}", 2 + number, True) for number in range(60))
    its.handle(0, SourceAdvanced("platform", ORDER, 70, True, out))
    answers = [
        a for a in its.handle(0, RemovalsQueried("x", "platform", ORDER, 50)) if isinstance(a, SendRemovals)
    ]
    assert [one.revision for answer in answers for one in answer.removals] == list(range(61, 50, -1))
    assert all(2 + len(packed("platform", answer.removals)) <= room("node-123") for answer in answers)
    assert len(its.handle(0, RemovalsQueried("x", "platform", ORDER, 0))) == hearsay.MAX_ANSWER_DATAGRAMS
    assert not its.handle(hearsay.RECENT_REMOVAL_TTL_MS + 1, RemovalsQueried("x", "platform", ORDER, 0))
    assert goes_by.decode_removals_query(goes_by.encode_removals_query("platform", ORDER, 9)) == (
        "platform",
        ORDER,
        9,
    )


STEP = st.one_of(
    st.tuples(
        st.sampled_from("bcdx"), st.integers(0, 25), st.integers(1, 30), st.booleans(), st.integers(5, 6)
    ),
    st.integers(1, 20),
    st.booleans(),
    st.floats(0, 6_000),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=30), st.integers(0, 10))
def test_never_an_addition_nor_an_older_word_out_of_peers(
    steps: list[tuple[str, int, int, bool, int] | int | bool | float], hearing: int
) -> None:
    """Beside the real merge: peers only take away, and nothing at or below the own source's revision."""
    its, merge, now = node(), EndpointMerger([Source("platform"), hearsay.gossip_source()]), 0.0
    listing = EndpointList(1, True, tuple(VIEW.values()))
    merge.handle(now, EndpointsListed("platform", "p", listing))
    while merge.sources["platform"].pending_records:
        merge._apply_next_slice()
    told_at: dict[str, int] = {}
    revision, in_sync = 1, True
    for step in steps:
        if isinstance(step, tuple):
            sender, number, its_revision, gone, order = step
            name = f"server-{number}"
            its.handle(
                now, RemovalsReceived(sender, "platform", order, [ReportedRemoval(name, its_revision, gone)])
            )
            told_at[name] = max(told_at.get(name, 0), its_revision)
        elif isinstance(step, bool):
            in_sync = step
        elif isinstance(step, int):
            revision = max(revision, step)
        else:
            now += step
        its.handle(now, SourceAdvanced("platform", ORDER, revision, in_sync))
        for action in its.handle(now, GossipIntervalElapsed(WORDS[:hearing], HERE, merge.view)):
            if isinstance(action, EndpointsListed):
                merge.handle(now, action)
        up = {name for name, one in merge.view.items() if one.endpoint.phase is Phase.UP}
        assert up <= VIEW.keys() and all(merge.view[name] == VIEW[name] for name in up)
        for name in VIEW.keys() - up:
            assert told_at[name] > revision
        assert len(VIEW) - len(up) == len(its.accepted)


def test_what_was_lifted_is_forgotten_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hearsay, "MAX_WITHDRAWN_REMOVALS", 3)
    its, renewed = node(1, False), []
    for turn in range(8):
        told(its, turn, "bc", f"server-{turn}", revision=9 + turn)
        its.handle(turn, SourceAdvanced("platform", ORDER, 9 + turn, False))
        renewed += [
            a
            for a in its.handle(turn, GossipIntervalElapsed(WORDS, HERE, VIEW))
            if isinstance(a, hearsay.ResetGossipSource)
        ]
    assert len(renewed) == 2 and not its._listed
    told(its, 9, "bc", "server-1", revision=99)
    (first, *_) = (action for action in its._actions if isinstance(action, EndpointsListed))
    assert first.endpoint_list.is_complete  # the source begins anew


@pytest.mark.parametrize(
    ("hears", "rule", "knows"),
    [
        (9, AcceptanceRule.TWO_REPORTERS_OR_ONLY_SOURCE, True),
        (1, AcceptanceRule.TWO_REPORTERS_OR_ONLY_SOURCE, True),
        (9, AcceptanceRule.NEVER, False),
    ],
)
def test_one_cut_off_from_discovery_hears_of_a_drain_and_of_a_removal(
    hears: int, rule: AcceptanceRule, knows: bool
) -> None:
    town = Town(10, 1, 0.0, rule)
    town.rounds(4_000)
    cut = list(town.nodes)[hears:]
    town.hush(*cut)
    town.rounds(6_000)
    town.out(3)
    town.out(4, gone=True)
    took = town.rounds(6_000, lambda: all(town.missing(address) == 2 for address in cut))
    assert (took < 2_000) is knows
    town.deaf.clear()
    town.silent_at = dict.fromkeys(town.nodes, float("inf"))
    for address in cut:  # its source has come back, and has another word
        now = tuple(map(member, range(SERVERS)))
        town.held[address] = town.revision = town.revision + 1
        town.listed(address, EndpointsListed("platform", "p", EndpointList(town.revision, True, now)))
    town.rounds(1_000)
    assert not any(map(town.missing, cut))


def test_one_that_lies_to_all_takes_nothing_away_where_two_hear_discovery() -> None:
    town = Town(8, 1)
    town.rounds(4_000)
    town.hush(*list(town.nodes)[4:])
    town.rounds(4_000)
    for _ in range(30):
        town.lie(["n1"], range(SERVERS))
        town.rounds(200)
        assert not any(map(town.missing, town.nodes))
