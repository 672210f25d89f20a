"""Tests of the recovery: all pairs of state and event, all short histories, and views against a model."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from balancer.core import recovery
from balancer.core.discovery import endpoint_merger
from balancer.core.discovery.endpoint_merger import EndpointMerger
from balancer.core.discovery.source_state import Source
from balancer.core.recovery import (
    PersistedState,
    Recovery,
    RecoveryState,
    Trigger,
)
from balancer.core.service_meter import RequestOutcome, ServiceMeter
from balancer.endpoints import EndpointList, EndpointRecord
from balancer.interface import EndpointUpdateKind, Phase
from tests.core.discovery.merger_harness import make_record, make_snapshot

BLANK, PROVISIONAL, CONFIRMED, FULL = (
    RecoveryState.BLANK,
    RecoveryState.PROVISIONAL,
    RecoveryState.CONFIRMED,
    RecoveryState.FULL,
)
DAY_MS = 86_400_000.0
PERSISTED = recovery.PersistedIncarnation(7, 1_000_000.0)


def started(
    persisted: recovery.PersistedIncarnation | None = PERSISTED, wall_ms: float = 1_001_000.0, fault: str = ""
) -> Recovery:
    """Return a node whose process has started, by default with intact persisted state."""
    node = Recovery(0.0)
    node.handle(0.0, recovery.ProcessStarted(persisted, wall_ms, fault))
    return node


def serve(node: Recovery, from_ms: float) -> None:
    """Serve 40 requests per second for 2.2 s."""
    for number in range(88):
        node.handle(from_ms + 25.0 * number, recovery.RequestFinished("read", RequestOutcome.SERVED))


def node_in_state(state: RecoveryState) -> Recovery:
    """Return a node with intact persisted state that is in `state` at 10 s."""
    node = started()
    if state is not BLANK:
        node.handle(1.0, recovery.EndpointViewChanged(10, 0 if state is PROVISIONAL else 10))
    if state is FULL:
        serve(node, 5_000.0)
    assert node.state is state
    return node


def test_recovery_incarnation_raised_by_a_refutation_keeps_state_and_roles() -> None:
    """A refutation differs from a later incarnation that peers have seen, which bars roles."""
    node = node_in_state(FULL)
    incarnation = node.incarnation
    actions = node.handle(10_000.0, recovery.IncarnationRaised(incarnation + 1))
    assert actions == [recovery.PersistIncarnation(incarnation + 1)] and node.incarnation == incarnation + 1
    assert (
        node.persisted_state is PersistedState.INTACT and node.state is FULL and node.may_take_roles(10_000.0)
    )
    assert node.handle(10_001.0, recovery.IncarnationRaised(incarnation)) == []
    assert node.incarnation == incarnation + 1
    node.handle(10_002.0, recovery.PeersReportedIncarnation(incarnation + 5))
    assert (node.persisted_state.value, node.incarnation) == ("older", incarnation + 6)
    assert not node.may_take_roles(10_003.0)


EVENTS: dict[
    str, tuple[recovery.Event, tuple[RecoveryState, RecoveryState, RecoveryState, RecoveryState]]
] = {
    # the next states after blank, provisional, confirmed and full
    "no backend is left": (recovery.EndpointViewChanged(0, 0), (BLANK, BLANK, BLANK, BLANK)),
    "all restored": (
        recovery.EndpointViewChanged(10, 0),
        (PROVISIONAL, PROVISIONAL, PROVISIONAL, PROVISIONAL),
    ),
    "fewer than half confirmed": (
        recovery.EndpointViewChanged(10, 4),
        (PROVISIONAL, PROVISIONAL, PROVISIONAL, PROVISIONAL),
    ),
    "half confirmed": (recovery.EndpointViewChanged(10, 5), (CONFIRMED, CONFIRMED, CONFIRMED, FULL)),
    "more confirmed than up": (recovery.EndpointViewChanged(-1, 5), (BLANK, BLANK, BLANK, BLANK)),
    "a source responded": (recovery.SourceResponded(), (BLANK, PROVISIONAL, CONFIRMED, FULL)),
    "the process stalled": (
        recovery.ProcessStalled(60_000.0),
        (BLANK, PROVISIONAL, PROVISIONAL, PROVISIONAL),
    ),
    "peers saw an earlier incarnation": (
        recovery.PeersReportedIncarnation(7),
        (BLANK, PROVISIONAL, CONFIRMED, FULL),
    ),
    "peers never saw it": (recovery.PeersReportedIncarnation(0), (BLANK, PROVISIONAL, CONFIRMED, FULL)),
    "peers saw a later incarnation": (
        recovery.PeersReportedIncarnation(9),
        (BLANK, PROVISIONAL, PROVISIONAL, PROVISIONAL),
    ),
    "peers saw this incarnation before it was announced": (
        recovery.PeersReportedIncarnation(8),
        (BLANK, PROVISIONAL, PROVISIONAL, PROVISIONAL),
    ),
    "peers report an invalid incarnation": (
        recovery.PeersReportedIncarnation(-3),
        (BLANK, PROVISIONAL, CONFIRMED, FULL),
    ),
    "peers returned its state": (recovery.PeersReturnedState(), (BLANK, PROVISIONAL, CONFIRMED, FULL)),
    "a request was served": (
        recovery.RequestFinished("read", RequestOutcome.SERVED),
        (BLANK, PROVISIONAL, CONFIRMED, FULL),
    ),
    "a request failed": (
        recovery.RequestFinished("read", RequestOutcome.FAILED),
        (BLANK, PROVISIONAL, CONFIRMED, FULL),
    ),
    "a timer fired": (recovery.TimerFired(), (BLANK, PROVISIONAL, CONFIRMED, FULL)),
    "the process started": (
        recovery.ProcessStarted(PERSISTED, 1_001_000.0),
        (BLANK, PROVISIONAL, CONFIRMED, FULL),
    ),
}


@pytest.mark.parametrize("name", EVENTS)
@pytest.mark.parametrize("state", RecoveryState)
def test_recovery_each_state_and_event_leads_to_the_next_state(state: RecoveryState, name: str) -> None:
    event, after = EVENTS[name]
    node = node_in_state(state)
    actions = node.handle(10_000.0, event)
    assert node.state is after[list(RecoveryState).index(state)]
    reports = [action for action in actions if isinstance(action, recovery.ReportState)]
    assert bool(reports) == (node.state is not state) and all(report.reason for report in reports)
    assert node.since_ms == (10_000.0 if reports else node.since_ms)
    assert set(node.status(10_000.0)) == {"state", "since", "incarnation", "memory", "waits_for", "phases"}


def test_recovery_tables_are_complete() -> None:
    assert set(recovery.TRANSITIONS) == set(RecoveryState) == set(recovery.PERMISSIONS)
    assert all(set(row) == set(Trigger) for row in recovery.TRANSITIONS.values())
    assert (
        not recovery.PERMISSIONS[BLANK].may_hold_roles
        and not recovery.PERMISSIONS[PROVISIONAL].may_hold_roles
    )


@pytest.mark.parametrize(
    ("persisted", "wall_ms", "fault", "persisted_state", "incarnation", "is_barred"),
    [
        (None, 1e12, "", PersistedState.NONE, 1, True),
        (None, 1e12, "a checksum is wrong", PersistedState.LOST, 1, True),
        (PERSISTED, 1_001_000.0, "", PersistedState.INTACT, 8, False),
        # a clock two days ahead, or an old backup
        (PERSISTED, 1_000_000.0 + 2 * DAY_MS, "", PersistedState.OUTDATED, 8, True),
        (PERSISTED, 1_000_000.0 - DAY_MS, "", PersistedState.OUTDATED, 8, True),  # a clock a day behind
        # within the tolerance for clock changes
        (PERSISTED, 1_000_000.0 - 500.0, "", PersistedState.INTACT, 8, False),
        (PERSISTED, math.nan, "", PersistedState.OUTDATED, 8, True),
        (recovery.PersistedIncarnation(-4, 1.0), 2.0, "", PersistedState.LOST, 1, True),
        (recovery.PersistedIncarnation(1 << 60, 1.0), 2.0, "", PersistedState.LOST, 1, True),
    ],
)
def test_recovery_process_started_classifies_the_persisted_state(
    persisted: recovery.PersistedIncarnation | None,
    wall_ms: float,
    fault: str,
    persisted_state: PersistedState,
    incarnation: int,
    is_barred: bool,
) -> None:
    node = started(persisted, wall_ms, fault)
    node.handle(1.0, recovery.EndpointViewChanged(3, 3))
    assert (node.persisted_state, node.incarnation, node.may_take_roles(2.0)) == (
        persisted_state,
        incarnation,
        not is_barred,
    )
    assert 0.0 <= node.persisted_age_ms <= DAY_MS and node.may_take_roles(recovery.ROLE_HOLD_OFF_MS)
    assert any("roles" in text for text in node.pending_conditions(2.0)) == is_barred


def test_recovery_lost_state_continues_the_incarnation_that_peers_saw() -> None:
    node = started(None)
    node.handle(1.0, recovery.EndpointViewChanged(3, 3))
    assert recovery.PersistIncarnation(6) in node.handle(20_000.0, recovery.PeersReportedIncarnation(5))
    assert node.persisted_state is PersistedState.LOST
    node.handle(20_001.0, recovery.EndpointViewChanged(3, 3))
    assert not node.may_take_roles(recovery.ROLE_HOLD_OFF_MS + 1)
    assert node.may_take_roles(20_000.0 + recovery.ROLE_HOLD_OFF_MS)
    node.handle(20_002.0, recovery.PeersReturnedState())
    assert node.may_take_roles(20_003.0)


def test_recovery_first_start_may_take_roles_once_peers_never_saw_it() -> None:
    node = started(None)
    node.handle(1.0, recovery.EndpointViewChanged(3, 3))
    node.handle(2.0, recovery.PeersReportedIncarnation(0))
    assert node.may_take_roles(3.0) and node.persisted_state is PersistedState.NONE


def test_recovery_echo_of_the_announced_incarnation_changes_nothing() -> None:
    node = node_in_state(CONFIRMED)
    node.mark_incarnation_announced()
    assert node.handle(10_000.0, recovery.PeersReportedIncarnation(8)) == [] and node.incarnation == 8


@pytest.mark.parametrize(
    ("persisted", "fault", "persisted_state"),
    [
        (PERSISTED, "", PersistedState.OUTDATED),
        (None, "", PersistedState.OUTDATED),
        (None, "spoiled", PersistedState.LOST),
    ],
)
def test_recovery_stall_before_or_after_persisted_state_is_read_bars_roles(
    persisted: recovery.PersistedIncarnation | None, fault: str, persisted_state: PersistedState
) -> None:
    """The process may stall before a slow disk has returned the persisted state."""
    order: list[recovery.Event] = [
        recovery.ProcessStarted(persisted, 1_001_000.0, fault),
        recovery.ProcessStalled(3_000.0),
    ]
    for events in (order, order[::-1]):
        node = Recovery(0.0)
        for event in events:
            node.handle(5_000.0, event)
        assert node.persisted_state is persisted_state and node.is_awaiting_source
        assert node.roles_barred_until_ms == 5_000.0 + recovery.ROLE_HOLD_OFF_MS


def test_recovery_stalled_process_waits_for_a_source_and_for_its_roles() -> None:
    node = node_in_state(FULL)
    assert node.may_take_roles(9_000.0)
    node.handle(70_000.0, recovery.ProcessStalled(60_000.0))
    node.handle(70_001.0, recovery.EndpointViewChanged(10, 10))  # the view from before the stall
    assert node.state is PROVISIONAL and node.persisted_state is PersistedState.OUTDATED
    node.handle(70_002.0, recovery.SourceResponded())
    assert node.state is CONFIRMED and not node.may_take_roles(80_000.0) and node.may_take_roles(100_000.0)


def test_recovery_clock_set_back_keeps_the_latest_time() -> None:
    node = node_in_state(CONFIRMED)
    node.handle(10_000.0, recovery.EndpointViewChanged(0, 0))
    node.handle(5_000.0, recovery.EndpointViewChanged(9, 9))
    assert node.since_ms == 10_000.0


# --- full service


def phases_of(outcomes: Iterable[tuple[float, RequestOutcome]]) -> dict[str, float]:
    """Return the phases that these outcomes, each with its time, reach."""
    meter = ServiceMeter(0.0)
    for at_ms, outcome in outcomes:
        meter.record_outcome(at_ms, "read", outcome)
    return meter.phases_ms


def outcomes_every(
    interval_ms: float, until_ms: float, outcome_at: Callable[[float], RequestOutcome]
) -> Iterator[tuple[float, RequestOutcome]]:
    """Yield an outcome at each interval."""
    times = (interval_ms * number for number in range(1, int(until_ms / interval_ms)))
    return ((at_ms, outcome_at(at_ms)) for at_ms in times)


@pytest.mark.parametrize("interval_ms", [1.0, 10.0, 90.0])
def test_meter_full_service_is_dated_to_the_beginning_of_its_window(interval_ms: float) -> None:
    phases = phases_of(
        outcomes_every(
            interval_ms, 10_000.0, lambda at: RequestOutcome.FAILED if at < 3_000 else RequestOutcome.SERVED
        )
    )
    assert 2_800.0 <= phases["full"] <= 3_100.0 and phases["half"] < phases["full"]
    assert 3_000.0 <= phases["first answer"] == phases["first answer: read"] < 3_100.0


def test_meter_rejections_by_backends_are_not_counted() -> None:
    outcomes = [
        (10.0 * n, RequestOutcome.REJECTED_BY_BACKENDS if n % 3 else RequestOutcome.SERVED)
        for n in range(1, 1_000)
    ]
    assert "full" in phases_of(outcomes)
    assert "full" not in phases_of(
        (at, RequestOutcome.FAILED if outcome is RequestOutcome.REJECTED_BY_BACKENDS else outcome)
        for at, outcome in outcomes
    )


def test_meter_with_ten_percent_failures_is_not_in_full_service() -> None:
    assert "full" not in phases_of(
        outcomes_every(
            10.0, 60_000.0, lambda at: RequestOutcome.FAILED if at % 100 == 0 else RequestOutcome.SERVED
        )
    )


def test_meter_with_few_requests_uses_the_longest_window() -> None:
    slow = phases_of(outcomes_every(5_000.0, 29_000.0, lambda at: RequestOutcome.SERVED))
    assert "full" not in slow and "first answer" in slow
    assert phases_of(outcomes_every(5_000.0, 40_000.0, lambda at: RequestOutcome.SERVED))["full"] <= 5_000.0
    one_of_six = phases_of(
        outcomes_every(
            5_000.0, 40_000.0, lambda at: RequestOutcome.FAILED if at == 25_000 else RequestOutcome.SERVED
        )
    )
    assert "full" not in one_of_six
    assert phases_of(()) == {}


def test_recovery_status_lists_startup_phases_first() -> None:
    node = Recovery(0.0)
    node.handle(
        0.0,
        recovery.ProcessStarted(
            None, 0.0, startup_phases_ms={"imports": 90.0, "files": math.nan, "first list": -1.0}
        ),
    )
    node.handle(1.0, recovery.EndpointViewChanged(1, 1))
    serve(node, 10.0)
    names = [row["name"] for row in node.status(5_000.0)["phases"]]
    assert names[0] == "imports" and "full" in names and "files" not in names and node.state is FULL


# --- all histories of four events, after each kind of start

STARTS = [(None, ""), (None, "torn"), (PERSISTED, ""), (recovery.PersistedIncarnation(7, -9 * DAY_MS), "")]
HISTORY_EVENTS: list[recovery.Event] = [
    recovery.EndpointViewChanged(0, 0),
    recovery.EndpointViewChanged(4, 0),
    recovery.EndpointViewChanged(4, 4),
    recovery.SourceResponded(),
    recovery.ProcessStalled(5_000.0),
    recovery.PeersReportedIncarnation(0),
    recovery.PeersReportedIncarnation(7),
    recovery.PeersReportedIncarnation(8),
    recovery.PeersReportedIncarnation(20),
    recovery.PeersReturnedState(),
    recovery.TimerFired(),
    recovery.RequestFinished("read", RequestOutcome.SERVED),
]


def test_recovery_invariants_hold_in_all_histories_of_four_events() -> None:
    for persisted, fault in STARTS:
        for history in itertools.product(HISTORY_EVENTS, repeat=4):
            node = Recovery(0.0)
            node.handle(0.0, recovery.ProcessStarted(persisted, 1_000_500.0, fault))
            up_count, seen_incarnation, is_state_trusted, is_awaiting_source, now_ms = (
                0,
                0,
                persisted is PERSISTED,
                False,
                0.0,
            )
            for event in history:
                now_ms += 1_000.0
                incarnation, previous_incarnation = node.incarnation, node.incarnation
                node.handle(now_ms, event)
                match event:
                    case recovery.EndpointViewChanged():
                        up_count = event.up_count
                    case recovery.ProcessStalled():
                        is_state_trusted, is_awaiting_source = False, True
                    case recovery.SourceResponded():
                        is_awaiting_source = False
                    case recovery.PeersReturnedState():
                        is_state_trusted = True
                    case recovery.PeersReportedIncarnation():
                        seen_incarnation = max(seen_incarnation, event.incarnation)
                        is_state_trusted = event.incarnation < previous_incarnation
                assert node.incarnation >= incarnation and node.incarnation > seen_incarnation, history
                assert not node.may_take_roles(now_ms) or (is_state_trusted and up_count), history
                assert (node.state is BLANK) == (not up_count), history
                assert not is_awaiting_source or node.state in (BLANK, PROVISIONAL), history
                assert node.state is not FULL, "four requests are too few for full service"


# --- views


@dataclass
class SourceModel:
    """The actual content of a source: what it lists now, and what it listed before."""

    cluster: str = "1"
    revision: int = 1
    names: set[str] = field(default_factory=set)
    past: list[tuple[int, frozenset[str]]] = field(default_factory=list)


NAMES = [f"s{n}" for n in range(5)]
SOURCES = "abc"


class RecoveringNode(RuleBasedStateMachine):
    """A node that restarts from what its store had synced, with three sources that may return older lists."""

    @initialize()
    def begin(self) -> None:
        self.models = {name: SourceModel() for name in SOURCES}
        self.synced: dict[str, tuple[str, EndpointList]] = {}
        self.written: dict[str, tuple[str, EndpointList]] = {}
        self.incarnation, self.now = 0, 0.0
        self.start()

    def start(self) -> None:
        """Start with the content of the store, whose revisions count as seen."""
        self.merge = EndpointMerger([Source(name) for name in SOURCES])
        self.node = Recovery(self.now)
        persisted = recovery.PersistedIncarnation(self.incarnation, self.now) if self.incarnation else None
        actions = self.node.handle(self.now, recovery.ProcessStarted(persisted, self.now + 5.0))
        self.incarnation = next(a.incarnation for a in actions if isinstance(a, recovery.PersistIncarnation))
        self.written, self.announced = dict(self.synced), dict[str, EndpointRecord]()
        for name, (cluster, listing) in self.synced.items():
            self.apply_event(
                endpoint_merger.EndpointsListed(name, cluster, listing, is_cached=True, cached_age_ms=5.0)
            )

    def apply_event(self, event: endpoint_merger.Event) -> None:
        self.now += 1.0
        work = [event]
        while work:
            for action in self.merge.handle(self.now, work.pop()):
                if isinstance(action, endpoint_merger.ScheduleNextSlice):
                    work.append(endpoint_merger.NextSliceDue())
                elif isinstance(action, endpoint_merger.ApplyEndpoints):  # as the policy applies it
                    if action.kind is not EndpointUpdateKind.INCREMENTAL:
                        self.announced = {}
                    self.announced |= {one.id: one for one in action.records}
                    for one in action.removed_records:
                        self.announced.pop(one.id, None)
        up = [held.endpoint for held in self.merge.view.values() if held.endpoint.phase is Phase.UP]
        self.node.handle(
            self.now, recovery.EndpointViewChanged(len(up), sum(e.cached_age_ms is None for e in up))
        )

    @rule(name=st.sampled_from(SOURCES), change=st.sampled_from(NAMES))
    def a_source_changes(self, name: str, change: str) -> None:
        model = self.models[name]
        model.past.append((model.revision, frozenset(model.names)))
        model.names ^= {change}
        model.revision += 1

    @rule(name=st.sampled_from(SOURCES))
    def a_source_is_heard(self, name: str) -> None:
        model = self.models[name]
        self.apply_event(
            endpoint_merger.EndpointsListed(
                name, model.cluster, make_snapshot(model.revision, *map(make_record, sorted(model.names)))
            )
        )

    @rule(name=st.sampled_from(SOURCES), back=st.integers(0, 3), watched=st.booleans())
    def a_source_tells_of_the_past(self, name: str, back: int, watched: bool) -> None:
        model = self.models[name]
        if len(model.past) > back:
            revision, names = model.past[-1 - back]
            listing = make_snapshot(revision, *map(make_record, sorted(names)))
            self.apply_event(
                endpoint_merger.EndpointsListed(name, model.cluster, listing, is_from_watch=watched)
            )

    @rule(name=st.sampled_from(SOURCES))
    def a_source_shows_that_it_lives(self, name: str) -> None:
        if (seen := self.merge.sources[name].revision) == self.models[name].revision and seen is not None:
            self.apply_event(endpoint_merger.SourceConfirmedCurrent(name))

    @rule(name=st.sampled_from(SOURCES))
    def a_source_is_set_up_anew(self, name: str) -> None:
        model = self.models[name]
        self.models[name] = SourceModel(str(int(model.cluster) + 1), 1, {NAMES[0]})

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
        before = self.incarnation
        self.start()
        assert self.incarnation > before and self.node.persisted_state is PersistedState.INTACT

    @invariant()
    def no_view_is_older_than_the_synced_one(self) -> None:
        for name, (cluster, listing) in self.synced.items():
            source = self.merge.sources[name]
            if source.identity == cluster:
                assert source.revision is not None and source.revision >= listing.revision
                if source.revision == listing.revision:
                    assert set(source.records) == {one.id for one in listing.records}

    @invariant()
    def the_view_matches_the_last_lists_of_the_sources(self) -> None:
        sources = self.merge.sources.values()
        listed = set().union(*(source.records for source in sources))
        removed = set().union(*(source.removed_ids for source in sources))
        assert set(self.merge.view) == listed - removed and self.announced == self.merge.view
        assert (self.node.state is BLANK) == (not self.merge.view)

    @invariant()
    def endpoints_are_confirmed_only_by_a_source_that_responded(self) -> None:
        for name, held in self.merge.view.items():
            ages = [
                s.records[name].endpoint.cached_age_ms
                for s in self.merge.sources.values()
                if name in s.records
            ]
            assert (held.endpoint.cached_age_ms is None) == (None in ages)


RecoveringNode.TestCase.settings = settings(max_examples=400, stateful_step_count=40, deadline=None)
TestRecoveringNode = RecoveringNode.TestCase
