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
from balancer.core.cluster.failure_detector import Leaving
from balancer.core.cluster.gossip_coordinator import (
    Came,
    Happened,
    Round,
    Say,
    Send,
    Together,
)
from balancer.core.discovery import endpoint_merger as ms
from balancer.core.discovery.endpoint_merger import (
    Apply,
    Continued,
    Listed,
    Membership,
    Silenced,
    Source,
)
from balancer.core.recovery import BAR_MS
from balancer.core.staggering import Turns
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
        self.all: dict[str, Together] = {}
        self.merge: dict[str, Membership] = {}
        self.events: list[tuple[str, together.Action]] = []
        self.deaf: set[str] = set()
        self.revision = 1
        for number, (address, node) in enumerate(self.nodes.items()):
            turns, random = Turns(number, count, 50), Random(number)
            its = Together(node, number, size, None, turns, random, goes_by, room("n9"))
            self.all[address], self.merge[address] = its, Membership([Source("platform"), hearsay.source()])
            everything = tuple(map(member, range(SERVERS)))
            self.listed(address, Listed("platform", "p", EndpointList(1, True, everything)))

    def listed(self, address: str, event: Listed | Silenced) -> None:
        todo: list[Listed | Silenced | Continued] = [event]
        while todo:
            done: list[ms.Action] = self.merge[address].handle(self.now, todo.pop())
            todo += [Continued() for action in done if isinstance(action, ms.Continue)]
            for action in done:
                if isinstance(action, Apply):
                    self.all[address].on_source_applied(
                        self.now, self.merge[address].sources[event.source], action
                    )

    def say(self, *numbers: int) -> None:
        """Servers drain, by discovery's word, where it is heard."""
        self.revision += 1
        drains = [replace(member(n).endpoint, phase=Phase.DRAINING) for n in numbers]
        members = tuple(replace(member(n), endpoint=entry) for n, entry in zip(numbers, drains, strict=True))
        for address in self.nodes.keys() - self.deaf:
            self.listed(address, Listed("platform", "p", EndpointList(self.revision, False, members)))

    def rounds(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.run(self.now + 200)
            todo: list[tuple[str, together.Action]] = []
            for address, merge in self.merge.items():
                now = Round(3, (1, 2), "0.34.0", "z", list(merge.sources.values()), merge.view)
                todo += [(address, action) for action in self.all[address].handle(self.now, now)]
            while todo:
                address, action = todo.pop(0)
                if isinstance(action, Listed):
                    self.listed(address, action)
                elif isinstance(action, Send):
                    key = gossip.Key(bytes(32))
                    data = gossip.Writer(self.nodes[address].name, [key]).write(
                        1, gossip.Told(goes_by.KIND, 0, "", "", ()), action.sections
                    )
                    read = gossip.Reader([key]).read(self.now, address, data)
                    assert isinstance(read, gossip.Read) and len(data) <= gossip.SIZE
                    if action.to in self.all and not self.cut(address, action.to):
                        came = Came(read.sender, address, read.sections)
                        todo += [(action.to, its) for its in self.all[action.to].handle(self.now, came)]
                else:
                    self.events.append((address, action))

    def happened(self) -> Counter[tuple[str, str]]:
        return Counter((e.what, e.of) for _, e in self.events if isinstance(e, Happened))


def test_a_cut_and_a_drain_that_one_node_hears_of_by_its_peers_alone() -> None:
    """From the bytes to the merge, and back when its source comes again."""
    village = Village(5, 5)
    village.rounds(3_000)
    last = village.address("n4")
    village.deaf = {last}
    village.listed(last, Silenced("platform", "out of reach"))
    village.rounds(2_000)
    assert village.happened() == {("cut_began", "discovery"): 1}
    assert village.all[village.address("n1")].views.words["n4"].flags & views.NO_DISCOVERY
    village.say(3, 4)
    village.rounds(2_000)
    down = {n for n, m in village.merge[last].view.items() if m.endpoint.phase is not Phase.UP}
    assert down == {"server-3", "server-4"}
    village.deaf = set()
    everything = tuple(map(member, range(SERVERS)))
    for address in village.nodes:
        village.listed(address, Listed("platform", "p", EndpointList(9, True, everything)))
    village.rounds(6_000)
    assert all(len(merge.view) == SERVERS for merge in village.merge.values())
    assert {m.endpoint.phase for m in village.merge[last].view.values()} == {Phase.UP}
    assert village.happened()["cut_ended", "discovery"] == 1 and not village.all[last].hearsay.taken


def test_lists_that_differ_at_the_same_revision_are_named_with_the_entries() -> None:
    village = Village(4, 4)
    odd = village.address("n2")
    merge = village.merge[odd]
    merge.sources["platform"].members["server-7"] = member(7, 5.0)
    merge.view["server-7"] = member(7, 5.0)
    village.all[odd].halves.apply([member(7, 5.0)], ())
    village.rounds(8_000)
    assert village.happened() == {("disagreement_began", "list"): 4}
    said = [e.text for _, e in village.events if isinstance(e, Say)]
    assert said and all("server-7" in text for text in said)
    assert {e.names for _, e in village.events if isinstance(e, Happened)} == {("n2",)}


def test_a_first_start_and_a_newcomer_come_to_their_shares_over_bytes() -> None:
    village = Village(5, 4)
    for _ in range(int(BAR_MS / 1_000) + 15):
        village.rounds(1_000)
        assert sum(its.shares.share for its in village.all.values() if its.shares) <= 1 + 1e-9
    assert [its.shares.share for its in village.all.values() if its.shares] == [0.2] * 5
    kept = {e.kept for _, e in village.events if isinstance(e, shares.Keep)}
    assert shares.Kept(True, ((4, 1, False),)) in kept
    last = village.address("n4")
    village.all[last].handle(village.now, shares.Leaving())
    assert village.all[last].shares.share == 0  # type: ignore[union-attr]
    village.do(last, Leaving())
    del village.nodes[last], village.merge[last], village.all[last]
    village.rounds(shares.FALL_MS + 2_000)
    assert [its.shares.share for its in village.all.values() if its.shares] == [0.25] * 4


@pytest.mark.parametrize("wrong", ["unknown", "elsewhere"])
def test_what_comes_from_one_that_is_not_there_counts_for_nothing(wrong: str) -> None:
    village = Village(4, 4)
    village.rounds(2_000)
    its = village.all[village.address("n0")]
    out = goes_by.out("platform", 5, [("server-1", 9, 1)])
    word = goes_by.goes_by(its.views.words["n1"]._replace(edition=900))
    sender, source = ("x", "10.9.9.9:1") if wrong == "unknown" else ("n1", "10.9.9.9:1")
    assert not its.handle(village.now, Came(sender, source, [(goes_by.GOES_BY, word), (goes_by.OUT, out)]))
    assert its.views.words["n1"].edition < 900 and not its.hearsay.claims


def test_answers_of_a_round_are_bounded_and_ask_nothing() -> None:
    village = Village(3, 3)
    village.rounds(2_000)
    address = village.address("n0")
    its, merge = village.all[address], village.merge[address]
    assert its.shares and its.shares.asks
    its.handle(village.now, Round(3, (1, 2), "0.34.0", "z", list(merge.sources.values()), merge.view))
    asked = goes_by.counted(1, 1, 0, False, True, ())
    came = Came("n1", village.address("n1"), [(goes_by.COUNTED, asked)])
    sent = [a for _ in range(200) for a in its.handle(village.now, came) if isinstance(a, Send)]
    assert len(sent) == together.ANSWERS
    told = goes_by.read_counted(sent[0].sections[0][1])
    assert told and told[0] == 0 and not told[4]


def test_only_what_the_own_source_says_of_a_server_is_told_on() -> None:
    """Not what peers said of one that it names anew, nor that another has taken a server's address."""
    village = Village(1, 1)
    [(address, its)] = village.all.items()
    drains = replace(member(3), endpoint=replace(member(3).endpoint, phase=Phase.DRAINING))
    village.listed(address, Listed("peers", "peers", EndpointList(1, True, ())))
    village.listed(address, Listed("peers", "peers", EndpointList(2, False, (drains,))))
    usurper = replace(member(40), address=member(4).address)
    village.revision = 2
    village.listed(address, Listed("platform", "p", EndpointList(2, False, (member(3, 2.0), usurper))))
    view = village.merge[address].view
    assert view["server-3"].endpoint.weight == 2.0 and "server-4" not in view
    assert not its.hearsay.own["platform"].out
    village.say(5)
    assert [*its.hearsay.own["platform"].out] == ["server-5"]


def test_a_discovery_that_counts_anew_is_no_older_word_where_each_has_an_agent_of_its_own() -> None:
    village = Village(4, 4)
    last = village.address("n3")
    for number, (address, its) in enumerate(village.all.items()):
        its.alike = ("platform",)
        for revision, identity in ((70, f"old {number}"), (3, f"new {number}")):
            everything = tuple(map(member, range(SERVERS)))
            village.listed(address, Listed("platform", identity, EndpointList(revision, True, everything)))
            village.rounds(400) if address == last else None
    village.rounds(2_000)
    assert not {key for its in village.all.values() for key in its.views.steady.on}
    village.listed(last, Silenced("platform", "out of reach"))
    drains = replace(member(9), endpoint=replace(member(9).endpoint, phase=Phase.DRAINING))
    for number, address in enumerate(village.nodes):
        if address != last:
            village.listed(address, Listed("platform", f"new {number}", EndpointList(4, False, (drains,))))
    village.rounds(2_000)
    assert village.merge[last].view["server-9"].endpoint.phase is Phase.DRAINING
