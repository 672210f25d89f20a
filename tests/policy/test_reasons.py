"""Why an action was taken, and what is told of servers without a request: each by what brings it about."""

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
    b: Balancer,
    name: str = "r",
    cls: str = "read",
    now: float = 1000.0,
    left: float = 1000.0,
) -> list[api.Action]:
    return b.handle(now, api.RequestArrived(name, cls, now + left, idempotency_key=name))


def end(
    b: Balancer,
    status: AttemptStatus,
    name: str = "r",
    now: float = 1010.0,
    took: float = 10.0,
) -> list[api.Action]:
    backend = b.requests[name].attempts[0].backend.endpoint.id
    return b.handle(now, api.AttemptFinished(name, 0, backend, status, took, status is AttemptStatus.OK))


def noted(actions: list[api.Action], what: BackendDecision) -> list[api.NoteBackendDecision]:
    return [a for a in actions if isinstance(a, api.NoteBackendDecision) and a.decision is what]


def test_the_lowest_of_those_below_m() -> None:
    b = node(BASE, "abcd")
    (send,) = sends(arrive(b))
    assert (send.reason, send.cause, send.eligible_count, send.overloaded_count) == (
        DecisionReason.LOWEST_ESTIMATE_BELOW_CAP,
        DecisionReason.FIRST_ATTEMPT,
        4,
        0,
    )
    (send,) = sends(arrive(b, "s"))
    assert send.eligible_count == 3 and send.overloaded_count == 1  # the one with a request out is left out


def test_drawn_where_all_have_reached_m() -> None:
    b = node(BASE, "ab")
    for one in b.backends.values():
        one.queue_estimate = 50
        b.index.update_counts(one)
    assert sends(arrive(b))[0].reason is DecisionReason.DRAWN_AT_CAP


def test_a_cold_one_is_told_as_cold() -> None:
    b = Balancer(replace(BASE, overload_multiple=1000.0), 1)
    got = b.handle(
        1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, [entry("a", started_at_ms=999.0)])
    )
    assert [n.backend for n in noted(got, BackendDecision.SLOW_START_BEGAN)] == ["a"]
    assert sends(arrive(b))[0].reason is DecisionReason.SLOW_START_ADMITTED
    end(b, AttemptStatus.OK)
    got = arrive(b, "s", now=20_000.0)
    assert [n.backend for n in noted(got, BackendDecision.SLOW_START_ENDED)] == ["a"] and sends(got)[
        0
    ].reason is DecisionReason.LOWEST_ESTIMATE_BELOW_CAP


def test_panic_when_all_are_ejected() -> None:
    b = node(BASE, "a")
    outlier_ejection.eject(b.state, b.backends["a"], 0)
    capacity.update_backend(b.state, b.backends["a"])
    assert sends(arrive(b))[0].reason is DecisionReason.PANIC


def test_another_zone_is_told_as_spill() -> None:
    cfg = replace(BASE, prices=api.Prices(cross_zone=0.05))
    b = Balancer(cfg, 1)
    told = [entry(f"a{n}") for n in range(3)] + [entry(f"z{n}", zone="b") for n in range(3)]
    b.handle(1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.CACHED, told))
    b.state.spillover = 1.0
    got = [send for n in range(30) for send in sends(arrive(b, f"r{n}"))]
    assert {send.backend[0] for send in got} == {"a", "z"}  # a draw of six takes in the own zone
    assert all((send.reason is DecisionReason.OTHER_ZONE) == (send.backend[0] == "z") for send in got)


@pytest.mark.parametrize(
    "status", [AttemptStatus.ERROR, AttemptStatus.REJECTED, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED]
)
def test_a_repeat_names_how_the_last_attempt_ended(status: AttemptStatus) -> None:
    b = node(BASE, "abc")
    arrive(b)
    (send,) = sends(end(b, status))
    assert send.cause.value == f"repeat_after_{status.value}"


def test_held_and_released() -> None:
    b = node(BASE, "abc")
    b.state.concurrency_limit = 1.0
    arrive(b)
    assert not sends(arrive(b, "s"))
    (send,) = sends(end(b, AttemptStatus.OK))
    assert send.request == "s" and send.cause is DecisionReason.DEQUEUED
    end(b, AttemptStatus.OK, "s", now=1020.0)
    assert sends(arrive(b, "t", now=1030.0))[0].cause is DecisionReason.FIRST_ATTEMPT  # it does not stick


def why(actions: list[api.Action]) -> DecisionReason:
    (answer,) = answers(actions)
    return answer.reason


def test_refusals_name_their_cause() -> None:
    b = node(BASE, "abc")
    assert why(arrive(b, left=1.0)) is DecisionReason.OBJECTIVE_UNREACHABLE
    assert why(arrive(Balancer(BASE, 1))) is DecisionReason.NO_ELIGIBLE_BACKEND
    b.state.success_rate, b.state.rng.random = 0.0, lambda: 0.99  # type: ignore[method-assign]
    assert why(arrive(b, "s")) is DecisionReason.SHED_BY_SUCCESS_RATE


def test_a_held_one_whose_time_is_up_found_no_room() -> None:
    b = node(BASE, "abc")
    b.state.concurrency_limit = 1.0
    arrive(b)
    (timer,) = [a for a in arrive(b, "s") if isinstance(a, api.SetTimer)]
    assert why(b.handle(timer.at_ms, api.TimerFired(timer.token))) is DecisionReason.QUEUE_TIMEOUT


def test_what_ends_repeats_is_named() -> None:
    b = node(BASE, "abc")
    b.state.retry_tokens = 0.0
    arrive(b)
    b.state.retry_tokens = 0.0
    assert why(end(b, AttemptStatus.ERROR)) is DecisionReason.RETRY_BUDGET_EXHAUSTED
    b = node(replace(BASE, max_attempts=1), "abc")
    arrive(b)
    assert why(end(b, AttemptStatus.ERROR)) is DecisionReason.ATTEMPTS_EXHAUSTED
    b = node(BASE, "abc")
    arrive(b)
    assert why(end(b, AttemptStatus.ERROR, now=1390.0, took=390.0)) is DecisionReason.OBJECTIVE_UNREACHABLE
    b = node(BASE, "abc")
    arrive(b, cls=UNSAFE.name)
    assert why(end(b, AttemptStatus.RESET)) is DecisionReason.NOT_RETRYABLE
    b = node(BASE, "a")
    arrive(b, cls=KEYED.name)
    b.handle(
        1005.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry("a", phase=api.Phase.REMOVED)]),
    )
    assert why(end(b, AttemptStatus.RESET)) is DecisionReason.NOT_RETRYABLE  # its group has nobody left


def test_where_the_node_looks_first() -> None:
    b = node(LOOKING, "abc")
    arrive(b)
    for name in list(b.requests["r"].pending_probes):
        got = b.handle(1002.0, api.ProbeFinished(name, AttemptStatus.OK, 2.0, IDLE))
        if sends(got):
            break
    assert sends(got)[0].reason is DecisionReason.LOWEST_ESTIMATE_BELOW_CAP
    b = node(LOOKING, "abc")
    (timer,) = [a for a in arrive(b) if isinstance(a, api.SetTimer)]
    got = b.handle(timer.at_ms, api.TimerFired(timer.token))
    assert {n.backend for n in noted(got, BackendDecision.PAUSED)} == set("abc")


def test_an_ejection_its_length_and_its_end() -> None:
    b = node(BASE, "abc")
    arrive(b)
    got = end(b, AttemptStatus.CONNECT_FAILED)
    (note,) = noted(got, BackendDecision.EJECTED)
    assert note.count == 1 and note.duration_ms > 0
    got = arrive(b, "s", now=1010.0 + note.duration_ms + 1.0)
    assert [n.backend for n in noted(got, BackendDecision.READMITTED)] == [note.backend]


def test_a_pause_and_an_idle_sign() -> None:
    b = node(BASE, "abc")
    (send,) = sends(arrive(b))
    assert noted(end(b, AttemptStatus.REJECTED), BackendDecision.PAUSED)[0].backend == send.backend
    b = node(BASE, "a")
    for name in ("r", "s"):
        arrive(b, name)
    got = b.handle(1010.0, api.AttemptFinished("r", 0, "a", AttemptStatus.OK, 10.0, True, IDLE))
    assert noted(got, BackendDecision.REPORTED_IDLE) == [
        api.NoteBackendDecision("a", BackendDecision.REPORTED_IDLE, 1)
    ]  # it counted one too many
    got = b.handle(1011.0, api.AttemptFinished("s", 0, "a", AttemptStatus.OK, 11.0, True, IDLE))
    assert len(noted(got, BackendDecision.REPORTED_IDLE)) == 1
    arrive(b, "t", now=1012.0)
    b.backends["a"].queue_estimate = 1
    got = b.handle(1013.0, api.AttemptFinished("t", 0, "a", AttemptStatus.OK, 1.0, True, api.LoadReport(3.0)))
    assert not noted(got, BackendDecision.REPORTED_IDLE)


@pytest.mark.parametrize("name", FLEETS)
def test_the_subset_can_be_followed_from_what_is_told(name: str) -> None:
    """Whoever keeps the notes knows whom the node sends to, after any list."""
    run = Run(FLEETS[name], 3)
    subset: set[str] = set()
    feed, joined = run.feed, 0

    def followed(event: api.Event, at: float | None = None) -> None:
        nonlocal joined
        before = len(run.told)
        feed(event, at)
        for note in run.told[before:]:
            if (
                isinstance(note, api.NoteBackendDecision)
                and note.decision is BackendDecision.JOINED_SUBSET
                and not note.backend
            ):
                subset.update(run.node.order[: note.count])
            elif isinstance(note, api.NoteBackendDecision) and note.decision is BackendDecision.JOINED_SUBSET:
                subset.add(note.backend)
                joined += 1
            elif isinstance(note, api.NoteBackendDecision) and note.decision is BackendDecision.LEFT_SUBSET:
                subset.discard(note.backend)
        if isinstance(event, api.EndpointsUpdated):
            assert subset == set(run.node.order[: run.node.subset_size])

    run.feed = followed  # type: ignore[method-assign]
    run.play(600)
    assert joined


def test_every_send_and_answer_has_its_reason() -> None:
    for name, cfg in FLEETS.items():
        run = Run(cfg, 5)
        run.play(600)
        for action in run.told:
            if isinstance(action, (api.SendAttempt, api.RejectRequest, api.FailRequest)):
                assert action.reason is not DecisionReason.UNSPECIFIED, (name, action)
            if isinstance(action, api.SendAttempt):
                assert action.cause is not DecisionReason.UNSPECIFIED and action.eligible_count >= 1, (
                    name,
                    action,
                )
