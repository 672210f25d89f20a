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

SIZE = 256  # the longest datagram, in bytes
VERSION = 1
CODE = 16  # bytes of the code
TEXT = 64  # the longest name or address, in bytes
KEYS = 8  # at most so many at once
SENDERS = 8_192  # windows and known addresses held; beyond, the longest unheard one is dropped
WINDOW = 64  # counters that may come late
FORGED = 2_000  # wrong codes a second, before strangers are no longer read
_HEAD = Struct("!BB2sHIL")  # version, least, key id, counter (high, low), incarnation
_BODY = Struct("!BL")
_WORD = Struct("!BLH")

Word = tuple[str, int, int, str, int]  # name, state, incarnation, address, accuser
Sections = Sequence[tuple[int, bytes]]  # kind, and what the codec of that kind reads


class Told(NamedTuple):
    """What a datagram says, in the shape of the decider's `Message`."""

    kind: int
    seq: int
    target: str
    address: str
    words: Sequence[Word]


class Read(NamedTuple):
    """A right datagram; `fresh` False: of an incarnation of the sender older than one heard."""

    sender: str
    incarnation: int
    message: Told
    fresh: bool
    sections: Sections = ()


class Refused(NamedTuple):
    """`why`: long, short, version, key, code, stranger, replay or garbled."""

    why: str


class Key:
    """A secret of 16 to 32 bytes. `id`: two bytes that tell which it is, and nothing about it."""

    __slots__ = ("_state", "id")

    def __init__(self, secret: bytes) -> None:
        if not 16 <= len(secret) <= 32:
            raise ValueError(f"a key has {len(secret)} bytes; 16 to 32 are allowed")
        self._state = blake2s(key=secret, digest_size=CODE, person=b"dillport")
        self.id = blake2s(b"id", key=secret, digest_size=2, person=b"key id").digest()

    def __repr__(self) -> str:
        return f"<Key {self.id.hex()}>"

    def __reduce__(self) -> str:
        raise TypeError("a key is not written down")

    def code(self, data: bytes) -> bytes:
        """The code of some bytes; the state after the key is copied, which saves a block each."""
        state = self._state.copy()
        state.update(data)
        return state.digest()


def keys_of(text: str) -> tuple[Key, ...]:
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
    if not faults and not 1 <= len(keys) <= KEYS:
        faults.append(f"{len(keys)} keys; 1 to {KEYS} are allowed")
    if faults:
        raise ValueError("; ".join(faults))
    return tuple(keys.values())


@lru_cache(SENDERS)
def _text(text: str) -> bytes:
    data = text.encode()
    if len(data) > TEXT:
        raise ValueError(f"a name or address of {len(data)} bytes; at most {TEXT} are allowed")
    return bytes((len(data),)) + data


@lru_cache(SENDERS)
def _address(text: str) -> bytes:
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) == 4 and all(part.isdecimal() and str(int(part)) == part for part in (*parts, port)):
        numbers = [int(part) for part in parts]
        if max(numbers) < 256 and int(port) < 65_536:
            return bytes((255, *numbers, int(port) >> 8, int(port) & 255))
    return _text(text)


def cost(word: Word) -> int:
    """Bytes that a word takes in a datagram."""
    return 8 + len(_text(word[0])) + len(_address(word[3]))


def room(name: str, message: tuple[int, int, str, str, Sequence[Word]]) -> int:
    """Bytes for words in a datagram of this sender with such a message."""
    _, _, target, address, _ = message
    used = _HEAD.size + _BODY.size + len(_text(name)) + len(_text(target)) + len(_address(address))
    return SIZE - CODE - 1 - used


class _Cut(Exception):
    """A length points behind the end, or what is there is none of what may be."""


class _Bytes:
    __slots__ = ("at", "data", "end")

    def __init__(self, data: bytes, at: int, end: int) -> None:
        self.data, self.at, self.end = data, at, end

    def take(self, count: int) -> bytes:
        if self.at + count > self.end:
            raise _Cut
        self.at += count
        return self.data[self.at - count : self.at]

    def text(self) -> str:
        length = self.take(1)[0]
        if length > TEXT:
            raise _Cut
        try:
            return self.take(length).decode()
        except UnicodeDecodeError:
            raise _Cut from None

    def address(self) -> str:
        if self.at < self.end and self.data[self.at] == 255:
            raw = self.take(7)
            return f"{raw[1]}.{raw[2]}.{raw[3]}.{raw[4]}:{raw[5] << 8 | raw[6]}"
        return self.text()


class Writer:
    """Datagrams of one node. `keys`: the first signs; set anew when the file changed."""

    def __init__(self, name: str, keys: Sequence[Key]) -> None:
        self.keys = keys
        self._name = _text(name)
        self._counter = self._incarnation = 0

    def write(
        self, incarnation: int, message: tuple[int, int, str, str, Sequence[Word]], sections: Sections = ()
    ) -> bytes:
        """One datagram; each has a counter of its own, so one that is to be sent twice is written twice.

        Raises ValueError where it would be longer than SIZE: whoever packs asks `room` and `cost` before.
        """
        if incarnation != self._incarnation:
            self._incarnation, self._counter = incarnation, 0
        self._counter += 1
        kind, seq, target, address, words = message
        key = self.keys[0]
        parts = [
            _HEAD.pack(VERSION, 1, key.id, self._counter >> 32, self._counter & 0xFFFFFFFF, incarnation),
            self._name,
            _BODY.pack(kind, seq),
            _text(target),
            _address(address),
        ]
        for name, state, its, where, by in words:
            word = _WORD.pack(state, its, by) + _text(name) + _address(where)
            parts.append(bytes((len(word),)) + word)
        data = b"".join(parts) + b"\0" + b"".join(bytes((kind, len(what))) + what for kind, what in sections)
        if len(data) + CODE > SIZE:
            raise ValueError(f"a datagram of {len(data) + CODE} bytes; at most {SIZE} are allowed")
        return data + key.code(data)


class Reader:
    """Datagrams of all others: never raises, whatever came. `refused` counts by reason."""

    def __init__(self, keys: Sequence[Key], versions: int = VERSION) -> None:
        self.keys = keys
        self.refused: dict[str, int] = {}
        self._version = versions
        self._windows: OrderedDict[str, tuple[int, int, int]] = OrderedDict()  # incarnation, greatest, bits
        self._known: OrderedDict[str, None] = OrderedDict()
        self._second, self._forged = 0, 0

    @property
    def keys(self) -> tuple[Key, ...]:
        """All that verify; another list takes the place of this one between two datagrams."""
        return tuple(self._keys.values())

    @keys.setter
    def keys(self, keys: Sequence[Key]) -> None:
        self._keys = {key.id: key for key in keys}

    def read(self, now_ms: float, source: str, data: bytes) -> Read | Refused:
        """What a datagram says, or why it is not taken."""
        found = self._checked(now_ms, source, data)
        if isinstance(found, Refused):
            self.refused[found.why] = self.refused.get(found.why, 0) + 1
        return found

    def _checked(self, now_ms: float, source: str, data: bytes) -> Read | Refused:
        if len(data) > SIZE:
            return Refused("long")
        if len(data) < _HEAD.size + CODE:
            return Refused("short")
        if not data[0] or data[1] > self._version:
            return Refused("version")
        key = self._keys.get(data[2:4])
        if key is None:
            return Refused("key")
        second = int(now_ms // 1_000)
        if second != self._second:
            self._second, self._forged = second, 0
        if self._forged >= FORGED and source not in self._known:
            return Refused("stranger")
        if not compare_digest(key.code(data[:-CODE]), data[-CODE:]):
            self._forged += 1
            return Refused("code")
        try:
            sender, incarnation, counter, message, sections = _parsed(data)
        except _Cut:
            return Refused("garbled")
        fresh = self._fresh(sender, incarnation, counter)
        if fresh is None:
            return Refused("replay")
        if fresh and incarnation:  # all others can be a right one that somebody else sends once more
            _touch(self._known, source, None)
        return Read(sender, incarnation, message, fresh, sections)

    def _fresh(self, sender: str, incarnation: int, counter: int) -> bool | None:
        """Whether it is new (True), of an older incarnation (False), or was read before (None)."""
        if not incarnation:
            return True
        its, greatest, bits = self._windows.get(sender, (0, 0, 0))
        if incarnation < its:
            return False
        if incarnation > its:
            greatest, bits = counter, 1
        elif counter > greatest:
            bits = (bits << min(counter - greatest, WINDOW) | 1) & (1 << WINDOW) - 1
            greatest = counter
        elif greatest - counter >= WINDOW or bits >> greatest - counter & 1:
            return None
        else:
            bits |= 1 << greatest - counter
        _touch(self._windows, sender, (incarnation, greatest, bits))
        return True


def _touch(table: OrderedDict[str, Any], key: str, value: object) -> None:
    table[key] = value
    table.move_to_end(key)
    if len(table) > SENDERS:
        table.popitem(last=False)


def _parsed(data: bytes) -> tuple[str, int, int, Told, Sections]:
    _, _, _, high, low, incarnation = _HEAD.unpack_from(data)
    rest = _Bytes(data, _HEAD.size, len(data) - CODE)
    sender = rest.text()
    kind, seq = _BODY.unpack(rest.take(_BODY.size))
    target, address = rest.text(), rest.address()
    words: list[Word] = []
    while length := rest.take(1)[0]:
        inner = _Bytes(data, rest.at, rest.at + length)
        rest.take(length)
        state, its, by = _WORD.unpack(inner.take(_WORD.size))
        words.append((inner.text(), state, its, inner.address(), by))
    if not sender:
        raise _Cut
    sections = []
    with suppress(_Cut):
        while rest.at < rest.end:
            which, size = rest.take(2)
            sections.append((which, rest.take(size)))
    told = Told(kind, seq, target, address, tuple(words))
    return sender, incarnation, high << 32 | low, told, tuple(sections)
