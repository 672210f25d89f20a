"""Properties are played on the same cases every time: `benchmarks/property_search.py` looks for new ones."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings

from balancer.net import process_memory

# Nor does a verdict hang on how fast the machine is: by default 200 ms are the most for a case.
settings.register_profile(
    "same", derandomize=True, database=None, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("same")


@pytest.fixture(autouse=True)
def resident_memory_of_a_node(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node in the process of the tests finds the memory of a node of its own, not that of the tests."""
    monkeypatch.setattr(process_memory, "resident_bytes", lambda: 27_000_000)
