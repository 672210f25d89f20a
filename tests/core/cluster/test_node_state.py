"""Tests of advertised node states: merging, dissemination and divergences."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.cluster import advertised_sources, gossiped_removals, node_state
from balancer.core.cluster.node_state import (
    AdvertisedState,
    DivergenceBegan,
    DivergenceEnded,
    DivergenceKind,
    GossipIntervalElapsed,
    NodeStateTable,
    OwnStateChanged,
    SendStates,
    StatesReceived,
    latest,
)
from balancer.core.discovery.endpoint_merger import (
    EndpointMerger,
    EndpointsListed,
    NextSliceDue,
)
from balancer.core.discovery.source_state import Source
from balancer.core.hysteresis import Hysteresis
from balancer.endpoints import EndpointList
from benchmarks.node_state_gossip import cost, goes, member, room

INTERVAL_MS = 200
STATES = st.builds(
    lambda incarnation, sequence_number, revision, digest: goes(
        "b", 1, revision, digest, incarnation=incarnation, sequence_number=sequence_number
    ),
    st.integers(1, 2),
    st.integers(1, 3),
    st.integers(1, 3),
    st.integers(0, 2),
)


def table_with(*others: AdvertisedState, own: AdvertisedState | None = None) -> NodeStateTable:
    """Returns the table of node "a" after it has received the others' states."""
    table = NodeStateTable("a", Random(1), cost, room("a"))
    table.handle(0, OwnStateChanged(own or goes("a")))
    table.handle(0, StatesReceived(others))
    return table


def run_for(table: NodeStateTable, duration_ms: float, start_ms: float = 0.0) -> list[node_state.Action]:
    """Returns the actions of the gossip intervals in that time, with all known nodes reachable."""
    addresses = {
        name: f"10.0.0.{number}:1" for number, name in enumerate(sorted(table.states)) if name != table.name
    }
    times_ms = range(int(start_ms), int(start_ms + duration_ms), INTERVAL_MS)
    return [
        action for now_ms in times_ms for action in table.handle(now_ms, GossipIntervalElapsed(addresses))
    ]


def begun_divergences(actions: list[node_state.Action]) -> list[DivergenceBegan]:
    return [action for action in actions if isinstance(action, DivergenceBegan)]


# --- merging


@given(STATES, STATES, STATES)
def test_latest_is_associative_commutative_and_idempotent(
    one: AdvertisedState, two: AdvertisedState, three: AdvertisedState
) -> None:
    assert latest(one, two) == latest(two, one) and latest(one, one) == one
    assert latest(latest(one, two), three) == latest(one, latest(two, three))


@given(st.lists(STATES, min_size=1, max_size=6), st.randoms())
def test_table_is_the_same_for_any_order_and_duplication_of_states(
    states: list[AdvertisedState], random: Random
) -> None:
    shuffled = states * 2
    random.shuffle(shuffled)
    assert table_with(*states).states["b"] == table_with(*shuffled).states["b"]


def test_own_state_is_raised_above_what_peers_hold_and_implausible_states_are_ignored() -> None:
    table = table_with(
        goes("a", 0, 9, sequence_number=40),
        goes("b", sequence_number=2**32 - 1),
        goes("c", incarnation=2**32 - 1),
    )
    assert table.states == {"a": goes("a", sequence_number=41)}


def test_table_and_datagrams_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_state, "MAX_PEERS", 100)
    table = table_with(*(goes(f"x{number}", zone="z" * (number % 50)) for number in range(200)))
    assert len(table.states) == 101
    sent = [action for action in run_for(table, 2_000) if isinstance(action, SendStates)]
    assert len(sent) == 20 and all(0 < sum(map(cost, send.states)) <= room("a") for send in sent)
    table.handle(0, GossipIntervalElapsed({"x1": "x"}))
    assert table.states.keys() == {"a", "x1"}


# --- advertised sources


def test_advertised_sources_exclude_gossip_and_are_comparable_with_complete_lists_only() -> None:
    merger = EndpointMerger([Source("platform"), gossiped_removals.gossip_source()])
    sources = merger.sources.values()
    assert advertised_sources.advertised_sources(sources) == (("platform", 0, 0, 0),)
    listed = EndpointsListed("platform", "p", EndpointList(7, True, tuple(map(member, range(501)))))
    merger.handle(0, listed)
    assert advertised_sources.advertised_sources(sources) == (
        ("platform", advertised_sources.identity_hash("p"), 7, 2),
    )
    assert not advertised_sources.is_comparable(sources)  # a slice is pending
    merger.handle(0, NextSliceDue())
    assert advertised_sources.is_comparable(sources)


def test_list_with_gossiped_removals_is_not_comparable() -> None:
    merger = EndpointMerger([Source("platform"), gossiped_removals.gossip_source()])
    records = tuple(map(member, range(3)))
    merger.handle(0, EndpointsListed("platform", "p", EndpointList(7, True, records)))
    merger.handle(0, EndpointsListed(node_state.GOSSIP_SOURCE_NAME, "", EndpointList(1, True, ())))
    assert advertised_sources.is_comparable(merger.sources.values())
    removal = EndpointList(2, False, (), ("server-1",))
    merger.handle(0, EndpointsListed(node_state.GOSSIP_SOURCE_NAME, "", removal))
    assert not advertised_sources.is_comparable(merger.sources.values())


# --- divergences


@pytest.mark.parametrize(
    ("kind", "subject", "fields"),
    [
        ("settings", "platform", {"settings_digests": (9, 2)}),
        ("settings", "operators", {"settings_digests": (1, 9)}),
        ("version", "", {"program_version": "0.35.0"}),
        ("list", "", {"digest": 9}),
        ("order", "platform", {"sources": (("platform", 9, 1, 2), ("etcd", 6, 1, 2))}),
    ],
)
def test_divergent_node_is_detected_by_itself_and_by_others(
    kind: str, subject: str, fields: dict[str, object]
) -> None:
    divergent = goes("b", **fields)  # type: ignore[arg-type]
    others_table = table_with(divergent, goes("c"))
    own_table = table_with(goes("b"), goes("c"), own=divergent._replace(name="a"))
    for table in (others_table, own_table):
        began = begun_divergences(run_for(table, 3_000))
        assert [(event.kind, event.subject, event.node_count) for event in began] == [(kind, subject, 1)]
        assert table.own_divergences == ([(kind, subject)] if began[0].node_names == ("a",) else [])
        table.handle(3_000, StatesReceived([goes("b", sequence_number=5)]))
        table.handle(3_000, OwnStateChanged(goes("a")))
        ended = [event for event in run_for(table, 4_000, 3_200) if isinstance(event, DivergenceEnded)]
        assert [(event.kind, event.subject) for event in ended] == [(kind, subject)]
        assert not table.own_divergences


@pytest.mark.parametrize(
    "others",
    [(goes("b", 1, 2, 9), goes("c", 2, 2, 9)), (goes("b", digest=0), goes("c"))],
    ids=["other revisions", "no digest"],
)
def test_list_digests_are_compared_at_the_same_revisions_only(others: tuple[AdvertisedState, ...]) -> None:
    table = table_with(*others)
    run_for(table, 1_000)
    assert (DivergenceKind.ENDPOINT_LIST, "") not in table.divergences


def test_divergence_between_equally_frequent_values_names_all_nodes() -> None:
    (began,) = begun_divergences(run_for(table_with(goes("b", digest=9)), 3_000))
    assert began.node_names == ("a", "b")


def test_node_behind_is_reported_after_the_allowed_lag_until_it_catches_up() -> None:
    table = table_with(goes("b", 1, 5), goes("c", 2, 5))  # node a has revision 1
    assert not begun_divergences(run_for(table, node_state.MAX_REVISION_LAG_MS))
    (began,) = begun_divergences(run_for(table, 3_000, node_state.MAX_REVISION_LAG_MS))
    assert began.node_names == ("a",) and "4 revisions" in began.reason
    assert table.states["a"].flags == node_state.FLAG_BEHIND
    table.handle(5_000, OwnStateChanged(goes("a", 0, 5)))
    assert run_for(table, 4_000, 5_000)[-1] != began and not table.states["a"].flags
    assert not table.divergence_hysteresis.active_since_ms


@pytest.mark.parametrize("flags", [0, node_state.FLAG_BEHIND])
def test_peer_is_reported_behind_by_its_own_flag_only(flags: int) -> None:
    """This node's copy of a peer's state may be out of date."""
    table = table_with(goes("b", 1, 1, flags=flags), goes("c", 2, 5), own=goes("a", 0, 5))
    assert bool(begun_divergences(run_for(table, 9_000))) is bool(flags)


def test_divergence_ends_when_the_newer_revision_is_withdrawn() -> None:
    table = table_with(goes("b", 1, 2**60), goes("c", 2, 2**60))
    assert begun_divergences(run_for(table, 5_000))
    table.handle(5_000, StatesReceived([goes("b", sequence_number=2), goes("c", sequence_number=2)]))
    run_for(table, 3_000, 5_000)
    assert not table.divergence_hysteresis.active_since_ms


def test_revision_advertised_by_one_of_three_nodes_makes_no_node_behind() -> None:
    assert not begun_divergences(run_for(table_with(goes("b", 1, 2**60), goes("c")), 9_000))


def test_states_being_propagated_are_no_divergence_during_the_propagation_time() -> None:
    states = (goes(f"x{number}", settings_digests=(1, number % 2)) for number in range(60))
    table = table_with(*states)
    run_for(table, 200)
    began = begun_divergences(run_for(table, table.propagation_ms - 600, 200))
    assert not began and table.propagation_ms > 10_000
    assert begun_divergences(run_for(table, 3_000, table.propagation_ms))


def test_continuously_changing_list_makes_no_node_behind() -> None:
    table = table_with(goes("b"), goes("c"))
    for turn in range(200):
        now_ms = turn * INTERVAL_MS
        for index, name in enumerate("abc"):  # up to two intervals behind
            state = goes(name, index, 2 + turn - index, sequence_number=turn + 2)
            table.handle(now_ms, OwnStateChanged(state) if name == "a" else StatesReceived([state]))
        assert not begun_divergences(run_for(table, INTERVAL_MS, now_ms)), turn


@given(st.lists(st.booleans(), max_size=40))
def test_hysteresis_begins_and_ends_alternate_and_need_their_delays(present: list[bool]) -> None:
    hysteresis: Hysteresis[str] = Hysteresis(500, 1_500)
    events, run_length, last = [], 0, None
    for index, is_present in enumerate(present):
        run_length = run_length + 1 if is_present == last else 1
        last = is_present
        began, ended = hysteresis.update(index * 250.0, ["x"] if is_present else [])
        assert not began or (is_present and run_length >= 3)
        assert not ended or (not is_present and run_length >= 7)
        events += ["began"] * len(began) + ["ended"] * len(ended)
    assert events == [("began", "ended")[index % 2] for index in range(len(events))]
