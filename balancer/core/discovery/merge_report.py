"""Builds the operators' report of the merge: each source's list, and the view. Imported on first use."""

from __future__ import annotations

from typing import TypedDict

from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.source_state import Source


class SourceRow(TypedDict):
    """A source, with the key names of `balancer members --json`."""

    name: str
    role: str
    state: str
    reason: str
    identity: str | None
    revision: int | None
    members: int
    removed: int
    unreadable: int
    not_applied: int
    silent_for_ms: int | None


class EndpointRow(TypedDict):
    """An endpoint; `sources` holds the phase that each source lists, or "removed"."""

    id: str
    address: str
    phase: str  # in the view, or "shadowed" or "gone"
    zone: str
    weight: float
    started_at_ms: float
    sources: dict[str, str]


class InvalidEntryRow(TypedDict):
    """An entry that could not be parsed."""

    source: str
    key: str
    reason: str


class MergeReport(TypedDict):
    """The report of the merge."""

    revision: int
    sources: list[SourceRow]
    members: list[EndpointRow]
    faults: list[InvalidEntryRow]


def build_report(merger: EndpointMerger) -> MergeReport:
    """Build the report as plain values, for a table or JSON."""
    sources = merger.sources.values()
    endpoint_ids = dict.fromkeys(merger.view)
    for source in sources:
        endpoint_ids.update(dict.fromkeys(source.records))
    faults: list[InvalidEntryRow] = [
        {"source": source.name, "key": key, "reason": entry.reason}
        for source in sources
        for key, entry in source.invalid_entries.items()
    ]
    return {
        "revision": merger.view_revision,
        "sources": [_source_row(source, merger.now_ms) for source in sources],
        "members": [_endpoint_row(merger, endpoint_id) for endpoint_id in endpoint_ids],
        "faults": faults,
    }


def _source_row(source: Source, now_ms: float) -> SourceRow:
    last_contact_ms = source.last_contact_ms
    return {
        "name": source.name,
        "role": source.role.value,
        "state": source.state.value,
        "reason": source.state_reason,
        "identity": source.identity,
        "revision": source.revision,
        "members": len(source.records),
        "removed": len(source.removed_ids),
        "unreadable": source.invalid_entry_count,
        "not_applied": source.stale_list_count,
        "silent_for_ms": None if last_contact_ms is None else round(now_ms - last_contact_ms),
    }


def _endpoint_row(merger: EndpointMerger, endpoint_id: str) -> EndpointRow:
    listed = [one.records[endpoint_id] for one in merger.sources.values() if endpoint_id in one.records]
    in_view = merger.view.get(endpoint_id)
    if endpoint_id in merger.merged_view.shadowed_ids:
        phase = "shadowed"
    else:
        phase = "gone" if in_view is None else in_view.endpoint.phase.value
    record = in_view or listed[0]
    host, port = record.address
    return {
        "id": endpoint_id,
        "address": f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        "phase": phase,
        "zone": record.endpoint.zone,
        "weight": record.endpoint.weight,
        "started_at_ms": record.endpoint.started_at_ms,
        "sources": _phase_by_source(merger, endpoint_id),
    }


def _phase_by_source(merger: EndpointMerger, endpoint_id: str) -> dict[str, str]:
    phases = {}
    for source in merger.sources.values():
        if endpoint_id in source.records:
            phases[source.name] = source.records[endpoint_id].endpoint.phase.value
        elif endpoint_id in source.removed_ids:
            phases[source.name] = "removed"
    return phases
