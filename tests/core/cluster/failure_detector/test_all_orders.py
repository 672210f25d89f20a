"""Explores all orders of events of three nodes with one partition and one restart, up to a depth."""

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
    """Restarts its sequence of numbers in each copy, so that copies are small and equal states are equal."""

    def __reduce__(self) -> tuple[type[ConstantRandom], tuple[int]]:
        return ConstantRandom, (1,)


NAMES = {"a": A, "b": B, "c": C}
DEPTH, MAX_IN_FLIGHT = 4, 3


class ThreeNodes:
    """Three nodes and the last MAX_IN_FLIGHT datagrams in flight."""

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
    def _node(name: str, persisted_incarnation: int | None) -> FailureDetector:
        return FailureDetector(
            name,
            NAMES[name],
            list(NAMES.values()),
            persisted_incarnation,
            ConstantRandom(1),
            gossip.record_size_bytes,
            gossip.record_space_bytes,
        )

    def _handle(self, name: str, event: events.Event) -> float:
        next_timer_ms = 0.0
        for action in self.nodes[name].handle(self.now_ms[name], event):
            if isinstance(action, SendDatagram):
                receiver = next(n for n, address in NAMES.items() if address == action.address)
                if self.partitioned not in (name, receiver):
                    self.in_flight.append(
                        (receiver, DatagramReceived(name, action.incarnation, NAMES[name], action.message))
                    )
            elif isinstance(action, SetTimer):
                next_timer_ms = action.at_ms
            elif isinstance(action, PersistIncarnation):
                self.claimed_incarnations[name] = max(self.claimed_incarnations[name], action.incarnation)
        return next_timer_ms

    def steps(self) -> list[tuple[str, str]]:
        steps = [("wait", name) for name in NAMES] + [("deliver", str(i)) for i in range(len(self.in_flight))]
        if self.partitioned:
            steps.append(("heal", ""))
        elif self.partitions_left:
            steps += [("isolate", "b")]
        if self.restarts_left:
            steps += [("restart", "c"), ("lose incarnation", "c")]
        return steps

    def step(self, kind: str, subject: str) -> None:
        """Applies a step to its subject, a node's name or the position of a datagram in flight."""
        if kind == "wait":
            next_timer_ms, end_ms = self.now_ms[subject], self.now_ms[subject] + 1_300
            while next_timer_ms <= end_ms:
                self.now_ms[subject] = next_timer_ms
                next_timer_ms = max(next_timer_ms + 0.001, self._handle(subject, TimerFired()))
            self.now_ms[subject] = end_ms
        elif kind == "deliver":
            receiver, datagram = self.in_flight.pop(int(subject))
            self._handle(receiver, datagram)
        elif kind in ("isolate", "heal"):
            self.partitioned, self.partitions_left = subject, 0
            self.in_flight = [] if subject else self.in_flight
        else:
            self.restarts_left = 0
            self.nodes[subject] = self._node(
                subject, self.claimed_incarnations[subject] if kind == "restart" else None
            )
            self._handle(subject, Started())
        self.in_flight = self.in_flight[-MAX_IN_FLIGHT:]

    def check(self) -> None:
        for name, node in self.nodes.items():
            for peer_name, peer in node.peers.items():
                assert peer.record.incarnation <= self.claimed_incarnations[peer_name], (
                    "a peer has an incarnation that it never claimed"
                )
                key = (name, peer_name, peer.record.incarnation)
                if peer.record.state >= PeerState.FAILED:
                    self.failed.add(key)
                else:
                    assert key not in self.failed, "a failed peer returned in the same incarnation"

    def settle(self) -> None:
        """Checks that, without partition and loss, each node finds all others present and up to date."""
        self.partitioned = ""
        for _ in range(400):
            for name in NAMES:
                self.now_ms[name] += 25
                self._handle(name, TimerFired())
            delivered, self.in_flight = self.in_flight, []
            for receiver, datagram in delivered:
                self._handle(receiver, datagram)
        self.check()
        for name, node in self.nodes.items():
            assert set(node.members.ring) == NAMES.keys() - {name}, node
            assert all(
                node.peers[peer_name].record.incarnation == self.nodes[peer_name].incarnation
                for peer_name in node.members.ring
            )

    def key(self) -> object:
        node_states = [
            (node.incarnation, node.is_asking_for_incarnation, sorted(p.record for p in node.peers.values()))
            for node in self.nodes.values()
        ]
        return repr(
            (
                node_states,
                self.now_ms,
                self.in_flight,
                self.partitioned,
                self.partitions_left,
                self.restarts_left,
            )
        )


def reachable_states() -> Iterator[ThreeNodes]:
    level, seen = [pickle.dumps(ThreeNodes())], set()
    for _ in range(DEPTH):
        next_level = []
        for state in level:
            for kind, subject in pickle.loads(state).steps():
                cluster = pickle.loads(state)
                cluster.step(kind, subject)
                cluster.check()
                if (key := hash(cluster.key())) not in seen:
                    seen.add(key)
                    next_level.append(pickle.dumps(cluster))
        level = next_level
    yield from map(pickle.loads, level)


def test_three_nodes_with_one_partition_and_one_restart_agree_in_all_orders() -> None:
    count = 0
    for cluster in reachable_states():
        count += 1
        if count % 60 == 0:
            cluster.settle()
    assert count > 1_000
