"""The time line of a running node: the observer, its second hand, its answers on the control socket.

`TimelinePart` keeps what `[timeline]` switches on, off and over while the node runs. The second hand closes a
few lines in one turn of the loop and then lets requests go on; by how much it was late itself tells that the
node stood still.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from datetime import UTC, datetime
from functools import partial
from typing import Any

from balancer import interface as api
from balancer.core.anomaly_detection.events import EventType, TimelineEvent
from balancer.net.component import RunningNode
from balancer.operator_settings import OperatorSettings, TimelineSettings
from balancer.timeline import queries as views
from balancer.timeline.monitor import TimelineMonitor

log = logging.getLogger(__name__)

INTERVAL_S = 1.0  # s
LATE_TURN_S = 0.05  # s by which a turn may be late without counting as a stall
MAX_LOG_LINES = 10  # lines of events logged in one second
COMMANDS = {"timeline": views.timeline, "events": views.events, "why": views.why}


class TimelineComponent:
    """Switches the time line on and off."""

    def __init__(self, running: RunningNode) -> None:
        self.running, self.node, self.control = running, running.node, running.control
        self.watch: TimelineMonitor | None = None
        self.loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None

    def apply(self, settings: OperatorSettings) -> None:
        """Switch it on or off, or give it another size."""
        self._apply(settings.timeline)
        self.running.watch = self.watch

    async def close(self) -> None:
        """Switch it off."""
        self.stop()
        self.running.watch = None

    def _apply(self, settings: TimelineSettings | None) -> None:
        if settings is None:
            self.stop()
            return
        if self.watch is not None:
            self.watch.recorder.resize(settings.memory_mb)
            return
        self.watch = TimelineMonitor(self.node.settings, settings.memory_mb, self._look)
        # The node has had its first list by now: without it no line would know its zone.
        known = [backend.endpoint for backend in self.node.balancer.backends.values()]
        self.watch.on_decision(
            self.node.now(), api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, known), []
        )
        self.watch.listeners.append(self._log_event)
        for name, view in COMMANDS.items():
            self.control.register_with(name, partial(view, self.watch))
        self.node.moved = self._moved
        self.running.observers.add(self.watch)
        self._task = self.loop.create_task(self._keep(self.watch))

    def stop(self) -> None:
        """Switch it off, and forget what was recorded."""
        if self._task is not None:
            self._task.cancel()
        self.running.observers.remove(self.watch)
        self.watch = self._task = self.node.moved = None
        for name in COMMANDS:
            self.control.register_with(name, None)

    def _look(self, name: str) -> tuple[int, float, str] | None:
        backend = self.node.balancer.backends.get(name)
        return (
            None
            if backend is None
            else (backend.queue_estimate, backend.endpoint.weight, backend.endpoint.phase.value)
        )

    def _moved(self, name: str) -> None:
        if self.watch is not None:
            now = self.node.now()
            at = datetime.fromtimestamp(now / 1000, UTC).isoformat(timespec="seconds")
            self.watch.recorder.end_server_line(name, now, f"until it moved, {at}")

    async def _keep(self, watch: TimelineMonitor) -> None:
        due = self.loop.time() + INTERVAL_S
        while True:
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            late = self.loop.time() - due
            try:
                watch.begin(self.node.now(), late * 1000 if late > LATE_TURN_S else 0.0)
                while watch.step():
                    await asyncio.sleep(0)  # requests go on between two pieces
            except Exception:  # guards requests against whoever only watches
                log.exception("the time line failed and is switched off")
                self.running.observers.remove(watch)
                return
            due = max(due + INTERVAL_S, self.loop.time())

    def _log_event(self, told: Sequence[TimelineEvent]) -> None:
        for one in told[:MAX_LOG_LINES]:
            level = logging.INFO if one.event_type is EventType.ANOMALY_CHANGED else logging.WARNING
            log.log(level, "%s", describe_event(one.to_json()))


def describe_event(event: dict[str, Any]) -> str:
    """An event in one line; names from the list are shown without what a terminal would obey."""
    evidence = ", ".join(f"{key} {value}" for key, value in event["evidence"].items())
    subject = "".join(c if c.isprintable() else "?" for c in str(event["subject"]))
    return f"{event['event']} {event['id']}: {event['signal']} of {event['scope']} {subject} ({evidence})"
