"""What follows from the operators' file while a node runs: a list of parts, each on where its table is there.

It is loaded where there is such a file, and each part by the first settings that switch it on (those of the
start by `load`). A new part is a class with the shape of `Part` and a line in `KINDS`.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from balancer.net.component import Component, RunningNode
from balancer.net.reload import reread
from balancer.operator_settings import OperatorSettings

if TYPE_CHECKING:
    from balancer.core.discovery.etcd_watcher.config import EtcdConfig

log = logging.getLogger(__name__)

ComponentFactory = Callable[[RunningNode], Component]


class ComponentKind(NamedTuple):
    """One kind of part: whether settings have it on, and what loads its modules and says how it is made."""

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

    def make(running: RunningNode) -> Component:
        fleet, told = running.fleet, running.node.settings

        def source(config: EtcdConfig, seen: tuple[str, int] | None) -> EtcdDiscovery:
            return EtcdDiscovery(config, fleet.handle, seen=seen, me=told.node_index, nodes=told.node_count)

        return EtcdComponent(fleet, running.configured_sources, source)

    return make


def _timeline() -> ComponentFactory:
    from balancer.net.timeline import TimelineComponent

    return TimelineComponent


def _metrics() -> ComponentFactory:
    from balancer.net.metrics_server import MetricsComponent

    return MetricsComponent


def _control() -> ComponentFactory:
    from balancer.net.admin_socket import AdminSocketComponent

    return lambda running: AdminSocketComponent(running.control)


COMPONENT_KINDS = (  # in the order in which they change; they are closed the other way round
    ComponentKind("recovery", lambda settings: True, _recovery),
    ComponentKind("state", lambda settings: settings.state is not None, _state),  # tells the one before
    ComponentKind("peers", lambda settings: settings.peers is not None, _peers),  # rests on the two before
    ComponentKind("etcd", lambda settings: settings.membership.etcd is not None, _etcd),
    ComponentKind("timeline", lambda settings: settings.timeline is not None, _timeline),
    ComponentKind(
        "metrics", lambda settings: settings.metrics is not None, _metrics
    ),  # rests on the time line
    ComponentKind("control", lambda settings: settings.control is not None, _control),
)


def load(settings: OperatorSettings) -> None:
    """Load what these settings switch on, before the loop is there."""
    for kind in COMPONENT_KINDS:
        if kind.is_enabled(settings):
            with contextlib.suppress(Exception):  # `Parts` says it, and goes on without that part
                kind.load()


class Components:
    """All parts of a running node. `path` is the operators' file, None where there is none to read again."""

    def __init__(
        self,
        path: Path | None,
        operators: OperatorSettings,
        running: RunningNode,
        kinds: Sequence[ComponentKind] = COMPONENT_KINDS,
    ) -> None:
        self.path, self.operators, self.running, self.kinds = path, operators, running, kinds
        self.running_components: dict[str, Component] = {}
        running.control.register("members", running.fleet.report)
        self.apply(operators)

    def reload(self) -> None:
        """Read the file again; a bad one changes nothing."""
        if self.path is not None:
            self.operators = reread(self.path, self.operators, self.apply)

    def apply(self, new: OperatorSettings) -> None:
        """Carry out other settings than those before. Never raises: a part that fails is named in the log."""
        self.operators = new
        for kind in self.kinds:
            try:
                if kind.name not in self.running_components:
                    if not kind.is_enabled(new):
                        continue
                    self.running_components[kind.name] = kind.load()(self.running)
                self.running_components[kind.name].apply(new)
            except ValueError as err:  # the file was well when it was checked, a moment ago
                log.error("%s: %s; what was there before goes on", kind.name, err)
            except Exception:  # guards the other parts against a fault of this one
                log.exception("%s: the change failed", kind.name)

    async def close(self) -> None:
        """Switch off what is on."""
        for name, part in reversed(self.running_components.items()):
            try:
                await part.close()
            except Exception:  # guards the other parts against a fault of this one
                log.exception("%s: the end failed", name)
