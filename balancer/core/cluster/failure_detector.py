"""Who is there: SWIM with suspicion and incarnations, as a decider without clock, sockets or chance of its
own.

Each period a node probes one peer of a shuffled ring, through helpers where it does not answer, and tells
what changed on the datagrams that go anyway (Das, Gupta, Motivala: "SWIM", 2002). From "Lifeguard" (Dadgar,
Phillips, Currey, 2018): a node that is slow itself waits longer (local health), a suspicion ends sooner the
more peers share it (dogpile), and whoever is written to is told first what is held against it (buddy).
`benchmarks/failure_detection.py` weighs each. What goes beyond the papers: the rest of each datagram is
filled with
entries in turn, so that a word lost everywhere is told again; each period one fallen peer or unheard seed is
asked, so that cuts heal; a failure told of a peer heard just now begins a suspicion only; a node that stood
still fails nobody before it was heard from again.

What is held of a name is the greatest word told, by (incarnation, state, address): merging is a maximum, so
the order, doubling and lateness of datagrams do not matter, and what failed stays so until a greater
incarnation. Cost of a period: a constant number of datagrams, entries and heap steps, however many peers
there are.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from heapq import heappop, heappush
from math import ceil, log, log10
from random import Random
from typing import NamedTuple

PROBE_INTERVAL_MS = 200.0  # between two probes
PROBE_TIMEOUT_MS = 65.0  # for a direct answer; helpers have the rest of the period
INDIRECT_PROBE_COUNT = 3  # asked for an indirect probe
SUSPICION_MULTIPLIER, MAX_SUSPICION_MULTIPLIER = (
    3.0,
    3.0,
)  # least suspicion: ALPHA log10(n) periods; longest: BETA times that
MAX_SUSPICION_CONFIRMATIONS = 3  # other accusers with whom a suspicion is at its shortest
MAX_LOCAL_HEALTH = 2  # local health: periods and waits are at most so many times longer, and one
IMMEDIATE_GOSSIP_FANOUT, MAX_IMMEDIATE_GOSSIP_PER_INTERVAL = (
    3,
    9,
)  # peers told at once of a suspicion or failure; such datagrams a period
RETRANSMIT_MULTIPLIER = 4.0  # times log10(n + 1): how often a change is told by each node
RECENT_CONTACT_MS = 3 * PROBE_INTERVAL_MS  # heard so lately: a failure told by others is only a suspicion
INCARNATION_ANSWERS_WAIT_MS, NO_ANSWER_WAIT_MS = (
    600.0,
    3_000.0,
)  # for answers on the own past: after the first, and where there is none
NAME_CONFLICT_WINDOW_MS, NAME_CONFLICTS_TO_YIELD = (
    30_000.0,
    3,
)  # claims of another address to the own name before one of both yields
MAX_PAGE_ATTEMPTS = 4  # for a page that does not come
WALK_INTERVAL_MS = 10_000.0  # from the last page of one walk through another's list to the next walk
TOMBSTONE_RETENTION_MS = (
    600_000.0  # failed and left ones are held so long, far above the life of any datagram
)
MAX_PEERS, MAX_TOMBSTONES, MAX_RELAYED_PROBES, MAX_SEEDS = 8_192, 1_024, 256, 16  # bounds of the tables
MAX_INCARNATION = 2**32 - 2**16  # a word above it is a lie: nobody could refute it
STALL_SETTLE_MS = 100.0  # after a stand: what is read so soon may have lain there as long
PEERS_HEARD_AFTER_STALL = 3  # heard from after a stand, or all of fewer, before anybody is called failed


class PeerState(IntEnum):
    """In the order of what outweighs what within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class MessageKind(IntEnum):
    """PING, ACK and RELAY name their `target`; ASK and TOLD carry a place in the list in `seq`."""

    PING = 1
    ACK = 2
    PING_REQ = 3  # ping `target` at `address` for me
    NACK = 4  # the helper is well, its target has not answered
    MEMBERS_REQUEST = 5
    MEMBERS_PAGE = 6
    GOSSIP = 7  # words alone, at once


class MemberRecord(NamedTuple):
    """What somebody says of a node; `by`: 16 bits of the accuser's name, for suspicions, else 0."""

    name: str
    state: int
    incarnation: int
    address: str
    accuser_id: int = 0


class Message(NamedTuple):
    """`words` as plain tuples, as `protocol/gossip` reads and writes them."""

    kind: int
    sequence: int
    target: str
    address: str
    records: Sequence[tuple[str, int, int, str, int]]


@dataclass(slots=True, frozen=True)
class Started:
    """The node may speak. Begins asking where no incarnation was kept."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of the last `Wake` has come; harmless too early."""


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram that was right. `fresh` False: of an incarnation of the sender older than one heard."""

    sender: str
    incarnation: int
    source: str
    message: Message
    is_current: bool = True


@dataclass(slots=True, frozen=True)
class ProcessStalled:
    """The own loop stood still (core/stall_detector.py)."""

    stall_ms: float


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The process was told to end."""


Event = Started | TimerFired | DatagramReceived | ProcessStalled | ShutdownStarted


@dataclass(slots=True, frozen=True)
class SendDatagram:
    address: str
    incarnation: int
    message: Message


@dataclass(slots=True, frozen=True)
class SetTimer:
    at_ms: float


@dataclass(slots=True, frozen=True)
class PersistIncarnation:
    """Write the incarnation down, before the sends behind it where that can be."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class NotifyPeerChange:
    """`what`: joined, suspected, failed, left, returned, moved, doubled, yielded, resumed, full."""

    change: str
    name: str
    reason: str


Action = SendDatagram | SetTimer | PersistIncarnation | NotifyPeerChange


@dataclass(slots=True, frozen=True)
class Options:
    """What the benchmark takes out, one at a time."""

    local_health: bool = True
    dogpile_suspicion: bool = True
    buddy_system: bool = True
    fill_datagrams: bool = True
    immediate_gossip: bool = True


def newer_record(held: MemberRecord | None, gossiped: MemberRecord) -> MemberRecord:
    """The merge: associative, commutative and idempotent, as a maximum of a total order is."""
    return gossiped if held is None or gossiped[2:0:-1] + gossiped[3:] > held[2:0:-1] + held[3:] else held


def accuser_id(name: str) -> int:
    """16 bits of a name, never 0; two with the same ones count as one accuser, which only delays."""
    return zlib.crc32(name.encode()) % 65_535 + 1


class Peer:
    """One that is known: `word` is what is held; `accusers` (at most SHARERS + 1) while it is suspect."""

    __slots__ = ("accuser_ids", "last_heard_ms", "record", "ring_index", "state_since_ms")

    def __init__(self, record: MemberRecord, now_ms: float) -> None:
        self.record, self.state_since_ms, self.last_heard_ms = record, now_ms, float("-inf")
        self.ring_index = -1
        self.accuser_ids: set[int] = set()


class PendingBroadcasts:
    """Names by how often they were told: least told first, newest first within. Each name is in it once."""

    def __init__(self) -> None:
        self.transmit_counts: dict[str, int] = {}
        self.names_by_count: list[dict[str, None]] = [{}]

    def add(self, name: str) -> None:
        self.discard(name)
        self.transmit_counts[name] = 0
        self.names_by_count[0][name] = None

    def discard(self, name: str) -> None:
        if (count := self.transmit_counts.pop(name, None)) is not None:
            del self.names_by_count[count][name]

    def take(self, try_add: Callable[[str], bool], transmit_limit: int, max_names: int) -> None:
        """Hands names to `fits` until one does not fit; each that did counts as told once more."""
        taken: list[str] = []
        for names in self.names_by_count:
            for name in reversed(names):
                if len(taken) >= max_names or not try_add(name):
                    break
                taken.append(name)
            else:
                continue
            break
        for name in taken:
            count = self.transmit_counts[name] + 1
            self.discard(name)
            if count < transmit_limit:
                while len(self.names_by_count) <= count:
                    self.names_by_count.append({})
                self.transmit_counts[name] = count
                self.names_by_count[count][name] = None


@dataclass(slots=True)
class Probe:
    sequence: int
    target: str
    helpers: tuple[str, ...] = ()
    nack_count: int = 0
    is_answered: bool = False


class FailureDetector:
    """`handle`: what happened in, what to do out. `incarnation`: the last one kept, None where none is.

    `room`: bytes for words in a datagram, `cost`: of a word; both from the codec. `address`: as others see
    this node. `ask` before it speaks, as what is kept may not be the last. Raises ValueError where name or
    address is empty or there are over SEEDS_MAX seeds.
    """

    def __init__(
        self,
        name: str,
        address: str,
        seeds: Sequence[str],
        incarnation: int | None,
        random: Random,
        record_size_bytes: Callable[[tuple[str, int, int, str, int]], int],
        record_space_bytes: Callable[[str, Message], int],
        options: Options | None = None,
        ask_for_incarnation: bool = False,
    ) -> None:
        if not name or not address or len(seeds) > MAX_SEEDS:
            raise ValueError(f"peers: a name, an address and at most {MAX_SEEDS} seeds, not {len(seeds)}")
        self.name, self.address = name, address
        self.set_seeds(seeds)
        self.incarnation = 0 if incarnation is None else incarnation + 1
        self.peers: dict[str, Peer] = {}
        self.local_health = 0
        self.heard_since_stall: set[str] | None = None  # heard from since this node stood still
        self.conflicting_address = ""  # the address of another node with this name
        self.is_asking_for_incarnation = incarnation is None or ask_for_incarnation
        self.has_left = self.has_yielded_name = False
        self._greatest_reported_incarnation, self._first_answer_ms, self._started_ms = 0, float("inf"), 0.0
        self._random, self._record_size_bytes, self._record_space_bytes = (
            random,
            record_size_bytes,
            record_space_bytes,
        )
        self._options = options or Options()
        self._probe_ring: list[str] = []  # alive and suspect ones; [:self._at] are probed in this round
        self._probed_count = self._contact_round = self._sequence = 0
        self._names_by_address: dict[str, str] = {}
        self._tombstones: OrderedDict[str, float] = (
            OrderedDict()
        )  # name -> when it fell, next to be asked first
        self._pending_broadcasts = PendingBroadcasts()
        self._timers: list[tuple[float, int, str, object]] = []
        self._timer_count = 0
        self._current_probe: Probe | None = None
        self._relayed_probes: OrderedDict[int, tuple[str, int, str]] = OrderedDict()
        self._name_conflict_times_ms: list[float] = []
        self._stale_answer_ms = self._last_stall_ms = self._last_page_ms = float("-inf")
        self._awaited_page: tuple[str, int] | None = None  # asked for, not answered yet
        self._page_attempts = self._immediate_gossip_count = 0
        self._actions: list[Action] = []
        self._has_reported_full = False
        self._accuser_id = accuser_id(name)

    def __repr__(self) -> str:
        return (
            f"<FailureDetector {self.name} {self.incarnation}, {len(self._probe_ring)} present, "
            f"{len(self._tombstones)} gone>"
        )

    # --- what is asked of it

    def state_of(self, name: str) -> PeerState | None:
        """What is held of a peer; None: nothing."""
        peer = self.peers.get(name)
        return PeerState(peer.record.state) if peer else None

    @property
    def reported_incarnation(self) -> int | None:
        """The greatest incarnation of this node that others told before it spoke; None: nobody answered."""
        return self._greatest_reported_incarnation if self._first_answer_ms < float("inf") else None

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Who is asked at the start, and now and then."""
        self.seeds, self._seed_index = [seed for seed in dict.fromkeys(seeds) if seed != self.address], 0

    def suspicion_timeout_ms(self, confirmations: int) -> float:
        """How long a suspicion stands with so many other accusers (Lifeguard, section IV-B)."""
        min_timeout_ms = SUSPICION_MULTIPLIER * max(1.0, log10(len(self._probe_ring) + 1)) * PROBE_INTERVAL_MS
        max_confirmations = min(MAX_SUSPICION_CONFIRMATIONS, len(self._probe_ring) - 1)
        if max_confirmations < 1 or not self._options.dogpile_suspicion:
            return min_timeout_ms
        return max(
            min_timeout_ms,
            MAX_SUSPICION_MULTIPLIER * min_timeout_ms
            - (MAX_SUSPICION_MULTIPLIER - 1)
            * min_timeout_ms
            * log(confirmations + 1)
            / log(max_confirmations + 1),
        )

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event; the last `Wake` holds."""
        self._actions = []
        match event:
            case DatagramReceived():
                self._on_datagram(now_ms, event)
            case TimerFired():
                self._run_due_timers(now_ms)
            case Started():
                self._started_ms = now_ms
                if not self.is_asking_for_incarnation:
                    self._actions.append(PersistIncarnation(self.incarnation))
                for seed in self.seeds:
                    self._request_members(seed, 0)
                self._schedule(now_ms + self._random.random() * PROBE_INTERVAL_MS, "period")
            case ProcessStalled():
                self._on_stall(now_ms, event)
            case ShutdownStarted():
                self._leave()
        if self._timers:
            self._actions.append(SetTimer(self._timers[0][0]))
        return self._actions

    # --- time

    def _schedule(self, at_ms: float, kind: str, subject: object = None) -> None:
        self._timer_count += 1
        heappush(self._timers, (at_ms, self._timer_count, kind, subject))

    def _run_due_timers(self, now_ms: float) -> None:
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, kind, subject = heappop(self._timers)
            if self.has_left:
                continue
            if kind == "period":
                self._begin_probe_interval(now_ms)
            elif kind == "direct" and isinstance(subject, Probe):
                self._probe_indirectly(subject)
            elif kind == "nack" and subject in self._relayed_probes:
                requester, seq, target = self._relayed_probes[subject]  # type: ignore[index]
                self._send(requester, MessageKind.NACK, seq, target)
            elif kind == "suspect" and isinstance(subject, str):
                self._on_suspicion_timeout(now_ms, subject)

    def _begin_probe_interval(self, now_ms: float) -> None:
        self._schedule(now_ms + PROBE_INTERVAL_MS * (self.local_health + 1), "period")
        if self._current_probe is not None:
            self._conclude_probe(now_ms, self._current_probe)
        self._current_probe, self._immediate_gossip_count = None, 0
        while self._tombstones and next(iter(self._tombstones.values())) + TOMBSTONE_RETENTION_MS < now_ms:
            self._forget(next(iter(self._tombstones)))
        if self.is_asking_for_incarnation and (
            now_ms - self._first_answer_ms >= INCARNATION_ANSWERS_WAIT_MS
            or now_ms - self._started_ms >= NO_ANSWER_WAIT_MS
        ):
            self.is_asking_for_incarnation = False
            self._raise_incarnation(self._greatest_reported_incarnation + 1)
        self._contact_non_member()
        if self.is_asking_for_incarnation or self.has_yielded_name or not self._probe_ring:
            return
        name = self._next_probe_target()
        self._sequence = (self._sequence + 1) % 2**32
        self._current_probe = Probe(self._sequence, name)
        self._schedule(now_ms + PROBE_TIMEOUT_MS * (self.local_health + 1), "direct", self._current_probe)
        self._send(self.peers[name].record.address, MessageKind.PING, self._sequence, name)

    def _next_probe_target(self) -> str:
        """A shuffled round, drawn as it goes: each is probed once a round, at a constant cost."""
        if self._probed_count >= len(self._probe_ring):
            self._probed_count = 0
        self._swap_ring_places(
            self._probed_count, self._random.randrange(self._probed_count, len(self._probe_ring))
        )
        self._probed_count += 1
        return self._probe_ring[self._probed_count - 1]

    def _swap_ring_places(self, one: int, other: int) -> None:
        ring = self._probe_ring
        ring[one], ring[other] = ring[other], ring[one]
        self.peers[ring[one]].ring_index, self.peers[ring[other]].ring_index = one, other

    def _probe_indirectly(self, probe: Probe) -> None:
        peer = self.peers.get(probe.target)
        if probe is not self._current_probe or probe.is_answered or peer is None or peer.ring_index < 0:
            return
        some = self._random.sample(self._probe_ring, min(2 * INDIRECT_PROBE_COUNT, len(self._probe_ring)))
        well = (
            name for name in some if self.peers[name].record.state == PeerState.ALIVE and name != probe.target
        )
        probe.helpers = tuple(well)[:INDIRECT_PROBE_COUNT]  # one that is suspect would look like trouble here
        for name in probe.helpers:
            self._send(
                self.peers[name].record.address,
                MessageKind.PING_REQ,
                probe.sequence,
                probe.target,
                peer.record.address,
            )

    def _conclude_probe(self, now_ms: float, probe: Probe) -> None:
        if probe.is_answered:
            return
        # No word from a helper either: the fault may be here; a NACK says that it is not (Lifeguard, IV-A).
        missing = len(probe.helpers) - probe.nack_count
        self._adjust_local_health(missing if probe.helpers else 1)
        peer = self.peers.get(probe.target)
        if peer is not None and peer.record.state <= PeerState.SUSPECT:
            word = peer.record._replace(state=PeerState.SUSPECT, accuser_id=self._accuser_id)
            self._merge(now_ms, word, "no answer to probes")

    def _adjust_local_health(self, change: int) -> None:
        if self._options.local_health:
            self.local_health = min(MAX_LOCAL_HEALTH, max(0, self.local_health + change))

    def _contact_non_member(self) -> None:
        """One that is not among the members is asked: a page that was lost, a fallen one, a seed; in turn."""
        self._contact_round += 1
        if self._awaited_page is not None:
            self._page_attempts += 1
            self._request_members(*self._awaited_page)
            if self._page_attempts >= MAX_PAGE_ATTEMPTS:
                self._awaited_page = None
            return
        if self._tombstones and (self._contact_round % 4 < 3 or not self.seeds):
            name = next(iter(self._tombstones))
            self._tombstones.move_to_end(name)
            self._request_members(self.peers[name].record.address, 0)
            return
        for _ in range(len(self.seeds)):
            self._seed_index = (self._seed_index + 1) % len(self.seeds)
            seed = self.seeds[self._seed_index]
            if self.is_asking_for_incarnation or self.has_yielded_name or seed not in self._names_by_address:
                self._request_members(seed, 0)
                return

    def _request_members(self, address: str, position: int) -> None:
        self._send(address, MessageKind.MEMBERS_REQUEST, position, "")

    # --- what comes

    def _on_datagram(self, now_ms: float, event: DatagramReceived) -> None:
        message, sender = event.message, event.sender
        if self.has_left:
            return
        if not event.is_current:
            # A node that forgot, or a replay: told what is held of it, once a period at most.
            if now_ms - self._stale_answer_ms >= PROBE_INTERVAL_MS:
                self._stale_answer_ms = now_ms
                self._send(event.source, MessageKind.MEMBERS_PAGE, 0, sender, first_name=sender)
            return
        if sender == self.name:
            if event.source != self.address and event.incarnation:
                self._on_record_of_self(
                    now_ms, MemberRecord(sender, PeerState.ALIVE, event.incarnation, event.source)
                )
            return
        if self.heard_since_stall is not None and now_ms - self._last_stall_ms > STALL_SETTLE_MS:
            self.heard_since_stall.add(sender)
            if len(self.heard_since_stall) >= min(PEERS_HEARD_AFTER_STALL, len(self._probe_ring)):
                self._restart_suspicions(now_ms)
        if 0 < event.incarnation < MAX_INCARNATION:
            self._suspect_previous_at(now_ms, sender, event.source)
            self._merge(
                now_ms, MemberRecord(sender, PeerState.ALIVE, event.incarnation, event.source), "heard"
            )
            if (peer := self.peers.get(sender)) and peer.record.incarnation <= event.incarnation:
                peer.last_heard_ms = now_ms
                if peer.ring_index >= 0 and peer.record.address == event.source:
                    self._names_by_address[event.source] = sender
        for gossiped in message.records:
            if (held := self.peers.get(gossiped[0])) is not None and held.record == gossiped:
                continue  # as most are
            word = MemberRecord(*gossiped)
            if not word.name or not 0 < word.incarnation < MAX_INCARNATION or not 0 <= word.state <= 3:
                continue
            if word.name == self.name:
                self._on_record_of_self(now_ms, word)
            else:
                self._merge(now_ms, self._failure_as_suspicion(now_ms, word), f"told by {sender}")
        self._answer(now_ms, event)

    def _failure_as_suspicion(self, now_ms: float, record: MemberRecord) -> MemberRecord:
        peer = self.peers.get(record.name)
        if (
            record.state == PeerState.FAILED
            and peer is not None
            and now_ms - peer.last_heard_ms < RECENT_CONTACT_MS
        ):
            return record._replace(state=PeerState.SUSPECT)
        return record

    def _answer(self, now_ms: float, event: DatagramReceived) -> None:
        message, sender = event.message, event.sender
        if message.kind == MessageKind.MEMBERS_REQUEST:
            self._send(event.source, MessageKind.MEMBERS_PAGE, message.sequence, "", first_name=sender)
        elif message.kind == MessageKind.MEMBERS_PAGE:
            self._on_members_page(now_ms, event)
        if self.is_asking_for_incarnation or self.has_yielded_name:
            return
        if message.kind == MessageKind.PING and message.target == self.name:
            self._send(event.source, MessageKind.ACK, message.sequence, self.name, first_name=sender)
        elif (
            message.kind == MessageKind.PING
        ):  # for one that was here before: whoever asks learns who answers
            self._send(event.source, MessageKind.MEMBERS_PAGE, 0, "", first_name=sender)
        elif message.kind == MessageKind.PING_REQ and message.target != self.name:
            self._sequence = (self._sequence + 1) % 2**32
            self._relayed_probes[self._sequence] = (event.source, message.sequence, message.target)
            if len(self._relayed_probes) > MAX_RELAYED_PROBES:
                self._relayed_probes.popitem(last=False)
            self._schedule(now_ms + PROBE_TIMEOUT_MS, "nack", self._sequence)
            self._send(message.address, MessageKind.PING, self._sequence, message.target)
        elif message.kind == MessageKind.ACK:
            self._on_ack(sender, message)
        elif (
            message.kind == MessageKind.NACK
            and self._current_probe
            and message.sequence == self._current_probe.sequence
        ):
            self._current_probe.nack_count += sender in self._current_probe.helpers

    def _on_ack(self, sender: str, message: Message) -> None:
        probe = self._current_probe
        if (
            probe
            and message.sequence == probe.sequence
            and message.target == probe.target
            and not probe.is_answered
        ):
            if sender == probe.target or sender in probe.helpers:
                probe.is_answered = True
                self._adjust_local_health(-1)
        elif (relayed := self._relayed_probes.get(message.sequence)) and relayed[2] == sender:
            del self._relayed_probes[message.sequence]
            self._send(relayed[0], MessageKind.ACK, relayed[1], sender)

    def _on_members_page(self, now_ms: float, event: DatagramReceived) -> None:
        if event.incarnation:  # another that forgot is no answer
            self._first_answer_ms = min(self._first_answer_ms, now_ms)
        position = event.message.sequence
        is_awaited = self._awaited_page is not None and self._awaited_page[0] == event.source
        if is_awaited and not position:
            self._awaited_page = None
        elif position and (
            position > self._awaited_page[1]
            if is_awaited and self._awaited_page
            else now_ms - self._last_page_ms > WALK_INTERVAL_MS
        ):
            # One walk through a list at a time: each page asks for the next, and places only grow.
            self._last_page_ms, self._awaited_page, self._page_attempts = now_ms, (event.source, position), 0
            self._request_members(event.source, position)

    # --- words

    def _merge(self, now_ms: float, record: MemberRecord, reason: str) -> None:
        """Merges a word on another node, and acts on what it changed."""
        peer = self.peers.get(record.name)
        if peer is None:
            if record.state != PeerState.ALIVE and record.state != PeerState.SUSPECT:
                self._add_tombstone(now_ms, record)
                return
            if len(self._probe_ring) >= MAX_PEERS:
                if not self._has_reported_full:
                    self._actions.append(
                        NotifyPeerChange("full", record.name, f"at most {MAX_PEERS} peers are held")
                    )
                self._has_reported_full = True
                return
            peer = self.peers[record.name] = Peer(record, now_ms)
            self._add_to_ring(record.name, peer)
            self._actions.append(NotifyPeerChange("joined", record.name, reason))
            self._pending_broadcasts.add(record.name)
            if record.state == PeerState.SUSPECT:
                self._confirm_suspicion(now_ms, peer, record)
            return
        held = peer.record
        if newer_record(held, record) is held or record[1:4] == held[1:4]:
            if record[1:3] == (PeerState.SUSPECT, held.incarnation) == held[1:3]:
                self._confirm_suspicion(now_ms, peer, record)
            return
        is_conflict = (
            record.state <= PeerState.SUSPECT >= held.state and record.incarnation == held.incarnation
        )
        if is_conflict and record.address != held.address:
            self._actions.append(
                NotifyPeerChange("doubled", record.name, f"at {held.address} and at {record.address}")
            )
        peer.record = record
        if record.address != held.address:
            self._move_address(record.name, held.address, record.address)
            self._actions.append(
                NotifyPeerChange("moved", record.name, f"{held.address} to {record.address}")
            )
        self._pending_broadcasts.add(record.name)
        if record.state != held.state or record.state == PeerState.SUSPECT:
            self._on_state_changed(now_ms, peer, held, reason)

    def _on_state_changed(self, now_ms: float, peer: Peer, held: MemberRecord, reason: str) -> None:
        record = peer.record
        peer.state_since_ms = now_ms
        peer.accuser_ids = set()
        if record.state <= PeerState.SUSPECT and peer.ring_index < 0:
            del self._tombstones[record.name]
            self._add_to_ring(record.name, peer)
        if record.state == PeerState.ALIVE:
            self._actions.append(
                NotifyPeerChange("returned", record.name, f"{reason}, incarnation {record.incarnation}")
            )
        elif record.state == PeerState.SUSPECT:
            self._actions.append(NotifyPeerChange("suspected", record.name, reason))
            self._confirm_suspicion(now_ms, peer, record)
        else:
            if held.state <= PeerState.SUSPECT:
                self._remove_from_ring(now_ms, record.name, peer)
            self._actions.append(
                NotifyPeerChange(
                    "failed" if record.state == PeerState.FAILED else "left", record.name, reason
                )
            )
        if record.state in (PeerState.SUSPECT, PeerState.FAILED):
            self._gossip_at_once(record)

    def _gossip_at_once(self, record: MemberRecord) -> None:
        """Told at once to a few, and to the one that is suspect: it refutes before the suspicion ends."""
        names = self._random.sample(self._probe_ring, min(IMMEDIATE_GOSSIP_FANOUT, len(self._probe_ring)))
        if record.state == PeerState.SUSPECT:
            names = [record.name, *(name for name in names if name != record.name)]
        for name in (
            names
            if self._options.immediate_gossip
            and not (self.is_asking_for_incarnation or self.has_yielded_name)
            else ()
        ):
            if self._immediate_gossip_count < MAX_IMMEDIATE_GOSSIP_PER_INTERVAL:
                self._immediate_gossip_count += 1
                self._send(self.peers[name].record.address, MessageKind.GOSSIP, 0, "")

    def _confirm_suspicion(self, now_ms: float, peer: Peer, record: MemberRecord) -> None:
        """Another accuser shortens a suspicion, and is told on while there are few (Lifeguard, IV-B)."""
        if record.accuser_id in peer.accuser_ids or len(peer.accuser_ids) > MAX_SUSPICION_CONFIRMATIONS:
            return
        if peer.accuser_ids and not self._options.dogpile_suspicion:
            return
        peer.accuser_ids.add(record.accuser_id)
        peer.record = peer.record._replace(accuser_id=record.accuser_id)
        self._pending_broadcasts.add(record.name)
        timeout_ms = self.suspicion_timeout_ms(len(peer.accuser_ids) - 1) * (self.local_health + 1)
        self._schedule(max(now_ms, peer.state_since_ms + timeout_ms), "suspect", record.name)

    def _on_suspicion_timeout(self, now_ms: float, name: str) -> None:
        peer = self.peers.get(name)
        if peer is None or peer.record.state != PeerState.SUSPECT or self.heard_since_stall is not None:
            return  # in doubt: it is begun anew once others were heard
        timeout_ms = self.suspicion_timeout_ms(len(peer.accuser_ids) - 1) * (self.local_health + 1)
        if peer.state_since_ms + timeout_ms > now_ms + 1e-6:
            self._schedule(peer.state_since_ms + timeout_ms, "suspect", name)
            return
        reason = f"suspect for {now_ms - peer.state_since_ms:.0f} ms, {len(peer.accuser_ids)} accusers"
        self._merge(now_ms, peer.record._replace(state=PeerState.FAILED, accuser_id=self._accuser_id), reason)

    def _on_record_of_self(self, now_ms: float, record: MemberRecord) -> None:
        """What others say of this node: refuted by a greater incarnation (SWIM, 4.2)."""
        if self.is_asking_for_incarnation:
            self._greatest_reported_incarnation = max(self._greatest_reported_incarnation, record.incarnation)
            return
        if record.incarnation < self.incarnation:
            return
        if record.address != self.address and record.state <= PeerState.SUSPECT:
            self._on_name_conflict(now_ms, record)
        elif self.has_yielded_name and record.state >= PeerState.FAILED:
            self.has_yielded_name, self.conflicting_address = False, ""
            self._actions.append(
                NotifyPeerChange("resumed", self.name, f"the one at {record.address} is gone")
            )
            self._raise_incarnation(record.incarnation + 1)
        elif not self.has_yielded_name and (
            record.state != PeerState.ALIVE or record.incarnation > self.incarnation
        ):
            if record.state == PeerState.SUSPECT:
                self._adjust_local_health(1)
            self._raise_incarnation(record.incarnation + 1)

    def _on_name_conflict(self, now_ms: float, record: MemberRecord) -> None:
        """Another address goes by this name: an older self, or a second node. The lesser address stays."""
        if self.has_yielded_name:
            self.incarnation = record.incarnation  # what it comes back above
            return
        if (
            self._name_conflict_times_ms
            and now_ms - self._name_conflict_times_ms[-1] > NAME_CONFLICT_WINDOW_MS
        ):
            self._name_conflict_times_ms = []
        self._name_conflict_times_ms.append(now_ms)
        if len(self._name_conflict_times_ms) == NAME_CONFLICTS_TO_YIELD - 1:
            self.conflicting_address = record.address
            self._actions.append(
                NotifyPeerChange("doubled", self.name, f"here at {self.address} and at {record.address}")
            )
        if len(self._name_conflict_times_ms) >= NAME_CONFLICTS_TO_YIELD:
            self._name_conflict_times_ms = self._name_conflict_times_ms[-NAME_CONFLICTS_TO_YIELD:]
            if self.address > record.address:
                self.has_yielded_name, self._current_probe = True, None
                self._actions.append(
                    NotifyPeerChange("yielded", self.name, f"to the one at {record.address}")
                )
                return
        self._raise_incarnation(record.incarnation + 1)

    def _raise_incarnation(self, incarnation: int) -> None:
        self.incarnation = max(self.incarnation, incarnation)
        self._actions.append(PersistIncarnation(self.incarnation))
        self._pending_broadcasts.add(self.name)

    # --- doubt, leaving

    def _on_stall(self, now_ms: float, event: ProcessStalled) -> None:
        """Timers ran out while nobody could answer: nothing that they would say counts."""
        self._current_probe = None
        self._last_stall_ms = now_ms
        self._adjust_local_health(1)
        self._relayed_probes.clear()
        if self._probe_ring:
            self.heard_since_stall = set()
        for peer in self._suspected_peers():
            peer.state_since_ms += event.stall_ms

    def _suspected_peers(self) -> Iterable[Peer]:
        return (
            self.peers[name]
            for name in self._probe_ring
            if self.peers[name].record.state == PeerState.SUSPECT
        )

    def _restart_suspicions(self, now_ms: float) -> None:
        self.heard_since_stall = None
        for peer in self._suspected_peers():
            peer.state_since_ms = now_ms
            self._schedule(
                now_ms + self.suspicion_timeout_ms(len(peer.accuser_ids) - 1), "suspect", peer.record.name
            )

    def _leave(self) -> None:
        if self.has_left or self.is_asking_for_incarnation or self.has_yielded_name:
            self.has_left = True
            return
        records = [MemberRecord(self.name, PeerState.LEFT, self.incarnation, self.address)]
        for name in self._random.sample(
            self._probe_ring, min(2 * INDIRECT_PROBE_COUNT + 2, len(self._probe_ring))
        ):
            message = Message(MessageKind.MEMBERS_PAGE, 0, "", "", records)
            self._actions.append(SendDatagram(self.peers[name].record.address, self.incarnation, message))
        self.has_left, self._timers = True, []

    # --- tables

    def _add_to_ring(self, name: str, peer: Peer) -> None:
        """Into the ring, at a random place of those not yet probed in this round (SWIM, 4.3)."""
        peer.ring_index = len(self._probe_ring)
        self._probe_ring.append(name)
        self._names_by_address.setdefault(peer.record.address, name)

    def _remove_from_ring(self, now_ms: float, name: str, peer: Peer) -> None:
        place, last = peer.ring_index, len(self._probe_ring) - 1
        if place < self._probed_count:  # the probed part stays in front
            self._probed_count -= 1
            self._swap_ring_places(place, self._probed_count)
            place = self._probed_count
        self._swap_ring_places(place, last)
        self._probe_ring.pop()
        peer.ring_index = -1
        self._move_address(name, peer.record.address, "")
        self._add_tombstone(now_ms, peer.record)

    def _add_tombstone(self, now_ms: float, record: MemberRecord) -> None:
        """Fallen ones are held, so that an older word does not bring them back."""
        if record.name not in self.peers:
            self.peers[record.name] = Peer(record, now_ms)
        self._tombstones[record.name] = now_ms
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._forget(min(self._tombstones, key=self._tombstones.__getitem__))

    def _forget(self, name: str) -> None:
        del self._tombstones[name], self.peers[name]
        self._pending_broadcasts.discard(name)

    def _move_address(self, name: str, old_address: str, new_address: str) -> None:
        if self._names_by_address.get(old_address) == name:
            del self._names_by_address[old_address]
        if new_address and self.peers[name].ring_index >= 0:
            self._names_by_address.setdefault(new_address, name)

    def _suspect_previous_at(self, now_ms: float, name: str, address: str) -> None:
        """Who was held to be at this address has it no more: suspected at once, as it may have moved."""
        other = self._names_by_address.get(address)
        if other is not None and other != name:
            peer = self.peers[other]
            if peer.record.address == address and peer.record.state == PeerState.ALIVE:
                record = peer.record._replace(state=PeerState.SUSPECT, accuser_id=self._accuser_id)
                self._merge(now_ms, record, f"{name} is at its address {address}")

    # --- what goes

    def _send(
        self,
        destination: str,
        kind: MessageKind,
        sequence: int,
        target: str,
        address: str = "",
        first_name: str | None = None,
    ) -> None:
        """A datagram: first what is held against whom it goes to (buddy), then the newest and least told."""
        incarnation = 0 if self.is_asking_for_incarnation or self.has_yielded_name else self.incarnation
        left = self._record_space_bytes(self.name, Message(kind, sequence, target, address, ()))
        records: list[MemberRecord] = []
        names: set[str] = set()

        def fits(name: str) -> bool:
            nonlocal left
            if name in names:
                return True
            word = self._record_of(name)
            if (needs := self._record_size_bytes(word)) > left:
                return False
            left -= needs
            names.add(name)
            records.append(word)
            return True

        if not self._options.buddy_system and kind != MessageKind.MEMBERS_PAGE:
            first_name = None
        elif first_name is None:
            first_name = self._names_by_address.get(destination) or (
                target if kind == MessageKind.PING else ""
            )
        if kind == MessageKind.MEMBERS_REQUEST and self._tombstones and not first_name:
            last = next(reversed(self._tombstones))
            first_name = last if self.peers[last].record.address == destination else ""
        held = self.peers.get(first_name or "")
        if held is not None and (held.record.state != PeerState.ALIVE or kind == MessageKind.MEMBERS_PAGE):
            fits(held.record.name)
        if incarnation:
            # A name is told by each node TELL log10(n + 1) times (SWIM, 4.1).
            self._pending_broadcasts.take(
                fits, ceil(RETRANSMIT_MULTIPLIER * log10(len(self._probe_ring) + 2)), 32
            )
        if kind == MessageKind.MEMBERS_PAGE:
            sequence = self._add_members_page(fits, sequence)
        elif self._options.fill_datagrams and incarnation and self._probe_ring:
            self._add_random_members(fits)
        self._actions.append(
            SendDatagram(destination, incarnation, Message(kind, sequence, target, address, records))
        )

    def _record_of(self, name: str) -> MemberRecord:
        if name == self.name:
            return MemberRecord(name, PeerState.ALIVE, self.incarnation, self.address)
        return self.peers[name].record

    def _add_members_page(self, try_add: Callable[[str], bool], position: int) -> int:
        """A page of the list from a place on: where to ask next, 0 at its end."""
        for at in range(position, len(self._probe_ring)):
            if not try_add(self._probe_ring[at]):
                return at if at > position else 0
        return 0

    def _add_random_members(self, try_add: Callable[[str], bool]) -> None:
        start = self._random.randrange(len(self._probe_ring))
        for step in range(min(16, len(self._probe_ring))):
            if not try_add(self._probe_ring[(start + step) % len(self._probe_ring)]):
                break
