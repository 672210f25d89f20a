"""A driver for tests of the etcd watcher, with a clock and answers to the watcher's last calls."""

from __future__ import annotations

import random
from typing import TypeVar

from balancer import interface as api
from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.etcd_watcher import messages
from balancer.core.discovery.etcd_watcher.messages import CallFault, Position
from balancer.core.discovery.etcd_watcher.state import WatcherPhase, WatcherState
from balancer.core.discovery.etcd_watcher.watcher import EtcdWatcher
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointList, EndpointRecord


def endpoint(name: str, weight: float = 1.0, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
    """An endpoint record."""
    return EndpointRecord(api.Endpoint(name, "", -1, weight, phase, 0.0, ""), ("127.0.0.1", 80))


A, B, C = endpoint("a"), endpoint("b"), endpoint("c")

CallT = TypeVar("CallT", messages.CheckEndpoint, messages.FetchSnapshotPage, messages.OpenWatch)


class WatcherDriver:
    """A watcher and a clock, with the calls it made, the updates it delivered and its log lines."""

    def __init__(self, endpoint_count: int = 1, seed: int = 1, **options: object) -> None:
        self.watcher = EtcdWatcher("etcd", endpoint_count, random.Random(seed), **options)  # type: ignore[arg-type]
        self.now_ms = 0.0
        self.calls: list[messages.Action] = []
        self.updates: list[object] = []
        self.log_texts: list[str] = []
        self.timers: dict[int, float] = {}

    @property
    def state(self) -> WatcherState:
        """The watcher's state."""
        return self.watcher.state

    def send(self, event: messages.Event) -> list[messages.Action]:
        """Have the watcher handle an event now; returns its actions."""
        actions = self.watcher.handle(self.now_ms, event)
        for action in actions:
            match action:
                case messages.DeliverUpdate():
                    self.updates.append(action.update)
                case messages.WriteLog():
                    self.log_texts.append(action.text)
                case messages.SetTimer():
                    self.timers[action.token] = action.at_ms
                case _:
                    self.calls.append(action)
        return actions

    def last_call(self, kind: type[CallT]) -> CallT:
        """The last call of a type."""
        return next(action for action in reversed(self.calls) if isinstance(action, kind))

    def last_call_id(self, kind: type[CallT]) -> int:
        """The id of the last call of a type."""
        return self.last_call(kind).call_id

    def fire_next_timer(self) -> None:
        """Advance the clock to the next timer that is still in use, and fire it."""
        active_tokens = {
            self.state.session.check_token,
            self.state.phase_token,
            self.state.snapshot.slot_token,
        } - {0}
        token = min(active_tokens, key=lambda token: self.timers[token])
        self.now_ms = max(self.now_ms, self.timers[token])
        self.send(messages.TimerFired(token))

    # --- answers of etcd

    def answer_check(self, revision: int, cluster_id: str = "1", raft_term: int = 2) -> None:
        """Answer the last check."""
        position = Position(cluster_id, revision, raft_term)
        self.send(messages.CheckAnswered(self.last_call_id(messages.CheckEndpoint), position))

    def fail(self, kind: type[CallT], fault: CallFault = CallFault.FAILED) -> None:
        """Fail the last call of a type."""
        self.send(messages.CallFailed(self.last_call_id(kind), fault, "test"))

    def answer_page(
        self,
        revision: int,
        *entries: messages.EntryUpdate,
        cluster_id: str = "1",
        last_key: bytes = b"z",
        has_more: bool = False,
        key_count: int | None = None,
    ) -> None:
        """Answer the last page; without `key_count` each entry is a key."""
        position = Position(cluster_id, revision)
        count = len(entries) if key_count is None else key_count
        call_id = self.last_call_id(messages.FetchSnapshotPage)
        self.send(messages.SnapshotPageReceived(call_id, position, entries, last_key, has_more, count))

    def answer_key_count(self, revision: int, key_count: int) -> None:
        """Answer checks up to and including the next one that counts the keys."""
        for _ in range(1_000):
            self.fire_next_timer()
            check = self.last_call(messages.CheckEndpoint)
            if check.counts_keys:
                self.send(messages.CheckAnswered(check.call_id, Position("1", revision, 2), key_count))
                return
            self.answer_check(revision)
        raise AssertionError("no check counts the keys")

    def confirm_watch(self, revision: int, cluster_id: str = "1") -> None:
        """Confirm the last watch."""
        call_id = self.last_call_id(messages.OpenWatch)
        self.send(messages.WatchCreated(call_id, Position(cluster_id, revision)))

    def send_watch_events(
        self,
        *changes: tuple[int, messages.EntryUpdate],
        header_revision: int = 0,
        is_fragment: bool = False,
    ) -> None:
        """Send events of the watch, each a revision and an entry."""
        events = tuple(messages.WatchEvent(revision, entry) for revision, entry in changes)
        position = Position("1", header_revision or max(revision for revision, _ in changes))
        call_id = self.last_call_id(messages.OpenWatch)
        self.send(messages.WatchEventsReceived(call_id, position, events, is_fragment))

    def notify_progress(self, revision: int) -> None:
        """Send a progress notification of the watch."""
        call_id = self.last_call_id(messages.OpenWatch)
        self.send(messages.WatchProgressed(call_id, Position("1", revision)))

    def cancel_watch(
        self, compact_revision: int, fault: CallFault = CallFault.FAILED, reason: str = ""
    ) -> None:
        """Cancel the last watch."""
        call_id = self.last_call_id(messages.OpenWatch)
        self.send(messages.WatchCanceled(call_id, compact_revision, fault, reason))

    def start_watching(
        self, revision: int, *entries: messages.EntryUpdate, cluster_id: str = "1"
    ) -> WatcherDriver:
        """Start the watcher and bring it to an open watch after a snapshot."""
        self.send(messages.WatcherStarted())
        self.answer_check(revision, cluster_id)
        self.answer_page(revision, *entries, cluster_id=cluster_id)
        self.confirm_watch(revision, cluster_id)
        return self

    def prove_endpoint(self) -> None:
        """Answer a check while the watch is open, which proves that the endpoint is usable."""
        self.fire_next_timer()
        self.answer_check(self.state.delivered.seen_revision, self.state.session.cluster_id)

    # --- results of the watcher

    def is_in(self, *phases: WatcherPhase) -> bool:
        """Whether the watcher is in one of the phases."""
        return self.state.phase in phases

    @property
    def delivered_lists(self) -> list[endpoint_merger.EndpointsListed]:
        """The snapshots and incremental updates that were delivered."""
        return [update for update in self.updates if isinstance(update, endpoint_merger.EndpointsListed)]

    @property
    def last_list(self) -> EndpointList:
        """The last snapshot or incremental update that was delivered."""
        return self.delivered_lists[-1].endpoint_list

    @property
    def view(self) -> dict[str, EndpointRecord]:
        """The view that the endpoint merger would build from the delivered lists."""
        view: dict[str, EndpointRecord] = {}
        for update in self.delivered_lists:
            if update.endpoint_list.is_complete:
                view = {}
            for endpoint_id in update.endpoint_list.removed_ids:
                view.pop(endpoint_id, None)
            view |= {record.id: record for record in update.endpoint_list.records}
        return view

    @property
    def watch_start_revision(self) -> int:
        """The start revision of the last watch."""
        return self.last_call(messages.OpenWatch).start_revision


def driver_in_phase(phase: WatcherPhase) -> WatcherDriver:
    """A driver of a watcher with two endpoints that has reached the phase."""
    driver = WatcherDriver(2)
    if phase is WatcherPhase.STOPPED:
        return driver
    driver.send(messages.WatcherStarted())
    if phase is WatcherPhase.WAITING:
        driver.fail(messages.CheckEndpoint)
        driver.fail(messages.CheckEndpoint)
    elif phase is not WatcherPhase.CHECKING:
        driver.answer_check(5)
        if phase is not WatcherPhase.FETCHING_SNAPSHOT:
            driver.answer_page(5, A)
            if phase is WatcherPhase.WATCHING:
                driver.confirm_watch(5)
    assert driver.is_in(phase)
    return driver


NODE_COUNT, SNAPSHOTS_PER_S = 100, 50.0
PERIOD_MS = 2_500.0  # the period over which that many nodes are staggered at that rate


class StaggeredDriver(WatcherDriver):
    """A driver of a watcher that has time slots for its snapshots."""

    def __init__(self, endpoint_count: int = 1, node_index: int = 1, **options: object) -> None:
        self.time_slots = StaggeredSchedule(node_index, NODE_COUNT, SNAPSHOTS_PER_S)
        super().__init__(endpoint_count, 1, time_slots=self.time_slots, **options)

    def watch_after_first_slot(self) -> StaggeredDriver:
        """Bring the watcher to an open watch after a snapshot of a and b at revision 5."""
        self.send(messages.WatcherStarted())
        self.fire_next_timer()
        self.answer_check(5)
        self.answer_page(5, A, B)
        self.confirm_watch(5)
        self.prove_endpoint()
        return self

    @property
    def page_call_count(self) -> int:
        """The number of fetched pages, which is one for each snapshot here."""
        return sum(isinstance(call, messages.FetchSnapshotPage) for call in self.calls)

    def compact(self, revision: int) -> None:
        """Cancel the watch, because events that it has not delivered were compacted."""
        self.cancel_watch(revision, reason="compacted")

    def answer_checks_until_snapshot(self, revision: int) -> float:
        """Answer checks until a snapshot is fetched; returns the elapsed time in ms."""
        started_at_ms = self.now_ms
        while not self.is_in(WatcherPhase.FETCHING_SNAPSHOT):
            self.fire_next_timer()
            if self.state.session.check_call_id:
                check = self.last_call(messages.CheckEndpoint)
                assert not check.counts_keys, "after a gap every key count would differ"
                self.answer_check(revision)
        return self.now_ms - started_at_ms
