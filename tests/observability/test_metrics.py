"""Tests of the OpenMetrics exposition, read back by the library's parser: values, and bounded labels."""

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
from balancer.observability.metrics import MAX_SERVER_LABELS, Metrics
from balancer.timeline.monitor import TimelineMonitor
from tests.helpers import BASE

NOW = 1_000_000.0


def record_requests(
    monitor: TimelineMonitor,
    servers: list[str],
    requests_per_server: int = 4,
    start_ms: float = NOW,
    duration_ms: float = 20.0,
) -> None:
    for server in servers:
        for number in range(requests_per_server):
            request_id = f"{server}.{start_ms:.0f}.{number}"
            send = api.SendAttempt(
                request_id,
                server,
                0.0,
                DecisionReason.LOWEST_ESTIMATE_BELOW_CAP,
                DecisionReason.FIRST_ATTEMPT,
                3,
            )
            monitor.on_decision(start_ms, api.RequestArrived(request_id, "read", start_ms + 1_000), [send])
            monitor.on_decision(
                start_ms + duration_ms,
                api.AttemptFinished(request_id, 0, server, AttemptStatus.OK, duration_ms, True),
                [],
            )
    for number in range(1, 9):
        monitor.begin(start_ms + 1_000 * number)
        while monitor.step():
            pass


def scrape(metrics: Metrics) -> dict[str, Metric]:
    text = b"".join(metrics.pieces()).decode()
    families = text_string_to_metric_families(text)  # type: ignore[no-untyped-call]
    return {family.name: family for family in families}


def test_recovery_metrics_show_state_incarnation_and_phases() -> None:
    recovery = Recovery(NOW)
    recovery.handle(
        NOW, ProcessStarted(PersistedIncarnation(4, NOW - 5_000), NOW, startup_phases_ms={"imports": 20.0})
    )
    recovery.handle(NOW + 100, EndpointViewChanged(2, 0))
    recovery.handle(NOW + 500, RequestFinished("read", RequestOutcome.SERVED))
    families = scrape(Metrics(TimelineMonitor(BASE, 8.0), recovery))
    states = {
        s.labels["dillport_recovery_state"]: s.value for s in families["dillport_recovery_state"].samples
    }
    assert states == {"blank": 0, "provisional": 1, "confirmed": 0, "full": 0}
    assert sample_sum(families["dillport_recovery_incarnation"], "") == 5
    assert sample_sum(families["dillport_recovery_phase_seconds"], "", phase="imports") == 0.02
    assert sample_sum(families["dillport_recovery_phase_seconds"], "", phase="first answer: read") == 0.5
    assert "dillport_recovery_state" not in scrape(Metrics(TimelineMonitor(BASE, 8.0)))


def test_peer_metrics_show_the_given_figures() -> None:
    figures = {
        "states": {"alive": 2.0, "failed": 1.0},
        "events": {"failed": 3.0},
        "datagrams": {"sent": 7.0},
        "refused": {"code": 5.0},
        "cuts": {"discovery": 1.0},
        "disagreements": {},
    }
    families = scrape(Metrics(TimelineMonitor(BASE, 8.0), peers=lambda: figures))
    assert sample_sum(families["dillport_peers"], "", state="failed") == 1
    assert sample_sum(families["dillport_peer_events"], "_total", event="failed") == 3
    assert (
        sample_sum(families["dillport_peer_cuts"], "", of="discovery") == 1
        and "dillport_peer_taken" not in families
    )
    assert sample_sum(families["dillport_peer_datagrams"], "_total", way="sent") == 7
    assert sample_sum(families["dillport_peer_refused"], "_total", why="code") == 5
    assert "dillport_peers" not in scrape(Metrics(TimelineMonitor(BASE, 8.0)))


def sample_sum(family: Metric, suffix: str, **labels: str) -> float:
    found = (s for s in family.samples if s.name.endswith(suffix))
    return sum(s.value for s in found if labels.items() <= s.labels.items())


def test_scrape_after_requests_shows_their_counts_and_times() -> None:
    monitor = TimelineMonitor(BASE, 8.0)
    record_requests(monitor, ["a", "b"])
    refused = api.RejectRequest("no", 0.0, DecisionReason.SHED_BY_SUCCESS_RATE)
    monitor.on_decision(NOW + 9_000, api.RequestArrived("no", "read", NOW + 10_000), [refused])
    record_requests(monitor, ["a"], start_ms=NOW + 10_000)
    families = scrape(Metrics(monitor))
    requests = families["dillport_requests"]
    assert sample_sum(requests, "_total", result="arrived") == 13
    assert sample_sum(requests, "_total", result="served") == 12
    assert sample_sum(requests, "_total", result="refused", **{"class": "read"}) == 1
    times = families["dillport_answer_seconds"]
    assert sample_sum(times, "_bucket", le="0.025", **{"class": "read"}) == 12 == sample_sum(times, "_count")
    assert sample_sum(times, "_bucket", le="0.01", **{"class": "read"}) == 0
    assert 0.23 < sample_sum(times, "_sum") < 0.25
    attempts = families["dillport_server_attempts"]
    assert sample_sum(attempts, "_total", server="a", outcome="ok") == 8
    assert sample_sum(families["dillport_decisions"], "_total", why="lowest_below_m") == 12
    assert sample_sum(families["dillport_decisions"], "_total", why="shed_by_success") == 1


def test_server_labels_are_bounded_and_counters_never_fall() -> None:
    monitor = TimelineMonitor(BASE, 8.0)
    metrics = Metrics(monitor)
    previous_values: dict[str, float] = {}
    for round_index in range(4):
        record_requests(
            monitor,
            [f"s{number}" for number in range(40 * (round_index + 1))],
            requests_per_server=10,
            start_ms=NOW + round_index * 20_000,
        )
        family = scrape(metrics)["dillport_server_attempts"]
        values = {s.labels["server"]: s.value for s in family.samples}
        assert len(values) <= MAX_SERVER_LABELS + 1
        assert sum(values.values()) == 10 * sum(40 * (index + 1) for index in range(round_index + 1))
        assert all(values[name] >= count for name, count in previous_values.items())
        previous_values = values


def test_late_request_becomes_exemplar_and_special_characters_are_escaped() -> None:
    monitor = TimelineMonitor(BASE, 8.0)
    record_requests(monitor, ['evil"\n\\{x="\x1b[31m'], duration_ms=1_500.0)
    families = scrape(Metrics(monitor))
    (server,) = {s.labels["server"] for s in families["dillport_server_attempts"].samples}
    assert server == 'evil"\n\\{x="\x1b[31m'
    exemplars = [s.exemplar for s in families["dillport_answer_seconds"].samples if s.exemplar]
    assert len(exemplars) == 1 and exemplars[0].value == 1.5 and "\n" not in exemplars[0].labels["request_id"]
