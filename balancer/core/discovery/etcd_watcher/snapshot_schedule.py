"""Schedules this node's snapshots in a time slot among all nodes, if etcd's capacity is configured."""

from __future__ import annotations

from balancer.core.discovery.etcd_watcher import limits
from balancer.core.discovery.etcd_watcher.state import WatcherState


def remaining_wait_ms(state: WatcherState) -> float:
    """The time until the snapshot may be fetched, 0 if it may be fetched now. Assigns the first slot."""
    snapshot = state.snapshot
    if snapshot.time_slots is None:
        return 0.0
    if snapshot.due_at_ms is None:
        snapshot.due_at_ms = state.now_ms + snapshot.time_slots.first_delay_ms()
    if snapshot.due_at_ms <= state.now_ms + limits.TIMER_RESOLUTION_MS:
        return 0.0
    return snapshot.due_at_ms - state.now_ms


def defer(state: WatcherState, was_rejected: bool, retry_after_ms: float = 0.0) -> None:
    """Move to a later slot after a failed fetch.

    The delay counts from the slot that was used, so that the nodes stay evenly distributed.
    """
    snapshot = state.snapshot
    if snapshot.time_slots is None:
        return
    slot_at_ms = state.now_ms if snapshot.due_at_ms is None else min(snapshot.due_at_ms, state.now_ms)
    retry_after_ms = min(retry_after_ms, limits.MAX_RETRY_AFTER_MS) + state.now_ms - slot_at_ms
    snapshot.due_at_ms = slot_at_ms + snapshot.time_slots.retry_delay_ms(was_rejected, retry_after_ms)
