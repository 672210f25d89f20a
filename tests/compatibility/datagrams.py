"""Datagrams between nodes, of each kind and with each section, by the encoder of the version that runs."""

from __future__ import annotations

from typing import Any

from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by

SECRET = bytes(range(32))
MEMBERS = (
    ("c", 1, 5, "10.0.0.3:7946", 9),
    ("node-with-a-name", 3, 2**32 - 1, "[::1]:7946", 65_535),
    ("d", 0, 0, "host.internal:80", 0),
)
GOES_BY = (
    "node-7",
    11,
    2,
    300,
    3,
    5,
    70_000,
    200,
    0xDEADBEEF,
    (0x01020304, 0xFFFFFFFF),
    "0.1.0",
    "zone-b",
    (("platform", 4, 99, 1), ("etcd", 0xFFFFFFFF, 2**64 - 1, 2), ("x", 1, 2, 3)),
)
COUNTED = (3, 12, 11, True, False, ((1, 5, False), (2, 2**32 - 1, True)))
DIGESTS = [(0, 0), (17, 2**48 - 1), (65_535, 123_456_789_012)]
LEAF = (9, [(2**64 - 1, 2**48 - 1), (0, 1)])
REMOVALS = ("etcd", 77, [("10.0.0.9:80", 2**63, 1), ("s1", 5, 0)])
SINCE = ("platform", 2**32 - 1, 2**64 - 1)


def sections() -> dict[str, tuple[int, bytes]]:
    """One section of each kind."""
    return {
        "goes_by": (goes_by.NODE_STATE, goes_by.encode_node_state(GOES_BY)),
        "counted": (goes_by.QUOTA_REPORT, goes_by.encode_quota_report(*COUNTED)),
        "halves": (goes_by.TREE_DIGESTS, goes_by.encode_tree_digests(DIGESTS)),
        "leaf": (goes_by.LEAF_ENTRIES, goes_by.encode_leaf_entries(*LEAF)),
        "out": (goes_by.REMOVALS, goes_by.encode_removals(*REMOVALS)),
        "since": (goes_by.REMOVALS_QUERY, goes_by.encode_removals_query(*SINCE)),
    }


def read_section(kind: int, data: bytes) -> Any:
    """What the codec of that kind reads."""
    readers: dict[int, Any] = {
        goes_by.NODE_STATE: goes_by.decode_node_state,
        goes_by.QUOTA_REPORT: goes_by.decode_quota_report,
        goes_by.TREE_DIGESTS: goes_by.decode_tree_digests,
        goes_by.LEAF_ENTRIES: goes_by.decode_leaf_entries,
        goes_by.REMOVALS: goes_by.decode_removals,
        goes_by.REMOVALS_QUERY: goes_by.decode_removals_query,
    }
    return readers[kind](data)


def write_section(kind: int, value: Any) -> bytes:
    """The bytes of a section's value."""
    if kind == goes_by.NODE_STATE:
        return goes_by.encode_node_state(value)
    if kind == goes_by.QUOTA_REPORT:
        return goes_by.encode_quota_report(*value)
    if kind == goes_by.TREE_DIGESTS:
        return goes_by.encode_tree_digests(value)
    if kind == goes_by.LEAF_ENTRIES:
        return goes_by.encode_leaf_entries(*value)
    if kind == goes_by.REMOVALS:
        return goes_by.encode_removals(*value)
    return goes_by.encode_removals_query(*value)


def plain(value: Any) -> Any:
    """Tuples as lists, bytes in hexadecimal, enums as numbers: what JSON holds."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, (tuple, list)):
        return [plain(one) for one in value]
    return int(value) if isinstance(value, int) and not isinstance(value, bool) else value


def messages() -> list[tuple[int, tuple[Any, ...], list[tuple[int, bytes]]]]:
    """Incarnation, message and sections of each datagram."""
    out: list[tuple[int, tuple[Any, ...], list[tuple[int, bytes]]]] = []
    for kind in range(9):
        out.append((kind, (kind, 1_000 + kind, "b", "10.0.0.2:7946", MEMBERS[: kind % 4]), []))
    for section in sections().values():
        out.append((2**32 - 1, (goes_by.MESSAGE_KIND, 0, "", "", ()), [section]))
    both = [sections()["counted"], sections()["halves"]]
    out.append((20, (1, 7, "b", "[::1]:80", MEMBERS[:1]), both))
    return out


def write() -> list[dict[str, Any]]:
    """Each datagram in hexadecimal, and what it says."""
    writer = gossip.Writer("node-ä", [gossip.Key(SECRET)])
    out = []
    for incarnation, message, more in messages():
        data = writer.write(incarnation, message, more)
        out.append({"bytes": data.hex(), "says": read(data)})
    return out


def read(data: bytes) -> dict[str, Any]:
    """What the reader makes of one datagram."""
    found = gossip.Reader([gossip.Key(SECRET)]).read(0, "10.0.0.1:1", data)
    assert isinstance(found, gossip.AcceptedDatagram), found
    return {
        "sender": found.sender,
        "incarnation": found.incarnation,
        "message": plain(found.message),
        "sections": [[kind, plain(read_section(kind, raw))] for kind, raw in found.sections],
    }
