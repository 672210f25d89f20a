"""Reasons of actions and reported backend decisions, each by what causes it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer import interface as api
from balancer.interface import AttemptStatus, BackendDecision, DecisionReason
from balancer.policy import capacity, outlier_ejection
from balancer.policy.balancer import Balancer
from tests.helpers import (
    BASE,
    KEYED,
    LOOKING,
    UNSAFE,
    answers,
    entry,
    node,
    sends,
)
from tests.policy.test_replay import FLEETS, Run

IDLE = api.LoadReport(0.0, 0.0)


def arrive(
    balancer: Balancer,
    name: str = "r",
    class_name: str = "read",
    now: float = 1000.0,
    remaining_ms: float = 1000.0,
) -> list[api.Action]:
    return balancer.handle(
        now, api.RequestArrived(name, class_name, now + remaining_ms, idempotency_key=name)
    )


def finish_attempt(
    balancer: Balancer,
    status: AttemptStatus,
    name: str = "r",
    now: float = 1010.0,
    duration_ms: float = 10.0,
) -> list[api.Action]:
    backend = balancer.requests[name].attempts[0].backend.endpoint.id
    return balancer.handle(
        now, api.AttemptFinished(name, 0, backend, status, duration_ms, status is AttemptStatus.OK)
    )


def reported(actions: list[api.Action], decision: BackendDecision) -> list[api.NoteBackendDecision]:
    return [a for a in actions if isinstance(a, api.NoteBackendDecision) and a.decision is decision]


def test_send_reason_below_cap_is_lowest_estimate() -> None:
    balancer = node(BASE, "abcd")
    (send,) = sends(arrive(balancer))
    assert (send.reason, send.cause, send.eligible_count, send.overloaded_count) == (
        DecisionReason.LOWEST_ESTIMATE_BELOW_CAP,
        DecisionReason.FIRST_ATTEMPT,
        4,
        0,
    )
    (send,) = sends(arrive(balancer, "s"))
    assert (
        send.eligible_count == 3 and send.overloaded_count == 1
    )  # the backend with an attempt in flight is excluded


def test_send_reason_with_all_at_cap_is_drawn() -> None:
    balancer = node(BASE, "ab")
    for one in balancer.backends.values():
        one.queue_estimate = 50
        balancer.index.update_counts(one)
    assert sends(arrive(balancer))[0].reason is DecisionReason.DRAWN_AT_CAP


def test_send_reason_of_warming_up_backend_is_slow_start() -> None:
    balancer = Balancer(replace(BASE, overload_multiple=1000.0), 1)
    actions = balancer.handle(
        1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry("a", started_at_ms=999.0)])
    )
    assert [n.backend for n in reported(actions, BackendDecision.SLOW_START_BEGAN)] == ["a"]
    assert sends(arrive(balancer))[0].reason is DecisionReason.SLOW_START_ADMITTED
    finish_attempt(balancer, AttemptStatus.OK)
    actions = arrive(balancer, "s", now=20_000.0)
    assert [n.backend for n in reported(actions, BackendDecision.SLOW_START_ENDED)] == ["a"] and sends(
        actions
    )[0].reason is DecisionReason.LOWEST_ESTIMATE_BELOW_CAP


def test_send_reason_with_all_ejected_is_panic() -> None:
    balancer = node(BASE, "a")
    outlier_ejection.eject(balancer.state, balancer.backends["a"], 0)
    capacity.update_backend(balancer.state, balancer.backends["a"])
    assert sends(arrive(balancer))[0].reason is DecisionReason.PANIC


def test_send_reason_of_remote_backend_is_other_zone() -> None:
    config = replace(BASE, prices=api.Prices(cross_zone=0.05))
    balancer = Balancer(config, 1)
    endpoints = [entry(f"a{n}") for n in range(3)] + [entry(f"z{n}", zone="b") for n in range(3)]
    balancer.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, endpoints))
    balancer.state.spillover = 1.0
    actions = [send for n in range(30) for send in sends(arrive(balancer, f"r{n}"))]
    assert {send.backend[0] for send in actions} == {"a", "z"}  # a draw of six includes the local zone
    assert all((send.reason is DecisionReason.OTHER_ZONE) == (send.backend[0] == "z") for send in actions)


@pytest.mark.parametrize(
    "status", [AttemptStatus.ERROR, AttemptStatus.REJECTED, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED]
)
def test_retry_cause_is_previous_outcome(status: AttemptStatus) -> None:
    balancer = node(BASE, "abc")
    arrive(balancer)
    (send,) = sends(finish_attempt(balancer, status))
    assert send.cause.value == f"repeat_after_{status.value}"


def test_dequeued_request_has_dequeued_cause() -> None:
    balancer = node(BASE, "abc")
    balancer.state.concurrency_limit = 1.0
    arrive(balancer)
    assert not sends(arrive(balancer, "s"))
    (send,) = sends(finish_attempt(balancer, AttemptStatus.OK))
    assert send.request == "s" and send.cause is DecisionReason.DEQUEUED
    finish_attempt(balancer, AttemptStatus.OK, "s", now=1020.0)
    assert (
        sends(arrive(balancer, "t", now=1030.0))[0].cause is DecisionReason.FIRST_ATTEMPT
    )  # the cause is not kept


def answer_reason(actions: list[api.Action]) -> DecisionReason:
    (answer,) = answers(actions)
    return answer.reason


def test_rejection_of_arrival_has_its_reason() -> None:
    balancer = node(BASE, "abc")
    assert answer_reason(arrive(balancer, remaining_ms=1.0)) is DecisionReason.OBJECTIVE_UNREACHABLE
    assert answer_reason(arrive(Balancer(BASE, 1))) is DecisionReason.NO_ELIGIBLE_BACKEND
    balancer.state.success_rate, balancer.state.rng.random = 0.0, lambda: 0.99  # type: ignore[method-assign]
    assert answer_reason(arrive(balancer, "s")) is DecisionReason.SHED_BY_SUCCESS_RATE


def test_queued_request_after_timeout_is_rejected_with_queue_timeout() -> None:
    balancer = node(BASE, "abc")
    balancer.state.concurrency_limit = 1.0
    arrive(balancer)
    (timer,) = [a for a in arrive(balancer, "s") if isinstance(a, api.SetTimer)]
    assert (
        answer_reason(balancer.handle(timer.at_ms, api.TimerFired(timer.token)))
        is DecisionReason.QUEUE_TIMEOUT
    )


def test_failure_without_retry_has_its_reason() -> None:
    balancer = node(BASE, "abc")
    balancer.state.retry_tokens = 0.0
    arrive(balancer)
    balancer.state.retry_tokens = 0.0
    assert (
        answer_reason(finish_attempt(balancer, AttemptStatus.ERROR)) is DecisionReason.RETRY_BUDGET_EXHAUSTED
    )
    balancer = node(replace(BASE, max_attempts=1), "abc")
    arrive(balancer)
    assert answer_reason(finish_attempt(balancer, AttemptStatus.ERROR)) is DecisionReason.ATTEMPTS_EXHAUSTED
    balancer = node(BASE, "abc")
    arrive(balancer)
    assert (
        answer_reason(finish_attempt(balancer, AttemptStatus.ERROR, now=1390.0, duration_ms=390.0))
        is DecisionReason.OBJECTIVE_UNREACHABLE
    )
    balancer = node(BASE, "abc")
    arrive(balancer, class_name=UNSAFE.name)
    assert answer_reason(finish_attempt(balancer, AttemptStatus.RESET)) is DecisionReason.NOT_RETRYABLE
    balancer = node(BASE, "a")
    arrive(balancer, class_name=KEYED.name)
    balancer.handle(
        1005.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("a", phase=api.Phase.REMOVED)]),
    )
    assert (
        answer_reason(finish_attempt(balancer, AttemptStatus.RESET)) is DecisionReason.NOT_RETRYABLE
    )  # its group has no backend left


def test_probing_node_reports_send_reason_and_pauses() -> None:
    balancer = node(LOOKING, "abc")
    arrive(balancer)
    for name in list(balancer.requests["r"].pending_probes):
        actions = balancer.handle(1002.0, api.ProbeFinished(name, AttemptStatus.OK, 2.0, IDLE))
        if sends(actions):
            break
    assert sends(actions)[0].reason is DecisionReason.LOWEST_ESTIMATE_BELOW_CAP
    balancer = node(LOOKING, "abc")
    (timer,) = [a for a in arrive(balancer) if isinstance(a, api.SetTimer)]
    actions = balancer.handle(timer.at_ms, api.TimerFired(timer.token))
    assert {n.backend for n in reported(actions, BackendDecision.PAUSED)} == set("abc")


def test_ejection_is_reported_with_duration_and_end() -> None:
    balancer = node(BASE, "abc")
    arrive(balancer)
    actions = finish_attempt(balancer, AttemptStatus.CONNECT_FAILED)
    (note,) = reported(actions, BackendDecision.EJECTED)
    assert note.count == 1 and note.duration_ms > 0
    actions = arrive(balancer, "s", now=1010.0 + note.duration_ms + 1.0)
    assert [n.backend for n in reported(actions, BackendDecision.READMITTED)] == [note.backend]


def test_pause_and_idle_report_are_reported() -> None:
    balancer = node(BASE, "abc")
    (send,) = sends(arrive(balancer))
    assert (
        reported(finish_attempt(balancer, AttemptStatus.REJECTED), BackendDecision.PAUSED)[0].backend
        == send.backend
    )
    balancer = node(BASE, "a")
    for name in ("r", "s"):
        arrive(balancer, name)
    actions = balancer.handle(1010.0, api.AttemptFinished("r", 0, "a", AttemptStatus.OK, 10.0, True, IDLE))
    assert reported(actions, BackendDecision.REPORTED_IDLE) == [
        api.NoteBackendDecision("a", BackendDecision.REPORTED_IDLE, 1)
    ]  # its estimate was one too high
    actions = balancer.handle(1011.0, api.AttemptFinished("s", 0, "a", AttemptStatus.OK, 11.0, True, IDLE))
    assert len(reported(actions, BackendDecision.REPORTED_IDLE)) == 1
    arrive(balancer, "t", now=1012.0)
    balancer.backends["a"].queue_estimate = 1
    actions = balancer.handle(
        1013.0, api.AttemptFinished("t", 0, "a", AttemptStatus.OK, 1.0, True, api.LoadReport(3.0))
    )
    assert not reported(actions, BackendDecision.REPORTED_IDLE)


@pytest.mark.parametrize("name", FLEETS)
def test_subset_can_be_derived_from_reported_decisions(name: str) -> None:
    """The reported decisions must identify the subset after any list."""
    run = Run(FLEETS[name], 3)
    subset: set[str] = set()
    feed, joined_count = run.feed, 0

    def feed_and_follow(event: api.Event, at: float | None = None) -> None:
        nonlocal joined_count
        before = len(run.actions)
        feed(event, at)
        for note in run.actions[before:]:
            if (
                isinstance(note, api.NoteBackendDecision)
                and note.decision is BackendDecision.JOINED_SUBSET
                and not note.backend
            ):
                subset.update(run.node.order[: note.count])
            elif isinstance(note, api.NoteBackendDecision) and note.decision is BackendDecision.JOINED_SUBSET:
                subset.add(note.backend)
                joined_count += 1
            elif isinstance(note, api.NoteBackendDecision) and note.decision is BackendDecision.LEFT_SUBSET:
                subset.discard(note.backend)
        if isinstance(event, api.EndpointsUpdated):
            assert subset == set(run.node.order[: run.node.subset_size])

    run.feed = feed_and_follow  # type: ignore[method-assign]
    run.play(600)
    assert joined_count


def test_every_send_and_answer_has_a_reason() -> None:
    for name, config in FLEETS.items():
        run = Run(config, 5)
        run.play(600)
        for action in run.actions:
            if isinstance(action, (api.SendAttempt, api.RejectRequest, api.FailRequest)):
                assert action.reason is not DecisionReason.UNSPECIFIED, (name, action)
            if isinstance(action, api.SendAttempt):
                assert action.cause is not DecisionReason.UNSPECIFIED and action.eligible_count >= 1, (
                    name,
                    action,
                )
