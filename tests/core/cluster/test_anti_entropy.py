"""Tests of the search for differing entries: its results and its bounds."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.core.cluster.anti_entropy import (
    LEAF_COUNT,
    MAX_ANSWER_DATAGRAMS,
    DigestTree,
    TreeDigest,
    TreeDigests,
)
from balancer.protocol import gossip
from benchmarks.node_state_gossip import member, search

ENTRY_COUNT = 61
WEIGHTS_BY_NUMBER = st.dictionaries(st.integers(0, ENTRY_COUNT - 1), st.integers(1, 3))


def tree_with_history(weights: dict[int, int], levels_per_answer: int) -> DigestTree:
    """Returns a tree in which all entries were present earlier, some of them with another weight."""
    tree = DigestTree(levels_per_answer)
    tree.apply((member(number, 9.0) for number in range(ENTRY_COUNT)), ())
    tree.apply((), [member(number) for number in range(ENTRY_COUNT) if number not in weights])
    tree.apply([member(number, float(weight)) for number, weight in weights.items()], ())
    return tree


@settings(max_examples=60, deadline=None)
@given(WEIGHTS_BY_NUMBER, st.integers(1, 4))
def test_tree_digest_does_not_depend_on_the_history(weights: dict[int, int], levels: int) -> None:
    fresh = DigestTree()
    fresh.apply([member(number, float(weight)) for number, weight in sorted(weights.items())], ())
    assert fresh.digest == tree_with_history(weights, levels).digest


@settings(max_examples=60, deadline=None)
@given(WEIGHTS_BY_NUMBER, WEIGHTS_BY_NUMBER, st.integers(1, 4))
def test_search_from_both_sides_finds_exactly_the_differing_entries(
    one: dict[int, int], other: dict[int, int], levels: int
) -> None:
    """Both sides search, since a side has no names for the entries that it lacks."""
    trees = tree_with_history(one, levels), tree_with_history(other, levels)
    assert (trees[0].digest == trees[1].digest) == (one == other)
    names = search(trees[0], trees[1])[0] | search(trees[1], trees[0])[0]
    numbers = one.keys() | other.keys()
    assert names == {f"server-{number}" for number in numbers if one.get(number) != other.get(number)}


def test_search_among_ten_thousand_entries_is_bounded() -> None:
    one, other = DigestTree(), DigestTree()
    one.apply(map(member, range(10_000)), ())
    other.apply(map(member, range(10_000)), ())
    other.apply([member(7, 2.0)], ())
    names, datagram_count, size_bytes, _ = search(one, other)
    assert names == {"server-7"} and datagram_count <= 6
    assert size_bytes <= datagram_count * gossip.MAX_DATAGRAM_BYTES


def test_answers_to_any_digests_are_bounded() -> None:
    tree = DigestTree()
    tree.apply(map(member, range(10_000)), ())
    for start in (1, 200, LEAF_COUNT):
        digests = (TreeDigest(tree_index, 1) for tree_index in range(start, 2 * LEAF_COUNT))
        answers = tree.receive(TreeDigests(tuple(digests))).answers
        assert 1 < len(answers) <= MAX_ANSWER_DATAGRAMS


def test_digests_of_invalid_tree_indices_are_ignored() -> None:
    invalid = TreeDigests((TreeDigest(0, 1), TreeDigest(70_000, 1)))
    assert DigestTree().receive(invalid) == ([], None)
