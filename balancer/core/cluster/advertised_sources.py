"""Computes the source positions that a node advertises, so that peers can compare them with their own."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable
from typing import NamedTuple

from balancer.core.cluster.node_state import GOSSIP_SOURCE_NAME
from balancer.core.discovery.source_state import Source, SourceState


class SourcePosition(NamedTuple):
    """A node's position in a source's revisions; `state` is an index into `endpoint_merger.SourceState`."""

    source: str
    identity_hash: int
    revision: int
    state: int


def identity_hash(identity: str | None) -> int:
    """Returns a 32-bit hash of a source's identity, or 0 if it has none yet."""
    return zlib.crc32(identity.encode()) or 1 if identity is not None else 0


def source_identity_hash(source: Source, sources_with_local_agents: Collection[str] = ()) -> int:
    """Returns the hash of the identity within which a source's revisions are ordered.

    Each node reaches a source with local agents through its own agent, at an address of its own. The
    identities therefore differ although the revisions belong to one list, so the name is hashed instead.
    """
    has_local_agent = source.identity is not None and source.name in sources_with_local_agents
    return identity_hash(source.name if has_local_agent else source.identity)


def advertised_sources(
    sources: Iterable[Source], sources_with_local_agents: Collection[str] = ()
) -> tuple[SourcePosition, ...]:
    """Returns the positions of a node's own sources, without the gossip source."""
    states = tuple(SourceState)
    return tuple(
        SourcePosition(
            source.name,
            source_identity_hash(source, sources_with_local_agents),
            source.revision or 0,
            states.index(source.state),
        )
        for source in sources
        if source.name != GOSSIP_SOURCE_NAME
    )


def is_comparable(sources: Iterable[Source]) -> bool:
    """Whether the view consists only of complete lists from own sources, so that digests are comparable."""
    return not any(
        source.pending_records
        or source.has_cached_records
        or source.needs_snapshot
        or source.invalid_entries
        or (source.name == GOSSIP_SOURCE_NAME and (source.records or source.removed_ids))
        for source in sources
    )
