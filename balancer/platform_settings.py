"""Parses and checks the platform's settings, a JSON object.

A START line of the simulator's protocol and a node's configuration contain the same object. `parse` raises
`SettingsError` for the first fault, `find_faults` returns all of them. Times are in milliseconds.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any, Concatenate, ParamSpec, TypeVar, cast

from balancer import interface as api

_IDEMPOTENCY_BY_EFFECT = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.KEYED,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
_SCOPE_BY_GROUP = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
_REPORT_SOURCE_BY_NAME = {
    "inline": api.LoadReportSource.RESPONSES,
    "on_probe": api.LoadReportSource.PROBES,
    "off": api.LoadReportSource.NONE,
}
_HAS_WEIGHTS_BY_SOURCE = {"off": False, "nominal": True, "rough": True, "live": True}
_CHARGE_NAMES = (
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

# Replaces a row that is not an object, so that parsing can continue.
_PLACEHOLDER_ROW = {"name": "x", "effect": "retryable", "give-up": 1.0}

Table = dict[str, Any]
P = ParamSpec("P")
T = TypeVar("T")


class _FaultCollectingTable(Table):
    """A table that collects faults, also those of its nested tables, instead of raising the first one."""

    def __init__(self, table: Table, faults: list[str]) -> None:
        super().__init__(table)
        self.faults = faults


def _invalid_value(path: str, name: str, value: object) -> api.SettingsError:
    return api.SettingsError(f"{path}{name} makes no sense: {value!r}")


def _report_fault(table: Table, fault: api.SettingsError) -> None:
    """Raise a fault, or record it if the table collects faults."""
    if not isinstance(table, _FaultCollectingTable):
        raise fault
    if str(fault) not in table.faults:
        table.faults.append(str(fault))


def _with_fallback(
    fallback: T,
) -> Callable[[Callable[Concatenate[Table, P], T]], Callable[Concatenate[Table, P], T]]:
    """Decorate a reader of a field to return `fallback` for an invalid value if the table collects faults."""

    def decorate(read_field: Callable[Concatenate[Table, P], T]) -> Callable[Concatenate[Table, P], T]:
        def read_or_fall_back(table: Table, /, *args: P.args, **kwargs: P.kwargs) -> T:
            try:
                return read_field(table, *args, **kwargs)
            except api.SettingsError as err:
                _report_fault(table, err)
                return fallback

        return read_or_fall_back

    return decorate


def _nested_table(table: Table, nested: Table) -> Table:
    return _FaultCollectingTable(nested, table.faults) if isinstance(table, _FaultCollectingTable) else nested


@_with_fallback(1.0)
def _number(table: Table, path: str, name: str, default: float | None, minimum: float = 0.0) -> float:
    value = table.get(name, default)
    if value is None:
        raise api.SettingsError(f"{path}{name} is missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < math.inf:
        raise _invalid_value(path, name, value)
    return float(value)


@_with_fallback(1)
def _integer(table: Table, path: str, name: str, default: int, minimum: int) -> int:
    value = _number(table, path, name, default, minimum)
    if value != int(value):
        raise _invalid_value(path, name, table[name])
    return int(value)


@_with_fallback(False)
def _flag(table: Table, path: str, name: str, default: bool) -> bool:
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise _invalid_value(path, name, value)
    return value


def _raw_text(table: Table, path: str, name: str, default: str | None) -> str:
    value = table.get(name, default)
    if value is None or (value == "" and default is None):
        raise api.SettingsError(f"{path}{name} is missing")
    if not isinstance(value, str):
        raise _invalid_value(path, name, value)
    return value


_text = _with_fallback("")(_raw_text)


@_with_fallback(cast("tuple[str, ...]", ()))
def _texts(table: Table, path: str, name: str) -> tuple[str, ...]:
    value = table.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise _invalid_value(path, name, value)
    return tuple(value)


def _table(table: Table, name: str) -> Table:
    value = table.get(name, {})
    if not isinstance(value, dict):
        _report_fault(table, _invalid_value("", name, value))
        value = {}
    return _nested_table(table, value)


def _rows(table: Table, name: str) -> list[Table]:
    value = table.get(name, [])
    if not isinstance(value, list):
        _report_fault(table, _invalid_value("", name, value))
        return []
    for index, row in enumerate(value):
        if not isinstance(row, dict):
            _report_fault(table, _invalid_value("", f"{name}[{index}]", row))
    return [_nested_table(table, row if isinstance(row, dict) else _PLACEHOLDER_ROW) for row in value]


@_with_fallback(cast(Any, None))
def _choice(table: Table, path: str, name: str, choices: dict[str, Any], default: str | None) -> Any:
    value = _raw_text(table, path, name, default)
    if value not in choices:
        raise _invalid_value(path, name, value)
    return choices[value]


def _request_class(table: Table, index: int) -> api.RequestClass:
    path = f"request-classes[{index}]."
    deadline_ms = _number(table, path, "give-up", None)
    request_class = api.RequestClass(
        name=_text(table, path, "name", None),
        idempotency=_choice(table, path, "effect", _IDEMPOTENCY_BY_EFFECT, None),
        latency_objective_ms=_number(table, path, "objective", deadline_ms),
        deadline_ms=deadline_ms,
        priority_weight=_number(table, path, "value", 1.0),
        late_priority_weight=_number(table, path, "late-worth", 0.0),
        # The cautious default: only the smallest scope deduplicates, and it forgets at once.
        deduplication_scope=_choice(table, path, "group", _SCOPE_BY_GROUP, "cell"),
        deduplication_window_ms=_number(table, path, "memory-span", 0.0),
        is_streamed=_flag(table, path, "streamed", False),
        latency_objective_stretch=_number(table, path, "aim-stretch", 0.0),
    )
    for name, value in (
        ("give-up", request_class.deadline_ms),
        ("objective", request_class.latency_objective_ms),
    ):
        if value <= 0 and name in table:
            _report_fault(table, _invalid_value(path, name, value))
    return request_class


def _tenant(table: Table, index: int) -> api.Tenant:
    path = f"projects[{index}]."
    return api.Tenant(
        _text(table, path, "name", None),
        _number(table, path, "quota-per-s", 0.0),
        _number(table, path, "share", 0.0),
    )


def parse_json(text: str) -> api.Settings:
    """Parse the settings of a START line; raises SettingsError if one is missing or invalid."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as err:
        raise api.SettingsError(f"boot-info is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise api.SettingsError("boot-info is not an object")
    return parse(raw)


def parse(raw: Table) -> api.Settings:
    """Parse the settings' JSON object; raises SettingsError if a setting is missing or invalid.

    `family`, `stages` and `tier` are ignored on purpose, as no decision could use them (an instance sends to
    one tier only). Unknown keys are ignored.
    """
    limits, rules, load_info = _table(raw, "limits"), _table(raw, "rules"), _table(raw, "load-info")
    charges, blend, family_info = _table(raw, "charges"), _table(raw, "blend"), _table(raw, "family-info")
    classes = _rows(raw, "request-classes")
    if raw.get("request-classes", []) == []:
        _report_fault(raw, api.SettingsError("request-classes is missing"))
    node_count = _integer(raw, "", "group-size", 1, 1)
    node_index = _integer(raw, "", "me", 0, 0)
    honors_retry_after = _flag(limits, "limits.", "retry-after", False)
    slow_start_duration_ms = _number(rules, "rules.", "ramp-time", 60_000.0)
    slow_start_initial_fraction = _number(rules, "rules.", "cold-share", 0.0)
    if slow_start_initial_fraction > 1:
        _report_fault(rules, _invalid_value("rules.", "cold-share", slow_start_initial_fraction))
    return api.Settings(
        classes=tuple(_request_class(table, index) for index, table in enumerate(classes)),
        node_index=node_index,
        node_count=node_count,
        zone=_text(raw, "", "zone", ""),
        tick_ms=_number(raw, "", "granularity", 1.0),
        tenants=tuple(_tenant(table, index) for index, table in enumerate(_rows(raw, "projects"))),
        prices=api.Prices(
            **{name.replace("-", "_"): _number(charges, "charges.", name, 0.0) for name in _CHARGE_NAMES}
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
        load_report_source=_choice(load_info, "load-info.", "how", _REPORT_SOURCE_BY_NAME, "off"),
        load_report_fields=_texts(load_info, "load-info.", "names"),
        probing_enabled=_flag(limits, "limits.", "probing", False),
        may_cancel=_flag(limits, "limits.", "cancel", False),
        may_hedge=_flag(limits, "limits.", "second-copies", False),
        max_attempts=_integer(limits, "limits.", "most-tries", 1, 1),
        max_retry_after_ms=_number(limits, "limits.", "max-retry-after", 0.0) if honors_retry_after else 0.0,
        response_slack_ms=_number(rules, "rules.", "answer-slack", 0.0),
        poll_within_ms=_number(rules, "rules.", "ask-within", 10_000.0),
        drain_grace_ms=_number(rules, "rules.", "drain-grace", 0.0),
        slow_start_initial_fraction=slow_start_initial_fraction,
        slow_start_duration_ms=slow_start_duration_ms,
        overload_window_ms=_number(rules, "rules.", "fall", 1_000.0),
        overload_multiple=_number(rules, "rules.", "fall-multiple", 1.0),
        has_weights=_choice(raw, "", "weight-source", _HAS_WEIGHTS_BY_SOURCE, "off"),
        has_live_weights=raw.get("weight-source") == "live",
        connect_timeout_ms=_number(limits, "limits.", "connect-timeout", 250.0),
        zones=_texts(raw, "", "failure-domains"),
        backend_kinds=_texts(raw, "", "kinds"),
        are_retries_marked=_flag(_table(raw, "client-habits"), "client-habits.", "marks-retry", False),
        has_warm_keys=_flag(family_info, "family-info.", "warm-keys", False),
        forwards_deadline=_flag(family_info, "family-info.", "passes-deadline", False),
        may_message_peers=_flag(limits, "limits.", "peers", False),
        connection_idle_ms=_number(limits, "limits.", "conn-idle", 0.0),
        streams_per_connection=_integer(limits, "limits.", "streams-per-conn", 1, 1),
        max_open_requests=_integer(limits, "limits.", "max-open", 20_000, 1),
        cpu_us_per_s=_number(limits, "limits.", "cpu-us-per-s", 0.0),
        cpu_us_per_request=_number(limits, "limits.", "cpu-us-per-request", 0.0),
    )


def find_faults(raw: Table) -> list[str]:
    """All faults that `parse` would raise for, in order; empty if the settings are valid."""
    faults: list[str] = []
    parse(_FaultCollectingTable(raw, faults))
    return faults
