"""Several sources of the list of backends, one view out that never goes back.

Each source has an order of its own: an identity (the platform's is its address, etcd's its cluster id) and
revisions in it. What is not newer than what was seen in that order is not applied, whole lists included. One
of equal revision is taken after a line that could not be read, and where a source's revisions come in pieces.
A new identity begins a new order, by a whole list only.

The view of one backend, over all sources:

- gone, if a source that may remove has removed it and has not listed it anew;
- draining, if a source that may remove says so;
- else up, if a source that may add lists it. Its address, zone, cell, kind and weight are those of the first
  such source in the order given; its start time is the latest that any of them names, as one that may be cold
  is to be treated as cold.

What is *remembered* (out of the configuration's `known`, or kept on disk: `Listed.saved`) is in the view with
its age, until its source lists it, or shows that nothing has changed since: then it is vouched for, entry by
entry, at once. Its revision counts as seen, so that the source cannot bring back an older view.

`Membership.handle` takes an event and a clock time and returns actions. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import islice

from balancer.endpoints import (
    Address,
    EndpointList,
    EndpointRecord,
    InvalidEntry,
)
from balancer.interface import EndpointUpdateKind, Phase

SLICE = 500  # entries of a whole list that are looked at in one go
NEWS = 125  # the same, where each is a change, or the list is of over LARGE servers
LARGE = 1_000
MAX_REMOVED = 20_000  # removals remembered a source beside those of whom another source lists
MAX_SAID = 20  # lines on entries left out, of one listing or slice: the log is bounded, others need it too
MAX_FAULTS = 1000  # unreadable entries shown a source; further ones are counted
MOST_AGE_MS = 365 * 86_400_000.0  # of what was kept: a clock may say anything
LOUD_LEAST = 4  # removals at once, over half of what the source listed, that are worth a line of their own


class Role(Enum):
    """What a source's word may do."""

    FULL = "full"  # add, drain and remove
    ADD = "add"  # add, and withdraw what it added; it takes away nothing that another source lists
    REMOVE = "remove"  # drain and remove what others list


class State(Enum):
    """How far a source is to be believed."""

    UNHEARD = "unheard"  # nothing of it has come
    SYNCING = "syncing"  # its whole list is needed
    IN_SYNC = "in sync"
    SILENT = "silent"  # out of reach, or cannot show that it is current: its last word stays in force
    REFUSED = "refused"  # it answers, and what it says must not be used


# --- events


@dataclass(slots=True, frozen=True)
class Listed:
    """A source listed: a whole list or changes, with a revision in the order of `identity`."""

    source: str
    identity: str
    listing: EndpointList
    saved: bool = False  # out of what the node was given or had kept at its start
    age_ms: float = 0.0  # of what was saved: how long ago the source said so, or 0 where nobody knows
    watched: bool = False  # by a watch, which tells things in their order: a call may be overtaken by it


@dataclass(slots=True, frozen=True)
class Heard:
    """A source showed that it lives and that what it said last is current."""

    source: str


@dataclass(slots=True, frozen=True)
class Spoiled:
    """Something came that could not be read at all; what it said is lost."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class Silenced:
    """A source is out of reach, or cannot show that it is current."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class Refused:
    """A source answers, and what it says must not be used: it went back for good, or lets nobody in."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class Moved:
    """A source is another one from now on: its order begins anew, by a whole list."""

    source: str
    identity: str


@dataclass(slots=True, frozen=True)
class Configured:
    """The operators set the sources anew, in this order of precedence.

    One that is left out is as if it had never said a word; one that stays keeps all it said.
    """

    sources: tuple[Source, ...]


@dataclass(slots=True, frozen=True)
class Continued:
    """The turn of the loop that `Continue` asked for has come."""


Event = Listed | Heard | Spoiled | Silenced | Refused | Moved | Configured | Continued

# --- actions


@dataclass(slots=True, frozen=True)
class Apply:
    """Take changes of the view: `members` are up or draining, `removed` are the last entries of those gone.

    `revision` counts the changes of the view; it has nothing to do with any source's.
    """

    kind: EndpointUpdateKind
    members: tuple[EndpointRecord, ...]
    removed: tuple[EndpointRecord, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class Continue:
    """Hand in `Continued` at the loop's next turn: the rest of a whole list waits."""


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the people on call."""

    text: str
    loud: bool = False


Action = Apply | Continue | Say


@dataclass(slots=True)
class Source:
    """One source, as data. `revision` is None until a whole list of the present order has been taken."""

    name: str
    role: Role = Role.FULL
    pieces: bool = False  # changes of one revision may come in several pieces
    made: int = 0  # counts how often it was set up anew, maybe for other keys: its first list is news then
    identity: str | None = None
    revision: int | None = None
    state: State = State.UNHEARD
    spoiled: bool = False  # a line was lost: only a whole list will do
    remembered: bool = False  # memory alone vouches for some of what it lists
    confirms: bool = False  # what waits in `pending` is news to whoever is told, all of it, or is much
    aged_ms: float | None = None  # by memory alone, and how old it is, what waits in `pending` is listed
    behind: bool = False  # it went back: that it lives does not show that its last word is current
    heard_ms: float | None = None
    reason: str = ""  # why it is silent or refused
    members: dict[str, EndpointRecord] = field(default_factory=dict, repr=False)
    removed: dict[str, None] = field(default_factory=dict, repr=False)  # until it lists them anew
    faults: dict[str, InvalidEntry] = field(default_factory=dict, repr=False)
    unreadable: int = 0  # entries that could not be read, ever
    old: int = 0  # listings that were not applied, as they were not newer
    pending: dict[str, EndpointRecord] = field(default_factory=dict, repr=False)  # the rest of a whole list

    @property
    def whole(self) -> bool:
        """Whether changes can be applied to what is held."""
        return self.revision is not None and not self.spoiled


def vouched(member: EndpointRecord, age_ms: float | None = None) -> EndpointRecord:
    """The same, by a source's word (None) or by a memory of that age."""
    entry = member.endpoint
    return (
        member
        if entry.cached_age_ms == age_ms
        else EndpointRecord(replace(entry, cached_age_ms=age_ms), member.address)
    )


def _by_name(sources: Sequence[Source]) -> dict[str, Source]:
    out = {s.name: s for s in sources}
    if len(out) != len(sources):
        raise ValueError(f"two sources of one name: {[s.name for s in sources]}")
    return out


class Membership:
    """The merge. `sources` are in the order of their precedence."""

    def __init__(self, sources: Sequence[Source]) -> None:
        self.sources = _by_name(sources)
        self.view: dict[str, EndpointRecord] = {}  # in force: up or draining
        self.revision = 0  # of the view
        self.shadowed: set[str] = set()  # listed, up, and left out: another is up at the same address
        self._at: dict[Address, dict[str, None]] = {}  # who is up at an address, in the order they came
        self._where: dict[str, Address] = {}  # and the other way round
        self._contested: dict[Address, None] = {}  # where that changed, and others are or were up
        self._fresh: dict[str, EndpointRecord] = {}  # changes of a whole list that are not told yet
        self._first = False  # the whole list that is looked at is the first
        self._large = False  # and is of over LARGE servers: nobody who is up is told of before its end
        self.now_ms = 0.0
        self._out: list[Action] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event at the clock time `now_ms`."""
        self.now_ms, self._out = now_ms, []
        if isinstance(event, Continued):
            self._continue()
        elif isinstance(event, Configured):
            self._configure(_by_name(event.sources))
        elif (source := self.sources.get(event.source)) is not None:
            self._said(source, event)
        return self._out

    def _said(self, source: Source, event: Listed | Heard | Spoiled | Silenced | Refused | Moved) -> None:
        match event:
            case Listed():
                self._listed(source, event)
            case Heard():
                self._heard(source)
            case Spoiled():
                source.spoiled, source.state, source.reason = True, State.SYNCING, event.reason
            case Silenced():
                self._lost(source, State.SILENT, event.reason)
            case Refused():
                self._lost(source, State.REFUSED, event.reason)
            case Moved() if source.identity != event.identity:
                self._begin(source, event.identity)

    def resume(self, name: str) -> int | None:
        """The revision to watch a source from, or None where only its whole list will do."""
        source = self.sources[name]
        return source.revision if source.whole else None

    def _configure(self, sources: dict[str, Source]) -> None:
        before, self.sources = self.sources, {}
        for name, source in sources.items():
            self.sources[name] = kept = before.get(name, source)
            kept.role, kept.pieces = source.role, source.pieces
            if kept.made != source.made:
                kept.made, kept.spoiled, kept.state = source.made, True, State.SYNCING
            if kept.role is Role.ADD:
                kept.removed.clear()
        touched = {*self.view, *self.shadowed}
        for source in before.values():
            touched |= source.members.keys() | source.removed.keys()
        self._apply(sorted(touched), EndpointUpdateKind.INCREMENTAL)

    # --- order

    def _listed(self, source: Source, event: Listed) -> None:
        listing = event.listing
        source.heard_ms = self.now_ms
        if event.identity != source.identity:
            if not listing.is_complete:
                self._old(source, "changes of an order that has not begun here")
                return
            if source.identity is not None:
                text = f"{source.name}: a new order begins: {event.identity} in place of {source.identity}"
                self._out.append(Say(text, loud=True))
            self._begin(source, event.identity)
        newer = source.revision is None or listing.revision > source.revision
        if listing.is_complete:
            # An equal one is taken where something may have been lost on the way: a line, or a piece.
            if newer or (listing.revision == source.revision and (source.spoiled or source.pieces)):
                self._whole(source, listing, event.saved, event.age_ms)
            elif listing.revision == source.revision:
                self._current(source)
                self._apply([], EndpointUpdateKind.INCREMENTAL)
                self._confirm(source)
            else:
                what = f"its whole list is of revision {listing.revision}, older than {source.revision}"
                source.old += 1
                if event.watched or source.state is not State.IN_SYNC:  # else a call that was overtaken
                    self._lost(source, State.REFUSED, what)
                    source.behind = True
        elif not source.whole:
            self._old(source, "changes, where the whole list is needed")
        elif newer or (source.pieces and listing.revision == source.revision):
            self._changes(source, listing)
        else:
            source.old += 1  # said before: a watch that was taken up again may repeat some
            self._heard(source)

    def _begin(self, source: Source, identity: str) -> None:
        """A new order: what the old one said stays in force until the new one's whole list is here."""
        source.identity, source.revision, source.spoiled = identity, None, False
        source.state, source.behind = State.SYNCING, False

    def _old(self, source: Source, what: str) -> None:
        source.old += 1
        self._out.append(Say(f"{source.name}: not applied: {what}"))

    def _heard(self, source: Source) -> None:
        source.heard_ms = self.now_ms
        if source.whole and not source.behind:
            self._current(source)
            self._confirm(source)

    def _current(self, source: Source) -> None:
        if source.state in (State.SILENT, State.REFUSED):
            self._out.append(Say(f"{source.name}: in sync again"))
            self._apply(
                [], EndpointUpdateKind.INCREMENTAL
            )  # that it may be asked again soon, though nothing has changed
        source.state, source.reason, source.behind = State.IN_SYNC, "", False

    def _confirm(self, source: Source) -> None:
        """Nothing has changed since: the source vouches for all that only memory did, in slices."""
        if source.remembered:
            source.remembered, source.confirms, source.aged_ms = False, True, None
            source.pending = source.members | source.pending
            self._continue()

    def _lost(self, source: Source, state: State, reason: str) -> None:
        """The view stays: a source that says nothing has taken nothing back."""
        if (source.state, source.reason) != (state, reason):
            text = f"{source.name} is {state.value}: {reason}; its last word stays in force"
            self._out.append(Say(text, loud=state is State.REFUSED))
        source.state, source.reason, source.behind = state, reason, False

    # --- what was listed

    def _whole(self, source: Source, listing: EndpointList, saved: bool, age_ms: float) -> None:
        """Removals and drains at once; the rest in slices, as one of thousands would hold the loop."""
        named, leaving, up = dict[str, EndpointRecord](), list[str](), Phase.UP
        for member in listing.records:
            entry = member.endpoint
            named[entry.id] = member
            if entry.phase is not up:
                leaving.append(entry.id)
        large, first = len(named) > LARGE, not self._where
        source.aged_ms = min(max(0.0, age_ms), MOST_AGE_MS) if saved else None
        if saved and not large:
            named = {name: vouched(m, source.aged_ms) for name, m in named.items()}
        source.confirms, source.remembered = source.remembered or large, saved
        unread = {fault.key for fault in listing.invalid_entries}
        listed = source.members | source.pending
        gone = [name for name in listed if name not in named and name not in unread]
        gone += [name for name in listing.removed_ids if name not in listed]
        source.revision, source.spoiled, source.faults = listing.revision, False, {}
        kept = [last for name, last in source.pending.items() if name in unread]
        self._take(source, kept)
        source.pending, before = {}, len(listed)
        touched = [last.endpoint.id for last in kept]
        touched += self._remove(source, gone)
        touched += self._unreadable(source, listing.invalid_entries)
        for name in leaving:
            if named[name].endpoint.phase is up:
                continue  # named twice: the later entry holds
            source.members[name] = vouched(named[name], source.aged_ms)
            source.removed.pop(name, None)
            touched.append(name)
        self._mass(source, len(gone), before)
        if not saved:
            self._current(source)
            if touched:
                self._apply(touched, EndpointUpdateKind.INCREMENTAL)
        else:
            source.state = State.UNHEARD
            source.spoiled = bool(
                listing.invalid_entries
            )  # whoever was left out may be readable at the source
            # A whole list for whoever is told: of several that are remembered the first alone can be one.
            kind = EndpointUpdateKind.INCREMENTAL if self.view else EndpointUpdateKind.CACHED
            if not large:
                self._take(source, named.values())
                self._apply([*touched, *named], kind)
                return
            self._apply(touched, kind)  # it is one in which nobody is up yet
        self._first = self._first or (first if large else not self.view)
        self._large = self._large or large
        source.pending = named
        if large:
            self._out.append(Continue())  # this turn has had its part
        else:
            self._continue()

    def _continue(self) -> None:
        """Look at the next slice of whatever whole list waits, and apply what changed in it.

        A first list is applied in one piece, once all was seen: the module lays its subset out over all of
        it, and nobody waits meanwhile, as there is nobody to send to. In a large one what is said of those
        who are up meanwhile waits for that, too; removals and drains do not.
        """
        for source in self.sources.values():
            if not source.pending:
                continue
            names = list(islice(source.pending, NEWS if source.confirms else SLICE))
            self._take(source, [vouched(source.pending.pop(name), source.aged_ms) for name in names])
            for name in names:
                self._settle(name, self._fresh)
            if not (self._first and self._large):  # else once, at its end
                self._share(self._fresh)
            if any(source.pending for source in self.sources.values()):
                if self._fresh and not self._first:
                    self._flush()
                self._out.append(Continue())
                return
        self._first = self._large = False
        self._share(self._fresh)
        self._flush()

    def _take(self, source: Source, members: Iterable[EndpointRecord]) -> None:
        for member in members:
            name = member.endpoint.id
            source.members[name] = member
            source.removed.pop(name, None)
            source.faults.pop(name, None)

    def _changes(self, source: Source, listing: EndpointList) -> None:
        """Many at once, as where weights are live, wait in slices too; removals and drains do not."""
        source.revision = listing.revision
        before = len(source.members)
        touched = self._remove(source, listing.removed_ids)
        touched += self._unreadable(source, listing.invalid_entries)
        now, later = list(listing.records), list[EndpointRecord]()
        if len(now) > SLICE:
            later = [m for m in now if m.endpoint.phase is Phase.UP]
            now = [m for m in now if m.endpoint.phase is not Phase.UP]
        self._take(source, now)
        touched += [m.endpoint.id for m in now]
        for name in touched:
            source.pending.pop(name, None)  # older than what has just been said
        self._mass(source, len(listing.removed_ids), before)
        self._current(source)
        if touched or not later:
            self._apply(touched, EndpointUpdateKind.INCREMENTAL)
        if later:
            source.aged_ms, source.confirms = None, source.confirms or len(later) > LARGE  # vouched for
            source.pending |= {m.endpoint.id: m for m in later}
            self._continue()
        self._confirm(source)

    def _remove(self, source: Source, names: Iterable[str]) -> list[str]:
        out = []
        for name in names:
            source.members.pop(name, None)
            source.faults.pop(name, None)
            if source.role is not Role.ADD and len(self.sources) > 1:
                source.removed.pop(name, None)
                source.removed[name] = None
            out.append(name)
        for name in list(islice(source.removed, 2 * len(out))):
            if len(source.removed) <= MAX_REMOVED:
                break
            del source.removed[name]
            if any(name in other.members or name in other.pending for other in self.sources.values()):
                source.removed[name] = None  # it would be used again; its turn comes when nobody lists it
        return out

    def _unreadable(self, source: Source, faults: Iterable[InvalidEntry]) -> list[str]:
        """An entry that cannot be read costs nothing but itself; that it drains is obeyed all the same."""
        touched, said = [], []
        for fault in faults:
            source.unreadable += 1
            source.faults.pop(fault.key, None)
            if len(source.faults) < MAX_FAULTS:
                source.faults[fault.key] = fault
            said.append(f"{source.name}: entry {fault.key!r:.300} left out: {fault.reason:.300}")
            if not fault.is_draining:
                continue
            if (last := source.members.get(fault.key)) is not None:
                entry = replace(last.endpoint, phase=Phase.DRAINING)
                source.members[fault.key] = EndpointRecord(entry, last.address)
                touched.append(fault.key)
            else:
                touched += self._remove(source, [fault.key])
        self._left_out(said)
        return touched

    def _left_out(self, said: list[str]) -> None:
        self._out += [Say(text) for text in said[:MAX_SAID]]
        if len(said) > MAX_SAID:
            self._out.append(Say(f"{len(said) - MAX_SAID} more left out like these; see balancer members"))

    def _mass(self, source: Source, gone: int, before: int) -> None:
        if source.pieces:
            return  # whoever puts the pieces together says so
        if gone >= LOUD_LEAST and 2 * gone > before:
            text = f"{source.name}: {gone} of {before} backends removed at once; obeyed"
            self._out.append(Say(text, loud=True))

    # --- the view

    def _resolve(self, name: str) -> EndpointRecord | None:
        """What holds of a backend over all sources; None: it is not to be used."""
        found: EndpointRecord | None = None
        drains, started, ages = False, 0.0, list[float | None]()
        for source in self.sources.values():
            if name in source.removed:
                return None
            if (said := source.members.get(name)) is None:
                continue
            leaving = said.endpoint.phase is not Phase.UP
            if source.role is Role.REMOVE:
                drains = drains or leaving
                continue
            if source.role is Role.FULL:
                drains = drains or leaving
            started = max(started, said.endpoint.started_at_ms)
            ages.append(said.endpoint.cached_age_ms)
            if found is None or (found.endpoint.phase is not Phase.UP and not leaving and not drains):
                found = said
        if found is None:
            return None
        phase = Phase.DRAINING if drains else found.endpoint.phase
        age = None if None in ages else min(age for age in ages if age is not None)
        if (phase, started, age) != (
            found.endpoint.phase,
            found.endpoint.started_at_ms,
            found.endpoint.cached_age_ms,
        ):
            found = EndpointRecord(
                replace(found.endpoint, phase=phase, started_at_ms=started, cached_age_ms=age), found.address
            )
        return found

    def _settle(self, name: str, changes: dict[str, EndpointRecord]) -> None:
        """Bring the view of one backend up to date, and note what changed; `_share` has to follow."""
        now = self._resolve(name)
        up = now.address if now is not None and now.endpoint.phase is Phase.UP else None
        was = self._where.get(name)
        if was is not None and was != up:
            del self._where[name]
            self.shadowed.discard(name)
            del self._at[was][name]
            if self._at[was]:
                self._contested[was] = None
            else:
                del self._at[was]
        if up is not None:
            names = self._at.setdefault(up, {})
            names[name], self._where[name] = None, up
            if len(names) > 1:
                self._contested[up] = None
                return
        self._put(name, now, changes)

    def _share(self, changes: dict[str, EndpointRecord]) -> None:
        """Of several that are up at one address one is used: the latest start, then whoever came last.

        There is one process, and it would get the work, and the cold start's budget, of each of its names.
        Done once for all that were settled: guards against weighing each of thousands against each.
        """
        contested, self._contested = self._contested, {}
        said: list[str] = []
        for address in contested:
            found = [(name, now) for name in self._at.get(address, ()) if (now := self._resolve(name))]
            if not found:
                continue  # all of them left
            winner = max(enumerate(found), key=lambda item: (item[1][1].endpoint.started_at_ms, item[0]))[1][
                0
            ]
            for name, now in found:
                if name == winner:
                    self.shadowed.discard(name)
                    self._put(name, now, changes)
                    continue
                if name not in self.shadowed:
                    self.shadowed.add(name)
                    text = f"{name!r:.300} left out: {winner!r:.300} is up at the same address"
                    said.append(f"{text} {address[0]}:{address[1]}")
                self._put(name, None, changes)
        self._left_out(said)

    def _put(self, name: str, now: EndpointRecord | None, changes: dict[str, EndpointRecord]) -> None:
        held = self.view.get(name)
        if now is not None:
            if held != now:
                self.view[name] = changes[name] = now
        elif held is not None:
            del self.view[name]
            changes[name] = EndpointRecord(replace(held.endpoint, phase=Phase.REMOVED), held.address)

    def _apply(self, touched: Iterable[str], kind: EndpointUpdateKind) -> None:
        touched = list(touched)
        # Those of a whole list that is under way are in the view, and not yet told.
        changes = {name: self._fresh.pop(name) for name in touched if name in self._fresh}
        for name in touched:
            self._settle(name, changes)
        self._share(changes)
        for name in changes.keys() & self._fresh.keys():
            del self._fresh[name]
        if self._first and self._large:
            self._fresh |= {name: now for name, now in changes.items() if now.endpoint.phase is Phase.UP}
            changes = {name: now for name, now in changes.items() if now.endpoint.phase is not Phase.UP}
        self._tell(changes, kind)

    def _flush(self) -> None:
        changes, self._fresh = self._fresh, {}
        self._tell(changes, EndpointUpdateKind.INCREMENTAL)

    def _tell(self, changes: dict[str, EndpointRecord], kind: EndpointUpdateKind) -> None:
        self.revision += bool(changes)
        by = {phase: list[EndpointRecord]() for phase in Phase}
        for member in changes.values():
            by[member.endpoint.phase].append(member)
        there = *by[Phase.DRAINING], *by[Phase.UP]
        self._out.append(Apply(kind, there, tuple(by[Phase.REMOVED]), self.revision))
