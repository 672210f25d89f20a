"""All deciders of the peers' words in one, between nodes that have only bytes of each other."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from balancer.core.cluster import (
    gossip_coordinator as together,
)
from balancer.core.cluster import (
    gossiped_removals as hearsay,
)
from balancer.core.cluster import (
    node_state as views,
)
from balancer.core.cluster import (
    quota_allocation as shares,
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
from balancer.core.discovery import endpoint_merger as ms
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
from balancer.endpoints import EndpointList
from balancer.interface import Phase
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by
from benchmarks.failure_detection import Net
from benchmarks.node_state_gossip import member, room

SERVERS = 30


class Village(Net):
    """Nodes with a merge each; `size` of them by the settings, those after are newcomers."""

    def __init__(self, count: int, size: int) -> None:
        super().__init__(count, 5)
        self.all: dict[str, GossipCoordinator] = {}
        self.merge: dict[str, EndpointMerger] = {}
        self.events: list[tuple[str, together.Action]] = []
        self.deaf: set[str] = set()
        self.revision = 1
        for number, (address, node) in enumerate(self.nodes.items()):
            turns, random = StaggeredSchedule(number, count, 50), Random(number)
            its = GossipCoordinator(node, number, size, None, turns, random, goes_by, room("n9"))
            self.all[address], self.merge[address] = (
                its,
                EndpointMerger([Source("platform"), hearsay.gossip_source()]),
            )
            everything = tuple(map(member, range(SERVERS)))
            self.listed(address, EndpointsListed("platform", "p", EndpointList(1, True, everything)))

    def listed(self, address: str, event: EndpointsListed | SourceLost) -> None:
        todo: list[EndpointsListed | SourceLost | NextSliceDue] = [event]
        while todo:
            done: list[ms.Action] = self.merge[address].handle(self.now, todo.pop())
            todo += [NextSliceDue() for action in done if isinstance(action, ms.ScheduleNextSlice)]
            for action in done:
                if isinstance(action, ApplyEndpoints):
                    self.all[address].on_source_applied(
                        self.now, self.merge[address].sources[event.source], action
                    )

    def say(self, *numbers: int) -> None:
        """Servers drain, by discovery's word, where it is heard."""
        self.revision += 1
        drains = [replace(member(n).endpoint, phase=Phase.DRAINING) for n in numbers]
        members = tuple(replace(member(n), endpoint=entry) for n, entry in zip(numbers, drains, strict=True))
        for address in self.nodes.keys() - self.deaf:
            self.listed(
                address, EndpointsListed("platform", "p", EndpointList(self.revision, False, members))
            )

    def rounds(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.run(self.now + 200)
            todo: list[tuple[str, together.Action]] = []
            for address, merge in self.merge.items():
                now = GossipIntervalElapsed(
                    3, (1, 2), "0.34.0", "z", list(merge.sources.values()), merge.view
                )
                todo += [(address, action) for action in self.all[address].handle(self.now, now)]
            while todo:
                address, action = todo.pop(0)
                if isinstance(action, EndpointsListed):
                    self.listed(address, action)
                elif isinstance(action, SendGossip):
                    key = gossip.Key(bytes(32))
                    data = gossip.Writer(self.nodes[address].name, [key]).write(
                        1, gossip.Message(goes_by.MESSAGE_KIND, 0, "", "", ()), action.sections
                    )
                    read = gossip.Reader([key]).read(self.now, address, data)
                    assert (
                        isinstance(read, gossip.AcceptedDatagram) and len(data) <= gossip.MAX_DATAGRAM_BYTES
                    )
                    if action.address in self.all and not self.cut(address, action.address):
                        came = SectionsReceived(read.sender, address, read.sections)
                        todo += [
                            (action.address, its) for its in self.all[action.address].handle(self.now, came)
                        ]
                else:
                    self.events.append((address, action))

    def happened(self) -> Counter[tuple[str, str]]:
        return Counter((e.name, e.subject) for _, e in self.events if isinstance(e, RecordEvent))


def test_a_cut_and_a_drain_that_one_node_hears_of_by_its_peers_alone() -> None:
    """From the bytes to the merge, and back when its source comes again."""
    village = Village(5, 5)
    village.rounds(3_000)
    last = village.address("n4")
    village.deaf = {last}
    village.listed(last, SourceLost("platform", "out of reach"))
    village.rounds(2_000)
    assert village.happened() == {("cut_began", "discovery"): 1}
    assert village.all[village.address("n1")].node_states.states["n4"].flags & views.FLAG_NO_DISCOVERY
    village.say(3, 4)
    village.rounds(2_000)
    down = {n for n, m in village.merge[last].view.items() if m.endpoint.phase is not Phase.UP}
    assert down == {"server-3", "server-4"}
    village.deaf = set()
    everything = tuple(map(member, range(SERVERS)))
    for address in village.nodes:
        village.listed(address, EndpointsListed("platform", "p", EndpointList(9, True, everything)))
    village.rounds(6_000)
    assert all(len(merge.view) == SERVERS for merge in village.merge.values())
    assert {m.endpoint.phase for m in village.merge[last].view.values()} == {Phase.UP}
    assert (
        village.happened()["cut_ended", "discovery"] == 1 and not village.all[last].gossiped_removals.accepted
    )


def test_lists_that_differ_at_the_same_revision_are_named_with_the_entries() -> None:
    village = Village(4, 4)
    odd = village.address("n2")
    merge = village.merge[odd]
    merge.sources["platform"].records["server-7"] = member(7, 5.0)
    merge.view["server-7"] = member(7, 5.0)
    village.all[odd].digest_tree.apply([member(7, 5.0)], ())
    village.rounds(8_000)
    assert village.happened() == {("disagreement_began", "list"): 4}
    said = [e.message for _, e in village.events if isinstance(e, WriteLog)]
    assert said and all("server-7" in text for text in said)
    assert {e.node_names for _, e in village.events if isinstance(e, RecordEvent)} == {("n2",)}


def test_a_first_start_and_a_newcomer_come_to_their_shares_over_bytes() -> None:
    village = Village(5, 4)
    for _ in range(int(ROLE_HOLD_OFF_MS / 1_000) + 15):
        village.rounds(1_000)
        assert sum(its.quota.quota for its in village.all.values() if its.quota) <= 1 + 1e-9
    assert [its.quota.quota for its in village.all.values() if its.quota] == [0.2] * 5
    kept = {e.state for _, e in village.events if isinstance(e, shares.PersistQuota)}
    assert shares.PersistedQuota(True, (shares.KnownNewcomer(4, 1, False),)) in kept
    last = village.address("n4")
    village.all[last].handle(village.now, shares.ShutdownStarted())
    assert village.all[last].quota.quota == 0  # type: ignore[union-attr]
    village.do(last, ShutdownStarted())
    del village.nodes[last], village.merge[last], village.all[last]
    village.rounds(shares.DIVISOR_DECREASE_DELAY_MS + 2_000)
    assert [its.quota.quota for its in village.all.values() if its.quota] == [0.25] * 4


@pytest.mark.parametrize("wrong", ["unknown", "elsewhere"])
def test_what_comes_from_one_that_is_not_there_counts_for_nothing(wrong: str) -> None:
    village = Village(4, 4)
    village.rounds(2_000)
    its = village.all[village.address("n0")]
    out = goes_by.encode_removals("platform", 5, [("server-1", 9, 1)])
    word = goes_by.encode_node_state(its.node_states.states["n1"]._replace(sequence_number=900))
    sender, source = ("x", "10.9.9.9:1") if wrong == "unknown" else ("n1", "10.9.9.9:1")
    assert not its.handle(
        village.now, SectionsReceived(sender, source, [(goes_by.NODE_STATE, word), (goes_by.REMOVALS, out)])
    )
    assert its.node_states.states["n1"].sequence_number < 900 and not its.gossiped_removals.claims


def test_answers_of_a_round_are_bounded_and_ask_nothing() -> None:
    village = Village(3, 3)
    village.rounds(2_000)
    address = village.address("n0")
    its, merge = village.all[address], village.merge[address]
    assert its.quota and its.quota.wants_replies
    its.handle(
        village.now, GossipIntervalElapsed(3, (1, 2), "0.34.0", "z", list(merge.sources.values()), merge.view)
    )
    asked = goes_by.encode_quota_report(1, 1, 0, False, True, ())
    came = SectionsReceived("n1", village.address("n1"), [(goes_by.QUOTA_REPORT, asked)])
    sent = [a for _ in range(200) for a in its.handle(village.now, came) if isinstance(a, SendGossip)]
    assert len(sent) == together.MAX_ANSWERS_PER_ROUND
    told = goes_by.decode_quota_report(sent[0].sections[0][1])
    assert told and told[0] == 0 and not told[4]


def test_only_what_the_own_source_says_of_a_server_is_told_on() -> None:
    """Not what peers said of one that it names anew, nor that another has taken a server's address."""
    village = Village(1, 1)
    [(address, its)] = village.all.items()
    drains = replace(member(3), endpoint=replace(member(3).endpoint, phase=Phase.DRAINING))
    village.listed(address, EndpointsListed("peers", "peers", EndpointList(1, True, ())))
    village.listed(address, EndpointsListed("peers", "peers", EndpointList(2, False, (drains,))))
    usurper = replace(member(40), address=member(4).address)
    village.revision = 2
    village.listed(
        address, EndpointsListed("platform", "p", EndpointList(2, False, (member(3, 2.0), usurper)))
    )
    view = village.merge[address].view
    assert view["server-3"].endpoint.weight == 2.0 and "server-4" not in view
    assert not its.gossiped_removals.sources["platform"].recent_removals
    village.say(5)
    assert [*its.gossiped_removals.sources["platform"].recent_removals] == ["server-5"]


def test_a_discovery_that_counts_anew_is_no_older_word_where_each_has_an_agent_of_its_own() -> None:
    village = Village(4, 4)
    last = village.address("n3")
    for number, (address, its) in enumerate(village.all.items()):
        its.sources_with_local_agents = ("platform",)
        for revision, identity in ((70, f"old {number}"), (3, f"new {number}")):
            everything = tuple(map(member, range(SERVERS)))
            village.listed(
                address, EndpointsListed("platform", identity, EndpointList(revision, True, everything))
            )
            village.rounds(400) if address == last else None
    village.rounds(2_000)
    assert not {
        key for its in village.all.values() for key in its.node_states.divergence_hysteresis.active_since_ms
    }
    village.listed(last, SourceLost("platform", "out of reach"))
    drains = replace(member(9), endpoint=replace(member(9).endpoint, phase=Phase.DRAINING))
    for number, address in enumerate(village.nodes):
        if address != last:
            village.listed(
                address, EndpointsListed("platform", f"new {number}", EndpointList(4, False, (drains,)))
            )
    village.rounds(2_000)
    assert village.merge[last].view["server-9"].endpoint.phase is Phase.DRAINING
