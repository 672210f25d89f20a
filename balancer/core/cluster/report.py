"""What `balancer peers` says: who is there, in which state, since when, what each goes by, who disagrees on
what, what this node is cut off from, what it has taken from others.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice
from typing import Any

from balancer.core.cluster.failure_detector.detector import FailureDetector
from balancer.core.cluster.failure_detector.member_records import PeerState
from balancer.core.cluster.gossip_coordinator import GossipCoordinator
from balancer.core.cluster.node_state import FLAG_BEHIND, FLAG_NO_DISCOVERY, AdvertisedState
from balancer.core.cluster.quota_allocation import SetQuota
from balancer.core.discovery.source_state import SourceState as Known
from balancer.core.recovery import RecoveryState as Back

MAX_REPORTED_REMOVALS = 64  # servers that are out by others' word
RECOVERY_STATES, SOURCE_STATES = ([one.value for one in kind] for kind in (Back, Known))


def peers_report(
    peers: FailureDetector | None, name: str, gossiped: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """All others that are known, by name; `peers` is None while this node does not speak yet, and `told`
    (`together`) while it has heard no words.
    """
    peers_by_name = [] if peers is None else sorted(peers.peers.items())
    states_by_name = {} if gossiped is None else gossiped["goes_by"]
    return {
        "self": name,
        "address": None if peers is None else peers.address,
        "incarnation": 0 if peers is None else peers.incarnation,
        "speaks": peers is not None
        and not (peers.is_asking_for_incarnation or peers.has_yielded_name or peers.has_left),
        "doubts": peers is not None and peers.heard_since_stall is not None,
        "doubled": None if peers is None else peers.conflicting_address or None,
        "health": 0 if peers is None else peers.local_health,
        "goes_by": states_by_name.get(name, {}),
        "peers": [
            {
                "name": who,
                "address": peer.record.address,
                "state": PeerState(peer.record.state).name.lower(),
                "since": round(peer.state_since_ms),
                "incarnation": peer.record.incarnation,
                "goes_by": states_by_name.get(who, {}),
            }
            for who, peer in peers_by_name
        ],
        **{key: [] if gossiped is None else gossiped[key] for key in ("cut", "disagreements", "taken")},
        "nodes": None if gossiped is None else gossiped["nodes"],
    }


def gossip_report(coordinator: GossipCoordinator, nodes: SetQuota | None) -> dict[str, Any]:
    """What `report` needs of the other nodes' words. `nodes` is what would be divided by."""
    node_states, cuts, taken = (
        coordinator.node_states,
        coordinator.partition_detector.partitions,
        coordinator.gossiped_removals.accepted,
    )
    divergences = node_states.divergences
    return {
        "goes_by": {name: node_state_report(word) for name, word in node_states.states.items()},
        "cut": [
            {"of": of.value, "zone": zone, "verdict": verdict.value, "why": why}
            for (of, zone), (verdict, why) in cuts.items()
        ],
        "disagreements": [  # one without names is over, and not yet for long enough
            {
                "what": key[0],
                "of": key[1],
                "names": sorted(divergences[key].node_names) if key in divergences else [],
                "why": divergences[key].reason if key in divergences else "not seen any more",
            }
            for key in node_states.divergence_hysteresis.active_since_ms
        ],
        "taken": [
            {"source": of, "server": server, "revision": out.revision, "gone": out.is_gone}
            for (of, server), out in islice(taken.items(), MAX_REPORTED_REMOVALS)
        ],
        "nodes": None if nodes is None else {"count": nodes.divisor, "takes": nodes.has_quota},
    }


def node_state_report(state: AdvertisedState) -> dict[str, Any]:
    """What a node goes by; revisions by source."""
    return {
        "number": state.node_index,
        "state": _name_at(RECOVERY_STATES, state.recovery_state),
        "sources": {
            of: {"revision": revision, "state": _name_at(SOURCE_STATES, state)}
            for of, _, revision, state in state.sources
        },
        "list": f"{state.endpoints_digest:08x}" if state.endpoints_digest else None,
        "settings": f"{state.settings_digests[0]:08x}",
        "operators": f"{state.settings_digests[1]:08x}",
        "version": state.program_version,
        "zone": state.zone,
        "nodes": state.quota_divisor,
        "behind": bool(state.flags & FLAG_BEHIND),
        "discovery": not state.flags & FLAG_NO_DISCOVERY,
    }


def _name_at(names: list[str], index: int) -> str:
    """A later version may have more."""
    return names[index] if index < len(names) else str(index)


def count_by_state(peers: FailureDetector | None) -> dict[str, float]:
    """How many are in each state."""
    counts = {state.name.lower(): 0.0 for state in PeerState}
    for peer in () if peers is None else peers.peers.values():
        counts[PeerState(peer.record.state).name.lower()] += 1
    return counts


def printable(text: str) -> str:
    """Names from others without what a terminal would obey."""
    return "".join(c if c.isprintable() else "?" for c in text)
