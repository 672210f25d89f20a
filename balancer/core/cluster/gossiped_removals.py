"""Drains and removals by peers' word, for a node whose own source is late or silent.

A node that sees newer revisions told than its own asks its source at once (`Ask`, spread by
`core/staggering`),
and a few of those peers what drained or went since (`Question`). What they answer is their own source's word,
with its revision, never what they were told. It is taken

- for servers in the view only, and only to drain or remove: nothing is added, and nothing comes back by it;
- where its revision is above this node's own in the same order: an older word changes nothing;
- by two peers, or by one where it alone hears discovery and the own source is silent;
- for so many servers only: FEW by the one, SOME by two, any by over half of the peers that hear discovery.

It ends with the own source: one at or above a peer's revision outweighs that peer. Where it was in sync
below for DISPROVED_MS, and no more than half of those that hear discovery stand by it, the word was wrong and
is not taken again; where more do, the own source is the late one.

What is taken goes to `core/discovery/endpoint_merger` as changes of a source of role "remove" (`PEERS`);
one that is to
be lifted is listed there as up, which adds nothing in that role.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from balancer.core.cluster.node_state import NO_DISCOVERY, PEERS, Goes
from balancer.core.discovery.endpoint_merger import Listed, Role, Source
from balancer.core.staggering import Turns
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Phase

NEWER_MS = 300.0  # after which a newer revision told is not just a moment's lag of the own source
ASKED = 3  # peers asked a round
AGAIN_MS = 400.0  # between two rounds of questions
TRIES, REST_MS = 5, 60_000.0  # asks that brought nothing, before a rest
DISPROVED_MS = 5_000.0
FEW, SOME = 0.1, 0.25  # of the servers up; one at least
RECENT, RECENT_MS = 1_024, 600_000.0  # own drains and removals held for others, a source
CLAIMS, WITNESSES, LIES, LIFTED = 1_024, 8, 4_096, 1_024  # bounds; LIFTED: before the source is made anew
ANSWERS = 4  # datagrams for one question


class Rule(Enum):
    """Whose word is enough; benchmarks/gossiped_removals.py weighs them."""

    NOBODY = "nobody"
    ONE = "any one"
    SILENCE = "one, and the own source is silent"
    TWO = "two"
    TAKEN = "two, or the only one that hears while the own source is silent"


@dataclass(slots=True, frozen=True)
class Out:
    """A server that drains or is gone, by the word of a source at a revision."""

    server: str
    revision: int
    gone: bool


@dataclass(slots=True, frozen=True)
class Own:
    """How far an own source is, and what it has just said that drains or is gone."""

    source: str
    order: int
    revision: int
    in_sync: bool
    out: tuple[Out, ...] = ()


@dataclass(slots=True, frozen=True)
class Told:
    """A peer's answer. Whoever hands it in has checked that the peer is there, and at that address."""

    sender: str
    source: str
    order: int
    out: Sequence[Out]


@dataclass(slots=True, frozen=True)
class Asked:
    """A peer's question."""

    to: str
    source: str
    order: int
    since: int


@dataclass(slots=True, frozen=True)
class Round:
    """`words`: of the peers that are heard, `here`: where they are, `view`: the merge's, up or draining."""

    words: Sequence[Goes]
    here: Mapping[str, str]
    view: Mapping[str, EndpointRecord]


Event = Own | Told | Asked | Round


@dataclass(slots=True, frozen=True)
class Ask:
    """Ask the own source for its list now: a peer has seen a newer one."""

    source: str
    revision: int


@dataclass(slots=True, frozen=True)
class Question:
    to: str
    source: str
    order: int
    since: int


@dataclass(slots=True, frozen=True)
class Answer:
    to: str
    source: str
    order: int
    out: tuple[Out, ...]


@dataclass(slots=True, frozen=True)
class Renew:
    """Configure the merge without PEERS, then with it: what it lists of those lifted is to be forgotten."""


@dataclass(slots=True, frozen=True)
class Say:
    text: str


Action = Ask | Question | Answer | Renew | Say | Listed
Key = tuple[str, str]  # source, server


def source() -> Source:
    """What the merge is to be configured with, behind all others."""
    return Source(PEERS, Role.REMOVE, pieces=True)


@dataclass(slots=True)
class _Own:
    order: int = 0
    revision: int = -1
    in_sync: bool = False
    since_ms: float = 0.0  # in sync, or not
    behind_ms: float = math.inf  # since a peer told a newer one
    ask_ms: float = math.inf  # the next ask
    asks: int = 0
    question_ms: float = -math.inf
    out: OrderedDict[str, tuple[Out, float]] = field(default_factory=OrderedDict)  # by server, and when


class Hearsay:
    """`fits`: of what is to be told, the first so many that fit a datagram; from the codec."""

    def __init__(
        self, turns: Turns, random: Random, fits: Callable[[str, Sequence[Out]], int], rule: Rule = Rule.TAKEN
    ) -> None:
        self.taken: dict[Key, Out] = {}  # in force
        self.own: dict[str, _Own] = {}
        self.claims: OrderedDict[Key, dict[str, Out]] = OrderedDict()  # by sender
        self._lies: OrderedDict[tuple[str, str, int], None] = OrderedDict()
        self._claimed: dict[Key, float] = {}  # since
        self._lifted: set[str] = set()
        self._listed: dict[str, EndpointRecord] = {}  # of PEERS, by server, as they were when they were taken
        self._view: Mapping[str, EndpointRecord] = {}
        self._turns, self._random, self._fits, self._rule = turns, random, fits, rule
        self._revision = 0
        self._out: list[Action] = []

    def __repr__(self) -> str:
        return f"<Hearsay {len(self.taken)} taken, {len(self.claims)} told>"

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        self._out = []
        match event:
            case Own():
                self._own(now_ms, event)
            case Told():
                self._told(now_ms, event)
            case Asked():
                self._asked(now_ms, event)
            case Round():
                self._round(now_ms, event)
        return self._out

    def _own(self, now_ms: float, event: Own) -> None:
        own = self.own.setdefault(event.source, _Own(since_ms=now_ms))
        # A revision that falls begins a new order, too: within one the merge lets none fall.
        if event.order != own.order or event.revision < own.revision:
            own.order, own.revision = event.order, -1
            own.out.clear()
            for key in [key for key in self.claims if key[0] == event.source]:
                self._drop(key)
        if event.in_sync != own.in_sync:
            own.in_sync, own.since_ms = event.in_sync, now_ms
        if event.revision > own.revision:
            own.revision, own.asks = event.revision, 0
            own.behind_ms = own.ask_ms = math.inf
            self._turns.done()
        for one in event.out:
            own.out.pop(one.server, None)
            own.out[one.server] = (one, now_ms)
            if len(own.out) > RECENT:
                own.out.popitem(last=False)

    def _asked(self, now_ms: float, event: Asked) -> None:
        own = self.own.get(event.source)
        if own is None or own.order != event.order:
            return
        while own.out and next(iter(own.out.values()))[1] < now_ms - RECENT_MS:
            own.out.popitem(last=False)
        out = [one for one, _ in reversed(own.out.values()) if event.since < one.revision <= own.revision]
        for _ in range(ANSWERS):
            if not (count := self._fits(event.source, out)):
                break
            self._out.append(Answer(event.to, event.source, event.order, tuple(out[:count])))
            out = out[count:]

    def _told(self, now_ms: float, event: Told) -> None:
        own = self.own.get(event.source)
        if own is None or own.order != event.order or self._rule is Rule.NOBODY:
            return
        for out in event.out:
            key = (event.source, out.server)
            known = out.server in self._view or key in self.taken
            if out.revision <= own.revision or (*key, out.revision) in self._lies or not known:
                continue
            if key not in self.claims:
                self.claims[key], self._claimed[key] = {}, now_ms
                if len(self.claims) > CLAIMS:
                    self._drop(next(one for one in self.claims if one not in self.taken or one == key))
            by = self.claims.get(key, {})
            if event.sender in by or len(by) < WITNESSES:
                held = by.get(event.sender)
                if held is None or (out.revision, out.gone) > (held.revision, held.gone):
                    by[event.sender] = out

    def _drop(self, key: Key) -> None:
        del self.claims[key], self._claimed[key]
        self.taken.pop(key, None)

    # --- each round

    def _round(self, now_ms: float, event: Round) -> None:
        self._view = event.view
        for name, own in self.own.items():
            self._seek(now_ms, event, name, own)
        hearing = sum(not word.flags & NO_DISCOVERY for word in event.words)
        for key in list(self.claims):
            self._weigh(now_ms, key, hearing)
        up = len(self.taken)
        if len(self.claims) > up:
            up += sum(member.endpoint.phase is Phase.UP for member in event.view.values())
        for key, by in self.claims.items():
            if key in self.taken or key[1] not in event.view or not self._enough(key[0], len(by), hearing):
                continue
            if len(self.taken) < self._most(key[0], len(by), hearing, up):
                self.taken[key] = min(by.values(), key=lambda out: (out.gone, out.revision))
                self._out.append(Say(f"{key[1]!r:.120} {_what(self.taken[key])}, by {_who(by)}"))
        self._list()

    def _enough(self, of: str, count: int, hearing: int) -> bool:
        silent = not self.own[of].in_sync
        match self._rule:
            case Rule.ONE:
                return count >= 1
            case Rule.SILENCE:
                return count >= 2 or (count == 1 and silent)
            case Rule.TWO:
                return count >= 2
        return count >= 2 or (count == 1 and silent and hearing <= 1)

    def _most(self, of: str, count: int, hearing: int, up: int) -> float:
        """How many may be out by peers' word in all."""
        part = FEW if count == 1 else SOME
        return math.inf if self._most_of(of, count, hearing) else max(1.0, part * up)

    def _most_of(self, of: str, count: int, hearing: int) -> bool:
        """Over half of those that hear discovery, this node too; two at least, WITNESSES are enough."""
        all_of = hearing + self.own[of].in_sync
        return count >= 2 and 2 * count > min(all_of, 2 * WITNESSES - 1)

    def _weigh(self, now_ms: float, key: Key, hearing: int) -> None:
        """Peers whom the own source has caught up with say nothing any more."""
        own, by = self.own[key[0]], self.claims[key]
        late = [sender for sender, out in by.items() if out.revision <= own.revision]
        for sender in late:
            del by[sender]
        sure_ms = now_ms - max(own.since_ms, self._claimed[key])
        wrong = own.in_sync and sure_ms > DISPROVED_MS and not self._most_of(key[0], len(by), hearing)
        if wrong and by:
            self._out.append(Say(f"{key[1]!r:.120} is not out: the own source knows nothing of it"))
            for out in by.values():
                self._lies[(*key, out.revision)] = None
                if len(self._lies) > LIES:
                    self._lies.popitem(last=False)
        if wrong or not by or (late and not self._enough(key[0], len(by), hearing)):
            self._drop(key)

    def _list(self) -> None:
        """Changes of the source that stands for the peers in the merge."""
        out = {server: taken for (_, server), taken in self.taken.items()}
        fresh = [server for server in out if server not in self._listed]
        lifted = [server for server in self._listed if server not in out]
        if not fresh and not lifted:
            return
        if not self._revision:
            self._revision = 1
            self._out.append(Listed(PEERS, PEERS, EndpointList(1, True, ())))
        self._revision += 1
        self._listed |= {server: self._view[server] for server in fresh}
        named = [_as(self._listed[server], Phase.DRAINING) for server in fresh if not out[server].gone]
        named += [_as(self._listed.pop(server), Phase.UP) for server in lifted]
        gone = tuple(server for server in fresh if out[server].gone)
        self._out.append(Listed(PEERS, PEERS, EndpointList(self._revision, False, tuple(named), gone)))
        self._lifted.update(lifted)
        if len(self._lifted) > LIFTED and not self.taken:
            self._lifted.clear()
            self._revision = 0
            self._out.append(Renew())

    def _seek(self, now_ms: float, event: Round, name: str, own: _Own) -> None:
        """Somebody has seen a newer list: the own source is asked, and those who have it."""
        told = {
            word.name: revision
            for word in event.words
            for of, order, revision, _ in word.sources
            if (of, order) == (name, own.order)
        }
        newer = [peer for peer, revision in told.items() if revision > own.revision and peer in event.here]
        if not newer or not own.order:
            own.behind_ms = own.ask_ms = math.inf
            return
        if own.behind_ms == math.inf:
            own.behind_ms = now_ms
            own.ask_ms = now_ms + NEWER_MS + self._turns.first_ms()
        if now_ms >= own.ask_ms:
            own.asks += 1
            self._out.append(Ask(name, max(told.values())))
            rest = REST_MS if own.asks % TRIES == 0 else 0.0
            own.ask_ms = now_ms + rest + self._turns.again_ms(refused=False)
        if now_ms - own.behind_ms >= NEWER_MS and now_ms - own.question_ms >= AGAIN_MS:
            own.question_ms = now_ms
            for peer in self._random.sample(newer, min(ASKED, len(newer))):
                self._out.append(Question(event.here[peer], name, own.order, max(0, own.revision)))


def _as(member: EndpointRecord, phase: Phase) -> EndpointRecord:
    return EndpointRecord(replace(member.endpoint, phase=phase), member.address)


def _what(out: Out) -> str:
    return f"{'is gone' if out.gone else 'drains'} at revision {out.revision}"


def _who(by: Iterable[str]) -> str:
    return " and ".join(sorted(by)[:3])
