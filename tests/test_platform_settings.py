"""The platform's settings: parsing, faults and defaults."""

from __future__ import annotations

import json

import pytest

from balancer import interface as api
from balancer import platform_settings
from tests.helpers import BOOT, INFO


def test_parse_json_unknown_keys_are_ignored() -> None:
    settings = platform_settings.parse_json(BOOT)
    assert settings.classes[0].latency_objective_ms == 400.0 and settings.max_attempts == 3
    assert settings.load_report_fields == ("waiting", "active")


@pytest.mark.parametrize(
    ("changes", "expected_fault"),
    [
        ({"request-classes": []}, "request-classes is missing"),
        ({"request-classes": [{"name": "x", "effect": "odd", "give-up": 1}]}, r"effect.*'odd'"),
        ({"request-classes": [{"name": "x", "effect": "dedup"}]}, r"request-classes\[0\].give-up is missing"),
        ({"rules": {"ramp-time": -1}}, "rules.ramp-time makes no sense: -1"),
        ({"group-size": 0}, "group-size makes no sense: 0"),
        ({"group-size": 2.5}, "group-size makes no sense: 2.5"),
        ({"me": "x"}, "me makes no sense: 'x'"),
        ({"request-classes": 5}, "request-classes makes no sense: 5"),
        ({"request-classes": [7]}, r"request-classes\[0\] makes no sense: 7"),
        ({"request-classes": [{"name": "x", "effect": 3, "give-up": 1}]}, r"effect makes no sense: 3"),
        ({"request-classes": [{"name": "x", "effect": "dedup", "give-up": 0}]}, "give-up makes no sense: 0"),
        ({"limits": [1]}, r"limits makes no sense: \[1\]"),
        ({"limits": {"cancel": "yes"}}, "limits.cancel makes no sense: 'yes'"),
        ({"rules": {"cold-share": 1.5}}, "rules.cold-share makes no sense: 1.5"),
        ({"granularity": float("nan")}, "granularity makes no sense: nan"),
        ({"rules": {"fall": float("inf")}}, "rules.fall makes no sense: inf"),
        ({"charges": {"probe": True}}, "charges.probe makes no sense: True"),
        ({"projects": [{"quota-per-s": 3}]}, r"projects\[0\].name is missing"),
        ({"projects": ["t"]}, r"projects\[0\] makes no sense: 't'"),
        ({"load-info": {"how": "inline", "names": "active"}}, "load-info.names makes no sense: 'active'"),
        ({"discovery": "guess"}, "discovery makes no sense: 'guess'"),
        ({"weight-source": "odd"}, "weight-source makes no sense: 'odd'"),
        ({"zone": 4}, "zone makes no sense: 4"),
    ],
)
def test_parse_json_invalid_setting_is_named(changes: dict[str, object], expected_fault: str) -> None:
    with pytest.raises(api.SettingsError, match=expected_fault):
        platform_settings.parse_json(json.dumps(INFO | changes))


def test_find_faults_returns_all_faults() -> None:
    rows = [
        {"name": "a", "effect": "odd", "give-up": "long", "objective": 0, "streamed": 1},
        7,
        {"effect": "dedup", "give-up": 0},
    ]
    raw: dict[str, object] = {
        "request-classes": rows,
        "group-size": 2.5,
        "charges": 3,
        "zone": 4,
        "kinds": "k",
        "rules": {"cold-share": 1.5, "fall": -1},
        "projects": [{"share": -1}],
    }
    assert set(platform_settings.find_faults(INFO | raw)) == {
        "request-classes[1] makes no sense: 7",
        "request-classes[0].effect makes no sense: 'odd'",
        "request-classes[0].give-up makes no sense: 'long'",
        "request-classes[0].objective makes no sense: 0.0",
        "request-classes[0].streamed makes no sense: 1",
        "request-classes[2].name is missing",
        "request-classes[2].give-up makes no sense: 0.0",
        "group-size makes no sense: 2.5",
        "charges makes no sense: 3",
        "zone makes no sense: 4",
        "kinds makes no sense: 'k'",
        "rules.cold-share makes no sense: 1.5",
        "rules.fall makes no sense: -1",
        "projects[0].name is missing",
        "projects[0].share makes no sense: -1",
    }
    assert platform_settings.find_faults({}) == ["request-classes is missing"]
    assert platform_settings.find_faults(INFO) == []


def test_parse_json_every_setting_is_parsed() -> None:
    raw = INFO | {
        "blend": {"nines": 0.2, "top-nines": 4.0, "slow-end": 0.3, "miss-allowed": 0.02, "whole": 0.5},
        "charges": {"peer": 0.01, "moves": 0.02, "origin": 0.03, "fleet": 0.04, "discovery": 0.05},
        "client-habits": {"marks-retry": True},
        "family-info": {"warm-keys": True, "passes-deadline": True},
        "kinds": ["k"],
        "failure-domains": ["a", "b"],
    }
    raw["limits"] = {
        "conn-idle": 5000.0,
        "streams-per-conn": 7,
        "max-open": 9,
        "cpu-us-per-s": 8000,
        "cpu-us-per-request": 2.5,
        "peers": True,
        "retry-after": True,
        "max-retry-after": 250.0,
    }
    settings = platform_settings.parse_json(json.dumps(raw))
    assert (
        settings.score_weights.nines,
        settings.score_weights.top_nines,
        settings.score_weights.slow_tail,
        settings.score_weights.allowed_miss_rate,
    ) == (
        0.2,
        4.0,
        0.3,
        0.02,
    )
    prices = settings.prices
    assert (prices.peer, prices.moves, prices.origin, prices.fleet, prices.discovery) == (
        0.01,
        0.02,
        0.03,
        0.04,
        0.05,
    )
    assert (
        settings.are_retries_marked
        and settings.has_warm_keys
        and settings.forwards_deadline
        and settings.may_message_peers
    )
    assert settings.backend_kinds == ("k",) and settings.zones == ("a", "b")
    assert (settings.connection_idle_ms, settings.streams_per_connection, settings.max_open_requests) == (
        5000.0,
        7,
        9,
    )
    assert (settings.cpu_us_per_s, settings.cpu_us_per_request, settings.max_retry_after_ms) == (
        8000.0,
        2.5,
        250.0,
    )


def test_parse_json_omitted_settings_have_cautious_defaults() -> None:
    settings = platform_settings.parse_json(json.dumps({"request-classes": INFO["request-classes"]}))
    assert (
        settings.slow_start_initial_fraction < 1
        and settings.slow_start_duration_ms > 0
        and settings.overload_multiple <= 1
    )
    assert (
        settings.classes[0].deduplication_scope is api.DeduplicationScope.CELL
        and settings.classes[0].deduplication_window_ms == 0
    )
    assert not (
        settings.probing_enabled or settings.may_cancel or settings.may_hedge or settings.may_message_peers
    )
    assert settings.max_attempts == 1 and settings.must_poll
