"""Traces of the decisions about single requests, in order; ordinary and notable ones have separate bounds."""

from __future__ import annotations

from typing import Any

from balancer import interface as api

MAX_TRACE_LENGTH = 64  # list items kept of one request; later events and actions are left out

Trace = list[Any]
"""The arrival, then alternately a time in ms and the action or event of that time. Objects are stored as they
came and converted only when an operator asks: that costs each request a tenth of converting them at once."""


class RequestTraces:
    """Traces of the open requests and of the last ended ones, `ordinary` and `notable` apart."""

    def __init__(self, ordinary: int, notable: int) -> None:
        self.limits = {False: ordinary, True: notable}
        self.open_traces: dict[str, Trace] = {}
        self.ordinary: dict[str, Trace] = {}
        self.notable: dict[str, Trace] = {}

    def resize(self, ordinary: int, notable: int) -> None:
        """Sets how many ended traces of each kind are kept."""
        self.limits = {False: ordinary, True: notable}
        for ended, limit in ((self.ordinary, ordinary), (self.notable, notable)):
            while len(ended) > limit:
                del ended[next(iter(ended))]

    def end(self, request_id: str, notable: bool) -> None:
        """Ends a trace: the request has its final answer or needs none. `notable` ones are kept longer."""
        trace = self.open_traces.pop(request_id, None)
        if trace is None:
            return
        ended = self.notable if notable else self.ordinary
        if request_id in ended:  # a reused id moves to the end
            del ended[request_id]
        ended[request_id] = trace
        if len(ended) > self.limits[notable]:
            del ended[next(iter(ended))]

    def find(self, request_id: str) -> tuple[Trace, bool] | None:
        """Returns the latest trace of a request id, and whether the request is over."""
        tables = (self.open_traces, self.notable, self.ordinary)
        found = [
            (trace, table is not self.open_traces) for table in tables if (trace := table.get(request_id))
        ]
        return max(found, key=lambda item: item[0][1], default=None)


def trace_to_json(trace: Trace, is_over: bool) -> dict[str, Any]:
    """Converts a trace to JSON types."""
    arrival: api.RequestArrived = trace[0]
    rows: list[dict[str, Any]] = [
        {
            "at": trace[1],
            "action": "arrived",
            "why": "",
            "backend": "",
            "class": arrival.class_name,
            "within_ms": round(arrival.deadline_ms - trace[1], 3),
            "retry": arrival.is_retry,
        }
    ]
    rows += [_step_to_json(at_ms, step) for at_ms, step in zip(trace[2::2], trace[3::2], strict=True)]
    return {
        "request": arrival.request,
        "decisions": rows,
        "left_out": len(trace) >= MAX_TRACE_LENGTH,
        "over": is_over,
    }


def _step_to_json(at_ms: float, step: api.Event | api.Action) -> dict[str, Any]:
    match step:
        case api.SendAttempt():
            return {
                "at": at_ms,
                "action": "send",
                "why": step.reason.value,
                "backend": step.backend,
                "cause": step.cause.value,
                "among": step.eligible_count,
                "left_out_as_crowded": step.overloaded_count,
                "timeout_ms": step.timeout_ms,
            }
        case api.AttemptFinished():
            return {
                "at": at_ms,
                "action": "outcome",
                "why": step.status.value,
                "backend": step.backend,
                "took_ms": step.duration_ms,
                "attempt": step.attempt,
            }
        case api.RejectRequest():
            return {
                "at": at_ms,
                "action": "refuse",
                "why": step.reason.value,
                "backend": "",
                "retry_after_ms": step.retry_after_ms,
            }
        case api.FailRequest():
            return {"at": at_ms, "action": "fail", "why": step.reason.value, "backend": ""}
        case _:
            return {"at": at_ms, "action": "client_gone_or_time_up", "why": "", "backend": ""}
