"""Stalls of the node's own event loop, which delay all responses and are not attributed to any server."""

from __future__ import annotations

from balancer.core.anomaly_detection.anomaly_log import AnomalyLog
from balancer.core.anomaly_detection.events import Anomaly, Group, Scope, Signal

MIN_STALL_MS = 250.0  # shorter delays are normal work of the event loop
MIN_STALL_TOTAL_MS = 1_000.0  # in the window, before an anomaly is reported
STALL_WINDOW_MS = 10_000.0


class NodeStalls:
    """The stalls of the last `STALL_WINDOW_MS`, and the anomaly by which they are reported."""

    def __init__(self) -> None:
        self.stalls: list[tuple[float, float]] = []  # end and duration of each stall
        self.anomaly: Anomaly | None = None

    def add_round(self, now_ms: float, stall_ms: float) -> bool:
        """Record a round; return whether the node was stalled since the last one."""
        is_stalled = stall_ms >= MIN_STALL_MS
        if is_stalled:
            self.stalls.append((now_ms, stall_ms))
        self.stalls = [stall for stall in self.stalls if now_ms - stall[0] <= STALL_WINDOW_MS]
        return is_stalled

    def report(self, log: AnomalyLog) -> None:
        """Begin an anomaly once the stalls add up to the minimum; end it when none is left in the window."""
        total_ms = sum(stall_ms for _, stall_ms in self.stalls)
        if total_ms >= MIN_STALL_TOTAL_MS:
            if self.anomaly is None:
                self._begin(log, total_ms)
        elif not self.stalls and self.anomaly is not None:
            anomaly, self.anomaly = self.anomaly, None
            if anomaly.id in log.open_anomalies:
                log.end(anomaly)

    def _begin(self, log: AnomalyLog, total_ms: float) -> None:
        ended_ms, stall_ms = self.stalls[0]
        fields: dict[str, object] = {
            "value": round(total_ms),
            "window_ms": STALL_WINDOW_MS,
            "cause": "the node's own loop stood still",
        }
        node = Group(Scope.NODE, "node")
        self.anomaly = log.begin(Signal.RESPONSE_TIME, node, ended_ms - stall_ms, fields, set())
