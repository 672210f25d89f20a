"""The endpoint lists of the sources as they were persisted, for the merger."""

from __future__ import annotations

from typing import NamedTuple

from balancer.core.discovery import endpoint_merger, source_state
from balancer.core.persistence import restoration
from balancer.core.persistence.persisted_state import SourcePosition
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.net.persistence import rows


class RestoredSnapshot(NamedTuple):
    """A restored list as an event for the merger. `is_persisted_list`: it is all that was persisted."""

    event: endpoint_merger.EndpointsListed
    is_persisted_list: bool


class RestoredLists:
    """A list a source, built off the event loop: it may be long.

    A snapshot is made where the source itself has not listed as much by now; each source is asked for once.
    """

    def __init__(self, restored: restoration.RestoredState) -> None:
        self.restored = restored
        self._records: dict[str, list[EndpointRecord]] = {name: [] for name in restored.sources}
        self._max_age_ms: dict[str, float] = {}
        for key, found in restored.endpoints.items():
            withdrawal = restored.withdrawals.get(key)
            for name in self._records.keys() & found.endpoint.sources:
                self._records[name].append(rows.restored_record(key, found.endpoint, name, withdrawal))
                self._max_age_ms[name] = max(self._max_age_ms.get(name, 0.0), found.age_ms)

    def clear(self) -> None:
        """Let go of the records."""
        self._records.clear()

    def snapshot(
        self, position: SourcePosition, source: source_state.Source, has_other_sources: bool
    ) -> RestoredSnapshot | None:
        """The list for the merger, or None where the source has listed as much by now."""
        identity, revision = position.identity, position.revision
        if source.revision is None:
            if source.identity is not None and source.identity != identity:  # it has moved since
                identity, revision = source.identity, -1
        elif source.identity != identity or revision <= source.revision:
            return self._without_withdrawn(source, identity, revision)
        removed_ids = self._removed_ids(source.name) if has_other_sources else ()
        records = tuple(self._records.pop(source.name))
        if not records and (not removed_ids or self._has_expired_endpoints(source.name)):
            return self._without_withdrawn(source, identity, revision)
        listed = EndpointList(revision, True, records, removed_ids)
        age_ms = self._max_age_ms.get(source.name, 0.0)
        event = endpoint_merger.EndpointsListed(source.name, identity, listed, True, age_ms)
        return RestoredSnapshot(event, True)

    def _removed_ids(self, source_name: str) -> tuple[str, ...]:
        return tuple(
            key
            for key, row in self.restored.withdrawals.items()
            if row.is_removed and row.source == source_name
        )

    def _has_expired_endpoints(self, source_name: str) -> bool:
        """Whether the source listed endpoints that are not restored."""
        return any(
            source_name in row.sources and key not in self.restored.endpoints
            for key, row in self.restored.persisted_endpoints().items()
        )

    def _without_withdrawn(
        self, source: source_state.Source, identity: str, revision: int
    ) -> RestoredSnapshot | None:
        """The list that the source has in the merger, less the endpoints that were withdrawn later.

        For where the persisted list cannot be used.
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
