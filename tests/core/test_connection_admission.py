"""Tests of descriptor quotas."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balancer.core.connection_admission import (
    MIN_DESCRIPTORS,
    RESERVED_DESCRIPTORS,
    connection_limits,
    descriptor_quotas,
)


@given(st.integers(MIN_DESCRIPTORS, 100_000))
def test_descriptor_quotas_and_limits_add_up_to_all_descriptors(descriptors: int) -> None:
    clients, backends = descriptor_quotas(descriptors)
    served, overload = connection_limits(clients)
    assert clients + backends + RESERVED_DESCRIPTORS == descriptors and min(served, backends) >= 1
    assert served + overload == clients and 0 <= overload <= served
