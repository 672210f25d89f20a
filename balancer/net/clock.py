"""The wall clock of a node: everything in `net/` reads it here, so that a test can shift it."""

from __future__ import annotations

import time
from collections.abc import Mapping

TEST_CLOCK = "BALANCER_TEST_CLOCK_MS"  # for tests only; read only if an operator settings file is configured
_offset_ms = 0.0


def wall_ms() -> float:
    """Return Unix time in milliseconds; it may jump."""
    return time.time() * 1000 + _offset_ms


def set_offset(env: Mapping[str, str]) -> str:
    """Shift all further readings by the offset in `TEST_CLOCK`; returns the fault, or an empty string."""
    global _offset_ms
    text = env.get(TEST_CLOCK, "0")
    try:
        _offset_ms = float(int(text))
    except ValueError:
        return f"{TEST_CLOCK}: found {text!r:.40}; allowed: whole milliseconds, such as -5000"
    return ""
