"""The parts that the operators' file switches on: a fault of one costs the others nothing."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from pathlib import Path
from typing import Any, cast

import pytest

from balancer.net.admin_socket import AdminSocket
from balancer.net.component import Observers, RunningNode
from balancer.net.components import COMPONENT_KINDS, ComponentKind, Components
from balancer.operator_settings import (
    ControlSettings,
    MetricsSettings,
    OperatorSettings,
    TimelineSettings,
)

ON = OperatorSettings(control=ControlSettings())
FAULTS = [ValueError("a bad file"), ZeroDivisionError("a fault of the program")]


class Spy:
    """A part that notes what it is asked, and fails on request."""

    def __init__(self, name: str, said: list[str]) -> None:
        self.name, self.said = name, said
        self.fails: Exception | None = None

    def apply(self, settings: OperatorSettings) -> None:
        """Note it, or fail."""
        if self.fails is not None:
            raise self.fails
        self.said.append(f"{self.name} {'off' if settings.control is None else 'on'}")

    async def close(self) -> None:
        """Note it, or fail."""
        if self.fails is not None:
            raise self.fails
        self.said.append(f"{self.name} closed")


class Spies:
    """Three of them; `make` fails once where it is told so."""

    def __init__(self, path: Path | None = None, broken: Exception | None = None) -> None:
        self.said: list[str] = []
        self.spies = {name: Spy(name, self.said) for name in "abc"}
        self.broken = broken
        kinds = [
            ComponentKind(n, lambda s: s.control is not None, partial(partial, self.make, n)) for n in "abc"
        ]
        node: Any = None
        running = RunningNode(node, cast(Any, self), (), AdminSocket())
        self.parts = Components(path, OperatorSettings(), running, kinds)

    def report(self) -> dict[str, Any]:
        """As the fleet's."""
        return {}

    def make(self, name: str, running: RunningNode) -> Spy:
        """The spy, or the failure."""
        if name == "b" and self.broken is not None:
            fault, self.broken = self.broken, None
            raise fault
        return self.spies[name]

    def told(self) -> list[str]:
        """What was noted since the last time."""
        out = self.said[:]
        self.said.clear()
        return out


def test_a_part_is_made_by_the_first_settings_that_have_it_on_and_closed_in_turn() -> None:
    rig = Spies()
    assert rig.parts.running_components == {} and rig.told() == []
    rig.parts.apply(ON)
    rig.parts.apply(OperatorSettings())
    assert rig.told() == ["a on", "b on", "c on", "a off", "b off", "c off"]
    asyncio.run(rig.parts.close())
    assert rig.told() == ["c closed", "b closed", "a closed"]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: type(fault).__name__)
def test_a_part_that_cannot_change_keeps_no_other_from_its_change(
    fault: Exception, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "s.toml").write_text(f'[control]\nsocket = "{tmp_path}/c.sock"\n')
    rig = Spies(tmp_path / "s.toml")
    rig.spies["a"].fails = fault
    rig.parts.reload()  # as SIGHUP does
    assert rig.told() == ["b on", "c on"] and rig.parts.operator_settings.control is not None
    plain = isinstance(fault, ValueError)
    said = f"a: {fault}; the previous settings stay in force" if plain else "a: applying settings failed"
    assert said in caplog.text and ("Traceback" in caplog.text) is not plain
    rig.spies["a"].fails = None
    rig.parts.apply(OperatorSettings())
    assert rig.told() == ["a off", "b off", "c off"]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: type(fault).__name__)
def test_a_part_that_cannot_be_made_is_made_by_the_next_change(
    fault: Exception, caplog: pytest.LogCaptureFixture
) -> None:
    rig = Spies(broken=fault)
    rig.parts.apply(ON)
    assert rig.told() == ["a on", "c on"] and caplog.text
    rig.parts.apply(ON)
    assert rig.told() == ["a on", "b on", "c on"]


def test_a_part_that_cannot_end_leaves_no_other_open(caplog: pytest.LogCaptureFixture) -> None:
    rig = Spies()
    rig.parts.apply(ON)
    rig.told()
    rig.spies["b"].fails = FAULTS[1]
    asyncio.run(rig.parts.close())
    assert rig.told() == ["c closed", "a closed"] and "b: close failed" in caplog.text


def test_metrics_follow_the_time_line_and_end_with_it(caplog: pytest.LogCaptureFixture) -> None:
    """With a time line that is another one the metrics are its own; without one there are none."""
    metrics = next(kind for kind in COMPONENT_KINDS if kind.name == "metrics")
    whole = OperatorSettings(timeline=TimelineSettings(), metrics=MetricsSettings(listen=("127.0.0.1", 0)))

    async def test() -> None:
        running = RunningNode(cast(Any, None), cast(Any, None), (), AdminSocket())
        part: Any = metrics.load()(running)
        part.apply(whole)
        assert part._target is None, "no time line is on"
        for _ in range(2):
            running.timeline_monitor = cast(Any, object())
            part.apply(whole)
            moved = part._moving
            part.apply(whole)
            assert part._moving is moved, "nothing changed"
            await moved
            assert part._server.metrics.watch is running.timeline_monitor
        running.timeline_monitor = None
        part.apply(whole)
        await part._moving
        assert part._server is None
        await part.close()

    with caplog.at_level(logging.INFO):
        asyncio.run(test())
    assert caplog.text.count("metrics at http://127.0.0.1:") == 2


def test_of_several_observers_the_one_that_fails_is_taken_off_alone(caplog: pytest.LogCaptureFixture) -> None:
    class Eye:
        def __init__(self, fails: bool = False) -> None:
            self.fails, self.seen = fails, 0

        def on_decision(self, now_ms: float, event: Any, actions: Any) -> None:
            self.seen += 1
            if self.fails:
                raise ZeroDivisionError

    node: Any = type("Node", (), {"observer": None})()
    observers, eyes = Observers(node), [Eye(), Eye(True), Eye()]
    for eye in eyes:
        observers.add(eye)
    for _ in range(2):
        node.observer.on_decision(0.0, None, [])
    assert [eye.seen for eye in eyes] == [2, 1, 2] and "and is removed" in caplog.text
    observers.remove(eyes[0])
    assert node.observer is eyes[2], "one alone is called with nothing in between"
    observers.remove(eyes[2])
    assert node.observer is None
