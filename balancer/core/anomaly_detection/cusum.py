"""Page's test (CUSUM) for a change of the mean, and its increments for levels and proportions.

Source: E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954). For levels the increment is the
deviation in standard deviations less an allowance, Page's reference value; for proportions it is the
log-likelihood ratio of Bernoulli trials. G. Lorden, "Procedures for reacting to a change in distribution",
Annals of Mathematical Statistics 42 (1971), gives a lower bound of the detection delay;
benchmarks/anomaly_detection.py measures the distance from that bound.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from balancer.core.anomaly_detection.events import Signal

ROW_ALLOWANCE_SD = 1.0  # half of the 2 sd shift to detect, the optimum of Page's test for it
ROW_DECISION_THRESHOLD = 12.0  # about 1e10 rows between two false alarms at this allowance
MINUTE_ALLOWANCE_SD = 1.25  # higher than for rows, as successive minutes are correlated
MINUTE_DECISION_THRESHOLD = 10.0  # lower than for rows, as there are 60 times fewer minutes
PROPORTION_DECISION_THRESHOLD = 14.0  # log-likelihood ratio
SCORE_CAP_RATIO = 1.5  # of a threshold, so that a long anomaly ends as fast as a short one
MAX_ROW_DEVIATION_SD = 4.5  # a single outlier, such as a garbage collection, raises no alarm
SUSPICION_RATIO = 0.4  # of a threshold: enough to join an anomaly of servers that crossed it
ROW_SUSPICION_SCORE = ROW_DECISION_THRESHOLD * SUSPICION_RATIO
MINUTE_SUSPICION_SCORE = MINUTE_DECISION_THRESHOLD * SUSPICION_RATIO
PROPORTION_SUSPICION_SCORE = PROPORTION_DECISION_THRESHOLD * SUSPICION_RATIO


class Cusum:
    """A score that rises with evidence up to `max_score` and otherwise falls to 0.

    `mean` is the weighted mean of the values since the score was last 0, and `since_ms` the time of the first
    one, which is Page's estimate of the time of the change. The cap bounds how long an anomaly outlasts its
    cause.
    """

    __slots__ = ("max_score", "score", "since_ms", "weight", "weighted_sum")

    def __init__(self, max_score: float) -> None:
        self.max_score = max_score
        self.score = self.since_ms = self.weighted_sum = self.weight = 0.0

    def __repr__(self) -> str:
        return f"<Cusum {self.score:.1f} of {self.max_score:.1f}, mean {self.mean:.3g}>"

    def update(self, increment: float, now_ms: float, value: float, weight: float) -> None:
        """Add an increment and the value from which it was derived."""
        if self.score <= 0.0:
            self.since_ms, self.weighted_sum, self.weight = now_ms, 0.0, 0.0
        self.score = min(self.max_score, max(0.0, self.score + increment))
        self.weighted_sum += value * weight
        self.weight += weight

    @property
    def mean(self) -> float:
        """Weighted mean of the values since the score was last 0."""
        return self.weighted_sum / self.weight if self.weight else 0.0

    def reset(self) -> None:
        """Discard all evidence."""
        self.score = self.weighted_sum = self.weight = 0.0


class ProportionTest(NamedTuple):
    """Parameters of the test of one proportion (of errors, rejections, timeouts)."""

    min_expected: float  # lower proportions are noise
    expected_factor: float  # multiplies the proportion of the fleet or of the server's own past
    min_anomalous: float  # the smallest relevant proportion

    def increment(self, bad: int, good: int, fleet_proportion: float, past_proportion: float) -> float:
        """Return the log-likelihood ratio of the trials: the anomalous proportion against the expected one.

        The expected proportion is above that of the fleet and that of the server's own past.
        """
        factor = self.expected_factor
        expected = min(0.5, max(self.min_expected, factor * fleet_proportion, factor * past_proportion))
        anomalous = min(0.95, max(self.min_anomalous, 4 * expected))
        return bad * math.log(anomalous / expected) + good * math.log((1 - anomalous) / (1 - expected))


PROPORTION_TESTS: dict[Signal, ProportionTest] = {
    Signal.ERRORS: ProportionTest(0.004, 1.5, 0.05),
    Signal.REJECTIONS: ProportionTest(0.02, 1.5, 0.25),
    Signal.TIMEOUTS: ProportionTest(0.005, 1.5, 0.10),
}
