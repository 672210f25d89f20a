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

from balancer.core.cluster.failure_detector import Peers, State
from balancer.core.cluster.node_state import NO_DISCOVERY, Goes
from balancer.core.hysteresis import Steady

BEGIN_MS, END_MS = 500.0, 1_500.0
SUSPECT_MS = 1_500.0  # a peer suspect for so long is lost: with many nodes the failure comes later
SILENT_PART, SILENT_LEAST = 0.8, 2  # of a zone's servers, for the zone to be silent
SHOWN = 8  # names in a text
ZONES = 64  # looked at


class From(Enum):
    """What a node is cut off from. ALL comes beside peers, discovery and all servers at once."""

    SOME_PEERS = "some peers"
    PEERS = "peers"
    DISCOVERY = "discovery"
    ZONE = "a zone of servers"
    SERVERS = "all servers"
    ALL = "all"


class Verdict(Enum):
    """What the others' words make of it."""

    CUT = "cut off: others reach it"
    AWAY = "away: no peer reaches it either"
    UNKNOWN = "cut off or away: nobody is there to ask"


class Roles(Enum):
    """What becomes of a role held, from the least strict on."""

    KEEP = "goes on"
    MAJORITY = "goes on where more than half of those known are here"
    END = "ends"


class Means(NamedTuple):
    """What follows."""

    roles: Roles
    drains: bool  # drains and removals are taken from peers (`core/cluster/gossiped_removals`)


NOT_CUT = Means(Roles.KEEP, False)
MEANS = {
    From.SOME_PEERS: Means(Roles.MAJORITY, False),
    From.PEERS: Means(Roles.END, False),
    From.DISCOVERY: Means(Roles.KEEP, True),
    From.ZONE: Means(Roles.KEEP, False),
    From.SERVERS: Means(Roles.END, False),
    From.ALL: Means(Roles.END, False),
}
STRICT = tuple(Roles)


@dataclass(slots=True, frozen=True)
class Saw:
    """The evidence, told at each round.

    `heard` peers are alive; `lost` failed or are suspect and did not say that they leave. `discovery`: a
    source is in sync. `servers`: by zone, how many are up and how many of these are silent to this node.
    `words`: of the peers heard. `doubt`: this node stood still and has not heard others since.
    """

    heard: int
    lost: tuple[str, ...]
    discovery: bool
    servers: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    words: Sequence[Goes] = ()
    doubt: bool = False


@dataclass(slots=True, frozen=True)
class Began:
    of: From
    zone: str
    verdict: Verdict
    why: str


@dataclass(slots=True, frozen=True)
class Ended:
    of: From
    zone: str
    lasted_ms: float


Key = tuple[From, str]


def zone_id(zone: str) -> int:
    """How a zone that is silent is named in a word; never 0."""
    return zlib.crc32(zone.encode()) % 65_535 + 1


class Cuts:
    """`cut`: what has begun, with its verdict as of the last evidence."""

    def __init__(self) -> None:
        self.cut: dict[Key, tuple[Verdict, str]] = {}
        self.majority = True
        self._steady: Steady[Key] = Steady(BEGIN_MS, END_MS)

    def __repr__(self) -> str:
        return f"<Cuts {', '.join(f'{of.value} {zone}'.strip() for of, zone in self.cut) or 'none'}>"

    @property
    def means(self) -> Means:
        """Of all that has begun: the strictest for roles; drains only where a peer is heard."""
        rows = [MEANS[of] for of, _ in self.cut] or [NOT_CUT]
        deaf = any((of, "") in self.cut for of in (From.PEERS, From.ALL))
        return Means(
            max((row.roles for row in rows), key=STRICT.index), any(row.drains for row in rows) and not deaf
        )

    @property
    def may_keep_roles(self) -> bool:
        """Whether a role that is held may go on; leases ask before each act."""
        roles = self.means.roles
        return roles is Roles.KEEP or (roles is Roles.MAJORITY and self.majority)

    def handle(self, now_ms: float, saw: Saw) -> list[Began | Ended]:
        """What begins or ends by this evidence."""
        if saw.doubt:
            return []
        self.majority = 2 * (saw.heard + 1) > saw.heard + 1 + len(saw.lost)
        found = _found(saw)
        since = dict(self._steady.on)
        began, ended = self._steady.update(now_ms, found)
        for key in ended:
            del self.cut[key]
        for key in found.keys() & self._steady.on.keys():
            self.cut[key] = found[key]
        out: list[Began | Ended] = [Ended(*key, now_ms - since[key]) for key in ended]
        return out + [Began(*key, *found[key]) for key in began]


def heard_and_lost(peers: Peers, now_ms: float) -> tuple[int, tuple[str, ...]]:
    """How many peers are heard, and who is lost: failed, or suspect for long; who left is neither."""
    lost = tuple(
        name
        for name, peer in peers.peers.items()
        if peer.word.state == State.FAILED
        or (peer.word.state == State.SUSPECT and now_ms - peer.since_ms >= SUSPECT_MS)
    )
    left = sum(peer.word.state == State.LEFT for peer in peers.peers.values())
    return len(peers.peers) - left - len(lost), lost


def _found(saw: Saw) -> dict[Key, tuple[Verdict, str]]:
    found: dict[Key, tuple[Verdict, str]] = {}
    if saw.lost:
        names = ", ".join(saw.lost[:SHOWN]) + (" and others" if len(saw.lost) > SHOWN else "")
        all_of = len(saw.lost) + saw.heard
        why = f"{len(saw.lost)} of {all_of} peers silent ({names}): ended, or cut off from here"
        found[From.SOME_PEERS if saw.heard else From.PEERS, ""] = Verdict.UNKNOWN, why
    if not saw.discovery:
        reach = sum(not word.flags & NO_DISCOVERY for word in saw.words)
        found[From.DISCOVERY, ""] = _verdict(reach, len(saw.words), "no source in sync")
    silent = [
        zone
        for zone, (up, quiet) in sorted(saw.servers.items())[:ZONES]
        if up >= SILENT_LEAST and quiet >= SILENT_PART * up
    ]
    if silent and len(silent) == sum(up > 0 for up, _ in saw.servers.values()):
        reach = sum(not word.zone_cut for word in saw.words)
        found[From.SERVERS, ""] = _verdict(reach, len(saw.words), "nearly all servers silent")
    else:
        for zone in silent:
            reach = sum(word.zone_cut != zone_id(zone) for word in saw.words)
            text = f"{saw.servers[zone][1]} of {saw.servers[zone][0]} servers silent"
            found[From.ZONE, zone] = _verdict(reach, len(saw.words), text)
    parts = [(of, "") for of in (From.PEERS, From.DISCOVERY, From.SERVERS)]
    if all(key in found for key in parts):
        found[From.ALL, ""] = Verdict.UNKNOWN, "; ".join(found[key][1] for key in parts)
    return found


def _verdict(reach: int, asked: int, what: str) -> tuple[Verdict, str]:
    if not asked:
        return Verdict.UNKNOWN, f"{what}; no peer to ask"
    verdict = Verdict.CUT if reach else Verdict.AWAY
    return verdict, f"{what}; {reach} of {asked} peers reach it"
