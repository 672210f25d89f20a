"""A fleet of nodes that each see little, and a burst: what keeps servers from a crowd that no node sees."""

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
DEAR = replace(SAFE, name="dear", priority_weight=400.0)
LIVE = replace(BASE, classes=(*BASE.classes, DEAR), has_weights=True, has_live_weights=True)
WIDE = replace(
    SITE,
    zones=("a",),
    classes=(
        RequestClass("check", Idempotency.IDEMPOTENT, 400, 800, worth=12, share=0.16, work_ms=45),
        RequestClass("search", Idempotency.IDEMPOTENT, 2_000, 5_000, share=0.52, work_ms=130),
        RequestClass("book", Idempotency.KEYED, 1_800, 5_000, share=0.32, work_ms=190),
    ),
)


def burst(seed: int) -> Report:
    """A hundred nodes before twenty servers that turn slow for long once they held too many."""
    return play(
        Scenario(
            servers=20,
            nodes=100,
            seconds=22,
            load=0.75,
            cores=3,
            seed=seed,
            site=WIDE,
            room=6,
            list_ms=(100, 900),
            live_ms=700,
            choke=Choke(),
            troubles=(Trouble("burst", 6_000, 5_000, size=2.2),),
        )
    )


def test_a_burst_does_not_jam_a_fleet_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a fleet that stays slow once the burst is over; it fails where nobody is spared."""
    spared = burst(1)
    monkeypatch.setattr(load_shedding, "OVERLOAD_REQUESTS_PER_CORE", (1e8, 1e9))
    crowded = burst(1)
    assert spared.ok and crowded.ok
    assert crowded.chokes == 20 and crowded.service < 0.4
    assert spared.chokes <= 3 and spared.service > 0.7


def told(
    held: float, kind: str = "read", size: float = 1.0, late_ms: float = 0.0, count: int = 1000
) -> float:
    """The share sent on of so many requests, where each core of all servers holds so many."""
    b = node(LIVE, NAMES)
    b.handle(
        1000.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, [entry(x, weight=size) for x in NAMES])
    )
    b.handle(
        1001.0,
        api.EndpointsUpdated(
            api.EndpointUpdateKind.INCREMENTAL, [entry(x, weight=1 / (1 + held)) for x in NAMES]
        ),
    )
    for i in range(20):
        sent(b, -i, "read", 1000.5)  # so that the mean worth is that of the others
    return sum(sent(b, i, kind, 1002.0 + late_ms) for i in range(1, count + 1)) / count


def sent(b: Balancer, number: int, kind: str, now: float) -> bool:
    out = sends(b.handle(now, api.RequestArrived(f"r{number}", kind, now + 1000.0, idempotency_key="k")))
    for send in out:
        b.handle(now, api.AttemptFinished(f"r{number}", 0, send.backend, api.AttemptStatus.OK, 30.0, True))
    return bool(out)


def test_a_server_is_spared_in_proportion_to_what_its_cores_hold() -> None:
    assert told(OVERLOAD_REQUESTS_PER_CORE[0]) == 1.0
    assert told((OVERLOAD_REQUESTS_PER_CORE[0] + OVERLOAD_REQUESTS_PER_CORE[1]) / 2) == pytest.approx(
        0.5, abs=0.08
    )
    assert told(OVERLOAD_REQUESTS_PER_CORE[1] + 0.1) == 0.0


def test_what_is_worth_most_is_sent_on_to_a_crowded_server() -> None:
    assert told(OVERLOAD_REQUESTS_PER_CORE[1] + 1.0, "dear", count=3) == 1.0


def test_a_repeat_that_is_bound_to_its_zone_spares_a_crowd_too() -> None:
    """Such a repeat is drawn among few and not by the index: no way to a crowded server is left open."""
    b = node(LIVE, NAMES)
    (first,) = sends(b.handle(1001.0, api.RequestArrived("r", "pay", 2001.0, idempotency_key="k")))
    b.handle(
        1002.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(x, weight=0.2) for x in NAMES]),
    )
    out = b.handle(1003.0, api.AttemptFinished("r", 0, first.backend, api.AttemptStatus.ERROR, 2.0, False))
    assert not sends(out)
    assert [a.reason for a in out if isinstance(a, api.FailRequest)] == [
        api.DecisionReason.BACKEND_OVERLOADED
    ]


def test_old_news_spare_nobody() -> None:
    """Guards against refusing for as long as discovery is silent, as it did in a burst."""
    longest = max(c.latency_objective_ms for c in LIVE.classes)
    assert told(OVERLOAD_REQUESTS_PER_CORE[1] + 1.0, late_ms=longest - 10.0) == 0.0
    assert told(OVERLOAD_REQUESTS_PER_CORE[1] + 1.0, late_ms=longest + 10.0) == 1.0


def test_another_size_is_no_crowd() -> None:
    """Guards against one odd weight in a list for which all other servers would be spared for good."""
    assert told(0.0, size=1e6) == 1.0


def test_a_refusal_names_its_reason() -> None:
    b = node(LIVE, NAMES)
    b.handle(
        1001.0,
        api.EndpointsUpdated(api.EndpointUpdateKind.INCREMENTAL, [entry(x, weight=0.2) for x in NAMES]),
    )
    refused = [
        a
        for a in b.handle(1002.0, api.RequestArrived("r", "read", 2002.0))
        if isinstance(a, api.RejectRequest)
    ]
    assert [a.reason for a in refused] == [api.DecisionReason.BACKEND_OVERLOADED]
