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
from balancer.core.cluster import failure_detector as p
from balancer.core.cluster import gossip_coordinator as together
from balancer.core.cluster import quota_allocation as shares
from balancer.core.cluster.node_state import ROUND_MS
from balancer.core.cluster.report import figures, report
from balancer.core.stall_detector import Pause
from balancer.endpoints import Address
from balancer.net.cluster_gossip import Words
from balancer.net.component import Running
from balancer.operator_settings import Operators, PeersSettings
from balancer.operator_settings.peers import written
from balancer.protocol import gossip
from balancer.protocol import gossip_sections as goes_by

log = logging.getLogger(__name__)

TURN = 32  # datagrams read in one turn of the loop: some 1 ms where all of them are right
BEAT = ROUND_MS / 1000  # s between two rounds, and turns where nothing happens
AGAIN = 2.0  # s until an address that could not be had is tried again
LOUD = frozenset({"failed", "doubled", "yielded", "full"})
OFTEN = frozenset({"joined", "suspected"})  # on the time line alone: the log has a bound for all of the node


class PeersPart:
    """Who is there, as this node sees it."""

    def __init__(self, running: Running) -> None:
        self.running, self.node = running, running.node
        self.loop = asyncio.get_running_loop()
        self.peers: p.Peers | None = None
        self.words: Words | None = None  # from the first word on, until it is off
        self.trouble = ""  # why there is no socket
        self.counts: Counter[str] = Counter()  # datagrams: received, sent, unsent
        self._wanted: PeersSettings | None = None
        self._settings = Operators()
        self._socket: socket.socket | None = None
        self._at: tuple[Address, Address | None] | None = None  # where it listens and is seen
        self._before: p.Peers | None = None  # at the address before
        self._writer: gossip.Writer | None = None
        self._reader = gossip.Reader(())
        self._pause = Pause(self.node.now(), 0.001)  # the least that it takes: a suspicion may last 0.6 s
        self._told = 0  # the last incarnation that `core/recovery` knows to be told
        self._wake: asyncio.TimerHandle | None = None
        self._wake_ms = float("inf")
        self._beat: asyncio.TimerHandle | None = None
        self._again: asyncio.TimerHandle | None = None
        running.peers = self

    # --- the settings

    def apply(self, settings: Operators) -> None:
        """Listen elsewhere, ask others, sign with another key; say that it leaves where it is off."""
        was, now = self._wanted, settings.peers
        if now is None:
            self._wanted = None
            self._unheard(lift=True)
            self._stop(leave=True)
            self.running.control.register_with("peers", None)
            return
        keys = gossip.keys_of(now.keys)
        writer = self._writer or gossip.Writer(self.running.name, keys)  # raises where the name is too long
        if not self.running.name:
            raise ValueError("the configuration gives this node no name, by which others would know it")
        self._wanted, self._writer = now, writer
        # From one datagram to the next: all keys are believed, so nobody is unheard meanwhile.
        writer.keys = self._reader.keys = keys
        if (opened := now.too_open()) and (was is None or was.keys != now.keys):
            log.warning("peers: %s", opened)
        self.running.control.register("peers", self.report)
        self._settings = settings
        if self.words is not None:
            self.words.set(settings)
        if self._at != (now.listen, now.address):
            self._listen(now)
            return
        self.trouble = ""
        if self.peers is not None:
            self.peers.ask_at(_seeds(now))

    async def close(self) -> None:
        """Say that it leaves."""
        self._wanted = None
        self._unheard(lift=False)
        self._stop(leave=True)

    def _listen(self, settings: PeersSettings) -> None:
        """Have the address, and begin there as soon as it is known who this is."""
        if self._again is not None:
            self._again.cancel()
            self._again = None
        if settings is not self._wanted:
            return
        before = self.peers
        if self._at is not None and self._at[0] == settings.listen:
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
        except OSError as err:
            why = f"{written(settings.listen)}: {err.strerror or err}"
            if why != self.trouble:
                log.error("peers: %s; it is tried again every %g s, the node serves on", why, AGAIN)
            self.trouble = why
            if self.peers is None:  # nobody could say any more that what was taken holds no longer
                self._unheard(lift=True)
            self._again = self.loop.call_later(AGAIN, self._listen, settings)
            return
        self._stop()
        self._socket, self._before, self.trouble = sock, before, ""
        self._at = settings.listen, settings.address
        meter = self.running.recovery
        if meter is None or meter.began:
            self._begin()
        else:
            meter.when_begun.append(self._begin)

    def _begin(self) -> None:
        """Speak, or ask first who this is."""
        settings, sock = self._wanted, self._socket
        if settings is None or sock is None or self.peers is not None:
            return
        life, whole = self._life()
        if life >= p.INCARNATION_MAX:
            log.error("peers: life %d is over what others take; the node serves without peers", life)
            return
        address, seeds = written(settings.address or sock.getsockname()[:2]), _seeds(settings)
        if (before := self._before) is not None and not before.asking:  # it is who it was, somewhere else
            life, whole = before.incarnation + 1, True
            seeds += [peer.word.address for peer in before.peers.values()]
        self.peers = p.Peers(
            self.running.name,
            address,
            seeds[: p.SEEDS_MAX],
            life - 1,
            Random(),
            gossip.cost,
            gossip.room,
            ask=not whole,
        )
        if self.words is None:
            self.words = Words(self.running, self.peers, self._send_words, self.counts)
        self.words.at(self.peers)
        self.words.set(self._settings)
        self._told = 0
        self._pause.turned(self.node.now())
        self.loop.add_reader(sock, self._readable)
        self._turn()
        log.info("peers: %s at %s", self.running.name, address)
        self._tell(p.Started())

    def _life(self) -> tuple[int, bool]:
        """The number of this life, and whether the memory of those before it is whole."""
        if (meter := self.running.recovery) is None:
            return 1, False
        return meter.recovery.incarnation, meter.recovery.memory is r.Memory.KEPT

    def _unheard(self, lift: bool) -> None:
        if self.words is not None:
            self.words.close(lift)
            self.words = None

    def _stop(self, leave: bool = False) -> None:
        if leave and self.peers is not None:
            self._tell(p.Leaving())
        for timer in (self._wake, self._beat, self._again):
            if timer is not None:
                timer.cancel()
        self._wake = self._beat = self._again = None
        self._wake_ms = float("inf")
        if self._socket is not None:
            self.loop.remove_reader(self._socket)
            self._socket.close()
        self.peers = self._socket = self._at = self._before = None

    # --- what passes

    def _turn(self) -> None:
        """A round; where nothing else happens, a long stand would look like a long silence without it."""
        self._turned()
        if self.words is not None:
            self.words.round()
        self._beat = self.loop.call_later(BEAT, self._turn)

    def _turned(self) -> None:
        if stood := self._pause.turned(self.node.now()):
            log.warning("peers: this process stood still for %.0f ms: it calls nobody failed yet", stood)
            self._tell(p.Stood(stood))
            if self.words is not None:
                self.words.tell(shares.Stood())

    def _readable(self) -> None:
        self._turned()
        self._read()

    def _read(self) -> None:
        """Some of what waits; the loop comes back for the rest after a turn."""
        sock, now = self._socket, self.node.now()
        for _ in range(TURN):
            if sock is None or self.peers is None:
                return
            try:
                data, at = sock.recvfrom(gossip.SIZE + 1)
            except BlockingIOError:
                return
            except OSError as err:  # what came back of something sent before
                self._fault(err)
                continue
            self.counts["received"] += 1
            source = written(at[:2])
            found = self._reader.read(now, source, data)
            if isinstance(found, gossip.Read):
                message = p.Message(*found.message)
                self._tell(p.Heard(found.sender, found.incarnation, source, message, found.fresh))
                if found.sections and found.fresh and self.words is not None:
                    self.words.tell(together.Came(found.sender, source, found.sections))

    def _due(self) -> None:
        self._wake, self._wake_ms = None, float("inf")
        self._turned()
        self._read()  # an answer that is here already has come in time
        self._tell(p.Ticked())

    def _fault(self, err: OSError) -> None:
        """Unreachable, refused, no room: as lost as any other datagram. Said once a kind."""
        why = err.strerror or type(err).__name__
        self.counts["unsent"] += 1
        if not self.counts[f"fault {err.errno}"]:
            log.warning("peers: %s; datagrams are lost, the node goes on", why)
        self.counts[f"fault {err.errno}"] += 1

    def _tell(self, event: p.Event) -> None:
        peers = self.peers
        if peers is None:
            return
        asked = peers.asking
        try:
            actions = peers.handle(self.node.now(), event)
        except Exception:  # guards requests, and the peers after it, against one event
            log.exception("peers: %s failed", type(event).__name__)
            if self._wake is None:
                self._wake_at(self.node.now() + p.PERIOD_MS)
            return
        for action in actions:
            match action:
                case p.Send():
                    self._send(action)
                case p.Wake():
                    self._wake_at(action.at_ms)
                case p.Keep():
                    self._keep(action.incarnation, peers.others_held if asked else None)
                case p.Tell():
                    self._say(peers, action)

    def _send(self, action: p.Send) -> None:
        self._put(action.to, action.incarnation, action.message)

    def _send_words(self, to: str, sections: gossip.Sections) -> None:
        if self.peers is not None and not self.peers.asking and not self.peers.yielded:
            self._put(to, self.peers.incarnation, p.Message(goes_by.KIND, 0, "", "", ()), sections)

    def _put(self, to: str, incarnation: int, message: p.Message, sections: gossip.Sections = ()) -> None:
        assert self._writer is not None
        if self._socket is None:
            return
        target = _target(to, self._socket.family)
        try:
            if target is None:
                raise ValueError
            self._socket.sendto(self._writer.write(incarnation, message, sections), target)
            self.counts["sent"] += 1
        except OSError as err:
            self._fault(err)
        except ValueError:  # somebody with the right key made it up
            self.counts["unsent"] += 1
        meter = self.running.recovery
        if meter is not None and incarnation > self._told:
            self._told = incarnation
            meter.recovery.told()

    def _wake_at(self, at_ms: float) -> None:
        if at_ms == self._wake_ms:
            return
        if self._wake is not None:
            self._wake.cancel()
        self._wake_ms = at_ms
        # A loop counts in whole ms: one that wakes too early has to be waked once more.
        self._wake = self.loop.call_later(max(0.0, at_ms - self.node.now()) / 1000 + 0.001, self._due)

    def _keep(self, incarnation: int, held: int | None) -> None:
        """It goes by this from now on; `held` is what others held of it before it spoke, where they said so.

        One more than the life that it knew of is a refutation of what was told of that; anything above shows
        that others have seen a later life.
        """
        meter = self.running.recovery
        if meter is None:
            return
        life = meter.recovery.incarnation
        if held is None and incarnation > life + 1:
            held = incarnation - 1
        if held is not None:
            meter.tell(r.OthersKnew(held))
        meter.tell(r.Rose(incarnation))

    def _say(self, peers: p.Peers, told: p.Tell) -> None:
        shown = "".join(c if c.isprintable() else "?" for c in told.name)
        level = logging.WARNING if told.what in LOUD else logging.INFO
        level = logging.DEBUG if told.what in OFTEN else level
        log.log(level, "peers: %s %s: %s", shown, told.what, told.why)
        evidence: dict[str, object] = {"why": told.why}
        if (peer := peers.peers.get(told.name)) is not None:
            evidence |= {"incarnation": peer.word.incarnation, "address": peer.word.address}
        self.counts[f"peer {told.what}"] += 1
        scope = "node" if told.name == peers.name else "peer"
        self.running.tell(f"peer_{told.what}", scope, told.name, "peers", evidence)

    # --- what operators ask

    def report(self) -> dict[str, Any]:
        """Answer `peers`."""
        told = None if self.words is None else self.words.report()
        out = report(self.peers, self.running.name, told)
        out["trouble"] = self.trouble or None
        out["datagrams"] = {name: self.counts[name] for name in ("received", "sent", "unsent")}
        out["refused"] = dict(self._reader.refused)
        return out

    def figures(self) -> dict[str, dict[str, float]]:
        """For the metrics, by name and label."""
        return {
            "states": figures(self.peers),
            "events": {name[5:]: n for name, n in self.counts.items() if name.startswith("peer ")},
            "datagrams": {name: self.counts[name] for name in ("received", "sent", "unsent")},
            "refused": dict(self._reader.refused),
            **({} if self.words is None else self.words.figures()),
        }


@lru_cache(p.PEERS_MAX)
def _target(text: str, family: int) -> Address | None:
    """An address to send to; guards against a name, which the system would look up while the loop waits."""
    host, _, port = text.rpartition(":")
    try:
        found = ipaddress.ip_address(host[1:-1] if host[:1] == "[" else host)
        number = int(port)
    except ValueError:
        return None
    fits = (found.version == 6) is (family == socket.AF_INET6) and 0 < number < 65_536
    return (str(found), number) if fits else None


def _seeds(settings: PeersSettings) -> list[str]:
    return [written(seed) for seed in settings.seeds or ()]
