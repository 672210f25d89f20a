"""What the whole stand-in world agrees on: the classes of request and the figures of the four rules.

`Site.settings` is the same for a node, in the form in which the platform tells it.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Any

from balancer.interface import DeduplicationScope, Idempotency

_EFFECTS = {
    Idempotency.IDEMPOTENT: "retryable",
    Idempotency.KEYED: "dedup",
    Idempotency.NON_IDEMPOTENT: "fragile",
}


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of request: what it is worth to its clients, how often it may run and what work it is.

    Work is log-normal with the coefficient of variation `spread`; `group` and `memory_ms` say which servers
    drop a repeat of a keyed request, and for how long.
    """

    name: str
    effect: Idempotency
    aim_ms: float
    give_up_ms: float
    worth: float = 1.0
    share: float = 1.0
    work_ms: float = 20.0
    spread: float = 1.0
    group: DeduplicationScope = DeduplicationScope.ZONE
    memory_ms: float = 2_500.0

    def work(self, rng: random.Random) -> float:
        """The work of one request in milliseconds on a core of speed 1."""
        if self.spread <= 0:
            return self.work_ms
        sigma = math.sqrt(math.log(1 + self.spread**2))
        return self.work_ms * rng.lognormvariate(-(sigma**2) / 2, sigma)

    @property
    def method(self) -> str:
        """The method goes with the class."""
        return "GET" if self.effect is Idempotency.IDEMPOTENT else "POST"


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the four rules; on sockets each time limit is `slack_ms` longer."""

    slack_ms: float = 50.0
    grace_ms: float = 2_000.0
    max_attempts: int = 4
    fall_multiple: float = 3.0
    fall_ms: float = 1_000.0
    cold_share: float = 0.3
    warm_ms: float = 8_800.0
    kill_ms: float = 700.0  # a SIGKILL later than this after a SIGTERM excuses nothing


CLASSES = (
    RequestClass("lookup", Idempotency.IDEMPOTENT, 250, 500, worth=12, share=0.2, work_ms=8),
    RequestClass("search", Idempotency.IDEMPOTENT, 1_200, 3_000, share=0.45, work_ms=30),
    RequestClass("order", Idempotency.KEYED, 1_200, 3_000, share=0.25, work_ms=40),
    RequestClass("charge", Idempotency.NON_IDEMPOTENT, 1_200, 3_000, share=0.1, work_ms=40),
)


@dataclass(slots=True, frozen=True)
class Site:
    """A deployment. `max_retry_after_ms` is the longest advice that clients honour, `idle_ms` the time after
    which servers close an idle connection, `connect_ms` the time that nodes give a connection to come up.
    """

    classes: tuple[RequestClass, ...] = CLASSES
    zones: tuple[str, ...] = ("a", "b")
    rules: Rules = field(default_factory=Rules)
    max_retry_after_ms: float = 2_000.0
    idle_ms: float = 10_000.0
    connect_ms: float = 250.0

    def find(self, name: str) -> RequestClass | None:
        """A class by its name."""
        return next((c for c in self.classes if c.name == name), None)

    def settings(self, me: int = 0, nodes: int = 1) -> dict[str, Any]:
        """The settings object of the node number `me` out of `nodes`, whose zone goes by its number."""
        rules = self.rules
        return {
            "request-classes": [
                {
                    "name": c.name,
                    "effect": _EFFECTS[c.effect],
                    "objective": c.aim_ms,
                    "give-up": c.give_up_ms,
                    "value": c.worth,
                    "group": c.group.value,
                    "memory-span": c.memory_ms,
                }
                for c in self.classes
            ],
            "limits": {
                "cancel": True,
                "second-copies": False,
                "most-tries": rules.max_attempts,
                "conn-idle": self.idle_ms,
                "connect-timeout": self.connect_ms,
                "streams-per-conn": 1,
                "retry-after": True,
                "max-retry-after": self.max_retry_after_ms,
            },
            "rules": {
                "drain-grace": rules.grace_ms,
                "answer-slack": rules.slack_ms,
                "cold-share": rules.cold_share,
                "ramp-time": rules.warm_ms,
                "fall": rules.fall_ms,
                "fall-multiple": rules.fall_multiple,
            },
            "load-info": {"how": "inline", "names": ["waiting", "active"]},
            "discovery": "automatic",
            "weight-source": "nominal",
            "client-habits": {"marks-retry": True},
            "failure-domains": list(self.zones),
            "zone": self.zones[me % len(self.zones)],
            "me": me,
            "group-size": nodes,
        }
