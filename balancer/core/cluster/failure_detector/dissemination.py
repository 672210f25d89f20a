"""Dissemination: which records go with each datagram."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log10
from random import Random

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.events import Options, SendDatagram
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState
from balancer.core.cluster.failure_detector.members import MemberTable
from balancer.core.cluster.failure_detector.messages import Message, MessageKind, PlainRecord
from balancer.core.cluster.failure_detector.own_node import OwnNode

RecordSizeBytes = Callable[[PlainRecord], int]
RecordSpaceBytes = Callable[[str, Message], int]


class _RecordPacker:
    """Records for one datagram, each name once, as long as they fit."""

    def __init__(
        self, space_bytes: int, record_size_bytes: RecordSizeBytes, record_of: Callable[[str], MemberRecord]
    ) -> None:
        self.records: list[PlainRecord] = []
        self._names: set[str] = set()
        self._space_bytes = space_bytes
        self._record_size_bytes = record_size_bytes
        self._record_of = record_of

    def try_add(self, name: str) -> bool:
        """Add what is held of a name; False if it does not fit. True if it is in the datagram already."""
        if name in self._names:
            return True
        record = self._record_of(name)
        size_bytes = self._record_size_bytes(record)
        if size_bytes > self._space_bytes:
            return False
        self._space_bytes -= size_bytes
        self._names.add(name)
        self.records.append(record)
        return True


class Dissemination:
    """Composes datagrams and adds them to the own node's actions.

    `record_size_bytes`: of a record in a datagram; `record_space_bytes`: for records in a datagram of a
    sender with such a message. Both are the codec's.
    """

    def __init__(
        self,
        own_node: OwnNode,
        members: MemberTable,
        broadcasts: PendingBroadcasts,
        random: Random,
        record_size_bytes: RecordSizeBytes,
        record_space_bytes: RecordSpaceBytes,
        options: Options,
    ) -> None:
        self._own_node = own_node
        self._members = members
        self._broadcasts = broadcasts
        self._random = random
        self._record_size_bytes = record_size_bytes
        self._record_space_bytes = record_space_bytes
        self._options = options
        self._immediate_gossip_count = 0  # in this period

    def begin_period(self) -> None:
        """Let the next datagrams be sent at once."""
        self._immediate_gossip_count = 0

    def send(
        self,
        address: str,
        kind: MessageKind,
        sequence: int,
        target: str = "",
        target_address: str = "",
        recipient: str | None = None,
    ) -> None:
        """Send a message with records: of the recipient, then pending broadcasts, then others.

        `recipient`: the name of whom it goes to; None if only the address is known.
        """
        incarnation = self._own_node.sent_incarnation
        empty = Message(kind, sequence, target, target_address, ())
        space_bytes = self._record_space_bytes(self._own_node.name, empty)
        packer = _RecordPacker(space_bytes, self._record_size_bytes, self._record_of)
        first = self._members.peers.get(self._first_name(address, kind, target, recipient))
        if first is not None and (first.record.state != PeerState.ALIVE or kind == MessageKind.MEMBERS_PAGE):
            packer.try_add(first.record.name)
        if incarnation:
            # Each node sends each change RETRANSMIT_MULTIPLIER * log10(n + 1) times (SWIM, section 4.1).
            transmit_limit = ceil(parameters.RETRANSMIT_MULTIPLIER * log10(len(self._members.ring) + 2))
            self._broadcasts.take(packer.try_add, transmit_limit, parameters.MAX_BROADCASTS_PER_DATAGRAM)
        if kind == MessageKind.MEMBERS_PAGE:
            sequence = self._add_page(packer, sequence)
        elif self._options.fill_datagrams and incarnation and self._members.ring:
            self._add_random_members(packer)
        message = Message(kind, sequence, target, target_address, packer.records)
        self._own_node.actions.append(SendDatagram(address, incarnation, message))

    def gossip_at_once(self, record: MemberRecord) -> None:
        """Tell a few peers of a suspicion or failure, and a suspect itself, so that it refutes in time."""
        names = self._members.sample(parameters.IMMEDIATE_GOSSIP_FANOUT)
        if record.state == PeerState.SUSPECT:
            names = [record.name, *(name for name in names if name != record.name)]
        if not self._options.immediate_gossip or self._own_node.is_silent:
            return
        for name in names:
            if self._immediate_gossip_count < parameters.MAX_IMMEDIATE_GOSSIP_PER_INTERVAL:
                self._immediate_gossip_count += 1
                self.send(self._members.peers[name].record.address, MessageKind.GOSSIP, 0)

    def say_goodbye(self) -> None:
        """Tell several peers that this node leaves."""
        own_node = self._own_node
        records = [own_node.record._replace(state=PeerState.LEFT)]
        for name in self._members.sample(2 * parameters.INDIRECT_PROBE_COUNT + 2):
            message = Message(MessageKind.MEMBERS_PAGE, 0, "", "", records)
            address = self._members.peers[name].record.address
            own_node.actions.append(SendDatagram(address, own_node.incarnation, message))

    def _first_name(self, address: str, kind: MessageKind, target: str, recipient: str | None) -> str:
        """Whose record goes first, as the recipient is to know what is claimed against it (buddy system)."""
        name = recipient
        if not self._options.buddy_system and kind != MessageKind.MEMBERS_PAGE:
            name = ""
        elif name is None:
            name = self._members.names_by_address.get(address) or (target if kind == MessageKind.PING else "")
        tombstones = self._members.tombstones
        if kind == MessageKind.MEMBERS_REQUEST and tombstones and not name:
            last_contacted = next(reversed(tombstones))
            if self._members.peers[last_contacted].record.address == address:
                name = last_contacted
        return name or ""

    def _record_of(self, name: str) -> MemberRecord:
        if name == self._own_node.name:
            return self._own_node.record
        return self._members.peers[name].record

    def _add_page(self, packer: _RecordPacker, position: int) -> int:
        """Add members from a position on; returns where the next page begins, 0 after the last."""
        ring = self._members.ring
        for index in range(position, len(ring)):
            if not packer.try_add(ring[index]):
                return index if index > position else 0
        return 0

    def _add_random_members(self, packer: _RecordPacker) -> None:
        """Fill the rest in turn from a random place on: an update that was lost everywhere is sent again."""
        ring = self._members.ring
        start = self._random.randrange(len(ring))
        for step in range(min(parameters.MAX_FILL_RECORDS, len(ring))):
            if not packer.try_add(ring[(start + step) % len(ring)]):
                break
