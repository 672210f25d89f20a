"""Datagrams between nodes: what is read, what is refused, and that nothing raises."""

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

OLD, NEW = Key(b"o" * 32), Key(b"n" * 32)
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


def outcome(found: AcceptedDatagram | RejectedDatagram) -> str:
    return found.reason if isinstance(found, RejectedDatagram) else f"fresh {found.is_current}"


@given(MESSAGES, st.integers(0, 2**32 - 1))
def test_what_is_written_is_read_and_its_size_is_reckoned(message: Message, incarnation: int) -> None:
    data = Writer("ä", [NEW]).write(incarnation, message)
    assert Reader([OLD, NEW]).read(0, "a", data) == AcceptedDatagram("ä", incarnation, message, True)
    words = sum(map(gossip.record_size_bytes, message.records))
    assert (
        len(data)
        == gossip.MAX_DATAGRAM_BYTES - gossip.record_space_bytes("ä", message) + words
        <= gossip.MAX_DATAGRAM_BYTES
    )


def test_one_too_long_is_not_written() -> None:
    words = tuple((f"node-{number}", 0, 1, "10.0.0.1:7946", 0) for number in range(10))
    with pytest.raises(ValueError, match="at most 256"):
        Writer("a", [NEW]).write(1, Message(1, 1, "b", "", words))


@settings(max_examples=400)
@given(MESSAGES, st.data())
def test_a_changed_or_cut_datagram_is_refused(message: Message, data: st.DataObject) -> None:
    whole = Writer("a", [NEW]).write(1, message)
    at = data.draw(st.integers(0, len(whole) - 1))
    changed = whole[:at] + bytes((whole[at] ^ data.draw(st.integers(1, 255)),)) + whole[at + 1 :]
    reader = Reader([NEW])
    for bad in (changed, whole[:at], whole + b"\0"):
        assert isinstance(reader.read(0, "a", bad), RejectedDatagram)
    assert outcome(reader.read(0, "a", whole)) == "fresh True"


@settings(max_examples=400)
@given(st.binary(max_size=300), st.binary(max_size=220))
def test_what_comes_never_raises(anything: bytes, body: bytes) -> None:
    """As it is, and with a right code, as a faulty node with the key would send it."""
    reader = Reader([NEW])
    reader.read(0, "a", anything)
    signed = b"\1\1" + NEW.id + body
    reader.read(0, "a", signed + NEW.mac(signed))
    whole = Writer("a", [NEW]).write(1, PING)[: -gossip.MAC_BYTES]
    spoilt = whole[: len(body)] + body[: max(0, len(whole) - len(body))]
    spoilt = b"\1\1" + NEW.id + spoilt[4:]
    reader.read(0, "a", spoilt + NEW.mac(spoilt))


def test_one_cut_by_a_node_with_the_key_is_garbled() -> None:
    whole = Writer("a", [NEW]).write(1, PING)[: -gossip.MAC_BYTES]
    for length in range(14, len(whole)):
        assert outcome(Reader([NEW]).read(0, "a", whole[:length] + NEW.mac(whole[:length]))) == "garbled"
    word = PING.records[0]
    message = PING._replace(records=((*word[:3], "10.0.0.3:7936", 0),))  # its last byte would end the words
    data = Writer("a", [NEW]).write(1, message)[: -gossip.MAC_BYTES]
    at = data.index(b"\1c") - 8  # the word's length: nothing in it may be read from behind it
    short = data[:at] + bytes((data[at] - 1,)) + data[at + 1 : -1]
    assert outcome(Reader([NEW]).read(0, "a", short + NEW.mac(short))) == "garbled"


def test_later_versions_are_read_where_they_say_so() -> None:
    """A word has more behind it, a section comes behind the words: both are skipped. `least` refuses."""
    data = Writer("a", [NEW]).write(1, PING)[: -gossip.MAC_BYTES]
    at = data.index(b"\1c") - 8  # the word's length
    later = b"\2\1" + data[2:at] + bytes((data[at] + 3,)) + data[at + 1 : -1] + b"new\0section"
    reader = Reader([NEW])
    assert reader.read(0, "a", later + NEW.mac(later)) == AcceptedDatagram("a", 1, PING, True)
    later = b"\2\2" + later[2:]
    assert outcome(reader.read(0, "a", later + NEW.mac(later))) == "version"


def test_a_key_is_rotated_without_a_gap() -> None:
    """Each step reaches one node after the other; all read each other throughout."""
    steps = [(OLD,), (OLD, NEW), (NEW, OLD), (NEW,)]
    for before, after in pairwise(steps):
        for signs, reads in ((before, after), (after, before)):
            assert outcome(Reader(reads).read(0, "a", Writer("a", signs).write(1, PING))) == "fresh True"
    assert outcome(Reader([NEW]).read(0, "a", Writer("a", [OLD]).write(1, PING))) == "key"


def test_replays_are_refused_across_a_restart_of_the_sender() -> None:
    reader, writer = Reader([NEW]), Writer("a", [NEW])
    sent = [writer.write(3, PING) for _ in range(gossip.REPLAY_WINDOW_COUNTERS + 3)]
    assert outcome(reader.read(0, "a", sent[5])) == "fresh True"
    assert outcome(reader.read(0, "a", sent[4])) == "fresh True"  # late, not seen
    for again in (sent[4], sent[5]):
        assert outcome(reader.read(0, "a", again)) == "replay"
    assert outcome(reader.read(0, "a", sent[-1])) == "fresh True"
    assert outcome(reader.read(0, "a", sent[0])) == "replay"  # older than the window
    assert outcome(reader.read(0, "a", sent[6])) == "fresh True"
    restarted = Writer("a", [NEW])
    assert outcome(reader.read(0, "a", restarted.write(4, PING))) == "fresh True"
    assert outcome(reader.read(0, "a", sent[10])) == "fresh False"  # of the older self


def test_forged_ones_cost_no_code_beyond_the_bound() -> None:
    class Counted(Key):
        codes = 0

        def mac(self, data: bytes) -> bytes:
            Counted.codes += 1
            return super().mac(data)

    key = Counted(b"n" * 32)
    reader, known, new = Reader([key]), Writer("a", [NEW]), Writer("b", [NEW])
    once = known.write(1, PING)
    assert outcome(reader.read(0, "10.0.0.1:1", once)) == "fresh True"
    assert outcome(reader.read(0, "10.6.6.6:1", once)) == "replay"  # makes nobody known
    forged = known.write(1, PING)[:-1] + b"x"
    Counted.codes = 0
    for number in range(gossip.MAX_FORGED_PER_S + 500):
        reader.read(500, f"10.6.{number >> 8}.6:1", forged)
    assert Counted.codes == gossip.MAX_FORGED_PER_S and reader.rejected_counts["stranger"] == 500
    assert outcome(reader.read(600, "10.0.0.1:1", known.write(1, PING))) == "fresh True"
    assert outcome(reader.read(600, "10.6.6.6:1", known.write(1, PING))) == "stranger"
    assert outcome(reader.read(600, "10.0.0.2:1", new.write(1, PING))) == "stranger"
    assert outcome(reader.read(1_000, "10.0.0.2:1", new.write(1, PING))) == "fresh True"


def test_windows_and_known_addresses_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossip, "MAX_SENDERS", 8)
    reader = Reader([NEW])
    for number in range(20):
        reader.read(0, f"10.0.0.{number}:1", Writer(f"n{number}", [NEW]).write(1, PING))
    assert len(reader._replay_windows) == len(reader._known_addresses) == 8


def test_a_key_shows_nowhere() -> None:
    assert "6e6e" not in repr(NEW) and "nnn" not in repr(NEW)
    with pytest.raises(TypeError):
        pickle.dumps(NEW)
    good = "6e" * 16
    assert [key.id for key in parse_keys(f"# first\n{good}\n\n{'6f' * 32}\n")] == [Key(b"n" * 16).id, OLD.id]
    with pytest.raises(ValueError, match=r"line 1: not a key.*line 2: not a key.*line 4: the same") as fault:
        parse_keys(f"secret-one\n6e6e\n{good}\n{good}")
    assert "secret" not in str(fault.value) and "6e" not in str(fault.value)
    with pytest.raises(ValueError, match="0 keys"):
        parse_keys("\n")
