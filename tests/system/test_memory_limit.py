"""The process of a node stays within `limits.memory_mb`, whatever mix of clients gets stuck in requests."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from pathlib import Path

import pytest

from balancer.testbed.memory_load.clients import Behavior
from balancer.testbed.memory_load.measurement import Measurement, NodeLimits, measure
from balancer.testbed.memory_load.slow_backends import BackendPlan

SECONDS = 5.0
INCOMPLETE_AND_WHOLE = {
    Behavior.SLOW_HEAD: 80,
    Behavior.MANY_FIELDS: 80,
    Behavior.SMALL_BODY: 80,
    Behavior.WHOLE_SMALL: 160,
    Behavior.WHOLE_LARGE: 160,
}
WHOLE = {Behavior.WHOLE_SMALL: 280, Behavior.WHOLE_LARGE: 280}
UNREAD = {Behavior.UNREAD: 180, Behavior.WHOLE_LARGE: 180, Behavior.LARGE_BODY: 180}
LEAVING = {Behavior.SMALL_BODY: 180, Behavior.LEAVING: 180, Behavior.WHOLE_LARGE: 180}
LONG_RESPONSES = BackendPlan(response_bytes=300_000)
MANY_BACKENDS = BackendPlan(backends=3_200)


def run(
    memory_mb: float, mix: Mapping[Behavior, int], directory: Path, plan: BackendPlan | None = None
) -> Measurement:
    limits = NodeLimits(memory_mb)
    result = asyncio.run(measure(limits, mix, directory, backend_plan=plan, seconds=SECONDS))
    assert result.exit_code is None, result.log
    assert not any("Traceback" in line for line in result.log), result.log
    return result


@pytest.mark.parametrize(
    ("memory_mb", "mix", "plan"),
    [
        (64, INCOMPLETE_AND_WHOLE, None),
        (64, UNREAD, LONG_RESPONSES),
        (48, WHOLE, None),
        (48, LEAVING, None),
        (48, WHOLE, MANY_BACKENDS),
        (192, WHOLE, None),
    ],
    ids=["64-incomplete", "64-unread", "48-whole", "48-leaving", "48-backends", "192-whole"],
)
def test_process_under_stuck_clients_stays_within_its_memory_limit(
    tmp_path: Path, memory_mb: float, mix: Mapping[Behavior, int], plan: BackendPlan | None
) -> None:
    """Guards against a process that is killed: 54 to 84 MB where 48 were allowed."""
    result = run(memory_mb, mix, tmp_path, plan)
    assert result.peak_mb <= memory_mb, str(result)
    assert result.lost_count == 0 and result.usual["200"] > 0, str(result)


@pytest.mark.parametrize("behavior", [Behavior.TRAILERS, Behavior.CHUNK_EXTENSIONS])
def test_clients_stuck_on_every_connection_do_not_shut_out_usual_ones(
    tmp_path: Path, behavior: Behavior
) -> None:
    """Guards against 0.13 and 0.46 served of usual requests beside 600 such clients."""
    result = run(64, {behavior: 600}, tmp_path)
    assert result.lost_count == 0 and result.served_ratio >= 0.95, str(result)
