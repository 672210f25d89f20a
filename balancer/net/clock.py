"""The wall clock as this program reads it: all of `net/` asks here, so that a test can set it off."""

from __future__ import annotations

import time
from collections.abc import Mapping

TEST_CLOCK = "BALANCER_TEST_CLOCK_MS"  # for tests alone, and read only where there is an operators' file
_offset_ms = 0.0


def wall_ms() -> float:
    """Unix time in milliseconds; it may jump."""
    return time.time() * 1000 + _offset_ms


def set_offset(env: Mapping[str, str]) -> str:
    """Add what a test asks for to every reading from now on; what is wrong with it, or nothing."""
    global _offset_ms
    text = env.get(TEST_CLOCK, "0")
    try:
        _offset_ms = float(int(text))
    except ValueError:
        return f"{TEST_CLOCK}: found {text!r:.40}; allowed: whole milliseconds, such as -5000"
    return ""
