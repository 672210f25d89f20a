"""What discovery is asked for next: a table, and a thousand nodes at once."""

from __future__ import annotations

import random

import pytest

from dillport.decide import platform_follow as p
from dillport.decide.platform_follow import PlatformFollow


def follow(must_ask: bool = False, state: str = "idle") -> PlatformFollow:
    """One in a state: unwanted, idle (wanted, nothing out yet), following or waiting."""
    out = PlatformFollow(random.Random(1), must_ask)
    out.wanted = state != "unwanted"
    out.following, out.waiting = state == "following", state == "waiting"
    return out


WHOLE, WATCH, WAIT = "AskWhole", "WatchFrom", "Wait"
# state, event, revision held -> what is done, and the state after it (not: the module does not ask by itself)
TABLE = [
    ("unwanted", p.Wanted(True), None, [WHOLE], "following"),
    ("unwanted", p.Wanted(True), 7, [WATCH], "following"),
    ("unwanted", p.Wanted(False), 7, ["Drop"], "unwanted"),
    ("unwanted", p.Relocated(), 7, ["Drop"], "unwanted"),
    ("unwanted", p.Answered(), 7, [], "unwanted"),
    ("unwanted", p.Ended(True), 7, [], "unwanted"),
    ("unwanted", p.Ended(False), 7, [], "unwanted"),
    ("unwanted", p.Due(), 7, [], "unwanted"),
    ("following", p.Wanted(True), 7, [], "following"),
    ("following", p.Wanted(False), 7, ["Drop"], "unwanted"),
    ("following", p.Relocated(), 7, ["Drop", WHOLE], "following"),
    ("following", p.Answered(), 7, [], "following"),
    ("following", p.Ended(True), 7, [WATCH], "following"),
    ("following", p.Ended(True), None, [WAIT], "waiting"),
    ("following", p.Ended(False), 7, [WAIT], "waiting"),
    ("following", p.Ended(True, extra=True), 7, [], "following"),
    ("following", p.Ended(False, extra=True), 7, [], "following"),
    ("following", p.Due(), 7, [], "following"),
    ("waiting", p.Wanted(True), 7, [], "waiting"),
    ("waiting", p.Wanted(False), 7, ["Drop"], "unwanted"),
    ("waiting", p.Relocated(), 7, ["Drop", WHOLE], "following"),
    ("waiting", p.Answered(), 7, [], "waiting"),
    ("waiting", p.Ended(True, extra=True), 7, [], "waiting"),
    ("waiting", p.Due(), None, [WHOLE], "following"),
    ("waiting", p.Due(), 7, [WATCH], "following"),
]


@pytest.mark.parametrize(("state", "event", "revision", "does", "after"), TABLE)
def test_every_event_in_every_state(
    state: str, event: p.Event, revision: int | None, does: list[str], after: str
) -> None:
    one = follow(state=state)
    got = one.handle(1000.0, event, revision)
    assert [type(action).__name__ for action in got] == does
    now = "unwanted" if not one.wanted else "following" if one.following else "waiting"
    assert now == after


@pytest.mark.parametrize(
    ("event", "does"),
    [
        (p.Ended(False), [p.TellFailed()]),
        (p.Ended(True), [p.TellFailed()]),  # it brought nothing that a watch could go on from
        (p.Ended(False, extra=True), [p.TellFailed()]),
        (p.Ended(True, extra=True), []),
    ],
)
def test_where_nodes_ask_by_themselves_the_module_says_when(event: p.Event, does: list[p.Action]) -> None:
    assert follow(must_ask=True, state="following").handle(1000.0, event, None) == does


def test_waits_grow_to_a_bound_and_begin_again_after_an_answer() -> None:
    one = follow(state="following")
    waits = []
    for _ in range(8):
        (wait,) = one.handle(0.0, p.Ended(False), 7)
        assert isinstance(wait, p.Wait)
        waits.append(wait.until_ms)
        one.handle(0.0, p.Due(), 7)
    assert waits[0] <= 1.5 * p.FIRST_MS and 0.5 * p.MOST_MS <= waits[-1] <= 1.5 * p.MOST_MS
    one.handle(0.0, p.Answered(), 7)
    (wait,) = one.handle(0.0, p.Ended(False), 7)
    assert isinstance(wait, p.Wait) and wait.until_ms <= 1.5 * p.FIRST_MS


def test_a_thousand_nodes_do_not_come_back_together() -> None:
    """After a minute without discovery their next tries are spread over the longest wait."""
    tries = []
    for seed in range(1000):
        one = PlatformFollow(random.Random(seed), False)
        now = 0.0
        one.handle(now, p.Wanted(True), 7)
        while now < 60_000.0:
            (wait,) = one.handle(now, p.Ended(False), 7)
            assert isinstance(wait, p.Wait)
            now = wait.until_ms
            one.handle(now, p.Due(), 7)
        tries.append(now)
    most = max(sum(t <= other < t + 1000.0 for other in tries) for t in tries)
    assert max(tries) - min(tries) > 1500.0 and most < 700
