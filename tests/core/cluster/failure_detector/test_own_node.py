"""Tests of the own node: refutation, asking for the incarnation, name conflicts and shutdown."""

from __future__ import annotations

from random import Random

import pytest

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.events import (
    DatagramReceived,
    PersistIncarnation,
    SendDatagram,
    ShutdownStarted,
    Started,
)
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState
from balancer.core.cluster.failure_detector.messages import Message, MessageKind
from balancer.protocol import gossip
from benchmarks.failure_detection import Net
from tests.core.cluster.failure_detector.support import (
    EMPTY_MESSAGE,
    A,
    B,
    detector_of,
    receive,
    run_timers,
)


def test_claim_against_own_node_is_refuted_by_a_greater_incarnation() -> None:
    detector = detector_of(4)
    detector.handle(0, Started())
    assert detector.incarnation == 5
    for state in (PeerState.SUSPECT, PeerState.FAILED, PeerState.LEFT):
        incarnation = detector.incarnation
        actions = receive(detector, 0, "b", B, MemberRecord("a", state, incarnation, A))
        assert PersistIncarnation(incarnation + 1) in actions and detector.incarnation == incarnation + 1
    receive(
        detector,
        0,
        "b",
        B,
        MemberRecord("a", PeerState.SUSPECT, 2, A),
        MemberRecord("a", PeerState.FAILED, 2**32 - 1, A),
    )
    assert detector.incarnation == 8  # one claim is outdated, the other too high to be refuted


def test_node_without_incarnation_asks_for_it_before_it_takes_part() -> None:
    detector = detector_of(None, B)
    actions = detector.handle(0, Started())
    answer = DatagramReceived(
        "c", 3, B, Message(MessageKind.MEMBERS_PAGE, 0, "", "", (MemberRecord("a", PeerState.FAILED, 9, A),))
    )
    actions += run_timers(detector, 0, 200) + detector.handle(210, answer)
    actions += run_timers(detector, 211, 600)
    sent = [action for action in actions if isinstance(action, SendDatagram)]
    assert sent and all(action.incarnation == 0 and action.message.kind in (1, 2, 5, 6) for action in sent)
    assert not any(action.message.kind == MessageKind.PING for action in sent)
    assert PersistIncarnation(10) in run_timers(detector, 601, 1_300) and detector.incarnation == 10


@pytest.mark.parametrize(("reported", "expected"), [(9, 10), (2, 5)])
def test_node_with_outdated_incarnation_asks_and_uses_the_greater(reported: int, expected: int) -> None:
    detector = FailureDetector(
        "a",
        A,
        [B],
        4,
        Random(1),
        gossip.record_size_bytes,
        gossip.record_space_bytes,
        ask_for_incarnation=True,
    )
    assert (
        not any(isinstance(action, PersistIncarnation) for action in detector.handle(0, Started()))
        and detector.reported_incarnation is None
    )
    detector.handle(
        210,
        DatagramReceived(
            "c",
            3,
            B,
            Message(MessageKind.MEMBERS_PAGE, 0, "", "", (MemberRecord("a", PeerState.ALIVE, reported, A),)),
        ),
    )
    assert (
        PersistIncarnation(expected) in run_timers(detector, 211, 1_300)
        and detector.reported_incarnation == reported
    )


def test_node_without_answers_starts_alone_and_raises_its_incarnation_later() -> None:
    detector = detector_of(None, B)
    detector.handle(0, Started())
    run_timers(detector, 0, parameters.NO_ANSWER_WAIT_MS - 300)
    assert detector.is_asking_for_incarnation
    run_timers(detector, parameters.NO_ANSWER_WAIT_MS - 299, parameters.NO_ANSWER_WAIT_MS + 300)
    assert detector.incarnation == 1
    receive(
        detector, 4_000, "b", B, MemberRecord("a", PeerState.ALIVE, 9, A)
    )  # the claim of an earlier process
    assert detector.incarnation == 10


def test_stale_sender_is_sent_its_record_once_a_period() -> None:
    detector = detector_of()
    receive(detector, 0, "b", B, incarnation=7)
    stale = DatagramReceived("b", 1, B, EMPTY_MESSAGE, is_current=False)
    (sent,) = (action for action in detector.handle(1, stale) if isinstance(action, SendDatagram))
    assert sent.address == B and any(record[0] == "b" and record[2] == 7 for record in sent.message.records)
    assert not any(
        isinstance(action, SendDatagram) for _ in range(50) for action in detector.handle(2, stale)
    )


def test_two_nodes_with_one_name_are_reported_and_the_greater_address_yields() -> None:
    net = Net(4, 5)
    net.run(2_000)
    net.add("n1", [net.address("n0")], 0, at="10.9.9.9:7946")
    net.do("10.9.9.9:7946", Started())
    net.run(10_000)
    changes = {(observer, action.change) for _, observer, action in net.told if action.name == "n1"}
    assert ("n1", "doubled") in changes and ("n1", "yielded") in changes
    first, second = net.nodes[net.address("n1")], net.nodes["10.9.9.9:7946"]
    assert (
        second.has_yielded_name and not first.has_yielded_name and first.incarnation < 20
    )  # they do not raise their incarnations in turn forever
    del net.nodes[net.address("n1")]
    net.run(20_000)
    assert (
        not second.has_yielded_name
        and net.nodes[net.address("n0")].peers["n1"].record.address == "10.9.9.9:7946"
    )


def test_node_that_shuts_down_is_left_on_all_other_nodes() -> None:
    net = Net(6, 1)
    net.run(1_000)
    net.do(net.address("n2"), ShutdownStarted())
    del net.nodes[net.address("n2")]
    net.run(2_000)
    assert {node.state_of("n2") for node in net.nodes.values()} == {PeerState.LEFT}
    assert not [action for _, _, action in net.told if action.change in ("suspected", "failed")]
