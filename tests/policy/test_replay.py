"""The same events and seed must give the same actions, whatever reasons they carry.

The digests were taken before actions carried reasons (`balancer/policy/balancer.py` of 1,025 lines). A change
that is meant to alter decisions must update them and say so; any other change must leave them alone. Intended
changes since then:

- Overloaded backends are protected, many nodes with few backends have lower limits, and a request whose
  client has left is no longer queued, so no backend is drawn for it (`shared`, `crowd`).
- No request waits for probes past the time by which it could be served (`looking`).
- A retry is restricted by where its backend was listed when the attempt was sent. In `DIGESTS` backends move
  with every update, so all of them changed; `STEADY_DIGESTS`, where they do not move, are from before that.
- The wait after a failed call to discovery is limited by the time until the next one has to be answered, and
  at most one call is scheduled. The streams have such failures, so all digests changed; with the former
  schedule in its place they are as before.

`DIGESTS` and `STEADY_DIGESTS` are replayed as if no failed connection was just slow. `CURRENT_DIGESTS` use
the current rule, under which slow connections eject like other failures.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from dataclasses import replace

import pytest

from balancer import interface as api
from balancer.policy import concurrency_limit, load_shedding, outlier_ejection
from balancer.policy.balancer import Balancer
from tests.helpers import (
    BASE,
    KEYED,
    LOOKING,
    SAFE,
    entry,
)

HIGH_PRIORITY, CELL_KEYED = (
    replace(SAFE, name="dear", priority_weight=400.0),
    replace(KEYED, name="cell", deduplication_scope=api.DeduplicationScope.CELL),
)
LIVE_WEIGHTS = replace(
    BASE,
    classes=(SAFE, HIGH_PRIORITY, KEYED, CELL_KEYED),
    has_weights=True,
    has_live_weights=True,
    max_attempts=4,
    max_retry_after_ms=500.0,
)
FLEETS = {
    "live": LIVE_WEIGHTS,
    "shared": replace(LIVE_WEIGHTS, node_count=8, prices=api.Prices(cross_zone=0.05)),
    "crowd": replace(
        LIVE_WEIGHTS, node_count=300, prices=api.Prices(cross_zone=0.05), has_live_weights=False
    ),
    "cold": replace(LIVE_WEIGHTS, slow_start_duration_ms=3_000.0, overload_multiple=200.0),
    "looking": replace(LOOKING, max_attempts=4),
}
DIGESTS = {
    "live": ["0ba0713a40beaba5", "cb775cba7191a7c8"],
    "shared": ["962d4fcc2670e956", "49eee0ccf1ef4fdc"],
    "crowd": ["e712c79caddd1634", "c20136b52a4620e3"],
    "cold": ["3f6ab36d3d10a2b1", "a8728509537dc288"],
    "looking": ["3374eabe21e73c62", "bf960c29278c4104"],
}
STEADY_DIGESTS = {
    "live": ["1f02d1a45b8c20bb", "0e63d3124b2ed496"],
    "shared": ["cada6982e171b845", "5a6545bb853161f2"],
    "crowd": ["c013dca112c28c1c", "08db48721225f43e"],
    "cold": ["ba01690bacef3be2", "473f555c3a728b80"],
    "looking": ["406aa339a4b8b2e0", "e77f76f8810ed0d3"],
}
CURRENT_DIGESTS = {
    "live": ["c6e7787611ad99c2", "c116d0394b38aeaf"],
    "shared": ["eba8f1911e08bfbd", "dc05a74920cad83d"],
    "crowd": ["b62eba02816218e0", "54f48e131a5f5b7c"],
    "cold": ["afcb68a8b12c124d", "c5d9ee5f898e9262"],
    "looking": ["1167886b67e41fbb", "33b5c7944e8606fd"],
}
PHASES = (*[api.Phase.UP] * 8, api.Phase.DRAINING, api.Phase.REMOVED)
STATUSES = (*[api.AttemptStatus.OK] * 12, *api.AttemptStatus)


def format_action(action: api.Action) -> str:
    """Format an action without its reasons, in the form that the digests were taken from."""
    match action:
        case api.SendAttempt():
            return f"Send {action.request} {action.backend} {action.timeout_ms!r}"
        case api.RejectRequest():
            return f"Refuse {action.request} {action.retry_after_ms!r}"
        case api.FailRequest():
            return f"Fail {action.request}"
        case api.CancelAttempt():
            return f"Cancel(request={action.request!r}, attempt={action.attempt!r})"
        case api.SetTimer():
            return f"SetTimer(when={action.at_ms!r}, token={action.token!r})"
        case api.SendProbe():
            return f"Probe(backend={action.backend!r})"
        case api.SubscribeToEndpoints():
            return f"Subscribe(on={action.is_enabled!r})"
        case api.FetchSnapshot():
            return "ListAll()"
        case api.CloseIdleConnections():
            return f"CloseIdle(backend={action.backend!r})"
        case api.SendPeerMessage():
            return f"Tell(node={action.node_index!r}, content={action.content!r})"
        case api.WriteLog():
            return f"Log(text={action.text!r})"
        case api.NoteBackendDecision():
            return ""


class Run:
    """A node among simulated backends with one seed: the result of each action arrives later as an event."""

    def __init__(self, config: api.Settings, seed: int) -> None:
        self.config, self.rng, self.node = config, random.Random(seed), Balancer(config, seed)
        self.heap: list[tuple[float, int, api.Event]] = []
        self.hash, self.count, self.now = hashlib.sha256(), 0, 1_000.0
        self.attempt_numbers: dict[str, int] = {}
        self.closed_requests: set[str] = set()
        self.actions: list[api.Action] = []
        self.names = [f"b{n}" for n in range(24)]

    def play(self, events: int) -> str:
        """Return the digest of all actions."""
        self.feed(
            api.EndpointsUpdated(
                api.EndpointUpdateKind.SNAPSHOT, [self.random_endpoint(name) for name in self.names]
            )
        )
        for number in range(events):
            self.now += self.rng.expovariate(0.2)
            while self.heap and self.heap[0][0] <= self.now:
                at, _, event = heapq.heappop(self.heap)
                if isinstance(event, api.AttemptFinished):
                    event.is_request_closed = (
                        event.request in self.closed_requests or event.status is api.AttemptStatus.OK
                    )
                    self.closed_requests |= {event.request} if event.is_request_closed else set()
                self.feed(event, at)
            if self.rng.random() < 0.04:
                endpoints = [self.random_endpoint(name) for name in self.rng.sample(self.names, 3)]
                kind = self.rng.choice(
                    [api.EndpointUpdateKind.INCREMENTAL] * 9 + [api.EndpointUpdateKind.FAILED]
                )
                self.feed(api.EndpointsUpdated(kind, endpoints))
                continue
            request_class = self.rng.choice(self.config.classes)
            deadline_ms = self.now + request_class.deadline_ms * self.rng.choice((1.0, 1.0, 0.4))
            self.feed(
                api.RequestArrived(
                    f"r{number}", request_class.name, deadline_ms, idempotency_key=f"k{number}"
                )
            )
            if self.rng.random() < 0.01:
                self.closed_requests.add(f"r{number}")
                self.feed(api.ClientLeft(f"r{number}"))
        return self.hash.hexdigest()[:16]

    def random_endpoint(self, name: str) -> api.Endpoint:
        rng = self.rng
        return entry(
            name,
            zone=rng.choice("ab"),
            cell=rng.randint(0, 2),
            phase=rng.choice(PHASES),
            weight=rng.choice((1.0, 0.5, 3.0)),
            started_at_ms=rng.choice((0.0, 0.0, self.now)),
        )

    def feed(self, event: api.Event, at: float | None = None) -> None:
        at = self.now if at is None else at
        actions = self.node.handle(at, event)
        for action in actions:
            self.hash.update(format_action(action).encode() + (b"\n" if format_action(action) else b""))
            self.simulate(action, at)
        self.actions += actions

    def schedule(self, at: float, event: api.Event) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, event))

    def simulate(self, action: api.Action, at: float) -> None:
        rng = self.rng
        match action:
            case api.SendAttempt():
                attempt_number = self.attempt_numbers[action.request] = (
                    self.attempt_numbers.get(action.request, -1) + 1
                )
                status, duration_ms = rng.choice(STATUSES), rng.lognormvariate(4.0, 0.8)
                report = api.LoadReport(float(rng.randint(0, 4)), 0.0) if rng.random() < 0.7 else None
                if action.timeout_ms and duration_ms > action.timeout_ms:
                    status, duration_ms = api.AttemptStatus.TIMEOUT, action.timeout_ms
                event = api.AttemptFinished(
                    action.request, attempt_number, action.backend, status, duration_ms, False, report
                )
                self.schedule(at + duration_ms, event)
            case api.RejectRequest() | api.FailRequest():
                self.closed_requests.add(action.request)
            case api.SetTimer():
                self.schedule(max(at, action.at_ms), api.TimerFired(action.token))
            case api.SendProbe():
                report = api.LoadReport(float(rng.randint(0, 3)), 0.0)
                status = api.AttemptStatus.OK if rng.random() < 0.9 else api.AttemptStatus.TIMEOUT
                self.schedule(at + 3.0, api.ProbeFinished(action.backend, status, 3.0, report))


@pytest.mark.parametrize("name", FLEETS)
def test_replay_with_moving_backends_matches_digests(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load_shedding, "OVERLOAD_REQUESTS_PER_CORE", (1e9, 2e9))
    monkeypatch.setattr(concurrency_limit, "MIN_BACKENDS_PER_NODE", 1.0)
    monkeypatch.setattr(
        outlier_ejection, "CONNECT_EJECTION_SIGNIFICANCE", outlier_ejection.EJECTION_SIGNIFICANCE
    )
    monkeypatch.setattr(
        outlier_ejection, "REFUSED_CONNECT_FRACTION", math.inf
    )  # as if no connection was just slow
    assert [Run(FLEETS[name], seed).play(1_500) for seed in (1, 2)] == DIGESTS[name]


class SteadyRun(Run):
    """The same with backends that keep their zone and cell."""

    def random_endpoint(self, name: str) -> api.Endpoint:
        number = int(name[1:])
        return replace(super().random_endpoint(name), zone="ab"[number % 2], cell=number % 3)


@pytest.mark.parametrize("name", FLEETS)
def test_replay_with_fixed_backends_matches_digests(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load_shedding, "OVERLOAD_REQUESTS_PER_CORE", (1e9, 2e9))
    monkeypatch.setattr(concurrency_limit, "MIN_BACKENDS_PER_NODE", 1.0)
    monkeypatch.setattr(
        outlier_ejection, "CONNECT_EJECTION_SIGNIFICANCE", outlier_ejection.EJECTION_SIGNIFICANCE
    )
    monkeypatch.setattr(outlier_ejection, "REFUSED_CONNECT_FRACTION", math.inf)
    assert [SteadyRun(FLEETS[name], seed).play(1_500) for seed in (1, 2)] == STEADY_DIGESTS[name]


@pytest.mark.parametrize("name", FLEETS)
def test_replay_with_current_constants_matches_digests(name: str) -> None:
    assert [SteadyRun(FLEETS[name], seed).play(1_500) for seed in (1, 2)] == CURRENT_DIGESTS[name]
