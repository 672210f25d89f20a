"""Why an action was taken, and what is told of servers without a request: each by what brings it about."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer import interface as api
from balancer.interface import Status, What, Why
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

IDLE = api.Report(0.0, 0.0)


def arrive(
    b: Balancer,
    name: str = "r",
    cls: str = "read",
    now: float = 1000.0,
    left: float = 1000.0,
) -> list[api.Action]:
    return b.handle(now, api.Arrival(name, cls, now + left, key=name))


def end(
    b: Balancer,
    status: Status,
    name: str = "r",
    now: float = 1010.0,
    took: float = 10.0,
) -> list[api.Action]:
    backend = b.requests[name].attempts[0].backend.entry.backend
    return b.handle(now, api.Outcome(name, 0, backend, status, took, status is Status.OK))


def noted(actions: list[api.Action], what: What) -> list[api.Noted]:
    return [a for a in actions if isinstance(a, api.Noted) and a.what is what]


def test_the_lowest_of_those_below_m() -> None:
    b = node(BASE, "abcd")
    (send,) = sends(arrive(b))
    assert (send.why, send.cause, send.among, send.crowded) == (Why.LOWEST_BELOW_M, Why.FIRST_TRY, 4, 0)
    (send,) = sends(arrive(b, "s"))
    assert send.among == 3 and send.crowded == 1  # the one with a request out is left out


def test_drawn_where_all_have_reached_m() -> None:
    b = node(BASE, "ab")
    for one in b.backends.values():
        one.estimate = 50
        b.index.count(one)
    assert sends(arrive(b))[0].why is Why.DRAWN_AT_CAP


def test_a_cold_one_is_told_as_cold() -> None:
    b = Balancer(replace(BASE, fall_multiple=1000.0), 1)
    got = b.handle(1000.0, api.ListUpdate(api.ListKind.SAVED, [entry("a", started_at=999.0)]))
    assert [n.backend for n in noted(got, What.COLD)] == ["a"]
    assert sends(arrive(b))[0].why is Why.COLD_ADMITTED
    end(b, Status.OK)
    got = arrive(b, "s", now=20_000.0)
    assert [n.backend for n in noted(got, What.WARM)] == ["a"] and sends(got)[0].why is Why.LOWEST_BELOW_M


def test_panic_when_all_are_ejected() -> None:
    b = node(BASE, "a")
    b._eject(b.backends["a"], 0)
    b._place(b.backends["a"])
    assert sends(arrive(b))[0].why is Why.PANIC


def test_another_zone_is_told_as_spill() -> None:
    cfg = replace(BASE, charges=api.Charges(cross_zone=0.05))
    b = Balancer(cfg, 1)
    told = [entry(f"a{n}") for n in range(3)] + [entry(f"z{n}", zone="b") for n in range(3)]
    b.handle(1000.0, api.ListUpdate(api.ListKind.SAVED, told))
    b.spill = 1.0
    got = [send for n in range(30) for send in sends(arrive(b, f"r{n}"))]
    assert {send.backend[0] for send in got} == {"a", "z"}  # a draw of six takes in the own zone
    assert all((send.why is Why.SPILL) == (send.backend[0] == "z") for send in got)


@pytest.mark.parametrize("status", [Status.ERROR, Status.FULL, Status.RESET, Status.CONNECT_FAILED])
def test_a_repeat_names_how_the_last_attempt_ended(status: Status) -> None:
    b = node(BASE, "abc")
    arrive(b)
    (send,) = sends(end(b, status))
    assert send.cause.value == f"repeat_after_{status.value}"


def test_held_and_released() -> None:
    b = node(BASE, "abc")
    b.limit = 1.0
    arrive(b)
    assert not sends(arrive(b, "s"))
    (send,) = sends(end(b, Status.OK))
    assert send.request == "s" and send.cause is Why.HELD_AND_RELEASED
    end(b, Status.OK, "s", now=1020.0)
    assert sends(arrive(b, "t", now=1030.0))[0].cause is Why.FIRST_TRY  # it does not stick


def why(actions: list[api.Action]) -> Why:
    (answer,) = answers(actions)
    return answer.why


def test_refusals_name_their_cause() -> None:
    b = node(BASE, "abc")
    assert why(arrive(b, left=1.0)) is Why.AIM_OUT_OF_REACH
    assert why(arrive(Balancer(BASE, 1))) is Why.NOBODY_ELIGIBLE
    b.trust, b.rng.random = 0.0, lambda: 0.99  # type: ignore[method-assign]
    assert why(arrive(b, "s")) is Why.SHED_BY_SUCCESS


def test_a_held_one_whose_time_is_up_found_no_room() -> None:
    b = node(BASE, "abc")
    b.limit = 1.0
    arrive(b)
    (timer,) = [a for a in arrive(b, "s") if isinstance(a, api.SetTimer)]
    assert why(b.handle(timer.when, api.Timer(timer.token))) is Why.NO_ROOM_IN_TIME


def test_what_ends_repeats_is_named() -> None:
    b = node(BASE, "abc")
    b.bank = 0.0
    arrive(b)
    b.bank = 0.0
    assert why(end(b, Status.ERROR)) is Why.BUDGET_SPENT
    b = node(replace(BASE, max_attempts=1), "abc")
    arrive(b)
    assert why(end(b, Status.ERROR)) is Why.ATTEMPTS_SPENT
    b = node(BASE, "abc")
    arrive(b)
    assert why(end(b, Status.ERROR, now=1390.0, took=390.0)) is Why.AIM_OUT_OF_REACH
    b = node(BASE, "abc")
    arrive(b, cls=UNSAFE.name)
    assert why(end(b, Status.RESET)) is Why.NOT_REPEATABLE
    b = node(BASE, "a")
    arrive(b, cls=KEYED.name)
    b.handle(1005.0, api.ListUpdate(api.ListKind.CHANGES, [entry("a", phase=api.Phase.GONE)]))
    assert why(end(b, Status.RESET)) is Why.NOT_REPEATABLE  # its group has nobody left


def test_where_the_node_looks_first() -> None:
    b = node(LOOKING, "abc")
    arrive(b)
    for name in list(b.requests["r"].pending):
        got = b.handle(1002.0, api.Probed(name, Status.OK, 2.0, IDLE))
        if sends(got):
            break
    assert sends(got)[0].why is Why.LOWEST_BELOW_M
    b = node(LOOKING, "abc")
    (timer,) = [a for a in arrive(b) if isinstance(a, api.SetTimer)]
    got = b.handle(timer.when, api.Timer(timer.token))
    assert {n.backend for n in noted(got, What.PAUSED)} == set("abc")


def test_an_ejection_its_length_and_its_end() -> None:
    b = node(BASE, "abc")
    arrive(b)
    got = end(b, Status.CONNECT_FAILED)
    (note,) = noted(got, What.EJECTED)
    assert note.count == 1 and note.span_ms > 0
    got = arrive(b, "s", now=1010.0 + note.span_ms + 1.0)
    assert [n.backend for n in noted(got, What.TAKEN_BACK)] == [note.backend]


def test_a_pause_and_an_idle_sign() -> None:
    b = node(BASE, "abc")
    (send,) = sends(arrive(b))
    assert noted(end(b, Status.FULL), What.PAUSED)[0].backend == send.backend
    b = node(BASE, "a")
    for name in ("r", "s"):
        arrive(b, name)
    got = b.handle(1010.0, api.Outcome("r", 0, "a", Status.OK, 10.0, True, IDLE))
    assert noted(got, What.IDLE_SIGN) == [api.Noted("a", What.IDLE_SIGN, 1)]  # it counted one too many
    got = b.handle(1011.0, api.Outcome("s", 0, "a", Status.OK, 11.0, True, IDLE))
    assert len(noted(got, What.IDLE_SIGN)) == 1
    arrive(b, "t", now=1012.0)
    b.backends["a"].estimate = 1
    got = b.handle(1013.0, api.Outcome("t", 0, "a", Status.OK, 1.0, True, api.Report(3.0)))
    assert not noted(got, What.IDLE_SIGN)


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
            if isinstance(note, api.Noted) and note.what is What.JOINED_SUBSET and not note.backend:
                subset.update(run.node.order[: note.count])
            elif isinstance(note, api.Noted) and note.what is What.JOINED_SUBSET:
                subset.add(note.backend)
                joined += 1
            elif isinstance(note, api.Noted) and note.what is What.LEFT_SUBSET:
                subset.discard(note.backend)
        if isinstance(event, api.ListUpdate):
            assert subset == set(run.node.order[: run.node.width])

    run.feed = followed  # type: ignore[method-assign]
    run.play(600)
    assert joined


def test_every_send_and_answer_has_its_reason() -> None:
    for name, cfg in FLEETS.items():
        run = Run(cfg, 5)
        run.play(600)
        for action in run.told:
            if isinstance(action, (api.Send, api.Refuse, api.Fail)):
                assert action.why is not Why.UNSTATED, (name, action)
            if isinstance(action, api.Send):
                assert action.cause is not Why.UNSTATED and action.among >= 1, (name, action)
