"""Manages suspicions: how long a suspect peer has to refute one, and when no peer may be declared failed."""

from __future__ import annotations

from math import log, log10

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.events import Options
from balancer.core.cluster.failure_detector.local_health import LocalHealth
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState
from balancer.core.cluster.failure_detector.members import MemberTable, Peer
from balancer.core.cluster.failure_detector.timers import SuspicionTimedOut, TimerHeap

_CLOCK_TOLERANCE_MS = 1e-6  # above the rounding error of adding the same times in another order


class Suspicion:
    """Starts, shortens and ends suspicions.

    `heard_since_stall` holds the peers heard since this node stalled, or None if it has not stalled or has
    heard enough of them. Until then no suspicion ends, because timers expired while no answer could be read.
    """

    def __init__(
        self,
        members: MemberTable,
        timers: TimerHeap,
        broadcasts: PendingBroadcasts,
        local_health: LocalHealth,
        options: Options,
    ) -> None:
        self.heard_since_stall: set[str] | None = None
        self._last_stall_ms = float("-inf")
        self._members = members
        self._timers = timers
        self._broadcasts = broadcasts
        self._local_health = local_health
        self._options = options

    def timeout_ms(self, confirmation_count: int) -> float:
        """Returns the duration of a suspicion for a number of other accusers (Lifeguard, section IV-B)."""
        node_count = len(self._members.ring) + 1
        min_periods = parameters.SUSPICION_MULTIPLIER * max(1.0, log10(node_count))
        min_timeout_ms = min_periods * parameters.PROBE_INTERVAL_MS
        max_confirmations = min(parameters.MAX_SUSPICION_CONFIRMATIONS, node_count - 2)
        if max_confirmations < 1 or not self._options.dogpile_suspicion:
            return min_timeout_ms
        multiplier = parameters.MAX_SUSPICION_MULTIPLIER
        range_ms = (multiplier - 1) * min_timeout_ms
        shortening_ms = range_ms * log(confirmation_count + 1) / log(max_confirmations + 1)
        return max(min_timeout_ms, multiplier * min_timeout_ms - shortening_ms)

    def confirm(self, now_ms: float, peer: Peer, record: MemberRecord) -> None:
        """Starts a suspicion or counts another accuser.

        Each new accuser shortens the suspicion and is gossiped as long as there are few of them (Lifeguard,
        section IV-B).
        """
        has_enough_accusers = len(peer.accuser_ids) > parameters.MAX_SUSPICION_CONFIRMATIONS
        if record.accuser_id in peer.accuser_ids or has_enough_accusers:
            return
        if peer.accuser_ids and not self._options.dogpile_suspicion:
            return
        peer.accuser_ids.add(record.accuser_id)
        peer.record = peer.record._replace(accuser_id=record.accuser_id)
        self._broadcasts.add(record.name)
        end_ms = peer.state_since_ms + self._peer_timeout_ms(peer)
        self._timers.set(max(now_ms, end_ms), SuspicionTimedOut(record.name))

    def on_timeout(self, now_ms: float, peer: Peer) -> bool:
        """Returns whether a suspicion whose timer fired is over; restarts the timer if it was prolonged."""
        if peer.record.state != PeerState.SUSPECT or self.heard_since_stall is not None:
            return False  # after a stall, it restarts once enough peers were heard
        end_ms = peer.state_since_ms + self._peer_timeout_ms(peer)
        if end_ms > now_ms + _CLOCK_TOLERANCE_MS:
            self._timers.set(end_ms, SuspicionTimedOut(peer.record.name))
            return False
        return True

    def on_stall(self, now_ms: float, stall_ms: float) -> None:
        """Handles a stall of this node: no suspicion ends until it has heard from enough peers."""
        self._last_stall_ms = now_ms
        if self._members.ring:
            self.heard_since_stall = set()
        for peer in self._members.suspects():
            peer.state_since_ms += stall_ms

    def on_heard(self, now_ms: float, sender: str) -> None:
        """Records that a peer was heard; once enough were heard since a stall, restarts all suspicions."""
        if self.heard_since_stall is None or now_ms - self._last_stall_ms <= parameters.STALL_SETTLE_MS:
            return
        self.heard_since_stall.add(sender)
        if len(self.heard_since_stall) >= min(parameters.PEERS_HEARD_AFTER_STALL, len(self._members.ring)):
            self.heard_since_stall = None
            self._restart_all(now_ms)

    def _restart_all(self, now_ms: float) -> None:
        for peer in self._members.suspects():
            peer.state_since_ms = now_ms
            end_ms = now_ms + self.timeout_ms(len(peer.accuser_ids) - 1)
            self._timers.set(end_ms, SuspicionTimedOut(peer.record.name))

    def _peer_timeout_ms(self, peer: Peer) -> float:
        return self.timeout_ms(len(peer.accuser_ids) - 1) * self._local_health.factor
