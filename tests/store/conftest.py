"""Fixtures of the store's tests."""

from __future__ import annotations

import pytest

from balancer.store.engine import Put
from balancer.store.sqlite_file import SealedFile
from balancer.testbed.simulated_disk import (
    SimulatedFileSystem,
)
from tests.store.durable_node import (
    Node,
    TwoGenerations,
    stored_values,
)


def two_generations() -> TwoGenerations:
    """Two generations with different rows, and a journal."""
    node = Node()
    node.engine.open()
    node.commit(Put("view", "a", b"old" * 40))
    node.append(b"r1", b"r2", b"r3")
    node.engine.begin_generation()
    first = stored_values(node.engine)
    node.commit(Put("view", "a", b"new" * 40), Put("view", "b", b"more" * 40))
    second = stored_values(node.engine)
    node.close()
    disk = node.disk.copy()
    for name in [n for n in disk.files if n.endswith("-wal")]:  # moves all that is durable to the main file
        db = SealedFile(SimulatedFileSystem(disk), name.removesuffix("-wal"))
        db.checkpoint_and_close()
    return TwoGenerations(disk.copy(), [second, first])


@pytest.fixture(scope="module")
def two_generation_disk() -> TwoGenerations:
    return two_generations()
