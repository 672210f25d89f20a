"""Handles the answers to checks: linearizable reads, which an endpoint can answer only with a quorum.

The first check of an endpoint decides what is requested from it next. Later checks show that it is alive
while the watch is silent, since etcd sends progress notifications only every ten minutes.
"""

from __future__ import annotations

from balancer.core.discovery.etcd_watcher import (
    audit,
    endpoint_selection,
    limits,
    messages,
    snapshot,
    snapshot_schedule,
    watch_stream,
)
from balancer.core.discovery.etcd_watcher.messages import CallFault
from balancer.core.discovery.etcd_watcher.state import EndpointVerdict, WatcherPhase, WatcherState


def on_answered(state: WatcherState, event: messages.CheckAnswered) -> None:
    """Handle the answer to the first check of an endpoint or to a later one, depending on the phase."""
    state.session.check_call_id = 0
    if state.phase is WatcherPhase.CHECKING:
        _on_first_answer(state, event.position)
    elif endpoint_selection.accept_position(state, event.position, state.session.check_min_revision):
        _record_success(state, event.position)
        _continue_watching(state, event)


def _on_first_answer(state: WatcherState, position: messages.Position) -> None:
    """Fetch a snapshot, watch, or abandon the endpoint, depending on its cluster and revision."""
    session, delivered = state.session, state.delivered
    session.cluster_id, session.checked_revision = position.cluster_id, position.revision
    session.check_token = 0
    if delivered.cluster_id is None or session.cluster_id == state.selection.candidate_cluster_id:
        snapshot.begin(state)
    elif session.cluster_id != delivered.cluster_id:
        _abandon_other_cluster(state)
    elif endpoint_selection.accept_position(state, position, session.check_min_revision):
        if position.raft_term < delivered.raft_term:
            text = (
                f"raft term {position.raft_term} after {delivered.raft_term}, may be restored from a backup"
            )
            state.write_log("warning", f"{state.endpoint_name}: {text}; fetching a snapshot")
            delivered.needs_snapshot = True
        delivered.raft_term = position.raft_term
        if delivered.needs_snapshot:
            snapshot.begin(state)
        else:
            watch_stream.open_watch(state)


def _abandon_other_cluster(state: WatcherState) -> None:
    """Abandon an endpoint that belongs to another cluster than the current one."""
    cluster_id, current_id = state.session.cluster_id, state.delivered.cluster_id
    if cluster_id in state.delivered.former_cluster_ids:
        verdict = EndpointVerdict.FORMER_CLUSTER
        reason = f"it belongs to cluster {cluster_id}, which was replaced by {current_id}"
    else:
        verdict = EndpointVerdict.UNKNOWN_CLUSTER
        reason = f"it belongs to cluster {cluster_id}, not {current_id}"
    endpoint_selection.abandon_endpoint(state, verdict, reason, cluster_id)


def _record_success(state: WatcherState, position: messages.Position) -> None:
    """Reset the fault history of all endpoints, because this one has proven usable."""
    session, selection = state.session, state.selection
    state.delivered.raft_term = max(state.delivered.raft_term, position.raft_term)
    session.checked_revision = max(session.checked_revision, position.revision)
    session.failed_check_count, session.has_renewed_token, session.is_proven = 0, False, True
    state.snapshot.restart_count = 0
    selection.regression_round_count = 0
    selection.outcomes.clear()
    selection.backoff.reset()
    state.confirm_current()


def _continue_watching(state: WatcherState, event: messages.CheckAnswered) -> None:
    """Reopen a watch that appears dead, evaluate or begin a key count, and schedule the next check."""
    position, delivered, pending_count = event.position, state.delivered, state.audit.pending_count
    silence_ms = state.now_ms - state.watch.last_message_at_ms
    if position.revision > delivered.complete_revision and silence_ms >= state.watch.silence_timeout_ms:
        state.actions.append(messages.CloseWatch(state.endpoint_index))
        watch_stream.open_watch(state)
        return
    # A full check interval later the watch has still not delivered events that explain the difference.
    if pending_count is not None and audit.fetch_snapshot_if_different(
        state, pending_count.key_count, len(delivered.known_keys)
    ):
        if state.phase is WatcherPhase.WATCHING:
            endpoint_selection.schedule_check(state)
        return
    endpoint_selection.schedule_check(state)
    if event.key_count is not None:
        audit.on_keys_counted(state, position.revision, event.key_count - delivered.unidentified_key_count)


def on_failed(state: WatcherState, event: messages.CallFailed) -> None:
    """Log in again once, or abandon the endpoint if it is new or has failed several checks."""
    session = state.session
    session.check_call_id = 0
    if event.fault is CallFault.TOKEN_EXPIRED and not session.has_renewed_token:
        session.has_renewed_token = True
        endpoint_selection.send_check(state)
        return
    if event.fault is CallFault.OVERLOADED and not state.delivered.has_snapshot:
        snapshot_schedule.defer(state, True, event.retry_after_ms)
    session.failed_check_count += 1
    is_new = state.phase is WatcherPhase.CHECKING
    if is_new or session.failed_check_count >= limits.MAX_FAILED_CHECKS:
        endpoint_selection.abandon_endpoint(
            state, endpoint_selection.verdict_for_fault(event.fault), event.reason
        )
    else:
        endpoint_selection.schedule_check(state)


def on_timer_fired(state: WatcherState) -> None:
    """Send the next check, or abandon the endpoint if the one in flight was not answered in time."""
    if state.session.check_call_id:
        reason = f"no answer to a read in {limits.CHECK_TIMEOUT_MS:.0f} ms"
        endpoint_selection.abandon_endpoint(state, EndpointVerdict.UNAVAILABLE, reason)
    else:
        endpoint_selection.send_check(state)
