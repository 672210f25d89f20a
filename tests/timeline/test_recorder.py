"""Tests of the recorder: the lines of servers, classes, zones and the node agree, and memory is bounded."""

from __future__ import annotations

import random
from typing import Any

import pytest

from balancer import interface as api
from balancer.interface import (
    AttemptStatus,
    BackendDecision,
    DecisionReason,
    Phase,
)
from balancer.timeline import latency_histogram, queries, request_traces, schema
from balancer.timeline.monitor import TimelineMonitor
from balancer.timeline.recorder import MAX_PAST_LINES, OTHER_SERVERS, Recorder
from balancer.timeline.request_traces import MAX_TRACE_LENGTH
from balancer.timeline.time_series import Bucket
from tests.helpers import BASE, SAFE, entry
from tests.policy.test_replay import FLEETS, Run

NOW = 1_000_000.0


def new_recorder(memory_mb: float = 4.0) -> Recorder:
    recorder = Recorder(["read", "pay"], memory_mb)
    recorder.begin(NOW)
    return recorder


def finish_second(target: Recorder | TimelineMonitor, now_ms: float) -> None:
    """Closes the buckets of a second."""
    target.begin(now_ms)
    while target.step():
        pass


def record_request(
    recorder: Recorder,
    request_id: str,
    server: str,
    now_ms: float = NOW,
    status: AttemptStatus = AttemptStatus.OK,
    duration_ms: float = 20.0,
    load_report: api.LoadReport | None = None,
    is_closed: bool = True,
) -> None:
    send = api.SendAttempt(
        request_id, server, 0.0, DecisionReason.LOWEST_ESTIMATE_BELOW_CAP, DecisionReason.FIRST_ATTEMPT, 3
    )
    recorder.on_decision(now_ms, api.RequestArrived(request_id, "read", now_ms + 1_000), [send])
    recorder.on_decision(
        now_ms + duration_ms,
        api.AttemptFinished(request_id, 0, server, status, duration_ms, is_closed, load_report),
        [],
    )


def total_counts(line: Any) -> dict[str, int]:
    total = Bucket(0)
    for bucket in line.series.read(0, 0, 10**10):
        total.add(bucket.counts, bucket.gauges)
    return {schema.NAMES[key]: count for key, count in total.counts.items() if key in schema.NAMES}


def test_lines_of_server_class_zone_and_node_have_equal_counts() -> None:
    recorder = new_recorder()
    recorder.on_decision(
        NOW, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry("a"), entry("b", zone="b")]), []
    )
    for number in range(30):
        record_request(recorder, f"r{number}", "ab"[number % 2], NOW + number)
    for second in range(1, 9):
        finish_second(recorder, NOW + 1_000 * second)
    assert total_counts(recorder.servers["a"])["ok"] == 15 and total_counts(recorder.zones["a"])["ok"] == 15
    assert total_counts(recorder.classes["read"]) == {"arrived": 30, "ok": 30}
    node = total_counts(recorder.node)
    assert node["ok"] == node["attempts"] == node["lowest_below_m"] == node["arrived"] == 30


@pytest.mark.parametrize("name", FLEETS)
def test_recorder_during_random_run_counts_each_action_once(name: str) -> None:
    """Compares the balancer's actions over a random run with the sums of the lines."""
    run, recorder = Run(FLEETS[name], 4), Recorder([c.name for c in FLEETS[name].classes], 16.0)
    feed_event = run.feed

    def watched(event: api.Event, at: float | None = None) -> None:
        before = len(run.actions)
        feed_event(event, at)
        now_ms = run.now if at is None else at
        recorder.on_decision(now_ms, event, run.actions[before:])
        recorder.begin(now_ms)
        recorder.step()

    run.feed = watched  # type: ignore[method-assign]
    run.play(700)
    for number in range(20):
        finish_second(recorder, run.now + 1_000 * (number + 1))
    node = total_counts(recorder.node)
    sends = [a for a in run.actions if isinstance(a, api.SendAttempt)]
    by_server = sum(total_counts(line).get("attempts", 0) for line in recorder.servers.values())
    assert node["attempts"] == len(sends) == by_server
    assert node["refused"] == sum(isinstance(a, api.RejectRequest) for a in run.actions)
    assert node["arrived"] == sum(total_counts(c)["arrived"] for c in recorder.classes.values())
    cold_count = sum(a.reason is DecisionReason.SLOW_START_ADMITTED for a in sends)
    assert node.get("cold_admitted", 0) == cold_count
    ejected = sum(
        isinstance(a, api.NoteBackendDecision) and a.decision is BackendDecision.EJECTED for a in run.actions
    )
    assert node.get("ejected", 0) == ejected


def test_bucket_of_server_with_little_traffic_closes_after_the_wait() -> None:
    recorder = new_recorder()
    record_request(recorder, "x", "a")
    finish_second(recorder, NOW + 1_000)
    assert not recorder.servers["a"].series.last_second
    finish_second(recorder, NOW + 6_000)
    assert total_counts(recorder.servers["a"])["ok"] == 1


def test_step_while_the_clock_stands_still_closes_nothing() -> None:
    recorder = new_recorder()
    for number in range(9):
        record_request(recorder, f"x{number}", "a")
    recorder.begin(NOW)
    assert recorder.step() == [] and recorder.servers["a"].counts


def test_retention_above_memory_bound_shrinks_and_recovers_after_resize() -> None:
    recorder = Recorder(["read"], 2.0)
    rng = random.Random(1)
    now_ms = NOW
    for second in range(300):
        now_ms += 1_000
        for number in range(60):
            for repeat in range(5):
                record_request(
                    recorder,
                    f"{second}.{number}.{repeat}",
                    f"s{number}",
                    now_ms - 900,
                    duration_ms=rng.lognormvariate(4, 1),
                )
        finish_second(recorder, now_ms)
    held_bytes = sum(line.series.size_bytes for line in recorder.lines())
    assert recorder.size_bytes == held_bytes < 1.2 * recorder.max_bytes and recorder.retention_level > 0
    assert len(recorder.traces.ordinary) <= recorder.traces.limits[False]
    recorder.resize(64.0)
    for second in range(700):
        finish_second(recorder, now_ms + 1_000 * (second + 1))
    assert recorder.retention_level == 0
    recorder.resize(2.0)
    assert recorder.max_bytes < held_bytes * 2


def test_lines_of_replaced_ids_are_evicted_without_leaking_memory() -> None:
    recorder = Recorder(["read"], 2.0)
    recorder.max_lines = 50
    now_ms = NOW
    for day in range(400):
        now_ms += 2_000
        for number in range(5):
            record_request(recorder, f"{day}.{number}", f"id-{day}", now_ms)
        finish_second(recorder, now_ms + 1_000)
    assert len(recorder.servers) <= 50 and recorder.evicted_count >= 340 and f"id-{399}" in recorder.servers
    assert recorder.size_bytes == sum(line.series.size_bytes for line in recorder.lines())


def test_servers_beyond_the_line_limit_share_one_line() -> None:
    recorder = new_recorder()
    recorder.max_lines = 20
    for number in range(200):
        recorder.on_decision(
            NOW,
            api.RequestArrived(f"r{number}", "read", NOW + 1_000),
            [api.SendAttempt(f"r{number}", f"s{number}", 0.0)],
        )
    assert len(recorder.servers) == 20 and recorder.other_servers.name == OTHER_SERVERS
    finish_second(recorder, NOW + 6_000)
    finish_second(recorder, NOW + 7_000)
    assert (
        total_counts(recorder.other_servers)["attempts"] == 180
        and total_counts(recorder.node)["attempts"] == 200
    )


def test_restart_adds_a_note_and_new_address_starts_a_new_line() -> None:
    recorder = new_recorder()
    recorder.on_decision(
        NOW, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry("a", started_at_ms=5.0)]), []
    )
    record_request(recorder, "x", "a")
    recorder.on_decision(
        NOW + 10,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("a", started_at_ms=NOW)]),
        [],
    )
    drains = entry("a", started_at_ms=NOW, phase=Phase.DRAINING)
    recorder.on_decision(NOW + 20, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [drains]), [])
    assert [what for _, what, _, _ in recorder.servers["a"].notes or ()] == ["started", "draining"]
    recorder.end_server_line("a", NOW + 30, "until it moved")
    record_request(recorder, "y", "a", NOW + 40)
    assert [line.name for line in recorder.past_lines] == ["a (until it moved)"] and recorder.servers[
        "a"
    ].notes is None
    for number in range(MAX_PAST_LINES + 5):
        recorder.end_server_line("a", NOW, f"{number}")
        record_request(recorder, f"z{number}", "a", NOW + 50)
    assert len(recorder.past_lines) == MAX_PAST_LINES


def test_why_lists_decisions_about_one_request_in_order() -> None:
    monitor = TimelineMonitor(BASE, 4.0)
    recorder = monitor.recorder
    send = api.SendAttempt("q", "a", 400.0, DecisionReason.DRAWN_AT_CAP, DecisionReason.FIRST_ATTEMPT, 5, 2)
    recorder.on_decision(NOW, api.RequestArrived("q", "read", NOW + 1_000), [send])
    again = api.SendAttempt("q", "b", 391.0, DecisionReason.PANIC, DecisionReason.RETRY_AFTER_REJECTED, 1)
    ended = api.AttemptFinished("q", 0, "a", AttemptStatus.REJECTED, 9.0, False)
    recorder.on_decision(
        NOW + 9, ended, [api.NoteBackendDecision("a", BackendDecision.PAUSED, 0, 50.0), again]
    )
    ended = api.AttemptFinished("q", 1, "b", AttemptStatus.ERROR, 21.0, False)
    recorder.on_decision(
        NOW + 30, ended, [api.RejectRequest("q", 80.0, DecisionReason.RETRY_BUDGET_EXHAUSTED)]
    )
    answer = queries.why(monitor, {"request": "q"})
    assert [(s["action"], s["why"], s["backend"]) for s in answer["decisions"]] == [
        ("arrived", "", ""),
        ("send", "drawn_at_cap", "a"),
        ("outcome", "full", "a"),
        ("send", "panic", "b"),
        ("outcome", "error", "b"),
        ("refuse", "budget_spent", ""),
    ]
    assert answer["decisions"][1]["among"] == 5 and answer["decisions"][1]["left_out_as_crowded"] == 2
    assert answer["decisions"][3]["cause"] == "repeat_after_full" and answer["over"]
    assert "nothing is kept" in queries.why(monitor, {"request": "nobody"})["error"]


def test_ordinary_traces_are_evicted_before_notable_ones() -> None:
    recorder = new_recorder()
    recorder.traces.resize(10, 10)
    recorder.on_decision(
        NOW,
        api.RequestArrived("odd", "read", NOW + 1_000),
        [api.RejectRequest("odd", 0.0, DecisionReason.SHED_BY_SUCCESS_RATE)],
    )
    for number in range(100):
        record_request(recorder, f"x{number}", "a")
    assert recorder.traces.find("odd") is not None and recorder.traces.find("x99") is not None
    assert (
        recorder.traces.find("x1") is None
        and len(recorder.traces.ordinary) == 10
        and not recorder.traces.open_traces
    )
    recorder.on_decision(NOW, api.RequestArrived("long", "read", NOW + 1_000), [])
    for number in range(100):
        recorder.on_decision(
            NOW + number,
            api.AttemptFinished("long", number, "a", AttemptStatus.REJECTED, 1.0, False),
            [api.SendAttempt("long", "a", 0.0)],
        )
    found = recorder.traces.find("long")
    assert found and len(found[0]) == MAX_TRACE_LENGTH and request_traces.trace_to_json(*found)["left_out"]


def test_late_answers_and_departed_clients_are_counted_by_class() -> None:
    recorder = new_recorder()
    record_request(recorder, "late", "a", duration_ms=1_500.0)
    for name, at in (("gone", NOW + 100), ("up", NOW + 990)):
        recorder.on_decision(NOW, api.RequestArrived(name, "read", NOW + 1_000), [])
        recorder.on_decision(at, api.ClientLeft(name), [])
    finish_second(recorder, NOW + 3_000)
    counts = total_counts(recorder.classes["read"])
    assert counts["late"] == 2 and counts["client_gone"] == 1


def test_queries_bound_their_points_and_report_invalid_parameters() -> None:
    monitor = TimelineMonitor(BASE, 16.0)
    for second in range(1, 1_500):
        now_ms = NOW + second * 1_000
        for number in range(6):
            record_request(monitor.recorder, f"{second}.{number}", "evil\x1b[31m<b>", now_ms - 500)
        finish_second(monitor, now_ms)
    answer = queries.timeline(monitor, {"server": "evil\x1b[31m<b>", "from": 0})
    assert 0 < len(list(answer["points"])) <= queries.MAX_POINTS and answer["resolution_s"] == 10
    fine = queries.timeline(monitor, {"server": "evil\x1b[31m<b>", "from": now_ms - 60_000, "class": "read"})
    last = list(fine["points"])[-1]["answer_ms"]["p50"]
    assert fine["resolution_s"] == 1 and last == pytest.approx(20.0, rel=0.03)
    assert "nothing is known" in queries.timeline(monitor, {"server": "x"})["error"]
    assert "there is no class" in queries.timeline(monitor, {"class": "x"})["error"]
    invalid_values: list[object] = ["x", [1], float("inf"), float("nan")]
    for value in invalid_values:
        assert "are times" in queries.timeline(monitor, {"from": value})["error"]
    assert "number of an event" in queries.events(monitor, {"after": "x"})["error"]
    lines = list(queries.timeline(monitor, {})["lines"])
    assert [row["scope"] for row in lines] == ["node", "class", "server"]  # no zone is known
    assert SAFE.name in {row["name"] for row in lines}


def test_bins_inlined_in_the_recorder_equal_those_of_the_histogram() -> None:
    for ms in (0.0, 0.01, 0.0101, 1.0, 19.99, 20.0, 1e5, 1e9):
        recorder = new_recorder()
        record_request(recorder, "x", "a", duration_ms=ms)
        (key,) = [key for key in recorder.servers["a"].counts if key >= schema.FIRST_LATENCY_KEY]
        assert (key - schema.FIRST_LATENCY_KEY) % schema.KEYS_PER_CLASS == latency_histogram.bin_index(ms)
