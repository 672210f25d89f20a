"""Membership records: what one node claims of another, and which of two claims holds."""

from __future__ import annotations

import zlib
from enum import IntEnum
from typing import NamedTuple


class PeerState(IntEnum):
    """State of a member; within one incarnation the greater outweighs the lesser."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class MemberRecord(NamedTuple):
    """A claim about a node; `accuser_id`: see `accuser_id`, of whom suspects it, else 0."""

    name: str
    state: int
    incarnation: int
    address: str
    accuser_id: int = 0

    @property
    def is_present(self) -> bool:
        """Whether the node is alive or suspect, so that it is probed and written to."""
        return self.state <= PeerState.SUSPECT


def newer_record(held: MemberRecord | None, gossiped: MemberRecord) -> MemberRecord:
    """Merge two records of one node.

    As a maximum of a total order, this is associative, commutative and idempotent.
    """
    return gossiped if held is None or _precedence(gossiped) > _precedence(held) else held


def _precedence(record: MemberRecord) -> tuple[int, int, str, int]:
    return record.incarnation, record.state, record.address, record.accuser_id


def accuser_id(name: str) -> int:
    """16 bits of a node's name, never 0.

    Two nodes with equal ones count as one accuser, which only delays the end of a suspicion.
    """
    return zlib.crc32(name.encode()) % 65_535 + 1
