"""Members: known peers, the ring in which they are probed, and tombstones of those that are gone."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from random import Random

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState


class Peer:
    """A known peer: `record` is what is held of it, `accuser_ids` tell who suspects it."""

    __slots__ = ("accuser_ids", "last_heard_ms", "record", "ring_index", "state_since_ms")

    def __init__(self, record: MemberRecord, now_ms: float) -> None:
        self.record = record
        self.state_since_ms = now_ms
        self.last_heard_ms = float("-inf")
        self.ring_index = -1  # not in the ring
        self.accuser_ids: set[int] = set()  # at most MAX_SUSPICION_CONFIRMATIONS + 1

    @property
    def is_in_ring(self) -> bool:
        """Whether it is alive or suspect, not failed or left."""
        return self.ring_index >= 0


class MemberTable:
    """Known peers by name, with indexes that are kept in step.

    - `ring` holds the alive and suspect ones; those in `ring[:probed_count]` were probed in this round.
    - `names_by_address` names one of the ring at each address.
    - `tombstones` holds the failed and left ones and since when, in the order in which they are contacted.
      They are remembered so that an older record does not bring them back.
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
        """The next name of a round that is shuffled as it goes: each comes once a round, at constant cost."""
        if self.probed_count >= len(self.ring):
            self.probed_count = 0
        self._swap(self.probed_count, self._random.randrange(self.probed_count, len(self.ring)))
        self.probed_count += 1
        return self.ring[self.probed_count - 1]

    def sample(self, count: int) -> list[str]:
        """That many random names of the ring, or all of fewer."""
        return self._random.sample(self.ring, min(count, len(self.ring)))

    def suspects(self) -> Iterator[Peer]:
        """The suspect peers, in ring order."""
        peers = (self.peers[name] for name in self.ring)
        return (peer for peer in peers if peer.record.state == PeerState.SUSPECT)

    def add_to_ring(self, peer: Peer) -> None:
        """Put a peer into the ring: among those not probed yet, of which `next_probe_target` draws one."""
        peer.ring_index = len(self.ring)
        self.ring.append(peer.record.name)
        self.names_by_address.setdefault(peer.record.address, peer.record.name)

    def bury(self, now_ms: float, peer: Peer) -> None:
        """Move a peer that failed or left from the ring to the tombstones."""
        index = peer.ring_index
        if index < self.probed_count:  # the probed ones stay in front
            self.probed_count -= 1
            self._swap(index, self.probed_count)
            index = self.probed_count
        self._swap(index, len(self.ring) - 1)
        self.ring.pop()
        peer.ring_index = -1
        self.change_address(peer, peer.record.address, "")
        self.add_tombstone(now_ms, peer.record)

    def revive(self, peer: Peer) -> None:
        """Move a peer from the tombstones back to the ring."""
        del self.tombstones[peer.record.name]
        self.add_to_ring(peer)

    def add_tombstone(self, now_ms: float, record: MemberRecord) -> None:
        """Remember a failed or left node, known before or not; the oldest gives way if there are too many."""
        if record.name not in self.peers:
            self.peers[record.name] = Peer(record, now_ms)
        self.tombstones[record.name] = now_ms
        if len(self.tombstones) > parameters.MAX_TOMBSTONES:
            self.forget(min(self.tombstones, key=self.tombstones.__getitem__))

    def forget(self, name: str) -> None:
        """Drop a tombstone and all that is held of that name."""
        del self.tombstones[name], self.peers[name]
        self._broadcasts.discard(name)

    def forget_expired(self, now_ms: float) -> None:
        """Drop tombstones in front that are older than their retention."""
        while self.tombstones:
            name, since_ms = next(iter(self.tombstones.items()))
            if since_ms + parameters.TOMBSTONE_RETENTION_MS >= now_ms:
                return
            self.forget(name)

    def change_address(self, peer: Peer, old_address: str, new_address: str) -> None:
        """Keep `names_by_address` in step; `new_address` is empty for a peer that is gone."""
        name = peer.record.name
        if self.names_by_address.get(old_address) == name:
            del self.names_by_address[old_address]
        if new_address and peer.is_in_ring:
            self.names_by_address.setdefault(new_address, name)

    def _swap(self, one: int, other: int) -> None:
        ring = self.ring
        ring[one], ring[other] = ring[other], ring[one]
        self.peers[ring[one]].ring_index = one
        self.peers[ring[other]].ring_index = other
