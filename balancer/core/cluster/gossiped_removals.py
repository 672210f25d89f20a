"""Accepts drains and removals that peers report, for a node whose own source is late or silent.

A node that sees peers advertise a newer revision than its own fetches its source's list (`FetchSnapshot`, in
staggered time slots) and asks a few of those peers what has been drained or removed since (`QueryRemovals`).
A peer answers with what its own source said, with the revision, never with what it was told itself. So two
reports are two observations. A reported removal is accepted

- for endpoints in the view only, and only to drain or remove: gossip adds nothing and brings nothing back;
- if its revision is above this node's own, within the same source identity;
- by two reporters, or by one where that one alone hears discovery and the own source is silent;
- for a limited part of the endpoints: SINGLE_REPORTER_MAX_RATIO by one reporter, MINORITY_REPORTERS_MAX_RATIO
  by two or more, without limit by more than half of the nodes that hear discovery.

It ends with the own source: a revision at or above a report's outweighs that report. A report is refuted, and
its content not accepted again, if the own source was in sync below it for REFUTED_AFTER_MS and no more than
half of the nodes that hear discovery stand by it. If more do, the own source is the late one.

Accepted removals go to `core/discovery/endpoint_merger` as changes of one more source, with the role
"remove". A withdrawn one is listed there as up, which adds nothing in that role.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random
from typing import NamedTuple

from balancer.core.cluster.node_state import FLAG_NO_DISCOVERY, GOSSIP_SOURCE_NAME, AdvertisedState
from balancer.core.discovery.endpoint_merger import EndpointsListed
from balancer.core.discovery.source_state import Source, SourceRole
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Phase

NEWER_REVISION_GRACE_MS = 300.0  # the own source usually delivers a new revision within this time
MAX_PEERS_QUERIED = 3  # at once
QUERY_INTERVAL_MS = 400.0
MAX_FETCHES_BEFORE_PAUSE = 5  # fetches that brought nothing newer
FETCH_PAUSE_MS = 60_000.0
REFUTED_AFTER_MS = 5_000.0
# Accepted removals in all, as a part of the endpoints that are up; one is always allowed.
SINGLE_REPORTER_MAX_RATIO = 0.1
MINORITY_REPORTERS_MAX_RATIO = 0.25
# Bounds of the tables.
MAX_RECENT_REMOVALS = 1_024  # of each own source, to answer queries with
RECENT_REMOVAL_TTL_MS = 600_000.0
MAX_CLAIMS = 1_024
MAX_REPORTERS_PER_CLAIM = 8
MAX_REFUTED_CLAIMS = 4_096
MAX_WITHDRAWN_REMOVALS = 1_024  # that the merger still lists; beyond it the merger's source is reset
MAX_ANSWER_DATAGRAMS = 4  # to one query
MAX_LOGGED_REPORTERS = 3


class AcceptanceRule(Enum):
    """Whose report is sufficient; benchmarks/gossiped_removals.py compares them."""

    NEVER = "nobody"
    ONE_REPORTER = "any one"
    ONE_REPORTER_IF_SILENT = "one, and the own source is silent"
    TWO_REPORTERS = "two"
    TWO_REPORTERS_OR_ONLY_SOURCE = "two, or the only one that hears while the own source is silent"


@dataclass(slots=True, frozen=True)
class ReportedRemoval:
    """A source has drained an endpoint, or removed it (`is_gone`), at a revision."""

    endpoint_id: str
    revision: int
    is_gone: bool


@dataclass(slots=True, frozen=True)
class SourceAdvanced:
    """The position of an own source, and the drains and removals that it has just reported.

    `revision` is -1 before the first list.
    """

    source: str
    identity_hash: int
    revision: int
    is_in_sync: bool
    removals: tuple[ReportedRemoval, ...] = ()


@dataclass(slots=True, frozen=True)
class RemovalsReceived:
    """A peer's answer to a query. The caller has checked that the peer is present, at that address."""

    sender: str
    source: str
    identity_hash: int
    removals: Sequence[ReportedRemoval]


@dataclass(slots=True, frozen=True)
class RemovalsQueried:
    """A peer asks for removals above `since_revision`."""

    address: str
    source: str
    identity_hash: int
    since_revision: int


@dataclass(slots=True, frozen=True)
class GossipIntervalElapsed:
    """States and addresses of the reachable peers, and the merged view of endpoints up or draining."""

    peer_states: Sequence[AdvertisedState]
    peer_addresses: Mapping[str, str]
    endpoints: Mapping[str, EndpointRecord]


Event = SourceAdvanced | RemovalsReceived | RemovalsQueried | GossipIntervalElapsed


@dataclass(slots=True, frozen=True)
class FetchSnapshot:
    """Fetch the list of an own source now: a peer has seen `revision` of it."""

    source: str
    revision: int


@dataclass(slots=True, frozen=True)
class QueryRemovals:
    """Ask a peer for removals above `since_revision`."""

    address: str
    source: str
    identity_hash: int
    since_revision: int


@dataclass(slots=True, frozen=True)
class SendRemovals:
    """Answer a peer's query with one datagram."""

    address: str
    source: str
    identity_hash: int
    removals: tuple[ReportedRemoval, ...]


@dataclass(slots=True, frozen=True)
class ResetGossipSource:
    """Remove the gossip source from the merger and add it again, so that withdrawn removals are forgotten."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Log an accepted or a refuted removal."""

    message: str


Action = FetchSnapshot | QueryRemovals | SendRemovals | ResetGossipSource | WriteLog | EndpointsListed


class RemovalKey(NamedTuple):
    """Identifies a claim."""

    source: str
    endpoint_id: str


class RefutedClaim(NamedTuple):
    """A claim at a revision, which is not accepted again."""

    source: str
    endpoint_id: str
    revision: int


def gossip_source() -> Source:
    """The merger's source for accepted removals; it belongs behind all others."""
    return Source(GOSSIP_SOURCE_NAME, SourceRole.REMOVE, has_partial_revisions=True)


class _RecentRemoval(NamedTuple):
    removal: ReportedRemoval
    seen_ms: float


@dataclass(slots=True)
class _SourceProgress:
    """An own source: its position, and how far it is behind the peers. Times are infinite where not set."""

    identity_hash: int = 0
    revision: int = -1
    is_in_sync: bool = False
    sync_changed_ms: float = 0.0  # when `is_in_sync` changed last
    behind_since_ms: float = math.inf
    next_fetch_ms: float = math.inf
    fetch_count: int = 0  # since the revision rose last
    last_query_ms: float = -math.inf
    recent_removals: OrderedDict[str, _RecentRemoval] = field(default_factory=OrderedDict)  # by endpoint


class GossipedRemovals:
    """Removals that peers report, as claims by reporter, and those of them that are accepted.

    `fitting_count` gives how many of a source's removals, from the first on, fit one datagram; it comes from
    the codec.
    """

    def __init__(
        self,
        time_slots: StaggeredSchedule,
        random: Random,
        fitting_count: Callable[[str, Sequence[ReportedRemoval]], int],
        rule: AcceptanceRule = AcceptanceRule.TWO_REPORTERS_OR_ONLY_SOURCE,
    ) -> None:
        self.accepted: dict[RemovalKey, ReportedRemoval] = {}
        self.sources: dict[str, _SourceProgress] = {}
        self.claims: OrderedDict[RemovalKey, dict[str, ReportedRemoval]] = OrderedDict()  # by reporter
        self._refuted: OrderedDict[RefutedClaim, None] = OrderedDict()
        self._claimed_since_ms: dict[RemovalKey, float] = {}
        self._withdrawn: set[str] = set()
        self._listed: dict[str, EndpointRecord] = {}  # in the gossip source, as they were when accepted
        self._endpoints: Mapping[str, EndpointRecord] = {}
        self._time_slots, self._random = time_slots, random
        self._fitting_count, self._rule = fitting_count, rule
        self._revision = 0  # of the gossip source
        self._actions: list[Action] = []

    def __repr__(self) -> str:
        return f"<GossipedRemovals: {len(self.accepted)} accepted of {len(self.claims)} claims>"

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Apply an event; returns what to do, in this order."""
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
        progress = self.sources.setdefault(event.source, _SourceProgress(sync_changed_ms=now_ms))
        # Within an identity the merger lets no revision fall, so a lower one begins a new order as well.
        if event.identity_hash != progress.identity_hash or event.revision < progress.revision:
            progress.identity_hash, progress.revision = event.identity_hash, -1
            progress.recent_removals.clear()
            for key in [key for key in self.claims if key.source == event.source]:
                self._drop_claim(key)
        if event.is_in_sync != progress.is_in_sync:
            progress.is_in_sync, progress.sync_changed_ms = event.is_in_sync, now_ms
        if event.revision > progress.revision:
            progress.revision, progress.fetch_count = event.revision, 0
            progress.behind_since_ms = progress.next_fetch_ms = math.inf
            self._time_slots.reset()
        for removal in event.removals:
            progress.recent_removals.pop(removal.endpoint_id, None)  # to the end of the order
            progress.recent_removals[removal.endpoint_id] = _RecentRemoval(removal, now_ms)
            if len(progress.recent_removals) > MAX_RECENT_REMOVALS:
                progress.recent_removals.popitem(last=False)

    def _answer_query(self, now_ms: float, event: RemovalsQueried) -> None:
        progress = self.sources.get(event.source)
        if progress is None or progress.identity_hash != event.identity_hash:
            return
        recent = progress.recent_removals
        while recent and next(iter(recent.values())).seen_ms < now_ms - RECENT_REMOVAL_TTL_MS:
            recent.popitem(last=False)
        removals = [
            removal
            for removal, _ in reversed(recent.values())
            if event.since_revision < removal.revision <= progress.revision
        ]
        for _ in range(MAX_ANSWER_DATAGRAMS):
            if not (count := self._fitting_count(event.source, removals)):
                break
            fitting = tuple(removals[:count])
            self._actions.append(SendRemovals(event.address, event.source, event.identity_hash, fitting))
            removals = removals[count:]

    def _receive_claims(self, now_ms: float, event: RemovalsReceived) -> None:
        progress = self.sources.get(event.source)
        if progress is None or progress.identity_hash != event.identity_hash:
            return
        if self._rule is AcceptanceRule.NEVER:
            return
        for removal in event.removals:
            key = RemovalKey(event.source, removal.endpoint_id)
            is_known = removal.endpoint_id in self._endpoints or key in self.accepted
            is_refuted = RefutedClaim(*key, removal.revision) in self._refuted
            if is_known and not is_refuted and removal.revision > progress.revision:
                self._add_claim(now_ms, key, event.sender, removal)

    def _add_claim(self, now_ms: float, key: RemovalKey, sender: str, removal: ReportedRemoval) -> None:
        if key not in self.claims:
            self.claims[key], self._claimed_since_ms[key] = {}, now_ms
            if len(self.claims) > MAX_CLAIMS:  # the oldest that is not accepted, or this one
                self._drop_claim(next(old for old in self.claims if old not in self.accepted or old == key))
        reports = self.claims.get(key, {})
        if sender not in reports and len(reports) >= MAX_REPORTERS_PER_CLAIM:
            return
        held = reports.get(sender)
        if held is None or (removal.revision, removal.is_gone) > (held.revision, held.is_gone):
            reports[sender] = removal

    def _drop_claim(self, key: RemovalKey) -> None:
        del self.claims[key], self._claimed_since_ms[key]
        self.accepted.pop(key, None)

    # --- each gossip interval

    def _run_round(self, now_ms: float, event: GossipIntervalElapsed) -> None:
        self._endpoints = event.endpoints
        for name, progress in self.sources.items():
            self._catch_up(now_ms, event, name, progress)
        hearing_count = sum(not state.flags & FLAG_NO_DISCOVERY for state in event.peer_states)
        for key in list(self.claims):
            self._reconsider_claim(now_ms, key, hearing_count)
        self._accept_claims(hearing_count)
        self._update_gossip_source()

    def _accept_claims(self, hearing_count: int) -> None:
        up_count = len(self.accepted)
        if len(self.claims) > up_count:  # only then is the number needed
            up_count += sum(record.endpoint.phase is Phase.UP for record in self._endpoints.values())
        for key, reports in self.claims.items():
            if key in self.accepted or key.endpoint_id not in self._endpoints:
                continue
            if not self._has_enough_reporters(key.source, len(reports), hearing_count):
                continue
            if len(self.accepted) < self._max_accepted(key.source, len(reports), hearing_count, up_count):
                removal = min(reports.values(), key=lambda removal: (removal.is_gone, removal.revision))
                self.accepted[key] = removal
                description = f"{_describe_removal(removal)}, by {_reporter_names(reports)}"
                self._actions.append(WriteLog(f"{key.endpoint_id!r:.120} {description}"))

    def _has_enough_reporters(self, source: str, reporter_count: int, hearing_count: int) -> bool:
        is_silent = not self.sources[source].is_in_sync
        match self._rule:
            case AcceptanceRule.ONE_REPORTER:
                return reporter_count >= 1
            case AcceptanceRule.ONE_REPORTER_IF_SILENT:
                return reporter_count >= 2 or (reporter_count == 1 and is_silent)
            case AcceptanceRule.TWO_REPORTERS:
                return reporter_count >= 2
        return reporter_count >= 2 or (reporter_count == 1 and is_silent and hearing_count <= 1)

    def _max_accepted(self, source: str, reporter_count: int, hearing_count: int, up_count: int) -> float:
        """How many removals may be accepted in all, so that one more by these reporters is."""
        if self._has_majority(source, reporter_count, hearing_count):
            return math.inf
        ratio = SINGLE_REPORTER_MAX_RATIO if reporter_count == 1 else MINORITY_REPORTERS_MAX_RATIO
        return max(1.0, ratio * up_count)

    def _has_majority(self, source: str, reporter_count: int, hearing_count: int) -> bool:
        """Whether more than half of the nodes that hear discovery report it, this node among them.

        At least two must. MAX_REPORTERS_PER_CLAIM are enough, as no more are recorded.
        """
        node_count = hearing_count + self.sources[source].is_in_sync
        return reporter_count >= 2 and 2 * reporter_count > min(node_count, 2 * MAX_REPORTERS_PER_CLAIM - 1)

    def _reconsider_claim(self, now_ms: float, key: RemovalKey, hearing_count: int) -> None:
        """Drop the reports that the own source has caught up with, and the claim if too few remain."""
        progress, reports = self.sources[key.source], self.claims[key]
        outdated = [sender for sender, removal in reports.items() if removal.revision <= progress.revision]
        for sender in outdated:
            del reports[sender]
        contradicted_ms = now_ms - max(progress.sync_changed_ms, self._claimed_since_ms[key])
        is_refuted = (
            progress.is_in_sync
            and contradicted_ms > REFUTED_AFTER_MS
            and not self._has_majority(key.source, len(reports), hearing_count)
        )
        if is_refuted and reports:
            self._refute(key, reports.values())
        is_weakened = outdated and not self._has_enough_reporters(key.source, len(reports), hearing_count)
        if is_refuted or not reports or is_weakened:
            self._drop_claim(key)

    def _refute(self, key: RemovalKey, removals: Iterable[ReportedRemoval]) -> None:
        self._actions.append(
            WriteLog(f"{key.endpoint_id!r:.120} is not out: the own source knows nothing of it")
        )
        for removal in removals:
            self._refuted[RefutedClaim(*key, removal.revision)] = None
            if len(self._refuted) > MAX_REFUTED_CLAIMS:
                self._refuted.popitem(last=False)

    def _update_gossip_source(self) -> None:
        """Pass on to the merger what has been accepted or withdrawn."""
        removals = {key.endpoint_id: removal for key, removal in self.accepted.items()}
        added = [endpoint_id for endpoint_id in removals if endpoint_id not in self._listed]
        withdrawn = [endpoint_id for endpoint_id in self._listed if endpoint_id not in removals]
        if not added and not withdrawn:
            return
        if not self._revision:
            self._revision = 1
            self._list_endpoints(EndpointList(1, True, ()))
        self._revision += 1
        self._listed |= {endpoint_id: self._endpoints[endpoint_id] for endpoint_id in added}
        records = [
            _with_phase(self._listed[endpoint_id], Phase.DRAINING)
            for endpoint_id in added
            if not removals[endpoint_id].is_gone
        ]
        records += [_with_phase(self._listed.pop(endpoint_id), Phase.UP) for endpoint_id in withdrawn]
        gone = tuple(endpoint_id for endpoint_id in added if removals[endpoint_id].is_gone)
        self._list_endpoints(EndpointList(self._revision, False, tuple(records), gone))
        self._withdrawn.update(withdrawn)
        if len(self._withdrawn) > MAX_WITHDRAWN_REMOVALS and not self.accepted:
            self._withdrawn.clear()
            self._revision = 0
            self._actions.append(ResetGossipSource())

    def _list_endpoints(self, endpoint_list: EndpointList) -> None:
        self._actions.append(EndpointsListed(GOSSIP_SOURCE_NAME, GOSSIP_SOURCE_NAME, endpoint_list))

    # --- an own source that is behind

    def _catch_up(
        self, now_ms: float, event: GossipIntervalElapsed, source: str, progress: _SourceProgress
    ) -> None:
        """Fetch the own source's list and query peers, while peers advertise a newer revision."""
        revisions = {
            state.name: revision
            for state in event.peer_states
            for name, identity, revision, _ in state.sources
            if (name, identity) == (source, progress.identity_hash)
        }
        newer_peers = [
            peer
            for peer, revision in revisions.items()
            if revision > progress.revision and peer in event.peer_addresses
        ]
        if not newer_peers or not progress.identity_hash:
            progress.behind_since_ms = progress.next_fetch_ms = math.inf
            return
        if progress.behind_since_ms == math.inf:
            progress.behind_since_ms = now_ms
            progress.next_fetch_ms = now_ms + NEWER_REVISION_GRACE_MS + self._time_slots.first_delay_ms()
        if now_ms >= progress.next_fetch_ms:
            self._fetch(now_ms, source, progress, max(revisions.values()))
        behind_ms = now_ms - progress.behind_since_ms
        since_query_ms = now_ms - progress.last_query_ms
        if behind_ms >= NEWER_REVISION_GRACE_MS and since_query_ms >= QUERY_INTERVAL_MS:
            progress.last_query_ms = now_ms
            self._query(event.peer_addresses, newer_peers, source, progress)

    def _fetch(self, now_ms: float, source: str, progress: _SourceProgress, revision: int) -> None:
        progress.fetch_count += 1
        self._actions.append(FetchSnapshot(source, revision))
        pause_ms = FETCH_PAUSE_MS if progress.fetch_count % MAX_FETCHES_BEFORE_PAUSE == 0 else 0.0
        progress.next_fetch_ms = now_ms + pause_ms + self._time_slots.retry_delay_ms(was_rejected=False)

    def _query(
        self, addresses: Mapping[str, str], peers: Sequence[str], source: str, progress: _SourceProgress
    ) -> None:
        since_revision = max(0, progress.revision)
        for peer in self._random.sample(peers, min(MAX_PEERS_QUERIED, len(peers))):
            self._actions.append(
                QueryRemovals(addresses[peer], source, progress.identity_hash, since_revision)
            )


def _with_phase(record: EndpointRecord, phase: Phase) -> EndpointRecord:
    return EndpointRecord(replace(record.endpoint, phase=phase), record.address)


def _describe_removal(removal: ReportedRemoval) -> str:
    return f"{'is gone' if removal.is_gone else 'drains'} at revision {removal.revision}"


def _reporter_names(reporters: Iterable[str]) -> str:
    return " and ".join(sorted(reporters)[:MAX_LOGGED_REPORTERS])
