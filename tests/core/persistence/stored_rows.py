"""Persisted rows and their encoding, for the persistence tests."""

from __future__ import annotations

from typing import Any

import msgspec

from balancer.core.persistence.persisted_state import NodeIdentity, PersistedEndpoint, PersistedRow

IDENTITY = NodeIdentity("id-1", "n0", 3, 0)
NOW_MS = 1_000_000_000_000
"""Wall clock time of the tests."""
DAY_MS = 86_400_000
Tables = dict[str, dict[str, bytes]]


def endpoint_row(**fields: Any) -> PersistedEndpoint:
    """Return an endpoint of the source `platform`, confirmed at `NOW_MS`."""
    return PersistedEndpoint("127.0.0.1", 80, sources=("platform",), confirmed_at_ms=NOW_MS, **fields)


def encoded_tables(rows: dict[tuple[str, str], PersistedRow]) -> Tables:
    """Return the rows as a store returns them."""
    tables: Tables = {}
    for (table, key), row in rows.items():
        tables.setdefault(table, {})[key] = msgspec.msgpack.encode(row)
    return tables
