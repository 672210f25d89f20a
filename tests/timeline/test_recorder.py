"""What the recorder keeps of a node's events: nothing is lost between lines, bounds hold."""

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
from balancer.timeline import (
    latency_histogram as sketch,
)
from balancer.timeline import (
    queries as views,
)
from balancer.timeline import (
    request_traces as trails,
)
from balancer.timeline import (
    schema as keys,
)
from balancer.timeline.monitor import TimelineMonitor
from balancer.timeline.recorder import OTHERS, PAST, Recorder
from balancer.timeline.request_traces import MOST
from balancer.timeline.time_series import Bucket
from tests.helpers import BASE, SAFE, entry
from tests.policy.test_replay import FLEETS, Run

NOW = 1_000_000.0


def recorder(memory_mb: float = 4.0) -> Recorder:
    out = Recorder(["read", "pay"], memory_mb)
    out.begin(NOW)
    return out


def rest(one: Recorder | TimelineMonitor, now_ms: float) -> None:
    """A second is over."""
    one.begin(now_ms)
    while one.step():
        pass


def request(
    r: Recorder,
    name: str,
    server: str,
    now: float = NOW,
    status: AttemptStatus = AttemptStatus.OK,
    took: float = 20.0,
    report: api.LoadReport | None = None,
    closed: bool = True,
) -> None:
    send = api.SendAttempt(
        name, server, 0.0, DecisionReason.LOWEST_ESTIMATE_BELOW_CAP, DecisionReason.FIRST_ATTEMPT, 3
    )
    r.on_decision(now, api.RequestArrived(name, "read", now + 1_000), [send])
    r.on_decision(now + took, api.AttemptFinished(name, 0, server, status, took, closed, report), [])


def whole(line: Any) -> dict[str, int]:
    out = Bucket(0)
    for bucket in line.series.read(0, 0, 10**10):
        out.add(bucket.counts, bucket.gauges)
    return {keys.NAMES[key]: count for key, count in out.counts.items() if key in keys.NAMES}


def test_lines_of_server_class_zone_and_node_agree() -> None:
    r = recorder()
    r.on_decision(
        NOW, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry("a"), entry("b", zone="b")]), []
    )
    for n in range(30):
        request(r, f"r{n}", "ab"[n % 2], NOW + n)
    for second in range(1, 9):
        rest(r, NOW + 1_000 * second)
    assert whole(r.servers["a"])["ok"] == 15 and whole(r.zones["a"])["ok"] == 15
    assert whole(r.classes["read"]) == {"arrived": 30, "ok": 30}
    node = whole(r.node)
    assert node["ok"] == node["attempts"] == node["lowest_below_m"] == node["arrived"] == 30


@pytest.mark.parametrize("name", FLEETS)
def test_whatever_a_node_does_is_counted_once(name: str) -> None:
    """The module's own actions over a run of chance, against the sums of the lines."""
    run, r = Run(FLEETS[name], 4), Recorder([c.name for c in FLEETS[name].classes], 16.0)
    feed = run.feed

    def watched(event: api.Event, at: float | None = None) -> None:
        before = len(run.actions)
        feed(event, at)
        when = run.now if at is None else at
        r.on_decision(when, event, run.actions[before:])
        r.begin(when)
        r.step()

    run.feed = watched  # type: ignore[method-assign]
    run.play(700)
    for n in range(20):
        rest(r, run.now + 1_000 * (n + 1))
    node = whole(r.node)
    sends = [a for a in run.actions if isinstance(a, api.SendAttempt)]
    by_server = sum(whole(line).get("attempts", 0) for line in r.servers.values())
    assert node["attempts"] == len(sends) == by_server
    assert node["refused"] == sum(isinstance(a, api.RejectRequest) for a in run.actions)
    assert node["arrived"] == sum(whole(c)["arrived"] for c in r.classes.values())
    cold = sum(a.reason is DecisionReason.SLOW_START_ADMITTED for a in sends)
    assert node.get("cold_admitted", 0) == cold
    ejected = sum(
        isinstance(a, api.NoteBackendDecision) and a.decision is BackendDecision.EJECTED for a in run.actions
    )
    assert node.get("ejected", 0) == ejected


def test_a_server_with_little_traffic_waits_for_its_bucket() -> None:
    r = recorder()
    request(r, "x", "a")
    rest(r, NOW + 1_000)
    assert not r.servers["a"].series.last
    rest(r, NOW + 6_000)
    assert whole(r.servers["a"])["ok"] == 1


def test_a_clock_that_stands_still_closes_nothing() -> None:
    r = recorder()
    for n in range(9):
        request(r, f"x{n}", "a")
    r.begin(NOW)
    assert r.step() == [] and r.servers["a"].counts


def test_memory_is_held_by_keeping_less_and_comes_back() -> None:
    r = Recorder(["read"], 2.0)
    rng = random.Random(1)
    now = NOW
    for second in range(300):
        now += 1_000
        for n in range(60):
            for k in range(5):
                request(r, f"{second}.{n}.{k}", f"s{n}", now - 900, took=rng.lognormvariate(4, 1))
        rest(r, now)
    held = sum(line.series.size for line in r.lines())
    assert r.size == held < 1.2 * r.most_bytes and r.level > 0
    assert len(r.trails.usual) <= r.trails.most[False]
    r.resize(64.0)
    for second in range(700):
        rest(r, now + 1_000 * (second + 1))
    assert r.level == 0
    r.resize(2.0)
    assert r.most_bytes < held * 2


def test_ids_that_are_replaced_all_day_leave_nothing_behind() -> None:
    r = Recorder(["read"], 2.0)
    r.most_lines = 50
    now = NOW
    for day in range(400):
        now += 2_000
        for n in range(5):
            request(r, f"{day}.{n}", f"id-{day}", now)
        rest(r, now + 1_000)
    assert len(r.servers) <= 50 and r.dropped >= 340 and f"id-{399}" in r.servers
    assert r.size == sum(line.series.size for line in r.lines())


def test_where_all_lines_are_in_use_the_rest_is_counted_together() -> None:
    r = recorder()
    r.most_lines = 20
    for n in range(200):
        r.on_decision(
            NOW, api.RequestArrived(f"r{n}", "read", NOW + 1_000), [api.SendAttempt(f"r{n}", f"s{n}", 0.0)]
        )
    assert len(r.servers) == 20 and r.others.name == OTHERS
    rest(r, NOW + 6_000)
    rest(r, NOW + 7_000)
    assert whole(r.others)["attempts"] == 180 and whole(r.node)["attempts"] == 200


def test_a_new_start_is_a_mark_and_a_new_address_a_line_of_its_own() -> None:
    r = recorder()
    r.on_decision(
        NOW, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry("a", started_at_ms=5.0)]), []
    )
    request(r, "x", "a")
    r.on_decision(
        NOW + 10,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("a", started_at_ms=NOW)]),
        [],
    )
    drains = entry("a", started_at_ms=NOW, phase=Phase.DRAINING)
    r.on_decision(NOW + 20, api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [drains]), [])
    assert [what for _, what, _, _ in r.servers["a"].notes or ()] == ["started", "draining"]
    r.moved("a", NOW + 30, "until it moved")
    request(r, "y", "a", NOW + 40)
    assert [line.name for line in r.past] == ["a (until it moved)"] and r.servers["a"].notes is None
    for n in range(PAST + 5):
        r.moved("a", NOW, f"{n}")
        request(r, f"z{n}", "a", NOW + 50)
    assert len(r.past) == PAST


def test_what_was_decided_about_one_request_in_order() -> None:
    w = TimelineMonitor(BASE, 4.0)
    r = w.recorder
    send = api.SendAttempt("q", "a", 400.0, DecisionReason.DRAWN_AT_CAP, DecisionReason.FIRST_ATTEMPT, 5, 2)
    r.on_decision(NOW, api.RequestArrived("q", "read", NOW + 1_000), [send])
    again = api.SendAttempt("q", "b", 391.0, DecisionReason.PANIC, DecisionReason.RETRY_AFTER_REJECTED, 1)
    ended = api.AttemptFinished("q", 0, "a", AttemptStatus.REJECTED, 9.0, False)
    r.on_decision(NOW + 9, ended, [api.NoteBackendDecision("a", BackendDecision.PAUSED, 0, 50.0), again])
    ended = api.AttemptFinished("q", 1, "b", AttemptStatus.ERROR, 21.0, False)
    r.on_decision(NOW + 30, ended, [api.RejectRequest("q", 80.0, DecisionReason.RETRY_BUDGET_EXHAUSTED)])
    told = views.why(w, {"request": "q"})
    assert [(s["action"], s["why"], s["backend"]) for s in told["decisions"]] == [
        ("arrived", "", ""),
        ("send", "drawn_at_cap", "a"),
        ("outcome", "full", "a"),
        ("send", "panic", "b"),
        ("outcome", "error", "b"),
        ("refuse", "budget_spent", ""),
    ]
    assert told["decisions"][1]["among"] == 5 and told["decisions"][1]["left_out_as_crowded"] == 2
    assert told["decisions"][3]["cause"] == "repeat_after_full" and told["over"]
    assert "nothing is kept" in views.why(w, {"request": "nobody"})["error"]


def test_ordinary_requests_make_room_for_those_with_a_story() -> None:
    r = recorder()
    r.trails.resize(10, 10)
    r.on_decision(
        NOW,
        api.RequestArrived("odd", "read", NOW + 1_000),
        [api.RejectRequest("odd", 0.0, DecisionReason.SHED_BY_SUCCESS_RATE)],
    )
    for n in range(100):
        request(r, f"x{n}", "a")
    assert r.trails.find("odd") is not None and r.trails.find("x99") is not None
    assert r.trails.find("x1") is None and len(r.trails.usual) == 10 and not r.trails.live
    r.on_decision(NOW, api.RequestArrived("long", "read", NOW + 1_000), [])
    for n in range(100):
        r.on_decision(
            NOW + n,
            api.AttemptFinished("long", n, "a", AttemptStatus.REJECTED, 1.0, False),
            [api.SendAttempt("long", "a", 0.0)],
        )
    found = r.trails.find("long")
    assert found and len(found[0]) == MOST and trails.told(*found)["left_out"]


def test_late_answers_and_clients_that_leave_are_counted_by_class() -> None:
    r = recorder()
    request(r, "late", "a", took=1_500.0)
    for name, at in (("gone", NOW + 100), ("up", NOW + 990)):
        r.on_decision(NOW, api.RequestArrived(name, "read", NOW + 1_000), [])
        r.on_decision(at, api.ClientLeft(name), [])
    rest(r, NOW + 3_000)
    got = whole(r.classes["read"])
    assert got["late"] == 2 and got["client_gone"] == 1


def test_views_have_a_bound_and_refuse_plainly() -> None:
    w = TimelineMonitor(BASE, 16.0)
    for second in range(1, 1_500):
        now = NOW + second * 1_000
        for n in range(6):
            request(w.recorder, f"{second}.{n}", "evil\x1b[31m<b>", now - 500)
        rest(w, now)
    told = views.timeline(w, {"server": "evil\x1b[31m<b>", "from": 0})
    assert 0 < len(list(told["points"])) <= views.MOST_POINTS and told["resolution_s"] == 10
    fine = views.timeline(w, {"server": "evil\x1b[31m<b>", "from": now - 60_000, "class": "read"})
    last = list(fine["points"])[-1]["answer_ms"]["p50"]
    assert fine["resolution_s"] == 1 and last == pytest.approx(20.0, rel=0.03)
    assert "nothing is known" in views.timeline(w, {"server": "x"})["error"]
    assert "there is no class" in views.timeline(w, {"class": "x"})["error"]
    odd: list[object] = ["x", [1], float("inf"), float("nan")]
    for bad in odd:
        assert "are times" in views.timeline(w, {"from": bad})["error"]
    assert "number of an event" in views.events(w, {"after": "x"})["error"]
    lines = list(views.timeline(w, {})["lines"])
    assert [row["scope"] for row in lines] == ["node", "class", "server"]  # no list has told its zone
    assert SAFE.name in {row["name"] for row in lines}


def test_the_bins_written_out_in_the_observer_are_those_of_the_sketch() -> None:
    for ms in (0.0, 0.01, 0.0101, 1.0, 19.99, 20.0, 1e5, 1e9):
        r = recorder()
        request(r, "x", "a", took=ms)
        (key,) = [key for key in r.servers["a"].counts if key >= keys.TIMES]
        assert (key - keys.TIMES) % keys.WIDTH == sketch.bin_of(ms)
