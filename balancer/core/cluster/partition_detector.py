"""What this node is cut off from, what tells one cut from another, and what each means.

Silence alone tells a cut from an end only where somebody else still hears: so what the peers that are heard
say of discovery and of the servers decides between `CUT` (they reach it: the path is at fault) and `AWAY`
(they do not either). Where nobody is heard, or the peers themselves are silent, it is `UNKNOWN`.

`MEANS` says what each means. Serving goes on in all, and the share of what is divided among the nodes
(`core/cluster/quota_allocation`) rises in none. Begins and ends are steady: what comes and goes each
second is one cut.
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

PARTITION_BEGIN_MS, PARTITION_END_MS = 500.0, 1_500.0
LOST_AFTER_SUSPECT_MS = 1_500.0  # a peer suspect for so long is lost: with many nodes the failure comes later
SILENT_ZONE_RATIO, SILENT_ZONE_MIN_BACKENDS = 0.8, 2  # of a zone's servers, for the zone to be silent
MAX_REASON_NAMES = 8  # names in a text
MAX_ZONES = 64  # looked at


class PartitionScope(Enum):
    """What a node is cut off from. ALL comes beside peers, discovery and all servers at once."""

    SOME_PEERS = "some peers"
    ALL_PEERS = "peers"
    DISCOVERY = "discovery"
    BACKEND_ZONE = "a zone of servers"
    ALL_BACKENDS = "all servers"
    EVERYTHING = "all"


class Verdict(Enum):
    """What the others' words make of it."""

    PARTITIONED = "cut off: others reach it"
    TARGET_DOWN = "away: no peer reaches it either"
    UNKNOWN = "cut off or away: nobody is there to ask"


class LeasePolicy(Enum):
    """What becomes of a role held, from the least strict on."""

    KEEP = "goes on"
    REQUIRE_MAJORITY = "goes on where more than half of those known are here"
    RELEASE = "ends"


class PartitionConsequences(NamedTuple):
    """What follows."""

    lease_policy: LeasePolicy
    accepts_gossiped_removals: (
        bool  # drains and removals are taken from peers (`core/cluster/gossiped_removals`)
    )


NOT_PARTITIONED = PartitionConsequences(LeasePolicy.KEEP, False)
CONSEQUENCES = {
    PartitionScope.SOME_PEERS: PartitionConsequences(LeasePolicy.REQUIRE_MAJORITY, False),
    PartitionScope.ALL_PEERS: PartitionConsequences(LeasePolicy.RELEASE, False),
    PartitionScope.DISCOVERY: PartitionConsequences(LeasePolicy.KEEP, True),
    PartitionScope.BACKEND_ZONE: PartitionConsequences(LeasePolicy.KEEP, False),
    PartitionScope.ALL_BACKENDS: PartitionConsequences(LeasePolicy.RELEASE, False),
    PartitionScope.EVERYTHING: PartitionConsequences(LeasePolicy.RELEASE, False),
}
LEASE_POLICIES_BY_STRICTNESS = tuple(LeasePolicy)


@dataclass(slots=True, frozen=True)
class Evidence:
    """The evidence, told at each round.

    `heard` peers are alive; `lost` failed or are suspect and did not say that they leave. `discovery`: a
    source is in sync. `servers`: by zone, how many are up and how many of these are silent to this node.
    `words`: of the peers heard. `doubt`: this node stood still and has not heard others since.
    """

    reachable_peer_count: int
    lost_peers: tuple[str, ...]
    is_discovery_in_sync: bool
    backends_by_zone: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    peer_states: Sequence[AdvertisedState] = ()
    is_in_doubt: bool = False


@dataclass(slots=True, frozen=True)
class PartitionBegan:
    scope: PartitionScope
    zone: str
    verdict: Verdict
    reason: str


@dataclass(slots=True, frozen=True)
class PartitionHealed:
    scope: PartitionScope
    zone: str
    duration_ms: float


PartitionKey = tuple[PartitionScope, str]


def zone_id(zone: str) -> int:
    """How a zone that is silent is named in a word; never 0."""
    return zlib.crc32(zone.encode()) % 65_535 + 1


class PartitionDetector:
    """`cut`: what has begun, with its verdict as of the last evidence."""

    def __init__(self) -> None:
        self.partitions: dict[PartitionKey, tuple[Verdict, str]] = {}
        self.has_majority = True
        self._hysteresis: Hysteresis[PartitionKey] = Hysteresis(PARTITION_BEGIN_MS, PARTITION_END_MS)

    def __repr__(self) -> str:
        return f"<Cuts {', '.join(f'{of.value} {zone}'.strip() for of, zone in self.partitions) or 'none'}>"

    @property
    def consequences(self) -> PartitionConsequences:
        """Of all that has begun: the strictest for roles; drains only where a peer is heard."""
        rows = [CONSEQUENCES[of] for of, _ in self.partitions] or [NOT_PARTITIONED]
        deaf = any(
            (of, "") in self.partitions for of in (PartitionScope.ALL_PEERS, PartitionScope.EVERYTHING)
        )
        return PartitionConsequences(
            max((row.lease_policy for row in rows), key=LEASE_POLICIES_BY_STRICTNESS.index),
            any(row.accepts_gossiped_removals for row in rows) and not deaf,
        )

    @property
    def may_hold_leases(self) -> bool:
        """Whether a role that is held may go on; leases ask before each act."""
        roles = self.consequences.lease_policy
        return roles is LeasePolicy.KEEP or (roles is LeasePolicy.REQUIRE_MAJORITY and self.has_majority)

    def handle(self, now_ms: float, saw: Evidence) -> list[PartitionBegan | PartitionHealed]:
        """What begins or ends by this evidence."""
        if saw.is_in_doubt:
            return []
        self.has_majority = 2 * (saw.reachable_peer_count + 1) > saw.reachable_peer_count + 1 + len(
            saw.lost_peers
        )
        found = _find_partitions(saw)
        since = dict(self._hysteresis.active_since_ms)
        began, ended = self._hysteresis.update(now_ms, found)
        for key in ended:
            del self.partitions[key]
        for key in found.keys() & self._hysteresis.active_since_ms.keys():
            self.partitions[key] = found[key]
        out: list[PartitionBegan | PartitionHealed] = [
            PartitionHealed(*key, now_ms - since[key]) for key in ended
        ]
        return out + [PartitionBegan(*key, *found[key]) for key in began]


def classify_peers(peers: FailureDetector, now_ms: float) -> tuple[int, tuple[str, ...]]:
    """How many peers are heard, and who is lost: failed, or suspect for long; who left is neither."""
    lost = tuple(
        name
        for name, peer in peers.peers.items()
        if peer.record.state == PeerState.FAILED
        or (peer.record.state == PeerState.SUSPECT and now_ms - peer.state_since_ms >= LOST_AFTER_SUSPECT_MS)
    )
    left = sum(peer.record.state == PeerState.LEFT for peer in peers.peers.values())
    return len(peers.peers) - left - len(lost), lost


def _find_partitions(saw: Evidence) -> dict[PartitionKey, tuple[Verdict, str]]:
    found: dict[PartitionKey, tuple[Verdict, str]] = {}
    if saw.lost_peers:
        names = ", ".join(saw.lost_peers[:MAX_REASON_NAMES]) + (
            " and others" if len(saw.lost_peers) > MAX_REASON_NAMES else ""
        )
        all_of = len(saw.lost_peers) + saw.reachable_peer_count
        why = f"{len(saw.lost_peers)} of {all_of} peers silent ({names}): ended, or cut off from here"
        found[PartitionScope.SOME_PEERS if saw.reachable_peer_count else PartitionScope.ALL_PEERS, ""] = (
            Verdict.UNKNOWN,
            why,
        )
    if not saw.is_discovery_in_sync:
        reach = sum(not word.flags & FLAG_NO_DISCOVERY for word in saw.peer_states)
        found[PartitionScope.DISCOVERY, ""] = _judge_reachability(
            reach, len(saw.peer_states), "no source in sync"
        )
    silent = [
        zone
        for zone, (up, quiet) in sorted(saw.backends_by_zone.items())[:MAX_ZONES]
        if up >= SILENT_ZONE_MIN_BACKENDS and quiet >= SILENT_ZONE_RATIO * up
    ]
    if silent and len(silent) == sum(up > 0 for up, _ in saw.backends_by_zone.values()):
        reach = sum(not word.partitioned_zone_id for word in saw.peer_states)
        found[PartitionScope.ALL_BACKENDS, ""] = _judge_reachability(
            reach, len(saw.peer_states), "nearly all servers silent"
        )
    else:
        for zone in silent:
            reach = sum(word.partitioned_zone_id != zone_id(zone) for word in saw.peer_states)
            text = f"{saw.backends_by_zone[zone][1]} of {saw.backends_by_zone[zone][0]} servers silent"
            found[PartitionScope.BACKEND_ZONE, zone] = _judge_reachability(reach, len(saw.peer_states), text)
    parts = [
        (of, "") for of in (PartitionScope.ALL_PEERS, PartitionScope.DISCOVERY, PartitionScope.ALL_BACKENDS)
    ]
    if all(key in found for key in parts):
        found[PartitionScope.EVERYTHING, ""] = Verdict.UNKNOWN, "; ".join(found[key][1] for key in parts)
    return found


def _judge_reachability(reach: int, asked: int, what: str) -> tuple[Verdict, str]:
    if not asked:
        return Verdict.UNKNOWN, f"{what}; no peer to ask"
    verdict = Verdict.PARTITIONED if reach else Verdict.TARGET_DOWN
    return verdict, f"{what}; {reach} of {asked} peers reach it"
