"""What one discovery source has listed, in the order of its own revisions.

A source has an identity (the platform's is its address, etcd's its cluster id) and revisions that are
ordered within that identity. `Source` holds what it listed, removed and failed to state readably; it
decides nothing across sources. `core/discovery/endpoint_merger` owns these objects.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import islice

from balancer.endpoints import EndpointRecord, InvalidEntry
from balancer.interface import Phase

# Removed ids kept for each source. An id that another source still lists is kept beyond this.
MAX_REMOVED_IDS_PER_SOURCE = 20_000
MAX_INVALID_ENTRIES_PER_SOURCE = 1000  # kept for operators to see; further ones are only counted


class SourceRole(Enum):
    """What a source may change in the view."""

    FULL = "full"  # add, drain and remove
    ADD = "add"  # add, and withdraw what it added; takes away nothing that another source lists
    REMOVE = "remove"  # drain and remove what other sources list


class SourceState(Enum):
    """Whether a source's last list is known to be current."""

    NO_CONTACT_YET = "unheard"
    SYNCING = "syncing"  # a snapshot is needed
    IN_SYNC = "in sync"
    UNREACHABLE = "silent"  # or cannot show that it is current: its last list stays in force
    REJECTED = "refused"  # it answers, but its answer must not be used


@dataclass(slots=True)
class Source:
    """One discovery source and what it has listed.

    `revision` is None until a snapshot of the present identity has been applied.
    """

    name: str
    role: SourceRole = SourceRole.FULL
    has_partial_revisions: bool = False  # the changes of one revision may come in several lists
    # Raised when the source is set up anew, perhaps for other keys: its first list then replaces
    # everything.
    configuration_generation: int = 0
    identity: str | None = None
    revision: int | None = None
    state: SourceState = SourceState.NO_CONTACT_YET
    needs_snapshot: bool = False  # an update was lost: incremental updates cannot be applied any more
    has_cached_records: bool = False  # some records come from the cache and are not confirmed yet
    uses_small_slices: bool = False  # `pending_records` are many, or each of them changes the view
    pending_cached_age_ms: float | None = None  # age of `pending_records` if they come from the cache
    has_regressed: bool = False  # it listed an older revision: contact does not show that it is current
    last_contact_ms: float | None = None
    state_reason: str = ""  # why it is unreachable or rejected
    records: dict[str, EndpointRecord] = field(default_factory=dict, repr=False)
    removed_ids: dict[str, None] = field(default_factory=dict, repr=False)  # until listed again; oldest first
    invalid_entries: dict[str, InvalidEntry] = field(default_factory=dict, repr=False)
    invalid_entry_count: int = 0  # since the start
    stale_list_count: int = 0  # lists that were not applied because they were not newer
    pending_records: dict[str, EndpointRecord] = field(default_factory=dict, repr=False)  # not yet in a slice

    @property
    def accepts_incremental(self) -> bool:
        """Whether incremental updates can be applied to what is held."""
        return self.revision is not None and not self.needs_snapshot

    def configure(self, configured: Source) -> None:
        """Take over what operators configured; all that was listed stays."""
        self.role, self.has_partial_revisions = configured.role, configured.has_partial_revisions
        if self.configuration_generation != configured.configuration_generation:
            self.configuration_generation = configured.configuration_generation
            self.needs_snapshot, self.state = True, SourceState.SYNCING
        if self.role is SourceRole.ADD:
            self.removed_ids.clear()

    def reset_revision_order(self, identity: str) -> None:
        """Begin the order of a new identity; the old records stay in force until its first snapshot."""
        self.identity, self.revision, self.needs_snapshot = identity, None, False
        self.state, self.has_regressed = SourceState.SYNCING, False

    def set_state(self, state: SourceState, reason: str = "") -> None:
        """Enter a state that also ends any regression."""
        self.state, self.state_reason, self.has_regressed = state, reason, False

    def store(self, records: Iterable[EndpointRecord]) -> None:
        """Hold these records as listed."""
        for record in records:
            endpoint_id = record.endpoint.id
            self.records[endpoint_id] = record
            self.removed_ids.pop(endpoint_id, None)
            self.invalid_entries.pop(endpoint_id, None)

    def remove(self, endpoint_ids: Iterable[str], sources: Mapping[str, Source]) -> list[str]:
        """Drop these endpoints; returns their ids. `sources` are all, this one among them.

        The removals are kept only if another source could still list the endpoint.
        """
        removed_ids = []
        keeps_removals = self.role is not SourceRole.ADD and len(sources) > 1
        for endpoint_id in endpoint_ids:
            self.records.pop(endpoint_id, None)
            self.invalid_entries.pop(endpoint_id, None)
            if keeps_removals:
                self.removed_ids.pop(endpoint_id, None)
                self.removed_ids[endpoint_id] = None
            removed_ids.append(endpoint_id)
        self._evict_removed_ids(2 * len(removed_ids), sources)
        return removed_ids

    def _evict_removed_ids(self, count: int, sources: Mapping[str, Source]) -> None:
        """Forget the oldest removals over the limit, looking at `count` of them at most."""
        for endpoint_id in list(islice(self.removed_ids, count)):
            if len(self.removed_ids) <= MAX_REMOVED_IDS_PER_SOURCE:
                break
            del self.removed_ids[endpoint_id]
            if any(
                endpoint_id in other.records or endpoint_id in other.pending_records
                for other in sources.values()
            ):
                self.removed_ids[endpoint_id] = None  # forgotten, it would be up again by the other's list

    def note_invalid(self, entry: InvalidEntry, sources: Mapping[str, Source]) -> list[str]:
        """Count an entry that cannot be read; returns the ids whose record changed.

        The last valid record stays. An entry that states readably that it drains is obeyed.
        """
        self.invalid_entry_count += 1
        self.invalid_entries.pop(entry.key, None)
        if len(self.invalid_entries) < MAX_INVALID_ENTRIES_PER_SOURCE:
            self.invalid_entries[entry.key] = entry
        if not entry.is_draining:
            return []
        last = self.records.get(entry.key)
        if last is None:
            return self.remove([entry.key], sources)
        self.records[entry.key] = EndpointRecord(replace(last.endpoint, phase=Phase.DRAINING), last.address)
        return [entry.key]


def with_cached_age(record: EndpointRecord, age_ms: float | None = None) -> EndpointRecord:
    """The same record, confirmed by its source (None) or known from a cache of this age."""
    endpoint = record.endpoint
    if endpoint.cached_age_ms == age_ms:
        return record
    return EndpointRecord(replace(endpoint, cached_age_ms=age_ms), record.address)
