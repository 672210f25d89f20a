"""The lifecycle of anomalies: opens, updates and ends them, and emits a bounded number of events.

Bounds: `MAX_OPEN_ANOMALIES` are open at a time, and a round emits `MAX_EVENTS_PER_ROUND` events. Those above
the limits are counted in `suppressed_count`.
"""

from __future__ import annotations

from bisect import insort

from balancer.core.anomaly_detection import cusum, evidence, shared_causes
from balancer.core.anomaly_detection.baselines import (
    INACTIVITY_TIMEOUT_MS,
    LOAD_LEVEL,
    Baselines,
    ServerState,
)
from balancer.core.anomaly_detection.cusum import PROPORTION_TESTS
from balancer.core.anomaly_detection.events import (
    Anomaly,
    EventType,
    Group,
    Scope,
    Signal,
    Suspicion,
    Suspicions,
    TimelineEvent,
)

MAX_OPEN_ANOMALIES = 256
MAX_EVENTS_PER_ROUND = 20  # the first of each kind takes precedence
MAX_REMEMBERED_SUPPRESSIONS = 20_000  # so that an anomaly that cannot be opened is counted once

RECOVERY_ROWS = 8  # normal rows per server that end an anomaly
ANOMALOUS_ROW_COST = 2  # normal rows cancelled by an anomalous one: an intermittent fault does not end
MIN_UPDATE_INTERVAL_MS = 10_000.0  # between two events of one anomaly
MIN_UPDATE_CHANGE_RATIO = 0.25  # of the reported value
MIN_UPDATE_SERVERS_RATIO = 1.2  # of the reported number of servers
MIN_REMAINING_CHANGES = 2  # in the flapping window; more than a single restart makes


class AnomalyLog:
    """The open anomalies by ID, and the events of this round."""

    def __init__(self, baselines: Baselines) -> None:
        self.baselines = baselines
        self.open_anomalies: dict[int, Anomaly] = {}
        self.suppressed_count = 0  # anomalies and events that were not reported individually
        self._last_id = 0
        self._events: list[TimelineEvent] = []
        self._suppressed: set[tuple[Signal, str]] = set()  # since an anomaly last ended

    # --- opening

    def begin_group(self, signal: Signal, group: Group, suspected: Suspicions) -> None:
        """Open one anomaly of all suspects; earlier anomalies of single servers become part of it."""
        strongest = max(suspected.values(), key=lambda suspicion: suspicion.score)
        servers = set(suspected)
        evidence_fields = evidence.evidence_of(self.baselines, signal, servers, strongest)
        if len({suspicion.class_name for suspicion in suspected.values()}) > 1:
            evidence_fields.pop("class", None)
        since_ms = min(suspicion.since_ms for suspicion in suspected.values())
        self._absorb(signal, servers)
        self.begin(signal, group, since_ms, evidence_fields, servers, strongest.class_name)

    def begin_server(self, signal: Signal, name: str, suspicion: Suspicion) -> None:
        """Open an anomaly of one server."""
        evidence_fields = evidence.evidence_of(self.baselines, signal, {name}, suspicion)
        group = Group(Scope.SERVER, name)
        self.begin(signal, group, suspicion.since_ms, evidence_fields, {name}, suspicion.class_name)

    def begin(
        self,
        signal: Signal,
        group: Group,
        since_ms: float,
        evidence_fields: dict[str, object],
        servers: set[str],
        class_name: str = "",
    ) -> Anomaly | None:
        """Open an anomaly with this evidence; return None if too many are open."""
        if len(self.open_anomalies) >= MAX_OPEN_ANOMALIES:
            self._suppress(signal, group.subject)
            return None
        self._last_id += 1
        now_ms = self.baselines.now_ms
        anomaly = Anomaly(
            self._last_id,
            group.scope,
            group.subject,
            signal,
            now_ms,
            since_ms,
            evidence_fields,
            servers,
            class_name,
            last_observed_ms=now_ms,
        )
        self.open_anomalies[anomaly.id] = anomaly
        self._report(anomaly, EventType.ANOMALY_BEGAN)
        return anomaly

    def _suppress(self, signal: Signal, subject: str) -> None:
        key = signal, subject
        if len(self._suppressed) < MAX_REMEMBERED_SUPPRESSIONS and key not in self._suppressed:
            self._suppressed.add(key)
            self.suppressed_count += 1

    def _absorb(self, signal: Signal, servers: set[str]) -> None:
        """End the anomalies of single servers that the next anomaly covers."""
        related = shared_causes.related_signals(signal)
        for anomaly in list(self.open_anomalies.values()):
            if anomaly.scope is Scope.SERVER and anomaly.subject in servers and anomaly.signal in related:
                part_of = f"part of event {self._last_id + 1}"
                anomaly.evidence = {**anomaly.evidence, "ended_as": part_of}
                self._close(anomaly)

    # --- open anomalies

    def update_if_open(self, signal: Signal, name: str, suspicion: Suspicion) -> bool:
        """Update the open anomaly that covers a server's suspicion; return whether there is one."""
        for anomaly in self.open_anomalies.values():
            if shared_causes.is_part_of(anomaly, signal, name, self.baselines.servers):
                anomaly.servers.add(name)
                self._update(anomaly, suspicion)
                return True
        return False

    def has_open_server_anomaly(self, signal: Signal, name: str) -> bool:
        """Whether an anomaly of this single server is open."""
        related = shared_causes.related_signals(signal)
        return any(
            anomaly.scope is Scope.SERVER and anomaly.subject == name and anomaly.signal in related
            for anomaly in self.open_anomalies.values()
        )

    def _update(self, anomaly: Anomaly, suspicion: Suspicion) -> None:
        """Report an anomaly again if its value or its number of servers has changed considerably."""
        evidence_fields = evidence.evidence_of(self.baselines, anomaly.signal, anomaly.servers, suspicion)
        reported_servers = evidence.server_count(anomaly.evidence)
        has_grown = len(anomaly.servers) > MIN_UPDATE_SERVERS_RATIO * reported_servers
        change = abs(evidence.measured_value(evidence_fields) - anomaly.reported_value)
        has_changed = change > MIN_UPDATE_CHANGE_RATIO * abs(anomaly.reported_value)
        is_due = self.baselines.now_ms - anomaly.reported_ms >= MIN_UPDATE_INTERVAL_MS
        if (has_grown or has_changed) and is_due:
            anomaly.evidence = evidence_fields
            self._report(anomaly, EventType.ANOMALY_CHANGED)

    def count_row(self, server: ServerState) -> None:
        """Count a server's row as normal or anomalous in its open anomalies."""
        for anomaly in self.open_anomalies.values():
            if server.name in anomaly.servers and anomaly.scope not in (Scope.CLASS, Scope.NODE):
                anomaly.last_observed_ms = self.baselines.now_ms
                if is_still_anomalous(anomaly, server):
                    anomaly.normal_rows = max(0, anomaly.normal_rows - ANOMALOUS_ROW_COST)
                else:
                    anomaly.normal_rows += 1

    def count_shift_round(self, anomaly: Anomaly, is_present: bool) -> None:
        """Count a round for the shift of a class or of the fleet, and end the shift once it has recovered."""
        anomaly.normal_rows = 0 if is_present else anomaly.normal_rows + 1
        anomaly.last_observed_ms = self.baselines.now_ms
        if anomaly.normal_rows >= RECOVERY_ROWS:
            self.end(anomaly)

    # --- ending

    def end_recovered(self) -> None:
        """End the anomalies of servers that are normal again or are no longer observed."""
        for anomaly in list(self.open_anomalies.values()):
            if anomaly.scope in (Scope.CLASS, Scope.NODE) or anomaly.is_fleet_shift:
                continue
            if anomaly.normal_rows >= RECOVERY_ROWS * max(1, len(anomaly.servers)):
                self.end(anomaly)
            elif self.baselines.now_ms - anomaly.last_observed_ms > INACTIVITY_TIMEOUT_MS:
                self.end(anomaly, "nothing was heard of it any more")

    def end(self, anomaly: Anomaly, reason: str = "") -> None:
        """End an anomaly with its duration; `reason` is empty if the cause has disappeared."""
        lasted_ms = round(self.baselines.now_ms - anomaly.since_ms)
        anomaly.evidence = {**anomaly.evidence, "lasted_ms": lasted_ms}
        if reason:
            anomaly.evidence["ended_as"] = reason
        self._close(anomaly)

    def _close(self, anomaly: Anomaly) -> None:
        del self.open_anomalies[anomaly.id]
        self._suppressed.clear()
        for name in anomaly.servers:
            if (server := self.baselines.servers.get(name)) is not None:
                server.reset_scores(anomaly.signal)
        self._report(anomaly, EventType.ANOMALY_ENDED)

    # --- events

    def _report(self, anomaly: Anomaly, event_type: EventType) -> None:
        now_ms = self.baselines.now_ms
        anomaly.event_type, anomaly.at_ms, anomaly.reported_ms = event_type, now_ms, now_ms
        anomaly.reported_value = evidence.measured_value(anomaly.evidence)
        self._events.append(
            TimelineEvent(
                event_type,
                anomaly.id,
                now_ms,
                anomaly.since_ms,
                anomaly.scope,
                anomaly.subject,
                anomaly.signal,
                dict(anomaly.evidence),
            )
        )

    def take_events(self) -> list[TimelineEvent]:
        """Return at most `MAX_EVENTS_PER_ROUND` events of this round, preferring the first of each kind."""
        events, self._events = self._events, []
        if len(events) <= MAX_EVENTS_PER_ROUND:
            return events
        seen: set[tuple[EventType, Signal, Scope]] = set()
        first: list[tuple[int, TimelineEvent]] = []
        rest: list[tuple[int, TimelineEvent]] = []
        for number, event in enumerate(events):
            kind = event.event_type, event.signal, event.scope
            (rest if kind in seen else first).append((number, event))
            seen.add(kind)
        selected: list[tuple[int, TimelineEvent]] = []
        for item in (first + rest)[:MAX_EVENTS_PER_ROUND]:
            insort(selected, item, key=lambda pair: pair[0])
        self.suppressed_count += len(events) - len(selected)
        return [event for _, event in selected]


def is_still_anomalous(anomaly: Anomaly, server: ServerState) -> bool:
    """Whether a server still shows the signal of an anomaly."""
    match anomaly.signal:
        case signal if signal in PROPORTION_TESTS:
            return server.proportion_cusums[signal].score >= cusum.PROPORTION_SUSPICION_SCORE
        case Signal.STALE_REPORT:
            return server.has_stale_report
        case Signal.FLAPPING:
            return len(server.change_times_ms) >= MIN_REMAINING_CHANGES
        case signal:
            name = LOAD_LEVEL if signal is Signal.LOAD else anomaly.class_name
            level = server.levels.get(name)
            return level is not None and level.suspicion_ratio >= cusum.SUSPICION_RATIO
