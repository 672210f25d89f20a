"""Runs cluster membership on a node: the component for the operators' `[peers]` table.

`ClusterComponent` passes the datagrams that `net/gossip_transport` accepts to
`core/cluster/failure_detector` and performs its actions. It applies changed settings, informs the time line,
the log and `core/recovery`, and answers `peers` on the control socket. Sections of datagrams go to
`net/cluster_gossip`.

- *Incarnation*: with an intact persisted state the node joins at once, in the incarnation that it stored. If
  the state is missing, lost or outdated, it first asks peers for the incarnation that they hold. The answer
  goes to `core/recovery`, as does an incarnation raised by a refutation, to be persisted.
- *Stalls*: if the event loop stalled (`core/stall_detector`), the failure detector is notified before any
  other event is handled, and datagrams waiting in the socket are read before timers run.
- *Address in use*: binding is retried, since the previous process may still be draining.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from random import Random
from typing import Any, NamedTuple

from balancer.core import recovery
from balancer.core.cluster import gossip_coordinator, quota_allocation
from balancer.core.cluster.failure_detector import events, messages, parameters
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.events import PeerChange
from balancer.core.cluster.node_state import GOSSIP_INTERVAL_MS
from balancer.core.cluster.report import count_by_state, peers_report, printable
from balancer.core.stall_detector import StallDetector
from balancer.endpoints import Address
from balancer.net.cluster_gossip import ClusterGossip
from balancer.net.component import RunningNode
from balancer.net.gossip_transport import COUNTERS, GossipTransport, open_socket
from balancer.operator_settings import OperatorSettings, PeersSettings
from balancer.operator_settings.peers import format_address
from balancer.protocol import gossip, gossip_sections

log = logging.getLogger(__name__)

ROUND_INTERVAL_S = GOSSIP_INTERVAL_MS / 1000
LISTEN_RETRY_INTERVAL_S = 2.0  # between attempts to bind an address that is in use
WARNING_CHANGES = frozenset(
    {PeerChange.FAILED, PeerChange.NAME_CONFLICT, PeerChange.NAME_YIELDED, PeerChange.TABLE_FULL}
)
# Logged at debug level and recorded on the time line: the rate of log lines is limited for the whole node.
DEBUG_CHANGES = frozenset({PeerChange.JOINED, PeerChange.SUSPECTED})
MIN_STALL_MS = 0.001  # selects the lowest threshold of the stall detector: a suspicion may last only 0.6 s
_EVENT_PREFIX = "peer "  # of event counts; `ClusterGossip` uses the same prefix


class _Incarnation(NamedTuple):
    """The incarnation to join with; `is_certain` if no peer can hold a greater one of this node."""

    number: int
    is_certain: bool


class ClusterComponent:
    """The cluster as this node sees it; `detector` is None while the node does not take part."""

    def __init__(self, running: RunningNode) -> None:
        self.running, self.node = running, running.node
        self.loop = asyncio.get_running_loop()
        self.detector: FailureDetector | None = None
        self.cluster_gossip: ClusterGossip | None = None  # from the first start until it is disabled
        self.listen_error = ""  # why the socket could not be bound
        self.transport = GossipTransport(self._on_datagram)
        self._event_counts: Counter[str] = Counter()
        self._peers_settings: PeersSettings | None = None
        self._operator_settings = OperatorSettings()
        self._bound_addresses: tuple[Address, Address | None] | None = None  # to listen on, to advertise
        self._previous_detector: FailureDetector | None = None  # at the previous address
        self._stall_detector = StallDetector(self.node.now(), MIN_STALL_MS)
        self._announced_incarnation = 0  # the greatest that was sent to peers
        self._detector_timer: asyncio.TimerHandle | None = None
        self._detector_timer_at_ms = float("inf")
        self._round_timer: asyncio.TimerHandle | None = None
        self._listen_retry_timer: asyncio.TimerHandle | None = None
        running.peers = self

    # --- settings

    def apply(self, settings: OperatorSettings) -> None:
        """Apply the listen address, seeds and keys of new settings; leave the cluster if `[peers]` is absent.

        Raises ValueError and changes nothing if the node has no name, or one too long for a datagram.
        """
        previous, peers_settings = self._peers_settings, settings.peers
        if peers_settings is None:
            self._switch_off()
            return
        keys = gossip.parse_keys(peers_settings.keys)
        writer = self.transport.writer_for(self.running.name, keys)
        if not self.running.name:
            raise ValueError("the configuration gives this node no name, which peers need to identify it")
        self._peers_settings = peers_settings
        self.transport.use(writer, keys)
        if (warning := peers_settings.key_file_warning()) and (
            previous is None or previous.keys != peers_settings.keys
        ):
            log.warning("peers: %s", warning)
        self.running.admin_socket.register("peers", self.report)
        self._operator_settings = settings
        if self.cluster_gossip is not None:
            self.cluster_gossip.apply(settings)
        if self._bound_addresses != (peers_settings.listen, peers_settings.address):
            self._listen(peers_settings)
            return
        self.listen_error = ""
        if self.detector is not None:
            self.detector.set_seeds(seed_addresses(peers_settings))

    async def close(self) -> None:
        """Announce that this node leaves and stop. Removals accepted from peers stay in force."""
        self._peers_settings = None
        self._close_gossip(withdraw=False)
        self._leave()

    def _switch_off(self) -> None:
        self._peers_settings = None
        self._close_gossip(withdraw=True)
        self._leave()
        self.running.admin_socket.register_with("peers", None)

    def _close_gossip(self, withdraw: bool) -> None:
        if self.cluster_gossip is not None:
            self.cluster_gossip.close(withdraw)
            self.cluster_gossip = None

    def _leave(self) -> None:
        self._handle(events.ShutdownStarted())
        self._stop()

    def _stop(self) -> None:
        for timer in (self._detector_timer, self._round_timer, self._listen_retry_timer):
            if timer is not None:
                timer.cancel()
        self._detector_timer = self._round_timer = self._listen_retry_timer = None
        self._detector_timer_at_ms = float("inf")
        if self.transport.socket is not None:
            self.loop.remove_reader(self.transport.socket)
            self.transport.socket.close()
        self.detector = self.transport.socket = self._bound_addresses = self._previous_detector = None

    # --- start

    def _listen(self, settings: PeersSettings) -> None:
        """Bind the address and start the detector as soon as the persisted state was read."""
        if self._listen_retry_timer is not None:
            self._listen_retry_timer.cancel()
            self._listen_retry_timer = None
        if settings is not self._peers_settings:
            return
        previous_detector = self.detector
        if self._bound_addresses is not None and self._bound_addresses[0] == settings.listen:
            self._stop()  # otherwise the socket of this process would block the address
        try:
            sock = open_socket(settings.listen)
        except OSError as error:
            self._on_listen_error(settings, error)
            return
        self._stop()
        self.transport.socket, self._previous_detector, self.listen_error = sock, previous_detector, ""
        self._bound_addresses = settings.listen, settings.address
        recovery_component = self.running.recovery
        if recovery_component is None or recovery_component.has_begun:
            self._start_detector()
        else:
            recovery_component.on_begun.append(self._start_detector)

    def _on_listen_error(self, settings: PeersSettings, error: OSError) -> None:
        reason = f"{format_address(settings.listen)}: {error.strerror or error}"
        if reason != self.listen_error:
            log.error("peers: listen failed: %s; retrying every %g s", reason, LISTEN_RETRY_INTERVAL_S)
        self.listen_error = reason
        if self.detector is None:  # without a detector no peer can revoke gossiped removals
            self._close_gossip(withdraw=True)
        self._listen_retry_timer = self.loop.call_later(LISTEN_RETRY_INTERVAL_S, self._listen, settings)

    def _start_detector(self) -> None:
        """Join the cluster, or first ask peers for the incarnation of this node."""
        settings, sock = self._peers_settings, self.transport.socket
        if settings is None or sock is None or self.detector is not None:
            return
        if (restored := self._restored_incarnation()).number >= parameters.MAX_INCARNATION:
            log.error("peers: incarnation %d exceeds the limit; the node runs without peers", restored.number)
            return
        address = format_address(settings.address or sock.getsockname()[:2])
        self.detector = self._make_detector(address, restored, seed_addresses(settings))
        if self.cluster_gossip is None:
            self.cluster_gossip = ClusterGossip(
                self.running, self.detector, self._send_sections, self._event_counts
            )
        self.cluster_gossip.use_failure_detector(self.detector)
        self.cluster_gossip.apply(self._operator_settings)
        self._announced_incarnation = 0
        self._stall_detector.record_turn(self.node.now())
        self.loop.add_reader(sock, self._on_readable)
        self._run_round()
        log.info("peers: %s at %s", self.running.name, address)
        self._handle(events.Started())

    def _make_detector(self, address: str, incarnation: _Incarnation, seeds: list[str]) -> FailureDetector:
        previous = self._previous_detector
        if previous is not None and not previous.is_asking_for_incarnation:
            # The same node at another address.
            incarnation = _Incarnation(previous.incarnation + 1, True)
            seeds += [peer.record.address for peer in previous.peers.values()]
        return FailureDetector(
            self.running.name,
            address,
            seeds[: parameters.MAX_SEEDS],
            incarnation.number - 1,
            Random(),
            gossip.record_size_bytes,
            gossip.record_space_bytes,
            ask_for_incarnation=not incarnation.is_certain,
        )

    def _restored_incarnation(self) -> _Incarnation:
        if self.running.recovery is None:
            return _Incarnation(1, False)
        state = self.running.recovery.recovery
        is_intact = state.persisted_state is recovery.PersistedState.INTACT
        return _Incarnation(state.incarnation, is_intact)

    # --- datagrams and time

    def _run_round(self) -> None:
        """Run a round of gossip. The timer also keeps an idle event loop from looking stalled."""
        self._check_for_stall()
        if self.cluster_gossip is not None:
            self.cluster_gossip.run_round()
        self._round_timer = self.loop.call_later(ROUND_INTERVAL_S, self._run_round)

    def _check_for_stall(self) -> None:
        if stall_ms := self._stall_detector.record_turn(self.node.now()):
            log.warning(
                "peers: this process stood still for %.0f ms: no peer is declared failed yet", stall_ms
            )
            self._handle(events.ProcessStalled(stall_ms))
            if self.cluster_gossip is not None:
                self.cluster_gossip.handle(quota_allocation.LoopStalled())

    def _on_readable(self) -> None:
        self._check_for_stall()
        self._receive()

    def _receive(self) -> None:
        if self.detector is not None:
            self.transport.receive(self.node.now())

    def _on_datagram(self, source: str, datagram: gossip.AcceptedDatagram) -> None:
        message = messages.Message(*datagram.message)
        sender, is_current = datagram.sender, datagram.is_current
        self._handle(events.DatagramReceived(sender, datagram.incarnation, source, message, is_current))
        if datagram.sections and is_current and self.cluster_gossip is not None:
            self.cluster_gossip.handle(gossip_coordinator.SectionsReceived(sender, source, datagram.sections))

    def _on_detector_timer(self) -> None:
        self._detector_timer, self._detector_timer_at_ms = None, float("inf")
        self._check_for_stall()
        self._receive()  # a response that already waits in the socket arrived in time
        self._handle(events.TimerFired())

    def _set_detector_timer(self, at_ms: float) -> None:
        if at_ms == self._detector_timer_at_ms:
            return
        if self._detector_timer is not None:
            self._detector_timer.cancel()
        self._detector_timer_at_ms = at_ms
        # The event loop rounds to whole ms; a timer that fires early would have to be set again.
        delay_s = max(0.0, at_ms - self.node.now()) / 1000 + 0.001
        self._detector_timer = self.loop.call_later(delay_s, self._on_detector_timer)

    # --- actions

    def _handle(self, event: events.Event) -> None:
        detector = self.detector
        if detector is None:
            return
        was_asking = detector.is_asking_for_incarnation
        try:
            actions = detector.handle(self.node.now(), event)
        except Exception:  # one failing event must affect neither requests nor later events
            log.exception("peers: %s failed", type(event).__name__)
            if self._detector_timer is None:
                self._set_detector_timer(self.node.now() + parameters.PROBE_INTERVAL_MS)
            return
        for action in actions:
            match action:
                case events.SendDatagram():
                    self._send_datagram(action.address, action.incarnation, action.message)
                case events.SetTimer():
                    self._set_detector_timer(action.at_ms)
                case events.PersistIncarnation():
                    reported_incarnation = detector.reported_incarnation if was_asking else None
                    self._persist_incarnation(action.incarnation, reported_incarnation)
                case events.NotifyPeerChange():
                    self._record_change(detector, action)

    def _send_sections(self, address: str, sections: gossip.Sections) -> None:
        detector = self.detector
        if detector is None or detector.is_asking_for_incarnation or detector.has_yielded_name:
            return
        message = messages.Message(gossip_sections.MESSAGE_KIND, 0, "", "", ())
        self._send_datagram(address, detector.incarnation, message, sections)

    def _send_datagram(
        self, address: str, incarnation: int, message: messages.Message, sections: gossip.Sections = ()
    ) -> None:
        if not self.transport.send(address, incarnation, message, sections):
            return
        recovery_component = self.running.recovery
        if recovery_component is not None and incarnation > self._announced_incarnation:
            self._announced_incarnation = incarnation
            recovery_component.recovery.mark_incarnation_announced()

    def _persist_incarnation(self, incarnation: int, reported_incarnation: int | None) -> None:
        """Notify `core/recovery` of the new incarnation of this node.

        `reported_incarnation` is what peers held before this node joined, None if no peer answered. An
        incarnation one above the known one refutes a claim about that; a higher one shows that peers have
        seen a later incarnation which this node has lost.
        """
        recovery_component = self.running.recovery
        if recovery_component is None:
            return
        known_incarnation = recovery_component.recovery.incarnation
        if reported_incarnation is None and incarnation > known_incarnation + 1:
            reported_incarnation = incarnation - 1
        if reported_incarnation is not None:
            recovery_component.handle(recovery.PeersReportedIncarnation(reported_incarnation))
        recovery_component.handle(recovery.IncarnationRaised(incarnation))

    def _record_change(self, detector: FailureDetector, action: events.NotifyPeerChange) -> None:
        """Record a membership change in the log, the event counts and the time line."""
        change, name = action.change, action.name
        level = logging.WARNING if change in WARNING_CHANGES else logging.INFO
        level = logging.DEBUG if change in DEBUG_CHANGES else level
        log.log(level, "peers: %s %s: %s", printable(name), change, action.reason)
        evidence: dict[str, object] = {"why": action.reason}
        if (peer := detector.peers.get(name)) is not None:
            evidence |= {"incarnation": peer.record.incarnation, "address": peer.record.address}
        self._event_counts[f"{_EVENT_PREFIX}{change}"] += 1
        scope = "node" if name == detector.name else "peer"
        self.running.record_event(f"peer_{change}", scope, name, "peers", evidence)

    # --- reports

    def report(self) -> dict[str, Any]:
        """Return the answer to `peers` on the control socket."""
        gossip_report = None if self.cluster_gossip is None else self.cluster_gossip.report()
        answer = peers_report(self.detector, self.running.name, gossip_report)
        answer["trouble"] = self.listen_error or None
        answer["datagrams"] = {name: self.transport.counts[name] for name in COUNTERS}
        answer["refused"] = dict(self.transport.rejected_counts)
        return answer

    def metrics(self) -> dict[str, dict[str, float]]:
        """Return the values of the metrics by name and label."""
        return {
            "states": count_by_state(self.detector),
            "events": {name.removeprefix(_EVENT_PREFIX): n for name, n in self._event_counts.items()},
            "datagrams": {name: self.transport.counts[name] for name in COUNTERS},
            "refused": dict(self.transport.rejected_counts),
            **({} if self.cluster_gossip is None else self.cluster_gossip.gauges()),
        }


def seed_addresses(settings: PeersSettings) -> list[str]:
    """Return the seeds in the address format of datagrams."""
    return [format_address(seed) for seed in settings.seeds or ()]
