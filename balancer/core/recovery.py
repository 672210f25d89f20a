"""What a node may do while it comes back, and how far it has come.

    blank        knows no server
    provisional  knows some; most of them by memory alone (kept on disk, or the configuration's `known`)
    confirmed    most are vouched for: by a source, or by an answer in this process
    full         and it serves as usual

`ALLOWED` says what each state may do, `NEXT` which state follows on what. Beside it stands the *memory*, as
roles that rest on it (a lease, a ledger, a word given to others) must not be taken by one that forgot:

- `none`: nothing was kept. That may be a first start or a wiped disk: alone a node cannot tell.
- `kept`: it is whole and young.
- `lost`: what was there cannot be read, or the others know this node although it remembers nothing.
- `older`: others have seen a later life of this node, or the memory is over its age, or this process stood
  still.

All but `kept` bar such roles until the others have said what they know of this node (`OthersKnew`,
`Reminded`), or for the time `bar_ms` in which whatever an earlier life held has surely ended. The number of a
life, the *incarnation*, only rises.

`Recovery.handle` takes an event and a clock time (milliseconds) and returns actions; a clock that goes back
is taken to stand still. `Meter` measures the way to full service.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

BAR_MS = 30_000.0  # over any lease's time
MAX_AGE_MS = 86_400_000.0  # of a memory, where the settings say nothing else
SKEW_MS = 2_000.0  # by which a clock may have gone back without being called wrong
MOST = 1 << 53  # of an incarnation: more is no number that this program wrote
HALF = 0.5  # part of the servers that has to be vouched for
SERVES, FOR_MS = 0.95, 2_000.0  # full service: this part of what was asked, for so long
ENOUGH = 20  # ends that a stretch has to hold, so that one that fails is 5% of it
LONGEST_MS = 30_000.0  # a stretch of fewer: a small node is judged by what it saw in this time
BUCKET_MS = 100.0


class State(Enum):
    """How far a node is back."""

    BLANK = "blank"
    PROVISIONAL = "provisional"
    CONFIRMED = "confirmed"
    FULL = "full"


class Memory(Enum):
    """What is left of an earlier life."""

    NONE = "none"
    KEPT = "kept"
    LOST = "lost"
    OLDER = "older"


class To(Enum):
    """Which servers a kind of request may go to."""

    NOBODY = "nobody"
    ONE_EACH = "anybody; one at a time to each that nobody vouches for"
    VOUCHED_FIRST = "those that are vouched for; others where there are none"
    ALL = "anybody"


class Tells(Enum):
    """What is told to other nodes."""

    PRESENCE = "that it is there, and its incarnation"
    AGED = "what it knows, with its age: never as its own word"
    ALL = "what it sees"


@dataclass(slots=True, frozen=True)
class Allowed:
    """What a state may do."""

    safe: To
    bookings: To
    tells: Tells
    roles: bool  # those that rest on memory, unless they are barred beside


ALLOWED = {
    State.BLANK: Allowed(To.NOBODY, To.NOBODY, Tells.PRESENCE, False),
    State.PROVISIONAL: Allowed(To.ONE_EACH, To.VOUCHED_FIRST, Tells.AGED, False),
    State.CONFIRMED: Allowed(To.ALL, To.ALL, Tells.ALL, True),
    State.FULL: Allowed(To.ALL, To.ALL, Tells.ALL, True),
}
"""The policy keeps the rules on servers one by one (`Entry.age_ms`); these are the node's as a whole."""


class Kind(Enum):
    """What an event comes to."""

    NOBODY = "no server is left"
    REMEMBERED = "memory alone vouches for most servers"
    VOUCHED = "most servers are vouched for"
    SERVED = "it serves as usual"
    STOOD = "it stood still: what it knows is old"
    FORGOT = "others have seen a later life of this node"


_B, _P, _C, _F = State.BLANK, State.PROVISIONAL, State.CONFIRMED, State.FULL
NEXT: dict[State, dict[Kind, State]] = {
    state: dict(zip(Kind, row, strict=True))
    for state, row in {
        #    nobody, remembered, vouched, served, stood, forgot
        _B: (_B, _P, _C, _B, _B, _B),
        _P: (_B, _P, _C, _P, _P, _P),
        _C: (_B, _P, _C, _F, _P, _P),
        _F: (_B, _P, _F, _F, _P, _P),
    }.items()
}


# --- events


@dataclass(slots=True, frozen=True)
class Kept:
    """What a store kept: the incarnation of the life that wrote it, and when (wall clock, ms).

    `older`: something newer was there and cannot be believed.
    """

    incarnation: int
    saved_wall_ms: float
    older: bool = False


@dataclass(slots=True, frozen=True)
class Started:
    """The process began. `fault` says why what was kept cannot be used; `parts` are times of the start, ms.

    Names of parts: interpreter, imports, files, first list, first connects; whatever was measured. `least` is
    a number that no life before this one had, where the store knows one: it rises even with nothing to read.
    """

    kept: Kept | None
    wall_ms: float
    fault: str = ""
    parts: Mapping[str, float] = field(default_factory=dict)
    least: int = 1


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """So many servers are up in the view; so many of them a source lists, or have answered here."""

    up: int
    vouched: int


@dataclass(slots=True, frozen=True)
class SourceSpoke:
    """A source said something that is current now."""


@dataclass(slots=True, frozen=True)
class OthersKnew:
    """Others said which incarnation of this node they have seen last; 0: none, ever."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class Reminded:
    """Others have told all that this node forgot."""


@dataclass(slots=True, frozen=True)
class Rose:
    """This life goes by a greater number from now on: what others held of the old one had to be refuted."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class StoodStill:
    """The process did not run for so long (`core/stall_detector`)."""

    stood_ms: float


class End(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    FAILED = "failed"  # or refused by this node, or answered late
    TURNED_AWAY = "turned away"  # by servers without room: more than the fleet could give


@dataclass(slots=True, frozen=True)
class Ended:
    """A request ended."""

    class_name: str
    end: End


@dataclass(slots=True, frozen=True)
class Due:
    """The time that `Wait` named has come."""


Event = Started | ViewChanged | SourceSpoke | OthersKnew | Reminded | Rose | StoodStill | Ended | Due

# --- actions


@dataclass(slots=True, frozen=True)
class Became:
    """Another state, and why."""

    state: State
    reason: str


@dataclass(slots=True, frozen=True)
class Raise:
    """Keep this incarnation, durably, before anything is told under it."""

    incarnation: int


@dataclass(slots=True, frozen=True)
class Wait:
    """Hand in `Due` at this clock time."""

    until_ms: float


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the people on call."""

    text: str
    loud: bool = False


Action = Became | Raise | Wait | Say


def age_of(saved_wall_ms: float, wall_ms: float, max_age_ms: float = MAX_AGE_MS) -> tuple[float, str]:
    """How old a memory is, from 0 to `max_age_ms`, and what is odd about that, or nothing.

    A clock that has gone back says nothing of the age: it is then the most, as for one that is over it.
    """
    age = wall_ms - saved_wall_ms
    if not math.isfinite(age) or age < -SKEW_MS:
        return max_age_ms, f"the clock is {-age / 1000:.0f} s behind what was kept: its age is not known"
    if age > max_age_ms:
        return max_age_ms, f"what was kept is {age / 1000:.0f} s old, over {max_age_ms / 1000:.0f}"
    return max(0.0, age), ""


class Meter:
    """The way to full service, out of requests' ends.

    *Full* is 95% of what was asked and the fleet could give (requests that servers turned away for want of
    room are left out), in a stretch of at least 2 s that holds at least 20 ends: one failure in 20 is 5%. A
    node that sees fewer is judged over a longer stretch, up to 30 s, by what it saw there, one answer at
    least; one that sees none is not said to be full. The time of a phase is that of the stretch's beginning.
    """

    def __init__(self, began_ms: float) -> None:
        self.began_ms = began_ms
        self.phases: dict[str, float] = {}  # by name: ms since `began_ms`
        self._buckets: deque[tuple[float, list[int]]] = deque()  # (start, [asked, served]); at most 300
        self._judged_ms = -math.inf
        self.judged_by = 0  # ends in the stretch that was found full

    @property
    def full(self) -> bool:
        """Whether a stretch of full service was seen."""
        return "full" in self.phases

    def reach(self, name: str, at_ms: float) -> None:
        """A phase is reached; the first time counts."""
        self.phases.setdefault(name, max(0.0, at_ms - self.began_ms))

    def ended(self, now_ms: float, class_name: str, end: End) -> None:
        """A request ended."""
        if end is End.SERVED:
            self.reach("first answer", now_ms)
            self.reach(f"first answer: {class_name}", now_ms)
        if end is not End.TURNED_AWAY:
            start = now_ms // BUCKET_MS * BUCKET_MS
            if not self._buckets or self._buckets[-1][0] < start:
                self._buckets.append((start, [0, 0]))
            counts = self._buckets[-1][1]
            counts[0] += 1
            counts[1] += end is End.SERVED
        self.judge(now_ms)

    def judge(self, now_ms: float) -> None:
        """Look at the stretch up to now, once a bucket."""
        if self.full or now_ms < self._judged_ms + BUCKET_MS:
            return
        self._judged_ms = now_ms
        while self._buckets and self._buckets[0][0] < now_ms - LONGEST_MS:
            self._buckets.popleft()
        asked, served, start = 0, 0, now_ms
        for start, (some, good) in reversed(self._buckets):
            asked, served = asked + some, served + good
            if now_ms - start >= FOR_MS and asked >= ENOUGH:
                break
        else:  # few: only the longest stretch will do
            if not asked or now_ms - self.began_ms < LONGEST_MS:
                return
        if served >= HALF * asked:
            self.reach("half", start)
        if served >= SERVES * asked:
            self.judged_by = asked
            # A bucket begins up to 0.1 s before the first answer in it.
            self.reach("full", max(start, self.began_ms + self.phases.get("first answer", 0.0)))


class Recovery:
    """One node's way back. `bar_ms` and `max_age_ms` come from the settings; both are over 0."""

    def __init__(self, now_ms: float, bar_ms: float = BAR_MS, max_age_ms: float = MAX_AGE_MS) -> None:
        self.bar_ms, self.max_age_ms = bar_ms, max_age_ms
        self.state, self.since_ms, self.reason = State.BLANK, now_ms, "it starts"
        self.memory, self.incarnation = Memory.NONE, 1
        self.memory_age_ms = 0.0  # at the start, clamped; of `kept` and `older`
        self.barred_until_ms = now_ms + bar_ms  # roles that rest on memory
        self.up = self.vouched = 0
        self.doubt = False  # it stood still, and no source has spoken since
        self.parts: dict[str, float] = {}
        self.meter = Meter(now_ms)
        self._now_ms = now_ms
        self._paused = False  # it stood still in this life
        self._told = False  # whether this life's number was told to others
        self._out: list[Action] = []

    def __repr__(self) -> str:
        barred = "" if self.may_take_roles(self._now_ms) else ", no roles"
        return f"<Recovery {self.state.value}, life {self.incarnation}, memory {self.memory.value}{barred}>"

    @property
    def allowed(self) -> Allowed:
        """What the present state may do."""
        return ALLOWED[self.state]

    def may_take_roles(self, now_ms: float) -> bool:
        """Whether a role that rests on memory may be taken, or gone on with. To be asked before each act."""
        return self.allowed.roles and now_ms >= self.barred_until_ms

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event."""
        self._now_ms, self._out = max(now_ms, self._now_ms), []
        match event:
            case Ended():
                if not self.meter.full:
                    self.meter.ended(self._now_ms, event.class_name, event.end)
            case Due():
                self.meter.judge(self._now_ms)
            case Started():
                self._started(event)
            case ViewChanged():
                self.up = max(0, event.up)
                self.vouched = min(self.up, max(0, event.vouched))
                self._viewed()
            case SourceSpoke():
                self.doubt = False
                self._viewed()
            case StoodStill():
                self._stood(event.stood_ms)
            case OthersKnew():
                self._knew(event.incarnation)
            case Reminded():
                self._lift("the others have told what it forgot")
            case Rose():
                if self.incarnation < event.incarnation < MOST:
                    self.incarnation = event.incarnation
                    self._out.append(Raise(event.incarnation))
        if self.meter.full and self.state is State.CONFIRMED:
            self._step(Kind.SERVED)
        return self._out

    def _started(self, event: Started) -> None:
        self.parts = {str(name): ms for name, ms in event.parts.items() if 0 <= ms < math.inf}
        kept, least = event.kept, max(0, event.least - 1)
        if event.fault or kept is None:
            self.memory = Memory.LOST if event.fault else Memory.NONE
            if event.fault:
                self._out.append(Say(f"what was kept is lost: {event.fault:.300}", loud=True))
            self._raise(least)
        else:
            self.memory_age_ms, odd = age_of(kept.saved_wall_ms, event.wall_ms, self.max_age_ms)
            self.memory = Memory.OLDER if odd or kept.older else Memory.KEPT
            odd = odd or ("something newer was kept and cannot be believed" if kept.older else "")
            if odd:
                self._out.append(Say(odd, loud=True))
            self._raise(max(kept.incarnation, least) if 0 <= kept.incarnation < MOST else kept.incarnation)
        if self._paused:  # while what was kept was being read
            self._age()
        self._bar(0.0 if self.memory is Memory.KEPT else self.bar_ms)

    def _viewed(self) -> None:
        if not self.up:
            self._step(Kind.NOBODY)
        else:
            sure = self.vouched >= HALF * self.up and not self.doubt
            self._step(Kind.VOUCHED if sure else Kind.REMEMBERED)

    def _stood(self, stood_ms: float) -> None:
        """What it knows is as old as the pause, and others may have taken its roles over meanwhile."""
        self.doubt = self._paused = True
        self._age()
        self.memory_age_ms = min(self.max_age_ms, max(0.0, stood_ms))
        self._begin_anew()
        self._bar(self.bar_ms)
        self._step(Kind.STOOD)

    def _age(self) -> None:
        self.memory = Memory.LOST if self.memory is Memory.LOST else Memory.OLDER

    def _knew(self, incarnation: int) -> None:
        """The others' word is the one thing that tells a first start from a lost memory."""
        if not 0 <= incarnation < MOST:
            self._out.append(Say(f"others call this node's incarnation {incarnation!r:.40}: not believed"))
            return
        if incarnation < self.incarnation:
            self._lift("the others have seen no later life of it")
            return
        if incarnation == self.incarnation and self._told:
            return  # this life: it was told to them
        self.memory = Memory.OLDER if self.memory in (Memory.KEPT, Memory.OLDER) else Memory.LOST
        self._raise(incarnation)
        self._bar(self.bar_ms)
        self._begin_anew()
        self._step(Kind.FORGOT)

    def told(self) -> None:
        """This life's incarnation is kept durably and is now told to the others."""
        self._told = True

    def _raise(self, seen: int) -> None:
        if not 0 <= seen < MOST:
            self._out.append(Say(f"incarnation {seen!r:.40} is none: it begins at 1", loud=True))
            self.memory, seen = Memory.LOST, 0
        self.incarnation, self._told = max(self.incarnation, seen + 1), False
        self._out.append(Raise(self.incarnation))

    def _bar(self, for_ms: float) -> None:
        self.barred_until_ms = self._now_ms + for_ms
        self._out.append(Wait(self._now_ms + min(for_ms or LONGEST_MS, LONGEST_MS)))

    def _lift(self, why: str) -> None:
        if self._now_ms < self.barred_until_ms:
            self.barred_until_ms = self._now_ms
            self._out.append(Say(f"roles that rest on memory may be taken: {why}"))

    def _begin_anew(self) -> None:
        self.meter, self.parts = Meter(self._now_ms), {}

    def _step(self, kind: Kind) -> None:
        after = NEXT[self.state][kind]
        if after is self.state:
            return
        self.state, self.since_ms, self.reason = after, self._now_ms, kind.value
        self._out.append(Became(after, kind.value))
        if after is State.FULL:
            full, count = self.meter.phases["full"], self.meter.judged_by
            text = f"full service {full / 1000:.1f} s after the start, by {count} requests"
            text += f"; memory {self.memory.value}, life {self.incarnation}"
            parts = ", ".join(f"{name} {ms:.0f} ms" for name, ms in self.parts.items())
            self._out.append(Say(f"{text}; {parts}" if parts else text))

    def waits_for(self, now_ms: float) -> list[str]:
        """In plain words; empty where there is nothing left to wait for."""
        out = []
        if self.state is State.BLANK:
            out.append("a list of servers")
        elif self.state is State.PROVISIONAL:
            out.append("a source" if self.doubt else f"a source, or answers of half of {self.up} servers")
        if self.state is not State.FULL and not self.meter.full:
            out.append(f"{SERVES:.0%} of the requests served for {FOR_MS / 1000:.0f} s")
        if (left := self.barred_until_ms - now_ms) > 0:
            out.append(f"the others' word, or {left / 1000:.0f} s, before roles that rest on memory")
        return out

    def status(self, now_ms: float) -> dict[str, Any]:
        """For operators. `since` is a clock time in ms; parts of the start come before the phases."""
        phases = [*self.parts.items(), *sorted(self.meter.phases.items(), key=lambda item: item[1])]
        return {
            "state": self.state.value,
            "since": self.since_ms,
            "incarnation": self.incarnation,
            "memory": self.memory.value,
            "waits_for": self.waits_for(now_ms),
            "phases": [{"name": name, "ms": round(ms, 1)} for name, ms in phases],
        }
