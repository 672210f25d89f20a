"""Settings, a node driven by hand, and a rule checker written from the protocol's obligations alone."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any

from balancer import interface as api
from balancer.policy.balancer import Balancer

SAFE = api.RequestClass("read", api.Effect.SAFE, aim=400.0, deadline=1000.0, value=1.0)
KEYED = api.RequestClass(
    "pay", api.Effect.KEYED, aim=400.0, deadline=1000.0, group=api.Group.ZONE, memory_span=600.0
)
UNSAFE = api.RequestClass("once", api.Effect.UNSAFE, aim=400.0, deadline=1000.0)
BASE = api.Settings(
    classes=(SAFE, KEYED, UNSAFE),
    zone="a",
    second_copies=True,
    cold_share=0.2,
    ramp_time=10_000.0,
    fall_window=1_000.0,
    fall_multiple=3.0,
    reports=api.Reports.ANSWERS,
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
LOOKING = replace(BASE, reports=api.Reports.PROBES, probing=True, charges=api.Charges(probe=0.001))


def entry(name: str, **over: Any) -> api.Entry:
    """A listed backend, warm and up unless told otherwise."""
    table: dict[str, Any] = {
        "backend": name,
        "zone": "a",
        "cell": 0,
        "weight": 1.0,
        "phase": api.Phase.UP,
        "started_at": 0.0,
    }
    return api.Entry(**(table | over))


def node(settings: api.Settings, names: str | list[str], seed: int = 1, **over: Any) -> Balancer:
    """A node with a full list of warm backends at the clock time 1,000."""
    out = Balancer(settings, seed)
    out.handle(1000.0, api.ListUpdate(api.ListKind.SAVED, [entry(n, **over) for n in names]))
    return out


def sends(actions: list[api.Action]) -> list[api.Send]:
    """The attempts among the actions."""
    return [a for a in actions if isinstance(a, api.Send)]


def answers(actions: list[api.Action]) -> list[api.Refuse | api.Fail]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, (api.Refuse, api.Fail))]


@dataclass
class _Seen:
    cls: api.RequestClass
    deadline: float
    ended: bool = False
    told_ended: bool = False
    answers: int = 0
    attempts: list[tuple[str, float, api.Status | None]] = field(default_factory=list)


class RuleChecker:
    """Judges a node's actions by rules 1 to 3. It knows the module's types, nothing of its insides."""

    def __init__(self, settings: api.Settings) -> None:
        self.cfg = settings
        self.classes = {c.name: c for c in settings.classes}
        self.seen: dict[str, _Seen] = {}
        self.entries: dict[str, api.Entry] = {}
        self.sent_to: dict[tuple[str, int], api.Entry] = {}  # what the list said of it then
        self.barred_since: dict[str, float] = {}

    def event(self, now: float, ev: api.Event) -> None:
        """Take note of what the node was told."""
        if isinstance(ev, api.Arrival):
            self.seen[ev.request] = _Seen(self.classes[ev.class_name], ev.deadline)
        elif isinstance(ev, api.Outcome) and ev.request in self.seen:
            r = self.seen[ev.request]
            backend, sent, _ = r.attempts[ev.attempt]
            r.attempts[ev.attempt] = (backend, sent, ev.status)
            r.ended = r.ended or ev.closed
        elif isinstance(ev, api.ClientGone) and ev.request in self.seen:
            self.seen[ev.request].ended = True
        elif isinstance(ev, api.ListUpdate) and ev.kind is not api.ListKind.FAILED:
            named = {e.backend for e in ev.entries}
            if ev.kind is not api.ListKind.CHANGES:
                for name in self.entries.keys() - named:
                    self.barred_since.setdefault(name, now)
            for e in ev.entries:
                self.entries[e.backend] = e
                if e.phase is api.Phase.UP:
                    self.barred_since.pop(e.backend, None)
                else:
                    self.barred_since.setdefault(e.backend, now)

    def actions(self, now: float, acts: list[api.Action]) -> None:
        """Raise AssertionError on the first broken rule."""
        for act in acts:
            if isinstance(act, api.Send):
                self._send(now, act)
            elif isinstance(act, (api.Refuse, api.Fail)):
                self._answer(now, act)

    def overdue(self, now: float) -> list[str]:
        """Requests that should have had their final answer by now."""
        return [
            name for name, r in self.seen.items() if not r.ended and now > r.deadline + self.cfg.answer_slack
        ]

    def _send(self, now: float, act: api.Send) -> None:
        r = self.seen[act.request]
        assert not r.ended, f"rule 1: {act.request} sent after its end"
        since = self.barred_since.get(act.backend)
        assert since is None or now - since <= self.cfg.drain_grace, f"rule 3: {act.backend} is leaving"
        assert len(r.attempts) < self.cfg.max_attempts, "more attempts than allowed"
        out = [a for a in r.attempts if a[2] is None]
        assert self.cfg.second_copies or not out, "rule 2: two attempts out"
        risky = [a for a in r.attempts if a[2] not in api.NEVER_RAN]
        if risky and r.cls.effect is api.Effect.UNSAFE:
            raise AssertionError("rule 2: an unsafe request that may have run was sent again")
        if risky and r.cls.effect is api.Effect.KEYED:
            window = min(a[1] for a in risky) + r.cls.memory_span
            assert now <= window, "rule 2: past the memory span"
            assert now <= act.begin_by <= window, "rule 2: may be written past the memory span"
            here = self.entries[act.backend]
            for number, (_, _, status) in enumerate(r.attempts):
                if status in api.NEVER_RAN:
                    continue
                there = self.sent_to[act.request, number]
                same = (
                    r.cls.group is api.Group.ALL
                    or (r.cls.group is api.Group.ZONE and there.zone == here.zone)
                    or (r.cls.group is api.Group.CELL and there.cell == here.cell)
                )
                assert same, "rule 2: outside the group that drops repeats"
        self.sent_to[act.request, len(r.attempts)] = self.entries[act.backend]
        r.attempts.append((act.backend, now, None))

    def _answer(self, now: float, act: api.Refuse | api.Fail) -> None:
        r = self.seen[act.request]
        assert not r.ended, f"rule 1: a second answer for {act.request}"
        assert now <= r.deadline + self.cfg.answer_slack, f"rule 1: answer for {act.request} is late"
        if isinstance(act, api.Refuse) and r.cls.effect is not api.Effect.SAFE:
            risky = any(a[2] not in api.NEVER_RAN for a in r.attempts)
            keyed_all = r.cls.effect is api.Effect.KEYED and r.cls.group is api.Group.ALL
            assert not risky or keyed_all, f"rule 2: {act.request} refused though it may have run"
        r.ended = True


class ColdBudget:
    """Rule 4 over all nodes: what one cold backend is sent within any fall window.

    Its capacity is taken to grow evenly from the cold share over the whole ramp, as slow as the rule allows.
    """

    def __init__(self, settings: api.Settings, full_per_s: float) -> None:
        self.cfg, self.full_per_s = settings, full_per_s
        self.sent: dict[str, list[float]] = {}

    def send(self, now: float, entry: api.Entry) -> None:
        """Note one attempt to a backend; every attempt counts, also one that is turned away."""
        if 0 < entry.started_at <= now < entry.started_at + self.cfg.ramp_time:
            self.sent.setdefault(f"{entry.backend}@{entry.started_at}", []).append(now)

    def worst(self) -> float:
        """The largest part of a budget that was used; over 1.0 a backend fell over."""
        worst = 0.0
        for name, times in self.sent.items():
            start = float(name.rsplit("@", 1)[1])
            first = 0
            for last, now in enumerate(times):
                while now - times[first] >= self.cfg.fall_window:
                    first += 1
                grown = (1 - self.cfg.cold_share) * max(0.0, now - self.cfg.fall_window - start)
                warmth = self.cfg.cold_share + grown / self.cfg.ramp_time
                room = self.cfg.fall_multiple * warmth * self.full_per_s * self.cfg.fall_window / 1000.0
                worst = max(worst, (last - first + 1) / (room + 2.0 * room**0.5))  # some slack for chance
        return worst
