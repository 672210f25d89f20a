"""Who decides at a node: the module itself, or a plain policy to compare it with. All have `handle`.

A plain one sends at once to a server that its list calls up, never twice what may have run, and tries again
elsewhere what was turned away or did not connect. It holds nothing, sheds nothing and knows nothing of load
but, where it looks at all, its own attempts still out.
"""

from __future__ import annotations

import random
from typing import Protocol

from balancer import interface as api
from balancer.policy.balancer import Balancer
from balancer.testbed.simulation.scenario import ScenarioError


class Policy(Protocol):
    """What a node asks."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event; as `Balancer.handle`."""


class Plain:
    """Random choice, and what the other plain ones have in common."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.most, self.rng = settings.max_attempts, random.Random(seed)
        self.up: list[str] = []
        self.at: dict[str, int] = {}  # where in `up`
        self.out: dict[str, int] = {}  # attempts still out
        self.open: dict[str, list[str]] = {}  # by request: where its attempts went

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        if isinstance(event, api.RequestArrived):
            self.open[event.request] = []
            return self._send(event.request)
        if isinstance(event, api.AttemptFinished):
            self._count(event.backend, -1)
            if event.is_request_closed:
                self.open.pop(event.request, None)
            elif event.request in self.open:
                if event.status in api.NO_EFFECT_STATUSES:
                    return self._send(event.request)
                del self.open[event.request]
                return [api.FailRequest(event.request)]
        elif isinstance(event, api.EndpointsUpdated):
            for entry in event.endpoints:
                (self._add if entry.phase is api.Phase.UP else self._remove)(entry.id)
        return []

    def _send(self, request: str) -> list[api.Action]:
        tried = self.open[request]
        if not self.up or len(tried) >= self.most:
            del self.open[request]
            return [api.RejectRequest(request)]
        name = self.choose()
        tried.append(name)
        self._count(name, 1)
        return [api.SendAttempt(request, name, 0.0)]

    def choose(self) -> str:
        """One of those that are up."""
        return self.rng.choice(self.up)

    def _count(self, name: str, step: int) -> None:
        self.out[name] = self.out.get(name, 0) + step
        if not self.out[name] and name not in self.at:
            del self.out[name]

    def _add(self, name: str) -> None:
        if name not in self.at:
            self.at[name] = len(self.up)
            self.up.append(name)

    def _remove(self, name: str) -> None:
        if (at := self.at.pop(name, None)) is not None:
            last = self.up.pop()
            if last != name:
                self.up[at], self.at[last] = last, at


class TwoChoices(Plain):
    """The one of two drawn at random that has less out from this node."""

    def choose(self) -> str:
        """One of two."""
        one, other = self.rng.choice(self.up), self.rng.choice(self.up)
        return one if self.out.get(one, 0) <= self.out.get(other, 0) else other


class LeastOwn(Plain):
    """A server with the least out from this node, ties at random."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.rows: list[list[str]] = [[]]  # those that are up, by what is out
        self.place: dict[str, tuple[int, int]] = {}

    def choose(self) -> str:
        """One of the first row that has any."""
        return self.rng.choice(next(row for row in self.rows if row))

    def _count(self, name: str, step: int) -> None:
        super()._count(name, step)
        if name in self.place:
            self._lift(name)
            self._put(name)

    def _add(self, name: str) -> None:
        if name not in self.at:
            super()._add(name)
            self._put(name)

    def _remove(self, name: str) -> None:
        super()._remove(name)
        if name in self.place:
            self._lift(name)

    def _put(self, name: str) -> None:
        count = self.out.get(name, 0)
        while len(self.rows) <= count:
            self.rows.append([])
        self.place[name] = count, len(self.rows[count])
        self.rows[count].append(name)

    def _lift(self, name: str) -> None:
        count, at = self.place.pop(name)
        last = self.rows[count].pop()
        if last != name:
            self.rows[count][at], self.place[last] = last, (count, at)


POLICIES: dict[str, type[Balancer] | type[Plain]] = {
    "module": Balancer,
    "random": Plain,
    "two choices": TwoChoices,
    "least own": LeastOwn,
}


def make(name: str, settings: api.Settings, seed: int) -> Policy:
    """A node's policy by its name; raises ScenarioError."""
    if name not in POLICIES:
        raise ScenarioError(f"policy {name!r}: one of {', '.join(POLICIES)} is allowed")
    return POLICIES[name](settings, seed)
