"""Who departs from the usual: rows of what each server did go in, events that name the departing come out.

`Departures` is fed in rounds, a second or so each: `begin`, a `row` for each server that did something,
`end`, which returns the events. It holds no clock and makes no I/O.

Two kinds of test, both CUSUM (Page, Biometrika 1954; its delay against Lorden's bound, Annals 1971, is
measured in benchmarks/anomaly_detection.py):

- *Levels* (answer time by class, reported load) are logarithms. A row's mean is held against its peers now
  (the `RANK` part of their own running means, by kind, so that half of the fleet may depart and the rest
  still be the reference), less the server's own past distance from them. The score is in standard
  deviations, those of the row's own size and of the spread that servers without an event show. A fast test
  takes rows, a slow one minutes.
- *Shares* (errors, turned away, silence) are Bernoulli trials; the score is the log of the likelihood of a
  share that matters against that of the peers' and the own past's.

What all servers share (load, a wave, costlier requests) moves the reference and no score; the reference is
held against its own past, and a step of it is told as one of the class, or of all. Servers that depart
together and share a zone, a kind or a cell are told as one. A row in which the node itself stood still
counts for nobody.

Bounds: `MOST_EVENTS` open at a time, `MOST_TOLD` told a round (the first of its kind always; the rest
counted), a row's classes, and a record of some 1 KiB a server that goes `FORGET_MS` after its last row.
"""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

ROW_ALLOWANCE_SD = (
    1.0  # deviations that a level may stand off without a score: half of the step that is looked for
)
ROW_DECISION_THRESHOLD = (
    12.0  # score at which a level is told; with K, some 1e10 rows without a cause between two false ones
)
MINUTE_ALLOWANCE_SD, MINUTE_DECISION_THRESHOLD = (
    1.25,
    10.0,
)  # the same for minutes, of which there are 60 times fewer and which hang together
PROPORTION_DECISION_THRESHOLD = 14.0  # log-likelihood at which a share is told
SCORE_CAP_RATIO = 1.5  # thresholds that a score rises to at most
MAX_ROW_DEVIATION_SD = 4.5  # deviations that one row counts for at most: one odd row tells nothing
SUSPICION_RATIO = 0.4  # part of a threshold from which a server counts as departing with others
MIN_ROW_SHIFT_LOG, MIN_MINUTE_SHIFT_LOG = (
    math.log(1.4),
    math.log(1.12),
)  # least step that is told by rows, by minutes
MIN_LOAD_SHIFT_LOG, MIN_LOAD_INCREASE_REQUESTS = (
    math.log(2.0),
    2.0,
)  # of the reported load, and requests beyond the usual
MIN_REFERENCE_SHIFT_LOG = math.log(1.6)  # least step of a reference against its own past
REFERENCE_QUANTILE = 0.4  # of the peers' running means: the reference
REFERENCE_SAMPLE_SERVERS = 500  # servers that a reference is made of, about
MIN_PEER_SERVERS = (
    3  # least peers of a kind, else all kinds are peers; fewer than this in all: the own past alone
)
RUNNING_MEAN_ANSWERS = 40.0  # answers that a running mean is made of
OFFSET_PRIOR_ROWS = 20.0  # rows that a server's own distance is held to be none for, to begin with
OFFSET_MEMORY_ROWS = 1_800.0  # rows of which the own distance is made, fast; and minutes, slow
OFFSET_MEMORY_MINUTES, OFFSET_LEARNING_MINUTES = 360.0, 10
MAX_OFFSET_LOG = math.log(1.5)  # most of a distance that is taken for usual
MIN_ROW_SPREAD_LOG = 0.04  # least spread between servers, fast; and slow
MIN_MINUTE_SPREAD_LOG = 0.02
WARM_UP_ROWS_PER_PEER = 3  # of a class at all servers together times PEERS, before anybody is told
RECOVERY_ROWS = 8  # good rows, net of bad ones, that end an event
INACTIVITY_TIMEOUT_MS, SERVER_RETENTION_MS = (
    120_000.0,
    900_000.0,
)  # without a row an event ends; a server is forgotten
MIN_UPDATE_INTERVAL_MS, MIN_UPDATE_CHANGE_RATIO = 10_000.0, 0.25
SHARED_CAUSE_WAIT_MS = 1_100.0  # a suspicion shared by others waits so long for them
MIN_AFFECTED_GROUP_RATIO, MIN_SUSPECTS_IN_GROUP_RATIO, MIN_AFFECTED_SERVERS = (
    0.6,
    0.8,
    3,
)  # of a group that departs, of the departing, at least
FLEET_AFFECTED_RATIO = 0.4  # of all servers
MAX_OPEN_ANOMALIES, MAX_EVENTS_PER_ROUND, MAX_REMEMBERED_SUPPRESSIONS = 256, 20, 20_000
MIN_STALE_REPORTS, MIN_STALE_DURATION_MS, MIN_STALE_COUNT_SPREAD = 40, 10_000.0, 3
MIN_FLAPPING_CHANGES, FLAPPING_WINDOW_MS = 5, 120_000.0
MIN_STALL_MS, MIN_STALL_TOTAL_MS, STALL_WINDOW_MS = 250.0, 1_000.0, 10_000.0
MINUTE_MS = 60_000.0


class Signal(Enum):
    """What departs."""

    RESPONSE_TIME = "answer_time"
    ERRORS = "errors"
    REJECTIONS = "turned_away"
    LOAD = "load"
    TIMEOUTS = "silence"
    STALE_REPORT = "stale_report"
    FLAPPING = "flapping"
    RECOVERY = "recovery"  # of the node itself, with `Step.BECAME`
    PEERS = "peers"  # of another node, with the steps of a peer


class Scope(Enum):
    """Who does."""

    SERVER = "server"
    ZONE = "zone"
    KIND = "kind"
    CELL = "cell"
    CLASS = "class"
    FLEET = "all"
    NODE = "node"
    PEER = "peer"  # another node


class EventType(Enum):
    """What has become of an event."""

    ANOMALY_BEGAN = "departure_began"
    ANOMALY_CHANGED = "departure_changed"
    ANOMALY_ENDED = "departure_ended"
    RECOVERY_STATE_CHANGED = (
        "recovery"  # no departure: the node itself is another state back (`core/recovery`)
    )
    # Nor are these: what became of another node, or of this one among them (`Tell` in
    # `core/cluster/failure_detector`).
    PEER_JOINED = "peer_joined"
    PEER_SUSPECTED = "peer_suspected"
    PEER_FAILED = "peer_failed"
    PEER_LEFT = "peer_left"
    PEER_RETURNED = "peer_returned"
    PEER_ADDRESS_CHANGED = "peer_moved"
    PEER_NAME_CONFLICT = "peer_doubled"
    PEER_NAME_YIELDED = "peer_yielded"
    PEER_NAME_RESUMED = "peer_resumed"
    PEER_TABLE_FULL = "peer_full"
    # What this node is cut off from, and what nodes disagree on (`Happened` in
    # `core/cluster/gossip_coordinator`).
    PARTITION_BEGAN = "cut_began"
    PARTITION_HEALED = "cut_ended"
    DIVERGENCE_BEGAN = "disagreement_began"
    DIVERGENCE_ENDED = "disagreement_ended"


@dataclass(slots=True)
class ServerObservation:
    """What one server did since its last row, as this node saw it.

    `times`: for each class the number of answers, the sum of the logarithms of their times in ms, and of the
    squares of those. `silent`: attempts whose time ran out. `changes`: starts and phases told by the list.
    `same`, `same_ms`, `spread`: reports in a row that say the same, for how long, and by how much the
    node's own count moved meanwhile. `cold`: it started a short while ago, and slow answers are no news.
    """

    server: str
    zone: str = ""
    kind: str = ""
    cell: int = -1
    response_times: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    successes: int = 0
    errors: int = 0
    rejections: int = 0
    timeouts: int = 0
    reported_load: float | None = None
    lifecycle_changes: int = 0
    identical_reports: int = 0
    identical_reports_ms: float = 0.0
    own_count_spread: int = 0
    is_warming_up: bool = False


@dataclass(slots=True)
class Anomaly:
    """One departure. `at_ms` is when it was told last, `since_ms` when it seems to have begun."""

    id: int
    scope: Scope
    subject: str
    signal: Signal
    at_ms: float
    since_ms: float
    evidence: dict[str, object]
    servers: set[str] = field(default_factory=set)
    class_name: str = ""
    event_type: EventType = EventType.ANOMALY_BEGAN
    reported_ms: float = 0.0
    reported_value: float = 0.0
    normal_rows: int = 0
    last_observed_ms: float = 0.0


@dataclass(slots=True)
class TimelineEvent:
    """An event as it was at one moment, for those who listen."""

    event_type: EventType
    id: int
    at_ms: float
    since_ms: float
    scope: Scope
    subject: str
    signal: Signal
    evidence: dict[str, object]

    def to_json(self) -> dict[str, object]:
        """One object of `balancer events --json`."""
        return {
            "event": self.event_type.value,
            "id": self.id,
            "at": round(self.at_ms),
            "since": round(self.since_ms),
            "scope": self.scope.value,
            "subject": self.subject,
            "signal": self.signal.value,
            "evidence": self.evidence,
        }


class Cusum:
    """A score that rises with evidence up to `most` and falls without it to 0, and its values since then.

    Guards against an event that outlives its cause by as long as that lasted.
    """

    __slots__ = ("max_score", "score", "since_ms", "weight", "weighted_sum")

    def __init__(self, max_score: float) -> None:
        self.max_score = max_score
        self.score = self.since_ms = self.weighted_sum = self.weight = 0.0

    def update(self, increment: float, now_ms: float, value: float, weight: float) -> None:
        """Evidence, and the value that it was made of."""
        if self.score <= 0.0:
            self.since_ms, self.weighted_sum, self.weight = now_ms, 0.0, 0.0
        self.score = min(self.max_score, max(0.0, self.score + increment))
        self.weighted_sum += value * weight
        self.weight += weight

    @property
    def mean(self) -> float:
        """Of the values since the score last stood at 0."""
        return self.weighted_sum / self.weight if self.weight else 0.0

    def reset(self) -> None:
        """Begin anew."""
        self.score = self.weighted_sum = self.weight = 0.0


class LevelState:
    """One level of one server: a class's answer time, or its reported load."""

    __slots__ = (
        "answer_count",
        "last_observed_ms",
        "mean_log",
        "minute_cusum",
        "minute_offset",
        "minute_sums",
        "offset_minutes",
        "offset_rows",
        "row_cusum",
        "row_offset",
    )

    def __init__(self) -> None:
        self.mean_log = self.answer_count = 0.0  # running mean of the logarithm, of so many answers
        self.row_offset = self.minute_offset = self.offset_rows = self.offset_minutes = (
            0.0  # own usual distance from the reference
        )
        self.row_cusum, self.minute_cusum = (
            Cusum(SCORE_CAP_RATIO * ROW_DECISION_THRESHOLD),
            Cusum(SCORE_CAP_RATIO * MINUTE_DECISION_THRESHOLD),
        )
        self.minute_sums = [0.0, 0.0]  # answers, and their distances, of the minute
        self.last_observed_ms = 0.0


class ServerState:
    """What is known of one server."""

    __slots__ = (
        "cell",
        "change_times_ms",
        "has_stale_report",
        "kind",
        "last_observed_ms",
        "levels",
        "minute_began_ms",
        "name",
        "past_proportions",
        "proportion_cusums",
        "zone",
    )

    def __init__(self, name: str) -> None:
        self.name, self.zone, self.kind, self.cell = name, "", "", -1
        self.levels: dict[str, LevelState] = {}
        self.proportion_cusums = {
            signal: Cusum(SCORE_CAP_RATIO * PROPORTION_DECISION_THRESHOLD) for signal in PROPORTION_TESTS
        }
        self.past_proportions = dict.fromkeys(PROPORTION_TESTS, 0.0)
        self.change_times_ms: list[float] = []
        self.last_observed_ms = self.minute_began_ms = 0.0
        self.has_stale_report = False


class LevelReference:
    """What is usual for one level of one kind of servers."""

    __slots__ = (
        "answer_variance",
        "minute_variance",
        "past_value",
        "row_count",
        "row_variance",
        "shift_cusum",
        "value",
    )

    def __init__(self) -> None:
        self.value = math.nan  # the reference now
        self.past_value = math.nan  # and in its own past
        self.answer_variance = 0.25  # variance of single answers about their server's mean
        self.row_variance = 0.01  # further variance of a row's mean, fast and by minutes
        self.minute_variance = 0.0025
        self.row_count = 0.0
        self.shift_cusum = Cusum(SCORE_CAP_RATIO * ROW_DECISION_THRESHOLD)


# Least share that is usual, times the peers' own, least share that matters.
PROPORTION_TESTS: dict[Signal, tuple[float, float, float]] = {
    Signal.ERRORS: (0.004, 1.5, 0.05),
    Signal.REJECTIONS: (0.02, 1.5, 0.25),
    Signal.TIMEOUTS: (0.005, 1.5, 0.10),
}
LOAD_LEVEL = "\0load"  # the cell of the reported load; no class has such a name


class AnomalyDetector:
    """All servers of one node."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerState] = {}
        self.references: dict[tuple[str, str], LevelReference] = {}  # by kind and level
        self.fleet_proportions = dict.fromkeys(PROPORTION_TESTS, 0.0)  # of all servers, lately
        self.round_counts = {
            signal: [0.0, 0.0] for signal in PROPORTION_TESTS
        }  # of the round: bad ones and all
        self.open_anomalies: dict[int, Anomaly] = {}
        self.waiting_since_ms: dict[Signal, float] = {}  # suspicions that wait for others, since
        self.stalls: list[tuple[float, float]] = []
        self.stall_anomaly: Anomaly | None = None
        self.suppressed_count = 0  # events that were not told one by one
        self.now_ms = self.references_updated_ms = 0.0
        self.is_node_stalled = False
        self._last_id = 0
        self._crossings: dict[Signal, dict[str, tuple[str, float, float, float]]] = {}
        self._events: list[TimelineEvent] = []
        self._suppressed: set[tuple[Signal, str]] = set()  # there was no place for

    # --- a round

    def begin_round(self, now_ms: float, stall_ms: float = 0.0) -> bool:
        """A round begins; `stall_ms` is how long the node itself stood still since the last. False: no
        time passed.
        """
        if now_ms <= self.now_ms:
            return False
        self.now_ms = now_ms
        self.is_node_stalled = stall_ms >= MIN_STALL_MS
        if self.is_node_stalled:
            self.stalls.append((now_ms, stall_ms))
        self.stalls = [item for item in self.stalls if now_ms - item[0] <= STALL_WINDOW_MS]
        self.round_counts = {signal: [0.0, 0.0] for signal in PROPORTION_TESTS}
        if now_ms - self.references_updated_ms >= 1_000.0:
            self.references_updated_ms = now_ms
            self._update_references()
        return True

    def observe(self, observation: ServerObservation) -> None:
        """What a server did."""
        server = self.servers.get(observation.server)
        if server is None:
            server = self.servers[observation.server] = ServerState(observation.server)
        server.zone, server.kind, server.cell, server.last_observed_ms = (
            observation.zone,
            observation.kind,
            observation.cell,
            self.now_ms,
        )
        if not self.is_node_stalled:
            if not observation.is_warming_up:
                self._observe_levels(server, observation)
            self._observe_proportions(server, observation)
        self._observe_flags(server, observation)
        self._count_normal_rows(server)

    def end_round(self) -> list[TimelineEvent]:
        """The round is over: what has begun, changed and ended, in bounded number."""
        for signal, (bad, total) in self.round_counts.items():
            if total:
                gain = min(1.0, total / 400.0)
                self.fleet_proportions[signal] += gain * 0.2 * (bad / total - self.fleet_proportions[signal])
        self._open_crossed()
        self._detect_fleet_shifts()
        self._detect_stall()
        self._expire()
        out, self._events = self._events, []
        return self._limit_events(out)

    # --- levels

    def _update_references(self) -> None:
        """The references: the `RANK` part of the servers' running means, by kind; of all kinds where few."""
        values: dict[tuple[str, str], list[float]] = {}
        # Of thousands some hundreds, always the same: guards against a long turn each second.
        some_servers = list(self.servers.values())
        for server in some_servers[:: 1 + len(some_servers) // REFERENCE_SAMPLE_SERVERS]:
            for name, cell in server.levels.items():
                if cell.answer_count >= 5 and self.now_ms - cell.last_observed_ms < INACTIVITY_TIMEOUT_MS:
                    values.setdefault((server.kind, name), []).append(cell.mean_log - cell.row_offset)
                    values.setdefault(("", name), []).append(cell.mean_log - cell.row_offset)
        for key, some in values.items():
            if len(some) < MIN_PEER_SERVERS:
                continue
            some.sort()
            reference = self.references.get(key)
            if reference is None:
                reference = self.references[key] = LevelReference()
            reference.value = some[int(REFERENCE_QUANTILE * (len(some) - 1))]

    def _reference_of(self, server: ServerState, name: str) -> LevelReference | None:
        found = self.references.get((server.kind, name)) or self.references.get(("", name))
        return None if found is None or math.isnan(found.value) else found

    def _observe_levels(self, server: ServerState, observation: ServerObservation) -> None:
        worst: tuple[LevelState, str] | None = None
        for name, (count, total, squares) in observation.response_times.items():
            level = server.levels.get(name)
            if level is None:
                if len(server.levels) >= 32:
                    continue
                level = server.levels[name] = LevelState()
            self._update_level(
                server, level, name, count, total / count, max(0.0, squares / count - (total / count) ** 2)
            )
            worst = (level, name)
        if observation.reported_load is not None:
            level = server.levels.setdefault(LOAD_LEVEL, LevelState())
            self._update_level(
                server, level, LOAD_LEVEL, 1, math.log1p(max(0.0, observation.reported_load)), 0.0
            )
        if worst is not None:
            self._check_levels(server)

    def _update_level(
        self, server: ServerState, level: LevelState, name: str, count: int, mean: float, variance: float
    ) -> None:
        gain = count / (min(level.answer_count, RUNNING_MEAN_ANSWERS) + count)
        before, level.answer_count, level.last_observed_ms = (
            level.mean_log,
            level.answer_count + count,
            self.now_ms,
        )
        level.mean_log += gain * (mean - level.mean_log)
        reference = self._reference_of(server, name)
        if reference is None:
            return
        distance = mean - reference.value
        deviation = distance - level.row_offset
        is_normal = (
            level.row_cusum.score < ROW_DECISION_THRESHOLD * SUSPICION_RATIO
            and level.minute_cusum.score < MINUTE_DECISION_THRESHOLD * SUSPICION_RATIO
        )
        spread = (
            reference.answer_variance / count
            + reference.row_variance
            + MIN_ROW_SPREAD_LOG * MIN_ROW_SPREAD_LOG
        )
        standardized = deviation / math.sqrt(spread)
        if reference.row_count >= WARM_UP_ROWS_PER_PEER * MIN_PEER_SERVERS * 5:
            level.row_cusum.update(
                min(MAX_ROW_DEVIATION_SD, standardized) - ROW_ALLOWANCE_SD, self.now_ms, deviation, count
            )
        if is_normal:
            if count > 1 and before:
                reference.answer_variance += 0.01 * (
                    variance * count / (count - 1) - reference.answer_variance
                )
            elif count == 1 and before:
                reference.answer_variance += 0.002 * (
                    min(9 * spread, (mean - before) ** 2) - reference.answer_variance
                )
            excess_variance = min(deviation * deviation, 9 * spread) - reference.answer_variance / count
            reference.row_variance = max(
                0.0, reference.row_variance + 0.005 * (excess_variance - reference.row_variance)
            )
            reference.row_count += 1
            level.offset_rows = min(level.offset_rows + 1, OFFSET_MEMORY_ROWS)
            level.row_offset += (
                (distance - level.row_offset) / (level.offset_rows + OFFSET_PRIOR_ROWS)
                if abs(standardized) < 3
                else 0.0
            )
            level.row_offset = max(-MAX_OFFSET_LOG, min(MAX_OFFSET_LOG, level.row_offset))
        level.minute_sums[0] += count
        level.minute_sums[1] += count * distance

    def _check_levels(self, server: ServerState) -> None:
        """The fast score of each level; and of the minute where it is over."""
        if self.now_ms - server.minute_began_ms >= MINUTE_MS:
            if server.minute_began_ms:
                for name, level in server.levels.items():
                    self._close_minute(server, level, name)
            server.minute_began_ms = self.now_ms
        for name, level in server.levels.items():
            load = name == LOAD_LEVEL
            least = MIN_LOAD_SHIFT_LOG if load else MIN_ROW_SHIFT_LOG
            if level.row_cusum.score >= ROW_DECISION_THRESHOLD and level.row_cusum.mean >= least:
                if (
                    load
                    and math.expm1(level.mean_log)
                    < math.expm1(level.mean_log - level.row_cusum.mean) + MIN_LOAD_INCREASE_REQUESTS
                ):
                    continue
                self._record_crossing(
                    Signal.LOAD if load else Signal.RESPONSE_TIME,
                    server,
                    "" if load else name,
                    level.row_cusum,
                )
            elif (
                level.minute_cusum.score >= MINUTE_DECISION_THRESHOLD
                and level.minute_cusum.mean >= MIN_MINUTE_SHIFT_LOG
                and not load
            ):
                self._record_crossing(Signal.RESPONSE_TIME, server, name, level.minute_cusum)

    def _close_minute(self, server: ServerState, level: LevelState, name: str) -> None:
        count, total = level.minute_sums
        level.minute_sums = [0.0, 0.0]
        reference = self._reference_of(server, name)
        if reference is None or count < 3 or name == LOAD_LEVEL:
            return
        distance = total / count
        level.offset_minutes += 1
        if level.offset_minutes <= OFFSET_LEARNING_MINUTES:  # the first are what is usual
            level.minute_offset += (distance - level.minute_offset) / level.offset_minutes
            return
        deviation = distance - level.minute_offset
        spread = (
            reference.answer_variance / count
            + reference.minute_variance
            + MIN_MINUTE_SPREAD_LOG * MIN_MINUTE_SPREAD_LOG
        )
        level.minute_cusum.update(
            min(MAX_ROW_DEVIATION_SD, deviation / math.sqrt(spread)) - MINUTE_ALLOWANCE_SD,
            self.now_ms,
            deviation,
            count,
        )
        if level.minute_cusum.score < MINUTE_DECISION_THRESHOLD * SUSPICION_RATIO:
            excess_variance = min(deviation * deviation, 9 * spread) - reference.answer_variance / count
            reference.minute_variance = max(
                0.0, reference.minute_variance + 0.02 * (excess_variance - reference.minute_variance)
            )
            level.minute_offset += (distance - level.minute_offset) / min(
                level.offset_minutes, OFFSET_MEMORY_MINUTES
            )

    # --- shares

    def _observe_proportions(self, server: ServerState, observation: ServerObservation) -> None:
        bad = {
            Signal.ERRORS: observation.errors,
            Signal.REJECTIONS: observation.rejections,
            Signal.TIMEOUTS: observation.timeouts,
        }
        for signal, count in bad.items():
            good = observation.successes + (
                observation.errors + observation.rejections + observation.timeouts - count
            )
            if signal is Signal.TIMEOUTS and not observation.successes:
                good = observation.errors + observation.rejections
            total = good + count
            if not total:
                continue
            sums = self.round_counts[signal]
            sums[0] += count
            sums[1] += total
            floor, times, matters = PROPORTION_TESTS[signal]
            usual = min(
                0.5,
                max(floor, times * self.fleet_proportions[signal], times * server.past_proportions[signal]),
            )
            other = min(0.95, max(matters, 4 * usual))
            cusum = server.proportion_cusums[signal]
            step = count * math.log(other / usual) + good * math.log((1 - other) / (1 - usual))
            cusum.update(step, self.now_ms, count / total, total)
            if cusum.score < PROPORTION_DECISION_THRESHOLD * SUSPICION_RATIO:
                server.past_proportions[signal] += min(1.0, total / 2_000.0) * (
                    count / total - server.past_proportions[signal]
                )
            if cusum.score >= PROPORTION_DECISION_THRESHOLD:
                self._record_crossing(signal, server, "", cusum)

    # --- flags

    def _observe_flags(self, server: ServerState, observation: ServerObservation) -> None:
        stale = (
            observation.identical_reports >= MIN_STALE_REPORTS
            and observation.identical_reports_ms >= MIN_STALE_DURATION_MS
            and observation.own_count_spread >= MIN_STALE_COUNT_SPREAD
        )
        if stale:
            self._crossings.setdefault(Signal.STALE_REPORT, {})[server.name] = (
                "",
                self.now_ms - observation.identical_reports_ms,
                float(observation.identical_reports),
                float(observation.own_count_spread),
            )
        server.has_stale_report = stale
        if observation.lifecycle_changes:
            server.change_times_ms += [self.now_ms] * min(observation.lifecycle_changes, MIN_FLAPPING_CHANGES)
        server.change_times_ms = [
            at for at in server.change_times_ms if self.now_ms - at <= FLAPPING_WINDOW_MS
        ][-MIN_FLAPPING_CHANGES:]
        if len(server.change_times_ms) >= MIN_FLAPPING_CHANGES:
            self._crossings.setdefault(Signal.FLAPPING, {})[server.name] = (
                "",
                server.change_times_ms[0],
                float(len(server.change_times_ms)),
                0.0,
            )

    # --- from scores to events

    def _record_crossing(self, signal: Signal, server: ServerState, class_name: str, cusum: Cusum) -> None:
        self._crossings.setdefault(signal, {})[server.name] = (
            class_name,
            cusum.since_ms,
            cusum.mean,
            cusum.score,
        )

    def _suspects(self, signal: Signal) -> dict[str, tuple[str, float, float, float]]:
        """All servers with part of a score, those over the threshold among them."""
        out = dict(self._crossings.get(signal, {}))
        for server in self.servers.values():
            if server.name in out or self.now_ms - server.last_observed_ms > INACTIVITY_TIMEOUT_MS:
                continue
            if signal in PROPORTION_TESTS:
                cusum, most = server.proportion_cusums[signal], PROPORTION_DECISION_THRESHOLD
                if cusum.score >= most * SUSPICION_RATIO:
                    out[server.name] = ("", cusum.since_ms, cusum.mean, cusum.score)
            elif signal in (Signal.RESPONSE_TIME, Signal.LOAD):
                for name, cell in server.levels.items():
                    if (name == LOAD_LEVEL) is (
                        signal is Signal.LOAD
                    ) and cell.row_cusum.score >= ROW_DECISION_THRESHOLD * SUSPICION_RATIO:
                        out[server.name] = (
                            name,
                            cell.row_cusum.since_ms,
                            cell.row_cusum.mean,
                            cell.row_cusum.score,
                        )
        return out

    def _open_crossed(self) -> None:
        """What has crossed becomes events: of those who share something, or one by one."""
        crossed, self._crossings = self._crossings, {}
        for signal, found in crossed.items():
            new = {name: what for name, what in found.items() if not self._is_covered(signal, name, what)}
            if not new:
                continue
            self._crossings = {signal: new}
            suspects = {
                name: what
                for name, what in self._suspects(signal).items()
                if name in new
                or not self._is_covered(signal, name, what)
                or self._is_reported_alone(signal, name)
            }
            self._crossings = {}
            alone = len(suspects) <= 1
            if (
                not alone
                and self.now_ms - self.waiting_since_ms.setdefault(signal, self.now_ms) < SHARED_CAUSE_WAIT_MS
            ):
                continue  # they cross again with their next row
            self.waiting_since_ms.pop(signal, None)
            self._begin_all(signal, new, suspects)
        for signal in [
            s for s, since in self.waiting_since_ms.items() if self.now_ms - since > 3 * SHARED_CAUSE_WAIT_MS
        ]:
            del self.waiting_since_ms[signal]

    def _begin_all(
        self,
        signal: Signal,
        new: dict[str, tuple[str, float, float, float]],
        suspects: dict[str, tuple[str, float, float, float]],
    ) -> None:
        active = [
            s for s in self.servers.values() if self.now_ms - s.last_observed_ms <= INACTIVITY_TIMEOUT_MS
        ]
        group = self._shared_group(active, suspects) if len(suspects) >= MIN_AFFECTED_SERVERS else None
        if group is None and len(suspects) >= max(MIN_AFFECTED_SERVERS, FLEET_AFFECTED_RATIO * len(active)):
            group = Scope.FLEET, "all"
        if group is not None:
            self._open_anomaly(signal, *group, suspects)
            return
        for name, what in new.items():
            self._open_anomaly(signal, Scope.SERVER, name, {name: what})

    def _shared_group(
        self, active: Iterable[ServerState], suspects: dict[str, tuple[str, float, float, float]]
    ) -> tuple[Scope, str] | None:
        """The zone, kind or cell that most of the departing share and that departs for the most part."""
        active = list(active)
        best: tuple[float, Scope, str] | None = None
        for scope, read in (
            (Scope.CELL, lambda s: "" if s.cell < 0 else str(s.cell)),
            (Scope.ZONE, lambda s: s.zone),
            (Scope.KIND, lambda s: s.kind),
        ):
            groups: dict[str, list[int]] = {}
            for server in active:
                count = groups.setdefault(read(server), [0, 0])
                count[0] += 1
                count[1] += server.name in suspects
            for name, (size, there) in groups.items():
                whole = size >= 0.9 * len(active)
                if not name or whole or there < MIN_AFFECTED_SERVERS:
                    continue
                if there >= MIN_AFFECTED_GROUP_RATIO * size and there >= MIN_SUSPECTS_IN_GROUP_RATIO * len(
                    suspects
                ):
                    score = there / size
                    if best is None or score > best[0]:
                        best = (score, scope, name)
        return None if best is None else best[1:]

    def _is_covered(self, signal: Signal, name: str, what: tuple[str, float, float, float]) -> bool:
        """Whether an open event speaks of it; it then takes note."""
        for event in self.open_anomalies.values():
            if event.signal not in _related_signals(signal):
                continue
            server = self.servers.get(name)
            inside = name in event.servers or event.scope is Scope.FLEET
            if server is not None and event.scope in (Scope.ZONE, Scope.KIND, Scope.CELL):
                mine = {Scope.ZONE: server.zone, Scope.KIND: server.kind, Scope.CELL: str(server.cell)}
                inside = inside or mine[event.scope] == event.subject
            if not inside:
                continue
            event.servers.add(name)
            self._update_anomaly(event, what)
            return True
        return False

    def _is_reported_alone(self, signal: Signal, name: str) -> bool:
        """Whether it was told by itself."""
        mine = (e for e in self.open_anomalies.values() if e.scope is Scope.SERVER and e.subject == name)
        return any(event.signal in _related_signals(signal) for event in mine)

    def _update_anomaly(self, event: Anomaly, what: tuple[str, float, float, float]) -> None:
        evidence = self._evidence(event.signal, event.servers, what)
        value = float(evidence.get("value") or 0.0)  # type: ignore[arg-type]
        grown = len(event.servers) > 1.2 * float(event.evidence.get("servers", 1))  # type: ignore[arg-type]
        moved = abs(value - event.reported_value) > MIN_UPDATE_CHANGE_RATIO * abs(event.reported_value)
        if (grown or moved) and self.now_ms - event.reported_ms >= MIN_UPDATE_INTERVAL_MS:
            event.evidence = evidence
            self._report(event, EventType.ANOMALY_CHANGED)

    def _evidence(
        self, signal: Signal, servers: set[str], what: tuple[str, float, float, float]
    ) -> dict[str, object]:
        class_name, _, value, score = what
        out: dict[str, object] = {"servers": len(servers)}
        if signal in (Signal.RESPONSE_TIME, Signal.LOAD):
            server = self.servers.get(next(iter(servers), ""))
            level = LOAD_LEVEL if signal is Signal.LOAD else class_name
            reference = self._reference_of(server, level) if server is not None else None
            usual = reference.value if reference is not None else 0.0
            cell = server.levels.get(level) if server is not None else None
            usual += cell.row_offset if cell is not None else 0.0
            read = math.expm1 if signal is Signal.LOAD else math.exp
            out |= {
                "value": round(read(min(700.0, usual + value)), 3),
                "reference": round(read(min(700.0, usual)), 3),
                "ratio": round(math.exp(value), 3),
                "score": round(score, 1),
                "threshold": ROW_DECISION_THRESHOLD,
                "false_alarm_odds": float(f"{math.exp(-2 * ROW_ALLOWANCE_SD * min(score, 300.0)):.1e}"),
            }
            if class_name:
                out["class"] = class_name
        elif signal in PROPORTION_TESTS:
            usual = max(PROPORTION_TESTS[signal][0], self.fleet_proportions[signal])
            out |= {
                "value": round(value, 4),
                "reference": round(usual, 4),
                "score": round(score, 1),
                "threshold": PROPORTION_DECISION_THRESHOLD,
                "false_alarm_odds": float(f"{math.exp(-min(score, 300.0)):.1e}"),
            }
        elif signal is Signal.STALE_REPORT:
            out |= {"value": value, "own_count_moved_by": score}
        else:
            out |= {"value": value, "window_ms": FLAPPING_WINDOW_MS}
        return out

    def _open_anomaly(
        self, signal: Signal, scope: Scope, subject: str, found: dict[str, tuple[str, float, float, float]]
    ) -> None:
        what = max(found.values(), key=lambda item: item[3])
        if scope is Scope.SERVER:
            what = found[subject]
        servers = set(found)
        classes = {item[0] for item in found.values()}
        evidence = self._evidence(signal, servers, what)
        if scope is not Scope.SERVER and len(classes) > 1:
            evidence.pop("class", None)
        since = min(item[1] for item in found.values())
        if scope is not Scope.SERVER:
            self._absorb_single_servers(signal, servers)
        self._new_anomaly(signal, scope, subject, since, evidence, servers, what[0])

    def _absorb_single_servers(self, signal: Signal, servers: set[str]) -> None:
        """Those that were told one by one before the others showed the same are part of what begins now."""
        for event in list(self.open_anomalies.values()):
            if (
                event.scope is Scope.SERVER
                and event.subject in servers
                and event.signal in _related_signals(signal)
            ):
                event.evidence = {**event.evidence, "ended_as": f"part of event {self._last_id + 1}"}
                self._close(event)

    def _new_anomaly(
        self,
        signal: Signal,
        scope: Scope,
        subject: str,
        since_ms: float,
        evidence: dict[str, object],
        servers: set[str],
        class_name: str = "",
    ) -> Anomaly | None:
        if len(self.open_anomalies) >= MAX_OPEN_ANOMALIES:
            if (
                len(self._suppressed) < MAX_REMEMBERED_SUPPRESSIONS
                and (signal, subject) not in self._suppressed
            ):
                self._suppressed.add((signal, subject))
                self.suppressed_count += 1
            return None
        self._last_id += 1
        event = Anomaly(
            self._last_id,
            scope,
            subject,
            signal,
            self.now_ms,
            since_ms,
            evidence,
            servers,
            class_name,
            last_observed_ms=self.now_ms,
        )
        self.open_anomalies[event.id] = event
        self._report(event, EventType.ANOMALY_BEGAN)
        return event

    def _report(self, event: Anomaly, step: EventType) -> None:
        event.event_type, event.at_ms, event.reported_ms = step, self.now_ms, self.now_ms
        event.reported_value = float(event.evidence.get("value") or 0.0)  # type: ignore[arg-type]
        self._events.append(
            TimelineEvent(
                step,
                event.id,
                self.now_ms,
                event.since_ms,
                event.scope,
                event.subject,
                event.signal,
                dict(event.evidence),
            )
        )

    # --- the end of an event

    def _is_anomalous(self, event: Anomaly, server: ServerState) -> bool:
        """Whether a server still shows what the event is about."""
        if event.signal in PROPORTION_TESTS:
            return (
                server.proportion_cusums[event.signal].score
                >= PROPORTION_DECISION_THRESHOLD * SUSPICION_RATIO
            )
        if event.signal is Signal.STALE_REPORT:
            return server.has_stale_report
        if event.signal is Signal.FLAPPING:
            return len(server.change_times_ms) >= 2
        level = LOAD_LEVEL if event.signal is Signal.LOAD else event.class_name
        cell = server.levels.get(level)
        return (
            cell is not None
            and max(
                cell.row_cusum.score / ROW_DECISION_THRESHOLD,
                cell.minute_cusum.score / MINUTE_DECISION_THRESHOLD,
            )
            >= SUSPICION_RATIO
        )

    def _count_normal_rows(self, server: ServerState) -> None:
        """A row of a server that an event speaks of: towards its end, or away from it."""
        for event in self.open_anomalies.values():
            if server.name in event.servers and event.scope not in (Scope.CLASS, Scope.NODE):
                event.last_observed_ms = self.now_ms
                bad = self._is_anomalous(event, server)
                event.normal_rows = max(0, event.normal_rows - 2) if bad else event.normal_rows + 1

    def _expire(self) -> None:
        for event in list(self.open_anomalies.values()):
            if event.scope in (Scope.CLASS, Scope.NODE) or (event.scope is Scope.FLEET and not event.servers):
                continue
            over = event.normal_rows >= RECOVERY_ROWS * max(1, len(event.servers))
            if over or self.now_ms - event.last_observed_ms > INACTIVITY_TIMEOUT_MS:
                event.evidence = {**event.evidence, "lasted_ms": round(self.now_ms - event.since_ms)}
                if not over:
                    event.evidence["ended_as"] = "nothing was heard of it any more"
                self._close(event)
        for name in [
            n for n, s in self.servers.items() if self.now_ms - s.last_observed_ms > SERVER_RETENTION_MS
        ][:200]:
            del self.servers[name]

    def _close(self, event: Anomaly) -> None:
        del self.open_anomalies[event.id]
        self._suppressed.clear()
        for name in event.servers:
            if (server := self.servers.get(name)) is not None:
                for cell in server.levels.values():
                    if event.signal in (Signal.RESPONSE_TIME, Signal.LOAD):
                        cell.row_cusum.reset()
                        cell.minute_cusum.reset()
                if event.signal in PROPORTION_TESTS:
                    server.proportion_cusums[event.signal].reset()
        self._report(event, EventType.ANOMALY_ENDED)

    # --- the reference against its own past

    def _detect_fleet_shifts(self) -> None:
        """A class that turns slow everywhere is told as one of the class, all classes as one of all."""
        if self.is_node_stalled:
            return
        up: list[tuple[str, LevelReference]] = []
        known = 0
        for (kind, name), reference in self.references.items():
            if kind or name == LOAD_LEVEL or math.isnan(reference.value):
                continue
            if sum(r.row_count for (_, n), r in self.references.items() if n == name) < 100:
                continue
            known += 1
            if math.isnan(reference.past_value):
                reference.past_value = reference.value
            away = reference.value - reference.past_value
            spread = reference.row_variance / 4 + MIN_ROW_SPREAD_LOG * MIN_ROW_SPREAD_LOG
            reference.shift_cusum.update(
                min(MAX_ROW_DEVIATION_SD, away / math.sqrt(spread)) - 2 * ROW_ALLOWANCE_SD,
                self.now_ms,
                away,
                1.0,
            )
            if (
                reference.shift_cusum.score >= ROW_DECISION_THRESHOLD
                and reference.shift_cusum.mean >= MIN_REFERENCE_SHIFT_LOG
            ):
                up.append((name, reference))
            elif reference.shift_cusum.score < ROW_DECISION_THRESHOLD * SUSPICION_RATIO:
                reference.past_value += away / 900.0
        names = {name for name, _ in up}
        open_all = [
            e for e in self.open_anomalies.values() if not e.servers and e.scope in (Scope.FLEET, Scope.CLASS)
        ]
        for event in open_all:
            still = bool(names) if event.scope is Scope.FLEET else event.subject in names
            event.normal_rows = 0 if still else event.normal_rows + 1
            event.last_observed_ms = self.now_ms
            if event.normal_rows >= RECOVERY_ROWS:
                event.evidence = {**event.evidence, "lasted_ms": round(self.now_ms - event.since_ms)}
                self._close(event)
        if any(
            e.scope is Scope.FLEET and e.signal is Signal.RESPONSE_TIME for e in self.open_anomalies.values()
        ):
            return
        told = {e.subject for e in open_all}
        fresh = [(name, reference) for name, reference in up if name not in told]
        if not fresh:
            return
        if len(up) >= max(2, math.ceil(0.6 * known)):
            if not all(self.now_ms - reference.shift_cusum.since_ms >= 2_000.0 for _, reference in up):
                return
            name, reference = max(up, key=lambda item: item[1].shift_cusum.mean)
            self._new_anomaly(
                Signal.RESPONSE_TIME,
                Scope.FLEET,
                "all",
                min(r.shift_cusum.since_ms for _, r in up),
                self._shift_evidence(reference) | {"classes": len(up)},
                set(),
            )
            return
        for name, reference in fresh:
            if self.now_ms - reference.shift_cusum.since_ms >= 3_000.0:  # the others may follow
                self._new_anomaly(
                    Signal.RESPONSE_TIME,
                    Scope.CLASS,
                    name,
                    reference.shift_cusum.since_ms,
                    self._shift_evidence(reference),
                    set(),
                    name,
                )

    def _shift_evidence(self, reference: LevelReference) -> dict[str, object]:
        step = reference.shift_cusum.mean
        return {
            "value": round(math.exp(reference.past_value + step), 3),
            "reference": round(math.exp(reference.past_value), 3),
            "ratio": round(math.exp(step), 3),
            "score": round(reference.shift_cusum.score, 1),
            "threshold": ROW_DECISION_THRESHOLD,
        }

    # --- the node itself

    def _detect_stall(self) -> None:
        """All answers late at once are no server's fault where the node's own loop stood still."""
        total = sum(length for _, length in self.stalls)
        if total >= MIN_STALL_TOTAL_MS:
            if self.stall_anomaly is None:
                since = self.stalls[0][0] - self.stalls[0][1]
                evidence: dict[str, object] = {
                    "value": round(total),
                    "window_ms": STALL_WINDOW_MS,
                    "cause": "the node's own loop stood still",
                }
                self.stall_anomaly = self._new_anomaly(
                    Signal.RESPONSE_TIME, Scope.NODE, "node", since, evidence, set()
                )
        elif not self.stalls and self.stall_anomaly is not None:
            event, self.stall_anomaly = self.stall_anomaly, None
            event.evidence = {**event.evidence, "lasted_ms": round(self.now_ms - event.since_ms)}
            if event.id in self.open_anomalies:
                self._close(event)

    # --- what is told

    def _limit_events(self, out: list[TimelineEvent]) -> list[TimelineEvent]:
        """At most `MOST_TOLD`, the first of each kind and scope before the rest."""
        if len(out) <= MAX_EVENTS_PER_ROUND:
            return out
        seen: set[tuple[EventType, Signal, Scope]] = set()
        first: list[tuple[int, TimelineEvent]] = []
        rest: list[tuple[int, TimelineEvent]] = []
        for number, told in enumerate(out):
            kind = told.event_type, told.signal, told.scope
            (rest if kind in seen else first).append((number, told))
            seen.add(kind)
        kept: list[tuple[int, TimelineEvent]] = []
        for item in (first + rest)[:MAX_EVENTS_PER_ROUND]:
            insort(kept, item, key=lambda pair: pair[0])
        self.suppressed_count += len(out) - len(kept)
        return [told for _, told in kept]


def _related_signals(signal: Signal) -> frozenset[Signal]:
    """The signals that one cause may show in: a server that is cut off is silent, and errs."""
    return _PROPORTION_SIGNALS if signal in _PROPORTION_SIGNALS else frozenset({signal})


_PROPORTION_SIGNALS = frozenset(PROPORTION_TESTS)
