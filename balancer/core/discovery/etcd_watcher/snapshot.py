"""Fetches a snapshot in pages of the same revision and delivers it."""

from __future__ import annotations

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import (
    endpoint_selection,
    entry_list,
    limits,
    messages,
    snapshot_schedule,
    watch_stream,
)
from balancer.core.discovery.etcd_watcher.messages import CallFault, EntryUpdate
from balancer.core.discovery.etcd_watcher.state import EndpointVerdict, WatcherPhase, WatcherState
from balancer.endpoints import EndpointList

# --- beginning


def begin(state: WatcherState) -> None:
    """Fetch the first page of a snapshot, or wait for this node's time slot."""
    if wait_ms := snapshot_schedule.remaining_wait_ms(state):
        _wait_for_slot(state, wait_ms)
        return
    state.phase = WatcherPhase.FETCHING_SNAPSHOT
    watch_stream.close_watch(state)
    state.session.check_call_id = state.session.check_token = 0
    state.snapshot.entries, state.snapshot.revision, state.snapshot.after_key = [], 0, b""
    state.audit.pending_count = None
    _fetch_page(state)


def restart(state: WatcherState, reason: str) -> None:
    """Start the snapshot again at the same endpoint, at most MAX_SNAPSHOT_RESTARTS times."""
    state.snapshot.restart_count += 1
    if state.snapshot.restart_count > limits.MAX_SNAPSHOT_RESTARTS:
        text = f"snapshot failed after {limits.MAX_SNAPSHOT_RESTARTS} restarts: {reason}"
        endpoint_selection.abandon_endpoint(state, EndpointVerdict.UNAVAILABLE, text)
    else:
        begin(state)


def _wait_for_slot(state: WatcherState, wait_ms: float) -> None:
    """Wait for the time slot; meanwhile continue or open a watch, if one is usable."""
    delivered, text = state.delivered, f"is scheduled in {wait_ms / 1000:.1f} s"
    if not delivered.has_snapshot or state.session.cluster_id != delivered.cluster_id:
        # A new cluster has to be confirmed again after the wait, as the current one may be back by then.
        endpoint_selection.reset_calls(state)
        state.selection.candidate_cluster_id = ""
        if delivered.has_snapshot:
            state.report_lost(f"the snapshot of cluster {state.session.cluster_id} {text}")
        endpoint_selection.wait(state, wait_ms)
        return
    delivered.needs_snapshot = True
    if not state.watch.call_id and state.phase is not WatcherPhase.CHECKING:
        endpoint_selection.begin_checking(state)  # its answer provides the revision to watch from
        return
    if not delivered.has_gap:
        state.write_log("info", f"the snapshot {text}; the watch continues")
    if not state.watch.call_id:
        if not delivered.has_gap:
            delivered.complete_revision = max(delivered.complete_revision, state.session.checked_revision)
        watch_stream.open_watch(state)
    delivered.has_gap = True
    state.snapshot.slot_token = state.set_timer(wait_ms)


def on_slot_reached(state: WatcherState) -> None:
    """Begin the snapshot, as the time slot was reached while the watch continued."""
    state.snapshot.slot_token = 0
    if state.phase in (WatcherPhase.OPENING_WATCH, WatcherPhase.WATCHING):
        begin(state)


# --- pages


def _fetch_page(state: WatcherState) -> None:
    snapshot = state.snapshot
    snapshot.call_id = state.next_id()
    state.actions.append(
        messages.FetchSnapshotPage(
            snapshot.call_id,
            state.endpoint_index,
            snapshot.after_key,
            snapshot.revision,
            snapshot.page_max_keys,
        )
    )
    state.phase_token = state.set_timer(limits.CALL_TIMEOUT_MS)


def on_page_received(state: WatcherState, event: messages.SnapshotPageReceived) -> None:
    """Add a page; then fetch the next one, or deliver the complete snapshot."""
    snapshot = state.snapshot
    snapshot.call_id = 0
    if not endpoint_selection.accept_position(state, event.position, state.min_revision):
        return
    if not snapshot.revision:
        snapshot.revision, snapshot.key_count = event.position.revision, event.key_count
    snapshot.entries += event.entries
    snapshot.page_max_keys = min(2 * snapshot.page_max_keys, limits.MAX_PAGE_KEYS)
    if len(snapshot.entries) > limits.MAX_SNAPSHOT_ENTRIES:
        reason = f"its list has more than {limits.MAX_SNAPSHOT_ENTRIES} entries"
        endpoint_selection.abandon_endpoint(state, EndpointVerdict.UNAVAILABLE, reason)
    elif not event.has_more:
        _deliver(state)
    elif event.last_key <= snapshot.after_key:
        endpoint_selection.abandon_endpoint(
            state, EndpointVerdict.UNAVAILABLE, "its snapshot pages do not advance"
        )
    else:
        snapshot.after_key = event.last_key
        _fetch_page(state)


def on_page_failed(state: WatcherState, event: messages.CallFailed) -> None:
    """Repeat the page or the snapshot if that may help, otherwise abandon the endpoint."""
    snapshot = state.snapshot
    snapshot.call_id = 0
    match event.fault:
        case CallFault.COMPACTED:
            restart(state, event.reason)
        case CallFault.TOO_LARGE if snapshot.page_max_keys > 1:
            snapshot.page_max_keys = max(1, snapshot.page_max_keys // 4)
            _fetch_page(state)
        case CallFault.OVERLOADED if snapshot.time_slots is not None:
            _on_rejected(state, event)
        case CallFault.TOKEN_EXPIRED if not state.session.has_renewed_token:
            state.session.has_renewed_token = True
            _fetch_page(state)
        case fault:
            verdict = endpoint_selection.verdict_for_fault(fault)
            endpoint_selection.abandon_endpoint(state, verdict, f"snapshot failed: {event.reason}")


def _on_rejected(state: WatcherState, event: messages.CallFailed) -> None:
    """Try another endpoint in a later time slot, because etcd is overloaded."""
    snapshot_schedule.defer(state, True, event.retry_after_ms)
    wait_ms = snapshot_schedule.remaining_wait_ms(state)
    text = f"{state.endpoint_name} rejected the snapshot request ({event.reason});"
    state.write_log("warning", f"{text} next attempt in {wait_ms / 1000:.1f} s")
    endpoint_selection.reset_calls(state)
    endpoint_selection.select_next_endpoint(state)
    if state.delivered.has_snapshot:
        endpoint_selection.begin_checking(state)
    else:
        endpoint_selection.wait(state, wait_ms)


# --- the complete snapshot


def _deliver(state: WatcherState) -> None:
    """Deliver the snapshot and open a watch from its revision."""
    delivered, snapshot = state.delivered, state.snapshot
    entries, snapshot.entries = snapshot.entries, []
    endpoint_list = _as_incremental_if_seen(
        state, entry_list.build_endpoint_list(snapshot.revision, True, entries)
    )
    if state.session.cluster_id != delivered.cluster_id:
        _adopt_cluster(state)
    _replace_endpoint_ids(state, endpoint_list)
    _replace_known_keys(state, entries)
    delivered.seen_revision = delivered.complete_revision = snapshot.revision
    delivered.needs_snapshot = delivered.is_rereading_snapshot = delivered.has_gap = False
    delivered.has_snapshot = True
    state.selection.candidate_cluster_id = ""
    snapshot.due_at_ms, snapshot.slot_token = None, 0
    if snapshot.time_slots is not None:
        snapshot.time_slots.reset()
    state.deliver(endpoint_merger.EndpointsListed(state.source_name, state.identity, endpoint_list))
    watch_stream.open_watch(state)


def _as_incremental_if_seen(state: WatcherState, endpoint_list: EndpointList) -> EndpointList:
    """The snapshot as an incremental update, if a part of its revision was delivered before.

    This applies to the rest of a revision that was split between fragments, and to events that a watch lost
    before that revision. The merger ignores a snapshot of a revision that it has seen, but not incremental
    updates.
    """
    delivered, revision = state.delivered, endpoint_list.revision
    is_same_cluster = state.session.cluster_id == delivered.cluster_id
    if not is_same_cluster or revision != delivered.seen_revision:
        return endpoint_list
    is_partial = delivered.seen_revision > delivered.complete_revision
    if not (is_partial or delivered.is_rereading_snapshot or delivered.has_gap):
        return endpoint_list
    listed_ids = {record.id for record in endpoint_list.records}
    invalid_ids = {entry.key for entry in endpoint_list.invalid_entries}
    removed_ids = delivered.endpoint_ids - listed_ids - invalid_ids
    return EndpointList(
        revision, False, endpoint_list.records, tuple(removed_ids), endpoint_list.invalid_entries
    )


def _adopt_cluster(state: WatcherState) -> None:
    """Start a new revision order with the cluster of the endpoint."""
    delivered = state.delivered
    if delivered.cluster_id is not None:
        delivered.former_cluster_ids.append(delivered.cluster_id)
    delivered.cluster_id, delivered.raft_term = state.session.cluster_id, 0
    delivered.endpoint_ids = set()


def _replace_endpoint_ids(state: WatcherState, endpoint_list: EndpointList) -> None:
    """Record which endpoints exist; a known endpoint whose entry is invalid is kept."""
    delivered = state.delivered
    ids_before = delivered.endpoint_ids
    delivered.endpoint_ids = {record.id for record in endpoint_list.records} | {
        entry.key for entry in endpoint_list.invalid_entries if entry.key in ids_before
    }
    removed_count = len(ids_before - delivered.endpoint_ids)
    entry_list.log_mass_removal(state, len(ids_before), 0, removed_count, endpoint_list.revision)


def _replace_known_keys(state: WatcherState, entries: list[EntryUpdate]) -> None:
    """Record which keys exist, and schedule the next key count.

    If a snapshot was fetched because of a mismatch and shows no difference, the interval is doubled: a
    gateway that cannot count must not make all nodes fetch snapshots forever.
    """
    delivered, audit = state.delivered, state.audit
    keys = {entry_list.key_name(entry) for entry in entries}
    if delivered.is_rereading_snapshot and keys == delivered.known_keys:
        audit.interval_ms = min(2 * audit.interval_ms, limits.MAX_AUDIT_INTERVAL_MS)
    else:
        audit.interval_ms = limits.AUDIT_INTERVAL_MS
    delivered.known_keys = keys
    delivered.unidentified_key_count = max(0, state.snapshot.key_count - len(keys))
    audit.schedule_next(state.now_ms, state.rng)
