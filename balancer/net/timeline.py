"""The timeline of a running node: its monitor, its timer and its commands on the control socket.

`TimelineComponent` switches it on, off and over as `[timeline]` says. Each second the timer closes the
monitor's series, a few in each turn of the loop, so that requests are served in between. The delay of the
timer itself shows that the node stalled.
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
from balancer.timeline import queries
from balancer.timeline.monitor import TimelineMonitor

log = logging.getLogger(__name__)

INTERVAL_S = 1.0
MAX_TIMER_DELAY_S = 0.05  # by which the timer may be late without counting as a stall
MAX_LOGGED_EVENTS = 10  # events that are logged in one second
COMMANDS = {"timeline": queries.timeline, "events": queries.events, "why": queries.why}


class TimelineComponent:
    """Switches the timeline on and off."""

    def __init__(self, running: RunningNode) -> None:
        self.running, self.node, self.control = running, running.node, running.admin_socket
        self.watch: TimelineMonitor | None = None
        self.loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None

    def apply(self, settings: OperatorSettings) -> None:
        """Switch the timeline on or off, or change its size."""
        self._apply(settings.timeline)
        self.running.timeline_monitor = self.watch

    async def close(self) -> None:
        """Switch the timeline off."""
        self.stop()
        self.running.timeline_monitor = None

    def _apply(self, settings: TimelineSettings | None) -> None:
        if settings is None:
            self.stop()
            return
        if self.watch is not None:
            self.watch.recorder.resize(settings.memory_mb)
            return
        self.watch = TimelineMonitor(self.node.settings, settings.memory_mb, self._backend_state)
        # The node has already received its first endpoint list; without it no series knows its zone.
        endpoints = [backend.endpoint for backend in self.node.balancer.backends.values()]
        self.watch.on_decision(
            self.node.now(), api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, endpoints), []
        )
        self.watch.listeners.append(self._log_event)
        for name, query in COMMANDS.items():
            self.control.register_with(name, partial(query, self.watch))
        self.node.on_backend_moved = self._on_backend_moved
        self.running.observers.add(self.watch)
        self._task = self.loop.create_task(self._run(self.watch))

    def stop(self) -> None:
        """Switch the timeline off and discard what was recorded."""
        if self._task is not None:
            self._task.cancel()
        self.running.observers.remove(self.watch)
        self.watch = self._task = self.node.on_backend_moved = None
        for name in COMMANDS:
            self.control.register_with(name, None)

    def _backend_state(self, name: str) -> tuple[int, float, str] | None:
        backend = self.node.balancer.backends.get(name)
        return (
            None
            if backend is None
            else (backend.queue_estimate, backend.endpoint.weight, backend.endpoint.phase.value)
        )

    def _on_backend_moved(self, name: str) -> None:
        if self.watch is not None:
            now_ms = self.node.now()
            timestamp = datetime.fromtimestamp(now_ms / 1000, UTC).isoformat(timespec="seconds")
            self.watch.recorder.end_server_line(name, now_ms, f"until it moved, {timestamp}")

    async def _run(self, monitor: TimelineMonitor) -> None:
        due_s = self.loop.time() + INTERVAL_S
        while True:
            await asyncio.sleep(max(0.0, due_s - self.loop.time()))
            delay_s = self.loop.time() - due_s
            try:
                monitor.begin(self.node.now(), delay_s * 1000 if delay_s > MAX_TIMER_DELAY_S else 0.0)
                while monitor.step():
                    await asyncio.sleep(0)  # requests are served in between
            except Exception:  # a failing observer must not stop requests
                log.exception("timeline: failed and switched off")
                self.running.observers.remove(monitor)
                return
            due_s = max(due_s + INTERVAL_S, self.loop.time())

    def _log_event(self, events: Sequence[TimelineEvent]) -> None:
        for event in events[:MAX_LOGGED_EVENTS]:
            level = logging.INFO if event.event_type is EventType.ANOMALY_CHANGED else logging.WARNING
            log.log(level, "%s", describe_event(event.to_json()))


def describe_event(event: dict[str, Any]) -> str:
    """Format an event as one line; control characters in names are replaced, as a terminal obeys them."""
    evidence = ", ".join(f"{key} {value}" for key, value in event["evidence"].items())
    subject = "".join(c if c.isprintable() else "?" for c in str(event["subject"]))
    return f"{event['event']} {event['id']}: {event['signal']} of {event['scope']} {subject} ({evidence})"
