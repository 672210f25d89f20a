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

from balancer.core.cluster.failure_detector.parameters import STALL_SETTLE_MS
from balancer.core.recovery import ROLE_HOLD_OFF_MS

DIVISOR_DECREASE_DELAY_MS = 60_000.0
ACKNOWLEDGEMENT_TTL_MS = 10_000.0
MAX_NEWCOMERS = 24  # numbers above the settings' that can be counted: what one datagram tells

KnownNewcomer = tuple[int, int, bool]  # number, incarnation, left


@dataclass(slots=True, frozen=True)
class QuotaReport:
    """A node's word on whom it counts, from itself.

    `counts`: the life of this node that it counts, 0: none. `known`: those beyond the settings' number. One
    that `asks` is told the same in answer.
    """

    node_index: int
    incarnation: int
    acknowledged_incarnation: int
    is_certain: bool
    wants_reply: bool
    newcomers: tuple[KnownNewcomer, ...]


@dataclass(slots=True, frozen=True)
class NodeLeft:
    """A node said that it leaves; its own word, by itself or passed on (`core/cluster/failure_detector`)."""

    node_index: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This node ends: it takes no share any more."""


@dataclass(slots=True, frozen=True)
class LoopStalled:
    """The own loop stood still: what is read now may be as old."""


@dataclass(slots=True, frozen=True)
class TimeAdvanced:
    """Some time has passed."""


Event = QuotaReport | NodeLeft | ShutdownStarted | LoopStalled | TimeAdvanced


@dataclass(slots=True, frozen=True)
class PersistedQuota:
    """Whom a node counts, and whether it is sure of that."""

    is_certain: bool
    newcomers: tuple[KnownNewcomer, ...]


@dataclass(slots=True, frozen=True)
class PersistQuota:
    """To be durable before the next word is told."""

    state: PersistedQuota


@dataclass(slots=True, frozen=True)
class SetQuota:
    """Divide by `count`; `takes` False: nothing of what is shared is for this node yet."""

    divisor: int
    has_quota: bool


Action = PersistQuota | SetQuota


class QuotaAllocator:
    """`number`: this node's, from 0 on; `life`: the incarnation that it began with; `group`: G.

    `kept`: what `Keep` told in an earlier life, None where nothing is there.
    """

    def __init__(
        self, number: int, life: int, group: int, kept: PersistedQuota | None, now_ms: float
    ) -> None:
        self.node_index, self.incarnation, self.node_count = number, life, group
        self.is_certain = kept is not None and kept.is_certain
        self.is_acknowledged = number < group
        self.is_shutting_down = False
        self._started_ms = now_ms
        self._ignored_until_ms = float(
            "-inf"
        )  # what is read before may have waited while this node stood still
        self._heard_indices: set[int] = {number}  # of the G, since BAR_MS were over
        self._acknowledged_ms: dict[
            int, float
        ] = {}  # lower number -> when it told last that it counts this life
        self._newcomers: dict[int, tuple[int, float | None]] = {}  # number -> incarnation, when it left
        self._departing: list[int] = []
        self._round_robin_position = 0
        self._last_announced: tuple[PersistedQuota, SetQuota] | None = None
        for one in kept.newcomers if kept else ():
            self._merge_newcomer(now_ms, *one)
        self._advance(now_ms)

    def __repr__(self) -> str:
        return f"<Shares {self.node_index}: {'1' if self.has_quota else 'nothing'} of {self.divisor}>"

    @property
    def divisor(self) -> int:
        """By how many to divide."""
        if not self.is_certain:
            return self.node_count + MAX_NEWCOMERS
        counted = (number for number, (_, left_ms) in self._newcomers.items() if left_ms is None)
        return 1 + max(self.node_count - 1, self.node_index, *counted, *self._departing)

    @property
    def has_quota(self) -> bool:
        """Whether a share is for this node."""
        return self.is_acknowledged and not self.is_shutting_down

    @property
    def quota(self) -> float:
        """The part of the whole."""
        return 1.0 / self.divisor if self.has_quota else 0.0

    def report_for(self, to: int) -> QuotaReport:
        """What is told to another node, after `Keep` of the same."""
        life, left_ms = self._newcomers.get(to, (0, None))
        counts = life if left_ms is None else 0
        return QuotaReport(
            self.node_index,
            self.incarnation,
            counts,
            self.is_certain,
            self.wants_replies,
            self._known_newcomers(),
        )

    @property
    def wants_replies(self) -> bool:
        """Whether it needs the others' words: all lower numbers' within ACK_MS, or one's that is sure."""
        return not (self.is_certain and self.is_acknowledged) and not self.is_shutting_down

    def next_queried(self, numbers: Sequence[int], round_ms: float) -> list[int]:
        """Whom of those that are there to ask in this round: all in turn, within half of ACK_MS."""
        of = [number for number in sorted(numbers) if number < max(self.node_index, self.node_count)]
        if not of or not self.wants_replies:
            return []
        count = ceil(2 * len(of) * round_ms / ACKNOWLEDGEMENT_TTL_MS)
        self._round_robin_position += count
        return [of[(self._round_robin_position + at) % len(of)] for at in range(min(count, len(of)))]

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """What follows from an event."""
        match event:
            case QuotaReport() if now_ms >= self._ignored_until_ms and event.node_index != self.node_index:
                self._receive_report(now_ms, event)
            case NodeLeft():
                self._merge_newcomer(now_ms, event.node_index, event.incarnation, True)
            case ShutdownStarted():
                self.is_shutting_down = True
            case LoopStalled():
                self._ignored_until_ms = now_ms + STALL_SETTLE_MS
                self._acknowledged_ms.clear()
        self._advance(now_ms)
        told = (
            PersistedQuota(self.is_certain, self._known_newcomers()),
            SetQuota(self.divisor, self.has_quota),
        )
        before, self._last_announced = self._last_announced, told
        out: list[Action] = [] if before and before[0] == told[0] else [PersistQuota(told[0])]
        return out if before and before[1] == told[1] else [*out, told[1]]

    def _advance(self, now_ms: float) -> None:
        self._departing = [
            n
            for n, (_, left_ms) in self._newcomers.items()
            if left_ms is not None and now_ms - left_ms < DIVISOR_DECREASE_DELAY_MS
        ]
        alone = self.node_count == 1 and self.node_index == 0
        self.is_certain = self.is_certain or (alone and now_ms - self._started_ms >= ROLE_HOLD_OFF_MS)

    def _known_newcomers(self) -> tuple[KnownNewcomer, ...]:
        return tuple((n, life, left_ms is not None) for n, (life, left_ms) in sorted(self._newcomers.items()))

    def _receive_report(self, now_ms: float, event: QuotaReport) -> None:
        for one in event.newcomers:
            self._merge_newcomer(now_ms, *one)
        self._merge_newcomer(now_ms, event.node_index, event.incarnation, False)
        if now_ms - self._started_ms >= ROLE_HOLD_OFF_MS and event.node_index < self.node_count:
            self._heard_indices.add(event.node_index)
            self.is_certain = (
                self.is_certain
                or event.is_certain
                or len(self._heard_indices & set(range(self.node_count))) == self.node_count
            )
        if event.node_index < self.node_index and event.acknowledged_incarnation >= self.incarnation:
            self._acknowledged_ms[event.node_index] = now_ms
        fresh = sum(now_ms - at <= ACKNOWLEDGEMENT_TTL_MS for at in self._acknowledged_ms.values())
        self.is_acknowledged = self.is_acknowledged or (self.is_certain and fresh == self.node_index)

    def _merge_newcomer(self, now_ms: float, number: int, incarnation: int, left: bool) -> None:
        """The greatest incarnation holds, and within one that it left."""
        if not self.node_count <= number < self.node_count + MAX_NEWCOMERS or number == self.node_index:
            return
        held, left_ms = self._newcomers.get(number, (0, None))
        if incarnation > held or (incarnation == held and left and left_ms is None):
            self._newcomers[number] = (incarnation, now_ms if left else None)
