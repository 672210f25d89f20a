"""Drains by peers' word, in virtual time: what they save a node cut off from discovery, what one that lies
can do.

    python -m benchmarks.gossiped_removals [--nodes N] [--seeds N]

The world of benchmarks/node_state_gossip.py with each node's merge. Discovery's word reaches a node at
once, or never; a
cut-off one knows that its source is silent after SILENT_MS. Nothing is asserted; docs/design/peers.md has the
tables.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from statistics import mean

from balancer.core.cluster import gossiped_removals as hearsay
from balancer.core.cluster import node_state as views
from balancer.core.cluster.gossiped_removals import (
    AcceptanceRule,
    GossipedRemovals,
    QueryRemovals,
    RemovalsQueried,
    RemovalsReceived,
    ReportedRemoval,
    SendRemovals,
    SourceAdvanced,
)
from balancer.core.discovery.endpoint_merger import (
    Action,
    ApplyEndpoints,
    EndpointMerger,
    EndpointsListed,
    NextSliceDue,
    ScheduleNextSlice,
)
from balancer.core.discovery.source_state import Source
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Phase
from balancer.protocol import gossip_sections as goes_by
from benchmarks.failure_detection import _head, _line
from benchmarks.node_state_gossip import (
    World,
    goes,
    member,
    room,
)

SILENT_MS = 2_500.0  # for a source to be called silent: etcd's is the later one
ORDER = 5
SERVERS = 100


def fits(source: str, out: Sequence[ReportedRemoval]) -> int:
    """How many fit a datagram of a node with a name of 8 bytes."""
    count = 0
    while count < len(out) and 2 + len(packed(source, out[: count + 1])) <= room("node-123"):
        count += 1
    return count


def packed(source: str, out: Sequence[ReportedRemoval]) -> bytes:
    return goes_by.encode_removals(
        source, ORDER, [(one.endpoint_id, one.revision, int(one.is_gone)) for one in out]
    )


class Town(World):
    """Nodes with views of SERVERS servers, and what they tell each other of them."""

    def __init__(
        self,
        count: int,
        seed: int,
        loss: float = 0.0,
        rule: AcceptanceRule = AcceptanceRule.TWO_REPORTERS_OR_ONLY_SOURCE,
    ) -> None:
        super().__init__(count, seed, loss)
        self.revision, self.silent_at = 1, dict.fromkeys(self.nodes, float("inf"))
        self.hearsay: dict[str, GossipedRemovals] = {}
        self.merge: dict[str, EndpointMerger] = {}
        self.held = dict.fromkeys(self.nodes, 1)  # the revision that the own source has told
        self.up: dict[str, list[float]] = {}  # when a node's view changed
        self.asks = 0
        for number, address in enumerate(self.nodes):
            random = Random(seed * 77 + number)
            self.hearsay[address] = GossipedRemovals(StaggeredSchedule(number, count, 50), random, fits, rule)
            self.merge[address] = EndpointMerger([Source("platform"), hearsay.gossip_source()])
            everything = tuple(map(member, range(SERVERS)))
            self.listed(address, EndpointsListed("platform", "p", EndpointList(1, True, everything)))
            self.hearsay[address].handle(0, SourceAdvanced("platform", ORDER, 1, True))

    def listed(self, address: str, event: EndpointsListed) -> None:
        todo: list[EndpointsListed | NextSliceDue] = [event]
        while todo:
            done: list[Action] = self.merge[address].handle(self.now, todo.pop())
            todo += [NextSliceDue() for action in done if isinstance(action, ScheduleNextSlice)]
            if any(
                isinstance(action, ApplyEndpoints) and action.removed_records + action.records
                for action in done
            ):
                self.up.setdefault(address, []).append(self.now)

    def out(self, number: int, gone: bool = False) -> None:
        """Discovery says that a server drains or is gone; all that hear it are told."""
        self.revision += 1
        name = f"server-{number}"
        for address in self.nodes:
            if address not in self.deaf:
                its = member(number)
                drains = EndpointRecord(replace(its.endpoint, phase=Phase.DRAINING), its.address)
                changes = EndpointList(
                    self.revision, False, () if gone else (drains,), (name,) if gone else ()
                )
                self.listed(address, EndpointsListed("platform", "p", changes))
                own = SourceAdvanced(
                    "platform", ORDER, self.revision, True, (ReportedRemoval(name, self.revision, gone),)
                )
                self.hearsay[address].handle(self.now, own)
                self.held[address] = self.revision

    def hush(self, *addresses: str) -> None:
        """They are cut off from discovery; it shows after SILENT_MS."""
        self.deaf |= set(addresses)
        self.silent_at |= dict.fromkeys(addresses, self.now + SILENT_MS)

    def after_round(self) -> None:
        sent: list[tuple[str, QueryRemovals | SendRemovals]] = []
        for number, (address, node) in enumerate(self.nodes.items()):
            silent = self.now >= self.silent_at[address]
            own, its = self.hearsay[address], self.views[address]
            own.handle(self.now, SourceAdvanced("platform", ORDER, self.held[address], not silent))
            flags = views.FLAG_NO_DISCOVERY if silent else 0
            self.say(address, goes(node.name, number, self.held[address], flags=flags, digest=0))
            words = [its.states[name] for name in its.peer_addresses if name in its.states]
            round_ = hearsay.GossipIntervalElapsed(words, its.peer_addresses, self.merge[address].view)
            for action in own.handle(self.now, round_):
                if isinstance(action, EndpointsListed):
                    self.listed(address, action)
                elif isinstance(action, QueryRemovals | SendRemovals):
                    sent.append((address, action))
                self.asks += isinstance(action, hearsay.FetchSnapshot)
        for address, action in sent:
            if self.passes(address, action.address) and isinstance(action, QueryRemovals):
                asked = RemovalsQueried(address, action.source, action.identity_hash, action.since_revision)
                for answer in self.hearsay[action.address].handle(self.now, asked):
                    if isinstance(answer, SendRemovals) and self.passes(action.address, address):
                        told = RemovalsReceived(
                            self.nodes[action.address].name,
                            answer.source,
                            answer.identity_hash,
                            answer.removals,
                        )
                        self.hearsay[address].handle(self.now, told)

    def passes(self, one: str, other: str) -> bool:
        return self.random.random() >= self.loss and not self.cut(one, other)

    def lie(self, liars: Sequence[str], numbers: Sequence[int], revision: int = 10**9) -> None:
        """Some tell all others that servers are gone, at a revision in the future."""
        words = tuple(ReportedRemoval(f"server-{number}", revision, True) for number in numbers)
        for address in self.nodes:
            for liar in liars:
                self.hearsay[address].handle(self.now, RemovalsReceived(liar, "platform", ORDER, words))

    def missing(self, address: str) -> int:
        """Servers that this node sends nothing new to."""
        view = self.merge[address].view.values()
        return SERVERS - sum(one.endpoint.phase is Phase.UP for one in view)


def drains(size: int, seeds: int) -> None:
    """A server drains 1 s and 10 s after the first nodes lost discovery: when they know."""
    _head(
        "rule",
        "hear discovery",
        "loss",
        "drained after 1 s: known, s (worst)",
        "after 10 s: known, s (worst)",
        "asks of discovery",
    )
    for rule in AcceptanceRule:
        for hears, loss in ((size - 1, 0.0), (size - 1, 0.3), (size // 2, 0.0), (2, 0.0), (1, 0.0)):
            times: list[list[float]] = [[], []]
            asks = 0
            for seed in range(seeds):
                town = Town(size, seed, loss, rule)
                town.rounds(8_000)
                town.asks = 0
                cut = list(town.nodes)[hears:]
                town.hush(*cut)
                for turn, wait in enumerate((1_000, 9_000)):
                    town.rounds(wait)
                    began, before = town.now, {address: town.missing(address) for address in cut}
                    town.out(turn, gone=turn == 1)
                    left = set(cut)
                    while left and town.now < began + 20_000:
                        town.rounds(200)
                        done = {address for address in left if town.missing(address) > before[address]}
                        times[turn] += [town.now - began] * len(done)
                        left -= done
                    times[turn] += [float("inf")] * len(left)
                asks += town.asks
            shown = [f"{mean(of) / 1e3:.2f} ({max(of) / 1e3:.2f})" for of in times]
            _line([rule.value, hears, loss, *shown, asks / seeds])


def lies(size: int, seeds: int) -> None:
    """One, or two that agree, tell for 30 s that all servers are gone: how many a node leaves out at most."""
    _head("rule", "liars", "all hear discovery", "half do", "the liars alone do", "30 s after all hear it")
    for rule in AcceptanceRule:
        for count in (1, 2):
            most = [0, 0, 0]
            after = 0
            for seed in range(seeds):
                for turn, hears in enumerate((size, size // 2, count)):
                    town = Town(size, seed, 0.0, rule)
                    town.rounds(5_000)
                    town.hush(*list(town.nodes)[hears:])
                    town.rounds(5_000)
                    for _ in range(150):
                        town.lie([f"n{number}" for number in range(count)], range(SERVERS))
                        town.rounds(200)
                        most[turn] = max(most[turn], *map(town.missing, town.nodes))
                    town.silent_at = dict.fromkeys(town.nodes, float("inf"))
                    town.deaf = set()
                    town.rounds(30_000)
                    after = max(after, *map(town.missing, town.nodes))
            _line([rule.value, count, *most, after])


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--part", choices=["drains", "lies"], action="append")
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--seeds", type=int, default=4)
    args = parser.parse_args()
    for part in args.part or ("drains", "lies"):
        print(f"\n{part}, {args.nodes} nodes, {args.seeds} seeds\n")
        (drains if part == "drains" else lies)(args.nodes, args.seeds)


if __name__ == "__main__":
    main()
