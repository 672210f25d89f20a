"""Tests of Page's test: its alarms, its estimates, and its reset."""

from __future__ import annotations

import random

import pytest

from balancer.core.anomaly_detection import cusum
from balancer.core.anomaly_detection.cusum import PROPORTION_TESTS, Cusum
from balancer.core.anomaly_detection.events import Signal

THRESHOLD = cusum.ROW_DECISION_THRESHOLD
CAP = cusum.SCORE_CAP_RATIO * THRESHOLD


def observations_until_alarm(score: Cusum, deviations: list[float]) -> int | None:
    """Return the number of standardized deviations until the alarm, None without an alarm."""
    for number, deviation in enumerate(deviations, 1):
        increment = min(cusum.MAX_ROW_DEVIATION_SD, deviation) - cusum.ROW_ALLOWANCE_SD
        score.update(increment, number * 1_000.0, deviation, 1.0)
        if score.score >= THRESHOLD:
            return number
    return None


def test_cusum_without_a_change_raises_no_alarm() -> None:
    rng = random.Random(1)
    assert observations_until_alarm(Cusum(CAP), [rng.gauss(0, 1) for _ in range(100_000)]) is None


@pytest.mark.parametrize(("shift", "rows"), [(2.0, 30), (3.0, 12), (4.0, 8)])
def test_cusum_shift_raises_an_alarm_and_estimates_its_time_and_size(shift: float, rows: int) -> None:
    rng, score = random.Random(2), Cusum(CAP)
    normal = 200
    deviations = [rng.gauss(0, 1) for _ in range(normal)] + [rng.gauss(shift, 1) for _ in range(rows)]
    alarm_number = observations_until_alarm(score, deviations)
    assert alarm_number is not None and normal < alarm_number <= normal + rows
    assert abs(score.since_ms - (normal + 1) * 1_000.0) <= 4_000.0
    assert score.mean == pytest.approx(shift, abs=1.0)


def test_cusum_with_single_outliers_raises_no_alarm() -> None:
    assert observations_until_alarm(Cusum(CAP), [1e9, *([0.0] * 100), 1e9]) is None


def test_cusum_after_a_long_shift_is_capped_and_returns_to_zero() -> None:
    score = Cusum(CAP)
    for number in range(10_000):
        score.update(3.0, float(number), 4.0, 1.0)
    assert score.score == CAP
    for number in range(int(CAP) + 1):
        score.update(-cusum.ROW_ALLOWANCE_SD, 10_000.0 + number, 0.0, 1.0)
    assert score.score == 0.0


def test_cusum_reset_discards_score_and_mean() -> None:
    score = Cusum(CAP)
    score.update(5.0, 1.0, 2.0, 3.0)
    assert score.mean == 2.0
    score.reset()
    assert score.score == score.mean == 0.0
    score.update(1.0, 7.0, 4.0, 1.0)
    assert score.since_ms == 7.0 and score.mean == 4.0


@pytest.mark.parametrize("signal", PROPORTION_TESTS)
def test_proportion_test_evidence_has_the_sign_of_the_deviation(signal: Signal) -> None:
    test = PROPORTION_TESTS[signal]
    assert test.increment(0, 100, 0.0, 0.0) < 0.0 < test.increment(100, 0, 0.0, 0.0)
    # A proportion that is normal in the fleet or in the server's own past is no evidence.
    assert test.increment(40, 60, 0.4, 0.0) < 0.0 and test.increment(40, 60, 0.0, 0.4) < 0.0
