"""Who is there, in virtual time: how soon a death is known, what is called dead wrongly, and what it costs.

    python -m benchmarks.failure_detection [--part detect|calm|stalls|heal|codes|cpu] [--nodes N ...]
    [--loss P]

Deciders on one virtual clock; each datagram takes 0.3 to 3 ms or is lost. The codec is left out but for its
sizes (and in `codes` and `cpu`). Nothing is asserted; docs/design/peers.md has the tables.
"""

from __future__ import annotations

import argparse
import hashlib
import hmac
import math
import os
import time
from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from random import Random
from statistics import mean

from balancer.core.cluster.failure_detector import events, parameters
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState
from balancer.protocol import gossip

PERIOD = parameters.PROBE_INTERVAL_MS


class Net:
    """Nodes n0, n1, ... that know each other from the start, unless `cold`."""

    def __init__(
        self,
        count: int,
        seed: int,
        loss: float = 0.0,
        options: events.Options | None = None,
        cold: bool = False,
        delay_ms: tuple[float, float] = (0.3, 3.0),
    ) -> None:
        self.random, self.loss, self.options, self.delay_ms = Random(seed), loss, options, delay_ms
        self.now = 0.0
        self.heap: list[tuple[float, int, str, object]] = []
        self.count = 0
        self.nodes: dict[str, FailureDetector] = {}  # by address
        self.wakes: dict[str, float] = {}
        self.stalled: dict[str, tuple[float, float]] = {}  # address -> since, until
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.sent = self.bytes = self.largest = 0
        self.firsts: dict[tuple[str, str, int], str] = {}  # what, of whom, its incarnation -> by whom first
        self.told: list[tuple[float, str, events.NotifyPeerChange]] = []
        names = [f"n{number}" for number in range(count)]
        for name in names:
            self.add(name, [self.address(name) for name in names[:3]], 0)
        if not cold:
            words = [MemberRecord(name, PeerState.ALIVE, 1, self.address(name)) for name in names]
            for node in self.nodes.values():
                for word in self.random.sample(words, count):
                    if word.name != node.name:
                        node.record_merger.merge(0.0, word, "")
                node.broadcasts.clear()
        for address in self.nodes:
            self.do(address, events.Started())

    @staticmethod
    def address(name: str) -> str:
        number = int(name[1:])
        return f"10.0.{number >> 8}.{number & 255}:7946"

    def add(self, name: str, seeds: Sequence[str], kept: int | None, at: str = "") -> FailureDetector:
        where = at or self.address(name)
        node = FailureDetector(
            name,
            where,
            seeds,
            kept,
            Random(self.random.random()),
            gossip.record_size_bytes,
            gossip.record_space_bytes,
            self.options,
        )
        self.nodes[where] = node
        return node

    def push(self, at: float, address: str, what: object) -> None:
        self.count += 1
        heappush(self.heap, (at, self.count, address, what))

    def do(self, address: str, event: events.Event) -> None:
        node = self.nodes.get(address)
        if node is None:
            return
        for action in node.handle(self.now, event):
            if isinstance(action, events.SendDatagram):
                self.send(address, action, node)
            elif isinstance(action, events.SetTimer):
                if action.at_ms != self.wakes.get(address):
                    self.wakes[address] = action.at_ms
                    self.push(action.at_ms, address, action.at_ms)
            elif isinstance(action, events.NotifyPeerChange):
                self.told.append((self.now, node.name, action))
                if action.change in _BAD:
                    its = node.peers[action.name].record.incarnation
                    self.firsts.setdefault((action.change, action.name, its), node.name)

    def send(self, source: str, action: events.SendDatagram, node: FailureDetector) -> None:
        words = sum(map(gossip.record_size_bytes, action.message.records))
        size = gossip.MAX_DATAGRAM_BYTES - gossip.record_space_bytes(node.name, action.message) + words
        self.sent, self.bytes, self.largest = self.sent + 1, self.bytes + size, max(self.largest, size)
        if self.random.random() >= self.loss and not self.cut(source, action.address):
            at = self.now + self.random.uniform(*self.delay_ms)
            self.push(
                at,
                action.address,
                events.DatagramReceived(node.name, action.incarnation, source, action.message),
            )

    def stall(self, address: str, ms: float) -> None:
        self.stalled[address] = (self.now, self.now + ms)
        self.push(self.now + ms, address, "on")

    def run(self, until: float, done: Callable[[], bool] | None = None) -> None:
        while self.heap and self.heap[0][0] <= until:
            at, _, address, what = heappop(self.heap)
            self.now = at
            if address in self.stalled:
                since, end = self.stalled[address]
                if what == "on" and at >= end:
                    del self.stalled[address]
                    if end - since > 1_000:
                        self.do(address, events.ProcessStalled(end - since))
                    self.do(address, events.TimerFired())
                else:
                    self.push(end + 0.01, address, what)  # waits in its socket
                continue
            if isinstance(what, float):
                if what == self.wakes.get(address):
                    self.do(address, events.TimerFired())
            elif isinstance(what, events.DatagramReceived):
                self.do(address, what)
            if done and done():
                return
        self.now = max(self.now, until)


def _line(cells: Sequence[object]) -> None:
    print("| " + " | ".join(f"{c:.2f}" if isinstance(c, float) else str(c) for c in cells) + " |", flush=True)


def _head(*cells: str) -> None:
    _line(cells)
    _line(["---"] * len(cells))


def detect(sizes: Sequence[int], seeds: int, loss: float, options: events.Options | None = None) -> None:
    """One node dies: the first suspicion, the first failure, and failed at all others."""
    _head(
        "nodes",
        "first probe unanswered, s",
        "SWIM's e/(e-1) periods, and one",
        "first failed, s",
        "known by all, s (worst)",
        "suspicion at least, s",
        "datagrams/s a node",
        "bytes/s a node",
    )
    for size in sizes:
        rows = []
        for seed in range(seeds if size <= 200 else 2 if size <= 1_000 else 1):
            net = Net(size, seed, loss, options)
            net.run(1_000)
            net.sent = net.bytes = 0
            dead = net.address("n1")
            died = net.now + net.random.random() * PERIOD
            net.run(died)
            rates = net.sent, net.bytes, net.now
            del net.nodes[dead]
            net.told.clear()
            seen = [0, 0]

            def done(net: Net = net, seen: list[int] = seen, size: int = size) -> bool:
                for _, _, tell in net.told[seen[0] :]:
                    seen[1] += tell.change == "failed" and tell.name == "n1"
                seen[0] = len(net.told)
                return seen[1] >= size - 1

            net.run(died + 20_000, done)
            of = [(at, tell.change) for at, _, tell in net.told if tell.name == "n1"]
            first = {w: min((at for at, what in of if what == w), default=math.nan) for w in _BAD}
            seconds = (rates[2] - 1_000) / 1_000
            node = next(iter(net.nodes.values()))
            rows.append(
                [
                    first["suspected"] - died,
                    first["failed"] - died,
                    net.now - died,
                    node.suspicion.timeout_ms(parameters.MAX_SUSPICION_CONFIRMATIONS),
                    rates[0] / size / max(seconds, 0.05),
                    rates[1] / size / max(seconds, 0.05),
                ]
            )
        by = list(zip(*rows, strict=True))
        _line(
            [
                size,
                mean(by[0]) / 1e3,
                PERIOD * (1 / (1 - (1 - 1 / (size - 1)) ** (size - 1)) + 0.5) / 1e3,
                mean(by[1]) / 1e3,
                f"{mean(by[2]) / 1e3:.2f} ({max(by[2]) / 1e3:.2f})",
                mean(by[3]) / 1e3,
                mean(by[4]),
                round(mean(by[5])),
            ]
        )


_BAD = ("suspected", "failed")
VARIANTS = {
    "all": events.Options(),
    "no local health": events.Options(local_health=False),
    "no dogpile": events.Options(dogpile_suspicion=False),
    "no buddy": events.Options(buddy_system=False),
    "no filling": events.Options(fill_datagrams=False),
    "no news at once": events.Options(immediate_gossip=False),
    "SWIM alone": events.Options(
        local_health=False,
        dogpile_suspicion=False,
        buddy_system=False,
        fill_datagrams=False,
        immediate_gossip=False,
    ),
}


def wrongs(size: int, seconds: float, loss: float, stalling: float, names: Sequence[str]) -> None:
    """Nobody dies: what is suspected and failed all the same; `stalling`: the part that stalls at times."""
    _head(
        "variant",
        "nodes",
        "minutes",
        "loss",
        "stalling",
        "suspicions of healthy/h",
        "healthy failed/h",
        "stalled ones failed/h",
        "failed by a stalled one first",
        "datagrams/s a node",
        "bytes/s a node",
    )
    for name in names:
        net = Net(size, 7, loss, VARIANTS[name])
        bad = {f"n{number}" for number in range(3, 3 + round(size * stalling))}
        while net.now < seconds * 1_000:
            for one in sorted(bad):
                address = net.address(one)
                if address not in net.stalled and net.random.random() < 0.1:
                    net.stall(address, net.random.uniform(500, 5_000))
            net.run(net.now + 500)
        hours = seconds / 3_600
        firsts = net.firsts  # one false failure is one, however many then hear of it
        kinds = Counter((what, of in bad) for what, of, _ in firsts)
        blamed = sum(by in bad and of not in bad for (what, of, _), by in firsts.items() if what == "failed")
        _line(
            [
                name,
                size,
                seconds / 60,
                loss,
                stalling,
                kinds["suspected", False] / hours,
                kinds["failed", False] / hours,
                kinds["failed", True] / hours,
                blamed,
                net.sent / size / seconds,
                round(net.bytes / size / seconds),
            ]
        )


def heal(sizes: Sequence[int]) -> None:
    """A cut in two for 30 s, and a cold start from three seeds: when all hold all alive again."""
    _head("nodes", "cold start, s", "cut: all of the other side failed, s", "healed, s")
    for size in sizes:
        cold = Net(size, 3, cold=True)

        def whole(net: Net) -> bool:
            return all(len(node.members.ring) == len(net.nodes) - 1 for node in net.nodes.values())

        def until(net: Net, done: Callable[[Net], bool], most: float) -> float:
            start = net.now
            while not done(net) and net.now < start + most:
                net.run(net.now + 50)
            return (net.now - start) / 1e3

        started = until(cold, whole, 60_000)
        net = Net(size, 4)
        net.run(1_000)
        side = {address: number % 5 < 2 for number, address in enumerate(net.nodes)}
        net.cut = lambda one, other, side=side: side.get(one) != side.get(other)  # type: ignore[misc]
        few = sum(side.values())

        def parted(net: Net, few: int = few, side: dict[str, bool] = side) -> bool:
            most = {True: few - 1, False: len(side) - few - 1}
            return all(len(node.members.ring) <= most[side[at]] for at, node in net.nodes.items())

        cut = until(net, parted, 30_000)
        net.run(31_000)
        net.cut = lambda one, other: False
        _line([size, started, cut, until(net, whole, 60_000)])


def _us(what: Callable[[], object], count: int = 50_000) -> float:
    best = math.inf
    for _ in range(5):
        start = time.perf_counter()
        for _ in range(count):
            what()
        best = min(best, time.perf_counter() - start)
    return best / count * 1e6


def codes() -> None:
    """Microseconds of each code for 240 bytes, of a datagram written and read, and of a forged one."""
    secret, data = os.urandom(32), os.urandom(240)
    ready, keyed = hmac.new(secret, digestmod="sha256"), gossip.Key(secret)

    def copied() -> bytes:
        state = ready.copy()
        state.update(data)
        return state.digest()

    kinds: dict[str, Callable[[], object]] = {
        "HMAC-SHA256, hmac.digest": lambda: hmac.digest(secret, data, "sha256"),
        "HMAC-SHA256, state copied": copied,
        "BLAKE2s keyed": lambda: hashlib.blake2s(data, key=secret, digest_size=16).digest(),
        "BLAKE2b keyed": lambda: hashlib.blake2b(data, key=secret, digest_size=16).digest(),
        "BLAKE2s keyed, state copied (Key.code)": lambda: keyed.mac(data),
    }
    try:
        from blake3 import blake3  # type: ignore[import-not-found]  # not among the requirements
    except ImportError:
        pass
    else:
        kinds["BLAKE3 keyed"] = lambda: blake3(data, key=secret).digest(length=16)
    words = [(f"n{number}", 0, 5, f"10.0.0.{number}:7946", 0) for number in range(9)]
    writer, message = gossip.Writer("n1", [keyed]), gossip.Message(1, 7, "n2", "", words)
    one = writer.write(3, message)
    reader, forger = gossip.Reader([keyed]), gossip.Reader([keyed])
    forged = one[:-1] + bytes((one[-1] ^ 1,))
    kinds[f"written, {len(one)} bytes, {len(words)} words"] = lambda: writer.write(3, message)
    kinds["written and read"] = lambda: reader.read(0, "a", writer.write(3, message))
    clock = iter(range(10**9))
    kinds["forged, each checked"] = lambda: forger.read(next(clock) * 1_000, "a", forged)
    kinds["forged, beyond the bound"] = lambda: forger.read(0, "b", forged)
    kinds["unknown key"] = lambda: forger.read(0, "b", b"\1\1zz" + forged[4:])
    for _ in range(gossip.MAX_FORGED_PER_S + 1):
        forger.read(0, "b", forged)
    _head("what", "us")
    for name, what in kinds.items():
        _line([name, _us(what, 20_000)])


def cpu(sizes: Sequence[int]) -> None:
    """Real time of a node's decisions and codec in a virtual second."""
    _head("nodes", "ms a second a node: deciding", "datagrams in and out/s", "with the codec, % of a core")
    key = gossip.Key(bytes(32))
    words = [(f"n{number}", 0, 5, f"10.0.0.{number}:7946", 0) for number in range(9)]
    writer, reader = gossip.Writer("n1", [key]), gossip.Reader([key])
    both = _us(lambda: reader.read(0, "a", writer.write(3, gossip.Message(1, 7, "n2", "", words))), 10_000)
    for size in sizes:
        net = Net(size, 1)
        net.run(1_000)
        net.sent = 0
        seconds = max(1.0, 1_000 / size)
        start = time.process_time()
        net.run(1_000 + seconds * 1_000)
        took = (time.process_time() - start) * 1e3 / seconds / size
        rate = net.sent / seconds / size
        _line([size, took, 2 * rate, (took + rate * both / 1e3) / 10])


def main() -> None:
    parts = ["detect", "calm", "stalls", "heal", "codes", "cpu"]
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--part", choices=parts, action="append")
    parser.add_argument("--nodes", type=int, nargs="+", default=[3, 20, 200])
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--variants", nargs="+", default=list(VARIANTS))
    args = parser.parse_args()
    for part in args.part or parts:
        print(f"\n{part}, loss {args.loss}\n")
        if part == "detect":
            for name in args.variants:
                print(f"\n{name}\n")
                detect(args.nodes, args.seeds, args.loss, VARIANTS[name])
        elif part == "heal":
            heal(args.nodes)
        elif part == "codes":
            codes()
        elif part == "cpu":
            cpu(args.nodes)
        else:
            for size in args.nodes:
                wrongs(size, args.seconds, args.loss or 0.1, 0.05 if part == "stalls" else 0.0, args.variants)


if __name__ == "__main__":
    main()
