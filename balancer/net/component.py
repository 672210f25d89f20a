"""What the operators' file switches on while a node runs: its one shape, and what it may hold on to."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from balancer import interface as api
from balancer.core.discovery.source_state import Source
from balancer.net.admin_socket import AdminSocket
from balancer.net.endpoint_view import EndpointView
from balancer.net.request_dispatcher import RequestDispatcher
from balancer.operator_settings import OperatorSettings
from balancer.ports import Observer

if TYPE_CHECKING:
    from balancer.net.cluster import ClusterComponent
    from balancer.net.recovery import RecoveryComponent
    from balancer.timeline.monitor import TimelineMonitor

log = logging.getLogger(__name__)

PEERS_SOURCE = (
    "peers"  # the merge's source that stands for other nodes' words (`core/cluster/gossiped_removals`)
)
MAX_QUEUED_EVENTS = 20  # events kept for a time line that is not on yet


class Component(Protocol):
    """One thing that the operators' file switches on, off and over; made by the first settings with it on."""

    def apply(self, settings: OperatorSettings) -> None:
        """Do as these settings say from now on; they may say the same of it as before.

        Raises ValueError where that cannot be, in plain words, and leaves all as it was.
        """

    async def close(self) -> None:
        """Switch it off; the node ends."""


class Observers:
    """Several observers at the one gate that a node has; one that fails is taken off alone."""

    def __init__(self, node: RequestDispatcher) -> None:
        self.node, self.all = node, list[Observer]()

    def add(self, observer: Observer) -> None:
        """Show it what happens from now on."""
        self.all.append(observer)
        self._set()

    def remove(self, observer: Observer | None) -> None:
        """Show it nothing more; one that is not there is no fault."""
        self.all = [one for one in self.all if one is not observer]
        self._set()

    def _set(self) -> None:
        """The node pays for a call in between only where there are several."""
        self.node.observer = None if not self.all else self.all[0] if len(self.all) == 1 else self

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """As `Observer`."""
        for observer in self.all:
            try:
                observer.on_decision(now_ms, event, actions)
            except Exception:  # guards the others against the fault of one
                log.exception("an observer failed on %s and is taken off", type(event).__name__)
                self.remove(observer)


@dataclass(slots=True)
class RunningNode:
    """The running node as its parts see it. `listed` come before any source of theirs in precedence.

    `parts` are times of the start in ms (`net/recovery`), `name` the node's own.
    """

    node: RequestDispatcher
    fleet: EndpointView
    configured_sources: tuple[Source, ...]
    control: AdminSocket
    watch: TimelineMonitor | None = None  # the time line's, while that is on
    recovery: RecoveryComponent | None = None
    peers: ClusterComponent | None = None
    name: str = ""
    start_phases_ms: Mapping[str, float] = field(default_factory=dict)
    observers: Observers = field(init=False)
    _queued_events: deque[tuple[int, float, str, str, str, str, dict[str, object]]] = field(init=False)
    _event_count: int = field(init=False)

    def __post_init__(self) -> None:
        self.observers = Observers(self.node)
        self._queued_events, self._event_count = deque(maxlen=MAX_QUEUED_EVENTS), 0

    def record_event(
        self, step: str, scope: str, subject: str, signal: str, about: dict[str, object]
    ) -> None:
        """Something that is no departure of a server goes on the time line, as soon as that is on.

        `step`, `scope` and `signal` are values of `core/anomaly_detection/events`, which comes with the
        time line.
        """
        self._event_count += 1  # told below 0: the departures' own numbers begin at 1
        self._queued_events.append((self._event_count, self.node.now(), step, scope, subject, signal, about))
        self.flush_events()

    def flush_events(self) -> None:
        """Tell a time line that is on what waits for it."""
        if self.watch is None or not self._queued_events:
            return
        from balancer.core.anomaly_detection.events import (
            EventType,
            Scope,
            Signal,
            TimelineEvent,
        )

        while self._queued_events:
            number, at, step, scope, subject, signal, about = self._queued_events.popleft()
            told = TimelineEvent(
                EventType(step), -number, at, at, Scope(scope), subject, Signal(signal), about
            )
            self.watch.add_event(told)
