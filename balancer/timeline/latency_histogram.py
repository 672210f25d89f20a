"""Answer times as counts of logarithmic bins: DDSketch (Masson, Rim, Lee, VLDB 2019), its bounds fixed.

A quantile read out of it is within `ERROR` of a true one, relatively, between `LEAST_MS` and `MOST_MS`; what
lies outside counts as the bound. Two sketches merge by adding their counts. It is a plain map and not a
library's object since there is one a second, class and server: see docs/design/timeline.md for the figures.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

ERROR = 0.02
STEP = math.log((1 + ERROR) / (1 - ERROR))  # natural logarithms between the bounds of a bin
LEAST_MS = 0.01
LOW = math.ceil(math.log(LEAST_MS) / STEP)
BINS = 512
MOST_MS = math.exp((BINS - 1 + LOW) * STEP)
PER_STEP = 1 / STEP
# What stands for a bin: as far, relatively, from either bound.
_MIDDLE = 2 / (1 + math.exp(STEP))


def bin_of(ms: float) -> int:
    """The bin of a time, 0 to `BINS` - 1."""
    if ms <= LEAST_MS:
        return 0
    at = math.ceil(math.log(ms) * PER_STEP) - LOW
    return at if at < BINS else BINS - 1


def value_of(at: int) -> float:
    """The time in milliseconds that stands for a bin."""
    return math.exp((at + LOW) * STEP) * _MIDDLE


def log_of(at: int) -> float:
    """Its natural logarithm."""
    return (at + LOW) * STEP + math.log(_MIDDLE)


def quantile(counts: Mapping[int, int], part: float) -> float:
    """The time at or below which `part` of the answers lie, in milliseconds; nan where there is none."""
    total = sum(counts.values())
    rank, seen = part * (total - 1), 0
    for at in sorted(counts):
        seen += counts[at]
        if seen > rank:
            return value_of(at)
    return math.nan


def moments(counts: Iterable[tuple[int, int]]) -> tuple[int, float, float]:
    """How many, and the sums of their logarithms and of the squares of those."""
    n, total, squares = 0, 0.0, 0.0
    for at, count in counts:
        log = log_of(at)
        n += count
        total += count * log
        squares += count * log * log
    return n, total, squares
