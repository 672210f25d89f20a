"""Which change of what a node keeps is written when: a pure decider in front of the store.

- A removal or drain is handed over at once, in the store's urgent lane.
- Changes of the view wait GROUP_MS for others, the last word on each server alone, at most BATCH of them in
  one turn of the loop and one batch in the store at a time: a slow disk makes fewer writes, no longer queue.
- How far a source has told (its revision) goes with the last change that it brought, never before: a restart
  that took the revision as seen without the change would never be told it again.
- What was learned is asked for each `every_ms`, and written where it moved by over MOVED since.
- A server that comes back after its end keeps the end until its new row is durable.
- A generation is begun after an hour with changes, or once changes are over GENERATION_CHANGES and four times
  the rows; ends older than `max_age_ms` go then.

The state is bounded by what is kept: one entry a server, MAX_KEPT in all; what is over is left out, and said.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from balancer.core.persistence.persisted_state import (
    URGENT,
    End,
    Kept,
    Self,
    Server,
    Source,
)

GROUP_MS = 50.0
BATCH = 250  # changes of one write, about 1 ms of the loop
URGENT_OUT = 4  # urgent writes handed over and not yet durable
MAX_KEPT = 100_000  # servers, and ends
RETRY_MS = 1_000.0
MOVED = 0.1  # of a learned figure
GENERATION_MS = 3_600_000.0
GENERATION_CHANGES = 20_000

Key = tuple[str, str]  # table, key


# --- events


class Started(msgspec.Struct, frozen=True):
    """The store is open: what it holds, and who this start is. `order` is the highest in it."""

    me: Self
    rows: Mapping[str, Mapping[str, Kept]]
    order: int
    wall_ms: int


class Changed(msgspec.Struct, frozen=True):
    """The view changed: servers as they are now (a drain is one of them), servers that are gone.

    `source` at `revision` of `identity` brought it. At most some hundred in one event: the loop waits.
    """

    source: str
    identity: str
    revision: int
    wall_ms: int
    servers: tuple[tuple[str, Server], ...] = ()
    gone: tuple[str, ...] = ()


class Confirmed(msgspec.Struct, frozen=True):
    """A source showed that what it said last is current."""

    source: str
    identity: str
    revision: int
    wall_ms: int


class Learned(msgspec.Struct, frozen=True):
    """What the module learned, after `AskLearned`: rows of its tables; None takes one away."""

    rows: Mapping[Key, Kept | None]


class Rose(msgspec.Struct, frozen=True):
    """This life goes by a greater number from now on."""

    incarnation: int


class Ticked(msgspec.Struct, frozen=True):
    """Time went by."""

    wall_ms: int


class Written(msgspec.Struct, frozen=True):
    """A write is durable."""

    number: int


class TurnedAway(msgspec.Struct, frozen=True):
    """The store could not take a write: nothing of it is written."""

    number: int


Event = Started | Changed | Confirmed | Learned | Rose | Ticked | Written | TurnedAway


# --- actions


class Write(msgspec.Struct, frozen=True):
    """Make all of these durable in one commit, and tell `Written` or `TurnedAway` by this number."""

    number: int
    changes: tuple[tuple[Key, Kept | None], ...]


class AskLearned(msgspec.Struct, frozen=True):
    """Ask the module what it learned."""


class BeginGeneration(msgspec.Struct, frozen=True):
    """Have the store write all tables anew."""


class Say(msgspec.Struct, frozen=True):
    """Tell the log."""

    text: str


Action = Write | AskLearned | BeginGeneration | Say


class KeepingState(msgspec.Struct):
    """All that the decider holds."""

    me: Self | None = None
    servers: dict[str, int] = {}  # order of each one's row, as it was last decided
    ends: dict[str, End] = {}
    sources: dict[str, Source] = {}
    heard: set[str] = set()  # sources that spoke since they were last written
    dirty: dict[Key, Kept | None] = {}
    urgent: dict[Key, Kept | None] = {}
    out: dict[int, tuple[tuple[Key, Kept | None], ...]] = {}
    normal: int = 0  # the number of the one write that is not urgent, 0: none
    urgent_out: int = 0
    number: int = 0
    order: int = 0
    changes: int = 0  # since the generation began
    next_group_ms: float = 0.0
    next_learned_ms: float = 0.0
    next_generation_ms: float = 0.0
    retry_ms: float = 0.0
    learned: dict[Key, Kept] = {}  # as they were last handed over
    lags: bool = False
    left_out: int = 0


class Keeping:
    """`handle` is told events at the node's clock; `next_ms` says when to tell `Ticked` next."""

    def __init__(self, every_ms: float, max_age_ms: float, fresh: int = 0) -> None:
        """`every_ms` between two writings of what was learned, `max_age_ms` until an end is forgotten."""
        self.every_ms, self.max_age_ms = every_ms, max_age_ms
        self.state = KeepingState(number=fresh)

    def __repr__(self) -> str:
        s = self.state
        return f"<Keeping {len(s.servers)} servers, {len(s.dirty)} + {len(s.urgent)} dirty, {len(s.out)} out>"

    def next_ms(self) -> float:
        """When time alone brings something next."""
        s = self.state
        group = [max(s.next_group_ms, s.retry_ms)] if s.dirty and not s.normal else []
        urgent = [s.retry_ms] if s.urgent and s.urgent_out < URGENT_OUT else []
        return min([s.next_learned_ms, s.next_generation_ms, *group, *urgent])

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event, in order. `now_ms` never goes back."""
        out: list[Action] = []
        if isinstance(event, Changed):
            self._changed(now_ms, event, out)
        elif isinstance(event, Written):
            self._written(event.number)
        elif isinstance(event, Confirmed):
            self._source(event)
        elif isinstance(event, Learned):
            self._learned(event)
        elif isinstance(event, TurnedAway):
            self._turned_away(now_ms, event.number, out)
        elif isinstance(event, Started):
            self._started(now_ms, event)
        elif isinstance(event, Rose):
            self._rose(event.incarnation)
        else:
            self._ticked(now_ms, event.wall_ms, out)
        self._hand_over(now_ms, out)
        return out

    # --- what was told

    def _started(self, now_ms: float, event: Started) -> None:
        s = self.state
        s.order = event.order
        s.ends = {key: row for key, row in event.rows.get("ends", {}).items() if isinstance(row, End)}
        rows = event.rows.get("view", {}).items()
        s.servers = {key: row.order for key, row in rows if isinstance(row, Server)}
        rows = event.rows.get("sources", {}).items()
        s.sources = {key: row for key, row in rows if isinstance(row, Source)}
        s.me = s.urgent["self", "node"] = event.me
        s.next_learned_ms, s.next_generation_ms = now_ms + self.every_ms, now_ms + GENERATION_MS

    def _rose(self, incarnation: int) -> None:
        me = self.state.me
        if me is not None and incarnation > me.incarnation:
            self.state.me = me = msgspec.structs.replace(me, incarnation=incarnation)
            self.state.urgent["self", "node"] = me

    def _changed(self, now_ms: float, event: Changed, out: list[Action]) -> None:
        s = self.state
        if not s.dirty:
            s.next_group_ms = now_ms + GROUP_MS
        for name, server in event.servers:
            s.order += 1
            if name not in s.servers and len(s.servers) >= MAX_KEPT:
                self._left_out(out)
                continue
            s.servers[name] = s.order
            s.dirty["view", name] = msgspec.structs.replace(server, order=s.order)
            if server.draining:
                s.order += 1  # the end is the later word
                self._end(name, End(False, event.source, event.revision, event.wall_ms, s.order), out)
        for name in event.gone:
            s.order += 1
            if s.servers.pop(name, None) is not None:
                s.dirty["view", name] = None
            self._end(name, End(True, event.source, event.revision, event.wall_ms, s.order), out)
        if self._source(event):
            self._put_source(event.source)

    def _end(self, name: str, end: End, out: list[Action]) -> None:
        if name not in self.state.ends and len(self.state.ends) >= MAX_KEPT:
            oldest = next(iter(self.state.ends))
            del self.state.ends[oldest]
            self.state.urgent["ends", oldest] = None
            self._left_out(out)
        self.state.ends.pop(name, None)
        self.state.ends[name] = end
        self.state.urgent["ends", name] = end

    def _left_out(self, out: list[Action]) -> None:
        self.state.left_out += 1
        if self.state.left_out == 1:
            out.append(Say(f"over {MAX_KEPT} servers or ends: those over it are not kept"))

    def _source(self, event: Changed | Confirmed) -> bool:
        """Whether its word is no older than what was known of it."""
        s, old = self.state, self.state.sources.get(event.source)
        if old is None or old.identity != event.identity or event.revision >= old.revision:
            s.sources[event.source] = Source(event.identity, event.revision, max(0, event.wall_ms))
            s.heard.add(event.source)
            return True
        return False

    def _put_source(self, name: str) -> None:
        """Behind all changes that wait: they are written in their order."""
        s = self.state
        s.dirty.pop(("sources", name), None)
        s.dirty["sources", name] = s.sources[name]
        s.heard.discard(name)

    def _learned(self, event: Learned) -> None:
        s = self.state
        for at, row in event.rows.items():
            old = s.learned.get(at)
            if row is None:
                s.learned.pop(at, None)
                s.dirty[at] = None
            elif old is None or _moved(old, row, self.max_age_ms / 4):
                if old is None and len(s.learned) >= 4 * MAX_KEPT:
                    continue
                s.learned[at] = s.dirty[at] = row

    def _ticked(self, now_ms: float, wall_ms: int, out: list[Action]) -> None:
        s = self.state
        if now_ms >= s.next_learned_ms:
            s.next_learned_ms = now_ms + self.every_ms
            out.append(AskLearned())
            for name in sorted(s.heard):
                self._put_source(name)
        rows = len(s.servers) + len(s.ends)
        due = now_ms >= s.next_generation_ms
        if (due and s.changes) or s.changes > max(GENERATION_CHANGES, 4 * rows):
            for name in [n for n, end in s.ends.items() if wall_ms - end.at_ms > self.max_age_ms]:
                del s.ends[name]
                s.urgent["ends", name] = None
            s.changes, due = 0, True
            out.append(BeginGeneration())
        if due:
            s.next_generation_ms = now_ms + GENERATION_MS

    def _written(self, number: int) -> None:
        """What came back after its end, and is durable now, needs the end no more."""
        s = self.state
        s.lags = False
        for (table, key), row in self._came_back(number):
            end = s.ends.get(key)
            if table == "view" and isinstance(row, Server) and end is not None and end.order < row.order:
                del s.ends[key]
                s.urgent["ends", key] = None

    def _turned_away(self, now_ms: float, number: int, out: list[Action]) -> None:
        """It is dirty still, but for what has changed since; it stays ahead of what came later."""
        s = self.state
        back = dict(self._came_back(number))
        if any(table in URGENT for table, _ in back):
            # Guards against an older word that is handed over again behind a newer one.
            for table, key in back:
                back[table, key] = s.ends.get(key) if table == "ends" else s.me
            s.urgent = {**back, **s.urgent}
        else:
            s.dirty = {**back, **s.dirty}
        s.retry_ms = now_ms + RETRY_MS
        if not s.lags:
            s.lags = True
            out.append(Say("the store takes no more: what is kept lags behind"))

    def _came_back(self, number: int) -> tuple[tuple[Key, Kept | None], ...]:
        s = self.state
        found = s.out.pop(number, ())
        if number == s.normal:
            s.normal = 0
        elif found:
            s.urgent_out -= 1
        return found

    # --- what is handed over

    def _hand_over(self, now_ms: float, out: list[Action]) -> None:
        s = self.state
        while s.urgent and s.urgent_out < URGENT_OUT and now_ms >= s.retry_ms:
            s.urgent_out += 1
            self._write(_first(s.urgent), out)
        if s.normal or not s.dirty or now_ms < max(s.next_group_ms, s.retry_ms):
            return
        self._write(_first(s.dirty), out)
        s.normal = s.number
        s.next_group_ms = now_ms + (0.0 if len(s.dirty) >= BATCH else GROUP_MS)

    def _write(self, changes: tuple[tuple[Key, Kept | None], ...], out: list[Action]) -> None:
        s = self.state
        s.number += 1
        s.out[s.number] = changes
        s.changes += len(changes)
        out.append(Write(s.number, changes))


def _moved(old: Kept, new: Kept, stale_ms: float) -> bool:
    """Whether a learned figure is another one by now, or was written long ago."""
    for name in ("usual_ms", "limit", "slow"):
        if hasattr(old, name):
            was, now = getattr(old, name), getattr(new, name)
            since = getattr(new, "at_ms", 0) - getattr(old, "at_ms", 0)
            return abs(now - was) > MOVED * was or since > stale_ms
    return getattr(old, "until_ms", None) != getattr(new, "until_ms", None)


def _first(changes: dict[Key, Kept | None]) -> tuple[tuple[Key, Kept | None], ...]:
    """The first BATCH, taken out."""
    keys = [key for key, _ in zip(changes, range(BATCH), strict=False)]
    return tuple((key, changes.pop(key)) for key in keys)
