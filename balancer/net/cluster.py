"""The other nodes, for a running one: what `[peers]` switches on, off and over.

`ClusterComponent` gives `core/cluster/failure_detector` what its transport (`net/gossip_transport`) accepts,
and carries out the actions. It follows the settings, informs the time line, the log and `core/recovery`, and
answers `peers` on the control socket. Sections of datagrams go to `net/cluster_gossip`.

- *Incarnation*: with an intact persisted state the node speaks at once, in the incarnation that it counted.
  With none, a lost or an outdated one it first asks peers for the incarnation that they hold; the answer goes
  to `core/recovery`, as does an incarnation that was raised after a refutation, to be persisted.
- *Stalls*: before anything else of a turn is acted on, the detector is told that the loop stalled
  (`core/stall_detector`), and datagrams that wait in the socket are read before timers are run.
- *An address in use* is tried again: the process before may still be draining.
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

ROUND_INTERVAL_S = GOSSIP_INTERVAL_MS / 1000  # between two rounds of gossip
LISTEN_RETRY_INTERVAL_S = 2.0  # until an address in use is tried again
WARNING_CHANGES = frozenset(
    {PeerChange.FAILED, PeerChange.NAME_CONFLICT, PeerChange.NAME_YIELDED, PeerChange.TABLE_FULL}
)
# Only on the time line at the default level: the log has a bound for all of the node.
DEBUG_CHANGES = frozenset({PeerChange.JOINED, PeerChange.SUSPECTED})
MIN_STALL_MS = 0.001  # has the stall detector use its least: a suspicion may last 0.6 s
_EVENT_PREFIX = "peer "  # of the counts that `ClusterGossip` adds to, too


class _Incarnation(NamedTuple):
    """The incarnation to speak in; `is_certain`: nobody can hold a greater one of this node."""

    number: int
    is_certain: bool


class ClusterComponent:
    """The cluster as this node sees it; `detector` is None while it does not speak."""

    def __init__(self, running: RunningNode) -> None:
        self.running, self.node = running, running.node
        self.loop = asyncio.get_running_loop()
        self.detector: FailureDetector | None = None
        self.cluster_gossip: ClusterGossip | None = None  # from the first start until it is switched off
        self.listen_error = ""  # why there is no socket
        self.transport = GossipTransport(self._on_datagram)
        self._event_counts: Counter[str] = Counter()
        self._peers_settings: PeersSettings | None = None
        self._operator_settings = OperatorSettings()
        self._bound_addresses: tuple[Address, Address | None] | None = None  # to listen at, and for others
        self._previous_detector: FailureDetector | None = None  # at the address before
        self._stall_detector = StallDetector(self.node.now(), MIN_STALL_MS)
        self._announced_incarnation = 0  # the greatest that others were sent
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = float("inf")
        self._round_timer: asyncio.TimerHandle | None = None
        self._listen_retry_timer: asyncio.TimerHandle | None = None
        running.peers = self

    # --- settings

    def apply(self, settings: OperatorSettings) -> None:
        """Listen elsewhere, contact other seeds, sign with another key; leave if `[peers]` is off.

        Raises ValueError, and leaves all as it was, if the node has no name or one too long for a datagram.
        """
        previous, peers_settings = self._peers_settings, settings.peers
        if peers_settings is None:
            self._switch_off()
            return
        keys = gossip.parse_keys(peers_settings.keys)
        writer = self.transport.writer_for(self.running.name, keys)
        if not self.running.name:
            raise ValueError("the configuration gives this node no name, by which others would know it")
        self._peers_settings = peers_settings
        self.transport.use(writer, keys)
        if (warning := peers_settings.key_file_warning()) and (
            previous is None or previous.keys != peers_settings.keys
        ):
            log.warning("peers: %s", warning)
        self.running.control.register("peers", self.report)
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
        """Tell others that this node leaves, and stop; what peers said of endpoints stays."""
        self._peers_settings = None
        self._close_gossip(withdraw=False)
        self._leave()

    def _switch_off(self) -> None:
        self._peers_settings = None
        self._close_gossip(withdraw=True)
        self._leave()
        self.running.control.register_with("peers", None)

    def _close_gossip(self, withdraw: bool) -> None:
        if self.cluster_gossip is not None:
            self.cluster_gossip.close(withdraw)
            self.cluster_gossip = None

    def _leave(self) -> None:
        self._handle(events.ShutdownStarted())
        self._stop()

    def _stop(self) -> None:
        for timer in (self._timer, self._round_timer, self._listen_retry_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._round_timer = self._listen_retry_timer = None
        self._timer_at_ms = float("inf")
        if self.transport.socket is not None:
            self.loop.remove_reader(self.transport.socket)
            self.transport.socket.close()
        self.detector = self.transport.socket = self._bound_addresses = self._previous_detector = None

    # --- start

    def _listen(self, settings: PeersSettings) -> None:
        """Bind the address, and start there as soon as the persisted state was read."""
        if self._listen_retry_timer is not None:
            self._listen_retry_timer.cancel()
            self._listen_retry_timer = None
        if settings is not self._peers_settings:
            return
        previous_detector = self.detector
        if self._bound_addresses is not None and self._bound_addresses[0] == settings.listen:
            self._stop()  # or its own socket would hold the address
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
            log.error(
                "peers: %s; it is tried again every %g s, the node serves on", reason, LISTEN_RETRY_INTERVAL_S
            )
        self.listen_error = reason
        if self.detector is None:  # nobody could tell any more that what was gossiped holds no longer
            self._close_gossip(withdraw=True)
        self._listen_retry_timer = self.loop.call_later(LISTEN_RETRY_INTERVAL_S, self._listen, settings)

    def _start_detector(self) -> None:
        """Start to speak, or to ask for the own incarnation."""
        settings, sock = self._peers_settings, self.transport.socket
        if settings is None or sock is None or self.detector is not None:
            return
        if (restored := self._restored_incarnation()).number >= parameters.MAX_INCARNATION:
            log.error(
                "peers: life %d is over what others take; the node serves without peers", restored.number
            )
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
        if previous is not None and not previous.is_asking_for_incarnation:  # the same node, elsewhere
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
        """A round of gossip; without it a loop with nothing to do would seem to have stalled."""
        self._check_for_stall()
        if self.cluster_gossip is not None:
            self.cluster_gossip.run_round()
        self._round_timer = self.loop.call_later(ROUND_INTERVAL_S, self._run_round)

    def _check_for_stall(self) -> None:
        if stall_ms := self._stall_detector.record_turn(self.node.now()):
            log.warning("peers: this process stood still for %.0f ms: it calls nobody failed yet", stall_ms)
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

    def _on_timer(self) -> None:
        self._timer, self._timer_at_ms = None, float("inf")
        self._check_for_stall()
        self._receive()  # an answer that waits in the socket has come in time
        self._handle(events.TimerFired())

    def _set_timer(self, at_ms: float) -> None:
        if at_ms == self._timer_at_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at_ms = at_ms
        # The loop counts in whole ms; if it fired too early the timer would have to be set once more.
        delay_s = max(0.0, at_ms - self.node.now()) / 1000 + 0.001
        self._timer = self.loop.call_later(delay_s, self._on_timer)

    # --- actions

    def _handle(self, event: events.Event) -> None:
        detector = self.detector
        if detector is None:
            return
        was_asking = detector.is_asking_for_incarnation
        try:
            actions = detector.handle(self.node.now(), event)
        except Exception:  # guards requests, and the detector after it, against one event
            log.exception("peers: %s failed", type(event).__name__)
            if self._timer is None:
                self._set_timer(self.node.now() + parameters.PROBE_INTERVAL_MS)
            return
        for action in actions:
            match action:
                case events.SendDatagram():
                    self._send_datagram(action.address, action.incarnation, action.message)
                case events.SetTimer():
                    self._set_timer(action.at_ms)
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
        """Tell the recovery which incarnation this node has from now on.

        `reported_incarnation`: what peers held before it spoke, None if none answered. One above the known
        incarnation is a refutation of a claim about that; anything above shows that peers have seen a later
        one, which this node forgot.
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
        """Note a change in the membership in the log, the counts and on the time line."""
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

    # --- what operators ask

    def report(self) -> dict[str, Any]:
        """The answer to `peers` on the control socket."""
        gossiped = None if self.cluster_gossip is None else self.cluster_gossip.report()
        answer = peers_report(self.detector, self.running.name, gossiped)
        answer["trouble"] = self.listen_error or None
        answer["datagrams"] = {name: self.transport.counts[name] for name in COUNTERS}
        answer["refused"] = dict(self.transport.rejected_counts)
        return answer

    def metrics(self) -> dict[str, dict[str, float]]:
        """For the metrics, by name and label."""
        return {
            "states": count_by_state(self.detector),
            "events": {name.removeprefix(_EVENT_PREFIX): n for name, n in self._event_counts.items()},
            "datagrams": {name: self.transport.counts[name] for name in COUNTERS},
            "refused": dict(self.transport.rejected_counts),
            **({} if self.cluster_gossip is None else self.cluster_gossip.gauges()),
        }


def seed_addresses(settings: PeersSettings) -> list[str]:
    """The seeds as datagrams name them."""
    return [format_address(seed) for seed in settings.seeds or ()]
