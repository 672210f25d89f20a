"""Tracks this node's incarnation, refutes claims against it, and resolves name conflicts."""

from __future__ import annotations

from balancer.core.cluster.failure_detector import parameters
from balancer.core.cluster.failure_detector.broadcasts import PendingBroadcasts
from balancer.core.cluster.failure_detector.events import (
    Action,
    NotifyPeerChange,
    PeerChange,
    PersistIncarnation,
)
from balancer.core.cluster.failure_detector.local_health import LocalHealth
from balancer.core.cluster.failure_detector.member_records import MemberRecord, PeerState, accuser_id


class OwnNode:
    """This node as a member; `actions` collects the actions of the event that the detector is handling.

    - `is_asking_for_incarnation` is set while the persisted incarnation is lost or may be outdated. The node
      then sends with incarnation 0, so that no other node regards it as a member, and records the greatest
      incarnation that other nodes know of it.
    - `conflicting_address` is the address of another node with this name, or empty.
    - `has_yielded_name` is set while this node waits for that other node to leave or fail. It also sends with
      incarnation 0 then.
    """

    def __init__(
        self,
        name: str,
        address: str,
        persisted_incarnation: int | None,
        ask_for_incarnation: bool,
        broadcasts: PendingBroadcasts,
        local_health: LocalHealth,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = 0 if persisted_incarnation is None else persisted_incarnation + 1
        self.accuser_id = accuser_id(name)
        self.is_asking_for_incarnation = persisted_incarnation is None or ask_for_incarnation
        self.has_yielded_name = False
        self.has_left = False
        self.conflicting_address = ""
        self.actions: list[Action] = []
        self._started_ms = 0.0
        self._first_answer_ms = float("inf")
        self._greatest_reported_incarnation = 0
        self._conflict_times_ms: list[float] = []
        self._broadcasts = broadcasts
        self._local_health = local_health

    @property
    def is_silent(self) -> bool:
        """Whether this node does not take part as a member: it neither probes peers nor answers probes."""
        return self.is_asking_for_incarnation or self.has_yielded_name

    @property
    def sent_incarnation(self) -> int:
        """The incarnation carried by this node's datagrams."""
        return 0 if self.is_silent else self.incarnation

    @property
    def record(self) -> MemberRecord:
        """This node's claim about itself."""
        return MemberRecord(self.name, PeerState.ALIVE, self.incarnation, self.address)

    @property
    def reported_incarnation(self) -> int | None:
        """The greatest incarnation that other nodes reported before this node took part; None if none did."""
        return self._greatest_reported_incarnation if self._first_answer_ms < float("inf") else None

    def start(self, now_ms: float) -> None:
        """Starts to take part, or to ask for the incarnation."""
        self._started_ms = now_ms
        if not self.is_asking_for_incarnation:
            self.actions.append(PersistIncarnation(self.incarnation))

    def on_answer(self, now_ms: float) -> None:
        """Records that a member answered the request for this node's incarnation."""
        self._first_answer_ms = min(self._first_answer_ms, now_ms)

    def end_asking_when_due(self, now_ms: float) -> None:
        """Stops asking once answers had time to arrive, or after NO_ANSWER_WAIT_MS without any.

        The node then uses an incarnation above the greatest reported one.
        """
        if self.is_asking_for_incarnation and (
            now_ms - self._first_answer_ms >= parameters.INCARNATION_ANSWERS_WAIT_MS
            or now_ms - self._started_ms >= parameters.NO_ANSWER_WAIT_MS
        ):
            self.is_asking_for_incarnation = False
            self._raise_incarnation(self._greatest_reported_incarnation + 1)

    def on_record(self, now_ms: float, record: MemberRecord) -> None:
        """Handles a claim about this node; a greater incarnation refutes it (SWIM, section 4.2)."""
        if self.is_asking_for_incarnation:
            self._greatest_reported_incarnation = max(self._greatest_reported_incarnation, record.incarnation)
            return
        if record.incarnation < self.incarnation:
            return
        if record.address != self.address and record.is_present:
            self._on_name_conflict(now_ms, record)
        elif self.has_yielded_name and record.state >= PeerState.FAILED:
            self.has_yielded_name = False
            self.conflicting_address = ""
            self._notify(PeerChange.NAME_RESUMED, f"the node at {record.address} is gone")
            self._raise_incarnation(record.incarnation + 1)
        elif not self.has_yielded_name and (
            record.state != PeerState.ALIVE or record.incarnation > self.incarnation
        ):
            if record.state == PeerState.SUSPECT:
                self._local_health.adjust(1)
            self._raise_incarnation(record.incarnation + 1)

    def _on_name_conflict(self, now_ms: float, record: MemberRecord) -> None:
        """Handles a record of another address with this name: this node before it moved, or a second node.

        Of two nodes, the one with the lesser address keeps the name.
        """
        if self.has_yielded_name:
            self.incarnation = record.incarnation  # this node resumes above it
            return
        conflict_times_ms = self._conflict_times_ms
        if conflict_times_ms and now_ms - conflict_times_ms[-1] > parameters.NAME_CONFLICT_WINDOW_MS:
            conflict_times_ms.clear()
        conflict_times_ms.append(now_ms)
        if len(conflict_times_ms) == parameters.NAME_CONFLICTS_TO_YIELD - 1:
            self.conflicting_address = record.address
            self._notify(PeerChange.NAME_CONFLICT, f"here at {self.address} and at {record.address}")
        if len(conflict_times_ms) >= parameters.NAME_CONFLICTS_TO_YIELD:
            del conflict_times_ms[: -parameters.NAME_CONFLICTS_TO_YIELD]
            if self.address > record.address:
                self.has_yielded_name = True
                self._notify(PeerChange.NAME_YIELDED, f"to the node at {record.address}")
                return
        self._raise_incarnation(record.incarnation + 1)

    def _raise_incarnation(self, incarnation: int) -> None:
        self.incarnation = max(self.incarnation, incarnation)
        self.actions.append(PersistIncarnation(self.incarnation))
        self._broadcasts.add(self.name)

    def _notify(self, change: PeerChange, reason: str) -> None:
        self.actions.append(NotifyPeerChange(change, self.name, reason))
