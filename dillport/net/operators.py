"""What follows from the operators' file while a node runs: etcd, the time line, the control socket.

It is loaded where there is such a file, and each part by the first settings that switch it on.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from pathlib import Path
from typing import TYPE_CHECKING

from dillport.decide.membership import Source
from dillport.net.control import Control, ControlError
from dillport.net.fleet import Fleet
from dillport.net.node import Node
from dillport.net.reload import reread
from dillport.operators import ControlSettings, Operators

if TYPE_CHECKING:
    from dillport.net.etcd import EtcdPart
    from dillport.net.timeline import TimelinePart

CONTROL_RETRY = 2.0  # s until a control socket that could not be made is tried again


class OperatorsPart:
    """What follows from the operators' file while the node runs. `path` is None where there is no file."""

    def __init__(
        self, path: Path | None, operators: Operators, fleet: Fleet, others: tuple[Source, ...], node: Node
    ) -> None:
        self.path, self.operators, self.fleet, self.others, self.node = path, operators, fleet, others, node
        self.control = Control()
        self.control.register("members", fleet.report)
        self.etcd: EtcdPart | None = None
        self.timeline: TimelinePart | None = None
        self._etcd(operators)
        self._timeline(operators)
        self._changed = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._keep())

    def reload(self) -> None:
        """Read the file again; a bad one changes nothing."""
        if self.path is not None:
            self.operators = reread(self.path, self.operators, self.apply)

    def apply(self, new: Operators) -> None:
        """Carry out other settings than those before."""
        self.operators = new
        self._etcd(new)
        self._timeline(new)
        self._changed.set()

    def _etcd(self, operators: Operators) -> None:
        """Its modules are loaded by the first settings that switch it on."""
        if self.etcd is None and operators.membership.etcd is not None:
            from dillport.net.etcd import EtcdPart
            from dillport.net.sources.etcd import EtcdSource

            fleet = self.fleet
            self.etcd = EtcdPart(
                fleet, self.others, lambda settings, seen: EtcdSource(settings, fleet.hand, seen=seen)
            )
        if self.etcd is None:
            return
        try:
            self.etcd.apply(operators.membership.etcd)
        except ValueError as err:  # the file was well when it was checked, a moment ago
            logging.error("etcd: %s; what was there before goes on", err)

    def _timeline(self, operators: Operators) -> None:
        """Its modules are loaded by the first settings that switch it on."""
        if self.timeline is None and operators.timeline is not None:
            from dillport.net.timeline import TimelinePart

            self.timeline = TimelinePart(self.node, self.control)
        if self.timeline is not None:
            self.timeline.apply(operators.timeline, operators.metrics)

    async def close(self) -> None:
        """Switch off what is on."""
        if self.etcd is not None:
            self.etcd.stop()
        if self.timeline is not None:
            await self.timeline.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.control.close()

    async def _keep(self) -> None:
        """Keep the control socket where it is wanted, and try again while that fails.

        Guards against a node that does not serve because one that still drains holds the path.
        """
        said = ""
        while True:
            self._changed.clear()
            wait = None
            try:
                await self.control.listen(_socket(self.operators.control))
            except ControlError as err:
                wait = CONTROL_RETRY
                if said != str(err):
                    logging.error("control: %s; it is tried again every %g s", err, wait)
                said = str(err)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._changed.wait()


def _socket(settings: ControlSettings | None) -> Path | None:
    return None if settings is None else settings.socket
