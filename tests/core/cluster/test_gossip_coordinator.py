"""Tests of the gossip coordinators of several nodes that exchange encoded datagrams."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from balancer.core.cluster import (
    gossip_coordinator,
    gossiped_removals,
    node_state,
    quota_allocation,
)
from balancer.core.cluster.failure_detector.events import ShutdownStarted
from balancer.core.cluster.gossip_coordinator import (
    GossipCoordinator,
    GossipIntervalElapsed,
    RecordEvent,
    SectionsReceived,
    SendGossip,
    WriteLog,
)
from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.endpoint_merger import (
    ApplyEndpoints,
    EndpointMerger,
    EndpointsListed,
    NextSliceDue,
    SourceLost,
)
from balancer.core.discovery.source_state import Source
from balancer.core.recovery import ROLE_HOLD_OFF_MS
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Phase
from balancer.protocol import gossip, gossip_sections
from benchmarks.failure_detection import Net
from benchmarks.node_state_gossip import member, room

SERVER_COUNT = 30
SERVERS = tuple(map(member, range(SERVER_COUNT)))
KEY = gossip.Key(bytes(32))


def draining(number: int) -> EndpointRecord:
    record = member(number)
    return replace(record, endpoint=replace(record.endpoint, phase=Phase.DRAINING))


class Cluster(Net):
    """Nodes with an endpoint merger each; the first `node_count` are configured, the others are newcomers."""

    def __init__(self, size: int, node_count: int) -> None:
        super().__init__(size, 5)
        self.coordinators: dict[str, GossipCoordinator] = {}
        self.mergers: dict[str, EndpointMerger] = {}
        self.events: list[tuple[str, gossip_coordinator.Action]] = []
        self.without_discovery: set[str] = set()
        self.revision = 1
        for index, (address, detector) in enumerate(self.nodes.items()):
            self.coordinators[address] = GossipCoordinator(
                detector,
                index,
                node_count,
                None,
                StaggeredSchedule(index, size, 50),
                Random(index),
                gossip_sections,
                room("n9"),
            )
            self.mergers[address] = EndpointMerger([Source("platform"), gossiped_removals.gossip_source()])
            self.merge(address, EndpointsListed("platform", "p", EndpointList(1, True, SERVERS)))

    def merge(self, address: str, event: EndpointsListed | SourceLost) -> None:
        """Passes an event and the slices that follow from it to a node's merger."""
        merger = self.mergers[address]
        pending: list[EndpointsListed | SourceLost | NextSliceDue] = [event]
        while pending:
            actions: list[endpoint_merger.Action] = merger.handle(self.now, pending.pop())
            for action in actions:
                if isinstance(action, endpoint_merger.ScheduleNextSlice):
                    pending.append(NextSliceDue())
                elif isinstance(action, ApplyEndpoints):
                    source = merger.sources[event.source]
                    self.coordinators[address].on_source_applied(self.now, source, action)

    def drain(self, *numbers: int) -> None:
        """Lists servers as draining to the nodes that are connected to discovery."""
        self.revision += 1
        listed = EndpointList(self.revision, False, tuple(map(draining, numbers)))
        for address in self.nodes.keys() - self.without_discovery:
            self.merge(address, EndpointsListed("platform", "p", listed))

    def interval(self, address: str) -> GossipIntervalElapsed:
        merger = self.mergers[address]
        return GossipIntervalElapsed(3, (1, 2), "0.34.0", "z", list(merger.sources.values()), merger.view)

    def run_for(self, duration_ms: float) -> None:
        end_ms = self.now + duration_ms
        while self.now < end_ms:
            self.run(self.now + node_state.GOSSIP_INTERVAL_MS)
            pending = [
                (address, action)
                for address in self.mergers
                for action in self.coordinators[address].handle(self.now, self.interval(address))
            ]
            while pending:
                address, action = pending.pop(0)
                match action:
                    case EndpointsListed():
                        self.merge(address, action)
                    case SendGossip():
                        pending += self.deliver(address, action)
                    case _:
                        self.events.append((address, action))

    def deliver(self, sender: str, action: SendGossip) -> list[tuple[str, gossip_coordinator.Action]]:
        """Encodes, signs, verifies and decodes a datagram; returns the receiver's actions."""
        message = gossip.Message(gossip_sections.MESSAGE_KIND, 0, "", "", ())
        writer = gossip.Writer(self.nodes[sender].name, [KEY])
        datagram = writer.write(1, message, action.sections)
        accepted = gossip.Reader([KEY]).read(self.now, sender, datagram)
        assert isinstance(accepted, gossip.AcceptedDatagram) and len(datagram) <= gossip.MAX_DATAGRAM_BYTES
        if action.address not in self.coordinators or self.cut(sender, action.address):
            return []
        received = SectionsReceived(accepted.sender, sender, accepted.sections)
        actions = self.coordinators[action.address].handle(self.now, received)
        return [(action.address, answer) for answer in actions]

    def recorded(self) -> Counter[tuple[str, str]]:
        return Counter(
            (event.name, event.subject) for _, event in self.events if isinstance(event, RecordEvent)
        )

    def quotas(self) -> list[float]:
        return [node.quota.quota for node in self.coordinators.values() if node.quota]


def test_node_without_discovery_applies_drains_of_its_peers_until_discovery_returns() -> None:
    cluster = Cluster(5, 5)
    cluster.run_for(3_000)
    last = cluster.address("n4")
    cluster.without_discovery = {last}
    cluster.merge(last, SourceLost("platform", "out of reach"))
    cluster.run_for(2_000)
    assert cluster.recorded() == {("cut_began", "discovery"): 1}
    advertised = cluster.coordinators[cluster.address("n1")].node_states.states["n4"]
    assert advertised.flags & node_state.FLAG_NO_DISCOVERY
    cluster.drain(3, 4)
    cluster.run_for(2_000)
    view = cluster.mergers[last].view
    not_up = {name for name, record in view.items() if record.endpoint.phase is not Phase.UP}
    assert not_up == {"server-3", "server-4"}
    cluster.without_discovery = set()
    for address in cluster.nodes:
        cluster.merge(address, EndpointsListed("platform", "p", EndpointList(9, True, SERVERS)))
    cluster.run_for(6_000)
    assert all(len(merger.view) == SERVER_COUNT for merger in cluster.mergers.values())
    assert {record.endpoint.phase for record in cluster.mergers[last].view.values()} == {Phase.UP}
    assert cluster.recorded()["cut_ended", "discovery"] == 1
    assert not cluster.coordinators[last].gossiped_removals.accepted


def test_lists_that_differ_at_the_same_revision_are_reported_with_the_entries() -> None:
    cluster = Cluster(4, 4)
    divergent = cluster.address("n2")
    merger = cluster.mergers[divergent]
    merger.sources["platform"].records["server-7"] = member(7, 5.0)
    merger.view["server-7"] = member(7, 5.0)
    cluster.coordinators[divergent].digest_tree.apply([member(7, 5.0)], ())
    cluster.run_for(8_000)
    assert cluster.recorded() == {("disagreement_began", "list"): 4}
    messages = [event.message for _, event in cluster.events if isinstance(event, WriteLog)]
    assert messages and all("server-7" in message for message in messages)
    recorded = [event for _, event in cluster.events if isinstance(event, RecordEvent)]
    assert {event.node_names for event in recorded} == {("n2",)}


def test_nodes_at_their_first_start_and_a_newcomer_reach_their_quotas() -> None:
    cluster = Cluster(5, 4)
    for _ in range(int(ROLE_HOLD_OFF_MS / 1_000) + 15):
        cluster.run_for(1_000)
        assert sum(cluster.quotas()) <= 1 + 1e-9
    assert cluster.quotas() == [0.2] * 5
    persisted = {
        event.state for _, event in cluster.events if isinstance(event, quota_allocation.PersistQuota)
    }
    newcomer = quota_allocation.KnownNewcomer(4, 1, False)
    assert quota_allocation.PersistedQuota(True, (newcomer,)) in persisted
    last = cluster.address("n4")
    cluster.coordinators[last].handle(cluster.now, quota_allocation.ShutdownStarted())
    assert cluster.quotas() == [0.2] * 4 + [0.0]
    cluster.do(last, ShutdownStarted())
    del cluster.nodes[last], cluster.mergers[last], cluster.coordinators[last]
    cluster.run_for(quota_allocation.DIVISOR_DECREASE_DELAY_MS + 2_000)
    assert cluster.quotas() == [0.25] * 4


@pytest.mark.parametrize("sender", ["x", "n1"], ids=["unknown sender", "another address"])
def test_sections_from_a_sender_that_is_not_present_there_are_ignored(sender: str) -> None:
    cluster = Cluster(4, 4)
    cluster.run_for(2_000)
    coordinator = cluster.coordinators[cluster.address("n0")]
    state = coordinator.node_states.states["n1"]._replace(sequence_number=900)
    sections = [
        (gossip_sections.NODE_STATE, gossip_sections.encode_node_state(state)),
        (gossip_sections.REMOVALS, gossip_sections.encode_removals("platform", 5, [("server-1", 9, 1)])),
    ]
    assert not coordinator.handle(cluster.now, SectionsReceived(sender, "10.9.9.9:1", sections))
    assert coordinator.node_states.states["n1"].sequence_number < 900
    assert not coordinator.gossiped_removals.claims


def test_answers_in_an_interval_are_bounded_and_request_no_reply() -> None:
    cluster = Cluster(3, 3)
    cluster.run_for(2_000)
    address = cluster.address("n0")
    coordinator = cluster.coordinators[address]
    assert coordinator.quota and coordinator.quota.wants_replies
    coordinator.handle(cluster.now, cluster.interval(address))
    query = gossip_sections.encode_quota_report(1, 1, 0, False, True, ())
    received = SectionsReceived("n1", cluster.address("n1"), [(gossip_sections.QUOTA_REPORT, query)])
    actions = [action for _ in range(200) for action in coordinator.handle(cluster.now, received)]
    sent = [action for action in actions if isinstance(action, SendGossip)]
    assert len(sent) == gossip_coordinator.MAX_ANSWERS_PER_ROUND
    report = gossip_sections.decode_quota_report(sent[0].sections[0][1])
    assert report and report.node_index == 0 and not report.wants_reply


def test_only_removals_by_the_own_source_are_reported_to_peers() -> None:
    """Guards against echoed reports.

    A removal that peers reported for an endpoint that the source lists again is not reported, and neither is
    an endpoint that lost its address to another one.
    """
    cluster = Cluster(1, 1)
    [(address, coordinator)] = cluster.coordinators.items()
    source_name = node_state.GOSSIP_SOURCE_NAME
    cluster.merge(address, EndpointsListed(source_name, source_name, EndpointList(1, True, ())))
    removals = EndpointList(2, False, (draining(3),))
    cluster.merge(address, EndpointsListed(source_name, source_name, removals))
    new_owner = replace(member(40), address=member(4).address)
    cluster.revision = 2
    listed = EndpointList(2, False, (member(3, 2.0), new_owner))
    cluster.merge(address, EndpointsListed("platform", "p", listed))
    view = cluster.mergers[address].view
    assert view["server-3"].endpoint.weight == 2.0 and "server-4" not in view
    assert not coordinator.gossiped_removals.sources["platform"].recent_removals
    cluster.drain(5)
    assert [*coordinator.gossiped_removals.sources["platform"].recent_removals] == ["server-5"]


def test_restarted_discovery_with_local_agents_is_no_divergence_and_removals_are_still_gossiped() -> None:
    """Revisions restart, and each node sees a different identity of the same list."""
    cluster = Cluster(4, 4)
    last = cluster.address("n3")
    for index, (address, coordinator) in enumerate(cluster.coordinators.items()):
        coordinator.sources_with_local_agents = ("platform",)
        for revision, identity in ((70, f"old {index}"), (3, f"new {index}")):
            listed = EndpointList(revision, True, SERVERS)
            cluster.merge(address, EndpointsListed("platform", identity, listed))
            if address == last:
                cluster.run_for(400)
    cluster.run_for(2_000)
    for coordinator in cluster.coordinators.values():
        assert not coordinator.node_states.divergence_hysteresis.active_since_ms
    cluster.merge(last, SourceLost("platform", "out of reach"))
    for index, address in enumerate(cluster.nodes):
        if address != last:
            listed = EndpointList(4, False, (draining(9),))
            cluster.merge(address, EndpointsListed("platform", f"new {index}", listed))
    cluster.run_for(2_000)
    assert cluster.mergers[last].view["server-9"].endpoint.phase is Phase.DRAINING
