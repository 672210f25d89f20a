"""Stores the known peers, the ring in which they are probed, and tombstones of failed and left ones."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from random import Random

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState


class Peer:
    """A known peer; `record` is its greatest record, and `accuser_ids` identify the nodes that suspect it."""

    __slots__ = ("accuser_ids", "last_heard_ms", "record", "ring_index", "state_since_ms")

    def __init__(self, record: MemberRecord, now_ms: float) -> None:
        self.record = record
        self.state_since_ms = now_ms
        self.last_heard_ms = float("-inf")
        self.ring_index = -1  # not in the ring
        self.accuser_ids: set[int] = set()  # at most MAX_SUSPICION_CONFIRMATIONS + 1

    @property
    def is_in_ring(self) -> bool:
        """Whether the peer is alive or suspect, rather than failed or left."""
        return self.ring_index >= 0


class MemberTable:
    """The known peers by name, with indexes that are kept consistent.

    - `ring` holds the names of alive and suspect peers; `ring[:probed_count]` were probed in this round.
    - `names_by_address` maps each address to the name of one peer in the ring.
    - `tombstones` maps the names of failed and left peers to the time of that change, in the order in which
      they are contacted. They are kept so that an older record does not make a peer present again.
    """

    def __init__(self, random: Random, broadcasts: PendingBroadcasts) -> None:
        self.peers: dict[str, Peer] = {}
        self.ring: list[str] = []
        self.probed_count = 0
        self.names_by_address: dict[str, str] = {}
        self.tombstones: OrderedDict[str, float] = OrderedDict()
        self._random = random
        self._broadcasts = broadcasts

    def next_probe_target(self) -> str:
        """Returns the next name of the round, which is shuffled incrementally.

        Each name occurs once per round, and the cost is constant.
        """
        if self.probed_count >= len(self.ring):
            self.probed_count = 0
        self._swap(self.probed_count, self._random.randrange(self.probed_count, len(self.ring)))
        self.probed_count += 1
        return self.ring[self.probed_count - 1]

    def sample(self, count: int) -> list[str]:
        """Returns `count` random names of the ring, or all names if there are fewer."""
        return self._random.sample(self.ring, min(count, len(self.ring)))

    def suspects(self) -> Iterator[Peer]:
        """Returns the suspect peers in ring order."""
        peers = (self.peers[name] for name in self.ring)
        return (peer for peer in peers if peer.record.state == PeerState.SUSPECT)

    def add_to_ring(self, peer: Peer) -> None:
        """Adds a peer to the unprobed part of the ring, from which `next_probe_target` draws."""
        peer.ring_index = len(self.ring)
        self.ring.append(peer.record.name)
        self.names_by_address.setdefault(peer.record.address, peer.record.name)

    def move_to_tombstones(self, now_ms: float, peer: Peer) -> None:
        """Moves a peer that failed or left from the ring to the tombstones."""
        index = peer.ring_index
        if index < self.probed_count:  # probed names stay at the front
            self.probed_count -= 1
            self._swap(index, self.probed_count)
            index = self.probed_count
        self._swap(index, len(self.ring) - 1)
        self.ring.pop()
        peer.ring_index = -1
        self.change_address(peer, peer.record.address, "")
        self.add_tombstone(now_ms, peer.record)

    def return_to_ring(self, peer: Peer) -> None:
        """Moves a peer from the tombstones back to the ring."""
        del self.tombstones[peer.record.name]
        self.add_to_ring(peer)

    def add_tombstone(self, now_ms: float, record: MemberRecord) -> None:
        """Adds a failed or left node, whether known before or not; evicts the oldest above MAX_TOMBSTONES."""
        if record.name not in self.peers:
            self.peers[record.name] = Peer(record, now_ms)
        self.tombstones[record.name] = now_ms
        if len(self.tombstones) > parameters.MAX_TOMBSTONES:
            self.forget(min(self.tombstones, key=self.tombstones.__getitem__))

    def forget(self, name: str) -> None:
        """Removes a tombstone and everything known about its peer."""
        del self.tombstones[name], self.peers[name]
        self._broadcasts.discard(name)

    def forget_expired(self, now_ms: float) -> None:
        """Removes expired tombstones from the front of the order."""
        while self.tombstones:
            name, since_ms = next(iter(self.tombstones.items()))
            if since_ms + parameters.TOMBSTONE_RETENTION_MS >= now_ms:
                return
            self.forget(name)

    def change_address(self, peer: Peer, old_address: str, new_address: str) -> None:
        """Updates `names_by_address`; `new_address` is empty for a peer that failed or left."""
        name = peer.record.name
        if self.names_by_address.get(old_address) == name:
            del self.names_by_address[old_address]
        if new_address and peer.is_in_ring:
            self.names_by_address.setdefault(new_address, name)

    def _swap(self, first_index: int, second_index: int) -> None:
        ring = self.ring
        ring[first_index], ring[second_index] = ring[second_index], ring[first_index]
        self.peers[ring[first_index]].ring_index = first_index
        self.peers[ring[second_index]].ring_index = second_index
