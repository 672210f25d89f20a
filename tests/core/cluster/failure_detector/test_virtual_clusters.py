"""Tests of clusters in virtual time: failures, partitions, datagram loss and cost."""

from __future__ import annotations

import pytest

from balancer.core.cluster.failure_detector.events import (
    Started,
)
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.protocol import gossip
from benchmarks.failure_detection import Net


def is_complete(net: Net) -> bool:
    return all(len(node.members.ring) == len(net.nodes) - 1 for node in net.nodes.values())


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_dead_node_is_the_only_one_declared_failed_by_all_others(loss: float) -> None:
    net = Net(20, 2, loss)
    net.run(3_000)
    del net.nodes[net.address("n7")]
    net.run(12_000)
    assert {node.state_of("n7") for node in net.nodes.values()} == {PeerState.FAILED}
    assert {action.name for _, _, action in net.told if action.change == "failed"} <= {"n7"}
    assert net.largest <= gossip.MAX_DATAGRAM_BYTES


def test_partition_heals_and_dead_seeds_do_not_prevent_a_join() -> None:
    net = Net(10, 3)
    for node in net.nodes.values():
        node.set_seeds([])  # seeds on the other side would also heal the partition
    is_on_first_side = {address: number < 4 for number, address in enumerate(net.nodes)}
    net.cut = lambda sender, receiver: is_on_first_side.get(sender) != is_on_first_side.get(receiver)
    net.run(20_000)
    assert not is_complete(net)
    net.add("n10", ["10.0.7.7:1", "10.0.7.8:1", net.address("n2")], None)
    is_on_first_side[net.address("n10")] = True
    net.do(net.address("n10"), Started())
    net.run(25_000)
    net.cut = lambda sender, receiver: False
    net.run(30_000)
    assert is_complete(net)


def test_datagrams_per_period_do_not_grow_with_the_cluster() -> None:
    rates = []
    for size in (20, 80):
        net = Net(size, 1)
        net.run(1_000)
        net.sent = 0
        net.run(3_000)
        rates.append(net.sent / size)
    assert rates[1] < 1.15 * rates[0]


def test_record_lost_everywhere_is_gossiped_again() -> None:
    """Guards against a node that never learns of a peer.

    All nodes have reached the transmit limit of the peer's record, and one node has not received it.
    """
    net = Net(12, 4)
    net.run(1_000)
    left_out = net.nodes[net.address("n5")]
    peer = left_out.peers["n9"]
    left_out.members.move_to_tombstones(0, peer)
    left_out.members.forget("n9")
    left_out.broadcasts.clear()
    for other in net.nodes.values():
        other.broadcasts.clear()
    del net.nodes[net.address("n9")].peers["n5"]  # n9 must not contact n5 itself
    net.nodes[net.address("n9")].members.ring.remove("n5")
    net.nodes[net.address("n9")].members.probed_count = 0
    for index, name in enumerate(net.nodes[net.address("n9")].members.ring):
        net.nodes[net.address("n9")].peers[name].ring_index = index
    net.cut = lambda sender, receiver: {sender, receiver} == {net.address("n5"), net.address("n9")}
    net.run(5_000)
    assert left_out.state_of("n9") is not None
