"""Sections behind the words: what is written is read, nothing raises, older nodes pass over them."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.events import DatagramReceived, SendDatagram, TimerFired
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.cluster.failure_detector.messages import Message
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by

KEY = gossip.Key(b"k" * 32)
LONG, NUMBER, TEXT = st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1), st.text(max_size=12)
GOES: st.SearchStrategy[goes_by.NodeState] = st.tuples(
    st.text(min_size=1, max_size=12),
    *[NUMBER] * 7,
    LONG,
    st.tuples(LONG, LONG),
    TEXT,
    TEXT,
    st.lists(st.tuples(st.sampled_from(["platform", "etcd", "x", ""]), LONG, NUMBER, NUMBER), max_size=4).map(
        tuple
    ),
)


@given(GOES, st.binary(max_size=9))
def test_a_word_is_read_as_written_also_with_more_behind_it(word: goes_by.NodeState, behind: bytes) -> None:
    data = goes_by.encode_node_state(word)
    assert goes_by.decode_node_state(data) == goes_by.decode_node_state(data + behind) == word
    for length in range(len(data)):
        assert goes_by.decode_node_state(data[:length]) is None


@given(st.lists(st.tuples(st.integers(0, 65_535), st.integers(0, 2**48 - 1)), max_size=20), NUMBER, TEXT)
def test_digests_leaves_and_removals_are_read_as_written(
    digests: list[tuple[int, int]], key: int, name: str
) -> None:
    assert goes_by.decode_tree_digests(goes_by.encode_tree_digests(digests)) == digests
    entries = [(key ^ place, digest) for place, digest in digests]
    assert goes_by.decode_leaf_entries(goes_by.encode_leaf_entries(7, entries)) == (7, entries)
    out = [(f"{name}{place}", key, place % 2) for place, _ in digests]
    assert goes_by.decode_removals(goes_by.encode_removals(name, 9, out)) == (name, 9, out)
    known = tuple((place, digest % 2**32, place % 2 == 0) for place, digest in digests)
    counted = 1, 2, 3, True, False, known
    assert goes_by.decode_quota_report(goes_by.encode_quota_report(*counted)) == counted


@given(st.binary(max_size=220))
def test_whatever_comes_never_raises(data: bytes) -> None:
    for read in (
        goes_by.decode_node_state,
        goes_by.decode_tree_digests,
        goes_by.decode_leaf_entries,
        goes_by.decode_removals,
    ):
        read(data)
    goes_by.decode_quota_report(data)
    signed = gossip.Writer("a", [KEY]).write(1, gossip.Message(1, 1, "", "", ()))[: -gossip.MAC_BYTES] + data
    assert isinstance(gossip.Reader([KEY]).read(0, "x", signed + KEY.mac(signed)), gossip.AcceptedDatagram)


@given(st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=40)), max_size=4), st.binary(max_size=1))
def test_sections_are_read_behind_the_words_and_a_cut_one_ends_them(
    sections: list[tuple[int, bytes]], cut: bytes
) -> None:
    told = gossip.Message(2, 7, "b", "", (("c", 1, 5, "10.0.0.3:7946", 9),))
    data = gossip.Writer("a", [KEY]).write(1, told, sections)[: -gossip.MAC_BYTES] + cut
    read = gossip.Reader([KEY]).read(0, "x", data + KEY.mac(data))
    assert read == gossip.AcceptedDatagram("a", 1, told, True, tuple(sections))


def test_an_older_node_takes_a_datagram_of_sections_for_a_sign_of_life() -> None:
    """Its decider knows neither the kind nor the sections, and answers nothing."""
    old = FailureDetector(
        "b", "10.0.0.2:1", (), 0, Random(1), gossip.record_size_bytes, gossip.record_space_bytes
    )
    word = ("a", 1, 1, 0, 3, 0, 0, 2, 7, (1, 2), "0.1", "z", ())
    told = gossip.Message(goes_by.MESSAGE_KIND, 0, "", "", ())
    data = gossip.Writer("a", [KEY]).write(1, told, [(goes_by.NODE_STATE, goes_by.encode_node_state(word))])
    read = gossip.Reader([KEY]).read(0, "10.0.0.1:1", data)
    assert isinstance(read, gossip.AcceptedDatagram)
    actions = old.handle(
        0, DatagramReceived(read.sender, read.incarnation, "10.0.0.1:1", Message(*read.message))
    )
    assert old.state_of("a") is PeerState.ALIVE and not any(
        isinstance(action, SendDatagram) for action in actions
    )
    old.handle(1, TimerFired())
