"""Events that the failure detector takes, actions that it returns, and its options."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from balancer.core.cluster.failure_detector.messages import Message


@dataclass(slots=True, frozen=True)
class Started:
    """The node may send. Where no incarnation was persisted it begins by asking others for it."""


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of the last `SetTimer` has come; too early is harmless."""


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """An authentic datagram came.

    `is_current` is False if the sender was heard in a greater incarnation before.
    """

    sender: str
    incarnation: int
    source: str
    message: Message
    is_current: bool = True


@dataclass(slots=True, frozen=True)
class ProcessStalled:
    """The own event loop stalled (`core/stall_detector`)."""

    stall_ms: float


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The process was told to end."""


Event = Started | TimerFired | DatagramReceived | ProcessStalled | ShutdownStarted


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send `message` to `address`, as `incarnation` of this node; 0 while it asks for its incarnation."""

    address: str
    incarnation: int
    message: Message


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` at that time; replaces the one before."""

    at_ms: float


@dataclass(slots=True, frozen=True)
class PersistIncarnation:
    """Persist the incarnation, before the datagrams behind it are sent where that is possible."""

    incarnation: int


class PeerChange(StrEnum):
    """What changed in the membership; the values are part of event names on the time line and of metrics."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    RETURNED = "returned"  # alive again, by a greater incarnation
    MOVED = "moved"  # to another address
    DOUBLED = "doubled"  # two nodes have one name
    YIELDED = "yielded"  # this node stopped speaking, as another one has its name
    RESUMED = "resumed"  # this node speaks again, as that one is gone
    FULL = "full"  # a peer was not taken in, as the table is full


@dataclass(slots=True, frozen=True)
class NotifyPeerChange:
    """Tell the node of a change in the membership; `name` is whom it is about, which may be this node."""

    change: PeerChange
    name: str
    reason: str


Action = SendDatagram | SetTimer | PersistIncarnation | NotifyPeerChange


@dataclass(slots=True, frozen=True)
class Options:
    """Parts of the protocol that a benchmark switches off, one at a time, to measure what each is worth."""

    local_health: bool = True
    dogpile_suspicion: bool = True
    buddy_system: bool = True
    fill_datagrams: bool = True
    immediate_gossip: bool = True
