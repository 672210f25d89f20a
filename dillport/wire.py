"""Wire text to and from the interface types. Nothing is decided here."""

from __future__ import annotations

import json
import math
from typing import Any

from dillport import interface as api

_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
_PHASES = {"up": api.Phase.UP, "draining": api.Phase.DRAINING, "removed": api.Phase.GONE}
_LISTS = {
    "diff": api.ListKind.CHANGES,
    "snapshot": api.ListKind.FULL,
    "disk": api.ListKind.SAVED,
    "error": api.ListKind.FAILED,
}
_REPORTS = {"inline": api.Reports.ANSWERS, "on_probe": api.Reports.PROBES, "off": api.Reports.NONE}
_WEIGHTS = {"off": False, "nominal": True, "rough": True, "live": True}
_CHARGES = (
    "probe", "waste", "cross-zone", "late-fail", "handshake", "connection", "discovery", "fleet", "moves",
    "origin", "peer",
)  # fmt: skip
_STATUSES = {
    "pass": api.Status.OK,
    "fault": api.Status.ERROR,
    "no_room": api.Status.FULL,
    "too_slow": api.Status.TIMEOUT,
    "no_route": api.Status.CONNECT_FAILED,
    "cut": api.Status.RESET,
    "undone": api.Status.CANCELLED,
    "stale_send": api.Status.MOOT,
}


class WireError(ValueError):
    """A line that the wire does not allow."""


Table = dict[str, Any]


def _fault(where: str, name: str, value: object) -> api.SettingsError:
    return api.SettingsError(f"{where}{name} makes no sense: {value!r}")


def _number(table: Table, where: str, name: str, default: float | None, low: float = 0.0) -> float:
    value = table.get(name, default)
    if value is None:
        raise api.SettingsError(f"{where}{name} is missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < math.inf:
        raise _fault(where, name, value)
    return float(value)


def _whole(table: Table, where: str, name: str, default: int, low: int) -> int:
    value = _number(table, where, name, default, low)
    if value != int(value):
        raise _fault(where, name, table[name])
    return int(value)


def _flag(table: Table, where: str, name: str, default: bool) -> bool:
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise _fault(where, name, value)
    return value


def _text(table: Table, where: str, name: str, default: str | None) -> str:
    value = table.get(name, default)
    if value is None or (value == "" and default is None):
        raise api.SettingsError(f"{where}{name} is missing")
    if not isinstance(value, str):
        raise _fault(where, name, value)
    return value


def _texts(table: Table, where: str, name: str) -> tuple[str, ...]:
    value = table.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise _fault(where, name, value)
    return tuple(value)


def _table(table: Table, name: str) -> Table:
    value = table.get(name, {})
    if not isinstance(value, dict):
        raise _fault("", name, value)
    return value


def _rows(table: Table, name: str) -> list[Table]:
    value = table.get(name, [])
    if not isinstance(value, list):
        raise _fault("", name, value)
    for index, row in enumerate(value):
        if not isinstance(row, dict):
            raise _fault("", f"{name}[{index}]", row)
    return value


def _choice(table: Table, where: str, name: str, among: dict[str, Any], default: str | None) -> Any:
    value = _text(table, where, name, default)
    if value not in among:
        raise _fault(where, name, value)
    return among[value]


def _class(table: Table, index: int) -> api.RequestClass:
    where = f"request-classes[{index}]."
    deadline = _number(table, where, "give-up", None)
    out = api.RequestClass(
        name=_text(table, where, "name", None),
        effect=_choice(table, where, "effect", _EFFECTS, None),
        aim=_number(table, where, "objective", deadline),
        deadline=deadline,
        value=_number(table, where, "value", 1.0),
        late_worth=_number(table, where, "late-worth", 0.0),
        # Untold, only the smallest group drops a repeat and forgets it at once: the cautious reading.
        group=_choice(table, where, "group", _GROUPS, "cell"),
        memory_span=_number(table, where, "memory-span", 0.0),
        streamed=_flag(table, where, "streamed", False),
        aim_stretch=_number(table, where, "aim-stretch", 0.0),
    )
    for name, value in (("give-up", out.deadline), ("objective", out.aim)):
        if value <= 0:
            raise _fault(where, name, value)
    return out


def _tenant(table: Table, index: int) -> api.Tenant:
    where = f"projects[{index}]."
    return api.Tenant(
        _text(table, where, "name", None),
        _number(table, where, "quota-per-s", 0.0),
        _number(table, where, "share", 0.0),
    )


def settings(text: str) -> api.Settings:
    """The settings out of a START line; raises SettingsError where one is missing or senseless."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as err:
        raise api.SettingsError(f"boot-info is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise api.SettingsError("boot-info is not an object")
    return parse_settings(raw)


def parse_settings(raw: Table) -> api.Settings:
    """The settings out of their JSON object, as a START line or a node's configuration holds it.

    Left out on purpose, as they say nothing that a decision could use: `family`, `stages` and `tier` (an
    instance sends to one tier only). Unknown keys are skipped.
    """
    limits, rules, load = _table(raw, "limits"), _table(raw, "rules"), _table(raw, "load-info")
    charges, blend, family = _table(raw, "charges"), _table(raw, "blend"), _table(raw, "family-info")
    classes = _rows(raw, "request-classes")
    if not classes:
        raise api.SettingsError("request-classes is missing")
    group_size = _whole(raw, "", "group-size", 1, 1)
    me = _whole(raw, "", "me", 0, 0)
    heeded = _flag(limits, "limits.", "retry-after", False)
    ramp_time = _number(rules, "rules.", "ramp-time", 60_000.0)
    cold_share = _number(rules, "rules.", "cold-share", 0.0)
    if cold_share > 1:
        raise _fault("rules.", "cold-share", cold_share)
    return api.Settings(
        classes=tuple(_class(table, index) for index, table in enumerate(classes)),
        me=me,
        group_size=group_size,
        zone=_text(raw, "", "zone", ""),
        tick=_number(raw, "", "granularity", 1.0),
        tenants=tuple(_tenant(table, index) for index, table in enumerate(_rows(raw, "projects"))),
        charges=api.Charges(
            **{
                name.replace("-", "_"): _number(charges, "charges.", name, 0.0)
                for name in _CHARGES
            }
        ),
        blend=api.Blend(
            whole=_number(blend, "blend.", "whole", 1.0),
            worst_window=_number(blend, "blend.", "worst-window", 0.0),
            worst_class=_number(blend, "blend.", "worst-class", 0.0),
            worst_tenant=_number(blend, "blend.", "worst-tenant", 0.0),
            nines=_number(blend, "blend.", "nines", 0.0),
            top_nines=_number(blend, "blend.", "top-nines", 3.0),
            slow_end=_number(blend, "blend.", "slow-end", 0.0),
            miss_allowed=_number(blend, "blend.", "miss-allowed", 0.0),
        ),
        over_share_worth=_number(raw, "", "over-share-worth", 1.0),
        worth_by_work=_choice(raw, "", "worth-by", {"request": False, "work": True}, "request"),
        must_ask=_choice(raw, "", "discovery", {"automatic": False, "subscribe": True}, "subscribe"),
        reports=_choice(load, "load-info.", "how", _REPORTS, "off"),
        report_fields=_texts(load, "load-info.", "names"),
        probing=_flag(limits, "limits.", "probing", False),
        may_cancel=_flag(limits, "limits.", "cancel", False),
        second_copies=_flag(limits, "limits.", "second-copies", False),
        max_attempts=_whole(limits, "limits.", "most-tries", 1, 1),
        max_retry_after=_number(limits, "limits.", "max-retry-after", 0.0) if heeded else 0.0,
        answer_slack=_number(rules, "rules.", "answer-slack", 0.0),
        ask_within=_number(rules, "rules.", "ask-within", 10_000.0),
        drain_grace=_number(rules, "rules.", "drain-grace", 0.0),
        cold_share=cold_share,
        ramp_time=ramp_time,
        fall_window=_number(rules, "rules.", "fall", 1_000.0),
        fall_multiple=_number(rules, "rules.", "fall-multiple", 1.0),
        weighted=_choice(raw, "", "weight-source", _WEIGHTS, "off"),
        live_weights=raw.get("weight-source") == "live",
        connect_timeout=_number(limits, "limits.", "connect-timeout", 250.0),
        zones=_texts(raw, "", "failure-domains"),
        kinds=_texts(raw, "", "kinds"),
        retries_marked=_flag(_table(raw, "client-habits"), "client-habits.", "marks-retry", False),
        warm_keys=_flag(family, "family-info.", "warm-keys", False),
        passes_deadline=_flag(family, "family-info.", "passes-deadline", False),
        peers=_flag(limits, "limits.", "peers", False),
        conn_idle=_number(limits, "limits.", "conn-idle", 0.0),
        streams_per_conn=_whole(limits, "limits.", "streams-per-conn", 1, 1),
        max_open=_whole(limits, "limits.", "max-open", 20_000, 1),
        cpu_us_per_s=_number(limits, "limits.", "cpu-us-per-s", 0.0),
        cpu_us_per_request=_number(limits, "limits.", "cpu-us-per-request", 0.0),
    )


_VALUES = {
    "active": "in_flight", "waiting": "queue", "cpu": "cpu", "avg_ms": "mean_time", "rps": "rate",
    "err_rps": "error_rate",
}  # fmt: skip


def time(text: str) -> float:
    """A finite number, or ValueError."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def report(text: str, names: tuple[str, ...]) -> api.Report | None:
    """A load report; values of a name that is not on the wire page are skipped."""
    if text == "-":
        return None
    out = api.Report()
    for name, value in zip(names, text.split(","), strict=True):
        if value != "-" and name in _VALUES:
            setattr(out, _VALUES[name], time(value))
    return out


def entry(line: str) -> api.Entry:
    """One ENTRY line of a list."""
    try:
        word, stripe, kind, backend, scale, phase, started, zone = line.split(" ")
        weight = 1.0 if scale == "-" else time(scale)
        if word != "ENTRY" or not backend or weight < 0:
            raise ValueError(line)
        return api.Entry(
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


def list_update(line: str) -> tuple[api.ListUpdate, int]:
    """A DIRECTORY_UPDATE line and the number of ENTRY lines that follow it."""
    parts = line.split(" ")
    try:
        _, mode, revision, count = parts
        number = 0 if revision == "-" else int(revision)
        rows = 0 if count == "-" else int(count)
        if rows < 0:
            raise ValueError(count)
        return api.ListUpdate(_LISTS[mode], [], number), rows
    except (ValueError, KeyError):
        raise WireError(f"malformed list update: {line[:120]!r}") from None


def event(line: str, names: tuple[str, ...]) -> api.Event:
    """Any other event line; `names` are the load report's fields."""
    parts = line.split(" ")
    word = parts[0]
    try:
        if word == "SAMPLED":
            _, reason, duration, backend, gauge = parts
            return api.Probed(backend, _STATUSES[reason], time(duration), report(gauge, names))
        if word == "RESOLVED":
            _, ref, go, backend, reason, duration, closed, gauge = parts
            return api.Outcome(
                ref, int(go), backend, _STATUSES[reason], time(duration), closed == "1", report(gauge, names)
            )
        if word == "WAKE":
            return api.Timer(int(parts[1]))
        if word == "ORDER":
            _, ref, again, key, deadline, tenant, hint, kind, mutates = parts
            return api.Arrival(
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
            return api.ClientGone(parts[1])
        if word == "ACCEPTED":
            _, ref, go, backend, duration = parts
            return api.StreamStarted(ref, int(go), backend, time(duration))
        if word == "HEARD":
            return api.PeerMessage(int(parts[1]), b"" if parts[2] == "-" else bytes.fromhex(parts[2]))
    except (ValueError, KeyError, IndexError):
        raise WireError(f"malformed line: {line[:120]!r}") from None
    raise WireError(f"unknown message: {line[:120]!r}")


def action(act: api.Action) -> str:
    """The wire line of an action."""
    kind = type(act)
    if kind is api.Probe:
        return f"INSPECT {act.backend}"  # type: ignore[union-attr]
    if isinstance(act, api.Send):
        return f"PLACE {act.request} {round(act.timeout, 3)} {act.backend}"
    if isinstance(act, api.SetTimer):
        return f"NOTIFY_ME {round(act.when, 3)} {act.token}"
    if isinstance(act, api.Refuse):
        return f"PUSH_BACK {act.request} {round(act.retry_after, 3)}"
    if isinstance(act, api.Fail):
        return f"SURRENDER {act.request}"
    if isinstance(act, api.Cancel):
        return f"ABANDON {act.request} {act.attempt}"
    if isinstance(act, api.Log):
        return "LOG " + " ".join(act.text.split())
    if isinstance(act, api.CloseIdle):
        return f"SHUT_IDLE {act.backend}"
    if isinstance(act, api.Tell):
        return f"WRITE_PEER {'all' if act.node is None else act.node} {act.content.hex() or '-'}"
    if isinstance(act, api.Subscribe):
        return f"TAIL {int(act.on)}"
    return "LIST_ALL"
