"""OpenMetrics out of the time line: a parser of the library's reads what happened; labels are bounded."""

from __future__ import annotations

from prometheus_client import Metric
from prometheus_client.openmetrics.parser import text_string_to_metric_families

from balancer import interface as api
from balancer.core.recovery import (
    EndpointViewChanged,
    PersistedIncarnation,
    ProcessStarted,
    Recovery,
    RequestFinished,
)
from balancer.core.service_meter import RequestOutcome
from balancer.interface import AttemptStatus, DecisionReason
from balancer.observability.metrics import SERVERS, Metrics
from balancer.timeline.monitor import TimelineMonitor
from tests.helpers import BASE

NOW = 1_000_000.0


def play(
    watch: TimelineMonitor, servers: list[str], each: int = 4, start: float = NOW, took: float = 20.0
) -> None:
    for server in servers:
        for n in range(each):
            name = f"{server}.{start:.0f}.{n}"
            send = api.SendAttempt(
                name, server, 0.0, DecisionReason.LOWEST_ESTIMATE_BELOW_CAP, DecisionReason.FIRST_ATTEMPT, 3
            )
            watch.on_decision(start, api.RequestArrived(name, "read", start + 1_000), [send])
            watch.on_decision(
                start + took, api.AttemptFinished(name, 0, server, AttemptStatus.OK, took, True), []
            )
    for n in range(1, 9):
        watch.begin(start + 1_000 * n)
        while watch.step():
            pass


def read(metrics: Metrics) -> dict[str, Metric]:
    text = b"".join(metrics.pieces()).decode()
    families = text_string_to_metric_families(text)  # type: ignore[no-untyped-call]
    return {family.name: family for family in families}


def test_how_far_the_node_is_back_is_among_them() -> None:
    meter = Recovery(NOW)
    meter.handle(
        NOW, ProcessStarted(PersistedIncarnation(4, NOW - 5_000), NOW, startup_phases_ms={"imports": 20.0})
    )
    meter.handle(NOW + 100, EndpointViewChanged(2, 0))
    meter.handle(NOW + 500, RequestFinished("read", RequestOutcome.SERVED))
    got = read(Metrics(TimelineMonitor(BASE, 8.0), meter))
    states = {s.labels["dillport_recovery_state"]: s.value for s in got["dillport_recovery_state"].samples}
    assert states == {"blank": 0, "provisional": 1, "confirmed": 0, "full": 0}
    assert value(got["dillport_recovery_incarnation"], "") == 5
    assert value(got["dillport_recovery_phase_seconds"], "", phase="imports") == 0.02
    assert value(got["dillport_recovery_phase_seconds"], "", phase="first answer: read") == 0.5
    assert "dillport_recovery_state" not in read(Metrics(TimelineMonitor(BASE, 8.0)))


def test_who_is_there_is_among_them() -> None:
    figures = {
        "states": {"alive": 2.0, "failed": 1.0},
        "events": {"failed": 3.0},
        "datagrams": {"sent": 7.0},
        "refused": {"code": 5.0},
        "cuts": {"discovery": 1.0},
        "disagreements": {},
    }
    got = read(Metrics(TimelineMonitor(BASE, 8.0), peers=lambda: figures))
    assert value(got["dillport_peers"], "", state="failed") == 1
    assert value(got["dillport_peer_events"], "_total", event="failed") == 3
    assert value(got["dillport_peer_cuts"], "", of="discovery") == 1 and "dillport_peer_taken" not in got
    assert value(got["dillport_peer_datagrams"], "_total", way="sent") == 7
    assert value(got["dillport_peer_refused"], "_total", why="code") == 5
    assert "dillport_peers" not in read(Metrics(TimelineMonitor(BASE, 8.0)))


def value(family: Metric, suffix: str, **labels: str) -> float:
    found = (s for s in family.samples if s.name.endswith(suffix))
    return sum(s.value for s in found if labels.items() <= s.labels.items())


def test_what_is_scraped_is_what_happened() -> None:
    watch = TimelineMonitor(BASE, 8.0)
    play(watch, ["a", "b"])
    refused = api.RejectRequest("no", 0.0, DecisionReason.SHED_BY_SUCCESS_RATE)
    watch.on_decision(NOW + 9_000, api.RequestArrived("no", "read", NOW + 10_000), [refused])
    play(watch, ["a"], start=NOW + 10_000)
    got = read(Metrics(watch))
    requests = got["dillport_requests"]
    assert value(requests, "_total", result="arrived") == 13
    assert value(requests, "_total", result="served") == 12
    assert value(requests, "_total", result="refused", **{"class": "read"}) == 1
    times = got["dillport_answer_seconds"]
    assert value(times, "_bucket", le="0.025", **{"class": "read"}) == 12 == value(times, "_count")
    assert value(times, "_bucket", le="0.01", **{"class": "read"}) == 0
    assert 0.23 < value(times, "_sum") < 0.25
    attempts = got["dillport_server_attempts"]
    assert value(attempts, "_total", server="a", outcome="ok") == 8
    assert value(got["dillport_decisions"], "_total", why="lowest_below_m") == 12
    assert value(got["dillport_decisions"], "_total", why="shed_by_success") == 1


def test_labels_are_bounded_the_rest_is_summed_and_counters_never_fall() -> None:
    watch = TimelineMonitor(BASE, 8.0)
    metrics = Metrics(watch)
    last: dict[str, float] = {}
    for turn in range(4):
        play(watch, [f"s{n}" for n in range(40 * (turn + 1))], each=10, start=NOW + turn * 20_000)
        family = read(metrics)["dillport_server_attempts"]
        now = {s.labels["server"]: s.value for s in family.samples}
        assert len(now) <= SERVERS + 1
        assert sum(now.values()) == 10 * sum(40 * (t + 1) for t in range(turn + 1))
        assert all(now[name] >= count for name, count in last.items())
        last = now


def test_a_late_request_is_an_exemplar_and_odd_names_do_no_harm() -> None:
    watch = TimelineMonitor(BASE, 8.0)
    play(watch, ['evil"\n\\{x="\x1b[31m'], took=1_500.0)
    got = read(Metrics(watch))
    (server,) = {s.labels["server"] for s in got["dillport_server_attempts"].samples}
    assert server == 'evil"\n\\{x="\x1b[31m'
    found = [s.exemplar for s in got["dillport_answer_seconds"].samples if s.exemplar]
    assert len(found) == 1 and found[0].value == 1.5 and "\n" not in found[0].labels["request_id"]
