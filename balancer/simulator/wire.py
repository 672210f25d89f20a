"""Wire text to and from the interface types. Nothing is decided here."""

from __future__ import annotations

import math

from balancer import interface as api

_PHASES = {"up": api.Phase.UP, "draining": api.Phase.DRAINING, "removed": api.Phase.REMOVED}
_LISTS = {
    "diff": api.EndpointUpdateKind.INCREMENTAL,
    "snapshot": api.EndpointUpdateKind.SNAPSHOT,
    "disk": api.EndpointUpdateKind.CACHED,
    "error": api.EndpointUpdateKind.FAILED,
}
_STATUSES = {
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
    """A line that the wire does not allow."""


_VALUES = {
    "active": "in_flight",
    "waiting": "queued",
    "cpu": "cpu_load",
    "avg_ms": "mean_time_ms",
    "rps": "requests_per_s",
    "err_rps": "errors_per_s",
}


def time(text: str) -> float:
    """A finite number, or ValueError."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def report(text: str, names: tuple[str, ...]) -> api.LoadReport | None:
    """A load report; values of a name that is not on the wire page are skipped."""
    if text == "-":
        return None
    out = api.LoadReport()
    for name, value in zip(names, text.split(","), strict=True):
        if value != "-" and name in _VALUES:
            setattr(out, _VALUES[name], time(value))
    return out


def entry(line: str) -> api.Endpoint:
    """One ENTRY line of a list."""
    try:
        word, stripe, kind, backend, scale, phase, started, zone = line.split(" ")
        weight = 1.0 if scale == "-" else time(scale)
        if word != "ENTRY" or not backend or weight < 0:
            raise ValueError(line)
        return api.Endpoint(
            backend,
            zone,
            -1 if stripe == "-" else int(stripe),
            weight,
            _PHASES[phase],
            0.0 if started == "-" else time(started),
            kind,
        )
    except (ValueError, KeyError):
        raise WireError(f"malformed list entry: {line[:120]!r}") from None


def list_update(line: str) -> tuple[api.EndpointsUpdated, int]:
    """A DIRECTORY_UPDATE line and the number of ENTRY lines that follow it."""
    parts = line.split(" ")
    try:
        _, mode, revision, count = parts
        number = 0 if revision == "-" else int(revision)
        rows = 0 if count == "-" else int(count)
        if rows < 0:
            raise ValueError(count)
        return api.EndpointsUpdated(_LISTS[mode], [], number), rows
    except (ValueError, KeyError):
        raise WireError(f"malformed list update: {line[:120]!r}") from None


def event(line: str, names: tuple[str, ...]) -> api.Event:
    """Any other event line; `names` are the load report's fields."""
    parts = line.split(" ")
    word = parts[0]
    try:
        if word == "SAMPLED":
            _, reason, duration, backend, gauge = parts
            return api.ProbeFinished(backend, _STATUSES[reason], time(duration), report(gauge, names))
        if word == "RESOLVED":
            _, ref, go, backend, reason, duration, closed, gauge = parts
            return api.AttemptFinished(
                ref, int(go), backend, _STATUSES[reason], time(duration), closed == "1", report(gauge, names)
            )
        if word == "WAKE":
            return api.TimerFired(int(parts[1]))
        if word == "ORDER":
            _, ref, again, key, deadline, tenant, hint, kind, mutates = parts
            return api.RequestArrived(
                ref,
                kind,
                time(deadline),
                again == "1",
                None if key == "-" else key,
                None if tenant in ("-", "0") else tenant,
                None if hint == "-" else time(hint),
                mutates == "1",
            )
        if word == "CANCELLED_BY_CLIENT":
            return api.ClientLeft(parts[1])
        if word == "ACCEPTED":
            _, ref, go, backend, duration = parts
            return api.StreamStarted(ref, int(go), backend, time(duration))
        if word == "HEARD":
            return api.PeerMessageReceived(int(parts[1]), b"" if parts[2] == "-" else bytes.fromhex(parts[2]))
    except (ValueError, KeyError, IndexError):
        raise WireError(f"malformed line: {line[:120]!r}") from None
    raise WireError(f"unknown message: {line[:120]!r}")


def action(act: api.Action) -> str:
    """The wire line of an action."""
    kind = type(act)
    if kind is api.SendProbe:
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
