"""Tests of the endpoint view: exceptions in its sink and listeners, and reconfigured sources."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import Any

import pytest

from balancer.core.cluster import gossiped_removals
from balancer.core.discovery.endpoint_merger import ApplyEndpoints, SourceConfirmedCurrent
from balancer.core.discovery.etcd_watcher.config import EtcdConfig
from balancer.core.discovery.source_state import Source
from balancer.endpoints import EndpointRecord
from balancer.net.discovery.etcd import EtcdDiscovery
from balancer.net.endpoint_view import EndpointView
from balancer.net.etcd_component import ETCD, EtcdComponent
from balancer.operator_settings import EtcdSettings, Membership, OperatorSettings
from tests.net.test_etcd_discovery import (
    WAIT_TIMEOUT_S,
    Gateway,
    b64,
    run,
    until,
    value,
)


class Sink:
    """Builds the view from its changes; raises once on request."""

    def __init__(self) -> None:
        self.view: dict[str, EndpointRecord] = {}
        self.failing = False

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time() * 1000

    def apply(self, change: ApplyEndpoints) -> None:
        """Apply a change, or raise."""
        if self.failing:
            self.failing = False
            raise ZeroDivisionError
        for gone in change.removed_records:
            self.view.pop(gone.id)
        for record in change.records:
            self.view[record.id] = record


def settings_with_etcd(etcd: EtcdSettings) -> OperatorSettings:
    """Return operators' settings with this etcd table."""
    return OperatorSettings(membership=Membership(etcd=etcd))


def test_exception_in_the_sink_does_not_end_a_source(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a source that stops working after handling of its event raised."""

    async def test() -> None:
        gateway, sink = await Gateway().start(), Sink()
        gateway.keys = {b"/m/a": value()}
        endpoint_view = EndpointView(sink, [Source(ETCD, has_partial_revisions=True)])
        source = EtcdDiscovery(EtcdConfig((gateway.url,), "/m/"), endpoint_view.handle)
        sink.failing = True
        source.start()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            stream = await gateway.streams.get()
        stream.events((b"/m/b", value(2)))
        await until(lambda: "b" in sink.view)
        source.stop()
        gateway.stop()

    with caplog.at_level(logging.ERROR):
        run(test)
    assert "ZeroDivisionError" in caplog.text


@pytest.mark.parametrize("change", [{"prefix": "/other/"}, {"format": "grpc-naming"}])
def test_new_prefix_or_format_of_an_idle_etcd_applies_at_once(change: dict[str, Any]) -> None:
    """Guards against a list that is not applied because its revision is not newer than the old prefix's."""

    async def test() -> None:
        gateway, sink = await Gateway().start(), Sink()
        gateway.keys = {b"/m/a": value()}
        endpoint_view = EndpointView(sink, [Source("platform")])
        other_sources = (Source("platform"),)
        component = EtcdComponent(
            endpoint_view,
            other_sources,
            lambda config, resume_position: EtcdDiscovery(
                config, endpoint_view.handle, resume_position=resume_position
            ),
        )
        settings = EtcdSettings(endpoints=(gateway.url,), prefix="/m/")
        component.apply(settings_with_etcd(settings))
        await until(lambda: list(sink.view) == ["a"])
        gateway.keys = {b"/other/b": value(2), b"/m/c": b'{"Op":0,"Addr":"10.0.0.1:3"}'}
        component.apply(settings_with_etcd(replace(settings, **change)))
        await until(lambda: "a" not in sink.view)
        await until(lambda: len(sink.view) == 1)
        component.stop()
        gateway.stop()

    run(test)


def test_rest_of_a_partial_revision_is_applied_by_a_reconfigured_source() -> None:
    async def test() -> None:
        gateway, sink = await Gateway().start(), Sink()
        gateway.keys = {b"/m/a": value(), b"/m/b": value(2)}
        endpoint_view = EndpointView(sink, [])
        component = EtcdComponent(
            endpoint_view,
            (),
            lambda config, resume_position: EtcdDiscovery(
                config, endpoint_view.handle, resume_position=resume_position
            ),
        )
        settings = EtcdSettings(endpoints=(gateway.url,), prefix="/m/")
        component.apply(settings_with_etcd(settings))
        await until(lambda: len(sink.view) == 2)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            stream = await gateway.streams.get()
        gateway.keys, gateway.revision = {}, 11
        deletion = {"type": "DELETE", "kv": {"key": b64(b"/m/a"), "mod_revision": "11"}}
        stream.line(events=[deletion], fragment=True)
        await until(lambda: list(sink.view) == ["b"])
        component.apply(
            settings_with_etcd(replace(settings, endpoints=(gateway.url.replace("127.0.0.1", "localhost"),)))
        )
        await until(lambda: not sink.view)
        component.stop()
        gateway.stop()

    run(test)


def test_peers_source_stays_last_when_etcd_is_added_and_removed() -> None:
    async def test() -> None:
        first = Source("platform")
        endpoint_view = EndpointView(Sink(), [first, gossiped_removals.gossip_source()])
        component = EtcdComponent(
            endpoint_view,
            (first,),
            lambda config, resume_position: EtcdDiscovery(
                config, endpoint_view.handle, resume_position=resume_position
            ),
        )
        component.apply(settings_with_etcd(EtcdSettings(endpoints=("http://127.0.0.1:9",), prefix="/m/")))
        assert [*endpoint_view.merger.sources] == ["platform", ETCD, "peers"]
        component.apply(OperatorSettings())
        assert [*endpoint_view.merger.sources] == ["platform", "peers"]

    run(test)


def test_listener_that_raises_does_not_affect_the_view_or_other_listeners(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        sink, received_events = Sink(), list[object]()
        endpoint_view = EndpointView(sink, [Source("platform")])

        def failing_listener(event: object, actions: object) -> None:
            raise KeyError

        endpoint_view.listeners += [failing_listener, lambda event, actions: received_events.append(event)]
        endpoint_view.handle(SourceConfirmedCurrent("platform"))
        assert (
            received_events == [SourceConfirmedCurrent("platform")]
            and "a listener failed on SourceConfirmedCurrent" in caplog.text
        )

    run(test)
