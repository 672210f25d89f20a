"""Detects servers that behave anomalously: observations of each server go in, events that name them come out.

`AnomalyDetector` is fed in rounds of about a second: `begin_round`, `observe` for each server that did
something, `end_round`, which returns the events. It reads no clock and performs no I/O. It only passes on:

- `baselines` learns what is normal for each server and tests what it does, by `cusum`;
- `shared_causes` finds servers that are anomalous together, `fleet_shifts` what all servers share;
- `node_stalls` keeps the node's own stalls off the servers' account;
- `anomaly_log` opens, updates and ends the anomalies, with the `evidence` of each, and bounds the events.
"""

from __future__ import annotations

from balancer.core.anomaly_detection import fleet_shifts, shared_causes
from balancer.core.anomaly_detection.anomaly_log import AnomalyLog
from balancer.core.anomaly_detection.baselines import Baselines, ServerState
from balancer.core.anomaly_detection.events import (
    Anomaly,
    ServerObservation,
    Signal,
    Suspicions,
    TimelineEvent,
)
from balancer.core.anomaly_detection.node_stalls import NodeStalls

SHARED_CAUSE_WAIT_MS = 1_100.0  # a round: others that the same cause affects may cross the threshold
SHARED_CAUSE_MEMORY_MS = 3 * SHARED_CAUSE_WAIT_MS  # a wait that nobody crossed a threshold in is over


class AnomalyDetector:
    """All servers of one node."""

    def __init__(self) -> None:
        self.baselines = Baselines()
        self.log = AnomalyLog(self.baselines)
        self.node_stalls = NodeStalls()
        self.waiting_since_ms: dict[Signal, float] = {}  # suspicions that wait for others
        self.is_node_stalled = False  # in this round: its response times are the node's own

    @property
    def now_ms(self) -> float:
        """The time of the last round."""
        return self.baselines.now_ms

    @property
    def servers(self) -> dict[str, ServerState]:
        """All servers that are known, by name."""
        return self.baselines.servers

    @property
    def open_anomalies(self) -> dict[int, Anomaly]:
        """The anomalies that have begun and not ended, by id."""
        return self.log.open

    @property
    def suppressed_count(self) -> int:
        """Anomalies and events that were not reported one by one."""
        return self.log.suppressed_count

    def begin_round(self, now_ms: float, stall_ms: float = 0.0) -> bool:
        """Begin a round; `stall_ms`: how long the node itself was stalled since the last one.

        False if no time has passed: the round is not begun.
        """
        if now_ms <= self.baselines.now_ms:
            return False
        self.is_node_stalled = self.node_stalls.add_round(now_ms, stall_ms)
        self.baselines.begin_round(now_ms)
        return True

    def observe(self, observation: ServerObservation) -> None:
        """Take in what one server did."""
        self.log.count_row(self.baselines.observe(observation, self.is_node_stalled))

    def end_round(self) -> list[TimelineEvent]:
        """End the round: what has begun, changed and ended, in bounded number."""
        for signal, crossed in self.baselines.end_round().items():
            self._open(signal, crossed)
        self._forget_waits()
        if not self.is_node_stalled:
            fleet_shifts.detect(self.baselines, self.log)
        self.node_stalls.report(self.log)
        self.log.end_recovered()
        self.baselines.remove_inactive_servers()
        return self.log.take_events()

    def _open(self, signal: Signal, crossed: Suspicions) -> None:
        """Open anomalies for what crossed a threshold and is part of none: of a group, or one by one."""
        new = {
            name: suspicion
            for name, suspicion in crossed.items()
            if not self.log.add_to_open(signal, name, suspicion)
        }
        if not new:
            return
        active = self.baselines.active_servers()
        suspected = {
            name: suspicion
            for name, suspicion in shared_causes.suspects(signal, new, active).items()
            if name in new
            or not self.log.add_to_open(signal, name, suspicion)
            or self.log.is_open_alone(signal, name)
        }
        if len(suspected) > 1 and self._must_wait(signal):
            return  # they cross it again in the next round
        self.waiting_since_ms.pop(signal, None)
        group = shared_causes.affected_group(suspected, active)
        if group is not None:
            self.log.begin_group(signal, group, suspected)
            return
        for name, suspicion in new.items():
            self.log.begin_server(signal, name, suspicion)

    def _must_wait(self, signal: Signal) -> bool:
        """Whether others may still be found that the same cause affects."""
        now_ms = self.baselines.now_ms
        return now_ms - self.waiting_since_ms.setdefault(signal, now_ms) < SHARED_CAUSE_WAIT_MS

    def _forget_waits(self) -> None:
        for signal, since_ms in list(self.waiting_since_ms.items()):
            if self.baselines.now_ms - since_ms > SHARED_CAUSE_MEMORY_MS:
                del self.waiting_since_ms[signal]
