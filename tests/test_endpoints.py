"""Invalid entries and addresses: an invalid entry does not affect the others."""

from __future__ import annotations

from typing import Any

import pytest

from balancer.endpoints import parse_address, parse_endpoint_list

GOOD = {"id": "good", "host_port": "127.0.0.1:1", "phase": "in_service"}


@pytest.mark.parametrize("row", [{"size": 10**400}, {"up_since_ms": 10**400}, {"size": -(10**400)}])
def test_parse_endpoint_list_number_too_large_invalidates_only_its_entry(row: dict[str, Any]) -> None:
    endpoint_list = parse_endpoint_list(
        {"revision": 1, "complete": True, "members": [GOOD, GOOD | {"id": "odd"} | row]}
    )
    assert [record.id for record in endpoint_list.records] == ["good"]
    assert [fault.key for fault in endpoint_list.invalid_entries] == ["odd"]


@pytest.mark.parametrize("scope", ["lo\n2026 ERROR forged", "\x1b[31m", "\0", "x" * 300, "a b", "ä"])
def test_parse_address_interface_must_be_a_plain_name(scope: str) -> None:
    """Any other text could forge a log line, or would make the interface lookup of a connection fail."""
    assert parse_address("[fe80::1%eth0.1]:80") == ("fe80::1%eth0.1", 80)
    with pytest.raises(ValueError, match="interface"):
        parse_address(f"[fe80::1%{scope}]:80")
