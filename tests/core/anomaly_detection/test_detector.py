"""Tests of the detector: random observations in virtual time, one test for each kind of fault."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest

from balancer.core.anomaly_detection import anomaly_log
from balancer.core.anomaly_detection.detector import AnomalyDetector
from balancer.core.anomaly_detection.events import (
    EventType,
    Scope,
    ServerObservation,
    Signal,
    TimelineEvent,
)

USUAL_MS = {"read": 40.0, "book": 120.0}
WARM_UP_S = 240


class ServerStreams:
    """Random observations of servers in zones a, b, c; a test may change each before it is observed."""

    def __init__(self, servers: int = 15, rate_per_s: float = 10.0, seed: int = 1) -> None:
        self.rng, self.rate_per_s, self.now_s = random.Random(seed), rate_per_s, 0
        self.server_names = [f"s{n}" for n in range(servers)]
        self.own_offsets = {name: self.rng.gauss(0, 0.1) for name in self.server_names}
        self.detector = AnomalyDetector()
        self.events: list[TimelineEvent] = []

    def zone(self, name: str) -> str:
        """Return the zone of a server."""
        return "abc"[int(name[1:]) % 3]

    def observation(self, name: str, factors: dict[str, float], errors: float = 0.001) -> ServerObservation:
        """Return one second of a server: `factors` scale its response times by class, `errors` is a ratio."""
        rng, observed = self.rng, ServerObservation(name, self.zone(name), "m", int(name[1:]) % 7)
        for class_name, usual_ms in USUAL_MS.items():
            count = sum(rng.random() < self.rate_per_s / 40 for _ in range(20))
            failed = sum(rng.random() < errors for _ in range(count))
            observed.errors += failed
            mean = math.log(usual_ms * factors.get(class_name, 1.0)) + self.own_offsets[name]
            logs = [mean + rng.gauss(0, 0.6) for _ in range(count - failed)]
            if logs:
                observed.response_times[class_name] = (len(logs), sum(logs), sum(x * x for x in logs))
                observed.successes += len(logs)
        return observed

    def run(
        self,
        seconds: int,
        factors: Callable[[str, int], dict[str, float]] = lambda name, at: {},
        errors: Callable[[str], float] = lambda name: 0.001,
        change: Callable[[ServerObservation], ServerObservation | None] = lambda observed: observed,
        stall_ms: float = 0.0,
    ) -> list[TimelineEvent]:
        """Run for `seconds` and return the events of that time."""
        before = len(self.events)
        for at in range(seconds):
            self.now_s += 1
            assert self.detector.begin_round(self.now_s * 1000.0, stall_ms)
            for name in self.server_names:
                observed = change(self.observation(name, factors(name, at), errors(name)))
                if observed is not None and (
                    observed.successes or observed.errors or observed.timeouts or observed.rejections
                ):
                    self.detector.observe(observed)
            self.events += self.detector.end_round()
        return self.events[before:]

    def run_normal(self, seconds: int = WARM_UP_S) -> ServerStreams:
        """Run without a fault, so that the detector learns the baselines."""
        assert self.run(seconds) == []
        return self


def slow(server: str, factor: float, class_name: str = "") -> Callable[[str, int], dict[str, float]]:
    """Return factors that slow down one server, in one class or in all."""
    factors = {name: factor for name in USUAL_MS if class_name in ("", name)}
    return lambda name, at: factors if name == server else {}


def without_response(observed: ServerObservation, timeouts: int) -> ServerObservation:
    """Return the observation of the same server while it cannot be reached."""
    return ServerObservation(observed.server, observed.zone, observed.kind, observed.cell, timeouts=timeouts)


def changes(events: list[TimelineEvent]) -> list[EventType]:
    """Return the types of the events without changes of open anomalies."""
    return [event.event_type for event in events if event.event_type is not EventType.ANOMALY_CHANGED]


def begun_anomalies(events: list[TimelineEvent]) -> list[tuple[Scope, str, Signal]]:
    """Return scope, subject and signal of the anomalies that began."""
    return [
        (event.scope, event.subject, event.signal)
        for event in events
        if event.event_type is EventType.ANOMALY_BEGAN
    ]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_detector_server_three_times_slower_is_reported_alone_within_six_rounds(seed: int) -> None:
    events = ServerStreams(seed=seed).run_normal().run(6, slow("s4", 3.0))
    assert begun_anomalies(events) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]
    assert 2.0 < float(str(events[0].evidence["ratio"])) < 4.5
    assert 0 <= events[0].at_ms - events[0].since_ms < 8_000 and events[0].since_ms >= (WARM_UP_S - 2) * 1_000


def test_detector_server_slow_in_one_class_reports_the_class() -> None:
    events = ServerStreams().run_normal().run(25, slow("s4", 2.0, "book"))
    assert begun_anomalies(events) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]
    assert events[0].evidence["class"] == "book"


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_detector_server_with_errors_is_reported(seed: int) -> None:
    streams = ServerStreams(seed=seed).run_normal()
    events = streams.run(15, errors=lambda name: 0.10 if name == "s7" else 0.001)
    assert begun_anomalies(events) == [(Scope.SERVER, "s7", Signal.ERRORS)]


def test_detector_cause_gone_ends_the_anomaly_after_several_normal_rows() -> None:
    streams = ServerStreams().run_normal()
    streams.run(10, slow("s4", 3.0))
    assert all(event.event_type is not EventType.ANOMALY_ENDED for event in streams.run(4))
    events = streams.run(60)
    assert changes(events) == [EventType.ANOMALY_ENDED]
    assert int(str(events[-1].evidence["lasted_ms"])) > 8_000 and not streams.detector.open_anomalies


def test_detector_single_outlying_row_reports_nothing() -> None:
    """Guards against an event for a single garbage collection, however long its responses take."""
    streams = ServerStreams().run_normal()
    for _ in range(3):
        assert streams.run(1, slow("s4", 50.0)) + streams.run(60) == []


def test_detector_server_that_fails_fast_is_reported_for_errors_alone() -> None:
    streams = ServerStreams().run_normal()
    events = streams.run(20, slow("s2", 0.1), lambda name: 0.5 if name == "s2" else 0.001)
    assert begun_anomalies(events) == [(Scope.SERVER, "s2", Signal.ERRORS)]


@pytest.mark.parametrize("servers", [15, 60])
def test_detector_partitioned_zone_is_one_anomaly(servers: int) -> None:
    streams = ServerStreams(servers).run_normal()

    def partition(observed: ServerObservation) -> ServerObservation:
        return without_response(observed, timeouts=3) if observed.zone == "b" else observed

    events = streams.run(12, change=partition)
    assert begun_anomalies(events) == [(Scope.ZONE, "b", Signal.TIMEOUTS)]


@pytest.mark.parametrize("first", [("s1", "s4"), ("s4",)])
def test_detector_zone_partitioned_server_by_server_is_one_anomaly(first: tuple[str, ...]) -> None:
    """Two suspects wait a round for others; a server that was reported alone becomes part of the anomaly."""
    streams = ServerStreams(15).run_normal()

    def partition(observed: ServerObservation) -> ServerObservation:
        is_partitioned = observed.server in first or (observed.zone == "b" and streams.now_s > WARM_UP_S + 1)
        return without_response(observed, timeouts=6) if is_partitioned else observed

    events = streams.run(12, change=partition)
    zone = (Scope.ZONE, "b", Signal.TIMEOUTS)
    assert begun_anomalies(events) == (
        [zone] if len(first) == 2 else [(Scope.SERVER, "s4", Signal.TIMEOUTS), zone]
    )
    ended = [
        str(event.evidence["ended_as"]) for event in events if event.event_type is EventType.ANOMALY_ENDED
    ]
    assert ended == ([] if len(first) == 2 else ["part of event 2"])


def test_detector_intermittent_fault_is_one_anomaly_that_ends_after_it() -> None:
    streams = ServerStreams().run_normal()
    events: list[TimelineEvent] = []
    for _ in range(3):
        events += streams.run(6, slow("s4", 3.0)) + streams.run(14)
    assert len(begun_anomalies(events)) == 1
    streams.run(60)
    assert not streams.detector.open_anomalies
    assert begun_anomalies(streams.run(300, slow("s4", 3.0))) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]
    assert EventType.ANOMALY_ENDED in changes(streams.run(40))  # however long the fault lasted


def test_detector_slow_zone_is_one_anomaly_of_the_zone() -> None:
    streams = ServerStreams(30).run_normal()
    events = streams.run(
        15, lambda name, at: dict.fromkeys(USUAL_MS, 3.0) if streams.zone(name) == "c" else {}
    )
    assert begun_anomalies(events) == [(Scope.ZONE, "c", Signal.RESPONSE_TIME)]


def test_detector_half_of_the_fleet_slow_is_one_anomaly_of_the_fleet() -> None:
    streams = ServerStreams(30).run_normal()
    events = streams.run(15, lambda name, at: dict.fromkeys(USUAL_MS, 3.0) if int(name[1:]) % 2 else {})
    assert [(scope, signal) for scope, _, signal in begun_anomalies(events)] == [
        (Scope.FLEET, Signal.RESPONSE_TIME)
    ]


def test_detector_class_slower_everywhere_is_one_anomaly_of_the_class() -> None:
    events = ServerStreams(30).run_normal().run(40, lambda name, at: {"book": 3.0})
    assert begun_anomalies(events) == [(Scope.CLASS, "book", Signal.RESPONSE_TIME)]


def test_detector_all_classes_slower_everywhere_is_one_anomaly_of_the_fleet() -> None:
    events = ServerStreams(30).run_normal().run(40, lambda name, at: dict.fromkeys(USUAL_MS, 3.0))
    assert begun_anomalies(events) == [(Scope.FLEET, "all", Signal.RESPONSE_TIME)]


def test_detector_node_stall_is_an_anomaly_of_the_node_alone() -> None:
    streams = ServerStreams(30).run_normal()
    events = streams.run(3, lambda name, at: dict.fromkeys(USUAL_MS, 20.0), stall_ms=800.0)
    assert begun_anomalies(events) == [(Scope.NODE, "node", Signal.RESPONSE_TIME)]
    events = streams.run(20)
    assert [event.event_type for event in events] == [EventType.ANOMALY_ENDED]
    assert events[0].scope is Scope.NODE


def test_detector_load_shifted_between_servers_reports_nothing() -> None:
    """The node sends no requests to some servers, and the others get more and are slightly slower."""
    streams = ServerStreams(15).run_normal()
    events = streams.run(
        60,
        lambda name, at: dict.fromkeys(USUAL_MS, 1.15),
        change=lambda observed: None if observed.server in ("s1", "s2", "s3") else observed,
    )
    assert begun_anomalies(events) == []


def test_detector_load_wave_and_burst_report_no_server() -> None:
    streams = ServerStreams(15)
    events = streams.run(1_800, lambda name, at: dict.fromkeys(USUAL_MS, 1 + 0.3 * math.sin(at / 300)))
    assert begun_anomalies(events) == []
    streams.rate_per_s = 20.0
    events = streams.run(60, lambda name, at: dict.fromkeys(USUAL_MS, 2.2))
    assert {scope for scope, _, _ in begun_anomalies(events)} <= {Scope.FLEET, Scope.CLASS}


def test_detector_drift_of_one_percent_per_minute_is_reported_within_23_minutes() -> None:
    streams = ServerStreams(15, rate_per_s=10.0).run_normal(900)
    events = streams.run(
        23 * 60, lambda name, at: dict.fromkeys(USUAL_MS, 1.01 ** (at / 60)) if name == "s4" else {}
    )
    assert begun_anomalies(events) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]


def test_detector_periodic_fault_is_an_anomaly_each_time() -> None:
    streams = ServerStreams().run_normal()
    for _ in range(2):
        events = streams.run(60, slow("s4", 3.0)) + streams.run(240)
        assert begun_anomalies(events) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]
        assert changes(events) == [EventType.ANOMALY_BEGAN, EventType.ANOMALY_ENDED]


def test_detector_server_with_three_responses_per_minute_is_reported_only_with_a_fault() -> None:
    rng, detector, events = random.Random(4), AnomalyDetector(), list[TimelineEvent]()
    for number in range(1, 1_401):
        has_fault = number > 1_200
        detector.begin_round(number * 20_000.0)
        for n in range(12):
            log_ms = math.log(40.0 * (6.0 if n == 3 and has_fault else 1.0)) + rng.gauss(0, 0.6)
            moments = 1, log_ms, log_ms * log_ms
            detector.observe(ServerObservation(f"s{n}", response_times={"read": moments}, successes=1))
        events += detector.end_round()
        assert has_fault or not events
    assert (Scope.SERVER, "s3", Signal.RESPONSE_TIME) in begun_anomalies(events)
    assert {event.subject for event in events} == {"s3"}


def test_detector_noisy_load_reports_report_only_the_overloaded_server() -> None:
    streams, rng = ServerStreams().run_normal(), random.Random(9)

    def noisy(overloaded: str) -> Callable[[ServerObservation], ServerObservation]:
        def change(observed: ServerObservation) -> ServerObservation:
            if int(observed.server[1:]) % 4:  # a quarter of the servers never reports
                observed.reported_load = rng.choice((0.5, 1.0, 1.0, 1.5)) * rng.randint(1, 3)
                observed.reported_load += 12.0 if observed.server == overloaded else 0.0
            return observed

        return change

    assert begun_anomalies(streams.run(400, change=noisy(""))) == []
    assert begun_anomalies(streams.run(30, change=noisy("s5"))) == [(Scope.SERVER, "s5", Signal.LOAD)]


def test_detector_load_report_unchanged_while_own_count_moves_is_stale() -> None:
    def unchanged(observed: ServerObservation, spread: int) -> ServerObservation:
        if observed.server == "s3":
            observed.identical_reports, observed.identical_reports_ms = 50, 11_000.0
            observed.own_count_spread = spread
        return observed

    streams = ServerStreams().run_normal()
    # The own count hardly varies, so the unchanged report may be correct.
    idle_events = streams.run(3, change=lambda observed: unchanged(observed, 1))
    assert begun_anomalies(idle_events) == []
    busy_events = streams.run(3, change=lambda observed: unchanged(observed, 4))
    assert begun_anomalies(busy_events) == [(Scope.SERVER, "s3", Signal.STALE_REPORT)]
    assert [event.event_type for event in streams.run(20)] == [EventType.ANOMALY_ENDED]


def test_detector_repeated_restarts_are_flapping_and_a_deployment_is_not() -> None:
    streams = ServerStreams().run_normal()

    def starts(observed: ServerObservation) -> ServerObservation:
        is_deployed = streams.now_s <= WARM_UP_S + 2 and int(observed.server[1:]) % 3 == 0
        observed.lifecycle_changes = 2 * is_deployed + (observed.server == "s1")  # a drain and a start
        return observed

    assert begun_anomalies(streams.run(12, change=starts)) == [(Scope.SERVER, "s1", Signal.FLAPPING)]


def test_detector_server_warming_up_may_be_slow() -> None:
    def warming_up(observed: ServerObservation) -> ServerObservation:
        observed.is_warming_up = observed.server == "s4"
        return observed

    assert begun_anomalies(ServerStreams().run_normal().run(30, slow("s4", 4.0), change=warming_up)) == []


def test_detector_with_a_thousand_anomalies_reports_bounded_events_of_every_kind() -> None:
    detector, events = AnomalyDetector(), list[TimelineEvent]()
    stale = ServerObservation(
        "stale", successes=1, identical_reports=99, identical_reports_ms=20_000.0, own_count_spread=9
    )
    for second in range(1, 9):
        detector.begin_round(second * 1_000.0)
        for n in range(4_000):
            restarts = int(n < 1_000)
            detector.observe(
                ServerObservation(f"s{n}", zone=str(n), cell=n, successes=1, lifecycle_changes=restarts)
            )
        if second >= 3:
            detector.observe(stale)
        round_events = detector.end_round()
        assert len(round_events) <= anomaly_log.MAX_EVENTS_PER_ROUND
        events += round_events
    assert {event.signal for event in events} == {Signal.FLAPPING, Signal.STALE_REPORT}
    # Counts anomalies above the limit, and open ones that were not reported individually.
    assert len(detector.open_anomalies) == anomaly_log.MAX_OPEN_ANOMALIES
    assert detector.suppressed_count == 1_001 - len(begun_anomalies(events))


def test_detector_clock_that_does_not_advance_begins_no_round() -> None:
    detector = AnomalyDetector()
    assert detector.begin_round(5.0) and not detector.begin_round(5.0) and not detector.begin_round(4.0)


def test_detector_server_without_observations_ends_its_anomaly_and_is_removed() -> None:
    streams = ServerStreams().run_normal()
    streams.run(8, slow("s4", 3.0))
    streams.server_names.remove("s4")
    events = streams.run(130)
    assert changes(events) == [EventType.ANOMALY_ENDED]
    assert "heard" in str(events[-1].evidence["ended_as"])
    streams.run(800)
    assert "s4" not in streams.detector.servers


def test_timeline_event_to_json_has_the_documented_keys() -> None:
    event = ServerStreams().run_normal().run(8, slow("s4", 3.0))[0].to_json()
    assert list(event) == ["event", "id", "at", "since", "scope", "subject", "signal", "evidence"]
    assert event["event"] == "departure_began" and event["scope"] == "server" and event["subject"] == "s4"


def test_detector_day_of_normal_changes_reports_no_server() -> None:
    """Guards against alarms on a normal day, of which each period stands for an hour.

    A third of the fleet restarts at a time, each server once.
    """
    streams, rng = ServerStreams(15, rate_per_s=6.0, seed=5), random.Random(7)
    starts: dict[str, int] = {}

    def change(observed: ServerObservation) -> ServerObservation:
        now_s = streams.now_s
        if now_s % 400 == 200 and int(observed.server[1:]) % 3 == (now_s // 400) % 3:
            starts[observed.server], observed.lifecycle_changes = now_s, 2
        observed.is_warming_up = now_s - starts.get(observed.server, -99) < 20
        if int(observed.server[1:]) % 5:  # a fifth never reports; half of the reports are wrong, a third late
            noise = rng.choice((0.5, 1.0, 1.0, 1.5))
            observed.reported_load = 2.0 * noise * (0.5 if rng.random() < 0.3 else 1.0)
        return observed

    def factors(name: str, at: int) -> dict[str, float]:
        wave = 1.0 + 0.4 * math.sin(streams.now_s / 380)
        warming_up = 2.5 if streams.now_s - starts.get(name, -99) < 15 else 1.0
        costly = 3.0 if streams.rng.random() < 0.05 else 1.0  # occasional costly requests in one class
        return {"read": wave * warming_up, "book": wave * warming_up * costly}

    events: list[TimelineEvent] = []
    for period in range(6):
        streams.rate_per_s = 12.0 if period == 3 else 6.0  # a burst to twice the load
        events += streams.run(400, factors, change=change)
    assert {scope for scope, _, _ in begun_anomalies(events)} <= {Scope.FLEET, Scope.CLASS}


def test_detector_one_failing_server_among_thousands_is_reported_alone() -> None:
    detector, events = AnomalyDetector(), list[TimelineEvent]()
    times = {"read": (1, 4.0, 16.0)}
    for second in range(1, 30):
        detector.begin_round(second * 1_000.0)
        for n in range(0, 10_000, 5):
            detector.observe(ServerObservation(f"s{n}", zone="ab"[n % 2], response_times=times, successes=1))
        detector.observe(ServerObservation("s77", zone="a", successes=2, errors=8))
        events += detector.end_round()
    assert begun_anomalies(events) == [(Scope.SERVER, "s77", Signal.ERRORS)]
