"""What a node advertises of its own sources: positions that peers can compare with theirs."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable
from typing import NamedTuple

from balancer.core.cluster.node_state import GOSSIP_SOURCE_NAME
from balancer.core.discovery.source_state import Source, SourceState


class SourcePosition(NamedTuple):
    """How far a node has followed a source; `state` is an index into `endpoint_merger.SourceState`."""

    source: str
    identity_hash: int
    revision: int
    state: int


def identity_hash(identity: str | None) -> int:
    """A source's identity in 32 bits; 0: there is none yet."""
    return zlib.crc32(identity.encode()) or 1 if identity is not None else 0


def source_identity_hash(source: Source, sources_with_local_agents: Collection[str] = ()) -> int:
    """The hash of the identity within which a source's revisions are ordered.

    Sources with local agents are those that each node hears through an agent at an address of its own. Their
    revisions belong to one list, though the identities differ, so the name stands for the identity.
    """
    has_local_agent = source.identity is not None and source.name in sources_with_local_agents
    return identity_hash(source.name if has_local_agent else source.identity)


def advertised_sources(
    sources: Iterable[Source], sources_with_local_agents: Collection[str] = ()
) -> tuple[SourcePosition, ...]:
    """The positions of a node's own sources; what peers reported is not among them."""
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
    """Whether the view consists of complete lists of the own sources, so that its digest may be compared."""
    return not any(
        source.pending_records
        or source.has_cached_records
        or source.needs_snapshot
        or source.invalid_entries
        or (source.name == GOSSIP_SOURCE_NAME and (source.records or source.removed_ids))
        for source in sources
    )
