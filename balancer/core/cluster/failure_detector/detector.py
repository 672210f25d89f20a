"""Implements the failure detector, which dispatches events, timers and datagrams to its components."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.dissemination import (
    Dissemination,
    RecordSizeBytes,
    RecordSpaceBytes,
)
from balancer.core.cluster.failure_detector.events import (
    Action,
    DatagramReceived,
    Event,
    Options,
    ProcessStalled,
    SetTimer,
    ShutdownStarted,
    Started,
    TimerFired,
)
from balancer.core.cluster.failure_detector.local_health import LocalHealth
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState
from balancer.core.cluster.failure_detector.member_walk import MemberWalk
from balancer.core.cluster.failure_detector.members import MemberTable, Peer
from balancer.core.cluster.failure_detector.messages import MessageKind, PlainRecord
from balancer.core.cluster.failure_detector.own_node import OwnNode
from balancer.core.cluster.failure_detector.probing import Prober
from balancer.core.cluster.failure_detector.record_merger import RecordMerger
from balancer.core.cluster.failure_detector.suspicion import Suspicion
from balancer.core.cluster.failure_detector.timers import (
    PeriodEnded,
    ProbeTimedOut,
    RelayTimedOut,
    SuspicionTimedOut,
    Timer,
    TimerHeap,
)


class FailureDetector:
    """SWIM with Lifeguard: `handle` takes an event and returns actions; callers read the properties.

    `address` is the address at which other nodes reach this node. `incarnation` is the last persisted one, or
    None if there is none. `record_size_bytes` and `record_space_bytes` come from the codec, see
    `Dissemination`. With `ask_for_incarnation`, the node asks other nodes for its incarnation even if one is
    persisted, because that one may be outdated.

    Raises ValueError if the name or the address is empty or if there are more than MAX_SEEDS seeds.
    """

    def __init__(
        self,
        name: str,
        address: str,
        seeds: Sequence[str],
        incarnation: int | None,
        random: Random,
        record_size_bytes: RecordSizeBytes,
        record_space_bytes: RecordSpaceBytes,
        options: Options | None = None,
        ask_for_incarnation: bool = False,
    ) -> None:
        if not name or not address or len(seeds) > parameters.MAX_SEEDS:
            raise ValueError(
                f"peers: a name, an address and at most {parameters.MAX_SEEDS} seeds are required, "
                f"got {len(seeds)} seeds"
            )
        options = options or Options()
        self._random = random
        self._timers = TimerHeap()
        self._local_health = LocalHealth(options.local_health)
        self._last_stale_answer_ms = float("-inf")
        self.broadcasts = PendingBroadcasts()
        self.members = MemberTable(random, self.broadcasts)
        self.own_node = OwnNode(
            name, address, incarnation, ask_for_incarnation, self.broadcasts, self._local_health
        )
        self._dissemination = Dissemination(
            self.own_node,
            self.members,
            self.broadcasts,
            random,
            record_size_bytes,
            record_space_bytes,
            options,
        )
        self.walk = MemberWalk(seeds, self.own_node, self.members, self._dissemination)
        self.prober = Prober(self.members, self._dissemination, self._timers, self._local_health)
        self.suspicion = Suspicion(self.members, self._timers, self.broadcasts, self._local_health, options)
        self.record_merger = RecordMerger(
            self.own_node, self.members, self.broadcasts, self.suspicion, self._dissemination
        )

    def __repr__(self) -> str:
        members = self.members
        return (
            f"<FailureDetector {self.name} {self.incarnation}, {len(members.ring)} present, "
            f"{len(members.tombstones)} gone>"
        )

    # --- state, read by callers

    @property
    def name(self) -> str:
        """The name of this node."""
        return self.own_node.name

    @property
    def address(self) -> str:
        """The address at which other nodes reach this node."""
        return self.own_node.address

    @property
    def incarnation(self) -> int:
        """The incarnation of this node."""
        return self.own_node.incarnation

    @property
    def is_asking_for_incarnation(self) -> bool:
        """Whether this node is still asking other nodes for its incarnation before it takes part."""
        return self.own_node.is_asking_for_incarnation

    @property
    def reported_incarnation(self) -> int | None:
        """The greatest incarnation that other nodes reported before this node took part; None if none did."""
        return self.own_node.reported_incarnation

    @property
    def has_yielded_name(self) -> bool:
        """Whether this node is silent because another node has its name."""
        return self.own_node.has_yielded_name

    @property
    def has_left(self) -> bool:
        """Whether this node has announced its departure."""
        return self.own_node.has_left

    @property
    def conflicting_address(self) -> str:
        """The address of another node with this node's name, or empty if there is none."""
        return self.own_node.conflicting_address

    @property
    def local_health(self) -> int:
        """The health score of this node, 0 if it is healthy; see `LocalHealth`."""
        return self._local_health.score

    @property
    def heard_since_stall(self) -> set[str] | None:
        """The peers heard since this node stalled, or None once enough were heard to declare failures."""
        return self.suspicion.heard_since_stall

    @property
    def peers(self) -> dict[str, Peer]:
        """All known peers by name."""
        return self.members.peers

    def state_of(self, name: str) -> PeerState | None:
        """Returns the state of a peer, or None if the peer is unknown."""
        peer = self.peers.get(name)
        return PeerState(peer.record.state) if peer else None

    # --- events

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Sets the addresses that are contacted at the start and periodically after it."""
        self.walk.set_seeds(seeds)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Applies an event; returns the actions in the order to perform them; the last `SetTimer` applies."""
        actions: list[Action] = []
        self.own_node.actions = actions
        match event:
            case DatagramReceived():
                self._on_datagram(now_ms, event)
            case TimerFired():
                self._run_due_timers(now_ms)
            case Started():
                self._start(now_ms)
            case ProcessStalled():
                self._on_stall(now_ms, event)
            case ShutdownStarted():
                self._leave()
        if (at_ms := self._timers.next_at_ms) is not None:
            actions.append(SetTimer(at_ms))
        return actions

    def _start(self, now_ms: float) -> None:
        self.own_node.start(now_ms)
        self.walk.start()
        # A random fraction of a period keeps nodes that start together from probing at the same time.
        self._timers.set(now_ms + self._random.random() * parameters.PROBE_INTERVAL_MS, PeriodEnded())

    def _on_stall(self, now_ms: float, event: ProcessStalled) -> None:
        self.prober.cancel_all()
        self._local_health.adjust(1)
        self.suspicion.on_stall(now_ms, event.stall_ms)

    def _leave(self) -> None:
        if not self.has_left and not self.own_node.is_silent:
            self._dissemination.announce_departure()
            self._timers.clear()
        self.own_node.has_left = True

    # --- time

    def _run_due_timers(self, now_ms: float) -> None:
        while (timer := self._timers.pop_due(now_ms)) is not None:
            if not self.has_left:
                self._on_timer(now_ms, timer)

    def _on_timer(self, now_ms: float, timer: Timer) -> None:
        match timer:
            case PeriodEnded():
                self._begin_period(now_ms)
            case ProbeTimedOut(sequence):
                self.prober.probe_indirectly(sequence)
            case RelayTimedOut(sequence):
                self.prober.send_nack(sequence)
            case SuspicionTimedOut(name):
                self._on_suspicion_timeout(now_ms, name)

    def _begin_period(self, now_ms: float) -> None:
        self._timers.set(now_ms + parameters.PROBE_INTERVAL_MS * self._local_health.factor, PeriodEnded())
        if (unresponsive_peer := self.prober.finish_probe()) is not None:
            self.record_merger.accuse(now_ms, unresponsive_peer, PeerState.SUSPECT, "no answer to probes")
        self._dissemination.begin_period()
        self.members.forget_expired(now_ms)
        self.own_node.end_asking_when_due(now_ms)
        self.walk.contact_next()
        if not self.own_node.is_silent and self.members.ring:
            self.prober.probe_next(now_ms)

    def _on_suspicion_timeout(self, now_ms: float, name: str) -> None:
        peer = self.peers.get(name)
        if peer is not None and self.suspicion.on_timeout(now_ms, peer):
            reason = f"suspect for {now_ms - peer.state_since_ms:.0f} ms, {len(peer.accuser_ids)} accusers"
            self.record_merger.accuse(now_ms, peer, PeerState.FAILED, reason)

    # --- datagrams

    def _on_datagram(self, now_ms: float, event: DatagramReceived) -> None:
        if self.has_left:
            return
        if not event.is_current:
            self._answer_stale_sender(now_ms, event)
            return
        if event.sender == self.name:
            if event.source != self.address and event.incarnation:
                self._on_own_record(now_ms, _sender_record(event))
            return
        self.suspicion.on_heard(now_ms, event.sender)
        if 0 < event.incarnation < parameters.MAX_INCARNATION:
            self._on_sender(now_ms, event)
        for gossiped in event.message.records:
            self._on_gossiped(now_ms, gossiped, event.sender)
        self._answer(now_ms, event)

    def _answer_stale_sender(self, now_ms: float, event: DatagramReceived) -> None:
        """Sends a node that forgot its incarnation the record of it.

        The datagram may be a replay, so this happens at most once per period.
        """
        if now_ms - self._last_stale_answer_ms >= parameters.PROBE_INTERVAL_MS:
            self._last_stale_answer_ms = now_ms
            self._dissemination.send(
                event.source, MessageKind.MEMBERS_PAGE, 0, event.sender, recipient=event.sender
            )

    def _on_sender(self, now_ms: float, event: DatagramReceived) -> None:
        """Records that the sender is alive at the address that the datagram came from."""
        sender = event.sender
        self.record_merger.suspect_previous_holder(now_ms, event.source, sender)
        self.record_merger.merge(now_ms, _sender_record(event), "heard")
        peer = self.peers.get(sender)
        if peer is not None and peer.record.incarnation <= event.incarnation:
            peer.last_heard_ms = now_ms
            if peer.is_in_ring and peer.record.address == event.source:
                self.members.names_by_address[event.source] = sender

    def _on_gossiped(self, now_ms: float, gossiped: PlainRecord, sender: str) -> None:
        peer = self.peers.get(gossiped[0])
        if peer is not None and peer.record == gossiped:
            return  # the common case, which avoids creating a record
        record = MemberRecord(*gossiped)
        is_valid_state = PeerState.ALIVE <= record.state <= PeerState.LEFT
        if not record.name or not 0 < record.incarnation < parameters.MAX_INCARNATION or not is_valid_state:
            return
        if record.name == self.name:
            self._on_own_record(now_ms, record)
            return
        is_recent = peer is not None and now_ms - peer.last_heard_ms < parameters.RECENT_CONTACT_MS
        if record.state == PeerState.FAILED and is_recent:
            record = record._replace(state=PeerState.SUSPECT)
        self.record_merger.merge(now_ms, record, f"told by {sender}")

    def _on_own_record(self, now_ms: float, record: MemberRecord) -> None:
        self.own_node.on_record(now_ms, record)
        if self.has_yielded_name:
            self.prober.cancel()

    def _answer(self, now_ms: float, event: DatagramReceived) -> None:
        message, sender, send = event.message, event.sender, self._dissemination.send
        if message.kind == MessageKind.MEMBERS_REQUEST:
            send(event.source, MessageKind.MEMBERS_PAGE, message.sequence, recipient=sender)
        elif message.kind == MessageKind.MEMBERS_PAGE:
            if event.incarnation:  # a page from a node that is itself asking does not count as an answer
                self.own_node.on_answer(now_ms)
            self.walk.on_page(now_ms, event)
        if self.own_node.is_silent:
            return
        match message.kind:
            case MessageKind.PING if message.target == self.name:
                send(event.source, MessageKind.ACK, message.sequence, self.name, recipient=sender)
            case MessageKind.PING:  # meant for an earlier node at this address: identify this node instead
                send(event.source, MessageKind.MEMBERS_PAGE, 0, recipient=sender)
            case MessageKind.PING_REQ if message.target != self.name:
                self.prober.relay(now_ms, event)
            case MessageKind.ACK:
                self.prober.on_ack(sender, message)
            case MessageKind.NACK:
                self.prober.on_nack(sender, message)


def _sender_record(event: DatagramReceived) -> MemberRecord:
    return MemberRecord(event.sender, PeerState.ALIVE, event.incarnation, event.source)
