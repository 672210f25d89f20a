"""Tests of gossiped removals: which reports are accepted, and the limits on the effect of false reports."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.cluster import gossiped_removals
from balancer.core.cluster.gossiped_removals import (
    AcceptanceRule,
    FetchSnapshot,
    GossipedRemovals,
    GossipIntervalElapsed,
    QueryRemovals,
    RemovalKey,
    RemovalsQueried,
    RemovalsReceived,
    ReportedRemoval,
    ResetGossipSource,
    SendRemovals,
    SourceAdvanced,
)
from balancer.core.discovery.endpoint_merger import EndpointMerger, EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList
from balancer.interface import Phase
from balancer.protocol import gossip_sections
from benchmarks.gossiped_removals import (
    ORDER,
    SERVERS,
    Town,
    fits,
    packed,
)
from benchmarks.node_state_gossip import goes, member, room

ENDPOINTS = {f"server-{number}": member(number) for number in range(20)}
STATES = [goes(name, index, 9) for index, name in enumerate("bcdefghijk")]
ADDRESSES = {name: f"10.0.0.{index}:1" for index, name in enumerate("bcdefghijk")}
INTERVAL = GossipIntervalElapsed(STATES, ADDRESSES, ENDPOINTS)
NEVER_MS = float("inf")


def removals_at(revision: int = 1, in_sync: bool = True) -> GossipedRemovals:
    """Returns the state machine of a node whose own source is at `revision`."""
    removals = GossipedRemovals(StaggeredSchedule(3, 5, 50), Random(1), fits)
    removals.handle(0, SourceAdvanced("platform", ORDER, revision, in_sync))
    removals.handle(0, INTERVAL)
    return removals


def report(
    removals: GossipedRemovals,
    now_ms: float,
    reporters: str,
    *endpoint_ids: str,
    revision: int = 9,
    synced_peer_count: int = 10,
) -> set[str]:
    """Lets each reporter, a letter, report the endpoints as removed; returns the accepted ones."""
    reported = [ReportedRemoval(endpoint_id, revision, True) for endpoint_id in endpoint_ids]
    for reporter in reporters:
        removals.handle(now_ms, RemovalsReceived(reporter, "platform", ORDER, reported))
    removals.handle(now_ms, GossipIntervalElapsed(STATES[:synced_peer_count], ADDRESSES, ENDPOINTS))
    return {key.endpoint_id for key in removals.accepted}


@pytest.mark.parametrize(
    ("in_sync", "reporters", "synced_peer_count", "accepted_count"),
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
def test_number_of_accepted_removals_depends_on_their_reporters(
    in_sync: bool, reporters: str, synced_peer_count: int, accepted_count: int
) -> None:
    removals = removals_at(1, in_sync)
    accepted = report(removals, 0, reporters, *ENDPOINTS, synced_peer_count=synced_peer_count)
    assert len(accepted) == accepted_count


def test_report_of_an_old_revision_another_identity_or_an_unlisted_endpoint_is_ignored() -> None:
    removals = removals_at(9)
    assert not report(removals, 0, "bcd", "server-1")
    assert not report(removals, 0, "bcd", "server-x", revision=10) and not removals.claims
    newer = [ReportedRemoval("server-1", 10, True)]
    removals.handle(0, RemovalsReceived("b", "platform", ORDER + 1, newer))
    removals.handle(0, RemovalsReceived("b", "etcd", ORDER, newer))
    removals.handle(0, RemovalsReceived("b", "platform", ORDER, [ReportedRemoval("server-1", 9, True)]))
    assert not removals.claims
    assert report(removals, 0, "bc", "server-1", revision=10) == {"server-1"}


@pytest.mark.parametrize(
    "advanced",
    [SourceAdvanced("platform", ORDER, 9, True), SourceAdvanced("platform", ORDER + 1, 1, True)],
    ids=["revision reached", "another identity"],
)
def test_accepted_removal_is_withdrawn_when_the_own_source_advances(advanced: SourceAdvanced) -> None:
    removals = removals_at(1, False)
    assert report(removals, 0, "bc", "server-1")
    removals.handle(1, advanced)
    (listed,) = (a for a in removals.handle(1, INTERVAL) if isinstance(a, EndpointsListed))
    assert not removals.accepted and not removals.claims
    assert [record.endpoint.phase for record in listed.endpoint_list.records] == [Phase.UP]
    assert not listed.endpoint_list.removed_ids


def test_false_removal_is_refuted_while_the_source_is_in_sync_and_not_accepted_again() -> None:
    """The list meanwhile changes continuously, at revisions below the false one."""
    removals = removals_at()
    assert report(removals, 0, "bc", "server-1", revision=2**60)
    for now_ms in range(0, 6_000, 200):
        removals.handle(now_ms, SourceAdvanced("platform", ORDER, 2 + now_ms, True))
        removals.handle(now_ms, INTERVAL)
    assert not removals.accepted
    assert not report(removals, 6_000, "bc", "server-1", revision=2**60)


def test_removal_reported_by_most_nodes_connected_to_discovery_is_not_refuted() -> None:
    removals = removals_at()
    assert report(removals, 0, "bcdefg", "server-1")
    for now_ms in range(0, 60_000, 1_000):
        removals.handle(now_ms, INTERVAL)
    assert removals.accepted


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossiped_removals, "MAX_CLAIMS", 6)
    monkeypatch.setattr(gossiped_removals, "MAX_REPORTERS_PER_CLAIM", 4)
    monkeypatch.setattr(gossiped_removals, "MAX_REFUTED_CLAIMS", 4)
    monkeypatch.setattr(gossiped_removals, "MAX_RECENT_REMOVALS", 4)
    removals = removals_at()
    report(removals, 0, "bcdefghijk", "server-1")
    assert len(removals.claims[RemovalKey("platform", "server-1")]) == 4
    for now_ms in range(0, 30_000, 1_000):
        endpoint_ids = list(ENDPOINTS)[: 20 if now_ms < 9_000 else 6]
        report(removals, now_ms, "bc", *endpoint_ids, revision=10 + now_ms // 10_000)
        assert len(removals.claims) <= 6 and len(removals._refuted) <= 4
        assert removals._claimed_since_ms.keys() == removals.claims.keys()
        own_removals = tuple(ReportedRemoval(f"x{number}", 1, True) for number in range(9))
        removals.handle(now_ms, SourceAdvanced("platform", ORDER, 1, True, own_removals))
    assert len(removals._refuted) == 4 == len(removals.sources["platform"].recent_removals)


def test_source_that_is_behind_is_fetched_in_its_time_slot_with_pauses() -> None:
    removals, fetched_ms, query_count = removals_at(), [], 0
    for now_ms in range(0, 120_000, 100):
        actions = removals.handle(now_ms, INTERVAL)
        fetched_ms += [now_ms for action in actions if isinstance(action, FetchSnapshot)]
        query_count += sum(isinstance(action, QueryRemovals) for action in actions)
    grace_ms = gossiped_removals.NEWER_REVISION_GRACE_MS
    assert fetched_ms and grace_ms <= fetched_ms[0] <= grace_ms + removals._time_slots.period_ms + 100
    assert len(fetched_ms) <= 3 * gossiped_removals.MAX_FETCHES_BEFORE_PAUSE
    query_rounds = 120_000 / gossiped_removals.QUERY_INTERVAL_MS
    assert query_count <= query_rounds * gossiped_removals.MAX_PEERS_QUERIED
    removals.handle(120_000, SourceAdvanced("platform", ORDER, 9, True))
    assert not removals.handle(120_100, INTERVAL)


def test_gossiped_removals_are_not_reported_to_other_peers() -> None:
    removals = removals_at(1, False)
    assert report(removals, 0, "bc", "server-1")
    assert not removals.handle(0, RemovalsQueried("x", "platform", ORDER, 0))


def test_query_is_answered_with_the_own_sources_recent_removals_in_bounded_datagrams() -> None:
    removals = removals_at(1, False)
    assert report(removals, 0, "bc", "server-1")
    own_removals = tuple(ReportedRemoval(f"server-{number}", 2 + number, True) for number in range(60))
    removals.handle(0, SourceAdvanced("platform", ORDER, 70, True, own_removals))
    queried = RemovalsQueried("x", "platform", ORDER, 50)
    answers = [a for a in removals.handle(0, queried) if isinstance(a, SendRemovals)]
    revisions = [removal.revision for answer in answers for removal in answer.removals]
    assert revisions == list(range(61, 50, -1))
    assert all(2 + len(packed("platform", answer.removals)) <= room("node-123") for answer in answers)
    queried_all = RemovalsQueried("x", "platform", ORDER, 0)
    assert len(removals.handle(0, queried_all)) == gossiped_removals.MAX_ANSWER_DATAGRAMS
    assert not removals.handle(gossiped_removals.RECENT_REMOVAL_TTL_MS + 1, queried_all)


def test_encoded_query_is_decoded_to_the_same_values() -> None:
    data = gossip_sections.encode_removals_query("platform", ORDER, 9)
    assert gossip_sections.decode_removals_query(data) == ("platform", ORDER, 9)


REPORT = st.tuples(
    st.sampled_from("bcdx"), st.integers(0, 25), st.integers(1, 30), st.booleans(), st.integers(5, 6)
)  # reporter, endpoint number, revision, is gone, identity hash
# A report, a revision of the own source, whether the source is in sync, or a duration in ms.
STEP = st.one_of(REPORT, st.integers(1, 20), st.booleans(), st.floats(0, 6_000))


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=30), st.integers(0, 10))
def test_gossip_adds_no_endpoint_and_removes_none_at_the_own_revision_or_below(
    steps: list[tuple[str, int, int, bool, int] | int | bool | float], synced_peer_count: int
) -> None:
    """Uses the real endpoint merger; gossip must only drain or remove endpoints."""
    removals, now_ms = removals_at(), 0.0
    merger = EndpointMerger([Source("platform"), gossiped_removals.gossip_source()])
    complete = EndpointList(1, True, tuple(ENDPOINTS.values()))
    merger.handle(now_ms, EndpointsListed("platform", "p", complete))
    while merger.sources["platform"].pending_records:
        merger._apply_next_slice()
    highest_reported: dict[str, int] = {}
    revision, in_sync = 1, True
    for step in steps:
        if isinstance(step, tuple):
            reporter, number, reported_revision, is_gone, identity_hash = step
            name = f"server-{number}"
            reported = [ReportedRemoval(name, reported_revision, is_gone)]
            removals.handle(now_ms, RemovalsReceived(reporter, "platform", identity_hash, reported))
            highest_reported[name] = max(highest_reported.get(name, 0), reported_revision)
        elif isinstance(step, bool):
            in_sync = step
        elif isinstance(step, int):
            revision = max(revision, step)
        else:
            now_ms += step
        removals.handle(now_ms, SourceAdvanced("platform", ORDER, revision, in_sync))
        interval = GossipIntervalElapsed(STATES[:synced_peer_count], ADDRESSES, merger.view)
        for action in removals.handle(now_ms, interval):
            if isinstance(action, EndpointsListed):
                merger.handle(now_ms, action)
        up = {name for name, record in merger.view.items() if record.endpoint.phase is Phase.UP}
        assert up <= ENDPOINTS.keys() and all(merger.view[name] == ENDPOINTS[name] for name in up)
        for name in ENDPOINTS.keys() - up:
            assert highest_reported[name] > revision
        assert len(ENDPOINTS) - len(up) == len(removals.accepted)


def test_gossip_source_is_reset_after_many_withdrawn_removals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossiped_removals, "MAX_WITHDRAWN_REMOVALS", 3)
    removals, resets = removals_at(1, False), []
    for turn in range(8):
        report(removals, turn, "bc", f"server-{turn}", revision=9 + turn)
        removals.handle(turn, SourceAdvanced("platform", ORDER, 9 + turn, False))
        resets += [a for a in removals.handle(turn, INTERVAL) if isinstance(a, ResetGossipSource)]
    assert len(resets) == 2 and not removals._listed_records
    report(removals, 9, "bc", "server-1", revision=99)
    (first, *_) = (action for action in removals._actions if isinstance(action, EndpointsListed))
    assert first.endpoint_list.is_complete  # the source restarts with a complete list


# --- between nodes


@pytest.mark.parametrize(
    ("synced_peer_count", "rule", "is_accepted"),
    [
        (9, AcceptanceRule.TWO_REPORTERS_OR_ONLY_SOURCE, True),
        (1, AcceptanceRule.TWO_REPORTERS_OR_ONLY_SOURCE, True),
        (9, AcceptanceRule.NEVER, False),
    ],
)
def test_nodes_without_discovery_apply_a_drain_and_a_removal_reported_by_peers(
    synced_peer_count: int, rule: AcceptanceRule, is_accepted: bool
) -> None:
    cluster = Town(10, 1, 0.0, rule)
    cluster.rounds(4_000)
    isolated = list(cluster.nodes)[synced_peer_count:]
    cluster.hush(*isolated)
    cluster.rounds(6_000)
    cluster.out(3)
    cluster.out(4, gone=True)
    duration_ms = cluster.rounds(6_000, lambda: all(cluster.missing(address) == 2 for address in isolated))
    assert (duration_ms < 2_000) is is_accepted
    cluster.deaf.clear()
    cluster.silent_at = dict.fromkeys(cluster.nodes, NEVER_MS)
    for address in isolated:  # the source returns and lists both endpoints as up
        records = tuple(map(member, range(SERVERS)))
        cluster.held[address] = cluster.revision = cluster.revision + 1
        cluster.listed(
            address, EndpointsListed("platform", "p", EndpointList(cluster.revision, True, records))
        )
    cluster.rounds(1_000)
    assert not any(map(cluster.missing, isolated))


def test_false_removals_by_one_node_have_no_effect_if_two_nodes_are_connected_to_discovery() -> None:
    cluster = Town(8, 1)
    cluster.rounds(4_000)
    cluster.hush(*list(cluster.nodes)[4:])
    cluster.rounds(4_000)
    for _ in range(30):
        cluster.lie(["n1"], range(SERVERS))
        cluster.rounds(200)
        assert not any(map(cluster.missing, cluster.nodes))
