"""Tests of the hysteresis: a condition begins and ends after its delays, and does not flap."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balancer.core.hysteresis import Hysteresis

BEGIN_DELAY_MS, END_DELAY_MS = 500.0, 2_000.0


def test_hysteresis_condition_begins_and_ends_after_its_delays() -> None:
    conditions = Hysteresis[str](BEGIN_DELAY_MS, END_DELAY_MS)
    assert conditions.update(0.0, ["a"]) == ([], [])
    assert conditions.update(BEGIN_DELAY_MS - 1, ["a"]) == ([], [])
    assert conditions.update(BEGIN_DELAY_MS, ["a"]) == (["a"], [])
    assert conditions.active_since_ms == {"a": 0.0}
    assert conditions.update(1_000.0, []) == ([], [])
    assert conditions.update(1_000.0 + END_DELAY_MS, []) == ([], ["a"])
    assert not conditions.active_since_ms


def test_hysteresis_condition_that_returns_before_the_end_delay_stays_active() -> None:
    conditions = Hysteresis[str](BEGIN_DELAY_MS, END_DELAY_MS)
    conditions.update(0.0, ["a"])
    conditions.update(BEGIN_DELAY_MS, ["a"])
    for number in range(1, 20):
        at_ms = BEGIN_DELAY_MS + number * (END_DELAY_MS - 1)
        assert conditions.update(at_ms, ["a"] if number % 2 else []) == ([], [])
    assert conditions.active_since_ms == {"a": 0.0}


@given(st.lists(st.tuples(st.floats(0, 3_000), st.sets(st.sampled_from("abc"))), max_size=40))
def test_hysteresis_any_history_begins_and_ends_alternately(history: list[tuple[float, set[str]]]) -> None:
    conditions, now_ms, active = Hysteresis[str](BEGIN_DELAY_MS, END_DELAY_MS), 0.0, set[str]()
    for passed_ms, present in history:
        now_ms += passed_ms
        changes = conditions.update(now_ms, present)
        assert set(changes.began) <= present - active and set(changes.ended) <= active - present
        active = (active | set(changes.began)) - set(changes.ended)
        assert set(conditions.active_since_ms) == active
