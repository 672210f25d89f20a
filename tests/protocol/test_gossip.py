"""Datagrams between nodes: encoding, rejections, replays, key rotation, and that no input raises."""

from __future__ import annotations

import pickle
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.protocol import gossip
from balancer.protocol.gossip import (
    AcceptedDatagram,
    Key,
    Message,
    Reader,
    RejectedDatagram,
    Writer,
    parse_keys,
)

OLD_KEY, NEW_KEY = Key(b"o" * 32), Key(b"n" * 32)
ADDRESSES = st.sampled_from(
    ["10.0.0.1:7946", "255.255.255.255:65535", "[::1]:7946", "host.internal:80", "1.2.3.4", ""]
)
RECORDS = st.tuples(
    st.text(max_size=16), st.integers(0, 255), st.integers(0, 2**32 - 1), ADDRESSES, st.integers(0, 65_535)
)
MESSAGES = st.builds(
    Message,
    st.integers(0, 255),
    st.integers(0, 2**32 - 1),
    st.text(max_size=8),
    ADDRESSES,
    st.lists(RECORDS, max_size=2).map(tuple),
)
PING = Message(1, 7, "b", "", (("c", 1, 5, "10.0.0.3:7946", 9),))


def outcome(datagram: AcceptedDatagram | RejectedDatagram) -> str:
    """The reason of a rejection, else whether the datagram is of the sender's current incarnation."""
    if isinstance(datagram, RejectedDatagram):
        return datagram.reason
    return "current" if datagram.is_current else "stale"


@given(MESSAGES, st.integers(0, 2**32 - 1))
def test_written_datagram_is_read_back_and_has_the_computed_size(message: Message, incarnation: int) -> None:
    data = Writer("ä", [NEW_KEY]).write(incarnation, message)
    assert Reader([OLD_KEY, NEW_KEY]).read(0, "a", data) == AcceptedDatagram("ä", incarnation, message, True)
    records_bytes = sum(map(gossip.record_size_bytes, message.records))
    assert (
        len(data)
        == gossip.MAX_DATAGRAM_BYTES - gossip.record_space_bytes("ä", message) + records_bytes
        <= gossip.MAX_DATAGRAM_BYTES
    )


def test_writer_with_too_many_records_raises() -> None:
    records = tuple((f"node-{number}", 0, 1, "10.0.0.1:7946", 0) for number in range(10))
    with pytest.raises(ValueError, match="at most 256"):
        Writer("a", [NEW_KEY]).write(1, Message(1, 1, "b", "", records))


@settings(max_examples=400)
@given(MESSAGES, st.data())
def test_changed_or_truncated_datagram_is_rejected(message: Message, data: st.DataObject) -> None:
    complete = Writer("a", [NEW_KEY]).write(1, message)
    at = data.draw(st.integers(0, len(complete) - 1))
    changed = complete[:at] + bytes((complete[at] ^ data.draw(st.integers(1, 255)),)) + complete[at + 1 :]
    reader = Reader([NEW_KEY])
    for bad in (changed, complete[:at], complete + b"\0"):
        assert isinstance(reader.read(0, "a", bad), RejectedDatagram)
    assert outcome(reader.read(0, "a", complete)) == "current"


@settings(max_examples=400)
@given(st.binary(max_size=300), st.binary(max_size=220))
def test_reader_never_raises(anything: bytes, body: bytes) -> None:
    """Any bytes, and any bytes with a right MAC, as a faulty node with the key would send them."""
    reader = Reader([NEW_KEY])
    reader.read(0, "a", anything)
    signed = b"\1\1" + NEW_KEY.id + body
    reader.read(0, "a", signed + NEW_KEY.mac(signed))
    complete = Writer("a", [NEW_KEY]).write(1, PING)[: -gossip.MAC_BYTES]
    spoilt = complete[: len(body)] + body[: max(0, len(complete) - len(body))]
    spoilt = b"\1\1" + NEW_KEY.id + spoilt[4:]
    reader.read(0, "a", spoilt + NEW_KEY.mac(spoilt))


def test_truncated_datagram_with_valid_mac_is_malformed() -> None:
    complete = Writer("a", [NEW_KEY]).write(1, PING)[: -gossip.MAC_BYTES]
    for length in range(14, len(complete)):
        assert (
            outcome(Reader([NEW_KEY]).read(0, "a", complete[:length] + NEW_KEY.mac(complete[:length])))
            == "garbled"
        )
    record = PING.records[0]
    message = PING._replace(
        records=((*record[:3], "10.0.0.3:7936", 0),)
    )  # the last byte of its port would end the records
    data = Writer("a", [NEW_KEY]).write(1, message)[: -gossip.MAC_BYTES]
    length_position = data.index(b"\1c") - 8  # the record's length: its fields must not extend past it
    shortened = data[:length_position] + bytes((data[length_position] - 1,)) + data[length_position + 1 : -1]
    assert outcome(Reader([NEW_KEY]).read(0, "a", shortened + NEW_KEY.mac(shortened))) == "garbled"


def test_datagram_of_later_version_is_read_if_least_allows_it() -> None:
    """Appended bytes in a record and unknown sections are skipped; a greater `least` is rejected."""
    data = Writer("a", [NEW_KEY]).write(1, PING)[: -gossip.MAC_BYTES]
    length_position = data.index(b"\1c") - 8  # the record's length
    later_datagram = (
        b"\2\1"
        + data[2:length_position]
        + bytes((data[length_position] + 3,))
        + data[length_position + 1 : -1]
        + b"new\0section"
    )
    reader = Reader([NEW_KEY])
    assert reader.read(0, "a", later_datagram + NEW_KEY.mac(later_datagram)) == AcceptedDatagram(
        "a", 1, PING, True
    )
    later_datagram = b"\2\2" + later_datagram[2:]
    assert outcome(reader.read(0, "a", later_datagram + NEW_KEY.mac(later_datagram))) == "version"


def test_key_rotation_has_no_gap() -> None:
    """Each step reaches the nodes one by one; all accept each other's datagrams throughout."""
    steps = [(OLD_KEY,), (OLD_KEY, NEW_KEY), (NEW_KEY, OLD_KEY), (NEW_KEY,)]
    for before, after in pairwise(steps):
        for signs, reads in ((before, after), (after, before)):
            assert outcome(Reader(reads).read(0, "a", Writer("a", signs).write(1, PING))) == "current"
    assert outcome(Reader([NEW_KEY]).read(0, "a", Writer("a", [OLD_KEY]).write(1, PING))) == "key"


def test_replayed_datagram_is_rejected_after_sender_restart_too() -> None:
    reader, writer = Reader([NEW_KEY]), Writer("a", [NEW_KEY])
    sent = [writer.write(3, PING) for _ in range(gossip.REPLAY_WINDOW_COUNTERS + 3)]
    assert outcome(reader.read(0, "a", sent[5])) == "current"
    assert outcome(reader.read(0, "a", sent[4])) == "current"  # late, not seen
    for again in (sent[4], sent[5]):
        assert outcome(reader.read(0, "a", again)) == "replay"
    assert outcome(reader.read(0, "a", sent[-1])) == "current"
    assert outcome(reader.read(0, "a", sent[0])) == "replay"  # older than the window
    assert outcome(reader.read(0, "a", sent[6])) == "current"
    restarted = Writer("a", [NEW_KEY])
    assert outcome(reader.read(0, "a", restarted.write(4, PING))) == "current"
    assert outcome(reader.read(0, "a", sent[10])) == "stale"  # of the sender's previous incarnation


def test_forged_datagrams_beyond_the_bound_cost_no_mac() -> None:
    class CountingKey(Key):
        mac_count = 0

        def mac(self, data: bytes) -> bytes:
            CountingKey.mac_count += 1
            return super().mac(data)

    key = CountingKey(b"n" * 32)
    reader, known, new = Reader([key]), Writer("a", [NEW_KEY]), Writer("b", [NEW_KEY])
    once = known.write(1, PING)
    assert outcome(reader.read(0, "10.0.0.1:1", once)) == "current"
    assert outcome(reader.read(0, "10.6.6.6:1", once)) == "replay"  # a replay makes no address known
    forged = known.write(1, PING)[:-1] + b"x"
    CountingKey.mac_count = 0
    for number in range(gossip.MAX_FORGED_PER_S + 500):
        reader.read(500, f"10.6.{number >> 8}.6:1", forged)
    assert CountingKey.mac_count == gossip.MAX_FORGED_PER_S and reader.rejected_counts["stranger"] == 500
    assert outcome(reader.read(600, "10.0.0.1:1", known.write(1, PING))) == "current"
    assert outcome(reader.read(600, "10.6.6.6:1", known.write(1, PING))) == "stranger"
    assert outcome(reader.read(600, "10.0.0.2:1", new.write(1, PING))) == "stranger"
    assert outcome(reader.read(1_000, "10.0.0.2:1", new.write(1, PING))) == "current"


def test_replay_windows_and_known_addresses_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossip, "MAX_SENDERS", 8)
    reader = Reader([NEW_KEY])
    for number in range(20):
        reader.read(0, f"10.0.0.{number}:1", Writer(f"n{number}", [NEW_KEY]).write(1, PING))
    assert len(reader._replay_windows) == len(reader._known_addresses) == 8


def test_key_is_shown_neither_by_repr_nor_in_errors() -> None:
    assert "6e6e" not in repr(NEW_KEY) and "nnn" not in repr(NEW_KEY)
    with pytest.raises(TypeError):
        pickle.dumps(NEW_KEY)
    key_hex = "6e" * 16
    assert [key.id for key in parse_keys(f"# first\n{key_hex}\n\n{'6f' * 32}\n")] == [
        Key(b"n" * 16).id,
        OLD_KEY.id,
    ]
    with pytest.raises(ValueError, match=r"line 1: not a key.*line 2: not a key.*line 4: the same") as error:
        parse_keys(f"secret-one\n6e6e\n{key_hex}\n{key_hex}")
    assert "secret" not in str(error.value) and "6e" not in str(error.value)
    with pytest.raises(ValueError, match="0 keys"):
        parse_keys("\n")
