"""Encodes and decodes the sections that follow the records of a gossip datagram (`protocol/gossip`).

Sections, by kind:

    1 NODE_STATE      name | incarnation, sequence number, node index, recovery state, flags,
                      partitioned zone, quota divisor: numbers | endpoints digest 4 | settings digests 4 4 |
                      version | zone | count of sources 1, each: source | identity hash 4 | revision, state:
                      numbers
    2 QUOTA_REPORT    node index 2 | incarnation 4 | acknowledged incarnation 4 | is certain 1 | wants reply 1
                      | newcomers, each: node index 2 | incarnation 4 | has left 1
    3 TREE_DIGESTS    digests, each: tree index 2 | digest 6
    4 LEAF_ENTRIES    tree index 2 | entries, each: key 8 | digest 6
    5 REMOVALS        source | identity hash 4 | removals, each: revision 8 | 0 drained, 1 gone 1 | endpoint
    6 REMOVALS_QUERY  source | identity hash 4 | since revision 8

Integers are big-endian with the length given in bytes. A text is a byte with its length, then UTF-8. A number
is a varint: seven bits to a byte, lowest first, the eighth bit set if more follow. A source in NODE_STATE is
a byte, the index in WELL_KNOWN_SOURCES, or 0 followed by its name as text. Data after the known fields of
NODE_STATE is skipped, so that later versions may append fields.

Decoders never raise: they return None for data that cannot be decoded, or leave out an incomplete last
digest.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from struct import Struct, error
from typing import NamedTuple

NODE_STATE, QUOTA_REPORT, TREE_DIGESTS, LEAF_ENTRIES, REMOVALS, REMOVALS_QUERY = range(1, 7)
# Of a datagram that has sections and no records. Older nodes treat it as evidence that the sender is alive.
MESSAGE_KIND = 8
MAX_TEXT_BYTES = 48  # longer texts are truncated
MAX_SOURCES = 4
WELL_KNOWN_SOURCES = ("", "platform", "etcd")  # encoded by their index, which is never 0
MAX_NUMBER_BITS = 64
NUMBER_COUNT = 7  # of the numbers in NODE_STATE, from incarnation to quota divisor

_QUOTA_HEADER = Struct("!HLL??")
_NEWCOMER = Struct("!HL?")
_THREE_DIGESTS = Struct("!LLL")
_TREE_DIGEST = Struct("!HHL")  # 48 bits as 16 and 32
_LEAF_ENTRY = Struct("!QHL")
_REMOVAL_HEADER = Struct("!QB")
_UINT32 = Struct("!L")
_QUERY_TAIL = Struct("!LQ")

# The fields of `NodeState`, so that a caller may pass a type of its own.
NodeStateFields = tuple[
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


class SourcePosition(NamedTuple):
    """The position up to which a node has followed a source."""

    source: str
    identity_hash: int
    revision: int
    state: int


class NodeState(NamedTuple):
    """The state that a node advertises (`core/cluster/node_state` defines the fields)."""

    name: str
    incarnation: int
    sequence_number: int
    node_index: int
    recovery_state: int
    flags: int
    partitioned_zone_id: int
    quota_divisor: int
    endpoints_digest: int
    settings_digests: tuple[int, int]
    program_version: str
    zone: str
    sources: tuple[tuple[str, int, int, int], ...]  # `SourcePosition` where decoded


class Newcomer(NamedTuple):
    """A node beyond the configured ones, as recorded by the sender."""

    node_index: int
    incarnation: int
    has_left: bool


class QuotaReport(NamedTuple):
    """The newcomers that a node has recorded (`core/cluster/quota_allocation`)."""

    node_index: int
    incarnation: int
    acknowledged_incarnation: int
    is_certain: bool
    wants_reply: bool
    newcomers: tuple[Newcomer, ...]


class TreeDigest(NamedTuple):
    """The digest, 48 bits, of a node of the hash tree (`core/cluster/anti_entropy`)."""

    tree_index: int
    digest: int


class LeafEntry(NamedTuple):
    """The key, 64 bits, and the digest, 48 bits, of an endpoint in the hash tree."""

    key: int
    digest: int


class LeafEntries(NamedTuple):
    """The endpoints of a leaf of the hash tree."""

    tree_index: int
    entries: list[LeafEntry]


class Removal(NamedTuple):
    """An endpoint that a source has drained or removed (`is_gone` is 0 or 1) at a revision."""

    endpoint_id: str
    revision: int
    is_gone: int


class Removals(NamedTuple):
    """Removals by one identity of a source."""

    source: str
    identity_hash: int
    removals: list[Removal]


class RemovalsQuery(NamedTuple):
    """A query for a source's removals above a revision."""

    source: str
    identity_hash: int
    since_revision: int


def encode_node_state(state: NodeStateFields) -> bytes:
    """Encode a NODE_STATE section."""
    name, *numbers, endpoints_digest, settings_digests, version, zone, sources = state
    parts = [
        _encode_text(name),
        *map(_encode_number, numbers),
        _THREE_DIGESTS.pack(endpoints_digest, *settings_digests),
        _encode_text(version),
        _encode_text(zone),
        bytes((min(len(sources), MAX_SOURCES),)),
    ]
    for source, identity_hash, revision, source_state in sources[:MAX_SOURCES]:
        is_well_known = source in WELL_KNOWN_SOURCES[1:]
        parts += (
            bytes((WELL_KNOWN_SOURCES.index(source),)) if is_well_known else b"\0" + _encode_text(source),
            _UINT32.pack(identity_hash),
            _encode_number(revision),
            _encode_number(source_state),
        )
    return b"".join(parts)


def decode_node_state(data: bytes) -> NodeState | None:
    """Decode a NODE_STATE section; None if it is malformed or has no name."""
    try:
        name, offset = _decode_text(data, 0)
        numbers, offset = _decode_numbers(data, offset, NUMBER_COUNT)
        endpoints_digest, platform_digest, operators_digest = _THREE_DIGESTS.unpack_from(data, offset)
        version, offset = _decode_text(data, offset + _THREE_DIGESTS.size)
        zone, offset = _decode_text(data, offset)
        source_count, sources, offset = data[offset], [], offset + 1
        for _ in range(min(source_count, MAX_SOURCES)):
            position, offset = _decode_source_position(data, offset)
            sources.append(position)
    except (error, IndexError, UnicodeDecodeError):
        return None
    if not name:
        return None
    incarnation, sequence_number, node_index, recovery_state, flags, zone_id, quota_divisor = numbers
    return NodeState(
        name,
        incarnation,
        sequence_number,
        node_index,
        recovery_state,
        flags,
        zone_id,
        quota_divisor,
        endpoints_digest,
        (platform_digest, operators_digest),
        version,
        zone,
        tuple(sources),
    )


def _decode_source_position(data: bytes, offset: int) -> tuple[SourcePosition, int]:
    source, offset = WELL_KNOWN_SOURCES[data[offset]], offset + 1
    if not source:
        source, offset = _decode_text(data, offset)
    (identity_hash,) = _UINT32.unpack_from(data, offset)
    revision, offset = _decode_number(data, offset + _UINT32.size)
    state, offset = _decode_number(data, offset)
    return SourcePosition(source, identity_hash, revision, state), offset


def encode_quota_report(
    node_index: int,
    incarnation: int,
    acknowledged_incarnation: int,
    is_certain: bool,
    wants_reply: bool,
    newcomers: Iterable[tuple[int, int, bool]],
) -> bytes:
    """Encode a QUOTA_REPORT section; the arguments are the fields of `QuotaReport`."""
    header = _QUOTA_HEADER.pack(node_index, incarnation, acknowledged_incarnation, is_certain, wants_reply)
    return header + b"".join(_NEWCOMER.pack(*newcomer) for newcomer in newcomers)


def decode_quota_report(data: bytes) -> QuotaReport | None:
    """Decode a QUOTA_REPORT section; None if it is malformed."""
    if len(data) < _QUOTA_HEADER.size or (len(data) - _QUOTA_HEADER.size) % _NEWCOMER.size:
        return None
    newcomers = tuple(Newcomer(*fields) for fields in _NEWCOMER.iter_unpack(data[_QUOTA_HEADER.size :]))
    index, incarnation, acknowledged, is_certain, wants_reply = _QUOTA_HEADER.unpack_from(data)
    return QuotaReport(index, incarnation, acknowledged, is_certain, wants_reply, newcomers)


def encode_tree_digests(digests: Iterable[tuple[int, int]]) -> bytes:
    """Encode a TREE_DIGESTS section; a digest has at most 48 bits."""
    return b"".join(
        _TREE_DIGEST.pack(tree_index, digest >> 32, digest & 0xFFFFFFFF) for tree_index, digest in digests
    )


def decode_tree_digests(data: bytes) -> list[TreeDigest]:
    """Decode a TREE_DIGESTS section."""
    complete = data[: len(data) // _TREE_DIGEST.size * _TREE_DIGEST.size]
    return [
        TreeDigest(tree_index, high << 32 | low)
        for tree_index, high, low in _TREE_DIGEST.iter_unpack(complete)
    ]


def encode_leaf_entries(tree_index: int, entries: Iterable[tuple[int, int]]) -> bytes:
    """Encode a LEAF_ENTRIES section from keys and digests."""
    packed = (_LEAF_ENTRY.pack(key, digest >> 32, digest & 0xFFFFFFFF) for key, digest in entries)
    return tree_index.to_bytes(2) + b"".join(packed)


def decode_leaf_entries(data: bytes) -> LeafEntries | None:
    """Decode a LEAF_ENTRIES section; None if it is malformed."""
    if len(data) < 2 or (len(data) - 2) % _LEAF_ENTRY.size:
        return None
    entries = [LeafEntry(key, high << 32 | low) for key, high, low in _LEAF_ENTRY.iter_unpack(data[2:])]
    return LeafEntries(int.from_bytes(data[:2]), entries)


def encode_removals(source: str, identity_hash: int, removals: Sequence[tuple[str, int, int]]) -> bytes:
    """Encode a REMOVALS section; the removals have the fields of `Removal`."""
    packed = (
        _REMOVAL_HEADER.pack(revision, is_gone) + _encode_text(endpoint_id)
        for endpoint_id, revision, is_gone in removals
    )
    return b"".join((_encode_text(source), identity_hash.to_bytes(4), *packed))


def decode_removals(data: bytes) -> Removals | None:
    """Decode a REMOVALS section; None if it is malformed."""
    removals: list[Removal] = []
    try:
        source, offset = _decode_text(data, 0)
        identity_hash, offset = int.from_bytes(data[offset : offset + 4]), offset + 4
        while offset < len(data):
            revision, is_gone = _REMOVAL_HEADER.unpack_from(data, offset)
            endpoint_id, offset = _decode_text(data, offset + _REMOVAL_HEADER.size)
            removals.append(Removal(endpoint_id, revision, is_gone))
    except (error, IndexError, UnicodeDecodeError):
        return None
    return Removals(source, identity_hash, removals)


def encode_removals_query(source: str, identity_hash: int, since_revision: int) -> bytes:
    """Encode a REMOVALS_QUERY section."""
    return _encode_text(source) + _QUERY_TAIL.pack(identity_hash, since_revision)


def decode_removals_query(data: bytes) -> RemovalsQuery | None:
    """Decode a REMOVALS_QUERY section; None if it is malformed."""
    try:
        source, offset = _decode_text(data, 0)
        identity_hash, since_revision = _QUERY_TAIL.unpack_from(data, offset)
    except (error, IndexError, UnicodeDecodeError):
        return None
    return RemovalsQuery(source, identity_hash, since_revision)


def _decode_numbers(data: bytes, offset: int, count: int) -> tuple[list[int], int]:
    numbers = []
    for _ in range(count):
        number, offset = _decode_number(data, offset)
        numbers.append(number)
    return numbers, offset


def _encode_text(text: str) -> bytes:
    data = text.encode(errors="replace")[:MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return bytes((len(data),)) + data


def _decode_text(data: bytes, offset: int) -> tuple[str, int]:
    """The text at an offset, and the offset after it; raises IndexError if it is truncated."""
    end = offset + 1 + data[offset]
    if end > len(data):
        raise IndexError
    return data[offset + 1 : end].decode(), end


def _encode_number(value: int) -> bytes:
    encoded = bytearray()
    value &= (1 << MAX_NUMBER_BITS) - 1
    while value > 127:
        encoded.append(value & 127 | 128)
        value >>= 7
    return bytes((*encoded, value))


def _decode_number(data: bytes, offset: int) -> tuple[int, int]:
    """The number at an offset, and the offset after it; raises IndexError if it is truncated or too long."""
    value = shift = 0
    while True:
        value |= (data[offset] & 127) << shift
        shift, offset = shift + 7, offset + 1
        if data[offset - 1] < 128:
            return value, offset
        if shift >= MAX_NUMBER_BITS:
            raise IndexError
