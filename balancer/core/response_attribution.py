"""Decides whether a response on a reused backend connection can answer the request that was written last.

An HTTP/1.1 response carries no request ID. A backend that sends a response twice, the second copy some
milliseconds late, would have the copy taken for the response to the next request on that connection. Three
observations tell them apart:

- *Time since the previous response*: a connection is reused only after `reuse_delay_ms`, which grows with the
  lateness of the second responses that were seen on idle connections.
- *Time since the request*: no response can arrive sooner than the network and the backend allow. A copy that
  left the backend before the reuse delay was over can only be late by the variation of the network delay,
  which is less than half of the shortest response time. After the event loop was held up, the system tells
  when the input arrived, to a tick of its clock.
- *Content*: where a backend's responses differ from each other, one that equals its predecessor on the
  connection is a copy.

Times are in milliseconds. The module uses no clock and no sockets.
"""

from __future__ import annotations

import math

REUSE_DELAY_MS = 10.0  # from a response to the next request on its connection
MAX_REUSE_DELAY_MS = 100.0
LATENESS_MARGIN = 2.0  # the reuse delay is this multiple of the greatest lateness seen
MAX_REUSE_WAIT_MS = 25.0  # that a request waits for a connection; beyond, a new connection is the shorter way
MAX_LATENESS_MS = 200.0  # of a response that is taken for a copy because of its content
# After a response, from when on no copy of it is expected: it may be late by the reuse delay, and by as much
# again where the delay of the network varies.
COPY_HORIZON_MS = 2 * REUSE_DELAY_MS
MIN_RESPONSE_TIME_RATIO = 0.5  # of the shortest response time: the least that is plausible
MIN_CHECKED_MS = 1.0  # a shorter limit is not checked: the delay of the network varies by less than that
MIN_RESPONSE_TIMES = 3  # before the shortest one is relied on
UNMEASURED_DELAY_RATIO = 2.0  # of the reuse delay until then, since the variation of the network is unknown
LOOP_DELAY_TOLERANCE_MS = 5.0  # by which a turn of the event loop may be late without counting as a stall
MIN_DISTINCT_RESPONSES = 8  # before equal content counts as a copy


class ResponseHistory:
    """What the responses of one backend have shown about their timing and content."""

    __slots__ = (
        "_distinct_count",
        "_has_equal_responses",
        "_independent_count",
        "_last_connection",
        "_last_digest",
        "max_lateness_ms",
        "min_response_ms",
    )

    def __init__(self) -> None:
        self.min_response_ms = math.inf  # of responses that cannot be copies
        self.max_lateness_ms = 0.0  # of second responses
        self._last_connection: int | None = None
        self._last_digest: int | None = None
        self._independent_count = self._distinct_count = 0
        self._has_equal_responses = False

    def __repr__(self) -> str:
        return (
            f"<ResponseHistory shortest {self.min_response_ms:.1f} ms, late by {self.max_lateness_ms:.1f} ms>"
        )

    def reuse_delay_ms(self, min_delay_ms: float = REUSE_DELAY_MS) -> float:
        """Return how long a connection is not reused after a response, at least `min_delay_ms`."""
        if self._independent_count < MIN_RESPONSE_TIMES:
            min_delay_ms *= UNMEASURED_DELAY_RATIO
        return max(min_delay_ms, min(MAX_REUSE_DELAY_MS, LATENESS_MARGIN * self.max_lateness_ms))

    @property
    def _copy_horizon_ms(self) -> float:
        return max(COPY_HORIZON_MS, LATENESS_MARGIN * self.max_lateness_ms)

    def min_plausible_ms(self, gap_ms: float) -> float:
        """Return the least plausible response time of a request; 0 if any is.

        `gap_ms` is the time from the previous response on the connection to the request, infinite for its
        first request.
        """
        if self._independent_count < MIN_RESPONSE_TIMES:
            return 0.0
        min_plausible_ms = min(MIN_RESPONSE_TIME_RATIO * self.min_response_ms, self._copy_horizon_ms - gap_ms)
        return min_plausible_ms if min_plausible_ms >= MIN_CHECKED_MS else 0.0

    def note_second_response(self, lateness_ms: float) -> None:
        """Record a second response that arrived `lateness_ms` after the first."""
        if lateness_ms < MAX_LATENESS_MS:
            self.max_lateness_ms = max(self.max_lateness_ms, lateness_ms)

    def note_response(self, connection: int, gap_ms: float, response_ms: float, digest: int | None) -> None:
        """Record a response that was attributed to its request.

        `connection` identifies the connection, `gap_ms` is as for `min_plausible_ms`, `response_ms` is the
        time from the request to the first byte, and `digest` is of the content, None for one that is expected
        to be the same each time.
        """
        if gap_ms >= COPY_HORIZON_MS:
            self.min_response_ms = min(self.min_response_ms, response_ms)
            self._independent_count += 1
        if digest is None:
            return
        # Responses on two connections are no copies of each other, so their equality is the backend's habit.
        if self._last_connection != connection:
            self._has_equal_responses = self._has_equal_responses or digest == self._last_digest
            self._distinct_count += 1
        self._last_connection, self._last_digest = connection, digest

    def is_copy(self, previous_digest: int | None, digest: int, age_ms: float) -> bool:
        """Whether a response equals its predecessor on the connection, although responses differ.

        `age_ms` is the time since the predecessor arrived.
        """
        return (
            digest == previous_digest
            and age_ms < MAX_LATENESS_MS
            and not self._has_equal_responses
            and self._distinct_count >= MIN_DISTINCT_RESPONSES
        )


def is_implausible(response_ms: float, min_plausible_ms: float, arrival_age_ms: float = math.inf) -> bool:
    """Whether a response whose plausibility timer has not fired yet cannot answer the request.

    `response_ms` is the time from the request to the read of the response. A read long after the timer was
    due means that the event loop was held up. What counts then is the earliest time of the arrival:
    `arrival_age_ms` before the read at most, infinite if that is unknown.
    """
    if response_ms <= min_plausible_ms + LOOP_DELAY_TOLERANCE_MS:
        return response_ms < min_plausible_ms
    return response_ms - arrival_age_ms < min_plausible_ms
