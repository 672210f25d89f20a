"""Selects the etcd endpoint in use, and handles abandoned endpoints and rounds in which none is usable.

Endpoints are tried in a fixed random order. Once all of them were abandoned, the round is complete: the
watcher adopts a new cluster, rejects the source, or begins another round after a backoff.
"""

from __future__ import annotations

from balancer.core.discovery.etcd_watcher import limits, messages, snapshot_schedule
from balancer.core.discovery.etcd_watcher.state import (
    EndpointOutcome,
    EndpointVerdict,
    ReportedStatus,
    WatcherPhase,
    WatcherState,
)

REGRESSION_VERDICTS = {
    EndpointVerdict.LAGGING,
    EndpointVerdict.FORMER_CLUSTER,
    EndpointVerdict.UNKNOWN_CLUSTER,
}
"""If all endpoints answer with one of these verdicts, etcd was probably restored from a backup."""
MAX_REASON_CHARACTERS = 600


def verdict_for_fault(fault: messages.CallFault) -> EndpointVerdict:
    """The verdict on an endpoint whose call failed."""
    if fault in (messages.CallFault.PERMISSION_DENIED, messages.CallFault.TOKEN_EXPIRED):
        return EndpointVerdict.PERMISSION_DENIED
    return EndpointVerdict.UNAVAILABLE


# --- one endpoint


def begin_checking(state: WatcherState) -> None:
    """Begin to use the endpoint at the current position of the order, starting with a check."""
    state.phase = WatcherPhase.CHECKING
    send_check(state)


def send_check(state: WatcherState) -> None:
    """Check the endpoint in use; while watching, also count the keys if an audit is due."""
    session = state.session
    session.check_call_id, session.check_sent_at_ms = state.next_id(), state.now_ms
    # Taken now, because the watch may deliver a newer revision before the answer arrives.
    session.check_min_revision = state.min_revision
    counts_keys = (
        state.phase is WatcherPhase.WATCHING
        and state.now_ms >= state.audit.next_at_ms
        and not state.delivered.has_gap
    )
    state.actions.append(messages.CheckEndpoint(session.check_call_id, state.endpoint_index, counts_keys))
    session.check_token = state.set_timer(limits.CHECK_TIMEOUT_MS)


def schedule_check(state: WatcherState) -> None:
    """Set the timer for the next check, one interval after the last check was sent."""
    due_in_ms = state.session.check_sent_at_ms + limits.CHECK_INTERVAL_MS - state.now_ms
    state.session.check_token = state.set_timer(max(0.0, due_in_ms))


def accept_position(state: WatcherState, position: messages.Position, min_revision: int) -> bool:
    """Whether an answer has the expected cluster and at least `min_revision`; abandon the endpoint if not."""
    expected_cluster_id = state.session.cluster_id
    if position.cluster_id != expected_cluster_id:
        reason = f"cluster {position.cluster_id} answered instead of {expected_cluster_id}"
        abandon_endpoint(state, EndpointVerdict.UNAVAILABLE, reason)
        return False
    if expected_cluster_id == state.delivered.cluster_id and position.revision < min_revision:
        reason = f"its revision {position.revision} is behind {min_revision}"
        abandon_endpoint(state, EndpointVerdict.LAGGING, reason)
        return False
    return True


def select_next_endpoint(state: WatcherState) -> None:
    """Move to the next endpoint of the order, without calling it."""
    state.selection.position = (state.selection.position + 1) % len(state.selection.endpoint_order)


def abandon_endpoint(
    state: WatcherState, verdict: EndpointVerdict, reason: str, cluster_id: str = ""
) -> None:
    """Stop using the endpoint and try the next one, or complete the round.

    `cluster_id` is given if the endpoint is abandoned because of it; otherwise the session's is recorded.
    """
    selection, session = state.selection, state.session
    abandoned_index, was_watching = state.endpoint_index, state.phase is WatcherPhase.WATCHING
    if state.phase is not WatcherPhase.CHECKING:
        cluster_id = cluster_id or session.cluster_id
        if state.delivered.reported_status is ReportedStatus.AVAILABLE:
            state.write_log("warning", f"{state.endpoint_name} abandoned: {reason}")
    if state.phase is WatcherPhase.FETCHING_SNAPSHOT:
        snapshot_schedule.defer(state, False)
    reset_calls(state)
    selection.candidate_cluster_id = ""
    select_next_endpoint(state)
    was_proven, session.is_proven = session.is_proven, False
    if was_proven and was_watching:
        # A new round begins, in which this endpoint comes last.
        selection.outcomes.clear()
        wait(state, state.rng.uniform(0, limits.RESUME_JITTER_MS))
        return
    selection.outcomes[abandoned_index] = EndpointOutcome(verdict, reason, cluster_id)
    if len(selection.outcomes) == len(selection.endpoint_order):
        _complete_round(state)
    else:
        begin_checking(state)


def reset_calls(state: WatcherState) -> None:
    """Close the connections to the endpoint in use, and forget all calls and timers."""
    if state.phase not in (WatcherPhase.STOPPED, WatcherPhase.WAITING):
        state.actions.append(messages.CloseConnections(state.endpoint_index))
    session, snapshot = state.session, state.snapshot
    session.check_call_id = session.check_token = state.phase_token = 0
    session.failed_check_count, session.has_renewed_token = 0, False
    snapshot.call_id = snapshot.slot_token = snapshot.restart_count = 0
    snapshot.entries, snapshot.page_max_keys = [], limits.MAX_PAGE_KEYS
    state.watch.call_id, state.watch.fragment_removals = 0, None
    state.audit.pending_count = None


def wait(state: WatcherState, wait_ms: float) -> None:
    """Use no endpoint for `wait_ms`."""
    state.phase = WatcherPhase.WAITING
    state.phase_token = state.set_timer(wait_ms)


# --- no endpoint is usable


def _complete_round(state: WatcherState) -> None:
    """Decide how to continue after all endpoints were abandoned."""
    selection = state.selection
    outcomes, selection.outcomes = selection.outcomes, {}
    if _adopt_unknown_cluster(state, outcomes):
        return
    verdicts = {outcome.verdict for outcome in outcomes.values()}
    reason = "; ".join(
        f"{selection.endpoint_names[index]}: {outcomes[index].reason}" for index in selection.endpoint_order
    )[:MAX_REASON_CHARACTERS]
    _record_regression(state, verdicts, reason)
    if verdicts == {EndpointVerdict.PERMISSION_DENIED}:
        state.report_rejected(f"all endpoints deny access: {reason}")
    else:
        state.report_lost(reason)
    backoff_ms = selection.backoff.next_delay_ms()
    if state.delivered.needs_snapshot and not snapshot_schedule.remaining_wait_ms(state):
        snapshot_schedule.defer(state, False, backoff_ms)
    if not state.delivered.has_snapshot:
        backoff_ms = max(backoff_ms, snapshot_schedule.remaining_wait_ms(state))
    wait(state, backoff_ms)


def _adopt_unknown_cluster(state: WatcherState, outcomes: dict[int, EndpointOutcome]) -> bool:
    """Switch to a new cluster, if no endpoint of the current one answers and none lags."""
    selection, cluster_id = state.selection, state.delivered.cluster_id
    unknown_indexes = [
        index
        for index in selection.endpoint_order
        if outcomes[index].verdict is EndpointVerdict.UNKNOWN_CLUSTER
    ]
    # An endpoint that answered a check and failed later still shows that its cluster exists.
    is_cluster_present = any(outcome.cluster_id == cluster_id for outcome in outcomes.values())
    has_lagging = any(outcome.verdict is EndpointVerdict.LAGGING for outcome in outcomes.values())
    if not unknown_indexes or is_cluster_present or has_lagging:
        return False
    selection.candidate_cluster_id = outcomes[unknown_indexes[0]].cluster_id
    text = f"no endpoint of cluster {cluster_id} answers; switching to cluster"
    state.write_log("warning", f"{text} {selection.candidate_cluster_id}")
    selection.position = selection.endpoint_order.index(unknown_indexes[0])
    begin_checking(state)
    return True


def _record_regression(state: WatcherState, verdicts: set[EndpointVerdict], reason: str) -> None:
    """Count rounds in which all endpoints answer with an older state; reject the source after several."""
    selection = state.selection
    if not verdicts <= REGRESSION_VERDICTS:
        selection.regression_round_count = 0
        return
    if not selection.regression_round_count:
        selection.regression_since_ms = state.now_ms
    selection.regression_round_count += 1
    # Even if etcd later passes the delivered revision, events in between may be missing.
    state.delivered.needs_snapshot = True
    duration_ms = state.now_ms - selection.regression_since_ms
    if (
        selection.regression_round_count >= limits.MIN_REGRESSION_ROUNDS
        and duration_ms >= limits.MIN_REGRESSION_MS
    ):
        cause = "etcd's revision went back permanently, as after a restore from a backup"
        remedy = "To accept etcd's current state, raise `epoch` in [membership.etcd]"
        state.report_rejected(f"{cause}: {reason}. {remedy}")
