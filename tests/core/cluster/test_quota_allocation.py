"""Tests that the sum of quotas never exceeds the limit despite partitions, lost and late datagrams."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from fractions import Fraction
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.cluster import quota_allocation
from balancer.core.cluster.quota_allocation import (
    ACKNOWLEDGEMENT_TTL_MS,
    DIVISOR_DECREASE_DELAY_MS,
    MAX_NEWCOMERS,
    LoopStalled,
    NodeLeft,
    PersistedQuota,
    PersistQuota,
    QuotaAllocator,
    QuotaReport,
    SetQuota,
    ShutdownStarted,
    TimeAdvanced,
)
from balancer.core.recovery import ROLE_HOLD_OFF_MS
from balancer.protocol import gossip_sections
from benchmarks.node_state_gossip import room

CERTAIN = PersistedQuota(True, ())


class Cluster:
    """Nodes 0 to `size` - 1, of which the first `node_count` are configured, with their persisted state."""

    def __init__(self, size: int, node_count: int, persisted: PersistedQuota | None = CERTAIN) -> None:
        self.node_count, self.now_ms = node_count, 0.0
        self.persisted: list[PersistedQuota | None] = [
            persisted if index < node_count else None for index in range(size)
        ]
        self.incarnations = [1] * size
        self.nodes = [
            QuotaAllocator(index, 1, node_count, self.persisted[index], 0.0) for index in range(size)
        ]
        self.left: set[int] = set()  # indices of nodes that announced their departure and ended
        self.delayed: list[tuple[int, QuotaReport, float]] = []  # receiver, report, time sent

    def handle(self, index: int, event: quota_allocation.Event) -> None:
        for action in self.nodes[index].handle(self.now_ms, event):
            if isinstance(action, PersistQuota):
                self.persisted[index] = action.state

    def report(self, sender: int, receiver: int, is_delayed: bool = False) -> None:
        if sender in self.left or receiver in self.left or sender == receiver:
            return
        report = self.nodes[sender].report_for(receiver)
        if is_delayed:
            self.delayed = [*self.delayed[-1:], (receiver, report, self.now_ms)]
        else:
            self.handle(receiver, report)

    def deliver_delayed(self, position: int) -> None:
        """Delivers a delayed report, possibly again, if it is not too late."""
        for receiver, report, sent_ms in self.delayed[position : position + 1]:
            if self.now_ms - sent_ms <= ACKNOWLEDGEMENT_TTL_MS and receiver not in self.left:
                self.handle(receiver, report)

    def exchange(self, indices: list[int], rounds: int = 3) -> None:
        """Lets all of these nodes report to each other."""
        for _ in range(rounds):
            for sender in indices:
                for receiver in indices:
                    self.report(sender, receiver)

    def wait(self, duration_ms: float) -> None:
        self.now_ms += duration_ms
        for index in set(range(len(self.nodes))) - self.left:
            self.handle(index, TimeAdvanced())

    def restart(self, index: int, loses_state: bool = False) -> None:
        self.incarnations[index] += 1
        persisted = None if loses_state else self.persisted[index]
        self.nodes[index] = QuotaAllocator(
            index, self.incarnations[index], self.node_count, persisted, self.now_ms
        )
        self.left.discard(index)

    def leave(self, index: int, notified_indices: list[int]) -> None:
        if index not in self.left:
            self.handle(index, ShutdownStarted())
            self.left.add(index)
            for notified_index in set(notified_indices) - self.left:
                self.handle(notified_index, NodeLeft(index, self.incarnations[index]))

    def divisors(self, count: int | None = None) -> set[int]:
        return {node.divisor for node in self.nodes[:count]}

    def has_quota(self, index: int) -> bool:
        return self.nodes[index].has_quota

    @property
    def quota_sum(self) -> Fraction:
        """The sum of the quotas of all running nodes, which must not exceed 1."""
        return sum((Fraction(1, node.divisor) for node in self.nodes if node.has_quota), Fraction())


def test_divisor_rises_at_once_and_falls_after_the_delay() -> None:
    cluster = Cluster(6, 5)
    (quota,) = (
        action for action in cluster.nodes[0].handle(0, TimeAdvanced()) if isinstance(action, SetQuota)
    )
    assert quota == SetQuota(5, True) and not cluster.has_quota(5)
    cluster.report(5, 0)
    assert cluster.nodes[0].divisor == 6 and cluster.nodes[1].divisor == 5
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.exchange([0, 1, 2, 3, 5])
    assert not cluster.has_quota(5)  # node 4 has not acknowledged it
    cluster.exchange([4, 5])
    assert cluster.has_quota(5) and cluster.quota_sum == 1
    cluster.wait(10 * DIVISOR_DECREASE_DELAY_MS)
    assert cluster.divisors() == {6}  # a silent node is counted
    cluster.leave(5, [0, 1, 2, 3, 4])
    cluster.wait(DIVISOR_DECREASE_DELAY_MS - 1)
    assert cluster.divisors(5) == {6}
    cluster.wait(1)
    assert cluster.divisors(5) == {5} and cluster.quota_sum == 1


def test_nodes_without_persisted_state_are_certain_once_all_reported_after_the_hold_off() -> None:
    cluster = Cluster(3, 3, None)
    cluster.exchange([0, 1, 2])
    assert cluster.quota_sum == Fraction(3, 3 + MAX_NEWCOMERS)
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.exchange([0, 1])
    assert cluster.quota_sum < 1
    cluster.exchange([0, 1, 2])
    assert cluster.quota_sum == 1


def test_only_configured_node_without_persisted_state_is_certain_after_the_hold_off() -> None:
    cluster = Cluster(1, 1, None)
    cluster.wait(ROLE_HOLD_OFF_MS)
    assert cluster.quota_sum == 1


def test_node_that_lost_its_state_is_certain_after_the_report_of_a_certain_configured_node() -> None:
    cluster = Cluster(3, 2)
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.exchange([0, 1, 2])
    assert cluster.quota_sum == 1
    cluster.restart(0, loses_state=True)
    cluster.exchange([0, 1])
    assert cluster.nodes[0].divisor == 2 + MAX_NEWCOMERS
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.report(2, 0)  # a newcomer may not know of all others
    assert not cluster.nodes[0].is_certain
    cluster.report(1, 0)
    assert cluster.nodes[0].divisor == 3 and cluster.quota_sum == 1


@pytest.mark.parametrize(("index", "persisted"), [(150, None), (5, None), (150, CERTAIN)])
def test_uncertain_or_unacknowledged_node_queries_relevant_nodes_within_half_the_acknowledgement_ttl(
    index: int, persisted: PersistedQuota | None
) -> None:
    node, queried = QuotaAllocator(index, 1, 100, persisted, 0.0), set[int]()
    for _ in range(int(ACKNOWLEDGEMENT_TTL_MS / 200 / 2)):
        queried |= set(node.next_queried(range(200), 200.0))
    assert queried == set(range(max(100, index)))


def test_certain_and_acknowledged_node_queries_no_node() -> None:
    assert not QuotaAllocator(5, 1, 100, CERTAIN, 0.0).next_queried(range(200), 200.0)


def test_stalled_node_ignores_reports_that_may_have_waited_in_its_socket() -> None:
    cluster = Cluster(2, 1)
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.report(1, 0)
    cluster.handle(1, LoopStalled())
    cluster.report(0, 1)
    assert not cluster.has_quota(1)
    cluster.wait(200)
    cluster.report(0, 1)
    assert cluster.has_quota(1)


def test_newcomer_is_not_acknowledged_by_a_report_from_before_a_node_lost_its_state() -> None:
    """Guards against a quota that rests on an outdated acknowledgement.

    Node 1 records the newcomer, loses its state and becomes certain again by a report of node 0, which does
    not know the newcomer.
    """
    cluster = Cluster(3, 2)
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.report(2, 1)
    cluster.report(1, 2)
    cluster.restart(1, loses_state=True)
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.report(0, 1)
    assert cluster.nodes[1].is_certain and cluster.nodes[1].divisor == 2
    cluster.report(2, 0)
    cluster.report(0, 2)
    assert not cluster.has_quota(2) and cluster.quota_sum <= 1
    cluster.exchange([1, 2])
    assert cluster.has_quota(2) and cluster.quota_sum == 1


def test_newcomer_that_returns_is_counted_although_its_departure_is_heard_late() -> None:
    """The old departure arrives once before the newcomer is heard again, and once after."""
    cluster = Cluster(2, 1)
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.exchange([0, 1])
    cluster.leave(1, [])
    cluster.restart(1)
    cluster.wait(ROLE_HOLD_OFF_MS)
    cluster.report(0, 1)
    assert not cluster.has_quota(1)
    cluster.handle(0, NodeLeft(1, 1))
    cluster.wait(DIVISOR_DECREASE_DELAY_MS)
    assert cluster.nodes[0].divisor == 1 == cluster.quota_sum
    cluster.exchange([0, 1])
    cluster.handle(0, NodeLeft(1, 1))
    cluster.wait(DIVISOR_DECREASE_DELAY_MS)
    assert cluster.has_quota(1) and cluster.quota_sum == 1


def test_report_fits_a_datagram_for_any_number_of_newcomers() -> None:
    node = QuotaAllocator(0, 1, 5, CERTAIN, 0.0)
    for index in range(200):
        node.handle(0, QuotaReport(index, 2**32 - 1, 0, False, False, ()))
    report = node.report_for(7)
    assert node.divisor == 5 + MAX_NEWCOMERS and len(report.newcomers) == MAX_NEWCOMERS
    fields = (
        report.node_index,
        report.incarnation,
        report.acknowledged_incarnation,
        report.is_certain,
        report.wants_reply,
        report.newcomers,
    )
    data = gossip_sections.encode_quota_report(*fields)
    assert 2 + len(data) <= room("node-123")
    decoded = gossip_sections.decode_quota_report(data)
    assert decoded and list(decoded) == list(fields)


# --- random sequences of events

INDEX = st.integers(0, 4)
INDEX_SET = st.integers(0, 31)  # as a bit mask
STEP = st.one_of(
    st.tuples(st.just("report"), INDEX, INDEX),
    st.tuples(st.just("delayed report"), INDEX, INDEX),
    st.tuples(st.just("deliver"), INDEX, INDEX),
    st.tuples(st.just("exchange"), INDEX_SET, INDEX),
    st.tuples(st.just("wait"), st.integers(0, 5), INDEX),
    st.tuples(st.just("restart"), INDEX, INDEX),
    st.tuples(st.just("lose state"), INDEX, INDEX),
    st.tuples(st.just("leave"), INDEX, INDEX_SET),
    st.tuples(st.just("stall"), INDEX, INDEX),
)
WAITS_MS = (1_000.0, 5_000.0, 9_000.0, 11_000.0, ROLE_HOLD_OFF_MS, DIVISOR_DECREASE_DELAY_MS)


def indices(mask: int) -> list[int]:
    return [index for index in range(5) if mask >> index & 1]


def apply_step(cluster: Cluster, kind: str, one: int, other: int, may_lose_state: bool) -> None:
    match kind:
        case "report" | "delayed report":
            cluster.report(one, other, is_delayed=kind == "delayed report")
        case "deliver":
            cluster.deliver_delayed(one)
        case "exchange":
            cluster.exchange(indices(one), 2)
        case "wait":
            cluster.wait(WAITS_MS[one])
        case "restart":
            cluster.restart(one)
        case "lose state" if may_lose_state and one:
            cluster.restart(one, loses_state=True)
        case "leave":
            cluster.leave(one, indices(other))
        case "stall" if one not in cluster.left:
            cluster.handle(one, LoopStalled())


@settings(max_examples=1_500, deadline=None)
@given(st.integers(2, 4), st.booleans(), st.lists(STEP, max_size=40))
def test_sum_of_quotas_never_exceeds_one_in_random_sequences(
    node_count: int, has_persisted: bool, steps: list[tuple[str, int, int]]
) -> None:
    """Reports of five nodes arrive, late or twice, or do not; nodes leave and restart.

    Any of them but node 0 loses its state (assumption A5).
    """
    cluster = Cluster(5, node_count, CERTAIN if has_persisted else None)
    for kind, one, other in steps:
        apply_step(cluster, kind, one, other, may_lose_state=has_persisted)
        assert cluster.quota_sum <= 1


# --- three nodes, one partition, one restart: all sequences of up to MAX_DEPTH events

MAX_DEPTH = 5
Step = tuple[str, int, int]


class Faults(NamedTuple):
    """Which faults may still happen, and the index of the node that is isolated now."""

    partitions_left: int = 1
    restarts_left: int = 1
    isolated: int | None = None


def next_steps(faults: Faults) -> Iterator[Step]:
    for one in range(3):
        for other in range(3):
            if one != other and faults.isolated not in (one, other):
                yield "report", one, other
    yield "wait", int(ROLE_HOLD_OFF_MS), 0
    yield "wait", int(DIVISOR_DECREASE_DELAY_MS), 0
    if faults.isolated is not None:
        yield "heal", 0, 0
    elif faults.partitions_left:
        yield from (("isolate", one, 0) for one in range(3))
    if faults.restarts_left:
        yield from (("restart", one, 0) for one in range(3))
        yield from (("lose state", one, 0) for one in range(3) if one)
        yield "leave", 2, 0


def successor(cluster: Cluster, faults: Faults, step: Step) -> Faults:
    """Applies a step to the cluster; returns the faults after it."""
    kind, one, other = step
    match kind:
        case "report":
            cluster.report(one, other)
        case "wait":
            cluster.wait(one)
        case "isolate" | "heal":
            return faults._replace(partitions_left=0, isolated=one if kind == "isolate" else None)
        case "leave":
            cluster.leave(one, [index for index in range(3) if faults.isolated not in (index, one)])
            cluster.restart(one)
            return faults._replace(restarts_left=0)
        case _:
            cluster.restart(one, loses_state=kind == "lose state")
            return faults._replace(restarts_left=0)
    return faults


@pytest.mark.parametrize("node_count", [1, 2])
def test_sum_of_quotas_never_exceeds_one_in_all_sequences_of_three_nodes(node_count: int) -> None:
    """One or two of the nodes are newcomers."""
    start = Cluster(3, node_count)
    start.wait(ROLE_HOLD_OFF_MS)
    level = [(pickle.dumps(start), Faults())]
    seen: set[int] = set()
    highest_sum = Fraction()
    for _ in range(MAX_DEPTH):
        next_level = []
        for data, faults in level:
            for step in next_steps(faults):
                cluster: Cluster = pickle.loads(data)
                faults_after = successor(cluster, faults, step)
                assert cluster.quota_sum <= 1, (cluster.nodes, cluster.quota_sum)
                highest_sum = max(highest_sum, cluster.quota_sum)
                state = pickle.dumps(cluster)
                if (key := hash((state, faults_after))) not in seen:
                    seen.add(key)
                    next_level.append((state, faults_after))
        level = next_level
    assert len(seen) > 1_000 and highest_sum == 1
