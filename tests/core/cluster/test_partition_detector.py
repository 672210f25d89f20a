"""Tests of partition detection: verdicts, consequences, hysteresis and a partition of ten nodes."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import pytest

from balancer.core.cluster import node_state, partition_detector
from balancer.core.cluster.partition_detector import (
    BackendCounts,
    Evidence,
    LeasePolicy,
    PartitionBegan,
    PartitionDetector,
    PartitionScope,
    Verdict,
)
from benchmarks.node_state_gossip import World, cost, goes, room

INTERVAL_MS = 200
REACHING_PEER = goes("b")
ISOLATED_PEER = goes(
    "c", flags=node_state.FLAG_NO_DISCOVERY, partitioned_zone_id=partition_detector.zone_id("z")
)
BOTH_PEERS = (REACHING_PEER, ISOLATED_PEER)
ONE_OF_TWO_ZONES_SILENT = {"z": BackendCounts(4, 4), "y": BackendCounts(4, 0)}
ONLY_ZONE_SILENT = {"z": BackendCounts(4, 4)}
ALL_WELL = Evidence(4, (), True)


class Case(NamedTuple):
    """Evidence and the expected verdicts and consequences."""

    evidence: Evidence
    verdicts: dict[PartitionScope, Verdict]
    lease_policy: LeasePolicy
    may_hold_leases: bool


CASES = {
    "none": Case(ALL_WELL, {}, LeasePolicy.KEEP, True),
    "minority of peers": Case(
        Evidence(3, ("e",), True),
        {PartitionScope.SOME_PEERS: Verdict.UNKNOWN},
        LeasePolicy.REQUIRE_MAJORITY,
        True,
    ),
    "majority of peers": Case(
        Evidence(1, ("c", "d", "e"), True),
        {PartitionScope.SOME_PEERS: Verdict.UNKNOWN},
        LeasePolicy.REQUIRE_MAJORITY,
        False,
    ),
    "all peers": Case(
        Evidence(0, ("b",), True), {PartitionScope.ALL_PEERS: Verdict.UNKNOWN}, LeasePolicy.RELEASE, False
    ),
    "discovery, a peer reaches it": Case(
        Evidence(2, (), False, peer_states=BOTH_PEERS),
        {PartitionScope.DISCOVERY: Verdict.PARTITIONED},
        LeasePolicy.KEEP,
        True,
    ),
    "discovery, no peer reaches it": Case(
        Evidence(1, (), False, peer_states=(ISOLATED_PEER,)),
        {PartitionScope.DISCOVERY: Verdict.TARGET_DOWN},
        LeasePolicy.KEEP,
        True,
    ),
    "discovery, no peers": Case(
        Evidence(0, (), False), {PartitionScope.DISCOVERY: Verdict.UNKNOWN}, LeasePolicy.KEEP, True
    ),
    "zone, a peer reaches it": Case(
        Evidence(2, (), True, ONE_OF_TWO_ZONES_SILENT, BOTH_PEERS),
        {PartitionScope.BACKEND_ZONE: Verdict.PARTITIONED},
        LeasePolicy.KEEP,
        True,
    ),
    "zone, no peer reaches it": Case(
        Evidence(1, (), True, ONE_OF_TWO_ZONES_SILENT, (ISOLATED_PEER,)),
        {PartitionScope.BACKEND_ZONE: Verdict.TARGET_DOWN},
        LeasePolicy.KEEP,
        True,
    ),
    "all backends": Case(
        Evidence(2, (), True, ONLY_ZONE_SILENT, BOTH_PEERS),
        {PartitionScope.ALL_BACKENDS: Verdict.PARTITIONED},
        LeasePolicy.RELEASE,
        False,
    ),
    "everything": Case(
        Evidence(0, ("b",), False, ONLY_ZONE_SILENT),
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
}


def handle_during(
    detector: PartitionDetector, evidence: Evidence, start_ms: int, end_ms: int
) -> list[PartitionBegan | partition_detector.PartitionHealed]:
    """Returns the partitions that begin and heal while the evidence stays the same."""
    times_ms = range(start_ms, end_ms, INTERVAL_MS)
    return [change for now_ms in times_ms for change in detector.handle(now_ms, evidence)]


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_detector_reports_each_partition_with_its_verdict_and_consequences(case: Case) -> None:
    detector = PartitionDetector()
    began = handle_during(detector, case.evidence, 0, 1_000)
    assert {
        change.scope: change.verdict for change in began if isinstance(change, PartitionBegan)
    } == case.verdicts
    consequences = detector.consequences
    assert consequences.lease_policy is case.lease_policy
    assert detector.may_hold_leases is case.may_hold_leases
    assert consequences.accepts_gossiped_removals == (
        PartitionScope.DISCOVERY in case.verdicts and PartitionScope.ALL_PEERS not in case.verdicts
    )
    healed = handle_during(detector, ALL_WELL, 1_000, 4_000)
    assert {change.scope for change in healed} == set(case.verdicts) and not detector.partitions


def test_consequences_are_stated_for_every_scope() -> None:
    assert partition_detector.CONSEQUENCES.keys() == set(PartitionScope)


def test_detector_in_doubt_reports_nothing() -> None:
    evidence = Evidence(0, ("b",), False, is_in_doubt=True)
    assert not handle_during(PartitionDetector(), evidence, 0, 5_000)


def test_partition_that_comes_and_goes_is_reported_once() -> None:
    detector, changes = PartitionDetector(), []
    for now_ms in range(5_000, 30_000, INTERVAL_MS):
        is_partitioned = now_ms // 1_000 % 2
        evidence = Evidence(0, ("b",), True) if is_partitioned else Evidence(1, (), True)
        changes += detector.handle(now_ms, evidence)
    assert [type(change) for change in changes] == [PartitionBegan]


def test_partition_of_nodes_is_reported_once_by_both_sides_and_states_converge_after_it() -> None:
    """One of the nodes advertises nothing, like a node of an older program version."""
    world = World(10, 3, 0.1)
    old_version_address = world.address("n9")
    replaced_table, world.views[old_version_address] = (
        world.views[old_version_address],
        node_state.NodeStateTable("n9", Random(1), cost, room("n9")),
    )
    assert replaced_table.states
    world.rounds(4_000)
    one_side = set(list(world.nodes)[:4])
    world.events.clear()
    world.cut = lambda sender, receiver: (sender in one_side) != (receiver in one_side)
    world.rounds(8_000)
    began = [(name, change.scope) for _, name, change in world.events if isinstance(change, PartitionBegan)]
    assert sorted(began) == sorted((node.name, PartitionScope.SOME_PEERS) for node in world.nodes.values())
    world.say(world.address("n1"), goes("n1", 1, zone="moved"))
    world.cut = lambda sender, receiver: False
    world.rounds(20_000)
    assert not any(detector.partitions for detector in world.cuts.values())
    assert {table.states["n1"].zone for table in world.views.values()} == {"moved"}
    assert all(node.state_of("n9") == 0 for node in world.nodes.values() if node.name != "n9")
