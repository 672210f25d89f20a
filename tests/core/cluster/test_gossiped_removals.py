"""Drains and removals by peers' word: what is taken, what never is, and what one that lies can do."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.cluster import gossiped_removals as hearsay
from balancer.core.cluster.gossiped_removals import (
    Answer,
    Ask,
    Asked,
    Hearsay,
    Out,
    Own,
    Question,
    Round,
    Rule,
    Told,
)
from balancer.core.discovery.endpoint_merger import Listed, Membership, Source
from balancer.core.staggering import Turns
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


def node(revision: int = 1, in_sync: bool = True) -> Hearsay:
    its = Hearsay(Turns(3, 5, 50), Random(1), fits)
    its.handle(0, Own("platform", ORDER, revision, in_sync))
    its.handle(0, Round(WORDS, HERE, VIEW))
    return its


def told(
    its: Hearsay, at: float, senders: str, *servers: str, revision: int = 9, words: int = 10
) -> set[str]:
    """Who is out after a round."""
    out = [Out(server, revision, True) for server in servers]
    for sender in senders:
        its.handle(at, Told(sender, "platform", ORDER, out))
    its.handle(at, Round(WORDS[:words], HERE, VIEW))
    return {server for _, server in its.taken}


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
    its.handle(0, Told("b", "platform", ORDER + 1, [Out("server-1", 10, True)]))
    its.handle(0, Told("b", "etcd", ORDER, [Out("server-1", 10, True)]))
    its.handle(0, Told("b", "platform", ORDER, [Out("server-1", 9, True)]))
    assert not its.claims
    assert told(its, 0, "bc", "server-1", revision=10) == {"server-1"}


def test_the_own_source_ends_it_and_a_new_order_too() -> None:
    for own in (Own("platform", ORDER, 9, True), Own("platform", ORDER + 1, 1, True)):
        its = node(1, False)
        assert told(its, 0, "bc", "server-1")
        its.handle(1, own)
        (listed,) = (a for a in its.handle(1, Round(WORDS, HERE, VIEW)) if isinstance(a, Listed))
        assert not its.taken and not its.claims
        assert [m.endpoint.phase for m in listed.listing.records] == [
            Phase.UP
        ] and not listed.listing.removed_ids


def test_a_wrong_word_ends_while_the_source_is_in_sync_and_is_not_taken_again() -> None:
    """A list that changes all the time below it does not keep it; most of those that hear discovery do."""
    its = node()
    assert told(its, 0, "bc", "server-1", revision=2**60)
    for at in range(0, 6_000, 200):
        its.handle(at, Own("platform", ORDER, 2 + at, True))
        its.handle(at, Round(WORDS, HERE, VIEW))
    assert not its.taken and not told(its, 6_000, "bc", "server-1", revision=2**60)
    most = node()
    assert told(most, 0, "bcdefg", "server-1")
    for at in range(0, 60_000, 1_000):
        most.handle(at, Round(WORDS, HERE, VIEW))
    assert most.taken


def test_all_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, bound in (("CLAIMS", 6), ("WITNESSES", 4), ("LIES", 4), ("RECENT", 4)):
        monkeypatch.setattr(hearsay, name, bound)
    its = node()
    told(its, 0, "bcdefghijk", "server-1")
    assert len(its.claims["platform", "server-1"]) == 4
    for at in range(0, 30_000, 1_000):
        told(its, at, "bc", *list(VIEW)[: 20 if at < 9_000 else 6], revision=10 + at // 10_000)
        assert len(its.claims) <= 6 and len(its._lies) <= 4 and its._claimed.keys() == its.claims.keys()
        out = tuple(Out(f"x{number}", 1, True) for number in range(9))
        its.handle(at, Own("platform", ORDER, 1, True, out))
    assert len(its._lies) == 4 == len(its.own["platform"].out)


def test_the_own_source_is_asked_in_its_turn_and_ever_more_rarely() -> None:
    its, asks, questions = node(), [], 0
    for at in range(0, 120_000, 100):
        actions = its.handle(at, Round(WORDS, HERE, VIEW))
        asks += [at for action in actions if isinstance(action, Ask)]
        questions += sum(isinstance(action, Question) for action in actions)
    assert asks and hearsay.NEWER_MS <= asks[0] <= hearsay.NEWER_MS + its._turns.stretch_ms + 100
    assert len(asks) <= 3 * hearsay.TRIES and questions <= 120_000 / hearsay.AGAIN_MS * hearsay.ASKED
    its.handle(120_000, Own("platform", ORDER, 9, True))
    assert not its.handle(120_100, Round(WORDS, HERE, VIEW))


def test_answers_are_the_own_sources_word_and_fit_their_datagrams() -> None:
    its = node(1, False)
    assert told(its, 0, "bc", "server-1")
    assert not its.handle(0, Asked("x", "platform", ORDER, 0))  # hearsay is not told on
    out = tuple(Out(f"server-{number}", 2 + number, True) for number in range(60))
    its.handle(0, Own("platform", ORDER, 70, True, out))
    answers = [a for a in its.handle(0, Asked("x", "platform", ORDER, 50)) if isinstance(a, Answer)]
    assert [one.revision for answer in answers for one in answer.out] == list(range(61, 50, -1))
    assert all(2 + len(packed("platform", answer.out)) <= room("node-123") for answer in answers)
    assert len(its.handle(0, Asked("x", "platform", ORDER, 0))) == hearsay.ANSWERS
    assert not its.handle(hearsay.RECENT_MS + 1, Asked("x", "platform", ORDER, 0))
    assert goes_by.read_since(goes_by.since("platform", ORDER, 9)) == ("platform", ORDER, 9)


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
    its, merge, now = node(), Membership([Source("platform"), hearsay.source()]), 0.0
    listing = EndpointList(1, True, tuple(VIEW.values()))
    merge.handle(now, Listed("platform", "p", listing))
    while merge.sources["platform"].pending:
        merge._continue()
    told_at: dict[str, int] = {}
    revision, in_sync = 1, True
    for step in steps:
        if isinstance(step, tuple):
            sender, number, its_revision, gone, order = step
            name = f"server-{number}"
            its.handle(now, Told(sender, "platform", order, [Out(name, its_revision, gone)]))
            told_at[name] = max(told_at.get(name, 0), its_revision)
        elif isinstance(step, bool):
            in_sync = step
        elif isinstance(step, int):
            revision = max(revision, step)
        else:
            now += step
        its.handle(now, Own("platform", ORDER, revision, in_sync))
        for action in its.handle(now, Round(WORDS[:hearing], HERE, merge.view)):
            if isinstance(action, Listed):
                merge.handle(now, action)
        up = {name for name, one in merge.view.items() if one.endpoint.phase is Phase.UP}
        assert up <= VIEW.keys() and all(merge.view[name] == VIEW[name] for name in up)
        for name in VIEW.keys() - up:
            assert told_at[name] > revision
        assert len(VIEW) - len(up) == len(its.taken)


def test_what_was_lifted_is_forgotten_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hearsay, "LIFTED", 3)
    its, renewed = node(1, False), []
    for turn in range(8):
        told(its, turn, "bc", f"server-{turn}", revision=9 + turn)
        its.handle(turn, Own("platform", ORDER, 9 + turn, False))
        renewed += [a for a in its.handle(turn, Round(WORDS, HERE, VIEW)) if isinstance(a, hearsay.Renew)]
    assert len(renewed) == 2 and not its._listed
    told(its, 9, "bc", "server-1", revision=99)
    (first, *_) = (action for action in its._out if isinstance(action, Listed))
    assert first.listing.is_complete  # the source begins anew


@pytest.mark.parametrize(
    ("hears", "rule", "knows"), [(9, Rule.TAKEN, True), (1, Rule.TAKEN, True), (9, Rule.NOBODY, False)]
)
def test_one_cut_off_from_discovery_hears_of_a_drain_and_of_a_removal(
    hears: int, rule: Rule, knows: bool
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
        town.listed(address, Listed("platform", "p", EndpointList(town.revision, True, now)))
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
