"""The merge as operators see it: what each source says of whom, and the view. Loaded when somebody asks."""

from __future__ import annotations

from typing import Any

from balancer.core.discovery.endpoint_merger import EndpointMerger


def build_report(merger: EndpointMerger) -> dict[str, Any]:
    """What each source says of whom, and the view; plain values for a table or JSON."""
    sources = [
        {
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
            "silent_for_ms": None
            if source.last_contact_ms is None
            else round(merger.now_ms - source.last_contact_ms),
        }
        for source in merger.sources.values()
    ]
    names = dict.fromkeys(merger.view)
    for source in merger.sources.values():
        names.update(dict.fromkeys(source.records))
    faults = [
        {"source": source.name, "key": key, "reason": entry.reason}
        for source in merger.sources.values()
        for key, entry in source.invalid_entries.items()
    ]
    members = [_endpoint_row(merger, name) for name in names]
    return {"revision": merger.view_revision, "sources": sources, "members": members, "faults": faults}


def _endpoint_row(merger: EndpointMerger, name: str) -> dict[str, Any]:
    phase_by_source = {}
    for source in merger.sources.values():
        if name in source.records:
            phase_by_source[source.name] = source.records[name].endpoint.phase.value
        elif name in source.removed_ids:
            phase_by_source[source.name] = "removed"
    view_record = merger.view.get(name)
    phase = (
        "shadowed"
        if name in merger.shadowed_ids
        else "gone"
        if view_record is None
        else view_record.endpoint.phase.value
    )
    record = view_record or next(
        source.records[name] for source in merger.sources.values() if name in source.records
    )
    host, port = record.address
    return {
        "id": name,
        "address": f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        "phase": phase,
        "zone": record.endpoint.zone,
        "weight": record.endpoint.weight,
        "started_at_ms": record.endpoint.started_at_ms,
        "sources": phase_by_source,
    }
