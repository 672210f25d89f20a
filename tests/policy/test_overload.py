"""Load shedding by live weights: many nodes with few requests each must not overload backends in a burst."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer import interface as api
from balancer.interface import Idempotency
from balancer.policy import load_shedding
from balancer.policy.balancer import Balancer
from balancer.policy.load_shedding import OVERLOAD_REQUESTS_PER_CORE
from balancer.testbed.service_profile import RequestClass
from balancer.testbed.simulation.report import Report
from balancer.testbed.simulation.scenario import (
    SITE,
    Choke,
    Scenario,
    Trouble,
)
from balancer.testbed.simulation.world import play
from tests.helpers import (
    BASE,
    SAFE,
    entry,
    node,
    sends,
)

NAMES = [f"b{i}" for i in range(8)]
HIGH_PRIORITY = replace(SAFE, name="dear", priority_weight=400.0)
LIVE_WEIGHTS = replace(BASE, classes=(*BASE.classes, HIGH_PRIORITY), has_weights=True, has_live_weights=True)
LARGE_SITE = replace(
    SITE,
    zones=("a",),
    classes=(
        RequestClass("check", Idempotency.IDEMPOTENT, 400, 800, worth=12, share=0.16, work_ms=45),
        RequestClass("search", Idempotency.IDEMPOTENT, 2_000, 5_000, share=0.52, work_ms=130),
        RequestClass("book", Idempotency.KEYED, 1_800, 5_000, share=0.32, work_ms=190),
    ),
)


def burst(seed: int) -> Report:
    """Simulate 100 nodes and 20 backends that stay slow for long after they held too many requests."""
    return play(
        Scenario(
            servers=20,
            nodes=100,
            seconds=22,
            load=0.75,
            cores=3,
            seed=seed,
            site=LARGE_SITE,
            room=6,
            list_ms=(100, 900),
            live_ms=700,
            choke=Choke(),
            troubles=(Trouble("burst", 6_000, 5_000, size=2.2),),
        )
    )


def test_load_shedding_in_burst_prevents_lasting_fleet_overload(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without overload protection, the fleet stays slow after the burst."""
    protected = burst(1)
    monkeypatch.setattr(load_shedding, "OVERLOAD_REQUESTS_PER_CORE", (1e8, 1e9))
    unprotected = burst(1)
    assert protected.ok and unprotected.ok
    assert unprotected.chokes == 20 and unprotected.service < 0.4
    assert protected.chokes <= 3 and protected.service > 0.7


def sent_fraction(
    requests_per_core: float,
    class_name: str = "read",
    idle_weight: float = 1.0,
    late_ms: float = 0.0,
    count: int = 1000,
) -> float:
    """Return the fraction of requests sent while each core of all backends holds `requests_per_core`."""
    balancer = node(LIVE_WEIGHTS, NAMES)
    balancer.handle(
        1000.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry(x, weight=idle_weight) for x in NAMES]),
    )
    balancer.handle(
        1001.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.INCREMENTAL, [entry(x, weight=1 / (1 + requests_per_core)) for x in NAMES]
        ),
    )
    for i in range(20):
        is_sent(balancer, -i, "read", 1000.5)  # so that the mean priority is that of the other classes
    return sum(is_sent(balancer, i, class_name, 1002.0 + late_ms) for i in range(1, count + 1)) / count


def is_sent(balancer: Balancer, number: int, class_name: str, now: float) -> bool:
    attempts = sends(
        balancer.handle(now, api.RequestArrived(f"r{number}", class_name, now + 1000.0, idempotency_key="k"))
    )
    for attempt in attempts:
        balancer.handle(
            now, api.AttemptFinished(f"r{number}", 0, attempt.backend, api.AttemptStatus.OK, 30.0, True)
        )
    return bool(attempts)


def test_is_protected_rejects_in_proportion_to_requests_per_core() -> None:
    assert sent_fraction(OVERLOAD_REQUESTS_PER_CORE[0]) == 1.0
    assert sent_fraction(
        (OVERLOAD_REQUESTS_PER_CORE[0] + OVERLOAD_REQUESTS_PER_CORE[1]) / 2
    ) == pytest.approx(0.5, abs=0.08)
    assert sent_fraction(OVERLOAD_REQUESTS_PER_CORE[1] + 0.1) == 0.0


def test_high_priority_request_to_overloaded_backend_is_sent() -> None:
    assert sent_fraction(OVERLOAD_REQUESTS_PER_CORE[1] + 1.0, "dear", count=3) == 1.0


def test_zone_bound_retry_to_overloaded_backends_is_rejected() -> None:
    """Such a retry is drawn without the index, which must not bypass the overload protection."""
    balancer = node(LIVE_WEIGHTS, NAMES)
    (first,) = sends(balancer.handle(1001.0, api.RequestArrived("r", "pay", 2001.0, idempotency_key="k")))
    balancer.handle(
        1002.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(x, weight=0.2) for x in NAMES]),
    )
    out = balancer.handle(
        1003.0, api.AttemptFinished("r", 0, first.backend, api.AttemptStatus.ERROR, 2.0, False)
    )
    assert not sends(out)
    assert [a.reason for a in out if isinstance(a, api.FailRequest)] == [
        api.DecisionReason.BACKEND_OVERLOADED
    ]


def test_is_protected_with_outdated_weights_rejects_nothing() -> None:
    """Guards against rejecting requests for as long as discovery is silent, as happened in a burst."""
    longest = max(c.latency_objective_ms for c in LIVE_WEIGHTS.classes)
    assert sent_fraction(OVERLOAD_REQUESTS_PER_CORE[1] + 1.0, late_ms=longest - 10.0) == 0.0
    assert sent_fraction(OVERLOAD_REQUESTS_PER_CORE[1] + 1.0, late_ms=longest + 10.0) == 1.0


def test_is_protected_with_outlying_weight_rejects_nothing() -> None:
    """One outlying weight in a list must not make all other backends count as overloaded for good."""
    assert sent_fraction(0.0, idle_weight=1e6) == 1.0


def test_rejection_for_overload_has_its_reason() -> None:
    balancer = node(LIVE_WEIGHTS, NAMES)
    balancer.handle(
        1001.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(x, weight=0.2) for x in NAMES]),
    )
    refused = [
        a
        for a in balancer.handle(1002.0, api.RequestArrived("r", "read", 2002.0))
        if isinstance(a, api.RejectRequest)
    ]
    assert [a.reason for a in refused] == [api.DecisionReason.BACKEND_OVERLOADED]
