"""The `evidence` object of an anomaly: the measured value, what was expected, and how sure it is.

Keys and roundings are read by operators' programs (`docs/operate/timeline.md`).
"""

from __future__ import annotations

import math
from collections.abc import Set

from balancer.core.anomaly_detection import cusum
from balancer.core.anomaly_detection.baselines import (
    FLAPPING_WINDOW_MS,
    LOAD_LEVEL,
    Baselines,
    LevelReference,
)
from balancer.core.anomaly_detection.cusum import PROPORTION_TESTS
from balancer.core.anomaly_detection.events import Signal, Suspicion

MAX_LOG = 700.0  # `math.exp` overflows at 710
MAX_SCORE = 300.0  # for the odds of a false alarm, which are 0 as a float at some 700


def evidence_of(
    baselines: Baselines, signal: Signal, servers: Set[str], suspicion: Suspicion
) -> dict[str, object]:
    """Why these servers are anomalous, by the strongest suspicion of one of them."""
    found: dict[str, object] = {"servers": len(servers)}
    if signal in (Signal.RESPONSE_TIME, Signal.LOAD):
        found |= _level(baselines, signal, servers, suspicion)
    elif signal in PROPORTION_TESTS:
        found |= _proportion(baselines, signal, suspicion)
    elif signal is Signal.STALE_REPORT:
        found |= {"value": suspicion.value, "own_count_moved_by": suspicion.score}
    else:
        found |= {"value": suspicion.value, "window_ms": FLAPPING_WINDOW_MS}
    return found


def evidence_of_shift(reference: LevelReference) -> dict[str, object]:
    """How far the reference of a class is from its own past."""
    shift = reference.shift_cusum.mean
    return {
        "value": round(math.exp(reference.past_value + shift), 3),
        "reference": round(math.exp(reference.past_value), 3),
        "ratio": round(math.exp(shift), 3),
        "score": round(reference.shift_cusum.score, 1),
        "threshold": cusum.ROW_DECISION_THRESHOLD,
    }


def measured_value(evidence: dict[str, object]) -> float:
    """The measured value, 0 where there is none."""
    value = evidence.get("value")
    return float(value) if isinstance(value, int | float) else 0.0


def server_count(evidence: dict[str, object]) -> float:
    """How many servers the evidence is of, 1 where it does not say."""
    count = evidence.get("servers", 1)
    assert isinstance(count, int)
    return float(count)


def _level(
    baselines: Baselines, signal: Signal, servers: Set[str], suspicion: Suspicion
) -> dict[str, object]:
    """In the level's own unit (ms, requests), by the baseline of one of the servers."""
    level_name = LOAD_LEVEL if signal is Signal.LOAD else suspicion.class_name
    expected = _expected_log(baselines, next(iter(servers), ""), level_name)
    from_log = math.expm1 if signal is Signal.LOAD else math.exp
    odds = math.exp(-2 * cusum.ROW_ALLOWANCE_SD * min(suspicion.score, MAX_SCORE))
    found: dict[str, object] = {
        "value": round(from_log(min(MAX_LOG, expected + suspicion.value)), 3),
        "reference": round(from_log(min(MAX_LOG, expected)), 3),
        "ratio": round(math.exp(suspicion.value), 3),
        "score": round(suspicion.score, 1),
        "threshold": cusum.ROW_DECISION_THRESHOLD,
        "false_alarm_odds": float(f"{odds:.1e}"),
    }
    if suspicion.class_name:
        found["class"] = suspicion.class_name
    return found


def _expected_log(baselines: Baselines, server_name: str, level_name: str) -> float:
    server = baselines.servers.get(server_name)
    if server is None:
        return 0.0
    reference, level = baselines.reference_of(server, level_name), server.levels.get(level_name)
    expected = 0.0 if reference is None else reference.value
    return expected if level is None else expected + level.row_offset


def _proportion(baselines: Baselines, signal: Signal, suspicion: Suspicion) -> dict[str, object]:
    expected = max(PROPORTION_TESTS[signal].min_expected, baselines.fleet_proportions[signal])
    return {
        "value": round(suspicion.value, 4),
        "reference": round(expected, 4),
        "score": round(suspicion.score, 1),
        "threshold": cusum.PROPORTION_DECISION_THRESHOLD,
        "false_alarm_odds": float(f"{math.exp(-min(suspicion.score, MAX_SCORE)):.1e}"),
    }
