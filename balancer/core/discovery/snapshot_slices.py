"""Large endpoint lists in slices, one turn of the event loop each, so that no list holds the loop for long.

Removals and draining are applied at once. Everything else of a large list waits in `Source.pending_records`
and is applied slice by slice. What a slice changed in the view may stay unannounced for a while:

- A first list is announced in one piece at its end: the request policy lays its subset out over all of it,
  and nothing waits for it meanwhile, as there is no backend to send to.
- In a large first list, other endpoints that come up meanwhile wait for that end too; removals and draining
  do not.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence, Sized
from itertools import islice

from balancer.core.discovery.merged_view import Changes
from balancer.core.discovery.source_state import Source, with_cached_age
from balancer.endpoints import EndpointRecord
from balancer.interface import Phase

SNAPSHOT_SLICE_ENTRIES = 500  # of a list that mostly repeats what is known
CHANGE_SLICE_ENTRIES = 125  # of one in which each entry changes the view, or that is large
LARGE_SNAPSHOT_ENTRIES = 1_000  # a snapshot of more entries is large: not even its first slice is immediate


def is_large(records: Sized) -> bool:
    """Whether a list of these records is large."""
    return len(records) > LARGE_SNAPSHOT_ENTRIES


def deferrable_changes(records: Sequence[EndpointRecord]) -> list[EndpointRecord]:
    """Of many incremental changes those that may wait in slices: the endpoints that are up."""
    if len(records) <= SNAPSHOT_SLICE_ENTRIES:
        return []
    return [record for record in records if record.endpoint.phase is Phase.UP]


def take_slice(source: Source) -> list[str]:
    """Store the next slice of a source's pending records; returns the ids in it."""
    size = CHANGE_SLICE_ENTRIES if source.uses_small_slices else SNAPSHOT_SLICE_ENTRIES
    endpoint_ids = list(islice(source.pending_records, size))
    pending, cached_age_ms = source.pending_records, source.pending_cached_age_ms
    source.store([with_cached_age(pending.pop(endpoint_id), cached_age_ms) for endpoint_id in endpoint_ids])
    return endpoint_ids


class SliceProgress:
    """The snapshots that are being applied in slices, and what they changed that is not announced yet."""

    def __init__(self) -> None:
        self.unannounced: Changes = {}
        self.is_first = False  # a first snapshot is under way
        self.is_large = False  # a large snapshot is under way

    @property
    def withholds_up_endpoints(self) -> bool:
        """Whether no endpoint is announced as up before the end."""
        return self.is_first and self.is_large

    def begin(self, is_first: bool, is_large: bool) -> None:
        """Begin another snapshot, perhaps while one is under way."""
        self.is_first = self.is_first or is_first
        self.is_large = self.is_large or is_large

    def end(self) -> None:
        """No record is pending any more."""
        self.is_first = self.is_large = False

    def take_unannounced(self) -> Changes:
        """All that is unannounced; the caller announces it."""
        changes, self.unannounced = self.unannounced, {}
        return changes

    def withdraw(self, endpoint_ids: Iterable[str]) -> Changes:
        """The unannounced changes of these endpoints, which are about to be updated again."""
        unannounced = self.unannounced
        return {one: unannounced.pop(one) for one in endpoint_ids if one in unannounced}

    def withhold(self, changes: Changes) -> Changes:
        """Put changes in place of older unannounced ones; returns those that are to be announced now."""
        for endpoint_id in changes.keys() & self.unannounced.keys():
            del self.unannounced[endpoint_id]
        if not self.withholds_up_endpoints:
            return changes
        self.unannounced |= {one: new for one, new in changes.items() if new.endpoint.phase is Phase.UP}
        return {one: new for one, new in changes.items() if new.endpoint.phase is not Phase.UP}
