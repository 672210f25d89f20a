"""Event streams for the decision module, and a canonical form of what it answers.

The canonical form is the simulator's output line of each action, with the exported values of its reasons. It
names nothing of the code, so digests of it can be compared between versions that use different names.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from dataclasses import replace
from typing import Any

from balancer import interface as api
from balancer.policy.balancer import Balancer
from balancer.simulator import wire
from balancer.testbed.simulation import scenario as simulation_scenario
from balancer.testbed.simulation.policies import Policy
from balancer.testbed.simulation.world import World
from tests.helpers import (
    BASE,
    KEYED,
    LOOKING,
    SAFE,
    UNSAFE,
    entry,
)

DEAR = replace(SAFE, name="dear", priority_weight=400.0)
CELL = replace(KEYED, name="cell", deduplication_scope=api.DeduplicationScope.CELL)
EVERYWHERE = replace(KEYED, name="everywhere", deduplication_scope=api.DeduplicationScope.ALL)
STREAMED = replace(SAFE, name="streamed", is_streamed=True)
LIVE = replace(
    BASE,
    classes=(SAFE, DEAR, KEYED, CELL, EVERYWHERE, UNSAFE, STREAMED),
    has_weights=True,
    has_live_weights=True,
    max_attempts=4,
    max_retry_after_ms=500.0,
    are_retries_marked=True,
)
CONFIGURATIONS = {
    "live_weights": LIVE,
    "subset": replace(LIVE, node_count=8, node_index=3, prices=api.Prices(cross_zone=0.05)),
    "many_nodes": replace(LIVE, node_count=300, has_live_weights=False, must_poll=True),
    "slow_start": replace(LIVE, slow_start_duration_ms=3_000.0, overload_multiple=200.0),
    "probing": replace(LOOKING, max_attempts=4),
}
BACKEND_COUNTS = (4, 24, 200, 2_000)
ARRIVALS = 5_000
SIMULATION_SEEDS = (1, 2, 3, 4)
PHASES = (*[api.Phase.UP] * 8, api.Phase.DRAINING, api.Phase.REMOVED)
STATUSES = (*[api.AttemptStatus.OK] * 60, *api.AttemptStatus)


def canonical(action: api.Action) -> str:
    """One line for an action: the simulator's, and the exported words of why it was taken."""
    if isinstance(action, api.NoteBackendDecision):
        return f"NOTED {action.backend} {action.decision.value} {action.count} {action.duration_ms!r}"
    line = wire.action(action)
    if isinstance(action, api.SendAttempt):
        reasons = (
            f"{action.reason.value} {action.cause.value} {action.eligible_count} {action.overloaded_count}"
        )
        return f"{line} {action.timeout_ms!r} {action.start_before_ms!r} {reasons}"
    if isinstance(action, api.RejectRequest):
        return f"{line} {action.retry_after_ms!r} {action.reason.value}"
    if isinstance(action, api.FailRequest):
        return f"{line} {action.reason.value}"
    if isinstance(action, api.SetTimer):
        return f"{line} {action.at_ms!r}"
    return line


def canonical_learned(learned: api.LearnedState) -> str:
    """What a node would keep over a restart, with sorted keys."""
    tables = [
        sorted(table.items())
        for table in (learned.expected_latency_ms, learned.slowness, learned.ejection_left_ms)
    ]
    return repr([tables, learned.concurrency_limit])


class Stream:
    """One node among backends of chance: what it asks for comes back as later events."""

    def __init__(self, settings: api.Settings, backend_count: int, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(f"{seed}/{backend_count}")
        self.node = Balancer(settings, seed)
        self.names = [f"b{number}" for number in range(backend_count)]
        self.interval_ms = 400.0 / min(backend_count, 40)
        self.due: list[tuple[float, int, api.Event]] = []
        self.digest = hashlib.sha256()
        self.scheduled = self.events = self.actions = 0
        self.now_ms = 1_000.0
        self.attempts: dict[str, int] = {}
        self.ended: set[str] = set()

    def play(self, arrivals: int) -> str:
        """The digest of all actions, in order, and of what the node has learned at the end."""
        listed = [self.listed(name) for name in self.names]
        self.feed(api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, listed), self.now_ms)
        self.feed(self.restored(), self.now_ms)
        for number in range(arrivals):
            self.now_ms += self.random.expovariate(1.0 / self.interval_ms)
            self.deliver()
            chance = self.random.random()
            if chance < 0.02:
                self.feed(self.list_update(), self.now_ms)
            elif chance < 0.025:
                self.feed(api.PeerMessageReceived(1, b"x"), self.now_ms)
            self.arrive(number)
        self.digest.update(canonical_learned(self.node.learned(self.now_ms)).encode())
        return self.digest.hexdigest()[:24]

    def deliver(self) -> None:
        """Every event that has come due."""
        while self.due and self.due[0][0] <= self.now_ms:
            at_ms, _, event = heapq.heappop(self.due)
            if isinstance(event, api.AttemptFinished):
                event.is_request_closed = event.request in self.ended or event.status is api.AttemptStatus.OK
                if event.is_request_closed:
                    self.ended.add(event.request)
            self.feed(event, at_ms)

    def arrive(self, number: int) -> None:
        """One request of a class of chance; some clients leave at once."""
        chosen = self.random.choice(self.settings.classes)
        deadline = self.now_ms + chosen.deadline_ms * self.random.choice((1.0, 1.0, 0.4))
        hint = self.random.choice((None, self.random.uniform(1, 900)))
        is_retry = self.random.random() < 0.2
        name = f"r{number}"
        self.feed(
            api.RequestArrived(
                name, chosen.name, deadline, is_retry, idempotency_key=f"k{number}", work_hint=hint
            ),
            self.now_ms,
        )
        if self.random.random() < 0.01:
            self.ended.add(name)
            self.feed(api.ClientLeft(name), self.now_ms)

    def restored(self) -> api.LearnedStateRestored:
        """What an earlier process had learned."""
        slow = {name: self.random.uniform(0.3, 4.0) for name in self.names[::3]}
        ejected = {name: self.random.uniform(0.0, 5_000.0) for name in self.names[::7]}
        usual = {one.name: (self.random.uniform(10.0, 90.0), 8.0) for one in self.settings.classes}
        return api.LearnedStateRestored(api.LearnedState(usual, 12.0, slow, ejected), 2_500.0)

    def list_update(self) -> api.EndpointsUpdated:
        """Changes of a few, a failed call, or the whole list."""
        kinds = [api.EndpointUpdateKind.INCREMENTAL] * 18 + [
            api.EndpointUpdateKind.FAILED,
            api.EndpointUpdateKind.SNAPSHOT,
        ]
        kind = self.random.choice(kinds)
        if kind is api.EndpointUpdateKind.SNAPSHOT:
            some = [name for name in self.names if self.random.random() < 0.97]
        elif kind is api.EndpointUpdateKind.FAILED:
            some = []
        else:
            some = self.random.sample(self.names, min(3, len(self.names)))
        return api.EndpointsUpdated(kind, [self.listed(name) for name in some])

    def listed(self, name: str) -> api.Endpoint:
        """A backend with a phase, weight and start time of chance; some are only cached."""
        number = int(name[1:])
        return entry(
            name,
            zone="ab"[number % 2] if self.random.random() < 0.99 else self.random.choice("ab"),
            cell=number % 3,
            phase=self.random.choice(PHASES),
            weight=self.random.choice((1.0, 0.5, 0.25, 3.0)),
            started_at_ms=self.random.choice((0.0, 0.0, 0.0, self.now_ms)),
            kind=self.random.choice("xy"),
            cached_age_ms=self.random.choice((None, None, None, None, 500.0)),
        )

    def feed(self, event: api.Event, at_ms: float) -> None:
        """Hand one event over and take its actions down."""
        self.events += 1
        for action in self.node.handle(at_ms, event):
            self.actions += 1
            self.digest.update(canonical(action).encode() + b"\n")
            self.react(action, at_ms)

    def later(self, at_ms: float, event: api.Event) -> None:
        """Schedule an event; ties keep their order."""
        self.scheduled += 1
        heapq.heappush(self.due, (at_ms, self.scheduled, event))

    def react(self, action: api.Action, at_ms: float) -> None:
        """What the world makes of an action."""
        match action:
            case api.SendAttempt():
                self.attempt(action, at_ms)
            case api.RejectRequest() | api.FailRequest():
                self.ended.add(action.request)
            case api.SetTimer():
                self.later(max(at_ms, action.at_ms), api.TimerFired(action.token))
            case api.SendProbe():
                report = api.LoadReport(float(self.random.randint(0, 3)), 0.0)
                status = api.AttemptStatus.OK if self.random.random() < 0.9 else api.AttemptStatus.TIMEOUT
                self.later(at_ms + 3.0, api.ProbeFinished(action.backend, status, 3.0, report))

    def attempt(self, action: api.SendAttempt, at_ms: float) -> None:
        """The outcome of one attempt, drawn now and delivered later."""
        number = self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
        status = self.random.choice(STATUSES)
        duration = self.random.lognormvariate(4.0, 0.8)
        report = None
        if self.random.random() < 0.7:
            report = api.LoadReport(float(self.random.randint(0, 4)), 0.0)
        if action.timeout_ms and duration > action.timeout_ms:
            status, duration = api.AttemptStatus.TIMEOUT, action.timeout_ms
        if status is api.AttemptStatus.OK and self.random.random() < 0.02:
            self.later(at_ms, api.StreamStarted(action.request, number, action.backend, duration / 2))
        outcome = api.AttemptFinished(action.request, number, action.backend, status, duration, False, report)
        self.later(at_ms + duration, outcome)


class RecordedBalancer(Balancer):
    """A node of the simulated fleet that takes its actions down."""

    def __init__(self, digest: Any, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.recorded = digest
        self.recorded_events = 0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide, and add the actions to the digest."""
        actions = super().handle(now, event)
        self.recorded_events += 1
        for action in actions:
            self.recorded.update(canonical(action).encode() + b"\n")
        return actions


def simulated_fleet(seed: int) -> tuple[str, int]:
    """The digest of all actions of a simulated fleet under faults, and the number of its events."""
    digest = hashlib.sha256()
    nodes: list[RecordedBalancer] = []

    def make(name: str, settings: api.Settings, node_seed: int) -> Policy:
        node = RecordedBalancer(digest, settings, node_seed)
        nodes.append(node)
        return node

    drawn = simulation_scenario.rough(seed, servers=8 * seed, nodes=seed, seconds=20.0)
    World(drawn, make).play()
    return digest.hexdigest()[:24], sum(node.recorded_events for node in nodes)


def run_name(configuration: str, backend_count: int) -> str:
    """How a stream is called in the fixture."""
    return f"{configuration}-{backend_count}"


def stream(configuration: str, backend_count: int) -> Stream:
    """The stream of one configuration and size; its seed follows from both."""
    row = list(CONFIGURATIONS).index(configuration)
    seed = row * len(BACKEND_COUNTS) + BACKEND_COUNTS.index(backend_count) + 1
    return Stream(CONFIGURATIONS[configuration], backend_count, seed)
