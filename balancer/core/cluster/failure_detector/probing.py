"""Sends this node's direct and indirect probes, and relays indirect probes for other nodes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.dissemination import Dissemination
from balancer.core.cluster.failure_detector.events import DatagramReceived
from balancer.core.cluster.failure_detector.local_health import LocalHealth
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.cluster.failure_detector.members import MemberTable, Peer
from balancer.core.cluster.failure_detector.messages import Message, MessageKind
from balancer.core.cluster.failure_detector.timers import ProbeTimedOut, RelayTimedOut, TimerHeap


@dataclass(slots=True)
class Probe:
    """The probe of the current protocol period."""

    sequence: int
    target: str
    helpers: tuple[str, ...] = ()  # peers asked for an indirect probe
    nack_count: int = 0
    is_answered: bool = False


class RelayedProbe(NamedTuple):
    """An indirect probe for another node: its requester and sequence number, and the target's name."""

    requester: str  # an address
    sequence: int
    target: str


class Prober:
    """Probes one peer per period; `relayed` holds the unanswered probes for other nodes."""

    def __init__(
        self, members: MemberTable, dissemination: Dissemination, timers: TimerHeap, local_health: LocalHealth
    ) -> None:
        self.current: Probe | None = None
        self.relayed: OrderedDict[int, RelayedProbe] = OrderedDict()
        self._sequence = 0
        self._members = members
        self._dissemination = dissemination
        self._timers = timers
        self._local_health = local_health

    def probe_next(self, now_ms: float) -> None:
        """Probes the next peer of the ring, which must not be empty."""
        target = self._members.next_probe_target()
        sequence = self._next_sequence()
        self.current = Probe(sequence, target)
        timeout_ms = parameters.PROBE_TIMEOUT_MS * self._local_health.factor
        self._timers.set(now_ms + timeout_ms, ProbeTimedOut(sequence))
        address = self._members.peers[target].record.address
        self._dissemination.send(address, MessageKind.PING, sequence, target)

    def probe_indirectly(self, sequence: int) -> None:
        """Asks other peers to probe the target, which has not answered the direct probe in time."""
        probe = self.current
        if probe is None or probe.sequence != sequence or probe.is_answered:
            return
        peer = self._members.peers.get(probe.target)
        if peer is None or not peer.is_in_ring:
            return
        candidates = self._members.sample(2 * parameters.INDIRECT_PROBE_COUNT)
        # A suspect helper may not answer, which would look like a fault of this node.
        helpers = [name for name in candidates if name != probe.target and self._is_alive(name)]
        probe.helpers = tuple(helpers[: parameters.INDIRECT_PROBE_COUNT])
        for name in probe.helpers:
            helper_address = self._members.peers[name].record.address
            self._dissemination.send(
                helper_address, MessageKind.PING_REQ, probe.sequence, probe.target, peer.record.address
            )

    def finish_probe(self) -> Peer | None:
        """Ends the probe of this period; returns the target if it is present and has not answered."""
        probe, self.current = self.current, None
        if probe is None or probe.is_answered:
            return None
        # If the helpers did not answer either, this node may be at fault. A NACK shows that it is not
        # (Lifeguard, section IV-A).
        missing_nacks = len(probe.helpers) - probe.nack_count
        self._local_health.adjust(missing_nacks if probe.helpers else 1)
        peer = self._members.peers.get(probe.target)
        return peer if peer is not None and peer.record.is_present else None

    def cancel(self) -> None:
        """Discards the probe of this period regardless of its result."""
        self.current = None

    def cancel_all(self) -> None:
        """Discards all probes, including those for other nodes."""
        self.current = None
        self.relayed.clear()

    def on_ack(self, sender: str, message: Message) -> None:
        """Handles an answer from the own target, directly or through a helper, or from a relayed target."""
        probe = self.current
        if (
            probe is not None
            and message.sequence == probe.sequence
            and message.target == probe.target
            and not probe.is_answered
        ):
            if sender == probe.target or sender in probe.helpers:
                probe.is_answered = True
                self._local_health.adjust(-1)
            return
        relayed = self.relayed.get(message.sequence)
        if relayed is not None and relayed.target == sender:
            del self.relayed[message.sequence]
            self._dissemination.send(relayed.requester, MessageKind.ACK, relayed.sequence, sender)

    def on_nack(self, sender: str, message: Message) -> None:
        """Counts a helper that is reachable although the target has not answered it."""
        probe = self.current
        if probe is not None and message.sequence == probe.sequence and sender in probe.helpers:
            probe.nack_count += 1

    def relay(self, now_ms: float, request: DatagramReceived) -> None:
        """Probes the target of a PING_REQ on behalf of its sender."""
        message = request.message
        sequence = self._next_sequence()
        self.relayed[sequence] = RelayedProbe(request.source, message.sequence, message.target)
        if len(self.relayed) > parameters.MAX_RELAYED_PROBES:
            self.relayed.popitem(last=False)
        self._timers.set(now_ms + parameters.PROBE_TIMEOUT_MS, RelayTimedOut(sequence))
        self._dissemination.send(message.address, MessageKind.PING, sequence, message.target)

    def send_nack(self, sequence: int) -> None:
        """Sends a NACK to the requester of an indirect probe if the target has not answered yet."""
        relayed = self.relayed.get(sequence)
        if relayed is not None:
            self._dissemination.send(relayed.requester, MessageKind.NACK, relayed.sequence, relayed.target)

    def _is_alive(self, name: str) -> bool:
        return self._members.peers[name].record.state == PeerState.ALIVE

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % parameters.SEQUENCE_NUMBERS
        return self._sequence
