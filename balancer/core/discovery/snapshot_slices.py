"""Applies large endpoint lists in slices, one per turn of the event loop, so that no list blocks the loop.

Removals and draining are applied immediately. The other records of a large list wait in
`Source.pending_records` and are applied slice by slice. The changes of a slice may stay unannounced for a
while:

- A first list is announced as a whole at its end: the request policy computes its subset over the whole
  list, and until then there is no backend that requests could be sent to.
- During a large first list, other endpoints that come up are announced at its end too; removals and draining
  are not delayed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence, Sized
from itertools import islice

from balancer.core.discovery.merged_view import Changes
from balancer.core.discovery.source_state import Source, with_cached_age
from balancer.endpoints import EndpointRecord
from balancer.interface import Phase

SNAPSHOT_SLICE_ENTRIES = 500  # for a list that mostly repeats known records
CHANGE_SLICE_ENTRIES = 125  # for a list that is large, or whose entries all change the view
LARGE_SNAPSHOT_ENTRIES = 1_000  # above this, even the first slice waits for the next turn


def is_large(records: Sized) -> bool:
    """Whether a list with these records counts as large."""
    return len(records) > LARGE_SNAPSHOT_ENTRIES


def deferrable_changes(records: Sequence[EndpointRecord]) -> list[EndpointRecord]:
    """The incremental changes that may wait in slices: endpoints that are up, if there are many changes."""
    if len(records) <= SNAPSHOT_SLICE_ENTRIES:
        return []
    return [record for record in records if record.endpoint.phase is Phase.UP]


def take_slice(source: Source) -> list[str]:
    """Store the next slice of a source's pending records; returns the ids in the slice."""
    slice_size = CHANGE_SLICE_ENTRIES if source.uses_small_slices else SNAPSHOT_SLICE_ENTRIES
    endpoint_ids = list(islice(source.pending_records, slice_size))
    pending, cached_age_ms = source.pending_records, source.pending_cached_age_ms
    source.store([with_cached_age(pending.pop(endpoint_id), cached_age_ms) for endpoint_id in endpoint_ids])
    return endpoint_ids


class SliceProgress:
    """Tracks the snapshots that are being applied in slices, and their unannounced changes."""

    def __init__(self) -> None:
        self.unannounced: Changes = {}
        self.is_first = False  # a first snapshot is being applied
        self.is_large = False  # a large snapshot is being applied

    @property
    def withholds_up_endpoints(self) -> bool:
        """Whether endpoints that come up are announced only at the end."""
        return self.is_first and self.is_large

    def begin(self, is_first: bool, is_large: bool) -> None:
        """Begin a snapshot, possibly while another one is being applied."""
        self.is_first = self.is_first or is_first
        self.is_large = self.is_large or is_large

    def end(self) -> None:
        """End all snapshots: no record is pending any more."""
        self.is_first = self.is_large = False

    def take_unannounced(self) -> Changes:
        """Remove and return all unannounced changes; the caller announces them."""
        changes, self.unannounced = self.unannounced, {}
        return changes

    def withdraw(self, endpoint_ids: Iterable[str]) -> Changes:
        """Remove and return the unannounced changes of endpoints that are about to be updated again."""
        unannounced = self.unannounced
        return {one: unannounced.pop(one) for one in endpoint_ids if one in unannounced}

    def withhold(self, changes: Changes) -> Changes:
        """Replace older unannounced changes by these; returns the ones to announce now."""
        for endpoint_id in changes.keys() & self.unannounced.keys():
            del self.unannounced[endpoint_id]
        if not self.withholds_up_endpoints:
            return changes
        self.unannounced |= {one: new for one, new in changes.items() if new.endpoint.phase is Phase.UP}
        return {one: new for one, new in changes.items() if new.endpoint.phase is not Phase.UP}
