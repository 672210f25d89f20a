"""Which entries of two lists differ, found by digests of parts of them: no list is sent.

Entries lie by a hash of their names in LEAVES leaves of a binary tree; a place holds the exclusive or of the
entries below it, so a change costs one step a level, and equal sets have equal digests in whatever order they
came. Of a place that differs the other side gets the digests DOWN levels below, of a leaf its entries. Both
sides hold no state of a search: what is lost on the way, or beyond the bound, is found by the next one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from balancer.endpoints import EndpointRecord

TREE_DEPTH = 12
LEAF_COUNT = 1 << TREE_DEPTH  # 10,000 entries: two or three a leaf
LEVELS_PER_ANSWER = 3  # levels an answer goes down: benchmarks/node_state_gossip.py weighs 1 to 4
DIGEST_MASK = (1 << 48) - 1
MAX_DIGESTS_PER_DATAGRAM, MAX_ENTRIES_PER_DATAGRAM = (
    23,
    13,
)  # of a datagram: what fits 256 bytes beside names of 16
MAX_ANSWER_DATAGRAMS = 16  # datagrams for one that came, at the most
MAX_DIFFERING_NAMES = 64  # differing names that are told at once


@dataclass(slots=True, frozen=True)
class TreeDigests:
    """A datagram: places and their digests."""

    digests: tuple[tuple[int, int], ...]


@dataclass(slots=True, frozen=True)
class LeafEntries:
    """A datagram: all entries of a leaf (key, digest); one of over ENTRIES is told in part."""

    tree_index: int
    entries: tuple[tuple[int, int], ...]


@dataclass(slots=True, frozen=True)
class Difference:
    """Names that differ, or that the other side does not have; and how many only the other side has."""

    names: tuple[str, ...]
    missing_count: int


def entry_key(name: str) -> int:
    """Where a name lies: 64 bits."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def entry_digest(member: EndpointRecord) -> int:
    """What is compared of an entry: all but its age and its address, which may be each node's own."""
    entry = member.endpoint
    said = (
        entry.id,
        entry.zone,
        entry.cell,
        entry.kind,
        entry.phase.value,
        entry.weight,
        entry.started_at_ms,
    )
    return int.from_bytes(blake2b(repr(said).encode(), digest_size=8).digest())


class DigestTree:
    """The digests of one view. Changed by what `membership.Apply` says."""

    def __init__(self, down: int = LEVELS_PER_ANSWER) -> None:
        self._levels_per_answer = down
        self._tree = [0] * (2 * LEAF_COUNT)  # place 1 is the root, 2p and 2p + 1 are below p
        self._leaves: dict[int, dict[str, tuple[int, int]]] = {}  # place -> name -> key, digest

    def __len__(self) -> int:
        return sum(map(len, self._leaves.values()))

    @property
    def digest(self) -> int:
        """Of the whole list, 32 bits, as it goes into a word (`views.Goes`); 0: it is empty."""
        return self._tree[1] & 0xFFFFFFFF

    def apply(self, members: Iterable[EndpointRecord], removed: Iterable[EndpointRecord]) -> None:
        """What changed in the view."""
        for member in members:
            self._set_entry(member.id, entry_digest(member))
        for member in removed:
            self._set_entry(member.id, None)

    def _set_entry(self, name: str, digest: int | None) -> None:
        key = entry_key(name)
        place = LEAF_COUNT + (key >> 64 - TREE_DEPTH)
        leaf = self._leaves.setdefault(place, {})
        _, before = leaf.pop(name, (0, 0))
        if digest is not None:
            leaf[name] = (key, digest)
        elif not leaf:
            del self._leaves[place]
        change = before ^ (digest or 0)
        while place and change:
            self._tree[place] ^= change
            place >>= 1

    def start_search(self) -> TreeDigests:
        """What begins a search: the first digests below the root."""
        return TreeDigests(tuple(self._descendant_digests(1)))

    def _descendant_digests(self, place: int) -> list[tuple[int, int]]:
        down = min(self._levels_per_answer, TREE_DEPTH - place.bit_length() + 1)
        return [(p, self._tree[p] & DIGEST_MASK) for p in range(place << down, (place + 1) << down)]

    def receive(
        self, told: TreeDigests | LeafEntries
    ) -> tuple[list[TreeDigests | LeafEntries], Difference | None]:
        """What to answer, at most ANSWERS datagrams, and what was found."""
        if isinstance(told, LeafEntries):
            return [], self._compare_leaf(told)
        out: list[TreeDigests | LeafEntries] = []
        digests: list[tuple[int, int]] = []
        for place, digest in told.digests[:MAX_DIGESTS_PER_DATAGRAM]:
            if not 0 < place < 2 * LEAF_COUNT or self._tree[place] & DIGEST_MASK == digest:
                continue
            if place < LEAF_COUNT:
                digests += self._descendant_digests(place)
            else:
                mine = (self._leaves.get(place) or {}).values()
                out.append(
                    LeafEntries(
                        place,
                        tuple((key, value & DIGEST_MASK) for key, value in mine)[:MAX_ENTRIES_PER_DATAGRAM],
                    )
                )
        out += [
            TreeDigests(tuple(digests[at : at + MAX_DIGESTS_PER_DATAGRAM]))
            for at in range(0, len(digests), MAX_DIGESTS_PER_DATAGRAM)
        ]
        return out[:MAX_ANSWER_DATAGRAMS], None

    def _compare_leaf(self, told: LeafEntries) -> Difference | None:
        theirs: Sequence[tuple[int, int]] = told.entries[:MAX_ENTRIES_PER_DATAGRAM]
        held, mine = dict(theirs), self._leaves.get(told.tree_index) or {}
        part = len(theirs) == MAX_ENTRIES_PER_DATAGRAM  # what is not named there may be there all the same
        names = [
            name
            for name, (key, digest) in mine.items()
            if (not part or key in held) and held.get(key) != digest & DIGEST_MASK
        ]
        missing = len(held.keys() - {key for key, _ in mine.values()})
        return Difference(tuple(names[:MAX_DIFFERING_NAMES]), missing) if names or missing else None
