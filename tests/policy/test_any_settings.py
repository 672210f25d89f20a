"""The rules under whatever settings a site may have, and in whatever order things happen."""

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
WORDS = {
    api.Idempotency.IDEMPOTENT: "retryable",
    api.Idempotency.KEYED: "dedup",
    api.Idempotency.NON_IDEMPOTENT: "fragile",
    api.LoadReportSource.RESPONSES: "inline",
    api.LoadReportSource.PROBES: "on_probe",
    api.LoadReportSource.NONE: "off",
}
TRIES = [1, 1, 2, 3, 8]


def any_class(rng: random.Random, number: int) -> api.RequestClass:
    """A class as a site file may have it."""
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
    """Drawn over all that a site file may say."""
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
        max_attempts=rng.choice(TRIES),
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


class Day:
    """One node under such settings; what it does is judged at once."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.cfg = cfg = any_settings(rng)
        self.b, self.now = Balancer(cfg, seed), rng.choice([0.0, 5_000.0, 1e12])
        # Stricter than the settings: never two copies out, and nothing to whom the node knows to be leaving.
        self.late = rng.random() < 0.3  # timers, and time-outs, come late and in any order
        slack = math.inf if self.late else 0.0
        self.check = RuleChecker(replace(cfg, may_hedge=False, drain_grace_ms=-1.0, response_slack_ms=slack))
        self.rtt = rng.choice([0.1, 1.0, 50.0, 250.0])
        self.timers: list[tuple[float, int]] = []
        self.live: list[tuple[float, str, int, str, float]] = []  # end, request, attempt, backend, sent
        self.probes: list[tuple[str, float]] = []
        self.left: set[str] = set()
        self.streams: set[str] = set()
        self.names = [f"b{i}" for i in range(rng.choice([0, 1, 2, 3, 3, 9, 9, 40, 40, 400]))]
        self.serial = 0

    def listed(self, name: str) -> api.Endpoint:
        """What a list may say of a backend."""
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

    def tell(self, ev: api.Event, odd: bool = False) -> None:
        """One event; an odd one is of what the node does not have, and changes nothing for the judge."""
        if not odd:
            self.check.event(self.now, ev)
            if isinstance(ev, api.RequestArrived):  # one that comes too late is answered at once
                self.check.seen[ev.request].deadline = max(self.now, ev.deadline_ms)
        acts = self.b.handle(self.now, ev)
        for act in acts:
            self.check.actions(self.now, [act])
            if isinstance(act, api.SetTimer):
                assert math.isfinite(act.at_ms)
                self.timers.append((act.at_ms, act.token))
            elif isinstance(act, api.SendProbe):
                assert self.cfg.probing_enabled
                self.probes.append((act.backend, self.now))
            elif isinstance(act, api.SendAttempt):
                self._sent(act)
            elif isinstance(act, api.CancelAttempt):
                out = {(rid, number) for _, rid, number, _, _ in self.live}
                assert self.cfg.may_cancel and (act.request, act.attempt) in out
                assert act.request not in self.streams
            elif isinstance(act, api.RejectRequest):
                assert 0.0 <= act.retry_after_ms <= self.cfg.max_retry_after_ms
            elif isinstance(act, api.NoteBackendDecision):
                assert math.isfinite(act.duration_ms)
        assert (
            0.0 < self.b.state.min_concurrency_limit < math.inf and 0.0 < self.b.concurrency_limit < math.inf
        )
        assert all(
            math.isfinite(c.expected_latency_ms) and c.expected_latency_ms > 0
            for c in self.b.classes.values()
        )
        assert self.b.in_flight == len(self.live)

    def _sent(self, act: api.SendAttempt) -> None:
        assert act.request not in self.left | self.streams
        seen = self.check.seen[act.request]
        assert self.now < seen.deadline and math.isfinite(act.timeout_ms) and act.timeout_ms >= 0.0
        assert act.start_before_ms >= self.now
        until = min(seen.deadline, self.now + (act.timeout_ms or math.inf))
        self.live.append((until, act.request, len(seen.attempts) - 1, act.backend, self.now))

    def resolve(self, index: int, status: api.AttemptStatus) -> None:
        """An attempt ends."""
        _, rid, number, backend, sent = self.live.pop(index)
        closed = self.check.seen[rid].ended or status is api.AttemptStatus.OK or rid in self.streams
        numbers = [None, 0.0, 0.4, 7.0, 1e9]
        load = self.rng.choice([None, api.LoadReport(self.rng.choice(numbers), self.rng.choice(numbers))])
        ev = api.AttemptFinished(rid, number, backend, status, self.now - sent, closed, load)
        self.tell(ev)
        if self.rng.random() < 0.1:  # told twice
            self.tell(ev, odd=True)

    def step(self) -> None:
        """Something happens."""
        rng, roll = self.rng, self.rng.random()
        if roll < 0.4:
            for _ in range(rng.choice([1, 1, 1, 20])):
                self.serial += 1
                kind = rng.choice(self.cfg.classes)
                left = kind.deadline_ms * rng.choice([1.0, 1.0, 1.0, 0.5, rng.random(), 1.5, 0.0, -1.0])
                self.tell(
                    api.RequestArrived(
                        f"r{self.serial}",
                        kind.name,
                        self.now + left,
                        rng.random() < 0.3,
                        rng.choice([None, "", "k"]),
                        rng.choice([None, "t0", "nobody"]),
                        rng.choice([None, None, 0.0, kind.latency_objective_ms / 2, 1e9]),
                    )
                )
        elif roll < 0.65 and self.live:
            self.resolve(
                rng.randrange(len(self.live)), rng.choice([*api.AttemptStatus, api.AttemptStatus.OK])
            )
        elif roll < 0.72:
            name = rng.choice([*self.names, "nobody"])
            self.tell(
                api.AttemptFinished("nobody", 0, name, rng.choice(list(api.AttemptStatus)), 1.0, False),
                odd=True,
            )
            self.tell(api.ClientLeft("nobody"))
            self.tell(api.TimerFired(10**9))
            self.tell(api.ProbeFinished(name, rng.choice(list(api.AttemptStatus)), 1e4, None), odd=True)
        elif roll < 0.82:
            mode = rng.choice(
                [
                    *api.EndpointUpdateKind,
                    api.EndpointUpdateKind.INCREMENTAL,
                    api.EndpointUpdateKind.INCREMENTAL,
                ]
            )
            pool = [*self.names, f"n{self.serial}"]
            some = rng.choices(pool, k=rng.choice([0, 1, 2, len(pool)]))
            rows = [] if mode is api.EndpointUpdateKind.FAILED else [self.listed(name) for name in some]
            self.tell(api.EndpointsUpdated(mode, rows))
        elif roll < 0.9 and self.serial:
            rid = f"r{rng.randint(max(1, self.serial - 30), self.serial)}"
            if not self.check.seen[rid].ended:
                self.left.add(rid)
            self.tell(api.ClientLeft(rid))
        elif roll < 0.92 and self.live:
            at = rng.randrange(len(self.live))
            _, rid, number, backend, sent = self.live[at]
            seen = self.check.seen[rid]
            if seen.cls.is_streamed and not seen.ended:  # the answer begins: its time has no end now
                self.streams.add(rid)
                self.live[at] = (self.now + 5_000.0, rid, number, backend, sent)
                seen.deadline = math.inf
                self.tell(api.StreamStarted(rid, number, backend, self.now - sent))
        elif roll < 0.94:
            kept = self.b.learned(self.now)
            self.tell(api.LearnedStateRestored(kept, rng.choice([0.0, -5.0, 1e4, 1e12])))

    def on_to(self, then: float) -> None:
        """What falls due on the way comes in order, or late and in any."""
        while True:
            due: list[tuple[float, int, int]] = [(when, 0, i) for i, (when, _) in enumerate(self.timers)]
            due += [(row[0], 1, i) for i, row in enumerate(self.live)]
            due += [(sent + self.rtt, 2, i) for i, (_, sent) in enumerate(self.probes)]
            due = [one for one in due if one[0] <= then]
            if not due:
                break
            if self.late:
                if self.rng.random() < 0.2:
                    break
                when, what, at = self.rng.choice(due)
                self.now = max(self.now, when, self.rng.uniform(self.now, then))
            else:
                when, what, at = min(due)
                self.now = max(self.now, when)
            if what == 0:
                self.tell(api.TimerFired(self.timers.pop(at)[1]))
            elif what == 1:
                self.resolve(at, api.AttemptStatus.TIMEOUT)
            else:
                name, sent = self.probes.pop(at)
                status = self.rng.choice(
                    [api.AttemptStatus.OK, api.AttemptStatus.OK, api.AttemptStatus.TIMEOUT]
                )
                self.tell(
                    api.ProbeFinished(
                        name, status, self.now - sent, api.LoadReport(self.rng.choice([0.0, 9.0]))
                    )
                )
        self.now = max(self.now, then)
        assert self.late or not self.check.overdue(self.now)


def play(seed: int, steps: int) -> None:
    """A day of so many steps and its end."""
    day = Day(seed)
    rng = day.rng
    day.tell(api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [day.listed(name) for name in day.names]))
    pace = rng.choice([0.0, 1.0, 50.0, 1_000.0])
    for _ in range(steps):
        day.step()
        day.on_to(day.now + rng.choice([0.0, 0.0, 0.01, pace * rng.random()]))
    day.late = False
    day.on_to(day.now + 40_000.0)
    day.on_to(day.now + 40_000.0)
    assert all(r.ended for r in day.check.seen.values()), "unanswered at the end of all"
    b = day.b
    assert not (b.requests or b.queued or b.in_flight) and not any(
        one.in_flight for one in b.backends.values()
    )
    day.tell(api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, []))
    assert not (b.backends or b.index.order or b.index.warming_up or b.index.groups or any(b.index.shelves))
    asked = [call for call, _ in b.state.timers.values()]
    assert not [call for call in asked if call.__name__ != "_ask"]


def told(cfg: api.Settings) -> str:
    """Such settings as the platform words them."""
    classes = [
        {
            "name": c.name,
            "effect": WORDS[c.idempotency],
            "group": c.deduplication_scope.value,
            "objective": c.latency_objective_ms,
            "give-up": c.deadline_ms,
            "value": c.priority_weight,
            "late-worth": c.late_priority_weight,
            "memory-span": c.deduplication_window_ms,
            "streamed": c.is_streamed,
            "aim-stretch": c.latency_objective_stretch,
        }
        for c in cfg.classes
    ]
    return json.dumps(
        {
            "request-classes": classes,
            "me": cfg.node_index,
            "group-size": cfg.node_count,
            "zone": cfg.zone,
            "granularity": cfg.tick_ms,
            "failure-domains": cfg.zones,
            "projects": [
                {"name": t.name, "quota-per-s": t.quota_per_s, "share": t.share} for t in cfg.tenants
            ],
            "charges": {"probe": cfg.prices.probe, "cross-zone": cfg.prices.cross_zone},
            "discovery": "subscribe" if cfg.must_poll else "automatic",
            "load-info": {"how": WORDS[cfg.load_report_source], "names": []},
            "limits": {
                "probing": cfg.probing_enabled,
                "cancel": cfg.may_cancel,
                "second-copies": cfg.may_hedge,
                "most-tries": cfg.max_attempts,
                "retry-after": True,
                "max-retry-after": cfg.max_retry_after_ms,
                "connect-timeout": cfg.connect_timeout_ms,
                "max-open": cfg.max_open_requests,
                "conn-idle": cfg.connection_idle_ms,
            },
            "rules": {
                "ask-within": cfg.poll_within_ms,
                "drain-grace": cfg.drain_grace_ms,
                "cold-share": cfg.slow_start_initial_fraction,
                "ramp-time": cfg.slow_start_duration_ms,
                "fall": cfg.overload_window_ms,
                "fall-multiple": cfg.overload_multiple,
                "answer-slack": cfg.response_slack_ms,
            },
            "weight-source": "live" if cfg.has_live_weights else "rough" if cfg.has_weights else "off",
            "client-habits": {"marks-retry": cfg.are_retries_marked},
            "family-info": {"passes-deadline": True},
        }
    )


@pytest.mark.parametrize("seed", range(50))
def test_all_that_a_site_may_say_is_read(seed: int) -> None:
    cfg = any_settings(random.Random(seed))
    assert parse_json(told(cfg)) == cfg


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 10**9))
def test_any_settings_and_any_order(seed: int) -> None:
    play(seed, 100)


def test_a_probe_that_takes_longer_than_a_request_has_costs_no_answer() -> None:
    """It is refused in time, and who was asked is not taken to stand still."""
    short = replace(SAFE, latency_objective_ms=60.0, deadline_ms=60.0)
    b = node(replace(LOOKING, classes=(short,)), ["x", "y", "z", "u"])
    for n in range(60):  # probes are slow here: 50 ms
        b.handle(1000.0 + n, api.ProbeFinished("x", api.AttemptStatus.OK, 50.0, api.LoadReport(3.0)))
    acts, asked = b.handle(2000.0, api.RequestArrived("r", "read", 2060.0)), 0
    while not answers(acts):
        asked += sum(isinstance(a, api.SendProbe) for a in acts)
        due = next(a for a in acts if isinstance(a, api.SetTimer))
        assert due.at_ms <= 2060.0
        acts = b.handle(due.at_ms, api.TimerFired(due.token))
    assert asked == 3 and isinstance(answers(acts)[0], api.RejectRequest)
    assert not any(one.ejected_until_ms for one in b.backends.values())
