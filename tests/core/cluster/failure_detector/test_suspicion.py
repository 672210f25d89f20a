"""Tests of suspicions and their dissemination, stalls and local health."""

from __future__ import annotations

import pytest

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.events import (
    DatagramReceived,
    ProcessStalled,
    SendDatagram,
    SetTimer,
    Started,
    TimerFired,
)
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState
from balancer.core.cluster.failure_detector.messages import Message, MessageKind
from tests.core.cluster.failure_detector.support import (
    A,
    B,
    C,
    D,
    changes,
    detector_of,
    receive,
    run_timers,
)


def test_address_taken_by_another_node_suspects_the_previous_one() -> None:
    detector = detector_of()
    receive(detector, 0, "b", B)
    receive(detector, 0, "c", C)
    assert ("suspected", "b") in changes(receive(detector, 10, "d", B))
    other = detector_of(0, name="d", address=B)
    answers = other.handle(0, DatagramReceived("a", 1, A, Message(MessageKind.PING, 3, "b", "", ())))
    assert not any(
        isinstance(answer, SendDatagram) and answer.message.kind == MessageKind.ACK for answer in answers
    )


def test_stalled_node_declares_no_peer_failed_before_it_heard_others() -> None:
    detector = detector_of()
    detector.handle(0, Started())
    for name, address in (("b", B), ("c", C), ("d", D)):
        receive(detector, 0, name, address)
    receive(detector, 0, "d", D, MemberRecord("b", PeerState.SUSPECT, 1, B, 5))
    detector.handle(60_000, ProcessStalled(60_000))
    for name, address in (("b", B), ("c", C), ("d", D)):
        receive(detector, 60_001, name, address)  # these datagrams waited in the socket
    assert not [change for change in changes(run_timers(detector, 60_002, 90_000)) if change[0] == "failed"]
    for name, address in (("b", B), ("c", C), ("d", D)):
        receive(detector, 90_000, name, address, incarnation=2)
    assert detector.heard_since_stall is None
    assert ("failed", "c") in changes(run_timers(detector, 90_000, 100_000))


def test_gossiped_failure_of_recently_heard_peer_is_a_suspicion() -> None:
    detector = detector_of()
    receive(detector, 0, "b", B)
    receive(detector, 100, "c", C, MemberRecord("b", PeerState.FAILED, 1, B))
    assert detector.state_of("b") is PeerState.SUSPECT
    receive(detector, parameters.RECENT_CONTACT_MS + 1, "c", C, MemberRecord("b", PeerState.FAILED, 1, B))
    assert detector.state_of("b") is PeerState.FAILED


def test_datagram_to_a_suspect_starts_with_the_claim_against_it() -> None:
    detector = detector_of()
    records = [MemberRecord(f"x{number}", PeerState.ALIVE, 1, f"10.1.0.{number}:1") for number in range(30)]
    receive(detector, 0, "b", B, *records, MemberRecord("c", PeerState.SUSPECT, 1, C, 4))
    for kind in (MessageKind.PING, MessageKind.MEMBERS_REQUEST):
        target = "a" if kind == MessageKind.PING else ""
        actions = detector.handle(1, DatagramReceived("c", 1, C, Message(kind, 0, target, "", ())))
        sent = [action for action in actions if isinstance(action, SendDatagram)]
        assert sent[0].message.records[0][:3] == ("c", PeerState.SUSPECT, 1)


def test_suspicion_is_gossiped_immediately_to_the_suspect_and_few_others() -> None:
    detector = detector_of()
    for number in range(30):
        receive(detector, 0, f"x{number}", f"10.1.0.{number}:1")
    sent = []
    for number in range(20):
        record = MemberRecord(f"x{number}", PeerState.SUSPECT, 1, f"10.1.0.{number}:1", 5)
        actions = (a for a in receive(detector, 1, "b", B, record) if isinstance(a, SendDatagram))
        gossiped = [action for action in actions if action.message.kind == MessageKind.GOSSIP]
        assert number or {"10.1.0.0:1"} < {action.address for action in gossiped}
        sent += gossiped
    assert len(sent) == parameters.MAX_IMMEDIATE_GOSSIP_PER_INTERVAL  # until the next period


def test_suspicion_with_more_accusers_ends_sooner() -> None:
    """Repeated claims by the same accuser count once."""
    end_times_ms = []
    for accusers in ((5,), (5, 5, 5, 5), (5, 6), (5, 6, 7, 8)):
        detector = detector_of()
        detector.handle(0, Started())
        for number in range(9):
            receive(detector, 0, f"x{number}", f"10.1.0.{number}:1")
        for accuser_id in accusers:
            receive(
                detector,
                0,
                "x1",
                "10.1.0.1:1",
                MemberRecord("x0", PeerState.SUSPECT, 1, "10.1.0.0:1", accuser_id),
            )
        timer_ms = 0.0
        while detector.state_of("x0") is PeerState.SUSPECT:
            actions = detector.handle(timer_ms, TimerFired())
            timer_ms = max(timer_ms + 1, next(a.at_ms for a in reversed(actions) if isinstance(a, SetTimer)))
        end_times_ms.append(timer_ms)
    assert (
        end_times_ms[0] == pytest.approx(end_times_ms[1], abs=5)
        and end_times_ms[1] > end_times_ms[2] + 50 > end_times_ms[3] + 100
    )


def test_missing_nacks_lower_local_health_and_nacks_restore_it() -> None:
    scores = []
    for has_nacks in (False, True):
        detector = detector_of()
        detector.handle(0, Started())
        for number in range(9):
            receive(detector, 0, f"x{number}", f"10.1.0.{number}:1")
        for turn in range(1, 30):
            for action in detector.handle(turn * 40, TimerFired()):
                if (
                    isinstance(action, SendDatagram)
                    and action.message.kind == MessageKind.PING_REQ
                    and has_nacks
                ):
                    helper = f"x{action.address.split('.')[3].split(':')[0]}"
                    nack = Message(MessageKind.NACK, action.message.sequence, "", "", ())
                    detector.handle(turn * 40 + 20, DatagramReceived(helper, 1, action.address, nack))
        scores.append(detector.local_health)
    assert scores == [parameters.MAX_LOCAL_HEALTH, 0]
