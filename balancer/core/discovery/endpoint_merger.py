"""Merges the endpoint lists of several discovery sources into one view that never moves backwards.

Each source has its own revision order: an identity, and revisions that are ordered within that identity
(see `source_state`). A list, even a snapshot, is applied only if it is newer than the last revision seen in
that order. A snapshot of equal revision is also applied after an update that could not be parsed, and for
sources that may split the changes of one revision over several lists. A new identity starts a new order,
and only a snapshot can start it.

`merged_view` implements the precedence between sources, `snapshot_slices` applies large lists over several
turns of the event loop, `merge_log` formats the log lines, and `merge_report` builds the operators' report.

A *cached* list comes from `known` in the configuration or was persisted by an earlier process
(`EndpointsListed.is_cached`). Its records are in the view with their age until the source lists them, or
shows that nothing has changed since. In the latter case the source confirms all records at once. The revision
of a cached list counts as seen, so the source cannot restore an older view.

`EndpointMerger.handle` takes an event and the clock time and returns actions. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from balancer.core.discovery import merge_log, snapshot_slices
from balancer.core.discovery.merged_view import Changes, MergedView
from balancer.core.discovery.source_state import Source, SourceState, with_cached_age
from balancer.endpoints import EndpointList, EndpointRecord, InvalidEntry
from balancer.interface import EndpointUpdateKind, Phase

MAX_CACHED_AGE_MS = 365 * 86_400_000.0  # a wrong clock may yield any age


# --- events


@dataclass(slots=True, frozen=True)
class EndpointsListed:
    """A source sent a snapshot or incremental changes, whose revision belongs to the order of `identity`."""

    source: str
    identity: str
    endpoint_list: EndpointList
    is_cached: bool = False  # from the configuration or persisted by an earlier process
    cached_age_ms: float = 0.0  # of a cached list: time since the source sent it, 0 if unknown
    is_from_watch: bool = False  # a watch is in order; a poll's answer may arrive after newer events


@dataclass(slots=True, frozen=True)
class SourceConfirmedCurrent:
    """A source is reachable and has shown that its last list is current."""

    source: str


@dataclass(slots=True, frozen=True)
class UpdateUnreadable:
    """An update could not be parsed at all, so its changes are lost."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceLost:
    """A source is unreachable, or cannot show that its list is current."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceRejected:
    """A source answers but must not be used: its revision regressed permanently, or it denies access."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceIdentityChanged:
    """A source was replaced by another one: a snapshot has to start its new revision order."""

    source: str
    identity: str


@dataclass(slots=True, frozen=True)
class SourcesConfigured:
    """The operators changed the configured sources, given in order of precedence.

    A source that is no longer configured is treated as if it had never listed anything. A source that is
    still configured keeps everything it has listed.
    """

    sources: tuple[Source, ...]


@dataclass(slots=True, frozen=True)
class NextSliceDue:
    """The turn of the event loop requested by `ScheduleNextSlice` has started."""


SourceEvent = (
    EndpointsListed
    | SourceConfirmedCurrent
    | UpdateUnreadable
    | SourceLost
    | SourceRejected
    | SourceIdentityChanged
)
Event = SourceEvent | SourcesConfigured | NextSliceDue

# --- actions


@dataclass(slots=True, frozen=True)
class ApplyEndpoints:
    """Apply changes to the view.

    `records` are up or draining; `removed_records` are the last records of endpoints that left the view.
    `revision` counts the changes of the view and is unrelated to the revisions of the sources.
    """

    kind: EndpointUpdateKind
    records: tuple[EndpointRecord, ...]
    removed_records: tuple[EndpointRecord, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class ScheduleNextSlice:
    """Send `NextSliceDue` in the next turn of the event loop, because part of a list is still pending."""


Action = ApplyEndpoints | ScheduleNextSlice | merge_log.WriteLog


def _sources_by_name(sources: Sequence[Source]) -> dict[str, Source]:
    by_name = {source.name: source for source in sources}
    if len(by_name) != len(sources):
        raise ValueError(f"two sources have the same name: {[source.name for source in sources]}")
    return by_name


class EndpointMerger:
    """Merges the lists of `sources`, which are given in order of precedence."""

    def __init__(self, sources: Sequence[Source]) -> None:
        self.sources = _sources_by_name(sources)
        self.merged_view = MergedView()
        self.view_revision = 0
        self.now_ms = 0.0
        self._slices = snapshot_slices.SliceProgress()
        self._actions: list[Action] = []

    @property
    def view(self) -> dict[str, EndpointRecord]:
        """The endpoints in the view, up or draining, by id."""
        return self.merged_view.records

    def watch_revision(self, name: str) -> int | None:
        """The revision from which to watch a source, or None if a snapshot is needed."""
        source = self.sources[name]
        return source.revision if source.accepts_incremental else None

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event at the clock time `now_ms`; returns the actions to carry out."""
        self.now_ms, self._actions = now_ms, []
        match event:
            case NextSliceDue():
                self._apply_next_slice()
            case SourcesConfigured():
                self._configure_sources(_sources_by_name(event.sources))
            case _:
                if (source := self.sources.get(event.source)) is not None:
                    self._handle_source_event(source, event)
        return self._actions

    def _handle_source_event(self, source: Source, event: SourceEvent) -> None:
        match event:
            case EndpointsListed():
                self._handle_list(source, event)
            case SourceConfirmedCurrent():
                self._confirm_current(source)
            case UpdateUnreadable():
                source.needs_snapshot = True
                source.state, source.state_reason = SourceState.SYNCING, event.reason
            case SourceLost():
                self._mark_unavailable(source, SourceState.UNREACHABLE, event.reason)
            case SourceRejected():
                self._mark_unavailable(source, SourceState.REJECTED, event.reason)
            case SourceIdentityChanged() if source.identity != event.identity:
                source.reset_revision_order(event.identity)

    def _configure_sources(self, configured: dict[str, Source]) -> None:
        previous = self.sources
        self.sources = {name: previous.get(name, source) for name, source in configured.items()}
        for name, source in configured.items():
            self.sources[name].configure(source)
        touched_ids = {*self.view, *self.merged_view.shadowed_ids}
        for source in previous.values():
            touched_ids |= source.records.keys() | source.removed_ids.keys()
        self._update_view(sorted(touched_ids))

    # --- the revision order of each source

    def _handle_list(self, source: Source, event: EndpointsListed) -> None:
        source.last_contact_ms = self.now_ms
        if event.identity != source.identity:
            if not event.endpoint_list.is_complete:
                self._reject_list(source, "incremental changes of an identity that has no snapshot yet")
                return
            if source.identity is not None:
                self._actions.append(merge_log.revision_order_started(source, event.identity))
            source.reset_revision_order(event.identity)
        if event.endpoint_list.is_complete:
            self._handle_snapshot(source, event)
        else:
            self._handle_incremental(source, event.endpoint_list)

    def _handle_snapshot(self, source: Source, event: EndpointsListed) -> None:
        revision = event.endpoint_list.revision
        if source.revision is not None and revision < source.revision:
            self._reject_older_snapshot(source, event)
        elif revision != source.revision or source.needs_snapshot or source.has_partial_revisions:
            # A snapshot of equal revision is applied if an update, or a part of one, may have been lost.
            if event.is_cached:
                self._apply_cached_snapshot(source, event)
            else:
                self._apply_snapshot(source, event.endpoint_list)
        else:
            self._mark_in_sync(source)
            self._update_view([])
            self._confirm_cached_records(source)

    def _reject_older_snapshot(self, source: Source, event: EndpointsListed) -> None:
        source.stale_list_count += 1
        if not event.is_from_watch and source.state is SourceState.IN_SYNC:
            return  # a poll's answer that arrived after newer events of the watch
        reason = f"its snapshot has revision {event.endpoint_list.revision}, older than {source.revision}"
        self._mark_unavailable(source, SourceState.REJECTED, reason)
        source.has_regressed = True

    def _handle_incremental(self, source: Source, endpoint_list: EndpointList) -> None:
        revision = endpoint_list.revision
        if source.revision is None or source.needs_snapshot:
            self._reject_list(source, "incremental changes while a snapshot is needed")
        elif revision > source.revision or (source.has_partial_revisions and revision == source.revision):
            self._apply_incremental(source, endpoint_list)
        else:
            source.stale_list_count += 1  # a resumed watch may repeat changes
            self._confirm_current(source)

    def _reject_list(self, source: Source, reason: str) -> None:
        source.stale_list_count += 1
        self._actions.append(merge_log.list_not_applied(source, reason))

    def _confirm_current(self, source: Source) -> None:
        source.last_contact_ms = self.now_ms
        if source.accepts_incremental and not source.has_regressed:
            self._mark_in_sync(source)
            self._confirm_cached_records(source)

    def _confirm_cached_records(self, source: Source) -> None:
        """Confirm all cached records, in slices: the source has not changed since they were cached."""
        if source.has_cached_records:
            source.has_cached_records, source.uses_small_slices = False, True
            source.pending_cached_age_ms = None
            source.pending_records = source.records | source.pending_records
            self._apply_next_slice()

    def _mark_in_sync(self, source: Source) -> None:
        if source.state in (SourceState.UNREACHABLE, SourceState.REJECTED):
            self._actions.append(merge_log.in_sync_again(source))
            self._update_view([])  # an empty update tells the policy that polling works again
        source.set_state(SourceState.IN_SYNC)

    def _mark_unavailable(self, source: Source, state: SourceState, reason: str) -> None:
        """Set and log the state; the source's endpoints stay in the view, as it has not removed them."""
        if (source.state, source.state_reason) != (state, reason):
            self._actions.append(merge_log.source_unavailable(source, state, reason))
        source.set_state(state, reason)

    # --- applying lists

    def _apply_snapshot(self, source: Source, endpoint_list: EndpointList) -> None:
        """Apply removals and draining immediately, and the rest in slices."""
        listed = {record.endpoint.id: record for record in endpoint_list.records}
        is_large, is_first = snapshot_slices.is_large(listed), not self.merged_view.has_up_endpoints
        source.uses_small_slices = source.has_cached_records or is_large
        source.has_cached_records, source.pending_cached_age_ms = False, None
        touched_ids = self._replace_records(source, endpoint_list, listed)
        self._mark_in_sync(source)
        if touched_ids:
            self._update_view(touched_ids)
        self._begin_slices(source, listed, is_first, is_large)

    def _apply_cached_snapshot(self, source: Source, event: EndpointsListed) -> None:
        """Apply a cached snapshot: its records carry an age, and its source has not been contacted yet."""
        endpoint_list = event.endpoint_list
        listed = {record.endpoint.id: record for record in endpoint_list.records}
        is_large, is_first = snapshot_slices.is_large(listed), not self.merged_view.has_up_endpoints
        source.uses_small_slices = source.has_cached_records or is_large
        source.has_cached_records = True
        source.pending_cached_age_ms = age_ms = min(max(0.0, event.cached_age_ms), MAX_CACHED_AGE_MS)
        if not is_large:
            listed = {name: with_cached_age(record, age_ms) for name, record in listed.items()}
        touched_ids = self._replace_records(source, endpoint_list, listed)
        source.state = SourceState.NO_CONTACT_YET
        source.needs_snapshot = bool(endpoint_list.invalid_entries)  # the source may send valid ones
        # If several lists are cached, only the first can be announced as a snapshot.
        kind = EndpointUpdateKind.INCREMENTAL if self.view else EndpointUpdateKind.CACHED
        if is_large:
            self._update_view(touched_ids, kind)  # announced as a snapshot without any endpoint that is up
            self._begin_slices(source, listed, is_first, is_large)
        else:
            source.store(listed.values())
            self._update_view([*touched_ids, *listed], kind)

    def _replace_records(
        self, source: Source, endpoint_list: EndpointList, listed: dict[str, EndpointRecord]
    ) -> list[str]:
        """Apply a snapshot except for its endpoints that are up; returns the touched ids.

        Endpoints that the snapshot does not list are removed. An endpoint whose entry is invalid keeps its
        last record.
        """
        invalid_ids = {entry.key for entry in endpoint_list.invalid_entries}
        known = source.records | source.pending_records
        removed_ids = [name for name in known if name not in listed and name not in invalid_ids]
        removed_ids += [name for name in endpoint_list.removed_ids if name not in known]
        source.revision, source.needs_snapshot = endpoint_list.revision, False
        source.invalid_entries = {}
        retained = [record for name, record in source.pending_records.items() if name in invalid_ids]
        source.store(retained)
        source.pending_records = {}
        touched_ids = [record.endpoint.id for record in retained]
        touched_ids += source.remove(removed_ids, self.sources)
        touched_ids += self._record_invalid_entries(source, endpoint_list.invalid_entries)
        touched_ids += self._store_draining(source, endpoint_list, listed)
        self._actions += merge_log.mass_removal(source, len(removed_ids), len(known))
        return touched_ids

    def _store_draining(
        self, source: Source, endpoint_list: EndpointList, listed: dict[str, EndpointRecord]
    ) -> list[str]:
        draining_ids, up_phase = [], Phase.UP
        for record in endpoint_list.records:
            if record.endpoint.phase is up_phase:
                continue
            endpoint_id = record.endpoint.id
            if listed[endpoint_id].endpoint.phase is up_phase:
                continue  # listed twice: the later record takes effect
            source.records[endpoint_id] = with_cached_age(listed[endpoint_id], source.pending_cached_age_ms)
            source.removed_ids.pop(endpoint_id, None)
            draining_ids.append(endpoint_id)
        return draining_ids

    def _begin_slices(
        self, source: Source, listed: dict[str, EndpointRecord], is_first: bool, is_large: bool
    ) -> None:
        # A list that is not large counts as first if the view is empty now, even if endpoints were up
        # before it.
        self._slices.begin(is_first if is_large else not self.view, is_large)
        source.pending_records = listed
        if is_large:
            self._actions.append(ScheduleNextSlice())  # indexing the list took this turn's share of time
        else:
            self._apply_next_slice()

    def _apply_next_slice(self) -> None:
        """Apply the next slice of the first source with pending records; end the snapshot after the last."""
        source = next((one for one in self.sources.values() if one.pending_records), None)
        slices = self._slices
        if source is not None:
            for endpoint_id in snapshot_slices.take_slice(source):
                self.merged_view.update(endpoint_id, self.sources, slices.unannounced)
            if not slices.withholds_up_endpoints:  # otherwise resolved once, at the end
                self._resolve_contested(slices.unannounced)
            if any(one.pending_records for one in self.sources.values()):
                if slices.unannounced and not slices.is_first:
                    self._announce(slices.take_unannounced())
                self._actions.append(ScheduleNextSlice())
                return
        slices.end()
        self._resolve_contested(slices.unannounced)
        self._announce(slices.take_unannounced())

    def _apply_incremental(self, source: Source, endpoint_list: EndpointList) -> None:
        """Apply incremental changes; many endpoints that are up, as with live weights, go in slices."""
        source.revision = endpoint_list.revision
        known_count = len(source.records)
        touched_ids = source.remove(endpoint_list.removed_ids, self.sources)
        touched_ids += self._record_invalid_entries(source, endpoint_list.invalid_entries)
        immediate: Sequence[EndpointRecord] = endpoint_list.records
        if deferred := snapshot_slices.deferrable_changes(immediate):
            immediate = [record for record in immediate if record.endpoint.phase is not Phase.UP]
        source.store(immediate)
        touched_ids += [record.endpoint.id for record in immediate]
        for endpoint_id in touched_ids:
            source.pending_records.pop(endpoint_id, None)  # these changes are newer
        self._actions += merge_log.mass_removal(source, len(endpoint_list.removed_ids), known_count)
        self._mark_in_sync(source)
        if touched_ids or not deferred:
            self._update_view(touched_ids)
        if deferred:
            source.pending_cached_age_ms = None
            source.uses_small_slices = source.uses_small_slices or snapshot_slices.is_large(deferred)
            source.pending_records |= {record.endpoint.id: record for record in deferred}
            self._apply_next_slice()
        self._confirm_cached_records(source)

    def _record_invalid_entries(self, source: Source, entries: Sequence[InvalidEntry]) -> list[str]:
        touched_ids = []
        for entry in entries:
            touched_ids += source.record_invalid(entry, self.sources)
        self._actions += merge_log.invalid_entries(source, entries)
        return touched_ids

    # --- the view

    def _update_view(
        self, touched_ids: Sequence[str], kind: EndpointUpdateKind = EndpointUpdateKind.INCREMENTAL
    ) -> None:
        """Update these endpoints in the view and announce the changes, even if there are none."""
        changes = self._slices.withdraw(touched_ids)
        for endpoint_id in touched_ids:
            self.merged_view.update(endpoint_id, self.sources, changes)
        self._resolve_contested(changes)
        self._announce(self._slices.withhold(changes), kind)

    def _resolve_contested(self, changes: Changes) -> None:
        self._actions += merge_log.omissions(self.merged_view.resolve_contested(self.sources, changes))

    def _announce(self, changes: Changes, kind: EndpointUpdateKind = EndpointUpdateKind.INCREMENTAL) -> None:
        self.view_revision += bool(changes)
        by_phase: dict[Phase, list[EndpointRecord]] = {phase: [] for phase in Phase}
        for record in changes.values():
            by_phase[record.endpoint.phase].append(record)
        records = *by_phase[Phase.DRAINING], *by_phase[Phase.UP]
        self._actions.append(
            ApplyEndpoints(kind, records, tuple(by_phase[Phase.REMOVED]), self.view_revision)
        )
