"""Response times as counts in logarithmic bins: DDSketch (Masson, Rim, Lee, VLDB 2019) with fixed bounds.

A quantile has a relative error of at most `RELATIVE_ERROR` between `MIN_MS` and `MAX_MS`; a time outside
counts as the nearer bound. Two sketches are merged by adding their counts. A sketch is a plain map and
not an object of a library, since there is one for each second, class and server: docs/design/timeline.md has
the figures.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

RELATIVE_ERROR = 0.02
LOG_BIN_WIDTH = math.log((1 + RELATIVE_ERROR) / (1 - RELATIVE_ERROR))  # width of a bin in natural logarithms
MIN_MS = 0.01
FIRST_BIN_EXPONENT = math.ceil(math.log(MIN_MS) / LOG_BIN_WIDTH)
BIN_COUNT = 512
MAX_MS = math.exp((BIN_COUNT - 1 + FIRST_BIN_EXPONENT) * LOG_BIN_WIDTH)
BINS_PER_LOG_UNIT = 1 / LOG_BIN_WIDTH
# A bin is represented by the value with the same relative distance to its two bounds.
_MIDPOINT_FACTOR = 2 / (1 + math.exp(LOG_BIN_WIDTH))


def bin_index(ms: float) -> int:
    """Returns the bin of a time, from 0 to `BIN_COUNT` - 1."""
    if ms <= MIN_MS:
        return 0
    index = math.ceil(math.log(ms) * BINS_PER_LOG_UNIT) - FIRST_BIN_EXPONENT
    return index if index < BIN_COUNT else BIN_COUNT - 1


def bin_value_ms(index: int) -> float:
    """Returns the time in milliseconds that represents a bin."""
    return math.exp((index + FIRST_BIN_EXPONENT) * LOG_BIN_WIDTH) * _MIDPOINT_FACTOR


def bin_log_value(index: int) -> float:
    """Returns the natural logarithm of `bin_value_ms`."""
    return (index + FIRST_BIN_EXPONENT) * LOG_BIN_WIDTH + math.log(_MIDPOINT_FACTOR)


def quantile(counts: Mapping[int, int], fraction: float) -> float:
    """Returns the `fraction` quantile in milliseconds; nan if nothing was counted."""
    total = sum(counts.values())
    rank, seen = fraction * (total - 1), 0
    for index in sorted(counts):
        seen += counts[index]
        if seen > rank:
            return bin_value_ms(index)
    return math.nan


def log_moments(counts: Iterable[tuple[int, int]]) -> tuple[int, float, float]:
    """Returns the count, the sum of the logarithms and the sum of their squares."""
    total_count, log_sum, log_square_sum = 0, 0.0, 0.0
    for index, count in counts:
        log = bin_log_value(index)
        total_count += count
        log_sum += count * log
        log_square_sum += count * log * log
    return total_count, log_sum, log_square_sum
