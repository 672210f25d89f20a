"""The sections behind the words of a datagram (`protocol/gossip`): what nodes go by, digests, removals.

    1 GOES_BY   name | incarnation, edition, number, state, flags, zone cut, nodes: numbers
                | digest 4 | files 4 4 | version | zone | sources 1, each: which | order 4 | revision, state
    2 COUNTED   number 2 | life 4 | the receiver's life that is counted 4 | sure 1 | asks 1
                | entries, each: number 2 | incarnation 4 | left 1
    3 HALVES    digests, each: place 2 | digest 6
    4 LEAF      place 2 | entries, each: key 8 | digest 6
    5 OUT       source | order 4 | entries, each: revision 8 | phase 1 | server
    6 SINCE     source | order 4 | revision 8: what drained or went after it is asked for

Text is a byte of length and UTF-8; a number has seven bits a byte, the lowest first, and the eighth says
that more follow; a source is a byte, 0 where its name follows. What is behind the sources is skipped.
Nothing here raises: what cannot be read is None, or ends the list that it is in.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from struct import Struct, error

GOES_BY, COUNTED, HALVES, LEAF, OUT, SINCE = range(1, 7)
KIND = 8  # of a datagram that has sections and no words; an older node notes that it heard somebody
TEXT = 48  # the longest text, in bytes; of a longer one the beginning
SOURCES = 4
KNOWN = ("", "platform", "etcd")  # sources that need no name
BITS = 64  # the greatest number
_COUNTS, _KNOWN = Struct("!HLL??"), Struct("!HL?")
_LISTS, _HALF, _ENTRY, _OUT, _LONG, _SINCE = map(Struct, ("!LLL", "!HHL", "!QHL", "!QB", "!L", "!LQ"))

# name, incarnation, edition, number, state, flags, zone cut, nodes, digest, files, version, zone, sources
Goes = tuple[
    str,
    int,
    int,
    int,
    int,
    int,
    int,
    int,
    int,
    tuple[int, int],
    str,
    str,
    tuple[tuple[str, int, int, int], ...],
]
Counted = tuple[int, int, int, bool, bool, tuple[tuple[int, int, bool], ...]]


def _text(text: str) -> bytes:
    data = text.encode(errors="replace")[:TEXT].decode(errors="ignore").encode()
    return bytes((len(data),)) + data


def _read(data: bytes, at: int) -> tuple[str, int]:
    end = at + 1 + data[at]
    if end > len(data):
        raise IndexError
    return data[at + 1 : end].decode(), end


def _number(value: int) -> bytes:
    out = bytearray()
    value &= (1 << BITS) - 1
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    return bytes((*out, value))


def _read_number(data: bytes, at: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        value |= (data[at] & 127) << shift
        shift, at = shift + 7, at + 1
        if data[at - 1] < 128:
            return value, at
        if shift >= BITS:
            raise IndexError


def goes_by(word: Goes) -> bytes:
    """One node's word on what it goes by."""
    name, *head, digest, files, version, zone, sources = word
    parts = [_text(name), *map(_number, head), _LISTS.pack(digest, *files), _text(version), _text(zone)]
    parts.append(bytes((min(len(sources), SOURCES),)))
    for of, order, revision, state in sources[:SOURCES]:
        parts.append(bytes((KNOWN.index(of),)) if of in KNOWN[1:] else b"\0" + _text(of))
        parts += (_LONG.pack(order), _number(revision), _number(state))
    return b"".join(parts)


def read_goes_by(data: bytes) -> Goes | None:
    """The same, or None."""
    try:
        name, at = _read(data, 0)
        head = []
        for _ in range(7):
            value, at = _read_number(data, at)
            head.append(value)
        digest, one, two = _LISTS.unpack_from(data, at)
        version, at = _read(data, at + _LISTS.size)
        zone, at = _read(data, at)
        count, sources, at = data[at], [], at + 1
        for _ in range(min(count, SOURCES)):
            of, at = KNOWN[data[at]], at + 1
            if not of:
                of, at = _read(data, at)
            (order,) = _LONG.unpack_from(data, at)
            revision, at = _read_number(data, at + _LONG.size)
            state, at = _read_number(data, at)
            sources.append((of, order, revision, state))
    except (error, IndexError, UnicodeDecodeError):
        return None
    its, edition, number, state, flags, zone_cut, nodes = head
    files = one, two
    if not name:
        return None
    numbers = its, edition, number, state, flags, zone_cut, nodes
    return name, *numbers, digest, files, version, zone, tuple(sources)


def counted(
    number: int, life: int, counts: int, sure: bool, asks: bool, known: Iterable[tuple[int, int, bool]]
) -> bytes:
    """Whom a node counts, in the order of `shares.Told`."""
    return _COUNTS.pack(number, life, counts, sure, asks) + b"".join(_KNOWN.pack(*one) for one in known)


def read_counted(data: bytes) -> Counted | None:
    """The same, or None."""
    if len(data) < _COUNTS.size or (len(data) - _COUNTS.size) % _KNOWN.size:
        return None
    return *_COUNTS.unpack_from(data), tuple(_KNOWN.iter_unpack(data[_COUNTS.size :]))


def halves(digests: Iterable[tuple[int, int]]) -> bytes:
    """Places of the tree with digests of 48 bits."""
    return b"".join(_HALF.pack(place, digest >> 32, digest & 0xFFFFFFFF) for place, digest in digests)


def read_halves(data: bytes) -> list[tuple[int, int]]:
    """The same."""
    whole = data[: len(data) // _HALF.size * _HALF.size]
    return [(place, high << 32 | low) for place, high, low in _HALF.iter_unpack(whole)]


def leaf(place: int, entries: Iterable[tuple[int, int]]) -> bytes:
    """All entries of a leaf: key and digest."""
    packed = (_ENTRY.pack(key, digest >> 32, digest & 0xFFFFFFFF) for key, digest in entries)
    return place.to_bytes(2) + b"".join(packed)


def read_leaf(data: bytes) -> tuple[int, list[tuple[int, int]]] | None:
    """The same, or None."""
    if len(data) < 2 or (len(data) - 2) % _ENTRY.size:
        return None
    entries = [(key, high << 32 | low) for key, high, low in _ENTRY.iter_unpack(data[2:])]
    return int.from_bytes(data[:2]), entries


def out(source: str, order: int, entries: Sequence[tuple[str, int, int]]) -> bytes:
    """Servers that drain or are gone, each with the revision of the source that said so: 0 drains, 1 gone."""
    parts = [_OUT.pack(revision, phase) + _text(server) for server, revision, phase in entries]
    return b"".join((_text(source), order.to_bytes(4), *parts))


def read_out(data: bytes) -> tuple[str, int, list[tuple[str, int, int]]] | None:
    """The same, or None."""
    entries: list[tuple[str, int, int]] = []
    try:
        source, at = _read(data, 0)
        order, at = int.from_bytes(data[at : at + 4]), at + 4
        while at < len(data):
            revision, phase = _OUT.unpack_from(data, at)
            server, at = _read(data, at + _OUT.size)
            entries.append((server, revision, phase))
    except (error, IndexError, UnicodeDecodeError):
        return None
    return source, order, entries


def since(source: str, order: int, revision: int) -> bytes:
    """A question: what drained or went after this revision."""
    return _text(source) + _SINCE.pack(order, revision)


def read_since(data: bytes) -> tuple[str, int, int] | None:
    """The same, or None."""
    try:
        source, at = _read(data, 0)
        order, revision = _SINCE.unpack_from(data, at)
    except (error, IndexError, UnicodeDecodeError):
        return None
    return source, order, revision
