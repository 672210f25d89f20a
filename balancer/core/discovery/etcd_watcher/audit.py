"""Compares etcd's key count with the known keys, to detect deletions that the watch lost.

In etcd 3.4 a compaction at exactly the revision of a deletion drops that deletion, and a lagging watch whose
next revision is this one continues without an error. Some checks therefore count the keys. Once the watch has
reached the revision of a count, the count is compared with the known keys; if they differ, a snapshot is
fetched.
"""

from __future__ import annotations

from balancer.core.discovery.etcd_watcher import snapshot
from balancer.core.discovery.etcd_watcher.state import KeyCount, WatcherState


def on_keys_counted(state: WatcherState, revision: int, key_count: int) -> None:
    """Compare a count now, or keep it until the watch has reached its revision."""
    delivered = state.delivered
    if delivered.complete_revision > revision:
        return  # the keys of that revision are no longer known; a later check counts again
    state.audit.schedule_next(state.now_ms, state.rng)
    if delivered.seen_revision == delivered.complete_revision == revision:
        fetch_snapshot_if_different(state, key_count, len(delivered.known_keys))
    elif key_count != len(delivered.known_keys):
        state.audit.pending_count = KeyCount(revision, key_count)


def fetch_snapshot_if_different(state: WatcherState, key_count: int, known_count: int) -> bool:
    """Clear the pending count and fetch a snapshot if the counts differ; returns whether they differ."""
    state.audit.pending_count = None
    if key_count == known_count:
        return False
    text = f"key count mismatch: {key_count} keys in etcd, {known_count} known; fetching a snapshot"
    state.write_log("warning", text)
    state.delivered.is_rereading_snapshot = state.delivered.needs_snapshot = True
    snapshot.begin(state)
    return True
