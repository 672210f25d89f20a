"""Conversion between endpoint records, rows and changes of the store."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from balancer import interface as api
from balancer.core.discovery import source_state
from balancer.core.persistence import persisted_state
from balancer.endpoints import EndpointRecord
from balancer.net import clock
from balancer.net.component import PEERS_SOURCE
from balancer.store.engine import Change, Delete, Put

UNKNOWN_SOURCE = "?"
"""Source name of a withdrawal that no source reported."""
MAX_NAME_LENGTH = 256
MAX_CELL = 1 << 61
MAX_LISTING_SOURCES = 16


def wall_clock_ms() -> int:
    """Unix time in whole milliseconds; the clock may jump."""
    return int(clock.wall_ms())


def is_valid_name(name: str) -> bool:
    """Whether the store accepts the name as a key."""
    return 0 < len(name) <= MAX_NAME_LENGTH and "\0" not in name


def persisted_endpoint(
    record: EndpointRecord, sources: Mapping[str, source_state.Source], wall_ms: int
) -> persisted_state.PersistedEndpoint:
    """The row of an endpoint; values outside the row's bounds are clamped."""
    endpoint = record.endpoint
    listing_sources = [
        name for name, source in sources.items() if record.id in source.records and name != PEERS_SOURCE
    ]
    age_ms = 0 if endpoint.cached_age_ms is None else int(endpoint.cached_age_ms)
    return persisted_state.PersistedEndpoint(
        record.address[0],
        record.address[1],
        endpoint.zone[:MAX_NAME_LENGTH],
        max(-MAX_CELL, min(MAX_CELL, endpoint.cell)),
        min(1e9, endpoint.weight),
        endpoint.phase is not api.Phase.UP,
        min(1e15, endpoint.started_at_ms),
        endpoint.kind[:MAX_NAME_LENGTH],
        tuple(listing_sources[:MAX_LISTING_SOURCES]),
        max(0, wall_ms - age_ms),
    )


def without_write_times(row: persisted_state.PersistedEndpoint) -> persisted_state.PersistedEndpoint:
    """The row without the fields that differ from one write to the next, for comparison."""
    return msgspec.structs.replace(row, sequence_number=0, confirmed_at_ms=0)


def restored_record(
    endpoint_id: str,
    row: persisted_state.PersistedEndpoint,
    source_name: str,
    withdrawal: persisted_state.Withdrawal | None,
) -> EndpointRecord:
    """The record that a source had listed; it is draining only for the source that reported the drain."""
    is_draining = row.is_draining and (
        withdrawal is None or withdrawal.is_removed or withdrawal.source in (source_name, UNKNOWN_SOURCE)
    )
    phase = api.Phase.DRAINING if is_draining else api.Phase.UP
    endpoint = api.Endpoint(endpoint_id, row.zone, row.cell, row.weight, phase, row.started_at_ms, row.kind)
    return EndpointRecord(endpoint, (row.host, row.port))


def store_change(key: persisted_state.RowKey, row: persisted_state.PersistedRow | None) -> Change:
    """The store change that writes a row, or deletes it if `row` is None."""
    return Delete(*key) if row is None else Put(*key, msgspec.msgpack.encode(row))
