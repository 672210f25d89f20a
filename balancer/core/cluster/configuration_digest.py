"""Computes the digest of a node's settings that nodes advertise to detect configuration divergence.

Nodes of different program versions compare their digests. The digest covers the names of fields and enum
members, which makes these names part of the wire format. The tables below list them as the first version
wrote them; they must not change when the code is renamed.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path

FIELD_NAMES: dict[str, dict[str, str]] = {
    "RequestClass": {
        "idempotency": "effect",
        "latency_objective_ms": "aim",
        "deadline_ms": "deadline",
        "priority_weight": "value",
        "late_priority_weight": "late_worth",
        "deduplication_scope": "group",
        "deduplication_window_ms": "memory_span",
        "is_streamed": "streamed",
        "latency_objective_stretch": "aim_stretch",
    },
    "ScoreWeights": {
        "total": "whole",
        "slow_tail": "slow_end",
        "allowed_miss_rate": "miss_allowed",
    },
    "Settings": {
        "node_index": "me",
        "node_count": "group_size",
        "tick_ms": "tick",
        "prices": "charges",
        "score_weights": "blend",
        "over_quota_weight": "over_share_worth",
        "is_weighted_by_work": "worth_by_work",
        "must_poll": "must_ask",
        "load_report_source": "reports",
        "load_report_fields": "report_fields",
        "probing_enabled": "probing",
        "may_hedge": "second_copies",
        "max_retry_after_ms": "max_retry_after",
        "response_slack_ms": "answer_slack",
        "poll_within_ms": "ask_within",
        "drain_grace_ms": "drain_grace",
        "slow_start_initial_fraction": "cold_share",
        "slow_start_duration_ms": "ramp_time",
        "overload_window_ms": "fall_window",
        "overload_multiple": "fall_multiple",
        "has_weights": "weighted",
        "has_live_weights": "live_weights",
        "connect_timeout_ms": "connect_timeout",
        "backend_kinds": "kinds",
        "are_retries_marked": "retries_marked",
        "has_warm_keys": "warm_keys",
        "forwards_deadline": "passes_deadline",
        "may_message_peers": "peers",
        "connection_idle_ms": "conn_idle",
        "streams_per_connection": "streams_per_conn",
        "max_open_requests": "max_open",
    },
}
"""Names of fields in the digest, by class, where they differ from those in the code."""

ENUM_NAMES: dict[str, str] = {
    "safe": "Effect.SAFE",
    "keyed": "Effect.KEYED",
    "unsafe": "Effect.UNSAFE",
    "answers": "Reports.ANSWERS",
    "probes": "Reports.PROBES",
    "none": "Reports.NONE",
    "zone": "Group.ZONE",
    "cell": "Group.CELL",
    "all": "Group.ALL",
    "full": "Role.FULL",
    "add": "Role.ADD",
    "remove": "Role.REMOVE",
}
"""Names in the digest of the enum members that settings may hold, by value."""

NODE_FIELDS = frozenset({"node_index", "zone"})
"""Fields of the platform's settings that differ by node."""
OPERATOR_NODE_FIELDS = frozenset({"address", "seeds"})
"""Fields of the operators' settings that differ by node."""


def configuration_digest(settings: object, excluded: Collection[str]) -> int:
    """Returns the CRC-32 of the settings that should be equal on all nodes; never 0.

    It excludes the fields named in `excluded`, and values that differ by node or are secret: addresses,
    paths, and fields without a repr.
    """
    return zlib.crc32(repr(_comparable(settings, excluded)).encode()) or 1


class _Literal:
    """Text that enters the digest without quotes."""

    def __init__(self, text: str) -> None:
        self._text = text

    def __repr__(self) -> str:
        return self._text


def _comparable(value: object, excluded: Collection[str]) -> object:
    if is_dataclass(value):
        names = FIELD_NAMES.get(type(value).__name__, {})
        compared = [item.name for item in fields(value) if item.repr and item.name not in excluded]
        return [(names.get(name, name), _comparable(getattr(value, name), excluded)) for name in compared]
    if isinstance(value, Mapping):
        return sorted((str(key), repr(_comparable(item, excluded))) for key, item in value.items())
    if isinstance(value, tuple):
        if len(value) == 2 and isinstance(value[0], str) and isinstance(value[1], int):
            return "an address"
        return [_comparable(item, excluded) for item in value]
    if isinstance(value, Enum):
        name = ENUM_NAMES.get(value.value, f"{type(value).__name__}.{value.name}")
        return _Literal(f"<{name}: {value.value!r}>")
    return "a path" if isinstance(value, Path) else value
