"""`Recorder`: counts the events of servers, classes, zones and the node in one line each.

`on_decision` only counts; nothing is packed or merged there. `begin` and `step` close the open buckets, some
lines at a time, so that a node with thousands of servers does not block its event loop. The bucket of a
server closes once it holds `OUTCOMES_TO_CLOSE` outcomes or `MAX_BUCKET_WAIT_S` have passed: servers with
little traffic cost little, and their finest buckets are that long.

Bounds, all of them shares of `memory_mb`: packed buckets (`RETENTION_LEVELS` shrinks them), lines (lines that
were idle for a minute are evicted; if none is idle, further servers are counted in one common line) and
request traces. Each line keeps 24 notes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import ceil, log

from balancer import interface as api
from balancer.timeline import schema
from balancer.timeline.latency_histogram import (
    BIN_COUNT,
    BINS_PER_LOG_UNIT,
    FIRST_BIN_EXPONENT,
    MIN_MS,
)
from balancer.timeline.request_traces import MAX_TRACE_LENGTH, RequestTraces
from balancer.timeline.schema import (
    FIRST_LATENCY_KEY,
    FIRST_REASON_KEY,
    FIRST_STATUS_KEY,
    KEYS_PER_CLASS,
)
from balancer.timeline.time_series import (
    RETENTION_LEVELS,
    Gauges,
    Retention,
    Series,
)

OUTCOMES_TO_CLOSE = 10  # with this many outcomes a bucket closes at the next second
MAX_BUCKET_WAIT_S = 5  # a bucket closes after this time even with fewer outcomes
LINES_PER_STEP = 25  # closed in one call of `step`
MAX_NOTES_PER_LINE = 24
LINE_BYTES = 1_400  # a line without its buckets
TRACE_BYTES = 800
MEMORY_SHARES = (0.55, 0.25, 0.2)  # of the memory: buckets, lines, traces
OTHER_SERVERS = "(other servers)"
MAX_PAST_LINES = 64  # lines of servers whose id has moved to another address
# Aliases for the hot path: a global name is looked up faster than an attribute.
Outcome, Arrival, Send, Noted = (
    api.AttemptFinished,
    api.RequestArrived,
    api.SendAttempt,
    api.NoteBackendDecision,
)
OK, FIRST_ATTEMPT = api.AttemptStatus.OK, api.DecisionReason.FIRST_ATTEMPT
SERVER, CLASS, ZONE, NODE = "server", "class", "zone", "node"

ServerStateLookup = Callable[[str], tuple[int, float, str] | None]
"""Returns the balancer's current load estimate, weight and phase of a server; None if it is unknown."""


class Line:
    """The counters, gauges and notes of one server, class or zone, or of the node."""

    __slots__ = (
        "arrived_count",
        "bucket_start_s",
        "cell",
        "counts",
        "gauges",
        "identical_reports",
        "identical_since_ms",
        "kind",
        "last_closed_s",
        "max_own_attempts",
        "max_own_while_identical",
        "min_own_while_identical",
        "name",
        "notes",
        "outcome_count",
        "own_attempts",
        "reported_in_flight",
        "reported_queue",
        "scope",
        "sent_count",
        "series",
        "started_at_ms",
        "totals",
        "zone",
    )

    def __init__(self, scope: str, name: str, zone: str = "", kind: str = "", cell: int = -1) -> None:
        self.scope, self.name, self.zone, self.kind, self.cell = scope, name, zone, kind, cell
        self.counts: dict[int, int] = {}
        self.totals: dict[int, int] = {}  # of all closed buckets; servers have no response times here
        self.gauges = Gauges()
        self.series = Series()
        self.own_attempts = self.max_own_attempts = 0  # attempts in flight, and their maximum in this bucket
        self.outcome_count = 0  # in this bucket
        self.bucket_start_s = self.last_closed_s = 0  # start of this bucket, last close
        self.started_at_ms = 0.0
        self.notes: deque[tuple[float, str, int, float]] | None = None
        # Identical load reports: how many in a row, since when, and the range of the own attempts meanwhile.
        self.reported_in_flight: float | None = None
        self.reported_queue: float | None = None
        self.arrived_count = self.sent_count = 0  # in this bucket
        (
            self.identical_reports,
            self.identical_since_ms,
            self.min_own_while_identical,
            self.max_own_while_identical,
        ) = 0, 0.0, 0, 0

    def note(self, at_ms: float, what: str, count: int = 0, span_ms: float = 0.0) -> None:
        """Records a single decision or change with its time."""
        if self.notes is None:
            self.notes = deque(maxlen=MAX_NOTES_PER_LINE)
        self.notes.append((at_ms, what, count, span_ms))


@dataclass(slots=True)
class ClosedBucket:
    """A bucket that was just closed, before it is packed."""

    line: Line
    start_s: int
    span_s: int
    counts: dict[int, int]
    gauges: Gauges


class Recorder:
    """The lines of one node; implements `Observer`."""

    def __init__(
        self, classes: Sequence[str], memory_mb: float, lookup_state: ServerStateLookup = lambda name: None
    ) -> None:
        self.lookup_state = lookup_state
        self.class_first_keys = {
            name: FIRST_LATENCY_KEY + KEYS_PER_CLASS * index for index, name in enumerate(classes)
        }
        self.classes = {name: Line(CLASS, name) for name in classes}
        self.class_lines = list(self.classes.values())
        self.node, self.other_servers = Line(NODE, "node"), Line(SERVER, OTHER_SERVERS)
        self.servers: dict[str, Line] = {}
        self.zones: dict[str, Line] = {}
        self.past_lines: deque[Line] = deque(maxlen=MAX_PAST_LINES)
        self.endpoints: dict[str, api.Endpoint] = {}
        self.traces = RequestTraces(1, 1)
        self.open_traces = self.traces.open_traces
        self.overloaded_count = 0
        self.current_second = 0
        self.retention_level = 0  # index into `RETENTION_LEVELS`
        self.size_bytes = 0  # of the packed buckets
        self.evicted_count = 0  # lines
        self.dirty_lines: dict[str, Line] = {}  # servers with counts in their open bucket
        self._close_queue: deque[Line] = deque()
        self._lines_to_trim: Iterator[Line] = iter(())
        self.resize(memory_mb)

    # --- memory bounds

    def resize(self, memory_mb: float) -> None:
        """Sets the memory bound; what exceeds it is dropped during the next rounds of steps."""
        memory_bytes = memory_mb * 1024 * 1024
        self.max_bytes = int(memory_bytes * MEMORY_SHARES[0])
        self.max_lines = max(16, int(memory_bytes * MEMORY_SHARES[1] / LINE_BYTES))
        trace_count = max(64, int(memory_bytes * MEMORY_SHARES[2] / TRACE_BYTES))
        self.traces.resize(trace_count // 4, trace_count - trace_count // 4)

    @property
    def retention(self) -> Retention:
        """How long each resolution is kept at the current level."""
        return RETENTION_LEVELS[self.retention_level]

    # --- observer

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Counts an event and its actions. It runs twice for each request and so makes few calls."""
        event_type = type(event)
        if event_type is Outcome:
            self._count_outcome(now_ms, event)  # type: ignore[arg-type]
        elif event_type is Arrival:
            line = self.classes[event.class_name]  # type: ignore[union-attr]
            line.arrived_count += 1
            self.open_traces[event.request] = [event, now_ms]  # type: ignore[union-attr]
        elif event_type is api.EndpointsUpdated:
            self._update_endpoints(now_ms, event)  # type: ignore[arg-type]
        elif event_type is api.ClientLeft:
            self._count_client_left(now_ms, event)  # type: ignore[arg-type]
        for action in actions:
            action_type = type(action)
            if action_type is Send:
                self._count_send(now_ms, action)  # type: ignore[arg-type]
            elif action_type is api.RejectRequest or action_type is api.FailRequest:
                self._count_final_answer(now_ms, action)  # type: ignore[arg-type]
            elif action_type is Noted:
                self._count_backend_decision(now_ms, action)  # type: ignore[arg-type]

    def _count_send(self, now_ms: float, action: api.SendAttempt) -> None:
        line = self.servers.get(action.backend)
        if line is None:
            line = self._add_line(action.backend)
        counts = line.counts
        if not counts:
            self._mark_dirty(line)
        line.sent_count += 1
        key = FIRST_REASON_KEY + action.reason.number
        counts[key] = counts.get(key, 0) + 1
        line.own_attempts = own_attempts = line.own_attempts + 1
        if own_attempts > line.max_own_attempts:
            line.max_own_attempts = own_attempts
        if action.overloaded_count:
            self.overloaded_count += action.overloaded_count
        trace = self.open_traces.get(action.request)
        if trace is not None and len(trace) < MAX_TRACE_LENGTH:
            if len(trace) > 2 or action.cause is not FIRST_ATTEMPT:
                key = FIRST_REASON_KEY + action.cause.number
                counts[key] = counts.get(key, 0) + 1
            trace += (now_ms, action)

    def _count_outcome(self, now_ms: float, event: api.AttemptFinished) -> None:
        line = self.servers.get(event.backend)
        if line is None:
            line = self._add_line(event.backend)
        counts = line.counts
        if not counts:
            self._mark_dirty(line)
        if line.own_attempts > 0:
            line.own_attempts -= 1
        line.outcome_count += 1
        status = event.status
        key = FIRST_STATUS_KEY + status.number
        counts[key] = counts.get(key, 0) + 1
        request = event.request
        trace = self.open_traces.get(request)
        if trace is not None:
            arrival = trace[0]
            is_late = False
            if status is OK:
                duration_ms = event.duration_ms
                bin_index = (
                    ceil(log(duration_ms) * BINS_PER_LOG_UNIT) - FIRST_BIN_EXPONENT
                    if duration_ms > MIN_MS
                    else 0
                )
                key = self.class_first_keys[arrival.class_name] + (
                    bin_index if bin_index < BIN_COUNT else BIN_COUNT - 1
                )
                counts[key] = counts.get(key, 0) + 1
                if now_ms > arrival.deadline_ms:
                    is_late = True
                    self._count_for_class(arrival, schema.LATE)
            if len(trace) < MAX_TRACE_LENGTH:
                trace += (now_ms, event)
            if event.is_request_closed:
                self.traces.end(request, is_late or len(trace) > 6)
        load_report = event.load_report
        if load_report is not None:
            gauges = line.gauges
            gauges.in_flight = reported_in_flight = load_report.in_flight
            gauges.queue = reported_queue = load_report.queued
            if reported_in_flight == line.reported_in_flight and reported_queue == line.reported_queue:
                line.identical_reports += 1
                if line.own_attempts < line.min_own_while_identical:
                    line.min_own_while_identical = line.own_attempts
                elif line.own_attempts > line.max_own_while_identical:
                    line.max_own_while_identical = line.own_attempts
            else:
                (
                    line.reported_in_flight,
                    line.reported_queue,
                    line.identical_reports,
                    line.identical_since_ms,
                ) = reported_in_flight, reported_queue, 1, now_ms
                line.min_own_while_identical = line.max_own_while_identical = line.own_attempts

    def _count_for_class(self, arrival: api.RequestArrived, *keys: int) -> None:
        counts = self.classes[arrival.class_name].counts
        for key in keys:
            counts[key] = counts.get(key, 0) + 1

    def _count_final_answer(self, now_ms: float, action: api.RejectRequest | api.FailRequest) -> None:
        trace = self.open_traces.get(action.request)
        if trace is not None:
            is_rejected = type(action) is api.RejectRequest
            self._count_for_class(
                trace[0],
                schema.REFUSED if is_rejected else schema.FAILED,
                FIRST_REASON_KEY + action.reason.number,
            )
            trace += (now_ms, action)
            self.traces.end(action.request, True)

    def _count_client_left(self, now_ms: float, event: api.ClientLeft) -> None:
        trace = self.open_traces.get(event.request)
        if trace is not None:
            is_late = now_ms >= trace[0].deadline_ms - 50.0
            self._count_for_class(trace[0], schema.LATE if is_late else schema.CLIENT_GONE)
            trace += (now_ms, event)
            self.traces.end(event.request, True)

    def _count_backend_decision(self, now_ms: float, action: api.NoteBackendDecision) -> None:
        key = schema.KEY_BY_DECISION[action.decision]
        if not action.backend:
            self.node.counts[key] = self.node.counts.get(key, 0) + action.count
            return
        line = self._line_to_count(action.backend)
        line.counts[key] = line.counts.get(key, 0) + 1
        if (
            action.decision is not api.BackendDecision.REPORTED_IDLE
            and action.decision is not api.BackendDecision.PAUSED
        ):  # these two are only counted
            line.note(now_ms, action.decision.value, action.count, action.duration_ms)

    def _update_endpoints(self, now_ms: float, event: api.EndpointsUpdated) -> None:
        if event.kind is api.EndpointUpdateKind.FAILED:
            return
        if event.kind is not api.EndpointUpdateKind.INCREMENTAL:
            listed_ids = {entry.id for entry in event.endpoints}
            for name in [name for name in self.endpoints if name not in listed_ids]:
                del self.endpoints[name]
        for entry in event.endpoints:
            previous, line = self.endpoints.get(entry.id), self.servers.get(entry.id)
            if entry.phase is api.Phase.REMOVED:
                self.endpoints.pop(entry.id, None)
            else:
                self.endpoints[entry.id] = entry
            if line is None:
                continue
            line.zone, line.kind, line.cell = entry.zone, entry.kind, entry.cell
            if previous is None or previous.phase is not entry.phase:
                self._note_change(line, now_ms, schema.PHASE_CHANGED, entry.phase.value)
            if entry.started_at_ms > line.started_at_ms > 0 or (
                previous and entry.started_at_ms > previous.started_at_ms
            ):
                self._note_change(line, now_ms, schema.STARTED, "started")
            line.started_at_ms = entry.started_at_ms

    def _note_change(self, line: Line, now_ms: float, key: int, note: str) -> None:
        self._mark_dirty(line)
        line.counts[key] = line.counts.get(key, 0) + 1
        line.note(now_ms, note)

    def end_server_line(self, name: str, now_ms: float, note: str) -> None:
        """Moves the line of a server to the past lines: its id now belongs to another address."""
        line = self.servers.pop(name, None)
        self.dirty_lines.pop(name, None)
        if line is not None:
            line.note(now_ms, note)
            line.name = f"{name} ({note})"
            if len(self.past_lines) == MAX_PAST_LINES:
                self.size_bytes -= self.past_lines.popleft().series.size_bytes
            self.past_lines.append(line)

    # --- lines

    def _line_to_count(self, name: str) -> Line:
        line = self.servers.get(name)
        if line is None:
            line = self._add_line(name)
        if not line.counts:
            self._mark_dirty(line)
        return line

    def _mark_dirty(self, line: Line) -> None:
        if not line.counts:
            line.bucket_start_s = self.current_second
            self.dirty_lines[line.name] = line

    def _add_line(self, name: str) -> Line:
        if len(self.servers) >= self.max_lines and not self._evict_idle_line():
            return self.other_servers
        line = self.servers[name] = Line(SERVER, name)
        if (entry := self.endpoints.get(name)) is not None:
            line.zone, line.kind, line.cell = entry.zone, entry.kind, entry.cell
            line.started_at_ms = entry.started_at_ms
        return line

    def _evict_idle_line(self) -> bool:
        """Evicts a line that was idle for a minute. Examines 16 lines at most and moves each to the end."""
        for _ in range(min(16, len(self.servers))):
            name = next(iter(self.servers))
            line = self.servers.pop(name)
            if not line.counts and not line.own_attempts and self.current_second - line.last_closed_s > 60:
                self.size_bytes -= line.series.size_bytes
                self.evicted_count += 1
                return True
            self.servers[name] = line
        return False

    def lines(self) -> Iterator[Line]:
        """Yields all lines, the node's first."""
        yield self.node
        yield from list(self.classes.values())
        yield from list(self.zones.values())
        yield from list(self.servers.values())
        yield from list(self.past_lines)
        if self.other_servers.series.last_second:
            yield self.other_servers

    # --- closing buckets

    def begin(self, now_ms: float) -> None:
        """Starts a round at the end of a second; the next steps close the open buckets."""
        now_s = int(now_ms / 1000)
        if now_s <= self.current_second or self._close_queue:
            return  # the clock stands still, or the previous round is not over
        self.current_second = now_s
        latest_start_s = now_s - MAX_BUCKET_WAIT_S
        self._close_queue.extend(
            line
            for line in self.dirty_lines.values()
            if line.outcome_count >= OUTCOMES_TO_CLOSE or line.bucket_start_s <= latest_start_s
        )
        for line in self.classes.values():
            if line.arrived_count:
                line.counts[schema.ARRIVED], line.arrived_count = line.arrived_count, 0
        if self.overloaded_count:
            self.node.counts[schema.OVERLOADED] = (
                self.node.counts.get(schema.OVERLOADED, 0) + self.overloaded_count
            )
            self.overloaded_count = 0
        aggregate_lines = (*self.zones.values(), self.node, *self.classes.values())
        self._close_queue.extend(line for line in aggregate_lines if line.counts)

    def step(self, count: int = LINES_PER_STEP) -> list[ClosedBucket]:
        """Closes the buckets of some lines; returns none once the round is over.

        Servers close before zones, the node and classes, whose buckets sum up those of the servers.
        """
        closed: list[ClosedBucket] = []
        while self._close_queue and len(closed) < count:
            line = self._close_queue.popleft()
            if line.counts:
                closed.append(self._close_bucket(line))
        if not closed:
            self._trim_lines()
        return closed

    def _close_bucket(self, line: Line) -> ClosedBucket:
        start_s = self.current_second - 1
        counts, gauges, line.counts = line.counts, line.gauges, {}
        gauges.max_own_attempts, line.outcome_count = line.max_own_attempts, 0
        if line.sent_count:
            counts[schema.ATTEMPTS], line.sent_count = line.sent_count, 0
        line.gauges, line.max_own_attempts = Gauges(), line.own_attempts
        if line.scope == SERVER:
            self.dirty_lines.pop(line.name, None)
            if (state := self.lookup_state(line.name)) is not None:
                gauges.estimate, gauges.weight, gauges.phase = state
            if line.zone:
                zone = self.zones.get(line.zone)
                if zone is None and len(self.zones) < 256:
                    zone = self.zones[line.zone] = Line(ZONE, line.zone)
                if zone is not None:
                    _add_counts(zone.counts, counts)
            _add_counts(self.node.counts, counts)
            for key, count in counts.items():
                if key >= FIRST_LATENCY_KEY:
                    class_counts = self.class_lines[(key - FIRST_LATENCY_KEY) // KEYS_PER_CLASS].counts
                    class_counts[key] = class_counts.get(key, 0) + count
                    class_counts[schema.OK] = class_counts.get(schema.OK, 0) + count
        elif line.scope == CLASS:
            for key in (schema.ARRIVED, schema.REFUSED, schema.FAILED, schema.LATE, schema.CLIENT_GONE):
                if key in counts:
                    self.node.counts[key] = self.node.counts.get(key, 0) + counts[key]
        totals = line.totals
        for key, count in counts.items():
            if key < FIRST_LATENCY_KEY or line.scope is CLASS:
                totals[key] = totals.get(key, 0) + count
        size_before_bytes = line.series.size_bytes
        line.series.add(start_s, counts, gauges)
        line.series.trim(start_s, self.retention)
        self.size_bytes += line.series.size_bytes - size_before_bytes
        span_s = max(1, self.current_second - line.bucket_start_s) if line.scope == SERVER else 1
        line.last_closed_s = line.bucket_start_s = self.current_second
        return ClosedBucket(line, start_s, span_s, counts, gauges)

    def _trim_lines(self) -> None:
        """Lowers the retention once memory is exceeded; raises it below 40% use, at most once a minute."""
        if self.size_bytes > self.max_bytes and self.retention_level < len(RETENTION_LEVELS) - 1:
            self.retention_level += 1
        elif (
            self.size_bytes < self.max_bytes * 0.4 and self.retention_level and self.current_second % 60 == 0
        ):
            self.retention_level -= 1
        for _ in range(LINES_PER_STEP * 2):
            line = next(self._lines_to_trim, None)
            if line is None:
                self._lines_to_trim = self.lines()
                return
            size_before_bytes = line.series.size_bytes
            line.series.trim(
                self.current_second, self.retention, 0 if self.size_bytes > self.max_bytes else 64
            )
            self.size_bytes += line.series.size_bytes - size_before_bytes


def _add_counts(totals: dict[int, int], counts: Mapping[int, int]) -> None:
    for key, count in counts.items():
        totals[key] = totals.get(key, 0) + count
