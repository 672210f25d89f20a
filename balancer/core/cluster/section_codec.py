"""Defines the interface of the gossip section codec, which the caller passes to the core."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from balancer.core.cluster.node_state import AdvertisedState


class SectionCodec(Protocol):
    """The functions of `protocol/gossip_sections`, which this package must not import.

    A decoder returns None if the data is malformed.
    """

    NODE_STATE: int
    QUOTA_REPORT: int
    TREE_DIGESTS: int
    LEAF_ENTRIES: int
    REMOVALS: int
    REMOVALS_QUERY: int

    def encode_node_state(self, state: AdvertisedState, /) -> bytes: ...
    def decode_node_state(self, data: bytes, /) -> tuple[Any, ...] | None: ...
    def encode_quota_report(
        self,
        node_index: int,
        incarnation: int,
        acknowledged_incarnation: int,
        is_certain: bool,
        wants_reply: bool,
        newcomers: Iterable[tuple[int, int, bool]],
        /,
    ) -> bytes: ...
    def decode_quota_report(self, data: bytes, /) -> tuple[Any, ...] | None: ...
    def encode_tree_digests(self, digests: Iterable[tuple[int, int]], /) -> bytes: ...
    def decode_tree_digests(self, data: bytes, /) -> Sequence[tuple[int, int]]: ...
    def encode_leaf_entries(self, tree_index: int, entries: Iterable[tuple[int, int]], /) -> bytes: ...
    def decode_leaf_entries(self, data: bytes, /) -> tuple[int, Sequence[tuple[int, int]]] | None: ...
    def encode_removals(
        self, source: str, identity_hash: int, removals: Sequence[tuple[str, int, int]], /
    ) -> bytes: ...
    def decode_removals(self, data: bytes, /) -> tuple[str, int, Sequence[tuple[str, int, int]]] | None: ...
    def encode_removals_query(self, source: str, identity_hash: int, since_revision: int, /) -> bytes: ...
    def decode_removals_query(self, data: bytes, /) -> tuple[str, int, int] | None: ...
