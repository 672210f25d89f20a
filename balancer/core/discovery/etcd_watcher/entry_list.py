"""Builds endpoint lists for the merger from updates of etcd keys, and logs mass removals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from balancer import interface as api
from balancer.core.discovery.etcd_watcher import limits
from balancer.core.discovery.etcd_watcher.messages import EntryUpdate
from balancer.core.discovery.etcd_watcher.state import WatcherState
from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry


def key_name(entry: EntryUpdate) -> str:
    """The name that identifies the entry's key."""
    match entry:
        case str():
            return entry
        case InvalidEntry():
            return entry.key
        case _:
            return entry.id


def build_endpoint_list(revision: int, is_complete: bool, entries: Sequence[EntryUpdate]) -> EndpointList:
    """Combine entries, oldest first, into a list. For each id the last entry takes effect.

    An invalid entry keeps the record before it, which becomes draining if the entry is draining.
    """
    records: dict[str, EndpointRecord] = {}
    removed_ids: dict[str, None] = {}
    invalid_entries: dict[str, InvalidEntry] = {}
    for entry in entries:
        match entry:
            case EndpointRecord():
                removed_ids.pop(entry.id, None)
                invalid_entries.pop(entry.id, None)
                records[entry.id] = entry
            case InvalidEntry():
                invalid_entries[entry.key] = entry
                if entry.is_draining and (last_record := records.get(entry.key)) is not None:
                    draining = replace(last_record.endpoint, phase=api.Phase.DRAINING)
                    records[entry.key] = replace(last_record, endpoint=draining)
            case _:
                records.pop(entry, None)
                invalid_entries.pop(entry, None)
                removed_ids[entry] = None
    return EndpointList(
        revision,
        is_complete,
        tuple(records.values()),
        () if is_complete else tuple(removed_ids),
        tuple(invalid_entries.values()),
    )


def log_mass_removal(
    state: WatcherState,
    count_before: int,
    already_removed_count: int,
    newly_removed_count: int,
    revision: int,
) -> None:
    """Log once that more than half of the endpoints were removed at once; the removal is still applied.

    An outage of etcd may have expired all leases, but operators may also have removed the endpoints, and
    that has to take effect.
    """
    removed_count = already_removed_count + newly_removed_count
    min_removed_count = max(limits.MIN_MASS_REMOVAL_ENDPOINTS, count_before // 2 + 1)
    if already_removed_count < min_removed_count <= removed_count:
        text = f"{removed_count} of {count_before} endpoints removed at once by revision {revision}; applied"
        state.write_log("warning", text)
