"""Entries as they should not be: each costs itself and nothing beside it."""

from __future__ import annotations

from typing import Any

import pytest

from balancer.endpoints import parse_address, parse_endpoint_list

GOOD = {"id": "good", "host_port": "127.0.0.1:1", "phase": "in_service"}


@pytest.mark.parametrize("row", [{"size": 10**400}, {"up_since_ms": 10**400}, {"size": -(10**400)}])
def test_a_number_too_large_for_a_float_costs_its_entry_alone(row: dict[str, Any]) -> None:
    got = parse_endpoint_list(
        {"revision": 1, "complete": True, "members": [GOOD, GOOD | {"id": "odd"} | row]}
    )
    assert [one.id for one in got.records] == ["good"]
    assert [fault.key for fault in got.invalid_entries] == ["odd"]


@pytest.mark.parametrize("scope", ["lo\n2026 ERROR forged", "\x1b[31m", "\0", "x" * 300, "a b", "ä"])
def test_an_interface_behind_an_address_is_a_plain_name(scope: str) -> None:
    """Guards the log against a forged line, and a connection against a name that no look-up takes."""
    assert parse_address("[fe80::1%eth0.1]:80") == ("fe80::1%eth0.1", 80)
    with pytest.raises(ValueError, match="interface"):
        parse_address(f"[fe80::1%{scope}]:80")
