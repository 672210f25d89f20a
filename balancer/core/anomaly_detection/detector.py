"""Detects servers that behave anomalously, from observations of each server, and reports events about them.

`AnomalyDetector` runs in rounds of about a second: `begin_round`, then `observe` for each server with
activity, then `end_round`, which returns the events. It reads no clock, performs no I/O and delegates to:

- `baselines`, which learns the normal behavior of each server and tests observations with `cusum`;
- `shared_causes`, which groups servers that are anomalous together;
- `fleet_shifts`, which detects shifts that all servers share;
- `node_stalls`, which keeps stalls of the node itself from being attributed to servers;
- `anomaly_log`, which opens, updates and ends anomalies with their `evidence`, and bounds the events.
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

SHARED_CAUSE_WAIT_MS = 1_100.0  # one round, in which other affected servers may cross the threshold
SHARED_CAUSE_MEMORY_MS = 3 * SHARED_CAUSE_WAIT_MS  # a wait without any crossing ends after it


class AnomalyDetector:
    """Detects anomalies among all the servers of one node."""

    def __init__(self) -> None:
        self.baselines = Baselines()
        self.log = AnomalyLog(self.baselines)
        self.node_stalls = NodeStalls()
        self.waiting_since_ms: dict[Signal, float] = {}  # start of the wait for further suspects
        self.is_node_stalled = False  # in this round, whose response times the stall distorts

    @property
    def now_ms(self) -> float:
        """The time of the last round."""
        return self.baselines.now_ms

    @property
    def servers(self) -> dict[str, ServerState]:
        """All known servers by name."""
        return self.baselines.servers

    @property
    def open_anomalies(self) -> dict[int, Anomaly]:
        """The anomalies that have begun and not ended, by ID."""
        return self.log.open_anomalies

    @property
    def suppressed_count(self) -> int:
        """Number of anomalies and events that were not reported individually."""
        return self.log.suppressed_count

    def begin_round(self, now_ms: float, stall_ms: float = 0.0) -> bool:
        """Begin a round; `stall_ms` is how long the node itself was stalled since the last round.

        Return False without beginning the round if no time has passed.
        """
        if now_ms <= self.baselines.now_ms:
            return False
        self.is_node_stalled = self.node_stalls.add_round(now_ms, stall_ms)
        self.baselines.begin_round(now_ms)
        return True

    def observe(self, observation: ServerObservation) -> None:
        """Process the observation of one server."""
        self.log.count_row(self.baselines.observe(observation, self.is_node_stalled))

    def end_round(self) -> list[TimelineEvent]:
        """End the round and return its events, in bounded number."""
        for signal, crossed in self.baselines.end_round().items():
            self._open(signal, crossed)
        self._drop_expired_waits()
        if not self.is_node_stalled:
            fleet_shifts.detect(self.baselines, self.log)
        self.node_stalls.report(self.log)
        self.log.end_recovered()
        self.baselines.remove_inactive_servers()
        return self.log.take_events()

    def _open(self, signal: Signal, crossed: Suspicions) -> None:
        """Open anomalies, of a group or of single servers, for crossings that belong to no open anomaly."""
        unassigned = {
            name: suspicion
            for name, suspicion in crossed.items()
            if not self.log.update_if_open(signal, name, suspicion)
        }
        if not unassigned:
            return
        active = self.baselines.active_servers()
        suspected = {
            name: suspicion
            for name, suspicion in shared_causes.suspects(signal, unassigned, active).items()
            if name in unassigned
            or not self.log.update_if_open(signal, name, suspicion)
            or self.log.has_open_server_anomaly(signal, name)
        }
        if len(suspected) > 1 and self._must_wait(signal):
            return  # they cross the threshold again in the next round
        self.waiting_since_ms.pop(signal, None)
        group = shared_causes.affected_group(suspected, active)
        if group is not None:
            self.log.begin_group(signal, group, suspected)
            return
        for name, suspicion in unassigned.items():
            self.log.begin_server(signal, name, suspicion)

    def _must_wait(self, signal: Signal) -> bool:
        """Whether to wait for further servers that the same cause affects."""
        now_ms = self.baselines.now_ms
        return now_ms - self.waiting_since_ms.setdefault(signal, now_ms) < SHARED_CAUSE_WAIT_MS

    def _drop_expired_waits(self) -> None:
        for signal, since_ms in list(self.waiting_since_ms.items()):
            if self.baselines.now_ms - since_ms > SHARED_CAUSE_MEMORY_MS:
                del self.waiting_since_ms[signal]
