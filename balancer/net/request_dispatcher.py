"""Drives the decision module: events in, actions out, open requests, attempts, timers, the one answer."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Protocol

from balancer import interface as api
from balancer.core.connection_admission import LargeBodyBudget, large_body_budget_bytes
from balancer.core.discovery.endpoint_merger import ApplyEndpoints
from balancer.core.shutdown_deadlines import ShutdownDeadlines, deadlines_after_signal
from balancer.core.stall_detector import HEARTBEAT_INTERVAL_MS, SETTLE_DURATION_MS, StallDetector
from balancer.endpoints import EndpointRecord
from balancer.net.backend_pool import BackendPool, BackendResponse, Exchange
from balancer.net.clock import wall_ms
from balancer.net.config import Config
from balancer.policy.balancer import Balancer
from balancer.protocol.class_path import ClassPaths

if TYPE_CHECKING:
    from balancer.net.bulk_update import BulkUpdate
    from balancer.ports import Observer

log = logging.getLogger(__name__)

STALL_SETTLE_S = 0.001  # s: the loop reads its sockets at least once meanwhile
TIMER_MARGIN_MS = (
    10.0  # ms before a client's limit at which the last answer is due: it counted from its own send
)
LARGE_LIST_ENDPOINTS = (
    1_000  # servers of a first list that are taken in one turn of the loop, 5 ms; more go in slices
)
STARTUP_EVENTS = api.EndpointsUpdated, api.LearnedStateRestored  # what goes ahead of all else


def _nothing(wait: float) -> bytes:
    """Of a request that is answered: it is sent no more."""
    return b""


class RequestClient(Protocol):
    """Whoever waits for the answer of one request."""

    def served(self, body: bytes, content_type: bytes) -> None:
        """Pass on a backend's answer."""

    def refused(self, retry_after: float) -> None:
        """Turn the request away; `retry_after` is in milliseconds, 0 for no advice."""

    def failed(self) -> None:
        """Say that the request failed."""


class DiscoveryControl(Protocol):
    """What brings the list."""

    def watch(self, on: bool) -> None:
        """Start or stop to watch."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


class PendingRequest:
    """A request that is owed an answer, or has an attempt out."""

    __slots__ = ("answered", "attempts", "client", "deadline", "limit", "render")

    def __init__(self, client: RequestClient, deadline: float, render: Callable[[float], bytes]) -> None:
        self.client, self.deadline, self.render = client, deadline, render
        self.attempts: list[Attempt] = []
        self.answered = False
        self.limit: asyncio.TimerHandle | None = None


class Attempt:
    """One attempt with its clock."""

    __slots__ = ("attempt", "backend", "number", "over", "request", "sent", "timer")

    def __init__(self, request: str, number: int, backend: str, sent: float) -> None:
        self.request, self.number, self.backend, self.sent = request, number, backend, sent
        self.attempt: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = False


class RequestDispatcher:
    """One load-balancer node around one `Balancer`. It carries out decisions and makes none."""

    def __init__(self, config: Config) -> None:
        self.settings = config.settings
        self.class_paths = ClassPaths(config.settings.classes)
        # This program carries out no probes: a request whose decision waited for one would wait in vain.
        self.balancer = Balancer(replace(config.settings, probing_enabled=False), config.seed)
        self.loop = asyncio.get_running_loop()
        # The clock is monotonic and set to Unix time once, at the start: it can read `up_since_ms` as it is.
        self._zero = wall_ms() - time.monotonic() * 1000
        self.long = LargeBodyBudget(large_body_budget_bytes(config.memory_mb))
        self.pool = BackendPool(config.settings, config.max_backend_sockets, self.long)
        self.open: dict[str, PendingRequest] = {}
        self.discovery: DiscoveryControl | None = None
        self.observer: Observer | None = None
        self.moved: Callable[[str], None] | None = None  # told of a server that has another address
        self.ready = self.stopping = False
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._pause = StallDetector(self.now(), config.settings.drain_grace_ms)
        self._held: list[api.Event] = []  # while it is in doubt, or what it had kept is being read
        self.named: set[str] = set()  # the requests of these: guards against mixing two of one id
        self._waits = False
        self.bulk_update: BulkUpdate | None = None  # a large first list that is on its way into the module
        self._beat()
        self._drained: Callable[[], None] = lambda: None

    def now(self) -> float:
        """Milliseconds; never goes back."""
        return self._zero + time.monotonic() * 1000

    # --- events

    def _beat(self) -> None:
        self._turned()
        self.loop.call_later(HEARTBEAT_INTERVAL_MS / 1000, self._beat)

    def _turned(self) -> None:
        """The loop turned: guards against acting on what was known before this process stood still."""
        if stood := self._pause.record_turn(self.now()):
            log.warning("this process stood still for %.0f ms: what waits is read before it acts", stood)
            self.loop.call_later(SETTLE_DURATION_MS / 1000, self._settled, self._pause.doubt_number)

    def _settled(self, hold: int) -> None:
        self._turned()
        if self._pause.settle(hold):
            self._go_on()

    def wait(self, on: bool) -> None:
        """Hear of the list alone and of what was remembered, until it is told to go on."""
        self._waits = on
        if not on and not self._pause.doubt_number:
            self._go_on()

    def _go_on(self) -> None:
        held, self._held, self.named = self._held, [], set()
        for event in sorted(held, key=lambda event: not isinstance(event, STARTUP_EVENTS)):
            self.event(event)

    def event(self, event: api.Event) -> None:
        """Hand an event to the module and do what it says. Events made meanwhile wait for their turn."""
        self._turned()
        if self.bulk_update or (
            (self._pause.doubt_number or self._waits) and not isinstance(event, STARTUP_EVENTS)
        ):
            self._held.append(event)
            self.named.add(getattr(event, "request", ""))
            return
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._busy = False

    def _decide(self, event: api.Event) -> None:
        now = self.now()
        try:
            actions = self.balancer.handle(now, event)
            if self.observer is not None:
                self.show(now, event, actions)
            for action in actions:
                self._act(action)
        except Exception:  # guards against one bad request ending the node with all the others
            log.exception("decision on %s failed", type(event).__name__)
            name = getattr(event, "request", None)
            if name in self.open:
                self._abandon(name)

    def show(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """Show whoever watches what was decided."""
        try:
            if self.observer is not None:
                self.observer.on_decision(now, event, actions)
        except Exception:  # guards requests against whoever only watches
            log.exception("the observer failed on %s and is taken off", type(event).__name__)
            self.observer = None

    def _abandon(self, name: str) -> None:
        """Fail a request and have the module forget it: what it counts as out would stay so for good."""
        request = self.open[name]
        self._answer(name, lambda client: client.failed())
        self.event(api.ClientLeft(name))
        for item in request.attempts:
            self._stop(item, api.AttemptStatus.CANCELLED)

    def request_arrived(
        self, event: api.RequestArrived, client: RequestClient, render: Callable[[float], bytes]
    ) -> None:
        """A client's request has come; `render` gives its bytes for a backend, told for how long."""
        self._turned()
        event.deadline_ms -= self._pause.input_age_ms
        request = self.open[event.request] = PendingRequest(
            client, event.deadline_ms - TIMER_MARGIN_MS, render
        )
        # What is held back is the module's to refuse, as soon as it is let go.
        least = 2 * SETTLE_DURATION_MS if self._pause.doubt_number else 0.0
        wait = max(least, request.deadline - self.now()) / 1000
        request.limit = self.loop.call_later(wait, self._deadline, event.request)
        self.event(event)

    def full(self) -> bool:
        """Whether the node holds as many requests as it may."""
        return len(self.open) >= self.settings.max_open_requests

    def client_left(self, name: str) -> None:
        """The client has left."""
        if (request := self.open.get(name)) is None or request.answered:
            return
        self._close(name, request)
        # What has not left ends here, also where nothing may be called off: guards against sending it on once
        # its connection has come up, or the rest of it has found room, for a client that is not there.
        for item in request.attempts:
            if item.attempt is not None and not item.attempt.may_have_left:
                self._stop(item, api.AttemptStatus.NOT_STARTED)
        self.event(api.ClientLeft(name))

    def apply(self, change: ApplyEndpoints) -> None:
        """A change of the view: what leaves first, then who drains, then the rest."""
        if self.bulk_update:
            self.bulk_update.deferred_changes.append(change)
        elif len(change.records) > LARGE_LIST_ENDPOINTS and not self.balancer.index.order:
            from balancer.net.bulk_update import BulkUpdate

            self.bulk_update = BulkUpdate(self, change)
        else:
            self.update(change.records, change.removed_records)
            entries = [m.endpoint for m in (*change.removed_records, *change.records)]
            self.bulk_update_finished(api.EndpointsUpdated(change.kind, entries, change.revision))

    def update(self, members: Sequence[EndpointRecord], removed: Sequence[EndpointRecord]) -> None:
        """Tell the pool of a change, and whoever has to know of those that have moved."""
        if self.moved is not None:
            for member in members:
                host = self.pool.backends.get(member.endpoint.id)
                if host is not None and host.address != member.address:
                    self.moved(member.endpoint.id)
        self.pool.update(members, [m.endpoint.id for m in removed])

    def bulk_update_finished(self, event: api.EndpointsUpdated) -> None:
        """The pool knows of all: the module's turn, or the last word of a list that was laid out for it."""
        done, self.bulk_update = self.bulk_update, None
        self.event(event)
        self.ready = self.ready or any(host.is_listed for host in self.pool.backends.values())
        if done is not None:
            for change in done.deferred_changes:
                self.apply(change)
            self._go_on()

    def list_failed(self) -> None:
        """A call that the module asked for has failed."""
        self.event(api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))

    def stop(self) -> ShutdownDeadlines:
        """It is told to end: until when it accepts, by when all is answered."""
        self._turned()
        self.stopping = True
        return deadlines_after_signal(self.settings, self.now(), self._pause.input_age_ms)

    async def finish(self, wait: float) -> None:
        """Wait until all that was taken is answered, `wait` seconds at most, then fail the rest."""
        done = asyncio.Event()
        self._drained = done.set
        if self.open:
            try:
                await asyncio.wait_for(done.wait(), wait)
            except TimeoutError:
                for name in list(self.open):
                    self._abandon(name)

    # --- actions

    def _act(self, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self._send(action)
            case api.SetTimer():
                wait = max(0.0, action.at_ms - self.now()) / 1000
                self.loop.call_later(wait, self.event, api.TimerFired(action.token))
            case api.RejectRequest():
                self._answer(action.request, lambda client: client.refused(action.retry_after_ms))
            case api.FailRequest():
                self._answer(action.request, lambda client: client.failed())
            case api.CancelAttempt():
                self._cancel(action)
            case api.CloseIdleConnections():
                self.pool.close_idle(action.backend)
            case api.SubscribeToEndpoints() if self.discovery is not None:
                self.discovery.watch(action.is_enabled)
            case api.FetchSnapshot() if self.discovery is not None:
                self.discovery.fetch()
            case api.WriteLog():
                log.info("%s", action.text)
            case api.NoteBackendDecision():
                pass  # for those who watch
            case _:
                log.error("not carried out: %r", action)

    def _send(self, action: api.SendAttempt) -> None:
        request, now = self.open.get(action.request), self.now()
        number = len(request.attempts) if request else -1  # the last one, of a request that is over here
        item = Attempt(action.request, number, action.backend, now)
        if request is None:
            self._outcome(item, BackendResponse(api.AttemptStatus.NOT_STARTED))
            return
        request.attempts.append(item)
        left = request.deadline - now
        wait = min(action.timeout_ms, left) if action.timeout_ms else left
        if request.answered or action.backend not in self.pool.backends or wait <= 0:
            self._outcome(item, BackendResponse(api.AttemptStatus.NOT_STARTED))
            return
        item.timer = self.loop.call_later(wait / 1000, self._timeout, item)
        begin_by = (action.start_before_ms - self._zero) / 1000
        until, done = now + wait, partial(self._outcome, item)
        attempt = self.pool.start(action.backend, lambda: request.render(until - self.now()), done, begin_by)
        item.attempt = None if item.over else attempt

    def _timeout(self, item: Attempt, last: bool = False) -> None:
        link, status = item.attempt.connection if item.attempt else None, api.AttemptStatus.TIMEOUT
        if item.attempt is None or not item.attempt.may_have_left:
            # Nothing whole has left: it never ran. Guards a backend against being taken for out of reach
            # where its connection still had time to come up, or waits at this node.
            late = self.now() - item.sent >= self.settings.connect_timeout_ms
            late = late and (link is None or link.reuse_timer is None)
            status = api.AttemptStatus.CONNECT_FAILED if late else api.AttemptStatus.NOT_STARTED
        elif link is not None and not (last or link.is_clean):
            # Guards an answer that lies in the kernel: where the loop stood still its timers may come first.
            item.timer = self.loop.call_later(STALL_SETTLE_S, self._timeout, item, True)
            return
        self._stop(item, status)

    def _stop(self, item: Attempt, status: api.AttemptStatus) -> None:
        """End an attempt from this side, if it is out."""
        if not item.over:
            if item.attempt is not None:
                item.attempt.drop()
            self._outcome(item, BackendResponse(status))

    def _cancel(self, action: api.CancelAttempt) -> None:
        request = self.open.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            # Never made, as the decision failed half-way: guards the module's counts of what is out.
            self.event(
                api.AttemptFinished(
                    action.request, action.attempt, "", api.AttemptStatus.CANCELLED, 0.0, True
                )
            )
            return
        self._stop(request.attempts[action.attempt], api.AttemptStatus.CANCELLED)

    def _outcome(self, item: Attempt, answer: BackendResponse) -> None:
        """The one outcome of an attempt; a backend's whole answer goes to the client and ends the request."""
        item.over, item.attempt = True, None
        if item.timer is not None:
            item.timer.cancel()
        if answer.status is api.AttemptStatus.OK:
            self._answer(item.request, lambda client: client.served(answer.body, answer.content_type))
        request = self.open.get(item.request)
        closed = request is None or request.answered
        if request is not None and closed:
            self._forget(item.request, request)
        status, took = answer.status, self.now() - item.sent
        self.event(
            api.AttemptFinished(item.request, item.number, item.backend, status, took, closed, answer.report)
        )

    def _deadline(self, name: str) -> None:
        """The client's time is up: end what is out, and answer whatever the module did not."""
        request = self.open.get(name)
        if request is None or request.answered:
            return
        for item in request.attempts:
            self._timeout(item, True)
        if name in self.open and not request.answered:
            self._answer(name, lambda client: client.failed())
            self.event(api.ClientLeft(name))

    def _answer(self, name: str, tell: Callable[[RequestClient], None]) -> None:
        request = self.open.get(name)
        if request is not None and not request.answered:
            client = request.client
            self._close(name, request)
            try:
                tell(client)
            except Exception:  # guards the module's counts: whoever answers hands on an outcome after it
                log.exception("request %s could not be answered", name)

    def _close(self, name: str, request: PendingRequest) -> None:
        request.answered = True
        request.render = _nothing  # guards memory against bodies of requests whose attempts go on alone
        if request.limit is not None:
            request.limit.cancel()
        self._forget(name, request)

    def _forget(self, name: str, request: PendingRequest) -> None:
        """Drop a request that is answered and has nothing out."""
        if name in self.open and all(item.over for item in request.attempts):
            del self.open[name]
            if not self.open:
                self._drained()
