"""Divides a global limit among nodes without consensus, so that the sum of quotas never exceeds the limit.

A node that *holds a quota* may use 1 / divisor of the limit. The settings configure G nodes with the indices
0 to G - 1. A node with a higher index is a *newcomer*. Indices up to G + MAX_NEWCOMERS - 1 can be recorded.

Rules
    R1  A configured node holds a quota from its start until its shutdown starts.
    R2  A newcomer holds a quota from the time when it is certain (R5) and every lower index has acknowledged
        its current incarnation within the last ACKNOWLEDGEMENT_TTL_MS, until its shutdown starts.
    R3  A node records each newcomer that it learns of, directly or from another node's report. An
        acknowledgement states what is recorded, and the record is durable (`PersistQuota`) before the report
        that states it.
    R4  The divisor of a certain node is 1 + the highest of G - 1, its own index, and the recorded newcomers
        that have not left. It rises at once. It falls DIVISOR_DECREASE_DELAY_MS after a newcomer has itself
        announced its departure, because work that the newcomer admitted earlier may still run. Silence never
        lowers it, since a silent node may be serving on the other side of a network partition.
    R5  A node that may have forgotten newcomers (nothing was persisted) is uncertain. Its divisor is
        G + MAX_NEWCOMERS, the highest possible. It becomes certain no sooner than ROLE_HOLD_OFF_MS after its
        start, by the report of a certain configured node or once all configured nodes have reported. If
        G = 1, the configured node has no other node to wait for.

Assumptions
    A1  Each index belongs to one running node (`failure_detector` reports two that share a name).
    A2  Before a node with a new index starts, all nodes have the same G or a greater one.
    A3  No datagram is delivered or read later than ACKNOWLEDGEMENT_TTL_MS after it was sent. A node that
        stalled discards datagrams that may have waited in its socket (`LoopStalled`).
    A4  Persisted state is read back after a restart, or its loss is detected (nothing is read).
    A5  If no configured node hears from a newcomer that holds a quota within ROLE_HOLD_OFF_MS, at least one
        of them has not forgotten it.

Invariant
    For every newcomer M that holds a quota, each certain node with an index below M has recorded M.

The invariant implies the limit. Let M be the highest index that holds a quota. By A1, at most M + 1 nodes
hold one. Each of them divides by at least M + 1: node M itself by R4; an uncertain node by G + MAX_NEWCOMERS
(R2 admits no index that cannot be recorded); a certain node by R4, through the invariant or, if M is a
configured node, because the divisor is at least G. So the sum is at most (M + 1) / (M + 1) = 1.

Proof of the invariant, by the events that could break it
    M gains its quota at a time a. By R2 and R3, each lower node had recorded M when it acknowledged. A node
        that has since forgotten M, by a restart at time s, is still uncertain: its acknowledgement was sent
        before s, read before s + TTL (A3) and valid until s + 2 TTL, so a <= s + 2 TTL; and it stays
        uncertain until s + ROLE_HOLD_OFF_MS = s + 3 TTL at least (R5). TTL is ACKNOWLEDGEMENT_TTL_MS.
    A node lowers its divisor. Only the departure of M removes the record (R4), and M gave up its quota
        before it announced that departure. If M returns, it has a higher incarnation, which an old departure
        does not remove, and it holds no quota until all lower indices acknowledge that incarnation (R2).
    A node restarts with its persisted record. The record includes M, because it was durable before the
        acknowledgement was sent (R3, A4).
    A node that forgot M at its restart, at time s, becomes certain while M holds its quota. If M needed an
        acknowledgement from the restarted process, the node has recorded M. Otherwise a <= s + 2 TTL, as
        above. The reports that make the node certain are read at s + 3 TTL or later (R5), so they were sent
        at s + 2 TTL >= a or later (A3). If the sender was certain, it had recorded M by then, by the
        invariant (induction over the events in order of time), and its report lists M. If all configured
        nodes reported, one of them had not forgotten M (A5), and its report lists M.

tests/core/cluster/test_quota_allocation.py checks the sum over random event sequences and over all short
sequences of three nodes. docs/design/peers.md discusses the alternatives.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from typing import NamedTuple

from balancer.core.cluster.failure_detector.parameters import STALL_SETTLE_MS
from balancer.core.recovery import ROLE_HOLD_OFF_MS

DIVISOR_DECREASE_DELAY_MS = 60_000.0
# The proof above needs ROLE_HOLD_OFF_MS >= 3 * ACKNOWLEDGEMENT_TTL_MS.
ACKNOWLEDGEMENT_TTL_MS = 10_000.0
MAX_NEWCOMERS = 24  # the most that one datagram can list


class KnownNewcomer(NamedTuple):
    """The record of a newcomer: its highest known incarnation, and whether that incarnation has left."""

    node_index: int
    incarnation: int
    has_left: bool


@dataclass(slots=True, frozen=True)
class QuotaReport:
    """A report from one node to another, with the newcomers that the sender has recorded.

    `acknowledged_incarnation` is the incarnation of the receiver that the sender has recorded, or 0 if there
    is none. `newcomers` includes those that have left. If `wants_reply` is set, the receiver answers with its
    own report.
    """

    node_index: int
    incarnation: int
    acknowledged_incarnation: int
    is_certain: bool
    wants_reply: bool
    newcomers: tuple[KnownNewcomer, ...]


@dataclass(slots=True, frozen=True)
class NodeLeft:
    """A node has announced its departure, directly to this node or through a peer."""

    node_index: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """This node has started to shut down and gives up its quota."""


@dataclass(slots=True, frozen=True)
class LoopStalled:
    """The event loop has stalled, so the datagrams read next may have waited for that long (A3)."""


@dataclass(slots=True, frozen=True)
class TimeAdvanced:
    """Time has passed without another event."""


Event = QuotaReport | NodeLeft | ShutdownStarted | LoopStalled | TimeAdvanced


@dataclass(slots=True, frozen=True)
class PersistedQuota:
    """The state that must survive a restart."""

    is_certain: bool
    newcomers: tuple[KnownNewcomer, ...]


@dataclass(slots=True, frozen=True)
class PersistQuota:
    """Make `state` durable before the next report is sent (R3)."""

    state: PersistedQuota


@dataclass(slots=True, frozen=True)
class SetQuota:
    """Use 1 / `divisor` of the limit if `has_quota` is set, otherwise none of it."""

    divisor: int
    has_quota: bool


Action = PersistQuota | SetQuota


class QuotaAllocator:
    """The quota state of one node; the module docstring states the rules.

    `incarnation` is the one that this process started with, `node_count` is G, and `persisted` is the state
    of the last `PersistQuota` of an earlier process, or None if there is none.
    """

    def __init__(
        self,
        node_index: int,
        incarnation: int,
        node_count: int,
        persisted: PersistedQuota | None,
        now_ms: float,
    ) -> None:
        self.node_index, self.incarnation, self.node_count = node_index, incarnation, node_count
        self.is_certain = persisted is not None and persisted.is_certain
        self.is_acknowledged = node_index < node_count
        self.is_shutting_down = False
        self._started_ms = now_ms
        self._ignored_until_ms = float("-inf")  # after a stall: reports read earlier may be late
        self._heard_indices: set[int] = {node_index}  # configured nodes heard after the hold-off
        self._acknowledged_ms: dict[int, float] = {}  # lower index -> time of its last acknowledgement
        self._newcomers: dict[int, tuple[int, float | None]] = {}  # index -> incarnation, time it left
        self._departing: list[int] = []  # newcomers that have left but still count in the divisor
        self._round_robin_position = 0
        self._last_announced: tuple[PersistedQuota, SetQuota] | None = None
        for newcomer in persisted.newcomers if persisted else ():
            self._record_newcomer(now_ms, newcomer)
        self._advance(now_ms)

    def __repr__(self) -> str:
        quota = f"1/{self.divisor}" if self.has_quota else f"none of {self.divisor}"
        return f"<QuotaAllocator {self.node_index}: {quota}>"

    @property
    def divisor(self) -> int:
        """The number that the limit is divided by (R4, R5)."""
        if not self.is_certain:
            return self.node_count + MAX_NEWCOMERS
        present = (index for index, (_, left_ms) in self._newcomers.items() if left_ms is None)
        return 1 + max(self.node_count - 1, self.node_index, *present, *self._departing)

    @property
    def has_quota(self) -> bool:
        """Whether this node may use its part of the limit (R1, R2)."""
        return self.is_acknowledged and not self.is_shutting_down

    @property
    def quota(self) -> float:
        """The fraction of the limit that this node may use, 0 to 1."""
        return 1.0 / self.divisor if self.has_quota else 0.0

    @property
    def wants_replies(self) -> bool:
        """Whether this node needs reports, to become certain or acknowledged."""
        return not (self.is_certain and self.is_acknowledged) and not self.is_shutting_down

    def report_for(self, node_index: int) -> QuotaReport:
        """Returns the report to another node, to be sent only after all earlier `PersistQuota` actions."""
        incarnation, left_ms = self._newcomers.get(node_index, (0, None))
        return QuotaReport(
            self.node_index,
            self.incarnation,
            incarnation if left_ms is None else 0,
            self.is_certain,
            self.wants_replies,
            self._known_newcomers(),
        )

    def next_queried(self, node_indices: Sequence[int], interval_ms: float) -> list[int]:
        """Returns the present nodes to query in this interval.

        Selects them round-robin, so that each node whose report matters is queried within half of
        ACKNOWLEDGEMENT_TTL_MS.
        """
        highest = max(self.node_index, self.node_count)
        candidates = [index for index in sorted(node_indices) if index < highest]
        if not candidates or not self.wants_replies:
            return []
        count = ceil(2 * len(candidates) * interval_ms / ACKNOWLEDGEMENT_TTL_MS)
        self._round_robin_position += count
        start = self._round_robin_position
        return [
            candidates[(start + offset) % len(candidates)] for offset in range(min(count, len(candidates)))
        ]

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Applies an event; returns the changes since the last call, `PersistQuota` first."""
        match event:
            case QuotaReport() if now_ms >= self._ignored_until_ms and event.node_index != self.node_index:
                self._receive_report(now_ms, event)
            case NodeLeft():
                self._record_newcomer(now_ms, KnownNewcomer(event.node_index, event.incarnation, True))
            case ShutdownStarted():
                self.is_shutting_down = True
            case LoopStalled():
                self._ignored_until_ms = now_ms + STALL_SETTLE_MS
                self._acknowledged_ms.clear()
        self._advance(now_ms)
        persisted = PersistedQuota(self.is_certain, self._known_newcomers())
        quota = SetQuota(self.divisor, self.has_quota)
        previous, self._last_announced = self._last_announced, (persisted, quota)
        actions: list[Action] = []
        if previous is None or previous[0] != persisted:
            actions.append(PersistQuota(persisted))
        if previous is None or previous[1] != quota:
            actions.append(quota)
        return actions

    def _advance(self, now_ms: float) -> None:
        self._departing = [
            index
            for index, (_, left_ms) in self._newcomers.items()
            if left_ms is not None and now_ms - left_ms < DIVISOR_DECREASE_DELAY_MS
        ]
        is_only_node = self.node_count == 1 and self.node_index == 0  # no other node can make it certain
        if is_only_node and now_ms - self._started_ms >= ROLE_HOLD_OFF_MS:
            self.is_certain = True

    def _known_newcomers(self) -> tuple[KnownNewcomer, ...]:
        return tuple(
            KnownNewcomer(index, incarnation, left_ms is not None)
            for index, (incarnation, left_ms) in sorted(self._newcomers.items())
        )

    def _receive_report(self, now_ms: float, report: QuotaReport) -> None:
        for newcomer in report.newcomers:
            self._record_newcomer(now_ms, newcomer)
        self._record_newcomer(now_ms, KnownNewcomer(report.node_index, report.incarnation, False))
        if now_ms - self._started_ms >= ROLE_HOLD_OFF_MS and report.node_index < self.node_count:
            self._heard_indices.add(report.node_index)
            has_heard_all = self._heard_indices.issuperset(range(self.node_count))
            self.is_certain = self.is_certain or report.is_certain or has_heard_all
        if report.node_index < self.node_index and report.acknowledged_incarnation >= self.incarnation:
            self._acknowledged_ms[report.node_index] = now_ms
        fresh_count = sum(
            now_ms - received_ms <= ACKNOWLEDGEMENT_TTL_MS for received_ms in self._acknowledged_ms.values()
        )
        if self.is_certain and fresh_count == self.node_index:
            self.is_acknowledged = True

    def _record_newcomer(self, now_ms: float, newcomer: KnownNewcomer) -> None:
        """Keeps the record with the higher incarnation; within one, a departure takes precedence."""
        index, incarnation, has_left = newcomer
        is_newcomer = self.node_count <= index < self.node_count + MAX_NEWCOMERS
        if not is_newcomer or index == self.node_index:
            return
        known_incarnation, left_ms = self._newcomers.get(index, (0, None))
        if incarnation > known_incarnation or (
            incarnation == known_incarnation and has_left and left_ms is None
        ):
            self._newcomers[index] = (incarnation, now_ms if has_left else None)
