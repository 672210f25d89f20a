"""Defines the messages between failure detectors, which `protocol/gossip` encodes and decodes."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

PlainRecord = tuple[str, int, int, str, int]  # the fields of a `MemberRecord`


class MessageKind(IntEnum):
    """The kind of a message; PING, ACK, PING_REQ and NACK are SWIM's probes, and the others carry members."""

    PING = 1  # requests an ACK from `target`
    ACK = 2  # `target` is alive
    PING_REQ = 3  # requests an indirect probe: a PING to `target` at `address`
    NACK = 4  # the helper of an indirect probe is reachable, but the target has not answered it
    MEMBERS_REQUEST = 5  # requests a page of members, starting at the position in `sequence`
    MEMBERS_PAGE = 6  # a page of members; `sequence` is the position of the next page, 0 after the last
    GOSSIP = 7  # records only, sent immediately


class Message(NamedTuple):
    """The content of a datagram; `records` are plain tuples, since most are known and need no conversion."""

    kind: int
    sequence: int
    target: str
    address: str
    records: Sequence[PlainRecord]
