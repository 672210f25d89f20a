"""Watches the endpoint list in etcd: decides which etcd endpoint to use, and what to request from it.

`EtcdWatcher.handle` takes an event and the clock time and returns actions; the caller owns the sockets. The
first request to an endpoint is a small linearizable read (a *check*), which shows its cluster, its revision,
and that it reaches its quorum. A snapshot follows, in pages of one revision, and then a watch from that
revision. A broken watch is resumed where it stopped, at any endpoint of the same cluster.

Delivered data never moves backwards:

- An endpoint whose revision is behind the delivered one is lagging: it is abandoned, and nothing it sends is
  used. Events that were delivered before are dropped.
- If all endpoints answer and all lag, for MIN_REGRESSION_ROUNDS rounds and MIN_REGRESSION_MS, etcd was
  restored from a backup. The source is rejected until the operators raise `epoch`, which starts a new order.
  If etcd passes the delivered revision by itself, a snapshot is fetched, as events in between may be
  missing. The same happens if the raft term of a linearizable read decreased, which shows a restored backup
  that has already passed the delivered revision.
- A new cluster id starts a new order, with a snapshot. It is adopted only in a round in which no endpoint of
  the current cluster answers. A replaced cluster is never adopted again until the process restarts or `epoch`
  changes (the last MAX_FORMER_CLUSTERS ids are remembered), so that endpoints of two clusters in one
  configuration cannot make the view alternate.

A silent watch proves nothing, because etcd sends progress notifications only every ten minutes. The endpoint
in use is therefore checked every CHECK_INTERVAL_MS on another connection. It is abandoned if a check is not
answered within CHECK_TIMEOUT_MS, or if MAX_FAILED_CHECKS fail. A watch that is silent for about
SILENT_WATCH_TIMEOUT_MS while etcd's revision advances is reopened, in case only its connection is dead.

If the operators configure how many snapshots per second their etcd can serve, each snapshot is fetched in the
node's time slot (`core/staggering`). Before its first snapshot a node does not even connect until its slot.
Later, after a compaction or a key count mismatch, it continues with a watch while it waits. If the old watch
is unusable, the new one starts at the current revision, so that only events in the *gap* wait for the
snapshot. A failed snapshot is fetched in a later slot, and a rejected one is not retried at another endpoint
before that slot.

The modules, whose states are in `state`:

- `endpoint_selection`: the endpoint in use, and rounds in which none is usable
- `endpoint_check`: the answers to checks
- `snapshot_schedule`, `snapshot`: time slots; paging and delivery
- `watch_stream`, `watch`: opening and closing; events, progress and end
- `audit`: detection of deletions that the watch lost
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from balancer.core.backoff import Backoff
from balancer.core.discovery.etcd_watcher import (
    endpoint_check,
    endpoint_selection,
    limits,
    snapshot,
    snapshot_schedule,
    watch,
)
from balancer.core.discovery.etcd_watcher.messages import (
    Action,
    CallFailed,
    CheckAnswered,
    Event,
    SnapshotPageReceived,
    TimerFired,
    WatchCanceled,
    WatchCreated,
    WatcherStarted,
    WatcherStopped,
    WatchEventsReceived,
    WatchProgressed,
)
from balancer.core.discovery.etcd_watcher.state import (
    EndpointVerdict,
    SelectionState,
    SnapshotState,
    WatcherPhase,
    WatcherState,
)
from balancer.core.staggering import StaggeredSchedule


class EtcdWatcher:
    """Watches one etcd cluster for the source `source_name`.

    `resume_from` is the identity and revision that an earlier watcher of the source delivered. `time_slots`
    schedules the snapshots of this node; without it, they are fetched whenever needed. Raises ValueError if
    there is no endpoint.
    """

    def __init__(
        self,
        source_name: str,
        endpoint_count: int,
        rng: random.Random,
        *,
        epoch: int = 0,
        resume_from: tuple[str, int] | None = None,
        endpoint_names: Sequence[str] = (),
        time_slots: StaggeredSchedule | None = None,
    ) -> None:
        if endpoint_count < 1:
            raise ValueError("the etcd watcher needs at least one endpoint")
        names = tuple(endpoint_names) or tuple(f"endpoint {i + 1}" for i in range(endpoint_count))
        order = rng.sample(range(endpoint_count), endpoint_count)
        backoff = Backoff(limits.MIN_BACKOFF_MS, limits.MAX_BACKOFF_MS, rng)
        self.state = WatcherState(
            source_name, epoch, rng, SelectionState(names, order, backoff), SnapshotState(time_slots)
        )
        if resume_from is not None:
            self._resume(*resume_from)

    def _resume(self, identity: str, revision: int) -> None:
        """Continue the revision order of an earlier watcher, if the epoch is the same."""
        cluster_id, _, epoch = identity.rpartition("/")
        if epoch != str(self.state.epoch) or not cluster_id:
            return
        delivered = self.state.delivered
        delivered.cluster_id = cluster_id
        delivered.seen_revision = delivered.complete_revision = revision
        # Due immediately, as updates of this source are ignored until the snapshot is delivered.
        self.state.snapshot.due_at_ms = 0.0

    def __repr__(self) -> str:
        state = self.state
        is_connected = state.phase not in (WatcherPhase.STOPPED, WatcherPhase.WAITING)
        endpoint = f" {state.endpoint_name}" if is_connected else ""
        revision = state.delivered.seen_revision
        return (
            f"<EtcdWatcher {state.source_name} {state.phase.value}{endpoint} {state.identity} at {revision}>"
        )

    @property
    def phase(self) -> WatcherPhase:
        """What the watcher is currently doing with the endpoint in use."""
        return self.state.phase

    @property
    def cluster_id(self) -> str | None:
        """The cluster of the delivered revisions, None before the first snapshot."""
        return self.state.delivered.cluster_id

    @property
    def identity(self) -> str:
        """The revision order: the cluster id and the operators' epoch."""
        return self.state.identity

    @property
    def min_revision(self) -> int:
        """The newest delivered revision; endpoints of the cluster that are behind it are not used."""
        return self.state.min_revision

    @property
    def endpoint_index(self) -> int:
        """The index of the endpoint in use, or of the next one."""
        return self.state.endpoint_index

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event at the clock time `now_ms`. Answers to calls that have ended are ignored."""
        state = self.state
        state.now_ms, state.actions = now_ms, []
        match event:
            case WatcherStarted():
                _start(state)
            case WatcherStopped():
                _stop(state)
            case TimerFired():
                _on_timer_fired(state, event.token)
            case CheckAnswered() if event.call_id == state.session.check_call_id:
                endpoint_check.on_answered(state, event)
            case SnapshotPageReceived() if event.call_id == state.snapshot.call_id:
                snapshot.on_page_received(state, event)
            case WatchCreated() | WatchEventsReceived() | WatchProgressed() if (
                event.call_id == state.watch.call_id
            ):
                _on_watch_message(state, event)
            case WatchCanceled() if event.call_id == state.watch.call_id:
                watch.on_canceled(state, event)
            case CallFailed():
                _on_call_failed(state, event)
        return state.actions


def _start(state: WatcherState) -> None:
    """Begin with the first endpoint, at this node's time slot if there is one."""
    if state.phase is not WatcherPhase.STOPPED:
        return
    wait_ms = 0.0 if state.delivered.has_snapshot else snapshot_schedule.remaining_wait_ms(state)
    if wait_ms:
        state.write_log("info", f"the snapshot is scheduled in {wait_ms / 1000:.1f} s")
        endpoint_selection.wait(state, wait_ms)
    else:
        endpoint_selection.begin_checking(state)


def _stop(state: WatcherState) -> None:
    """Close all connections; the delivered state is kept."""
    if state.phase is not WatcherPhase.STOPPED:
        endpoint_selection.reset_calls(state)
        state.phase = WatcherPhase.STOPPED


def _on_watch_message(
    state: WatcherState, event: WatchCreated | WatchEventsReceived | WatchProgressed
) -> None:
    """Handle a message of the watch in use; the confirmation has to come first, repeated ones are ignored."""
    match event, state.phase:
        case WatchCreated(), WatcherPhase.OPENING_WATCH:
            watch.on_created(state, event.position)
        case WatchCreated(), _:
            pass
        case WatchEventsReceived(), WatcherPhase.WATCHING:
            watch.on_events(state, event)
        case WatchProgressed(), WatcherPhase.WATCHING:
            watch.on_progressed(state, event.position)
        case _:
            reason = "a message arrived on an unconfirmed watch"
            endpoint_selection.abandon_endpoint(state, EndpointVerdict.UNAVAILABLE, reason)


def _on_call_failed(state: WatcherState, event: CallFailed) -> None:
    """Pass the failure to the module that made the call."""
    if event.call_id == state.watch.call_id:
        watch.on_ended(state, event.fault, event.reason)
    elif event.call_id == state.snapshot.call_id:
        snapshot.on_page_failed(state, event)
    elif event.call_id == state.session.check_call_id:
        endpoint_check.on_failed(state, event)


def _on_timer_fired(state: WatcherState, token: int) -> None:
    """Pass the timer to the module that set it; outdated timers are ignored. Token 0 means no timer."""
    if not token:
        return
    if token == state.session.check_token:
        endpoint_check.on_timer_fired(state)
    elif token == state.snapshot.slot_token:
        snapshot.on_slot_reached(state)
    elif token == state.phase_token:
        if state.phase is WatcherPhase.WAITING:
            endpoint_selection.begin_checking(state)
        else:
            reason = f"no answer in {limits.CALL_TIMEOUT_MS:.0f} ms while {state.phase.value}"
            endpoint_selection.abandon_endpoint(state, EndpointVerdict.UNAVAILABLE, reason)
