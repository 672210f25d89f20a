"""Nodes that poll discovery, and an outage of it, in virtual time.

The request policy and the platform watcher of each node alone. Discovery is one service that works through
calls in turn; a call that would wait there for longer than the queue timeout fails. A change is published
during the outage, so each node knows it with its first answer after the return.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from balancer import interface as api
from balancer.core.discovery import platform_watcher
from balancer.core.discovery.platform_watcher import CallDeadline, PlatformWatcher
from balancer.policy.balancer import Balancer
from balancer.testbed.virtual_clock import VirtualClock

ENDPOINT = api.Endpoint("10.0.0.1:80", zone="", cell=0, weight=1.0, phase=api.Phase.UP, started_at_ms=0.0)
REQUEST_CLASS = api.RequestClass(
    "read", api.Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0
)
OUTAGE_AT_MS = 40_000.0
OBSERVED_AFTER_RETURN_MS = 40_000.0
START_SPREAD_MS = 400.0  # within which all nodes start
CONNECT_MS = 1.0
DRAIN_GRACE_MS = 1500.0
REVISION = 41
NOTIFICATION_DEADLINE_MS = 6000.0  # after the return: the platform's rule


class OutageKind(StrEnum):
    """What a call gets while discovery is down."""

    REFUSED = "refused connections"
    UNAVAILABLE = "503 at once"
    QUEUED = "503 after the queue timeout"
    SILENT = "accepted, no answer"
    HALF_ANSWERED = "silent after half of the answer"
    HEAD_ONLY = "silent after the head of the answer"
    UNREACHABLE = "no connection comes up"


@dataclass(slots=True, frozen=True)
class Outage:
    """An outage, the nodes' polling interval, and how discovery answers at other times."""

    kind: OutageKind = OutageKind.REFUSED
    duration_ms: float = 11_000.0
    poll_within_ms: float = 10_000.0
    calls_per_s: float = 1000.0  # that discovery works through
    answer_delay_ms: float = 0.0  # of each answer, in addition
    queue_timeout_ms: float = 1500.0
    is_restart: bool = False  # the nodes start within the outage, with a stored list

    @property
    def returns_at_ms(self) -> float:
        """When discovery is back."""
        return OUTAGE_AT_MS + self.duration_ms


@dataclass(slots=True)
class Discovery:
    """The service, and the times of the calls that it got while it was up and while it was down."""

    clock: VirtualClock
    outage: Outage
    free_at_ms: float = 0.0
    arrivals_ms: list[float] = field(default_factory=list)
    outage_arrivals_ms: list[float] = field(default_factory=list)
    expired_count: int = 0  # calls that would have waited for too long

    @property
    def is_down(self) -> bool:
        """Whether discovery is down."""
        return OUTAGE_AT_MS <= self.clock.now_ms < self.outage.returns_at_ms

    def take_call(self) -> float | None:
        """Take a call into the queue; return when it is answered, None if its wait is too long."""
        now_ms = self.clock.now_ms
        self.arrivals_ms.append(now_ms)
        start_ms = max(now_ms, self.free_at_ms)
        if start_ms - now_ms > self.outage.queue_timeout_ms:
            self.expired_count += 1
            return None
        self.free_at_ms = start_ms + 1000.0 / self.outage.calls_per_s
        return self.free_at_ms + self.outage.answer_delay_ms

    def fails_at_ms(self, deadline: CallDeadline) -> float:
        """Take a call during the outage; return when it fails."""
        now_ms = self.clock.now_ms
        self.outage_arrivals_ms.append(now_ms)
        match self.outage.kind:
            case OutageKind.REFUSED | OutageKind.UNAVAILABLE:
                return now_ms + CONNECT_MS
            case OutageKind.QUEUED:
                return now_ms + self.outage.queue_timeout_ms
            case OutageKind.UNREACHABLE:
                return deadline.deadline_ms
            case OutageKind.SILENT:
                deadline.note_connected(now_ms + CONNECT_MS)
                return deadline.deadline_ms
            case OutageKind.HALF_ANSWERED:
                deadline.note_connected(now_ms + CONNECT_MS)
                deadline.note_received(now_ms + CONNECT_MS, False, True)
                return deadline.deadline_ms
            case OutageKind.HEAD_ONLY:
                deadline.note_connected(now_ms + CONNECT_MS)
                deadline.note_received(now_ms + CONNECT_MS, True, False, is_head_alone=True)
                return deadline.deadline_ms


class PollingNode:
    """The request policy and the platform watcher of one node."""

    def __init__(self, discovery: Discovery, seed: int) -> None:
        self.clock, self.discovery = discovery.clock, discovery
        poll_within_ms = discovery.outage.poll_within_ms
        settings = api.Settings((REQUEST_CLASS,), must_poll=True, poll_within_ms=poll_within_ms)
        self.balancer = Balancer(settings, seed)
        self.watcher = PlatformWatcher(random.Random(seed), True, DRAIN_GRACE_MS, poll_within_ms)
        self.call_number = 0  # of the call in progress
        self.known_at_ms: float | None = None  # the first answer after the return

    def start(self) -> None:
        """Start with a stored list."""
        self._handle(api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [ENDPOINT]))

    def lose_watch(self) -> None:
        """End the watch, as discovery goes down."""
        if self.watcher.has_active_call:
            self._end_call(self.call_number)

    def change_address(self) -> None:
        """Handle a new configuration that moves discovery."""
        self._watch(platform_watcher.AddressChanged())

    def _handle(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.clock.now_ms, event):
            match action:
                case api.SetTimer():
                    self._handle_at(action.at_ms, api.TimerFired(action.token))
                case api.SubscribeToEndpoints():
                    self._watch(platform_watcher.SubscriptionChanged(True))

    def _handle_at(self, at_ms: float, event: api.Event) -> None:
        self.clock.at(at_ms, lambda: self._handle(event))

    def _watch(self, event: platform_watcher.Event) -> None:
        for action in self.watcher.handle(self.clock.now_ms, event, REVISION):
            match action:
                case platform_watcher.StartWatch() | platform_watcher.FetchSnapshot():
                    self._call()
                case platform_watcher.NotifyCallFailed():
                    self._handle(api.EndpointsUpdated(api.EndpointUpdateKind.FAILED, []))

    def _call(self) -> None:
        self.call_number += 1
        number, now_ms = self.call_number, self.clock.now_ms
        deadline = self.watcher.start_deadline(now_ms)
        if self.discovery.is_down:
            self.clock.at(self.discovery.fails_at_ms(deadline), lambda: self._end_call(number))
            return
        deadline.note_connected(now_ms + CONNECT_MS)
        answered_at_ms = self.discovery.take_call()
        if answered_at_ms is None:
            expires_at_ms = now_ms + self.discovery.outage.queue_timeout_ms
            self.clock.at(min(expires_at_ms, deadline.deadline_ms), lambda: self._end_call(number))
        elif answered_at_ms > deadline.deadline_ms:
            self.clock.at(deadline.deadline_ms, lambda: self._end_call(number))
        else:
            self.clock.at(answered_at_ms, lambda: self._answer(number))

    def _end_call(self, number: int) -> None:
        if number == self.call_number and self.watcher.has_active_call:
            self._watch(platform_watcher.CallEnded(False))

    def _answer(self, number: int) -> None:
        if number != self.call_number:
            return
        if self.discovery.is_down:
            self._end_call(number)
            return
        self._watch(platform_watcher.DiscoveryAnswered())
        self._handle(api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, []))
        if self.known_at_ms is None and self.clock.now_ms >= self.discovery.outage.returns_at_ms:
            self.known_at_ms = self.clock.now_ms


@dataclass(slots=True, frozen=True)
class Recovery:
    """What followed an outage."""

    known_ms: tuple[float, ...]  # per node, after the return; infinite if it never knew
    max_outage_calls_per_s: int  # within the last seconds of the outage
    max_return_calls_per_s: int
    calls_after_return: int
    expired_calls: int

    @property
    def last_known_ms(self) -> float:
        """When the last node knew."""
        return max(self.known_ms)

    @property
    def late_count(self) -> int:
        """How many nodes knew later than they count as notified."""
        return sum(known_ms > NOTIFICATION_DEADLINE_MS for known_ms in self.known_ms)


def max_calls_within(times_ms: Sequence[float], span_ms: float = 1000.0) -> int:
    """Return the largest number of times that lie within any such span."""
    ordered = sorted(times_ms)
    counts = (bisect_left(ordered, at_ms + span_ms) - index for index, at_ms in enumerate(ordered))
    return max(counts, default=0)


def simulate(outage: Outage, node_count: int, address_changes: int = 0) -> Recovery:
    """Play one outage; within it the nodes get so many new configurations, half a second apart."""
    clock, rng = VirtualClock(), random.Random(7)
    discovery = Discovery(clock, outage)
    nodes = [PollingNode(discovery, seed) for seed in range(node_count)]
    start_at_ms = OUTAGE_AT_MS + START_SPREAD_MS if outage.is_restart else 0.0
    for node in nodes:
        clock.at(start_at_ms + rng.uniform(0.0, START_SPREAD_MS), node.start)
        if not outage.is_restart:
            clock.at(OUTAGE_AT_MS, node.lose_watch)
        for number in range(address_changes):
            clock.at(OUTAGE_AT_MS + 2000.0 + 500.0 * number, node.change_address)
    returns_at_ms = outage.returns_at_ms
    clock.run(returns_at_ms + OBSERVED_AFTER_RETURN_MS)
    arrivals_ms = [at_ms for at_ms in discovery.arrivals_ms if at_ms >= returns_at_ms]
    outage_arrivals_ms = [at_ms for at_ms in discovery.outage_arrivals_ms if at_ms >= returns_at_ms - 4000.0]
    return Recovery(
        tuple(
            float("inf") if node.known_at_ms is None else node.known_at_ms - returns_at_ms for node in nodes
        ),
        max_calls_within(outage_arrivals_ms),
        max_calls_within(arrivals_ms),
        len(arrivals_ms),
        discovery.expired_count,
    )
