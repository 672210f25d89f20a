"""The paper's setting with the module as its dispatcher, short; benchmarks/jut_paper.py has the whole
tables.
"""

from __future__ import annotations

import random
from statistics import mean

import pytest

from balancer import interface as api
from balancer.policy.balancer import Balancer
from balancer.testbed.jut_model import (
    Run,
    best_m,
    confidence,
    hyperexponential,
    limit,
    simulate,
)


def test_the_formulas_agree_with_each_other() -> None:
    """The best m of Theorem 6 is the least of Corollary 4; Table 2's limit is 5.4464."""
    assert limit(0.8, 0.05, 10) == pytest.approx(5.4464, abs=5e-5)
    for load in (0.5, 0.8, 0.95):
        for delta in (0.4, 0.1, 0.025):
            for square in (2.0, 16.0):
                least = min(range(int(load / delta + 1e-9) + 1), key=lambda m: limit(load, delta, m, square))
                assert best_m(load, delta, square) == least


def test_table_2_at_100_servers() -> None:
    """5.3145 in the paper; six short runs come to within 3% of it."""
    found, _ = confidence([simulate(Run(100, 0.8, 0.05, 10, 12_000, seed)).response for seed in range(6)])
    assert found == pytest.approx(5.3145, rel=0.03)


def test_without_messages_it_is_random_choice() -> None:
    """A mean response time of 1 / (1 - load)."""
    assert simulate(Run(50, 0.5, 0.0, 1, 20_000, 1)).response == pytest.approx(2.0, rel=0.04)


def test_more_messages_and_the_best_m_help() -> None:
    def response(delta: float, m: int) -> float:
        return simulate(Run(100, 0.8, delta, m, 10_000, 3)).response

    assert response(0.1, best_m(0.8, 0.1)) < response(0.025, best_m(0.8, 0.025)) < response(0.025, 20)


def test_a_run_is_the_same_again_and_the_module_as_it_stands_waits_less() -> None:
    literal, ours = Run(50, 0.8, 0.1, 3, 6_000, 1), Run(50, 0.8, 0.1, 0, 6_000, 1, literal=False, aim=10.0)
    assert simulate(literal) == simulate(literal)
    assert simulate(ours).response < 0.8 * simulate(literal).response
    assert simulate(ours).served == simulate(ours).asked


def test_the_switch_is_the_paper_to_the_letter() -> None:
    """Ties below m and all at m are uniform; an idle sign zeroes the estimate whatever is out."""
    names = [f"s{n}" for n in range(4)]
    node = Balancer(Run(4, 0.8, 0.1, 2, 1, 1).settings(), 1, literal_cap=2)
    entries = [api.Endpoint(name, "", 0, 1.0, api.Phase.UP, 0.0) for name in names]
    node.handle(0.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, entries))

    def sent(number: int) -> str:
        actions = node.handle(1.0, api.RequestArrived(str(number), "job", 1e9))
        return next(a.backend for a in actions if isinstance(a, api.SendAttempt))

    def ended(number: int, name: str) -> None:
        node.handle(1.0, api.AttemptFinished(str(number), 0, name, api.AttemptStatus.OK, 50.0, True))

    first = [sent(n) for n in range(8)]
    assert sorted(first[:4]) == sorted(first[4:]) == names
    for number, name in enumerate(first):
        if name == "s0":  # now it has less out than the others
            ended(number, name)
    counts = dict.fromkeys(names, 0)
    for number in range(8, 2_008):
        counts[name := sent(number)] += 1
        ended(number, name)
    assert all(430 < count < 570 for count in counts.values())  # within 3.6 deviations
    node.handle(2.0, api.ProbeFinished("s2", api.AttemptStatus.OK, 0.0, api.LoadReport(in_flight=0.0)))
    assert [sent(9_000), sent(9_001)] == ["s2", "s2"] and node.backends["s2"].queue_estimate == 2


def test_hyperexponential_work_has_the_moments_it_is_asked_for() -> None:
    rng, draw = random.Random(1), hyperexponential(16.0)
    works = [draw(rng) for _ in range(200_000)]
    assert mean(works) == pytest.approx(1.0, rel=0.03)
    assert mean([w * w for w in works]) == pytest.approx(16.0, rel=0.08)
