"""Defines membership records, the claims of one node about another, and the precedence between them."""

from __future__ import annotations

import zlib
from enum import IntEnum
from typing import NamedTuple


class PeerState(IntEnum):
    """The state of a member; within an incarnation, a greater state takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class MemberRecord(NamedTuple):
    """A claim about a node; the field `accuser_id` identifies the node that suspects it, or is 0."""

    name: str
    state: int
    incarnation: int
    address: str
    accuser_id: int = 0

    @property
    def is_present(self) -> bool:
        """Whether the node is alive or suspect, and therefore probed and sent datagrams."""
        return self.state <= PeerState.SUSPECT


def newer_record(held: MemberRecord | None, gossiped: MemberRecord) -> MemberRecord:
    """Returns the record that takes precedence of two records of a node.

    This is the maximum of a total order, so the merge is associative, commutative and idempotent.
    """
    return gossiped if held is None or _precedence(gossiped) > _precedence(held) else held


def _precedence(record: MemberRecord) -> tuple[int, int, str, int]:
    return record.incarnation, record.state, record.address, record.accuser_id


def accuser_id(name: str) -> int:
    """Returns a 16-bit hash of a node's name; never 0.

    Two nodes with equal hashes count as one accuser, which only delays the end of a suspicion.
    """
    return zlib.crc32(name.encode()) % 65_535 + 1
