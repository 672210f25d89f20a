"""Finds the endpoints of the merged view whose persisted rows have changed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from balancer import interface as api
from balancer.core.discovery import endpoint_merger, source_state
from balancer.core.persistence import restoration, write_behind
from balancer.core.persistence.persisted_state import PersistedEndpoint
from balancer.net.component import PEERS_SOURCE, RunningNode
from balancer.net.persistence import rows

log = logging.getLogger(__name__)

ENDPOINTS_PER_TURN = 250
"""Endpoints examined in one turn of the event loop."""
MAX_ENDPOINTS_CHECKED_EACH_CHANGE = 1_000
"""Up to this many endpoints of a source, each change checks that all are persisted: 0.1 ms."""


class Position(NamedTuple):
    """How far a source is persisted: its identity and the last revision that is contained."""

    identity: str
    revision: int


NO_POSITION = Position("", -1)
"""Makes the next start request a snapshot from the source."""


class _Changes(NamedTuple):
    endpoints: list[tuple[str, PersistedEndpoint]]
    removed_ids: list[str]


class ViewScanner:
    """Queues the ids that the merger changed, and sends `EndpointsChanged` for those whose row differs.

    Removed and draining endpoints go first; `ENDPOINTS_PER_TURN` are examined in one turn of the event loop.
    Memory is bounded by one id and one row per endpoint.
    """

    def __init__(self, running: RunningNode, handle: Callable[[write_behind.Event], None]) -> None:
        """`handle` receives the events for write-behind."""
        self.running, self.fleet, self.handle = running, running.endpoint_view, handle
        self.persisted: dict[str, PersistedEndpoint] = {}  # without sequence numbers and write times
        self.changed_ids: dict[str, str] = {}  # with the source of the change
        self.withdrawn_ids: dict[str, str] = {}  # removed or draining, with the source
        self.positions: dict[str, Position] = {}
        self.is_closed = False
        self._next_position_check_ms: dict[str, float] = {}
        self._last_source_name = rows.UNKNOWN_SOURCE
        self._is_scan_scheduled = False
        self._has_warned_of_invalid_name = False
        self._loop = asyncio.get_running_loop()

    def load(self, restored: restoration.RestoredState) -> None:
        """Load the rows of the store; called off the event loop, before any other method."""
        endpoints = restored.persisted_endpoints()
        endpoints |= {key: endpoint.endpoint for key, endpoint in restored.endpoints.items()}
        self.persisted = {key: rows.without_write_times(row) for key, row in endpoints.items()}

    def queue_differences(self, restored: restoration.RestoredState | None) -> None:
        """Queue the changes since the rows were written.

        `restored` is None if the rows do not stem from this node's previous run.
        """
        merger = self.fleet.merger
        for endpoint_id in sorted(self.persisted.keys() - merger.view.keys()):
            source_name = rows.UNKNOWN_SOURCE
            listing_sources = self.persisted[endpoint_id].sources
            if listing_sources and (restored is None or endpoint_id in restored.endpoints):
                source = merger.sources.get(listing_sources[0])
                if source is not None and source.state is not source_state.SourceState.NO_CONTACT_YET:
                    source_name = source.name
            self.withdrawn_ids[endpoint_id] = source_name
        self.changed_ids |= dict.fromkeys(merger.view, rows.UNKNOWN_SOURCE)
        for source in reversed(merger.sources.values()):  # the first source that lists it takes precedence
            self.changed_ids |= dict.fromkeys(source.records.keys() & merger.view.keys(), source.name)
        self._schedule_scan()

    def on_merge(self, event: endpoint_merger.Event, actions: list[endpoint_merger.Action]) -> None:
        """Merger listener: queue the ids of its changes, or confirm the source of the event."""
        if isinstance(event, endpoint_merger.EndpointsListed):
            self._last_source_name = rows.UNKNOWN_SOURCE if event.source == PEERS_SOURCE else event.source
        for action in actions:
            if isinstance(action, endpoint_merger.ApplyEndpoints):
                self._queue_changes(action)
        if self.withdrawn_ids or self.changed_ids:
            if not self._is_scan_scheduled:
                self._schedule_scan()
            return
        match event:
            case endpoint_merger.NextSliceDue():
                self._confirm_sources()
            case endpoint_merger.EndpointsListed() | endpoint_merger.SourceConfirmedCurrent():
                if (source := self.fleet.merger.sources.get(event.source)) is not None:
                    self._confirm_source(source)

    def _queue_changes(self, action: endpoint_merger.ApplyEndpoints) -> None:
        for record in action.removed_records:
            self.withdrawn_ids[record.id] = self._last_source_name
        up_ids, draining_ids = list[str](), list[str]()
        for record in action.records:
            (up_ids if record.endpoint.phase is api.Phase.UP else draining_ids).append(record.endpoint.id)
        self.withdrawn_ids |= dict.fromkeys(draining_ids, self._last_source_name)
        self.changed_ids |= dict.fromkeys(up_ids, self._last_source_name)

    def _confirm_sources(self) -> None:
        for source in self.fleet.merger.sources.values():
            self._confirm_source(source)

    def _confirm_source(self, source: source_state.Source) -> None:
        """Send `SourceConfirmed` if the source is in sync and its complete list was passed on."""
        in_sync = source.state is source_state.SourceState.IN_SYNC
        if in_sync and not source.has_regressed and self._is_fully_scanned(source):
            position = self._position(source.name)
            self.handle(write_behind.SourceConfirmed(source.name, *position, rows.wall_clock_ms()))

    def _schedule_scan(self) -> None:
        """Scan now, or in the next turn if there are many ids, as the merger has used most of this turn."""
        if self.withdrawn_ids or len(self.changed_ids) <= ENDPOINTS_PER_TURN:
            self.scan()
        else:
            self._is_scan_scheduled = True
            self._loop.call_soon(self.scan)

    def scan(self) -> None:
        """Examine the first ids of the queues, and the others in later turns of the event loop."""
        self._is_scan_scheduled = False
        if self.is_closed:
            return
        source_names = self._take_ids()
        has_more = bool(self.withdrawn_ids or self.changed_ids)
        wall_ms = rows.wall_clock_ms()
        changes_by_source = self._changes(source_names, wall_ms)
        for source_name, changes in changes_by_source.items():
            position = self._position(source_name, bool(changes.removed_ids))
            endpoints, removed_ids = tuple(changes.endpoints), tuple(changes.removed_ids)
            self.handle(
                write_behind.EndpointsChanged(source_name, *position, wall_ms, endpoints, removed_ids)
            )
        if has_more:
            self._is_scan_scheduled = True
            self._loop.call_soon(self.scan)
        elif not changes_by_source:
            self._confirm_sources()

    def _take_ids(self) -> dict[str, str]:
        """Dequeue the next ids with their source, withdrawn endpoints first."""
        taken: dict[str, str] = {}
        for queue in (self.withdrawn_ids, self.changed_ids):
            while queue and len(taken) < ENDPOINTS_PER_TURN:
                endpoint_id = next(iter(queue))
                taken[endpoint_id] = queue.pop(endpoint_id)
        return taken

    def _changes(self, source_names: dict[str, str], wall_ms: int) -> dict[str, _Changes]:
        """Compare the view with the persisted rows, and record the changed rows as persisted."""
        changes_by_source: dict[str, _Changes] = {}
        merger = self.fleet.merger
        for endpoint_id, source_name in source_names.items():
            record = merger.view.get(endpoint_id)
            if record is None:
                if self.persisted.pop(endpoint_id, None) is not None:
                    changes = changes_by_source.setdefault(source_name, _Changes([], []))
                    changes.removed_ids.append(endpoint_id)
                continue
            row = rows.persisted_endpoint(record, merger.sources, wall_ms)
            if record.endpoint.cached_age_ms is not None and not row.is_draining:
                continue  # restored, and not yet confirmed by a source
            compared = rows.without_write_times(row)
            if self.persisted.get(endpoint_id) == compared or not self.check_name(endpoint_id):
                continue
            self.persisted[endpoint_id] = compared
            changes = changes_by_source.setdefault(source_name, _Changes([], []))
            changes.endpoints.append((endpoint_id, row))
        return changes_by_source

    def check_name(self, name: str) -> bool:
        """Whether the store accepts the name; the first rejected name is logged."""
        is_valid = rows.is_valid_name(name)
        if not is_valid and not self._has_warned_of_invalid_name:
            self._has_warned_of_invalid_name = True
            limit = rows.MAX_NAME_LENGTH
            log.warning("state: invalid name: %r is not persisted: 1 to %d characters", name[:80], limit)
        return is_valid

    def _is_fully_scanned(self, source: source_state.Source) -> bool:
        """Whether the view contains the source's complete list and all of it was examined."""
        has_pending = source.pending_records or self.withdrawn_ids or self.changed_ids
        return source.revision is not None and not has_pending and not source.needs_snapshot

    def _position(self, source_name: str, has_removals: bool = False) -> Position:
        """The position to persist for a source, never beyond the changes that are passed on with it.

        A source with endpoints that are not persisted (invalid names, or removed by another source) has no
        position, so the next start needs a snapshot. With many endpoints this is checked at intervals (0.1 ms
        per endpoint), because comparing 10,000 at each change would stall the event loop; until then the
        position is an older revision. With removals it is always checked: a node that restored an older
        revision would accept an older list that still contains the removed endpoints.
        """
        source, now_ms = self.fleet.merger.sources.get(source_name), self.running.node.now()
        if source is None or not self._is_fully_scanned(source):
            return self.positions.get(source_name, NO_POSITION)
        if has_removals or now_ms >= self._next_position_check_ms.get(source_name, 0.0):
            count = len(source.records)
            interval_ms = count / 10 if count > MAX_ENDPOINTS_CHECKED_EACH_CHANGE else 0
            self._next_position_check_ms[source_name] = now_ms + interval_ms
            revision = -1 if source.revision is None else source.revision
            is_complete = self.persisted.keys() >= source.records.keys()
            position = Position(source.identity or "", revision) if is_complete else NO_POSITION
            self.positions[source_name] = position
        return self.positions.get(source_name, NO_POSITION)
