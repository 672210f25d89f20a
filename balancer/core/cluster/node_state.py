"""Gossips the state that each node advertises about itself and detects divergent configurations.

An encoded `AdvertisedState` takes about 65 bytes. For each node, the table keeps the state with the greatest
(incarnation, sequence number), so reordered, duplicated and delayed datagrams do no harm. In each gossip
interval a node sends one datagram to each of GOSSIP_FANOUT peers, which makes the number of datagrams
constant. A datagram holds changed states first, the least transmitted ones leading, and then all states in
round-robin order.

Divergences (`DivergenceKind`) are derived from the states of the present nodes. Each one names the nodes
that differ from the most frequent value, or all nodes if two values are equally frequent. If three or more
nodes advertise a source, a revision counts as published once two of them advertise it, so that a single
node with a false revision cannot make the others look behind. `hysteresis` delays the begin and the end of
each divergence.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import islice
from random import Random
from typing import NamedTuple

from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.parameters import MAX_INCARNATION, MAX_PEERS
from balancer.core.hysteresis import Hysteresis

GOSSIP_INTERVAL_MS = 200.0
GOSSIP_FANOUT = 2  # peers that receive a datagram in each interval
MAX_TRANSMISSIONS = 6  # priority transmissions of a changed state by each node; then round-robin only
TYPICAL_STATES_PER_DATAGRAM = 3
MAX_NAMES_PER_DATAGRAM = 16  # names examined to fill one datagram; more states never fit
DIVERGENCE_BEGIN_MS = 1_000.0
DIVERGENCE_END_MS = 2_000.0
MAX_REVISION_LAG_MS = 2_000.0  # a node that lags by less still applies a drain in time
MAX_REVISION_SAMPLES = 64  # published revisions remembered for each source
MAX_SAMPLED_SOURCES = 8  # (source, identity) pairs with remembered revisions
MAX_EVENT_NAMES = 8
# States kept in addition to twice the number of present nodes, so that a returning node is known at once.
ABSENT_STATES_KEPT = 64
# The endpoint merger's source for removals that peers report (`gossiped_removals`).
GOSSIP_SOURCE_NAME = "peers"

# Bits of `AdvertisedState.flags`.
FLAG_NO_DISCOVERY = 1  # no source of this node is in sync
FLAG_BEHIND = 2  # this node has detected that it is behind the published revision


class DivergenceKind(StrEnum):
    """The respect in which nodes diverge."""

    BEHIND = "behind"  # older than a revision published MAX_REVISION_LAG_MS ago, as the node itself detects
    SOURCE_IDENTITY = "order"  # a different source identity: another cluster, or an older epoch of it
    ENDPOINT_LIST = "list"  # a different list at the same revisions of all sources: a bug in this program
    SETTINGS = "settings"  # a different digest of the platform's settings or of the operators' file
    VERSION = "version"  # a different program version, as during an upgrade


# After a change on all nodes, states that are still being propagated look like a divergence of these kinds.
PROPAGATION_SENSITIVE_KINDS = (
    DivergenceKind.SETTINGS,
    DivergenceKind.VERSION,
    DivergenceKind.SOURCE_IDENTITY,
)
SETTINGS_FILES = ("platform", "operators")  # in the order of `AdvertisedState.settings_digests`


class AdvertisedState(NamedTuple):
    """The state that a node advertises about itself, in the field order of `protocol/gossip_sections`.

    `sequence_number` rises with each change within an incarnation. `recovery_state` is an index into
    `recovery.RecoveryState`. `partitioned_zone_id` is the `partition_detector.zone_id` of a zone that the
    node cannot reach, or 0. `endpoints_digest` is 0 if the list is not comparable
    (`advertised_sources.is_comparable`).
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
    sources: tuple[tuple[str, int, int, int], ...]  # `advertised_sources.SourcePosition`


def latest(held: AdvertisedState | None, received: AdvertisedState) -> AdvertisedState:
    """Returns the later of two states of a node.

    This is the maximum of a total order, so the merge is associative, commutative and idempotent.
    """
    return received if held is None or received[1:] > held[1:] else held


@dataclass(slots=True, frozen=True)
class OwnStateChanged:
    """The state that this node is to advertise; the table sets its sequence number."""

    state: AdvertisedState


@dataclass(slots=True, frozen=True)
class StatesReceived:
    """The states of any nodes that a datagram carried."""

    states: Sequence[AdvertisedState]


@dataclass(slots=True, frozen=True)
class GossipIntervalElapsed:
    """GOSSIP_INTERVAL_MS have passed; `peer_addresses` maps each alive or suspect peer to its address."""

    peer_addresses: Mapping[str, str]


Event = OwnStateChanged | StatesReceived | GossipIntervalElapsed


@dataclass(slots=True, frozen=True)
class SendStates:
    """Send states to a peer in one datagram."""

    address: str
    states: tuple[AdvertisedState, ...]


@dataclass(slots=True, frozen=True)
class DivergenceBegan:
    """A divergence has begun; `node_names` are the first MAX_EVENT_NAMES of `node_count` affected nodes."""

    kind: str
    subject: str
    node_names: tuple[str, ...]
    node_count: int
    reason: str


@dataclass(slots=True, frozen=True)
class DivergenceEnded:
    """A divergence has not been observed for DIVERGENCE_END_MS."""

    kind: str
    subject: str
    duration_ms: float


Action = SendStates | DivergenceBegan | DivergenceEnded


class DivergenceKey(NamedTuple):
    """Identifies a divergence; `subject` is the source or the settings file, or empty for other kinds."""

    kind: str
    subject: str = ""


@dataclass(slots=True, frozen=True)
class Divergence:
    """The affected nodes and the difference between them and the others."""

    node_names: frozenset[str]
    reason: str


NO_DIVERGENCE = Divergence(frozenset(), "")


class RevisionSample(NamedTuple):
    """The time at which a revision was first observed as published."""

    seen_ms: float
    revision: int


def minority(values: Iterable[tuple[str, object]]) -> frozenset[str]:
    """Returns the names whose value is not the most frequent one, or all names if there is a tie."""
    pairs = list(values)
    counts = Counter(value for _, value in pairs).most_common(2)
    if len(counts) < 2:
        return frozenset()
    is_tie = counts[0][1] == counts[1][1]
    return frozenset(name for name, value in pairs if is_tie or value != counts[0][0])


class NodeStateTable:
    """The states of all nodes as this node knows them, and their divergences.

    `encoded_bytes` returns the size of a state's section, and `capacity_bytes` is the space for sections in a
    datagram; both come from the codec. `divergences` holds those found in the last interval, including ones
    that have not lasted long enough to begin; `divergence_hysteresis.active_since_ms` holds those that have
    begun.
    """

    def __init__(
        self,
        name: str,
        random: Random,
        encoded_bytes: Callable[[AdvertisedState], int],
        capacity_bytes: int,
    ) -> None:
        self.name = name
        self.states: dict[str, AdvertisedState] = {}  # includes this node's own state
        self.peer_addresses: Mapping[str, str] = {}
        self.divergences: dict[DivergenceKey, Divergence] = {}
        self.divergence_hysteresis: Hysteresis[DivergenceKey] = Hysteresis(
            DIVERGENCE_BEGIN_MS, DIVERGENCE_END_MS
        )
        self._random, self._encoded_bytes, self._capacity_bytes = random, encoded_bytes, capacity_bytes
        self._pending_broadcasts = PendingBroadcasts()
        self._revision_samples: dict[
            tuple[str, int], deque[RevisionSample]
        ] = {}  # by source and identity hash
        self._divergent_since_ms: dict[DivergenceKey, float] = {}
        self._is_behind = False
        self._round_robin_position = 0

    def __repr__(self) -> str:
        active = sorted(map(tuple, self.divergence_hysteresis.active_since_ms))
        return f"<NodeStateTable {self.name}: {len(self.states)} states, diverging in {active}>"

    @property
    def own_divergences(self) -> list[DivergenceKey]:
        """The divergences that have begun and affect this node."""
        return sorted(
            key
            for key in self.divergence_hysteresis.active_since_ms
            if self.name in self.divergences.get(key, NO_DIVERGENCE).node_names
        )

    @property
    def propagation_ms(self) -> float:
        """Estimated time to propagate all states to all nodes after all of them changed at once."""
        states_per_interval = GOSSIP_FANOUT * TYPICAL_STATES_PER_DATAGRAM
        return GOSSIP_INTERVAL_MS * MAX_TRANSMISSIONS * len(self.peer_addresses) / states_per_interval

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Applies an event; returns the divergences that ended or began, and the datagrams to send."""
        match event:
            case OwnStateChanged():
                self._set_own_state(event.state)
            case StatesReceived():
                for state in event.states:
                    self._receive(state)
            case GossipIntervalElapsed():
                self.peer_addresses = event.peer_addresses
                self._forget_absent()
                return [*self._update_divergences(now_ms), *self._gossip()]
        return []

    def _set_own_state(self, state: AdvertisedState) -> None:
        flags = state.flags | FLAG_BEHIND if self._is_behind else state.flags & ~FLAG_BEHIND
        held = self.states.get(self.name)
        sequence_number = held.sequence_number if held else 0
        state = state._replace(flags=flags, sequence_number=sequence_number)
        if state != held:
            self.states[self.name] = state._replace(sequence_number=sequence_number + 1)
            self._pending_broadcasts.add(self.name)

    def _receive(self, state: AdvertisedState) -> None:
        held = self.states.get(state.name)
        is_plausible = 0 < state.incarnation < MAX_INCARNATION and state.sequence_number < MAX_INCARNATION
        if not state.name or not is_plausible:
            return
        if state.name == self.name:
            self._supersede_reported_state(held, state)
            return
        if held is None and len(self.states) > MAX_PEERS:
            return
        if state != held and latest(held, state) == state:
            self.states[state.name] = state
            self._pending_broadcasts.add(state.name)

    def _supersede_reported_state(self, held: AdvertisedState | None, state: AdvertisedState) -> None:
        """Raises the own sequence number above that of an outdated or false own state held by a peer."""
        if held is None or state == held or state.incarnation != held.incarnation:
            return
        if state.sequence_number >= held.sequence_number:
            self.states[self.name] = held._replace(sequence_number=state.sequence_number + 1)
            self._pending_broadcasts.add(self.name)

    def _forget_absent(self) -> None:
        if len(self.states) <= 2 * len(self.peer_addresses) + ABSENT_STATES_KEPT:
            return
        absent = [name for name in self.states if name not in self.peer_addresses and name != self.name]
        for name in absent:
            del self.states[name]
            self._pending_broadcasts.discard(name)

    # --- dissemination

    def _gossip(self) -> list[SendStates]:
        if self.name not in self.states or not self.peer_addresses:
            return []
        names = list(self.peer_addresses)
        chosen = self._random.sample(names, min(GOSSIP_FANOUT, len(names)))
        return [SendStates(self.peer_addresses[peer], self._fill_datagram(names)) for peer in chosen]

    def _fill_datagram(self, peer_names: Sequence[str]) -> tuple[AdvertisedState, ...]:
        """Selects changed states first, then the states of all present nodes in turn, as far as they fit."""
        chosen: dict[str, AdvertisedState] = {}
        free_bytes = self._capacity_bytes

        def try_add(name: str) -> bool:
            nonlocal free_bytes
            if name in chosen or name not in self.states:
                return True
            needed_bytes = self._encoded_bytes(self.states[name])
            if needed_bytes > free_bytes:
                return False
            free_bytes -= needed_bytes
            chosen[name] = self.states[name]
            return True

        self._pending_broadcasts.take(try_add, MAX_TRANSMISSIONS, MAX_NAMES_PER_DATAGRAM)
        names_in_turn = [*peer_names, self.name]
        for _ in range(min(MAX_NAMES_PER_DATAGRAM, len(names_in_turn))):
            self._round_robin_position = (self._round_robin_position + 1) % len(names_in_turn)
            if not try_add(names_in_turn[self._round_robin_position]):
                break
        return tuple(chosen.values())

    # --- divergences

    def present_states(self) -> list[AdvertisedState]:
        """Returns the states of the reachable peers and of this node."""
        return [
            state for name, state in self.states.items() if name in self.peer_addresses or name == self.name
        ]

    def confirmed_revision(self, source: str, identity: int) -> int:
        """Returns the newest revision advertised by two nodes, or by one if fewer than three do."""
        revisions = sorted(self._revisions_by_node(source, identity).values())
        if len(revisions) > 2:
            return revisions[-2]
        return revisions[-1] if revisions else 0

    def _revisions_by_node(self, source: str, identity: int) -> dict[str, int]:
        return {
            state.name: revision
            for state in self.present_states()
            for name, advertised_identity, revision, _ in state.sources
            if (name, advertised_identity) == (source, identity)
        }

    def _update_divergences(self, now_ms: float) -> list[DivergenceBegan | DivergenceEnded]:
        own = self.states.get(self.name)
        if own is None:
            return []
        found = self._find_divergences(now_ms, own)
        self._is_behind = any(
            self.name in divergence.node_names
            for key, divergence in found.items()
            if key.kind == DivergenceKind.BEHIND
        )
        self._set_own_state(own)
        self.divergences = found
        self._divergent_since_ms = {key: self._divergent_since_ms.get(key, now_ms) for key in found}
        lasting_keys = [key for key in found if self._has_outlasted_propagation(now_ms, key)]
        active_since_ms = dict(self.divergence_hysteresis.active_since_ms)
        began, ended = self.divergence_hysteresis.update(now_ms, lasting_keys)
        return [
            *(DivergenceEnded(*key, now_ms - active_since_ms[key]) for key in ended),
            *(self._divergence_began(key) for key in began),
        ]

    def _find_divergences(self, now_ms: float, own: AdvertisedState) -> dict[DivergenceKey, Divergence]:
        states = self.present_states()
        found: dict[DivergenceKey, Divergence] = {}

        def compare(
            kind: DivergenceKind, subject: str, values: Iterable[tuple[str, object]], reason: str
        ) -> None:
            if names := minority(values):
                found[DivergenceKey(kind, subject)] = Divergence(names, reason)

        for index, file in enumerate(SETTINGS_FILES):
            digests = ((state.name, state.settings_digests[index]) for state in states)
            compare(DivergenceKind.SETTINGS, file, digests, "different digests of the file")
        versions = ((state.name, state.program_version) for state in states)
        compare(DivergenceKind.VERSION, "", versions, "different program versions")
        own_revisions = _revisions(own)
        lists = (
            (state.name, state.endpoints_digest)
            for state in states
            if state.endpoints_digest and _revisions(state) == own_revisions
        )
        compare(DivergenceKind.ENDPOINT_LIST, "", lists, "different lists at the same revisions")
        for source, identity, _, _ in own.sources:
            identities = (
                (state.name, other_identity)
                for state in states
                for other_source, other_identity, _, _ in state.sources
                if other_source == source and other_identity
            )
            compare(DivergenceKind.SOURCE_IDENTITY, source, identities, "different identities of the source")
            if behind := self._find_behind(now_ms, source, identity):
                found[DivergenceKey(DivergenceKind.BEHIND, source)] = behind
        return found

    def _has_outlasted_propagation(self, now_ms: float, key: DivergenceKey) -> bool:
        """Whether a divergence has lasted longer than states that are still being propagated explain."""
        if key.kind not in PROPAGATION_SENSITIVE_KINDS or self.propagation_ms <= DIVERGENCE_BEGIN_MS:
            return True
        return now_ms - self._divergent_since_ms[key] >= self.propagation_ms

    def _divergence_began(self, key: DivergenceKey) -> DivergenceBegan:
        divergence = self.divergences.get(key, NO_DIVERGENCE)
        names = tuple(islice(sorted(divergence.node_names), MAX_EVENT_NAMES))
        return DivergenceBegan(*key, names, len(divergence.node_names), divergence.reason)

    def _find_behind(self, now_ms: float, source: str, identity: int) -> Divergence | None:
        """Returns the nodes below the revision that was published MAX_REVISION_LAG_MS ago, if there are any.

        Comparing with a past revision keeps nodes from looking behind while the list changes continuously.
        A peer counts only if it has set FLAG_BEHIND itself, since this node's copy of its state may be out
        of date.
        """
        published = self.confirmed_revision(source, identity)
        samples = self._sample_revision(now_ms, source, identity, published)
        old_samples = [sample for sample in samples if now_ms - sample.seen_ms >= MAX_REVISION_LAG_MS]
        if not old_samples:
            return None
        behind = {
            name: revision
            for name, revision in self._revisions_by_node(source, identity).items()
            if revision < old_samples[-1].revision
            and (name == self.name or self.states[name].flags & FLAG_BEHIND)
        }
        if not behind:
            return None
        lowest = min(behind.values())
        since_ms = next(sample.seen_ms for sample in samples if sample.revision > lowest)
        duration_s = (now_ms - since_ms) / 1000
        reason = f"by up to {published - lowest} revisions, for over {duration_s:.1f} s"
        return Divergence(frozenset(behind), reason)

    def _sample_revision(
        self, now_ms: float, source: str, identity: int, published: int
    ) -> deque[RevisionSample]:
        """Records the published revision if it has risen; returns the samples, oldest first."""
        samples = self._revision_samples.setdefault((source, identity), deque(maxlen=MAX_REVISION_SAMPLES))
        if len(self._revision_samples) > MAX_SAMPLED_SOURCES:
            del self._revision_samples[next(iter(self._revision_samples))]
        if samples and published < samples[-1].revision:  # its advertisers have left or withdrawn it
            samples.clear()
        if published and (not samples or published > samples[-1].revision):
            samples.append(RevisionSample(now_ms, published))
        return samples


def _revisions(state: AdvertisedState) -> tuple[tuple[str | int, ...], ...]:
    """Returns the sources with their identities and revisions, without the source states."""
    return tuple(position[:3] for position in state.sources)
