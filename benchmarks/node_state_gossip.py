"""What nodes go by, in virtual time: how soon all know it, a cut and a disagreement are named, and the search
for entries that differ.

    python -m benchmarks.node_state_gossip [--part halves|words|cuts] [--nodes N ...] [--seeds N] [--loss P]

As benchmarks/failure_detection.py, whose world it goes on from; rounds of all nodes fall together. Nothing
is asserted;
docs/design/peers.md has the tables.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Sequence
from random import Random
from statistics import mean

from balancer.core.cluster import anti_entropy as halves
from balancer.core.cluster import node_state as views
from balancer.core.cluster import partition_detector as cuts
from balancer.endpoints import EndpointRecord
from balancer.interface import Endpoint, Phase
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by
from benchmarks.failure_detection import Net, _head, _line


def cost(word: views.AdvertisedState) -> int:
    return 2 + len(goes_by.encode_node_state(word))


def room(name: str) -> int:
    return gossip.record_space_bytes(name, gossip.Message(goes_by.MESSAGE_KIND, 0, "", "", ()))


def goes(
    name: str, number: int = 0, revision: int = 1, digest: int = 7, **other: object
) -> views.AdvertisedState:
    sources = (("platform", 5, revision, 2), ("etcd", 6, 1, 2))
    word = views.AdvertisedState(name, 1, 0, number, 3, 0, 0, 5, digest, (1, 2), "0.34.0", "zone-1", sources)
    return word._replace(**other)  # type: ignore[arg-type]


class World(Net):
    """Peers, what they go by, and their cuts."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        super().__init__(count, seed, loss)
        self.views: dict[str, views.NodeStateTable] = {}
        self.cuts: dict[str, cuts.PartitionDetector] = {}
        self.events: list[tuple[float, str, object]] = []
        self.deaf: set[str] = set()  # addresses that do not hear discovery
        self.datagrams = self.section_bytes = 0
        for number, (address, node) in enumerate(self.nodes.items()):
            self.views[address] = views.NodeStateTable(
                node.name, Random(seed * 1_000 + number), cost, room(node.name)
            )
            self.cuts[address] = cuts.PartitionDetector()
            self.say(address, goes(node.name, number))

    def say(self, address: str, word: views.AdvertisedState) -> None:
        self.views[address].handle(self.now, views.OwnStateChanged(word))

    def rounds(self, ms: float, done: Callable[[], bool] = lambda: False) -> float:
        """Goes on for so long, or until it is done: how long that took."""
        start = self.now
        while self.now < start + ms and not done():
            self.run(self.now + views.GOSSIP_INTERVAL_MS)
            sent: list[tuple[str, views.SendStates]] = []
            for address, node in self.nodes.items():
                heard, gone = cuts.classify_peers(node, self.now)
                here = {n: p.record.address for n, p in node.peers.items() if p.record.state <= 1}
                its = self.views[address]
                for action in its.handle(self.now, views.GossipIntervalElapsed(here)):
                    if isinstance(action, views.SendStates):
                        sent.append((address, action))
                    else:
                        self.events.append((self.now, node.name, action))
                words = [its.states[name] for name in here if name in its.states]
                saw = cuts.Evidence(
                    heard, gone, address not in self.deaf, {}, words, node.heard_since_stall is not None
                )
                for event in self.cuts[address].handle(self.now, saw):
                    self.events.append((self.now, node.name, event))
            self.after_round()
            for address, send in sent:
                self.datagrams += 1
                head = gossip.MAX_DATAGRAM_BYTES - room(self.nodes[address].name)
                self.section_bytes += head + sum(map(cost, send.states))
                lost = self.random.random() < self.loss or self.cut(address, send.address)
                if send.address in self.nodes and not lost:
                    self.views[send.address].handle(self.now, views.StatesReceived(send.states))
        return self.now - start

    def after_round(self) -> None:
        """For what goes on from here."""


def member(number: int, weight: float = 1.0) -> EndpointRecord:
    entry = Endpoint(f"server-{number}", "zone-1", number % 5, weight, Phase.UP, 0.0)
    return EndpointRecord(entry, (f"10.1.{number >> 8}.{number & 255}", 8080))


def search(one: halves.DigestTree, other: halves.DigestTree) -> tuple[set[str], int, int, int]:
    """Names found, datagrams, bytes with all that a datagram carries, and legs."""
    flying: list[tuple[bool, halves.TreeDigests | halves.LeafEntries]] = [(True, one.start_search())]
    names: set[str] = set()
    count = size = legs = 0
    head = gossip.MAX_DATAGRAM_BYTES - room("node-1") + 2
    while flying:
        legs += 1
        following = []
        for to_other, told in flying:
            count += 1
            if isinstance(told, halves.TreeDigests):
                data = goes_by.encode_tree_digests(told.digests)
            else:
                data = goes_by.encode_leaf_entries(told.tree_index, told.entries)
            size += head + len(data)
            assert head + len(data) <= gossip.MAX_DATAGRAM_BYTES
            answers, found = (other if to_other else one).receive(told)
            names |= set(found.names) if found else set()
            following += [(not to_other, answer) for answer in answers]
        flying = following
    return names, count, size, legs


def differences(seeds: int) -> None:
    """10,000 entries of which some differ: datagrams and bytes until the searches have found them all."""
    _head("levels down", "differing", "searches", "datagrams", "bytes", "legs of the first", "found first")
    for down in (1, 2, 3, 4):
        for count in (1, 10, 100):
            rows = []
            for seed in range(seeds):
                one, other = halves.DigestTree(down), halves.DigestTree(down)
                one.apply(map(member, range(10_000)), ())
                bad = Random(seed).sample(range(10_000), count)
                other.apply(map(member, range(10_000)), ())
                other.apply([member(number, 2.0) for number in bad], ())
                found: set[str] = set()
                sums = [0, 0, 0]
                first = (0, 0)
                while len(found) < count:
                    names, datagrams, size, legs = search(one, other)
                    first = first if sums[0] else (legs, len(names))
                    found |= names
                    sums = [sums[0] + 1, sums[1] + datagrams, sums[2] + size]
                    for name in names:  # mended
                        other.apply([member(int(name.split("-")[1]))], ())
                rows.append((*sums, *first))
            _line([down, count, *(mean(column) for column in zip(*rows, strict=True))])


def words(sizes: Sequence[int], seeds: int, loss: float) -> None:
    """All change, then one; who lags; how long until all know it, and until it is named."""
    _head(
        "nodes",
        "one changed, known to all, s",
        "all changed, known to all, s",
        "named meanwhile",
        "one behind, named by all, s",
        "another list, named by all, s",
        "over, s",
        "datagrams/s a node",
        "bytes/s a node",
    )
    for size in sizes:
        rows = []
        for seed in range(seeds):
            world = World(size, seed, loss)
            world.rounds(5_000)
            names = {node.name: address for address, node in world.nodes.items()}
            world.datagrams = world.section_bytes = 0
            start = world.now

            def known(world: World = world) -> bool:
                now = {its.name: its.states[its.name] for its in world.views.values()}
                return all(its.states.get(n) == w for its in world.views.values() for n, w in now.items())

            world.rounds(60_000, known)
            world.say(names["n1"], goes("n1", 1, zone="moved"))
            one = world.rounds(60_000, known)
            world.events.clear()
            for number, (name, address) in enumerate(names.items()):
                world.say(address, goes(name, number, 2, settings_digests=(1, 3)))
            every = world.rounds(60_000, known)
            wrong = sum(isinstance(event, views.DivergenceBegan) for _, _, event in world.events) / size
            for number, (name, address) in enumerate(names.items()):
                world.say(address, goes(name, number, 2 if name == "n1" else 3, settings_digests=(1, 3)))

            def named(what: str, on: bool, world: World = world) -> Callable[[], bool]:
                return lambda: all(
                    any(key[0] == what for key in its.divergence_hysteresis.active_since_ms) == on
                    for its in world.views.values()
                )

            late = world.rounds(60_000, named("behind", True))
            world.say(names["n1"], goes("n1", 1, 3, digest=8, settings_digests=(1, 3)))
            bad = world.rounds(60_000, named("list", True))
            world.say(names["n1"], goes("n1", 1, 3, settings_digests=(1, 3)))
            over = world.rounds(60_000, named("list", False))
            seconds = (world.now - start) / 1e3
            rows.append(
                (
                    one / 1e3,
                    every / 1e3,
                    wrong,
                    late / 1e3,
                    bad / 1e3,
                    over / 1e3,
                    world.datagrams / size / seconds,
                    world.section_bytes / size / seconds,
                )
            )
        _line([size, *(mean(column) for column in zip(*rows, strict=True))])


def named_cuts(sizes: Sequence[int], seeds: int, loss: float) -> None:
    """Cut in two, one alone, discovery, flapping: when all name it, when it is over, how often it began."""
    _head("nodes", "cut", "named by all, s (worst)", "over for all, s (worst)", "began, a node")
    for size in sizes:
        for kind in ("2 : 3", "1 alone", "discovery", "each second", "none, 60 s"):
            rows = []
            for seed in range(seeds):
                world = World(size, seed, loss)
                world.rounds(3_000)
                part = set(list(world.nodes)[: 1 if kind == "1 alone" else 2 * size // 5])
                world.events.clear()
                concerned = part if kind == "discovery" else set(world.nodes)

                def cutting(one: str, other: str, part: set[str] = part) -> bool:
                    return (one in part) != (other in part)

                def all_on(on: bool, world: World = world, who: set[str] = concerned) -> Callable[[], bool]:
                    return lambda: all(bool(world.cuts[address].partitions) == on for address in who)

                start = world.now
                if kind == "discovery":
                    world.deaf = part
                    named = world.rounds(20_000, all_on(True))
                    world.deaf = set()
                elif kind == "none, 60 s":
                    world.rounds(60_000)
                    named = 0.0
                elif kind == "each second":
                    named = 0.0
                    for turn in range(20):
                        world.cut = cutting if turn % 2 == 0 else lambda one, other: False
                        world.rounds(1_000)
                        if not named and all_on(True)():
                            named = world.now - start
                else:
                    world.cut = cutting
                    named = world.rounds(20_000, all_on(True))
                    world.rounds(10_000)
                world.cut = lambda one, other: False
                over = world.rounds(30_000, all_on(False))
                began = sum(isinstance(event, cuts.PartitionBegan) for _, _, event in world.events) / len(
                    concerned
                )
                rows.append((named / 1e3, over / 1e3, began))
            by = list(zip(*rows, strict=True))
            _line([size, kind, *(f"{mean(of):.2f} ({max(of):.2f})" for of in by[:2]), mean(by[2])])


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--part", choices=["halves", "words", "cuts"], action="append")
    parser.add_argument("--nodes", type=int, nargs="+", default=[5, 20])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--loss", type=float, default=0.0)
    args = parser.parse_args()
    for part in args.part or ("halves", "words", "cuts"):
        print(f"\n{part}, loss {args.loss}\n")
        if part == "halves":
            differences(args.seeds)
        else:
            (words if part == "words" else named_cuts)(args.nodes, args.seeds, args.loss)


if __name__ == "__main__":
    main()
