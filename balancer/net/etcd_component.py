"""etcd as a source of the fleet's list: switched on, off and over by the operators' file while the node runs.

It is loaded where that file has the table, as all of etcd's modules are.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from balancer.core.discovery import endpoint_merger as membership
from balancer.core.discovery.etcd_watcher.config import EtcdConfig
from balancer.core.discovery.source_state import Source, SourceRole
from balancer.net.component import PEERS_SOURCE
from balancer.net.endpoint_view import EndpointView
from balancer.operator_settings import EtcdSettings, OperatorSettings

ETCD = "etcd"


class EtcdWatcher(Protocol):
    """What `EtcdPart` needs of a source; sources are made by whoever puts the node together."""

    @property
    def seen(self) -> tuple[str, int] | None:
        """The order in force and the newest revision delivered in it."""

    def start(self) -> None:
        """Begin."""

    def stop(self) -> None:
        """End; connections are closed on return."""


EtcdFactory = Callable[[EtcdConfig, tuple[str, int] | None], EtcdWatcher]


class EtcdComponent:
    """etcd as a source: on where the operators' file has its table. `others` come before it in precedence."""

    def __init__(self, fleet: EndpointView, others: tuple[Source, ...], make: EtcdFactory) -> None:
        self.fleet, self.others, self.make = fleet, others, make
        self.settings: EtcdSettings | None = None
        self.source: EtcdWatcher | None = None
        self._made = 0

    def apply(self, settings: OperatorSettings) -> None:
        """Switch it on, off or over; what was seen is not gone behind. Raises ValueError: a bad TLS file."""
        self._apply(settings.membership.etcd)

    async def close(self) -> None:
        """As `stop`."""
        self.stop()

    def _apply(self, settings: EtcdSettings | None) -> None:
        if settings == self.settings:
            return
        seen = None if self.source is None else self.source.seen
        source = None if settings is None else self.make(etcd_config(settings), seen)
        self.stop()
        self.settings, self.source = settings, source
        sources = self.others
        if settings is not None:
            self._made += 1
            sources = (
                *sources,
                Source(
                    ETCD,
                    SourceRole(settings.role),
                    has_partial_revisions=True,
                    configuration_generation=self._made,
                ),
            )
        behind = [one for one in self.fleet.merger.sources.values() if one.name == PEERS_SOURCE]
        self.fleet.handle(membership.SourcesConfigured((*sources, *behind)))
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
        bears=settings.bears,
    )
