"""Several sources of the list of backends, one view out that never goes back.

Each source has an order of its own: an identity (the platform's is its address, etcd's its cluster id) and
revisions in it. What is not newer than what was seen in that order is not applied, whole lists included. One
of equal revision is taken after a line that could not be read, and where a source's revisions come in pieces.
A new identity begins a new order, by a whole list only.

The view of one backend, over all sources:

- gone, if a source that may remove has removed it and has not listed it anew;
- draining, if a source that may remove says so;
- else up, if a source that may add lists it. Its address, zone, cell, kind and weight are those of the first
  such source in the order given; its start time is the latest that any of them names, as one that may be cold
  is to be treated as cold.

What is *remembered* (out of the configuration's `known`, or kept on disk: `Listed.saved`) is in the view with
its age, until its source lists it, or shows that nothing has changed since: then it is vouched for, entry by
entry, at once. Its revision counts as seen, so that the source cannot bring back an older view.

`Membership.handle` takes an event and a clock time and returns actions. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import islice

from balancer.endpoints import (
    Address,
    EndpointList,
    EndpointRecord,
    InvalidEntry,
)
from balancer.interface import EndpointUpdateKind, Phase

SNAPSHOT_SLICE_ENTRIES = 500  # entries of a whole list that are looked at in one go
CHANGE_SLICE_ENTRIES = 125  # the same, where each is a change, or the list is of over LARGE servers
LARGE_SNAPSHOT_ENTRIES = 1_000
MAX_REMOVED_IDS_PER_SOURCE = 20_000  # removals remembered a source beside those of whom another source lists
MAX_LOG_LINES_PER_LIST = (
    20  # lines on entries left out, of one listing or slice: the log is bounded, others need it too
)
MAX_INVALID_ENTRIES_PER_SOURCE = 1000  # unreadable entries shown a source; further ones are counted
MAX_CACHED_AGE_MS = 365 * 86_400_000.0  # of what was kept: a clock may say anything
MASS_REMOVAL_MIN_ENTRIES = (
    4  # removals at once, over half of what the source listed, that are worth a line of their own
)


class SourceRole(Enum):
    """What a source's word may do."""

    FULL = "full"  # add, drain and remove
    ADD = "add"  # add, and withdraw what it added; it takes away nothing that another source lists
    REMOVE = "remove"  # drain and remove what others list


class SourceState(Enum):
    """How far a source is to be believed."""

    NO_CONTACT_YET = "unheard"  # nothing of it has come
    SYNCING = "syncing"  # its whole list is needed
    IN_SYNC = "in sync"
    UNREACHABLE = "silent"  # out of reach, or cannot show that it is current: its last word stays in force
    REJECTED = "refused"  # it answers, and what it says must not be used


# --- events


@dataclass(slots=True, frozen=True)
class EndpointsListed:
    """A source listed: a whole list or changes, with a revision in the order of `identity`."""

    source: str
    identity: str
    endpoint_list: EndpointList
    is_cached: bool = False  # out of what the node was given or had kept at its start
    cached_age_ms: float = 0.0  # of what was saved: how long ago the source said so, or 0 where nobody knows
    is_from_watch: bool = (
        False  # by a watch, which tells things in their order: a call may be overtaken by it
    )


@dataclass(slots=True, frozen=True)
class SourceConfirmedCurrent:
    """A source showed that it lives and that what it said last is current."""

    source: str


@dataclass(slots=True, frozen=True)
class UpdateUnreadable:
    """Something came that could not be read at all; what it said is lost."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceLost:
    """A source is out of reach, or cannot show that it is current."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceRejected:
    """A source answers, and what it says must not be used: it went back for good, or lets nobody in."""

    source: str
    reason: str


@dataclass(slots=True, frozen=True)
class SourceIdentityChanged:
    """A source is another one from now on: its order begins anew, by a whole list."""

    source: str
    identity: str


@dataclass(slots=True, frozen=True)
class SourcesConfigured:
    """The operators set the sources anew, in this order of precedence.

    One that is left out is as if it had never said a word; one that stays keeps all it said.
    """

    sources: tuple[Source, ...]


@dataclass(slots=True, frozen=True)
class NextSliceDue:
    """The turn of the loop that `Continue` asked for has come."""


Event = (
    EndpointsListed
    | SourceConfirmedCurrent
    | UpdateUnreadable
    | SourceLost
    | SourceRejected
    | SourceIdentityChanged
    | SourcesConfigured
    | NextSliceDue
)

# --- actions


@dataclass(slots=True, frozen=True)
class ApplyEndpoints:
    """Take changes of the view: `members` are up or draining, `removed` are the last entries of those gone.

    `revision` counts the changes of the view; it has nothing to do with any source's.
    """

    kind: EndpointUpdateKind
    records: tuple[EndpointRecord, ...]
    removed_records: tuple[EndpointRecord, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class ScheduleNextSlice:
    """Hand in `Continued` at the loop's next turn: the rest of a whole list waits."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """A line for the people on call."""

    text: str
    is_warning: bool = False


Action = ApplyEndpoints | ScheduleNextSlice | WriteLog


@dataclass(slots=True)
class Source:
    """One source, as data. `revision` is None until a whole list of the present order has been taken."""

    name: str
    role: SourceRole = SourceRole.FULL
    has_partial_revisions: bool = False  # changes of one revision may come in several pieces
    configuration_generation: int = (
        0  # counts how often it was set up anew, maybe for other keys: its first list is news then
    )
    identity: str | None = None
    revision: int | None = None
    state: SourceState = SourceState.NO_CONTACT_YET
    needs_snapshot: bool = False  # a line was lost: only a whole list will do
    has_cached_records: bool = False  # memory alone vouches for some of what it lists
    uses_small_slices: bool = (
        False  # what waits in `pending` is news to whoever is told, all of it, or is much
    )
    pending_cached_age_ms: float | None = (
        None  # by memory alone, and how old it is, what waits in `pending` is listed
    )
    has_regressed: bool = False  # it went back: that it lives does not show that its last word is current
    last_contact_ms: float | None = None
    state_reason: str = ""  # why it is silent or refused
    records: dict[str, EndpointRecord] = field(default_factory=dict, repr=False)
    removed_ids: dict[str, None] = field(default_factory=dict, repr=False)  # until it lists them anew
    invalid_entries: dict[str, InvalidEntry] = field(default_factory=dict, repr=False)
    invalid_entry_count: int = 0  # entries that could not be read, ever
    stale_list_count: int = 0  # listings that were not applied, as they were not newer
    pending_records: dict[str, EndpointRecord] = field(
        default_factory=dict, repr=False
    )  # the rest of a whole list

    @property
    def accepts_incremental(self) -> bool:
        """Whether changes can be applied to what is held."""
        return self.revision is not None and not self.needs_snapshot


def with_cached_age(record: EndpointRecord, age_ms: float | None = None) -> EndpointRecord:
    """The same, by a source's word (None) or by a memory of that age."""
    endpoint = record.endpoint
    return (
        record
        if endpoint.cached_age_ms == age_ms
        else EndpointRecord(replace(endpoint, cached_age_ms=age_ms), record.address)
    )


def _sources_by_name(sources: Sequence[Source]) -> dict[str, Source]:
    by_name = {source.name: source for source in sources}
    if len(by_name) != len(sources):
        raise ValueError(f"two sources of one name: {[source.name for source in sources]}")
    return by_name


class EndpointMerger:
    """The merge. `sources` are in the order of their precedence."""

    def __init__(self, sources: Sequence[Source]) -> None:
        self.sources = _sources_by_name(sources)
        self.view: dict[str, EndpointRecord] = {}  # in force: up or draining
        self.view_revision = 0  # of the view
        self.shadowed_ids: set[str] = set()  # listed, up, and left out: another is up at the same address
        self._up_ids_by_address: dict[
            Address, dict[str, None]
        ] = {}  # who is up at an address, in the order they came
        self._address_by_up_id: dict[str, Address] = {}  # and the other way round
        self._contested_addresses: dict[Address, None] = {}  # where that changed, and others are or were up
        self._unannounced: dict[str, EndpointRecord] = {}  # changes of a whole list that are not told yet
        self._is_first_snapshot = False  # the whole list that is looked at is the first
        self._is_large_snapshot = (
            False  # and is of over LARGE servers: nobody who is up is told of before its end
        )
        self.now_ms = 0.0
        self._actions: list[Action] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event at the clock time `now_ms`."""
        self.now_ms, self._actions = now_ms, []
        if isinstance(event, NextSliceDue):
            self._apply_next_slice()
        elif isinstance(event, SourcesConfigured):
            self._configure_sources(_sources_by_name(event.sources))
        elif (source := self.sources.get(event.source)) is not None:
            self._handle_source_event(source, event)
        return self._actions

    def _handle_source_event(
        self,
        source: Source,
        event: EndpointsListed
        | SourceConfirmedCurrent
        | UpdateUnreadable
        | SourceLost
        | SourceRejected
        | SourceIdentityChanged,
    ) -> None:
        match event:
            case EndpointsListed():
                self._handle_list(source, event)
            case SourceConfirmedCurrent():
                self._confirm_current(source)
            case UpdateUnreadable():
                source.needs_snapshot, source.state, source.state_reason = (
                    True,
                    SourceState.SYNCING,
                    event.reason,
                )
            case SourceLost():
                self._mark_unavailable(source, SourceState.UNREACHABLE, event.reason)
            case SourceRejected():
                self._mark_unavailable(source, SourceState.REJECTED, event.reason)
            case SourceIdentityChanged() if source.identity != event.identity:
                self._reset_revision_order(source, event.identity)

    def watch_revision(self, name: str) -> int | None:
        """The revision to watch a source from, or None where only its whole list will do."""
        source = self.sources[name]
        return source.revision if source.accepts_incremental else None

    def _configure_sources(self, sources: dict[str, Source]) -> None:
        before, self.sources = self.sources, {}
        for name, source in sources.items():
            self.sources[name] = current = before.get(name, source)
            current.role, current.has_partial_revisions = source.role, source.has_partial_revisions
            if current.configuration_generation != source.configuration_generation:
                current.configuration_generation, current.needs_snapshot, current.state = (
                    source.configuration_generation,
                    True,
                    SourceState.SYNCING,
                )
            if current.role is SourceRole.ADD:
                current.removed_ids.clear()
        touched = {*self.view, *self.shadowed_ids}
        for source in before.values():
            touched |= source.records.keys() | source.removed_ids.keys()
        self._update_view(sorted(touched), EndpointUpdateKind.INCREMENTAL)

    # --- order

    def _handle_list(self, source: Source, event: EndpointsListed) -> None:
        endpoint_list = event.endpoint_list
        source.last_contact_ms = self.now_ms
        if event.identity != source.identity:
            if not endpoint_list.is_complete:
                self._reject_list(source, "changes of an order that has not begun here")
                return
            if source.identity is not None:
                text = f"{source.name}: a new order begins: {event.identity} in place of {source.identity}"
                self._actions.append(WriteLog(text, is_warning=True))
            self._reset_revision_order(source, event.identity)
        is_newer = source.revision is None or endpoint_list.revision > source.revision
        if endpoint_list.is_complete:
            # An equal one is taken where something may have been lost on the way: a line, or a piece.
            if is_newer or (
                endpoint_list.revision == source.revision
                and (source.needs_snapshot or source.has_partial_revisions)
            ):
                self._apply_snapshot(source, endpoint_list, event.is_cached, event.cached_age_ms)
            elif endpoint_list.revision == source.revision:
                self._mark_in_sync(source)
                self._update_view([], EndpointUpdateKind.INCREMENTAL)
                self._confirm_cached_records(source)
            else:
                reason = (
                    f"its whole list is of revision {endpoint_list.revision}, older than {source.revision}"
                )
                source.stale_list_count += 1
                if (
                    event.is_from_watch or source.state is not SourceState.IN_SYNC
                ):  # else a call that was overtaken
                    self._mark_unavailable(source, SourceState.REJECTED, reason)
                    source.has_regressed = True
        elif not source.accepts_incremental:
            self._reject_list(source, "changes, where the whole list is needed")
        elif is_newer or (source.has_partial_revisions and endpoint_list.revision == source.revision):
            self._apply_incremental(source, endpoint_list)
        else:
            source.stale_list_count += 1  # said before: a watch that was taken up again may repeat some
            self._confirm_current(source)

    def _reset_revision_order(self, source: Source, identity: str) -> None:
        """A new order: what the old one said stays in force until the new one's whole list is here."""
        source.identity, source.revision, source.needs_snapshot = identity, None, False
        source.state, source.has_regressed = SourceState.SYNCING, False

    def _reject_list(self, source: Source, reason: str) -> None:
        source.stale_list_count += 1
        self._actions.append(WriteLog(f"{source.name}: not applied: {reason}"))

    def _confirm_current(self, source: Source) -> None:
        source.last_contact_ms = self.now_ms
        if source.accepts_incremental and not source.has_regressed:
            self._mark_in_sync(source)
            self._confirm_cached_records(source)

    def _mark_in_sync(self, source: Source) -> None:
        if source.state in (SourceState.UNREACHABLE, SourceState.REJECTED):
            self._actions.append(WriteLog(f"{source.name}: in sync again"))
            self._update_view(
                [], EndpointUpdateKind.INCREMENTAL
            )  # that it may be asked again soon, though nothing has changed
        source.state, source.state_reason, source.has_regressed = SourceState.IN_SYNC, "", False

    def _confirm_cached_records(self, source: Source) -> None:
        """Nothing has changed since: the source vouches for all that only memory did, in slices."""
        if source.has_cached_records:
            source.has_cached_records, source.uses_small_slices, source.pending_cached_age_ms = (
                False,
                True,
                None,
            )
            source.pending_records = source.records | source.pending_records
            self._apply_next_slice()

    def _mark_unavailable(self, source: Source, state: SourceState, reason: str) -> None:
        """The view stays: a source that says nothing has taken nothing back."""
        if (source.state, source.state_reason) != (state, reason):
            text = f"{source.name} is {state.value}: {reason}; its last word stays in force"
            self._actions.append(WriteLog(text, is_warning=state is SourceState.REJECTED))
        source.state, source.state_reason, source.has_regressed = state, reason, False

    # --- what was listed

    def _apply_snapshot(
        self, source: Source, endpoint_list: EndpointList, is_cached: bool, cached_age_ms: float
    ) -> None:
        """Removals and drains at once; the rest in slices, as one of thousands would hold the loop."""
        listed, draining_ids, up = dict[str, EndpointRecord](), list[str](), Phase.UP
        for record in endpoint_list.records:
            endpoint = record.endpoint
            listed[endpoint.id] = record
            if endpoint.phase is not up:
                draining_ids.append(endpoint.id)
        is_large, is_first = len(listed) > LARGE_SNAPSHOT_ENTRIES, not self._address_by_up_id
        source.pending_cached_age_ms = min(max(0.0, cached_age_ms), MAX_CACHED_AGE_MS) if is_cached else None
        if is_cached and not is_large:
            listed = {
                name: with_cached_age(record, source.pending_cached_age_ms) for name, record in listed.items()
            }
        source.uses_small_slices, source.has_cached_records = source.has_cached_records or is_large, is_cached
        invalid_ids = {fault.key for fault in endpoint_list.invalid_entries}
        known = source.records | source.pending_records
        removed_ids = [name for name in known if name not in listed and name not in invalid_ids]
        removed_ids += [name for name in endpoint_list.removed_ids if name not in known]
        source.revision, source.needs_snapshot, source.invalid_entries = endpoint_list.revision, False, {}
        retained = [last for name, last in source.pending_records.items() if name in invalid_ids]
        self._store_records(source, retained)
        source.pending_records, known_count = {}, len(known)
        touched_ids = [last.endpoint.id for last in retained]
        touched_ids += self._remove_records(source, removed_ids)
        touched_ids += self._note_invalid_entries(source, endpoint_list.invalid_entries)
        for name in draining_ids:
            if listed[name].endpoint.phase is up:
                continue  # named twice: the later entry holds
            source.records[name] = with_cached_age(listed[name], source.pending_cached_age_ms)
            source.removed_ids.pop(name, None)
            touched_ids.append(name)
        self._log_mass_removal(source, len(removed_ids), known_count)
        if not is_cached:
            self._mark_in_sync(source)
            if touched_ids:
                self._update_view(touched_ids, EndpointUpdateKind.INCREMENTAL)
        else:
            source.state = SourceState.NO_CONTACT_YET
            source.needs_snapshot = bool(
                endpoint_list.invalid_entries
            )  # whoever was left out may be readable at the source
            # A whole list for whoever is told: of several that are remembered the first alone can be one.
            kind = EndpointUpdateKind.INCREMENTAL if self.view else EndpointUpdateKind.CACHED
            if not is_large:
                self._store_records(source, listed.values())
                self._update_view([*touched_ids, *listed], kind)
                return
            self._update_view(touched_ids, kind)  # it is one in which nobody is up yet
        self._is_first_snapshot = self._is_first_snapshot or (is_first if is_large else not self.view)
        self._is_large_snapshot = self._is_large_snapshot or is_large
        source.pending_records = listed
        if is_large:
            self._actions.append(ScheduleNextSlice())  # this turn has had its part
        else:
            self._apply_next_slice()

    def _apply_next_slice(self) -> None:
        """Look at the next slice of whatever whole list waits, and apply what changed in it.

        A first list is applied in one piece, once all was seen: the module lays its subset out over all of
        it, and nobody waits meanwhile, as there is nobody to send to. In a large one what is said of those
        who are up meanwhile waits for that, too; removals and drains do not.
        """
        for source in self.sources.values():
            if not source.pending_records:
                continue
            names = list(
                islice(
                    source.pending_records,
                    CHANGE_SLICE_ENTRIES if source.uses_small_slices else SNAPSHOT_SLICE_ENTRIES,
                )
            )
            self._store_records(
                source,
                [
                    with_cached_age(source.pending_records.pop(name), source.pending_cached_age_ms)
                    for name in names
                ],
            )
            for name in names:
                self._update_endpoint(name, self._unannounced)
            if not (self._is_first_snapshot and self._is_large_snapshot):  # else once, at its end
                self._settle_contested_addresses(self._unannounced)
            if any(source.pending_records for source in self.sources.values()):
                if self._unannounced and not self._is_first_snapshot:
                    self._announce_pending()
                self._actions.append(ScheduleNextSlice())
                return
        self._is_first_snapshot = self._is_large_snapshot = False
        self._settle_contested_addresses(self._unannounced)
        self._announce_pending()

    def _store_records(self, source: Source, records: Iterable[EndpointRecord]) -> None:
        for record in records:
            name = record.endpoint.id
            source.records[name] = record
            source.removed_ids.pop(name, None)
            source.invalid_entries.pop(name, None)

    def _apply_incremental(self, source: Source, endpoint_list: EndpointList) -> None:
        """Many at once, as where weights are live, wait in slices too; removals and drains do not."""
        source.revision = endpoint_list.revision
        known_count = len(source.records)
        touched_ids = self._remove_records(source, endpoint_list.removed_ids)
        touched_ids += self._note_invalid_entries(source, endpoint_list.invalid_entries)
        immediate, deferred = list(endpoint_list.records), list[EndpointRecord]()
        if len(immediate) > SNAPSHOT_SLICE_ENTRIES:
            deferred = [record for record in immediate if record.endpoint.phase is Phase.UP]
            immediate = [record for record in immediate if record.endpoint.phase is not Phase.UP]
        self._store_records(source, immediate)
        touched_ids += [record.endpoint.id for record in immediate]
        for name in touched_ids:
            source.pending_records.pop(name, None)  # older than what has just been said
        self._log_mass_removal(source, len(endpoint_list.removed_ids), known_count)
        self._mark_in_sync(source)
        if touched_ids or not deferred:
            self._update_view(touched_ids, EndpointUpdateKind.INCREMENTAL)
        if deferred:
            source.pending_cached_age_ms, source.uses_small_slices = (
                None,
                source.uses_small_slices or len(deferred) > LARGE_SNAPSHOT_ENTRIES,
            )  # vouched for
            source.pending_records |= {record.endpoint.id: record for record in deferred}
            self._apply_next_slice()
        self._confirm_cached_records(source)

    def _remove_records(self, source: Source, names: Iterable[str]) -> list[str]:
        removed_ids = []
        for name in names:
            source.records.pop(name, None)
            source.invalid_entries.pop(name, None)
            if source.role is not SourceRole.ADD and len(self.sources) > 1:
                source.removed_ids.pop(name, None)
                source.removed_ids[name] = None
            removed_ids.append(name)
        for name in list(islice(source.removed_ids, 2 * len(removed_ids))):
            if len(source.removed_ids) <= MAX_REMOVED_IDS_PER_SOURCE:
                break
            del source.removed_ids[name]
            if any(name in other.records or name in other.pending_records for other in self.sources.values()):
                source.removed_ids[name] = None  # it would be used again; its turn comes when nobody lists it
        return removed_ids

    def _note_invalid_entries(self, source: Source, invalid_entries: Iterable[InvalidEntry]) -> list[str]:
        """An entry that cannot be read costs nothing but itself; that it drains is obeyed all the same."""
        touched_ids, log_lines = [], []
        for entry in invalid_entries:
            source.invalid_entry_count += 1
            source.invalid_entries.pop(entry.key, None)
            if len(source.invalid_entries) < MAX_INVALID_ENTRIES_PER_SOURCE:
                source.invalid_entries[entry.key] = entry
            log_lines.append(f"{source.name}: entry {entry.key!r:.300} left out: {entry.reason:.300}")
            if not entry.is_draining:
                continue
            if (last := source.records.get(entry.key)) is not None:
                endpoint = replace(last.endpoint, phase=Phase.DRAINING)
                source.records[entry.key] = EndpointRecord(endpoint, last.address)
                touched_ids.append(entry.key)
            else:
                touched_ids += self._remove_records(source, [entry.key])
        self._log_omitted(log_lines)
        return touched_ids

    def _log_omitted(self, log_lines: list[str]) -> None:
        self._actions += [WriteLog(text) for text in log_lines[:MAX_LOG_LINES_PER_LIST]]
        if len(log_lines) > MAX_LOG_LINES_PER_LIST:
            self._actions.append(
                WriteLog(
                    f"{len(log_lines) - MAX_LOG_LINES_PER_LIST} more left out like these; see balancer members"
                )
            )

    def _log_mass_removal(self, source: Source, removed_count: int, known_count: int) -> None:
        if source.has_partial_revisions:
            return  # whoever puts the pieces together says so
        if removed_count >= MASS_REMOVAL_MIN_ENTRIES and 2 * removed_count > known_count:
            text = f"{source.name}: {removed_count} of {known_count} backends removed at once; obeyed"
            self._actions.append(WriteLog(text, is_warning=True))

    # --- the view

    def _merge_records(self, name: str) -> EndpointRecord | None:
        """What holds of a backend over all sources; None: it is not to be used."""
        merged: EndpointRecord | None = None
        is_draining, started_at_ms, cached_ages_ms = False, 0.0, list[float | None]()
        for source in self.sources.values():
            if name in source.removed_ids:
                return None
            if (record := source.records.get(name)) is None:
                continue
            record_drains = record.endpoint.phase is not Phase.UP
            if source.role is SourceRole.REMOVE:
                is_draining = is_draining or record_drains
                continue
            if source.role is SourceRole.FULL:
                is_draining = is_draining or record_drains
            started_at_ms = max(started_at_ms, record.endpoint.started_at_ms)
            cached_ages_ms.append(record.endpoint.cached_age_ms)
            if merged is None or (
                merged.endpoint.phase is not Phase.UP and not record_drains and not is_draining
            ):
                merged = record
        if merged is None:
            return None
        phase = Phase.DRAINING if is_draining else merged.endpoint.phase
        cached_age_ms = (
            None
            if None in cached_ages_ms
            else min(cached_age_ms for cached_age_ms in cached_ages_ms if cached_age_ms is not None)
        )
        if (phase, started_at_ms, cached_age_ms) != (
            merged.endpoint.phase,
            merged.endpoint.started_at_ms,
            merged.endpoint.cached_age_ms,
        ):
            merged = EndpointRecord(
                replace(
                    merged.endpoint, phase=phase, started_at_ms=started_at_ms, cached_age_ms=cached_age_ms
                ),
                merged.address,
            )
        return merged

    def _update_endpoint(self, name: str, changes: dict[str, EndpointRecord]) -> None:
        """Bring the view of one backend up to date, and note what changed; `_share` has to follow."""
        merged = self._merge_records(name)
        up_address = merged.address if merged is not None and merged.endpoint.phase is Phase.UP else None
        previous_address = self._address_by_up_id.get(name)
        if previous_address is not None and previous_address != up_address:
            del self._address_by_up_id[name]
            self.shadowed_ids.discard(name)
            del self._up_ids_by_address[previous_address][name]
            if self._up_ids_by_address[previous_address]:
                self._contested_addresses[previous_address] = None
            else:
                del self._up_ids_by_address[previous_address]
        if up_address is not None:
            up_ids = self._up_ids_by_address.setdefault(up_address, {})
            up_ids[name], self._address_by_up_id[name] = None, up_address
            if len(up_ids) > 1:
                self._contested_addresses[up_address] = None
                return
        self._set_view_record(name, merged, changes)

    def _settle_contested_addresses(self, changes: dict[str, EndpointRecord]) -> None:
        """Of several that are up at one address one is used: the latest start, then whoever came last.

        There is one process, and it would get the work, and the cold start's budget, of each of its names.
        Done once for all that were settled: guards against weighing each of thousands against each.
        """
        contested, self._contested_addresses = self._contested_addresses, {}
        log_lines: list[str] = []
        for address in contested:
            candidates = [
                (name, merged)
                for name in self._up_ids_by_address.get(address, ())
                if (merged := self._merge_records(name))
            ]
            if not candidates:
                continue  # all of them left
            winner = max(
                enumerate(candidates), key=lambda item: (item[1][1].endpoint.started_at_ms, item[0])
            )[1][0]
            for name, merged in candidates:
                if name == winner:
                    self.shadowed_ids.discard(name)
                    self._set_view_record(name, merged, changes)
                    continue
                if name not in self.shadowed_ids:
                    self.shadowed_ids.add(name)
                    text = f"{name!r:.300} left out: {winner!r:.300} is up at the same address"
                    log_lines.append(f"{text} {address[0]}:{address[1]}")
                self._set_view_record(name, None, changes)
        self._log_omitted(log_lines)

    def _set_view_record(
        self, name: str, record: EndpointRecord | None, changes: dict[str, EndpointRecord]
    ) -> None:
        previous = self.view.get(name)
        if record is not None:
            if previous != record:
                self.view[name] = changes[name] = record
        elif previous is not None:
            del self.view[name]
            changes[name] = EndpointRecord(replace(previous.endpoint, phase=Phase.REMOVED), previous.address)

    def _update_view(self, touched_ids: Iterable[str], kind: EndpointUpdateKind) -> None:
        touched_ids = list(touched_ids)
        # Those of a whole list that is under way are in the view, and not yet told.
        changes = {name: self._unannounced.pop(name) for name in touched_ids if name in self._unannounced}
        for name in touched_ids:
            self._update_endpoint(name, changes)
        self._settle_contested_addresses(changes)
        for name in changes.keys() & self._unannounced.keys():
            del self._unannounced[name]
        if self._is_first_snapshot and self._is_large_snapshot:
            self._unannounced |= {
                name: now for name, now in changes.items() if now.endpoint.phase is Phase.UP
            }
            changes = {name: now for name, now in changes.items() if now.endpoint.phase is not Phase.UP}
        self._announce(changes, kind)

    def _announce_pending(self) -> None:
        changes, self._unannounced = self._unannounced, {}
        self._announce(changes, EndpointUpdateKind.INCREMENTAL)

    def _announce(self, changes: dict[str, EndpointRecord], kind: EndpointUpdateKind) -> None:
        self.view_revision += bool(changes)
        by_phase = {phase: list[EndpointRecord]() for phase in Phase}
        for record in changes.values():
            by_phase[record.endpoint.phase].append(record)
        current = *by_phase[Phase.DRAINING], *by_phase[Phase.UP]
        self._actions.append(
            ApplyEndpoints(kind, current, tuple(by_phase[Phase.REMOVED]), self.view_revision)
        )
