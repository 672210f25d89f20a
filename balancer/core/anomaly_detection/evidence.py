"""The `evidence` object of an anomaly: the measured and the expected value, and the confidence.

Operators' programs read its keys and rounded values (`docs/operate/timeline.md`).
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
MAX_SCORE = 300.0  # bounds the odds of a false alarm, which underflow to 0 at about 700


def evidence_of(
    baselines: Baselines, signal: Signal, servers: Set[str], suspicion: Suspicion
) -> dict[str, object]:
    """Return why these servers are anomalous, from the strongest suspicion of one of them."""
    fields: dict[str, object] = {"servers": len(servers)}
    if signal in (Signal.RESPONSE_TIME, Signal.LOAD):
        fields |= _level_evidence(baselines, signal, servers, suspicion)
    elif signal in PROPORTION_TESTS:
        fields |= _proportion_evidence(baselines, signal, suspicion)
    elif signal is Signal.STALE_REPORT:
        fields |= {"value": suspicion.value, "own_count_moved_by": suspicion.score}
    else:
        fields |= {"value": suspicion.value, "window_ms": FLAPPING_WINDOW_MS}
    return fields


def evidence_of_shift(reference: LevelReference) -> dict[str, object]:
    """Return how far the reference of a class has moved from its past value."""
    shift = reference.shift_cusum.mean
    return {
        "value": round(math.exp(reference.past_value + shift), 3),
        "reference": round(math.exp(reference.past_value), 3),
        "ratio": round(math.exp(shift), 3),
        "score": round(reference.shift_cusum.score, 1),
        "threshold": cusum.ROW_DECISION_THRESHOLD,
    }


def measured_value(evidence: dict[str, object]) -> float:
    """Return the measured value, 0 if there is none."""
    value = evidence.get("value")
    return float(value) if isinstance(value, int | float) else 0.0


def server_count(evidence: dict[str, object]) -> float:
    """Return the number of servers that the evidence covers, 1 if it is not given."""
    count = evidence.get("servers", 1)
    assert isinstance(count, int)
    return float(count)


def _level_evidence(
    baselines: Baselines, signal: Signal, servers: Set[str], suspicion: Suspicion
) -> dict[str, object]:
    """Return the evidence in the level's own unit (ms, requests), from the baseline of one server."""
    level_name = LOAD_LEVEL if signal is Signal.LOAD else suspicion.class_name
    expected = _expected_log(baselines, next(iter(servers), ""), level_name)
    value_from_log = math.expm1 if signal is Signal.LOAD else math.exp
    odds = math.exp(-2 * cusum.ROW_ALLOWANCE_SD * min(suspicion.score, MAX_SCORE))
    fields: dict[str, object] = {
        "value": round(value_from_log(min(MAX_LOG, expected + suspicion.value)), 3),
        "reference": round(value_from_log(min(MAX_LOG, expected)), 3),
        "ratio": round(math.exp(suspicion.value), 3),
        "score": round(suspicion.score, 1),
        "threshold": cusum.ROW_DECISION_THRESHOLD,
        "false_alarm_odds": float(f"{odds:.1e}"),
    }
    if suspicion.class_name:
        fields["class"] = suspicion.class_name
    return fields


def _expected_log(baselines: Baselines, server_name: str, level_name: str) -> float:
    server = baselines.servers.get(server_name)
    if server is None:
        return 0.0
    reference, level = baselines.reference_of(server, level_name), server.levels.get(level_name)
    expected = 0.0 if reference is None else reference.value
    return expected if level is None else expected + level.row_offset


def _proportion_evidence(baselines: Baselines, signal: Signal, suspicion: Suspicion) -> dict[str, object]:
    expected = max(PROPORTION_TESTS[signal].min_expected, baselines.fleet_proportions[signal])
    return {
        "value": round(suspicion.value, 4),
        "reference": round(expected, 4),
        "score": round(suspicion.score, 1),
        "threshold": cusum.PROPORTION_DECISION_THRESHOLD,
        "false_alarm_odds": float(f"{math.exp(-min(suspicion.score, MAX_SCORE)):.1e}"),
    }
