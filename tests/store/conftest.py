"""Fixtures of the store's tests."""

from __future__ import annotations

import pytest

from balancer.store.engine import Put
from balancer.store.sqlite_file import SealedFile
from balancer.testbed.simulated_disk import (
    SimulatedFileSystem,
)
from tests.store.durable_node import (
    EngineHarness,
    TwoGenerations,
    stored_values,
)


def two_generations() -> TwoGenerations:
    """A disk with two generations with different rows, and a journal."""
    harness = EngineHarness()
    harness.engine.open()
    harness.commit(Put("view", "a", b"old" * 40))
    harness.append(b"r1", b"r2", b"r3")
    harness.engine.begin_generation()
    first_state = stored_values(harness.engine)
    harness.commit(Put("view", "a", b"new" * 40), Put("view", "b", b"more" * 40))
    second_state = stored_values(harness.engine)
    harness.close()
    disk = harness.disk.copy()
    for name in [n for n in disk.files if n.endswith("-wal")]:  # checkpoints the log into the main file
        sealed_file = SealedFile(SimulatedFileSystem(disk), name.removesuffix("-wal"))
        sealed_file.checkpoint_and_close()
    return TwoGenerations(disk.copy(), [second_state, first_state])


@pytest.fixture(scope="module")
def two_generation_disk() -> TwoGenerations:
    return two_generations()
