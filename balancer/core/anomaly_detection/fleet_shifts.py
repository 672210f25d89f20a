"""Detects shifts that all servers share by testing the reference of each class against its past value.

A cause that makes all servers slower (load, costlier requests, a common dependency) moves their reference and
is not an anomaly of any server. A step in the reference of one class is an anomaly of that class; a step in
most classes is an anomaly of the whole fleet.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from balancer.core.anomaly_detection import cusum, evidence
from balancer.core.anomaly_detection.anomaly_log import AnomalyLog
from balancer.core.anomaly_detection.baselines import LOAD_LEVEL, MIN_ROW_VARIANCE, Baselines, LevelReference
from balancer.core.anomaly_detection.events import Group, Scope, Signal

MIN_SHIFT_LOG = math.log(1.6)
MIN_CLASS_ROWS = 100  # of a class, summed over all kinds, before its reference is tested
PAST_MEMORY_ROUNDS = 900.0  # 15 minutes of rounds one second apart
SHIFT_ALLOWANCE_SD = 2 * cusum.ROW_ALLOWANCE_SD  # references vary with the load
REFERENCE_VARIANCE_DIVISOR = 4  # the deviation of a reference is about half that of a row's mean
FLEET_CLASSES_RATIO = 0.6  # of the classes shift: all classes share the cause
MIN_FLEET_CLASSES = 2
FLEET_SHIFT_WAIT_MS = 2_000.0  # all shifted classes must show the shift for this time
CLASS_SHIFT_WAIT_MS = 3_000.0  # longer than for the fleet, as other classes may follow


class Shift(NamedTuple):
    """A class and its reference, which is tested for a shift from its past value."""

    class_name: str
    reference: LevelReference


def detect(baselines: Baselines, log: AnomalyLog) -> None:
    """Test the references of this round, and open and end the anomalies of classes and of the fleet."""
    tested = _tested_references(baselines)
    shifts = [shift for shift in tested if _has_shifted(baselines, shift.reference)]
    names = {shift.class_name for shift in shifts}
    open_shifts = [anomaly for anomaly in log.open_anomalies.values() if anomaly.is_fleet_shift]
    for anomaly in open_shifts:
        is_present = bool(names) if anomaly.scope is Scope.FLEET else anomaly.subject in names
        log.count_shift_round(anomaly, is_present)
    if any(_is_fleet_response_time(anomaly.scope, anomaly.signal) for anomaly in log.open_anomalies.values()):
        return
    reported = {anomaly.subject for anomaly in open_shifts}
    unreported = [shift for shift in shifts if shift.class_name not in reported]
    if not unreported:
        return
    if len(shifts) >= max(MIN_FLEET_CLASSES, math.ceil(FLEET_CLASSES_RATIO * len(tested))):
        _begin_fleet_shift(baselines, log, shifts)
    else:
        _begin_class_shifts(baselines, log, unreported)


def _is_fleet_response_time(scope: Scope, signal: Signal) -> bool:
    return scope is Scope.FLEET and signal is Signal.RESPONSE_TIME


def _tested_references(baselines: Baselines) -> list[Shift]:
    """Return the classes with enough rows, each with its reference over all kinds."""
    rows: dict[str, float] = {}
    for (_, name), reference in baselines.references.items():
        rows[name] = rows.get(name, 0) + reference.row_count
    return [
        Shift(name, reference)
        for (kind, name), reference in baselines.references.items()
        if not (kind or name == LOAD_LEVEL or math.isnan(reference.value)) and rows[name] >= MIN_CLASS_ROWS
    ]


def _has_shifted(baselines: Baselines, reference: LevelReference) -> bool:
    """Test one reference against its past value, which is updated while the reference is normal."""
    if math.isnan(reference.past_value):
        reference.past_value = reference.value
    deviation = reference.value - reference.past_value
    variance = reference.row_variance / REFERENCE_VARIANCE_DIVISOR + MIN_ROW_VARIANCE
    standardized = min(cusum.MAX_ROW_DEVIATION_SD, deviation / math.sqrt(variance))
    score = reference.shift_cusum
    score.update(standardized - SHIFT_ALLOWANCE_SD, baselines.now_ms, deviation, 1.0)
    if score.score >= cusum.ROW_DECISION_THRESHOLD and score.mean >= MIN_SHIFT_LOG:
        return True
    if score.score < cusum.ROW_SUSPICION_SCORE:
        reference.past_value += deviation / PAST_MEMORY_ROUNDS
    return False


def _begin_fleet_shift(baselines: Baselines, log: AnomalyLog, shifts: list[Shift]) -> None:
    began_times_ms = [shift.reference.shift_cusum.since_ms for shift in shifts]
    if not all(baselines.now_ms - since_ms >= FLEET_SHIFT_WAIT_MS for since_ms in began_times_ms):
        return
    largest = max(shifts, key=lambda shift: shift.reference.shift_cusum.mean)
    fields = evidence.evidence_of_shift(largest.reference) | {"classes": len(shifts)}
    log.begin(Signal.RESPONSE_TIME, Group(Scope.FLEET, "all"), min(began_times_ms), fields, set())


def _begin_class_shifts(baselines: Baselines, log: AnomalyLog, shifts: list[Shift]) -> None:
    for name, reference in shifts:
        since_ms = reference.shift_cusum.since_ms
        if baselines.now_ms - since_ms >= CLASS_SHIFT_WAIT_MS:
            fields = evidence.evidence_of_shift(reference)
            log.begin(Signal.RESPONSE_TIME, Group(Scope.CLASS, name), since_ms, fields, set(), name)
