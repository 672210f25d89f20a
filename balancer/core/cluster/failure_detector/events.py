"""Defines the events that the failure detector takes, the actions that it returns, and its options."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from balancer.core.cluster.failure_detector.messages import Message


@dataclass(slots=True, frozen=True)
class Started:
    """The node may send; if no incarnation was persisted, it first asks other nodes for it."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of the last `SetTimer` has been reached; firing too early is harmless."""


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """An authentic datagram was received.

    `is_current` is False if a greater incarnation of the sender was heard earlier.
    """

    sender: str
    incarnation: int
    source: str
    message: Message
    is_current: bool = True


@dataclass(slots=True, frozen=True)
class ProcessStalled:
    """The event loop of this process stalled (`core/stall_detector`)."""

    stall_ms: float


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The process was asked to shut down."""


Event = Started | TimerFired | DatagramReceived | ProcessStalled | ShutdownStarted


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send `message` to `address` with this node's `incarnation`, which is 0 while the node is silent."""

    address: str
    incarnation: int
    message: Message


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a `TimerFired` at the given time, in place of any earlier request."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class PersistIncarnation:
    """Persist the incarnation, if possible before the datagrams of later actions are sent."""

    incarnation: int


class PeerChange(StrEnum):
    """A change in the membership; the values are part of timeline event names and of metrics."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    RETURNED = "returned"  # alive again with a greater incarnation
    MOVED = "moved"  # to another address
    NAME_CONFLICT = "doubled"  # two nodes have the same name
    NAME_YIELDED = "yielded"  # this node stopped taking part because another node has its name
    NAME_RESUMED = "resumed"  # this node takes part again because that other node is gone
    TABLE_FULL = "full"  # a peer was rejected because the member table is full


@dataclass(slots=True, frozen=True)
class NotifyPeerChange:
    """Notify the caller of a membership change; `name` is the node that changed, possibly this one."""

    change: PeerChange
    name: str
    reason: str


Action = SendDatagram | SetTimer | PersistIncarnation | NotifyPeerChange


@dataclass(slots=True, frozen=True)
class Options:
    """Parts of the protocol that a benchmark disables one at a time to measure the effect of each."""

    local_health: bool = True
    dogpile_suspicion: bool = True
    buddy_system: bool = True
    fill_datagrams: bool = True
    immediate_gossip: bool = True
