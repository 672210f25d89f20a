"""The timeline of a node: the recorder and the anomaly detection behind one observer.

The caller signals each second (`begin`, then `step` until it returns False); no clock is read here.
At most `MAX_PAST_EVENTS` events are kept.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from balancer import interface as api
from balancer.core.anomaly_detection.detector import AnomalyDetector
from balancer.core.anomaly_detection.events import ServerObservation, TimelineEvent
from balancer.timeline import latency_histogram, schema
from balancer.timeline.recorder import (
    SERVER,
    ClosedBucket,
    Recorder,
    ServerStateLookup,
)

MAX_PAST_EVENTS = 2_000
POST_SLOW_START_MS = 10_000.0  # response times are not tested for this long after a slow start

Listener = Callable[[Sequence[TimelineEvent]], None]


class TimelineMonitor:
    """The timeline of one node; implements `Observer`."""

    def __init__(
        self, settings: api.Settings, memory_mb: float, lookup_state: ServerStateLookup = lambda name: None
    ) -> None:
        self.class_names = [c.name for c in settings.classes]
        self.slow_start_duration_ms = settings.slow_start_duration_ms
        self.recorder = Recorder(self.class_names, memory_mb, lookup_state)
        self.detector = AnomalyDetector()
        self.events: deque[TimelineEvent] = deque(maxlen=MAX_PAST_EVENTS)
        self.event_count = 0  # all events so far, also those no longer kept
        self.listeners: list[Listener] = []
        self.on_decision = self.recorder.on_decision
        self._is_round_open = False

    def add_event(self, event: TimelineEvent) -> None:
        """Adds an event that another component detected."""
        self.events.append(event)
        self.event_count += 1

    def begin(self, now_ms: float, stall_ms: float = 0.0) -> None:
        """Starts the round of a second; `stall_ms` is the delay of the event loop."""
        if not self._is_round_open and self.detector.begin_round(now_ms, stall_ms):
            self._is_round_open = True
            self.recorder.begin(now_ms)

    def step(self) -> bool:
        """Does part of the work of a round; returns False once the round is done."""
        if not self._is_round_open:
            return False
        closed_buckets = self.recorder.step()
        for bucket in closed_buckets:
            if bucket.line.scope == SERVER and bucket.line is not self.recorder.other_servers:
                self.detector.observe(self._observation(bucket))
        if closed_buckets:
            return True
        self._is_round_open = False
        if events := self.detector.end_round():
            self.events.extend(events)
            self.event_count += len(events)
            for listener in list(self.listeners):
                listener(events)
        return False

    def _observation(self, bucket: ClosedBucket) -> ServerObservation:
        line, counts, now_ms = bucket.line, bucket.counts, self.detector.now_ms
        latency_moments: dict[str, tuple[int, float, float]] = {}
        by_class: dict[int, list[tuple[int, int]]] = {}
        for key, count in counts.items():
            if key >= schema.FIRST_LATENCY_KEY:
                latency_index = key - schema.FIRST_LATENCY_KEY
                by_class.setdefault(latency_index // schema.KEYS_PER_CLASS, []).append(
                    (latency_index % schema.KEYS_PER_CLASS, count)
                )
        for class_index, bins in by_class.items():
            latency_moments[self.class_names[class_index]] = latency_histogram.log_moments(bins)
        gauges = bucket.gauges
        return ServerObservation(
            line.name,
            line.zone,
            line.kind,
            line.cell,
            latency_moments,
            successes=counts.get(schema.OK, 0),
            errors=sum(counts.get(key, 0) for key in schema.ERROR_KEYS),
            rejections=counts.get(schema.REJECTED, 0),
            timeouts=counts.get(schema.TIMED_OUT, 0),
            reported_load=gauges.in_flight if gauges.in_flight is not None else gauges.queue,
            lifecycle_changes=counts.get(schema.STARTED, 0) + counts.get(schema.PHASE_CHANGED, 0),
            identical_reports=line.identical_reports,
            identical_reports_ms=now_ms - line.identical_since_ms if line.identical_reports else 0.0,
            own_count_spread=line.max_own_while_identical - line.min_own_while_identical,
            is_warming_up=line.started_at_ms > 0
            and now_ms < line.started_at_ms + self.slow_start_duration_ms + POST_SLOW_START_MS,
        )
