"""What was decided about single requests, in order. Bounded by count: ordinary ones make room first."""

from __future__ import annotations

from typing import Any

from balancer import interface as api

MOST = 64  # events and actions of one request that are kept; what comes after is left out

Trail = list[Any]
"""The arrival, then by turns a moment in ms and what was seen then: an action, an event. As it came, and only
put into words for who asks: that costs each request a tenth of doing so at once."""


class Trails:
    """The open requests and the last ended ones: `usual` of those without a mark, `notable` of the others."""

    def __init__(self, usual: int, notable: int) -> None:
        self.most = {False: usual, True: notable}
        self.live: dict[str, Trail] = {}
        self.usual: dict[str, Trail] = {}
        self.notable: dict[str, Trail] = {}

    def resize(self, usual: int, notable: int) -> None:
        """Keep so many from now on."""
        self.most = {False: usual, True: notable}
        for ended, most in ((self.usual, usual), (self.notable, notable)):
            while len(ended) > most:
                del ended[next(iter(ended))]

    def end(self, request: str, notable: bool) -> None:
        """It has its final answer, or is owed none; `notable` ones are kept apart, and longer."""
        trail = self.live.pop(request, None)
        if trail is None:
            return
        ended = self.notable if notable else self.usual
        if request in ended:  # an id that comes again goes to the end
            del ended[request]
        ended[request] = trail
        if len(ended) > self.most[notable]:
            del ended[next(iter(ended))]

    def find(self, request: str) -> tuple[Trail, bool] | None:
        """The latest of that id, and whether it is over."""
        tables = (self.live, self.notable, self.usual)
        found = [(trail, table is not self.live) for table in tables if (trail := table.get(request))]
        return max(found, key=lambda item: item[0][1], default=None)


def told(trail: Trail, over: bool) -> dict[str, Any]:
    """A trail for operators, in JSON's own types."""
    event: api.RequestArrived = trail[0]
    rows: list[dict[str, Any]] = [
        {
            "at": trail[1],
            "action": "arrived",
            "why": "",
            "backend": "",
            "class": event.class_name,
            "within_ms": round(event.deadline_ms - trail[1], 3),
            "retry": event.is_retry,
        }
    ]
    rows += [_row(at, what) for at, what in zip(trail[2::2], trail[3::2], strict=True)]
    return {"request": event.request, "decisions": rows, "left_out": len(trail) >= MOST, "over": over}


def _row(at: float, what: api.Event | api.Action) -> dict[str, Any]:
    match what:
        case api.SendAttempt():
            return {
                "at": at,
                "action": "send",
                "why": what.reason.value,
                "backend": what.backend,
                "cause": what.cause.value,
                "among": what.eligible_count,
                "left_out_as_crowded": what.overloaded_count,
                "timeout_ms": what.timeout_ms,
            }
        case api.AttemptFinished():
            return {
                "at": at,
                "action": "outcome",
                "why": what.status.value,
                "backend": what.backend,
                "took_ms": what.duration_ms,
                "attempt": what.attempt,
            }
        case api.RejectRequest():
            return {
                "at": at,
                "action": "refuse",
                "why": what.reason.value,
                "backend": "",
                "retry_after_ms": what.retry_after_ms,
            }
        case api.FailRequest():
            return {"at": at, "action": "fail", "why": what.reason.value, "backend": ""}
        case _:
            return {"at": at, "action": "client_gone_or_time_up", "why": "", "backend": ""}
