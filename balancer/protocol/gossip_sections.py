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

NODE_STATE, QUOTA_REPORT, TREE_DIGESTS, LEAF_ENTRIES, REMOVALS, REMOVALS_QUERY = range(1, 7)
MESSAGE_KIND = 8  # of a datagram that has sections and no words; an older node notes that it heard somebody
MAX_TEXT_BYTES = 48  # the longest text, in bytes; of a longer one the beginning
MAX_SOURCES = 4
WELL_KNOWN_SOURCES = ("", "platform", "etcd")  # sources that need no name
MAX_NUMBER_BITS = 64  # the greatest number
_QUOTA_HEADER, _NEWCOMER = Struct("!HLL??"), Struct("!HL?")
_THREE_DIGESTS, _TREE_DIGEST, _LEAF_ENTRY, _REMOVAL_HEADER, _UINT32, _QUERY_TAIL = map(
    Struct, ("!LLL", "!HHL", "!QHL", "!QB", "!L", "!LQ")
)

# name, incarnation, edition, number, state, flags, zone cut, nodes, digest, files, version, zone, sources
NodeState = tuple[
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
QuotaReport = tuple[int, int, int, bool, bool, tuple[tuple[int, int, bool], ...]]


def _encode_text(text: str) -> bytes:
    data = text.encode(errors="replace")[:MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return bytes((len(data),)) + data


def _decode_text(data: bytes, at: int) -> tuple[str, int]:
    end = at + 1 + data[at]
    if end > len(data):
        raise IndexError
    return data[at + 1 : end].decode(), end


def _encode_number(value: int) -> bytes:
    out = bytearray()
    value &= (1 << MAX_NUMBER_BITS) - 1
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    return bytes((*out, value))


def _decode_number(data: bytes, at: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        value |= (data[at] & 127) << shift
        shift, at = shift + 7, at + 1
        if data[at - 1] < 128:
            return value, at
        if shift >= MAX_NUMBER_BITS:
            raise IndexError


def encode_node_state(word: NodeState) -> bytes:
    """One node's word on what it goes by."""
    name, *head, digest, files, version, zone, sources = word
    parts = [
        _encode_text(name),
        *map(_encode_number, head),
        _THREE_DIGESTS.pack(digest, *files),
        _encode_text(version),
        _encode_text(zone),
    ]
    parts.append(bytes((min(len(sources), MAX_SOURCES),)))
    for of, order, revision, state in sources[:MAX_SOURCES]:
        parts.append(
            bytes((WELL_KNOWN_SOURCES.index(of),))
            if of in WELL_KNOWN_SOURCES[1:]
            else b"\0" + _encode_text(of)
        )
        parts += (_UINT32.pack(order), _encode_number(revision), _encode_number(state))
    return b"".join(parts)


def decode_node_state(data: bytes) -> NodeState | None:
    """The same, or None."""
    try:
        name, at = _decode_text(data, 0)
        head = []
        for _ in range(7):
            value, at = _decode_number(data, at)
            head.append(value)
        digest, one, two = _THREE_DIGESTS.unpack_from(data, at)
        version, at = _decode_text(data, at + _THREE_DIGESTS.size)
        zone, at = _decode_text(data, at)
        count, sources, at = data[at], [], at + 1
        for _ in range(min(count, MAX_SOURCES)):
            of, at = WELL_KNOWN_SOURCES[data[at]], at + 1
            if not of:
                of, at = _decode_text(data, at)
            (order,) = _UINT32.unpack_from(data, at)
            revision, at = _decode_number(data, at + _UINT32.size)
            state, at = _decode_number(data, at)
            sources.append((of, order, revision, state))
    except (error, IndexError, UnicodeDecodeError):
        return None
    its, edition, number, state, flags, zone_cut, nodes = head
    files = one, two
    if not name:
        return None
    numbers = its, edition, number, state, flags, zone_cut, nodes
    return name, *numbers, digest, files, version, zone, tuple(sources)


def encode_quota_report(
    number: int, life: int, counts: int, sure: bool, asks: bool, known: Iterable[tuple[int, int, bool]]
) -> bytes:
    """Whom a node counts, in the order of `shares.Told`."""
    return _QUOTA_HEADER.pack(number, life, counts, sure, asks) + b"".join(
        _NEWCOMER.pack(*one) for one in known
    )


def decode_quota_report(data: bytes) -> QuotaReport | None:
    """The same, or None."""
    if len(data) < _QUOTA_HEADER.size or (len(data) - _QUOTA_HEADER.size) % _NEWCOMER.size:
        return None
    return *_QUOTA_HEADER.unpack_from(data), tuple(_NEWCOMER.iter_unpack(data[_QUOTA_HEADER.size :]))


def encode_tree_digests(digests: Iterable[tuple[int, int]]) -> bytes:
    """Places of the tree with digests of 48 bits."""
    return b"".join(_TREE_DIGEST.pack(place, digest >> 32, digest & 0xFFFFFFFF) for place, digest in digests)


def decode_tree_digests(data: bytes) -> list[tuple[int, int]]:
    """The same."""
    whole = data[: len(data) // _TREE_DIGEST.size * _TREE_DIGEST.size]
    return [(place, high << 32 | low) for place, high, low in _TREE_DIGEST.iter_unpack(whole)]


def encode_leaf_entries(place: int, entries: Iterable[tuple[int, int]]) -> bytes:
    """All entries of a leaf: key and digest."""
    packed = (_LEAF_ENTRY.pack(key, digest >> 32, digest & 0xFFFFFFFF) for key, digest in entries)
    return place.to_bytes(2) + b"".join(packed)


def decode_leaf_entries(data: bytes) -> tuple[int, list[tuple[int, int]]] | None:
    """The same, or None."""
    if len(data) < 2 or (len(data) - 2) % _LEAF_ENTRY.size:
        return None
    entries = [(key, high << 32 | low) for key, high, low in _LEAF_ENTRY.iter_unpack(data[2:])]
    return int.from_bytes(data[:2]), entries


def encode_removals(source: str, order: int, entries: Sequence[tuple[str, int, int]]) -> bytes:
    """Servers that drain or are gone, each with the revision of the source that said so: 0 drains, 1 gone."""
    parts = [
        _REMOVAL_HEADER.pack(revision, phase) + _encode_text(server) for server, revision, phase in entries
    ]
    return b"".join((_encode_text(source), order.to_bytes(4), *parts))


def decode_removals(data: bytes) -> tuple[str, int, list[tuple[str, int, int]]] | None:
    """The same, or None."""
    entries: list[tuple[str, int, int]] = []
    try:
        source, at = _decode_text(data, 0)
        order, at = int.from_bytes(data[at : at + 4]), at + 4
        while at < len(data):
            revision, phase = _REMOVAL_HEADER.unpack_from(data, at)
            server, at = _decode_text(data, at + _REMOVAL_HEADER.size)
            entries.append((server, revision, phase))
    except (error, IndexError, UnicodeDecodeError):
        return None
    return source, order, entries


def encode_removals_query(source: str, order: int, revision: int) -> bytes:
    """A question: what drained or went after this revision."""
    return _encode_text(source) + _QUERY_TAIL.pack(order, revision)


def decode_removals_query(data: bytes) -> tuple[str, int, int] | None:
    """The same, or None."""
    try:
        source, at = _decode_text(data, 0)
        order, revision = _QUERY_TAIL.unpack_from(data, at)
    except (error, IndexError, UnicodeDecodeError):
        return None
    return source, order, revision
