"""Learns the normal behavior of each server and tests its observations against it.

A *level* is the response time of one request class, or the reported load, as a natural logarithm (of ms, of
requests + 1). A *row* is the observation of one server in one round. The mean of a row is compared with the
*reference* of the level: the `REFERENCE_QUANTILE` of the running means of the server's peers, so that up to
half of the fleet may be anomalous. The server's usual distance from the reference, its *offset*, is
subtracted. The remaining deviation, in standard deviations, is the input of two tests: one of rows, which
detects steps within seconds, and one of minutes, which detects drifts. A change of all servers moves the
reference and no score.

A *proportion* (of errors, rejections, timeouts) is tested against those of the fleet and of the server's own
past. Stale load reports and flapping are detected by counting.

Bounds: `MAX_CLASSES` levels per server, about 1 KiB per server, kept for `SERVER_RETENTION_MS` after its last
observation.
"""

from __future__ import annotations

import math

from balancer.core.anomaly_detection import cusum
from balancer.core.anomaly_detection.cusum import PROPORTION_TESTS, Cusum
from balancer.core.anomaly_detection.events import ServerObservation, Signal, Suspicion, Suspicions

LOAD_LEVEL = "\0load"  # level of the reported load; no request class can have this name
MAX_CLASSES = 32  # per server; further classes are not tested

MIN_ROW_SHIFT_LOG = math.log(1.4)  # smaller steps are not reported, however certain
MIN_MINUTE_SHIFT_LOG = math.log(1.12)
MIN_LOAD_SHIFT_LOG = math.log(2.0)
MIN_LOAD_INCREASE_REQUESTS = 2.0  # twice half a request is not a relevant load

REFERENCE_QUANTILE = 0.4  # of the peers' running means
REFERENCE_INTERVAL_MS = 1_000.0  # between two updates of the references
REFERENCE_SAMPLE_SERVERS = 500  # sampled for one update, to bound its work
MIN_REFERENCE_RESPONSES = 5  # of a server, before its running mean contributes to a reference
MIN_PEER_SERVERS = 3  # of a kind, else all kinds are peers; with fewer in total there is no reference
RUNNING_MEAN_RESPONSES = 40.0  # window of a running mean
WARM_UP_ROWS = 45  # of a level, summed over all servers, before it is tested

OFFSET_PRIOR_ROWS = 20.0  # weight of the prior, which places a new server at the reference
OFFSET_MEMORY_ROWS = 1_800.0  # 30 minutes of rows one second apart
OFFSET_MEMORY_MINUTES = 360.0
OFFSET_LEARNING_MINUTES = 10  # 3 minutes gave 16 false alarms a day with 44 servers
MAX_OFFSET_LOG = math.log(1.5)  # a server with a greater offset is anomalous, however long it lasts
MAX_NORMAL_DEVIATION_SD = 3  # rows beyond it are not learned from

INITIAL_RESPONSE_VARIANCE = 0.25  # of the logarithm of one response time around its server's mean
INITIAL_ROW_VARIANCE = 0.01  # of a row's mean, in addition to that of its responses
INITIAL_MINUTE_VARIANCE = 0.0025
MIN_ROW_VARIANCE = 0.04 * 0.04  # lower bound for a variance that was learned in a quiet period
MIN_MINUTE_VARIANCE = 0.02 * 0.02
RESPONSE_VARIANCE_GAIN = 0.01  # gain of an exponential average, per row
SINGLE_RESPONSE_VARIANCE_GAIN = 0.002  # for a row of one response, whose distance from the mean is noisier
ROW_VARIANCE_GAIN = 0.005
MINUTE_VARIANCE_GAIN = 0.02
MAX_VARIANCE_RATIO = 9  # outliers beyond 3 standard deviations count as 3

MINUTE_TEST_PERIOD_MS = 60_000.0  # the period of the slow test
MIN_MINUTE_RESPONSES = 3

FLEET_PROPORTION_RESPONSES = 400.0  # in a round, at which the full gain applies
FLEET_PROPORTION_GAIN = 0.2
PAST_PROPORTION_RESPONSES = 2_000.0  # window of a server's past proportion

MIN_STALE_REPORTS = 40
MIN_STALE_DURATION_MS = 10_000.0
MIN_STALE_COUNT_SPREAD = 3  # requests; an idle server may report the same load for long
MIN_FLAPPING_CHANGES = 5  # a deployment causes two
FLAPPING_WINDOW_MS = 120_000.0

INACTIVITY_TIMEOUT_MS = 120_000.0  # without observations a server is no longer a peer, and its anomalies end
SERVER_RETENTION_MS = 900_000.0
MAX_REMOVALS_PER_ROUND = 200  # servers, to bound the work of a round


class LevelState:
    """The state of one level of one server."""

    __slots__ = (
        "last_observed_ms",
        "mean_log",
        "minute_cusum",
        "minute_offset",
        "minute_sums",
        "offset_minutes",
        "offset_rows",
        "response_count",
        "row_cusum",
        "row_offset",
    )

    def __init__(self) -> None:
        self.mean_log = self.response_count = 0.0  # running mean, and the number of all responses
        self.row_offset = self.minute_offset = 0.0  # usual distance from the reference
        self.offset_rows = self.offset_minutes = 0.0  # numbers that the offsets were learned from
        self.row_cusum = Cusum(cusum.SCORE_CAP_RATIO * cusum.ROW_DECISION_THRESHOLD)
        self.minute_cusum = Cusum(cusum.SCORE_CAP_RATIO * cusum.MINUTE_DECISION_THRESHOLD)
        self.minute_sums = [0.0, 0.0]  # responses of this minute, and the sum of their reference distances
        self.last_observed_ms = 0.0

    @property
    def is_normal(self) -> bool:
        """Whether neither test has a suspicion, so that the level may be learned from."""
        return (
            self.row_cusum.score < cusum.ROW_SUSPICION_SCORE
            and self.minute_cusum.score < cusum.MINUTE_SUSPICION_SCORE
        )

    @property
    def suspicion_ratio(self) -> float:
        """The greater of both scores as a ratio of its threshold."""
        rows, minutes = self.row_cusum.score, self.minute_cusum.score
        return max(rows / cusum.ROW_DECISION_THRESHOLD, minutes / cusum.MINUTE_DECISION_THRESHOLD)

    def add_row(self, now_ms: float, count: int, mean: float) -> None:
        """Update the running mean with the mean of `count` responses."""
        gain = count / (min(self.response_count, RUNNING_MEAN_RESPONSES) + count)
        self.response_count += count
        self.last_observed_ms = now_ms
        self.mean_log += gain * (mean - self.mean_log)

    def learn_row_offset(self, distance: float, standardized: float) -> None:
        """Learn from a normal row's distance from the reference; `standardized` is its deviation in sd."""
        self.offset_rows = min(self.offset_rows + 1, OFFSET_MEMORY_ROWS)
        if abs(standardized) < MAX_NORMAL_DEVIATION_SD:
            self.row_offset += (distance - self.row_offset) / (self.offset_rows + OFFSET_PRIOR_ROWS)
        self.row_offset = max(-MAX_OFFSET_LOG, min(MAX_OFFSET_LOG, self.row_offset))

    def reset_scores(self) -> None:
        """Reset both tests."""
        self.row_cusum.reset()
        self.minute_cusum.reset()


class ServerState:
    """The learned state and the tests of one server."""

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
        threshold = cusum.PROPORTION_DECISION_THRESHOLD
        self.proportion_cusums = {
            signal: Cusum(cusum.SCORE_CAP_RATIO * threshold) for signal in PROPORTION_TESTS
        }
        self.past_proportions = dict.fromkeys(PROPORTION_TESTS, 0.0)
        self.change_times_ms: list[float] = []
        self.last_observed_ms = self.minute_began_ms = 0.0
        self.has_stale_report = False

    def is_active(self, now_ms: float) -> bool:
        """Whether the server was observed recently."""
        return now_ms - self.last_observed_ms <= INACTIVITY_TIMEOUT_MS

    def reset_scores(self, signal: Signal) -> None:
        """Reset the tests of a signal."""
        if signal in (Signal.RESPONSE_TIME, Signal.LOAD):
            for level in self.levels.values():
                level.reset_scores()
        if signal in PROPORTION_TESTS:
            self.proportion_cusums[signal].reset()


class LevelReference:
    """The normal value and variances of one level for one kind of server. Variances are of logarithms."""

    __slots__ = (
        "minute_variance",
        "past_value",
        "response_variance",
        "row_count",
        "row_variance",
        "shift_cusum",
        "value",
    )

    def __init__(self) -> None:
        self.value = math.nan  # current
        self.past_value = math.nan  # usual value, to detect the shift of a class
        self.response_variance = INITIAL_RESPONSE_VARIANCE
        self.row_variance = INITIAL_ROW_VARIANCE
        self.minute_variance = INITIAL_MINUTE_VARIANCE
        self.row_count = 0.0
        self.shift_cusum = Cusum(cusum.SCORE_CAP_RATIO * cusum.ROW_DECISION_THRESHOLD)

    def variance_of_row(self, count: int) -> float:
        """Return the variance of the mean of a row of `count` responses."""
        return self.response_variance / count + self.row_variance + MIN_ROW_VARIANCE

    def variance_of_minute(self, count: float) -> float:
        """Return the variance of the mean of a minute with `count` responses."""
        return self.response_variance / count + self.minute_variance + MIN_MINUTE_VARIANCE

    def learn_response_variance(
        self, count: int, variance: float, change: float, row_variance: float
    ) -> None:
        """Learn from a normal row: from its variance, or for one response its distance from the mean."""
        if count > 1:
            unbiased = variance * count / (count - 1)
            self.response_variance += RESPONSE_VARIANCE_GAIN * (unbiased - self.response_variance)
        else:
            squared = min(MAX_VARIANCE_RATIO * row_variance, change**2)
            self.response_variance += SINGLE_RESPONSE_VARIANCE_GAIN * (squared - self.response_variance)

    def learn_row_variance(self, count: int, deviation: float, row_variance: float) -> None:
        """Learn from a normal row: the excess of its squared deviation over the variance of its responses."""
        excess = (
            min(deviation * deviation, MAX_VARIANCE_RATIO * row_variance) - self.response_variance / count
        )
        self.row_variance = max(0.0, self.row_variance + ROW_VARIANCE_GAIN * (excess - self.row_variance))
        self.row_count += 1

    def learn_minute_variance(self, count: float, deviation: float, minute_variance: float) -> None:
        """Learn from a normal minute, in the same way as from a row."""
        bounded = min(deviation * deviation, MAX_VARIANCE_RATIO * minute_variance)
        excess = bounded - self.response_variance / count
        step = MINUTE_VARIANCE_GAIN * (excess - self.minute_variance)
        self.minute_variance = max(0.0, self.minute_variance + step)


class Baselines:
    """The state of all servers and references, and the suspicions that crossed a threshold this round."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerState] = {}
        self.references: dict[tuple[str, str], LevelReference] = {}  # by kind ("": all) and level
        self.fleet_proportions = dict.fromkeys(PROPORTION_TESTS, 0.0)  # exponential averages
        self.now_ms = 0.0
        self._round_counts = {signal: [0.0, 0.0] for signal in PROPORTION_TESTS}  # bad trials, all trials
        self._references_updated_ms = 0.0
        self._crossings: dict[Signal, Suspicions] = {}

    # --- rounds

    def begin_round(self, now_ms: float) -> None:
        """Set the time of the round, and update the references if they are due."""
        self.now_ms = now_ms
        self._round_counts = {signal: [0.0, 0.0] for signal in PROPORTION_TESTS}
        if now_ms - self._references_updated_ms >= REFERENCE_INTERVAL_MS:
            self._references_updated_ms = now_ms
            self._update_references()

    def observe(self, observation: ServerObservation, is_node_stalled: bool) -> ServerState:
        """Test and learn from an observation; after a stall of the node only stale reports and flapping."""
        server = self.servers.get(observation.server)
        if server is None:
            server = self.servers[observation.server] = ServerState(observation.server)
        server.zone, server.kind, server.cell = observation.zone, observation.kind, observation.cell
        server.last_observed_ms = self.now_ms
        if not is_node_stalled:
            if not observation.is_warming_up:
                self._observe_levels(server, observation)
            self._observe_proportions(server, observation)
        self._observe_reports(server, observation)
        self._observe_lifecycle(server, observation)
        return server

    def end_round(self) -> dict[Signal, Suspicions]:
        """Learn the fleet's proportions; return the suspicions that crossed a threshold in this round."""
        for signal, (bad, total) in self._round_counts.items():
            if total:
                gain = min(1.0, total / FLEET_PROPORTION_RESPONSES)
                distance = bad / total - self.fleet_proportions[signal]
                self.fleet_proportions[signal] += gain * FLEET_PROPORTION_GAIN * distance
        crossings, self._crossings = self._crossings, {}
        return crossings

    def active_servers(self) -> list[ServerState]:
        """Return the servers that were observed recently."""
        return [server for server in self.servers.values() if server.is_active(self.now_ms)]

    def remove_inactive_servers(self) -> None:
        """Remove some of the servers that have not been observed for `SERVER_RETENTION_MS`."""
        inactive = [
            name
            for name, server in self.servers.items()
            if self.now_ms - server.last_observed_ms > SERVER_RETENTION_MS
        ]
        for name in inactive[:MAX_REMOVALS_PER_ROUND]:
            del self.servers[name]

    def _record_crossing(self, signal: Signal, server: ServerState, suspicion: Suspicion) -> None:
        self._crossings.setdefault(signal, {})[server.name] = suspicion

    # --- references

    def reference_of(self, server: ServerState, level_name: str) -> LevelReference | None:
        """Return the reference of a server's level, of its kind or else of all kinds; None if unknown."""
        reference = self.references.get((server.kind, level_name)) or self.references.get(("", level_name))
        return None if reference is None or math.isnan(reference.value) else reference

    def _update_references(self) -> None:
        for key, means in self._peer_means().items():
            if len(means) < MIN_PEER_SERVERS:
                continue
            means.sort()
            reference = self.references.get(key)
            if reference is None:
                reference = self.references[key] = LevelReference()
            reference.value = means[int(REFERENCE_QUANTILE * (len(means) - 1))]

    def _peer_means(self) -> dict[tuple[str, str], list[float]]:
        """Return running means minus offsets by kind and level, from a deterministic sample of servers."""
        means: dict[tuple[str, str], list[float]] = {}
        servers = list(self.servers.values())
        for server in servers[:: 1 + len(servers) // REFERENCE_SAMPLE_SERVERS]:
            for name, level in server.levels.items():
                age_ms = self.now_ms - level.last_observed_ms
                if level.response_count >= MIN_REFERENCE_RESPONSES and age_ms < INACTIVITY_TIMEOUT_MS:
                    means.setdefault((server.kind, name), []).append(level.mean_log - level.row_offset)
                    means.setdefault(("", name), []).append(level.mean_log - level.row_offset)
        return means

    # --- levels

    def _observe_levels(self, server: ServerState, observation: ServerObservation) -> None:
        has_response_times = False
        for name, (count, total, squares) in observation.response_times.items():
            level = server.levels.get(name)
            if level is None:
                if len(server.levels) >= MAX_CLASSES:
                    continue
                level = server.levels[name] = LevelState()
            variance = max(0.0, squares / count - (total / count) ** 2)
            self._update_level(server, level, name, count, total / count, variance)
            has_response_times = True
        if observation.reported_load is not None:
            level = server.levels.setdefault(LOAD_LEVEL, LevelState())
            self._update_level(
                server, level, LOAD_LEVEL, 1, math.log1p(max(0.0, observation.reported_load)), 0.0
            )
        if has_response_times:
            if self.now_ms - server.minute_began_ms >= MINUTE_TEST_PERIOD_MS:
                self._close_minute(server)
            for name, level in server.levels.items():
                self._check_level(server, level, name)

    def _update_level(
        self, server: ServerState, level: LevelState, name: str, count: int, mean: float, variance: float
    ) -> None:
        """Test a row of `count` responses against the baseline; learn from it if it is normal."""
        previous_mean = level.mean_log
        level.add_row(self.now_ms, count, mean)
        reference = self.reference_of(server, name)
        if reference is None:
            return
        distance = mean - reference.value
        deviation = distance - level.row_offset
        is_normal = level.is_normal
        row_variance = reference.variance_of_row(count)
        standardized = deviation / math.sqrt(row_variance)
        if reference.row_count >= WARM_UP_ROWS:
            increment = min(cusum.MAX_ROW_DEVIATION_SD, standardized) - cusum.ROW_ALLOWANCE_SD
            level.row_cusum.update(increment, self.now_ms, deviation, count)
        if is_normal:
            if previous_mean:  # the first row has no running mean to compare with
                reference.learn_response_variance(count, variance, mean - previous_mean, row_variance)
            reference.learn_row_variance(count, deviation, row_variance)
            level.learn_row_offset(distance, standardized)
        level.minute_sums[0] += count
        level.minute_sums[1] += count * distance

    def _close_minute(self, server: ServerState) -> None:
        """Run the slow test of all levels. The first call for a server only begins its first minute."""
        if server.minute_began_ms:
            for name, level in server.levels.items():
                self._test_minute(server, level, name)
        server.minute_began_ms = self.now_ms

    def _test_minute(self, server: ServerState, level: LevelState, name: str) -> None:
        count, distance_sum = level.minute_sums
        level.minute_sums = [0.0, 0.0]
        reference = self.reference_of(server, name)
        if reference is None or count < MIN_MINUTE_RESPONSES or name == LOAD_LEVEL:
            return
        distance = distance_sum / count
        level.offset_minutes += 1
        if level.offset_minutes <= OFFSET_LEARNING_MINUTES:
            level.minute_offset += (distance - level.minute_offset) / level.offset_minutes
            return
        deviation = distance - level.minute_offset
        variance = reference.variance_of_minute(count)
        standardized = deviation / math.sqrt(variance)
        increment = min(cusum.MAX_ROW_DEVIATION_SD, standardized) - cusum.MINUTE_ALLOWANCE_SD
        level.minute_cusum.update(increment, self.now_ms, deviation, count)
        if level.minute_cusum.score < cusum.MINUTE_SUSPICION_SCORE:
            reference.learn_minute_variance(count, deviation, variance)
            memory = min(level.offset_minutes, OFFSET_MEMORY_MINUTES)
            level.minute_offset += (distance - level.minute_offset) / memory

    def _check_level(self, server: ServerState, level: LevelState, name: str) -> None:
        """Record a crossing if a score of the level is over its threshold and the shift is relevant."""
        rows, minutes = level.row_cusum, level.minute_cusum
        is_load = name == LOAD_LEVEL
        min_shift = MIN_LOAD_SHIFT_LOG if is_load else MIN_ROW_SHIFT_LOG
        if rows.score >= cusum.ROW_DECISION_THRESHOLD and rows.mean >= min_shift:
            if not is_load:
                self._record_crossing(Signal.RESPONSE_TIME, server, suspicion_of(rows, name))
            elif math.expm1(level.mean_log) >= (
                math.expm1(level.mean_log - rows.mean) + MIN_LOAD_INCREASE_REQUESTS
            ):
                self._record_crossing(Signal.LOAD, server, suspicion_of(rows))
        elif is_load:
            return
        elif minutes.score >= cusum.MINUTE_DECISION_THRESHOLD and minutes.mean >= MIN_MINUTE_SHIFT_LOG:
            self._record_crossing(Signal.RESPONSE_TIME, server, suspicion_of(minutes, name))

    # --- proportions

    def _observe_proportions(self, server: ServerState, observation: ServerObservation) -> None:
        failures = observation.errors + observation.rejections + observation.timeouts
        bad_counts = {
            Signal.ERRORS: observation.errors,
            Signal.REJECTIONS: observation.rejections,
            Signal.TIMEOUTS: observation.timeouts,
        }
        for signal, bad in bad_counts.items():
            good = observation.successes + (failures - bad)
            if good + bad:
                self._update_proportion(server, signal, bad, good)

    def _update_proportion(self, server: ServerState, signal: Signal, bad: int, good: int) -> None:
        total = good + bad
        counts = self._round_counts[signal]
        counts[0] += bad
        counts[1] += total
        increment = PROPORTION_TESTS[signal].increment(
            bad, good, self.fleet_proportions[signal], server.past_proportions[signal]
        )
        score = server.proportion_cusums[signal]
        score.update(increment, self.now_ms, bad / total, total)
        if score.score < cusum.PROPORTION_SUSPICION_SCORE:
            gain = min(1.0, total / PAST_PROPORTION_RESPONSES)
            server.past_proportions[signal] += gain * (bad / total - server.past_proportions[signal])
        if score.score >= cusum.PROPORTION_DECISION_THRESHOLD:
            self._record_crossing(signal, server, suspicion_of(score))

    # --- stale reports and flapping

    def _observe_reports(self, server: ServerState, observation: ServerObservation) -> None:
        """Detect a stale load report: one that stays the same while the node's own count varies."""
        server.has_stale_report = (
            observation.identical_reports >= MIN_STALE_REPORTS
            and observation.identical_reports_ms >= MIN_STALE_DURATION_MS
            and observation.own_count_spread >= MIN_STALE_COUNT_SPREAD
        )
        if server.has_stale_report:
            since_ms = self.now_ms - observation.identical_reports_ms
            reports, spread = float(observation.identical_reports), float(observation.own_count_spread)
            self._record_crossing(Signal.STALE_REPORT, server, Suspicion("", since_ms, reports, spread))

    def _observe_lifecycle(self, server: ServerState, observation: ServerObservation) -> None:
        """Detect flapping: a server that repeatedly starts or changes its phase."""
        if observation.lifecycle_changes:
            count = min(observation.lifecycle_changes, MIN_FLAPPING_CHANGES)
            server.change_times_ms += [self.now_ms] * count
        recent = [at for at in server.change_times_ms if self.now_ms - at <= FLAPPING_WINDOW_MS]
        server.change_times_ms = recent[-MIN_FLAPPING_CHANGES:]
        if len(server.change_times_ms) >= MIN_FLAPPING_CHANGES:
            changes = server.change_times_ms
            suspicion = Suspicion("", changes[0], float(len(changes)), 0.0)
            self._record_crossing(Signal.FLAPPING, server, suspicion)


def suspicion_of(score: Cusum, class_name: str = "") -> Suspicion:
    """Return the current suspicion of a test."""
    return Suspicion(class_name, score.since_ms, score.mean, score.score)
