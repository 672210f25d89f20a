"""What `balancer peers` says: who is there, in which state, since when, what each goes by, who disagrees on
what, what this node is cut off from, what it has taken from others.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice
from typing import Any

from balancer.core.cluster.failure_detector import Peers, State
from balancer.core.cluster.gossip_coordinator import Together
from balancer.core.cluster.node_state import BEHIND, NO_DISCOVERY, Goes
from balancer.core.cluster.quota_allocation import Nodes
from balancer.core.discovery.endpoint_merger import State as Known
from balancer.core.recovery import State as Back

SHOWN = 64  # servers that are out by others' word
BACK, KNOWN = ([one.value for one in kind] for kind in (Back, Known))


def report(peers: Peers | None, name: str, told: Mapping[str, Any] | None = None) -> dict[str, Any]:
    """All others that are known, by name; `peers` is None while this node does not speak yet, and `told`
    (`together`) while it has heard no words.
    """
    rows = [] if peers is None else sorted(peers.peers.items())
    by = {} if told is None else told["goes_by"]
    return {
        "self": name,
        "address": None if peers is None else peers.address,
        "incarnation": 0 if peers is None else peers.incarnation,
        "speaks": peers is not None and not (peers.asking or peers.yielded or peers.left),
        "doubts": peers is not None and peers.doubt is not None,
        "doubled": None if peers is None else peers.doubled or None,
        "health": 0 if peers is None else peers.health,
        "goes_by": by.get(name, {}),
        "peers": [
            {
                "name": who,
                "address": peer.word.address,
                "state": State(peer.word.state).name.lower(),
                "since": round(peer.since_ms),
                "incarnation": peer.word.incarnation,
                "goes_by": by.get(who, {}),
            }
            for who, peer in rows
        ],
        **{key: [] if told is None else told[key] for key in ("cut", "disagreements", "taken")},
        "nodes": None if told is None else told["nodes"],
    }


def together(decider: Together, nodes: Nodes | None) -> dict[str, Any]:
    """What `report` needs of the other nodes' words. `nodes` is what would be divided by."""
    views, cuts, taken = decider.views, decider.cuts.cut, decider.hearsay.taken
    odd = views.disagreements
    return {
        "goes_by": {name: goes(word) for name, word in views.words.items()},
        "cut": [
            {"of": of.value, "zone": zone, "verdict": verdict.value, "why": why}
            for (of, zone), (verdict, why) in cuts.items()
        ],
        "disagreements": [  # one without names is over, and not yet for long enough
            {
                "what": key[0],
                "of": key[1],
                "names": sorted(odd[key].names) if key in odd else [],
                "why": odd[key].why if key in odd else "not seen any more",
            }
            for key in views.steady.on
        ],
        "taken": [
            {"source": of, "server": server, "revision": out.revision, "gone": out.gone}
            for (of, server), out in islice(taken.items(), SHOWN)
        ],
        "nodes": None if nodes is None else {"count": nodes.count, "takes": nodes.takes},
    }


def goes(word: Goes) -> dict[str, Any]:
    """What a node goes by; revisions by source."""
    return {
        "number": word.number,
        "state": _named(BACK, word.state),
        "sources": {
            of: {"revision": revision, "state": _named(KNOWN, state)}
            for of, _, revision, state in word.sources
        },
        "list": f"{word.digest:08x}" if word.digest else None,
        "settings": f"{word.files[0]:08x}",
        "operators": f"{word.files[1]:08x}",
        "version": word.version,
        "zone": word.zone,
        "nodes": word.nodes,
        "behind": bool(word.flags & BEHIND),
        "discovery": not word.flags & NO_DISCOVERY,
    }


def _named(names: list[str], place: int) -> str:
    """A later version may have more."""
    return names[place] if place < len(names) else str(place)


def figures(peers: Peers | None) -> dict[str, float]:
    """How many are in each state."""
    out = {state.name.lower(): 0.0 for state in State}
    for peer in () if peers is None else peers.peers.values():
        out[State(peer.word.state).name.lower()] += 1
    return out


def words(text: str) -> str:
    """Names from others without what a terminal would obey."""
    return "".join(c if c.isprintable() else "?" for c in text)
