"""Which response on a reused connection can be the request's own, by time and by content."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from balancer.core.response_attribution import (
    COPY_HORIZON_MS,
    LATENESS_MARGIN,
    LOOP_DELAY_TOLERANCE_MS,
    MAX_LATENESS_MS,
    MAX_REUSE_DELAY_MS,
    MIN_CHECKED_MS,
    MIN_DISTINCT_RESPONSES,
    MIN_RESPONSE_TIMES,
    REUSE_DELAY_MS,
    UNMEASURED_DELAY_RATIO,
    ResponseHistory,
    is_implausible,
)

MAX_JITTER = 0.31  # of the network delay, in the sites' settings
MAX_ONE_WAY_MS = 10.0
CONNECTION, OTHER_CONNECTION = 1, 2


def measured(*response_times_ms: float) -> ResponseHistory:
    """A history of responses on new connections, the last one repeated until there are enough."""
    history = ResponseHistory()
    times_ms = [*response_times_ms, *[response_times_ms[-1]] * MIN_RESPONSE_TIMES]
    for response_ms in times_ms[: max(MIN_RESPONSE_TIMES, len(response_times_ms))]:
        history.note_response(CONNECTION, math.inf, response_ms, None)
    return history


@given(
    st.floats(0.0, REUSE_DELAY_MS - MIN_CHECKED_MS),
    st.floats(0.05, MAX_ONE_WAY_MS),
    st.floats(0.0, MAX_JITTER),
    st.data(),
)
def test_copy_sent_within_reuse_delay_is_never_plausible(
    lateness_ms: float, one_way_ms: float, jitter: float, data: st.DataObject
) -> None:
    """Whatever the delays within the network's variation: the copy is read before the reuse, or too early."""
    delay = st.floats(one_way_ms * (1 - jitter), one_way_ms * (1 + jitter))
    work = st.floats(0.0, 50.0)
    history = ResponseHistory()
    for _ in range(data.draw(st.sampled_from([0, MIN_RESPONSE_TIMES]))):
        history.note_response(
            CONNECTION, math.inf, data.draw(delay) + data.draw(work) + data.draw(delay), None
        )
    first_at_ms = data.draw(delay)
    copy_at_ms = max(first_at_ms, lateness_ms + data.draw(delay))
    gap_ms = history.reuse_delay_ms() + data.draw(st.floats(0.0, 20.0))
    response_ms = copy_at_ms - first_at_ms - gap_ms
    is_read_before_request = response_ms <= 0
    assert is_read_before_request or response_ms < history.min_plausible_ms(gap_ms)


@given(st.floats(0.1, 100.0), st.floats(1.0, 10.0), st.floats(0.0, 1000.0))
def test_response_as_slow_as_any_before_is_plausible(
    shortest_ms: float, factor: float, gap_ms: float
) -> None:
    history = measured(shortest_ms * factor, shortest_ms)
    assert history.min_plausible_ms(gap_ms) <= shortest_ms


def test_min_plausible_applies_only_soon_after_a_response_and_to_measured_backends() -> None:
    history = measured(40.0, 20.0, 30.0)
    assert history.min_plausible_ms(REUSE_DELAY_MS) == 10.0
    assert history.min_plausible_ms(COPY_HORIZON_MS - 4.0) == 4.0  # a copy would be here by then
    assert history.min_plausible_ms(COPY_HORIZON_MS + 1) == history.min_plausible_ms(math.inf) == 0.0
    assert measured(1.5 * MIN_CHECKED_MS).min_plausible_ms(REUSE_DELAY_MS) == 0.0
    unmeasured = ResponseHistory()
    for _ in range(MIN_RESPONSE_TIMES - 1):
        unmeasured.note_response(CONNECTION, math.inf, 20.0, None)
    assert unmeasured.min_plausible_ms(REUSE_DELAY_MS) == 0.0
    assert unmeasured.reuse_delay_ms() == UNMEASURED_DELAY_RATIO * REUSE_DELAY_MS


def test_response_soon_after_another_does_not_lower_the_shortest_time() -> None:
    """It may itself be a copy."""
    history = measured(20.0)
    history.note_response(CONNECTION, REUSE_DELAY_MS, 0.1, None)
    assert history.min_response_ms == 20.0
    history.note_response(CONNECTION, COPY_HORIZON_MS, 5.0, None)
    assert history.min_response_ms == 5.0


def test_reuse_delay_grows_with_seen_lateness_up_to_a_bound() -> None:
    history = measured(20.0)
    assert history.reuse_delay_ms() == REUSE_DELAY_MS
    history.note_second_response(12.0)
    history.note_second_response(3.0)
    assert history.reuse_delay_ms() == LATENESS_MARGIN * 12.0
    assert history.min_plausible_ms(history.reuse_delay_ms()) == 0.0
    history.note_second_response(MAX_LATENESS_MS + 1)  # of a request that timed out, for example
    assert history.reuse_delay_ms() == LATENESS_MARGIN * 12.0
    history.note_second_response(MAX_LATENESS_MS - 1)
    assert history.reuse_delay_ms() == MAX_REUSE_DELAY_MS


def test_equal_response_is_a_copy_only_where_responses_differ() -> None:
    history = ResponseHistory()
    for digest in range(MIN_DISTINCT_RESPONSES):
        assert not history.is_copy(digest, digest, 20.0)
        history.note_response(CONNECTION if digest % 2 else OTHER_CONNECTION, 20.0, 5.0, digest)
    assert history.is_copy(7, 7, 20.0)
    assert not history.is_copy(7, 8, 20.0)
    assert not history.is_copy(None, 7, 20.0)
    assert not history.is_copy(7, 7, MAX_LATENESS_MS)
    history.note_response(OTHER_CONNECTION, 20.0, 5.0, MIN_DISTINCT_RESPONSES - 1)
    assert not history.is_copy(7, 7, 20.0)  # two connections had the same response


def test_equal_responses_on_one_connection_are_no_habit() -> None:
    """They may be copies that were not recognized."""
    history = ResponseHistory()
    for digest in range(2 * MIN_DISTINCT_RESPONSES):
        history.note_response(CONNECTION if digest % 2 else OTHER_CONNECTION, 20.0, 5.0, digest)
    history.note_response(CONNECTION, 20.0, 5.0, 2 * MIN_DISTINCT_RESPONSES - 1)
    assert history.is_copy(7, 7, 20.0)


def test_response_with_pending_timer_is_implausible_if_early_or_read_after_a_stall() -> None:
    assert is_implausible(4.9, 5.0)
    assert not is_implausible(5.0 + LOOP_DELAY_TOLERANCE_MS, 5.0)
    assert is_implausible(5.1 + LOOP_DELAY_TOLERANCE_MS, 5.0)


def test_response_read_after_a_stall_counts_from_its_earliest_arrival() -> None:
    assert not is_implausible(40.0, 5.0, arrival_age_ms=35.0)
    assert is_implausible(40.0, 5.0, arrival_age_ms=35.1)
    assert is_implausible(4.9, 5.0, arrival_age_ms=0.0)
