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

from balancer.net.component import Part, Running
from balancer.net.reload import reread
from balancer.operator_settings import Operators

if TYPE_CHECKING:
    from balancer.core.discovery.etcd_watcher import EtcdConfig

log = logging.getLogger(__name__)

Make = Callable[[Running], Part]


class Kind(NamedTuple):
    """One kind of part: whether settings have it on, and what loads its modules and says how it is made."""

    name: str
    on: Callable[[Operators], bool]
    load: Callable[[], Make]


def _recovery() -> Make:
    from balancer.net.recovery import RecoveryPart

    return RecoveryPart


def _state() -> Make:
    from balancer.net.persistence import StatePart

    return StatePart


def _peers() -> Make:
    from balancer.net.cluster import PeersPart

    return PeersPart


def _etcd() -> Make:
    from balancer.net.discovery.etcd import EtcdSource
    from balancer.net.etcd_component import EtcdPart

    def make(running: Running) -> Part:
        fleet, told = running.fleet, running.node.settings

        def source(config: EtcdConfig, seen: tuple[str, int] | None) -> EtcdSource:
            return EtcdSource(config, fleet.hand, seen=seen, me=told.node_index, nodes=told.node_count)

        return EtcdPart(fleet, running.listed, source)

    return make


def _timeline() -> Make:
    from balancer.net.timeline import TimelinePart

    return TimelinePart


def _metrics() -> Make:
    from balancer.net.metrics_server import MetricsPart

    return MetricsPart


def _control() -> Make:
    from balancer.net.admin_socket import ControlPart

    return lambda running: ControlPart(running.control)


KINDS = (  # in the order in which they change; they are closed the other way round
    Kind("recovery", lambda settings: True, _recovery),
    Kind("state", lambda settings: settings.state is not None, _state),  # tells the one before
    Kind("peers", lambda settings: settings.peers is not None, _peers),  # rests on the two before
    Kind("etcd", lambda settings: settings.membership.etcd is not None, _etcd),
    Kind("timeline", lambda settings: settings.timeline is not None, _timeline),
    Kind("metrics", lambda settings: settings.metrics is not None, _metrics),  # rests on the time line
    Kind("control", lambda settings: settings.control is not None, _control),
)


def load(settings: Operators) -> None:
    """Load what these settings switch on, before the loop is there."""
    for kind in KINDS:
        if kind.on(settings):
            with contextlib.suppress(Exception):  # `Parts` says it, and goes on without that part
                kind.load()


class Parts:
    """All parts of a running node. `path` is the operators' file, None where there is none to read again."""

    def __init__(
        self, path: Path | None, operators: Operators, running: Running, kinds: Sequence[Kind] = KINDS
    ) -> None:
        self.path, self.operators, self.running, self.kinds = path, operators, running, kinds
        self.made: dict[str, Part] = {}
        running.control.register("members", running.fleet.report)
        self.apply(operators)

    def reload(self) -> None:
        """Read the file again; a bad one changes nothing."""
        if self.path is not None:
            self.operators = reread(self.path, self.operators, self.apply)

    def apply(self, new: Operators) -> None:
        """Carry out other settings than those before. Never raises: a part that fails is named in the log."""
        self.operators = new
        for kind in self.kinds:
            try:
                if kind.name not in self.made:
                    if not kind.on(new):
                        continue
                    self.made[kind.name] = kind.load()(self.running)
                self.made[kind.name].apply(new)
            except ValueError as err:  # the file was well when it was checked, a moment ago
                log.error("%s: %s; what was there before goes on", kind.name, err)
            except Exception:  # guards the other parts against a fault of this one
                log.exception("%s: the change failed", kind.name)

    async def close(self) -> None:
        """Switch off what is on."""
        for name, part in reversed(self.made.items()):
            try:
                await part.close()
            except Exception:  # guards the other parts against a fault of this one
                log.exception("%s: the end failed", name)
