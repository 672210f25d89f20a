"""Runs the recovery state machine of a node that has an operators' file.

`RecoveryComponent` passes the node's events (requests, endpoint lists, stalls) to `core/recovery`, answers
`recovery` on the admin socket, and writes to the log and the timeline. In full service it does not observe
requests until the process has stalled. Memory is bounded by the number of open requests.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any

from balancer import interface as api
from balancer.core import recovery
from balancer.core.discovery import endpoint_merger, source_state
from balancer.core.service_meter import RequestOutcome
from balancer.core.stall_detector import STALL_THRESHOLD_MS
from balancer.net.component import PEERS_SOURCE, RunningNode
from balancer.operator_settings import OperatorSettings

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
"""Interval of the periodic check for stalls and changed endpoint counts."""
DEADLINE_TOLERANCE_MS = 50.0
"""A client that leaves this shortly before its deadline counts as not answered in time."""
UNCONNECTED_STATUSES = frozenset(
    {api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.NOT_STARTED, api.AttemptStatus.CANCELLED}
)


class RecoveryComponent:
    """Recovery of one node from its start, or a stall, to full service."""

    def __init__(self, running: RunningNode) -> None:
        self.running, self.node = running, running.node
        now_ms = self.node.now()
        # The process started before its measured startup phases, which cover all the time until now.
        self.recovery = recovery.Recovery(now_ms - sum(running.start_phases_ms.values()))
        # The store's status; None without persistence.
        self.store_status: Callable[[], dict[str, Any]] | None = None
        # Persists the incarnation; without persistence it does nothing.
        self.persist_incarnation: Callable[[int], None] = lambda incarnation: None
        self.on_begun: list[Callable[[], None]] = []  # called by `begin`
        self.has_begun = False  # whether `begin` was called: it is known what was persisted
        self.loop = asyncio.get_running_loop()
        self._open_requests: dict[str, tuple[str, float]] = {}  # class and deadline (ms) by request
        self._rejected_requests: set[str] = set()  # open requests that a backend rejected for capacity
        self._startup_phases_ms: dict[str, float] = dict(running.start_phases_ms)
        self._is_observing = self._has_stalled = False
        self._endpoint_counts = (0, 0)  # up, and up and confirmed
        self._last_check_ms = now_ms
        self._timer: asyncio.TimerHandle | None = None
        running.recovery = self
        running.admin_socket.register("recovery", self.report)
        running.endpoint_view.listeners.append(self._on_merge)
        self._observe_requests(True)
        self._check()

    def apply(self, settings: OperatorSettings) -> None:
        """Begin at once without persistence; otherwise `begin` is called when the store has been read."""
        if settings.state is None and not self.has_begun:
            self.begin(None)

    async def close(self) -> None:
        """Stop observing the node."""
        self._observe_requests(False)
        if self._timer is not None:
            self._timer.cancel()
        if self._on_merge in self.running.endpoint_view.listeners:
            self.running.endpoint_view.listeners.remove(self._on_merge)

    def begin(
        self,
        persisted: recovery.PersistedIncarnation | None,
        fault: str = "",
        min_incarnation: int = 1,
        wall_ms: float = 0.0,
    ) -> None:
        """Start recovery with the persisted state; only the first call has an effect.

        `fault` is the reason why the persisted state cannot be used. The other parameters are those of
        `recovery.ProcessStarted`.
        """
        if not self.has_begun:
            self.has_begun = True
            self.handle(
                recovery.ProcessStarted(persisted, wall_ms, fault, self._startup_phases_ms, min_incarnation)
            )
            for callback in self.on_begun:
                callback()

    def report(self) -> dict[str, Any]:
        """The answer to the admin command `recovery`."""
        status = self.recovery.status(self.node.now())
        status["since"] = round(status["since"])
        if not self.has_begun:
            status["waits_for"] = [*status["waits_for"], "the persisted state to be read"]
        status["store"] = None if self.store_status is None else self.store_status()
        return status

    # --- observed events

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Implement `Observer`: record the outcome of requests and the first connection."""
        if isinstance(event, api.RequestArrived):
            self._open_requests[event.request] = event.class_name, event.deadline_ms
        elif isinstance(event, api.AttemptFinished):
            if event.status not in UNCONNECTED_STATUSES:
                self._record_phase("first connects")
            if event.request in self._open_requests:
                if event.status is api.AttemptStatus.OK:
                    self._finish_request(event.request, RequestOutcome.SERVED)
                elif event.status is api.AttemptStatus.REJECTED:
                    self._rejected_requests.add(event.request)
        elif (
            isinstance(event, api.ClientLeft)
            and (open_request := self._open_requests.get(event.request)) is not None
        ):
            if now_ms >= open_request[1] - DEADLINE_TOLERANCE_MS:
                self._finish_request(event.request, RequestOutcome.FAILED)
            else:
                self._forget_request(event.request)
        for action in actions:
            if (
                isinstance(action, (api.RejectRequest, api.FailRequest))
                and action.request in self._open_requests
            ):
                had_capacity = (
                    action.request not in self._rejected_requests
                    and action.reason is not api.DecisionReason.BACKEND_OVERLOADED
                )
                self._finish_request(
                    action.request,
                    RequestOutcome.FAILED if had_capacity else RequestOutcome.REJECTED_BY_BACKENDS,
                )

    def _finish_request(self, request: str, outcome: RequestOutcome) -> None:
        class_name = self._open_requests[request][0]
        self._forget_request(request)
        self.handle(recovery.RequestFinished(class_name, outcome))

    def _forget_request(self, request: str) -> None:
        self._open_requests.pop(request, None)
        self._rejected_requests.discard(request)

    def _observe_requests(self, is_enabled: bool) -> None:
        """Start or stop observing requests; requests that are open at that time are not counted."""
        if is_enabled is not self._is_observing:
            self._is_observing = is_enabled
            self._open_requests.clear()
            self._rejected_requests.clear()
            observers = self.running.observers
            observers.add(self) if is_enabled else observers.remove(self)

    def _on_merge(self, event: endpoint_merger.Event, actions: list[endpoint_merger.Action]) -> None:
        if self.recovery.state is recovery.RecoveryState.BLANK:
            self._update_endpoint_counts()  # at once, because the node may be able to serve from now on
        if isinstance(event, (endpoint_merger.EndpointsListed, endpoint_merger.SourceConfirmedCurrent)):
            source = self.running.endpoint_view.merger.sources.get(event.source)
            is_secondhand = event.source == PEERS_SOURCE or (
                isinstance(event, endpoint_merger.EndpointsListed) and event.is_cached
            )
            if source is not None and source.state is source_state.SourceState.IN_SYNC and not is_secondhand:
                self._record_phase("first list")
                if self.recovery.is_awaiting_source:
                    self.handle(recovery.SourceResponded())

    def _record_phase(self, name: str) -> None:
        """Record the duration of a startup phase: the time since the start of the process."""
        if not self._has_stalled and name not in self._startup_phases_ms:
            self._startup_phases_ms[name] = self.node.now() - self.recovery.meter.began_ms
            if self.has_begun:
                self.recovery.startup_phases_ms[name] = self._startup_phases_ms[name]

    def _check(self) -> None:
        """Periodic check: detect stalls, and update endpoint counts and time-based conditions."""
        self._timer = self.loop.call_later(CHECK_INTERVAL_S, self._check)
        now_ms = self.node.now()
        stall_ms, self._last_check_ms = now_ms - self._last_check_ms - 1000 * CHECK_INTERVAL_S, now_ms
        if stall_ms > STALL_THRESHOLD_MS:
            self._has_stalled = True
            self.handle(recovery.ProcessStalled(stall_ms))
        self._update_endpoint_counts()
        self.handle(recovery.TimerFired())
        self._observe_requests(self.recovery.state is not recovery.RecoveryState.FULL)
        self.running.flush_events()

    def _update_endpoint_counts(self) -> None:
        up_backends = [
            backend
            for backend in self.node.balancer.backends.values()
            if backend.endpoint.phase is api.Phase.UP
        ]
        counts = len(up_backends), sum(backend.is_confirmed for backend in up_backends)
        if counts != self._endpoint_counts:
            self._endpoint_counts = counts
            self.handle(recovery.EndpointViewChanged(*counts))

    def handle(self, event: recovery.Event) -> None:
        """Pass an event to the state machine and perform its actions."""
        now_ms = self.node.now()
        for action in self.recovery.handle(now_ms, event):
            if isinstance(action, recovery.WriteLog):
                log.log(logging.WARNING if action.is_warning else logging.INFO, "recovery: %s", action.text)
            elif isinstance(action, recovery.ReportState):
                details: dict[str, object] = {
                    "why": action.reason,
                    "memory": self.recovery.persisted_state.value,
                }
                self.running.record_event("recovery", "node", action.state.value, "recovery", details)
            elif isinstance(action, recovery.PersistIncarnation):
                self.persist_incarnation(action.incarnation)
