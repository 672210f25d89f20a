"""What follows from the operators' file while a node runs: a list of parts, each on where its table is there.

It is loaded where there is such a file, and each part by the first settings that switch it on. A new part is
a class with the shape of `Part` and a line in `KINDS`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from dillport.net.part import Part, Running
from dillport.net.reload import reread
from dillport.operators import Operators

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Kind:
    """One kind of part: whether settings have it on, and how it is made, which loads its modules."""

    name: str
    on: Callable[[Operators], bool]
    make: Callable[[Running], Part]


def _recovery(running: Running) -> Part:
    from dillport.net.recovery import RecoveryPart

    return RecoveryPart(running)


def _state(running: Running) -> Part:
    from dillport.net.state import StatePart

    return StatePart(running)


def _peers(running: Running) -> Part:
    from dillport.net.peers import PeersPart

    return PeersPart(running)


def _etcd(running: Running) -> Part:
    from dillport.net.etcd import EtcdPart
    from dillport.net.sources.etcd import EtcdSource

    fleet = running.fleet
    return EtcdPart(
        fleet, running.listed, lambda settings, seen: EtcdSource(settings, fleet.hand, seen=seen)
    )


def _timeline(running: Running) -> Part:
    from dillport.net.timeline import TimelinePart

    return TimelinePart(running)


def _metrics(running: Running) -> Part:
    from dillport.net.metrics import MetricsPart

    return MetricsPart(running)


def _control(running: Running) -> Part:
    from dillport.net.control import ControlPart

    return ControlPart(running.control)


KINDS = (  # in the order in which they change; they are closed the other way round
    Kind("recovery", lambda settings: True, _recovery),
    Kind("state", lambda settings: settings.state is not None, _state),  # tells the one before
    Kind("peers", lambda settings: settings.peers is not None, _peers),  # rests on the two before
    Kind("etcd", lambda settings: settings.membership.etcd is not None, _etcd),
    Kind("timeline", lambda settings: settings.timeline is not None, _timeline),
    Kind("metrics", lambda settings: settings.metrics is not None, _metrics),  # rests on the time line
    Kind("control", lambda settings: settings.control is not None, _control),
)


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
                    self.made[kind.name] = kind.make(self.running)
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
