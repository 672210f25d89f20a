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

LEVELS = 12
LEAVES = 1 << LEVELS  # 10,000 entries: two or three a leaf
DOWN = 3  # levels an answer goes down: benchmarks/node_state_gossip.py weighs 1 to 4
MASK = (1 << 48) - 1
DIGESTS, ENTRIES = 23, 13  # of a datagram: what fits 256 bytes beside names of 16
ANSWERS = 16  # datagrams for one that came, at the most
FOUND = 64  # differing names that are told at once


@dataclass(slots=True, frozen=True)
class Digests:
    """A datagram: places and their digests."""

    of: tuple[tuple[int, int], ...]


@dataclass(slots=True, frozen=True)
class Leaf:
    """A datagram: all entries of a leaf (key, digest); one of over ENTRIES is told in part."""

    place: int
    entries: tuple[tuple[int, int], ...]


@dataclass(slots=True, frozen=True)
class Differ:
    """Names that differ, or that the other side does not have; and how many only the other side has."""

    names: tuple[str, ...]
    missing: int


def key_of(name: str) -> int:
    """Where a name lies: 64 bits."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def digest_of(member: EndpointRecord) -> int:
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


class Halves:
    """The digests of one view. Changed by what `membership.Apply` says."""

    def __init__(self, down: int = DOWN) -> None:
        self._down = down
        self._tree = [0] * (2 * LEAVES)  # place 1 is the root, 2p and 2p + 1 are below p
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
            self._put(member.id, digest_of(member))
        for member in removed:
            self._put(member.id, None)

    def _put(self, name: str, digest: int | None) -> None:
        key = key_of(name)
        place = LEAVES + (key >> 64 - LEVELS)
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

    def ask(self) -> Digests:
        """What begins a search: the first digests below the root."""
        return Digests(tuple(self._below(1)))

    def _below(self, place: int) -> list[tuple[int, int]]:
        down = min(self._down, LEVELS - place.bit_length() + 1)
        return [(p, self._tree[p] & MASK) for p in range(place << down, (place + 1) << down)]

    def heard(self, told: Digests | Leaf) -> tuple[list[Digests | Leaf], Differ | None]:
        """What to answer, at most ANSWERS datagrams, and what was found."""
        if isinstance(told, Leaf):
            return [], self._compare(told)
        out: list[Digests | Leaf] = []
        digests: list[tuple[int, int]] = []
        for place, digest in told.of[:DIGESTS]:
            if not 0 < place < 2 * LEAVES or self._tree[place] & MASK == digest:
                continue
            if place < LEAVES:
                digests += self._below(place)
            else:
                mine = (self._leaves.get(place) or {}).values()
                out.append(Leaf(place, tuple((key, value & MASK) for key, value in mine)[:ENTRIES]))
        out += [Digests(tuple(digests[at : at + DIGESTS])) for at in range(0, len(digests), DIGESTS)]
        return out[:ANSWERS], None

    def _compare(self, told: Leaf) -> Differ | None:
        theirs: Sequence[tuple[int, int]] = told.entries[:ENTRIES]
        held, mine = dict(theirs), self._leaves.get(told.place) or {}
        part = len(theirs) == ENTRIES  # what is not named there may be there all the same
        names = [
            name
            for name, (key, digest) in mine.items()
            if (not part or key in held) and held.get(key) != digest & MASK
        ]
        missing = len(held.keys() - {key for key, _ in mine.values()})
        return Differ(tuple(names[:FOUND]), missing) if names or missing else None
