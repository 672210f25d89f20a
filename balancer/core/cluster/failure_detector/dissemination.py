"""Composes datagrams and selects the membership records that are piggybacked on each of them."""

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
    """Collects distinct records for one datagram as long as they fit."""

    def __init__(
        self, space_bytes: int, record_size_bytes: RecordSizeBytes, record_of: Callable[[str], MemberRecord]
    ) -> None:
        self.records: list[PlainRecord] = []
        self._names: set[str] = set()
        self._space_bytes = space_bytes
        self._record_size_bytes = record_size_bytes
        self._record_of = record_of

    def try_add(self, name: str) -> bool:
        """Adds the record of a name; returns False if it does not fit, and True if it is already included."""
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

    `record_size_bytes` returns the size of a record in a datagram, and `record_space_bytes` the space for
    records in a datagram with the given sender and message. Both come from the codec.
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
        """Resets the limit on immediate gossip for a new protocol period."""
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
        """Sends a message with records: the recipient's, then pending broadcasts, then other members.

        `recipient` is the name of the receiver, or None if only the address is known.
        """
        incarnation = self._own_node.sent_incarnation
        empty = Message(kind, sequence, target, target_address, ())
        space_bytes = self._record_space_bytes(self._own_node.name, empty)
        packer = _RecordPacker(space_bytes, self._record_size_bytes, self._record_of)
        first_peer = self._members.peers.get(self._first_record_name(address, kind, target, recipient))
        if first_peer is not None and (
            first_peer.record.state != PeerState.ALIVE or kind == MessageKind.MEMBERS_PAGE
        ):
            packer.try_add(first_peer.record.name)
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

    def gossip_immediately(self, record: MemberRecord) -> None:
        """Sends a suspicion or failure to a few peers at once, and to a suspect so that it can refute it."""
        names = self._members.sample(parameters.IMMEDIATE_GOSSIP_FANOUT)
        if record.state == PeerState.SUSPECT:
            names = [record.name, *(name for name in names if name != record.name)]
        if not self._options.immediate_gossip or self._own_node.is_silent:
            return
        for name in names:
            if self._immediate_gossip_count < parameters.MAX_IMMEDIATE_GOSSIP_PER_INTERVAL:
                self._immediate_gossip_count += 1
                self.send(self._members.peers[name].record.address, MessageKind.GOSSIP, 0)

    def announce_departure(self) -> None:
        """Announces to several peers that this node is leaving."""
        own_node = self._own_node
        records = [own_node.record._replace(state=PeerState.LEFT)]
        for name in self._members.sample(2 * parameters.INDIRECT_PROBE_COUNT + 2):
            message = Message(MessageKind.MEMBERS_PAGE, 0, "", "", records)
            address = self._members.peers[name].record.address
            own_node.actions.append(SendDatagram(address, own_node.incarnation, message))

    def _first_record_name(self, address: str, kind: MessageKind, target: str, recipient: str | None) -> str:
        """Returns the name whose record goes first, or "": the recipient's, so that it can refute a claim.

        This is Lifeguard's buddy system.
        """
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
        """Adds members starting at a position; returns the position of the next page, or 0 after the last."""
        ring = self._members.ring
        for index in range(position, len(ring)):
            if not packer.try_add(ring[index]):
                return index if index > position else 0
        return 0

    def _add_random_members(self, packer: _RecordPacker) -> None:
        """Fills the remaining space with members in ring order, starting at a random position.

        This sends an update again that was lost everywhere.
        """
        ring = self._members.ring
        start = self._random.randrange(len(ring))
        for step in range(min(parameters.MAX_FILL_RECORDS, len(ring))):
            if not packer.try_add(ring[(start + step) % len(ring)]):
                break
