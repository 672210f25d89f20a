"""`Recorder`: fills the lines of servers, classes, zones and the node from what the observer's port shows.

`on_decision` counts; nothing is packed or merged there. `begin` and `step` close what has gathered, some
lines at a
time, so that a node with thousands of servers has no long turn. A line closes once it holds `ENOUGH` outcomes
or `WAIT_S` have passed: servers with little traffic cost little, and their finest buckets are that long.

Bounds, all of them parts of `memory_mb`: packed buckets (thinned by `series.STEPS`), lines (those that
nothing happened to for a minute make room; where all are in use, what further servers do is counted in one
line for all of them), trails of requests. Notes: 24 a line.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import ceil, log

from balancer import interface as api
from balancer.timeline import schema as keys
from balancer.timeline.latency_histogram import (
    BINS,
    LEAST_MS,
    LOW,
    PER_STEP,
)
from balancer.timeline.request_traces import MOST, Trails
from balancer.timeline.schema import (
    STATUSES,
    TIMES,
    WHYS,
    WIDTH,
)
from balancer.timeline.time_series import (
    STEPS,
    Gauges,
    Series,
    Spans,
)

ENOUGH = 10  # outcomes with which a line closes at the next second
WAIT_S = 5  # and how long it waits for them
PIECE = 25  # lines closed in one step
NOTES = 24  # kept of a line
LINE_BYTES = 1_400  # a line without its buckets, measured
TRAIL_BYTES = 800
PARTS = (0.55, 0.25, 0.2)  # of the memory: buckets, lines, trails
OTHERS = "(other servers)"
PAST = 64  # lines of earlier lives kept
# A plain name is found faster.
Outcome, Arrival, Send, Noted = (
    api.AttemptFinished,
    api.RequestArrived,
    api.SendAttempt,
    api.NoteBackendDecision,
)
OK, FIRST = api.AttemptStatus.OK, api.DecisionReason.FIRST_ATTEMPT
SERVER, CLASS, ZONE, NODE = "server", "class", "zone", "node"

Look = Callable[[str], tuple[int, float, str] | None]
"""Estimate, weight and phase of a server as the module has them now; None: it does not know it."""


class Line:
    """What is counted of one server, class or zone, or of the node."""

    __slots__ = (
        "arrived",
        "cell",
        "counts",
        "done",
        "gauges",
        "kind",
        "most",
        "name",
        "notes",
        "own",
        "same",
        "same_high",
        "same_low",
        "same_ms",
        "scope",
        "sent",
        "series",
        "since",
        "started_at",
        "told_in_flight",
        "told_queue",
        "totals",
        "touched",
        "zone",
    )

    def __init__(self, scope: str, name: str, zone: str = "", kind: str = "", cell: int = -1) -> None:
        self.scope, self.name, self.zone, self.kind, self.cell = scope, name, zone, kind, cell
        self.counts: dict[int, int] = {}
        self.totals: dict[int, int] = {}  # of all closed buckets; of servers without the answer times
        self.gauges = Gauges()
        self.series = Series()
        self.own = self.most = 0  # attempts out, and the most of them in this bucket
        self.done = 0  # outcomes in this bucket
        self.since = self.touched = 0  # seconds: when this bucket began, when it last closed
        self.started_at = 0.0
        self.notes: deque[tuple[float, str, int, float]] | None = None
        # Reports that say the same: how many in a row, since when, the node's own count meanwhile.
        self.told_in_flight: float | None = None
        self.told_queue: float | None = None
        self.arrived = self.sent = 0  # in this bucket
        self.same, self.same_ms, self.same_low, self.same_high = 0, 0.0, 0, 0

    def note(self, at_ms: float, what: str, count: int = 0, span_ms: float = 0.0) -> None:
        """A decision about it, or something it did, that is told one by one."""
        if self.notes is None:
            self.notes = deque(maxlen=NOTES)
        self.notes.append((at_ms, what, count, span_ms))


@dataclass(slots=True)
class Closed:
    """A bucket that was just closed, before it is packed."""

    line: Line
    at: int
    span_s: int
    counts: dict[int, int]
    gauges: Gauges


class Recorder:
    """All lines of one node; an `Observer`."""

    def __init__(self, classes: Sequence[str], memory_mb: float, look: Look = lambda name: None) -> None:
        self.look = look
        self.numbers = {name: TIMES + WIDTH * n for n, name in enumerate(classes)}  # first keys
        self.classes = {name: Line(CLASS, name) for name in classes}
        self.lines_of_classes = list(self.classes.values())
        self.node, self.others = Line(NODE, "node"), Line(SERVER, OTHERS)
        self.servers: dict[str, Line] = {}
        self.zones: dict[str, Line] = {}
        self.past: deque[Line] = deque(maxlen=PAST)
        self.entries: dict[str, api.Endpoint] = {}
        self.trails = Trails(1, 1)
        self.live = self.trails.live
        self.crowded = 0
        self.second = 0
        self.level = 0  # of `STEPS`
        self.size = 0  # bytes of packed buckets
        self.dropped = 0  # lines that made room
        self.dirty: dict[str, Line] = {}  # servers' lines with something in them
        self._queue: deque[Line] = deque()
        self._all: Iterator[Line] = iter(())
        self.resize(memory_mb)

    # --- bounds

    def resize(self, memory_mb: float) -> None:
        """Hold so much from now on; what is too much goes within the next rounds of steps."""
        whole = memory_mb * 1024 * 1024
        self.most_bytes = int(whole * PARTS[0])
        self.most_lines = max(16, int(whole * PARTS[1] / LINE_BYTES))
        trails = max(64, int(whole * PARTS[2] / TRAIL_BYTES))
        self.trails.resize(trails // 4, trails - trails // 4)

    @property
    def spans(self) -> Spans:
        """How long each resolution is kept at present."""
        return STEPS[self.level]

    # --- the port

    def on_decision(self, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Count an event and what was made of it: twice for each request, so calls are few."""
        kind = type(event)
        if kind is Outcome:
            self._outcome(now_ms, event)  # type: ignore[arg-type]
        elif kind is Arrival:
            line = self.classes[event.class_name]  # type: ignore[union-attr]
            line.arrived += 1
            self.live[event.request] = [event, now_ms]  # type: ignore[union-attr]
        elif kind is api.EndpointsUpdated:
            self._listed(now_ms, event)  # type: ignore[arg-type]
        elif kind is api.ClientLeft:
            self._gone(now_ms, event)  # type: ignore[arg-type]
        for action in actions:
            what = type(action)
            if what is Send:
                self._send(now_ms, action)  # type: ignore[arg-type]
            elif what is api.RejectRequest or what is api.FailRequest:
                self._answer(now_ms, action)  # type: ignore[arg-type]
            elif what is Noted:
                self._noted(now_ms, action)  # type: ignore[arg-type]

    def _send(self, now_ms: float, action: api.SendAttempt) -> None:
        line = self.servers.get(action.backend)
        if line is None:
            line = self._new(action.backend)
        counts = line.counts
        if not counts:
            self._touch(line)
        line.sent += 1
        key = WHYS + action.reason.number
        counts[key] = counts.get(key, 0) + 1
        line.own = own = line.own + 1
        if own > line.most:
            line.most = own
        if action.overloaded_count:
            self.crowded += action.overloaded_count
        trail = self.live.get(action.request)
        if trail is not None and len(trail) < MOST:
            if len(trail) > 2 or action.cause is not FIRST:
                key = WHYS + action.cause.number
                counts[key] = counts.get(key, 0) + 1
            trail += (now_ms, action)

    def _outcome(self, now_ms: float, event: api.AttemptFinished) -> None:
        line = self.servers.get(event.backend)
        if line is None:
            line = self._new(event.backend)
        counts = line.counts
        if not counts:
            self._touch(line)
        if line.own > 0:
            line.own -= 1
        line.done += 1
        status = event.status
        key = STATUSES + status.number
        counts[key] = counts.get(key, 0) + 1
        request = event.request
        trail = self.live.get(request)
        if trail is not None:
            arrival = trail[0]
            late = False
            if status is OK:
                ms = event.duration_ms
                at = ceil(log(ms) * PER_STEP) - LOW if ms > LEAST_MS else 0
                key = self.numbers[arrival.class_name] + (at if at < BINS else BINS - 1)
                counts[key] = counts.get(key, 0) + 1
                if now_ms > arrival.deadline_ms:
                    late = True
                    self._of_class(arrival, keys.LATE)
            if len(trail) < MOST:
                trail += (now_ms, event)
            if event.is_request_closed:
                self.trails.end(request, late or len(trail) > 6)
        report = event.load_report
        if report is not None:
            gauges = line.gauges
            gauges.in_flight = in_flight = report.in_flight
            gauges.queue = queue = report.queued
            if in_flight == line.told_in_flight and queue == line.told_queue:
                line.same += 1
                if line.own < line.same_low:
                    line.same_low = line.own
                elif line.own > line.same_high:
                    line.same_high = line.own
            else:
                line.told_in_flight, line.told_queue, line.same, line.same_ms = in_flight, queue, 1, now_ms
                line.same_low = line.same_high = line.own

    def _of_class(self, event: api.RequestArrived, *what: int) -> None:
        counts = self.classes[event.class_name].counts
        for key in what:
            counts[key] = counts.get(key, 0) + 1

    def _answer(self, now_ms: float, action: api.RejectRequest | api.FailRequest) -> None:
        trail = self.live.get(action.request)
        if trail is not None:
            refused = type(action) is api.RejectRequest
            self._of_class(trail[0], keys.REFUSED if refused else keys.FAILED, WHYS + action.reason.number)
            trail += (now_ms, action)
            self.trails.end(action.request, True)

    def _gone(self, now_ms: float, event: api.ClientLeft) -> None:
        trail = self.live.get(event.request)
        if trail is not None:
            late = now_ms >= trail[0].deadline_ms - 50.0
            self._of_class(trail[0], keys.LATE if late else keys.GONE)
            trail += (now_ms, event)
            self.trails.end(event.request, True)

    def _noted(self, now_ms: float, action: api.NoteBackendDecision) -> None:
        key = keys.WHAT[action.decision]
        if not action.backend:
            self.node.counts[key] = self.node.counts.get(key, 0) + action.count
            return
        line = self._line(action.backend)
        line.counts[key] = line.counts.get(key, 0) + 1
        if (
            action.decision is not api.BackendDecision.REPORTED_IDLE
            and action.decision is not api.BackendDecision.PAUSED
        ):  # counted alone
            line.note(now_ms, action.decision.value, action.count, action.duration_ms)

    def _listed(self, now_ms: float, event: api.EndpointsUpdated) -> None:
        if event.kind is api.EndpointUpdateKind.FAILED:
            return
        if event.kind is not api.EndpointUpdateKind.INCREMENTAL:
            named = {entry.id for entry in event.endpoints}
            for name in [name for name in self.entries if name not in named]:
                del self.entries[name]
        for entry in event.endpoints:
            was, line = self.entries.get(entry.id), self.servers.get(entry.id)
            if entry.phase is api.Phase.REMOVED:
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
            if line is None:
                continue
            line.zone, line.kind, line.cell = entry.zone, entry.kind, entry.cell
            if was is None or was.phase is not entry.phase:
                self._mark(line, now_ms, keys.PHASED, entry.phase.value)
            if entry.started_at_ms > line.started_at > 0 or (was and entry.started_at_ms > was.started_at_ms):
                self._mark(line, now_ms, keys.STARTED, "started")
            line.started_at = entry.started_at_ms

    def _mark(self, line: Line, now_ms: float, key: int, words: str) -> None:
        self._touch(line)
        line.counts[key] = line.counts.get(key, 0) + 1
        line.note(now_ms, words)

    def moved(self, name: str, now_ms: float, words: str) -> None:
        """Another server has this id from now on (the address changed): the line ends, and is kept as
        past.
        """
        line = self.servers.pop(name, None)
        self.dirty.pop(name, None)
        if line is not None:
            line.note(now_ms, words)
            line.name = f"{name} ({words})"
            if len(self.past) == PAST:
                self.size -= self.past.popleft().series.size
            self.past.append(line)

    # --- lines

    def _line(self, name: str) -> Line:
        line = self.servers.get(name)
        if line is None:
            line = self._new(name)
        if not line.counts:
            self._touch(line)
        return line

    def _touch(self, line: Line) -> None:
        if not line.counts:
            line.since = self.second
            self.dirty[line.name] = line

    def _new(self, name: str) -> Line:
        if len(self.servers) >= self.most_lines and not self._forget():
            return self.others
        line = self.servers[name] = Line(SERVER, name)
        if (entry := self.entries.get(name)) is not None:
            line.zone, line.kind, line.cell = entry.zone, entry.kind, entry.cell
            line.started_at = entry.started_at_ms
        return line

    def _forget(self) -> bool:
        """Make room: one that nothing happened to for a minute. A few are looked at, in turn."""
        for _ in range(min(16, len(self.servers))):
            name = next(iter(self.servers))
            line = self.servers.pop(name)
            if not line.counts and not line.own and self.second - line.touched > 60:
                self.size -= line.series.size
                self.dropped += 1
                return True
            self.servers[name] = line
        return False

    def lines(self) -> Iterator[Line]:
        """All there are, the node's first."""
        yield self.node
        yield from list(self.classes.values())
        yield from list(self.zones.values())
        yield from list(self.servers.values())
        yield from list(self.past)
        if self.others.series.last:
            yield self.others

    # --- seconds

    def begin(self, now_ms: float) -> None:
        """A second is over: what has gathered until now is closed by the next steps."""
        now = int(now_ms / 1000)
        if now <= self.second or self._queue:
            return  # the clock stands still, or the last round is not over
        self.second = now
        late = now - WAIT_S
        self._queue.extend(line for line in self.dirty.values() if line.done >= ENOUGH or line.since <= late)
        for line in self.classes.values():
            if line.arrived:
                line.counts[keys.ARRIVED], line.arrived = line.arrived, 0
        if self.crowded:
            self.node.counts[keys.CROWDED] = self.node.counts.get(keys.CROWDED, 0) + self.crowded
            self.crowded = 0
        sums = (*self.zones.values(), self.node, *self.classes.values())
        self._queue.extend(line for line in sums if line.counts)

    def step(self, count: int = PIECE) -> list[Closed]:
        """Close some lines; empty once the round is over. Zones and the node hold what servers did."""
        out: list[Closed] = []
        while self._queue and len(out) < count:
            line = self._queue.popleft()
            if line.counts:
                out.append(self._close(line))
        if not out:
            self._thin()
        return out

    def _close(self, line: Line) -> Closed:
        at = self.second - 1
        counts, gauges, line.counts = line.counts, line.gauges, {}
        gauges.own, line.done = line.most, 0
        if line.sent:
            counts[keys.ATTEMPTS], line.sent = line.sent, 0
        line.gauges, line.most = Gauges(), line.own
        if line.scope == SERVER:
            self.dirty.pop(line.name, None)
            if (state := self.look(line.name)) is not None:
                gauges.estimate, gauges.weight, gauges.phase = state
            if line.zone:
                zone = self.zones.get(line.zone)
                if zone is None and len(self.zones) < 256:
                    zone = self.zones[line.zone] = Line(ZONE, line.zone)
                if zone is not None:
                    _merge(zone.counts, counts)
            _merge(self.node.counts, counts)
            for key, count in counts.items():
                if key >= TIMES:
                    theirs = self.lines_of_classes[(key - TIMES) // WIDTH].counts
                    theirs[key] = theirs.get(key, 0) + count
                    theirs[keys.OK] = theirs.get(keys.OK, 0) + count
        elif line.scope == CLASS:
            for key in (keys.ARRIVED, keys.REFUSED, keys.FAILED, keys.LATE, keys.GONE):
                if key in counts:
                    self.node.counts[key] = self.node.counts.get(key, 0) + counts[key]
        totals = line.totals
        for key, count in counts.items():
            if key < TIMES or line.scope is CLASS:
                totals[key] = totals.get(key, 0) + count
        before = line.series.size
        line.series.add(at, counts, gauges)
        line.series.trim(at, self.spans)
        self.size += line.series.size - before
        span = max(1, self.second - line.since) if line.scope == SERVER else 1
        line.touched = line.since = self.second
        return Closed(line, at, span, counts, gauges)

    def _thin(self) -> None:
        """Hold the memory: keep less the moment it is over, and more again once a good part of it is free."""
        if self.size > self.most_bytes and self.level < len(STEPS) - 1:
            self.level += 1
        elif self.size < self.most_bytes * 0.4 and self.level and self.second % 60 == 0:
            self.level -= 1
        for _ in range(PIECE * 2):
            line = next(self._all, None)
            if line is None:
                self._all = self.lines()
                return
            before = line.series.size
            line.series.trim(self.second, self.spans, 0 if self.size > self.most_bytes else 64)
            self.size += line.series.size - before


def _merge(into: dict[int, int], counts: Mapping[int, int]) -> None:
    for key, count in counts.items():
        into[key] = into.get(key, 0) + count
