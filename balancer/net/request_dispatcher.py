"""Connects the request policy to the network: feeds it events and performs its actions.

Owns the open requests with their attempts and timers, and gives each request exactly one response.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import cached_property, partial
from typing import TYPE_CHECKING, Protocol

from balancer import interface as api
from balancer.core.discovery.endpoint_merger import ApplyEndpoints
from balancer.core.shutdown_deadlines import ShutdownDeadlines, deadlines_after_signal
from balancer.core.stall_detector import HEARTBEAT_INTERVAL_MS, SETTLE_DURATION_MS, StallDetector
from balancer.endpoints import EndpointRecord
from balancer.net.backend_connection import BackendResponse, Exchange
from balancer.net.backend_pool import BackendPool
from balancer.net.clock import wall_ms
from balancer.net.config import Config
from balancer.net.input_queue import InputQueue
from balancer.policy.balancer import Balancer
from balancer.protocol.class_path import ClassPaths
from balancer.protocol.http_request import RenderedRequest

if TYPE_CHECKING:
    from balancer.core.executed_requests import ExecutedRequests
    from balancer.core.memory_budget import MemoryBudget
    from balancer.net.bulk_update import BulkUpdate
    from balancer.ports import Observer

log = logging.getLogger(__name__)

STALL_SETTLE_S = 0.001  # the event loop reads its sockets at least once in this time
# The response is due this much before the client's deadline, which the client counts from its own send.
TIMER_MARGIN_MS = 10.0
# A first list up to this size is applied in one turn of the event loop, in 5 ms; a larger one in slices.
LARGE_LIST_ENDPOINTS = 1_000
STARTUP_EVENTS = api.EndpointsUpdated, api.LearnedStateRestored  # handled before all other events


def _render_nothing(remaining_ms: float) -> bytes:
    """Replace the renderer of an answered request, which is not sent again."""
    return b""


class RequestClient(Protocol):
    """Receives the response of one request."""

    def served(self, body: bytes | memoryview, content_type: bytes) -> None:
        """Respond with the body of a backend's response."""

    def refused(self, retry_after_ms: float) -> None:
        """Reject the request; a `retry_after_ms` of 0 gives no advice on when to retry."""

    def failed(self) -> None:
        """Respond that the request failed."""

    def may_be_gone(self) -> bool:
        """Whether the client has disconnected, as far as can be told now, so that nothing is sent for it."""


class DiscoveryControl(Protocol):
    """Controls the discovery of endpoints."""

    def watch(self, enabled: bool) -> None:
        """Start or stop watching the list."""

    def fetch(self) -> None:
        """Fetch one snapshot of the list."""


class PendingRequest:
    """A request that is unanswered or has an attempt in flight."""

    __slots__ = ("attempts", "client", "deadline_ms", "deadline_timer", "is_answered", "is_write", "render")

    def __init__(
        self,
        client: RequestClient,
        deadline_ms: float,
        render: Callable[[float], RenderedRequest],
        is_write: bool = False,
    ) -> None:
        self.client, self.deadline_ms, self.render, self.is_write = client, deadline_ms, render, is_write
        self.attempts: list[Attempt] = []
        self.is_answered = False
        self.deadline_timer: asyncio.TimerHandle | None = None


class Attempt:
    """One attempt of a request with its timeout."""

    __slots__ = ("backend", "exchange", "is_over", "number", "request_id", "sent_at_ms", "timer")

    def __init__(self, request_id: str, number: int, backend: str, sent_at_ms: float) -> None:
        self.request_id, self.number, self.backend, self.sent_at_ms = request_id, number, backend, sent_at_ms
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_over = False


class RequestDispatcher:
    """One load-balancer node around one `Balancer`, which makes all decisions."""

    def __init__(self, config: Config) -> None:
        self.settings, self._memory_mb = config.settings, config.memory_mb
        self.class_paths = ClassPaths(config.settings.classes)
        # This program does not perform probes, so no decision may wait for one.
        self.balancer = Balancer(replace(config.settings, probing_enabled=False), config.seed)
        self.loop = asyncio.get_running_loop()
        # The clock is monotonic and set to Unix time at the start, so `up_since_ms` needs no conversion.
        self._clock_offset_ms = wall_ms() - time.monotonic() * 1000
        self.input_queue = InputQueue()  # of clients and backends
        self.pool = BackendPool(
            config.settings, config.max_backend_sockets, lambda: self.memory_budget, self.input_queue
        )
        self.open_requests: dict[str, PendingRequest] = {}
        self.discovery: DiscoveryControl | None = None
        self.observer: Observer | None = None
        self.on_backend_moved: Callable[[str], None] | None = None  # receives the id; the address changed
        self.is_ready = self.is_stopping = False
        self._events: deque[api.Event] = deque()
        self._is_deciding = False
        self._stall_detector = StallDetector(self.now(), config.settings.drain_grace_ms)
        self._deferred_events: list[api.Event] = []  # after a stall or while state is read
        self.deferred_request_ids: set[str] = set()  # so that their ids are not used twice
        self._is_deferring_events = False
        self.bulk_update: BulkUpdate | None = None  # a large first list that is being applied
        self._heartbeat()
        self._on_drained: Callable[[], None] = lambda: None

    @cached_property
    def memory_budget(self) -> MemoryBudget:
        """The memory of this process; loaded with the first connection, not at the start."""
        from balancer.core.memory_budget import MemoryBudget
        from balancer.net.process_memory import resident_bytes

        return MemoryBudget.of_process(self._memory_mb, resident_bytes)

    @cached_property
    def executed_requests(self) -> ExecutedRequests:
        """The requests that may have had an effect; loaded with the first request, not at the start."""
        from balancer.core.executed_requests import ExecutedRequests, max_executed_requests

        return ExecutedRequests(max_executed_requests(self._memory_mb))

    def now(self) -> float:
        """Return a monotonic time in milliseconds since the Unix epoch."""
        return self._clock_offset_ms + time.monotonic() * 1000

    # --- events

    def _heartbeat(self) -> None:
        self._record_turn()
        self.loop.call_later(HEARTBEAT_INTERVAL_MS / 1000, self._heartbeat)

    def _record_turn(self) -> None:
        """Record a turn of the event loop; after a stall, decisions wait until pending input was read."""
        if stall_ms := self._stall_detector.record_turn(self.now()):
            log.warning(
                "this process stood still for %.0f ms: pending input is read before decisions are made",
                stall_ms,
            )
            self.loop.call_later(
                SETTLE_DURATION_MS / 1000, self._on_settled, self._stall_detector.unsettled_stall_number
            )

    def _on_settled(self, doubt_number: int) -> None:
        self._record_turn()
        if self._stall_detector.settle(doubt_number):
            self._resume_events()

    def defer_events(self, enabled: bool) -> None:
        """Defer all events but lists and restored state, or resume the deferred ones."""
        self._is_deferring_events = enabled
        if not enabled and not self._stall_detector.unsettled_stall_number:
            self._resume_events()

    def _resume_events(self) -> None:
        deferred_events, self._deferred_events, self.deferred_request_ids = self._deferred_events, [], set()
        for event in sorted(deferred_events, key=lambda event: not isinstance(event, STARTUP_EVENTS)):
            self.event(event)

    def event(self, event: api.Event) -> None:
        """Pass an event to the policy and perform its actions. Events raised meanwhile are queued."""
        self._record_turn()
        if self.bulk_update or (
            (self._stall_detector.unsettled_stall_number or self._is_deferring_events)
            and not isinstance(event, STARTUP_EVENTS)
        ):
            self._deferred_events.append(event)
            self.deferred_request_ids.add(getattr(event, "request", ""))
            return
        self._events.append(event)
        if self._is_deciding:
            return
        self._is_deciding = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._is_deciding = False

    def _decide(self, event: api.Event) -> None:
        now_ms = self.now()
        try:
            actions = self.balancer.handle(now_ms, event)
            if self.observer is not None:
                self.notify_observer(now_ms, event, actions)
            for action in actions:
                self._perform(action)
        except Exception:  # an error in one request must not end the node
            log.exception("decision on %s failed", type(event).__name__)
            request_id = getattr(event, "request", None)
            if request_id in self.open_requests:
                self._abandon(request_id)

    def notify_observer(self, now_ms: float, event: api.Event, actions: list[api.Action]) -> None:
        """Pass a decision to the observer, if there is one."""
        try:
            if self.observer is not None:
                self.observer.on_decision(now_ms, event, actions)
        except Exception:  # an error of the observer must not affect requests
            log.exception("the observer failed on %s and is removed", type(event).__name__)
            self.observer = None

    def _abandon(self, request_id: str) -> None:
        """Fail a request and end it in the policy, which would otherwise count it as in flight forever."""
        request = self.open_requests[request_id]
        self._answer(request_id, lambda client: client.failed())
        self.event(api.ClientLeft(request_id))
        for attempt in request.attempts:
            self._stop_attempt(attempt, api.AttemptStatus.CANCELLED)

    def request_arrived(
        self, event: api.RequestArrived, client: RequestClient, render: Callable[[float], RenderedRequest]
    ) -> None:
        """Handle a client's request; `render` returns its bytes, given the time that remains in ms."""
        self._record_turn()
        event.deadline_ms -= self._stall_detector.input_age_ms
        request = self.open_requests[event.request] = PendingRequest(
            client, event.deadline_ms - TIMER_MARGIN_MS, render, event.is_write
        )
        # A deferred request is rejected by the policy, if at all, once events are handled again.
        min_wait_ms = 2 * SETTLE_DURATION_MS if self._stall_detector.unsettled_stall_number else 0.0
        wait_s = max(min_wait_ms, request.deadline_ms - self.now()) / 1000
        request.deadline_timer = self.loop.call_later(wait_s, self._on_deadline, event.request)
        self.event(event)

    def is_id_in_use(self, request_id: str) -> bool:
        """Whether a request of this id is open, or had an effect that would occur twice."""
        return (
            request_id in self.open_requests
            or request_id in self.deferred_request_ids
            or self.executed_requests.contains(request_id, self.now())
        )

    def is_full(self) -> bool:
        """Whether the limit of open requests is reached."""
        return len(self.open_requests) >= self.settings.max_open_requests

    def client_left(self, request_id: str) -> None:
        """Handle the disconnect of a client."""
        if (request := self.open_requests.get(request_id)) is None or request.is_answered:
            return
        self._close(request_id, request)
        # Attempts that are not completely sent end here, even if settings forbid cancelling. Otherwise they
        # would be sent for an absent client once their connection is established or writable again.
        for attempt in request.attempts:
            if attempt.exchange is not None and not attempt.exchange.may_have_left:
                self._stop_attempt(attempt, api.AttemptStatus.NOT_STARTED)
        self.event(api.ClientLeft(request_id))

    def apply(self, change: ApplyEndpoints) -> None:
        """Apply a change of the view: removals first, then draining backends, then the rest."""
        if self.bulk_update:
            self.bulk_update.deferred_changes.append(change)
        elif len(change.records) > LARGE_LIST_ENDPOINTS and not self.balancer.index.order:
            from balancer.net.bulk_update import BulkUpdate

            self.bulk_update = BulkUpdate(self, change)
        else:
            self.update_pool(change.records, change.removed_records)
            endpoints = [record.endpoint for record in (*change.removed_records, *change.records)]
            self.bulk_update_finished(api.EndpointsUpdated(change.kind, endpoints, change.revision))

    def update_pool(
        self, records: Sequence[EndpointRecord], removed_records: Sequence[EndpointRecord]
    ) -> None:
        """Update the connection pool and report backends whose address changed."""
        if self.on_backend_moved is not None:
            for record in records:
                host = self.pool.backends.get(record.endpoint.id)
                if host is not None and host.address != record.address:
                    self.on_backend_moved(record.endpoint.id)
        self.pool.update(records, [removed.endpoint.id for removed in removed_records])

    def bulk_update_finished(self, event: api.EndpointsUpdated) -> None:
        """Pass an update to the policy once the pool has it; completes a bulk update."""
        finished_update, self.bulk_update = self.bulk_update, None
        self.event(event)
        self.is_ready = self.is_ready or any(host.is_listed for host in self.pool.backends.values())
        if finished_update is not None:
            for change in finished_update.deferred_changes:
                self.apply(change)
            self._resume_events()

    def on_list_failed(self) -> None:
        """Report to the policy that fetching the list failed."""
        self.event(api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))

    def stop(self) -> ShutdownDeadlines:
        """Start the shutdown; returns until when requests are accepted and when all must be answered."""
        self._record_turn()
        self.is_stopping = True
        return deadlines_after_signal(self.settings, self.now(), self._stall_detector.input_age_ms)

    async def finish(self, timeout_s: float) -> None:
        """Wait at most `timeout_s` until all open requests are answered, then fail the rest."""
        all_answered = asyncio.Event()
        self._on_drained = all_answered.set
        if self.open_requests:
            try:
                await asyncio.wait_for(all_answered.wait(), timeout_s)
            except TimeoutError:
                for request_id in list(self.open_requests):
                    self._abandon(request_id)

    # --- actions

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self._send_attempt(action)
            case api.SetTimer():
                wait_s = max(0.0, action.at_ms - self.now()) / 1000
                self.loop.call_later(wait_s, self.event, api.TimerFired(action.token))
            case api.RejectRequest():
                self._answer(action.request, lambda client: client.refused(action.retry_after_ms))
            case api.FailRequest():
                self._answer(action.request, lambda client: client.failed())
            case api.CancelAttempt():
                self._cancel_attempt(action)
            case api.CloseIdleConnections():
                self.pool.close_idle(action.backend)
            case api.SubscribeToEndpoints() if self.discovery is not None:
                self.discovery.watch(action.is_enabled)
            case api.FetchSnapshot() if self.discovery is not None:
                self.discovery.fetch()
            case api.WriteLog():
                log.info("%s", action.text)
            case api.NoteBackendDecision():
                pass  # only for observers
            case _:
                log.error("unsupported action: %r", action)

    def _send_attempt(self, action: api.SendAttempt) -> None:
        request, now_ms = self.open_requests.get(action.request), self.now()
        number = (
            len(request.attempts) if request else -1
        )  # -1 is the last attempt of a request that has ended here
        attempt = Attempt(action.request, number, action.backend, now_ms)
        if request is None:
            self._finish_attempt(attempt, BackendResponse(api.AttemptStatus.NOT_STARTED))
            return
        request.attempts.append(attempt)
        self._end_if_client_may_be_gone(action.request, request)
        remaining_ms = request.deadline_ms - now_ms
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms else remaining_ms
        if request.is_answered or action.backend not in self.pool.backends or timeout_ms <= 0:
            self._finish_attempt(attempt, BackendResponse(api.AttemptStatus.NOT_STARTED))
            return
        attempt.timer = self.loop.call_later(timeout_ms / 1000, self._on_timeout, attempt)
        start_before_s = (action.start_before_ms - self._clock_offset_ms) / 1000
        render = partial(self._render_attempt, action.request, request, now_ms + timeout_ms)
        on_done = partial(self._finish_attempt, attempt)
        exchange = self.pool.start(action.backend, render, on_done, start_before_s)
        attempt.exchange = None if attempt.is_over else exchange

    def _render_attempt(
        self, request_id: str, request: PendingRequest, timeout_at_ms: float
    ) -> RenderedRequest:
        """Render an attempt as it is about to be written; nothing if its request has ended meanwhile."""
        self._end_if_client_may_be_gone(request_id, request)
        return request.render(timeout_at_ms - self.now())

    def _end_if_client_may_be_gone(self, request_id: str, request: PendingRequest) -> None:
        """End a request whose client has disconnected or may have done so, before something is sent for it.

        In the latter case the client reads the response: a rejection, as no attempt that had an effect may
        have another one.
        """
        if request.is_answered or not request.client.may_be_gone():
            return
        is_executed = request.is_write and self.executed_requests.contains(request_id, self.now())
        self._answer(request_id, lambda client: client.failed() if is_executed else client.refused(0.0))

    def _on_timeout(self, attempt: Attempt, is_recheck: bool = False) -> None:
        connection, status = (
            attempt.exchange.connection if attempt.exchange else None,
            api.AttemptStatus.TIMEOUT,
        )
        if connection is not None:
            self.input_queue.flush(connection)  # a response that was read counts
            if attempt.is_over:
                return
        if attempt.exchange is None or not attempt.exchange.may_have_left:
            # The request was not sent completely, so it never ran. The backend counts as unreachable only if
            # its connection had its full time to be established and did not wait at this node.
            is_connect_timeout = self.now() - attempt.sent_at_ms >= self.settings.connect_timeout_ms
            is_connect_timeout = is_connect_timeout and (connection is None or connection.reuse_timer is None)
            status = api.AttemptStatus.CONNECT_FAILED if is_connect_timeout else api.AttemptStatus.NOT_STARTED
        elif connection is not None and not (is_recheck or connection.is_clean):
            # After a stall, timers may run before a response that is already in the kernel is read.
            attempt.timer = self.loop.call_later(STALL_SETTLE_S, self._on_timeout, attempt, True)
            return
        self._stop_attempt(attempt, status)

    def _stop_attempt(self, attempt: Attempt, status: api.AttemptStatus) -> None:
        """End an attempt from this side if it is in flight."""
        if not attempt.is_over:
            if attempt.exchange is not None:
                attempt.exchange.drop()
            self._finish_attempt(attempt, BackendResponse(status))

    def _cancel_attempt(self, action: api.CancelAttempt) -> None:
        request = self.open_requests.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            # The decision failed before the attempt started: correct the policy's in-flight counts.
            self.event(
                api.AttemptFinished(
                    action.request, action.attempt, "", api.AttemptStatus.CANCELLED, 0.0, True
                )
            )
            return
        self._stop_attempt(request.attempts[action.attempt], api.AttemptStatus.CANCELLED)

    def _finish_attempt(self, attempt: Attempt, response: BackendResponse) -> None:
        """Report the outcome of an attempt; a complete response goes to the client and ends the request."""
        attempt.is_over, attempt.exchange = True, None
        if attempt.timer is not None:
            attempt.timer.cancel()
        request = self.open_requests.get(attempt.request_id)
        if request is not None and request.is_write and response.status not in api.NO_EFFECT_STATUSES:
            self.executed_requests.add(attempt.request_id, self.now())
        if response.status is api.AttemptStatus.OK:
            self._answer(
                attempt.request_id, lambda client: client.served(response.body, response.content_type)
            )
        request = self.open_requests.get(attempt.request_id)
        is_closed = request is None or request.is_answered
        if request is not None and is_closed:
            self._forget(attempt.request_id, request)
        status, duration_ms = response.status, self.now() - attempt.sent_at_ms
        self.event(
            api.AttemptFinished(
                attempt.request_id,
                attempt.number,
                attempt.backend,
                status,
                duration_ms,
                is_closed,
                response.report,
            )
        )

    def _on_deadline(self, request_id: str) -> None:
        """End the attempts at the client's deadline, and fail the request if the policy did not answer it."""
        request = self.open_requests.get(request_id)
        if request is None or request.is_answered:
            return
        for attempt in request.attempts:
            self._on_timeout(attempt, True)
        if request_id in self.open_requests and not request.is_answered:
            self._answer(request_id, lambda client: client.failed())
            self.event(api.ClientLeft(request_id))

    def _answer(self, request_id: str, respond: Callable[[RequestClient], None]) -> None:
        request = self.open_requests.get(request_id)
        if request is not None and not request.is_answered:
            client = request.client
            self._close(request_id, request)
            try:
                respond(client)
            except Exception:  # the caller must still report the outcome, for the policy's counts
                log.exception("request %s could not be answered", request_id)

    def _close(self, request_id: str, request: PendingRequest) -> None:
        request.is_answered = True
        request.render = _render_nothing  # frees the body while attempts of the answered request continue
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self._forget(request_id, request)

    def _forget(self, request_id: str, request: PendingRequest) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if request_id in self.open_requests and all(attempt.is_over for attempt in request.attempts):
            del self.open_requests[request_id]
            if not self.open_requests:
                self._on_drained()
