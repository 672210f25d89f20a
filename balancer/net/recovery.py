"""Runs the recovery state machine of a node that has an operators' file.

`RecoveryComponent` feeds `core/recovery` from what passes through the node (requests, endpoint lists,
stalls), answers `recovery` on the admin socket, and writes to the log and the time line. In full service it
does not observe requests, until the process has stalled. Bound: the open requests.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any

from balancer import interface as api
from balancer.core import recovery as r
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.discovery import source_state
from balancer.core.service_meter import RequestOutcome
from balancer.core.stall_detector import STALL_THRESHOLD_MS
from balancer.net.component import PEERS_SOURCE, RunningNode
from balancer.operator_settings import OperatorSettings

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25  # s between two looks
DEADLINE_TOLERANCE_MS = 50.0  # before a request's deadline: whoever leaves then was not answered in time
UNCONNECTED_STATUSES = frozenset(
    {api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.NOT_STARTED, api.AttemptStatus.CANCELLED}
)


class RecoveryComponent:
    """The way back of one node."""

    def __init__(self, running: RunningNode) -> None:
        self.running, self.node = running, running.node
        now = self.node.now()
        # Since then the process has been there: what was measured of its start is all there was until now.
        self.recovery = r.Recovery(now - sum(running.start_phases_ms.values()))
        self.store_status: Callable[[], dict[str, Any]] | None = (
            None  # what the memory's store says of itself
        )
        self.persist_incarnation: Callable[[int], None] = lambda incarnation: (
            None
        )  # writes it down, where there is a memory
        self.on_begun: list[Callable[[], None]] = []  # told once it is known what was kept
        self.has_begun = False  # whether what was kept is known, or that there is none
        self.loop = asyncio.get_running_loop()
        self._open_requests: dict[
            str, tuple[str, float]
        ] = {}  # class and deadline of requests without an end
        self._rejected_requests: set[str] = set()  # those of them that a server had no room for
        self._startup_phases_ms: dict[str, float] = dict(running.start_phases_ms)
        self._is_observing = self._has_stalled = False
        self._view = (0, 0)
        self._last_check_ms = now
        self._timer: asyncio.TimerHandle | None = None
        running.recovery = self
        running.admin_socket.register("recovery", self.report)
        running.endpoint_view.listeners.append(self._on_merge)
        self._observe_requests(True)
        self._check()

    def apply(self, settings: OperatorSettings) -> None:
        """Without a memory it begins at once; with one, `begin` is called when that is read."""
        if settings.state is None and not self.has_begun:
            self.begin(None)

    async def close(self) -> None:
        """See no more."""
        self._observe_requests(False)
        if self._timer is not None:
            self._timer.cancel()
        if self._on_merge in self.running.endpoint_view.listeners:
            self.running.endpoint_view.listeners.remove(self._on_merge)

    def begin(
        self,
        persisted: r.PersistedIncarnation | None,
        fault: str = "",
        min_incarnation: int = 1,
        wall_ms: float = 0.0,
    ) -> None:
        """What was kept, once: `fault` says why it cannot be used, the rest see `recovery.ProcessStarted`."""
        if not self.has_begun:
            self.has_begun = True
            self.handle(r.ProcessStarted(persisted, wall_ms, fault, self._startup_phases_ms, min_incarnation))
            for told in self.on_begun:
                told()

    def report(self) -> dict[str, Any]:
        """Answer `recovery`."""
        out = self.recovery.status(self.node.now())
        out["since"] = round(out["since"])
        if not self.has_begun:
            out["waits_for"] = [*out["waits_for"], "what was kept to be read"]
        out["store"] = None if self.store_status is None else self.store_status()
        return out

    # --- what passes

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """As `Observer`."""
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
            and (found := self._open_requests.get(event.request)) is not None
        ):
            if now_ms >= found[1] - DEADLINE_TOLERANCE_MS:
                self._finish_request(event.request, RequestOutcome.FAILED)
            else:
                self._forget_request(event.request)
        for action in actions:
            if (
                isinstance(action, (api.RejectRequest, api.FailRequest))
                and action.request in self._open_requests
            ):
                room = (
                    action.request not in self._rejected_requests
                    and action.reason is not api.DecisionReason.BACKEND_OVERLOADED
                )
                self._finish_request(
                    action.request, RequestOutcome.FAILED if room else RequestOutcome.REJECTED_BY_BACKENDS
                )

    def _finish_request(self, request: str, outcome: RequestOutcome) -> None:
        name = self._open_requests[request][0]
        self._forget_request(request)
        self.handle(r.RequestFinished(name, outcome))

    def _forget_request(self, request: str) -> None:
        self._open_requests.pop(request, None)
        self._rejected_requests.discard(request)

    def _observe_requests(self, is_on: bool) -> None:
        """Be shown requests, or no more: those that are open then are not counted."""
        if is_on is not self._is_observing:
            self._is_observing = is_on
            self._open_requests.clear()
            self._rejected_requests.clear()
            observers = self.running.observers
            observers.add(self) if is_on else observers.remove(self)

    def _on_merge(self, event: membership.Event, actions: list[membership.Action]) -> None:
        if self.recovery.state is r.RecoveryState.BLANK:
            self._update_view()  # at once: it may serve from now on
        if isinstance(event, (membership.EndpointsListed, membership.SourceConfirmedCurrent)):
            source = self.running.endpoint_view.merger.sources.get(event.source)
            other = event.source == PEERS_SOURCE or (
                isinstance(event, membership.EndpointsListed) and event.is_cached
            )
            if source is not None and source.state is source_state.SourceState.IN_SYNC and not other:
                self._record_phase("first list")
                if self.recovery.is_in_doubt:
                    self.handle(r.SourceResponded())

    def _record_phase(self, name: str) -> None:
        """Something of the start is there: ms since the process began."""
        if not self._has_stalled and name not in self._startup_phases_ms:
            self._startup_phases_ms[name] = self.node.now() - self.recovery.meter.began_ms
            if self.has_begun:
                self.recovery.startup_phases_ms[name] = self._startup_phases_ms[name]

    def _check(self) -> None:
        """Now and then: the view's counts, the stretch without an end, whether the process stood still."""
        self._timer = self.loop.call_later(CHECK_INTERVAL_S, self._check)
        now = self.node.now()
        stall_ms, self._last_check_ms = now - self._last_check_ms - 1000 * CHECK_INTERVAL_S, now
        if stall_ms > STALL_THRESHOLD_MS:
            self._has_stalled = True
            self.handle(r.ProcessStalled(stall_ms))
        self._update_view()
        self.handle(r.TimerFired())
        self._observe_requests(self.recovery.state is not r.RecoveryState.FULL)
        self.running.flush_events()

    def _update_view(self) -> None:
        up = [b for b in self.node.balancer.backends.values() if b.endpoint.phase is api.Phase.UP]
        view = len(up), sum(b.is_confirmed for b in up)
        if view != self._view:
            self._view = view
            self.handle(r.EndpointViewChanged(*view))

    def handle(self, event: r.Event) -> None:
        """Something happened that bears on the way back."""
        now = self.node.now()
        for action in self.recovery.handle(now, event):
            if isinstance(action, r.WriteLog):
                log.log(logging.WARNING if action.is_warning else logging.INFO, "recovery: %s", action.text)
            elif isinstance(action, r.ReportState):
                about: dict[str, object] = {
                    "why": action.reason,
                    "memory": self.recovery.persisted_state.value,
                }
                self.running.record_event("recovery", "node", action.state.value, "recovery", about)
            elif isinstance(action, r.PersistIncarnation):
                self.persist_incarnation(action.incarnation)
