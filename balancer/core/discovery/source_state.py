"""The state of one discovery source: what it has listed, in its own revision order.

A source has an identity (the address for the platform, the cluster id for etcd) and revisions that are
ordered within that identity. `Source` holds the listed, removed and invalid entries of one source and makes
no decision across sources. `core/discovery/endpoint_merger` owns these objects.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import islice

from balancer.endpoints import EndpointRecord, InvalidEntry
from balancer.interface import Phase

# Removed ids kept per source. Ids that another source still lists are kept beyond this limit.
MAX_REMOVED_IDS_PER_SOURCE = 20_000
MAX_INVALID_ENTRIES_PER_SOURCE = 1000  # kept for the operators' report; more are only counted


class SourceRole(Enum):
    """What a source may change in the view."""

    FULL = "full"  # add, drain and remove
    ADD = "add"  # add, and remove what it added itself, but nothing that another source lists
    REMOVE = "remove"  # drain and remove what other sources list


class SourceState(Enum):
    """Whether a source's last list is known to be current."""

    NO_CONTACT_YET = "unheard"
    SYNCING = "syncing"  # a snapshot is needed
    IN_SYNC = "in sync"
    UNREACHABLE = "silent"  # or cannot show that it is current; its last list stays in use
    REJECTED = "refused"  # it answers, but its answers must not be used


@dataclass(slots=True)
class Source:
    """A discovery source and what it has listed.

    `revision` is None until a snapshot of the current identity has been applied.
    """

    name: str
    role: SourceRole = SourceRole.FULL
    has_partial_revisions: bool = False  # the changes of one revision may come in several lists
    # Incremented when the source is reconfigured, possibly for other keys: its first list then replaces
    # everything.
    configuration_generation: int = 0
    identity: str | None = None
    revision: int | None = None
    state: SourceState = SourceState.NO_CONTACT_YET
    needs_snapshot: bool = False  # an update was lost: incremental updates cannot be applied any more
    has_cached_records: bool = False  # some records come from the cache and are not confirmed yet
    uses_small_slices: bool = False  # `pending_records` are many, or each of them changes the view
    pending_cached_age_ms: float | None = None  # age of `pending_records` if they come from the cache
    has_regressed: bool = False  # it listed an older revision, so being reachable does not make it current
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
        """Whether incremental updates can be applied to the known records."""
        return self.revision is not None and not self.needs_snapshot

    def configure(self, configured: Source) -> None:
        """Apply changed settings; everything that was listed stays."""
        self.role, self.has_partial_revisions = configured.role, configured.has_partial_revisions
        if self.configuration_generation != configured.configuration_generation:
            self.configuration_generation = configured.configuration_generation
            self.needs_snapshot, self.state = True, SourceState.SYNCING
        if self.role is SourceRole.ADD:
            self.removed_ids.clear()

    def reset_revision_order(self, identity: str) -> None:
        """Start the order of a new identity; the old records stay in use until its first snapshot."""
        self.identity, self.revision, self.needs_snapshot = identity, None, False
        self.state, self.has_regressed = SourceState.SYNCING, False

    def set_state(self, state: SourceState, reason: str = "") -> None:
        """Enter a state and clear the regression mark."""
        self.state, self.state_reason, self.has_regressed = state, reason, False

    def store(self, records: Iterable[EndpointRecord]) -> None:
        """Store these records as listed."""
        for record in records:
            endpoint_id = record.endpoint.id
            self.records[endpoint_id] = record
            self.removed_ids.pop(endpoint_id, None)
            self.invalid_entries.pop(endpoint_id, None)

    def remove(self, endpoint_ids: Iterable[str], sources: Mapping[str, Source]) -> list[str]:
        """Remove these endpoints; returns their ids. `sources` are all sources, including this one.

        The removed ids are remembered only if another source could still list the endpoint.
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

    def _evict_removed_ids(self, max_inspected_count: int, sources: Mapping[str, Source]) -> None:
        """Forget the oldest removals over the limit, inspecting at most `max_inspected_count` of them."""
        for endpoint_id in list(islice(self.removed_ids, max_inspected_count)):
            if len(self.removed_ids) <= MAX_REMOVED_IDS_PER_SOURCE:
                break
            del self.removed_ids[endpoint_id]
            if any(
                endpoint_id in other.records or endpoint_id in other.pending_records
                for other in sources.values()
            ):
                self.removed_ids[endpoint_id] = None  # if forgotten, the other source's list would restore it

    def record_invalid(self, entry: InvalidEntry, sources: Mapping[str, Source]) -> list[str]:
        """Record and count an entry that cannot be parsed; returns the ids whose record changed.

        The last valid record stays. If the entry is readable enough to show draining, draining is applied.
        """
        self.invalid_entry_count += 1
        self.invalid_entries.pop(entry.key, None)
        if len(self.invalid_entries) < MAX_INVALID_ENTRIES_PER_SOURCE:
            self.invalid_entries[entry.key] = entry
        if not entry.is_draining:
            return []
        last_record = self.records.get(entry.key)
        if last_record is None:
            return self.remove([entry.key], sources)
        self.records[entry.key] = EndpointRecord(
            replace(last_record.endpoint, phase=Phase.DRAINING), last_record.address
        )
        return [entry.key]


def with_cached_age(record: EndpointRecord, age_ms: float | None = None) -> EndpointRecord:
    """The record with this cached age; None means that its source confirms it."""
    endpoint = record.endpoint
    if endpoint.cached_age_ms == age_ms:
        return record
    return EndpointRecord(replace(endpoint, cached_age_ms=age_ms), record.address)
