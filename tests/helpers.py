"""Settings, a node driven by hand, and a rule checker written from the protocol's obligations alone."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any

from balancer import interface as api
from balancer.policy.balancer import Balancer

SAFE = api.RequestClass(
    "read", api.Idempotency.IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0, priority_weight=1.0
)
KEYED = api.RequestClass(
    "pay",
    api.Idempotency.KEYED,
    latency_objective_ms=400.0,
    deadline_ms=1000.0,
    deduplication_scope=api.DeduplicationScope.ZONE,
    deduplication_window_ms=600.0,
)
UNSAFE = api.RequestClass(
    "once", api.Idempotency.NON_IDEMPOTENT, latency_objective_ms=400.0, deadline_ms=1000.0
)
BASE = api.Settings(
    classes=(SAFE, KEYED, UNSAFE),
    zone="a",
    may_hedge=True,
    slow_start_initial_fraction=0.2,
    slow_start_duration_ms=10_000.0,
    overload_window_ms=1_000.0,
    overload_multiple=3.0,
    load_report_source=api.LoadReportSource.RESPONSES,
)
INFO: dict[str, Any] = {
    "request-classes": [
        {"name": "read", "effect": "retryable", "give-up": 1000.0, "objective": 400.0, "value": 2}
    ],
    "limits": {"cancel": True, "most-tries": 3, "second-copies": True, "probing": False},
    "rules": {"answer-slack": 5.0, "cold-share": 0.2, "ramp-time": 9000.0, "fall": 1000.0},
    "load-info": {"how": "inline", "names": ["waiting", "active"]},
    "unknown-key": {"x": 1},
}
BOOT = json.dumps(INFO)
LOOKING = replace(
    BASE, load_report_source=api.LoadReportSource.PROBES, probing_enabled=True, prices=api.Prices(probe=0.001)
)


def entry(name: str, **over: Any) -> api.Endpoint:
    """A listed backend, warm and up unless told otherwise."""
    table: dict[str, Any] = {
        "id": name,
        "zone": "a",
        "cell": 0,
        "weight": 1.0,
        "phase": api.Phase.UP,
        "started_at_ms": 0.0,
    }
    return api.Endpoint(**(table | over))


def node(settings: api.Settings, names: str | list[str], seed: int = 1, **over: Any) -> Balancer:
    """A node with a full list of warm backends at the clock time 1,000."""
    out = Balancer(settings, seed)
    out.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry(n, **over) for n in names]))
    return out


def sends(actions: list[api.Action]) -> list[api.SendAttempt]:
    """The attempts among the actions."""
    return [a for a in actions if isinstance(a, api.SendAttempt)]


def answers(actions: list[api.Action]) -> list[api.RejectRequest | api.FailRequest]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, (api.RejectRequest, api.FailRequest))]


@dataclass
class _Seen:
    cls: api.RequestClass
    deadline: float
    ended: bool = False
    told_ended: bool = False
    answers: int = 0
    attempts: list[tuple[str, float, api.AttemptStatus | None]] = field(default_factory=list)


class RuleChecker:
    """Judges a node's actions by rules 1 to 3. It knows the module's types, nothing of its insides."""

    def __init__(self, settings: api.Settings) -> None:
        self.cfg = settings
        self.classes = {c.name: c for c in settings.classes}
        self.seen: dict[str, _Seen] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.sent_to: dict[tuple[str, int], api.Endpoint] = {}  # what the list said of it then
        self.barred_since: dict[str, float] = {}

    def event(self, now: float, ev: api.Event) -> None:
        """Take note of what the node was told."""
        if isinstance(ev, api.RequestArrived):
            self.seen[ev.request] = _Seen(self.classes[ev.class_name], ev.deadline_ms)
        elif isinstance(ev, api.AttemptFinished) and ev.request in self.seen:
            r = self.seen[ev.request]
            backend, sent, _ = r.attempts[ev.attempt]
            r.attempts[ev.attempt] = (backend, sent, ev.status)
            r.ended = r.ended or ev.is_request_closed
        elif isinstance(ev, api.ClientLeft) and ev.request in self.seen:
            self.seen[ev.request].ended = True
        elif isinstance(ev, api.EndpointsUpdated) and ev.kind is not api.EndpointUpdateKind.FAILED:
            named = {e.id for e in ev.endpoints}
            if ev.kind is not api.EndpointUpdateKind.INCREMENTAL:
                for name in self.entries.keys() - named:
                    self.barred_since.setdefault(name, now)
            for e in ev.endpoints:
                self.entries[e.id] = e
                if e.phase is api.Phase.UP:
                    self.barred_since.pop(e.id, None)
                else:
                    self.barred_since.setdefault(e.id, now)

    def actions(self, now: float, acts: list[api.Action]) -> None:
        """Raise AssertionError on the first broken rule."""
        for act in acts:
            if isinstance(act, api.SendAttempt):
                self._send(now, act)
            elif isinstance(act, (api.RejectRequest, api.FailRequest)):
                self._answer(now, act)

    def overdue(self, now: float) -> list[str]:
        """Requests that should have had their final answer by now."""
        return [
            name
            for name, r in self.seen.items()
            if not r.ended and now > r.deadline + self.cfg.response_slack_ms
        ]

    def _send(self, now: float, act: api.SendAttempt) -> None:
        r = self.seen[act.request]
        assert not r.ended, f"rule 1: {act.request} sent after its end"
        since = self.barred_since.get(act.backend)
        assert since is None or now - since <= self.cfg.drain_grace_ms, f"rule 3: {act.backend} is leaving"
        assert len(r.attempts) < self.cfg.max_attempts, "more attempts than allowed"
        out = [a for a in r.attempts if a[2] is None]
        assert self.cfg.may_hedge or not out, "rule 2: two attempts out"
        risky = [a for a in r.attempts if a[2] not in api.NO_EFFECT_STATUSES]
        if risky and r.cls.idempotency is api.Idempotency.NON_IDEMPOTENT:
            raise AssertionError("rule 2: an unsafe request that may have run was sent again")
        if risky and r.cls.idempotency is api.Idempotency.KEYED:
            window = min(a[1] for a in risky) + r.cls.deduplication_window_ms
            assert now <= window, "rule 2: past the memory span"
            assert now <= act.start_before_ms <= window, "rule 2: may be written past the memory span"
            here = self.entries[act.backend]
            for number, (_, _, status) in enumerate(r.attempts):
                if status in api.NO_EFFECT_STATUSES:
                    continue
                there = self.sent_to[act.request, number]
                same = (
                    r.cls.deduplication_scope is api.DeduplicationScope.ALL
                    or (r.cls.deduplication_scope is api.DeduplicationScope.ZONE and there.zone == here.zone)
                    or (r.cls.deduplication_scope is api.DeduplicationScope.CELL and there.cell == here.cell)
                )
                assert same, "rule 2: outside the group that drops repeats"
        self.sent_to[act.request, len(r.attempts)] = self.entries[act.backend]
        r.attempts.append((act.backend, now, None))

    def _answer(self, now: float, act: api.RejectRequest | api.FailRequest) -> None:
        r = self.seen[act.request]
        assert not r.ended, f"rule 1: a second answer for {act.request}"
        assert now <= r.deadline + self.cfg.response_slack_ms, f"rule 1: answer for {act.request} is late"
        if isinstance(act, api.RejectRequest) and r.cls.idempotency is not api.Idempotency.IDEMPOTENT:
            risky = any(a[2] not in api.NO_EFFECT_STATUSES for a in r.attempts)
            keyed_all = (
                r.cls.idempotency is api.Idempotency.KEYED
                and r.cls.deduplication_scope is api.DeduplicationScope.ALL
            )
            assert not risky or keyed_all, f"rule 2: {act.request} refused though it may have run"
        r.ended = True


class ColdBudget:
    """Rule 4 over all nodes: what one cold backend is sent within any fall window.

    Its capacity is taken to grow evenly from the cold share over the whole ramp, as slow as the rule allows.
    """

    def __init__(self, settings: api.Settings, full_per_s: float) -> None:
        self.cfg, self.full_per_s = settings, full_per_s
        self.sent: dict[str, list[float]] = {}

    def send(self, now: float, entry: api.Endpoint) -> None:
        """Note one attempt to a backend; every attempt counts, also one that is turned away."""
        if 0 < entry.started_at_ms <= now < entry.started_at_ms + self.cfg.slow_start_duration_ms:
            self.sent.setdefault(f"{entry.id}@{entry.started_at_ms}", []).append(now)

    def worst(self) -> float:
        """The largest part of a budget that was used; over 1.0 a backend fell over."""
        worst = 0.0
        for name, times in self.sent.items():
            start = float(name.rsplit("@", 1)[1])
            first = 0
            for last, now in enumerate(times):
                while now - times[first] >= self.cfg.overload_window_ms:
                    first += 1
                grown = (1 - self.cfg.slow_start_initial_fraction) * max(
                    0.0, now - self.cfg.overload_window_ms - start
                )
                warmth = self.cfg.slow_start_initial_fraction + grown / self.cfg.slow_start_duration_ms
                room = (
                    self.cfg.overload_multiple
                    * warmth
                    * self.full_per_s
                    * self.cfg.overload_window_ms
                    / 1000.0
                )
                worst = max(worst, (last - first + 1) / (room + 2.0 * room**0.5))  # some slack for chance
        return worst
