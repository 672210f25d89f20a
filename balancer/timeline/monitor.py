"""The time line of a node: the recorder and the anomaly detection behind one observer.

The caller hands in each second (`begin`, then `step` until it returns False); it reads no clock.
Bounds: `MAX_PAST_EVENTS` past events.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from balancer import interface as api
from balancer.core.anomaly_detection.detector import AnomalyDetector
from balancer.core.anomaly_detection.events import ServerObservation, TimelineEvent
from balancer.timeline import latency_histogram as sketch
from balancer.timeline import schema as keys
from balancer.timeline.recorder import (
    SERVER,
    Closed,
    Look,
    Recorder,
)

MAX_PAST_EVENTS = 2_000
POST_SLOW_START_MS = 10_000.0  # after its slow start a server's response times are not tested for so long

Listener = Callable[[Sequence[TimelineEvent]], None]


class TimelineMonitor:
    """One node's time line; an `Observer`."""

    def __init__(self, settings: api.Settings, memory_mb: float, look: Look = lambda name: None) -> None:
        self.class_names = [c.name for c in settings.classes]
        self.slow_start_duration_ms = settings.slow_start_duration_ms
        self.recorder = Recorder(self.class_names, memory_mb, look)
        self.detector = AnomalyDetector()
        self.events: deque[TimelineEvent] = deque(maxlen=MAX_PAST_EVENTS)
        self.event_count = 0  # events so far
        self.listeners: list[Listener] = []
        self.on_decision = self.recorder.on_decision
        self._is_round_open = False

    def add_event(self, event: TimelineEvent) -> None:
        """An event that somebody else found."""
        self.events.append(event)
        self.event_count += 1

    def begin(self, now_ms: float, stall_ms: float = 0.0) -> None:
        """A second is over; `stall_ms` is by how much the node itself was late for it."""
        if not self._is_round_open and self.detector.begin_round(now_ms, stall_ms):
            self._is_round_open = True
            self.recorder.begin(now_ms)

    def step(self) -> bool:
        """Some of the work of a second; False once it is done."""
        if not self._is_round_open:
            return False
        closed = self.recorder.step()
        for one in closed:
            if one.line.scope == SERVER and one.line is not self.recorder.others:
                self.detector.observe(self._observation(one))
        if closed:
            return True
        self._is_round_open = False
        if events := self.detector.end_round():
            self.events.extend(events)
            self.event_count += len(events)
            for listener in list(self.listeners):
                listener(events)
        return False

    def _observation(self, closed: Closed) -> ServerObservation:
        line, counts, now_ms = closed.line, closed.counts, self.detector.now_ms
        times: dict[str, tuple[int, float, float]] = {}
        by_class: dict[int, list[tuple[int, int]]] = {}
        for key, count in counts.items():
            if key >= keys.TIMES:
                at = key - keys.TIMES
                by_class.setdefault(at // keys.WIDTH, []).append((at % keys.WIDTH, count))
        for number, bins in by_class.items():
            times[self.class_names[number]] = sketch.moments(bins)
        gauges = closed.gauges
        return ServerObservation(
            line.name,
            line.zone,
            line.kind,
            line.cell,
            times,
            successes=counts.get(keys.OK, 0),
            errors=sum(counts.get(key, 0) for key in keys.ERRORS),
            rejections=counts.get(keys.TURNED_AWAY, 0),
            timeouts=counts.get(keys.TIMED_OUT, 0),
            reported_load=gauges.in_flight if gauges.in_flight is not None else gauges.queue,
            lifecycle_changes=counts.get(keys.STARTED, 0) + counts.get(keys.PHASED, 0),
            identical_reports=line.same,
            identical_reports_ms=now_ms - line.same_ms if line.same else 0.0,
            own_count_spread=line.same_high - line.same_low,
            is_warming_up=line.started_at > 0
            and now_ms < line.started_at + self.slow_start_duration_ms + POST_SLOW_START_MS,
        )
