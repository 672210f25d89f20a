"""Parses lines of the simulator's protocol to the types of the interface, and formats actions as lines.

Times are in milliseconds. An invalid line raises `WireError`.
"""

from __future__ import annotations

import math

from balancer import interface as api

_PHASE_BY_WORD = {"up": api.Phase.UP, "draining": api.Phase.DRAINING, "removed": api.Phase.REMOVED}
_UPDATE_KIND_BY_WORD = {
    "diff": api.EndpointUpdateKind.INCREMENTAL,
    "snapshot": api.EndpointUpdateKind.SNAPSHOT,
    "disk": api.EndpointUpdateKind.CACHED,
    "error": api.EndpointUpdateKind.FAILED,
}
_STATUS_BY_WORD = {
    "pass": api.AttemptStatus.OK,
    "fault": api.AttemptStatus.ERROR,
    "no_room": api.AttemptStatus.REJECTED,
    "too_slow": api.AttemptStatus.TIMEOUT,
    "no_route": api.AttemptStatus.CONNECT_FAILED,
    "cut": api.AttemptStatus.RESET,
    "undone": api.AttemptStatus.CANCELLED,
    "stale_send": api.AttemptStatus.NOT_STARTED,
}


class WireError(ValueError):
    """A line is invalid."""


_REPORT_FIELD_BY_NAME = {
    "active": "in_flight",
    "waiting": "queued",
    "cpu": "cpu_load",
    "avg_ms": "mean_time_ms",
    "rps": "requests_per_s",
    "err_rps": "errors_per_s",
}


def parse_number(text: str) -> float:
    """Parse a finite number; raises ValueError."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def parse_load_report(text: str, names: tuple[str, ...]) -> api.LoadReport | None:
    """Parse a load report, whose values have these names; values with unknown names are ignored."""
    if text == "-":
        return None
    load_report = api.LoadReport()
    for name, value in zip(names, text.split(","), strict=True):
        if value != "-" and name in _REPORT_FIELD_BY_NAME:
            setattr(load_report, _REPORT_FIELD_BY_NAME[name], parse_number(value))
    return load_report


def parse_entry(line: str) -> api.Endpoint:
    """Parse an ENTRY line of a list."""
    try:
        message_type, cell, kind, backend, weight_text, phase, started_at_ms, zone = line.split(" ")
        weight = 1.0 if weight_text == "-" else parse_number(weight_text)
        if message_type != "ENTRY" or not backend or weight < 0:
            raise ValueError(line)
        return api.Endpoint(
            backend,
            zone,
            -1 if cell == "-" else int(cell),
            weight,
            _PHASE_BY_WORD[phase],
            0.0 if started_at_ms == "-" else parse_number(started_at_ms),
            kind,
        )
    except (ValueError, KeyError):
        raise WireError(f"malformed list entry: {line[:120]!r}") from None


def parse_list_update(line: str) -> tuple[api.EndpointsUpdated, int]:
    """Parse a DIRECTORY_UPDATE line; also returns the number of ENTRY lines that follow it."""
    parts = line.split(" ")
    try:
        _, kind_word, revision, count_text = parts
        revision_number = 0 if revision == "-" else int(revision)
        entry_count = 0 if count_text == "-" else int(count_text)
        if entry_count < 0:
            raise ValueError(count_text)
        return api.EndpointsUpdated(_UPDATE_KIND_BY_WORD[kind_word], [], revision_number), entry_count
    except (ValueError, KeyError):
        raise WireError(f"malformed list update: {line[:120]!r}") from None


def parse_event(line: str, names: tuple[str, ...]) -> api.Event:
    """Parse any other event line; `names` are the fields of load reports."""
    parts = line.split(" ")
    message_type = parts[0]
    try:
        if message_type == "SAMPLED":
            _, status, duration_ms, backend, report_text = parts
            return api.ProbeFinished(
                backend,
                _STATUS_BY_WORD[status],
                parse_number(duration_ms),
                parse_load_report(report_text, names),
            )
        if message_type == "RESOLVED":
            _, request, attempt, backend, status, duration_ms, is_request_closed, report_text = parts
            return api.AttemptFinished(
                request,
                int(attempt),
                backend,
                _STATUS_BY_WORD[status],
                parse_number(duration_ms),
                is_request_closed == "1",
                parse_load_report(report_text, names),
            )
        if message_type == "WAKE":
            return api.TimerFired(int(parts[1]))
        if message_type == "ORDER":
            _, request, is_retry, idempotency_key, deadline_ms, tenant, work_hint, class_name, is_write = (
                parts
            )
            return api.RequestArrived(
                request,
                class_name,
                parse_number(deadline_ms),
                is_retry == "1",
                None if idempotency_key == "-" else idempotency_key,
                None if tenant in ("-", "0") else tenant,
                None if work_hint == "-" else parse_number(work_hint),
                is_write == "1",
            )
        if message_type == "CANCELLED_BY_CLIENT":
            return api.ClientLeft(parts[1])
        if message_type == "ACCEPTED":
            _, request, attempt, backend, duration_ms = parts
            return api.StreamStarted(request, int(attempt), backend, parse_number(duration_ms))
        if message_type == "HEARD":
            return api.PeerMessageReceived(int(parts[1]), b"" if parts[2] == "-" else bytes.fromhex(parts[2]))
    except (ValueError, KeyError, IndexError):
        raise WireError(f"malformed line: {line[:120]!r}") from None
    raise WireError(f"unknown message: {line[:120]!r}")


def action(act: api.Action) -> str:
    """Format an action as a line."""
    action_type = type(act)
    if action_type is api.SendProbe:
        return f"INSPECT {act.backend}"  # type: ignore[union-attr]
    if isinstance(act, api.SendAttempt):
        return f"PLACE {act.request} {round(act.timeout_ms, 3)} {act.backend}"
    if isinstance(act, api.SetTimer):
        return f"NOTIFY_ME {round(act.at_ms, 3)} {act.token}"
    if isinstance(act, api.RejectRequest):
        return f"PUSH_BACK {act.request} {round(act.retry_after_ms, 3)}"
    if isinstance(act, api.FailRequest):
        return f"SURRENDER {act.request}"
    if isinstance(act, api.CancelAttempt):
        return f"ABANDON {act.request} {act.attempt}"
    if isinstance(act, api.WriteLog):
        return "LOG " + " ".join(act.text.split())
    if isinstance(act, api.CloseIdleConnections):
        return f"SHUT_IDLE {act.backend}"
    if isinstance(act, api.SendPeerMessage):
        return f"WRITE_PEER {'all' if act.node_index is None else act.node_index} {act.content.hex() or '-'}"
    if isinstance(act, api.SubscribeToEndpoints):
        return f"TAIL {int(act.is_enabled)}"
    return "LIST_ALL"
