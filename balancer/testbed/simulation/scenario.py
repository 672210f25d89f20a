"""What a run of the fleet is given: sizes, load, network, lateness and the troubles with their times.

`rough` draws a scenario with drains, crashes, cut zones, a silent discovery and a load past capacity.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field, replace

from balancer.interface import Idempotency
from balancer.testbed.service_profile import RequestClass, Rules, Site

KINDS = ("drain", "crash", "cut", "silence", "burst", "fail")

SITE = Site(
    classes=(
        RequestClass("read", Idempotency.IDEMPOTENT, 1_000, 3_000, share=0.6, work_ms=100),
        RequestClass("order", Idempotency.KEYED, 1_200, 3_000, share=0.25, work_ms=100),
        RequestClass("charge", Idempotency.NON_IDEMPOTENT, 1_200, 3_000, share=0.15, work_ms=100),
    ),
    rules=Rules(),
)
"""Three classes of equal work: one that may be repeated, one that its zone keeps apart, one that may not."""


class ScenarioError(ValueError):
    """A scenario that cannot be played; the text names the field and what is allowed."""


@dataclass(slots=True, frozen=True)
class Trouble:
    """One trouble: `which` numbers the server or the zone, `size` is what a burst multiplies the rate by, or
    the part of its requests that a server that fails answers at once with an error.
    """

    kind: str
    at_ms: float
    length_ms: float
    which: int = 0
    size: float = 1.0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ScenarioError(f"trouble kind {self.kind!r}: one of {', '.join(KINDS)} is allowed")


@dataclass(slots=True, frozen=True)
class Choke:
    """A server that held over `held` requests a core, in the mean of `over_ms`, works `slower` times as slow,
    until its cores were busy for less than `below` of their time, in the mean of `rest_ms`.
    """

    held: float = 4.0
    over_ms: float = 2_000.0
    slower: float = 2.5
    rest_ms: float = 3_000.0
    below: float = 0.3


@dataclass(slots=True, frozen=True)
class Scenario:
    """A run. Times are in milliseconds but for `seconds`; all else follows from `seed`.

    `load` is the mean work asked for over what all servers can do. A server takes `cores` requests at once
    and keeps up to `room` more a core waiting. What it reports is refreshed each `report_ms` and is off by
    one, with a chance of `noise`, either way. Each node hears of a change of the list `list_ms` late, between
    these two. With `live_ms` it also tells each server's weight, divided by one more than the requests that a
    core holds, as often as that. What happens in the first `warm_up` part of the time counts for the rules
    alone.
    """

    servers: int = 10
    nodes: int = 1
    seconds: float = 30.0
    load: float = 0.7
    policy: str = "module"
    seed: int = 0
    site: Site = SITE
    cores: int = 1
    speed_spread: float = 0.1
    room: int = 16
    same_ms: float = 0.25
    cross_ms: float = 0.8
    cross_price: float = 0.0
    report_ms: float = 250.0
    noise: float = 0.0
    list_ms: tuple[float, float] = (200.0, 2_000.0)
    live_ms: float = 0.0
    choke: Choke | None = None
    retries: bool = True
    warm_up: float = 0.2
    troubles: tuple[Trouble, ...] = field(default=())

    def __post_init__(self) -> None:
        for name in ("servers", "nodes", "cores"):
            if getattr(self, name) < 1:
                raise ScenarioError(f"{name}: {getattr(self, name)} is less than 1")
        for name in ("seconds", "load", "report_ms"):
            if not 0 < getattr(self, name) < math.inf:
                raise ScenarioError(f"{name}: {getattr(self, name)} has to be over 0, and finite")
        if not 0 <= self.warm_up < 1:
            raise ScenarioError(f"warm_up: {self.warm_up} has to be from 0 up to, but not, 1")

    @property
    def work_ms(self) -> float:
        """The mean work of a request."""
        classes = self.site.classes
        return sum(c.share * c.work_ms for c in classes) / sum(c.share for c in classes)

    @property
    def rate(self) -> float:
        """Requests a millisecond without a burst."""
        return self.load * self.servers * self.cores / self.work_ms

    def bounded(self, requests: int) -> Scenario:
        """The same for as long as this many requests take to come, if that is shorter."""
        return replace(self, seconds=min(self.seconds, requests / self.rate / 1_000))


def rough(
    seed: int, servers: int = 10, nodes: int = 1, seconds: float = 30.0, policy: str = "module"
) -> Scenario:
    """A scenario with every kind of trouble, drawn from the seed; a tenth of the servers drains or dies."""
    rng, whole = random.Random(f"{seed}/rough"), seconds * 1_000
    troubles = []
    for _ in range(max(2, servers // 10)):
        kind = rng.choice(("drain", "crash"))
        at, length = rng.uniform(0.1, 0.6) * whole, rng.uniform(0.05, 0.15) * whole
        troubles.append(Trouble(kind, at, length, rng.randrange(servers)))
    troubles.append(Trouble("cut", rng.uniform(0.2, 0.7) * whole, 0.1 * whole, rng.randrange(2)))
    troubles.append(Trouble("silence", rng.uniform(0.1, 0.4) * whole, 0.2 * whole))
    size = rng.uniform(1.4, 2.2)
    troubles.append(Trouble("burst", rng.uniform(0.6, 0.8) * whole, 0.1 * whole, size=size))
    return Scenario(
        servers,
        nodes,
        seconds,
        rng.uniform(0.5, 0.75),
        policy,
        seed,
        noise=0.05,
        room=rng.choice((4, 16)),
        cross_price=rng.choice((0.0, 0.02)),
        speed_spread=rng.uniform(0.05, 0.25),
        troubles=tuple(sorted(troubles, key=lambda t: (t.at_ms, t.kind, t.which))),
    )
