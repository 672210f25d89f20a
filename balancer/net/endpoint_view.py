"""The fleet as the node sees it: one view, merged from the sources of its list, handed on to the node."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

from balancer.core.discovery import endpoint_merger as membership
from balancer.core.discovery.endpoint_merger import EndpointMerger, Source

log = logging.getLogger(__name__)


class ViewSink(Protocol):
    """Who is told of changes of the view."""

    def now(self) -> float:
        """Milliseconds; never goes back."""

    def apply(self, change: membership.ApplyEndpoints) -> None:
        """Take a change."""


class EndpointView:
    """Runs the merge: events of sources in, changes of the view out. It decides nothing."""

    def __init__(self, sink: ViewSink, sources: list[Source]) -> None:
        self.sink = sink
        self.merger = EndpointMerger(sources)
        self.loop = asyncio.get_running_loop()
        self.listeners: list[Callable[[membership.Event, list[membership.Action]], None]] = []  # told last

    def handle(self, event: membership.Event) -> None:
        """An event of a source. Never raises: a source in the middle of its work would stay so."""
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
            except Exception:  # guards the list against whoever only watches
                log.exception("membership: a listener failed on %s", type(event).__name__)

    def _execute(self, action: membership.Action) -> None:
        match action:
            case membership.ApplyEndpoints():
                self.sink.apply(action)
            case membership.ScheduleNextSlice():
                self.loop.call_soon(self.handle, membership.NextSliceDue())
            case membership.WriteLog():
                log.log(logging.WARNING if action.is_warning else logging.INFO, "%s", action.text)

    def watch_revision(self, name: str) -> int | None:
        """The revision to watch a source from; None: only its whole list will do."""
        return self.merger.watch_revision(name)

    def report(self) -> dict[str, Any]:
        """What the sources say of whom, for operators."""
        from balancer.core.discovery.merge_report import build_report

        return build_report(self.merger)
