"""Combines the state machines that use gossip sections, other than `failure_detector`, into one.

These are `node_state`, `partition_detector`, `gossiped_removals`, `quota_allocation` and `anti_entropy`. The
owner of the sockets passes in the sections of each valid datagram (`SectionsReceived`), the status of the
node in each gossip interval (`GossipIntervalElapsed`), and the changes that the endpoint merger applied
(`on_source_applied`). The given codec, `protocol/gossip_sections`, encodes the sections. A datagram is
ignored unless its sender is a present peer at the datagram's source address. At most MAX_ANSWERS_PER_ROUND
answers are sent in each interval.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import NamedTuple

from balancer.core.cluster import (
    advertised_sources,
    anti_entropy,
    gossiped_removals,
    node_state,
    partition_detector,
    quota_allocation,
)
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.cluster.section_codec import SectionCodec
from balancer.core.discovery.endpoint_merger import ApplyEndpoints, EndpointsListed
from balancer.core.discovery.source_state import Source, SourceState
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointRecord
from balancer.interface import Phase

MAX_ANSWERS_PER_ROUND = 64  # datagrams in a gossip interval
# Minimum time between searches for differing entries, and between log lines about them.
DIFFERENCE_SEARCH_INTERVAL_MS = 2_000.0
MAX_LOGGED_NAMES = 8
MAX_LOGGED_NAME_LENGTH = 60
SECTION_HEADER_BYTES = 2  # kind and length


class Section(NamedTuple):
    """A section of a datagram: its kind in the codec, and its bytes."""

    kind: int
    data: bytes


Sections = Sequence[tuple[int, bytes]]  # fields of `Section`


@dataclass(slots=True, frozen=True)
class SectionsReceived:
    """The sections of a valid datagram from the sender's current incarnation."""

    sender: str
    source_address: str
    sections: Sections


@dataclass(slots=True, frozen=True)
class GossipIntervalElapsed:
    """A gossip interval has elapsed; carries the status of this node.

    `recovery_state` is an index into `recovery.RecoveryState`. `settings_digests` are those of the platform's
    settings and of the operators' file. `sources` and `endpoints` come from the endpoint merger.
    """

    recovery_state: int
    settings_digests: tuple[int, int]
    program_version: str
    zone: str
    sources: Sequence[Source]
    endpoints: Mapping[str, EndpointRecord]
    backends_by_zone: Mapping[str, partition_detector.BackendCounts] = field(default_factory=dict)


Event = (
    SectionsReceived | GossipIntervalElapsed | quota_allocation.LoopStalled | quota_allocation.ShutdownStarted
)


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send one datagram without membership records, under the failure detector's incarnation."""

    address: str
    sections: tuple[tuple[int, bytes], ...]  # fields of `Section`


class TimelineEventName(StrEnum):
    """Names of the events recorded on the timeline."""

    PARTITION_BEGAN = "cut_began"
    PARTITION_HEALED = "cut_ended"
    DIVERGENCE_BEGAN = "disagreement_began"
    DIVERGENCE_ENDED = "disagreement_ended"


@dataclass(slots=True, frozen=True)
class RecordEvent:
    """Record an event on the timeline."""

    name: TimelineEventName
    subject: str
    node_names: tuple[str, ...]
    reason: str


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a log line."""

    message: str


Action = (
    SendGossip
    | RecordEvent
    | WriteLog
    | EndpointsListed
    | gossiped_removals.FetchSnapshot
    | gossiped_removals.ResetGossipSource
    | quota_allocation.PersistQuota
    | quota_allocation.SetQuota
)


class GossipCoordinator:
    """Dispatches events to the state machines and returns their actions in the order to perform them.

    `node_index` and `node_count` come from the settings. `capacity_bytes` is the space for sections in a
    datagram. `advertised_sources.source_identity_hash` explains `sources_with_local_agents`.
    """

    def __init__(
        self,
        failure_detector: FailureDetector,
        node_index: int,
        node_count: int,
        persisted_quota: quota_allocation.PersistedQuota | None,
        time_slots: StaggeredSchedule,
        random: Random,
        codec: SectionCodec,
        capacity_bytes: int,
        sources_with_local_agents: Collection[str] = (),
    ) -> None:
        self.failure_detector = failure_detector
        self.node_index, self.node_count = node_index, node_count
        self.sources_with_local_agents = sources_with_local_agents
        self.node_states = node_state.NodeStateTable(
            failure_detector.name,
            random,
            lambda state: SECTION_HEADER_BYTES + len(codec.encode_node_state(state)),
            capacity_bytes,
        )
        self.partition_detector = partition_detector.PartitionDetector()
        self.digest_tree = anti_entropy.DigestTree()
        self.gossiped_removals = gossiped_removals.GossipedRemovals(time_slots, random, self._fitting_count)
        self.quota: quota_allocation.QuotaAllocator | None = None  # until the incarnation is known
        self._persisted_quota = persisted_quota
        self._random, self._codec, self._capacity_bytes = random, codec, capacity_bytes
        self._last_search_ms = self._last_difference_ms = float("-inf")
        self._answer_count = 0
        self._actions: list[Action] = []

    def on_source_applied(self, now_ms: float, source: Source, applied: ApplyEndpoints) -> None:
        """Records the changes that the merger applied for a source, so that peers can query its removals.

        Removals by the gossip source are not reported, and neither are removals that peers reported for an
        endpoint before this source listed it again: an echoed report would count as one more reporter.
        """
        self.digest_tree.apply(applied.records, applied.removed_records)
        if source.name == node_state.GOSSIP_SOURCE_NAME or source.revision is None:
            return
        own_records = source.records
        removals = [
            gossiped_removals.ReportedRemoval(record.id, source.revision, is_gone=True)
            for record in applied.removed_records
            if record.id not in own_records
        ]
        removals += [
            gossiped_removals.ReportedRemoval(record.id, source.revision, is_gone=False)
            for record in applied.records
            if record.id in own_records and own_records[record.id].endpoint.phase is Phase.DRAINING
        ]
        self.gossiped_removals.handle(now_ms, self._source_advanced(source, tuple(removals)))

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Applies an event; returns the actions in the order to perform them."""
        self._actions = []
        match event:
            case SectionsReceived():
                if self._is_sender_present(event):
                    for kind, data in event.sections:
                        self._receive_section(now_ms, event, kind, data)
            case GossipIntervalElapsed():
                self._answer_count = 0
                self._run_round(now_ms, event)
            case quota_allocation.LoopStalled() | quota_allocation.ShutdownStarted():
                self._update_quota(now_ms, event)
        return self._actions

    def _is_sender_present(self, event: SectionsReceived) -> bool:
        peer = self.failure_detector.peers.get(event.sender)
        if peer is None:
            return False
        return peer.record.state <= PeerState.SUSPECT and peer.record.address == event.source_address

    # --- received sections

    def _receive_section(self, now_ms: float, event: SectionsReceived, kind: int, data: bytes) -> None:
        """Dispatches a section; ignores malformed sections and those of an unknown kind."""
        codec = self._codec
        if kind == codec.NODE_STATE:
            if state := codec.decode_node_state(data):
                received = node_state.StatesReceived([node_state.AdvertisedState(*state)])
                self.node_states.handle(now_ms, received)
        elif kind == codec.QUOTA_REPORT:
            if report := codec.decode_quota_report(data):
                self._receive_quota_report(now_ms, event, quota_allocation.QuotaReport(*report))
        elif kind == codec.TREE_DIGESTS:
            digests = (anti_entropy.TreeDigest(*digest) for digest in codec.decode_tree_digests(data))
            self._compare_digests(now_ms, event, anti_entropy.TreeDigests(tuple(digests)))
        elif kind == codec.LEAF_ENTRIES:
            if decoded_leaf := codec.decode_leaf_entries(data):
                entries = tuple(anti_entropy.LeafEntry(*entry) for entry in decoded_leaf[1])
                self._compare_digests(now_ms, event, anti_entropy.LeafEntries(decoded_leaf[0], entries))
        elif kind == codec.REMOVALS:
            self._receive_removals(now_ms, event, data)
        elif kind == codec.REMOVALS_QUERY and (query := codec.decode_removals_query(data)):
            queried = gossiped_removals.RemovalsQueried(event.source_address, *query)
            self._apply_removal_actions(self.gossiped_removals.handle(now_ms, queried))

    def _receive_quota_report(
        self, now_ms: float, event: SectionsReceived, report: quota_allocation.QuotaReport
    ) -> None:
        self._update_quota(now_ms, report)
        if report.wants_reply and self.quota:
            # The answer requests no reply: two nodes that both did would answer each other forever.
            data = self._encode_quota_report(self.quota.report_for(report.node_index), wants_reply=False)
            self._send_answer(event.source_address, self._codec.QUOTA_REPORT, data)

    def _receive_removals(self, now_ms: float, event: SectionsReceived, data: bytes) -> None:
        if (decoded := self._codec.decode_removals(data)) is None:
            return
        source, identity_hash, entries = decoded
        removals = [
            gossiped_removals.ReportedRemoval(endpoint_id, revision, bool(is_gone))
            for endpoint_id, revision, is_gone in entries
        ]
        received = gossiped_removals.RemovalsReceived(event.sender, source, identity_hash, removals)
        self.gossiped_removals.handle(now_ms, received)

    def _compare_digests(self, now_ms: float, event: SectionsReceived, message: anti_entropy.Message) -> None:
        codec = self._codec
        answers, difference = self.digest_tree.receive(message)
        for answer in answers:
            match answer:
                case anti_entropy.LeafEntries():
                    data = codec.encode_leaf_entries(answer.tree_index, answer.entries)
                    self._send_answer(event.source_address, codec.LEAF_ENTRIES, data)
                case anti_entropy.TreeDigests():
                    data = codec.encode_tree_digests(answer.digests)
                    self._send_answer(event.source_address, codec.TREE_DIGESTS, data)
        if difference and now_ms - self._last_difference_ms >= DIFFERENCE_SEARCH_INTERVAL_MS:
            self._last_difference_ms = now_ms
            logged_names = (
                f"{name:.{MAX_LOGGED_NAME_LENGTH}}" for name in difference.names[:MAX_LOGGED_NAMES]
            )
            names = ", ".join(logged_names) or "none"
            missing_count = difference.missing_count
            self._actions.append(
                WriteLog(
                    f"endpoint list differs from {event.sender}'s: {names}; {missing_count} missing here"
                )
            )

    def _send_answer(self, address: str, kind: int, data: bytes) -> None:
        self._answer_count += 1
        if self._answer_count <= MAX_ANSWERS_PER_ROUND:
            self._actions.append(SendGossip(address, (Section(kind, data),)))

    # --- each gossip interval

    def _run_round(self, now_ms: float, event: GossipIntervalElapsed) -> None:
        detector = self.failure_detector
        if self.quota is None and not detector.is_asking_for_incarnation:
            self.quota = quota_allocation.QuotaAllocator(
                self.node_index, detector.incarnation, self.node_count, self._persisted_quota, now_ms
            )
        addresses = {
            name: peer.record.address
            for name, peer in detector.peers.items()
            if peer.record.state <= PeerState.SUSPECT
        }
        states = [self.node_states.states[name] for name in addresses if name in self.node_states.states]
        own_sources = [source for source in event.sources if source.name != node_state.GOSSIP_SOURCE_NAME]
        has_discovery = any(source.state is SourceState.IN_SYNC for source in own_sources)
        self._detect_partitions(now_ms, event, states, has_discovery)
        self._advertise(now_ms, event, addresses, has_discovery)
        for source in own_sources:
            self.gossiped_removals.handle(now_ms, self._source_advanced(source))
        interval_elapsed = gossiped_removals.GossipIntervalElapsed(states, addresses, event.endpoints)
        self._apply_removal_actions(self.gossiped_removals.handle(now_ms, interval_elapsed))
        self._search_difference(now_ms, addresses, states)
        self._allocate_quota(now_ms, addresses, states)

    def _detect_partitions(
        self,
        now_ms: float,
        event: GossipIntervalElapsed,
        states: Sequence[node_state.AdvertisedState],
        has_discovery: bool,
    ) -> None:
        evidence = partition_detector.Evidence(
            *partition_detector.classify_peers(self.failure_detector, now_ms),
            is_discovery_in_sync=has_discovery,
            backends_by_zone=event.backends_by_zone,
            peer_states=states,
            is_in_doubt=self.failure_detector.heard_since_stall is not None,
        )
        for change in self.partition_detector.handle(now_ms, evidence):
            subject = f"{change.scope.value} {change.zone}".strip()
            match change:
                case partition_detector.PartitionBegan():
                    name, reason = (
                        TimelineEventName.PARTITION_BEGAN,
                        f"{change.verdict.value}; {change.reason}",
                    )
                case partition_detector.PartitionHealed():
                    name, reason = TimelineEventName.PARTITION_HEALED, _format_duration(change.duration_ms)
            self._actions.append(RecordEvent(name, subject, (), reason))

    def _advertise(
        self, now_ms: float, event: GossipIntervalElapsed, addresses: Mapping[str, str], has_discovery: bool
    ) -> None:
        """Advertises the own state unless this node has no incarnation yet or has yielded its name."""
        if self.quota is None or self.failure_detector.has_yielded_name:
            return
        state = self._own_state(event, self.quota.divisor, has_discovery)
        self.node_states.handle(now_ms, node_state.OwnStateChanged(state))
        for action in self.node_states.handle(now_ms, node_state.GossipIntervalElapsed(addresses)):
            match action:
                case node_state.SendStates():
                    sections = (
                        Section(self._codec.NODE_STATE, self._codec.encode_node_state(sent))
                        for sent in action.states
                    )
                    self._actions.append(SendGossip(action.address, tuple(sections)))
                case node_state.DivergenceBegan():
                    reason = f"{action.reason}; affected nodes: {action.node_count}"
                    self._record_divergence(
                        TimelineEventName.DIVERGENCE_BEGAN, action, action.node_names, reason
                    )
                case node_state.DivergenceEnded():
                    reason = _format_duration(action.duration_ms)
                    self._record_divergence(TimelineEventName.DIVERGENCE_ENDED, action, (), reason)

    def _own_state(
        self, event: GossipIntervalElapsed, quota_divisor: int, has_discovery: bool
    ) -> node_state.AdvertisedState:
        scope = partition_detector.PartitionScope.BACKEND_ZONE
        zone = next((key.zone for key in self.partition_detector.partitions if key.scope is scope), "")
        return node_state.AdvertisedState(
            name=self.failure_detector.name,
            incarnation=self.failure_detector.incarnation,
            sequence_number=0,  # set by `NodeStateTable`
            node_index=self.node_index,
            recovery_state=event.recovery_state,
            flags=0 if has_discovery else node_state.FLAG_NO_DISCOVERY,
            partitioned_zone_id=partition_detector.zone_id(zone) if zone else 0,
            quota_divisor=quota_divisor,
            endpoints_digest=self.digest_tree.digest
            if advertised_sources.is_comparable(event.sources)
            else 0,
            settings_digests=event.settings_digests,
            program_version=event.program_version,
            zone=event.zone,
            sources=advertised_sources.advertised_sources(event.sources, self.sources_with_local_agents),
        )

    def _record_divergence(
        self,
        name: TimelineEventName,
        change: node_state.DivergenceBegan | node_state.DivergenceEnded,
        node_names: tuple[str, ...],
        reason: str,
    ) -> None:
        subject = f"{change.kind} {change.subject}".strip()
        self._actions.append(RecordEvent(name, subject, node_names, reason))

    def _search_difference(
        self, now_ms: float, addresses: Mapping[str, str], states: Sequence[node_state.AdvertisedState]
    ) -> None:
        """Starts a search with a node whose digest differs, while lists differ at the same revisions."""
        own = self.node_states.states.get(self.failure_detector.name)
        key = node_state.DivergenceKey(node_state.DivergenceKind.ENDPOINT_LIST)
        is_diverging = key in self.node_states.divergence_hysteresis.active_since_ms
        if not is_diverging or now_ms - self._last_search_ms < DIFFERENCE_SEARCH_INTERVAL_MS or not own:
            return
        others = [
            state.name
            for state in states
            if state.endpoints_digest and state.endpoints_digest != own.endpoints_digest
        ]
        if others:
            self._last_search_ms = now_ms
            data = self._codec.encode_tree_digests(self.digest_tree.start_search().digests)
            address = addresses[self._random.choice(others)]
            self._actions.append(SendGossip(address, (Section(self._codec.TREE_DIGESTS, data),)))

    # --- quota

    def _allocate_quota(
        self, now_ms: float, addresses: Mapping[str, str], states: Sequence[node_state.AdvertisedState]
    ) -> None:
        for name, peer in self.failure_detector.peers.items():
            if peer.record.state == PeerState.LEFT and (state := self.node_states.states.get(name)):
                departure = quota_allocation.NodeLeft(state.node_index, peer.record.incarnation)
                self._update_quota(now_ms, departure)
        self._update_quota(now_ms, quota_allocation.TimeAdvanced())
        if self.quota is None:
            return
        address_by_index = {state.node_index: addresses[state.name] for state in states}
        for index in self.quota.next_queried(list(address_by_index), node_state.GOSSIP_INTERVAL_MS):
            report = self.quota.report_for(index)
            section = Section(self._codec.QUOTA_REPORT, self._encode_quota_report(report, report.wants_reply))
            self._actions.append(SendGossip(address_by_index[index], (section,)))

    def _update_quota(self, now_ms: float, event: quota_allocation.Event) -> None:
        if self.quota:
            self._actions += self.quota.handle(now_ms, event)

    def _encode_quota_report(self, report: quota_allocation.QuotaReport, wants_reply: bool) -> bytes:
        return self._codec.encode_quota_report(
            report.node_index,
            report.incarnation,
            report.acknowledged_incarnation,
            report.is_certain,
            wants_reply,
            report.newcomers,
        )

    # --- removals

    def _source_advanced(
        self, source: Source, removals: tuple[gossiped_removals.ReportedRemoval, ...] = ()
    ) -> gossiped_removals.SourceAdvanced:
        return gossiped_removals.SourceAdvanced(
            source.name,
            advertised_sources.source_identity_hash(source, self.sources_with_local_agents),
            -1 if source.revision is None else source.revision,
            source.state is SourceState.IN_SYNC,
            removals,
        )

    def _apply_removal_actions(self, actions: Sequence[gossiped_removals.Action]) -> None:
        codec = self._codec
        for action in actions:
            match action:
                case gossiped_removals.QueryRemovals():
                    data = codec.encode_removals_query(
                        action.source, action.identity_hash, action.since_revision
                    )
                    section = Section(codec.REMOVALS_QUERY, data)
                    self._actions.append(SendGossip(action.address, (section,)))
                case gossiped_removals.SendRemovals():
                    data = self._encode_removals(action.source, action.identity_hash, action.removals)
                    self._send_answer(action.address, codec.REMOVALS, data)
                case gossiped_removals.WriteLog():
                    self._actions.append(WriteLog(action.message))
                case _:
                    self._actions.append(action)

    def _encode_removals(
        self, source: str, identity_hash: int, removals: Sequence[gossiped_removals.ReportedRemoval]
    ) -> bytes:
        fields = [(removal.endpoint_id, removal.revision, removal.is_gone) for removal in removals]
        return self._codec.encode_removals(source, identity_hash, fields)

    def _fitting_count(self, source: str, removals: Sequence[gossiped_removals.ReportedRemoval]) -> int:
        """Returns how many of the first removals fit in one datagram."""
        count = 0
        while count < len(removals):
            data = self._encode_removals(source, 0, removals[: count + 1])
            if SECTION_HEADER_BYTES + len(data) > self._capacity_bytes:
                break
            count += 1
        return count


def _format_duration(duration_ms: float) -> str:
    return f"after {duration_ms / 1000:.1f} s"
