"""Watches the endpoint list in etcd: which etcd endpoint is asked for what, and when another one is used.

`EtcdWatcher.handle` takes an event and a clock time and returns actions; the caller owns the sockets. An
endpoint is first asked for a small linearizable read (a *check*), which shows its cluster, its revision and
that it reaches its quorum; then for a snapshot, in pages of one revision; then for a watch from that revision
on. A watch that breaks is resumed where it was, at any endpoint of the same cluster.

What is delivered never goes backwards:

- Nothing is used of an endpoint whose revision is behind the delivered one (it lags): it is left. Events that
  were delivered before are dropped.
- If all endpoints answer and all lag, for MIN_REGRESSION_ROUNDS rounds and MIN_REGRESSION_MS, etcd was
  restored from a backup: the source is rejected, until the operators raise `epoch`, which begins a new order.
  If etcd gets past the delivered revision by itself, a snapshot is fetched, as events may be missing in
  between. So it is if the raft term of a linearizable read went back, which shows a backup that got past
  that revision already.
- A new cluster id begins a new order, by a snapshot. It is adopted only in a round in which no endpoint of
  the present cluster answers. A cluster that was left so is never returned to (the last MAX_FORMER_CLUSTERS
  ids are remembered) until the program or the `epoch` starts anew: endpoints of two clusters in one list
  cannot make the view alternate.

A silent watch shows nothing (etcd sends progress notifications every ten minutes), so the endpoint in use is
checked every CHECK_INTERVAL_MS on another connection. It is left when a check is not answered within
CHECK_TIMEOUT_MS, or MAX_FAILED_CHECKS fail. A watch that is silent for about SILENT_WATCH_TIMEOUT_MS while
etcd's revision advances is reopened, in case its connection alone is dead.

If the operators configure how many snapshots per second their etcd can serve, each is fetched in the node's
time slot (`core/staggering`). Before its first snapshot a node does not even connect until then. Later, after
a compaction or a key count that differs, it continues with a watch: from the current revision on if the old
watch is of no use, so that only what fell into the *gap* waits for the snapshot. A snapshot that failed is
fetched in a later slot, and one that was rejected at no other endpoint before.

The modules, each with its state in `state`:

- `endpoint_selection`: the endpoint in use, and rounds in which none is usable
- `endpoint_check`: the answers to checks
- `snapshot_schedule`, `snapshot`: time slots; paging and delivery
- `watch_stream`, `watch`: opening and closing; events, progress and end
- `audit`: deletions that the watch lost
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

    `resume_from` is an identity and a revision that an earlier watcher of the source delivered.
    `time_slots` tells when this node may fetch snapshots; without it, whenever one is needed.
    Raises ValueError if there is no endpoint.
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
            raise ValueError("no endpoint to ask")
        names = tuple(endpoint_names) or tuple(f"endpoint {i + 1}" for i in range(endpoint_count))
        order = rng.sample(range(endpoint_count), endpoint_count)
        backoff = Backoff(limits.MIN_BACKOFF_MS, limits.MAX_BACKOFF_MS, rng)
        self.state = WatcherState(
            source_name, epoch, rng, SelectionState(names, order, backoff), SnapshotState(time_slots)
        )
        if resume_from is not None:
            self._resume(*resume_from)

    def _resume(self, identity: str, revision: int) -> None:
        """Continue the order of an earlier watcher, if the epoch is still the same."""
        cluster_id, _, epoch = identity.rpartition("/")
        if epoch != str(self.state.epoch) or not cluster_id:
            return
        delivered = self.state.delivered
        delivered.cluster_id = cluster_id
        delivered.seen_revision = delivered.complete_revision = revision
        # Due at once: until the snapshot is delivered, the updates of this source do not count.
        self.state.snapshot.due_at_ms = 0.0

    def __repr__(self) -> str:
        state = self.state
        is_connected = state.phase not in (WatcherPhase.STOPPED, WatcherPhase.WAITING)
        where = f" {state.endpoint_name}" if is_connected else ""
        revision = state.delivered.seen_revision
        return f"<EtcdWatcher {state.source_name} {state.phase.value}{where} {state.identity} at {revision}>"

    @property
    def phase(self) -> WatcherPhase:
        """What the endpoint in use is being asked for."""
        return self.state.phase

    @property
    def cluster_id(self) -> str | None:
        """The cluster that the delivered revisions belong to, None before the first snapshot."""
        return self.state.delivered.cluster_id

    @property
    def identity(self) -> str:
        """The order that revisions belong to: a cluster and the operators' epoch."""
        return self.state.identity

    @property
    def min_revision(self) -> int:
        """The newest delivered revision; no endpoint of the cluster is used that is behind it."""
        return self.state.min_revision

    @property
    def endpoint_index(self) -> int:
        """The endpoint in use, or the next one."""
        return self.state.endpoint_index

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event at the clock time `now_ms`. Answers to calls of the past are ignored."""
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
    """Use the first endpoint, at this node's time slot."""
    if state.phase is not WatcherPhase.STOPPED:
        return
    wait_ms = 0.0 if state.delivered.has_snapshot else snapshot_schedule.remaining_wait_ms(state)
    if wait_ms:
        state.write_log("info", f"the whole list has its turn in {wait_ms / 1000:.1f} s")
        endpoint_selection.wait(state, wait_ms)
    else:
        endpoint_selection.begin_checking(state)


def _stop(state: WatcherState) -> None:
    """Close everything; what was delivered is kept."""
    if state.phase is not WatcherPhase.STOPPED:
        endpoint_selection.reset_calls(state)
        state.phase = WatcherPhase.STOPPED


def _on_watch_message(
    state: WatcherState, event: WatchCreated | WatchEventsReceived | WatchProgressed
) -> None:
    """A message of the watch in use: confirmed once, and before anything else."""
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
            reason = "a watch that was not created says something"
            endpoint_selection.leave(state, EndpointVerdict.UNAVAILABLE, reason)


def _on_call_failed(state: WatcherState, event: CallFailed) -> None:
    """Hand the failure to the job whose call it is."""
    if event.call_id == state.watch.call_id:
        watch.on_ended(state, event.fault, event.reason)
    elif event.call_id == state.snapshot.call_id:
        snapshot.on_page_failed(state, event)
    elif event.call_id == state.session.check_call_id:
        endpoint_check.on_failed(state, event)


def _on_timer_fired(state: WatcherState, token: int) -> None:
    """Hand the timer to the job whose token it is; others are of the past. 0 stands for no timer."""
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
            endpoint_selection.leave(state, EndpointVerdict.UNAVAILABLE, reason)
