"""How far a running node is back, measured: on wherever there is an operators' file.

`RecoveryPart` feeds `core/recovery` from what passes through the node (arrivals, ends, news of the list,
pauses), answers `recovery` on the control socket and tells the log and the time line. Once the node is full
it sees requests no more, until the process has stood still. It is bounded by the open requests.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any

from balancer import interface as api
from balancer.core import recovery as r
from balancer.core.discovery import endpoint_merger as membership
from balancer.core.stall_detector import STOOD_MS
from balancer.net.component import PEERS, Running
from balancer.operator_settings import Operators

log = logging.getLogger(__name__)

EVERY = 0.25  # s between two looks
LATE_MS = 50.0  # before a request's deadline: whoever leaves then was not answered in time
NO_CONNECT = frozenset(
    {api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.NOT_STARTED, api.AttemptStatus.CANCELLED}
)


class RecoveryPart:
    """The way back of one node."""

    def __init__(self, running: Running) -> None:
        self.running, self.node = running, running.node
        now = self.node.now()
        # Since then the process has been there: what was measured of its start is all there was until now.
        self.recovery = r.Recovery(now - sum(running.parts.values()))
        self.store: Callable[[], dict[str, Any]] | None = None  # what the memory's store says of itself
        self.keep: Callable[[int], None] = lambda incarnation: None  # writes it down, where there is a memory
        self.when_begun: list[Callable[[], None]] = []  # told once it is known what was kept
        self.began = False  # whether what was kept is known, or that there is none
        self.loop = asyncio.get_running_loop()
        self._open: dict[str, tuple[str, float]] = {}  # class and deadline of requests without an end
        self._full: set[str] = set()  # those of them that a server had no room for
        self._parts: dict[str, float] = dict(running.parts)
        self._sees = self._stood = False
        self._view = (0, 0)
        self._turned_ms = now
        self._timer: asyncio.TimerHandle | None = None
        running.recovery = self
        running.control.register("recovery", self.report)
        running.fleet.listeners.append(self._heard)
        self._see(True)
        self._look()

    def apply(self, settings: Operators) -> None:
        """Without a memory it begins at once; with one, `begin` is called when that is read."""
        if settings.state is None and not self.began:
            self.begin(None)

    async def close(self) -> None:
        """See no more."""
        self._see(False)
        if self._timer is not None:
            self._timer.cancel()
        if self._heard in self.running.fleet.listeners:
            self.running.fleet.listeners.remove(self._heard)

    def begin(self, kept: r.Kept | None, fault: str = "", least: int = 1, wall_ms: float = 0.0) -> None:
        """What was kept, once: `fault` says why it cannot be used, `least` see `recovery.Started`."""
        if not self.began:
            self.began = True
            self.tell(r.Started(kept, wall_ms, fault, self._parts, least))
            for told in self.when_begun:
                told()

    def report(self) -> dict[str, Any]:
        """Answer `recovery`."""
        out = self.recovery.status(self.node.now())
        out["since"] = round(out["since"])
        if not self.began:
            out["waits_for"] = [*out["waits_for"], "what was kept to be read"]
        out["store"] = None if self.store is None else self.store()
        return out

    # --- what passes

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """As `Observer`."""
        if isinstance(event, api.RequestArrived):
            self._open[event.request] = event.class_name, event.deadline_ms
        elif isinstance(event, api.AttemptFinished):
            if event.status not in NO_CONNECT:
                self._part("first connects")
            if event.request in self._open:
                if event.status is api.AttemptStatus.OK:
                    self._end(event.request, r.End.SERVED)
                elif event.status is api.AttemptStatus.REJECTED:
                    self._full.add(event.request)
        elif isinstance(event, api.ClientLeft) and (found := self._open.get(event.request)) is not None:
            if now_ms >= found[1] - LATE_MS:
                self._end(event.request, r.End.FAILED)
            else:
                self._forget(event.request)
        for action in actions:
            if isinstance(action, (api.RejectRequest, api.FailRequest)) and action.request in self._open:
                room = (
                    action.request not in self._full
                    and action.reason is not api.DecisionReason.BACKEND_OVERLOADED
                )
                self._end(action.request, r.End.FAILED if room else r.End.TURNED_AWAY)

    def _end(self, request: str, end: r.End) -> None:
        name = self._open[request][0]
        self._forget(request)
        self.tell(r.Ended(name, end))

    def _forget(self, request: str) -> None:
        self._open.pop(request, None)
        self._full.discard(request)

    def _see(self, on: bool) -> None:
        """Be shown requests, or no more: those that are open then are not counted."""
        if on is not self._sees:
            self._sees = on
            self._open.clear()
            self._full.clear()
            observers = self.running.observers
            observers.add(self) if on else observers.remove(self)

    def _heard(self, event: membership.Event, actions: list[membership.Action]) -> None:
        if self.recovery.state is r.State.BLANK:
            self._viewed()  # at once: it may serve from now on
        if isinstance(event, (membership.Listed, membership.Heard)):
            source = self.running.fleet.membership.sources.get(event.source)
            other = event.source == PEERS or (isinstance(event, membership.Listed) and event.saved)
            if source is not None and source.state is membership.State.IN_SYNC and not other:
                self._part("first list")
                if self.recovery.doubt:
                    self.tell(r.SourceSpoke())

    def _part(self, name: str) -> None:
        """Something of the start is there: ms since the process began."""
        if not self._stood and name not in self._parts:
            self._parts[name] = self.node.now() - self.recovery.meter.began_ms
            if self.began:
                self.recovery.parts[name] = self._parts[name]

    def _look(self) -> None:
        """Now and then: the view's counts, the stretch without an end, whether the process stood still."""
        self._timer = self.loop.call_later(EVERY, self._look)
        now = self.node.now()
        stood, self._turned_ms = now - self._turned_ms - 1000 * EVERY, now
        if stood > STOOD_MS:
            self._stood = True
            self.tell(r.StoodStill(stood))
        self._viewed()
        self.tell(r.Due())
        self._see(self.recovery.state is not r.State.FULL)
        self.running.hand_on()

    def _viewed(self) -> None:
        up = [b for b in self.node.balancer.backends.values() if b.entry.phase is api.Phase.UP]
        view = len(up), sum(b.vouched for b in up)
        if view != self._view:
            self._view = view
            self.tell(r.ViewChanged(*view))

    def tell(self, event: r.Event) -> None:
        """Something happened that bears on the way back."""
        now = self.node.now()
        for action in self.recovery.handle(now, event):
            if isinstance(action, r.Say):
                log.log(logging.WARNING if action.loud else logging.INFO, "recovery: %s", action.text)
            elif isinstance(action, r.Became):
                about: dict[str, object] = {"why": action.reason, "memory": self.recovery.memory.value}
                self.running.tell("recovery", "node", action.state.value, "recovery", about)
            elif isinstance(action, r.Raise):
                self.keep(action.incarnation)
