"""Merges claims about peers into the member table and triggers the resulting notifications and gossip."""

from __future__ import annotations

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.dissemination import Dissemination
from balancer.core.cluster.failure_detector.events import NotifyPeerChange, PeerChange
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState, newer_record
from balancer.core.cluster.failure_detector.members import MemberTable, Peer
from balancer.core.cluster.failure_detector.own_node import OwnNode
from balancer.core.cluster.failure_detector.suspicion import Suspicion


class RecordMerger:
    """Merges claims about peers into the member table; adds the resulting actions to the own node's."""

    def __init__(
        self,
        own_node: OwnNode,
        members: MemberTable,
        broadcasts: PendingBroadcasts,
        suspicion: Suspicion,
        dissemination: Dissemination,
    ) -> None:
        self._own_node = own_node
        self._members = members
        self._broadcasts = broadcasts
        self._suspicion = suspicion
        self._dissemination = dissemination
        self._has_reported_full = False

    def accuse(self, now_ms: float, peer: Peer, state: PeerState, reason: str) -> None:
        """Records this node's own claim that a peer is suspect or failed."""
        record = peer.record._replace(state=state, accuser_id=self._own_node.accuser_id)
        self.merge(now_ms, record, reason)

    def suspect_previous_holder(self, now_ms: float, address: str, name: str) -> None:
        """Suspects another alive peer recorded at the address that `name` has now, as it may have moved."""
        other_name = self._members.names_by_address.get(address)
        if other_name is None or other_name == name:
            return
        peer = self._members.peers[other_name]
        if peer.record.address == address and peer.record.state == PeerState.ALIVE:
            self.accuse(now_ms, peer, PeerState.SUSPECT, f"{name} is at its address {address}")

    def merge(self, now_ms: float, record: MemberRecord, reason: str) -> None:
        """Merges a claim about a peer and handles the resulting changes."""
        peer = self._members.peers.get(record.name)
        if peer is None:
            self._add(now_ms, record, reason)
            return
        held = peer.record
        if newer_record(held, record) is held or record[1:4] == held[1:4]:
            if record[1:3] == (PeerState.SUSPECT, held.incarnation) == held[1:3]:
                self._suspicion.confirm(now_ms, peer, record)
            return
        peer.record = record
        if record.address != held.address:
            self._on_address_changed(peer, held)
        self._broadcasts.add(record.name)
        if record.state != held.state or record.state == PeerState.SUSPECT:
            self._on_state_changed(now_ms, peer, held, reason)

    def _add(self, now_ms: float, record: MemberRecord, reason: str) -> None:
        """Adds a node that was unknown."""
        if not record.is_present:
            self._members.add_tombstone(now_ms, record)
            return
        if len(self._members.ring) >= parameters.MAX_PEERS:
            if not self._has_reported_full:
                self._notify(
                    PeerChange.TABLE_FULL, record.name, f"limit of {parameters.MAX_PEERS} peers reached"
                )
            self._has_reported_full = True
            return
        peer = self._members.peers[record.name] = Peer(record, now_ms)
        self._members.add_to_ring(peer)
        self._notify(PeerChange.JOINED, record.name, reason)
        self._broadcasts.add(record.name)
        if record.state == PeerState.SUSPECT:
            self._suspicion.confirm(now_ms, peer, record)

    def _on_address_changed(self, peer: Peer, held: MemberRecord) -> None:
        record = peer.record
        if record.is_present and held.is_present and record.incarnation == held.incarnation:
            self._notify(PeerChange.NAME_CONFLICT, record.name, f"at {held.address} and at {record.address}")
        self._members.change_address(peer, held.address, record.address)
        self._notify(PeerChange.MOVED, record.name, f"{held.address} to {record.address}")

    def _on_state_changed(self, now_ms: float, peer: Peer, held: MemberRecord, reason: str) -> None:
        record = peer.record
        peer.state_since_ms = now_ms
        peer.accuser_ids = set()
        if record.is_present and not peer.is_in_ring:
            self._members.return_to_ring(peer)
        if held.is_present and not record.is_present:
            self._members.move_to_tombstones(now_ms, peer)
        match record.state:
            case PeerState.ALIVE:
                reason = f"{reason}, incarnation {record.incarnation}"
                self._notify(PeerChange.RETURNED, record.name, reason)
            case PeerState.SUSPECT:
                self._notify(PeerChange.SUSPECTED, record.name, reason)
                self._suspicion.confirm(now_ms, peer, record)
            case PeerState.FAILED:
                self._notify(PeerChange.FAILED, record.name, reason)
            case PeerState.LEFT:
                self._notify(PeerChange.LEFT, record.name, reason)
        if record.state in (PeerState.SUSPECT, PeerState.FAILED):
            self._dissemination.gossip_immediately(record)

    def _notify(self, change: PeerChange, name: str, reason: str) -> None:
        self._own_node.actions.append(NotifyPeerChange(change, name, reason))
