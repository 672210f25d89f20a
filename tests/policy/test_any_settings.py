"""The protocol rules under any valid settings and any order of events."""

from __future__ import annotations

import json
import math
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.platform_settings import parse_json
from balancer.policy.balancer import Balancer
from tests.helpers import (
    LOOKING,
    SAFE,
    RuleChecker,
    answers,
    entry,
    node,
)

ZONES = ["", "a", "b", "zürich 1", "-"]
PLATFORM_WORDS = {
    api.Idempotency.IDEMPOTENT: "retryable",
    api.Idempotency.KEYED: "dedup",
    api.Idempotency.NON_IDEMPOTENT: "fragile",
    api.LoadReportSource.RESPONSES: "inline",
    api.LoadReportSource.PROBES: "on_probe",
    api.LoadReportSource.NONE: "off",
}
MAX_ATTEMPTS_CHOICES = [1, 1, 2, 3, 8]


def any_class(rng: random.Random, number: int) -> api.RequestClass:
    """Return a random class that a settings file may contain."""
    deadline = rng.choice([60.0, 61.5, 200.0, 1_000.0, 4_000.0, 30_000.0])
    return api.RequestClass(
        f"k{number}",
        rng.choice(list(api.Idempotency)),
        latency_objective_ms=rng.choice([deadline, deadline, 0.5 * deadline, 0.01 * deadline, 2 * deadline]),
        deadline_ms=deadline,
        priority_weight=rng.choice([0.0, 0.1, 1.0, 1.0, 12.0, 1e6]),
        late_priority_weight=rng.choice([0.0, 0.0, 0.3, 1.0]),
        deduplication_scope=rng.choice(list(api.DeduplicationScope)),
        deduplication_window_ms=rng.choice([0.0, 1.0, deadline / 3, deadline, 10 * deadline]),
        latency_objective_stretch=rng.choice([0.0, 0.0, 3.0]),
        is_streamed=rng.random() < 0.1,
    )


def any_settings(rng: random.Random) -> api.Settings:
    """Return random settings from the whole range of a settings file."""
    group_size = rng.choice([1, 2, 10, 200, 1000])
    probing, reports = rng.random() < 0.3, rng.choice(list(api.LoadReportSource))
    live = rng.random() < 0.4
    zones = tuple(rng.sample(ZONES[1:], rng.randint(0, 4)))
    return api.Settings(
        classes=tuple(any_class(rng, number) for number in range(rng.choice([1, 2, 3, 12]))),
        node_index=rng.randrange(group_size),
        node_count=group_size,
        zone=rng.choice(ZONES),
        tick_ms=rng.choice([0.1, 1.0, 5.0, 20.0]),
        tenants=tuple(api.Tenant(f"Ø {i}", 50.0 * (i % 2), 0.1) for i in range(rng.choice([0, 1, 40]))),
        prices=api.Prices(probe=rng.choice([0.0, 0.01]), cross_zone=rng.choice([0.0, 0.01, 0.02, 0.5])),
        must_poll=rng.random() < 0.3,
        load_report_source=reports,
        probing_enabled=probing,
        may_cancel=rng.random() < 0.6,
        may_hedge=rng.random() < 0.5,
        max_attempts=rng.choice(MAX_ATTEMPTS_CHOICES),
        max_retry_after_ms=rng.choice([0.0, 1.0, 2_000.0]),
        poll_within_ms=rng.choice([100.0, 10_000.0]),
        drain_grace_ms=rng.choice([50.0, 500.0, 10_000.0]),
        slow_start_initial_fraction=rng.choice([0.0, 0.0, 0.3, 1.0]),
        slow_start_duration_ms=rng.choice([0.0, 1.0, 8_800.0, 1e6]),
        overload_window_ms=rng.choice([1.0, 1_000.0, 1e5]),
        overload_multiple=rng.choice([0.01, 1.0, 3.0, 100.0]),
        has_weights=live or rng.random() < 0.5,
        has_live_weights=live,
        zones=zones,
        connect_timeout_ms=rng.choice([1.0, 60.0, 500.0]),
        are_retries_marked=rng.random() < 0.5,
        max_open_requests=rng.choice([1, 50, 20_000]),
        connection_idle_ms=rng.choice([0.0, 300.0, 10_000.0]),
    )


class RandomRun:
    """One node under random settings, with a checker for each of its actions."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.config = config = any_settings(rng)
        self.balancer, self.now = Balancer(config, seed), rng.choice([0.0, 5_000.0, 1e12])
        # Stricter than the settings: one attempt at a time, and nothing to backends known to be draining.
        self.has_late_timers = rng.random() < 0.3  # timers and timeouts come late and in any order
        slack = math.inf if self.has_late_timers else 0.0
        self.check = RuleChecker(
            replace(config, may_hedge=False, drain_grace_ms=-1.0, response_slack_ms=slack)
        )
        self.round_trip_ms = rng.choice([0.1, 1.0, 50.0, 250.0])
        self.timers: list[tuple[float, int]] = []
        self.in_flight: list[tuple[float, str, int, str, float]] = []  # end, request, attempt, backend, sent
        self.probes: list[tuple[str, float]] = []
        self.left_requests: set[str] = set()
        self.streamed_requests: set[str] = set()
        self.names = [f"b{i}" for i in range(rng.choice([0, 1, 2, 3, 3, 9, 9, 40, 40, 400]))]
        self.request_count = 0

    def random_endpoint(self, name: str) -> api.Endpoint:
        """Return a random endpoint."""
        rng = self.rng
        up = [api.Phase.UP] * 6 + [api.Phase.DRAINING, api.Phase.REMOVED]
        return entry(
            name,
            zone=rng.choice(ZONES),
            cell=rng.choice([-1, 0, 1, 10**12]),
            phase=rng.choice(up),
            weight=rng.choice([0.0, 1e-9, 0.4, 1.0, 1.0, 3.7, 1e300]),
            kind=rng.choice(["", "x"]),
            started_at_ms=rng.choice([0.0, 0.0, self.now - rng.uniform(0, 9e3), self.now, self.now + 5e3]),
            cached_age_ms=rng.choice([None, None, None, 0.0, 1e5]),
        )

    def handle(self, event: api.Event, is_unknown: bool = False) -> None:
        """Handle one event; the checker does not see an event about something unknown (`is_unknown`)."""
        if not is_unknown:
            self.check.event(self.now, event)
            if isinstance(event, api.RequestArrived):  # a request past its deadline is answered at once
                self.check.seen[event.request].deadline = max(self.now, event.deadline_ms)
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.check.actions(self.now, [action])
            if isinstance(action, api.SetTimer):
                assert math.isfinite(action.at_ms)
                self.timers.append((action.at_ms, action.token))
            elif isinstance(action, api.SendProbe):
                assert self.config.probing_enabled
                self.probes.append((action.backend, self.now))
            elif isinstance(action, api.SendAttempt):
                self._sent(action)
            elif isinstance(action, api.CancelAttempt):
                out = {(request_id, number) for _, request_id, number, _, _ in self.in_flight}
                assert self.config.may_cancel and (action.request, action.attempt) in out
                assert action.request not in self.streamed_requests
            elif isinstance(action, api.RejectRequest):
                assert 0.0 <= action.retry_after_ms <= self.config.max_retry_after_ms
            elif isinstance(action, api.NoteBackendDecision):
                assert math.isfinite(action.duration_ms)
        assert (
            0.0 < self.balancer.state.min_concurrency_limit < math.inf
            and 0.0 < self.balancer.concurrency_limit < math.inf
        )
        assert all(
            math.isfinite(c.expected_latency_ms) and c.expected_latency_ms > 0
            for c in self.balancer.classes.values()
        )
        assert self.balancer.in_flight == len(self.in_flight)

    def _sent(self, action: api.SendAttempt) -> None:
        assert action.request not in self.left_requests | self.streamed_requests
        seen = self.check.seen[action.request]
        assert self.now < seen.deadline and math.isfinite(action.timeout_ms) and action.timeout_ms >= 0.0
        assert action.start_before_ms >= self.now
        until = min(seen.deadline, self.now + (action.timeout_ms or math.inf))
        self.in_flight.append((until, action.request, len(seen.attempts) - 1, action.backend, self.now))

    def finish_attempt(self, index: int, status: api.AttemptStatus) -> None:
        """Finish an attempt."""
        _, request_id, number, backend, sent = self.in_flight.pop(index)
        closed = (
            self.check.seen[request_id].ended
            or status is api.AttemptStatus.OK
            or request_id in self.streamed_requests
        )
        numbers = [None, 0.0, 0.4, 7.0, 1e9]
        load = self.rng.choice([None, api.LoadReport(self.rng.choice(numbers), self.rng.choice(numbers))])
        event = api.AttemptFinished(request_id, number, backend, status, self.now - sent, closed, load)
        self.handle(event)
        if self.rng.random() < 0.1:  # delivered twice
            self.handle(event, is_unknown=True)

    def step(self) -> None:
        """Generate a random event."""
        rng, roll = self.rng, self.rng.random()
        if roll < 0.4:
            for _ in range(rng.choice([1, 1, 1, 20])):
                self.request_count += 1
                request_class = rng.choice(self.config.classes)
                remaining_ms = request_class.deadline_ms * rng.choice(
                    [1.0, 1.0, 1.0, 0.5, rng.random(), 1.5, 0.0, -1.0]
                )
                self.handle(
                    api.RequestArrived(
                        f"r{self.request_count}",
                        request_class.name,
                        self.now + remaining_ms,
                        rng.random() < 0.3,
                        rng.choice([None, "", "k"]),
                        rng.choice([None, "t0", "nobody"]),
                        rng.choice([None, None, 0.0, request_class.latency_objective_ms / 2, 1e9]),
                    )
                )
        elif roll < 0.65 and self.in_flight:
            self.finish_attempt(
                rng.randrange(len(self.in_flight)), rng.choice([*api.AttemptStatus, api.AttemptStatus.OK])
            )
        elif roll < 0.72:
            name = rng.choice([*self.names, "nobody"])
            self.handle(
                api.AttemptFinished("nobody", 0, name, rng.choice(list(api.AttemptStatus)), 1.0, False),
                is_unknown=True,
            )
            self.handle(api.ClientLeft("nobody"))
            self.handle(api.TimerFired(10**9))
            self.handle(
                api.ProbeFinished(name, rng.choice(list(api.AttemptStatus)), 1e4, None), is_unknown=True
            )
        elif roll < 0.82:
            update_kind = rng.choice(
                [
                    *api.EndpointUpdateKind,
                    api.EndpointUpdateKind.INCREMENTAL,
                    api.EndpointUpdateKind.INCREMENTAL,
                ]
            )
            pool = [*self.names, f"n{self.request_count}"]
            some = rng.choices(pool, k=rng.choice([0, 1, 2, len(pool)]))
            rows = (
                []
                if update_kind is api.EndpointUpdateKind.FAILED
                else [self.random_endpoint(name) for name in some]
            )
            self.handle(api.EndpointsUpdated(update_kind, rows))
        elif roll < 0.9 and self.request_count:
            request_id = f"r{rng.randint(max(1, self.request_count - 30), self.request_count)}"
            if not self.check.seen[request_id].ended:
                self.left_requests.add(request_id)
            self.handle(api.ClientLeft(request_id))
        elif roll < 0.92 and self.in_flight:
            at = rng.randrange(len(self.in_flight))
            _, request_id, number, backend, sent = self.in_flight[at]
            seen = self.check.seen[request_id]
            if seen.cls.is_streamed and not seen.ended:  # the response begins: it has no timeout from now on
                self.streamed_requests.add(request_id)
                self.in_flight[at] = (self.now + 5_000.0, request_id, number, backend, sent)
                seen.deadline = math.inf
                self.handle(api.StreamStarted(request_id, number, backend, self.now - sent))
        elif roll < 0.94:
            learned = self.balancer.learned(self.now)
            self.handle(api.LearnedStateRestored(learned, rng.choice([0.0, -5.0, 1e4, 1e12])))

    def advance_to(self, until_ms: float) -> None:
        """Advance the clock; events due before then are handled in order, or late and in any order."""
        while True:
            due: list[tuple[float, int, int]] = [(when, 0, i) for i, (when, _) in enumerate(self.timers)]
            due += [(row[0], 1, i) for i, row in enumerate(self.in_flight)]
            due += [(sent + self.round_trip_ms, 2, i) for i, (_, sent) in enumerate(self.probes)]
            due = [one for one in due if one[0] <= until_ms]
            if not due:
                break
            if self.has_late_timers:
                if self.rng.random() < 0.2:
                    break
                when, what, at = self.rng.choice(due)
                self.now = max(self.now, when, self.rng.uniform(self.now, until_ms))
            else:
                when, what, at = min(due)
                self.now = max(self.now, when)
            if what == 0:
                self.handle(api.TimerFired(self.timers.pop(at)[1]))
            elif what == 1:
                self.finish_attempt(at, api.AttemptStatus.TIMEOUT)
            else:
                name, sent = self.probes.pop(at)
                status = self.rng.choice(
                    [api.AttemptStatus.OK, api.AttemptStatus.OK, api.AttemptStatus.TIMEOUT]
                )
                self.handle(
                    api.ProbeFinished(
                        name, status, self.now - sent, api.LoadReport(self.rng.choice([0.0, 9.0]))
                    )
                )
        self.now = max(self.now, until_ms)
        assert self.has_late_timers or not self.check.overdue(self.now)


def play(seed: int, steps: int) -> None:
    """Run a number of steps, then let everything end."""
    run = RandomRun(seed)
    rng = run.rng
    run.handle(
        api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [run.random_endpoint(name) for name in run.names])
    )
    pace = rng.choice([0.0, 1.0, 50.0, 1_000.0])
    for _ in range(steps):
        run.step()
        run.advance_to(run.now + rng.choice([0.0, 0.0, 0.01, pace * rng.random()]))
    run.has_late_timers = False
    run.advance_to(run.now + 40_000.0)
    run.advance_to(run.now + 40_000.0)
    assert all(r.ended for r in run.check.seen.values()), "unanswered at the end of all"
    balancer = run.balancer
    assert not (balancer.requests or balancer.queued or balancer.in_flight) and not any(
        one.in_flight for one in balancer.backends.values()
    )
    run.handle(api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, []))
    assert not (
        balancer.backends
        or balancer.index.order
        or balancer.index.warming_up
        or balancer.index.groups
        or any(balancer.index.tiers)
    )
    asked = [call for call, _ in balancer.state.timers.values()]
    assert not [call for call in asked if call.__name__ != "_ask"]


def to_platform_json(config: api.Settings) -> str:
    """Return the settings in the platform's JSON format."""
    classes = [
        {
            "name": c.name,
            "effect": PLATFORM_WORDS[c.idempotency],
            "group": c.deduplication_scope.value,
            "objective": c.latency_objective_ms,
            "give-up": c.deadline_ms,
            "value": c.priority_weight,
            "late-worth": c.late_priority_weight,
            "memory-span": c.deduplication_window_ms,
            "streamed": c.is_streamed,
            "aim-stretch": c.latency_objective_stretch,
        }
        for c in config.classes
    ]
    return json.dumps(
        {
            "request-classes": classes,
            "me": config.node_index,
            "group-size": config.node_count,
            "zone": config.zone,
            "granularity": config.tick_ms,
            "failure-domains": config.zones,
            "projects": [
                {"name": t.name, "quota-per-s": t.quota_per_s, "share": t.share} for t in config.tenants
            ],
            "charges": {"probe": config.prices.probe, "cross-zone": config.prices.cross_zone},
            "discovery": "subscribe" if config.must_poll else "automatic",
            "load-info": {"how": PLATFORM_WORDS[config.load_report_source], "names": []},
            "limits": {
                "probing": config.probing_enabled,
                "cancel": config.may_cancel,
                "second-copies": config.may_hedge,
                "most-tries": config.max_attempts,
                "retry-after": True,
                "max-retry-after": config.max_retry_after_ms,
                "connect-timeout": config.connect_timeout_ms,
                "max-open": config.max_open_requests,
                "conn-idle": config.connection_idle_ms,
            },
            "rules": {
                "ask-within": config.poll_within_ms,
                "drain-grace": config.drain_grace_ms,
                "cold-share": config.slow_start_initial_fraction,
                "ramp-time": config.slow_start_duration_ms,
                "fall": config.overload_window_ms,
                "fall-multiple": config.overload_multiple,
                "answer-slack": config.response_slack_ms,
            },
            "weight-source": "live" if config.has_live_weights else "rough" if config.has_weights else "off",
            "client-habits": {"marks-retry": config.are_retries_marked},
            "family-info": {"passes-deadline": True},
        }
    )


@pytest.mark.parametrize("seed", range(50))
def test_read_returns_any_valid_settings(seed: int) -> None:
    config = any_settings(random.Random(seed))
    assert parse_json(to_platform_json(config)) == config


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 10**9))
def test_any_settings_and_any_order(seed: int) -> None:
    play(seed, 100)


def test_probe_longer_than_deadline_rejects_in_time() -> None:
    """The request is rejected in time, and the probed backends do not count as stalled."""
    short = replace(SAFE, latency_objective_ms=60.0, deadline_ms=60.0)
    balancer = node(replace(LOOKING, classes=(short,)), ["x", "y", "z", "u"])
    for n in range(60):  # probes are slow here: 50 ms
        balancer.handle(1000.0 + n, api.ProbeFinished("x", api.AttemptStatus.OK, 50.0, api.LoadReport(3.0)))
    actions, asked = balancer.handle(2000.0, api.RequestArrived("r", "read", 2060.0)), 0
    while not answers(actions):
        asked += sum(isinstance(a, api.SendProbe) for a in actions)
        due = next(a for a in actions if isinstance(a, api.SetTimer))
        assert due.at_ms <= 2060.0
        actions = balancer.handle(due.at_ms, api.TimerFired(due.token))
    assert asked == 3 and isinstance(answers(actions)[0], api.RejectRequest)
    assert not any(one.ejected_until_ms for one in balancer.backends.values())
