"""What was decided about single requests, in order. Bounded by count: ordinary ones make room first."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from dillport import interface as api

MOST_STEPS = 32  # of one request that are kept; what comes after is counted


@dataclass(slots=True)
class Trail:
    """One request: when it came, what was asked of it, and each step since."""

    request: str
    class_name: str
    at_ms: float
    deadline_ms: float
    retry: bool
    steps: list[tuple[Any, ...]] = field(default_factory=list)
    left_out: int = 0
    notable: bool = False  # refused, failed, late, repeated, or left by its client
    over: bool = False

    def add(self, *step: Any) -> None:
        """A step: its time, what it was, and what goes with it."""
        if len(self.steps) < MOST_STEPS:
            self.steps.append(step)
        else:
            self.left_out += 1

    def told(self) -> dict[str, Any]:
        """For operators, in JSON's own types."""
        rows: list[dict[str, Any]] = [
            {"at": self.at_ms, "action": "arrived", "why": "", "backend": "", "class": self.class_name,
             "within_ms": round(self.deadline_ms - self.at_ms, 3), "retry": self.retry}
        ]  # fmt: skip
        for at, action, why, backend, *rest in self.steps:
            row = {"at": at, "action": action, "why": why, "backend": backend}
            if action == "send":
                cause, among, crowded, timeout = rest
                row |= {"cause": cause, "among": among, "left_out_as_crowded": crowded, "timeout_ms": timeout}
            elif action == "outcome":
                row |= {"took_ms": rest[0], "attempt": rest[1]}
            elif action == "refuse":
                row |= {"retry_after_ms": rest[0]}
            rows.append(row)
        return {"request": self.request, "decisions": rows, "left_out": self.left_out, "over": self.over}


class Trails:
    """The open requests and the last ended ones: `usual` of those without a mark, `notable` of the others."""

    def __init__(self, usual: int, notable: int) -> None:
        self.most = {False: usual, True: notable}
        self.live: dict[str, Trail] = {}
        self.ended: dict[bool, dict[str, Trail]] = {False: {}, True: {}}

    def resize(self, usual: int, notable: int) -> None:
        """Keep so many from now on."""
        self.most = {False: usual, True: notable}
        for mark in (False, True):
            self._cut(mark)

    def begin(self, event: api.Arrival, now_ms: float) -> Trail:
        """A request has come."""
        trail = self.live[event.request] = Trail(
            event.request, event.class_name, now_ms, event.deadline, event.is_retry
        )
        return trail

    def end(self, trail: Trail) -> None:
        """It has its final answer, or is owed none."""
        trail.over = True
        if self.live.get(trail.request) is trail:
            del self.live[trail.request]
        ended = self.ended[trail.notable]
        ended.pop(trail.request, None)  # an id that comes again goes to the end
        ended[trail.request] = trail
        if len(ended) > self.most[trail.notable]:
            self._cut(trail.notable)

    def _cut(self, mark: bool) -> None:
        ended = self.ended[mark]
        while len(ended) > self.most[mark]:
            del ended[next(iter(ended))]

    def find(self, request: str) -> Trail | None:
        """The latest of that id: open ones first."""
        found = [self.live.get(request), self.ended[True].get(request), self.ended[False].get(request)]
        return max((t for t in found if t is not None), key=lambda t: t.at_ms, default=None)
