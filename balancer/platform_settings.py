"""The platform's settings, out of their JSON object, checked. Nothing is decided here.

A START line of the simulator's wire and a real node's configuration hold the same object. `parse` stops at
the first fault, `faults` names all of them.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any, Concatenate, ParamSpec, TypeVar, cast

from balancer import interface as api

_EFFECTS = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.KEYED,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
_GROUPS = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
_REPORTS = {
    "inline": api.LoadReportSource.RESPONSES,
    "on_probe": api.LoadReportSource.PROBES,
    "off": api.LoadReportSource.NONE,
}
_WEIGHTS = {"off": False, "nominal": True, "rough": True, "live": True}
_CHARGES = (
    "probe",
    "waste",
    "cross-zone",
    "late-fail",
    "handshake",
    "connection",
    "discovery",
    "fleet",
    "moves",
    "origin",
    "peer",
)

_ROW = {"name": "x", "effect": "retryable", "give-up": 1.0}  # stands in for one that is no object

Table = dict[str, Any]
P = ParamSpec("P")
T = TypeVar("T")


class _Gathering(Table):
    """A table that is read on after a fault: it gathers them, with those of the tables within."""

    def __init__(self, table: Table, faults: list[str]) -> None:
        super().__init__(table)
        self.faults = faults


def _fault(where: str, name: str, value: object) -> api.SettingsError:
    return api.SettingsError(f"{where}{name} makes no sense: {value!r}")


def _say(table: Table, fault: api.SettingsError) -> None:
    """Raise a fault, or note it where faults are gathered."""
    if not isinstance(table, _Gathering):
        raise fault
    if str(fault) not in table.faults:
        table.faults.append(str(fault))


def _gathered(
    stand_in: T,
) -> Callable[[Callable[Concatenate[Table, P], T]], Callable[Concatenate[Table, P], T]]:
    """Go on with a value that makes sense where faults are gathered."""

    def wrap(read: Callable[Concatenate[Table, P], T]) -> Callable[Concatenate[Table, P], T]:
        def inner(table: Table, /, *args: P.args, **kwargs: P.kwargs) -> T:
            try:
                return read(table, *args, **kwargs)
            except api.SettingsError as err:
                _say(table, err)
                return stand_in

        return inner

    return wrap


def _within(table: Table, inner: Table) -> Table:
    return _Gathering(inner, table.faults) if isinstance(table, _Gathering) else inner


@_gathered(1.0)
def _number(table: Table, where: str, name: str, default: float | None, low: float = 0.0) -> float:
    value = table.get(name, default)
    if value is None:
        raise api.SettingsError(f"{where}{name} is missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < math.inf:
        raise _fault(where, name, value)
    return float(value)


@_gathered(1)
def _whole(table: Table, where: str, name: str, default: int, low: int) -> int:
    value = _number(table, where, name, default, low)
    if value != int(value):
        raise _fault(where, name, table[name])
    return int(value)


@_gathered(False)
def _flag(table: Table, where: str, name: str, default: bool) -> bool:
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise _fault(where, name, value)
    return value


def _raw_text(table: Table, where: str, name: str, default: str | None) -> str:
    value = table.get(name, default)
    if value is None or (value == "" and default is None):
        raise api.SettingsError(f"{where}{name} is missing")
    if not isinstance(value, str):
        raise _fault(where, name, value)
    return value


_text = _gathered("")(_raw_text)


@_gathered(cast("tuple[str, ...]", ()))
def _texts(table: Table, where: str, name: str) -> tuple[str, ...]:
    value = table.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise _fault(where, name, value)
    return tuple(value)


def _table(table: Table, name: str) -> Table:
    value = table.get(name, {})
    if not isinstance(value, dict):
        _say(table, _fault("", name, value))
        value = {}
    return _within(table, value)


def _rows(table: Table, name: str) -> list[Table]:
    value = table.get(name, [])
    if not isinstance(value, list):
        _say(table, _fault("", name, value))
        return []
    for index, row in enumerate(value):
        if not isinstance(row, dict):
            _say(table, _fault("", f"{name}[{index}]", row))
    return [_within(table, row if isinstance(row, dict) else _ROW) for row in value]


@_gathered(cast(Any, None))
def _choice(table: Table, where: str, name: str, among: dict[str, Any], default: str | None) -> Any:
    value = _raw_text(table, where, name, default)
    if value not in among:
        raise _fault(where, name, value)
    return among[value]


def _class(table: Table, index: int) -> api.RequestClass:
    where = f"request-classes[{index}]."
    deadline = _number(table, where, "give-up", None)
    out = api.RequestClass(
        name=_text(table, where, "name", None),
        idempotency=_choice(table, where, "effect", _EFFECTS, None),
        latency_objective_ms=_number(table, where, "objective", deadline),
        deadline_ms=deadline,
        priority_weight=_number(table, where, "value", 1.0),
        late_priority_weight=_number(table, where, "late-worth", 0.0),
        # Untold, only the smallest group drops a repeat and forgets it at once: the cautious reading.
        deduplication_scope=_choice(table, where, "group", _GROUPS, "cell"),
        deduplication_window_ms=_number(table, where, "memory-span", 0.0),
        is_streamed=_flag(table, where, "streamed", False),
        latency_objective_stretch=_number(table, where, "aim-stretch", 0.0),
    )
    for name, value in (("give-up", out.deadline_ms), ("objective", out.latency_objective_ms)):
        if value <= 0 and name in table:
            _say(table, _fault(where, name, value))
    return out


def _tenant(table: Table, index: int) -> api.Tenant:
    where = f"projects[{index}]."
    return api.Tenant(
        _text(table, where, "name", None),
        _number(table, where, "quota-per-s", 0.0),
        _number(table, where, "share", 0.0),
    )


def read(text: str) -> api.Settings:
    """The settings out of a START line; raises SettingsError where one is missing or senseless."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as err:
        raise api.SettingsError(f"boot-info is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise api.SettingsError("boot-info is not an object")
    return parse(raw)


def parse(raw: Table) -> api.Settings:
    """The settings out of their JSON object, as a START line or a node's configuration holds it.

    Left out on purpose, as they say nothing that a decision could use: `family`, `stages` and `tier` (an
    instance sends to one tier only). Unknown keys are skipped.
    """
    limits, rules, load = _table(raw, "limits"), _table(raw, "rules"), _table(raw, "load-info")
    charges, blend, family = _table(raw, "charges"), _table(raw, "blend"), _table(raw, "family-info")
    classes = _rows(raw, "request-classes")
    if raw.get("request-classes", []) == []:
        _say(raw, api.SettingsError("request-classes is missing"))
    group_size = _whole(raw, "", "group-size", 1, 1)
    me = _whole(raw, "", "me", 0, 0)
    heeded = _flag(limits, "limits.", "retry-after", False)
    ramp_time = _number(rules, "rules.", "ramp-time", 60_000.0)
    cold_share = _number(rules, "rules.", "cold-share", 0.0)
    if cold_share > 1:
        _say(rules, _fault("rules.", "cold-share", cold_share))
    return api.Settings(
        classes=tuple(_class(table, index) for index, table in enumerate(classes)),
        node_index=me,
        node_count=group_size,
        zone=_text(raw, "", "zone", ""),
        tick_ms=_number(raw, "", "granularity", 1.0),
        tenants=tuple(_tenant(table, index) for index, table in enumerate(_rows(raw, "projects"))),
        prices=api.Prices(
            **{name.replace("-", "_"): _number(charges, "charges.", name, 0.0) for name in _CHARGES}
        ),
        score_weights=api.ScoreWeights(
            total=_number(blend, "blend.", "whole", 1.0),
            worst_window=_number(blend, "blend.", "worst-window", 0.0),
            worst_class=_number(blend, "blend.", "worst-class", 0.0),
            worst_tenant=_number(blend, "blend.", "worst-tenant", 0.0),
            nines=_number(blend, "blend.", "nines", 0.0),
            top_nines=_number(blend, "blend.", "top-nines", 3.0),
            slow_tail=_number(blend, "blend.", "slow-end", 0.0),
            allowed_miss_rate=_number(blend, "blend.", "miss-allowed", 0.0),
        ),
        over_quota_weight=_number(raw, "", "over-share-worth", 1.0),
        is_weighted_by_work=_choice(raw, "", "worth-by", {"request": False, "work": True}, "request"),
        must_poll=_choice(raw, "", "discovery", {"automatic": False, "subscribe": True}, "subscribe"),
        load_report_source=_choice(load, "load-info.", "how", _REPORTS, "off"),
        load_report_fields=_texts(load, "load-info.", "names"),
        probing_enabled=_flag(limits, "limits.", "probing", False),
        may_cancel=_flag(limits, "limits.", "cancel", False),
        may_hedge=_flag(limits, "limits.", "second-copies", False),
        max_attempts=_whole(limits, "limits.", "most-tries", 1, 1),
        max_retry_after_ms=_number(limits, "limits.", "max-retry-after", 0.0) if heeded else 0.0,
        response_slack_ms=_number(rules, "rules.", "answer-slack", 0.0),
        poll_within_ms=_number(rules, "rules.", "ask-within", 10_000.0),
        drain_grace_ms=_number(rules, "rules.", "drain-grace", 0.0),
        slow_start_initial_fraction=cold_share,
        slow_start_duration_ms=ramp_time,
        overload_window_ms=_number(rules, "rules.", "fall", 1_000.0),
        overload_multiple=_number(rules, "rules.", "fall-multiple", 1.0),
        has_weights=_choice(raw, "", "weight-source", _WEIGHTS, "off"),
        has_live_weights=raw.get("weight-source") == "live",
        connect_timeout_ms=_number(limits, "limits.", "connect-timeout", 250.0),
        zones=_texts(raw, "", "failure-domains"),
        backend_kinds=_texts(raw, "", "kinds"),
        are_retries_marked=_flag(_table(raw, "client-habits"), "client-habits.", "marks-retry", False),
        has_warm_keys=_flag(family, "family-info.", "warm-keys", False),
        forwards_deadline=_flag(family, "family-info.", "passes-deadline", False),
        may_message_peers=_flag(limits, "limits.", "peers", False),
        connection_idle_ms=_number(limits, "limits.", "conn-idle", 0.0),
        streams_per_connection=_whole(limits, "limits.", "streams-per-conn", 1, 1),
        max_open_requests=_whole(limits, "limits.", "max-open", 20_000, 1),
        cpu_us_per_s=_number(limits, "limits.", "cpu-us-per-s", 0.0),
        cpu_us_per_request=_number(limits, "limits.", "cpu-us-per-request", 0.0),
    )


def faults(raw: Table) -> list[str]:
    """All that `parse` would raise for, one after the other; none where it raises nothing."""
    out: list[str] = []
    parse(_Gathering(raw, out))
    return out
