"""The other nodes, for a running one: what `[peers]` switches on, off and over.

`PeersPart` holds the one UDP socket, carries out what `core/cluster/failure_detector` says and gives it
what `protocol/gossip`
believes of what comes. It follows the settings, tells the time line, the log and `core/recovery`, and
answers `peers` on the control socket. What else nodes tell each other passes through to `net/cluster_gossip`.

- *Who this node is*: with a memory that is whole it speaks at once, as the life that the memory counts. With
  none, a lost or an older one it first asks what others hold of it; what they say goes to `core/recovery`.
  What it has to go by after a refutation is kept, too.
- *Standing still*: before anything else of a turn is acted on, the decider is told that the loop stood
  (`core/stall_detector`), and what lies in the socket is read before what time has brought.
- *Work*: at most TURN datagrams in one turn of the loop; requests go on between two. What a socket refuses to
  send is lost and counted: the decider bears loss.
- An address that cannot be had is tried again: the process before may still drain.
"""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import socket
from collections import Counter
from functools import lru_cache
from random import Random
from typing import Any

from balancer.core import recovery as r
from balancer.core.cluster import gossip_coordinator as together
from balancer.core.cluster import quota_allocation as shares
from balancer.core.cluster.failure_detector import events, messages, parameters
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.node_state import GOSSIP_INTERVAL_MS
from balancer.core.cluster.report import count_by_state, peers_report
from balancer.core.stall_detector import StallDetector
from balancer.endpoints import Address
from balancer.net.cluster_gossip import ClusterGossip
from balancer.net.component import RunningNode
from balancer.operator_settings import OperatorSettings, PeersSettings
from balancer.operator_settings.peers import written
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_CALLBACK = (
    32  # datagrams read in one turn of the loop: some 1 ms where all of them are right
)
ROUND_INTERVAL_S = GOSSIP_INTERVAL_MS / 1000  # s between two rounds, and turns where nothing happens
LISTEN_RETRY_INTERVAL_S = 2.0  # s until an address that could not be had is tried again
WARNING_CHANGES = frozenset({"failed", "doubled", "yielded", "full"})
DEBUG_CHANGES = frozenset(
    {"joined", "suspected"}
)  # on the time line alone: the log has a bound for all of the node


class ClusterComponent:
    """Who is there, as this node sees it."""

    def __init__(self, running: RunningNode) -> None:
        self.running, self.node = running, running.node
        self.loop = asyncio.get_running_loop()
        self.detector: FailureDetector | None = None
        self.cluster_gossip: ClusterGossip | None = None  # from the first word on, until it is off
        self.listen_error = ""  # why there is no socket
        self.counts: Counter[str] = Counter()  # datagrams: received, sent, unsent
        self._peers_settings: PeersSettings | None = None
        self._operator_settings = OperatorSettings()
        self._socket: socket.socket | None = None
        self._bound_addresses: tuple[Address, Address | None] | None = None  # where it listens and is seen
        self._previous_detector: FailureDetector | None = None  # at the address before
        self._writer: gossip.Writer | None = None
        self._reader = gossip.Reader(())
        self._stall_detector = StallDetector(
            self.node.now(), 0.001
        )  # the least that it takes: a suspicion may last 0.6 s
        self._announced_incarnation = 0  # the last incarnation that `core/recovery` knows to be told
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = float("inf")
        self._round_timer: asyncio.TimerHandle | None = None
        self._listen_retry_timer: asyncio.TimerHandle | None = None
        running.peers = self

    # --- the settings

    def apply(self, settings: OperatorSettings) -> None:
        """Listen elsewhere, ask others, sign with another key; say that it leaves where it is off."""
        previous, peers_settings = self._peers_settings, settings.peers
        if peers_settings is None:
            self._peers_settings = None
            self._close_gossip(withdraw=True)
            self._stop(leave=True)
            self.running.control.register_with("peers", None)
            return
        keys = gossip.parse_keys(peers_settings.keys)
        writer = self._writer or gossip.Writer(self.running.name, keys)  # raises where the name is too long
        if not self.running.name:
            raise ValueError("the configuration gives this node no name, by which others would know it")
        self._peers_settings, self._writer = peers_settings, writer
        # From one datagram to the next: all keys are believed, so nobody is unheard meanwhile.
        writer.keys = self._reader.keys = keys
        if (warning := peers_settings.too_open()) and (
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
        """Say that it leaves."""
        self._peers_settings = None
        self._close_gossip(withdraw=False)
        self._stop(leave=True)

    def _listen(self, settings: PeersSettings) -> None:
        """Have the address, and begin there as soon as it is known who this is."""
        if self._listen_retry_timer is not None:
            self._listen_retry_timer.cancel()
            self._listen_retry_timer = None
        if settings is not self._peers_settings:
            return
        previous_detector = self.detector
        if self._bound_addresses is not None and self._bound_addresses[0] == settings.listen:
            self._stop()  # or it would be in its own way
        family = socket.AF_INET6 if ":" in settings.listen[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_DGRAM)
            try:
                sock.setblocking(False)
                sock.bind(settings.listen)
            except OSError:
                sock.close()
                raise
        except OSError as error:
            reason = f"{written(settings.listen)}: {error.strerror or error}"
            if reason != self.listen_error:
                log.error(
                    "peers: %s; it is tried again every %g s, the node serves on",
                    reason,
                    LISTEN_RETRY_INTERVAL_S,
                )
            self.listen_error = reason
            if self.detector is None:  # nobody could say any more that what was taken holds no longer
                self._close_gossip(withdraw=True)
            self._listen_retry_timer = self.loop.call_later(LISTEN_RETRY_INTERVAL_S, self._listen, settings)
            return
        self._stop()
        self._socket, self._previous_detector, self.listen_error = sock, previous_detector, ""
        self._bound_addresses = settings.listen, settings.address
        recovery = self.running.recovery
        if recovery is None or recovery.has_begun:
            self._start_detector()
        else:
            recovery.on_begun.append(self._start_detector)

    def _start_detector(self) -> None:
        """Speak, or ask first who this is."""
        settings, sock = self._peers_settings, self._socket
        if settings is None or sock is None or self.detector is not None:
            return
        incarnation, is_persisted = self._restored_incarnation()
        if incarnation >= parameters.MAX_INCARNATION:
            log.error("peers: life %d is over what others take; the node serves without peers", incarnation)
            return
        address, seeds = written(settings.address or sock.getsockname()[:2]), seed_addresses(settings)
        if (
            previous_detector := self._previous_detector
        ) is not None and not previous_detector.is_asking_for_incarnation:  # it is who it was, somewhere else
            incarnation, is_persisted = previous_detector.incarnation + 1, True
            seeds += [peer.record.address for peer in previous_detector.peers.values()]
        self.detector = FailureDetector(
            self.running.name,
            address,
            seeds[: parameters.MAX_SEEDS],
            incarnation - 1,
            Random(),
            gossip.record_size_bytes,
            gossip.record_space_bytes,
            ask_for_incarnation=not is_persisted,
        )
        if self.cluster_gossip is None:
            self.cluster_gossip = ClusterGossip(self.running, self.detector, self._send_sections, self.counts)
        self.cluster_gossip.use_failure_detector(self.detector)
        self.cluster_gossip.apply(self._operator_settings)
        self._announced_incarnation = 0
        self._stall_detector.record_turn(self.node.now())
        self.loop.add_reader(sock, self._on_readable)
        self._run_round()
        log.info("peers: %s at %s", self.running.name, address)
        self._handle(events.Started())

    def _restored_incarnation(self) -> tuple[int, bool]:
        """The number of this life, and whether the memory of those before it is whole."""
        if (recovery := self.running.recovery) is None:
            return 1, False
        return recovery.recovery.incarnation, recovery.recovery.persisted_state is r.PersistedState.INTACT

    def _close_gossip(self, withdraw: bool) -> None:
        if self.cluster_gossip is not None:
            self.cluster_gossip.close(withdraw)
            self.cluster_gossip = None

    def _stop(self, leave: bool = False) -> None:
        if leave and self.detector is not None:
            self._handle(events.ShutdownStarted())
        for timer in (self._timer, self._round_timer, self._listen_retry_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._round_timer = self._listen_retry_timer = None
        self._timer_at_ms = float("inf")
        if self._socket is not None:
            self.loop.remove_reader(self._socket)
            self._socket.close()
        self.detector = self._socket = self._bound_addresses = self._previous_detector = None

    # --- what passes

    def _run_round(self) -> None:
        """A round; where nothing else happens, a long stand would look like a long silence without it."""
        self._check_for_stall()
        if self.cluster_gossip is not None:
            self.cluster_gossip.run_round()
        self._round_timer = self.loop.call_later(ROUND_INTERVAL_S, self._run_round)

    def _check_for_stall(self) -> None:
        if stall_ms := self._stall_detector.record_turn(self.node.now()):
            log.warning("peers: this process stood still for %.0f ms: it calls nobody failed yet", stall_ms)
            self._handle(events.ProcessStalled(stall_ms))
            if self.cluster_gossip is not None:
                self.cluster_gossip.handle(shares.LoopStalled())

    def _on_readable(self) -> None:
        self._check_for_stall()
        self._receive()

    def _receive(self) -> None:
        """Some of what waits; the loop comes back for the rest after a turn."""
        sock, now_ms = self._socket, self.node.now()
        for _ in range(MAX_DATAGRAMS_PER_CALLBACK):
            if sock is None or self.detector is None:
                return
            try:
                data, sender_address = sock.recvfrom(gossip.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as err:  # what came back of something sent before
                self._on_socket_error(err)
                continue
            self.counts["received"] += 1
            source = written(sender_address[:2])
            datagram = self._reader.read(now_ms, source, data)
            if isinstance(datagram, gossip.AcceptedDatagram):
                message = messages.Message(*datagram.message)
                self._handle(
                    events.DatagramReceived(
                        datagram.sender, datagram.incarnation, source, message, datagram.is_current
                    )
                )
                if datagram.sections and datagram.is_current and self.cluster_gossip is not None:
                    self.cluster_gossip.handle(
                        together.SectionsReceived(datagram.sender, source, datagram.sections)
                    )

    def _on_timer(self) -> None:
        self._timer, self._timer_at_ms = None, float("inf")
        self._check_for_stall()
        self._receive()  # an answer that is here already has come in time
        self._handle(events.TimerFired())

    def _on_socket_error(self, error: OSError) -> None:
        """Unreachable, refused, no room: as lost as any other datagram. Said once a kind."""
        reason = error.strerror or type(error).__name__
        self.counts["unsent"] += 1
        if not self.counts[f"fault {error.errno}"]:
            log.warning("peers: %s; datagrams are lost, the node goes on", reason)
        self.counts[f"fault {error.errno}"] += 1

    def _handle(self, event: events.Event) -> None:
        detector = self.detector
        if detector is None:
            return
        was_asking = detector.is_asking_for_incarnation
        try:
            actions = detector.handle(self.node.now(), event)
        except Exception:  # guards requests, and the peers after it, against one event
            log.exception("peers: %s failed", type(event).__name__)
            if self._timer is None:
                self._set_timer(self.node.now() + parameters.PROBE_INTERVAL_MS)
            return
        for action in actions:
            match action:
                case events.SendDatagram():
                    self._send(action)
                case events.SetTimer():
                    self._set_timer(action.at_ms)
                case events.PersistIncarnation():
                    self._persist_incarnation(
                        action.incarnation, detector.reported_incarnation if was_asking else None
                    )
                case events.NotifyPeerChange():
                    self._report_change(detector, action)

    def _send(self, action: events.SendDatagram) -> None:
        self._send_datagram(action.address, action.incarnation, action.message)

    def _send_sections(self, address: str, sections: gossip.Sections) -> None:
        if (
            self.detector is not None
            and not self.detector.is_asking_for_incarnation
            and not self.detector.has_yielded_name
        ):
            self._send_datagram(
                address,
                self.detector.incarnation,
                messages.Message(goes_by.MESSAGE_KIND, 0, "", "", ()),
                sections,
            )

    def _send_datagram(
        self, address: str, incarnation: int, message: messages.Message, sections: gossip.Sections = ()
    ) -> None:
        assert self._writer is not None
        if self._socket is None:
            return
        target = socket_address(address, self._socket.family)
        try:
            if target is None:
                raise ValueError
            self._socket.sendto(self._writer.write(incarnation, message, sections), target)
            self.counts["sent"] += 1
        except OSError as error:
            self._on_socket_error(error)
        except ValueError:  # somebody with the right key made it up
            self.counts["unsent"] += 1
        recovery = self.running.recovery
        if recovery is not None and incarnation > self._announced_incarnation:
            self._announced_incarnation = incarnation
            recovery.recovery.mark_incarnation_announced()

    def _set_timer(self, at_ms: float) -> None:
        if at_ms == self._timer_at_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at_ms = at_ms
        # A loop counts in whole ms: one that wakes too early has to be waked once more.
        self._timer = self.loop.call_later(max(0.0, at_ms - self.node.now()) / 1000 + 0.001, self._on_timer)

    def _persist_incarnation(self, incarnation: int, reported_incarnation: int | None) -> None:
        """It goes by this from now on; `held` is what others held of it before it spoke, where they said so.

        One more than the life that it knew of is a refutation of what was told of that; anything above shows
        that others have seen a later life.
        """
        recovery = self.running.recovery
        if recovery is None:
            return
        known_incarnation = recovery.recovery.incarnation
        if reported_incarnation is None and incarnation > known_incarnation + 1:
            reported_incarnation = incarnation - 1
        if reported_incarnation is not None:
            recovery.handle(r.PeersReportedIncarnation(reported_incarnation))
        recovery.handle(r.IncarnationRaised(incarnation))

    def _report_change(self, detector: FailureDetector, notification: events.NotifyPeerChange) -> None:
        shown_name = "".join(c if c.isprintable() else "?" for c in notification.name)
        level = logging.WARNING if notification.change in WARNING_CHANGES else logging.INFO
        level = logging.DEBUG if notification.change in DEBUG_CHANGES else level
        log.log(level, "peers: %s %s: %s", shown_name, notification.change, notification.reason)
        evidence: dict[str, object] = {"why": notification.reason}
        if (peer := detector.peers.get(notification.name)) is not None:
            evidence |= {"incarnation": peer.record.incarnation, "address": peer.record.address}
        self.counts[f"peer {notification.change}"] += 1
        scope = "node" if notification.name == detector.name else "peer"
        self.running.record_event(f"peer_{notification.change}", scope, notification.name, "peers", evidence)

    # --- what operators ask

    def report(self) -> dict[str, Any]:
        """Answer `peers`."""
        gossiped = None if self.cluster_gossip is None else self.cluster_gossip.report()
        answer = peers_report(self.detector, self.running.name, gossiped)
        answer["trouble"] = self.listen_error or None
        answer["datagrams"] = {name: self.counts[name] for name in ("received", "sent", "unsent")}
        answer["refused"] = dict(self._reader.rejected_counts)
        return answer

    def metrics(self) -> dict[str, dict[str, float]]:
        """For the metrics, by name and label."""
        return {
            "states": count_by_state(self.detector),
            "events": {name[5:]: n for name, n in self.counts.items() if name.startswith("peer ")},
            "datagrams": {name: self.counts[name] for name in ("received", "sent", "unsent")},
            "refused": dict(self._reader.rejected_counts),
            **({} if self.cluster_gossip is None else self.cluster_gossip.gauges()),
        }


@lru_cache(parameters.MAX_PEERS)
def socket_address(text: str, family: int) -> Address | None:
    """An address to send to; guards against a name, which the system would look up while the loop waits."""
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host[1:-1] if host[:1] == "[" else host)
        port_number = int(port)
    except ValueError:
        return None
    is_usable = (ip.version == 6) is (family == socket.AF_INET6) and 0 < port_number < 65_536
    return (str(ip), port_number) if is_usable else None


def seed_addresses(settings: PeersSettings) -> list[str]:
    return [written(seed) for seed in settings.seeds or ()]
