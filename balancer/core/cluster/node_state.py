"""What the nodes go by, and what they disagree on.

Each node tells in some 65 bytes what it goes by (`Goes`); what is held of a node is the greatest of its words
by (incarnation, edition), so that order, doubling and lateness do not matter. A round sends what
changed, least told first, and then all in turn, to FAN peers: a constant number of datagrams.

From the words of the nodes that are there follow the *disagreements*, each with the names it holds of:

    behind    a revision below one that was seen LATE_MS ago; each judges itself, and tells all
    order     another identity of a source: another cluster, or an older epoch
    list      another digest of the list at the same revisions of all sources: a fault of the program
    settings  another digest of the platform's settings, or of the operators' file
    version   another program: an upgrade under way

The odd ones are those that differ from what most go by; where two are as many, both are named. A revision
counts as seen when two nodes told it, where there are three: one that lies makes nobody else look late. What
disagrees begins and ends by `core/hysteresis`, one event each.
"""

from __future__ import annotations

import zlib
from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from random import Random
from typing import NamedTuple

from balancer.core.cluster.failure_detector import INCARNATION_MAX, PEERS_MAX, _Rumours
from balancer.core.discovery.endpoint_merger import Source, State
from balancer.core.hysteresis import Steady

ROUND_MS = 200.0
FAN = 2  # peers a round
TELL = 6  # times that a changed word is told by each node before it only goes in turn
WORDS = 3  # that fit a datagram, about
HOLD_MS, CLEAR_MS = 1_000.0, 2_000.0  # before a disagreement begins, or ends
LATE_MS = 2_000.0  # the rule on drains: whoever is behind by less is in time
SLOW = ("settings", "version", "order")  # old words look like these, where all change at once
MARKS = 64  # of revisions seen, a source
SHOWN = 8  # names of an event
PEERS = "peers"  # the source of the merge that stands for them (`core/cluster/gossiped_removals`)
NO_DISCOVERY, BEHIND = 1, 2  # flags: no source of this node is in sync; it is late itself, and knows


class Goes(NamedTuple):
    """What a node goes by, in the order of the codec (`protocol/gossip_sections`); `edition` rises with
    each change.

    `state`: the place of the state in `recovery.State`. `digest` 0: not to be compared, as where part of the
    list is still under way, remembered or told by peers. `files`: of the platform's settings and the
    operators' file. `sources`: name, order (a hash of the identity), revision, state.
    """

    name: str
    incarnation: int
    edition: int
    number: int
    state: int
    flags: int
    zone_cut: int
    nodes: int
    digest: int
    files: tuple[int, int]
    version: str
    zone: str
    sources: tuple[tuple[str, int, int, int], ...]


def order_of(identity: str | None) -> int:
    """An identity in 32 bits; 0: there is none yet."""
    return zlib.crc32(identity.encode()) or 1 if identity is not None else 0


def order_in(source: Source, alike: Collection[str] = ()) -> int:
    """The order that a source's revisions are of. `alike`: the names of those that each node hears at an
    address of its own, an agent on its machine, though the revisions are of one list.
    """
    known = source.identity is not None and source.name in alike
    return order_of(source.name if known else source.identity)


def told_of(sources: Iterable[Source], alike: Collection[str] = ()) -> tuple[tuple[str, int, int, int], ...]:
    """What a word says of a node's own sources."""
    states = tuple(State)
    return tuple(
        (source.name, order_in(source, alike), source.revision or 0, states.index(source.state))
        for source in sources
        if source.name != PEERS
    )


def comparable(sources: Iterable[Source]) -> bool:
    """Whether the view is all by the sources' word, so that its digest is to be told."""
    return not any(
        source.pending
        or source.remembered
        or source.spoiled
        or source.faults
        or (source.name == PEERS and (source.members or source.removed))
        for source in sources
    )


def newer(held: Goes | None, told: Goes) -> Goes:
    """The merge: a maximum of a total order, so associative, commutative and idempotent."""
    return told if held is None or told[1:] > held[1:] else held


@dataclass(slots=True, frozen=True)
class Mine:
    """What this node goes by; `edition` is set here."""

    goes: Goes


@dataclass(slots=True, frozen=True)
class Heard:
    """Words of a datagram, of whomever."""

    words: Sequence[Goes]


@dataclass(slots=True, frozen=True)
class Round:
    """ROUND_MS have passed. `here`: the peers that are alive or suspect, and where."""

    here: Mapping[str, str]


Event = Mine | Heard | Round


@dataclass(slots=True, frozen=True)
class Send:
    to: str
    words: tuple[Goes, ...]


@dataclass(slots=True, frozen=True)
class Began:
    """`names`: the first SHOWN of `count` odd ones."""

    what: str
    of: str
    names: tuple[str, ...]
    count: int
    why: str


@dataclass(slots=True, frozen=True)
class Ended:
    what: str
    of: str
    lasted_ms: float


Action = Send | Began | Ended


@dataclass(slots=True, frozen=True)
class Odd:
    """Who differs from most, and how."""

    names: frozenset[str]
    why: str


def odd(said: Iterable[tuple[str, object]]) -> frozenset[str]:
    """Who says something else than most do; all, where two are as many."""
    pairs = list(said)
    counts = Counter(what for _, what in pairs).most_common(2)
    if len(counts) < 2:
        return frozenset()
    tied = counts[0][1] == counts[1][1]
    return frozenset(name for name, what in pairs if tied or what != counts[0][0])


class Views:
    """`cost`: bytes of a word's section, `room`: bytes for sections in a datagram; both from the codec."""

    def __init__(self, name: str, random: Random, cost: Callable[[Goes], int], room: int) -> None:
        self.name = name
        self.words: dict[str, Goes] = {}  # this node's own too
        self.here: Mapping[str, str] = {}
        self.disagreements: dict[tuple[str, str], Odd] = {}  # as of the last round, also those not begun
        self.steady: Steady[tuple[str, str]] = Steady(HOLD_MS, CLEAR_MS)
        self._random, self._cost, self._room = random, cost, room
        self._rumours = _Rumours()
        self._marks: dict[tuple[str, int], deque[tuple[float, int]]] = {}  # source, order -> seen since
        self._found: dict[tuple[str, str], float] = {}  # disagreements, begun or not, since
        self._late = False
        self._turn = 0

    def __repr__(self) -> str:
        return f"<Views {self.name}: {len(self.words)} words, {sorted(self.steady.on)}>"

    @property
    def odd(self) -> list[tuple[str, str]]:
        """In what this node itself is the odd one."""
        return sorted(key for key in self.steady.on if self.name in self._odd(key).names)

    def _odd(self, key: tuple[str, str]) -> Odd:
        return self.disagreements.get(key, Odd(frozenset(), ""))

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        match event:
            case Mine():
                self._mine(event.goes)
            case Heard():
                for word in event.words:
                    self._heard(word)
            case Round():
                self.here = event.here
                self._drop()
                return [*self._judge(now_ms), *self._sends()]
        return []

    def _mine(self, goes: Goes) -> None:
        goes = goes._replace(flags=goes.flags | BEHIND if self._late else goes.flags & ~BEHIND)
        held = self.words.get(self.name)
        edition = held.edition if held else 0
        if held is None or goes._replace(edition=edition) != held:
            self.words[self.name] = goes._replace(edition=edition + 1)
            self._rumours.add(self.name)

    def _heard(self, word: Goes) -> None:
        held = self.words.get(word.name)
        if not word.name or not 0 < word.incarnation < INCARNATION_MAX or word.edition >= INCARNATION_MAX:
            return
        if word.name == self.name:
            # Somebody holds a greater word than this node ever told: an older self, or a lie.
            if held and word[1:3] >= held[1:3] and word != held and word.incarnation == held.incarnation:
                self.words[self.name] = held._replace(edition=word.edition + 1)
                self._rumours.add(self.name)
            return
        if held is None and len(self.words) > PEERS_MAX:
            return
        if word != held and newer(held, word) == word:
            self.words[word.name] = word
            self._rumours.add(word.name)

    def _drop(self) -> None:
        """Those that are not there: kept while they are few, as a node that comes back is soon here again."""
        if len(self.words) > 2 * len(self.here) + 64:
            for name in [n for n in self.words if n not in self.here and n != self.name]:
                del self.words[name]
                self._rumours.drop(name)

    def _sends(self) -> list[Action]:
        if self.name not in self.words or not self.here:
            return []
        names = list(self.here)
        out: list[Action] = []
        for to in self._random.sample(names, min(FAN, len(names))):
            words: dict[str, Goes] = {}
            left = self._room

            def fits(name: str, words: dict[str, Goes] = words) -> bool:
                nonlocal left
                if name in words or name not in self.words:
                    return True
                if (needs := self._cost(self.words[name])) > left:
                    return False
                left -= needs
                words[name] = self.words[name]
                return True

            self._rumours.take(fits, TELL, 16)
            for _ in range(min(16, len(names) + 1)):
                self._turn = (self._turn + 1) % (len(names) + 1)
                if not fits(names[self._turn] if self._turn < len(names) else self.name):
                    break
            out.append(Send(self.here[to], tuple(words.values())))
        return out

    # --- who disagrees

    @property
    def turn_ms(self) -> float:
        """How long it takes, about, until the words of all are known where all changed at once."""
        return ROUND_MS * TELL * len(self.here) / (FAN * WORDS)

    def there(self) -> list[Goes]:
        """The words of all that are there, this node's own too."""
        return [word for name, word in self.words.items() if name in self.here or name == self.name]

    def seen(self, source: str, order: int) -> int:
        """The newest revision that two nodes told, or one where there are no three."""
        told = sorted(self._revisions(source, order).values())
        return told[-2] if len(told) > 2 else told[-1] if told else 0

    def _revisions(self, source: str, order: int) -> dict[str, int]:
        return {
            word.name: revision
            for word in self.there()
            for of, its, revision, _ in word.sources
            if (of, its) == (source, order)
        }

    def _judge(self, now_ms: float) -> list[Action]:
        mine = self.words.get(self.name)
        if mine is None:
            return []
        words = self.there()
        found: dict[tuple[str, str], Odd] = {}

        def differ(what: str, of: str, said: Iterable[tuple[str, object]], why: str) -> None:
            if names := odd(said):
                found[what, of] = Odd(names, why)

        for at, of in enumerate(("platform", "operators")):
            differ("settings", of, ((w.name, w.files[at]) for w in words), "another digest of the file")
        differ("version", "", ((w.name, w.version) for w in words), "another program")
        same = tuple(source[:3] for source in mine.sources)
        alike = (w for w in words if w.digest and tuple(source[:3] for source in w.sources) == same)
        differ("list", "", ((w.name, w.digest) for w in alike), "another list at the same revisions")
        for source, order, _, _ in mine.sources:
            orders = ((w.name, its) for w in words for of, its, _, _ in w.sources if of == source and its)
            differ("order", source, orders, "another identity of the source")
            if late := self._behind(now_ms, source, order):
                found["behind", source] = late
        self._late = any(self.name in its.names for (what, _), its in found.items() if what == "behind")
        self._mine(mine)
        self.disagreements = found
        self._found = {key: self._found.get(key, now_ms) for key in found}
        slow = SLOW if self.turn_ms > HOLD_MS else ()
        found = {
            key: its
            for key, its in found.items()
            if key[0] not in slow or now_ms - self._found[key] >= self.turn_ms
        }
        began, ended = dict(self.steady.on), []
        fresh, over = self.steady.update(now_ms, found)
        for what, of in over:
            ended.append(Ended(what, of, now_ms - began[what, of]))
        return [*ended, *(self._began(key) for key in fresh)]

    def _began(self, key: tuple[str, str]) -> Began:
        its = self._odd(key)
        return Began(*key, tuple(islice(sorted(its.names), SHOWN)), len(its.names), its.why)

    def _behind(self, now_ms: float, source: str, order: int) -> Odd | None:
        """Against what was seen a while ago, so that a list that changes all the time makes nobody late."""
        marks = self._marks.setdefault((source, order), deque(maxlen=MARKS))
        if len(self._marks) > 8:
            del self._marks[next(iter(self._marks))]
        seen = self.seen(source, order)
        if marks and seen < marks[-1][1]:  # whoever told it is gone, or took it back
            marks.clear()
        if seen and (not marks or seen > marks[-1][1]):
            marks.append((now_ms, seen))
        due = [mark for mark in marks if now_ms - mark[0] >= LATE_MS]
        if not due:
            return None
        # Each judges itself, as the words of others may be old, and all are told.
        late = {
            n: r
            for n, r in self._revisions(source, order).items()
            if r < due[-1][1] and (n == self.name or self.words[n].flags & BEHIND)
        }
        if not late:
            return None
        least = min(late.values())
        since = next(at for at, revision in marks if revision > least)
        why = f"by up to {seen - least} revisions, for over {(now_ms - since) / 1000:.1f} s"
        return Odd(frozenset(late), why)
