"""Who is named as departing, and who is not: streams of chance in virtual time, each hard case caused."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest

from balancer.core.anomaly_detection import detector as departure
from balancer.core.anomaly_detection.detector import (
    AnomalyDetector,
    EventType,
    Scope,
    ServerObservation,
    Signal,
    TimelineEvent,
)

USUAL = {"read": 40.0, "book": 120.0}
WARM = 240  # s


class Streams:
    """Servers in zones a, b, c whose rows a test may change before they are fed."""

    def __init__(self, servers: int = 15, rate: float = 10.0, seed: int = 1) -> None:
        self.rng, self.rate, self.now = random.Random(seed), rate, 0
        self.names = [f"s{n}" for n in range(servers)]
        self.own = {name: self.rng.gauss(0, 0.1) for name in self.names}
        self.all = AnomalyDetector()
        self.told: list[TimelineEvent] = []

    def zone(self, name: str) -> str:
        return "abc"[int(name[1:]) % 3]

    def row(self, name: str, factors: dict[str, float], errors: float = 0.001) -> ServerObservation:
        rng, row = self.rng, ServerObservation(name, self.zone(name), "m", int(name[1:]) % 7)
        for cls, usual in USUAL.items():
            n = sum(rng.random() < self.rate / 40 for _ in range(20))
            bad = sum(rng.random() < errors for _ in range(n))
            row.errors += bad
            logs = [
                math.log(usual * factors.get(cls, 1.0)) + self.own[name] + rng.gauss(0, 0.6)
                for _ in range(n - bad)
            ]
            if logs:
                row.response_times[cls] = (len(logs), sum(logs), sum(x * x for x in logs))
                row.successes += len(logs)
        return row

    def play(
        self,
        seconds: int,
        factors: Callable[[str, int], dict[str, float]] = lambda name, at: {},
        errors: Callable[[str], float] = lambda name: 0.001,
        alter: Callable[[ServerObservation], ServerObservation | None] = lambda r: r,
        stall_ms: float = 0.0,
    ) -> list[TimelineEvent]:
        """So many seconds; what was told in them."""
        before = len(self.told)
        for at in range(seconds):
            self.now += 1
            assert self.all.begin_round(self.now * 1000.0, stall_ms)
            for name in self.names:
                row = alter(self.row(name, factors(name, at), errors(name)))
                if row is not None and (row.successes or row.errors or row.timeouts or row.rejections):
                    self.all.observe(row)
            self.told += self.all.end_round()
        return self.told[before:]

    def calm(self, seconds: int = WARM) -> Streams:
        assert self.play(seconds) == []
        return self


def slow(who: str, by: float, cls: str = "") -> Callable[[str, int], dict[str, float]]:
    return lambda name, at: {c: by for c in USUAL if cls in ("", c)} if name == who else {}


def began(told: list[TimelineEvent]) -> list[tuple[Scope, str, Signal]]:
    return [(t.scope, t.subject, t.signal) for t in told if t.event_type is EventType.ANOMALY_BEGAN]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_three_times_slower_is_named_within_six_rounds_and_nobody_else(seed: int) -> None:
    told = Streams(seed=seed).calm().play(6, slow("s4", 3.0))
    assert began(told) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]
    assert 2.0 < float(str(told[0].evidence["ratio"])) < 4.5
    assert 0 <= told[0].at_ms - told[0].since_ms < 8_000 and told[0].since_ms >= (WARM - 2) * 1_000


def test_half_the_speed_in_one_class_names_the_class() -> None:
    told = Streams().calm().play(25, slow("s4", 2.0, "book"))
    assert began(told) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)] and told[0].evidence["class"] == "book"


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_errors_over_the_base_are_named(seed: int) -> None:
    told = Streams(seed=seed).calm().play(15, errors=lambda name: 0.10 if name == "s7" else 0.001)
    assert began(told) == [(Scope.SERVER, "s7", Signal.ERRORS)]


def test_an_event_ends_once_its_cause_has_and_not_at_the_first_good_row() -> None:
    streams = Streams().calm()
    streams.play(10, slow("s4", 3.0))
    assert all(t.event_type is not EventType.ANOMALY_ENDED for t in streams.play(4))
    told = streams.play(60)
    assert [t.event_type for t in told if t.event_type is not EventType.ANOMALY_CHANGED] == [
        EventType.ANOMALY_ENDED
    ]
    assert int(str(told[-1].evidence["lasted_ms"])) > 8_000 and not streams.all.open_anomalies


def test_one_odd_second_tells_nothing() -> None:
    """Guards against an event for one collection of garbage at a server, however long its answers took."""
    streams = Streams().calm()
    for _ in range(3):
        assert streams.play(1, slow("s4", 50.0)) + streams.play(60) == []


def test_fast_because_it_errs_is_told_for_its_errors_alone() -> None:
    streams = Streams().calm()
    told = streams.play(20, slow("s2", 0.1), lambda name: 0.5 if name == "s2" else 0.001)
    assert began(told) == [(Scope.SERVER, "s2", Signal.ERRORS)]


@pytest.mark.parametrize("servers", [15, 60])
def test_a_cut_zone_is_one_event(servers: int) -> None:
    streams = Streams(servers).calm()

    def cut(row: ServerObservation) -> ServerObservation:
        return (
            ServerObservation(row.server, row.zone, row.kind, row.cell, timeouts=3)
            if row.zone == "b"
            else row
        )

    told = streams.play(12, alter=cut)
    assert began(told) == [(Scope.ZONE, "b", Signal.TIMEOUTS)]


@pytest.mark.parametrize("first", [("s1", "s4"), ("s4",)])
def test_a_zone_whose_servers_show_it_one_after_the_other_is_one_event(first: tuple[str, ...]) -> None:
    """Where two are sure they wait a round for the others; one that was told alone becomes part of it."""
    streams = Streams(15).calm()

    def cut(row: ServerObservation) -> ServerObservation:
        hit = row.server in first or (row.zone == "b" and streams.now > WARM + 1)
        return ServerObservation(row.server, row.zone, row.kind, row.cell, timeouts=6) if hit else row

    told = streams.play(12, alter=cut)
    zone = (Scope.ZONE, "b", Signal.TIMEOUTS)
    assert began(told) == ([zone] if len(first) == 2 else [(Scope.SERVER, "s4", Signal.TIMEOUTS), zone])
    ended = [str(t.evidence["ended_as"]) for t in told if t.event_type is EventType.ANOMALY_ENDED]
    assert ended == ([] if len(first) == 2 else ["part of event 2"])


def test_a_trouble_that_comes_and_goes_is_one_event_and_one_that_is_over_ends_soon() -> None:
    streams = Streams().calm()
    told = [t for _ in range(3) for t in streams.play(6, slow("s4", 3.0)) + streams.play(14)]
    assert len(began(told)) == 1
    streams.play(60)
    assert not streams.all.open_anomalies
    assert began(streams.play(300, slow("s4", 3.0))) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]
    assert [
        t.event_type for t in streams.play(40) if t.event_type is EventType.ANOMALY_ENDED
    ]  # however long it lasted


def test_a_slow_zone_is_one_event_of_the_zone() -> None:
    streams = Streams(30).calm()
    told = streams.play(15, lambda name, at: dict.fromkeys(USUAL, 3.0) if streams.zone(name) == "c" else {})
    assert began(told) == [(Scope.ZONE, "c", Signal.RESPONSE_TIME)]


def test_half_of_the_fleet_slow_at_once_is_one_event_of_all() -> None:
    streams = Streams(30).calm()
    told = streams.play(15, lambda name, at: dict.fromkeys(USUAL, 3.0) if int(name[1:]) % 2 else {})
    assert [(scope, signal) for scope, _, signal in began(told)] == [(Scope.FLEET, Signal.RESPONSE_TIME)]


def test_a_class_that_gets_costlier_everywhere_is_one_event_of_the_class() -> None:
    told = Streams(30).calm().play(40, lambda name, at: {"book": 3.0})
    assert began(told) == [(Scope.CLASS, "book", Signal.RESPONSE_TIME)]


def test_all_classes_slower_everywhere_is_one_event_of_all() -> None:
    told = Streams(30).calm().play(40, lambda name, at: dict.fromkeys(USUAL, 3.0))
    assert began(told) == [(Scope.FLEET, "all", Signal.RESPONSE_TIME)]


def test_the_nodes_own_stall_is_no_servers_fault() -> None:
    streams = Streams(30).calm()
    told = streams.play(3, lambda name, at: dict.fromkeys(USUAL, 20.0), stall_ms=800.0)
    assert began(told) == [(Scope.NODE, "node", Signal.RESPONSE_TIME)]
    told = streams.play(20)
    assert [t.event_type for t in told] == [EventType.ANOMALY_ENDED] and told[0].scope is Scope.NODE


def test_nothing_that_the_node_did_raises_one() -> None:
    """A server that is left alone has no rows; the others have more, and are a little slower, all alike."""
    streams = Streams(15).calm()
    told = streams.play(
        60,
        lambda name, at: dict.fromkeys(USUAL, 1.15),
        alter=lambda row: None if row.server in ("s1", "s2", "s3") else row,
    )
    assert began(told) == []


def test_a_wave_and_a_burst_raise_none_or_one_of_all() -> None:
    streams = Streams(15)
    told = streams.play(1_800, lambda name, at: dict.fromkeys(USUAL, 1 + 0.3 * math.sin(at / 300)))
    assert began(told) == []
    streams.rate = 20.0
    told = streams.play(60, lambda name, at: dict.fromkeys(USUAL, 2.2))
    assert {scope for scope, _, _ in began(told)} <= {Scope.FLEET, Scope.CLASS}


def test_a_decline_of_one_percent_a_minute_is_named_before_a_quarter() -> None:
    streams = Streams(15, rate=10.0).calm(900)
    told = streams.play(
        23 * 60, lambda name, at: dict.fromkeys(USUAL, 1.01 ** (at / 60)) if name == "s4" else {}
    )
    assert began(told) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]


def test_a_periodic_trouble_is_an_event_each_time() -> None:
    streams = Streams().calm()
    for _ in range(2):
        told = streams.play(60, slow("s4", 3.0)) + streams.play(240)
        assert began(told) == [(Scope.SERVER, "s4", Signal.RESPONSE_TIME)]
        assert [t.event_type for t in told if t.event_type is not EventType.ANOMALY_CHANGED] == [
            EventType.ANOMALY_BEGAN,
            EventType.ANOMALY_ENDED,
        ]


def test_a_server_with_three_answers_a_minute_is_named_in_time_and_not_without_a_cause() -> None:
    rng, all_, told, now = random.Random(4), AnomalyDetector(), [], 0.0
    for step in range(1_400):
        now += 20_000.0
        all_.begin_round(now)
        for n in range(12):
            x = math.log(40.0 * (6.0 if n == 3 and step >= 1_200 else 1.0)) + rng.gauss(0, 0.6)
            all_.observe(ServerObservation(f"s{n}", response_times={"read": (1, x, x * x)}, successes=1))
        out = all_.end_round()
        assert step >= 1_200 or not out
        told += out
    assert (Scope.SERVER, "s3", Signal.RESPONSE_TIME) in began(told) and {t.subject for t in told} == {"s3"}


def test_noisy_and_missing_reports_raise_none_and_a_crowded_server_does() -> None:
    streams, rng = Streams().calm(), random.Random(9)

    def noisy(crowded: str) -> Callable[[ServerObservation], ServerObservation]:
        def alter(row: ServerObservation) -> ServerObservation:
            if int(row.server[1:]) % 4:  # some never report
                row.reported_load = rng.choice((0.5, 1.0, 1.0, 1.5)) * rng.randint(1, 3)
                row.reported_load += 12.0 if row.server == crowded else 0.0
            return row

        return alter

    assert began(streams.play(400, alter=noisy(""))) == []
    assert began(streams.play(30, alter=noisy("s5"))) == [(Scope.SERVER, "s5", Signal.LOAD)]


def test_a_report_that_stands_still_while_the_own_count_moves() -> None:
    def stands(row: ServerObservation, spread: int) -> ServerObservation:
        if row.server == "s3":
            row.identical_reports, row.identical_reports_ms, row.own_count_spread = 50, 11_000.0, spread
        return row

    streams = Streams().calm()
    assert began(streams.play(3, alter=lambda row: stands(row, 1))) == []  # quiet, it may be true
    assert began(streams.play(3, alter=lambda row: stands(row, 4))) == [
        (Scope.SERVER, "s3", Signal.STALE_REPORT)
    ]
    assert [t.event_type for t in streams.play(20)] == [EventType.ANOMALY_ENDED]


def test_one_that_comes_and_goes_flaps_and_a_deploy_does_not() -> None:
    streams = Streams().calm()

    def starts(row: ServerObservation) -> ServerObservation:
        deployed = streams.now <= WARM + 2 and int(row.server[1:]) % 3 == 0  # they drain and start, once
        row.lifecycle_changes = 2 * deployed + (row.server == "s1")
        return row

    assert began(streams.play(12, alter=starts)) == [(Scope.SERVER, "s1", Signal.FLAPPING)]


def test_cold_servers_may_be_slow() -> None:
    def cold(row: ServerObservation) -> ServerObservation:
        row.is_warming_up = row.server == "s4"
        return row

    assert began(Streams().calm().play(30, slow("s4", 4.0), alter=cold)) == []


def test_a_thousand_events_in_one_second_are_told_in_bounded_lines_none_of_a_kind_lost() -> None:
    all_, told = AnomalyDetector(), []
    for second in range(1, 9):
        all_.begin_round(second * 1_000.0)
        for n in range(4_000):
            all_.observe(
                ServerObservation(f"s{n}", zone=str(n), cell=n, successes=1, lifecycle_changes=int(n < 1_000))
            )
        if second >= 3:
            all_.observe(
                ServerObservation(
                    "odd",
                    successes=1,
                    identical_reports=99,
                    identical_reports_ms=20_000.0,
                    own_count_spread=9,
                )
            )
        out = all_.end_round()
        assert len(out) <= departure.MAX_EVENTS_PER_ROUND
        told += out
    assert {t.signal for t in told} == {Signal.FLAPPING, Signal.STALE_REPORT}
    # Those beyond what may be open, and those that were open but not told one by one.
    assert len(all_.open_anomalies) == departure.MAX_OPEN_ANOMALIES
    assert all_.suppressed_count == 1_001 - len([t for t in told if t.event_type is EventType.ANOMALY_BEGAN])


def test_a_clock_that_stands_still_is_no_round() -> None:
    all_ = AnomalyDetector()
    assert all_.begin_round(5.0) and not all_.begin_round(5.0) and not all_.begin_round(4.0)


def test_servers_that_are_gone_are_forgotten_and_their_events_end() -> None:
    streams = Streams().calm()
    streams.play(8, slow("s4", 3.0))
    streams.names.remove("s4")
    told = streams.play(130)
    assert [t.event_type for t in told if t.event_type is not EventType.ANOMALY_CHANGED] == [
        EventType.ANOMALY_ENDED
    ]
    assert "heard" in str(told[-1].evidence["ended_as"])
    streams.play(800)
    assert "s4" not in streams.all.servers


def test_an_event_as_json_has_the_names_that_operators_were_promised() -> None:
    told = Streams().calm().play(8, slow("s4", 3.0))[0].to_json()
    assert list(told) == ["event", "id", "at", "since", "scope", "subject", "signal", "evidence"]
    assert told["event"] == "departure_began" and told["scope"] == "server" and told["subject"] == "s4"


def test_a_day_with_a_wave_bursts_deploys_and_noisy_reports_raises_none_or_true_ones() -> None:
    """A day in small: each stretch stands for an hour. A third of the fleet restarts, once each."""
    streams, rng = Streams(15, rate=6.0, seed=5), random.Random(7)
    starts: dict[str, int] = {}

    def alter(row: ServerObservation) -> ServerObservation:
        at = streams.now
        if at % 400 == 200 and int(row.server[1:]) % 3 == (at // 400) % 3:
            starts[row.server], row.lifecycle_changes = at, 2
        row.is_warming_up = at - starts.get(row.server, -99) < 20
        if int(row.server[1:]) % 5:  # a fifth never reports; half of the rest are off by half, a third late
            row.reported_load = 2.0 * rng.choice((0.5, 1.0, 1.0, 1.5)) * (0.5 if rng.random() < 0.3 else 1.0)
        return row

    def factors(name: str, at: int) -> dict[str, float]:
        wave = 1.0 + 0.4 * math.sin(streams.now / 380)
        cold = 2.5 if streams.now - starts.get(name, -99) < 15 else 1.0
        costly = 3.0 if streams.rng.random() < 0.05 else 1.0  # now and then a costly request in one class
        return {"read": wave * cold, "book": wave * cold * costly}

    told = []
    for stretch in range(6):
        streams.rate = 12.0 if stretch == 3 else 6.0  # a burst to twice the load
        told += streams.play(400, factors, alter=alter)
    assert {scope for scope, _, _ in began(told)} <= {Scope.FLEET, Scope.CLASS}


def test_one_that_errs_among_thousands_is_told_apart() -> None:
    all_, told = AnomalyDetector(), []
    for second in range(1, 30):
        all_.begin_round(second * 1_000.0)
        for n in range(0, 10_000, 5):
            all_.observe(
                ServerObservation(
                    f"s{n}", zone="ab"[n % 2], response_times={"read": (1, 4.0, 16.0)}, successes=1
                )
            )
        all_.observe(ServerObservation("s77", zone="a", successes=2, errors=8))
        told += all_.end_round()
    assert began(told) == [(Scope.SERVER, "s77", Signal.ERRORS)]
