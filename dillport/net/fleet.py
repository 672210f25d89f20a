"""The fleet as the node sees it: one view, merged from the sources of its list, handed on to the node.

`Fleet` runs the merge. `EtcdPart` keeps the source that operators can switch on, off and over while it runs.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

from dillport.decide import membership
from dillport.decide.etcd_follow import EtcdConfig
from dillport.decide.membership import Membership, Role, Source
from dillport.operators import EtcdSettings

log = logging.getLogger(__name__)

ETCD = "etcd"


class ViewSink(Protocol):
    """Who is told of changes of the view."""

    def now(self) -> float:
        """Milliseconds; never goes back."""

    def apply(self, change: membership.Apply) -> None:
        """Take a change."""


class Fleet:
    """Runs the merge: events of sources in, changes of the view out. It decides nothing."""

    def __init__(self, sink: ViewSink, sources: list[Source]) -> None:
        self.sink = sink
        self.membership = Membership(sources)
        self.loop = asyncio.get_running_loop()

    def hand(self, event: membership.Event) -> None:
        """An event of a source. Never raises: a source in the middle of its work would stay so."""
        try:
            actions = self.membership.handle(self.sink.now(), event)
        except Exception:
            log.exception("membership: %s failed", type(event).__name__)
            return
        for action in actions:
            try:
                self._act(action)
            except Exception:
                log.exception("membership: %s was not carried out", type(action).__name__)

    def _act(self, action: membership.Action) -> None:
        match action:
            case membership.Apply():
                self.sink.apply(action)
            case membership.Continue():
                self.loop.call_soon(self.hand, membership.Continued())
            case membership.Say():
                log.log(logging.WARNING if action.loud else logging.INFO, "%s", action.text)

    def resume(self, name: str) -> int | None:
        """The revision to watch a source from; None: only its whole list will do."""
        return self.membership.resume(name)

    def report(self) -> dict[str, Any]:
        """What the sources say of whom, for operators."""
        return self.membership.report()


class EtcdLike(Protocol):
    """What `EtcdPart` needs of a source; sources are made by whoever puts the node together."""

    @property
    def seen(self) -> tuple[str, int] | None:
        """The order in force and the newest revision delivered in it."""

    def start(self) -> None:
        """Begin."""

    def stop(self) -> None:
        """End; connections are closed on return."""


Make = Callable[[EtcdConfig, tuple[str, int] | None], EtcdLike]


class EtcdPart:
    """etcd as a source: on where the operators' file has its table. `others` come before it in precedence."""

    def __init__(self, fleet: Fleet, others: tuple[Source, ...], make: Make) -> None:
        self.fleet, self.others, self.make = fleet, others, make
        self.settings: EtcdSettings | None = None
        self.source: EtcdLike | None = None
        self._made = 0

    def apply(self, settings: EtcdSettings | None) -> None:
        """Switch it on, off or over; what was seen is not gone behind. Raises ValueError: a bad TLS file."""
        if settings == self.settings:
            return
        seen = None if self.source is None else self.source.seen
        source = None if settings is None else self.make(etcd_config(settings), seen)
        self.stop()
        self.settings, self.source = settings, source
        sources = self.others
        if settings is not None:
            self._made += 1
            sources = (*sources, Source(ETCD, Role(settings.role), pieces=True, made=self._made))
        self.fleet.hand(membership.Configured(sources))
        if source is not None:
            source.start()

    def stop(self) -> None:
        """End its connections; its last word stays in force."""
        if self.source is not None:
            self.source.stop()


def etcd_config(settings: EtcdSettings) -> EtcdConfig:
    """The operators' table as the source takes it."""
    files = (settings.ca, settings.cert, settings.key)
    ca, cert, key = (None if path is None else str(path) for path in files)
    return EtcdConfig(
        endpoints=settings.endpoints,
        prefix=settings.prefix,
        format=settings.format,
        ca=ca,
        cert=cert,
        key=key,
        user=settings.user,
        password=settings.password if settings.user is not None else None,
        epoch=settings.epoch,
    )
