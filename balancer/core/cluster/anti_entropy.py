"""Finds the entries in which two endpoint lists differ, by a hash tree; the lists themselves are not sent.

Entries are placed in the LEAF_COUNT leaves of a binary tree by a hash of their names (a Merkle tree, as in
Amazon Dynamo). A node of the tree holds the exclusive or of the digests of the entries below it, so a change
costs one step per level, and equal sets have equal digests whatever the order of their changes. Where a tree
node differs, the answer carries the digests LEVELS_PER_ANSWER levels below it, or the entries of the leaf.
Neither side keeps state of a search: what is lost on the way or exceeds a bound is found by the next one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from balancer.endpoints import EndpointRecord

TREE_DEPTH = 12  # levels below the root
LEAF_COUNT = 1 << TREE_DEPTH  # two or three of 10,000 entries to a leaf
LEVELS_PER_ANSWER = 3  # benchmarks/node_state_gossip.py compares 1 to 4
KEY_BITS = 64
DIGEST_MASK = (1 << 48) - 1  # of the digests that are sent
LIST_DIGEST_MASK = (1 << 32) - 1  # of the root's digest, as nodes advertise it
# What fits a datagram of 256 bytes beside node names of 16 bytes.
MAX_DIGESTS_PER_DATAGRAM = 23
MAX_ENTRIES_PER_DATAGRAM = 13
MAX_ANSWER_DATAGRAMS = 16  # to one datagram
MAX_DIFFERING_NAMES = 64  # reported at once


class TreeDigest(NamedTuple):
    """The digest of a tree node. The root has the index 1, the children of node n are 2n and 2n + 1."""

    tree_index: int
    digest: int


class LeafEntry(NamedTuple):
    """The hash of an entry's name and the digest of its content."""

    key: int
    digest: int


@dataclass(slots=True, frozen=True)
class TreeDigests:
    """A datagram: digests of tree nodes."""

    digests: tuple[TreeDigest, ...]


@dataclass(slots=True, frozen=True)
class LeafEntries:
    """A datagram: the entries of a leaf, the first MAX_ENTRIES_PER_DATAGRAM if there are more."""

    tree_index: int
    entries: tuple[LeafEntry, ...]


Message = TreeDigests | LeafEntries


@dataclass(slots=True, frozen=True)
class Difference:
    """Own entries that differ or that the other side lacks, and the number that this side lacks."""

    names: tuple[str, ...]
    missing_count: int


class Reply(NamedTuple):
    """What follows from a message: at most MAX_ANSWER_DATAGRAMS answers, and what was found."""

    answers: list[Message]
    difference: Difference | None


def entry_key(name: str) -> int:
    """The hash that places an entry, KEY_BITS wide."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def entry_digest(record: EndpointRecord) -> int:
    """The digest of an entry's content, but for its age and its address, which may be each node's own."""
    endpoint = record.endpoint
    content = (
        endpoint.id,
        endpoint.zone,
        endpoint.cell,
        endpoint.kind,
        endpoint.phase.value,
        endpoint.weight,
        endpoint.started_at_ms,
    )
    return int.from_bytes(blake2b(repr(content).encode(), digest_size=8).digest())


class DigestTree:
    """The hash tree of one node's view, updated by what `endpoint_merger` applies to that view."""

    def __init__(self, levels_per_answer: int = LEVELS_PER_ANSWER) -> None:
        self._levels_per_answer = levels_per_answer
        self._tree = [0] * (2 * LEAF_COUNT)  # digests by tree index; index 0 is unused
        self._leaves: dict[int, dict[str, tuple[int, int]]] = {}  # tree index -> name -> key, digest

    def __len__(self) -> int:
        return sum(map(len, self._leaves.values()))

    @property
    def digest(self) -> int:
        """The digest of the whole list in 32 bits (`AdvertisedState.endpoints_digest`); 0: it is empty."""
        return self._tree[1] & LIST_DIGEST_MASK

    def apply(self, records: Iterable[EndpointRecord], removed: Iterable[EndpointRecord]) -> None:
        """Add or replace `records`, and drop `removed`."""
        for record in records:
            self._set_entry(record.id, entry_digest(record))
        for record in removed:
            self._set_entry(record.id, None)

    def _set_entry(self, name: str, digest: int | None) -> None:
        key = entry_key(name)
        tree_index = LEAF_COUNT + (key >> KEY_BITS - TREE_DEPTH)
        leaf = self._leaves.setdefault(tree_index, {})
        _, previous = leaf.pop(name, (0, 0))
        if digest is not None:
            leaf[name] = (key, digest)
        elif not leaf:
            del self._leaves[tree_index]
        change = previous ^ (digest or 0)
        while tree_index and change:
            self._tree[tree_index] ^= change
            tree_index >>= 1

    def start_search(self) -> TreeDigests:
        """The first message of a search: the digests below the root."""
        return TreeDigests(tuple(self._descendant_digests(1)))

    def receive(self, message: Message) -> Reply:
        """Compare a peer's message with this tree."""
        match message:
            case LeafEntries():
                return Reply([], self._compare_leaf(message))
            case TreeDigests():
                return Reply(self._answer_digests(message), None)

    def _answer_digests(self, message: TreeDigests) -> list[Message]:
        """Leaves first, then the digests below the other nodes that differ."""
        answers: list[Message] = []
        digests: list[TreeDigest] = []
        for tree_index, digest in message.digests[:MAX_DIGESTS_PER_DATAGRAM]:
            if not 0 < tree_index < 2 * LEAF_COUNT or self._tree[tree_index] & DIGEST_MASK == digest:
                continue
            if tree_index < LEAF_COUNT:
                digests += self._descendant_digests(tree_index)
            else:
                answers.append(self._leaf_entries(tree_index))
        for start in range(0, len(digests), MAX_DIGESTS_PER_DATAGRAM):
            answers.append(TreeDigests(tuple(digests[start : start + MAX_DIGESTS_PER_DATAGRAM])))
        return answers[:MAX_ANSWER_DATAGRAMS]

    def _descendant_digests(self, tree_index: int) -> list[TreeDigest]:
        """Digests `levels_per_answer` below a tree node, or those of the leaves if these are nearer."""
        levels = min(self._levels_per_answer, TREE_DEPTH - tree_index.bit_length() + 1)
        descendants = range(tree_index << levels, (tree_index + 1) << levels)
        return [TreeDigest(index, self._tree[index] & DIGEST_MASK) for index in descendants]

    def _leaf_entries(self, tree_index: int) -> LeafEntries:
        entries = [
            LeafEntry(key, digest & DIGEST_MASK)
            for key, digest in (self._leaves.get(tree_index) or {}).values()
        ]
        return LeafEntries(tree_index, tuple(entries[:MAX_ENTRIES_PER_DATAGRAM]))

    def _compare_leaf(self, message: LeafEntries) -> Difference | None:
        theirs = dict(message.entries[:MAX_ENTRIES_PER_DATAGRAM])
        own = self._leaves.get(message.tree_index) or {}
        # A full message may omit entries that the other side has.
        may_be_truncated = len(message.entries) >= MAX_ENTRIES_PER_DATAGRAM
        names = [
            name
            for name, (key, digest) in own.items()
            if (not may_be_truncated or key in theirs) and theirs.get(key) != digest & DIGEST_MASK
        ]
        missing_count = len(theirs.keys() - {key for key, _ in own.values()})
        if not names and not missing_count:
            return None
        return Difference(tuple(names[:MAX_DIFFERING_NAMES]), missing_count)
