"""Builds the report of the cluster that answers `balancer peers`.

Operators' programs read the keys and values of the report, so they keep these names: `goes_by` holds the
advertised node state, `cut` the network partitions, `disagreements` the configuration divergences, `taken`
the accepted removals, and `nodes` the quota.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice
from typing import Any, TypedDict

from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.cluster.failure_detector.members import Peer
from balancer.core.cluster.gossip_coordinator import GossipCoordinator
from balancer.core.cluster.node_state import FLAG_BEHIND, FLAG_NO_DISCOVERY, AdvertisedState
from balancer.core.cluster.quota_allocation import SetQuota
from balancer.core.discovery.source_state import SourceState
from balancer.core.recovery import RecoveryState

MAX_REPORTED_REMOVALS = 64  # more would not fit on an operator's screen
# States are gossiped as indices into these lists.
RECOVERY_STATE_NAMES = [state.value for state in RecoveryState]
SOURCE_STATE_NAMES = [state.value for state in SourceState]


class PeerReport(TypedDict):
    """One peer; `since` is the time in ms since when it has been in its state."""

    name: str
    address: str
    state: str
    since: int
    incarnation: int
    goes_by: Mapping[str, Any]


class PartitionReport(TypedDict):
    """A partition of this node from other nodes, discovery or backends."""

    of: str
    zone: str
    verdict: str
    why: str


class DivergenceReport(TypedDict):
    """A configuration divergence; `names` are those of the nodes in the minority."""

    what: str
    of: str
    names: list[str]
    why: str


class RemovalReport(TypedDict):
    """An endpoint that is drained or removed because peers reported it by gossip."""

    source: str
    server: str
    revision: int
    gone: bool


def peers_report(
    detector: FailureDetector | None, name: str, gossiped: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """Returns the report of this node and of all known peers, sorted by name.

    `detector` is None until the failure detector has started. `gossiped` is the result of `gossip_report`,
    or None while this node does not take part in the gossip.
    """
    states_by_name = {} if gossiped is None else gossiped["goes_by"]
    peers = {} if detector is None else detector.peers
    return {
        "self": name,
        **_own_report(detector),
        "goes_by": states_by_name.get(name, {}),
        "peers": [
            _peer_report(peer_name, peer, states_by_name.get(peer_name, {}))
            for peer_name, peer in sorted(peers.items())
        ],
        **{key: [] if gossiped is None else gossiped[key] for key in ("cut", "disagreements", "taken")},
        "nodes": None if gossiped is None else gossiped["nodes"],
    }


def _own_report(detector: FailureDetector | None) -> dict[str, Any]:
    if detector is None:
        return {
            "address": None,
            "incarnation": 0,
            "speaks": False,
            "doubts": False,
            "doubled": None,
            "health": 0,
        }
    return {
        "address": detector.address,
        "incarnation": detector.incarnation,
        "speaks": not (detector.own_node.is_silent or detector.has_left),
        "doubts": detector.heard_since_stall is not None,
        "doubled": detector.conflicting_address or None,
        "health": detector.local_health,
    }


def _peer_report(name: str, peer: Peer, state: Mapping[str, Any]) -> PeerReport:
    return {
        "name": name,
        "address": peer.record.address,
        "state": _state_name(peer),
        "since": round(peer.state_since_ms),
        "incarnation": peer.record.incarnation,
        "goes_by": state,
    }


def gossip_report(coordinator: GossipCoordinator, quota: SetQuota | None) -> dict[str, Any]:
    """Returns the gossiped data for `peers_report`; `quota` holds the divisor of global limits."""
    states = coordinator.node_states.states
    return {
        "goes_by": {name: node_state_report(state) for name, state in states.items()},
        "cut": _partition_reports(coordinator),
        "disagreements": _divergence_reports(coordinator),
        "taken": _removal_reports(coordinator),
        "nodes": None if quota is None else {"count": quota.divisor, "takes": quota.has_quota},
    }


def _partition_reports(coordinator: GossipCoordinator) -> list[PartitionReport]:
    return [
        {"of": scope.value, "zone": zone, "verdict": verdict.value, "why": reason}
        for (scope, zone), (verdict, reason) in coordinator.partition_detector.partitions.items()
    ]


def _divergence_reports(coordinator: GossipCoordinator) -> list[DivergenceReport]:
    divergences = coordinator.node_states.divergences
    reports: list[DivergenceReport] = []
    for key in coordinator.node_states.divergence_hysteresis.active_since_ms:
        kind, subject = key
        divergence = divergences.get(key)
        if divergence is None:  # no longer observed, but not yet long enough to end
            names, reason = [], "no longer observed"
        else:
            names, reason = sorted(divergence.node_names), divergence.reason
        reports.append({"what": kind, "of": subject, "names": names, "why": reason})
    return reports


def _removal_reports(coordinator: GossipCoordinator) -> list[RemovalReport]:
    accepted = coordinator.gossiped_removals.accepted
    return [
        {"source": source, "server": endpoint, "revision": removal.revision, "gone": removal.is_gone}
        for (source, endpoint), removal in islice(accepted.items(), MAX_REPORTED_REMOVALS)
    ]


def node_state_report(state: AdvertisedState) -> dict[str, Any]:
    """Returns a node's advertised state, with revisions by source and digests in hexadecimal."""
    settings_digest, operators_digest = state.settings_digests
    return {
        "number": state.node_index,
        "state": _name_at(RECOVERY_STATE_NAMES, state.recovery_state),
        "sources": {
            source: {"revision": revision, "state": _name_at(SOURCE_STATE_NAMES, source_state)}
            for source, _, revision, source_state in state.sources
        },
        "list": f"{state.endpoints_digest:08x}" if state.endpoints_digest else None,
        "settings": f"{settings_digest:08x}",
        "operators": f"{operators_digest:08x}",
        "version": state.program_version,
        "zone": state.zone,
        "nodes": state.quota_divisor,
        "behind": bool(state.flags & FLAG_BEHIND),
        "discovery": not state.flags & FLAG_NO_DISCOVERY,
    }


def _name_at(names: list[str], index: int) -> str:
    """Returns the name of a gossiped state, or its number if only a later program version knows it."""
    return names[index] if index < len(names) else str(index)


def _state_name(peer: Peer) -> str:
    return PeerState(peer.record.state).name.lower()


def count_by_state(detector: FailureDetector | None) -> dict[str, float]:
    """Returns the number of peers in each state."""
    counts = {state.name.lower(): 0.0 for state in PeerState}
    if detector is not None:
        for peer in detector.peers.values():
            counts[_state_name(peer)] += 1
    return counts


def printable(text: str) -> str:
    """Replaces unprintable characters in text from other nodes, which a terminal could interpret."""
    return "".join(character if character.isprintable() else "?" for character in text)
