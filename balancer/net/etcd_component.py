"""Runs etcd as a source of the endpoint list, as configured by the operators' file.

Like all etcd modules it is loaded only if that file has an etcd table.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher.config import EtcdConfig
from balancer.core.discovery.source_state import Source, SourceRole
from balancer.net.component import PEERS_SOURCE
from balancer.net.endpoint_view import EndpointView
from balancer.operator_settings import EtcdSettings, OperatorSettings

ETCD = "etcd"


class EtcdSource(Protocol):
    """What `EtcdComponent` requires of a source; the factory is passed in by `net/components`."""

    @property
    def resume_position(self) -> tuple[str, int] | None:
        """The cluster identity and the newest revision delivered from it."""

    def start(self) -> None:
        """Start watching."""

    def stop(self) -> None:
        """Stop watching; all connections are closed on return."""


EtcdSourceFactory = Callable[[EtcdConfig, tuple[str, int] | None], EtcdSource]


class EtcdComponent:
    """Enables etcd as a source while the operators' file has its table.

    `configured_sources` take precedence over it.
    """

    def __init__(
        self,
        endpoint_view: EndpointView,
        configured_sources: tuple[Source, ...],
        create_source: EtcdSourceFactory,
    ) -> None:
        self.endpoint_view, self.configured_sources, self.create_source = (
            endpoint_view,
            configured_sources,
            create_source,
        )
        self.settings: EtcdSettings | None = None
        self.source: EtcdSource | None = None
        self._generation = 0

    def apply(self, settings: OperatorSettings) -> None:
        """Enable, disable or change the source, which continues from the last position.

        Raises ValueError if a TLS file cannot be used.
        """
        self._apply(settings.membership.etcd)

    async def close(self) -> None:
        """Stop the source."""
        self.stop()

    def _apply(self, settings: EtcdSettings | None) -> None:
        if settings == self.settings:
            return
        resume_position = None if self.source is None else self.source.resume_position
        source = None if settings is None else self.create_source(etcd_config(settings), resume_position)
        self.stop()
        self.settings, self.source = settings, source
        sources = self.configured_sources
        if settings is not None:
            self._generation += 1
            sources = (
                *sources,
                Source(
                    ETCD,
                    SourceRole(settings.role),
                    has_partial_revisions=True,
                    configuration_generation=self._generation,
                ),
            )
        peer_sources = [
            other for other in self.endpoint_view.merger.sources.values() if other.name == PEERS_SOURCE
        ]
        self.endpoint_view.handle(endpoint_merger.SourcesConfigured((*sources, *peer_sources)))
        if source is not None:
            source.start()

    def stop(self) -> None:
        """Close the connections; the last list stays in force."""
        if self.source is not None:
            self.source.stop()


def etcd_config(settings: EtcdSettings) -> EtcdConfig:
    """Convert the operators' table to the configuration of the source."""
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
