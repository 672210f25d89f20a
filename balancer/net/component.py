"""Defines the interface of components enabled by the operators' file, and the node that they run in."""

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

# The source of the endpoint merger that holds removals from peers (`core/cluster/gossiped_removals`).
PEERS_SOURCE = "peers"
MAX_QUEUED_EVENTS = 20  # kept until the time line is enabled


class Component(Protocol):
    """A component that the operators' file enables, disables or changes.

    It is created by the first settings that enable it.
    """

    def apply(self, settings: OperatorSettings) -> None:
        """Apply these settings, which may be unchanged for this component.

        Raises ValueError with a message for the operator, and changes nothing, if they cannot be applied.
        """

    async def close(self) -> None:
        """Stop the component because the node shuts down."""


class Observers:
    """Distributes decisions to several observers; one that fails is removed without the others."""

    def __init__(self, node: RequestDispatcher) -> None:
        self.node, self.observers = node, list[Observer]()

    def add(self, observer: Observer) -> None:
        """Notify the observer of all decisions from now on."""
        self.observers.append(observer)
        self._install()

    def remove(self, observer: Observer | None) -> None:
        """Stop notifying the observer; an unknown one is ignored."""
        self.observers = [other for other in self.observers if other is not observer]
        self._install()

    def _install(self) -> None:
        """Set the observer of the node; a single one is called directly, without this indirection."""
        self.node.observer = (
            None if not self.observers else self.observers[0] if len(self.observers) == 1 else self
        )

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Implement `Observer` by notifying all observers."""
        for observer in self.observers:
            try:
                observer.on_decision(now_ms, event, actions)
            except Exception:  # an error of one observer must not affect the others
                log.exception("an observer failed on %s and is removed", type(event).__name__)
                self.remove(observer)


@dataclass(slots=True)
class RunningNode:
    """The running node as its components see it.

    `configured_sources` take precedence over sources that components add. `start_phases_ms` holds the
    durations of the phases of the process start (`net/recovery`), `name` the name of the node.
    """

    node: RequestDispatcher
    endpoint_view: EndpointView
    configured_sources: tuple[Source, ...]
    admin_socket: AdminSocket
    timeline_monitor: TimelineMonitor | None = None  # while the time line is enabled
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
        self, event_type: str, scope: str, subject: str, signal: str, evidence: dict[str, object]
    ) -> None:
        """Record an event that is not a departure of a backend on the time line, once that is enabled.

        `event_type`, `scope` and `signal` are values of the enums in `core/anomaly_detection/events`, which
        is loaded only with the time line.
        """
        self._event_count += 1  # recorded as a negative number: numbers of departures start at 1
        self._queued_events.append(
            (self._event_count, self.node.now(), event_type, scope, subject, signal, evidence)
        )
        self.flush_events()

    def flush_events(self) -> None:
        """Pass the queued events to the time line if it is enabled."""
        if self.timeline_monitor is None or not self._queued_events:
            return
        from balancer.core.anomaly_detection.events import (
            EventType,
            Scope,
            Signal,
            TimelineEvent,
        )

        while self._queued_events:
            event_number, recorded_at_ms, event_type, scope, subject, signal, evidence = (
                self._queued_events.popleft()
            )
            timeline_event = TimelineEvent(
                EventType(event_type),
                -event_number,
                recorded_at_ms,
                recorded_at_ms,
                Scope(scope),
                subject,
                Signal(signal),
                evidence,
            )
            self.timeline_monitor.add_event(timeline_event)
