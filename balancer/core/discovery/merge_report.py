"""The merge as operators see it: what each source says of whom, and the view. Loaded when somebody asks."""

from __future__ import annotations

from typing import Any

from balancer.core.discovery.endpoint_merger import Membership


def report(membership: Membership) -> dict[str, Any]:
    """What each source says of whom, and the view; plain values for a table or JSON."""
    sources = [
        {
            "name": s.name,
            "role": s.role.value,
            "state": s.state.value,
            "reason": s.reason,
            "identity": s.identity,
            "revision": s.revision,
            "members": len(s.members),
            "removed": len(s.removed),
            "unreadable": s.unreadable,
            "not_applied": s.old,
            "silent_for_ms": None if s.heard_ms is None else round(membership.now_ms - s.heard_ms),
        }
        for s in membership.sources.values()
    ]
    names = dict.fromkeys(membership.view)
    for s in membership.sources.values():
        names.update(dict.fromkeys(s.members))
    faults = [
        {"source": s.name, "key": key, "reason": fault.reason}
        for s in membership.sources.values()
        for key, fault in s.faults.items()
    ]
    members = [_row(membership, name) for name in names]
    return {"revision": membership.revision, "sources": sources, "members": members, "faults": faults}


def _row(membership: Membership, name: str) -> dict[str, Any]:
    says = {}
    for s in membership.sources.values():
        if name in s.members:
            says[s.name] = s.members[name].endpoint.phase.value
        elif name in s.removed:
            says[s.name] = "removed"
    held = membership.view.get(name)
    phase = (
        "shadowed" if name in membership.shadowed else "gone" if held is None else held.endpoint.phase.value
    )
    shown = held or next(s.members[name] for s in membership.sources.values() if name in s.members)
    host, port = shown.address
    return {
        "id": name,
        "address": f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        "phase": phase,
        "zone": shown.endpoint.zone,
        "weight": shown.endpoint.weight,
        "started_at_ms": shown.endpoint.started_at_ms,
        "sources": says,
    }
