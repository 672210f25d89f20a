"""Tests of merging records: the laws of the order, and the bounds that hold for any message."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.events import (
    DatagramReceived,
    SendDatagram,
    Started,
)
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState, newer_record
from balancer.core.cluster.failure_detector.messages import Message, MessageKind
from balancer.protocol import gossip
from tests.core.cluster.failure_detector.support import (
    RECORDS,
    A,
    B,
    C,
    D,
    changes,
    detector_of,
    receive,
    run_timers,
)


@given(RECORDS, RECORDS, RECORDS)
def test_newer_record_is_associative_commutative_and_idempotent(
    one: MemberRecord, two: MemberRecord, three: MemberRecord
) -> None:
    assert newer_record(one, two) == newer_record(two, one)
    assert newer_record(one, one) == one
    assert newer_record(newer_record(one, two), three) == newer_record(one, newer_record(two, three))


@given(
    st.lists(RECORDS.map(lambda record: record._replace(accuser_id=0)), min_size=1, max_size=8), st.randoms()
)
def test_records_in_any_order_and_twice_give_the_same_peer(
    records: list[MemberRecord], random: Random
) -> None:
    one, other = detector_of(), detector_of()
    shuffled = records * 2
    random.shuffle(shuffled)
    for detector, gossiped in ((one, records), (other, shuffled)):
        for record in gossiped:
            receive(detector, 0, "c", D, record)
    assert one.peers["b"].record[:4] == other.peers["b"].record[:4]


@given(st.lists(st.one_of(RECORDS, st.integers(1, 3), st.floats(1, 2_000)), max_size=20))
def test_failed_incarnation_never_returns(steps: list[MemberRecord | int | float]) -> None:
    """Records, own datagrams of the peer and time, in any order."""
    detector, now, failed = detector_of(), 0.0, 0
    detector.handle(now, Started())
    for step in steps:
        if isinstance(step, MemberRecord):
            receive(detector, now, "c", D, step)
        elif isinstance(step, int):
            receive(detector, now, "b", B, incarnation=step)
        else:
            run_timers(detector, now, now + step)
            now += step
        held = detector.peers.get("b")
        if held and held.record.state >= PeerState.FAILED:
            failed = max(failed, held.record.incarnation)
        assert held is None or held.record.state >= PeerState.FAILED or held.record.incarnation > failed


@given(
    st.integers(0, 9),
    st.integers(0, 2**32 - 1),
    st.sampled_from(["a", "b", ""]),
    st.sampled_from([A, C, "", "x:y"]),
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c", "", "ä" * 32]),
            st.integers(0, 255),
            st.integers(0, 2**32 - 1),
            st.sampled_from([A, B, "", "x" * 64]),
            st.integers(0, 65_535),
        ),
        max_size=5,
    ),
    st.integers(0, 2**32 - 1),
    st.booleans(),
)
def test_any_message_raises_nothing_and_every_answer_fits_a_datagram(
    kind: int,
    sequence: int,
    target: str,
    address: str,
    records: list[MemberRecord],
    incarnation: int,
    is_current: bool,
) -> None:
    detector, writer = detector_of(), gossip.Writer("a", [gossip.Key(bytes(32))])
    detector.handle(0, Started())
    for sender, source in (("b", B), ("c", B), ("a", D)):
        datagram = DatagramReceived(
            sender, incarnation, source, Message(kind, sequence, target, address, records), is_current
        )
        for action in detector.handle(1, datagram) + run_timers(detector, 1, 500):
            if isinstance(action, SendDatagram):
                assert len(writer.write(action.incarnation, action.message)) <= gossip.MAX_DATAGRAM_BYTES


def test_many_peers_failures_and_relayed_probes_keep_tables_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("MAX_PEERS", "MAX_TOMBSTONES", "MAX_RELAYED_PROBES"):
        monkeypatch.setattr(parameters, name, 5)
    detector, actions = detector_of(), []
    for number in range(40):
        record = MemberRecord(f"x{number}", number % 2 * 2, 1, f"10.1.0.{number}:1")
        actions += receive(detector, 0, "b", B, record)
        detector.handle(0, DatagramReceived("b", 1, B, Message(MessageKind.PING_REQ, number, "c", C, ())))
    assert (
        len(detector.members.ring) == 5
        and len(detector.members.tombstones) == 5
        and len(detector.prober.relayed) == 5
    )
    assert len(detector.peers) == 10 and changes(actions).count(("full", "x8")) == 1
    detector.handle(0, Started())
    run_timers(detector, 0, parameters.TOMBSTONE_RETENTION_MS + 60_000)
    assert not detector.peers  # all tombstones have expired
