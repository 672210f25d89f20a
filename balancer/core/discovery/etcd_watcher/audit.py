"""Compares etcd's key count with the known keys, to find deletions that the watch lost.

In etcd 3.4 a compaction at the very revision of a deletion drops it, and a watch that lags to just there
continues without an error. So a check counts the keys now and then. The count is compared with the known
keys of the same revision, as soon as the watch has reached it; if they differ, a snapshot is fetched.
"""

from __future__ import annotations

from balancer.core.discovery.etcd_watcher import snapshot
from balancer.core.discovery.etcd_watcher.state import KeyCount, WatcherState


def on_keys_counted(state: WatcherState, revision: int, key_count: int) -> None:
    """Compare a count now, or keep it until the watch has reached its revision."""
    delivered = state.delivered
    if delivered.complete_revision > revision:
        return  # the keys of that revision are no longer known; the next check counts again
    state.audit.schedule_next(state.now_ms, state.rng)
    if delivered.seen_revision == delivered.complete_revision == revision:
        fetch_snapshot_if_different(state, key_count, len(delivered.known_keys))
    elif key_count != len(delivered.known_keys):
        state.audit.pending_count = KeyCount(revision, key_count)


def fetch_snapshot_if_different(state: WatcherState, key_count: int, known_count: int) -> bool:
    """Fetch a snapshot if the count differs from the known keys; whether it does. Ends a pending count."""
    state.audit.pending_count = None
    if key_count == known_count:
        return False
    text = f"{key_count} keys are there and {known_count} were told of: the list is read anew"
    state.write_log("warning", text)
    state.delivered.is_rereading_snapshot = state.delivered.needs_snapshot = True
    snapshot.begin(state)
    return True
