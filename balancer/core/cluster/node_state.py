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

from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.parameters import MAX_INCARNATION, MAX_PEERS
from balancer.core.discovery.source_state import Source, SourceState
from balancer.core.hysteresis import Hysteresis

GOSSIP_INTERVAL_MS = 200.0
GOSSIP_FANOUT = 2  # peers a round
MAX_TRANSMISSIONS = 6  # times that a changed word is told by each node before it only goes in turn
TYPICAL_STATES_PER_DATAGRAM = 3  # that fit a datagram, about
DIVERGENCE_BEGIN_MS, DIVERGENCE_END_MS = 1_000.0, 2_000.0  # before a disagreement begins, or ends
MAX_REVISION_LAG_MS = 2_000.0  # the rule on drains: whoever is behind by less is in time
PROPAGATION_SENSITIVE_KINDS = (
    "settings",
    "version",
    "order",
)  # old words look like these, where all change at once
MAX_REVISION_SAMPLES = 64  # of revisions seen, a source
MAX_EVENT_NAMES = 8  # names of an event
GOSSIP_SOURCE_NAME = (
    "peers"  # the source of the merge that stands for them (`core/cluster/gossiped_removals`)
)
FLAG_NO_DISCOVERY, FLAG_BEHIND = (
    1,
    2,
)  # flags: no source of this node is in sync; it is late itself, and knows


class AdvertisedState(NamedTuple):
    """What a node goes by, in the order of the codec (`protocol/gossip_sections`); `edition` rises with
    each change.

    `state`: the place of the state in `recovery.State`. `digest` 0: not to be compared, as where part of the
    list is still under way, remembered or told by peers. `files`: of the platform's settings and the
    operators' file. `sources`: name, order (a hash of the identity), revision, state.
    """

    name: str
    incarnation: int
    sequence_number: int
    node_index: int
    recovery_state: int
    flags: int
    partitioned_zone_id: int
    quota_divisor: int
    endpoints_digest: int
    settings_digests: tuple[int, int]
    program_version: str
    zone: str
    sources: tuple[tuple[str, int, int, int], ...]


def identity_hash(identity: str | None) -> int:
    """An identity in 32 bits; 0: there is none yet."""
    return zlib.crc32(identity.encode()) or 1 if identity is not None else 0


def source_identity_hash(source: Source, alike: Collection[str] = ()) -> int:
    """The order that a source's revisions are of. `alike`: the names of those that each node hears at an
    address of its own, an agent on its machine, though the revisions are of one list.
    """
    known = source.identity is not None and source.name in alike
    return identity_hash(source.name if known else source.identity)


def advertised_sources(
    sources: Iterable[Source], alike: Collection[str] = ()
) -> tuple[tuple[str, int, int, int], ...]:
    """What a word says of a node's own sources."""
    states = tuple(SourceState)
    return tuple(
        (source.name, source_identity_hash(source, alike), source.revision or 0, states.index(source.state))
        for source in sources
        if source.name != GOSSIP_SOURCE_NAME
    )


def is_comparable(sources: Iterable[Source]) -> bool:
    """Whether the view is all by the sources' word, so that its digest is to be told."""
    return not any(
        source.pending_records
        or source.has_cached_records
        or source.needs_snapshot
        or source.invalid_entries
        or (source.name == GOSSIP_SOURCE_NAME and (source.records or source.removed_ids))
        for source in sources
    )


def latest(held: AdvertisedState | None, told: AdvertisedState) -> AdvertisedState:
    """The merge: a maximum of a total order, so associative, commutative and idempotent."""
    return told if held is None or told[1:] > held[1:] else held


@dataclass(slots=True, frozen=True)
class OwnStateChanged:
    """What this node goes by; `edition` is set here."""

    state: AdvertisedState


@dataclass(slots=True, frozen=True)
class StatesReceived:
    """Words of a datagram, of whomever."""

    states: Sequence[AdvertisedState]


@dataclass(slots=True, frozen=True)
class GossipIntervalElapsed:
    """ROUND_MS have passed. `here`: the peers that are alive or suspect, and where."""

    peer_addresses: Mapping[str, str]


Event = OwnStateChanged | StatesReceived | GossipIntervalElapsed


@dataclass(slots=True, frozen=True)
class SendStates:
    address: str
    states: tuple[AdvertisedState, ...]


@dataclass(slots=True, frozen=True)
class DivergenceBegan:
    """`names`: the first SHOWN of `count` odd ones."""

    kind: str
    subject: str
    node_names: tuple[str, ...]
    node_count: int
    reason: str


@dataclass(slots=True, frozen=True)
class DivergenceEnded:
    kind: str
    subject: str
    duration_ms: float


Action = SendStates | DivergenceBegan | DivergenceEnded


@dataclass(slots=True, frozen=True)
class Divergence:
    """Who differs from most, and how."""

    node_names: frozenset[str]
    reason: str


def minority(said: Iterable[tuple[str, object]]) -> frozenset[str]:
    """Who says something else than most do; all, where two are as many."""
    pairs = list(said)
    counts = Counter(what for _, what in pairs).most_common(2)
    if len(counts) < 2:
        return frozenset()
    tied = counts[0][1] == counts[1][1]
    return frozenset(name for name, what in pairs if tied or what != counts[0][0])


class NodeStateTable:
    """`cost`: bytes of a word's section, `room`: bytes for sections in a datagram; both from the codec."""

    def __init__(self, name: str, random: Random, cost: Callable[[AdvertisedState], int], room: int) -> None:
        self.name = name
        self.states: dict[str, AdvertisedState] = {}  # this node's own too
        self.peer_addresses: Mapping[str, str] = {}
        self.divergences: dict[tuple[str, str], Divergence] = {}  # as of the last round, also those not begun
        self.divergence_hysteresis: Hysteresis[tuple[str, str]] = Hysteresis(
            DIVERGENCE_BEGIN_MS, DIVERGENCE_END_MS
        )
        self._random, self._encoded_bytes, self._capacity_bytes = random, cost, room
        self._pending_broadcasts = PendingBroadcasts()
        self._revision_samples: dict[
            tuple[str, int], deque[tuple[float, int]]
        ] = {}  # source, order -> seen since
        self._divergent_since_ms: dict[tuple[str, str], float] = {}  # disagreements, begun or not, since
        self._is_behind = False
        self._round_robin_position = 0

    def __repr__(self) -> str:
        return f"<Views {self.name}: {len(self.states)} words, {sorted(self.divergence_hysteresis.active_since_ms)}>"

    @property
    def own_divergences(self) -> list[tuple[str, str]]:
        """In what this node itself is the odd one."""
        return sorted(
            key
            for key in self.divergence_hysteresis.active_since_ms
            if self.name in self._divergence(key).node_names
        )

    def _divergence(self, key: tuple[str, str]) -> Divergence:
        return self.divergences.get(key, Divergence(frozenset(), ""))

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        match event:
            case OwnStateChanged():
                self._set_own_state(event.state)
            case StatesReceived():
                for word in event.states:
                    self._receive(word)
            case GossipIntervalElapsed():
                self.peer_addresses = event.peer_addresses
                self._forget_absent()
                return [*self._update_divergences(now_ms), *self._gossip()]
        return []

    def _set_own_state(self, goes: AdvertisedState) -> None:
        goes = goes._replace(flags=goes.flags | FLAG_BEHIND if self._is_behind else goes.flags & ~FLAG_BEHIND)
        held = self.states.get(self.name)
        edition = held.sequence_number if held else 0
        if held is None or goes._replace(sequence_number=edition) != held:
            self.states[self.name] = goes._replace(sequence_number=edition + 1)
            self._pending_broadcasts.add(self.name)

    def _receive(self, word: AdvertisedState) -> None:
        held = self.states.get(word.name)
        if (
            not word.name
            or not 0 < word.incarnation < MAX_INCARNATION
            or word.sequence_number >= MAX_INCARNATION
        ):
            return
        if word.name == self.name:
            # Somebody holds a greater word than this node ever told: an older self, or a lie.
            if held and word[1:3] >= held[1:3] and word != held and word.incarnation == held.incarnation:
                self.states[self.name] = held._replace(sequence_number=word.sequence_number + 1)
                self._pending_broadcasts.add(self.name)
            return
        if held is None and len(self.states) > MAX_PEERS:
            return
        if word != held and latest(held, word) == word:
            self.states[word.name] = word
            self._pending_broadcasts.add(word.name)

    def _forget_absent(self) -> None:
        """Those that are not there: kept while they are few, as a node that comes back is soon here again."""
        if len(self.states) > 2 * len(self.peer_addresses) + 64:
            for name in [n for n in self.states if n not in self.peer_addresses and n != self.name]:
                del self.states[name]
                self._pending_broadcasts.discard(name)

    def _gossip(self) -> list[Action]:
        if self.name not in self.states or not self.peer_addresses:
            return []
        names = list(self.peer_addresses)
        out: list[Action] = []
        for to in self._random.sample(names, min(GOSSIP_FANOUT, len(names))):
            words: dict[str, AdvertisedState] = {}
            left = self._capacity_bytes

            def fits(name: str, words: dict[str, AdvertisedState] = words) -> bool:
                nonlocal left
                if name in words or name not in self.states:
                    return True
                if (needs := self._encoded_bytes(self.states[name])) > left:
                    return False
                left -= needs
                words[name] = self.states[name]
                return True

            self._pending_broadcasts.take(fits, MAX_TRANSMISSIONS, 16)
            for _ in range(min(16, len(names) + 1)):
                self._round_robin_position = (self._round_robin_position + 1) % (len(names) + 1)
                if not fits(
                    names[self._round_robin_position]
                    if self._round_robin_position < len(names)
                    else self.name
                ):
                    break
            out.append(SendStates(self.peer_addresses[to], tuple(words.values())))
        return out

    # --- who disagrees

    @property
    def propagation_ms(self) -> float:
        """How long it takes, about, until the words of all are known where all changed at once."""
        return (
            GOSSIP_INTERVAL_MS
            * MAX_TRANSMISSIONS
            * len(self.peer_addresses)
            / (GOSSIP_FANOUT * TYPICAL_STATES_PER_DATAGRAM)
        )

    def present_states(self) -> list[AdvertisedState]:
        """The words of all that are there, this node's own too."""
        return [
            word for name, word in self.states.items() if name in self.peer_addresses or name == self.name
        ]

    def confirmed_revision(self, source: str, order: int) -> int:
        """The newest revision that two nodes told, or one where there are no three."""
        told = sorted(self._revisions_by_node(source, order).values())
        return told[-2] if len(told) > 2 else told[-1] if told else 0

    def _revisions_by_node(self, source: str, order: int) -> dict[str, int]:
        return {
            word.name: revision
            for word in self.present_states()
            for of, its, revision, _ in word.sources
            if (of, its) == (source, order)
        }

    def _update_divergences(self, now_ms: float) -> list[Action]:
        mine = self.states.get(self.name)
        if mine is None:
            return []
        words = self.present_states()
        found: dict[tuple[str, str], Divergence] = {}

        def differ(what: str, of: str, said: Iterable[tuple[str, object]], why: str) -> None:
            if names := minority(said):
                found[what, of] = Divergence(names, why)

        for at, of in enumerate(("platform", "operators")):
            differ(
                "settings",
                of,
                ((w.name, w.settings_digests[at]) for w in words),
                "another digest of the file",
            )
        differ("version", "", ((w.name, w.program_version) for w in words), "another program")
        same = tuple(source[:3] for source in mine.sources)
        alike = (w for w in words if w.endpoints_digest and tuple(source[:3] for source in w.sources) == same)
        differ(
            "list", "", ((w.name, w.endpoints_digest) for w in alike), "another list at the same revisions"
        )
        for source, order, _, _ in mine.sources:
            orders = ((w.name, its) for w in words for of, its, _, _ in w.sources if of == source and its)
            differ("order", source, orders, "another identity of the source")
            if late := self._find_behind(now_ms, source, order):
                found["behind", source] = late
        self._is_behind = any(
            self.name in its.node_names for (what, _), its in found.items() if what == "behind"
        )
        self._set_own_state(mine)
        self.divergences = found
        self._divergent_since_ms = {key: self._divergent_since_ms.get(key, now_ms) for key in found}
        slow = PROPAGATION_SENSITIVE_KINDS if self.propagation_ms > DIVERGENCE_BEGIN_MS else ()
        found = {
            key: its
            for key, its in found.items()
            if key[0] not in slow or now_ms - self._divergent_since_ms[key] >= self.propagation_ms
        }
        began, ended = dict(self.divergence_hysteresis.active_since_ms), []
        fresh, over = self.divergence_hysteresis.update(now_ms, found)
        for what, of in over:
            ended.append(DivergenceEnded(what, of, now_ms - began[what, of]))
        return [*ended, *(self._divergence_began(key) for key in fresh)]

    def _divergence_began(self, key: tuple[str, str]) -> DivergenceBegan:
        its = self._divergence(key)
        return DivergenceBegan(
            *key, tuple(islice(sorted(its.node_names), MAX_EVENT_NAMES)), len(its.node_names), its.reason
        )

    def _find_behind(self, now_ms: float, source: str, order: int) -> Divergence | None:
        """Against what was seen a while ago, so that a list that changes all the time makes nobody late."""
        marks = self._revision_samples.setdefault((source, order), deque(maxlen=MAX_REVISION_SAMPLES))
        if len(self._revision_samples) > 8:
            del self._revision_samples[next(iter(self._revision_samples))]
        seen = self.confirmed_revision(source, order)
        if marks and seen < marks[-1][1]:  # whoever told it is gone, or took it back
            marks.clear()
        if seen and (not marks or seen > marks[-1][1]):
            marks.append((now_ms, seen))
        due = [mark for mark in marks if now_ms - mark[0] >= MAX_REVISION_LAG_MS]
        if not due:
            return None
        # Each judges itself, as the words of others may be old, and all are told.
        late = {
            n: r
            for n, r in self._revisions_by_node(source, order).items()
            if r < due[-1][1] and (n == self.name or self.states[n].flags & FLAG_BEHIND)
        }
        if not late:
            return None
        least = min(late.values())
        since = next(at for at, revision in marks if revision > least)
        why = f"by up to {seen - least} revisions, for over {(now_ms - since) / 1000:.1f} s"
        return Divergence(frozenset(late), why)
