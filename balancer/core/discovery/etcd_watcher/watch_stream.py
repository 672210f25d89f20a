"""Opens and closes the watch."""

from __future__ import annotations

from balancer.core.discovery.etcd_watcher import limits, messages
from balancer.core.discovery.etcd_watcher.state import WatcherPhase, WatcherState


def open_watch(state: WatcherState) -> None:
    """Open a watch that resumes at the newest complete revision.

    It starts with that revision, although it was delivered, and not with the next one: a compaction at
    exactly the revision of a deletion drops the deletion, and etcd 3.4 still accepts a watch that starts
    there. A watch that starts one revision earlier is canceled. A start revision of 0 would mean the current
    revision; etcd's first revision is 1.
    """
    state.phase = WatcherPhase.OPENING_WATCH
    state.session.check_call_id = state.session.check_token = 0
    state.watch.fragment_removals = state.audit.pending_count = None
    state.watch.call_id = state.next_id()
    start_revision = max(state.delivered.complete_revision, 1)
    state.actions.append(messages.OpenWatch(state.watch.call_id, state.endpoint_index, start_revision))
    state.phase_token = state.set_timer(limits.CALL_TIMEOUT_MS)


def close_watch(state: WatcherState) -> None:
    """Close the watch, if one is open or being opened."""
    if state.watch.call_id:
        state.watch.call_id = 0
        state.actions.append(messages.CloseWatch(state.endpoint_index))
