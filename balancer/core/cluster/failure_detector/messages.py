"""Messages between failure detectors, as `protocol/gossip` writes and reads them."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

PlainRecord = tuple[str, int, int, str, int]  # the fields of a `MemberRecord`


class MessageKind(IntEnum):
    """PING, ACK, PING_REQ and NACK are SWIM's; the others carry membership."""

    PING = 1  # answer with an ACK if you are `target`
    ACK = 2  # `target` is alive
    PING_REQ = 3  # send a PING to `target` at `address` for me: an indirect probe
    NACK = 4  # the peer that was asked for an indirect probe is well, its target has not answered
    MEMBERS_REQUEST = 5  # send a page of your members, from the position in `sequence` on
    MEMBERS_PAGE = 6  # some members; `sequence` is the position of the next page, 0 after the last
    GOSSIP = 7  # records alone, sent at once


class Message(NamedTuple):
    """What a datagram says; `records` are plain tuples, as most are known already and need no conversion."""

    kind: int
    sequence: int
    target: str
    address: str
    records: Sequence[PlainRecord]
