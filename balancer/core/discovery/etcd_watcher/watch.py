"""Handles the messages of the watch, and its end.

Delivered revisions never decrease: events of complete revisions are dropped, and the newest revision of a
fragment counts as seen but not as complete.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import (
    audit,
    endpoint_selection,
    entry_list,
    limits,
    messages,
    snapshot,
    watch_stream,
)
from balancer.core.discovery.etcd_watcher.messages import CallFault, WatchEvent
from balancer.core.discovery.etcd_watcher.state import (
    EndpointVerdict,
    FragmentRemovals,
    WatcherPhase,
    WatcherState,
)


def on_created(state: WatcherState, position: messages.Position) -> None:
    """Start watching; abandon a lagging endpoint, which accepts a watch even from a future revision."""
    if not endpoint_selection.accept_position(state, position, state.delivered.complete_revision):
        return
    state.phase, state.phase_token = WatcherPhase.WATCHING, 0
    state.watch.last_message_at_ms, state.session.failed_check_count = state.now_ms, 0
    state.watch.silence_timeout_ms = limits.SILENT_WATCH_TIMEOUT_MS * state.rng.uniform(0.5, 1.5)
    endpoint_selection.schedule_check(state)


def on_progressed(state: WatcherState, position: messages.Position) -> None:
    """Record that all events up to the position were delivered, so that a later watch resumes there.

    To guard against a wrong revision, the position is capped at the last checked revision, and is ignored
    between fragments.
    """
    if not endpoint_selection.accept_position(state, position, state.delivered.complete_revision):
        return
    state.watch.last_message_at_ms = state.now_ms
    is_between_fragments = state.watch.fragment_removals is not None
    if not is_between_fragments:
        _advance_complete_revision(state, min(position.revision, state.session.checked_revision))
    state.confirm_current()
    pending_count = state.audit.pending_count
    if pending_count is not None and not is_between_fragments and position.revision >= pending_count.revision:
        known_count = len(state.delivered.known_keys)
        audit.fetch_snapshot_if_different(state, pending_count.key_count, known_count)


def on_events(state: WatcherState, event: messages.WatchEventsReceived) -> None:
    """Deliver the new events, and evaluate a pending key count whose revision they reach."""
    if not endpoint_selection.accept_position(state, event.position, state.delivered.complete_revision):
        return
    state.watch.last_message_at_ms = state.now_ms
    newest_revision = max((watch_event.revision for watch_event in event.watch_events), default=0)
    if newest_revision > event.position.revision:
        state.delivered.needs_snapshot = True
        reason = f"an event has revision {newest_revision}, but etcd is at {event.position.revision}"
        endpoint_selection.abandon_endpoint(state, EndpointVerdict.UNAVAILABLE, reason)
        return
    new_events = _new_events_in_order(state, event.watch_events)
    pending_count = state.audit.pending_count
    known_count = _record_keys(state, new_events)
    if new_events:
        _deliver(state, new_events, newest_revision)
    if event.is_fragment:
        _advance_complete_revision(state, newest_revision - 1)
    else:
        _advance_complete_revision(state, newest_revision)
        state.watch.fragment_removals = None
    if pending_count is not None and (
        newest_revision > pending_count.revision
        or (newest_revision == pending_count.revision and not event.is_fragment)
    ):
        audit.fetch_snapshot_if_different(state, pending_count.key_count, known_count)


def _new_events_in_order(state: WatcherState, watch_events: Iterable[WatchEvent]) -> list[WatchEvent]:
    """The events after the complete revision, sorted; etcd may replay older ones, and out of order."""
    complete_revision = state.delivered.complete_revision
    return sorted(
        (watch_event for watch_event in watch_events if watch_event.revision > complete_revision),
        key=lambda watch_event: watch_event.revision,
    )


def _record_keys(state: WatcherState, new_events: Sequence[WatchEvent]) -> int:
    """Record which keys exist; returns their number at the revision of a pending count."""
    known_keys, pending_count = state.delivered.known_keys, state.audit.pending_count
    count_at_pending: int | None = None
    for event in new_events:
        if pending_count is not None and count_at_pending is None and event.revision > pending_count.revision:
            count_at_pending = len(known_keys)
        if event.is_key_present or not isinstance(event.entry, str):
            known_keys.add(entry_list.key_name(event.entry))
        else:
            known_keys.discard(event.entry)
    return len(known_keys) if count_at_pending is None else count_at_pending


def _deliver(state: WatcherState, new_events: Sequence[WatchEvent], newest_revision: int) -> None:
    """Deliver new events as one incremental update, and log a mass removal."""
    delivered, watch = state.delivered, state.watch
    delivered.seen_revision = max(delivered.seen_revision, newest_revision)
    entries = [event.entry for event in new_events]
    endpoint_list = entry_list.build_endpoint_list(delivered.seen_revision, False, entries)
    before = watch.fragment_removals or FragmentRemovals(len(delivered.endpoint_ids), 0)
    removed_ids = delivered.endpoint_ids.intersection(endpoint_list.removed_ids)
    delivered.endpoint_ids -= removed_ids
    delivered.endpoint_ids.update(record.id for record in endpoint_list.records)
    entry_list.log_mass_removal(
        state, before.count_before, before.removed_count, len(removed_ids), newest_revision
    )
    watch.fragment_removals = before._replace(removed_count=before.removed_count + len(removed_ids))
    state.deliver(endpoint_merger.EndpointsListed(state.source_name, state.identity, endpoint_list))


def _advance_complete_revision(state: WatcherState, revision: int) -> None:
    """Record that everything up to the revision was delivered."""
    state.delivered.complete_revision = max(state.delivered.complete_revision, revision)


def on_canceled(state: WatcherState, event: messages.WatchCanceled) -> None:
    """Handle a watch that etcd canceled, because of a compaction or of a fault."""
    on_ended(state, CallFault.COMPACTED if event.compact_revision > 0 else event.fault, event.reason)


def on_ended(state: WatcherState, fault: CallFault, reason: str) -> None:
    """Fetch a snapshot if the ended watch may have lost events, otherwise resume at another endpoint."""
    watch_stream.close_watch(state)
    match fault:
        case CallFault.COMPACTED:
            state.delivered.needs_snapshot, state.delivered.has_gap = True, False
            snapshot.restart(state, reason or "the watch's revision was compacted")
        case CallFault.TOKEN_EXPIRED if not state.session.has_renewed_token:
            state.session.has_renewed_token = True
            watch_stream.open_watch(state)
        case _:
            if fault in (CallFault.UNREADABLE, CallFault.TOO_LARGE):
                state.delivered.needs_snapshot = True
            verdict = endpoint_selection.verdict_for_fault(fault)
            endpoint_selection.abandon_endpoint(state, verdict, f"the watch ended: {reason}")
