"""Runs the components of the operators' file; each is enabled while its table is present.

This module is loaded only if there is such a file, and each component by the first settings that enable it
(at startup by `load`). To add one, implement `Component` and list it in `COMPONENT_KINDS`.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from balancer.net.component import Component, RunningNode
from balancer.net.reload import reload_settings
from balancer.operator_settings import OperatorSettings

if TYPE_CHECKING:
    from balancer.core.discovery.etcd_watcher.config import EtcdConfig

log = logging.getLogger(__name__)

ComponentFactory = Callable[[RunningNode], Component]


class ComponentKind(NamedTuple):
    """One kind of component: when settings enable it, and how to load its modules and get its factory."""

    name: str
    is_enabled: Callable[[OperatorSettings], bool]
    load: Callable[[], ComponentFactory]


def _recovery() -> ComponentFactory:
    from balancer.net.recovery import RecoveryComponent

    return RecoveryComponent


def _state() -> ComponentFactory:
    from balancer.net.persistence.component import PersistenceComponent

    return PersistenceComponent


def _peers() -> ComponentFactory:
    from balancer.net.cluster import ClusterComponent

    return ClusterComponent


def _etcd() -> ComponentFactory:
    from balancer.net.discovery.etcd import EtcdDiscovery
    from balancer.net.etcd_component import EtcdComponent

    def create_component(running: RunningNode) -> Component:
        endpoint_view, settings = running.endpoint_view, running.node.settings

        def create_source(config: EtcdConfig, resume_position: tuple[str, int] | None) -> EtcdDiscovery:
            return EtcdDiscovery(
                config,
                endpoint_view.handle,
                resume_position=resume_position,
                node_index=settings.node_index,
                node_count=settings.node_count,
            )

        return EtcdComponent(endpoint_view, running.configured_sources, create_source)

    return create_component


def _timeline() -> ComponentFactory:
    from balancer.net.timeline import TimelineComponent

    return TimelineComponent


def _metrics() -> ComponentFactory:
    from balancer.net.metrics_server import MetricsComponent

    return MetricsComponent


def _control() -> ComponentFactory:
    from balancer.net.admin_socket import AdminSocketComponent

    return lambda running: AdminSocketComponent(running.admin_socket)


COMPONENT_KINDS = (  # in the order in which settings are applied; closed in reverse order
    ComponentKind("recovery", lambda settings: True, _recovery),
    ComponentKind("state", lambda settings: settings.state is not None, _state),  # notifies recovery
    ComponentKind(
        "peers", lambda settings: settings.peers is not None, _peers
    ),  # depends on recovery and state
    ComponentKind("etcd", lambda settings: settings.membership.etcd is not None, _etcd),
    ComponentKind("timeline", lambda settings: settings.timeline is not None, _timeline),
    # Depends on the time line.
    ComponentKind("metrics", lambda settings: settings.metrics is not None, _metrics),
    ComponentKind("control", lambda settings: settings.control is not None, _control),
)


def load(settings: OperatorSettings) -> None:
    """Load the components that these settings enable, before the event loop starts."""
    for kind in COMPONENT_KINDS:
        if kind.is_enabled(settings):
            with contextlib.suppress(
                Exception
            ):  # `Components` logs the error and runs without that component
                kind.load()


class Components:
    """All components of a running node. `path` is the operators' file, None if there is none to reload."""

    def __init__(
        self,
        path: Path | None,
        operator_settings: OperatorSettings,
        running: RunningNode,
        kinds: Sequence[ComponentKind] = COMPONENT_KINDS,
    ) -> None:
        self.path, self.operator_settings, self.running, self.kinds = path, operator_settings, running, kinds
        self.running_components: dict[str, Component] = {}
        running.admin_socket.register("members", running.endpoint_view.report)
        self.apply(operator_settings)

    def reload(self) -> None:
        """Read the file again; an invalid file changes nothing."""
        if self.path is not None:
            self.operator_settings = reload_settings(self.path, self.operator_settings, self.apply)

    def apply(self, settings: OperatorSettings) -> None:
        """Apply new settings to all components. Never raises; errors are logged with the component's name."""
        self.operator_settings = settings
        for kind in self.kinds:
            try:
                if kind.name not in self.running_components:
                    if not kind.is_enabled(settings):
                        continue
                    self.running_components[kind.name] = kind.load()(self.running)
                self.running_components[kind.name].apply(settings)
            except ValueError as err:  # the file was valid when it was checked, a moment ago
                log.error("%s: %s; the previous settings stay in force", kind.name, err)
            except Exception:  # an error of one component must not affect the others
                log.exception("%s: applying settings failed", kind.name)

    async def close(self) -> None:
        """Close all components that are running."""
        for name, component in reversed(self.running_components.items()):
            try:
                await component.close()
            except Exception:  # an error of one component must not affect the others
                log.exception("%s: close failed", name)
