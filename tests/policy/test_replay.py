"""The same events and seed give the same actions, whatever they tell of their reasons.

The digests were taken from the text before actions carried reasons (`balancer/policy/balancer.py` of 1,025
lines). A
change that is meant to alter decisions sets them anew and says so; one that is not must leave them. Crowded
servers are spared since, many nodes before few servers have lower limits, and a request whose client has left
is held no more: no server is drawn for it (`shared`, `crowd`); nobody waits for probes past the time in which
it could be served (`looking`). A repeat is bound to where its server was listed at the send: servers move at
every news here, so all digests differ; those of servers that stay (`STEADY`) are from before that. All these
are played as if no connection only came up late: that ejects as any failure now, as `NOW` has it.
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

DEAR, CELL = (
    replace(SAFE, name="dear", priority_weight=400.0),
    replace(KEYED, name="cell", deduplication_scope=api.DeduplicationScope.CELL),
)
LIVE = replace(
    BASE,
    classes=(SAFE, DEAR, KEYED, CELL),
    has_weights=True,
    has_live_weights=True,
    max_attempts=4,
    max_retry_after_ms=500.0,
)
FLEETS = {
    "live": LIVE,
    "shared": replace(LIVE, node_count=8, prices=api.Prices(cross_zone=0.05)),
    "crowd": replace(LIVE, node_count=300, prices=api.Prices(cross_zone=0.05), has_live_weights=False),
    "cold": replace(LIVE, slow_start_duration_ms=3_000.0, overload_multiple=200.0),
    "looking": replace(LOOKING, max_attempts=4),
}
DIGESTS = {
    "live": ["c49f74dc5ce12916", "0688de16299698fc"],
    "shared": ["9e46dab1d5a2fe16", "270e8e51cab01088"],
    "crowd": ["9488ba18bab5d276", "341094e542af7e09"],
    "cold": ["437bdb408798e639", "a8728509537dc288"],
    "looking": ["6415ae8971ebd3f0", "fc925abec31406d9"],
}
STEADY = {
    "live": ["66d8bbed5766083d", "9344a4acf6caf86e"],
    "shared": ["321ca14b18a12aa1", "6b39b0b01a632a9a"],
    "crowd": ["7661bb7b2ca2ecdb", "4f6e2b1c11298192"],
    "cold": ["ca42aea60afd8804", "18b50e4611651e12"],
    "looking": ["62156b7b6ac6f230", "5b640b51675196bc"],
}
NOW = {
    "live": ["c8237e2fb6dadd09", "adaf2e691f0e8537"],
    "shared": ["b35648b90b42db4a", "319d75d1caef74f2"],
    "crowd": ["d25f2903b202a333", "fa5caa62b7c6b3d3"],
    "cold": ["b76e7f7ed80793b9", "0b3023f7b4e12764"],
    "looking": ["860ac74ffa19b033", "52baf013818178c0"],
}
PHASES = (*[api.Phase.UP] * 8, api.Phase.DRAINING, api.Phase.REMOVED)
STATUSES = (*[api.AttemptStatus.OK] * 12, *api.AttemptStatus)


def plain(action: api.Action) -> str:
    """What is to be done, without why, in the form that the digests were taken from."""
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
    """A node among servers of chance, on one seed: whatever it asks for comes back later."""

    def __init__(self, cfg: api.Settings, seed: int) -> None:
        self.cfg, self.rng, self.node = cfg, random.Random(seed), Balancer(cfg, seed)
        self.heap: list[tuple[float, int, api.Event]] = []
        self.hash, self.count, self.now = hashlib.sha256(), 0, 1_000.0
        self.tries: dict[str, int] = {}
        self.over: set[str] = set()
        self.told: list[api.Action] = []
        self.names = [f"b{n}" for n in range(24)]

    def play(self, events: int) -> str:
        """The digest of all that it asked for."""
        self.feed(
            api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [self.listed(name) for name in self.names])
        )
        for number in range(events):
            self.now += self.rng.expovariate(0.2)
            while self.heap and self.heap[0][0] <= self.now:
                at, _, event = heapq.heappop(self.heap)
                if isinstance(event, api.AttemptFinished):
                    event.is_request_closed = (
                        event.request in self.over or event.status is api.AttemptStatus.OK
                    )
                    self.over |= {event.request} if event.is_request_closed else set()
                self.feed(event, at)
            if self.rng.random() < 0.04:
                some = [self.listed(name) for name in self.rng.sample(self.names, 3)]
                kind = self.rng.choice(
                    [api.EndpointUpdateKind.INCREMENTAL] * 9 + [api.EndpointUpdateKind.FAILED]
                )
                self.feed(api.EndpointsUpdated(kind, some))
                continue
            cls = self.rng.choice(self.cfg.classes)
            until = self.now + cls.deadline_ms * self.rng.choice((1.0, 1.0, 0.4))
            self.feed(api.RequestArrived(f"r{number}", cls.name, until, idempotency_key=f"k{number}"))
            if self.rng.random() < 0.01:
                self.over.add(f"r{number}")
                self.feed(api.ClientLeft(f"r{number}"))
        return self.hash.hexdigest()[:16]

    def listed(self, name: str) -> api.Endpoint:
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
            self.hash.update(plain(action).encode() + (b"\n" if plain(action) else b""))
            self.asked(action, at)
        self.told += actions

    def later(self, at: float, event: api.Event) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, event))

    def asked(self, action: api.Action, at: float) -> None:
        rng = self.rng
        match action:
            case api.SendAttempt():
                number = self.tries[action.request] = self.tries.get(action.request, -1) + 1
                status, took = rng.choice(STATUSES), rng.lognormvariate(4.0, 0.8)
                report = api.LoadReport(float(rng.randint(0, 4)), 0.0) if rng.random() < 0.7 else None
                if action.timeout_ms and took > action.timeout_ms:
                    status, took = api.AttemptStatus.TIMEOUT, action.timeout_ms
                one = api.AttemptFinished(action.request, number, action.backend, status, took, False, report)
                self.later(at + took, one)
            case api.RejectRequest() | api.FailRequest():
                self.over.add(action.request)
            case api.SetTimer():
                self.later(max(at, action.at_ms), api.TimerFired(action.token))
            case api.SendProbe():
                report = api.LoadReport(float(rng.randint(0, 3)), 0.0)
                status = api.AttemptStatus.OK if rng.random() < 0.9 else api.AttemptStatus.TIMEOUT
                self.later(at + 3.0, api.ProbeFinished(action.backend, status, 3.0, report))


@pytest.mark.parametrize("name", FLEETS)
def test_the_actions_are_those_from_before_reasons(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load_shedding, "OVERLOAD_REQUESTS_PER_CORE", (1e9, 2e9))
    monkeypatch.setattr(concurrency_limit, "MIN_BACKENDS_PER_NODE", 1.0)
    monkeypatch.setattr(
        outlier_ejection, "CONNECT_EJECTION_SIGNIFICANCE", outlier_ejection.EJECTION_SIGNIFICANCE
    )
    monkeypatch.setattr(
        outlier_ejection, "REFUSED_CONNECT_FRACTION", math.inf
    )  # as if none only came up late
    assert [Run(FLEETS[name], seed).play(1_500) for seed in (1, 2)] == DIGESTS[name]


class SteadyRun(Run):
    """The same where every server keeps its zone and cell."""

    def listed(self, name: str) -> api.Endpoint:
        number = int(name[1:])
        return replace(super().listed(name), zone="ab"[number % 2], cell=number % 3)


@pytest.mark.parametrize("name", FLEETS)
def test_the_actions_among_servers_that_do_not_move(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load_shedding, "OVERLOAD_REQUESTS_PER_CORE", (1e9, 2e9))
    monkeypatch.setattr(concurrency_limit, "MIN_BACKENDS_PER_NODE", 1.0)
    monkeypatch.setattr(
        outlier_ejection, "CONNECT_EJECTION_SIGNIFICANCE", outlier_ejection.EJECTION_SIGNIFICANCE
    )
    monkeypatch.setattr(outlier_ejection, "REFUSED_CONNECT_FRACTION", math.inf)
    assert [SteadyRun(FLEETS[name], seed).play(1_500) for seed in (1, 2)] == STEADY[name]


@pytest.mark.parametrize("name", FLEETS)
def test_the_actions_of_now(name: str) -> None:
    assert [SteadyRun(FLEETS[name], seed).play(1_500) for seed in (1, 2)] == NOW[name]
