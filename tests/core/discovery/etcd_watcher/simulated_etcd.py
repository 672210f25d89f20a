"""A simulated etcd with several endpoints and faults, which executes a watcher's actions.

It checks each delivered list: the view has to be a state that etcd had, and no revision order goes back.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import messages
from balancer.core.discovery.etcd_watcher.messages import CallFault, Position
from balancer.core.discovery.etcd_watcher.watcher import EtcdWatcher
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointRecord
from tests.core.discovery.etcd_watcher import driver

KEYS = "abcdefghij"
MAX_CLUSTERS = 4


class Fault(IntEnum):
    """A fault of a random endpoint or of its cluster. Other numbers only write keys."""

    ENDPOINT_UP = 0
    ENDPOINT_DOWN = 1
    ENDPOINT_FROZEN = 2
    LAG = 3
    COMPACTION = 4
    NEW_CLUSTER = 5
    WATCH_BROKEN_AND_COMPACTED = 6


class Cluster:
    """The changes of each revision. A key changes at most once in a revision, as in etcd."""

    def __init__(self, cluster_id: str) -> None:
        self.cluster_id = cluster_id
        # Indexed by revision; etcd's first is 1.
        self.changes: list[dict[str, EndpointRecord | None]] = [{}, {}]
        self.states: list[dict[str, EndpointRecord]] = [{}, {}]
        self.compact_revision = 0

    @property
    def revision(self) -> int:
        """The newest revision."""
        return len(self.changes) - 1

    def commit(self, changes: dict[str, EndpointRecord | None]) -> None:
        """Write keys, or delete those with value None, in one revision."""
        state = dict(self.states[-1])
        for key, value in changes.items():
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
        self.changes.append(changes)
        self.states.append(state)


@dataclass
class Endpoint:
    """An endpoint of a cluster, which may lag by some revisions."""

    cluster: Cluster
    mode: str = "up"  # up, down (refuses), frozen (does not answer)
    lag_revisions: int = 0

    @property
    def revision(self) -> int:
        """The revision that this endpoint has reached."""
        return max(1, self.cluster.revision - self.lag_revisions)

    @property
    def position(self) -> Position:
        """The header of its answers."""
        return Position(self.cluster.cluster_id, self.revision, 2)


@dataclass
class WatchStream:
    """An open watch, and the position up to which its events were sent."""

    call_id: int
    endpoint: Endpoint
    next_revision: int
    sent_count: int = 0  # changes of `next_revision` that were sent
    cluster: Cluster = field(init=False)

    def __post_init__(self) -> None:
        self.cluster = self.endpoint.cluster


class SimulatedEtcd:
    """Executes a watcher's actions on simulated endpoints, with some simulated milliseconds of delay."""

    def __init__(self, seed: int, endpoint_count: int, time_slots: StaggeredSchedule | None = None) -> None:
        self.rng = random.Random(seed)
        self.clusters = [Cluster("1")]
        self.endpoints = [Endpoint(self.clusters[0]) for _ in range(endpoint_count)]
        self.watcher = EtcdWatcher("etcd", endpoint_count, random.Random(seed), time_slots=time_slots)
        self.now_ms = 0.0
        self.queue: list[tuple[float, int, Callable[[], messages.Event | None]]] = []
        self.queued_count = 0
        self.stream: WatchStream | None = None
        self.is_healthy = False
        # The delivered state.
        self.view: dict[str, EndpointRecord] = {}
        self.latest_revisions: dict[str, int] = {}  # by identity
        self.identity = ""
        self.lost_deletions: dict[str, EndpointRecord] = {}  # in view when etcd dropped the deletion

    def call_later(self, delay_ms: float, create_event: Callable[[], messages.Event | None]) -> None:
        """After a delay, create an event and have the watcher handle it, if it is not None."""
        self.queued_count += 1
        heapq.heappush(self.queue, (self.now_ms + delay_ms, self.queued_count, create_event))

    def run(self, until_ms: float) -> None:
        """Advance the clock and handle all events that are due."""
        while self.queue and self.queue[0][0] <= until_ms:
            self.now_ms, _, create_event = heapq.heappop(self.queue)
            if (event := create_event()) is not None:
                self.handle(event)
        self.now_ms = until_ms

    def handle(self, event: messages.Event) -> None:
        """Have the watcher handle an event now, and execute its actions."""
        for action in self.watcher.handle(self.now_ms, event):
            match action:
                case messages.SetTimer():
                    self._set_timer(action)
                case messages.DeliverUpdate(update=endpoint_merger.EndpointsListed() as listed):
                    self._check_delivered(listed)
                case messages.CloseWatch() | messages.CloseConnections():
                    self.stream = None
                case messages.OpenWatch():
                    self._open_watch(action)
                case messages.CheckEndpoint() | messages.FetchSnapshotPage():
                    self._receive_call(action)

    def _set_timer(self, action: messages.SetTimer) -> None:
        self.call_later(action.at_ms - self.now_ms, lambda: messages.TimerFired(action.token))

    # --- calls

    def _open_watch(self, action: messages.OpenWatch) -> None:
        endpoint, delay_ms = self.endpoints[action.endpoint_index], self.rng.uniform(1, 20)
        if endpoint.mode == "down":
            self._refuse(action.call_id, delay_ms)
        elif endpoint.mode == "up":
            self.stream = stream = WatchStream(action.call_id, endpoint, action.start_revision)
            is_reached = action.start_revision <= endpoint.revision + 1
            assert is_reached or endpoint.lag_revisions or not self.is_healthy
            self.call_later(delay_ms, lambda: self._confirm_watch(stream))

    def _receive_call(self, action: messages.CheckEndpoint | messages.FetchSnapshotPage) -> None:
        endpoint, delay_ms = self.endpoints[action.endpoint_index], self.rng.uniform(1, 20)
        if endpoint.mode == "down":
            self._refuse(action.call_id, delay_ms)
        elif endpoint.mode == "up":
            # The answer reflects some moment between the call and the answer's arrival.
            self.call_later(delay_ms, lambda: self._answer(action, endpoint))

    def _refuse(self, call_id: int, delay_ms: float) -> None:
        self.call_later(delay_ms, lambda: messages.CallFailed(call_id, CallFault.FAILED, "refused"))

    def _answer(
        self, action: messages.CheckEndpoint | messages.FetchSnapshotPage, endpoint: Endpoint
    ) -> messages.Event | None:
        if endpoint.mode != "up":
            is_down = endpoint.mode == "down"
            return messages.CallFailed(action.call_id, CallFault.FAILED, "cut") if is_down else None
        event: messages.Event
        if isinstance(action, messages.CheckEndpoint):
            state = endpoint.cluster.states[endpoint.revision]
            key_count = len(state) if action.counts_keys else None
            event = messages.CheckAnswered(action.call_id, endpoint.position, key_count)
        else:
            event = self._read_page(action, endpoint)
        self.call_later(self.rng.uniform(0, 10), lambda: event)
        return None

    def _read_page(self, action: messages.FetchSnapshotPage, endpoint: Endpoint) -> messages.Event:
        cluster, position = endpoint.cluster, endpoint.position
        revision = action.revision or position.revision
        if revision < cluster.compact_revision or revision > position.revision:
            return messages.CallFailed(action.call_id, CallFault.COMPACTED, "compacted")
        state = cluster.states[revision]
        keys = sorted(key for key in state if key.encode() > action.after_key)
        page = keys[: self.rng.randint(1, 3)]
        return messages.SnapshotPageReceived(
            action.call_id,
            position,
            tuple(state[key] for key in page),
            page[-1].encode() if page else b"",
            len(page) < len(keys),
            len(keys),
        )

    # --- the watch

    def _confirm_watch(self, stream: WatchStream) -> messages.Event | None:
        if stream is not self.stream or stream.endpoint.mode != "up":
            return None
        self.call_later(5, lambda: self._send_on_watch(stream))
        return messages.WatchCreated(stream.call_id, stream.endpoint.position)

    def _send_on_watch(self, stream: WatchStream) -> messages.Event | None:
        """The next message of a watch: events, split at any point and possibly affected by faults."""
        endpoint, rng = stream.endpoint, self.rng
        if stream is not self.stream:
            return None
        if endpoint.mode == "down" or endpoint.cluster is not stream.cluster:
            return messages.CallFailed(stream.call_id, CallFault.FAILED, "cut")
        self.call_later(rng.uniform(1, 60), lambda: self._send_on_watch(stream))
        if endpoint.mode == "frozen":
            return None
        compact_revision = stream.cluster.compact_revision
        if stream.next_revision < compact_revision:
            return messages.WatchCanceled(stream.call_id, compact_revision, CallFault.FAILED, "")
        fault_draw = 1.0 if self.is_healthy else rng.random()
        if fault_draw < 0.02:
            fault = rng.choice([CallFault.UNREADABLE, CallFault.FAILED])
            return messages.CallFailed(stream.call_id, fault, "fault")
        replayed = self._replayed_events(stream) if fault_draw < 0.1 else []
        new_events = self._new_events(stream)
        if not new_events:
            is_progress = stream.sent_count == 0 and rng.random() < 0.2
            return messages.WatchProgressed(stream.call_id, endpoint.position) if is_progress else None
        cut = rng.randint(1, len(new_events)) if rng.random() < 0.5 else len(new_events)
        sent, rest = new_events[:cut], new_events[cut:]
        self._advance(stream, sent, rest)
        events = tuple(replayed + sent)
        return messages.WatchEventsReceived(stream.call_id, endpoint.position, events, bool(rest))

    def _replayed_events(self, stream: WatchStream) -> list[messages.WatchEvent]:
        first_revision = max(1, stream.next_revision - self.rng.randint(1, 20))
        return [
            messages.WatchEvent(revision, value or key)
            for revision in range(first_revision, stream.next_revision)
            for key, value in stream.cluster.changes[revision].items()
        ]

    def _new_events(self, stream: WatchStream) -> list[messages.WatchEvent]:
        """The unsent events, except deletions that a compaction dropped, as in etcd 3.4."""
        events = []
        for revision in range(stream.next_revision, stream.endpoint.revision + 1):
            changes = stream.cluster.changes[revision]
            sent_count = stream.sent_count if revision == stream.next_revision else 0
            for key in sorted(changes)[sent_count:]:
                value = changes[key]
                if revision > stream.cluster.compact_revision or value is not None:
                    events.append(messages.WatchEvent(revision, value or key))
                elif key in self.view:
                    self.lost_deletions[key] = self.view[key]
        return events

    def _advance(
        self, stream: WatchStream, sent: list[messages.WatchEvent], rest: list[messages.WatchEvent]
    ) -> None:
        """Record the position of the stream, given the events that are still to be sent."""
        if not rest:
            stream.next_revision, stream.sent_count = stream.endpoint.revision + 1, 0
            return
        revision = rest[0].revision
        sent_before = stream.sent_count if revision == stream.next_revision else 0
        sent_now = sum(1 for event in sent if event.revision == revision)
        stream.next_revision, stream.sent_count = revision, sent_before + sent_now

    # --- checks of the delivered lists

    def _check_delivered(self, update: endpoint_merger.EndpointsListed) -> None:
        """Apply a list to the view, which has to equal etcd's state at each complete revision."""
        self._apply(update)
        endpoint_list, delivered = update.endpoint_list, self.watcher.state.delivered
        cluster = next(c for c in reversed(self.clusters) if f"{c.cluster_id}/0" == update.identity)
        state = cluster.states[endpoint_list.revision]
        state_before = cluster.states[endpoint_list.revision - 1]
        # An endpoint whose deletion etcd dropped stays in view until the next key count reveals it. A key
        # that was written again is delivered, at the latest with the last fragment of its revision.
        self.lost_deletions = {
            key: value
            for key, value in self.lost_deletions.items()
            if self.view.get(key) is value and state.get(key) is not value
        }
        if delivered.has_gap:
            return  # the events in the gap follow with the snapshot
        view = {key: value for key, value in self.view.items() if key not in self.lost_deletions}
        if delivered.complete_revision >= endpoint_list.revision or endpoint_list.is_complete:
            assert view == state and not (endpoint_list.is_complete and self.lost_deletions)
        for key in view.keys() | state.keys():
            assert view.get(key) in (state.get(key), state_before.get(key))

    def _apply(self, update: endpoint_merger.EndpointsListed) -> None:
        endpoint_list = update.endpoint_list
        assert endpoint_list.revision >= self.latest_revisions.get(update.identity, 0), (
            "the revision went back within an order"
        )
        self.latest_revisions[update.identity] = endpoint_list.revision
        if endpoint_list.is_complete:
            self.view = {}
        else:
            assert update.identity == self.identity, "incremental update before the snapshot of its order"
        self.identity = update.identity
        for key in endpoint_list.removed_ids:
            self.view.pop(key, None)
        self.view |= {record.id: record for record in endpoint_list.records}

    # --- faults

    def write(self) -> None:
        """Write or delete random keys in one revision."""
        cluster = self.endpoints[0].cluster
        keys = self.rng.sample(KEYS, self.rng.randint(1, 5))
        changes = {
            key: None if self.rng.random() < 0.4 else driver.endpoint(key, self.rng.randint(1, 9))
            for key in keys
        }
        existing = cluster.states[-1]
        cluster.commit({key: value for key, value in changes.items() if value is not None or key in existing})

    def inject(self, fault: int) -> None:
        """Inject a fault, followed by some writes."""
        endpoint = self.rng.choice(self.endpoints)
        cluster = endpoint.cluster
        match fault:
            case Fault.ENDPOINT_UP | Fault.ENDPOINT_DOWN | Fault.ENDPOINT_FROZEN:
                endpoint.mode = ("up", "down", "frozen")[fault]
            case Fault.LAG:
                endpoint.lag_revisions = self.rng.choice([0, 0, 5, 50])
            case Fault.COMPACTION:
                compact_revision = cluster.revision - self.rng.randint(0, 3)
                cluster.compact_revision = max(cluster.compact_revision, compact_revision)
            case Fault.NEW_CLUSTER if len(self.clusters) < MAX_CLUSTERS:
                self.clusters.append(Cluster(str(len(self.clusters) + 1)))
                for other in self.endpoints:
                    other.cluster = self.clusters[-1]
            case Fault.WATCH_BROKEN_AND_COMPACTED:
                self.stream = None
                watch_call_id = self.watcher.state.watch.call_id
                self.handle(messages.CallFailed(watch_call_id, CallFault.FAILED, "cut"))
                self.write()
                cluster.compact_revision = cluster.revision
                return
        for _ in range(self.rng.randint(0, 6)):
            self.write()

    def heal(self) -> None:
        """End all faults."""
        self.is_healthy = True
        for endpoint in self.endpoints:
            endpoint.mode, endpoint.lag_revisions = "up", 0
