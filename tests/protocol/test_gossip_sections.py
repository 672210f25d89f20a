"""Gossip sections: round trips, decoders that never raise, and older nodes that skip them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.events import DatagramReceived, SendDatagram, TimerFired
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.cluster.failure_detector.messages import Message
from balancer.protocol import gossip, gossip_sections
from balancer.protocol.gossip_sections import NodeState, SourcePosition

KEY = gossip.Key(b"k" * 32)
UINT32, NUMBER, TEXT = st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1), st.text(max_size=12)
SOURCE_POSITIONS = st.lists(
    st.builds(SourcePosition, st.sampled_from(["platform", "etcd", "x", ""]), UINT32, NUMBER, NUMBER),
    max_size=4,
).map(tuple)
NODE_STATES = st.builds(
    NodeState,
    st.text(min_size=1, max_size=12),
    *[NUMBER] * 7,
    UINT32,
    st.tuples(UINT32, UINT32),
    TEXT,
    TEXT,
    SOURCE_POSITIONS,
)
DIGESTS = st.lists(st.tuples(st.integers(0, 65_535), st.integers(0, 2**48 - 1)), max_size=20)


@given(NODE_STATES, st.binary(max_size=9))
def test_node_state_is_decoded_as_encoded_with_unknown_trailing_fields(
    state: NodeState, trailing_bytes: bytes
) -> None:
    data = gossip_sections.encode_node_state(state)
    assert gossip_sections.decode_node_state(data) == state
    assert gossip_sections.decode_node_state(data + trailing_bytes) == state
    for length in range(len(data)):
        assert gossip_sections.decode_node_state(data[:length]) is None


@given(DIGESTS)
def test_tree_digests_are_decoded_as_encoded(digests: list[tuple[int, int]]) -> None:
    data = gossip_sections.encode_tree_digests(digests)
    assert gossip_sections.decode_tree_digests(data) == digests


@given(DIGESTS, NUMBER)
def test_leaf_entries_are_decoded_as_encoded(digests: list[tuple[int, int]], key: int) -> None:
    entries = [(key ^ tree_index, digest) for tree_index, digest in digests]
    data = gossip_sections.encode_leaf_entries(7, entries)
    assert gossip_sections.decode_leaf_entries(data) == (7, entries)


@given(DIGESTS, NUMBER, TEXT)
def test_removals_are_decoded_as_encoded(digests: list[tuple[int, int]], revision: int, name: str) -> None:
    removals = [(f"{name}{number}", revision, number % 2) for number, _ in digests]
    data = gossip_sections.encode_removals(name, 9, removals)
    assert gossip_sections.decode_removals(data) == (name, 9, removals)


@given(DIGESTS)
def test_quota_report_is_decoded_as_encoded(digests: list[tuple[int, int]]) -> None:
    newcomers = tuple((index, digest % 2**32, index % 2 == 0) for index, digest in digests)
    data = gossip_sections.encode_quota_report(1, 2, 3, True, False, newcomers)
    assert gossip_sections.decode_quota_report(data) == (1, 2, 3, True, False, newcomers)


@pytest.mark.parametrize(
    "decode",
    [
        gossip_sections.decode_node_state,
        gossip_sections.decode_quota_report,
        gossip_sections.decode_tree_digests,
        gossip_sections.decode_leaf_entries,
        gossip_sections.decode_removals,
        gossip_sections.decode_removals_query,
    ],
)
@given(data=st.binary(max_size=220))
def test_decoder_of_any_bytes_does_not_raise(decode: Callable[[bytes], object], data: bytes) -> None:
    decode(data)


@given(st.binary(max_size=220))
def test_datagram_with_any_bytes_after_its_records_is_accepted(trailing_bytes: bytes) -> None:
    datagram = gossip.Writer("a", [KEY]).write(1, gossip.Message(1, 1, "", "", ()))
    signed = datagram[: -gossip.MAC_BYTES] + trailing_bytes
    accepted = gossip.Reader([KEY]).read(0, "x", signed + KEY.mac(signed))
    assert isinstance(accepted, gossip.AcceptedDatagram)


@given(st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=40)), max_size=4), st.binary(max_size=1))
def test_sections_follow_the_records_and_a_truncated_one_ends_them(
    sections: list[tuple[int, bytes]], truncated: bytes
) -> None:
    message = gossip.Message(2, 7, "b", "", (("c", 1, 5, "10.0.0.3:7946", 9),))
    datagram = gossip.Writer("a", [KEY]).write(1, message, sections)
    signed = datagram[: -gossip.MAC_BYTES] + truncated
    accepted = gossip.Reader([KEY]).read(0, "x", signed + KEY.mac(signed))
    assert accepted == gossip.AcceptedDatagram("a", 1, message, True, tuple(sections))


def test_older_node_marks_the_sender_of_sections_alive() -> None:
    """Its failure detector knows neither the message kind nor the sections, and sends no reply."""
    old_detector = FailureDetector(
        "b", "10.0.0.2:1", (), 0, Random(1), gossip.record_size_bytes, gossip.record_space_bytes
    )
    state = NodeState("a", 1, 1, 0, 3, 0, 0, 2, 7, (1, 2), "0.1", "z", ())
    section = gossip_sections.NODE_STATE, gossip_sections.encode_node_state(state)
    message = gossip.Message(gossip_sections.MESSAGE_KIND, 0, "", "", ())
    datagram = gossip.Writer("a", [KEY]).write(1, message, [section])
    accepted = gossip.Reader([KEY]).read(0, "10.0.0.1:1", datagram)
    assert isinstance(accepted, gossip.AcceptedDatagram)
    received = DatagramReceived(
        accepted.sender, accepted.incarnation, "10.0.0.1:1", Message(*accepted.message)
    )
    actions = old_detector.handle(0, received)
    assert old_detector.state_of("a") is PeerState.ALIVE
    assert not any(isinstance(action, SendDatagram) for action in actions)
    old_detector.handle(1, TimerFired())
