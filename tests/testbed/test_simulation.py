"""The fleet in the computer: the same on every run, nothing lost, rules kept, and breaches seen."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from dataclasses import replace

import pytest

from balancer import interface as api
from balancer.policy.balancer import Balancer
from balancer.testbed.simulation import (
    Report,
    Scenario,
    Trouble,
    World,
    play,
    rough,
)
from balancer.testbed.simulation.policies import Plain, Policy, make
from balancer.testbed.simulation.scenario import ScenarioError

ROUGH = [rough(seed, servers, nodes, 15.0) for seed, servers, nodes in ((1, 10, 2), (2, 20, 1), (5, 60, 7))]
STEADY = Scenario(10, 2, 15.0, 0.7, seed=3)


def conserved(report: Report) -> bool:
    """Every request a client asked for came to one end."""
    return report.asked == report.served + report.refused + report.failed


class Silent(Plain):
    """Answers nothing."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [] if isinstance(event, api.RequestArrived) else super().handle(now, event)


class Late(Plain):
    """Refuses, and refuses again."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.RejectRequest(event.request), api.FailRequest(event.request)]
        return super().handle(now, event)


class Double(Plain):
    """Sends each request to two servers at once."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        return actions + self._send(event.request) if isinstance(event, api.RequestArrived) else actions


class Stubborn(Plain):
    """Sends on what has run out of time at a server, or was reset there, whatever its class."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptFinished) and event.status is api.AttemptStatus.RESET:
            event = replace(event, status=api.AttemptStatus.REJECTED)
        return super().handle(now, event)


class Deaf(Plain):
    """Takes nothing off its list."""

    def _remove(self, name: str) -> None:
        pass


class Eager(Plain):
    """All to the one that started last."""

    def choose(self) -> str:
        return max(self.up, key=len) if any(name.endswith("n") for name in self.up) else super().choose()


PLANTED = {
    Silent: (1, ()),
    Late: (1, ()),
    Double: (2, ()),
    Stubborn: (2, tuple(Trouble("crash", 1_000.0 * n, 500.0, n) for n in range(1, 9))),
    Deaf: (3, (Trouble("drain", 2_000.0, 9_000.0, 1),)),
    Eager: (4, (Trouble("drain", 1_000.0, 500.0, 1),)),
}


@pytest.mark.parametrize("scenario", ROUGH, ids=lambda s: f"{s.servers} servers")
def test_the_module_keeps_the_rules_in_rough_weather(scenario: Scenario) -> None:
    report = play(scenario)
    assert report.ok, report.breaches
    assert conserved(report) and report.service > 0.85
    assert report.retried and report.failed + report.refused  # it was rough


def test_nothing_takes_effect_twice_while_servers_crash() -> None:
    crashes = tuple(Trouble("crash", 500.0 + 450.0 * n, 300.0, n) for n in range(30))
    report = play(replace(STEADY, load=0.9, troubles=crashes))
    assert report.ok, report.breaches
    assert conserved(report) and report.failed > 10  # what may not be sent again


@pytest.mark.parametrize("seed", [23, 29])
def test_a_cut_that_is_over_is_over(seed: int) -> None:
    """Guards against ejections that outlive their cause: each attempt that was out doubled the time."""
    assert play(rough(seed, 12, 1, 30.0)).service > 0.82  # 0.81 and 0.66 before


@pytest.mark.parametrize("kind", PLANTED, ids=lambda kind: kind.__name__)
def test_a_planted_breach_is_counted(kind: type[Plain]) -> None:
    rule, troubles = PLANTED[kind]
    scenario = replace(STEADY, troubles=troubles)
    sound = play(scenario, lambda _, settings, seed: Plain(settings, seed))
    assert sound.ok, sound.breaches
    report = play(scenario, lambda _, settings, seed: kind(settings, seed))
    assert report.rules[rule - 1] > 0 and any(text.startswith(f"rule {rule}") for text in report.breaches)
    if kind is Silent:
        assert report.rules == (report.asked, 0, 0, 0)
    assert kind is not Stubborn or any("took effect twice" in text for text in report.breaches)


def test_the_same_seed_gives_the_same_run() -> None:
    first = play(ROUGH[0], timed=True)
    assert play(ROUGH[0]) == first and first.cpu_us > 0
    assert play(replace(ROUGH[0], seed=2)).digest != first.digest
    code = "from balancer.testbed.simulation import play, rough\nprint(play(rough(1, 10, 2, 15.0)).digest)"
    for seed in ("1", "2"):
        done = subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        )
        assert int(done.stdout) == first.digest


@pytest.mark.parametrize("policy", ["random", "two choices", "least own"])
def test_plain_policies_play_the_same_traffic(policy: str) -> None:
    scenario = replace(ROUGH[0], policy=policy)
    report = play(scenario)
    assert conserved(report) and report.rules[:3] == (0, 0, 0)
    assert report.asked == play(ROUGH[0]).asked


def test_knowing_more_waits_less() -> None:
    waits = {
        policy: play(replace(STEADY, nodes=1, policy=policy)).wait_mean_ms
        for policy in ("random", "two choices", "least own", "module")
    }
    assert waits["random"] > 2 * waits["two choices"] > 2 * waits["least own"] and waits["module"] < 40


def test_a_thousand_servers() -> None:
    """Guards against subsets that leave a part of the fleet to no node, as even steps through it did."""
    report = play(Scenario(1_000, 10, 4.0, 0.7).bounded(12_000))
    assert report.ok and conserved(report)
    assert report.service > 0.97 and report.largest_share < 3.0


@pytest.mark.parametrize(("servers", "nodes"), [(1_000, 10), (80, 12), (100, 20), (10, 40)])
def test_subsets_cover_the_fleet_evenly(servers: int, nodes: int) -> None:
    fed: Counter[str] = Counter()
    for node in World(Scenario(servers, nodes)).nodes:
        assert isinstance(node.policy, Balancer)
        entries = [api.Endpoint(f"s{n}", "a", n // 6, 1.0, api.Phase.UP, 0.0) for n in range(servers)]
        node.policy.handle(0.0, api.EndpointsUpdated(api.EndpointUpdateKind.SNAPSHOT, entries))
        fed.update(node.policy.order[: node.policy.subset_size])
    mean = fed.total() / servers
    assert len(fed) == servers and min(fed.values()) >= 0.7 * mean and max(fed.values()) <= 1.4 * mean


def test_what_cannot_be_played_is_named() -> None:
    with pytest.raises(ScenarioError, match="servers: 0"):
        Scenario(servers=0)
    with pytest.raises(ScenarioError, match="trouble kind 'fire'"):
        Trouble("fire", 0.0, 1.0)
    with pytest.raises(ScenarioError, match="policy 'best'"):
        play(Scenario(policy="best"))


def test_a_policy_may_be_brought() -> None:
    asked: list[str] = []

    def maker(name: str, settings: api.Settings, seed: int) -> Policy:
        asked.append(name)
        return make("random", settings, seed)

    assert play(replace(STEADY, seconds=2.0), maker).ok and asked == ["module", "module"]
