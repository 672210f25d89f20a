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

from balancer.core.cluster.node_state import FLAG_NO_DISCOVERY, GOSSIP_SOURCE_NAME, AdvertisedState
from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source, SourceRole
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Phase

NEWER_REVISION_GRACE_MS = (
    300.0  # after which a newer revision told is not just a moment's lag of the own source
)
MAX_PEERS_QUERIED = 3  # peers asked a round
QUERY_INTERVAL_MS = 400.0  # between two rounds of questions
MAX_FETCHES_BEFORE_PAUSE, FETCH_PAUSE_MS = 5, 60_000.0  # asks that brought nothing, before a rest
REFUTED_AFTER_MS = 5_000.0
SINGLE_REPORTER_MAX_RATIO, MINORITY_REPORTERS_MAX_RATIO = 0.1, 0.25  # of the servers up; one at least
MAX_RECENT_REMOVALS, RECENT_REMOVAL_TTL_MS = (
    1_024,
    600_000.0,
)  # own drains and removals held for others, a source
MAX_CLAIMS, MAX_REPORTERS_PER_CLAIM, MAX_REFUTED_CLAIMS, MAX_WITHDRAWN_REMOVALS = (
    1_024,
    8,
    4_096,
    1_024,
)  # bounds; LIFTED: before the source is made anew
MAX_ANSWER_DATAGRAMS = 4  # datagrams for one question


class AcceptanceRule(Enum):
    """Whose word is enough; benchmarks/gossiped_removals.py weighs them."""

    NEVER = "nobody"
    ONE_REPORTER = "any one"
    ONE_REPORTER_IF_SILENT = "one, and the own source is silent"
    TWO_REPORTERS = "two"
    TWO_REPORTERS_OR_ONLY_SOURCE = "two, or the only one that hears while the own source is silent"


@dataclass(slots=True, frozen=True)
class ReportedRemoval:
    """A server that drains or is gone, by the word of a source at a revision."""

    endpoint_id: str
    revision: int
    is_gone: bool


@dataclass(slots=True, frozen=True)
class SourceAdvanced:
    """How far an own source is, and what it has just said that drains or is gone."""

    source: str
    identity_hash: int
    revision: int
    is_in_sync: bool
    removals: tuple[ReportedRemoval, ...] = ()


@dataclass(slots=True, frozen=True)
class RemovalsReceived:
    """A peer's answer. Whoever hands it in has checked that the peer is there, and at that address."""

    sender: str
    source: str
    identity_hash: int
    removals: Sequence[ReportedRemoval]


@dataclass(slots=True, frozen=True)
class RemovalsQueried:
    """A peer's question."""

    address: str
    source: str
    identity_hash: int
    since_revision: int


@dataclass(slots=True, frozen=True)
class GossipIntervalElapsed:
    """`words`: of the peers that are heard, `here`: where they are, `view`: the merge's, up or draining."""

    peer_states: Sequence[AdvertisedState]
    peer_addresses: Mapping[str, str]
    endpoints: Mapping[str, EndpointRecord]


Event = SourceAdvanced | RemovalsReceived | RemovalsQueried | GossipIntervalElapsed


@dataclass(slots=True, frozen=True)
class FetchSnapshot:
    """Ask the own source for its list now: a peer has seen a newer one."""

    source: str
    revision: int


@dataclass(slots=True, frozen=True)
class QueryRemovals:
    address: str
    source: str
    identity_hash: int
    since_revision: int


@dataclass(slots=True, frozen=True)
class SendRemovals:
    address: str
    source: str
    identity_hash: int
    removals: tuple[ReportedRemoval, ...]


@dataclass(slots=True, frozen=True)
class ResetGossipSource:
    """Configure the merge without PEERS, then with it: what it lists of those lifted is to be forgotten."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    message: str


Action = FetchSnapshot | QueryRemovals | SendRemovals | ResetGossipSource | WriteLog | EndpointsListed
RemovalKey = tuple[str, str]  # source, server


def gossip_source() -> Source:
    """What the merge is to be configured with, behind all others."""
    return Source(GOSSIP_SOURCE_NAME, SourceRole.REMOVE, has_partial_revisions=True)


@dataclass(slots=True)
class _SourceProgress:
    identity_hash: int = 0
    revision: int = -1
    is_in_sync: bool = False
    sync_changed_ms: float = 0.0  # in sync, or not
    behind_since_ms: float = math.inf  # since a peer told a newer one
    next_fetch_ms: float = math.inf  # the next ask
    fetch_count: int = 0
    last_query_ms: float = -math.inf
    recent_removals: OrderedDict[str, tuple[ReportedRemoval, float]] = field(
        default_factory=OrderedDict
    )  # by server, and when


class GossipedRemovals:
    """`fits`: of what is to be told, the first so many that fit a datagram; from the codec."""

    def __init__(
        self,
        turns: StaggeredSchedule,
        random: Random,
        fits: Callable[[str, Sequence[ReportedRemoval]], int],
        rule: AcceptanceRule = AcceptanceRule.TWO_REPORTERS_OR_ONLY_SOURCE,
    ) -> None:
        self.accepted: dict[RemovalKey, ReportedRemoval] = {}  # in force
        self.sources: dict[str, _SourceProgress] = {}
        self.claims: OrderedDict[RemovalKey, dict[str, ReportedRemoval]] = OrderedDict()  # by sender
        self._refuted: OrderedDict[tuple[str, str, int], None] = OrderedDict()
        self._claimed_since_ms: dict[RemovalKey, float] = {}  # since
        self._withdrawn: set[str] = set()
        self._listed: dict[str, EndpointRecord] = {}  # of PEERS, by server, as they were when they were taken
        self._endpoints: Mapping[str, EndpointRecord] = {}
        self._time_slots, self._random, self._fitting_count, self._rule = turns, random, fits, rule
        self._revision = 0
        self._actions: list[Action] = []

    def __repr__(self) -> str:
        return f"<Hearsay {len(self.accepted)} taken, {len(self.claims)} told>"

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        self._actions = []
        match event:
            case SourceAdvanced():
                self._update_source(now_ms, event)
            case RemovalsReceived():
                self._receive_claims(now_ms, event)
            case RemovalsQueried():
                self._answer_query(now_ms, event)
            case GossipIntervalElapsed():
                self._run_round(now_ms, event)
        return self._actions

    def _update_source(self, now_ms: float, event: SourceAdvanced) -> None:
        own = self.sources.setdefault(event.source, _SourceProgress(sync_changed_ms=now_ms))
        # A revision that falls begins a new order, too: within one the merge lets none fall.
        if event.identity_hash != own.identity_hash or event.revision < own.revision:
            own.identity_hash, own.revision = event.identity_hash, -1
            own.recent_removals.clear()
            for key in [key for key in self.claims if key[0] == event.source]:
                self._drop_claim(key)
        if event.is_in_sync != own.is_in_sync:
            own.is_in_sync, own.sync_changed_ms = event.is_in_sync, now_ms
        if event.revision > own.revision:
            own.revision, own.fetch_count = event.revision, 0
            own.behind_since_ms = own.next_fetch_ms = math.inf
            self._time_slots.reset()
        for one in event.removals:
            own.recent_removals.pop(one.endpoint_id, None)
            own.recent_removals[one.endpoint_id] = (one, now_ms)
            if len(own.recent_removals) > MAX_RECENT_REMOVALS:
                own.recent_removals.popitem(last=False)

    def _answer_query(self, now_ms: float, event: RemovalsQueried) -> None:
        own = self.sources.get(event.source)
        if own is None or own.identity_hash != event.identity_hash:
            return
        while (
            own.recent_removals
            and next(iter(own.recent_removals.values()))[1] < now_ms - RECENT_REMOVAL_TTL_MS
        ):
            own.recent_removals.popitem(last=False)
        out = [
            one
            for one, _ in reversed(own.recent_removals.values())
            if event.since_revision < one.revision <= own.revision
        ]
        for _ in range(MAX_ANSWER_DATAGRAMS):
            if not (count := self._fitting_count(event.source, out)):
                break
            self._actions.append(
                SendRemovals(event.address, event.source, event.identity_hash, tuple(out[:count]))
            )
            out = out[count:]

    def _receive_claims(self, now_ms: float, event: RemovalsReceived) -> None:
        own = self.sources.get(event.source)
        if own is None or own.identity_hash != event.identity_hash or self._rule is AcceptanceRule.NEVER:
            return
        for out in event.removals:
            key = (event.source, out.endpoint_id)
            known = out.endpoint_id in self._endpoints or key in self.accepted
            if out.revision <= own.revision or (*key, out.revision) in self._refuted or not known:
                continue
            if key not in self.claims:
                self.claims[key], self._claimed_since_ms[key] = {}, now_ms
                if len(self.claims) > MAX_CLAIMS:
                    self._drop_claim(
                        next(one for one in self.claims if one not in self.accepted or one == key)
                    )
            by = self.claims.get(key, {})
            if event.sender in by or len(by) < MAX_REPORTERS_PER_CLAIM:
                held = by.get(event.sender)
                if held is None or (out.revision, out.is_gone) > (held.revision, held.is_gone):
                    by[event.sender] = out

    def _drop_claim(self, key: RemovalKey) -> None:
        del self.claims[key], self._claimed_since_ms[key]
        self.accepted.pop(key, None)

    # --- each round

    def _run_round(self, now_ms: float, event: GossipIntervalElapsed) -> None:
        self._endpoints = event.endpoints
        for name, own in self.sources.items():
            self._catch_up(now_ms, event, name, own)
        hearing = sum(not word.flags & FLAG_NO_DISCOVERY for word in event.peer_states)
        for key in list(self.claims):
            self._reconsider_claim(now_ms, key, hearing)
        up = len(self.accepted)
        if len(self.claims) > up:
            up += sum(member.endpoint.phase is Phase.UP for member in event.endpoints.values())
        for key, by in self.claims.items():
            if (
                key in self.accepted
                or key[1] not in event.endpoints
                or not self._has_enough_reporters(key[0], len(by), hearing)
            ):
                continue
            if len(self.accepted) < self._max_accepted(key[0], len(by), hearing, up):
                self.accepted[key] = min(by.values(), key=lambda out: (out.is_gone, out.revision))
                self._actions.append(
                    WriteLog(
                        f"{key[1]!r:.120} {_describe_removal(self.accepted[key])}, by {_reporter_names(by)}"
                    )
                )
        self._update_gossip_source()

    def _has_enough_reporters(self, of: str, count: int, hearing: int) -> bool:
        silent = not self.sources[of].is_in_sync
        match self._rule:
            case AcceptanceRule.ONE_REPORTER:
                return count >= 1
            case AcceptanceRule.ONE_REPORTER_IF_SILENT:
                return count >= 2 or (count == 1 and silent)
            case AcceptanceRule.TWO_REPORTERS:
                return count >= 2
        return count >= 2 or (count == 1 and silent and hearing <= 1)

    def _max_accepted(self, of: str, count: int, hearing: int, up: int) -> float:
        """How many may be out by peers' word in all."""
        part = SINGLE_REPORTER_MAX_RATIO if count == 1 else MINORITY_REPORTERS_MAX_RATIO
        return math.inf if self._has_majority(of, count, hearing) else max(1.0, part * up)

    def _has_majority(self, of: str, count: int, hearing: int) -> bool:
        """Over half of those that hear discovery, this node too; two at least, WITNESSES are enough."""
        all_of = hearing + self.sources[of].is_in_sync
        return count >= 2 and 2 * count > min(all_of, 2 * MAX_REPORTERS_PER_CLAIM - 1)

    def _reconsider_claim(self, now_ms: float, key: RemovalKey, hearing: int) -> None:
        """Peers whom the own source has caught up with say nothing any more."""
        own, by = self.sources[key[0]], self.claims[key]
        late = [sender for sender, out in by.items() if out.revision <= own.revision]
        for sender in late:
            del by[sender]
        sure_ms = now_ms - max(own.sync_changed_ms, self._claimed_since_ms[key])
        wrong = (
            own.is_in_sync and sure_ms > REFUTED_AFTER_MS and not self._has_majority(key[0], len(by), hearing)
        )
        if wrong and by:
            self._actions.append(WriteLog(f"{key[1]!r:.120} is not out: the own source knows nothing of it"))
            for out in by.values():
                self._refuted[(*key, out.revision)] = None
                if len(self._refuted) > MAX_REFUTED_CLAIMS:
                    self._refuted.popitem(last=False)
        if wrong or not by or (late and not self._has_enough_reporters(key[0], len(by), hearing)):
            self._drop_claim(key)

    def _update_gossip_source(self) -> None:
        """Changes of the source that stands for the peers in the merge."""
        out = {server: taken for (_, server), taken in self.accepted.items()}
        fresh = [server for server in out if server not in self._listed]
        lifted = [server for server in self._listed if server not in out]
        if not fresh and not lifted:
            return
        if not self._revision:
            self._revision = 1
            self._actions.append(
                EndpointsListed(GOSSIP_SOURCE_NAME, GOSSIP_SOURCE_NAME, EndpointList(1, True, ()))
            )
        self._revision += 1
        self._listed |= {server: self._endpoints[server] for server in fresh}
        named = [
            _with_phase(self._listed[server], Phase.DRAINING) for server in fresh if not out[server].is_gone
        ]
        named += [_with_phase(self._listed.pop(server), Phase.UP) for server in lifted]
        gone = tuple(server for server in fresh if out[server].is_gone)
        self._actions.append(
            EndpointsListed(
                GOSSIP_SOURCE_NAME,
                GOSSIP_SOURCE_NAME,
                EndpointList(self._revision, False, tuple(named), gone),
            )
        )
        self._withdrawn.update(lifted)
        if len(self._withdrawn) > MAX_WITHDRAWN_REMOVALS and not self.accepted:
            self._withdrawn.clear()
            self._revision = 0
            self._actions.append(ResetGossipSource())

    def _catch_up(self, now_ms: float, event: GossipIntervalElapsed, name: str, own: _SourceProgress) -> None:
        """Somebody has seen a newer list: the own source is asked, and those who have it."""
        told = {
            word.name: revision
            for word in event.peer_states
            for of, order, revision, _ in word.sources
            if (of, order) == (name, own.identity_hash)
        }
        newer = [
            peer
            for peer, revision in told.items()
            if revision > own.revision and peer in event.peer_addresses
        ]
        if not newer or not own.identity_hash:
            own.behind_since_ms = own.next_fetch_ms = math.inf
            return
        if own.behind_since_ms == math.inf:
            own.behind_since_ms = now_ms
            own.next_fetch_ms = now_ms + NEWER_REVISION_GRACE_MS + self._time_slots.first_delay_ms()
        if now_ms >= own.next_fetch_ms:
            own.fetch_count += 1
            self._actions.append(FetchSnapshot(name, max(told.values())))
            rest = FETCH_PAUSE_MS if own.fetch_count % MAX_FETCHES_BEFORE_PAUSE == 0 else 0.0
            own.next_fetch_ms = now_ms + rest + self._time_slots.retry_delay_ms(was_rejected=False)
        if (
            now_ms - own.behind_since_ms >= NEWER_REVISION_GRACE_MS
            and now_ms - own.last_query_ms >= QUERY_INTERVAL_MS
        ):
            own.last_query_ms = now_ms
            for peer in self._random.sample(newer, min(MAX_PEERS_QUERIED, len(newer))):
                self._actions.append(
                    QueryRemovals(event.peer_addresses[peer], name, own.identity_hash, max(0, own.revision))
                )


def _with_phase(member: EndpointRecord, phase: Phase) -> EndpointRecord:
    return EndpointRecord(replace(member.endpoint, phase=phase), member.address)


def _describe_removal(out: ReportedRemoval) -> str:
    return f"{'is gone' if out.is_gone else 'drains'} at revision {out.revision}"


def _reporter_names(by: Iterable[str]) -> str:
    return " and ".join(sorted(by)[:3])
