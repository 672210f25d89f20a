"""What a node keeps over a restart, as data, and what of it a start may believe.

| table | key | value | written |
| --- | --- | --- | --- |
| `self` | `node` | `Self` | at each start, synced first |
| `ends` | server | `End`: removed or draining | at once, synced before anything else |
| `view` | server | `Server` | in groups |
| `sources` | source | `Source`: how far the view is told by it | with the last change that it brought |
| `usual` | class | `Usual` | each `every` |
| `limit` | `node` | `Limit` | each `every` |
| `weights` | server | `Weight` | each `every` |
| `ejections` | server | `Ejection` | each `every` |

Times are wall clock in ms, as they outlive the process. Values are MessagePack arrays: a field is only ever
added at the end, with a default. Each field is bounded, so whatever comes off the disk is checked by reading.

`order` rises with every change of the view for the life of the directory: a server's row and its end are in
different lanes of the store, and the higher order is the later word.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import Annotated, TypeVar

import msgspec

from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry

TABLES = ("self", "ends", "view", "sources", "usual", "limit", "weights", "ejections")
URGENT = frozenset({"self", "ends"})
MAX_SAID = 20  # lines on rows that are not believed; the rest are counted
MAX_EJECTED_MS = 600_000  # no kept ejection goes on for longer, whatever the clock did
DAY_MS = 86_400_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Word = Annotated[str, msgspec.Meta(max_length=256)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Wall = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
Ms = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Clock = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Self(msgspec.Struct, frozen=True, array_like=True):
    """Who this is. `name` is the node's in its configuration: another one there means a copied directory."""

    id: Name
    name: Word
    incarnation: Count
    first_ms: Wall


class Server(msgspec.Struct, frozen=True, array_like=True):
    """One server of the view: what `members.Member` says, and who listed it."""

    host: Name
    port: Annotated[int, msgspec.Meta(ge=1, lt=65_536)]
    zone: Word = ""
    cell: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)] = -1
    weight: Part = 1.0
    draining: bool = False
    started_ms: Clock = 0.0  # in the source's clock
    kind: Word = ""
    sources: Annotated[tuple[Name, ...], msgspec.Meta(max_length=16)] = ()
    confirmed_ms: Wall = 0
    order: Count = 0


class End(msgspec.Struct, frozen=True, array_like=True):
    """A server's removal (`gone`) or drain, by whom, and at which of their revisions."""

    gone: bool
    source: Word
    revision: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)]
    at_ms: Wall
    order: Count = 0


class Source(msgspec.Struct, frozen=True, array_like=True):
    """A source's order: who it is, the last revision that the view holds, when it last spoke."""

    identity: Word
    revision: Annotated[int, msgspec.Meta(ge=-(1 << 62), lt=1 << 62)]
    confirmed_ms: Wall


class Usual(msgspec.Struct, frozen=True, array_like=True):
    """A class's usual time to serve, and its mean deviation."""

    usual_ms: Ms
    dev_ms: Ms
    at_ms: Wall


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """The limit on requests out at once."""

    limit: Part
    at_ms: Wall


class Weight(msgspec.Struct, frozen=True, array_like=True):
    """A server's mean time over the usual one of its classes."""

    slow: Part
    at_ms: Wall


class Ejection(msgspec.Struct, frozen=True, array_like=True):
    """A server that is left alone until then, after so many failures in a row."""

    until_ms: Wall
    fails: Count
    at_ms: Wall


Kept = Self | Server | End | Source | Usual | Limit | Weight | Ejection
S = TypeVar("S", Server, End, Source, Usual, Limit, Weight, Ejection)


class Remembered(msgspec.Struct, frozen=True):
    """A server out of memory, and how long ago a source last vouched for it, in ms, at the least."""

    server: Server
    age_ms: float


class Recalled(msgspec.Struct):
    """What a start may believe.

    `memory` is `none` (nothing was there), `kept`, `older` (a newer generation was there and is not believed)
    or `lost` (nothing that was there is believed). `foreign`: the directory is another node's; nothing of it
    is recalled, and nothing should be written to it.
    """

    memory: str
    me: Self | None = None
    foreign: bool = False
    clock_behind_ms: float = 0.0  # the wall clock is this much behind what was written
    order: int = 0  # the highest
    view: dict[str, Remembered] = {}
    ends: dict[str, End] = {}
    sources: dict[str, Source] = {}
    usual: dict[str, Usual] = {}
    limit: Limit | None = None
    weights: dict[str, Weight] = {}
    ejections: dict[str, float] = {}  # ms that are left of each
    rows: dict[str, dict[str, Kept]] = {}  # the tables as they are kept
    said: list[str] = []


def recall(
    tables: Mapping[str, Mapping[str, bytes]],
    found: int,
    older: bool,
    wrote_ms: int,
    name: str,
    now_ms: int,
    max_age_ms: float,
) -> Recalled:
    """Read the tables of a store: `found` is the generation believed (0: none), `wrote_ms` its last commit.

    `older` says that a newer one is not believed; `name` is this node's, `now_ms` the wall clock. An age is
    never under 0 nor under what it was at the last commit: with a clock that went back it is that, and said.
    A server is as old as the last word of the sources that list it. An entry older than `max_age_ms` is not
    believed, nor is a row that does not read as its kind; each is said.
    """
    out = Recalled("lost" if older else "none")
    if not found:
        if older:
            out.said.append("nothing of what was kept can be believed: this start has lost its memory")
        return out
    out.memory = "older" if older else "kept"
    me = _me(tables.get("self", {}), out)
    if me is None:
        out.memory = "lost"
        return out
    if me.name != name:
        said = f"the directory is that of node {me.name!r:.80}, not of {name!r:.80}: nothing is recalled"
        return Recalled("lost", foreign=True, said=[said])
    out.me = me
    if now_ms < wrote_ms:
        out.clock_behind_ms = wrote_ms - now_ms
        behind = f"the clock is {out.clock_behind_ms / 1000:.0f} s behind what was written"
        out.said.append(f"{behind}: ages are taken as of then, and may be more")
        now_ms = wrote_ms
    bad = 0
    for table, kind in _KINDS.items():
        rows = out.rows.setdefault(table, {})
        for key, raw in tables.get(table, {}).items():
            try:
                rows[key] = msgspec.msgpack.decode(raw, type=kind)
            except msgspec.MsgspecError as err:
                bad += 1
                if bad <= MAX_SAID:
                    out.said.append(f"{table} {key!r:.80} is not believed: {err!s:.120}")
    if bad > MAX_SAID:
        out.said.append(f"{bad - MAX_SAID} further rows are not believed")
    out.ends = _typed(out.rows["ends"], End)
    out.order = max((row.order for row in out.ends.values()), default=0)
    out.sources = _typed(out.rows["sources"], Source)
    _view(out, wrote_ms, now_ms, max_age_ms)
    out.usual = _fresh(_typed(out.rows["usual"], Usual), now_ms, max_age_ms)
    out.weights = _fresh(_typed(out.rows["weights"], Weight), now_ms, max_age_ms)
    out.limit = _fresh(_typed(out.rows["limit"], Limit), now_ms, max_age_ms).get("node")
    for key, row in _typed(out.rows["ejections"], Ejection).items():
        left = min(row.until_ms - now_ms, row.until_ms - min(row.at_ms, row.until_ms), MAX_EJECTED_MS)
        if left > 0:
            out.ejections[key] = left
    return out


_KINDS: dict[str, type] = {
    "ends": End,
    "view": Server,
    "sources": Source,
    "usual": Usual,
    "limit": Limit,
    "weights": Weight,
    "ejections": Ejection,
}


def _me(rows: Mapping[str, bytes], out: Recalled) -> Self | None:
    try:
        return msgspec.msgpack.decode(rows["node"], type=Self)
    except (KeyError, msgspec.MsgspecError):
        out.said.append("the directory does not say whose it is: nothing is recalled")
        return None


def _typed(rows: Mapping[str, Kept], kind: type[S]) -> dict[str, S]:
    return {key: row for key, row in rows.items() if isinstance(row, kind)}


def _fresh(rows: dict[str, S], now_ms: int, max_age_ms: float) -> dict[str, S]:
    """Those learned within `max_age_ms`. One from ahead of the clock counts as of now."""
    return {key: row for key, row in rows.items() if now_ms - getattr(row, "at_ms", 0) <= max_age_ms}


def _view(out: Recalled, wrote_ms: int, now_ms: int, max_age_ms: float) -> None:
    """Servers that are believed: the later word of row and end, ages within `max_age_ms`."""
    ahead = old = 0
    for key, row in _typed(out.rows["view"], Server).items():
        out.order = max(out.order, row.order)
        end = out.ends.get(key)
        if end is not None and end.order > row.order:
            if end.gone:
                continue
            row = msgspec.structs.replace(row, draining=True)
        words = [out.sources[name].confirmed_ms for name in row.sources if name in out.sources]
        confirmed_ms = max([row.confirmed_ms, *words])
        ahead += confirmed_ms > wrote_ms
        age = float(now_ms - min(confirmed_ms, wrote_ms))
        if age > max_age_ms:
            old += 1
        else:
            out.view[key] = Remembered(row, age)
    if ahead:
        out.said.append(f"{ahead} servers are confirmed after the last write: taken as of it")
    if old:
        out.said.append(f"{old} servers were last confirmed over {max_age_ms / 1000:.0f} s ago: not believed")


def without_ended(
    listed: Mapping[str, EndpointRecord],
    revision: int | None,
    ends: Mapping[str, End],
    source: str,
    seen: tuple[int, Set[str]] | None = None,
) -> EndpointList | None:
    """What a source listed at that revision, less the servers whose end it told later; None: there is none.

    Of a source that has listed nothing (no revision) all ends count. An end does not age as a view does: a
    list from before it is wrong however long ago that was, and a clock that is a day ahead makes all of a
    view too old to be believed. The list that comes of it is as new as the last of these ends, so that none
    from before brings the servers back; and it asks for the source's whole one, as whoever came since is not
    in it. `seen`: a later revision, and whom it had, however old: who is not in it had ended by then,
    also where no end was kept, as the store was read after the news.
    """
    mine = {name: end for name, end in ends.items() if end.source == source}
    later = {name: end for name, end in mine.items() if revision is None or end.revision > revision}
    at, names = seen or (-1, listed.keys())
    later = mine if seen is not None else later
    if seen is None and not later:
        return None
    left = tuple(m for name, m in listed.items() if name not in later and name in names)
    gone = tuple(name for name, end in later.items() if end.gone)
    reason = f"{len(listed) - len(left)} servers ended after it: the whole list is needed"
    newest = max([at, *(end.revision for end in later.values())])
    return EndpointList(newest, True, left, gone, (InvalidEntry("(kept)", reason),))


def successor(recalled: Recalled, name: str, fresh_id: str, generation: int, now_ms: int) -> Self:
    """Who this start is: the same node one life on, or a new one. The incarnation only rises.

    `generation` is the store's number, which rises even where no file of it can be read.
    """
    me = recalled.me
    if me is None:
        return Self(fresh_id, name, generation, max(0, now_ms))
    return msgspec.structs.replace(me, incarnation=max(me.incarnation + 1, generation))
