"""A node's way back: each pair of state and event, all short stories, and views against a plain model."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from balancer.core import recovery as r
from balancer.core.discovery import endpoint_merger as m
from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.source_state import Source
from balancer.core.recovery import (
    PersistedState,
    Recovery,
    RecoveryState,
    RequestOutcome,
    ServiceMeter,
    Trigger,
)
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import EndpointUpdateKind, Phase
from tests.core.discovery.merger_harness import make_record, make_snapshot

B, P, C, F = RecoveryState.BLANK, RecoveryState.PROVISIONAL, RecoveryState.CONFIRMED, RecoveryState.FULL
DAY = 86_400_000.0
KEPT = r.PersistedIncarnation(7, 1_000_000.0)


def begun(
    kept: r.PersistedIncarnation | None = KEPT, wall_ms: float = 1_001_000.0, fault: str = ""
) -> Recovery:
    out = Recovery(0.0)
    out.handle(0.0, r.ProcessStarted(kept, wall_ms, fault))
    return out


def served(
    recovery: Recovery, from_ms: float, for_ms: float = 2_200.0, end: RequestOutcome = RequestOutcome.SERVED
) -> None:
    """Forty requests a second."""
    for number in range(int(for_ms / 25)):
        recovery.handle(from_ms + 25.0 * number, r.RequestFinished("read", end))


def brought(state: RecoveryState) -> Recovery:
    """A node with its memory in that state at 10 s."""
    out = begun()
    if state is not B:
        out.handle(1.0, r.EndpointViewChanged(10, 0 if state is P else 10))
    if state is F:
        served(out, 5_000.0)
    assert out.state is state
    return out


def test_a_life_rises_by_a_refutation_and_is_the_same_life() -> None:
    """A later life that others saw is another thing: that bars roles."""
    node = brought(F)
    life = node.incarnation
    assert (
        node.handle(10_000.0, r.IncarnationRaised(life + 1)) == [r.PersistIncarnation(life + 1)]
        and node.incarnation == life + 1
    )
    assert node.persisted_state is PersistedState.INTACT and node.state is F and node.may_take_roles(10_000.0)
    assert node.handle(10_001.0, r.IncarnationRaised(life)) == [] and node.incarnation == life + 1
    node.handle(10_002.0, r.PeersReportedIncarnation(life + 5))
    assert (node.persisted_state.value, node.incarnation) == ("older", life + 6)
    assert not node.may_take_roles(10_003.0)


EVENTS: dict[str, tuple[r.Event, tuple[RecoveryState, RecoveryState, RecoveryState, RecoveryState]]] = {
    # after which states come blank, provisional, confirmed, full
    "no server is left": (r.EndpointViewChanged(0, 0), (B, B, B, B)),
    "all by memory": (r.EndpointViewChanged(10, 0), (P, P, P, P)),
    "fewer than half vouched for": (r.EndpointViewChanged(10, 4), (P, P, P, P)),
    "half vouched for": (r.EndpointViewChanged(10, 5), (C, C, C, F)),
    "more vouched for than there are": (r.EndpointViewChanged(-1, 5), (B, B, B, B)),
    "a source spoke": (r.SourceResponded(), (B, P, C, F)),
    "it stood still": (r.ProcessStalled(60_000.0), (B, P, P, P)),
    "others saw an earlier life": (r.PeersReportedIncarnation(7), (B, P, C, F)),
    "others never saw it": (r.PeersReportedIncarnation(0), (B, P, C, F)),
    "others saw a later life": (r.PeersReportedIncarnation(9), (B, P, P, P)),
    "others saw this life before it was told": (r.PeersReportedIncarnation(8), (B, P, P, P)),
    "others say nonsense": (r.PeersReportedIncarnation(-3), (B, P, C, F)),
    "others reminded it": (r.PeersReturnedState(), (B, P, C, F)),
    "a request was served": (r.RequestFinished("read", RequestOutcome.SERVED), (B, P, C, F)),
    "a request failed": (r.RequestFinished("read", RequestOutcome.FAILED), (B, P, C, F)),
    "a wait is over": (r.TimerFired(), (B, P, C, F)),
    "it started": (r.ProcessStarted(KEPT, 1_001_000.0), (B, P, C, F)),
}


@pytest.mark.parametrize("name", EVENTS)
@pytest.mark.parametrize("state", RecoveryState)
def test_each_pair_of_state_and_event(state: RecoveryState, name: str) -> None:
    event, after = EVENTS[name]
    node = brought(state)
    acts = node.handle(10_000.0, event)
    assert node.state is after[list(RecoveryState).index(state)]
    became = [a for a in acts if isinstance(a, r.ReportState)]
    assert bool(became) == (node.state is not state) and all(a.reason for a in became)
    assert node.since_ms == (10_000.0 if became else node.since_ms)
    assert set(node.status(10_000.0)) == {"state", "since", "incarnation", "memory", "waits_for", "phases"}


def test_the_table_knows_each_pair() -> None:
    assert set(r.TRANSITIONS) == set(RecoveryState) and all(
        set(row) == set(Trigger) for row in r.TRANSITIONS.values()
    )
    assert (
        set(r.PERMISSIONS) == set(RecoveryState)
        and not r.PERMISSIONS[B].may_hold_roles
        and not r.PERMISSIONS[P].may_hold_roles
    )


@pytest.mark.parametrize(
    ("kept", "wall_ms", "fault", "memory", "life", "barred"),
    [
        (None, 1e12, "", PersistedState.NONE, 1, True),
        (None, 1e12, "a checksum is wrong", PersistedState.LOST, 1, True),
        (KEPT, 1_001_000.0, "", PersistedState.INTACT, 8, False),
        (
            KEPT,
            1_000_000.0 + 2 * DAY,
            "",
            PersistedState.OUTDATED,
            8,
            True,
        ),  # a clock a day ahead, or a backup
        (KEPT, 1_000_000.0 - DAY, "", PersistedState.OUTDATED, 8, True),  # a day back
        (KEPT, 1_000_000.0 - 500.0, "", PersistedState.INTACT, 8, False),  # as clocks are set
        (KEPT, math.nan, "", PersistedState.OUTDATED, 8, True),
        (r.PersistedIncarnation(-4, 1.0), 2.0, "", PersistedState.LOST, 1, True),
        (r.PersistedIncarnation(1 << 60, 1.0), 2.0, "", PersistedState.LOST, 1, True),
    ],
)
def test_three_kinds_of_start(
    kept: r.PersistedIncarnation | None,
    wall_ms: float,
    fault: str,
    memory: PersistedState,
    life: int,
    barred: bool,
) -> None:
    node = begun(kept, wall_ms, fault)
    node.handle(1.0, r.EndpointViewChanged(3, 3))
    assert (node.persisted_state, node.incarnation, node.may_take_roles(2.0)) == (memory, life, not barred)
    assert 0.0 <= node.persisted_age_ms <= DAY and node.may_take_roles(r.ROLE_HOLD_OFF_MS)
    assert any("roles" in text for text in node.pending_conditions(2.0)) == barred


def test_one_that_was_wiped_takes_its_life_up_where_the_others_saw_it() -> None:
    node = begun(None)
    node.handle(1.0, r.EndpointViewChanged(3, 3))
    assert (
        r.PersistIncarnation(6) in node.handle(20_000.0, r.PeersReportedIncarnation(5))
        and node.persisted_state is PersistedState.LOST
    )
    node.handle(20_001.0, r.EndpointViewChanged(3, 3))
    assert not node.may_take_roles(r.ROLE_HOLD_OFF_MS + 1) and node.may_take_roles(
        20_000.0 + r.ROLE_HOLD_OFF_MS
    )
    node.handle(20_002.0, r.PeersReturnedState())
    assert node.may_take_roles(20_003.0)


def test_a_first_start_may_act_once_the_others_never_saw_it() -> None:
    node = begun(None)
    node.handle(1.0, r.EndpointViewChanged(3, 3))
    node.handle(2.0, r.PeersReportedIncarnation(0))
    assert node.may_take_roles(3.0) and node.persisted_state is PersistedState.NONE


def test_an_echo_of_its_own_word_says_nothing() -> None:
    node = brought(C)
    node.mark_incarnation_announced()
    assert node.handle(10_000.0, r.PeersReportedIncarnation(8)) == [] and node.incarnation == 8


@pytest.mark.parametrize(
    ("kept", "fault", "memory"),
    [
        (KEPT, "", PersistedState.OUTDATED),
        (None, "", PersistedState.OUTDATED),
        (None, "spoiled", PersistedState.LOST),
    ],
)
def test_a_pause_counts_whether_it_comes_before_or_after_what_was_kept_is_read(
    kept: r.PersistedIncarnation | None, fault: str, memory: PersistedState
) -> None:
    """A disk may take longer than the process runs before it is stopped."""
    told: list[r.Event] = [r.ProcessStarted(kept, 1_001_000.0, fault), r.ProcessStalled(3_000.0)]
    for events in (told, told[::-1]):
        node = Recovery(0.0)
        for event in events:
            node.handle(5_000.0, event)
        assert (node.persisted_state, node.roles_barred_until_ms) == (
            memory,
            5_000.0 + r.ROLE_HOLD_OFF_MS,
        ) and node.is_in_doubt


def test_one_that_stood_still_waits_for_a_source_and_for_its_roles() -> None:
    node = brought(F)
    assert node.may_take_roles(9_000.0)
    node.handle(70_000.0, r.ProcessStalled(60_000.0))
    node.handle(70_001.0, r.EndpointViewChanged(10, 10))  # the same list as before it stood: it says nothing
    assert node.state is P and node.persisted_state is PersistedState.OUTDATED
    node.handle(70_002.0, r.SourceResponded())
    assert node.state is C and not node.may_take_roles(80_000.0) and node.may_take_roles(100_000.0)


def test_a_clock_that_goes_back_stands_still() -> None:
    node = brought(C)
    node.handle(10_000.0, r.EndpointViewChanged(0, 0))
    node.handle(5_000.0, r.EndpointViewChanged(9, 9))
    assert node.since_ms == 10_000.0


# --- how long it took


def meter(ends: Iterator[tuple[float, RequestOutcome]]) -> dict[str, float]:
    out = ServiceMeter(0.0)
    for at_ms, end in ends:
        out.record_outcome(at_ms, "read", end)
    return out.phases_ms


def steady(
    every_ms: float, until_ms: float, end: Callable[[float], RequestOutcome]
) -> Iterator[tuple[float, RequestOutcome]]:
    return ((every_ms * n, end(every_ms * n)) for n in range(1, int(until_ms / every_ms)))


@pytest.mark.parametrize("every_ms", [1.0, 10.0, 90.0])
def test_full_service_begins_where_its_two_seconds_do(every_ms: float) -> None:
    phases = meter(
        steady(every_ms, 10_000.0, lambda at: RequestOutcome.FAILED if at < 3_000 else RequestOutcome.SERVED)
    )
    assert 2_800.0 <= phases["full"] <= 3_100.0 and phases["half"] < phases["full"]
    assert 3_000.0 <= phases["first answer"] == phases["first answer: read"] < 3_100.0


def test_what_servers_turned_away_is_not_asked_of_this_node() -> None:
    ends = [
        (10.0 * n, RequestOutcome.REJECTED_BY_BACKENDS if n % 3 else RequestOutcome.SERVED)
        for n in range(1, 1_000)
    ]
    assert "full" in meter(iter(ends))
    assert "full" not in meter(
        (at, RequestOutcome.FAILED if end is RequestOutcome.REJECTED_BY_BACKENDS else end) for at, end in ends
    )


def test_ten_in_a_hundred_that_fail_are_no_full_service() -> None:
    assert "full" not in meter(
        steady(10.0, 60_000.0, lambda at: RequestOutcome.FAILED if at % 100 == 0 else RequestOutcome.SERVED)
    )


def test_a_node_that_sees_few_is_judged_by_a_longer_stretch() -> None:
    slow = meter(steady(5_000.0, 29_000.0, lambda at: RequestOutcome.SERVED))
    assert "full" not in slow and "first answer" in slow
    assert meter(steady(5_000.0, 40_000.0, lambda at: RequestOutcome.SERVED))["full"] <= 5_000.0
    one_of_six = meter(
        steady(5_000.0, 40_000.0, lambda at: RequestOutcome.FAILED if at == 25_000 else RequestOutcome.SERVED)
    )
    assert "full" not in one_of_six
    assert meter(iter(())) == {}


def test_parts_of_the_start_come_first() -> None:
    node = Recovery(0.0)
    node.handle(
        0.0,
        r.ProcessStarted(
            None, 0.0, startup_phases_ms={"imports": 90.0, "files": math.nan, "first list": -1.0}
        ),
    )
    node.handle(1.0, r.EndpointViewChanged(1, 1))
    served(node, 10.0)
    names = [row["name"] for row in node.status(5_000.0)["phases"]]
    assert names[0] == "imports" and "full" in names and "files" not in names and node.state is F


# --- all stories of four events, of each kind of start

STARTS = [(None, ""), (None, "torn"), (KEPT, ""), (r.PersistedIncarnation(7, -9 * DAY), "")]
STORY: list[r.Event] = [
    r.EndpointViewChanged(0, 0),
    r.EndpointViewChanged(4, 0),
    r.EndpointViewChanged(4, 4),
    r.SourceResponded(),
    r.ProcessStalled(5_000.0),
    r.PeersReportedIncarnation(0),
    r.PeersReportedIncarnation(7),
    r.PeersReportedIncarnation(8),
    r.PeersReportedIncarnation(20),
    r.PeersReturnedState(),
    r.TimerFired(),
    r.RequestFinished("read", RequestOutcome.SERVED),
]


def test_no_story_of_four_events_breaks_what_must_always_hold() -> None:
    for kept, fault in STARTS:
        for story in itertools.product(STORY, repeat=4):
            node = Recovery(0.0)
            node.handle(0.0, r.ProcessStarted(kept, 1_000_500.0, fault))
            up, seen, sure, quiet, now = 0, 0, kept is KEPT, False, 0.0
            for event in story:
                now += 1_000.0
                life, known = node.incarnation, node.incarnation
                node.handle(now, event)
                match event:
                    case r.EndpointViewChanged():
                        up = event.up_count
                    case r.ProcessStalled():
                        sure, quiet = False, True
                    case r.SourceResponded():
                        quiet = False
                    case r.PeersReturnedState():
                        sure = True
                    case r.PeersReportedIncarnation():
                        seen = max(seen, event.incarnation)
                        sure = event.incarnation < known
                assert node.incarnation >= life and node.incarnation > seen, story
                assert not node.may_take_roles(now) or (sure and up), story
                assert (node.state is B) == (not up), story
                assert not quiet or node.state in (B, P), story
                assert node.state is not F, "nobody serves as usual after four requests"


# --- views


@dataclass
class Truth:
    """A source as it is: what it lists now, and whether it can be heard."""

    cluster: str = "1"
    revision: int = 1
    names: set[str] = field(default_factory=set)
    past: list[tuple[int, frozenset[str]]] = field(default_factory=list)


NAMES = [f"s{n}" for n in range(5)]
SOURCES = "abc"


class ComingBack(RuleBasedStateMachine):
    """A node that crashes and restarts from what its store had synced, with three sources that go back."""

    @initialize()
    def begin(self) -> None:
        self.truth = {name: Truth() for name in SOURCES}
        self.synced: dict[str, tuple[str, EndpointList]] = {}
        self.written: dict[str, tuple[str, EndpointList]] = {}
        self.life, self.now = 0, 0.0
        self.start()

    def start(self) -> None:
        """What the store has comes first; its revisions count as seen."""
        self.merge = EndpointMerger([Source(name) for name in SOURCES])
        self.node = Recovery(self.now)
        kept = r.PersistedIncarnation(self.life, self.now) if self.life else None
        acts = self.node.handle(self.now, r.ProcessStarted(kept, self.now + 5.0))
        self.life = next(a.incarnation for a in acts if isinstance(a, r.PersistIncarnation))
        self.written, self.told = dict(self.synced), dict[str, EndpointRecord]()
        for name, (cluster, listing) in self.synced.items():
            self.hand(m.EndpointsListed(name, cluster, listing, is_cached=True, cached_age_ms=5.0))

    def hand(self, event: m.Event) -> None:
        self.now += 1.0
        work = [event]
        while work:
            for act in self.merge.handle(self.now, work.pop()):
                if isinstance(act, m.ScheduleNextSlice):
                    work.append(m.NextSliceDue())
                elif isinstance(act, m.ApplyEndpoints):  # as the module takes it
                    if act.kind is not EndpointUpdateKind.INCREMENTAL:
                        self.told = {}
                    self.told |= {one.id: one for one in act.records}
                    for one in act.removed_records:
                        self.told.pop(one.id, None)
        up = [held.endpoint for held in self.merge.view.values() if held.endpoint.phase is Phase.UP]
        self.node.handle(self.now, r.EndpointViewChanged(len(up), sum(e.cached_age_ms is None for e in up)))

    @rule(name=st.sampled_from(SOURCES), change=st.sampled_from(NAMES))
    def a_source_changes(self, name: str, change: str) -> None:
        one = self.truth[name]
        one.past.append((one.revision, frozenset(one.names)))
        one.names ^= {change}
        one.revision += 1

    @rule(name=st.sampled_from(SOURCES))
    def a_source_is_heard(self, name: str) -> None:
        one = self.truth[name]
        self.hand(
            m.EndpointsListed(
                name, one.cluster, make_snapshot(one.revision, *map(make_record, sorted(one.names)))
            )
        )

    @rule(name=st.sampled_from(SOURCES), back=st.integers(0, 3), watched=st.booleans())
    def a_source_tells_of_the_past(self, name: str, back: int, watched: bool) -> None:
        one = self.truth[name]
        if len(one.past) > back:
            revision, names = one.past[-1 - back]
            listing = make_snapshot(revision, *map(make_record, sorted(names)))
            self.hand(m.EndpointsListed(name, one.cluster, listing, is_from_watch=watched))

    @rule(name=st.sampled_from(SOURCES))
    def a_source_shows_that_it_lives(self, name: str) -> None:
        if (seen := self.merge.sources[name].revision) == self.truth[name].revision and seen is not None:
            self.hand(m.SourceConfirmedCurrent(name))

    @rule(name=st.sampled_from(SOURCES))
    def a_source_is_set_up_anew(self, name: str) -> None:
        one = self.truth[name]
        self.truth[name] = Truth(str(int(one.cluster) + 1), 1, {NAMES[0]})

    @rule(synced=st.booleans())
    def the_view_is_written(self, synced: bool) -> None:
        for name, source in self.merge.sources.items():
            if source.identity is not None and source.revision is not None:
                listing = EndpointList(
                    source.revision, True, tuple(source.records.values()), tuple(sorted(source.removed_ids))
                )
                self.written[name] = source.identity, listing
        if synced:
            self.synced = dict(self.written)

    @rule()
    def it_crashes(self) -> None:
        before = self.life
        self.start()
        assert self.life > before and self.node.persisted_state is PersistedState.INTACT

    @invariant()
    def no_view_is_older_than_what_was_durably_seen(self) -> None:
        for name, (cluster, listing) in self.synced.items():
            source = self.merge.sources[name]
            if source.identity == cluster:
                assert source.revision is not None and source.revision >= listing.revision
                if source.revision == listing.revision:
                    assert set(source.records) == {one.id for one in listing.records}

    @invariant()
    def the_view_is_what_the_sources_said_last(self) -> None:
        sources = self.merge.sources.values()
        listed = set().union(*(source.records for source in sources))
        removed = set().union(*(source.removed_ids for source in sources))
        assert set(self.merge.view) == listed - removed and self.told == self.merge.view
        assert (self.node.state is B) == (not self.merge.view)

    @invariant()
    def whoever_is_vouched_for_is_so_by_a_source_that_spoke(self) -> None:
        for name, held in self.merge.view.items():
            ages = [
                s.records[name].endpoint.cached_age_ms
                for s in self.merge.sources.values()
                if name in s.records
            ]
            assert (held.endpoint.cached_age_ms is None) == (None in ages)


ComingBack.TestCase.settings = settings(max_examples=400, stateful_step_count=40, deadline=None)
TestComingBack = ComingBack.TestCase
