"""What a node does with its peers' words beside `core/cluster/failure_detector`: views, cuts, hearsay,
shares, halves as one.

Whoever has the sockets hands in each right datagram's sections (`Came`), the state of the node each ROUND_MS
(`Round`), and what the merge applied (`on_source_applied`); sections go out as bytes by the codec that it
was given
(`protocol/gossip_sections`). A datagram counts only where its sender is there, at that address. Answers
are bounded
by ANSWERS a round.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from types import ModuleType

from balancer.core.cluster import (
    gossiped_removals as hearsay,
)
from balancer.core.cluster import (
    node_state as views,
)
from balancer.core.cluster import (
    partition_detector as cuts,
)
from balancer.core.cluster import (
    quota_allocation as shares,
)
from balancer.core.cluster.anti_entropy import (
    Difference,
    DigestTree,
    LeafEntries,
    TreeDigests,
)
from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.discovery.endpoint_merger import ApplyEndpoints, EndpointsListed
from balancer.core.discovery.source_state import Source
from balancer.core.discovery.source_state import SourceState as Known
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointRecord
from balancer.interface import Phase

Sections = Sequence[tuple[int, bytes]]

MAX_ANSWERS_PER_ROUND = 64  # datagrams a round
DIFFERENCE_SEARCH_INTERVAL_MS = 2_000.0  # between two searches for entries that differ
MAX_LOGGED_NAMES = 8


@dataclass(slots=True, frozen=True)
class SectionsReceived:
    """The sections of a right, fresh datagram, kind and bytes."""

    sender: str
    source_address: str
    sections: Sections


@dataclass(slots=True, frozen=True)
class GossipIntervalElapsed:
    """How the node stands: `state` of its recovery as a number, digests of both settings files, the merge.

    `servers`: by zone, how many are up, and how many of these are silent to this node.
    """

    recovery_state: int
    settings_digests: tuple[int, int]
    program_version: str
    zone: str
    sources: Sequence[Source]
    endpoints: Mapping[str, EndpointRecord]
    backends_by_zone: Mapping[str, tuple[int, int]] = field(default_factory=dict)


Event = SectionsReceived | GossipIntervalElapsed | shares.LoopStalled | shares.ShutdownStarted


@dataclass(slots=True, frozen=True)
class SendGossip:
    """One datagram of kind `goes_by.KIND`, under the incarnation that `peers` has."""

    address: str
    sections: tuple[tuple[int, bytes], ...]


@dataclass(slots=True, frozen=True)
class RecordEvent:
    """For the time line: cut_began, cut_ended, disagreement_began or disagreement_ended."""

    name: str
    subject: str
    node_names: tuple[str, ...]
    reason: str


@dataclass(slots=True, frozen=True)
class WriteLog:
    message: str


Action = (
    SendGossip
    | RecordEvent
    | WriteLog
    | EndpointsListed
    | hearsay.FetchSnapshot
    | hearsay.ResetGossipSource
    | shares.PersistQuota
    | shares.SetQuota
)


class GossipCoordinator:
    """`number`, `group`: the settings' `me` and `group_size`; `room`: bytes for sections in a datagram;
    `alike`: see `views.order_in`.

    What it returns is to be done in its order.
    """

    def __init__(
        self,
        peers: FailureDetector,
        number: int,
        group: int,
        kept: shares.PersistedQuota | None,
        turns: StaggeredSchedule,
        random: Random,
        codec: ModuleType,
        room: int,
        alike: Collection[str] = (),
    ) -> None:
        self.failure_detector, self.node_index, self.node_count, self.sources_with_local_agents = (
            peers,
            number,
            group,
            alike,
        )
        self.node_states = views.NodeStateTable(
            peers.name, random, lambda word: 2 + len(codec.encode_node_state(word)), room
        )
        self.partition_detector, self.digest_tree = cuts.PartitionDetector(), DigestTree()
        self.gossiped_removals = hearsay.GossipedRemovals(turns, random, self._fitting_count)
        self.quota: shares.QuotaAllocator | None = None  # until this life has its incarnation
        self._persisted_quota, self._random, self._codec, self._capacity_bytes = kept, random, codec, room
        self._last_search_ms = self._last_difference_ms = float("-inf")
        self._answer_count = 0
        self._actions: list[Action] = []

    def on_source_applied(self, now_ms: float, source: Source, applied: ApplyEndpoints) -> None:
        """What the merge applied by a source's word. That of peers is not told on, nor is what they had said
        before of a server that this source says something else of: an echo would pass for one more witness.
        """
        self.digest_tree.apply(applied.records, applied.removed_records)
        if source.name == views.GOSSIP_SOURCE_NAME or source.revision is None:
            return
        own = source.records
        out = [
            hearsay.ReportedRemoval(one.id, source.revision, True)
            for one in applied.removed_records
            if one.id not in own
        ]
        out += [
            hearsay.ReportedRemoval(one.id, source.revision, False)
            for one in applied.records
            if one.id in own and own[one.id].endpoint.phase is Phase.DRAINING
        ]
        self.gossiped_removals.handle(now_ms, self._source_advanced(source, tuple(out)))

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        self._actions = []
        match event:
            case SectionsReceived():
                peer = self.failure_detector.peers.get(event.sender)
                if (
                    peer
                    and peer.record.state <= PeerState.SUSPECT
                    and peer.record.address == event.source_address
                ):
                    for kind, data in event.sections:
                        self._receive_section(now_ms, event, kind, data)
            case GossipIntervalElapsed():
                self._answer_count = 0
                self._run_round(now_ms, event)
            case _:
                self._update_quota(now_ms, event)
        return self._actions

    # --- what comes

    def _receive_section(self, now_ms: float, event: SectionsReceived, kind: int, data: bytes) -> None:
        codec, to = self._codec, event.source_address
        if kind == codec.NODE_STATE and (word := codec.decode_node_state(data)):
            self.node_states.handle(now_ms, views.StatesReceived([views.AdvertisedState(*word)]))
        elif kind == codec.QUOTA_REPORT and (counted := codec.decode_quota_report(data)):
            told = shares.QuotaReport(*counted)
            self._update_quota(now_ms, told)
            if told.wants_reply and self.quota:
                self._send_answer(
                    to,
                    codec.QUOTA_REPORT,
                    self._encode_quota_report(self.quota, told.node_index, answer=True),
                )
        elif kind == codec.TREE_DIGESTS:
            self._compare_digests(now_ms, event, TreeDigests(tuple(codec.decode_tree_digests(data))))
        elif kind == codec.LEAF_ENTRIES and (leaf := codec.decode_leaf_entries(data)):
            self._compare_digests(now_ms, event, LeafEntries(leaf[0], tuple(leaf[1])))
        elif kind == codec.REMOVALS and (out := codec.decode_removals(data)):
            said = [
                hearsay.ReportedRemoval(server, revision, bool(gone)) for server, revision, gone in out[2]
            ]
            self.gossiped_removals.handle(
                now_ms, hearsay.RemovalsReceived(event.sender, out[0], out[1], said)
            )
        elif kind == codec.REMOVALS_QUERY and (since := codec.decode_removals_query(data)):
            self._apply_removal_actions(
                self.gossiped_removals.handle(now_ms, hearsay.RemovalsQueried(to, *since))
            )

    def _send_answer(self, to: str, kind: int, data: bytes) -> None:
        self._answer_count += 1
        if self._answer_count <= MAX_ANSWERS_PER_ROUND:
            self._actions.append(SendGossip(to, ((kind, data),)))

    def _compare_digests(
        self, now_ms: float, event: SectionsReceived, told: TreeDigests | LeafEntries
    ) -> None:
        answers, found = self.digest_tree.receive(told)
        for answer in answers:
            if isinstance(answer, LeafEntries):
                self._send_answer(
                    event.source_address,
                    self._codec.LEAF_ENTRIES,
                    self._codec.encode_leaf_entries(answer.tree_index, answer.entries),
                )
            else:
                self._send_answer(
                    event.source_address,
                    self._codec.TREE_DIGESTS,
                    self._codec.encode_tree_digests(answer.digests),
                )
        if (
            isinstance(found, Difference)
            and now_ms - self._last_difference_ms >= DIFFERENCE_SEARCH_INTERVAL_MS
        ):
            self._last_difference_ms = now_ms
            names = ", ".join(f"{name:.60}" for name in found.names[:MAX_LOGGED_NAMES]) or "none"
            self._actions.append(
                WriteLog(f"not as {event.sender} has them: {names}; {found.missing_count} not here")
            )

    def _update_quota(self, now_ms: float, event: shares.Event) -> None:
        if self.quota:
            self._actions += self.quota.handle(now_ms, event)

    def _apply_removal_actions(self, actions: Sequence[hearsay.Action]) -> None:
        codec = self._codec
        for action in actions:
            match action:
                case hearsay.QueryRemovals():
                    since = codec.encode_removals_query(
                        action.source, action.identity_hash, action.since_revision
                    )
                    self._actions.append(SendGossip(action.address, ((codec.REMOVALS_QUERY, since),)))
                case hearsay.SendRemovals():
                    self._send_answer(
                        action.address,
                        codec.REMOVALS,
                        self._encode_removals(action.source, action.identity_hash, action.removals),
                    )
                case hearsay.WriteLog():
                    self._actions.append(WriteLog(action.message))
                case _:
                    self._actions.append(action)

    def _encode_removals(self, source: str, order: int, out: Sequence[hearsay.ReportedRemoval]) -> bytes:
        data = self._codec.encode_removals(
            source, order, [(one.endpoint_id, one.revision, one.is_gone) for one in out]
        )
        assert isinstance(data, bytes)
        return data

    def _fitting_count(self, source: str, out: Sequence[hearsay.ReportedRemoval]) -> int:
        count = 0
        while (
            count < len(out)
            and 2 + len(self._encode_removals(source, 0, out[: count + 1])) <= self._capacity_bytes
        ):
            count += 1
        return count

    def _encode_quota_report(self, its: shares.QuotaAllocator, to: int, answer: bool) -> bytes:
        """An answer asks nothing: two that ask would answer each other for ever."""
        word = its.report_for(to)
        told = (
            word.node_index,
            word.incarnation,
            word.acknowledged_incarnation,
            word.is_certain,
            word.wants_reply and not answer,
            word.newcomers,
        )
        data = self._codec.encode_quota_report(*told)
        assert isinstance(data, bytes)
        return data

    # --- each round

    def _run_round(self, now_ms: float, event: GossipIntervalElapsed) -> None:
        peers = self.failure_detector
        if self.quota is None and not peers.is_asking_for_incarnation:
            self.quota = shares.QuotaAllocator(
                self.node_index, peers.incarnation, self.node_count, self._persisted_quota, now_ms
            )
        here = {
            name: p.record.address for name, p in peers.peers.items() if p.record.state <= PeerState.SUSPECT
        }
        words = [self.node_states.states[name] for name in here if name in self.node_states.states]
        own = [source for source in event.sources if source.name != views.GOSSIP_SOURCE_NAME]
        heard, lost = cuts.classify_peers(peers, now_ms)
        discovery = any(source.state is Known.IN_SYNC for source in own)
        saw = cuts.Evidence(
            heard, lost, discovery, event.backends_by_zone, words, peers.heard_since_stall is not None
        )
        for cut in self.partition_detector.handle(now_ms, saw):
            of = f"{cut.scope.value} {cut.zone}".strip()
            if isinstance(cut, cuts.PartitionBegan):
                self._actions.append(RecordEvent("cut_began", of, (), f"{cut.verdict.value}; {cut.reason}"))
            else:
                self._actions.append(
                    RecordEvent("cut_ended", of, (), f"after {cut.duration_ms / 1000:.1f} s")
                )
        self._advertise(now_ms, event, here, discovery)
        for source in own:
            self.gossiped_removals.handle(now_ms, self._source_advanced(source))
        self._apply_removal_actions(
            self.gossiped_removals.handle(now_ms, hearsay.GossipIntervalElapsed(words, here, event.endpoints))
        )
        self._search_difference(now_ms, here, words)
        for name, peer in peers.peers.items():
            if peer.record.state == PeerState.LEFT and (gone := self.node_states.states.get(name)):
                self._update_quota(now_ms, shares.NodeLeft(gone.node_index, peer.record.incarnation))
        self._update_quota(now_ms, shares.TimeAdvanced())
        if self.quota:
            at = {word.node_index: here[word.name] for word in words}
            for number in self.quota.next_queried(list(at), views.GOSSIP_INTERVAL_MS):
                counted = self._encode_quota_report(self.quota, number, answer=False)
                self._actions.append(SendGossip(at[number], ((self._codec.QUOTA_REPORT, counted),)))

    def _source_advanced(
        self, source: Source, out: tuple[hearsay.ReportedRemoval, ...] = ()
    ) -> hearsay.SourceAdvanced:
        order, revision = views.source_identity_hash(source, self.sources_with_local_agents), source.revision
        in_sync = source.state is Known.IN_SYNC
        return hearsay.SourceAdvanced(source.name, order, -1 if revision is None else revision, in_sync, out)

    def _advertise(
        self, now_ms: float, event: GossipIntervalElapsed, here: Mapping[str, str], discovery: bool
    ) -> None:
        if self.quota is None or self.failure_detector.has_yielded_name:
            return
        zone = next(
            (
                zone
                for of, zone in self.partition_detector.partitions
                if of is cuts.PartitionScope.BACKEND_ZONE
            ),
            "",
        )
        digest = self.digest_tree.digest if views.is_comparable(event.sources) else 0
        flags, zone_cut = 0 if discovery else views.FLAG_NO_DISCOVERY, cuts.zone_id(zone) if zone else 0
        sources = views.advertised_sources(event.sources, self.sources_with_local_agents)
        mine = views.AdvertisedState(
            self.failure_detector.name,
            self.failure_detector.incarnation,
            0,
            self.node_index,
            event.recovery_state,
            flags,
            zone_cut,
            self.quota.divisor,
            digest,
            event.settings_digests,
            event.program_version,
            event.zone,
            sources,
        )
        self.node_states.handle(now_ms, views.OwnStateChanged(mine))
        for action in self.node_states.handle(now_ms, views.GossipIntervalElapsed(here)):
            match action:
                case views.SendStates():
                    sections = (
                        (self._codec.NODE_STATE, self._codec.encode_node_state(word))
                        for word in action.states
                    )
                    self._actions.append(SendGossip(action.address, tuple(sections)))
                case views.DivergenceBegan():
                    of, why = (
                        f"{action.kind} {action.subject}".strip(),
                        f"{action.reason}; {action.node_count} of them",
                    )
                    self._actions.append(RecordEvent("disagreement_began", of, action.node_names, why))
                case views.DivergenceEnded():
                    of, why = (
                        f"{action.kind} {action.subject}".strip(),
                        f"after {action.duration_ms / 1000:.1f} s",
                    )
                    self._actions.append(RecordEvent("disagreement_ended", of, (), why))

    def _search_difference(
        self, now_ms: float, here: Mapping[str, str], words: Sequence[views.AdvertisedState]
    ) -> None:
        """While lists differ at the same revisions: one of another digest is asked where."""
        mine = self.node_states.states.get(self.failure_detector.name)
        if (
            ("list", "") not in self.node_states.divergence_hysteresis.active_since_ms
            or now_ms - self._last_search_ms < DIFFERENCE_SEARCH_INTERVAL_MS
            or not mine
        ):
            return
        others = [
            word.name
            for word in words
            if word.endpoints_digest and word.endpoints_digest != mine.endpoints_digest
        ]
        if others:
            self._last_search_ms = now_ms
            data = self._codec.encode_tree_digests(self.digest_tree.start_search().digests)
            self._actions.append(
                SendGossip(here[self._random.choice(others)], ((self._codec.TREE_DIGESTS, data),))
            )
