"""`Watch`: the recorder and the detection of departures as one observer, with what operators may ask of them.

The caller gives it a second now and then (`begin`, then `step` until it returns False); it holds no clock.
Bounds: `EVENTS` past events kept.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from balancer import interface as api
from balancer.core.anomaly_detection.detector import Departures, Row, Told
from balancer.timeline import latency_histogram as sketch
from balancer.timeline import schema as keys
from balancer.timeline.recorder import (
    SERVER,
    Closed,
    Look,
    Recorder,
)

EVENTS = 2_000
AFTER_RAMP_MS = 10_000.0  # from the end of its slow start on a server's answer times count

Listener = Callable[[Sequence[Told]], None]


class Watch:
    """One node's time line; an `Observer`."""

    def __init__(self, settings: api.Settings, memory_mb: float, look: Look = lambda name: None) -> None:
        self.names = [c.name for c in settings.classes]
        self.ramp_ms = settings.slow_start_duration_ms
        self.recorder = Recorder(self.names, memory_mb, look)
        self.departures = Departures()
        self.events: deque[Told] = deque(maxlen=EVENTS)
        self.told = 0  # events so far
        self.listeners: list[Listener] = []
        self.on_decision = self.recorder.on_decision
        self._open = False

    def tell(self, told: Told) -> None:
        """An event that somebody else found."""
        self.events.append(told)
        self.told += 1

    def begin(self, now_ms: float, stall_ms: float = 0.0) -> None:
        """A second is over; `stall_ms` is by how much the node itself was late for it."""
        if not self._open and self.departures.begin(now_ms, stall_ms):
            self._open = True
            self.recorder.begin(now_ms)

    def step(self) -> bool:
        """Some of the work of a second; False once it is done."""
        if not self._open:
            return False
        closed = self.recorder.step()
        for one in closed:
            if one.line.scope == SERVER and one.line is not self.recorder.others:
                self.departures.row(self._row(one))
        if closed:
            return True
        self._open = False
        if told := self.departures.end():
            self.events.extend(told)
            self.told += len(told)
            for listener in list(self.listeners):
                listener(told)
        return False

    def _row(self, closed: Closed) -> Row:
        line, counts, now_ms = closed.line, closed.counts, self.departures.now_ms
        times: dict[str, tuple[int, float, float]] = {}
        by_class: dict[int, list[tuple[int, int]]] = {}
        for key, count in counts.items():
            if key >= keys.TIMES:
                at = key - keys.TIMES
                by_class.setdefault(at // keys.WIDTH, []).append((at % keys.WIDTH, count))
        for number, bins in by_class.items():
            times[self.names[number]] = sketch.moments(bins)
        gauges = closed.gauges
        return Row(
            line.name,
            line.zone,
            line.kind,
            line.cell,
            times,
            answers=counts.get(keys.OK, 0),
            errors=sum(counts.get(key, 0) for key in keys.ERRORS),
            turned_away=counts.get(keys.TURNED_AWAY, 0),
            silent=counts.get(keys.TIMED_OUT, 0),
            load=gauges.in_flight if gauges.in_flight is not None else gauges.queue,
            changes=counts.get(keys.STARTED, 0) + counts.get(keys.PHASED, 0),
            same=line.same,
            same_ms=now_ms - line.same_ms if line.same else 0.0,
            spread=line.same_high - line.same_low,
            cold=line.started_at > 0 and now_ms < line.started_at + self.ramp_ms + AFTER_RAMP_MS,
        )
