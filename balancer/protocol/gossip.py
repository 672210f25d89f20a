"""Datagrams between nodes: at most 256 bytes, with a code by a shared key, readable by several versions at
once.

    version 1 | least 1 | key id 2 | counter 6 | incarnation 4 | name
    kind 1 | seq 4 | target | address | words | sections | code 16

Text is a byte of length and UTF-8; an address is text, or a byte 255 and six bytes where it is IPv4. A word
is a byte of length, state 1, incarnation 4, accuser 2, name, address; whatever a later version puts behind
that within the length is skipped.
Behind the words, which a word of length 0 ends, come sections, each a byte of kind, one of length and that
many (`protocol/gossip_sections`): the first readers skipped all of them, later ones skip kinds that they
do not know,
and one whose length points behind the end ends them.
`least` is the oldest version of a reader that may take it: a later version raises it only where an older
reader would be misled.

The code is keyed BLAKE2s of the standard library, 16 bytes, over all that is before it (RFC 7693); it is
checked before anything behind the key's id is read. Forged datagrams cost one code each up to FORGED a
second; beyond that, only those from addresses that a right one came from lately. Replays: the greatest
counter of each sender's incarnation and the 64 before it (as RFC 4303, 3.4.3); a restarted sender has a
greater incarnation. Those without an incarnation (0: the sender asks who it was) are not held against the
window: an answer to one is all they cost. A reader that restarts has no windows: what is replayed to it then
is merged, which is harmless.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from contextlib import suppress
from functools import lru_cache
from hashlib import blake2s
from hmac import compare_digest
from struct import Struct
from typing import Any, NamedTuple

MAX_DATAGRAM_BYTES = 256  # the longest datagram, in bytes
PROTOCOL_VERSION = 1
MAC_BYTES = 16  # bytes of the code
MAX_TEXT_BYTES = 64  # the longest name or address, in bytes
MAX_KEYS = 8  # at most so many at once
MAX_SENDERS = 8_192  # windows and known addresses held; beyond, the longest unheard one is dropped
REPLAY_WINDOW_COUNTERS = 64  # counters that may come late
MAX_FORGED_PER_S = 2_000  # wrong codes a second, before strangers are no longer read
_HEADER = Struct("!BB2sHIL")  # version, least, key id, counter (high, low), incarnation
_MESSAGE_HEADER = Struct("!BL")
_RECORD_HEADER = Struct("!BLH")

MemberRecord = tuple[str, int, int, str, int]  # name, state, incarnation, address, accuser
Sections = Sequence[tuple[int, bytes]]  # kind, and what the codec of that kind reads


class Message(NamedTuple):
    """What a datagram says, in the shape of the decider's `Message`."""

    kind: int
    sequence: int
    target: str
    address: str
    records: Sequence[MemberRecord]


class AcceptedDatagram(NamedTuple):
    """A right datagram; `fresh` False: of an incarnation of the sender older than one heard."""

    sender: str
    incarnation: int
    message: Message
    is_current: bool
    sections: Sections = ()


class RejectedDatagram(NamedTuple):
    """`why`: long, short, version, key, code, stranger, replay or garbled."""

    reason: str


class Key:
    """A secret of 16 to 32 bytes. `id`: two bytes that tell which it is, and nothing about it."""

    __slots__ = ("_state", "id")

    def __init__(self, secret: bytes) -> None:
        if not 16 <= len(secret) <= 32:
            raise ValueError(f"a key has {len(secret)} bytes; 16 to 32 are allowed")
        self._state = blake2s(key=secret, digest_size=MAC_BYTES, person=b"dillport")
        self.id = blake2s(b"id", key=secret, digest_size=2, person=b"key id").digest()

    def __repr__(self) -> str:
        return f"<Key {self.id.hex()}>"

    def __reduce__(self) -> str:
        raise TypeError("a key is not written down")

    def mac(self, data: bytes) -> bytes:
        """The code of some bytes; the state after the key is copied, which saves a block each."""
        state = self._state.copy()
        state.update(data)
        return state.digest()


def parse_keys(text: str) -> tuple[Key, ...]:
    """Keys of a file: hexadecimal, one a line, the first signs, all verify; blank lines and # do not count.

    Raises ValueError with all faults, by line, none of which quotes what is there.
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
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) == 4 and all(part.isdecimal() and str(int(part)) == part for part in (*parts, port)):
        numbers = [int(part) for part in parts]
        if max(numbers) < 256 and int(port) < 65_536:
            return bytes((255, *numbers, int(port) >> 8, int(port) & 255))
    return _encode_text(text)


def record_size_bytes(record: MemberRecord) -> int:
    """Bytes that a word takes in a datagram."""
    return 8 + len(_encode_text(record[0])) + len(_encode_address(record[3]))


def record_space_bytes(name: str, message: tuple[int, int, str, str, Sequence[MemberRecord]]) -> int:
    """Bytes for words in a datagram of this sender with such a message."""
    _, _, target, address, _ = message
    used_bytes = (
        _HEADER.size
        + _MESSAGE_HEADER.size
        + len(_encode_text(name))
        + len(_encode_text(target))
        + len(_encode_address(address))
    )
    return MAX_DATAGRAM_BYTES - MAC_BYTES - 1 - used_bytes


class _MalformedDatagram(Exception):
    """A length points behind the end, or what is there is none of what may be."""


class _ByteReader:
    __slots__ = ("data", "end", "position")

    def __init__(self, data: bytes, position: int, end: int) -> None:
        self.data, self.position, self.end = data, position, end

    def take(self, count: int) -> bytes:
        if self.position + count > self.end:
            raise _MalformedDatagram
        self.position += count
        return self.data[self.position - count : self.position]

    def text(self) -> str:
        length = self.take(1)[0]
        if length > MAX_TEXT_BYTES:
            raise _MalformedDatagram
        try:
            return self.take(length).decode()
        except UnicodeDecodeError:
            raise _MalformedDatagram from None

    def address(self) -> str:
        if self.position < self.end and self.data[self.position] == 255:
            raw = self.take(7)
            return f"{raw[1]}.{raw[2]}.{raw[3]}.{raw[4]}:{raw[5] << 8 | raw[6]}"
        return self.text()


class Writer:
    """Datagrams of one node. `keys`: the first signs; set anew when the file changed."""

    def __init__(self, name: str, keys: Sequence[Key]) -> None:
        self.keys = keys
        self._encoded_name = _encode_text(name)
        self._counter = self._incarnation = 0

    def write(
        self,
        incarnation: int,
        message: tuple[int, int, str, str, Sequence[MemberRecord]],
        sections: Sections = (),
    ) -> bytes:
        """One datagram; each has a counter of its own, so one that is to be sent twice is written twice.

        Raises ValueError where it would be longer than SIZE: whoever packs asks `room` and `cost` before.
        """
        if incarnation != self._incarnation:
            self._incarnation, self._counter = incarnation, 0
        self._counter += 1
        kind, sequence, target, address, records = message
        key = self.keys[0]
        parts = [
            _HEADER.pack(
                PROTOCOL_VERSION, 1, key.id, self._counter >> 32, self._counter & 0xFFFFFFFF, incarnation
            ),
            self._encoded_name,
            _MESSAGE_HEADER.pack(kind, sequence),
            _encode_text(target),
            _encode_address(address),
        ]
        for name, state, member_incarnation, member_address, accuser_id in records:
            record = (
                _RECORD_HEADER.pack(state, member_incarnation, accuser_id)
                + _encode_text(name)
                + _encode_address(member_address)
            )
            parts.append(bytes((len(record),)) + record)
        data = (
            b"".join(parts)
            + b"\0"
            + b"".join(bytes((kind, len(content))) + content for kind, content in sections)
        )
        if len(data) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError(
                f"a datagram of {len(data) + MAC_BYTES} bytes; at most {MAX_DATAGRAM_BYTES} are allowed"
            )
        return data + key.mac(data)


class Reader:
    """Datagrams of all others: never raises, whatever came. `refused` counts by reason."""

    def __init__(self, keys: Sequence[Key], max_version: int = PROTOCOL_VERSION) -> None:
        self.keys = keys
        self.rejected_counts: dict[str, int] = {}
        self._max_version = max_version
        self._replay_windows: OrderedDict[str, tuple[int, int, int]] = (
            OrderedDict()
        )  # incarnation, greatest, bits
        self._known_addresses: OrderedDict[str, None] = OrderedDict()
        self._current_second, self._forged_count = 0, 0

    @property
    def keys(self) -> tuple[Key, ...]:
        """All that verify; another list takes the place of this one between two datagrams."""
        return tuple(self._keys.values())

    @keys.setter
    def keys(self, keys: Sequence[Key]) -> None:
        self._keys = {key.id: key for key in keys}

    def read(self, now_ms: float, source: str, data: bytes) -> AcceptedDatagram | RejectedDatagram:
        """What a datagram says, or why it is not taken."""
        found = self._check(now_ms, source, data)
        if isinstance(found, RejectedDatagram):
            self.rejected_counts[found.reason] = self.rejected_counts.get(found.reason, 0) + 1
        return found

    def _check(self, now_ms: float, source: str, data: bytes) -> AcceptedDatagram | RejectedDatagram:
        if len(data) > MAX_DATAGRAM_BYTES:
            return RejectedDatagram("long")
        if len(data) < _HEADER.size + MAC_BYTES:
            return RejectedDatagram("short")
        if not data[0] or data[1] > self._max_version:
            return RejectedDatagram("version")
        key = self._keys.get(data[2:4])
        if key is None:
            return RejectedDatagram("key")
        second = int(now_ms // 1_000)
        if second != self._current_second:
            self._current_second, self._forged_count = second, 0
        if self._forged_count >= MAX_FORGED_PER_S and source not in self._known_addresses:
            return RejectedDatagram("stranger")
        if not compare_digest(key.mac(data[:-MAC_BYTES]), data[-MAC_BYTES:]):
            self._forged_count += 1
            return RejectedDatagram("code")
        try:
            sender, incarnation, counter, message, sections = _parse(data)
        except _MalformedDatagram:
            return RejectedDatagram("garbled")
        fresh = self._is_current(sender, incarnation, counter)
        if fresh is None:
            return RejectedDatagram("replay")
        if fresh and incarnation:  # all others can be a right one that somebody else sends once more
            _refresh(self._known_addresses, source, None)
        return AcceptedDatagram(sender, incarnation, message, fresh, sections)

    def _is_current(self, sender: str, incarnation: int, counter: int) -> bool | None:
        """Whether it is new (True), of an older incarnation (False), or was read before (None)."""
        if not incarnation:
            return True
        newest_incarnation, greatest, seen_bits = self._replay_windows.get(sender, (0, 0, 0))
        if incarnation < newest_incarnation:
            return False
        if incarnation > newest_incarnation:
            greatest, seen_bits = counter, 1
        elif counter > greatest:
            seen_bits = (seen_bits << min(counter - greatest, REPLAY_WINDOW_COUNTERS) | 1) & (
                1 << REPLAY_WINDOW_COUNTERS
            ) - 1
            greatest = counter
        elif greatest - counter >= REPLAY_WINDOW_COUNTERS or seen_bits >> greatest - counter & 1:
            return None
        else:
            seen_bits |= 1 << greatest - counter
        _refresh(self._replay_windows, sender, (incarnation, greatest, seen_bits))
        return True


def _refresh(table: OrderedDict[str, Any], key: str, value: object) -> None:
    table[key] = value
    table.move_to_end(key)
    if len(table) > MAX_SENDERS:
        table.popitem(last=False)


def _parse(data: bytes) -> tuple[str, int, int, Message, Sections]:
    _, _, _, high, low, incarnation = _HEADER.unpack_from(data)
    reader = _ByteReader(data, _HEADER.size, len(data) - MAC_BYTES)
    sender = reader.text()
    kind, sequence = _MESSAGE_HEADER.unpack(reader.take(_MESSAGE_HEADER.size))
    target, address = reader.text(), reader.address()
    records: list[MemberRecord] = []
    while length := reader.take(1)[0]:
        record_reader = _ByteReader(data, reader.position, reader.position + length)
        reader.take(length)
        state, member_incarnation, accuser_id = _RECORD_HEADER.unpack(record_reader.take(_RECORD_HEADER.size))
        records.append((record_reader.text(), state, member_incarnation, record_reader.address(), accuser_id))
    if not sender:
        raise _MalformedDatagram
    sections = []
    with suppress(_MalformedDatagram):
        while reader.position < reader.end:
            section_kind, section_bytes = reader.take(2)
            sections.append((section_kind, reader.take(section_bytes)))
    message = Message(kind, sequence, target, address, tuple(records))
    return sender, incarnation, high << 32 | low, message, tuple(sections)
