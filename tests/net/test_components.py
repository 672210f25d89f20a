"""Tests of the components of the operators' file: an error in one does not affect the others."""

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

ENABLED = OperatorSettings(control=ControlSettings())
ERRORS = [ValueError("a bad file"), ZeroDivisionError("a fault of the program")]


class RecordingComponent:
    """A component that records its calls and raises `fails` if that is set."""

    def __init__(self, name: str, calls: list[str]) -> None:
        self.name, self.calls = name, calls
        self.fails: Exception | None = None

    def apply(self, settings: OperatorSettings) -> None:
        """Record the call or raise."""
        if self.fails is not None:
            raise self.fails
        self.calls.append(f"{self.name} {'off' if settings.control is None else 'on'}")

    async def close(self) -> None:
        """Record the call or raise."""
        if self.fails is not None:
            raise self.fails
        self.calls.append(f"{self.name} closed")


class ComponentsFixture:
    """Three recording components; creating `b` fails once if `create_error` is set."""

    def __init__(self, path: Path | None = None, create_error: Exception | None = None) -> None:
        self.calls: list[str] = []
        self.recorders = {name: RecordingComponent(name, self.calls) for name in "abc"}
        self.create_error = create_error
        kinds = [
            ComponentKind(n, lambda s: s.control is not None, partial(partial, self.make, n)) for n in "abc"
        ]
        node: Any = None
        running = RunningNode(node, cast(Any, self), (), AdminSocket())
        self.components = Components(path, OperatorSettings(), running, kinds)

    def report(self) -> dict[str, Any]:
        """Stand in for `EndpointView.report`."""
        return {}

    def make(self, name: str, running: RunningNode) -> RecordingComponent:
        """Return the component or raise the error."""
        if name == "b" and self.create_error is not None:
            error, self.create_error = self.create_error, None
            raise error
        return self.recorders[name]

    def take_calls(self) -> list[str]:
        """Return the calls recorded since the last time."""
        out = self.calls[:]
        self.calls.clear()
        return out


def test_component_is_created_when_first_enabled_and_closed_in_reverse_order() -> None:
    fixture = ComponentsFixture()
    assert fixture.components.running_components == {} and fixture.take_calls() == []
    fixture.components.apply(ENABLED)
    fixture.components.apply(OperatorSettings())
    assert fixture.take_calls() == ["a on", "b on", "c on", "a off", "b off", "c off"]
    asyncio.run(fixture.components.close())
    assert fixture.take_calls() == ["c closed", "b closed", "a closed"]


@pytest.mark.parametrize("fault", ERRORS, ids=lambda fault: type(fault).__name__)
def test_component_that_cannot_apply_settings_does_not_affect_others(
    fault: Exception, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "s.toml").write_text(f'[control]\nsocket = "{tmp_path}/c.sock"\n')
    fixture = ComponentsFixture(tmp_path / "s.toml")
    fixture.recorders["a"].fails = fault
    fixture.components.reload()  # as SIGHUP does
    assert (
        fixture.take_calls() == ["b on", "c on"] and fixture.components.operator_settings.control is not None
    )
    is_value_error = isinstance(fault, ValueError)
    message = (
        f"a: {fault}; the previous settings stay in force"
        if is_value_error
        else "a: applying settings failed"
    )
    assert message in caplog.text and ("Traceback" in caplog.text) is not is_value_error
    fixture.recorders["a"].fails = None
    fixture.components.apply(OperatorSettings())
    assert fixture.take_calls() == ["a off", "b off", "c off"]


@pytest.mark.parametrize("fault", ERRORS, ids=lambda fault: type(fault).__name__)
def test_component_that_cannot_be_created_is_created_by_the_next_settings(
    fault: Exception, caplog: pytest.LogCaptureFixture
) -> None:
    fixture = ComponentsFixture(create_error=fault)
    fixture.components.apply(ENABLED)
    assert fixture.take_calls() == ["a on", "c on"] and caplog.text
    fixture.components.apply(ENABLED)
    assert fixture.take_calls() == ["a on", "b on", "c on"]


def test_component_that_cannot_close_does_not_keep_others_open(caplog: pytest.LogCaptureFixture) -> None:
    fixture = ComponentsFixture()
    fixture.components.apply(ENABLED)
    fixture.take_calls()
    fixture.recorders["b"].fails = ERRORS[1]
    asyncio.run(fixture.components.close())
    assert fixture.take_calls() == ["c closed", "a closed"] and "b: close failed" in caplog.text


def test_metrics_with_a_changed_time_line_follow_it(caplog: pytest.LogCaptureFixture) -> None:
    """Metrics read the current time line; without a time line there is no metrics server."""
    metrics = next(kind for kind in COMPONENT_KINDS if kind.name == "metrics")
    settings = OperatorSettings(timeline=TimelineSettings(), metrics=MetricsSettings(listen=("127.0.0.1", 0)))

    async def test() -> None:
        running = RunningNode(cast(Any, None), cast(Any, None), (), AdminSocket())
        component: Any = metrics.load()(running)
        component.apply(settings)
        assert component._target is None, "no time line is on"
        for _ in range(2):
            running.timeline_monitor = cast(Any, object())
            component.apply(settings)
            move_task = component._switch_task
            component.apply(settings)
            assert component._switch_task is move_task, "nothing changed"
            await move_task
            assert component._server.metrics.watch is running.timeline_monitor
        running.timeline_monitor = None
        component.apply(settings)
        await component._switch_task
        assert component._server is None
        await component.close()

    with caplog.at_level(logging.INFO):
        asyncio.run(test())
    assert caplog.text.count("metrics at http://127.0.0.1:") == 2


def test_observer_that_fails_is_removed_alone(caplog: pytest.LogCaptureFixture) -> None:
    class CountingObserver:
        def __init__(self, fails: bool = False) -> None:
            self.fails, self.decision_count = fails, 0

        def on_decision(self, now_ms: float, event: Any, actions: Any) -> None:
            self.decision_count += 1
            if self.fails:
                raise ZeroDivisionError

    node: Any = type("Node", (), {"observer": None})()
    observers, counting_observers = (
        Observers(node),
        [CountingObserver(), CountingObserver(True), CountingObserver()],
    )
    for counter in counting_observers:
        observers.add(counter)
    for _ in range(2):
        node.observer.on_decision(0.0, None, [])
    assert [counter.decision_count for counter in counting_observers] == [
        2,
        1,
        2,
    ] and "and is removed" in caplog.text
    observers.remove(counting_observers[0])
    assert node.observer is counting_observers[2], "a single observer is called directly"
    observers.remove(counting_observers[2])
    assert node.observer is None
