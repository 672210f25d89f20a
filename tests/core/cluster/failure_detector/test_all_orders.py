"""Three nodes, one partition and one restart: all orders of events up to a depth."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from random import Random

from balancer.core.cluster.failure_detector import events
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.events import (
    DatagramReceived,
    PersistIncarnation,
    SendDatagram,
    SetTimer,
    Started,
    TimerFired,
)
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.protocol import gossip
from tests.core.cluster.failure_detector.support import (
    A,
    B,
    C,
)


class ConstantRandom(Random):
    """Draws the same numbers after each copy, so that copies are small and equal states compare equal."""

    def __reduce__(self) -> tuple[type[ConstantRandom], tuple[int]]:
        return ConstantRandom, (1,)


NAMES = {"a": A, "b": B, "c": C}
DEPTH, MAX_IN_FLIGHT = 4, 3


class ThreeNodes:
    """Three nodes and the last few datagrams that are in flight."""

    def __init__(self) -> None:
        self.nodes = {name: self._node(name, 0) for name in NAMES}
        self.now_ms = dict.fromkeys(NAMES, 0.0)
        self.in_flight: list[tuple[str, DatagramReceived]] = []
        self.partitioned, self.partitions_left, self.restarts_left = "", 1, 1
        self.claimed_incarnations = dict.fromkeys(NAMES, 1)
        self.failed: set[tuple[str, str, int]] = set()
        for name in NAMES:
            self._handle(name, Started())

    @staticmethod
    def _node(name: str, kept: int | None) -> FailureDetector:
        return FailureDetector(
            name,
            NAMES[name],
            list(NAMES.values()),
            kept,
            ConstantRandom(1),
            gossip.record_size_bytes,
            gossip.record_space_bytes,
        )

    def _handle(self, name: str, event: events.Event) -> float:
        wake = 0.0
        for action in self.nodes[name].handle(self.now_ms[name], event):
            if isinstance(action, SendDatagram):
                to = next(n for n, at in NAMES.items() if at == action.address)
                if self.partitioned not in (name, to):
                    self.in_flight.append(
                        (to, DatagramReceived(name, action.incarnation, NAMES[name], action.message))
                    )
            elif isinstance(action, SetTimer):
                wake = action.at_ms
            elif isinstance(action, PersistIncarnation):
                self.claimed_incarnations[name] = max(self.claimed_incarnations[name], action.incarnation)
        return wake

    def steps(self) -> list[tuple[str, str]]:
        found = [("pass", name) for name in NAMES] + [("deliver", str(i)) for i in range(len(self.in_flight))]
        if self.partitioned:
            found.append(("heal", ""))
        elif self.partitions_left:
            found += [("cut", "b")]
        if self.restarts_left:
            found += [("restart", "c"), ("forget", "c")]
        return found

    def step(self, kind: str, of: str) -> None:
        if kind == "pass":
            wake, end = self.now_ms[of], self.now_ms[of] + 1_300
            while wake <= end:
                self.now_ms[of] = wake
                wake = max(wake + 0.001, self._handle(of, TimerFired()))
            self.now_ms[of] = end
        elif kind == "deliver":
            to, heard = self.in_flight.pop(int(of))
            self._handle(to, heard)
        elif kind in ("cut", "heal"):
            self.partitioned, self.partitions_left = of, 0
            self.in_flight = [] if of else self.in_flight
        else:
            self.restarts_left = 0
            self.nodes[of] = self._node(of, self.claimed_incarnations[of] if kind == "restart" else None)
            self._handle(of, Started())
        self.in_flight = self.in_flight[-MAX_IN_FLIGHT:]

    def check(self) -> None:
        for name, node in self.nodes.items():
            for of, peer in node.peers.items():
                assert peer.record.incarnation <= self.claimed_incarnations[of], (
                    "nobody invents an incarnation"
                )
                key = (name, of, peer.record.incarnation)
                if peer.record.state >= PeerState.FAILED:
                    self.failed.add(key)
                else:
                    assert key not in self.failed, "failed, and back in the same incarnation"

    def settle(self) -> None:
        """Without partition and loss each node comes to hold all others, alive and in their incarnations."""
        self.partitioned = ""
        for _ in range(400):
            for name in NAMES:
                self.now_ms[name] += 25
                self._handle(name, TimerFired())
            flying, self.in_flight = self.in_flight, []
            for to, heard in flying:
                self._handle(to, heard)
        self.check()
        for name, node in self.nodes.items():
            assert set(node.members.ring) == NAMES.keys() - {name}, node
            assert all(
                node.peers[of].record.incarnation == self.nodes[of].incarnation for of in node.members.ring
            )

    def key(self) -> object:
        held = [
            (n.incarnation, n.is_asking_for_incarnation, sorted(p.record for p in n.peers.values()))
            for n in self.nodes.values()
        ]
        return repr(
            (held, self.now_ms, self.in_flight, self.partitioned, self.partitions_left, self.restarts_left)
        )


def reachable_states() -> Iterator[ThreeNodes]:
    level, seen = [pickle.dumps(ThreeNodes())], set()
    for _ in range(DEPTH):
        following = []
        for state in level:
            for kind, of in pickle.loads(state).steps():
                world = pickle.loads(state)
                world.step(kind, of)
                world.check()
                if (key := hash(world.key())) not in seen:
                    seen.add(key)
                    following.append(pickle.dumps(world))
        level = following
    yield from map(pickle.loads, level)


def test_three_nodes_with_one_partition_and_one_restart_agree_in_all_orders() -> None:
    count = 0
    for world in reachable_states():
        count += 1
        if count % 60 == 0:
            world.settle()
    assert count > 1_000
