"""Tests of the backoff: delays double up to the maximum, with jitter, and restart after a reset."""

from __future__ import annotations

import random

from balancer.core.backoff import Backoff


def test_backoff_delays_double_up_to_the_maximum_within_the_jitter() -> None:
    backoff = Backoff(50.0, 400.0, random.Random(1))
    for expected_ms in (50.0, 100.0, 200.0, 400.0, 400.0, 400.0):
        assert 0.5 * expected_ms <= backoff.next_delay_ms() <= 1.5 * expected_ms


def test_backoff_after_reset_starts_at_the_initial_delay() -> None:
    backoff = Backoff(50.0, 400.0, random.Random(1))
    for _ in range(5):
        backoff.next_delay_ms()
    backoff.reset()
    assert backoff.next_ms == 50.0 and backoff.next_delay_ms() <= 75.0


def test_backoff_with_different_seeds_spreads_the_attempts() -> None:
    delays_ms = [Backoff(50.0, 400.0, random.Random(seed)).next_delay_ms() for seed in range(1_000)]
    assert min(delays_ms) < 30.0 and max(delays_ms) > 70.0 and 48.0 < sum(delays_ms) / 1_000 < 52.0
