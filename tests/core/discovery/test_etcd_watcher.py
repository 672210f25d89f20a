"""Following etcd: every event in every phase, the hard cases one by one, and a model of etcd with faults."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.core.discovery import etcd_watcher as ef
from balancer.core.discovery.endpoint_merger import (
    EndpointsListed,
    SourceConfirmedCurrent,
    SourceLost,
    SourceRejected,
)
from balancer.core.discovery.etcd_watcher import (
    CallFailed,
    CallFault,
    DeliverUpdate,
    EtcdWatcher,
    Position,
    WatcherPhase,
)
from balancer.core.staggering import StaggeredSchedule
from balancer.endpoints import EndpointRecord, InvalidEntry


def member(name: str, weight: float = 1.0, phase: api.Phase = api.Phase.UP) -> EndpointRecord:
    return EndpointRecord(api.Endpoint(name, "", -1, weight, phase, 0.0, ""), ("127.0.0.1", 80))


Asked = type[ef.CheckEndpoint] | type[ef.FetchSnapshotPage] | type[ef.OpenWatch]


class Rig:
    """A follower and a clock; what it asked last, and all that it delivered and said."""

    def __init__(self, endpoints: int = 1, seed: int = 1, **more: object) -> None:
        self.follow = EtcdWatcher("etcd", endpoints, random.Random(seed), **more)  # type: ignore[arg-type]
        self.now = 0.0
        self.asked: list[ef.Action] = []
        self.out: list[object] = []
        self.said: list[str] = []
        self.timers: dict[int, float] = {}

    def do(self, event: ef.Event, after_ms: float = 0.0) -> list[ef.Action]:
        self.now += after_ms
        actions = self.follow.handle(self.now, event)
        for action in actions:
            match action:
                case DeliverUpdate():
                    self.out.append(action.update)
                case ef.WriteLog():
                    self.said.append(action.text)
                case ef.SetTimer():
                    self.timers[action.token] = action.at_ms
                case _:
                    self.asked.append(action)
        return actions

    def last(self, kind: type[ef.Action]) -> ef.Action:
        return next(a for a in reversed(self.asked) if isinstance(a, kind))

    def call(self, kind: Asked) -> int:
        found = self.last(kind)
        assert isinstance(found, kind)
        return found.call_id

    def tick(self) -> None:
        """The next timer that the follower still waits for."""
        live = {self.follow._check_token, self.follow._phase_token, self.follow._slot_token} - {0}
        token = min(live, key=lambda t: self.timers[t])
        self.now = max(self.now, self.timers[token])
        self.do(ef.TimerFired(token))

    # what etcd may answer

    def check(self, revision: int, cluster: str = "1", term: int = 2) -> None:
        self.do(ef.CheckAnswered(self.call(ef.CheckEndpoint), Position(cluster, revision, term)))

    def fail(self, kind: Asked, why: CallFault = CallFault.FAILED) -> None:
        self.do(CallFailed(self.call(kind), why, "test"))

    def page(
        self,
        revision: int,
        *rows: ef.EntryUpdate,
        cluster: str = "1",
        last: bytes = b"z",
        more: bool = False,
        keys: int | None = None,
    ) -> None:
        at, count = Position(cluster, revision), len(rows) if keys is None else keys
        self.do(ef.SnapshotPageReceived(self.call(ef.FetchSnapshotPage), at, rows, last, more, count))

    def audit(self, revision: int, keys: int) -> None:
        """The checks up to the next one that counts, and its answer."""
        for _ in range(1_000):
            self.tick()
            asked = self.last(ef.CheckEndpoint)
            assert isinstance(asked, ef.CheckEndpoint)
            if asked.counts_keys:
                self.do(ef.CheckAnswered(asked.call_id, Position("1", revision, 2), keys))
                return
            self.check(revision)
        raise AssertionError("no check counts")

    def created(self, revision: int, cluster: str = "1") -> None:
        self.do(ef.WatchCreated(self.call(ef.OpenWatch), Position(cluster, revision)))

    def say(self, *changes: tuple[int, ef.EntryUpdate], header: int = 0, fragment: bool = False) -> None:
        rows = tuple(ef.WatchEvent(revision, row) for revision, row in changes)
        at = Position("1", header or max(revision for revision, _ in changes))
        self.do(ef.WatchEventsReceived(self.call(ef.OpenWatch), at, rows, fragment))

    def watching(self, revision: int, *rows: ef.EntryUpdate, cluster: str = "1") -> Rig:
        self.do(ef.WatcherStarted())
        self.check(revision, cluster)
        self.page(revision, *rows, cluster=cluster)
        self.created(revision, cluster)
        return self

    def at(self, *phases: WatcherPhase) -> bool:
        return self.follow.phase in phases

    def settled(self) -> None:
        """The endpoint has been of use: a check was answered while the watch was on."""
        self.tick()
        self.check(self.follow.seen, self.follow.connected_cluster_id)

    @property
    def listed(self) -> list[EndpointsListed]:
        return [e for e in self.out if isinstance(e, EndpointsListed)]

    @property
    def view(self) -> dict[str, EndpointRecord]:
        """What was delivered, replayed as the membership does."""
        out: dict[str, EndpointRecord] = {}
        for event in self.listed:
            if event.endpoint_list.is_complete:
                out = {}
            for name in event.endpoint_list.removed_ids:
                out.pop(name, None)
            out |= {m.id: m for m in event.endpoint_list.records}
        return out

    def start_of_watch(self) -> int:
        found = self.last(ef.OpenWatch)
        assert isinstance(found, ef.OpenWatch)
        return found.start_revision


A, B, C = member("a"), member("b"), member("c")


# --- every event in every phase


def in_phase(phase: WatcherPhase) -> Rig:
    rig = Rig(2)
    if phase is WatcherPhase.STOPPED:
        return rig
    rig.do(ef.WatcherStarted())
    if phase is WatcherPhase.WAITING:
        rig.fail(ef.CheckEndpoint)
        rig.fail(ef.CheckEndpoint)
    elif phase is not WatcherPhase.CHECKING:
        rig.check(5)
        if phase is not WatcherPhase.FETCHING_SNAPSHOT:
            rig.page(5, A)
            if phase is WatcherPhase.WATCHING:
                rig.created(5)
    assert rig.at(phase)
    return rig


HERE = Position("1", 9, 2)
EVENTS: dict[str, Callable[[EtcdWatcher], ef.Event]] = {
    "started": lambda f: ef.WatcherStarted(),
    "stopped": lambda f: ef.WatcherStopped(),
    "timer": lambda f: ef.TimerFired(f._phase_token or f._check_token),
    "old timer": lambda f: ef.TimerFired(-1),
    "check": lambda f: ef.CheckAnswered(f.check_call_id or -1, HERE),
    "page": lambda f: ef.SnapshotPageReceived(f.page_call_id or -1, HERE, (A,), b"a", False),
    "created": lambda f: ef.WatchCreated(f.watch_call_id or -1, HERE),
    "said": lambda f: ef.WatchEventsReceived(f.watch_call_id or -1, HERE, (ef.WatchEvent(9, B),)),
    "progress": lambda f: ef.WatchProgressed(f.watch_call_id or -1, HERE),
    "canceled": lambda f: ef.WatchCanceled(f.watch_call_id or -1, 0, CallFault.FAILED, "x"),
    "compacted": lambda f: ef.WatchCanceled(f.watch_call_id or -1, 9, CallFault.FAILED, "x"),
    "check failed": lambda f: CallFailed(f.check_call_id or -1, CallFault.FAILED, "x"),
    "page failed": lambda f: CallFailed(f.page_call_id or -1, CallFault.FAILED, "x"),
    "page compacted": lambda f: CallFailed(f.page_call_id or -1, CallFault.COMPACTED, "x"),
    "watch failed": lambda f: CallFailed(f.watch_call_id or -1, CallFault.FAILED, "x"),
}
# What an event leads to, where it leads anywhere: the next phase and the actions. `Drop` is of the endpoint
# that is left, `Check` of the next one.
LEFT = (WatcherPhase.CHECKING, "WriteLog CloseConnections CheckEndpoint SetTimer")
GONE = (WatcherPhase.CHECKING, "CloseConnections CheckEndpoint SetTimer")
TABLE: dict[tuple[WatcherPhase, str], tuple[WatcherPhase, str]] = {
    (WatcherPhase.STOPPED, "started"): (WatcherPhase.CHECKING, "CheckEndpoint SetTimer"),
    (WatcherPhase.CHECKING, "timer"): GONE,
    (WatcherPhase.CHECKING, "check"): (WatcherPhase.FETCHING_SNAPSHOT, "FetchSnapshotPage SetTimer"),
    (WatcherPhase.CHECKING, "check failed"): GONE,
    (WatcherPhase.FETCHING_SNAPSHOT, "timer"): LEFT,
    (WatcherPhase.FETCHING_SNAPSHOT, "page"): (
        WatcherPhase.OPENING_WATCH,
        "DeliverUpdate OpenWatch SetTimer",
    ),
    (WatcherPhase.FETCHING_SNAPSHOT, "page failed"): LEFT,
    (WatcherPhase.FETCHING_SNAPSHOT, "page compacted"): (
        WatcherPhase.FETCHING_SNAPSHOT,
        "FetchSnapshotPage SetTimer",
    ),
    (WatcherPhase.OPENING_WATCH, "timer"): LEFT,
    (WatcherPhase.OPENING_WATCH, "created"): (WatcherPhase.WATCHING, "SetTimer"),
    (WatcherPhase.OPENING_WATCH, "said"): LEFT,
    (WatcherPhase.OPENING_WATCH, "progress"): LEFT,
    (WatcherPhase.OPENING_WATCH, "canceled"): (
        WatcherPhase.CHECKING,
        "CloseWatch WriteLog CloseConnections CheckEndpoint SetTimer",
    ),
    (WatcherPhase.OPENING_WATCH, "compacted"): (
        WatcherPhase.FETCHING_SNAPSHOT,
        "CloseWatch FetchSnapshotPage SetTimer",
    ),
    (WatcherPhase.OPENING_WATCH, "watch failed"): (
        WatcherPhase.CHECKING,
        "CloseWatch WriteLog CloseConnections CheckEndpoint SetTimer",
    ),
    (WatcherPhase.WATCHING, "timer"): (WatcherPhase.WATCHING, "CheckEndpoint SetTimer"),
    (WatcherPhase.WATCHING, "said"): (WatcherPhase.WATCHING, "DeliverUpdate"),
    (WatcherPhase.WATCHING, "progress"): (WatcherPhase.WATCHING, "DeliverUpdate"),
    (WatcherPhase.WATCHING, "canceled"): (
        WatcherPhase.CHECKING,
        "CloseWatch WriteLog CloseConnections CheckEndpoint SetTimer",
    ),
    (WatcherPhase.WATCHING, "compacted"): (
        WatcherPhase.FETCHING_SNAPSHOT,
        "CloseWatch FetchSnapshotPage SetTimer",
    ),
    (WatcherPhase.WATCHING, "watch failed"): (
        WatcherPhase.CHECKING,
        "CloseWatch WriteLog CloseConnections CheckEndpoint SetTimer",
    ),
    (WatcherPhase.WAITING, "timer"): (WatcherPhase.CHECKING, "CheckEndpoint SetTimer"),
    (WatcherPhase.WAITING, "stopped"): (WatcherPhase.STOPPED, ""),
}
for _phase in (
    WatcherPhase.CHECKING,
    WatcherPhase.FETCHING_SNAPSHOT,
    WatcherPhase.OPENING_WATCH,
    WatcherPhase.WATCHING,
):
    TABLE[_phase, "stopped"] = (WatcherPhase.STOPPED, "CloseConnections")


@pytest.mark.parametrize("phase", WatcherPhase)
@pytest.mark.parametrize("name", EVENTS)
def test_every_event_in_every_phase(phase: WatcherPhase, name: str) -> None:
    rig = in_phase(phase)
    actions = rig.do(EVENTS[name](rig.follow))
    expected = TABLE.get((phase, name), (phase, ""))
    assert (rig.follow.phase, " ".join(type(a).__name__ for a in actions)) == expected


def test_the_state_can_be_read() -> None:
    assert repr(Rig().follow) == "<EtcdFollow etcd idle None/0 at 0>"
    rig = Rig(1, endpoint_names=["http://e:1"], epoch=3).watching(5, A)
    assert repr(rig.follow) == "<EtcdFollow etcd watching http://e:1 1/3 at 5>"


# --- the list and the watch


def test_pages_are_of_one_revision_and_the_watch_goes_on_from_it() -> None:
    rig = Rig()
    rig.do(ef.WatcherStarted())
    rig.check(40)
    rig.page(41, A, last=b"a", more=True)
    assert rig.last(ef.FetchSnapshotPage) == ef.FetchSnapshotPage(
        rig.call(ef.FetchSnapshotPage), 0, b"a", 41, ef.MAX_PAGE_KEYS
    )
    assert rig.out == []
    rig.page(44, B, last=b"b")  # answered later: its header is not the list's revision
    (listed,) = rig.listed
    assert (
        listed.identity == "1/0" and listed.endpoint_list.is_complete and listed.endpoint_list.revision == 41
    )
    assert listed.endpoint_list.records == (A, B) and rig.start_of_watch() == 41


def test_a_compaction_between_pages_begins_the_list_anew() -> None:
    rig = Rig()
    rig.do(ef.WatcherStarted())
    rig.check(40)
    for _ in range(ef.MAX_SNAPSHOT_RESTARTS):
        rig.page(41, A, last=b"a", more=True)
        rig.fail(ef.FetchSnapshotPage, CallFault.COMPACTED)
        assert rig.last(ef.FetchSnapshotPage) == ef.FetchSnapshotPage(
            rig.call(ef.FetchSnapshotPage), 0, b"", 0, ef.MAX_PAGE_KEYS
        )
    assert rig.out == []
    rig.fail(ef.FetchSnapshotPage, CallFault.COMPACTED)  # not for ever
    assert rig.at(WatcherPhase.WAITING) and [type(e) for e in rig.out] == [SourceLost]


def test_a_canceled_watch_is_closed_and_the_view_stays_until_the_list_is_there() -> None:
    rig = Rig().watching(5, A, B, C)
    rig.do(ef.WatchCanceled(rig.call(ef.OpenWatch), 9, CallFault.FAILED, ""))
    assert isinstance(rig.asked[-2], ef.CloseWatch) and isinstance(rig.asked[-1], ef.FetchSnapshotPage)
    assert len(rig.out) == 1
    rig.page(12, A, last=b"a", more=True)
    assert len(rig.out) == 1
    rig.page(12)
    assert rig.view == {"a": A} and rig.start_of_watch() == 12


def test_a_check_that_is_out_when_the_list_begins_anew_is_forgotten() -> None:
    rig = Rig().watching(5, A)
    rig.tick()
    rig.do(ef.WatchCanceled(rig.call(ef.OpenWatch), 9, CallFault.FAILED, ""))
    rig.check(5)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT) and len(rig.out) == 1


def test_events_that_were_seen_are_dropped() -> None:
    rig = Rig().watching(5, A)
    rig.say((6, B), (7, "a"))
    rig.say((6, B), (7, "a"), (4, A))
    assert rig.view == {"b": B} and len(rig.listed) == 2
    rig.say((7, "a"), (8, A), (6, "b"), header=9)  # old ones among new ones, out of order
    assert rig.view == {"a": A, "b": B} and rig.listed[-1].endpoint_list.revision == 8


def test_a_revision_in_two_fragments_is_taken_whole() -> None:
    rig = Rig().watching(5, A, B, C)
    rig.say((6, C), (7, "a"), fragment=True)
    assert "a" not in rig.view and rig.listed[-1].endpoint_list.revision == 7  # no removal waits for the rest
    rig.say((7, "b"), header=7)
    assert set(rig.view) == {"c"} and rig.listed[-1].endpoint_list.revision == 7
    rig.say((7, "c"), header=7)  # sent again: it is whole now
    assert set(rig.view) == {"c"} and rig.follow.complete_revision == 7


def test_a_revision_cut_by_a_break_is_asked_for_again() -> None:
    rig = Rig().watching(5, A, B, C)
    rig.say((7, "a"), fragment=True)
    rig.fail(ef.OpenWatch)
    rig.tick()
    rig.check(7)
    assert rig.start_of_watch() == 6
    rig.created(7)
    rig.say((7, "a"), (7, "b"))
    assert set(rig.view) == {"c"} and [e.endpoint_list.revision for e in rig.listed] == [5, 7, 7]


def test_a_revision_cut_by_a_break_and_compacted_comes_as_changes() -> None:
    rig = Rig().watching(5, A, B, C)
    rig.say((7, "a"), fragment=True)
    rig.do(ef.WatchCanceled(rig.call(ef.OpenWatch), 7, CallFault.FAILED, ""))
    rig.page(7, C)
    # A whole list of a revision that was seen would be dropped as an old one.
    assert not rig.listed[-1].endpoint_list.is_complete and rig.listed[-1].endpoint_list.removed_ids == ("b",)
    assert set(rig.view) == {"c"} and rig.start_of_watch() == 7


def test_of_several_events_on_one_member_the_last_holds() -> None:
    rig = Rig().watching(5, A)
    drains, bad = InvalidEntry("b", "bad", True), InvalidEntry("a", "bad")
    rig.say((6, "b"), (7, B), (8, "a"), (9, A), (10, "a"), (11, drains), (12, bad))
    listing = rig.listed[-1].endpoint_list
    assert listing.removed_ids == ("a",) and [f.key for f in listing.invalid_entries] == ["b", "a"]
    assert listing.records == (member("b", phase=api.Phase.DRAINING),)  # unreadable, but it drains


def test_progress_spares_the_next_watch_the_way_as_far_as_a_check_goes() -> None:
    rig = Rig().watching(5, A)
    rig.do(ef.WatchProgressed(rig.call(ef.OpenWatch), Position("1", 99)))
    assert rig.follow.complete_revision == 5 and rig.out[-1] == SourceConfirmedCurrent("etcd")
    rig.tick()
    rig.check(30)
    rig.do(ef.WatchProgressed(rig.call(ef.OpenWatch), Position("1", 29)))
    rig.fail(ef.OpenWatch)
    rig.tick()
    rig.check(30)
    assert rig.start_of_watch() == 29


def test_progress_between_fragments_moves_nothing() -> None:
    rig = Rig().watching(5, A, B)
    rig.tick()
    rig.check(30)
    rig.say((7, "a"), header=30, fragment=True)
    rig.do(ef.WatchProgressed(rig.call(ef.OpenWatch), Position("1", 30)))
    assert rig.follow.complete_revision == 6


def test_an_event_from_beyond_etcds_own_revision_is_not_believed() -> None:
    rig = Rig().watching(5, A)
    rig.say((900, "a"), header=6)
    assert rig.view == {"a": A} and rig.follow.seen == 5 and rig.follow.needs_snapshot


def test_a_watch_that_was_spoiled_is_followed_by_a_list() -> None:
    for why in (CallFault.UNREADABLE, CallFault.TOO_LARGE):
        rig = Rig().watching(5, A)
        rig.fail(ef.OpenWatch, why)
        rig.tick()
        rig.check(7)
        assert rig.at(WatcherPhase.FETCHING_SNAPSHOT)


def test_a_page_that_is_too_long_is_asked_for_in_smaller_ones() -> None:
    rig = Rig()
    rig.do(ef.WatcherStarted())
    rig.check(5)
    rig.page(5, A, last=b"a", more=True)
    limits = []
    while rig.at(WatcherPhase.FETCHING_SNAPSHOT):
        rig.fail(ef.FetchSnapshotPage, CallFault.TOO_LARGE)
        asked = rig.last(ef.FetchSnapshotPage)
        assert isinstance(asked, ef.FetchSnapshotPage) and asked.after_key == b"a" and asked.revision == 5
        limits.append(asked.max_keys)
        assert len(limits) < 9
    assert limits == [125, 31, 7, 1, 1] and rig.at(WatcherPhase.WAITING)


def test_pages_that_do_not_go_on_and_lists_without_an_end_are_left() -> None:
    rig = Rig()
    rig.do(ef.WatcherStarted())
    rig.check(5)
    rig.page(5, A, last=b"a", more=True)
    rig.page(5, A, last=b"a", more=True)
    assert rig.at(WatcherPhase.WAITING) and "do not go on" in str(rig.out[-1])
    rig.tick()
    rig.check(5)
    rig.page(5, *[A] * (ef.MAX_SNAPSHOT_ENTRIES + 1), last=b"a", more=True)
    assert rig.at(WatcherPhase.WAITING) and rig.follow.snapshot_entries == []


def test_half_the_members_ending_at_once_is_obeyed_and_said() -> None:
    many = [member(f"s-{i}") for i in range(10)]
    rig = Rig().watching(5, *many)
    rig.say(*[(6, m.id) for m in many[:5]])
    assert rig.said == []
    rig.say(*[(7, m.id) for m in many[5:8]], fragment=True)
    rig.say((7, many[8].id), fragment=True)
    rig.say((7, many[9].id))
    assert rig.view == {} and ["4 of 5 members ended at once" in text for text in rig.said] == [True]


# --- liveness


def seconds_until_left(rig: Rig) -> float:
    """Nothing is answered any more, and nothing closes."""
    since, used = rig.now, rig.follow.endpoint_index
    while not rig.at(WatcherPhase.WAITING) and rig.follow.endpoint_index == used:
        rig.tick()
    return (rig.now - since) / 1000


@pytest.mark.parametrize(
    "phase",
    [
        WatcherPhase.CHECKING,
        WatcherPhase.FETCHING_SNAPSHOT,
        WatcherPhase.OPENING_WATCH,
        WatcherPhase.WATCHING,
    ],
)
def test_an_endpoint_that_falls_silent_is_left_within_five_seconds(phase: WatcherPhase) -> None:
    assert seconds_until_left(in_phase(phase)) < 5


def test_silence_of_the_watch_says_nothing() -> None:
    rig = Rig(2).watching(5, A)
    for _ in range(3600):
        rig.tick()
        rig.check(5)
    assert rig.at(WatcherPhase.WATCHING) and rig.said == []
    assert [type(a) for a in rig.asked].count(ef.OpenWatch) == 1 and rig.out[-1] == SourceConfirmedCurrent(
        "etcd"
    )


def test_a_silent_watch_is_asked_for_anew_where_etcd_moves_on() -> None:
    rig = Rig(2).watching(5, A)
    while rig.now < 2 * ef.SILENT_WATCH_TIMEOUT_MS and rig.at(WatcherPhase.WATCHING):
        rig.tick()
        rig.check(6)
    assert (
        rig.at(WatcherPhase.OPENING_WATCH)
        and rig.start_of_watch() == 5
        and rig.now >= ef.SILENT_WATCH_TIMEOUT_MS / 2
    )


def test_two_failed_checks_leave_an_endpoint_and_the_watch_is_taken_up_elsewhere() -> None:
    rig = Rig(2).watching(5, A)
    used = rig.follow.endpoint_index
    rig.tick()
    rig.fail(ef.CheckEndpoint)
    rig.tick()
    rig.check(5)
    rig.tick()
    rig.fail(ef.CheckEndpoint)
    assert rig.at(WatcherPhase.WATCHING)  # one may fail
    rig.tick()
    rig.fail(ef.CheckEndpoint)
    assert ef.CloseConnections(used) in rig.asked
    rig.tick()
    rig.check(8)
    assert rig.last(ef.OpenWatch) == ef.OpenWatch(rig.call(ef.OpenWatch), 1 - used, 5)  # no whole list


def test_no_endpoint_answers_the_view_stays_and_back_off_grows() -> None:
    rig = Rig(3).watching(5, A)
    rig.fail(ef.OpenWatch)
    waits = []
    while rig.now < 60_000:
        before = rig.now
        rig.tick()
        waits.append(rig.now - before)
        rig.fail(ef.CheckEndpoint)
    assert [type(e) for e in rig.out] == [EndpointsListed, SourceLost] and rig.view == {"a": A}
    assert max(waits) > ef.MAX_BACKOFF_MS / 2 and len(waits) < 100
    assert rig.follow.backoff.next_ms == ef.MAX_BACKOFF_MS
    while rig.at(WatcherPhase.WAITING):
        rig.tick()
    rig.check(5)
    rig.created(5)
    rig.tick()
    rig.check(5)
    assert rig.out[-1] == SourceConfirmedCurrent("etcd") and rig.follow.backoff.next_ms == ef.MIN_BACKOFF_MS


def test_an_endpoint_that_ends_each_watch_at_once_is_not_asked_without_rest() -> None:
    rig = Rig()
    rig.watching(5, A)
    calls = 0
    while rig.now < 60_000:
        calls += 1
        rig.fail(ef.OpenWatch)
        rig.tick()
        rig.check(5)
        rig.created(5)
    assert calls < 40


def test_a_thousand_nodes_do_not_come_back_together() -> None:
    back = []
    for seed in range(1000):
        rig = Rig(3, seed).watching(5, A)
        rig.now = 10_000.0
        rig.fail(ef.OpenWatch)
        while rig.now < 70_000:  # a minute: refused at every endpoint
            rig.tick()
            if rig.now < 70_000 and rig.at(WatcherPhase.CHECKING):
                for _ in range(3):
                    rig.fail(ef.CheckEndpoint)
        back.append(rig.now)
    back.sort()
    assert max(sum(1 for t in back if s <= t < s + 1000) for s in back[::20]) < 500
    assert back[-1] - back[0] > 3000


# --- order


def test_an_endpoint_that_lags_is_left_and_nothing_of_it_used() -> None:
    rig = Rig(2).watching(60, A)
    rig.settled()
    rig.fail(ef.OpenWatch)
    rig.tick()
    rig.check(10)
    assert rig.at(WatcherPhase.CHECKING)  # the other one
    rig.check(60)
    assert rig.start_of_watch() == 60 and rig.view == {"a": A} and len(rig.listed) == 1


def test_a_list_a_watch_and_a_check_that_lag_are_left_too() -> None:
    for step in ("page", "created", "said", "progress", "check"):
        rig = Rig(2).watching(60, A)
        if step == "page":
            rig.do(ef.WatchCanceled(rig.call(ef.OpenWatch), 60, CallFault.FAILED, ""))
            rig.page(59)
        elif step == "created":
            rig.fail(ef.OpenWatch)
            rig.tick()
            rig.check(60)
            rig.created(59)
        elif step == "said":
            rig.say((59, "a"))
        elif step == "progress":
            rig.do(ef.WatchProgressed(rig.call(ef.OpenWatch), Position("1", 59)))
        else:
            rig.tick()
            rig.check(59)
        assert rig.at(WatcherPhase.CHECKING, WatcherPhase.WAITING), step
        assert rig.view == {"a": A} and rig.follow.seen == 60


def test_a_check_that_was_overtaken_by_the_watch_is_not_behind() -> None:
    rig = Rig(2).watching(60, A)
    rig.tick()
    rig.say((61, B))
    rig.check(60)  # read at etcd before 61 came to be
    assert rig.at(WatcherPhase.WATCHING)


def test_a_restored_backup_is_refused_until_the_epoch_is_raised() -> None:
    rig = Rig(2).watching(60, A)
    rig.fail(ef.OpenWatch)
    while not any(isinstance(e, SourceRejected) for e in rig.out):
        rig.tick()
        while rig.at(WatcherPhase.CHECKING):
            rig.check(20)
        assert rig.now < 60_000
    assert rig.now >= ef.MIN_REGRESSION_MS and [type(e) for e in rig.out] == [
        EndpointsListed,
        SourceLost,
        SourceRejected,
    ]
    assert any("`epoch` in [membership.etcd]" in text for text in rig.said)
    for _ in range(10):
        rig.tick()
        while rig.at(WatcherPhase.CHECKING):
            rig.check(20)
    assert len(rig.out) == 3 and rig.view == {"a": A}  # said once
    anew = Rig(2, epoch=1, resume_from=("1/0", 60)).watching(20, B)
    assert anew.listed[0].identity == "1/1" and anew.view == {"b": B}


def test_two_rounds_far_apart_refuse_nothing() -> None:
    rig = Rig().watching(60, A)
    rig.fail(ef.OpenWatch)
    for _ in range(ef.MIN_REGRESSION_ROUNDS - 1):
        rig.now += 2 * ef.MIN_REGRESSION_MS
        rig.tick()
        rig.check(20)
    assert not any(isinstance(e, SourceRejected) for e in rig.out)
    rig.tick()
    rig.check(20)
    assert isinstance(rig.out[-1], SourceRejected)


def test_a_backup_that_got_past_the_view_is_taken_as_a_whole_list() -> None:
    rig = Rig().watching(60, A)
    rig.fail(ef.OpenWatch)
    rig.tick()
    rig.check(20)
    rig.tick()
    rig.check(61)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT)
    rig.page(61, B)
    assert rig.view == {"b": B}


def test_a_raft_term_that_went_back_shows_a_backup() -> None:
    rig = Rig().watching(60, A)
    rig.tick()
    rig.check(60, term=7)
    rig.fail(ef.OpenWatch)
    rig.tick()
    rig.check(70, term=2)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT) and "restored" in rig.said[-1]


def test_what_was_seen_before_the_start_holds() -> None:
    rig = Rig(1, resume_from=("1/0", 60))
    rig.do(ef.WatcherStarted())
    rig.check(59)
    assert rig.at(WatcherPhase.WAITING) and isinstance(rig.out[0], SourceLost)
    rig.tick()
    rig.check(60)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT)


def test_a_new_cluster_begins_a_new_order_by_a_whole_list() -> None:
    rig = Rig(1).watching(60, A)
    rig.fail(ef.OpenWatch)
    rig.tick()
    rig.check(3, cluster="2")
    rig.check(3, cluster="2")
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT) and rig.view == {"a": A}
    rig.page(3, B, cluster="2")
    assert rig.listed[-1].identity == "2/0" and rig.view == {"b": B} and rig.start_of_watch() == 3


def test_endpoints_of_two_clusters_do_not_make_the_view_flip() -> None:
    rig = Rig(2).watching(60, A)
    old, new = rig.follow.endpoint_index, 1 - rig.follow.endpoint_index
    clusters = {old: "1", new: "2"}

    def answer() -> None:
        rig.check(60, cluster=clusters[rig.follow.endpoint_index])

    rig.settled()
    rig.fail(ef.OpenWatch)
    rig.tick()
    answer()  # a stranger, while its own cluster is there still
    answer()
    assert rig.at(WatcherPhase.OPENING_WATCH) and rig.follow.endpoint_index == old
    rig.fail(ef.OpenWatch)  # its watch fails, and yet its own cluster is there
    assert rig.at(WatcherPhase.WAITING) and not rig.follow.candidate_cluster_id
    rig.tick()
    answer()
    rig.fail(ef.CheckEndpoint)  # its own cluster is away
    answer()
    rig.page(60, B, cluster="2")
    rig.created(60, cluster="2")
    assert rig.view == {"b": B}
    rig.fail(ef.OpenWatch)  # from here on the old cluster is left behind
    for _ in range(20):
        if rig.at(WatcherPhase.WAITING):
            rig.tick()
        if rig.follow.endpoint_index == old:
            answer()
        else:
            rig.fail(ef.CheckEndpoint)
    assert rig.view == {"b": B} and len(rig.listed) == 2 and isinstance(rig.out[-1], SourceLost)


def test_another_cluster_in_the_middle_of_a_list_or_watch_is_left() -> None:
    for step in ("page", "created", "check"):
        rig = Rig(2).watching(60, A)
        rig.do(ef.WatchCanceled(rig.call(ef.OpenWatch), 60, CallFault.FAILED, ""))
        if step == "page":
            rig.page(70, B, cluster="2")
        else:
            rig.page(70, A)
            rig.created(70, cluster="2" if step == "created" else "1")
            if step == "check":
                rig.tick()
                rig.check(70, cluster="2")
        assert rig.at(WatcherPhase.CHECKING, WatcherPhase.WAITING) and "b" not in rig.view


# --- a deletion that the watch never told of


def test_a_deletion_that_a_compaction_dropped_is_found_by_the_next_count() -> None:
    rig = Rig().watching(5, A, B, C)
    rig.say((9, C))  # "a" was deleted at 7, which was compacted while the watch had not got there
    rig.audit(9, keys=2)
    assert (
        rig.at(WatcherPhase.FETCHING_SNAPSHOT)
        and "a" in rig.view
        and "2 keys are there and 3" in rig.said[-1]
    )
    rig.page(9, B, C)
    # A whole list of a revision that was told of would be dropped as an old one: its removals are changes.
    assert not rig.listed[-1].endpoint_list.is_complete and rig.listed[-1].endpoint_list.removed_ids == ("a",)
    assert set(rig.view) == {"b", "c"} and rig.start_of_watch() == 9


def test_a_count_that_runs_before_the_watch_waits_for_it() -> None:
    rig = Rig().watching(5, A, B)
    rig.audit(8, keys=3)
    assert rig.at(WatcherPhase.WATCHING)
    rig.say((7, C), (9, "a"), header=9)  # at 8 there were three: the count fits
    assert rig.at(WatcherPhase.WATCHING) and rig.follow.pending_key_count is None
    rig.audit(12, keys=1)
    rig.say((13, A), header=13)  # up to 12 nothing was told: one of two is gone
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT)


def test_a_count_is_held_against_whole_revisions_only() -> None:
    rig = Rig().watching(5, A, B, C)
    rig.audit(8, keys=1)
    rig.say((8, "a"), header=8, fragment=True)
    assert rig.at(WatcherPhase.WATCHING)
    rig.say((8, "b"), header=8)
    assert rig.at(WatcherPhase.WATCHING) and rig.follow.pending_key_count is None


def test_progress_settles_a_count() -> None:
    for keys, phase in ((2, WatcherPhase.WATCHING), (1, WatcherPhase.FETCHING_SNAPSHOT)):
        rig = Rig().watching(5, A, B)
        rig.audit(8, keys=3)
        rig.say((7, C), header=7)
        rig.follow.pending_key_count = 8, keys + 1
        rig.do(ef.WatchProgressed(rig.call(ef.OpenWatch), Position("1", 8)))
        assert rig.at(phase)


def test_a_watch_that_is_a_whole_check_late_is_begun_anew_with_a_list() -> None:
    rig = Rig().watching(5, A, B)
    rig.audit(8, keys=1)
    assert rig.at(WatcherPhase.WATCHING)
    rig.tick()
    rig.check(8)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT)


def test_a_count_that_an_endpoint_left_behind_is_forgotten() -> None:
    rig = Rig(2).watching(5, A, B)
    rig.settled()
    rig.audit(8, keys=1)
    rig.fail(ef.OpenWatch)
    rig.tick()
    rig.check(8)
    rig.created(8)
    rig.say((8, "a"))
    assert rig.at(WatcherPhase.WATCHING) and set(rig.view) == {"b"}


def test_a_list_that_was_to_be_read_anew_is_read_at_the_next_endpoint() -> None:
    rig = Rig(2).watching(5, A, B)
    rig.say((6, B))
    rig.audit(6, keys=1)
    rig.fail(ef.FetchSnapshotPage)
    rig.check(6)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT)
    rig.page(6, B)
    assert set(rig.view) == {"b"}


def test_counts_that_are_wrong_by_themselves_grow_rare() -> None:
    """Guards etcd against all nodes that read the whole list for good, as a gateway cannot count."""
    rig, lists = Rig().watching(5, A, B), 0
    while rig.now < 3_600_000:
        rig.tick()
        asked = rig.last(ef.CheckEndpoint)
        assert isinstance(asked, ef.CheckEndpoint)
        rig.do(ef.CheckAnswered(asked.call_id, Position("1", 5, 2), 0 if asked.counts_keys else None))
        if rig.at(WatcherPhase.FETCHING_SNAPSHOT):
            rig.page(5, A, B)
            rig.created(5)
            lists += 1
    assert 5 < lists < 30
    rig.audit(5, keys=1)
    rig.page(5, B)  # one that is right brings the usual pace back
    assert rig.follow.audit_interval_ms == ef.AUDIT_INTERVAL_MS


def test_keys_that_name_nobody_do_not_make_the_count_wrong() -> None:
    rig = Rig()
    rig.do(ef.WatcherStarted())
    rig.check(5)
    bad = InvalidEntry("/entry 0", "no key")
    rig.page(5, A, bad, bad, "withdrawn", keys=4)
    rig.created(5)
    rig.do(
        ef.WatchEventsReceived(
            rig.call(ef.OpenWatch), Position("1", 6), (ef.WatchEvent(6, "a", is_key_present=True),)
        )
    )
    rig.audit(6, keys=4)  # the member withdrew itself, its key is there
    assert rig.at(WatcherPhase.WATCHING) and rig.view == {}
    rig.say((7, "a"))
    rig.audit(7, keys=3)
    assert rig.at(WatcherPhase.WATCHING)


# --- auth


def test_a_stale_token_is_renewed_once() -> None:
    rig = Rig()
    rig.do(ef.WatcherStarted())
    rig.fail(ef.CheckEndpoint, CallFault.TOKEN_EXPIRED)
    assert rig.at(WatcherPhase.CHECKING) and len(rig.asked) == 2
    rig.fail(ef.CheckEndpoint, CallFault.TOKEN_EXPIRED)
    assert rig.at(WatcherPhase.WAITING) and isinstance(rig.out[-1], SourceRejected)
    rig.tick()
    rig.check(5)
    rig.fail(ef.FetchSnapshotPage, CallFault.TOKEN_EXPIRED)
    rig.page(5, A)
    rig.created(5)
    rig.tick()
    rig.check(5)
    rig.do(ef.WatchCanceled(rig.call(ef.OpenWatch), 0, CallFault.TOKEN_EXPIRED, "x"))
    assert rig.at(WatcherPhase.OPENING_WATCH) and rig.start_of_watch() == 5


def test_who_is_not_let_in_anywhere_is_told_so() -> None:
    rig = Rig(2)
    rig.do(ef.WatcherStarted())
    rig.fail(ef.CheckEndpoint, CallFault.PERMISSION_DENIED)
    rig.fail(ef.CheckEndpoint, CallFault.FAILED)
    assert isinstance(rig.out[-1], SourceLost)
    rig.tick()
    rig.fail(ef.CheckEndpoint, CallFault.PERMISSION_DENIED)
    rig.fail(ef.CheckEndpoint, CallFault.PERMISSION_DENIED)
    assert isinstance(rig.out[-1], SourceRejected) and "lets this node in" in rig.out[-1].reason


# --- turns

NODES, BEARS, STRETCH = 100, 50.0, 2_500.0  # ms that they come to


class Turned(Rig):
    """A follower that has its turns; `on` brings it to a watch of a and b at revision 5."""

    def __init__(self, endpoints: int = 1, me: int = 1, **more: object) -> None:
        self.turns = StaggeredSchedule(me, NODES, BEARS)
        super().__init__(endpoints, time_slots=self.turns, **more)  # type: ignore[arg-type]

    def on(self) -> Turned:
        self.do(ef.WatcherStarted())
        self.tick()
        self.check(5)
        self.page(5, A, B)
        self.created(5)
        self.settled()
        return self

    @property
    def lists(self) -> int:
        return sum(isinstance(a, ef.FetchSnapshotPage) for a in self.asked)

    def compact(self, revision: int) -> None:
        """The watch has ended, as what it was to tell is not there any more."""
        self.do(ef.WatchCanceled(self.call(ef.OpenWatch), revision, CallFault.FAILED, "compacted"))

    def until_listing(self, revision: int) -> float:
        """The time that takes."""
        begun = self.now
        while not self.at(WatcherPhase.FETCHING_SNAPSHOT):
            self.tick()
            if self.follow.check_call_id:
                asked = self.last(ef.CheckEndpoint)
                assert isinstance(asked, ef.CheckEndpoint) and not asked.counts_keys, (
                    "a gap makes every count wrong"
                )
                self.check(revision)
        return self.now - begun


@pytest.mark.parametrize("me", [0, 1, 2, 63])
def test_the_first_list_and_the_first_connection_wait_for_the_turn(me: int) -> None:
    rig = Turned(me=me)
    rig.do(ef.WatcherStarted())
    if me:
        assert rig.at(WatcherPhase.WAITING) and not rig.asked
        rig.tick()
    assert rig.now == rig.turns.first_delay_ms() and rig.at(WatcherPhase.CHECKING)
    rig.check(5)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT)


def test_new_settings_of_an_etcd_that_is_followed_do_not_cut_its_news_short() -> None:
    rig, other = Turned(resume_from=("1/0", 5)), Turned(resume_from=("1/0", 5), epoch=1)
    other.do(ef.WatcherStarted())
    assert other.at(WatcherPhase.WAITING), "in another order nothing was followed"
    rig.do(ef.WatcherStarted())
    rig.check(5)
    assert rig.at(WatcherPhase.FETCHING_SNAPSHOT) and rig.now == 0.0
    rig.now = 60_000.0
    rig.fail(ef.FetchSnapshotPage, CallFault.OVERLOADED)
    assert (
        rig.follow.snapshot_due_at_ms is not None and rig.follow.snapshot_due_at_ms > rig.now
    )  # from then on as any other


def test_after_a_compaction_news_is_followed_and_the_list_read_at_the_turn() -> None:
    rig = Turned().on()
    rig.compact(30)
    rig.check(40)  # of b nothing is known any more: it ended at 20
    assert rig.start_of_watch() == 40 and rig.lists == 1
    rig.created(40)
    rig.say((41, "a"))
    assert rig.view == {"b": B}, "a drain or an end that comes now is heeded now"
    heard = len(rig.out)
    assert rig.until_listing(41) == pytest.approx(rig.turns.first_delay_ms())
    assert len(rig.out) == heard, "nothing vouches for the gap"
    rig.page(41, C)
    # A whole list of a revision that was told of, as changes.
    assert rig.view == {"c": C} and not rig.listed[-1].endpoint_list.is_complete
    assert rig.at(WatcherPhase.OPENING_WATCH) and rig.start_of_watch() == 41
    rig.created(41)
    rig.settled()
    assert isinstance(rig.out[-1], SourceConfirmedCurrent) and rig.lists == 2


def test_a_count_that_does_not_fit_leaves_the_watch_that_lives() -> None:
    rig = Turned().on()
    watch = rig.call(ef.OpenWatch)
    rig.audit(5, 1)
    assert rig.at(WatcherPhase.WATCHING) and rig.call(ef.OpenWatch) == watch and rig.lists == 1
    rig.say((6, C))
    assert rig.view == {"a": A, "b": B, "c": C}
    assert rig.until_listing(6) == pytest.approx(rig.turns.first_delay_ms())
    rig.page(6, A, C)
    assert rig.view == {"a": A, "c": C}
    # One of a revision that the watch has not told of a whole check later: checks go on, and count no more.
    rig = Turned().on()
    rig.audit(9, 3)
    rig.tick()
    rig.check(9)
    assert rig.follow.has_gap and rig.at(WatcherPhase.WATCHING)
    assert rig.timers[rig.follow._check_token] <= rig.now + ef.CHECK_INTERVAL_MS
    rig.follow.next_audit_at_ms = 0
    rig.until_listing(9)


def test_a_watch_that_breaks_over_the_gap_is_taken_up_where_it_was() -> None:
    rig = Turned(2).on()
    rig.compact(30)
    rig.check(40)
    rig.created(40)
    rig.say((41, C))
    rig.fail(ef.OpenWatch)
    while not rig.at(WatcherPhase.CHECKING):
        rig.tick()
    rig.check(50)
    assert (rig.start_of_watch(), rig.lists, rig.follow.endpoint_position) == (41, 1, 1)
    rig.compact(45)  # and where that is gone, too, from the present on
    rig.check(52)
    assert (rig.start_of_watch(), rig.lists) == (52, 1)


@pytest.mark.parametrize(("advice", "least"), [(0.0, STRETCH), (7_000.0, 7_000.0), (9e9, 60_000.0)])
def test_a_refusal_is_honoured_and_no_other_endpoint_asked_before_the_turn(
    advice: float, least: float
) -> None:
    rig = Turned(3)
    rig.do(ef.WatcherStarted())
    rig.tick()
    rig.check(5)
    at, before = rig.now, rig.follow.endpoint_index
    rig.do(CallFailed(rig.call(ef.FetchSnapshotPage), CallFault.OVERLOADED, "too many", advice))
    assert rig.at(WatcherPhase.WAITING)
    rig.tick()
    turn = rig.turns.time_slot
    assert rig.now - at == pytest.approx((least if advice else (1 - turn) * STRETCH) + 2 * turn * STRETCH)
    rig.check(5)
    assert rig.lists == 2 and rig.follow.endpoint_index != before and "refused the whole list" in rig.said[-1]
    # Once there is a view a refused list does not keep the news from it.
    rig.page(5, A)
    assert rig.turns.period_ms == STRETCH
    rig.created(5)
    rig.settled()
    rig.compact(30)
    rig.check(40)
    rig.created(40)
    rig.until_listing(40)
    rig.fail(ef.FetchSnapshotPage, CallFault.OVERLOADED)
    rig.check(44)
    assert rig.at(WatcherPhase.OPENING_WATCH) and (rig.start_of_watch(), rig.lists) == (40, 3)


def test_an_etcd_that_is_away_is_asked_turn_by_turn_and_no_faster_than_the_back_off() -> None:
    rig, waits = Turned(2), list[float]()
    rig.do(ef.WatcherStarted())
    rig.tick()
    for _ in range(8):
        at = rig.now
        rig.fail(ef.CheckEndpoint)
        rig.fail(ef.CheckEndpoint)
        rig.tick()
        waits.append(rig.now - at)
    assert min(waits) >= 0.99 * STRETCH and STRETCH < max(waits) <= 1.5 * ef.MAX_BACKOFF_MS + STRETCH
    # A list that dies on the way is asked for at the next endpoint, but at the next turn; and a check that
    # is refused puts it off as far as a list that is.
    at = rig.now
    rig.check(5)
    rig.fail(ef.FetchSnapshotPage)
    rig.check(5)
    assert rig.at(WatcherPhase.WAITING) and rig.lists == 1
    rig.tick()
    assert rig.now - at >= 0.99 * STRETCH
    rig.fail(ef.CheckEndpoint, CallFault.OVERLOADED)
    assert rig.turns.rejections == 1
    rig.check(5)
    assert rig.at(WatcherPhase.WAITING) and rig.lists == 1


@pytest.mark.parametrize("back", [False, True])
def test_a_new_cluster_is_taken_at_the_turn_if_the_old_one_is_still_away(back: bool) -> None:
    rig = Turned(2).on()
    rig.fail(ef.OpenWatch)
    rig.tick()
    for _ in range(3):  # both are of another one; it is gone over to
        rig.check(1, cluster="2")
    assert rig.at(WatcherPhase.WAITING) and rig.lists == 1 and isinstance(rig.out[-1], SourceLost)
    rig.tick()
    rig.check(1, cluster="2")
    rig.check(6 if back else 1, cluster="1" if back else "2")
    if back:
        assert rig.at(WatcherPhase.OPENING_WATCH) and rig.start_of_watch() == 5
        return
    rig.check(1, cluster="2")
    rig.page(1, C, cluster="2")
    assert rig.view == {"c": C} and rig.follow.identity == "2/0"


# --- a model of etcd, with faults


class Cluster:
    """Revisions and what changed in each; one key changes at most once in a revision, as in etcd."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.log: list[dict[str, EndpointRecord | None]] = [
            {},
            {},
        ]  # index is the revision; etcd's first is 1
        self.states: list[dict[str, EndpointRecord]] = [{}, {}]
        self.compacted = 0

    @property
    def revision(self) -> int:
        return len(self.log) - 1

    def commit(self, changes: dict[str, EndpointRecord | None]) -> None:
        state = dict(self.states[-1])
        for name, value in changes.items():
            if value is None:
                state.pop(name, None)
            else:
                state[name] = value
        self.log.append(changes)
        self.states.append(state)

    def copy(self, revision: int) -> Cluster:
        """A backup of that revision, restored."""
        out = Cluster(self.name)
        out.log, out.states = self.log[: revision + 1], self.states[: revision + 1]
        out.compacted = min(self.compacted, revision)
        return out


@dataclass
class Endpoint:
    cluster: Cluster
    mode: str = "up"  # up, down (refuses), frozen (says nothing)
    lag: int = 0

    @property
    def revision(self) -> int:
        return max(1, self.cluster.revision - self.lag)

    @property
    def position(self) -> Position:
        return Position(self.cluster.name, self.revision, 2)


@dataclass
class Stream:
    call: int
    endpoint: Endpoint
    next: int
    part: int = 0  # changes of revision `next` already sent
    cluster: Cluster = field(init=False)

    def __post_init__(self) -> None:
        self.cluster = self.endpoint.cluster


class World:
    """Carries out a follower's actions on model endpoints, some simulated milliseconds later."""

    def __init__(self, seed: int, endpoints: int, turns: StaggeredSchedule | None = None) -> None:
        self.rng = random.Random(seed)
        self.clusters = [Cluster("1")]
        self.endpoints = [Endpoint(self.clusters[0]) for _ in range(endpoints)]
        self.follow = EtcdWatcher("etcd", endpoints, random.Random(seed), time_slots=turns)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], ef.Event | None]]] = []
        self.count = 0
        self.stream: Stream | None = None
        self.view: dict[str, EndpointRecord] = {}
        self.latest: dict[str, int] = {}
        self.identity = ""
        self.healthy = False
        self.swallowed: dict[str, EndpointRecord] = {}  # what was in view when the watch dropped its deletion

    def later(self, wait: float, make: Callable[[], ef.Event | None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, make))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, make = heapq.heappop(self.queue)
            if (event := make()) is not None:
                self.handle(event)
        self.now = until

    def handle(self, event: ef.Event) -> None:
        for action in self.follow.handle(self.now, event):
            match action:
                case ef.SetTimer():
                    token = action.token
                    self.later(action.at_ms - self.now, lambda token=token: ef.TimerFired(token))  # type: ignore[misc]
                case DeliverUpdate(update=EndpointsListed() as listed):
                    self.apply(listed)
                case ef.CloseWatch() | ef.CloseConnections():
                    self.stream = None
                case ef.CheckEndpoint() | ef.FetchSnapshotPage() | ef.OpenWatch():
                    self.ask(action)

    # --- what etcd does

    def ask(self, action: ef.CheckEndpoint | ef.FetchSnapshotPage | ef.OpenWatch) -> None:
        endpoint, wait = self.endpoints[action.endpoint_index], self.rng.uniform(1, 20)
        if endpoint.mode == "down":
            self.later(wait, lambda: CallFailed(action.call_id, CallFault.FAILED, "refused"))
        elif endpoint.mode == "up":
            if isinstance(action, ef.OpenWatch):
                self.stream = stream = Stream(action.call_id, endpoint, action.start_revision)
                assert action.start_revision <= endpoint.revision + 1 or endpoint.lag or not self.healthy
                self.later(wait, lambda: self.create(stream))
            else:
                # The answer is of some moment between the question and its arrival.
                self.later(wait, lambda: self.answer(action, endpoint))

    def answer(self, action: ef.CheckEndpoint | ef.FetchSnapshotPage, endpoint: Endpoint) -> ef.Event | None:
        cluster, position = endpoint.cluster, endpoint.position
        if endpoint.mode != "up":
            return CallFailed(action.call_id, CallFault.FAILED, "cut") if endpoint.mode == "down" else None
        event: ef.Event
        if isinstance(action, ef.CheckEndpoint):
            keys = len(cluster.states[position.revision]) if action.counts_keys else None
            event = ef.CheckAnswered(action.call_id, position, keys)
        else:
            revision = action.revision or position.revision
            if revision < cluster.compacted or revision > position.revision:
                event = CallFailed(action.call_id, CallFault.COMPACTED, "compacted")
            else:
                names = sorted(n for n in cluster.states[revision] if n.encode() > action.after_key)
                keys = len(names)
                some = names[: self.rng.randint(1, 3)]
                rows = tuple(cluster.states[revision][n] for n in some)
                last = some[-1].encode() if some else b""
                event = ef.SnapshotPageReceived(action.call_id, position, rows, last, len(some) < keys, keys)
        self.later(self.rng.uniform(0, 10), lambda: event)
        return None

    def create(self, stream: Stream) -> ef.Event | None:
        if stream is not self.stream or stream.endpoint.mode != "up":
            return None
        self.later(5, lambda: self.speak(stream))
        return ef.WatchCreated(stream.call, stream.endpoint.position)

    def speak(self, stream: Stream) -> ef.Event | None:
        """What a watch says next: events, cut anywhere, and whatever the faults make of them."""
        endpoint, rng = stream.endpoint, self.rng
        if stream is not self.stream:
            return None
        if endpoint.mode == "down" or endpoint.cluster is not stream.cluster:
            return CallFailed(stream.call, CallFault.FAILED, "cut")
        self.later(rng.uniform(1, 60), lambda: self.speak(stream))
        if endpoint.mode == "frozen":
            return None
        gone = stream.cluster.compacted
        if stream.next < gone:
            return ef.WatchCanceled(stream.call, gone, CallFault.FAILED, "")
        at, fault = endpoint.position, 1.0 if self.healthy else rng.random()
        if fault < 0.02:
            return CallFailed(stream.call, rng.choice([CallFault.UNREADABLE, CallFault.FAILED]), "fault")
        replayed = range(max(1, stream.next - rng.randint(1, 20)), stream.next) if fault < 0.1 else range(0)
        old = [
            ef.WatchEvent(r, stream.cluster.log[r][n] or n) for r in replayed for n in stream.cluster.log[r]
        ]
        new = []
        for r in range(stream.next, at.revision + 1):
            for n in sorted(stream.cluster.log[r])[stream.part if r == stream.next else 0 :]:
                value = stream.cluster.log[r][n]
                if r > gone or value is not None:
                    new.append(ef.WatchEvent(r, value or n))
                elif n in self.view:  # dropped by the compaction, as etcd 3.4 has it
                    self.swallowed[n] = self.view[n]
        if not new:
            quiet = stream.part == 0 and rng.random() < 0.2
            return ef.WatchProgressed(stream.call, at) if quiet else None
        cut = rng.randint(1, len(new)) if rng.random() < 0.5 else len(new)
        rest = new[cut:]
        if rest:
            first = rest[0].revision
            stream.part = (stream.part if first == stream.next else 0) + sum(
                1 for c in new[:cut] if c.revision == first
            )
            stream.next = first
        else:
            stream.next, stream.part = at.revision + 1, 0
        sent = old + new[:cut]
        return ef.WatchEventsReceived(stream.call, at, tuple(sent), bool(rest))

    # --- what was delivered

    def apply(self, event: EndpointsListed) -> None:
        listing = event.endpoint_list
        assert listing.revision >= self.latest.get(event.identity, 0), "an order went back"
        self.latest[event.identity] = listing.revision
        if listing.is_complete:
            self.view = {}
        else:
            assert event.identity == self.identity, "changes of an order that has not begun"
        self.identity = event.identity
        for name in listing.removed_ids:
            self.view.pop(name, None)
        self.view |= {m.id: m for m in listing.records}
        cluster = next(c for c in reversed(self.clusters) if f"{c.name}/0" == event.identity)
        now, before = cluster.states[listing.revision], cluster.states[listing.revision - 1]
        # A deletion that etcd itself dropped stays in view until the next count of the keys shows it.
        # One that was written again is told of, by the last fragment of its revision at the latest.
        self.swallowed = {
            n: m for n, m in self.swallowed.items() if self.view.get(n) is m and now.get(n) is not m
        }
        if self.follow.has_gap:
            return  # what fell into it comes with the list
        view = {n: m for n, m in self.view.items() if n not in self.swallowed}
        if self.follow.complete_revision >= listing.revision or listing.is_complete:
            assert view == now and not (listing.is_complete and self.swallowed)
        for name in view.keys() | now.keys():
            assert view.get(name) in (now.get(name), before.get(name))

    # --- faults

    def write(self) -> None:
        cluster = self.endpoints[0].cluster
        names = self.rng.sample("abcdefghij", self.rng.randint(1, 5))
        changes = {n: None if self.rng.random() < 0.4 else member(n, self.rng.randint(1, 9)) for n in names}
        held = cluster.states[-1]
        cluster.commit({n: v for n, v in changes.items() if v is not None or n in held})

    def fault(self, kind: int) -> None:
        endpoint = self.rng.choice(self.endpoints)
        cluster = endpoint.cluster
        if kind < 3:
            endpoint.mode = ("up", "down", "frozen")[kind]
        elif kind == 3:
            endpoint.lag = self.rng.choice([0, 0, 5, 50])
        elif kind == 4:
            cluster.compacted = max(cluster.compacted, cluster.revision - self.rng.randint(0, 3))
        elif kind == 5 and len(self.clusters) < 4:
            self.clusters.append(Cluster(str(len(self.clusters) + 1)))
            for each in self.endpoints:
                each.cluster = self.clusters[-1]
        elif kind == 6:  # the watch breaks, and what happens next is compacted away
            self.stream = None
            self.handle(CallFailed(self.follow.watch_call_id, CallFault.FAILED, "cut"))
            self.write()
            cluster.compacted = cluster.revision
            return
        for _ in range(self.rng.randint(0, 6)):
            self.write()


STEPS = st.lists(st.tuples(st.integers(0, 8), st.integers(1, 4000)), max_size=25)


CASES = (st.integers(0, 10_000), st.integers(1, 3), STEPS)


@settings(max_examples=150, deadline=None)
@given(*CASES)
@example(4848, 2, [(0, 151), (6, 130), (0, 191), (6, 101), (2, 47), (4, 13)])
@example(4848, 2, [(0, 151), (6, 130), (0, 191), (6, 101), (2, 47), (4, 1)])
@example(
    2187,
    2,
    [
        (2, 4),
        (0, 1659),
        (2, 3848),
        (2, 4000),
        (0, 358),
        (3, 1),
        (2, 2588),
        (6, 166),
        (2, 168),
        (4, 240),
    ],
)
def test_what_is_delivered_is_a_state_that_etcd_had(
    seed: int, endpoints: int, steps: list[tuple[int, int]]
) -> None:
    follows_through(World(seed, endpoints), steps)


@settings(max_examples=150, deadline=None)
@given(*CASES, st.integers(0, 99))
def test_nor_does_it_where_lists_wait_for_turns(
    seed: int, endpoints: int, steps: list[tuple[int, int]], me: int
) -> None:
    follows_through(World(seed, endpoints, StaggeredSchedule(me, NODES, BEARS)), steps)


def follows_through(world: World, steps: list[tuple[int, int]]) -> None:
    world.handle(ef.WatcherStarted())
    for kind, wait in steps:
        world.fault(kind)
        world.run(world.now + wait)
    world.healthy = True
    for endpoint in world.endpoints:
        endpoint.mode, endpoint.lag = "up", 0
    world.run(world.now + 30_000)
    assert (
        world.follow.phase is WatcherPhase.WATCHING
        and world.follow.reported_status is ef.ReportedStatus.AVAILABLE
    )
    assert world.view == world.endpoints[0].cluster.states[-1]
