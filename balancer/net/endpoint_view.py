"""The node's single view of its endpoints: merges the sources and passes changes to the node."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from balancer.core.discovery import endpoint_merger, merge_log
from balancer.core.discovery.source_state import Source

log = logging.getLogger(__name__)

Listener = Callable[[endpoint_merger.Event, list[endpoint_merger.Action]], None]


class ViewSink(Protocol):
    """Applies changes of the view."""

    def now(self) -> float:
        """Return a monotonic time in milliseconds."""

    def apply(self, change: endpoint_merger.ApplyEndpoints) -> None:
        """Apply one change."""


class EndpointView:
    """Passes events of sources to the endpoint merger and executes its actions."""

    def __init__(self, sink: ViewSink, sources: Sequence[Source]) -> None:
        self.sink = sink
        self.merger = endpoint_merger.EndpointMerger(sources)
        self.loop = asyncio.get_running_loop()
        self.listeners: list[Listener] = []  # called after the actions were executed

    def handle(self, event: endpoint_merger.Event) -> None:
        """Handle an event of a source. Never raises, so that an error cannot interrupt the source."""
        try:
            actions = self.merger.handle(self.sink.now(), event)
        except Exception:
            log.exception("membership: %s failed", type(event).__name__)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("membership: %s was not carried out", type(action).__name__)
        for listener in self.listeners:
            try:
                listener(event, actions)
            except Exception:  # an error of a listener must not affect the view
                log.exception("membership: a listener failed on %s", type(event).__name__)

    def _execute(self, action: endpoint_merger.Action) -> None:
        match action:
            case endpoint_merger.ApplyEndpoints():
                self.sink.apply(action)
            case endpoint_merger.ScheduleNextSlice():
                self.loop.call_soon(self.handle, endpoint_merger.NextSliceDue())
            case merge_log.WriteLog():
                log.log(logging.WARNING if action.is_warning else logging.INFO, "%s", action.text)

    def watch_revision(self, name: str) -> int | None:
        """Return the revision from which to watch a source, or None if a snapshot is required."""
        return self.merger.watch_revision(name)

    def report(self) -> dict[str, object]:
        """Return the lists of the sources and the merged view, for operators."""
        from balancer.core.discovery import merge_report  # loaded on demand to save startup time

        return dict(merge_report.build_report(self.merger))
