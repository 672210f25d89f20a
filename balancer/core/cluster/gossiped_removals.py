"""Accepts drains and removals that peers report, for a node whose own source is late or silent.

When peers advertise a newer revision than this node has, the node fetches its source's list (`FetchSnapshot`,
in staggered time slots) and queries a few of those peers for the endpoints drained or removed since then
(`QueryRemovals`). A peer answers only with removals from its own source and their revisions, never with
removals that other peers reported to it, so two reports are two independent observations. A reported removal
is accepted under these conditions:

- The endpoint is in the view. Gossip only drains or removes endpoints; it never adds or restores any.
- The report has the same source identity and a higher revision than this node.
- Two peers report it, or one peer if it alone is connected to discovery and the own source is silent.
- The accepted removals stay within a share of the endpoints: SINGLE_REPORTER_MAX_RATIO for one reporter and
  MINORITY_REPORTERS_MAX_RATIO for two or more. There is no limit if more than half of the nodes that are
  connected to discovery report it.

An accepted removal ends once the own source reaches the revision of the report, which the source then
overrides. A report is refuted, and not accepted again, if the own source was in sync below its revision for
REFUTED_AFTER_MS and no more than half of the nodes that are connected to discovery report it. If more do, the
own source is the one that is late.

Accepted removals are passed to `core/discovery/endpoint_merger` as changes of an additional source with the
role "remove". A withdrawn removal is listed there as up, which adds nothing in that role.
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
MAX_PEERS_QUERIED = 3  # in each query round
QUERY_INTERVAL_MS = 400.0
MAX_FETCHES_BEFORE_PAUSE = 5  # fetches that returned nothing newer
FETCH_PAUSE_MS = 60_000.0
REFUTED_AFTER_MS = 5_000.0
# Maximum share of the endpoints that are up, for all accepted removals together; one is always allowed.
SINGLE_REPORTER_MAX_RATIO = 0.1
MINORITY_REPORTERS_MAX_RATIO = 0.25
# Bounds of the tables.
MAX_RECENT_REMOVALS = 1_024  # kept for each own source to answer queries
RECENT_REMOVAL_TTL_MS = 600_000.0
MAX_CLAIMS = 1_024
MAX_REPORTERS_PER_CLAIM = 8
MAX_REFUTED_CLAIMS = 4_096
MAX_WITHDRAWN_REMOVALS = 1_024  # still listed by the merger; beyond this, the merger's source is reset
MAX_ANSWER_DATAGRAMS = 4  # for each query
MAX_LOGGED_REPORTERS = 3


class AcceptanceRule(Enum):
    """Which reporters suffice to accept a removal; benchmarks/gossiped_removals.py compares the rules."""

    NEVER = "nobody"
    ONE_REPORTER = "any one"
    ONE_REPORTER_IF_SILENT = "one, and the own source is silent"
    TWO_REPORTERS = "two"
    TWO_REPORTERS_OR_ONLY_SOURCE = "two, or the only one that hears while the own source is silent"


@dataclass(slots=True, frozen=True)
class ReportedRemoval:
    """A source drained an endpoint, or removed it if `is_gone`, at a revision."""

    endpoint_id: str
    revision: int
    is_gone: bool


@dataclass(slots=True, frozen=True)
class SourceAdvanced:
    """The current position of an own source, and the drains and removals that it has just reported.

    `revision` is -1 before the first list.
    """

    source: str
    identity_hash: int
    revision: int
    is_in_sync: bool
    removals: tuple[ReportedRemoval, ...] = ()


@dataclass(slots=True, frozen=True)
class RemovalsReceived:
    """A peer's answer to a query; the caller has checked that the peer is present at the source address."""

    sender: str
    source: str
    identity_hash: int
    removals: Sequence[ReportedRemoval]


@dataclass(slots=True, frozen=True)
class RemovalsQueried:
    """A peer has queried the removals above `since_revision`."""

    address: str
    source: str
    identity_hash: int
    since_revision: int


@dataclass(slots=True, frozen=True)
class GossipIntervalElapsed:
    """The states and addresses of the reachable peers, and the merged view of up and draining endpoints."""

    peer_states: Sequence[AdvertisedState]
    peer_addresses: Mapping[str, str]
    endpoints: Mapping[str, EndpointRecord]


Event = SourceAdvanced | RemovalsReceived | RemovalsQueried | GossipIntervalElapsed


@dataclass(slots=True, frozen=True)
class FetchSnapshot:
    """Fetch the list of an own source now, because a peer has seen `revision` of it."""

    source: str
    revision: int


@dataclass(slots=True, frozen=True)
class QueryRemovals:
    """Query a peer for the removals above `since_revision`."""

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
    """Remove the gossip source from the merger and add it again, to discard the withdrawn removals."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a log line about an accepted or refuted removal."""

    message: str


Action = FetchSnapshot | QueryRemovals | SendRemovals | ResetGossipSource | WriteLog | EndpointsListed


class RemovalKey(NamedTuple):
    """Identifies a claim: all reports of the removal of an endpoint from a source."""

    source: str
    endpoint_id: str


class RefutedClaim(NamedTuple):
    """A claim that was refuted at a revision and is not accepted again."""

    source: str
    endpoint_id: str
    revision: int


def gossip_source() -> Source:
    """Returns the merger's source for accepted removals, which must come after all other sources."""
    return Source(GOSSIP_SOURCE_NAME, SourceRole.REMOVE, has_partial_revisions=True)


class _RecentRemoval(NamedTuple):
    removal: ReportedRemoval
    seen_ms: float


@dataclass(slots=True)
class _SourceProgress:
    """The position of an own source and its lag behind the peers; a time that is not set is infinite."""

    identity_hash: int = 0
    revision: int = -1
    is_in_sync: bool = False
    sync_changed_ms: float = 0.0  # when `is_in_sync` last changed
    behind_since_ms: float = math.inf
    next_fetch_ms: float = math.inf
    fetch_count: int = 0  # since the revision last rose
    last_query_ms: float = -math.inf
    recent_removals: OrderedDict[str, _RecentRemoval] = field(default_factory=OrderedDict)  # by endpoint id


class GossipedRemovals:
    """Tracks the removals that peers report, by claim and reporter, and accepts those that meet the rule.

    `fitting_count` returns how many of the first removals of a source fit in one datagram; it comes from the
    codec.
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
        self._withdrawn_ids: set[str] = set()
        self._listed_records: dict[str, EndpointRecord] = {}  # by the gossip source, as of their acceptance
        self._endpoints: Mapping[str, EndpointRecord] = {}
        self._time_slots, self._random = time_slots, random
        self._fitting_count, self._rule = fitting_count, rule
        self._revision = 0  # of the gossip source
        self._actions: list[Action] = []

    def __repr__(self) -> str:
        return f"<GossipedRemovals: {len(self.accepted)} accepted of {len(self.claims)} claims>"

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Applies an event; returns the actions in the order to perform them."""
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
        # The merger never lets the revision of an identity fall, so a lower one also starts a new sequence.
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
            progress.recent_removals.pop(removal.endpoint_id, None)  # reinserted below as the newest
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
            if len(self.claims) > MAX_CLAIMS:  # drops the oldest one that is not accepted, or this one
                self._drop_claim(next(old for old in self.claims if old not in self.accepted or old == key))
        reports = self.claims.get(key, {})
        if sender not in reports and len(reports) >= MAX_REPORTERS_PER_CLAIM:
            return
        known = reports.get(sender)
        if known is None or (removal.revision, removal.is_gone) > (known.revision, known.is_gone):
            reports[sender] = removal

    def _drop_claim(self, key: RemovalKey) -> None:
        del self.claims[key], self._claimed_since_ms[key]
        self.accepted.pop(key, None)

    # --- each gossip interval

    def _run_round(self, now_ms: float, event: GossipIntervalElapsed) -> None:
        self._endpoints = event.endpoints
        for name, progress in self.sources.items():
            self._catch_up(now_ms, event, name, progress)
        synced_peer_count = sum(not state.flags & FLAG_NO_DISCOVERY for state in event.peer_states)
        for key in list(self.claims):
            self._reevaluate_claim(now_ms, key, synced_peer_count)
        self._accept_claims(synced_peer_count)
        self._update_gossip_source()

    def _accept_claims(self, synced_peer_count: int) -> None:
        up_count = len(self.accepted)
        if len(self.claims) > up_count:  # otherwise all claims are accepted already
            up_count += sum(record.endpoint.phase is Phase.UP for record in self._endpoints.values())
        for key, reports in self.claims.items():
            if key in self.accepted or key.endpoint_id not in self._endpoints:
                continue
            if not self._has_enough_reporters(key.source, len(reports), synced_peer_count):
                continue
            if len(self.accepted) < self._max_accepted(key.source, len(reports), synced_peer_count, up_count):
                removal = min(reports.values(), key=lambda removal: (removal.is_gone, removal.revision))
                self.accepted[key] = removal
                description = f"{_describe_removal(removal)}, reported by {_reporter_names(reports)}"
                self._actions.append(WriteLog(f"removal accepted: {key.endpoint_id!r:.120} {description}"))

    def _has_enough_reporters(self, source: str, reporter_count: int, synced_peer_count: int) -> bool:
        is_source_silent = not self.sources[source].is_in_sync
        match self._rule:
            case AcceptanceRule.ONE_REPORTER:
                return reporter_count >= 1
            case AcceptanceRule.ONE_REPORTER_IF_SILENT:
                return reporter_count >= 2 or (reporter_count == 1 and is_source_silent)
            case AcceptanceRule.TWO_REPORTERS:
                return reporter_count >= 2
        return reporter_count >= 2 or (reporter_count == 1 and is_source_silent and synced_peer_count <= 1)

    def _max_accepted(self, source: str, reporter_count: int, synced_peer_count: int, up_count: int) -> float:
        """Returns the number of accepted removals below which one more by these reporters is accepted."""
        if self._has_majority(source, reporter_count, synced_peer_count):
            return math.inf
        ratio = SINGLE_REPORTER_MAX_RATIO if reporter_count == 1 else MINORITY_REPORTERS_MAX_RATIO
        return max(1.0, ratio * up_count)

    def _has_majority(self, source: str, reporter_count: int, synced_peer_count: int) -> bool:
        """Whether more than half of the nodes that are connected to discovery report a removal.

        This node counts as one of these nodes if its own source is in sync. At least two reporters are
        required, and MAX_REPORTERS_PER_CLAIM suffice, since no more are recorded.
        """
        synced_node_count = synced_peer_count + self.sources[source].is_in_sync
        return reporter_count >= 2 and 2 * reporter_count > min(
            synced_node_count, 2 * MAX_REPORTERS_PER_CLAIM - 1
        )

    def _reevaluate_claim(self, now_ms: float, key: RemovalKey, synced_peer_count: int) -> None:
        """Drops reports that the own source has reached, and the claim if it is refuted or too few remain."""
        progress, reports = self.sources[key.source], self.claims[key]
        outdated = [sender for sender, removal in reports.items() if removal.revision <= progress.revision]
        for sender in outdated:
            del reports[sender]
        contradicted_ms = now_ms - max(progress.sync_changed_ms, self._claimed_since_ms[key])
        is_refuted = (
            progress.is_in_sync
            and contradicted_ms > REFUTED_AFTER_MS
            and not self._has_majority(key.source, len(reports), synced_peer_count)
        )
        if is_refuted and reports:
            self._refute(key, reports.values())
        has_too_few_reporters = outdated and not self._has_enough_reporters(
            key.source, len(reports), synced_peer_count
        )
        if is_refuted or not reports or has_too_few_reporters:
            self._drop_claim(key)

    def _refute(self, key: RemovalKey, removals: Iterable[ReportedRemoval]) -> None:
        self._actions.append(
            WriteLog(f"removal refuted: {key.endpoint_id!r:.120} is not reported by the own source")
        )
        for removal in removals:
            self._refuted[RefutedClaim(*key, removal.revision)] = None
            if len(self._refuted) > MAX_REFUTED_CLAIMS:
                self._refuted.popitem(last=False)

    def _update_gossip_source(self) -> None:
        """Passes newly accepted and withdrawn removals to the merger."""
        removals = {key.endpoint_id: removal for key, removal in self.accepted.items()}
        added = [endpoint_id for endpoint_id in removals if endpoint_id not in self._listed_records]
        withdrawn = [endpoint_id for endpoint_id in self._listed_records if endpoint_id not in removals]
        if not added and not withdrawn:
            return
        if not self._revision:
            self._revision = 1
            self._list_endpoints(EndpointList(1, True, ()))
        self._revision += 1
        self._listed_records |= {endpoint_id: self._endpoints[endpoint_id] for endpoint_id in added}
        records = [
            _with_phase(self._listed_records[endpoint_id], Phase.DRAINING)
            for endpoint_id in added
            if not removals[endpoint_id].is_gone
        ]
        records += [_with_phase(self._listed_records.pop(endpoint_id), Phase.UP) for endpoint_id in withdrawn]
        removed_ids = tuple(endpoint_id for endpoint_id in added if removals[endpoint_id].is_gone)
        self._list_endpoints(EndpointList(self._revision, False, tuple(records), removed_ids))
        self._withdrawn_ids.update(withdrawn)
        if len(self._withdrawn_ids) > MAX_WITHDRAWN_REMOVALS and not self.accepted:
            self._withdrawn_ids.clear()
            self._revision = 0
            self._actions.append(ResetGossipSource())

    def _list_endpoints(self, endpoint_list: EndpointList) -> None:
        self._actions.append(EndpointsListed(GOSSIP_SOURCE_NAME, GOSSIP_SOURCE_NAME, endpoint_list))

    # --- catching up with a newer revision

    def _catch_up(
        self, now_ms: float, event: GossipIntervalElapsed, source: str, progress: _SourceProgress
    ) -> None:
        """Fetches the own source's list and queries peers while they advertise a newer revision."""
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
    return f"{'removed' if removal.is_gone else 'draining'} at revision {removal.revision}"


def _reporter_names(reporters: Iterable[str]) -> str:
    return " and ".join(sorted(reporters)[:MAX_LOGGED_REPORTERS])
