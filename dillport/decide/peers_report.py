"""What `dillport peers` says of `Peers`: who is there, in which state, since when, by whose word it goes.

What each peer goes by, what this node is cut off from and where nodes disagree is told by `goes_by`, `cut`
and `disagreements`, which are empty until somebody decides on that.
"""

from __future__ import annotations

from typing import Any

from dillport.decide.peers import Peers, State


def report(peers: Peers | None, name: str) -> dict[str, Any]:
    """All others that are known, by name; `peers` is None while this node does not speak yet."""
    rows = [] if peers is None else sorted(peers.peers.items())
    return {
        "self": name,
        "address": None if peers is None else peers.address,
        "incarnation": 0 if peers is None else peers.incarnation,
        "speaks": peers is not None and not (peers.asking or peers.yielded or peers.left),
        "doubts": peers is not None and peers.doubt is not None,
        "doubled": None if peers is None else peers.doubled or None,
        "health": 0 if peers is None else peers.health,
        "peers": [
            {
                "name": who, "address": peer.word.address, "state": State(peer.word.state).name.lower(),
                "since": round(peer.since_ms), "incarnation": peer.word.incarnation, "goes_by": {},
            }
            for who, peer in rows
        ],
        "cut": [],
        "disagreements": [],
    }  # fmt: skip


def figures(peers: Peers | None) -> dict[str, float]:
    """How many are in each state."""
    out = {state.name.lower(): 0.0 for state in State}
    for peer in () if peers is None else peers.peers.values():
        out[State(peer.word.state).name.lower()] += 1
    return out
