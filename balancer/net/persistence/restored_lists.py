"""Builds the persisted endpoint lists of the sources for the merger."""

from __future__ import annotations

from typing import NamedTuple

from balancer.core.discovery import endpoint_merger, source_state
from balancer.core.persistence import restoration
from balancer.core.persistence.persisted_state import SourcePosition
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net.persistence import rows


class RestoredSnapshot(NamedTuple):
    """A restored list as an event for the merger. `is_persisted_list`: it is the complete persisted list."""

    event: endpoint_merger.EndpointsListed
    is_persisted_list: bool


class RestoredLists:
    """One list per source, built off the event loop because it may be long.

    A snapshot is made only if the source itself has not yet listed as much; it is requested once per source.
    """

    def __init__(self, restored: restoration.RestoredState) -> None:
        self.restored = restored
        self._records: dict[str, list[EndpointRecord]] = {name: [] for name in restored.sources}
        self._max_age_ms: dict[str, float] = {}
        for key, restored_endpoint in restored.endpoints.items():
            withdrawal = restored.withdrawals.get(key)
            for name in self._records.keys() & restored_endpoint.endpoint.sources:
                self._records[name].append(
                    rows.restored_record(key, restored_endpoint.endpoint, name, withdrawal)
                )
                self._max_age_ms[name] = max(self._max_age_ms.get(name, 0.0), restored_endpoint.age_ms)

    def clear(self) -> None:
        """Release the records."""
        self._records.clear()

    def snapshot(
        self, position: SourcePosition, source: source_state.Source, has_other_sources: bool
    ) -> RestoredSnapshot | None:
        """The list for the merger, or None if the source has already listed as much."""
        identity, revision = position.identity, position.revision
        if source.revision is None:
            # The source may have changed its identity since the list was persisted.
            if source.identity is not None and source.identity != identity:
                identity, revision = source.identity, -1
        elif source.identity != identity or revision <= source.revision:
            return self._without_withdrawn(source, identity, revision)
        removed_ids = self._removed_ids(source.name) if has_other_sources else ()
        records = tuple(self._records.pop(source.name))
        if not records and (not removed_ids or self._has_expired_endpoints(source.name)):
            return self._without_withdrawn(source, identity, revision)
        endpoint_list = EndpointList(revision, True, records, removed_ids)
        age_ms = self._max_age_ms.get(source.name, 0.0)
        event = endpoint_merger.EndpointsListed(source.name, identity, endpoint_list, True, age_ms)
        return RestoredSnapshot(event, True)

    def _removed_ids(self, source_name: str) -> tuple[str, ...]:
        return tuple(
            key
            for key, row in self.restored.withdrawals.items()
            if row.is_removed and row.source == source_name
        )

    def _has_expired_endpoints(self, source_name: str) -> bool:
        """Whether the source listed endpoints that are not restored because they have expired."""
        return any(
            source_name in row.sources and key not in self.restored.endpoints
            for key, row in self.restored.persisted_endpoints().items()
        )

    def _without_withdrawn(
        self, source: source_state.Source, identity: str, revision: int
    ) -> RestoredSnapshot | None:
        """The source's list in the merger without the endpoints that were withdrawn later.

        Used if the persisted list cannot be used; None if the merger's list needs no change.
        """
        known_identity = source.identity or identity
        if not known_identity or identity not in ("", known_identity):
            return None
        newer_list = None
        if source.revision is not None and revision > source.revision:
            endpoints = self.restored.persisted_endpoints()
            ids = {key for key, row in endpoints.items() if source.name in row.sources}
            newer_list = restoration.ListedIds(revision, ids)
        withdrawals = self.restored.withdrawals
        remaining = restoration.exclude_withdrawn(
            source.records, source.revision, withdrawals, source.name, newer_list
        )
        if remaining is None:
            return None
        event = endpoint_merger.EndpointsListed(source.name, known_identity, remaining, True)
        return RestoredSnapshot(event, False)
