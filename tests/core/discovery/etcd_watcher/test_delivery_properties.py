"""Property tests against a simulated etcd: the delivered view is always a state that etcd had."""

from __future__ import annotations

from hypothesis import example, given, settings
from hypothesis import strategies as st

from balancer.core.discovery.etcd_watcher import messages
from balancer.core.discovery.etcd_watcher.state import ReportedStatus, WatcherPhase
from balancer.core.staggering import StaggeredSchedule
from tests.core.discovery.etcd_watcher.driver import NODE_COUNT, SNAPSHOTS_PER_S
from tests.core.discovery.etcd_watcher.simulated_etcd import SimulatedEtcd

RECOVERY_MS = 30_000
STEPS = st.lists(st.tuples(st.integers(0, 8), st.integers(1, 4000)), max_size=25)  # a fault and a time in ms
CASES = (st.integers(0, 10_000), st.integers(1, 3), STEPS)


@settings(max_examples=150, deadline=None)
@given(*CASES)
@example(4848, 2, [(0, 151), (6, 130), (0, 191), (6, 101), (2, 47), (4, 13)])
@example(4848, 2, [(0, 151), (6, 130), (0, 191), (6, 101), (2, 47), (4, 1)])
@example(
    2187,
    2,
    [
        (2, 4),
        (0, 1659),
        (2, 3848),
        (2, 4000),
        (0, 358),
        (3, 1),
        (2, 2588),
        (6, 166),
        (2, 168),
        (4, 240),
    ],
)
def test_delivery_random_faults_is_always_a_state_that_etcd_had(
    seed: int, endpoint_count: int, steps: list[tuple[int, int]]
) -> None:
    check_faults_and_recovery(SimulatedEtcd(seed, endpoint_count), steps)


@settings(max_examples=150, deadline=None)
@given(*CASES, st.integers(0, 99))
def test_delivery_random_faults_with_time_slots_is_always_a_state_that_etcd_had(
    seed: int, endpoint_count: int, steps: list[tuple[int, int]], node_index: int
) -> None:
    time_slots = StaggeredSchedule(node_index, NODE_COUNT, SNAPSHOTS_PER_S)
    check_faults_and_recovery(SimulatedEtcd(seed, endpoint_count, time_slots), steps)


def check_faults_and_recovery(etcd: SimulatedEtcd, steps: list[tuple[int, int]]) -> None:
    """Check each delivered list during the faults, and that the view equals etcd's state after them."""
    etcd.handle(messages.WatcherStarted())
    for fault, duration_ms in steps:
        etcd.inject(fault)
        etcd.run(etcd.now_ms + duration_ms)
    etcd.heal()
    etcd.run(etcd.now_ms + RECOVERY_MS)
    assert etcd.watcher.phase is WatcherPhase.WATCHING
    assert etcd.watcher.state.delivered.reported_status is ReportedStatus.AVAILABLE
    assert etcd.view == etcd.endpoints[0].cluster.states[-1]
