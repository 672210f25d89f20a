"""Records, lists and a harness that applies the actions of an `EndpointMerger`, for its tests."""

from __future__ import annotations

from typing import Any

from balancer.core.discovery import endpoint_merger, merge_log
from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.source_state import Source, SourceState
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import Endpoint, EndpointUpdateKind, Phase

UP, DRAINING, REMOVED = Phase.UP, Phase.DRAINING, Phase.REMOVED


def make_record(name: str, phase: Phase = UP, port: int = 0, **overrides: Any) -> EndpointRecord:
    """An entry; its port follows from its name."""
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
    """A complete list."""
    return EndpointList(revision, True, records, **overrides)


def make_incremental(
    revision: int, *records: EndpointRecord, removed_ids: tuple[str, ...] = (), **overrides: Any
) -> EndpointList:
    """Changes."""
    return EndpointList(revision, False, records, removed_ids, **overrides)


class MergerHarness:
    """A membership, and the view as whoever is told of it has it."""

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
        """One event, and what it brings."""
        self.now_ms += 1.0
        for action in self.merger.handle(self.now_ms, event):
            match action:
                case endpoint_merger.ApplyEndpoints():
                    self.kinds.append(action.kind)
                    assert action.revision >= self.revision
                    self.revision = action.revision
                    for gone in action.removed_records:
                        assert gone.endpoint.phase is REMOVED
                        self.announced.pop(gone.endpoint.id, None)
                    for one in action.records:
                        self.announced[one.endpoint.id] = one
                case endpoint_merger.ScheduleNextSlice():
                    self.slice_scheduled = True
                case merge_log.WriteLog():
                    self.log_lines.append(action)

    def run_slices(self) -> None:
        """The loop's next turns, until nothing waits."""
        while self.slice_scheduled:
            self.slice_scheduled = False
            self.handle(endpoint_merger.NextSliceDue())

    def list_endpoints(self, source: str, listing: EndpointList, identity: str = "one", **over: Any) -> None:
        """A source lists, and the loop turns."""
        self.handle(endpoint_merger.EndpointsListed(source, identity, listing, **over))
        self.run_slices()

    def state(self, name: str) -> SourceState:
        """How far a source is believed."""
        return self.merger.sources[name].state

    @property
    def view(self) -> dict[str, str]:
        """Who is told to be what."""
        assert self.announced == self.merger.view
        return {name: one.endpoint.phase.value for name, one in self.announced.items()}
