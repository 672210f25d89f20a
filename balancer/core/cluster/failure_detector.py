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

PERIOD_MS = 200.0  # between two probes
TIMEOUT_MS = 65.0  # for a direct answer; helpers have the rest of the period
HELPERS = 3  # asked for an indirect probe
ALPHA, BETA = 3.0, 3.0  # least suspicion: ALPHA log10(n) periods; longest: BETA times that
SHARERS = 3  # other accusers with whom a suspicion is at its shortest
HEALTH_MAX = 2  # local health: periods and waits are at most so many times longer, and one
NEWS_TO, NEWS_MAX = 3, 9  # peers told at once of a suspicion or failure; such datagrams a period
TELL = 4.0  # times log10(n + 1): how often a change is told by each node
NEAR_MS = 3 * PERIOD_MS  # heard so lately: a failure told by others is only a suspicion
ASK_MS, ALONE_MS = 600.0, 3_000.0  # for answers on the own past: after the first, and where there is none
CONTEST_MS, CONTESTS = 30_000.0, 3  # claims of another address to the own name before one of both yields
TRIES = 4  # for a page that does not come
WALK_MS = 10_000.0  # from the last page of one walk through another's list to the next walk
FALLEN_MS = 600_000.0  # failed and left ones are held so long, far above the life of any datagram
PEERS_MAX, FALLEN_MAX, RELAYS_MAX, SEEDS_MAX = 8_192, 1_024, 256, 16  # bounds of the tables
INCARNATION_MAX = 2**32 - 2**16  # a word above it is a lie: nobody could refute it
SETTLE_MS = 100.0  # after a stand: what is read so soon may have lain there as long
DOUBT_PEERS = 3  # heard from after a stand, or all of fewer, before anybody is called failed


class State(IntEnum):
    """In the order of what outweighs what within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Kind(IntEnum):
    """PING, ACK and RELAY name their `target`; ASK and TOLD carry a place in the list in `seq`."""

    PING = 1
    ACK = 2
    RELAY = 3  # ping `target` at `address` for me
    NACK = 4  # the helper is well, its target has not answered
    ASK = 5
    TOLD = 6
    NEWS = 7  # words alone, at once


class Word(NamedTuple):
    """What somebody says of a node; `by`: 16 bits of the accuser's name, for suspicions, else 0."""

    name: str
    state: int
    incarnation: int
    address: str
    by: int = 0


class Message(NamedTuple):
    """`words` as plain tuples, as `protocol/gossip` reads and writes them."""

    kind: int
    seq: int
    target: str
    address: str
    words: Sequence[tuple[str, int, int, str, int]]


@dataclass(slots=True, frozen=True)
class Started:
    """The node may speak. Begins asking where no incarnation was kept."""


@dataclass(slots=True, frozen=True)
class Ticked:
    """The time of the last `Wake` has come; harmless too early."""


@dataclass(slots=True, frozen=True)
class Heard:
    """A datagram that was right. `fresh` False: of an incarnation of the sender older than one heard."""

    sender: str
    incarnation: int
    source: str
    message: Message
    fresh: bool = True


@dataclass(slots=True, frozen=True)
class Stood:
    """The own loop stood still (core/stall_detector.py)."""

    stood_ms: float


@dataclass(slots=True, frozen=True)
class Leaving:
    """The process was told to end."""


Event = Started | Ticked | Heard | Stood | Leaving


@dataclass(slots=True, frozen=True)
class Send:
    to: str
    incarnation: int
    message: Message


@dataclass(slots=True, frozen=True)
class Wake:
    at_ms: float


@dataclass(slots=True, frozen=True)
class Keep:
    """Write the incarnation down, before the sends behind it where that can be."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class Tell:
    """`what`: joined, suspected, failed, left, returned, moved, doubled, yielded, resumed, full."""

    what: str
    name: str
    why: str


Action = Send | Wake | Keep | Tell


@dataclass(slots=True, frozen=True)
class Options:
    """What the benchmark takes out, one at a time."""

    health: bool = True
    dogpile: bool = True
    buddy: bool = True
    fill: bool = True
    news: bool = True


def greater(held: Word | None, told: Word) -> Word:
    """The merge: associative, commutative and idempotent, as a maximum of a total order is."""
    return told if held is None or told[2:0:-1] + told[3:] > held[2:0:-1] + held[3:] else held


def accuser(name: str) -> int:
    """16 bits of a name, never 0; two with the same ones count as one accuser, which only delays."""
    return zlib.crc32(name.encode()) % 65_535 + 1


class Peer:
    """One that is known: `word` is what is held; `accusers` (at most SHARERS + 1) while it is suspect."""

    __slots__ = ("accusers", "heard_ms", "ring", "since_ms", "word")

    def __init__(self, word: Word, now_ms: float) -> None:
        self.word, self.since_ms, self.heard_ms = word, now_ms, float("-inf")
        self.ring = -1
        self.accusers: set[int] = set()


class _Rumours:
    """Names by how often they were told: least told first, newest first within. Each name is in it once."""

    def __init__(self) -> None:
        self.told: dict[str, int] = {}
        self.stages: list[dict[str, None]] = [{}]

    def add(self, name: str) -> None:
        self.drop(name)
        self.told[name] = 0
        self.stages[0][name] = None

    def drop(self, name: str) -> None:
        if (at := self.told.pop(name, None)) is not None:
            del self.stages[at][name]

    def take(self, fits: Callable[[str], bool], limit: int, most: int) -> None:
        """Hands names to `fits` until one does not fit; each that did counts as told once more."""
        picked: list[str] = []
        for stage in self.stages:
            for name in reversed(stage):
                if len(picked) >= most or not fits(name):
                    break
                picked.append(name)
            else:
                continue
            break
        for name in picked:
            times = self.told[name] + 1
            self.drop(name)
            if times < limit:
                while len(self.stages) <= times:
                    self.stages.append({})
                self.told[name] = times
                self.stages[times][name] = None


@dataclass(slots=True)
class _Probe:
    seq: int
    name: str
    helpers: tuple[str, ...] = ()
    nacks: int = 0
    answered: bool = False


class Peers:
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
        cost: Callable[[tuple[str, int, int, str, int]], int],
        room: Callable[[str, Message], int],
        options: Options | None = None,
        ask: bool = False,
    ) -> None:
        if not name or not address or len(seeds) > SEEDS_MAX:
            raise ValueError(f"peers: a name, an address and at most {SEEDS_MAX} seeds, not {len(seeds)}")
        self.name, self.address = name, address
        self.ask_at(seeds)
        self.incarnation = 0 if incarnation is None else incarnation + 1
        self.peers: dict[str, Peer] = {}
        self.health = 0
        self.doubt: set[str] | None = None  # heard from since this node stood still
        self.doubled = ""  # the address of another node with this name
        self.asking = incarnation is None or ask
        self.left = self.yielded = False
        self._held, self._answered_ms, self._began_ms = 0, float("inf"), 0.0
        self._random, self._cost, self._room = random, cost, room
        self._options = options or Options()
        self._ring: list[str] = []  # alive and suspect ones; [:self._at] are probed in this round
        self._at = self._turn = self._seq = 0
        self._at_address: dict[str, str] = {}
        self._fallen: OrderedDict[str, float] = OrderedDict()  # name -> when it fell, next to be asked first
        self._rumours = _Rumours()
        self._due: list[tuple[float, int, str, object]] = []
        self._count = 0
        self._probe: _Probe | None = None
        self._relays: OrderedDict[int, tuple[str, int, str]] = OrderedDict()
        self._contests: list[float] = []
        self._stale_ms = self._stood_ms = self._walked_ms = float("-inf")
        self._page: tuple[str, int] | None = None  # asked for, not answered yet
        self._tries = self._news = 0
        self._out: list[Action] = []
        self._full = False
        self._accuser = accuser(name)

    def __repr__(self) -> str:
        return f"<Peers {self.name} {self.incarnation}, {len(self._ring)} there, {len(self._fallen)} fallen>"

    # --- what is asked of it

    def state(self, name: str) -> State | None:
        """What is held of a peer; None: nothing."""
        peer = self.peers.get(name)
        return State(peer.word.state) if peer else None

    @property
    def others_held(self) -> int | None:
        """The greatest incarnation of this node that others told before it spoke; None: nobody answered."""
        return self._held if self._answered_ms < float("inf") else None

    def ask_at(self, seeds: Sequence[str]) -> None:
        """Who is asked at the start, and now and then."""
        self.seeds, self._seed = [seed for seed in dict.fromkeys(seeds) if seed != self.address], 0

    def suspicion_ms(self, sharers: int) -> float:
        """How long a suspicion stands with so many other accusers (Lifeguard, section IV-B)."""
        least = ALPHA * max(1.0, log10(len(self._ring) + 1)) * PERIOD_MS
        wanted = min(SHARERS, len(self._ring) - 1)
        if wanted < 1 or not self._options.dogpile:
            return least
        return max(least, BETA * least - (BETA - 1) * least * log(sharers + 1) / log(wanted + 1))

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event; the last `Wake` holds."""
        self._out = []
        match event:
            case Heard():
                self._heard(now_ms, event)
            case Ticked():
                self._ticked(now_ms)
            case Started():
                self._began_ms = now_ms
                if not self.asking:
                    self._out.append(Keep(self.incarnation))
                for seed in self.seeds:
                    self._ask(seed, 0)
                self._later(now_ms + self._random.random() * PERIOD_MS, "period")
            case Stood():
                self._stood(now_ms, event)
            case Leaving():
                self._leave()
        if self._due:
            self._out.append(Wake(self._due[0][0]))
        return self._out

    # --- time

    def _later(self, at_ms: float, kind: str, of: object = None) -> None:
        self._count += 1
        heappush(self._due, (at_ms, self._count, kind, of))

    def _ticked(self, now_ms: float) -> None:
        while self._due and self._due[0][0] <= now_ms:
            _, _, kind, of = heappop(self._due)
            if self.left:
                continue
            if kind == "period":
                self._period(now_ms)
            elif kind == "direct" and isinstance(of, _Probe):
                self._indirect(of)
            elif kind == "nack" and of in self._relays:
                requester, seq, target = self._relays[of]  # type: ignore[index]
                self._send(requester, Kind.NACK, seq, target)
            elif kind == "suspect" and isinstance(of, str):
                self._suspicion_due(now_ms, of)

    def _period(self, now_ms: float) -> None:
        self._later(now_ms + PERIOD_MS * (self.health + 1), "period")
        if self._probe is not None:
            self._probed(now_ms, self._probe)
        self._probe, self._news = None, 0
        while self._fallen and next(iter(self._fallen.values())) + FALLEN_MS < now_ms:
            self._forget(next(iter(self._fallen)))
        if self.asking and (now_ms - self._answered_ms >= ASK_MS or now_ms - self._began_ms >= ALONE_MS):
            self.asking = False
            self._claim(self._held + 1)
        self._reach_out()
        if self.asking or self.yielded or not self._ring:
            return
        name = self._next()
        self._seq = (self._seq + 1) % 2**32
        self._probe = _Probe(self._seq, name)
        self._later(now_ms + TIMEOUT_MS * (self.health + 1), "direct", self._probe)
        self._send(self.peers[name].word.address, Kind.PING, self._seq, name)

    def _next(self) -> str:
        """A shuffled round, drawn as it goes: each is probed once a round, at a constant cost."""
        if self._at >= len(self._ring):
            self._at = 0
        self._swap(self._at, self._random.randrange(self._at, len(self._ring)))
        self._at += 1
        return self._ring[self._at - 1]

    def _swap(self, one: int, other: int) -> None:
        ring = self._ring
        ring[one], ring[other] = ring[other], ring[one]
        self.peers[ring[one]].ring, self.peers[ring[other]].ring = one, other

    def _indirect(self, probe: _Probe) -> None:
        peer = self.peers.get(probe.name)
        if probe is not self._probe or probe.answered or peer is None or peer.ring < 0:
            return
        some = self._random.sample(self._ring, min(2 * HELPERS, len(self._ring)))
        well = (name for name in some if self.peers[name].word.state == State.ALIVE and name != probe.name)
        probe.helpers = tuple(well)[:HELPERS]  # one that is suspect would look like trouble here
        for name in probe.helpers:
            self._send(self.peers[name].word.address, Kind.RELAY, probe.seq, probe.name, peer.word.address)

    def _probed(self, now_ms: float, probe: _Probe) -> None:
        if probe.answered:
            return
        # No word from a helper either: the fault may be here; a NACK says that it is not (Lifeguard, IV-A).
        missing = len(probe.helpers) - probe.nacks
        self._well(missing if probe.helpers else 1)
        peer = self.peers.get(probe.name)
        if peer is not None and peer.word.state <= State.SUSPECT:
            word = peer.word._replace(state=State.SUSPECT, by=self._accuser)
            self._take(now_ms, word, "no answer to probes")

    def _well(self, change: int) -> None:
        if self._options.health:
            self.health = min(HEALTH_MAX, max(0, self.health + change))

    def _reach_out(self) -> None:
        """One that is not among the members is asked: a page that was lost, a fallen one, a seed; in turn."""
        self._turn += 1
        if self._page is not None:
            self._tries += 1
            self._ask(*self._page)
            if self._tries >= TRIES:
                self._page = None
            return
        if self._fallen and (self._turn % 4 < 3 or not self.seeds):
            name = next(iter(self._fallen))
            self._fallen.move_to_end(name)
            self._ask(self.peers[name].word.address, 0)
            return
        for _ in range(len(self.seeds)):
            self._seed = (self._seed + 1) % len(self.seeds)
            seed = self.seeds[self._seed]
            if self.asking or self.yielded or seed not in self._at_address:
                self._ask(seed, 0)
                return

    def _ask(self, address: str, place: int) -> None:
        self._send(address, Kind.ASK, place, "")

    # --- what comes

    def _heard(self, now_ms: float, event: Heard) -> None:
        message, sender = event.message, event.sender
        if self.left:
            return
        if not event.fresh:
            # A node that forgot, or a replay: told what is held of it, once a period at most.
            if now_ms - self._stale_ms >= PERIOD_MS:
                self._stale_ms = now_ms
                self._send(event.source, Kind.TOLD, 0, sender, about=sender)
            return
        if sender == self.name:
            if event.source != self.address and event.incarnation:
                self._about_me(now_ms, Word(sender, State.ALIVE, event.incarnation, event.source))
            return
        if self.doubt is not None and now_ms - self._stood_ms > SETTLE_MS:
            self.doubt.add(sender)
            if len(self.doubt) >= min(DOUBT_PEERS, len(self._ring)):
                self._believe(now_ms)
        if 0 < event.incarnation < INCARNATION_MAX:
            self._was_at(now_ms, sender, event.source)
            self._take(now_ms, Word(sender, State.ALIVE, event.incarnation, event.source), "heard")
            if (peer := self.peers.get(sender)) and peer.word.incarnation <= event.incarnation:
                peer.heard_ms = now_ms
                if peer.ring >= 0 and peer.word.address == event.source:
                    self._at_address[event.source] = sender
        for told in message.words:
            if (held := self.peers.get(told[0])) is not None and held.word == told:
                continue  # as most are
            word = Word(*told)
            if not word.name or not 0 < word.incarnation < INCARNATION_MAX or not 0 <= word.state <= 3:
                continue
            if word.name == self.name:
                self._about_me(now_ms, word)
            else:
                self._take(now_ms, self._softened(now_ms, word), f"told by {sender}")
        self._answer(now_ms, event)

    def _softened(self, now_ms: float, word: Word) -> Word:
        peer = self.peers.get(word.name)
        if word.state == State.FAILED and peer is not None and now_ms - peer.heard_ms < NEAR_MS:
            return word._replace(state=State.SUSPECT)
        return word

    def _answer(self, now_ms: float, event: Heard) -> None:
        message, sender = event.message, event.sender
        if message.kind == Kind.ASK:
            self._send(event.source, Kind.TOLD, message.seq, "", about=sender)
        elif message.kind == Kind.TOLD:
            self._told(now_ms, event)
        if self.asking or self.yielded:
            return
        if message.kind == Kind.PING and message.target == self.name:
            self._send(event.source, Kind.ACK, message.seq, self.name, about=sender)
        elif message.kind == Kind.PING:  # for one that was here before: whoever asks learns who answers
            self._send(event.source, Kind.TOLD, 0, "", about=sender)
        elif message.kind == Kind.RELAY and message.target != self.name:
            self._seq = (self._seq + 1) % 2**32
            self._relays[self._seq] = (event.source, message.seq, message.target)
            if len(self._relays) > RELAYS_MAX:
                self._relays.popitem(last=False)
            self._later(now_ms + TIMEOUT_MS, "nack", self._seq)
            self._send(message.address, Kind.PING, self._seq, message.target)
        elif message.kind == Kind.ACK:
            self._acked(sender, message)
        elif message.kind == Kind.NACK and self._probe and message.seq == self._probe.seq:
            self._probe.nacks += sender in self._probe.helpers

    def _acked(self, sender: str, message: Message) -> None:
        probe = self._probe
        if probe and message.seq == probe.seq and message.target == probe.name and not probe.answered:
            if sender == probe.name or sender in probe.helpers:
                probe.answered = True
                self._well(-1)
        elif (relay := self._relays.get(message.seq)) and relay[2] == sender:
            del self._relays[message.seq]
            self._send(relay[0], Kind.ACK, relay[1], sender)

    def _told(self, now_ms: float, event: Heard) -> None:
        if event.incarnation:  # another that forgot is no answer
            self._answered_ms = min(self._answered_ms, now_ms)
        place = event.message.seq
        mine = self._page is not None and self._page[0] == event.source
        if mine and not place:
            self._page = None
        elif place and (place > self._page[1] if mine and self._page else now_ms - self._walked_ms > WALK_MS):
            # One walk through a list at a time: each page asks for the next, and places only grow.
            self._walked_ms, self._page, self._tries = now_ms, (event.source, place), 0
            self._ask(event.source, place)

    # --- words

    def _take(self, now_ms: float, word: Word, why: str) -> None:
        """Merges a word on another node, and acts on what it changed."""
        peer = self.peers.get(word.name)
        if peer is None:
            if word.state != State.ALIVE and word.state != State.SUSPECT:
                self._remember(now_ms, word)
                return
            if len(self._ring) >= PEERS_MAX:
                if not self._full:
                    self._out.append(Tell("full", word.name, f"at most {PEERS_MAX} peers are held"))
                self._full = True
                return
            peer = self.peers[word.name] = Peer(word, now_ms)
            self._enter(word.name, peer)
            self._out.append(Tell("joined", word.name, why))
            self._rumours.add(word.name)
            if word.state == State.SUSPECT:
                self._accused(now_ms, peer, word)
            return
        held = peer.word
        if greater(held, word) is held or word[1:4] == held[1:4]:
            if word[1:3] == (State.SUSPECT, held.incarnation) == held[1:3]:
                self._accused(now_ms, peer, word)
            return
        both = word.state <= State.SUSPECT >= held.state and word.incarnation == held.incarnation
        if both and word.address != held.address:
            self._out.append(Tell("doubled", word.name, f"at {held.address} and at {word.address}"))
        peer.word = word
        if word.address != held.address:
            self._place(word.name, held.address, word.address)
            self._out.append(Tell("moved", word.name, f"{held.address} to {word.address}"))
        self._rumours.add(word.name)
        if word.state != held.state or word.state == State.SUSPECT:
            self._turned(now_ms, peer, held, why)

    def _turned(self, now_ms: float, peer: Peer, held: Word, why: str) -> None:
        word = peer.word
        peer.since_ms = now_ms
        peer.accusers = set()
        if word.state <= State.SUSPECT and peer.ring < 0:
            del self._fallen[word.name]
            self._enter(word.name, peer)
        if word.state == State.ALIVE:
            self._out.append(Tell("returned", word.name, f"{why}, incarnation {word.incarnation}"))
        elif word.state == State.SUSPECT:
            self._out.append(Tell("suspected", word.name, why))
            self._accused(now_ms, peer, word)
        else:
            if held.state <= State.SUSPECT:
                self._fall(now_ms, word.name, peer)
            self._out.append(Tell("failed" if word.state == State.FAILED else "left", word.name, why))
        if word.state in (State.SUSPECT, State.FAILED):
            self._spread(word)

    def _spread(self, word: Word) -> None:
        """Told at once to a few, and to the one that is suspect: it refutes before the suspicion ends."""
        some = self._random.sample(self._ring, min(NEWS_TO, len(self._ring)))
        if word.state == State.SUSPECT:
            some = [word.name, *(name for name in some if name != word.name)]
        for name in some if self._options.news and not (self.asking or self.yielded) else ():
            if self._news < NEWS_MAX:
                self._news += 1
                self._send(self.peers[name].word.address, Kind.NEWS, 0, "")

    def _accused(self, now_ms: float, peer: Peer, word: Word) -> None:
        """Another accuser shortens a suspicion, and is told on while there are few (Lifeguard, IV-B)."""
        if word.by in peer.accusers or len(peer.accusers) > SHARERS:
            return
        if peer.accusers and not self._options.dogpile:
            return
        peer.accusers.add(word.by)
        peer.word = peer.word._replace(by=word.by)
        self._rumours.add(word.name)
        wait_ms = self.suspicion_ms(len(peer.accusers) - 1) * (self.health + 1)
        self._later(max(now_ms, peer.since_ms + wait_ms), "suspect", word.name)

    def _suspicion_due(self, now_ms: float, name: str) -> None:
        peer = self.peers.get(name)
        if peer is None or peer.word.state != State.SUSPECT or self.doubt is not None:
            return  # in doubt: it is begun anew once others were heard
        wait_ms = self.suspicion_ms(len(peer.accusers) - 1) * (self.health + 1)
        if peer.since_ms + wait_ms > now_ms + 1e-6:
            self._later(peer.since_ms + wait_ms, "suspect", name)
            return
        why = f"suspect for {now_ms - peer.since_ms:.0f} ms, {len(peer.accusers)} accusers"
        self._take(now_ms, peer.word._replace(state=State.FAILED, by=self._accuser), why)

    def _about_me(self, now_ms: float, word: Word) -> None:
        """What others say of this node: refuted by a greater incarnation (SWIM, 4.2)."""
        if self.asking:
            self._held = max(self._held, word.incarnation)
            return
        if word.incarnation < self.incarnation:
            return
        if word.address != self.address and word.state <= State.SUSPECT:
            self._contest(now_ms, word)
        elif self.yielded and word.state >= State.FAILED:
            self.yielded, self.doubled = False, ""
            self._out.append(Tell("resumed", self.name, f"the one at {word.address} is gone"))
            self._claim(word.incarnation + 1)
        elif not self.yielded and (word.state != State.ALIVE or word.incarnation > self.incarnation):
            if word.state == State.SUSPECT:
                self._well(1)
            self._claim(word.incarnation + 1)

    def _contest(self, now_ms: float, word: Word) -> None:
        """Another address goes by this name: an older self, or a second node. The lesser address stays."""
        if self.yielded:
            self.incarnation = word.incarnation  # what it comes back above
            return
        if self._contests and now_ms - self._contests[-1] > CONTEST_MS:
            self._contests = []
        self._contests.append(now_ms)
        if len(self._contests) == CONTESTS - 1:
            self.doubled = word.address
            self._out.append(Tell("doubled", self.name, f"here at {self.address} and at {word.address}"))
        if len(self._contests) >= CONTESTS:
            self._contests = self._contests[-CONTESTS:]
            if self.address > word.address:
                self.yielded, self._probe = True, None
                self._out.append(Tell("yielded", self.name, f"to the one at {word.address}"))
                return
        self._claim(word.incarnation + 1)

    def _claim(self, incarnation: int) -> None:
        self.incarnation = max(self.incarnation, incarnation)
        self._out.append(Keep(self.incarnation))
        self._rumours.add(self.name)

    # --- doubt, leaving

    def _stood(self, now_ms: float, event: Stood) -> None:
        """Timers ran out while nobody could answer: nothing that they would say counts."""
        self._probe = None
        self._stood_ms = now_ms
        self._well(1)
        self._relays.clear()
        if self._ring:
            self.doubt = set()
        for peer in self._suspects():
            peer.since_ms += event.stood_ms

    def _suspects(self) -> Iterable[Peer]:
        return (self.peers[name] for name in self._ring if self.peers[name].word.state == State.SUSPECT)

    def _believe(self, now_ms: float) -> None:
        self.doubt = None
        for peer in self._suspects():
            peer.since_ms = now_ms
            self._later(now_ms + self.suspicion_ms(len(peer.accusers) - 1), "suspect", peer.word.name)

    def _leave(self) -> None:
        if self.left or self.asking or self.yielded:
            self.left = True
            return
        words = [Word(self.name, State.LEFT, self.incarnation, self.address)]
        for name in self._random.sample(self._ring, min(2 * HELPERS + 2, len(self._ring))):
            message = Message(Kind.TOLD, 0, "", "", words)
            self._out.append(Send(self.peers[name].word.address, self.incarnation, message))
        self.left, self._due = True, []

    # --- tables

    def _enter(self, name: str, peer: Peer) -> None:
        """Into the ring, at a random place of those not yet probed in this round (SWIM, 4.3)."""
        peer.ring = len(self._ring)
        self._ring.append(name)
        self._at_address.setdefault(peer.word.address, name)

    def _fall(self, now_ms: float, name: str, peer: Peer) -> None:
        at, last = peer.ring, len(self._ring) - 1
        if at < self._at:  # the probed part stays in front
            self._at -= 1
            self._swap(at, self._at)
            at = self._at
        self._swap(at, last)
        self._ring.pop()
        peer.ring = -1
        self._place(name, peer.word.address, "")
        self._remember(now_ms, peer.word)

    def _remember(self, now_ms: float, word: Word) -> None:
        """Fallen ones are held, so that an older word does not bring them back."""
        if word.name not in self.peers:
            self.peers[word.name] = Peer(word, now_ms)
        self._fallen[word.name] = now_ms
        if len(self._fallen) > FALLEN_MAX:
            self._forget(min(self._fallen, key=self._fallen.__getitem__))

    def _forget(self, name: str) -> None:
        del self._fallen[name], self.peers[name]
        self._rumours.drop(name)

    def _place(self, name: str, old: str, new: str) -> None:
        if self._at_address.get(old) == name:
            del self._at_address[old]
        if new and self.peers[name].ring >= 0:
            self._at_address.setdefault(new, name)

    def _was_at(self, now_ms: float, name: str, address: str) -> None:
        """Who was held to be at this address has it no more: suspected at once, as it may have moved."""
        other = self._at_address.get(address)
        if other is not None and other != name:
            peer = self.peers[other]
            if peer.word.address == address and peer.word.state == State.ALIVE:
                word = peer.word._replace(state=State.SUSPECT, by=self._accuser)
                self._take(now_ms, word, f"{name} is at its address {address}")

    # --- what goes

    def _send(
        self, to: str, kind: Kind, seq: int, target: str, address: str = "", about: str | None = None
    ) -> None:
        """A datagram: first what is held against whom it goes to (buddy), then the newest and least told."""
        mine = 0 if self.asking or self.yielded else self.incarnation
        left = self._room(self.name, Message(kind, seq, target, address, ()))
        words: list[Word] = []
        seen: set[str] = set()

        def fits(name: str) -> bool:
            nonlocal left
            if name in seen:
                return True
            word = self._word(name)
            if (needs := self._cost(word)) > left:
                return False
            left -= needs
            seen.add(name)
            words.append(word)
            return True

        if not self._options.buddy and kind != Kind.TOLD:
            about = None
        elif about is None:
            about = self._at_address.get(to) or (target if kind == Kind.PING else "")
        if kind == Kind.ASK and self._fallen and not about:
            last = next(reversed(self._fallen))
            about = last if self.peers[last].word.address == to else ""
        held = self.peers.get(about or "")
        if held is not None and (held.word.state != State.ALIVE or kind == Kind.TOLD):
            fits(held.word.name)
        if mine:
            # A name is told by each node TELL log10(n + 1) times (SWIM, 4.1).
            self._rumours.take(fits, ceil(TELL * log10(len(self._ring) + 2)), 32)
        if kind == Kind.TOLD:
            seq = self._fill(fits, seq)
        elif self._options.fill and mine and self._ring:
            self._turn_fill(fits)
        self._out.append(Send(to, mine, Message(kind, seq, target, address, words)))

    def _word(self, name: str) -> Word:
        if name == self.name:
            return Word(name, State.ALIVE, self.incarnation, self.address)
        return self.peers[name].word

    def _fill(self, fits: Callable[[str], bool], place: int) -> int:
        """A page of the list from a place on: where to ask next, 0 at its end."""
        for at in range(place, len(self._ring)):
            if not fits(self._ring[at]):
                return at if at > place else 0
        return 0

    def _turn_fill(self, fits: Callable[[str], bool]) -> None:
        start = self._random.randrange(len(self._ring))
        for step in range(min(16, len(self._ring))):
            if not fits(self._ring[(start + step) % len(self._ring)]):
                break
