"""Which etcd endpoint is in use, and what follows when it is left or when none is usable.

Endpoints are tried in a fixed random order. When all of them were left, the round is complete: the watcher
adopts a new cluster, rejects the source, or begins another round after a backoff.
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
"""If all endpoints answer and have one of these, etcd was probably restored from a backup."""
MAX_REASON_CHARACTERS = 600


def verdict_for_fault(fault: messages.CallFault) -> EndpointVerdict:
    """The verdict on an endpoint whose call failed."""
    if fault in (messages.CallFault.PERMISSION_DENIED, messages.CallFault.TOKEN_EXPIRED):
        return EndpointVerdict.PERMISSION_DENIED
    return EndpointVerdict.UNAVAILABLE


# --- one endpoint


def begin_checking(state: WatcherState) -> None:
    """Start to use the endpoint at the present position of the order, by a check."""
    state.phase = WatcherPhase.CHECKING
    send_check(state)


def send_check(state: WatcherState) -> None:
    """Check the endpoint in use; while watching, count the keys when an audit is due."""
    session = state.session
    session.check_call_id, session.check_sent_at_ms = state.next_id(), state.now_ms
    # The watch may deliver a newer revision before the answer arrives, so the minimum is that of now.
    session.check_min_revision = state.min_revision
    counts_keys = (
        state.phase is WatcherPhase.WATCHING
        and state.now_ms >= state.audit.next_at_ms
        and not state.delivered.has_gap
    )
    state.actions.append(messages.CheckEndpoint(session.check_call_id, state.endpoint_index, counts_keys))
    session.check_token = state.set_timer(limits.CHECK_TIMEOUT_MS)


def schedule_check(state: WatcherState) -> None:
    """Set the timer of the next check, one interval after the last one was sent."""
    due_in_ms = state.session.check_sent_at_ms + limits.CHECK_INTERVAL_MS - state.now_ms
    state.session.check_token = state.set_timer(max(0.0, due_in_ms))


def accept_position(state: WatcherState, position: messages.Position, min_revision: int) -> bool:
    """Whether an answer is of the expected cluster and not behind `min_revision`; else leave the endpoint."""
    expected_cluster_id = state.session.cluster_id
    if position.cluster_id != expected_cluster_id:
        reason = f"cluster {position.cluster_id} answers in place of {expected_cluster_id}"
        leave(state, EndpointVerdict.UNAVAILABLE, reason)
        return False
    if expected_cluster_id == state.delivered.cluster_id and position.revision < min_revision:
        reason = f"its revision {position.revision} is behind {min_revision}"
        leave(state, EndpointVerdict.LAGGING, reason)
        return False
    return True


def advance(state: WatcherState) -> None:
    """Move to the next endpoint of the order, without calling it."""
    state.selection.position = (state.selection.position + 1) % len(state.selection.endpoint_order)


def leave(state: WatcherState, verdict: EndpointVerdict, reason: str, cluster_id: str = "") -> None:
    """Stop using the endpoint and try the next one, or complete the round.

    `cluster_id` is for an endpoint that is left because of it; otherwise the session's is recorded.
    """
    selection, session = state.selection, state.session
    left_index, was_watching = state.endpoint_index, state.phase is WatcherPhase.WATCHING
    if state.phase is not WatcherPhase.CHECKING:
        cluster_id = cluster_id or session.cluster_id
        if state.delivered.reported_status is ReportedStatus.AVAILABLE:
            state.write_log("warning", f"{state.endpoint_name} is left: {reason}")
    if state.phase is WatcherPhase.FETCHING_SNAPSHOT:
        snapshot_schedule.defer(state, False)
    reset_calls(state)
    selection.candidate_cluster_id = ""
    advance(state)
    was_proven, session.is_proven = session.is_proven, False
    if was_proven and was_watching:
        # A new round begins, with this endpoint as its last one.
        selection.outcomes.clear()
        wait(state, state.rng.uniform(0, limits.RESUME_JITTER_MS))
        return
    selection.outcomes[left_index] = EndpointOutcome(verdict, reason, cluster_id)
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
    """Use no endpoint for a while."""
    state.phase = WatcherPhase.WAITING
    state.phase_token = state.set_timer(wait_ms)


# --- no endpoint is usable


def _complete_round(state: WatcherState) -> None:
    """Decide what follows after all endpoints were left."""
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
        state.report_rejected(f"no endpoint lets this node in: {reason}")
    else:
        state.report_lost(reason)
    backoff_ms = selection.backoff.next_delay_ms()
    if state.delivered.needs_snapshot and not snapshot_schedule.remaining_wait_ms(state):
        snapshot_schedule.defer(state, False, backoff_ms)
    if not state.delivered.has_snapshot:
        backoff_ms = max(backoff_ms, snapshot_schedule.remaining_wait_ms(state))
    wait(state, backoff_ms)


def _adopt_unknown_cluster(state: WatcherState, outcomes: dict[int, EndpointOutcome]) -> bool:
    """Go over to a new cluster, if no endpoint of the present one answers and none lags."""
    selection, cluster_id = state.selection, state.delivered.cluster_id
    unknown_indexes = [
        index
        for index in selection.endpoint_order
        if outcomes[index].verdict is EndpointVerdict.UNKNOWN_CLUSTER
    ]
    # An endpoint that answered a check and failed later shows that its cluster still exists.
    is_cluster_present = any(outcome.cluster_id == cluster_id for outcome in outcomes.values())
    has_lagging = any(outcome.verdict is EndpointVerdict.LAGGING for outcome in outcomes.values())
    if not unknown_indexes or is_cluster_present or has_lagging:
        return False
    selection.candidate_cluster_id = outcomes[unknown_indexes[0]].cluster_id
    text = f"no endpoint of cluster {cluster_id} answers; going over to cluster"
    state.write_log("warning", f"{text} {selection.candidate_cluster_id}")
    selection.position = selection.endpoint_order.index(unknown_indexes[0])
    begin_checking(state)
    return True


def _record_regression(state: WatcherState, verdicts: set[EndpointVerdict], reason: str) -> None:
    """Count rounds in which all endpoints answer with a past state; reject the source after several."""
    selection = state.selection
    if not verdicts <= REGRESSION_VERDICTS:
        selection.regression_round_count = 0
        return
    if not selection.regression_round_count:
        selection.regression_since_ms = state.now_ms
    selection.regression_round_count += 1
    # If etcd gets past the delivered revision, events may be missing in between.
    state.delivered.needs_snapshot = True
    duration_ms = state.now_ms - selection.regression_since_ms
    if (
        selection.regression_round_count >= limits.MIN_REGRESSION_ROUNDS
        and duration_ms >= limits.MIN_REGRESSION_MS
    ):
        cause = "etcd has gone back for good, as one restored from a backup does"
        remedy = "To take what etcd holds now, raise `epoch` in [membership.etcd]"
        state.report_rejected(f"{cause}: {reason}. {remedy}")
