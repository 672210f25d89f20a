"""Groups servers that are anomalous together, so that one cause, such as a partitioned zone, is one anomaly.

Once one server crosses a threshold, all servers whose score is above `cusum.SUSPICION_RATIO` of it are
suspects. Suspects that share a cell, a zone or a kind, or that make up a large part of the fleet, form one
group.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from balancer.core.anomaly_detection import cusum
from balancer.core.anomaly_detection.baselines import LOAD_LEVEL, ServerState, suspicion_of
from balancer.core.anomaly_detection.cusum import PROPORTION_TESTS
from balancer.core.anomaly_detection.events import Anomaly, Group, Scope, Signal, Suspicion, Suspicions

MIN_AFFECTED_SERVERS = 3  # fewer are reported individually
MIN_AFFECTED_GROUP_RATIO = 0.6  # share of the group's servers that are suspects
MIN_SUSPECTS_IN_GROUP_RATIO = 0.8  # share of the suspects that are in the group
MAX_GROUP_FLEET_RATIO = 0.9  # a group of nearly all servers does not identify a cause
FLEET_AFFECTED_RATIO = 0.4  # of all active servers are suspects: the whole fleet shares the cause

GROUP_KEYS: dict[Scope, Callable[[ServerState], str]] = {
    Scope.CELL: lambda server: "" if server.cell < 0 else str(server.cell),
    Scope.ZONE: lambda server: server.zone,
    Scope.KIND: lambda server: server.kind,
}
"""Functions that return a server's group name ("": none), by scope in order of preference."""

_PROPORTION_SIGNALS = frozenset(PROPORTION_TESTS)


def related_signals(signal: Signal) -> frozenset[Signal]:
    """Return the signals that one fault may affect: a partitioned server has timeouts and errors."""
    return _PROPORTION_SIGNALS if signal in _PROPORTION_SIGNALS else frozenset({signal})


def suspects(signal: Signal, crossed: Suspicions, active: Sequence[ServerState]) -> Suspicions:
    """Return all suspected servers, with those that crossed the threshold first."""
    suspicions = dict(crossed)
    for server in active:
        if server.name not in suspicions and (suspicion := _suspicion(server, signal)) is not None:
            suspicions[server.name] = suspicion
    return suspicions


def _suspicion(server: ServerState, signal: Signal) -> Suspicion | None:
    if signal in PROPORTION_TESTS:
        score = server.proportion_cusums[signal]
        return suspicion_of(score) if score.score >= cusum.PROPORTION_SUSPICION_SCORE else None
    suspicion = None
    if signal in (Signal.RESPONSE_TIME, Signal.LOAD):
        for name, level in server.levels.items():
            is_of_signal = (name == LOAD_LEVEL) is (signal is Signal.LOAD)
            if is_of_signal and level.row_cusum.score >= cusum.ROW_SUSPICION_SCORE:
                suspicion = suspicion_of(level.row_cusum, name)
    return suspicion


def affected_group(suspected: Suspicions, active: Sequence[ServerState]) -> Group | None:
    """Return the group that covers most of the suspects, else the fleet if there are many, else None."""
    if len(suspected) < MIN_AFFECTED_SERVERS:
        return None
    group = _shared_group(suspected, active)
    if group is None and len(suspected) >= FLEET_AFFECTED_RATIO * len(active):
        return Group(Scope.FLEET, "all")
    return group


def _shared_group(suspected: Suspicions, active: Sequence[ServerState]) -> Group | None:
    """Return the group with the highest share of suspects."""
    best, best_ratio = None, 0.0
    for scope, key_of in GROUP_KEYS.items():
        for name, (size, affected) in _group_counts(suspected, active, key_of).items():
            if not name or size >= MAX_GROUP_FLEET_RATIO * len(active) or affected < MIN_AFFECTED_SERVERS:
                continue
            if affected < MIN_AFFECTED_GROUP_RATIO * size:
                continue
            if affected >= MIN_SUSPECTS_IN_GROUP_RATIO * len(suspected) and affected / size > best_ratio:
                best, best_ratio = Group(scope, name), affected / size
    return best


def _group_counts(
    suspected: Suspicions, active: Sequence[ServerState], key_of: Callable[[ServerState], str]
) -> dict[str, list[int]]:
    """Return the numbers of servers and of suspects by group name."""
    counts: dict[str, list[int]] = {}
    for server in active:
        count = counts.setdefault(key_of(server), [0, 0])
        count[0] += 1
        count[1] += server.name in suspected
    return counts


def is_part_of(anomaly: Anomaly, signal: Signal, name: str, servers: Mapping[str, ServerState]) -> bool:
    """Whether an open anomaly already covers a server's suspicion."""
    if anomaly.signal not in related_signals(signal):
        return False
    if name in anomaly.servers or anomaly.scope is Scope.FLEET:
        return True
    server, key_of = servers.get(name), GROUP_KEYS.get(anomaly.scope)
    return server is not None and key_of is not None and key_of(server) == anomaly.subject
