"""By how many nodes to divide what all of them share, and whether this one takes a share.

A node's `count` is the greatest of the settings' number G and, for each node it has heard of that did not say
that it left, that one's number and one. It rises at once, and falls FALL_MS after the last of those above has
said itself that it leaves. Who is silent stays counted: it may serve on the other side of a cut, and no count
of who is heard can tell (docs/design/peers.md weighs what else was thought of).

- One of the G takes 1 / count.
- One beyond takes nothing until all of lower numbers told, within ACK_MS, that they count it in this life.
- One that may have forgotten whom it counted (nothing was kept) divides by G + BEYOND, the most there can be,
  and one beyond takes nothing, for BAR_MS and until one of the G that is sure tells whom it counts, or all G
  were heard.

Why the sum over all nodes is never above the whole, in any cut: let M be the greatest number that takes a
share. All lower ones counted M before it did, and go on to until it left. One that forgot learns of M before
it is sure, as whatever M was admitted by was told before BAR_MS were over; until then it divides by more. So
all that take a share, M + 1 at most, divide by M + 1 at least.

It rests on: a number is one node's (`core/cluster/failure_detector` names two that share one), G is the
same, or greater,
everywhere before a node of a new number starts, no datagram is over ACK_MS late, what was kept is kept, and
not all G have forgotten a newcomer that none of them hears, for longer than BAR_MS.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from balancer.core.cluster.failure_detector import SETTLE_MS
from balancer.core.recovery import BAR_MS

FALL_MS = 60_000.0
ACK_MS = 10_000.0
BEYOND = 24  # numbers above the settings' that can be counted: what one datagram tells

Known = tuple[int, int, bool]  # number, incarnation, left


@dataclass(slots=True, frozen=True)
class Told:
    """A node's word on whom it counts, from itself.

    `counts`: the life of this node that it counts, 0: none. `known`: those beyond the settings' number. One
    that `asks` is told the same in answer.
    """

    number: int
    life: int
    counts: int
    sure: bool
    asks: bool
    known: tuple[Known, ...]


@dataclass(slots=True, frozen=True)
class Left:
    """A node said that it leaves; its own word, by itself or passed on (`core/cluster/failure_detector`)."""

    number: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class Leaving:
    """This node ends: it takes no share any more."""


@dataclass(slots=True, frozen=True)
class Stood:
    """The own loop stood still: what is read now may be as old."""


@dataclass(slots=True, frozen=True)
class Ticked:
    """Some time has passed."""


Event = Told | Left | Leaving | Stood | Ticked


@dataclass(slots=True, frozen=True)
class Kept:
    """Whom a node counts, and whether it is sure of that."""

    sure: bool
    known: tuple[Known, ...]


@dataclass(slots=True, frozen=True)
class Keep:
    """To be durable before the next word is told."""

    kept: Kept


@dataclass(slots=True, frozen=True)
class Nodes:
    """Divide by `count`; `takes` False: nothing of what is shared is for this node yet."""

    count: int
    takes: bool


Action = Keep | Nodes


class Shares:
    """`number`: this node's, from 0 on; `life`: the incarnation that it began with; `group`: G.

    `kept`: what `Keep` told in an earlier life, None where nothing is there.
    """

    def __init__(self, number: int, life: int, group: int, kept: Kept | None, now_ms: float) -> None:
        self.number, self.life, self.group = number, life, group
        self.sure = kept is not None and kept.sure
        self.admitted = number < group
        self.leaving = False
        self._began_ms = now_ms
        self._deaf_ms = float("-inf")  # what is read before may have waited while this node stood still
        self._heard: set[int] = {number}  # of the G, since BAR_MS were over
        self._counted: dict[int, float] = {}  # lower number -> when it told last that it counts this life
        self._known: dict[int, tuple[int, float | None]] = {}  # number -> incarnation, when it left
        self._falling: list[int] = []
        self._turn = 0
        self._told: tuple[Kept, Nodes] | None = None
        for one in kept.known if kept else ():
            self._merge(now_ms, *one)
        self._tick(now_ms)

    def __repr__(self) -> str:
        return f"<Shares {self.number}: {'1' if self.takes else 'nothing'} of {self.count}>"

    @property
    def count(self) -> int:
        """By how many to divide."""
        if not self.sure:
            return self.group + BEYOND
        counted = (number for number, (_, left_ms) in self._known.items() if left_ms is None)
        return 1 + max(self.group - 1, self.number, *counted, *self._falling)

    @property
    def takes(self) -> bool:
        """Whether a share is for this node."""
        return self.admitted and not self.leaving

    @property
    def share(self) -> float:
        """The part of the whole."""
        return 1.0 / self.count if self.takes else 0.0

    def word(self, to: int) -> Told:
        """What is told to another node, after `Keep` of the same."""
        life, left_ms = self._known.get(to, (0, None))
        counts = life if left_ms is None else 0
        return Told(self.number, self.life, counts, self.sure, self.asks, self._kept())

    @property
    def asks(self) -> bool:
        """Whether it needs the others' words: all lower numbers' within ACK_MS, or one's that is sure."""
        return not (self.sure and self.admitted) and not self.leaving

    def next_asked(self, numbers: Sequence[int], round_ms: float) -> list[int]:
        """Whom of those that are there to ask in this round: all in turn, within half of ACK_MS."""
        of = [number for number in sorted(numbers) if number < max(self.number, self.group)]
        if not of or not self.asks:
            return []
        count = ceil(2 * len(of) * round_ms / ACK_MS)
        self._turn += count
        return [of[(self._turn + at) % len(of)] for at in range(min(count, len(of)))]

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        match event:
            case Told() if now_ms >= self._deaf_ms and event.number != self.number:
                self._hear(now_ms, event)
            case Left():
                self._merge(now_ms, event.number, event.incarnation, True)
            case Leaving():
                self.leaving = True
            case Stood():
                self._deaf_ms = now_ms + SETTLE_MS
                self._counted.clear()
        self._tick(now_ms)
        told = Kept(self.sure, self._kept()), Nodes(self.count, self.takes)
        before, self._told = self._told, told
        out: list[Action] = [] if before and before[0] == told[0] else [Keep(told[0])]
        return out if before and before[1] == told[1] else [*out, told[1]]

    def _tick(self, now_ms: float) -> None:
        self._falling = [
            n for n, (_, left_ms) in self._known.items() if left_ms is not None and now_ms - left_ms < FALL_MS
        ]
        alone = self.group == 1 and self.number == 0
        self.sure = self.sure or (alone and now_ms - self._began_ms >= BAR_MS)

    def _kept(self) -> tuple[Known, ...]:
        return tuple((n, life, left_ms is not None) for n, (life, left_ms) in sorted(self._known.items()))

    def _hear(self, now_ms: float, event: Told) -> None:
        for one in event.known:
            self._merge(now_ms, *one)
        self._merge(now_ms, event.number, event.life, False)
        if now_ms - self._began_ms >= BAR_MS and event.number < self.group:
            self._heard.add(event.number)
            self.sure = self.sure or event.sure or len(self._heard & set(range(self.group))) == self.group
        if event.number < self.number and event.counts >= self.life:
            self._counted[event.number] = now_ms
        fresh = sum(now_ms - at <= ACK_MS for at in self._counted.values())
        self.admitted = self.admitted or (self.sure and fresh == self.number)

    def _merge(self, now_ms: float, number: int, incarnation: int, left: bool) -> None:
        """The greatest incarnation holds, and within one that it left."""
        if not self.group <= number < self.group + BEYOND or number == self.number:
            return
        held, left_ms = self._known.get(number, (0, None))
        if incarnation > held or (incarnation == held and left and left_ms is None):
            self._known[number] = (incarnation, now_ms if left else None)
