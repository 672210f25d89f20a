"""Entries as they should not be: each costs itself and nothing beside it."""

from __future__ import annotations

from typing import Any

import pytest

from dillport.members import listing

GOOD = {"id": "good", "host_port": "127.0.0.1:1", "phase": "in_service"}


@pytest.mark.parametrize("row", [{"size": 10**400}, {"up_since_ms": 10**400}, {"size": -(10**400)}])
def test_a_number_too_large_for_a_float_costs_its_entry_alone(row: dict[str, Any]) -> None:
    got = listing({"revision": 1, "complete": True, "members": [GOOD, GOOD | {"id": "odd"} | row]})
    assert [one.id for one in got.members] == ["good"]
    assert [fault.key for fault in got.faults] == ["odd"]
