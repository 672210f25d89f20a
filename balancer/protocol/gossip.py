"""Datagrams between nodes: at most 256 bytes, authenticated by a shared key, readable across versions.

    version 1 | least 1 | key id 2 | counter 6 | incarnation 4 | name
    kind 1 | sequence 4 | target | address | records | sections | MAC 16

Numbers are sizes in bytes. A text is a byte with its length, then UTF-8. An address is a text, or for IPv4 a
byte 255 and six bytes. A record is a byte with its length, state 1, incarnation 4, accuser id 2, name,
address; fields that a later version appends within the length are skipped. A record of length 0 ends the
records.

Sections follow, each a byte with its kind, a byte with its length and the content
(`protocol/gossip_sections`). The first version skipped all sections; later ones skip unknown kinds. A length
that exceeds the datagram ends the sections.

`least` is the oldest version that may read the datagram. A later version raises it only if an older reader
would misinterpret the datagram.

The message authentication code (MAC) is keyed BLAKE2s, 16 bytes, over everything before it (RFC 7693). It is
checked before anything after the key id is parsed. Each forged datagram costs the computation of one MAC, up
to MAX_FORGED_PER_S; beyond that, only datagrams from addresses that recently sent an authentic one are read.

Replays are detected by a window of counters for each sender's incarnation (as in RFC 4303, section 3.4.3); a
restarted sender has a greater incarnation. Datagrams with incarnation 0, by which a sender asks for its own,
bypass the window: a replay of one causes only a reply. A reader that restarts has no windows; datagrams
that are replayed to it then are merged, which is harmless.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from contextlib import suppress
from enum import Enum, StrEnum, auto
from functools import lru_cache
from hashlib import blake2s
from hmac import compare_digest
from struct import Struct
from typing import NamedTuple, TypeVar

MAX_DATAGRAM_BYTES = 256  # below any MTU, so that no datagram is fragmented
PROTOCOL_VERSION = 1
MAC_BYTES = 16
MAX_TEXT_BYTES = 64  # of a name or an address
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 32
MAX_KEYS = 8  # in use at the same time
MAX_SENDERS = 8_192  # with a replay window, and known addresses; the least recently heard one is dropped
REPLAY_WINDOW_COUNTERS = 64  # a datagram may be delayed by fewer counters than this
MAX_FORGED_PER_S = 2_000  # wrong MACs, after which datagrams from unknown addresses are not read

_HEADER = Struct("!BB2sHIL")  # version, least, key id, counter (high, low), incarnation
_MESSAGE_HEADER = Struct("!BL")  # kind, sequence
_RECORD_HEADER = Struct("!BLH")  # state, incarnation, accuser id
_OLDEST_READER_VERSION = 1  # `least` of written datagrams
_IPV4_MARK = 255  # in place of a length, which is at most MAX_TEXT_BYTES

PlainRecord = tuple[str, int, int, str, int]  # name, state, incarnation, address, accuser id
MessageFields = tuple[int, int, str, str, Sequence[PlainRecord]]  # of a `Message`
Sections = Sequence[tuple[int, bytes]]  # kind and encoded content


class Message(NamedTuple):
    """The content of a datagram, with the fields of the failure detector's `Message`."""

    kind: int
    sequence: int
    target: str
    address: str
    records: Sequence[PlainRecord]


class AcceptedDatagram(NamedTuple):
    """An authentic datagram.

    `is_current` is False if a datagram of a greater incarnation of the sender was received before.
    """

    sender: str
    incarnation: int
    message: Message
    is_current: bool
    sections: Sections = ()


class RejectionReason(StrEnum):
    """Why a datagram is rejected. The values are labels of metrics."""

    TOO_LONG = "long"
    TOO_SHORT = "short"
    VERSION = "version"  # written for later readers only
    UNKNOWN_KEY = "key"
    WRONG_MAC = "code"
    UNKNOWN_ADDRESS = "stranger"  # while there are many forged ones
    REPLAYED = "replay"
    MALFORMED = "garbled"


class RejectedDatagram(NamedTuple):
    """A datagram that is rejected."""

    reason: RejectionReason


class Key:
    """A shared secret of 16 to 32 bytes. `id` has two bytes that identify it without revealing it."""

    __slots__ = ("_state", "id")

    def __init__(self, secret: bytes) -> None:
        if not MIN_KEY_BYTES <= len(secret) <= MAX_KEY_BYTES:
            raise ValueError(f"a key has {len(secret)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} are allowed")
        # The personalization is part of the wire format: with another one, the MAC is rejected elsewhere.
        self._state = blake2s(key=secret, digest_size=MAC_BYTES, person=b"dillport")
        self.id = blake2s(b"id", key=secret, digest_size=2, person=b"key id").digest()

    def __repr__(self) -> str:
        return f"<Key {self.id.hex()}>"

    def __reduce__(self) -> str:
        raise TypeError("a key cannot be pickled")

    def mac(self, data: bytes) -> bytes:
        """The MAC of `data`. Copying the state after the key saves hashing one block each time."""
        state = self._state.copy()
        state.update(data)
        return state.digest()


def parse_keys(text: str) -> tuple[Key, ...]:
    """Parse the text of a key file: hexadecimal, one key a line; the first signs, all verify.

    Blank lines and lines that begin with # are skipped. Raises ValueError with all faults by line, without
    their content.
    """
    keys: dict[bytes, Key] = {}
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        try:
            key = Key(bytes.fromhex(line))
        except ValueError:
            faults.append(f"line {number}: not a key; 32 to 64 hexadecimal digits are allowed")
            continue
        if key.id in keys:
            faults.append(f"line {number}: the same key, or the same id, as a line before; make a new one")
        keys[key.id] = key
    if not faults and not 1 <= len(keys) <= MAX_KEYS:
        faults.append(f"{len(keys)} keys; 1 to {MAX_KEYS} are allowed")
    if faults:
        raise ValueError("; ".join(faults))
    return tuple(keys.values())


@lru_cache(MAX_SENDERS)
def _encode_text(text: str) -> bytes:
    data = text.encode()
    if len(data) > MAX_TEXT_BYTES:
        raise ValueError(f"a name or address of {len(data)} bytes; at most {MAX_TEXT_BYTES} are allowed")
    return bytes((len(data),)) + data


@lru_cache(MAX_SENDERS)
def _encode_address(text: str) -> bytes:
    host, _, port_text = text.rpartition(":")
    parts = host.split(".")
    # Only addresses that are decoded to the same text: no leading zeros or digits outside ASCII.
    if len(parts) == 4 and all(part.isdecimal() and str(int(part)) == part for part in (*parts, port_text)):
        octets, port = [int(part) for part in parts], int(port_text)
        if max(octets) < 256 and port < 65_536:
            return bytes((_IPV4_MARK, *octets, port >> 8, port & 255))
    return _encode_text(text)


def record_size_bytes(record: PlainRecord) -> int:
    """The size of a record in a datagram."""
    return 1 + _RECORD_HEADER.size + len(_encode_text(record[0])) + len(_encode_address(record[3]))


def record_space_bytes(name: str, message: MessageFields) -> int:
    """The space for records in a datagram of this sender with this message."""
    _, _, target, address, _ = message
    texts_bytes = len(_encode_text(name)) + len(_encode_text(target)) + len(_encode_address(address))
    end_of_records_bytes = 1
    used_bytes = _HEADER.size + _MESSAGE_HEADER.size + texts_bytes + end_of_records_bytes + MAC_BYTES
    return MAX_DATAGRAM_BYTES - used_bytes


class Writer:
    """Writes the datagrams of one node. The first of `keys` signs; they may be replaced at any time."""

    def __init__(self, name: str, keys: Sequence[Key]) -> None:
        self.keys = keys
        self._encoded_name = _encode_text(name)
        self._counter = self._incarnation = 0

    def write(self, incarnation: int, message: MessageFields, sections: Sections = ()) -> bytes:
        """Write one datagram. Each has its own counter, so a datagram that is sent twice is written twice.

        Raises ValueError if it would be longer than MAX_DATAGRAM_BYTES; `record_space_bytes` and
        `record_size_bytes` tell in advance what fits.
        """
        if incarnation != self._incarnation:
            self._incarnation, self._counter = incarnation, 0
        self._counter += 1
        high, low = self._counter >> 32, self._counter & 0xFFFFFFFF
        kind, sequence, target, address, records = message
        key = self.keys[0]
        parts = [
            _HEADER.pack(PROTOCOL_VERSION, _OLDEST_READER_VERSION, key.id, high, low, incarnation),
            self._encoded_name,
            _MESSAGE_HEADER.pack(kind, sequence),
            _encode_text(target),
            _encode_address(address),
            *map(_encode_record, records),
            b"\0",  # ends the records
            *(bytes((section_kind, len(content))) + content for section_kind, content in sections),
        ]
        data = b"".join(parts)
        if len(data) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError(
                f"a datagram of {len(data) + MAC_BYTES} bytes; at most {MAX_DATAGRAM_BYTES} are allowed"
            )
        return data + key.mac(data)


def _encode_record(record: PlainRecord) -> bytes:
    name, state, incarnation, address, accuser_id = record
    header = _RECORD_HEADER.pack(state, incarnation, accuser_id)
    data = header + _encode_text(name) + _encode_address(address)
    return bytes((len(data),)) + data


class _MalformedDatagramError(Exception):
    """A length exceeds the data, or a value is not allowed."""


class _ByteReader:
    """Reads `data` from `position` to `end`."""

    __slots__ = ("data", "end", "position")

    def __init__(self, data: bytes, position: int, end: int) -> None:
        self.data, self.position, self.end = data, position, end

    def take(self, count: int) -> bytes:
        """The next bytes; raises _MalformedDatagramError if there are fewer."""
        if self.position + count > self.end:
            raise _MalformedDatagramError
        self.position += count
        return self.data[self.position - count : self.position]

    def text(self) -> str:
        """The next text."""
        length = self.take(1)[0]
        if length > MAX_TEXT_BYTES:
            raise _MalformedDatagramError
        try:
            return self.take(length).decode()
        except UnicodeDecodeError:
            raise _MalformedDatagramError from None

    def address(self) -> str:
        """The next address."""
        if self.position < self.end and self.data[self.position] == _IPV4_MARK:
            raw = self.take(7)
            return f"{raw[1]}.{raw[2]}.{raw[3]}.{raw[4]}:{raw[5] << 8 | raw[6]}"
        return self.text()


class _ReplayWindow(NamedTuple):
    """Which counters of a sender's incarnation were read; bit n of `seen_bits`: `greatest_counter - n`."""

    incarnation: int
    greatest_counter: int
    seen_bits: int

    def with_counter(self, counter: int) -> _ReplayWindow | None:
        """The window after a datagram; None if its counter was seen, or is too old to be known."""
        lag = self.greatest_counter - counter
        if lag < 0:
            shift = min(-lag, REPLAY_WINDOW_COUNTERS)
            seen_bits = (self.seen_bits << shift | 1) & (1 << REPLAY_WINDOW_COUNTERS) - 1
            return _ReplayWindow(self.incarnation, counter, seen_bits)
        if lag >= REPLAY_WINDOW_COUNTERS or self.seen_bits >> lag & 1:
            return None
        return self._replace(seen_bits=self.seen_bits | 1 << lag)


class _Freshness(Enum):
    CURRENT = auto()
    STALE = auto()  # of an older incarnation than the greatest one received
    REPLAYED = auto()


_INITIAL_WINDOW = _ReplayWindow(0, 0, 0)


class Reader:
    """Reads the datagrams of all other nodes; never raises. `rejected_counts` counts by reason.

    `max_version` is the version that this reader understands.
    """

    def __init__(self, keys: Sequence[Key], max_version: int = PROTOCOL_VERSION) -> None:
        self.keys = keys
        self.rejected_counts: dict[str, int] = {}
        self._max_version = max_version
        self._replay_windows: OrderedDict[str, _ReplayWindow] = OrderedDict()  # by sender
        self._known_addresses: OrderedDict[str, None] = OrderedDict()
        self._current_second = 0
        self._forged_count = 0  # in that second

    @property
    def keys(self) -> tuple[Key, ...]:
        """All keys that verify; they may be replaced at any time."""
        return tuple(self._keys.values())

    @keys.setter
    def keys(self, keys: Sequence[Key]) -> None:
        self._keys = {key.id: key for key in keys}

    def read(self, now_ms: float, source: str, data: bytes) -> AcceptedDatagram | RejectedDatagram:
        """The content of a datagram, or why it is rejected; `source` is the address it came from."""
        reason = self._rejection_by_header(data) or self._rejection_by_mac(now_ms, source, data)
        datagram = RejectedDatagram(reason) if reason else self._read_authentic(source, data)
        if isinstance(datagram, RejectedDatagram):
            self.rejected_counts[datagram.reason] = self.rejected_counts.get(datagram.reason, 0) + 1
        return datagram

    def _rejection_by_header(self, data: bytes) -> RejectionReason | None:
        if len(data) > MAX_DATAGRAM_BYTES:
            return RejectionReason.TOO_LONG
        if len(data) < _HEADER.size + MAC_BYTES:
            return RejectionReason.TOO_SHORT
        version, least = data[0], data[1]
        if not version or least > self._max_version:
            return RejectionReason.VERSION
        return None

    def _rejection_by_mac(self, now_ms: float, source: str, data: bytes) -> RejectionReason | None:
        key = self._keys.get(data[2:4])
        if key is None:
            return RejectionReason.UNKNOWN_KEY
        second = int(now_ms // 1_000)
        if second != self._current_second:
            self._current_second, self._forged_count = second, 0
        if self._forged_count >= MAX_FORGED_PER_S and source not in self._known_addresses:
            return RejectionReason.UNKNOWN_ADDRESS
        if not compare_digest(key.mac(data[:-MAC_BYTES]), data[-MAC_BYTES:]):
            self._forged_count += 1
            return RejectionReason.WRONG_MAC
        return None

    def _read_authentic(self, source: str, data: bytes) -> AcceptedDatagram | RejectedDatagram:
        try:
            counter, datagram = _parse(data)
        except _MalformedDatagramError:
            return RejectedDatagram(RejectionReason.MALFORMED)
        freshness = self._note_counter(datagram.sender, datagram.incarnation, counter)
        if freshness is _Freshness.REPLAYED:
            return RejectedDatagram(RejectionReason.REPLAYED)
        if freshness is _Freshness.STALE:
            return datagram._replace(is_current=False)
        if datagram.incarnation:  # a datagram of incarnation 0 may be a replay from another address
            _refresh(self._known_addresses, source, None)
        return datagram

    def _note_counter(self, sender: str, incarnation: int, counter: int) -> _Freshness:
        if not incarnation:
            return _Freshness.CURRENT
        previous_window = self._replay_windows.get(sender, _INITIAL_WINDOW)
        if incarnation < previous_window.incarnation:
            return _Freshness.STALE
        window: _ReplayWindow | None = _ReplayWindow(incarnation, counter, 1)
        if incarnation == previous_window.incarnation:
            window = previous_window.with_counter(counter)
        if window is None:
            return _Freshness.REPLAYED
        _refresh(self._replay_windows, sender, window)
        return _Freshness.CURRENT


_Value = TypeVar("_Value")


def _refresh(table: OrderedDict[str, _Value], key: str, value: _Value) -> None:
    """Set an entry and move it to the end; drop the first one if there are more than MAX_SENDERS."""
    table[key] = value
    table.move_to_end(key)
    if len(table) > MAX_SENDERS:
        table.popitem(last=False)


def _parse(data: bytes) -> tuple[int, AcceptedDatagram]:
    """The counter and the content of a datagram, as if it were current."""
    _, _, _, counter_high, counter_low, incarnation = _HEADER.unpack_from(data)
    reader = _ByteReader(data, _HEADER.size, len(data) - MAC_BYTES)
    sender = reader.text()
    kind, sequence = _MESSAGE_HEADER.unpack(reader.take(_MESSAGE_HEADER.size))
    target, address = reader.text(), reader.address()
    records = tuple(_parse_records(reader))
    if not sender:
        raise _MalformedDatagramError
    message = Message(kind, sequence, target, address, records)
    sections = tuple(_parse_sections(reader))
    return counter_high << 32 | counter_low, AcceptedDatagram(sender, incarnation, message, True, sections)


def _parse_records(reader: _ByteReader) -> list[PlainRecord]:
    records: list[PlainRecord] = []
    while length := reader.take(1)[0]:
        record_reader = _ByteReader(reader.data, reader.position, reader.position + length)
        reader.take(length)
        state, incarnation, accuser_id = _RECORD_HEADER.unpack(record_reader.take(_RECORD_HEADER.size))
        records.append((record_reader.text(), state, incarnation, record_reader.address(), accuser_id))
    return records


def _parse_sections(reader: _ByteReader) -> list[tuple[int, bytes]]:
    sections = []
    with suppress(_MalformedDatagramError):
        while reader.position < reader.end:
            kind, length = reader.take(2)
            sections.append((kind, reader.take(length)))
    return sections
