"""Merges the records of all sources into one view, with at most one endpoint that is up at each address.

Rules for one endpoint, over the sources in order of precedence:

- it is removed if a source that may remove has removed it and has not listed it again;
- it drains if a source that may drain lists it as draining;
- otherwise it is up if a source that may add lists it. Address, zone, cell, kind and weight come from the
  first such source. The start time is the latest of all such sources, so that a backend that may be warming
  up is treated as warming up.

If several endpoints are up at one address, one is in the view and the others are shadowed. An endpoint
is also shadowed if a later process at its address drains or has gone by now: its own process has gone, too.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from balancer.core.discovery.source_state import Source, SourceRole
from balancer.endpoints import Address, EndpointRecord
from balancer.interface import Phase

Changes = dict[str, EndpointRecord]  # by endpoint id; the phase is REMOVED for an endpoint that left the view


def merge_records(sources: Mapping[str, Source], endpoint_id: str) -> EndpointRecord | None:
    """Merge the records of one endpoint over all sources; None if it must not be used."""
    first: EndpointRecord | None = None
    is_draining, started_at_ms, cached_ages_ms = False, 0.0, list[float | None]()
    for source in sources.values():
        if endpoint_id in source.removed_ids:
            return None
        if (record := source.records.get(endpoint_id)) is None:
            continue
        record_drains = record.endpoint.phase is not Phase.UP
        if source.role is not SourceRole.ADD:
            is_draining = is_draining or record_drains
        if source.role is SourceRole.REMOVE:
            continue
        started_at_ms = max(started_at_ms, record.endpoint.started_at_ms)
        cached_ages_ms.append(record.endpoint.cached_age_ms)
        if first is None or (first.endpoint.phase is not Phase.UP and not record_drains and not is_draining):
            first = record
    if first is None:
        return None
    phase = Phase.DRAINING if is_draining else first.endpoint.phase
    return _with_merged_fields(first, phase, started_at_ms, _youngest_age_ms(cached_ages_ms))


def _youngest_age_ms(cached_ages_ms: list[float | None]) -> float | None:
    """The lowest age, or None if any source confirms the endpoint."""
    if None in cached_ages_ms:
        return None
    return min(age_ms for age_ms in cached_ages_ms if age_ms is not None)


def _with_merged_fields(
    record: EndpointRecord, phase: Phase, started_at_ms: float, cached_age_ms: float | None
) -> EndpointRecord:
    endpoint = record.endpoint
    if (phase, started_at_ms, cached_age_ms) == (
        endpoint.phase,
        endpoint.started_at_ms,
        endpoint.cached_age_ms,
    ):
        return record
    merged = replace(endpoint, phase=phase, started_at_ms=started_at_ms, cached_age_ms=cached_age_ms)
    return EndpointRecord(merged, record.address)


class MergedView:
    """The current view. Updates record what they changed in `changes`; the caller announces it."""

    def __init__(self) -> None:
        self.records: dict[str, EndpointRecord] = {}  # up or draining
        self.shadowed_ids: set[str] = set()  # listed as up, but another endpoint is up at the same address
        # The endpoints listed as up at an address, in order of arrival, and the inverse.
        self._up_ids_by_address: dict[Address, dict[str, None]] = {}
        self._address_by_up_id: dict[str, Address] = {}
        # The endpoint whose process started last at an address, where it drains or has gone. Only for
        # addresses with endpoints that are listed as up, or whose process still drains.
        self._ended_processes: dict[Address, EndpointRecord] = {}
        # Addresses that several endpoints share or shared, and whose endpoints changed since the last
        # `resolve_contested`.
        self._contested_addresses: dict[Address, None] = {}

    @property
    def has_up_endpoints(self) -> bool:
        """Whether any endpoint is listed as up."""
        return bool(self._address_by_up_id)

    def update(self, endpoint_id: str, sources: Mapping[str, Source], changes: Changes) -> None:
        """Update one endpoint; `resolve_contested` has to be called after the last update."""
        merged = merge_records(sources, endpoint_id)
        address = None
        if merged is not None and merged.endpoint.phase is Phase.UP:
            address = merged.address
        previous_address = self._address_by_up_id.get(endpoint_id)
        if previous_address is not None and previous_address != address:
            self._withdraw_from_address(endpoint_id, previous_address)
        if merged is not None and address is None:
            self._note_ended(merged)
        if merged is not None and address is not None:
            self._reconsider_ended(endpoint_id, merged, is_new=previous_address != address)
            up_ids = self._up_ids_by_address.setdefault(address, {})
            up_ids[endpoint_id], self._address_by_up_id[endpoint_id] = None, address
            if len(up_ids) > 1 or self._is_replaced(merged):
                self._contested_addresses[address] = None
                return
            self.shadowed_ids.discard(endpoint_id)
        self._set_record(endpoint_id, merged, changes)

    def _withdraw_from_address(self, endpoint_id: str, address: Address) -> None:
        del self._address_by_up_id[endpoint_id]
        self.shadowed_ids.discard(endpoint_id)
        up_ids = self._up_ids_by_address[address]
        del up_ids[endpoint_id]
        if up_ids:
            self._contested_addresses[address] = None
            if (record := self.records.get(endpoint_id)) is not None:
                self._note_ended(record)
        else:
            del self._up_ids_by_address[address]
            self._forget_ended(address)

    def _note_ended(self, record: EndpointRecord) -> None:
        """Note that the process of a record drains or has gone: any that started before it there has gone."""
        address, started_at_ms = record.address, record.endpoint.started_at_ms
        ended = self._ended_processes.get(address)
        if started_at_ms > (0.0 if ended is None else ended.endpoint.started_at_ms):
            self._ended_processes[address] = record
            if address in self._up_ids_by_address:
                self._contested_addresses[address] = None

    def _reconsider_ended(self, endpoint_id: str, record: EndpointRecord, is_new: bool) -> None:
        """Forget an ended process that is up again, or after which another one came up at its address.

        The latter may be of unknown age: it is a new one if it is listed as up only after the other has gone.
        """
        ended = self._ended_processes.get(record.address)
        if ended is None:
            return
        is_same = ended.endpoint.id == endpoint_id
        is_successor = is_new and not record.endpoint.started_at_ms and ended.endpoint.id not in self.records
        if is_same or is_successor:
            del self._ended_processes[record.address]
            self._contested_addresses[record.address] = None

    def _forget_ended(self, address: Address) -> None:
        """Forget an ended process that is no longer listed at an address where no endpoint is up."""
        ended = self._ended_processes.get(address)
        if ended is None or address in self._up_ids_by_address:
            return
        record = self.records.get(ended.endpoint.id)
        if record is None or record.address != address:
            del self._ended_processes[address]

    def _is_replaced(self, record: EndpointRecord) -> bool:
        """Whether a later process has ended at the address of a record."""
        ended = self._ended_processes.get(record.address)
        return ended is not None and record.endpoint.started_at_ms < ended.endpoint.started_at_ms

    def resolve_contested(self, sources: Mapping[str, Source], changes: Changes) -> list[str]:
        """Choose one endpoint for each contested address; returns log lines on the shadowed ones.

        A single process listens at the address and would otherwise receive the load and the slow-start
        budget of each of its ids. This is done once for all updates, because comparing endpoints pairwise
        takes quadratic time if a whole list has a single address.
        """
        contested, self._contested_addresses = self._contested_addresses, {}
        log_lines: list[str] = []
        for address in contested:
            candidates = {
                endpoint_id: merged
                for endpoint_id in self._up_ids_by_address.get(address, ())
                if (merged := merge_records(sources, endpoint_id)) is not None
            }
            if candidates:
                self._resolve_address(address, candidates, changes, log_lines)
        return log_lines

    def _resolve_address(
        self, address: Address, candidates: Changes, changes: Changes, log_lines: list[str]
    ) -> None:
        """Use the endpoint that started last; if several started at the same time, the last to arrive.

        None is used if a later process has ended at the address.
        """
        # Reversed, because `max` returns the first of several equal items.
        winner = max(reversed(candidates), key=lambda one: candidates[one].endpoint.started_at_ms)
        if self._is_replaced(candidates[winner]):
            winner = self._ended_processes[address].endpoint.id
            reason = f"{winner!r:.300} started later and has ended at the same address"
        else:
            reason = f"{winner!r:.300} is up at the same address"
        for endpoint_id, merged in candidates.items():
            if endpoint_id == winner:
                self.shadowed_ids.discard(endpoint_id)
                self._set_record(endpoint_id, merged, changes)
                continue
            if endpoint_id not in self.shadowed_ids:
                self.shadowed_ids.add(endpoint_id)
                log_lines.append(f"{endpoint_id!r:.300} left out: {reason} {address[0]}:{address[1]}")
            self._set_record(endpoint_id, None, changes)

    def _set_record(self, endpoint_id: str, record: EndpointRecord | None, changes: Changes) -> None:
        previous = self.records.get(endpoint_id)
        if record is not None:
            if previous != record:
                self.records[endpoint_id] = changes[endpoint_id] = record
        elif previous is not None:
            del self.records[endpoint_id]
            removed = replace(previous.endpoint, phase=Phase.REMOVED)
            changes[endpoint_id] = EndpointRecord(removed, previous.address)
        if previous is not None:
            self._forget_ended(previous.address)
