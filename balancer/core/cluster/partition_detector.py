"""Detects network partitions from targets that this node cannot reach and the states of reachable peers.

Silence alone does not distinguish a partition from a failure, but the states that reachable peers advertise
do. If peers reach discovery or a zone that this node cannot reach, the network path is at fault
(`Verdict.PARTITIONED`); otherwise the target is (`TARGET_DOWN`). If no peers are reachable, or if the peers
themselves are silent, the verdict is `UNKNOWN`.

`CONSEQUENCES` lists the effect of each scope on leases and on gossiped removals. The node continues to serve
requests in every scope, and no scope raises a quota (`quota_allocation`). Hysteresis treats an intermittent
partition as a single one.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.cluster.node_state import FLAG_NO_DISCOVERY, AdvertisedState
from balancer.core.hysteresis import Hysteresis

PARTITION_BEGIN_MS = 500.0
PARTITION_END_MS = 1_500.0
LOST_AFTER_SUSPECT_MS = 1_500.0  # shorter than the time from suspicion to failure in large clusters
SILENT_ZONE_RATIO = 0.8  # of a zone's backends, for the zone to count as silent
SILENT_ZONE_MIN_BACKENDS = 2  # one silent backend is no evidence against its zone
MAX_REASON_NAMES = 8  # peers listed in a reason
MAX_ZONES = 64  # zones examined, in order of their names


class PartitionScope(Enum):
    """The targets that a node is partitioned from.

    EVERYTHING is reported in addition to ALL_PEERS, DISCOVERY and ALL_BACKENDS when all three hold.
    """

    SOME_PEERS = "some peers"
    ALL_PEERS = "peers"
    DISCOVERY = "discovery"
    BACKEND_ZONE = "a zone of servers"
    ALL_BACKENDS = "all servers"
    EVERYTHING = "all"


class Verdict(Enum):
    """Whether the network path or the target is at fault, according to the states of the peers."""

    PARTITIONED = "cut off: others reach it"
    TARGET_DOWN = "away: no peer reaches it either"
    UNKNOWN = "cut off or away: nobody is there to ask"


class LeasePolicy(Enum):
    """The effect of a partition on a lease or leadership that this node holds, in order of strictness."""

    KEEP = "goes on"
    REQUIRE_MAJORITY = "goes on where more than half of those known are here"
    RELEASE = "ends"


LEASE_POLICIES_BY_STRICTNESS = tuple(LeasePolicy)


class PartitionConsequences(NamedTuple):
    """The effects of a partition on this node."""

    lease_policy: LeasePolicy
    accepts_gossiped_removals: bool  # drains and removals that peers report (`gossiped_removals`)


NOT_PARTITIONED = PartitionConsequences(LeasePolicy.KEEP, False)
CONSEQUENCES = {
    PartitionScope.SOME_PEERS: PartitionConsequences(LeasePolicy.REQUIRE_MAJORITY, False),
    PartitionScope.ALL_PEERS: PartitionConsequences(LeasePolicy.RELEASE, False),
    PartitionScope.DISCOVERY: PartitionConsequences(LeasePolicy.KEEP, True),
    PartitionScope.BACKEND_ZONE: PartitionConsequences(LeasePolicy.KEEP, False),
    PartitionScope.ALL_BACKENDS: PartitionConsequences(LeasePolicy.RELEASE, False),
    PartitionScope.EVERYTHING: PartitionConsequences(LeasePolicy.RELEASE, False),
}


class BackendCounts(NamedTuple):
    """The number of a zone's backends that discovery lists as up, and how many of them do not respond."""

    up: int
    silent: int


class PeerReachability(NamedTuple):
    """The number of reachable peers, and the names of the lost ones."""

    reachable_count: int
    lost: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Evidence:
    """The observations of this node in one gossip interval.

    `is_discovery_in_sync` is set if any own source is in sync. `peer_states` are those of the reachable
    peers. `is_in_doubt` is set after this node has stalled and until it has heard from its peers again;
    until then, silence is no evidence.
    """

    reachable_peer_count: int
    lost_peers: tuple[str, ...]
    is_discovery_in_sync: bool
    backends_by_zone: Mapping[str, BackendCounts] = field(default_factory=dict)
    peer_states: Sequence[AdvertisedState] = ()
    is_in_doubt: bool = False


@dataclass(slots=True, frozen=True)
class PartitionBegan:
    """A partition has held for PARTITION_BEGIN_MS."""

    scope: PartitionScope
    zone: str
    verdict: Verdict
    reason: str


@dataclass(slots=True, frozen=True)
class PartitionHealed:
    """A partition has not been observed for PARTITION_END_MS."""

    scope: PartitionScope
    zone: str
    duration_ms: float


class PartitionKey(NamedTuple):
    """Identifies a partition; `zone` is empty except for BACKEND_ZONE."""

    scope: PartitionScope
    zone: str = ""


class Finding(NamedTuple):
    """The verdict on a partition by the latest evidence, and its reason."""

    verdict: Verdict
    reason: str


def zone_id(zone: str) -> int:
    """Returns the 16-bit number by which a node advertises a zone that it cannot reach; never 0."""
    return zlib.crc32(zone.encode()) % 65_535 + 1


class PartitionDetector:
    """Tracks partitions; `partitions` maps those that have begun and not healed to their latest finding."""

    def __init__(self) -> None:
        self.partitions: dict[PartitionKey, Finding] = {}
        self.has_majority = True
        self._hysteresis: Hysteresis[PartitionKey] = Hysteresis(PARTITION_BEGIN_MS, PARTITION_END_MS)

    def __repr__(self) -> str:
        names = ", ".join(f"{scope.value} {zone}".strip() for scope, zone in self.partitions)
        return f"<PartitionDetector {names or 'none'}>"

    @property
    def consequences(self) -> PartitionConsequences:
        """The combined effects of all partitions.

        The strictest lease policy applies, and gossiped removals are accepted only if a peer is reachable.
        """
        all_consequences = [CONSEQUENCES[scope] for scope, _ in self.partitions] or [NOT_PARTITIONED]
        is_isolated = (
            PartitionKey(PartitionScope.ALL_PEERS) in self.partitions
            or PartitionKey(PartitionScope.EVERYTHING) in self.partitions
        )
        return PartitionConsequences(
            max((item.lease_policy for item in all_consequences), key=LEASE_POLICIES_BY_STRICTNESS.index),
            any(item.accepts_gossiped_removals for item in all_consequences) and not is_isolated,
        )

    @property
    def may_hold_leases(self) -> bool:
        """Whether this node may remain leader or lease holder; callers check it before each action."""
        match self.consequences.lease_policy:
            case LeasePolicy.KEEP:
                return True
            case LeasePolicy.REQUIRE_MAJORITY:
                return self.has_majority
            case LeasePolicy.RELEASE:
                return False

    def handle(self, now_ms: float, evidence: Evidence) -> list[PartitionBegan | PartitionHealed]:
        """Updates the partitions; returns those that healed, then those that began."""
        if evidence.is_in_doubt:
            return []
        reachable_node_count = evidence.reachable_peer_count + 1
        self.has_majority = 2 * reachable_node_count > reachable_node_count + len(evidence.lost_peers)
        found = _find_partitions(evidence)
        active_since_ms = dict(self._hysteresis.active_since_ms)
        began, ended = self._hysteresis.update(now_ms, found)
        for key in ended:
            del self.partitions[key]
        for key in found.keys() & self._hysteresis.active_since_ms.keys():
            self.partitions[key] = found[key]
        healed = [PartitionHealed(*key, now_ms - active_since_ms[key]) for key in ended]
        return [*healed, *(PartitionBegan(*key, *found[key]) for key in began)]


def classify_peers(detector: FailureDetector, now_ms: float) -> PeerReachability:
    """Classifies peers as lost if they failed or were suspect for LOST_AFTER_SUSPECT_MS.

    Peers that left count neither as reachable nor as lost.
    """
    lost = tuple(
        name
        for name, peer in detector.peers.items()
        if peer.record.state == PeerState.FAILED
        or (peer.record.state == PeerState.SUSPECT and now_ms - peer.state_since_ms >= LOST_AFTER_SUSPECT_MS)
    )
    left_count = sum(peer.record.state == PeerState.LEFT for peer in detector.peers.values())
    return PeerReachability(len(detector.peers) - left_count - len(lost), lost)


def _find_partitions(evidence: Evidence) -> dict[PartitionKey, Finding]:
    found: dict[PartitionKey, Finding] = {}
    if evidence.lost_peers:
        scope = PartitionScope.SOME_PEERS if evidence.reachable_peer_count else PartitionScope.ALL_PEERS
        found[PartitionKey(scope)] = Finding(Verdict.UNKNOWN, _lost_peers_reason(evidence))
    if not evidence.is_discovery_in_sync:
        reaching_count = sum(not state.flags & FLAG_NO_DISCOVERY for state in evidence.peer_states)
        found[PartitionKey(PartitionScope.DISCOVERY)] = _finding(
            reaching_count, len(evidence.peer_states), "no source in sync"
        )
    found |= _find_backend_partitions(evidence)
    component_keys = [
        PartitionKey(scope)
        for scope in (PartitionScope.ALL_PEERS, PartitionScope.DISCOVERY, PartitionScope.ALL_BACKENDS)
    ]
    if all(key in found for key in component_keys):
        reason = "; ".join(found[key].reason for key in component_keys)
        found[PartitionKey(PartitionScope.EVERYTHING)] = Finding(Verdict.UNKNOWN, reason)
    return found


def _find_backend_partitions(evidence: Evidence) -> dict[PartitionKey, Finding]:
    """Returns ALL_BACKENDS if every zone with backends is silent, otherwise each silent zone."""
    peer_count = len(evidence.peer_states)
    silent_zones = [
        zone
        for zone, counts in sorted(evidence.backends_by_zone.items())[:MAX_ZONES]
        if counts.up >= SILENT_ZONE_MIN_BACKENDS and counts.silent >= SILENT_ZONE_RATIO * counts.up
    ]
    zone_count = sum(counts.up > 0 for counts in evidence.backends_by_zone.values())
    if silent_zones and len(silent_zones) == zone_count:
        reaching_count = sum(not state.partitioned_zone_id for state in evidence.peer_states)
        finding = _finding(reaching_count, peer_count, "nearly all servers silent")
        return {PartitionKey(PartitionScope.ALL_BACKENDS): finding}
    found = {}
    for zone in silent_zones:
        reaching_count = sum(state.partitioned_zone_id != zone_id(zone) for state in evidence.peer_states)
        up, silent = evidence.backends_by_zone[zone]
        found[PartitionKey(PartitionScope.BACKEND_ZONE, zone)] = _finding(
            reaching_count, peer_count, f"{silent} of {up} servers silent"
        )
    return found


def _lost_peers_reason(evidence: Evidence) -> str:
    lost = evidence.lost_peers
    names = ", ".join(lost[:MAX_REASON_NAMES]) + (" and others" if len(lost) > MAX_REASON_NAMES else "")
    peer_count = len(lost) + evidence.reachable_peer_count
    return f"{len(lost)} of {peer_count} peers silent ({names}): failed, or unreachable from here"


def _finding(reaching_count: int, peer_count: int, observation: str) -> Finding:
    if not peer_count:
        return Finding(Verdict.UNKNOWN, f"{observation}; no peer to ask")
    verdict = Verdict.PARTITIONED if reaching_count else Verdict.TARGET_DOWN
    return Finding(verdict, f"{observation}; {reaching_count} of {peer_count} peers reach it")
