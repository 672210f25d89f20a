"""Builders of records and lists, and a harness that applies the actions of an `EndpointMerger`."""

from __future__ import annotations

from typing import Any

from balancer.core.discovery import endpoint_merger, merge_log
from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.source_state import Source, SourceState
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Endpoint, EndpointUpdateKind, Phase

UP, DRAINING, REMOVED = Phase.UP, Phase.DRAINING, Phase.REMOVED


def make_record(name: str, phase: Phase = UP, port: int = 0, **overrides: Any) -> EndpointRecord:
    """A record whose port is derived from its name unless it is given."""
    fields: dict[str, Any] = {
        "id": name,
        "zone": "a",
        "cell": 0,
        "weight": 1.0,
        "phase": phase,
        "started_at_ms": 0.0,
    }
    return EndpointRecord(Endpoint(**(fields | overrides)), ("127.0.0.1", port or 1000 + sum(map(ord, name))))


def make_snapshot(revision: int, *records: EndpointRecord, **overrides: Any) -> EndpointList:
    """A snapshot with these records."""
    return EndpointList(revision, True, records, **overrides)


def make_incremental(
    revision: int, *records: EndpointRecord, removed_ids: tuple[str, ...] = (), **overrides: Any
) -> EndpointList:
    """An incremental list with these records and removals."""
    return EndpointList(revision, False, records, removed_ids, **overrides)


class MergerHarness:
    """An `EndpointMerger`, and the view that follows from the changes it announces."""

    def __init__(self, *sources: Source) -> None:
        self.merger = EndpointMerger(
            sources or (Source("platform"), Source("etcd", has_partial_revisions=True))
        )
        self.now_ms = 0.0
        self.announced: dict[str, EndpointRecord] = {}
        self.kinds: list[EndpointUpdateKind] = []
        self.log_lines: list[merge_log.WriteLog] = []
        self.slice_scheduled = False
        self.revision = 0

    def handle(self, event: endpoint_merger.Event) -> None:
        """Handle one event and apply the resulting actions."""
        self.now_ms += 1.0
        for action in self.merger.handle(self.now_ms, event):
            match action:
                case endpoint_merger.ApplyEndpoints():
                    self.kinds.append(action.kind)
                    assert action.revision >= self.revision
                    self.revision = action.revision
                    for removed in action.removed_records:
                        assert removed.endpoint.phase is REMOVED
                        self.announced.pop(removed.endpoint.id, None)
                    for record in action.records:
                        self.announced[record.endpoint.id] = record
                case endpoint_merger.ScheduleNextSlice():
                    self.slice_scheduled = True
                case merge_log.WriteLog():
                    self.log_lines.append(action)

    def run_slices(self) -> None:
        """Send `NextSliceDue` until no slice is scheduled."""
        while self.slice_scheduled:
            self.slice_scheduled = False
            self.handle(endpoint_merger.NextSliceDue())

    def list_endpoints(
        self, source: str, endpoint_list: EndpointList, identity: str = "one", **overrides: Any
    ) -> None:
        """Handle a list of a source and run all its slices."""
        self.handle(endpoint_merger.EndpointsListed(source, identity, endpoint_list, **overrides))
        self.run_slices()

    def state(self, name: str) -> SourceState:
        """The state of a source."""
        return self.merger.sources[name].state

    @property
    def view(self) -> dict[str, str]:
        """The phase of each announced endpoint; fails if the announced view differs from the merger's."""
        assert self.announced == self.merger.view
        return {name: record.endpoint.phase.value for name, record in self.announced.items()}
