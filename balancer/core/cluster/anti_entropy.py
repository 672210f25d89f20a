"""Finds the entries in which two endpoint lists differ with a hash tree, without sending the lists.

The tree is a binary Merkle tree, as in Amazon Dynamo. A hash of an entry's name places it in one of the
LEAF_COUNT leaves. A tree node holds the exclusive or of the digests of the entries below it, so updating an
entry costs one step per level, and equal sets have equal digests regardless of the order of their changes.
If a tree node differs, the answer carries the digests LEVELS_PER_ANSWER levels below it, or the entries of
the leaf. Searches are stateless on both sides: the next search finds entries that were missed because of a
lost datagram or a bound.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from balancer.endpoints import EndpointRecord

TREE_DEPTH = 12  # levels below the root
LEAF_COUNT = 1 << TREE_DEPTH  # with 10,000 entries, two or three per leaf
LEVELS_PER_ANSWER = 3  # benchmarks/node_state_gossip.py compares 1 to 4
KEY_BITS = 64
DIGEST_MASK = (1 << 48) - 1  # applied to digests in datagrams
LIST_DIGEST_MASK = (1 << 32) - 1  # applied to the root's digest in `AdvertisedState`
# The numbers that fit in a datagram of 256 bytes with node names of 16 bytes.
MAX_DIGESTS_PER_DATAGRAM = 23
MAX_ENTRIES_PER_DATAGRAM = 13
MAX_ANSWER_DATAGRAMS = 16  # for each received datagram
MAX_DIFFERING_NAMES = 64  # in each `Difference`


class TreeDigest(NamedTuple):
    """The digest of a tree node; the root has index 1, and node n has the children 2n and 2n + 1."""

    tree_index: int
    digest: int


class LeafEntry(NamedTuple):
    """The hash of an entry's name (`entry_key`) and the digest of its content."""

    key: int
    digest: int


@dataclass(slots=True, frozen=True)
class TreeDigests:
    """A message with digests of tree nodes."""

    digests: tuple[TreeDigest, ...]


@dataclass(slots=True, frozen=True)
class LeafEntries:
    """A message with the first MAX_ENTRIES_PER_DATAGRAM entries of a leaf."""

    tree_index: int
    entries: tuple[LeafEntry, ...]


Message = TreeDigests | LeafEntries


@dataclass(slots=True, frozen=True)
class Difference:
    """The own entries that differ or that the peer lacks, and the number of entries missing on this side."""

    names: tuple[str, ...]
    missing_count: int


class Reply(NamedTuple):
    """The result of a message: at most MAX_ANSWER_DATAGRAMS answers, and the difference found, if any."""

    answers: list[Message]
    difference: Difference | None


def entry_key(name: str) -> int:
    """Returns the hash of a name, KEY_BITS wide, which determines the entry's leaf."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def entry_digest(record: EndpointRecord) -> int:
    """Returns the digest of an entry's content without its age and address, which may differ by node."""
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
    """The hash tree of one node's view, updated with the changes that `endpoint_merger` applies to it."""

    def __init__(self, levels_per_answer: int = LEVELS_PER_ANSWER) -> None:
        self._levels_per_answer = levels_per_answer
        self._tree = [0] * (2 * LEAF_COUNT)  # digests by tree index; index 0 is unused
        self._leaves: dict[int, dict[str, tuple[int, int]]] = {}  # tree index -> name -> key, digest

    def __len__(self) -> int:
        return sum(map(len, self._leaves.values()))

    @property
    def digest(self) -> int:
        """The 32-bit digest of the whole list (`AdvertisedState.endpoints_digest`); 0 if it is empty."""
        return self._tree[1] & LIST_DIGEST_MASK

    def apply(self, records: Iterable[EndpointRecord], removed: Iterable[EndpointRecord]) -> None:
        """Adds or replaces the entries of `records` and deletes those of `removed`."""
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
        """Returns the first message of a search, with the digests below the root."""
        return TreeDigests(tuple(self._descendant_digests(1)))

    def receive(self, message: Message) -> Reply:
        """Compares a peer's message with this tree."""
        match message:
            case LeafEntries():
                return Reply([], self._compare_leaf(message))
            case TreeDigests():
                return Reply(self._answer_digests(message), None)

    def _answer_digests(self, message: TreeDigests) -> list[Message]:
        """Answers with the entries of differing leaves, then with digests below other differing nodes."""
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
        """Returns the digests `levels_per_answer` levels below a tree node, but not below the leaves."""
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
        received_digests = dict(message.entries[:MAX_ENTRIES_PER_DATAGRAM])
        own_entries = self._leaves.get(message.tree_index) or {}
        # A full message may omit entries that the peer has.
        may_be_truncated = len(message.entries) >= MAX_ENTRIES_PER_DATAGRAM
        names = [
            name
            for name, (key, digest) in own_entries.items()
            if (not may_be_truncated or key in received_digests)
            and received_digests.get(key) != digest & DIGEST_MASK
        ]
        missing_count = len(received_digests.keys() - {key for key, _ in own_entries.values()})
        if not names and not missing_count:
            return None
        return Difference(tuple(names[:MAX_DIFFERING_NAMES]), missing_count)
